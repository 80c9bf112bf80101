/** @file
 * Which commands the reply to a heartbeat carries for attempts that are, or may be, on
 * the machine already: clear, kill, save and stop, or start once more. New starts are the
 * scheduler's (scheduler/queue.h). The core's lock is held by the caller throughout. */
#ifndef LMN_PARTITION_HEARTBEAT_REPLY_H
#define LMN_PARTITION_HEARTBEAT_REPLY_H

#include "partition/heartbeat_message.h"
#include "state/core_state.h"

/** Settles all attempts of a machine by a heartbeat that tells what is there for good:
 * one that was written under the owner's epoch and was not overtaken. Attempts that it
 * does not name are gone, unless a pushed start of theirs may still arrive. Adds the
 * commands that follow. */
void lmn_heartbeat_reconcile_tasks(struct lmn_core *core, struct lmn_machine *machine,
                                   const struct lmn_cbor_document *document,
                                   const struct lmn_cbor_value *tasks,
                                   struct lmn_command_list *commands,
                                   struct timespec now);

/** Adds kills for tasks of jobs that may not run any more, for a reply that cannot settle
 * what is on the machine: the heartbeat is from before the owner's epoch, or it was
 * overtaken. Such a reply renews the worker's lease all the same. Without these kills a
 * task of a job that was cancelled long before a failover would get another lease, and
 * would outlive cancel_s if the worker heard nothing more. */
void lmn_heartbeat_kill_cancelled_tasks(struct lmn_core *core,
                                        struct lmn_machine *machine,
                                        const struct lmn_cbor_document *document,
                                        const struct lmn_cbor_value *tasks,
                                        struct lmn_command_list *commands);

/** Records that the last reply or push had no effect, although the machine's heartbeats
 * arrive: the way from it may be open while the way to it is not. Such a machine would
 * take new tasks with each heartbeat and run none of them. It is quarantined, so that
 * only one task is tried, at longer and longer intervals, until one command is seen to
 * have had an effect; its queued tasks go to other machines. */
void lmn_machine_record_ignored_command(struct lmn_core *core,
                                        struct lmn_machine *machine, struct timespec now);

#endif
