/* Partitions of the machines: who owns which, under what term. */
#include "partition/partition.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "scheduler/queue.h"
#include "partition/machine_block.h"
#include "partition/quota_transfer.h"
#include "partition/transfer_target.h"
#include "partition/range.h"
#include "replication/stream.h"
#include "replication/failover.h"
#include "state/task_ledger.h"

#include <string.h>

/* A fixed function of the name: machines are numbered as they are rented, so the number's
 * remainder spreads them evenly; names of another form are hashed. */
int lmn_partition_for_machine(const char *machine, int nparts)
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
    g_array_set_size(m->accusers, 0);
    m->hold = (struct timespec){0, 0};
    lmn_machine_cancel_wake(m);
    m->in_call = false;
    m->probes = m->unheeded = 0;
    m->promised = 0;
    m->kept = NULL;
    m->next_probe = (struct timespec){0, 0};
    m->heard = m->accounted = m->lapsed = false;
    m->retiring = m->force = m->noticed = m->is_gone = false;
    m->inherited = m->rev != 0;
    m->session = m->seq = m->report_seq = 0;
    m->poll_s = 0;
    m->idle = m->next_steal = (struct timespec){0, 0};
}

/* With what a standby was told, or what this process knew as the last owner; else as one
 * that knows nothing. */
static void begin_warm(struct lmn_core *c, struct lmn_partition *p, struct timespec now)
{
    const char *why = lmn_failover_cold_reason(c, p);

    p->warm = !why;
    if (p->warm) {
        guint held = lmn_failover_restore(c, p, now);
        c->count.warm++;
        c->count.own += p->copy->own;
        lmn_info("takeover-warm partition=%d term=%" G_GUINT64_FORMAT
                 " machines=%u attempts=%u own=%d",
                 p->id, p->my_term, p->list->len, held, p->copy->own);
    } else if (p->list->len) {
        c->count.cold++;
        lmn_info("takeover-cold partition=%d term=%" G_GUINT64_FORMAT
                 " machines=%u why=\"%s\"",
                 p->id, p->my_term, p->list->len, why);
    }
    lmn_replica_free(p->copy);
    p->copy = NULL;
}

void lmn_partition_own(struct lmn_core *c, struct lmn_partition *p, struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    lmn_replication_reset(c, p);
    p->mine = true;
    p->ready = p->releasing = p->started = p->warm = p->open = false;
    p->my_term = p->owner_term;
    p->my_rev = p->owner_rev;
    p->attempts = 0;
    p->since = now;
    p->asking = true;
    memset(p->used_cpus, 0, c->cfg->nteams * sizeof *p->used_cpus);
    memset(p->used_gpus, 0, c->cfg->nteams * sizeof *p->used_gpus);
    c->count.takeovers++;
    lmn_machine_blocks_reset(p);
    /* Of an earlier term of ours: they would hold returns up that wait for no cut. */
    g_array_set_size(p->cuts, 0);
    memset(p->keep, 0, c->cfg->nteams * sizeof *p->keep);
    lmn_quota_transfer_reset(p);
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        reset_machine(v);
    g_hash_table_iter_init(&it, p->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_range_open(c, v);
    lmn_info(
        "partition-own partition=%d term=%" G_GUINT64_FORMAT " machines=%u ranges=%u",
        p->id, p->my_term, g_hash_table_size(p->machines), g_hash_table_size(p->ranges));
    begin_warm(c, p, now);
    lmn_partition_check_ready(c, p, now);
    pthread_cond_broadcast(&c->poked);
}

void lmn_partition_lose(struct lmn_core *c, struct lmn_partition *p, const char *why)
{
    GHashTableIter it;
    gpointer v;

    lmn_info("partition-lose partition=%d term=%" G_GUINT64_FORMAT " why=\"%s\"", p->id,
             p->my_term, why);
    lmn_replica_keep_own(p);
    p->mine = p->ready = p->releasing = p->warm = p->open = false;
    lmn_replication_reset(c, p);
    lmn_quota_transfer_reset(p);
    lmn_queue_clear(&p->unplaced);
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
        if (r->dealt || r->job->phase != LMN_JOB_ACTIVE || !lmn_range_may_start(r))
            continue;
        r->dealt = true;
        lmn_assign_range(c, r, now);
    }
}

