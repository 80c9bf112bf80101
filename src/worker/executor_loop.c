/** @file
 * The executor's event loop (worker/executor_loop.h). It handles the agent's messages,
 * the ends of processes, the expiry of the lease, and the tasks' output. */
#include "worker/executor_loop.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/process.h"
#include "worker/executor_message.h"
#include "worker/executor_task.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Maximum size of a message from the agent. */
enum { MAX_MESSAGE_BYTES = 192 * 1024 };
/* Signals that one read takes from the signalfd. */
enum { MAX_SIGNALS_READ = 16 };
/* Interval at which processes that are being killed are checked: SIGCHLD does not
 * announce the end of every orphan. */
static const double KILL_POLL_S = 0.005;
/* Minimum interval between two kills of a task that outlives its grace period. */
static const double REPEATED_KILL_INTERVAL_S = 0.02;
/* Interval at which killed processes are checked once the agent is gone. */
enum { SHUTDOWN_POLL_US = 2000 };

struct executor {
    int sock;         /* to the agent */
    int signals;      /* a signalfd for SIGCHLD */
    GPtrArray *tasks; /* struct lmn_executor_task, owned */
    char *mark;
    bool has_lease;
    struct timespec lease_until;
    bool is_ending;        /* all tasks are being killed */
    bool is_lease_expired; /* with is_ending: because the lease expired */
};

/* Leases are measured by CLOCK_BOOTTIME, which keeps running while the machine is
 * suspended. */
static struct timespec boot_time_now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return now;
}

static void send_event(const struct executor *executor, enum lmn_executor_event event,
                       uint64_t id, int status, const char *reason)
{
    g_autoptr(GByteArray) message = lmn_executor_event_encode(event, id, status, reason);

    if (send(executor->sock, message->data, message->len, MSG_NOSIGNAL) < 0)
        lmn_debug("executor_message_invalid event=%d", event);
}

static struct lmn_executor_task *task_at(const struct executor *executor, guint i)
{
    return executor->tasks->pdata[i];
}

static struct lmn_executor_task *find_task(const struct executor *executor, uint64_t id)
{
    for (guint i = 0; i < executor->tasks->len; i++)
        if (task_at(executor, i)->id == id)
            return task_at(executor, i);
    return NULL;
}

/* --- the ends of processes --- */

/* Reaps all children that have exited: tasks, and orphans of tasks. */
static void reap(struct executor *executor)
{
    pid_t pid;
    int status;

    while ((pid = waitpid(-1, &status, WNOHANG)) > 0)
        for (guint i = 0; i < executor->tasks->len; i++) {
            struct lmn_executor_task *task = task_at(executor, i);
            if (task->pid != pid || task->is_reaped)
                continue;
            task->is_reaped = true;
            task->status = status;
        }
}

static bool is_session_of_living_task(const struct executor *executor, pid_t session)
{
    for (guint i = 0; i < executor->tasks->len; i++) {
        const struct lmn_executor_task *task = task_at(executor, i);
        if (!task->is_reaped && task->pid == session)
            return true;
    }
    return false;
}

/* Kills the children of the executor that are not in the session of a living task: their
 * task has ended, or they left its session and lost their parent. While is_ending, kills
 * all children. Returns the number of processes killed. The children of a killed process
 * become children of the executor, so the caller repeats this until it returns 0. */
static unsigned kill_orphans(struct executor *executor)
{
    g_autofree char *path =
        g_strdup_printf("/proc/self/task/%ld/children", (long)getpid());
    g_autofree char *text = NULL;
    unsigned count = 0;

    if (!g_file_get_contents(path, &text, NULL, NULL))
        return 0;
    char *cursor = text, *end;
    for (pid_t pid; (pid = (pid_t)strtol(cursor, &end, 10)) > 0; cursor = end) {
        if (!executor->is_ending && is_session_of_living_task(executor, getsid(pid)))
            continue;
        kill(pid, SIGKILL);
        count++;
    }
    return count;
}

/* Kills the processes left in the process groups of tasks that have been reaped. Returns
 * whether any task has been reaped. */
static bool kill_groups_of_reaped(struct executor *executor)
{
    bool any_reaped = false;

    for (guint i = 0; i < executor->tasks->len; i++) {
        const struct lmn_executor_task *task = task_at(executor, i);
        if (!task->is_reaped)
            continue;
        kill(-task->pid, SIGKILL);
        any_reaped = true;
    }
    return any_reaped;
}

/* Reports that no process is left after all tasks were killed. */
static void finish_ending(struct executor *executor)
{
    g_ptr_array_set_size(executor->tasks, 0);
    executor->is_ending = false;
    send_event(executor,
               executor->is_lease_expired ? LMN_EXECUTOR_LEASE_EXPIRED
                                          : LMN_EXECUTOR_ALL_KILLED,
               0, 0, "");
}

/* Writes the remaining output of the tasks that have been reaped to their logs, and
 * reports their exits. */
