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

static void collect(struct lmn_queue *q, struct lmn_machine *on, GArray *out,
                    struct timespec now)
{
    uint32_t skip = on ? on->promised : 0;

    for (guint i = 0; i < q->segs->len && out->len < HELPED_AT_ONCE; i++) {
        const struct lmn_queue_segment *s = q->segs->pdata[i];
        const struct lmn_job *j = s->job;
        if (j->spec.urgency != LMN_PRIORITY_PRODUCTION || j->phase != LMN_JOB_ACTIVE ||
            lmn_time_before(now, j->failures.hold))
            continue;
        for (uint32_t k = s->lo; k < s->hi && out->len < HELPED_AT_ONCE; k++) {
            struct waiting w = {q, on, s->range, k};
            if (skip > 0)
                skip--;
            else
                g_array_append_val(out, w);
        }
    }
}

/* Whether the attempt may be stopped for a job of that urgency. */
static bool lesser(const struct lmn_attempt *a, const struct lmn_job_spec *s)
{
    return a->job && a->range && a->job->phase == LMN_JOB_ACTIVE && a->counted &&
           !a->stop && !a->direct && a->listed && a->job->spec.urgency < s->urgency &&
           (a->state == LMN_ATTEMPT_FETCHING || a->state == LMN_ATTEMPT_RUNNING);
}

/* Seconds for which those who wait can wait for others to save: beyond that, and what it
 * takes to tell and to start, their own expectation of a start would be missed. */
static double patience(const struct lmn_settings *cfg, const struct lmn_job_spec *s)
{
    double least = INFINITY;

    for (size_t i = 0; i < cfg->nobjectives; i++) {
        const struct lmn_objective *o = &cfg->objectives[i];
        if (o->kind == LMN_OBJECTIVE_START &&
            (!*o->class_name || !strcmp(o->class_name, s->class_name)))
            least = MIN(least, o->within_s);
    }
    return least / 2;
}

/* Processor seconds that would be lost with it; saves: it is given the time. */
static double loss(const struct lmn_attempt *a, bool saves, struct timespec now)
{
    const struct lmn_job_spec *s = &a->job->spec;
    double ran = a->state == LMN_ATTEMPT_FETCHING ? 0 : lmn_time_diff_s(now, a->since);
    double work = s->checkpoint_s <= 0 ? ran
                  : saves              ? MIN(ran, s->save_s)
                                       : MIN(ran, s->checkpoint_s / 2);
    return s->cpus * (work + RESTART_S);
}

/* The cheapest way to make room for one more task on the machine: marks the victims if
 * mark is set. Returns the loss; infinity if there is none. */
static double make_on(struct lmn_machine *m, const struct lmn_job_spec *s, double patient,
                      bool mark, struct timespec now)
{
    double cpus = m->type->cpus - m->used_cpus, gpus = m->type->gpus - m->used_gpus;
    double mem = m->type->mem - m->used_mem, sum = 0;
    guint taken[64], n = 0;

    while (cpus < s->cpus - 1e-6 || gpus < s->gpus - 1e-6 || mem < s->mem - 1e-6) {
        int best = -1;
        double least = INFINITY;
        for (guint i = 0; i < m->attempts->len; i++) {
            const struct lmn_attempt *a =
                &g_array_index(m->attempts, struct lmn_attempt, i);
            bool again = false;
            for (guint k = 0; k < n; k++)
                again = again || taken[k] == i;
            if (again || !lesser(a, s))
                continue;
            double l = loss(a, a->job->spec.save_s <= patient, now);
            if (best < 0 || l < least) {
                best = (int)i;
                least = l;
            }
        }
        if (best < 0 || n == G_N_ELEMENTS(taken))
            return INFINITY;
        const struct lmn_attempt *a =
            &g_array_index(m->attempts, struct lmn_attempt, (guint)best);
        sum += least;
        cpus += a->job->spec.cpus;
        gpus += a->job->spec.gpus;
        mem += a->job->spec.mem;
        taken[n++] = (guint)best;
    }
    for (guint k = 0; mark && k < n; k++) {
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, taken[k]);
        a->stop = true;
        a->grace = a->job->spec.save_s <= patient ? a->job->spec.save_s + 1 : 0;
        lmn_debug("task-preempt task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s",
                  a->ref, a->index, a->number, m->name);
    }
    return sum;
}

/* Tasks of the job that room is being made for in the zone. */
static uint32_t promised_in(const struct lmn_partition *p, const struct lmn_job *j,
                            const char *zone)
{
    uint32_t n = 0;
    GHashTableIter it;
    gpointer v;

    if (!j->spec.spread && !j->spec.one_zone)
        return 0;
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *m = v;
        for (guint i = 0; m->promised && i < m->queue.segs->len; i++) {
            const struct lmn_queue_segment *s = m->queue.segs->pdata[i];
            if (s->job == j && !strcmp(m->zone, zone))
                n += s->hi - s->lo;
        }
    }
    return n;
}

/* Where the task would best go, and whether others have to be stopped for it. */
static struct lmn_machine *place_for(struct lmn_core *c, struct lmn_partition *p,
                                     const struct lmn_job *j, struct timespec now)
{
    struct lmn_machine *best = NULL;
    double least = INFINITY;
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *m = v;
        /* One that does not report would keep the task waiting. */
        if (m->promised || !lmn_machine_can_run(m, j) ||
            !lmn_zone_task_capacity(j, m->zone) || lmn_machine_is_silent(c, m, now))
            continue;
        double cost = FETCH_WEIGHT * j->spec.cpus * lmn_image_fetch_s(m, j, now);
        if (cost < least)
            cost += make_on(m, &j->spec, patience(c->cfg, &j->spec), false, now);
        if (cost >= least ||
            lmn_zone_task_capacity(j, m->zone) <= promised_in(p, j, m->zone))
            continue;
        least = cost;
        best = m;
    }
    return best;
}

void lmn_preempt_for_production(struct lmn_core *c, struct lmn_partition *p,
                                struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    if (!p->mine || p->releasing)
        return;
    GArray *wait = g_array_new(FALSE, FALSE, sizeof(struct waiting));
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *m = v;
        if (m->promised && lmn_time_before(m->promise_until, now))
            m->promised = 0;
        collect(&m->queue, m, wait, now);
    }
    collect(&p->unplaced, NULL, wait, now);
    for (guint i = 0; i < wait->len; i++) {
        struct waiting *w = &g_array_index(wait, struct waiting, i);
        const struct lmn_job *j = w->range->job;
        struct lmn_machine *m =
            lmn_job_within_quota(c, p, j) ? place_for(c, p, j, now) : NULL;
        if (!m)
            continue;
        c->count.preempted +=
            make_on(m, &j->spec, patience(c->cfg, &j->spec), true, now) > 0;
        m->promised++;
        m->promise_until = lmn_time_add(now, KEEP_S);
        if (m != w->on) {
            lmn_queue_remove_task(w->queue, w->range, w->index);
            lmn_queue_add(&m->queue, w->range, w->index, w->index + 1);
        }
        lmn_machine_wake(m);
        pthread_cond_broadcast(&c->poked);
    }
    g_array_free(wait, TRUE);
}
