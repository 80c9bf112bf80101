/* Queues: order, dealing, stealing. */
#include "base/clock.h"
#include "base/codec.h"
#include "base/job.h"
#include "base/settings.h"
#include "decide/floor.h"
#include "decide/order.h"
#include "decide/pack.h"
#include "decide/preempt.h"
#include "decide/reserve.h"
#include "decide/queue.h"
#include "own/owner.h"
#include "own/range.h"
#include "state/owner_state.h"
#include "state/mirror.h"
#include "state/model.h"
#include "state/records.h"
#include "state/state.h"
#include "peer_wire.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

enum { MACHINES = 9, JOBS = 12 };

static struct lmn_team team[1];
static struct lmn_settings cfg;
static struct lmn_core *core;
static struct lmn_job jobs[JOBS];
static struct timespec now = {1000, 0};

static void make(uint32_t seed)
{
    GRand *r = g_rand_new_with_seed(seed);

    memset(&cfg, 0, sizeof cfg);
    memset(team, 0, sizeof team);
    cfg.partitions = 1;
    cfg.state_rps = cfg.state_write_rps = 1000;
    cfg.txn_ops = 12;
    cfg.lease_s = 10;
    cfg.teams = team;
    cfg.nteams = 1;
    g_strlcpy(cfg.teams[0].name, "t", LMN_NAME);
    core = lmn_core_new(&cfg, lmn_state_new(&cfg), seed);
    core->types.n = 1;
    core->types.v[0] = (struct lmn_type){.name = "x", .cpus = 8, .mem = 64};
    struct lmn_partition *p = &core->parts[0];
    p->mine = p->ready = p->open = true;
    p->my_term = 1;
    for (int i = 0; i < MACHINES; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        struct lmn_machine *m = lmn_machine_new(p, name);
        m->type = &core->types.v[0];
        g_strlcpy(m->zone, i % 2 ? "a" : "b", sizeof m->zone);
        m->spot = i % 3 == 0;
        m->rev = 1;
        m->heard = m->accounted = true;
    }
    for (int i = 0; i < JOBS; i++) {
        struct lmn_job *j = &jobs[i];
        struct lmn_range *range = g_new0(struct lmn_range, 1);
        memset(j, 0, sizeof *j);
        g_snprintf(j->spec.ref, sizeof j->spec.ref, "run-%06d", i);
        j->spec.team = (char *)"t";
        j->spec.image = (char *)"i";
        j->image = g_intern_string("i");
        j->spec.class_name = (char *)"c";
        j->spec.zone = i % 4 == 1 ? (char *)"a" : NULL;
        j->spec.spot = i % 2;
        j->spec.urgency = (enum lmn_urgency)(i % 4);
        j->spec.tasks = 1 + (uint32_t)g_rand_int_range(r, 0, 40);
        j->spec.cpus = 1 + i % 4;
        j->spec.deadline_s = -1;
        j->at = i;
        j->latest = g_rand_int_range(r, 0, 5);
        j->lost = i % 5 == 0;
        j->ranges = g_ptr_array_new();
        range->job = j;
        range->part = p;
        range->hi = j->spec.tasks;
        range->key = g_strdup(j->spec.ref);
        range->done = g_malloc0(16);
        g_hash_table_insert(p->ranges, range->key, range);
        g_ptr_array_add(j->ranges, range);
        lmn_range_open(core, range);
        range->dealt = true;
    }
    g_rand_free(r);
}

static void count_queue(const struct lmn_queue *q, unsigned seen[JOBS][64])
{
    uint32_t n = 0;
    for (guint i = 0; i < q->segs->len; i++) {
        const struct lmn_seg *s = q->segs->pdata[i];
        for (uint32_t k = s->lo; k < s->hi; k++)
            seen[s->range->job - jobs][k]++;
        n += s->hi - s->lo;
    }
    assert_int_equal(n, q->tasks);
}

/* Every task is in one queue, or on one machine, and never in two. */
static void check_all(void)
{
    unsigned seen[JOBS][64] = {{0}};
    GHashTableIter it;
    gpointer v;

    /* The list that samples are drawn from holds each machine once, at its place. */
    const GPtrArray *list = core->parts[0].list;
    assert_int_equal(list->len, g_hash_table_size(core->parts[0].machines));
    for (guint i = 0; i < list->len; i++)
        assert_int_equal(((struct lmn_machine *)list->pdata[i])->at, i);
    count_queue(&core->parts[0].unplaced, seen);
    g_hash_table_iter_init(&it, core->parts[0].machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *m = v;
        double cpus = 0;
        count_queue(&m->queue, seen);
        for (guint i = 0; i < m->attempts->len; i++) {
            const struct lmn_attempt *a =
                &g_array_index(m->attempts, struct lmn_attempt, i);
            seen[a->job - jobs][a->index]++;
            cpus += a->job->spec.cpus;
            assert_true(lmn_spec_allows(&a->job->spec, m->type, m->zone, m->spot));
        }
        assert_true(fabs(cpus - m->used_cpus) < 1e-6);
        assert_true(cpus <= m->type->cpus + 1e-6);
    }
    for (int i = 0; i < JOBS; i++)
        for (uint32_t k = 0; k < jobs[i].spec.tasks; k++)
            assert_int_equal(seen[i][k], 1);
}

static struct lmn_machine *some_machine(GRand *r)
{
    char name[16];
    g_snprintf(name, sizeof name, "m-%d", g_rand_int_range(r, 0, MACHINES));
    return g_hash_table_lookup(core->parts[0].machines, name);
}

