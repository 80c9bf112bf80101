/**
 * @file
 * Pacing of batched requests.
 */
#include "util/in_flight.h"

/** A request may overtake one that has waited for so many seconds. Most replies come
 * within 10 ms. Without this, each lost reply would delay all later requests by a whole
 * timeout. */
static const double OVERTAKE_S = 0.1;

double lmn_in_flight_wait(const struct lmn_in_flight *in_flight, struct timespec now)
{
    return in_flight->in_flight ? OVERTAKE_S - lmn_time_diff_s(now, in_flight->sent) : 0;
}

void lmn_in_flight_begin(struct lmn_in_flight *in_flight, struct timespec now)
{
    in_flight->in_flight++;
    in_flight->sent = now;
}

void lmn_in_flight_end(struct lmn_in_flight *in_flight)
{
    in_flight->in_flight--;
}
