/* How many attempts a machine gets: as many as its heartbeats, and the messages to it,
 * can name within 64 KiB of JSON. Plays one machine with tasks that request little or
 * nothing. */
#include "owner/fixture.h"

#include "job/message_limits.h"
#include "partition/heartbeat.h"
#include "partition/heartbeat_message.h"
#include "partition/maintenance.h"
#include "partition/worker_push.h"
#include "http/client.h"
#include "scheduler/wait_reason.h"
#include "scheduler/work_stealing.h"
#include "state/fencing_token.h"
#include "util/clock.h"

#include <string.h>

/* Tests do not free their cores, so leak detection is off. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

enum { RUNS = 24 };
/* Time in which a machine works off its tasks, which take 0.2 to 4 s, in s. */
static const double RUN_S = 240;

/* Adds arrays of tasks that request little or nothing: one large one, or many. */
static void add_random_jobs(void)
{
    static const double sizes[] = {0, 0.001, 0.04, 0.1};
    bool is_one = g_rand_boolean(fixture.random);
    int count = is_one ? 1 : g_rand_int_range(fixture.random, 2, 30);

    for (int i = 0; i < count; i++)
        fixture_add_job(
            (uint32_t)g_rand_int_range(fixture.random, 1, is_one ? 3000 : 150),
            sizes[g_rand_int_range(fixture.random, 0, G_N_ELEMENTS(sizes))],
            g_rand_double_range(fixture.random, 0.2, 4));
}

static void cancel_some_jobs(void)
{
    for (int i = 0; i < fixture.job_count; i++)
        if (g_rand_double(fixture.random) < 0.3)
            fixture.jobs[i].phase = LMN_JOB_CANCELLED;
}

/* Guards against a machine that can't send its heartbeats: it was given 1,500 small tasks
 * at once, lost its lease, and was given them again. */
static void small_tasks_all_get_done_within_the_limits_of_messages(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= RUNS; seed++) {
        fixture_set_up(1, seed);
        double loss = seed % 3 ? 0.15 : 0;
        int restart_at = seed % 2 ? g_rand_int_range(fixture.random, 4, 60) : -1;
        int cancel_at = g_rand_int_range(fixture.random, 4, 60);
        guint most_runs = 0;
        fixture_step(0);
        add_random_jobs();
        int steps = 0;
        for (; steps < RUN_S / FIXTURE_STEP_S &&
               !(steps > 60 && fixture_all_jobs_are_over());
             steps++) {
            if (steps == restart_at)
                fixture_restart_controller();
            if (steps == cancel_at)
                cancel_some_jobs();
            fixture_step(loss);
            most_runs = MAX(most_runs, fixture.workers[0].agent.runs->len);
        }
        assert_true(fixture_all_jobs_are_over());
        assert_int_equal(fixture.workers[0].agent.incarnation, 1);
        assert_int_equal(fixture.workers[0].agent.refused +
                             fixture.workers[0].agent.dropped_starts,
                         0);
        assert_true(most_runs > 0);
    }
}

/* Guards against a bound that is too small for the largest entries, or larger than they
 * need. */
static void largest_entries_are_those_that_the_limit_is_computed_from(void **state)
{
    struct lmn_attempt attempt = {.index = LMN_MAX_TASKS - 1, .number = G_MAXUINT64};
    struct lmn_command_list commands = lmn_command_list_new();
    (void)state;

    memset(attempt.job_id, '9', LMN_MAX_JOB_ID_LENGTH);
    memcpy(attempt.job_id, "run-", 4);
    assert_true(lmn_job_id_is_valid(attempt.job_id));
    for (guint i = 0; i < LMN_MAX_MACHINE_ATTEMPTS; i++) {
        assert_true(lmn_command_list_has_room(&commands, LMN_MAX_KILL_COMMAND_BYTES));
        lmn_command_list_add(&commands, LMN_COMMAND_KILL, &attempt, 1.0 / 3);
    }
    assert_false(lmn_command_list_has_room(&commands, LMN_MAX_KILL_COMMAND_BYTES));
    const struct lmn_heartbeat_reply reply = {G_MAXUINT64, &commands};
    g_autoptr(GByteArray) out = g_byte_array_new();
    lmn_heartbeat_reply_encode(out, &reply);
    struct lmn_cbor_document document;
    assert_int_equal(lmn_cbor_parse(&document, out->data, out->len), 0);
    size_t size = lmn_cbor_json_size(&document, lmn_cbor_root(&document));
    /* Compact JSON lacks a space after each of 8 colons and commas in an entry; 1/3 has
     * four digits less than the longest number. */
    assert_in_range(size, LMN_MAX_MACHINE_ATTEMPTS * (LMN_MAX_KILL_COMMAND_BYTES - 8 - 6),
                    LMN_MAX_MESSAGE_LIST_BYTES);
    lmn_cbor_free(&document);
    lmn_command_list_free(&commands);
}

