/* Fixture of the queue tests; see fixture.h. */
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

/* Tests do not free what they set up, so leak detection is off. */
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
    settings.partition_count = 1;
    settings.state_requests_per_s = settings.state_writes_per_s = 1000;
    settings.max_txn_operations = 12;
    settings.lease_s = 10;
    settings.teams = &team;
    settings.team_count = 1;
    g_strlcpy(settings.teams[0].name, "t", LMN_NAME_SIZE);
}

/* Adds machine number `number`: odd numbers are in zone "a", even ones in zone "b", and
 * every third is a spot instance. */
static void add_machine(struct lmn_partition *partition, int number)
{
    char name[16];

    g_snprintf(name, sizeof name, "m-%d", number);
    struct lmn_machine *machine = lmn_machine_new(partition, name);
    machine->type = &core->cloud.machine_types.types[0];
    g_strlcpy(machine->zone, number % 2 ? "a" : "b", sizeof machine->zone);
    machine->is_spot = number % 3 == 0;
    machine->record.revision = 1;
    machine->agent.has_reported = machine->lifecycle.is_accounted = true;
}

/* Sets up job number `number`, which determines all but the number of tasks and the
 * latest start. */
static void set_up_job(struct lmn_job *job, int number, GRand *generator)
{
    memset(job, 0, sizeof *job);
    g_snprintf(job->spec.id, sizeof job->spec.id, "run-%06d", number);
    job->spec.team = (char *)"t";
    job->spec.image = (char *)"i";
    job->image = g_intern_string("i");
    job->spec.class_name = (char *)"c";
    job->spec.zone = number % 4 == 1 ? (char *)"a" : NULL;
    job->spec.may_use_spot = number % 2;
    job->spec.priority = (enum lmn_priority)(number % 4);
    job->spec.tasks = 1 + (uint32_t)g_rand_int_range(generator, 0, 40);
    job->spec.cpus = 1 + number % 4;
    job->spec.deadline_s = -1;
    job->accepted_at_s = number;
    job->latest_start_s = g_rand_int_range(generator, 0, 5);
    job->has_missed_objective = number % 5 == 0;
    job->ranges = g_ptr_array_new();
}

static void add_range(struct lmn_partition *partition, struct lmn_job *job)
{
    struct lmn_range *range = g_new0(struct lmn_range, 1);

    range->job = job;
    range->partition = partition;
    range->end = job->spec.tasks;
    range->key = g_strdup(job->spec.id);
    range->done = g_malloc0(16);
    g_hash_table_insert(partition->ranges, range->key, range);
    g_ptr_array_add(job->ranges, range);
    lmn_range_open(core, range);
    range->is_assigned = true;
}

void fixture_set_up(uint32_t seed)
{
    GRand *generator = g_rand_new_with_seed(seed);

    set_up_settings();
    core = lmn_core_new(&settings, lmn_kv_client_new(&settings), seed);
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "x", .cpus = 8, .memory_gb = 64};
    struct lmn_partition *partition = &core->partitions[0];
    partition->ownership.is_owned = partition->ownership.is_ready =
        partition->ownership.inherited_may_start = true;
    partition->ownership.epoch = 1;
    for (int i = 0; i < MACHINES; i++)
        add_machine(partition, i);
    for (int i = 0; i < JOBS; i++) {
        set_up_job(&jobs[i], i, generator);
        add_range(partition, &jobs[i]);
    }
    g_rand_free(generator);
}

guint count_attempts(const struct lmn_job *job, bool is_spot)
{
    GHashTableIter iter;
    gpointer value;
    guint count = 0;

    g_hash_table_iter_init(&iter, core->partitions[0].machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lmn_machine *machine = value;
        for (guint i = 0; machine->is_spot == is_spot && i < machine->attempts->len; i++)
            count += g_array_index(machine->attempts, struct lmn_attempt, i).job == job;
    }
    return count;
}

void start_all_tasks(void)
{
    GHashTableIter iter;
    gpointer value;
    GByteArray *commands = g_byte_array_new();
    guint count;

    do {
        count = 0;
        g_hash_table_iter_init(&iter, core->partitions[0].machines);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            ((struct lmn_machine *)value)->stealing.next_at = now;
            count += lmn_schedule_machine(core, value, commands, now);
        }
    } while (count);
    g_byte_array_unref(commands);
}

struct lmn_job *fixture_set_up_one_job(enum lmn_priority priority, double estimate_s)
{
    struct lmn_job *job = &jobs[0];

    fixture_set_up(3);
    core->cloud.machine_types.types[0].price_per_hour = 3;
    core->cloud.machine_types.types[0].spot_price_per_hour = 1;
    for (int i = 1; i < JOBS; i++)
        jobs[i].phase = LMN_JOB_DONE;
    job->spec.kind = LMN_JOB_BATCH;
    job->spec.priority = priority;
    job->spec.estimate_s = estimate_s;
    job->spec.may_use_spot = true;
    job->spec.zone = NULL;
    job->spec.cpus = 8;
    lmn_assign_range(core, job->ranges->pdata[0], now);
    return job;
}
