/**
 * @file
 * Lock files, detached processes, killing processes by an entry of their environment, and
 * durable replacement of files.
 */
#include "util/process.h"
#include "util/clock.h"
#include "util/thread.h"

#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

/** Size in bytes of the buffer for a process id in decimal digits. */
enum { PID_TEXT_BYTES = 32 };

/** Interval of polling for states that the kernel does not notify us of, seconds. */
static const double POLL_INTERVAL_S = 0.01;

/** @return the process id in a lock file; 0 if there is none. */
static pid_t read_pid(int fd)
{
    char text[PID_TEXT_BYTES];
    ssize_t len = pread(fd, text, sizeof text - 1, 0);

    if (len <= 0)
        return 0;
    text[len] = '\0';
    return (pid_t)strtol(text, NULL, 10);
}

static bool write_own_pid(int fd)
{
    char text[PID_TEXT_BYTES];
    int len = snprintf(text, sizeof text, "%ld\n", (long)getpid());

    return ftruncate(fd, 0) == 0 && pwrite(fd, text, (size_t)len, 0) == len;
}

int lmn_lock_file(const char *path, pid_t *holder)
{
    int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0644);

    *holder = 0;
    if (fd < 0)
        return LMN_LOCK_ERROR;
    if (flock(fd, LOCK_EX | LOCK_NB) != 0) {
        *holder = read_pid(fd);
        close(fd);
        return LMN_LOCK_HELD;
    }
    if (!write_own_pid(fd)) {
        close(fd);
        return LMN_LOCK_ERROR;
    }
    return fd;
}

bool lmn_lock_held(const char *path, pid_t *holder)
{
    int fd = open(path, O_RDWR | O_CLOEXEC);

    *holder = 0;
    if (fd < 0)
        return false;
    bool is_held = flock(fd, LOCK_EX | LOCK_NB) != 0;
    if (is_held)
        *holder = read_pid(fd);
    close(fd);
    return is_held;
}

bool lmn_lock_wait(const char *path, double seconds)
{
    struct timespec deadline = lmn_time_add(lmn_now(), seconds);
    pid_t holder;

    while (lmn_lock_held(path, &holder)) {
        if (lmn_time_before(deadline, lmn_now()))
            return false;
        lmn_sleep(POLL_INTERVAL_S);
    }
    return true;
}

bool lmn_lock_signal(const char *path, int signal_number)
{
    pid_t pid, current_pid;

    if (!lmn_lock_held(path, &pid) || pid <= 1)
        return false;
    int pid_fd = (int)syscall(SYS_pidfd_open, pid, 0);
    /* The holder may have ended, and the kernel may have reused its process id, before
     * the pidfd was opened. The pidfd belongs to the holder if the same process still
     * holds the lock now. */
    bool is_same = lmn_lock_held(path, &current_pid) && current_pid == pid;
    if (pid_fd < 0) /* no pidfd_open: the id may be reused before kill() */
        return is_same && kill(pid, signal_number) == 0;
    bool is_sent =
        is_same && syscall(SYS_pidfd_send_signal, pid_fd, signal_number, NULL, 0) == 0;
    close(pid_fd);
    return is_sent;
}

void lmn_lock_set_close_on_exec(void)
{
    const char *fd = g_getenv(LMN_LOCK_FD);

    if (fd)
        fcntl((int)strtol(fd, NULL, 10), F_SETFD, FD_CLOEXEC);
    g_unsetenv(LMN_LOCK_FD);
}

/** Replaces this process by the program. If exec fails, writes the errno value to
 * `error_pipe`; a successful exec closes the pipe. Between fork and exec in a process
 * with several threads only async-signal-safe functions may be called. */
static void run_detached(char *const arguments[], const char *log, int error_pipe)
{
    int in = open("/dev/null", O_RDONLY);
    int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    sigset_t none;

    if (in >= 0)
        dup2(in, STDIN_FILENO);
    if (out >= 0) {
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
    }
    /* Signal masks and ignored signals would be inherited through exec. */
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, NULL);
    signal(SIGPIPE, SIG_DFL);
    signal(SIGCHLD, SIG_DFL);
    execv(arguments[0], arguments);
    int error = errno;
    if (write(error_pipe, &error, sizeof error) < 0)
        _exit(126);
    _exit(127);
}

/** Runs in the intermediate process: starts the program as a child, writes the child's
 * process id to `pid_pipe` and exits, so that init adopts the program. */
static void run_intermediate(char *const arguments[], const char *log, int error_pipe,
                             int pid_pipe)
{
    setsid();
    pid_t child = fork();
    if (child == 0)
        run_detached(arguments, log, error_pipe);
    if (child < 0 || write(pid_pipe, &child, sizeof child) != sizeof child)
        _exit(1);
    _exit(0);
}

/** Waits until the intermediate process has exited and the program's exec has succeeded
 * or failed. @return 0, or the errno value of the failure. */
static int await_start(pid_t intermediate, int error_pipe, int pid_pipe, pid_t *pid)
{
    int status, error;

    while (waitpid(intermediate, &status, 0) < 0 && errno == EINTR)
        ;
    if (read(pid_pipe, pid, sizeof *pid) != sizeof *pid)
        return EAGAIN;
    /* End of file without a message: exec succeeded and closed the pipe. */
    if (read(error_pipe, &error, sizeof error) != sizeof error)
        return 0;
    return error;
}