void lmn_partition_check_ready(struct lmn_core *c, struct lmn_partition *p,
                               struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    if (!p->mine || p->ready)
        return;
    guint unheard = 0;
    p->unheard_cpus = p->unheard_gpus = 0;
    p->unheard_unknown = false;
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *m = v;
        if (!m->inherited || m->accounted)
            continue;
        /* It may hold any task that a predecessor started; if the takeover is warm, only
         * those that are in the books. */
        unheard++;
        p->unheard_unknown = p->unheard_unknown || !m->type;
        p->unheard_cpus += m->type ? m->type->cpus : 0;
        p->unheard_gpus += m->type ? m->type->gpus : 0;
    }
    p->ready = !unheard;
    if (p->ready) {
        p->ready_at = now;
        lmn_info("partition-ready partition=%d term=%" G_GUINT64_FORMAT " after=%.2f",
                 p->id, p->my_term, lmn_time_diff_s(now, p->since));
    }
    p->open = p->ready || p->warm;
    deal_ranges(c, p, now);
}

bool lmn_preferred_owner_is_in_zone(const struct lmn_core *c,
                                    const struct lmn_partition *p, const char *zone)
{
    int n = (int)c->cfg->nmembers + 1, holder = p->id % n;

    if (lmn_settings_member_index(c->cfg, c->cfg->node) == holder)
        return !strcmp(c->cfg->zone, zone);
    for (size_t i = 0; i < c->cfg->nmembers; i++)
        if (lmn_settings_member_index(c->cfg, c->cfg->members[i].name) == holder)
            return !strcmp(c->cfg->members[i].zone, zone);
    return false;
}

int lmn_partition_next_owner(const struct lmn_core *c, const struct lmn_partition *p,
                             struct timespec now)
{
    int named = lmn_standby_named(c, p, now);

    if (named >= 0)
        return named;
    for (int k = 0; k < c->members.n; k++) {
        int rank = (p->id + k) % c->members.n;
        if (lmn_member_is_trusted(&c->members, rank, now))
            return rank;
    }
    return -1;
}

/* The last owner has so long to claim its partition again before others do: its claim
 * comes with its next lease, within a few tenths of a second. */
static const double TAKE_BACK_S = 1.5;

/* Whether to leave the partition, whose owner key is gone, to its last owner for a
 * moment. One that has lived all the while knows what is on the machines. Not if it does
 * not answer: that of a crashed owner is taken over without delay. */
static bool left_to_last_owner(const struct lmn_core *c, const struct lmn_partition *p,
                               struct timespec now)
{
    const struct lmn_members *ms = &c->members;
    int last = lmn_member_index(ms, p->last_owner);

    if (last < 0 || last == ms->me || lmn_time_diff_s(now, p->vacant) >= TAKE_BACK_S)
        return false;
    const struct lmn_member_view *m = &ms->v[last];
    return m->ever && !m->unanswered.tv_sec && !m->judged && !m->leaving &&
           !lmn_member_is_suspected(ms, last);
}

/* A process that starts, or gets a new lease, takes only its own for so long. */
static const double FIRST_S = 3;

bool lmn_partition_should_claim(const struct lmn_core *c, const struct lmn_partition *p,
                                struct timespec now)
{
    const struct lmn_members *ms = &c->members;
    struct timespec since = p->vacant;
    int successor[LMN_MAX_PARTITIONS], ahead = 1;

