/**
 * @file
 * The description of what a job's tasks run: command, environment and job specification.
 * The submitter uploads it to the image store and each worker fetches it itself, so that
 * controllers never carry it. Pure functions without shared state.
 */
#ifndef LMN_IMAGE_STORE_WORK_H
#define LMN_IMAGE_STORE_WORK_H

#include "job/job_spec.h"

/** What a task runs. lmn_task_command_clear() frees what it holds. */
struct lmn_task_command {
    struct lmn_job_spec spec;
    char **argv; /**< the command and its arguments; NULL-terminated */
    char **env;  /**< "NAME=value"; NULL-terminated */
};

/** Encodes a description as CBOR; equal descriptions have equal bytes, so that they have
 * the same digest. @return a new array, which the caller unrefs. */
GByteArray *lmn_task_command_encode(const struct lmn_task_command *command);

/**
 * Decodes and checks a description. What `command` held before is overwritten, not freed;
 * on failure it is left empty.
 * @param what  receives the name of the field that is wrong, if one is.
 * @return 0, or -1 if the bytes are no valid description.
 */
int lmn_task_command_decode(struct lmn_task_command *command, const void *bytes,
                            size_t len, const char **what);

/** Frees what a description holds and leaves it empty. */
void lmn_task_command_clear(struct lmn_task_command *command);

#endif
