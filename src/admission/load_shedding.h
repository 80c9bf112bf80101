/* How far a node is behind with its work, and what it sheds for that. Pure functions; the
 * caller holds the lock that guards the structure.
 *
 * What a node can't do in time it says at once, and when to come back: polls first, since
 * who polls comes again by himself, then submissions; a worker's report is always taken,
 * since its lease hangs on it, but starts nothing new when nothing else is left to shed.
 */
#ifndef LMN_ADMISSION_LOAD_SHEDDING_H
#define LMN_ADMISSION_LOAD_SHEDDING_H

#include <glib.h>
#include <stdbool.h>

enum lmn_shed_kind { LMN_SHED_POLL, LMN_SHED_SUBMISSION, LMN_SHED_START, LMN_SHED_KINDS };

struct lmn_load {
    double delay_s; /* seconds, smoothed: how late what was due is done */
    guint64 shed_counts[LMN_SHED_KINDS];
};

/* Something that was due is done so many seconds late, dt seconds after the last such
 * note. Rises at once by half of what is new, falls with a time constant of 1 s. */
void lmn_load_record_delay(struct lmn_load *load, double late_s, double dt_s);

/* The share of such requests that is shed with the node so far behind: 0 up to a
 * threshold, 1 from twice that on. */
double lmn_load_shed_share(double behind_s, enum lmn_shed_kind what);

/* Whether this one is shed: by chance, so that nobody is shed each time. Counts it. */
bool lmn_load_should_shed(struct lmn_load *load, enum lmn_shed_kind what, GRand *rng);

/* After how many whole seconds to come back: 1 to 30, by chance over an interval that
 * grows with wait_s, so that those who were sent away do not come back together. */
int lmn_retry_after(double wait_s, GRand *rng);

#endif
