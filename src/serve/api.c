/* Users' requests. What a user is told as accepted, cancelled or done is committed; an
 * answer that is not final is read through, so that no node answers older than another.
 */
#include "serve/api.h"
#include "base/log.h"
#include "base/thread.h"
#include "base/wire.h"
#include "serve/asks.h"
#include "state/core.h"
#include "state/records.h"

#include <math.h>
#include <string.h>

static pthread_mutex_t asks_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t asks_more;
static struct lmn_asks asks;

static const char *phase_word(enum lmn_phase phase, uint32_t running, uint32_t done)
{
    if (phase == LMN_FINISHED)
        return W_DONE;
    if (phase == LMN_WITHDRAWN)
        return W_WITHDRAWN;
    return running || done ? W_RUNNING : W_QUEUED;
}

/* Tasks done and running, as far as this node knows; for display. */
static void tally(const struct lmn_job *j, uint32_t *done, uint32_t *running)
{
    uint32_t left = 0;

    *running = 0;
    for (guint i = 0; i < j->ranges->len; i++) {
        const struct lmn_range *r = j->ranges->pdata[i];
        left += r->hi - r->lo - (r->st ? r->nfinished : r->ndone);
        *running += r->nstarted;
    }
    *done = j->phase == LMN_FINISHED ? j->spec.tasks
                                     : j->spec.tasks - MIN(left, j->spec.tasks);
    if (j->phase != LMN_ACTIVE)
        *running = 0;
}

static GByteArray *job_answer(const char *ref, enum lmn_phase phase, uint32_t done,
                              uint32_t running)
{
    GByteArray *b = g_byte_array_new();
    lmn_put_map(b, 4);
    lmn_put_text(b, W_ID), lmn_put_text(b, ref);
    lmn_put_text(b, W_STATE), lmn_put_text(b, phase_word(phase, running, done));
    lmn_put_text(b, W_DONE), lmn_put_count(b, done);
    lmn_put_text(b, W_RUNNING), lmn_put_count(b, running);
    return b;
}

static GByteArray *error_answer(const char *what)
{
    GByteArray *b = g_byte_array_new();
    lmn_put_map(b, 1);
    lmn_put_text(b, "error"), lmn_put_text(b, what);
    return b;
}

/* The answer from the mirror; NULL if the job isn't there. */
static GByteArray *mirror_answer(const struct lmn_core *c, const char *ref, uint64_t *rev,
                                 bool *final)
{
    const struct lmn_job *j = g_hash_table_lookup(c->jobs, ref);
    uint32_t done, running;

    *rev = 0;
    *final = false;
    if (!j)
        return NULL;
    tally(j, &done, &running);
    *rev = j->rev;
    *final = j->phase != LMN_ACTIVE;
    return job_answer(ref, j->phase, done, running);
}

/* The call is held already. */
static void enqueue_held(enum lmn_ask_kind kind, struct lmn_call *call, const char *ref,
                         int absent_status)
{
    struct lmn_ask *a = g_new0(struct lmn_ask, 1);

    a->kind = kind;
    a->call = call;
    a->absent_status = absent_status;
    a->since = lmn_now();
    g_strlcpy(a->ref, ref, sizeof a->ref);
    pthread_mutex_lock(&asks_lock);
    lmn_asks_put(&asks, a);
    pthread_cond_signal(&asks_more);
    pthread_mutex_unlock(&asks_lock);
}

static void enqueue(enum lmn_ask_kind kind, struct lmn_call *call, const char *ref,
                    int absent_status)
{
    lmn_call_hold(call);
    enqueue_held(kind, call, ref, absent_status);
}

/* Final answers never change: the mirror's will do. 1 if the call was answered so. */
static bool answer_final(struct lmn_core *c, struct lmn_call *call, const char *ref)
{
    uint64_t rev;
    bool final;

    pthread_mutex_lock(&c->lock);
    c->count.polls++;
    GByteArray *a = mirror_answer(c, ref, &rev, &final);
    pthread_mutex_unlock(&c->lock);
    if (a && final) {
        lmn_call_answer(call, 200, a, 0);
        return true;
    }
    if (a)
        g_byte_array_unref(a);
    return false;
}

