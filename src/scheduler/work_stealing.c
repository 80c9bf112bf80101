/* Steals between partitions. A partition with idle room asks a fresh random sample of the
 * others how many queued tasks would fit there, and pulls from the busiest. The victim
 * moves the end of a range by one conditional write: never a task that was started, under
 * whatever term. */
#include "scheduler/work_stealing.h"
#include "util/log.h"
#include "scheduler/job_order.h"
#include "scheduler/queue.h"
#include "scheduler/quota.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <math.h>
#include <string.h>

void lmn_steal_request_init(struct lmn_steal_request *request,
                            const struct lmn_settings *cfg)
{
    memset(request, 0, sizeof *request);
    request->team_cpus = g_new0(double, cfg->nteams);
    request->team_gpus = g_new0(double, cfg->nteams);
}

void lmn_steal_request_clear(struct lmn_steal_request *request)
{
    g_free(request->team_cpus);
    g_free(request->team_gpus);
}

bool lmn_steal_request_fill(struct lmn_core *core, struct lmn_partition *partition,
                            struct lmn_steal_request *request, struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    request->part = partition->id;
    request->nrooms = 0;
    if (!partition->mine || !partition->ready || partition->releasing ||
        lmn_time_before(now, partition->next_steal))
        return false;
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v) &&
           request->nrooms < G_N_ELEMENTS(request->rooms)) {
        const struct lmn_machine *machine = v;
        if (!machine->hungry || machine->queue.tasks || !machine->type || !machine->rev ||
            machine->retiring || machine->noticed || machine->lapsed ||
            machine->is_gone || machine->type->cpus - machine->used_cpus < 0.01)
            continue;
        struct lmn_free_capacity *capacity = &request->rooms[request->nrooms++];
        g_strlcpy(capacity->type, machine->type_name, sizeof capacity->type);
        g_strlcpy(capacity->zone, machine->zone, sizeof capacity->zone);
        capacity->spot = machine->spot;
        capacity->cpus = machine->type->cpus - machine->used_cpus;
        capacity->gpus = machine->type->gpus - machine->used_gpus;
        capacity->mem = machine->type->mem - machine->used_mem;
    }
    for (size_t i = 0; i < core->cfg->nteams; i++) {
        const struct lmn_team *team = &core->cfg->teams[i];
        double cpus, gpus;
        lmn_quota_share(core, partition, (int)i, &cpus, &gpus);
        request->team_cpus[i] =
            team->cpus_max > 0 ? cpus - partition->used_cpus[i] : 1e12;
        request->team_gpus[i] =
            team->gpus_max > 0 ? gpus - partition->used_gpus[i] : 1e12;
    }
    return request->nrooms > 0;
}

/* How many tasks of the job the thief has room and quota for. */
static uint32_t thief_room(const struct lmn_core *core,
                           const struct lmn_steal_request *request,
                           const struct lmn_job *job)
{
    const struct lmn_job_spec *spec = &job->spec;
    double n = 0, quota = 1e6;

    if (job->team < 0)
        return 0;
    for (guint i = 0; i < request->nrooms; i++) {
        const struct lmn_free_capacity *capacity = &request->rooms[i];
        const struct lmn_machine_type *type =
            lmn_machine_type_by_name(core, capacity->type);
        double k = 1e6;
        if (!type || !lmn_job_spec_allows(spec, type, capacity->zone, capacity->spot))
            continue;
        if (spec->cpus > 0)
            k = MIN(k, floor(capacity->cpus / spec->cpus + 1e-6));
        if (spec->gpus > 0)
            k = MIN(k, floor(capacity->gpus / spec->gpus + 1e-6));
        if (spec->mem > 0)
            k = MIN(k, floor(capacity->mem / spec->mem + 1e-6));
        n += MAX(k, 0);
    }
    if (spec->cpus > 0)
        quota = MIN(quota, floor(request->team_cpus[job->team] / spec->cpus + 1e-6));
    if (spec->gpus > 0)
        quota = MIN(quota, floor(request->team_gpus[job->team] / spec->gpus + 1e-6));
    return (uint32_t)MAX(MIN(n, quota), 0);
}

/* Whether the job's tasks look at each other's places: one owner has to see them all. */
static bool is_whole(const struct lmn_job *job)
{
    return job->spec.one_zone || job->spec.spread;
}

/* Whether the range is all of its job, and nothing of it has begun, ended or may be on
 * any machine: moved as one, the job still has one owner that sees all of its tasks. */
static bool is_untouched(const struct lmn_range *range)
{
    const struct lmn_job *job = range->job;
    int placed = 0;

    for (guint i = 0; job->zones && i < job->zones->len; i++)
        placed += g_array_index(job->zones, struct lmn_zone_tasks, i).tasks;
    return range->lo == 0 && range->hi == job->spec.tasks && !range->nstarted &&
           !range->nfinished && placed == 0;
}

