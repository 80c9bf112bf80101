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
    g_strlcpy(attempt->ref, task, sizeof attempt->ref);
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
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_ADDRESS), heartbeat->addr,
                           sizeof heartbeat->addr))
        return WIRE_ADDRESS ": expected an address";
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_MACHINE_TYPE),
                           heartbeat->type, sizeof heartbeat->type))
        return WIRE_MACHINE_TYPE ": expected a name";
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_ZONE), heartbeat->zone,
                           sizeof heartbeat->zone))
        return WIRE_ZONE ": expected a name";
    if (!lmn_cbor_get_uint(lmn_cbor_get(document, map, WIRE_AGENT_INCARNATION),
                           &heartbeat->session) ||
        !heartbeat->session)
        return WIRE_AGENT_INCARNATION ": expected a count from 1 on";
    if (!lmn_cbor_get_uint(lmn_cbor_get(document, map, WIRE_SEQUENCE), &heartbeat->seq))
        return WIRE_SEQUENCE ": expected a count";
    lmn_cbor_get_bool(lmn_cbor_get(document, map, WIRE_SPOT), &heartbeat->spot);
    lmn_cbor_get_uint(lmn_cbor_get(document, map, WIRE_FENCING_TOKEN), &heartbeat->token);
    heartbeat->noticed = lmn_cbor_get_number(
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
            !strcmp(attempt->ref, ref))
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
        .index = index, .number = number, .state = state, .since = now};

    g_strlcpy(a.ref, ref, sizeof a.ref);
    a.job = g_hash_table_lookup(core->jobs, ref);
    a.range = lmn_partition_find_range(machine->part, a.job, index);
    if (state != LMN_ATTEMPT_ENDED) {
        lmn_attempt_count(machine, &a);
        if (a.range && a.range->st[index - a.range->lo] == LMN_TASK_QUEUED) {
            a.range->st[index - a.range->lo] = LMN_TASK_STARTED;
            a.range->nstarted++;
        } else {
            a.range = NULL; /* done, closed or started elsewhere: it has to go */
        }
        lmn_debug("task-adopt task=%s/%u attempt=%" G_GUINT64_FORMAT
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

    for (guint i = 0; i < machine->accusers->len; i++) {
        struct lmn_failing_job *failing =
            &g_array_index(machine->accusers, struct lmn_failing_job, i);
        if (failing->job == job)
            return failing;
    }
    g_array_append_val(machine->accusers, new);
    return &g_array_index(machine->accusers, struct lmn_failing_job,
                          machine->accusers->len - 1);
}

/* A task has failed: at the fault of its job, or of the machine. What its job says counts
 * as it stands now: one that has failed elsewhere meanwhile takes its word back. */
static void attribute_failure(struct lmn_core *core, struct lmn_machine *machine,
                              struct lmn_attempt *attempt, struct timespec now)
{
    struct lmn_job *job = attempt->job;
    guint where = g_str_hash(machine->name);
    double sum = 0;

    core->count.failures++;
    if (!job || job->phase != LMN_JOB_ACTIVE)
        return;
    bool was = lmn_job_is_faulty(&job->failures);
    lmn_job_record_failure(&job->failures, where, attempt->since, now);
    if (!was && lmn_job_is_faulty(&job->failures)) {
        core->count.accused++;
        lmn_info("job-accused job=%s machines=%u proven=%d", job->spec.ref,
                 job->failures.places, job->failures.proven);
        lmn_reassign_job(core, job, now);
    }
    struct lmn_failing_job *failing = accuser(machine, job);
    failing->times++;
    failing->last = now;
    for (guint i = 0; i < machine->accusers->len; i++) {
        failing = &g_array_index(machine->accusers, struct lmn_failing_job, i);
        sum += lmn_failure_weight(&failing->job->failures, where, failing->times,
                                  failing->last, now);
    }
    /* One whose tasks fail at once has room at once: it would empty healthy queues into
     * failures. */
    machine->hold = lmn_time_add(now, lmn_machine_quarantine_s(sum));
    if (lmn_machine_is_faulty(sum) && !machine->retiring) {
        core->count.faulty++;
        lmn_info("machine-accused machine=%s jobs=%u weight=%.2f", machine->name,
                 machine->accusers->len, sum);
        lmn_machine_drain(core, machine, false, "tasks fail on it that succeed elsewhere",
                          now);
    }
}

/* What a predecessor has left in the reports: it had accused the job. */
static void had_failed(struct lmn_core *core, struct lmn_machine *machine,
                       struct lmn_attempt *attempt, struct timespec now)
{
    struct lmn_job *job = attempt->job;

    attempt->failed = true;
    if (!job || job->phase != LMN_JOB_ACTIVE)
        return;
    bool was = lmn_job_is_faulty(&job->failures);
    lmn_job_record_inherited_failure(&job->failures, g_str_hash(machine->name), now);
    if (!was && lmn_job_is_faulty(&job->failures)) {
        lmn_info("job-accused job=%s machines=%u by=predecessor", job->spec.ref,
                 job->failures.places);
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
    attempt->done = lmn_cbor_text_equals(why, WIRE_DONE);
    if (attempt->done) {
        lmn_debug("task-done task=%s/%u attempt=%" G_GUINT64_FORMAT
                  " machine=%s after=%.1f",
                  attempt->ref, attempt->index, attempt->number, machine->name,
                  lmn_time_diff_s(now, attempt->since));
        g_array_set_size(machine->accusers, 0);
        if (attempt->job) {
            bool was = lmn_job_is_faulty(&attempt->job->failures);
            lmn_job_record_success(&attempt->job->failures);
            if (was)
                lmn_reassign_job(core, attempt->job, now);
        }
        if (!range)
            range = attempt->range =
                lmn_partition_find_range(machine->part, attempt->job, attempt->index);
        if (range)
            lmn_task_finished(range, attempt->index, now);
        return;
    }
    lmn_debug("task-ended task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s why=%.*s",
              attempt->ref, attempt->index, attempt->number, machine->name,
              why ? (int)why->len : 0, why ? why->s : "");
    attempt->failed = lmn_cbor_text_equals(why, WIRE_ERROR);
    attempt->range = NULL;
    if (attempt->failed)
        attribute_failure(core, machine, attempt, now);
    else if (lmn_cbor_text_equals(why, WIRE_NO_SUCH_JOB) && attempt->job)
        lmn_job_record_failure(&attempt->job->failures, g_str_hash(machine->name),
                               attempt->since, now);
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
            (attempt->done && live &&
             !lmn_bitset_get(attempt->range->done, attempt->index - attempt->range->lo)))
            return false;
    }
    return true;
}

