#include "util/thread.h"
#include "util/clock.h"
#include "util/log.h"

#include <stdlib.h>
#include <string.h>

const struct timespec *lmn_test_clock;

void lmn_thread(void *(*f)(void *), void *arg)
{
    pthread_attr_t a;
    pthread_t t;

    pthread_attr_init(&a);
    pthread_attr_setstacksize(&a, LMN_STACK);
    pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
    int rc = pthread_create(&t, &a, f, arg);
    pthread_attr_destroy(&a);
    if (rc) {
        lmn_error("thread_start_failed error=\"%s\"", strerror(rc));
        abort();
    }
}

void lmn_cond_init(pthread_cond_t *c)
{
    pthread_condattr_t a;
    pthread_condattr_init(&a);
    pthread_condattr_setclock(&a, CLOCK_MONOTONIC);
    pthread_cond_init(c, &a);
    pthread_condattr_destroy(&a);
}

void lmn_sleep(double seconds)
{
    struct timespec t = lmn_time_add((struct timespec){0, 0}, seconds);
    nanosleep(&t, NULL);
}

void lmn_cond_wait_for(pthread_cond_t *c, pthread_mutex_t *m, double seconds)
{
    struct timespec t = lmn_time_add(lmn_now(), seconds);
    pthread_cond_timedwait(c, m, &t);
}
