/* Partitions of the machines: who owns which, under what term. */
#include "own/partition.h"
#include "base/log.h"
#include "base/thread.h"
#include "base/wire.h"
#include "decide/queue.h"
#include "own/block.h"
#include "own/gift.h"
#include "own/range.h"
#include "state/books.h"

#include <string.h>

/* A fixed function of the name: machines are numbered as they are rented, so the number's
 * remainder spreads them evenly; names of another form are hashed. */
int lmn_partition_of(const char *machine, int nparts)
{
    size_t len = strlen(machine), digits = 0;
    unsigned long n = 0;

    while (digits < len && digits < 9 && g_ascii_isdigit(machine[len - 1 - digits]))
        digits++;
    if (!digits)
        return (int)(g_str_hash(machine) % (guint)nparts);
    for (size_t i = len - digits; i < len; i++)
        n = n * 10 + (unsigned long)(machine[i] - '0');
    return (int)(n % (unsigned long)nparts);
}

static void reset_machine(struct lmn_machine *m)
{
    lmn_queue_clear(&m->queue);
    for (guint i = 0; i < m->attempts->len; i++)
        lmn_attempt_uncount(m, &g_array_index(m->attempts, struct lmn_attempt, i));
    g_array_set_size(m->attempts, 0);
    g_ptr_array_set_size(m->failed_jobs, 0);
    lmn_unpoke(m);
    m->in_call = false;
    m->probes = 0;
    m->promised = 0;
    m->next_probe = (struct timespec){0, 0};
    m->heard = m->accounted = m->lapsed = false;
    m->retiring = m->force = m->noticed = m->is_gone = false;
    m->inherited = m->rev != 0;
    m->session = m->seq = m->report_seq = 0;
    m->poll_s = 0;
    m->idle = m->next_steal = (struct timespec){0, 0};
}

void lmn_partition_own(struct lmn_core *c, struct lmn_partition *p, struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    p->mine = true;
    p->ready = p->releasing = false;
    p->my_term = p->owner_term;
    p->my_rev = p->owner_rev;
    p->attempts = 0;
    p->since = now;
    p->asking = true;
    memset(p->used_cpus, 0, sizeof p->used_cpus);
    memset(p->used_gpus, 0, sizeof p->used_gpus);
    c->count.takeovers++;
    lmn_block_reset(p);
    lmn_quota_reset(p);
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        reset_machine(v);
    g_hash_table_iter_init(&it, p->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_range_open(c, v);
    lmn_info(
        "partition-own partition=%d term=%" G_GUINT64_FORMAT " machines=%u ranges=%u",
        p->id, p->my_term, g_hash_table_size(p->machines), g_hash_table_size(p->ranges));
    lmn_partition_check(c, p, now);
    pthread_cond_broadcast(&c->poked);
}

void lmn_partition_lose(struct lmn_core *c, struct lmn_partition *p, const char *why)
{
    GHashTableIter it;
    gpointer v;
    (void)c;

    lmn_info("partition-lose partition=%d term=%" G_GUINT64_FORMAT " why=\"%s\"", p->id,
             p->my_term, why);
    p->mine = p->ready = p->releasing = false;
    lmn_quota_reset(p);
    lmn_queue_clear(&p->limbo);
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *m = v;
        reset_machine(m);
        if (!m->rev)
            g_hash_table_iter_remove(&it);
    }
    g_hash_table_iter_init(&it, p->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_range *r = v;
        g_clear_pointer(&r->st, g_free);
        r->nstarted = 0;
        r->writing = false;
    }
}

/* Deals what may start and was not dealt yet. A range can become known between the change
 * that made the partition ours and our noticing it, so whether it was dealt is kept, not
 * inferred. */
