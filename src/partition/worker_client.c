/* Commands and questions sent straight to workers. */
#include "partition/worker.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "scheduler/queue.h"
#include "partition/partition.h"
#include "partition/worker_internal.h"
#include "replication/stream.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <string.h>

/* Inherited machines that are not accounted for, and those that have fallen silent since.
 */
static bool worth_asking(const struct lmn_core *c, const struct lmn_machine *m,
                         struct timespec now)
{
    return !m->is_gone && !lmn_time_before(now, m->next_probe) &&
           ((m->inherited && !m->accounted) || lmn_machine_is_silent(c, m, now));
}

/* A node that hears no workers has none, so none comes to it either: it asks one now and
 * then, whosever it is. */
static bool reach_next(struct lmn_core *c, char *name, char *addr, uint64_t *term,
                       struct timespec now)
{
    if (!c->members.shut || lmn_time_before(now, c->next_reach))
        return false;
    c->next_reach = lmn_time_add(now, 2);
    const GPtrArray *list = c->parts[g_rand_int_range(c->rng, 0, c->nparts)].list;
    if (!list->len)
        return false;
    const struct lmn_machine *m =
        list->pdata[g_rand_int_range(c->rng, 0, (gint32)list->len)];
    g_strlcpy(name, m->name, LMN_NAME_SIZE);
    g_strlcpy(addr, m->addr, LMN_ADDRESS_SIZE);
    *term = 0;
    return *addr != 0;
}

/* Where a question unblocks most: processors that are free, as far as was told. */
static double room(const struct lmn_machine *m)
{
    return m->type ? m->type->cpus - m->used_cpus : 0;
}

/* For so long after a takeover a machine that was not asked yet is left to its own lane,
 * which may have a connection to it. Then lanes with nothing left help those that a dead
 * machine holds up: with 16 lanes and ten dead machines, a fifth of those alive were
 * asked a second late. */
static const double OWN_LANE_S = 0.5;

/* Whether to ask a rather than b, of the same lane or of any. */
static bool asked_before(const struct lmn_machine *a, const struct lmn_machine *b,
                         unsigned lane, unsigned lanes)
{
    bool own = g_str_hash(a->name) % lanes == lane;
    bool other_own = g_str_hash(b->name) % lanes == lane;

    /* Those that have not answered come last: each holds its lane up for a second. */
    if (a->probes != b->probes)
        return a->probes < b->probes;
    if (own != other_own)
        return own;
    /* Those with room first, since work can start there. */
    return room(a) > room(b);
}

bool lmn_worker_client_next_probe(struct lmn_core *c, unsigned lane, unsigned lanes,
                                  char *name, char *addr, uint64_t *term,
                                  struct timespec now)
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
            bool any =
                m->probes > 0 || lmn_time_diff_s(now, c->parts[i].since) > OWN_LANE_S;
            if (worth_asking(c, m, now) && (any || g_str_hash(m->name) % lanes == lane) &&
                (!best || asked_before(m, best, lane, lanes)))
                best = m;
        }
    }
    if (!best)
        return false;
    best->next_probe =
        lmn_time_add(now, 2.5 + 0.5 * MIN(best->probes, 6u)); /* two calls of 1 s */
    g_strlcpy(name, best->name, LMN_NAME_SIZE);
    g_strlcpy(addr, best->addr, LMN_ADDRESS_SIZE);
    *term = best->part->my_term;
    return true;
}

/* The session that we were told has ended: its worker's answer names the one that runs
 * now, and the question is asked again at once. */
static bool learn_session(struct lmn_machine *m, const GByteArray *answer,
                          struct timespec now)
{
    struct lmn_cbor_document d;
    struct lmn_heartbeat r;

    if (lmn_cbor_parse(&d, answer->data, answer->len) != 0)
        return false;
    bool newer = !lmn_heartbeat_parse(&r, &d) && !strcmp(r.name, m->name) &&
                 r.session > m->session;
    lmn_cbor_free(&d);
    if (!newer)
        return false;
    m->session = r.session;
    m->probes = 0; /* it has answered */
    m->next_probe = now;
    return true;
}

void lmn_worker_client_probe_done(struct lmn_core *c, const char *name, uint64_t term,
                                  int status, const GByteArray *answer,
                                  struct timespec now)
{
    struct lmn_partition *p = &c->parts[lmn_partition_for_machine(name, c->nparts)];
    struct lmn_machine *m = g_hash_table_lookup(p->machines, name);
    struct lmn_cbor_document d;
    struct lmn_heartbeat r;