/* As above, for heartbeats: every attempt was stopped, and the machine's names are as
 * long as names may be. */
static void fullest_heartbeat_is_within_the_limit(void **state)
{
    (void)state;
    fixture_set_up(1, 1);
    memset(fixture.workers[0].agent.name, 'n', LMN_NAME_SIZE - 1);
    memset(fixture.workers[0].agent.address, '9', LMN_ADDRESS_SIZE - 1);
    memset(fixture.workers[0].agent.zone, 'z', LMN_NAME_SIZE - 1);
    memset(fixture.workers[0].agent.type.name, 't', LMN_NAME_SIZE - 1);
    fixture.workers[0].agent.sequence = fixture.workers[0].agent.incarnation =
        fixture.workers[0].agent.fencing_token = G_MAXUINT64 - 1;
    lmn_agent_spot_notice(&fixture.workers[0].agent, lmn_time_add(fixture.now, 1.0 / 3));
    for (int i = 0; i < LMN_MAX_MACHINE_ATTEMPTS; i++) {
        struct lmn_task_run *run = g_new0(struct lmn_task_run, 1);
        memset(run->job_id, '9', LMN_MAX_JOB_ID_LENGTH);
        run->index = LMN_MAX_TASKS - 1;
        run->attempt = G_MAXUINT64;
        run->state = LMN_RUN_ENDED;
        run->exit_reason = LMN_EXIT_STOPPED;
        g_ptr_array_add(fixture.workers[0].agent.runs, run);
    }
    g_autoptr(GByteArray) body = g_byte_array_new();
    lmn_agent_write_heartbeat(&fixture.workers[0].agent, body, fixture.now);
    fixture_check_size(0, body);
    struct lmn_cbor_document document;
    assert_int_equal(lmn_cbor_parse(&document, body->data, body->len), 0);
    const struct lmn_cbor_value *root = lmn_cbor_root(&document);
    assert_in_range(
        lmn_cbor_json_size(&document, root) -
            lmn_cbor_json_size(&document, lmn_cbor_get(&document, root, WIRE_TASKS)),
        1, LMN_MESSAGE_ENVELOPE_BYTES);
    lmn_cbor_free(&document);
}

/* A controller of an older version has started more tasks than fit. */
static void heartbeat_of_old_attempts(GByteArray *body, int attempts, uint64_t token,
                                      uint64_t sequence)
{
    lmn_cbor_put_map(body, 9);
    lmn_cbor_put_text(body, WIRE_MACHINE), lmn_cbor_put_text(body, "host-000001");
    lmn_cbor_put_text(body, WIRE_ADDRESS), lmn_cbor_put_text(body, "10.0.0.1:9000");
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, "large");
    lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, "a");
    lmn_cbor_put_text(body, WIRE_SPOT), lmn_cbor_put_bool(body, false);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(body, 1);
    lmn_cbor_put_text(body, WIRE_SEQUENCE), lmn_cbor_put_uint(body, sequence);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, token);
    lmn_cbor_put_text(body, WIRE_TASKS), lmn_cbor_put_array(body, (size_t)attempts);
    for (int i = 0; i < attempts; i++) {
        g_autofree char *task = g_strdup_printf("%s/%d", fixture.jobs[0].spec.id, i);
        lmn_cbor_put_map(body, 3);
        lmn_cbor_put_text(body, WIRE_TASK), lmn_cbor_put_text(body, task);
        lmn_cbor_put_text(body, WIRE_ATTEMPT),
            lmn_cbor_put_uint(body, ((uint64_t)FIXTURE_EPOCH << 24) + (uint64_t)i);
        lmn_cbor_put_text(body, WIRE_STATE), lmn_cbor_put_text(body, WIRE_RUNNING);
    }
}

