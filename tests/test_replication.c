/* What a standby has been told, held against what there was to tell: generated histories
 * of batches that are lost, repeated, late and of other streams; and what a takeover
 * makes of a copy. */
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
static struct lmn_settings cfg;
static struct lmn_core *core;
static struct timespec now = {1000, 0};

static int setup(void **state)
{
    (void)state;
    memset(&cfg, 0, sizeof cfg);
    g_strlcpy(cfg.node_name, "na", LMN_NAME_SIZE);
    g_strlcpy(cfg.members[0].name, "nb", LMN_NAME_SIZE);
    cfg.member_count = 1;
    cfg.partition_count = 1;
    cfg.heartbeat_s = 1;
    cfg.lease_s = 8;
    cfg.cancel_s = 30;
    cfg.state_requests_per_s = cfg.state_writes_per_s = 1e6;
    cfg.max_value_kb = 16;
    cfg.max_txn_operations = 12;
    cfg.teams = team;
    g_strlcpy(cfg.teams[0].name, "x", LMN_NAME_SIZE);
    cfg.teams[0].cpus_max = 4;
    cfg.team_count = 1;
    core = lmn_core_new(&cfg, lmn_kv_client_new(&cfg), 1);
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

static struct lmn_machine_snapshot *told(const char *name, const char *ref,
                                         uint32_t index, uint64_t number)
{
    struct lmn_machine_snapshot *snapshot = lmn_machine_snapshot_new(name);
    struct lmn_attempt_snapshot a = {.index = index, .number = number};

    g_strlcpy(a.job_id, ref, sizeof a.job_id);
    if (number)
        g_array_append_val(snapshot->attempts, a);
    return snapshot;
}

static enum lmn_replica_result give(uint64_t epoch, uint64_t stream, uint64_t number,
                                    struct lmn_machine_snapshot *snapshot)
{
    struct lmn_replication_batch *batch = lmn_replication_batch_new();

    batch->epoch = epoch;
    batch->stream = stream;
    batch->number = number;
    if (snapshot)
        g_ptr_array_add(batch->machines, snapshot);
    enum lmn_replica_result a = lmn_replica_apply(core, batch, now);
    lmn_replication_batch_free(batch);
    return a;
}

/* Any history of the batches 0, 1, 2, ... of a stream, of which each may come late,
 * twice, or before another was acknowledged: those that were taken stand in their order
 * without a hole, and the copy is what the last of them said of each machine. */
static void copies_have_no_hole(void **state)
{
    GRand *r = g_rand_new_with_seed(7);
    unsigned refused = 0, repeated = 0;
    (void)state;

    for (int day = 0; day < 200; day++) {
        uint64_t stream = 100 + (uint64_t)day, next = 0, said[4] = {0};
        for (int k = 0; k < 60; k++) {
            /* mostly the next; else one that was, or one too early */
            int off = g_rand_int_range(r, 0, 10);
            uint64_t number =
                off < 6   ? next
                : off < 8 ? (next ? (uint64_t)g_rand_int_range(r, 0, (gint32)next) : 0)
                          : next + 1;
            uint64_t which = number % 4;
            char name[16];
            g_snprintf(name, sizeof name, "host-%d", (int)which);
            enum lmn_replica_result a =
                give(1, stream, number, told(name, "run-000001", 0, 1000 + number));
            if (number > next) {
                assert_int_equal(a, LMN_REPLICA_UNKNOWN_STREAM);
                refused++;
            } else {
                assert_int_equal(a, LMN_REPLICA_APPLIED);
                repeated += number < next;
            }
            if (number == next) {
                said[which] = 1000 + number;
                next++;
            }
            /* Another stream's late beginning, and one of a term that is over. */
            if (off == 0 && next > 1)
                assert_int_equal(give(1, stream - 1, 0, NULL),
                                 LMN_REPLICA_UNKNOWN_STREAM);
        }
        const struct lmn_replica *copy = core->partitions[0].replication.replica;
        assert_int_equal(copy->stream, stream);
        assert_int_equal(copy->last_batch_number + 1, next);
        for (int i = 0; i < 4; i++) {
            char name[16];
            g_snprintf(name, sizeof name, "host-%d", i);
            const struct lmn_machine_snapshot *snapshot =
                g_hash_table_lookup(copy->machines, name);
            assert_int_equal(said[i] != 0, snapshot != NULL);
            if (snapshot)
                assert_int_equal(
                    g_array_index(snapshot->attempts, struct lmn_attempt_snapshot, 0)
                        .number,
                    said[i]);
        }
    }
    assert_true(refused > 1000 && repeated > 1000);
    g_rand_free(r);
}

static void put(const char *key, GByteArray *v, uint64_t revision)
{
    struct lmn_cbor_document d;

    assert_int_equal(lmn_cbor_parse(&d, v->data, v->len), 0);
    lmn_watch_cache_apply(core, key, &d, lmn_cbor_root(&d), revision, now);
    lmn_cbor_free(&d);
    g_byte_array_unref(v);
}

static GByteArray *owner(const char *node, uint64_t lease, uint64_t epoch,
                         uint64_t stream)
{
    GByteArray *b = g_byte_array_new();

    lmn_cbor_put_map(b, 4);
    lmn_cbor_put_text(b, "node"), lmn_cbor_put_text(b, node);
    lmn_cbor_put_text(b, "lease"), lmn_cbor_put_uint(b, lease);
    lmn_cbor_put_text(b, "term"), lmn_cbor_put_uint(b, epoch);
    lmn_cbor_put_text(b, "stream"), lmn_cbor_put_uint(b, stream);
    return b;
}

/* Machines 0 to 3 are recorded, and a job of four tasks of 2 processors each; the
 * mirror then shows that the partition is ours, by a claim on the stream. */
static void begin(uint64_t copied, uint64_t claimed)
{
    struct lmn_job_spec spec = {.id = "run-000001",
                                .class_name = (char *)"c",
                                .team = (char *)"x",
                                .image = (char *)"img",
                                .tasks = 4,
                                .cpus = 2,
                                .deadline_s = -1};
    struct lmn_range range = {.first = 0, .end = 4};
    uint8_t done = 8; /* the last is recorded as done */
    GByteArray *b = g_byte_array_new();

    lmn_cbor_put_array(b, 4);
    for (int i = 0; i < 4; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "host-%d", i);
        lmn_cbor_put_array(b, 5);
        lmn_cbor_put_text(b, name), lmn_cbor_put_text(b, "10.0.0.1:9000"),
            lmn_cbor_put_text(b, "t");
        lmn_cbor_put_text(b, "z"), lmn_cbor_put_bool(b, false);
    }
    put("j/run-000001", lmn_job_record_encode(&spec, LMN_JOB_ACTIVE, 1, 1000), 10);
    put("r/0/run-000001/0", lmn_range_record_encode(&range, &done), 10);
    put("m/0/0", b, 11);
    put("o/0", owner("nb", 2, 1, 0), 12);
    put("b/0", owner("na", 1, 1, copied), 13);
    put("o/0", owner("na", 1, 2, claimed), 14);
    core->lease.id = 1;
    lmn_watch_cache_begin_ownerships(core, now);
    assert_true(core->partitions[0].ownership.is_owned);
}

