/* Reports of workers: what they prove, and the commands that answer them. */
#include "own/worker.h"
#include "base/log.h"
#include "base/thread.h"
#include "base/wire.h"
#include "decide/queue.h"
#include "own/partition.h"
#include "own/range.h"
#include "standby/stream.h"
#include "state/books.h"
#include "state/core.h"

#include <stdlib.h>
#include <string.h>

/* A worker's patience with an answer (the protocol's). */
static const double WORKER_WAITS_S = 4;

struct report {
    char name[LMN_NAME], addr[LMN_ADDR], type[LMN_NAME], zone[LMN_NAME];
    bool spot, noticed;
    uint64_t session, seq, token;
    double notice_s;
    const struct lmn_node *tasks;
};

static bool read_report(struct report *r, const struct lmn_doc *d)
{
    const struct lmn_node *m = lmn_root(d);

    memset(r, 0, sizeof *r);
    if (!lmn_text(lmn_get(d, m, W_MACHINE), r->name, sizeof r->name) || !*r->name ||
        strpbrk(r->name, " /") ||
        !lmn_text(lmn_get(d, m, W_ADDR), r->addr, sizeof r->addr) ||
        !lmn_text(lmn_get(d, m, W_TYPE), r->type, sizeof r->type) ||
        !lmn_text(lmn_get(d, m, W_ZONE), r->zone, sizeof r->zone) ||
        !lmn_count(lmn_get(d, m, W_SESSION), &r->session) ||
        !lmn_count(lmn_get(d, m, W_SEQ), &r->seq))
        return false;
    lmn_truth(lmn_get(d, m, W_SPOT), &r->spot);
    lmn_count(lmn_get(d, m, W_TOKEN), &r->token);
    r->noticed = lmn_number(lmn_get(d, m, W_NOTICE), &r->notice_s);
    r->tasks = lmn_get(d, m, W_TASKS);
    return !r->tasks || r->tasks->type == LMN_LIST;
}

static enum lmn_attempt_state attempt_state(const struct lmn_node *n)
{
    if (lmn_is(n, W_ENDED))
        return LMN_A_ENDED;
    if (lmn_is(n, W_FETCHING))
        return LMN_A_FETCHING;
    if (lmn_is(n, W_SAVING))
        return LMN_A_SAVING;
    return LMN_A_RUNNING;
}

static void command(GByteArray *out, const char *op, const struct lmn_attempt *a,
                    double grace)
{
    char task[LMN_REF + 16];

    g_snprintf(task, sizeof task, "%s/%u", a->ref, a->index);
    lmn_put_map(out, grace >= 0 ? 4 : 3);
    lmn_put_text(out, W_OP), lmn_put_text(out, op);
    lmn_put_text(out, W_TASK), lmn_put_text(out, task);
    lmn_put_text(out, W_ATTEMPT), lmn_put_count(out, a->number);
    if (grace >= 0)
        lmn_put_text(out, W_GRACE), lmn_put_number(out, grace);
}

static struct lmn_attempt *find(struct lmn_machine *m, const char *ref, uint32_t index,
                                uint64_t number)
{
    for (guint i = 0; i < m->attempts->len; i++) {
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (a->number == number && a->index == index && !strcmp(a->ref, ref))
            return a;
    }
    return NULL;
}

/* A task that we did not start in this term: a predecessor's. */
static struct lmn_attempt *adopt(struct lmn_core *c, struct lmn_machine *m,
                                 const char *ref, uint32_t index, uint64_t number,
                                 enum lmn_attempt_state state, struct timespec now)
{
    struct lmn_attempt a = {
        .index = index, .number = number, .state = state, .since = now};

    g_strlcpy(a.ref, ref, sizeof a.ref);
    a.job = g_hash_table_lookup(c->jobs, ref);
    a.range = lmn_range_of(m->part, a.job, index);
    if (state != LMN_A_ENDED) {
        lmn_attempt_count(m, &a);
        if (a.range && a.range->st[index - a.range->lo] == LMN_T_QUEUED) {
            a.range->st[index - a.range->lo] = LMN_T_STARTED;
            a.range->nstarted++;
        } else {
            a.range = NULL; /* done, closed or started elsewhere: it has to go */
        }
        lmn_debug("task-adopt task=%s/%u attempt=%" G_GUINT64_FORMAT
                  " machine=%s known=%d",
                  ref, index, number, m->name, a.range != NULL);
    }
    g_array_append_val(m->attempts, a);
    lmn_untold(m);
    return &g_array_index(m->attempts, struct lmn_attempt, m->attempts->len - 1);
}

static struct lmn_accuser *accuser(struct lmn_machine *m, struct lmn_job *j)
{
    struct lmn_accuser new = {.job = j};

