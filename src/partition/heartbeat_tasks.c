/* Applies a heartbeat's task list to the owner's state. The caller holds the core's lock
 * for all functions. */
#include "partition/heartbeat_tasks.h"

#include "partition/machine_attempts.h"
#include "partition/range.h"
#include "protocol/wire.h"
#include "scheduler/queue.h"
#include "state/fencing_token.h"
#include "state/task_ledger.h"
#include "util/log.h"

#include <string.h>

/* --- unknown attempts --- */

/* The machine's attempt with the reported job, task index and attempt number; NULL if it
 * is unknown. */
static struct lmn_attempt *find_attempt(struct lmn_machine *machine,
                                        const struct lmn_attempt *reported)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (attempt->number == reported->number && attempt->index == reported->index &&
            !strcmp(attempt->job_id, reported->job_id))
            return attempt;
    }
    return NULL;
}

/* Marks the attempt's task as started, if the task was queued until now. Otherwise the
 * task is done, closed or started elsewhere: the attempt's range is set to NULL, so that
 * the attempt is killed. */
static void claim_task(struct lmn_attempt *attempt)
{
    struct lmn_range *range = attempt->range;

    if (range && range->task_states[attempt->index - range->first] == LMN_TASK_QUEUED) {
        range->task_states[attempt->index - range->first] = LMN_TASK_STARTED;
        range->started_count++;
    } else {
        attempt->range = NULL;
    }
}

/* Adds an attempt that a previous owner started under an earlier epoch; or one that this
 * owner has removed, and that a worker has begun again all the same. */
static struct lmn_attempt *adopt_attempt(struct lmn_core *core,
                                         struct lmn_machine *machine,
                                         const struct lmn_attempt *reported,
                                         struct timespec now)
{
    struct lmn_attempt attempt = {.index = reported->index,
                                  .number = reported->number,
                                  .state = reported->state,
                                  .started_at = now};

    g_strlcpy(attempt.job_id, reported->job_id, sizeof attempt.job_id);
    if (lmn_attempt_is_of_ownership(reported->number, &machine->partition->ownership)) {
        attempt.push_token = lmn_machine_token(machine);
        lmn_attempt_record_reappeared(core, machine, &attempt);
    }
    attempt.job = g_hash_table_lookup(core->cache.jobs, attempt.job_id);
    attempt.range =
        lmn_partition_find_range(machine->partition, attempt.job, attempt.index);
    if (attempt.state != LMN_ATTEMPT_ENDED) {
        lmn_attempt_count(machine, &attempt);
        claim_task(&attempt);
        lmn_debug("task_adopted task=%s/%u attempt=%" G_GUINT64_FORMAT
                  " machine=%s known=%d",
                  attempt.job_id, attempt.index, attempt.number, machine->name,
                  attempt.range != NULL);
    }
    g_array_append_val(machine->attempts, attempt);
    lmn_machine_mark_unreplicated(machine);
    return &g_array_index(machine->attempts, struct lmn_attempt,
                          machine->attempts->len - 1);
}

/* --- failures, attributed to jobs and machines --- */

/* Finds or adds the entry with the job's failures on the machine. */
static struct lmn_failing_job *find_or_add_failing_job(struct lmn_machine *machine,
                                                       struct lmn_job *job)
{
    struct lmn_failing_job new_entry = {.job = job};
    GArray *jobs = machine->failures.jobs;

    for (guint i = 0; i < jobs->len; i++) {
        struct lmn_failing_job *failing = &g_array_index(jobs, struct lmn_failing_job, i);
        if (failing->job == job)
            return failing;
    }
    g_array_append_val(jobs, new_entry);
    return &g_array_index(jobs, struct lmn_failing_job, jobs->len - 1);
}

/* Sum of the weights of all failures on the machine: the larger it is, the more likely
 * the machine itself is faulty. The weights are calculated again each time, since the
 * failures of a job that has failed on other machines since then weigh less. */
static double machine_failure_weight(const struct lmn_machine *machine,
                                     struct timespec now)
{
    guint machine_hash = g_str_hash(machine->name);
    double weight = 0;

    for (guint i = 0; i < machine->failures.jobs->len; i++) {
        const struct lmn_failing_job *failing =
            &g_array_index(machine->failures.jobs, struct lmn_failing_job, i);
        weight += lmn_failure_weight(&failing->job->failures, machine_hash,
                                     failing->failures, failing->last_failed_at, now);
    }
    return weight;
}

