/** @file
 * A phi accrual failure detector: learns how long replies take, and rates how unlikely a
 * reply is after a given wait.
 *
 * After N. Hayashibara and others, "The phi accrual failure detector" (2004): reply times
 * are assumed to be normally distributed; phi is minus the decimal logarithm of the
 * probability that a reply takes longer than the wait so far. Mean and variance are
 * exponentially weighted, with a window of 50 replies. All times are in seconds. The
 * functions take no lock; the caller serializes access to the structure. */
#ifndef LMN_MEMBERSHIP_PHI_ACCRUAL_H
#define LMN_MEMBERSHIP_PHI_ACCRUAL_H

/** The distribution of reply times; all 0 before the first reply. */
struct lmn_phi_accrual {
    double mean, variance; /**< exponentially weighted */
    unsigned samples;      /**< counted up to the window's size */
};

/** Adds a measured reply time. */
void lmn_phi_accrual_add(struct lmn_phi_accrual *accrual, double seconds);
/** Returns phi after `seconds` without a reply, 0 to 16. Before the first reply, and when
 * the measured standard deviation is below 50 ms, 50 ms is assumed. */
double lmn_phi_accrual_phi(const struct lmn_phi_accrual *accrual, double seconds);
/** Returns the wait in seconds after which phi reaches the given value; at least 0. */
double lmn_phi_accrual_timeout_s(const struct lmn_phi_accrual *accrual, double phi);

#endif
