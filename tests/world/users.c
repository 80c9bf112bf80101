/* Users: they submit, ask, repeat and cancel at all controllers, within milliseconds, and
 * each answer is held to what the state service's record was when its request was sent.
 * What is answered is decided by the product (serve/replies.h). Users have random numbers
 * of their own: days without them keep their histories. */
#include "serve/replies.h"
#include "world.h"

#include <string.h>

enum kind { STATUS, SUBMISSION, CANCELLATION };

/* What is wrong with a submission. */
enum form { SOUND, LACKS_FIELD, FITS_NOWHERE, FORMS };

enum stage {
    ARRIVING,   /* at its controller */
    COMMITTING, /* its transaction is with the controller's writer */
    CONFIRMING, /* the confirmation is on its way to the state service */
    CONFIRMED,  /* and its answer back */
    READING,
    READ,
    CANCELLING, /* the job was read: its cancellation is written next */
    CANCELLED,
    OVER
};

struct request {
    enum kind kind;
    enum form form;
    char ref[LMN_REF];
    struct job *job; /* NULL: an id that nobody submits */
    int node;
    const struct lmn_core *life; /* the controller's: with it, its requests end */
    enum stage stage;
    double at; /* when the stage goes on */
    struct lmn_submission sent;
    struct lmn_decision decision;
    struct lmn_view view;
    struct lmn_job_reading reading;
    enum lmn_outcome outcome;
    GPtrArray *failed;
    unsigned tries;
    /* when it was sent: the record, and what its user had been told */
    bool recorded, accepted;
    enum lmn_phase phase, told;
};

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

static const struct item *record_of(const char *ref)
{
    char key[64];

    g_snprintf(key, sizeof key, "j/%s", ref);
    const struct item *it = g_hash_table_lookup(w.store, key);
    return it && it->value ? it : NULL;
}

static void read_record(const char *ref, struct lmn_job_reading *r)
{
    const struct item *it = record_of(ref);
    const struct job *j = &w.jobs[MAX(world_job(ref), 0)];

    memset(r, 0, sizeof *r);
    r->status = it ? 200 : 404;
    if (!it)
        return;
    r->rev = it->rev;
    r->phase = world_read_job(j, &r->spec, &r->open, &r->at);
}

/* How long a message takes on its way: mostly nothing that a step would show. */
static double on_the_way(const struct node *n)
{
    if (w.now < n->slow_until)
        return between(0, 2);
    return chance(0.1) ? between(0, 0.4) : 0;
}

/* --- checking --- */

static void wrong(const struct request *q, enum rule rule, const struct lmn_reply *r)
{
    w.broke[rule]++;
    w.answers_back++;
    if (w.broken == G_NONE)
        print_message("%.1f: %s asked of n%02d (kind %d, form %d): %d, phase %d; the "
                      "record was %s, phase %d\n",
                      w.now, q->ref, q->node, q->kind, q->form, r->status, r->phase,
                      q->recorded ? "there" : "not there", q->phase);
}

/* A state was told. */
static void check_state(const struct request *q, const struct lmn_reply *r)
{
    struct job *j = q->job;

    if (!j || !j->offered) {
        wrong(q, R_INVENTED, r);
        return;
    }
    if ((q->phase != LMN_ACTIVE && r->phase != q->phase) ||
        (q->told != LMN_ACTIVE && r->phase != q->told) ||
        (r->phase == LMN_WITHDRAWN && !j->cancel_asked) ||
        (q->kind == CANCELLATION && r->phase == LMN_ACTIVE))
        wrong(q, R_WENT_BACK, r);
    for (uint32_t k = 0; r->phase == LMN_FINISHED && k < j->spec.tasks; k++)
        if (!j->done[k]) {
            wrong(q, R_NOT_DONE, r);
            break;
        }
    j->accepted = true;
    w.answers_overtaken += j->told != LMN_ACTIVE && r->phase == LMN_ACTIVE;
    if (r->phase != LMN_ACTIVE)
        j->told = r->phase;
    if (r->phase == LMN_WITHDRAWN && j->cancelled_at < 0) {
        j->cancelled_at = w.now;
        w.cancelled++;
    }
}

