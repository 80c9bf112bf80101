/* The users' interface of the gateway: as a controller's, for jobs that may be run
 * elsewhere; and what the command line asks. Whatever writes is done by a few hands;
 * nothing is told before it is written. */
#include "util/clock.h"
#include "util/log.h"
#include "http/metrics.h"
#include "util/thread.h"
#include "job/message_limits.h"
#include "protocol/wire.h"
#include "image_store/image_store.h"
#include "gateway/gateway_internal.h"

#include <string.h>

/* A write that takes longer is answered 503: the user asks again, and finds what became
 * of it. */
static const double PATIENCE_S = 2.5;

enum { HANDS = 8, MOST_CALLS = 512 };

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
    if (j->origin.state == LMN_ORIGIN_FINAL)
        return j->origin.outcome == LMN_OUTCOME_DONE ? WIRE_DONE : WIRE_CANCELLED;
    return j->progress.done || j->progress.running ? WIRE_RUNNING : WIRE_QUEUED;
}

/* The lock is held. */
static GByteArray *job_answer(const struct lmn_gateway *gateway,
                              const struct lmn_gateway_job *j)
{
    GByteArray *buffer = g_byte_array_new();
    bool final = j->origin.state == LMN_ORIGIN_FINAL, away = *j->origin.site && !final;

    lmn_cbor_put_map(buffer, 10);
    lmn_cbor_put_text(buffer, WIRE_JOB_ID), lmn_cbor_put_text(buffer, j->id);
    lmn_cbor_put_text(buffer, WIRE_STATE), lmn_cbor_put_text(buffer, word(j));
    lmn_cbor_put_text(buffer, WIRE_DONE);
    lmn_cbor_put_uint(buffer, final && j->origin.outcome == LMN_OUTCOME_DONE
                                  ? j->spec.tasks
                                  : j->progress.done);
    lmn_cbor_put_text(buffer, WIRE_RUNNING),
        lmn_cbor_put_uint(buffer, final ? 0 : j->progress.running);
    /* Where it is, and how old that knowledge is. */
    lmn_cbor_put_text(buffer, "Site"),
        lmn_cbor_put_text(buffer, away ? j->origin.site : gateway->options->site);
    lmn_cbor_put_text(buffer, "AgeS"),
        lmn_cbor_put_number(buffer,
                            final ? 0 : lmn_time_diff_s(lmn_now(), j->progress.known_at));
    lmn_cbor_put_text(buffer, "Course"),
        lmn_cbor_put_text(buffer, states[j->origin.state]);
    lmn_cbor_put_text(buffer, "Epoch"), lmn_cbor_put_uint(buffer, j->origin.epoch);
    lmn_cbor_put_text(buffer, "Cancel"),
        lmn_cbor_put_bool(buffer, j->origin.cancel_requested);
    lmn_cbor_put_text(buffer, "Recall"), lmn_cbor_put_bool(buffer, j->origin.is_revoked);
    return buffer;
}

/* --- what writes --- */

static void find_digest(struct lmn_http_client *depot, const char *ref, char *digest)
{
    struct lmn_image_store_error e;

    if (lmn_image_store_lookup(depot, LMN_IMAGE_STORE_KIND_JOB, ref, digest, &e) != 0)
        *digest = '\0';
}

static void submit(struct lmn_gateway *gateway, struct lmn_http_client *state,
                   struct lmn_http_client *depot, struct lmn_http_request *request)
{
    const GByteArray *body = lmn_http_request_body(request);
    struct lmn_record_write w = {0};
    struct lmn_job_spec s;
    struct lmn_cbor_document d;
    const char *what = "not CBOR";
    char digest[LMN_DIGEST_SIZE] = "";
    double leash = 0;
    bool team = false;

