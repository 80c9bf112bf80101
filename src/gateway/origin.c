/* As the home of jobs: answers the sites that have them, or would. */
#include "util/clock.h"
#include "protocol/cbor.h"
#include "util/log.h"
#include "util/thread.h"
#include "image_store/image_store.h"
#include "gateway/route.h"
#include "gateway/sync_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* An offer without an answer is asked about after so long. */
static const double RESOLVE_S = 1.5;

enum { MAX_LINKS = 64 };

/* A socket: that of the listener, or of a link. */
struct conn {
    struct lmn_gateway *g;
    int fd;
};

struct answering {
    struct lmn_gateway *g;
    struct lmn_peer_connection *link;
    struct lmn_http_client *state, *depot;
    const char *site;
};

/* What the host says of a job of ours; heard: to be told that it need not say it again.
 */
static void hear(struct answering *a, const struct lmn_gateway_rpc_item *i,
                 GArray *writes, GArray *heard)
{
    struct lmn_gateway_records *b = &a->g->records;
    struct lmn_record_write w = {0};
    bool done = false;

    if (!lmn_job_id_is_valid(i->ref) || i->word < LMN_HANDOVER_ACCEPTED ||
        i->word > LMN_HANDOVER_FINISHED || i->outcome < 0 ||
        i->outcome > LMN_OUTCOME_RETURNED || lmn_record_write_contains(writes, i->ref))
        return;
    pthread_mutex_lock(&b->lock);
    w.job = lmn_gateway_records_take_job(b, i->ref);
    if (w.job) {
        w.origin = w.job->origin;
        bool change =
            lmn_origin_handle_answer(&w.origin, a->site, i->incarnation, i->epoch,
                                     (enum lmn_handover_answer)i->word,
                                     (enum lmn_handover_outcome)i->outcome, &done);
        if (w.origin.state == LMN_ORIGIN_REMOTE && i->epoch == w.origin.epoch) {
            w.job->progress.done =
                MAX(w.job->progress.done, MIN(i->done, w.job->spec.tasks));
            w.job->progress.running = i->running;
            w.job->progress.known_at = lmn_now();
        }
        if (w.origin.state == LMN_ORIGIN_FENCED && change)
            lmn_error("job_fenced job=%s site=%s why=\"that site was restored\"", i->ref,
                      a->site);
        if (change)
            g_array_append_val(writes, w);
        else
            lmn_gateway_records_release_job(b, w.job);
        if (done && (!change || w.origin.state == LMN_ORIGIN_FINAL ||
                     w.origin.state == LMN_ORIGIN_QUEUED)) {
            struct lmn_gateway_rpc_item *h = lmn_gateway_item_append(heard);
            *h = *i;
            h->ref = g_strdup(i->ref);
            /* Told only once it is written: marked by the place of its write. */
            h->running = change ? writes->len : 0;
        }
    }
    pthread_mutex_unlock(&b->lock);
}

/* How a job that waits looks to routing. */
static struct lmn_route_job seen(const struct lmn_gateway_job *j, double wall)
{
    const struct lmn_job_spec *spec = &j->spec;
    double run = MAX(spec->estimate_s, 0.1);

    return (struct lmn_route_job){
        .cpus = lmn_job_spec_total_cpus(spec),
        .work_s = lmn_job_spec_total_cpus(spec) * run,
        .run_s = run,
        .slack_s = spec->deadline_s >= 0
                       ? j->accepted_at_s + spec->deadline_s - run - wall
                       : INFINITY,
        /* A hand-over takes some messages; an image comes by no less than a gigabyte in
           two seconds. */
        .fetch_s = 0.5 + 2 * spec->image_gb,
    };
}

