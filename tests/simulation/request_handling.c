/* How controllers handle users' requests: what the threads of controller/user_api.c
 * do, using the product's decisions and its batches of reads. One thread per
 * controller reads from the state service, so a slow response delays the requests
 * queued behind it, and requests that arrive meanwhile share the next confirmation. */
#include "requests.h"
#include "controller/read_batch.h"

#include <string.h>

enum { MAX_BATCH = 48 };
/* A request that has not been answered by then is answered with 503, whatever becomes
 * of it. */
static const double REQUEST_TIMEOUT_S = 2.5;

enum stage {
    IDLE,
    CANCEL_READ,
    CANCEL_WRITE,
    CANCEL_WRITTEN,
    CONFIRM,
    CONFIRMED,
    READ,
    HAVE_READ
};

/* The thread of a controller that reads from the state service. */
struct read_thread {
    const struct lmn_core *core;
    struct lmn_read_batch reads;
    enum stage stage;
    double resumes_at; /* when its next stage begins */
    struct lmn_read_request *cancel, *batch[MAX_BATCH];
    struct lmn_job_view views[MAX_BATCH];
    guint batch_count, next_read;
    unsigned tries;
    struct lmn_job_read_result reading;
    enum lmn_txn_outcome outcome;
    GPtrArray *failed;
};

static struct read_thread read_threads[MAX_NODES];
static GRand *users_random;

static bool chance(double probability)
{
    return g_rand_double(users_random) < probability;
}

/* How long the state service takes to respond: mostly less than a step. */
static double response_delay_s(const struct node *node)
{
    if (simulation.now < node->store_slow_until)
        return g_rand_double_range(users_random, 0, 2);
    return chance(0.1) ? g_rand_double_range(users_random, 0, 0.4) : 0;
}

/* --- the thread that reads from the state service --- */

static struct request *waiting_request(const struct lmn_read_request *read)
{
    return (struct request *)(void *)read->request;
}

/* Adds the read to a confirmation of the same job that was already sent; false if
 * there is none. */
static bool join_confirmation(struct read_thread *thread, struct lmn_read_request *read)
{
    if (thread->stage != CONFIRMED || read->kind != LMN_READ_STATUS)
        return false;
    for (guint i = 0; i < thread->batch_count; i++)
        if (!strcmp(thread->batch[i]->job_id, read->job_id)) {
            read->next_same_job = thread->batch[i]->next_same_job;
            thread->batch[i]->next_same_job = read;
            return true;
        }
    return false;
}

static void queue_read(enum lmn_read_request_kind kind, struct request *request,
                       int absent_status)
{
    struct lmn_read_request *read = g_new0(struct lmn_read_request, 1);

    read->kind = kind;
    read->request = (struct lmn_http_request *)(void *)request;
    read->absent_status = absent_status;
    read->received_at = simulation.clock;
    g_strlcpy(read->job_id, request->job_id, sizeof read->job_id);
    if (simulation.disabled_guard != GUARD_SHARED_CONFIRMATION ||
        !join_confirmation(&read_threads[request->node], read))
        lmn_read_batch_add(&read_threads[request->node].reads, read);
}

static void reply_to_read(struct lmn_read_request *read,
                          const struct lmn_job_reply *reply)
{
    request_return(waiting_request(read), reply);
    request_finish(waiting_request(read));
    g_free(read);
}

static void reply_unavailable(struct lmn_read_request *list)
{
    const struct lmn_job_reply reply = lmn_job_reply_unavailable();

    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        reply_to_read(read, &reply);
    }
}

static void take_batch(struct read_thread *thread)
{
    struct lmn_read_request *expired;

    thread->batch_count =
        lmn_read_batch_dequeue(&thread->reads, thread->batch, MAX_BATCH, &thread->cancel,
                               &expired, simulation.clock);
    thread->tries = 0;
    thread->stage = thread->cancel ? CANCEL_READ : CONFIRM;
    reply_unavailable(expired);
}

static void read_job(struct read_thread *thread, const struct node *node,
                     const char *job_id)
{
    lmn_job_read_result_clear(&thread->reading);
    if (node_reaches_store(node) && !chance(0.02))
        simulation_read_record(job_id, &thread->reading);
    else
        thread->reading.status = LMN_HTTP_NO_RESPONSE;
    thread->resumes_at = simulation.now + response_delay_s(node);
}

static void finish_cancellation(struct read_thread *thread,
                                const struct lmn_job_reply *reply)
{
    reply_to_read(thread->cancel, reply);
    thread->cancel = NULL;
    thread->stage = CONFIRM;
}

