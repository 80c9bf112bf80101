/**
 * @file
 * Supervision of a site's processes.
 *
 * Each process holds the lock of its file data/run/NAME.lock from before it runs: the
 * supervisor opens and locks the file, and the process inherits the open descriptor. So
 * whether a process runs is never decided by a process number, which may be in use again,
 * and a supervisor that was killed leaves nothing that its successor could start twice.
 *
 * The supervisor has one thread; the processes' states belong to lmn_site_run().
 */
#include "worker/executor.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/process.h"
#include "util/thread.h"
#include "machine_provider/local_agents.h"
#include "site/site.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
    FILE_MODE = 0644,
    PID_TEXT_SIZE = 32,
    EXIT_EXEC_FAILED = 127, /**< as shells have it */
};

/** How long a process has for its end after SIGKILL. */
static const double KILL_TIMEOUT_S = 8;
/** How long a supervisor has for its end, in which it ends the site, after SIGTERM. */
static const double SUPERVISOR_STOP_TIMEOUT_S = 40;
/** The pause between two rounds; shorter after a start, since then others may be due. */
static const double ROUND_PAUSE_S = 0.2;
static const double ROUND_PAUSE_AFTER_START_S = 0.05;

/** What the supervisor knows of a process. */
struct supervised {
    const struct lmn_site_process *process;
    pid_t pid;        /**< 0: not a child of this supervisor, or not running */
    bool was_running; /**< it was started or seen running */
    unsigned starts;  /**< by this supervisor */
    struct lmn_backoff backoff;
    char exit_reason[128]; /**< of its last end; "" if it has not ended */
};

static volatile sig_atomic_t stopping;

static void on_stop_signal(int signal_number)
{
    (void)signal_number;
    stopping = 1;
}

bool lmn_site_up(const struct lmn_site *site, const char *name, int *pid)
{
    g_autofree char *path = lmn_site_path(site, name, ".lock");
    pid_t holder;
    bool is_up = lmn_lock_held(path, &holder);

    *pid = is_up ? (int)holder : 0;
    return is_up;
}

/* --- starting --- */

static void redirect_standard_streams(int log_fd)
{
    int null_fd = open("/dev/null", O_RDONLY);

    dup2(null_fd, STDIN_FILENO);
    dup2(log_fd, STDOUT_FILENO);
    dup2(log_fd, STDERR_FILENO);
}

/** The child must not inherit what the supervisor has set for itself. */
static void reset_signals(void)
{
    sigset_t none;

    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, NULL);
    signal(SIGTERM, SIG_DFL);
    signal(SIGINT, SIG_DFL);
}

static void set_environment(const struct lmn_site *site, int lock_fd)
{
    char text[16];

    /* The process must hold the lock, and what it starts must not (lmn_cli_main). */
    g_snprintf(text, sizeof text, "%d", lock_fd);
    setenv(LMN_LOCK_FD, text, 1);
    setenv("LOG_LEVEL", site->log_level, 1);
    setenv("LOG_FORMAT", site->log_format, 1);
}

/** Runs the process's program in this child process; doesn't return. The lock's
 * descriptor stays open. */
static void exec_process(const struct lmn_site *site,
                         const struct lmn_site_process *process, int log_fd, int lock_fd)
{
    /* The program's path before the arguments, NULL behind them. */
    char *argv[G_N_ELEMENTS(process->argv) + 2] = {(char *)lmn_self_path()};

    for (size_t i = 0; i < G_N_ELEMENTS(process->argv) && process->argv[i]; i++)
        argv[i + 1] = process->argv[i];
    setsid();
    reset_signals();
    redirect_standard_streams(log_fd);
    set_environment(site, lock_fd);
    execv(argv[0], argv);
    dprintf(STDERR_FILENO, "error exec-failed error=\"%s\"\n", strerror(errno));
    _exit(EXIT_EXEC_FAILED);
}

