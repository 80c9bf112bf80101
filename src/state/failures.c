/** @file
 * Attribution of failures to jobs and machines: see state/failures.h. */
#include "state/failures.h"

#include "util/clock.h"

#include <math.h>

/** Number of machines on which a job must have failed to count as faulty: that many
 * machines are unlikely to be faulty at once. The second value is for jobs of which a
 * task has succeeded. */
enum { FAULTY_JOB_MACHINES = 3, FAULTY_PROVEN_JOB_MACHINES = 6 };
/** Seconds without a failure after which a job's earlier failures are cleared. */
static const double FORGET_AFTER_S = 300;
/** Half-life, in seconds, of a failure's weight against a machine. */
static const double WEIGHT_HALF_LIFE_S = 60;
/** Base of a job's backoff, which doubles with each round of failures, and its maximum,
 * in seconds. */
static const double BACKOFF_FIRST_S = 0.5, BACKOFF_MAX_S = 4;
/** Base and maximum of a faulty job's backoff, in seconds. */
static const double FAULTY_BACKOFF_FIRST_S = 4, FAULTY_BACKOFF_MAX_S = 60;
/** Limit of the backoff's doublings, which keeps the shift in range. */
static const unsigned MAX_DOUBLINGS = 6;
/** Sum of weights at which a machine is faulty. It is reached by failures of three jobs
 * that have never succeeded, of two jobs that have, or by PROVEN_JOB_REPEATS failures of
 * one job that has. */
static const double FAULTY_MACHINE_WEIGHT = 1.5;
static const double UNPROVEN_JOB_WEIGHT = 0.5, PROVEN_JOB_WEIGHT = 1;
enum { PROVEN_JOB_REPEATS = 3 };
/** Fraction of FAULTY_MACHINE_WEIGHT that suffices, since the weights of failures within
 * a few seconds have already decayed slightly. */
static const double FADED_SHARE = 0.9;

static void forget_failures(struct lmn_job_failures *failures)
{
    failures->machine_count = failures->rounds = 0;
    failures->backoff_until = failures->round_started_at = (struct timespec){0, 0};
}

static bool has_failed_on(const struct lmn_job_failures *failures, guint machine)
{
    for (unsigned i = 0; i < failures->machine_count; i++)
        if (failures->machines[i] == machine)
            return true;
    return false;
}

static void add_machine(struct lmn_job_failures *failures, guint machine,
                        struct timespec now)
{
    if (failures->machine_count &&
        lmn_time_diff_s(now, failures->last_failed_at) > FORGET_AFTER_S)
        forget_failures(failures);
    failures->last_failed_at = now;
    if (!has_failed_on(failures, machine) &&
        failures->machine_count < LMN_MAX_FAILURE_MACHINES)
        failures->machines[failures->machine_count++] = machine;
}

bool lmn_job_is_faulty(const struct lmn_job_failures *failures)
{
    return failures->machine_count >=
           (failures->has_succeeded ? FAULTY_PROVEN_JOB_MACHINES : FAULTY_JOB_MACHINES);
}

static double backoff_s(const struct lmn_job_failures *failures)
{
    double factor = (double)(1u << MIN(failures->rounds, MAX_DOUBLINGS));

    return lmn_job_is_faulty(failures)
               ? MIN(FAULTY_BACKOFF_FIRST_S * factor, FAULTY_BACKOFF_MAX_S)
               : MIN(BACKOFF_FIRST_S * factor, BACKOFF_MAX_S);
}

void lmn_job_record_failure(struct lmn_job_failures *failures, guint machine,
                            struct timespec started_at, struct timespec now)
{
    add_machine(failures, machine, now);
    /* Many tasks of a large job fail at about the same time. If each failure doubled the
     * backoff, a job whose first machine is faulty would wait for a minute. */
    if (!failures->round_started_at.tv_sec ||
        lmn_time_before(failures->round_started_at, started_at)) {
        failures->rounds++;
        failures->round_started_at = now;
    }
    struct timespec backoff_until = lmn_time_add(now, backoff_s(failures));
    if (lmn_time_before(failures->backoff_until, backoff_until))
        failures->backoff_until = backoff_until;
}

void lmn_job_record_inherited_failure(struct lmn_job_failures *failures, guint machine,
                                      struct timespec now)
{
    add_machine(failures, machine, now);
    if (lmn_job_is_faulty(failures) && !failures->rounds) {
        failures->rounds = 1;
        failures->round_started_at = now;
        failures->backoff_until = lmn_time_add(now, backoff_s(failures));
    }
}

void lmn_job_record_success(struct lmn_job_failures *failures)
{
    failures->has_succeeded = true;
    forget_failures(failures);
}

void lmn_job_record_retry(struct lmn_job_failures *failures, struct timespec now)
{
    failures->backoff_until = lmn_time_add(now, backoff_s(failures));
}

double lmn_failure_weight(const struct lmn_job_failures *failures, guint machine,
                          unsigned count, struct timespec last_at, struct timespec now)
{
    unsigned other_machines = failures->machine_count - has_failed_on(failures, machine);
    double fading = exp2(-lmn_time_diff_s(now, last_at) / WEIGHT_HALF_LIFE_S);
    double weight = UNPROVEN_JOB_WEIGHT;

    /* The more other machines the job has failed on, the likelier the job is at fault. */
    if (!count || other_machines >= 2 || lmn_job_is_faulty(failures))
        return 0;
    if (failures->has_succeeded)
        weight = count >= PROVEN_JOB_REPEATS ? FAULTY_MACHINE_WEIGHT : PROVEN_JOB_WEIGHT;
    return fading * weight / (1 + other_machines);
}

bool lmn_machine_is_faulty(double weight_sum)
{
    return weight_sum >= FADED_SHARE * FAULTY_MACHINE_WEIGHT;
}

double lmn_machine_quarantine_s(double weight_sum)
{
    return weight_sum <= 0 ? 0 : exp2(2 * weight_sum);
}