/* Offers jobs to a site that pulls: recorded by the caller before they are sent. */
static void choose_offers(struct answering *a, const lmn_gateway_rpc_sync *q,
                          GArray *writes)
{
    struct lmn_gateway *gateway = a->g;
    struct lmn_gateway_records *b = &gateway->records;
    struct lmn_gateway_peer *p = lmn_gateway_peer_by_site(gateway, a->site);
    GHashTableIter it;
    gpointer x;
    unsigned transit = 0, picks[LMN_GATEWAY_RPC_MAX_OFFERS], n = 0;

    pthread_mutex_lock(&b->lock);
    g_hash_table_iter_init(&it, b->open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        const struct lmn_gateway_job *j = x;
        transit +=
            j->origin.state == LMN_ORIGIN_OFFERED && !strcmp(j->origin.site, a->site);
    }
    GPtrArray *v = lmn_gateway_waiting_jobs(gateway);
    struct lmn_route_job *jobs = g_new(struct lmn_route_job, v->len + 1);
    double wall = lmn_time_seconds(lmn_wall_clock_now());
    for (guint i = 0; i < v->len; i++)
        jobs[i] = seen(v->pdata[i], wall);
    double cpus, work_s;
    lmn_gateway_local_load(gateway, &cpus, &work_s);
    const struct lmn_route_for_origin home = {
        gateway->options->cpus, cpus,
        gateway->options->local_work_s * gateway->options->cpus - work_s,
        gateway->options->share};
    unsigned most = MIN(q->most, LMN_GATEWAY_RPC_MAX_OFFERS);
    most = MIN(most, gateway->options->max_offers_in_flight > transit
                         ? gateway->options->max_offers_in_flight - transit
                         : 0);
    if (!gateway->is_fenced && p->incarnation &&
        !lmn_gateway_records_is_evicted(b, a->site))
        n = lmn_route_choose(jobs, v->len, &home, q->room_cpus, most, picks);
    for (unsigned i = 0; i < n; i++) {
        struct lmn_gateway_job *j = v->pdata[picks[i]];
        struct lmn_record_write w = {.job = j, .origin = j->origin};
        if (!lmn_origin_offer(&w.origin, a->site, p->incarnation,
                              gateway->options->max_transfers))
            continue;
        j->is_taken = true;
        j->offered_at = lmn_now();
        p->offers_out++;
        g_array_append_val(writes, w);
    }
    pthread_mutex_unlock(&b->lock);
    g_free(jobs);
    g_ptr_array_free(v, TRUE);
}

/* Offers that lack an answer, and jobs that are to be stopped. */
static void remind(struct answering *a, GArray *resolve, GArray *cancel)
{
    GHashTableIter it;
    gpointer x;

    pthread_mutex_lock(&a->g->records.lock);
    g_hash_table_iter_init(&it, a->g->records.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        const struct lmn_gateway_job *j = x;
        bool offered = j->origin.state == LMN_ORIGIN_OFFERED, away = !offered;
        if (!lmn_origin_is_at(&j->origin, a->site))
            continue;
        GArray *to =
            offered && lmn_time_diff_s(lmn_now(), j->offered_at) > RESOLVE_S ? resolve
            : away && (j->origin.cancel_requested || j->origin.is_revoked)   ? cancel
                                                                             : NULL;
        if (!to || to->len >= LMN_GATEWAY_RPC_MAX_ITEMS)
            continue;
        struct lmn_gateway_rpc_item *i = lmn_gateway_item_append(to);
        i->ref = g_strdup(j->id);
        i->epoch = j->origin.epoch;
        i->incarnation = j->origin.incarnation;
        i->outcome =
            j->origin.cancel_requested ? LMN_OUTCOME_CANCELLED : LMN_OUTCOME_RETURNED;
    }
    pthread_mutex_unlock(&a->g->records.lock);
}

