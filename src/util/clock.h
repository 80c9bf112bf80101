/**
 * @file
 * The monotonic clock and the time of day, and arithmetic on struct timespec, which all
 * modules use for points in time. Durations are doubles in seconds. All functions are
 * pure or only read a clock; any thread may call them.
 */
#ifndef LMN_UTIL_CLOCK_H
#define LMN_UTIL_CLOCK_H

#include <time.h>

/** A clock that a test controls: if it is not NULL, lmn_now() returns the time that it
 * points to. Must be set before other threads start; always NULL outside of tests. */
extern const struct timespec *lmn_test_clock;

/** @return the time of the monotonic clock, for durations and deadlines on this machine.
 * It can't be compared with times of another machine or from before a reboot. */
static inline struct timespec lmn_now(void)
{
    struct timespec now;
    if (lmn_test_clock)
        return *lmn_test_clock;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now;
}

/** @return the time of day. It may jump when the clock is adjusted, and the clocks of
 * other nodes may differ from it by the skew that the settings allow. */
static inline struct timespec lmn_wall_clock_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return now;
}

/** @return the time in seconds since the zero point of its clock. */
static inline double lmn_time_seconds(struct timespec time)
{
    return (double)time.tv_sec + (double)time.tv_nsec * 1e-9;
}

/** @return seconds from `earlier` to `later`; negative if `earlier` is the later one. */
static inline double lmn_time_diff_s(struct timespec later, struct timespec earlier)
{
    return (double)(later.tv_sec - earlier.tv_sec) +
           (double)(later.tv_nsec - earlier.tv_nsec) * 1e-9;
}

/** @return the time `seconds` after `time`; before it if `seconds` is negative. */
static inline struct timespec lmn_time_add(struct timespec time, double seconds)
{
    time_t whole = (time_t)seconds;
    time.tv_sec += whole;
    time.tv_nsec += (long)((seconds - (double)whole) * 1e9);
    if (time.tv_nsec >= 1000000000L) {
        time.tv_sec++;
        time.tv_nsec -= 1000000000L;
    } else if (time.tv_nsec < 0) {
        time.tv_sec--;
        time.tv_nsec += 1000000000L;
    }
    return time;
}

/** Whether `first` is earlier than `second`. */
static inline int lmn_time_before(struct timespec first, struct timespec second)
{
    return first.tv_sec < second.tv_sec ||
           (first.tv_sec == second.tv_sec && first.tv_nsec < second.tv_nsec);
}

#endif
