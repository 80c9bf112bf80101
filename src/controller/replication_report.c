/** @file
 * Replication in the reports for operators. The keys of the status report and the names
 * of the metrics must not change, because operators' scripts and dashboards read them. */
#include "controller/replication_report.h"
#include "http/metrics.h"
#include "replication/stream.h"
#include "replication/start_gate.h"

#include <string.h>

/** Appends the line of an owned partition: the stream to its standby. */
static void describe_stream(GString *text, const struct lmn_core *core,
                            const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;
    uint64_t waiting_starts;
    guint pending_machines;
    double wait_s;

    lmn_replication_lag(partition, now, &pending_machines, &waiting_starts, &wait_s);
    g_string_append_printf(
        text, "  standby %s phase=%s untold=%u waiting=%" G_GUINT64_FORMAT " waits=%.3f",
        stream->phase == LMN_STREAM_NONE
            ? "-"
            : lmn_member_name(&core->members, stream->standby_index),
        lmn_replication_phase_name(stream->phase), pending_machines, waiting_starts,
        wait_s);
    if (stream->phase == LMN_STREAM_NONE && stream->last_failure_reason)
        g_string_append_printf(text, " last=\"%s\" again_in=%.1f",
                               stream->last_failure_reason,
                               MAX(lmn_time_diff_s(stream->next_step_at, now), 0));
    g_string_append_printf(text,
                           " batches=%" G_GUINT64_FORMAT " machines=%" G_GUINT64_FORMAT
                           " strikes=%" G_GUINT64_FORMAT "\n",
                           stream->counters.batches, stream->counters.machines,
                           stream->counters.removals);
}

/** Whether the partition's record names this controller's replica as the one in sync. */
static bool is_in_sync(const struct lmn_core *core, const struct lmn_partition *partition)
{
    const struct lmn_replica *replica = partition->replication.replica;
    const struct lmn_partition_record *record = &partition->record;

    return replica->stream == record->standby_stream && replica->epoch == record->epoch &&
           !strcmp(record->standby, core->settings->node_name);
}

/** Appends the line of this controller's replica: of a partition with another owner, or
 * of one that this controller owned until recently. */
static void describe_replica(GString *text, const struct lmn_core *core,
                             const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_replica *replica = partition->replication.replica;
    guint machine_count = g_hash_table_size(replica->machines);

    if (replica->is_own_state)
        g_string_append_printf(text, "  own term=%" G_GUINT64_FORMAT " machines=%u\n",
                               replica->epoch, machine_count);
    else
        g_string_append_printf(
            text, "  copy term=%" G_GUINT64_FORMAT " machines=%u last=%.2f in_step=%d\n",
            replica->epoch, machine_count, lmn_time_diff_s(now, replica->last_batch_at),
            is_in_sync(core, partition));
}

void lmn_replication_report_partition(GString *text, const struct lmn_core *core,
                                      const struct lmn_partition *partition,
                                      struct timespec now)
{
    if (partition->ownership.is_owned)
        describe_stream(text, core, partition, now);
    else if (partition->replication.replica)
        describe_replica(text, core, partition, now);
}

json_t *lmn_replication_standby_partitions(const struct lmn_core *core, int member_index)
{
    const char *name = lmn_member_name(&core->members, member_index);
    json_t *ids = json_array();

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        if (partition->record.standby_stream &&
            partition->record.standby_epoch == partition->record.epoch &&
            !strcmp(partition->record.standby, name))
            json_array_append_new(ids, json_integer(i));
    }
    return ids;
}

/** Totals over all partitions. */
struct replication_totals {
    struct lmn_replication_counters counters;
    unsigned in_sync_streams, replicas, pending_machines;
    double longest_wait_s;
};

static struct replication_totals sum_totals(const struct lmn_core *core,
                                            struct timespec now)
{
    struct replication_totals totals = {0};

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        const struct lmn_partition_replication *replication = &partition->replication;
        const struct lmn_replication_counters *counters = &replication->stream.counters;
        uint64_t waiting_starts;
        guint pending_machines;
        double wait_s;

        totals.counters.batches += counters->batches;
        totals.counters.machines += counters->machines;
        totals.counters.streams += counters->streams;
        totals.counters.removals += counters->removals;
        totals.replicas += replication->replica && !replication->replica->is_own_state;
        if (!partition->ownership.is_owned)
            continue;
        lmn_replication_lag(partition, now, &pending_machines, &waiting_starts, &wait_s);
        totals.in_sync_streams += replication->stream.phase == LMN_STREAM_IN_SYNC;
        totals.pending_machines += pending_machines;
        totals.longest_wait_s = MAX(totals.longest_wait_s, wait_s);
    }
    return totals;
}

static void write_streams(GString *out, const struct replication_totals *totals)
{
    lmn_metric_gauge(out, "lemonspar_standby_in_step",
                     "Owned partitions whose standby is in sync",
                     totals->in_sync_streams);
    lmn_metric_gauge(out, "lemonspar_standby_copies",
                     "Replicas of other controllers' partitions here", totals->replicas);
    lmn_metric_gauge(out, "lemonspar_standby_untold",
                     "Machines with changes that were not sent to the standby yet",
                     totals->pending_machines);
    lmn_metric_gauge(out, "lemonspar_standby_wait_seconds",
                     "Age of the oldest start that the standby has not acknowledged",
                     totals->longest_wait_s);
    lmn_metric_counter(out, "lemonspar_standby_batches",
                       "Replication batches acknowledged by standbys",
                       totals->counters.batches);
    lmn_metric_counter(out, "lemonspar_standby_machines",
                       "Machine snapshots in acknowledged replication batches",
                       totals->counters.machines);
    lmn_metric_counter(out, "lemonspar_standby_streams", "Replication streams started",
                       totals->counters.streams);
    lmn_metric_counter(out, "lemonspar_standby_strikes",
                       "Standbys removed from their partitions' records",
                       totals->counters.removals);
}

static void write_failovers(GString *out, const struct lmn_counters *counters)
{
    lmn_metric_counter(
        out, "lemonspar_tombstones",
        "Cancellations received as tombstones before the watch cache showed them",
        counters->tombstones);
    lmn_metric_counter(
        out, "lemonspar_starts_withheld",
        "Starts withheld because the standby did not acknowledge them in time",
        counters->withheld_starts);
    lmn_metric_counter(
        out, "lemonspar_takeovers_warm",
        "Failovers that restored a replica or the former owner's own state",
        counters->warm_failovers);
    lmn_metric_counter(out, "lemonspar_takeovers_own",
                       "Warm failovers by the former owner, with its own state",
                       counters->own_state_failovers);
    lmn_metric_counter(out, "lemonspar_takeovers_cold",
                       "Failovers without a replica or the former owner's state",
                       counters->cold_failovers);
}

void lmn_replication_metrics(const struct lmn_core *core, GString *out,
                             struct timespec now)
{
    struct replication_totals totals = sum_totals(core, now);

    write_streams(out, &totals);
    write_failovers(out, &core->counters);
    lmn_metric_duration_summary(out, "lemonspar_standby_ack_seconds",
                                "Time from a start to its acknowledgement by the standby",
                                &core->latencies.replication);
}
