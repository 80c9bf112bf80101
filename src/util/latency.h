/**
 * @file
 * Histograms of durations, for the status page and metrics. The caller locks a histogram.
 * To compute quantiles without blocking writers, copy the histogram under the lock and
 * read the copy.
 */
#ifndef LMN_UTIL_LATENCY_H
#define LMN_UTIL_LATENCY_H

#include <gsl/gsl_histogram.h>

/** A histogram with ten bins for each power of ten, from 0.1 ms to 100 s; shorter and
 * longer durations count in the outermost bins. */
struct lmn_latency {
    gsl_histogram *histogram; /**< owned */
    double max;               /**< the longest duration, seconds; may exceed 100 */
};

/** Allocates an empty histogram; to be released by lmn_latency_clear(). */
void lmn_latency_init(struct lmn_latency *latency);

/** Copies `from` into `latency`; both must have been initialised. */
void lmn_latency_copy(struct lmn_latency *latency, const struct lmn_latency *from);

/** Frees the bins that lmn_latency_init() allocated. */
void lmn_latency_clear(struct lmn_latency *latency);

/** Counts a duration. */
void lmn_latency_add(struct lmn_latency *latency, double seconds);

/** @param quantile 0 to 1. @return the upper end, in seconds, of the bin that contains
 * the quantile; 0 if nothing was counted. */
double lmn_latency_quantile(const struct lmn_latency *latency, double quantile);

/** @return the number of durations counted. */
double lmn_latency_count(const struct lmn_latency *latency);

#endif
