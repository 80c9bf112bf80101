/* Guards against changes in the encoding of records in the key-value store, which running
 * clusters have stored. Each golden record is decoded and encoded again to the same
 * bytes, and the transactions that write it use the same key and lease. */
#include "golden.h"

#include "util/clock.h"
#include "config/operator_settings.h"
#include "partition/machine_block.h"
#include "partition/range_writer.h"
#include "partition/ownership.h"
#include "partition/quota_transfer.h"
#include "partition/owner.h"
#include "partition/partition.h"
#include "partition/partition_claim.h"
#include "controller/request_decisions.h"
#include "controller/submission.h"
#include "replication/stream.h"
#include "state/fencing_token.h"
#include "state/watch_cache.h"
#include "state/task_ledger.h"
#include "state/records.h"
#include "kv_client/kv_client.h"

/* The tests do not free their cores, so leak detection is off. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct timespec now = {1000000, 0};
static struct lmn_team teams[] = {
    {.name = "ml train", .cpus = 10, .cpus_max = 100.5, .gpus = 1, .gpus_max = 8}};
static struct lmn_settings settings;

static struct lmn_core *new_core(void)
{
    memset(&settings, 0, sizeof settings);
    g_strlcpy(settings.node_name, "na", LMN_NAME_SIZE);
    g_strlcpy(settings.zone, "y", LMN_NAME_SIZE);
    settings.member_count = 1;
    g_strlcpy(settings.members[0].name, "nb", LMN_NAME_SIZE);
    g_strlcpy(settings.members[0].zone, "z", LMN_NAME_SIZE);
    settings.partition_count = 2;
    settings.heartbeat_s = 1;
    settings.lease_s = 8;
    settings.cancel_s = 30;
    settings.state_requests_per_s = settings.state_writes_per_s = 1e6;
    settings.max_value_kb = 16;
    settings.max_txn_operations = 12;
    settings.teams = teams;
    settings.team_count = G_N_ELEMENTS(teams);
    struct lmn_core *core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "x", .cpus = 8, .memory_gb = 64};
    core->cloud.machine_types_known = core->cache.is_synced = true;
    core->lease.id = 77;
    core->booted_at = core->cache.synced_at = core->lease.acquired_at =
        lmn_time_add(now, -100);
    core->members.synced_at = core->members.cache_fresh_at =
        core->members.cache_fresh_since = lmn_time_add(now, -100);
    core->cache.fresh_at = now;
    return core;
}

/* --- writes of a transaction --- */

struct key_search {
    const char *key;
    GByteArray *value;
    uint64_t lease;
    bool removed;
};

static void find_write(void *arg, const char *key, const GByteArray *value,
                       uint64_t lease)
{
    struct key_search *search = arg;

    if (strcmp(search->key, key))
        return;
    search->removed = !value;
    search->lease = lease;
    if (value)
        search->value = g_byte_array_append(g_byte_array_new(), value->data, value->len);
}

/* Asserts that the transaction writes the golden record to the key, tied to the lease. */
static void writes_record(const struct lmn_txn *txn, const char *key, uint64_t lease,
                          const char *name)
{
    struct key_search search = {.key = key};

    assert_non_null(txn);
    lmn_txn_foreach_operation(txn, find_write, &search);
    if (!search.value) {
        fail_msg("the transaction writes nothing to key %s", key);
        return; /* not reached; the static analyzer does not know that fail_msg never
                   returns */
    }
    assert_int_equal(search.lease, lease);
    golden_assert_equal(name, search.value->data, search.value->len);
    g_byte_array_unref(search.value);
}

/* Takes the next transaction from the client's queue, asserts that it writes the golden
 * record to the key, tied to the lease, and rejects it. */
static void next_txn_writes_record(struct lmn_core *core, const char *key, uint64_t lease,
                                   const char *name)
{
    struct lmn_txn *txn = lmn_kv_client_dequeue(core->kv_client);

    writes_record(txn, key, lease, name);
    lmn_txn_complete(txn, LMN_TXN_REJECTED, 0);
}

