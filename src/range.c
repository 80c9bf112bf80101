/* An owner's books: which task of a range is queued, started or done, and what its
 * machines hold. */
#include "core.h"
#include "log.h"

#include <math.h>
#include <string.h>

struct lmn_machine *lmn_machine_new(struct lmn_partition *p, const char *name)
{
    struct lmn_machine *m = g_new0(struct lmn_machine, 1);

    g_strlcpy(m->name, name, sizeof m->name);
    m->part = p;
    m->attempts = g_array_new(FALSE, FALSE, sizeof(struct lmn_attempt));
    m->failed_jobs = g_ptr_array_new();
    m->images = g_array_new(FALSE, FALSE, sizeof(struct lmn_image));
    lmn_queue_init(&m->queue);
    g_hash_table_insert(p->machines, m->name, m);
    return m;
}

void lmn_machine_free(struct lmn_machine *m)
{
    lmn_block_leave(m);
    lmn_queue_clear(&m->queue);
    g_ptr_array_free(m->queue.segs, TRUE);
    g_array_free(m->attempts, TRUE);
    g_ptr_array_free(m->failed_jobs, TRUE);
    g_array_free(m->images, TRUE);
    g_free(m);
}

void lmn_attempt_count(struct lmn_machine *m, struct lmn_attempt *a)
{
    const struct lmn_job *j = a->job;

    if (a->counted || !j)
        return;
    a->counted = true;
    m->used_cpus += j->spec.cpus;
    m->used_gpus += j->spec.gpus;
    m->used_mem += j->spec.mem;
    lmn_zone_count(a->job, m->zone, 1);
    if (j->team >= 0) {
        m->part->used_cpus[j->team] += j->spec.cpus;
        m->part->used_gpus[j->team] += j->spec.gpus;
    }
}

void lmn_attempt_uncount(struct lmn_machine *m, struct lmn_attempt *a)
{
    const struct lmn_job *j = a->job;

    if (!a->counted)
        return;
    a->counted = false;
    m->used_cpus -= j->spec.cpus;
    m->used_gpus -= j->spec.gpus;
    m->used_mem -= j->spec.mem;
    lmn_zone_count(a->job, m->zone, -1);
    if (j->team >= 0) {
        m->part->used_cpus[j->team] -= j->spec.cpus;
        m->part->used_gpus[j->team] -= j->spec.gpus;
    }
}

void lmn_range_free(struct lmn_range *r)
{
    g_free(r->key);
    g_free(r->done);
    g_free(r->st);
    g_free(r);
}

void lmn_range_open(struct lmn_core *c, struct lmn_range *r)
{
    uint32_t n = r->hi - r->lo;
    (void)c;

    g_free(r->st);
    r->st = g_malloc0(n);
    r->nstarted = 0;
    r->nfinished = r->ndone;
    r->writing = false;
    r->written = 0;
    r->move_to = -1;
    r->move_unsure = false;
    r->dealt = false;
    for (uint32_t i = 0; i < n; i++)
        if (lmn_bit(r->done, i))
            r->st[i] = LMN_T_DONE;
}

bool lmn_range_free_to_start(const struct lmn_range *r)
{
    const struct lmn_partition *p = r->part;

    if (p->ready)
        return true;
    /* A predecessor sees the changes in their order: before such a range it saw that it
     * had lost the partition. That goes for tasks that look at each other's places too, since
     * such a job lies whole in one partition, and is born as a whole. */
    return r->born > p->my_rev;
}

void lmn_range_forget(struct lmn_core *c, struct lmn_range *r)
{
    struct lmn_partition *p = r->part;
    GHashTableIter it;
    gpointer v;
    (void)c;

    lmn_queue_drop_range(&p->limbo, r);
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *m = v;
        lmn_queue_drop_range(&m->queue, r);
        for (guint i = 0; i < m->attempts->len; i++) {
            struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
            if (a->range == r)
                a->range = NULL;
        }
    }
    g_ptr_array_remove_fast(r->job->ranges, r);
}

void lmn_task_requeue(struct lmn_core *c, struct lmn_range *r, uint32_t index,
                      struct timespec now)
{
    if (!r || !r->st || r->st[index - r->lo] != LMN_T_STARTED)
        return;
    r->st[index - r->lo] = LMN_T_QUEUED;
    r->nstarted--;
    if (r->dealt && r->job->phase == LMN_ACTIVE)
        lmn_deal(c, r, index, index + 1, now);
}

