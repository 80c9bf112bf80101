#include "worker/executor.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/process.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum { MAX_MESSAGE = 192 * 1024 };

static const char DROPPED[] = "\n[lemonspar: further output was dropped]\n";

/* A task: the process that was started, its session, and its output. */
struct task {
    uint64_t id;
    pid_t pid; /* also of its session and group */
    bool reaped;
    int status;
    struct timespec kill_at; /* after it was told to save; 0: not */
    int pipes[2], logs[2];
    uint64_t room[2];
};

struct keeper {
    int sock, signals;
    GPtrArray *tasks;
    char *mark;
    bool leased, ending, lapsed;
    struct timespec until;
};

static struct timespec clock_now(void)
{
    struct timespec t;
    clock_gettime(CLOCK_BOOTTIME, &t);
    return t;
}

/* --- what it says --- */

static void tell(const struct keeper *executor, enum lmn_executor_event event,
                 uint64_t id, int status, const char *what)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 4);
    lmn_cbor_put_text(buffer, "event"), lmn_cbor_put_uint(buffer, event);
    lmn_cbor_put_text(buffer, "id"), lmn_cbor_put_uint(buffer, id);
    lmn_cbor_put_text(buffer, "status"), lmn_cbor_put_uint(buffer, (uint64_t)status);
    lmn_cbor_put_text(buffer, "what"), lmn_cbor_put_text(buffer, what);
    if (send(executor->sock, buffer->data, buffer->len, MSG_NOSIGNAL) < 0)
        lmn_debug("executor_message_invalid event=%d", event);
    g_byte_array_unref(buffer);
}

/* --- output --- */

static void close_output(struct task *task, int i)
{
    if (task->pipes[i] >= 0)
        close(task->pipes[i]);
    if (task->logs[i] >= 0)
        close(task->logs[i]);
    task->pipes[i] = task->logs[i] = -1;
}

static void keep_output(struct task *task, int i, const char *bytes, size_t n)
{
    if (!task->room[i])
        return; /* read, so that the task isn't held up, and dropped */
    size_t take = MIN(n, task->room[i]);
    task->room[i] -= take;
    if (write(task->logs[i], bytes, take) < 0)
        task->room[i] = 0;
    if (!task->room[i] && write(task->logs[i], DROPPED, sizeof DROPPED - 1) < 0)
        return;
}

/* Reads what is there; closes it at its end. */
static void read_output(struct task *task, int i)
{
    char buf[16384];
    ssize_t n;

    while (task->pipes[i] >= 0 && (n = read(task->pipes[i], buf, sizeof buf)) != 0) {
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno == EAGAIN)
            return;
        if (n < 0)
            break;
        keep_output(task, i, buf, (size_t)n);
    }
    if (task->pipes[i] >= 0)
        close_output(task, i);
}

/* --- starting --- */

static char **texts(const struct lmn_cbor_document *document,
                    const struct lmn_cbor_value *list, const char *also)
{
    GPtrArray *a = g_ptr_array_new();

    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, list); node;
         node = lmn_cbor_next(document, node))
        if (node->type == LMN_CBOR_TEXT)
            g_ptr_array_add(a, g_strndup(node->s, node->len));
    if (also)
        g_ptr_array_add(a, g_strdup(also));
    g_ptr_array_add(a, NULL);
    return (char **)g_ptr_array_free(a, FALSE);
}

static void run_task(char **argv, char **env, const char *cwd, const int out[2], int fail,
                     pid_t keeper)
{
    int in = open("/dev/null", O_RDONLY), error;
    sigset_t none;

    setsid();
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != keeper)
        _exit(127); /* it was gone before the line above */
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, NULL);
    /* What the keeper ignores the task must not: an ignored signal stays so, and sh can't
     * even trap it. */
    static const int ignored[] = {SIGPIPE, SIGTERM, SIGINT, SIGHUP};
    for (guint i = 0; i < G_N_ELEMENTS(ignored); i++)
        signal(ignored[i], SIG_DFL);
    dup2(in, 0);
    dup2(out[0], 1);
    dup2(out[1], 2);
    for (char **e = env; *e; e++)
        putenv(*e);
    if (chdir(cwd) == 0)
        execvp(argv[0], argv);
    error = errno;
    if (write(fail, &error, sizeof error) < 0)
        _exit(126);
    _exit(127);
}

static int open_log(const char *cwd, const char *name)
{
    char *path = g_build_filename(cwd, name, NULL);
    int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    g_free(path);
    return fd;
}

