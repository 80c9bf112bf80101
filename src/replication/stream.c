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

bool lmn_replication_gates_starts(const struct lmn_partition *p)
{
    return p->mine && p->stream.phase >= LMN_STREAM_CATCHING_UP;
}

bool lmn_replication_covers(const struct lmn_partition *p, uint64_t mark)
{
    return !lmn_replication_gates_starts(p) || p->stream.acked >= mark;
}

bool lmn_replication_is_stuck(const struct lmn_partition *p, struct timespec now)
{
    const struct lmn_replication_stream *s = &p->stream;

    return lmn_replication_gates_starts(p) && s->acked < s->mark &&
           lmn_time_diff_s(now, s->waits) > LMN_REPLICATION_DEFER_S;
}

void lmn_replication_lag(const struct lmn_partition *p, struct timespec now,
                         guint *machines, uint64_t *starts, double *seconds)
{
    const struct lmn_replication_stream *s = &p->stream;

    *machines = p->untold->len;
    *starts = lmn_replication_gates_starts(p) ? s->mark - s->acked : 0;
    *seconds = *starts ? lmn_time_diff_s(now, s->waits) : 0;
}

/* --- the batches --- */

static guint images_hash(const struct lmn_machine *m)
{
    guint h = 1;

    for (guint i = 0; i < m->images->len; i++) {
        const struct lmn_image *x = &g_array_index(m->images, struct lmn_image, i);
        h += g_str_hash(x->name) * (x->ready.tv_sec ? 3 : 7);
    }
    return h;
}

static struct lmn_machine_snapshot *tell(struct lmn_machine *m)
{
    guint hash = images_hash(m);
    bool changed = hash != m->told_images;

    m->told_images = hash;
    return lmn_machine_snapshot_take(m, changed);
}

static struct lmn_replication_batch *build(struct lmn_partition *p, struct timespec now)
{
    struct lmn_replication_stream *s = &p->stream;
    struct lmn_replication_batch *b = lmn_replication_batch_new();

    b->part = p->id;
    b->term = p->my_term;
    b->stream = s->id;
    b->number = s->number;
    while (p->forgotten->len && b->machines->len < LMN_REPLICATION_BATCH_MACHINES) {
        char *name = g_ptr_array_steal_index_fast(p->forgotten, p->forgotten->len - 1);
        struct lmn_machine_snapshot *t = lmn_machine_snapshot_new(name);
        t->forget = true;
        g_ptr_array_add(b->machines, t);
        g_free(name);
    }
    while (p->untold->len && b->machines->len < LMN_REPLICATION_BATCH_MACHINES) {
        struct lmn_machine *m =
            g_ptr_array_steal_index_fast(p->untold, p->untold->len - 1);
        m->untold = false;
        g_ptr_array_add(b->machines, tell(m));
    }
    /* With machines left, some start may be on one of those. */
    b->mark = p->untold->len ? s->acked : s->mark;
    s->told = now;
    return b;
}

/* --- the phases --- */

/* No stream: nothing waits, nothing is told. */
static void end(struct lmn_core *c, struct lmn_partition *p, const char *why,
                struct timespec now)
{
    struct lmn_replication_stream *s = &p->stream;

    for (guint i = 0; i < p->untold->len; i++)
        ((struct lmn_machine *)p->untold->pdata[i])->untold = false;
    g_ptr_array_set_size(p->untold, 0);
    g_ptr_array_set_size(p->forgotten, 0);
    /* The thread that sends it frees it. */
    if (!s->sending)
        lmn_replication_batch_free(s->batch);
    s->batch = NULL;
    s->sending = false;
    if (s->phase != LMN_STREAM_NONE && why) {
        s->struck = lmn_time_diff_s(now, s->began) > HELD_S ? 1 : MIN(s->struck + 1, 10);
        s->next =
            lmn_time_add(now, MIN(AGAIN_S * (double)(1u << (s->struck - 1)), LONGEST_S));
        s->why = why;
        if (why == BACK) {
            s->struck = 0;
            s->next = now;
        }
    }
    s->phase = LMN_STREAM_NONE;
    pthread_cond_broadcast(&c->told);
    pthread_cond_signal(&p->following);
}

static void begin(struct lmn_core *c, struct lmn_partition *p, int to,
                  struct timespec now)
{
    struct lmn_replication_stream *s = &p->stream;

    s->phase = LMN_STREAM_SNAPSHOT;
    s->to = to;
    s->to_lease = c->members.v[to].lease;
    /* In order within the term, so that a late twin of an older one is known as that. */
    s->id = p->my_term << 20 | (++s->count.streams & 0xfffff);
    s->number = 0;
    s->failures = 0;
    s->began = now;
    /* What was acknowledged before, another has. */
    s->acked = 0;
    s->mark++;
    for (guint i = 0; i < p->list->len; i++) {
        struct lmn_machine *m = p->list->pdata[i];
        m->told_images = 0;
        lmn_machine_mark_unreplicated(m);
    }
    lmn_debug("standby-copy partition=%d member=%s machines=%u", p->id,
              lmn_member_name(&c->members, to), p->list->len);
}

