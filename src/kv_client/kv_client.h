/** @file
 * The client of the consensus-backed key-value store: writer threads that send submitted
 * transactions in batches, and blocking calls for other threads.
 *
 * It paces itself to this controller's share of the store's limits. Batches may be
 * carried out in another order than their transactions were submitted in, as may any that
 * is delayed: so each transaction has to be conditional on what it was derived from.
 *
 * All functions but lmn_kv_client_free may be called from any thread. The client has a
 * lock of its own, which is never held during a request or a callback; callers may hold
 * the core's lock wherever a function does not block. */
#ifndef LMN_KV_CLIENT_KV_CLIENT_H
#define LMN_KV_CLIENT_KV_CLIENT_H

#include "config/settings.h"
#include "http/client.h"
#include "kv_client/txn.h"
#include "protocol/cbor.h"
#include "util/latency.h"

struct lmn_kv_client;

/** Makes a client without threads.
 *
 * @param settings  must outlive it */
struct lmn_kv_client *lmn_kv_client_new(const struct lmn_settings *settings);

/** Frees a client whose threads were never started. Transactions that are still queued
 * complete as LMN_TXN_REJECTED, so what their callbacks use must still exist. */
void lmn_kv_client_free(struct lmn_kv_client *client);

/** Starts the writer threads, which never end. */
void lmn_kv_client_start(struct lmn_kv_client *client);

/** Queues a transaction, which the client takes over: a writer thread sends it, tells its
 * outcome and frees it. Does not block. */
void lmn_kv_client_submit(struct lmn_kv_client *client, struct lmn_txn *txn);

/** Sends a transaction at once on the calling thread, outside the queues and the budget
 * for writes. Blocks. The transaction stays the caller's, and its callback is not called.
 *
 * @param http_client  the calling thread's own
 * @param revision     the store's; set if the outcome is LMN_TXN_COMMITTED or
 *                     LMN_TXN_CONFLICT
 * @param conflicts    as lmn_txn_decode_response's: keys whose condition did not hold are
 *                     added; may be NULL */
enum lmn_txn_outcome lmn_kv_client_commit(struct lmn_kv_client *client,
                                          struct lmn_http_client *http_client,
                                          struct lmn_txn *txn, uint64_t *revision,
                                          GPtrArray *conflicts);

/** Waits until one more request may be sent within the limit of requests. Blocks. */
void lmn_kv_client_wait_for_token(struct lmn_kv_client *client);

/** Seconds that a new transaction of this priority would wait for its turn. */
double lmn_kv_client_backlog_s(struct lmn_kv_client *client,
                               enum lmn_write_priority priority);

/** How many deferrable operations may be submitted now, so that they are sent at once. */
double lmn_kv_client_spare_writes(struct lmn_kv_client *client);

/** Copies the histogram of the time from a batch's sending to its answer (seconds) into
 * *latency, which was set up; returns how many operations are queued. */
double lmn_kv_client_statistics(struct lmn_kv_client *client,
                                struct lmn_latency *latency);

/** Without writer threads (in tests): takes the next transaction that may be sent off the
 * queues; NULL: there is none. It is the caller's, who completes it with
 * lmn_txn_complete. */
struct lmn_txn *lmn_kv_client_dequeue(struct lmn_kv_client *client);

#endif
