/**
 * @file
 * Pacing of batched requests to one service. Requests are sent one at a time, so
 * that operations that arrive before the reply are batched into the next request. A
 * request whose reply takes longer than 0.1 s does not delay the next one any further.
 * The caller passes the time and locks the structure.
 */
#ifndef LMN_UTIL_IN_FLIGHT_H
#define LMN_UTIL_IN_FLIGHT_H

#include "util/clock.h"

/** Requests that were sent and have no reply yet. */
struct lmn_in_flight {
    unsigned count;               /**< requests without a reply */
    struct timespec last_sent_at; /**< when the last request was sent */
};

/** @return seconds until the next request may be sent; 0 or less: it may be sent now. */
double lmn_in_flight_wait(const struct lmn_in_flight *in_flight, struct timespec now);

/** Counts a request that is being sent. */
void lmn_in_flight_begin(struct lmn_in_flight *in_flight, struct timespec now);

/** Counts the end of a request, whether it was answered or not. */
void lmn_in_flight_end(struct lmn_in_flight *in_flight);

#endif