static void never_loses_or_doubles_a_task(void **state)
{
    (void)state;

    for (uint32_t seed = 1; seed <= 25; seed++) {
        GRand *r = g_rand_new_with_seed(seed);
        make(seed);
        for (int i = 0; i < JOBS; i++)
            lmn_deal(core, jobs[i].ranges->pdata[0], 0, jobs[i].spec.tasks, now);
        check_all();
        for (int step = 0; step < 120; step++) {
            struct lmn_machine *m = some_machine(r);
            GByteArray *out = g_byte_array_new();
            now = lmn_after(now, 0.3);
            switch (g_rand_int_range(r, 0, 6)) {
            case 0:
                lmn_steal(core, m, now);
                break;
            case 1:
                lmn_machine_empty(core, m, "test", now);
                break;
            case 2:
                m->noticed = !m->noticed;
                lmn_redeal_machine(core, m, now);
                break;
            default:
                lmn_schedule(core, m, out, now);
            }
            g_byte_array_unref(out);
            check_all();
        }
        assert_true(core->count.starts > 0 && core->count.steals > 0);
        g_rand_free(r);
    }
}

/* The order is total: what goes before, goes before whatever comes between. */
static void order_is_total(void **state)
{
    (void)state;
    make(77);
    for (int a = 0; a < JOBS; a++) {
        jobs[a].owed = a % 3 == 1;
        jobs[a].lost = a % 4 == 2;
        jobs[a].guaranteed = a % 5 == 0;
    }
    for (int a = 0; a < JOBS; a++)
        for (int b = 0; b < JOBS; b++) {
            int ab = lmn_job_order(&jobs[a], &jobs[b]),
                ba = lmn_job_order(&jobs[b], &jobs[a]);
            assert_int_equal(ab<0, ba> 0);
            assert_int_equal(ab == 0, a == b);
            for (int c = 0; c < JOBS; c++)
                if (ab < 0 && lmn_job_order(&jobs[b], &jobs[c]) < 0)
                    assert_true(lmn_job_order(&jobs[a], &jobs[c]) < 0);
        }
}

/* A quarter of an even part of what is in use, over those with work waiting. */
static void floors(void **state)
{
    struct lmn_floor f = {.used = 12, .waiting = 1};
    (void)state;

    assert_true(lmn_floor_owed(&f, 100, 2));  /* of 12.5 */
    assert_false(lmn_floor_owed(&f, 100, 3)); /* of 8.3 */
    assert_false(lmn_floor_owed(&f, 100, 1)); /* nobody else waits */
    f.used = 13;
    assert_false(lmn_floor_owed(&f, 100, 2));
    f.used = 0;
    assert_true(lmn_floor_owed(&f, 1, 50));
    f.waiting = 0;
    assert_false(lmn_floor_owed(&f, 100, 2));
}

/* Twenty tasks of an urgent class came before one of a lesser one, and more come with
 * each that ends: without the floor the lesser would never start. */
static void the_lesser_class_gets_its_floor(void **state)
{
    struct lmn_job high = {.spec = {.urgency = LMN_HIGH}, .latest = 10},
                   low = {.spec = {.urgency = LMN_NORMAL}, .lost = true};
    struct lmn_job prod = {.spec = {.urgency = LMN_PROD}, .latest = 99};
    (void)state;

    g_strlcpy(high.spec.ref, "run-000001", LMN_REF);
    g_strlcpy(low.spec.ref, "run-000002", LMN_REF);
    g_strlcpy(prod.spec.ref, "run-000003", LMN_REF);
    assert_true(lmn_job_order(&high, &low) < 0);
    low.owed = true;
    assert_true(lmn_job_order(&low, &high) < 0);
    assert_true(lmn_job_order(&prod, &low) < 0);
    high.guaranteed = true;
    assert_true(lmn_job_order(&high, &low) < 0);
}

static guint started_of(const struct lmn_job *j, bool spot)
{
    GHashTableIter it;
    gpointer v;
    guint n = 0;

    g_hash_table_iter_init(&it, core->parts[0].machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *m = v;
        for (guint i = 0; m->spot == spot && i < m->attempts->len; i++)
            n += g_array_index(m->attempts, struct lmn_attempt, i).job == j;
    }
    return n;
}

