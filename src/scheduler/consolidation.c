/* Services end one by one, and leave the others scattered over machines that are half
 * empty and paid for whole. While nothing waits, the replicas of the emptiest machine are
 * moved onto room that others have, and the machine goes. Work with an end is left to run
 * out. */
#include "scheduler/consolidation.h"
#include "scheduler/affinity.h"
#include "scheduler/queue.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <string.h>

/* How often a machine is emptied, and how many are looked at for it. */
static const double EVERY_S = 0.5;
enum { LOOKED_AT = 4, MOST_REPLICAS = 64 };
/* A replica that has only just started is left alone. */
static const double SETTLED_S = 35;
/* Room left for what comes next, as a share of the machines' processors. */
static const double RESERVE = 0.08;

struct target {
    struct lmn_machine *m;
    double cpus, gpus, mem; /* free */
};

static bool steady(const struct lmn_core *core, const struct lmn_machine *machine,
                   struct timespec now)
{
    return machine->type && machine->record.revision && machine->lifecycle.is_accounted &&
           !machine->lifecycle.is_draining && !machine->lifecycle.has_spot_notice &&
           !machine->agent.lease_expired && !machine->lifecycle.is_terminated &&
           !machine->reservation.preemption_tasks &&
           !lmn_machine_is_silent(core, machine, now);
}

static bool holds_replica(const struct lmn_attempt *attempt)
{
    return attempt->holds_capacity && attempt->range && attempt->job &&
           attempt->job->phase == LMN_JOB_ACTIVE &&
           attempt->job->spec.kind == LMN_JOB_SERVICE;
}

/* Whether the machine's replicas may be moved now; how many there are. */
static guint movable(const struct lmn_machine *machine, struct timespec now)
{
    guint n = 0;

    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!holds_replica(attempt))
            continue;
        if (attempt->state != LMN_ATTEMPT_RUNNING || !attempt->was_reported ||
            attempt->must_stop || attempt->push_in_flight ||
            lmn_time_diff_s(now, attempt->started_at) < SETTLED_S)
            return 0;
        n++;
    }
    return n <= MOST_REPLICAS ? n : 0;
}

/* The fullest of the targets that has room for the replica, and its image. */
static struct target *target_for(GArray *targets, const struct lmn_machine *from,
                                 const struct lmn_job *job)
{
    const struct lmn_job_spec *spec = &job->spec;
    struct target *best = NULL;

    for (guint i = 0; i < targets->len; i++) {
        struct target *t = &g_array_index(targets, struct target, i);
        if (t->m == from || t->cpus < spec->cpus - 1e-6 || t->gpus < spec->gpus - 1e-6 ||
            t->mem < spec->memory_gb - 1e-6 || (best && t->cpus >= best->cpus))
            continue;
        if (!lmn_machine_can_run(t->m, job) || !lmn_machine_has_image(t->m, job) ||
            (strcmp(t->m->zone, from->zone) && !lmn_zone_task_capacity(job, t->m->zone)))
            continue;
        best = t;
    }
    return best;
}

/* Whether all replicas of the machine find room elsewhere. */
static bool can_empty(const GArray *targets, const struct lmn_machine *machine)
{
    GArray *left = g_array_sized_new(FALSE, FALSE, sizeof(struct target), targets->len);
    bool ok = true;

    g_array_append_vals(left, targets->data, targets->len);
    for (guint i = 0; ok && i < machine->attempts->len; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!holds_replica(attempt))
            continue;
        struct target *t = target_for(left, machine, attempt->job);
        ok = t != NULL;
        if (t) {
            t->cpus -= attempt->job->spec.cpus;
            t->gpus -= attempt->job->spec.gpus;
            t->mem -= attempt->job->spec.memory_gb;
        }
    }
    g_array_free(left, TRUE);
    return ok;
}

static gint emptiest_first(gconstpointer a, gconstpointer b)
{
    const struct target *x = a, *y = b;

    if (x->cpus != y->cpus)
        return x->cpus > y->cpus ? -1 : 1;
    return strcmp(x->m->name, y->m->name);
}

void lmn_consolidate_replicas(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now)
{
    GHashTableIter it;
    gpointer v;
    double free_cpus = 0, all = 0;
    bool waits = partition->scheduling.unassigned.task_count > 0;

    if (!partition->ownership.is_owned || !partition->ownership.is_ready ||
        partition->ownership.is_transferring ||
        lmn_time_before(now, partition->scheduling.next_consolidation_at) ||
        lmn_watch_cache_age_s(core, now) > LMN_MAX_CACHE_AGE_S)
        return;
    partition->scheduling.next_consolidation_at = lmn_time_add(now, EVERY_S);
    GArray *targets = g_array_new(FALSE, FALSE, sizeof(struct target));
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *machine = v;
        waits = waits || machine->queue.task_count > 0;
        if (!steady(core, machine, now))
            continue;
        struct target t = {machine, machine->type->cpus - machine->used.cpus,
                           machine->type->gpus - machine->used.gpus,
                           machine->type->memory_gb - machine->used.memory_gb};
        /* Spot machines hold other work, and go by themselves. */
        if (machine->is_spot || machine->used.cpus <= 0)
            continue;
        all += machine->type->cpus;
        free_cpus += t.cpus;
        g_array_append_val(targets, t);
    }
    g_array_sort(targets, emptiest_first);
    guint looked = 0;
    for (guint i = 0; !waits && i < targets->len && looked < LOOKED_AT; i++) {
        struct target *t = &g_array_index(targets, struct target, i);
        struct lmn_machine *machine = t->m;
        /* What it would free elsewhere it takes away here. */
        if (free_cpus - machine->type->cpus < RESERVE * all)
            break;
        if (!movable(machine, now))
            continue;
        looked++;
        if (!can_empty(targets, machine))
            continue;
        for (guint k = 0; k < machine->attempts->len; k++) {
            struct lmn_attempt *attempt =
                &g_array_index(machine->attempts, struct lmn_attempt, k);
            if (!holds_replica(attempt))
                continue;
            attempt->must_stop = true;
            attempt->grace_s = attempt->job->spec.save_s + 1;
        }
        lmn_machine_drain(core, machine, false, "its replicas have room elsewhere", now);
        lmn_machine_wake(machine);
        pthread_cond_broadcast(&core->machines_woken);
        break;
    }
    g_array_free(targets, TRUE);
}
