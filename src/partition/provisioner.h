/** @file
 * The provisioner: a thread that returns drained machines of this controller's partitions
 * to the cloud and, on the owner of partition 0, reads the cloud's machine list and rents
 * the machines that the autoscaler asks for. */
#ifndef LMN_PARTITION_PROVISIONER_H
#define LMN_PARTITION_PROVISIONER_H

/** Runs the provisioner; never returns. Takes the core's lock whenever it reads or
 * changes the shared state, and makes its requests to the cloud without it.
 * @param core the struct lmn_core */
void *lmn_provisioner_thread(void *core);

#endif
