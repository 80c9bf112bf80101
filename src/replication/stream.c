#include "replication/stream.h"
#include "util/log.h"
#include "state/task_ledger.h"

#include <string.h>

const double LMN_REPLICATION_DEFER_S = 0.3;
const double LMN_REPLICATION_TIMEOUT_S = 0.4;
/* Starts that are decided on within this time share a batch: a call each took a fifth
 * more processor, at 22 starts a second. */
static const double GATHER_S = 0.003;
/* What is not awaited is told within this time. */
static const double LAZY_S = 0.5;
/* A write whose outcome the mirror does not show is tried again. */
static const double WRITE_S = 0.5;
/* After a stream that came to nothing; twice as long after each further one. */
static const double AGAIN_S = 2, LONGEST_S = 60;
/* A stream that held for so long was none of those. */
static const double HELD_S = 30;
/* The usual holder is told everything so long before it gets its partition back. */
static const double BEFORE_S = 3;
static const char BACK[] = "the usual holder is back";
enum { TRIES = 3 };

const char *lmn_replication_phase_name(enum lmn_replication_phase phase)
{
    static const char *const names[] = {"none",   "copying", "closing",
                                        "naming", "in-step", "striking"};

    return names[phase];
}

bool lmn_replication_gates_starts(const struct lmn_partition *partition)
{
    return partition->ownership.is_owned &&
           partition->replication.stream.phase >= LMN_STREAM_CATCHING_UP;
}

bool lmn_replication_covers(const struct lmn_partition *partition, uint64_t mark)
{
    return !lmn_replication_gates_starts(partition) ||
           partition->replication.stream.acknowledged_position >= mark;
}

bool lmn_replication_is_stuck(const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;

    return lmn_replication_gates_starts(partition) &&
           stream->acknowledged_position < stream->log_position &&
           lmn_time_diff_s(now, stream->waiting_since) > LMN_REPLICATION_DEFER_S;
}

void lmn_replication_lag(const struct lmn_partition *partition, struct timespec now,
                         guint *machines, uint64_t *starts, double *seconds)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;

    *machines = partition->replication.pending_machines->len;
    *starts = lmn_replication_gates_starts(partition)
                  ? stream->log_position - stream->acknowledged_position
                  : 0;
    *seconds = *starts ? lmn_time_diff_s(now, stream->waiting_since) : 0;
}

/* --- the batches --- */

static guint images_hash(const struct lmn_machine *machine)
{
    guint h = 1;

    for (guint i = 0; i < machine->images->len; i++) {
        const struct lmn_image *image =
            &g_array_index(machine->images, struct lmn_image, i);
        h += g_str_hash(image->name) * (image->ready_at.tv_sec ? 3 : 7);
    }
    return h;
}

static struct lmn_machine_snapshot *tell(struct lmn_machine *machine)
{
    guint hash = images_hash(machine);
    bool changed = hash != machine->replication.images_hash;

    machine->replication.images_hash = hash;
    return lmn_machine_snapshot_take(machine, changed);
}

static struct lmn_replication_batch *build(struct lmn_partition *partition,
                                           struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;
    struct lmn_replication_batch *batch = lmn_replication_batch_new();

    batch->partition = partition->id;
    batch->epoch = partition->ownership.epoch;
    batch->stream = stream->id;
    batch->number = stream->next_batch_number;
    while (partition->replication.pending_removals->len &&
           batch->machines->len < LMN_REPLICATION_BATCH_MACHINES) {
        char *name = g_ptr_array_steal_index_fast(
            partition->replication.pending_removals,
            partition->replication.pending_removals->len - 1);
        struct lmn_machine_snapshot *snapshot = lmn_machine_snapshot_new(name);
        snapshot->is_forgotten = true;
        g_ptr_array_add(batch->machines, snapshot);
        g_free(name);
    }
    while (partition->replication.pending_machines->len &&
           batch->machines->len < LMN_REPLICATION_BATCH_MACHINES) {
        struct lmn_machine *machine = g_ptr_array_steal_index_fast(
            partition->replication.pending_machines,
            partition->replication.pending_machines->len - 1);
        machine->replication.is_pending = false;
        g_ptr_array_add(batch->machines, tell(machine));
    }
    /* With machines left, some start may be on one of those. */
    batch->log_position = partition->replication.pending_machines->len
                              ? stream->acknowledged_position
                              : stream->log_position;
    stream->last_batch_at = now;
    return batch;
}

