/* Runs scenarios and checks what they must hold (scenario.h). */
#include "scenario.h"

#include "util/log.h"

#include <errno.h>
#include <stdlib.h>

const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0"; /* crashed controllers are not freed */
}

/* Longest time from the end of the last fault until each partition has a ready owner
 * and all members trust each other. The state of a job about which no question is
 * answered for longer is dropped. */
static const double MAX_RECOVERY_S = 75;
static const char *const rule_names[RULE_COUNT] = {
    [RULE_RAN_TWICE] = "a task ran twice at the same time",
    [RULE_QUOTA_EXCEEDED] = "a quota was exceeded",
    [RULE_WRONG_PLACE] = "a task ran on a machine that its job does not allow",
    [RULE_RAN_CANCELLED] = "a cancelled task ran for too long",
    [RULE_DONE_TOO_EARLY] = "a job was done before its tasks",
    [RULE_STATE_REVERTED] = "a final state changed",
    [RULE_JOB_FORGOTTEN] = "an accepted job was forgotten",
    [RULE_JOB_INVENTED] = "an unknown job was returned",
};

double scenario_time(void)
{
    return simulation.now - RUN_START_S;
}

bool scenario_at(double when)
{
    return scenario_time() >= when && scenario_time() < when + STEP_S;
}

bool scenario_between(double from, double to)
{
    return scenario_time() >= from && scenario_time() < to;
}

bool scenario_every(double period_s)
{
    return scenario_time() > 30 && scenario_time() < simulation.layout.steps * STEP_S &&
           simulation_chance(STEP_S / period_s);
}

double scenario_random(double from, double to)
{
    return g_rand_double_range(simulation.random, from, to);
}

void scenario_default_parameters(struct schedule *parameters, GRand *random)
{
    parameters->lease_s = g_rand_double_range(random, 5, 12);
    parameters->cancel_s = parameters->lease_s + g_rand_double_range(random, 5, 24);
    parameters->max_task_s = g_rand_double_range(random, 8, 25);
}

/* --- playing scenarios --- */

static unsigned seed_factor = 1; /* multiplies the number of seeds */

static const struct layout default_scenario_layout = {3, 9, 1, 1100, 1300, 36, 2};
static const struct scenario *current_scenario;
/* Seconds from the end of the last fault until the service had recovered, and until
 * every job was cancelled or done; negative: not yet. */
static double recovered_after_s, jobs_finished_after_s;
static const double MAX_RUN_S = 900;

static double time_since_faults_s(void)
{
    return simulation.now -
           MAX(simulation_faults_end(), RUN_START_S + simulation.layout.steps * STEP_S);
}

bool scenario_faults_are_over(void)
{
    return scenario_time() >= simulation.layout.steps * STEP_S;
}

/* Whether every job is cancelled or done. Services are cancelled once no fault begins
 * any more, as they would not end otherwise. */
static bool all_jobs_finished(void)
{
    for (int i = 0; i < simulation.job_count; i++) {
        const struct job *job = &simulation.jobs[i];
        if (!job->submitted || (job->cancelled_at < 0 && !job->recorded_done))
            return false;
    }
    return true;
}

/* Jobs that are not submitted yet get at most 6 tasks. Once no fault begins any more,
 * services are cancelled, and tasks are short, so that all jobs can finish. */