/* It is the process that it was, and nobody suspects it. Its own word does not count: in
 * an outage of the state service everybody's mirror stands still, and no standby could
 * be struck off; all starts once waited for the outage's end for that. Whether it answers
 * shows by itself. */
static bool fit(const struct lmn_core *c, const struct lmn_partition *p)
{
    const struct lmn_replication_stream *s = &p->stream;
    const struct lmn_member_view *m = &c->members.v[s->to];

    return c->tuning.standby > 0 && m->present && m->lease == s->to_lease &&
           !lmn_member_is_suspected(&c->members, s->to);
}

/* Another follows, though the usual holder could, and is about to have its partition
 * back.
 */
static bool passed_over(const struct lmn_core *c, const struct lmn_partition *p,
                        struct timespec now)
{
    const struct lmn_members *ms = &c->members;
    int holder = p->id % ms->n;

    return holder != ms->me && holder != p->stream.to &&
           lmn_member_is_trusted(ms, holder, now) &&
           lmn_member_readmission_delay_s(ms, holder, now) < BEFORE_S;
}

static void strike(struct lmn_core *c, struct lmn_partition *p, const char *why)
{
    struct lmn_replication_stream *s = &p->stream;

    lmn_info("standby-struck partition=%d member=%s phase=%s why=\"%s\" "
             "waiting=%" G_GUINT64_FORMAT,
             p->id, lmn_member_name(&c->members, s->to),
             lmn_replication_phase_name(s->phase), why, s->mark - s->acked);
    s->phase = LMN_STREAM_REMOVING;
    s->why = why;
    s->written = (struct timespec){0, 0};
    s->count.strikes++;
}

static void fail(struct lmn_core *c, struct lmn_partition *p, const char *why,
                 struct timespec now)
{
    if (p->stream.phase >= LMN_STREAM_JOINING)
        strike(c, p, why);
    else
        end(c, p, why, now);
}

/* b/P, conditional on the ownership and on the record as the mirror shows it. */
static struct lmn_txn *record(const struct lmn_core *c, const struct lmn_partition *p,
                              bool named)
{
    const struct lmn_replication_stream *s = &p->stream;
    struct lmn_txn *t = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    GByteArray *v = g_byte_array_new();
    char key[32];

    lmn_cbor_put_map(v, 4);
    lmn_cbor_put_text(v, "node");
    lmn_cbor_put_text(v, named ? lmn_member_name(&c->members, s->to) : "");
    lmn_cbor_put_text(v, "lease"), lmn_cbor_put_uint(v, named ? s->to_lease : 0);
    lmn_cbor_put_text(v, "stream"), lmn_cbor_put_uint(v, named ? s->id : 0);
    lmn_cbor_put_text(v, "term"), lmn_cbor_put_uint(v, p->my_term);
    g_snprintf(key, sizeof key, "o/%d", p->id);
    lmn_txn_require_version(t, key, p->my_rev);
    g_snprintf(key, sizeof key, "b/%d", p->id);
    lmn_txn_require_version(t, key, p->standby_rev);
    lmn_txn_put(t, key, v, 0);
    return t;
}

static bool shown(const struct lmn_partition *p)
{
    return p->standby_stream == p->stream.id && p->standby_term == p->my_term;
}

/* The phase follows from what is acknowledged and what the mirror shows. */
static void advance(struct lmn_core *c, struct lmn_partition *p, struct timespec now)
{
    struct lmn_replication_stream *s = &p->stream;

    if (s->phase == LMN_STREAM_NONE) {
        int to = -1;
        if ((p->ready || p->warm) && c->tuning.standby > 0 && !p->releasing &&
            c->load.behind < LMN_STANDBY_SETTLE_S && !lmn_time_before(now, s->next))
            to = lmn_standby_choose(c, p, now);
        if (to >= 0)
            begin(c, p, to, now);
        return;
    }
    if (s->phase == LMN_STREAM_REMOVING) {
        /* A naming that is late can't be applied any more either. */
        if (p->standby_rev > s->named_rev && !shown(p))
            end(c, p, s->why, now);
        return;
    }
    bool waits = s->phase >= LMN_STREAM_CATCHING_UP && s->acked < s->mark;
    if (!fit(c, p)) {
        fail(c, p, "suspected, or another life", now);
    } else if (waits && lmn_time_diff_s(now, s->waits) > LMN_REPLICATION_TIMEOUT_S) {
        fail(c, p, "no acknowledgement", now);
    } else if (s->failures >= TRIES) {
        fail(c, p, "no answer", now);
    } else if (s->phase == LMN_STREAM_IN_SYNC && passed_over(c, p, now)) {
        strike(c, p, BACK);
    } else if (s->phase == LMN_STREAM_SNAPSHOT && s->number > 0 && !s->batch &&
               p->untold->len <= LMN_REPLICATION_BATCH_MACHINES / 2 &&
               !p->forgotten->len) {
        s->phase = LMN_STREAM_CATCHING_UP;
        s->closing = s->mark;
        s->waits = now;
    } else if (s->phase == LMN_STREAM_CATCHING_UP && s->acked >= s->closing) {
        s->phase = LMN_STREAM_JOINING;
        s->named_rev = p->standby_rev;
        s->written = (struct timespec){0, 0};
    } else if (s->phase == LMN_STREAM_JOINING && shown(p)) {
        s->phase = LMN_STREAM_IN_SYNC;
        lmn_info("standby-in-step partition=%d member=%s machines=%u after=%.2f", p->id,
                 lmn_member_name(&c->members, s->to), p->list->len,
                 lmn_time_diff_s(now, s->began));
    } else {
        return;
    }
    pthread_cond_broadcast(&c->told);
}

