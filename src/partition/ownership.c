#include "partition/ownership.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "partition/shutdown.h"
#include "partition/partition.h"
#include "replication/replica.h"
#include "replication/replica_choice.h"

struct holder {
    struct lmn_core *c;
    struct lmn_http_client *http;
    GByteArray *buf;
    double ttl;
    uint64_t lease;
    struct timespec renewed;
    bool announced;
};

static void drop_lease(struct holder *state, const char *why)
{
    lmn_info("lease_lost lease=%" G_GUINT64_FORMAT " why=\"%s\"", state->lease, why);
    state->lease = 0;
    state->announced = false;
    pthread_mutex_lock(&state->c->lock);
    state->c->lease.id = 0;
    for (int i = 0; i < state->c->partition_count; i++)
        if (state->c->partitions[i].ownership.is_owned)
            lmn_partition_lose(state->c, &state->c->partitions[i], "lease ended");
    pthread_mutex_unlock(&state->c->lock);
}

static void keep_lease(struct holder *state)
{
    struct lmn_core *core = state->c;
    char path[64];
    int status;

    if (state->lease) {
        g_snprintf(path, sizeof path,
                   WIRE_PATH_LEASES "/%" G_GUINT64_FORMAT WIRE_PATH_RENEW, state->lease);
        struct timespec sent = lmn_now();
        status = lmn_http_client_call(state->http, "POST", path, NULL, 1.0, state->buf);
        if (status == 200)
            state->renewed = sent;
        else if (status == 404)
            drop_lease(state, "ended");
        return;
    }
    GByteArray *body = g_byte_array_new();
    lmn_cbor_put_map(body, 1);
    lmn_cbor_put_text(body, WIRE_TTL_MS),
        lmn_cbor_put_uint(body, (uint64_t)(state->ttl * 1000));
    struct timespec sent = lmn_now();
    status = lmn_http_client_call(state->http, "POST", WIRE_PATH_LEASES, body, 1.5,
                                  state->buf);
    g_byte_array_unref(body);
    struct lmn_cbor_document d;
    if (status == 200 && lmn_cbor_parse(&d, state->buf->data, state->buf->len) == 0) {
        if (lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_LEASE),
                              &state->lease)) {
            state->renewed = sent;
            pthread_mutex_lock(&core->lock);
            core->lease.id = state->lease;
            core->lease.acquired_at = lmn_now();
            pthread_mutex_unlock(&core->lock);
            lmn_info("lease_acquired lease=%" G_GUINT64_FORMAT, state->lease);
        }
        lmn_cbor_free(&d);
    }
}

static enum lmn_txn_outcome send(struct holder *state, struct lmn_txn *txn)
{
    uint64_t revision;
    enum lmn_txn_outcome r =
        lmn_kv_client_commit(state->c->kv_client, state->http, txn, &revision, NULL);

    lmn_txn_free(txn);
    return r;
}

/* --- decisions --- */

/* This node's record: its revision is the node's incarnation. Conditional on what the
 * mirror shows of it, so that one which is carried out late undoes no newer one. Before
 * anything was read there is nothing to go by. */
static struct lmn_txn *record(const struct lmn_core *core, uint64_t lease)
{
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    char *key = g_strdup_printf("n/%s", core->settings->node_name);
    GByteArray *v = g_byte_array_new();

    if (core->cache.is_synced)
        lmn_txn_require_version(txn, key,
                                core->members.views[core->members.self].incarnation);
    if (core->shutdown.is_requested) {
        lmn_cbor_put_map(v, 2);
        lmn_cbor_put_text(v, "lease"), lmn_cbor_put_uint(v, lease);
        lmn_cbor_put_text(v, "leaving"), lmn_cbor_put_bool(v, true);
    } else {
        lmn_cbor_put_uint(v, lease);
    }
    lmn_txn_put(txn, key, v, lease);
    g_free(key);
    return txn;
}

bool lmn_ownership_is_announced(const struct lmn_core *core, uint64_t lease)
{
    const struct lmn_member_view *member = &core->members.views[core->members.self];

    return core->cache.is_synced && member->is_present && member->lease == lease &&
           member->is_shutting_down == core->shutdown.is_requested;
}

