/* The HTTP client for workers: the threads that push commands and probe. Each thread has
 * its own connections. It holds the core's lock while it chooses a call and while it
 * records the outcome, but never during the call. */
#include "partition/worker_client.h"

#include "http/client.h"
#include "partition/heartbeat_message.h"
#include "partition/worker_probe.h"
#include "partition/worker_push.h"
#include "protocol/wire.h"
#include "replication/start_gate.h"
#include "state/core.h"
#include "util/log.h"
#include "util/thread.h"

/* How long a worker may take to answer. */
static const double PROBE_TIMEOUT_S = 1.0, PUSH_TIMEOUT_S = 1.5;

/* How long an idle thread waits before it checks for due probes again. */
static const double IDLE_WAIT_S = 0.5;

/* A call to a worker: a probe or a push. */
struct worker_call {
    bool is_probe;
    char machine[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    uint64_t fencing_token;     /* of a probe; 0: it only tests the connection */
    uint64_t agent_incarnation; /* of a probe; 0: unknown, and requested first */
    GByteArray *body, *answer;
};

/* Reads the agent's current incarnation from the response to WIRE_PATH_SHOW. It is left
 * unchanged if the response does not contain it.
 * Returns false if the response is not valid CBOR. */
static bool read_incarnation(const GByteArray *answer, uint64_t *agent_incarnation)
{
    struct lmn_cbor_document document;

    if (lmn_cbor_parse(&document, answer->data, answer->len) != 0)
        return false;
    lmn_cbor_get_uint(
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_AGENT_INCARNATION),
        agent_incarnation);
    lmn_cbor_free(&document);
    return true;
}

/* Probes a machine for the tasks that it holds. If the agent's incarnation is unknown, it
 * is requested first. Then a push without commands is sent, which the worker answers with
 * a heartbeat under this owner's epoch. Returns the HTTP status, or LMN_HTTP_NOT_SENT or
 * LMN_HTTP_NO_RESPONSE. */
static int send_probe(struct lmn_http_client *client, const struct worker_call *call)
{
    uint64_t agent_incarnation = call->agent_incarnation;

    if (!agent_incarnation) {
        int status = lmn_http_client_call(client, "GET", WIRE_PATH_SHOW, NULL,
                                          PROBE_TIMEOUT_S, call->answer);
        if (!call->fencing_token || status != 200)
            return status;
        if (!read_incarnation(call->answer, &agent_incarnation))
            return LMN_HTTP_NO_RESPONSE;
    }
    const struct lmn_command_push push = {call->fencing_token, agent_incarnation, NULL};
    lmn_command_push_encode(call->body, &push);
    return lmn_http_client_call(client, "POST", WIRE_PATH_COMMANDS, call->body,
                                PROBE_TIMEOUT_S, call->answer);
}

static int send_call(struct lmn_http_client *client, const struct worker_call *call)
{
    if (call->is_probe)
        return send_probe(client, call);
    return lmn_http_client_call(client, "POST", WIRE_PATH_COMMANDS, call->body,
                                PUSH_TIMEOUT_S, call->answer);
}

/* Waits until there is a push or a probe for this thread. The caller holds the core's
 * lock, which is released during the wait. */
static void wait_for_call(const struct lmn_worker_client *worker_client,
                          struct worker_call *call)
{
    struct lmn_core *core = worker_client->core;

    for (;;) {
        struct timespec now = lmn_now();
        call->is_probe = false;
        call->fencing_token = call->agent_incarnation = 0;
        if (lmn_worker_client_next_push(core, worker_client->thread_index,
                                        worker_client->thread_count, call->machine,
                                        call->address, call->body, now))
            return;
        call->is_probe = lmn_worker_client_next_probe(
            core, worker_client->thread_index, worker_client->thread_count, call->machine,
            call->address, &call->fencing_token, now);
        if (call->is_probe) {
            if (call->fencing_token)
                call->agent_incarnation =
                    lmn_worker_client_replicated_incarnation(core, call->machine);
            return;
        }
        lmn_cond_wait_for(&core->machines_woken, &core->lock, IDLE_WAIT_S);
    }
}

