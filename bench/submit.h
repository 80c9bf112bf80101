/* A job as the measuring programs that run a site submit it. */
#ifndef LMN_BENCH_SUBMIT_H
#define LMN_BENCH_SUBMIT_H

#include "util/thread.h"
#include "protocol/wire.h"
#include "image_store/image_store.h"
#include "image_store/work.h"

/* Puts what its tasks run (argv, with env) into the depot, however long that is down; the
 * body of the submission, the caller's. Tasks of a processor each, team t. */
static inline GByteArray *bench_describe(struct lmn_http_client *depot, const char *ref,
                                         uint32_t tasks, double estimate_s, char **argv,
                                         char **env)
{
    struct lmn_task_command w = {.argv = argv, .env = env};
    struct lmn_image_store_error e;
    char digest[LMN_DIGEST_SIZE];

    w.spec = (struct lmn_job_spec){.class_name = (char *)"c",
                                   .team = (char *)"t",
                                   .image = (char *)LMN_EMPTY_IMAGE_NAME,
                                   .priority = LMN_PRIORITY_NORMAL,
                                   .tasks = tasks,
                                   .cpus = 1,
                                   .memory_gb = 0.1,
                                   .estimate_s = estimate_s,
                                   .deadline_s = -1};
    g_strlcpy(w.spec.id, ref, sizeof w.spec.id);
    GByteArray *blob = lmn_task_command_encode(&w), *body = g_byte_array_new();
    while (lmn_image_store_put(depot, blob, digest, &e) != 0 ||
           lmn_image_store_bind(depot, LMN_IMAGE_STORE_KIND_JOB, ref, digest, &e) != 0)
        lmn_sleep(0.1);
    g_byte_array_unref(blob);
    lmn_cbor_put_map(body, lmn_job_spec_pair_count());
    lmn_job_spec_write(body, &w.spec);
    return body;
}

#endif
