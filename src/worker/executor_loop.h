/** @file
 * The event loop of the executor's process (worker/executor.h describes its purpose). The
 * process has one thread, which owns all state; there are no locks. */
#ifndef LMN_WORKER_EXECUTOR_LOOP_H
#define LMN_WORKER_EXECUTOR_LOOP_H

#include <glib.h>

/** Makes the calling process the executor of the machine whose files are in `dir`. It
 * exits when the agent is gone and all tasks are killed, or if the machine already has an
 * executor.
 * @param mark the variable that is added to the environment of all tasks, "NAME=value"
 * @param sock the socket to the agent */
G_NORETURN void lmn_executor_run(const char *dir, const char *mark, int sock);

#endif
