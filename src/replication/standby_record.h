/** @file
 * The record b/P in the key-value store, which names the standby that is in sync with the
 * owner of partition P. Only the owner writes the record; each write is conditional. The
 * caller holds the core's lock. */
#ifndef LMN_REPLICATION_STANDBY_RECORD_H
#define LMN_REPLICATION_STANDBY_RECORD_H

#include "state/core_state.h"

/** Returns a transaction that makes the record name the stream's standby, or no member.
 *
 * It is conditional on the revision of the owner's record, so that a former owner cannot
 * write b/P, and on the revision of b/P in the watch cache, so that a delayed write
 * cannot undo a later one.
 *
 * @param names_standby false: the record names no member
 * @return the transaction, which the caller frees */
struct lmn_txn *lmn_standby_record_write(const struct lmn_core *core,
                                         const struct lmn_partition *partition,
                                         bool names_standby);

/** Whether the record, as the watch cache shows it, names the partition's current stream.
 */
bool lmn_standby_record_names_stream(const struct lmn_partition *partition);

/** Adds the condition that the member is still in sync with the partition's last owner to
 * a transaction.
 *
 * @return the stream's id, for the owner's record o/P; 0 if the member is not in sync, in
 * which case no condition is added */
uint64_t lmn_standby_require_in_sync(const struct lmn_partition *partition,
                                     const char *member, struct lmn_txn *txn);

#endif
