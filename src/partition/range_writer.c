/* What an owner writes: done sets, closes, moves. */
#include "partition/range_writer.h"
#include "scheduler/work_stealing.h"
#include "partition/machine_block.h"
#include "partition/quota_transfer.h"
#include "state/records.h"

#include <string.h>

struct write_ref {
    struct lmn_core *c;
    int part;
    char *key;
    char ref[LMN_JOB_ID_SIZE];
};

static void range_written(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                          uint64_t revision)
{
    struct write_ref *w = arg;
    struct lmn_core *core = w->c;
    (void)txn;

    pthread_mutex_lock(&core->lock);
    struct lmn_range *range =
        g_hash_table_lookup(core->partitions[w->part].ranges, w->key);
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, w->ref);
    if (outcome != LMN_TXN_COMMITTED && job)
        job->closing_revision = 0;
    if (range && range->is_writing) {
        if (outcome == LMN_TXN_COMMITTED) {
            range->written_revision = revision;
            if (range->revision >= revision)
                range->is_writing = false;
        } else {
            /* Nothing is lost by another try: each is conditional on what the mirror
             * shows. */
            range->is_writing = false;
            range->retry_at =
                lmn_time_add(lmn_now(), outcome == LMN_TXN_CONFLICT ? 0.1 : 0.4);
            /* A move is off only if it surely was not, and never will be, applied. */
            if (outcome == LMN_TXN_UNKNOWN)
                range->move_is_uncertain = true;
            else if (range->move_to >= 0 && !range->move_is_uncertain)
                lmn_range_cancel_move(core, range, lmn_now());
        }
    }
    pthread_mutex_unlock(&core->lock);
    g_free(w->key);
    g_free(w);
}

static struct lmn_txn *owner_txn(struct lmn_core *core, struct lmn_range *range,
                                 enum lmn_write_priority priority)
{
    char key[64];
    struct write_ref *w = g_new0(struct write_ref, 1);

    w->c = core;
    w->part = range->partition->id;
    w->key = g_strdup(range->key);
    g_strlcpy(w->ref, range->job->spec.id, sizeof w->ref);
    struct lmn_txn *txn = lmn_txn_new(priority, range_written, w);
    g_snprintf(key, sizeof key, "o/%d", range->partition->id);
    lmn_txn_require_version(txn, key, range->partition->ownership.revision);
    lmn_txn_require_version(txn, range->key, range->revision);
    range->is_writing = true;
    range->written_revision = 0;
    return txn;
}

/* Moves the tasks from move_at on: one write, conditional on this owner, the range and,
 * since a split opens one range more, the job. */
static void move_range(struct lmn_core *core, struct lmn_range *range)
{
    const struct lmn_job *job = range->job;
    struct lmn_range there = {.first = range->move_at, .end = range->end};
    uint8_t *bits = g_malloc0((range->end - range->first + 7) / 8);
    struct lmn_txn *txn = owner_txn(core, range, LMN_WRITE_CLOSE);
    char key[96];

    g_snprintf(key, sizeof key, "r/%d/%s/%u", range->move_to, job->spec.id,
               range->move_at);
    lmn_txn_require_version(txn, key, 0);
    lmn_txn_put(txn, key, lmn_range_record(&there, bits), 0);
    if (range->move_at == range->first) {
        lmn_txn_delete(txn, range->key);
    } else {
        struct lmn_range here = {.first = range->first, .end = range->move_at};
        for (uint32_t i = 0; i < here.end - here.first; i++)
            if (range->task_states[i] == LMN_TASK_DONE)
                lmn_bitset_set(bits, i);
        lmn_txn_put(txn, range->key, lmn_range_record(&here, bits), 0);
        g_snprintf(key, sizeof key, "j/%s", job->spec.id);
        lmn_txn_require_version(txn, key, job->revision);
        lmn_txn_put(txn, key,
                    lmn_job_record(&job->spec, job->phase, job->open_ranges + 1,
                                   job->accepted_at_s),
                    0);
    }
    g_free(bits);
    range->move_revision = range->revision;
    lmn_kv_client_submit(core->kv_client, txn);
}

