#include "controller/replication_thread.h"
#include "util/log.h"
#include "util/thread.h"
#include "controller/rpc_client.h"
#include "replication/start_gate.h"
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

u_int lmn_replication_receive(struct lmn_core *core, const lmn_rpc_replication_batch *x)
{
    struct lmn_replication_batch *b = lmn_replication_batch_new();

    b->partition = x->part;
    b->epoch = x->term;
    b->stream = x->stream;
    b->number = x->number;
    for (u_int i = 0; i < x->machines.machines_len; i++) {
        const lmn_rpc_machine *machine = &x->machines.machines_val[i];
        struct lmn_machine_snapshot *snapshot = lmn_machine_snapshot_new(machine->name);
        snapshot->agent_incarnation = machine->session;
        snapshot->is_terminated = machine->state & 1;
        snapshot->is_forgotten = machine->state & 2;
        for (u_int k = 0; k < machine->attempts.attempts_len; k++) {
            const lmn_rpc_attempt *attempt = &machine->attempts.attempts_val[k];
            struct lmn_attempt_snapshot y = {.index = attempt->index,
                                             .number = attempt->number,
                                             .has_ended = attempt->state & 1,
                                             .is_done = attempt->state & 2};
            g_strlcpy(y.job_id, attempt->ref, sizeof y.job_id);
            g_array_append_val(snapshot->attempts, y);
        }
        if (machine->state & 4)
            snapshot->images =
                g_array_new(FALSE, FALSE, sizeof(struct lmn_image_snapshot));
        for (u_int k = 0; snapshot->images && k < machine->images.images_len; k++) {
            const lmn_rpc_image *a = &machine->images.images_val[k];
            struct lmn_image_snapshot y = {.gb = a->gb, .is_present = a->there};
            g_strlcpy(y.name, a->name, sizeof y.name);
            g_array_append_val(snapshot->images, y);
        }
        g_ptr_array_add(b->machines, snapshot);
    }
    pthread_mutex_lock(&core->lock);
    enum lmn_replica_result answer = lmn_replica_apply(core, b, lmn_now());
    pthread_mutex_unlock(&core->lock);
    lmn_replication_batch_free(b);
    return answer;
}

/* --- telling --- */

/* Names stay the batch's. */
static void fill_machine(lmn_rpc_machine *machine,
                         const struct lmn_machine_snapshot *snapshot)
{
    machine->name = (char *)snapshot->name;
    machine->session = snapshot->agent_incarnation;
    machine->state = snapshot->is_terminated * 1u | snapshot->is_forgotten * 2u |
                     (snapshot->images ? 4u : 0);
    machine->attempts.attempts_len = MIN(snapshot->attempts->len, LMN_RPC_MAX_ATTEMPTS);
    machine->attempts.attempts_val = g_new0(lmn_rpc_attempt, snapshot->attempts->len);
    for (u_int k = 0; k < machine->attempts.attempts_len; k++) {
        struct lmn_attempt_snapshot *attempt =
            &g_array_index(snapshot->attempts, struct lmn_attempt_snapshot, k);
        machine->attempts.attempts_val[k] =
            (lmn_rpc_attempt){attempt->job_id, attempt->index, attempt->number,
                              attempt->has_ended * 1u | attempt->is_done * 2u};
    }
    if (!snapshot->images)
        return;
    machine->images.images_len = MIN(snapshot->images->len, LMN_RPC_MAX_ITEMS);
    machine->images.images_val = g_new0(lmn_rpc_image, snapshot->images->len);
    for (u_int k = 0; k < machine->images.images_len; k++) {
        struct lmn_image_snapshot *image =
            &g_array_index(snapshot->images, struct lmn_image_snapshot, k);
        machine->images.images_val[k] =
            (lmn_rpc_image){image->name, image->gb, image->is_present};
    }
}

struct teller {
    struct lmn_core *c;
    struct lmn_partition *p;
    struct lmn_http_client *http; /* to the state service */
    CLIENT *client;               /* to whom: */
    int to;
};

static const char *addr_of(const struct lmn_core *core, int member_index)
{
    const char *name = lmn_member_name(&core->members, member_index);

    for (size_t i = 0; i < core->settings->member_count; i++)
        if (!strcmp(core->settings->members[i].name, name))
            return core->settings->members[i].address;
    return NULL;
}

static bool call(struct teller *f, int to, const lmn_rpc_replication_batch *batch,
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
                  (char *)batch, (xdrproc_t)xdr_u_int, (char *)answer,
                  wait) == RPC_SUCCESS)
        return true;
    clnt_destroy(f->client);
    f->client = NULL;
    return false;
}