    if (lmn_cbor_parse(&d, body->data, body->len) != 0) {
        lmn_http_request_fail(request, 400, what);
        return;
    }
    bool sane = lmn_job_spec_parse(&s, &d, lmn_cbor_root(&d), &what) == 0;
    /* The record holds it, and little more; what no value can hold would be 503 at each
     * try. */
    if (sane && (double)lmn_cbor_json_size(&d, lmn_cbor_root(&d)) + 600 >
                    gateway->options->max_value_kb * 1024) {
        sane = false;
        what = "too large";
    }
    lmn_cbor_get_number(lmn_cbor_get(&d, lmn_cbor_root(&d), "LeashS"), &leash);
    lmn_cbor_free(&d);
    for (unsigned i = 0; sane && i < gateway->options->team_count; i++)
        team = team || !strcmp(gateway->options->teams[i], s.team);
    if (sane && team)
        find_digest(depot, s.id, digest);
    pthread_mutex_lock(&gateway->records.lock);
    struct lmn_gateway_job *j =
        *s.id ? lmn_gateway_records_take_job(&gateway->records, s.id) : NULL;
    GByteArray *known = j ? job_answer(gateway, j) : NULL;
    if (j)
        lmn_gateway_records_release_job(&gateway->records, j);
    else if (sane && team)
        w.job = lmn_gateway_records_new_job(&gateway->records, &s);
    if (w.job) {
        g_strlcpy(w.job->digest, digest, sizeof w.job->digest);
        w.job->execution_lease_s = CLAMP(leash, 0, 1e7);
    }
    pthread_mutex_unlock(&gateway->records.lock);
    lmn_job_spec_clear(&s);
    if (known) {
        lmn_http_request_respond(request, 200, known, 0);
        return;
    }
    if (!w.job) {
        lmn_http_request_fail(request, sane ? 422 : 400, sane ? "unknown team" : what);
        return;
    }
    lmn_gateway_records_write(&gateway->records, state, &w, 1);
    if (!w.is_written) {
        lmn_http_request_respond(request, 503, NULL, 1);
        return;
    }
    pthread_mutex_lock(&gateway->records.lock);
    gateway->submitted++;
    GByteArray *buffer = job_answer(gateway, w.job);
    pthread_mutex_unlock(&gateway->records.lock);
    lmn_http_request_respond(request, 201, buffer, 0);
}

enum changed { UNKNOWN, AS_IT_WAS, CHANGED };

/* Takes the job through the transition, on the disk before it returns. site: only if it
 * is there; NULL: wherever it is. */
static enum changed change_job(struct lmn_gateway *gateway, struct lmn_http_client *state,
                               const char *ref, const char *site,
                               bool (*transition)(struct lmn_origin_record *))
{
    struct lmn_record_write w = {0};

    pthread_mutex_lock(&gateway->records.lock);
    w.job = lmn_gateway_records_take_job(&gateway->records, ref);
    bool known = w.job, change = false;
    if (known) {
        w.origin = w.job->origin;
        change = (!site || lmn_origin_is_at(&w.origin, site)) && transition(&w.origin);
        if (!change)
            lmn_gateway_records_release_job(&gateway->records, w.job);
    }
    pthread_mutex_unlock(&gateway->records.lock);
    if (change && transition == lmn_origin_revoke)
        lmn_info("job_revoked job=%s site=%s", ref, w.origin.site);
    if (change)
        lmn_gateway_records_write(&gateway->records, state, &w, 1);
    return change ? CHANGED : known ? AS_IT_WAS : UNKNOWN;
}

/* What waits at home is withdrawn at once; what runs, when that is true: until then the
 * answer is honest, and says when to ask again. */
static void cancel(struct lmn_gateway *gateway, struct lmn_http_client *state,
                   struct lmn_http_request *request, const char *ref)
{
    enum changed change = change_job(gateway, state, ref, NULL, lmn_origin_cancel);

