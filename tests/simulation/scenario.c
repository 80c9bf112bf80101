#include "scenario.h"

#include "util/log.h"

#include <errno.h>
#include <stdlib.h>

const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0"; /* crashed controllers are left behind, as a crash does */
}

/* A job about which no question is answered for longer is forgotten: who owns what, and
 * whom all trust, has to be settled by then. */
static const double LONGEST_S = 75;
static const char *const rule_names[] = {"ran_twice",     "quota",    "wrong_place",
                                         "ran_cancelled", "not_done", "went_back",
                                         "forgotten",     "invented"};

/* Seconds since the day began. */
double scenario_time(void)
{
    return simulation.now - 1000;
}

/* This step is the one. */
bool scenario_at(double when)
{
    return scenario_time() >= when && scenario_time() < when + STEP_S;
}

bool scenario_between(double from, double to)
{
    return scenario_time() >= from && scenario_time() < to;
}

/* About every so many seconds, as long as there is to be trouble. */
bool scenario_every(double s)
{
    return scenario_time() > 30 && scenario_time() < simulation.layout.steps * STEP_S &&
           simulation_chance(STEP_S / s);
}

double scenario_random(double from, double to)
{
    return g_rand_double_range(simulation.random, from, to);
}

void scenario_default_parameters(struct schedule *p, GRand *r)
{
    p->lease_s = g_rand_double_range(r, 5, 12);
    p->cancel_s = p->lease_s + g_rand_double_range(r, 5, 24);
    p->run_s = g_rand_double_range(r, 8, 25);
}

/* --- playing them --- */

static unsigned factor = 1; /* so many times the days */

static const struct layout day = {3, 9, 1, 1100, 1300, 36, 2};
static const struct scenario *played;
/* Seconds from the end of the last trouble until all was well, and until every job was
 * answered; negative: not yet. */
static double well, answered;
static const double LONGEST_DAY_S = 900;

static double since_faults(void)
{
    return simulation.now -
           MAX(simulation_faults_end(), 1000 + simulation.layout.steps * STEP_S);
}

bool scenario_is_over(void)
{
    return scenario_time() >= simulation.layout.steps * STEP_S;
}

/* The users of services cancel them once no fault begins any more; so every job is
 * answered in the end. */
static bool all_answered(void)
{
    for (int i = 0; i < simulation.njobs; i++) {
        const struct job *job = &simulation.jobs[i];
        if (!job->submitted || (job->cancelled_at < 0 && !job->told_done))
            return false;
    }
    return true;
}

/* Once it is over, services end, and what has not begun is short: there is time for all.
 */
static void step(void)
{
    for (int i = 0; i < simulation.njobs; i++) {
        struct job *job = &simulation.jobs[i];
        if (!job->submitted && !job->offered)
            job->spec.tasks = MIN(job->spec.tasks, 6);
        else if (scenario_is_over() && job->spec.kind == LMN_JOB_SERVICE &&
                 job->cancelled_at < 0)
            simulation_cancel(job);
    }
    if (scenario_is_over()) {
        simulation.run_s = 3;
        if (well < 0 && simulation.now > simulation_faults_end() &&
            simulation_is_recovered())
            well = since_faults();
        if (answered < 0 && all_answered())
            answered = MAX(since_faults(), 0);
        /* The day goes on until every job is answered. */
        if (answered < 0 && scenario_time() < LONGEST_DAY_S &&
            scenario_time() >
                (simulation.layout.steps + simulation.layout.calm - 2) * STEP_S)
            simulation.layout.calm++;
    }
    played->step();
    /* Without its guard, a day is over as soon as it has failed. */
    if (simulation.disabled_guard && played->rule == NOT_SERVED &&
        *simulation.service_failure)
        simulation.layout.steps = simulation.layout.calm = 0;
}

/* How many jobs have not run that should have, and one of them. */
static unsigned unfinished(const struct job **one)
{
    unsigned n = 0;

    for (int i = 0; i < simulation.njobs; i++) {
        const struct job *job = &simulation.jobs[i];
        if ((!job->submitted && !job->offered) || job->cancelled_at >= 0 ||
            job->told_done)
            continue;
        n++;
        *one = job;
    }
    return n;
}

