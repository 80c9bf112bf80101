/* Answers to reports: the commands in them, who gets one, and who is sent elsewhere. */
#include "partition/worker.h"
#include "util/log.h"
#include "protocol/wire.h"
#include "scheduler/queue.h"
#include "partition/partition.h"
#include "partition/worker_internal.h"
#include "replication/stream.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <string.h>

/* A worker's patience with an answer (the protocol's). */
static const double WORKER_WAITS_S = 4;

void lmn_append_command(GByteArray *out, const char *op, const struct lmn_attempt *a,
                        double grace)
{
    char task[LMN_JOB_ID_SIZE + 16];

    g_snprintf(task, sizeof task, "%s/%u", a->ref, a->index);
    lmn_cbor_put_map(out, grace >= 0 ? 4 : 3);
    lmn_cbor_put_text(out, WIRE_COMMAND), lmn_cbor_put_text(out, op);
    lmn_cbor_put_text(out, WIRE_TASK), lmn_cbor_put_text(out, task);
    lmn_cbor_put_text(out, WIRE_ATTEMPT), lmn_cbor_put_uint(out, a->number);
    if (grace >= 0)
        lmn_cbor_put_text(out, WIRE_GRACE_S), lmn_cbor_put_number(out, grace);
}

/* A failure of an accused job stays in the machine's reports, one on each machine: the
 * history outlives its owner at no change of the state service. Else every takeover
 * started the job's tasks all at once again. */
