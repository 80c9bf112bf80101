/* Quota shares: whichever writes and controllers fail, the partitions' shares of a team's
 * limit never add up to more than the limit. */
#include "util/clock.h"
#include "protocol/cbor.h"
#include "config/settings.h"
#include "scheduler/queue.h"
#include "scheduler/quota.h"
#include "partition/range_writer.h"
#include "partition/quota_transfer.h"
#include "partition/owner.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "state/watch_cache.h"
#include "state/core_state.h"
#include "state/task_ledger.h"
#include "kv_client/kv_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

/* Tests do not free their cores, so leak detection is off. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

enum { MAX_PARTITIONS = 6, MAX_TEAMS = 110, LIMIT = 24 };

/* A committed write of a team's record. */
struct event {
    int team;
    uint64_t revision;
    GByteArray *value;
};

/* A write of a team's record that is not committed yet. */
struct pending_write {
    int partition; /* that writes it */
    int team;
    uint64_t owner_revision, record_revision; /* its conditions */
    GByteArray *value;
};

static struct lmn_team teams[MAX_TEAMS];
static struct lmn_settings settings;
static int partition_count;
static struct lmn_core *cores[MAX_PARTITIONS]; /* core i owns partition i */
static guint applied_events[MAX_PARTITIONS];   /* events that core i has applied */
static uint64_t revision, owner_revisions[MAX_PARTITIONS], record_revisions[MAX_TEAMS];
static GArray *events, *delayed_writes;
static struct timespec now;

static void take_ownership(int i)
{
    struct lmn_partition *partition = &cores[i]->partitions[i];

    owner_revisions[i] = ++revision;
    partition->record.owner_revision = owner_revisions[i];
    partition->record.owner_epoch++;
    lmn_partition_begin_ownership(cores[i], partition, now);
}

static void set_up(uint32_t seed, int partitions, int team_count)
{
    partition_count = partitions;
    memset(&settings, 0, sizeof settings);
    settings.partition_count = partitions;
    settings.state_requests_per_s = settings.state_writes_per_s = 1e6;
    settings.max_txn_operations = 12;
    memset(teams, 0, sizeof teams);
    settings.teams = teams;
    settings.team_count = (size_t)team_count;
    for (int team = 0; team < team_count; team++) {
        g_snprintf(teams[team].name, LMN_NAME_SIZE, "team %d", team);
        teams[team].cpus_max = LIMIT;
    }
    now = (struct timespec){1000, 0};
    lmn_test_clock = &now;
    events = g_array_new(FALSE, FALSE, sizeof(struct event));
    delayed_writes = g_array_new(FALSE, FALSE, sizeof(struct pending_write));
    revision = 10;
    memset(record_revisions, 0, sizeof record_revisions);
    for (int i = 0; i < partition_count; i++) {
        cores[i] = lmn_core_new(&settings, lmn_kv_client_new(&settings), seed);
        applied_events[i] = 0;
        take_ownership(i);
    }
}

static void record_key(int team, char key[32])
{
    g_snprintf(key, 32, "q/team%%20%d", team);
}

/* Applies the first `end` events to the watch cache of core i, except those that it has
 * applied already. */
static void apply_events(int i, guint end)
{
    for (; applied_events[i] < end; applied_events[i]++) {
        const struct event *event =
            &g_array_index(events, struct event, applied_events[i]);
        struct lmn_cbor_document document;
        char key[32];
        record_key(event->team, key);
        assert_int_equal(lmn_cbor_parse(&document, event->value->data, event->value->len),
                         0);
        lmn_watch_cache_apply(cores[i], key, &document, lmn_cbor_root(&document),
                              event->revision, now);
        lmn_cbor_free(&document);
    }
}

static void read_condition(void *data, const char *key, uint64_t version)
{
    struct pending_write *write = data;
    if (key[0] == 'o')
        write->owner_revision = version;
    else
        write->record_revision = version;
}

static void read_change(void *data, const char *key, const GByteArray *value,
                        uint64_t lease)
{
    (void)lease;
    struct pending_write *write = data;
    char expected[32];
    assert_int_equal(sscanf(key, "q/team%%20%d", &write->team), 1);
    record_key(write->team, expected);
    assert_string_equal(key, expected);
    write->value = g_byte_array_append(g_byte_array_new(), value->data, value->len);
}

