/** @file
 * Quota shares of teams on their way between partitions.
 *
 * Only the owner of a partition transfers a share of it, by one write that is conditional
 * on its ownership and on the team's record, and only of what its tasks do not use. A
 * share counts as transferred from before the write goes out until the watch cache shows
 * what became of it; a received share counts only once the watch cache shows it. So the
 * shares in use never add up to more than the limit, whatever fails. The core's lock is
 * held by the caller throughout. */
#ifndef LMN_PARTITION_QUOTA_TRANSFER_H
#define LMN_PARTITION_QUOTA_TRANSFER_H

#include "scheduler/quota.h"

/** Applies the record of a team's quota shares as the watch cache shows it; value NULL:
 * it was removed, which changes nothing. */
void lmn_quota_record_apply(struct lmn_core *core, const char *key,
                            const struct lmn_cbor_document *document,
                            const struct lmn_cbor_value *value, uint64_t revision);

/** Begins a transfer to another partition, of no more than is unused.
 * @return false: there is nothing to transfer, or it is not possible now */
bool lmn_quota_transfer_begin(struct lmn_core *core, struct lmn_partition *partition,
                              int team, int to, double cpus, double gpus);

/** Repeats the write of a transfer whose outcome is unknown, when it is due. */
void lmn_quota_transfer_retry(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now);

/** Forgets a transfer: the partition was acquired or lost. */
void lmn_quota_transfer_reset(struct lmn_partition *partition);

/** Handles another partition's request for quota: transfers what can be spared, and
 * reserves what the request lacks for one task until that can be transferred. */
bool lmn_quota_request_handle(struct lmn_core *core, struct lmn_partition *partition,
                              int to, const struct lmn_quota_request *request,
                              struct timespec now);

#endif
