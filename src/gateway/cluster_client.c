/* The own controllers, reached as any user does: jobs of this home that stay, and guests.
 */
#include "util/clock.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "image_store/image_store.h"
#include "image_store/work.h"
#include "gateway/gateway_internal.h"

#include <stdlib.h>
#include <string.h>

/* How often a run is asked about; how long a leash waits for the state that it is to be
 * stopped by. */
static const double POLL_S = 0.7, TICK_S = 0.1;

struct feeder {
    struct lmn_gateway *g;
    struct lmn_http_client *controllers[LMN_GATEWAY_MAX_CONTROLLERS], *depot, *state;
    unsigned turn;
    struct lmn_token_bucket polls;
    GByteArray *in;
};

/* What the controllers say of a job: status, and its state. */
static int ask(struct feeder *feeder, const char *method, const char *path,
               const GByteArray *body, char *word, struct lmn_progress *progress)
{
    struct lmn_cbor_document d;
    int status = LMN_HTTP_NOT_SENT;
    uint64_t done = 0, running = 0;

    for (unsigned i = 0;
         i < feeder->g->options->controller_count && status == LMN_HTTP_NOT_SENT; i++)
        status = lmn_http_client_call(
            feeder->controllers[feeder->turn++ % feeder->g->options->controller_count],
            method, path, body, 4, feeder->in);
    *word = '\0';
    if (status < 0 || !feeder->in->len ||
        lmn_cbor_parse(&d, feeder->in->data, feeder->in->len) != 0)
        return status;
    const struct lmn_cbor_value *root = lmn_cbor_root(&d);
    lmn_cbor_get_text(lmn_cbor_get(&d, root, WIRE_STATE), word, 16);
    lmn_cbor_get_uint(lmn_cbor_get(&d, root, WIRE_DONE), &done);
    lmn_cbor_get_uint(lmn_cbor_get(&d, root, WIRE_RUNNING), &running);
    lmn_cbor_free(&d);
    /* Controllers know more and less of it; what is done stays done. */
    progress->done = MAX(progress->done, (uint32_t)done);
    progress->running = (uint32_t)running;
    progress->known_at = lmn_now();
    return status;
}

static enum lmn_handover_outcome ended(const char *word)
{
    return !strcmp(word, WIRE_DONE)        ? LMN_OUTCOME_DONE
           : !strcmp(word, WIRE_CANCELLED) ? LMN_OUTCOME_CANCELLED
                                           : LMN_OUTCOME_NONE;
}

/* A run at the own controllers: a job of this home, or a guest. */
struct run {
    struct lmn_gateway_job *job;
    struct lmn_remote_job *guest;
    char ref[LMN_JOB_ID_SIZE], home[LMN_NAME_SIZE], local[LMN_JOB_ID_SIZE];
    bool handed, cancel, asked; /* cancel: to be stopped; asked: by its user */
    uint64_t epoch;
};

static GByteArray *body_of(const struct lmn_job_spec *spec, const char *local)
{
    GByteArray *buffer = g_byte_array_new();
    struct lmn_job_spec s = *spec;

    g_strlcpy(s.id, local, sizeof s.id);
    lmn_cbor_put_map(buffer, lmn_job_spec_pair_count());
    lmn_job_spec_write(buffer, &s);
    return buffer;
}

/* The description of what a guest runs, under its name here: from the home's blob, which
 * the peer's thread has put into the depot. False: it is not there yet. */
static bool describe(struct feeder *feeder, const char *digest, const char *local)
{
    GByteArray *buffer = g_byte_array_new();
    struct lmn_image_store_error e;
    struct lmn_task_command w;
    const char *what;
    char own[LMN_DIGEST_SIZE];
    bool ok = false;

    if (lmn_image_store_get(feeder->depot, digest, buffer, &e) == 0 &&
        lmn_task_command_decode(&w, buffer->data, buffer->len, &what) == 0) {
        g_strlcpy(w.spec.id, local, sizeof w.spec.id);
        GByteArray *mine = lmn_task_command_encode(&w);
        ok = lmn_image_store_put(feeder->depot, mine, own, &e) == 0 &&
             lmn_image_store_bind(feeder->depot, LMN_IMAGE_STORE_KIND_JOB, local, own,
                                  &e) == 0;
        g_byte_array_unref(mine);
        lmn_task_command_clear(&w);
    }
    g_byte_array_unref(buffer);
    return ok;
}

/* Ends the hand-over on this side. */
static void conclude(struct feeder *feeder, const struct run *r,
                     enum lmn_handover_outcome outcome)
{
    struct lmn_gateway_records *b = &feeder->g->records;
    struct lmn_record_write w = {0};