    if (change == UNKNOWN) {
        lmn_http_request_respond(request, 404, NULL, 0);
        return;
    }
    pthread_mutex_lock(&gateway->records.lock);
    const struct lmn_gateway_job *j = g_hash_table_lookup(gateway->records.jobs, ref);
    bool final = j->origin.state == LMN_ORIGIN_FINAL;
    const struct lmn_gateway_peer *p = lmn_gateway_peer_by_site(gateway, j->origin.site);
    GByteArray *buffer = final ? job_answer(gateway, j) : NULL;
    bool reached = !p || p->is_up;
    gateway->cancelled += change == CHANGED;
    pthread_mutex_unlock(&gateway->records.lock);
    lmn_http_request_respond(request, final ? 200 : 503, buffer,
                             final     ? 0
                             : reached ? 1
                                       : 10);
}

/* Takes every job without an outcome through the transition; how many were changed. One
 * that somebody holds is waited for. site: see change_job. */
static uint64_t change_all(struct lmn_gateway *gateway, struct lmn_http_client *state,
                           const char *site,
                           bool (*transition)(struct lmn_origin_record *))
{
    GPtrArray *refs = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    gpointer x;
    uint64_t n = 0;

    pthread_mutex_lock(&gateway->records.lock);
    g_hash_table_iter_init(&it, gateway->records.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        const struct lmn_gateway_job *j = x;
        struct lmn_origin_record h = j->origin;
        /* What is being written may become so. */
        if (j->is_taken || ((!site || lmn_origin_is_at(&h, site)) && transition(&h)))
            g_ptr_array_add(refs, g_strdup(j->id));
    }
    pthread_mutex_unlock(&gateway->records.lock);
    for (guint i = 0; i < refs->len; i++)
        n += change_job(gateway, state, refs->pdata[i], site, transition) == CHANGED;
    g_ptr_array_free(refs, TRUE);
    return n;
}

static void answer_jobs(struct lmn_http_request *request, uint64_t n)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 1);
    lmn_cbor_put_text(buffer, "Jobs"), lmn_cbor_put_uint(buffer, n);
    lmn_http_request_respond(request, 200, buffer, 0);
}

/* An operator has found out that nothing of the fenced jobs runs: they wait at home
 * again. */
static void unfence(struct lmn_gateway *gateway, struct lmn_http_client *state,
                    struct lmn_http_request *request)
{
    uint64_t n = change_all(gateway, state, NULL, lmn_origin_unfence);

    lmn_info("jobs_unfenced jobs=%" G_GUINT64_FORMAT, n);
    answer_jobs(request, n);
}

/* An operator wants a job at home. It is answered with where it is now: it comes when
 * the other site has stopped it and says so. */
static void recall(struct lmn_gateway *gateway, struct lmn_http_client *state,
                   struct lmn_http_request *request, const char *ref)
{
    if (change_job(gateway, state, ref, NULL, lmn_origin_revoke) == UNKNOWN) {
        lmn_http_request_respond(request, 404, NULL, 0);
        return;
    }
    pthread_mutex_lock(&gateway->records.lock);
    const struct lmn_gateway_job *j = g_hash_table_lookup(gateway->records.jobs, ref);
    bool ok = j->origin.is_revoked || j->origin.state == LMN_ORIGIN_FINAL,
         fenced = j->origin.state == LMN_ORIGIN_FENCED;
    GByteArray *buffer = ok && !fenced ? job_answer(gateway, j) : NULL;
    pthread_mutex_unlock(&gateway->records.lock);
    if (fenced)
        lmn_http_request_fail(request, 409, "fenced: see unfence");
    else
        lmn_http_request_respond(request, ok ? 200 : 503, buffer, ok ? 0 : 1);
}

/* Nothing goes to the site or comes from it any more; what is there is called back. What
 * runs here for it ends here, and is told to it: its home waits for that. */