static void write_cancellation(struct read_thread *thread, struct node *node)
{
    const char *job_id = thread->cancel->job_id;
    struct lmn_job_reply reply;
    uint64_t revision = 0;

    if (simulation.disabled_guard == GUARD_FINAL && thread->reading.status == 200) {
        /* The cancellation is written whatever the record says by now. */
        lmn_job_read_result_clear(&thread->reading);
        simulation_read_record(job_id, &thread->reading);
        thread->reading.phase = LMN_JOB_ACTIVE;
    }
    struct lmn_txn *txn = lmn_cancellation_txn(job_id, &thread->reading,
                                               thread->cancel->absent_status, &reply);
    if (!txn) {
        finish_cancellation(thread, &reply);
        return;
    }
    thread->outcome =
        node_reaches_store(node)
            ? simulation_send_txn(node, txn, g_rand_double(users_random), &revision)
            : LMN_TXN_REJECTED;
    lmn_txn_free(txn);
    if (thread->outcome == LMN_TXN_COMMITTED)
        lmn_tombstone_add(&node->core->cache.tombstones, job_id);
    thread->stage = CANCEL_WRITTEN;
    thread->resumes_at = simulation.now + response_delay_s(node);
}

static void end_cancellation(struct read_thread *thread)
{
    struct lmn_job_reply reply;

    if (lmn_cancellation_is_final(thread->outcome, &reply) ||
        ++thread->tries == LMN_MAX_CANCEL_ATTEMPTS)
        finish_cancellation(thread, &reply);
    else
        thread->stage = CANCEL_READ;
}

static void send_confirmation(struct read_thread *thread, const struct node *node)
{
    for (guint i = 0; i < thread->batch_count; i++)
        lmn_job_view_from_cache(node->core, thread->batch[i]->job_id, &thread->views[i]);
    struct lmn_txn *txn = lmn_confirmation_txn(thread->views, thread->batch_count);
    thread->outcome = simulation_confirm(txn, thread->failed);
    lmn_txn_free(txn);
    if (!node_reaches_store(node))
        thread->outcome = LMN_TXN_REJECTED;
    else if (chance(simulation.now < simulation.lost_responses_until ? 0.3 : 0.02))
        thread->outcome = LMN_TXN_UNKNOWN;
    if (simulation.disabled_guard == GUARD_CONFIRM)
        thread->outcome = LMN_TXN_COMMITTED;
    thread->stage = CONFIRMED;
    thread->resumes_at = simulation.now + response_delay_s(node);
}

static void receive_confirmation(struct read_thread *thread, const struct node *node)
{
    guint outdated = 0;

    for (guint i = 0; i < thread->batch_count; i++) {
        enum lmn_confirmation_result result =
            lmn_job_view_confirmation(&thread->views[i], thread->outcome, thread->failed);
        if (result == LMN_CONFIRMATION_OUTDATED) {
            thread->batch[outdated++] = thread->batch[i];
            continue;
        }
        if (result == LMN_CONFIRMATION_UNKNOWN) {
            reply_unavailable(thread->batch[i]);
            continue;
        }
        for (struct lmn_read_request *read = thread->batch[i], *next; read; read = next) {
            next = read->next_same_job;
            struct lmn_job_reply reply = lmn_job_reply_confirmed(
                node->core, &thread->views[i], read->absent_status);
            reply_to_read(read, &reply);
        }
    }
    thread->batch_count = outdated;
    thread->next_read = 0;
    thread->stage = READ;
}

static void receive_reading(struct read_thread *thread, const struct node *node)
{
    for (struct lmn_read_request *read = thread->batch[thread->next_read], *next; read;
         read = next) {
        next = read->next_same_job;
        struct lmn_job_reply reply = lmn_job_reply_from_read_result(
            node->core, read->job_id, &thread->reading, read->absent_status);
        reply_to_read(read, &reply);
    }
    thread->next_read++;
    thread->stage = READ;
}

static void advance_thread(struct read_thread *thread, struct node *node)
{
    switch (thread->stage) {
    case IDLE:
        take_batch(thread);
        break;
    case CANCEL_READ:
        read_job(thread, node, thread->cancel->job_id);
        thread->stage = CANCEL_WRITE;
        break;
    case CANCEL_WRITE:
        write_cancellation(thread, node);
        break;
    case CANCEL_WRITTEN:
        end_cancellation(thread);
        break;
    case CONFIRM:
        if (thread->batch_count)
            send_confirmation(thread, node);
        else
            thread->stage = IDLE;
        break;
    case CONFIRMED:
        receive_confirmation(thread, node);
        break;
    case READ:
        if (thread->next_read == thread->batch_count) {
            thread->batch_count = 0;
            thread->stage = IDLE;
            break;
        }
        read_job(thread, node, thread->batch[thread->next_read]->job_id);
        thread->stage = HAVE_READ;
        break;
    case HAVE_READ:
        receive_reading(thread, node);
        break;
    }
}

static void free_list(struct lmn_read_request *list)
{
    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        g_free(read);
    }
}