/* Commits the write if its conditions still hold. */
static bool commit(const struct pending_write *write)
{
    if (write->owner_revision != owner_revisions[write->partition] ||
        write->record_revision != record_revisions[write->team])
        return false;
    record_revisions[write->team] = ++revision;
    struct event event = {write->team, revision, write->value};
    g_array_append_val(events, event);
    return true;
}

/* Processors of the team's limit that partition i may use. */
static double quota_share_cpus(int i, int team)
{
    double cpus, gpus;
    lmn_quota_share(cores[i], &cores[i]->partitions[i], team, &cpus, &gpus);
    return cpus;
}

static double sum_of_shares_cpus(int team)
{
    double sum = 0;

    for (int i = 0; i < partition_count; i++)
        sum += quota_share_cpus(i, team);
    return sum;
}

/* No partition uses more than its share, and the shares add up to the limit at most. */
static void check_limits(void)
{
    for (int team = 0; team < (int)settings.team_count; team++) {
        for (int i = 0; i < partition_count; i++)
            assert_true(cores[i]->partitions[i].quota.used_cpus[team] <=
                        quota_share_cpus(i, team) + 1e-6);
        assert_true(sum_of_shares_cpus(team) <= LIMIT + 1e-6);
    }
}

/* Completes the writes of core i: with a generator, 15 % each are rejected, are committed
 * later if at all, or are committed with the answer lost; without one, all reach the
 * store. */
static void complete_writes(GRand *generator, int i)
{
    struct lmn_txn *txn;

    lmn_range_writer_flush(cores[i], now);
    while ((txn = lmn_kv_client_dequeue(cores[i]->kv_client))) {
        struct pending_write write = {.partition = i};
        double fault = generator ? g_rand_double(generator) : 1;
        enum lmn_txn_outcome outcome = LMN_TXN_UNKNOWN;
        lmn_txn_foreach_condition(txn, read_condition, &write);
        lmn_txn_foreach_operation(txn, read_change, &write);
        if (fault < 0.15)
            outcome = LMN_TXN_REJECTED;
        else if (fault < 0.3)
            g_array_append_val(delayed_writes, write);
        else if (fault < 0.45)
            commit(&write); /* the answer is lost */
        else
            outcome = commit(&write) ? LMN_TXN_COMMITTED : LMN_TXN_CONFLICT;
        lmn_txn_complete(txn, outcome, revision);
    }
}

/* The partition's owner crashes. Its successor has applied all events before it takes
 * ownership. */
static void crash(int i)
{
    struct lmn_partition *partition = &cores[i]->partitions[i];

    lmn_partition_end_ownership(cores[i], partition, "crash");
    apply_events(i, events->len);
    take_ownership(i);
    memset(partition->quota.used_cpus, 0,
           settings.team_count * sizeof *partition->quota.used_cpus);
}

/* Starts tasks that use a random part of the unused share, and with a probability of 0.3
 * ends some. */
static void use_quota(GRand *generator, int i, int team)
{
    double *used = &cores[i]->partitions[i].quota.used_cpus[team];
    double unused = quota_share_cpus(i, team) - *used;

    *used += unused > 0 ? g_rand_double_range(generator, 0, unused + 1e-9) : 0;
    if (g_rand_double(generator) < 0.3)
        *used *= g_rand_double(generator);
}

/* Completes all writes without faults; then no transfer is in progress, and the shares
 * add up to the whole limit again. */
static void deliver_all_writes(void)
{
    for (int k = 0; k < 20; k++) {
        now = lmn_time_add(now, 1);
        for (int i = 0; i < partition_count; i++) {
            complete_writes(NULL, i);
            apply_events(i, events->len);
        }
    }
    for (int i = 0; i < partition_count; i++)
        assert_int_equal(cores[i]->partitions[i].quota.transfer.team, -1);
    for (int team = 0; team < (int)settings.team_count; team++)
        assert_true(sum_of_shares_cpus(team) > LIMIT - 1e-6);
}

