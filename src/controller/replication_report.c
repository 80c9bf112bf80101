#include "controller/replication_report.h"
#include "http/metrics.h"
#include "replication/start_gate.h"
#include "replication/stream.h"

#include <string.h>

void lmn_replication_describe(GString *text, const struct lmn_core *core,
                              const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;
    uint64_t starts;
    guint machines;
    double seconds;

    if (partition->ownership.is_owned) {
        lmn_replication_lag(partition, now, &machines, &starts, &seconds);
        g_string_append_printf(
            text,
            "  standby %s phase=%s untold=%u waiting=%" G_GUINT64_FORMAT " waits=%.3f",
            stream->phase == LMN_STREAM_NONE
                ? "-"
                : lmn_member_name(&core->members, stream->standby_index),
            lmn_replication_phase_name(stream->phase), machines, starts, seconds);
        if (stream->phase == LMN_STREAM_NONE && stream->last_failure_reason)
            g_string_append_printf(text, " last=\"%s\" again_in=%.1f",
                                   stream->last_failure_reason,
                                   MAX(lmn_time_diff_s(stream->next_step_at, now), 0));
        g_string_append_printf(text,
                               " batches=%" G_GUINT64_FORMAT
                               " machines=%" G_GUINT64_FORMAT
                               " strikes=%" G_GUINT64_FORMAT "\n",
                               stream->counters.batches, stream->counters.machines,
                               stream->counters.removals);
    } else if (partition->replication.replica &&
               partition->replication.replica->is_own_state) {
        g_string_append_printf(
            text, "  own term=%" G_GUINT64_FORMAT " machines=%u\n",
            partition->replication.replica->epoch,
            g_hash_table_size(partition->replication.replica->machines));
    } else if (partition->replication.replica) {
        g_string_append_printf(
            text, "  copy term=%" G_GUINT64_FORMAT " machines=%u last=%.2f in_step=%d\n",
            partition->replication.replica->epoch,
            g_hash_table_size(partition->replication.replica->machines),
            lmn_time_diff_s(now, partition->replication.replica->last_batch_at),
            partition->replication.replica->stream == partition->record.standby_stream &&
                partition->replication.replica->epoch == partition->record.epoch &&
                !strcmp(partition->record.standby, core->settings->node_name));
    }
}

json_t *lmn_replication_standby_partitions(const struct lmn_core *core, int member_index)
{
    const char *name = lmn_member_name(&core->members, member_index);
    json_t *all = json_array();

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        if (partition->record.standby_stream &&
            partition->record.standby_epoch == partition->record.epoch &&
            !strcmp(partition->record.standby, name))
            json_array_append_new(all, json_integer(i));
    }
    return all;
}

void lmn_replication_metrics(const struct lmn_core *core, GString *out,
                             struct timespec now)
{
    unsigned in_step = 0, copies = 0, untold = 0;
    struct lmn_replication_counters sum = {0};
    double waits = 0;

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        const struct lmn_replication_counters *n =
            &partition->replication.stream.counters;
        uint64_t starts;
        guint machines;
        double seconds;
        sum.batches += n->batches;
        sum.machines += n->machines;
        sum.streams += n->streams;
        sum.removals += n->removals;
        copies += partition->replication.replica &&
                  !partition->replication.replica->is_own_state;
        if (!partition->ownership.is_owned)
            continue;
        lmn_replication_lag(partition, now, &machines, &starts, &seconds);
        in_step += partition->replication.stream.phase == LMN_STREAM_IN_SYNC;
        untold += machines;
        waits = MAX(waits, seconds);
    }
    lmn_gauge(out, "lemonspar_standby_in_step",
              "Owned partitions whose standby is in step", in_step);
    lmn_gauge(out, "lemonspar_standby_copies",
              "Others' partitions that this node follows", copies);
    lmn_gauge(out, "lemonspar_standby_untold", "Machines that standbys are to be told of",
              untold);
    lmn_gauge(out, "lemonspar_standby_wait_seconds",
              "For how long the oldest start has waited for its standby", waits);
    lmn_counter(out, "lemonspar_standby_batches", "Batches acknowledged", sum.batches);
    lmn_counter(out, "lemonspar_standby_machines", "Machines told in them", sum.machines);
    lmn_counter(out, "lemonspar_standby_streams", "Copies begun", sum.streams);
    lmn_counter(out, "lemonspar_standby_strikes", "Standbys struck off the record",
                sum.removals);
    lmn_counter(
        out, "lemonspar_tombstones",
        "Withdrawals that another controller told of before the mirror showed them",
        core->counters.tombstones);
    lmn_counter(out, "lemonspar_starts_withheld",
                "Starts taken back since no standby acknowledged them",
                core->counters.withheld_starts);
    lmn_counter(out, "lemonspar_takeovers_warm",
                "Takeovers with a standby's copy, or an owner's own",
                core->counters.warm_failovers);
    lmn_counter(out, "lemonspar_takeovers_own",
                "Of those: by the last owner, with its own",
                core->counters.own_state_failovers);
    lmn_counter(out, "lemonspar_takeovers_cold", "Takeovers without",
                core->counters.cold_failovers);
    lmn_quantiles(out, "lemonspar_standby_ack_seconds",
                  "What starts wait for their acknowledgement",
                  &core->latencies.replication);
}