static struct lmn_range *range(void)
{
    return g_hash_table_lookup(core->partitions[0].ranges, "r/0/run-000001/0");
}

/* Tasks that were told are held, in their teams' limits too; of two attempts the newest;
 * what is recorded as done stays so; what was not told is free. */
static void a_warm_takeover_holds_what_was_told(void **state)
{
    struct lmn_partition *partition = &core->partitions[0];
    (void)state;

    give(1, 7, 0, told("host-0", "run-000001", 0, 5));
    give(1, 7, 1, told("host-1", "run-000001", 0, 6)); /* once more, later */
    give(1, 7, 2, told("host-2", "run-000001", 3, 7)); /* recorded as done */
    give(1, 7, 3, told("host-9", "run-000001", 1, 8)); /* no block names it: it is gone */
    struct lmn_machine_snapshot *gone = told("host-3", "run-000001", 2, 0);
    gone->is_terminated = true;
    give(1, 7, 4, gone);
    begin(7, 7);
    assert_true(partition->ownership.is_warm && !partition->ownership.is_ready);
    assert_int_equal(range()->task_states[0], LMN_TASK_STARTED);
    assert_int_equal(range()->task_states[1], LMN_TASK_QUEUED);
    assert_int_equal(range()->task_states[2], LMN_TASK_QUEUED);
    assert_int_equal(range()->task_states[3], LMN_TASK_DONE);
    const struct lmn_machine *machine =
        g_hash_table_lookup(partition->machines, "host-1");
    assert_int_equal(machine->attempts->len, 1);
    machine = g_hash_table_lookup(partition->machines, "host-0");
    assert_int_equal(machine->attempts->len, 0);
    machine = g_hash_table_lookup(partition->machines, "host-3");
    assert_true(machine->lifecycle.is_terminated && machine->lifecycle.is_accounted);
    /* The one that is held, and the one on host-2 that has to go. */
    assert_true(partition->quota.used_cpus[0] == 4);
    assert_null(partition->replication.replica);
}