static void report_reaped(struct executor *executor)
{
    for (guint i = executor->tasks->len; i-- > 0;) {
        struct lmn_executor_task *task = task_at(executor, i);
        if (!task->is_reaped)
            continue;
        uint64_t id = task->id;
        int status = task->status;
        for (int stream = 0; stream < LMN_EXECUTOR_STREAMS; stream++)
            lmn_executor_task_read_output(task, stream);
        g_ptr_array_remove_index_fast(executor->tasks, i); /* closes its files */
        send_event(executor, LMN_EXECUTOR_EXITED, id, status, "");
    }
}

/* Reports the ends of tasks, but only once none of their processes is left: as soon as
 * the agent knows of an end, the task may be started again, or a new incarnation begin.
 */
static void settle(struct executor *executor)
{
    reap(executor);
    bool any_reaped = kill_groups_of_reaped(executor);
    unsigned orphans = kill_orphans(executor);
    if (executor->is_ending) {
        if (!orphans && waitpid(-1, NULL, WNOHANG) != 0) /* 0: there are children */
            finish_ending(executor);
    } else if (any_reaped && !orphans) {
        report_reaped(executor);
    }
}

/* Kills all tasks; settle() sends the report once no process is left. */
static void begin_ending(struct executor *executor, bool is_lease_expired)
{
    executor->is_lease_expired = is_lease_expired;
    executor->is_ending = true;
    executor->has_lease = false;
    for (guint i = 0; i < executor->tasks->len; i++)
        kill(-task_at(executor, i)->pid, SIGKILL);
    settle(executor);
}

/* --- the agent's messages --- */

static void start_task(struct executor *executor,
                       const struct lmn_cbor_document *document, uint64_t id)
{
    int error;
    struct lmn_executor_task *task =
        lmn_executor_task_start(document, id, executor->mark, &error);

    if (task)
        g_ptr_array_add(executor->tasks, task);
    else
        send_event(executor, LMN_EXECUTOR_START_FAILED, id, 0, g_strerror(error));
}

/* Tells the task to save its progress, and schedules its kill at the end of the grace
 * period. */
static void save_task(struct lmn_executor_task *task,
                      const struct lmn_cbor_document *document)
{
    double grace_s = 0;

    lmn_cbor_get_number(lmn_cbor_get(document, lmn_cbor_root(document), "grace"),
                        &grace_s);
    task->kill_at = lmn_time_add(boot_time_now(), grace_s);
    kill(-task->pid, SIGTERM);
}

static void set_lease(struct executor *executor, const struct lmn_cbor_document *document)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document);
    uint64_t seconds = 0, nanoseconds = 0;

    if (!lmn_cbor_get_uint(lmn_cbor_get(document, root, "s"), &seconds) ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, root, "ns"), &nanoseconds))
        return;
    executor->lease_until = (struct timespec){(time_t)seconds, (long)nanoseconds};
    executor->has_lease = true;
}

static void handle_message(struct executor *executor, const void *bytes, size_t len)
{
    struct lmn_cbor_document document;
    uint64_t id = 0;

    if (lmn_cbor_parse(&document, bytes, len) != 0)
        return;
    const struct lmn_cbor_value *root = lmn_cbor_root(&document);
    const struct lmn_cbor_value *command = lmn_cbor_get(&document, root, "op");
    lmn_cbor_get_uint(lmn_cbor_get(&document, root, "id"), &id);
    struct lmn_executor_task *task = find_task(executor, id);
    if (lmn_cbor_text_equals(command, "start") && !task)
        start_task(executor, &document, id);
    else if (lmn_cbor_text_equals(command, "save") && task)
        save_task(task, &document);
    else if (lmn_cbor_text_equals(command, "kill") && task)
        kill(-task->pid, SIGKILL);
    else if (lmn_cbor_text_equals(command, "kill_all"))
        begin_ending(executor, false);
    else if (lmn_cbor_text_equals(command, "until"))
        set_lease(executor, &document);
    lmn_cbor_free(&document);
}

/* --- timers --- */

/* Kills a saving task whose grace period is over; the kill is repeated until the task is
 * reaped. Returns the seconds until the next check. */
static double enforce_grace_period(const struct lmn_executor_task *task,
                                   struct timespec now)
{
    if (lmn_time_before(task->kill_at, now))
        kill(-task->pid, SIGKILL);
    return MAX(lmn_time_diff_s(task->kill_at, now), REPEATED_KILL_INTERVAL_S);
}

/* Handles an expired lease and ended grace periods. Returns the seconds until the next
 * check, or -1 if none is needed. */
static double run_timers(struct executor *executor)
{
    struct timespec now = boot_time_now();
    double wait_s = -1;

    if (executor->is_ending)
        wait_s = KILL_POLL_S;
    if (executor->has_lease && !executor->is_ending) {
        if (lmn_time_before(executor->lease_until, now)) {
            lmn_info("executor_lease_expired tasks=%u", executor->tasks->len);
            begin_ending(executor, true);
            return KILL_POLL_S;
        }
        wait_s = lmn_time_diff_s(executor->lease_until, now);
    }
    for (guint i = 0; i < executor->tasks->len; i++) {
        const struct lmn_executor_task *task = task_at(executor, i);
        if (task->is_reaped) {
            wait_s = KILL_POLL_S;
        } else if (task->kill_at.tv_sec) {
            double task_wait_s = enforce_grace_period(task, now);
            wait_s = wait_s < 0 ? task_wait_s : MIN(wait_s, task_wait_s);
        }
    }
    return wait_s;
}

