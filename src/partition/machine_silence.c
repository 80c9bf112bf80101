/* Counts silent machines, and detects zones that are cut off. The caller holds the core's
 * lock for all functions. */
#include "partition/machine_silence.h"

#include "state/core.h"
#include "state/task_ledger.h"
#include "util/log.h"

#include <string.h>

/* The time after a failover by which most live machines of an inherited partition have
 * answered a probe. */
static const double FIRST_ANSWERS_S = 3;

/* How much later than its next regular heartbeat a worker returns that all controllers
 * have refused. */
static const double REFUSED_WORKER_DELAY_S = 4;

/* A zone stays recorded as cut off for one heartbeat interval and this time after a
 * majority of its machines was last silent. */
static const double ZONE_CUT_S = 10;

/* Up to this number of silent machines are explained by failures of single machines, not
 * by that of a network link. */
enum { MAX_SINGLE_FAILURES = 2 };

struct timespec lmn_heartbeats_answered_since(const struct lmn_core *core)
{
    struct timespec resumed_at = core->members.resumed_at;
    struct timespec refused_until = core->maintenance.heartbeats_refused_until;

    return lmn_time_before(refused_until, resumed_at) ? resumed_at : refused_until;
}

/* Whether this controller has answered heartbeats long enough for each worker that can
 * reach it to have sent another one. */
static bool has_answered_long_enough(const struct lmn_core *core, struct timespec now)
{
    return lmn_time_diff_s(now, lmn_heartbeats_answered_since(core)) >
           core->members.timeouts.heartbeat_overdue_s + REFUSED_WORKER_DELAY_S;
}

/* Whether the machine's network link may have failed: it is not accounted for yet, or its
 * heartbeats are overdue and it has not answered a probe. Once this controller has
 * answered heartbeats long enough for the worker to have returned to it, overdue
 * heartbeats alone are sufficient. */
static bool is_link_in_doubt(const struct lmn_core *core,
                             const struct lmn_machine *machine, struct timespec now)
{
    if (!machine->lifecycle.is_accounted)
        return true;
    if (!machine->agent.lease_expired && !lmn_machine_is_silent(core, machine, now))
        return false;
    return machine->agent.unanswered_probes > 0 || has_answered_long_enough(core, now);
}

/* Finds or adds the zone's count. Returns its index. */
static guint find_or_add_zone(GArray *silence, const char *zone)
{
    struct lmn_machine_silence new_entry = {.zone = zone};

    for (guint i = 1; i < silence->len; i++)
        if (!strcmp(g_array_index(silence, struct lmn_machine_silence, i).zone, zone))
            return i;
    g_array_append_val(silence, new_entry);
    return silence->len - 1;
}

static void count_machine(GArray *silence, guint index, bool is_silent)
{
    struct lmn_machine_silence *entry =
        &g_array_index(silence, struct lmn_machine_silence, index);

    entry->total++;
    entry->silent += is_silent;
}

GArray *lmn_machine_silence_count(const struct lmn_core *core,
                                  const struct lmn_partition *partition,
                                  struct timespec now)
{
    GArray *silence = g_array_new(FALSE, TRUE, sizeof(struct lmn_machine_silence));

    g_array_set_size(silence, 1);
    for (guint i = 0; i < partition->machine_list->len; i++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[i];
        if ((!machine->agent.has_reported && !machine->lifecycle.is_inherited) ||
            machine->lifecycle.is_terminated)
            continue;
        bool is_silent = is_link_in_doubt(core, machine, now);
        count_machine(silence, 0, is_silent);
        count_machine(silence, find_or_add_zone(silence, machine->zone), is_silent);
    }
    return silence;
}

static bool is_majority_silent(const struct lmn_machine_silence *entry)
{
    return entry->silent > MAX_SINGLE_FAILURES && 2 * entry->silent > entry->total;
}

bool lmn_machine_majority_is_silent(const GArray *silence)
{
    return is_majority_silent(&g_array_index(silence, struct lmn_machine_silence, 0));
}

