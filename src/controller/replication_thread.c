#include "controller/replication_thread.h"
#include "util/log.h"
#include "util/thread.h"
#include "controller/rpc_client.h"
#include "replication/stream.h"

#include <rpc/rpc.h>
#include <string.h>

/* An answer to a report that waits for the standby. */
struct lmn_deferred_response {
    struct lmn_http_request *call;
    GByteArray *out;
    struct lmn_deferred_starts held;
    struct timespec since;
    int status; /* 0: it waits still */
};

/* A batch, or a connection, is not waited for for longer, s. */
static const double CALL_S = 0.25;
/* Between two tries, so that a refused connection is not three refusals at once. */
static const double PAUSE_S = 0.03;

/* --- being told --- */

u_int lmn_replication_receive(struct lmn_core *c, const lmn_rpc_replication_batch *x)
{
    struct lmn_replication_batch *b = lmn_replication_batch_new();

    b->part = x->part;
    b->term = x->term;
    b->stream = x->stream;
    b->number = x->number;
    for (u_int i = 0; i < x->machines.machines_len; i++) {
        const lmn_rpc_machine *m = &x->machines.machines_val[i];
        struct lmn_machine_snapshot *t = lmn_machine_snapshot_new(m->name);
        t->session = m->session;
        t->gone = m->state & 1;
        t->forget = m->state & 2;
        for (u_int k = 0; k < m->attempts.attempts_len; k++) {
            const lmn_rpc_attempt *a = &m->attempts.attempts_val[k];
            struct lmn_attempt_snapshot y = {.index = a->index,
                                             .number = a->number,
                                             .ended = a->state & 1,
                                             .done = a->state & 2};
            g_strlcpy(y.ref, a->ref, sizeof y.ref);
            g_array_append_val(t->attempts, y);
        }
        if (m->state & 4)
            t->images = g_array_new(FALSE, FALSE, sizeof(struct lmn_image_snapshot));
        for (u_int k = 0; t->images && k < m->images.images_len; k++) {
            const lmn_rpc_image *a = &m->images.images_val[k];
            struct lmn_image_snapshot y = {.gb = a->gb, .there = a->there};
            g_strlcpy(y.name, a->name, sizeof y.name);
            g_array_append_val(t->images, y);
        }
        g_ptr_array_add(b->machines, t);
    }
    pthread_mutex_lock(&c->lock);
    enum lmn_replica_result answer = lmn_replica_apply(c, b, lmn_now());
    pthread_mutex_unlock(&c->lock);
    lmn_replication_batch_free(b);
    return answer;
}

/* --- telling --- */

/* Names stay the batch's. */
static void fill_machine(lmn_rpc_machine *m, const struct lmn_machine_snapshot *t)
{
    m->name = (char *)t->name;
    m->session = t->session;
    m->state = t->gone * 1u | t->forget * 2u | (t->images ? 4u : 0);
    m->attempts.attempts_len = MIN(t->attempts->len, LMN_RPC_MAX_ATTEMPTS);
    m->attempts.attempts_val = g_new0(lmn_rpc_attempt, t->attempts->len);
    for (u_int k = 0; k < m->attempts.attempts_len; k++) {
        struct lmn_attempt_snapshot *a =
            &g_array_index(t->attempts, struct lmn_attempt_snapshot, k);
        m->attempts.attempts_val[k] =
            (lmn_rpc_attempt){a->ref, a->index, a->number, a->ended * 1u | a->done * 2u};
    }
    if (!t->images)
        return;
    m->images.images_len = MIN(t->images->len, LMN_RPC_MAX_ITEMS);
    m->images.images_val = g_new0(lmn_rpc_image, t->images->len);
    for (u_int k = 0; k < m->images.images_len; k++) {
        struct lmn_image_snapshot *a =
            &g_array_index(t->images, struct lmn_image_snapshot, k);
        m->images.images_val[k] = (lmn_rpc_image){a->name, a->gb, a->there};
    }
}

struct teller {
    struct lmn_core *c;
    struct lmn_partition *p;
    struct lmn_http_client *http; /* to the state service */
    CLIENT *client;               /* to whom: */
    int to;
};

static const char *addr_of(const struct lmn_core *c, int rank)
{
    const char *name = lmn_member_name(&c->members, rank);

    for (size_t i = 0; i < c->cfg->nmembers; i++)
        if (!strcmp(c->cfg->members[i].name, name))
            return c->cfg->members[i].addr;
    return NULL;
}

static bool call(struct teller *f, int to, const lmn_rpc_replication_batch *x,
                 u_int *answer)
{
    const struct timeval wait = {0, (suseconds_t)(1e6 * CALL_S)};

    if (f->client && f->to != to) {
        clnt_destroy(f->client);
        f->client = NULL;
    }
    f->to = to;
    if (!f->client && addr_of(f->c, to))
        f->client = lmn_rpc_connect_within(addr_of(f->c, to), CALL_S);
    if (!f->client)
        return false;
    if (clnt_call(f->client, LMN_RPC_REPLICATE, (xdrproc_t)xdr_lmn_rpc_replication_batch,
                  (char *)x, (xdrproc_t)xdr_u_int, (char *)answer, wait) == RPC_SUCCESS)
        return true;
    clnt_destroy(f->client);
    f->client = NULL;
    return false;
}