/* Quarantines the machine, and drains it if it is declared faulty. A machine on which
 * tasks fail immediately always has free capacity: without the quarantine it would take
 * the queued tasks of healthy machines one after the other, and they would fail there. */
static void quarantine_or_drain(struct lmn_core *core, struct lmn_machine *machine,
                                struct timespec now)
{
    double weight = machine_failure_weight(machine, now);

    machine->failures.quarantined_until =
        lmn_time_add(now, lmn_machine_quarantine_s(weight));
    if (!lmn_machine_is_faulty(weight) || machine->lifecycle.is_draining)
        return;
    core->counters.faulty_machines++;
    lmn_info("machine_declared_faulty machine=%s jobs=%u weight=%.2f", machine->name,
             machine->failures.jobs->len, weight);
    lmn_machine_drain(core, machine, false,
                      "tasks fail on it that succeed on other machines", now);
}

/* Records a failed attempt against both its job and the machine, since either may be the
 * cause. */
static void attribute_failure(struct lmn_core *core, struct lmn_machine *machine,
                              const struct lmn_attempt *attempt, struct timespec now)
{
    struct lmn_job *job = attempt->job;

    core->counters.task_failures++;
    if (!job || job->phase != LMN_JOB_ACTIVE)
        return;
    bool was_faulty = lmn_job_is_faulty(&job->failures);
    lmn_job_record_failure(&job->failures, g_str_hash(machine->name), attempt->started_at,
                           now);
    if (!was_faulty && lmn_job_is_faulty(&job->failures)) {
        core->counters.faulty_jobs++;
        lmn_info("job_declared_faulty job=%s machines=%u proven=%d", job->spec.id,
                 job->failures.machine_count, job->failures.has_succeeded);
        lmn_reassign_job(core, job, now);
    }
    struct lmn_failing_job *failing = find_or_add_failing_job(machine, job);
    failing->failures++;
    failing->last_failed_at = now;
    quarantine_or_drain(core, machine, now);
}

/* Records a failed attempt that a previous owner kept in the machine's heartbeats because
 * it had declared the job faulty (is_kept_as_failure_evidence in heartbeat_reply.c). */
static void inherit_failure(struct lmn_core *core, const struct lmn_machine *machine,
                            struct lmn_attempt *attempt, struct timespec now)
{
    struct lmn_job *job = attempt->job;

    attempt->has_failed = true;
    if (!job || job->phase != LMN_JOB_ACTIVE)
        return;
    bool was_faulty = lmn_job_is_faulty(&job->failures);
    lmn_job_record_inherited_failure(&job->failures, g_str_hash(machine->name), now);
    if (!was_faulty && lmn_job_is_faulty(&job->failures)) {
        lmn_info("job_declared_faulty job=%s machines=%u by=predecessor", job->spec.id,
                 job->failures.machine_count);
        lmn_reassign_job(core, job, now);
    }
}

/* --- ended attempts --- */

/* Records a success: it ends the suspicion that the machine or the job is faulty. */
static void record_success(struct lmn_core *core, struct lmn_machine *machine,
                           struct lmn_job *job, struct timespec now)
{
    g_array_set_size(machine->failures.jobs, 0);
    if (!job)
        return;
    bool was_faulty = lmn_job_is_faulty(&job->failures);
    lmn_job_record_success(&job->failures);
    if (was_faulty)
        lmn_reassign_job(core, job, now);
}

static void finish_attempt(struct lmn_core *core, struct lmn_machine *machine,
                           struct lmn_attempt *attempt, struct timespec now)
{
    lmn_debug("task_done task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s after=%.1f",
              attempt->job_id, attempt->index, attempt->number, machine->name,
              lmn_time_diff_s(now, attempt->started_at));
    record_success(core, machine, attempt->job, now);
    /* An attempt without a range was to be killed, but has finished: its result is
     * recorded too. */
    if (!attempt->range)
        attempt->range =
            lmn_partition_find_range(machine->partition, attempt->job, attempt->index);
    if (attempt->range)
        lmn_task_finished(attempt->range, attempt->index, now);
}

