#include "partition/shutdown.h"
#include "util/log.h"
#include "partition/transfer_target.h"
#include "replication/stream.h"
#include "state/core.h"

#include <string.h>

/* The users' balancer notices after two probes, a second apart and a second late each,
 * and resets what is still open 5 s later: by then all answers have closed their
 * connections. */
static const double USERS_S = 6;
/* However far it is, the process ends after this time. */
static const double MOST_S = 10;
/* Nobody is in step: the copy of a partition takes some tenths of a second. */
static const double COPY_S = 2;

void lmn_shutdown_begin(struct lmn_core *c, struct timespec now)
{
    if (c->leaving)
        return;
    __atomic_store_n(&c->leaving, true, __ATOMIC_RELAXED);
    c->left = false;
    c->leave_at = now;
    lmn_info("leave-begin partitions=%u", lmn_member_owned_partitions(c, c->members.me));
    pthread_cond_broadcast(&c->changed);
}

bool lmn_shutdown_cancel(struct lmn_core *c)
{
    if (c->left)
        return false;
    if (c->leaving)
        lmn_info("leave-undone");
    __atomic_store_n(&c->leaving, false, __ATOMIC_RELAXED);
    pthread_cond_broadcast(&c->changed);
    return true;
}

int lmn_shutdown_transfer_target(const struct lmn_core *c, const struct lmn_partition *p,
                                 struct timespec now)
{
    int named = lmn_standby_named(c, p, now);

    if (named >= 0 && named != c->members.me)
        return named;
    /* One that is being taken over cold can't be given warm; somebody else would begin
     * anew. */
    if (lmn_time_diff_s(now, c->leave_at) < COPY_S && c->tuning.standby > 0)
        return -1;
    return lmn_transfer_target(c, p, now);
}

bool lmn_shutdown_owns_nothing(const struct lmn_core *c)
{
    if (!c->leaving)
        return false;
    for (int i = 0; i < c->nparts; i++)
        if (c->parts[i].mine ||
            (c->parts[i].owner_rev && !strcmp(c->parts[i].owner, c->cfg->node)))
            return false;
    return true;
}

double lmn_shutdown_remaining_s(const struct lmn_core *c, struct timespec now)
{
    double least = MAX(USERS_S - lmn_time_diff_s(now, c->leave_at), 0);

    /* Alone there is nobody to send users to. */
    if (c->left)
        return c->members.n == 1 ? 0 : least;
    return MAX(MOST_S - lmn_time_diff_s(now, c->leave_at), 0);
}

bool lmn_shutdown_is_complete(const struct lmn_core *c, struct timespec now)
{
    return c->leaving && lmn_shutdown_remaining_s(c, now) <= 0;
}

void lmn_shutdown_describe(const struct lmn_core *c, GString *s, struct timespec now)
{
    if (!c->leaving) {
        g_string_append(s, "not leaving\n");
        return;
    }
    g_string_append_printf(s,
                           "leaving for %.1f s: %u partitions left to give, lease %s, "
                           "ends within %.1f s\n",
                           lmn_time_diff_s(now, c->leave_at),
                           lmn_member_owned_partitions(c, c->members.me),
                           c->left ? "gone" : "held", lmn_shutdown_remaining_s(c, now));
}
