/* Tests of the executor with real processes. However a task spawns processes, all of them
 * must be killed when the task ends, when the lease expires and when the agent exits;
 * those that a killed executor leaves are killed by the next one. */
#include "worker/executor.h"
#include "util/clock.h"
#include "util/process.h"
#include "util/thread.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static char dir[128], err[256], *mark;
static const double TIMEOUT_S = 60;

static int create_directory(void **state)
{
    (void)state;
    g_snprintf(dir, sizeof dir, "/tmp/lemonspar-executor-%d", (int)getpid());
    lmn_tree_remove(dir);
    g_mkdir_with_parents(dir, 0755);
    mark = lmn_executor_environment_mark(dir);
    return 0;
}

static int remove_directory(void **state)
{
    (void)state;
    lmn_kill_all_with_environment_entry(mark, 10);
    lmn_tree_remove(dir);
    g_free(mark);
    return 0;
}

static int start_executor(void)
{
    int sock = lmn_executor_start(dir, mark, err, sizeof err);
    if (sock < 0)
        fail_msg("%s", err);
    return sock;
}

static void send_message(int sock, GByteArray *message)
{
    assert_int_equal(send(sock, message->data, message->len, 0), message->len);
    g_byte_array_unref(message);
}

static void start_task(int sock, uint64_t id, const char *script)
{
    char *argv[] = {(char *)"sh", (char *)"-c", (char *)script, NULL};
    char *env[] = {(char *)"GREETING=hello", NULL};
    char *cwd = g_strdup_printf("%s/%d", dir, (int)id);

    g_mkdir_with_parents(cwd, 0755);
    send_message(sock, lmn_executor_encode_start(id, argv, env, cwd, 100));
    g_free(cwd);
}

static struct lmn_executor_event_message receive_event(int sock)
{
    struct lmn_executor_event_message message;
    struct pollfd descriptor = {sock, POLLIN, 0};
    char buffer[1024];

    assert_int_equal(poll(&descriptor, 1, (int)(TIMEOUT_S * 1000)), 1);
    ssize_t len = recv(sock, buffer, sizeof buffer, 0);
    assert_true(len > 0);
    assert_int_equal(lmn_executor_event_decode(buffer, (size_t)len, &message), 0);
    return message;
}

static char *output(int id, const char *stream)
{
    char *path = g_strdup_printf("%s/%d/%s", dir, id, stream), *text = NULL;
    g_file_get_contents(path, &text, NULL, NULL);
    g_free(path);
    return text ? text : g_strdup("");
}

static void wait_for_file(const char *name)
{
    struct timespec end = lmn_time_add(lmn_now(), TIMEOUT_S);
    char *path = g_build_filename(dir, name, NULL);
    while (access(path, F_OK) != 0) {
        assert_true(lmn_time_before(lmn_now(), end));
        lmn_sleep(0.01);
    }
    g_free(path);
}

/* A script that spawns children in its process group, in a session of their own, and
 * orphans of both kinds, and then creates the file `ready`. */
static char *spawning_script(const char *ready)
{
    return g_strdup_printf(
        "sleep 1000 & (sleep 1000 &) ; setsid sleep 1000 & "
        "(setsid sh -c 'sleep 1000 & sleep 1000' &) ; sleep 0.2; : > %s/%s; ",
        dir, ready);
}

static void wait_until_no_marked_process(void)
{
    struct timespec end = lmn_time_add(lmn_now(), TIMEOUT_S);
    while (lmn_kill_with_environment_entry("none=such") || true) {
        /* Looks for this test's mark in /proc: lmn_kill_with_environment_entry(mark)
         * would kill the processes that the executor has to kill. */
        bool any_left = false;
        GDir *directory = g_dir_open("/proc", 0, NULL);
        const char *name;
        while ((name = g_dir_read_name(directory))) {
            char path[64], *bytes = NULL;
            gsize len = 0;
            if (!g_ascii_isdigit(*name))
                continue;
            g_snprintf(path, sizeof path, "/proc/%s/environ", name);
            if (g_file_get_contents(path, &bytes, &len, NULL))
                any_left = any_left || memmem(bytes, len, mark, strlen(mark));
            g_free(bytes);
        }
        g_dir_close(directory);
        if (!any_left)
            return;
        assert_true(lmn_time_before(lmn_now(), end));
        lmn_sleep(0.01);
    }
}

static void task_exits_with_status_output_and_start_errors_are_reported(void **state)
{
    int sock = start_executor();
    (void)state;

    start_task(sock, 1, "echo $GREETING; echo oops >&2; exit 3");
    struct lmn_executor_event_message message = receive_event(sock);
    assert_int_equal(message.event, LMN_EXECUTOR_EXITED);
    assert_int_equal(message.id, 1);
    assert_int_equal(WEXITSTATUS(message.status), 3);
    char *out = output(1, "stdout"), *errors = output(1, "stderr");
    assert_string_equal(out, "hello\n");
    assert_string_equal(errors, "oops\n");
    g_free(out);
    g_free(errors);
    /* Output beyond the limit is dropped, and the log says so. */
    start_task(sock, 2,
               "i=0; while [ $i -lt 500 ]; do echo 0123456789; i=$((i+1)); done");
    message = receive_event(sock);
    assert_int_equal(WEXITSTATUS(message.status), 0);
    out = output(2, "stdout");
    assert_true(strlen(out) < 200);
    assert_non_null(strstr(out, "dropped"));
    g_free(out);
    /* A task that can't be started is reported with the reason. */
    char *argv[] = {(char *)"/no/such/program", NULL}, *none[] = {NULL};
    send_message(sock, lmn_executor_encode_start(3, argv, none, dir, 100));
    message = receive_event(sock);
    assert_int_equal(message.event, LMN_EXECUTOR_START_FAILED);
    assert_non_null(strstr(message.reason, "No such file"));
    close(sock);
}

