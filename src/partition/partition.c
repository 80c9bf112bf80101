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

static void reset_machine(struct lmn_machine *machine)
{
    lmn_queue_clear(&machine->queue);
    for (guint i = 0; i < machine->attempts->len; i++)
        lmn_attempt_uncount(machine,
                            &g_array_index(machine->attempts, struct lmn_attempt, i));
    g_array_set_size(machine->attempts, 0);
    g_array_set_size(machine->accusers, 0);
    machine->hold = (struct timespec){0, 0};
    lmn_machine_cancel_wake(machine);
    machine->in_call = false;
    machine->probes = machine->unheeded = 0;
    machine->promised = 0;
    machine->kept = NULL;
    machine->next_probe = (struct timespec){0, 0};
    machine->heard = machine->accounted = machine->lapsed = false;
    machine->retiring = machine->force = machine->noticed = machine->is_gone = false;
    machine->inherited = machine->rev != 0;
    machine->session = machine->seq = machine->report_seq = 0;
    machine->poll_s = 0;
    machine->idle = machine->next_steal = (struct timespec){0, 0};
}

/* With what a standby was told, or what this process knew as the last owner; else as one
 * that knows nothing. */
static void begin_warm(struct lmn_core *core, struct lmn_partition *partition,
                       struct timespec now)
{
    const char *why = lmn_failover_cold_reason(core, partition);

    partition->warm = !why;
    if (partition->warm) {
        guint held = lmn_failover_restore(core, partition, now);
        core->count.warm++;
        core->count.own += partition->copy->own;
        lmn_info("takeover-warm partition=%d term=%" G_GUINT64_FORMAT
                 " machines=%u attempts=%u own=%d",
                 partition->id, partition->my_term, partition->list->len, held,
                 partition->copy->own);
    } else if (partition->list->len) {
        core->count.cold++;
        lmn_info("takeover-cold partition=%d term=%" G_GUINT64_FORMAT
                 " machines=%u why=\"%s\"",
                 partition->id, partition->my_term, partition->list->len, why);
    }
    lmn_replica_free(partition->copy);
    partition->copy = NULL;
}

void lmn_partition_own(struct lmn_core *core, struct lmn_partition *partition,
                       struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    lmn_replication_reset(core, partition);
    partition->mine = true;
    partition->ready = partition->releasing = partition->started = partition->warm =
        partition->open = false;
    partition->my_term = partition->owner_term;
    partition->my_rev = partition->owner_rev;
    partition->attempts = 0;
    partition->since = now;
    partition->asking = true;
    memset(partition->used_cpus, 0, core->cfg->nteams * sizeof *partition->used_cpus);
    memset(partition->used_gpus, 0, core->cfg->nteams * sizeof *partition->used_gpus);
    core->count.takeovers++;
    lmn_machine_blocks_reset(partition);
    /* Of an earlier term of ours: they would hold returns up that wait for no cut. */
    g_array_set_size(partition->cuts, 0);
    memset(partition->keep, 0, core->cfg->nteams * sizeof *partition->keep);
    lmn_quota_transfer_reset(partition);
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        reset_machine(v);
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_range_open(core, v);
    lmn_info("partition-own partition=%d term=%" G_GUINT64_FORMAT
             " machines=%u ranges=%u",
             partition->id, partition->my_term, g_hash_table_size(partition->machines),
             g_hash_table_size(partition->ranges));
    begin_warm(core, partition, now);
    lmn_partition_check_ready(core, partition, now);
    pthread_cond_broadcast(&core->poked);
}

void lmn_partition_lose(struct lmn_core *core, struct lmn_partition *partition,
                        const char *why)
{
    GHashTableIter it;
    gpointer v;

    lmn_info("partition-lose partition=%d term=%" G_GUINT64_FORMAT " why=\"%s\"",
             partition->id, partition->my_term, why);
    lmn_replica_keep_own(partition);
    partition->mine = partition->ready = partition->releasing = partition->warm =
        partition->open = false;
    lmn_replication_reset(core, partition);
    lmn_quota_transfer_reset(partition);
    lmn_queue_clear(&partition->unplaced);
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *machine = v;
        reset_machine(machine);
        if (!machine->rev)
            g_hash_table_iter_remove(&it);
    }
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_range *range = v;
        g_clear_pointer(&range->st, g_free);
        range->nstarted = 0;
        range->writing = false;
    }
}

