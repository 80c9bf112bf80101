/** @file
 * Decides on the commands in a heartbeat's reply for attempts that are or may be on the
 * machine already: clear, kill, kill with time to save a checkpoint, or repeat a start.
 * The scheduler decides on new starts (scheduler/queue.h). Commands that do not fit into
 * a message are left for the next one, and counted. The caller holds the core's lock for
 * all functions. */
#ifndef LMN_PARTITION_HEARTBEAT_REPLY_H
#define LMN_PARTITION_HEARTBEAT_REPLY_H

#include "partition/heartbeat_message.h"
#include "state/core_state.h"

/** Reconciles a machine's attempts with a conclusive heartbeat, which proves what is on
 * the machine: it was written under the owner's epoch, and no later message of the worker
 * was handled before it. Attempts that the heartbeat does not name are removed, unless a
 * pushed start for them may still arrive. Appends the resulting commands. Raises the
 * machine's fencing token for the reply if that has to clear attempts which were pushed
 * under the present one. */
void lmn_heartbeat_reconcile_tasks(struct lmn_core *core, struct lmn_machine *machine,
                                   const struct lmn_cbor_document *document,
                                   const struct lmn_heartbeat *heartbeat,
                                   struct lmn_command_list *commands,
                                   struct timespec now);

/** Appends kills for tasks of jobs that may not run any more, in the reply to a heartbeat
 * that is not conclusive (see lmn_heartbeat_reconcile_tasks). That reply renews the
 * worker's lease too. Without these kills a task of a job that was cancelled long before
 * a failover would run for another lease, and past cancel_s if no further message reached
 * the worker. */
void lmn_heartbeat_kill_cancelled_tasks(struct lmn_core *core,
                                        struct lmn_machine *machine,
                                        const struct lmn_cbor_document *document,
                                        const struct lmn_cbor_value *tasks,
                                        struct lmn_command_list *commands);

/** Whether the machine has LMN_MAX_MACHINE_ATTEMPTS attempts, and a push could clear some
 * of them: the next heartbeat may be seconds away, and until then nothing can start. */
bool lmn_machine_needs_pushed_clears(const struct lmn_machine *machine);

/** Appends clears for the attempts of such a machine that may be cleared, each in one
 * push only. If the push is lost, the reply to the next heartbeat repeats them. */
void lmn_heartbeat_push_clears(struct lmn_machine *machine,
                               struct lmn_command_list *commands);

/** Lets the scheduler start tasks on the machine, and appends the commands. Starts none
 * if the message might not hold all of them. */
void lmn_heartbeat_start_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               struct lmn_command_list *commands, struct timespec now);

/** Records that the last reply or push had no effect although the machine's heartbeats
 * arrive: the network may deliver messages from the machine but not to it. Without a
 * quarantine, the machine would be assigned new tasks with each heartbeat and run none of
 * them. Under quarantine a single task is tried at increasing intervals, until a
 * heartbeat shows that a command was carried out. The machine's queued tasks are
 * reassigned to other machines. */
void lmn_machine_record_ignored_command(struct lmn_core *core,
                                        struct lmn_machine *machine, struct timespec now);

#endif
