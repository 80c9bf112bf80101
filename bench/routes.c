/* Routing between a hundred emulated sites: the product's own decisions (gateway/route.h)
 * in simulated time, against random placement, greedy pushes, no gateway, and the bound
 * (one queue for all).
 *
 *   bench_routes SITES JOBS SEED
 *
 * Work comes evenly to all sites, but to one of them ten times as much; sites have 40
 * processors. Jobs of one processor run for 20 s on average, exponentially. */
#include "gateway/route.h"

#include <math.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { CPUS = 40, OFFERS = 32 };
static const double RUN_S = 20, LINK_S = 0.1, LOAD = 0.75, HOT = 10;

enum policy { NONE, RANDOM, PUSH, PULL, IDEAL, POLICIES };
static const char *const words[] = {"no gateway", "random placement", "greedy push",
                                    "pull (product)", "one queue (bound)"};

struct job {
    double at, run;
};

struct site {
    GQueue queue; /* struct job, of those that wait here */
    unsigned busy;
    double poll_s;
};

enum kind { ARRIVE, END, LOOK, LAND };

struct event {
    double at;
    enum kind kind;
    unsigned site;
    struct job *job;
};

static struct {
    GArray *heap; /* struct event */
    GRand *r;
    struct site *sites;
    unsigned n;
    double now;
    uint64_t messages, moved, started;
    double wait, worst, last;
    GArray *waits; /* double, a sample */
} w;

static void push_event(struct event e)
{
    g_array_append_val(w.heap, e);
    struct event *h = (struct event *)(void *)w.heap->data;
    guint i = w.heap->len - 1;
    while (i && h[(i - 1) / 2].at > h[i].at) {
        struct event t = h[i];
        h[i] = h[(i - 1) / 2];
        h[(i - 1) / 2] = t;
        i = (i - 1) / 2;
    }
}

static struct event pop_event(void)
{
    struct event *h = (struct event *)(void *)w.heap->data, first = h[0];
    guint n = w.heap->len - 1, i = 0;

    h[0] = h[n];
    g_array_set_size(w.heap, n);
    for (;;) {
        guint k = 2 * i + 1;
        if (k >= n)
            break;
        if (k + 1 < n && h[k + 1].at < h[k].at)
            k++;
        if (h[i].at <= h[k].at)
            break;
        struct event t = h[i];
        h[i] = h[k];
        h[k] = t;
        i = k;
    }
    return first;
}

static double expo(double mean)
{
    return -mean * log(1 - g_rand_double(w.r));
}

static void start(unsigned site, enum policy p)
{
    struct site *s = &w.sites[p == IDEAL ? 0 : site];
    unsigned cpus = p == IDEAL ? CPUS * w.n : CPUS;

    while (s->busy < cpus && s->queue.head) {
        struct job *j = g_queue_pop_head(&s->queue);
        double wait = w.now - j->at;
        s->busy++;
        w.started++;
        w.wait += wait;
        w.worst = MAX(w.worst, wait);
        if (w.started % 16 == 0)
            g_array_append_val(w.waits, wait);
        push_event((struct event){w.now + j->run, END, site, NULL});
        g_free(j);
    }
}

static double queued_s(const struct site *s)
{
    return s->queue.length * RUN_S;
}

/* The product's: an idle site looks at a sample, and pulls from the busiest. */
static void look(unsigned me)
{
    struct site *s = &w.sites[me];
    bool idle = lmn_route_for_idle_site(CPUS, s->busy, queued_s(s), 0.95);
    unsigned got = 0;

    if (idle) {
        struct lmn_route_peer *view = g_new(struct lmn_route_peer, w.n);
        for (unsigned i = 0; i < w.n; i++)
            view[i] = (struct lmn_route_peer){i != me, queued_s(&w.sites[i])};
        int from = lmn_route_pick(w.r, view, w.n);
        w.messages += (uint64_t)ceil(sqrt(w.n)); /* what it looks at */
        g_free(view);
        if (from >= 0) {
            struct site *o = &w.sites[from];
            struct lmn_route_job jobs[4 * OFFERS];
            unsigned picks[OFFERS], n = 0;
            for (GList *l = o->queue.head; l && n < G_N_ELEMENTS(jobs); l = l->next)
                jobs[n++] = (struct lmn_route_job){1, RUN_S, RUN_S, INFINITY, 2 * LINK_S};
            const struct lmn_route_for_origin home = {CPUS, o->busy,
                                                      (CPUS - o->busy) * RUN_S, 0.5};
            unsigned k = lmn_route_choose(jobs, n, &home, CPUS - s->busy, OFFERS, picks);
            w.messages += 2 + k; /* pull and offers, an answer each */
            for (unsigned i = k; i-- > 0; got++) {
                struct job *j = g_queue_pop_nth(&o->queue, picks[i]);
                push_event((struct event){w.now + 2 * LINK_S, LAND, me, j});
                w.moved++;
            }
            w.messages += k; /* outcomes */
        }
    }
    s->poll_s = idle ? lmn_route_interval(s->poll_s, got > 0) : 0;
    push_event((struct event){w.now + MAX(s->poll_s, 0.5), LOOK, me, NULL});
}