/* --- the loop --- */

/* Indices into the descriptors that poll() waits for: these two, then the pipes of each
 * task from POLL_TASKS on. */
enum { POLL_SOCKET, POLL_SIGNALS, POLL_TASKS };

static void add_descriptor(GArray *descriptors, int fd)
{
    const struct pollfd descriptor = {fd, POLLIN, 0};

    g_array_append_val(descriptors, descriptor);
}

static void collect_descriptors(const struct executor *executor, GArray *descriptors)
{
    g_array_set_size(descriptors, 0);
    add_descriptor(descriptors, executor->sock);
    add_descriptor(descriptors, executor->signals);
    for (guint i = 0; i < executor->tasks->len; i++)
        for (int stream = 0; stream < LMN_EXECUTOR_STREAMS; stream++)
            add_descriptor(descriptors, task_at(executor, i)->pipes[stream]);
}

static bool is_ready(const GArray *descriptors, guint i)
{
    return g_array_index(descriptors, struct pollfd, i).revents != 0;
}

static void read_outputs(struct executor *executor, const GArray *descriptors)
{
    for (guint i = 0; i < executor->tasks->len; i++)
        for (guint stream = 0; stream < LMN_EXECUTOR_STREAMS; stream++)
            if (is_ready(descriptors, POLL_TASKS + LMN_EXECUTOR_STREAMS * i + stream))
                lmn_executor_task_read_output(task_at(executor, i), (int)stream);
}

/* Empties the signalfd. settle() then reaps the children by waitpid(). */
static void read_signals(struct executor *executor)
{
    struct signalfd_siginfo signals[MAX_SIGNALS_READ];

    if (read(executor->signals, signals, sizeof signals) < 0 && errno != EAGAIN)
        lmn_error("executor_signals_failed error=\"%s\"", strerror(errno));
}

/* Receives and handles a message; returns false if the agent is gone. */
static bool receive_message(struct executor *executor, char *buffer)
{
    ssize_t len = recv(executor->sock, buffer, MAX_MESSAGE_BYTES, 0);

    if (len == 0 || (len < 0 && errno != EINTR && errno != EAGAIN))
        return false;
    if (len > 0)
        handle_message(executor, buffer, (size_t)len);
    return true;
}

/* Runs until the agent is gone, then kills all tasks. */
static void run_loop(struct executor *executor)
{
    g_autoptr(GArray) descriptors = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
    g_autofree char *buffer = g_malloc(MAX_MESSAGE_BYTES);

    for (;;) {
        double wait_s = run_timers(executor);
        collect_descriptors(executor, descriptors);
        poll((struct pollfd *)(void *)descriptors->data, descriptors->len,
             wait_s < 0 ? -1 : (int)(wait_s * 1000) + 1);
        read_outputs(executor, descriptors);
        if (is_ready(descriptors, POLL_SIGNALS))
            read_signals(executor);
        if (is_ready(descriptors, POLL_SOCKET) && !receive_message(executor, buffer))
            break;
        settle(executor);
    }
    for (begin_ending(executor, false); executor->is_ending; settle(executor))
        usleep(SHUTDOWN_POLL_US);
}

/* --- the process --- */

/* SIGCHLD is delivered through the signalfd. Signals that are meant for the agent, such
 * as those of a terminal, are ignored: the executor exits after the agent has. */
static int set_up_signals(void)
{
    sigset_t child_signal;

    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, SIG_IGN);
    signal(SIGINT, SIG_IGN);
    signal(SIGHUP, SIG_IGN);
    sigemptyset(&child_signal);
    sigaddset(&child_signal, SIGCHLD);
    sigprocmask(SIG_BLOCK, &child_signal, NULL);
    return signalfd(-1, &child_signal, SFD_CLOEXEC | SFD_NONBLOCK);
}

static void free_task(gpointer task)
{
    lmn_executor_task_free(task);
}

void lmn_executor_run(const char *dir, const char *mark, int sock)
{
    struct executor executor = {.sock = sock, .mark = g_strdup(mark)};
    g_autofree char *lock = g_build_filename(dir, "keeper.lock", NULL);
    pid_t other;

    setsid();
    /* Orphans of tasks become children of the executor, which finds and kills them. */
    prctl(PR_SET_CHILD_SUBREAPER, 1);
    prctl(PR_SET_NAME, "lmn-keeper");
    executor.signals = set_up_signals();
    if (lmn_lock_file(lock, &other) < 0)
        _exit(EXIT_FAILURE);
    executor.tasks = g_ptr_array_new_with_free_func(free_task);
    run_loop(&executor);
    _exit(EXIT_SUCCESS);
}
