/* Scenarios of faults. Each has a schedule, and names the guard without which some of
 * its runs break a rule (simulation.h). Times, durations and leases are drawn for each
 * seed. At the end of a run no fault is left, and each job that was not cancelled has
 * finished. */
#ifndef LMN_TESTS_SCENARIO_H
#define LMN_TESTS_SCENARIO_H

#include "simulation.h"

/* What a scenario may break without its guard besides a single rule: any rule; that
 * the service recovers by the end of the run; or that no task waits too long
 * (simulation/service_checks.c). */
enum { ANY_RULE = RULE_COUNT, NOT_RECOVERED, NOT_SERVED };

struct scenario {
    const char *name;
    void (*step)(void);
    void (*set_parameters)(struct schedule *parameters, GRand *random);
    enum guard needed_guard;
    /* What breaks without needed_guard: a rule, ANY_RULE, NOT_RECOVERED or NOT_SERVED. */
    int broken_rule;
    bool always_has_standbys; /* in each run; else in those with odd seeds */
    unsigned seeds;
    void (*before_run)(void);     /* called before each run; may be NULL */
    void (*after_all_runs)(void); /* called once after all runs; may be NULL */
    const struct layout *layout;  /* NULL: the default of scenarios */
};

/* Seconds since the run began. */
double scenario_time(void);
/* Whether this step is the one at that time. */
bool scenario_at(double when);
bool scenario_between(double from, double to);
/* True by chance about once in period_s seconds while faults may begin, but not in the
 * first 30 s. */
bool scenario_every(double period_s);
/* A random number from the run's generator. */
double scenario_random(double from, double to);
/* Sets lease_s, cancel_s and max_task_s to the usual random values. */
void scenario_default_parameters(struct schedule *parameters, GRand *random);
/* Whether no fault begins any more. */
bool scenario_faults_are_over(void);

/* Runs each scenario with all guards, and without the one that it needs. The first
 * argument of the program, if any, multiplies the number of seeds; the second selects
 * tests by a pattern. Returns the exit status. */
int scenario_main(const struct scenario *scenarios, size_t count, int argc, char **argv);

#endif
