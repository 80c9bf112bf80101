/* Which work goes where: MATRIX between sites. Pure functions of what is passed in;
 * bench/routes.c plays them over a hundred emulated sites, against random placement,
 * greedy pushes, and none. */
#ifndef LMN_ROUTE_H
#define LMN_ROUTE_H

#include <glib.h>
#include <stdbool.h>

/* Whether a site should pull: little handed to its controllers, and nothing waits. */
bool lmn_route_for_idle_site(double cpus, double handed_cpus, double queued_cpu_s,
                             double pull_at);

/* What a site knows of another. */
struct lmn_route_peer {
    bool up;
    double queued_cpu_s;
};
/* The busiest of a fresh random sample of the peers, the root of their number (Rajendran
 * 2013, 2.3.1 and 4.2.2); -1: none of them has anything. */
int lmn_route_pick(GRand *r, const struct lmn_route_peer *peers, unsigned n);
/* The interval until the next pull: doubles with each failure, reset by success (2.3.2).
 */
double lmn_route_interval(double interval_s, bool success);

/* A job that waits at home, as routing sees it. */
struct lmn_route_job {
    double cpus;   /* all its tasks together */
    double work_s; /* processor seconds */
    double run_s;  /* of a task, about */
    double
        slack_s; /* until it would have to start to be in time; INFINITY: no deadline */
    double fetch_s; /* until it could start there: transfer, image */
};
struct lmn_route_for_origin {
    double cpus, handed_cpus; /* the site's processors; what its controllers have */
    double spare_s; /* processor seconds that they will still get before they run dry */
    double share;   /* of what waits that a pull takes at most */
};
/* Which of the jobs, in the order in which the home would start them, go to a site with
 * room for so many processors; picks: their places, at most so many. What would start
 * sooner at home stays; of what goes, what would miss its deadline here and can meet it
 * there goes first. Returns how many. */
unsigned lmn_route_choose(const struct lmn_route_job *jobs, unsigned n,
                          const struct lmn_route_for_origin *home, double room_cpus,
                          unsigned most, unsigned *picks);

#endif
