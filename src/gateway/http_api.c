/* The users' interface of the gateway: as a controller's, for jobs that may be run
 * elsewhere; and what the command line asks. Whatever writes is done by a few hands;
 * nothing is told before it is written. */
#include "util/clock.h"
#include "util/log.h"
#include "http/metrics.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "image_store/image_store.h"
#include "gateway/gateway_internal.h"

#include <string.h>

/* A write that takes longer is answered 503: the user asks again, and finds what became
 * of it. */
static const double PATIENCE_S = 2.5;

enum { HANDS = 8, MAX_BODY = 64 * 1024, MOST_CALLS = 512 };

/* What the command line asks. */
#define RECALL "/gateway/recall/"
#define EVICT "/gateway/evict/"
#define ADMIT "/gateway/admit/"

static const char *const states[] = {"waits at home", "at home", "offered",
                                     "away",          "final",   "fenced"};
enum { COURSES = G_N_ELEMENTS(states) };

/* Queued, running, done or withdrawn, as the protocol says. */
static const char *word(const struct lmn_gateway_job *j)
{
    if (j->hand.state == LMN_ORIGIN_FINAL)
        return j->hand.outcome == LMN_OUTCOME_DONE ? WIRE_DONE : WIRE_CANCELLED;
    return j->progress.done || j->progress.running ? WIRE_RUNNING : WIRE_QUEUED;
}

/* The lock is held. */
static GByteArray *job_answer(const struct lmn_gateway *g,
                              const struct lmn_gateway_job *j)
{
    GByteArray *b = g_byte_array_new();
    bool final = j->hand.state == LMN_ORIGIN_FINAL, away = *j->hand.site && !final;

    lmn_cbor_put_map(b, 10);
    lmn_cbor_put_text(b, WIRE_JOB_ID), lmn_cbor_put_text(b, j->ref);
    lmn_cbor_put_text(b, WIRE_STATE), lmn_cbor_put_text(b, word(j));
    lmn_cbor_put_text(b, WIRE_DONE);
    lmn_cbor_put_uint(b, final && j->hand.outcome == LMN_OUTCOME_DONE ? j->spec.tasks
                                                                      : j->progress.done);
    lmn_cbor_put_text(b, WIRE_RUNNING),
        lmn_cbor_put_uint(b, final ? 0 : j->progress.running);
    /* Where it is, and how old that knowledge is. */
    lmn_cbor_put_text(b, "Site"), lmn_cbor_put_text(b, away ? j->hand.site : g->o->site);
    lmn_cbor_put_text(b, "AgeS"),
        lmn_cbor_put_number(b, final ? 0 : lmn_time_diff_s(lmn_now(), j->progress.known));
    lmn_cbor_put_text(b, "Course"), lmn_cbor_put_text(b, states[j->hand.state]);
    lmn_cbor_put_text(b, "Epoch"), lmn_cbor_put_uint(b, j->hand.epoch);
    lmn_cbor_put_text(b, "Cancel"), lmn_cbor_put_bool(b, j->hand.cancel);
    lmn_cbor_put_text(b, "Recall"), lmn_cbor_put_bool(b, j->hand.recall);
    return b;
}

/* --- what writes --- */

static void find_digest(struct lmn_http_client *depot, const char *ref, char *digest)
{
    struct lmn_image_store_error e;

    if (lmn_image_store_lookup(depot, LMN_IMAGE_STORE_KIND_JOB, ref, digest, &e) != 0)
        *digest = '\0';
}

static void submit(struct lmn_gateway *g, struct lmn_http_client *state,
                   struct lmn_http_client *depot, struct lmn_http_request *call)
{
    const GByteArray *body = lmn_http_request_body(call);
    struct lmn_record_write w = {0};
    struct lmn_job_spec s;
    struct lmn_cbor_document d;
    const char *what = "not CBOR";
    char digest[LMN_DIGEST_SIZE] = "";
    double leash = 0;
    bool team = false;