static void deal_ranges(struct lmn_core *c, struct lmn_partition *p, struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, p->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_range *r = v;
        uint32_t n = r->hi - r->lo;
        if (r->dealt || r->job->phase != LMN_ACTIVE || !lmn_range_free_to_start(r))
            continue;
        r->dealt = true;
        for (uint32_t i = 0; i < n;) {
            uint32_t k = i;
            while (k < n && r->st[k] == LMN_T_QUEUED)
                k++;
            if (k > i)
                lmn_deal(c, r, r->lo + i, r->lo + k, now);
            i = k + 1;
        }
    }
}

void lmn_partition_check(struct lmn_core *c, struct lmn_partition *p, struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    if (!p->mine || p->ready)
        return;
    bool all = true;
    p->unheard_cpus = p->unheard_gpus = 0;
    p->unheard_unknown = false;
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *m = v;
        if (!m->inherited || m->accounted)
            continue;
        /* It may hold any task that a predecessor started. */
        all = false;
        p->unheard_unknown = p->unheard_unknown || !m->type;
        p->unheard_cpus += m->type ? m->type->cpus : 0;
        p->unheard_gpus += m->type ? m->type->gpus : 0;
    }
    p->ready = all;
    if (all) {
        p->ready_at = now;
        lmn_info("partition-ready partition=%d term=%" G_GUINT64_FORMAT " after=%.2f",
                 p->id, p->my_term, lmn_since(now, p->since));
    }
    deal_ranges(c, p, now);
}

/* --- the thread that holds the lease and claims partitions --- */

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

static void announce(struct holder *h)
{
    char key[LMN_NAME + 4];
    uint64_t rev;

    g_snprintf(key, sizeof key, "n/%s", h->c->cfg->node);
    struct lmn_txn *t = lmn_txn_new(LMN_RANK_OWNER, NULL, NULL);
    GByteArray *v = g_byte_array_new();
    lmn_put_count(v, h->lease);
    lmn_txn_write(t, key, v, h->lease);
    h->announced = lmn_state_send(h->c->state, h->http, t, &rev, NULL) == LMN_OK;
    lmn_txn_free(t);
}

bool lmn_holder_stands_in(const struct lmn_core *c, const struct lmn_partition *p,
                          const char *zone)
{
    int n = (int)c->cfg->nmembers + 1, holder = p->id % n;

    if (lmn_settings_rank(c->cfg, c->cfg->node) == holder)
        return !strcmp(c->cfg->zone, zone);
    for (size_t i = 0; i < c->cfg->nmembers; i++)
        if (lmn_settings_rank(c->cfg, c->cfg->members[i].name) == holder)
            return !strcmp(c->cfg->members[i].zone, zone);
    return false;
}

bool lmn_partition_wanted(const struct lmn_core *c, const struct lmn_partition *p,
                          struct timespec now)
{
    int n = (int)c->cfg->nmembers + 1, me = lmn_settings_rank(c->cfg, c->cfg->node);
    int ahead = 0;

    if (p->owner_rev) /* only one process runs for a member: what our last one held is
                         ours */
        return !strcmp(p->owner, c->cfg->node) && p->owner_lease != c->lease;
    if (p->id % n == me)
        return true;
    if (lmn_since(now, c->synced_at) < 3.0)
        return false;
    /* The preferred owner first, then the others that are up, in their order. */
    for (int k = 0; k < n; k++) {
        int rank = (p->id + k) % n;
        if (rank == me)
            break;
        if (c->peers[rank].alive)
            ahead++;
    }
    return lmn_since(now, p->vacant) >= 1.5 * ahead;
}

struct lmn_txn *lmn_partition_claim(const struct lmn_core *c,
                                    const struct lmn_partition *p, uint64_t lease)
{
    struct lmn_txn *t = lmn_txn_new(LMN_RANK_OWNER, NULL, NULL);
    uint64_t term = p->term + 1;
    GByteArray *b = g_byte_array_new();
    char key[32];

    lmn_put_map(b, 3);
    lmn_put_text(b, "node"), lmn_put_text(b, c->cfg->node);
    lmn_put_text(b, "lease"), lmn_put_count(b, lease);
    lmn_put_text(b, "term"), lmn_put_count(b, term);
    g_snprintf(key, sizeof key, "o/%d", p->id);
    lmn_txn_if(t, key, p->owner_rev);
    lmn_txn_write(t, key, b, lease);
    g_snprintf(key, sizeof key, "t/%d", p->id);
    lmn_txn_if(t, key, p->term_rev);
    GByteArray *v = g_byte_array_new();
    lmn_put_count(v, term);
    lmn_txn_write(t, key, v, 0);
    return t;
}

