/* What an owner does from time to time: lapses, returns, cut zones, an audit of its
 * books. */
#include "partition/maintenance.h"
#include "util/log.h"
#include "scheduler/queue.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "replication/replica.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <math.h>
#include <string.h>

void lmn_machine_terminated(struct lmn_core *c, struct lmn_machine *m,
                            struct timespec now)
{
    m->is_gone = true;
    m->inherited = false;
    m->accounted = true;
    lmn_machine_requeue_tasks(c, m, "machine gone", now);
    g_hash_table_add(c->gone, g_strdup(m->name));
    lmn_partition_check_ready(c, m->part, now);
    if (!m->block)
        g_hash_table_remove(m->part->machines, m->name);
}

static guint busy(const struct lmn_machine *m)
{
    guint n = 0;
    for (guint i = 0; i < m->attempts->len; i++)
        n += g_array_index(m->attempts, struct lmn_attempt, i).state != LMN_ATTEMPT_ENDED;
    return n;
}

/* By then most of an inherited partition's machines that are alive have answered a
 * question. */
static const double HEARD_S = 3;
/* A worker that was refused everywhere is back so much later than its next report. */
static const double LATE_BACK_S = 4;

/* Until then this node answered no reports. A machine that was silent by then was refused
 * here, or had nobody to talk to, and says nothing about its link. */
static struct timespec listening_since(const struct lmn_core *c)
{
    struct timespec woke = c->members.woke;

    return lmn_time_before(c->refused_until, woke) ? woke : c->refused_until;
}

/* Whether this node has answered reports for so long that each worker which reaches it
 * has had the time to report here again. */
static bool has_listened(const struct lmn_core *c, struct timespec now)
{
    return lmn_time_diff_s(now, listening_since(c)) >
           c->members.t.overdue_s + LATE_BACK_S;
}

/* Its link is in doubt: neither a report came nor, where it may just not have come back
 * yet, an answer to a question. */