static void each_check_before_the_first_decision(void **state)
{
    struct lmn_partition *partition = &core->partitions[0];
    (void)state;

    /* Whole: NULL. Then each thing that may be otherwise, by itself. */
    give(1, 7, 0, NULL);
    partition->record.owner_stream = partition->record.standby_stream = 7;
    partition->record.standby_epoch = 1;
    partition->record.owner_epoch = 2;
    g_strlcpy(partition->record.standby, "na", LMN_NAME_SIZE);
    assert_null(lmn_failover_cold_reason(core, partition));
    partition->record.owner_stream = 0;
    assert_string_equal(lmn_failover_cold_reason(core, partition), "nobody was in step");
    partition->record.owner_stream = 6;
    assert_string_equal(lmn_failover_cold_reason(core, partition), "another was in step");
    partition->record.owner_stream = 7;
    g_strlcpy(partition->record.standby, "nb", LMN_NAME_SIZE);
    assert_string_equal(lmn_failover_cold_reason(core, partition), "another was in step");
    g_strlcpy(partition->record.standby, "na", LMN_NAME_SIZE);
    partition->record.owner_epoch = 3;
    assert_string_equal(lmn_failover_cold_reason(core, partition),
                        "the copy is of another term");
    partition->record.owner_epoch = 2;
    partition->replication.replica->stream = 8;
    assert_string_equal(lmn_failover_cold_reason(core, partition),
                        "the copy is of another stream");
    partition->replication.replica->stream = 7;
    struct lmn_replica *copy = partition->replication.replica;
    partition->replication.replica = NULL;
    assert_string_equal(lmn_failover_cold_reason(core, partition),
                        "no copy: another life was in step");
    partition->replication.replica = copy;
}

/* A batch of an owner that the mirror shows replaced, or of a partition of ours. */
static void owners_that_were_replaced_are_refused(void **state)
{
    (void)state;
    give(1, 7, 0, NULL);
    core->partitions[0].record.epoch = 2;
    assert_int_equal(give(1, 7, 1, NULL), LMN_REPLICA_REJECTED);
    assert_int_equal(give(2, 8, 0, NULL), LMN_REPLICA_APPLIED);
    core->partitions[0].ownership.is_owned = true;
    assert_int_equal(give(2, 8, 1, NULL), LMN_REPLICA_REJECTED);
    core->partitions[0].ownership.is_owned = false;
    assert_int_equal(give(9, 9, 0, NULL), LMN_REPLICA_APPLIED);
}

/* The standby falls silent while its record stands: nothing goes out, nothing more is
 * decided on, until the mirror shows that it was struck off. */
