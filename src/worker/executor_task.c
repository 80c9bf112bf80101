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

static const char DROPPED[] = "\n[lemonspar: further output was dropped]\n";
static const char *const log_names[LMN_EXECUTOR_STREAMS] = {"stdout", "stderr"};
enum { LOG_MODE = 0644, READ_SIZE = 16384, MAX_PATH = 4096 };
/* Exit statuses of a child that could not become the task, as a shell has them. */
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
        return; /* it was read all the same, so that the task isn't held up */
    size_t kept = MIN(len, *room);
    *room -= kept;
    if (write(task->logs[stream], bytes, kept) < 0)
        *room = 0;
    if (!*room && write(task->logs[stream], DROPPED, sizeof DROPPED - 1) < 0)
        return; /* a full disk costs the output, but not the task */
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

/* What a task is started with. */
struct start_request {
    char **argv, **env;
    char cwd[MAX_PATH];
    uint64_t log_bytes;
};

/* A NULL-terminated vector of the list's texts and of one more, unless that is NULL. */
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

/* Opens the pipes and logs. `outputs` gets the task's ends of the pipes, -1 for none.
 * Returns 0 or an errno value; then some may be open. */
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
        /* Only the executor's end must not block: tasks expect a pipe that does. */
        if (outputs[stream] >= 0)
            fcntl(outputs[stream], F_SETFL, 0);
    }
    return error;
}

/* The executor blocks and ignores signals; the task must not inherit that: an ignored
 * signal stays ignored, and sh can't even trap it. */
static void reset_signals(void)
{
    static const int ignored[] = {SIGPIPE, SIGTERM, SIGINT, SIGHUP};
    sigset_t none;

    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, NULL);
    for (guint i = 0; i < G_N_ELEMENTS(ignored); i++)
        signal(ignored[i], SIG_DFL);
}

/* In the child: becomes the task. Does not return; if it fails, the errno value goes to
 * `error_pipe`, which a successful exec closes. */
G_NORETURN static void run_task(const struct start_request *request, const int *outputs,
                                int error_pipe, pid_t executor)
{
    int in = open("/dev/null", O_RDONLY);

    setsid();
    /* If the executor is killed, its tasks are, too. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != executor)
        _exit(EXIT_NOT_STARTED); /* it was gone before the line above */
    reset_signals();
    dup2(in, STDIN_FILENO);
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

/* Forks the task and waits until it has become its program. Returns 0 or an errno value;
 * after a failed exec the child is still to be reaped. */
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
    /* Without the executor's copies the pipes end when the last process of the task
     * closes them. */
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
