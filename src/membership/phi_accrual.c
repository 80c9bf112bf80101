#include "membership/phi_accrual.h"

#include <gsl/gsl_cdf.h>
#include <math.h>

static const double LEAST_DEVIATION_S = 0.05, MOST_PHI = 16;
static const unsigned MEMORY = 50;

void lmn_phi_accrual_add(struct lmn_phi_accrual *accrual, double seconds)
{
    if (accrual->samples < MEMORY)
        accrual->samples++;
    double d = seconds - accrual->mean, w = 1.0 / accrual->samples;

    accrual->mean += w * d;
    accrual->variance = (1 - w) * (accrual->variance + w * d * d);
}

static double deviation(const struct lmn_phi_accrual *accrual)
{
    return fmax(sqrt(accrual->variance), LEAST_DEVIATION_S);
}

double lmn_phi_accrual_phi(const struct lmn_phi_accrual *accrual, double seconds)
{
    double q = gsl_cdf_gaussian_Q(seconds - accrual->mean, deviation(accrual));

    return q > 0 ? fmin(-log10(q), MOST_PHI) : MOST_PHI;
}

double lmn_phi_accrual_timeout_s(const struct lmn_phi_accrual *accrual, double phi)
{
    return fmax(accrual->mean + gsl_cdf_gaussian_Qinv(pow(10, -phi), deviation(accrual)),
                0);
}
