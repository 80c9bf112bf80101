/* As the host of other sites' jobs: asks each site what it has to say (SYNC), and pulls.
 */
#include "util/clock.h"
#include "protocol/cbor.h"
#include "util/log.h"
#include "util/thread.h"
#include "image_store/image_store.h"
#include "gateway/route.h"
#include "gateway/sync_internal.h"

#include <string.h>

static const double DIAL_FLOOR_S = 0.2, DIAL_CAP_S = 5;

struct host {
    struct lmn_gateway_peer *p;
    struct lmn_peer_connection *link;
    struct lmn_http_client *state, *depot;
    double wait_s; /* until the next dialling, after failures */
};

/* What there is to say of the peer's jobs; strings belong to the book. The lock is held.
 */
static GArray *collect(struct lmn_gateway_peer *p)
{
    GArray *v = g_array_new(FALSE, TRUE, sizeof(struct lmn_gateway_rpc_item));
    GHashTableIter it;
    gpointer x;

    while (p->refusals.head && v->len < LMN_GATEWAY_RPC_MAX_ITEMS / 2) {
        struct lmn_gateway_rejection *s = g_queue_pop_head(&p->refusals);
        struct lmn_gateway_rpc_item *i = lmn_gateway_item_append(v);
        i->ref = g_strdup(s->job_id);
        i->epoch = s->epoch;
        i->incarnation = p->gateway->records.incarnation;
        i->word = LMN_HANDOVER_REJECTED;
        g_free(s);
    }
    /* Outcomes first: progress is only for display. */
    for (int outcomes = 1; outcomes >= 0; outcomes--) {
        g_hash_table_iter_init(&it, p->gateway->records.open_remote_jobs);
        while (g_hash_table_iter_next(&it, NULL, &x) &&
               v->len < LMN_GATEWAY_RPC_MAX_ITEMS) {
            const struct lmn_remote_job *guest = x;
            bool over = guest->execution.state == LMN_EXECUTION_FINISHED;
            if (strcmp(guest->origin_site, lmn_gateway_peer_site(p)) || guest->is_taken ||
                over != outcomes)
                continue;
            struct lmn_gateway_rpc_item *i = lmn_gateway_item_append(v);
            i->ref = g_strdup(guest->id);
            i->epoch = guest->execution.epoch;
            i->incarnation = p->gateway->records.incarnation;
            i->word = over ? LMN_HANDOVER_FINISHED : LMN_HANDOVER_ACCEPTED;
            i->outcome = guest->execution.outcome;
            i->done = guest->progress.done;
            i->running = guest->progress.running;
        }
    }
    return v;
}

static void free_items(GArray *v)
{
    for (guint i = 0; i < v->len; i++)
        g_free(g_array_index(v, struct lmn_gateway_rpc_item, i).ref);
    g_array_free(v, TRUE);
}

/* Brings what the guest's tasks run into the own depot; true if it is there. */
static bool fetch_blob(struct host *host, const char *digest)
{
    lmn_gateway_rpc_request q = {.kind = LMN_GATEWAY_RPC_BLOB};
    lmn_gateway_rpc_response r;
    struct lmn_image_store_error e;
    char is[LMN_DIGEST_SIZE];
    bool ok = false;

    q.lmn_gateway_rpc_request_u.digest = (char *)digest;
    if (!*digest)
        return true;
    if (lmn_peer_connection_send_request(host->link, &q) != 0 ||
        lmn_peer_connection_read_response(host->link, &r) != 0)
        return false;
    if (r.kind == LMN_GATEWAY_RPC_BLOB) {
        GByteArray *buffer = g_byte_array_new();
        g_byte_array_append(buffer, (guint8 *)r.lmn_gateway_rpc_response_u.blob.blob_val,
                            r.lmn_gateway_rpc_response_u.blob.blob_len);
        /* Under its own digest it can be nothing else than it says. */
        lmn_digest(buffer->data, buffer->len, is);
        ok = !strcmp(is, digest) && lmn_image_store_put(host->depot, buffer, is, &e) == 0;
        g_byte_array_unref(buffer);
    }
    xdr_free((xdrproc_t)xdr_lmn_gateway_rpc_response, (char *)&r);
    return ok;
}

