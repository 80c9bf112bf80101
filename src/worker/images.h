/** @file
 * The images that are cached on a real machine: directories below "images", fetched from
 * the image store. Once an image is complete, its size in bytes is written to a file of
 * the image's name below "sizes"; an image directory without that file is incomplete. */
#ifndef LMN_WORKER_IMAGES_H
#define LMN_WORKER_IMAGES_H

#include "worker/worker_state.h"

/** Returns the path of an image's directory. The caller frees it. */
char *lmn_image_directory(const struct lmn_worker *worker, const char *image);

/** Registers the images that earlier processes have fetched, and removes incomplete ones.
 * Must be called before the threads start. */
void lmn_images_load_cached(struct lmn_worker *worker);

/** Thread function: fetches queued images; never returns.
 * @param worker struct lmn_worker */
void *lmn_image_thread(void *worker);

#endif
