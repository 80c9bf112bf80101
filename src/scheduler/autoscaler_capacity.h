/** @file
 * The capacity that the autoscaler compares with the demand: the machines that run or
 * boot, by type, zone and price model.
 *
 * Internal to scheduler/. Pure functions of struct lmn_autoscaler, the core's state and
 * the time. The caller holds the core's lock. */
#ifndef LMN_SCHEDULER_AUTOSCALER_CAPACITY_H
#define LMN_SCHEDULER_AUTOSCALER_CAPACITY_H

#include "scheduler/autoscaler_state.h"

/** What the sums of demand and of capacity are compared in. Tasks that request little
 * fill machines by their number (LMN_MAX_MACHINE_ATTEMPTS). Sums of memory are not
 * compared; tasks that lack memory are listed as unschedulable. */
enum lmn_capacity_unit {
    LMN_UNIT_CPUS,
    LMN_UNIT_TASKS,
    LMN_UNIT_COUNT,
};

/** An amount of each unit. */
struct lmn_amounts {
    double of[LMN_UNIT_COUNT];
};

/** Machines that the cloud offers, by type, zone and price model. */
struct lmn_offer {
    const struct lmn_machine_type *type;
    const char *zone;
    bool is_spot;
};

/** The machines of one offer that are not broken. */
struct lmn_machine_group {
    struct lmn_offer offer;
    unsigned count;
    unsigned late_count;        /**< still booting after their boot timeout */
    unsigned arriving_count;    /**< booting and not late, or up for so short a time that
                                     they may have taken no tasks yet */
    struct lmn_amounts amounts; /**< without late machines that are to be replaced */
};

/** Capacity of the machines that run or boot. Late machines that are to be replaced are
 * not counted. */
struct lmn_capacity {
    struct lmn_amounts all;
    struct lmn_amounts ordinary; /**< part of `all` that is not on spot instances */
    GArray *groups;              /**< struct lmn_machine_group */
};

/** What an empty machine of the type has. */
struct lmn_amounts lmn_type_amounts(const struct lmn_machine_type *type);

/** What a task takes. */
struct lmn_amounts lmn_task_amounts(const struct lmn_job_spec *spec);

/** Adds `factor` times the amounts. */
void lmn_amounts_add(struct lmn_amounts *sum, double factor,
                     const struct lmn_amounts *amounts);

/** Adds up the capacity of the cloud's machines. The result points into `autoscaler` and
 * the core; release it with lmn_capacity_clear. */
struct lmn_capacity lmn_capacity_sum(const struct lmn_core *core,
                                     const struct lmn_autoscaler *autoscaler,
                                     struct timespec now);

/** Lists the offers of all types in all zones, as ordinary machines and as spot
 * instances. The offers point into the core.
 * @return struct lmn_offer; the caller frees the array */
GArray *lmn_list_offers(const struct lmn_core *core);

/** Whether a machine should be provisioned for a deficit. Where no machine could run the
 * jobs, one is for a single small task. Demand that quota limits reduce to less than a
 * task warrants none: the machine would have nothing that may start.
 * @param amount processors or tasks that are missing
 * @param least_task what the smallest task that waits for them takes
 * @param is_first no machine that could run the tasks runs or boots */
bool lmn_deficit_warrants_machine(double amount, double least_task, bool is_first);

/** Frees the groups. */
void lmn_capacity_clear(struct lmn_capacity *capacity);

#endif
