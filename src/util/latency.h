/**
 * @file
 * Histograms of durations, for the status page and metrics. The caller locks a histogram;
 * to read one without holding up its writers, copy it under the lock.
 */
#ifndef LMN_UTIL_LATENCY_H
#define LMN_UTIL_LATENCY_H

#include <gsl/gsl_histogram.h>

/** A histogram with ten bins for each power of ten, from 0.1 ms to 100 s; shorter and
 * longer durations count in the outermost bins. */
struct lmn_latency {
    gsl_histogram *histogram; /**< owned */
    double max;               /**< the longest duration, seconds, without a bound */
};

/** Allocates an empty histogram; to be released by lmn_latency_clear(). */
void lmn_latency_init(struct lmn_latency *latency);

/** Replaces the content of a histogram, which must have been initialised, by a copy. */
void lmn_latency_copy(struct lmn_latency *latency, const struct lmn_latency *from);

/** Releases the histogram. */
void lmn_latency_clear(struct lmn_latency *latency);

/** Counts a duration. */
void lmn_latency_add(struct lmn_latency *latency, double seconds);

/** @param quantile 0 to 1. @return the upper end, in seconds, of the bin that contains
 * the quantile; 0 if nothing was counted. */
double lmn_latency_quantile(const struct lmn_latency *latency, double quantile);

/** @return how many durations were counted. */
double lmn_latency_count(const struct lmn_latency *latency);

#endif