static bool is_history(const struct lmn_machine *m, const struct lmn_attempt *a)
{
    if (!a->failed || !a->job || a->job->phase != LMN_JOB_ACTIVE ||
        !lmn_job_is_faulty(&a->job->failures))
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

/* Our last answer, or command, had no effect, though the machine is heard: its way to us
 * may be open, and ours to it not. Being heard is not being in command. Once such
 * machines took whatever they had room for, again with each report, and ran none of it.
 * Now one task is tried, more and more seldom, until one order is seen to have had an
 * effect; its queue is others'. */
void lmn_machine_record_ignored_command(struct lmn_core *c, struct lmn_machine *m,
                                        struct timespec now)
{
    m->unheeded++;
    m->hold = lmn_time_add(now, (double)(1u << MIN(m->unheeded, 4u)));
    if (m->unheeded > 1)
        return;
    lmn_info("machine-unheeding machine=%s partition=%d", m->name, m->part->id);
    lmn_reassign_machine_queue(c, m, now);
}

static guint kill_now(struct lmn_core *c, struct lmn_attempt *a, GByteArray *out)
{
    lmn_append_command(out, WIRE_KILL, a, 0);
    c->count.kills += !a->killed;
    a->killed = true;
    return 1;
}

/* The kills of an answer that can't settle what is on the machine: its report is from
 * before our term, or was overtaken. Such an answer renews the lease all the same.
 * Without them a task of a job that had been withdrawn long before the takeover got
 * another lease, and was there after cancel_s if the machine heard nothing more. */
static guint kill_unwanted(struct lmn_core *c, struct lmn_machine *m,
                           const struct lmn_cbor_document *d,
                           const struct lmn_cbor_value *tasks, GByteArray *out)
{
    guint n = 0;

    for (const struct lmn_cbor_value *t = lmn_cbor_first_child(d, tasks); t;
         t = lmn_cbor_next(d, t)) {
        struct lmn_attempt a;
        if (!lmn_heartbeat_parse_task(&a, d, t) || a.state == LMN_ATTEMPT_ENDED ||
            !(a.job = g_hash_table_lookup(c->jobs, a.ref)) || lmn_job_may_run(c, a.job))
            continue;
        n += kill_now(c, &a, out);
    }
    /* What is known to be there, or may be: what a predecessor's copy or a newer message
     * names. */
    for (guint i = 0; i < m->attempts->len; i++) {
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (a->state != LMN_ATTEMPT_ENDED && a->job && !lmn_job_may_run(c, a->job))
            n += kill_now(c, a, out);
    }
    return n;
}

static guint settle_tasks(struct lmn_core *c, struct lmn_machine *m,
                          const struct lmn_cbor_document *d,
                          const struct lmn_cbor_value *tasks, GByteArray *out,
                          struct timespec now)
{
    guint commands = 0, lost = 0;

    lmn_heartbeat_apply_tasks(c, m, d, tasks, now);
    /* What a newer report does not name is not there: the worker had dealt with our last
     * answer, or had given it up, before it wrote this one. Commands sent straight to it
     * are another matter: they travel by themselves, and may arrive minutes late. */
    for (guint i = m->attempts->len; i-- > 0;) {
        const struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (!a->seen && !a->direct && !(a->unsure && !a->listed)) {
            lost += a->state == LMN_ATTEMPT_SENT && !a->listed && !a->told;
            lmn_attempt_vanished(c, m, i, now);
        }
    }
    if (lost)
        lmn_machine_record_ignored_command(c, m, now);
    for (guint i = 0; i < m->attempts->len; i++) {
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        bool live = a->job && a->job->phase == LMN_JOB_ACTIVE;
        bool wanted = a->job && lmn_job_may_run(c, a->job);
        if (a->direct && wanted)
            continue;
        if ((a->unsure || a->direct) && !a->listed) {
            /* The same start by the way that can't be late: then it is surely there, and
             * its late twin changes nothing. */
            lmn_append_command(out, WIRE_START, a, -1);
            commands++;
        }
        if (a->state == LMN_ATTEMPT_ENDED) {
            /* A result may be forgotten only once it is recorded; and an attempt whose
             * start may still arrive must stay known, or that would start it anew. */
            bool recorded = !a->done || !live || !a->range ||
                            lmn_bitset_get(a->range->done, a->index - a->range->lo);
            if (recorded && !a->unsure && !a->direct && !is_history(m, a)) {
                lmn_append_command(out, WIRE_CLEAR, a, -1);
                commands++;
            }
        } else if (!wanted || !a->range) {
            commands += kill_now(c, a, out);
        } else if (a->stop && a->state != LMN_ATTEMPT_SAVING) {
            lmn_append_command(out, WIRE_KILL, a, a->grace);
            commands++;
        } else if (m->noticed && a->state == LMN_ATTEMPT_RUNNING &&
                   a->job->spec.checkpoint_s > 0 && !a->killed) {
            double left = m->notice_s - lmn_time_diff_s(now, m->noticed_at);
            if (left < a->job->spec.save_s + 2 * c->cfg->report_s + 1) {
                lmn_append_command(out, WIRE_KILL, a, a->job->spec.save_s + 1);
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
    lmn_cbor_put_map(out, 1);
    lmn_cbor_put_text(out, WIRE_REDIRECT_TO);
    lmn_cbor_put_text(out, lmn_member_name(&c->members, rank));
    return 421;
}

/* Where a worker of another's partition should go. Not to one that is suspected: it may
 * wait there for an answer until its lease is half over; but to who would take over. */
static int redirect(const struct lmn_core *c, const struct lmn_partition *p,
                    GByteArray *out, struct timespec now)
{
    int owner = *p->owner ? lmn_member_index(&c->members, p->owner) : -1;

    if (owner >= 0 && lmn_member_is_suspected(&c->members, owner))
        owner = lmn_partition_next_owner(c, p, now);
    return redirect_to(c, owner, out);
}

/* Cut off from the state service and the other controllers, this node may have lost its
 * partitions, and starts nothing: its workers are sent on, once each. One that finds
 * nobody else, and comes back, is kept alive as long as the fence allows. */
static bool sent_on(const struct lmn_core *c, struct lmn_machine *m, struct timespec now)
{
    /* If all others hang, it is back after so long, and must not have lost its lease. */
    double round = (WORKER_WAITS_S + 1) * (c->members.n - 1) + 2 * c->cfg->report_s;

    if (!c->isolated.tv_sec || !lmn_time_before(m->sent_on, c->isolated) ||
        round > 0.8 * c->cfg->lease_s)
        return false;
    m->sent_on = now;
    return true;
}

/* It has spoken with its owner before, and has come here all the same: to the owner's
 * neighbours it is a witness. */
static void note_visitor(struct lmn_core *c, const struct lmn_partition *p,
                         const struct lmn_heartbeat *r, struct timespec now)
{
    int owner = *p->owner ? lmn_member_index(&c->members, p->owner) : -1;

    if (owner >= 0 && owner != c->members.me && r->token && r->token == p->owner_term)
        lmn_member_record_redirected_worker(&c->members, owner, r->name, r->session,
                                            r->seq, now);
}

static int handle(struct lmn_core *c, const struct lmn_heartbeat *r,
                  const struct lmn_cbor_document *d, GByteArray *out,
                  struct lmn_deferred_starts *held, struct timespec now)
{
    struct lmn_partition *p = &c->parts[lmn_partition_for_machine(r->name, c->nparts)];

    c->count.reports++;
    /* Whoever has stood still may have been replaced meanwhile: an answer would hold the
     * worker here while its lease runs out. */
    if (!lmn_self_may_reply(&c->members, now))
        return 503;
    /* A node that may have missed a cancellation must let its workers' leases run out in
     * time: the last answer, a lease, and all of it within cancel_s. */
    if (lmn_watch_cache_is_too_stale(c, now))
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
    /* Overtaken by the answer to a direct command: it renews the lease, and says nothing
     * new. */
    bool overtaken = m->heard && r->session == m->session && r->seq <= m->seq;
    /* A copy that comes late is no sign that workers reach this node, nor is what was
     * overtaken: it may have been for minutes. One that nothing is known of may be one.
     */
    if (m->heard && !overtaken)
        lmn_members_record_own_worker(&c->members, now);
    if (sent_on(c, m, now))
        return redirect_to(c, lmn_partition_next_owner(c, p, now), out);
    if (!m->block) {
        lmn_machine_set_address(m, r->addr);
        g_strlcpy(m->type_name, r->type, sizeof m->type_name);
        g_strlcpy(m->zone, r->zone, sizeof m->zone);
        m->spot = r->spot;
    }
    if (!m->type)
        m->type = lmn_machine_type_by_name(c, m->type_name);
    if (m->heard && r->session != m->session)
        /* Commands to the old session are refused from now on. */
        for (guint i = 0; i < m->attempts->len; i++) {
            struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
            a->direct = a->unsure = false;
        }
    if (m->session != r->session)
        lmn_machine_mark_unreplicated(m);
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
        lmn_reassign_machine_queue(c, m, now);
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
        held->settled = n;
        held->settled_bytes = commands->len;
        lmn_partition_check_ready(c, p, now);
        /* Far behind, the node settles what was, and starts nothing. */
        if (!lmn_load_should_shed(&c->load, LMN_SHED_START, c->rng))
            n += lmn_schedule_machine(c, m, commands, now);
        lmn_machine_cancel_wake(m);
        if (!lmn_machine_is_empty(m))
            m->idle = (struct timespec){0, 0};
        else if (!m->idle.tv_sec)
            m->idle = now;
    } else {
        n += kill_unwanted(c, m, d, r->tasks, commands);
    }
    lmn_cbor_put_map(out, 2);
    lmn_cbor_put_text(out, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(out, p->my_term);
    lmn_cbor_put_text(out, WIRE_COMMANDS), lmn_cbor_put_array(out, n);
    held->commands = out->len;
    g_byte_array_append(out, commands->data, commands->len);
    g_byte_array_unref(commands);
    if (lmn_replication_gates_starts(p) && p->stream.mark > mark) {
        held->part = p->id;
        held->term = p->my_term;
        held->from = mark;
        held->mark = p->stream.mark;
        g_strlcpy(held->machine, m->name, sizeof held->machine);
    }
    return 200;
}

/* A report that makes no sense changes nothing. Whoever sends it may do so for long: it
 * is said now and then. */
static void complain(struct lmn_core *c, const char *name, const char *what,
                     struct timespec now)
{
    c->count.malformed++;
    if (c->complained.tv_sec && lmn_time_diff_s(now, c->complained) < 10)
        return;
    c->complained = now;
    lmn_error("report-malformed machine=%.32s what=\"%s\" so-far=%" G_GUINT64_FORMAT,
              name, what, c->count.malformed);
}

int lmn_heartbeat_handle(struct lmn_core *c, const void *body, size_t len,
                         GByteArray *out, struct lmn_deferred_starts *held,
                         struct timespec now)
{
    struct lmn_cbor_document d;
    struct lmn_heartbeat r = {0};
    const char *what = "not CBOR, or too much of it";
    int status = 400;

    memset(held, 0, sizeof *held);
    bool parsed = lmn_cbor_parse(&d, body, len) == 0;
    if (parsed)
        what = lmn_heartbeat_parse(&r, &d);
    pthread_mutex_lock(&c->lock);
    if (what)
        complain(c, r.name, what, now);
    else
        status = handle(c, &r, &d, out, held, now);
    pthread_mutex_unlock(&c->lock);
    if (what) {
        lmn_cbor_put_map(out, 1);
        lmn_cbor_put_text(out, "error"), lmn_cbor_put_text(out, what);
    }
    if (parsed)
        lmn_cbor_free(&d);
    return status;
}

void lmn_heartbeat_withhold_starts(struct lmn_core *c,
                                   const struct lmn_deferred_starts *held,
                                   GByteArray *out, struct timespec now)
{
    struct lmn_partition *p = &c->parts[held->part];
    struct lmn_machine *m = g_hash_table_lookup(p->machines, held->machine);

    for (guint i = m ? m->attempts->len : 0; i-- > 0;) {
        const struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (a->mark > held->from && a->mark <= held->mark) {
            c->count.withheld++;
            lmn_attempt_vanished(c, m, i, now);
        }
    }
    /* Kills and clears stay: an answer without them renewed the lease of tasks that had
     * to end. */
    GByteArray *settled = g_byte_array_sized_new(held->settled_bytes);
    g_byte_array_append(settled, out->data + held->commands, held->settled_bytes);
    g_byte_array_set_size(out, 0);
    lmn_cbor_put_map(out, 2);
    lmn_cbor_put_text(out, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(out, held->term);
    lmn_cbor_put_text(out, WIRE_COMMANDS), lmn_cbor_put_array(out, held->settled);
    g_byte_array_append(out, settled->data, settled->len);
    g_byte_array_unref(settled);
}
