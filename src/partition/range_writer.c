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

static void range_written(void *arg, struct lmn_txn *t, enum lmn_txn_outcome outcome,
                          uint64_t rev)
{
    struct write_ref *w = arg;
    struct lmn_core *c = w->c;
    (void)t;

    pthread_mutex_lock(&c->lock);
    struct lmn_range *r = g_hash_table_lookup(c->parts[w->part].ranges, w->key);
    struct lmn_job *j = g_hash_table_lookup(c->jobs, w->ref);
    if (outcome != LMN_TXN_COMMITTED && j)
        j->closing = 0;
    if (r && r->writing) {
        if (outcome == LMN_TXN_COMMITTED) {
            r->written = rev;
            if (r->rev >= rev)
                r->writing = false;
        } else {
            /* Nothing is lost by another try: each is conditional on what the mirror
             * shows. */
            r->writing = false;
            r->retry = lmn_time_add(lmn_now(), outcome == LMN_TXN_CONFLICT ? 0.1 : 0.4);
            /* A move is off only if it surely was not, and never will be, applied. */
            if (outcome == LMN_TXN_UNKNOWN)
                r->move_unsure = true;
            else if (r->move_to >= 0 && !r->move_unsure)
                lmn_range_cancel_move(c, r, lmn_now());
        }
    }
    pthread_mutex_unlock(&c->lock);
    g_free(w->key);
    g_free(w);
}

static struct lmn_txn *owner_txn(struct lmn_core *c, struct lmn_range *r,
                                 enum lmn_write_priority rank)
{
    char key[64];
    struct write_ref *w = g_new0(struct write_ref, 1);

    w->c = c;
    w->part = r->part->id;
    w->key = g_strdup(r->key);
    g_strlcpy(w->ref, r->job->spec.ref, sizeof w->ref);
    struct lmn_txn *t = lmn_txn_new(rank, range_written, w);
    g_snprintf(key, sizeof key, "o/%d", r->part->id);
    lmn_txn_require_version(t, key, r->part->my_rev);
    lmn_txn_require_version(t, r->key, r->rev);
    r->writing = true;
    r->written = 0;
    return t;
}

/* Moves the tasks from move_at on: one write, conditional on this owner, the range and,
 * since a split opens one range more, the job. */
static void move_range(struct lmn_core *c, struct lmn_range *r)
{
    const struct lmn_job *j = r->job;
    struct lmn_range there = {.lo = r->move_at, .hi = r->hi};
    uint8_t *bits = g_malloc0((r->hi - r->lo + 7) / 8);
    struct lmn_txn *t = owner_txn(c, r, LMN_WRITE_CLOSE);
    char key[96];

    g_snprintf(key, sizeof key, "r/%d/%s/%u", r->move_to, j->spec.ref, r->move_at);
    lmn_txn_require_version(t, key, 0);
    lmn_txn_put(t, key, lmn_range_record(&there, bits), 0);
    if (r->move_at == r->lo) {
        lmn_txn_delete(t, r->key);
    } else {
        struct lmn_range here = {.lo = r->lo, .hi = r->move_at};
        for (uint32_t i = 0; i < here.hi - here.lo; i++)
            if (r->st[i] == LMN_TASK_DONE)
                lmn_bitset_set(bits, i);
        lmn_txn_put(t, r->key, lmn_range_record(&here, bits), 0);
        g_snprintf(key, sizeof key, "j/%s", j->spec.ref);
        lmn_txn_require_version(t, key, j->rev);
        lmn_txn_put(t, key, lmn_job_record(&j->spec, j->phase, j->open + 1, j->at), 0);
    }
    g_free(bits);
    r->move_rev = r->rev;
    lmn_kv_client_submit(c->state, t);
}

/* Gathers in lazily what can wait. */
static void flush_range(struct lmn_core *c, struct lmn_range *r, GPtrArray *lazy,
                        struct timespec now)
{
    struct lmn_job *j = r->job;
    uint32_t n = r->hi - r->lo;
    struct lmn_txn *t;
    char key[64];

    if (r->writing || lmn_time_before(now, r->retry))
        return;
    if (r->move_to >= 0) {
        move_range(c, r);
        return;
    }
    if (j->phase != LMN_JOB_ACTIVE) {
        if (r->nstarted == 0)
            g_ptr_array_add(lazy, r);
        return;
    }
    if (r->nfinished == n) {
        if (j->closing == j->rev)
            return; /* one range of a job at a time, or the job's record conflicts */
        j->closing = j->rev;
        t = owner_txn(c, r, LMN_WRITE_CLOSE);
        g_snprintf(key, sizeof key, "j/%s", j->spec.ref);
        lmn_txn_require_version(t, key, j->rev);
        lmn_txn_delete(t, r->key);
        lmn_txn_put(t, key,
                    lmn_job_record(&j->spec, j->open <= 1 ? LMN_JOB_DONE : LMN_JOB_ACTIVE,
                                   j->open - 1, j->at),
                    0);
        lmn_kv_client_submit(c->state, t);
        return;
    }
    if (r->nfinished > r->ndone && lmn_time_diff_s(now, r->dirty) > 2.0)
        g_ptr_array_add(lazy, r);
}

static void flush_lazily(struct lmn_core *c, struct lmn_range *r, struct timespec now)
{
    uint32_t n = r->hi - r->lo;
    struct lmn_txn *t = owner_txn(c, r, LMN_WRITE_DEFERRABLE);

    if (r->job->phase != LMN_JOB_ACTIVE) {
        lmn_txn_delete(t, r->key);
    } else {
        uint8_t *done = g_malloc0((n + 7) / 8);
        for (uint32_t i = 0; i < n; i++)
            if (r->st[i] == LMN_TASK_DONE)
                lmn_bitset_set(done, i);
        lmn_txn_put(t, r->key, lmn_range_record(r, done), 0);
        g_free(done);
    }
    r->dirty = now;
    lmn_kv_client_submit(c->state, t);
}

static gint by_dirty(gconstpointer a, gconstpointer b)
{
    const struct lmn_range *x = *(struct lmn_range *const *)a;
    const struct lmn_range *y = *(struct lmn_range *const *)b;
    return lmn_time_before(x->dirty, y->dirty) ? -1 : lmn_time_before(y->dirty, x->dirty);
}

void lmn_range_writer_flush(struct lmn_core *c, struct timespec now)
{
    double spare = lmn_kv_client_spare_writes(c->state);
    GPtrArray *lazy = g_ptr_array_new();

    for (int i = 0; i < c->nparts; i++) {
        struct lmn_partition *p = &c->parts[i];
        GHashTableIter it;
        gpointer v;
        if (!p->mine || p->releasing)
            continue;
        g_hash_table_iter_init(&it, p->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v))
            flush_range(c, v, lazy, now);
        lmn_machine_blocks_flush(c, p, spare >= 1, now);
        lmn_quota_transfer_flush(c, p, now);
    }
    /* No more than can go out now: one that is queued holds up the close of its range. */
    g_ptr_array_sort(lazy, by_dirty);
    for (guint i = 0; i < lazy->len && i < spare; i++)
        flush_lazily(c, lazy->pdata[i], now);
    g_ptr_array_free(lazy, TRUE);
}