/* Answers the call at once if it is one of those that the node is too far behind for. */
static bool shed(struct lmn_core *c, enum lmn_shed what, struct lmn_call *call,
                 int status)
{
    pthread_mutex_lock(&c->lock);
    bool gone = lmn_load_sheds(&c->load, what, c->rng);
    int wait = gone ? lmn_retry_after(2 * c->load.behind, c->rng) : 0;
    pthread_mutex_unlock(&c->lock);
    if (gone)
        lmn_call_answer(call, status, NULL, wait);
    return gone;
}

/* Nothing can be confirmed now: held back, a question took a socket and its user's
 * patience, and ended as 503 all the same. */
static bool blind(struct lmn_core *c, struct lmn_call *call)
{
    pthread_mutex_lock(&c->lock);
    bool is = lmn_staleness(c, lmn_now()) > LMN_STALE_S;
    int wait = is ? lmn_retry_after(1, c->rng) : 0;
    pthread_mutex_unlock(&c->lock);
    if (is)
        lmn_call_answer(call, 503, NULL, wait);
    return is;
}

void lmn_api_poll(struct lmn_core *c, struct lmn_call *call, const char *ref)
{
    if (!lmn_ref_ok(ref)) {
        lmn_call_answer(call, 404, NULL, 0);
        return;
    }
    if (answer_final(c, call, ref))
        return;
    if (shed(c, LMN_SHED_POLL, call, 503) || blind(c, call))
        return;
    enqueue(LMN_ASK_POLL, call, ref, 404);
}

void lmn_api_cancel(struct lmn_core *c, struct lmn_call *call, const char *ref)
{
    if (!lmn_ref_ok(ref)) {
        lmn_call_answer(call, 404, NULL, 0);
        return;
    }
    if (!answer_final(c, call, ref))
        enqueue(LMN_ASK_CANCEL, call, ref, 404);
}

bool lmn_api_ready(struct lmn_core *c)
{
    pthread_mutex_lock(&c->lock);
    double stale = lmn_staleness(c, lmn_now());
    bool ready = c->synced && c->types_known && !c->leaving &&
                 (stale < LMN_STALE_S || (!c->odd_one && stale < 30));
    pthread_mutex_unlock(&c->lock);
    return ready;
}

/* --- submission --- */

struct submission {
    struct lmn_core *c;
    struct lmn_call *call;
    char ref[LMN_REF];
    struct timespec since;
};

static void submitted(void *arg, struct lmn_txn *t, enum lmn_outcome outcome,
                      uint64_t rev)
{
    struct submission *s = arg;
    (void)t;
    (void)rev;

    lmn_debug("job-submitted job=%s outcome=%d took=%.3f", s->ref, outcome,
              lmn_since(lmn_now(), s->since));

    if (outcome == LMN_OK) {
        GByteArray *b = g_byte_array_new();
        pthread_mutex_lock(&s->c->lock);
        lmn_latency_add(&s->c->accepting, lmn_since(lmn_now(), s->since));
        pthread_mutex_unlock(&s->c->lock);
        lmn_put_map(b, 2);
        lmn_put_text(b, W_ID), lmn_put_text(b, s->ref);
        lmn_put_text(b, W_STATE), lmn_put_text(b, W_QUEUED);
        lmn_call_answer(s->call, 201, b, 0);
    } else if (outcome == LMN_CONFLICT) {
        /* Known already, though not yet to the mirror: the answer is read. */
        enqueue_held(LMN_ASK_POLL, s->call, s->ref, 503);
    } else {
        /* Refused, or unknown: if it was executed after all, the retry finds the job. */
        lmn_call_answer(s->call, 503, NULL, 1);
    }
    g_free(s);
}