static void refuse_later(struct lmn_gateway_peer *p, const char *ref, uint64_t epoch)
{
    struct lmn_gateway_rejection *s = g_new0(struct lmn_gateway_rejection, 1);

    g_strlcpy(s->job_id, ref, sizeof s->job_id);
    s->epoch = epoch;
    g_queue_push_tail(&p->refusals, s);
    p->has_news = true;
}

/* A job that is offered: accepted, or refused for good, on the disk before it is said. */
static void take_offer(struct host *host, const struct lmn_gateway_rpc_offer *o,
                       bool room)
{
    struct lmn_gateway *gateway = host->p->gateway;
    struct lmn_record_write w = {0};
    struct lmn_job_spec spec = {0};
    enum lmn_handover_answer answer = LMN_HANDOVER_REJECTED;
    const char *what;
    struct lmn_cbor_document d;
    bool old = false, ours = o->incarnation == gateway->records.incarnation;

    if (!lmn_job_id_is_valid(o->ref) ||
        lmn_cbor_parse(&d, o->spec.spec_val, o->spec.spec_len) != 0)
        return; /* nobody can have such a job: there is nothing to answer for */
    bool sane = lmn_job_spec_parse(&spec, &d, lmn_cbor_root(&d), &what) == 0 &&
                !strcmp(spec.id, o->ref);
    lmn_cbor_free(&d);
    bool team = false;
    for (unsigned i = 0; sane && i < gateway->options->team_count; i++)
        team = team || !strcmp(gateway->options->teams[i], spec.team);
    room = room && sane && team && fetch_blob(host, o->digest);
    pthread_mutex_lock(&gateway->records.lock);
    w.remote_job = lmn_gateway_records_take_remote_job(
        &gateway->records, lmn_gateway_peer_site(host->p), o->ref);
    if (!w.remote_job && sane) {
        w.remote_job = lmn_gateway_records_new_remote_job(
            &gateway->records, lmn_gateway_peer_site(host->p), o->ref);
        if (w.remote_job) {
            w.remote_job->spec = spec;
            memset(&spec, 0, sizeof spec);
            g_strlcpy(w.remote_job->digest, o->digest, sizeof w.remote_job->digest);
            w.remote_job->execution_lease_s = o->leash_s;
        }
    }
    if (w.remote_job)
        w.execution = w.remote_job->execution;
    bool full = sane && !w.remote_job; /* nothing is on the disk: nothing may be said */
    bool change = w.remote_job && lmn_execution_handle_offer(&w.execution, o->epoch, ours,
                                                             room, &answer, &old);
    if (w.remote_job && !change && w.remote_job->revision)
        lmn_gateway_records_release_remote_job(&gateway->records, w.remote_job);
    pthread_mutex_unlock(&gateway->records.lock);
    if (w.remote_job && (change || !w.remote_job->revision))
        lmn_gateway_records_write(&gateway->records, host->state, &w, 1);
    lmn_job_spec_clear(&spec);
    pthread_mutex_lock(&gateway->records.lock);
    if (!full && (w.is_written || (!change && !old))) {
        if (!sane || answer == LMN_HANDOVER_REJECTED)
            refuse_later(host->p, o->ref, o->epoch);
        else
            host->p->offers_in++;
        host->p->has_news = true;
    }
    pthread_mutex_unlock(&gateway->records.lock);
}