void lmn_task_finished(struct lmn_range *r, uint32_t index, struct timespec now)
{
    uint8_t *st = &r->st[index - r->lo];

    if (*st == LMN_T_DONE)
        return;
    if (*st == LMN_T_STARTED)
        r->nstarted--;
    *st = LMN_T_DONE;
    if (r->nfinished++ == r->ndone)
        r->dirty = now;
}

void lmn_machine_empty(struct lmn_core *c, struct lmn_machine *m, const char *why,
                       struct timespec now)
{
    GArray *old = m->attempts;

    lmn_redeal_machine(c, m, now);
    m->attempts = g_array_new(FALSE, FALSE, sizeof(struct lmn_attempt));
    for (guint i = 0; i < old->len; i++) {
        struct lmn_attempt *a = &g_array_index(old, struct lmn_attempt, i);
        lmn_attempt_uncount(m, a);
        if (a->state != LMN_A_ENDED) {
            lmn_debug("task-lost task=%s/%u attempt=%" G_GUINT64_FORMAT
                      " machine=%s why=\"%s\"",
                      a->ref, a->index, a->number, m->name, why);
            lmn_task_requeue(c, a->range, a->index, now);
        }
    }
    g_array_free(old, TRUE);
}

void lmn_machine_retire(struct lmn_core *c, struct lmn_machine *m, bool force,
                        const char *why, struct timespec now)
{
    m->force = m->force || force;
    if (m->retiring)
        return;
    lmn_info("machine-retire machine=%s partition=%d force=%d why=\"%s\"", m->name,
             m->part->id, force, why);
    m->retiring = true;
    m->retired_at = now;
    lmn_redeal_machine(c, m, now);
}

void lmn_machine_gone(struct lmn_core *c, struct lmn_machine *m, struct timespec now)
{
    m->is_gone = true;
    m->inherited = false;
    m->accounted = true;
    lmn_machine_empty(c, m, "machine gone", now);
    g_hash_table_add(c->gone, g_strdup(m->name));
    lmn_partition_check(c, m->part, now);
    if (!m->block)
        g_hash_table_remove(m->part->machines, m->name);
}

/* --- writing --- */

struct write_ref {
    struct lmn_core *c;
    int part;
    char *key;
    char ref[LMN_REF];
};

static void range_written(void *arg, struct lmn_txn *t, enum lmn_outcome outcome,
                          uint64_t rev)
{
    struct write_ref *w = arg;
    struct lmn_core *c = w->c;
    (void)t;

    pthread_mutex_lock(&c->lock);
    struct lmn_range *r = g_hash_table_lookup(c->parts[w->part].ranges, w->key);
    struct lmn_job *j = g_hash_table_lookup(c->jobs, w->ref);
    if (outcome != LMN_OK && j)
        j->closing = 0;
    if (r && r->writing) {
        if (outcome == LMN_OK) {
            r->written = rev;
            if (r->rev >= rev)
                r->writing = false;
        } else {
            /* Nothing is lost by another try: each is conditional on what the mirror
             * shows. */
            r->writing = false;
            r->retry = lmn_after(lmn_now(), outcome == LMN_CONFLICT ? 0.1 : 0.4);
            /* A move is off only if it surely was not, and never will be, applied. */
            if (outcome == LMN_UNKNOWN)
                r->move_unsure = true;
            else if (r->move_to >= 0 && !r->move_unsure)
                lmn_move_undo(c, r, lmn_now());
        }
    }
    pthread_mutex_unlock(&c->lock);
    g_free(w->key);
    g_free(w);
}

static struct lmn_txn *owner_txn(struct lmn_core *c, struct lmn_range *r,
                                 enum lmn_rank rank)
{
    char key[64];
    struct write_ref *w = g_new0(struct write_ref, 1);

    w->c = c;
    w->part = r->part->id;
    w->key = g_strdup(r->key);
    g_strlcpy(w->ref, r->job->spec.ref, sizeof w->ref);
    struct lmn_txn *t = lmn_txn_new(rank, range_written, w);
    g_snprintf(key, sizeof key, "o/%d", r->part->id);
    lmn_txn_if(t, key, r->part->my_rev);
    lmn_txn_if(t, r->key, r->rev);
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
    struct lmn_txn *t = owner_txn(c, r, LMN_RANK_CLOSE);
    char key[96];