/* What a partition could give to the job, and what it still has to do, in processors. */
static void weigh(struct lmn_core *c, int id, const struct lmn_spec *s, double *weight,
                  double *load)
{
    GHashTableIter it;
    gpointer v;

    *weight = *load = 0;
    g_hash_table_iter_init(&it, c->parts[id].machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *m = v;
        if (!m->type)
            m->type = lmn_type_named(c, m->type_name);
        if (m->type && m->rev && !m->is_gone &&
            lmn_spec_allows(s, m->type, m->zone, m->spot))
            *weight += m->type->cpus + m->type->gpus;
    }
    /* As recorded, for one's own partitions too: else they would look emptier than the
     * others. */
    g_hash_table_iter_init(&it, c->parts[id].ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_range *r = v;
        if (r->job->phase == LMN_ACTIVE)
            *load += (r->hi - r->lo - r->ndone) * (r->job->spec.cpus + r->job->spec.gpus);
    }
}

/* A part of a job is no smaller than this share of what a partition could give. Each part
 * costs the state service changes at its birth and at its end; a small job gains nothing
 * by being cut. */
static const double LEAST_PART = 0.05;

/* The job's tasks for each partition: as few parts as its size needs, to those with the
 * least to do for their size. */
static void shares(struct lmn_core *c, const struct lmn_spec *s, uint32_t *n)
{
    double weight[LMN_MAX_PARTS] = {0}, load[LMN_MAX_PARTS], sum = 0;
    int parts = c->nparts, order[LMN_MAX_PARTS] = {0}, able = 0;
    int first = (int)(g_str_hash(s->ref) % (guint)parts);
    uint32_t given = 0;

    memset(n, 0, sizeof *n * (size_t)c->nparts);
    for (int i = 0; i < parts; i++) {
        weigh(c, i, s, &weight[i], &load[i]);
        sum += weight[i];
    }
    double size = s->tasks * (s->cpus + s->gpus) * parts;
    int want = sum > 0 ? (int)MIN(ceil(size / (LEAST_PART * sum)), parts) : 1;
    for (int i = 0; sum <= 0 && i < parts; i++)
        weight[i] = 1;
    /* While writes have to wait, a job is not cut: steals will spread what one partition
     * can't start. And one owner must see all of a job whose tasks depend on each other's
     * places. */
    if (s->one_zone || s->spread || lmn_state_backlog(c->state, LMN_RANK_CLOSE) > 0)
        want = 1;
    for (int k = 0; k < parts; k++) {
        int i = (first + k) % parts, at = able;
        if (weight[i] <= 0)
            continue;
        while (at > 0 &&
               load[i] / weight[i] < load[order[at - 1]] / weight[order[at - 1]]) {
            order[at] = order[at - 1];
            at--;
        }
        order[at] = i;
        able++;
    }
    /* The job's record and each part are a change of one transaction. */
    want = CLAMP(want, 1, MIN(able, MAX(c->cfg->txn_ops - 1, 1)));
    sum = 0;
    for (int k = 0; k < want; k++)
        sum += weight[order[k]];
    for (int k = 0; k < want; k++) {
        uint32_t part = (uint32_t)floor((double)s->tasks * weight[order[k]] / sum + 0.5);
        n[order[k]] = MIN(part, s->tasks - given);
        given += n[order[k]];
    }
    n[order[0]] += s->tasks - given;
}

static struct lmn_txn *submission_txn(struct lmn_core *c, const struct lmn_spec *s,
                                      struct submission *arg)
{
    struct lmn_txn *t = lmn_txn_new(LMN_RANK_USER, submitted, arg);
    uint32_t n[LMN_MAX_PARTS], open = 0, at = 0;
    struct lmn_range r = {0};
    char key[96];
    struct timespec wall = lmn_wall();
    /* One bit a task as hexadecimal text: so many that no value passes the limit. */
    uint32_t most = (uint32_t)(c->cfg->value_kb * 1024 * 3);

    shares(c, s, n);
    g_snprintf(key, sizeof key, "j/%s", s->ref);
    lmn_txn_if(t, key, 0);
    char *job_key = g_strdup(key);
    for (int i = 0; i < c->nparts; i++)
        while (n[i] > 0) {
            uint32_t k = MIN(n[i], most);
            r.lo = at;
            r.hi = at + k;
            uint8_t *none = g_malloc0((k + 7) / 8);
            g_snprintf(key, sizeof key, "r/%d/%s/%u", i, s->ref, at);
            lmn_txn_write(t, key, lmn_range_record(&r, none), 0);
            g_free(none);
            at += k;
            n[i] -= k;
            open++;
        }
    /* The watch shows changes in the order of the transaction: first ranges, then the
     * job, would leave ranges without a job. */
    lmn_txn_write_first(t, job_key,
                        lmn_job_record(s, LMN_ACTIVE, open, lmn_seconds(wall)));
    g_free(job_key);
    return t;
}

