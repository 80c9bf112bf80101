/** @file
 * The predicates for starting a task; see wait_reason.h. The core's lock is held. */
#include "scheduler/wait_reason.h"
#include "scheduler/fair_share.h"
#include "scheduler/affinity.h"
#include "scheduler/quota.h"
#include "replication/start_gate.h"
#include "scheduler/resources.h"
#include "state/core.h"
#include "state/task_ledger.h"

/** Texts of the reasons. */
static const char *const names[LMN_WAIT_REASON_COUNT] = {
    [LMN_WAIT_NONE] = "nothing is in the way",
    [LMN_WAIT_TRANSFER] = "the partition is being handed over",
    [LMN_WAIT_UNACCOUNTED] = "the machine has not reported to this owner",
    [LMN_WAIT_UNRECORDED] = "the machine is not recorded",
    [LMN_WAIT_DRAINING] = "the machine is to be returned",
    [LMN_WAIT_SPOT_NOTICE] = "the cloud takes the machine back",
    [LMN_WAIT_UNKNOWN_TYPE] = "the machine's type is not known",
    [LMN_WAIT_REPLICATION] = "the standby does not acknowledge starts",
    [LMN_WAIT_QUARANTINED] = "the machine pauses after failures",
    [LMN_WAIT_JOB_ENDED] = "the job is over",
    [LMN_WAIT_CAPACITY] = "too little room",
    [LMN_WAIT_PREEMPTION_RESERVED] = "room is being made for more urgent work",
    [LMN_WAIT_BACKFILL_RESERVED] = "the machine is kept for another job",
    [LMN_WAIT_SPOT_ONLY] = "left to cheap machines",
    [LMN_WAIT_JOB_BACKOFF] = "the job pauses after failures",
    [LMN_WAIT_NOT_ELIGIBLE] = "the machine can't take it",
    [LMN_WAIT_QUOTA] = "the team's limit",
    [LMN_WAIT_ZONE_AFFINITY] = "the zones of the job's other tasks",
    [LMN_WAIT_OTHER_PARTITION] = "in another partition",
    [LMN_WAIT_UNRECONCILED] = "inherited, and not all machines are accounted for",
};

const char *lmn_wait_reason_text(enum lmn_wait_reason reason)
{
    return names[reason];
}

bool lmn_machine_can_run(const struct lmn_machine *machine, const struct lmn_job *job)
{
    /* A machine that is known by its replica, and has sent no heartbeat yet, is assigned
     * work too, which it starts once it has: if work were assigned only to the first few
     * machines that send one, everything would stand in their queues. */
    bool is_known = machine->lifecycle.is_accounted ||
                    (machine->partition->ownership.is_warm && machine->agent.incarnation);

    return machine->type && is_known && machine->record.revision &&
           !machine->lifecycle.is_draining && !machine->lifecycle.has_spot_notice &&
           !machine->agent.lease_expired && !machine->lifecycle.is_terminated &&
           lmn_job_spec_allows(&job->spec, machine->type, machine->zone,
                               machine->is_spot);
}

uint32_t lmn_machine_task_capacity(const struct lmn_machine *machine,
                                   const struct lmn_job_spec *spec)
{
    struct lmn_resources available = lmn_machine_free_resources(machine);
    double count = lmn_resources_task_count(&available, spec);

    return count > 0 ? (uint32_t)count : 0;
}

bool lmn_job_within_quota(const struct lmn_core *core,
                          const struct lmn_partition *partition,
                          const struct lmn_job *job)
{
    if (job->team < 0)
        return false;
    const struct lmn_team *team = &core->settings->teams[job->team];
    const struct lmn_quota_reservation *reservation =
        &partition->quota.reservations[job->team];
    double cpus, gpus;

    lmn_quota_share(core, partition, job->team, &cpus, &gpus);
    if (reservation->job != job) {
        cpus -= reservation->cpus;
        gpus -= reservation->gpus;
    }
    /* A machine that is not accounted for may be full of this team's tasks. What may be
     * there is as counted at the last check: since then it can only have become less. */
    if (!partition->ownership.is_ready && !partition->ownership.is_warm &&
        lmn_team_has_limit(team)) {
        if (partition->ownership.has_unaccounted_unknown)
            return false;
        cpus -= partition->ownership.unaccounted_cpus;
        gpus -= partition->ownership.unaccounted_gpus;
    }
    if (team->cpus_max > 0 && partition->quota.used_cpus[job->team] + job->spec.cpus >
                                  cpus + LMN_RESOURCE_EPSILON)
        return false;
    return !(team->gpus_max > 0 &&
             partition->quota.used_gpus[job->team] + job->spec.gpus >
                 gpus + LMN_RESOURCE_EPSILON);
}

/** Whether the machine is an ordinary one that the job, which is left to spot instances,
 * should keep off. Long idle tasks in gaps on ordinary machines would keep those rented
 * for minutes after everything else is done, and take them from work that may run nowhere
 * else. */
static bool is_left_to_spot(const struct lmn_core *core,
                            const struct lmn_machine *machine, const struct lmn_job *job)
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
    /* Starts that nobody acknowledges would only be taken back. */
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
        return LMN_WAIT_JOB_ENDED;
    if (!lmn_machine_task_capacity(machine, &job->spec))
        return LMN_WAIT_CAPACITY;
    if (machine->reservation.preemption_tasks &&
        job->spec.priority != LMN_PRIORITY_PRODUCTION)
        return LMN_WAIT_PREEMPTION_RESERVED;
    if (machine->reservation.job && machine->reservation.job != job)
        return LMN_WAIT_BACKFILL_RESERVED;
    if (is_left_to_spot(core, machine, job))
        return LMN_WAIT_SPOT_ONLY;
    if (lmn_time_before(now, job->failures.backoff_until))
        return LMN_WAIT_JOB_BACKOFF;
    if (!lmn_machine_can_run(machine, job))
        return LMN_WAIT_NOT_ELIGIBLE;
    if (!lmn_job_within_quota(core, machine->partition, job))
        return LMN_WAIT_QUOTA;
    return lmn_zone_task_capacity(job, machine->zone) ? LMN_WAIT_NONE
                                                      : LMN_WAIT_ZONE_AFFINITY;
}

enum lmn_wait_reason lmn_wait_reason(const struct lmn_core *core,
                                     const struct lmn_machine *machine,
                                     const struct lmn_range *range, struct timespec now)
{
    if (range->partition != machine->partition)
        return LMN_WAIT_OTHER_PARTITION;
    if (!range->is_assigned || !lmn_range_may_start(range))
        return LMN_WAIT_UNRECONCILED;
    enum lmn_wait_reason reason = lmn_machine_wait_reason(machine, now);
    return reason != LMN_WAIT_NONE ? reason
                                   : lmn_job_wait_reason(core, machine, range->job, now);
}