/* Until the mirror shows it, it is said again after this time. */
static const double AGAIN_S = 1;

struct lmn_txn *lmn_ownership_announce(struct lmn_core *core, uint64_t lease,
                                       struct timespec now)
{
    if (!lease || lmn_ownership_is_announced(core, lease) ||
        (core->lease.announced == lease &&
         core->lease.announced_shutdown == core->shutdown.is_requested &&
         lmn_time_diff_s(now, core->lease.announced_at) < AGAIN_S))
        return NULL;
    core->lease.announced = lease;
    core->lease.announced_shutdown = core->shutdown.is_requested;
    core->lease.announced_at = now;
    return record(core, lease);
}

void lmn_ownership_announced(struct lmn_core *core, enum lmn_txn_outcome r)
{
    /* The mirror was a little behind: no need to wait. */
    if (r == LMN_TXN_CONFLICT)
        core->lease.announced = 0;
}

struct lmn_txn *lmn_ownership_refutation(const struct lmn_core *core, uint64_t lease,
                                         struct timespec now)
{
    return lmn_self_should_refute(&core->members, now) ? record(core, lease) : NULL;
}

struct lmn_txn *lmn_ownership_suspicion(struct lmn_core *core, int member_index,
                                        uint64_t lease, struct timespec now)
{
    struct lmn_members *members = &core->members;
    const struct lmn_member_view *member = &members->views[member_index];
    struct lmn_failure_evidence e;

    if (!lmn_member_should_suspect(members, member_index, now, &e))
        return NULL;
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    char *key = g_strdup_printf("u/%s", lmn_member_name(members, member_index));
    GByteArray *v = g_byte_array_new();
    lmn_txn_require_version(txn, key, member->suspicion_revision);
    lmn_cbor_put_map(v, 3);
    lmn_cbor_put_text(v, "incarnation"), lmn_cbor_put_uint(v, member->incarnation);
    lmn_cbor_put_text(v, "by"), lmn_cbor_put_text(v, core->settings->node_name);
    lmn_cbor_put_text(v, "why"), lmn_cbor_put_uint(v, e.cause);
    lmn_txn_put(txn, key, v, lease);
    g_free(key);
    members->counters.suspicions++;
    lmn_info("member_suspicion_written member=%s incarnation=%" G_GUINT64_FORMAT
             " why=%s asked=%.1f others=%.1f by=%u workers=%u stale=%.1f deaf=%.2f",
             lmn_member_name(members, member_index), member->incarnation,
             lmn_suspicion_cause_name(e.cause), e.own_phi, e.best_other_phi,
             e.other_witnesses, e.redirected_workers, e.cache_age_s,
             e.silent_machine_share);
    return txn;
}

/* A process that starts again hears of the others within this time, if they are there. */
static const double HEAR_S = 1;

struct lmn_txn *lmn_ownership_claim(struct lmn_core *core, int id, uint64_t lease,
                                    struct timespec now)
{
    const struct lmn_partition *partition = &core->partitions[id];
    struct lmn_members *members = &core->members;
    struct lmn_failure_evidence e;

    if (!core->cache.is_synced || partition->ownership.is_owned ||
        !lmn_partition_should_claim(core, partition, now))
        return NULL;
    if (partition->record.owner_revision &&
        lmn_member_index(members, partition->record.owner) == members->self &&
        !lmn_replica_own_is_latest(partition)) {
        /* Our last life held it. Who was in step with that one knows more than we do. */
        int named = lmn_standby_in_sync(core, partition, now);
        if (named >= 0 && named != members->self &&
            members->views[named].ever_contacted) {
            lmn_info("partition_passed_to_standby partition=%d to=%s", id,
                     lmn_member_name(members, named));
            return lmn_partition_transfer(core, partition, named);
        }
        if (named >= 0 && named != members->self &&
            lmn_time_diff_s(now, core->cache.synced_at) < HEAR_S)
            return NULL;
    }
    int judged = partition->record.owner_revision
                     ? lmn_member_index(members, partition->record.owner)
                     : -1;
    if (judged >= 0 && judged != members->self) {
        lmn_member_failure_evidence(members, judged, now, &e);
        members->counters.failures_declared++;
        lmn_info("member_declared_failed member=%s incarnation=%" G_GUINT64_FORMAT
                 " partition=%d why=%s sides=%u asked=%.1f others=%.1f by=%u "
                 "workers=%u suspected=%.2f",
                 partition->record.owner, members->views[judged].incarnation, id,
                 lmn_suspicion_cause_name(e.cause), e.independent_witnesses, e.own_phi,
                 e.best_other_phi, e.other_witnesses, e.redirected_workers,
                 lmn_time_diff_s(now, members->views[judged].suspected_since));
    }
    return lmn_partition_claim(core, partition, lease);
}