    for (guint i = 0; i < m->accusers->len; i++) {
        struct lmn_accuser *x = &g_array_index(m->accusers, struct lmn_accuser, i);
        if (x->job == j)
            return x;
    }
    g_array_append_val(m->accusers, new);
    return &g_array_index(m->accusers, struct lmn_accuser, m->accusers->len - 1);
}

/* A task has failed: at the fault of its job, or of the machine. What its job says counts
 * as it stands now: one that has failed elsewhere meanwhile takes its word back. */
static void blame(struct lmn_core *c, struct lmn_machine *m, struct lmn_attempt *a,
                  struct timespec now)
{
    struct lmn_job *j = a->job;
    guint where = g_str_hash(m->name);
    double sum = 0;

    c->count.failures++;
    if (!j || j->phase != LMN_ACTIVE)
        return;
    bool was = lmn_job_accused(&j->blame);
    lmn_job_failed(&j->blame, where, a->since, now);
    if (!was && lmn_job_accused(&j->blame)) {
        c->count.accused++;
        lmn_info("job-accused job=%s machines=%u proven=%d", j->spec.ref, j->blame.places,
                 j->blame.proven);
        lmn_job_redeal(c, j, now);
    }
    struct lmn_accuser *x = accuser(m, j);
    x->times++;
    x->last = now;
    for (guint i = 0; i < m->accusers->len; i++) {
        x = &g_array_index(m->accusers, struct lmn_accuser, i);
        sum += lmn_testimony(&x->job->blame, where, x->times, x->last, now);
    }
    /* One whose tasks fail at once has room at once: it would empty healthy queues into
     * failures. */
    m->hold = lmn_after(now, lmn_machine_pause(sum));
    if (lmn_machine_guilty(sum) && !m->retiring) {
        c->count.faulty++;
        lmn_info("machine-accused machine=%s jobs=%u weight=%.2f", m->name,
                 m->accusers->len, sum);
        lmn_machine_retire(c, m, false, "tasks fail on it that succeed elsewhere", now);
    }
}

/* What a predecessor has left in the reports: it had accused the job. */
static void had_failed(struct lmn_core *c, struct lmn_machine *m, struct lmn_attempt *a,
                       struct timespec now)
{
    struct lmn_job *j = a->job;

    a->failed = true;
    if (!j || j->phase != LMN_ACTIVE)
        return;
    bool was = lmn_job_accused(&j->blame);
    lmn_job_had_failed(&j->blame, g_str_hash(m->name), now);
    if (!was && lmn_job_accused(&j->blame)) {
        lmn_info("job-accused job=%s machines=%u by=predecessor", j->spec.ref,
                 j->blame.places);
        lmn_job_redeal(c, j, now);
    }
}

/* A failure of an accused job stays in the machine's reports, one on each machine: the
 * history outlives its owner at no change of the state service. Else every takeover
 * started the job's tasks all at once again. */
static bool is_history(const struct lmn_machine *m, const struct lmn_attempt *a)
{
    if (!a->failed || !a->job || a->job->phase != LMN_ACTIVE ||
        !lmn_job_accused(&a->job->blame))
        return false;
    for (guint i = 0; i < m->attempts->len; i++) {
        const struct lmn_attempt *b = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (b == a)
            return true;
        if (b->failed && b->job == a->job)
            return false;
    }
    return false;
}

static void ended(struct lmn_core *c, struct lmn_machine *m, struct lmn_attempt *a,
                  const struct lmn_doc *d, const struct lmn_node *n, struct timespec now)
{
    const struct lmn_node *why = lmn_get(d, n, W_WHY);
    struct lmn_range *r = a->range;

    lmn_attempt_uncount(m, a);
    lmn_untold(m);
    a->state = LMN_A_ENDED;
    a->done = lmn_is(why, W_DONE);
    if (a->done) {
        lmn_debug("task-done task=%s/%u attempt=%" G_GUINT64_FORMAT
                  " machine=%s after=%.1f",
                  a->ref, a->index, a->number, m->name, lmn_since(now, a->since));
        g_array_set_size(m->accusers, 0);
        if (a->job) {
            bool was = lmn_job_accused(&a->job->blame);
            lmn_job_succeeded(&a->job->blame);
            if (was)
                lmn_job_redeal(c, a->job, now);
        }
        if (!r)
            r = a->range = lmn_range_of(m->part, a->job, a->index);
        if (r)
            lmn_task_finished(r, a->index, now);
        return;
    }
    lmn_debug("task-ended task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s why=%.*s",
              a->ref, a->index, a->number, m->name, why ? (int)why->len : 0,
              why ? why->s : "");
    a->failed = lmn_is(why, W_FAILED);
    a->range = NULL;
    if (a->failed)
        blame(c, m, a, now);
    else if (lmn_is(why, W_NO_SUCH) && a->job)
        lmn_job_failed(&a->job->blame, g_str_hash(m->name), a->since, now);
    if (r)
        lmn_task_requeue(c, r, a->index, now);
}

