/** @file
 * Reports on replication. The keys and names are read by operators' scripts and
 * dashboards: they do not follow renames in the code. */
#include "controller/replication_report.h"
#include "http/metrics.h"
#include "replication/stream.h"
#include "replication/start_gate.h"

#include <string.h>

/** On an owned partition: its standby. */
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

/** Whether the partition's record names the replica here as the one in sync. */
static bool is_in_sync(const struct lmn_core *core, const struct lmn_partition *partition)
{
    const struct lmn_replica *replica = partition->replication.replica;
    const struct lmn_partition_record *record = &partition->record;

    return replica->stream == record->standby_stream && replica->epoch == record->epoch &&
           !strcmp(record->standby, core->settings->node_name);
}

/** On another owner's partition, or one that was owned here: the replica. */
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

void lmn_replication_describe(GString *text, const struct lmn_core *core,
                              const struct lmn_partition *partition, struct timespec now)
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

/** Sums over all partitions. */
struct replication_totals {
    struct lmn_replication_counters counters;
    unsigned in_sync_streams, replicas, pending_machines;
    double longest_wait_s;
};

static struct replication_totals sum_up(const struct lmn_core *core, struct timespec now)
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
    lmn_gauge(out, "lemonspar_standby_in_step",
              "Owned partitions whose standby is in step", totals->in_sync_streams);
    lmn_gauge(out, "lemonspar_standby_copies",
              "Others' partitions that this node follows", totals->replicas);
    lmn_gauge(out, "lemonspar_standby_untold", "Machines that standbys are to be told of",
              totals->pending_machines);
    lmn_gauge(out, "lemonspar_standby_wait_seconds",
              "For how long the oldest start has waited for its standby",
              totals->longest_wait_s);
    lmn_counter(out, "lemonspar_standby_batches", "Batches acknowledged",
                totals->counters.batches);
    lmn_counter(out, "lemonspar_standby_machines", "Machines told in them",
                totals->counters.machines);
    lmn_counter(out, "lemonspar_standby_streams", "Copies begun",
                totals->counters.streams);
    lmn_counter(out, "lemonspar_standby_strikes", "Standbys struck off the record",
                totals->counters.removals);
}

static void write_failovers(GString *out, const struct lmn_counters *counters)
{
    lmn_counter(
        out, "lemonspar_tombstones",
        "Withdrawals that another controller told of before the mirror showed them",
        counters->tombstones);
    lmn_counter(out, "lemonspar_starts_withheld",
                "Starts taken back since no standby acknowledged them",
                counters->withheld_starts);
    lmn_counter(out, "lemonspar_takeovers_warm",
                "Takeovers with a standby's copy, or an owner's own",
                counters->warm_failovers);
    lmn_counter(out, "lemonspar_takeovers_own",
                "Of those: by the last owner, with its own",
                counters->own_state_failovers);
    lmn_counter(out, "lemonspar_takeovers_cold", "Takeovers without",
                counters->cold_failovers);
}

void lmn_replication_metrics(const struct lmn_core *core, GString *out,
                             struct timespec now)
{
    struct replication_totals totals = sum_up(core, now);

    write_streams(out, &totals);
    write_failovers(out, &core->counters);
    lmn_quantiles(out, "lemonspar_standby_ack_seconds",
                  "What starts wait for their acknowledgement",
                  &core->latencies.replication);
}
