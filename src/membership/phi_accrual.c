#include "membership/phi_accrual.h"

#include <gsl/gsl_cdf.h>
#include <math.h>

static const double LEAST_DEVIATION_S = 0.05, MOST_PHI = 16;
static const unsigned MEMORY = 50;

void lmn_phi_accrual_add(struct lmn_phi_accrual *a, double s)
{
    if (a->n < MEMORY)
        a->n++;
    double d = s - a->mean, w = 1.0 / a->n;

    a->mean += w * d;
    a->var = (1 - w) * (a->var + w * d * d);
}

static double deviation(const struct lmn_phi_accrual *a)
{
    return fmax(sqrt(a->var), LEAST_DEVIATION_S);
}

double lmn_phi_accrual_phi(const struct lmn_phi_accrual *a, double s)
{
    double q = gsl_cdf_gaussian_Q(s - a->mean, deviation(a));

    return q > 0 ? fmin(-log10(q), MOST_PHI) : MOST_PHI;
}

double lmn_phi_accrual_timeout_s(const struct lmn_phi_accrual *a, double phi)
{
    return fmax(a->mean + gsl_cdf_gaussian_Qinv(pow(10, -phi), deviation(a)), 0);
}
