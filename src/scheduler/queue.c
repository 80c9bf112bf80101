/* Queues of machines: dealing, order, starting, stealing. */
#include "scheduler/queue.h"
#include "util/log.h"
#include "protocol/wire.h"
#include "scheduler/job_order.h"
#include "scheduler/affinity.h"
#include "replication/stream.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <math.h>
#include <string.h>

/* What a second of fetching an image counts against a second of being late. */
static const double FETCH_WEIGHT = 4;

static int image_at(const struct lmn_machine *m, const char *name)
{
    for (guint i = 0; i < m->images->len; i++)
        if (g_array_index(m->images, struct lmn_image, i).name == name)
            return (int)i;
    return -1;
}

bool lmn_machine_has_image(const struct lmn_machine *m, const struct lmn_job *j)
{
    return image_at(m, j->image) >= 0;
}

static double whole_fetch_s(const struct lmn_machine *m, const struct lmn_job *j)
{
    return m->type && m->type->pull > 0 ? j->spec.image_gb / m->type->pull : 0;
}

double lmn_image_fetch_s(const struct lmn_machine *m, const struct lmn_job *j,
                         struct timespec now)
{
    int at = image_at(m, j->image);

    if (at < 0)
        return whole_fetch_s(m, j);
    const struct lmn_image *x = &g_array_index(m->images, struct lmn_image, (guint)at);
    return x->ready.tv_sec ? MAX(lmn_time_diff_s(x->ready, now), 0) : 0;
}

/* Fetches under way may share the machine's rate. */
static guint fetches(const struct lmn_machine *m, struct timespec now)
{
    guint n = 0;

    for (guint i = 0; i < m->images->len; i++) {
        const struct lmn_image *x = &g_array_index(m->images, struct lmn_image, i);
        n += x->ready.tv_sec && lmn_time_before(now, x->ready);
    }
    return n;
}

void lmn_machine_record_image(struct lmn_machine *m, const struct lmn_job *j, bool there,
                              struct timespec now)
{
    struct lmn_image new = {j->image, j->spec.image_gb, {0, 0}};
    int at = image_at(m, j->image);
    double gb = 0;

    if (at >= 0) {
        new.ready = g_array_index(m->images, struct lmn_image, (guint)at).ready;
        g_array_remove_index(m->images, (guint)at);
    } else if (!there) {
        new.ready = lmn_time_add(now, whole_fetch_s(m, j) * (1 + fetches(m, now)));
    }
    if (there)
        new.ready = (struct timespec){0, 0};
    g_array_append_val(m->images, new);
    /* A worker drops the least recently used when its cache is full. */
    for (guint i = 0; i < m->images->len; i++)
        gb += g_array_index(m->images, struct lmn_image, i).gb;
    while (m->images->len > 1 &&
           ((m->type && gb > m->type->cache_gb) || m->images->len > 64)) {
        gb -= g_array_index(m->images, struct lmn_image, 0).gb;
        g_array_remove_index(m->images, 0);
    }
}

/* How badly a machine suits a job that it could hold: ordinary machines are dear, and
 * some work can run nowhere else; an image that is missing has to be fetched first. */
static int unfit(const struct lmn_machine *m, const struct lmn_job *j)
{
    return (j->spec.spot && !m->spot ? 2 : 0) + !lmn_machine_has_image(m, j);
}

static void deal_to(struct lmn_machine *m, struct lmn_range *r, uint32_t lo, uint32_t hi,
                    struct timespec now)
{
    lmn_queue_add(&m->queue, r, lo, hi);
    m->poll_s = 0; /* new work resets the interval */
    m->next_steal = now;
}

/* A machine with room, as it compares with others. */
struct candidate {
    struct lmn_machine *m;
    int unfit;
    double cpus; /* free */
    uint32_t room;
    guint at;
};

static gint by_fitness(gconstpointer a, gconstpointer b)
{
    const struct candidate *x = a, *y = b;

    if (x->unfit != y->unfit)
        return x->unfit - y->unfit;
    if (x->cpus != y->cpus)
        return x->cpus < y->cpus ? -1 : 1;
    return x->at < y->at ? -1 : x->at > y->at;
}

/* One a turn, over the queues of the machines that have the image if there are enough of
 * them, or else of all: a machineful each would fetch the image less often, but wait for
 * one machine's tasks to end while others' do. */
