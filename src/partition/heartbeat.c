/* Reports of workers, and what they prove. */
#include "partition/worker.h"
#include "util/log.h"
#include "protocol/wire.h"
#include "scheduler/queue.h"
#include "partition/range.h"
#include "partition/worker_internal.h"
#include "state/task_ledger.h"

#include <stdlib.h>
#include <string.h>

static enum lmn_attempt_state attempt_state(const struct lmn_cbor_value *node)
{
    if (lmn_cbor_text_equals(node, WIRE_ENDED))
        return LMN_ATTEMPT_ENDED;
    if (lmn_cbor_text_equals(node, WIRE_FETCHING))
        return LMN_ATTEMPT_FETCHING;
    if (lmn_cbor_text_equals(node, WIRE_SAVING))
        return LMN_ATTEMPT_SAVING;
    return LMN_ATTEMPT_RUNNING;
}

bool lmn_heartbeat_parse_task(struct lmn_attempt *attempt,
                              const struct lmn_cbor_document *document,
                              const struct lmn_cbor_value *node)
{
    char task[LMN_JOB_ID_SIZE + 16], *slash;

    memset(attempt, 0, sizeof *attempt);
    if (!lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_TASK), task, sizeof task) ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_ATTEMPT),
                           &attempt->number) ||
        !(slash = strrchr(task, '/')))
        return false;
    /* Once a number of any size, or none, named some task: "x/" was x's first. */
    size_t digits = strspn(slash + 1, "0123456789");
    if (slash == task || slash - task >= LMN_JOB_ID_SIZE || !digits || digits > 9 ||
        slash[1 + digits])
        return false;
    *slash = '\0';
    g_strlcpy(attempt->job_id, task, sizeof attempt->job_id);
    attempt->index = (uint32_t)strtoul(slash + 1, NULL, 10);
    attempt->state = attempt_state(lmn_cbor_get(document, node, WIRE_STATE));
    return true;
}

/* It goes into keys and log lines. */
static bool is_name(const char *s)
{
    const char *at = s;

    while (g_ascii_isgraph(*at) && *at != '/')
        at++;
    return at > s && !*at;
}

const char *lmn_heartbeat_parse(struct lmn_heartbeat *heartbeat,
                                const struct lmn_cbor_document *document)
{
    const struct lmn_cbor_value *map = lmn_cbor_root(document);
    struct lmn_attempt a;
    char name[LMN_NAME_SIZE];

    memset(heartbeat, 0, sizeof *heartbeat);
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_MACHINE), name,
                           sizeof name) ||
        !is_name(name))
        return WIRE_MACHINE ": expected a name";
    g_strlcpy(heartbeat->name, name, sizeof heartbeat->name);
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_ADDRESS), heartbeat->address,
                           sizeof heartbeat->address))
        return WIRE_ADDRESS ": expected an address";
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_MACHINE_TYPE),
                           heartbeat->type, sizeof heartbeat->type))
        return WIRE_MACHINE_TYPE ": expected a name";
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_ZONE), heartbeat->zone,
                           sizeof heartbeat->zone))
        return WIRE_ZONE ": expected a name";
    if (!lmn_cbor_get_uint(lmn_cbor_get(document, map, WIRE_AGENT_INCARNATION),
                           &heartbeat->agent_incarnation) ||
        !heartbeat->agent_incarnation)
        return WIRE_AGENT_INCARNATION ": expected a count from 1 on";
    if (!lmn_cbor_get_uint(lmn_cbor_get(document, map, WIRE_SEQUENCE),
                           &heartbeat->sequence))
        return WIRE_SEQUENCE ": expected a count";
    lmn_cbor_get_bool(lmn_cbor_get(document, map, WIRE_SPOT), &heartbeat->is_spot);
    lmn_cbor_get_uint(lmn_cbor_get(document, map, WIRE_FENCING_TOKEN),
                      &heartbeat->fencing_token);
    heartbeat->has_spot_notice = lmn_cbor_get_number(
        lmn_cbor_get(document, map, WIRE_SPOT_NOTICE_S), &heartbeat->notice_s);
    heartbeat->tasks = lmn_cbor_get(document, map, WIRE_TASKS);
    if (heartbeat->tasks && heartbeat->tasks->type != LMN_CBOR_ARRAY)
        return WIRE_TASKS ": expected a list";
    /* One entry that can't be read, and the task that it is about would count as gone. */
    for (const struct lmn_cbor_value *node =
             lmn_cbor_first_child(document, heartbeat->tasks);
         node; node = lmn_cbor_next(document, node))
        if (!lmn_heartbeat_parse_task(&a, document, node))
            return WIRE_TASKS
                ": expected a task, as in run-000412/3, and an attempt in each";
    return NULL;
}

static struct lmn_attempt *find(struct lmn_machine *machine, const char *ref,
                                uint32_t index, uint64_t number)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (attempt->number == number && attempt->index == index &&
            !strcmp(attempt->job_id, ref))
            return attempt;
    }
    return NULL;
}

