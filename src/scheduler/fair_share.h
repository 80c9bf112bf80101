/** @file
 * Fair-share floors for classes of jobs and for teams, and priority for starving jobs.
 *
 * While demand exceeds capacity for long, the order of jobs by priority and by objectives
 * that can still be met would leave classes of lower priority without any capacity. The
 * functions depend only on the core's state and the time of day. The caller holds the
 * core's lock. */
#ifndef LMN_SCHEDULER_FAIR_SHARE_H
#define LMN_SCHEDULER_FAIR_SHARE_H

#include "state/core_state.h"

/** Usage and demand of a class or a team, over all partitions of this controller. */
struct lmn_fair_share {
    /** The class's interned name, or the team's struct lmn_team. Subjects are compared by
     * address. */
    const void *subject;
    double used_cpus;    /**< processors of its started tasks */
    double waiting_cpus; /**< processors that its waiting tasks request */
};

/** Whether the subject is under its floor: it has waiting tasks, and its tasks use less
 * than a quarter of an even share of the processors in use. Pure function.
 * @param all_used_cpus processors that all subjects use
 * @param waiting_subjects number of subjects with waiting tasks, among which an even
 * share is computed */
bool lmn_is_under_fair_share(const struct lmn_fair_share *share, double all_used_cpus,
                             unsigned waiting_subjects);

/** Adds up an array of struct lmn_fair_share.
 * @param[out] used_cpus processors that all subjects use
 * @return number of subjects with waiting tasks */
unsigned lmn_fair_share_sum(const GArray *shares, double *used_cpus);

/** Sets lmn_job.is_under_fair_share in jobs whose class or team is under its floor, and
 * clears it in the others. */
void lmn_update_fair_shares(struct lmn_core *core);

/** Updates two marks of all jobs. lmn_job.is_starving: no task of the job has started
 * here within STARVING_AFTER_S (fair_share.c) of its acceptance, so its next task takes
 * precedence. lmn_job.is_spot_only: the job has idle priority, and its partition has a
 * spot instance that can run it.
 * @param wall_clock_s time of day, seconds */
void lmn_update_starvation(struct lmn_core *core, double wall_clock_s);

/** Whether a job of idle priority without objectives should wait for spot instances
 * rather than run on an ordinary machine of the type. Work that is never done costs twice
 * its worth, so waiting pays only if the ordinary price is more than twice the spot
 * price; and a long task keeps an ordinary machine from being returned. Pure function. */
bool lmn_is_spot_only(const struct lmn_settings *settings,
                      const struct lmn_job_spec *spec,
                      const struct lmn_machine_type *type);

/** Usage and demand of each class in this controller's partitions.
 * @return struct lmn_fair_share with the class's name as subject; the caller frees the
 * array */
GArray *lmn_fair_share_by_class(const struct lmn_core *core);

#endif