static bool unheard(const struct lmn_core *c, const struct lmn_machine *m,
                    struct timespec now)
{
    if (!m->accounted)
        return true;
    if (!m->lapsed && !lmn_machine_is_silent(c, m, now))
        return false;
    return m->probes > 0 || has_listened(c, now);
}

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

    g_array_set_size(a, 1);
    for (guint k = 0; k < p->list->len; k++) {
        const struct lmn_machine *m = p->list->pdata[k];
        guint i = 1;
        if ((!m->heard && !m->inherited) || m->is_gone)
            continue;
        while (i < a->len && strcmp(g_array_index(a, struct silence, i).zone, m->zone))
            i++;
        if (i == a->len) {
            struct silence z = {.zone = m->zone};
            g_array_append_val(a, z);
        }
        bool silent = unheard(c, m, now);
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

/* Whether some machine is to be asked, whatever its silence says so far. */
static bool has_to_ask(const struct lmn_core *c, const struct lmn_partition *p,
                       struct timespec now)
{
    for (guint k = 0; k < p->list->len; k++) {
        const struct lmn_machine *m = p->list->pdata[k];
        if (!m->is_gone &&
            ((m->inherited && !m->accounted) || lmn_machine_is_silent(c, m, now)))
            return true;
    }
    return false;
}

/* If most machines are silent, the fault is more likely on this side. */
static bool most_silent(const GArray *a)
{
    return most_of(&g_array_index(a, struct silence, 0));
}

/* If most machines of a zone are silent, it is cut off: they are alive, and so may their
 * tasks be, under an owner that is cut off with them. When it is over, each is heard
 * again only when it has given up its last try and comes to report here: once the first
 * half had, the others were returned. */
static void note_cuts(const struct lmn_core *c, struct lmn_partition *p, const GArray *a,
                      struct timespec now)
{
    /* Right after a takeover nobody has been heard yet. */
    if (lmn_time_diff_s(now, p->since) < HEARD_S)
        return;
    for (guint i = 1; i < a->len; i++) {
        const struct silence *s = &g_array_index(a, struct silence, i);
        struct lmn_zone_cut *cut = NULL;
        if (!most_of(s))
            continue;
        for (guint k = 0; k < p->cuts->len && !cut; k++)
            if (!strcmp(g_array_index(p->cuts, struct lmn_zone_cut, k).zone, s->zone))
                cut = &g_array_index(p->cuts, struct lmn_zone_cut, k);
        if (!cut) {
            struct lmn_zone_cut new = {.zone = g_intern_string(s->zone)};
            g_array_append_val(p->cuts, new);
            cut = &g_array_index(p->cuts, struct lmn_zone_cut, p->cuts->len - 1);
        }
        if (lmn_time_before(cut->until, now))
            lmn_info("zone-silent partition=%d zone=%s silent=%u of=%u", p->id, s->zone,
                     s->silent, s->all);
        cut->until = lmn_time_add(now, c->cfg->report_s + 10);
    }
}

static bool is_cut(const struct lmn_partition *p, const char *zone, struct timespec now)
{
    for (guint i = 0; i < p->cuts->len; i++) {
        const struct lmn_zone_cut *cut = &g_array_index(p->cuts, struct lmn_zone_cut, i);
        if (!strcmp(cut->zone, zone))
            return lmn_time_before(now, cut->until);
    }
    return false;
}

/* A worker whose lease has run out has so long to come back with a new session. */
static const double LAPSED_BACK_S = 12;

static void upkeep_machine(struct lmn_core *c, struct lmn_machine *m,
                           const GArray *silence, struct timespec now)
{
    const struct lmn_settings *cfg = c->cfg;
    struct lmn_partition *p = m->part;
    double silent =
        m->heard ? lmn_time_diff_s(now, m->last) : lmn_time_diff_s(now, p->since);

    if (m->is_gone)
        return;
    /* Counted from the last report that we may have answered, with the clocks' drift and
     * our own lateness allowed for: then the worker has ended everything by itself. Only
     * so within our own term: before, a predecessor may have answered it later than we
     * know; and after, a successor. So the mirror must show that the partition was still
     * ours when the lease was over. Found when a zone was cut off with its controller: it
     * gave up the machines of the other zones, which its successor had kept alive, and
     * started their tasks once more on those of its own zone. */
    double lapse = cfg->lease_s * 1.002 + 1.5;
    if (m->accounted && !m->lapsed && silent > lapse &&
        lmn_time_diff_s(c->fresh, m->last) > lapse) {
        m->lapsed = true;
        lmn_info("machine-lapsed machine=%s partition=%d tasks=%u", m->name, p->id,
                 busy(m));
        lmn_machine_requeue_tasks(c, m, "lease lapsed", now);
    }
    if (lmn_watch_cache_age_s(c, now) > LMN_MAX_CACHE_AGE_S)
        return;
    /* Most machines that fall silent are gone, and a return is a quicker proof of that
     * than a lease; a worker that answers when asked is left alone. Not so in a zone that
     * is cut off: returning its machines ended a third of all replicas at once, where
     * most would have run on, and left nothing to come back to. */
    bool few = !most_silent(silence), cut = is_cut(p, m->zone, now);
    if (lmn_machine_is_silent(c, m, now) && m->probes >= 2 && few && !cut)
        lmn_machine_drain(c, m, true, "silent and unreachable", now);
    if (m->lapsed &&
        silent > cfg->lease_s + LAPSED_BACK_S + (few && cut ? cfg->cancel_s : 0) &&
        lmn_time_diff_s(now, listening_since(c)) > LAPSED_BACK_S)
        lmn_machine_drain(c, m, true, "silent", now);
    if (m->noticed && lmn_time_diff_s(now, m->noticed_at) > m->notice_s + 0.5)
        lmn_machine_drain(c, m, true, "taken by the cloud", now);
    /* Neither its worker's reports nor our own questions got through. If that goes for
     * most of them, the fault is more likely on this side: then the leases have to run
     * out first. In a zone by itself the partition's usual holder may answer them for as
     * long as its view is not too old, and their leases run out after that. If it stands
     * elsewhere, nobody answers them, and the partition's queued work need not wait. */
    double patience = !few ? cfg->lease_s + 8
                      : cut && lmn_preferred_owner_is_in_zone(c, p, m->zone)
                          ? cfg->cancel_s + 4
                          : 2.5;
    /* Heard or not: reports of an older term may be copies that come late, or come from a
     * machine that does not hear us. Once each of them put the return off, and the
     * partition's inherited work waited for as long as they came. One that was heard has
     * had an answer, and the time for another report. */
    double waited = lmn_time_diff_s(now, m->inherited ? p->since : m->first);
    if (m->heard)
        patience = MAX(patience, 1.25 * cfg->report_s + 4);
    if (m->inherited && !m->accounted && waited > patience &&
        (m->probes >= 2 || (m->probes && waited > 1.25 * cfg->report_s + patience) ||
         waited > cfg->lease_s))
        lmn_machine_drain(c, m, true, "not heard under the new term", now);
    /* One that nobody recorded, and that was never heard under our term: a copy of a
     * report of a machine that is gone, or one that does not hear. */
    if (!m->inherited && !m->accounted && waited > cfg->lease_s + 1.25 * cfg->report_s)
        lmn_machine_drain(c, m, true, "never heard under this term", now);
    /* While a partition's inherited work has to wait, its machines are idle for that
     * alone. */
    if (m->accounted && !m->retiring && m->idle.tv_sec && p->ready &&
        lmn_time_diff_s(now, m->idle) > c->tuning.idle_return_s &&
        lmn_time_diff_s(now, p->ready_at) > c->tuning.idle_return_s && !m->queue.tasks)
        lmn_machine_drain(c, m, false, "idle", now);
}

static uint32_t in_queue(const struct lmn_queue *q, const struct lmn_range *r)
{
    uint32_t n = 0;
    for (guint i = 0; i < q->segs->len; i++) {
        const struct lmn_queue_segment *s = q->segs->pdata[i];
        if (s->range == r)
            n += s->hi - s->lo;
    }
    return n;
}

/* A task that the books call queued but that stands in no queue would wait for ever.
 * There should be none; if there is one, it is said, and dealt anew. */
static void audit(struct lmn_core *c, struct lmn_partition *p, struct timespec now)
{
    GList *ranges = g_hash_table_get_values(p->ranges);

    for (GList *l = ranges; l && p->ready; l = l->next) {
        struct lmn_range *r = l->data;
        uint32_t n = r->hi - r->lo, queued = 0, found = in_queue(&p->unplaced, r);
        GHashTableIter it;
        gpointer v;
        if (!r->st || r->job->phase != LMN_JOB_ACTIVE)
            continue;
        for (uint32_t i = 0; i < n; i++)
            queued += r->st[i] == LMN_TASK_QUEUED;
        g_hash_table_iter_init(&it, p->machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            found += in_queue(&((struct lmn_machine *)v)->queue, r);
        if (found >= queued)
            continue;
        c->count.unqueued++;
        lmn_error("tasks-unqueued range=%s queued=%u found=%u", r->key, queued, found);
        lmn_reassign_range(c, r, now);
    }
    g_list_free(ranges);
}

/* Which part of its machines this node does not hear, in all its partitions together:
 * its word of itself. Those that it refused have gone to others and may not be back yet:
 * after an outage of the state service all members called each other deaf for that, and
 * gave their partitions away in a circle. */
static void note_deaf(struct lmn_core *c, struct timespec now)
{
    guint overdue = 0, all = 0;
    bool listened = has_listened(c, now);

    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *p = &c->parts[i];
        for (guint k = 0; p->mine && k < p->list->len; k++) {
            const struct lmn_machine *m = p->list->pdata[k];
            if (!m->accounted || m->is_gone)
                continue;
            all++;
            /* Nor is one in command of whoever does not hear it. */
            overdue += m->unheeded > 1 || (listened && lmn_time_diff_s(now, m->last) >
                                                           c->members.t.overdue_s);
        }
    }
    c->members.word.deaf = c->members.shut ? 1 : all > 2 ? overdue / (double)all : 0;
}

/* How many machines each member's partitions have. */
static void note_machines(struct lmn_core *c)
{
    for (int i = 0; i < c->members.n; i++)
        c->members.v[i].machines = 0;
    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *p = &c->parts[i];
        int owner = *p->owner ? lmn_member_index(&c->members, p->owner) : -1;
        if (owner >= 0)
            c->members.v[owner].machines += p->list->len;
    }
}

