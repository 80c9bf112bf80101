#include "own/holder.h"
#include "base/log.h"
#include "base/thread.h"
#include "base/wire.h"
#include "own/partition.h"

struct holder {
    struct lmn_core *c;
    struct lmn_http *http;
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
        g_snprintf(path, sizeof path, P_LEASES "/%" G_GUINT64_FORMAT P_RENEW, h->lease);
        struct timespec sent = lmn_now();
        status = lmn_http_call(h->http, "POST", path, NULL, 1.0, h->buf);
        if (status == 200)
            h->renewed = sent;
        else if (status == 404)
            drop_lease(h, "ended");
        return;
    }
    GByteArray *body = g_byte_array_new();
    lmn_put_map(body, 1);
    lmn_put_text(body, W_TTL_MS), lmn_put_count(body, (uint64_t)(h->ttl * 1000));
    struct timespec sent = lmn_now();
    status = lmn_http_call(h->http, "POST", P_LEASES, body, 1.5, h->buf);
    g_byte_array_unref(body);
    struct lmn_doc d;
    if (status == 200 && lmn_doc_parse(&d, h->buf->data, h->buf->len) == 0) {
        if (lmn_count(lmn_get(&d, lmn_root(&d), W_LEASE), &h->lease)) {
            h->renewed = sent;
            pthread_mutex_lock(&c->lock);
            c->lease = h->lease;
            pthread_mutex_unlock(&c->lock);
            lmn_info("lease-new lease=%" G_GUINT64_FORMAT, h->lease);
        }
        lmn_doc_free(&d);
    }
}

static enum lmn_outcome send(struct holder *h, struct lmn_txn *t)
{
    uint64_t rev;
    enum lmn_outcome r = lmn_state_send(h->c->state, h->http, t, &rev, NULL);

    lmn_txn_free(t);
    return r;
}

/* Writes this node's record: first, and anew to refute a suspicion, since its revision is
 * the node's incarnation. */
static void announce(struct holder *h)
{
    char key[LMN_NAME + 4];
    struct lmn_core *c = h->c;

    struct lmn_txn *t = lmn_txn_new(LMN_RANK_OWNER, NULL, NULL);
    GByteArray *v = g_byte_array_new();
    lmn_put_count(v, h->lease);
    g_snprintf(key, sizeof key, "n/%s", c->cfg->node);
    lmn_txn_write(t, key, v, h->lease);
    h->announced = send(h, t) == LMN_OK;
}

static void refute(struct holder *h)
{
    struct lmn_core *c = h->c;

    pthread_mutex_lock(&c->lock);
    bool go = lmn_self_refutes(&c->members, lmn_now());
    pthread_mutex_unlock(&c->lock);
    if (go)
        announce(h);
}

/* Suspicions, each written once: tied to our lease, so that none outlives us. */
static void suspect(struct holder *h, int rank)
{
    struct lmn_core *c = h->c;
    struct lmn_members *ms = &c->members;
    struct lmn_evidence e;
    struct lmn_txn *t = NULL;

    pthread_mutex_lock(&c->lock);
    if (lmn_member_suspect(ms, rank, lmn_now(), &e)) {
        const struct lmn_peer_view *m = &ms->v[rank];
        GByteArray *v = g_byte_array_new();
        char *key = g_strdup_printf("u/%s", lmn_member_name(ms, rank));
        t = lmn_txn_new(LMN_RANK_OWNER, NULL, NULL);
        lmn_txn_if(t, key, m->doubt_rev);
        lmn_put_map(v, 3);
        lmn_put_text(v, "incarnation"), lmn_put_count(v, m->inc);
        lmn_put_text(v, "by"), lmn_put_text(v, c->cfg->node);
        lmn_put_text(v, "why"), lmn_put_count(v, e.cause);
        lmn_txn_write(t, key, v, h->lease);
        g_free(key);
        ms->count.suspicions++;
        lmn_info("member-doubt member=%s incarnation=%" G_GUINT64_FORMAT
                 " why=%s asked=%.1f others=%.1f by=%u workers=%u stale=%.1f deaf=%.2f",
                 lmn_member_name(ms, rank), m->inc, lmn_cause_name(e.cause), e.asked,
                 e.others, e.by, e.visitors, e.stale_s, e.deaf);
    }
    pthread_mutex_unlock(&c->lock);
    if (t)
        send(h, t);
}