    pthread_mutex_lock(&b->lock);
    w.job = r->guest ? NULL : lmn_gateway_records_take_job(b, r->ref);
    w.remote_job =
        r->guest ? lmn_gateway_records_take_remote_job(b, r->home, r->ref) : NULL;
    if (w.job)
        w.origin = w.job->origin;
    if (w.remote_job)
        w.execution = w.remote_job->execution;
    /* What was looked at may be another epoch's by now. */
    bool change = w.job ? w.origin.epoch == r->epoch &&
                              lmn_origin_local_finished(&w.origin, outcome)
                        : w.remote_job && w.execution.epoch == r->epoch &&
                              lmn_execution_finished(&w.execution, outcome);
    if (!change && w.job)
        lmn_gateway_records_release_job(b, w.job);
    if (!change && w.remote_job)
        lmn_gateway_records_release_remote_job(b, w.remote_job);
    pthread_mutex_unlock(&b->lock);
    if (!change)
        return;
    lmn_gateway_records_write(b, feeder->state, &w, 1);
    pthread_mutex_lock(&b->lock);
    if (r->guest)
        lmn_gateway_peer_wake(feeder->g, r->home);
    pthread_mutex_unlock(&b->lock);
}

static void look_at(struct feeder *feeder, const struct run *r,
                    const struct lmn_job_spec *spec, const char *digest,
                    struct lmn_progress *progress)
{
    char path[96], word[16];
    int status;

    if (!r->handed) {
        if (r->guest && *digest && !describe(feeder, digest, r->local))
            return;
        GByteArray *body = body_of(spec, r->local);
        status = ask(feeder, "POST", WIRE_PATH_JOBS, body, word, progress);
        g_byte_array_unref(body);
        if ((status == 422 || status == 400) && r->guest)
            conclude(feeder, r, LMN_OUTCOME_RETURNED); /* it can't run here */
        if (status != 200 && status != 201)
            return;
        pthread_mutex_lock(&feeder->g->records.lock);
        struct lmn_gateway_job *j =
            r->guest ? NULL : g_hash_table_lookup(feeder->g->records.jobs, r->ref);
        if (j)
            j->is_submitted_locally = true;
        char *key = g_strdup_printf("%s/%s", r->home, r->ref);
        struct lmn_remote_job *x =
            r->guest ? g_hash_table_lookup(feeder->g->records.remote_jobs, key) : NULL;
        if (x && x->execution.epoch == r->epoch)
            x->is_submitted_locally = true;
        g_free(key);
        pthread_mutex_unlock(&feeder->g->records.lock);
    } else {
        g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/%s%s", r->local,
                   r->cancel ? WIRE_PATH_CANCEL : "");
        status = ask(feeder, r->cancel ? "POST" : "GET", path, NULL, word, progress);
        if (status == 404 && r->cancel)
            conclude(feeder, r,
                     r->asked ? LMN_OUTCOME_CANCELLED
                              : LMN_OUTCOME_RETURNED); /* never accepted there: nothing of
                                                          it runs */
        if (status != 200)
            return;
    }
    enum lmn_handover_outcome o = ended(word);
    /* Stopped here, but not by its user: that is no outcome, it goes back. */
    if (o == LMN_OUTCOME_CANCELLED && r->guest && !r->asked)
        o = LMN_OUTCOME_RETURNED;
    if (o != LMN_OUTCOME_NONE)
        conclude(feeder, r, o);
}

static void add_run(GPtrArray *v, struct lmn_gateway_job *j, struct lmn_remote_job *x)
{
    struct run *r = g_new0(struct run, 1);

    r->job = j;
    r->guest = x;
    g_strlcpy(r->ref, j ? j->id : x->id, sizeof r->ref);
    g_strlcpy(r->local, j ? j->id : x->local_id, sizeof r->local);
    if (x)
        g_strlcpy(r->home, x->origin_site, sizeof r->home);
    r->handed = j ? j->is_submitted_locally : x->is_submitted_locally;
    r->asked = j ? j->origin.cancel_requested : x->execution.cancel_requested;
    r->cancel = r->asked || (x && x->is_being_stopped);
    r->epoch = j ? j->origin.epoch : x->execution.epoch;
    g_ptr_array_add(v, r);
}

/* A guest on a leash stops when its home was not heard for so long. */
static void check_leash(struct feeder *feeder, struct lmn_remote_job *x,
                        struct timespec now)
{
    if (x->execution_lease_s <= 0 || x->is_being_stopped)
        return;
    const struct lmn_gateway_peer *p =
        lmn_gateway_peer_by_site(feeder->g, x->origin_site);
    if (!p || lmn_time_diff_s(now, p->synced_at) <= x->execution_lease_s)
        return;
    lmn_info("execution_lease_expired home=%s job=%s", x->origin_site, x->id);
    x->is_being_stopped =
        true; /* in memory: after a restart it is counted anew, which is later */
}