static void deal_round(struct lmn_partition *p, GPtrArray *able, struct lmn_range *r,
                       uint32_t lo, uint32_t hi, struct timespec now)
{
    GPtrArray *near = g_ptr_array_new();

    for (guint i = 0; i < able->len; i++)
        if (lmn_machine_has_image(able->pdata[i], r->job))
            g_ptr_array_add(near, able->pdata[i]);
    const GPtrArray *to = 2 * near->len >= hi - lo ? near : able;
    p->rr++;
    for (guint i = 0; to->len && lo < hi; i++, lo++)
        deal_to(to->pdata[(p->rr + i) % to->len], r, lo, lo + 1, now);
    g_ptr_array_free(near, TRUE);
}

void lmn_assign_tasks(struct lmn_core *c, struct lmn_range *r, uint32_t lo, uint32_t hi,
                      struct timespec now)
{
    struct lmn_partition *p = r->part;
    GHashTableIter it;
    gpointer v;
    if (lmn_job_is_faulty(&r->job->failures)) {
        /* It is tried with a task at a time: there it fills no machine's queue. */
        lmn_queue_add(&p->unplaced, r, lo, hi);
        return;
    }
    GPtrArray *able = g_ptr_array_new();
    GArray *roomy = g_array_new(FALSE, FALSE, sizeof(struct candidate));

    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *m = v;
        if (m->unheeded || !lmn_machine_can_run(m, r->job))
            continue;
        uint32_t has = lmn_machine_task_capacity(m, &r->job->spec);
        if (has > m->queue.tasks) {
            struct candidate x = {m, unfit(m, r->job), m->type->cpus - m->used_cpus,
                                  has - m->queue.tasks, able->len};
            g_array_append_val(roomy, x);
        }
        g_ptr_array_add(able, m);
    }
    if (!able->len)
        lmn_queue_add(&p->unplaced, r, lo, hi);
    /* First what has room: the fittest kind of machine, and of these the fullest, so that
     * large tasks find whole machines and idle ones can go. Then round robin, one each a
     * turn. */
    g_array_sort(roomy, by_fitness);
    GHashTable *dealt = g_hash_table_new(g_str_hash, g_str_equal); /* to each zone */
    for (guint i = 0; i < roomy->len && lo < hi; i++) {
        struct candidate *x = &g_array_index(roomy, struct candidate, i);
        guint there = GPOINTER_TO_UINT(g_hash_table_lookup(dealt, x->m->zone));
        uint32_t n = MIN(x->room, hi - lo),
                 may = lmn_zone_task_capacity(r->job, x->m->zone);
        /* Not where it could not start for the job's other tasks: a service whose
         * replicas were all dealt to the fullest machine waited there until others pulled
         * them. */
        n = MIN(n, may > there ? may - there : 0);
        if (!n || (r->job->spec.one_zone && g_hash_table_size(dealt) && !there))
            continue;
        g_hash_table_insert(dealt, x->m->zone, GUINT_TO_POINTER(there + n));
        deal_to(x->m, r, lo, lo + n, now);
        lmn_machine_wake(x->m);
        lo += n;
    }
    g_hash_table_destroy(dealt);
    if (roomy->len)
        pthread_cond_broadcast(&c->poked);
    g_array_free(roomy, TRUE);
    deal_round(p, able, r, lo, hi, now);
    g_ptr_array_free(able, TRUE);
}

void lmn_assign_range(struct lmn_core *c, struct lmn_range *r, struct timespec now)
{
    uint32_t n = r->hi - r->lo;

    for (uint32_t i = 0; i < n;) {
        uint32_t k = i;
        while (k < n && r->st[k] == LMN_TASK_QUEUED)
            k++;
        if (k > i)
            lmn_assign_tasks(c, r, r->lo + i, r->lo + k, now);
        i = k + 1;
    }
}

