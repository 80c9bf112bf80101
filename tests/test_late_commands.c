/* Copies of calls to workers that were carried out and answered arrive again, after their
 * attempts have ended and were cleared. No machine may begin such an attempt anew. */
#include "owner/fixture.h"

#include "http/client.h"
#include "partition/heartbeat.h"
#include "partition/worker_push.h"
#include "scheduler/assignment.h"
#include "scheduler/queue.h"
#include "state/core.h"
#include "state/fencing_token.h"
#include "util/clock.h"

#include <string.h>

/* Tests do not free their cores, so leak detection is off. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

enum { MACHINES = 2, SEEDS = 60, MOST_STEPS = 400, DAY_JOBS = 20 };
/* Steps in which an attempt ends, is cleared, and its task starts elsewhere. */
enum { SETTLING_STEPS = 12 };

/* Two machines that may get tasks: their first heartbeat made them known. */
static void set_up_two_machines(void)
{
    fixture_set_up(MACHINES, 1);
    fixture_step(0);
    fixture_step(0);
}

/* Adds a job of one task, whose start is pushed. */
static struct lmn_job *start_one_task(double cpus, double estimate_s)
{
    set_up_two_machines();
    struct lmn_job *job = fixture_add_job(1, cpus, estimate_s);
    fixture_exchange_pushes(0);
    fixture_describe_runs();
    assert_int_equal(fixture.answered_calls->len, 1);
    fixture_pass(FIXTURE_STEP_S);
    return job;
}

static int machine_of_first_call(void)
{
    return ((struct answered_call *)fixture.answered_calls->pdata[0])->machine;
}

static struct lmn_task_run *first_run(int machine)
{
    GPtrArray *runs = fixture.workers[machine].agent.runs;

    assert_true(runs->len > 0);
    return runs->pdata[0];
}

static void settle(void)
{
    for (int i = 0; i < SETTLING_STEPS; i++) {
        fixture_step(0);
        fixture_check_rules();
    }
}

/* Delivers the copies, lets time pass on the machines, and checks the rules. */
static void copies_must_start_nothing(void)
{
    unsigned started = fixture_deliver_copies();

    fixture_pass(FIXTURE_STEP_S);
    fixture_check_rules();
    assert_int_equal(started, 0);
}

static void
task_that_failed_and_runs_elsewhere_is_not_started_by_a_late_copy(void **state)
{
    (void)state;
    start_one_task(4, 600);
    int failed_on = machine_of_first_call();
    lmn_agent_exited(&fixture.workers[failed_on].agent, first_run(failed_on)->id, false,
                     false, fixture.now);
    settle();
    assert_int_equal(fixture.workers[1 - failed_on].agent.runs->len, 1);
    assert_int_equal(fixture.workers[failed_on].agent.runs->len, 0);
    copies_must_start_nothing();
}

static void preempted_task_is_not_started_by_a_late_copy(void **state)
{
    (void)state;
    start_one_task(4, 600);
    int stopped_on = machine_of_first_call();
    fixture_exchange_heartbeat(stopped_on, 0);
    struct lmn_machine *machine = fixture_machine(stopped_on);
    g_array_index(machine->attempts, struct lmn_attempt, 0).must_stop = true;
    machine->failures.quarantined_until = lmn_time_add(fixture.now, 600);
    settle();
    assert_int_equal(fixture.workers[1 - stopped_on].agent.runs->len, 1);
    copies_must_start_nothing();
}

static void task_of_a_drained_machine_is_not_started_by_a_late_copy(void **state)
{
    (void)state;
    start_one_task(4, 600);
    int drained = machine_of_first_call();
    fixture_exchange_heartbeat(drained, 0);
    struct lmn_machine *machine = fixture_machine(drained);
    g_array_index(machine->attempts, struct lmn_attempt, 0).must_stop = true;
    lmn_machine_drain(fixture.core, machine, true, "test", fixture.now);
    settle();
    assert_int_equal(fixture.workers[1 - drained].agent.runs->len, 1);
    copies_must_start_nothing();
}