    g_snprintf(key, sizeof key, "r/%d/%s/%u", r->move_to, j->spec.ref, r->move_at);
    lmn_txn_if(t, key, 0);
    lmn_txn_write(t, key, lmn_range_record(&there, bits), 0);
    if (r->move_at == r->lo) {
        lmn_txn_remove(t, r->key);
    } else {
        struct lmn_range here = {.lo = r->lo, .hi = r->move_at};
        for (uint32_t i = 0; i < here.hi - here.lo; i++)
            if (r->st[i] == LMN_T_DONE)
                lmn_set_bit(bits, i);
        lmn_txn_write(t, r->key, lmn_range_record(&here, bits), 0);
        g_snprintf(key, sizeof key, "j/%s", j->spec.ref);
        lmn_txn_if(t, key, j->rev);
        lmn_txn_write(t, key, lmn_job_record(&j->spec, j->phase, j->open + 1, j->at), 0);
    }
    g_free(bits);
    r->move_rev = r->rev;
    lmn_state_submit(c->state, t);
}

/* Gathers in lazily what can wait. */
static void flush_range(struct lmn_core *c, struct lmn_range *r, GPtrArray *lazy,
                        struct timespec now)
{
    struct lmn_job *j = r->job;
    uint32_t n = r->hi - r->lo;
    struct lmn_txn *t;
    char key[64];

    if (r->writing || lmn_before(now, r->retry))
        return;
    if (r->move_to >= 0) {
        move_range(c, r);
        return;
    }
    if (j->phase != LMN_ACTIVE) {
        if (r->nstarted == 0)
            g_ptr_array_add(lazy, r);
        return;
    }
    if (r->nfinished == n) {
        if (j->closing == j->rev)
            return; /* one range of a job at a time, or the job's record conflicts */
        j->closing = j->rev;
        t = owner_txn(c, r, LMN_RANK_CLOSE);
        g_snprintf(key, sizeof key, "j/%s", j->spec.ref);
        lmn_txn_if(t, key, j->rev);
        lmn_txn_remove(t, r->key);
        lmn_txn_write(t, key,
                      lmn_job_record(&j->spec, j->open <= 1 ? LMN_FINISHED : LMN_ACTIVE,
                                     j->open - 1, j->at),
                      0);
        lmn_state_submit(c->state, t);
        return;
    }
    if (r->nfinished > r->ndone && lmn_since(now, r->dirty) > 2.0)
        g_ptr_array_add(lazy, r);
}

static void flush_lazily(struct lmn_core *c, struct lmn_range *r, struct timespec now)
{
    uint32_t n = r->hi - r->lo;
    struct lmn_txn *t = owner_txn(c, r, LMN_RANK_LAZY);

    if (r->job->phase != LMN_ACTIVE) {
        lmn_txn_remove(t, r->key);
    } else {
        uint8_t *done = g_malloc0((n + 7) / 8);
        for (uint32_t i = 0; i < n; i++)
            if (r->st[i] == LMN_T_DONE)
                lmn_set_bit(done, i);
        lmn_txn_write(t, r->key, lmn_range_record(r, done), 0);
        g_free(done);
    }
    r->dirty = now;
    lmn_state_submit(c->state, t);
}

static gint by_dirty(gconstpointer a, gconstpointer b)
{
    const struct lmn_range *x = *(struct lmn_range *const *)a;
    const struct lmn_range *y = *(struct lmn_range *const *)b;
    return lmn_before(x->dirty, y->dirty) ? -1 : lmn_before(y->dirty, x->dirty);
}

void lmn_ranges_flush(struct lmn_core *c, struct timespec now)
{
    double spare = lmn_state_spare(c->state);
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
        lmn_blocks_flush(c, p, spare >= 1, now);
        lmn_quota_flush(c, p, now);
    }
    /* No more than can go out now: one that is queued holds up the close of its range. */
    g_ptr_array_sort(lazy, by_dirty);
    for (guint i = 0; i < lazy->len && i < spare; i++)
        flush_lazily(c, lazy->pdata[i], now);
    g_ptr_array_free(lazy, TRUE);
}

/* --- upkeep --- */

static guint busy(const struct lmn_machine *m)
{
    guint n = 0;
    for (guint i = 0; i < m->attempts->len; i++)
        n += g_array_index(m->attempts, struct lmn_attempt, i).state != LMN_A_ENDED;
    return n;
}

bool lmn_machine_silent(const struct lmn_core *c, const struct lmn_machine *m, struct timespec now)
{
    return m->accounted && !m->lapsed && !m->retiring && !m->is_gone &&
           lmn_since(now, m->last) > MIN(0.6 * c->cfg->lease_s, 1.25 * c->cfg->report_s + 2);
}

/* By then most of an inherited partition's machines that are alive have answered a question. */
static const double HEARD_S = 3;

/* How many of a partition's machines are silent, of those that should not be. */
struct silence {
    const char *zone; /* NULL: of all zones together */
    guint silent, all;
};

