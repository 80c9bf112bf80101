/** @file
 * The state machine of a stream to a standby (replication/stream.h). The functions follow
 * the phases in order; the public functions come last. */
#include "replication/stream.h"
#include "replication/batch_builder.h"
#include "replication/replica_choice.h"
#include "replication/standby_record.h"
#include "util/log.h"
#include "state/task_ledger.h"

#include <string.h>

const double LMN_REPLICATION_TIMEOUT_S = 0.4;
/** Starts that are decided within this time share a batch. At 22 starts a second, one
 * call for each start took 20 % more processor time. */
static const double BATCH_WINDOW_S = 0.003;
/** Changes on which no start waits are sent within this time. */
static const double IDLE_FLUSH_S = 0.5;
/** A write of the record b/P is repeated if the watch cache does not show its outcome
 * within this time. */
static const double RECORD_RETRY_S = 0.5;
/** The wait before a batch without a reply is sent again. */
static const double RESEND_S = 0.05;
/** Lower bound of the wait for the end of the batch window. */
static const double MIN_WAIT_S = 0.0005;
/** The delay before the next stream after a failure; it doubles with each consecutive
 * failure, up to MAX_BACKOFF_S. */
static const double BACKOFF_S = 2, MAX_BACKOFF_S = 60;
/** The failure of a stream that has lasted for longer than this counts as the first
 * failure again, not as a consecutive one. */
static const double STABLE_STREAM_S = 30;
/** How long before its readmission the preferred standby is brought in sync. */
static const double READMISSION_LEAD_S = 3;
enum {
    MAX_SEND_FAILURES = 3,
    MAX_CONSECUTIVE_REMOVALS = 10,
    /** A stream's id is the epoch, followed by this many bits of the stream count. */
    STREAM_COUNT_BITS = 20,
    STREAM_COUNT_MASK = (1 << STREAM_COUNT_BITS) - 1,
};

/* Why a stream ended, as shown in the log and in the status page. The limits in these
 * texts are LMN_REPLICATION_TIMEOUT_S and MAX_SEND_FAILURES. */
static const char PREFERRED_IS_BACK[] = "the partition's preferred owner is back";
static const char NOT_TRUSTED[] =
    "the standby is suspected, has restarted, or standbys are turned off";
static const char NOT_ACKNOWLEDGED[] =
    "the standby did not acknowledge starts within 0.4 s";
static const char NOT_ANSWERED[] =
    "the standby did not reply to a batch that was sent 3 times";
static const char STREAM_UNKNOWN[] = "the standby does not follow this stream";
static const char STREAM_REJECTED[] = "the standby rejected the stream";

const char *lmn_replication_phase_name(enum lmn_replication_phase phase)
{
    static const char *const names[] = {"none",   "copying", "closing",
                                        "naming", "in-step", "striking"};

    return names[phase];
}

/** Whether there are starts that the standby has not acknowledged. */
static bool has_unacknowledged_starts(const struct lmn_replication_stream *stream)
{
    return stream->acknowledged_position < stream->log_position;
}

/* --- the end of a stream --- */

static void clear_pending_changes(struct lmn_partition *partition)
{
    GPtrArray *pending_machines = partition->replication.pending_machines;

    for (guint i = 0; i < pending_machines->len; i++) {
        struct lmn_machine *machine = pending_machines->pdata[i];
        machine->replication.is_pending = false;
    }
    g_ptr_array_set_size(pending_machines, 0);
    g_ptr_array_set_size(partition->replication.pending_removals, 0);
}

static void drop_batch(struct lmn_replication_stream *stream)
{
    /* A batch that is being sent is freed by the thread that sends it, in
     * lmn_replication_batch_sent. */
    if (!stream->is_sending)
        lmn_replication_batch_free(stream->batch);
    stream->batch = NULL;
    stream->is_sending = false;
}

static void schedule_next_stream(struct lmn_replication_stream *stream, const char *why,
                                 struct timespec now)
{
    stream->last_failure_reason = why;
    /* Nothing has failed: the stream to the preferred standby may start at once. */
    if (why == PREFERRED_IS_BACK) {
        stream->consecutive_removals = 0;
        stream->next_step_at = now;
        return;
    }
    if (lmn_time_diff_s(now, stream->began_at) > STABLE_STREAM_S)
        stream->consecutive_removals = 1;
    else
        stream->consecutive_removals =
            MIN(stream->consecutive_removals + 1, MAX_CONSECUTIVE_REMOVALS);
    double backoff_s = BACKOFF_S * (double)(1u << (stream->consecutive_removals - 1));
    stream->next_step_at = lmn_time_add(now, MIN(backoff_s, MAX_BACKOFF_S));
}