static const double LATEST_BACK_S = 30;

/* Who may have the partition now; -1: nobody. */
static int gives(const struct lmn_core *core, const struct lmn_partition *p,
                 struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int holder = p->id % members->count, held = 0, theirs = 0;

    if (!p->ownership.is_owned)
        return -1;
    if (core->shutdown.is_requested)
        return lmn_shutdown_transfer_target(core, p, now);
    int successor = lmn_self_transfer_target(members, now);
    if (successor >= 0)
        return successor;
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *o = &core->partitions[i];
        held += o->ownership.is_owned;
        theirs += o->record.owner_revision &&
                  lmn_member_index(members, o->record.owner) == holder;
    }
    if (!p->ownership.is_ready || held < 2 || theirs || holder == members->self ||
        !lmn_member_is_trusted(members, holder, now) ||
        lmn_member_readmission_delay_s(members, holder, now) > 0 ||
        lmn_time_diff_s(now, p->ownership.since) < 15.0)
        return -1;
    /* It is told everything first, so that nothing stands still; if that does not come
     * about, it gets its work all the same. */
    if (core->cache.operator_settings.standby > 0 &&
        lmn_standby_in_sync(core, p, now) != holder &&
        lmn_time_diff_s(now, p->ownership.since) < LATEST_BACK_S)
        return -1;
    return holder;
}

struct lmn_txn *lmn_ownership_transfer(struct lmn_core *core, int id, int *successor,
                                       struct timespec now)
{
    struct lmn_partition *partition = &core->partitions[id];
    struct lmn_members *members = &core->members;

    /* One whose outcome was not known, and that the mirror has not shown since. */
    if (partition->ownership.is_owned && partition->ownership.is_transferring &&
        lmn_time_before(partition->ownership.transfer_tried_at, core->cache.fresh_at))
        partition->ownership.is_transferring = false;
    *successor = partition->ownership.is_transferring ? -1 : gives(core, partition, now);
    if (*successor < 0)
        return NULL;
    if (lmn_self_transfer_target(members, now) == *successor &&
        !members->is_isolated_from_workers) {
        lmn_info("member_heartbeats_missing deaf=%.2f successor=%s",
                 members->health.silent_machine_share,
                 lmn_member_name(members, *successor));
        members->is_isolated_from_workers = true;
    }
    lmn_info("partition_transfer_started partition=%d to=%s warm=%d", id,
             lmn_member_name(members, *successor),
             lmn_standby_in_sync(core, partition, now) == *successor);
    partition->ownership.is_transferring = true;
    partition->ownership.transfer_tried_at = now;
    members->counters.transfers++;
    return lmn_partition_transfer(core, partition, *successor);
}

void lmn_ownership_transferred(struct lmn_core *core, int id, enum lmn_txn_outcome r,
                               struct timespec now)
{
    struct lmn_partition *partition = &core->partitions[id];

    partition->ownership.transfer_tried_at = now;
    if (r == LMN_TXN_REJECTED || r == LMN_TXN_CONFLICT)
        partition->ownership.is_transferring = false;
}

/* --- the thread --- */

static void announce(struct holder *state)
{
    pthread_mutex_lock(&state->c->lock);
    struct lmn_txn *txn = lmn_ownership_announce(state->c, state->lease, lmn_now());
    state->announced =
        state->announced || lmn_ownership_is_announced(state->c, state->lease);
    pthread_mutex_unlock(&state->c->lock);
    if (!txn)
        return;
    enum lmn_txn_outcome r = send(state, txn);
    state->announced = state->announced || r == LMN_TXN_COMMITTED;
    pthread_mutex_lock(&state->c->lock);
    lmn_ownership_announced(state->c, r);
    pthread_mutex_unlock(&state->c->lock);
}

