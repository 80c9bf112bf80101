/** @file
 * Whether a queued task may start on a machine, and if not, why it waits.
 *
 * The scheduler's decision to start a task, and every report on why a task has not
 * started, must use these predicates and no others, so that they agree. Pure functions of
 * the core's state and the time. The caller holds the core's lock. */
#ifndef LMN_SCHEDULER_WAIT_REASON_H
#define LMN_SCHEDULER_WAIT_REASON_H

#include "scheduler/resources.h"
#include "state/core_state.h"

/** Why a task does not start on a machine. */
enum lmn_wait_reason {
    LMN_WAIT_NONE, /**< the task may start */
    /* of the machine, for tasks of any job: */
    LMN_WAIT_TRANSFER,     /**< its partition is being transferred to another owner */
    LMN_WAIT_UNACCOUNTED,  /**< it has sent no heartbeat to this owner yet */
    LMN_WAIT_UNRECORDED,   /**< the key-value store has no record of it yet */
    LMN_WAIT_DRAINING,     /**< it is draining, to be returned to the cloud */
    LMN_WAIT_SPOT_NOTICE,  /**< the cloud is about to reclaim the spot instance */
    LMN_WAIT_UNKNOWN_TYPE, /**< its type is not known yet */
    LMN_WAIT_REPLICATION,  /**< the standby has not acknowledged earlier starts */
    LMN_WAIT_QUARANTINED,  /**< tasks have failed on it: it starts none for a while */
    LMN_WAIT_TASK_LIMIT,   /**< it has LMN_MAX_MACHINE_ATTEMPTS attempts */
    /* of the job on that machine: */
    LMN_WAIT_JOB_ENDED, /**< the job is done or cancelled */
    LMN_WAIT_CAPACITY,  /**< the task does not fit into the machine's free capacity */
    LMN_WAIT_PREEMPTION_RESERVED, /**< capacity is being freed for production tasks */
    LMN_WAIT_BACKFILL_RESERVED,   /**< the machine is reserved for another job */
    LMN_WAIT_SPOT_ONLY,           /**< the idle job waits for spot instances */
    LMN_WAIT_JOB_BACKOFF,         /**< the job backs off after failures */
    LMN_WAIT_NOT_ELIGIBLE,        /**< the machine takes no tasks, or none of this job */
    LMN_WAIT_QUOTA,               /**< the team's quota in the partition is too small */
    LMN_WAIT_ZONE_AFFINITY,       /**< affinity or anti-affinity with other tasks */
    /* of the range that contains the task: */
    LMN_WAIT_OTHER_PARTITION, /**< it belongs to another partition than the machine */
    LMN_WAIT_UNRECONCILED,    /**< it is inherited, and not all machines have reported */
    LMN_WAIT_REASON_COUNT
};

/** Describes the reason for people. The text is static. */
const char *lmn_wait_reason_text(enum lmn_wait_reason reason);

/** Resources that further tasks of the job may use by its team's quota share in the
 * partition: INFINITY without a limit; negative if none may start. */
struct lmn_resources lmn_job_available_quota(const struct lmn_core *core,
                                             const struct lmn_partition *partition,
                                             const struct lmn_job *job);

/** Whether one more task of the job fits into its team's quota share in the partition. */
bool lmn_job_within_quota(const struct lmn_core *core,
                          const struct lmn_partition *partition,
                          const struct lmn_job *job);

/** Number of tasks that fit into the machine's free capacity. Tasks in its queue are not
 * subtracted. The machine's type must be known. */
uint32_t lmn_machine_task_capacity(const struct lmn_machine *machine,
                                   const struct lmn_job_spec *spec);

/** Whether the machine takes tasks now and the job allows the machine. Free capacity is
 * not considered. */
bool lmn_machine_can_run(const struct lmn_machine *machine, const struct lmn_job *job);

/** Why the machine may not start a task of any job; LMN_WAIT_NONE if it may. */
enum lmn_wait_reason lmn_machine_wait_reason(const struct lmn_machine *machine,
                                             struct timespec now);

/** Why the machine may not start a task of the job, apart from lmn_machine_wait_reason;
 * LMN_WAIT_NONE if it may. */
enum lmn_wait_reason lmn_job_wait_reason(const struct lmn_core *core,
                                         const struct lmn_machine *machine,
                                         const struct lmn_job *job, struct timespec now);

/** Why a queued task of the range may not start on the machine: the first reason that
 * applies; LMN_WAIT_NONE if it may. */
enum lmn_wait_reason lmn_wait_reason(const struct lmn_core *core,
                                     const struct lmn_machine *machine,
                                     const struct lmn_range *range, struct timespec now);

#endif
