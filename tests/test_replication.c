/* Replication to a standby: generated sequences of batches that are lost, repeated, late
 * or of other streams, the checks before a warm failover, the task ledger that is
 * restored from a replica, and the removal of a standby that no longer replies. */
#include "util/log.h"
#include "partition/owner.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "replication/start_gate.h"
#include "replication/stream.h"
#include "replication/failover.h"
#include "state/task_ledger.h"
#include "state/core.h"
#include "state/watch_cache.h"
#include "state/records.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

static struct lmn_team team[1];
static struct lmn_settings settings;
static struct lmn_core *core;
static struct timespec now = {1000, 0};

static int setup(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    g_strlcpy(settings.node_name, "na", LMN_NAME_SIZE);
    g_strlcpy(settings.members[0].name, "nb", LMN_NAME_SIZE);
    settings.member_count = 1;
    settings.partition_count = 1;
    settings.heartbeat_s = 1;
    settings.lease_s = 8;
    settings.cancel_s = 30;
    settings.state_requests_per_s = settings.state_writes_per_s = 1e6;
    settings.max_value_kb = 16;
    settings.max_txn_operations = 12;
    settings.teams = team;
    g_strlcpy(settings.teams[0].name, "x", LMN_NAME_SIZE);
    settings.teams[0].cpus_max = 4;
    settings.team_count = 1;
    core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "t", .cpus = 8, .zone_count = 1};
    core->cloud.machine_types_known = true;
    return 0;
}

static int teardown(void **state)
{
    (void)state;
    lmn_kv_client_free(core->kv_client);
    lmn_core_free(core);
    return 0;
}

static struct lmn_machine_snapshot *snapshot_with_attempt(const char *name,
                                                          const char *job_id,
                                                          uint32_t index, uint64_t number)
{
    struct lmn_machine_snapshot *snapshot = lmn_machine_snapshot_new(name);
    struct lmn_attempt_snapshot attempt = {.index = index, .number = number};

    g_strlcpy(attempt.job_id, job_id, sizeof attempt.job_id);
    if (number)
        g_array_append_val(snapshot->attempts, attempt);
    return snapshot;
}

static enum lmn_replica_result apply_batch(uint64_t epoch, uint64_t stream,
                                           uint64_t number,
                                           struct lmn_machine_snapshot *snapshot)
{
    struct lmn_replication_batch *batch = lmn_replication_batch_new();

    batch->epoch = epoch;
    batch->stream = stream;
    batch->number = number;
    if (snapshot)
        g_ptr_array_add(batch->machines, snapshot);
    enum lmn_replica_result result = lmn_replica_apply(core, batch, now);
    lmn_replication_batch_free(batch);
    return result;
}

/* The batches 0, 1, 2, ... of a stream arrive late, twice, or before an earlier one. The
 * replica must apply them in order without a gap, and must hold the latest applied
 * snapshot of each machine: a replica with a gap would miss a start, whose task would run
 * twice. */
static void replica_applies_a_stream_in_order_without_gaps(void **state)
{
    GRand *rng = g_rand_new_with_seed(7);
    unsigned out_of_order = 0, repeated = 0;
    (void)state;

    for (int history = 0; history < 200; history++) {
        uint64_t stream = 100 + (uint64_t)history, next = 0, applied_attempts[4] = {0};
        for (int step = 0; step < 60; step++) {
            /* mostly the next batch; otherwise a repeated one, or one that is too early
             */
            int choice = g_rand_int_range(rng, 0, 10);
            uint64_t number =
                choice < 6 ? next
                : choice < 8
                    ? (next ? (uint64_t)g_rand_int_range(rng, 0, (gint32)next) : 0)
                    : next + 1;
            uint64_t machine_index = number % 4;
            char name[16];
            g_snprintf(name, sizeof name, "host-%d", (int)machine_index);
            enum lmn_replica_result result =
                apply_batch(1, stream, number,
                            snapshot_with_attempt(name, "run-000001", 0, 1000 + number));
            if (number > next) {
                assert_int_equal(result, LMN_REPLICA_UNKNOWN_STREAM);
                out_of_order++;
            } else {
                assert_int_equal(result, LMN_REPLICA_APPLIED);
                repeated += number < next;
            }
            if (number == next) {
                applied_attempts[machine_index] = 1000 + number;
                next++;
            }
            /* The delayed first batch of an older stream. */
            if (choice == 0 && next > 1)
                assert_int_equal(apply_batch(1, stream - 1, 0, NULL),
                                 LMN_REPLICA_UNKNOWN_STREAM);
        }
        const struct lmn_replica *replica = core->partitions[0].replication.replica;
        assert_int_equal(replica->stream, stream);
        assert_int_equal(replica->last_batch_number + 1, next);
        for (int i = 0; i < 4; i++) {
            char name[16];
            g_snprintf(name, sizeof name, "host-%d", i);
            const struct lmn_machine_snapshot *snapshot =
                g_hash_table_lookup(replica->machines, name);
            assert_int_equal(applied_attempts[i] != 0, snapshot != NULL);
            if (snapshot)
                assert_int_equal(
                    g_array_index(snapshot->attempts, struct lmn_attempt_snapshot, 0)
                        .number,
                    applied_attempts[i]);
        }
    }
    assert_true(out_of_order > 1000 && repeated > 1000);
    g_rand_free(rng);
}