/* Once nothing hangs on it, a lease that is let go spares the others the wait for its
 * end. They are not to miss this member, which is about to end. */
static void leave(struct holder *state)
{
    struct lmn_core *core = state->c;
    char path[64];

    pthread_mutex_lock(&core->lock);
    bool bare = lmn_shutdown_owns_nothing(core) && !core->shutdown.has_released_lease;
    pthread_mutex_unlock(&core->lock);
    if (!bare)
        return;
    if (state->lease) {
        g_snprintf(path, sizeof path, WIRE_PATH_LEASES "/%" G_GUINT64_FORMAT,
                   state->lease);
        int status =
            lmn_http_client_call(state->http, "DELETE", path, NULL, 1.0, state->buf);
        if (status != 200 && status != 404)
            return;
        state->lease = 0;
        state->announced = false;
    }
    pthread_mutex_lock(&core->lock);
    core->lease.id = 0;
    core->shutdown.has_released_lease = true;
    lmn_info("shutdown_partitions_transferred after=%.2f",
             lmn_time_diff_s(lmn_now(), core->shutdown.began_at));
    pthread_mutex_unlock(&core->lock);
}

static bool gone(struct holder *state)
{
    pthread_mutex_lock(&state->c->lock);
    bool left = state->c->shutdown.has_released_lease;
    pthread_mutex_unlock(&state->c->lock);
    return left;
}

static void tell(struct holder *state)
{
    struct lmn_core *core = state->c;

    for (int i = 0; i < core->members.count; i++) {
        pthread_mutex_lock(&core->lock);
        struct lmn_txn *txn =
            i == core->members.self
                ? lmn_ownership_refutation(core, state->lease, lmn_now())
                : lmn_ownership_suspicion(core, i, state->lease, lmn_now());
        pthread_mutex_unlock(&core->lock);
        if (txn)
            send(state, txn);
    }
}

static void claim(struct holder *state, int id)
{
    struct lmn_core *core = state->c;

    pthread_mutex_lock(&core->lock);
    struct lmn_txn *txn = lmn_ownership_claim(core, id, state->lease, lmn_now());
    pthread_mutex_unlock(&core->lock);
    if (!txn)
        return;
    /* Not in the log line: that does nothing at a lower level. */
    enum lmn_txn_outcome r = send(state, txn);
    lmn_info("partition_claim_tried partition=%d outcome=%d", id, r);
}

static void give(struct holder *state, int id)
{
    struct lmn_core *core = state->c;
    int successor;

    pthread_mutex_lock(&core->lock);
    struct lmn_txn *txn = lmn_ownership_transfer(core, id, &successor, lmn_now());
    pthread_mutex_unlock(&core->lock);
    if (!txn)
        return;
    enum lmn_txn_outcome r = send(state, txn);
    lmn_info("partition_transfer_tried partition=%d to=%s outcome=%d", id,
             lmn_member_name(&core->members, successor), r);
    pthread_mutex_lock(&core->lock);
    lmn_ownership_transferred(core, id, r, lmn_now());
    pthread_mutex_unlock(&core->lock);
}

void *lmn_ownership_thread(void *arg)
{
    struct lmn_core *core = arg;
    struct holder h = {.c = core, .ttl = core->members.timeouts.lease_s};

    h.http = lmn_http_client_new(core->settings->state_address);
    h.buf = g_byte_array_new();
    for (;;) {
        struct timespec now = lmn_now();
        if (gone(&h)) {
            lmn_sleep(0.5);
            continue;
        }
        if (!h.lease || lmn_time_diff_s(now, h.renewed) > h.ttl / 4)
            keep_lease(&h);
        if (h.lease)
            announce(&h);
        leave(&h);
        if (h.lease && h.announced)
            tell(&h);
        if (h.lease)
            for (int i = 0; i < core->partition_count; i++) {
                claim(&h, i);
                give(&h, i);
            }
        pthread_mutex_lock(&core->lock);
        lmn_cond_wait_for(&core->ownership_changed, &core->lock,
                          core->members.timeouts.probe_interval_s / 4);
        pthread_mutex_unlock(&core->lock);
    }
    return NULL;
}