/* An answer has reached its user. */
static void receive(const struct request *q, const struct lmn_reply *r)
{
    struct job *j = q->job;

    w.answers++;
    switch (r->status) {
    case 200:
    case 201:
        check_state(q, r);
        if (r->status == 201 && (q->recorded || q->form != SOUND))
            wrong(q, R_INVENTED, r); /* it was known, or can't be accepted */
        break;
    case 404:
        if (q->recorded || q->accepted || q->kind == SUBMISSION)
            wrong(q, R_FORGOTTEN, r);
        w.answers_overtaken += j && j->accepted && !q->accepted;
        break;
    case 400:
    case 422:
        if (q->recorded || q->accepted || q->kind != SUBMISSION ||
            q->form != (r->status == 400 ? LACKS_FIELD : FITS_NOWHERE))
            wrong(q, R_FORGOTTEN, r);
        break;
    default:
        assert_int_equal(r->status, 503);
        w.answers_none++;
    }
}

/* --- requests --- */

static void end(struct request *q)
{
    int i = q->job ? (int)(q->job - w.jobs) : -1;

    for (int k = 0; k < 2 && i >= 0; k++)
        if (users.pending[i][k] == q) {
            users.pending[i][k] = NULL;
            users.retry[i][k] = w.now + between(0.1, 1.5);
        }
    q->stage = OVER;
}

static void reply(struct request *q, const struct lmn_reply *r)
{
    receive(q, r);
    end(q);
}

static void submitted(void *arg, struct lmn_txn *t, enum lmn_outcome outcome,
                      uint64_t rev)
{
    struct request *q = arg;
    (void)t;
    (void)rev;

    if (w.broken == G_OUTCOME && outcome == LMN_UNKNOWN)
        outcome = LMN_OK;
    q->decision = lmn_decide_submitted(outcome);
    q->stage = CONFIRMING;
    if (q->decision.step == LMN_STEP_REPLY)
        reply(q, &q->decision.reply);
}

static GByteArray *body_of(const struct request *q)
{
    GByteArray *b = g_byte_array_new();
    struct lmn_spec s = q->job ? q->job->spec : w.jobs[0].spec;

    g_strlcpy(s.ref, q->ref, sizeof s.ref);
    if (q->form == FITS_NOWHERE)
        s.cpus = 1000;
    if (q->form == LACKS_FIELD)
        s.class_name = (char *)"";
    lmn_put_map(b, lmn_spec_pairs());
    lmn_spec_put(b, &s);
    return b;
}

static void arrive(struct request *q, struct node *n)
{
    struct lmn_core *c = n->core;
    GByteArray *body;

    q->life = c;
    if (q->kind == STATUS) {
        q->decision = lmn_decide_status(c, q->ref, w.clock);
    } else if (q->kind == CANCELLATION) {
        q->decision = lmn_decide_cancel(c, q->ref);
    } else {
        body = body_of(q);
        lmn_submission_parse(&q->sent, &n->cfg, body->data, body->len);
        g_byte_array_unref(body);
        q->decision = lmn_decide_submission(c, &q->sent, w.clock);
    }
    if (w.broken == G_REPEAT && q->form != SOUND && q->decision.step == LMN_STEP_CONFIRM)
        q->decision = (struct lmn_decision){.step = LMN_STEP_REPLY,
                                            .reply.status = q->decision.absent_status};
    switch (q->decision.step) {
    case LMN_STEP_REPLY:
        reply(q, &q->decision.reply);
        break;
    case LMN_STEP_CONFIRM:
        q->stage = CONFIRMING;
        break;
    case LMN_STEP_CANCEL:
        q->stage = READING;
        break;
    case LMN_STEP_COMMIT:
        q->stage = COMMITTING;
        lmn_state_submit(n->state,
                         lmn_submission_txn(c, &q->sent.spec, w.now, submitted, q));
    }
}

/* The view is taken, and the state service asked: at once, or it takes its time. */
static void confirm(struct request *q, const struct node *n)
{
    struct lmn_txn *t;

    lmn_view_take(n->core, q->ref, &q->view);
    t = lmn_confirmation(&q->view, 1);
    q->outcome = !node_served(n) ? LMN_REFUSED
                 : chance(0.02) || (w.now < w.lost_until && chance(0.3))
                     ? LMN_UNKNOWN
                     : world_confirm(t, q->failed);
    if (w.broken == G_CONFIRM)
        q->outcome = LMN_OK;
    lmn_txn_free(t);
    q->stage = CONFIRMED;
    q->at = w.now + on_the_way(n);
}