/* Random transfers, faults, crashes and starts; checks the limits after each step. */
static void transfer_quota_at_random(GRand *generator, int steps)
{
    for (int step = 0; step < steps; step++) {
        int i = g_rand_int_range(generator, 0, partition_count);
        int team = g_rand_int_range(generator, 0, (gint32)settings.team_count);
        now = lmn_time_add(now, 0.2);
        if (g_rand_double(generator) < 0.4)
            lmn_quota_transfer_begin(cores[i], &cores[i]->partitions[i], team,
                                     g_rand_int_range(generator, 0, partition_count),
                                     g_rand_double_range(generator, 0, LIMIT), 0);
        complete_writes(generator, i);
        if (delayed_writes->len && g_rand_double(generator) < 0.3) {
            guint index =
                (guint)g_rand_int_range(generator, 0, (gint32)delayed_writes->len);
            struct pending_write write =
                g_array_index(delayed_writes, struct pending_write, index);
            g_array_remove_index(delayed_writes, index);
            commit(&write);
        }
        if (g_rand_double(generator) < 0.7)
            apply_events(i, (guint)g_rand_int_range(generator, (gint32)applied_events[i],
                                                    (gint32)events->len + 1));
        if (g_rand_double(generator) < 0.03)
            crash(i);
        use_quota(generator, i, team);
        check_limits();
    }
}

static void shares_never_exceed_the_limit(void **state)
{
    unsigned committed_transfers = 0;
    (void)state;

    for (uint32_t seed = 0; seed < 40; seed++) {
        GRand *generator = g_rand_new_with_seed(seed);
        set_up(seed, 3, 1);
        transfer_quota_at_random(generator, 600);
        committed_transfers += events->len;
        deliver_all_writes();
        g_rand_free(generator);
    }
    assert_true(committed_transfers > 40 * 20);
}

/* Random transfers with as many teams and partitions as a large site has: each limit
 * holds, and quota of each team is transferred. */
static void limits_hold_for_many_teams_and_partitions(void **state)
{
    GRand *generator = g_rand_new_with_seed(110);
    (void)state;

    set_up(110, MAX_PARTITIONS, MAX_TEAMS);
    transfer_quota_at_random(generator, 8000);
    deliver_all_writes();
    for (int team = 0; team < MAX_TEAMS; team++)
        assert_true(record_revisions[team] > 0);
    g_rand_free(generator);
}

/* Guards against a task that needs more than an even share of its team's limit waiting
 * indefinitely. */
static void large_task_gets_quota_of_idle_partitions(void **state)
{
    (void)state;
    set_up(1, 3, 1);
    struct lmn_partition *partition = &cores[0]->partitions[0];
    struct lmn_job *job = g_new0(struct lmn_job, 1);
    struct lmn_range *range = g_new0(struct lmn_range, 1);
    struct lmn_quota_request request;

    job->spec.cpus = 20; /* of 24, in three shares of 8 */
    job->ranges = g_ptr_array_new();
    range->job = job;
    range->partition = partition;
    range->end = 1;
    range->key = g_strdup("r/0/x/0");
    range->done = g_malloc0(1);
    g_hash_table_insert(partition->ranges, range->key, range);
    lmn_range_open(cores[0], range);
    for (int turn = 0; turn < 4; turn++)
        for (int i = 1; i < partition_count; i++) {
            if (!lmn_quota_shortfall(cores[0], partition, 0, &request))
                break;
            lmn_quota_request_handle(cores[i], &cores[i]->partitions[i], 0, &request,
                                     now);
            complete_writes(NULL, i);
            for (int k = 0; k < partition_count; k++)
                apply_events(k, events->len);
            check_limits();
        }
    assert_true(quota_share_cpus(0, 0) >= 20 - 1e-6);
    assert_false(lmn_quota_shortfall(cores[0], partition, 0, &request));
}

/* The other partitions' shares are used up by small tasks, and more of these wait. Quota
 * is reserved as small tasks end: otherwise a task larger than any share would wait for
 * as long as small tasks keep arriving. */