static void cancelled_task_is_not_started_by_a_copy_later_than_cancel_s(void **state)
{
    (void)state;
    struct lmn_job *job = start_one_task(4, 600);
    job->phase = LMN_JOB_CANCELLED;
    fixture.cancelled_at[0] = fixture.now;
    for (double waited = 0; waited <= FIXTURE_CANCEL_S; waited += FIXTURE_STEP_S)
        fixture_step(0);
    copies_must_start_nothing();
}

static void finished_task_takes_no_quota_by_a_late_copy(void **state)
{
    (void)state;
    set_up_two_machines();
    fixture.team.cpus_max = 4;
    fixture_add_job(1, 4, 1);
    fixture_exchange_pushes(0);
    assert_int_equal(fixture.answered_calls->len, 1);
    fixture_describe_runs();
    settle();
    assert_true(fixture_all_jobs_are_over());
    fixture_add_job(1, 4, 600);
    fixture_step(0);
    copies_must_start_nothing();
}

static void task_is_not_started_by_a_late_copy_after_a_restart_of_the_owner(void **state)
{
    (void)state;
    start_one_task(4, 600);
    int failed_on = machine_of_first_call();
    lmn_agent_exited(&fixture.workers[failed_on].agent, first_run(failed_on)->id, false,
                     false, fixture.now);
    fixture_exchange_heartbeat(failed_on, 0);
    fixture_restart_controller();
    settle();
    copies_must_start_nothing();
}

static void task_is_not_started_by_a_copy_for_an_earlier_incarnation(void **state)
{
    (void)state;
    start_one_task(4, 600);
    int silent = machine_of_first_call();
    for (double waited = 0; waited <= 1.5 * FIXTURE_LEASE_S; waited += FIXTURE_STEP_S) {
        fixture_pass(FIXTURE_STEP_S);
        fixture_exchange_heartbeat(1 - silent, 0);
        fixture_describe_runs();
    }
    assert_int_equal(fixture.workers[silent].agent.incarnation, 2);
    settle();
    copies_must_start_nothing();
}

/* A worker process that ends and is back at once begins its next session, which it had
 * written to disk, and has seen no token yet (worker/incarnation.h). */
static void copies_to_a_worker_process_that_has_restarted_start_nothing(void **state)
{
    (void)state;
    start_one_task(4, 600);
    struct lmn_agent *agent = &fixture.workers[machine_of_first_call()].agent;
    g_ptr_array_set_size(agent->runs, 0);
    agent->incarnation++;
    agent->sequence = agent->fencing_token = 0;
    agent->lease_from = fixture.now;
    copies_must_start_nothing();
    settle();
    copies_must_start_nothing();
}

static struct lmn_partition *partition(void)
{
    return &fixture.core->partitions[0];
}

/* Guards against attempts that can never be cleared: where no higher token is left,
 * starts go with replies only. */
static void no_start_is_pushed_where_the_token_cannot_be_raised(void **state)
{
    (void)state;
    set_up_two_machines();
    partition()->ownership.token_raises = 1;
    for (int i = 0; i < FIXTURE_MAX_JOBS - 1; i++) {
        fixture_add_job(1, 4, 1);
        fixture_exchange_pushes(0);
        fixture_describe_runs();
        fixture_step(0);
        assert_int_equal(fixture_deliver_copies(), 0);
    }
    settle();
    assert_true(fixture_all_jobs_are_over());
    assert_in_range(fixture.core->counters.raised_tokens, 1, MACHINES);
    assert_int_equal(fixture_machine(0)->attempts->len, 0);
    assert_int_equal(fixture_machine(1)->attempts->len, 0);
    guint calls = fixture.answered_calls->len;
    fixture_add_job(MACHINES, 4, 1);
    fixture_exchange_pushes(0);
    assert_int_equal(fixture.answered_calls->len, calls);
    settle();
    assert_true(fixture_all_jobs_are_over());
}