static void scenario_step(void)
{
    for (int i = 0; i < simulation.job_count; i++) {
        struct job *job = &simulation.jobs[i];
        if (!job->submitted && !job->submission_begun)
            job->spec.tasks = MIN(job->spec.tasks, 6);
        else if (scenario_faults_are_over() && job->spec.kind == LMN_JOB_SERVICE &&
                 job->cancelled_at < 0)
            simulation_cancel(job);
    }
    if (scenario_faults_are_over()) {
        simulation.max_task_s = 3;
        if (recovered_after_s < 0 && simulation.now > simulation_faults_end() &&
            simulation_is_recovered())
            recovered_after_s = time_since_faults_s();
        if (jobs_finished_after_s < 0 && all_jobs_finished())
            jobs_finished_after_s = MAX(time_since_faults_s(), 0);
        /* The run is extended until every job is finished. */
        if (jobs_finished_after_s < 0 && scenario_time() < MAX_RUN_S &&
            scenario_time() >
                (simulation.layout.steps + simulation.layout.recovery_steps - 2) * STEP_S)
            simulation.layout.recovery_steps++;
    }
    current_scenario->step();
    /* A run without the guard ends as soon as it has failed: more of it shows nothing. */
    if (simulation.disabled_guard && current_scenario->broken_rule == NOT_SERVED &&
        *simulation.service_failure)
        simulation.layout.steps = simulation.layout.recovery_steps = 0;
}

/* How many jobs should have finished and have not; one of them is stored in example. */
static unsigned count_unfinished(const struct job **example)
{
    unsigned count = 0;

    for (int i = 0; i < simulation.job_count; i++) {
        const struct job *job = &simulation.jobs[i];
        if ((!job->submitted && !job->submission_begun) || job->cancelled_at >= 0 ||
            job->recorded_done)
            continue;
        count++;
        *example = job;
    }
    return count;
}

static bool run_seed(const struct scenario *scenario, uint32_t seed, enum guard disabled)
{
    struct schedule parameters = {.step = scenario_step};
    GRand *random = g_rand_new_with_seed(seed);

    scenario->set_parameters(&parameters, random);
    g_rand_free(random);
    schedule = &parameters;
    current_scenario = scenario;
    recovered_after_s = jobs_finished_after_s = -1;
    if (scenario->before_run)
        scenario->before_run();
    enable_standbys = scenario->always_has_standbys || seed % 2;
    char *name = g_strconcat(scenario->name, disabled ? "_without_guard" : "", NULL);
    digest_begin(program_invocation_short_name, name, seed);
    g_free(name);
    simulation_run(scenario->layout ? scenario->layout : &default_scenario_layout, seed,
                   disabled);
    digest_end();
    enable_standbys = false;
    schedule = NULL;
    bool broke = false;
    for (int i = 0; i < RULE_COUNT; i++)
        broke =
            broke || (simulation.violations[i] &&
                      (scenario->broken_rule == i || scenario->broken_rule == ANY_RULE));
    return broke ||
           (scenario->broken_rule == NOT_RECOVERED && !simulation_is_recovered()) ||
           (scenario->broken_rule == NOT_SERVED && *simulation.service_failure);
}

