/**
 * @file
 * A token bucket: limits the rate of something, such as requests to the key-value store,
 * and allows bursts up to its size. The caller passes the time and locks the bucket.
 */
#ifndef LMN_UTIL_TOKEN_BUCKET_H
#define LMN_UTIL_TOKEN_BUCKET_H

#include "util/clock.h"

/** The state of one bucket. */
struct lmn_token_bucket {
    double rate;  /**< tokens added for each second */
    double burst; /**< the most tokens that it holds */
    double level; /**< tokens it holds; negative after a take of more than a
                       burst */
    struct timespec refilled_at; /**< the moment that `level` belongs to */
};

/** Added to each wait, seconds, so that rounding doesn't make the next take fail again by
 * a hair. */
static const double LMN_TOKEN_BUCKET_EXTRA_WAIT_S = 1e-3;

/** Starts with a full bucket. */
static inline void lmn_token_bucket_init(struct lmn_token_bucket *bucket, double rate,
                                         double burst, struct timespec now)
{
    *bucket = (struct lmn_token_bucket){
        .rate = rate, .burst = burst, .level = burst, .refilled_at = now};
}

/** Adds the tokens of the time since the last refill. A clock that stands still or goes
 * back changes nothing. */
static inline void lmn_token_bucket_refill(struct lmn_token_bucket *bucket,
                                           struct timespec now)
{
    double elapsed_s = lmn_time_diff_s(now, bucket->refilled_at);
    if (elapsed_s <= 0)
        return;
    bucket->level += elapsed_s * bucket->rate;
    if (bucket->level > bucket->burst)
        bucket->level = bucket->burst;
    bucket->refilled_at = now;
}

/**
 * Takes tokens if they are there. More than a burst is taken from a full bucket, which
 * then goes into debt, since it would never hold as many.
 * @return 0 if they were taken; otherwise the seconds until they can be.
 */
static inline double lmn_token_bucket_take(struct lmn_token_bucket *bucket, double tokens,
                                           struct timespec now)
{
    double needed = tokens < bucket->burst ? tokens : bucket->burst;

    lmn_token_bucket_refill(bucket, now);
    if (bucket->level >= needed) {
        bucket->level -= tokens;
        return 0;
    }
    return (needed - bucket->level) / bucket->rate + LMN_TOKEN_BUCKET_EXTRA_WAIT_S;
}

#endif
