/* Steals between partitions. The core's lock is held by the caller throughout. */
#ifndef LMN_SCHEDULER_WORK_STEALING_H
#define LMN_SCHEDULER_WORK_STEALING_H

#include "state/core_state.h"

struct lmn_free_capacity {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot;
    double cpus, gpus, memory_gb;
};
struct lmn_steal_request {
    int partition;
    struct lmn_free_capacity capacities[64];
    guint capacity_count;
    double *team_free_cpus, *team_free_gpus; /* by team: what its quota leaves */
};
/* Room for the teams of these settings; lmn_steal_request_clear. */
void lmn_steal_request_init(struct lmn_steal_request *request,
                            const struct lmn_settings *settings);
void lmn_steal_request_clear(struct lmn_steal_request *request);
/* Idle room of a partition of ours; false if there is none, or it is not yet time. */
bool lmn_steal_request_fill(struct lmn_core *core, struct lmn_partition *partition,
                            struct lmn_steal_request *request, struct timespec now);
/* Queued tasks of the partition that the thief could start. */
uint32_t lmn_victim_load(const struct lmn_core *core,
                         const struct lmn_partition *partition,
                         const struct lmn_steal_request *request);
/* Sets a move going; returns how many tasks go. */
uint32_t lmn_victim_transfer(struct lmn_core *core, struct lmn_partition *partition,
                             const struct lmn_steal_request *request,
                             struct timespec now);
void lmn_steal_record_result(struct lmn_core *core, struct lmn_partition *partition,
                             uint32_t got, struct timespec now);
/* The mirror shows the range cut at hi. */
void lmn_range_truncate(struct lmn_core *core, struct lmn_range *range, uint32_t hi);
/* The move did not take place. */
void lmn_range_cancel_move(struct lmn_core *core, struct lmn_range *range,
                           struct timespec now);

#endif
