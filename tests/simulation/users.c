/* Users submit, query, resubmit and cancel jobs at all controllers within
 * milliseconds. Each answer is checked against the record that the state service held
 * when the request was sent; the answers are decided by the product
 * (controller/request_decisions.h). Users have random numbers of their own, so that
 * runs without users keep their histories. */
#include "requests.h"

#include <string.h>

static struct {
    GRand *random;
    GPtrArray *requests;
    /* Until then the job is queried at all controllers in each step, as its record has
     * changed or its last task has ended. */
    double repeat_reads_until[JOBS];
    uint64_t seen_revision[JOBS]; /* of the job's record */
    bool end_seen[JOBS];          /* the end of its last task was noticed */
    /* The unanswered submission (0) and cancellation (1), and when to send the next. */
    struct request *pending[JOBS][2];
    double retry_at[JOBS][2];
} users;

static const double REPEATED_READS_S = 0.6;

static bool chance(double probability)
{
    return g_rand_double(users.random) < probability;
}

static double random_between(double from, double to)
{
    return g_rand_double_range(users.random, from, to);
}

/* --- the state service --- */

const struct stored_value *simulation_record(const char *job_id)
{
    char key[64];

    g_snprintf(key, sizeof key, "j/%s", job_id);
    const struct stored_value *record = g_hash_table_lookup(simulation.store, key);
    return record && record->value ? record : NULL;
}

void simulation_read_record(const char *job_id, struct lmn_job_read_result *reading)
{
    const struct stored_value *record = simulation_record(job_id);
    const struct job *job = &simulation.jobs[MAX(simulation_job_index(job_id), 0)];

    memset(reading, 0, sizeof *reading);
    reading->status = record ? 200 : 404;
    if (!record)
        return;
    reading->revision = record->revision;
    reading->phase = simulation_read_job(job, &reading->spec, &reading->open_ranges,
                                         &reading->accepted_at_s);
}

/* --- checks --- */

static void record_violation(const struct request *request, enum rule rule,
                             const struct lmn_job_reply *reply)
{
    simulation.violations[rule]++;
    simulation.wrong_replies++;
    if (simulation.disabled_guard == GUARD_NONE)
        print_message("%.1f s: request for %s to n%02d (kind %d, defect %d): status %d, "
                      "phase %d; the record %s, phase %d\n",
                      simulation.now, request->job_id, request->node, request->kind,
                      request->defect, reply->status, reply->phase,
                      request->was_recorded ? "existed" : "did not exist",
                      request->recorded_phase);
}

/* Checks an answer that states the phase of a job. */
static void check_phase(const struct request *request, const struct lmn_job_reply *reply)
{
    struct job *job = request->job;

    if (!job || !job->submission_begun) {
        record_violation(request, RULE_JOB_INVENTED, reply);
        return;
    }
    if ((request->recorded_phase != LMN_JOB_ACTIVE &&
         reply->phase != request->recorded_phase) ||
        (request->returned_phase != LMN_JOB_ACTIVE &&
         reply->phase != request->returned_phase) ||
        (reply->phase == LMN_JOB_CANCELLED && !job->cancel_sent) ||
        (request->kind == CANCELLATION && reply->phase == LMN_JOB_ACTIVE))
        record_violation(request, RULE_STATE_REVERTED, reply);
    for (uint32_t k = 0; reply->phase == LMN_JOB_DONE && k < job->spec.tasks; k++)
        if (!job->done[k]) {
            record_violation(request, RULE_DONE_TOO_EARLY, reply);
            break;
        }
    job->acceptance_returned = true;
    simulation.overtaken_replies +=
        job->returned_phase != LMN_JOB_ACTIVE && reply->phase == LMN_JOB_ACTIVE;
    if (reply->phase != LMN_JOB_ACTIVE)
        job->returned_phase = reply->phase;
    if (reply->phase == LMN_JOB_CANCELLED && job->cancelled_at < 0) {
        job->cancelled_at = simulation.now;
        simulation.cancelled_jobs++;
    }
}