static void apply(struct lmn_core *core, const char *key, const char *name,
                  uint64_t revision)
{
    GByteArray *bytes = golden_read(name);
    struct lmn_cbor_document document;

    assert_int_equal(lmn_cbor_parse(&document, bytes->data, bytes->len), 0);
    lmn_watch_cache_apply(core, key, &document, lmn_cbor_root(&document), revision, now);
    lmn_cbor_free(&document);
    g_byte_array_unref(bytes);
}

/* --- jobs --- */

static struct lmn_job_spec required_fields_spec(void)
{
    return (struct lmn_job_spec){.id = "run-000412",
                                 .class_name = (char *)"etl",
                                 .team = (char *)"ml train",
                                 .image = (char *)"base:1",
                                 .kind = LMN_JOB_BATCH,
                                 .priority = LMN_PRIORITY_NORMAL,
                                 .tasks = 100,
                                 .cpus = 2,
                                 .memory_gb = 4.5,
                                 .image_gb = 1.25,
                                 .estimate_s = 60,
                                 .deadline_s = -1};
}

static struct lmn_job_spec all_fields_spec(void)
{
    static const char *const types[] = {"x", "y-large", NULL};

    return (struct lmn_job_spec){.id = "run-7",
                                 .class_name = (char *)"serving",
                                 .team = (char *)"ml train",
                                 .image = (char *)"modèle:2",
                                 .zone = (char *)"a",
                                 .machine_types = (char **)(void *)types,
                                 .kind = LMN_JOB_SERVICE,
                                 .priority = LMN_PRIORITY_PRODUCTION,
                                 .tasks = 70000,
                                 .cpus = 0.5,
                                 .gpus = 1,
                                 .memory_gb = 16,
                                 .image_gb = 0,
                                 .estimate_s = 3600.25,
                                 .checkpoint_s = 300,
                                 .save_s = 12,
                                 .deadline_s = 86400,
                                 .requires_one_zone = true,
                                 .spreads_over_zones = true,
                                 .may_use_spot = true};
}

static void assert_same_spec(const struct lmn_job_spec *actual,
                             const struct lmn_job_spec *expected)
{
    assert_string_equal(actual->id, expected->id);
    assert_string_equal(actual->class_name, expected->class_name);
    assert_string_equal(actual->team, expected->team);
    assert_string_equal(actual->image, expected->image);
    assert_int_equal(g_strcmp0(actual->zone, expected->zone), 0);
    assert_int_equal(actual->machine_types != NULL, expected->machine_types != NULL);
    if (actual->machine_types)
        assert_true(g_strv_equal((const char *const *)actual->machine_types,
                                 (const char *const *)expected->machine_types));
    assert_int_equal(actual->kind, expected->kind);
    assert_int_equal(actual->priority, expected->priority);
    assert_int_equal(actual->tasks, expected->tasks);
    assert_true(actual->cpus == expected->cpus && actual->gpus == expected->gpus &&
                actual->memory_gb == expected->memory_gb);
    assert_true(actual->image_gb == expected->image_gb &&
                actual->estimate_s == expected->estimate_s);
    assert_true(actual->checkpoint_s == expected->checkpoint_s &&
                actual->save_s == expected->save_s);
    assert_true(actual->deadline_s == expected->deadline_s);
    assert_int_equal(actual->requires_one_zone, expected->requires_one_zone);
    assert_int_equal(actual->spreads_over_zones, expected->spreads_over_zones);
    assert_int_equal(actual->may_use_spot, expected->may_use_spot);
}

