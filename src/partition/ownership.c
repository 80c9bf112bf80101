#include "partition/ownership.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "partition/shutdown.h"
#include "partition/partition.h"
#include "replication/stream.h"

struct holder {
    struct lmn_core *c;
    struct lmn_http_client *http;
    GByteArray *buf;
    double ttl;
    uint64_t lease;
    struct timespec renewed;
    bool announced;
};

static void drop_lease(struct holder *h, const char *why)
{
    lmn_info("lease-lost lease=%" G_GUINT64_FORMAT " why=\"%s\"", h->lease, why);
    h->lease = 0;
    h->announced = false;
    pthread_mutex_lock(&h->c->lock);
    h->c->lease = 0;
    for (int i = 0; i < h->c->nparts; i++)
        if (h->c->parts[i].mine)
            lmn_partition_lose(h->c, &h->c->parts[i], "lease ended");
    pthread_mutex_unlock(&h->c->lock);
}

static void keep_lease(struct holder *h)
{
    struct lmn_core *c = h->c;
    char path[64];
    int status;

    if (h->lease) {
        g_snprintf(path, sizeof path,
                   WIRE_PATH_LEASES "/%" G_GUINT64_FORMAT WIRE_PATH_RENEW, h->lease);
        struct timespec sent = lmn_now();
        status = lmn_http_client_call(h->http, "POST", path, NULL, 1.0, h->buf);
        if (status == 200)
            h->renewed = sent;
        else if (status == 404)
            drop_lease(h, "ended");
        return;
    }
    GByteArray *body = g_byte_array_new();
    lmn_cbor_put_map(body, 1);
    lmn_cbor_put_text(body, WIRE_TTL_MS),
        lmn_cbor_put_uint(body, (uint64_t)(h->ttl * 1000));
    struct timespec sent = lmn_now();
    status = lmn_http_client_call(h->http, "POST", WIRE_PATH_LEASES, body, 1.5, h->buf);
    g_byte_array_unref(body);
    struct lmn_cbor_document d;
    if (status == 200 && lmn_cbor_parse(&d, h->buf->data, h->buf->len) == 0) {
        if (lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_LEASE),
                              &h->lease)) {
            h->renewed = sent;
            pthread_mutex_lock(&c->lock);
            c->lease = h->lease;
            c->leased = lmn_now();
            pthread_mutex_unlock(&c->lock);
            lmn_info("lease-new lease=%" G_GUINT64_FORMAT, h->lease);
        }
        lmn_cbor_free(&d);
    }
}

static enum lmn_txn_outcome send(struct holder *h, struct lmn_txn *t)
{
    uint64_t rev;
    enum lmn_txn_outcome r = lmn_kv_client_commit(h->c->state, h->http, t, &rev, NULL);

    lmn_txn_free(t);
    return r;
}

/* --- decisions --- */

/* This node's record: its revision is the node's incarnation. Conditional on what the
 * mirror shows of it, so that one which is carried out late undoes no newer one. Before
 * anything was read there is nothing to go by. */
static struct lmn_txn *record(const struct lmn_core *c, uint64_t lease)
{
    struct lmn_txn *t = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    char *key = g_strdup_printf("n/%s", c->cfg->node);
    GByteArray *v = g_byte_array_new();

    if (c->synced)
        lmn_txn_require_version(t, key, c->members.v[c->members.me].inc);
    if (c->leaving) {
        lmn_cbor_put_map(v, 2);
        lmn_cbor_put_text(v, "lease"), lmn_cbor_put_uint(v, lease);
        lmn_cbor_put_text(v, "leaving"), lmn_cbor_put_bool(v, true);
    } else {
        lmn_cbor_put_uint(v, lease);
    }
    lmn_txn_put(t, key, v, lease);
    g_free(key);
    return t;
}

bool lmn_ownership_is_announced(const struct lmn_core *c, uint64_t lease)
{
    const struct lmn_member_view *me = &c->members.v[c->members.me];

    return c->synced && me->present && me->lease == lease && me->leaving == c->leaving;
}

/* Until the mirror shows it, it is said again after this time. */
static const double AGAIN_S = 1;

struct lmn_txn *lmn_ownership_announce(struct lmn_core *c, uint64_t lease,
                                       struct timespec now)
{
    if (!lease || lmn_ownership_is_announced(c, lease) ||
        (c->announced_lease == lease && c->announced_leaving == c->leaving &&
         lmn_time_diff_s(now, c->announced) < AGAIN_S))
        return NULL;
    c->announced_lease = lease;
    c->announced_leaving = c->leaving;
    c->announced = now;
    return record(c, lease);
}

void lmn_ownership_announced(struct lmn_core *c, enum lmn_txn_outcome r)
{
    /* The mirror was a little behind: no need to wait. */
    if (r == LMN_TXN_CONFLICT)
        c->announced_lease = 0;
}

struct lmn_txn *lmn_ownership_refutation(const struct lmn_core *c, uint64_t lease,
                                         struct timespec now)
{
    return lmn_self_should_refute(&c->members, now) ? record(c, lease) : NULL;
}

