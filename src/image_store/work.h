/* What a job's tasks run: uploaded by the submitter, fetched by each worker itself. */
#ifndef LMN_IMAGE_STORE_WORK_H
#define LMN_IMAGE_STORE_WORK_H

#include "job/job_spec.h"

struct lmn_task_command {
    struct lmn_job_spec spec;
    char **argv; /* the command and its arguments */
    char **env;  /* "NAME=value" */
};

/* A description's bytes, the same for the same work. */
GByteArray *lmn_task_command_encode(const struct lmn_task_command *w);
/* 0, or -1 with the field that is wrong in *what; clears what it took on failure. */
int lmn_task_command_decode(struct lmn_task_command *w, const void *bytes, size_t len,
                            const char **what);
void lmn_task_command_clear(struct lmn_task_command *w);

#endif
