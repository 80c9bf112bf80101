/* Writes the ranges of owned partitions. The core's lock is held by the caller
 * throughout, except in handle_write_outcome, which takes it. */
#include "partition/range_writer.h"

#include "partition/machine_block.h"
#include "partition/quota_transfer.h"
#include "scheduler/work_stealing.h"
#include "state/records.h"

/* How long a finished task waits, in seconds, so that one write records the tasks that
 * finish meanwhile, too. */
static const double DONE_SET_DELAY_S = 2.0;

/* Seconds after which a failed write is tried again. After a conflict it is less: the
 * watch cache was only slightly behind the store. */
static const double CONFLICT_RETRY_S = 0.1, FAILURE_RETRY_S = 0.4;

enum { RECORD_KEY_SIZE = 96 }; /* bytes */

/* Which range a write in flight belongs to. The range is looked up by its key when the
 * outcome is known, because it may have been freed by then. */
struct range_write {
    struct lmn_core *core;
    int partition_id;
    char *range_key;
    char job_id[LMN_JOB_ID_SIZE];
};

/* Schedules the next try after a failed write, and cancels the range's move if that is
 * safe. */
static void handle_write_failure(struct lmn_core *core, struct lmn_range *range,
                                 enum lmn_txn_outcome outcome)
{
    /* Another try is safe, even if this one was applied: each is conditional on the
     * revisions in the watch cache. */
    range->is_writing = false;
    range->retry_at = lmn_time_add(
        lmn_now(), outcome == LMN_TXN_CONFLICT ? CONFLICT_RETRY_S : FAILURE_RETRY_S);
    /* A move is cancelled only if it is certain that it was not, and will not be,
     * applied. */
    if (outcome == LMN_TXN_UNKNOWN)
        range->move_is_uncertain = true;
    else if (range->move_to >= 0 && !range->move_is_uncertain)
        lmn_range_cancel_move(core, range, lmn_now());
}

/* Handles the outcome of a write. Takes the lock. */
static void handle_write_outcome(void *arg, struct lmn_txn *txn,
                                 enum lmn_txn_outcome outcome, uint64_t revision)
{
    struct range_write *write = arg;
    struct lmn_core *core = write->core;
    (void)txn;

    pthread_mutex_lock(&core->lock);
    struct lmn_range *range = g_hash_table_lookup(
        core->partitions[write->partition_id].ranges, write->range_key);
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, write->job_id);
    if (outcome != LMN_TXN_COMMITTED && job)
        job->closing_revision = 0;
    if (range && range->is_writing) {
        if (outcome != LMN_TXN_COMMITTED) {
            handle_write_failure(core, range, outcome);
        } else {
            range->written_revision = revision;
            if (range->revision >= revision)
                range->is_writing = false;
        }
    }
    pthread_mutex_unlock(&core->lock);
    g_free(write->range_key);
    g_free(write);
}

/* Makes a transaction on the range, conditional on this controller's ownership and on the
 * revision of the range's record. */
static struct lmn_txn *begin_range_write(struct lmn_core *core, struct lmn_range *range,
                                         enum lmn_write_priority priority)
{
    char owner_key[RECORD_KEY_SIZE];
    struct range_write *write = g_new0(struct range_write, 1);

    write->core = core;
    write->partition_id = range->partition->id;
    write->range_key = g_strdup(range->key);
    g_strlcpy(write->job_id, range->job->spec.id, sizeof write->job_id);
    struct lmn_txn *txn = lmn_txn_new(priority, handle_write_outcome, write);
    g_snprintf(owner_key, sizeof owner_key, "o/%d", range->partition->id);
    lmn_txn_require_version(txn, owner_key, range->partition->ownership.revision);
    lmn_txn_require_version(txn, range->key, range->revision);
    range->is_writing = true;
    range->written_revision = 0;
    return txn;
}

/* Adds a write of the job's record to the transaction, conditional on its revision in the
 * watch cache. */
static void put_job(struct lmn_txn *txn, const struct lmn_job *job,
                    enum lmn_job_phase phase, uint32_t open_ranges)
{
    char key[RECORD_KEY_SIZE];

    g_snprintf(key, sizeof key, "j/%s", job->spec.id);
    lmn_txn_require_version(txn, key, job->revision);
    lmn_txn_put(txn, key,
                lmn_job_record_encode(&job->spec, phase, open_ranges, job->accepted_at_s),
                0);
}

/* A bit set, of the range's size, of the done ones among its first `count` tasks; freed
 * by the caller. */
static uint8_t *encode_done_tasks(const struct lmn_range *range, uint32_t count)
{
    uint8_t *done = g_malloc0((range->end - range->first + 7) / 8);

    for (uint32_t i = 0; i < count; i++)
        if (range->task_states[i] == LMN_TASK_DONE)
            lmn_bitset_set(done, i);
    return done;
}

/* Moves the tasks from move_at to the range's end to another partition, by one write. If
 * some tasks are kept, the range is split: the job has one open range more, so the write
 * is conditional on the job's record as well. */
