/** @file
 * The task executor: a small process beside the agent that is the parent of all tasks and
 * reports their ends.
 *
 * The executor kills all tasks when the agent has exited, or when the lease that the
 * agent last announced has expired (by CLOCK_BOOTTIME, which keeps running while the
 * machine is suspended). If the agent has exited, the executor then exits, too.
 *
 * The executor is a subreaper: every process that a task starts stays its descendant,
 * also in a session or process group of its own, so that the executor finds and kills it.
 * Only if the executor itself is killed may processes survive it. They carry a mark in
 * their environment, by which the next call of lmn_executor_start() finds and kills them.
 *
 * This is the agent's side; the process itself is in worker/executor_loop.h, the messages
 * between the two are in worker/executor_message.h. */
#ifndef LMN_WORKER_EXECUTOR_H
#define LMN_WORKER_EXECUTOR_H

#include "worker/executor_message.h"

#include <stdbool.h>
#include <stddef.h>

/** Starts an executor for the machine whose files are in `dir`, after waiting for the end
 * of an earlier executor and killing the tasks that it may have left. It forks, so it
 * must be called before any thread is started.
 * @param mark the variable that all tasks carry in their environment, "NAME=value"
 * @return the socket to the executor, or -1 with the reason in `err` */
int lmn_executor_start(const char *dir, const char *mark, char *err, size_t len);

/** Kills the agent, the executor and the tasks of the machine whose files are in `dir`.
 * @param seconds the time to wait for the end of each of the three
 * @return false if one of these processes is still alive */
bool lmn_executor_kill_machine_processes(const char *dir, const char *mark,
                                         double seconds);

/** Returns the variable, "NAME=value", that marks the tasks of the machine whose files
 * are in `dir`. The caller frees it with g_free(). */
char *lmn_executor_environment_mark(const char *dir);

#endif
