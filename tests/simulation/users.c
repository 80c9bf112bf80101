/* Users: they submit, ask, repeat and cancel at all controllers, within milliseconds, and
 * each answer is held to what the state service's record was when its request was sent.
 * What is answered is decided by the product (controller/request_decisions.h). Users have
 * random numbers of their own: days without them keep their histories. */
#include "requests.h"

#include <string.h>

static struct {
    GRand *r;
    GPtrArray *requests;
    /* a step may bring so many close looks at a job whose record has changed */
    double hot_until[JOBS];
    uint64_t seen[JOBS];
    bool ending[JOBS]; /* the end of its last task was noticed */
    double retry[JOBS][2];
    struct request *pending[JOBS][2]; /* the submission, the cancellation */
} users;

static const double HOT_S = 0.6;

static bool chance(double p)
{
    return g_rand_double(users.r) < p;
}

static double between(double from, double to)
{
    return g_rand_double_range(users.r, from, to);
}

/* --- the state service --- */

const struct item *simulation_record(const char *ref)
{
    char key[64];

    g_snprintf(key, sizeof key, "j/%s", ref);
    const struct item *it = g_hash_table_lookup(simulation.store, key);
    return it && it->value ? it : NULL;
}

void simulation_read_record(const char *ref, struct lmn_job_reading *reading)
{
    const struct item *it = simulation_record(ref);
    const struct job *job = &simulation.jobs[MAX(simulation_job_index(ref), 0)];

    memset(reading, 0, sizeof *reading);
    reading->status = it ? 200 : 404;
    if (!it)
        return;
    reading->revision = it->rev;
    reading->phase = simulation_read_job(job, &reading->spec, &reading->open_ranges,
                                         &reading->accepted_at_s);
}

/* --- checking --- */

static void wrong(const struct request *q, enum rule rule,
                  const struct lmn_job_reply *reply)
{
    simulation.violations[rule]++;
    simulation.answers_back++;
    if (simulation.disabled_guard == GUARD_NONE)
        print_message("%.1f: %s asked of n%02d (kind %d, form %d): %d, phase %d; the "
                      "record was %s, phase %d\n",
                      simulation.now, q->ref, q->node, q->kind, q->form, reply->status,
                      reply->phase, q->recorded ? "there" : "not there", q->phase);
}

/* A state was told. */
static void check_state(const struct request *q, const struct lmn_job_reply *reply)
{
    struct job *job = q->job;

    if (!job || !job->offered) {
        wrong(q, RULE_JOB_INVENTED, reply);
        return;
    }
    if ((q->phase != LMN_JOB_ACTIVE && reply->phase != q->phase) ||
        (q->told != LMN_JOB_ACTIVE && reply->phase != q->told) ||
        (reply->phase == LMN_JOB_CANCELLED && !job->cancel_asked) ||
        (q->kind == CANCELLATION && reply->phase == LMN_JOB_ACTIVE))
        wrong(q, RULE_STATE_REVERTED, reply);
    for (uint32_t k = 0; reply->phase == LMN_JOB_DONE && k < job->spec.tasks; k++)
        if (!job->done[k]) {
            wrong(q, RULE_DONE_TOO_EARLY, reply);
            break;
        }
    job->accepted = true;
    simulation.answers_overtaken +=
        job->told != LMN_JOB_ACTIVE && reply->phase == LMN_JOB_ACTIVE;
    if (reply->phase != LMN_JOB_ACTIVE)
        job->told = reply->phase;
    if (reply->phase == LMN_JOB_CANCELLED && job->cancelled_at < 0) {
        job->cancelled_at = simulation.now;
        simulation.cancelled++;
    }
}

