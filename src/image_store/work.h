/**
 * @file
 * A job's description: the command and environment of its tasks, and the job
 * specification. The submitter uploads it to the image store and the workers fetch it
 * from there, so that it does not pass through the controllers. Pure functions without
 * shared state.
 */
#ifndef LMN_IMAGE_STORE_WORK_H
#define LMN_IMAGE_STORE_WORK_H

#include "job/job_spec.h"

/** A job's description. lmn_task_command_clear() frees its contents. */
struct lmn_task_command {
    struct lmn_job_spec spec;
    char **argv; /**< the command and its arguments; NULL-terminated */
    char **env;  /**< "NAME=value"; NULL-terminated */
};

/** Encodes a description as CBOR. Equal descriptions give equal bytes, and so the same
 * digest in the image store. @return a new array, which the caller unrefs. */
GByteArray *lmn_task_command_encode(const struct lmn_task_command *command);

/**
 * Decodes and checks a description. The previous contents of `command` are overwritten,
 * not freed; on failure `command` is left empty.
 * @param what  receives the name of the invalid field, or "not CBOR", on failure.
 * @return 0, or -1 if the bytes are not a valid description.
 */
int lmn_task_command_decode(struct lmn_task_command *command, const void *bytes,
                            size_t len, const char **what);

/** Frees the contents of a description and leaves it empty. */
void lmn_task_command_clear(struct lmn_task_command *command);

#endif