struct lmn_txn *lmn_ownership_suspicion(struct lmn_core *c, int rank, uint64_t lease,
                                        struct timespec now)
{
    struct lmn_members *ms = &c->members;
    const struct lmn_member_view *m = &ms->v[rank];
    struct lmn_failure_evidence e;

    if (!lmn_member_should_suspect(ms, rank, now, &e))
        return NULL;
    struct lmn_txn *t = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    char *key = g_strdup_printf("u/%s", lmn_member_name(ms, rank));
    GByteArray *v = g_byte_array_new();
    lmn_txn_require_version(t, key, m->doubt_rev);
    lmn_cbor_put_map(v, 3);
    lmn_cbor_put_text(v, "incarnation"), lmn_cbor_put_uint(v, m->inc);
    lmn_cbor_put_text(v, "by"), lmn_cbor_put_text(v, c->cfg->node);
    lmn_cbor_put_text(v, "why"), lmn_cbor_put_uint(v, e.cause);
    lmn_txn_put(t, key, v, lease);
    g_free(key);
    ms->count.suspicions++;
    lmn_info("member-suspect member=%s incarnation=%" G_GUINT64_FORMAT
             " why=%s asked=%.1f others=%.1f by=%u workers=%u stale=%.1f deaf=%.2f",
             lmn_member_name(ms, rank), m->inc, lmn_suspicion_cause_name(e.cause),
             e.asked, e.others, e.by, e.visitors, e.stale_s, e.deaf);
    return t;
}

/* A process that starts again hears of the others within this time, if they are there. */
static const double HEAR_S = 1;

struct lmn_txn *lmn_ownership_claim(struct lmn_core *c, int id, uint64_t lease,
                                    struct timespec now)
{
    const struct lmn_partition *p = &c->parts[id];
    struct lmn_members *ms = &c->members;
    struct lmn_failure_evidence e;

    if (!c->synced || p->mine || !lmn_partition_should_claim(c, p, now))
        return NULL;
    if (p->owner_rev && lmn_member_index(ms, p->owner) == ms->me &&
        !lmn_replica_own_is_latest(p)) {
        /* Our last life held it. Who was in step with that one knows more than we do. */
        int named = lmn_standby_named(c, p, now);
        if (named >= 0 && named != ms->me && ms->v[named].ever) {
            lmn_info("partition-hand-on partition=%d to=%s", id,
                     lmn_member_name(ms, named));
            return lmn_partition_transfer(c, p, named);
        }
        if (named >= 0 && named != ms->me && lmn_time_diff_s(now, c->synced_at) < HEAR_S)
            return NULL;
    }
    int judged = p->owner_rev ? lmn_member_index(ms, p->owner) : -1;
    if (judged >= 0 && judged != ms->me) {
        lmn_member_failure_evidence(ms, judged, now, &e);
        ms->count.verdicts++;
        lmn_info("member-verdict member=%s incarnation=%" G_GUINT64_FORMAT
                 " partition=%d why=%s sides=%u asked=%.1f others=%.1f by=%u "
                 "workers=%u suspected=%.2f",
                 p->owner, ms->v[judged].inc, id, lmn_suspicion_cause_name(e.cause),
                 e.sides, e.asked, e.others, e.by, e.visitors,
                 lmn_time_diff_s(now, ms->v[judged].doubted));
    }
    return lmn_partition_claim(c, p, lease);
}

static const double LATEST_BACK_S = 30;

/* Who may have the partition now; -1: nobody. */
static int gives(const struct lmn_core *c, const struct lmn_partition *p,
                 struct timespec now)
{
    const struct lmn_members *ms = &c->members;
    int holder = p->id % ms->n, held = 0, theirs = 0;

    if (!p->mine)
        return -1;
    if (c->leaving)
        return lmn_shutdown_transfer_target(c, p, now);
    int successor = lmn_self_transfer_target(ms, now);
    if (successor >= 0)
        return successor;
    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *o = &c->parts[i];
        held += o->mine;
        theirs += o->owner_rev && lmn_member_index(ms, o->owner) == holder;
    }
    if (!p->ready || held < 2 || theirs || holder == ms->me ||
        !lmn_member_is_trusted(ms, holder, now) ||
        lmn_member_readmission_delay_s(ms, holder, now) > 0 ||
        lmn_time_diff_s(now, p->since) < 15.0)
        return -1;
    /* It is told everything first, so that nothing stands still; if that does not come
     * about, it gets its work all the same. */
    if (c->tuning.standby > 0 && lmn_standby_named(c, p, now) != holder &&
        lmn_time_diff_s(now, p->since) < LATEST_BACK_S)
        return -1;
    return holder;
}

struct lmn_txn *lmn_ownership_transfer(struct lmn_core *c, int id, int *successor,
                                       struct timespec now)
{
    struct lmn_partition *p = &c->parts[id];
    struct lmn_members *ms = &c->members;

