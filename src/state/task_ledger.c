/** @file
 * The task ledger: see state/task_ledger.h. */
#include "state/task_ledger.h"

#include <string.h>

/** A heartbeat is overdue after the smaller of SILENT_LEASE_SHARE leases and
 * SILENT_HEARTBEATS heartbeat intervals plus HEARTBEAT_ALLOWANCE_S seconds. */
static const double SILENT_LEASE_SHARE = 0.6, SILENT_HEARTBEATS = 1.25,
                    HEARTBEAT_ALLOWANCE_S = 2;

/** Bytes of a machine's entry in its block's record besides the four texts. */
enum { MACHINE_RECORD_OVERHEAD_BYTES = 24 };

void lmn_queue_init(struct lmn_queue *queue)
{
    queue->segments = g_ptr_array_new();
    queue->task_count = 0;
}

void lmn_queue_clear(struct lmn_queue *queue)
{
    for (guint i = 0; i < queue->segments->len; i++)
        g_free(queue->segments->pdata[i]);
    g_ptr_array_set_size(queue->segments, 0);
    queue->task_count = 0;
}

void lmn_queue_add(struct lmn_queue *queue, struct lmn_range *range, uint32_t first,
                   uint32_t end)
{
    queue->task_count += end - first;
    for (guint i = 0; i < queue->segments->len; i++) {
        struct lmn_queue_segment *segment = queue->segments->pdata[i];
        if (segment->range == range && segment->end == first) {
            segment->end = end;
            return;
        }
    }
    struct lmn_queue_segment *segment = g_new(struct lmn_queue_segment, 1);
    *segment = (struct lmn_queue_segment){range, range->job, first, end};
    g_ptr_array_add(queue->segments, segment);
}

void lmn_queue_remove_segment(struct lmn_queue *queue, guint segment_index)
{
    struct lmn_queue_segment *segment = queue->segments->pdata[segment_index];
    queue->task_count -= segment->end - segment->first;
    g_free(segment);
    g_ptr_array_remove_index(queue->segments, segment_index);
}

void lmn_queue_remove_range(struct lmn_queue *queue, const struct lmn_range *range)
{
    for (guint i = queue->segments->len; i-- > 0;)
        if (((struct lmn_queue_segment *)queue->segments->pdata[i])->range == range)
            lmn_queue_remove_segment(queue, i);
}

void lmn_queue_remove_task(struct lmn_queue *queue, const struct lmn_range *range,
                           uint32_t index)
{
    for (guint i = 0; i < queue->segments->len; i++) {
        struct lmn_queue_segment *segment = queue->segments->pdata[i];
        if (segment->range != range || index < segment->first || index >= segment->end)
            continue;
        /* Truncate the segment before the task, then add the tasks after it again. */
        uint32_t end = segment->end;
        struct lmn_range *segment_range = segment->range;
        queue->task_count -= end - index;
        segment->end = index;
        if (segment->first == segment->end)
            lmn_queue_remove_segment(queue, i);
        if (index + 1 < end)
            lmn_queue_add(queue, segment_range, index + 1, end);
        return;
    }
}

void lmn_queue_remove_tail(struct lmn_queue *queue, const struct lmn_range *range,
                           uint32_t first)
{
    for (guint i = queue->segments->len; i-- > 0;) {
        struct lmn_queue_segment *segment = queue->segments->pdata[i];
        if (segment->range != range || segment->end <= first)
            continue;
        if (segment->first >= first) {
            lmn_queue_remove_segment(queue, i);
        } else {
            queue->task_count -= segment->end - first;
            segment->end = first;
        }
    }
}

size_t lmn_machine_record_size(const struct lmn_machine *machine)
{
    return strlen(machine->name) + strlen(machine->address) + strlen(machine->type_name) +
           strlen(machine->zone) + MACHINE_RECORD_OVERHEAD_BYTES;
}

void lmn_machine_leave_block(struct lmn_machine *machine)
{
    if (!machine->record.block)
        return;
    g_ptr_array_remove_fast(machine->record.block->machines, machine);
    machine->record.block->bytes -= lmn_machine_record_size(machine);
    machine->record.block = NULL;
}

