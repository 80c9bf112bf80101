/**
 * @file
 * Threads, condition variables, and the test clock of util/clock.h.
 */
#include "util/thread.h"
#include "util/clock.h"
#include "util/log.h"

#include <stdlib.h>
#include <string.h>

const struct timespec *lmn_test_clock;

void lmn_thread_start_detached(void *(*function)(void *), void *arg)
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, LMN_THREAD_STACK_BYTES);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    int error = pthread_create(&thread, &attributes, function, arg);
    pthread_attr_destroy(&attributes);
    if (error) {
        lmn_error("thread_start_failed error=\"%s\"", strerror(error));
        abort();
    }
}

void lmn_cond_init(pthread_cond_t *condition)
{
    pthread_condattr_t attributes;

    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

void lmn_sleep(double seconds)
{
    struct timespec duration = lmn_time_add((struct timespec){0, 0}, seconds);
    nanosleep(&duration, NULL);
}

void lmn_cond_wait_for(pthread_cond_t *condition, pthread_mutex_t *mutex, double seconds)
{
    struct timespec deadline = lmn_time_add(lmn_now(), seconds);
    pthread_cond_timedwait(condition, mutex, &deadline);
}
