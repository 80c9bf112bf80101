/**
 * @file
 * A token bucket: limits the rate of events such as requests to the key-value store, and
 * allows bursts of up to `burst` tokens. The caller passes the time and locks the bucket.
 */
#ifndef LMN_UTIL_TOKEN_BUCKET_H
#define LMN_UTIL_TOKEN_BUCKET_H

#include "util/clock.h"

/** The state of one bucket. */
struct lmn_token_bucket {
    double rate;  /**< tokens added per second */
    double burst; /**< capacity, tokens */
    double level; /**< tokens available; negative after more than `burst` tokens were
                       taken at once */
    struct timespec refilled_at; /**< time at which `level` was computed */
};

/** Added to each returned wait, seconds, so that rounding does not leave the bucket
 * slightly short of the tokens when the caller tries again. */
static const double LMN_TOKEN_BUCKET_EXTRA_WAIT_S = 1e-3;

/** Starts with a full bucket. */
static inline void lmn_token_bucket_init(struct lmn_token_bucket *bucket, double rate,
                                         double burst, struct timespec now)
{
    *bucket = (struct lmn_token_bucket){
        .rate = rate, .burst = burst, .level = burst, .refilled_at = now};
}

/** Adds the tokens for the time since the last refill. Does nothing if `now` is not later
 * than the last refill. */
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
 * Takes tokens if enough are available. More than `burst` tokens are taken as soon as the
 * bucket is full, which leaves `level` negative: the bucket could never hold that many.
 * @return 0 if the tokens were taken; otherwise the seconds until they can be taken.
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
