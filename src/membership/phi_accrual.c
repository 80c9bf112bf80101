/** @file
 * The phi accrual failure detector (membership/phi_accrual.h). */
#include "membership/phi_accrual.h"

#include <gsl/gsl_cdf.h>
#include <math.h>

/** Lower bound of the standard deviation: if all replies came within a few milliseconds,
 * any small delay would look like a failure. */
static const double MIN_DEVIATION_S = 0.05;
/** Probabilities below 1e-16 are beyond the precision of a double. */
static const double MAX_PHI = 16;
/** After this number of replies, each new one has the weight 1 / WINDOW_SAMPLES. */
static const unsigned WINDOW_SAMPLES = 50;

void lmn_phi_accrual_add(struct lmn_phi_accrual *accrual, double seconds)
{
    if (accrual->samples < WINDOW_SAMPLES)
        accrual->samples++;
    double difference = seconds - accrual->mean;
    double weight = 1.0 / accrual->samples;

    accrual->mean += weight * difference;
    accrual->variance =
        (1 - weight) * (accrual->variance + weight * difference * difference);
}

static double standard_deviation_s(const struct lmn_phi_accrual *accrual)
{
    return fmax(sqrt(accrual->variance), MIN_DEVIATION_S);
}

double lmn_phi_accrual_phi(const struct lmn_phi_accrual *accrual, double seconds)
{
    double probability =
        gsl_cdf_gaussian_Q(seconds - accrual->mean, standard_deviation_s(accrual));

    return probability > 0 ? fmin(-log10(probability), MAX_PHI) : MAX_PHI;
}

double lmn_phi_accrual_timeout_s(const struct lmn_phi_accrual *accrual, double phi)
{
    double wait_s = accrual->mean +
                    gsl_cdf_gaussian_Qinv(pow(10, -phi), standard_deviation_s(accrual));

    return fmax(wait_s, 0);
}
