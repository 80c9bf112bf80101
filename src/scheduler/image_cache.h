/** @file
 * The owner's view of which images a machine has cached, and which it is fetching.
 *
 * It is an estimate: heartbeats correct it, and starts extend it. The worker's own cache
 * is not here. Owner of the state: the controller that owns the machine's partition
 * (lmn_machine.images); the caller holds the core's lock throughout. */
#ifndef LMN_SCHEDULER_IMAGE_CACHE_H
#define LMN_SCHEDULER_IMAGE_CACHE_H

#include "state/core_state.h"

/** Seconds for which a task of the job would wait for its image on the machine: the whole
 * fetch, what is left of one under way, or 0 if the image is cached. */
double lmn_image_fetch_s(const struct lmn_machine *machine, const struct lmn_job *job,
                         struct timespec now);

/** Whether the machine has cached the job's image, or is fetching it. */
bool lmn_machine_has_image(const struct lmn_machine *machine, const struct lmn_job *job);

/** Records that the machine uses the job's image, as the most recently used one.
 * @param is_cached the image is known to be cached; otherwise a fetch of it is under way,
 *                  or begins now */
void lmn_machine_record_image(struct lmn_machine *machine, const struct lmn_job *job,
                              bool is_cached, struct timespec now);

#endif