int lmn_spawn_detached(char *const arguments[], const char *log, pid_t *pid)
{
    int error_pipe[2], pid_pipe[2], error;

    *pid = 0;
    if (pipe2(error_pipe, O_CLOEXEC) != 0)
        return errno;
    if (pipe2(pid_pipe, O_CLOEXEC) != 0) {
        error = errno;
        close(error_pipe[0]);
        close(error_pipe[1]);
        return error;
    }
    /* Forks twice, so that the program is not a child of this process and does not depend
     * on its life. */
    pid_t intermediate = fork();
    if (intermediate == 0)
        run_intermediate(arguments, log, error_pipe[1], pid_pipe[1]);
    error = intermediate < 0 ? errno : 0;
    close(error_pipe[1]);
    close(pid_pipe[1]);
    if (intermediate > 0)
        error = await_start(intermediate, error_pipe[0], pid_pipe[0], pid);
    close(error_pipe[0]);
    close(pid_pipe[0]);
    return error;
}

/** Whether the environment of a process contains the entry. */
static bool has_environment_entry(const char *pid, const char *entry)
{
    char path[64];
    g_autofree char *environment = NULL;
    gsize len = 0;

    g_snprintf(path, sizeof path, "/proc/%s/environ", pid);
    if (!g_file_get_contents(path, &environment, &len, NULL))
        return false;
    for (gsize at = 0; at < len; at += strlen(environment + at) + 1)
        if (!strcmp(environment + at, entry))
            return true;
    return false;
}

unsigned lmn_kill_with_environment_entry(const char *entry)
{
    g_autoptr(GDir) processes = g_dir_open("/proc", 0, NULL);
    const char *name;
    unsigned count = 0;

    while (processes && (name = g_dir_read_name(processes))) {
        pid_t pid = (pid_t)strtol(name, NULL, 10);
        if (pid <= 1 || pid == getpid() || !has_environment_entry(name, entry))
            continue;
        kill(pid, SIGKILL);
        count++;
    }
    return count;
}

bool lmn_kill_all_with_environment_entry(const char *entry, double timeout_s)
{
    enum { REQUIRED_EMPTY_SCANS = 2 };
    struct timespec deadline = lmn_time_add(lmn_now(), timeout_s);

    /* One scan of /proc may miss a process that is forked during the scan. Two empty
     * scans in a row miss none, since a process that was killed forks no more. */
    for (int empty_scans = 0; empty_scans < REQUIRED_EMPTY_SCANS;) {
        empty_scans = lmn_kill_with_environment_entry(entry) ? 0 : empty_scans + 1;
        if (!empty_scans && lmn_time_before(deadline, lmn_now()))
            return false;
        if (!empty_scans)
            lmn_sleep(POLL_INTERVAL_S);
    }
    return true;
}

static bool write_all(int fd, const void *bytes, size_t len)
{
    size_t written = 0;

    while (written < len) {
        ssize_t count = write(fd, (const char *)bytes + written, len - written);
        if (count < 0 && errno != EINTR)
            return false;
        written += count > 0 ? (size_t)count : 0;
    }
    return true;
}

/** Syncs the directory that contains the path, so that a rename in it is durable. */
static int sync_directory_of(const char *path)
{
    char *directory = g_path_get_dirname(path);
    int fd = open(directory, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    int rc = fd >= 0 && fsync(fd) == 0 ? 0 : -1;
    int error = errno;

    if (fd >= 0)
        close(fd);
    g_free(directory);
    errno = error;
    return rc;
}

int lmn_file_replace_durably(const char *path, const void *bytes, size_t len)
{
    char *temporary =
        g_strdup_printf("%s.tmp-%ld-%u", path, (long)getpid(), g_random_int());
    int fd = open(temporary, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0644);
    int rc = -1, error;

    /* The content is synced before the rename, so that a crash never leaves a file with a
     * part of it. */
    if (fd >= 0 && write_all(fd, bytes, len) && fsync(fd) == 0 &&
        rename(temporary, path) == 0) {
        rc = sync_directory_of(path);
        error = errno;
    } else {
        error = errno;
        unlink(temporary);
    }
    if (fd >= 0)
        close(fd);
    g_free(temporary);
    errno = error;
    return rc;
}

/** Directories that nftw() may keep open at once. */
enum { MAX_OPEN_DIRECTORIES = 16 };

static int remove_entry(const char *path, const struct stat *status, int type,
                        struct FTW *walk)
{
    (void)status;
    (void)type;
    (void)walk;
    return remove(path);
}

int lmn_tree_remove(const char *path)
{
    if (access(path, F_OK) != 0)
        return 0;
    return nftw(path, remove_entry, MAX_OPEN_DIRECTORIES, FTW_DEPTH | FTW_PHYS);
}

const char *lmn_self_path(void)
{
    static char path[4096];
    static gsize is_read;

    if (g_once_init_enter(&is_read)) {
        ssize_t len = readlink("/proc/self/exe", path, sizeof path - 1);
        path[MAX(len, 0)] = '\0';
        g_once_init_leave(&is_read, 1);
    }
    return path;
}
