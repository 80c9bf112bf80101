/** @file
 * The ops of a real machine's agent (worker/agent_ops.h). */
#include "worker/agent_ops.h"
#include "image_store/image_store.h"
#include "image_store/work.h"
#include "util/log.h"
#include "worker/executor_message.h"
#include "worker/images.h"
#include "worker/results.h"
#include "worker/worker_state.h"

#include <string.h>

static const double BYTES_PER_KIB = 1024;

static void describe(void *arg, struct lmn_task_run *run)
{
    struct lmn_worker *worker = arg;
    struct lmn_fetch_request *request = g_new0(struct lmn_fetch_request, 1);

    request->id = run->id;
    g_strlcpy(request->job_id, run->job_id, sizeof request->job_id);
    g_queue_push_tail(&worker->pending, request);
}

static void fetch(void *arg, struct lmn_task_run *run)
{
    struct lmn_worker *worker = arg;
    struct lmn_fetch_request *request = g_new0(struct lmn_fetch_request, 1);
    const struct lmn_task_command *command =
        g_hash_table_lookup(worker->task_commands, run->job_id);

    request->is_image = true;
    request->name = run->image;
    request->gb = command ? command->spec.image_gb : 0;
    if (worker->cancelled_fetch == request->name)
        worker->cancelled_fetch = NULL; /* a run needs the image again */
    g_queue_push_tail(&worker->pending, request);
}

static void cancel_fetch(void *arg, const char *image)
{
    struct lmn_worker *worker = arg;

    worker->cancelled_fetch = g_intern_string(image);
}

static bool has_result(void *arg, const char *job_id, uint32_t index)
{
    return lmn_results_contain(arg, job_id, index);
}

/* The directory in which a task saves its progress; NULL if the task can't save it. The
 * caller frees it. */
static char *checkpoint_directory(const struct lmn_worker *worker,
                                  const struct lmn_task_run *run)
{
    const char *checkpoints = worker->options->checkpoints;

    if (!run->can_save || !*checkpoints)
        return NULL;
    return g_strdup_printf("%s/%s/%u", checkpoints, run->job_id, run->index);
}

/* The variables that are added to the agent's environment for a task. The caller frees
 * them with g_strfreev(). */
static char **task_environment(const struct lmn_worker *worker,
                               const struct lmn_task_command *command,
                               const struct lmn_task_run *run)
{
    GPtrArray *variables = g_ptr_array_new();
    g_autofree char *checkpoint = checkpoint_directory(worker, run);

    for (char **variable = command->env; *variable; variable++)
        g_ptr_array_add(variables, g_strdup(*variable));
    g_ptr_array_add(variables, g_strdup_printf("LEMONSPAR_JOB=%s", run->job_id));
    g_ptr_array_add(variables, g_strdup_printf("LEMONSPAR_TASK=%u", run->index));
    g_ptr_array_add(variables,
                    g_strdup_printf("LEMONSPAR_TASKS=%u", command->spec.tasks));
    g_ptr_array_add(
        variables, g_strdup_printf("LEMONSPAR_ATTEMPT=%" G_GUINT64_FORMAT, run->attempt));
    g_ptr_array_add(variables,
                    g_strdup_printf("LEMONSPAR_MACHINE=%s", worker->options->name));
    g_ptr_array_add(variables,
                    g_strdup_printf("LEMONSPAR_ZONE=%s", worker->options->zone));
    if (strcmp(run->image, LMN_EMPTY_IMAGE_NAME) != 0) {
        g_autofree char *image = lmn_image_directory(worker, run->image);
        g_ptr_array_add(variables, g_strdup_printf("LEMONSPAR_IMAGE=%s", image));
    }
    if (checkpoint)
        g_ptr_array_add(variables,
                        g_strdup_printf("LEMONSPAR_CHECKPOINT=%s", checkpoint));
    g_ptr_array_add(variables, NULL);
    return (char **)g_ptr_array_free(variables, FALSE);
}

static void start(void *arg, struct lmn_task_run *run)
{
    struct lmn_worker *worker = arg;
    const struct lmn_task_command *command =
        g_hash_table_lookup(worker->task_commands, run->job_id);
    uint64_t log_bytes = (uint64_t)(worker->options->log_kb * BYTES_PER_KIB);

    /* The description was in memory when the image was requested. If it has been dropped
     * since then, fetch it again. */
    if (!command) {
        run->state = LMN_RUN_DESCRIBING;
        describe(arg, run);
        return;
    }
    g_auto(GStrv) environment = task_environment(worker, command, run);
    char *checkpoint = checkpoint_directory(worker, run);
    if (checkpoint)
        lmn_worker_queue_executor_request(worker, NULL, checkpoint);
    char *directory = lmn_worker_run_directory(worker, run);
    GByteArray *message = lmn_executor_encode_start(run->id, command->argv, environment,
                                                    directory, log_bytes);
    lmn_worker_queue_executor_request(worker, message, directory);
    lmn_debug("task_started task=%s/%u attempt=%" G_GUINT64_FORMAT, run->job_id,
              run->index, run->attempt);
}

static void save(void *arg, struct lmn_task_run *run, double grace_s)
{
    lmn_worker_queue_executor_request(arg, lmn_executor_encode_save(run->id, grace_s),
                                      NULL);
}

static void kill_run(void *arg, struct lmn_task_run *run)
{
    lmn_worker_queue_executor_request(arg, lmn_executor_encode_kill(run->id), NULL);
}

static void kill_all(void *arg)
{
    lmn_worker_queue_executor_request(arg, lmn_executor_encode_kill_all(), NULL);
}

static void extend_lease(void *arg, struct timespec until)
{
    lmn_worker_queue_executor_request(arg, lmn_executor_encode_lease(until), NULL);
}

const struct lmn_agent_ops lmn_worker_agent_ops = {
    .describe = describe,
    .fetch = fetch,
    .cancel_fetch = cancel_fetch,
    .has_result = has_result,
    .start = start,
    .save = save,
    .kill = kill_run,
    .kill_all = kill_all,
    .extend_lease = extend_lease,
};
