/* A floor for each class of jobs and each team: while room is short for long, the order
 * by urgency and by what can still be in time would leave the lesser with nothing. The
 * core's lock is held. */
#ifndef LMN_SCHEDULER_FAIR_SHARE_H
#define LMN_SCHEDULER_FAIR_SHARE_H

#include "state/core_state.h"

/* A class, or a team, over this node's partitions; processors. */
struct lmn_fair_share {
    const void *subject;
    double used_cpus;    /* by its tasks that were started */
    double waiting_cpus; /* asked for by those that were not */
};

/* Whether it is owed room: it has work waiting, and its tasks have less than a quarter of
 * an even part of all processors in use, even over those that have work waiting. Pure. */
bool lmn_is_under_fair_share(const struct lmn_fair_share *share, double all_used,
                             unsigned kinds);

/* Of an array of struct lmn_fair_share: how many have work waiting, and what all of them
 * use.
 */
unsigned lmn_fair_share_sum(const GArray *v, double *used);

/* Marks the jobs that are owed room by their class or their team. */
void lmn_update_fair_shares(struct lmn_core *core);

/* Marks the jobs that have waited for so long by the time of day that their next task
 * goes first, as nothing of them has started here yet; and the idle ones that are to run
 * on cheap machines only (lmn_is_spot_only), as long as this node has any for them. */
void lmn_update_starvation(struct lmn_core *core, double wall);

/* Whether idle work of that kind, of which nobody expects anything by a time, is worth
 * leaving rather than running on an ordinary machine of the type: work that is left in
 * the end costs twice its worth, and what runs for long keeps the machine from being
 * returned. Pure. */
bool lmn_is_spot_only(const struct lmn_settings *settings,
                      const struct lmn_job_spec *spec,
                      const struct lmn_machine_type *type);

/* What of each class this node's partitions have: an array of struct lmn_fair_share, `of`
 * the class's name; to be freed. */
GArray *lmn_fair_share_by_class(const struct lmn_core *core);

#endif
