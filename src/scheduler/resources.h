/** @file
 * Arithmetic on processors, GPUs and memory: what is free on a machine, and how many
 * tasks fit there.
 *
 * Pure functions. They are inline because the scheduler calls them for every machine and
 * every queue segment that it considers. */
#ifndef LMN_SCHEDULER_RESOURCES_H
#define LMN_SCHEDULER_RESOURCES_H

#include "state/core_state.h"

#include <math.h>

/** Tolerance in comparisons of resource sums. Requests are decimal fractions, which
 * doubles represent inexactly; tasks whose requests add up to a machine's capacity must
 * still fit. */
#define LMN_RESOURCE_EPSILON 1e-6

/** Upper bound of a number of fitting tasks; the result for tasks that request no
 * resources. */
#define LMN_MAX_FITTING_TASKS 1e6

/** An amount of each resource. */
struct lmn_resources {
    double cpus;
    double gpus;
    double memory_gb;
};

/** Resources of the machine that its attempts do not use. The machine's type must be
 * known. */
static inline struct lmn_resources
lmn_machine_free_resources(const struct lmn_machine *machine)
{
    return (struct lmn_resources){machine->type->cpus - machine->used.cpus,
                                  machine->type->gpus - machine->used.gpus,
                                  machine->type->memory_gb - machine->used.memory_gb};
}

/** Whether one task fits into the available resources. */
static inline bool lmn_resources_fit_task(const struct lmn_resources *available,
                                          const struct lmn_job_spec *spec)
{
    return !(available->cpus < spec->cpus - LMN_RESOURCE_EPSILON ||
             available->gpus < spec->gpus - LMN_RESOURCE_EPSILON ||
             available->memory_gb < spec->memory_gb - LMN_RESOURCE_EPSILON);
}

/** Number of tasks that fit into the available resources: a whole number, negative if a
 * resource is overcommitted. */
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

/** Subtracts the resources of one task. */
static inline void lmn_resources_subtract_task(struct lmn_resources *available,
                                               const struct lmn_job_spec *spec)
{
    available->cpus -= spec->cpus;
    available->gpus -= spec->gpus;
    available->memory_gb -= spec->memory_gb;
}

/** Adds the resources of one task. */
static inline void lmn_resources_add_task(struct lmn_resources *available,
                                          const struct lmn_job_spec *spec)
{
    available->cpus += spec->cpus;
    available->gpus += spec->gpus;
    available->memory_gb += spec->memory_gb;
}

#endif