bool lmn_machine_bare(const struct lmn_machine *m)
{
    for (guint i = 0; i < m->attempts->len; i++) {
        const struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        bool live = a->job && a->job->phase == LMN_ACTIVE && a->range;
        if (a->state != LMN_A_ENDED ||
            (a->done && live && !lmn_bit(a->range->done, a->index - a->range->lo)))
            return false;
    }
    return true;
}

/* What the message says of each task. */
static void read_tasks(struct lmn_core *c, struct lmn_machine *m, const struct lmn_doc *d,
                       const struct lmn_node *tasks, struct timespec now)
{
    for (guint i = 0; i < m->attempts->len; i++)
        g_array_index(m->attempts, struct lmn_attempt, i).seen = false;
    for (const struct lmn_node *n = lmn_child(d, tasks); n; n = lmn_next(d, n)) {
        char task[LMN_REF + 16];
        uint64_t number = 0;
        if (!lmn_text(lmn_get(d, n, W_TASK), task, sizeof task) ||
            !lmn_count(lmn_get(d, n, W_ATTEMPT), &number))
            continue;
        char *slash = strrchr(task, '/');
        if (!slash || slash - task >= LMN_REF)
            continue;
        *slash = '\0';
        uint32_t index = (uint32_t)strtoul(slash + 1, NULL, 10);
        enum lmn_attempt_state state = attempt_state(lmn_get(d, n, W_STATE));
        struct lmn_attempt *a = find(m, task, index, number);
        if (!a) {
            a = adopt(c, m, task, index, number, state, now);
            if (state == LMN_A_ENDED && lmn_is(lmn_get(d, n, W_WHY), W_FAILED))
                had_failed(c, m, a, now);
        }
        /* It has taken an order of ours: the way there is open. */
        if (!a->listed && a->state == LMN_A_SENT)
            m->unheeded = 0;
        a->seen = a->listed = true;
        a->told = false;
        if (a->job && state != LMN_A_ENDED)
            lmn_note_image(m, a->job, state != LMN_A_FETCHING, now);
        if (state == LMN_A_ENDED) {
            if (a->state != LMN_A_ENDED ||
                (!a->done && lmn_is(lmn_get(d, n, W_WHY), W_DONE)))
                ended(c, m, a, d, n, now);
        } else {
            if (state == LMN_A_RUNNING && a->state != state)
                lmn_debug("task-run task=%s/%u attempt=%" G_GUINT64_FORMAT
                          " machine=%s after=%.1f",
                          a->ref, a->index, a->number, m->name, lmn_since(now, a->since));
            a->state = state;
        }
    }
}

static void vanish(struct lmn_core *c, struct lmn_machine *m, guint i,
                   struct timespec now)
{
    struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
    struct lmn_attempt gone = *a;

    lmn_attempt_uncount(m, a);
    lmn_untold(m);
    g_array_remove_index_fast(m->attempts, i);
    if (gone.state != LMN_A_ENDED) {
        lmn_debug("task-vanished task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s",
                  gone.ref, gone.index, gone.number, m->name);
        lmn_task_requeue(c, gone.range, gone.index, now);
    }
}

/* Our last answer, or command, had no effect, though the machine is heard: its way to us
 * may be open, and ours to it not. Being heard is not being in command. Once such
 * machines took whatever they had room for, again with each report, and ran none of it.
 * Now one task is tried, more and more seldom, until one order is seen to have had an
 * effect; its queue is others'. */
static void unheeded(struct lmn_core *c, struct lmn_machine *m, struct timespec now)
{
    m->unheeded++;
    m->hold = lmn_after(now, (double)(1u << MIN(m->unheeded, 4u)));
    if (m->unheeded > 1)
        return;
    lmn_info("machine-unheeding machine=%s partition=%d", m->name, m->part->id);
    lmn_redeal_machine(c, m, now);
}

