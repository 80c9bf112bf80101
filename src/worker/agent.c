/** @file
 * The state machine of a machine's agent (worker/agent.h).
 *
 * Two rules keep a task from running twice. A command counts only if its fencing token is
 * not lower than any that was seen, so that an owner that was replaced can't start
 * anything. And all runs end when the lease expires. Only answered heartbeats renew it,
 * from the time at which they were sent: a controller that has waited for the length of
 * a lease since it last answered knows that none of the machine's tasks still runs. */
#include "worker/agent.h"
#include "job/message_limits.h"
#include "util/clock.h"
#include "util/log.h"
#include "protocol/wire.h"

#include <stdio.h>
#include <string.h>

/* HTTP statuses of the agent's responses. */
enum {
    STATUS_OK = 200,
    STATUS_MALFORMED = 400,
    STATUS_FENCED = 409,
    STATUS_ENDING = 503,
};
/* Tolerance for sums of CPUs, GPUs and GB, which floating-point rounding may raise above
 * the machine's capacity. */
static const double CAPACITY_TOLERANCE = 1e-6;

void lmn_agent_init(struct lmn_agent *agent, const struct lmn_agent_ops *ops, void *arg,
                    uint64_t incarnation, struct timespec now)
{
    agent->ops = ops;
    agent->arg = arg;
    agent->incarnation = incarnation;
    agent->sequence = agent->fencing_token = agent->next_run_id = 0;
    agent->is_ending = agent->has_spot_notice = false;
    agent->has_unreported_change = true;
    agent->lease_from = now;
    agent->fencing_token_reported_at = (struct timespec){0, 0};
    agent->runs = g_ptr_array_new_with_free_func(g_free);
    ops->extend_lease(arg, lmn_time_add(now, agent->lease_s));
}

void lmn_agent_clear(struct lmn_agent *agent)
{
    g_ptr_array_free(agent->runs, TRUE);
}

struct lmn_task_run *lmn_agent_find_run(struct lmn_agent *agent, uint64_t id)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        struct lmn_task_run *run = agent->runs->pdata[i];
        if (run->id == id)
            return run;
    }
    return NULL;
}

/* --- commands --- */

/* Records the fencing token. A higher one makes a heartbeat due at once, but at most once
 * in half a lease: while several controllers compete for a partition, tokens rise quickly
 * and would otherwise flood the controllers with heartbeats. */
static void take_fencing_token(struct lmn_agent *agent, uint64_t token,
                               struct timespec now)
{
    if (token > agent->fencing_token &&
        lmn_time_diff_s(now, agent->fencing_token_reported_at) > agent->lease_s / 2) {
        agent->has_unreported_change = true;
        agent->fencing_token_reported_at = now;
    }
    agent->fencing_token = token;
}

static void end_run(struct lmn_agent *agent, struct lmn_task_run *run,
                    enum lmn_exit_reason reason)
{
    run->state = LMN_RUN_ENDED;
    run->exit_reason = reason;
    agent->finished += reason == LMN_EXIT_DONE;
    agent->refused += reason > LMN_EXIT_ERROR;
    agent->has_unreported_change = true;
}

/* Before the description has arrived, the resources that the run needs are unknown. */
static bool uses_capacity(const struct lmn_task_run *run)
{
    return run->is_described && run->state != LMN_RUN_ENDED;
}

static bool has_capacity_for(const struct lmn_agent *agent,
                             const struct lmn_task_run *run)
{
    double cpus = run->cpus, gpus = run->gpus, memory_gb = run->memory_gb;

    for (guint i = 0; i < agent->runs->len; i++) {
        const struct lmn_task_run *other = agent->runs->pdata[i];
        if (other == run || !uses_capacity(other))
            continue;
        cpus += other->cpus;
        gpus += other->gpus;
        memory_gb += other->memory_gb;
    }
    return cpus <= agent->type.cpus + CAPACITY_TOLERANCE &&
           gpus <= agent->type.gpus + CAPACITY_TOLERANCE &&
           memory_gb <= agent->type.memory_gb + CAPACITY_TOLERANCE;
}

/* Starts a run whose image is on the machine. A task that has already completed on this
 * machine is reported as done and does not run again. */