static void job_record_keeps_bytes(const char *name, struct lmn_job_spec spec,
                                   enum lmn_job_phase phase, uint32_t open_ranges,
                                   double accepted_at_s)
{
    enum lmn_job_phase read_phase;
    struct lmn_job_spec read_spec;
    uint32_t read_open_ranges;
    struct lmn_cbor_document document;
    double read_accepted_at_s;

    GByteArray *bytes = lmn_job_record_encode(&spec, phase, open_ranges, accepted_at_s);
    golden_assert_equal(name, bytes->data, bytes->len);
    g_byte_array_unref(bytes);

    GByteArray *kept = golden_read(name);
    assert_int_equal(lmn_cbor_parse(&document, kept->data, kept->len), 0);
    assert_int_equal(lmn_job_record_decode(&document, lmn_cbor_root(&document),
                                           &read_spec, &read_phase, &read_open_ranges,
                                           &read_accepted_at_s),
                     0);
    assert_same_spec(&read_spec, &spec);
    assert_int_equal(read_phase, phase);
    assert_int_equal(read_open_ranges, open_ranges);
    assert_true(read_accepted_at_s == accepted_at_s);
    bytes = lmn_job_record_encode(&read_spec, read_phase, read_open_ranges,
                                  read_accepted_at_s);
    golden_assert_equal(name, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    lmn_job_spec_clear(&read_spec);
    lmn_cbor_free(&document);
    g_byte_array_unref(kept);
}

static void job_record_of_an_active_job_keeps_its_bytes(void **state)
{
    (void)state;
    job_record_keeps_bytes("job_active", required_fields_spec(), LMN_JOB_ACTIVE, 1,
                           1700000000.25);
}

static void job_record_of_a_cancelled_job_keeps_its_bytes(void **state)
{
    (void)state;
    job_record_keeps_bytes("job_withdrawn", required_fields_spec(), LMN_JOB_CANCELLED, 1,
                           1700000000.25);
    struct lmn_job_read_result read_result = {.status = 200,
                                              .revision = 5,
                                              .spec = required_fields_spec(),
                                              .open_ranges = 1,
                                              .accepted_at_s = 1700000000.25};
    struct lmn_job_reply reply;
    struct lmn_txn *txn = lmn_cancellation_txn("run-000412", &read_result, 404, &reply);
    writes_record(txn, "j/run-000412", 0, "job_withdrawn");
    lmn_txn_free(txn);
}

static void job_record_of_a_finished_job_keeps_its_bytes(void **state)
{
    (void)state;
    job_record_keeps_bytes("job_finished", required_fields_spec(), LMN_JOB_DONE, 0,
                           1700000000.25);
}

static void job_record_with_all_optional_fields_keeps_its_bytes(void **state)
{
    (void)state;
    job_record_keeps_bytes("job_all_fields", all_fields_spec(), LMN_JOB_ACTIVE, 300, 0);
    job_record_keeps_bytes("job_all_fields_withdrawn", all_fields_spec(),
                           LMN_JOB_CANCELLED, 70000, 1e10);
}

static void submission_writes_the_records_of_job_and_range(void **state)
{
    struct lmn_core *core = new_core();
    struct lmn_job_spec spec = required_fields_spec();
    (void)state;

    spec.requires_one_zone = true; /* so that there is one range, in one partition */
    struct lmn_txn *txn = lmn_submission_txn(core, &spec, 1700000000.25, NULL, NULL);
    assert_int_equal(lmn_txn_operation_count(txn), 2);
    writes_record(txn, "j/run-000412", 0, "job_submitted");
    int partition = (int)(g_str_hash(spec.id) % 2);
    char key[64];
    g_snprintf(key, sizeof key, "r/%d/run-000412/0", partition);
    writes_record(txn, key, 0, "range_submitted");
    lmn_txn_free(txn);
    apply(core, "j/run-000412", "job_submitted", 3);
    apply(core, key, "range_submitted", 3);
    const struct lmn_range *range =
        g_hash_table_lookup(core->partitions[partition].ranges, key);
    assert_non_null(range);
    assert_int_equal(range->first, 0);
    assert_int_equal(range->end, 100);
    assert_int_equal(range->done_count, 0);
    assert_true(range->job->accepted_at_s == 1700000000.25);
}

/* --- ranges --- */

static void range_record_with_a_done_set_keeps_its_bytes(void **state)
{
    static const char key[] = "r/1/run-000412/20";
    uint8_t done[8] = {0};
    struct lmn_core *core = new_core();
    (void)state;

    for (uint32_t i = 0; i < 40; i += i % 3 + 1)
        lmn_bitset_set(done, i);
    struct lmn_range range = {.first = 20, .end = 80};
    GByteArray *bytes = lmn_range_record_encode(&range, done);
    golden_assert_equal("range_done", bytes->data, bytes->len);
    g_byte_array_unref(bytes);

    core->partitions[1].ownership.is_owned = core->partitions[1].ownership.is_ready =
        true;
    apply(core, "j/run-000412", "job_active", 3);
    apply(core, key, "range_done", 4);
    struct lmn_range *cached_range = g_hash_table_lookup(core->partitions[1].ranges, key);
    assert_non_null(cached_range);
    assert_int_equal(cached_range->first, 20);
    assert_int_equal(cached_range->end, 80);
    assert_memory_equal(cached_range->done, done, 8);
    assert_int_equal(cached_range->done_count, lmn_bitset_count(done, 60));
    bytes = lmn_range_record_encode(cached_range, cached_range->done);
    golden_assert_equal("range_done", bytes->data, bytes->len);
    g_byte_array_unref(bytes);

    /* The owner writes the range with one more task done. */
    cached_range->task_states[59] = LMN_TASK_DONE;
    cached_range->finished_count++;
    cached_range->dirty_since = lmn_time_add(now, -10);
    lmn_range_writer_flush(core, now);
    next_txn_writes_record(core, key, 0, "range_done_last");

    /* With all tasks done, the owner removes the range and finishes the job. */
    memset(cached_range->task_states, LMN_TASK_DONE, 60);
    cached_range->finished_count = 60;
    lmn_range_writer_flush(core, lmn_time_add(now, 5));
    struct lmn_txn *txn = lmn_kv_client_dequeue(core->kv_client);
    struct key_search removal = {.key = key};
    writes_record(txn, "j/run-000412", 0, "job_finished");
    lmn_txn_foreach_operation(txn, find_write, &removal);
    assert_true(removal.removed);
    lmn_txn_complete(txn, LMN_TXN_REJECTED, 0);
}

/* --- machines --- */

static void block_record_of_machines_keeps_its_bytes(void **state)
{
    static const char *const names[] = {"host-1", "host-2", "host-3"};
    (void)state;

    struct lmn_core *core = new_core();
    struct lmn_partition *partition = &core->partitions[0];
    partition->ownership.is_owned = partition->ownership.is_ready = true;
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        struct lmn_machine *machine = lmn_machine_new(partition, names[i]);
        machine->type = &core->cloud.machine_types.types[0];
        g_strlcpy(machine->type_name, "x", LMN_NAME_SIZE);
        char addr[LMN_ADDRESS_SIZE];
        g_snprintf(addr, sizeof addr, "10.0.0.%u:9000", i + 1);
        lmn_machine_set_address(machine, addr);
        g_strlcpy(machine->zone, i % 2 ? "a" : "b", LMN_NAME_SIZE);
        machine->is_spot = i == 2;
        machine->agent.has_reported = machine->lifecycle.is_accounted = true;
        /* Flushed after each machine, so that the record's order does not depend on the
         * order of the hash table. */
        lmn_machine_blocks_flush(core, partition, false, lmn_time_add(now, 10 * i));
        struct lmn_txn *txn;
        while ((txn = lmn_kv_client_dequeue(core->kv_client))) {
            if (i == 2)
                writes_record(txn, "m/0/0", 0, "machines");
            lmn_txn_complete(txn, LMN_TXN_REJECTED, 0);
        }
        ((struct lmn_machine_block *)partition->blocks->pdata[0])->retry_at =
            (struct timespec){0, 0};
    }

    struct lmn_core *other = new_core();
    apply(other, "m/0/0", "machines", 9);
    assert_int_equal(other->partitions[0].machine_list->len, 3);
    const struct lmn_machine *machine =
        g_hash_table_lookup(other->partitions[0].machines, "host-3");
    assert_non_null(machine);
    assert_string_equal(machine->address, "10.0.0.3:9000");
    assert_string_equal(machine->type_name, "x");
    assert_string_equal(machine->zone, "b");
    assert_true(machine->is_spot);
    machine = g_hash_table_lookup(other->partitions[0].machines, "host-2");
    assert_string_equal(machine->zone, "a");
    assert_false(machine->is_spot);
}

