/**
 * @file
 * Images: directories of files that tasks use. In the image store an image is a name
 * bound to a blob, which lists the files with their modes and the digests of their
 * pieces. Each piece of a file is a blob, too. There is no shared state; the caller owns
 * the HTTP client and the directories.
 */
#ifndef LMN_IMAGE_STORE_IMAGE_H
#define LMN_IMAGE_STORE_IMAGE_H

#include "image_store/image_store.h"

#include <stdbool.h>

/**
 * Whether the text is a valid image name: 1 to 120 ASCII letters, digits, '-', '_' and
 * '.', not beginning with '.'. The name is also used as the name of a directory.
 */
bool lmn_image_name_is_valid(const char *name);

/**
 * Uploads a directory and binds the name to it. Only regular files and directories are
 * accepted; for anything else, such as a link or a device, the call fails and `error`
 * names its path.
 * @param bytes  receives the total size of the files that were read.
 * @return 0, or -1 with `error` filled in.
 */
int lmn_image_put(struct lmn_http_client *client, const char *name, const char *dir,
                  uint64_t *bytes, struct lmn_image_store_error *error);

/**
 * Downloads an image into a directory that must not exist. The directory appears when it
 * is complete, or not at all; until then the files are in "DIR.part".
 * @param bytes_per_s   limit of the average rate; 0 for no limit.
 * @param should_continue  called before each piece; the download fails if it returns
 *                      false. May be NULL.
 * @param argument      passed to `should_continue`.
 * @param bytes         receives the total size of the files, on success.
 * @return 0, or -1 with `error` filled in.
 */
int lmn_image_get(struct lmn_http_client *client, const char *name, const char *dir,
                  double bytes_per_s, bool (*should_continue)(void *argument),
                  void *argument, uint64_t *bytes, struct lmn_image_store_error *error);

#endif
