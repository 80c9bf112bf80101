/* Room is made for tasks of production that wait: lesser tasks are stopped for them, as
 * the protocol's "Preemption" allows, and no further. A machine on which room is being
 * made starts nothing less urgent until then; otherwise small tasks would take each piece
 * as it becomes free. */
#include "scheduler/preemption.h"
#include "util/log.h"
#include "scheduler/affinity.h"
#include "scheduler/queue.h"
#include "state/task_ledger.h"

#include <math.h>
#include <string.h>

/* How many tasks are helped at a time, and how long a machine's room is kept for them. */
enum { HELPED_AT_ONCE = 16 };
static const double KEEP_S = 8;
/* What is lost by stopping a task, beyond its work: it has to be started again, as if so
 * much of its work were lost. */
static const double RESTART_S = 5;
/* What a second of fetching an image counts against a second of work lost. */
static const double FETCH_WEIGHT = 4;

struct waiting {
    struct lmn_queue *queue;
    struct lmn_machine *on; /* NULL: unplaced */
    struct lmn_range *range;
    uint32_t index;
};

static void collect(struct lmn_queue *queue, struct lmn_machine *machine, GArray *out,
                    struct timespec now)
{
    uint32_t skip = machine ? machine->reservation.preemption_tasks : 0;

    for (guint i = 0; i < queue->segments->len && out->len < HELPED_AT_ONCE; i++) {
        const struct lmn_queue_segment *segment = queue->segments->pdata[i];
        const struct lmn_job *job = segment->job;
        if (job->spec.priority != LMN_PRIORITY_PRODUCTION ||
            job->phase != LMN_JOB_ACTIVE ||
            lmn_time_before(now, job->failures.backoff_until))
            continue;
        for (uint32_t k = segment->first; k < segment->end && out->len < HELPED_AT_ONCE;
             k++) {
            struct waiting w = {queue, machine, segment->range, k};
            if (skip > 0)
                skip--;
            else
                g_array_append_val(out, w);
        }
    }
}

/* Whether the attempt may be stopped for a job of that urgency. */
static bool lesser(const struct lmn_attempt *attempt, const struct lmn_job_spec *spec)
{
    return attempt->job && attempt->range && attempt->job->phase == LMN_JOB_ACTIVE &&
           attempt->holds_capacity && !attempt->must_stop && !attempt->push_in_flight &&
           attempt->was_reported && attempt->job->spec.priority < spec->priority &&
           (attempt->state == LMN_ATTEMPT_FETCHING ||
            attempt->state == LMN_ATTEMPT_RUNNING);
}

/* Seconds for which those who wait can wait for others to save: beyond that, and what it
 * takes to tell and to start, their own expectation of a start would be missed. */
static double patience(const struct lmn_settings *settings,
                       const struct lmn_job_spec *spec)
{
    double least = INFINITY;

    for (size_t i = 0; i < settings->objective_count; i++) {
        const struct lmn_objective *objective = &settings->objectives[i];
        if (objective->kind == LMN_OBJECTIVE_START &&
            (!*objective->class_name || !strcmp(objective->class_name, spec->class_name)))
            least = MIN(least, objective->within_s);
    }
    return least / 2;
}

/* Processor seconds that would be lost with it; saves: it is given the time. */
static double loss(const struct lmn_attempt *attempt, bool saves, struct timespec now)
{
    const struct lmn_job_spec *spec = &attempt->job->spec;
    double ran = attempt->state == LMN_ATTEMPT_FETCHING
                     ? 0
                     : lmn_time_diff_s(now, attempt->started_at);
    double work = spec->checkpoint_s <= 0 ? ran
                  : saves                 ? MIN(ran, spec->save_s)
                                          : MIN(ran, spec->checkpoint_s / 2);
    return spec->cpus * (work + RESTART_S);
}

/* The cheapest way to make room for one more task on the machine: marks the victims if
 * mark is set. Returns the loss; infinity if there is none. */
