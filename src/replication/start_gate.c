/** @file
 * Holds starts back until they are acknowledged (replication/start_gate.h). */
#include "replication/start_gate.h"

const double LMN_REPLICATION_DEFER_S = 0.3;

bool lmn_replication_gates_starts(const struct lmn_partition *partition)
{
    return partition->ownership.is_owned &&
           partition->replication.stream.phase >= LMN_STREAM_CATCHING_UP;
}

bool lmn_replication_allows_starts_up_to(const struct lmn_partition *partition,
                                         uint64_t log_position)
{
    return !lmn_replication_gates_starts(partition) ||
           partition->replication.stream.acknowledged_position >= log_position;
}

bool lmn_replication_is_stuck(const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;

    return lmn_replication_gates_starts(partition) &&
           stream->acknowledged_position < stream->log_position &&
           lmn_time_diff_s(now, stream->waiting_since) > LMN_REPLICATION_DEFER_S;
}

void lmn_replication_lag(const struct lmn_partition *partition, struct timespec now,
                         guint *machines, uint64_t *starts, double *waiting_s)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;

    *machines = partition->replication.pending_machines->len;
    *starts = lmn_replication_gates_starts(partition)
                  ? stream->log_position - stream->acknowledged_position
                  : 0;
    *waiting_s = *starts ? lmn_time_diff_s(now, stream->waiting_since) : 0;
}