/* Guards against a reply of more than 64 KiB, which would end none of the cancelled tasks
 * on a machine with more attempts than this version starts, and against further starts
 * there. */
static void
machine_with_too_many_attempts_is_emptied_by_replies_within_the_limit(void **state)
{
    enum { ATTEMPTS = LMN_MAX_MACHINE_ATTEMPTS + 133 };
    uint64_t sequence = 1;
    (void)state;

    fixture_set_up(1, 1);
    fixture_add_job(1000, 0, 60);
    for (int remaining = ATTEMPTS, round = 0; remaining > 0; round++) {
        g_autoptr(GByteArray) body = g_byte_array_new();
        g_autoptr(GByteArray) reply = g_byte_array_new();
        struct lmn_deferred_starts deferred;
        struct lmn_cbor_document document;
        assert_true(round < 4);
        heartbeat_of_old_attempts(body, remaining, fixture.epoch, sequence++);
        lmn_heartbeat_handle(fixture.core, body->data, body->len, reply, &deferred,
                             fixture.now);
        fixture_check_size(0, reply);
        fixture_machine(0)->record.revision = 1;
        assert_int_equal(lmn_cbor_parse(&document, reply->data, reply->len), 0);
        uint32_t commands =
            lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_COMMANDS)->len;
        lmn_cbor_free(&document);
        /* The first reply is sent before the job is cancelled: nothing may start. */
        assert_true(round > 0 ? commands > 0 : commands == 0);
        assert_true(round != 1 || fixture.core->counters.deferred_commands > 0);
        fixture.jobs[0].phase = LMN_JOB_CANCELLED;
        remaining -= (int)commands;
    }
}

/* Number of commands in the reply to a heartbeat, in which the worker gets none of them.
 */
static uint32_t count_commands_in_reply(void)
{
    g_autoptr(GByteArray) body = g_byte_array_new();
    g_autoptr(GByteArray) reply = g_byte_array_new();
    struct lmn_deferred_starts deferred;
    struct lmn_cbor_document document;

    lmn_agent_write_heartbeat(&fixture.workers[0].agent, body, fixture.now);
    lmn_heartbeat_handle(fixture.core, body->data, body->len, reply, &deferred,
                         fixture.now);
    fixture_check_size(0, reply);
    assert_int_equal(lmn_cbor_parse(&document, reply->data, reply->len), 0);
    uint32_t commands =
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_COMMANDS)->len;
    lmn_cbor_free(&document);
    return commands;
}

/* Guards against a cancelled task that runs on for a heartbeat, as the last kill of a
 * full machine had no room left. */
static void all_tasks_of_a_full_machine_are_killed_by_one_reply(void **state)
{
    (void)state;
    fixture_set_up(1, 1);
    fixture_step(0);
    struct lmn_job *job = fixture_add_job(LMN_MAX_MACHINE_ATTEMPTS, 0.01, 600);
    fixture_step(0);
    fixture_step(0);
    assert_int_equal(fixture.workers[0].agent.runs->len, LMN_MAX_MACHINE_ATTEMPTS);
    job->phase = LMN_JOB_CANCELLED;
    assert_int_equal(count_commands_in_reply(), LMN_MAX_MACHINE_ATTEMPTS);
    assert_int_equal(fixture.core->counters.deferred_commands, 0);
}

/* Guards against results that count for nothing because they have ended: the worker names
 * them until it is told to clear them. */
