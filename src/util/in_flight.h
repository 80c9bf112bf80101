/**
 * @file
 * Pacing of batched requests to one service. Requests go out one at a time, so that
 * whatever arrives in the meantime shares the next one; but a request whose reply is slow
 * no longer holds up those after it. The caller passes the time and locks the structure.
 */
#ifndef LMN_UTIL_IN_FLIGHT_H
#define LMN_UTIL_IN_FLIGHT_H

#include "util/clock.h"

/** Requests that were sent and have no reply yet. */
struct lmn_in_flight {
    unsigned in_flight;   /**< number of them */
    struct timespec sent; /**< when the last of them was sent */
};

/** @return seconds until a further request may be sent; 0 or less: at once. */
double lmn_in_flight_wait(const struct lmn_in_flight *in_flight, struct timespec now);

/** Counts a request that is being sent. */
void lmn_in_flight_begin(struct lmn_in_flight *in_flight, struct timespec now);

/** Counts the end of a request, whether it was answered or not. */
void lmn_in_flight_end(struct lmn_in_flight *in_flight);

#endif