/* Deals what may start and was not dealt yet. A range can become known between the change
 * that made the partition ours and our noticing it, so whether it was dealt is kept, not
 * inferred. */
static void deal_ranges(struct lmn_core *core, struct lmn_partition *partition,
                        struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_range *range = v;
        if (range->dealt || range->job->phase != LMN_JOB_ACTIVE ||
            !lmn_range_may_start(range))
            continue;
        range->dealt = true;
        lmn_assign_range(core, range, now);
    }
}

void lmn_partition_check_ready(struct lmn_core *core, struct lmn_partition *partition,
                               struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    if (!partition->mine || partition->ready)
        return;
    guint unheard = 0;
    partition->unheard_cpus = partition->unheard_gpus = 0;
    partition->unheard_unknown = false;
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *machine = v;
        if (!machine->inherited || machine->accounted)
            continue;
        /* It may hold any task that a predecessor started; if the takeover is warm, only
         * those that are in the books. */
        unheard++;
        partition->unheard_unknown = partition->unheard_unknown || !machine->type;
        partition->unheard_cpus += machine->type ? machine->type->cpus : 0;
        partition->unheard_gpus += machine->type ? machine->type->gpus : 0;
    }
    partition->ready = !unheard;
    if (partition->ready) {
        partition->ready_at = now;
        lmn_info("partition-ready partition=%d term=%" G_GUINT64_FORMAT " after=%.2f",
                 partition->id, partition->my_term,
                 lmn_time_diff_s(now, partition->since));
    }
    partition->open = partition->ready || partition->warm;
    deal_ranges(core, partition, now);
}

bool lmn_preferred_owner_is_in_zone(const struct lmn_core *core,
                                    const struct lmn_partition *partition,
                                    const char *zone)
{
    int n = (int)core->cfg->nmembers + 1, holder = partition->id % n;

    if (lmn_settings_member_index(core->cfg, core->cfg->node) == holder)
        return !strcmp(core->cfg->zone, zone);
    for (size_t i = 0; i < core->cfg->nmembers; i++)
        if (lmn_settings_member_index(core->cfg, core->cfg->members[i].name) == holder)
            return !strcmp(core->cfg->members[i].zone, zone);
    return false;
}

int lmn_partition_next_owner(const struct lmn_core *core,
                             const struct lmn_partition *partition, struct timespec now)
{
    int named = lmn_standby_named(core, partition, now);

    if (named >= 0)
        return named;
    for (int k = 0; k < core->members.n; k++) {
        int member_index = (partition->id + k) % core->members.n;
        if (lmn_member_is_trusted(&core->members, member_index, now))
            return member_index;
    }
    return -1;
}

/* The last owner has so long to claim its partition again before others do: its claim
 * comes with its next lease, within a few tenths of a second. */
static const double TAKE_BACK_S = 1.5;

/* Whether to leave the partition, whose owner key is gone, to its last owner for a
 * moment. One that has lived all the while knows what is on the machines. Not if it does
 * not answer: that of a crashed owner is taken over without delay. */
static bool left_to_last_owner(const struct lmn_core *core,
                               const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int last = lmn_member_index(members, partition->last_owner);

    if (last < 0 || last == members->me ||
        lmn_time_diff_s(now, partition->vacant) >= TAKE_BACK_S)
        return false;
    const struct lmn_member_view *member = &members->v[last];
    return member->ever && !member->unanswered.tv_sec && !member->judged &&
           !member->leaving && !lmn_member_is_suspected(members, last);
}

/* A process that starts, or gets a new lease, takes only its own for so long. */
static const double FIRST_S = 3;

bool lmn_partition_should_claim(const struct lmn_core *core,
                                const struct lmn_partition *partition,
                                struct timespec now)
{
    const struct lmn_members *members = &core->members;
    struct timespec since = partition->vacant;
    int successor[LMN_MAX_PARTITIONS], ahead = 1;