static void confirmed(struct request *q, const struct node *n)
{
    struct lmn_reply r;

    switch (lmn_view_confirmed(&q->view, q->outcome, q->failed)) {
    case LMN_CONFIRMED_LATEST:
        r = lmn_reply_confirmed(n->core, &q->view, q->decision.absent_status);
        reply(q, &r);
        break;
    case LMN_CONFIRMED_OUTDATED:
        q->stage = READING;
        break;
    case LMN_CONFIRMED_NOTHING:
        r = lmn_reply_unavailable();
        reply(q, &r);
    }
}

static void start_reading(struct request *q, const struct node *n)
{
    lmn_reading_clear(&q->reading);
    if (node_served(n) && !chance(0.02))
        read_record(q->ref, &q->reading);
    else
        q->reading.status = LMN_NO_ANSWER;
    q->stage = q->decision.step == LMN_STEP_CANCEL ? CANCELLING : READ;
    q->at = w.now + on_the_way(n);
}

static void cancel(struct request *q, struct node *n)
{
    struct lmn_reply r;
    uint64_t rev = 0;

    if (w.broken == G_FINAL && q->reading.status == 200) {
        /* Written whatever the record has become. */
        lmn_reading_clear(&q->reading);
        read_record(q->ref, &q->reading);
        q->reading.phase = LMN_ACTIVE;
    }
    struct lmn_txn *t =
        lmn_cancellation(q->ref, &q->reading, q->decision.absent_status, &r);
    if (!t) {
        reply(q, &r);
        return;
    }
    q->outcome =
        node_served(n) ? world_send(n, t, g_rand_double(users.r), &rev) : LMN_REFUSED;
    lmn_txn_free(t);
    if (q->outcome == LMN_OK)
        lmn_tombstone_add(&n->core->tombstones, q->ref);
    q->stage = CANCELLED;
    q->at = w.now + on_the_way(n);
}

static void cancelled(struct request *q)
{
    struct lmn_reply r;

    if (lmn_cancelled(q->outcome, &r) || ++q->tries == LMN_CANCEL_TRIES)
        reply(q, &r);
    else
        q->stage = READING;
}

static void go_on(struct request *q, struct node *n)
{
    struct lmn_reply r;

    switch (q->stage) {
    case ARRIVING:
        arrive(q, n);
        break;
    case CONFIRMING:
        confirm(q, n);
        break;
    case CONFIRMED:
        confirmed(q, n);
        break;
    case READING:
        start_reading(q, n);
        break;
    case READ:
        r = lmn_reply_read(n->core, q->ref, &q->reading, q->decision.absent_status);
        reply(q, &r);
        break;
    case CANCELLING:
        cancel(q, n);
        break;
    case CANCELLED:
        cancelled(q);
        break;
    case COMMITTING:
    case OVER:
        break;
    }
}

/* As far as it gets at this instant. */
static void advance(struct request *q)
{
    struct node *n = &w.nodes[q->node];

    if (!node_up(n) || !n->core || (q->life && q->life != n->core)) {
        end(q); /* nobody answers */
        return;
    }
    while (q->stage != OVER && q->stage != COMMITTING && q->at <= w.now &&
           w.now >= n->still_until)
        go_on(q, n);
}

static struct request *send(enum kind kind, enum form form, const char *ref, int node)
{
    struct request *q = g_new0(struct request, 1);
    int i = world_job(ref);
    const struct item *it = record_of(ref);

    q->kind = kind;
    q->form = form;
    q->node = node;
    q->job = i < 0 ? NULL : &w.jobs[i];
    q->failed = g_ptr_array_new_with_free_func(g_free);
    g_strlcpy(q->ref, ref, sizeof q->ref);
    q->recorded = it != NULL;
    if (it) {
        struct lmn_job_reading now;
        read_record(ref, &now);
        q->phase = now.phase;
        lmn_reading_clear(&now);
    }
    if (q->job) {
        q->accepted = q->job->accepted;
        q->told = q->job->told;
    }
    if (q->job && kind == CANCELLATION)
        q->job->cancel_asked = true;
    g_ptr_array_add(users.requests, q);
    if (kind != STATUS && q->job && form == SOUND) {
        int which = kind == CANCELLATION;
        if (!users.pending[i][which])
            users.pending[i][which] = q;
    }
    advance(q);
    return q;
}

static int any_node(void)
{
    return g_rand_int_range(users.r, 0, w.layout.nodes);
}

