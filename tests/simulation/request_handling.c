/* Controllers and their users' requests: what the product's threads of
 * controller/user_api.c do, with its decisions and its queue of questions. One thread
 * asks the state service, so a slow answer holds up those behind it, and who asks
 * meanwhile shares the next confirmation. */
#include "requests.h"
#include "controller/read_batch.h"

#include <string.h>

enum { BATCH = 48 };
/* A call that is not answered by then is answered 503, whatever becomes of it. */
static const double PATIENCE_S = 2.5;

enum stage {
    IDLE,
    CANCEL_READS,
    CANCEL_WRITES,
    CANCEL_ENDS,
    CONFIRM_ASKS,
    CONFIRM_ENDS,
    READ_ASKS,
    READ_ENDS
};

/* The thread that asks the state service. */
struct asker {
    const struct lmn_core *life;
    struct lmn_read_batch asks;
    enum stage stage;
    double at; /* when the stage goes on */
    struct lmn_read_request *cancel, *batch[BATCH];
    struct lmn_job_view views[BATCH];
    guint n, next;
    unsigned tries;
    struct lmn_job_reading reading;
    enum lmn_txn_outcome outcome;
    GPtrArray *failed;
};

static struct asker askers[MAX_NODES];
static GRand *random_numbers;

static bool chance(double p)
{
    return g_rand_double(random_numbers) < p;
}

/* How long the state service's answer takes: mostly nothing that a step would show. */
static double on_the_way(const struct node *node)
{
    if (simulation.now < node->slow_until)
        return g_rand_double_range(random_numbers, 0, 2);
    return chance(0.1) ? g_rand_double_range(random_numbers, 0, 0.4) : 0;
}

/* --- the thread that asks --- */

static struct request *request_of(const struct lmn_read_request *read)
{
    return (struct request *)(void *)read->request;
}

/* The question joins one that is being confirmed already; false: there is none. */
static bool join(struct asker *k, struct lmn_read_request *read)
{
    if (k->stage != CONFIRM_ENDS || read->kind != LMN_READ_STATUS)
        return false;
    for (guint i = 0; i < k->n; i++)
        if (!strcmp(k->batch[i]->job_id, read->job_id)) {
            read->next_same_job = k->batch[i]->next_same_job;
            k->batch[i]->next_same_job = read;
            return true;
        }
    return false;
}

static void enqueue(enum lmn_read_request_kind kind, struct request *q, int absent_status)
{
    struct lmn_read_request *read = g_new0(struct lmn_read_request, 1);

    read->kind = kind;
    read->request = (struct lmn_http_request *)(void *)q;
    read->absent_status = absent_status;
    read->received_at = simulation.clock;
    g_strlcpy(read->job_id, q->ref, sizeof read->job_id);
    if (simulation.disabled_guard != GUARD_SHARED_CONFIRMATION ||
        !join(&askers[q->node], read))
        lmn_read_batch_add(&askers[q->node].asks, read);
}

static void answer(struct lmn_read_request *read, const struct lmn_job_reply *reply)
{
    request_return(request_of(read), reply);
    request_finish(request_of(read));
    g_free(read);
}

static void answer_unavailable(struct lmn_read_request *list)
{
    const struct lmn_job_reply r = lmn_job_reply_unavailable();

    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        answer(read, &r);
    }
}

static void take(struct asker *k)
{
    struct lmn_read_request *late;

    k->n = lmn_read_batch_take(&k->asks, k->batch, BATCH, &k->cancel, &late,
                               simulation.clock);
    k->tries = 0;
    k->stage = k->cancel ? CANCEL_READS : CONFIRM_ASKS;
    answer_unavailable(late);
}

static void read_job(struct asker *k, const struct node *node, const char *ref)
{
    lmn_job_reading_clear(&k->reading);
    if (node_reaches_store(node) && !chance(0.02))
        simulation_read_record(ref, &k->reading);
    else
        k->reading.status = LMN_HTTP_NO_RESPONSE;
    k->at = simulation.now + on_the_way(node);
}

static void cancel_answered(struct asker *k, const struct lmn_job_reply *reply)
{
    answer(k->cancel, reply);
    k->cancel = NULL;
    k->stage = CONFIRM_ASKS;
}

