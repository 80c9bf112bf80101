/* Controllers: the product's own code, and what its threads would do. */
#include "world.h"

#include "scheduler/job_order.h"
#include "scheduler/consolidation.h"
#include "scheduler/preemption.h"
#include "scheduler/quota.h"
#include "scheduler/reservation.h"
#include "scheduler/work_stealing.h"
#include "partition/range_writer.h"
#include "partition/quota_transfer.h"
#include "partition/ownership.h"
#include "partition/shutdown.h"
#include "partition/owner.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "partition/maintenance.h"
#include "replication/replica.h"
#include "state/core.h"
#include "state/watch_cache.h"
#include "state/task_ledger.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

bool node_served(const struct node *n)
{
    return w.now >= n->cut_until;
}

bool node_up(const struct node *n)
{
    return w.now >= n->down_until;
}

static void node_boot(struct node *n, int i)
{
    memset(&n->cfg, 0, sizeof n->cfg);
    g_snprintf(n->cfg.node, sizeof n->cfg.node, "n%02d", i);
    for (int k = 0; k < w.layout.nodes; k++)
        if (k != i)
            g_snprintf(n->cfg.members[n->cfg.nmembers++].name, LMN_NAME_SIZE, "n%02d", k);
    n->cfg.partitions = w.layout.nodes;
    n->cfg.report_s = 1;
    n->cfg.lease_s = w.broken == G_LEASE ? 0.3 * w.lease_s : w.lease_s;
    n->cfg.cancel_s = w.cancel_s;
    n->cfg.state_rps = n->cfg.state_write_rps = 1e6;
    if (plan && plan->writes)
        n->cfg.state_write_rps = plan->writes / STEP_S;
    n->cfg.value_kb = 16;
    n->cfg.txn_ops = 12;
    n->cfg.teams = n->teams;
    n->cfg.nteams = (size_t)w.teams;
    for (int k = 0; k < w.teams; k++) {
        g_strlcpy(n->cfg.teams[k].name, world_team(k), LMN_NAME_SIZE);
        n->cfg.teams[k].cpus_max =
            w.broken == G_QUOTA ? 4 * w.layout.limit : w.layout.limit;
    }
    n->state = lmn_kv_client_new(&n->cfg);
    n->core = lmn_core_new(&n->cfg, n->state, g_rand_int(w.r));
    n->core->types.n = 1;
    n->core->types.v[0] = (struct lmn_machine_type){
        .name = "t", .cpus = 6, .mem = 100, .nzones = 2, .zones = {"a", "b"}};
    n->core->types_known = true;
    n->core->tuning.standby = w.standbys;
    n->waiting = g_ptr_array_new(); /* what waited went with the process */
    n->seen = 0;
    n->lease = 0;
    n->answer = 0;
    n->lives++;
}

/* Whether an answer is there: to which events, and as of when it was asked. */
static bool answered(struct node *n, size_t *upto, double *asked)
{
    *upto = w.log->len;
    *asked = w.now;
    if (w.now >= n->slow_until && !n->answer)
        return true;
    if (!n->answer) {
        n->asked = w.now;
        n->asked_len = w.log->len;
        n->answer = w.now + g_rand_double_range(w.r, 0.3, 2.7);
    }
    if (w.now < n->answer)
        return false;
    *upto = n->asked_len;
    *asked = w.broken == G_SENT ? w.now : n->asked;
    n->answer = 0;
    return true;
}

/* As if nobody had owned the partitions since. */
static void trust_own_copies(struct lmn_core *c)
{
    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *p = &c->parts[i];
        if (p->copy && p->copy->own)
            p->copy->term = p->owner_rev ? p->owner_term - 1 : p->term;
    }
}

static void node_follow(struct node *n)
{
    struct lmn_core *c = n->core;
    size_t upto;
    double asked;

    if (!answered(n, &upto, &asked))
        return;
    struct timespec fresh = lmn_time_add((struct timespec){0, 0}, asked);
    for (; n->seen < upto; n->seen++) {
        const struct event *e = w.log->pdata[n->seen];
        struct lmn_cbor_document d = {0};
        if (e->value)
            assert_int_equal(lmn_cbor_parse(&d, e->value->data, e->value->len), 0);
        lmn_watch_cache_apply(c, e->key, &d, e->value ? lmn_cbor_root(&d) : NULL, e->rev,
                              w.clock);
        if (e->value)
            lmn_cbor_free(&d);
    }
    c->fresh = fresh;
    lmn_members_record_watch(&c->members, fresh);
    if (!c->synced)
        c->synced_at = w.clock;
    c->synced = true;
    if (w.broken == G_OWN_TERM)
        trust_own_copies(c);
    lmn_watch_cache_begin_ownerships(c, w.clock);
}