/* Every machine is asked what it starts, until none starts anything. */
static void start_all(void)
{
    GHashTableIter it;
    gpointer v;
    GByteArray *out = g_byte_array_new();
    guint n;

    do {
        n = 0;
        g_hash_table_iter_init(&it, core->parts[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            ((struct lmn_machine *)v)->next_steal = now;
            n += lmn_schedule(core, v, out, now);
        }
    } while (n);
    g_byte_array_unref(out);
}

/* The tasks of one job alone wait; it is of the given urgency, and may use cheap
 * machines. */
static struct lmn_job *alone(enum lmn_urgency urgency, double estimate)
{
    struct lmn_job *j = &jobs[0];

    make(3);
    core->types.v[0].rate = 3;
    core->types.v[0].spot_rate = 1;
    for (int i = 1; i < JOBS; i++)
        jobs[i].phase = LMN_FINISHED;
    j->spec.kind = LMN_BATCH;
    j->spec.urgency = urgency;
    j->spec.estimate_s = estimate;
    j->spec.spot = true;
    j->spec.zone = NULL;
    j->spec.cpus = 8;
    lmn_deal_range(core, j->ranges->pdata[0], now);
    return j;
}

/* Found when long idle work sat on ordinary machines, at three times the price, for
 * minutes after all else was done. Short work fills their gaps; all of it runs there if
 * no others are. */
static void idle_work_keeps_to_cheap_machines(void **state)
{
    (void)state;
    for (int k = 0; k < 5; k++) {
        struct lmn_job *j = alone(k == 1 ? LMN_NORMAL : LMN_IDLE, k == 2 ? 10 : 300);
        GHashTableIter it;
        gpointer v;
        jobs[0].spec.tasks = 40;
        g_hash_table_iter_init(&it, core->parts[0].machines);
        while (k == 3 && g_hash_table_iter_next(&it, NULL, &v))
            ((struct lmn_machine *)v)->spot = false;
        /* An archive that was expected within minutes missed it. */
        if (k == 4) {
            cfg.nobjectives = 1;
            cfg.objectives[0] = (struct lmn_objective){LMN_FINISH, "c", 180, 1, 1};
        }
        lmn_ages(core, j->at);
        start_all();
        assert_int_equal(started_of(j, true) > 0, k != 3);
        assert_int_equal(started_of(j, false) > 0, k != 0);
    }
}

/* Two of a class's six jobs took its floor, and the other four waited for six minutes:
 * the first task of one that has waited goes first, and no more of it. */
static void the_aged_begin(void **state)
{
    struct lmn_job *old, *urgent;
    (void)state;

    make(5);
    for (int i = 0; i < JOBS; i++)
        jobs[i].phase = i < 2 ? LMN_ACTIVE : LMN_FINISHED;
    old = &jobs[0];
    urgent = &jobs[1];
    for (int i = 0; i < 2; i++) {
        struct lmn_range *r = jobs[i].ranges->pdata[0];
        jobs[i].spec.cpus = 8;
        jobs[i].spec.zone = NULL;
        jobs[i].spec.spot = true;
        jobs[i].spec.tasks = r->hi = 30;
        lmn_range_open(core, r);
        r->dealt = true;
    }
    old->spec.urgency = LMN_NORMAL;
    urgent->spec.urgency = LMN_HIGH;
    old->lost = urgent->lost = false;
    lmn_deal_range(core, urgent->ranges->pdata[0], now);
    lmn_deal_range(core, old->ranges->pdata[0], now);
    lmn_ages(core, old->at + 50);
    assert_false(old->aged);
    lmn_ages(core, old->at + 61);
    assert_true(old->aged && lmn_job_order(old, urgent) < 0);
    urgent->aged = false;
    start_all();
    assert_int_equal(started_of(old, true) + started_of(old, false), 1);
    lmn_ages(core, old->at + 100);
    assert_false(old->aged);
}

/* One task of a job that needs a whole machine, while small ones keep coming and fill
 * every piece of room as it becomes free: it once waited for as long as they came. With
 * `limit`, the pieces are those of their team's limit. Returns after how many seconds it
 * began; 600: never. */
static int wait_among_small(bool limit)
{
    GByteArray *out = g_byte_array_new();
    struct lmn_partition *p;
    struct lmn_job *small = &jobs[1], *large = &jobs[0];
    int t = 0;

    make(11);
    now = (struct timespec){1000, 0};
    p = &core->parts[0];
    cfg.teams[0].cpus_max = limit ? 24 : 0;
    for (int i = 0; i < JOBS; i++)
        jobs[i].phase = i < 2 ? LMN_ACTIVE : LMN_FINISHED;
    for (int i = 0; i < 2; i++) {
        struct lmn_range *r = jobs[i].ranges->pdata[0];
        jobs[i].spec.zone = NULL;
        jobs[i].spec.spot = true;
        jobs[i].spec.urgency = i ? LMN_HIGH : LMN_NORMAL;
        jobs[i].spec.cpus = i ? 1 : 8;
        jobs[i].spec.tasks = r->hi = i ? 3000 : 1;
        jobs[i].lost = false;
        jobs[i].at = 0;
        g_free(r->done);
        r->done = g_malloc0(3000 / 8);
        lmn_range_open(core, r);
        r->dealt = true;
    }
    lmn_deal_range(core, small->ranges->pdata[0], now);
    lmn_deal_range(core, large->ranges->pdata[0], now);
    for (; t < 600 && !started_of(large, true) && !started_of(large, false); t++) {
        now = lmn_after(now, 1);
        core->wall = t;
        lmn_ages(core, t);
        lmn_reserve(core, p, now);
        for (guint k = 0; k < p->list->len; k++) {
            struct lmn_machine *m = p->list->pdata[k];
            /* A tenth of the small tasks end each second, one after the other. */
            for (guint i = m->attempts->len; i-- > 0;) {
                struct lmn_attempt *a =
                    &g_array_index(m->attempts, struct lmn_attempt, i);
                if (a->job != small || g_rand_int_range(core->rng, 0, 10))
                    continue;
                lmn_attempt_uncount(m, a);
                lmn_task_finished(a->range, a->index, now);
                g_array_remove_index_fast(m->attempts, i);
                m->next_steal = now;
                lmn_schedule(core, m, out, now);
            }
            m->next_steal = now;
            lmn_schedule(core, m, out, now);
        }
    }
    g_byte_array_unref(out);
    return t;
}

static void large_tasks_find_room_among_small_ones(void **state)
{
    (void)state;
    assert_in_range(wait_among_small(false), 120, 200);
    assert_in_range(wait_among_small(true), 120, 240);
    assert_int_equal(core->parts[0].keep[0].job != NULL, true);
    /* And what was kept is given up once it has begun. */
    lmn_ages(core, 601);
    lmn_reserve(core, &core->parts[0], now);
    assert_null(core->parts[0].keep[0].job);
    for (guint k = 0; k < core->parts[0].list->len; k++)
        assert_null(((struct lmn_machine *)core->parts[0].list->pdata[k])->kept);
}

/* A job that fails wherever it starts stands in unplaced, out of the machines' queues,
 * and is tried with one task at a time; one success brings all of it back. */
static void the_accused_are_set_aside(void **state)
{
    struct lmn_job *j = alone(LMN_HIGH, 10);
    struct lmn_range *r = j->ranges->pdata[0];
    (void)state;

    j->spec.cpus = 1;
    for (guint m = 1; m <= 3; m++)
        lmn_job_failed(&j->failures, m, now, now);
    lmn_job_redeal(core, j, now);
    assert_int_equal(core->parts[0].unplaced.tasks, r->hi);
    start_all();
    assert_int_equal(r->nstarted, 0);
    now = lmn_after(j->failures.hold, 0.1);
    start_all();
    assert_int_equal(r->nstarted, 1);
    lmn_job_succeeded(&j->failures);
    lmn_job_redeal(core, j, now);
    start_all();
    assert_true(r->nstarted == MIN(r->hi, 8 * MACHINES));
}

/* What can be in time goes before what can't, whatever the urgency; and a job's next
 * expectation takes the place of one that is past. */
static void expectations(void **state)
{
    struct lmn_settings s = {.nobjectives = 3};
    struct lmn_job j = {
        .spec = {.class_name = (char *)"c", .estimate_s = 10, .deadline_s = -1},
        .at = 100};
    (void)state;

    s.objectives[0] = (struct lmn_objective){LMN_WAIT, "c", 20, 1, 1};
    s.objectives[1] = (struct lmn_objective){LMN_FINISH, "c", 60, 1, 1};
    s.objectives[2] = (struct lmn_objective){LMN_WAIT, "other", 1, 1, 1};
    lmn_job_rank(&s, &j, 110);
    assert_true(!j.lost && j.latest == 120);
    lmn_job_rank(&s, &j, 121);
    assert_true(!j.lost && j.latest == 155);
    lmn_job_rank(&s, &j, 156);
    assert_true(j.lost);
    j.spec.class_name = (char *)"unheard-of";
    lmn_job_rank(&s, &j, 156);
    assert_true(!j.lost && isinf(j.latest));
}

/* The interval doubles with each failure up to its cap, and new work resets it. */
static void interval_doubles(void **state)
{
    (void)state;
    make(5);
    struct lmn_machine *m = g_hash_table_lookup(core->parts[0].machines, "m-1");
    double last = 0;

    for (int i = 0; i < 20; i++) {
        now = m->next_steal.tv_sec ? lmn_after(m->next_steal, 0.01) : now;
        assert_false(lmn_steal(core, m, now));
        assert_true(last == 0 || m->poll_s == fmin(last * 2, core->tuning.poll_cap_s));
        last = m->poll_s;
    }
    assert_true(last == core->tuning.poll_cap_s);
    lmn_deal(core, jobs[2].ranges->pdata[0], 0, jobs[2].spec.tasks, now);
    struct lmn_machine *dealt = NULL;
    for (int i = 0; i < MACHINES && !dealt; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        struct lmn_machine *o = g_hash_table_lookup(core->parts[0].machines, name);
        if (o->queue.tasks)
            dealt = o;
    }
    assert_non_null(dealt);
    assert_true(dealt->poll_s == 0);
}

/* Messages between processes: as they went in, and hostile bytes without a crash. */
static void xdr(void **state)
{
    GRand *r = g_rand_new_with_seed(9);
    (void)state;

    for (int i = 0; i < 500; i++) {
        char bytes[4096];
        struct lmn_xroom rooms[5];
        struct lmn_xteam teams[3];
        struct lmn_xthief q = {1,
                               2,
                               {(u_int)g_rand_int_range(r, 0, 6), rooms},
                               {3, teams}},
                          back;
        XDR x;
        for (int k = 0; k < 5; k++)
            rooms[k] = (struct lmn_xroom){
                (char *)"type", (char *)"zone", k % 2, g_rand_double(r), 0, 1};
        for (int k = 0; k < 3; k++)
            teams[k] = (struct lmn_xteam){(char *)"team", k, g_rand_double(r)};
        xdrmem_create(&x, bytes, sizeof bytes, XDR_ENCODE);
        assert_true(xdr_lmn_xthief(&x, &q));
        u_int len = xdr_getpos(&x);
        memset(&back, 0, sizeof back);
        xdrmem_create(&x, bytes, len, XDR_DECODE);
        assert_true(xdr_lmn_xthief(&x, &back));
        assert_int_equal(back.rooms.rooms_len, q.rooms.rooms_len);
        for (u_int k = 0; k < q.rooms.rooms_len; k++)
            assert_true(back.rooms.rooms_val[k].cpus == rooms[k].cpus);
        xdr_free((xdrproc_t)xdr_lmn_xthief, (char *)&back);
        bytes[g_rand_int_range(r, 0, (gint32)len)] ^=
            (char)(1 + g_rand_int_range(r, 0, 255));
        memset(&back, 0, sizeof back);
        xdrmem_create(&x, bytes, (u_int)g_rand_int_range(r, 0, (gint32)len + 1),
                      XDR_DECODE);
        xdr_lmn_xthief(&x, &back);
        xdr_free((xdrproc_t)xdr_lmn_xthief, (char *)&back);
    }
    g_rand_free(r);
}

/* A steal names what each team may still use: all teams of a large site, too. */
static void steal_names_every_team(void **state)
{
    enum { TEAMS = 110 };
    static char bytes[16384];
    struct lmn_xteam teams[TEAMS];
    struct lmn_xthief q = {.teams = {TEAMS, teams}}, back = {0};
    XDR x;
    (void)state;

    for (int k = 0; k < TEAMS; k++)
        teams[k] = (struct lmn_xteam){(char *)"team", k, 0};
    xdrmem_create(&x, bytes, sizeof bytes, XDR_ENCODE);
    assert_true(xdr_lmn_xthief(&x, &q));
    u_int len = xdr_getpos(&x);
    xdrmem_create(&x, bytes, len, XDR_DECODE);
    assert_true(xdr_lmn_xthief(&x, &back));
    assert_int_equal(back.teams.teams_len, TEAMS);
    assert_true(back.teams.teams_val[TEAMS - 1].cpus == TEAMS - 1);
    xdr_free((xdrproc_t)xdr_lmn_xthief, (char *)&back);
    /* The wire takes as many as the settings do. */
    assert_int_equal(LMN_XDR_TEAMS, LMN_MAX_TEAMS);
}

/* The worlds of these tests are not taken down. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

/* Whether the jobs of the mask are all in time, the earliest first. */
static unsigned in_time(const struct lmn_job *v, int n, unsigned mask, double cpus)
{
    double work = 0;
    unsigned count = 0;

    for (int i = 0; i < n; i++) { /* v is in the order of the latest start */
        if (!(mask >> i & 1))
            continue;
        work += v[i].left;
        if (1000 + work / cpus > v[i].latest)
            return 0;
        count++;
    }
    return count;
}

/* As many jobs as at all possible keep their place, and those are all in time. */
static void triage_is_best(void **state)
{
    (void)state;
    for (uint32_t seed = 0; seed < 300; seed++) {
        enum { N = 9 };
        GRand *r = g_rand_new_with_seed(seed);
        struct lmn_job v[N];
        GPtrArray *list = g_ptr_array_new();
        unsigned best = 0, kept = 0;
        memset(v, 0, sizeof v);
        for (int i = 0; i < N; i++) {
            g_snprintf(v[i].spec.ref, sizeof v[i].spec.ref, "run-%06d", i);
            v[i].spec.spot = true;
            v[i].left = g_rand_int_range(r, 1, 400);
            v[i].latest = (i ? v[i - 1].latest : 1000) + g_rand_int_range(r, 0, 20);
            g_ptr_array_add(list, &v[i]);
        }
        lmn_triage(list, 1000, 10, 10);
        for (int i = 0; i < N; i++)
            kept |= (unsigned)!v[i].yields << i;
        for (unsigned mask = 1; mask < 1u << N; mask++)
            best = MAX(best, in_time(v, N, mask, 10));
        assert_int_equal(kept ? in_time(v, N, kept, 10) : 0, best);
        g_ptr_array_free(list, TRUE);
        g_rand_free(r);
    }
}

/* Where two jobs are alike, a machine takes the one whose image it has; a fetch is not
 * worth being late for by more than it costs. */
static void images_count(void **state)
{
    (void)state;
    make(3);
    struct lmn_machine *m = g_hash_table_lookup(core->parts[0].machines, "m-0");
    core->types.v[0].pull = 0.1;
    core->types.v[0].cache_gb = 10;
    for (int i = 0; i < 2; i++) {
        jobs[i].spec.urgency = LMN_NORMAL;
        jobs[i].spec.zone = NULL;
        jobs[i].spec.spot = true;
        jobs[i].spec.image_gb = 2;
        jobs[i].spec.cpus = 8;
        jobs[i].lost = false;
        jobs[i].image = g_intern_string(i ? "near" : "far");
        lmn_queue_add(&m->queue, jobs[i].ranges->pdata[0], 0, 1);
    }
    lmn_note_image(m, &jobs[1], true, now);
    assert_true(lmn_fetch_s(m, &jobs[1], now) == 0);
    assert_true(fabs(lmn_fetch_s(m, &jobs[0], now) - 20) < 1e-9);
    for (int urgent = 0; urgent < 2; urgent++) {
        GByteArray *out = g_byte_array_new();
        jobs[0].latest = 1000;
        jobs[1].latest = urgent ? 1100 : 1010;
        assert_int_equal(lmn_schedule(core, m, out, now), 1);
        struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, 0);
        assert_ptr_equal(a->job, &jobs[urgent ? 0 : 1]);
        lmn_machine_empty(core, m, "again", now);
        lmn_queue_clear(&m->queue);
        for (int i = 0; i < 2; i++)
            lmn_queue_add(&m->queue, jobs[i].ranges->pdata[0], 0, 1);
        g_byte_array_free(out, TRUE);
    }
    /* While one task's fetch is under way, others of its job wait for what is left of it.
     */
    struct lmn_machine *o = g_hash_table_lookup(core->parts[0].machines, "m-1");
    lmn_note_image(o, &jobs[0], false, now);
    assert_true(lmn_has_image(o, &jobs[0]));
    assert_true(fabs(lmn_fetch_s(o, &jobs[0], lmn_after(now, 5)) - 15) < 1e-6);
    lmn_note_image(o, &jobs[1], false, now); /* a second one shares the rate */
    assert_true(fabs(lmn_fetch_s(o, &jobs[1], now) - 40) < 1e-6);
    lmn_note_image(o, &jobs[0], true, lmn_after(now, 6)); /* a task of it runs */
    assert_true(lmn_fetch_s(o, &jobs[0], lmn_after(now, 6)) == 0);
    assert_true(lmn_fetch_s(o, &jobs[1], lmn_after(now, 50)) == 0);
    /* The cache holds ten: the least recently used go. */
    for (int i = 2; i < 7; i++) {
        jobs[i].spec.image_gb = 2;
        jobs[i].image = g_intern_string(jobs[i].spec.ref);
        lmn_note_image(m, &jobs[i], true, now);
    }
    assert_true(lmn_fetch_s(m, &jobs[6], now) == 0);
    assert_true(lmn_fetch_s(m, &jobs[1], now) > 0);
}