static void cancel_writes(struct asker *k, struct node *node)
{
    const char *ref = k->cancel->job_id;
    struct lmn_job_reply r;
    uint64_t revision = 0;

    if (simulation.disabled_guard == GUARD_FINAL && k->reading.status == 200) {
        /* Written whatever the record has become. */
        lmn_job_reading_clear(&k->reading);
        simulation_read_record(ref, &k->reading);
        k->reading.phase = LMN_JOB_ACTIVE;
    }
    struct lmn_txn *txn =
        lmn_cancellation_txn(ref, &k->reading, k->cancel->absent_status, &r);
    if (!txn) {
        cancel_answered(k, &r);
        return;
    }
    k->outcome =
        node_reaches_store(node)
            ? simulation_send_txn(node, txn, g_rand_double(random_numbers), &revision)
            : LMN_TXN_REJECTED;
    lmn_txn_free(txn);
    if (k->outcome == LMN_TXN_COMMITTED)
        lmn_tombstone_add(&node->core->cache.tombstones, ref);
    k->stage = CANCEL_ENDS;
    k->at = simulation.now + on_the_way(node);
}

static void cancel_ends(struct asker *k)
{
    struct lmn_job_reply r;

    if (lmn_cancellation_is_settled(k->outcome, &r) || ++k->tries == LMN_CANCEL_TRIES)
        cancel_answered(k, &r);
    else
        k->stage = CANCEL_READS;
}

static void confirm_asks(struct asker *k, const struct node *node)
{
    for (guint i = 0; i < k->n; i++)
        lmn_job_view_take(node->core, k->batch[i]->job_id, &k->views[i]);
    struct lmn_txn *txn = lmn_confirmation_txn(k->views, k->n);
    k->outcome = simulation_confirm(txn, k->failed);
    lmn_txn_free(txn);
    if (!node_reaches_store(node))
        k->outcome = LMN_TXN_REJECTED;
    else if (chance(simulation.now < simulation.lost_until ? 0.3 : 0.02))
        k->outcome = LMN_TXN_UNKNOWN;
    if (simulation.disabled_guard == GUARD_CONFIRM)
        k->outcome = LMN_TXN_COMMITTED;
    k->stage = CONFIRM_ENDS;
    k->at = simulation.now + on_the_way(node);
}

static void confirm_ends(struct asker *k, const struct node *node)
{
    guint outdated = 0;

    for (guint i = 0; i < k->n; i++) {
        enum lmn_confirmation_result known =
            lmn_job_view_confirmed(&k->views[i], k->outcome, k->failed);
        if (known == LMN_CONFIRMED_OUTDATED) {
            k->batch[outdated++] = k->batch[i];
            continue;
        }
        if (known == LMN_CONFIRMED_NOTHING) {
            answer_unavailable(k->batch[i]);
            continue;
        }
        for (struct lmn_read_request *read = k->batch[i], *next; read; read = next) {
            next = read->next_same_job;
            struct lmn_job_reply r =
                lmn_job_reply_confirmed(node->core, &k->views[i], read->absent_status);
            answer(read, &r);
        }
    }
    k->n = outdated;
    k->next = 0;
    k->stage = READ_ASKS;
}

static void read_ends(struct asker *k, const struct node *node)
{
    for (struct lmn_read_request *read = k->batch[k->next], *next; read; read = next) {
        next = read->next_same_job;
        struct lmn_job_reply r = lmn_job_reply_from_reading(
            node->core, read->job_id, &k->reading, read->absent_status);
        answer(read, &r);
    }
    k->next++;
    k->stage = READ_ASKS;
}