/* The batch is not altered by anyone while it is being sent. */
static bool send_batch(struct teller *f, int to,
                       const struct lmn_replication_batch *batch, u_int *answer)
{
    lmn_rpc_machine machines[LMN_REPLICATION_BATCH_MACHINES] = {0};
    lmn_rpc_replication_batch x = {batch->partition,
                                   batch->epoch,
                                   batch->stream,
                                   batch->number,
                                   {batch->machines->len, machines}};

    for (guint i = 0; i < batch->machines->len; i++)
        fill_machine(&machines[i], batch->machines->pdata[i]);
    bool ok = call(f, to, &x, answer);
    for (guint i = 0; i < batch->machines->len; i++) {
        g_free(machines[i].attempts.attempts_val);
        g_free(machines[i].images.images_val);
    }
    return ok;
}

/* --- what waits --- */

/* Takes those out whose fate is known: their starts may go out, or were taken back, or
 * the partition is another's. The lock is held. */
static void settle(struct lmn_core *core, struct lmn_partition *partition, GQueue *out,
                   struct timespec now)
{
    GQueue *q = &partition->replication.stream.deferred_responses;

    for (GList *l = q->head, *next; l; l = next) {
        struct lmn_deferred_response *response = l->data;
        next = l->next;
        if (!partition->ownership.is_owned ||
            partition->ownership.epoch != response->held.epoch) {
            response->status = 503;
            g_byte_array_set_size(response->out, 0);
        } else if (lmn_replication_covers(partition, response->held.log_position)) {
            response->status = 200;
        } else if (lmn_time_diff_s(now, response->since) > LMN_REPLICATION_DEFER_S) {
            response->status = 200;
            lmn_heartbeat_withhold_starts(core, &response->held, response->out, now);
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
    struct lmn_deferred_response *response;

    while ((response = g_queue_pop_head(out))) {
        lmn_http_request_respond(response->call, response->status, response->out, 0);
        g_free(response);
    }
}

void lmn_replication_defer_response(struct lmn_core *core,
                                    struct lmn_http_request *request, GByteArray *out,
                                    const struct lmn_deferred_starts *deferred)
{
    struct lmn_partition *partition = &core->partitions[deferred->partition];
    int status = 0;

    pthread_mutex_lock(&core->lock);
    if (!partition->ownership.is_owned || partition->ownership.epoch != deferred->epoch)
        status = 503;
    else if (lmn_replication_covers(partition, deferred->log_position))
        status = 200;
    if (!status) {
        struct lmn_deferred_response *response = g_new0(struct lmn_deferred_response, 1);
        *response = (struct lmn_deferred_response){request, out, *deferred, lmn_now(), 0};
        lmn_http_request_defer(request);
        g_queue_push_tail(&partition->replication.stream.deferred_responses, response);
    }
    pthread_mutex_unlock(&core->lock);
    if (status == 503)
        g_byte_array_set_size(out, 0);
    if (status)
        lmn_http_request_respond(request, status, out, 0);
}

/* --- the threads --- */

static void *tell_thread(void *arg)
{
    struct teller *f = arg;
    struct lmn_core *core = f->c;
    struct lmn_partition *partition = f->p;
    GQueue done = G_QUEUE_INIT;

    f->http = lmn_http_client_new(core->settings->state_address);
    pthread_mutex_lock(&core->lock);
    for (;;) {
        struct lmn_replication_batch *batch = NULL;
        struct lmn_txn *txn = NULL;
        double wait;
        enum lmn_replication_step step =
            lmn_replication_next_step(core, partition, lmn_now(), &batch, &txn, &wait);
        int to = partition->replication.stream.standby_index;
        settle(core, partition, &done, lmn_now());
        if (step == LMN_REPLICATION_WAIT && g_queue_is_empty(&done)) {
            lmn_cond_wait_for(&partition->replication.due, &core->lock, wait);
            continue;
        }
        pthread_mutex_unlock(&core->lock);
        answer_all(&done);
        if (step == LMN_REPLICATION_SEND) {
            u_int answer = LMN_REPLICA_UNKNOWN_STREAM;
            bool answered = send_batch(f, to, batch, &answer);
            if (!answered)
                lmn_sleep(PAUSE_S);
            pthread_mutex_lock(&core->lock);
            lmn_replication_batch_sent(core, partition, batch, answered,
                                       (enum lmn_replica_result)answer, lmn_now());
            continue;
        }
        if (step == LMN_REPLICATION_WRITE) {
            uint64_t revision;
            enum lmn_txn_outcome r =
                lmn_kv_client_commit(core->kv_client, f->http, txn, &revision, NULL);
            lmn_debug("replica_record_written partition=%d outcome=%d", partition->id, r);
            lmn_txn_free(txn);
        }
        pthread_mutex_lock(&core->lock);
    }
    return NULL;
}

void lmn_replication_start(struct lmn_core *core)
{
    for (int i = 0; i < core->partition_count; i++) {
        struct teller *f = g_new0(struct teller, 1);
        f->c = core;
        f->p = &core->partitions[i];
        lmn_thread(tell_thread, f);
    }
}