static void evict(struct lmn_gateway *gateway, struct lmn_http_client *state,
                  struct lmn_http_request *request, const char *site, bool out)
{
    if (!lmn_gateway_peer_by_site(gateway, site)) {
        lmn_http_request_respond(request, 404, NULL, 0);
        return;
    }
    lmn_gateway_records_evict(&gateway->records, state, site, out);
    pthread_mutex_lock(&gateway->records.lock);
    bool ok = lmn_gateway_records_is_evicted(&gateway->records, site) == out;
    pthread_mutex_unlock(&gateway->records.lock);
    if (!ok) {
        lmn_http_request_respond(request, 503, NULL, 1);
        return;
    }
    uint64_t n = out ? change_all(gateway, state, site, lmn_origin_revoke) : 0;
    lmn_info("peer_%s site=%s revoked=%" G_GUINT64_FORMAT, out ? "evicted" : "readmitted",
             site, n);
    answer_jobs(request, n);
}

static void *hand(void *arg)
{
    struct lmn_gateway *gateway = arg;
    struct lmn_http_client *state = lmn_http_client_new(gateway->options->state),
                           *depot = lmn_http_client_new(gateway->options->image_store);

    for (;;) {
        pthread_mutex_lock(&gateway->records.lock);
        while (!gateway->requests.head)
            pthread_cond_wait(&gateway->request_queued, &gateway->records.lock);
        struct lmn_http_request *request = g_queue_pop_head(&gateway->requests);
        pthread_mutex_unlock(&gateway->records.lock);
        const char *path = lmn_http_request_path(request);
        if (!strcmp(path, WIRE_PATH_JOBS)) {
            submit(gateway, state, depot, request);
        } else if (!strcmp(path, "/gateway/unfence")) {
            unfence(gateway, state, request);
        } else if (g_str_has_prefix(path, RECALL)) {
            recall(gateway, state, request, path + strlen(RECALL));
        } else if (g_str_has_prefix(path, EVICT)) {
            evict(gateway, state, request, path + strlen(EVICT), true);
        } else if (g_str_has_prefix(path, ADMIT)) {
            evict(gateway, state, request, path + strlen(ADMIT), false);
        } else {
            char *ref = g_strdup(path + strlen(WIRE_PATH_JOBS "/"));
            ref[strlen(ref) - strlen(WIRE_PATH_CANCEL)] = '\0';
            cancel(gateway, state, request, ref);
            g_free(ref);
        }
    }
    return NULL;
}

/* --- what only reads --- */

static void poll_job(struct lmn_gateway *gateway, struct lmn_http_request *request,
                     const char *ref)
{
    pthread_mutex_lock(&gateway->records.lock);
    const struct lmn_gateway_job *j = g_hash_table_lookup(gateway->records.jobs, ref);
    /* One that is being written for the first time was never told to anybody. */
    GByteArray *buffer = j && j->revision ? job_answer(gateway, j) : NULL;
    pthread_mutex_unlock(&gateway->records.lock);
    lmn_http_request_respond(request, buffer ? 200 : 404, buffer, 0);
}

/* Jobs by their course; the lock is held. */
static void count_courses(const struct lmn_gateway *gateway, uint64_t n[COURSES])
{
    const struct lmn_gateway_records *b = &gateway->records;
    GHashTableIter it;
    gpointer x;

    memset(n, 0, COURSES * sizeof *n);
    g_hash_table_iter_init(&it, b->open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &x))
        n[((struct lmn_gateway_job *)x)->origin.state]++;
    n[LMN_ORIGIN_FINAL] = g_hash_table_size(b->jobs) - g_hash_table_size(b->open_jobs);
}

