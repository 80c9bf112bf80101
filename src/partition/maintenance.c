/* What an owner does from time to time: lapses, returns, cut zones, an audit of its
 * books. */
#include "partition/maintenance.h"
#include "util/log.h"
#include "scheduler/queue.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "replication/replica.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <math.h>
#include <string.h>

void lmn_machine_terminated(struct lmn_core *core, struct lmn_machine *machine,
                            struct timespec now)
{
    machine->lifecycle.is_terminated = true;
    machine->lifecycle.is_inherited = false;
    machine->lifecycle.is_accounted = true;
    lmn_machine_requeue_tasks(core, machine, "machine gone", now);
    g_hash_table_add(core->cloud.returned_machines, g_strdup(machine->name));
    lmn_partition_check_ready(core, machine->partition, now);
    if (!machine->record.block)
        g_hash_table_remove(machine->partition->machines, machine->name);
}

static guint busy(const struct lmn_machine *machine)
{
    guint n = 0;
    for (guint i = 0; i < machine->attempts->len; i++)
        n += g_array_index(machine->attempts, struct lmn_attempt, i).state !=
             LMN_ATTEMPT_ENDED;
    return n;
}

/* By then most of an inherited partition's machines that are alive have answered a
 * question. */
static const double HEARD_S = 3;
/* A worker that was refused everywhere is back so much later than its next report. */
static const double LATE_BACK_S = 4;

/* Until then this node answered no reports. A machine that was silent by then was refused
 * here, or had nobody to talk to, and says nothing about its link. */
static struct timespec listening_since(const struct lmn_core *core)
{
    struct timespec woke = core->members.resumed_at;

    return lmn_time_before(core->maintenance.heartbeats_refused_until, woke)
               ? woke
               : core->maintenance.heartbeats_refused_until;
}

/* Whether this node has answered reports for so long that each worker which reaches it
 * has had the time to report here again. */
static bool has_listened(const struct lmn_core *core, struct timespec now)
{
    return lmn_time_diff_s(now, listening_since(core)) >
           core->members.timeouts.heartbeat_overdue_s + LATE_BACK_S;
}

/* Its link is in doubt: neither a report came nor, where it may just not have come back
 * yet, an answer to a question. */
static bool unheard(const struct lmn_core *core, const struct lmn_machine *machine,
                    struct timespec now)
{
    if (!machine->lifecycle.is_accounted)
        return true;
    if (!machine->agent.lease_expired && !lmn_machine_is_silent(core, machine, now))
        return false;
    return machine->agent.unanswered_probes > 0 || has_listened(core, now);
}

/* How many of a partition's machines are silent, of those that should not be. */
struct silence {
    const char *zone; /* NULL: of all zones together */
    guint silent, all;
};

/* Those of the whole partition, then of each zone. */
static GArray *listen_to(const struct lmn_core *core,
                         const struct lmn_partition *partition, struct timespec now)
{
    GArray *a = g_array_new(FALSE, TRUE, sizeof(struct silence));

    g_array_set_size(a, 1);
    for (guint k = 0; k < partition->machine_list->len; k++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[k];
        guint i = 1;
        if ((!machine->agent.has_reported && !machine->lifecycle.is_inherited) ||
            machine->lifecycle.is_terminated)
            continue;
        while (i < a->len &&
               strcmp(g_array_index(a, struct silence, i).zone, machine->zone))
            i++;
        if (i == a->len) {
            struct silence z = {.zone = machine->zone};
            g_array_append_val(a, z);
        }
        bool silent = unheard(core, machine, now);
        g_array_index(a, struct silence, 0).all++;
        g_array_index(a, struct silence, 0).silent += silent;
        g_array_index(a, struct silence, i).all++;
        g_array_index(a, struct silence, i).silent += silent;
    }
    return a;
}

static bool most_of(const struct silence *s)
{
    return s->silent > 2 && 2 * s->silent > s->all;
}

/* Whether some machine is to be asked, whatever its silence says so far. */
static bool has_to_ask(const struct lmn_core *core, const struct lmn_partition *partition,
                       struct timespec now)
{
    for (guint k = 0; k < partition->machine_list->len; k++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[k];
        if (!machine->lifecycle.is_terminated &&
            ((machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted) ||
             lmn_machine_is_silent(core, machine, now)))
            return true;
    }
    return false;
}