/* Whether the job's record is larger than a value may be, counted as JSON. */
static bool too_large(const struct lmn_core *c, const struct lmn_spec *s)
{
    size_t most = (size_t)(c->cfg->value_kb * 1024), types = 0;
    struct lmn_doc d;

    for (char **t = s->types; t && *t; t++)
        types += strlen(*t) + 3;
    /* All else is bounded; few descriptions need a closer look. */
    if (types + 2048 < most)
        return false;
    GByteArray *b = lmn_job_record(s, LMN_ACTIVE, UINT32_MAX, 1e10);
    bool large =
        lmn_doc_parse(&d, b->data, b->len) == 0 && lmn_json_size(&d, lmn_root(&d)) > most;
    lmn_doc_free(&d);
    g_byte_array_unref(b);
    return large;
}

void lmn_api_submit(struct lmn_core *c, struct lmn_call *call)
{
    const GByteArray *body = lmn_call_body(call);
    struct lmn_doc d;
    struct lmn_spec s;
    const char *what = "not CBOR";
    uint64_t rev;
    bool final, known = false;

    if (lmn_doc_parse(&d, body->data, body->len) != 0) {
        lmn_call_answer(call, 400, error_answer("not CBOR"), 0);
        return;
    }
    if (lmn_spec_parse(&s, &d, lmn_root(&d), &what) != 0) {
        /* Even then, an id that was accepted before is answered with its state. */
        if (*s.ref && lmn_ref_ok(s.ref)) {
            if (!answer_final(c, call, s.ref))
                enqueue(LMN_ASK_POLL, call, s.ref, 400);
        } else {
            lmn_call_answer(call, 400, error_answer(what), 0);
        }
        lmn_spec_clear(&s);
        lmn_doc_free(&d);
        return;
    }
    pthread_mutex_lock(&c->lock);
    c->count.submissions++;
    GByteArray *a = mirror_answer(c, s.ref, &rev, &final);
    known = a != NULL;
    bool synced = c->synced, types = c->types_known;
    bool possible = lmn_spec_possible(&s, c->cfg, &c->types, &what);
    pthread_mutex_unlock(&c->lock);
    if (a && final) {
        lmn_call_answer(call, 200, a, 0);
    } else if (known) {
        enqueue(LMN_ASK_POLL, call, s.ref, 503);
    } else if (too_large(c, &s)) {
        /* No value can hold it: that would be 503 at each try, for ever. */
        lmn_debug("job-too-large job=%s", s.ref);
        enqueue(LMN_ASK_POLL, call, s.ref, 400);
    } else if (!synced || !types) {
        lmn_call_answer(call, 503, NULL, 2);
    } else if (blind(c, call)) {
        ; /* answered */
    } else if (!possible) {
        lmn_debug("job-impossible job=%s why=\"%s\"", s.ref, what);
        enqueue(LMN_ASK_POLL, call, s.ref, 422);
    } else {
        double wait = lmn_state_backlog(c->state, LMN_RANK_USER);
        if (wait > 2.0) {
            pthread_mutex_lock(&c->lock);
            c->count.refused++;
            int after = lmn_retry_after(wait, c->rng);
            pthread_mutex_unlock(&c->lock);
            lmn_call_answer(call, 429, NULL, after);
        } else if (!shed(c, LMN_SHED_SUBMISSION, call, 429)) {
            struct submission *arg = g_new0(struct submission, 1);
            arg->c = c;
            arg->call = call;
            arg->since = lmn_now();
            g_strlcpy(arg->ref, s.ref, sizeof arg->ref);
            pthread_mutex_lock(&c->lock);
            struct lmn_txn *t = submission_txn(c, &s, arg);
            pthread_mutex_unlock(&c->lock);
            lmn_call_hold(call);
            lmn_state_submit(c->state, t);
        }
    }
    if (a && !final)
        g_byte_array_unref(a);
    lmn_spec_clear(&s);
    lmn_doc_free(&d);
}

