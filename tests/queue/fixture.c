/* A partition with machines and jobs, in simulated time. */
#include "queue/fixture.h"

#include "scheduler/queue.h"
#include "partition/owner.h"
#include "partition/range.h"
#include "state/task_ledger.h"
#include "kv_client/kv_client.h"

#include <string.h>

struct lmn_settings settings;
struct lmn_core *core;
struct lmn_job jobs[JOBS];
struct timespec now = {1000, 0};

/* What a test sets up is not taken down. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct lmn_team team;

static void set_up_settings(void)
{
    memset(&team, 0, sizeof team);
    memset(&settings, 0, sizeof settings);
    settings.partitions = 1;
    settings.state_rps = settings.state_write_rps = 1000;
    settings.txn_ops = 12;
    settings.lease_s = 10;
    settings.teams = &team;
    settings.nteams = 1;
    g_strlcpy(settings.teams[0].name, "t", LMN_NAME_SIZE);
}

static void add_machine(struct lmn_partition *p, int i)
{
    char name[16];

    g_snprintf(name, sizeof name, "m-%d", i);
    struct lmn_machine *m = lmn_machine_new(p, name);
    m->type = &core->types.v[0];
    g_strlcpy(m->zone, i % 2 ? "a" : "b", sizeof m->zone);
    m->spot = i % 3 == 0;
    m->rev = 1;
    m->heard = m->accounted = true;
}

static void set_up_job(struct lmn_job *j, int i, GRand *r)
{
    memset(j, 0, sizeof *j);
    g_snprintf(j->spec.ref, sizeof j->spec.ref, "run-%06d", i);
    j->spec.team = (char *)"t";
    j->spec.image = (char *)"i";
    j->image = g_intern_string("i");
    j->spec.class_name = (char *)"c";
    j->spec.zone = i % 4 == 1 ? (char *)"a" : NULL;
    j->spec.spot = i % 2;
    j->spec.urgency = (enum lmn_priority)(i % 4);
    j->spec.tasks = 1 + (uint32_t)g_rand_int_range(r, 0, 40);
    j->spec.cpus = 1 + i % 4;
    j->spec.deadline_s = -1;
    j->at = i;
    j->latest = g_rand_int_range(r, 0, 5);
    j->lost = i % 5 == 0;
    j->ranges = g_ptr_array_new();
}

static void add_range(struct lmn_partition *p, struct lmn_job *j)
{
    struct lmn_range *range = g_new0(struct lmn_range, 1);

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

void fixture_begin(uint32_t seed)
{
    GRand *r = g_rand_new_with_seed(seed);

    set_up_settings();
    core = lmn_core_new(&settings, lmn_kv_client_new(&settings), seed);
    core->types.n = 1;
    core->types.v[0] = (struct lmn_machine_type){.name = "x", .cpus = 8, .mem = 64};
    struct lmn_partition *p = &core->parts[0];
    p->mine = p->ready = p->open = true;
    p->my_term = 1;
    for (int i = 0; i < MACHINES; i++)
        add_machine(p, i);
    for (int i = 0; i < JOBS; i++) {
        set_up_job(&jobs[i], i, r);
        add_range(p, &jobs[i]);
    }
    g_rand_free(r);
}

guint count_started(const struct lmn_job *j, bool spot)
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

void start_all(void)
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
            n += lmn_schedule_machine(core, v, out, now);
        }
    } while (n);
    g_byte_array_unref(out);
}

struct lmn_job *lone_job(enum lmn_priority urgency, double estimate)
{
    struct lmn_job *j = &jobs[0];

    fixture_begin(3);
    core->types.v[0].rate = 3;
    core->types.v[0].spot_rate = 1;
    for (int i = 1; i < JOBS; i++)
        jobs[i].phase = LMN_JOB_DONE;
    j->spec.kind = LMN_JOB_BATCH;
    j->spec.urgency = urgency;
    j->spec.estimate_s = estimate;
    j->spec.spot = true;
    j->spec.zone = NULL;
    j->spec.cpus = 8;
    lmn_assign_range(core, j->ranges->pdata[0], now);
    return j;
}