    if (!term) {
        if (status == 200)
            lmn_members_record_own_worker(&c->members, now);
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
    if (status == 409 && !m->heard) {
        if (m->session && learn_session(m, answer, now))
            return;
        m->session = 0; /* not the one that we were told: it is asked for */
    }
    /* Whatever it may hold waits for it: the second question follows at once. */
    if (m->probes == 1 && status != 200)
        m->next_probe = lmn_time_add(now, 0.2);
    if (status != 200 || lmn_cbor_parse(&d, answer->data, answer->len) != 0)
        return;
    /* Written after the worker had taken our term: whatever a predecessor sends comes too
     * late. Its lease was renewed before now, if by anyone else. */
    if (!lmn_heartbeat_parse(&r, &d) && r.token == term && !strcmp(r.name, m->name) &&
        !(m->heard &&
          (r.session < m->session || (r.session == m->session && r.seq <= m->seq)))) {
        if (!m->heard || r.session > m->session)
            m->report_seq = 0;
        m->heard = m->accounted = true;
        m->session = r.session;
        m->seq = r.seq;
        m->last = now;
        if (!m->type)
            m->type = lmn_machine_type_by_name(c, m->type_name);
        lmn_debug("machine-accounted machine=%s term=%" G_GUINT64_FORMAT " by=probe",
                  m->name, term);
        lmn_heartbeat_apply_tasks(c, m, &d, r.tasks, now);
        /* What we were told may be there, and is not, will not be: a command that is
         * still on its way is of an older term. */
        for (guint i = m->attempts->len; i-- > 0;)
            if (g_array_index(m->attempts, struct lmn_attempt, i).told)
                lmn_attempt_vanished(c, m, i, now);
        lmn_machine_mark_unreplicated(m);
        lmn_partition_check_ready(c, p, now);
        /* Its lane looks there next, on the connection that it has. */
        if (p->warm)
            lmn_machine_wake(m);
    }
    lmn_cbor_free(&d);
}

/* Asks a machine of a partition just taken over what it holds: first for its session, if
 * that is not known (0), then, by a direct message without commands, for a report under
 * the new term. */
static int probe(struct lmn_http_client *h, uint64_t term, uint64_t session,
                 GByteArray *body, GByteArray *answer)
{
    struct lmn_cbor_document d;

    if (!session) {
        int status = lmn_http_client_call(h, "GET", WIRE_PATH_SHOW, NULL, 1.0, answer);
        if (!term)
            return status;
        if (status != 200 || lmn_cbor_parse(&d, answer->data, answer->len) != 0)
            return status == 200 ? LMN_HTTP_NO_RESPONSE : status;
        lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_AGENT_INCARNATION),
                          &session);
        lmn_cbor_free(&d);
    }
    g_byte_array_set_size(body, 0);
    lmn_cbor_put_map(body, 3);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, term);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(body, session);
    lmn_cbor_put_text(body, WIRE_COMMANDS), lmn_cbor_put_array(body, 0);
    return lmn_http_client_call(h, "POST", WIRE_PATH_COMMANDS, body, 1.0, answer);
}

/* Tells tasks that have to make room to stop; if that gets lost, the next report's answer
 * says it again. */
static guint stop_some(struct lmn_core *c, struct lmn_machine *m, GByteArray *out)
{
    guint n = 0;

    for (guint i = 0; i < m->attempts->len; i++) {
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (!a->stop || a->killed || a->state == LMN_ATTEMPT_ENDED || !a->range)
            continue;
        lmn_append_command(out, WIRE_KILL, a, a->grace);
        a->killed = true;
        c->count.kills++;
        n++;
    }
    return n;
}

bool lmn_worker_client_next_push(struct lmn_core *c, unsigned lane, unsigned lanes,
                                 char *name, char *addr, GByteArray *body,
                                 struct timespec now)
{
    for (int i = 0; i < c->nparts; i++) {
        GPtrArray *poked = c->parts[i].poked;
        if (!c->parts[i].mine)
            continue;
        for (guint at = poked->len; at-- > 0;) {
            struct lmn_machine *m = at < poked->len ? poked->pdata[at] : NULL;
            if (!m || m->in_call || g_str_hash(m->name) % lanes != lane)
                continue;
            lmn_machine_cancel_wake(m);
            if (!m->accounted || m->lapsed || m->unheeded ||
                lmn_time_diff_s(now, m->last) > 0.6 * c->cfg->lease_s)
                continue;
            GByteArray *commands = g_byte_array_new();
            guint n = stop_some(c, m, commands);
            guint before = m->attempts->len;
            /* Behind the fence no worker is answered, and nothing starts either. */
            if (!lmn_watch_cache_is_too_stale(c, now))
                n += lmn_schedule_machine(c, m, commands, now);
            if (n) {
                for (guint k = before; k < m->attempts->len; k++)
                    g_array_index(m->attempts, struct lmn_attempt, k).direct = true;
                m->in_call = true;
                m->idle = (struct timespec){0, 0};
                g_strlcpy(name, m->name, LMN_NAME_SIZE);
                g_strlcpy(addr, m->addr, LMN_ADDRESS_SIZE);
                g_byte_array_set_size(body, 0);
                lmn_cbor_put_map(body, 3);
                lmn_cbor_put_text(body, WIRE_FENCING_TOKEN),
                    lmn_cbor_put_uint(body, c->parts[i].my_term);
                lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
                    lmn_cbor_put_uint(body, m->session);
                lmn_cbor_put_text(body, WIRE_COMMANDS), lmn_cbor_put_array(body, n);
                g_byte_array_append(body, commands->data, commands->len);
            }
            g_byte_array_unref(commands);
            if (n)
                return true;
        }
    }
    return false;
}