static void resolve(struct host *host, const struct lmn_gateway_rpc_item *i)
{
    struct lmn_gateway *gateway = host->p->gateway;
    struct lmn_record_write w = {0};
    enum lmn_handover_answer answer = LMN_HANDOVER_REJECTED;
    bool old = false;

    pthread_mutex_lock(&gateway->records.lock);
    w.remote_job = lmn_job_id_is_valid(i->ref)
                       ? lmn_gateway_records_take_remote_job(
                             &gateway->records, lmn_gateway_peer_site(host->p), i->ref)
                       : NULL;
    if (!w.remote_job) {
        /* Never heard of. There is no record to refuse it in: one is made, by a
         * description that says nothing but the name. */
        struct lmn_job_spec none = {.class_name = (char *)"none",
                                    .team = (char *)"none",
                                    .image = (char *)"none",
                                    .tasks = 1,
                                    .deadline_s = -1};
        if (!lmn_job_id_is_valid(i->ref)) {
            pthread_mutex_unlock(&gateway->records.lock);
            return;
        }
        w.remote_job = lmn_gateway_records_new_remote_job(
            &gateway->records, lmn_gateway_peer_site(host->p), i->ref);
        if (!w.remote_job) {
            pthread_mutex_unlock(&gateway->records.lock);
            return;
        }
        w.remote_job->spec = none;
        g_strlcpy(w.remote_job->spec.id, i->ref, LMN_JOB_ID_SIZE);
        w.remote_job->spec.class_name = g_strdup("none");
        w.remote_job->spec.team = g_strdup("none");
        w.remote_job->spec.image = g_strdup("none");
    }
    w.execution = w.remote_job->execution;
    bool change = lmn_execution_resolve(&w.execution, i->epoch,
                                        i->incarnation == gateway->records.incarnation,
                                        &answer, &old);
    if (!change && w.remote_job->revision)
        lmn_gateway_records_release_remote_job(&gateway->records, w.remote_job);
    pthread_mutex_unlock(&gateway->records.lock);
    if (change || !w.remote_job->revision)
        lmn_gateway_records_write(&gateway->records, host->state, &w, 1);
    pthread_mutex_lock(&gateway->records.lock);
    if ((w.is_written || !change) && !old && answer == LMN_HANDOVER_REJECTED)
        refuse_later(host->p, i->ref, i->epoch);
    host->p->has_news = true;
    pthread_mutex_unlock(&gateway->records.lock);
}

static void take_word(struct host *host, const struct lmn_gateway_rpc_item *i,
                      bool cancel, GArray *writes)
{
    struct lmn_gateway *gateway = host->p->gateway;
    struct lmn_record_write w = {0};

    if (i->incarnation != gateway->records.incarnation ||
        lmn_record_write_contains(writes, i->ref))
        return;
    pthread_mutex_lock(&gateway->records.lock);
    w.remote_job = lmn_gateway_records_take_remote_job(
        &gateway->records, lmn_gateway_peer_site(host->p), i->ref);
    if (w.remote_job)
        w.execution = w.remote_job->execution;
    bool recall = cancel && i->outcome == LMN_OUTCOME_RETURNED;
    /* A job that is called back is stopped as one whose leash is over. In memory: its
     * home says so again until it has come. */
    if (w.remote_job && recall && w.execution.state == LMN_EXECUTION_RUNNING &&
        w.execution.epoch == i->epoch && !w.remote_job->is_being_stopped) {
        lmn_info("remote_job_revoked home=%s job=%s", w.remote_job->origin_site,
                 w.remote_job->id);
        w.remote_job->is_being_stopped = true;
    }
    bool change = w.remote_job && !recall &&
                  (cancel ? lmn_execution_cancel(&w.execution, i->epoch)
                          : lmn_execution_acknowledged(&w.execution, i->epoch));
    if (change)
        g_array_append_val(writes, w);
    else if (w.remote_job)
        lmn_gateway_records_release_remote_job(&gateway->records, w.remote_job);
    host->p->outcomes_out += change && !cancel;
    pthread_mutex_unlock(&gateway->records.lock);
}

/* The idle processors that are left, as offers take them. */
static double room_now(struct lmn_gateway *gateway)
{
    double cpus, work_s;

    lmn_gateway_local_load(gateway, &cpus, &work_s);
    return MAX(gateway->options->cpus * MAX(gateway->options->pull_at, 1) - cpus, 0);
}