void lmn_reassign_range(struct lmn_core *c, struct lmn_range *r, struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    lmn_queue_remove_range(&r->part->unplaced, r);
    g_hash_table_iter_init(&it, r->part->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_queue_remove_range(&((struct lmn_machine *)v)->queue, r);
    lmn_assign_range(c, r, now);
}

void lmn_reassign_job(struct lmn_core *c, struct lmn_job *j, struct timespec now)
{
    for (guint i = 0; i < j->ranges->len; i++) {
        struct lmn_range *r = j->ranges->pdata[i];
        if (r->part->mine && r->st && r->dealt)
            lmn_reassign_range(c, r, now);
    }
}

void lmn_reassign_machine_queue(struct lmn_core *c, struct lmn_machine *m,
                                struct timespec now)
{
    struct lmn_queue old = m->queue;

    m->promised = 0;
    lmn_queue_init(&m->queue);
    for (guint i = 0; i < old.segs->len; i++) {
        struct lmn_queue_segment *s = old.segs->pdata[i];
        if (lmn_range_may_start(s->range))
            lmn_assign_tasks(c, s->range, s->lo, s->hi, now);
    }
    lmn_queue_clear(&old);
    g_ptr_array_free(old.segs, TRUE);
}

void lmn_machine_drain(struct lmn_core *c, struct lmn_machine *m, bool force,
                       const char *why, struct timespec now)
{
    m->force = m->force || force;
    if (m->retiring)
        return;
    lmn_info("machine-retire machine=%s partition=%d force=%d why=\"%s\"", m->name,
             m->part->id, force, why);
    m->retiring = true;
    m->retired_at = now;
    lmn_reassign_machine_queue(c, m, now);
}

/* A look over queues begins: for one machine, at one time. What is found out of a job is
 * kept for its length, since the same few jobs stand in most queues. */
static void look_anew(struct lmn_core *c)
{
    c->look++;
    c->turn++;
}

static void start(struct lmn_core *c, struct lmn_machine *m, struct lmn_queue_segment *s,
                  GByteArray *out, struct timespec now)
{
    struct lmn_partition *p = m->part;
    struct lmn_attempt a = {.job = s->job,
                            .range = s->range,
                            .index = s->lo,
                            .state = LMN_ATTEMPT_SENT,
                            .seen = true,
                            .since = now};

    /* Unique for ever without a write: no two owners share a term. */
    a.number = p->my_term << 24 | (++p->attempts & 0xffffff);
    g_strlcpy(a.ref, a.job->spec.ref, sizeof a.ref);
    a.mark = lmn_machine_log_start(m, now);
    s->range->st[a.index - s->range->lo] = LMN_TASK_STARTED;
    s->range->nstarted++;
    lmn_attempt_count(m, &a);
    if (!p->started)
        lmn_info("partition-start partition=%d term=%" G_GUINT64_FORMAT " after=%.2f",
                 p->id, p->my_term, lmn_time_diff_s(now, p->since));
    p->started = true;
    c->turn++;
    a.job->aged = false; /* it has begun */
    if (lmn_job_is_faulty(&a.job->failures))
        lmn_job_record_retry(&a.job->failures, now);
    if (m->promised && a.job->spec.urgency == LMN_PRIORITY_PRODUCTION) {
        m->promised--;
        look_anew(c); /* lesser work may start again */
    }
    lmn_machine_record_image(m, a.job, false, now);
    g_array_append_val(m->attempts, a);
    c->count.starts++;
    lmn_latency_add(&c->starting, c->wall - a.job->at);
    char task[LMN_JOB_ID_SIZE + 16];
    g_snprintf(task, sizeof task, "%s/%u", a.ref, a.index);
    lmn_cbor_put_map(out, 3);
    lmn_cbor_put_text(out, WIRE_COMMAND), lmn_cbor_put_text(out, WIRE_START);
    lmn_cbor_put_text(out, WIRE_TASK), lmn_cbor_put_text(out, task);
    lmn_cbor_put_text(out, WIRE_ATTEMPT), lmn_cbor_put_uint(out, a.number);
    lmn_debug("task-start task=%s attempt=%" G_GUINT64_FORMAT
              " machine=%s term=%" G_GUINT64_FORMAT,
              task, a.number, m->name, p->my_term);
    s->lo++;
}

/* Within a look, starts only take room away: who can't start stays so; who could is
 * looked at again after each. */
static bool startable(const struct lmn_core *c, const struct lmn_machine *m,
                      struct lmn_job *j, struct timespec now)
{
    if (j->look_no == c->look)
        return false;
    if (j->look_yes == c->turn)
        return true;
    bool ok = lmn_job_wait_reason(c, m, j, now) == LMN_WAIT_NONE;
    if (ok)
        j->look_yes = c->turn;
    else
        j->look_no = c->look;
    return ok;
}

/* lmn_image_fetch_s, remembered until the next start. */
static double fetch_now(const struct lmn_core *c, const struct lmn_machine *m,
                        struct lmn_job *j, struct timespec now)
{
    if (j->look_fetch != c->turn) {
        j->fetch_s = lmn_image_fetch_s(m, j, now);
        j->look_fetch = c->turn;
    }
    return j->fetch_s;
}

/* How the machine should choose between the jobs: as lmn_job_compare, but a task whose
 * image it lacks would start, and end, later by the fetch, and hold its room idle
 * meanwhile. So do those that come after it while the fetch is under way: once it counted
 * as there from the first start on, whole machines waited side by side for one fetch,
 * with other work in their queues that lacked nothing. */
static int order_on(const struct lmn_core *c, const struct lmn_machine *m,
                    struct lmn_job *a, struct lmn_job *b, struct timespec now)
{
    if (a->guaranteed == b->guaranteed && a->owed == b->owed && a->aged == b->aged &&
        a->lost == b->lost && a->yields == b->yields &&
        a->spec.urgency == b->spec.urgency) {
        double x = (a->lost ? 0 : a->latest) + FETCH_WEIGHT * fetch_now(c, m, a, now);
        double y = (b->lost ? 0 : b->latest) + FETCH_WEIGHT * fetch_now(c, m, b, now);
        if (x != y)
            return x < y ? -1 : 1;
    }
    return lmn_job_compare(a, b);
}

/* The most urgent stretch of a queue that the machine could start now; -1: none. The
 * order shifts with time, so it is looked for, not kept. */
static int best_seg(const struct lmn_core *c, struct lmn_queue *q,
                    const struct lmn_machine *m, struct timespec now)
{
    int best = -1;

    for (guint i = 0; i < q->segs->len; i++) {
        const struct lmn_queue_segment *s = q->segs->pdata[i];
        if (!startable(c, m, s->job, now))
            continue;
        if (best >= 0) {
            const struct lmn_queue_segment *t = q->segs->pdata[best];
            if (s->job == t->job || order_on(c, m, s->job, t->job, now) > 0)
                continue;
        }
        best = (int)i;
    }
    return best;
}

static void swap(struct lmn_machine **v, guint i, guint k)
{
    struct lmn_machine *t = v[i];

    v[i] = v[k];
    v[k] = t;
    v[i]->at = i;
    v[k]->at = k;
}

/* A fresh random sample of the other machines' queues, and unplaced, which is no
 * machine's.
 */
static GPtrArray *sample_queues(struct lmn_core *c, struct lmn_machine *m)
{
    struct lmn_partition *p = m->part;
    GPtrArray *queues = g_ptr_array_new();
    struct lmn_machine **v = (struct lmn_machine **)p->list->pdata;
    guint n = p->list->len - 1;

    guint sample = c->tuning.sample > 0 ? (guint)c->tuning.sample
                                        : (guint)ceil(2 * sqrt((double)n + 1));
    sample = MIN(sample, n);
    /* The first places of a partial shuffle, in the list itself, with the machine's own
     * place put last: what a sample costs does not grow with the partition. */
    swap(v, m->at, n);
    for (guint i = 0; i < sample; i++) {
        swap(v, i, i + (guint)g_rand_int_range(c->rng, 0, (gint32)(n - i)));
        g_ptr_array_add(queues, &v[i]->queue);
    }
    g_ptr_array_add(queues, &p->unplaced);
    return queues;
}

/* Starts the first task of a queue's stretch on the machine; 0 if it need not start any
 * more. */
static guint start_from(struct lmn_core *c, struct lmn_queue *q, int at,
                        struct lmn_machine *m, GByteArray *out, struct timespec now)
{
    struct lmn_queue_segment *s = q->segs->pdata[at];
    guint n = 0;

    q->tasks--;
    /* The books decide, not the queue: what is not queued there is not started. */
    if (s->range->st[s->lo - s->range->lo] != LMN_TASK_QUEUED) {
        s->lo++;
    } else {
        start(c, m, s, out, now);
        n = 1;
    }
    if (s->lo == s->hi)
        lmn_queue_remove_segment(q, (guint)at);
    return n;
}

/* Starts the machine's own work; but where a queue of a fresh sample holds something more
 * urgent, that first. Queues of busy machines run dry at different times, and the last
 * tasks of a job would wait in the slowest of them while others start what came much
 * later. */
static guint start_own(struct lmn_core *c, struct lmn_machine *m, GByteArray *out,
                       struct timespec now)
{
    GPtrArray *queues = NULL;
    guint n = 0;
    int at;

    while ((at = best_seg(c, &m->queue, m, now)) >= 0) {
        struct lmn_queue *from = &m->queue;
        struct lmn_job *best = ((struct lmn_queue_segment *)from->segs->pdata[at])->job;
        if (!queues)
            queues = sample_queues(c, m);
        for (guint i = 0; i < queues->len; i++) {
            struct lmn_queue *q = queues->pdata[i];
            int k = best_seg(c, q, m, now);
            struct lmn_job *j =
                k < 0 ? NULL : ((struct lmn_queue_segment *)q->segs->pdata[k])->job;
            if (j && j != best && order_on(c, m, j, best, now) < 0) {
                from = q;
                at = k;
                best = j;
            }
        }
        c->count.steals += from != &m->queue;
        n += start_from(c, from, at, m, out, now);
        if (n && m->unheeded)
            break; /* a try whether it hears */
    }
    if (queues)
        g_ptr_array_free(queues, TRUE);
    return n;
}

/* Queued tasks that the thief could start now. */
static uint32_t load_for(const struct lmn_core *c, const struct lmn_queue *q,
                         const struct lmn_machine *thief, struct timespec now)
{
    uint32_t n = 0;
    for (guint i = 0; i < q->segs->len; i++) {
        const struct lmn_queue_segment *s = q->segs->pdata[i];
        if (startable(c, thief, s->job, now))
            n += s->hi - s->lo;
    }
    return n;
}

static uint32_t take(struct lmn_core *c, struct lmn_queue *from, struct lmn_machine *m,
                     uint32_t want, struct timespec now)
{
    uint32_t got = 0;
    int at;

    while (got < want && (at = best_seg(c, from, m, now)) >= 0) {
        struct lmn_queue_segment *s = from->segs->pdata[at];
        uint32_t n = MIN(want - got, s->hi - s->lo);
        lmn_queue_add(&m->queue, s->range, s->lo, s->lo + n);
        s->lo += n;
        from->tasks -= n;
        got += n;
        if (s->lo == s->hi)
            lmn_queue_remove_segment(from, (guint)at);
    }
    return got;
}

bool lmn_steal_for_machine(struct lmn_core *c, struct lmn_machine *m, struct timespec now)
{
    struct lmn_queue *best = NULL;
    uint32_t most = 0;

    if (lmn_time_before(now, m->next_steal))
        return false;
    look_anew(c);
    GPtrArray *queues = sample_queues(c, m);
    c->count.steal_tries++;
    for (guint i = 0; i < queues->len; i++) {
        uint32_t load = load_for(c, queues->pdata[i], m, now);
        if (load > most) {
            most = load;
            best = queues->pdata[i];
        }
    }
    g_ptr_array_free(queues, TRUE);
    uint32_t got = 0;
    if (best)
        got = take(c, best, m,
                   m->unheeded ? 1 : MAX((uint32_t)((double)most * c->tuning.share), 1),
                   now);
    if (!got) {
        m->poll_s = m->poll_s > 0 ? MIN(m->poll_s * 2, c->tuning.poll_cap_s)
                                  : c->tuning.poll_floor_s;
        m->next_steal = lmn_time_add(now, m->poll_s);
        return false;
    }
    c->count.steals++;
    c->count.stolen_tasks += got;
    m->poll_s = 0;
    m->next_steal = now;
    lmn_debug("steal machine=%s tasks=%u of=%u", m->name, got, most);
    return true;
}

guint lmn_schedule_machine(struct lmn_core *c, struct lmn_machine *m, GByteArray *out,
                           struct timespec now)
{
    guint n;

    m->hungry = false;
    if (lmn_machine_wait_reason(m, now) != LMN_WAIT_NONE)
        return 0;
    look_anew(c);
    n = start_own(c, m, out, now);
    /* Left with room and nothing of its own that fits: it pulls, until that brings
     * nothing. */
    for (int turn = 0; turn < 8; turn++) {
        if ((m->unheeded && n) || load_for(c, &m->queue, m, now) ||
            !lmn_steal_for_machine(c, m, now))
            break;
        n += start_own(c, m, out, now);
    }
    m->hungry = !m->unheeded && !load_for(c, &m->queue, m, now);
    return n;
}