/** Transition to NONE: starts no longer wait for an acknowledgement, and nothing is sent.
 *
 * @param why the reason to record, after which the next stream is delayed; NULL: no
 * reason and no delay */
static void end_stream(struct lmn_core *core, struct lmn_partition *partition,
                       const char *why, struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    clear_pending_changes(partition);
    drop_batch(stream);
    if (stream->phase != LMN_STREAM_NONE && why)
        schedule_next_stream(stream, why, now);
    stream->phase = LMN_STREAM_NONE;
    pthread_cond_broadcast(&core->replication_acknowledged);
    pthread_cond_signal(&partition->replication.due);
}

/** Transition to REMOVING. While the record may still name the standby, the standby may
 * take the partition over on the assumption that it knows every start, so that starts
 * continue to wait. */
static void remove_standby(struct lmn_core *core, struct lmn_partition *partition,
                           const char *why)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    lmn_info("replica_removed partition=%d member=%s phase=%s why=\"%s\" "
             "waiting=%" G_GUINT64_FORMAT,
             partition->id, lmn_member_name(&core->members, stream->standby_index),
             lmn_replication_phase_name(stream->phase), why,
             stream->log_position - stream->acknowledged_position);
    stream->phase = LMN_STREAM_REMOVING;
    stream->last_failure_reason = why;
    stream->record_written_at = (struct timespec){0, 0};
    stream->counters.removals++;
}

static void fail_stream(struct lmn_core *core, struct lmn_partition *partition,
                        const char *why, struct timespec now)
{
    if (partition->replication.stream.phase >= LMN_STREAM_JOINING)
        remove_standby(core, partition, why);
    else
        end_stream(core, partition, why, now);
}

static void finish_removal(struct lmn_core *core, struct lmn_partition *partition,
                           struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    /* The record has changed since JOINING read its revision, and does not name the
     * stream. A delayed write from JOINING is conditional on that earlier revision and
     * can no longer be applied. */
    if (partition->record.standby_revision > stream->join_revision &&
        !lmn_standby_record_names_stream(partition))
        end_stream(core, partition, stream->last_failure_reason, now);
}

/* --- the start of a stream --- */

static bool may_start_stream(const struct lmn_core *core,
                             const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_partition_ownership *ownership = &partition->ownership;

    /* Until the owner is ready or warm, it does not know all attempts on its machines,
     * and a replica of its state would be incomplete. */
    return (ownership->is_ready || ownership->is_warm) &&
           core->cache.operator_settings.standby > 0 && !ownership->is_transferring &&
           core->load.delay_s < LMN_STANDBY_MAX_LOAD_DELAY_S &&
           !lmn_time_before(now, partition->replication.stream.next_step_at);
}

/** Transition to SNAPSHOT: marks all machines as pending. */
static void begin_snapshot(struct lmn_core *core, struct lmn_partition *partition,
                           int standby_index, struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    stream->phase = LMN_STREAM_SNAPSHOT;
    stream->standby_index = standby_index;
    stream->standby_lease = core->members.views[standby_index].lease;
    /* Ids rise within an epoch, so that the standby can recognize a delayed batch of an
     * earlier stream. */
    stream->id = partition->ownership.epoch << STREAM_COUNT_BITS |
                 (++stream->counters.streams & STREAM_COUNT_MASK);
    stream->next_batch_number = 0;
    stream->send_failures = 0;
    stream->began_at = now;
    /* Earlier acknowledgements came from another stream. The log position never falls; it
     * is raised here so that the new stream has a position to acknowledge. */
    stream->acknowledged_position = 0;
    stream->log_position++;
    for (guint i = 0; i < partition->machine_list->len; i++) {
        struct lmn_machine *machine = partition->machine_list->pdata[i];
        machine->replication.images_hash = 0;
        lmn_machine_mark_unreplicated(machine);
    }
    lmn_debug("replica_snapshot_started partition=%d member=%s machines=%u",
              partition->id, lmn_member_name(&core->members, standby_index),
              partition->machine_list->len);
}

static void start_stream_if_due(struct lmn_core *core, struct lmn_partition *partition,
                                struct timespec now)
{
    if (!may_start_stream(core, partition, now))
        return;
    int standby_index = lmn_standby_choose(core, partition, now);
    if (standby_index >= 0)
        begin_snapshot(core, partition, standby_index, now);
}

/* --- the phases of a running stream --- */

/** Whether the standby is still the process with which the stream began, it is not
 * suspected, and the operator allows standbys.
 *
 * The standby's own health report is ignored. During an outage of the key-value store
 * every member's watch cache is stale; if that failed the stream, the standby could not
 * be removed from the record, and all starts would wait until the outage ends. Whether
 * the standby responds shows in its replies to batches. */
