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
    return partition->mine && partition->stream.phase >= LMN_STREAM_CATCHING_UP;
}

bool lmn_replication_covers(const struct lmn_partition *partition, uint64_t mark)
{
    return !lmn_replication_gates_starts(partition) || partition->stream.acked >= mark;
}

bool lmn_replication_is_stuck(const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_replication_stream *stream = &partition->stream;

    return lmn_replication_gates_starts(partition) && stream->acked < stream->mark &&
           lmn_time_diff_s(now, stream->waits) > LMN_REPLICATION_DEFER_S;
}

void lmn_replication_lag(const struct lmn_partition *partition, struct timespec now,
                         guint *machines, uint64_t *starts, double *seconds)
{
    const struct lmn_replication_stream *stream = &partition->stream;

    *machines = partition->untold->len;
    *starts = lmn_replication_gates_starts(partition) ? stream->mark - stream->acked : 0;
    *seconds = *starts ? lmn_time_diff_s(now, stream->waits) : 0;
}

/* --- the batches --- */

static guint images_hash(const struct lmn_machine *machine)
{
    guint h = 1;

    for (guint i = 0; i < machine->images->len; i++) {
        const struct lmn_image *image =
            &g_array_index(machine->images, struct lmn_image, i);
        h += g_str_hash(image->name) * (image->ready.tv_sec ? 3 : 7);
    }
    return h;
}

static struct lmn_machine_snapshot *tell(struct lmn_machine *machine)
{
    guint hash = images_hash(machine);
    bool changed = hash != machine->told_images;

    machine->told_images = hash;
    return lmn_machine_snapshot_take(machine, changed);
}

static struct lmn_replication_batch *build(struct lmn_partition *partition,
                                           struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->stream;
    struct lmn_replication_batch *batch = lmn_replication_batch_new();

    batch->part = partition->id;
    batch->term = partition->my_term;
    batch->stream = stream->id;
    batch->number = stream->number;
    while (partition->forgotten->len &&
           batch->machines->len < LMN_REPLICATION_BATCH_MACHINES) {
        char *name = g_ptr_array_steal_index_fast(partition->forgotten,
                                                  partition->forgotten->len - 1);
        struct lmn_machine_snapshot *snapshot = lmn_machine_snapshot_new(name);
        snapshot->forget = true;
        g_ptr_array_add(batch->machines, snapshot);
        g_free(name);
    }
    while (partition->untold->len &&
           batch->machines->len < LMN_REPLICATION_BATCH_MACHINES) {
        struct lmn_machine *machine =
            g_ptr_array_steal_index_fast(partition->untold, partition->untold->len - 1);
        machine->untold = false;
        g_ptr_array_add(batch->machines, tell(machine));
    }
    /* With machines left, some start may be on one of those. */
    batch->mark = partition->untold->len ? stream->acked : stream->mark;
    stream->told = now;
    return batch;
}

/* --- the phases --- */

/* No stream: nothing waits, nothing is told. */
static void end(struct lmn_core *core, struct lmn_partition *partition, const char *why,
                struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->stream;

    for (guint i = 0; i < partition->untold->len; i++)
        ((struct lmn_machine *)partition->untold->pdata[i])->untold = false;
    g_ptr_array_set_size(partition->untold, 0);
    g_ptr_array_set_size(partition->forgotten, 0);
    /* The thread that sends it frees it. */
    if (!stream->sending)
        lmn_replication_batch_free(stream->batch);
    stream->batch = NULL;
    stream->sending = false;
    if (stream->phase != LMN_STREAM_NONE && why) {
        stream->struck = lmn_time_diff_s(now, stream->began) > HELD_S
                             ? 1
                             : MIN(stream->struck + 1, 10);
        stream->next = lmn_time_add(
            now, MIN(AGAIN_S * (double)(1u << (stream->struck - 1)), LONGEST_S));
        stream->why = why;
        if (why == BACK) {
            stream->struck = 0;
            stream->next = now;
        }
    }
    stream->phase = LMN_STREAM_NONE;
    pthread_cond_broadcast(&core->told);
    pthread_cond_signal(&partition->following);
}

static void begin(struct lmn_core *core, struct lmn_partition *partition, int to,
                  struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->stream;

    stream->phase = LMN_STREAM_SNAPSHOT;
    stream->to = to;
    stream->to_lease = core->members.v[to].lease;
    /* In order within the term, so that a late twin of an older one is known as that. */
    stream->id = partition->my_term << 20 | (++stream->count.streams & 0xfffff);
    stream->number = 0;
    stream->failures = 0;
    stream->began = now;
    /* What was acknowledged before, another has. */
    stream->acked = 0;
    stream->mark++;
    for (guint i = 0; i < partition->list->len; i++) {
        struct lmn_machine *machine = partition->list->pdata[i];
        machine->told_images = 0;
        lmn_machine_mark_unreplicated(machine);
    }
    lmn_debug("standby-copy partition=%d member=%s machines=%u", partition->id,
              lmn_member_name(&core->members, to), partition->list->len);
}

