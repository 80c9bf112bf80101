/** @file
 * Sends and answers probes. The probe thread owns its connections to the members. The
 * views of the members belong to the core and are guarded by its lock, which is not held
 * during a call. */
#include "controller/probe_client.h"
#include "controller/rpc_client.h"
#include "controller/unschedulable_message.h"
#include "state/core.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/thread.h"

#include <rpc/rpc.h>

/** Longer ages are sent as this value, also that of a watch cache that was never in sync.
 */
static const double MAX_REPORTED_AGE_S = 1e6;
/** Time for which a member's last reported health is valid. */
static const double HEALTH_VALID_S = 2;
static const double US_PER_S = 1e6;
/** Timeout of the call that sends tombstones. Short, because the member has just answered
 * a probe, and if it stops answering now, the probes of other members must not wait. */
static const struct timeval TOMBSTONES_TIMEOUT = {0, 250000};

/* --- detection of an isolated view --- */

/** Finds the member whose watch cache is compared with this controller's: the first with
 * a valid health report.
 * @return its member index; -1: none */
static int first_reachable_member(const struct lmn_core *core, struct timespec now)
{
    for (int i = 0; i < core->members.count; i++) {
        const struct lmn_member_view *member = &core->members.views[i];
        if (i != core->members.self && member->health_at.tv_sec &&
            lmn_time_diff_s(now, member->health_at) <= HEALTH_VALID_S)
            return i;
    }
    return -1;
}

/** Updates whether this controller's view is isolated: its watch cache is stalled, while
 * another member's is not, or no other member is reachable. Then the fault is assumed to
 * be on this controller's side, and its users should be served by another one. If the
 * other member's watch cache is stalled too, the key-value store has an outage, and all
 * controllers continue to serve. Called with the core's lock held. */
static void update_isolated_view(struct lmn_core *core, struct timespec now)
{
    double cache_age_s = core->cache.is_synced ? lmn_watch_cache_age_s(core, now) : 0;
    bool is_stalled = cache_age_s >= LMN_CACHE_STALLED_AGE_S && core->members.count > 1;
    int peer = is_stalled ? first_reachable_member(core, now) : -1;
    bool is_alone = peer < 0;
    bool is_isolated =
        is_stalled && (is_alone || core->members.views[peer].health.cache_age_s <
                                       LMN_CACHE_STALLED_AGE_S);

    if (is_isolated != core->cache.is_isolated_view)
        lmn_info("isolated_view_changed odd=%d stale=%.1f alone=%d", is_isolated,
                 cache_age_s, is_alone);
    /* controller/http_routes.c reads it without the lock. */
    __atomic_store_n(&core->cache.is_isolated_view, is_isolated, __ATOMIC_RELAXED);
    if (!is_isolated || !is_alone)
        core->cache.isolated_since = (struct timespec){0, 0};
    else if (!core->cache.isolated_since.tv_sec)
        core->cache.isolated_since = now;
}

/* --- messages --- */

/** Called with the core's lock held. */
static lmn_rpc_health encode_own_health(const struct lmn_core *core, struct timespec now)
{
    const struct lmn_member_health *health = &core->members.health;

    return (lmn_rpc_health){health->delay_s,
                            MIN(lmn_watch_cache_age_s(core, now), MAX_REPORTED_AGE_S),
                            health->silent_machine_share};
}

static struct lmn_member_health decode_health(const lmn_rpc_health *health)
{
    return (struct lmn_member_health){health->delay_s, health->cache_age_s,
                                      health->silent_machine_share};
}

/** Fills the buffer with gossip for a member. The member names point into the settings,
 * which do not change. Called with the core's lock held.
 * @param recipient member index
 * @param about index of a member to include in the gossip; -1: none in particular
 * @return the number of statements */
static u_int encode_gossip(struct lmn_core *core, int recipient, int about,
                           struct timespec now, struct lmn_probe_reply_buffer *buffer)
{
    struct lmn_gossip_statement statements[LMN_MAX_GOSSIP_STATEMENTS];
    unsigned count =
        lmn_member_select_gossip(&core->members, recipient, about, now, statements);

    for (unsigned i = 0; i < count; i++)
        buffer->gossip[i] = (lmn_rpc_gossip){
            (char *)lmn_member_name(&core->members, statements[i].member),
            statements[i].incarnation, statements[i].last_contact_age_s,
            statements[i].unanswered_age_s, statements[i].redirected_workers};
    return count;
}

