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

void lmn_steal_request_init(struct lmn_steal_request *t, const struct lmn_settings *cfg)
{
    memset(t, 0, sizeof *t);
    t->team_cpus = g_new0(double, cfg->nteams);
    t->team_gpus = g_new0(double, cfg->nteams);
}

void lmn_steal_request_clear(struct lmn_steal_request *t)
{
    g_free(t->team_cpus);
    g_free(t->team_gpus);
}

bool lmn_steal_request_fill(struct lmn_core *c, struct lmn_partition *p,
                            struct lmn_steal_request *t, struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    t->part = p->id;
    t->nrooms = 0;
    if (!p->mine || !p->ready || p->releasing || lmn_time_before(now, p->next_steal))
        return false;
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v) && t->nrooms < G_N_ELEMENTS(t->rooms)) {
        const struct lmn_machine *m = v;
        if (!m->hungry || m->queue.tasks || !m->type || !m->rev || m->retiring ||
            m->noticed || m->lapsed || m->is_gone || m->type->cpus - m->used_cpus < 0.01)
            continue;
        struct lmn_free_capacity *r = &t->rooms[t->nrooms++];
        g_strlcpy(r->type, m->type_name, sizeof r->type);
        g_strlcpy(r->zone, m->zone, sizeof r->zone);
        r->spot = m->spot;
        r->cpus = m->type->cpus - m->used_cpus;
        r->gpus = m->type->gpus - m->used_gpus;
        r->mem = m->type->mem - m->used_mem;
    }
    for (size_t i = 0; i < c->cfg->nteams; i++) {
        const struct lmn_team *team = &c->cfg->teams[i];
        double cpus, gpus;
        lmn_quota_share(c, p, (int)i, &cpus, &gpus);
        t->team_cpus[i] = team->cpus_max > 0 ? cpus - p->used_cpus[i] : 1e12;
        t->team_gpus[i] = team->gpus_max > 0 ? gpus - p->used_gpus[i] : 1e12;
    }
    return t->nrooms > 0;
}

/* How many tasks of the job the thief has room and quota for. */
static uint32_t thief_room(const struct lmn_core *c, const struct lmn_steal_request *t,
                           const struct lmn_job *j)
{
    const struct lmn_job_spec *s = &j->spec;
    double n = 0, quota = 1e6;

    if (j->team < 0)
        return 0;
    for (guint i = 0; i < t->nrooms; i++) {
        const struct lmn_free_capacity *r = &t->rooms[i];
        const struct lmn_machine_type *type = lmn_machine_type_by_name(c, r->type);
        double k = 1e6;
        if (!type || !lmn_job_spec_allows(s, type, r->zone, r->spot))
            continue;
        if (s->cpus > 0)
            k = MIN(k, floor(r->cpus / s->cpus + 1e-6));
        if (s->gpus > 0)
            k = MIN(k, floor(r->gpus / s->gpus + 1e-6));
        if (s->mem > 0)
            k = MIN(k, floor(r->mem / s->mem + 1e-6));
        n += MAX(k, 0);
    }
    if (s->cpus > 0)
        quota = MIN(quota, floor(t->team_cpus[j->team] / s->cpus + 1e-6));
    if (s->gpus > 0)
        quota = MIN(quota, floor(t->team_gpus[j->team] / s->gpus + 1e-6));
    return (uint32_t)MAX(MIN(n, quota), 0);
}

/* Whether the job's tasks look at each other's places: one owner has to see them all. */
static bool is_whole(const struct lmn_job *j)
{
    return j->spec.one_zone || j->spec.spread;
}

/* Whether the range is all of its job, and nothing of it has begun, ended or may be on
 * any machine: moved as one, the job still has one owner that sees all of its tasks. */
static bool is_untouched(const struct lmn_range *r)
{
    const struct lmn_job *j = r->job;
    int placed = 0;

    for (guint i = 0; j->zones && i < j->zones->len; i++)
        placed += g_array_index(j->zones, struct lmn_zone_tasks, i).tasks;
    return r->lo == 0 && r->hi == j->spec.tasks && !r->nstarted && !r->nfinished &&
           placed == 0;
}

/* Queued tasks at the end of a range: what a move can take. */
static uint32_t tail(const struct lmn_range *r)
{
    uint32_t n = r->hi - r->lo, k = n;

    if (!r->st || r->job->phase != LMN_JOB_ACTIVE || r->writing || r->move_to >= 0)
        return 0;
    /* Those that fail wherever they start are not worth a change. */
    if ((is_whole(r->job) && !is_untouched(r)) || lmn_job_is_faulty(&r->job->failures))
        return 0;
    while (k > 0 && r->st[k - 1] == LMN_TASK_QUEUED)
        k--;
    return n - k;
}

