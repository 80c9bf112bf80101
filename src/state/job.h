/** @file
 * Jobs as the watch cache shows them, with the values that the scheduler computes for
 * each.
 *
 * Owner: the watch cache (state/watch_cache.h) allocates jobs and sets the fields that
 * come from records; partition/ and scheduler/ set the fields that are marked as theirs.
 * All under the core's lock.
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

/** Number of a job's tasks that are, or may be, on machines of one zone. */
struct lmn_zone_tasks {
    const char *zone; /**< interned */
    int tasks;
};

/** A job, with its tasks in all partitions. */
struct lmn_job {
    struct lmn_job_spec spec;
    /* from its record */
    enum lmn_job_phase phase;
    uint32_t open_ranges;   /**< ranges not closed yet; closing one deletes its record */
    double accepted_at_s;   /**< time of day at which it was accepted */
    uint64_t revision;      /**< store revision of its record */
    uint32_t generation;    /**< number of the listing that last contained it */
    GPtrArray *ranges;      /**< struct lmn_range, in all partitions */
    const char *image;      /**< interned, since it is compared for every machine */
    const char *class_name; /**< interned */
    int team;               /**< index in the settings; -1: the settings lack it */
    /** When another controller last sent a tombstone of the job (state/tombstone.h); 0:
     * never. */
    struct timespec tombstone_at;
    /** When the job last entered the list of final jobs (state/retention.h). */
    struct timespec final_at;

    /* set by partition/: */
    uint64_t closing_revision; /**< record revision that a write closing the job,
                                    now in flight, is conditional on */

    /* set by scheduler/: */
    bool is_under_fair_share; /**< its class or team is below its fair-share floor */
    bool is_starving;         /**< it has waited long and has no task started here */
    bool is_spot_only;        /**< left to spot machines (lmn_is_spot_only) */
    /** Time of day by which the next task must start to meet the earliest objective that
     * can still be met. */
    double latest_start_s;
    bool has_missed_objective; /**< no objective can be met any more */
    bool is_within_guarantee;  /**< on arrival it fitted the team's guaranteed quota */
    bool is_deferred; /**< overload triage defers the job: to meet its objective, more
                         other jobs would miss theirs (lmn_overload_triage) */
    double remaining_cpu_s; /**< estimated CPU seconds of tasks not yet started */
    /** struct lmn_zone_tasks; NULL unless the job has zone affinity or anti-affinity. */
    GArray *zones;
    const struct lmn_partition
        *triage_partition; /**< while triage runs in that partition: the job was visited;
                              else NULL */
    /** Results of the queue scan for one machine: the job can't start on the machine; the
     * job can start there; the image's fetch time is in fetch_s. The first holds while
     * rejected_scan equals lmn_scheduling's scan_generation, the others while they equal
     * its start_generation. */
    uint64_t rejected_scan, accepted_scan, fetch_scan;
    double fetch_s; /**< valid with fetch_scan: seconds to fetch the image there */
    struct lmn_job_failures
        failures; /**< failures that delay further starts of the job */
};

#endif