static void large_task_gets_quota_of_busy_partitions(void **state)
{
    (void)state;
    set_up(2, 3, 1);
    struct lmn_partition *partition = &cores[0]->partitions[0];
    struct lmn_quota_request request = {0};
    GRand *generator = g_rand_new_with_seed(4);
    bool has_enough = false;

    struct lmn_job *large = g_new0(struct lmn_job, 1), *small = g_new0(struct lmn_job, 1);
    small->spec.cpus = 1;
    large->spec.cpus = 14; /* of 24, in three shares of 8 */
    large->ranges = g_ptr_array_new();
    struct lmn_range *range = g_new0(struct lmn_range, 1);
    range->job = large;
    range->partition = partition;
    range->end = 1;
    range->key = g_strdup("r/0/x/0");
    range->done = g_malloc0(1);
    g_hash_table_insert(partition->ranges, range->key, range);
    lmn_range_open(cores[0], range);
    for (int i = 1; i < partition_count; i++)
        cores[i]->partitions[i].quota.used_cpus[0] = 8;
    for (int turn = 0; turn < 200 && !has_enough; turn++) {
        now = lmn_time_add(now, 1);
        for (int i = 1; i < partition_count; i++) {
            struct lmn_partition *other = &cores[i]->partitions[i];
            /* One small task ends now and then, and others start if the quota allows. */
            if (other->quota.used_cpus[0] > 0 && g_rand_boolean(generator))
                other->quota.used_cpus[0]--;
            while (lmn_job_within_quota(cores[i], other, small))
                other->quota.used_cpus[0]++;
            if (lmn_quota_shortfall(cores[0], partition, 0, &request))
                lmn_quota_request_handle(cores[i], other, 0, &request, now);
            complete_writes(NULL, i);
            for (int k = 0; k < partition_count; k++)
                apply_events(k, events->len);
            check_limits();
        }
        has_enough = quota_share_cpus(0, 0) >= 14 - 1e-6;
    }
    assert_true(has_enough);
    g_rand_free(generator);
}

/* Guards against a partition with full machines keeping its unused share for queued
 * tasks, while another partition with free machines has no quota. */
static void partition_with_full_machines_gives_up_unused_quota(void **state)
{
    (void)state;
    set_up(3, 3, 1);
    struct lmn_core *core = cores[1];
    struct lmn_partition *partition = &core->partitions[1];
    struct lmn_job *job = g_new0(struct lmn_job, 1);
    struct lmn_range *range = g_new0(struct lmn_range, 1);
    struct lmn_machine_type type = {.name = "t", .cpus = 8};
    struct lmn_machine *machine = lmn_machine_new(partition, "host-000001");
    struct lmn_quota_request wanted = {0, 2, 0, 0, 0}, needed;
    double cpus, gpus;

    job->spec.cpus = 2;
    job->ranges = g_ptr_array_new();
    *range = (struct lmn_range){.job = job, .partition = partition, .end = 20};
    range->key = g_strdup("r/1/x/0");
    range->done = g_malloc0(3);
    g_hash_table_insert(partition->ranges, range->key, range);
    lmn_range_open(core, range);
    machine->type = &type;
    machine->lifecycle.is_accounted = true;
    machine->used.cpus = 7; /* mostly by another team */
    partition->quota.used_cpus[0] = 4;
    lmn_quota_transferable(core, partition, &wanted, &cpus, &gpus);
    assert_true(cpus == 2);
    assert_false(lmn_quota_shortfall(core, partition, 0, &needed));
    /* It requests only what its free capacity can use, and keeps what that can use. */
    partition->quota.used_cpus[0] = 8;
    assert_false(lmn_quota_shortfall(core, partition, 0, &needed));
    machine->used.cpus = 3;
    assert_true(lmn_quota_shortfall(core, partition, 0, &needed));
    assert_true(needed.cpus == 5);
    partition->quota.used_cpus[0] = 4;
    lmn_quota_transferable(core, partition, &wanted, &cpus, &gpus);
    assert_true(cpus == 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(shares_never_exceed_the_limit),
        cmocka_unit_test(limits_hold_for_many_teams_and_partitions),
        cmocka_unit_test(large_task_gets_quota_of_idle_partitions),
        cmocka_unit_test(large_task_gets_quota_of_busy_partitions),
        cmocka_unit_test(partition_with_full_machines_gives_up_unused_quota),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