static void apply_record(const char *key, GByteArray *value, uint64_t revision)
{
    struct lmn_cbor_document document;

    assert_int_equal(lmn_cbor_parse(&document, value->data, value->len), 0);
    lmn_watch_cache_apply(core, key, &document, lmn_cbor_root(&document), revision, now);
    lmn_cbor_free(&document);
    g_byte_array_unref(value);
}

static GByteArray *encode_record(const char *node, uint64_t lease, uint64_t epoch,
                                 uint64_t stream)
{
    GByteArray *value = g_byte_array_new();

    lmn_cbor_put_map(value, 4);
    lmn_cbor_put_text(value, "node"), lmn_cbor_put_text(value, node);
    lmn_cbor_put_text(value, "lease"), lmn_cbor_put_uint(value, lease);
    lmn_cbor_put_text(value, "term"), lmn_cbor_put_uint(value, epoch);
    lmn_cbor_put_text(value, "stream"), lmn_cbor_put_uint(value, stream);
    return value;
}

/* Records machines 0 to 3 and a job of four tasks with 2 processors each. The watch cache
 * then shows that this controller has claimed the partition, with claimed_stream in the
 * owner's record and standby_stream in the standby's. */
static void claim_partition(uint64_t standby_stream, uint64_t claimed_stream)
{
    struct lmn_job_spec spec = {.id = "run-000001",
                                .class_name = (char *)"c",
                                .team = (char *)"x",
                                .image = (char *)"img",
                                .tasks = 4,
                                .cpus = 2,
                                .deadline_s = -1};
    struct lmn_range range = {.first = 0, .end = 4};
    uint8_t done_tasks = 8; /* bit set: task 3 is recorded as done */
    GByteArray *machines = g_byte_array_new();

    lmn_cbor_put_array(machines, 4);
    for (int i = 0; i < 4; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "host-%d", i);
        lmn_cbor_put_array(machines, 5);
        lmn_cbor_put_text(machines, name), lmn_cbor_put_text(machines, "10.0.0.1:9000"),
            lmn_cbor_put_text(machines, "t");
        lmn_cbor_put_text(machines, "z"), lmn_cbor_put_bool(machines, false);
    }
    apply_record("j/run-000001", lmn_job_record_encode(&spec, LMN_JOB_ACTIVE, 1, 1000),
                 10);
    apply_record("r/0/run-000001/0", lmn_range_record_encode(&range, &done_tasks), 10);
    apply_record("m/0/0", machines, 11);
    apply_record("o/0", encode_record("nb", 2, 1, 0), 12);
    apply_record("b/0", encode_record("na", 1, 1, standby_stream), 13);
    apply_record("o/0", encode_record("na", 1, 2, claimed_stream), 14);
    core->lease.id = 1;
    lmn_watch_cache_begin_ownerships(core, now);
    assert_true(core->partitions[0].ownership.is_owned);
}

static struct lmn_range *loaded_range(void)
{
    return g_hash_table_lookup(core->partitions[0].ranges, "r/0/run-000001/0");
}

/* A warm failover restores the replicated attempts and counts them in their team's quota.
 * Of two attempts of a task it restores the newest; tasks recorded as done stay done;
 * tasks without a replicated attempt stay queued. */