/* --- quota shares --- */

static void record_of_a_teams_quota_shares_keeps_its_bytes(void **state)
{
    struct lmn_core *core = new_core();
    (void)state;

    core->partitions[0].ownership.is_owned = core->partitions[0].ownership.is_ready =
        true;
    assert_true(lmn_quota_transfer_begin(core, &core->partitions[0], 0, 1, 7.25, 2));
    next_txn_writes_record(core, "q/ml%20train", 0, "team_parts");
    apply(core, "q/ml%20train", "team_parts", 6);
    assert_true(core->quota.has_record[0]);
    assert_true(core->partitions[0].quota.cpus[0] == 43);
    assert_true(core->partitions[1].quota.cpus[0] == 57.5);
    assert_true(core->partitions[0].quota.gpus[0] == 2);
    assert_true(core->partitions[1].quota.gpus[0] == 6);
}

/* --- ownership --- */

/* Records of versions whose claims reserve one token. */
static void older_records_of_owner_and_epoch_are_read(void **state)
{
    struct lmn_core *core = new_core();
    struct lmn_partition_record *record = &core->partitions[1].record;
    (void)state;

    apply(core, "t/1", "term", 8);
    apply(core, "o/1", "owner_claim", 8);
    assert_int_equal(record->epoch, 42);
    assert_string_equal(record->owner, "na");
    assert_int_equal(record->owner_lease, 77);
    assert_int_equal(record->owner_epoch, 42);
    assert_int_equal(record->owner_token_raises, 0);
    assert_int_equal(record->owner_stream, 0);
    apply(core, "o/1", "owner_handover", 9);
    assert_string_equal(record->owner, "nb");
    assert_int_equal(record->owner_lease, 300);
    assert_int_equal(record->owner_epoch, 43);
    assert_int_equal(record->owner_token_raises, 0);
    assert_int_equal(record->owner_stream, (uint64_t)42 << 20 | 3);
}