    if (members->shut || core->leaving || !lmn_self_may_reply(members, now))
        return false; /* it could not serve it */
    if (partition->owner_rev) {
        int owner = lmn_member_index(members, partition->owner);
        /* Only one process runs for a member: what our last one held is ours. */
        if (owner == members->me)
            return partition->owner_lease != core->lease;
        if (!lmn_partition_is_orphaned(core, partition, now))
            return false;
        since = lmn_time_add(members->v[owner].doubted, members->t.doubt_s);
    } else if (lmn_replica_own_is_latest(partition)) {
        return true;
    } else if (left_to_last_owner(core, partition, now)) {
        return false;
    } else if (partition->id % members->n == members->me) {
        int named = lmn_standby_named(core, partition, now);
        if (named < 0 || named == members->me)
            return true;
    }
    /* Whoever is just back may be the first of many: after a cut of all controllers' zone
     * one took every partition, cold, 0.3 s before the others had their leases. */
    if (lmn_time_diff_s(now, core->synced_at) < FIRST_S ||
        lmn_time_diff_s(now, core->leased) < FIRST_S)
        return false;
    lmn_transfer_targets(core, now, successor);
    if (successor[partition->id] == members->me)
        return true;
    /* Should that one not come, the others that are up, in their order. */
    for (int k = 0; k < members->n; k++) {
        int member_index = (partition->id + k) % members->n;
        if (member_index == members->me)
            break;
        ahead += member_index != successor[partition->id] &&
                 lmn_member_is_trusted(members, member_index, now);
    }
    return lmn_time_diff_s(now, since) >= 1.5 * ahead;
}

/* The owner's key and a higher term, both conditional on what the mirror shows. The key
 * hangs on the new owner's lease, whoever writes it. */
static struct lmn_txn *transfer(const struct lmn_partition *partition, const char *to,
                                uint64_t lease, bool standby)
{
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    uint64_t epoch = partition->term + 1;
    uint64_t stream = standby ? lmn_standby_condition(partition, to, txn) : 0;
    GByteArray *buffer = g_byte_array_new();
    char key[32];

    lmn_cbor_put_map(buffer, 4);
    lmn_cbor_put_text(buffer, "node"), lmn_cbor_put_text(buffer, to);
    lmn_cbor_put_text(buffer, "lease"), lmn_cbor_put_uint(buffer, lease);
    lmn_cbor_put_text(buffer, "term"), lmn_cbor_put_uint(buffer, epoch);
    lmn_cbor_put_text(buffer, "stream"), lmn_cbor_put_uint(buffer, stream);
    g_snprintf(key, sizeof key, "o/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->owner_rev);
    lmn_txn_put(txn, key, buffer, lease);
    g_snprintf(key, sizeof key, "t/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->term_rev);
    GByteArray *v = g_byte_array_new();
    lmn_cbor_put_uint(v, epoch);
    lmn_txn_put(txn, key, v, 0);
    return txn;
}

static void if_incarnation(const struct lmn_core *core, struct lmn_txn *txn,
                           int member_index)
{
    char *key = g_strdup_printf("n/%s", lmn_member_name(&core->members, member_index));

    lmn_txn_require_version(txn, key, core->members.v[member_index].inc);
    g_free(key);
}

struct lmn_txn *lmn_partition_claim(const struct lmn_core *core,
                                    const struct lmn_partition *partition, uint64_t lease)
{
    int owner =
        partition->owner_rev ? lmn_member_index(&core->members, partition->owner) : -1;
    /* Conditional on the record only with its copy: without, that would be no help. */
    bool warm = partition->copy && !partition->copy->own &&
                partition->copy->stream == partition->standby_stream;
    struct lmn_txn *txn = transfer(partition, core->cfg->node, lease, warm);

    /* A verdict: it does not hold against one that refutes it first. */
    if (owner >= 0 && owner != core->members.me)
        if_incarnation(core, txn, owner);
    return txn;
}

struct lmn_txn *lmn_partition_transfer(const struct lmn_core *core,
                                       const struct lmn_partition *partition,
                                       int successor)
{
    struct lmn_txn *txn = transfer(partition, lmn_member_name(&core->members, successor),
                                   core->members.v[successor].lease, true);

    if_incarnation(core, txn, successor);
    return txn;
}