static bool is_standby_usable(const struct lmn_core *core,
                              const struct lmn_partition *partition)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;
    const struct lmn_member_view *member = &core->members.views[stream->standby_index];

    return core->cache.operator_settings.standby > 0 && member->is_present &&
           member->lease == stream->standby_lease &&
           !lmn_member_is_suspected(&core->members, stream->standby_index);
}

/** Whether another member is the standby although the partition's preferred owner is
 * trusted and about to get the partition back. */
static bool is_preferred_standby_back(const struct lmn_core *core,
                                      const struct lmn_partition *partition,
                                      struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int preferred_index = partition->id % members->count;

    return preferred_index != members->self &&
           preferred_index != partition->replication.stream.standby_index &&
           lmn_member_is_trusted(members, preferred_index, now) &&
           lmn_member_readmission_delay_s(members, preferred_index, now) <
               READMISSION_LEAD_S;
}

/** Returns why the stream cannot continue; NULL if it can. */
static const char *find_failure(const struct lmn_core *core,
                                const struct lmn_partition *partition,
                                struct timespec now)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;

    if (!is_standby_usable(core, partition))
        return NOT_TRUSTED;
    if (stream->phase >= LMN_STREAM_CATCHING_UP && has_unacknowledged_starts(stream) &&
        lmn_time_diff_s(now, stream->waiting_since) > LMN_REPLICATION_TIMEOUT_S)
        return NOT_ACKNOWLEDGED;
    if (stream->send_failures >= MAX_SEND_FAILURES)
        return NOT_ANSWERED;
    return NULL;
}

/** Whether at least one batch is acknowledged, no batch is being sent, and the remaining
 * changes fit in half a batch, so that starts will wait only briefly for them. */
static bool is_snapshot_nearly_sent(const struct lmn_partition *partition)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;

    return stream->next_batch_number > 0 && !stream->batch &&
           partition->replication.pending_machines->len <=
               LMN_REPLICATION_BATCH_MACHINES / 2 &&
           !partition->replication.pending_removals->len;
}

/** Makes the transition that acknowledgements and the watch cache allow, if any. Returns
 * whether it made one. */
static bool advance_phase(const struct lmn_core *core, struct lmn_partition *partition,
                          struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    if (stream->phase == LMN_STREAM_SNAPSHOT && is_snapshot_nearly_sent(partition)) {
        stream->phase = LMN_STREAM_CATCHING_UP;
        stream->join_position = stream->log_position;
        stream->waiting_since = now;
        return true;
    }
    if (stream->phase == LMN_STREAM_CATCHING_UP &&
        stream->acknowledged_position >= stream->join_position) {
        stream->phase = LMN_STREAM_JOINING;
        stream->join_revision = partition->record.standby_revision;
        stream->record_written_at = (struct timespec){0, 0};
        return true;
    }
    if (stream->phase == LMN_STREAM_JOINING &&
        lmn_standby_record_names_stream(partition)) {
        stream->phase = LMN_STREAM_IN_SYNC;
        lmn_info("replica_in_sync partition=%d member=%s machines=%u after=%.2f",
                 partition->id, lmn_member_name(&core->members, stream->standby_index),
                 partition->machine_list->len, lmn_time_diff_s(now, stream->began_at));
        return true;
    }
    return false;
}

/** Makes at most one transition of the stream's phase. */
static void advance(struct lmn_core *core, struct lmn_partition *partition,
                    struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    if (stream->phase == LMN_STREAM_NONE) {
        start_stream_if_due(core, partition, now);
        return;
    }
    if (stream->phase == LMN_STREAM_REMOVING) {
        finish_removal(core, partition, now);
        return;
    }
    const char *failure = find_failure(core, partition, now);
    if (failure)
        fail_stream(core, partition, failure, now);
    else if (stream->phase == LMN_STREAM_IN_SYNC &&
             is_preferred_standby_back(core, partition, now))
        remove_standby(core, partition, PREFERRED_IS_BACK);
    else if (!advance_phase(core, partition, now))
        return;
    pthread_cond_broadcast(&core->replication_acknowledged);
}

/* --- the step that is due --- */

static bool is_record_write_due(const struct lmn_replication_stream *stream,
                                struct timespec now)
{
    return (stream->phase == LMN_STREAM_JOINING ||
            stream->phase == LMN_STREAM_REMOVING) &&
           (!stream->record_written_at.tv_sec ||
            lmn_time_diff_s(now, stream->record_written_at) > RECORD_RETRY_S);
}

