/* Relays on loopback, which hold, reset, slow or turn one-way what goes through them. */
#ifndef LMN_BENCH_RELAY_H
#define LMN_BENCH_RELAY_H

#include "util/thread.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* HELD: what is under way waits, and goes on later. ONE_WAY: only the dialler is heard.
 */
enum relay_mode { RELAY_OPEN, RELAY_HELD, RELAY_RESET, RELAY_ONE_WAY, RELAY_SLOW };

struct relay {
    int listener, to_port;
    volatile enum relay_mode mode;
};

/* One side of a connection. */
struct relay_end {
    struct relay *r;
    struct relay_end *other;
    int fd;
    bool dialler, gone;
};

struct relay_loop {
    int epoll;
};

static inline bool relay_pass(int from, int to)
{
    char buf[16384];
    ssize_t n = read(from, buf, sizeof buf);

    for (ssize_t at = 0; at < n;) {
        ssize_t k = write(to, buf + at, (size_t)(n - at));
        if (k <= 0)
            return false;
        at += k;
    }
    return n > 0;
}

static inline void relay_end_both(struct relay_end *e)
{
    struct linger hard = {1, 0};

    setsockopt(e->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    setsockopt(e->other->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close(e->fd);
    close(e->other->fd);
    e->gone = e->other->gone = true;
}

static inline void relay_watch(struct relay_loop *l, struct relay_end *e, int how)
{
    struct epoll_event ev = {.events = EPOLLIN | EPOLLONESHOT, .data.ptr = e};
    epoll_ctl(l->epoll, how, e->fd, &ev);
}

static inline void relay_accept(struct relay_loop *l, struct relay *r)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)r->to_port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = accept(r->listener, NULL, NULL), to;

    if (fd < 0)
        return;
    to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (r->mode == RELAY_RESET || connect(to, (struct sockaddr *)&a, sizeof a) != 0) {
        close(fd);
        close(to);
        return;
    }
    struct relay_end *x = calloc(1, sizeof *x), *y = calloc(1, sizeof *y);
    *x = (struct relay_end){r, y, fd, true, false};
    *y = (struct relay_end){r, x, to, false, false};
    relay_watch(l, x, EPOLL_CTL_ADD);
    relay_watch(l, y, EPOLL_CTL_ADD);
}

/* A thread carries all connections of its loop. A side that is held is looked at again a
 * little later; ends are few, and left to the process's end. */
static inline void *relay_run(void *arg)
{
    struct relay_loop *l = arg;
    struct epoll_event ev[64];
    struct relay_end *held[4096];
    int nheld = 0;

    for (;;) {
        int n = epoll_wait(l->epoll, ev, 64, 20);
        for (int i = 0; i < nheld; i++)
            if (!held[i]->gone)
                relay_watch(l, held[i], EPOLL_CTL_MOD);
        nheld = 0;
        for (int i = 0; i < n; i++) {
            struct relay_end *e = ev[i].data.ptr;
            if (!e->other) { /* a listener's */
                relay_accept(l, e->r);
                continue;
            }
            if (e->gone)
                continue;
            enum relay_mode m = e->r->mode;
            bool wait = m == RELAY_HELD || (m == RELAY_ONE_WAY && !e->dialler);
            if (wait && nheld < 4096) {
                held[nheld++] = e;
                continue;
            }
            if (m == RELAY_SLOW)
                lmn_sleep(0.02);
            if (m == RELAY_RESET || !relay_pass(e->fd, e->other->fd))
                relay_end_both(e);
            else
                relay_watch(l, e, EPOLL_CTL_MOD);
        }
    }
    return NULL;
}

static inline struct relay_loop *relay_loop_new(void)
{
    struct relay_loop *l = calloc(1, sizeof *l);

    l->epoll = epoll_create1(EPOLL_CLOEXEC);
    lmn_thread_start_detached(relay_run, l);
    return l;
}

/* Returns the port that leads to to_port. */
static inline int relay_open(struct relay_loop *l, struct relay *r, int to_port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof a;
    struct relay_end *e = calloc(1, sizeof *e);

    r->to_port = to_port;
    r->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(r->listener, (struct sockaddr *)&a, sizeof a) != 0 ||
        listen(r->listener, 512) != 0) {
        perror("relay");
        exit(1);
    }
    getsockname(r->listener, (struct sockaddr *)&a, &len);
    *e = (struct relay_end){.r = r, .fd = r->listener};
    struct epoll_event ev = {.events = EPOLLIN, .data.ptr = e};
    epoll_ctl(l->epoll, EPOLL_CTL_ADD, r->listener, &ev);
    return ntohs(a.sin_port);
}

#endif