/* Found so: the last tasks of nearly every job waited for minutes in the queue of a
 * machine that was busy for long, while machines with work of their own started what came
 * much later. */
static void urgent_first_across_queues(void **state)
{
    (void)state;
    make(4);
    struct lmn_partition *p = &core->parts[0];
    struct lmn_machine *busy = g_hash_table_lookup(p->machines, "m-0");
    struct lmn_machine *m = g_hash_table_lookup(p->machines, "m-3");
    struct lmn_job *early = &jobs[0], *late = &jobs[1];
    GByteArray *out = g_byte_array_new();

    core->tuning.sample = MACHINES;
    for (int i = 0; i < 2; i++) {
        jobs[i].spec.urgency = LMN_NORMAL;
        jobs[i].spec.zone = NULL;
        jobs[i].spec.spot = true;
        jobs[i].spec.cpus = 8;
        jobs[i].spec.tasks = 1;
        jobs[i].lost = jobs[i].yields = jobs[i].guaranteed = false;
        jobs[i].latest = 1000 + i;
    }
    lmn_queue_add(&busy->queue, early->ranges->pdata[0], 0, 1);
    lmn_queue_add(&m->queue, late->ranges->pdata[0], 0, 1);
    assert_int_equal(lmn_schedule(core, m, out, now), 1);
    assert_ptr_equal(g_array_index(m->attempts, struct lmn_attempt, 0).job, early);
    assert_int_equal(busy->queue.tasks, 0);
    assert_int_equal(m->queue.tasks, 1);
    /* What is no more urgent stays where it was dealt. */
    lmn_machine_empty(core, m, "again", now);
    lmn_queue_clear(&busy->queue);
    lmn_queue_clear(&m->queue);
    late->latest = early->latest - 1;
    lmn_queue_add(&busy->queue, early->ranges->pdata[0], 0, 1);
    lmn_queue_add(&m->queue, late->ranges->pdata[0], 0, 1);
    assert_int_equal(lmn_schedule(core, m, out, now), 1);
    assert_ptr_equal(g_array_index(m->attempts, struct lmn_attempt, 0).job, late);
    assert_int_equal(busy->queue.tasks, 1);
    g_byte_array_free(out, TRUE);
}

