/**
 * @file
 * Pacing of batched requests: counts requests without a reply and tells when the next may
 * be sent.
 */
#include "util/in_flight.h"

/** Seconds after which the next request is sent although the previous one has no reply
 * yet. Most replies come within 10 ms. Without this bound, each lost reply would delay
 * all later requests by a whole timeout. */
static const double MAX_WAIT_FOR_REPLY_S = 0.1;

double lmn_in_flight_wait(const struct lmn_in_flight *in_flight, struct timespec now)
{
    return in_flight->count
               ? MAX_WAIT_FOR_REPLY_S - lmn_time_diff_s(now, in_flight->last_sent_at)
               : 0;
}

void lmn_in_flight_begin(struct lmn_in_flight *in_flight, struct timespec now)
{
    in_flight->count++;
    in_flight->last_sent_at = now;
}

void lmn_in_flight_end(struct lmn_in_flight *in_flight)
{
    in_flight->count--;
}
