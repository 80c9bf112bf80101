#include "controller/pending_submission.h"
#include "util/log.h"
#include "util/thread.h"

#include <math.h>

struct lmn_pending_submission {
    struct lmn_core *core;
    struct lmn_http_request *call; /* NULL: it has its reply */
    char ref[LMN_JOB_ID_SIZE];
    struct timespec since;
    struct lmn_txn *twin; /* the transaction once more; NULL: it was sent */
    unsigned in_flight;   /* transactions whose outcome is not known yet */
};

static struct {
    pthread_mutex_t lock;
    pthread_cond_t more;
    GQueue list; /* struct lmn_pending_submission, the oldest first */
    lmn_submission_responder *reply;
} pendings = {.lock = PTHREAD_MUTEX_INITIALIZER, .list = G_QUEUE_INIT};

/* How often the mirror is looked at for one that is due. */
static const double LOOK_EVERY_S = 0.02;

/* The lock is held. Returns the call if it has no reply yet: the caller replies. */
static struct lmn_http_request *take_call(struct lmn_pending_submission *pending)
{
    struct lmn_http_request *request = pending->call;

    pending->call = NULL;
    return request;
}

/* The lock is held. */
static void free_if_over(struct lmn_pending_submission *pending)
{
    if (pending->in_flight)
        return;
    g_queue_remove(&pendings.list, pending);
    if (pending->twin)
        lmn_txn_free(pending->twin);
    g_free(pending);
}

static void note_latency(struct lmn_core *core, double took)
{
    pthread_mutex_lock(&core->lock);
    lmn_latency_add(&core->latencies.submission, took);
    pthread_mutex_unlock(&core->lock);
}

static void committed(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                      uint64_t revision)
{
    struct lmn_pending_submission *pending = arg;
    struct lmn_request_decision d = lmn_decide_submitted(outcome);
    bool known = outcome == LMN_TXN_COMMITTED || outcome == LMN_TXN_CONFLICT;
    double took = lmn_time_diff_s(lmn_now(), pending->since);
    char ref[LMN_JOB_ID_SIZE];
    (void)txn;
    (void)revision;

    lmn_debug("job_submitted job=%s outcome=%d took=%.3f", pending->ref, outcome, took);
    if (outcome == LMN_TXN_COMMITTED)
        note_latency(pending->core, took);
    pthread_mutex_lock(&pendings.lock);
    g_strlcpy(ref, pending->ref, sizeof ref);
    pending->in_flight--;
    /* Of two, the other may still tell. */
    struct lmn_http_request *request =
        known || !pending->in_flight ? take_call(pending) : NULL;
    free_if_over(pending);
    pthread_mutex_unlock(&pendings.lock);
    if (request)
        pendings.reply(request, ref, &d);
}

void lmn_pending_submission_submit(struct lmn_core *core,
                                   struct lmn_http_request *request,
                                   const struct lmn_job_spec *spec)
{
    struct lmn_pending_submission *pending = g_new0(struct lmn_pending_submission, 1);

    pending->core = core;
    pending->call = request;
    pending->since = lmn_now();
    pending->in_flight = 1;
    g_strlcpy(pending->ref, spec->id, sizeof pending->ref);
    pthread_mutex_lock(&core->lock);
    struct lmn_txn *txn = lmn_submission_txn(
        core, spec, lmn_time_seconds(lmn_wall_clock_now()), committed, pending);
    pthread_mutex_unlock(&core->lock);
    pending->twin = lmn_txn_copy(txn);
    pthread_mutex_lock(&pendings.lock);
    g_queue_push_tail(&pendings.list, pending);
    pthread_cond_signal(&pendings.more);
    pthread_mutex_unlock(&pendings.lock);
    lmn_kv_client_submit(core->kv_client, txn);
}

/* Does what is due for the submission; the lock is held. Returns the call if its job's
 * state is to be confirmed. */
static struct lmn_http_request *
look(struct lmn_core *core, struct lmn_pending_submission *pending, struct timespec now)
{
    struct lmn_txn *twin;

    pthread_mutex_lock(&core->lock);
    enum lmn_pending_submission_step step = lmn_decide_pending_submission(
        core, pending->ref, pending->since, !pending->twin, now);
    pthread_mutex_unlock(&core->lock);
    switch (step) {
    case LMN_PENDING_CONFIRM:
        return take_call(pending);
    case LMN_PENDING_RESEND:
        twin = pending->twin;
        pending->twin = NULL;
        pending->in_flight++;
        lmn_debug("job_submission_duplicate job=%s", pending->ref);
        lmn_kv_client_submit(core->kv_client, twin);
        return NULL;
    default:
        return NULL;
    }
}

/* Seconds until the oldest without a reply is due; the lock is held. */
static double until_due(struct timespec now)
{
    for (GList *l = pendings.list.head; l; l = l->next) {
        const struct lmn_pending_submission *pending = l->data;
        if (pending->call)
            return MAX(LMN_PENDING_LOOK_S - lmn_time_diff_s(now, pending->since),
                       LOOK_EVERY_S);
    }
    return INFINITY;
}

/* Waits until one may be due, and looks at all. */
static void look_at_all(struct lmn_core *core)
{
    struct due {
        struct lmn_http_request *call;
        char ref[LMN_JOB_ID_SIZE];
    };
    GArray *due = g_array_new(FALSE, FALSE, sizeof(struct due));
    const struct lmn_request_decision confirm = {.step = LMN_STEP_CONFIRM,
                                                 .absent_status = 503};

    pthread_mutex_lock(&pendings.lock);
    double wait = until_due(lmn_now());
    if (isinf(wait))
        pthread_cond_wait(&pendings.more, &pendings.lock);
    else
        lmn_cond_wait_for(&pendings.more, &pendings.lock, wait);
    for (GList *l = pendings.list.head; l; l = l->next) {
        struct lmn_pending_submission *pending = l->data;
        struct due d = {.call = pending->call ? look(core, pending, lmn_now()) : NULL};
        g_strlcpy(d.ref, pending->ref, sizeof d.ref);
        if (d.call)
            g_array_append_val(due, d);
    }
    pthread_mutex_unlock(&pendings.lock);
    for (guint i = 0; i < due->len; i++) {
        const struct due *d = &g_array_index(due, struct due, i);
        pendings.reply(d->call, d->ref, &confirm);
    }
    g_array_unref(due);
}

static void *pending_thread(void *arg)
{
    for (;;)
        look_at_all(arg);
    return NULL;
}

void lmn_pending_submission_start(struct lmn_core *core, lmn_submission_responder *reply)
{
    lmn_cond_init(&pendings.more);
    pendings.reply = reply;
    lmn_thread(pending_thread, core);
}