static GPtrArray *due_runs(struct feeder *feeder)
{
    GPtrArray *v = g_ptr_array_new_with_free_func(g_free);
    struct timespec now = lmn_now();
    GHashTableIter it;
    gpointer p;

    pthread_mutex_lock(&feeder->g->records.lock);
    g_hash_table_iter_init(&it, feeder->g->records.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct lmn_gateway_job *j = p;
        if (j->origin.state != LMN_ORIGIN_LOCAL ||
            lmn_time_diff_s(now, j->polled_at) < POLL_S)
            continue;
        j->polled_at = now;
        add_run(v, j, NULL);
    }
    g_hash_table_iter_init(&it, feeder->g->records.open_remote_jobs);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct lmn_remote_job *x = p;
        if (x->execution.state != LMN_EXECUTION_RUNNING ||
            lmn_time_diff_s(now, x->polled_at) < POLL_S)
            continue;
        check_leash(feeder, x, now);
        x->polled_at = now;
        add_run(v, NULL, x);
    }
    pthread_mutex_unlock(&feeder->g->records.lock);
    return v;
}

/* The next that the own controllers get. */
static void feed(struct feeder *feeder)
{
    struct lmn_gateway_records *b = &feeder->g->records;
    GArray *w = g_array_new(FALSE, TRUE, sizeof(struct lmn_record_write));

    pthread_mutex_lock(&b->lock);
    double cpus, handed,
        most = feeder->g->options->local_work_s * feeder->g->options->cpus;
    lmn_gateway_local_load(feeder->g, &cpus, &handed);
    GPtrArray *v =
        handed < most ? lmn_gateway_waiting_jobs(feeder->g) : g_ptr_array_new();
    for (guint i = 0; i < v->len && handed < most; i++) {
        struct lmn_gateway_job *j = v->pdata[i];
        struct lmn_record_write x = {.job = j, .origin = j->origin};
        if (!lmn_origin_run_locally(&x.origin))
            continue;
        j->is_taken = true;
        j->is_submitted_locally = false;
        handed += lmn_job_spec_total_cpus(&j->spec) * MAX(j->spec.estimate_s, 0.1);
        g_array_append_val(w, x);
    }
    pthread_mutex_unlock(&b->lock);
    lmn_gateway_records_write(b, feeder->state,
                              (struct lmn_record_write *)(void *)w->data, w->len);
    g_array_free(w, TRUE);
    g_ptr_array_free(v, TRUE);
}

static void pass(struct feeder *feeder)
{
    GPtrArray *runs = due_runs(feeder);

    for (guint i = 0; i < runs->len; i++) {
        const struct run *r = runs->pdata[i];
        struct lmn_job_spec spec;
        struct lmn_progress p;
        char digest[65];
        double wait = lmn_token_bucket_take(&feeder->polls, 1, lmn_now());
        if (wait > 0)
            lmn_sleep(wait);
        /* Records are never freed once they are written, and descriptions never change.
         */
        spec = r->job ? r->job->spec : r->guest->spec;
        g_strlcpy(digest, r->job ? r->job->digest : r->guest->digest, sizeof digest);
        pthread_mutex_lock(&feeder->g->records.lock);
        p = r->job ? r->job->progress : r->guest->progress;
        pthread_mutex_unlock(&feeder->g->records.lock);
        look_at(feeder, r, &spec, digest, &p);
        pthread_mutex_lock(&feeder->g->records.lock);
        if (r->job)
            r->job->progress = p;
        else if (r->guest->execution.epoch == r->epoch)
            r->guest->progress = p;
        pthread_mutex_unlock(&feeder->g->records.lock);
    }
    g_ptr_array_free(runs, TRUE);
}

void *lmn_cluster_client_thread(void *arg)
{
    struct lmn_gateway *gateway = arg;
    struct feeder f = {.g = gateway, .in = g_byte_array_new()};

    for (unsigned i = 0; i < gateway->options->controller_count; i++)
        f.controllers[i] = lmn_http_client_new(gateway->options->controllers[i]);
    f.depot = lmn_http_client_new(gateway->options->image_store);
    f.state = lmn_http_client_new(gateway->options->state);
    lmn_token_bucket_init(&f.polls, gateway->options->polls_per_s,
                          MAX(gateway->options->polls_per_s, 1), lmn_now());
    for (;;) {
        feed(&f);
        pass(&f);
        lmn_sleep(TICK_S);
    }
    return NULL;
}