struct lmn_member_health node_word(const struct node *n)
{
    struct lmn_member_health word = n->core->members.word;
    word.stale_s = n->core->synced ? lmn_time_diff_s(w.clock, n->core->fresh) : 1e6;
    return word;
}

/* A write of the thread that holds the lease; what becomes of it is not always known. */
enum lmn_txn_outcome node_send(struct node *n, struct lmn_txn *t)
{
    enum lmn_txn_outcome r = LMN_TXN_UNKNOWN;
    uint64_t rev;
    double luck = g_rand_double(w.r);

    digest_transaction("sending", w.clock, t);
    digest_number((uint64_t)w.acting);
    if (world_loses(t, luck)) {
        r = world_lose(n, t);
        lmn_txn_free(t);
        return r;
    }
    if (luck < (w.now < w.late_until ? 0.6 : 0.95))
        r = world_commit(t, &rev);
    if (luck > 0.9)
        r = LMN_TXN_UNKNOWN;
    if (luck > 0.97 || (r == LMN_TXN_UNKNOWN && w.now < w.late_until))
        world_late(t);
    lmn_txn_free(t);
    return r;
}

static void node_lease(struct node *n)
{
    if (n->lease && !world_lease_alive(n->lease)) {
        n->lease = n->core->lease = 0;
        for (int i = 0; i < w.layout.nodes; i++)
            if (n->core->parts[i].mine)
                lmn_partition_lose(n->core, &n->core->parts[i], "lease ended");
    }
    if (!n->lease) {
        struct holder h = {++w.next_lease, w.now + 3};
        g_array_append_val(w.leases, h);
        n->lease = n->core->lease = h.id;
    }
    for (guint i = 0; i < w.leases->len; i++)
        if (g_array_index(w.leases, struct holder, i).id == n->lease)
            g_array_index(w.leases, struct holder, i).until = w.now + 3;
}

static void node_announce(struct node *n)
{
    struct lmn_txn *t = lmn_ownership_announce(n->core, n->lease, w.clock);

    if (t && w.broken == G_ANNOUNCE && n->announced == n->lease) {
        lmn_txn_free(t);
        return;
    }
    if (!t)
        return;
    enum lmn_txn_outcome r = node_send(n, t);
    lmn_ownership_announced(n->core, r);
    if (r == LMN_TXN_COMMITTED)
        n->announced = n->lease;
}

static void node_hold(struct node *n)
{
    struct lmn_core *c = n->core;
    struct lmn_txn *t;
    int successor;

    for (int i = 0; i < w.layout.nodes; i++) {
        t = i == c->members.me ? lmn_ownership_refutation(c, n->lease, w.clock)
                               : lmn_ownership_suspicion(c, i, n->lease, w.clock);
        w.refutations += t && i == c->members.me;
        if (t)
            node_send(n, t);
    }
    for (int i = 0; i < w.layout.nodes; i++) {
        uint64_t before = c->members.count.verdicts;
        if ((t = lmn_ownership_claim(c, i, n->lease, w.clock))) {
            bool verdict = c->members.count.verdicts > before;
            bool took = node_send(n, t) == LMN_TXN_COMMITTED;
            w.takeovers += took;
            w.verdicts += took && verdict;
            n->judged[i] = verdict;
        }
        if ((t = lmn_ownership_transfer(c, i, &successor, w.clock))) {
            enum lmn_txn_outcome r = node_send(n, t);
            lmn_ownership_transferred(c, i, r, w.clock);
            w.gives += r == LMN_TXN_COMMITTED;
        }
    }
}

/* Asked to end, it says so, gives everything away, lets its lease go and ends; true then.
 */