static void begin_run(struct lmn_agent *agent, struct lmn_task_run *run,
                      struct timespec now)
{
    run->since = now;
    agent->has_unreported_change = true;
    if (agent->ops->has_result(agent->arg, run->job_id, run->index)) {
        end_run(agent, run, LMN_EXIT_DONE);
        return;
    }
    run->state = LMN_RUN_RUNNING;
    agent->ops->start(agent->arg, run);
}

void lmn_agent_described(struct lmn_agent *agent, uint64_t id,
                         const struct lmn_job_spec *spec, struct timespec now)
{
    struct lmn_task_run *run = lmn_agent_find_run(agent, id);

    if (!run || run->state != LMN_RUN_DESCRIBING)
        return;
    if (!spec || run->index >= spec->tasks) {
        end_run(agent, run, LMN_EXIT_NO_SUCH_JOB);
        return;
    }
    run->cpus = spec->cpus;
    run->gpus = spec->gpus;
    run->memory_gb = spec->memory_gb;
    run->save_s = spec->save_s;
    run->can_save = spec->checkpoint_s > 0;
    run->image = (char *)g_intern_string(spec->image);
    if (!has_capacity_for(agent, run)) {
        end_run(agent, run, LMN_EXIT_NO_CAPACITY);
        return;
    }
    run->is_described = true;
    run->state = LMN_RUN_FETCHING;
    run->since = now;
    agent->ops->fetch(agent->arg, run);
}

void lmn_agent_fetched(struct lmn_agent *agent, const char *image, bool is_fetched,
                       struct timespec now)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        struct lmn_task_run *run = agent->runs->pdata[i];
        if (run->state != LMN_RUN_FETCHING || strcmp(run->image, image))
            continue;
        if (is_fetched)
            begin_run(agent, run, now);
        else
            end_run(agent, run, LMN_EXIT_ERROR);
    }
}

/* Cancels the fetch of the image unless a run still waits for it. */
static void cancel_fetch_if_unused(struct lmn_agent *agent, const char *image)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        const struct lmn_task_run *run = agent->runs->pdata[i];
        if (run->state == LMN_RUN_FETCHING && !strcmp(run->image, image))
            return;
    }
    agent->ops->cancel_fetch(agent->arg, image);
}

static bool is_on_machine(const struct lmn_agent *agent, const char *job_id,
                          uint32_t index)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        const struct lmn_task_run *run = agent->runs->pdata[i];
        if (run->index == index && !strcmp(run->job_id, job_id) &&
            run->state != LMN_RUN_ENDED)
            return true;
    }
    return false;
}

/* Adds a run for the command to start a task. The run is refused if another attempt at
 * the task has not ended on this machine. The command has no effect if a heartbeat could
 * not name a further run: a refusal would have to be named, too. */
static void start(struct lmn_agent *agent, const char *job_id, uint32_t index,
                  uint64_t attempt, struct timespec now)
{
    if (agent->runs->len >= LMN_MAX_MACHINE_ATTEMPTS) {
        agent->dropped_starts++;
        return;
    }
    struct lmn_task_run *run = g_new0(struct lmn_task_run, 1);
    bool is_busy = is_on_machine(agent, job_id, index);

    run->id = ++agent->next_run_id;
    g_strlcpy(run->job_id, job_id, sizeof run->job_id);
    run->index = index;
    run->attempt = attempt;
    run->since = now;
    g_ptr_array_add(agent->runs, run);
    agent->starts++;
    agent->has_unreported_change = true;
    if (is_busy)
        end_run(agent, run, LMN_EXIT_BUSY);
    else if (!lmn_job_id_is_valid(job_id)) /* the id becomes part of a path */
        end_run(agent, run, LMN_EXIT_NO_SUCH_JOB);
    else
        agent->ops->describe(agent->arg, run);
}

/* Stops a run. A running task is told to save its progress if the grace period is at
 * least the time it needs for that; otherwise it is killed. A task that is already saving
 * is only killed if the grace period is 0. */
static void stop(struct lmn_agent *agent, struct lmn_task_run *run, double grace_s)
{
    switch (run->state) {
    case LMN_RUN_DESCRIBING:
        end_run(agent, run, LMN_EXIT_STOPPED);
        return;
    case LMN_RUN_FETCHING:
        end_run(agent, run, LMN_EXIT_STOPPED);
        cancel_fetch_if_unused(agent, run->image);
        return;
    case LMN_RUN_RUNNING:
        if (run->can_save && grace_s >= run->save_s) {
            run->state = LMN_RUN_SAVING;
            agent->has_unreported_change = true;
            agent->ops->save(agent->arg, run, grace_s);
            return;
        }
        break;
    case LMN_RUN_SAVING:
        if (grace_s > 0)
            return;
        break;
    default:
        return;
    }
    run->reported_state = run->state;
    run->state = LMN_RUN_ENDING;
    agent->ops->kill(agent->arg, run);
}

