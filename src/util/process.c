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

static pid_t read_pid(int fd)
{
    char t[32];
    ssize_t n = pread(fd, t, sizeof t - 1, 0);

    if (n <= 0)
        return 0;
    t[n] = '\0';
    return (pid_t)strtol(t, NULL, 10);
}

int lmn_lock_file(const char *path, pid_t *holder)
{
    int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    char t[32];

    *holder = 0;
    if (fd < 0)
        return -2;
    if (flock(fd, LOCK_EX | LOCK_NB) != 0) {
        *holder = read_pid(fd);
        close(fd);
        return -1;
    }
    int n = snprintf(t, sizeof t, "%ld\n", (long)getpid());
    if (ftruncate(fd, 0) != 0 || pwrite(fd, t, (size_t)n, 0) != n) {
        close(fd);
        return -2;
    }
    return fd;
}

bool lmn_lock_held(const char *path, pid_t *holder)
{
    int fd = open(path, O_RDWR | O_CLOEXEC);
    bool held;

    *holder = 0;
    if (fd < 0)
        return false;
    held = flock(fd, LOCK_EX | LOCK_NB) != 0;
    if (held)
        *holder = read_pid(fd);
    close(fd);
    return held;
}

bool lmn_lock_wait(const char *path, double seconds)
{
    struct timespec end = lmn_time_add(lmn_now(), seconds);
    pid_t pid;

    while (lmn_lock_held(path, &pid)) {
        if (lmn_time_before(end, lmn_now()))
            return false;
        lmn_sleep(0.01);
    }
    return true;
}

bool lmn_lock_signal(const char *path, int sig)
{
    pid_t pid, again;

    if (!lmn_lock_held(path, &pid) || pid <= 1)
        return false;
    int fd = (int)syscall(SYS_pidfd_open, pid, 0);
    /* The number may have passed to another process meanwhile: only if the lock is still
     * held, and by the same, is the descriptor surely its. */
    bool same = lmn_lock_held(path, &again) && again == pid;
    if (fd < 0)
        return same && kill(pid, sig) == 0;
    bool sent = same && syscall(SYS_pidfd_send_signal, fd, sig, NULL, 0) == 0;
    close(fd);
    return sent;
}

void lmn_lock_keep(void)
{
    const char *fd = g_getenv(LMN_LOCK_FD);

    if (fd)
        fcntl((int)strtol(fd, NULL, 10), F_SETFD, FD_CLOEXEC);
    g_unsetenv(LMN_LOCK_FD);
}

static void run_detached(char *const argv[], const char *log, int fail)
{
    int in = open("/dev/null", O_RDONLY);
    int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    int error;
    sigset_t none;

    if (in >= 0)
        dup2(in, 0);
    if (out >= 0) {
        dup2(out, 1);
        dup2(out, 2);
    }
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, NULL);
    signal(SIGPIPE, SIG_DFL);
    signal(SIGCHLD, SIG_DFL);
    execv(argv[0], argv);
    error = errno;
    if (write(fail, &error, sizeof error) < 0)
        _exit(126);
    _exit(127);
}

int lmn_spawn(char *const argv[], const char *log, pid_t *pid)
{
    int fail[2], ids[2], error = 0;

    *pid = 0;
    if (pipe2(fail, O_CLOEXEC) != 0)
        return errno;
    if (pipe2(ids, O_CLOEXEC) != 0) {
        error = errno;
        close(fail[0]);
        close(fail[1]);
        return error;
    }
    /* Twice, so that it is nobody's child: whoever started it may come and go. */
    pid_t middle = fork();
    if (middle == 0) {
        setsid();
        pid_t child = fork();
        if (child == 0)
            run_detached(argv, log, fail[1]);
        if (child < 0 || write(ids[1], &child, sizeof child) != sizeof child)
            _exit(1);
        _exit(0);
    }
    error = middle < 0 ? errno : 0;
    close(fail[1]);
    close(ids[1]);
    if (middle > 0) {
        int status;
        while (waitpid(middle, &status, 0) < 0 && errno == EINTR)
            ;
        if (read(ids[0], pid, sizeof *pid) != sizeof *pid)
            error = EAGAIN;
        else if (read(fail[0], &error, sizeof error) != sizeof error)
            error = 0;
    }
    close(fail[0]);
    close(ids[0]);
    return error;
}

static bool is_marked(const char *pid, const char *mark)
{
    char path[64], *bytes = NULL;
    gsize n = 0;
    bool found = false;

    g_snprintf(path, sizeof path, "/proc/%s/environ", pid);
    if (!g_file_get_contents(path, &bytes, &n, NULL))
        return false;
    for (gsize at = 0; at < n && !found; at += strlen(bytes + at) + 1)
        found = !strcmp(bytes + at, mark);
    g_free(bytes);
    return found;
}

unsigned lmn_kill_marked(const char *mark)
{
    GDir *d = g_dir_open("/proc", 0, NULL);
    const char *name;
    unsigned n = 0;

    while (d && (name = g_dir_read_name(d))) {
        pid_t pid = (pid_t)strtol(name, NULL, 10);
        if (pid <= 1 || pid == getpid() || !is_marked(name, mark))
            continue;
        kill(pid, SIGKILL);
        n++;
    }
    if (d)
        g_dir_close(d);
    return n;
}

bool lmn_kill_marked_all(const char *mark, double seconds)
{
    struct timespec end = lmn_time_add(lmn_now(), seconds);

    /* One that forks while it is looked for may be missed once: not by a second look that
     * finds nobody, since each that was found is dying and forks no more. */
    for (int clean = 0; clean < 2;) {
        clean = lmn_kill_marked(mark) ? 0 : clean + 1;
        if (!clean && lmn_time_before(end, lmn_now()))
            return false;
        if (!clean)
            lmn_sleep(0.01);
    }
    return true;
}

int lmn_file_put(const char *path, const void *bytes, size_t len)
{
    char *tmp = g_strdup_printf("%s.tmp-%ld-%u", path, (long)getpid(), g_random_int());
    char *dir = g_path_get_dirname(path);
    int fd = open(tmp, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0644), rc = -1, error = 0;
    size_t at = 0;

    while (fd >= 0 && at < len) {
        ssize_t n = write(fd, (const char *)bytes + at, len - at);
        if (n < 0 && errno != EINTR)
            break;
        at += n > 0 ? (size_t)n : 0;
    }
    if (fd >= 0 && at == len && fsync(fd) == 0 && rename(tmp, path) == 0) {
        int d = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        rc = d >= 0 && fsync(d) == 0 ? 0 : -1;
        error = errno;
        if (d >= 0)
            close(d);
    } else {
        error = errno;
        unlink(tmp);
    }
    if (fd >= 0)
        close(fd);
    g_free(tmp);
    g_free(dir);
    errno = error;
    return rc;
}

static int remove_one(const char *path, const struct stat *st, int type, struct FTW *f)
{
    (void)st;
    (void)type;
    (void)f;
    return remove(path);
}

int lmn_tree_remove(const char *path)
{
    if (access(path, F_OK) != 0)
        return 0;
    return nftw(path, remove_one, 16, FTW_DEPTH | FTW_PHYS);
}

const char *lmn_self_path(void)
{
    static char path[4096];
    static gsize done;

    if (g_once_init_enter(&done)) {
        ssize_t n = readlink("/proc/self/exe", path, sizeof path - 1);
        path[MAX(n, 0)] = '\0';
        g_once_init_leave(&done, 1);
    }
    return path;
}