static void ended_attempts_count_until_they_are_cleared(void **state)
{
    (void)state;
    fixture_set_up(1, 1);
    fixture_step(0);
    fixture_add_job(3000, 0, 1);
    /* The store takes no writes, so no result may be cleared. */
    for (int i = 0; i < 40; i++) {
        fixture.now = lmn_time_add(fixture.now, FIXTURE_STEP_S);
        fixture.core->cache.fresh_at = fixture.now;
        lmn_emu_worker_pass(&fixture.workers[0], fixture.now);
        fixture_exchange_heartbeat(0, 0);
        fixture_describe_runs();
    }
    assert_int_equal(fixture.workers[0].agent.finished, LMN_MAX_MACHINE_ATTEMPTS);
    assert_int_equal(fixture_machine(0)->attempts->len, LMN_MAX_MACHINE_ATTEMPTS);
    assert_int_equal(lmn_machine_wait_reason(fixture_machine(0), fixture.now),
                     LMN_WAIT_TASK_LIMIT);
    fixture_record_done_tasks();
    for (int i = 0; i < 4; i++)
        fixture_step(0);
    assert_true(fixture.workers[0].agent.starts > LMN_MAX_MACHINE_ATTEMPTS);
}

/* Guards against a machine that waits for its next heartbeat with as many attempts as
 * that can name, though all results are recorded: 1,000 tasks of a second took twice as
 * long. */
static void recorded_results_make_room_before_the_next_heartbeat(void **state)
{
    (void)state;
    for (int is_lost = 0; is_lost <= 1; is_lost++) {
        fixture_set_up(1, 1);
        fixture_step(0);
        fixture_add_job(3000, 0, 1);
        for (int i = 0;
             i < 40 && fixture.workers[0].agent.finished < LMN_MAX_MACHINE_ATTEMPTS;
             i++) {
            fixture.now = lmn_time_add(fixture.now, FIXTURE_STEP_S);
            fixture.core->cache.fresh_at = fixture.now;
            lmn_emu_worker_pass(&fixture.workers[0], fixture.now);
            fixture_exchange_heartbeat(0, 0);
            fixture_describe_runs();
        }
        fixture_record_done_tasks();
        lmn_maintenance_run(fixture.core, fixture.now);
        g_autoptr(GByteArray) body = g_byte_array_new();
        char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
        /* As in a heartbeat's reply, nothing is cleared behind the fence. */
        fixture.core->cache.fresh_at =
            lmn_time_add(fixture.now, -fixture.settings.cancel_s);
        assert_false(lmn_worker_client_next_push(fixture.core, 0, 1, name, address, body,
                                                 fixture.now));
        fixture.core->cache.fresh_at = fixture.now;
        lmn_maintenance_run(fixture.core, fixture.now);
        if (is_lost) {
            assert_true(lmn_worker_client_next_push(fixture.core, 0, 1, name, address,
                                                    body, fixture.now));
            lmn_worker_client_push_done(fixture.core, name, LMN_HTTP_NO_RESPONSE, NULL,
                                        fixture.now);
            /* Each clear is pushed once; heartbeats do the rest. */
            lmn_maintenance_run(fixture.core, fixture.now);
            assert_false(lmn_worker_client_next_push(fixture.core, 0, 1, name, address,
                                                     body, fixture.now));
            fixture_exchange_heartbeat(0, 0);
            fixture_exchange_heartbeat(0, 0);
        } else {
            fixture_exchange_pushes(0);
        }
        assert_int_equal(fixture.workers[0].agent.starts, 2 * LMN_MAX_MACHINE_ATTEMPTS);
        assert_int_equal(fixture.workers[0].agent.refused +
                             fixture.workers[0].agent.dropped_starts,
                         0);
    }
}

