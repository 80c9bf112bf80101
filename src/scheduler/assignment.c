/** @file
 * Assignment of queued tasks to machines' queues; see assignment.h.
 *
 * MATRIX (A. Rajendran, thesis, 2013, section 3.4) assigns tasks round robin over
 * identical nodes. Here machines differ in price and size, so tasks are first assigned by
 * bin packing to machines with free capacity; the tasks that do not fit there are
 * assigned round robin.
 *
 * The functions depend only on the core's state and the time. The caller holds the core's
 * lock. */
#include "scheduler/assignment.h"
#include "util/log.h"
#include "scheduler/affinity.h"
#include "scheduler/image_cache.h"
#include "scheduler/resources.h"
#include "scheduler/wait_reason.h"
#include "state/task_ledger.h"

/** A machine with free capacity, and the values by which candidates are ranked. */
struct candidate {
    struct lmn_machine *machine;
    int mismatch; /**< mismatch_score */
    double free_cpus;
    uint32_t free_tasks; /**< tasks that fit beside those already in its queue */
    guint position;      /**< index in the list of eligible machines; breaks ties */
};

/** Penalty for running the job on a machine that can run it; 0 is best. A job that may
 * use spot instances is kept off ordinary machines if possible: they cost more, and some
 * jobs can run nowhere else. A machine without the job's image would have to fetch it
 * first. */
static int mismatch_score(const struct lmn_machine *machine, const struct lmn_job *job)
{
    return (job->spec.may_use_spot && !machine->is_spot ? 2 : 0) +
           !lmn_machine_has_image(machine, job);
}

/** Orders candidates by mismatch, then by free processors, the fullest machine first.
 * This leaves whole machines free for large tasks, and idle machines that can be returned
 * to the cloud. */
static gint compare_candidates(gconstpointer first, gconstpointer second)
{
    const struct candidate *left = first, *right = second;

    if (left->mismatch != right->mismatch)
        return left->mismatch - right->mismatch;
    if (left->free_cpus != right->free_cpus)
        return left->free_cpus < right->free_cpus ? -1 : 1;
    return left->position < right->position ? -1 : left->position > right->position;
}

/** Adds the tasks first..end-1 to the machine's queue and resets the machine's steal
 * interval, as MATRIX does for new work (section 2.3.2). */
static void assign_to_machine(struct lmn_machine *machine, struct lmn_range *range,
                              uint32_t first, uint32_t end, struct timespec now)
{
    lmn_queue_add(&machine->queue, range, first, end);
    machine->stealing.interval_s = 0;
    machine->stealing.next_at = now;
}

/** Lists the partition's machines that can run the range's job (eligible), and those of
 * them with free capacity beside the tasks in their queues (candidates). A machine that
 * ignores its commands is in neither list: with each heartbeat it would be assigned as
 * many tasks as fit there, and start none of them. */
static void find_machines(const struct lmn_range *range, GPtrArray *eligible,
                          GArray *candidates)
{
    const struct lmn_job *job = range->job;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, range->partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct lmn_machine *machine = value;
        if (machine->agent.ignored_commands || !lmn_machine_can_run(machine, job))
            continue;
        uint32_t capacity = lmn_machine_task_capacity(machine, &job->spec);
        if (capacity > machine->queue.task_count) {
            struct candidate candidate = {machine, mismatch_score(machine, job),
                                          lmn_machine_free_resources(machine).cpus,
                                          capacity - machine->queue.task_count,
                                          eligible->len};
            g_array_append_val(candidates, candidate);
        }
        g_ptr_array_add(eligible, machine);
    }
}

/** Number of tasks, `wanted` at most, that may be assigned to the candidate. The job's
 * affinity and anti-affinity are checked here too: otherwise all replicas of a service
 * could be assigned to the fullest machine, and those that may not start in its zone
 * would wait there until other machines stole them.
 * @param assigned_in_zone tasks that this round has assigned to the candidate's zone
 * @param has_assigned_zone whether this round has assigned tasks to any zone */
static uint32_t assignable_tasks(const struct candidate *candidate,
                                 const struct lmn_job *job, uint32_t wanted,
                                 guint assigned_in_zone, bool has_assigned_zone)
{
    uint32_t zone_capacity = lmn_zone_task_capacity(job, candidate->machine->zone);
    uint32_t count = MIN(candidate->free_tasks, wanted);

    count = MIN(count,
                zone_capacity > assigned_in_zone ? zone_capacity - assigned_in_zone : 0);
    if (job->spec.requires_one_zone && has_assigned_zone && !assigned_in_zone)
        return 0;
    return count;
}

/** Assigns to each candidate, in order, as many tasks as can start there, and wakes the
 * machine. Returns the index of the first task that is not assigned. */
