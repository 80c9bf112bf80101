/* The books' parts: what they are made of, counted and freed. */
#include "state/task_ledger.h"

#include <string.h>

void lmn_queue_init(struct lmn_queue *q)
{
    q->segs = g_ptr_array_new();
    q->tasks = 0;
}

void lmn_queue_clear(struct lmn_queue *q)
{
    for (guint i = 0; i < q->segs->len; i++)
        g_free(q->segs->pdata[i]);
    g_ptr_array_set_size(q->segs, 0);
    q->tasks = 0;
}

void lmn_queue_add(struct lmn_queue *q, struct lmn_range *r, uint32_t lo, uint32_t hi)
{
    q->tasks += hi - lo;
    for (guint i = 0; i < q->segs->len; i++) {
        struct lmn_queue_segment *s = q->segs->pdata[i];
        if (s->range == r && s->hi == lo) {
            s->hi = hi;
            return;
        }
    }
    struct lmn_queue_segment *s = g_new(struct lmn_queue_segment, 1);
    *s = (struct lmn_queue_segment){r, r->job, lo, hi};
    g_ptr_array_add(q->segs, s);
}

void lmn_queue_remove_segment(struct lmn_queue *q, guint at)
{
    struct lmn_queue_segment *s = q->segs->pdata[at];
    q->tasks -= s->hi - s->lo;
    g_free(s);
    g_ptr_array_remove_index(q->segs, at);
}

void lmn_queue_remove_range(struct lmn_queue *q, const struct lmn_range *r)
{
    for (guint i = q->segs->len; i-- > 0;)
        if (((struct lmn_queue_segment *)q->segs->pdata[i])->range == r)
            lmn_queue_remove_segment(q, i);
}

void lmn_queue_remove_task(struct lmn_queue *q, const struct lmn_range *r, uint32_t index)
{
    for (guint i = 0; i < q->segs->len; i++) {
        struct lmn_queue_segment *s = q->segs->pdata[i];
        if (s->range != r || index < s->lo || index >= s->hi)
            continue;
        uint32_t hi = s->hi;
        struct lmn_range *range = s->range;
        q->tasks -= hi - index;
        s->hi = index;
        if (s->lo == s->hi)
            lmn_queue_remove_segment(q, i);
        if (index + 1 < hi)
            lmn_queue_add(q, range, index + 1, hi);
        return;
    }
}

void lmn_queue_remove_tail(struct lmn_queue *q, const struct lmn_range *r, uint32_t lo)
{
    for (guint i = q->segs->len; i-- > 0;) {
        struct lmn_queue_segment *s = q->segs->pdata[i];
        if (s->range != r || s->hi <= lo)
            continue;
        if (s->lo >= lo) {
            lmn_queue_remove_segment(q, i);
        } else {
            q->tasks -= s->hi - lo;
            s->hi = lo;
        }
    }
}

size_t lmn_machine_record_size(const struct lmn_machine *m)
{
    return strlen(m->name) + strlen(m->addr) + strlen(m->type_name) + strlen(m->zone) +
           24;
}

void lmn_machine_leave_block(struct lmn_machine *m)
{
    if (!m->block)
        return;
    g_ptr_array_remove_fast(m->block->machines, m);
    m->block->bytes -= lmn_machine_record_size(m);
    m->block = NULL;
}

/* Kept, not counted anew for each candidate: looking at every machine each time would
 * grow with the square of their number. Such a job lies whole in one partition, so its
 * owner sees all. */
void lmn_job_add_zone_tasks(struct lmn_job *j, const char *zone, int n)
{
    struct lmn_zone_tasks *z;

    if (!j->spec.one_zone && !j->spec.spread)
        return;
    if (!j->zones)
        j->zones = g_array_new(FALSE, FALSE, sizeof(struct lmn_zone_tasks));
    for (guint i = 0; i < j->zones->len; i++) {
        z = &g_array_index(j->zones, struct lmn_zone_tasks, i);
        if (!strcmp(z->zone, zone)) {
            z->tasks += n;
            return;
        }
    }
    struct lmn_zone_tasks new = {g_intern_string(zone), n};
    g_array_append_val(j->zones, new);
}

void lmn_machine_wake(struct lmn_machine *m)
{
    if (!m->poke)
        g_ptr_array_add(m->part->poked, m);
    m->poke = true;
}

void lmn_machine_cancel_wake(struct lmn_machine *m)
{
    if (m->poke)
        g_ptr_array_remove_fast(m->part->poked, m);
    m->poke = false;
}

