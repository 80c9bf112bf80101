/** @file
 * Starts a machine's executor, and kills all processes of a machine
 * (worker/executor.h). */
#include "worker/executor.h"
#include "util/process.h"
#include "worker/executor_loop.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Time-out for the exit of an earlier executor, and a second one of this length for the
 * end of its tasks. */
static const double END_TIMEOUT_S = 30;
/* Size of each socket's send buffer, which holds messages while the receiver is busy. */
enum { SEND_BUFFER_BYTES = 512 * 1024 };

char *lmn_executor_environment_mark(const char *dir)
{
    g_autofree char *path = g_canonicalize_filename(dir, NULL);

    return g_strdup_printf("LEMONSPAR_MACHINE_DIR=%s", path);
}

bool lmn_executor_kill_machine_processes(const char *dir, const char *mark,
                                         double seconds)
{
    g_autofree char *agent_lock = g_build_filename(dir, "agent.lock", NULL);
    g_autofree char *executor_lock = g_build_filename(dir, "keeper.lock", NULL);
    bool all_ended = true;

    if (lmn_lock_signal(agent_lock, SIGKILL))
        all_ended = lmn_lock_wait(agent_lock, seconds);
    /* Once the agent has exited, the executor kills the tasks and exits. */
    all_ended = lmn_lock_wait(executor_lock, seconds) && all_ended;
    all_ended = lmn_kill_all_with_environment_entry(mark, seconds) && all_ended;
    return all_ended;
}

/* Waits until an earlier executor has exited, then kills its remaining tasks: an executor
 * that was itself killed may leave some. Returns false if the executor or one of its
 * tasks is still alive after END_TIMEOUT_S. */
static bool end_earlier_executor(const char *dir, const char *mark)
{
    g_autofree char *lock = g_build_filename(dir, "keeper.lock", NULL);

    return lmn_lock_wait(lock, END_TIMEOUT_S) &&
           lmn_kill_all_with_environment_entry(mark, END_TIMEOUT_S);
}

/* Forks twice, so that the executor is not a child of the agent and the agent need not
 * reap it. Returns false and sets errno if the first fork fails. A failure of the
 * second fork is not reported. */
static bool fork_executor(const char *dir, const char *mark, int agent_sock,
                          int executor_sock)
{
    fflush(NULL); /* otherwise the child could write the buffered output again */
    pid_t pid = fork();
    if (pid < 0)
        return false;
    if (pid == 0) {
        if (fork() != 0)
            _exit(EXIT_SUCCESS);
        close(agent_sock);
        lmn_executor_run(dir, mark, executor_sock);
    }
    while (waitpid(pid, NULL, 0) < 0 && errno == EINTR)
        ;
    return true;
}

int lmn_executor_start(const char *dir, const char *mark, char *err, size_t len)
{
    int socks[2] = {-1, -1}, size = SEND_BUFFER_BYTES;

    if (!end_earlier_executor(dir, mark)) {
        snprintf(err, len,
                 "%s: processes of an earlier agent or executor are still alive after "
                 "waiting %g s",
                 dir, END_TIMEOUT_S);
        return -1;
    }
    if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, socks) != 0) {
        snprintf(err, len, "%s: can't create a socket pair for the executor: %s", dir,
                 strerror(errno));
        return -1;
    }
    for (int i = 0; i < 2; i++)
        setsockopt(socks[i], SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
    bool is_started = fork_executor(dir, mark, socks[0], socks[1]);
    int error = errno;
    close(socks[1]);
    if (is_started)
        return socks[0];
    snprintf(err, len, "%s: can't fork the executor: %s", dir, strerror(error));
    close(socks[0]);
    return -1;
}