static void status(struct lmn_gateway *gateway, struct lmn_http_request *request)
{
    GByteArray *buffer = g_byte_array_new();
    uint64_t n[COURSES], guests = 0, untold = 0;
    GHashTableIter it;
    gpointer x;

    pthread_mutex_lock(&gateway->records.lock);
    count_courses(gateway, n);
    g_hash_table_iter_init(&it, gateway->records.open_remote_jobs);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        bool runs =
            ((struct lmn_remote_job *)x)->execution.state == LMN_EXECUTION_RUNNING;
        guests += runs;
        untold += !runs;
    }
    lmn_cbor_put_map(buffer, 8);
    lmn_cbor_put_text(buffer, "Site"), lmn_cbor_put_text(buffer, gateway->options->site);
    lmn_cbor_put_text(buffer, "Gateway"),
        lmn_cbor_put_text(buffer, gateway->options->name);
    lmn_cbor_put_text(buffer, "Jobs"), lmn_cbor_put_map(buffer, COURSES);
    for (int i = 0; i < COURSES; i++)
        lmn_cbor_put_text(buffer, states[i]), lmn_cbor_put_uint(buffer, n[i]);
    lmn_cbor_put_text(buffer, "Guests"), lmn_cbor_put_uint(buffer, guests);
    lmn_cbor_put_text(buffer, "OutcomesUntold"), lmn_cbor_put_uint(buffer, untold);
    double cpus, work_s;
    lmn_gateway_local_load(gateway, &cpus, &work_s);
    lmn_cbor_put_text(buffer, "HandedCpus"), lmn_cbor_put_number(buffer, cpus);
    lmn_cbor_put_text(buffer, "QueuedCpuS"),
        lmn_cbor_put_number(buffer, lmn_gateway_queued_cpu_s(gateway));
    lmn_cbor_put_text(buffer, "Peers"),
        lmn_cbor_put_array(buffer, gateway->options->peer_count);
    for (unsigned i = 0; i < gateway->options->peer_count; i++) {
        const struct lmn_gateway_peer *p = &gateway->peers[i];
        lmn_cbor_put_map(buffer, 12);
        lmn_cbor_put_text(buffer, "Site"),
            lmn_cbor_put_text(buffer, gateway->options->peers[i].site);
        lmn_cbor_put_text(buffer, "Address"),
            lmn_cbor_put_text(buffer, gateway->options->addresses[i][0]);
        lmn_cbor_put_text(buffer, "Up"), lmn_cbor_put_bool(buffer, p->is_up);
        lmn_cbor_put_text(buffer, "SilentS"),
            lmn_cbor_put_number(buffer, lmn_time_diff_s(lmn_now(), p->last_contact_at));
        lmn_cbor_put_text(buffer, "Evicted");
        lmn_cbor_put_bool(
            buffer, lmn_gateway_records_is_evicted(&gateway->records,
                                                   gateway->options->peers[i].site));
        lmn_cbor_put_text(buffer, "Alarm"), lmn_cbor_put_bool(buffer, p->alarm_raised);
        lmn_cbor_put_text(buffer, "Why"),
            lmn_cbor_put_text(buffer, p->is_up ? "" : p->last_failure);
        lmn_cbor_put_text(buffer, "OffersOut"), lmn_cbor_put_uint(buffer, p->offers_out);
        lmn_cbor_put_text(buffer, "OffersIn"), lmn_cbor_put_uint(buffer, p->offers_in);
        lmn_cbor_put_text(buffer, "OutcomesOut"),
            lmn_cbor_put_uint(buffer, p->outcomes_out);
        lmn_cbor_put_text(buffer, "OutcomesIn"),
            lmn_cbor_put_uint(buffer, p->outcomes_in);
        lmn_cbor_put_text(buffer, "QueuedCpuS"),
            lmn_cbor_put_number(buffer, p->queued_cpu_s);
    }
    pthread_mutex_unlock(&gateway->records.lock);
    lmn_http_request_respond(request, 200, buffer, 0);
}