/** Writes the process's number into its lock file, for whoever reads the file. */
static void write_pid(const struct supervised *supervised, int lock_fd)
{
    char text[PID_TEXT_SIZE];
    int length = g_snprintf(text, sizeof text, "%ld\n", (long)supervised->pid);

    if (ftruncate(lock_fd, 0) != 0 || pwrite(lock_fd, text, (size_t)length, 0) != length)
        lmn_error("process_lock_write_failed process=%s", supervised->process->name);
}

static void fork_process(const struct lmn_site *site, struct supervised *supervised,
                         int log_fd, int lock_fd)
{
    supervised->pid = fork();
    if (supervised->pid == 0)
        exec_process(site, supervised->process, log_fd, lock_fd);
    write_pid(supervised, lock_fd);
    supervised->starts++;
    supervised->was_running = true;
    lmn_info("process_started process=%s pid=%ld", supervised->process->name,
             (long)supervised->pid);
}

static void start_process(const struct lmn_site *site, struct supervised *supervised)
{
    const char *name = supervised->process->name;
    g_autofree char *lock_path = lmn_site_path(site, name, ".lock");
    g_autofree char *log_path = lmn_site_path(site, name, ".log");
    int lock_fd = open(lock_path, O_RDWR | O_CREAT, FILE_MODE);
    int log_fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, FILE_MODE);

    lmn_backoff_started(&supervised->backoff, lmn_now());
    if (lock_fd < 0 || log_fd < 0 || flock(lock_fd, LOCK_EX | LOCK_NB) != 0)
        lmn_error("start_failed process=%s error=\"%s\"", name, strerror(errno));
    else
        fork_process(site, supervised, log_fd, lock_fd);
    /* The process has inherited both, and with them the lock. */
    if (lock_fd >= 0)
        close(lock_fd);
    if (log_fd >= 0)
        close(log_fd);
}

/* --- watching --- */

static void record_exit(struct supervised *supervised, int status)
{
    if (WIFSIGNALED(status))
        g_snprintf(supervised->exit_reason, sizeof supervised->exit_reason,
                   "signal %d (%s)", WTERMSIG(status), strsignal(WTERMSIG(status)));
    else
        g_snprintf(supervised->exit_reason, sizeof supervised->exit_reason,
                   "exit status %d", WEXITSTATUS(status));
    lmn_info("process_exited process=%s pid=%ld why=\"%s\"", supervised->process->name,
             (long)supervised->pid, supervised->exit_reason);
    supervised->pid = 0;
}

static void reap_children(struct supervised *supervised, unsigned count)
{
    pid_t pid;
    int status;

    while ((pid = waitpid(-1, &status, WNOHANG)) > 0)
        for (unsigned i = 0; i < count; i++)
            if (supervised[i].pid == pid)
                record_exit(&supervised[i], status);
}

/** Writes data/run/status, which 'lemonspar site status' reads. */
static void write_status(const struct lmn_site *site, const struct supervised *supervised,
                         unsigned count)
{
    g_autofree char *path = lmn_site_path(site, "status", "");
    GString *text = g_string_new(NULL);

    for (unsigned i = 0; i < count; i++)
        g_string_append_printf(text, "%s\t%u\t%s\n", supervised[i].process->name,
                               supervised[i].starts, supervised[i].exit_reason);
    g_file_set_contents(path, text->str, (gssize)text->len, NULL);
    g_string_free(text, TRUE);
}

/** Starts the process if it doesn't run and its backoff has passed.
 * @return whether a start was tried */
static bool start_if_due(const struct lmn_site *site, struct supervised *supervised)
{
    const char *name = supervised->process->name;
    int pid;

    if (lmn_site_up(site, name, &pid)) {
        if (!supervised->was_running)
            lmn_info("process_adopted process=%s pid=%d", name, pid);
        supervised->was_running = true;
        return false;
    }
    /* Nobody can wait for the exit status of a process that is not a child. */
    if (supervised->was_running && !supervised->pid && !*supervised->exit_reason)
        g_strlcpy(supervised->exit_reason, "unknown: it was an earlier supervisor's",
                  sizeof supervised->exit_reason);
    if (supervised->was_running && !lmn_backoff_due(&supervised->backoff, lmn_now()))
        return false;
    start_process(site, supervised);
    return true;
}