/* Waits until the standby has acknowledged the starts in a push, if an acknowledgement is
 * required. The caller holds the core's lock, which is released during the wait.
 * Returns whether the push may be sent: the partition is still owned under the same
 * epoch, and the standby has acknowledged the starts. */
static bool wait_for_standby(struct lmn_core *core, const struct worker_call *push)
{
    int partition_id;
    uint64_t log_position =
        lmn_worker_client_push_log_position(core, push->machine, &partition_id);
    struct lmn_partition *partition = &core->partitions[partition_id];
    uint64_t epoch = partition->ownership.epoch;
    double remaining_s;

    if (!log_position)
        return true;
    struct timespec deadline = lmn_time_add(lmn_now(), LMN_REPLICATION_DEFER_S);
    while (partition->ownership.is_owned && partition->ownership.epoch == epoch &&
           !lmn_replication_allows_starts_up_to(partition, log_position) &&
           (remaining_s = lmn_time_diff_s(deadline, lmn_now())) > 0)
        lmn_cond_wait_for(&core->replication_acknowledged, &core->lock, remaining_s);
    bool is_acknowledged = partition->ownership.is_owned &&
                           partition->ownership.epoch == epoch &&
                           lmn_replication_allows_starts_up_to(partition, log_position);
    if (!is_acknowledged)
        core->counters.withheld_starts++;
    return is_acknowledged;
}

/* Waits for the next call. Acquires the core's lock.
 * Returns false if the call must not be sent; its outcome has been recorded then. */
static bool wait_for_sendable_call(const struct lmn_worker_client *worker_client,
                                   struct worker_call *call)
{
    struct lmn_core *core = worker_client->core;

    pthread_mutex_lock(&core->lock);
    wait_for_call(worker_client, call);
    bool may_send = call->is_probe || wait_for_standby(core, call);
    if (!may_send)
        lmn_worker_client_push_done(core, call->machine, LMN_HTTP_NOT_SENT, NULL,
                                    lmn_now());
    pthread_mutex_unlock(&core->lock);
    return may_send;
}

/* Acquires the core's lock. */
static void record_outcome(struct lmn_core *core, const struct worker_call *call,
                           int status)
{
    pthread_mutex_lock(&core->lock);
    if (call->is_probe)
        lmn_worker_client_probe_done(core, call->machine, call->fencing_token, status,
                                     call->answer, lmn_now());
    else
        lmn_worker_client_push_done(core, call->machine, status, call->answer, lmn_now());
    pthread_mutex_unlock(&core->lock);
}

static void close_any_connection(GHashTable *clients)
{
    GHashTableIter it;
    gpointer client;

    g_hash_table_iter_init(&it, clients);
    if (g_hash_table_iter_next(&it, NULL, &client)) {
        g_hash_table_iter_remove(&it);
        lmn_http_client_free(client);
    }
}

/* Finds or adds the client for the address. Connections are kept open for reuse. But most
 * sockets are reserved for heartbeats and users, so a thread that has used up its share
 * of the worker connections closes one before it opens another. */
static struct lmn_http_client *client_for(const struct lmn_worker_client *worker_client,
                                          GHashTable *clients, const char *address)
{
    struct lmn_http_client *client = g_hash_table_lookup(clients, address);

    if (client)
        return client;
    if (g_hash_table_size(clients) >=
        worker_client->core->connection_budget.worker_connections /
            worker_client->thread_count)
        close_any_connection(clients);
    client = lmn_http_client_new(address);
    g_hash_table_insert(clients, g_strdup(address), client);
    return client;
}

void *lmn_worker_client_thread(void *arg)
{
    const struct lmn_worker_client *worker_client = arg;
    GHashTable *clients = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct worker_call call = {.body = g_byte_array_new(), .answer = g_byte_array_new()};

    for (;;) {
        if (!wait_for_sendable_call(worker_client, &call))
            continue;
        struct lmn_http_client *client = client_for(worker_client, clients, call.address);
        int status = send_call(client, &call);
        lmn_debug("worker_push machine=%s probe=%d status=%d", call.machine,
                  call.is_probe, status);
        record_outcome(worker_client->core, &call, status);
        if (status < 0) {
            g_hash_table_remove(clients, call.address);
            lmn_http_client_free(client);
        }
    }
    return NULL;
}