static void move_range(struct lmn_core *core, struct lmn_range *range)
{
    const struct lmn_job *job = range->job;
    const struct lmn_range moved = {.first = range->move_at, .end = range->end};
    const struct lmn_range kept = {.first = range->first, .end = range->move_at};
    struct lmn_txn *txn = begin_range_write(core, range, LMN_WRITE_CLOSE);
    g_autofree uint8_t *none_done = encode_done_tasks(range, 0);
    char key[RECORD_KEY_SIZE];

    g_snprintf(key, sizeof key, "r/%d/%s/%u", range->move_to, job->spec.id,
               range->move_at);
    lmn_txn_require_version(txn, key, 0);
    lmn_txn_put(txn, key, lmn_range_record_encode(&moved, none_done), 0);
    if (range->move_at == range->first) {
        lmn_txn_delete(txn, range->key);
    } else {
        g_autofree uint8_t *done = encode_done_tasks(range, kept.end - kept.first);
        lmn_txn_put(txn, range->key, lmn_range_record_encode(&kept, done), 0);
        put_job(txn, job, job->phase, job->open_ranges + 1);
    }
    range->move_revision = range->revision;
    lmn_kv_client_submit(core->kv_client, txn);
}

/* Removes the record of a range whose tasks are all done. With the last open range of a
 * job, the job becomes done. */
static void close_finished_range(struct lmn_core *core, struct lmn_range *range)
{
    struct lmn_job *job = range->job;
    bool is_last = job->open_ranges <= 1;

    /* The ranges of a job are closed one at a time; otherwise their writes of the job's
     * record would conflict. */
    if (job->closing_revision == job->revision)
        return;
    job->closing_revision = job->revision;
    struct lmn_txn *txn = begin_range_write(core, range, LMN_WRITE_CLOSE);
    lmn_txn_delete(txn, range->key);
    put_job(txn, job, is_last ? LMN_JOB_DONE : LMN_JOB_ACTIVE, job->open_ranges - 1);
    lmn_kv_client_submit(core->kv_client, txn);
}

/* Submits the range's write that is due, or adds the range to `deferrable` if that write
 * can wait. */
static void flush_range(struct lmn_core *core, struct lmn_range *range,
                        GPtrArray *deferrable, struct timespec now)
{
    if (range->is_writing || lmn_time_before(now, range->retry_at))
        return;
    if (range->move_to >= 0) {
        move_range(core, range);
    } else if (range->job->phase != LMN_JOB_ACTIVE) {
        if (range->started_count == 0)
            g_ptr_array_add(deferrable, range);
    } else if (range->finished_count == range->end - range->first) {
        close_finished_range(core, range);
    } else if (range->finished_count > range->done_count &&
               lmn_time_diff_s(now, range->dirty_since) > DONE_SET_DELAY_S) {
        g_ptr_array_add(deferrable, range);
    }
}

/* Submits a write that can wait: of which tasks are done, or of the removal of a range
 * whose job has ended. */
static void flush_deferrable(struct lmn_core *core, struct lmn_range *range,
                             struct timespec now)
{
    struct lmn_txn *txn = begin_range_write(core, range, LMN_WRITE_DEFERRABLE);

    if (range->job->phase != LMN_JOB_ACTIVE) {
        lmn_txn_delete(txn, range->key);
    } else {
        g_autofree uint8_t *done = encode_done_tasks(range, range->end - range->first);
        lmn_txn_put(txn, range->key, lmn_range_record_encode(range, done), 0);
    }
    range->dirty_since = now;
    lmn_kv_client_submit(core->kv_client, txn);
}

/* Orders ranges by how long their finished tasks have waited, the longest first. */
static gint compare_dirty_since(gconstpointer a, gconstpointer b)
{
    const struct lmn_range *left = *(struct lmn_range *const *)a;
    const struct lmn_range *right = *(struct lmn_range *const *)b;

    return lmn_time_before(left->dirty_since, right->dirty_since)
               ? -1
               : lmn_time_before(right->dirty_since, left->dirty_since);
}

static void flush_partition(struct lmn_core *core, struct lmn_partition *partition,
                            GPtrArray *deferrable, bool has_spare_writes,
                            struct timespec now)
{
    GHashTableIter it;
    gpointer range;

    if (!partition->ownership.is_owned || partition->ownership.is_transferring)
        return;
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &range))
        flush_range(core, range, deferrable, now);
    lmn_machine_blocks_flush(core, partition, has_spare_writes, now);
    lmn_quota_transfer_retry(core, partition, now);
}

void lmn_range_writer_flush(struct lmn_core *core, struct timespec now)
{
    double spare_writes = lmn_kv_client_spare_writes(core->kv_client);
    g_autoptr(GPtrArray) deferrable = g_ptr_array_new();

    for (int i = 0; i < core->partition_count; i++)
        flush_partition(core, &core->partitions[i], deferrable, spare_writes >= 1, now);
    /* Only as many as the write budget allows to be sent now, the longest waiting first:
     * a range has one write in flight at a time, so a write that is queued in the client
     * would delay the removal of its range. */
    g_ptr_array_sort(deferrable, compare_dirty_since);
    for (guint i = 0; i < deferrable->len && i < spare_writes; i++)
        flush_deferrable(core, deferrable->pdata[i], now);
}