/* If most machines are silent, the fault is more likely on this side. */
static bool most_silent(const GArray *a)
{
    return most_of(&g_array_index(a, struct silence, 0));
}

/* If most machines of a zone are silent, it is cut off: they are alive, and so may their
 * tasks be, under an owner that is cut off with them. When it is over, each is heard
 * again only when it has given up its last try and comes to report here: once the first
 * half had, the others were returned. */
static void note_cuts(const struct lmn_core *core, struct lmn_partition *partition,
                      const GArray *a, struct timespec now)
{
    /* Right after a takeover nobody has been heard yet. */
    if (lmn_time_diff_s(now, partition->ownership.since) < HEARD_S)
        return;
    for (guint i = 1; i < a->len; i++) {
        const struct silence *s = &g_array_index(a, struct silence, i);
        struct lmn_zone_cut *cut = NULL;
        if (!most_of(s))
            continue;
        for (guint k = 0; k < partition->zone_cuts->len && !cut; k++)
            if (!strcmp(g_array_index(partition->zone_cuts, struct lmn_zone_cut, k).zone,
                        s->zone))
                cut = &g_array_index(partition->zone_cuts, struct lmn_zone_cut, k);
        if (!cut) {
            struct lmn_zone_cut new = {.zone = g_intern_string(s->zone)};
            g_array_append_val(partition->zone_cuts, new);
            cut = &g_array_index(partition->zone_cuts, struct lmn_zone_cut,
                                 partition->zone_cuts->len - 1);
        }
        if (lmn_time_before(cut->until, now))
            lmn_info("zone_silent partition=%d zone=%s silent=%u of=%u", partition->id,
                     s->zone, s->silent, s->all);
        cut->until = lmn_time_add(now, core->settings->heartbeat_s + 10);
    }
}

static bool is_cut(const struct lmn_partition *partition, const char *zone,
                   struct timespec now)
{
    for (guint i = 0; i < partition->zone_cuts->len; i++) {
        const struct lmn_zone_cut *cut =
            &g_array_index(partition->zone_cuts, struct lmn_zone_cut, i);
        if (!strcmp(cut->zone, zone))
            return lmn_time_before(now, cut->until);
    }
    return false;
}

/* A worker whose lease has run out has so long to come back with a new session. */
static const double LAPSED_BACK_S = 12;