static void metrics(void *arg, GString *out)
{
    struct lmn_gateway *gateway = arg;
    uint64_t n[COURSES];

    pthread_mutex_lock(&gateway->records.lock);
    count_courses(gateway, n);
    lmn_metric_head(out, "lemonspar_gateway_jobs", "gauge",
                    "Jobs of this home, by their course");
    for (int i = 0; i < COURSES; i++)
        lmn_metric_sample(out, "lemonspar_gateway_jobs", "course", states[i],
                          (double)n[i]);
    lmn_metric_head(out, "lemonspar_gateway_peer_silent_seconds", "gauge",
                    "Since a peer spoke");
    for (unsigned i = 0; i < gateway->options->peer_count; i++)
        lmn_metric_sample(out, "lemonspar_gateway_peer_silent_seconds", "site",
                          gateway->options->peers[i].site,
                          lmn_time_diff_s(lmn_now(), gateway->peers[i].last_contact_at));
    lmn_metric_counter(out, "lemonspar_gateway_submitted", "Jobs accepted",
                       gateway->submitted);
    lmn_metric_counter(out, "lemonspar_gateway_cancelled", "Cancellations",
                       gateway->cancelled);
    lmn_metric_counter(out, "lemonspar_gateway_pulls", "Pulls answered", gateway->pulls);
    lmn_metric_counter(out, "lemonspar_gateway_empty_pulls", "Pulls that brought nothing",
                       gateway->empty_pulls);
    lmn_metric_counter(out, "lemonspar_gateway_writes", "Records written",
                       gateway->records.writes);
    lmn_metric_counter(out, "lemonspar_gateway_conflicts", "Writes that were not taken",
                       gateway->records.conflicts);
    pthread_mutex_unlock(&gateway->records.lock);
}

static void queue_call(struct lmn_gateway *gateway, struct lmn_http_request *request)
{
    pthread_mutex_lock(&gateway->records.lock);
    bool full = gateway->requests.length >= MOST_CALLS;
    if (!full) {
        lmn_http_request_defer(request);
        g_queue_push_tail(&gateway->requests, request);
        pthread_cond_signal(&gateway->request_queued);
    }
    pthread_mutex_unlock(&gateway->records.lock);
    if (full)
        lmn_http_request_respond(request, 503, NULL, 2);
}

static void route(void *arg, struct lmn_http_request *request)
{
    struct lmn_gateway *gateway = arg;
    const char *path = lmn_http_request_path(request);
    bool get = lmn_http_request_method(request) == LMN_HTTP_GET,
         post = lmn_http_request_method(request) == LMN_HTTP_POST;
    bool aborts = g_str_has_prefix(path, WIRE_PATH_JOBS "/") &&
                  g_str_has_suffix(path, WIRE_PATH_CANCEL);

    if (get && !strcmp(path, WIRE_PATH_READY))
        lmn_http_request_respond(request, 200, NULL, 0);
    else if (get && !strcmp(path, "/metrics"))
        lmn_metrics_respond(request, metrics, gateway);
    else if (get && !strcmp(path, "/gateway"))
        status(gateway, request);
    else if (get && g_str_has_prefix(path, WIRE_PATH_JOBS "/"))
        poll_job(gateway, request, path + strlen(WIRE_PATH_JOBS "/"));
    else if (post &&
             (!strcmp(path, WIRE_PATH_JOBS) || aborts ||
              !strcmp(path, "/gateway/unfence") || g_str_has_prefix(path, RECALL) ||
              g_str_has_prefix(path, EVICT) || g_str_has_prefix(path, ADMIT)))
        queue_call(gateway, request);
    else
        lmn_http_request_respond(request, 404, NULL, 0);
}

int lmn_gateway_http_start(struct lmn_gateway *gateway)
{
    const struct lmn_http_server_options o = {.listen = gateway->options->listen,
                                              .connections = 4096,
                                              .max_body_bytes = LMN_MAX_MESSAGE_BYTES,
                                              .defer_timeout_s = PATIENCE_S,
                                              .route = route,
                                              .arg = gateway};

    for (int i = 0; i < HANDS; i++)
        lmn_thread_start_detached(hand, gateway);
    gateway->http_server = lmn_http_server_start(&o);
    return gateway->http_server ? 0 : -1;
}
