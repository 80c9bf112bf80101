/** @file
 * The predicates for starting a task; see wait_reason.h. The caller holds the core's
 * lock. */
#include "scheduler/wait_reason.h"
#include "scheduler/fair_share.h"
#include "scheduler/affinity.h"
#include "scheduler/quota.h"
#include "replication/start_gate.h"
#include "scheduler/resources.h"
#include "state/core.h"
#include "state/task_ledger.h"

/** Texts of the reasons. */
static const char *const texts[LMN_WAIT_REASON_COUNT] = {
    [LMN_WAIT_NONE] = "the task may start",
    [LMN_WAIT_TRANSFER] = "the partition is being transferred to another owner",
    [LMN_WAIT_UNACCOUNTED] = "the machine has sent no heartbeat to this owner",
    [LMN_WAIT_UNRECORDED] = "the machine is not recorded in the key-value store",
    [LMN_WAIT_DRAINING] = "the machine is draining",
    [LMN_WAIT_SPOT_NOTICE] = "the cloud is reclaiming the spot instance",
    [LMN_WAIT_UNKNOWN_TYPE] = "the machine's type is unknown",
    [LMN_WAIT_REPLICATION] = "the standby has not acknowledged earlier starts",
    [LMN_WAIT_TASK_LIMIT] = "the machine has as many tasks as a heartbeat can name",
    [LMN_WAIT_QUARANTINED] = "the machine is quarantined after task failures",
    [LMN_WAIT_JOB_ENDED] = "the job is done or cancelled",
    [LMN_WAIT_CAPACITY] = "the machine has too little free capacity",
    [LMN_WAIT_PREEMPTION_RESERVED] = "capacity is being freed for production tasks",
    [LMN_WAIT_BACKFILL_RESERVED] = "the machine is reserved for another job",
    [LMN_WAIT_SPOT_ONLY] = "the job waits for spot instances",
    [LMN_WAIT_JOB_BACKOFF] = "the job backs off after task failures",
    [LMN_WAIT_NOT_ELIGIBLE] = "the machine can't run the job",
    [LMN_WAIT_QUOTA] = "the team's quota in the partition is too small",
    [LMN_WAIT_ZONE_AFFINITY] = "the job's affinity or anti-affinity excludes the zone",
    [LMN_WAIT_OTHER_PARTITION] = "the task belongs to another partition",
    [LMN_WAIT_UNRECONCILED] =
        "not all machines that may run the inherited tasks have reported",
};

const char *lmn_wait_reason_text(enum lmn_wait_reason reason)
{
    return texts[reason];
}

bool lmn_machine_can_run(const struct lmn_machine *machine, const struct lmn_job *job)
{
    /* After a warm takeover, machines that are known from the replica are assigned tasks
     * before their first heartbeat, and start them after it. If only machines that have
     * sent one counted, all tasks would be assigned to the few machines that send it
     * first. */
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

/** Subtracts from the partition's quota share what is reserved for others, and what
 * machines that are not accounted for may use.
 * @return false: nothing is available */
static bool subtract_unavailable_quota(const struct lmn_partition *partition,
                                       const struct lmn_team *team,
                                       const struct lmn_job *job,
                                       struct lmn_resources *quota)
{
    const struct lmn_quota_reservation *reservation =
        &partition->quota.reservations[job->team];

    if (reservation->job != job) {
        quota->cpus -= reservation->cpus;
        quota->gpus -= reservation->gpus;
    }
    /* Machines that have not reported to this owner may run tasks of this team. Their
     * possible usage was computed at the last check, and can only have decreased since
     * then. */
    if (!partition->ownership.is_ready && !partition->ownership.is_warm &&
        lmn_team_has_limit(team)) {
        if (partition->ownership.has_unaccounted_unknown)
            return false;
        quota->cpus -= partition->ownership.unaccounted_cpus;
        quota->gpus -= partition->ownership.unaccounted_gpus;
    }
    return true;
}

struct lmn_resources lmn_job_available_quota(const struct lmn_core *core,
                                             const struct lmn_partition *partition,
                                             const struct lmn_job *job)
{
    struct lmn_resources quota = {0, 0, INFINITY, INFINITY};

    if (job->team < 0)
        return (struct lmn_resources){-1, -1, -1, -1};
    const struct lmn_team *team = &core->settings->teams[job->team];
    lmn_quota_share(core, partition, job->team, &quota.cpus, &quota.gpus);
    if (!subtract_unavailable_quota(partition, team, job, &quota))
        return (struct lmn_resources){-1, -1, -1, -1};
    quota.cpus = team->cpus_max > 0 ? quota.cpus - partition->quota.used_cpus[job->team]
                                    : INFINITY;
    quota.gpus = team->gpus_max > 0 ? quota.gpus - partition->quota.used_gpus[job->team]
                                    : INFINITY;
    return quota;
}

bool lmn_job_within_quota(const struct lmn_core *core,
                          const struct lmn_partition *partition,
                          const struct lmn_job *job)
{
    const struct lmn_resources quota = lmn_job_available_quota(core, partition, job);

    return lmn_resources_fit_task(&quota, &job->spec);
}

/** Whether the job should wait for a spot instance because the machine is an ordinary
 * one. Long idle tasks on ordinary machines would keep these from being returned for
 * minutes after all other tasks have ended, and would use capacity that jobs without spot
 * instances need. */
static bool should_wait_for_spot(const struct lmn_core *core,
                                 const struct lmn_machine *machine,
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
    /* Starts that the standby does not acknowledge would have to be undone. */
    if (lmn_replication_is_stuck(machine->partition, now))
        return LMN_WAIT_REPLICATION;
    if (lmn_time_before(now, machine->failures.quarantined_until))
        return LMN_WAIT_QUARANTINED;
    return lmn_machine_free_resources(machine).tasks < 1 ? LMN_WAIT_TASK_LIMIT
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
    if (should_wait_for_spot(core, machine, job))
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