/** Called with the core's lock held. */
static void record_gossip(struct lmn_core *core, int from, u_int count,
                          const lmn_rpc_gossip *gossip, struct timespec now)
{
    for (u_int i = 0; i < count; i++) {
        struct lmn_gossip_statement statement = {
            lmn_member_index(&core->members, gossip[i].member), gossip[i].incarnation,
            gossip[i].last_contact_age_s, gossip[i].unanswered_age_s,
            gossip[i].redirected_workers};
        lmn_member_record_gossip(&core->members, from, &statement, now);
    }
}

/* --- handlers of other members' calls --- */

void lmn_probe_handle(struct lmn_core *core, const lmn_rpc_probe *probe,
                      lmn_rpc_probe_reply *reply, struct lmn_probe_reply_buffer *buffer)
{
    struct timespec now = lmn_now();
    struct lmn_member_health health = decode_health(&probe->health);

    pthread_mutex_lock(&core->lock);
    int from = lmn_member_index(&core->members, probe->from);
    int about = *probe->about ? lmn_member_index(&core->members, probe->about) : -1;
    if (from >= 0 && from != core->members.self) {
        lmn_member_record_contact(&core->members, from, &health, now, now);
        record_gossip(core, from, probe->gossip.gossip_len, probe->gossip.gossip_val,
                      now);
    }
    if (about >= 0 && about != core->members.self) {
        lmn_member_request_probe(&core->members, about, now);
        pthread_cond_signal(&core->probe_due);
    }
    reply->health = encode_own_health(core, now);
    reply->gossip.gossip_len = encode_gossip(core, from, about, now, buffer);
    reply->gossip.gossip_val = buffer->gossip;
    pthread_mutex_unlock(&core->lock);
}

u_int lmn_tombstones_handle(struct lmn_core *core, const lmn_rpc_tombstones *tombstones)
{
    u_int received = 0;

    pthread_mutex_lock(&core->lock);
    struct timespec now = lmn_now();
    for (u_int i = 0; i < tombstones->jobs.jobs_len; i++)
        received += lmn_tombstone_receive(core, tombstones->jobs.jobs_val[i].job_id, now);
    core->counters.tombstones += received;
    pthread_mutex_unlock(&core->lock);
    return received;
}

/* --- the probe thread --- */

/** The probe thread's connection to a member. */
struct probe_peer {
    CLIENT *client; /**< NULL: not connected */
    struct lmn_unschedulable_sent unschedulable;
};

static void disconnect(struct probe_peer *peer)
{
    clnt_destroy(peer->client);
    peer->client = NULL;
}

/** @param reply to be freed with xdr_free if the call succeeds
 * @return false if the member cannot be reached or does not answer */
static bool call_member(struct lmn_core *core, struct probe_peer *peer,
                        const struct lmn_probe *probe, lmn_rpc_probe *message,
                        lmn_rpc_probe_reply *reply)
{
    const char *name = lmn_member_name(&core->members, probe->member);
    const struct timeval timeout = {
        (time_t)probe->timeout_s,
        (suseconds_t)(US_PER_S * (probe->timeout_s - (time_t)probe->timeout_s))};

    if (!peer->client)
        peer->client = lmn_rpc_connect_to_member(core->settings, name, probe->timeout_s);
    if (!peer->client)
        return false;
    if (clnt_call(peer->client, LMN_RPC_PROBE, (xdrproc_t)xdr_lmn_rpc_probe,
                  (char *)message, (xdrproc_t)xdr_lmn_rpc_probe_reply, (char *)reply,
                  timeout) == RPC_SUCCESS)
        return true;
    disconnect(peer);
    return false;
}

/** Sends the member the tombstones that it has not acknowledged, on the connection on
 * which it has just answered a probe. */
