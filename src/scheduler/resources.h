/** @file
 * Arithmetic on processors, GPUs and memory: what is free on a machine, and how many
 * tasks fit into it.
 *
 * Pure functions. They are inline because they are called for every machine and every
 * queue segment that the scheduler considers. */
#ifndef LMN_SCHEDULER_RESOURCES_H
#define LMN_SCHEDULER_RESOURCES_H

#include "state/core_state.h"

#include <math.h>

/** Tolerance of comparisons between sums of resources: requests are decimal fractions
 * that doubles can't hold exactly, and a sum of them must still fill a machine. */
#define LMN_RESOURCE_EPSILON 1e-6

/** Upper bound on the number of tasks that are said to fit, for tasks that ask for
 * nothing. */
#define LMN_MAX_FITTING_TASKS 1e6

/** An amount of each resource. */
struct lmn_resources {
    double cpus;
    double gpus;
    double memory_gb;
};

/** What attempts leave free on the machine, whose type must be known. */
static inline struct lmn_resources
lmn_machine_free_resources(const struct lmn_machine *machine)
{
    return (struct lmn_resources){machine->type->cpus - machine->used.cpus,
                                  machine->type->gpus - machine->used.gpus,
                                  machine->type->memory_gb - machine->used.memory_gb};
}

/** Whether one task fits. */
static inline bool lmn_resources_fit_task(const struct lmn_resources *available,
                                          const struct lmn_job_spec *spec)
{
    return !(available->cpus < spec->cpus - LMN_RESOURCE_EPSILON ||
             available->gpus < spec->gpus - LMN_RESOURCE_EPSILON ||
             available->memory_gb < spec->memory_gb - LMN_RESOURCE_EPSILON);
}

/** How many tasks fit: a whole number, negative if more is in use than there is. */
static inline double lmn_resources_task_count(const struct lmn_resources *available,
                                              const struct lmn_job_spec *spec)
{
    double count = LMN_MAX_FITTING_TASKS;

    if (spec->cpus > 0)
        count = MIN(count, floor(available->cpus / spec->cpus + LMN_RESOURCE_EPSILON));
    if (spec->gpus > 0)
        count = MIN(count, floor(available->gpus / spec->gpus + LMN_RESOURCE_EPSILON));
    if (spec->memory_gb > 0)
        count = MIN(count,
                    floor(available->memory_gb / spec->memory_gb + LMN_RESOURCE_EPSILON));
    return count;
}

/** Moves what a task asks for from `available`. */
static inline void lmn_resources_subtract_task(struct lmn_resources *available,
                                               const struct lmn_job_spec *spec)
{
    available->cpus -= spec->cpus;
    available->gpus -= spec->gpus;
    available->memory_gb -= spec->memory_gb;
}

/** Gives back what a task asked for. */
static inline void lmn_resources_add_task(struct lmn_resources *available,
                                          const struct lmn_job_spec *spec)
{
    available->cpus += spec->cpus;
    available->gpus += spec->gpus;
    available->memory_gb += spec->memory_gb;
}

#endif