    if (lmn_cbor_parse(&d, body->data, body->len) != 0) {
        lmn_http_request_fail(call, 400, what);
        return;
    }
    bool sane = lmn_job_spec_parse(&s, &d, lmn_cbor_root(&d), &what) == 0;
    /* The record holds it, and little more; what no value can hold would be 503 at each
     * try. */
    if (sane &&
        (double)lmn_cbor_json_size(&d, lmn_cbor_root(&d)) + 600 > g->o->value_kb * 1024) {
        sane = false;
        what = "too large";
    }
    lmn_cbor_get_number(lmn_cbor_get(&d, lmn_cbor_root(&d), "LeashS"), &leash);
    lmn_cbor_free(&d);
    for (unsigned i = 0; sane && i < g->o->nteams; i++)
        team = team || !strcmp(g->o->teams[i], s.team);
    if (sane && team)
        find_digest(depot, s.ref, digest);
    pthread_mutex_lock(&g->book.lock);
    struct lmn_gateway_job *j =
        *s.ref ? lmn_gateway_records_take_job(&g->book, s.ref) : NULL;
    GByteArray *known = j ? job_answer(g, j) : NULL;
    if (j)
        lmn_gateway_records_release_job(&g->book, j);
    else if (sane && team)
        w.job = lmn_gateway_records_new_job(&g->book, &s);
    if (w.job) {
        g_strlcpy(w.job->digest, digest, sizeof w.job->digest);
        w.job->leash_s = CLAMP(leash, 0, 1e7);
    }
    pthread_mutex_unlock(&g->book.lock);
    lmn_job_spec_clear(&s);
    if (known) {
        lmn_http_request_respond(call, 200, known, 0);
        return;
    }
    if (!w.job) {
        lmn_http_request_fail(call, sane ? 422 : 400, sane ? "unknown team" : what);
        return;
    }
    lmn_gateway_records_write(&g->book, state, &w, 1);
    if (!w.ok) {
        lmn_http_request_respond(call, 503, NULL, 1);
        return;
    }
    pthread_mutex_lock(&g->book.lock);
    g->submitted++;
    GByteArray *b = job_answer(g, w.job);
    pthread_mutex_unlock(&g->book.lock);
    lmn_http_request_respond(call, 201, b, 0);
}

enum changed { UNKNOWN, AS_IT_WAS, CHANGED };

/* Takes the job through the transition, on the disk before it returns. site: only if it
 * is there; NULL: wherever it is. */
static enum changed change_job(struct lmn_gateway *g, struct lmn_http_client *state,
                               const char *ref, const char *site,
                               bool (*transition)(struct lmn_origin_record *))
{
    struct lmn_record_write w = {0};

    pthread_mutex_lock(&g->book.lock);
    w.job = lmn_gateway_records_take_job(&g->book, ref);
    bool known = w.job, change = false;
    if (known) {
        w.home = w.job->hand;
        change = (!site || lmn_origin_is_at(&w.home, site)) && transition(&w.home);
        if (!change)
            lmn_gateway_records_release_job(&g->book, w.job);
    }
    pthread_mutex_unlock(&g->book.lock);
    if (change && transition == lmn_origin_revoke)
        lmn_info("recall job=%s site=%s", ref, w.home.site);
    if (change)
        lmn_gateway_records_write(&g->book, state, &w, 1);
    return change ? CHANGED : known ? AS_IT_WAS : UNKNOWN;
}

/* What waits at home is withdrawn at once; what runs, when that is true: until then the
 * answer is honest, and says when to ask again. */
static void cancel(struct lmn_gateway *g, struct lmn_http_client *state,
                   struct lmn_http_request *call, const char *ref)
{
    enum changed change = change_job(g, state, ref, NULL, lmn_origin_cancel);

    if (change == UNKNOWN) {
        lmn_http_request_respond(call, 404, NULL, 0);
        return;
    }
    pthread_mutex_lock(&g->book.lock);
    const struct lmn_gateway_job *j = g_hash_table_lookup(g->book.jobs, ref);
    bool final = j->hand.state == LMN_ORIGIN_FINAL;
    const struct lmn_gateway_peer *p = lmn_gateway_peer_by_site(g, j->hand.site);
    GByteArray *b = final ? job_answer(g, j) : NULL;
    bool reached = !p || p->up;
    g->cancelled += change == CHANGED;
    pthread_mutex_unlock(&g->book.lock);
    lmn_http_request_respond(call, final ? 200 : 503, b, final ? 0 : reached ? 1 : 10);
}

/* Takes every job without an outcome through the transition; how many were changed. One
 * that somebody holds is waited for. site: see change_job. */
