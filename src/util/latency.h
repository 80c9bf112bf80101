/* Histograms of how long things took, for the status. */
#ifndef LMN_UTIL_LATENCY_H
#define LMN_UTIL_LATENCY_H

#include <gsl/gsl_histogram.h>

struct lmn_latency {
    gsl_histogram *h;
    double max;
};

void lmn_latency_init(struct lmn_latency *latency);
/* Of one that was set up; the histogram is copied. */
void lmn_latency_copy(struct lmn_latency *latency, const struct lmn_latency *from);
void lmn_latency_clear(struct lmn_latency *latency);
void lmn_latency_add(struct lmn_latency *latency, double seconds);
/* The upper end of the bin that holds the given share of all; 0 if there are none. */
double lmn_latency_quantile(const struct lmn_latency *latency, double share);

#endif
