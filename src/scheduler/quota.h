/** @file
 * Quota shares: the part of a team's quota limit that a partition may use, how much quota
 * the partition lacks, and how much it can transfer to another partition.
 *
 * A team's limit is divided among the partitions, so that each controller can keep to its
 * partition's share without asking the others. partition/quota_transfer.h transfers quota
 * between partitions. Pure functions of the core's state. The caller holds the core's
 * lock. */
#ifndef LMN_SCHEDULER_QUOTA_H
#define LMN_SCHEDULER_QUOTA_H

#include "state/core_state.h"

/** Quota that a partition lacks for a team's queued tasks. */
struct lmn_quota_request {
    int team;          /**< index in the settings */
    double cpus;       /**< processors that the queued tasks could use */
    double gpus;       /**< GPUs that the queued tasks could use */
    double least_cpus; /**< processors without which the largest queued task can never
                          start */
    double least_gpus; /**< GPUs without which the largest queued task can never start */
};

/** Whether the team has a limit on processors or GPUs. */
bool lmn_team_has_limit(const struct lmn_team *team);

/** The share of each partition while the key-value store has no record of the team's
 * shares: the limit divided by the number of partitions. */
void lmn_quota_even_share(const struct lmn_core *core, int team, double *cpus,
                          double *gpus);

/** Quota that the partition could transfer to the partition that made the request: at
 * most request->cpus and request->gpus, and at least request->least_cpus and
 * request->least_gpus, even if the partition needs that quota itself. */
void lmn_quota_transferable(const struct lmn_core *core,
                            const struct lmn_partition *partition,
                            const struct lmn_quota_request *request, double *cpus,
                            double *gpus);

/** Quota that the team's tasks in the partition may use: the partition's share, less a
 * transfer to another partition that is in progress. */
void lmn_quota_share(const struct lmn_core *core, const struct lmn_partition *partition,
                     int team, double *cpus, double *gpus);

/** Whether the partition lacks quota for the team's queued tasks.
 * @param[out] request the quota that it lacks; valid only if the result is true */
bool lmn_quota_shortfall(const struct lmn_core *core,
                         const struct lmn_partition *partition, int team,
                         struct lmn_quota_request *request);

#endif
