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

static void forget(struct lmn_job_failures *b)
{
    b->places = b->rounds = 0;
    b->hold = b->round = (struct timespec){0, 0};
}

static bool known(const struct lmn_job_failures *b, guint machine)
{
    for (unsigned i = 0; i < b->places; i++)
        if (b->on[i] == machine)
            return true;
    return false;
}

static void note(struct lmn_job_failures *b, guint machine, struct timespec now)
{
    if (b->places && lmn_time_diff_s(now, b->failed) > FORGET_S)
        forget(b);
    b->failed = now;
    if (!known(b, machine) && b->places < LMN_MAX_FAILURE_MACHINES)
        b->on[b->places++] = machine;
}

bool lmn_job_is_faulty(const struct lmn_job_failures *b)
{
    return b->places >= (b->proven ? TOO_MANY_PROVEN : TOO_MANY);
}

static double pause_s(const struct lmn_job_failures *b)
{
    double doubled = (double)(1u << MIN(b->rounds, 6u));

    return lmn_job_is_faulty(b) ? MIN(ACCUSED_FIRST_S * doubled, ACCUSED_MOST_S)
                                : MIN(FIRST_S * doubled, MOST_S);
}

void lmn_job_record_failure(struct lmn_job_failures *b, guint machine,
                            struct timespec started, struct timespec now)
{
    note(b, machine, now);
    /* The tasks of a large job fail by the dozen: once each of them doubled the pause,
     * and a job whose first machine was faulty waited for a minute. */
    if (!b->round.tv_sec || lmn_time_before(b->round, started)) {
        b->rounds++;
        b->round = now;
    }
    struct timespec hold = lmn_time_add(now, pause_s(b));
    if (lmn_time_before(b->hold, hold))
        b->hold = hold;
}

void lmn_job_record_inherited_failure(struct lmn_job_failures *b, guint machine,
                                      struct timespec now)
{
    note(b, machine, now);
    if (lmn_job_is_faulty(b) && !b->rounds) {
        b->rounds = 1;
        b->round = now;
        b->hold = lmn_time_add(now, pause_s(b));
    }
}

void lmn_job_record_success(struct lmn_job_failures *b)
{
    b->proven = true;
    forget(b);
}

void lmn_job_record_retry(struct lmn_job_failures *b, struct timespec now)
{
    b->hold = lmn_time_add(now, pause_s(b));
}

double lmn_failure_weight(const struct lmn_job_failures *b, guint machine, unsigned times,
                          struct timespec last, struct timespec now)
{
    unsigned others = b->places - known(b, machine);
    double fades = exp2(-lmn_time_diff_s(now, last) / HALF_S);

    /* Whoever fails elsewhere, too, accuses itself. */
    if (!times || others >= 2 || lmn_job_is_faulty(b))
        return 0;
    double weight = b->proven ? times >= 3 ? GUILTY : 1 : UNPROVEN;
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