/* A job is guaranteed if it fits into its team's guarantee with what was unfinished
 * before it. */
static void guarantee_is_kept(void **state)
{
    static struct lmn_settings s;
    (void)state;
    s = (struct lmn_settings){.partitions = 1,
                              .state_rps = 10,
                              .state_write_rps = 10,
                              .txn_ops = 12,
                              .teams = team,
                              .nteams = 1};
    memset(team, 0, sizeof team);
    g_strlcpy(s.teams[0].name, "t", LMN_NAME);
    s.teams[0].cpus = 10;
    struct lmn_core *c = lmn_core_new(&s, lmn_state_new(&s), 1);
    struct lmn_spec spec = {.class_name = (char *)"c",
                            .team = (char *)"t",
                            .image = (char *)"i",
                            .tasks = 3,
                            .cpus = 2,
                            .deadline_s = -1};
    uint64_t rev = 1;
    bool expected[] = {true, false, true};

    for (int i = 0; i < 3; i++) {
        char key[64];
        struct lmn_doc d;
        for (int final = 0; final < (i == 1 ? 2 : 1); final++) {
            g_snprintf(spec.ref, sizeof spec.ref, "run-%06d", i);
            g_snprintf(key, sizeof key, "j/%s", spec.ref);
            GByteArray *b =
                lmn_job_record(&spec, final ? LMN_FINISHED : LMN_ACTIVE, 1, i);
            assert_int_equal(lmn_doc_parse(&d, b->data, b->len), 0);
            lmn_mirror_apply(c, key, &d, lmn_root(&d), ++rev, now);
            lmn_doc_free(&d);
            g_byte_array_free(b, TRUE);
        }
        struct lmn_job *j = g_hash_table_lookup(c->jobs, spec.ref);
        assert_int_equal(j->guaranteed, expected[i]);
        spec.tasks = i ? 2 : 3;
    }
    /* A guaranteed job goes before one that is more urgent. */
    struct lmn_job *a = g_hash_table_lookup(c->jobs, "run-000002");
    struct lmn_job b = *a;
    b.guaranteed = false;
    b.spec.urgency = LMN_PROD;
    assert_true(lmn_job_order(a, &b) < 0);
}