static void fail_attempt(struct lmn_core *core, struct lmn_machine *machine,
                         struct lmn_attempt *attempt, const struct lmn_cbor_value *reason,
                         struct timespec now)
{
    struct lmn_range *range = attempt->range;

    lmn_debug("task_ended task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s why=%.*s",
              attempt->job_id, attempt->index, attempt->number, machine->name,
              reason ? (int)reason->len : 0, reason ? reason->text : "");
    attempt->has_failed = lmn_cbor_text_equals(reason, WIRE_ERROR);
    attempt->range = NULL;
    if (attempt->has_failed)
        attribute_failure(core, machine, attempt, now);
    else if (lmn_cbor_text_equals(reason, WIRE_NO_SUCH_JOB) && attempt->job)
        lmn_job_record_failure(&attempt->job->failures, g_str_hash(machine->name),
                               attempt->started_at, now);
    if (range)
        lmn_task_requeue(core, range, attempt->index, now);
}

static void end_attempt(struct lmn_core *core, struct lmn_machine *machine,
                        struct lmn_attempt *attempt, const struct lmn_cbor_value *reason,
                        struct timespec now)
{
    lmn_attempt_uncount(machine, attempt);
    lmn_machine_mark_unreplicated(machine);
    attempt->state = LMN_ATTEMPT_ENDED;
    attempt->is_done = lmn_cbor_text_equals(reason, WIRE_DONE);
    if (attempt->is_done)
        finish_attempt(core, machine, attempt, now);
    else
        fail_attempt(core, machine, attempt, reason, now);
}

/* --- entries of the task list --- */

static void log_running(const struct lmn_machine *machine,
                        const struct lmn_attempt *attempt, struct timespec now)
{
    lmn_debug("task_run_reported task=%s/%u attempt=%" G_GUINT64_FORMAT
              " machine=%s after=%.1f",
              attempt->job_id, attempt->index, attempt->number, machine->name,
              lmn_time_diff_s(now, attempt->started_at));
}

static struct lmn_attempt *find_or_adopt_attempt(struct lmn_core *core,
                                                 struct lmn_machine *machine,
                                                 const struct lmn_attempt *reported,
                                                 const struct lmn_cbor_value *reason,
                                                 struct timespec now)
{
    struct lmn_attempt *attempt = find_attempt(machine, reported);

    if (attempt)
        return attempt;
    attempt = adopt_attempt(core, machine, reported, now);
    if (reported->state == LMN_ATTEMPT_ENDED && lmn_cbor_text_equals(reason, WIRE_ERROR))
        inherit_failure(core, machine, attempt, now);
    return attempt;
}

static void apply_task(struct lmn_core *core, struct lmn_machine *machine,
                       const struct lmn_attempt *reported,
                       const struct lmn_cbor_value *reason, struct timespec now)
{
    struct lmn_attempt *attempt =
        find_or_adopt_attempt(core, machine, reported, reason, now);

    /* The worker has carried out a start, so messages reach it. */
    if (!attempt->was_reported && attempt->state == LMN_ATTEMPT_SENT)
        machine->agent.ignored_commands = 0;
    attempt->in_last_heartbeat = attempt->was_reported = true;
    attempt->from_replica = false;
    if (reported->state == LMN_ATTEMPT_ENDED) {
        /* An attempt that was recorded as ended without success may be reported as done
         * later. */
        if (attempt->state != LMN_ATTEMPT_ENDED ||
            (!attempt->is_done && lmn_cbor_text_equals(reason, WIRE_DONE)))
            end_attempt(core, machine, attempt, reason, now);
        return;
    }
    if (attempt->job)
        lmn_machine_record_image(machine, attempt->job,
                                 reported->state != LMN_ATTEMPT_FETCHING, now);
    if (reported->state == LMN_ATTEMPT_RUNNING && attempt->state != reported->state)
        log_running(machine, attempt, now);
    attempt->state = reported->state;
}

void lmn_heartbeat_apply_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *tasks, struct timespec now)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        g_array_index(machine->attempts, struct lmn_attempt, i).in_last_heartbeat = false;
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, tasks); node;
         node = lmn_cbor_next(document, node)) {
        struct lmn_attempt reported;
        if (lmn_heartbeat_parse_task(&reported, document, node))
            apply_task(core, machine, &reported,
                       lmn_cbor_get(document, node, WIRE_EXIT_REASON), now);
    }
}