static uint32_t assign_to_candidates(struct lmn_core *core, const GArray *candidates,
                                     struct lmn_range *range, uint32_t first,
                                     uint32_t end, struct timespec now)
{
    GHashTable *assigned_by_zone = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < candidates->len && first < end; i++) {
        const struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);
        char *zone = candidate->machine->zone;
        guint in_zone = GPOINTER_TO_UINT(g_hash_table_lookup(assigned_by_zone, zone));
        uint32_t count = assignable_tasks(candidate, range->job, end - first, in_zone,
                                          g_hash_table_size(assigned_by_zone) > 0);
        if (!count)
            continue;
        g_hash_table_insert(assigned_by_zone, zone, GUINT_TO_POINTER(in_zone + count));
        assign_to_machine(candidate->machine, range, first, first + count, now);
        lmn_machine_wake(candidate->machine);
        first += count;
    }
    g_hash_table_destroy(assigned_by_zone);
    if (candidates->len)
        pthread_cond_broadcast(&core->machines_woken);
    return first;
}

/** Assigns the tasks round robin, one at a time: over the machines that have the job's
 * image if there is at least one of them for every two tasks, else over all eligible
 * machines. Filling one machine's queue before the next would fetch the image less often,
 * but the tasks would wait for that machine while others become free. The cursor advances
 * even if there are no tasks to assign. */
static void assign_round_robin(struct lmn_partition *partition, GPtrArray *eligible,
                               struct lmn_range *range, uint32_t first, uint32_t end,
                               struct timespec now)
{
    GPtrArray *with_image = g_ptr_array_new();

    for (guint i = 0; i < eligible->len; i++)
        if (lmn_machine_has_image(eligible->pdata[i], range->job))
            g_ptr_array_add(with_image, eligible->pdata[i]);
    const GPtrArray *machines =
        2 * with_image->len >= end - first ? with_image : eligible;
    guint cursor = ++partition->scheduling.round_robin_cursor;
    for (guint i = 0; machines->len && first < end; i++, first++)
        assign_to_machine(machines->pdata[(cursor + i) % machines->len], range, first,
                          first + 1, now);
    g_ptr_array_free(with_image, TRUE);
}

void lmn_assign_tasks(struct lmn_core *core, struct lmn_range *range, uint32_t first,
                      uint32_t end, struct timespec now)
{
    struct lmn_partition *partition = range->partition;

    /* A faulty job is retried with one task at a time, so its tasks stay out of the
     * machines' queues. */
    if (lmn_job_is_faulty(&range->job->failures)) {
        lmn_queue_add(&partition->scheduling.unassigned, range, first, end);
        return;
    }
    GPtrArray *eligible = g_ptr_array_new();
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    find_machines(range, eligible, candidates);
    if (!eligible->len)
        lmn_queue_add(&partition->scheduling.unassigned, range, first, end);
    g_array_sort(candidates, compare_candidates);
    first = assign_to_candidates(core, candidates, range, first, end, now);
    g_array_free(candidates, TRUE);
    assign_round_robin(partition, eligible, range, first, end, now);
    g_ptr_array_free(eligible, TRUE);
}

void lmn_assign_range(struct lmn_core *core, struct lmn_range *range, struct timespec now)
{
    uint32_t count = range->end - range->first;

    for (uint32_t i = 0; i < count;) {
        uint32_t run_end = i;
        while (run_end < count && range->task_states[run_end] == LMN_TASK_QUEUED)
            run_end++;
        if (run_end > i)
            lmn_assign_tasks(core, range, range->first + i, range->first + run_end, now);
        i = run_end + 1;
    }
}

void lmn_reassign_range(struct lmn_core *core, struct lmn_range *range,
                        struct timespec now)
{
    GHashTableIter iter;
    gpointer value;

    lmn_queue_remove_range(&range->partition->scheduling.unassigned, range);
    g_hash_table_iter_init(&iter, range->partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        lmn_queue_remove_range(&((struct lmn_machine *)value)->queue, range);
    lmn_assign_range(core, range, now);
}

void lmn_reassign_job(struct lmn_core *core, struct lmn_job *job, struct timespec now)
{
    for (guint i = 0; i < job->ranges->len; i++) {
        struct lmn_range *range = job->ranges->pdata[i];
        if (range->partition->ownership.is_owned && range->task_states &&
            range->is_assigned)
            lmn_reassign_range(core, range, now);
    }
}

void lmn_reassign_machine_queue(struct lmn_core *core, struct lmn_machine *machine,
                                struct timespec now)
{
    struct lmn_queue old_queue = machine->queue;

    machine->reservation.preemption_tasks = 0;
    lmn_queue_init(&machine->queue);
    for (guint i = 0; i < old_queue.segments->len; i++) {
        struct lmn_queue_segment *segment = old_queue.segments->pdata[i];
        if (lmn_range_may_start(segment->range))
            lmn_assign_tasks(core, segment->range, segment->first, segment->end, now);
    }
    lmn_queue_clear(&old_queue);
    g_ptr_array_free(old_queue.segments, TRUE);
}

void lmn_machine_drain(struct lmn_core *core, struct lmn_machine *machine, bool at_once,
                       const char *reason, struct timespec now)
{
    machine->lifecycle.drain_at_once = machine->lifecycle.drain_at_once || at_once;
    if (machine->lifecycle.is_draining)
        return;
    lmn_info("machine_drain_started machine=%s partition=%d force=%d why=\"%s\"",
             machine->name, machine->partition->id, at_once, reason);
    machine->lifecycle.is_draining = true;
    machine->lifecycle.drain_began_at = now;
    lmn_reassign_machine_queue(core, machine, now);
}