static void start(struct keeper *executor, const struct lmn_cbor_document *document,
                  uint64_t id)
{
    static const char *const logs[] = {"stdout", "stderr"};
    const struct lmn_cbor_value *root = lmn_cbor_root(document);
    struct task *task = g_new0(struct task, 1);
    int out[2] = {-1, -1}, fail[2] = {-1, -1}, error = 0;
    char cwd[4096] = "", *mark = executor->mark;
    uint64_t room = 0;

    lmn_cbor_get_text(lmn_cbor_get(document, root, "cwd"), cwd, sizeof cwd);
    lmn_cbor_get_uint(lmn_cbor_get(document, root, "log"), &room);
    char **argv = texts(document, lmn_cbor_get(document, root, "argv"), NULL);
    char **env = texts(document, lmn_cbor_get(document, root, "env"), mark);
    task->id = id;
    for (int i = 0; i < 2; i++) {
        int p[2] = {-1, -1};
        if (pipe2(p, O_CLOEXEC | O_NONBLOCK) != 0)
            error = errno;
        task->pipes[i] = p[0];
        out[i] = p[1];
        task->logs[i] = open_log(cwd, logs[i]);
        task->room[i] = room;
        if (task->logs[i] < 0)
            error = errno;
        /* Only this end must not block. */
        if (out[i] >= 0)
            fcntl(out[i], F_SETFL, 0);
    }
    if (!argv[0])
        error = EINVAL;
    if (!error && pipe2(fail, O_CLOEXEC) != 0)
        error = errno;
    if (!error) {
        pid_t self = getpid();
        task->pid = fork();
        if (task->pid == 0)
            run_task(argv, env, cwd, out, fail[1], self);
        error = task->pid < 0 ? errno : 0;
    }
    if (fail[1] >= 0)
        close(fail[1]);
    if (!error && read(fail[0], &error, sizeof error) != sizeof error)
        error = 0;
    if (fail[0] >= 0)
        close(fail[0]);
    for (int i = 0; i < 2; i++)
        if (out[i] >= 0)
            close(out[i]);
    if (error) {
        tell(executor, LMN_EXECUTOR_START_FAILED, id, 0, g_strerror(error));
        if (task->pid > 0)
            waitpid(task->pid, NULL, 0);
        close_output(task, 0);
        close_output(task, 1);
        g_free(task);
    } else {
        g_ptr_array_add(executor->tasks, task);
    }
    g_strfreev(argv);
    g_strfreev(env);
}

/* --- ends --- */

static struct task *find(const struct keeper *executor, uint64_t id)
{
    for (guint i = 0; i < executor->tasks->len; i++)
        if (((struct task *)executor->tasks->pdata[i])->id == id)
            return executor->tasks->pdata[i];
    return NULL;
}

static void reap(struct keeper *executor)
{
    pid_t pid;
    int status;

    while ((pid = waitpid(-1, &status, WNOHANG)) > 0)
        for (guint i = 0; i < executor->tasks->len; i++) {
            struct task *task = executor->tasks->pdata[i];
            if (task->pid != pid || task->reaped)
                continue;
            task->reaped = true;
            task->status = status;
        }
}

static bool in_living_session(const struct keeper *executor, pid_t sid)
{
    for (guint i = 0; i < executor->tasks->len; i++) {
        const struct task *task = executor->tasks->pdata[i];
        if (!task->reaped && task->pid == sid)
            return true;
    }
    return false;
}

/* Kills the children whose task has ended, or that have left their task's session and
 * lost their parent; all, if everything ends. How many are still there. Whoever dies
 * leaves its own children here, so calls go on until there are none. */
static unsigned end_strays(struct keeper *executor)
{
    char path[64], *text = NULL;
    unsigned n = 0;

    g_snprintf(path, sizeof path, "/proc/self/task/%ld/children", (long)getpid());
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return 0;
    char *at = text, *end;
    for (pid_t pid; (pid = (pid_t)strtol(at, &end, 10)) > 0; at = end) {
        if (!executor->ending && in_living_session(executor, getsid(pid)))
            continue;
        kill(pid, SIGKILL);
        n++;
    }
    g_free(text);
    return n;
}