/* Gathers in lazily what can wait. */
static void flush_range(struct lmn_core *core, struct lmn_range *range, GPtrArray *lazy,
                        struct timespec now)
{
    struct lmn_job *job = range->job;
    uint32_t n = range->end - range->first;
    struct lmn_txn *txn;
    char key[64];

    if (range->is_writing || lmn_time_before(now, range->retry_at))
        return;
    if (range->move_to >= 0) {
        move_range(core, range);
        return;
    }
    if (job->phase != LMN_JOB_ACTIVE) {
        if (range->started_count == 0)
            g_ptr_array_add(lazy, range);
        return;
    }
    if (range->finished_count == n) {
        if (job->closing_revision == job->revision)
            return; /* one range of a job at a time, or the job's record conflicts */
        job->closing_revision = job->revision;
        txn = owner_txn(core, range, LMN_WRITE_CLOSE);
        g_snprintf(key, sizeof key, "j/%s", job->spec.id);
        lmn_txn_require_version(txn, key, job->revision);
        lmn_txn_delete(txn, range->key);
        lmn_txn_put(txn, key,
                    lmn_job_record(&job->spec,
                                   job->open_ranges <= 1 ? LMN_JOB_DONE : LMN_JOB_ACTIVE,
                                   job->open_ranges - 1, job->accepted_at_s),
                    0);
        lmn_kv_client_submit(core->kv_client, txn);
        return;
    }
    if (range->finished_count > range->done_count &&
        lmn_time_diff_s(now, range->dirty_since) > 2.0)
        g_ptr_array_add(lazy, range);
}

static void flush_lazily(struct lmn_core *core, struct lmn_range *range,
                         struct timespec now)
{
    uint32_t n = range->end - range->first;
    struct lmn_txn *txn = owner_txn(core, range, LMN_WRITE_DEFERRABLE);

    if (range->job->phase != LMN_JOB_ACTIVE) {
        lmn_txn_delete(txn, range->key);
    } else {
        uint8_t *done = g_malloc0((n + 7) / 8);
        for (uint32_t i = 0; i < n; i++)
            if (range->task_states[i] == LMN_TASK_DONE)
                lmn_bitset_set(done, i);
        lmn_txn_put(txn, range->key, lmn_range_record(range, done), 0);
        g_free(done);
    }
    range->dirty_since = now;
    lmn_kv_client_submit(core->kv_client, txn);
}

static gint by_dirty(gconstpointer a, gconstpointer b)
{
    const struct lmn_range *x = *(struct lmn_range *const *)a;
    const struct lmn_range *y = *(struct lmn_range *const *)b;
    return lmn_time_before(x->dirty_since, y->dirty_since)
               ? -1
               : lmn_time_before(y->dirty_since, x->dirty_since);
}

void lmn_range_writer_flush(struct lmn_core *core, struct timespec now)
{
    double spare = lmn_kv_client_spare_writes(core->kv_client);
    GPtrArray *lazy = g_ptr_array_new();

    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        GHashTableIter it;
        gpointer v;
        if (!partition->ownership.is_owned || partition->ownership.is_transferring)
            continue;
        g_hash_table_iter_init(&it, partition->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v))
            flush_range(core, v, lazy, now);
        lmn_machine_blocks_flush(core, partition, spare >= 1, now);
        lmn_quota_transfer_flush(core, partition, now);
    }
    /* No more than can go out now: one that is queued holds up the close of its range. */
    g_ptr_array_sort(lazy, by_dirty);
    for (guint i = 0; i < lazy->len && i < spare; i++)
        flush_lazily(core, lazy->pdata[i], now);
    g_ptr_array_free(lazy, TRUE);
}