void lmn_worker_client_push_done(struct lmn_core *c, const char *name, int status,
                                 const GByteArray *answer, struct timespec now)
{
    struct lmn_partition *p = &c->parts[lmn_partition_for_machine(name, c->nparts)];
    struct lmn_machine *m = g_hash_table_lookup(p->machines, name);
    struct lmn_cbor_document d;
    struct lmn_heartbeat r;
    bool read = false, newer = false, lost = false;

    if (!m || !m->in_call)
        return; /* the partition was lost meanwhile */
    m->in_call = false;
    if ((status == 200 || status == 409) &&
        lmn_cbor_parse(&d, answer->data, answer->len) == 0) {
        read = !lmn_heartbeat_parse(&r, &d) && r.session == m->session;
        newer = read && r.seq > m->seq;
        if (newer) {
            m->seq = r.seq;
            lmn_heartbeat_apply_tasks(c, m, &d, r.tasks, now);
        }
        lmn_cbor_free(&d);
    }
    for (guint i = m->attempts->len; i-- > 0;) {
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        if (!a->direct)
            continue;
        a->direct = false;
        /* Only the call's own commands are judged by its answer: what a report's answer
         * started may be on its way still. */
        if (status == LMN_HTTP_NOT_SENT || (status == 409 && newer && !a->seen))
            lmn_attempt_vanished(c, m, i, now);
        else if (!read || (status == 200 && newer && !a->seen))
            a->unsure = lost = true;
    }
    /* Its answer may be late; a report that lists what was ordered settles it. */
    if (lost && !read)
        lmn_machine_record_ignored_command(c, m, now);
    /* What made room has ended: the task it was made for goes there at once. */
    if (m->promised && read) {
        lmn_machine_wake(m);
        pthread_cond_broadcast(&c->poked);
    }
}

uint64_t lmn_worker_client_log_position(const struct lmn_core *c, const char *name,
                                        int *part)
{
    *part = lmn_partition_for_machine(name, c->nparts);
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
    struct timespec until = lmn_time_add(lmn_now(), LMN_REPLICATION_DEFER_S);
    double left;

    while (p->mine && p->my_term == term && !lmn_replication_covers(p, mark) &&
           (left = lmn_time_diff_s(until, lmn_now())) > 0)
        lmn_cond_wait_for(&c->told, &c->lock, left);
    bool ok = p->mine && p->my_term == term && lmn_replication_covers(p, mark);
    if (!ok)
        c->count.withheld++;
    return ok;
}

/* The session that we were told, if nobody has said another since. */
static uint64_t told_session(const struct lmn_core *c, const char *name)
{
    const struct lmn_partition *p = &c->parts[lmn_partition_for_machine(name, c->nparts)];
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
        lmn_http_client_free(h);
    }
}

void *lmn_worker_client_thread(void *arg)
{
    struct lmn_worker_client *lane = arg;
    struct lmn_core *c = lane->core;
    GByteArray *body = g_byte_array_new(), *answer = g_byte_array_new();
    GHashTable *clients = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];

    for (;;) {
        uint64_t term = 0, session = 0, mark = 0;
        int part = 0;
        bool probing;
        pthread_mutex_lock(&c->lock);
        for (;;) {
            struct timespec now = lmn_now();
            probing = false;
            if (lmn_worker_client_next_push(c, lane->lane, lane->lanes, name, addr, body,
                                            now))
                break;
            probing = lmn_worker_client_next_probe(c, lane->lane, lane->lanes, name, addr,
                                                   &term, now);
            if (probing)
                break;
            lmn_cond_wait_for(&c->poked, &c->lock, 0.5);
        }
        if (probing)
            session = term ? told_session(c, name) : 0;
        else
            mark = lmn_worker_client_log_position(c, name, &part);
        if (mark && !told(c, part, c->parts[part].my_term, mark)) {
            lmn_worker_client_push_done(c, name, LMN_HTTP_NOT_SENT, NULL, lmn_now());
            pthread_mutex_unlock(&c->lock);
            continue;
        }
        pthread_mutex_unlock(&c->lock);
        struct lmn_http_client *h = g_hash_table_lookup(clients, addr);
        if (!h) {
            /* Connections are kept, but the sockets are the workers' and users' first. */
            if (g_hash_table_size(clients) >= c->sockets.direct / lane->lanes)
                drop_any(clients);
            h = lmn_http_client_new(addr);
            g_hash_table_insert(clients, g_strdup(addr), h);
        }
        int status = probing ? probe(h, term, session, body, answer)
                             : lmn_http_client_call(h, "POST", WIRE_PATH_COMMANDS, body,
                                                    1.5, answer);
        lmn_debug("direct machine=%s probe=%d status=%d", name, probing, status);
        pthread_mutex_lock(&c->lock);
        if (probing)
            lmn_worker_client_probe_done(c, name, term, status, answer, lmn_now());
        else
            lmn_worker_client_push_done(c, name, status, answer, lmn_now());
        pthread_mutex_unlock(&c->lock);
        if (status < 0) {
            g_hash_table_remove(clients, addr);
            lmn_http_client_free(h);
        }
    }
    return NULL;
}
