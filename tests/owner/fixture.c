#include "owner/fixture.h"

#include "http/client.h"
#include "job/message_limits.h"
#include "kv_client/kv_client.h"
#include "partition/heartbeat.h"
#include "partition/maintenance.h"
#include "partition/owner.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "partition/worker_push.h"
#include "scheduler/queue.h"
#include "state/core.h"
#include "state/fencing_token.h"
#include "state/task_ledger.h"
#include "util/clock.h"

#include <string.h>

/* A push whose answer may be lost is smaller, bytes: in tests of full machines, few
 * attempts should be of unknown outcome. */
enum { MAX_LOST_PUSH_BYTES = 1000 };

struct owner_fixture fixture;

static const struct lmn_machine_type large = {
    .name = "large", .cpus = 64, .memory_gb = 256, .zones = {"a"}, .zone_count = 1};

static void start_controller(void)
{
    struct lmn_core *core =
        lmn_core_new(&fixture.settings, lmn_kv_client_new(&fixture.settings), 1);

    core->cloud.machine_types.types[0] = large;
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types_known = true;
    core->cache.is_synced = true;
    core->cache.fresh_at = fixture.now;
    struct lmn_partition *partition = &core->partitions[0];
    partition->ownership.is_owned = partition->ownership.is_ready =
        partition->ownership.inherited_may_start = true;
    fixture.epoch = partition->ownership.epoch = lmn_next_epoch(fixture.epoch);
    partition->ownership.token_raises = LMN_TOKEN_RAISES;
    partition->ownership.since = fixture.now;
    fixture.core = core;
}

static void init_settings(void)
{
    struct lmn_settings *settings = &fixture.settings;

    g_strlcpy(fixture.team.name, "t", sizeof fixture.team.name);
    settings->teams = &fixture.team;
    settings->team_count = 1;
    settings->partition_count = 1;
    settings->state_requests_per_s = settings->state_writes_per_s = 1000;
    settings->max_txn_operations = 12;
    settings->heartbeat_s = 3;
    settings->lease_s = FIXTURE_LEASE_S;
    settings->cancel_s = FIXTURE_CANCEL_S;
    settings->max_connections = 1000;
}

static void init_worker(int index, uint32_t seed)
{
    struct lmn_emu_worker *worker = &fixture.workers[index];

    g_snprintf(worker->agent.name, LMN_NAME_SIZE, "host-%06d", index + 1);
    g_snprintf(worker->agent.address, LMN_ADDRESS_SIZE, "10.0.0.%d:9000", index + 1);
    g_strlcpy(worker->agent.zone, "a", LMN_NAME_SIZE);
    worker->agent.type = large;
    lmn_emu_worker_init(worker, &fixture.no_faults, seed, FIXTURE_LEASE_S, fixture.now);
}

static void free_call(gpointer data)
{
    struct answered_call *call = data;

    g_byte_array_unref(call->body);
    g_free(call);
}

void fixture_set_up(int machines, uint32_t seed)
{
    if (fixture.answered_calls)
        g_ptr_array_unref(fixture.answered_calls);
    memset(&fixture, 0, sizeof fixture);
    fixture.answered_calls = g_ptr_array_new_with_free_func(free_call);
    init_settings();
    fixture.machine_count = machines;
    fixture.epoch = FIXTURE_EPOCH;
    fixture.now = (struct timespec){1000, 0};
    lmn_test_clock = &fixture.now;
    fixture.random = g_rand_new_with_seed(seed);
    fixture.no_faults = lmn_emulator_faults_default;
    fixture.no_faults.noise = 0;
    for (int i = 0; i < machines; i++)
        init_worker(i, seed + (uint32_t)i);
    start_controller();
}

/* Makes the controller know the job, as its watch cache shows it, and queues its tasks.
 */
static void open_job(int number)
{
    struct lmn_job *job = &fixture.jobs[number];
    struct lmn_range *range = g_new0(struct lmn_range, 1);

    *range = (struct lmn_range){.job = job,
                                .partition = &fixture.core->partitions[0],
                                .end = job->spec.tasks,
                                .move_to = -1,
                                .done = fixture.recorded[number]};
    for (uint32_t i = 0; i < range->end; i++)
        range->done_count += lmn_bitset_get(range->done, i);
    range->key = g_strdup_printf("r/0/%s/0", job->spec.id);
    job->ranges = g_ptr_array_new();
    g_ptr_array_add(job->ranges, range);
    g_hash_table_insert(fixture.core->partitions[0].ranges, range->key, range);
    g_hash_table_insert(fixture.core->cache.jobs, job->spec.id, job);
    lmn_range_open(fixture.core, range);
    range->is_assigned = lmn_range_may_start(range);
    if (range->is_assigned)
        lmn_assign_range(fixture.core, range, fixture.now);
}

struct lmn_job *fixture_add_prepared_job(struct lmn_job_spec spec)
{
    struct lmn_job *job = &fixture.jobs[fixture.job_count];

