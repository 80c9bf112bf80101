/* Supervision. Each process holds the lock of its file data/run/NAME.lock from before it
 * runs: the supervisor opens and locks it, and the process inherits the open file. So
 * whether a process runs is never a matter of numbers, and a supervisor that was killed
 * leaves nothing that its successor could start twice. */
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

static const double END_S = 8;

struct watched {
    const struct lmn_site_process *p;
    pid_t pid;  /* 0: not a child of ours, or not running */
    bool known; /* it was seen running */
    unsigned starts;
    struct lmn_backoff backoff;
    char why[128]; /* of its last end */
};

static volatile sig_atomic_t stopping;

static void on_stop(int sig)
{
    (void)sig;
    stopping = 1;
}

bool lmn_site_up(const struct lmn_site *site, const char *name, int *pid)
{
    char *path = lmn_site_path(site, name, ".lock");
    pid_t holder;
    bool up = lmn_lock_held(path, &holder);

    *pid = up ? (int)holder : 0;
    g_free(path);
    return up;
}

/* In the child: becomes the process. lock stays open. */
static void become(const struct lmn_site *site, const struct lmn_site_process *process,
                   int log, int lock)
{
    char fd[16];
    char *argv[8] = {(char *)lmn_self_path()};
    int in = open("/dev/null", O_RDONLY);
    sigset_t none;

    for (int i = 0; i < 6 && process->argv[i]; i++)
        argv[i + 1] = process->argv[i];
    setsid();
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, NULL);
    signal(SIGTERM, SIG_DFL);
    signal(SIGINT, SIG_DFL);
    dup2(in, 0);
    dup2(log, 1);
    dup2(log, 2);
    /* It must hold the lock, and what it starts must not (lmn_cli_main). */
    g_snprintf(fd, sizeof fd, "%d", lock);
    setenv(LMN_LOCK_FD, fd, 1);
    setenv("LOG_LEVEL", site->log_level, 1);
    setenv("LOG_FORMAT", site->log_format, 1);
    execv(argv[0], argv);
    dprintf(2, "error exec-failed error=\"%s\"\n", strerror(errno));
    _exit(127);
}

static void start(const struct lmn_site *site, struct watched *w)
{
    char *path = lmn_site_path(site, w->p->name, ".lock"),
         *log = lmn_site_path(site, w->p->name, ".log");
    int fd = open(path, O_RDWR | O_CREAT, 0644),
        out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    char pid[32];

    lmn_backoff_started(&w->backoff, lmn_now());
    if (fd < 0 || out < 0 || flock(fd, LOCK_EX | LOCK_NB) != 0) {
        lmn_error("start_failed process=%s error=\"%s\"", w->p->name, strerror(errno));
    } else {
        w->pid = fork();
        if (w->pid == 0)
            become(site, w->p, out, fd);
        int n = g_snprintf(pid, sizeof pid, "%ld\n", (long)w->pid);
        if (ftruncate(fd, 0) != 0 || pwrite(fd, pid, (size_t)n, 0) != n)
            lmn_error("process_lock_write_failed process=%s", w->p->name);
        w->starts++;
        w->known = true;
        lmn_info("process_started process=%s pid=%ld", w->p->name, (long)w->pid);
    }
    if (fd >= 0)
        close(fd); /* the process has it */
    if (out >= 0)
        close(out);
    g_free(path);
    g_free(log);
}

static void say_why(struct watched *w, int status)
{
    if (WIFSIGNALED(status))
        g_snprintf(w->why, sizeof w->why, "signal %d (%s)", WTERMSIG(status),
                   strsignal(WTERMSIG(status)));
    else
        g_snprintf(w->why, sizeof w->why, "exit status %d", WEXITSTATUS(status));
    lmn_info("process_exited process=%s pid=%ld why=\"%s\"", w->p->name, (long)w->pid,
             w->why);
    w->pid = 0;
}

static void reap(struct watched *v, unsigned n)
{
    pid_t pid;
    int status;

    while ((pid = waitpid(-1, &status, WNOHANG)) > 0)
        for (unsigned i = 0; i < n; i++)
            if (v[i].pid == pid)
                say_why(&v[i], status);
}