static bool node_leave(struct node *n)
{
    struct lmn_core *c = n->core;

    if (!c->leaving)
        return false;
    bool bare = lmn_shutdown_owns_nothing(c);
    if (!bare && !lmn_shutdown_is_complete(c, w.clock))
        return false;
    for (guint i = 0; bare && i < w.leases->len; i++)
        if (g_array_index(w.leases, struct holder, i).id == n->lease)
            g_array_index(w.leases, struct holder, i).until = w.now;
    w.leaves += bare;
    node_crash(n, g_rand_double_range(w.r, 0.2, 6));
    return true;
}

/* How many changes wait to be written. */
static void note_queue(struct node *n)
{
    struct lmn_latency times;

    lmn_latency_init(&times);
    unsigned queued = (unsigned)lmn_kv_client_statistics(n->state, &times);
    lmn_latency_clear(&times);
    w.most_queued = MAX(w.most_queued, queued);
}

static void node_write(struct node *n)
{
    struct lmn_txn *t;

    unsigned most = plan && plan->writes ? plan->writes : ~0u;

    if (plan && plan->writes)
        note_queue(n);
    for (; most && (t = lmn_kv_client_dequeue(n->state)); most--) {
        uint64_t rev = 0;
        w.transactions++;
        w.changes += lmn_txn_operation_count(t);
        enum lmn_txn_outcome r = world_send(n, t, g_rand_double(w.r), &rev);
        lmn_txn_complete(t, r, rev);
    }
}

static void drop_floors(struct lmn_core *c)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_job *j = v;
        j->aged = j->owed = false;
    }
}

static void break_guards(struct node *n)
{
    GHashTableIter it;
    gpointer v;

    for (int i = 0; i < w.layout.nodes; i++) {
        struct lmn_partition *p = &n->core->parts[i];
        if (!p->mine)
            continue;
        g_hash_table_iter_init(&it, p->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_machine *m = v;
            if (w.broken == G_ACCOUNT || (w.broken == G_JUDGED && n->judged[i]))
                m->inherited = false;
            if (w.broken == G_ORDER)
                m->session = m->seq = m->report_seq = 0;
            if (w.broken == G_PLACE)
                m->spot = false;
            if (w.broken == G_SPREAD)
                for (GList *l = g_hash_table_get_values(n->core->jobs); l; l = l->next)
                    ((struct lmn_job *)l->data)->spec.spread =
                        ((struct lmn_job *)l->data)->spec.one_zone = false;
            for (guint k = 0; k < m->attempts->len; k++) {
                struct lmn_attempt *a =
                    &g_array_index(m->attempts, struct lmn_attempt, k);
                if (w.broken == G_COUNTED && a->job && !lmn_job_may_run(n->core, a->job))
                    lmn_attempt_uncount(m, a);
                if (w.broken == G_UNSURE)
                    a->unsure = a->direct = false;
                if (w.broken == G_DONE && a->state == LMN_ATTEMPT_RUNNING && a->range &&
                    a->range->st)
                    lmn_task_finished(a->range, a->index, w.clock);
            }
        }
        if (w.broken == G_ONE_WRITE) {
            g_hash_table_iter_init(&it, p->ranges);
            while (g_hash_table_iter_next(&it, NULL, &v))
                ((struct lmn_range *)v)->writing = false;
            g_hash_table_iter_init(&it, n->core->jobs);
            while (g_hash_table_iter_next(&it, NULL, &v))
                ((struct lmn_job *)v)->closing = 0;
        }
        lmn_partition_check_ready(n->core, p, w.clock);
    }
    if (w.broken == G_FENCE)
        n->core->fresh = w.clock;
}

/* A machine that no record names yet passes for recorded, but not where its record is
 * written. */
static void pass_for_recorded(struct node *n, bool pass)
{
    static const uint64_t pretended = G_MAXUINT64;

    for (int i = 0; i < w.layout.nodes && w.broken == G_RECORDED; i++) {
        const GPtrArray *list = n->core->parts[i].list;
        for (guint k = 0; k < list->len; k++) {
            struct lmn_machine *m = list->pdata[k];
            if (pass && !m->rev && n->core->parts[i].mine)
                m->rev = pretended;
            else if (!pass && m->rev == pretended)
                m->rev = 0;
        }
    }
}

