/**
 * @file
 * Machine types as the cloud offers them. Plain data; whoever holds a list owns and locks
 * it (a controller: struct lmn_core with its lock).
 */
#ifndef LMN_JOB_MACHINE_TYPE_H
#define LMN_JOB_MACHINE_TYPE_H

#include "config/settings.h"

#include <stddef.h>

/** Zones that are kept for a type; further ones are ignored. */
enum { LMN_MAX_ZONES = 64 };

/** What a machine of this type has and costs. */
struct lmn_machine_type {
    char name[LMN_NAME_SIZE];
    double cpus;                /**< processors */
    double gpus;                /**< GPUs */
    double memory_gb;           /**< memory, GB */
    double cache_gb;            /**< disk for images, GB */
    double pull_gb_per_s;       /**< rate at which it pulls images, GB/s */
    double price_per_hour;      /**< price of an on-demand machine for an hour */
    double spot_price_per_hour; /**< price of a spot instance for an hour */
    double boot_s; /**< time from the request until the machine is ready, seconds */
    char zones[LMN_MAX_ZONES][LMN_NAME_SIZE]; /**< zones that offer the type */
    int zone_count;
};

/** All types that are known. */
struct lmn_machine_types {
    struct lmn_machine_type *types; /**< the types, in the cloud's order */
    size_t count;                   /**< number of types in `v` */
};

#endif