/* An answer has reached its user. */
static void receive(const struct request *q, const struct lmn_job_reply *reply)
{
    struct job *job = q->job;

    if (!reply->status) /* none */
        return;
    simulation.answers++;
    switch (reply->status) {
    case 200:
    case 201:
        check_state(q, reply);
        if (reply->status == 201 && (q->recorded || q->form != SOUND))
            wrong(q, RULE_JOB_INVENTED, reply); /* it was known, or can't be accepted */
        break;
    case 404:
        if (q->recorded || q->accepted || q->kind == SUBMISSION)
            wrong(q, RULE_JOB_FORGOTTEN, reply);
        simulation.answers_overtaken += job && job->accepted && !q->accepted;
        break;
    case 400:
    case 422:
        if (q->recorded || q->accepted || q->kind != SUBMISSION ||
            q->form != (reply->status == 400 ? LACKS_FIELD : FITS_NOWHERE))
            wrong(q, RULE_JOB_FORGOTTEN, reply);
        break;
    default:
        assert_int_equal(reply->status, 503);
        simulation.answers_none++;
    }
}

/* --- requests --- */

static void digest_reply(const struct request *q, const struct lmn_job_reply *reply)
{
    GByteArray *body = reply->status ? lmn_job_reply_body(reply, q->ref) : NULL;

    digest_message("reply", simulation.clock);
    digest_number((uint64_t)q->kind);
    digest_number((uint64_t)q->form);
    digest_number((uint64_t)q->node);
    digest_text(q->ref);
    digest_number((uint64_t)reply->status);
    digest_number((uint64_t)reply->retry_after);
    digest_array(body);
    if (body)
        g_byte_array_unref(body);
}

void request_return(struct request *q, const struct lmn_job_reply *reply)
{
    int i = q->job ? (int)(q->job - simulation.jobs) : -1;

    if (q->answered)
        return;
    q->answered = true;
    if (digest_is_open())
        digest_reply(q, reply);
    receive(q, reply);
    for (int k = 0; k < 2 && i >= 0; k++)
        if (users.pending[i][k] == q) {
            users.pending[i][k] = NULL;
            users.retry[i][k] = simulation.now + between(0.1, 1.5);
        }
}

void request_finish(struct request *q)
{
    const struct lmn_job_reply nobody = {0};

    if (!q->answered)
        request_return(q, &nobody);
    q->over = true;
}

static void send(enum request_kind kind, enum form form, const char *ref, int node)
{
    struct request *q = g_new0(struct request, 1);
    int i = simulation_job_index(ref);
    const struct item *it = simulation_record(ref);

    q->kind = kind;
    q->form = form;
    q->node = node;
    q->sent = simulation.now;
    q->job = i < 0 ? NULL : &simulation.jobs[i];
    g_strlcpy(q->ref, ref, sizeof q->ref);
    q->recorded = it != NULL;
    if (it) {
        struct lmn_job_reading now;
        simulation_read_record(ref, &now);
        q->phase = now.phase;
        lmn_job_reading_clear(&now);
    }
    if (q->job) {
        q->accepted = q->job->accepted;
        q->told = q->job->told;
        q->job->cancel_asked = q->job->cancel_asked || kind == CANCELLATION;
    }
    if (kind != STATUS && q->job && form == SOUND) {
        int which = kind == CANCELLATION;
        if (!users.pending[i][which])
            users.pending[i][which] = q;
    }
    g_ptr_array_add(users.requests, q);
    request_handling_advance(q);
}

static int any_node(void)
{
    return g_rand_int_range(users.r, 0, simulation.layout.nodes);
}

/* --- what users do --- */

void users_begin(uint32_t seed)
{
    if (users.r)
        g_rand_free(users.r);
    memset(&users, 0, sizeof users);
    users.r = g_rand_new_with_seed(seed + 1000);
    users.requests = g_ptr_array_new();
    request_handling_begin(users.r);
}

void users_submit(struct job *job)
{
    job->offered = true;
}

void users_cancel(struct job *job)
{
    job->cancel_wanted = true;
}

