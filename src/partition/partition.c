/* The ownership of a partition, from its acquisition to its loss. The core's lock is held
 * by the caller throughout. */
#include "partition/partition.h"

#include "partition/machine_block.h"
#include "partition/quota_transfer.h"
#include "partition/range.h"
#include "replication/failover.h"
#include "replication/replica.h"
#include "replication/stream.h"
#include "scheduler/queue.h"
#include "state/task_ledger.h"
#include "util/log.h"

#include <string.h>

/* The most digits at the end of a machine's name that are read as its number. */
enum { MAX_NUMBER_DIGITS = 9 };

/* Machines are numbered in the order in which they are rented, so the remainder of the
 * number spreads them evenly over the partitions. Names that do not end in a number are
 * hashed. */
int lmn_partition_for_machine(const char *machine_name, int partition_count)
{
    size_t length = strlen(machine_name), digits = 0;
    unsigned long number = 0;

    while (digits < length && digits < MAX_NUMBER_DIGITS &&
           g_ascii_isdigit(machine_name[length - 1 - digits]))
        digits++;
    if (!digits)
        return (int)(g_str_hash(machine_name) % (guint)partition_count);
    for (size_t i = length - digits; i < length; i++)
        number = number * 10 + (unsigned long)(machine_name[i] - '0');
    return (int)(number % (unsigned long)partition_count);
}

/* Resets the state that an owner keeps of a machine; what the machine's record in the
 * key-value store says is kept. */
static void reset_machine(struct lmn_machine *machine)
{
    lmn_queue_clear(&machine->queue);
    for (guint i = 0; i < machine->attempts->len; i++)
        lmn_attempt_uncount(machine,
                            &g_array_index(machine->attempts, struct lmn_attempt, i));
    g_array_set_size(machine->attempts, 0);
    g_array_set_size(machine->failures.jobs, 0);
    machine->failures.quarantined_until = (struct timespec){0, 0};
    lmn_machine_cancel_wake(machine);
    machine->push.is_in_flight = false;
    machine->agent.unanswered_probes = machine->agent.ignored_commands = 0;
    machine->reservation.preemption_tasks = 0;
    machine->reservation.job = NULL;
    machine->agent.next_probe_at = (struct timespec){0, 0};
    machine->agent.has_reported = machine->lifecycle.is_accounted =
        machine->agent.lease_expired = false;
    machine->lifecycle.is_draining = machine->lifecycle.drain_at_once =
        machine->lifecycle.has_spot_notice = machine->lifecycle.is_terminated = false;
    machine->lifecycle.is_inherited = machine->record.revision != 0;
    machine->agent.incarnation = machine->agent.sequence =
        machine->agent.heartbeat_sequence = 0;
    machine->stealing.interval_s = 0;
    machine->lifecycle.idle_since = machine->stealing.next_at = (struct timespec){0, 0};
}

/* Restores the partition's state from the replica, which holds what this controller
 * received as the standby, or kept as the last owner (a warm failover). Without a valid
 * replica, every machine has to report first (a cold failover). */
static void restore_from_replica(struct lmn_core *core, struct lmn_partition *partition,
                                 struct timespec now)
{
    const char *cold_reason = lmn_failover_cold_reason(core, partition);

    partition->ownership.is_warm = !cold_reason;
    if (partition->ownership.is_warm) {
        guint attempts = lmn_failover_restore(core, partition, now);
        core->counters.warm_failovers++;
        core->counters.own_state_failovers +=
            partition->replication.replica->is_own_state;
        lmn_info("failover_warm partition=%d epoch=%" G_GUINT64_FORMAT
                 " machines=%u attempts=%u own=%d",
                 partition->id, partition->ownership.epoch, partition->machine_list->len,
                 attempts, partition->replication.replica->is_own_state);
    } else if (partition->machine_list->len) {
        core->counters.cold_failovers++;
        lmn_info("failover_cold partition=%d epoch=%" G_GUINT64_FORMAT
                 " machines=%u why=\"%s\"",
                 partition->id, partition->ownership.epoch, partition->machine_list->len,
                 cold_reason);
    }
    lmn_replica_free(partition->replication.replica);
    partition->replication.replica = NULL;
}

/* Resets the partition's quota: nothing is used, reserved or being transferred. */
static void reset_quota(const struct lmn_core *core, struct lmn_partition *partition)
{
    struct lmn_partition_quota *quota = &partition->quota;
    size_t team_count = core->settings->team_count;

    memset(quota->used_cpus, 0, team_count * sizeof *quota->used_cpus);
    memset(quota->used_gpus, 0, team_count * sizeof *quota->used_gpus);
    memset(quota->reservations, 0, team_count * sizeof *quota->reservations);
    lmn_quota_transfer_reset(partition);
}

static void init_ownership(struct lmn_partition *partition, struct timespec now)
{
    struct lmn_partition_ownership *ownership = &partition->ownership;

    ownership->is_owned = true;
    ownership->is_ready = ownership->is_transferring = false;
    ownership->has_started_task = ownership->is_warm = false;
    ownership->inherited_may_start = false;
    ownership->epoch = partition->record.owner_epoch;
    ownership->token_raises = partition->record.owner_token_raises;
    ownership->revision = partition->record.owner_revision;
    ownership->last_attempt = 0;
    ownership->since = now;
    ownership->needs_probing = true;
}

