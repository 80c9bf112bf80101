/** @file
 * The replication threads. Each thread owns its connections. All other state belongs to
 * the core and is guarded by its lock, which is not held during I/O: a batch belongs to
 * its stream, and nothing modifies it while it is being sent. */
#include "controller/replication_thread.h"
#include "controller/deferred_responses.h"
#include "controller/replication_message.h"
#include "controller/rpc_client.h"
#include "replication/stream.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/thread.h"
#include "replication/batch.h"
#include "replication/replica.h"

#include <rpc/rpc.h>

/** Timeout of a connection attempt, and of a batch's acknowledgement. */
static const double CALL_TIMEOUT_S = 0.25;
/** Delay after a failed attempt, so that a short interruption does not count as several
 * failures. */
static const double RETRY_DELAY_S = 0.03;
static const double US_PER_S = 1e6;

u_int lmn_replication_receive(struct lmn_core *core,
                              const lmn_rpc_replication_batch *message)
{
    struct lmn_replication_batch *batch = lmn_replication_message_decode(message);

    pthread_mutex_lock(&core->lock);
    enum lmn_replica_result result = lmn_replica_apply(core, batch, lmn_now());
    pthread_mutex_unlock(&core->lock);
    lmn_replication_batch_free(batch);
    return result;
}

/** The state of a replication thread. */
struct replicator {
    struct lmn_core *core;
    struct lmn_partition *partition;
    struct lmn_http_client *http_client; /**< for the key-value store */
    CLIENT *standby_client;              /**< NULL: not connected */
    int standby_index;                   /**< member index of the connected standby */
};

static void disconnect(struct replicator *replicator)
{
    clnt_destroy(replicator->standby_client);
    replicator->standby_client = NULL;
}

/** Connects to the standby, unless there is a connection to it already. */
static void connect_to_standby(struct replicator *replicator, int standby_index)
{
    const struct lmn_core *core = replicator->core;

    if (replicator->standby_client && replicator->standby_index != standby_index)
        disconnect(replicator);
    replicator->standby_index = standby_index;
    if (!replicator->standby_client)
        replicator->standby_client = lmn_rpc_connect_to_member(
            core->settings, lmn_member_name(&core->members, standby_index),
            CALL_TIMEOUT_S);
}

/** @return false if the standby cannot be reached or does not answer */
static bool send_batch(struct replicator *replicator, int standby_index,
                       const struct lmn_replication_batch *batch, u_int *result)
{
    const struct timeval timeout = {0, (suseconds_t)(US_PER_S * CALL_TIMEOUT_S)};
    lmn_rpc_machine machines[LMN_REPLICATION_BATCH_MACHINES] = {0};

    connect_to_standby(replicator, standby_index);
    if (!replicator->standby_client)
        return false;
    lmn_rpc_replication_batch message = lmn_replication_message_encode(batch, machines);
    bool is_answered =
        clnt_call(replicator->standby_client, LMN_RPC_REPLICATE,
                  (xdrproc_t)xdr_lmn_rpc_replication_batch, (char *)&message,
                  (xdrproc_t)xdr_u_int, (char *)result, timeout) == RPC_SUCCESS;
    lmn_replication_message_clear(&message);
    if (!is_answered)
        disconnect(replicator);
    return is_answered;
}

/** Sends a batch and records the result. Called without the core's lock held; returns
 * with it held. */
static void replicate_batch(struct replicator *replicator, int standby_index,
                            struct lmn_replication_batch *batch)
{
    struct lmn_core *core = replicator->core;
    u_int result = LMN_REPLICA_UNKNOWN_STREAM;
    bool is_answered = send_batch(replicator, standby_index, batch, &result);

    if (!is_answered)
        lmn_sleep(RETRY_DELAY_S);
    pthread_mutex_lock(&core->lock);
    lmn_replication_batch_sent(core, replicator->partition, batch, is_answered,
                               (enum lmn_replica_result)result, lmn_now());
}

/** Commits a change of the partition's standby to its record. The outcome needs no
 * handling: this controller learns of the change from its watch cache. */
static void write_record(const struct replicator *replicator, struct lmn_txn *txn)
{
    uint64_t revision;
    enum lmn_txn_outcome outcome = lmn_kv_client_commit(
        replicator->core->kv_client, replicator->http_client, txn, &revision, NULL);

    lmn_debug("replica_record_written partition=%d outcome=%d", replicator->partition->id,
              outcome);
    lmn_txn_free(txn);
}

/** Runs the partition's next replication step, or waits until one is due. Called and
 * returns with the core's lock held, which is released in between. */
static void run_step(struct replicator *replicator)
{
    struct lmn_core *core = replicator->core;
    struct lmn_partition *partition = replicator->partition;
    struct lmn_replication_batch *batch = NULL;
    struct lmn_txn *txn = NULL;
    GQueue settled = G_QUEUE_INIT;
    double wait_s;
    enum lmn_replication_step step =
        lmn_replication_next_step(core, partition, lmn_now(), &batch, &txn, &wait_s);
    int standby_index = partition->replication.stream.standby_index;

    lmn_deferred_responses_settle(core, partition, &settled, lmn_now());
    if (step == LMN_REPLICATION_WAIT && g_queue_is_empty(&settled)) {
        lmn_cond_wait_for(&partition->replication.due, &core->lock, wait_s);
        return;
    }
    pthread_mutex_unlock(&core->lock);
    lmn_deferred_responses_send(&settled);
    if (step == LMN_REPLICATION_SEND) {
        replicate_batch(replicator, standby_index, batch);
        return;
    }
    if (step == LMN_REPLICATION_WRITE)
        write_record(replicator, txn);
    pthread_mutex_lock(&core->lock);
}

static void *replication_thread(void *arg)
{
    struct replicator *replicator = arg;

    replicator->http_client =
        lmn_http_client_new(replicator->core->settings->state_address);
    pthread_mutex_lock(&replicator->core->lock);
    for (;;)
        run_step(replicator);
    return NULL;
}

void lmn_replication_start(struct lmn_core *core)
{
    for (int i = 0; i < core->partition_count; i++) {
        struct replicator *replicator = g_new0(struct replicator, 1);
        replicator->core = core;
        replicator->partition = &core->partitions[i];
        lmn_thread_start_detached(replication_thread, replicator);
    }
}