static void answer_sync(struct answering *a, const lmn_gateway_rpc_sync *q,
                        lmn_gateway_rpc_response *r)
{
    struct lmn_gateway_rpc_reply *y = &r->lmn_gateway_rpc_response_u.reply;
    GArray *writes = g_array_new(FALSE, TRUE, sizeof(struct lmn_record_write));
    GArray *heard = g_array_new(FALSE, TRUE, sizeof(struct lmn_gateway_rpc_item));
    GArray *resolve = g_array_new(FALSE, TRUE, sizeof(struct lmn_gateway_rpc_item));
    GArray *cancel = g_array_new(FALSE, TRUE, sizeof(struct lmn_gateway_rpc_item));

    for (u_int i = 0; i < q->says.says_len; i++)
        hear(a, &q->says.says_val[i], writes, heard);
    lmn_gateway_records_write(&a->g->records, a->state,
                              (struct lmn_record_write *)(void *)writes->data,
                              writes->len);
    for (guint i = heard->len; i-- > 0;) {
        struct lmn_gateway_rpc_item *h =
            &g_array_index(heard, struct lmn_gateway_rpc_item, i);
        u_int at = h->running;
        h->running = 0;
        if (at && !g_array_index(writes, struct lmn_record_write, at - 1).is_written) {
            g_free(h->ref);
            g_array_remove_index_fast(heard, i);
        }
    }
    g_array_set_size(writes, 0);
    if (q->most)
        choose_offers(a, q, writes);
    lmn_gateway_records_write(&a->g->records, a->state,
                              (struct lmn_record_write *)(void *)writes->data,
                              writes->len);
    remind(a, resolve, cancel);
    r->kind = LMN_GATEWAY_RPC_SYNC;
    y->offers.offers_val = g_new0(struct lmn_gateway_rpc_offer, writes->len + 1);
    for (guint i = 0; i < writes->len; i++) {
        const struct lmn_record_write *w =
            &g_array_index(writes, struct lmn_record_write, i);
        struct lmn_gateway_rpc_offer *o = &y->offers.offers_val[y->offers.offers_len];
        if (!w->is_written || !w->job)
            continue;
        GByteArray *buffer = g_byte_array_new();
        lmn_cbor_put_map(buffer, lmn_job_spec_pair_count());
        lmn_job_spec_write(buffer, &w->job->spec);
        o->ref = g_strdup(w->job->id);
        o->epoch = w->origin.epoch;
        o->incarnation = w->origin.incarnation;
        o->spec.spec_len = buffer->len;
        o->spec.spec_val = (char *)g_byte_array_free(buffer, FALSE);
        o->digest = g_strdup(w->job->digest);
        o->leash_s = w->job->execution_lease_s;
        y->offers.offers_len++;
    }
    pthread_mutex_lock(&a->g->records.lock);
    struct lmn_gateway_peer *p = lmn_gateway_peer_by_site(a->g, a->site);
    p->last_contact_at = lmn_now();
    p->outcomes_in += heard->len;
    y->queued_cpu_s = a->g->is_fenced ? 0 : lmn_gateway_queued_cpu_s(a->g);
    pthread_mutex_unlock(&a->g->records.lock);
    y->heard.heard_len = heard->len;
    y->heard.heard_val =
        (struct lmn_gateway_rpc_item *)(void *)g_array_free(heard, FALSE);
    y->resolve.resolve_len = resolve->len;
    y->resolve.resolve_val =
        (struct lmn_gateway_rpc_item *)(void *)g_array_free(resolve, FALSE);
    y->cancel.cancel_len = cancel->len;
    y->cancel.cancel_val =
        (struct lmn_gateway_rpc_item *)(void *)g_array_free(cancel, FALSE);
    g_array_free(writes, TRUE);
}

static void free_reply(lmn_gateway_rpc_reply *y)
{
    struct lmn_gateway_rpc_item *lists[] = {y->heard.heard_val, y->resolve.resolve_val,
                                            y->cancel.cancel_val};
    u_int lens[] = {y->heard.heard_len, y->resolve.resolve_len, y->cancel.cancel_len};

    for (int k = 0; k < 3; k++) {
        for (u_int i = 0; i < lens[k]; i++)
            g_free(lists[k][i].ref);
        g_free(lists[k]);
    }
    for (u_int i = 0; i < y->offers.offers_len; i++) {
        g_free(y->offers.offers_val[i].ref);
        g_free(y->offers.offers_val[i].spec.spec_val);
        g_free(y->offers.offers_val[i].digest);
    }
    g_free(y->offers.offers_val);
}

/* Only what a job that is, or was, offered to the site runs. */
static bool may_have(struct answering *a, const char *digest)
{
    GHashTableIter it;
    gpointer x;
    bool may = false;

    pthread_mutex_lock(&a->g->records.lock);
    g_hash_table_iter_init(&it, a->g->records.jobs);
    while (!may && g_hash_table_iter_next(&it, NULL, &x)) {
        const struct lmn_gateway_job *j = x;
        may = !strcmp(j->digest, digest) && !strcmp(j->origin.site, a->site);
    }
    pthread_mutex_unlock(&a->g->records.lock);
    return may;
}

static int answer_blob(struct answering *a, const char *digest)
{
    GByteArray *buffer = g_byte_array_new();
    struct lmn_image_store_error e;
    lmn_gateway_rpc_response r = {0};

    if (may_have(a, digest) && lmn_image_store_get(a->depot, digest, buffer, &e) == 0 &&
        buffer->len <= LMN_GATEWAY_RPC_MAX_BLOB_BYTES) {
        r.kind = LMN_GATEWAY_RPC_BLOB;
        r.lmn_gateway_rpc_response_u.blob.blob_len = buffer->len;
        r.lmn_gateway_rpc_response_u.blob.blob_val = (char *)buffer->data;
    } else {
        r.lmn_gateway_rpc_response_u.error = (char *)"no such blob";
    }
    int rc = lmn_peer_connection_send_response(a->link, &r);
    g_byte_array_unref(buffer);
    return rc;
}