static uint64_t change_all(struct lmn_gateway *g, struct lmn_http_client *state,
                           const char *site,
                           bool (*transition)(struct lmn_origin_record *))
{
    GPtrArray *refs = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    gpointer x;
    uint64_t n = 0;

    pthread_mutex_lock(&g->book.lock);
    g_hash_table_iter_init(&it, g->book.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        const struct lmn_gateway_job *j = x;
        struct lmn_origin_record h = j->hand;
        /* What is being written may become so. */
        if (j->busy || ((!site || lmn_origin_is_at(&h, site)) && transition(&h)))
            g_ptr_array_add(refs, g_strdup(j->ref));
    }
    pthread_mutex_unlock(&g->book.lock);
    for (guint i = 0; i < refs->len; i++)
        n += change_job(g, state, refs->pdata[i], site, transition) == CHANGED;
    g_ptr_array_free(refs, TRUE);
    return n;
}

static void answer_jobs(struct lmn_http_request *call, uint64_t n)
{
    GByteArray *b = g_byte_array_new();

    lmn_cbor_put_map(b, 1);
    lmn_cbor_put_text(b, "Jobs"), lmn_cbor_put_uint(b, n);
    lmn_http_request_respond(call, 200, b, 0);
}

/* An operator has found out that nothing of the fenced jobs runs: they wait at home
 * again. */
static void unfence(struct lmn_gateway *g, struct lmn_http_client *state,
                    struct lmn_http_request *call)
{
    uint64_t n = change_all(g, state, NULL, lmn_origin_unfence);

    lmn_info("unfenced jobs=%" G_GUINT64_FORMAT, n);
    answer_jobs(call, n);
}

/* An operator wants a job at home. It is answered with where it is now: it comes when
 * the other site has stopped it and says so. */
static void recall(struct lmn_gateway *g, struct lmn_http_client *state,
                   struct lmn_http_request *call, const char *ref)
{
    if (change_job(g, state, ref, NULL, lmn_origin_revoke) == UNKNOWN) {
        lmn_http_request_respond(call, 404, NULL, 0);
        return;
    }
    pthread_mutex_lock(&g->book.lock);
    const struct lmn_gateway_job *j = g_hash_table_lookup(g->book.jobs, ref);
    bool ok = j->hand.recall || j->hand.state == LMN_ORIGIN_FINAL,
         fenced = j->hand.state == LMN_ORIGIN_FENCED;
    GByteArray *b = ok && !fenced ? job_answer(g, j) : NULL;
    pthread_mutex_unlock(&g->book.lock);
    if (fenced)
        lmn_http_request_fail(call, 409, "fenced: see unfence");
    else
        lmn_http_request_respond(call, ok ? 200 : 503, b, ok ? 0 : 1);
}

/* Nothing goes to the site or comes from it any more; what is there is called back. What
 * runs here for it ends here, and is told to it: its home waits for that. */
static void evict(struct lmn_gateway *g, struct lmn_http_client *state,
                  struct lmn_http_request *call, const char *site, bool out)
{
    if (!lmn_gateway_peer_by_site(g, site)) {
        lmn_http_request_respond(call, 404, NULL, 0);
        return;
    }
    lmn_gateway_records_evict(&g->book, state, site, out);
    pthread_mutex_lock(&g->book.lock);
    bool ok = lmn_gateway_records_is_evicted(&g->book, site) == out;
    pthread_mutex_unlock(&g->book.lock);
    if (!ok) {
        lmn_http_request_respond(call, 503, NULL, 1);
        return;
    }
    uint64_t n = out ? change_all(g, state, site, lmn_origin_revoke) : 0;
    lmn_info("%s site=%s called_back=%" G_GUINT64_FORMAT, out ? "evicted" : "admitted",
             site, n);
    answer_jobs(call, n);
}

static void *hand(void *arg)
{
    struct lmn_gateway *g = arg;
    struct lmn_http_client *state = lmn_http_client_new(g->o->state),
                           *depot = lmn_http_client_new(g->o->depot);

    for (;;) {
        pthread_mutex_lock(&g->book.lock);
        while (!g->calls.head)
            pthread_cond_wait(&g->calls_more, &g->book.lock);
        struct lmn_http_request *call = g_queue_pop_head(&g->calls);
        pthread_mutex_unlock(&g->book.lock);
        const char *path = lmn_http_request_path(call);
        if (!strcmp(path, WIRE_PATH_JOBS)) {
            submit(g, state, depot, call);
        } else if (!strcmp(path, "/gateway/unfence")) {
            unfence(g, state, call);
        } else if (g_str_has_prefix(path, RECALL)) {
            recall(g, state, call, path + strlen(RECALL));
        } else if (g_str_has_prefix(path, EVICT)) {
            evict(g, state, call, path + strlen(EVICT), true);
        } else if (g_str_has_prefix(path, ADMIT)) {
            evict(g, state, call, path + strlen(ADMIT), false);
        } else {
            char *ref = g_strdup(path + strlen(WIRE_PATH_JOBS "/"));
            ref[strlen(ref) - strlen(WIRE_PATH_CANCEL)] = '\0';
            cancel(g, state, call, ref);
            g_free(ref);
        }
    }
    return NULL;
}

