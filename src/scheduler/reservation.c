#include "scheduler/reservation.h"
#include "util/log.h"
#include "scheduler/queue.h"
#include "state/task_ledger.h"

#include <string.h>

/* How long room is kept for a job before another place is looked for; what is kept for
 * another partition is asked for again within 8 s (controller/rpc_server.c). */
static const double KEPT_S = 60, ASKED_S = 12;
/* Of a partition's machines, so many run empty at a time: one in twenty, and one at
 * least.
 */
enum { KEPT_OF = 20 };
/* Nothing is kept before the job has waited for so long: an aged one goes first wherever
 * it fits. Kept from 60 s on, and for tasks of any size, machines ran empty a hundred
 * times on a day with more work than room. */
static const double WAITED_S = 120;

static void let_go(struct lmn_machine *m)
{
    m->kept = NULL;
    lmn_machine_wake(m);
}

static void keep(struct lmn_quota_reservation *k, const struct lmn_job *j, double cpus,
                 double gpus, struct timespec until)
{
    *k = (struct lmn_quota_reservation){j, cpus, gpus, until};
}

void lmn_reserve_quota(struct lmn_partition *p, int team, double cpus, double gpus,
                       struct timespec now)
{
    struct lmn_quota_reservation *k = &p->keep[team];

    /* Our own that waits comes first. */
    if (!k->job || !lmn_time_before(now, k->until))
        keep(k, NULL, cpus, gpus, lmn_time_add(now, ASKED_S));
}

/* The machine that could hold the job's task and has most of the room free already. */
static struct lmn_machine *place(const struct lmn_partition *p, const struct lmn_job *j)
{
    struct lmn_machine *best = NULL;

    for (guint i = 0; i < p->list->len; i++) {
        struct lmn_machine *m = p->list->pdata[i];
        if (m->kept || m->promised || m->unheeded || !lmn_machine_can_run(m, j) ||
            m->type->cpus < j->spec.cpus || m->type->gpus < j->spec.gpus ||
            m->type->mem < j->spec.mem)
            continue;
        if (!best || m->type->cpus - m->used_cpus > best->type->cpus - best->used_cpus)
            best = m;
    }
    return best;
}

/* Moves one of the range's queued tasks to the machine's own queue, so that it is found
 * there as soon as it fits. */
static void bring(struct lmn_partition *p, const struct lmn_range *r,
                  struct lmn_machine *m)
{
    struct lmn_queue *from = &p->unplaced;
    uint32_t index = 0;
    bool found = false;

    for (guint k = 0; k <= p->list->len && !found; k++) {
        from = k ? &((struct lmn_machine *)p->list->pdata[k - 1])->queue : &p->unplaced;
        for (guint i = 0; i < from->segs->len && !found; i++) {
            const struct lmn_queue_segment *s = from->segs->pdata[i];
            found = s->range == r;
            index = s->lo;
        }
    }
    if (!found || from == &m->queue)
        return;
    struct lmn_range *range = g_hash_table_lookup(p->ranges, r->key);
    lmn_queue_remove_task(from, range, index);
    lmn_queue_add(&m->queue, range, index, index + 1);
}

/* Whether a task of the job waits in the partition. */
static bool waits_here(const struct lmn_partition *p, const struct lmn_job *j)
{
    for (guint i = 0; i < j->ranges->len; i++) {
        const struct lmn_range *r = j->ranges->pdata[i];
        if (r->part == p && r->st && r->nstarted + r->nfinished < r->hi - r->lo)
            return true;
    }
    return false;
}

/* Whether some machine could start it now, or one is kept for it. */
static bool served(const struct lmn_partition *p, const struct lmn_job *j)
{
    for (guint i = 0; i < p->list->len; i++) {
        const struct lmn_machine *m = p->list->pdata[i];
        if (m->kept == j || (!m->kept && !m->unheeded && lmn_machine_can_run(m, j) &&
                             lmn_machine_task_capacity(m, &j->spec) > 0))
            return true;
    }
    return false;
}

static void help(struct lmn_core *c, struct lmn_partition *p, const struct lmn_range *r,
                 guint *kept, struct timespec now)
{
    struct lmn_job *j = r->job;

    if (!lmn_job_within_quota(c, p, j)) {
        struct lmn_quota_reservation *k = &p->keep[j->team];
        /* What is more than all of the part has to come from others
         * (partition/quota_transfer.c). */
        if (!k->job || !lmn_time_before(now, k->until))
            keep(k, j, j->spec.cpus, j->spec.gpus, lmn_time_add(now, KEPT_S));
        return;
    }
    if (*kept == 0 || served(p, j))
        return;
    struct lmn_machine *m = place(p, j);
    if (!m)
        return;
    --*kept;
    m->kept = j;
    m->kept_until = lmn_time_add(now, KEPT_S);
    lmn_info("machine-kept machine=%s job=%s free=%.1f", m->name, j->spec.ref,
             m->type->cpus - m->used_cpus);
    bring(p, r, m);
}

void lmn_update_reservations(struct lmn_core *c, struct lmn_partition *p,
                             struct timespec now)
{
    guint kept = MAX(p->list->len / KEPT_OF, 1);
    GHashTableIter it;
    gpointer v;

    if (!p->mine)
        return;
    for (guint i = 0; i < p->list->len; i++) {
        struct lmn_machine *m = p->list->pdata[i];
        /* A job that was waiting here may have moved on, and wait elsewhere: a machine
         * was kept for it that nothing could start on. */
        if (m->kept &&
            (!m->kept->aged || !waits_here(p, m->kept) ||
             m->kept->phase != LMN_JOB_ACTIVE || !lmn_time_before(now, m->kept_until) ||
             !lmn_machine_can_run(m, m->kept)))
            let_go(m);
        kept -= m->kept && kept;
    }
    for (size_t t = 0; t < c->cfg->nteams; t++) {
        struct lmn_quota_reservation *k = &p->keep[t];
        if (k->cpus + k->gpus > 0 &&
            (!lmn_time_before(now, k->until) ||
             (k->job && (!k->job->aged || k->job->phase != LMN_JOB_ACTIVE))))
            memset(k, 0, sizeof *k);
    }
    if (!p->open || p->releasing)
        return;
    g_hash_table_iter_init(&it, p->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_range *r = v;
        if (r->job->aged && c->wall - r->job->at > WAITED_S &&
            r->job->phase == LMN_JOB_ACTIVE && r->st && r->dealt && r->job->team >= 0 &&
            !lmn_job_is_faulty(&r->job->failures) && lmn_range_may_start(r))
            help(c, p, r, &kept, now);
    }
}
