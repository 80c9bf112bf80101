/** @file
 * Reads the cloud's machine types into the shared state. */
#ifndef LMN_PARTITION_MACHINE_TYPE_READER_H
#define LMN_PARTITION_MACHINE_TYPE_READER_H

#include "partition/cloud_client.h"
#include "state/core_state.h"

/** Reads the machine types, and adds or updates them in core->cloud; none is ever
 * removed. Takes the core's lock after the call to the cloud has returned.
 * @return false: the cloud did not answer, and nothing has changed */
bool lmn_machine_types_read(struct lmn_core *core, struct lmn_cloud_client *cloud);

#endif
