/** @file
 * Jobs as the watch cache shows them, with what the scheduler has worked out about them.
 *
 * Owner: the watch cache (state/watch_cache.h) makes jobs and sets what their records
 * say; the scheduler sets the fields that it says are its own. All under the core's lock.
 */
#ifndef LMN_STATE_JOB_H
#define LMN_STATE_JOB_H

#include "job/job_spec.h"
#include "state/failures.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct lmn_partition;

/** How many of a job's tasks are, or may be, on machines of a zone. */
struct lmn_zone_tasks {
    const char *zone; /**< interned */
    int tasks;
};

/** A job. */
struct lmn_job {
    struct lmn_job_spec spec;
    /* from its record */
    enum lmn_job_phase phase;
    uint32_t open_ranges;   /**< ranges that are not closed yet */
    double accepted_at_s;   /**< time of day at which it was accepted */
    uint64_t revision;      /**< of its record */
    uint32_t generation;    /**< of the listing that last named it */
    GPtrArray *ranges;      /**< struct lmn_range, in all partitions */
    const char *image;      /**< interned, since it is compared for every machine */
    const char *class_name; /**< interned */
    int team;               /**< index in the settings; -1: the settings lack it */
    /** When this controller learned from another that the job was cancelled; 0: it has
     * not. */
    struct timespec tombstone_at;
    /** When the watch cache showed it final, or somebody last asked about it since. */
    struct timespec final_at;

    /* set by partition/: */
    uint64_t closing_revision; /**< revision on which a close of ours is in flight */

    /* set by scheduler/: */
    bool is_under_fair_share; /**< its class or team has less than its fair-share floor */
    bool is_starving;  /**< it has waited for long, and nothing of it has started here */
    bool is_spot_only; /**< it is left to spot machines (lmn_is_spot_only) */
    /** Time of day by which its next task has to start for the next objective that can
     * still be met. */
    double latest_start_s;
    bool has_missed_objective; /**< no objective can be met any more */
    bool is_within_guarantee; /**< it fitted into its team's guaranteed quota when it came
                               */
    bool is_deferred; /**< overload triage puts it off: meeting its objective would cost
                         more other jobs theirs (lmn_overload_triage) */
    double remaining_cpu_s; /**< processor seconds of tasks that have not started */
    /** struct lmn_zone_tasks; NULL unless affinity or anti-affinity is asked for. */
    GArray *zones;
    const struct lmn_partition *triage_partition; /**< mark of the triage under way */
    /** Results of one scan over queues: the job can't start on the machine, it can, its
     * image's fetch time is known. The first is valid while it equals the core's scan
     * generation, the others while they equal its start generation. */
    uint64_t rejected_scan, accepted_scan, fetch_scan;
    double fetch_s; /**< with fetch_scan: seconds that the image's fetch takes there */
    struct lmn_job_failures failures; /**< holds back a job whose tasks fail */
};

#endif
