/** @file
 * Measures how late a controller's work is, and refuses requests accordingly.
 *
 * A request that can't be answered in time is refused immediately with a Retry-After.
 * Polls are refused first, since clients repeat them anyway, then submissions. A worker's
 * heartbeat is always handled, since the worker's lease depends on it; but at the highest
 * load the reply starts no task.
 *
 * The functions keep no state of their own; the caller holds the lock that guards the
 * structure. */
#ifndef LMN_ADMISSION_LOAD_SHEDDING_H
#define LMN_ADMISSION_LOAD_SHEDDING_H

#include <glib.h>
#include <stdbool.h>

/** Kinds of work that may be refused, in the order in which they are refused as the load
 * grows. */
enum lmn_shed_kind { LMN_SHED_POLL, LMN_SHED_SUBMISSION, LMN_SHED_START, LMN_SHED_KINDS };

/** A controller's load. */
struct lmn_load {
    double delay_s; /**< smoothed delay between when work is due and when it is done */
    guint64 shed_counts[LMN_SHED_KINDS];
};

/** Records the delay of one piece of work. If it is above the load's delay, the load's
 * delay rises by half of the difference; otherwise it falls towards it with a time
 * constant of 1 s.
 *
 * @param late_s how late the work was done
 * @param elapsed_s time since the last call */
void lmn_load_record_delay(struct lmn_load *load, double late_s, double elapsed_s);

/** The fraction of requests of this kind that is refused at a delay: 0 up to the kind's
 * threshold, rising linearly to 1 at twice the threshold. */
double lmn_load_shed_share(double delay_s, enum lmn_shed_kind kind);

/** Decides at random whether to refuse a request, so that no client is refused every
 * time, and counts it in shed_counts if so. Draws a random number only if the fraction to
 * refuse is above 0. */
bool lmn_load_should_shed(struct lmn_load *load, enum lmn_shed_kind kind, GRand *rng);

/** The Retry-After of a refused request in seconds, from 1 to 30: drawn at random from an
 * interval that grows with wait_s, so that refused clients do not all retry at once. */
int lmn_retry_after_s(double wait_s, GRand *rng);

#endif