static struct lmn_task_run *find_attempt(struct lmn_agent *agent, const char *job_id,
                                         uint32_t index, uint64_t attempt)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        struct lmn_task_run *run = agent->runs->pdata[i];
        if (run->attempt == attempt && run->index == index &&
            !strcmp(run->job_id, job_id))
            return run;
    }
    return NULL;
}

/* Executes one command. Malformed and outdated commands have no effect. A command may
 * arrive more than once: an attempt that is listed is not started again, and only ended
 * runs are cleared. */
static void execute_command(struct lmn_agent *agent,
                            const struct lmn_cbor_document *document,
                            const struct lmn_cbor_value *node, struct timespec now)
{
    const struct lmn_cbor_value *command = lmn_cbor_get(document, node, WIRE_COMMAND);
    char task[LMN_TASK_NAME_SIZE], *slash;
    uint64_t attempt = 0;
    double grace_s = 0;

    if (!lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_TASK), task, sizeof task) ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_ATTEMPT), &attempt) ||
        !(slash = strrchr(task, '/')) || slash - task >= LMN_JOB_ID_SIZE)
        return;
    *slash = '\0';
    uint32_t index = (uint32_t)g_ascii_strtoull(slash + 1, NULL, 10);
    struct lmn_task_run *run = find_attempt(agent, task, index, attempt);
    if (lmn_cbor_text_equals(command, WIRE_START)) {
        if (!run)
            start(agent, task, index, attempt, now);
    } else if (lmn_cbor_text_equals(command, WIRE_KILL) && run) {
        lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_GRACE_S), &grace_s);
        stop(agent, run, grace_s);
    } else if (lmn_cbor_text_equals(command, WIRE_CLEAR) && run &&
               run->state == LMN_RUN_ENDED) {
        g_ptr_array_remove(agent->runs, run);
        agent->has_unreported_change = true;
    }
}

static void execute_commands(struct lmn_agent *agent,
                             const struct lmn_cbor_document *document,
                             struct timespec now)
{
    const struct lmn_cbor_value *list =
        lmn_cbor_get(document, lmn_cbor_root(document), WIRE_COMMANDS);

    if (!list || list->type != LMN_CBOR_ARRAY)
        return;
    uint64_t dropped_before = agent->dropped_starts;
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, list); node;
         node = lmn_cbor_next(document, node))
        execute_command(agent, document, node, now);
    if (agent->dropped_starts > dropped_before)
        lmn_info("agent_starts_dropped starts=%" G_GUINT64_FORMAT " attempts=%u",
                 agent->dropped_starts - dropped_before, agent->runs->len);
}

bool lmn_agent_heartbeat_answered(struct lmn_agent *agent, uint64_t incarnation,
                                  struct timespec sent_at, const void *body, size_t len,
                                  struct timespec now)
{
    struct lmn_cbor_document document;
    uint64_t token = 0;

    /* If the process was suspended, the lease may have expired without being noticed yet:
     * then this answer must not renew it. */
    lmn_agent_check_lease(agent, now);
    if (agent->is_ending || incarnation != agent->incarnation ||
        lmn_cbor_parse(&document, body, len) != 0)
        return false;
    const struct lmn_cbor_value *root = lmn_cbor_root(&document);
    bool is_valid =
        lmn_cbor_get_uint(lmn_cbor_get(&document, root, WIRE_FENCING_TOKEN), &token) &&
        token >= agent->fencing_token;
    if (is_valid) {
        take_fencing_token(agent, token, now);
        if (lmn_time_before(agent->lease_from, sent_at))
            agent->lease_from = sent_at;
        agent->ops->extend_lease(agent->arg,
                                 lmn_time_add(agent->lease_from, agent->lease_s));
        execute_commands(agent, &document, now);
    }
    lmn_cbor_free(&document);
    return is_valid;
}