static void silence_stops_starts_until_the_record_is_empty(void **state)
{
    struct lmn_partition *partition = &core->partitions[0];
    struct lmn_replication_stream *stream = &partition->replication.stream;
    struct lmn_replication_batch *batch = NULL;
    struct lmn_txn *txn = NULL;
    double wait;
    (void)state;

    begin(0, 0);
    for (guint k = 0; k < partition->machine_list->len; k++)
        ((struct lmn_machine *)partition->machine_list->pdata[k])
            ->lifecycle.is_accounted = true;
    lmn_partition_check_ready(core, partition, now);
    assert_true(partition->ownership.is_ready);
    int nb = lmn_member_index(&core->members, "nb");
    struct lmn_member_health well = {0, 0, 0};
    lmn_member_apply_record(&core->members, nb, 3, 2, now);
    lmn_member_record_probe_reply(&core->members, nb, &well, now, now);
    /* Not while either is behind. */
    core->load.delay_s = 1;
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait);
    assert_int_equal(stream->phase, LMN_STREAM_NONE);
    core->load.delay_s = 0;
    struct lmn_member_health late = {1, 0, 0};
    lmn_member_record_probe_reply(&core->members, nb, &late, now, now);
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait);
    assert_int_equal(stream->phase, LMN_STREAM_NONE);
    lmn_member_record_probe_reply(&core->members, nb, &well, now, now);
    for (int k = 0; k < 9 && stream->phase != LMN_STREAM_JOINING; k++)
        if (lmn_replication_next_step(core, partition, now, &batch, &txn, &wait) ==
            LMN_REPLICATION_SEND)
            lmn_replication_batch_sent(core, partition, batch, true, LMN_REPLICA_APPLIED,
                                       now);
    assert_int_equal(stream->phase, LMN_STREAM_JOINING);
    if (txn)
        lmn_txn_free(txn);
    txn = NULL;
    put("b/0", owner("nb", 2, 2, stream->id), 20);
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait);
    assert_int_equal(stream->phase, LMN_STREAM_IN_SYNC);
    /* Found in a status: what was told before anything waited counted as waiting, from
     * the beginning of time on. */
    assert_true(core->latencies.replication.max < 1);
    /* In an outage of the state service its mirror stands still, as everybody's does. */
    struct lmn_member_health old = {0, 30, 0};
    lmn_member_record_probe_reply(&core->members, nb, &old, now, now);
    assert_false(lmn_member_is_trusted(&core->members, nb, now));
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait);
    assert_int_equal(stream->phase, LMN_STREAM_IN_SYNC);
    uint64_t mark = lmn_machine_log_start(partition->machine_list->pdata[0], now);
    assert_true(mark && !lmn_replication_covers(partition, mark) &&
                !lmn_replication_is_stuck(partition, now));
    for (int k = 0; k < 3; k++) {
        now = lmn_time_add(now, 0.15);
        if (lmn_replication_next_step(core, partition, now, &batch, &txn, &wait) ==
            LMN_REPLICATION_SEND)
            lmn_replication_batch_sent(core, partition, batch, false, LMN_REPLICA_APPLIED,
                                       now);
    }
    assert_true(lmn_replication_is_stuck(partition, now));
    if (!txn)
        assert_int_equal(
            lmn_replication_next_step(core, partition, now, &batch, &txn, &wait),
            LMN_REPLICATION_WRITE);
    assert_int_equal(stream->phase, LMN_STREAM_REMOVING);
    lmn_txn_free(txn);
    /* However long that takes. */
    now = lmn_time_add(now, 100);
    assert_false(lmn_replication_covers(partition, mark));
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait);
    assert_int_equal(stream->phase, LMN_STREAM_REMOVING);
    lmn_txn_free(txn);
    put("b/0", owner("", 0, 2, 0), 21);
    lmn_replication_next_step(core, partition, now, &batch, &txn, &wait);
    assert_true(lmn_replication_covers(partition, mark) &&
                !lmn_replication_is_stuck(partition, now));
}

int main(void)
{
#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
    const struct CMUnitTest tests[] = {
        TEST(copies_have_no_hole),
        TEST(a_warm_takeover_holds_what_was_told),
        TEST(each_check_before_the_first_decision),
        TEST(owners_that_were_replaced_are_refused),
        TEST(silence_stops_starts_until_the_record_is_empty),
    };
    lmn_log_level = LMN_LOG_ERROR;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
