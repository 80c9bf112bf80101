/** @file
 * How far a controller is behind with its work, and what it refuses because of that.
 *
 * A request that can't be served in time is refused at once, and told when to come back.
 * Polls are refused first, since a client polls again by itself, then submissions. A
 * worker's heartbeat is always taken, since its lease depends on it, but no task is
 * started in reply when nothing else is left to refuse.
 *
 * Functions of their arguments; the caller holds the lock that guards the structure. */
#ifndef LMN_ADMISSION_LOAD_SHEDDING_H
#define LMN_ADMISSION_LOAD_SHEDDING_H

#include <glib.h>
#include <stdbool.h>

/** What may be refused, in the order in which it is. */
enum lmn_shed_kind { LMN_SHED_POLL, LMN_SHED_SUBMISSION, LMN_SHED_START, LMN_SHED_KINDS };

/** A controller's load. */
struct lmn_load {
    double delay_s; /**< how late is done what was due, smoothed */
    guint64 shed_counts[LMN_SHED_KINDS];
};

/** Something that was due was done late. The load's delay rises at once by half of the
 * difference, and falls with a time constant of a second.
 *
 * @param late_s how late it was
 * @param elapsed_s since the last call */
void lmn_load_record_delay(struct lmn_load *load, double late_s, double elapsed_s);

/** The share of such requests that is refused at a delay: 0 up to a threshold, 1 from
 * twice the threshold on. */
double lmn_load_shed_share(double delay_s, enum lmn_shed_kind kind);

/** Whether to refuse this request, and counts it: by chance, so that no client is refused
 * each time. Draws a random number only if some share is refused. */
bool lmn_load_should_shed(struct lmn_load *load, enum lmn_shed_kind kind, GRand *rng);

/** After how many seconds a refused client should come back: 1 to 30, by chance from an
 * interval that grows with wait_s, so that clients do not come back together. */
int lmn_retry_after_s(double wait_s, GRand *rng);

#endif