/* Checks an answer as it reaches its user. */
static void check_reply(const struct request *request, const struct lmn_job_reply *reply)
{
    struct job *job = request->job;

    if (!reply->status) /* the controller ended before it answered */
        return;
    simulation.replies++;
    switch (reply->status) {
    case 200:
    case 201:
        check_phase(request, reply);
        if (reply->status == 201 &&
            (request->was_recorded || request->defect != NO_DEFECT))
            /* The job was known already, or it can't be accepted. */
            record_violation(request, RULE_JOB_INVENTED, reply);
        break;
    case 404:
        if (request->was_recorded || request->was_accepted || request->kind == SUBMISSION)
            record_violation(request, RULE_JOB_FORGOTTEN, reply);
        simulation.overtaken_replies +=
            job && job->acceptance_returned && !request->was_accepted;
        break;
    case 400:
    case 422:
        if (request->was_recorded || request->was_accepted ||
            request->kind != SUBMISSION ||
            request->defect != (reply->status == 400 ? MISSING_FIELD : TOO_LARGE))
            record_violation(request, RULE_JOB_FORGOTTEN, reply);
        break;
    default:
        assert_int_equal(reply->status, 503);
        simulation.unavailable_replies++;
    }
}

/* --- requests --- */

static void digest_reply(const struct request *request, const struct lmn_job_reply *reply)
{
    GByteArray *body = reply->status ? lmn_job_reply_body(reply, request->job_id) : NULL;

    digest_message("reply", simulation.clock);
    digest_number((uint64_t)request->kind);
    digest_number((uint64_t)request->defect);
    digest_number((uint64_t)request->node);
    digest_text(request->job_id);
    digest_number((uint64_t)reply->status);
    digest_number((uint64_t)reply->retry_after);
    digest_array(body);
    if (body)
        g_byte_array_unref(body);
}

void request_return(struct request *request, const struct lmn_job_reply *reply)
{
    int job_index = request->job ? (int)(request->job - simulation.jobs) : -1;

    if (request->answered)
        return;
    request->answered = true;
    if (digest_is_open())
        digest_reply(request, reply);
    check_reply(request, reply);
    for (int k = 0; k < 2 && job_index >= 0; k++)
        if (users.pending[job_index][k] == request) {
            users.pending[job_index][k] = NULL;
            users.retry_at[job_index][k] = simulation.now + random_between(0.1, 1.5);
        }
}

void request_finish(struct request *request)
{
    const struct lmn_job_reply no_reply = {0};

    if (!request->answered)
        request_return(request, &no_reply);
    request->is_finished = true;
}

static void send(enum request_kind kind, enum defect defect, const char *job_id, int node)
{
    struct request *request = g_new0(struct request, 1);
    int job_index = simulation_job_index(job_id);
    const struct stored_value *record = simulation_record(job_id);

    request->kind = kind;
    request->defect = defect;
    request->node = node;
    request->sent_at = simulation.now;
    request->job = job_index < 0 ? NULL : &simulation.jobs[job_index];
    g_strlcpy(request->job_id, job_id, sizeof request->job_id);
    request->was_recorded = record != NULL;
    if (record) {
        struct lmn_job_read_result reading;
        simulation_read_record(job_id, &reading);
        request->recorded_phase = reading.phase;
        lmn_job_read_result_clear(&reading);
    }
    if (request->job) {
        request->was_accepted = request->job->acceptance_returned;
        request->returned_phase = request->job->returned_phase;
        request->job->cancel_sent = request->job->cancel_sent || kind == CANCELLATION;
    }
    if (kind != STATUS && request->job && defect == NO_DEFECT) {
        int pending_index = kind == CANCELLATION;
        if (!users.pending[job_index][pending_index])
            users.pending[job_index][pending_index] = request;
    }
    g_ptr_array_add(users.requests, request);
    request_handling_advance(request);
}

static int random_node(void)
{
    return g_rand_int_range(users.random, 0, simulation.layout.nodes);
}

/* --- what users do --- */

void users_begin(uint32_t seed)
{
    if (users.random)
        g_rand_free(users.random);
    memset(&users, 0, sizeof users);
    users.random = g_rand_new_with_seed(seed + 1000);
    users.requests = g_ptr_array_new();
    request_handling_begin(users.random);
}

void users_submit(struct job *job)
{
    job->submission_begun = true;
}

void users_cancel(struct job *job)
{
    job->cancel_wanted = true;
}