/* Queued tasks at the end of a range: what a move can take. */
static uint32_t tail(const struct lmn_range *range)
{
    uint32_t n = range->hi - range->lo, k = n;

    if (!range->st || range->job->phase != LMN_JOB_ACTIVE || range->writing ||
        range->move_to >= 0)
        return 0;
    /* Those that fail wherever they start are not worth a change. */
    if ((is_whole(range->job) && !is_untouched(range)) ||
        lmn_job_is_faulty(&range->job->failures))
        return 0;
    while (k > 0 && range->st[k - 1] == LMN_TASK_QUEUED)
        k--;
    return n - k;
}

/* How many of the range's tasks should go to the thief. Of a job that can only be moved
 * as one, all, if one of them could start there: such jobs waited for ever in a partition
 * without a machine in their zone. */
static uint32_t movable(const struct lmn_core *core,
                        const struct lmn_steal_request *request,
                        const struct lmn_range *range)
{
    uint32_t queued = tail(range),
             room = queued ? thief_room(core, request, range->job) : 0;

    return room && is_whole(range->job) ? queued : MIN(queued, room);
}

uint32_t lmn_victim_load(const struct lmn_core *core,
                         const struct lmn_partition *partition,
                         const struct lmn_steal_request *request)
{
    GHashTableIter it;
    gpointer v;
    uint32_t n = 0;

    if (!partition->mine || !partition->ready || partition->releasing ||
        partition->id == request->part)
        return 0;
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_range *range = v;
        n += movable(core, request, range);
    }
    return n;
}

static bool held_here(const struct lmn_partition *partition, const struct lmn_job *job)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (lmn_machine_can_run(v, job))
            return true;
    return false;
}

uint32_t lmn_victim_transfer(struct lmn_core *core, struct lmn_partition *partition,
                             const struct lmn_steal_request *request, struct timespec now)
{
    GHashTableIter it;
    gpointer v;
    struct lmn_range *best = NULL;
    uint32_t most = 0;
    (void)now;

    if (!partition->mine || !partition->ready || partition->releasing ||
        partition->id == request->part)
        return 0;
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_range *range = v;
        uint32_t n = movable(core, request, range);
        if (!n)
            continue;
        int order = best ? lmn_job_compare(range->job, best->job) : -1;
        if (order < 0 || (order == 0 && n > most)) {
            best = range;
            most = n;
        }
    }
    if (!best)
        return 0;
    /* The share of what is queued, but no more than can start there now; and all that
     * can, where no machine of the victim's own could ever take it. */
    double share =
        held_here(partition, best->job) && !is_whole(best->job) ? core->tuning.share : 1;
    uint32_t n = MIN(most, MAX((uint32_t)ceil(tail(best) * share), 1));
    best->move_at = best->hi - n;
    best->move_to = request->part;
    best->move_unsure = false;
    best->move_rev = best->rev;
    for (uint32_t i = best->move_at; i < best->hi; i++)
        best->st[i - best->lo] = LMN_TASK_MOVING;
    lmn_queue_remove_tail(&partition->unplaced, best, best->move_at);
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_queue_remove_tail(&((struct lmn_machine *)v)->queue, best, best->move_at);
    core->count.moves++;
    core->count.moved_tasks += n;
    lmn_debug("move job=%s from=%u tasks=%u partition=%d to=%d", best->job->spec.ref,
              best->move_at, n, partition->id, request->part);
    return n;
}

void lmn_steal_record_result(struct lmn_core *core, struct lmn_partition *partition,
                             uint32_t got, struct timespec now)
{
    if (got) {
        partition->poll_s = 0;
        /* What was won has to arrive before the next look makes sense. */
        partition->next_steal = lmn_time_add(now, 0.25);
        return;
    }
    partition->poll_s = partition->poll_s > 0
                            ? MIN(partition->poll_s * 2, core->tuning.poll_cap_s)
                            : MAX(core->tuning.poll_floor_s, 0.1);
    partition->next_steal = lmn_time_add(now, partition->poll_s);
}

void lmn_range_truncate(struct lmn_core *core, struct lmn_range *range, uint32_t hi)
{
    GHashTableIter it;
    gpointer v;
    (void)core;

    lmn_queue_remove_tail(&range->part->unplaced, range, hi);
    g_hash_table_iter_init(&it, range->part->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_queue_remove_tail(&((struct lmn_machine *)v)->queue, range, hi);
    range->hi = hi;
    range->move_to = -1;
    range->move_unsure = false;
}

void lmn_range_cancel_move(struct lmn_core *core, struct lmn_range *range,
                           struct timespec now)
{
    uint32_t at = range->move_at;

    range->move_to = -1;
    range->move_unsure = false;
    if (!range->st)
        return;
    for (uint32_t i = at; i < range->hi; i++)
        if (range->st[i - range->lo] == LMN_TASK_MOVING)
            range->st[i - range->lo] = LMN_TASK_QUEUED;
    if (range->part->ready && range->job->phase == LMN_JOB_ACTIVE)
        lmn_assign_tasks(core, range, at, range->hi, now);
}
