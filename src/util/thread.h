/**
 * @file
 * POSIX threads with small stacks, and condition variables on the monotonic clock, so
 * that changes of the time of day do not affect timeouts.
 */
#ifndef LMN_UTIL_THREAD_H
#define LMN_UTIL_THREAD_H

#include <pthread.h>

/** Stack size of each thread, bytes; small, since a process may have hundreds of threads
 * and little memory. */
enum { LMN_THREAD_STACK_BYTES = 256 * 1024 };

/** Starts a detached thread. Aborts the process if the thread can't be created, since no
 * module works with some of its threads missing. */
void lmn_thread_start_detached(void *(*function)(void *), void *arg);

/** Initialises a condition variable for lmn_cond_wait_for(). */
void lmn_cond_init(pthread_cond_t *condition);

/** Sleeps for `seconds`; returns earlier if a signal arrives. */
void lmn_sleep(double seconds);

/** Waits until the condition is signalled, for at most `seconds`. The caller holds the
 * mutex and must check its predicate afterwards, since spurious wake-ups occur and a
 * timeout is not reported. */
void lmn_cond_wait_for(pthread_cond_t *condition, pthread_mutex_t *mutex, double seconds);

#endif
