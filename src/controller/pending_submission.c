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
static struct lmn_http_request *take_call(struct lmn_pending_submission *p)
{
    struct lmn_http_request *call = p->call;

    p->call = NULL;
    return call;
}

/* The lock is held. */
static void free_if_over(struct lmn_pending_submission *p)
{
    if (p->in_flight)
        return;
    g_queue_remove(&pendings.list, p);
    if (p->twin)
        lmn_txn_free(p->twin);
    g_free(p);
}

static void note_latency(struct lmn_core *c, double took)
{
    pthread_mutex_lock(&c->lock);
    lmn_latency_add(&c->accepting, took);
    pthread_mutex_unlock(&c->lock);
}

static void committed(void *arg, struct lmn_txn *t, enum lmn_txn_outcome outcome,
                      uint64_t rev)
{
    struct lmn_pending_submission *p = arg;
    struct lmn_request_decision d = lmn_decide_submitted(outcome);
    bool known = outcome == LMN_TXN_COMMITTED || outcome == LMN_TXN_CONFLICT;
    double took = lmn_time_diff_s(lmn_now(), p->since);
    char ref[LMN_JOB_ID_SIZE];
    (void)t;
    (void)rev;

    lmn_debug("job-submitted job=%s outcome=%d took=%.3f", p->ref, outcome, took);
    if (outcome == LMN_TXN_COMMITTED)
        note_latency(p->core, took);
    pthread_mutex_lock(&pendings.lock);
    g_strlcpy(ref, p->ref, sizeof ref);
    p->in_flight--;
    /* Of two, the other may still tell. */
    struct lmn_http_request *call = known || !p->in_flight ? take_call(p) : NULL;
    free_if_over(p);
    pthread_mutex_unlock(&pendings.lock);
    if (call)
        pendings.reply(call, ref, &d);
}

void lmn_pending_submission_submit(struct lmn_core *c, struct lmn_http_request *call,
                                   const struct lmn_job_spec *s)
{
    struct lmn_pending_submission *p = g_new0(struct lmn_pending_submission, 1);

    p->core = c;
    p->call = call;
    p->since = lmn_now();
    p->in_flight = 1;
    g_strlcpy(p->ref, s->ref, sizeof p->ref);
    pthread_mutex_lock(&c->lock);
    struct lmn_txn *t =
        lmn_submission_txn(c, s, lmn_time_seconds(lmn_wall_clock_now()), committed, p);
    pthread_mutex_unlock(&c->lock);
    p->twin = lmn_txn_copy(t);
    pthread_mutex_lock(&pendings.lock);
    g_queue_push_tail(&pendings.list, p);
    pthread_cond_signal(&pendings.more);
    pthread_mutex_unlock(&pendings.lock);
    lmn_kv_client_submit(c->state, t);
}

/* Does what is due for the submission; the lock is held. Returns the call if its job's
 * state is to be confirmed. */
static struct lmn_http_request *look(struct lmn_core *c, struct lmn_pending_submission *p,
                                     struct timespec now)
{
    struct lmn_txn *twin;

    pthread_mutex_lock(&c->lock);
    enum lmn_pending_submission_step step =
        lmn_decide_pending_submission(c, p->ref, p->since, !p->twin, now);
    pthread_mutex_unlock(&c->lock);
    switch (step) {
    case LMN_PENDING_CONFIRM:
        return take_call(p);
    case LMN_PENDING_RESEND:
        twin = p->twin;
        p->twin = NULL;
        p->in_flight++;
        lmn_debug("job-submitted-again job=%s", p->ref);
        lmn_kv_client_submit(c->state, twin);
        return NULL;
    default:
        return NULL;
    }
}

/* Seconds until the oldest without a reply is due; the lock is held. */
static double until_due(struct timespec now)
{
    for (GList *l = pendings.list.head; l; l = l->next) {
        const struct lmn_pending_submission *p = l->data;
        if (p->call)
            return MAX(LMN_PENDING_LOOK_S - lmn_time_diff_s(now, p->since), LOOK_EVERY_S);
    }
    return INFINITY;
}

/* Waits until one may be due, and looks at all. */
static void look_at_all(struct lmn_core *c)
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
        struct lmn_pending_submission *p = l->data;
        struct due d = {.call = p->call ? look(c, p, lmn_now()) : NULL};
        g_strlcpy(d.ref, p->ref, sizeof d.ref);
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

void lmn_pending_submission_start(struct lmn_core *c, lmn_submission_responder *reply)
{
    lmn_cond_init(&pendings.more);
    pendings.reply = reply;
    lmn_thread(pending_thread, c);
}