/* Says of the tasks that have ended, once nothing is left of them. */
static void settle(struct keeper *executor)
{
    bool any = false;

    reap(executor);
    for (guint i = 0; i < executor->tasks->len; i++) {
        struct task *task = executor->tasks->pdata[i];
        if (task->reaped)
            kill(-task->pid, SIGKILL);
        any = any || task->reaped;
    }
    unsigned strays = end_strays(executor);
    if (executor->ending) {
        if (strays || (waitpid(-1, NULL, WNOHANG) == 0))
            return;
        for (guint i = 0; i < executor->tasks->len; i++) {
            close_output(executor->tasks->pdata[i], 0);
            close_output(executor->tasks->pdata[i], 1);
        }
        g_ptr_array_set_size(executor->tasks, 0);
        executor->ending = false;
        tell(executor, executor->lapsed ? LMN_EXECUTOR_LEASE_EXPIRED : LMN_EXECUTOR_EMPTY,
             0, 0, "");
        return;
    }
    if (!any || strays)
        return;
    for (guint i = executor->tasks->len; i-- > 0;) {
        struct task *task = executor->tasks->pdata[i];
        if (!task->reaped)
            continue;
        read_output(task, 0);
        read_output(task, 1);
        close_output(task, 0);
        close_output(task, 1);
        tell(executor, LMN_EXECUTOR_EXITED, task->id, task->status, "");
        g_ptr_array_remove_index_fast(executor->tasks, i);
    }
}

static void end_all(struct keeper *executor, bool lapsed)
{
    executor->lapsed = lapsed;
    executor->ending = true;
    executor->leased = false;
    for (guint i = 0; i < executor->tasks->len; i++)
        kill(-((struct task *)executor->tasks->pdata[i])->pid, SIGKILL);
    settle(executor);
}

static void obey(struct keeper *executor, const void *bytes, size_t len)
{
    struct lmn_cbor_document d;
    uint64_t id = 0, s = 0, ns = 0;
    double grace = 0;

    if (lmn_cbor_parse(&d, bytes, len) != 0)
        return;
    const struct lmn_cbor_value *root = lmn_cbor_root(&d),
                                *command = lmn_cbor_get(&d, root, "op");
    lmn_cbor_get_uint(lmn_cbor_get(&d, root, "id"), &id);
    struct task *task = find(executor, id);
    if (lmn_cbor_text_equals(command, "start") && !task) {
        start(executor, &d, id);
    } else if (lmn_cbor_text_equals(command, "save") && task) {
        lmn_cbor_get_number(lmn_cbor_get(&d, root, "grace"), &grace);
        task->kill_at = lmn_time_add(clock_now(), grace);
        kill(-task->pid, SIGTERM);
    } else if (lmn_cbor_text_equals(command, "kill") && task) {
        kill(-task->pid, SIGKILL);
    } else if (lmn_cbor_text_equals(command, "kill_all")) {
        end_all(executor, false);
    } else if (lmn_cbor_text_equals(command, "until") &&
               lmn_cbor_get_uint(lmn_cbor_get(&d, root, "s"), &s) &&
               lmn_cbor_get_uint(lmn_cbor_get(&d, root, "ns"), &ns)) {
        executor->until = (struct timespec){(time_t)s, (long)ns};
        executor->leased = true;
    }
    lmn_cbor_free(&d);
}

/* Seconds until something is due; -1: nothing. */
static double due(struct keeper *executor)
{
    struct timespec now = clock_now();
    double wait = -1;

    if (executor->ending)
        wait = 0.005;
    if (executor->leased && !executor->ending) {
        if (lmn_time_before(executor->until, now)) {
            lmn_info("executor_lease_expired tasks=%u", executor->tasks->len);
            end_all(executor, true);
            return 0.005;
        }
        wait = lmn_time_diff_s(executor->until, now);
    }
    for (guint i = 0; i < executor->tasks->len; i++) {
        struct task *task = executor->tasks->pdata[i];
        if (task->reaped) {
            wait = 0.005;
        } else if (task->kill_at.tv_sec) {
            if (lmn_time_before(task->kill_at, now))
                kill(-task->pid, SIGKILL);
            double left = MAX(lmn_time_diff_s(task->kill_at, now), 0.02);
            wait = wait < 0 ? left : MIN(wait, left);
        }
    }
    return wait;
}

