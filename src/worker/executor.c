/** @file
 * Starts and ends a machine's executor, on the agent's side (worker/executor.h). */
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

/* How long the end of an earlier executor, and of its tasks, is waited for. */
static const double CLEAR_TIMEOUT_S = 30;
/* Of the socket pair: room for messages while the other side is busy. */
enum { SEND_BUFFER_BYTES = 512 * 1024 };

char *lmn_executor_mark(const char *dir)
{
    g_autofree char *path = g_canonicalize_filename(dir, NULL);

    return g_strdup_printf("LEMONSPAR_MACHINE_DIR=%s", path);
}

bool lmn_executor_clear(const char *dir, const char *mark, double seconds)
{
    g_autofree char *agent_lock = g_build_filename(dir, "agent.lock", NULL);
    g_autofree char *executor_lock = g_build_filename(dir, "keeper.lock", NULL);
    bool is_clear = true;

    if (lmn_lock_signal(agent_lock, SIGKILL))
        is_clear = lmn_lock_wait(agent_lock, seconds);
    /* The executor sees the agent's end, and ends the tasks. */
    is_clear = lmn_lock_wait(executor_lock, seconds) && is_clear;
    is_clear = lmn_kill_all_with_environment_entry(mark, seconds) && is_clear;
    return is_clear;
}

/* Waits for the end of an earlier executor, then kills the tasks of one that was killed;
 * false if something is still alive. */
static bool end_earlier_executor(const char *dir, const char *mark)
{
    g_autofree char *lock = g_build_filename(dir, "keeper.lock", NULL);

    return lmn_lock_wait(lock, CLEAR_TIMEOUT_S) &&
           lmn_kill_all_with_environment_entry(mark, CLEAR_TIMEOUT_S);
}

/* Forks the executor as nobody's child: the agent's end must not take it along, and the
 * agent need not reap it. Returns false with errno. */
static bool fork_executor(const char *dir, const char *mark, int agent_sock,
                          int executor_sock)
{
    fflush(NULL); /* or the child could write what is buffered a second time */
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
        snprintf(err, len, "%s: processes of an earlier session can't be ended", dir);
        return -1;
    }
    if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, socks) != 0) {
        snprintf(err, len, "%s: no socket pair: %s", dir, strerror(errno));
        return -1;
    }
    for (int i = 0; i < 2; i++)
        setsockopt(socks[i], SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
    bool is_started = fork_executor(dir, mark, socks[0], socks[1]);
    int error = errno;
    close(socks[1]);
    if (is_started)
        return socks[0];
    snprintf(err, len, "%s: no keeper: %s", dir, strerror(error));
    close(socks[0]);
    return -1;
}