static guint settle_tasks(struct lmn_core *c, struct lmn_machine *m,
                          const struct lmn_doc *d, const struct lmn_node *tasks,
                          GByteArray *out, struct timespec now)
{
    guint commands = 0, lost = 0;

    read_tasks(c, m, d, tasks, now);
    /* What a newer report does not name is not there: the worker had dealt with our last
     * answer, or had given it up, before it wrote this one. Commands sent straight to it
     * are another matter: they travel by themselves, and may arrive minutes late. */
    for (guint i = m->attempts->len; i-- > 0;) {
        const struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (!a->seen && !a->direct && !(a->unsure && !a->listed)) {
            lost += a->state == LMN_A_SENT && !a->listed && !a->told;
            vanish(c, m, i, now);
        }
    }
    if (lost)
        unheeded(c, m, now);
    for (guint i = 0; i < m->attempts->len; i++) {
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        bool live = a->job && a->job->phase == LMN_ACTIVE;
        if (a->direct)
            continue;
        if (a->unsure && !a->listed) {
            /* The same start by the way that can't be late: then it is surely there, and
             * its late twin changes nothing. */
            command(out, W_START, a, -1);
            commands++;
        }
        if (a->state == LMN_A_ENDED) {
            /* A result may be forgotten only once it is recorded; and an attempt whose
             * start may still arrive must stay known, or that would start it anew. */
            bool recorded = !a->done || !live || !a->range ||
                            lmn_bit(a->range->done, a->index - a->range->lo);
            if (recorded && !a->unsure && !is_history(m, a)) {
                command(out, W_CLEAR, a, -1);
                commands++;
            }
        } else if (!live || !a->range) {
            command(out, W_KILL, a, 0);
            commands++;
            if (!a->killed) {
                a->killed = true;
                c->count.kills++;
            }
        } else if (a->stop && a->state != LMN_A_SAVING) {
            command(out, W_KILL, a, a->grace);
            commands++;
        } else if (m->noticed && a->state == LMN_A_RUNNING &&
                   a->job->spec.checkpoint_s > 0 && !a->killed) {
            double left = m->notice_s - lmn_since(now, m->noticed_at);
            if (left < a->job->spec.save_s + 2 * c->cfg->report_s + 1) {
                command(out, W_KILL, a, a->job->spec.save_s + 1);
                commands++;
                a->killed = true;
            }
        }
    }
    return commands;
}

static int redirect_to(const struct lmn_core *c, int rank, GByteArray *out)
{
    if (rank < 0 || rank == c->members.me)
        return 503;
    lmn_put_map(out, 1);
    lmn_put_text(out, W_REPORT_TO);
    lmn_put_text(out, lmn_member_name(&c->members, rank));
    return 421;
}

/* Where a worker of another's partition should go. Not to one that is suspected: it may
 * wait there for an answer until its lease is half over; but to who would take over. */
static int redirect(const struct lmn_core *c, const struct lmn_partition *p,
                    GByteArray *out, struct timespec now)
{
    int owner = *p->owner ? lmn_member_rank(&c->members, p->owner) : -1;

    if (owner >= 0 && lmn_member_doubted(&c->members, owner))
        owner = lmn_partition_next(c, p, now);
    return redirect_to(c, owner, out);
}

/* Cut off from the state service and the other controllers, this node may have lost its
 * partitions, and starts nothing: its workers are sent on, once each. One that finds
 * nobody else, and comes back, is kept alive as long as the fence allows. */
static bool sent_on(const struct lmn_core *c, struct lmn_machine *m, struct timespec now)
{
    /* If all others hang, it is back after so long, and must not have lost its lease. */
    double round = (WORKER_WAITS_S + 1) * (c->members.n - 1) + 2 * c->cfg->report_s;

    if (!c->isolated.tv_sec || !lmn_before(m->sent_on, c->isolated) ||
        round > 0.8 * c->cfg->lease_s)
        return false;
    m->sent_on = now;
    return true;
}

/* It has spoken with its owner before, and has come here all the same: to the owner's
 * neighbours it is a witness. */
static void note_visitor(struct lmn_core *c, const struct lmn_partition *p,
                         const struct report *r, struct timespec now)
{
    int owner = *p->owner ? lmn_member_rank(&c->members, p->owner) : -1;

    if (owner >= 0 && owner != c->members.me && r->token && r->token == p->owner_term)
        lmn_member_visited(&c->members, owner, r->name, r->session, r->seq, now);
}