static uint32_t steal_from(int victim, const struct lmn_steal_request *t)
{
    uint32_t got = 0;

    for (int k = 0; k < w.layout.nodes && !got; k++) {
        struct node *o = &w.nodes[k];
        if (node_up(o) && o->core && o->core->parts[victim].mine &&
            lmn_victim_load(o->core, &o->core->parts[victim], t))
            got = lmn_victim_transfer(o->core, &o->core->parts[victim], t, w.clock);
    }
    digest_message("theft", w.clock);
    digest_number((uint64_t)t->part);
    digest_number((uint64_t)victim);
    digest_number(got);
    return got;
}

/* Steals between partitions, wherever their owners are. */
static void node_steal(struct node *n)
{
    for (int i = 0; i < w.layout.nodes; i++) {
        struct lmn_steal_request t;
        uint32_t got = 0;
        lmn_steal_request_init(&t, &n->cfg);
        if (!lmn_steal_request_fill(n->core, &n->core->parts[i], &t, w.clock)) {
            lmn_steal_request_clear(&t);
            continue;
        }
        /* A sample of the others; while faults go on, one. */
        int sample = w.calm ? (int)ceil(2 * sqrt(w.layout.nodes)) : 1;
        while (sample-- > 0 && !got)
            got = steal_from(g_rand_int_range(w.r, 0, w.layout.nodes), &t);
        lmn_steal_record_result(n->core, &n->core->parts[i], got, w.clock);
        lmn_steal_request_clear(&t);
        w.steals += got;
    }
}

static bool ask_for_limit(struct node *o, int victim, int part,
                          const struct lmn_quota_request *want)
{
    bool given =
        lmn_quota_request_handle(o->core, &o->core->parts[victim], part, want, w.clock);

    digest_message("limit", w.clock);
    digest_number((uint64_t)victim);
    digest_number((uint64_t)part);
    digest_number((uint64_t)want->team);
    digest_real(want->cpus);
    digest_real(want->gpus);
    digest_real(want->least_cpus);
    digest_real(want->least_gpus);
    digest_number(given);
    return given;
}

/* A partition that is short of a team's limit asks the others, as controller/rpc_server.c
 * does. */
static void seek_limits(struct node *n, int part)
{
    struct lmn_partition *p = &n->core->parts[part];
    bool any = false, got = false;

    for (int team = 0; team < w.teams && !lmn_time_before(w.clock, p->next_quota);
         team++) {
        struct lmn_quota_request want;
        if (!lmn_quota_shortfall(n->core, p, team, &want))
            continue;
        any = true;
        int first = g_rand_int_range(w.r, 0, w.layout.nodes);
        for (int i = 0; i < w.layout.nodes * w.layout.nodes; i++) {
            struct node *o = &w.nodes[i % w.layout.nodes];
            int victim = (first + i / w.layout.nodes) % w.layout.nodes;
            if (victim != part && node_talks(n, o) && o->core->parts[victim].mine)
                got |= ask_for_limit(o, victim, part, &want);
        }
    }
    if (!any)
        return;
    p->quota_poll_s = got ? 0.5 : CLAMP(p->quota_poll_s * 2, 0.5, 8);
    p->next_quota = lmn_time_add(w.clock, p->quota_poll_s);
}

/* Parts of the team's limit go to and fro, whatever is under way; on days of several
 * teams, only as owners want them to. */
static void node_quota(struct node *n)
{
    for (int i = 0; i < w.layout.nodes; i++) {
        if (plan || w.calm)
            seek_limits(n, i);
        if (w.teams == 1 && (plan || !w.calm) && world_chance(0.02))
            lmn_quota_transfer_begin(n->core, &n->core->parts[i], 0,
                                     g_rand_int_range(w.r, 0, w.layout.nodes),
                                     g_rand_double_range(w.r, 0, w.layout.limit), 0);
    }
}

/* The cloud: machines that owners want to be rid of are gone, and come back as new ones.
 */
static void node_cloud(struct node *n)
{
    if (w.now < w.cloud_down_until)
        return;
    for (int i = 0; i < w.layout.nodes; i++) {
        struct lmn_partition *p = &n->core->parts[i];
        if (!p->mine)
            continue;
        GList *all = g_hash_table_get_values(p->machines);
        for (GList *l = all; l; l = l->next) {
            struct lmn_machine *m = l->data;
            if (!m->retiring || m->is_gone || !(m->force || lmn_machine_is_empty(m)))
                continue;
            struct machine *x = machine_named(m->name);
            if (x) {
                x->dead = true;
                x->ntasks = 0;
            }
            digest_message("removal", w.clock);
            digest_text(m->name);
            lmn_machine_terminated(n->core, m, w.clock);
        }
        g_list_free(all);
    }
}