/* The batch is not altered by anyone while it is being sent. */
static bool send_batch(struct teller *f, int to, const struct lmn_replication_batch *b,
                       u_int *answer)
{
    lmn_rpc_machine machines[LMN_REPLICATION_BATCH_MACHINES] = {0};
    lmn_rpc_replication_batch x = {
        b->part, b->term, b->stream, b->number, {b->machines->len, machines}};

    for (guint i = 0; i < b->machines->len; i++)
        fill_machine(&machines[i], b->machines->pdata[i]);
    bool ok = call(f, to, &x, answer);
    for (guint i = 0; i < b->machines->len; i++) {
        g_free(machines[i].attempts.attempts_val);
        g_free(machines[i].images.images_val);
    }
    return ok;
}

/* --- what waits --- */

/* Takes those out whose fate is known: their starts may go out, or were taken back, or
 * the partition is another's. The lock is held. */
static void settle(struct lmn_core *c, struct lmn_partition *p, GQueue *out,
                   struct timespec now)
{
    GQueue *q = &p->stream.waiting;

    for (GList *l = q->head, *next; l; l = next) {
        struct lmn_deferred_response *w = l->data;
        next = l->next;
        if (!p->mine || p->my_term != w->held.term) {
            w->status = 503;
            g_byte_array_set_size(w->out, 0);
        } else if (lmn_replication_covers(p, w->held.mark)) {
            w->status = 200;
        } else if (lmn_time_diff_s(now, w->since) > LMN_REPLICATION_DEFER_S) {
            w->status = 200;
            lmn_heartbeat_withhold_starts(c, &w->held, w->out, now);
        } else {
            continue;
        }
        g_queue_unlink(q, l);
        g_queue_push_tail_link(out, l);
    }
}

/* No lock held. */
static void answer_all(GQueue *out)
{
    struct lmn_deferred_response *w;

    while ((w = g_queue_pop_head(out))) {
        lmn_http_request_respond(w->call, w->status, w->out, 0);
        g_free(w);
    }
}

void lmn_replication_defer_response(struct lmn_core *c, struct lmn_http_request *call,
                                    GByteArray *out,
                                    const struct lmn_deferred_starts *held)
{
    struct lmn_partition *p = &c->parts[held->part];
    int status = 0;

    pthread_mutex_lock(&c->lock);
    if (!p->mine || p->my_term != held->term)
        status = 503;
    else if (lmn_replication_covers(p, held->mark))
        status = 200;
    if (!status) {
        struct lmn_deferred_response *w = g_new0(struct lmn_deferred_response, 1);
        *w = (struct lmn_deferred_response){call, out, *held, lmn_now(), 0};
        lmn_http_request_defer(call);
        g_queue_push_tail(&p->stream.waiting, w);
    }
    pthread_mutex_unlock(&c->lock);
    if (status == 503)
        g_byte_array_set_size(out, 0);
    if (status)
        lmn_http_request_respond(call, status, out, 0);
}

/* --- the threads --- */

static void *tell_thread(void *arg)
{
    struct teller *f = arg;
    struct lmn_core *c = f->c;
    struct lmn_partition *p = f->p;
    GQueue done = G_QUEUE_INIT;

    f->http = lmn_http_client_new(c->cfg->state);
    pthread_mutex_lock(&c->lock);
    for (;;) {
        struct lmn_replication_batch *batch = NULL;
        struct lmn_txn *txn = NULL;
        double wait;
        enum lmn_replication_step step =
            lmn_replication_next_step(c, p, lmn_now(), &batch, &txn, &wait);
        int to = p->stream.to;
        settle(c, p, &done, lmn_now());
        if (step == LMN_REPLICATION_WAIT && g_queue_is_empty(&done)) {
            lmn_cond_wait_for(&p->following, &c->lock, wait);
            continue;
        }
        pthread_mutex_unlock(&c->lock);
        answer_all(&done);
        if (step == LMN_REPLICATION_SEND) {
            u_int answer = LMN_REPLICA_UNKNOWN_STREAM;
            bool answered = send_batch(f, to, batch, &answer);
            if (!answered)
                lmn_sleep(PAUSE_S);
            pthread_mutex_lock(&c->lock);
            lmn_replication_batch_sent(c, p, batch, answered,
                                       (enum lmn_replica_result)answer, lmn_now());
            continue;
        }
        if (step == LMN_REPLICATION_WRITE) {
            uint64_t rev;
            enum lmn_txn_outcome r =
                lmn_kv_client_commit(c->state, f->http, txn, &rev, NULL);
            lmn_debug("standby-write partition=%d outcome=%d", p->id, r);
            lmn_txn_free(txn);
        }
        pthread_mutex_lock(&c->lock);
    }
    return NULL;
}

void lmn_replication_start(struct lmn_core *c)
{
    for (int i = 0; i < c->nparts; i++) {
        struct teller *f = g_new0(struct teller, 1);
        f->c = c;
        f->p = &c->parts[i];
        lmn_thread(tell_thread, f);
    }
}
