/** @file
 * Applies the task list of a heartbeat, or of the response to a push or a probe.
 *
 * Updates the machine's attempts and the states of their tasks. heartbeat_reply.h decides
 * on the commands that follow. The caller holds the core's lock. */
#ifndef LMN_PARTITION_HEARTBEAT_TASKS_H
#define LMN_PARTITION_HEARTBEAT_TASKS_H

#include "partition/heartbeat_message.h"
#include "state/core_state.h"

/** Applies each entry of the task list. Sets in_last_heartbeat for the machine's attempts
 * that are in the list, and clears it for all others. The other attempts are kept: only
 * the caller knows whether absence from the list proves that an attempt is not on the
 * machine. */
void lmn_heartbeat_apply_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *tasks, struct timespec now);

#endif
