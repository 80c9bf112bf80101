#include "controller/probe_client.h"
#include "util/log.h"
#include "util/thread.h"
#include "controller/rpc_client.h"
#include "state/core.h"

#include <rpc/rpc.h>

/* A node whose mirror stands still while another's moves, or who reaches nobody, is at
 * fault itself: its users are better served elsewhere. In an outage of the state service
 * everybody stays. */
static void look_around(struct lmn_core *core, struct timespec now)
{
    double stale = core->cache.is_synced ? lmn_watch_cache_age_s(core, now) : 0;
    bool odd = stale >= LMN_CACHE_STALLED_S && core->members.count > 1, anybody = false;

    for (int i = 0; i < core->members.count && odd; i++) {
        const struct lmn_member_view *member = &core->members.views[i];
        if (i == core->members.self || !member->health_at.tv_sec ||
            lmn_time_diff_s(now, member->health_at) > 2)
            continue;
        if (!anybody)
            odd = false;
        anybody = true;
        if (member->health.cache_age_s < LMN_CACHE_STALLED_S) {
            odd = true;
            break;
        }
    }
    if (odd != core->cache.is_isolated_view)
        lmn_info("isolated_view_changed odd=%d stale=%.1f alone=%d", odd, stale,
                 !anybody);
    __atomic_store_n(&core->cache.is_isolated_view, odd,
                     __ATOMIC_RELAXED); /* controller/http_routes.c reads it */
    if (!odd || anybody)
        core->cache.isolated_since = (struct timespec){0, 0};
    else if (!core->cache.isolated_since.tv_sec)
        core->cache.isolated_since = now;
}

static lmn_rpc_health own_word(const struct lmn_core *core, struct timespec now)
{
    const struct lmn_member_health *health = &core->members.health;

    return (lmn_rpc_health){health->delay_s, MIN(lmn_watch_cache_age_s(core, now), 1e6),
                            health->silent_machine_share};
}

static struct lmn_member_health word_of(const lmn_rpc_health *health)
{
    return (struct lmn_member_health){health->behind, health->stale, health->deaf};
}

/* Names are the settings', which stand for ever. */
static u_int tell(struct lmn_core *core, int to, int about, struct timespec now,
                  struct lmn_probe_reply_buffer *room)
{
    struct lmn_gossip_statement s[LMN_MAX_GOSSIP_STATEMENTS];
    unsigned n = lmn_member_gossip(&core->members, to, about, now, s);

    for (unsigned i = 0; i < n; i++)
        room->said[i] = (lmn_rpc_gossip){
            (char *)lmn_member_name(&core->members, s[i].member), s[i].incarnation,
            s[i].last_contact_age_s, s[i].unanswered_age_s, s[i].redirected_workers};
    return n;
}

static void be_told(struct lmn_core *core, int by, u_int n, const lmn_rpc_gossip *said,
                    struct timespec now)
{
    for (u_int i = 0; i < n; i++) {
        struct lmn_gossip_statement s = {lmn_member_index(&core->members, said[i].of),
                                         said[i].incarnation, said[i].heard,
                                         said[i].unanswered, said[i].visitors};
        lmn_member_record_gossip(&core->members, by, &s, now);
    }
}

void lmn_probe_handle(struct lmn_core *core, const lmn_rpc_probe *probe,
                      lmn_rpc_probe_reply *reply, struct lmn_probe_reply_buffer *room)
{
    struct timespec now = lmn_now();
    struct lmn_member_health w = word_of(&probe->word);

    pthread_mutex_lock(&core->lock);
    int from = lmn_member_index(&core->members, probe->from);
    int about = *probe->about ? lmn_member_index(&core->members, probe->about) : -1;
    if (from >= 0 && from != core->members.self) {
        lmn_member_record_contact(&core->members, from, &w, now, now);
        be_told(core, from, probe->said.said_len, probe->said.said_val, now);
    }
    if (about >= 0 && about != core->members.self) {
        lmn_member_request_probe(&core->members, about, now);
        pthread_cond_signal(&core->probe_due);
    }
    reply->word = own_word(core, now);
    reply->said.said_len = tell(core, from, about, now, room);
    reply->said.said_val = room->said;
    pthread_mutex_unlock(&core->lock);
}

/* --- the thread --- */

struct asked {
    CLIENT *client;
};

static bool call(struct lmn_core *core, struct asked *peer, const struct lmn_probe *probe,
                 lmn_rpc_probe *x, lmn_rpc_probe_reply *reply)
{
    const char *name = lmn_member_name(&core->members, probe->member), *addr = NULL;
    struct timeval wait = {
        (time_t)probe->timeout_s,
        (suseconds_t)(1e6 * (probe->timeout_s - (time_t)probe->timeout_s))};

    for (size_t i = 0; i < core->settings->member_count; i++)
        if (!strcmp(core->settings->members[i].name, name))
            addr = core->settings->members[i].address;
    if (!peer->client && addr)
        peer->client = lmn_rpc_connect_within(addr, probe->timeout_s);
    if (!peer->client)
        return false;
    if (clnt_call(peer->client, LMN_RPC_PROBE, (xdrproc_t)xdr_lmn_rpc_probe, (char *)x,
                  (xdrproc_t)xdr_lmn_rpc_probe_reply, (char *)reply, wait) == RPC_SUCCESS)
        return true;
    clnt_destroy(peer->client);
    peer->client = NULL;
    return false;
}