static int answer_one(struct answering *a, const lmn_gateway_rpc_request *q,
                      bool *greeted)
{
    lmn_gateway_rpc_response r = {0};
    int rc;

    if (q->kind == LMN_GATEWAY_RPC_HELLO) {
        const char *wrong =
            lmn_gateway_hello_accept(a->g, a->site, &q->lmn_gateway_rpc_request_u.hello);
        *greeted = !wrong;
        if (wrong) {
            lmn_error("peer_hello_rejected site=%s why=\"%s\"", a->site, wrong);
            return -1;
        }
        r.kind = LMN_GATEWAY_RPC_HELLO;
        lmn_gateway_hello_fill(a->g, &r.lmn_gateway_rpc_response_u.hello);
        return lmn_peer_connection_send_response(a->link, &r);
    }
    if (!*greeted)
        return -1;
    switch (q->kind) {
    case LMN_GATEWAY_RPC_SYNC:
        answer_sync(a, &q->lmn_gateway_rpc_request_u.sync, &r);
        rc = lmn_peer_connection_send_response(a->link, &r);
        free_reply(&r.lmn_gateway_rpc_response_u.reply);
        return rc;
    case LMN_GATEWAY_RPC_LOAD:
        r.kind = LMN_GATEWAY_RPC_LOAD;
        pthread_mutex_lock(&a->g->records.lock);
        r.lmn_gateway_rpc_response_u.queued_cpu_s = lmn_gateway_queued_cpu_s(a->g);
        pthread_mutex_unlock(&a->g->records.lock);
        return lmn_peer_connection_send_response(a->link, &r);
    case LMN_GATEWAY_RPC_BLOB:
        return answer_blob(a, q->lmn_gateway_rpc_request_u.digest);
    default:
        r.lmn_gateway_rpc_response_u.error = (char *)"no such request";
        return lmn_peer_connection_send_response(a->link, &r);
    }
}

static int links; /* that are answered; atomic */

static void *serve_link(void *arg)
{
    struct conn *c = arg;
    struct answering a = {.g = c->g};
    char err[256];
    lmn_gateway_rpc_request q;
    bool greeted = false;

    /* Longer than a peer's silence between two syncs. */
    a.link = lmn_peer_connection_accept(
        c->g->tls, c->fd, MAX(LMN_PEER_MESSAGE_TIMEOUT_S, 3 * c->g->options->sync_s), err,
        sizeof err);
    if (!a.link) {
        lmn_info("peer_connection_rejected why=\"%s\"", err);
    } else {
        a.site = lmn_peer_connection_site(a.link);
        a.state = lmn_http_client_new(c->g->options->state);
        a.depot = lmn_http_client_new(c->g->options->image_store);
        while (lmn_peer_connection_read_request(a.link, &q) == 0) {
            int rc = answer_one(&a, &q, &greeted);
            xdr_free((xdrproc_t)xdr_lmn_gateway_rpc_request, (char *)&q);
            if (rc != 0)
                break;
        }
        lmn_peer_connection_close(a.link);
        lmn_http_client_free(a.state);
        lmn_http_client_free(a.depot);
    }
    g_atomic_int_add(&links, -1);
    g_free(c);
    return NULL;
}

static void *accept_links(void *arg)
{
    struct conn *l = arg;

    for (;;) {
        int fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            lmn_sleep(0.05);
            continue;
        }
        /* A bound on what strangers, and peers that dial again and again, can take. */
        if (g_atomic_int_add(&links, 1) >=
            MAX_LINKS + 2 * (int)l->g->options->peer_count) {
            g_atomic_int_add(&links, -1);
            close(fd);
            continue;
        }
        struct conn *c = g_new(struct conn, 1);
        *c = (struct conn){l->g, fd};
        lmn_thread_start_detached(serve_link, c);
    }
    return NULL;
}

int lmn_origin_start(struct lmn_gateway *gateway, char *err, size_t len)
{
    struct conn *l = g_new0(struct conn, 1);
    struct sockaddr_in a = {.sin_family = AF_INET};
    char host[LMN_ADDRESS_SIZE];
    int port, one = 1;

    l->g = gateway;
    l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    lmn_address_split(gateway->options->link_listen, host, sizeof host, &port);
    a.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &a.sin_addr);
    setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (l->fd < 0 || bind(l->fd, (struct sockaddr *)&a, sizeof a) != 0 ||
        listen(l->fd, 64) != 0) {
        g_snprintf(err, len, "%s: can't listen: %s", gateway->options->link_listen,
                   g_strerror(errno));
        return -1;
    }
    lmn_thread_start_detached(accept_links, l);
    return 0;
}