/* The counts are updated incrementally: recounting for each candidate machine would scan
 * all machines each time, at a cost quadratic in their number. All ranges of a job with
 * zone affinity or anti-affinity are in one partition, so its owner knows all its tasks.
 */
void lmn_job_add_zone_tasks(struct lmn_job *job, const char *zone, int change)
{
    struct lmn_zone_tasks *zone_tasks;

    if (!job->spec.requires_one_zone && !job->spec.spreads_over_zones)
        return;
    if (!job->zones)
        job->zones = g_array_new(FALSE, FALSE, sizeof(struct lmn_zone_tasks));
    for (guint i = 0; i < job->zones->len; i++) {
        zone_tasks = &g_array_index(job->zones, struct lmn_zone_tasks, i);
        if (!strcmp(zone_tasks->zone, zone)) {
            zone_tasks->tasks += change;
            return;
        }
    }
    struct lmn_zone_tasks new = {g_intern_string(zone), change};
    g_array_append_val(job->zones, new);
}

void lmn_machine_wake(struct lmn_machine *machine)
{
    if (!machine->push.is_woken)
        g_ptr_array_add(machine->partition->scheduling.woken_machines, machine);
    machine->push.is_woken = true;
}

void lmn_machine_cancel_wake(struct lmn_machine *machine)
{
    if (machine->push.is_woken)
        g_ptr_array_remove_fast(machine->partition->scheduling.woken_machines, machine);
    machine->push.is_woken = false;
}

void lmn_machine_mark_unreplicated(struct lmn_machine *machine)
{
    struct lmn_partition *partition = machine->partition;

    if (!machine->replication.is_pending &&
        partition->replication.stream.phase != LMN_STREAM_NONE)
        g_ptr_array_add(partition->replication.pending_machines, machine);
    machine->replication.is_pending =
        partition->replication.stream.phase != LMN_STREAM_NONE;
}

uint64_t lmn_machine_log_start(struct lmn_machine *machine, struct timespec now)
{
    struct lmn_replication_stream *stream = &machine->partition->replication.stream;

    lmn_machine_mark_unreplicated(machine);
    if (stream->phase < LMN_STREAM_CATCHING_UP) {
        /* This start does not wait for the standby, but the standby must acknowledge it
         * before it is recorded as in sync. */
        stream->log_position++;
        return 0;
    }
    if (stream->acknowledged_position == stream->log_position)
        stream->waiting_since = now;
    pthread_cond_signal(&machine->partition->replication.due);
    return ++stream->log_position;
}

void lmn_machine_set_address(struct lmn_machine *machine, const char *address)
{
    if (!strcmp(machine->address, address))
        return;
    if (*machine->address)
        lmn_worker_hosts_remove(machine->partition->worker_hosts, machine->address);
    g_strlcpy(machine->address, address, sizeof machine->address);
    lmn_worker_hosts_add(machine->partition->worker_hosts, machine->address);
}

struct lmn_machine *lmn_machine_new(struct lmn_partition *partition, const char *name)
{
    struct lmn_machine *machine = g_new0(struct lmn_machine, 1);

    g_strlcpy(machine->name, name, sizeof machine->name);
    machine->partition = partition;
    machine->attempts = g_array_new(FALSE, FALSE, sizeof(struct lmn_attempt));
    machine->failures.jobs = g_array_new(FALSE, FALSE, sizeof(struct lmn_failing_job));
    machine->images = g_array_new(FALSE, FALSE, sizeof(struct lmn_image));
    lmn_queue_init(&machine->queue);
    g_hash_table_insert(partition->machines, machine->name, machine);
    machine->list_index = partition->machine_list->len;
    g_ptr_array_add(partition->machine_list, machine);
    return machine;
}