static int handle(struct lmn_core *c, const struct report *r, const struct lmn_doc *d,
                  GByteArray *out, struct lmn_held *held, struct timespec now)
{
    struct lmn_partition *p = &c->parts[lmn_partition_of(r->name, c->nparts)];
    double margin = MAX(1.0, 0.05 * c->cfg->cancel_s);

    c->count.reports++;
    /* Whoever has stood still may have been replaced meanwhile: an answer would hold the
     * worker here while its lease runs out. */
    if (!lmn_self_awake(&c->members, now))
        return 503;
    /* A node that may have missed a cancellation must let its workers' leases run out in
     * time: the last answer, a lease, and all of it within cancel_s. */
    if (!c->synced || lmn_staleness(c, now) > c->cfg->cancel_s - c->cfg->lease_s - margin)
        return 503;
    if (!p->mine) {
        note_visitor(c, p, r, now);
        return redirect(c, p, out, now);
    }
    if (r->token > p->my_term || g_hash_table_contains(c->gone, r->name))
        return 503; /* a successor is at work that the mirror doesn't show yet */
    struct lmn_machine *m = g_hash_table_lookup(p->machines, r->name);
    if (!m) {
        m = lmn_machine_new(p, r->name);
        m->first = now;
        lmn_info("machine-new machine=%s partition=%d type=%s zone=%s spot=%d", r->name,
                 p->id, r->type, r->zone, r->spot);
    }
    if (m->is_gone)
        return 503;
    if (m->heard && (r->session < m->session ||
                     (r->session == m->session && r->seq <= m->report_seq)))
        return 503; /* it was overtaken on its way */
    if (m->lapsed && r->session == m->session)
        return 503; /* its tasks are given up: the session has to end */
    /* A copy that comes late is no sign that workers reach this node; one that nothing is
     * known of may be one. */
    if (m->heard)
        lmn_members_reached(&c->members, now);
    if (sent_on(c, m, now))
        return redirect_to(c, lmn_partition_next(c, p, now), out);
    if (!m->block) {
        lmn_machine_at(m, r->addr);
        g_strlcpy(m->type_name, r->type, sizeof m->type_name);
        g_strlcpy(m->zone, r->zone, sizeof m->zone);
        m->spot = r->spot;
    }
    if (!m->type)
        m->type = lmn_type_named(c, m->type_name);
    /* Overtaken by the answer to a direct command: it renews the lease, and says nothing
     * new. */
    bool overtaken = m->heard && r->session == m->session && r->seq <= m->seq;
    if (m->heard && r->session != m->session)
        /* Commands to the old session are refused from now on. */
        for (guint i = 0; i < m->attempts->len; i++) {
            struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
            a->direct = a->unsure = false;
        }
    if (m->session != r->session)
        lmn_untold(m);
    m->heard = true;
    m->session = r->session;
    m->report_seq = r->seq;
    m->seq = overtaken ? m->seq : r->seq;
    m->last = now;
    /* Of an older term it may be a copy, or of one that does not hear us. */
    if (r->token == p->my_term)
        m->probes = 0;
    m->lapsed = false;
    if (r->noticed && !m->noticed) {
        m->noticed = true;
        m->noticed_at = now;
        m->notice_s = r->notice_s;
        lmn_info("machine-notice machine=%s seconds=%.1f", m->name, r->notice_s);
        lmn_redeal_machine(c, m, now);
    }

    GByteArray *commands = g_byte_array_new();
    guint n = 0;
    /* Only a report that was written after the worker had seen our term tells what is
     * there for good: an older one may have been overtaken by a predecessor's commands.
     */
    uint64_t mark = p->stream.mark;
    if (r->token == p->my_term && !overtaken) {
        if (!m->accounted) {
            m->accounted = true;
            lmn_debug("machine-accounted machine=%s term=%" G_GUINT64_FORMAT, m->name,
                      p->my_term);
        }
        n += settle_tasks(c, m, d, r->tasks, commands, now);
        lmn_partition_check(c, p, now);
        /* Far behind, the node settles what was, and starts nothing. */
        if (!lmn_load_sheds(&c->load, LMN_SHED_START, c->rng))
            n += lmn_schedule(c, m, commands, now);
        lmn_unpoke(m);
        if (!lmn_machine_bare(m))
            m->idle = (struct timespec){0, 0};
        else if (!m->idle.tv_sec)
            m->idle = now;
    }
    lmn_put_map(out, 2);
    lmn_put_text(out, W_TOKEN), lmn_put_count(out, p->my_term);
    lmn_put_text(out, W_COMMANDS), lmn_put_list(out, n);
    g_byte_array_append(out, commands->data, commands->len);
    g_byte_array_unref(commands);
    if (lmn_stream_gates(p) && p->stream.mark > mark) {
        *held = (struct lmn_held){p->id, p->my_term, mark, p->stream.mark, ""};
        g_strlcpy(held->machine, m->name, sizeof held->machine);
    }
    return 200;
}

int lmn_worker_report(struct lmn_core *c, const void *body, size_t len, GByteArray *out,
                      struct lmn_held *held, struct timespec now)
{
    struct lmn_doc d;
    struct report r;
    int status = 400;

    held->mark = 0;
    if (lmn_doc_parse(&d, body, len) != 0)
        return 400;
    if (read_report(&r, &d)) {
        pthread_mutex_lock(&c->lock);
        status = handle(c, &r, &d, out, held, now);
        pthread_mutex_unlock(&c->lock);
    }
    lmn_doc_free(&d);
    return status;
}

void lmn_worker_withhold(struct lmn_core *c, const struct lmn_held *held, GByteArray *out,
                         struct timespec now)
{
    struct lmn_partition *p = &c->parts[held->part];
    struct lmn_machine *m = g_hash_table_lookup(p->machines, held->machine);

    for (guint i = m ? m->attempts->len : 0; i-- > 0;) {
        const struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (a->mark > held->from && a->mark <= held->mark) {
            c->count.withheld++;
            vanish(c, m, i, now);
        }
    }
    g_byte_array_set_size(out, 0);
    lmn_put_map(out, 2);
    lmn_put_text(out, W_TOKEN), lmn_put_count(out, held->term);
    lmn_put_text(out, W_COMMANDS), lmn_put_list(out, 0);
}

