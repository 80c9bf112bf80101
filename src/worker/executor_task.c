/** @file
 * Starts a task's process and keeps its output (worker/executor_task.h). */
#include "worker/executor_task.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static const char DROPPED_MESSAGE[] = "\n[lemonspar: further output was dropped]\n";
static const char *const log_names[LMN_EXECUTOR_STREAMS] = {"stdout", "stderr"};
enum { LOG_MODE = 0644, READ_SIZE = 16384, MAX_PATH_SIZE = 4096 };
/* Exit statuses of a child that could not execute the program, like those of a shell. */
enum { EXIT_NOT_REPORTED = 126, EXIT_NOT_STARTED = 127 };

/* --- output --- */

static void close_stream(struct lmn_executor_task *task, int stream)
{
    if (task->pipes[stream] >= 0)
        close(task->pipes[stream]);
    if (task->logs[stream] >= 0)
        close(task->logs[stream]);
    task->pipes[stream] = task->logs[stream] = -1;
}

static void keep_output(struct lmn_executor_task *task, int stream, const char *bytes,
                        size_t len)
{
    uint64_t *room = &task->log_room[stream];

    if (!*room)
        return; /* the pipe was read nevertheless: a full pipe would block the task */
    size_t kept = MIN(len, *room);
    *room -= kept;
    if (write(task->logs[stream], bytes, kept) < 0)
        *room = 0;
    if (!*room &&
        write(task->logs[stream], DROPPED_MESSAGE, sizeof DROPPED_MESSAGE - 1) < 0)
        return; /* on a full disk the output is lost, but the task continues */
}

void lmn_executor_task_read_output(struct lmn_executor_task *task, int stream)
{
    char bytes[READ_SIZE];
    ssize_t len;

    while (task->pipes[stream] >= 0 &&
           (len = read(task->pipes[stream], bytes, sizeof bytes)) != 0) {
        if (len < 0 && errno == EINTR)
            continue;
        if (len < 0 && errno == EAGAIN)
            return;
        if (len < 0)
            break;
        keep_output(task, stream, bytes, (size_t)len);
    }
    if (task->pipes[stream] >= 0)
        close_stream(task, stream);
}

void lmn_executor_task_free(struct lmn_executor_task *task)
{
    for (int stream = 0; stream < LMN_EXECUTOR_STREAMS; stream++)
        close_stream(task, stream);
    g_free(task);
}

/* --- the start --- */

/* The content of a message of lmn_executor_encode_start(). */
struct start_request {
    char **argv, **env;
    char cwd[MAX_PATH_SIZE];
    uint64_t log_bytes;
};

/* Copies the list's texts, then `last` unless it is NULL, into a NULL-terminated array.
 */
static char **copy_texts(const struct lmn_cbor_document *document,
                         const struct lmn_cbor_value *list, const char *last)
{
    GPtrArray *texts = g_ptr_array_new();

    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, list); node;
         node = lmn_cbor_next(document, node))
        if (node->type == LMN_CBOR_TEXT)
            g_ptr_array_add(texts, g_strndup(node->text, node->len));
    if (last)
        g_ptr_array_add(texts, g_strdup(last));
    g_ptr_array_add(texts, NULL);
    return (char **)g_ptr_array_free(texts, FALSE);
}

static void read_start_request(struct start_request *request,
                               const struct lmn_cbor_document *document, const char *mark)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document);

    memset(request, 0, sizeof *request);
    lmn_cbor_get_text(lmn_cbor_get(document, root, "cwd"), request->cwd,
                      sizeof request->cwd);
    lmn_cbor_get_uint(lmn_cbor_get(document, root, "log"), &request->log_bytes);
    request->argv = copy_texts(document, lmn_cbor_get(document, root, "argv"), NULL);
    request->env = copy_texts(document, lmn_cbor_get(document, root, "env"), mark);
}

static void clear_start_request(struct start_request *request)
{
    g_strfreev(request->argv);
    g_strfreev(request->env);
}

static int open_log(const char *cwd, const char *name)
{
    g_autofree char *path = g_build_filename(cwd, name, NULL);

    return open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, LOG_MODE);
}