/* --- what users do --- */

void users_begin(uint32_t seed)
{
    if (users.r)
        g_rand_free(users.r);
    memset(&users, 0, sizeof users);
    users.r = g_rand_new_with_seed(seed + 1000);
    users.requests = g_ptr_array_new();
}

void users_submit(struct job *j)
{
    j->offered = true;
}

void users_cancel(struct job *j)
{
    j->cancel_wanted = true;
}

/* Submissions and cancellations are repeated until they are answered. */
static void insist(struct job *j, int i)
{
    if (j->offered && !j->accepted && !users.pending[i][0] && w.now >= users.retry[i][0])
        send(SUBMISSION, SOUND, j->ref, any_node());
    if (j->cancel_wanted && j->cancelled_at < 0 && !j->told_done &&
        !users.pending[i][1] && w.now >= users.retry[i][1])
        send(CANCELLATION, SOUND, j->ref, any_node());
}

/* A job is looked at closely when its record has changed, and as its last task ends. */
static void notice(struct job *j, int i)
{
    const struct item *it = record_of(j->ref);
    bool all = j->submitted && j->spec.kind == LMN_BATCH;

    if (it && it->rev != users.seen[i]) {
        users.seen[i] = it->rev;
        users.hot_until[i] = w.now + HOT_S;
    }
    for (uint32_t k = 0; all && k < j->spec.tasks; k++)
        all = j->done[k];
    if (!all || users.ending[i])
        return;
    users.ending[i] = true;
    users.hot_until[i] = w.now + HOT_S;
    if (w.now < w.cancel_at_end_until && chance(0.5))
        j->cancel_wanted = true;
}

static void look_closely(const struct job *j, int i)
{
    if (w.now >= w.looks_until || w.now >= users.hot_until[i])
        return;
    for (int k = 0; k < w.layout.nodes; k++) {
        send(STATUS, SOUND, j->ref, k);
        if (j->accepted && chance(0.3))
            send(SUBMISSION, SOUND, j->ref, k);
        if (j->cancel_wanted && chance(0.3))
            send(CANCELLATION, SOUND, j->ref, k);
    }
}

static void ask_oddly(const struct job *j, int i)
{
    static const char *const strange[] = {"run-900001", "run-000000000001", "nonsense"};
    const char *nobodys = strange[g_rand_int_range(users.r, 0, 3)];
    int node = any_node();

    if (w.now >= w.odd_until || !chance(w.now < users.hot_until[i] ? 0.5 : 0.02))
        return;
    for (int k = 0; k < w.layout.nodes; k++)
        for (enum form f = LACKS_FIELD; f < FORMS; f++)
            send(SUBMISSION, f, j->ref, k);
    if (j->accepted)
        send(SUBMISSION, SOUND, j->ref, node);
    if (j->told_done)
        send(CANCELLATION, SOUND, j->ref, node);
    send(STATUS, SOUND, nobodys, node);
    send(CANCELLATION, SOUND, nobodys, node);
    if (lmn_ref_ok(nobodys))
        send(SUBMISSION, chance(0.5) ? LACKS_FIELD : FITS_NOWHERE, nobodys, node);
}

static void go_on_with_requests(void)
{
    for (guint i = users.requests->len; i-- > 0;) {
        struct request *q = users.requests->pdata[i];
        if (q->stage != OVER)
            advance(q);
        if (q->stage != OVER)
            continue;
        lmn_submission_clear(&q->sent);
        lmn_reading_clear(&q->reading);
        g_ptr_array_free(q->failed, TRUE);
        g_ptr_array_remove_index_fast(users.requests, i);
        g_free(q);
    }
}

void users_step(void)
{
    for (int i = 0; i < JOBS; i++) {
        struct job *j = &w.jobs[i];
        if (!j->offered)
            continue;
        if (record_of(j->ref))
            j->submitted = true;
        notice(j, i);
        insist(j, i);
        look_closely(j, i);
        ask_oddly(j, i);
        if (chance(0.01))
            send(STATUS, SOUND, j->ref, any_node());
    }
    go_on_with_requests();
}

void users_look_at_all(void)
{
    for (int i = 0; i < JOBS; i++)
        for (int k = 0; k < w.layout.nodes && w.jobs[i].offered; k++)
            send(STATUS, SOUND, w.jobs[i].ref, k);
    go_on_with_requests();
}
