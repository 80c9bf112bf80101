/* Whether a queued task may start on a machine, and if not, why it waits. Starting, and
 * every account of why something has not started, use these predicates and no others.
 * Pure functions of the owner's state and the time; the core's lock is held by the caller
 * throughout. */
#ifndef LMN_SCHEDULER_WAIT_REASON_H
#define LMN_SCHEDULER_WAIT_REASON_H

#include "state/core_state.h"

enum lmn_wait_reason {
    LMN_WAIT_NONE, /* nothing is in the way */
    /* of the machine, whatever the job */
    LMN_WAIT_TRANSFER,     /* its partition is being handed over */
    LMN_WAIT_UNACCOUNTED,  /* it has not reported to this owner yet */
    LMN_WAIT_UNRECORDED,   /* it is not recorded yet */
    LMN_WAIT_DRAINING,     /* it is to be returned */
    LMN_WAIT_SPOT_NOTICE,  /* the cloud is about to take it back */
    LMN_WAIT_UNKNOWN_TYPE, /* its type is not known yet */
    LMN_WAIT_REPLICATION,  /* starts are not acknowledged by the standby */
    LMN_WAIT_QUARANTINED,  /* tasks have failed on it: it pauses */
    /* of the job on that machine */
    LMN_WAIT_JOB_OVER,            /* the job is done or cancelled */
    LMN_WAIT_CAPACITY,            /* too little is free */
    LMN_WAIT_PREEMPTION_RESERVED, /* room is being made there for more urgent work */
    LMN_WAIT_BACKFILL_RESERVED,   /* the machine is kept for another job */
    LMN_WAIT_SPOT_ONLY,           /* idle work is left to cheap machines */
    LMN_WAIT_JOB_BACKOFF,         /* the job's tasks have failed: it pauses */
    LMN_WAIT_NOT_ALLOWED,         /* the machine can't take work, or not this job's */
    LMN_WAIT_QUOTA,               /* its team's limit */
    LMN_WAIT_ZONE,                /* the zones of the job's other tasks */
    /* of the range that holds the task */
    LMN_WAIT_OTHER_PARTITION, /* it belongs to another partition than the machine */
    LMN_WAIT_NOT_OPEN,        /* it is inherited, and what runs is not known yet */
    LMN_WAIT_REASONS
};

const char *lmn_wait_reason_name(enum lmn_wait_reason reason);

/* Whether the job's team may use one task's processors more. */
bool lmn_job_within_quota(const struct lmn_core *core,
                          const struct lmn_partition *partition,
                          const struct lmn_job *job);
/* How many tasks of the job have room on the machine now, its queue aside. */
uint32_t lmn_machine_task_capacity(const struct lmn_machine *machine,
                                   const struct lmn_job_spec *spec);
/* Whether the machine takes work now, and the job allows it. */
bool lmn_machine_can_run(const struct lmn_machine *machine, const struct lmn_job *job);

/* Why the machine may start nothing. */
enum lmn_wait_reason lmn_machine_wait_reason(const struct lmn_machine *machine,
                                             struct timespec now);
/* Why the machine, if it may start anything, may not start a task of the job. */
enum lmn_wait_reason lmn_job_wait_reason(const struct lmn_core *core,
                                         const struct lmn_machine *machine,
                                         const struct lmn_job *job, struct timespec now);
/* Why a queued task of the range does not start on the machine, of all that is in the way
 * the first. */
enum lmn_wait_reason lmn_wait_reason(const struct lmn_core *core,
                                     const struct lmn_machine *machine,
                                     const struct lmn_range *range, struct timespec now);

#endif