static void claim(struct holder *h, int id)
{
    struct lmn_core *c = h->c;
    struct lmn_partition *p = &c->parts[id];
    struct lmn_txn *t = NULL;
    uint64_t rev = 0;

    pthread_mutex_lock(&c->lock);
    if (c->synced && !p->mine && lmn_partition_wanted(c, p, lmn_now()))
        t = lmn_partition_claim(c, p, h->lease);
    pthread_mutex_unlock(&c->lock);
    if (!t)
        return;
    enum lmn_outcome r = lmn_state_send(c->state, h->http, t, &rev, NULL);
    lmn_txn_free(t);
    lmn_info("partition-claim partition=%d outcome=%d", id, r);
}

/* A partition that another member should hold goes back to it once that one has been up
 * for a while. */
static void hand_over(struct holder *h, int id)
{
    struct lmn_core *c = h->c;
    struct lmn_partition *p = &c->parts[id];
    int n = (int)c->cfg->nmembers + 1, owner = id % n;
    struct timespec now = lmn_now();
    char key[32];
    uint64_t rev = 0;

    pthread_mutex_lock(&c->lock);
    int held = 0, theirs = 0;
    for (int i = 0; i < c->nparts; i++) {
        held += c->parts[i].mine;
        theirs += lmn_settings_rank(c->cfg, c->parts[i].owner) == owner &&
                  c->parts[i].owner_rev;
    }
    bool go = p->mine && p->ready && held > 1 && !theirs && c->peers[owner].alive &&
              owner != lmn_settings_rank(c->cfg, c->cfg->node) &&
              lmn_since(now, c->peers[owner].since) > 15.0 &&
              lmn_since(now, p->since) > 15.0;
    if (go)
        p->releasing = true;
    uint64_t my_rev = p->my_rev;
    pthread_mutex_unlock(&c->lock);
    if (!go)
        return;
    struct lmn_txn *t = lmn_txn_new(LMN_RANK_OWNER, NULL, NULL);
    g_snprintf(key, sizeof key, "o/%d", id);
    lmn_txn_if(t, key, my_rev);
    lmn_txn_remove(t, key);
    enum lmn_outcome r = lmn_state_send(c->state, h->http, t, &rev, NULL);
    lmn_txn_free(t);
    lmn_info("partition-hand-over partition=%d outcome=%d", id, r);
    pthread_mutex_lock(&c->lock);
    if (r != LMN_OK)
        p->releasing = false;
    pthread_mutex_unlock(&c->lock);
}

void *lmn_partition_thread(void *arg)
{
    struct lmn_core *c = arg;
    struct holder h = {.c = c};

    /* Short enough that a successor answers a crashed owner's workers within their lease,
     * long enough for the stalls of a small share of a core. */
    h.ttl = CLAMP(0.4 * c->cfg->lease_s, 2.0, 8.0);
    h.http = lmn_http_new(c->cfg->state);
    h.buf = g_byte_array_new();
    for (;;) {
        struct timespec now = lmn_now();
        if (!h.lease || lmn_since(now, h.renewed) > h.ttl / 4)
            keep_lease(&h);
        if (h.lease && !h.announced)
            announce(&h);
        if (h.lease)
            for (int i = 0; i < c->nparts; i++) {
                claim(&h, i);
                hand_over(&h, i);
            }
        pthread_mutex_lock(&c->lock);
        lmn_cond_wait_for(&c->changed, &c->lock, 0.25);
        pthread_mutex_unlock(&c->lock);
    }
    return NULL;
}
