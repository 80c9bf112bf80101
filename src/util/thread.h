/* POSIX threads with small stacks, and condition variables on the steady clock. */
#ifndef LMN_UTIL_THREAD_H
#define LMN_UTIL_THREAD_H

#include <pthread.h>

enum { LMN_STACK = 256 * 1024 };

void lmn_thread(void *(*f)(void *), void *arg);
void lmn_cond_init(pthread_cond_t *c);
void lmn_sleep(double seconds);
/* Waits for the condition, but no longer than the given seconds. */
void lmn_cond_wait_for(pthread_cond_t *c, pthread_mutex_t *m, double seconds);

#endif