/* A service is never too late: counted as lost once its start was late, it waited behind
 * all batches that could still be in time. */
static void services_are_never_lost(void **state)
{
    struct lmn_settings s = {.nobjectives = 2};
    struct lmn_job service = {.at = 100}, batch = {.at = 500};
    (void)state;

    s.objectives[0] =
        (struct lmn_objective){.kind = LMN_WAIT, .class_name = "s", .within_s = 5};
    s.objectives[1] =
        (struct lmn_objective){.kind = LMN_FINISH, .class_name = "b", .within_s = 180};
    service.spec = (struct lmn_spec){.kind = LMN_DAEMON,
                                     .class_name = (char *)"s",
                                     .urgency = LMN_PROD,
                                     .deadline_s = -1};
    batch.spec = (struct lmn_spec){.kind = LMN_BATCH,
                                   .class_name = (char *)"b",
                                   .urgency = LMN_NORMAL,
                                   .deadline_s = -1};
    for (double wall = 500; wall < 5000; wall += 50) {
        lmn_job_rank(&s, &service, wall);
        lmn_job_rank(&s, &batch, wall);
        assert_false(service.lost);
        assert_true(lmn_job_order(&service, &batch) < 0);
    }
}

/* Puts a running attempt of the range's next task on the machine. */
static struct lmn_attempt *run(struct lmn_machine *m, struct lmn_range *r, uint32_t index)
{
    struct lmn_attempt a = {.job = r->job,
                            .range = r,
                            .index = index,
                            .number = index + 1,
                            .state = LMN_A_RUNNING,
                            .listed = true,
                            .seen = true,
                            .since = now};