/* A task that we did not start in this term: a predecessor's. */
static struct lmn_attempt *adopt(struct lmn_core *core, struct lmn_machine *machine,
                                 const char *ref, uint32_t index, uint64_t number,
                                 enum lmn_attempt_state state, struct timespec now)
{
    struct lmn_attempt a = {
        .index = index, .number = number, .state = state, .started_at = now};

    g_strlcpy(a.job_id, ref, sizeof a.job_id);
    a.job = g_hash_table_lookup(core->cache.jobs, ref);
    a.range = lmn_partition_find_range(machine->partition, a.job, index);
    if (state != LMN_ATTEMPT_ENDED) {
        lmn_attempt_count(machine, &a);
        if (a.range && a.range->task_states[index - a.range->first] == LMN_TASK_QUEUED) {
            a.range->task_states[index - a.range->first] = LMN_TASK_STARTED;
            a.range->started_count++;
        } else {
            a.range = NULL; /* done, closed or started elsewhere: it has to go */
        }
        lmn_debug("task_adopted task=%s/%u attempt=%" G_GUINT64_FORMAT
                  " machine=%s known=%d",
                  ref, index, number, machine->name, a.range != NULL);
    }
    g_array_append_val(machine->attempts, a);
    lmn_machine_mark_unreplicated(machine);
    return &g_array_index(machine->attempts, struct lmn_attempt,
                          machine->attempts->len - 1);
}

static struct lmn_failing_job *accuser(struct lmn_machine *machine, struct lmn_job *job)
{
    struct lmn_failing_job new = {.job = job};

    for (guint i = 0; i < machine->failures.jobs->len; i++) {
        struct lmn_failing_job *failing =
            &g_array_index(machine->failures.jobs, struct lmn_failing_job, i);
        if (failing->job == job)
            return failing;
    }
    g_array_append_val(machine->failures.jobs, new);
    return &g_array_index(machine->failures.jobs, struct lmn_failing_job,
                          machine->failures.jobs->len - 1);
}

/* A task has failed: at the fault of its job, or of the machine. What its job says counts
 * as it stands now: one that has failed elsewhere meanwhile takes its word back. */
static void attribute_failure(struct lmn_core *core, struct lmn_machine *machine,
                              struct lmn_attempt *attempt, struct timespec now)
{
    struct lmn_job *job = attempt->job;
    guint where = g_str_hash(machine->name);
    double sum = 0;

    core->counters.task_failures++;
    if (!job || job->phase != LMN_JOB_ACTIVE)
        return;
    bool was = lmn_job_is_faulty(&job->failures);
    lmn_job_record_failure(&job->failures, where, attempt->started_at, now);
    if (!was && lmn_job_is_faulty(&job->failures)) {
        core->counters.faulty_jobs++;
        lmn_info("job_declared_faulty job=%s machines=%u proven=%d", job->spec.id,
                 job->failures.machine_count, job->failures.has_succeeded);
        lmn_reassign_job(core, job, now);
    }
    struct lmn_failing_job *failing = accuser(machine, job);
    failing->failures++;
    failing->last_failed_at = now;
    for (guint i = 0; i < machine->failures.jobs->len; i++) {
        failing = &g_array_index(machine->failures.jobs, struct lmn_failing_job, i);
        sum += lmn_failure_weight(&failing->job->failures, where, failing->failures,
                                  failing->last_failed_at, now);
    }
    /* One whose tasks fail at once has room at once: it would empty healthy queues into
     * failures. */
    machine->failures.quarantined_until =
        lmn_time_add(now, lmn_machine_quarantine_s(sum));
    if (lmn_machine_is_faulty(sum) && !machine->lifecycle.is_draining) {
        core->counters.faulty_machines++;
        lmn_info("machine_declared_faulty machine=%s jobs=%u weight=%.2f", machine->name,
                 machine->failures.jobs->len, sum);
        lmn_machine_drain(core, machine, false, "tasks fail on it that succeed elsewhere",
                          now);
    }
}

/* What a predecessor has left in the reports: it had accused the job. */
static void had_failed(struct lmn_core *core, struct lmn_machine *machine,
                       struct lmn_attempt *attempt, struct timespec now)
{
    struct lmn_job *job = attempt->job;

    attempt->has_failed = true;
    if (!job || job->phase != LMN_JOB_ACTIVE)
        return;
    bool was = lmn_job_is_faulty(&job->failures);
    lmn_job_record_inherited_failure(&job->failures, g_str_hash(machine->name), now);
    if (!was && lmn_job_is_faulty(&job->failures)) {
        lmn_info("job_declared_faulty job=%s machines=%u by=predecessor", job->spec.id,
                 job->failures.machine_count);
        lmn_reassign_job(core, job, now);
    }
}

