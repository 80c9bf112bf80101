#include "controller/probe_client.h"
#include "util/log.h"
#include "util/thread.h"
#include "controller/rpc_client.h"
#include "state/core.h"

#include <rpc/rpc.h>

/* A node whose mirror stands still while another's moves, or who reaches nobody, is at
 * fault itself: its users are better served elsewhere. In an outage of the state service
 * everybody stays. */
static void look_around(struct lmn_core *c, struct timespec now)
{
    double stale = c->synced ? lmn_watch_cache_age_s(c, now) : 0;
    bool odd = stale >= LMN_CACHE_STALLED_S && c->members.n > 1, anybody = false;

    for (int i = 0; i < c->members.n && odd; i++) {
        const struct lmn_member_view *m = &c->members.v[i];
        if (i == c->members.me || !m->word_at.tv_sec ||
            lmn_time_diff_s(now, m->word_at) > 2)
            continue;
        if (!anybody)
            odd = false;
        anybody = true;
        if (m->word.stale_s < LMN_CACHE_STALLED_S) {
            odd = true;
            break;
        }
    }
    if (odd != c->odd_one)
        lmn_info("odd-one-out odd=%d stale=%.1f alone=%d", odd, stale, !anybody);
    __atomic_store_n(&c->odd_one, odd,
                     __ATOMIC_RELAXED); /* controller/http_routes.c reads it */
    if (!odd || anybody)
        c->isolated = (struct timespec){0, 0};
    else if (!c->isolated.tv_sec)
        c->isolated = now;
}

static lmn_rpc_health own_word(const struct lmn_core *c, struct timespec now)
{
    const struct lmn_member_health *w = &c->members.word;

    return (lmn_rpc_health){w->behind_s, MIN(lmn_watch_cache_age_s(c, now), 1e6),
                            w->deaf};
}

static struct lmn_member_health word_of(const lmn_rpc_health *x)
{
    return (struct lmn_member_health){x->behind, x->stale, x->deaf};
}

/* Names are the settings', which stand for ever. */
static u_int tell(struct lmn_core *c, int to, int about, struct timespec now,
                  struct lmn_probe_reply_buffer *room)
{
    struct lmn_gossip_statement s[LMN_MAX_GOSSIP_STATEMENTS];
    unsigned n = lmn_member_gossip(&c->members, to, about, now, s);

    for (unsigned i = 0; i < n; i++)
        room->said[i] =
            (lmn_rpc_gossip){(char *)lmn_member_name(&c->members, s[i].of), s[i].inc,
                             s[i].heard_s, s[i].unanswered_s, s[i].visitors};
    return n;
}

static void be_told(struct lmn_core *c, int by, u_int n, const lmn_rpc_gossip *said,
                    struct timespec now)
{
    for (u_int i = 0; i < n; i++) {
        struct lmn_gossip_statement s = {lmn_member_index(&c->members, said[i].of),
                                         said[i].incarnation, said[i].heard,
                                         said[i].unanswered, said[i].visitors};
        lmn_member_record_gossip(&c->members, by, &s, now);
    }
}

void lmn_probe_handle(struct lmn_core *c, const lmn_rpc_probe *q, lmn_rpc_probe_reply *a,
                      struct lmn_probe_reply_buffer *room)
{
    struct timespec now = lmn_now();
    struct lmn_member_health w = word_of(&q->word);

    pthread_mutex_lock(&c->lock);
    int from = lmn_member_index(&c->members, q->from);
    int about = *q->about ? lmn_member_index(&c->members, q->about) : -1;
    if (from >= 0 && from != c->members.me) {
        lmn_member_record_contact(&c->members, from, &w, now, now);
        be_told(c, from, q->said.said_len, q->said.said_val, now);
    }
    if (about >= 0 && about != c->members.me) {
        lmn_member_request_probe(&c->members, about, now);
        pthread_cond_signal(&c->asking);
    }
    a->word = own_word(c, now);
    a->said.said_len = tell(c, from, about, now, room);
    a->said.said_val = room->said;
    pthread_mutex_unlock(&c->lock);
}

/* --- the thread --- */

struct asked {
    CLIENT *client;
};

static bool call(struct lmn_core *c, struct asked *peer, const struct lmn_probe *q,
                 lmn_rpc_probe *x, lmn_rpc_probe_reply *a)
{
    const char *name = lmn_member_name(&c->members, q->rank), *addr = NULL;
    struct timeval wait = {(time_t)q->patience_s,
                           (suseconds_t)(1e6 * (q->patience_s - (time_t)q->patience_s))};

    for (size_t i = 0; i < c->cfg->nmembers; i++)
        if (!strcmp(c->cfg->members[i].name, name))
            addr = c->cfg->members[i].addr;
    if (!peer->client && addr)
        peer->client = lmn_rpc_connect_within(addr, q->patience_s);
    if (!peer->client)
        return false;
    if (clnt_call(peer->client, LMN_RPC_PROBE, (xdrproc_t)xdr_lmn_rpc_probe, (char *)x,
                  (xdrproc_t)xdr_lmn_rpc_probe_reply, (char *)a, wait) == RPC_SUCCESS)
        return true;
    clnt_destroy(peer->client);
    peer->client = NULL;
    return false;
}