/* Guards against a raise that makes the worker refuse a push which is on its way. */
static void token_is_not_raised_while_a_push_is_in_flight(void **state)
{
    g_autoptr(GByteArray) body = g_byte_array_new(), answer = g_byte_array_new();
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    (void)state;

    start_one_task(4, 600);
    int machine = machine_of_first_call();
    struct lmn_agent *agent = &fixture.workers[machine].agent;
    lmn_agent_exited(agent, first_run(machine)->id, false, false, fixture.now);
    fixture_add_job(MACHINES, 4, 600);
    do
        assert_true(lmn_worker_client_next_push(fixture.core, 0, 1, name, address, body,
                                                fixture.now));
    while (fixture_machine_index(name) != machine);
    fixture_exchange_heartbeat(machine, 0);
    assert_int_equal(fixture.core->counters.raised_tokens, 0);
    enum { CARRIED_OUT = 200 };
    assert_int_equal(
        lmn_agent_handle_commands(agent, body->data, body->len, answer, fixture.now),
        CARRIED_OUT);
    lmn_worker_client_push_done(fixture.core, name, CARRIED_OUT, answer, fixture.now);
    fixture_describe_runs();
    fixture_exchange_heartbeat(machine, 0);
    assert_int_equal(fixture.core->counters.raised_tokens, 1);
}

/* Guards against a late command that names another attempt at the task than it was sent
 * for: numbers repeated after 2^24 starts, within days at production size. */
static void attempt_numbers_rise_beyond_the_bits_of_their_count(void **state)
{
    (void)state;
    set_up_two_machines();
    partition()->ownership.last_attempt = (UINT64_C(1) << LMN_ATTEMPT_COUNT_BITS) - 2;
    fixture_add_job(1, 1, 600);
    fixture_exchange_pushes(0);
    fixture_add_job(MACHINES, 1, 600);
    fixture_exchange_pushes(0);
    fixture_describe_runs();
    uint64_t least = G_MAXUINT64, most = 0;
    for (int i = 0; i < MACHINES; i++)
        for (guint k = 0; k < fixture.workers[i].agent.runs->len; k++) {
            const struct lmn_task_run *run = fixture.workers[i].agent.runs->pdata[k];
            least = MIN(least, run->attempt);
            most = MAX(most, run->attempt);
            assert_true(
                lmn_attempt_is_of_ownership(run->attempt, &partition()->ownership));
        }
    assert_int_equal(most - least, MACHINES);
    uint64_t last_of_claim = partition()->ownership.epoch << LMN_ATTEMPT_COUNT_BITS;
    assert_true(most < last_of_claim);
    fixture_restart_controller();
    settle();
    assert_int_equal(fixture.core->counters.reappeared_attempts, 0);
}

/* Guards against two owners that use the same token, whichever version claims. */
static void tokens_of_claims_do_not_overlap(void **state)
{
    const uint64_t epochs[] = {0,
                               1,
                               5,
                               LMN_TOKEN_RAISES,
                               1u << 30,
                               LMN_MAX_EPOCH - LMN_TOKEN_RAISES - 1,
                               LMN_MAX_EPOCH - LMN_TOKEN_RAISES,
                               LMN_MAX_EPOCH - 1};
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(epochs); i++) {
        uint64_t next = lmn_next_epoch(epochs[i]);
        const struct lmn_partition_record record = {
            .owner_epoch = next, .owner_token_raises = next - epochs[i] - 1};
        assert_true(next > epochs[i] && next <= LMN_MAX_EPOCH);
        assert_int_equal(lmn_record_first_token(&record), epochs[i] + 1);
        assert_false(lmn_record_issued_token(&record, epochs[i]));
        assert_true(lmn_record_issued_token(&record, epochs[i] + 1));
        assert_true(lmn_record_issued_token(&record, next));
        assert_false(lmn_record_issued_token(&record, next + 1));
    }
}

/* The push with the start of a task is on its way when its job is cancelled. The reply to
 * a heartbeat starts and kills the attempt, so that the push would find it ended. The
 * push ends with the status before the worker gets the reply. */
