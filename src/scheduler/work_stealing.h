/** @file
 * Work stealing between partitions.
 *
 * A partition with idle capacity (the thief) asks a random sample of the others how many
 * of their queued tasks would fit there, and pulls from the busiest (the victim). The
 * victim moves the end of a range by one conditional write. The messages between
 * controllers are in controller/rpc_server.c, the writes in partition/range_writer.h;
 * steals inside a partition are in scheduler/local_stealing.h. The caller holds the
 * core's lock throughout. */
#ifndef LMN_SCHEDULER_WORK_STEALING_H
#define LMN_SCHEDULER_WORK_STEALING_H

#include "state/core_state.h"

/** Machines of which a steal request names the free capacity at most. */
enum { LMN_MAX_STEAL_CAPACITIES = 64 };

/** What is free on one idle machine of the thief's. */
struct lmn_free_capacity {
    char type[LMN_NAME_SIZE]; /**< of the machine */
    char zone[LMN_NAME_SIZE];
    bool is_spot;
    double cpus;
    double gpus;
    double memory_gb;
};

/** A thief's request: what it could start. */
struct lmn_steal_request {
    int partition; /**< the thief's */
    struct lmn_free_capacity capacities[LMN_MAX_STEAL_CAPACITIES];
    guint capacity_count;
    /** By team: processors and GPUs that its quota share leaves in the thief's partition;
     * very large if the team has no limit. */
    double *team_free_cpus, *team_free_gpus;
};

/** Makes an empty request, with arrays for the teams of these settings. It is released by
 * lmn_steal_request_clear. */
void lmn_steal_request_init(struct lmn_steal_request *request,
                            const struct lmn_settings *settings);

/** Releases what the request holds, not the request itself. */
void lmn_steal_request_clear(struct lmn_steal_request *request);

/** Fills in the idle capacity of a partition of ours.
 * @return false if there is none, or its steal interval is not over */
bool lmn_steal_request_fill(struct lmn_core *core, struct lmn_partition *partition,
                            struct lmn_steal_request *request, struct timespec now);

/** Number of queued tasks of the victim's partition that the thief could start. */
uint32_t lmn_victim_load(const struct lmn_core *core,
                         const struct lmn_partition *partition,
                         const struct lmn_steal_request *request);

/** Begins to move tasks to the thief: they leave their queues, and the range writer moves
 * the end of their range (lmn_range.move_at).
 * @return how many tasks are to move */
uint32_t lmn_victim_begin_move(struct lmn_core *core, struct lmn_partition *partition,
                               const struct lmn_steal_request *request,
                               struct timespec now);

/** Sets the time of the partition's next steal by how many tasks the last one brought. */
void lmn_steal_record_result(struct lmn_core *core, struct lmn_partition *partition,
                             uint32_t stolen, struct timespec now);

/** The watch cache shows that the range ends at `end` now: the tasks from there on belong
 * to another partition. */
void lmn_range_truncate(struct lmn_core *core, struct lmn_range *range, uint32_t end);

/** The move under way did not take place: its tasks are queued again. */
void lmn_range_cancel_move(struct lmn_core *core, struct lmn_range *range,
                           struct timespec now);

#endif
