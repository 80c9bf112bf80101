/**
 * @file
 * POSIX threads with small stacks, and condition variables on the monotonic clock, so
 * that waits aren't disturbed by changes of the time of day.
 */
#ifndef LMN_UTIL_THREAD_H
#define LMN_UTIL_THREAD_H

#include <pthread.h>

/** Stack of each thread, bytes: a process may have hundreds of threads and little memory.
 */
enum { LMN_THREAD_STACK_BYTES = 256 * 1024 };

/** Starts a detached thread. Aborts the process if there can't be one: nothing here works
 * with a part of its threads. */
void lmn_thread_start_detached(void *(*function)(void *), void *arg);

/** Initialises a condition variable for lmn_cond_wait_for(). */
void lmn_cond_init(pthread_cond_t *condition);

/** Sleeps for so many seconds; less if a signal arrives. */
void lmn_sleep(double seconds);

/** Waits for the condition, but no longer than the given seconds; the caller holds the
 * mutex and finds out itself what has happened. Wakes up without a reason at times, as
 * all condition variables may. */
void lmn_cond_wait_for(pthread_cond_t *condition, pthread_mutex_t *mutex, double seconds);

#endif