static void supervise_until_stopped(const struct lmn_site *site,
                                    struct supervised *supervised, unsigned count)
{
    while (!stopping) {
        bool any_started = false;
        reap_children(supervised, count);
        for (unsigned i = 0; i < count; i++)
            any_started = start_if_due(site, &supervised[i]) || any_started;
        write_status(site, supervised, count);
        lmn_sleep(any_started ? ROUND_PAUSE_AFTER_START_S : ROUND_PAUSE_S);
    }
}

/* --- ending --- */

static bool end_process(const struct lmn_site *site, const char *name)
{
    g_autofree char *path = lmn_site_path(site, name, ".lock");

    /* Not SIGTERM: a process has nothing to save at its end, since it saves everything
     * before it responds. */
    return !lmn_lock_signal(path, SIGKILL) || lmn_lock_wait(path, KILL_TIMEOUT_S);
}

static bool end_machines(const struct lmn_site *site)
{
    g_autofree char *root = g_build_filename(site->data, "fleet", "machines", NULL);
    g_autoptr(GDir) machines = g_dir_open(root, 0, NULL);
    const char *name;
    bool all_ended = true;

    while (machines && (name = g_dir_read_name(machines))) {
        g_autofree char *directory = g_build_filename(root, name, NULL);
        g_autofree char *mark = lmn_executor_environment_mark(directory);
        all_ended =
            lmn_executor_kill_machine_processes(directory, mark, KILL_TIMEOUT_S) &&
            all_ended;
    }
    return all_ended;
}

/** Ends all processes but the supervisor, and the machines; goes on if one can't be
 * ended. */
static bool end_all(const struct lmn_site *site)
{
    /* The machine provider first, since it would start machines again. */
    bool all_ended = end_process(site, "fleet");

    for (unsigned i = site->process_count; i-- > 0;)
        if (strcmp(site->processes[i].name, "state"))
            all_ended = end_process(site, site->processes[i].name) && all_ended;
    all_ended = end_machines(site) && all_ended;
    /* The key-value store last, since all others use it. */
    return end_process(site, "state") && all_ended;
}

static bool end_supervisor(const struct lmn_site *site)
{
    g_autofree char *path = lmn_site_path(site, "supervisor", ".lock");

    if (!lmn_lock_signal(path, SIGTERM) || lmn_lock_wait(path, SUPERVISOR_STOP_TIMEOUT_S))
        return true;
    return lmn_lock_signal(path, SIGKILL) && lmn_lock_wait(path, KILL_TIMEOUT_S);
}

bool lmn_site_end(const struct lmn_site *site)
{
    /* The supervisor first, since it would start the others again. */
    bool is_supervisor_ended = end_supervisor(site);

    return end_all(site) && is_supervisor_ended;
}

/* --- the supervisor --- */

static void handle_signals(void)
{
    struct sigaction action = {.sa_handler = on_stop_signal};

    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    /* The supervisor outlives the terminal that it was started from. */
    signal(SIGHUP, SIG_IGN);
}

int lmn_site_run(struct lmn_site *site)
{
    static struct supervised supervised[LMN_SITE_PROCESSES];
    g_autofree char *lock_path = lmn_site_path(site, "supervisor", ".lock");
    char err[512];
    pid_t other;

    if (lmn_site_write(site, err, sizeof err) != 0) {
        lmn_error("settings_write_failed why=\"%s\"", err);
        return 1;
    }
    if (lmn_lock_file(lock_path, &other) < 0) {
        lmn_error("supervisor_already_running pid=%ld", (long)other);
        return 1;
    }
    handle_signals();
    lmn_info("supervisor_started site=%s processes=%u", site->name, site->process_count);
    for (unsigned i = 0; i < site->process_count; i++)
        supervised[i].process = &site->processes[i];
    supervise_until_stopped(site, supervised, site->process_count);
    lmn_info("supervisor_stopped");
    return end_all(site) ? 0 : 1;
}