static void records_of_owner_and_epoch_keep_their_bytes(void **state)
{
    struct lmn_core *core = new_core();
    struct lmn_partition *partition = &core->partitions[1];
    (void)state;

    partition->record.epoch = 41;
    struct lmn_txn *txn = lmn_partition_claim(core, partition, 77);
    writes_record(txn, "o/1", 77, "owner_claim_raises");
    writes_record(txn, "t/1", 0, "term_raises");
    lmn_txn_free(txn);
    apply(core, "t/1", "term_raises", 8);
    apply(core, "o/1", "owner_claim_raises", 8);
    const uint64_t epoch = 42 + LMN_TOKEN_RAISES;
    assert_int_equal(partition->record.epoch, epoch);
    assert_int_equal(partition->record.owner_token_raises, LMN_TOKEN_RAISES);
    assert_string_equal(partition->record.owner, "na");
    assert_int_equal(partition->record.owner_lease, 77);
    assert_int_equal(partition->record.owner_epoch, epoch);
    assert_int_equal(partition->record.owner_stream, 0);

    /* A transfer to a standby that is in sync. */
    g_strlcpy(partition->record.standby, "nb", LMN_NAME_SIZE);
    partition->record.standby_stream = epoch << 20 | 3;
    partition->record.standby_epoch = epoch;
    core->members.views[1].lease = 300;
    txn = lmn_partition_transfer(core, partition, 1);
    writes_record(txn, "o/1", 300, "owner_handover_raises");
    lmn_txn_free(txn);
    apply(core, "o/1", "owner_handover_raises", 9);
    assert_string_equal(partition->record.owner, "nb");
    assert_int_equal(partition->record.owner_lease, 300);
    assert_int_equal(partition->record.owner_epoch, lmn_next_epoch(epoch));
    assert_int_equal(lmn_record_first_token(&partition->record), epoch + 1);
    assert_int_equal(partition->record.owner_stream, epoch << 20 | 3);
}

