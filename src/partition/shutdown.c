/* The graceful shutdown of a controller. The core's lock is held by the caller
 * throughout. */
#include "partition/shutdown.h"

#include "partition/transfer_target.h"
#include "replication/replica_choice.h"
#include "state/core.h"
#include "util/log.h"

#include <string.h>

/* How long after the start of the shutdown the process still serves users, in seconds.
 * The load balancer in front of the users' API notices the shutdown after two probes,
 * which are 1 s apart and up to 1 s late each, and resets connections that are still open
 * 5 s later. By then every response has closed its connection. */
static const double LOAD_BALANCER_S = 6;

/* How long after the start of the shutdown the process exits, whatever is left to do, in
 * seconds. */
static const double MAX_SHUTDOWN_S = 10;

/* How long after the start of the shutdown a partition waits for a standby if no member
 * is in sync, in seconds. Sending the replica of a partition takes some tenths of a
 * second. */
static const double STANDBY_WAIT_S = 2;

void lmn_shutdown_begin(struct lmn_core *core, struct timespec now)
{
    if (core->shutdown.is_requested)
        return;
    __atomic_store_n(&core->shutdown.is_requested, true, __ATOMIC_RELAXED);
    core->shutdown.has_released_lease = false;
    core->shutdown.began_at = now;
    lmn_info("shutdown_started partitions=%u",
             lmn_member_owned_partitions(core, core->members.self));
    pthread_cond_broadcast(&core->ownership_changed);
}

bool lmn_shutdown_cancel(struct lmn_core *core)
{
    if (core->shutdown.has_released_lease)
        return false;
    if (core->shutdown.is_requested)
        lmn_info("shutdown_cancelled");
    __atomic_store_n(&core->shutdown.is_requested, false, __ATOMIC_RELAXED);
    pthread_cond_broadcast(&core->ownership_changed);
    return true;
}

int lmn_shutdown_transfer_target(const struct lmn_core *core,
                                 const struct lmn_partition *partition,
                                 struct timespec now)
{
    int standby = lmn_standby_in_sync(core, partition, now);

    if (standby >= 0 && standby != core->members.self)
        return standby;
    /* Without a standby in sync, the next owner has to begin with a cold failover, which
     * takes longer than a wait for a standby. */
    if (lmn_time_diff_s(now, core->shutdown.began_at) < STANDBY_WAIT_S &&
        core->cache.operator_settings.standby > 0)
        return -1;
    return lmn_transfer_target(core, partition, now);
}

bool lmn_shutdown_all_transferred(const struct lmn_core *core)
{
    if (!core->shutdown.is_requested)
        return false;
    for (int i = 0; i < core->partition_count; i++)
        if (core->partitions[i].ownership.is_owned ||
            (core->partitions[i].record.owner_revision &&
             !strcmp(core->partitions[i].record.owner, core->settings->node_name)))
            return false;
    return true;
}

double lmn_shutdown_remaining_s(const struct lmn_core *core, struct timespec now)
{
    double load_balancer_s =
        MAX(LOAD_BALANCER_S - lmn_time_diff_s(now, core->shutdown.began_at), 0);

    /* A single controller has no other controller to redirect users to. */
    if (core->shutdown.has_released_lease)
        return core->members.count == 1 ? 0 : load_balancer_s;
    return MAX(MAX_SHUTDOWN_S - lmn_time_diff_s(now, core->shutdown.began_at), 0);
}

bool lmn_shutdown_is_complete(const struct lmn_core *core, struct timespec now)
{
    return core->shutdown.is_requested && lmn_shutdown_remaining_s(core, now) <= 0;
}

void lmn_shutdown_describe(const struct lmn_core *core, GString *text,
                           struct timespec now)
{
    if (!core->shutdown.is_requested) {
        g_string_append(text, "not shutting down\n");
        return;
    }
    g_string_append_printf(text,
                           "shutting down for %.1f s: %u partitions to transfer, lease "
                           "%s, exits within %.1f s\n",
                           lmn_time_diff_s(now, core->shutdown.began_at),
                           lmn_member_owned_partitions(core, core->members.self),
                           core->shutdown.has_released_lease ? "released" : "held",
                           lmn_shutdown_remaining_s(core, now));
}