static bool writes(const struct lmn_replication_stream *s, struct timespec now)
{
    return (s->phase == LMN_STREAM_JOINING || s->phase == LMN_STREAM_REMOVING) &&
           (!s->written.tv_sec || lmn_time_diff_s(now, s->written) > WRITE_S);
}

/* Whether something is to be told now. */
static bool tells(const struct lmn_partition *p, struct timespec now)
{
    const struct lmn_replication_stream *s = &p->stream;

    if (s->phase == LMN_STREAM_NONE || s->phase == LMN_STREAM_REMOVING || s->sending)
        return false;
    if (s->batch)
        return true; /* once more */
    if (s->phase == LMN_STREAM_SNAPSHOT)
        return true;
    if (s->acked < s->mark)
        return lmn_time_diff_s(now, s->waits) >= GATHER_S;
    return (p->untold->len || p->forgotten->len) &&
           lmn_time_diff_s(now, s->told) > LAZY_S;
}

enum lmn_replication_step lmn_replication_next_step(struct lmn_core *c,
                                                    struct lmn_partition *p,
                                                    struct timespec now,
                                                    struct lmn_replication_batch **batch,
                                                    struct lmn_txn **txn, double *wait)
{
    struct lmn_replication_stream *s = &p->stream;

    *wait = LAZY_S / 2;
    if (!p->mine)
        return LMN_REPLICATION_WAIT;
    advance(c, p, now);
    if (writes(s, now)) {
        s->written = now;
        *txn = record(c, p, s->phase == LMN_STREAM_JOINING);
        return LMN_REPLICATION_WRITE;
    }
    if (tells(p, now)) {
        if (!s->batch)
            s->batch = build(p, now);
        s->sending = true;
        *batch = s->batch;
        return LMN_REPLICATION_SEND;
    }
    if (s->phase != LMN_STREAM_NONE && s->acked < s->mark)
        *wait = s->batch ? 0.05 : MAX(GATHER_S - lmn_time_diff_s(now, s->waits), 0.0005);
    return LMN_REPLICATION_WAIT;
}

void lmn_replication_batch_sent(struct lmn_core *c, struct lmn_partition *p,
                                struct lmn_replication_batch *b, bool answered,
                                enum lmn_replica_result answer, struct timespec now)
{
    struct lmn_replication_stream *s = &p->stream;

    if (s->batch != b || !s->sending) { /* of a stream that has ended meanwhile */
        lmn_replication_batch_free(b);
        return;
    }
    s->sending = false;
    if (!answered) {
        s->failures++;
        return;
    }
    s->batch = NULL;
    s->failures = 0;
    if (answer != LMN_REPLICA_APPLIED) {
        lmn_replication_batch_free(b);
        if (s->phase != LMN_STREAM_REMOVING)
            fail(c, p,
                 answer == LMN_REPLICA_UNKNOWN_STREAM ? "it does not know the stream"
                                                      : "it refuses the stream",
                 now);
        return;
    }
    s->number++;
    s->count.batches++;
    s->count.machines += b->machines->len;
    if (b->mark > s->acked) {
        /* While it is copied, no start waits. */
        if (s->phase >= LMN_STREAM_CATCHING_UP)
            lmn_latency_add(&c->telling, lmn_time_diff_s(now, s->waits));
        s->acked = b->mark;
        s->waits = now;
    }
    lmn_replication_batch_free(b);
    pthread_cond_broadcast(&c->told);
}

void lmn_replication_reset(struct lmn_core *c, struct lmn_partition *p)
{
    struct lmn_replication_stream *s = &p->stream;

    end(c, p, NULL, s->began);
    s->struck = 0;
    s->next = (struct timespec){0, 0};
    s->why = NULL;
}

uint64_t lmn_standby_condition(const struct lmn_partition *p, const char *member,
                               struct lmn_txn *t)
{
    char key[32];

    if (!p->standby_stream || p->standby_term != p->term || strcmp(p->standby, member))
        return 0;
    g_snprintf(key, sizeof key, "b/%d", p->id);
    lmn_txn_require_version(t, key, p->standby_rev);
    return p->standby_stream;
}

void lmn_standby_forget(struct lmn_partition *p)
{
    lmn_replication_batch_free(p->stream.batch);
    p->stream.batch = NULL;
    lmn_replica_free(p->copy);
    p->copy = NULL;
}
