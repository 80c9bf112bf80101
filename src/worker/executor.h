/** @file
 * The task executor: a small process beside the agent that is the parent of all tasks and
 * reports their ends.
 *
 * If the agent is gone, or the lease that the agent last announced has expired (by the
 * clock that goes on in sleep), it kills everything and, without an agent, exits.
 * Whatever a task starts stays below the executor (it is a subreaper), so that it finds
 * all of it, whatever sessions or process groups were made. Only if the executor itself
 * is killed are there processes without one: those carry a mark in their environment, by
 * which the next call of lmn_executor_start() finds them.
 *
 * This is the agent's side; the process itself is worker/executor_loop.h. What they say
 * to each other is worker/executor_message.h. */
#ifndef LMN_WORKER_EXECUTOR_H
#define LMN_WORKER_EXECUTOR_H

#include "worker/executor_message.h"

#include <stdbool.h>
#include <stddef.h>

/** Starts an executor for the machine whose files lie in dir, after ending all that an
 * earlier one may have left. It forks: to be called before any thread is started.
 * @param mark what the tasks carry in their environment, "NAME=value"
 * @return the socket, or -1 with err */
int lmn_executor_start(const char *dir, const char *mark, char *err, size_t len);

/** Ends whatever still runs of the machine in dir: agent, executor, tasks.
 * @param seconds to wait for the end of each of the three
 * @return false if something is still alive */
bool lmn_executor_kill_machine_processes(const char *dir, const char *mark,
                                         double seconds);

/** The mark of the machine in dir. The caller frees it by g_free(). */
char *lmn_executor_environment_mark(const char *dir);

#endif
