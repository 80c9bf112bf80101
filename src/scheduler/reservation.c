/** @file
 * Backfill reservations; see reservation.h. The caller holds the core's lock. */
#include "scheduler/reservation.h"
#include "util/log.h"
#include "scheduler/resources.h"
#include "scheduler/wait_reason.h"
#include "state/task_ledger.h"

#include <string.h>

/** Seconds after which a reservation for a job expires, and another machine is chosen. */
static const double JOB_RESERVATION_S = 60;
/** Seconds for which quota is reserved for another partition. Must exceed the 8 s within
 * which that partition repeats its request (controller/rpc_server.c). */
static const double PARTITION_RESERVATION_S = 12;
/** A partition reserves at most one in this many of its machines, but always may reserve
 * one. */
enum { MACHINES_PER_RESERVATION = 20 };
/** Seconds that a job must wait before anything is reserved for it. Until then a starving
 * job starts before others wherever it fits. Reservations after 60 s and for tasks of any
 * size left machines empty a hundred times in a day of overload. */
static const double RESERVE_AFTER_S = 120;

static void release_machine(struct lmn_machine *machine)
{
    machine->reservation.job = NULL;
    lmn_machine_wake(machine);
}

static bool is_current(const struct lmn_quota_reservation *reservation,
                       struct timespec now)
{
    return reservation->job && lmn_time_before(now, reservation->until);
}

void lmn_reserve_quota_for_partition(struct lmn_partition *partition, int team,
                                     double cpus, double gpus, struct timespec now)
{
    struct lmn_quota_reservation *reservation = &partition->quota.reservations[team];

    /* A reservation for a waiting job of this partition takes precedence. */
    if (!is_current(reservation, now))
        *reservation = (struct lmn_quota_reservation){
            NULL, cpus, gpus, lmn_time_add(now, PARTITION_RESERVATION_S)};
}

/** Whether a task of the job would fit on the machine if the machine were empty. */
static bool is_large_enough(const struct lmn_machine *machine,
                            const struct lmn_job_spec *spec)
{
    return !(machine->type->cpus < spec->cpus || machine->type->gpus < spec->gpus ||
             machine->type->memory_gb < spec->memory_gb);
}

/** Of the machines without a reservation that could run a task of the job when empty,
 * returns the one with the most free processors, or NULL. */
static struct lmn_machine *find_machine(const struct lmn_partition *partition,
                                        const struct lmn_job *job)
{
    struct lmn_machine *best = NULL;

    for (guint i = 0; i < partition->machine_list->len; i++) {
        struct lmn_machine *machine = partition->machine_list->pdata[i];
        if (machine->reservation.job || machine->reservation.preemption_tasks ||
            machine->agent.ignored_commands || !lmn_machine_can_run(machine, job) ||
            !is_large_enough(machine, &job->spec))
            continue;
        if (!best || lmn_machine_free_resources(machine).cpus >
                         lmn_machine_free_resources(best).cpus)
            best = machine;
    }
    return best;
}

/** Returns a queue of the partition that contains a segment of the range, or NULL.
 * @param[out] index first task of that segment */
static struct lmn_queue *find_queue(struct lmn_partition *partition,
                                    const struct lmn_range *range, uint32_t *index)
{
    for (guint k = 0; k <= partition->machine_list->len; k++) {
        struct lmn_queue *queue = &partition->scheduling.unassigned;
        if (k > 0)
            queue = &((struct lmn_machine *)partition->machine_list->pdata[k - 1])->queue;
        for (guint i = 0; i < queue->segments->len; i++) {
            const struct lmn_queue_segment *segment = queue->segments->pdata[i];
            if (segment->range == range) {
                *index = segment->first;
                return queue;
            }
        }
    }
    return NULL;
}

/** Moves one of the range's queued tasks to the machine's queue, so that the machine
 * starts it as soon as it fits. */
static void move_task_to(struct lmn_machine *machine, struct lmn_range *range)
{
    uint32_t index = 0;
    struct lmn_queue *from = find_queue(machine->partition, range, &index);

    if (!from || from == &machine->queue)
        return;
    lmn_queue_remove_task(from, range, index);
    lmn_queue_add(&machine->queue, range, index, index + 1);
}

/** Whether a task of the job waits in the partition. */
static bool has_waiting_task(const struct lmn_partition *partition,
                             const struct lmn_job *job)
{
    for (guint i = 0; i < job->ranges->len; i++) {
        const struct lmn_range *range = job->ranges->pdata[i];
        if (range->partition == partition && range->task_states &&
            range->started_count + range->finished_count < range->end - range->first)
            return true;
    }
    return false;
}

/** Whether a machine of the partition could start a task of the job now, or is reserved
 * for the job. */
