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

static enum lmn_attempt_state attempt_state(const struct lmn_cbor_value *n)
{
    if (lmn_cbor_text_equals(n, WIRE_ENDED))
        return LMN_ATTEMPT_ENDED;
    if (lmn_cbor_text_equals(n, WIRE_FETCHING))
        return LMN_ATTEMPT_FETCHING;
    if (lmn_cbor_text_equals(n, WIRE_SAVING))
        return LMN_ATTEMPT_SAVING;
    return LMN_ATTEMPT_RUNNING;
}

bool lmn_heartbeat_parse_task(struct lmn_attempt *a, const struct lmn_cbor_document *d,
                              const struct lmn_cbor_value *n)
{
    char task[LMN_JOB_ID_SIZE + 16], *slash;

    memset(a, 0, sizeof *a);
    if (!lmn_cbor_get_text(lmn_cbor_get(d, n, WIRE_TASK), task, sizeof task) ||
        !lmn_cbor_get_uint(lmn_cbor_get(d, n, WIRE_ATTEMPT), &a->number) ||
        !(slash = strrchr(task, '/')))
        return false;
    /* Once a number of any size, or none, named some task: "x/" was x's first. */
    size_t digits = strspn(slash + 1, "0123456789");
    if (slash == task || slash - task >= LMN_JOB_ID_SIZE || !digits || digits > 9 ||
        slash[1 + digits])
        return false;
    *slash = '\0';
    g_strlcpy(a->ref, task, sizeof a->ref);
    a->index = (uint32_t)strtoul(slash + 1, NULL, 10);
    a->state = attempt_state(lmn_cbor_get(d, n, WIRE_STATE));
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

const char *lmn_heartbeat_parse(struct lmn_heartbeat *r,
                                const struct lmn_cbor_document *d)
{
    const struct lmn_cbor_value *m = lmn_cbor_root(d);
    struct lmn_attempt a;
    char name[LMN_NAME_SIZE];

    memset(r, 0, sizeof *r);
    if (!lmn_cbor_get_text(lmn_cbor_get(d, m, WIRE_MACHINE), name, sizeof name) ||
        !is_name(name))
        return WIRE_MACHINE ": expected a name";
    g_strlcpy(r->name, name, sizeof r->name);
    if (!lmn_cbor_get_text(lmn_cbor_get(d, m, WIRE_ADDRESS), r->addr, sizeof r->addr))
        return WIRE_ADDRESS ": expected an address";
    if (!lmn_cbor_get_text(lmn_cbor_get(d, m, WIRE_MACHINE_TYPE), r->type,
                           sizeof r->type))
        return WIRE_MACHINE_TYPE ": expected a name";
    if (!lmn_cbor_get_text(lmn_cbor_get(d, m, WIRE_ZONE), r->zone, sizeof r->zone))
        return WIRE_ZONE ": expected a name";
    if (!lmn_cbor_get_uint(lmn_cbor_get(d, m, WIRE_AGENT_INCARNATION), &r->session) ||
        !r->session)
        return WIRE_AGENT_INCARNATION ": expected a count from 1 on";
    if (!lmn_cbor_get_uint(lmn_cbor_get(d, m, WIRE_SEQUENCE), &r->seq))
        return WIRE_SEQUENCE ": expected a count";
    lmn_cbor_get_bool(lmn_cbor_get(d, m, WIRE_SPOT), &r->spot);
    lmn_cbor_get_uint(lmn_cbor_get(d, m, WIRE_FENCING_TOKEN), &r->token);
    r->noticed =
        lmn_cbor_get_number(lmn_cbor_get(d, m, WIRE_SPOT_NOTICE_S), &r->notice_s);
    r->tasks = lmn_cbor_get(d, m, WIRE_TASKS);
    if (r->tasks && r->tasks->type != LMN_CBOR_ARRAY)
        return WIRE_TASKS ": expected a list";
    /* One entry that can't be read, and the task that it is about would count as gone. */
    for (const struct lmn_cbor_value *n = lmn_cbor_first_child(d, r->tasks); n;
         n = lmn_cbor_next(d, n))
        if (!lmn_heartbeat_parse_task(&a, d, n))
            return WIRE_TASKS
                ": expected a task, as in run-000412/3, and an attempt in each";
    return NULL;
}

static struct lmn_attempt *find(struct lmn_machine *m, const char *ref, uint32_t index,
                                uint64_t number)
{
    for (guint i = 0; i < m->attempts->len; i++) {
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (a->number == number && a->index == index && !strcmp(a->ref, ref))
            return a;
    }
    return NULL;
}

/* A task that we did not start in this term: a predecessor's. */
static struct lmn_attempt *adopt(struct lmn_core *c, struct lmn_machine *m,
                                 const char *ref, uint32_t index, uint64_t number,
                                 enum lmn_attempt_state state, struct timespec now)
{
    struct lmn_attempt a = {
        .index = index, .number = number, .state = state, .since = now};

    g_strlcpy(a.ref, ref, sizeof a.ref);
    a.job = g_hash_table_lookup(c->jobs, ref);
    a.range = lmn_partition_find_range(m->part, a.job, index);
    if (state != LMN_ATTEMPT_ENDED) {
        lmn_attempt_count(m, &a);
        if (a.range && a.range->st[index - a.range->lo] == LMN_TASK_QUEUED) {
            a.range->st[index - a.range->lo] = LMN_TASK_STARTED;
            a.range->nstarted++;
        } else {
            a.range = NULL; /* done, closed or started elsewhere: it has to go */
        }
        lmn_debug("task-adopt task=%s/%u attempt=%" G_GUINT64_FORMAT
                  " machine=%s known=%d",
                  ref, index, number, m->name, a.range != NULL);
    }
    g_array_append_val(m->attempts, a);
    lmn_machine_mark_unreplicated(m);
    return &g_array_index(m->attempts, struct lmn_attempt, m->attempts->len - 1);
}

static struct lmn_failing_job *accuser(struct lmn_machine *m, struct lmn_job *j)
{
    struct lmn_failing_job new = {.job = j};

    for (guint i = 0; i < m->accusers->len; i++) {
        struct lmn_failing_job *x =
            &g_array_index(m->accusers, struct lmn_failing_job, i);
        if (x->job == j)
            return x;
    }
    g_array_append_val(m->accusers, new);
    return &g_array_index(m->accusers, struct lmn_failing_job, m->accusers->len - 1);
}

/* A task has failed: at the fault of its job, or of the machine. What its job says counts
 * as it stands now: one that has failed elsewhere meanwhile takes its word back. */
static void attribute_failure(struct lmn_core *c, struct lmn_machine *m,
                              struct lmn_attempt *a, struct timespec now)
{
    struct lmn_job *j = a->job;
    guint where = g_str_hash(m->name);
    double sum = 0;

    c->count.failures++;
    if (!j || j->phase != LMN_JOB_ACTIVE)
        return;
    bool was = lmn_job_is_faulty(&j->failures);
    lmn_job_record_failure(&j->failures, where, a->since, now);
    if (!was && lmn_job_is_faulty(&j->failures)) {
        c->count.accused++;
        lmn_info("job-accused job=%s machines=%u proven=%d", j->spec.ref,
                 j->failures.places, j->failures.proven);
        lmn_reassign_job(c, j, now);
    }
    struct lmn_failing_job *x = accuser(m, j);
    x->times++;
    x->last = now;
    for (guint i = 0; i < m->accusers->len; i++) {
        x = &g_array_index(m->accusers, struct lmn_failing_job, i);
        sum += lmn_failure_weight(&x->job->failures, where, x->times, x->last, now);
    }
    /* One whose tasks fail at once has room at once: it would empty healthy queues into
     * failures. */
    m->hold = lmn_time_add(now, lmn_machine_quarantine_s(sum));
    if (lmn_machine_is_faulty(sum) && !m->retiring) {
        c->count.faulty++;
        lmn_info("machine-accused machine=%s jobs=%u weight=%.2f", m->name,
                 m->accusers->len, sum);
        lmn_machine_drain(c, m, false, "tasks fail on it that succeed elsewhere", now);
    }
}

/* What a predecessor has left in the reports: it had accused the job. */
static void had_failed(struct lmn_core *c, struct lmn_machine *m, struct lmn_attempt *a,
                       struct timespec now)
{
    struct lmn_job *j = a->job;

    a->failed = true;
    if (!j || j->phase != LMN_JOB_ACTIVE)
        return;
    bool was = lmn_job_is_faulty(&j->failures);
    lmn_job_record_inherited_failure(&j->failures, g_str_hash(m->name), now);
    if (!was && lmn_job_is_faulty(&j->failures)) {
        lmn_info("job-accused job=%s machines=%u by=predecessor", j->spec.ref,
                 j->failures.places);
        lmn_reassign_job(c, j, now);
    }
}

static void ended(struct lmn_core *c, struct lmn_machine *m, struct lmn_attempt *a,
                  const struct lmn_cbor_document *d, const struct lmn_cbor_value *n,
                  struct timespec now)
{
    const struct lmn_cbor_value *why = lmn_cbor_get(d, n, WIRE_EXIT_REASON);
    struct lmn_range *r = a->range;

    lmn_attempt_uncount(m, a);
    lmn_machine_mark_unreplicated(m);
    a->state = LMN_ATTEMPT_ENDED;
    a->done = lmn_cbor_text_equals(why, WIRE_DONE);
    if (a->done) {
        lmn_debug("task-done task=%s/%u attempt=%" G_GUINT64_FORMAT
                  " machine=%s after=%.1f",
                  a->ref, a->index, a->number, m->name, lmn_time_diff_s(now, a->since));
        g_array_set_size(m->accusers, 0);
        if (a->job) {
            bool was = lmn_job_is_faulty(&a->job->failures);
            lmn_job_record_success(&a->job->failures);
            if (was)
                lmn_reassign_job(c, a->job, now);
        }
        if (!r)
            r = a->range = lmn_partition_find_range(m->part, a->job, a->index);
        if (r)
            lmn_task_finished(r, a->index, now);
        return;
    }
    lmn_debug("task-ended task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s why=%.*s",
              a->ref, a->index, a->number, m->name, why ? (int)why->len : 0,
              why ? why->s : "");
    a->failed = lmn_cbor_text_equals(why, WIRE_ERROR);
    a->range = NULL;
    if (a->failed)
        attribute_failure(c, m, a, now);
    else if (lmn_cbor_text_equals(why, WIRE_NO_SUCH_JOB) && a->job)
        lmn_job_record_failure(&a->job->failures, g_str_hash(m->name), a->since, now);
    if (r)
        lmn_task_requeue(c, r, a->index, now);
}

bool lmn_machine_is_empty(const struct lmn_machine *m)
{
    for (guint i = 0; i < m->attempts->len; i++) {
        const struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        bool live = a->job && a->job->phase == LMN_JOB_ACTIVE && a->range;
        if (a->state != LMN_ATTEMPT_ENDED ||
            (a->done && live && !lmn_bitset_get(a->range->done, a->index - a->range->lo)))
            return false;
    }
    return true;
}

void lmn_heartbeat_apply_tasks(struct lmn_core *c, struct lmn_machine *m,
                               const struct lmn_cbor_document *d,
                               const struct lmn_cbor_value *tasks, struct timespec now)
{
    for (guint i = 0; i < m->attempts->len; i++)
        g_array_index(m->attempts, struct lmn_attempt, i).seen = false;
    for (const struct lmn_cbor_value *n = lmn_cbor_first_child(d, tasks); n;
         n = lmn_cbor_next(d, n)) {
        struct lmn_attempt x;
        if (!lmn_heartbeat_parse_task(&x, d, n))
            continue;
        struct lmn_attempt *a = find(m, x.ref, x.index, x.number);
        if (!a) {
            a = adopt(c, m, x.ref, x.index, x.number, x.state, now);
            if (x.state == LMN_ATTEMPT_ENDED &&
                lmn_cbor_text_equals(lmn_cbor_get(d, n, WIRE_EXIT_REASON), WIRE_ERROR))
                had_failed(c, m, a, now);
        }
        /* It has taken an order of ours: the way there is open. */
        if (!a->listed && a->state == LMN_ATTEMPT_SENT)
            m->unheeded = 0;
        a->seen = a->listed = true;
        a->told = false;
        if (a->job && x.state != LMN_ATTEMPT_ENDED)
            lmn_machine_record_image(m, a->job, x.state != LMN_ATTEMPT_FETCHING, now);
        if (x.state == LMN_ATTEMPT_ENDED) {
            if (a->state != LMN_ATTEMPT_ENDED ||
                (!a->done &&
                 lmn_cbor_text_equals(lmn_cbor_get(d, n, WIRE_EXIT_REASON), WIRE_DONE)))
                ended(c, m, a, d, n, now);
        } else {
            if (x.state == LMN_ATTEMPT_RUNNING && a->state != x.state)
                lmn_debug("task-run task=%s/%u attempt=%" G_GUINT64_FORMAT
                          " machine=%s after=%.1f",
                          a->ref, a->index, a->number, m->name,
                          lmn_time_diff_s(now, a->since));
            a->state = x.state;
        }
    }
}

void lmn_attempt_vanished(struct lmn_core *c, struct lmn_machine *m, guint i,
                          struct timespec now)
{
    struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
    struct lmn_attempt gone = *a;

    lmn_attempt_uncount(m, a);
    lmn_machine_mark_unreplicated(m);
    g_array_remove_index_fast(m->attempts, i);
    if (gone.state != LMN_ATTEMPT_ENDED) {
        lmn_debug("task-vanished task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s",
                  gone.ref, gone.index, gone.number, m->name);
        lmn_task_requeue(c, gone.range, gone.index, now);
    }
}