    assert_true(fixture.job_count < FIXTURE_MAX_JOBS);
    job->spec = spec;
    g_snprintf(job->spec.id, sizeof job->spec.id, "run-%019d", fixture.job_count);
    job->spec.team = (char *)"t";
    job->spec.class_name = (char *)"c";
    job->spec.image = (char *)"i";
    job->image = g_intern_string("i");
    job->spec.deadline_s = -1;
    open_job(fixture.job_count++);
    return job;
}

struct lmn_job *fixture_add_job(uint32_t tasks, double cpus, double estimate_s)
{
    return fixture_add_prepared_job((struct lmn_job_spec){.kind = LMN_JOB_BATCH,
                                                          .priority = LMN_PRIORITY_NORMAL,
                                                          .tasks = tasks,
                                                          .cpus = cpus,
                                                          .estimate_s = estimate_s});
}

/* The machines that the earlier controller recorded. */
static void inherit_machines(struct lmn_partition *partition)
{
    for (int i = 0; i < fixture.machine_count; i++) {
        struct lmn_machine *machine =
            lmn_machine_new(partition, fixture.workers[i].agent.name);
        machine->record.revision = 1;
        machine->lifecycle.is_inherited = true;
    }
}

void fixture_restart_controller(void)
{
    start_controller();
    struct lmn_partition *partition = &fixture.core->partitions[0];
    partition->ownership.is_ready = partition->ownership.inherited_may_start = false;
    inherit_machines(partition);
    for (int i = 0; i < fixture.job_count; i++)
        open_job(i);
}

struct lmn_machine *fixture_machine(int index)
{
    return g_hash_table_lookup(fixture.core->partitions[0].machines,
                               fixture.workers[index].agent.name);
}

void fixture_check_size(int machine, const GByteArray *message)
{
    struct lmn_cbor_document document;

    assert_int_equal(lmn_cbor_parse(&document, message->data, message->len), 0);
    assert_in_range(lmn_cbor_json_size(&document, lmn_cbor_root(&document)), 1,
                    LMN_MAX_MESSAGE_BYTES);
    lmn_cbor_free(&document);
    assert_in_range(fixture.workers[machine].agent.runs->len, 0,
                    LMN_MAX_MACHINE_ATTEMPTS);
}

static const struct lmn_job_spec *find_spec(const char *job_id)
{
    for (int i = 0; i < fixture.job_count; i++)
        if (!strcmp(fixture.jobs[i].spec.id, job_id))
            return &fixture.jobs[i].spec;
    return NULL;
}

static void describe_runs_of(struct lmn_emu_worker *worker)
{
    for (guint i = 0; i < worker->asking->len; i++) {
        uint64_t id = g_array_index(worker->asking, uint64_t, i);
        const struct lmn_task_run *run = lmn_agent_find_run(&worker->agent, id);
        if (run)
            lmn_emu_worker_described(worker, id, find_spec(run->job_id), fixture.now);
    }
    g_array_set_size(worker->asking, 0);
}

void fixture_describe_runs(void)
{
    for (int i = 0; i < fixture.machine_count; i++)
        describe_runs_of(&fixture.workers[i]);
}

void fixture_exchange_heartbeat(int machine, double loss)
{
    g_autoptr(GByteArray) body = g_byte_array_new();
    g_autoptr(GByteArray) reply = g_byte_array_new();
    struct lmn_deferred_starts deferred;
    struct lmn_agent *agent = &fixture.workers[machine].agent;
    uint64_t incarnation = agent->incarnation;

    lmn_agent_write_heartbeat(agent, body, fixture.now);
    fixture_check_size(machine, body);
    assert_int_equal(lmn_heartbeat_handle(fixture.core, body->data, body->len, reply,
                                          &deferred, fixture.now),
                     200);
    fixture_check_size(machine, reply);
    if (g_rand_double(fixture.random) >= loss)
        assert_true(lmn_agent_heartbeat_answered(agent, incarnation, fixture.now,
                                                 reply->data, reply->len, fixture.now));
    fixture_machine(machine)->record.revision = 1;
}

int fixture_machine_index(const char *name)
{
    for (int i = 0; i < fixture.machine_count; i++)
        if (!strcmp(fixture.workers[i].agent.name, name))
            return i;
    fail_msg("no machine is named %s", name);
    return -1;
}

/* Delivers a push and its answer. */
static void exchange_push(const char *name, const GByteArray *body, double loss)
{
    int machine = fixture_machine_index(name);
    g_autoptr(GByteArray) answer = g_byte_array_new();

    fixture_check_size(machine, body);
    int status = lmn_agent_handle_commands(&fixture.workers[machine].agent, body->data,
                                           body->len, answer, fixture.now);
    fixture_check_size(machine, answer);
    bool is_lost =
        body->len < MAX_LOST_PUSH_BYTES && g_rand_double(fixture.random) < loss;
    struct answered_call *call = g_new0(struct answered_call, 1);
    call->machine = machine;
    call->body = g_byte_array_new();
    g_byte_array_append(call->body, body->data, body->len);
    g_ptr_array_add(fixture.answered_calls, call);
    lmn_worker_client_push_done(fixture.core, name,
                                is_lost ? LMN_HTTP_NO_RESPONSE : status,
                                is_lost ? NULL : answer, fixture.now);
}