static void play_repeated_start(int push_status)
{
    g_autoptr(GByteArray) body = g_byte_array_new(), reply = g_byte_array_new();
    g_autoptr(GByteArray) heartbeat = g_byte_array_new(), answer = g_byte_array_new();
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    struct lmn_deferred_starts deferred;

    set_up_two_machines();
    struct lmn_job *job = fixture_add_job(1, 4, 600);
    assert_true(lmn_worker_client_next_push(fixture.core, 0, 1, name, address, body,
                                            fixture.now));
    int machine = fixture_machine_index(name);
    struct lmn_agent *agent = &fixture.workers[machine].agent;
    job->phase = LMN_JOB_CANCELLED;
    lmn_agent_write_heartbeat(agent, heartbeat, fixture.now);
    assert_int_equal(lmn_heartbeat_handle(fixture.core, heartbeat->data, heartbeat->len,
                                          reply, &deferred, fixture.now),
                     200);
    lmn_agent_show(agent, answer, fixture.now);
    lmn_worker_client_push_done(fixture.core, name, push_status, answer, fixture.now);
    lmn_agent_heartbeat_answered(agent, agent->incarnation, fixture.now, reply->data,
                                 reply->len, fixture.now);
    assert_int_equal(agent->runs->len, 1);
    assert_int_equal(fixture_machine(machine)->attempts->len, 1);
    settle();
    assert_int_equal(fixture_machine(machine)->attempts->len, 0);
    assert_int_equal(agent->runs->len, 0);
    assert_int_equal(fixture.core->counters.reappeared_attempts, 0);
}

static void start_that_a_reply_repeats_is_kept_when_its_push_has_no_effect(void **state)
{
    enum { REFUSED = 409 };
    (void)state;

    play_repeated_start(LMN_HTTP_NOT_SENT);
    play_repeated_start(REFUSED);
}

static bool is_over(void)
{
    return fixture.job_count == DAY_JOBS && fixture_all_jobs_are_over();
}

/* The owner pushes what can start at once. */
static void add_random_job(void)
{
    fixture_add_job((uint32_t)g_rand_int_range(fixture.random, 1, 12),
                    g_rand_int_range(fixture.random, 1, 8),
                    g_rand_double_range(fixture.random, 0.2, 6));
    fixture_exchange_pushes(0);
    fixture_describe_runs();
}

/* Random jobs, some of them cancelled; messages are lost, the owner may restart. */
static void play(uint32_t seed)
{
    fixture_set_up(MACHINES, seed);
    double loss = seed % 3 ? 0.15 : 0;
    int restart_at = seed % 2 ? g_rand_int_range(fixture.random, 4, 60) : -1;

    for (int step = 0; step < MOST_STEPS && !is_over(); step++) {
        if (step == restart_at)
            fixture_restart_controller();
        if (step % 3 == 2 && fixture.job_count < DAY_JOBS)
            add_random_job();
        if (step % 20 == 10 && fixture.job_count) {
            int job = g_rand_int_range(fixture.random, 0, fixture.job_count);
            fixture.jobs[job].phase = LMN_JOB_CANCELLED;
            fixture.cancelled_at[job] = fixture.now;
        }
        fixture_step(loss);
        assert_int_equal(fixture_deliver_copies(), 0);
        fixture_check_rules();
    }
    assert_true(is_over());
    assert_true(fixture.answered_calls->len > 0);
}

static void copies_of_whole_calls_start_nothing_on_random_days(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= SEEDS; seed++)
        play(seed);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            task_that_failed_and_runs_elsewhere_is_not_started_by_a_late_copy),
        cmocka_unit_test(preempted_task_is_not_started_by_a_late_copy),
        cmocka_unit_test(task_of_a_drained_machine_is_not_started_by_a_late_copy),
        cmocka_unit_test(cancelled_task_is_not_started_by_a_copy_later_than_cancel_s),
        cmocka_unit_test(finished_task_takes_no_quota_by_a_late_copy),
        cmocka_unit_test(task_is_not_started_by_a_late_copy_after_a_restart_of_the_owner),
        cmocka_unit_test(task_is_not_started_by_a_copy_for_an_earlier_incarnation),
        cmocka_unit_test(start_that_a_reply_repeats_is_kept_when_its_push_has_no_effect),
        cmocka_unit_test(copies_to_a_worker_process_that_has_restarted_start_nothing),
        cmocka_unit_test(no_start_is_pushed_where_the_token_cannot_be_raised),
        cmocka_unit_test(token_is_not_raised_while_a_push_is_in_flight),
        cmocka_unit_test(attempt_numbers_rise_beyond_the_bits_of_their_count),
        cmocka_unit_test(tokens_of_claims_do_not_overlap),
        cmocka_unit_test(copies_of_whole_calls_start_nothing_on_random_days),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