/* --- the thread that reads through --- */

/* Reads one job. Returns the status of the reading (200, 404 or another). */
static int read_job(struct lmn_core *c, struct lmn_http *h, GByteArray *buf,
                    const char *ref, struct lmn_spec *s, enum lmn_phase *phase,
                    uint32_t *open, double *at, uint64_t *rev)
{
    char path[96];
    struct lmn_doc d;

    memset(s, 0, sizeof *s);
    g_snprintf(path, sizeof path, P_STORE "/j/%s", ref);
    lmn_state_pace(c->state);
    int status = lmn_http_call(h, "GET", path, NULL, 1.5, buf);
    if (status != 200)
        return status;
    if (lmn_doc_parse(&d, buf->data, buf->len) != 0)
        return LMN_NO_ANSWER;
    const struct lmn_node *root = lmn_root(&d);
    if (!lmn_count(lmn_get(&d, root, W_VERSION), rev) ||
        lmn_job_read(&d, lmn_get(&d, root, W_VALUE), s, phase, open, at) != 0)
        status = LMN_NO_ANSWER;
    lmn_doc_free(&d);
    return status;
}

static void answer_absent(struct lmn_ask *a)
{
    if (a->absent_status == 503)
        lmn_call_answer(a->call, 503, NULL, 1);
    else
        lmn_call_answer(a->call, a->absent_status,
                        a->absent_status == 404 ? NULL : error_answer("refused"), 0);
}

/* The same to all who ask: a body, or that it isn't there, or NULL: that nobody knows. */
static void answer_all(struct lmn_ask *asks, const GByteArray *body, bool absent)
{
    for (struct lmn_ask *a = asks, *next; a; a = next) {
        next = a->next;
        if (absent) {
            answer_absent(a);
        } else if (body) {
            GByteArray *b = g_byte_array_sized_new(body->len);
            g_byte_array_append(b, body->data, body->len);
            lmn_call_answer(a->call, 200, b, 0);
        } else {
            lmn_call_answer(a->call, 503, NULL, 1);
        }
        g_free(a);
    }
}

/* The mirror is behind: the job itself is read. */
static void answer_read(struct lmn_core *c, struct lmn_http *h, GByteArray *buf,
                        struct lmn_ask *asks)
{
    struct lmn_spec s;
    enum lmn_phase phase = LMN_ACTIVE;
    uint32_t open, done = 0, running = 0;
    double at;
    uint64_t rev;
    GByteArray *body = NULL;
    int status = read_job(c, h, buf, asks->ref, &s, &phase, &open, &at, &rev);

    if (status == 200) {
        pthread_mutex_lock(&c->lock);
        const struct lmn_job *j = g_hash_table_lookup(c->jobs, asks->ref);
        if (j)
            tally(j, &done, &running);
        pthread_mutex_unlock(&c->lock);
        if (phase == LMN_FINISHED)
            done = s.tasks;
        body = job_answer(asks->ref, phase, done, phase == LMN_ACTIVE ? running : 0);
    }
    answer_all(asks, body, status == 404);
    if (body)
        g_byte_array_unref(body);
    lmn_spec_clear(&s);
}

