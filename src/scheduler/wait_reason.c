#include "scheduler/wait_reason.h"
#include "scheduler/fair_share.h"
#include "scheduler/affinity.h"
#include "scheduler/quota.h"
#include "replication/start_gate.h"
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

bool lmn_machine_can_run(const struct lmn_machine *machine, const struct lmn_job *job)
{
    /* One that was told, and has not spoken yet, is dealt work too, which it starts once
     * it has: dealt to the first few that speak, everything would stand in their queues.
     */
    bool known = machine->lifecycle.is_accounted ||
                 (machine->partition->ownership.is_warm && machine->agent.incarnation);

    return machine->type && known && machine->record.revision &&
           !machine->lifecycle.is_draining && !machine->lifecycle.has_spot_notice &&
           !machine->agent.lease_expired && !machine->lifecycle.is_terminated &&
           lmn_job_spec_allows(&job->spec, machine->type, machine->zone,
                               machine->is_spot);
}

uint32_t lmn_machine_task_capacity(const struct lmn_machine *machine,
                                   const struct lmn_job_spec *spec)
{
    const double slack = 1e-6;
    double n = 1e6;

    if (spec->cpus > 0)
        n = MIN(n,
                floor((machine->type->cpus - machine->used.cpus) / spec->cpus + slack));
    if (spec->gpus > 0)
        n = MIN(n,
                floor((machine->type->gpus - machine->used.gpus) / spec->gpus + slack));
    if (spec->memory_gb > 0)
        n = MIN(n, floor((machine->type->memory_gb - machine->used.memory_gb) /
                             spec->memory_gb +
                         slack));
    return n > 0 ? (uint32_t)n : 0;
}

bool lmn_job_within_quota(const struct lmn_core *core,
                          const struct lmn_partition *partition,
                          const struct lmn_job *job)
{
    if (job->team < 0)
        return false;
    const struct lmn_team *team = &core->settings->teams[job->team];
    double cpus, gpus;

    lmn_quota_share(core, partition, job->team, &cpus, &gpus);
    if (partition->quota.reservations[job->team].job != job) {
        cpus -= partition->quota.reservations[job->team].cpus;
        gpus -= partition->quota.reservations[job->team].gpus;
    }

    /* A machine that is not accounted for may be full of this team's tasks. As counted at
     * the last check: since then there are only fewer of them. */
    if (!partition->ownership.is_ready && !partition->ownership.is_warm &&
        (team->cpus_max > 0 || team->gpus_max > 0)) {
        if (partition->ownership.has_unaccounted_unknown)
            return false;
        cpus -= partition->ownership.unaccounted_cpus;
        gpus -= partition->ownership.unaccounted_gpus;
    }

    if (team->cpus_max > 0 &&
        partition->quota.used_cpus[job->team] + job->spec.cpus > cpus + 1e-6)
        return false;
    return !(team->gpus_max > 0 &&
             partition->quota.used_gpus[job->team] + job->spec.gpus > gpus + 1e-6);
}

/* Long idle work that found gaps on ordinary machines kept them rented for minutes after
 * everything else was done, and from work that may run nowhere else. */
static bool too_dear(const struct lmn_core *core, const struct lmn_machine *machine,
                     const struct lmn_job *job)
{
    return job->is_spot_only && !machine->is_spot && !job->is_starving &&
           lmn_is_spot_only(core->settings, &job->spec, machine->type);
}

enum lmn_wait_reason lmn_machine_wait_reason(const struct lmn_machine *machine,
                                             struct timespec now)
{
    if (machine->partition->ownership.is_transferring)
        return LMN_WAIT_TRANSFER;
    if (!machine->lifecycle.is_accounted)
        return LMN_WAIT_UNACCOUNTED;
    if (!machine->record.revision)
        return LMN_WAIT_UNRECORDED;
    if (machine->lifecycle.is_draining)
        return LMN_WAIT_DRAINING;
    if (machine->lifecycle.has_spot_notice)
        return LMN_WAIT_SPOT_NOTICE;
    if (!machine->type)
        return LMN_WAIT_UNKNOWN_TYPE;
    /* Nobody acknowledges starts now: they would only be taken back. */
    if (lmn_replication_is_stuck(machine->partition, now))
        return LMN_WAIT_REPLICATION;
    return lmn_time_before(now, machine->failures.quarantined_until)
               ? LMN_WAIT_QUARANTINED
               : LMN_WAIT_NONE;
}

enum lmn_wait_reason lmn_job_wait_reason(const struct lmn_core *core,
                                         const struct lmn_machine *machine,
                                         const struct lmn_job *job, struct timespec now)
{
    if (!lmn_job_may_run(core, job))
        return LMN_WAIT_JOB_OVER;
    if (!lmn_machine_task_capacity(machine, &job->spec))
        return LMN_WAIT_CAPACITY;
    if (machine->reservation.preemption_tasks &&
        job->spec.priority != LMN_PRIORITY_PRODUCTION)
        return LMN_WAIT_PREEMPTION_RESERVED;
    if (machine->reservation.job && machine->reservation.job != job)
        return LMN_WAIT_BACKFILL_RESERVED;
    if (too_dear(core, machine, job))
        return LMN_WAIT_SPOT_ONLY;
    if (lmn_time_before(now, job->failures.backoff_until))
        return LMN_WAIT_JOB_BACKOFF;
    if (!lmn_machine_can_run(machine, job))
        return LMN_WAIT_NOT_ALLOWED;
    if (!lmn_job_within_quota(core, machine->partition, job))
        return LMN_WAIT_QUOTA;
    return lmn_zone_task_capacity(job, machine->zone) ? LMN_WAIT_NONE : LMN_WAIT_ZONE;
}

enum lmn_wait_reason lmn_wait_reason(const struct lmn_core *core,
                                     const struct lmn_machine *machine,
                                     const struct lmn_range *range, struct timespec now)
{
    if (range->partition != machine->partition)
        return LMN_WAIT_OTHER_PARTITION;
    if (!range->is_assigned || !lmn_range_may_start(range))
        return LMN_WAIT_NOT_OPEN;
    enum lmn_wait_reason reason = lmn_machine_wait_reason(machine, now);
    return reason != LMN_WAIT_NONE ? reason
                                   : lmn_job_wait_reason(core, machine, range->job, now);
}
