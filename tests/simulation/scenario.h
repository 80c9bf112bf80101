/* Scenarios of faults: each a schedule of a simulated day, and the guard without which
 * such days break a rule (simulation.h). Times, lengths and leases are drawn for each
 * seed. At the end no fault is left, and each job that was not cancelled has run. */
#ifndef LMN_TESTS_SCENARIO_H
#define LMN_TESTS_SCENARIO_H

#include "simulation.h"

/* What a scenario breaks without its guard besides a single rule: any of them, or that
 * the service recovers by the end of the day, or that everything is served in time
 * (simulation/service_checks.c). */
enum { ANY_RULE = RULE_COUNT, NOT_RECOVERED, NOT_SERVED };

struct scenario {
    const char *name;
    void (*step)(void);
    void (*draw)(struct schedule *p, GRand *r);
    enum guard guard; /* without it */
    int rule;         /* this breaks: a rule, ANY_RULE NOT_RECOVERED or NOT_SERVED */
    bool standbys;    /* on each day; else on every second */
    unsigned days;
    void (*begin)(void);         /* before each day, or NULL */
    void (*report)(void);        /* after all days, or NULL */
    const struct layout *layout; /* NULL: the usual one of scenarios */
};

/* Seconds since the day began. */
double scenario_time(void);
/* This step is the one at that time. */
bool scenario_at(double when);
bool scenario_between(double from, double to);
/* About every so many seconds, as long as faults are to begin. */
bool scenario_every(double s);
/* A random number of the day. */
double scenario_random(double from, double to);
/* Usual leases, limits of cancellations and run times. */
void scenario_default_parameters(struct schedule *p, GRand *r);
/* Whether no fault begins any more. */
bool scenario_is_over(void);

/* Plays each scenario, and shows that its guard is needed. The first argument of the
 * program, if any, multiplies the days; the second picks scenarios by a pattern. Returns
 * the program's exit status. */
int scenario_main(const struct scenario *scenarios, size_t n, int argc, char **argv);

#endif