static void warm_failover_restores_replicated_attempts(void **state)
{
    struct lmn_partition *partition = &core->partitions[0];
    (void)state;

    apply_batch(1, 7, 0, snapshot_with_attempt("host-0", "run-000001", 0, 5));
    apply_batch(1, 7, 1,
                snapshot_with_attempt("host-1", "run-000001", 0,
                                      6)); /* a newer attempt of task 0 */
    apply_batch(1, 7, 2,
                snapshot_with_attempt("host-2", "run-000001", 3,
                                      7)); /* task 3 is recorded as done */
    apply_batch(1, 7, 3,
                snapshot_with_attempt("host-9", "run-000001", 1,
                                      8)); /* no machine record names host-9 */
    struct lmn_machine_snapshot *terminated =
        snapshot_with_attempt("host-3", "run-000001", 2, 0);
    terminated->is_terminated = true;
    apply_batch(1, 7, 4, terminated);
    claim_partition(7, 7);
    assert_true(partition->ownership.is_warm && !partition->ownership.is_ready);
    assert_int_equal(loaded_range()->task_states[0], LMN_TASK_STARTED);
    assert_int_equal(loaded_range()->task_states[1], LMN_TASK_QUEUED);
    assert_int_equal(loaded_range()->task_states[2], LMN_TASK_QUEUED);
    assert_int_equal(loaded_range()->task_states[3], LMN_TASK_DONE);
    const struct lmn_machine *machine =
        g_hash_table_lookup(partition->machines, "host-1");
    assert_int_equal(machine->attempts->len, 1);
    machine = g_hash_table_lookup(partition->machines, "host-0");
    assert_int_equal(machine->attempts->len, 0);
    machine = g_hash_table_lookup(partition->machines, "host-3");
    assert_true(machine->lifecycle.is_terminated && machine->lifecycle.is_accounted);
    /* 2 processors for the restored attempt on host-1, and 2 for the attempt on host-2,
     * which still has to be stopped. */
    assert_true(partition->quota.used_cpus[0] == 4);
    assert_null(partition->replication.replica);
}

static void failover_is_cold_if_any_replica_check_fails(void **state)
{
    struct lmn_partition *partition = &core->partitions[0];
    (void)state;

    /* A replica that passes all checks, then one failing check at a time. */
    apply_batch(1, 7, 0, NULL);
    partition->record.owner_stream = partition->record.standby_stream = 7;
    partition->record.standby_epoch = 1;
    partition->record.owner_epoch = 2;
    g_strlcpy(partition->record.standby, "na", LMN_NAME_SIZE);
    assert_null(lmn_failover_cold_reason(core, partition));
    partition->record.owner_stream = 0;
    assert_string_equal(lmn_failover_cold_reason(core, partition),
                        "no standby was in sync");
    partition->record.owner_stream = 6;
    assert_string_equal(lmn_failover_cold_reason(core, partition),
                        "another member was in sync");
    partition->record.owner_stream = 7;
    g_strlcpy(partition->record.standby, "nb", LMN_NAME_SIZE);
    assert_string_equal(lmn_failover_cold_reason(core, partition),
                        "another member was in sync");
    g_strlcpy(partition->record.standby, "na", LMN_NAME_SIZE);
    partition->record.owner_epoch = 3;
    assert_string_equal(lmn_failover_cold_reason(core, partition),
                        "the replica is of another epoch");
    partition->record.owner_epoch = 2;
    partition->replication.replica->stream = 8;
    assert_string_equal(lmn_failover_cold_reason(core, partition),
                        "the replica is of another stream");
    partition->replication.replica->stream = 7;
    struct lmn_replica *replica = partition->replication.replica;
    partition->replication.replica = NULL;
    assert_string_equal(lmn_failover_cold_reason(core, partition),
                        "no replica: an earlier process of this member was in sync");
    partition->replication.replica = replica;
}

/* Batches of an owner that the watch cache shows as replaced, and batches for a partition
 * that this controller owns. */
static void batches_of_replaced_owners_are_rejected(void **state)
{
    (void)state;
    apply_batch(1, 7, 0, NULL);
    core->partitions[0].record.epoch = 2;
    assert_int_equal(apply_batch(1, 7, 1, NULL), LMN_REPLICA_REJECTED);
    assert_int_equal(apply_batch(2, 8, 0, NULL), LMN_REPLICA_APPLIED);
    core->partitions[0].ownership.is_owned = true;
    assert_int_equal(apply_batch(2, 8, 1, NULL), LMN_REPLICA_REJECTED);
    core->partitions[0].ownership.is_owned = false;
    assert_int_equal(apply_batch(9, 9, 0, NULL), LMN_REPLICA_APPLIED);
}

/* The standby stops replying while the record names it as in sync. Starts that it has not
 * acknowledged must not be sent, and no further start may be decided, until the watch
 * cache shows that it was removed from the record: until then it may take the partition
 * over without knowing those starts, whose tasks would run twice. */