/* It is the process that it was, and nobody suspects it. Its own word does not count: in
 * an outage of the state service everybody's mirror stands still, and no standby could
 * be struck off; all starts once waited for the outage's end for that. Whether it answers
 * shows by itself. */
static bool fit(const struct lmn_core *core, const struct lmn_partition *partition)
{
    const struct lmn_replication_stream *stream = &partition->stream;
    const struct lmn_member_view *member = &core->members.v[stream->to];

    return core->tuning.standby > 0 && member->present &&
           member->lease == stream->to_lease &&
           !lmn_member_is_suspected(&core->members, stream->to);
}

/* Another follows, though the usual holder could, and is about to have its partition
 * back.
 */
static bool passed_over(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int holder = partition->id % members->n;

    return holder != members->me && holder != partition->stream.to &&
           lmn_member_is_trusted(members, holder, now) &&
           lmn_member_readmission_delay_s(members, holder, now) < BEFORE_S;
}

static void strike(struct lmn_core *core, struct lmn_partition *partition,
                   const char *why)
{
    struct lmn_replication_stream *stream = &partition->stream;

    lmn_info("standby-struck partition=%d member=%s phase=%s why=\"%s\" "
             "waiting=%" G_GUINT64_FORMAT,
             partition->id, lmn_member_name(&core->members, stream->to),
             lmn_replication_phase_name(stream->phase), why,
             stream->mark - stream->acked);
    stream->phase = LMN_STREAM_REMOVING;
    stream->why = why;
    stream->written = (struct timespec){0, 0};
    stream->count.strikes++;
}

static void fail(struct lmn_core *core, struct lmn_partition *partition, const char *why,
                 struct timespec now)
{
    if (partition->stream.phase >= LMN_STREAM_JOINING)
        strike(core, partition, why);
    else
        end(core, partition, why, now);
}

