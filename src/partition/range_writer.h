/* What an owner writes of its ranges. The core's lock is held by the caller throughout.
 */
#ifndef LMN_PARTITION_RANGE_WRITER_H
#define LMN_PARTITION_RANGE_WRITER_H

#include "state/core_state.h"

/* Writes done sets and closes ranges that are due; the lock is held. */
void lmn_range_writer_flush(struct lmn_core *core, struct timespec now);

#endif