/* Repeats the submission and the cancellation until they are answered. */
static void repeat_until_done(struct job *job, int job_index)
{
    if (job->submission_begun && !job->acceptance_returned &&
        !users.pending[job_index][0] && simulation.now >= users.retry_at[job_index][0])
        send(SUBMISSION, NO_DEFECT, job->id, random_node());
    if (job->cancel_wanted && job->cancelled_at < 0 && !job->recorded_done &&
        !users.pending[job_index][1] && simulation.now >= users.retry_at[job_index][1])
        send(CANCELLATION, NO_DEFECT, job->id, random_node());
}

/* Begins repeated queries when the job's record has changed, and when its last task
 * has ended. */
static void notice_changes(struct job *job, int job_index)
{
    const struct stored_value *record = simulation_record(job->id);
    bool all_done = job->submitted && job->spec.kind == LMN_JOB_BATCH;

    if (record && record->revision != users.seen_revision[job_index]) {
        users.seen_revision[job_index] = record->revision;
        users.repeat_reads_until[job_index] = simulation.now + REPEATED_READS_S;
    }
    for (uint32_t k = 0; all_done && k < job->spec.tasks; k++)
        all_done = job->done[k];
    if (!all_done || users.end_seen[job_index])
        return;
    users.end_seen[job_index] = true;
    users.repeat_reads_until[job_index] = simulation.now + REPEATED_READS_S;
    if (simulation.now < simulation.cancel_at_end_until && chance(0.5))
        job->cancel_wanted = true;
}

static void query_all_nodes(const struct job *job, int job_index)
{
    if (simulation.now >= simulation.repeated_reads_until ||
        simulation.now >= users.repeat_reads_until[job_index])
        return;
    for (int k = 0; k < simulation.layout.nodes; k++) {
        send(STATUS, NO_DEFECT, job->id, k);
        if (job->acceptance_returned && chance(0.3))
            send(SUBMISSION, NO_DEFECT, job->id, k);
        if (job->cancel_wanted && chance(0.3))
            send(CANCELLATION, NO_DEFECT, job->id, k);
    }
}

static void send_odd_requests(const struct job *job, int job_index)
{
    static const char *const unknown_ids[] = {"run-900001", "run-000000000001",
                                              "nonsense"};
    const char *unknown_id = unknown_ids[g_rand_int_range(users.random, 0, 3)];
    int node = random_node();

    if (simulation.now >= simulation.odd_requests_until ||
        !chance(simulation.now < users.repeat_reads_until[job_index] ? 0.5 : 0.02))
        return;
    for (int k = 0; k < simulation.layout.nodes; k++)
        for (enum defect defect = MISSING_FIELD; defect < DEFECT_COUNT; defect++)
            send(SUBMISSION, defect, job->id, k);
    if (job->acceptance_returned)
        send(SUBMISSION, NO_DEFECT, job->id, node);
    if (job->recorded_done)
        send(CANCELLATION, NO_DEFECT, job->id, node);
    send(STATUS, NO_DEFECT, unknown_id, node);
    send(CANCELLATION, NO_DEFECT, unknown_id, node);
    if (lmn_job_id_is_valid(unknown_id))
        send(SUBMISSION, chance(0.5) ? MISSING_FIELD : TOO_LARGE, unknown_id, node);
}

static void advance_requests(void)
{
    request_handling_step();
    for (guint i = users.requests->len; i-- > 0;) {
        struct request *request = users.requests->pdata[i];
        if (!request->is_finished)
            request_handling_advance(request);
        if (!request->is_finished)
            continue;
        lmn_submission_clear(&request->submission);
        g_ptr_array_remove_index_fast(users.requests, i);
        g_free(request);
    }
}

void users_step(void)
{
    for (int i = 0; i < JOBS; i++) {
        struct job *job = &simulation.jobs[i];
        if (!job->submission_begun)
            continue;
        if (simulation_record(job->id))
            job->submitted = true;
        notice_changes(job, i);
        repeat_until_done(job, i);
        query_all_nodes(job, i);
        send_odd_requests(job, i);
        if (chance(0.01))
            send(STATUS, NO_DEFECT, job->id, random_node());
    }
    advance_requests();
}

void users_query_all(void)
{
    for (int i = 0; i < JOBS; i++)
        for (int k = 0;
             k < simulation.layout.nodes && simulation.jobs[i].submission_begun; k++)
            send(STATUS, NO_DEFECT, simulation.jobs[i].id, k);
    advance_requests();
}
