/** @file
 * Images that a machine has cached or is fetching, as its controller knows them
 * (lmn_machine.images).
 *
 * This is an estimate of the worker's cache: starts add images, and heartbeats correct
 * it. It belongs to the controller that owns the machine's partition. The caller holds
 * the core's lock. */
#ifndef LMN_SCHEDULER_IMAGE_CACHE_H
#define LMN_SCHEDULER_IMAGE_CACHE_H

#include "state/core_state.h"

/** Seconds for which a task of the job would wait for its image on the machine: a full
 * fetch if the image is missing, the rest of a fetch that is in progress, 0 if the image
 * is cached. */
double lmn_image_fetch_s(const struct lmn_machine *machine, const struct lmn_job *job,
                         struct timespec now);

/** Whether the machine has cached the job's image, or is fetching it. */
bool lmn_machine_has_image(const struct lmn_machine *machine, const struct lmn_job *job);

/** Records that the machine uses the job's image, which becomes the most recently used.
 * @param is_cached true: the image is known to be cached; false: a fetch is in progress,
 * or begins now if the image is not in the list */
void lmn_machine_record_image(struct lmn_machine *machine, const struct lmn_job *job,
                              bool is_cached, struct timespec now);

#endif
