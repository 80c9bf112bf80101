/** @file
 * The keys of the records that controllers keep in the key-value store.
 *
 * A key consists of a prefix for the record's kind and the name of the object. Running
 * clusters have stored the prefixes and the records' field names: they must not change.
 * PARTITION is a partition's number in decimal digits. Every write is conditional on the
 * revisions of the records that it was derived from. */
#ifndef LMN_STATE_RECORD_KEYS_H
#define LMN_STATE_RECORD_KEYS_H

/** JOB: a job's description, its phase, and its number of open ranges
 * (state/records.h). Written by the controller that accepts, cancels or finishes the job,
 * and never removed. */
#define LMN_KEY_JOB "j/"

/** PARTITION/JOB/FIRST: a range of a job's tasks, with its end and the set of tasks that
 * are done (state/records.h). Created by the controller that accepts the job; then
 * written by the partition's owner alone, which removes it when all its tasks are done.
 */
#define LMN_KEY_RANGE "r/"

/** PARTITION: which controller owns the partition, under which epoch. Tied to the owner's
 * lease, so the store removes it when that expires. Written by the controller that claims
 * the partition, or by the owner that transfers it. */
#define LMN_KEY_OWNER "o/"

/** PARTITION: the partition's epoch (its fencing token), which each claim raises. Never
 * removed, so that it outlives every owner. */
#define LMN_KEY_EPOCH "t/"

/** PARTITION: the standby that is in sync with the owner of the epoch that it names.
 * Written by the owner alone (replication/stream.h). */
#define LMN_KEY_STANDBY "b/"

/** PARTITION/BLOCK: machines that the partition may have started tasks on. Written by the
 * owner alone, before the first start on a machine (partition/machine_block.h). */
#define LMN_KEY_MACHINE_BLOCK "m/"

/** TEAM: the partitions' shares of the team's quota limit, once they are no longer equal.
 * Written by the owner that transfers a share (partition/quota_transfer.h). */
#define LMN_KEY_QUOTA "q/"

/** MEMBER: a running controller, and whether it is shutting down. Tied to that
 * controller's lease; written by that controller alone. */
#define LMN_KEY_MEMBER "n/"

/** MEMBER: a suspicion that the controller has failed. Written by the controller that
 * suspects it, and tied to that controller's lease. */
#define LMN_KEY_SUSPICION "u/"

/** The complete key of the operators' settings (config/operator_settings.h). */
#define LMN_KEY_OPERATOR_SETTINGS "s"

#endif
