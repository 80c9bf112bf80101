/* Arithmetic on struct timespec, the type of time throughout. */
#ifndef LMN_UTIL_CLOCK_H
#define LMN_UTIL_CLOCK_H

#include <time.h>

/* A clock of a test's own: what lmn_now tells, if set. */
extern const struct timespec *lmn_test_clock;

static inline struct timespec lmn_now(void)
{
    struct timespec t;
    if (lmn_test_clock)
        return *lmn_test_clock;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return t;
}

/* The time of day: good for comparing with other nodes within the settings' bound only.
 */
static inline struct timespec lmn_wall_clock_now(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return t;
}

static inline double lmn_time_seconds(struct timespec t)
{
    return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

/* a - b in seconds. */
static inline double lmn_time_diff_s(struct timespec a, struct timespec b)
{
    return (double)(a.tv_sec - b.tv_sec) + (double)(a.tv_nsec - b.tv_nsec) * 1e-9;
}

static inline struct timespec lmn_time_add(struct timespec t, double seconds)
{
    time_t whole = (time_t)seconds;
    t.tv_sec += whole;
    t.tv_nsec += (long)((seconds - (double)whole) * 1e9);
    if (t.tv_nsec >= 1000000000L) {
        t.tv_sec++;
        t.tv_nsec -= 1000000000L;
    } else if (t.tv_nsec < 0) {
        t.tv_sec--;
        t.tv_nsec += 1000000000L;
    }
    return t;
}

static inline int lmn_time_before(struct timespec a, struct timespec b)
{
    return a.tv_sec < b.tv_sec || (a.tv_sec == b.tv_sec && a.tv_nsec < b.tv_nsec);
}

#endif
