/** @file
 * Starting tasks from queues; see queue.h.
 *
 * MATRIX (A. Rajendran, thesis, 2013, section 3.5) starts tasks first in, first out. Here
 * a machine starts the most urgent of its own queue and of a random sample of other
 * queues.
 *
 * The functions depend only on the shared state, the time and the core's random source.
 * The core's lock is held. */
#include "scheduler/queue.h"
#include "scheduler/queue_scan.h"
#include "scheduler/task_start.h"
#include "state/task_ledger.h"

/** Steals in a row for one machine at most. */
enum { MAX_STEAL_ROUNDS = 8 };

/** A segment that was chosen to start from. */
struct segment_choice {
    struct lmn_queue *queue;
    int index; /**< in the queue; -1: none */
    struct lmn_job *job;
};

/** The most urgent segment of the queue that the machine could start. */
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

/** Replaces the choice by a more urgent one, if one of the queues holds it. */
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

/** Takes the first task of the chosen segment out of its queue and starts it on the
 * machine. Returns how many tasks were started: 0 if the task is not queued any more. */
static guint start_first_task(struct lmn_core *core, const struct segment_choice *choice,
                              struct lmn_machine *machine, GByteArray *commands,
                              struct timespec now)
{
    struct lmn_queue_segment *segment = choice->queue->segments->pdata[choice->index];
    const struct lmn_range *range = segment->range;
    guint started = 0;

    choice->queue->task_count--;
    /* The task's state decides, not the queue: what is not queued there is not started.
     */
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

/** Starts tasks of the machine's own queue as long as they fit; but where a queue of a
 * random sample holds something more urgent, that first. Queues of busy machines run dry
 * at different times: otherwise the last tasks of a job would wait in the slowest of them
 * while other machines start what came much later. Returns how many were started. */
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
        /* One task is enough to try whether the machine's commands arrive again. */
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
    /* With capacity left and nothing in its own queue that fits, the machine steals until
     * that brings nothing. */
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
