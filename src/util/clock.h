/**
 * @file
 * The two clocks, and arithmetic on struct timespec, the type of a moment throughout.
 * Durations are doubles in seconds. All functions are pure or read a clock; any thread
 * may call them.
 */
#ifndef LMN_UTIL_CLOCK_H
#define LMN_UTIL_CLOCK_H

#include <time.h>

/** A test's own clock: if set, lmn_now() returns what it points to. To be set before
 * other threads start, and always NULL outside of tests. */
extern const struct timespec *lmn_test_clock;

/** @return the monotonic clock: for durations and deadlines on this machine. Its moments
 * mean nothing to another machine, nor after a reboot. */
static inline struct timespec lmn_now(void)
{
    struct timespec now;
    if (lmn_test_clock)
        return *lmn_test_clock;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now;
}

/** @return the time of day. It may jump, and may be compared with other nodes' only
 * within the bound that the settings allow. */
static inline struct timespec lmn_wall_clock_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return now;
}

/** @return the moment as seconds since its clock's start. */
static inline double lmn_time_seconds(struct timespec time)
{
    return (double)time.tv_sec + (double)time.tv_nsec * 1e-9;
}

/** @return seconds from `earlier` to `later`; negative if their order is the other. */
static inline double lmn_time_diff_s(struct timespec later, struct timespec earlier)
{
    return (double)(later.tv_sec - earlier.tv_sec) +
           (double)(later.tv_nsec - earlier.tv_nsec) * 1e-9;
}

/** @return the moment that many seconds later; earlier if they are negative. */
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

/** Whether the first moment is earlier than the second. */
static inline int lmn_time_before(struct timespec first, struct timespec second)
{
    return first.tv_sec < second.tv_sec ||
           (first.tv_sec == second.tv_sec && first.tv_nsec < second.tv_nsec);
}

#endif
