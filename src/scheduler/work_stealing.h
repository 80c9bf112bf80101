/** @file
 * Work stealing between partitions.
 *
 * A partition with idle capacity (the thief) asks a random sample of the other partitions
 * how many of their queued tasks it could start, and steals from the one with the most
 * (the victim). The victim moves tasks from the end of one range to the thief by one
 * conditional write. The messages between controllers are in controller/rpc_server.c, the
 * writes in partition/range_writer.h, and steals inside a partition in
 * scheduler/local_stealing.h. The caller holds the core's lock. */
#ifndef LMN_SCHEDULER_WORK_STEALING_H
#define LMN_SCHEDULER_WORK_STEALING_H

#include "state/core_state.h"

/** Most machines in a steal request. */
enum { LMN_MAX_STEAL_CAPACITIES = 64 };

/** Free capacity of one idle machine of the thief. */
struct lmn_free_capacity {
    char type[LMN_NAME_SIZE]; /**< of the machine */
    char zone[LMN_NAME_SIZE];
    bool is_spot;
    double cpus;
    double gpus;
    double memory_gb;
};

/** A thief's request, with the capacity and quota that it has free. */
struct lmn_steal_request {
    int partition; /**< the thief's number */
    struct lmn_free_capacity capacities[LMN_MAX_STEAL_CAPACITIES];
    guint capacity_count;
    /** Unused processors and GPUs of each team's quota share in the thief's partition;
     * very large if the team has no limit. */
    double *team_free_cpus, *team_free_gpus;
};

/** Initializes an empty request with arrays for the teams of the settings. Release it
 * with lmn_steal_request_clear. */
void lmn_steal_request_init(struct lmn_steal_request *request,
                            const struct lmn_settings *settings);

/** Frees the request's arrays, not the request itself. */
void lmn_steal_request_clear(struct lmn_steal_request *request);

/** Fills in the idle capacity and unused quota of a partition of this controller.
 * @return false if the partition has no idle capacity, is not ready, or its steal
 * interval has not passed */
bool lmn_steal_request_fill(struct lmn_core *core, struct lmn_partition *partition,
                            struct lmn_steal_request *request, struct timespec now);

/** Number of queued tasks of the partition that could move to the thief. */
uint32_t lmn_victim_load(const struct lmn_core *core,
                         const struct lmn_partition *partition,
                         const struct lmn_steal_request *request);

/** Begins to move tasks to the thief: removes them from their queues and sets
 * lmn_range.move_at; the range writer then writes the new end of their range.
 * @return number of tasks that are to move */
uint32_t lmn_victim_begin_move(struct lmn_core *core, struct lmn_partition *partition,
                               const struct lmn_steal_request *request,
                               struct timespec now);

/** Sets the time of the partition's next steal. The interval doubles with each steal that
 * brought no tasks. */
void lmn_steal_record_result(struct lmn_core *core, struct lmn_partition *partition,
                             uint32_t stolen, struct timespec now);

/** Shortens the range after the watch cache has shown that it now ends at `end`. The
 * tasks from `end` on belong to another partition. */
void lmn_range_truncate(struct lmn_core *core, struct lmn_range *range, uint32_t end);

/** Cancels a move that was not written: queues its tasks again. */
void lmn_range_cancel_move(struct lmn_core *core, struct lmn_range *range,
                           struct timespec now);

#endif