/* Those of the whole partition, then of each zone. */
static GArray *listen_to(const struct lmn_core *c, const struct lmn_partition *p,
                         struct timespec now)
{
    GArray *a = g_array_new(FALSE, TRUE, sizeof(struct silence));
    GHashTableIter it;
    gpointer v;

    g_array_set_size(a, 1);
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *m = v;
        guint i = 1;
        if ((!m->heard && !m->inherited) || m->is_gone)
            continue;
        while (i < a->len && strcmp(g_array_index(a, struct silence, i).zone, m->zone))
            i++;
        if (i == a->len) {
            struct silence z = {.zone = m->zone};
            g_array_append_val(a, z);
        }
        bool silent = !m->accounted || m->lapsed || lmn_machine_silent(c, m, now);
        g_array_index(a, struct silence, 0).all++;
        g_array_index(a, struct silence, 0).silent += silent;
        g_array_index(a, struct silence, i).all++;
        g_array_index(a, struct silence, i).silent += silent;
    }
    return a;
}

static bool most_of(const struct silence *s)
{
    return s->silent > 2 && 2 * s->silent > s->all;
}

/* If most machines are silent, the fault is more likely on this side. */
static bool most_silent(const GArray *a)
{
    return most_of(&g_array_index(a, struct silence, 0));
}

/* If most machines of a zone are silent, it is cut off: they are alive, and so may their tasks
 * be, under an owner that is cut off with them. When it is over, each is heard again only when it
 * has given up its last try and comes to report here: once the first half had, the others were
 * returned. */
static void note_cuts(const struct lmn_core *c, struct lmn_partition *p, const GArray *a,
                      struct timespec now)
{
    /* Right after a takeover nobody has been heard yet. */
    if (lmn_since(now, p->since) < HEARD_S)
        return;
    for (guint i = 1; i < a->len; i++) {
        const struct silence *s = &g_array_index(a, struct silence, i);
        struct lmn_cut *cut = NULL;
        if (!most_of(s))
            continue;
        for (guint k = 0; k < p->cuts->len && !cut; k++)
            if (!strcmp(g_array_index(p->cuts, struct lmn_cut, k).zone, s->zone))
                cut = &g_array_index(p->cuts, struct lmn_cut, k);
        if (!cut) {
            struct lmn_cut new = {.zone = g_intern_string(s->zone)};
            g_array_append_val(p->cuts, new);
            cut = &g_array_index(p->cuts, struct lmn_cut, p->cuts->len - 1);
        }
        if (lmn_before(cut->until, now))
            lmn_info("zone-silent partition=%d zone=%s silent=%u of=%u", p->id, s->zone, s->silent,
                     s->all);
        cut->until = lmn_after(now, c->cfg->report_s + 10);
    }
}

static bool is_cut(const struct lmn_partition *p, const char *zone, struct timespec now)
{
    for (guint i = 0; i < p->cuts->len; i++) {
        const struct lmn_cut *cut = &g_array_index(p->cuts, struct lmn_cut, i);
        if (!strcmp(cut->zone, zone))
            return lmn_before(now, cut->until);
    }
    return false;
}

static void upkeep_machine(struct lmn_core *c, struct lmn_machine *m, const GArray *silence,
                           struct timespec now)
{
    const struct lmn_settings *cfg = c->cfg;
    struct lmn_partition *p = m->part;
    double silent = m->heard ? lmn_since(now, m->last) : lmn_since(now, p->since);

