/* Requests to one service that go one at a time, so that what comes meanwhile shares the
 * next one; but one that is slow to be answered no longer holds up what has come since.
 * Not locked. */
#ifndef LMN_UTIL_IN_FLIGHT_H
#define LMN_UTIL_IN_FLIGHT_H

#include "util/clock.h"

struct lmn_in_flight {
    unsigned in_flight;   /* requests without an answer yet */
    struct timespec sent; /* when the last of them went out */
};

/* Seconds until a further request may go out beside those in flight; 0 or less: now. */
double lmn_in_flight_wait(const struct lmn_in_flight *in_flight, struct timespec now);
void lmn_in_flight_begin(struct lmn_in_flight *in_flight, struct timespec now);
void lmn_in_flight_end(struct lmn_in_flight *in_flight);

#endif