/* A busy site sends what it can't start to the emptiest of a sample. */
static void push_away(unsigned me, struct job *j)
{
    unsigned k = (unsigned)ceil(sqrt(w.n)), best = me;

    for (unsigned i = 0; i < k; i++) {
        unsigned o = (unsigned)g_rand_int_range(w.r, 0, (gint32)w.n);
        w.messages++;
        if (w.sites[o].busy + w.sites[o].queue.length <
            w.sites[best].busy + w.sites[best].queue.length)
            best = o;
    }
    if (best == me) {
        g_queue_push_tail(&w.sites[me].queue, j);
        return;
    }
    w.messages += 3;
    w.moved++;
    push_event((struct event){w.now + 2 * LINK_S, LAND, best, j});
}

static gint by_size(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return x < y ? -1 : x > y;
}

static void play(enum policy p, unsigned sites, uint64_t jobs, uint32_t seed)
{
    /* All of it is LOAD of what all processors can do; one site gets ten times its share.
     */
    double rate = LOAD * sites * CPUS / RUN_S, hot = HOT / (HOT + sites - 1);
    uint64_t come = 0;
    double balanced = 0;

    memset(&w, 0, sizeof w);
    w.r = g_rand_new_with_seed(seed);
    w.n = sites;
    w.sites = g_new0(struct site, sites);
    w.heap = g_array_new(FALSE, FALSE, sizeof(struct event));
    w.waits = g_array_new(FALSE, FALSE, sizeof(double));
    push_event((struct event){0, ARRIVE, 0, NULL});
    for (unsigned i = 0; i < sites && p == PULL; i++)
        push_event((struct event){g_rand_double(w.r), LOOK, i, NULL});
    while (w.started < jobs) {
        struct event e = pop_event();
        w.now = e.at;
        switch (e.kind) {
        case ARRIVE: {
            struct job *j = g_new(struct job, 1);
            *j = (struct job){w.now, expo(RUN_S)};
            e.site = g_rand_double(w.r) < hot
                         ? 0
                         : (unsigned)g_rand_int_range(w.r, 1, (gint32)sites);
            if (p == RANDOM) {
                unsigned to = (unsigned)g_rand_int_range(w.r, 0, (gint32)sites);
                w.messages += to != e.site ? 3 : 0;
                w.moved += to != e.site;
                e.site = to;
            }
            if (p == IDEAL)
                e.site = 0;
            if (p == PUSH && w.sites[e.site].busy >= CPUS)
                push_away(e.site, j);
            else
                g_queue_push_tail(&w.sites[e.site].queue, j);
            if (++come < jobs)
                push_event((struct event){w.now + expo(1 / rate), ARRIVE, 0, NULL});
            w.last = w.now;
            break;
        }
        case END:
            w.sites[p == IDEAL ? 0 : e.site].busy--;
            break;
        case LAND:
            g_queue_push_tail(&w.sites[e.site].queue, e.job);
            break;
        case LOOK:
            look(e.site);
            continue;
        }
        start(e.site, p);
        if (p != IDEAL && w.sites[0].queue.length > CPUS && come < jobs)
            balanced = w.now; /* the hot site last had more waiting than a machineful */
    }
    g_array_sort(w.waits, by_size);
    double p99 = g_array_index(w.waits, double, (guint)(0.99 * w.waits->len));
    printf("%-18s mean wait %8.2f s  p99 %8.2f s  longest %8.1f s  moved %5.1f%%  "
           "messages a job %5.2f  "
           "hot site last overfull at %.0f of %.0f s, all started at %.0f s\n",
           words[p], w.wait / (double)w.started, p99, w.worst,
           100 * (double)w.moved / (double)w.started,
           (double)w.messages / (double)w.started, balanced, w.last, w.now);
    for (unsigned i = 0; i < sites; i++)
        g_queue_clear_full(&w.sites[i].queue, g_free);
    g_free(w.sites);
    g_array_free(w.heap, TRUE);
    g_array_free(w.waits, TRUE);
    g_rand_free(w.r);
}

int main(int argc, char **argv)
{
    if (argc != 4) {
        fprintf(stderr, "usage: bench_routes SITES JOBS SEED\n");
        return 2;
    }
    for (int p = 0; p < POLICIES; p++)
        play((enum policy)p, (unsigned)atoi(argv[1]), strtoull(argv[2], NULL, 10),
             (uint32_t)atoi(argv[3]));
    return 0;
}
