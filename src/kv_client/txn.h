/** @file
 * Compare-and-swap transactions for the key-value store: conditions on versions of keys,
 * and operations that are applied together if all conditions hold.
 *
 * A transaction belongs to whoever made it until it is handed to
 * lmn_kv_client_submit(kv_client/kv_client.h), which frees it once its outcome was told.
 * It has no lock: one thread at a time uses it. */
#ifndef LMN_KV_CLIENT_TXN_H
#define LMN_KV_CLIENT_TXN_H

#include <glib.h>
#include <stdint.h>

/** What became of a transaction. */
enum lmn_txn_outcome {
    LMN_TXN_COMMITTED,
    LMN_TXN_CONFLICT, /**< a condition did not hold: nothing was applied */
    LMN_TXN_REJECTED, /**< it was not executed, and will not be */
    LMN_TXN_UNKNOWN,  /**< no answer: it may have been, or may yet be, executed */
};

/** Priorities of transactions, in the order in which they are sent when the budget for
 * writes is short. */
enum lmn_write_priority {
    LMN_WRITE_OWNER,      /**< leases, members, owners, standbys and machines */
    LMN_WRITE_USER,       /**< a user waits for the response */
    LMN_WRITE_CLOSE,      /**< closes or moves ranges, transfers quota shares */
    LMN_WRITE_DEFERRABLE, /**< progress of ranges and removals of machines, which can wait
                           */
    LMN_WRITE_PRIORITIES
};

struct lmn_txn;

/** Called with a transaction's outcome, exactly once. It runs on a writer thread (or on
 * that of lmn_txn_complete's caller) and no lock of the client is held.
 *
 * @param arg       as given to lmn_txn_new
 * @param txn       freed after the call
 * @param revision  of the store; with LMN_TXN_COMMITTED: of the write */
typedef void lmn_txn_callback(void *arg, struct lmn_txn *txn,
                              enum lmn_txn_outcome outcome, uint64_t revision);

/** Makes an empty transaction.
 *
 * @param done  may be NULL: nobody is told the outcome */
struct lmn_txn *lmn_txn_new(enum lmn_write_priority priority, lmn_txn_callback *done,
                            void *arg);

/** Adds the condition that the key is at the version; 0: that it does not exist. */
void lmn_txn_require_version(struct lmn_txn *txn, const char *key, uint64_t version);

/** Adds the operation that sets the key.
 *
 * @param value  one CBOR item; the transaction takes the reference over
 * @param lease  that the key is tied to; 0: none */
void lmn_txn_put(struct lmn_txn *txn, const char *key, GByteArray *value, uint64_t lease);

/** As lmn_txn_put without a lease, but ahead of the operations so far. */
void lmn_txn_put_first(struct lmn_txn *txn, const char *key, GByteArray *value);

/** Adds the operation that removes the key. */
void lmn_txn_delete(struct lmn_txn *txn, const char *key);

/** Frees a transaction without telling anybody. */
void lmn_txn_free(struct lmn_txn *txn);

/** Makes the same transaction once more, to be sent beside or after it. Values are
 * shared. */
struct lmn_txn *lmn_txn_copy(const struct lmn_txn *txn);

/** How many operations it has. */
guint lmn_txn_operation_count(const struct lmn_txn *txn);

/** Calls the function for each operation in order.
 *
 * @param visit  value NULL: the key is removed; lease 0: the key is tied to none */
void lmn_txn_foreach_operation(const struct lmn_txn *txn,
                               void (*visit)(void *arg, const char *key,
                                             const GByteArray *value, uint64_t lease),
                               void *arg);

/** Calls the function for each condition in order. */
void lmn_txn_foreach_condition(const struct lmn_txn *txn,
                               void (*visit)(void *arg, const char *key,
                                             uint64_t version),
                               void *arg);

/** Tells the outcome and frees the transaction. */
void lmn_txn_complete(struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                      uint64_t revision);

#endif