/* --- commands sent straight to the worker --- */

/* Inherited machines that are not accounted for, and those that have fallen silent since.
 */
static bool worth_asking(const struct lmn_core *c, const struct lmn_machine *m,
                         struct timespec now)
{
    return !m->is_gone && !lmn_before(now, m->next_probe) &&
           ((m->inherited && !m->accounted) || lmn_machine_silent(c, m, now));
}

/* A node that hears no workers has none, so none comes to it either: it asks one now and
 * then, whosever it is. */
static bool reach_next(struct lmn_core *c, char *name, char *addr, uint64_t *term,
                       struct timespec now)
{
    if (!c->members.shut || lmn_before(now, c->next_reach))
        return false;
    c->next_reach = lmn_after(now, 2);
    const GPtrArray *list = c->parts[g_rand_int_range(c->rng, 0, c->nparts)].list;
    if (!list->len)
        return false;
    const struct lmn_machine *m =
        list->pdata[g_rand_int_range(c->rng, 0, (gint32)list->len)];
    g_strlcpy(name, m->name, LMN_NAME);
    g_strlcpy(addr, m->addr, LMN_ADDR);
    *term = 0;
    return *addr != 0;
}

/* Where a question unblocks most: processors that are free, as far as was told. */
static double room(const struct lmn_machine *m)
{
    return m->type ? m->type->cpus - m->used_cpus : 0;
}

bool lmn_probe_next(struct lmn_core *c, unsigned lane, unsigned lanes, char *name,
                    char *addr, uint64_t *term, struct timespec now)
{
    struct lmn_machine *best = NULL;
    GHashTableIter it;
    gpointer v;

    if (reach_next(c, name, addr, term, now))
        return true;
    for (int i = 0; i < c->nparts; i++) {
        if (!c->parts[i].mine || !c->parts[i].asking)
            continue;
        g_hash_table_iter_init(&it, c->parts[i].machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_machine *m = v;
            /* Those with room first, since work can start there. Those that have not
             * answered come last: each holds its lane up for a second. Whoever has
             * answered before has a connection in its own lane; the rest go to any, since
             * after a wave of losses a few lanes were left with most of the silent ones.
             */
            if (worth_asking(c, m, now) &&
                (g_str_hash(m->name) % lanes == lane || m->probes > 0 ||
                 lmn_since(now, c->parts[i].since) > 2) &&
                (!best || m->probes < best->probes ||
                 (m->probes == best->probes && room(m) > room(best))))
                best = m;
        }
    }
    if (!best)
        return false;
    best->next_probe =
        lmn_after(now, 2.5 + 0.5 * MIN(best->probes, 6u)); /* two calls of 1 s */
    g_strlcpy(name, best->name, LMN_NAME);
    g_strlcpy(addr, best->addr, LMN_ADDR);
    *term = best->part->my_term;
    return true;
}

void lmn_probe_outcome(struct lmn_core *c, const char *name, uint64_t term, int status,
                       const GByteArray *answer, struct timespec now)
{
    struct lmn_partition *p = &c->parts[lmn_partition_of(name, c->nparts)];
    struct lmn_machine *m = g_hash_table_lookup(p->machines, name);
    struct lmn_doc d;
    struct report r;

    if (!term) {
        if (status == 200)
            lmn_members_reached(&c->members, now);
        return;
    }
    if (!m || !p->mine || p->my_term != term || m->is_gone)
        return;
    m->probes++;
    if (m->accounted) { /* only whether it is there */
        if (status == 200 || status == 409)
            m->probes = 0;
        return;
    }
    if (status == 409 && !m->heard)
        m->session = 0; /* not the one that we were told: it is asked for */
    /* Whatever it may hold waits for it: the second question follows at once. */
    if (m->probes == 1 && status != 200)
        m->next_probe = lmn_after(now, 0.2);
    if (status != 200 || lmn_doc_parse(&d, answer->data, answer->len) != 0)
        return;
    /* Written after the worker had taken our term: whatever a predecessor sends comes too
     * late. Its lease was renewed before now, if by anyone else. */
    if (read_report(&r, &d) && r.token == term && !strcmp(r.name, m->name) &&
        !(m->heard &&
          (r.session < m->session || (r.session == m->session && r.seq <= m->seq)))) {
        if (!m->heard || r.session > m->session)
            m->report_seq = 0;
        m->heard = m->accounted = true;
        m->session = r.session;
        m->seq = r.seq;
        m->last = now;
        if (!m->type)
            m->type = lmn_type_named(c, m->type_name);
        lmn_debug("machine-accounted machine=%s term=%" G_GUINT64_FORMAT " by=probe",
                  m->name, term);
        read_tasks(c, m, &d, r.tasks, now);
        /* What we were told may be there, and is not, will not be: a command that is
         * still on its way is of an older term. */
        for (guint i = m->attempts->len; i-- > 0;)
            if (g_array_index(m->attempts, struct lmn_attempt, i).told)
                vanish(c, m, i, now);
        lmn_untold(m);
        lmn_partition_check(c, p, now);
        /* Its lane looks there next, on the connection that it has. */
        if (p->warm)
            lmn_poke(m);
    }
    lmn_doc_free(&d);
}

