/** @file
 * Starting tasks from queues; see queue.h.
 *
 * MATRIX (A. Rajendran, thesis, 2013, section 3.5) starts tasks first in, first out. Here
 * a machine starts the most urgent task of its own queue and of a random sample of other
 * queues.
 *
 * The functions depend only on the core's state, the time and the core's random source.
 * The caller holds the core's lock. */
#include "scheduler/queue.h"
#include "scheduler/queue_scan.h"
#include "scheduler/task_start.h"
#include "state/task_ledger.h"

/** Most steals in one call for a machine. */
enum { MAX_STEAL_ROUNDS = 8 };

/** The segment whose first task is to be started. */
struct segment_choice {
    struct lmn_queue *queue;
    int index; /**< in the queue; -1: none */
    struct lmn_job *job;
};

/** Chooses the queue's most urgent segment that the machine could start. */
static struct segment_choice choose_segment(const struct lmn_core *core,
                                            struct lmn_queue *queue,
                                            const struct lmn_machine *machine,
                                            struct timespec now)
{
    int index = lmn_queue_scan_best_segment(core, queue, machine, now);
    struct segment_choice choice = {queue, index, NULL};

    if (index >= 0)
        choice.job = ((struct lmn_queue_segment *)queue->segments->pdata[index])->job;
    return choice;
}

/** Replaces the choice if one of the queues has a more urgent segment. */
static void prefer_more_urgent(const struct lmn_core *core, const GPtrArray *queues,
                               const struct lmn_machine *machine,
                               struct segment_choice *choice, struct timespec now)
{
    for (guint i = 0; i < queues->len; i++) {
        struct segment_choice other =
            choose_segment(core, queues->pdata[i], machine, now);
        if (other.job && other.job != choice->job &&
            lmn_queue_scan_compare(core, machine, other.job, choice->job, now) < 0)
            *choice = other;
    }
}

/** Removes the first task of the chosen segment from its queue and starts it on the
 * machine. Returns the number of tasks started: 0 if the task is no longer queued,
 * else 1. */
static guint start_first_task(struct lmn_core *core, const struct segment_choice *choice,
                              struct lmn_machine *machine, GByteArray *commands,
                              struct timespec now)
{
    struct lmn_queue_segment *segment = choice->queue->segments->pdata[choice->index];
    const struct lmn_range *range = segment->range;
    guint started = 0;

    choice->queue->task_count--;
    /* The task's state in its range is authoritative: a queue may contain a task that is
     * no longer to be started. */
    if (range->task_states[segment->first - range->first] != LMN_TASK_QUEUED) {
        segment->first++;
    } else {
        lmn_start_task(core, machine, segment, commands, now);
        started = 1;
    }
    if (segment->first == segment->end)
        lmn_queue_remove_segment(choice->queue, (guint)choice->index);
    return started;
}

/** Starts tasks of the machine's own queue as long as they fit; a more urgent task in a
 * queue of a random sample is started instead. Busy machines work off their queues at
 * different speeds: without the sample, the last tasks of a job would wait in the slowest
 * queue while other machines start jobs that came much later. Returns the number of tasks
 * started. */
static guint start_tasks(struct lmn_core *core, struct lmn_machine *machine,
                         GByteArray *commands, struct timespec now)
{
    GPtrArray *sample = NULL;
    guint started = 0;

    for (;;) {
        struct segment_choice choice =
            choose_segment(core, &machine->queue, machine, now);
        if (choice.index < 0)
            break;
        if (!sample)
            sample = lmn_queue_scan_sample(core, machine);
        prefer_more_urgent(core, sample, machine, &choice, now);
        core->counters.steals += choice.queue != &machine->queue;
        started += start_first_task(core, &choice, machine, commands, now);
        /* One task is enough to test whether the machine obeys commands again. */
        if (started && machine->agent.ignored_commands)
            break;
    }
    if (sample)
        g_ptr_array_free(sample, TRUE);
    return started;
}

guint lmn_schedule_machine(struct lmn_core *core, struct lmn_machine *machine,
                           GByteArray *commands, struct timespec now)
{
    machine->stealing.is_idle_with_capacity = false;
    if (lmn_machine_wait_reason(machine, now) != LMN_WAIT_NONE)
        return 0;
    lmn_queue_scan_begin(core);
    guint started = start_tasks(core, machine, commands, now);
    /* While it has free capacity and no task in its own queue fits, the machine steals.
     */
    for (int round = 0; round < MAX_STEAL_ROUNDS; round++) {
        if ((machine->agent.ignored_commands && started) ||
            lmn_queue_scan_count_startable(core, &machine->queue, machine, now) ||
            !lmn_steal_for_machine(core, machine, now))
            break;
        started += start_tasks(core, machine, commands, now);
    }
    machine->stealing.is_idle_with_capacity =
        !machine->agent.ignored_commands &&
        !lmn_queue_scan_count_startable(core, &machine->queue, machine, now);
    return started;
}
