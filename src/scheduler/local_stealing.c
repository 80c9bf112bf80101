/** @file
 * Work stealing inside a partition, after MATRIX (A. Rajendran, thesis, 2013): an idle
 * machine steals from the busiest queue of a random sample (section 2.3.2, algorithm 2),
 * takes a share of the tasks that it could start (section 4.2.1), and after a failure
 * waits for an interval that doubles up to a cap (sections 2.3.2 and 3.6).
 *
 * The functions depend only on the core's state, the time and the core's random source.
 * The caller holds the core's lock. */
#include "scheduler/local_stealing.h"
#include "util/log.h"
#include "scheduler/queue_scan.h"
#include "state/task_ledger.h"

/** Moves up to `wanted` tasks from the queue to the thief's queue, the most urgent first.
 * Returns the number of tasks moved. */
static uint32_t move_tasks(struct lmn_core *core, struct lmn_queue *from,
                           struct lmn_machine *thief, uint32_t wanted,
                           struct timespec now)
{
    uint32_t moved = 0;
    int index;

    while (moved < wanted &&
           (index = lmn_queue_scan_best_segment(core, from, thief, now)) >= 0) {
        struct lmn_queue_segment *segment = from->segments->pdata[index];
        uint32_t count = MIN(wanted - moved, segment->end - segment->first);
        lmn_queue_add(&thief->queue, segment->range, segment->first,
                      segment->first + count);
        segment->first += count;
        from->task_count -= count;
        moved += count;
        if (segment->first == segment->end)
            lmn_queue_remove_segment(from, (guint)index);
    }
    return moved;
}

/** Draws a sample of queues and returns the one with the most tasks that the thief could
 * start, or NULL if none has any.
 * @param[out] load number of tasks in that queue that the thief could start; 0 if there
 * is none */
static struct lmn_queue *find_busiest_queue(struct lmn_core *core,
                                            struct lmn_machine *thief, uint32_t *load,
                                            struct timespec now)
{
    struct lmn_queue *busiest = NULL;
    GPtrArray *queues = lmn_queue_scan_sample(core, thief);

    *load = 0;
    core->counters.steal_tries++;
    for (guint i = 0; i < queues->len; i++) {
        uint32_t startable =
            lmn_queue_scan_count_startable(core, queues->pdata[i], thief, now);
        if (startable > *load) {
            *load = startable;
            busiest = queues->pdata[i];
        }
    }
    g_ptr_array_free(queues, TRUE);
    return busiest;
}

/** Number of tasks to steal from a queue with `load` startable tasks. A machine that
 * ignores its commands gets a single task, to test whether it obeys again. */
static uint32_t tasks_to_steal(const struct lmn_core *core,
                               const struct lmn_machine *thief, uint32_t load)
{
    if (thief->agent.ignored_commands)
        return 1;
    return MAX((uint32_t)((double)load * core->cache.operator_settings.share), 1);
}

/** Doubles the machine's steal interval, within the operator's bounds. */
static void back_off(const struct lmn_core *core, struct lmn_machine *machine,
                     struct timespec now)
{
    const struct lmn_operator_settings *settings = &core->cache.operator_settings;

    machine->stealing.interval_s =
        machine->stealing.interval_s > 0
            ? MIN(machine->stealing.interval_s * 2, settings->poll_cap_s)
            : settings->poll_floor_s;
    machine->stealing.next_at = lmn_time_add(now, machine->stealing.interval_s);
}

bool lmn_steal_for_machine(struct lmn_core *core, struct lmn_machine *machine,
                           struct timespec now)
{
    uint32_t load = 0, stolen = 0;

    if (lmn_time_before(now, machine->stealing.next_at))
        return false;
    lmn_queue_scan_begin(core);
    struct lmn_queue *busiest = find_busiest_queue(core, machine, &load, now);
    if (busiest)
        stolen =
            move_tasks(core, busiest, machine, tasks_to_steal(core, machine, load), now);
    if (!stolen) {
        back_off(core, machine, now);
        return false;
    }
    core->counters.steals++;
    core->counters.stolen_tasks += stolen;
    machine->stealing.interval_s = 0;
    machine->stealing.next_at = now;
    lmn_debug("steal_completed machine=%s tasks=%u of=%u", machine->name, stolen, load);
    return true;
}