/* Asks a machine of a partition just taken over what it holds: first for its session, if
 * that is not known (0), then, by a direct message without commands, for a report under
 * the new term. */
static int probe(struct lmn_http *h, uint64_t term, uint64_t session, GByteArray *body,
                 GByteArray *answer)
{
    struct lmn_doc d;

    if (!session) {
        int status = lmn_http_call(h, "GET", P_SHOW, NULL, 1.0, answer);
        if (!term)
            return status;
        if (status != 200 || lmn_doc_parse(&d, answer->data, answer->len) != 0)
            return status == 200 ? LMN_NO_ANSWER : status;
        lmn_count(lmn_get(&d, lmn_root(&d), W_SESSION), &session);
        lmn_doc_free(&d);
    }
    g_byte_array_set_size(body, 0);
    lmn_put_map(body, 3);
    lmn_put_text(body, W_TOKEN), lmn_put_count(body, term);
    lmn_put_text(body, W_SESSION), lmn_put_count(body, session);
    lmn_put_text(body, W_COMMANDS), lmn_put_list(body, 0);
    return lmn_http_call(h, "POST", P_DIRECT, body, 1.0, answer);
}

/* Tells tasks that have to make room to stop; if that gets lost, the next report's answer
 * says it again. */
static guint stop_some(struct lmn_core *c, struct lmn_machine *m, GByteArray *out)
{
    guint n = 0;

    for (guint i = 0; i < m->attempts->len; i++) {
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (!a->stop || a->killed || a->state == LMN_A_ENDED || !a->range)
            continue;
        command(out, W_KILL, a, a->grace);
        a->killed = true;
        c->count.kills++;
        n++;
    }
    return n;
}

bool lmn_direct_next(struct lmn_core *c, unsigned lane, unsigned lanes, char *name,
                     char *addr, GByteArray *body, struct timespec now)
{
    for (int i = 0; i < c->nparts; i++) {
        GPtrArray *poked = c->parts[i].poked;
        if (!c->parts[i].mine)
            continue;
        for (guint at = poked->len; at-- > 0;) {
            struct lmn_machine *m = at < poked->len ? poked->pdata[at] : NULL;
            if (!m || m->in_call || g_str_hash(m->name) % lanes != lane)
                continue;
            lmn_unpoke(m);
            if (!m->accounted || m->lapsed || m->unheeded ||
                lmn_since(now, m->last) > 0.6 * c->cfg->lease_s)
                continue;
            GByteArray *commands = g_byte_array_new();
            guint n = stop_some(c, m, commands);
            guint before = m->attempts->len;
            n += lmn_schedule(c, m, commands, now);
            if (n) {
                for (guint k = before; k < m->attempts->len; k++)
                    g_array_index(m->attempts, struct lmn_attempt, k).direct = true;
                m->in_call = true;
                m->idle = (struct timespec){0, 0};
                g_strlcpy(name, m->name, LMN_NAME);
                g_strlcpy(addr, m->addr, LMN_ADDR);
                g_byte_array_set_size(body, 0);
                lmn_put_map(body, 3);
                lmn_put_text(body, W_TOKEN), lmn_put_count(body, c->parts[i].my_term);
                lmn_put_text(body, W_SESSION), lmn_put_count(body, m->session);
                lmn_put_text(body, W_COMMANDS), lmn_put_list(body, n);
                g_byte_array_append(body, commands->data, commands->len);
            }
            g_byte_array_unref(commands);
            if (n)
                return true;
        }
    }
    return false;
}

void lmn_direct_outcome(struct lmn_core *c, const char *name, int status,
                        const GByteArray *answer, struct timespec now)
{
    struct lmn_partition *p = &c->parts[lmn_partition_of(name, c->nparts)];
    struct lmn_machine *m = g_hash_table_lookup(p->machines, name);
    struct lmn_doc d;
    struct report r;
    bool read = false, newer = false, lost = false;

    if (!m || !m->in_call)
        return; /* the partition was lost meanwhile */
    m->in_call = false;
    if ((status == 200 || status == 409) &&
        lmn_doc_parse(&d, answer->data, answer->len) == 0) {
        read = read_report(&r, &d) && r.session == m->session;
        newer = read && r.seq > m->seq;
        if (newer) {
            m->seq = r.seq;
            read_tasks(c, m, &d, r.tasks, now);
        }
        lmn_doc_free(&d);
    }
    for (guint i = m->attempts->len; i-- > 0;) {
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (!a->direct)
            continue;
        a->direct = false;
        /* Only the call's own commands are judged by its answer: what a report's answer
         * started may be on its way still. */
        if (status == LMN_NOT_SENT || (status == 409 && newer && !a->seen))
            vanish(c, m, i, now);
        else if (!read || (status == 200 && newer && !a->seen))
            a->unsure = lost = true;
    }
    /* Its answer may be late; a report that lists what was ordered settles it. */
    if (lost && !read)
        unheeded(c, m, now);
    /* What made room has ended: the task it was made for goes there at once. */
    if (m->promised && read) {
        lmn_poke(m);
        pthread_cond_broadcast(&c->poked);
    }
}

