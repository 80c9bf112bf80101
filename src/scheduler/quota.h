/** @file
 * Quota shares: the part of a team's quota limit that a partition may use, how much of it
 * the partition is short of, and how much it can spare for others.
 *
 * A limit is partitioned, so that each owner keeps to its share without asking anybody.
 * Shares are moved by partition/quota_transfer.h. Pure functions of the shared state; the
 * caller holds the core's lock throughout. */
#ifndef LMN_SCHEDULER_QUOTA_H
#define LMN_SCHEDULER_QUOTA_H

#include "state/core_state.h"

/** What a partition is short of for a team, in processors and GPUs. */
struct lmn_quota_request {
    int team;    /**< index in the settings */
    double cpus; /**< that its queued tasks could use */
    double gpus;
    double least_cpus; /**< without which its largest queued task could never start */
    double least_gpus;
};

/** Whether the team's processors or GPUs are limited at all. */
bool lmn_team_has_limit(const struct lmn_team *team);

/** The share that each partition has as long as no record says otherwise. */
void lmn_quota_even_share(const struct lmn_core *core, int team, double *cpus,
                          double *gpus);

/** What the partition could give to one that has made the request: not more than it asks
 * for, but at least what it could else never start with. */
void lmn_quota_transferable(const struct lmn_core *core,
                            const struct lmn_partition *partition,
                            const struct lmn_quota_request *request, double *cpus,
                            double *gpus);

/** What the team's tasks in the partition may use: its share, less what is on its way to
 * another partition. */
void lmn_quota_share(const struct lmn_core *core, const struct lmn_partition *partition,
                     int team, double *cpus, double *gpus);

/** Whether the partition is short of the team's quota.
 * @param[out] request by how much, if so */
bool lmn_quota_shortfall(const struct lmn_core *core,
                         const struct lmn_partition *partition, int team,
                         struct lmn_quota_request *request);

#endif