void lmn_heartbeat_apply_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *tasks, struct timespec now)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        g_array_index(machine->attempts, struct lmn_attempt, i).seen = false;
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, tasks); node;
         node = lmn_cbor_next(document, node)) {
        struct lmn_attempt x;
        if (!lmn_heartbeat_parse_task(&x, document, node))
            continue;
        struct lmn_attempt *attempt = find(machine, x.ref, x.index, x.number);
        if (!attempt) {
            attempt = adopt(core, machine, x.ref, x.index, x.number, x.state, now);
            if (x.state == LMN_ATTEMPT_ENDED &&
                lmn_cbor_text_equals(lmn_cbor_get(document, node, WIRE_EXIT_REASON),
                                     WIRE_ERROR))
                had_failed(core, machine, attempt, now);
        }
        /* It has taken an order of ours: the way there is open. */
        if (!attempt->listed && attempt->state == LMN_ATTEMPT_SENT)
            machine->unheeded = 0;
        attempt->seen = attempt->listed = true;
        attempt->told = false;
        if (attempt->job && x.state != LMN_ATTEMPT_ENDED)
            lmn_machine_record_image(machine, attempt->job,
                                     x.state != LMN_ATTEMPT_FETCHING, now);
        if (x.state == LMN_ATTEMPT_ENDED) {
            if (attempt->state != LMN_ATTEMPT_ENDED ||
                (!attempt->done &&
                 lmn_cbor_text_equals(lmn_cbor_get(document, node, WIRE_EXIT_REASON),
                                      WIRE_DONE)))
                ended(core, machine, attempt, document, node, now);
        } else {
            if (x.state == LMN_ATTEMPT_RUNNING && attempt->state != x.state)
                lmn_debug("task-run task=%s/%u attempt=%" G_GUINT64_FORMAT
                          " machine=%s after=%.1f",
                          attempt->ref, attempt->index, attempt->number, machine->name,
                          lmn_time_diff_s(now, attempt->since));
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
        lmn_debug("task-vanished task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s",
                  gone.ref, gone.index, gone.number, machine->name);
        lmn_task_requeue(core, gone.range, gone.index, now);
    }
}