uint64_t lmn_direct_mark(const struct lmn_core *c, const char *name, int *part)
{
    *part = lmn_partition_of(name, c->nparts);
    const struct lmn_machine *m = g_hash_table_lookup(c->parts[*part].machines, name);
    uint64_t mark = 0;

    for (guint i = 0; m && i < m->attempts->len; i++) {
        const struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (a->direct)
            mark = MAX(mark, a->mark);
    }
    return mark;
}

/* Whether the starts may go out: waits until the standby has acknowledged them. */
static bool told(struct lmn_core *c, int part, uint64_t term, uint64_t mark)
{
    struct lmn_partition *p = &c->parts[part];
    struct timespec until = lmn_after(lmn_now(), LMN_STREAM_HOLD_S);
    double left;

    while (p->mine && p->my_term == term && !lmn_stream_covers(p, mark) &&
           (left = lmn_since(until, lmn_now())) > 0)
        lmn_cond_wait_for(&c->told, &c->lock, left);
    bool ok = p->mine && p->my_term == term && lmn_stream_covers(p, mark);
    if (!ok)
        c->count.withheld++;
    return ok;
}

/* The session that we were told, if nobody has said another since. */
static uint64_t told_session(const struct lmn_core *c, const char *name)
{
    const struct lmn_partition *p = &c->parts[lmn_partition_of(name, c->nparts)];
    const struct lmn_machine *m = g_hash_table_lookup(p->machines, name);

    return m && !m->heard ? m->session : 0;
}

static void drop_any(GHashTable *clients)
{
    GHashTableIter it;
    gpointer h;

    g_hash_table_iter_init(&it, clients);
    if (g_hash_table_iter_next(&it, NULL, &h)) {
        g_hash_table_iter_remove(&it);
        lmn_http_free(h);
    }
}

void *lmn_direct_thread(void *arg)
{
    struct lmn_lane *lane = arg;
    struct lmn_core *c = lane->core;
    GByteArray *body = g_byte_array_new(), *answer = g_byte_array_new();
    GHashTable *clients = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char name[LMN_NAME], addr[LMN_ADDR];

    for (;;) {
        uint64_t term = 0, session = 0, mark = 0;
        int part = 0;
        bool probing;
        pthread_mutex_lock(&c->lock);
        for (;;) {
            struct timespec now = lmn_now();
            probing = false;
            if (lmn_direct_next(c, lane->lane, lane->lanes, name, addr, body, now))
                break;
            probing = lmn_probe_next(c, lane->lane, lane->lanes, name, addr, &term, now);
            if (probing)
                break;
            lmn_cond_wait_for(&c->poked, &c->lock, 0.5);
        }
        if (probing)
            session = term ? told_session(c, name) : 0;
        else
            mark = lmn_direct_mark(c, name, &part);
        if (mark && !told(c, part, c->parts[part].my_term, mark)) {
            lmn_direct_outcome(c, name, LMN_NOT_SENT, NULL, lmn_now());
            pthread_mutex_unlock(&c->lock);
            continue;
        }
        pthread_mutex_unlock(&c->lock);
        struct lmn_http *h = g_hash_table_lookup(clients, addr);
        if (!h) {
            /* Connections are kept, but the sockets are the workers' and users' first. */
            if (g_hash_table_size(clients) >= c->sockets.direct / lane->lanes)
                drop_any(clients);
            h = lmn_http_new(addr);
            g_hash_table_insert(clients, g_strdup(addr), h);
        }
        int status = probing ? probe(h, term, session, body, answer)
                             : lmn_http_call(h, "POST", P_DIRECT, body, 1.5, answer);
        lmn_debug("direct machine=%s probe=%d status=%d", name, probing, status);
        pthread_mutex_lock(&c->lock);
        if (probing)
            lmn_probe_outcome(c, name, term, status, answer, lmn_now());
        else
            lmn_direct_outcome(c, name, status, answer, lmn_now());
        pthread_mutex_unlock(&c->lock);
        if (status < 0) {
            g_hash_table_remove(clients, addr);
            lmn_http_free(h);
        }
    }
    return NULL;
}