static bool play(const struct scenario *m, uint32_t seed, enum guard g)
{
    struct schedule p = {.step = step};
    GRand *r = g_rand_new_with_seed(seed);

    m->draw(&p, r);
    g_rand_free(r);
    schedule = &p;
    played = m;
    well = answered = -1;
    if (m->begin)
        m->begin();
    standbys = m->standbys || seed % 2;
    char *name = g_strconcat(m->name, g ? "_without_guard" : "", NULL);
    digest_begin(program_invocation_short_name, name, seed);
    g_free(name);
    simulation_run(m->layout ? m->layout : &day, seed, g);
    digest_end();
    standbys = false;
    schedule = NULL;
    bool broke = false;
    for (int i = 0; i < RULE_COUNT; i++)
        broke =
            broke || (simulation.violations[i] && (m->rule == i || m->rule == ANY_RULE));
    return broke || (m->rule == NOT_RECOVERED && !simulation_is_recovered()) ||
           (m->rule == NOT_SERVED && *simulation.service_failure);
}

static void holds(void **state)
{
    const struct scenario *m = *state;
    const struct layout *layout = m->layout ? m->layout : &day;
    double margin = 1e9, longest = 0, last = 0, beside = 0;
    unsigned cancelled = 0, late = 0, copies = 0, takeovers = 0;
    unsigned answers = 0, back = 0, overtaken = 0, none = 0;

    for (uint32_t seed = 1; seed <= factor * m->days; seed++) {
        play(m, seed, GUARD_NONE);
        for (int i = 0; i < RULE_COUNT; i++)
            if (simulation.violations[i])
                fail_msg("%s, seed %u: %s broken %u times", m->name, seed, rule_names[i],
                         simulation.violations[i]);
        if (!simulation_is_recovered())
            fail_msg("%s, seed %u: not all is well at the end", m->name, seed);
        const struct job *one;
        unsigned n = unfinished(&one);
        if (n) {
            simulation_print_wait_reasons(one);
            fail_msg("%s, seed %u: %u jobs have not run, as %s", m->name, seed, n,
                     one->id);
        }
        if (simulation.layout.calm > layout->calm)
            fail_msg("%s, seed %u: the last job was answered %.0f s late", m->name, seed,
                     (simulation.layout.calm - layout->calm) * STEP_S);
        if (*simulation.service_failure)
            fail_msg("%s, seed %u: %s", m->name, seed, simulation.service_failure);
        if (well < 0 || well > LONGEST_S)
            fail_msg("%s, seed %u: all was well %.1f s after the last trouble", m->name,
                     seed, well);
        longest = MAX(longest, well);
        last = MAX(last, answered);
        beside = MAX(beside, simulation.longest_beside);
        margin = MIN(margin, simulation.least_margin);
        cancelled += simulation.cancelled;
        late += simulation.lates;
        copies += simulation.copies;
        takeovers += simulation.takeovers;
        answers += simulation.answers;
        back += simulation.answers_back;
        overtaken += simulation.answers_overtaken;
        none += simulation.answers_none;
    }
    print_message("%s: %u days, %u takeovers, %u late writes, %u late copies; %u "
                  "cancelled, least margin of cancel_s %.1f s; all well after %.1f s, "
                  "last answer after %.1f s; longest wait beside room %.1f s\n",
                  m->name, factor * m->days, takeovers, late, copies, cancelled, margin,
                  longest, last, beside);
    if (answers)
        print_message("%s: %u answers checked, %u went back, %u overtaken on their way, "
                      "%u were 503\n",
                      m->name, answers, back, overtaken, none);
    if (m->report)
        m->report();
}

static void needs_its_guard(void **state)
{
    const struct scenario *m = *state;

    for (uint32_t seed = 1; seed <= 10 * m->days; seed++)
        if (play(m, seed, m->guard)) {
            print_message("%s: broken without its guard by seed %u:", m->name, seed);
            for (int i = 0; i < RULE_COUNT; i++)
                if (simulation.violations[i])
                    print_message(" %s %u", rule_names[i], simulation.violations[i]);
            print_message("\n");
            return;
        }
    fail_msg("%s: nothing breaks without the guard", m->name);
}

int scenario_main(const struct scenario *scenarios, size_t n, int argc, char **argv)
{
    struct CMUnitTest *tests = g_new0(struct CMUnitTest, 2 * n);

    for (size_t i = 0; i < n; i++) {
        void *m = (void *)&scenarios[i];
        tests[2 * i] = (struct CMUnitTest){scenarios[i].name, holds, NULL, NULL, m};
        char *name = g_strdup_printf("%s: its guard is needed", scenarios[i].name);
        tests[2 * i + 1] = (struct CMUnitTest){name, needs_its_guard, NULL, NULL, m};
    }
    lmn_log_level = LMN_LOG_ERROR;
    if (argc > 1)
        factor = (unsigned)MAX(atoi(argv[1]), 1);
    if (argc > 2)
        cmocka_set_test_filter(argv[2]);
    int failed = _cmocka_run_group_tests("scenarios", tests, 2 * n, NULL, NULL);
    g_free(tests);
    return failed;
}
