/**
 * @file
 * Machine types that the cloud offers. Plain data without locking; in a controller the
 * list belongs to struct lmn_core and is guarded by its lock.
 */
#ifndef LMN_JOB_MACHINE_TYPE_H
#define LMN_JOB_MACHINE_TYPE_H

#include "config/settings.h"

#include <stddef.h>

/** Maximum number of zones stored for a type; further ones are ignored. */
enum { LMN_MAX_ZONES = 64 };

/** Resources and prices of machines of one type. */
struct lmn_machine_type {
    char name[LMN_NAME_SIZE];
    double cpus;                /**< processors */
    double gpus;                /**< GPUs */
    double memory_gb;           /**< memory, GB */
    double cache_gb;            /**< disk for images, GB */
    double pull_gb_per_s;       /**< rate at which a machine pulls images, GB/s */
    double price_per_hour;      /**< price of an on-demand machine for an hour */
    double spot_price_per_hour; /**< price of a spot instance for an hour */
    double boot_s; /**< time from the request until the machine is ready, seconds */
    char zones[LMN_MAX_ZONES][LMN_NAME_SIZE]; /**< zones that offer the type */
    int zone_count;
};

/** List of the known machine types. */
struct lmn_machine_types {
    struct lmn_machine_type *types; /**< the types, in the cloud's order */
    size_t count;                   /**< number of entries in `types` */
};

#endif