void fixture_exchange_pushes(double loss)
{
    g_autoptr(GByteArray) body = g_byte_array_new();
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];

    while (
        lmn_worker_client_next_push(fixture.core, 0, 1, name, address, body, fixture.now))
        exchange_push(name, body, loss);
}

void fixture_record_done_tasks(void)
{
    for (int i = 0; i < fixture.job_count; i++) {
        struct lmn_range *range = fixture.jobs[i].ranges->pdata[0];
        for (uint32_t k = 0; k < range->end; k++)
            if (range->task_states[k] == LMN_TASK_DONE &&
                !lmn_bitset_get(range->done, k)) {
                lmn_bitset_set(range->done, k);
                range->done_count++;
            }
    }
}

void fixture_pass(double seconds)
{
    fixture.now = lmn_time_add(fixture.now, seconds);
    fixture.core->cache.fresh_at = fixture.now;
    for (int i = 0; i < fixture.machine_count; i++)
        lmn_emu_worker_pass(&fixture.workers[i], fixture.now);
    fixture_describe_runs();
}

void fixture_step(double loss)
{
    fixture_pass(FIXTURE_STEP_S);
    for (int i = 0; i < fixture.machine_count; i++) {
        fixture_exchange_heartbeat(i, loss);
        fixture_describe_runs();
    }
    fixture_exchange_pushes(loss);
    fixture_describe_runs();
    if (g_rand_double(fixture.random) < 0.5)
        fixture_record_done_tasks();
    lmn_maintenance_run(fixture.core, fixture.now);
}

bool fixture_all_jobs_are_over(void)
{
    for (int i = 0; i < fixture.job_count; i++) {
        const struct lmn_range *range = fixture.jobs[i].ranges->pdata[0];
        if (fixture.jobs[i].phase == LMN_JOB_ACTIVE && range->done_count < range->end)
            return false;
    }
    return true;
}

static uint64_t count_starts(void)
{
    uint64_t starts = 0;

    for (int i = 0; i < fixture.machine_count; i++)
        starts += fixture.workers[i].agent.starts;
    return starts;
}

unsigned fixture_deliver_copies(void)
{
    uint64_t starts_before = count_starts();

    for (guint i = 0; i < fixture.answered_calls->len; i++) {
        const struct answered_call *call = fixture.answered_calls->pdata[i];
        g_autoptr(GByteArray) answer = g_byte_array_new();
        lmn_agent_handle_commands(&fixture.workers[call->machine].agent, call->body->data,
                                  call->body->len, answer, fixture.now);
    }
    fixture_describe_runs();
    return (unsigned)(count_starts() - starts_before);
}

/* Whether the run counts as a task on its machine: it has its image. */
static bool is_on_machine(const struct lmn_task_run *run)
{
    return run->state == LMN_RUN_RUNNING || run->state == LMN_RUN_SAVING ||
           run->state == LMN_RUN_ENDING;
}

/* Checks a run, and counts it in the table of tasks that are on machines. */
static void check_run(const struct lmn_task_run *run, GHashTable *tasks)
{
    const struct lmn_job_spec *spec = find_spec(run->job_id);
    g_autofree char *task = g_strdup_printf("%s/%u", run->job_id, run->index);

    if (g_hash_table_contains(tasks, task))
        fail_msg("ran_twice: %s is on two machines", task);
    g_hash_table_add(tasks, g_steal_pointer(&task));
    for (int i = 0; i < fixture.job_count; i++)
        if (&fixture.jobs[i].spec == spec && fixture.cancelled_at[i].tv_sec &&
            lmn_time_diff_s(fixture.now, fixture.cancelled_at[i]) > FIXTURE_CANCEL_S)
            fail_msg("ran_cancelled: %s/%u", run->job_id, run->index);
}

void fixture_check_rules(void)
{
    g_autoptr(GHashTable) tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    double cpus = 0;

    for (int i = 0; i < fixture.machine_count; i++) {
        const GPtrArray *runs = fixture.workers[i].agent.runs;
        for (guint k = 0; k < runs->len; k++) {
            const struct lmn_task_run *run = runs->pdata[k];
            if (!is_on_machine(run))
                continue;
            check_run(run, tasks);
            cpus += run->cpus;
        }
    }
    if (fixture.team.cpus_max > 0 && cpus > fixture.team.cpus_max)
        fail_msg("quota: %.1f CPUs are in use, limit %.1f", cpus, fixture.team.cpus_max);
}