static void cancel_one(struct lmn_core *c, struct lmn_http *h, GByteArray *buf,
                       struct lmn_ask *a)
{
    for (int tries = 0; tries < 5; tries++) {
        struct lmn_spec s;
        enum lmn_phase phase = LMN_ACTIVE;
        uint32_t open = 0;
        double at = 0;
        uint64_t rev = 0;
        char key[64];

        int status = read_job(c, h, buf, a->ref, &s, &phase, &open, &at, &rev);
        if (status != 200 || phase != LMN_ACTIVE) {
            if (status == 200)
                lmn_call_answer(
                    a->call, 200,
                    job_answer(a->ref, phase, phase == LMN_FINISHED ? s.tasks : 0, 0), 0);
            else if (status == 404)
                answer_absent(a);
            else
                lmn_call_answer(a->call, 503, NULL, 1);
            lmn_spec_clear(&s);
            return;
        }
        struct lmn_txn *t = lmn_txn_new(LMN_RANK_OWNER, NULL, NULL);
        g_snprintf(key, sizeof key, "j/%s", a->ref);
        lmn_txn_if(t, key, rev);
        lmn_txn_write(t, key, lmn_job_record(&s, LMN_WITHDRAWN, open, at), 0);
        lmn_spec_clear(&s);
        enum lmn_outcome r = lmn_state_send(c->state, h, t, &rev, NULL);
        lmn_txn_free(t);
        if (r == LMN_OK) {
            lmn_debug("job-cancelled job=%s", a->ref);
            pthread_mutex_lock(&c->lock);
            if (c->members.n > 1)
                lmn_tombstone_add(&c->tombstones, a->ref);
            pthread_mutex_unlock(&c->lock);
            lmn_call_answer(a->call, 200, job_answer(a->ref, LMN_WITHDRAWN, 0, 0), 0);
            return;
        }
        if (r != LMN_CONFLICT)
            break; /* unknown: the user asks again, and then it is read */
    }
    lmn_call_answer(a->call, 503, NULL, 1);
}

/* Many jobs, one request: a transaction of conditions alone says which of the mirror's
 * versions are the latest. */
static void check_batch(struct lmn_core *c, struct lmn_http *h, GByteArray *buf,
                        struct lmn_ask **v, guint n)
{
    struct lmn_txn *t = lmn_txn_new(LMN_RANK_USER, NULL, NULL);
    GPtrArray *stale = g_ptr_array_new_with_free_func(g_free);
    GByteArray **body = g_new0(GByteArray *, n);
    char key[64];
    uint64_t rev;
    bool final;

    pthread_mutex_lock(&c->lock);
    for (guint i = 0; i < n; i++) {
        body[i] = mirror_answer(c, v[i]->ref, &rev, &final);
        g_snprintf(key, sizeof key, "j/%s", v[i]->ref);
        lmn_txn_if(t, key, rev);
    }
    pthread_mutex_unlock(&c->lock);
    enum lmn_outcome r = lmn_state_send(c->state, h, t, &rev, stale);
    lmn_txn_free(t);
    for (guint i = 0; i < n; i++) {
        bool old = false;
        g_snprintf(key, sizeof key, "j/%s", v[i]->ref);
        for (guint k = 0; k < stale->len && !old; k++)
            old = !strcmp(stale->pdata[k], key);
        if (r != LMN_OK && r != LMN_CONFLICT)
            answer_all(v[i], NULL, false);
        else if (old)
            answer_read(c, h, buf, v[i]);
        else
            answer_all(v[i], body[i], !body[i]);
        if (body[i])
            g_byte_array_unref(body[i]);
    }
    g_free(body);
    g_ptr_array_free(stale, TRUE);
}

void *lmn_api_thread(void *arg)
{
    struct lmn_core *c = arg;
    struct lmn_http *h = lmn_http_new(c->cfg->state);
    GByteArray *buf = g_byte_array_new();
    guint max = (guint)MIN(4 * c->cfg->txn_ops, 100);
    struct lmn_ask **v = g_new0(struct lmn_ask *, max), *cancel, *late;

    for (;;) {
        pthread_mutex_lock(&asks_lock);
        while (!asks.order.length)
            pthread_cond_wait(&asks_more, &asks_lock);
        guint n = lmn_asks_take(&asks, v, max, &cancel, &late, lmn_now());
        pthread_mutex_unlock(&asks_lock);
        answer_all(late, NULL, false);
        if (cancel) {
            cancel_one(c, h, buf, cancel);
            g_free(cancel);
        }
        if (n)
            check_batch(c, h, buf, v, n);
    }
    return NULL;
}

__attribute__((constructor)) static void init(void)
{
    lmn_cond_init(&asks_more);
    lmn_asks_init(&asks);
}