static double make_on(struct lmn_machine *machine, const struct lmn_job_spec *spec,
                      double patient, bool mark, struct timespec now)
{
    double cpus = machine->type->cpus - machine->used.cpus,
           gpus = machine->type->gpus - machine->used.gpus;
    double mem = machine->type->memory_gb - machine->used.memory_gb, sum = 0;
    guint taken[64], n = 0;

    while (cpus < spec->cpus - 1e-6 || gpus < spec->gpus - 1e-6 ||
           mem < spec->memory_gb - 1e-6) {
        int best = -1;
        double least = INFINITY;
        for (guint i = 0; i < machine->attempts->len; i++) {
            const struct lmn_attempt *attempt =
                &g_array_index(machine->attempts, struct lmn_attempt, i);
            bool again = false;
            for (guint k = 0; k < n; k++)
                again = again || taken[k] == i;
            if (again || !lesser(attempt, spec))
                continue;
            double l = loss(attempt, attempt->job->spec.save_s <= patient, now);
            if (best < 0 || l < least) {
                best = (int)i;
                least = l;
            }
        }
        if (best < 0 || n == G_N_ELEMENTS(taken))
            return INFINITY;
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, (guint)best);
        sum += least;
        cpus += attempt->job->spec.cpus;
        gpus += attempt->job->spec.gpus;
        mem += attempt->job->spec.memory_gb;
        taken[n++] = (guint)best;
    }
    for (guint k = 0; mark && k < n; k++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, taken[k]);
        attempt->must_stop = true;
        attempt->grace_s =
            attempt->job->spec.save_s <= patient ? attempt->job->spec.save_s + 1 : 0;
        lmn_debug("task_preempted task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s",
                  attempt->job_id, attempt->index, attempt->number, machine->name);
    }
    return sum;
}

/* Tasks of the job that room is being made for in the zone. */
static uint32_t promised_in(const struct lmn_partition *partition,
                            const struct lmn_job *job, const char *zone)
{
    uint32_t n = 0;
    GHashTableIter it;
    gpointer v;

    if (!job->spec.spreads_over_zones && !job->spec.requires_one_zone)
        return 0;
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *machine = v;
        for (guint i = 0;
             machine->reservation.preemption_tasks && i < machine->queue.segments->len;
             i++) {
            const struct lmn_queue_segment *segment = machine->queue.segments->pdata[i];
            if (segment->job == job && !strcmp(machine->zone, zone))
                n += segment->end - segment->first;
        }
    }
    return n;
}

/* Where the task would best go, and whether others have to be stopped for it. */
static struct lmn_machine *place_for(struct lmn_core *core,
                                     struct lmn_partition *partition,
                                     const struct lmn_job *job, struct timespec now)
{
    struct lmn_machine *best = NULL;
    double least = INFINITY;
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *machine = v;
        /* One that does not report would keep the task waiting. */
        if (machine->reservation.preemption_tasks || !lmn_machine_can_run(machine, job) ||
            !lmn_zone_task_capacity(job, machine->zone) ||
            lmn_machine_is_silent(core, machine, now))
            continue;
        double cost =
            FETCH_WEIGHT * job->spec.cpus * lmn_image_fetch_s(machine, job, now);
        if (cost < least)
            cost += make_on(machine, &job->spec, patience(core->settings, &job->spec),
                            false, now);
        if (cost >= least || lmn_zone_task_capacity(job, machine->zone) <=
                                 promised_in(partition, job, machine->zone))
            continue;
        least = cost;
        best = machine;
    }
    return best;
}

void lmn_preempt_for_production(struct lmn_core *core, struct lmn_partition *partition,
                                struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    if (!partition->ownership.is_owned || partition->ownership.is_transferring)
        return;
    GArray *wait = g_array_new(FALSE, FALSE, sizeof(struct waiting));
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *machine = v;
        if (machine->reservation.preemption_tasks &&
            lmn_time_before(machine->reservation.preemption_until, now))
            machine->reservation.preemption_tasks = 0;
        collect(&machine->queue, machine, wait, now);
    }
    collect(&partition->scheduling.unassigned, NULL, wait, now);
    for (guint i = 0; i < wait->len; i++) {
        struct waiting *w = &g_array_index(wait, struct waiting, i);
        const struct lmn_job *job = w->range->job;
        struct lmn_machine *machine = lmn_job_within_quota(core, partition, job)
                                          ? place_for(core, partition, job, now)
                                          : NULL;
        if (!machine)
            continue;
        core->counters.preempted +=
            make_on(machine, &job->spec, patience(core->settings, &job->spec), true,
                    now) > 0;
        machine->reservation.preemption_tasks++;
        machine->reservation.preemption_until = lmn_time_add(now, KEEP_S);
        if (machine != w->on) {
            lmn_queue_remove_task(w->queue, w->range, w->index);
            lmn_queue_add(&machine->queue, w->range, w->index, w->index + 1);
        }
        lmn_machine_wake(machine);
        pthread_cond_broadcast(&core->machines_woken);
    }
    g_array_free(wait, TRUE);
}