    r->st[index - r->lo] = LMN_T_STARTED;
    r->nstarted++;
    lmn_attempt_count(m, &a);
    g_array_append_val(m->attempts, a);
    return &g_array_index(m->attempts, struct lmn_attempt, m->attempts->len - 1);
}

/* A task of production that finds all machines full has room made for it: by lesser tasks
 * only, no more of them than it needs, and what lesser work waits does not take the
 * pieces. */
static void room_is_made(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= 20; seed++) {
        make(seed);
        struct lmn_partition *p = &core->parts[0];
        GHashTableIter it;
        gpointer v;
        struct lmn_range *prod = jobs[3].ranges->pdata[0],
                         *low = jobs[4].ranges->pdata[0];
        struct lmn_range *peer = jobs[7].ranges->pdata[0];
        uint32_t at = 0, k = 0;
        core->fresh = now;
        jobs[4].spec.urgency = LMN_NORMAL;
        jobs[4].spec.cpus = jobs[7].spec.cpus = 2;
        jobs[3].spec.cpus = 4;
        jobs[3].spec.spot = true;
        jobs[4].spec.tasks = jobs[7].spec.tasks = 200;
        low->hi = peer->hi = 200;
        low->done = g_malloc0(32);
        peer->done = g_malloc0(32);
        lmn_range_open(core, low);
        lmn_range_open(core, peer);
        low->dealt = peer->dealt = prod->dealt = true;
        g_hash_table_iter_init(&it, p->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_machine *m = v;
            m->last = now;
            /* Of each machine's eight processors two to six belong to an equal. */
            uint32_t equals = 1 + (seed + k++) % 3;
            for (uint32_t i = 0; i < 4; i++)
                run(m, i < equals ? peer : low, at++);
        }
        lmn_queue_add(&p->unplaced, prod, 0, 1);
        lmn_make_room(core, p, now);
        guint stopped = 0;
        struct lmn_machine *where = NULL;
        g_hash_table_iter_init(&it, p->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_machine *m = v;
            for (guint i = 0; i < m->attempts->len; i++) {
                const struct lmn_attempt *a =
                    &g_array_index(m->attempts, struct lmn_attempt, i);
                assert_true(!a->stop || a->job == &jobs[4]);
                stopped += a->stop;
                where = a->stop ? m : where;
            }
        }
        assert_int_equal(stopped, 2);
        assert_int_equal(where->promised, 1);
        assert_int_equal(p->unplaced.tasks, 0);
        /* Again: it is helped already. */
        lmn_make_room(core, p, lmn_after(now, 1));
        assert_int_equal(core->count.preempted, 1);
        /* One victim has ended: its piece stays free until the other has too. */
        lmn_queue_add(&where->queue, low, 199, 200);
        for (int gone = 0; gone < 2; gone++) {
            GByteArray *out = g_byte_array_new();
            for (guint i = 0; i < where->attempts->len; i++) {
                struct lmn_attempt *a =
                    &g_array_index(where->attempts, struct lmn_attempt, i);
                if (!a->stop || a->state == LMN_A_ENDED)
                    continue;
                lmn_attempt_uncount(where, a);
                a->state = LMN_A_ENDED;
                break;
            }
            assert_int_equal(lmn_schedule(core, where, out, now), gone);
            g_byte_array_unref(out);
        }
        assert_int_equal(prod->nstarted, 1);
        assert_int_equal(where->promised, 0);
    }
}

/* A zone takes no more of a spread job's tasks than half, rounded up, and the deal says
 * so. */
