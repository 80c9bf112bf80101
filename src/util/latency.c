#include "util/latency.h"

#include <math.h>

enum { BINS = 60 };

void lmn_latency_init(struct lmn_latency *latency)
{
    double edges[BINS + 1];

    /* Ten bins a power of ten, from 0.1 ms to 100 s; what is beyond counts with the ends.
     */
    for (int i = 0; i <= BINS; i++)
        edges[i] = pow(10, -4 + i / 10.0);
    latency->h = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges(latency->h, edges, BINS + 1);
    latency->max = 0;
}

void lmn_latency_add(struct lmn_latency *latency, double seconds)
{
    double in = fmin(fmax(seconds, 1.0001e-4), 99.99);

    gsl_histogram_increment(latency->h, in);
    latency->max = fmax(latency->max, seconds);
}

double lmn_latency_quantile(const struct lmn_latency *latency, double share)
{
    double sum = gsl_histogram_sum(latency->h), below = 0, lower, upper = 0;

    if (sum <= 0)
        return 0;
    for (int i = 0; i < BINS; i++) {
        below += gsl_histogram_get(latency->h, (size_t)i);
        gsl_histogram_get_range(latency->h, (size_t)i, &lower, &upper);
        if (below >= share * sum)
            break;
    }
    return upper;
}

void lmn_latency_copy(struct lmn_latency *latency, const struct lmn_latency *from)
{
    gsl_histogram_memcpy(latency->h, from->h);
    latency->max = from->max;
}

void lmn_latency_clear(struct lmn_latency *latency)
{
    gsl_histogram_free(latency->h);
    latency->h = NULL;
}