static void starts_wait_until_an_unresponsive_standby_is_removed(void **state)
{
    struct lmn_partition *partition = &core->partitions[0];
    struct lmn_replication_stream *stream = &partition->replication.stream;
    struct lmn_replication_batch *batch = NULL;
    struct lmn_txn *txn = NULL;
    double wait_s;
    (void)state;

    claim_partition(0, 0);
    for (guint k = 0; k < partition->machine_list->len; k++)
        ((struct lmn_machine *)partition->machine_list->pdata[k])
            ->lifecycle.is_accounted = true;
    lmn_partition_check_ready(core, partition, now);
    assert_true(partition->ownership.is_ready);
    int standby_index = lmn_member_index(&core->members, "nb");
    struct lmn_member_health healthy = {0, 0, 0};
    lmn_member_apply_record(&core->members, standby_index, 3, 2, now);
    lmn_member_record_probe_reply(&core->members, standby_index, &healthy, now, now);
    /* No stream starts while this controller or the standby is overloaded. */
    core->load.delay_s = 1;
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait_s);
    assert_int_equal(stream->phase, LMN_STREAM_NONE);
    core->load.delay_s = 0;
    struct lmn_member_health overloaded = {1, 0, 0};
    lmn_member_record_probe_reply(&core->members, standby_index, &overloaded, now, now);
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait_s);
    assert_int_equal(stream->phase, LMN_STREAM_NONE);
    lmn_member_record_probe_reply(&core->members, standby_index, &healthy, now, now);
    for (int k = 0; k < 9 && stream->phase != LMN_STREAM_JOINING; k++)
        if (lmn_replication_next_step(core, partition, now, &batch, &txn, &wait_s) ==
            LMN_REPLICATION_SEND)
            lmn_replication_batch_sent(core, partition, batch, true, LMN_REPLICA_APPLIED,
                                       now);
    assert_int_equal(stream->phase, LMN_STREAM_JOINING);
    if (txn)
        lmn_txn_free(txn);
    txn = NULL;
    apply_record("b/0", encode_record("nb", 2, 2, stream->id), 20);
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait_s);
    assert_int_equal(stream->phase, LMN_STREAM_IN_SYNC);
    /* The snapshot must not count in the acknowledgement latency: no start waited for it,
     * and its latency would be counted from time 0. */
    assert_true(core->latencies.replication.max < 1);
    /* During an outage of the key-value store the standby's watch cache is stale, as
     * every member's is; that must not end the stream. */
    struct lmn_member_health stale_cache = {0, 30, 0};
    lmn_member_record_probe_reply(&core->members, standby_index, &stale_cache, now, now);
    assert_false(lmn_member_is_trusted(&core->members, standby_index, now));
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait_s);
    assert_int_equal(stream->phase, LMN_STREAM_IN_SYNC);
    uint64_t log_position = lmn_machine_log_start(partition->machine_list->pdata[0], now);
    assert_true(log_position &&
                !lmn_replication_allows_starts_up_to(partition, log_position) &&
                !lmn_replication_is_stuck(partition, now));
    for (int k = 0; k < 3; k++) {
        now = lmn_time_add(now, 0.15);
        if (lmn_replication_next_step(core, partition, now, &batch, &txn, &wait_s) ==
            LMN_REPLICATION_SEND)
            lmn_replication_batch_sent(core, partition, batch, false, LMN_REPLICA_APPLIED,
                                       now);
    }
    assert_true(lmn_replication_is_stuck(partition, now));
    if (!txn)
        assert_int_equal(
            lmn_replication_next_step(core, partition, now, &batch, &txn, &wait_s),
            LMN_REPLICATION_WRITE);
    assert_int_equal(stream->phase, LMN_STREAM_REMOVING);
    lmn_txn_free(txn);
    /* The starts wait until the record is changed, however long that takes. */
    now = lmn_time_add(now, 100);
    assert_false(lmn_replication_allows_starts_up_to(partition, log_position));
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait_s);
    assert_int_equal(stream->phase, LMN_STREAM_REMOVING);
    lmn_txn_free(txn);
    apply_record("b/0", encode_record("", 0, 2, 0), 21);
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait_s);
    assert_true(lmn_replication_allows_starts_up_to(partition, log_position) &&
                !lmn_replication_is_stuck(partition, now));
}

int main(void)
{
#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
    const struct CMUnitTest tests[] = {
        TEST(replica_applies_a_stream_in_order_without_gaps),
        TEST(warm_failover_restores_replicated_attempts),
        TEST(failover_is_cold_if_any_replica_check_fails),
        TEST(batches_of_replaced_owners_are_rejected),
        TEST(starts_wait_until_an_unresponsive_standby_is_removed),
    };
    lmn_log_level = LMN_LOG_ERROR;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