void lmn_machine_mark_unreplicated(struct lmn_machine *m)
{
    struct lmn_partition *p = m->part;

    if (!m->untold && p->stream.phase != LMN_STREAM_NONE)
        g_ptr_array_add(p->untold, m);
    m->untold = p->stream.phase != LMN_STREAM_NONE;
}

uint64_t lmn_machine_log_start(struct lmn_machine *m, struct timespec now)
{
    struct lmn_replication_stream *s = &m->part->stream;

    lmn_machine_mark_unreplicated(m);
    if (s->phase < LMN_STREAM_CATCHING_UP) {
        /* Nobody waits for it; but it has to be told before a record may be written. */
        s->mark++;
        return 0;
    }
    if (s->acked == s->mark)
        s->waits = now;
    pthread_cond_signal(&m->part->following);
    return ++s->mark;
}

void lmn_machine_set_address(struct lmn_machine *m, const char *addr)
{
    if (!strcmp(m->addr, addr))
        return;
    if (*m->addr)
        lmn_worker_hosts_remove(m->part->hosts, m->addr);
    g_strlcpy(m->addr, addr, sizeof m->addr);
    lmn_worker_hosts_add(m->part->hosts, m->addr);
}

struct lmn_machine *lmn_machine_new(struct lmn_partition *p, const char *name)
{
    struct lmn_machine *m = g_new0(struct lmn_machine, 1);

    g_strlcpy(m->name, name, sizeof m->name);
    m->part = p;
    m->attempts = g_array_new(FALSE, FALSE, sizeof(struct lmn_attempt));
    m->accusers = g_array_new(FALSE, FALSE, sizeof(struct lmn_failing_job));
    m->images = g_array_new(FALSE, FALSE, sizeof(struct lmn_image));
    lmn_queue_init(&m->queue);
    g_hash_table_insert(p->machines, m->name, m);
    m->at = p->list->len;
    g_ptr_array_add(p->list, m);
    return m;
}

void lmn_machine_free(struct lmn_machine *m)
{
    GPtrArray *list = m->part->list;
    struct lmn_machine *last = list->pdata[list->len - 1];

    lmn_machine_cancel_wake(m);
    if (m->untold)
        g_ptr_array_remove_fast(m->part->untold, m);
    if (m->part->stream.phase != LMN_STREAM_NONE)
        g_ptr_array_add(m->part->forgotten, g_strdup(m->name));
    if (*m->addr)
        lmn_worker_hosts_remove(m->part->hosts, m->addr);
    lmn_machine_leave_block(m);
    /* The last takes its place. */
    list->pdata[m->at] = last;
    last->at = m->at;
    g_ptr_array_set_size(list, (gint)list->len - 1);
    lmn_queue_clear(&m->queue);
    g_ptr_array_free(m->queue.segs, TRUE);
    g_array_free(m->attempts, TRUE);
    g_array_free(m->accusers, TRUE);
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
    lmn_job_add_zone_tasks(a->job, m->zone, 1);
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
    lmn_job_add_zone_tasks(a->job, m->zone, -1);
    if (j->team >= 0) {
        m->part->used_cpus[j->team] -= j->spec.cpus;
        m->part->used_gpus[j->team] -= j->spec.gpus;
    }
}

struct lmn_range *lmn_partition_find_range(const struct lmn_partition *p,
                                           struct lmn_job *j, uint32_t index)
{
    for (guint i = 0; j && i < j->ranges->len; i++) {
        struct lmn_range *r = j->ranges->pdata[i];
        if (r->part == p && index >= r->lo && index < r->hi)
            return r;
    }
    return NULL;
}

void lmn_range_free(struct lmn_range *r)
{
    g_free(r->key);
    g_free(r->done);
    g_free(r->st);
    g_free(r);
}

void lmn_job_free(struct lmn_job *j)
{
    lmn_job_spec_clear(&j->spec);
    g_ptr_array_free(j->ranges, TRUE);
    if (j->zones)
        g_array_free(j->zones, TRUE);
    g_free(j);
}

bool lmn_range_may_start(const struct lmn_range *r)
{
    const struct lmn_partition *p = r->part;

    if (p->open)
        return true;
    /* A predecessor sees the changes in their order: before such a range it saw that it
     * had lost the partition. That goes for tasks that look at each other's places too,
     * since such a job lies whole in one partition, and is born as a whole. */
    return r->born > p->my_rev;
}

bool lmn_machine_is_silent(const struct lmn_core *c, const struct lmn_machine *m,
                           struct timespec now)
{
    return m->accounted && !m->lapsed && !m->retiring && !m->is_gone &&
           lmn_time_diff_s(now, m->last) >
               MIN(0.6 * c->cfg->lease_s, 1.25 * c->cfg->report_s + 2);
}