u_int lmn_tombstones_handle(struct lmn_core *core, const lmn_rpc_tombstones *tombstones)
{
    u_int n = 0;

    pthread_mutex_lock(&core->lock);
    struct timespec now = lmn_now();
    for (u_int i = 0; i < tombstones->jobs.jobs_len; i++)
        n += lmn_tombstone_receive(core, tombstones->jobs.jobs_val[i].ref, now);
    core->counters.tombstones += n;
    pthread_mutex_unlock(&core->lock);
    return n;
}

/* Withdrawals that the member may not see yet, on the connection that has just answered.
 */
static void tell_tombstones(struct lmn_core *core, struct asked *peer, int member_index)
{
    /* It has just answered. Whoever stands still now must not hold up the questions. */
    const struct timeval wait = {0, 250000};
    char ref[LMN_RPC_MAX_ITEMS][LMN_JOB_ID_SIZE];
    const char *refs[LMN_RPC_MAX_ITEMS];
    lmn_rpc_job_id jobs[LMN_RPC_MAX_ITEMS];
    lmn_rpc_tombstones x = {{0, jobs}};
    u_int fresh;
    uint64_t upto;

    pthread_mutex_lock(&core->lock);
    x.jobs.jobs_len = lmn_tombstones_pending(&core->cache.tombstones, member_index, refs,
                                             G_N_ELEMENTS(refs), &upto);
    for (u_int i = 0; i < x.jobs.jobs_len; i++) {
        g_strlcpy(ref[i], refs[i], LMN_JOB_ID_SIZE);
        jobs[i].ref = ref[i];
    }
    pthread_mutex_unlock(&core->lock);
    if (!x.jobs.jobs_len)
        return;
    enum clnt_stat r =
        clnt_call(peer->client, LMN_RPC_TOMBSTONES, (xdrproc_t)xdr_lmn_rpc_tombstones,
                  (char *)&x, (xdrproc_t)xdr_u_int, (char *)&fresh, wait);
    if (r == RPC_SUCCESS ||
        r == RPC_PROCUNAVAIL) { /* an older program has no use for them */
        pthread_mutex_lock(&core->lock);
        lmn_tombstones_acknowledge(&core->cache.tombstones, member_index, upto);
        pthread_mutex_unlock(&core->lock);
        return;
    }
    clnt_destroy(peer->client);
    peer->client = NULL;
}

static void ask_one(struct lmn_core *core, struct asked *peer,
                    const struct lmn_probe *probe)
{
    struct lmn_members *members = &core->members;
    struct lmn_probe_reply_buffer room;
    lmn_rpc_probe x = {.from = (char *)core->settings->node_name, .about = (char *)""};
    lmn_rpc_probe_reply a = {0};

    if (probe->about >= 0)
        x.about = (char *)lmn_member_name(members, probe->about);
    pthread_mutex_lock(&core->lock);
    struct timespec sent = lmn_now();
    x.word = own_word(core, sent);
    x.said.said_len = tell(core, probe->member, probe->about, sent, &room);
    x.said.said_val = room.said;
    pthread_mutex_unlock(&core->lock);
    bool answered = call(core, peer, probe, &x, &a);
    pthread_mutex_lock(&core->lock);
    struct timespec now = lmn_now();
    if (answered) {
        struct lmn_member_health w = word_of(&a.word);
        lmn_member_record_probe_reply(members, probe->member, &w, sent, now);
        be_told(core, probe->member, a.said.said_len, a.said.said_val, now);
    } else {
        lmn_member_record_probe_timeout(members, probe->member, sent, now);
        lmn_debug("member_probe_timeout member=%s after=%.2f times=%u",
                  lmn_member_name(members, probe->member), lmn_time_diff_s(now, sent),
                  members->views[probe->member].probe_failures);
        pthread_cond_broadcast(&core->ownership_changed);
    }
    pthread_mutex_unlock(&core->lock);
    if (!answered)
        return;
    xdr_free((xdrproc_t)xdr_lmn_rpc_probe_reply, (char *)&a);
    tell_tombstones(core, peer, probe->member);
}

void *lmn_probe_thread(void *arg)
{
    struct lmn_core *core = arg;
    struct asked peers[LMN_MAX_MEMBERS + 1] = {0};

    for (;;) {
        struct lmn_probe q;
        double wait;
        pthread_mutex_lock(&core->lock);
        while (
            !lmn_member_next_probe(&core->members, core->random, lmn_now(), &q, &wait)) {
            look_around(core, lmn_now());
            lmn_cond_wait_for(&core->probe_due, &core->lock, wait);
        }
        pthread_mutex_unlock(&core->lock);
        ask_one(core, &peers[q.member], &q);
    }
    return NULL;
}