    /* One whose outcome was not known, and that the mirror has not shown since. */
    if (p->mine && p->releasing && lmn_time_before(p->released, c->fresh))
        p->releasing = false;
    *successor = p->releasing ? -1 : gives(c, p, now);
    if (*successor < 0)
        return NULL;
    if (lmn_self_transfer_target(ms, now) == *successor && !ms->shut) {
        lmn_info("member-deaf deaf=%.2f successor=%s", ms->word.deaf,
                 lmn_member_name(ms, *successor));
        ms->shut = true;
    }
    lmn_info("partition-give partition=%d to=%s warm=%d", id,
             lmn_member_name(ms, *successor), lmn_standby_named(c, p, now) == *successor);
    p->releasing = true;
    p->released = now;
    ms->count.gives++;
    return lmn_partition_transfer(c, p, *successor);
}

void lmn_ownership_transferred(struct lmn_core *c, int id, enum lmn_txn_outcome r,
                               struct timespec now)
{
    struct lmn_partition *p = &c->parts[id];

    p->released = now;
    if (r == LMN_TXN_REJECTED || r == LMN_TXN_CONFLICT)
        p->releasing = false;
}

/* --- the thread --- */

static void announce(struct holder *h)
{
    pthread_mutex_lock(&h->c->lock);
    struct lmn_txn *t = lmn_ownership_announce(h->c, h->lease, lmn_now());
    h->announced = h->announced || lmn_ownership_is_announced(h->c, h->lease);
    pthread_mutex_unlock(&h->c->lock);
    if (!t)
        return;
    enum lmn_txn_outcome r = send(h, t);
    h->announced = h->announced || r == LMN_TXN_COMMITTED;
    pthread_mutex_lock(&h->c->lock);
    lmn_ownership_announced(h->c, r);
    pthread_mutex_unlock(&h->c->lock);
}

/* Once nothing hangs on it, a lease that is let go spares the others the wait for its
 * end. They are not to miss this member, which is about to end. */
static void leave(struct holder *h)
{
    struct lmn_core *c = h->c;
    char path[64];

    pthread_mutex_lock(&c->lock);
    bool bare = lmn_shutdown_owns_nothing(c) && !c->left;
    pthread_mutex_unlock(&c->lock);
    if (!bare)
        return;
    if (h->lease) {
        g_snprintf(path, sizeof path, WIRE_PATH_LEASES "/%" G_GUINT64_FORMAT, h->lease);
        int status = lmn_http_client_call(h->http, "DELETE", path, NULL, 1.0, h->buf);
        if (status != 200 && status != 404)
            return;
        h->lease = 0;
        h->announced = false;
    }
    pthread_mutex_lock(&c->lock);
    c->lease = 0;
    c->left = true;
    lmn_info("leave-given after=%.2f", lmn_time_diff_s(lmn_now(), c->leave_at));
    pthread_mutex_unlock(&c->lock);
}

static bool gone(struct holder *h)
{
    pthread_mutex_lock(&h->c->lock);
    bool left = h->c->left;
    pthread_mutex_unlock(&h->c->lock);
    return left;
}

static void tell(struct holder *h)
{
    struct lmn_core *c = h->c;

    for (int i = 0; i < c->members.n; i++) {
        pthread_mutex_lock(&c->lock);
        struct lmn_txn *t = i == c->members.me
                                ? lmn_ownership_refutation(c, h->lease, lmn_now())
                                : lmn_ownership_suspicion(c, i, h->lease, lmn_now());
        pthread_mutex_unlock(&c->lock);
        if (t)
            send(h, t);
    }
}

static void claim(struct holder *h, int id)
{
    struct lmn_core *c = h->c;

    pthread_mutex_lock(&c->lock);
    struct lmn_txn *t = lmn_ownership_claim(c, id, h->lease, lmn_now());
    pthread_mutex_unlock(&c->lock);
    if (!t)
        return;
    /* Not in the log line: that does nothing at a lower level. */
    enum lmn_txn_outcome r = send(h, t);
    lmn_info("partition-claim partition=%d outcome=%d", id, r);
}

static void give(struct holder *h, int id)
{
    struct lmn_core *c = h->c;
    int successor;

    pthread_mutex_lock(&c->lock);
    struct lmn_txn *t = lmn_ownership_transfer(c, id, &successor, lmn_now());
    pthread_mutex_unlock(&c->lock);
    if (!t)
        return;
    enum lmn_txn_outcome r = send(h, t);
    lmn_info("partition-hand-over partition=%d to=%s outcome=%d", id,
             lmn_member_name(&c->members, successor), r);
    pthread_mutex_lock(&c->lock);
    lmn_ownership_transferred(c, id, r, lmn_now());
    pthread_mutex_unlock(&c->lock);
}

void *lmn_ownership_thread(void *arg)
{
    struct lmn_core *c = arg;
    struct holder h = {.c = c, .ttl = c->members.t.lease_s};

    h.http = lmn_http_client_new(c->cfg->state);
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
            for (int i = 0; i < c->nparts; i++) {
                claim(&h, i);
                give(&h, i);
            }
        pthread_mutex_lock(&c->lock);
        lmn_cond_wait_for(&c->changed, &c->lock, c->members.t.every_s / 4);
        pthread_mutex_unlock(&c->lock);
    }
    return NULL;
}
