#include "gateway/route.h"

#include <math.h>

static const double FLOOR_S = 0.2, CAP_S = 5;

bool lmn_route_for_idle_site(double cpus, double handed_cpus, double queued_cpu_s,
                             double pull_at)
{
    return handed_cpus < pull_at * cpus && queued_cpu_s <= 0;
}

int lmn_route_pick(GRand *r, const struct lmn_route_peer *peers, unsigned n)
{
    unsigned sample = (unsigned)ceil(sqrt(n));
    int best = -1;

    for (unsigned i = 0; i < sample; i++) {
        int k = g_rand_int_range(r, 0, (gint32)n);
        if (peers[k].up && peers[k].queued_cpu_s > 0 &&
            (best < 0 || peers[k].queued_cpu_s > peers[best].queued_cpu_s))
            best = k;
    }
    return best;
}

double lmn_route_interval(double interval_s, bool success)
{
    if (success)
        return 0;
    return interval_s > 0 ? MIN(2 * interval_s, CAP_S) : FLOOR_S;
}

unsigned lmn_route_choose(const struct lmn_route_job *jobs, unsigned n,
                          const struct lmn_route_for_origin *home, double room_cpus,
                          unsigned most, unsigned *picks)
{
    double spared = MAX(home->spare_s, 0), share = 0;
    /* What is ahead of each, in processor seconds: what the controllers have is halfway
     * through. */
    double first = 0;
    unsigned k = 0;

    for (unsigned i = 0; i < n; i++)
        share += jobs[i].cpus * home->share;
    for (int late = 1; late >= 0; late--) {
        double ahead = first, keep = spared, start;
        for (unsigned i = 0; i < n && k < most && room_cpus > 0 && share > 0; i++) {
            const struct lmn_route_job *j = &jobs[i];
            if (keep > 0) {
                /* The own controllers get it before they have run dry. */
                keep -= j->work_s;
                ahead += j->work_s;
                continue;
            }
            start = (ahead + home->handed_cpus * j->run_s / 2) / MAX(home->cpus, 0.01);
            ahead += j->work_s;
            bool misses = start > j->slack_s, meets = j->fetch_s <= j->slack_s;
            if (j->fetch_s >= start || (misses && meets) != late)
                continue;
            picks[k++] = i;
            room_cpus -= j->cpus;
            share -= j->cpus;
        }
    }
    return k;
}
