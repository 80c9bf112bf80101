/** @file
 * Backfill reservations; see reservation.h. The core's lock is held. */
#include "scheduler/reservation.h"
#include "util/log.h"
#include "scheduler/resources.h"
#include "scheduler/wait_reason.h"
#include "state/task_ledger.h"

#include <string.h>

/** Seconds for which capacity is reserved for a job before another place is looked for.
 */
static const double JOB_RESERVATION_S = 60;
/** Seconds for which quota is reserved for another partition, which asks again within 8 s
 * (controller/rpc_server.c). */
static const double PARTITION_RESERVATION_S = 12;
/** One machine of so many in a partition is reserved at a time, and one at least. */
enum { MACHINES_PER_RESERVATION = 20 };
/** Seconds that a job has waited before anything is reserved for it: a starving job goes
 * first wherever it fits. With reservations from 60 s on, and for tasks of any size,
 * machines ran empty a hundred times on a day with more work than capacity. */
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

    /* A job of our own that waits comes first. */
    if (!is_current(reservation, now))
        *reservation = (struct lmn_quota_reservation){
            NULL, cpus, gpus, lmn_time_add(now, PARTITION_RESERVATION_S)};
}

/** Whether the machine as a whole is large enough for a task of the job. */
static bool is_large_enough(const struct lmn_machine *machine,
                            const struct lmn_job_spec *spec)
{
    return !(machine->type->cpus < spec->cpus || machine->type->gpus < spec->gpus ||
             machine->type->memory_gb < spec->memory_gb);
}

/** The machine that could run the job's task once it is empty, and has the most
 * processors free already; NULL: none. */
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

/** The queue that holds a segment of the range; NULL: none.
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

/** Moves one of the range's queued tasks to the machine's own queue, so that it is found
 * there as soon as it fits. */
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

/** Whether some machine could start a task of the job now, or one is reserved for it. */
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

/** Reserves quota for a task of the job, unless it is reserved for another. What is more
 * than the whole share has to come from other partitions (partition/quota_transfer.h). */
static void reserve_quota_for_job(struct lmn_partition *partition,
                                  const struct lmn_job *job, struct timespec now)
{
    struct lmn_quota_reservation *reservation = &partition->quota.reservations[job->team];

    if (!is_current(reservation, now))
        *reservation = (struct lmn_quota_reservation){
            job, job->spec.cpus, job->spec.gpus, lmn_time_add(now, JOB_RESERVATION_S)};
}

/** Reserves what a task of the range lacks: quota, or else a machine.
 * @param machines_left how many machines may still be reserved */
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

/** Whether the machine's reservation is not needed any more. The job that waited in the
 * partition may have moved to another one: then nothing could start on the machine. */
static bool has_obsolete_reservation(const struct lmn_machine *machine,
                                     struct timespec now)
{
    const struct lmn_job *job = machine->reservation.job;

    return job && (!job->is_starving || !has_waiting_task(machine->partition, job) ||
                   job->phase != LMN_JOB_ACTIVE ||
                   !lmn_time_before(now, machine->reservation.until) ||
                   !lmn_machine_can_run(machine, job));
}

/** Releases machines whose reservations are obsolete. Returns how many may be reserved
 * beside those that still are. */
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

/** Releases quota whose reservations are over. */
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

/** Whether something should be reserved for a task of the range if it lacks it. */
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
    GHashTableIter it;
    gpointer value;

    if (!partition->ownership.is_owned)
        return;
    guint machines_left = release_machines(partition, now);
    release_quotas(core, partition, now);
    if (!partition->ownership.inherited_may_start || partition->ownership.is_transferring)
        return;
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &value))
        if (may_reserve(core, value))
            reserve_for_range(core, value, &machines_left, now);
}