/* --- what only reads --- */

static void poll_job(struct lmn_gateway *g, struct lmn_http_request *call,
                     const char *ref)
{
    pthread_mutex_lock(&g->book.lock);
    const struct lmn_gateway_job *j = g_hash_table_lookup(g->book.jobs, ref);
    /* One that is being written for the first time was never told to anybody. */
    GByteArray *b = j && j->rev ? job_answer(g, j) : NULL;
    pthread_mutex_unlock(&g->book.lock);
    lmn_http_request_respond(call, b ? 200 : 404, b, 0);
}

/* Jobs by their course; the lock is held. */
static void count_courses(const struct lmn_gateway *g, uint64_t n[COURSES])
{
    const struct lmn_gateway_records *b = &g->book;
    GHashTableIter it;
    gpointer x;

    memset(n, 0, COURSES * sizeof *n);
    g_hash_table_iter_init(&it, b->open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &x))
        n[((struct lmn_gateway_job *)x)->hand.state]++;
    n[LMN_ORIGIN_FINAL] = g_hash_table_size(b->jobs) - g_hash_table_size(b->open_jobs);
}

static void status(struct lmn_gateway *g, struct lmn_http_request *call)
{
    GByteArray *b = g_byte_array_new();
    uint64_t n[COURSES], guests = 0, untold = 0;
    GHashTableIter it;
    gpointer x;

    pthread_mutex_lock(&g->book.lock);
    count_courses(g, n);
    g_hash_table_iter_init(&it, g->book.open_guests);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        bool runs = ((struct lmn_remote_job *)x)->hand.state == LMN_EXECUTION_RUNNING;
        guests += runs;
        untold += !runs;
    }
    lmn_cbor_put_map(b, 8);
    lmn_cbor_put_text(b, "Site"), lmn_cbor_put_text(b, g->o->site);
    lmn_cbor_put_text(b, "Gateway"), lmn_cbor_put_text(b, g->o->name);
    lmn_cbor_put_text(b, "Jobs"), lmn_cbor_put_map(b, COURSES);
    for (int i = 0; i < COURSES; i++)
        lmn_cbor_put_text(b, states[i]), lmn_cbor_put_uint(b, n[i]);
    lmn_cbor_put_text(b, "Guests"), lmn_cbor_put_uint(b, guests);
    lmn_cbor_put_text(b, "OutcomesUntold"), lmn_cbor_put_uint(b, untold);
    double cpus, work_s;
    lmn_gateway_local_load(g, &cpus, &work_s);
    lmn_cbor_put_text(b, "HandedCpus"), lmn_cbor_put_number(b, cpus);
    lmn_cbor_put_text(b, "QueuedCpuS"),
        lmn_cbor_put_number(b, lmn_gateway_queued_cpu_s(g));
    lmn_cbor_put_text(b, "Peers"), lmn_cbor_put_array(b, g->o->npeers);
    for (unsigned i = 0; i < g->o->npeers; i++) {
        const struct lmn_gateway_peer *p = &g->peers[i];
        lmn_cbor_put_map(b, 12);
        lmn_cbor_put_text(b, "Site"), lmn_cbor_put_text(b, g->o->peers[i].site);
        lmn_cbor_put_text(b, "Address"), lmn_cbor_put_text(b, g->o->addresses[i][0]);
        lmn_cbor_put_text(b, "Up"), lmn_cbor_put_bool(b, p->up);
        lmn_cbor_put_text(b, "SilentS"),
            lmn_cbor_put_number(b, lmn_time_diff_s(lmn_now(), p->heard));
        lmn_cbor_put_text(b, "Evicted");
        lmn_cbor_put_bool(b,
                          lmn_gateway_records_is_evicted(&g->book, g->o->peers[i].site));
        lmn_cbor_put_text(b, "Alarm"), lmn_cbor_put_bool(b, p->alarmed);
        lmn_cbor_put_text(b, "Why"), lmn_cbor_put_text(b, p->up ? "" : p->why);
        lmn_cbor_put_text(b, "OffersOut"), lmn_cbor_put_uint(b, p->offers_out);
        lmn_cbor_put_text(b, "OffersIn"), lmn_cbor_put_uint(b, p->offers_in);
        lmn_cbor_put_text(b, "OutcomesOut"), lmn_cbor_put_uint(b, p->outcomes_out);
        lmn_cbor_put_text(b, "OutcomesIn"), lmn_cbor_put_uint(b, p->outcomes_in);
        lmn_cbor_put_text(b, "QueuedCpuS"), lmn_cbor_put_number(b, p->queued_cpu_s);
    }
    pthread_mutex_unlock(&g->book.lock);
    lmn_http_request_respond(call, 200, b, 0);
}