/* Submissions and cancellations are repeated until they are answered. */
static void insist(struct job *job, int i)
{
    if (job->offered && !job->accepted && !users.pending[i][0] &&
        simulation.now >= users.retry[i][0])
        send(SUBMISSION, SOUND, job->id, any_node());
    if (job->cancel_wanted && job->cancelled_at < 0 && !job->told_done &&
        !users.pending[i][1] && simulation.now >= users.retry[i][1])
        send(CANCELLATION, SOUND, job->id, any_node());
}

/* A job is looked at closely when its record has changed, and as its last task ends. */
static void notice(struct job *job, int i)
{
    const struct item *it = simulation_record(job->id);
    bool all = job->submitted && job->spec.kind == LMN_JOB_BATCH;

    if (it && it->rev != users.seen[i]) {
        users.seen[i] = it->rev;
        users.hot_until[i] = simulation.now + HOT_S;
    }
    for (uint32_t k = 0; all && k < job->spec.tasks; k++)
        all = job->done[k];
    if (!all || users.ending[i])
        return;
    users.ending[i] = true;
    users.hot_until[i] = simulation.now + HOT_S;
    if (simulation.now < simulation.cancel_at_end_until && chance(0.5))
        job->cancel_wanted = true;
}

static void look_closely(const struct job *job, int i)
{
    if (simulation.now >= simulation.repeated_reads_until ||
        simulation.now >= users.hot_until[i])
        return;
    for (int k = 0; k < simulation.layout.nodes; k++) {
        send(STATUS, SOUND, job->id, k);
        if (job->accepted && chance(0.3))
            send(SUBMISSION, SOUND, job->id, k);
        if (job->cancel_wanted && chance(0.3))
            send(CANCELLATION, SOUND, job->id, k);
    }
}

static void ask_oddly(const struct job *job, int i)
{
    static const char *const strange[] = {"run-900001", "run-000000000001", "nonsense"};
    const char *nobodys = strange[g_rand_int_range(users.r, 0, 3)];
    int node = any_node();

    if (simulation.now >= simulation.odd_requests_until ||
        !chance(simulation.now < users.hot_until[i] ? 0.5 : 0.02))
        return;
    for (int k = 0; k < simulation.layout.nodes; k++)
        for (enum form f = LACKS_FIELD; f < FORMS; f++)
            send(SUBMISSION, f, job->id, k);
    if (job->accepted)
        send(SUBMISSION, SOUND, job->id, node);
    if (job->told_done)
        send(CANCELLATION, SOUND, job->id, node);
    send(STATUS, SOUND, nobodys, node);
    send(CANCELLATION, SOUND, nobodys, node);
    if (lmn_job_id_is_valid(nobodys))
        send(SUBMISSION, chance(0.5) ? LACKS_FIELD : FITS_NOWHERE, nobodys, node);
}

static void go_on_with_requests(void)
{
    request_handling_step();
    for (guint i = users.requests->len; i-- > 0;) {
        struct request *q = users.requests->pdata[i];
        if (!q->over)
            request_handling_advance(q);
        if (!q->over)
            continue;
        lmn_submission_clear(&q->submission);
        g_ptr_array_remove_index_fast(users.requests, i);
        g_free(q);
    }
}

void users_step(void)
{
    for (int i = 0; i < JOBS; i++) {
        struct job *job = &simulation.jobs[i];
        if (!job->offered)
            continue;
        if (simulation_record(job->id))
            job->submitted = true;
        notice(job, i);
        insist(job, i);
        look_closely(job, i);
        ask_oddly(job, i);
        if (chance(0.01))
            send(STATUS, SOUND, job->id, any_node());
    }
    go_on_with_requests();
}

void users_query_all(void)
{
    for (int i = 0; i < JOBS; i++)
        for (int k = 0; k < simulation.layout.nodes && simulation.jobs[i].offered; k++)
            send(STATUS, SOUND, simulation.jobs[i].id, k);
    go_on_with_requests();
}
