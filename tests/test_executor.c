/* The keeper, with real processes: whatever tasks do, nothing of them outlives their end,
 * the lease, the agent, or (by the next start) the keeper itself. */
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
static const double PATIENCE_S = 60;

static int fresh(void **state)
{
    (void)state;
    g_snprintf(dir, sizeof dir, "/tmp/lemonspar-keeper-%d", (int)getpid());
    lmn_tree_remove(dir);
    g_mkdir_with_parents(dir, 0755);
    mark = lmn_executor_mark(dir);
    return 0;
}

static int wipe(void **state)
{
    (void)state;
    lmn_kill_all_with_environment_entry(mark, 10);
    lmn_tree_remove(dir);
    g_free(mark);
    return 0;
}

static int keeper(void)
{
    int sock = lmn_executor_start(dir, mark, err, sizeof err);
    if (sock < 0)
        fail_msg("%s", err);
    return sock;
}

static void say(int sock, GByteArray *m)
{
    assert_int_equal(send(sock, m->data, m->len, 0), m->len);
    g_byte_array_unref(m);
}

static void start(int sock, uint64_t id, const char *script)
{
    char *argv[] = {(char *)"sh", (char *)"-c", (char *)script, NULL};
    char *env[] = {(char *)"GREETING=hello", NULL};
    char *cwd = g_strdup_printf("%s/%d", dir, (int)id);

    g_mkdir_with_parents(cwd, 0755);
    say(sock, lmn_executor_encode_start(id, argv, env, cwd, 100));
    g_free(cwd);
}

static struct lmn_executor_event_message hear(int sock)
{
    struct lmn_executor_event_message m;
    struct pollfd p = {sock, POLLIN, 0};
    char buf[1024];

    assert_int_equal(poll(&p, 1, (int)(PATIENCE_S * 1000)), 1);
    ssize_t n = recv(sock, buf, sizeof buf, 0);
    assert_true(n > 0);
    assert_int_equal(lmn_executor_event_decode(buf, (size_t)n, &m), 0);
    return m;
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
    struct timespec end = lmn_time_add(lmn_now(), PATIENCE_S);
    char *path = g_build_filename(dir, name, NULL);
    while (access(path, F_OK) != 0) {
        assert_true(lmn_time_before(lmn_now(), end));
        lmn_sleep(0.01);
    }
    g_free(path);
}

/* A task that spreads: children in its group, in another group, in a session of their
 * own, orphans. */
static char *spreading(const char *ready)
{
    return g_strdup_printf(
        "sleep 1000 & (sleep 1000 &) ; setsid sleep 1000 & "
        "(setsid sh -c 'sleep 1000 & sleep 1000' &) ; sleep 0.2; : > %s/%s; ",
        dir, ready);
}

static void nothing_marked_is_left(void)
{
    struct timespec end = lmn_time_add(lmn_now(), PATIENCE_S);
    while (lmn_kill_with_environment_entry("none=such") || true) {
        /* Looked for without being ended: a mark that only this test's tasks carry. */
        bool any = false;
        GDir *d = g_dir_open("/proc", 0, NULL);
        const char *name;
        while ((name = g_dir_read_name(d))) {
            char path[64], *bytes = NULL;
            gsize n = 0;
            if (!g_ascii_isdigit(*name))
                continue;
            g_snprintf(path, sizeof path, "/proc/%s/environ", name);
            if (g_file_get_contents(path, &bytes, &n, NULL))
                any = any || memmem(bytes, n, mark, strlen(mark));
            g_free(bytes);
        }
        g_dir_close(d);
        if (!any)
            return;
        assert_true(lmn_time_before(lmn_now(), end));
        lmn_sleep(0.01);
    }
}

static void tasks_end_as_they_end(void **state)
{
    int sock = keeper();
    (void)state;

    start(sock, 1, "echo $GREETING; echo oops >&2; exit 3");
    struct lmn_executor_event_message m = hear(sock);
    assert_int_equal(m.event, LMN_EXECUTOR_EXITED);
    assert_int_equal(m.id, 1);
    assert_int_equal(WEXITSTATUS(m.status), 3);
    char *out = output(1, "stdout"), *errors = output(1, "stderr");
    assert_string_equal(out, "hello\n");
    assert_string_equal(errors, "oops\n");
    g_free(out);
    g_free(errors);
    /* Output beyond the bound is dropped, and that is said. */
    start(sock, 2, "i=0; while [ $i -lt 500 ]; do echo 0123456789; i=$((i+1)); done");
    m = hear(sock);
    assert_int_equal(WEXITSTATUS(m.status), 0);
    out = output(2, "stdout");
    assert_true(strlen(out) < 200);
    assert_non_null(strstr(out, "dropped"));
    g_free(out);
    /* What can't be started says why. */
    char *argv[] = {(char *)"/no/such/program", NULL}, *none[] = {NULL};
    say(sock, lmn_executor_encode_start(3, argv, none, dir, 100));
    m = hear(sock);
    assert_int_equal(m.event, LMN_EXECUTOR_START_FAILED);
    assert_non_null(strstr(m.what, "No such file"));
    close(sock);
}

