/** @file
 * The record b/P of the key-value store, which names the standby that is in sync with the
 * owner of partition P. Only the owner writes it; each write is conditional. The caller
 * holds the core's lock. */
#ifndef LMN_REPLICATION_STANDBY_RECORD_H
#define LMN_REPLICATION_STANDBY_RECORD_H

#include "state/core_state.h"

/** A transaction that makes the record name the stream's standby, or nobody.
 *
 * It is conditional on the ownership, so that a former owner can't write the record, and
 * on the record as the watch cache shows it, so that a delayed write can't undo a later
 * one.
 *
 * @param names_standby false: the record names nobody
 * @return the caller's to free */
struct lmn_txn *lmn_standby_record_write(const struct lmn_core *core,
                                         const struct lmn_partition *partition,
                                         bool names_standby);

/** Whether the record names the partition's current stream, as the watch cache shows it.
 */
bool lmn_standby_record_names_stream(const struct lmn_partition *partition);

/** Adds to a transaction the condition that a member stays in sync with the partition's
 * last owner.
 *
 * @return the stream's id, which is written into the owner's record o/P; 0 if the member
 * is not in sync, then no condition was added */
uint64_t lmn_standby_require_in_sync(const struct lmn_partition *partition,
                                     const char *member, struct lmn_txn *txn);

#endif