    if (ms->shut || c->leaving || !lmn_self_may_reply(ms, now))
        return false; /* it could not serve it */
    if (p->owner_rev) {
        int owner = lmn_member_index(ms, p->owner);
        /* Only one process runs for a member: what our last one held is ours. */
        if (owner == ms->me)
            return p->owner_lease != c->lease;
        if (!lmn_partition_is_orphaned(c, p, now))
            return false;
        since = lmn_time_add(ms->v[owner].doubted, ms->t.doubt_s);
    } else if (lmn_replica_own_is_latest(p)) {
        return true;
    } else if (left_to_last_owner(c, p, now)) {
        return false;
    } else if (p->id % ms->n == ms->me) {
        int named = lmn_standby_named(c, p, now);
        if (named < 0 || named == ms->me)
            return true;
    }
    /* Whoever is just back may be the first of many: after a cut of all controllers' zone
     * one took every partition, cold, 0.3 s before the others had their leases. */
    if (lmn_time_diff_s(now, c->synced_at) < FIRST_S ||
        lmn_time_diff_s(now, c->leased) < FIRST_S)
        return false;
    lmn_transfer_targets(c, now, successor);
    if (successor[p->id] == ms->me)
        return true;
    /* Should that one not come, the others that are up, in their order. */
    for (int k = 0; k < ms->n; k++) {
        int rank = (p->id + k) % ms->n;
        if (rank == ms->me)
            break;
        ahead += rank != successor[p->id] && lmn_member_is_trusted(ms, rank, now);
    }
    return lmn_time_diff_s(now, since) >= 1.5 * ahead;
}

/* The owner's key and a higher term, both conditional on what the mirror shows. The key
 * hangs on the new owner's lease, whoever writes it. */
static struct lmn_txn *transfer(const struct lmn_partition *p, const char *to,
                                uint64_t lease, bool standby)
{
    struct lmn_txn *t = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    uint64_t term = p->term + 1;
    uint64_t stream = standby ? lmn_standby_condition(p, to, t) : 0;
    GByteArray *b = g_byte_array_new();
    char key[32];

    lmn_cbor_put_map(b, 4);
    lmn_cbor_put_text(b, "node"), lmn_cbor_put_text(b, to);
    lmn_cbor_put_text(b, "lease"), lmn_cbor_put_uint(b, lease);
    lmn_cbor_put_text(b, "term"), lmn_cbor_put_uint(b, term);
    lmn_cbor_put_text(b, "stream"), lmn_cbor_put_uint(b, stream);
    g_snprintf(key, sizeof key, "o/%d", p->id);
    lmn_txn_require_version(t, key, p->owner_rev);
    lmn_txn_put(t, key, b, lease);
    g_snprintf(key, sizeof key, "t/%d", p->id);
    lmn_txn_require_version(t, key, p->term_rev);
    GByteArray *v = g_byte_array_new();
    lmn_cbor_put_uint(v, term);
    lmn_txn_put(t, key, v, 0);
    return t;
}

static void if_incarnation(const struct lmn_core *c, struct lmn_txn *t, int rank)
{
    char *key = g_strdup_printf("n/%s", lmn_member_name(&c->members, rank));

    lmn_txn_require_version(t, key, c->members.v[rank].inc);
    g_free(key);
}

struct lmn_txn *lmn_partition_claim(const struct lmn_core *c,
                                    const struct lmn_partition *p, uint64_t lease)
{
    int owner = p->owner_rev ? lmn_member_index(&c->members, p->owner) : -1;
    /* Conditional on the record only with its copy: without, that would be no help. */
    bool warm = p->copy && !p->copy->own && p->copy->stream == p->standby_stream;
    struct lmn_txn *t = transfer(p, c->cfg->node, lease, warm);

    /* A verdict: it does not hold against one that refutes it first. */
    if (owner >= 0 && owner != c->members.me)
        if_incarnation(c, t, owner);
    return t;
}

struct lmn_txn *lmn_partition_transfer(const struct lmn_core *c,
                                       const struct lmn_partition *p, int successor)
{
    struct lmn_txn *t = transfer(p, lmn_member_name(&c->members, successor),
                                 c->members.v[successor].lease, true);

    if_incarnation(c, t, successor);
    return t;
}