static void write_status(const struct lmn_site *site, const struct watched *v, unsigned n)
{
    char *path = lmn_site_path(site, "status", "");
    GString *t = g_string_new(NULL);

    for (unsigned i = 0; i < n; i++)
        g_string_append_printf(t, "%s\t%u\t%s\n", v[i].p->name, v[i].starts, v[i].why);
    g_file_set_contents(path, t->str, (gssize)t->len, NULL);
    g_string_free(t, TRUE);
    g_free(path);
}

/* Starts what does not run and is due. */
static bool look_after(const struct lmn_site *site, struct watched *w)
{
    int pid;

    if (lmn_site_up(site, w->p->name, &pid)) {
        if (!w->known)
            lmn_info("process_adopted process=%s pid=%d", w->p->name, pid);
        w->known = true;
        return false;
    }
    if (w->known && !w->pid && !*w->why)
        g_strlcpy(w->why, "unknown: it was an earlier supervisor's", sizeof w->why);
    if (w->known && !lmn_backoff_due(&w->backoff, lmn_now()))
        return false;
    start(site, w);
    return true;
}

static bool end_process(const struct lmn_site *site, const char *name)
{
    char *path = lmn_site_path(site, name, ".lock");
    bool ended = true;

    /* SIGTERM would do for all of them: none has anything to save that is not saved. */
    if (lmn_lock_signal(path, SIGKILL))
        ended = lmn_lock_wait(path, END_S);
    g_free(path);
    return ended;
}

static bool end_machines(const struct lmn_site *site)
{
    char *root = g_build_filename(site->data, "fleet", "machines", NULL);
    GDir *d = g_dir_open(root, 0, NULL);
    const char *name;
    bool ok = true;

    while (d && (name = g_dir_read_name(d))) {
        char *dir = g_build_filename(root, name, NULL), *mark = lmn_executor_mark(dir);
        ok = lmn_executor_clear(dir, mark, END_S) && ok;
        g_free(dir);
        g_free(mark);
    }
    if (d)
        g_dir_close(d);
    g_free(root);
    return ok;
}

static bool end_all(const struct lmn_site *site)
{
    bool ok = true;

    /* The fleet first, which would start machines again; the state service last. */
    ok = end_process(site, "fleet") && ok;
    for (unsigned i = site->nprocesses; i-- > 0;)
        if (strcmp(site->processes[i].name, "state"))
            ok = end_process(site, site->processes[i].name) && ok;
    ok = end_machines(site) && ok;
    return end_process(site, "state") && ok;
}

bool lmn_site_end(const struct lmn_site *site)
{
    char *path = lmn_site_path(site, "supervisor", ".lock");
    bool ok = true;

    if (lmn_lock_signal(path, SIGTERM) && !lmn_lock_wait(path, 5 * END_S))
        ok = lmn_lock_signal(path, SIGKILL) && lmn_lock_wait(path, END_S);
    g_free(path);
    return end_all(site) && ok;
}

int lmn_site_run(struct lmn_site *site)
{
    static struct watched v[LMN_SITE_PROCESSES];
    char *path = lmn_site_path(site, "supervisor", ".lock"), err[512];
    struct sigaction on = {.sa_handler = on_stop};
    pid_t other;

    if (lmn_site_write(site, err, sizeof err) != 0) {
        lmn_error("settings_write_failed why=\"%s\"", err);
        return 1;
    }
    if (lmn_lock_file(path, &other) < 0) {
        lmn_error("supervisor_already_running pid=%ld", (long)other);
        return 1;
    }
    g_free(path);
    sigaction(SIGTERM, &on, NULL);
    sigaction(SIGINT, &on, NULL);
    signal(SIGHUP, SIG_IGN);
    lmn_info("supervisor_started site=%s processes=%u", site->name, site->nprocesses);
    for (unsigned i = 0; i < site->nprocesses; i++)
        v[i].p = &site->processes[i];
    while (!stopping) {
        bool any = false;
        reap(v, site->nprocesses);
        for (unsigned i = 0; i < site->nprocesses; i++)
            any = look_after(site, &v[i]) || any;
        write_status(site, v, site->nprocesses);
        lmn_sleep(any ? 0.05 : 0.2);
    }
    lmn_info("supervisor_stopped");
    return end_all(site) ? 0 : 1;
}
