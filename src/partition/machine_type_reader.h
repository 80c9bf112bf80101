/** @file
 * Updates the machine types in core->cloud from the cloud's API. */
#ifndef LMN_PARTITION_MACHINE_TYPE_READER_H
#define LMN_PARTITION_MACHINE_TYPE_READER_H

#include "partition/cloud_client.h"
#include "state/core_state.h"

/** Requests the machine types from the cloud, and adds or updates them in core->cloud. No
 * type is ever removed. Acquires the core's lock after the request has completed.
 * @return false if the request failed; core->cloud is unchanged then */
bool lmn_machine_types_read(struct lmn_core *core, struct lmn_cloud_client *cloud);

#endif