void lmn_machine_free(struct lmn_machine *machine)
{
    GPtrArray *list = machine->partition->machine_list;
    struct lmn_machine *last = list->pdata[list->len - 1];

    lmn_machine_cancel_wake(machine);
    if (machine->replication.is_pending)
        g_ptr_array_remove_fast(machine->partition->replication.pending_machines,
                                machine);
    if (machine->partition->replication.stream.phase != LMN_STREAM_NONE)
        g_ptr_array_add(machine->partition->replication.pending_removals,
                        g_strdup(machine->name));
    if (*machine->address)
        lmn_worker_hosts_remove(machine->partition->worker_hosts, machine->address);
    lmn_machine_leave_block(machine);
    /* Move the list's last machine to the freed index. */
    list->pdata[machine->list_index] = last;
    last->list_index = machine->list_index;
    g_ptr_array_set_size(list, (gint)list->len - 1);
    lmn_queue_clear(&machine->queue);
    g_ptr_array_free(machine->queue.segments, TRUE);
    g_array_free(machine->attempts, TRUE);
    g_array_free(machine->failures.jobs, TRUE);
    g_array_free(machine->images, TRUE);
    g_free(machine);
}

/** Adds the attempt's resources to the used capacity and quota (sign 1), or subtracts
 * them (sign -1). */
static void change_usage(struct lmn_machine *machine, const struct lmn_attempt *attempt,
                         int sign)
{
    const struct lmn_job_spec *spec = &attempt->job->spec;
    struct lmn_partition_quota *quota = &machine->partition->quota;
    int team = attempt->job->team;

    machine->used.cpus += sign * spec->cpus;
    machine->used.gpus += sign * spec->gpus;
    machine->used.memory_gb += sign * spec->memory_gb;
    lmn_job_add_zone_tasks(attempt->job, machine->zone, sign);
    if (team >= 0) {
        quota->used_cpus[team] += sign * spec->cpus;
        quota->used_gpus[team] += sign * spec->gpus;
    }
}

void lmn_attempt_count(struct lmn_machine *machine, struct lmn_attempt *attempt)
{
    if (attempt->holds_capacity || !attempt->job)
        return;
    attempt->holds_capacity = true;
    change_usage(machine, attempt, 1);
}

void lmn_attempt_uncount(struct lmn_machine *machine, struct lmn_attempt *attempt)
{
    if (!attempt->holds_capacity)
        return;
    attempt->holds_capacity = false;
    change_usage(machine, attempt, -1);
}

struct lmn_range *lmn_partition_find_range(const struct lmn_partition *partition,
                                           struct lmn_job *job, uint32_t index)
{
    for (guint i = 0; job && i < job->ranges->len; i++) {
        struct lmn_range *range = job->ranges->pdata[i];
        if (range->partition == partition && index >= range->first && index < range->end)
            return range;
    }
    return NULL;
}

void lmn_range_free(struct lmn_range *range)
{
    g_free(range->key);
    g_free(range->done);
    g_free(range->task_states);
    g_free(range);
}

void lmn_job_free(struct lmn_job *job)
{
    lmn_job_spec_clear(&job->spec);
    g_ptr_array_free(job->ranges, TRUE);
    if (job->zones)
        g_array_free(job->zones, TRUE);
    g_free(job);
}

bool lmn_range_may_start(const struct lmn_range *range)
{
    const struct lmn_partition *partition = range->partition;

    if (partition->ownership.inherited_may_start)
        return true;
    /* An earlier owner never started tasks of a range that was created after this
     * ownership began: it applies changes in commit order, so it sees the loss of the
     * partition before it sees the range. This also holds for jobs with zone affinity or
     * anti-affinity, where the zone of one task restricts the others: all ranges of such
     * a job are in one partition and are created in one transaction. */
    return range->created_revision > partition->ownership.revision;
}

bool lmn_machine_is_silent(const struct lmn_core *core, const struct lmn_machine *machine,
                           struct timespec now)
{
    const struct lmn_settings *settings = core->settings;
    double overdue_s =
        MIN(SILENT_LEASE_SHARE * settings->lease_s,
            SILENT_HEARTBEATS * settings->heartbeat_s + HEARTBEAT_ALLOWANCE_S);

    return machine->lifecycle.is_accounted && !machine->agent.lease_expired &&
           !machine->lifecycle.is_draining && !machine->lifecycle.is_terminated &&
           lmn_time_diff_s(now, machine->agent.last_heartbeat_at) > overdue_s;
}