/* Opens the pipes and logs. `outputs` receives the task's ends of the pipes, or -1 where
 * pipe2() failed. Returns 0 or an errno value; after an error some may be open. */
static int open_streams(struct lmn_executor_task *task,
                        const struct start_request *request, int *outputs)
{
    int error = 0;

    for (int stream = 0; stream < LMN_EXECUTOR_STREAMS; stream++) {
        int ends[2] = {-1, -1};
        if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0)
            error = errno;
        task->pipes[stream] = ends[0];
        outputs[stream] = ends[1];
        task->logs[stream] = open_log(request->cwd, log_names[stream]);
        task->log_room[stream] = request->log_bytes;
        if (task->logs[stream] < 0)
            error = errno;
        /* Only the executor's end is non-blocking: tasks expect writes to block. */
        if (outputs[stream] >= 0)
            fcntl(outputs[stream], F_SETFL, 0);
    }
    return error;
}

/* Restores the signals that the executor blocks or ignores, which the task would inherit:
 * a shell, for instance, can't trap a signal that was ignored when it started. */
static void reset_signals(void)
{
    static const int ignored[] = {SIGPIPE, SIGTERM, SIGINT, SIGHUP};
    sigset_t empty_set;

    sigemptyset(&empty_set);
    sigprocmask(SIG_SETMASK, &empty_set, NULL);
    for (guint i = 0; i < G_N_ELEMENTS(ignored); i++)
        signal(ignored[i], SIG_DFL);
}

/* Executes the task's program in the child. Does not return. On failure it writes the
 * errno value to `error_pipe`, which a successful exec closes. */
G_NORETURN static void run_task(const struct start_request *request, const int *outputs,
                                int error_pipe, pid_t executor)
{
    int input = open("/dev/null", O_RDONLY);

    setsid();
    /* If the executor is killed, the kernel kills this process, too. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != executor)
        _exit(EXIT_NOT_STARTED); /* the executor ended before prctl() */
    reset_signals();
    dup2(input, STDIN_FILENO);
    dup2(outputs[0], STDOUT_FILENO);
    dup2(outputs[1], STDERR_FILENO);
    for (char **variable = request->env; *variable; variable++)
        putenv(*variable);
    if (chdir(request->cwd) == 0)
        execvp(request->argv[0], request->argv);
    int error = errno;
    if (write(error_pipe, &error, sizeof error) < 0)
        _exit(EXIT_NOT_REPORTED);
    _exit(EXIT_NOT_STARTED);
}

/* Forks the task and waits until its program has been executed. Returns 0 or an errno
 * value; after a failed exec the caller must reap the child. */
static int spawn_task(struct lmn_executor_task *task, const struct start_request *request,
                      const int *outputs)
{
    int error_pipe[2], error = 0;
    pid_t self = getpid();

    if (pipe2(error_pipe, O_CLOEXEC) != 0)
        return errno;
    task->pid = fork();
    if (task->pid == 0)
        run_task(request, outputs, error_pipe[1], self);
    if (task->pid < 0)
        error = errno;
    close(error_pipe[1]);
    if (!error && read(error_pipe[0], &error, sizeof error) != sizeof error)
        error = 0;
    close(error_pipe[0]);
    return error;
}

struct lmn_executor_task *
lmn_executor_task_start(const struct lmn_cbor_document *document, uint64_t id,
                        const char *mark, int *error)
{
    struct lmn_executor_task *task = g_new0(struct lmn_executor_task, 1);
    int outputs[LMN_EXECUTOR_STREAMS];
    struct start_request request;

    task->id = id;
    read_start_request(&request, document, mark);
    *error = open_streams(task, &request, outputs);
    if (!request.argv[0])
        *error = EINVAL;
    if (!*error)
        *error = spawn_task(task, &request, outputs);
    clear_start_request(&request);
    /* Closes the executor's copies, so that the pipes end when the last process of the
     * task closes its own. */
    for (int stream = 0; stream < LMN_EXECUTOR_STREAMS; stream++)
        if (outputs[stream] >= 0)
            close(outputs[stream]);
    if (!*error)
        return task;
    if (task->pid > 0)
        waitpid(task->pid, NULL, 0);
    lmn_executor_task_free(task);
    return NULL;
}
