/* Parts of teams' limits, in processors and GPUs: what a partition has, wants and can
 * spare. The core's lock is held by the caller throughout. */
#ifndef LMN_SCHEDULER_QUOTA_H
#define LMN_SCHEDULER_QUOTA_H

#include "state/core_state.h"

/* What a partition is short of for a team: at best, and at least for one task. */
struct lmn_quota_request {
    int team;
    double cpus, gpus, least_cpus, least_gpus;
};

bool lmn_team_has_limit(const struct lmn_team *team);
/* The part that each partition has without a record. */
void lmn_quota_even_share(const struct lmn_core *core, int team, double *cpus,
                          double *gpus);
/* What the partition could give to one that is short by w. */
void lmn_quota_spare(const struct lmn_core *core, const struct lmn_partition *partition,
                     const struct lmn_quota_request *request, double *cpus, double *gpus);

/* What the team's tasks in the partition may use. */
void lmn_quota_share(const struct lmn_core *core, const struct lmn_partition *partition,
                     int team, double *cpus, double *gpus);
/* Whether the partition is short of the team's quota, and by how much. */
bool lmn_quota_shortfall(const struct lmn_core *core,
                         const struct lmn_partition *partition, int team,
                         struct lmn_quota_request *request);

#endif
