/** @file
 * A phi accrual failure detector: how long replies take, and how unlikely a wait is by
 * that.
 *
 * After N. Hayashibara and others, "The phi accrual failure detector" (2004): times are
 * taken as normally distributed; phi is minus the decimal logarithm of the probability
 * that a reply takes longer. Mean and variance are weighted to the latest 50 or so
 * replies. All times are in seconds. The caller guards the structure. */
#ifndef LMN_MEMBERSHIP_PHI_ACCRUAL_H
#define LMN_MEMBERSHIP_PHI_ACCRUAL_H

/** The distribution of reply times; all 0 before the first reply. */
struct lmn_phi_accrual {
    double mean, variance; /**< exponentially weighted */
    unsigned samples;      /**< counted up to the window's size */
};

/** Adds the time that a reply took. */
void lmn_phi_accrual_add(struct lmn_phi_accrual *accrual, double seconds);
/** How sure it is, after so long without a reply, that none is coming: 0 to 16. Before
 * the first reply, and for tiny variances, a standard deviation of 50 ms is assumed. */
double lmn_phi_accrual_phi(const struct lmn_phi_accrual *accrual, double seconds);
/** The wait after which phi reaches the given value; at least 0. */
double lmn_phi_accrual_timeout_s(const struct lmn_phi_accrual *accrual, double phi);

#endif
