/** @file
 * The client of the consensus-backed key-value store: writer threads that send submitted
 * transactions in batches, and blocking calls for other threads.
 *
 * The client limits its rate of requests and writes to this controller's equal share of
 * the store's limits. Transactions may be executed in another order than they were
 * submitted in, since several batches are in flight at once and some are sent again. Each
 * transaction therefore needs conditions on the versions of the keys that it was derived
 * from.
 *
 * All functions but lmn_kv_client_free may be called from any thread. The client's own
 * lock is never held during a request or a callback. A caller may hold the core's lock
 * during any function that is not marked "Blocks". */
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
 * @param settings  must outlive the client */
struct lmn_kv_client *lmn_kv_client_new(const struct lmn_settings *settings);

/** Frees a client whose threads were never started. Transactions that are still queued
 * complete as LMN_TXN_REJECTED, so the data that their callbacks use must still exist. */
void lmn_kv_client_free(struct lmn_kv_client *client);

/** Starts the writer threads, which never end. */
void lmn_kv_client_start(struct lmn_kv_client *client);

/** Queues a transaction and takes ownership of it: a writer thread sends it, calls its
 * callback with the outcome and frees it. Does not block. */
void lmn_kv_client_submit(struct lmn_kv_client *client, struct lmn_txn *txn);

/** Sends a transaction at once on the calling thread, outside the queues and the budget
 * for writes. Blocks. The caller keeps ownership of the transaction, whose callback is
 * not called.
 *
 * @param http_client  used by the calling thread only
 * @param revision     set to the store's revision if the outcome is LMN_TXN_COMMITTED or
 *                     LMN_TXN_CONFLICT
 * @param conflicts    keys whose condition did not hold are added to it (char *, which it
 *                     must free); may be NULL */
enum lmn_txn_outcome lmn_kv_client_commit(struct lmn_kv_client *client,
                                          struct lmn_http_client *http_client,
                                          struct lmn_txn *txn, uint64_t *revision,
                                          GPtrArray *conflicts);

/** Waits until one more request may be sent within this controller's share of the store's
 * limit of requests per second, and charges the request to that share. Blocks. */
void lmn_kv_client_wait_for_token(struct lmn_kv_client *client);

/** How many seconds a new transaction of this priority would wait in the queue before the
 * write budget lets it be sent. */
double lmn_kv_client_backlog_s(struct lmn_kv_client *client,
                               enum lmn_write_priority priority);

/** How many operations of LMN_WRITE_DEFERRABLE can be submitted now and still be sent
 * without waiting for the write budget. */
double lmn_kv_client_spare_writes(struct lmn_kv_client *client);

/** Copies the histogram of the seconds from sending a batch to its response.
 *
 * @param latency  initialized by the caller; overwritten
 * @return how many operations are queued */
double lmn_kv_client_statistics(struct lmn_kv_client *client,
                                struct lmn_latency *latency);

/** For tests, which start no writer threads: removes the next transaction that the write
 * budget lets be sent from the queues. The caller owns it and must pass it to
 * lmn_txn_complete.
 *
 * @return NULL if no transaction may be sent now */
struct lmn_txn *lmn_kv_client_dequeue(struct lmn_kv_client *client);

#endif