static bool sync_once(struct host *host)
{
    struct lmn_gateway *gateway = host->p->gateway;
    lmn_gateway_rpc_request q = {.kind = LMN_GATEWAY_RPC_SYNC};
    lmn_gateway_rpc_response r;
    struct timespec sent = lmn_now();

    pthread_mutex_lock(&gateway->records.lock);
    GArray *says = collect(host->p);
    unsigned pull = gateway->is_fenced ? 0 : host->p->pull_count;
    host->p->pull_count = 0;
    host->p->has_news = says->len >= LMN_GATEWAY_RPC_MAX_ITEMS;
    double room = room_now(gateway);
    pthread_mutex_unlock(&gateway->records.lock);
    q.lmn_gateway_rpc_request_u.sync.says.says_len = says->len;
    q.lmn_gateway_rpc_request_u.sync.says.says_val =
        (struct lmn_gateway_rpc_item *)(void *)says->data;
    q.lmn_gateway_rpc_request_u.sync.room_cpus = room;
    q.lmn_gateway_rpc_request_u.sync.most = pull;
    bool ok = lmn_peer_connection_send_request(host->link, &q) == 0 &&
              lmn_peer_connection_read_response(host->link, &r) == 0;
    free_items(says);
    if (!ok)
        return false;
    if (r.kind != LMN_GATEWAY_RPC_SYNC) {
        xdr_free((xdrproc_t)xdr_lmn_gateway_rpc_response, (char *)&r);
        return false;
    }
    const struct lmn_gateway_rpc_reply *y = &r.lmn_gateway_rpc_response_u.reply;
    bool late = lmn_time_diff_s(lmn_now(), sent) > LMN_OFFER_MAX_DELAY_S;
    GArray *writes = g_array_new(FALSE, TRUE, sizeof(struct lmn_record_write));
    for (u_int i = 0; i < y->heard.heard_len; i++)
        take_word(host, &y->heard.heard_val[i], false, writes);
    for (u_int i = 0; i < y->cancel.cancel_len; i++)
        take_word(host, &y->cancel.cancel_val[i], true, writes);
    lmn_gateway_records_write(&gateway->records, host->state,
                              (struct lmn_record_write *)(void *)writes->data,
                              writes->len);
    g_array_free(writes, TRUE);
    for (u_int i = 0; i < y->resolve.resolve_len; i++)
        resolve(host, &y->resolve.resolve_val[i]);
    pthread_mutex_lock(&gateway->records.lock);
    bool evicted =
        lmn_gateway_records_is_evicted(&gateway->records, lmn_gateway_peer_site(host->p));
    pthread_mutex_unlock(&gateway->records.lock);
    for (u_int i = 0; i < y->offers.offers_len && !late; i++)
        take_offer(host, &y->offers.offers_val[i], !evicted);
    pthread_mutex_lock(&gateway->records.lock);
    host->p->last_contact_at = host->p->synced_at = sent;
    host->p->messages++;
    host->p->bytes = lmn_peer_connection_bytes(host->link);
    host->p->queued_cpu_s = y->queued_cpu_s;
    if (pull) {
        gateway->pulls++;
        gateway->empty_pulls += !y->offers.offers_len;
        gateway->poll_s = lmn_route_interval(gateway->poll_s, y->offers.offers_len > 0);
        gateway->next_pull_at = lmn_time_add(lmn_now(), gateway->poll_s);
    }
    pthread_mutex_unlock(&gateway->records.lock);
    xdr_free((xdrproc_t)xdr_lmn_gateway_rpc_response, (char *)&r);
    return true;
}

static bool greet(struct host *host)
{
    lmn_gateway_rpc_request q = {.kind = LMN_GATEWAY_RPC_HELLO};
    lmn_gateway_rpc_response r;
    const char *wrong = "no hello";

    lmn_gateway_hello_fill(host->p->gateway, &q.lmn_gateway_rpc_request_u.hello);
    if (lmn_peer_connection_send_request(host->link, &q) != 0 ||
        lmn_peer_connection_read_response(host->link, &r) != 0)
        return false;
    if (r.kind == LMN_GATEWAY_RPC_HELLO)
        wrong = lmn_gateway_hello_accept(host->p->gateway, lmn_gateway_peer_site(host->p),
                                         &r.lmn_gateway_rpc_response_u.hello);
    xdr_free((xdrproc_t)xdr_lmn_gateway_rpc_response, (char *)&r);
    if (wrong)
        lmn_error("peer_hello_rejected site=%s why=\"%s\"",
                  lmn_gateway_peer_site(host->p), wrong);
    return !wrong;
}

