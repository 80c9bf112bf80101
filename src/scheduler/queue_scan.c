/** @file
 * Scans over queues; see queue_scan.h. These functions are the hot path of a controller:
 * the array of a sample is all that they allocate. */
#include "scheduler/queue_scan.h"
#include "scheduler/image_cache.h"
#include "scheduler/job_order.h"
#include "scheduler/wait_reason.h"

#include <math.h>

/** Seconds by which each second of fetching an image moves a job's latest start back. It
 * is more than 1 because a fetch also keeps capacity idle. */
static const double FETCH_WEIGHT = 4;

void lmn_queue_scan_begin(struct lmn_core *core)
{
    core->scheduling.scan_generation++;
    core->scheduling.start_generation++;
}

void lmn_queue_scan_record_start(struct lmn_core *core)
{
    core->scheduling.start_generation++;
}

/** Whether the machine could start a task of the job now. A negative result is valid
 * until the scan ends, a positive one until the next start. */
static bool is_startable(const struct lmn_core *core, const struct lmn_machine *machine,
                         struct lmn_job *job, struct timespec now)
{
    if (job->rejected_scan == core->scheduling.scan_generation)
        return false;
    if (job->accepted_scan == core->scheduling.start_generation)
        return true;
    bool may_start = lmn_job_wait_reason(core, machine, job, now) == LMN_WAIT_NONE;
    if (may_start)
        job->accepted_scan = core->scheduling.start_generation;
    else
        job->rejected_scan = core->scheduling.scan_generation;
    return may_start;
}

/** lmn_image_fetch_s, cached until the next start. */
static double cached_fetch_s(const struct lmn_core *core,
                             const struct lmn_machine *machine, struct lmn_job *job,
                             struct timespec now)
{
    if (job->fetch_scan != core->scheduling.start_generation) {
        job->fetch_s = lmn_image_fetch_s(machine, job, now);
        job->fetch_scan = core->scheduling.start_generation;
    }
    return job->fetch_s;
}

/** Whether the two jobs are equal in all that lmn_job_compare ranks above latest starts.
 */
static bool have_same_urgency(const struct lmn_job *left, const struct lmn_job *right)
{
    return left->is_within_guarantee == right->is_within_guarantee &&
           left->is_under_fair_share == right->is_under_fair_share &&
           left->is_starving == right->is_starving &&
           left->has_missed_objective == right->has_missed_objective &&
           left->is_deferred == right->is_deferred &&
           left->spec.priority == right->spec.priority;
}

/** The job's latest start plus the weighted time to fetch its image. A task without its
 * image would end later by the fetch time, and keep capacity idle meanwhile. This also
 * holds for tasks that start while a fetch is in progress: if the image counted as cached
 * from the first start on, tasks that wait for one fetch would fill a whole machine,
 * while tasks in its queue that could run at once wait. */
static double weighted_start_s(const struct lmn_core *core,
                               const struct lmn_machine *machine, struct lmn_job *job,
                               struct timespec now)
{
    return (job->has_missed_objective ? 0 : job->latest_start_s) +
           FETCH_WEIGHT * cached_fetch_s(core, machine, job, now);
}

int lmn_queue_scan_compare(const struct lmn_core *core, const struct lmn_machine *machine,
                           struct lmn_job *left, struct lmn_job *right,
                           struct timespec now)
{
    if (have_same_urgency(left, right)) {
        double left_start_s = weighted_start_s(core, machine, left, now);
        double right_start_s = weighted_start_s(core, machine, right, now);
        if (left_start_s != right_start_s)
            return left_start_s < right_start_s ? -1 : 1;
    }
    return lmn_job_compare(left, right);
}

int lmn_queue_scan_best_segment(const struct lmn_core *core,
                                const struct lmn_queue *queue,
                                const struct lmn_machine *machine, struct timespec now)
{
    struct lmn_job *best_job = NULL;
    int best = -1;

    for (guint i = 0; i < queue->segments->len; i++) {
        const struct lmn_queue_segment *segment = queue->segments->pdata[i];
        if (!is_startable(core, machine, segment->job, now))
            continue;
        if (best_job &&
            (segment->job == best_job ||
             lmn_queue_scan_compare(core, machine, segment->job, best_job, now) > 0))
            continue;
        best_job = segment->job;
        best = (int)i;
    }
    return best;
}

uint32_t lmn_queue_scan_count_startable(const struct lmn_core *core,
                                        const struct lmn_queue *queue,
                                        const struct lmn_machine *machine,
                                        struct timespec now)
{
    uint32_t count = 0;

    for (guint i = 0; i < queue->segments->len; i++) {
        const struct lmn_queue_segment *segment = queue->segments->pdata[i];
        if (is_startable(core, machine, segment->job, now))
            count += segment->end - segment->first;
    }
    return count;
}

static void swap_machines(struct lmn_machine **machines, guint i, guint k)
{
    struct lmn_machine *machine = machines[i];

    machines[i] = machines[k];
    machines[k] = machine;
    machines[i]->list_index = i;
    machines[k]->list_index = k;
}

/** Number of queues in a sample, of `others` queues at most: the operator's setting, or
 * twice the square root of the number of machines (MATRIX, section 4.2.2, found the
 * square root best). */
static guint sample_size(const struct lmn_core *core, guint others)
{
    guint size = core->cache.operator_settings.sample > 0
                     ? (guint)core->cache.operator_settings.sample
                     : (guint)ceil(2 * sqrt((double)others + 1));

    return MIN(size, others);
}

GPtrArray *lmn_queue_scan_sample(struct lmn_core *core, const struct lmn_machine *machine)
{
    struct lmn_partition *partition = machine->partition;
    struct lmn_machine **machines = (struct lmn_machine **)partition->machine_list->pdata;
    GPtrArray *queues = g_ptr_array_new();
    guint others = partition->machine_list->len - 1;
    guint size = sample_size(core, others);

    /* Partial Fisher-Yates shuffle of the list itself, with the machine moved to the end
     * of the list; the first `size` entries are the sample. So a sample takes time in
     * proportion to its own size, not to that of the partition. */
    swap_machines(machines, machine->list_index, others);
    for (guint i = 0; i < size; i++) {
        guint offset = (guint)g_rand_int_range(core->random, 0, (gint32)(others - i));
        swap_machines(machines, i, i + offset);
        g_ptr_array_add(queues, &machines[i]->queue);
    }
    g_ptr_array_add(queues, &partition->scheduling.unassigned);
    return queues;
}