static struct lmn_txn *standby_write(struct lmn_core *core,
                                     enum lmn_replication_phase phase)
{
    struct lmn_partition *partition = &core->partitions[1];
    struct lmn_replication_batch *batch = NULL;
    struct lmn_txn *txn = NULL;
    double wait;

    partition->ownership.is_owned = true;
    partition->ownership.epoch = 42;
    partition->ownership.revision = 8;
    core->cache.operator_settings.standby = 1;
    lmn_member_apply_record(&core->members, 1, 5, 300, now);
    partition->replication.stream.phase = phase;
    partition->replication.stream.standby_index = 1;
    partition->replication.stream.standby_lease = 300;
    partition->replication.stream.id = (uint64_t)42 << 20 | 3;
    assert_int_equal(lmn_replication_next_step(core, partition, now, &batch, &txn, &wait),
                     LMN_REPLICATION_WRITE);
    return txn;
}

static void record_of_a_standby_keeps_its_bytes(void **state)
{
    struct lmn_core *core = new_core();
    (void)state;

    struct lmn_txn *txn = standby_write(core, LMN_STREAM_JOINING);
    writes_record(txn, "b/1", 0, "standby_named");
    lmn_txn_free(txn);
    apply(core, "b/1", "standby_named", 9);
    assert_string_equal(core->partitions[1].record.standby, "nb");
    assert_int_equal(core->partitions[1].record.standby_lease, 300);
    assert_int_equal(core->partitions[1].record.standby_stream, (uint64_t)42 << 20 | 3);
    assert_int_equal(core->partitions[1].record.standby_epoch, 42);

    core = new_core();
    txn = standby_write(core, LMN_STREAM_REMOVING);
    writes_record(txn, "b/1", 0, "standby_struck");
    lmn_txn_free(txn);
    apply(core, "b/1", "standby_struck", 10);
    assert_string_equal(core->partitions[1].record.standby, "");
    assert_int_equal(core->partitions[1].record.standby_lease, 0);
    assert_int_equal(core->partitions[1].record.standby_stream, 0);
    assert_int_equal(core->partitions[1].record.standby_epoch, 42);
}

/* --- controllers --- */

static void record_of_a_controller_keeps_its_bytes(void **state)
{
    struct lmn_core *core = new_core();
    (void)state;

    struct lmn_txn *txn = lmn_ownership_announce(core, 77, now);
    writes_record(txn, "n/na", 77, "controller_up");
    lmn_txn_free(txn);
    apply(core, "n/na", "controller_up", 5);
    assert_true(core->members.views[0].is_present);
    assert_false(core->members.views[0].is_shutting_down);
    assert_int_equal(core->members.views[0].lease, 77);

    core->shutdown.is_requested = true;
    txn = lmn_ownership_announce(core, 77, now);
    writes_record(txn, "n/na", 77, "controller_leaving");
    lmn_txn_free(txn);
    apply(core, "n/na", "controller_leaving", 6);
    assert_true(core->members.views[0].is_shutting_down);
    assert_int_equal(core->members.views[0].lease, 77);
}

