/** @file
 * A fair-share floor for each class of jobs and each team, and priority for jobs that
 * have waited for long.
 *
 * While capacity is short for long, the order by urgency and by what can still meet its
 * objective would leave the classes of lower priority with nothing. The functions depend
 * only on the shared state and the time of day; the caller holds the core's lock. */
#ifndef LMN_SCHEDULER_FAIR_SHARE_H
#define LMN_SCHEDULER_FAIR_SHARE_H

#include "state/core_state.h"

/** What a class or a team has over all partitions of this controller. */
struct lmn_fair_share {
    /** The class's interned name, or the team's struct lmn_team: compared as a pointer.
     */
    const void *subject;
    double used_cpus;    /**< processors of its tasks that were started */
    double waiting_cpus; /**< processors that its other tasks ask for */
};

/** Whether the subject is under its floor: it has work waiting, and its tasks use less
 * than a quarter of an even part of all processors in use. Pure.
 * @param all_used_cpus processors that all subjects use
 * @param waiting_subjects subjects that have work waiting: the even part is over these */
bool lmn_is_under_fair_share(const struct lmn_fair_share *share, double all_used_cpus,
                             unsigned waiting_subjects);

/** Adds up an array of struct lmn_fair_share.
 * @param[out] used_cpus processors that all of them use
 * @return how many have work waiting */
unsigned lmn_fair_share_sum(const GArray *shares, double *used_cpus);

/** Marks the jobs whose class or team is under its floor
 * (lmn_job.is_under_fair_share). */
void lmn_update_fair_shares(struct lmn_core *core);

/** Marks the jobs of which nothing has started here for so long that their next task goes
 * first (lmn_job.is_starving), and the idle ones that are left to spot instances as long
 * as their partition has any for them (lmn_job.is_spot_only).
 * @param wall_clock_s time of day, seconds */
void lmn_update_starvation(struct lmn_core *core, double wall_clock_s);

/** Whether idle work of that kind, which has no objective, is worth leaving rather than
 * running on an ordinary machine of the type: work that is left in the end costs twice
 * its worth, and what runs for long keeps the machine from being returned. Pure. */
bool lmn_is_spot_only(const struct lmn_settings *settings,
                      const struct lmn_job_spec *spec,
                      const struct lmn_machine_type *type);

/** What each class has in this controller's partitions.
 * @return struct lmn_fair_share whose subject is the class's name; the caller frees it */
GArray *lmn_fair_share_by_class(const struct lmn_core *core);

#endif