static void end_of_a_task_kills_all_its_processes(void **state)
{
    int sock = start_executor();
    char *spawning = spawning_script("up"),
         *script = g_strdup_printf("%s exit 0", spawning);
    (void)state;

    start_task(sock, 1, script); /* exits and leaves processes behind */
    struct lmn_executor_event_message message = receive_event(sock);
    assert_int_equal(message.event, LMN_EXECUTOR_EXITED);
    wait_until_no_marked_process();
    g_free(script);
    script = g_strdup_printf("trap '' TERM; %s sleep 1000", spawning);
    char *up = g_build_filename(dir, "up", NULL);
    unlink(up);
    g_free(up);
    start_task(sock, 2, script);
    wait_for_file("up");
    send_message(sock, lmn_executor_encode_kill(2));
    message = receive_event(sock);
    assert_int_equal(message.id, 2);
    assert_int_equal(WTERMSIG(message.status), SIGKILL);
    wait_until_no_marked_process();
    g_free(script);
    g_free(spawning);
    close(sock);
}

static void saving_task_is_killed_only_after_its_grace_period(void **state)
{
    int sock = start_executor();
    (void)state;

    start_task(sock, 1, "trap 'exit 75' TERM; : > ../up1; while :; do sleep 0.05; done");
    wait_for_file("up1");
    send_message(sock, lmn_executor_encode_save(1, 1000));
    struct lmn_executor_event_message message = receive_event(sock);
    assert_true(WIFEXITED(message.status) && WEXITSTATUS(message.status) == 75);
    start_task(sock, 2, "trap '' TERM; : > ../up2; while :; do sleep 0.05; done");
    wait_for_file("up2");
    send_message(sock, lmn_executor_encode_save(2, 0.1));
    message = receive_event(sock);
    assert_true(WIFSIGNALED(message.status) && WTERMSIG(message.status) == SIGKILL);
    close(sock);
}

static void executor_kills_all_tasks_when_the_lease_expires(void **state)
{
    int sock = start_executor();
    char *script = spawning_script("up");
    struct timespec now;
    (void)state;

    start_task(sock, 1, script);
    wait_for_file("up");
    clock_gettime(CLOCK_BOOTTIME, &now);
    /* The test sends nothing more, like a suspended agent: the executor must act alone.
     */
    send_message(sock, lmn_executor_encode_lease(lmn_time_add(now, 0.2)));
    struct lmn_executor_event_message message = receive_event(sock);
    while (message.event != LMN_EXECUTOR_LEASE_EXPIRED)
        message = receive_event(sock);
    wait_until_no_marked_process();
    send_message(sock, lmn_executor_encode_kill_all());
    message = receive_event(sock);
    assert_int_equal(message.event, LMN_EXECUTOR_ALL_KILLED);
    g_free(script);
    close(sock);
}

static void executor_kills_all_tasks_and_exits_with_the_agent(void **state)
{
    int sock = start_executor();
    char *script = spawning_script("up"),
         *lock = g_build_filename(dir, "keeper.lock", NULL);
    (void)state;

    start_task(sock, 1, script);
    wait_for_file("up");
    close(sock); /* as when the agent exits */
    assert_true(lmn_lock_wait(lock, TIMEOUT_S));
    wait_until_no_marked_process();
    g_free(script);
    g_free(lock);
}

static void next_executor_kills_what_a_killed_one_left(void **state)
{
    int sock = start_executor();
    char *script = spawning_script("up"),
         *lock = g_build_filename(dir, "keeper.lock", NULL);
    (void)state;

    start_task(sock, 1, script);
    wait_for_file("up");
    assert_true(lmn_lock_signal(lock, SIGKILL));
    assert_true(lmn_lock_wait(lock, TIMEOUT_S));
    close(sock);
    sock = start_executor(); /* returns only when no process of the first one is left */
    wait_until_no_marked_process();
    start_task(sock, 1, "exit 0");
    assert_int_equal(receive_event(sock).event, LMN_EXECUTOR_EXITED);
    g_free(script);
    g_free(lock);
    close(sock);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            task_exits_with_status_output_and_start_errors_are_reported, create_directory,
            remove_directory),
        cmocka_unit_test_setup_teardown(end_of_a_task_kills_all_its_processes,
                                        create_directory, remove_directory),
        cmocka_unit_test_setup_teardown(saving_task_is_killed_only_after_its_grace_period,
                                        create_directory, remove_directory),
        cmocka_unit_test_setup_teardown(executor_kills_all_tasks_when_the_lease_expires,
                                        create_directory, remove_directory),
        cmocka_unit_test_setup_teardown(executor_kills_all_tasks_and_exits_with_the_agent,
                                        create_directory, remove_directory),
        cmocka_unit_test_setup_teardown(next_executor_kills_what_a_killed_one_left,
                                        create_directory, remove_directory),
    };
    signal(SIGPIPE, SIG_IGN);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