static void upkeep_machine(struct lmn_core *core, struct lmn_machine *machine,
                           const GArray *silence, struct timespec now)
{
    const struct lmn_settings *settings = core->settings;
    struct lmn_partition *partition = machine->partition;
    double silent = machine->agent.has_reported
                        ? lmn_time_diff_s(now, machine->agent.last_heartbeat_at)
                        : lmn_time_diff_s(now, partition->ownership.since);

    if (machine->lifecycle.is_terminated)
        return;
    /* Counted from the last report that we may have answered, with the clocks' drift and
     * our own lateness allowed for: then the worker has ended everything by itself. Only
     * so within our own term: before, a predecessor may have answered it later than we
     * know; and after, a successor. So the mirror must show that the partition was still
     * ours when the lease was over. Found when a zone was cut off with its controller: it
     * gave up the machines of the other zones, which its successor had kept alive, and
     * started their tasks once more on those of its own zone. */
    double lapse = settings->lease_s * 1.002 + 1.5;
    if (machine->lifecycle.is_accounted && !machine->agent.lease_expired &&
        silent > lapse &&
        lmn_time_diff_s(core->cache.fresh_at, machine->agent.last_heartbeat_at) > lapse) {
        machine->agent.lease_expired = true;
        lmn_info("machine_lease_expired machine=%s partition=%d tasks=%u", machine->name,
                 partition->id, busy(machine));
        lmn_machine_requeue_tasks(core, machine, "lease lapsed", now);
    }
    if (lmn_watch_cache_age_s(core, now) > LMN_MAX_CACHE_AGE_S)
        return;
    /* Most machines that fall silent are gone, and a return is a quicker proof of that
     * than a lease; a worker that answers when asked is left alone. Not so in a zone that
     * is cut off: returning its machines ended a third of all replicas at once, where
     * most would have run on, and left nothing to come back to. */
    bool few = !most_silent(silence), cut = is_cut(partition, machine->zone, now);
    if (lmn_machine_is_silent(core, machine, now) &&
        machine->agent.unanswered_probes >= 2 && few && !cut)
        lmn_machine_drain(core, machine, true, "silent and unreachable", now);
    if (machine->agent.lease_expired &&
        silent >
            settings->lease_s + LAPSED_BACK_S + (few && cut ? settings->cancel_s : 0) &&
        lmn_time_diff_s(now, listening_since(core)) > LAPSED_BACK_S)
        lmn_machine_drain(core, machine, true, "silent", now);
    if (machine->lifecycle.has_spot_notice &&
        lmn_time_diff_s(now, machine->lifecycle.spot_notice_at) >
            machine->lifecycle.spot_notice_s + 0.5)
        lmn_machine_drain(core, machine, true, "taken by the cloud", now);
    /* Neither its worker's reports nor our own questions got through. If that goes for
     * most of them, the fault is more likely on this side: then the leases have to run
     * out first. In a zone by itself the partition's usual holder may answer them for as
     * long as its view is not too old, and their leases run out after that. If it stands
     * elsewhere, nobody answers them, and the partition's queued work need not wait. */
    double patience =
        !few ? settings->lease_s + 8
        : cut && lmn_preferred_owner_is_in_zone(core, partition, machine->zone)
            ? settings->cancel_s + 4
            : 2.5;
    /* Heard or not: reports of an older term may be copies that come late, or come from a
     * machine that does not hear us. Once each of them put the return off, and the
     * partition's inherited work waited for as long as they came. One that was heard has
     * had an answer, and the time for another report. */
    double waited = lmn_time_diff_s(now, machine->lifecycle.is_inherited
                                             ? partition->ownership.since
                                             : machine->agent.first_seen_at);
    if (machine->agent.has_reported)
        patience = MAX(patience, 1.25 * settings->heartbeat_s + 4);
    if (machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted &&
        waited > patience &&
        (machine->agent.unanswered_probes >= 2 ||
         (machine->agent.unanswered_probes &&
          waited > 1.25 * settings->heartbeat_s + patience) ||
         waited > settings->lease_s))
        lmn_machine_drain(core, machine, true, "not heard under the new term", now);
    /* One that nobody recorded, and that was never heard under our term: a copy of a
     * report of a machine that is gone, or one that does not hear. */
    if (!machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted &&
        waited > settings->lease_s + 1.25 * settings->heartbeat_s)
        lmn_machine_drain(core, machine, true, "never heard under this term", now);
    /* While a partition's inherited work has to wait, its machines are idle for that
     * alone. */
    if (machine->lifecycle.is_accounted && !machine->lifecycle.is_draining &&
        machine->lifecycle.idle_since.tv_sec && partition->ownership.is_ready &&
        lmn_time_diff_s(now, machine->lifecycle.idle_since) >
            core->cache.operator_settings.idle_return_s &&
        lmn_time_diff_s(now, partition->ownership.ready_at) >
            core->cache.operator_settings.idle_return_s &&
        !machine->queue.task_count)
        lmn_machine_drain(core, machine, false, "idle", now);
}

static uint32_t in_queue(const struct lmn_queue *queue, const struct lmn_range *range)
{
    uint32_t n = 0;
    for (guint i = 0; i < queue->segments->len; i++) {
        const struct lmn_queue_segment *segment = queue->segments->pdata[i];
        if (segment->range == range)
            n += segment->end - segment->first;
    }
    return n;
}

/* A task that the books call queued but that stands in no queue would wait for ever.
 * There should be none; if there is one, it is said, and dealt anew. */
static void audit(struct lmn_core *core, struct lmn_partition *partition,
                  struct timespec now)
{
    GList *ranges = g_hash_table_get_values(partition->ranges);