/* Writes a heartbeat as the response to a request. Unlike a heartbeat that is sent, it
 * does not renew the lease, so a heartbeat that was due at once stays due. */
static void write_response(struct lmn_agent *agent, GByteArray *out, struct timespec now)
{
    bool had_unreported_change = agent->has_unreported_change;

    lmn_agent_write_heartbeat(agent, out, now);
    agent->has_unreported_change = had_unreported_change;
}

/* Executes the commands of a request unless it is malformed, has a lower fencing token
 * than an earlier request, or is for another incarnation. Returns the HTTP status. */
static int execute_request(struct lmn_agent *agent,
                           const struct lmn_cbor_document *document, struct timespec now)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document);
    uint64_t token, incarnation;

    if (!lmn_cbor_get_uint(lmn_cbor_get(document, root, WIRE_FENCING_TOKEN), &token) ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, root, WIRE_AGENT_INCARNATION),
                           &incarnation))
        return STATUS_MALFORMED;
    if (token < agent->fencing_token || incarnation != agent->incarnation)
        return STATUS_FENCED;
    take_fencing_token(agent, token, now);
    execute_commands(agent, document, now);
    return STATUS_OK;
}

int lmn_agent_handle_commands(struct lmn_agent *agent, const void *body, size_t len,
                              GByteArray *out, struct timespec now)
{
    struct lmn_cbor_document document;

    lmn_agent_check_lease(agent, now);
    if (agent->is_ending)
        return STATUS_ENDING;
    if (lmn_cbor_parse(&document, body, len) != 0)
        return STATUS_MALFORMED;
    int status = execute_request(agent, &document, now);
    lmn_cbor_free(&document);
    if (status != STATUS_MALFORMED)
        write_response(agent, out, now);
    return status;
}

int lmn_agent_show(struct lmn_agent *agent, GByteArray *out, struct timespec now)
{
    lmn_agent_check_lease(agent, now);
    if (agent->is_ending)
        return STATUS_ENDING;
    write_response(agent, out, now);
    return STATUS_OK;
}

/* --- the ends of runs and incarnations --- */

void lmn_agent_exited(struct lmn_agent *agent, uint64_t id, bool is_done, bool is_saved,
                      struct timespec now)
{
    struct lmn_task_run *run = lmn_agent_find_run(agent, id);
    (void)now;

    if (!run || run->state == LMN_RUN_ENDED || agent->is_ending)
        return;
    bool was_commanded = run->state == LMN_RUN_SAVING || run->state == LMN_RUN_ENDING;
    run->is_saved = was_commanded && is_saved && !is_done;
    if (is_done)
        end_run(agent, run, LMN_EXIT_DONE);
    else if (was_commanded)
        end_run(agent, run, LMN_EXIT_STOPPED);
    else
        end_run(agent, run, LMN_EXIT_ERROR);
}

void lmn_agent_expire_lease(struct lmn_agent *agent, const char *why)
{
    if (agent->is_ending)
        return;
    lmn_info("agent_incarnation_ended session=%" G_GUINT64_FORMAT " tasks=%u why=\"%s\"",
             agent->incarnation, agent->runs->len, why);
    /* Until all processes of the old incarnation are gone, no heartbeat is sent and no
     * task is started: a controller could otherwise start a task that still runs. */
    agent->is_ending = true;
    agent->expired_leases++;
    g_ptr_array_set_size(agent->runs, 0);
    agent->ops->kill_all(agent->arg);
}

void lmn_agent_check_lease(struct lmn_agent *agent, struct timespec now)
{
    if (!agent->is_ending && lmn_time_diff_s(now, agent->lease_from) > agent->lease_s)
        lmn_agent_expire_lease(agent, "the lease has expired");
}

void lmn_agent_incarnation_ended(struct lmn_agent *agent, uint64_t incarnation,
                                 struct timespec now)
{
    if (!agent->is_ending)
        return;
    agent->is_ending = false;
    agent->incarnation = incarnation;
    agent->lease_from = now;
    agent->has_unreported_change = true;
    agent->ops->extend_lease(agent->arg, lmn_time_add(now, agent->lease_s));
}

void lmn_agent_spot_notice(struct lmn_agent *agent, struct timespec reclaimed_at)
{
    agent->has_spot_notice = true;
    agent->reclaimed_at = reclaimed_at;
    agent->has_unreported_change = true;
}
