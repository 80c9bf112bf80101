/** @file
 * Whether a queued task may start on a machine, and if not, why it waits.
 *
 * Starting, and every account of why something has not started, use these predicates and
 * no others. Pure functions of the owner's state and the time; the caller holds the
 * core's lock throughout. */
#ifndef LMN_SCHEDULER_WAIT_REASON_H
#define LMN_SCHEDULER_WAIT_REASON_H

#include "state/core_state.h"

/** Why a task does not start on a machine. */
enum lmn_wait_reason {
    LMN_WAIT_NONE, /**< nothing prevents it */
    /* of the machine, whatever the job: */
    LMN_WAIT_TRANSFER,     /**< its partition is being transferred to another owner */
    LMN_WAIT_UNACCOUNTED,  /**< it has sent no heartbeat to this owner yet */
    LMN_WAIT_UNRECORDED,   /**< the key-value store has no record of it yet */
    LMN_WAIT_DRAINING,     /**< it is to be returned to the cloud */
    LMN_WAIT_SPOT_NOTICE,  /**< the cloud is about to take the spot instance back */
    LMN_WAIT_UNKNOWN_TYPE, /**< its type is not known yet */
    LMN_WAIT_REPLICATION,  /**< the standby does not acknowledge starts */
    LMN_WAIT_QUARANTINED,  /**< tasks have failed on it: it starts nothing for a while */
    /* of the job on that machine: */
    LMN_WAIT_JOB_ENDED,           /**< the job is done or cancelled */
    LMN_WAIT_CAPACITY,            /**< too little capacity is free */
    LMN_WAIT_PREEMPTION_RESERVED, /**< capacity is being freed for more urgent work */
    LMN_WAIT_BACKFILL_RESERVED,   /**< the machine is reserved for another job */
    LMN_WAIT_SPOT_ONLY,           /**< idle work is left to spot instances */
    LMN_WAIT_JOB_BACKOFF,         /**< the job's tasks have failed: it backs off */
    LMN_WAIT_NOT_ELIGIBLE,        /**< the machine can't take work, or not this job's */
    LMN_WAIT_QUOTA,               /**< the quota of the job's team is used up */
    LMN_WAIT_ZONE_AFFINITY,       /**< affinity or anti-affinity with other tasks */
    /* of the range that holds the task: */
    LMN_WAIT_OTHER_PARTITION, /**< it belongs to another partition than the machine */
    LMN_WAIT_UNRECONCILED,    /**< it is inherited, and what runs is not known yet */
    LMN_WAIT_REASON_COUNT     /**< number of reasons */
};

/** What the reason means, for people. The text is static. */
const char *lmn_wait_reason_text(enum lmn_wait_reason reason);

/** Whether the job's team may use what one more task asks for, by its quota share in the
 * partition. */
bool lmn_job_within_quota(const struct lmn_core *core,
                          const struct lmn_partition *partition,
                          const struct lmn_job *job);

/** How many tasks fit into the machine's free capacity now; its queue is not counted. The
 * machine's type must be known. */
uint32_t lmn_machine_task_capacity(const struct lmn_machine *machine,
                                   const struct lmn_job_spec *spec);

/** Whether the machine takes work now, and the job allows the machine. Its free capacity
 * is not considered. */
bool lmn_machine_can_run(const struct lmn_machine *machine, const struct lmn_job *job);

/** Why the machine may start nothing. */
enum lmn_wait_reason lmn_machine_wait_reason(const struct lmn_machine *machine,
                                             struct timespec now);

/** Why the machine, if it may start anything, may not start a task of the job. */
enum lmn_wait_reason lmn_job_wait_reason(const struct lmn_core *core,
                                         const struct lmn_machine *machine,
                                         const struct lmn_job *job, struct timespec now);

/** Why a queued task of the range does not start on the machine: the first of all reasons
 * that apply. */
enum lmn_wait_reason lmn_wait_reason(const struct lmn_core *core,
                                     const struct lmn_machine *machine,
                                     const struct lmn_range *range, struct timespec now);

#endif