static void ended(struct lmn_core *core, struct lmn_machine *machine,
                  struct lmn_attempt *attempt, const struct lmn_cbor_document *document,
                  const struct lmn_cbor_value *node, struct timespec now)
{
    const struct lmn_cbor_value *why = lmn_cbor_get(document, node, WIRE_EXIT_REASON);
    struct lmn_range *range = attempt->range;

    lmn_attempt_uncount(machine, attempt);
    lmn_machine_mark_unreplicated(machine);
    attempt->state = LMN_ATTEMPT_ENDED;
    attempt->is_done = lmn_cbor_text_equals(why, WIRE_DONE);
    if (attempt->is_done) {
        lmn_debug("task_done task=%s/%u attempt=%" G_GUINT64_FORMAT
                  " machine=%s after=%.1f",
                  attempt->job_id, attempt->index, attempt->number, machine->name,
                  lmn_time_diff_s(now, attempt->started_at));
        g_array_set_size(machine->failures.jobs, 0);
        if (attempt->job) {
            bool was = lmn_job_is_faulty(&attempt->job->failures);
            lmn_job_record_success(&attempt->job->failures);
            if (was)
                lmn_reassign_job(core, attempt->job, now);
        }
        if (!range)
            range = attempt->range = lmn_partition_find_range(
                machine->partition, attempt->job, attempt->index);
        if (range)
            lmn_task_finished(range, attempt->index, now);
        return;
    }
    lmn_debug("task_ended task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s why=%.*s",
              attempt->job_id, attempt->index, attempt->number, machine->name,
              why ? (int)why->len : 0, why ? why->s : "");
    attempt->has_failed = lmn_cbor_text_equals(why, WIRE_ERROR);
    attempt->range = NULL;
    if (attempt->has_failed)
        attribute_failure(core, machine, attempt, now);
    else if (lmn_cbor_text_equals(why, WIRE_NO_SUCH_JOB) && attempt->job)
        lmn_job_record_failure(&attempt->job->failures, g_str_hash(machine->name),
                               attempt->started_at, now);
    if (range)
        lmn_task_requeue(core, range, attempt->index, now);
}

bool lmn_machine_is_empty(const struct lmn_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        bool live =
            attempt->job && attempt->job->phase == LMN_JOB_ACTIVE && attempt->range;
        if (attempt->state != LMN_ATTEMPT_ENDED ||
            (attempt->is_done && live &&
             !lmn_bitset_get(attempt->range->done,
                             attempt->index - attempt->range->first)))
            return false;
    }
    return true;
}

void lmn_heartbeat_apply_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *tasks, struct timespec now)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        g_array_index(machine->attempts, struct lmn_attempt, i).in_last_heartbeat = false;
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, tasks); node;
         node = lmn_cbor_next(document, node)) {
        struct lmn_attempt x;
        if (!lmn_heartbeat_parse_task(&x, document, node))
            continue;
        struct lmn_attempt *attempt = find(machine, x.job_id, x.index, x.number);
        if (!attempt) {
            attempt = adopt(core, machine, x.job_id, x.index, x.number, x.state, now);
            if (x.state == LMN_ATTEMPT_ENDED &&
                lmn_cbor_text_equals(lmn_cbor_get(document, node, WIRE_EXIT_REASON),
                                     WIRE_ERROR))
                had_failed(core, machine, attempt, now);
        }
        /* It has taken an order of ours: the way there is open. */
        if (!attempt->was_reported && attempt->state == LMN_ATTEMPT_SENT)
            machine->agent.ignored_commands = 0;
        attempt->in_last_heartbeat = attempt->was_reported = true;
        attempt->from_replica = false;
        if (attempt->job && x.state != LMN_ATTEMPT_ENDED)
            lmn_machine_record_image(machine, attempt->job,
                                     x.state != LMN_ATTEMPT_FETCHING, now);
        if (x.state == LMN_ATTEMPT_ENDED) {
            if (attempt->state != LMN_ATTEMPT_ENDED ||
                (!attempt->is_done &&
                 lmn_cbor_text_equals(lmn_cbor_get(document, node, WIRE_EXIT_REASON),
                                      WIRE_DONE)))
                ended(core, machine, attempt, document, node, now);
        } else {
            if (x.state == LMN_ATTEMPT_RUNNING && attempt->state != x.state)
                lmn_debug("task_run_reported task=%s/%u attempt=%" G_GUINT64_FORMAT
                          " machine=%s after=%.1f",
                          attempt->job_id, attempt->index, attempt->number, machine->name,
                          lmn_time_diff_s(now, attempt->started_at));
            attempt->state = x.state;
        }
    }
}

void lmn_attempt_vanished(struct lmn_core *core, struct lmn_machine *machine, guint i,
                          struct timespec now)
{
    struct lmn_attempt *attempt =
        &g_array_index(machine->attempts, struct lmn_attempt, i);
    struct lmn_attempt gone = *attempt;

    lmn_attempt_uncount(machine, attempt);
    lmn_machine_mark_unreplicated(machine);
    g_array_remove_index_fast(machine->attempts, i);
    if (gone.state != LMN_ATTEMPT_ENDED) {
        lmn_debug("task_vanished task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s",
                  gone.job_id, gone.index, gone.number, machine->name);
        lmn_task_requeue(core, gone.range, gone.index, now);
    }
}
