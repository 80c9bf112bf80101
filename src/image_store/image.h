/* Images: directories, as lists of files whose pieces are blobs. */
#ifndef LMN_IMAGE_STORE_IMAGE_H
#define LMN_IMAGE_STORE_IMAGE_H

#include "image_store/image_store.h"

#include <stdbool.h>

/* Whether it can name an image, and so a directory: letters, digits, '-', '_', '.', not
 * at the front. */
bool lmn_image_name_is_valid(const char *name);
/* Uploads a directory under the name. bytes: its size. 0, or -1 with e. Files and
 * directories only: a link or a device is refused by name. */
int lmn_image_put(struct lmn_http_client *client, const char *name, const char *dir,
                  uint64_t *bytes, struct lmn_image_store_error *e);
/* Fetches the image into the directory, which must not exist: whole, or not there. At
 * most bytes_per_s (0: any). go_on, if given, is asked between pieces. */
int lmn_image_get(struct lmn_http_client *client, const char *name, const char *dir,
                  double bytes_per_s, bool (*go_on)(void *arg), void *arg,
                  uint64_t *bytes, struct lmn_image_store_error *e);

#endif
