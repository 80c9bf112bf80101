/* The state service's client: batching writers, and blocking calls for the other threads.
 * Batches may be carried out in another order than they were submitted in, as any that is
 * late may: each transaction is conditional on what it was derived from. */
#ifndef LMN_KV_CLIENT_KV_CLIENT_H
#define LMN_KV_CLIENT_KV_CLIENT_H

#include "protocol/cbor.h"
#include "http/client.h"
#include "util/latency.h"
#include "config/settings.h"

enum lmn_txn_outcome {
    LMN_TXN_COMMITTED,
    LMN_TXN_CONFLICT, /* a condition did not hold: nothing was applied */
    LMN_TXN_REJECTED, /* not executed */
    LMN_TXN_UNKNOWN,  /* no answer: it may have been, or may yet be, executed */
};

/* In the order in which they go out when the budget is short. */
enum lmn_write_priority {
    LMN_WRITE_OWNER,
    LMN_WRITE_USER,
    LMN_WRITE_CLOSE,
    LMN_WRITE_DEFERRABLE,
    LMN_WRITE_PRIORITIES
};

struct lmn_txn;
struct lmn_kv_client;
typedef void lmn_txn_callback(void *arg, struct lmn_txn *t, enum lmn_txn_outcome outcome,
                              uint64_t revision);

struct lmn_kv_client *lmn_kv_client_new(const struct lmn_settings *settings);
/* Of one whose threads were never started; what was not sent counts as refused, so
 * whoever hears of that must still be there. */
void lmn_kv_client_free(struct lmn_kv_client *client);
/* Starts the writers' threads. */
void lmn_kv_client_start(struct lmn_kv_client *client);

/* A transaction: conditions, changes, and who hears of its outcome (once, on a writer's
 * thread, no lock held). */
struct lmn_txn *lmn_txn_new(enum lmn_write_priority priority, lmn_txn_callback *done,
                            void *arg);
void lmn_txn_require_version(struct lmn_txn *txn, const char *key, uint64_t version);
/* Takes the value over. A lease of 0: none. */
void lmn_txn_put(struct lmn_txn *txn, const char *key, GByteArray *value, uint64_t lease);
/* As lmn_txn_put without a lease, ahead of the changes so far. */
void lmn_txn_put_first(struct lmn_txn *txn, const char *key, GByteArray *value);
void lmn_txn_delete(struct lmn_txn *txn, const char *key);
void lmn_txn_free(struct lmn_txn *txn);
/* The same transaction once more, to be sent beside or after it. */
struct lmn_txn *lmn_txn_copy(const struct lmn_txn *txn);
guint lmn_txn_operation_count(const struct lmn_txn *txn);
/* Calls f for each change: value NULL is a removal; lease: what the key hangs on, 0 if
 * nothing. */
void lmn_txn_foreach_operation(const struct lmn_txn *txn,
                               void (*f)(void *arg, const char *key,
                                         const GByteArray *value, uint64_t lease),
                               void *arg);

void lmn_txn_foreach_condition(const struct lmn_txn *txn,
                               void (*f)(void *arg, const char *key, uint64_t version),
                               void *arg);
/* Without the writers' threads (in tests): takes the next transaction off the queues,
 * NULL if there is none, and tells its outcome. */
struct lmn_txn *lmn_kv_client_dequeue(struct lmn_kv_client *client);
void lmn_txn_complete(struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                      uint64_t revision);

void lmn_kv_client_submit(struct lmn_kv_client *client, struct lmn_txn *txn);
/* Seconds that a new transaction of this rank would wait for its turn. */
double lmn_kv_client_backlog_s(struct lmn_kv_client *client,
                               enum lmn_write_priority priority);
/* How many changes that can wait may be submitted now, so that they go out at once. */
double lmn_kv_client_spare_writes(struct lmn_kv_client *client);
/* Copies the times that transactions took into *writing, which was set up; returns how
 * many changes wait. */
double lmn_kv_client_statistics(struct lmn_kv_client *client,
                                struct lmn_latency *writing);
/* Waits for leave to send one more request. */
void lmn_kv_client_wait_for_token(struct lmn_kv_client *client);
/* Sends a transaction now, on the calling thread, outside the batches. */
enum lmn_txn_outcome lmn_kv_client_commit(struct lmn_kv_client *s,
                                          struct lmn_http_client *h, struct lmn_txn *txn,
                                          uint64_t *revision, GPtrArray *conflicts);

#endif
