/* Parts of limits that move, by conditional writes. The core's lock is held by the caller
 * throughout. */
#ifndef LMN_PARTITION_QUOTA_TRANSFER_H
#define LMN_PARTITION_QUOTA_TRANSFER_H

#include "scheduler/quota.h"

void lmn_quota_record_apply(struct lmn_core *core, const char *key,
                            const struct lmn_cbor_document *document,
                            const struct lmn_cbor_value *value, uint64_t revision);
/* Sets a transfer to another partition going, of no more than is free; false if there is
 * none. */
bool lmn_quota_transfer_begin(struct lmn_core *core, struct lmn_partition *partition,
                              int team, int to, double cpus, double gpus);
void lmn_quota_transfer_flush(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now);
void lmn_quota_transfer_reset(struct lmn_partition *partition);
/* Another partition is short of it: gives what can be spared, and keeps free what
 * it lacks for one task, until that can be given. */
bool lmn_quota_request_handle(struct lmn_core *core, struct lmn_partition *partition,
                              int to, const struct lmn_quota_request *request,
                              struct timespec now);

#endif
