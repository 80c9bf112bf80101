/** @file
 * The provisioner: a thread that returns drained machines of this controller's partitions
 * to the cloud and, on the owner of partition 0, keeps the cloud's machine list and rents
 * machines as the autoscaler decides. */
#ifndef LMN_PARTITION_PROVISIONER_H
#define LMN_PARTITION_PROVISIONER_H

/** Runs the provisioner for ever. Takes the core's lock whenever it reads or changes the
 * shared state, and makes its calls to the cloud without it.
 * @param core struct lmn_core */
void *lmn_provisioner_thread(void *core);

#endif