static void go_on(struct asker *k, struct node *node)
{
    switch (k->stage) {
    case IDLE:
        take(k);
        break;
    case CANCEL_READS:
        read_job(k, node, k->cancel->job_id);
        k->stage = CANCEL_WRITES;
        break;
    case CANCEL_WRITES:
        cancel_writes(k, node);
        break;
    case CANCEL_ENDS:
        cancel_ends(k);
        break;
    case CONFIRM_ASKS:
        if (k->n)
            confirm_asks(k, node);
        else
            k->stage = IDLE;
        break;
    case CONFIRM_ENDS:
        confirm_ends(k, node);
        break;
    case READ_ASKS:
        if (k->next == k->n) {
            k->n = 0;
            k->stage = IDLE;
            break;
        }
        read_job(k, node, k->batch[k->next]->job_id);
        k->stage = READ_ENDS;
        break;
    case READ_ENDS:
        read_ends(k, node);
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

/* The controller has ended, and with it all that it held. */
static void reset(struct asker *k, const struct lmn_core *life)
{
    if (k->failed) {
        lmn_read_batch_clear(&k->asks);
        free_list(k->cancel);
        for (guint i = k->stage >= READ_ASKS ? k->next : 0; i < k->n; i++)
            free_list(k->batch[i]);
        lmn_job_reading_clear(&k->reading);
        g_ptr_array_free(k->failed, TRUE);
    }
    memset(k, 0, sizeof *k);
    k->life = life;
    k->failed = g_ptr_array_new_with_free_func(g_free);
    lmn_read_batch_init(&k->asks);
}

void request_handling_begin(GRand *r)
{
    random_numbers = r;
    for (int i = 0; i < MAX_NODES; i++)
        reset(&askers[i], NULL);
}

void request_handling_step(void)
{
    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct node *node = &simulation.nodes[i];
        struct asker *k = &askers[i];
        if (!node_up(node) || !node->core || node->core != k->life)
            reset(k, node->core);
        if (!node_up(node) || !node->core || simulation.now < node->still_until)
            continue;
        while (k->at <= simulation.now && (k->stage != IDLE || k->asks.order.length))
            go_on(k, node);
    }
}

/* --- requests --- */

static void submitted(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                      uint64_t revision)
{
    struct request *q = arg;
    (void)txn;
    (void)revision;

    if (simulation.disabled_guard == GUARD_UNKNOWN_OUTCOME && outcome == LMN_TXN_UNKNOWN)
        outcome = LMN_TXN_COMMITTED;
    struct lmn_request_decision d = lmn_decide_submitted(outcome);
    if (d.step != LMN_STEP_REPLY) {
        enqueue(LMN_READ_STATUS, q, d.absent_status);
        return;
    }
    request_return(q, &d.reply);
    request_finish(q);
}

static GByteArray *body_of(const struct request *q)
{
    GByteArray *b = g_byte_array_new();
    struct lmn_job_spec s = q->job ? q->job->spec : simulation.jobs[0].spec;

    g_strlcpy(s.id, q->ref, sizeof s.id);
    if (q->form == FITS_NOWHERE)
        s.cpus = 1000;
    if (q->form == LACKS_FIELD)
        s.class_name = (char *)"";
    lmn_cbor_put_map(b, lmn_job_spec_pair_count());
    lmn_job_spec_write(b, &s);
    return b;
}

static struct lmn_request_decision decide(struct request *q, struct node *node)
{
    if (q->kind == STATUS)
        return lmn_decide_status(node->core, q->ref, simulation.clock);
    if (q->kind == CANCELLATION)
        return lmn_decide_cancel(node->core, q->ref);
    GByteArray *body = body_of(q);
    lmn_submission_parse(&q->submission, &node->settings, body->data, body->len);
    g_byte_array_unref(body);
    return lmn_decide_submission(node->core, &q->submission, simulation.clock);
}

static void carry_out(struct request *q, struct node *node)
{
    struct lmn_request_decision d = decide(q, node);

    if (simulation.disabled_guard == GUARD_DUPLICATE_REQUEST && q->form != SOUND &&
        d.step == LMN_STEP_CONFIRM)
        d = (struct lmn_request_decision){.step = LMN_STEP_REPLY,
                                          .reply.status = d.absent_status};
    switch (d.step) {
    case LMN_STEP_REPLY:
        request_return(q, &d.reply);
        request_finish(q);
        break;
    case LMN_STEP_CONFIRM:
        enqueue(LMN_READ_STATUS, q, d.absent_status);
        break;
    case LMN_STEP_CANCEL:
        enqueue(LMN_READ_CANCEL, q, d.absent_status);
        break;
    case LMN_STEP_COMMIT:
        lmn_kv_client_submit(node->state,
                             lmn_submission_txn(node->core, &q->submission.spec,
                                                simulation.now, submitted, q));
    }
}

void request_handling_advance(struct request *q)
{
    struct node *node = &simulation.nodes[q->node];

    if (!node_up(node) || !node->core || (q->arrived && q->life != node->core)) {
        request_finish(q); /* nobody answers */
        return;
    }
    if (simulation.now < node->still_until)
        return;
    if (!q->arrived) {
        q->arrived = true;
        q->life = node->core;
        carry_out(q, node);
    } else if (!q->answered && simulation.now - q->sent > PATIENCE_S) {
        const struct lmn_job_reply r = lmn_job_reply_unavailable();
        request_return(q, &r);
    }
}