/* The controller has ended, and with it all requests that it held. */
static void reset_thread(struct read_thread *thread, const struct lmn_core *core)
{
    if (thread->failed) {
        lmn_read_batch_clear(&thread->reads);
        free_list(thread->cancel);
        for (guint i = thread->stage >= READ ? thread->next_read : 0;
             i < thread->batch_count; i++)
            free_list(thread->batch[i]);
        lmn_job_read_result_clear(&thread->reading);
        g_ptr_array_free(thread->failed, TRUE);
    }
    memset(thread, 0, sizeof *thread);
    thread->core = core;
    thread->failed = g_ptr_array_new_with_free_func(g_free);
    lmn_read_batch_init(&thread->reads);
}

void request_handling_begin(GRand *random)
{
    users_random = random;
    for (int i = 0; i < MAX_NODES; i++)
        reset_thread(&read_threads[i], NULL);
}

void request_handling_step(void)
{
    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct node *node = &simulation.nodes[i];
        struct read_thread *thread = &read_threads[i];
        if (!node_up(node) || !node->core || node->core != thread->core)
            reset_thread(thread, node->core);
        if (!node_up(node) || !node->core || simulation.now < node->frozen_until)
            continue;
        while (thread->resumes_at <= simulation.now &&
               (thread->stage != IDLE || thread->reads.order.length))
            advance_thread(thread, node);
    }
}

/* --- requests --- */

static void on_submission_outcome(void *arg, struct lmn_txn *txn,
                                  enum lmn_txn_outcome outcome, uint64_t revision)
{
    struct request *request = arg;
    (void)txn;
    (void)revision;

    if (simulation.disabled_guard == GUARD_UNKNOWN_OUTCOME && outcome == LMN_TXN_UNKNOWN)
        outcome = LMN_TXN_COMMITTED;
    struct lmn_request_decision decision = lmn_decide_commit_outcome(outcome);
    if (decision.step != LMN_STEP_REPLY) {
        queue_read(LMN_READ_STATUS, request, decision.absent_status);
        return;
    }
    request_return(request, &decision.reply);
    request_finish(request);
}

static GByteArray *submission_body(const struct request *request)
{
    GByteArray *body = g_byte_array_new();
    struct lmn_job_spec spec =
        request->job ? request->job->spec : simulation.jobs[0].spec;

    g_strlcpy(spec.id, request->job_id, sizeof spec.id);
    if (request->defect == TOO_LARGE)
        spec.cpus = 1000;
    if (request->defect == MISSING_FIELD)
        spec.class_name = (char *)"";
    lmn_cbor_put_map(body, lmn_job_spec_pair_count());
    lmn_job_spec_write(body, &spec);
    return body;
}

static struct lmn_request_decision decide(struct request *request, struct node *node)
{
    if (request->kind == STATUS)
        return lmn_decide_status(node->core, request->job_id, simulation.clock);
    if (request->kind == CANCELLATION)
        return lmn_decide_cancel(node->core, request->job_id);
    GByteArray *body = submission_body(request);
    lmn_submission_parse(&request->submission, &node->settings, body->data, body->len);
    g_byte_array_unref(body);
    return lmn_decide_submission(node->core, &request->submission, simulation.clock);
}

static void handle_request(struct request *request, struct node *node)
{
    struct lmn_request_decision decision = decide(request, node);

    if (simulation.disabled_guard == GUARD_DUPLICATE_REQUEST &&
        request->defect != NO_DEFECT && decision.step == LMN_STEP_CONFIRM)
        decision = (struct lmn_request_decision){.step = LMN_STEP_REPLY,
                                                 .reply.status = decision.absent_status};
    switch (decision.step) {
    case LMN_STEP_REPLY:
        request_return(request, &decision.reply);
        request_finish(request);
        break;
    case LMN_STEP_CONFIRM:
        queue_read(LMN_READ_STATUS, request, decision.absent_status);
        break;
    case LMN_STEP_CANCEL:
        queue_read(LMN_READ_CANCEL, request, decision.absent_status);
        break;
    case LMN_STEP_COMMIT:
        lmn_kv_client_submit(node->state,
                             lmn_submission_txn(node->core, &request->submission.spec,
                                                simulation.now, on_submission_outcome,
                                                request));
    }
}

void request_handling_advance(struct request *request)
{
    struct node *node = &simulation.nodes[request->node];

    if (!node_up(node) || !node->core ||
        (request->arrived && request->core != node->core)) {
        request_finish(request); /* the user gets no answer */
        return;
    }
    if (simulation.now < node->frozen_until)
        return;
    if (!request->arrived) {
        request->arrived = true;
        request->core = node->core;
        handle_request(request, node);
    } else if (!request->answered &&
               simulation.now - request->sent_at > REQUEST_TIMEOUT_S) {
        const struct lmn_job_reply reply = lmn_job_reply_unavailable();
        request_return(request, &reply);
    }
}