static void an_end_takes_all_along(void **state)
{
    int sock = keeper();
    char *spread = spreading("up"), *script = g_strdup_printf("%s exit 0", spread);
    (void)state;

    start(sock, 1, script); /* ends by itself, and leaves much behind */
    struct lmn_executor_event_message m = hear(sock);
    assert_int_equal(m.event, LMN_EXECUTOR_EXITED);
    nothing_marked_is_left();
    g_free(script);
    script = g_strdup_printf("trap '' TERM; %s sleep 1000", spread);
    char *up = g_build_filename(dir, "up", NULL);
    unlink(up);
    g_free(up);
    start(sock, 2, script);
    wait_for_file("up");
    say(sock, lmn_executor_encode_kill(2));
    m = hear(sock);
    assert_int_equal(m.id, 2);
    assert_int_equal(WTERMSIG(m.status), SIGKILL);
    nothing_marked_is_left();
    g_free(script);
    g_free(spread);
    close(sock);
}

static void saving_has_its_time(void **state)
{
    int sock = keeper();
    (void)state;

    start(sock, 1, "trap 'exit 75' TERM; : > ../up1; while :; do sleep 0.05; done");
    wait_for_file("up1");
    say(sock, lmn_executor_encode_save(1, 1000));
    struct lmn_executor_event_message m = hear(sock);
    assert_true(WIFEXITED(m.status) && WEXITSTATUS(m.status) == 75);
    start(sock, 2, "trap '' TERM; : > ../up2; while :; do sleep 0.05; done");
    wait_for_file("up2");
    say(sock, lmn_executor_encode_save(2, 0.1));
    m = hear(sock);
    assert_true(WIFSIGNALED(m.status) && WTERMSIG(m.status) == SIGKILL);
    close(sock);
}

static void the_lease_is_kept_by_the_keeper(void **state)
{
    int sock = keeper();
    char *script = spreading("up");
    struct timespec now;
    (void)state;

    start(sock, 1, script);
    wait_for_file("up");
    clock_gettime(CLOCK_BOOTTIME, &now);
    /* This process says no more, as if it were stopped: the keeper ends it alone. */
    say(sock, lmn_executor_encode_lease(lmn_time_add(now, 0.2)));
    struct lmn_executor_event_message m = hear(sock);
    while (m.event != LMN_EXECUTOR_LEASE_EXPIRED)
        m = hear(sock);
    nothing_marked_is_left();
    say(sock, lmn_executor_encode_kill_all());
    m = hear(sock);
    assert_int_equal(m.event, LMN_EXECUTOR_EMPTY);
    g_free(script);
    close(sock);
}

static void without_an_agent_nothing_runs(void **state)
{
    int sock = keeper();
    char *script = spreading("up"), *lock = g_build_filename(dir, "keeper.lock", NULL);
    (void)state;

    start(sock, 1, script);
    wait_for_file("up");
    close(sock); /* as the agent's death does */
    assert_true(lmn_lock_wait(lock, PATIENCE_S));
    nothing_marked_is_left();
    g_free(script);
    g_free(lock);
}

static void without_a_keeper_the_next_one_clears(void **state)
{
    int sock = keeper();
    char *script = spreading("up"), *lock = g_build_filename(dir, "keeper.lock", NULL);
    (void)state;

    start(sock, 1, script);
    wait_for_file("up");
    assert_true(lmn_lock_signal(lock, SIGKILL));
    assert_true(lmn_lock_wait(lock, PATIENCE_S));
    close(sock);
    sock = keeper(); /* returns only when nothing of the other's is left */
    nothing_marked_is_left();
    start(sock, 1, "exit 0");
    assert_int_equal(hear(sock).event, LMN_EXECUTOR_EXITED);
    g_free(script);
    g_free(lock);
    close(sock);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(tasks_end_as_they_end, fresh, wipe),
        cmocka_unit_test_setup_teardown(an_end_takes_all_along, fresh, wipe),
        cmocka_unit_test_setup_teardown(saving_has_its_time, fresh, wipe),
        cmocka_unit_test_setup_teardown(the_lease_is_kept_by_the_keeper, fresh, wipe),
        cmocka_unit_test_setup_teardown(without_an_agent_nothing_runs, fresh, wipe),
        cmocka_unit_test_setup_teardown(without_a_keeper_the_next_one_clears, fresh,
                                        wipe),
    };
    signal(SIGPIPE, SIG_IGN);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
