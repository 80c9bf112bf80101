/* How long answers take, and how unlikely a wait is by that.
 *
 * After N. Hayashibara and others, "The phi accrual failure detector" (2004): times are
 * taken as normally distributed, phi is minus the decimal logarithm of the probability
 * that an answer takes longer. Mean and variance are weighted to the latest 50 or so
 * answers. All times in seconds; no locks, no errors. */
#ifndef LMN_MEMBERSHIP_PHI_ACCRUAL_H
#define LMN_MEMBERSHIP_PHI_ACCRUAL_H

struct lmn_phi_accrual {
    double mean, variance;
    unsigned samples;
};

/* An answer came after s. */
void lmn_phi_accrual_add(struct lmn_phi_accrual *accrual, double seconds);
/* How sure one may be that no answer is coming, after s without one: 0 to 16. Before the
 * first answer, and for tiny variances, a deviation of 50 ms is assumed. */
double lmn_phi_accrual_phi(const struct lmn_phi_accrual *accrual, double seconds);
/* The wait at which phi is reached. */
double lmn_phi_accrual_timeout_s(const struct lmn_phi_accrual *accrual, double phi);

#endif