static void record_of_a_suspicion_keeps_its_bytes(void **state)
{
    struct lmn_core *core = new_core();
    struct lmn_member_view *member = &core->members.views[1];
    (void)state;

    apply(core, "n/nb", "controller_up", 5);
    member->ever_contacted = true;
    member->last_contact_at = lmn_time_add(now, -60);
    member->unanswered_since = lmn_time_add(now, -50);
    member->probe_failures = 9;
    for (double s = -5; s <= 0; s += 0.1)
        lmn_members_tick(&core->members, 0, lmn_time_add(now, s));
    core->members.cache_fresh_since = lmn_time_add(now, -100);
    lmn_members_record_watch(&core->members, now);
    struct lmn_txn *txn = lmn_ownership_suspect(core, 1, 77, now);
    writes_record(txn, "u/nb", 77, "suspicion");
    lmn_txn_free(txn);
    apply(core, "u/nb", "suspicion", 7);
    assert_int_equal(member->suspected_incarnation, 5);
    assert_string_equal(member->suspected_by, "na");
    assert_int_equal(member->suspicion_cause, LMN_CAUSE_UNRESPONSIVE);
}

/* --- operators' settings --- */

static void record_of_operators_settings_keeps_its_bytes(void **state)
{
    struct lmn_core *core = new_core();
    struct lmn_operator_settings operator_settings = lmn_operator_settings_default;
    (void)state;

    GByteArray *bytes = lmn_operator_settings_record(&operator_settings);
    golden_assert_equal("settings_default", bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    operator_settings = (struct lmn_operator_settings){.sample = 12,
                                                       .share = 0.25,
                                                       .poll_floor_s = 0.002,
                                                       .poll_cap_s = 2.5,
                                                       .idle_return_s = 60,
                                                       .spare_cpus = 128,
                                                       .horizon_s = 45,
                                                       .spot = 0,
                                                       .standby = 0};
    bytes = lmn_operator_settings_record(&operator_settings);
    golden_assert_equal("settings_all_set", bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    apply(core, "s", "settings_all_set", 4);
    assert_true(core->cache.operator_settings.sample == 12 &&
                core->cache.operator_settings.share == 0.25);
    assert_true(core->cache.operator_settings.poll_floor_s == 0.002 &&
                core->cache.operator_settings.poll_cap_s == 2.5);
    assert_true(core->cache.operator_settings.idle_return_s == 60 &&
                core->cache.operator_settings.spare_cpus == 128);
    assert_true(core->cache.operator_settings.horizon_s == 45);
    assert_true(core->cache.operator_settings.spot == 0 &&
                core->cache.operator_settings.standby == 0);
    bytes = lmn_operator_settings_record(&core->cache.operator_settings);
    golden_assert_equal("settings_all_set", bytes->data, bytes->len);
    g_byte_array_unref(bytes);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(job_record_of_an_active_job_keeps_its_bytes),
        cmocka_unit_test(job_record_of_a_cancelled_job_keeps_its_bytes),
        cmocka_unit_test(job_record_of_a_finished_job_keeps_its_bytes),
        cmocka_unit_test(job_record_with_all_optional_fields_keeps_its_bytes),
        cmocka_unit_test(submission_writes_the_records_of_job_and_range),
        cmocka_unit_test(range_record_with_a_done_set_keeps_its_bytes),
        cmocka_unit_test(block_record_of_machines_keeps_its_bytes),
        cmocka_unit_test(record_of_a_teams_quota_shares_keeps_its_bytes),
        cmocka_unit_test(older_records_of_owner_and_epoch_are_read),
        cmocka_unit_test(records_of_owner_and_epoch_keep_their_bytes),
        cmocka_unit_test(record_of_a_standby_keeps_its_bytes),
        cmocka_unit_test(record_of_a_controller_keeps_its_bytes),
        cmocka_unit_test(record_of_a_suspicion_keeps_its_bytes),
        cmocka_unit_test(record_of_operators_settings_keeps_its_bytes),
    };
    return golden_exit_status(cmocka_run_group_tests(tests, NULL, NULL));
}