static bool is_batch_due(const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;

    if (stream->phase == LMN_STREAM_NONE || stream->phase == LMN_STREAM_REMOVING ||
        stream->is_sending)
        return false;
    bool is_resend = stream->batch != NULL;
    if (is_resend || stream->phase == LMN_STREAM_SNAPSHOT)
        return true;
    if (has_unacknowledged_starts(stream))
        return lmn_time_diff_s(now, stream->waiting_since) >= BATCH_WINDOW_S;
    return (partition->replication.pending_machines->len ||
            partition->replication.pending_removals->len) &&
           lmn_time_diff_s(now, stream->last_batch_at) > IDLE_FLUSH_S;
}

/** Returns how long to wait for the next step, unless `due` is signalled before. */
static double waiting_time_s(const struct lmn_replication_stream *stream,
                             struct timespec now)
{
    if (stream->phase == LMN_STREAM_NONE || !has_unacknowledged_starts(stream))
        return IDLE_FLUSH_S / 2;
    if (stream->batch)
        return RESEND_S;
    return MAX(BATCH_WINDOW_S - lmn_time_diff_s(now, stream->waiting_since), MIN_WAIT_S);
}

enum lmn_replication_step lmn_replication_next_step(struct lmn_core *core,
                                                    struct lmn_partition *partition,
                                                    struct timespec now,
                                                    struct lmn_replication_batch **batch,
                                                    struct lmn_txn **txn, double *wait_s)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    *wait_s = IDLE_FLUSH_S / 2;
    if (!partition->ownership.is_owned)
        return LMN_REPLICATION_WAIT;
    advance(core, partition, now);
    if (is_record_write_due(stream, now)) {
        stream->record_written_at = now;
        *txn = lmn_standby_record_write(core, partition,
                                        stream->phase == LMN_STREAM_JOINING);
        return LMN_REPLICATION_WRITE;
    }
    if (is_batch_due(partition, now)) {
        if (!stream->batch)
            stream->batch = lmn_replication_batch_build(partition, now);
        stream->is_sending = true;
        *batch = stream->batch;
        return LMN_REPLICATION_SEND;
    }
    *wait_s = waiting_time_s(stream, now);
    return LMN_REPLICATION_WAIT;
}

/* --- the standby's reply --- */

static void record_acknowledgement(struct lmn_core *core,
                                   struct lmn_replication_stream *stream,
                                   const struct lmn_replication_batch *batch,
                                   struct timespec now)
{
    stream->next_batch_number++;
    stream->counters.batches++;
    stream->counters.machines += batch->machines->len;
    /* The acknowledged position never falls. */
    if (batch->log_position <= stream->acknowledged_position)
        return;
    /* During the snapshot no start waits, so that there is no latency to measure. */
    if (stream->phase >= LMN_STREAM_CATCHING_UP)
        lmn_latency_add(&core->latencies.replication,
                        lmn_time_diff_s(now, stream->waiting_since));
    stream->acknowledged_position = batch->log_position;
    stream->waiting_since = now;
}

void lmn_replication_batch_sent(struct lmn_core *core, struct lmn_partition *partition,
                                struct lmn_replication_batch *batch, bool answered,
                                enum lmn_replica_result result, struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;
    bool has_stream_ended = stream->batch != batch || !stream->is_sending;

    if (has_stream_ended) {
        lmn_replication_batch_free(batch);
        return;
    }
    stream->is_sending = false;
    if (!answered) {
        stream->send_failures++;
        return; /* the stream keeps the batch and sends it again */
    }
    stream->batch = NULL;
    stream->send_failures = 0;
    if (result == LMN_REPLICA_APPLIED) {
        record_acknowledgement(core, stream, batch, now);
        pthread_cond_broadcast(&core->replication_acknowledged);
    } else if (stream->phase != LMN_STREAM_REMOVING) {
        fail_stream(
            core, partition,
            result == LMN_REPLICA_UNKNOWN_STREAM ? STREAM_UNKNOWN : STREAM_REJECTED, now);
    }
    lmn_replication_batch_free(batch);
}

void lmn_replication_reset(struct lmn_core *core, struct lmn_partition *partition)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    end_stream(core, partition, NULL, stream->began_at);
    stream->consecutive_removals = 0;
    stream->next_step_at = (struct timespec){0, 0};
    stream->last_failure_reason = NULL;
}

void lmn_replication_clear(struct lmn_partition *partition)
{
    lmn_replication_batch_free(partition->replication.stream.batch);
    partition->replication.stream.batch = NULL;
    lmn_replica_free(partition->replication.replica);
    partition->replication.replica = NULL;
}