static bool has_machine(const struct lmn_partition *partition, const struct lmn_job *job)
{
    for (guint i = 0; i < partition->machine_list->len; i++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[i];
        if (machine->reservation.job == job ||
            (!machine->reservation.job && !machine->agent.ignored_commands &&
             lmn_machine_can_run(machine, job) &&
             lmn_machine_task_capacity(machine, &job->spec) > 0))
            return true;
    }
    return false;
}

/** Reserves quota of the partition's share for one task of the job, unless quota is
 * reserved for another job. A task that needs more than the whole share waits for a
 * transfer from other partitions (partition/quota_transfer.h). */
static void reserve_quota_for_job(struct lmn_partition *partition,
                                  const struct lmn_job *job, struct timespec now)
{
    struct lmn_quota_reservation *reservation = &partition->quota.reservations[job->team];

    if (!is_current(reservation, now))
        *reservation = (struct lmn_quota_reservation){
            job, job->spec.cpus, job->spec.gpus, lmn_time_add(now, JOB_RESERVATION_S)};
}

/** Reserves quota for a task of the range if it lacks quota. Otherwise reserves a machine
 * if no machine of the partition has enough free capacity for the task.
 * @param[in,out] machines_left number of machines that may still be reserved */
static void reserve_for_range(struct lmn_core *core, struct lmn_range *range,
                              guint *machines_left, struct timespec now)
{
    struct lmn_partition *partition = range->partition;
    struct lmn_job *job = range->job;

    if (!lmn_job_within_quota(core, partition, job)) {
        reserve_quota_for_job(partition, job, now);
        return;
    }
    if (*machines_left == 0 || has_machine(partition, job))
        return;
    struct lmn_machine *machine = find_machine(partition, job);
    if (!machine)
        return;
    --*machines_left;
    machine->reservation.job = job;
    machine->reservation.until = lmn_time_add(now, JOB_RESERVATION_S);
    lmn_info("machine_reserved machine=%s job=%s free=%.1f", machine->name, job->spec.id,
             lmn_machine_free_resources(machine).cpus);
    move_task_to(machine, range);
}

/** Whether the machine is reserved for a job that no longer needs it. The job's waiting
 * tasks may have moved to another partition: the machine would then start nothing until
 * the reservation expires. */
static bool has_obsolete_reservation(const struct lmn_machine *machine,
                                     struct timespec now)
{
    const struct lmn_job *job = machine->reservation.job;

    return job && (!job->is_starving || !has_waiting_task(machine->partition, job) ||
                   job->phase != LMN_JOB_ACTIVE ||
                   !lmn_time_before(now, machine->reservation.until) ||
                   !lmn_machine_can_run(machine, job));
}

/** Releases machines whose reservations are obsolete. Returns how many more machines may
 * be reserved. */
static guint release_machines(struct lmn_partition *partition, struct timespec now)
{
    guint machines_left = MAX(partition->machine_list->len / MACHINES_PER_RESERVATION, 1);

    for (guint i = 0; i < partition->machine_list->len; i++) {
        struct lmn_machine *machine = partition->machine_list->pdata[i];
        if (has_obsolete_reservation(machine, now))
            release_machine(machine);
        if (machine->reservation.job && machines_left)
            machines_left--;
    }
    return machines_left;
}

/** Releases quota reservations that have expired or whose job no longer needs them. */
static void release_quotas(const struct lmn_core *core, struct lmn_partition *partition,
                           struct timespec now)
{
    for (size_t team = 0; team < core->settings->team_count; team++) {
        struct lmn_quota_reservation *reservation = &partition->quota.reservations[team];
        const struct lmn_job *job = reservation->job;
        if (reservation->cpus + reservation->gpus > 0 &&
            (!lmn_time_before(now, reservation->until) ||
             (job && (!job->is_starving || job->phase != LMN_JOB_ACTIVE))))
            memset(reservation, 0, sizeof *reservation);
    }
}

/** Whether quota or a machine may be reserved for a task of the range. */
static bool may_reserve(const struct lmn_core *core, const struct lmn_range *range)
{
    const struct lmn_job *job = range->job;

    return job->is_starving &&
           core->scheduling.wall_clock_s - job->accepted_at_s > RESERVE_AFTER_S &&
           job->phase == LMN_JOB_ACTIVE && range->task_states && range->is_assigned &&
           job->team >= 0 && !lmn_job_is_faulty(&job->failures) &&
           lmn_range_may_start(range);
}

void lmn_update_reservations(struct lmn_core *core, struct lmn_partition *partition,
                             struct timespec now)
{
    GHashTableIter iter;
    gpointer value;

    if (!partition->ownership.is_owned)
        return;
    guint machines_left = release_machines(partition, now);
    release_quotas(core, partition, now);
    if (!partition->ownership.inherited_may_start || partition->ownership.is_transferring)
        return;
    g_hash_table_iter_init(&iter, partition->ranges);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        if (may_reserve(core, value))
            reserve_for_range(core, value, &machines_left, now);
}