static void run(struct keeper *executor)
{
    GArray *w = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
    char *buf = g_malloc(MAX_MESSAGE);

    for (;;) {
        double wait = due(executor);
        struct pollfd p = {executor->sock, POLLIN, 0};
        g_array_set_size(w, 0);
        g_array_append_val(w, p);
        p.fd = executor->signals;
        g_array_append_val(w, p);
        for (guint i = 0; i < executor->tasks->len; i++)
            for (int o = 0; o < 2; o++) {
                p.fd = ((struct task *)executor->tasks->pdata[i])->pipes[o];
                g_array_append_val(w, p);
            }
        poll((struct pollfd *)(void *)w->data, w->len,
             wait < 0 ? -1 : (int)(wait * 1000) + 1);
        for (guint i = 0; i < executor->tasks->len && 2 + 2 * i + 1 < w->len; i++)
            for (guint o = 0; o < 2; o++)
                if (g_array_index(w, struct pollfd, 2 + 2 * i + o).revents)
                    read_output(executor->tasks->pdata[i], (int)o);
        if (g_array_index(w, struct pollfd, 1).revents) {
            struct signalfd_siginfo info[16];
            if (read(executor->signals, info, sizeof info) < 0 && errno != EAGAIN)
                lmn_error("executor_signals_failed error=\"%s\"", strerror(errno));
        }
        if (g_array_index(w, struct pollfd, 0).revents) {
            ssize_t n = recv(executor->sock, buf, MAX_MESSAGE, 0);
            if (n == 0 || (n < 0 && errno != EINTR && errno != EAGAIN))
                break; /* the agent is gone */
            if (n > 0)
                obey(executor, buf, (size_t)n);
        }
        settle(executor);
    }
    for (end_all(executor, false); executor->ending; settle(executor))
        usleep(2000);
}

static void become(const char *dir, const char *mark, int sock)
{
    struct keeper k = {.sock = sock, .mark = g_strdup(mark)};
    char *path = g_build_filename(dir, "keeper.lock", NULL);
    pid_t other;
    sigset_t set;

    setsid();
    prctl(PR_SET_CHILD_SUBREAPER, 1);
    prctl(PR_SET_NAME, "lmn-keeper");
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, SIG_IGN);
    signal(SIGINT, SIG_IGN);
    signal(SIGHUP, SIG_IGN);
    sigemptyset(&set);
    sigaddset(&set, SIGCHLD);
    sigprocmask(SIG_BLOCK, &set, NULL);
    if (lmn_lock_file(path, &other) < 0)
        _exit(1);
    k.signals = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    k.tasks = g_ptr_array_new_with_free_func(g_free);
    run(&k);
    _exit(0);
}

char *lmn_executor_mark(const char *dir)
{
    char *whole = g_canonicalize_filename(dir, NULL);
    char *mark = g_strdup_printf("LEMONSPAR_MACHINE_DIR=%s", whole);
    g_free(whole);
    return mark;
}

bool lmn_executor_clear(const char *dir, const char *mark, double seconds)
{
    char *agent = g_build_filename(dir, "agent.lock", NULL);
    char *keeper = g_build_filename(dir, "keeper.lock", NULL);
    bool ok = true;

    if (lmn_lock_signal(agent, SIGKILL))
        ok = lmn_lock_wait(agent, seconds);
    /* The keeper sees the agent's end, and ends the tasks. */
    ok = lmn_lock_wait(keeper, seconds) && ok;
    ok = lmn_kill_marked_all(mark, seconds) && ok;
    g_free(agent);
    g_free(keeper);
    return ok;
}

int lmn_executor_start(const char *dir, const char *mark, char *err, size_t len)
{
    char *lock = g_build_filename(dir, "keeper.lock", NULL);
    int pair[2] = {-1, -1}, size = 512 * 1024;
    bool clear = lmn_lock_wait(lock, 30) && lmn_kill_marked_all(mark, 30);

    g_free(lock);
    if (!clear) {
        snprintf(err, len, "%s: processes of an earlier session can't be ended", dir);
        return -1;
    }
    if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, pair) != 0) {
        snprintf(err, len, "%s: no socket pair: %s", dir, strerror(errno));
        return -1;
    }
    for (int i = 0; i < 2; i++)
        setsockopt(pair[i], SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
    fflush(NULL);
    pid_t pid = fork();
    if (pid == 0) {
        /* A child of nobody: the agent's end must not take it along. */
        if (fork() != 0)
            _exit(0);
        close(pair[0]);
        become(dir, mark, pair[1]);
    }
    close(pair[1]);
    if (pid < 0) {
        snprintf(err, len, "%s: no keeper: %s", dir, strerror(errno));
        close(pair[0]);
        return -1;
    }
    while (waitpid(pid, NULL, 0) < 0 && errno == EINTR)
        ;
    return pair[0];
}
