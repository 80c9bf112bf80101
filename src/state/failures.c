#include "state/failures.h"
#include "util/clock.h"

#include <math.h>

/* So many machines are not faulty at a time, by chance; more, if the job has proved that
 * it can succeed. */
enum { TOO_MANY = 3, TOO_MANY_PROVEN = 6 };
/* Failures are forgotten after so long without another; testimonies fade by half. */
static const double FORGET_S = 300, HALF_S = 60;
/* Pauses of a job: at first and at most. An accused one is tried more and more seldom. */
static const double FIRST_S = 0.5, MOST_S = 4, ACCUSED_FIRST_S = 4, ACCUSED_MOST_S = 60;
/* Three jobs of which nothing else is known, or two that succeed elsewhere, or one that
 * does, three times. */
static const double GUILTY = 1.5, UNPROVEN = 0.5;

static void forget(struct lmn_job_failures *failures)
{
    failures->machine_count = failures->rounds = 0;
    failures->backoff_until = failures->round_started_at = (struct timespec){0, 0};
}

static bool known(const struct lmn_job_failures *failures, guint machine)
{
    for (unsigned i = 0; i < failures->machine_count; i++)
        if (failures->machines[i] == machine)
            return true;
    return false;
}

static void note(struct lmn_job_failures *failures, guint machine, struct timespec now)
{
    if (failures->machine_count &&
        lmn_time_diff_s(now, failures->last_failed_at) > FORGET_S)
        forget(failures);
    failures->last_failed_at = now;
    if (!known(failures, machine) && failures->machine_count < LMN_MAX_FAILURE_MACHINES)
        failures->machines[failures->machine_count++] = machine;
}

bool lmn_job_is_faulty(const struct lmn_job_failures *failures)
{
    return failures->machine_count >=
           (failures->has_succeeded ? TOO_MANY_PROVEN : TOO_MANY);
}

static double pause_s(const struct lmn_job_failures *failures)
{
    double doubled = (double)(1u << MIN(failures->rounds, 6u));

    return lmn_job_is_faulty(failures) ? MIN(ACCUSED_FIRST_S * doubled, ACCUSED_MOST_S)
                                       : MIN(FIRST_S * doubled, MOST_S);
}

void lmn_job_record_failure(struct lmn_job_failures *failures, guint machine,
                            struct timespec started, struct timespec now)
{
    note(failures, machine, now);
    /* The tasks of a large job fail by the dozen: once each of them doubled the pause,
     * and a job whose first machine was faulty waited for a minute. */
    if (!failures->round_started_at.tv_sec ||
        lmn_time_before(failures->round_started_at, started)) {
        failures->rounds++;
        failures->round_started_at = now;
    }
    struct timespec hold = lmn_time_add(now, pause_s(failures));
    if (lmn_time_before(failures->backoff_until, hold))
        failures->backoff_until = hold;
}

void lmn_job_record_inherited_failure(struct lmn_job_failures *failures, guint machine,
                                      struct timespec now)
{
    note(failures, machine, now);
    if (lmn_job_is_faulty(failures) && !failures->rounds) {
        failures->rounds = 1;
        failures->round_started_at = now;
        failures->backoff_until = lmn_time_add(now, pause_s(failures));
    }
}

void lmn_job_record_success(struct lmn_job_failures *failures)
{
    failures->has_succeeded = true;
    forget(failures);
}

void lmn_job_record_retry(struct lmn_job_failures *failures, struct timespec now)
{
    failures->backoff_until = lmn_time_add(now, pause_s(failures));
}

double lmn_failure_weight(const struct lmn_job_failures *failures, guint machine,
                          unsigned times, struct timespec last, struct timespec now)
{
    unsigned others = failures->machine_count - known(failures, machine);
    double fades = exp2(-lmn_time_diff_s(now, last) / HALF_S);

    /* Whoever fails elsewhere, too, accuses itself. */
    if (!times || others >= 2 || lmn_job_is_faulty(failures))
        return 0;
    double weight = failures->has_succeeded ? times >= 3 ? GUILTY : 1 : UNPROVEN;
    return fades * weight / (1 + others);
}

bool lmn_machine_is_faulty(double sum)
{
    /* A little less, for what has faded between failures that came together. */
    return sum >= 0.9 * GUILTY;
}

double lmn_machine_quarantine_s(double sum)
{
    return sum <= 0 ? 0 : exp2(2 * sum);
}