static void keeps_every_rule(void **state)
{
    const struct scenario *scenario = *state;
    const struct layout *layout =
        scenario->layout ? scenario->layout : &default_scenario_layout;
    double least_margin_s = 1e9, longest_recovery_s = 0, last_finish_s = 0,
           longest_wait_s = 0;
    unsigned cancelled_jobs = 0, late_commits = 0, copied_heartbeats = 0, takeovers = 0;
    unsigned replies = 0, wrong_replies = 0, overtaken_replies = 0,
             unavailable_replies = 0;

    for (uint32_t seed = 1; seed <= seed_factor * scenario->seeds; seed++) {
        run_seed(scenario, seed, GUARD_NONE);
        for (int i = 0; i < RULE_COUNT; i++)
            if (simulation.violations[i])
                fail_msg("%s, seed %u: %s, %u times", scenario->name, seed, rule_names[i],
                         simulation.violations[i]);
        if (!simulation_is_recovered())
            fail_msg(
                "%s, seed %u: not recovered at the end: a partition has no ready owner, "
                "or a member is suspected",
                scenario->name, seed);
        const struct job *example;
        unsigned unfinished = count_unfinished(&example);
        if (unfinished) {
            simulation_print_wait_reasons(example);
            fail_msg("%s, seed %u: %u jobs have not finished, one of them %s",
                     scenario->name, seed, unfinished, example->id);
        }
        if (simulation.layout.recovery_steps > layout->recovery_steps)
            fail_msg("%s, seed %u: the last job finished %.0f s after the planned end",
                     scenario->name, seed,
                     (simulation.layout.recovery_steps - layout->recovery_steps) *
                         STEP_S);
        if (*simulation.service_failure)
            fail_msg("%s, seed %u: %s", scenario->name, seed, simulation.service_failure);
        if (recovered_after_s < 0 || recovered_after_s > MAX_RECOVERY_S)
            fail_msg(
                "%s, seed %u: recovered %.1f s after the last fault (negative: never), "
                "limit %.0f s",
                scenario->name, seed, recovered_after_s, MAX_RECOVERY_S);
        longest_recovery_s = MAX(longest_recovery_s, recovered_after_s);
        last_finish_s = MAX(last_finish_s, jobs_finished_after_s);
        longest_wait_s = MAX(longest_wait_s, simulation.longest_wait_s);
        least_margin_s = MIN(least_margin_s, simulation.least_cancel_margin_s);
        cancelled_jobs += simulation.cancelled_jobs;
        late_commits += simulation.late_commits;
        copied_heartbeats += simulation.copied_heartbeats;
        takeovers += simulation.takeovers;
        replies += simulation.replies;
        wrong_replies += simulation.wrong_replies;
        overtaken_replies += simulation.overtaken_replies;
        unavailable_replies += simulation.unavailable_replies;
    }
    print_message("%s: %u runs, %u takeovers, %u late writes, %u copied heartbeats; "
                  "%u jobs cancelled, at least %.1f s of cancel_s left; recovered within "
                  "%.1f s, all jobs finished within %.1f s; longest wait although a "
                  "machine had room %.1f s\n",
                  scenario->name, seed_factor * scenario->seeds, takeovers, late_commits,
                  copied_heartbeats, cancelled_jobs, least_margin_s, longest_recovery_s,
                  last_finish_s, longest_wait_s);
    if (replies)
        print_message("%s: %u answers checked, %u wrong, %u older than one that had "
                      "arrived, %u with status 503\n",
                      scenario->name, replies, wrong_replies, overtaken_replies,
                      unavailable_replies);
    if (scenario->after_all_runs)
        scenario->after_all_runs();
}

static void needs_its_guard(void **state)
{
    const struct scenario *scenario = *state;

    for (uint32_t seed = 1; seed <= 10 * scenario->seeds; seed++)
        if (run_seed(scenario, seed, scenario->needed_guard)) {
            print_message("%s: without its guard, seed %u breaks:", scenario->name, seed);
            for (int i = 0; i < RULE_COUNT; i++)
                if (simulation.violations[i])
                    print_message(" %s, %u times;", rule_names[i],
                                  simulation.violations[i]);
            print_message("\n");
            return;
        }
    fail_msg("%s: without its guard, no rule is broken in %u runs", scenario->name,
             10 * scenario->seeds);
}

int scenario_main(const struct scenario *scenarios, size_t count, int argc, char **argv)
{
    struct CMUnitTest *tests = g_new0(struct CMUnitTest, 2 * count);

    for (size_t i = 0; i < count; i++) {
        void *scenario = (void *)&scenarios[i];
        tests[2 * i] = (struct CMUnitTest){scenarios[i].name, keeps_every_rule, NULL,
                                           NULL, scenario};
        char *name = g_strdup_printf("%s: its guard is needed", scenarios[i].name);
        tests[2 * i + 1] =
            (struct CMUnitTest){name, needs_its_guard, NULL, NULL, scenario};
    }
    lmn_log_level = LMN_LOG_ERROR;
    if (argc > 1)
        seed_factor = (unsigned)MAX(atoi(argv[1]), 1);
    if (argc > 2)
        cmocka_set_test_filter(argv[2]);
    int failed = _cmocka_run_group_tests("scenarios", tests, 2 * count, NULL, NULL);
    g_free(tests);
    return failed;
}