/* --- the phases --- */

/* No stream: nothing waits, nothing is told. */
static void end(struct lmn_core *core, struct lmn_partition *partition, const char *why,
                struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    for (guint i = 0; i < partition->replication.pending_machines->len; i++)
        ((struct lmn_machine *)partition->replication.pending_machines->pdata[i])
            ->replication.is_pending = false;
    g_ptr_array_set_size(partition->replication.pending_machines, 0);
    g_ptr_array_set_size(partition->replication.pending_removals, 0);
    /* The thread that sends it frees it. */
    if (!stream->is_sending)
        lmn_replication_batch_free(stream->batch);
    stream->batch = NULL;
    stream->is_sending = false;
    if (stream->phase != LMN_STREAM_NONE && why) {
        stream->consecutive_removals = lmn_time_diff_s(now, stream->began_at) > HELD_S
                                           ? 1
                                           : MIN(stream->consecutive_removals + 1, 10);
        stream->next_step_at = lmn_time_add(
            now,
            MIN(AGAIN_S * (double)(1u << (stream->consecutive_removals - 1)), LONGEST_S));
        stream->last_failure_reason = why;
        if (why == BACK) {
            stream->consecutive_removals = 0;
            stream->next_step_at = now;
        }
    }
    stream->phase = LMN_STREAM_NONE;
    pthread_cond_broadcast(&core->replication_acknowledged);
    pthread_cond_signal(&partition->replication.due);
}

static void begin(struct lmn_core *core, struct lmn_partition *partition, int to,
                  struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    stream->phase = LMN_STREAM_SNAPSHOT;
    stream->standby_index = to;
    stream->standby_lease = core->members.views[to].lease;
    /* In order within the term, so that a late twin of an older one is known as that. */
    stream->id =
        partition->ownership.epoch << 20 | (++stream->counters.streams & 0xfffff);
    stream->next_batch_number = 0;
    stream->send_failures = 0;
    stream->began_at = now;
    /* What was acknowledged before, another has. */
    stream->acknowledged_position = 0;
    stream->log_position++;
    for (guint i = 0; i < partition->machine_list->len; i++) {
        struct lmn_machine *machine = partition->machine_list->pdata[i];
        machine->replication.images_hash = 0;
        lmn_machine_mark_unreplicated(machine);
    }
    lmn_debug("replica_snapshot_started partition=%d member=%s machines=%u",
              partition->id, lmn_member_name(&core->members, to),
              partition->machine_list->len);
}

/* It is the process that it was, and nobody suspects it. Its own word does not count: in
 * an outage of the state service everybody's mirror stands still, and no standby could
 * be struck off; all starts once waited for the outage's end for that. Whether it answers
 * shows by itself. */
static bool fit(const struct lmn_core *core, const struct lmn_partition *partition)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;
    const struct lmn_member_view *member = &core->members.views[stream->standby_index];

    return core->cache.operator_settings.standby > 0 && member->is_present &&
           member->lease == stream->standby_lease &&
           !lmn_member_is_suspected(&core->members, stream->standby_index);
}

/* Another follows, though the usual holder could, and is about to have its partition
 * back.
 */
static bool passed_over(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int holder = partition->id % members->count;

    return holder != members->self &&
           holder != partition->replication.stream.standby_index &&
           lmn_member_is_trusted(members, holder, now) &&
           lmn_member_readmission_delay_s(members, holder, now) < BEFORE_S;
}