/* Guards against work that is stolen for a machine that can't start it. */
static void machine_without_room_for_attempts_does_not_steal(void **state)
{
    struct lmn_steal_request request;
    (void)state;

    fixture_set_up(1, 1);
    fixture_step(0);
    fixture_step(0);
    lmn_steal_request_init(&request, &fixture.settings);
    assert_true(lmn_steal_request_fill(fixture.core, &fixture.core->partitions[0],
                                       &request, fixture.now));
    fixture_add_job(LMN_MAX_MACHINE_ATTEMPTS, 0.01, 60);
    fixture_step(0);
    assert_int_equal(fixture_machine(0)->queue.task_count, 0);
    fixture_machine(0)->stealing.is_idle_with_capacity = true;
    assert_false(lmn_steal_request_fill(fixture.core, &fixture.core->partitions[0],
                                        &request, fixture.now));
}

/* Guards against a machine that is left with nothing but results of pushes without an
 * answer, and against one that is drained for that. */
static void machine_clears_attempts_of_pushes_without_an_answer(void **state)
{
    (void)state;
    fixture_set_up(1, 1);
    fixture_step(0);
    fixture_add_job(LMN_MAX_MACHINE_ATTEMPTS * 2 / 3, 0, 1);
    for (int i = 0; i < 4; i++)
        fixture_step(0);
    assert_true(fixture_machine(0)->attempts->len > LMN_MAX_MACHINE_ATTEMPTS / 2);
    for (guint i = 0; i < fixture_machine(0)->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(fixture_machine(0)->attempts, struct lmn_attempt, i);
        attempt->push_is_uncertain = true;
        attempt->push_token = lmn_machine_token(fixture_machine(0));
    }
    for (int i = 0; i < 10; i++) {
        fixture_step(0);
        fixture_record_done_tasks();
    }
    assert_false(fixture_machine(0)->lifecycle.is_draining);
    assert_int_equal(fixture_machine(0)->attempts->len, 0);
    assert_int_equal(fixture.workers[0].agent.runs->len, 0);
    assert_true(fixture_all_jobs_are_over());
    assert_int_equal(fixture.core->counters.raised_tokens, 1);
}

/* Guards against an agent that names more than a heartbeat can hold, after commands of a
 * controller that does not count. */
static void agent_drops_starts_that_a_heartbeat_could_not_name(void **state)
{
    struct lmn_command_list commands = lmn_command_list_new();
    g_autoptr(GByteArray) body = g_byte_array_new();
    g_autoptr(GByteArray) answer = g_byte_array_new();
    (void)state;

    fixture_set_up(1, 1);
    for (uint32_t i = 0; i < 2 * LMN_MAX_MACHINE_ATTEMPTS; i++) {
        struct lmn_attempt attempt = {.job_id = "run-1", .index = i, .number = 1};
        lmn_command_list_add(&commands, LMN_COMMAND_START, &attempt,
                             LMN_COMMAND_NO_GRACE);
    }
    const struct lmn_command_push push = {1, 1, &commands};
    lmn_command_push_encode(body, &push);
    assert_int_equal(lmn_agent_handle_commands(&fixture.workers[0].agent, body->data,
                                               body->len, answer, fixture.now),
                     200);
    fixture_check_size(0, answer);
    assert_int_equal(fixture.workers[0].agent.starts, LMN_MAX_MACHINE_ATTEMPTS);
    assert_int_equal(fixture.workers[0].agent.dropped_starts, LMN_MAX_MACHINE_ATTEMPTS);
    lmn_command_list_free(&commands);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(small_tasks_all_get_done_within_the_limits_of_messages),
        cmocka_unit_test(largest_entries_are_those_that_the_limit_is_computed_from),
        cmocka_unit_test(fullest_heartbeat_is_within_the_limit),
        cmocka_unit_test(
            machine_with_too_many_attempts_is_emptied_by_replies_within_the_limit),
        cmocka_unit_test(all_tasks_of_a_full_machine_are_killed_by_one_reply),
        cmocka_unit_test(ended_attempts_count_until_they_are_cleared),
        cmocka_unit_test(recorded_results_make_room_before_the_next_heartbeat),
        cmocka_unit_test(machine_without_room_for_attempts_does_not_steal),
        cmocka_unit_test(machine_clears_attempts_of_pushes_without_an_answer),
        cmocka_unit_test(agent_drops_starts_that_a_heartbeat_could_not_name),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
