/* A token bucket: how much of a shared limit this node may still use. */
#ifndef LMN_UTIL_TOKEN_BUCKET_H
#define LMN_UTIL_TOKEN_BUCKET_H

#include "util/clock.h"

struct lmn_token_bucket {
    double rate, burst, level;
    struct timespec at;
};

static inline void lmn_token_bucket_init(struct lmn_token_bucket *b, double rate,
                                         double burst, struct timespec now)
{
    *b = (struct lmn_token_bucket){
        .rate = rate, .burst = burst, .level = burst, .at = now};
}

static inline void lmn_token_bucket_refill(struct lmn_token_bucket *b,
                                           struct timespec now)
{
    double dt = lmn_time_diff_s(now, b->at);
    if (dt <= 0)
        return;
    b->level += dt * b->rate;
    if (b->level > b->burst)
        b->level = b->burst;
    b->at = now;
}

/* Seconds until n may be taken; 0 takes it. More than a burst is taken from a full
 * bucket. */
static inline double lmn_token_bucket_take(struct lmn_token_bucket *b, double n,
                                           struct timespec now)
{
    double need = n < b->burst ? n : b->burst;

    lmn_token_bucket_refill(b, now);
    if (b->level >= need) {
        b->level -= n;
        return 0;
    }
    return (need - b->level) / b->rate + 1e-3;
}

#endif