/* b/P, conditional on the ownership and on the record as the mirror shows it. */
static struct lmn_txn *record(const struct lmn_core *core,
                              const struct lmn_partition *partition, bool named)
{
    const struct lmn_replication_stream *stream = &partition->stream;
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    GByteArray *v = g_byte_array_new();
    char key[32];

    lmn_cbor_put_map(v, 4);
    lmn_cbor_put_text(v, "node");
    lmn_cbor_put_text(v, named ? lmn_member_name(&core->members, stream->to) : "");
    lmn_cbor_put_text(v, "lease"), lmn_cbor_put_uint(v, named ? stream->to_lease : 0);
    lmn_cbor_put_text(v, "stream"), lmn_cbor_put_uint(v, named ? stream->id : 0);
    lmn_cbor_put_text(v, "term"), lmn_cbor_put_uint(v, partition->my_term);
    g_snprintf(key, sizeof key, "o/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->my_rev);
    g_snprintf(key, sizeof key, "b/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->standby_rev);
    lmn_txn_put(txn, key, v, 0);
    return txn;
}

static bool shown(const struct lmn_partition *partition)
{
    return partition->standby_stream == partition->stream.id &&
           partition->standby_term == partition->my_term;
}

/* The phase follows from what is acknowledged and what the mirror shows. */
static void advance(struct lmn_core *core, struct lmn_partition *partition,
                    struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->stream;

    if (stream->phase == LMN_STREAM_NONE) {
        int to = -1;
        if ((partition->ready || partition->warm) && core->tuning.standby > 0 &&
            !partition->releasing && core->load.behind < LMN_STANDBY_SETTLE_S &&
            !lmn_time_before(now, stream->next))
            to = lmn_standby_choose(core, partition, now);
        if (to >= 0)
            begin(core, partition, to, now);
        return;
    }
    if (stream->phase == LMN_STREAM_REMOVING) {
        /* A naming that is late can't be applied any more either. */
        if (partition->standby_rev > stream->named_rev && !shown(partition))
            end(core, partition, stream->why, now);
        return;
    }
    bool waits = stream->phase >= LMN_STREAM_CATCHING_UP && stream->acked < stream->mark;
    if (!fit(core, partition)) {
        fail(core, partition, "suspected, or another life", now);
    } else if (waits && lmn_time_diff_s(now, stream->waits) > LMN_REPLICATION_TIMEOUT_S) {
        fail(core, partition, "no acknowledgement", now);
    } else if (stream->failures >= TRIES) {
        fail(core, partition, "no answer", now);
    } else if (stream->phase == LMN_STREAM_IN_SYNC && passed_over(core, partition, now)) {
        strike(core, partition, BACK);
    } else if (stream->phase == LMN_STREAM_SNAPSHOT && stream->number > 0 &&
               !stream->batch &&
               partition->untold->len <= LMN_REPLICATION_BATCH_MACHINES / 2 &&
               !partition->forgotten->len) {
        stream->phase = LMN_STREAM_CATCHING_UP;
        stream->closing = stream->mark;
        stream->waits = now;
    } else if (stream->phase == LMN_STREAM_CATCHING_UP &&
               stream->acked >= stream->closing) {
        stream->phase = LMN_STREAM_JOINING;
        stream->named_rev = partition->standby_rev;
        stream->written = (struct timespec){0, 0};
    } else if (stream->phase == LMN_STREAM_JOINING && shown(partition)) {
        stream->phase = LMN_STREAM_IN_SYNC;
        lmn_info("standby-in-step partition=%d member=%s machines=%u after=%.2f",
                 partition->id, lmn_member_name(&core->members, stream->to),
                 partition->list->len, lmn_time_diff_s(now, stream->began));
    } else {
        return;
    }
    pthread_cond_broadcast(&core->told);
}

static bool writes(const struct lmn_replication_stream *stream, struct timespec now)
{
    return (stream->phase == LMN_STREAM_JOINING ||
            stream->phase == LMN_STREAM_REMOVING) &&
           (!stream->written.tv_sec || lmn_time_diff_s(now, stream->written) > WRITE_S);
}

/* Whether something is to be told now. */
static bool tells(const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_replication_stream *stream = &partition->stream;

    if (stream->phase == LMN_STREAM_NONE || stream->phase == LMN_STREAM_REMOVING ||
        stream->sending)
        return false;
    if (stream->batch)
        return true; /* once more */
    if (stream->phase == LMN_STREAM_SNAPSHOT)
        return true;
    if (stream->acked < stream->mark)
        return lmn_time_diff_s(now, stream->waits) >= GATHER_S;
    return (partition->untold->len || partition->forgotten->len) &&
           lmn_time_diff_s(now, stream->told) > LAZY_S;
}

enum lmn_replication_step lmn_replication_next_step(struct lmn_core *core,
                                                    struct lmn_partition *partition,
                                                    struct timespec now,
                                                    struct lmn_replication_batch **batch,
                                                    struct lmn_txn **txn, double *wait)
{
    struct lmn_replication_stream *stream = &partition->stream;

    *wait = LAZY_S / 2;
    if (!partition->mine)
        return LMN_REPLICATION_WAIT;
    advance(core, partition, now);
    if (writes(stream, now)) {
        stream->written = now;
        *txn = record(core, partition, stream->phase == LMN_STREAM_JOINING);
        return LMN_REPLICATION_WRITE;
    }
    if (tells(partition, now)) {
        if (!stream->batch)
            stream->batch = build(partition, now);
        stream->sending = true;
        *batch = stream->batch;
        return LMN_REPLICATION_SEND;
    }
    if (stream->phase != LMN_STREAM_NONE && stream->acked < stream->mark)
        *wait = stream->batch
                    ? 0.05
                    : MAX(GATHER_S - lmn_time_diff_s(now, stream->waits), 0.0005);
    return LMN_REPLICATION_WAIT;
}

void lmn_replication_batch_sent(struct lmn_core *core, struct lmn_partition *partition,
                                struct lmn_replication_batch *batch, bool answered,
                                enum lmn_replica_result answer, struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->stream;

    if (stream->batch != batch ||
        !stream->sending) { /* of a stream that has ended meanwhile */
        lmn_replication_batch_free(batch);
        return;
    }
    stream->sending = false;
    if (!answered) {
        stream->failures++;
        return;
    }
    stream->batch = NULL;
    stream->failures = 0;
    if (answer != LMN_REPLICA_APPLIED) {
        lmn_replication_batch_free(batch);
        if (stream->phase != LMN_STREAM_REMOVING)
            fail(core, partition,
                 answer == LMN_REPLICA_UNKNOWN_STREAM ? "it does not know the stream"
                                                      : "it refuses the stream",
                 now);
        return;
    }
    stream->number++;
    stream->count.batches++;
    stream->count.machines += batch->machines->len;
    if (batch->mark > stream->acked) {
        /* While it is copied, no start waits. */
        if (stream->phase >= LMN_STREAM_CATCHING_UP)
            lmn_latency_add(&core->telling, lmn_time_diff_s(now, stream->waits));
        stream->acked = batch->mark;
        stream->waits = now;
    }
    lmn_replication_batch_free(batch);
    pthread_cond_broadcast(&core->told);
}

void lmn_replication_reset(struct lmn_core *core, struct lmn_partition *partition)
{
    struct lmn_replication_stream *stream = &partition->stream;

    end(core, partition, NULL, stream->began);
    stream->struck = 0;
    stream->next = (struct timespec){0, 0};
    stream->why = NULL;
}

uint64_t lmn_standby_condition(const struct lmn_partition *partition, const char *member,
                               struct lmn_txn *txn)
{
    char key[32];

    if (!partition->standby_stream || partition->standby_term != partition->term ||
        strcmp(partition->standby, member))
        return 0;
    g_snprintf(key, sizeof key, "b/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->standby_rev);
    return partition->standby_stream;
}

void lmn_standby_forget(struct lmn_partition *partition)
{
    lmn_replication_batch_free(partition->stream.batch);
    partition->stream.batch = NULL;
    lmn_replica_free(partition->copy);
    partition->copy = NULL;
}