u_int lmn_tombstones_handle(struct lmn_core *c, const lmn_rpc_tombstones *q)
{
    u_int n = 0;

    pthread_mutex_lock(&c->lock);
    struct timespec now = lmn_now();
    for (u_int i = 0; i < q->jobs.jobs_len; i++)
        n += lmn_tombstone_receive(c, q->jobs.jobs_val[i].ref, now);
    c->count.tombstones += n;
    pthread_mutex_unlock(&c->lock);
    return n;
}

/* Withdrawals that the member may not see yet, on the connection that has just answered.
 */
static void tell_tombstones(struct lmn_core *c, struct asked *peer, int rank)
{
    /* It has just answered. Whoever stands still now must not hold up the questions. */
    const struct timeval wait = {0, 250000};
    char ref[LMN_RPC_MAX_ITEMS][LMN_JOB_ID_SIZE];
    const char *refs[LMN_RPC_MAX_ITEMS];
    lmn_rpc_job_id jobs[LMN_RPC_MAX_ITEMS];
    lmn_rpc_tombstones x = {{0, jobs}};
    u_int fresh;
    uint64_t upto;

    pthread_mutex_lock(&c->lock);
    x.jobs.jobs_len =
        lmn_tombstones_pending(&c->tombstones, rank, refs, G_N_ELEMENTS(refs), &upto);
    for (u_int i = 0; i < x.jobs.jobs_len; i++) {
        g_strlcpy(ref[i], refs[i], LMN_JOB_ID_SIZE);
        jobs[i].ref = ref[i];
    }
    pthread_mutex_unlock(&c->lock);
    if (!x.jobs.jobs_len)
        return;
    enum clnt_stat r =
        clnt_call(peer->client, LMN_RPC_TOMBSTONES, (xdrproc_t)xdr_lmn_rpc_tombstones,
                  (char *)&x, (xdrproc_t)xdr_u_int, (char *)&fresh, wait);
    if (r == RPC_SUCCESS ||
        r == RPC_PROCUNAVAIL) { /* an older program has no use for them */
        pthread_mutex_lock(&c->lock);
        lmn_tombstones_acknowledge(&c->tombstones, rank, upto);
        pthread_mutex_unlock(&c->lock);
        return;
    }
    clnt_destroy(peer->client);
    peer->client = NULL;
}

static void ask_one(struct lmn_core *c, struct asked *peer, const struct lmn_probe *q)
{
    struct lmn_members *ms = &c->members;
    struct lmn_probe_reply_buffer room;
    lmn_rpc_probe x = {.from = (char *)c->cfg->node, .about = (char *)""};
    lmn_rpc_probe_reply a = {0};

    if (q->about >= 0)
        x.about = (char *)lmn_member_name(ms, q->about);
    pthread_mutex_lock(&c->lock);
    struct timespec sent = lmn_now();
    x.word = own_word(c, sent);
    x.said.said_len = tell(c, q->rank, q->about, sent, &room);
    x.said.said_val = room.said;
    pthread_mutex_unlock(&c->lock);
    bool answered = call(c, peer, q, &x, &a);
    pthread_mutex_lock(&c->lock);
    struct timespec now = lmn_now();
    if (answered) {
        struct lmn_member_health w = word_of(&a.word);
        lmn_member_record_probe_reply(ms, q->rank, &w, sent, now);
        be_told(c, q->rank, a.said.said_len, a.said.said_val, now);
    } else {
        lmn_member_record_probe_timeout(ms, q->rank, sent, now);
        lmn_debug("member-unanswered member=%s after=%.2f times=%u",
                  lmn_member_name(ms, q->rank), lmn_time_diff_s(now, sent),
                  ms->v[q->rank].failures);
        pthread_cond_broadcast(&c->changed);
    }
    pthread_mutex_unlock(&c->lock);
    if (!answered)
        return;
    xdr_free((xdrproc_t)xdr_lmn_rpc_probe_reply, (char *)&a);
    tell_tombstones(c, peer, q->rank);
}

void *lmn_probe_thread(void *arg)
{
    struct lmn_core *c = arg;
    struct asked peers[LMN_MAX_MEMBERS + 1] = {0};

    for (;;) {
        struct lmn_probe q;
        double wait;
        pthread_mutex_lock(&c->lock);
        while (!lmn_member_next_probe(&c->members, c->rng, lmn_now(), &q, &wait)) {
            look_around(c, lmn_now());
            lmn_cond_wait_for(&c->asking, &c->lock, wait);
        }
        pthread_mutex_unlock(&c->lock);
        ask_one(c, &peers[q.rank], &q);
    }
    return NULL;
}
