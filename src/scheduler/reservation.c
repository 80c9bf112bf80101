#include "scheduler/reservation.h"
#include "util/log.h"
#include "scheduler/queue.h"
#include "state/task_ledger.h"

#include <string.h>

/* How long room is kept for a job before another place is looked for; what is kept for
 * another partition is asked for again within 8 s (controller/rpc_server.c). */
static const double KEPT_S = 60, ASKED_S = 12;
/* Of a partition's machines, so many run empty at a time: one in twenty, and one at
 * least.
 */
enum { KEPT_OF = 20 };
/* Nothing is kept before the job has waited for so long: an aged one goes first wherever
 * it fits. Kept from 60 s on, and for tasks of any size, machines ran empty a hundred
 * times on a day with more work than room. */
static const double WAITED_S = 120;

static void let_go(struct lmn_machine *machine)
{
    machine->reservation.job = NULL;
    lmn_machine_wake(machine);
}

static void keep(struct lmn_quota_reservation *reservation, const struct lmn_job *job,
                 double cpus, double gpus, struct timespec until)
{
    *reservation = (struct lmn_quota_reservation){job, cpus, gpus, until};
}

void lmn_reserve_quota(struct lmn_partition *partition, int team, double cpus,
                       double gpus, struct timespec now)
{
    struct lmn_quota_reservation *reservation = &partition->quota.reservations[team];

    /* Our own that waits comes first. */
    if (!reservation->job || !lmn_time_before(now, reservation->until))
        keep(reservation, NULL, cpus, gpus, lmn_time_add(now, ASKED_S));
}

/* The machine that could hold the job's task and has most of the room free already. */
static struct lmn_machine *place(const struct lmn_partition *partition,
                                 const struct lmn_job *job)
{
    struct lmn_machine *best = NULL;

    for (guint i = 0; i < partition->machine_list->len; i++) {
        struct lmn_machine *machine = partition->machine_list->pdata[i];
        if (machine->reservation.job || machine->reservation.preemption_tasks ||
            machine->agent.ignored_commands || !lmn_machine_can_run(machine, job) ||
            machine->type->cpus < job->spec.cpus ||
            machine->type->gpus < job->spec.gpus ||
            machine->type->memory_gb < job->spec.memory_gb)
            continue;
        if (!best ||
            machine->type->cpus - machine->used.cpus > best->type->cpus - best->used.cpus)
            best = machine;
    }
    return best;
}

/* Moves one of the range's queued tasks to the machine's own queue, so that it is found
 * there as soon as it fits. */
static void bring(struct lmn_partition *partition, const struct lmn_range *r,
                  struct lmn_machine *machine)
{
    struct lmn_queue *from = &partition->scheduling.unassigned;
    uint32_t index = 0;
    bool found = false;

    for (guint k = 0; k <= partition->machine_list->len && !found; k++) {
        from = k ? &((struct lmn_machine *)partition->machine_list->pdata[k - 1])->queue
                 : &partition->scheduling.unassigned;
        for (guint i = 0; i < from->segments->len && !found; i++) {
            const struct lmn_queue_segment *segment = from->segments->pdata[i];
            found = segment->range == r;
            index = segment->first;
        }
    }
    if (!found || from == &machine->queue)
        return;
    struct lmn_range *range = g_hash_table_lookup(partition->ranges, r->key);
    lmn_queue_remove_task(from, range, index);
    lmn_queue_add(&machine->queue, range, index, index + 1);
}

/* Whether a task of the job waits in the partition. */
static bool waits_here(const struct lmn_partition *partition, const struct lmn_job *job)
{
    for (guint i = 0; i < job->ranges->len; i++) {
        const struct lmn_range *range = job->ranges->pdata[i];
        if (range->partition == partition && range->task_states &&
            range->started_count + range->finished_count < range->end - range->first)
            return true;
    }
    return false;
}

/* Whether some machine could start it now, or one is kept for it. */
static bool served(const struct lmn_partition *partition, const struct lmn_job *job)
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

static void help(struct lmn_core *core, struct lmn_partition *partition,
                 const struct lmn_range *range, guint *kept, struct timespec now)
{
    struct lmn_job *job = range->job;

    if (!lmn_job_within_quota(core, partition, job)) {
        struct lmn_quota_reservation *reservation =
            &partition->quota.reservations[job->team];
        /* What is more than all of the part has to come from others
         * (partition/quota_transfer.c). */
        if (!reservation->job || !lmn_time_before(now, reservation->until))
            keep(reservation, job, job->spec.cpus, job->spec.gpus,
                 lmn_time_add(now, KEPT_S));
        return;
    }
    if (*kept == 0 || served(partition, job))
        return;
    struct lmn_machine *machine = place(partition, job);
    if (!machine)
        return;
    --*kept;
    machine->reservation.job = job;
    machine->reservation.until = lmn_time_add(now, KEPT_S);
    lmn_info("machine_reserved machine=%s job=%s free=%.1f", machine->name, job->spec.id,
             machine->type->cpus - machine->used.cpus);
    bring(partition, range, machine);
}

void lmn_update_reservations(struct lmn_core *core, struct lmn_partition *partition,
                             struct timespec now)
{
    guint kept = MAX(partition->machine_list->len / KEPT_OF, 1);
    GHashTableIter it;
    gpointer v;

    if (!partition->ownership.is_owned)
        return;
    for (guint i = 0; i < partition->machine_list->len; i++) {
        struct lmn_machine *machine = partition->machine_list->pdata[i];
        /* A job that was waiting here may have moved on, and wait elsewhere: a machine
         * was kept for it that nothing could start on. */
        if (machine->reservation.job &&
            (!machine->reservation.job->is_starving ||
             !waits_here(partition, machine->reservation.job) ||
             machine->reservation.job->phase != LMN_JOB_ACTIVE ||
             !lmn_time_before(now, machine->reservation.until) ||
             !lmn_machine_can_run(machine, machine->reservation.job)))
            let_go(machine);
        kept -= machine->reservation.job && kept;
    }
    for (size_t t = 0; t < core->settings->team_count; t++) {
        struct lmn_quota_reservation *reservation = &partition->quota.reservations[t];
        if (reservation->cpus + reservation->gpus > 0 &&
            (!lmn_time_before(now, reservation->until) ||
             (reservation->job && (!reservation->job->is_starving ||
                                   reservation->job->phase != LMN_JOB_ACTIVE))))
            memset(reservation, 0, sizeof *reservation);
    }
    if (!partition->ownership.inherited_may_start || partition->ownership.is_transferring)
        return;
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_range *range = v;
        if (range->job->is_starving &&
            core->scheduling.wall_clock_s - range->job->accepted_at_s > WAITED_S &&
            range->job->phase == LMN_JOB_ACTIVE && range->task_states &&
            range->is_assigned && range->job->team >= 0 &&
            !lmn_job_is_faulty(&range->job->failures) && lmn_range_may_start(range))
            help(core, partition, range, &kept, now);
    }
}