static void send_tombstones(struct lmn_core *core, struct probe_peer *peer,
                            int member_index)
{
    char job_ids[LMN_RPC_MAX_ITEMS][LMN_JOB_ID_SIZE];
    const char *pending[LMN_RPC_MAX_ITEMS];
    lmn_rpc_job_id jobs[LMN_RPC_MAX_ITEMS];
    lmn_rpc_tombstones message = {{0, jobs}};
    u_int unknown_count;
    uint64_t position;

    pthread_mutex_lock(&core->lock);
    message.jobs.jobs_len = lmn_tombstones_pending(
        &core->cache.tombstones, member_index, pending, G_N_ELEMENTS(pending), &position);
    /* Copied, because the ids belong to the core, and its lock is not held during the
     * call. */
    for (u_int i = 0; i < message.jobs.jobs_len; i++) {
        g_strlcpy(job_ids[i], pending[i], LMN_JOB_ID_SIZE);
        jobs[i].job_id = job_ids[i];
    }
    pthread_mutex_unlock(&core->lock);
    if (!message.jobs.jobs_len)
        return;
    enum clnt_stat status =
        clnt_call(peer->client, LMN_RPC_TOMBSTONES, (xdrproc_t)xdr_lmn_rpc_tombstones,
                  (char *)&message, (xdrproc_t)xdr_u_int, (char *)&unknown_count,
                  TOMBSTONES_TIMEOUT);
    /* A member with an older version does not support the call and does not need the
     * tombstones: they count as acknowledged. */
    if (status != RPC_SUCCESS && status != RPC_PROCUNAVAIL) {
        disconnect(peer);
        return;
    }
    pthread_mutex_lock(&core->lock);
    lmn_tombstones_acknowledge(&core->cache.tombstones, member_index, position);
    pthread_mutex_unlock(&core->lock);
}

/** Called with the core's lock held. */
static void record_reply(struct lmn_core *core, const struct lmn_probe *probe,
                         const lmn_rpc_probe_reply *reply, struct timespec sent_at,
                         struct timespec now)
{
    struct lmn_member_health health = decode_health(&reply->health);

    lmn_member_record_probe_reply(&core->members, probe->member, &health, sent_at, now);
    record_gossip(core, probe->member, reply->gossip.gossip_len, reply->gossip.gossip_val,
                  now);
}

/** Called with the core's lock held. */
static void record_timeout(struct lmn_core *core, const struct lmn_probe *probe,
                           struct timespec sent_at, struct timespec now)
{
    lmn_member_record_probe_timeout(&core->members, probe->member, sent_at, now);
    lmn_debug("member_probe_timeout member=%s after=%.2f times=%u",
              lmn_member_name(&core->members, probe->member),
              lmn_time_diff_s(now, sent_at),
              core->members.views[probe->member].probe_failures);
    pthread_cond_broadcast(&core->ownership_changed);
}

static void probe_member(struct lmn_core *core, struct probe_peer *peer,
                         const struct lmn_probe *probe)
{
    struct lmn_probe_reply_buffer buffer;
    lmn_rpc_probe message = {.from = (char *)core->settings->node_name,
                             .about = (char *)""};
    lmn_rpc_probe_reply reply = {0};

    if (probe->about >= 0)
        message.about = (char *)lmn_member_name(&core->members, probe->about);
    pthread_mutex_lock(&core->lock);
    struct timespec sent_at = lmn_now();
    message.health = encode_own_health(core, sent_at);
    message.gossip.gossip_len =
        encode_gossip(core, probe->member, probe->about, sent_at, &buffer);
    message.gossip.gossip_val = buffer.gossip;
    pthread_mutex_unlock(&core->lock);
    bool is_answered = call_member(core, peer, probe, &message, &reply);
    pthread_mutex_lock(&core->lock);
    if (is_answered)
        record_reply(core, probe, &reply, sent_at, lmn_now());
    else
        record_timeout(core, probe, sent_at, lmn_now());
    pthread_mutex_unlock(&core->lock);
    if (!is_answered)
        return;
    xdr_free((xdrproc_t)xdr_lmn_rpc_probe_reply, (char *)&reply);
    send_tombstones(core, peer, probe->member);
    if (peer->client && !lmn_unschedulable_send(core, peer->client, &peer->unschedulable))
        disconnect(peer);
}

void *lmn_probe_thread(void *arg)
{
    struct lmn_core *core = arg;
    struct probe_peer peers[LMN_MAX_MEMBERS + 1] = {0};

    for (;;) {
        struct lmn_probe probe;
        double wait_s;
        pthread_mutex_lock(&core->lock);
        while (!lmn_member_next_probe(&core->members, core->random, lmn_now(), &probe,
                                      &wait_s)) {
            update_isolated_view(core, lmn_now());
            lmn_cond_wait_for(&core->probe_due, &core->lock, wait_s);
        }
        pthread_mutex_unlock(&core->lock);
        probe_member(core, &peers[probe.member], &probe);
    }
    return NULL;
}
