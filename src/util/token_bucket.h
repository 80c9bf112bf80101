/* A token bucket: how much of a shared limit this node may still use. */
#ifndef LMN_UTIL_TOKEN_BUCKET_H
#define LMN_UTIL_TOKEN_BUCKET_H

#include "util/clock.h"

struct lmn_token_bucket {
    double rate, burst, level;
    struct timespec at;
};

static inline void lmn_token_bucket_init(struct lmn_token_bucket *bucket, double rate,
                                         double burst, struct timespec now)
{
    *bucket = (struct lmn_token_bucket){
        .rate = rate, .burst = burst, .level = burst, .at = now};
}

static inline void lmn_token_bucket_refill(struct lmn_token_bucket *bucket,
                                           struct timespec now)
{
    double dt = lmn_time_diff_s(now, bucket->at);
    if (dt <= 0)
        return;
    bucket->level += dt * bucket->rate;
    if (bucket->level > bucket->burst)
        bucket->level = bucket->burst;
    bucket->at = now;
}

/* Seconds until n may be taken; 0 takes it. More than a burst is taken from a full
 * bucket. */
static inline double lmn_token_bucket_take(struct lmn_token_bucket *bucket, double n,
                                           struct timespec now)
{
    double need = n < bucket->burst ? n : bucket->burst;

    lmn_token_bucket_refill(bucket, now);
    if (bucket->level >= need) {
        bucket->level -= n;
        return 0;
    }
    return (need - bucket->level) / bucket->rate + 1e-3;
}

#endif