static void reset_machines(struct lmn_partition *partition)
{
    GHashTableIter it;
    gpointer machine;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &machine))
        reset_machine(machine);
}

static void open_ranges(struct lmn_core *core, struct lmn_partition *partition)
{
    GHashTableIter it;
    gpointer range;

    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &range))
        lmn_range_open(core, range);
}

void lmn_partition_begin_ownership(struct lmn_core *core, struct lmn_partition *partition,
                                   struct timespec now)
{
    lmn_replication_reset(core, partition);
    init_ownership(partition, now);
    core->counters.failovers++;
    reset_quota(core, partition);
    lmn_machine_blocks_reset_writes(partition);
    /* Zone cuts recorded in an earlier epoch of this controller would delay the return of
     * machines without need. */
    g_array_set_size(partition->zone_cuts, 0);
    reset_machines(partition);
    open_ranges(core, partition);
    lmn_info("partition_acquired partition=%d epoch=%" G_GUINT64_FORMAT
             " machines=%u ranges=%u",
             partition->id, partition->ownership.epoch,
             g_hash_table_size(partition->machines),
             g_hash_table_size(partition->ranges));
    restore_from_replica(core, partition, now);
    lmn_partition_check_ready(core, partition, now);
    pthread_cond_broadcast(&core->machines_woken);
}

void lmn_partition_end_ownership(struct lmn_core *core, struct lmn_partition *partition,
                                 const char *why)
{
    GHashTableIter it;
    gpointer value;

    lmn_info("partition_lost partition=%d epoch=%" G_GUINT64_FORMAT " why=\"%s\"",
             partition->id, partition->ownership.epoch, why);
    lmn_replica_keep_own(partition);
    partition->ownership.is_owned = partition->ownership.is_ready =
        partition->ownership.is_transferring = partition->ownership.is_warm =
            partition->ownership.inherited_may_start = false;
    lmn_replication_reset(core, partition);
    lmn_quota_transfer_reset(partition);
    lmn_queue_clear(&partition->scheduling.unassigned);
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct lmn_machine *machine = value;
        reset_machine(machine);
        if (!machine->record.revision)
            g_hash_table_iter_remove(&it);
    }
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct lmn_range *range = value;
        g_clear_pointer(&range->task_states, g_free);
        range->started_count = 0;
        range->is_writing = false;
    }
}

/* Assigns the ranges that may start and were not assigned yet. A range can appear in the
 * watch cache between the change that made this controller the owner and the begin of the
 * ownership, so is_assigned is stored for each range instead of being derived. */
static void assign_ranges(struct lmn_core *core, struct lmn_partition *partition,
                          struct timespec now)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct lmn_range *range = value;
        if (range->is_assigned || range->job->phase != LMN_JOB_ACTIVE ||
            !lmn_range_may_start(range))
            continue;
        range->is_assigned = true;
        lmn_assign_range(core, range, now);
    }
}

/* Sums up the resources of the inherited machines that are not accounted for. Each of
 * them may be running any task that a previous owner started; after a warm failover, only
 * the tasks that the replica names. Returns the number of these machines. */
static guint count_unaccounted(struct lmn_partition *partition)
{
    struct lmn_partition_ownership *ownership = &partition->ownership;
    guint count = 0;
    GHashTableIter it;
    gpointer value;

    ownership->unaccounted_cpus = ownership->unaccounted_gpus = 0;
    ownership->has_unaccounted_unknown = false;
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_machine *machine = value;
        if (!machine->lifecycle.is_inherited || machine->lifecycle.is_accounted)
            continue;
        count++;
        if (!machine->type)
            ownership->has_unaccounted_unknown = true;
        ownership->unaccounted_cpus += machine->type ? machine->type->cpus : 0;
        ownership->unaccounted_gpus += machine->type ? machine->type->gpus : 0;
    }
    return count;
}

void lmn_partition_check_ready(struct lmn_core *core, struct lmn_partition *partition,
                               struct timespec now)
{
    struct lmn_partition_ownership *ownership = &partition->ownership;

    if (!ownership->is_owned || ownership->is_ready)
        return;
    ownership->is_ready = !count_unaccounted(partition);
    if (ownership->is_ready) {
        ownership->ready_at = now;
        lmn_info("partition_ready partition=%d epoch=%" G_GUINT64_FORMAT " after=%.2f",
                 partition->id, ownership->epoch, lmn_time_diff_s(now, ownership->since));
    }
    ownership->inherited_may_start = ownership->is_ready || ownership->is_warm;
    assign_ranges(core, partition, now);
}

bool lmn_preferred_owner_is_in_zone(const struct lmn_core *core,
                                    const struct lmn_partition *partition,
                                    const char *zone)
{
    int member_count = (int)core->settings->member_count + 1;
    int preferred = partition->id % member_count;

    if (lmn_settings_member_index(core->settings, core->settings->node_name) == preferred)
        return !strcmp(core->settings->zone, zone);
    for (size_t i = 0; i < core->settings->member_count; i++)
        if (lmn_settings_member_index(core->settings, core->settings->members[i].name) ==
            preferred)
            return !strcmp(core->settings->members[i].zone, zone);
    return false;
}
