/** @file
 * The images that are cached on a real machine: directories below "images", fetched from
 * the image store. The size of an image that was fetched to its end lies in a file below
 * "sizes"; a directory without one is not whole. */
#ifndef LMN_WORKER_IMAGES_H
#define LMN_WORKER_IMAGES_H

#include "worker/worker_state.h"

/** The directory of an image. The caller frees it. */
char *lmn_image_directory(const struct lmn_worker *worker, const char *image);

/** Finds the images that earlier processes have fetched, and removes those that are not
 * whole. Before the threads start. */
void lmn_images_load_cached(struct lmn_worker *worker);

/** Fetches images that are queued, for ever (a thread).
 * @param worker struct lmn_worker */
void *lmn_image_thread(void *worker);

#endif