static void claim(struct holder *h, int id)
{
    struct lmn_core *c = h->c;
    struct lmn_partition *p = &c->parts[id];
    struct lmn_members *ms = &c->members;
    struct lmn_txn *t = NULL;
    struct lmn_evidence e;
    int judged = -1;

    pthread_mutex_lock(&c->lock);
    struct timespec now = lmn_now();
    if (c->synced && !p->mine && lmn_partition_wanted(c, p, now)) {
        t = lmn_partition_claim(c, p, h->lease);
        if (p->owner_rev)
            judged = lmn_member_rank(ms, p->owner);
        if (judged >= 0 && judged != ms->me) {
            lmn_member_evidence(ms, judged, now, &e);
            ms->count.verdicts++;
            lmn_info("member-verdict member=%s incarnation=%" G_GUINT64_FORMAT
                     " partition=%d why=%s sides=%u asked=%.1f others=%.1f by=%u "
                     "workers=%u suspected=%.2f",
                     p->owner, ms->v[judged].inc, id, lmn_cause_name(e.cause), e.sides,
                     e.asked, e.others, e.by, e.visitors,
                     lmn_since(now, ms->v[judged].doubted));
        }
    }
    pthread_mutex_unlock(&c->lock);
    if (!t)
        return;
    enum lmn_outcome r = send(h, t);
    lmn_info("partition-claim partition=%d outcome=%d", id, r);
}

int lmn_holder_gives(const struct lmn_core *c, const struct lmn_partition *p,
                     struct timespec now)
{
    const struct lmn_members *ms = &c->members;
    int holder = p->id % ms->n, held = 0, theirs = 0;

    if (!p->mine)
        return -1;
    int heir = lmn_self_heir(ms, now);
    if (heir >= 0)
        return heir;
    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *o = &c->parts[i];
        held += o->mine;
        theirs += o->owner_rev && lmn_member_rank(ms, o->owner) == holder;
    }
    if (!p->ready || held < 2 || theirs || holder == ms->me ||
        !lmn_member_trusted(ms, holder, now) || lmn_member_back_s(ms, holder, now) > 0 ||
        lmn_since(now, p->since) < 15.0)
        return -1;
    return holder;
}

static void give(struct holder *h, int id)
{
    struct lmn_core *c = h->c;
    struct lmn_partition *p = &c->parts[id];
    struct lmn_members *ms = &c->members;
    struct lmn_txn *t = NULL;

    pthread_mutex_lock(&c->lock);
    struct timespec now = lmn_now();
    /* One whose outcome was not known, and that the mirror has not shown since. */
    if (p->mine && p->releasing && lmn_before(p->released, c->fresh))
        p->releasing = false;
    int heir = p->releasing ? -1 : lmn_holder_gives(c, p, now);
    bool deaf = heir >= 0 && lmn_self_heir(ms, now) == heir;
    if (heir >= 0) {
        t = lmn_partition_gift(c, p, heir);
        p->releasing = true;
        p->released = now;
        ms->count.gives++;
        if (deaf && !ms->shut)
            lmn_info("member-deaf deaf=%.2f heir=%s", ms->word.deaf,
                     lmn_member_name(ms, heir));
        ms->shut = ms->shut || deaf;
    }
    pthread_mutex_unlock(&c->lock);
    if (!t)
        return;
    enum lmn_outcome r = send(h, t);
    lmn_info("partition-hand-over partition=%d to=%s outcome=%d", id,
             lmn_member_name(ms, heir), r);
    pthread_mutex_lock(&c->lock);
    p->released = lmn_now();
    if (r == LMN_REFUSED || r == LMN_CONFLICT)
        p->releasing = false;
    pthread_mutex_unlock(&c->lock);
}

void *lmn_holder_thread(void *arg)
{
    struct lmn_core *c = arg;
    struct holder h = {.c = c, .ttl = c->members.t.lease_s};

    h.http = lmn_http_new(c->cfg->state);
    h.buf = g_byte_array_new();
    for (;;) {
        struct timespec now = lmn_now();
        if (!h.lease || lmn_since(now, h.renewed) > h.ttl / 4)
            keep_lease(&h);
        if (h.lease && !h.announced)
            announce(&h);
        if (h.lease && h.announced) {
            refute(&h);
            for (int i = 0; i < c->members.n; i++)
                suspect(&h, i);
        }
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