static struct lmn_zone_cut *find_cut(const struct lmn_partition *partition,
                                     const char *zone)
{
    for (guint i = 0; i < partition->zone_cuts->len; i++) {
        struct lmn_zone_cut *cut =
            &g_array_index(partition->zone_cuts, struct lmn_zone_cut, i);
        if (!strcmp(cut->zone, zone))
            return cut;
    }
    return NULL;
}

static struct lmn_zone_cut *find_or_add_cut(struct lmn_partition *partition,
                                            const char *zone)
{
    struct lmn_zone_cut *cut = find_cut(partition, zone);

    if (cut)
        return cut;
    struct lmn_zone_cut new_cut = {.zone = g_intern_string(zone)};
    g_array_append_val(partition->zone_cuts, new_cut);
    return &g_array_index(partition->zone_cuts, struct lmn_zone_cut,
                          partition->zone_cuts->len - 1);
}

/* If most machines of a zone are silent, the zone is taken to be cut off: the machines
 * are alive, and may run tasks for an owner that is cut off with them. After the link is
 * restored, a machine's heartbeats arrive here only when its worker's last attempt to
 * reach another controller has timed out. So the zone stays recorded as cut off for some
 * time after the majority is back. Otherwise the remaining machines would be returned to
 * the cloud as soon as the first half is back. */
void lmn_zone_cuts_update(const struct lmn_core *core, struct lmn_partition *partition,
                          const GArray *silence, struct timespec now)
{
    /* Right after a failover no machine has had time to answer. */
    if (lmn_time_diff_s(now, partition->ownership.since) < FIRST_ANSWERS_S)
        return;
    for (guint i = 1; i < silence->len; i++) {
        const struct lmn_machine_silence *entry =
            &g_array_index(silence, struct lmn_machine_silence, i);
        if (!is_majority_silent(entry))
            continue;
        struct lmn_zone_cut *cut = find_or_add_cut(partition, entry->zone);
        if (lmn_time_before(cut->until, now))
            lmn_info("zone_silent partition=%d zone=%s silent=%u of=%u", partition->id,
                     entry->zone, entry->silent, entry->total);
        cut->until = lmn_time_add(now, core->settings->heartbeat_s + ZONE_CUT_S);
    }
}

bool lmn_zone_is_cut_off(const struct lmn_partition *partition, const char *zone,
                         struct timespec now)
{
    const struct lmn_zone_cut *cut = find_cut(partition, zone);

    return cut && lmn_time_before(now, cut->until);
}

/* Whether the machine's heartbeats are overdue, or it ignores commands. */
static bool is_out_of_reach(const struct lmn_core *core,
                            const struct lmn_machine *machine, bool answered_long_enough,
                            struct timespec now)
{
    /* If commands have no effect, messages do not reach the machine, although its
     * heartbeats arrive. */
    return machine->agent.ignored_commands > 1 ||
           (answered_long_enough &&
            lmn_time_diff_s(now, machine->agent.last_heartbeat_at) >
                core->members.timeouts.heartbeat_overdue_s);
}

/* Workers that this controller refused try other members and may not have returned yet,
 * so overdue heartbeats count only after this controller has answered for long enough.
 * Otherwise, after an outage of the key-value store, every member would count its workers
 * as silent, and the members would transfer their partitions to each other in turn. */
void lmn_silent_machine_share_update(struct lmn_core *core, struct timespec now)
{
    guint silent = 0, total = 0;
    bool answered_long_enough = has_answered_long_enough(core, now);

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        if (!partition->ownership.is_owned)
            continue;
        for (guint k = 0; k < partition->machine_list->len; k++) {
            const struct lmn_machine *machine = partition->machine_list->pdata[k];
            if (!machine->lifecycle.is_accounted || machine->lifecycle.is_terminated)
                continue;
            total++;
            silent += is_out_of_reach(core, machine, answered_long_enough, now);
        }
    }
    double share = total > MAX_SINGLE_FAILURES ? silent / (double)total : 0;
    core->members.health.silent_machine_share =
        core->members.is_isolated_from_workers ? 1 : share;
}