static void drop(struct host *host, const char *why)
{
    pthread_mutex_lock(&host->p->gateway->records.lock);
    if (host->p->is_up)
        lmn_info("peer_connection_lost site=%s why=\"%s\"",
                 lmn_gateway_peer_site(host->p), why);
    host->p->is_up = false;
    host->p->failures++;
    g_strlcpy(host->p->last_failure, why, sizeof host->p->last_failure);
    pthread_mutex_unlock(&host->p->gateway->records.lock);
    if (host->link)
        lmn_peer_connection_close(host->link);
    host->link = NULL;
    host->wait_s = host->wait_s > 0 ? MIN(2 * host->wait_s, DIAL_CAP_S) : DIAL_FLOOR_S;
    lmn_sleep(host->wait_s * (0.5 + g_random_double()));
}

void *lmn_execution_thread(void *arg)
{
    struct lmn_gateway_peer *p = arg;
    struct lmn_gateway *gateway = p->gateway;
    struct host k = {.p = p,
                     .state = lmn_http_client_new(gateway->options->state),
                     .depot = lmn_http_client_new(gateway->options->image_store)};
    char err[256];
    unsigned turn = 0;

    for (;;) {
        if (!k.link) {
            p->connects++;
            /* Of a site's gateways one listens; which, shows the next try. */
            const char *addr =
                gateway->options->addresses[p->index][turn % LMN_GATEWAY_MAX_ADDRESSES];
            if (!*addr) {
                turn = 0;
                continue;
            }
            turn++;
            k.link =
                lmn_peer_connection_open(gateway->tls, addr, lmn_gateway_peer_site(p),
                                         LMN_PEER_MESSAGE_TIMEOUT_S, err, sizeof err);
            if (!k.link) {
                drop(&k, err);
                continue;
            }
            if (!greet(&k)) {
                drop(&k, "no hello");
                continue;
            }
            lmn_info("peer_connection_established site=%s", lmn_gateway_peer_site(p));
            k.wait_s = 0;
        }
        if (!sync_once(&k)) {
            drop(&k, "no answer");
            continue;
        }
        pthread_mutex_lock(&gateway->records.lock);
        if (!p->has_news && !p->pull_count)
            lmn_cond_wait_for(&p->sync_due, &gateway->records.lock,
                              gateway->options->sync_s);
        pthread_mutex_unlock(&gateway->records.lock);
        lmn_sleep(0.02); /* news come in flocks */
    }
    return NULL;
}

/* The lock is held. */
static bool is_idle(const struct lmn_gateway *gateway)
{
    double cpus, work_s;

    lmn_gateway_local_load(gateway, &cpus, &work_s);
    return lmn_route_for_idle_site(gateway->options->cpus, cpus,
                                   lmn_gateway_queued_cpu_s(gateway),
                                   gateway->options->pull_at);
}

/* An idle site pulls: it looks at a fresh random sample of the others, the root of their
 * number, and asks the busiest for a share of what waits there (T 2.3). */
void *lmn_gateway_pull_thread(void *arg)
{
    struct lmn_gateway *gateway = arg;

    for (;;) {
        lmn_sleep(0.05);
        pthread_mutex_lock(&gateway->records.lock);
        struct timespec now = lmn_now();
        if (gateway->is_fenced || !gateway->options->peer_count ||
            lmn_time_before(now, gateway->next_pull_at) || !is_idle(gateway)) {
            pthread_mutex_unlock(&gateway->records.lock);
            continue;
        }
        struct lmn_route_peer view[LMN_MAX_PEERS];
        for (unsigned i = 0; i < gateway->options->peer_count; i++)
            view[i] = (struct lmn_route_peer){
                gateway->peers[i].is_up &&
                    !lmn_gateway_records_is_evicted(
                        &gateway->records, lmn_gateway_peer_site(&gateway->peers[i])),
                gateway->peers[i].queued_cpu_s};
        int busiest = lmn_route_pick(gateway->random, view, gateway->options->peer_count);
        if (busiest >= 0) {
            gateway->peers[busiest].pull_count = LMN_GATEWAY_RPC_MAX_OFFERS;
            pthread_cond_signal(&gateway->peers[busiest].sync_due);
            gateway->next_pull_at =
                lmn_time_add(now, 1); /* until its answer says otherwise */
        } else {
            gateway->poll_s = lmn_route_interval(gateway->poll_s, false);
            gateway->next_pull_at = lmn_time_add(now, gateway->poll_s);
        }
        pthread_mutex_unlock(&gateway->records.lock);
    }
    return NULL;
}
