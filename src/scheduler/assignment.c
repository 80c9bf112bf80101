/** @file
 * Assignment of queued tasks to machines' queues; see assignment.h.
 *
 * MATRIX (A. Rajendran, thesis, 2013, section 3.4) assigns tasks round robin over equal
 * nodes. Here machines differ in price and size, so tasks go to machines with free
 * capacity first, by bin packing; only what is left over is assigned round robin.
 *
 * The functions depend only on the shared state and the time. The core's lock is held. */
#include "scheduler/assignment.h"
#include "util/log.h"
#include "scheduler/affinity.h"
#include "scheduler/image_cache.h"
#include "scheduler/resources.h"
#include "scheduler/wait_reason.h"
#include "state/task_ledger.h"

/** A machine with free capacity, with what its rank among others depends on. */
struct candidate {
    struct lmn_machine *machine;
    int mismatch; /**< mismatch_score */
    double free_cpus;
    uint32_t free_tasks; /**< tasks that it could start beyond those in its queue */
    guint position;      /**< in the list of eligible machines: breaks ties */
};

/** How badly a machine suits a job that it can run; 0 is best. Ordinary machines cost
 * more than spot instances, and some work can run nowhere else; an image that is missing
 * has to be fetched first. */
static int mismatch_score(const struct lmn_machine *machine, const struct lmn_job *job)
{
    return (job->spec.may_use_spot && !machine->is_spot ? 2 : 0) +
           !lmn_machine_has_image(machine, job);
}

/** Orders candidates by mismatch, then the fullest first: so large tasks find whole
 * machines, and idle machines can be returned. */
static gint compare_candidates(gconstpointer left, gconstpointer right)
{
    const struct candidate *a = left, *b = right;

    if (a->mismatch != b->mismatch)
        return a->mismatch - b->mismatch;
    if (a->free_cpus != b->free_cpus)
        return a->free_cpus < b->free_cpus ? -1 : 1;
    return a->position < b->position ? -1 : a->position > b->position;
}

/** Adds tasks to the machine's queue. New work resets its steal interval (MATRIX, section
 * 2.3.2). */
static void assign_to_machine(struct lmn_machine *machine, struct lmn_range *range,
                              uint32_t first, uint32_t end, struct timespec now)
{
    lmn_queue_add(&machine->queue, range, first, end);
    machine->stealing.interval_s = 0;
    machine->stealing.next_at = now;
}

/** Lists the partition's machines that can run the range's job, and those of them that
 * have free capacity beyond their queues. A machine whose commands have no effect is left
 * out: it would take all that it has room for with each of its heartbeats. */
static void find_machines(const struct lmn_range *range, GPtrArray *eligible,
                          GArray *candidates)
{
    const struct lmn_job *job = range->job;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, range->partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
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

/** How many of `wanted` tasks may be assigned to a candidate, given how many have been
 * assigned to its zone in this round and whether any zone has got some. A machine gets no
 * task that could not start there because of the job's other tasks: otherwise a service
 * whose replicas were all assigned to the fullest machine would wait there until other
 * machines stole them. */
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

/** Assigns tasks to the candidates in their order, as many as can start there, and wakes
 * those machines. Returns the first task that is left over. */
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

/** Assigns one task at a time round robin: over the machines that have the image if there
 * is at least one for two tasks, else over all that are eligible. Filling one machine
 * after the other would fetch the image less often, but tasks would wait for that
 * machine's tasks to end while others' end too. The cursor moves on even if nothing is
 * left to assign. */
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

    /* A faulty job is tried with one task at a time: its tasks fill no machine's queue.
     */
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
    GHashTableIter it;
    gpointer value;

    lmn_queue_remove_range(&range->partition->scheduling.unassigned, range);
    g_hash_table_iter_init(&it, range->partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value))
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