    if (m->is_gone)
        return;
    /* Counted from the last report that we may have answered, with the clocks' drift and
     * our own lateness allowed for: then the worker has ended everything by itself. Only
     * so within our own term: before, a predecessor may have answered it later than we
     * know; and after, a successor. So the mirror must show that the partition was still ours
     * when the lease was over. Found when a zone was cut off with its controller: it gave up the
     * machines of the other zones, which its successor had kept alive, and started their tasks
     * once more on those of its own zone. */
    double lapse = cfg->lease_s * 1.002 + 1.5;
    if (m->accounted && !m->lapsed && silent > lapse && lmn_since(c->fresh, m->last) > lapse) {
        m->lapsed = true;
        lmn_info("machine-lapsed machine=%s partition=%d tasks=%u", m->name, p->id,
                 busy(m));
        lmn_machine_empty(c, m, "lease lapsed", now);
    }
    if (lmn_staleness(c, now) > LMN_BLIND_S)
        return;
    /* Most machines that fall silent are gone, and a return is a quicker proof of that than a
     * lease; a worker that answers when asked is left alone. Not so in a zone that is cut off:
     * returning its machines ended a third of all replicas at once, where most would have run on,
     * and left nothing to come back to. */
    bool few = !most_silent(silence), cut = is_cut(p, m->zone, now);
    if (lmn_machine_silent(c, m, now) && m->probes >= 2 && few && !cut)
        lmn_machine_retire(c, m, true, "silent and unreachable", now);
    if (m->lapsed && silent > cfg->lease_s + 12 + (few && cut ? cfg->cancel_s : 0))
        lmn_machine_retire(c, m, true, "silent", now);
    if (m->noticed && lmn_since(now, m->noticed_at) > m->notice_s + 0.5)
        lmn_machine_retire(c, m, true, "taken by the cloud", now);
    /* Neither its worker's reports nor our own questions got through. If that goes for
     * most of them, the fault is more likely on this side: then the leases have to run
     * out first. In a zone by itself the partition's usual holder may answer them for as long as
     * its view is not too old, and their leases run out after that. If it stands elsewhere, nobody
     * answers them, and the partition's queued work need not wait. */
    double patience = !few                                         ? cfg->lease_s + 8
                      : cut && lmn_holder_stands_in(c, p, m->zone) ? cfg->cancel_s + 4
                                                                   : 4;
    if (m->inherited && !m->accounted && silent > patience &&
        (m->probes >= 2 || (m->probes && silent > 1.25 * cfg->report_s + patience) ||
         silent > cfg->lease_s))
        lmn_machine_retire(c, m, true, "not heard under the new term", now);
    /* While a partition's inherited work has to wait, its machines are idle for that alone. */
    if (m->accounted && !m->retiring && m->idle.tv_sec && p->ready &&
        lmn_since(now, m->idle) > c->tuning.idle_return_s &&
        lmn_since(now, p->ready_at) > c->tuning.idle_return_s && !m->queue.tasks)
        lmn_machine_retire(c, m, false, "idle", now);
}

static uint32_t in_queue(const struct lmn_queue *q, const struct lmn_range *r)
{
    uint32_t n = 0;
    for (guint i = 0; i < q->segs->len; i++) {
        const struct lmn_seg *s = q->segs->pdata[i];
        if (s->range == r)
            n += s->hi - s->lo;
    }
    return n;
}

/* A task that the books call queued but that stands in no queue would wait for ever. There
 * should be none; if there is one, it is said, and dealt anew. */
static void audit(struct lmn_core *c, struct lmn_partition *p, struct timespec now)
{
    GList *ranges = g_hash_table_get_values(p->ranges);

    for (GList *l = ranges; l && p->ready; l = l->next) {
        struct lmn_range *r = l->data;
        uint32_t n = r->hi - r->lo, queued = 0, found = in_queue(&p->limbo, r);
        GHashTableIter it;
        gpointer v;
        if (!r->st || r->job->phase != LMN_ACTIVE)
            continue;
        for (uint32_t i = 0; i < n; i++)
            queued += r->st[i] == LMN_T_QUEUED;
        g_hash_table_iter_init(&it, p->machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            found += in_queue(&((struct lmn_machine *)v)->queue, r);
        if (found >= queued)
            continue;
        c->count.unqueued++;
        lmn_error("tasks-unqueued range=%s queued=%u found=%u", r->key, queued, found);
        lmn_queue_drop_range(&p->limbo, r);
        g_hash_table_iter_init(&it, p->machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            lmn_queue_drop_range(&((struct lmn_machine *)v)->queue, r);
        for (uint32_t i = 0; i < n; i++)
            if (r->st[i] == LMN_T_QUEUED)
                lmn_deal(c, r, r->lo + i, r->lo + i + 1, now);
    }
    g_list_free(ranges);
}

void lmn_upkeep(struct lmn_core *c, struct timespec now)
{
    bool due = lmn_since(now, c->audited) > 5.0;

    if (due)
        c->audited = now;
    for (int i = 0; i < c->nparts; i++) {
        struct lmn_partition *p = &c->parts[i];
        if (!p->mine)
            continue;
        GList *all = g_hash_table_get_values(p->machines);
        /* Once for all machines: a look at each from each takes their square. */
        GArray *silence = listen_to(c, p, now);
        note_cuts(c, p, silence, now);
        for (GList *l = all; l; l = l->next)
            upkeep_machine(c, l->data, silence, now);
        g_array_free(silence, TRUE);
        g_list_free(all);
        lmn_partition_check(c, p, now);
        if (due)
            audit(c, p, now);
    }
}