/* How many of the range's tasks should go to the thief. Of a job that can only be moved
 * as one, all, if one of them could start there: such jobs waited for ever in a partition
 * without a machine in their zone. */
static uint32_t movable(const struct lmn_core *c, const struct lmn_steal_request *t,
                        const struct lmn_range *r)
{
    uint32_t queued = tail(r), room = queued ? thief_room(c, t, r->job) : 0;

    return room && is_whole(r->job) ? queued : MIN(queued, room);
}

uint32_t lmn_victim_load(const struct lmn_core *c, const struct lmn_partition *p,
                         const struct lmn_steal_request *t)
{
    GHashTableIter it;
    gpointer v;
    uint32_t n = 0;

    if (!p->mine || !p->ready || p->releasing || p->id == t->part)
        return 0;
    g_hash_table_iter_init(&it, p->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_range *r = v;
        n += movable(c, t, r);
    }
    return n;
}

static bool held_here(const struct lmn_partition *p, const struct lmn_job *j)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (lmn_machine_can_run(v, j))
            return true;
    return false;
}

uint32_t lmn_victim_transfer(struct lmn_core *c, struct lmn_partition *p,
                             const struct lmn_steal_request *t, struct timespec now)
{
    GHashTableIter it;
    gpointer v;
    struct lmn_range *best = NULL;
    uint32_t most = 0;
    (void)now;

    if (!p->mine || !p->ready || p->releasing || p->id == t->part)
        return 0;
    g_hash_table_iter_init(&it, p->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_range *r = v;
        uint32_t n = movable(c, t, r);
        if (!n)
            continue;
        int order = best ? lmn_job_compare(r->job, best->job) : -1;
        if (order < 0 || (order == 0 && n > most)) {
            best = r;
            most = n;
        }
    }
    if (!best)
        return 0;
    /* The share of what is queued, but no more than can start there now; and all that
     * can, where no machine of the victim's own could ever take it. */
    double share = held_here(p, best->job) && !is_whole(best->job) ? c->tuning.share : 1;
    uint32_t n = MIN(most, MAX((uint32_t)ceil(tail(best) * share), 1));
    best->move_at = best->hi - n;
    best->move_to = t->part;
    best->move_unsure = false;
    best->move_rev = best->rev;
    for (uint32_t i = best->move_at; i < best->hi; i++)
        best->st[i - best->lo] = LMN_TASK_MOVING;
    lmn_queue_remove_tail(&p->unplaced, best, best->move_at);
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_queue_remove_tail(&((struct lmn_machine *)v)->queue, best, best->move_at);
    c->count.moves++;
    c->count.moved_tasks += n;
    lmn_debug("move job=%s from=%u tasks=%u partition=%d to=%d", best->job->spec.ref,
              best->move_at, n, p->id, t->part);
    return n;
}

void lmn_steal_record_result(struct lmn_core *c, struct lmn_partition *p, uint32_t got,
                             struct timespec now)
{
    if (got) {
        p->poll_s = 0;
        /* What was won has to arrive before the next look makes sense. */
        p->next_steal = lmn_time_add(now, 0.25);
        return;
    }
    p->poll_s = p->poll_s > 0 ? MIN(p->poll_s * 2, c->tuning.poll_cap_s)
                              : MAX(c->tuning.poll_floor_s, 0.1);
    p->next_steal = lmn_time_add(now, p->poll_s);
}

void lmn_range_truncate(struct lmn_core *c, struct lmn_range *r, uint32_t hi)
{
    GHashTableIter it;
    gpointer v;
    (void)c;

    lmn_queue_remove_tail(&r->part->unplaced, r, hi);
    g_hash_table_iter_init(&it, r->part->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_queue_remove_tail(&((struct lmn_machine *)v)->queue, r, hi);
    r->hi = hi;
    r->move_to = -1;
    r->move_unsure = false;
}

void lmn_range_cancel_move(struct lmn_core *c, struct lmn_range *r, struct timespec now)
{
    uint32_t at = r->move_at;

    r->move_to = -1;
    r->move_unsure = false;
    if (!r->st)
        return;
    for (uint32_t i = at; i < r->hi; i++)
        if (r->st[i - r->lo] == LMN_TASK_MOVING)
            r->st[i - r->lo] = LMN_TASK_QUEUED;
    if (r->part->ready && r->job->phase == LMN_JOB_ACTIVE)
        lmn_assign_tasks(c, r, at, r->hi, now);
}
