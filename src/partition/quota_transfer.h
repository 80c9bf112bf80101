/** @file
 * Transfers of a team's quota share between partitions.
 *
 * A partition's share of a team's limit is transferred by the partition's owner only, and
 * only as far as the partition's tasks do not use it. The transfer is one write, which is
 * conditional on the ownership and on the team's record. The donor counts the amount as
 * given away from before the write is sent until the watch cache shows its outcome; the
 * recipient counts it only once the watch cache shows it. So the shares in use never add
 * up to more than the team's limit, whatever fails. The core's lock is held by the caller
 * throughout. */
#ifndef LMN_PARTITION_QUOTA_TRANSFER_H
#define LMN_PARTITION_QUOTA_TRANSFER_H

#include "scheduler/quota.h"

/** Applies a change of the record of a team's quota shares that the watch cache shows.
 * @param value NULL: the record was removed, which changes nothing here */
void lmn_quota_record_apply(struct lmn_core *core, const char *key,
                            const struct lmn_cbor_document *document,
                            const struct lmn_cbor_value *value, uint64_t revision);

/** Begins to transfer a part of the partition's share to another partition: the given
 * amounts, or the unused part of the share if that is less.
 * @return false: nothing is unused, or no transfer may begin now */
bool lmn_quota_transfer_begin(struct lmn_core *core, struct lmn_partition *partition,
                              int team, int to_partition, double cpus, double gpus);

/** Repeats the write of a transfer whose outcome is unknown, if that is due. */
void lmn_quota_transfer_retry(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now);

/** Discards the transfer in progress, after the partition was acquired or lost. */
void lmn_quota_transfer_reset(struct lmn_partition *partition);

/** Handles another partition's request for quota: transfers what can be spared and, if
 * what one task of the request needs is in use, reserves that until it can be
 * transferred.
 * @param to_partition the partition that made the request
 * @return whether a transfer was begun */
bool lmn_quota_request_handle(struct lmn_core *core, struct lmn_partition *partition,
                              int to_partition, const struct lmn_quota_request *request,
                              struct timespec now);

#endif
