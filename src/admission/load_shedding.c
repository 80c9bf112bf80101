/** @file
 * Load shedding: refuses some requests while the controller's work is late
 * (admission/load_shedding.h). */
#include "admission/load_shedding.h"

#include <math.h>

/** The delay above which some requests of a kind are refused. Clients time out after 2 s
 * for a poll and 5 s for a submission, workers after 4 s for a heartbeat: each kind is
 * refused before its client times out. */
static const double SHED_THRESHOLD_S[LMN_SHED_KINDS] = {
    [LMN_SHED_POLL] = 0.4, [LMN_SHED_SUBMISSION] = 1.0, [LMN_SHED_START] = 1.5};
/** The time constant of the exponential decay of the delay. */
static const double DELAY_DECAY_S = 1;
/** Bounds of the wait from which a Retry-After is computed, and of the Retry-After. */
static const double MIN_WAIT_S = 1, MAX_WAIT_S = 20, MAX_RETRY_AFTER_S = 30;
/** A Retry-After is drawn from the interval between the wait and this multiple of it. */
static const double MAX_WAIT_FACTOR = 1.5;

void lmn_load_record_delay(struct lmn_load *load, double late_s, double elapsed_s)
{
    double difference_s = MAX(late_s, 0) - load->delay_s;

    if (difference_s > 0)
        load->delay_s += difference_s / 2;
    else
        load->delay_s += difference_s * (1 - exp(-MAX(elapsed_s, 0) / DELAY_DECAY_S));
}

double lmn_load_shed_share(double delay_s, enum lmn_shed_kind kind)
{
    return CLAMP(delay_s / SHED_THRESHOLD_S[kind] - 1, 0, 1);
}

bool lmn_load_should_shed(struct lmn_load *load, enum lmn_shed_kind kind, GRand *rng)
{
    double share = lmn_load_shed_share(load->delay_s, kind);
    bool is_shed = share > 0 && g_rand_double(rng) < share;

    load->shed_counts[kind] += is_shed;
    return is_shed;
}

int lmn_retry_after_s(double wait_s, GRand *rng)
{
    double wait = CLAMP(wait_s, MIN_WAIT_S, MAX_WAIT_S);

    /* CLAMP evaluates its first argument up to three times and so draws up to three
     * random numbers. Drawing fewer would change all later draws from the same generator.
     */
    return (int)CLAMP(ceil(wait * g_rand_double_range(rng, 1, MAX_WAIT_FACTOR)),
                      MIN_WAIT_S, MAX_RETRY_AFTER_S);
}
