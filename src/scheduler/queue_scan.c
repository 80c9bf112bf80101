/** @file
 * Scans over queues; see queue_scan.h. These functions are the hot path of a controller:
 * they allocate nothing but the sample's array. */
#include "scheduler/queue_scan.h"
#include "scheduler/image_cache.h"
#include "scheduler/job_order.h"
#include "scheduler/wait_reason.h"

#include <math.h>

/** What a second of fetching an image counts against a second of being late: a fetch also
 * holds capacity idle. */
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

/** Whether the machine could start a task of the job now. Within a scan a job that can't
 * start stays so, while one that could is checked again after each start. */
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

/** lmn_image_fetch_s, remembered until the next start. */
static double remembered_fetch_s(const struct lmn_core *core,
                                 const struct lmn_machine *machine, struct lmn_job *job,
                                 struct timespec now)
{
    if (job->fetch_scan != core->scheduling.start_generation) {
        job->fetch_s = lmn_image_fetch_s(machine, job, now);
        job->fetch_scan = core->scheduling.start_generation;
    }
    return job->fetch_s;
}

/** Whether the two jobs differ in nothing that goes before their latest starts. */
static bool have_same_urgency(const struct lmn_job *a, const struct lmn_job *b)
{
    return a->is_within_guarantee == b->is_within_guarantee &&
           a->is_under_fair_share == b->is_under_fair_share &&
           a->is_starving == b->is_starving &&
           a->has_missed_objective == b->has_missed_objective &&
           a->is_deferred == b->is_deferred && a->spec.priority == b->spec.priority;
}

/** The job's latest start, set back by the fetch of its image. A task whose image is
 * missing would start, and end, later by the fetch, and hold its capacity idle meanwhile.
 * So do those that start after it while the fetch is under way: if the image counted as
 * cached from the first start on, whole machines would wait side by side for one fetch,
 * with other work in their queues that lacks nothing. */
static double weighted_start_s(const struct lmn_core *core,
                               const struct lmn_machine *machine, struct lmn_job *job,
                               struct timespec now)
{
    return (job->has_missed_objective ? 0 : job->latest_start_s) +
           FETCH_WEIGHT * remembered_fetch_s(core, machine, job, now);
}

int lmn_queue_scan_compare(const struct lmn_core *core, const struct lmn_machine *machine,
                           struct lmn_job *a, struct lmn_job *b, struct timespec now)
{
    if (have_same_urgency(a, b)) {
        double a_start_s = weighted_start_s(core, machine, a, now);
        double b_start_s = weighted_start_s(core, machine, b, now);
        if (a_start_s != b_start_s)
            return a_start_s < b_start_s ? -1 : 1;
    }
    return lmn_job_compare(a, b);
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

/** Size of a sample of `others` queues: the operator's setting, or twice the square root
 * of the number of machines (MATRIX, section 4.2.2, finds the root best). */
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

    /* A partial shuffle of the list itself: the sample is its first places, with the
     * machine's own place moved to the end. So the cost of a sample does not grow with
     * the partition. */
    swap_machines(machines, machine->list_index, others);
    for (guint i = 0; i < size; i++) {
        guint offset = (guint)g_rand_int_range(core->random, 0, (gint32)(others - i));
        swap_machines(machines, i, i + offset);
        g_ptr_array_add(queues, &machines[i]->queue);
    }
    g_ptr_array_add(queues, &partition->scheduling.unassigned);
    return queues;
}