void node_crash(struct node *n, double down_s)
{
    w.preempted += (unsigned)n->core->count.preempted;
    w.warm += (unsigned)n->core->count.warm;
    n->core = NULL; /* left behind: nothing of it is ever used again */
    n->down_until = w.now + down_s;
}

void node_step(struct node *n, int i)
{
    w.acting = i;
    if (!node_up(n))
        return;
    if (n->ends) {
        n->ends = false;
        if (n->core)
            node_crash(n, g_rand_double_range(w.r, 0.2, 5));
        return;
    }
    if (!n->core)
        node_boot(n, i);
    if (w.now < n->still_until)
        return;
    pass_for_recorded(n, false);
    if (world_trouble(w.flapping ? 0.004 : 0.001))
        n->still_until = w.now + g_rand_double_range(w.r, 0.5, 12);
    if (world_trouble(w.flapping ? 0.004 : 0.0007))
        n->deaf_until = w.now + g_rand_double_range(w.r, 5, 40);
    if (world_trouble(w.flapping ? 0.004 : 0.0007))
        n->mute_until = w.now + g_rand_double_range(w.r, 2, 20);
    if (world_trouble(0.0012)) { /* a crash: memory is gone, its lease runs on */
        node_crash(n, g_rand_double_range(w.r, 1, 6));
        return;
    }
    /* A successor's return of a machine ends what the fence guards against: it is tried
     * on days of many long cuts in which the cloud can't be reached either. */
    bool fence = w.broken == G_FENCE;
    if (world_trouble(fence ? 0.004 : 0.001)) {
        n->cut_until = w.now + g_rand_double_range(w.r, fence ? 20 : 1, 40);
        if (fence)
            w.cloud_down_until = n->cut_until;
        /* Often with its workers: a zone by itself. */
        for (int k = 0; k < w.layout.machines; k++)
            if (w.machines[k].node == i && world_chance(0.7)) {
                w.machines[k].island = i;
                w.machines[k].island_until = n->cut_until;
            }
        /* Then the machines of other zones may be silent to it, and alive elsewhere. */
        if (world_chance(0.5))
            n->zone_until = n->cut_until;
    }
    bool cut = !node_served(n);
    if (!cut) {
        node_lease(n);
        if (world_chance(0.7))
            node_follow(n);
    }
    node_ask(n, i);
    if (!cut)
        node_announce(n);
    if (!cut && n->core->synced)
        node_hold(n);
    if (w.standbys && world_trouble(0.0015))
        lmn_shutdown_begin(n->core, w.clock);
    if (!cut && node_leave(n))
        return;
    if (w.broken)
        break_guards(n);
    pass_for_recorded(n, true);
    double wall = w.now;
    lmn_update_job_order(n->core, wall);
    if (w.broken == G_FLOORS)
        drop_floors(n->core);
    for (int i = 0; i < n->core->nparts && n->core->triaged == n->core->wall; i++)
        lmn_update_reservations(n->core, &n->core->parts[i], w.clock);
    lmn_maintenance_run(n->core, w.clock);
    for (int k = 0; k < w.layout.nodes && w.broken == G_UNHEARD; k++) {
        n->core->parts[k].unheard_cpus = n->core->parts[k].unheard_gpus = 0;
        n->core->parts[k].unheard_unknown = false;
    }
    for (int k = 0; k < w.layout.nodes; k++) {
        lmn_preempt_for_production(n->core, &n->core->parts[k], w.clock);
        lmn_consolidate_replicas(n->core, &n->core->parts[k], w.clock);
    }
    pass_for_recorded(n, false);
    lmn_range_writer_flush(n->core, w.clock);
    pass_for_recorded(n, true);
    if (!cut)
        node_write(n);
    else
        for (struct lmn_txn *t; (t = lmn_kv_client_dequeue(n->state));) {
            digest_transaction("refusal", w.clock, t);
            lmn_txn_complete(t, LMN_TXN_REJECTED, 0);
        }
    node_tell(n, i, cut);
    node_release(n);
    node_direct(n);
    node_steal(n);
    node_quota(n);
    node_cloud(n);
}
