#include "scheduler/wait_reason.h"
#include "scheduler/fair_share.h"
#include "scheduler/affinity.h"
#include "scheduler/quota.h"
#include "replication/stream.h"
#include "state/core.h"
#include "state/task_ledger.h"

#include <math.h>

static const char *const names[LMN_WAIT_REASONS] = {
    [LMN_WAIT_NONE] = "nothing is in the way",
    [LMN_WAIT_TRANSFER] = "the partition is being handed over",
    [LMN_WAIT_UNACCOUNTED] = "the machine has not reported to this owner",
    [LMN_WAIT_UNRECORDED] = "the machine is not recorded",
    [LMN_WAIT_DRAINING] = "the machine is to be returned",
    [LMN_WAIT_SPOT_NOTICE] = "the cloud takes the machine back",
    [LMN_WAIT_UNKNOWN_TYPE] = "the machine's type is not known",
    [LMN_WAIT_REPLICATION] = "the standby does not acknowledge starts",
    [LMN_WAIT_QUARANTINED] = "the machine pauses after failures",
    [LMN_WAIT_JOB_OVER] = "the job is over",
    [LMN_WAIT_CAPACITY] = "too little room",
    [LMN_WAIT_PREEMPTION_RESERVED] = "room is being made for more urgent work",
    [LMN_WAIT_BACKFILL_RESERVED] = "the machine is kept for another job",
    [LMN_WAIT_SPOT_ONLY] = "left to cheap machines",
    [LMN_WAIT_JOB_BACKOFF] = "the job pauses after failures",
    [LMN_WAIT_NOT_ALLOWED] = "the machine can't take it",
    [LMN_WAIT_QUOTA] = "the team's limit",
    [LMN_WAIT_ZONE] = "the zones of the job's other tasks",
    [LMN_WAIT_OTHER_PARTITION] = "in another partition",
    [LMN_WAIT_NOT_OPEN] = "inherited, and not all machines are accounted for",
};

const char *lmn_wait_reason_name(enum lmn_wait_reason reason)
{
    return names[reason];
}

bool lmn_machine_can_run(const struct lmn_machine *m, const struct lmn_job *j)
{
    /* One that was told, and has not spoken yet, is dealt work too, which it starts once
     * it has: dealt to the first few that speak, everything would stand in their queues.
     */
    bool known = m->accounted || (m->part->warm && m->session);

    return m->type && known && m->rev && !m->retiring && !m->noticed && !m->lapsed &&
           !m->is_gone && lmn_job_spec_allows(&j->spec, m->type, m->zone, m->spot);
}

uint32_t lmn_machine_task_capacity(const struct lmn_machine *m,
                                   const struct lmn_job_spec *s)
{
    const double slack = 1e-6;
    double n = 1e6;

    if (s->cpus > 0)
        n = MIN(n, floor((m->type->cpus - m->used_cpus) / s->cpus + slack));
    if (s->gpus > 0)
        n = MIN(n, floor((m->type->gpus - m->used_gpus) / s->gpus + slack));
    if (s->mem > 0)
        n = MIN(n, floor((m->type->mem - m->used_mem) / s->mem + slack));
    return n > 0 ? (uint32_t)n : 0;
}

bool lmn_job_within_quota(const struct lmn_core *c, const struct lmn_partition *p,
                          const struct lmn_job *j)
{
    if (j->team < 0)
        return false;
    const struct lmn_team *t = &c->cfg->teams[j->team];
    double cpus, gpus;

    lmn_quota_share(c, p, j->team, &cpus, &gpus);
    if (p->keep[j->team].job != j) {
        cpus -= p->keep[j->team].cpus;
        gpus -= p->keep[j->team].gpus;
    }

    /* A machine that is not accounted for may be full of this team's tasks. As counted at
     * the last check: since then there are only fewer of them. */
    if (!p->ready && !p->warm && (t->cpus_max > 0 || t->gpus_max > 0)) {
        if (p->unheard_unknown)
            return false;
        cpus -= p->unheard_cpus;
        gpus -= p->unheard_gpus;
    }

    if (t->cpus_max > 0 && p->used_cpus[j->team] + j->spec.cpus > cpus + 1e-6)
        return false;
    return !(t->gpus_max > 0 && p->used_gpus[j->team] + j->spec.gpus > gpus + 1e-6);
}

/* Long idle work that found gaps on ordinary machines kept them rented for minutes after
 * everything else was done, and from work that may run nowhere else. */
static bool too_dear(const struct lmn_core *c, const struct lmn_machine *m,
                     const struct lmn_job *j)
{
    return j->cheap && !m->spot && !j->aged &&
           lmn_is_spot_only(c->cfg, &j->spec, m->type);
}

enum lmn_wait_reason lmn_machine_wait_reason(const struct lmn_machine *m,
                                             struct timespec now)
{
    if (m->part->releasing)
        return LMN_WAIT_TRANSFER;
    if (!m->accounted)
        return LMN_WAIT_UNACCOUNTED;
    if (!m->rev)
        return LMN_WAIT_UNRECORDED;
    if (m->retiring)
        return LMN_WAIT_DRAINING;
    if (m->noticed)
        return LMN_WAIT_SPOT_NOTICE;
    if (!m->type)
        return LMN_WAIT_UNKNOWN_TYPE;
    /* Nobody acknowledges starts now: they would only be taken back. */
    if (lmn_replication_is_stuck(m->part, now))
        return LMN_WAIT_REPLICATION;
    return lmn_time_before(now, m->hold) ? LMN_WAIT_QUARANTINED : LMN_WAIT_NONE;
}

enum lmn_wait_reason lmn_job_wait_reason(const struct lmn_core *c,
                                         const struct lmn_machine *m,
                                         const struct lmn_job *j, struct timespec now)
{
    if (!lmn_job_may_run(c, j))
        return LMN_WAIT_JOB_OVER;
    if (!lmn_machine_task_capacity(m, &j->spec))
        return LMN_WAIT_CAPACITY;
    if (m->promised && j->spec.urgency != LMN_PRIORITY_PRODUCTION)
        return LMN_WAIT_PREEMPTION_RESERVED;
    if (m->kept && m->kept != j)
        return LMN_WAIT_BACKFILL_RESERVED;
    if (too_dear(c, m, j))
        return LMN_WAIT_SPOT_ONLY;
    if (lmn_time_before(now, j->failures.hold))
        return LMN_WAIT_JOB_BACKOFF;
    if (!lmn_machine_can_run(m, j))
        return LMN_WAIT_NOT_ALLOWED;
    if (!lmn_job_within_quota(c, m->part, j))
        return LMN_WAIT_QUOTA;
    return lmn_zone_task_capacity(j, m->zone) ? LMN_WAIT_NONE : LMN_WAIT_ZONE;
}

enum lmn_wait_reason lmn_wait_reason(const struct lmn_core *c,
                                     const struct lmn_machine *m,
                                     const struct lmn_range *r, struct timespec now)
{
    if (r->part != m->part)
        return LMN_WAIT_OTHER_PARTITION;
    if (!r->dealt || !lmn_range_may_start(r))
        return LMN_WAIT_NOT_OPEN;
    enum lmn_wait_reason reason = lmn_machine_wait_reason(m, now);
    return reason != LMN_WAIT_NONE ? reason : lmn_job_wait_reason(c, m, r->job, now);
}