    for (GList *l = ranges; l && partition->ownership.is_ready; l = l->next) {
        struct lmn_range *range = l->data;
        uint32_t n = range->end - range->first, queued = 0,
                 found = in_queue(&partition->scheduling.unassigned, range);
        GHashTableIter it;
        gpointer v;
        if (!range->task_states || range->job->phase != LMN_JOB_ACTIVE)
            continue;
        for (uint32_t i = 0; i < n; i++)
            queued += range->task_states[i] == LMN_TASK_QUEUED;
        g_hash_table_iter_init(&it, partition->machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            found += in_queue(&((struct lmn_machine *)v)->queue, range);
        if (found >= queued)
            continue;
        core->counters.reconciled_tasks++;
        lmn_error("reconciliation_requeued_tasks range=%s queued=%u found=%u", range->key,
                  queued, found);
        lmn_reassign_range(core, range, now);
    }
    g_list_free(ranges);
}

/* Which part of its machines this node does not hear, in all its partitions together:
 * its word of itself. Those that it refused have gone to others and may not be back yet:
 * after an outage of the state service all members called each other deaf for that, and
 * gave their partitions away in a circle. */
static void note_deaf(struct lmn_core *core, struct timespec now)
{
    guint overdue = 0, all = 0;
    bool listened = has_listened(core, now);

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        for (guint k = 0;
             partition->ownership.is_owned && k < partition->machine_list->len; k++) {
            const struct lmn_machine *machine = partition->machine_list->pdata[k];
            if (!machine->lifecycle.is_accounted || machine->lifecycle.is_terminated)
                continue;
            all++;
            /* Nor is one in command of whoever does not hear it. */
            overdue +=
                machine->agent.ignored_commands > 1 ||
                (listened && lmn_time_diff_s(now, machine->agent.last_heartbeat_at) >
                                 core->members.timeouts.heartbeat_overdue_s);
        }
    }
    core->members.health.silent_machine_share = core->members.is_isolated_from_workers ? 1
                                                : all > 2 ? overdue / (double)all
                                                          : 0;
}

/* How many machines each member's partitions have. */
static void note_machines(struct lmn_core *core)
{
    for (int i = 0; i < core->members.count; i++)
        core->members.views[i].machine_count = 0;
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        int owner = *partition->record.owner
                        ? lmn_member_index(&core->members, partition->record.owner)
                        : -1;
        if (owner >= 0)
            core->members.views[owner].machine_count += partition->machine_list->len;
    }
}

/* The interval between looks at all machines, for each of them, and the longest. */
static const double EACH_S = 0.0003, LONGEST_S = 1;
enum { FEW = 1000 };

void lmn_maintenance_run(struct lmn_core *core, struct timespec now)
{
    bool due = lmn_time_diff_s(now, core->maintenance.last_reconciled_at) > 5.0;
    guint machines = 0;

    for (int i = 0; i < core->partition_count; i++)
        machines += core->partitions[i].ownership.is_owned
                        ? core->partitions[i].machine_list->len
                        : 0;
    /* A look at each takes as long as there are machines; what it finds has waited for
     * seconds already. */
    if (machines > FEW && lmn_time_diff_s(now, core->maintenance.last_run_at) <
                              MIN(machines * EACH_S, LONGEST_S))
        return;
    core->maintenance.last_run_at = now;
    if (lmn_watch_cache_is_too_stale(core, now) ||
        !lmn_self_may_reply(&core->members, now))
        core->maintenance.heartbeats_refused_until = now;
    note_deaf(core, now);
    note_machines(core);
    if (due)
        core->maintenance.last_reconciled_at = now;
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        lmn_replica_drop_outdated(core, partition);
        if (!partition->ownership.is_owned)
            continue;
        /* Once for all machines: a look at each from each takes their square. */
        GArray *silence = listen_to(core, partition, now);
        note_cuts(core, partition, silence, now);
        partition->ownership.needs_probing = has_to_ask(core, partition, now);
        for (guint k = 0; k < partition->machine_list->len; k++)
            upkeep_machine(core, partition->machine_list->pdata[k], silence, now);
        g_array_free(silence, TRUE);
        lmn_partition_check_ready(core, partition, now);
        if (due)
            audit(core, partition, now);
    }
}