static void metrics(void *arg, GString *out)
{
    struct lmn_gateway *g = arg;
    uint64_t n[COURSES];

    pthread_mutex_lock(&g->book.lock);
    count_courses(g, n);
    lmn_metric_head(out, "lemonspar_gateway_jobs", "gauge",
                    "Jobs of this home, by their course");
    for (int i = 0; i < COURSES; i++)
        lmn_metric_sample(out, "lemonspar_gateway_jobs", "course", states[i],
                          (double)n[i]);
    lmn_metric_head(out, "lemonspar_gateway_peer_silent_seconds", "gauge",
                    "Since a peer spoke");
    for (unsigned i = 0; i < g->o->npeers; i++)
        lmn_metric_sample(out, "lemonspar_gateway_peer_silent_seconds", "site",
                          g->o->peers[i].site,
                          lmn_time_diff_s(lmn_now(), g->peers[i].heard));
    lmn_counter(out, "lemonspar_gateway_submitted", "Jobs accepted", g->submitted);
    lmn_counter(out, "lemonspar_gateway_cancelled", "Cancellations", g->cancelled);
    lmn_counter(out, "lemonspar_gateway_pulls", "Pulls answered", g->pulls);
    lmn_counter(out, "lemonspar_gateway_empty_pulls", "Pulls that brought nothing",
                g->empty_pulls);
    lmn_counter(out, "lemonspar_gateway_writes", "Records written", g->book.writes);
    lmn_counter(out, "lemonspar_gateway_conflicts", "Writes that were not taken",
                g->book.conflicts);
    pthread_mutex_unlock(&g->book.lock);
}

static void queue_call(struct lmn_gateway *g, struct lmn_http_request *call)
{
    pthread_mutex_lock(&g->book.lock);
    bool full = g->calls.length >= MOST_CALLS;
    if (!full) {
        lmn_http_request_defer(call);
        g_queue_push_tail(&g->calls, call);
        pthread_cond_signal(&g->calls_more);
    }
    pthread_mutex_unlock(&g->book.lock);
    if (full)
        lmn_http_request_respond(call, 503, NULL, 2);
}

static void route(void *arg, struct lmn_http_request *call)
{
    struct lmn_gateway *g = arg;
    const char *path = lmn_http_request_path(call);
    bool get = lmn_http_request_method(call) == LMN_HTTP_GET,
         post = lmn_http_request_method(call) == LMN_HTTP_POST;
    bool aborts = g_str_has_prefix(path, WIRE_PATH_JOBS "/") &&
                  g_str_has_suffix(path, WIRE_PATH_CANCEL);

    if (get && !strcmp(path, WIRE_PATH_READY))
        lmn_http_request_respond(call, 200, NULL, 0);
    else if (get && !strcmp(path, "/metrics"))
        lmn_metrics_answer(call, metrics, g);
    else if (get && !strcmp(path, "/gateway"))
        status(g, call);
    else if (get && g_str_has_prefix(path, WIRE_PATH_JOBS "/"))
        poll_job(g, call, path + strlen(WIRE_PATH_JOBS "/"));
    else if (post &&
             (!strcmp(path, WIRE_PATH_JOBS) || aborts ||
              !strcmp(path, "/gateway/unfence") || g_str_has_prefix(path, RECALL) ||
              g_str_has_prefix(path, EVICT) || g_str_has_prefix(path, ADMIT)))
        queue_call(g, call);
    else
        lmn_http_request_respond(call, 404, NULL, 0);
}

int lmn_gateway_http_start(struct lmn_gateway *g)
{
    const struct lmn_http_server_options o = {.listen = g->o->listen,
                                              .connections = 4096,
                                              .max_body = MAX_BODY,
                                              .patience_s = PATIENCE_S,
                                              .route = route,
                                              .arg = g};

    for (int i = 0; i < HANDS; i++)
        lmn_thread(hand, g);
    g->server = lmn_http_server_start(&o);
    return g->server ? 0 : -1;
}
