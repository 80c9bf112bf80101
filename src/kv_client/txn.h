/** @file
 * Compare-and-swap transactions for the key-value store: conditions on versions of keys,
 * and operations that are applied together if all conditions hold.
 *
 * Whoever creates a transaction owns it until it is passed to lmn_kv_client_submit
 * (kv_client/kv_client.h), which frees it after the callback was called. A transaction
 * has no lock: only one thread at a time may use it. */
#ifndef LMN_KV_CLIENT_TXN_H
#define LMN_KV_CLIENT_TXN_H

#include <glib.h>
#include <stdint.h>

/** The outcome of a transaction. */
enum lmn_txn_outcome {
    LMN_TXN_COMMITTED,
    LMN_TXN_CONFLICT, /**< a condition did not hold: nothing was applied */
    LMN_TXN_REJECTED, /**< not executed, and never will be */
    LMN_TXN_UNKNOWN,  /**< no valid response: it may have been executed, or may
                           still be */
};

/** Priorities of transactions, highest first. When the write budget (write_budget.h) is
 * nearly used up, transactions of a higher priority are sent first. */
enum lmn_write_priority {
    LMN_WRITE_OWNER,      /**< leases, members, owners, standbys and machines */
    LMN_WRITE_USER,       /**< a user's request waits for the outcome */
    LMN_WRITE_CLOSE,      /**< closing and moving of ranges, transfers of quota shares */
    LMN_WRITE_DEFERRABLE, /**< progress of ranges and removals of machines */
    LMN_WRITE_PRIORITIES
};

struct lmn_txn;

/** Called exactly once with a transaction's outcome, on a writer thread or on the thread
 * that calls lmn_txn_complete. The client's lock is not held.
 *
 * @param arg       the argument given to lmn_txn_new
 * @param txn       freed after the callback returns
 * @param revision  the store's; with LMN_TXN_COMMITTED the write's */
typedef void lmn_txn_callback(void *arg, struct lmn_txn *txn,
                              enum lmn_txn_outcome outcome, uint64_t revision);

/** Makes an empty transaction.
 *
 * @param done  called with the outcome; may be NULL */
struct lmn_txn *lmn_txn_new(enum lmn_write_priority priority, lmn_txn_callback *done,
                            void *arg);

/** Adds the condition that the key has the version; version 0: that it does not exist. */
void lmn_txn_require_version(struct lmn_txn *txn, const char *key, uint64_t version);

/** Adds the operation that sets the key.
 *
 * @param value  one CBOR item; the transaction takes over the caller's reference
 * @param lease  the lease with whose end the store deletes the key; 0: none */
void lmn_txn_put(struct lmn_txn *txn, const char *key, GByteArray *value, uint64_t lease);

/** Like lmn_txn_put without a lease, but inserts the operation before those added so far.
 */
void lmn_txn_put_first(struct lmn_txn *txn, const char *key, GByteArray *value);

/** Adds the operation that removes the key. */
void lmn_txn_delete(struct lmn_txn *txn, const char *key);

/** Frees a transaction without calling its callback. */
void lmn_txn_free(struct lmn_txn *txn);

/** Makes a copy with the same priority, callback, conditions and operations, which can be
 * submitted independently of the original. The values are shared by reference. */
struct lmn_txn *lmn_txn_copy(const struct lmn_txn *txn);

/** The number of operations in the transaction. */
guint lmn_txn_operation_count(const struct lmn_txn *txn);

/** Calls the function for each operation in order.
 *
 * @param visit  called with value NULL if the key is removed, and with lease 0 if the key
 *               has no lease */
void lmn_txn_foreach_operation(const struct lmn_txn *txn,
                               void (*visit)(void *arg, const char *key,
                                             const GByteArray *value, uint64_t lease),
                               void *arg);

/** Calls the function for each condition in order. */
void lmn_txn_foreach_condition(const struct lmn_txn *txn,
                               void (*visit)(void *arg, const char *key,
                                             uint64_t version),
                               void *arg);

/** Calls the transaction's callback with the outcome, then frees the transaction. */
void lmn_txn_complete(struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                      uint64_t revision);

#endif
