/**
 * @file
 * Histograms of durations, built on the GNU Scientific Library (GSL).
 */
#include "util/latency.h"

#include <math.h>

enum {
    BINS = 60,
    BINS_PER_DECADE = 10,
    FIRST_DECADE = -4 /**< the first bin starts at 1e-4 s */
};

/** Shorter and longer durations are counted as these, since GSL ignores values outside of
 * the range of the bins. */
static const double MIN_COUNTED_S = 1.0001e-4, MAX_COUNTED_S = 99.99;

void lmn_latency_init(struct lmn_latency *latency)
{
    double edges[BINS + 1];

    for (int i = 0; i <= BINS; i++)
        edges[i] = pow(10, FIRST_DECADE + i / (double)BINS_PER_DECADE);
    latency->histogram = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges(latency->histogram, edges, BINS + 1);
    latency->max = 0;
}

void lmn_latency_add(struct lmn_latency *latency, double seconds)
{
    double counted = fmin(fmax(seconds, MIN_COUNTED_S), MAX_COUNTED_S);

    gsl_histogram_increment(latency->histogram, counted);
    latency->max = fmax(latency->max, seconds);
}

double lmn_latency_quantile(const struct lmn_latency *latency, double quantile)
{
    double sum = gsl_histogram_sum(latency->histogram), below = 0, lower, upper = 0;

    if (sum <= 0)
        return 0;
    for (size_t i = 0; i < BINS; i++) {
        below += gsl_histogram_get(latency->histogram, i);
        gsl_histogram_get_range(latency->histogram, i, &lower, &upper);
        if (below >= quantile * sum)
            break;
    }
    return upper;
}

double lmn_latency_count(const struct lmn_latency *latency)
{
    return gsl_histogram_sum(latency->histogram);
}

void lmn_latency_copy(struct lmn_latency *latency, const struct lmn_latency *from)
{
    gsl_histogram_memcpy(latency->histogram, from->histogram);
    latency->max = from->max;
}

void lmn_latency_clear(struct lmn_latency *latency)
{
    gsl_histogram_free(latency->histogram);
    latency->histogram = NULL;
}