static void spread_is_dealt(void **state)
{
    (void)state;
    for (uint32_t n = 1; n <= 9; n++) {
        make(n);
        struct lmn_job *j = &jobs[3];
        struct lmn_range *r = j->ranges->pdata[0];
        uint32_t zone[2] = {0, 0};
        GHashTableIter it;
        gpointer v;
        j->spec.spread = j->spec.spot = true;
        j->spec.cpus = 1;
        j->spec.tasks = r->hi = n;
        lmn_range_open(core, r);
        r->dealt = true;
        lmn_deal(core, r, 0, n, now);
        g_hash_table_iter_init(&it, core->parts[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_machine *m = v;
            zone[m->zone[0] - 'a'] += m->queue.tasks;
        }
        assert_int_equal(zone[0] + zone[1], n);
        assert_true(MAX(zone[0], zone[1]) <= (n + 1) / 2);
    }
}

/* Those who make room save if the one who waits can wait for it: with a start expected
 * within 5 s, 3 s of saving came before a fetch and made most starts late. */
static void saving_takes_no_more_time_than_there_is(void **state)
{
    (void)state;
    for (int hurry = 0; hurry < 2; hurry++) {
        make(1);
        struct lmn_partition *p = &core->parts[0];
        struct lmn_range *prod = jobs[3].ranges->pdata[0],
                         *low = jobs[4].ranges->pdata[0];
        GHashTableIter it;
        gpointer v;
        uint32_t at = 0;
        guint stopped = 0;
        core->fresh = now;
        core->synced = true;
        if (hurry) {
            cfg.objectives[0] = (struct lmn_objective){
                .kind = LMN_WAIT, .class_name = "c", .within_s = 5};
            cfg.nobjectives = 1;
        }
        jobs[3].spec.cpus = jobs[4].spec.cpus = 8;
        jobs[3].spec.spot = true;
        jobs[4].spec.urgency = LMN_NORMAL;
        jobs[4].spec.checkpoint_s = 15;
        jobs[4].spec.save_s = 3;
        jobs[4].spec.tasks = low->hi = MACHINES;
        low->done = g_malloc0(8);
        lmn_range_open(core, low);
        g_hash_table_iter_init(&it, p->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            ((struct lmn_machine *)v)->last = now;
            run(v, low, at++);
        }
        lmn_queue_add(&p->unplaced, prod, 0, 1);
        lmn_make_room(core, p, now);
        g_hash_table_iter_init(&it, p->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_attempt *a = &g_array_index(
                ((struct lmn_machine *)v)->attempts, struct lmn_attempt, 0);
            stopped += a->stop;
            if (a->stop)
                assert_true(a->grace == (hurry ? 0 : 4));
        }
        assert_int_equal(stopped, 1);
    }
}

/* Replicas left over on many machines are moved together, one machine at a time and only
 * if all of its own have room elsewhere; nothing moves while work waits, or right after a
 * start. */
static void replicas_are_packed(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= 20; seed++) {
        make(seed);
        struct lmn_partition *p = &core->parts[0];
        struct lmn_range *r = jobs[3].ranges->pdata[0];
        struct timespec then = now;
        GHashTableIter it;
        gpointer v;
        uint32_t at = 0;
        core->synced = true;
        jobs[3].spec.kind = LMN_DAEMON;
        jobs[3].spec.cpus = 2;
        jobs[3].spec.tasks = r->hi = 40;
        r->done = g_malloc0(8);
        lmn_range_open(core, r);
        r->dealt = true;
        cfg.report_s = 1;
        g_hash_table_iter_init(&it, p->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_machine *m = v;
            m->spot = false;
            lmn_note_image(m, &jobs[3], true, now);
            for (uint32_t i = 0, n = 1 + (seed + at) % 2; i < n; i++)
                run(m, r, at++);
        }
        uint32_t all = at;
        for (int step = 0; step < 40; step++) {
            then = lmn_after(then, 5);
            core->fresh = then;
            bool young = step < 6;
            guint before = 0, after = 0, stopped = 0;
            g_hash_table_iter_init(&it, p->machines);
            while (g_hash_table_iter_next(&it, NULL, &v)) {
                before += ((struct lmn_machine *)v)->retiring;
                ((struct lmn_machine *)v)->last = then;
            }
            if (step == 10)
                lmn_queue_add(&p->unplaced, jobs[5].ranges->pdata[0], 0, 1);
            if (step == 11)
                lmn_queue_clear(&p->unplaced);
            lmn_pack(core, p, then);
            g_hash_table_iter_init(&it, p->machines);
            while (g_hash_table_iter_next(&it, NULL, &v)) {
                struct lmn_machine *m = v;
                after += m->retiring;
                for (guint i = m->attempts->len; i-- > 0;) {
                    struct lmn_attempt *a =
                        &g_array_index(m->attempts, struct lmn_attempt, i);
                    if (!a->stop)
                        continue;
                    assert_true(m->retiring);
                    uint32_t index = a->index;
                    stopped++;
                    lmn_attempt_uncount(m, a);
                    g_array_remove_index_fast(m->attempts, i);
                    lmn_task_requeue(core, r, index, then);
                }
            }
            assert_true(after <= before + 1);
            assert_true(after > before || !stopped);
            if (young || step == 10)
                assert_int_equal(after, before);
            /* What was stopped starts at once where it was seen to fit. */
            g_hash_table_iter_init(&it, p->machines);
            while (g_hash_table_iter_next(&it, NULL, &v)) {
                struct lmn_machine *m = v;
                GByteArray *out = g_byte_array_new();
                lmn_schedule(core, m, out, then);
                g_byte_array_unref(out);
                for (guint i = 0; i < m->attempts->len; i++) {
                    struct lmn_attempt *a =
                        &g_array_index(m->attempts, struct lmn_attempt, i);
                    a->state = LMN_A_RUNNING;
                    a->listed = true;
                }
            }
            assert_int_equal(r->nstarted, all);
        }
        guint kept = 0;
        g_hash_table_iter_init(&it, p->machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            kept += !((struct lmn_machine *)v)->retiring;
        assert_true(kept < MACHINES);
        assert_true(8 * kept >= 2 * all);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(services_are_never_lost),
        cmocka_unit_test(room_is_made),
        cmocka_unit_test(replicas_are_packed),
        cmocka_unit_test(saving_takes_no_more_time_than_there_is),
        cmocka_unit_test(spread_is_dealt),
        cmocka_unit_test(triage_is_best),
        cmocka_unit_test(images_count),
        cmocka_unit_test(urgent_first_across_queues),
        cmocka_unit_test(guarantee_is_kept),
        cmocka_unit_test(never_loses_or_doubles_a_task),
        cmocka_unit_test(order_is_total),
        cmocka_unit_test(floors),
        cmocka_unit_test(the_lesser_class_gets_its_floor),
        cmocka_unit_test(idle_work_keeps_to_cheap_machines),
        cmocka_unit_test(the_aged_begin),
        cmocka_unit_test(the_accused_are_set_aside),
        cmocka_unit_test(large_tasks_find_room_among_small_ones),
        cmocka_unit_test(expectations),
        cmocka_unit_test(interval_doubles),
        cmocka_unit_test(xdr),
        cmocka_unit_test(steal_names_every_team),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
