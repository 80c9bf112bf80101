/** @file
 * Arithmetic on what a machine has only so much of, which are processors, GPUs, memory
 * and the number of attempts that its messages can name: what is free on a machine, and
 * how many tasks fit there.
 *
 * Pure functions. They are inline because the scheduler calls them for every machine and
 * every queue segment that it considers. */
#ifndef LMN_SCHEDULER_RESOURCES_H
#define LMN_SCHEDULER_RESOURCES_H

#include "job/message_limits.h"
#include "state/core_state.h"

#include <math.h>

/** Tolerance in comparisons of resource sums. Requests are decimal fractions, which
 * doubles represent inexactly; tasks whose requests add up to a machine's capacity must
 * still fit. */
#define LMN_RESOURCE_EPSILON 1e-6

/** Upper bound of a number of fitting tasks; the result for tasks that request no
 * resources, where their number is not limited. */
#define LMN_MAX_FITTING_TASKS 1e6

/** An amount of each resource. */
struct lmn_resources {
    double cpus;
    double gpus;
    double memory_gb;
    double tasks; /**< number of tasks, whatever they request */
};

/** Resources of an empty machine of the type. */
static inline struct lmn_resources lmn_type_resources(const struct lmn_machine_type *type)
{
    return (struct lmn_resources){type->cpus, type->gpus, type->memory_gb,
                                  LMN_MAX_MACHINE_ATTEMPTS};
}

/** Resources of the machine that its attempts do not use. Each attempt counts as a task,
 * also one that has ended, until the worker has cleared it. The machine's type must be
 * known. */
static inline struct lmn_resources
lmn_machine_free_resources(const struct lmn_machine *machine)
{
    return (struct lmn_resources){machine->type->cpus - machine->used.cpus,
                                  machine->type->gpus - machine->used.gpus,
                                  machine->type->memory_gb - machine->used.memory_gb,
                                  (double)LMN_MAX_MACHINE_ATTEMPTS -
                                      machine->attempts->len};
}

/** Whether one task fits into the available resources. */
static inline bool lmn_resources_fit_task(const struct lmn_resources *available,
                                          const struct lmn_job_spec *spec)
{
    return !(available->tasks < 1 ||
             available->cpus < spec->cpus - LMN_RESOURCE_EPSILON ||
             available->gpus < spec->gpus - LMN_RESOURCE_EPSILON ||
             available->memory_gb < spec->memory_gb - LMN_RESOURCE_EPSILON);
}

/** Number of tasks that fit into the available resources: a whole number, negative if a
 * resource is overcommitted. */
static inline double lmn_resources_task_count(const struct lmn_resources *available,
                                              const struct lmn_job_spec *spec)
{
    double count = MIN(LMN_MAX_FITTING_TASKS, available->tasks);

    if (spec->cpus > 0)
        count = MIN(count, floor(available->cpus / spec->cpus + LMN_RESOURCE_EPSILON));
    if (spec->gpus > 0)
        count = MIN(count, floor(available->gpus / spec->gpus + LMN_RESOURCE_EPSILON));
    if (spec->memory_gb > 0)
        count = MIN(count,
                    floor(available->memory_gb / spec->memory_gb + LMN_RESOURCE_EPSILON));
    return count;
}

/** Subtracts the resources of a number of tasks. */
static inline void lmn_resources_subtract_tasks(struct lmn_resources *available,
                                                double tasks,
                                                const struct lmn_job_spec *spec)
{
    available->cpus -= tasks * spec->cpus;
    available->gpus -= tasks * spec->gpus;
    available->memory_gb -= tasks * spec->memory_gb;
    available->tasks -= tasks;
}

/** Adds the resources of one task. */
static inline void lmn_resources_add_task(struct lmn_resources *available,
                                          const struct lmn_job_spec *spec)
{
    available->cpus += spec->cpus;
    available->gpus += spec->gpus;
    available->memory_gb += spec->memory_gb;
    available->tasks++;
}

#endif