static void strike(struct lmn_core *core, struct lmn_partition *partition,
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

static void fail(struct lmn_core *core, struct lmn_partition *partition, const char *why,
                 struct timespec now)
{
    if (partition->replication.stream.phase >= LMN_STREAM_JOINING)
        strike(core, partition, why);
    else
        end(core, partition, why, now);
}

/* b/P, conditional on the ownership and on the record as the mirror shows it. */
static struct lmn_txn *record(const struct lmn_core *core,
                              const struct lmn_partition *partition, bool named)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    GByteArray *v = g_byte_array_new();
    char key[32];

    lmn_cbor_put_map(v, 4);
    lmn_cbor_put_text(v, "node");
    lmn_cbor_put_text(v, named ? lmn_member_name(&core->members, stream->standby_index)
                               : "");
    lmn_cbor_put_text(v, "lease"),
        lmn_cbor_put_uint(v, named ? stream->standby_lease : 0);
    lmn_cbor_put_text(v, "stream"), lmn_cbor_put_uint(v, named ? stream->id : 0);
    lmn_cbor_put_text(v, "term"), lmn_cbor_put_uint(v, partition->ownership.epoch);
    g_snprintf(key, sizeof key, "o/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->ownership.revision);
    g_snprintf(key, sizeof key, "b/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->record.standby_revision);
    lmn_txn_put(txn, key, v, 0);
    return txn;
}

static bool shown(const struct lmn_partition *partition)
{
    return partition->record.standby_stream == partition->replication.stream.id &&
           partition->record.standby_epoch == partition->ownership.epoch;
}

/* The phase follows from what is acknowledged and what the mirror shows. */
static void advance(struct lmn_core *core, struct lmn_partition *partition,
                    struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    if (stream->phase == LMN_STREAM_NONE) {
        int to = -1;
        if ((partition->ownership.is_ready || partition->ownership.is_warm) &&
            core->cache.operator_settings.standby > 0 &&
            !partition->ownership.is_transferring &&
            core->load.delay_s < LMN_STANDBY_SETTLE_S &&
            !lmn_time_before(now, stream->next_step_at))
            to = lmn_standby_choose(core, partition, now);
        if (to >= 0)
            begin(core, partition, to, now);
        return;
    }
    if (stream->phase == LMN_STREAM_REMOVING) {
        /* A naming that is late can't be applied any more either. */
        if (partition->record.standby_revision > stream->join_revision &&
            !shown(partition))
            end(core, partition, stream->last_failure_reason, now);
        return;
    }
    bool waits = stream->phase >= LMN_STREAM_CATCHING_UP &&
                 stream->acknowledged_position < stream->log_position;
    if (!fit(core, partition)) {
        fail(core, partition, "suspected, or another life", now);
    } else if (waits &&
               lmn_time_diff_s(now, stream->waiting_since) > LMN_REPLICATION_TIMEOUT_S) {
        fail(core, partition, "no acknowledgement", now);
    } else if (stream->send_failures >= TRIES) {
        fail(core, partition, "no answer", now);
    } else if (stream->phase == LMN_STREAM_IN_SYNC && passed_over(core, partition, now)) {
        strike(core, partition, BACK);
    } else if (stream->phase == LMN_STREAM_SNAPSHOT && stream->next_batch_number > 0 &&
               !stream->batch &&
               partition->replication.pending_machines->len <=
                   LMN_REPLICATION_BATCH_MACHINES / 2 &&
               !partition->replication.pending_removals->len) {
        stream->phase = LMN_STREAM_CATCHING_UP;
        stream->join_position = stream->log_position;
        stream->waiting_since = now;
    } else if (stream->phase == LMN_STREAM_CATCHING_UP &&
               stream->acknowledged_position >= stream->join_position) {
        stream->phase = LMN_STREAM_JOINING;
        stream->join_revision = partition->record.standby_revision;
        stream->record_written_at = (struct timespec){0, 0};
    } else if (stream->phase == LMN_STREAM_JOINING && shown(partition)) {
        stream->phase = LMN_STREAM_IN_SYNC;
        lmn_info("replica_in_sync partition=%d member=%s machines=%u after=%.2f",
                 partition->id, lmn_member_name(&core->members, stream->standby_index),
                 partition->machine_list->len, lmn_time_diff_s(now, stream->began_at));
    } else {
        return;
    }
    pthread_cond_broadcast(&core->replication_acknowledged);
}

static bool writes(const struct lmn_replication_stream *stream, struct timespec now)
{
    return (stream->phase == LMN_STREAM_JOINING ||
            stream->phase == LMN_STREAM_REMOVING) &&
           (!stream->record_written_at.tv_sec ||
            lmn_time_diff_s(now, stream->record_written_at) > WRITE_S);
}

/* Whether something is to be told now. */
static bool tells(const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;

    if (stream->phase == LMN_STREAM_NONE || stream->phase == LMN_STREAM_REMOVING ||
        stream->is_sending)
        return false;
    if (stream->batch)
        return true; /* once more */
    if (stream->phase == LMN_STREAM_SNAPSHOT)
        return true;
    if (stream->acknowledged_position < stream->log_position)
        return lmn_time_diff_s(now, stream->waiting_since) >= GATHER_S;
    return (partition->replication.pending_machines->len ||
            partition->replication.pending_removals->len) &&
           lmn_time_diff_s(now, stream->last_batch_at) > LAZY_S;
}

enum lmn_replication_step lmn_replication_next_step(struct lmn_core *core,
                                                    struct lmn_partition *partition,
                                                    struct timespec now,
                                                    struct lmn_replication_batch **batch,
                                                    struct lmn_txn **txn, double *wait)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    *wait = LAZY_S / 2;
    if (!partition->ownership.is_owned)
        return LMN_REPLICATION_WAIT;
    advance(core, partition, now);
    if (writes(stream, now)) {
        stream->record_written_at = now;
        *txn = record(core, partition, stream->phase == LMN_STREAM_JOINING);
        return LMN_REPLICATION_WRITE;
    }
    if (tells(partition, now)) {
        if (!stream->batch)
            stream->batch = build(partition, now);
        stream->is_sending = true;
        *batch = stream->batch;
        return LMN_REPLICATION_SEND;
    }
    if (stream->phase != LMN_STREAM_NONE &&
        stream->acknowledged_position < stream->log_position)
        *wait = stream->batch
                    ? 0.05
                    : MAX(GATHER_S - lmn_time_diff_s(now, stream->waiting_since), 0.0005);
    return LMN_REPLICATION_WAIT;
}

void lmn_replication_batch_sent(struct lmn_core *core, struct lmn_partition *partition,
                                struct lmn_replication_batch *batch, bool answered,
                                enum lmn_replica_result answer, struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    if (stream->batch != batch ||
        !stream->is_sending) { /* of a stream that has ended meanwhile */
        lmn_replication_batch_free(batch);
        return;
    }
    stream->is_sending = false;
    if (!answered) {
        stream->send_failures++;
        return;
    }
    stream->batch = NULL;
    stream->send_failures = 0;
    if (answer != LMN_REPLICA_APPLIED) {
        lmn_replication_batch_free(batch);
        if (stream->phase != LMN_STREAM_REMOVING)
            fail(core, partition,
                 answer == LMN_REPLICA_UNKNOWN_STREAM ? "it does not know the stream"
                                                      : "it refuses the stream",
                 now);
        return;
    }
    stream->next_batch_number++;
    stream->counters.batches++;
    stream->counters.machines += batch->machines->len;
    if (batch->log_position > stream->acknowledged_position) {
        /* While it is copied, no start waits. */
        if (stream->phase >= LMN_STREAM_CATCHING_UP)
            lmn_latency_add(&core->latencies.replication,
                            lmn_time_diff_s(now, stream->waiting_since));
        stream->acknowledged_position = batch->log_position;
        stream->waiting_since = now;
    }
    lmn_replication_batch_free(batch);
    pthread_cond_broadcast(&core->replication_acknowledged);
}

void lmn_replication_reset(struct lmn_core *core, struct lmn_partition *partition)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;

    end(core, partition, NULL, stream->began_at);
    stream->consecutive_removals = 0;
    stream->next_step_at = (struct timespec){0, 0};
    stream->last_failure_reason = NULL;
}

uint64_t lmn_standby_condition(const struct lmn_partition *partition, const char *member,
                               struct lmn_txn *txn)
{
    char key[32];

    if (!partition->record.standby_stream ||
        partition->record.standby_epoch != partition->record.epoch ||
        strcmp(partition->record.standby, member))
        return 0;
    g_snprintf(key, sizeof key, "b/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->record.standby_revision);
    return partition->record.standby_stream;
}

void lmn_standby_forget(struct lmn_partition *partition)
{
    lmn_replication_batch_free(partition->replication.stream.batch);
    partition->replication.stream.batch = NULL;
    lmn_replica_free(partition->replication.replica);
    partition->replication.replica = NULL;
}