/* The interval between looks at all machines, for each of them, and the longest. */
static const double EACH_S = 0.0003, LONGEST_S = 1;
enum { FEW = 1000 };

void lmn_maintenance_run(struct lmn_core *c, struct timespec now)
{
    bool due = lmn_time_diff_s(now, c->audited) > 5.0;
    guint machines = 0;

    for (int i = 0; i < c->nparts; i++)
        machines += c->parts[i].mine ? c->parts[i].list->len : 0;
    /* A look at each takes as long as there are machines; what it finds has waited for
     * seconds already. */
    if (machines > FEW &&
        lmn_time_diff_s(now, c->kept_up) < MIN(machines * EACH_S, LONGEST_S))
        return;
    c->kept_up = now;
    if (lmn_watch_cache_is_too_stale(c, now) || !lmn_self_may_reply(&c->members, now))
        c->refused_until = now;
    note_deaf(c, now);
    note_machines(c);
    if (due)
        c->audited = now;
    for (int i = 0; i < c->nparts; i++) {
        struct lmn_partition *p = &c->parts[i];
        lmn_replica_drop_outdated(c, p);
        if (!p->mine)
            continue;
        /* Once for all machines: a look at each from each takes their square. */
        GArray *silence = listen_to(c, p, now);
        note_cuts(c, p, silence, now);
        p->asking = has_to_ask(c, p, now);
        for (guint k = 0; k < p->list->len; k++)
            upkeep_machine(c, p->list->pdata[k], silence, now);
        g_array_free(silence, TRUE);
        lmn_partition_check_ready(c, p, now);
        if (due)
            audit(c, p, now);
    }
}
