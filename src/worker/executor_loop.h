/** @file
 * The executor's process: its event loop (see worker/executor.h for what it is for). It
 * has one thread, and owns all of its state: no locks. */
#ifndef LMN_WORKER_EXECUTOR_LOOP_H
#define LMN_WORKER_EXECUTOR_LOOP_H

#include <glib.h>

/** Makes the calling process the executor of the machine in dir; exits when the agent is
 * gone and everything is ended, or if the machine has an executor already.
 * @param sock the socket to the agent */
G_NORETURN void lmn_executor_run(const char *dir, const char *mark, int sock);

#endif
