/* Records of the state service keep their bytes: each golden record is read, and what was
 * read is written again to the same bytes; the writes that carry them go to the same keys
 * and hang on the same leases. */
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
#include "state/watch_cache.h"
#include "state/task_ledger.h"
#include "state/records.h"
#include "kv_client/kv_client.h"

/* Past cores are left behind as they are. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct timespec now = {1000000, 0};
static struct lmn_team teams[] = {
    {.name = "ml train", .cpus = 10, .cpus_max = 100.5, .gpus = 1, .gpus_max = 8}};
static struct lmn_settings cfg;

static struct lmn_core *make(void)
{
    memset(&cfg, 0, sizeof cfg);
    g_strlcpy(cfg.node_name, "na", LMN_NAME_SIZE);
    g_strlcpy(cfg.zone, "y", LMN_NAME_SIZE);
    cfg.member_count = 1;
    g_strlcpy(cfg.members[0].name, "nb", LMN_NAME_SIZE);
    g_strlcpy(cfg.members[0].zone, "z", LMN_NAME_SIZE);
    cfg.partition_count = 2;
    cfg.heartbeat_s = 1;
    cfg.lease_s = 8;
    cfg.cancel_s = 30;
    cfg.state_requests_per_s = cfg.state_writes_per_s = 1e6;
    cfg.max_value_kb = 16;
    cfg.max_txn_operations = 12;
    cfg.teams = teams;
    cfg.team_count = G_N_ELEMENTS(teams);
    struct lmn_core *core = lmn_core_new(&cfg, lmn_kv_client_new(&cfg), 1);
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

/* --- what a transaction writes --- */

struct sought {
    const char *key;
    GByteArray *value;
    uint64_t lease;
    bool removed;
};

static void seek(void *arg, const char *key, const GByteArray *value, uint64_t lease)
{
    struct sought *s = arg;

    if (strcmp(s->key, key))
        return;
    s->removed = !value;
    s->lease = lease;
    if (value)
        s->value = g_byte_array_append(g_byte_array_new(), value->data, value->len);
}

/* The write to the key is the golden record, and hangs on the lease. */
static void writes_record(const struct lmn_txn *txn, const char *key, uint64_t lease,
                          const char *name)
{
    struct sought s = {.key = key};

    assert_non_null(txn);
    lmn_txn_foreach_operation(txn, seek, &s);
    if (!s.value) {
        fail_msg("nothing is written to %s", key);
        return; /* for the analyzer, which does not know that fail_msg never returns */
    }
    assert_int_equal(s.lease, lease);
    golden_same(name, s.value->data, s.value->len);
    g_byte_array_unref(s.value);
}

static void take_record(struct lmn_core *core, const char *key, uint64_t lease,
                        const char *name)
{
    struct lmn_txn *txn = lmn_kv_client_dequeue(core->kv_client);

    writes_record(txn, key, lease, name);
    lmn_txn_complete(txn, LMN_TXN_REJECTED, 0);
}

static void apply(struct lmn_core *core, const char *key, const char *name,
                  uint64_t revision)
{
    GByteArray *b = golden_read(name);
    struct lmn_cbor_document d;

    assert_int_equal(lmn_cbor_parse(&d, b->data, b->len), 0);
    lmn_watch_cache_apply(core, key, &d, lmn_cbor_root(&d), revision, now);
    lmn_cbor_free(&d);
    g_byte_array_unref(b);
}

/* --- jobs --- */

static struct lmn_job_spec plain(void)
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

static struct lmn_job_spec full(void)
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

static void same_spec(const struct lmn_job_spec *a, const struct lmn_job_spec *b)
{
    assert_string_equal(a->id, b->id);
    assert_string_equal(a->class_name, b->class_name);
    assert_string_equal(a->team, b->team);
    assert_string_equal(a->image, b->image);
    assert_int_equal(g_strcmp0(a->zone, b->zone), 0);
    assert_int_equal(a->machine_types != NULL, b->machine_types != NULL);
    if (a->machine_types)
        assert_true(g_strv_equal((const char *const *)a->machine_types,
                                 (const char *const *)b->machine_types));
    assert_int_equal(a->kind, b->kind);
    assert_int_equal(a->priority, b->priority);
    assert_int_equal(a->tasks, b->tasks);
    assert_true(a->cpus == b->cpus && a->gpus == b->gpus && a->memory_gb == b->memory_gb);
    assert_true(a->image_gb == b->image_gb && a->estimate_s == b->estimate_s);
    assert_true(a->checkpoint_s == b->checkpoint_s && a->save_s == b->save_s);
    assert_true(a->deadline_s == b->deadline_s);
    assert_int_equal(a->requires_one_zone, b->requires_one_zone);
    assert_int_equal(a->spreads_over_zones, b->spreads_over_zones);
    assert_int_equal(a->may_use_spot, b->may_use_spot);
}

static void job_keeps(const char *name, struct lmn_job_spec spec,
                      enum lmn_job_phase phase, uint32_t open, double at)
{
    enum lmn_job_phase read_phase;
    struct lmn_job_spec read;
    uint32_t read_open;
    struct lmn_cbor_document d;
    double read_at;

    GByteArray *b = lmn_job_record_encode(&spec, phase, open, at);
    golden_same(name, b->data, b->len);
    g_byte_array_unref(b);

    GByteArray *kept = golden_read(name);
    assert_int_equal(lmn_cbor_parse(&d, kept->data, kept->len), 0);
    assert_int_equal(lmn_job_record_decode(&d, lmn_cbor_root(&d), &read, &read_phase,
                                           &read_open, &read_at),
                     0);
    same_spec(&read, &spec);
    assert_int_equal(read_phase, phase);
    assert_int_equal(read_open, open);
    assert_true(read_at == at);
    b = lmn_job_record_encode(&read, read_phase, read_open, read_at);
    golden_same(name, b->data, b->len);
    g_byte_array_unref(b);
    lmn_job_spec_clear(&read);
    lmn_cbor_free(&d);
    g_byte_array_unref(kept);
}

static void job_record_of_an_active_job_keeps_its_bytes(void **state)
{
    (void)state;
    job_keeps("job_active", plain(), LMN_JOB_ACTIVE, 1, 1700000000.25);
}

static void job_record_of_a_cancelled_job_keeps_its_bytes(void **state)
{
    (void)state;
    job_keeps("job_withdrawn", plain(), LMN_JOB_CANCELLED, 1, 1700000000.25);
    struct lmn_job_read_result r = {.status = 200,
                                    .revision = 5,
                                    .spec = plain(),
                                    .open_ranges = 1,
                                    .accepted_at_s = 1700000000.25};
    struct lmn_job_reply reply;
    struct lmn_txn *txn = lmn_cancellation_txn("run-000412", &r, 404, &reply);
    writes_record(txn, "j/run-000412", 0, "job_withdrawn");
    lmn_txn_free(txn);
}

static void job_record_of_a_finished_job_keeps_its_bytes(void **state)
{
    (void)state;
    job_keeps("job_finished", plain(), LMN_JOB_DONE, 0, 1700000000.25);
}

static void job_record_with_all_optional_fields_keeps_its_bytes(void **state)
{
    (void)state;
    job_keeps("job_all_fields", full(), LMN_JOB_ACTIVE, 300, 0);
    job_keeps("job_all_fields_withdrawn", full(), LMN_JOB_CANCELLED, 70000, 1e10);
}

static void submission_writes_the_records_of_job_and_range(void **state)
{
    struct lmn_core *core = make();
    struct lmn_job_spec s = plain();
    (void)state;

    s.requires_one_zone = true; /* in one partition */
    struct lmn_txn *txn = lmn_submission_txn(core, &s, 1700000000.25, NULL, NULL);
    assert_int_equal(lmn_txn_operation_count(txn), 2);
    writes_record(txn, "j/run-000412", 0, "job_submitted");
    int part = (int)(g_str_hash(s.id) % 2);
    char key[64];
    g_snprintf(key, sizeof key, "r/%d/run-000412/0", part);
    writes_record(txn, key, 0, "range_submitted");
    lmn_txn_free(txn);
    apply(core, "j/run-000412", "job_submitted", 3);
    apply(core, key, "range_submitted", 3);
    const struct lmn_range *range =
        g_hash_table_lookup(core->partitions[part].ranges, key);
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
    struct lmn_core *core = make();
    (void)state;

    for (uint32_t i = 0; i < 40; i += i % 3 + 1)
        lmn_bitset_set(done, i);
    struct lmn_range range = {.first = 20, .end = 80};
    GByteArray *b = lmn_range_record_encode(&range, done);
    golden_same("range_done", b->data, b->len);
    g_byte_array_unref(b);

    core->partitions[1].ownership.is_owned = core->partitions[1].ownership.is_ready =
        true;
    apply(core, "j/run-000412", "job_active", 3);
    apply(core, key, "range_done", 4);
    struct lmn_range *r = g_hash_table_lookup(core->partitions[1].ranges, key);
    assert_non_null(r);
    assert_int_equal(r->first, 20);
    assert_int_equal(r->end, 80);
    assert_memory_equal(r->done, done, 8);
    assert_int_equal(r->done_count, lmn_bitset_count(done, 60));
    b = lmn_range_record_encode(r, r->done);
    golden_same("range_done", b->data, b->len);
    g_byte_array_unref(b);

    /* As its owner writes it, with one task more. */
    r->task_states[59] = LMN_TASK_DONE;
    r->finished_count++;
    r->dirty_since = lmn_time_add(now, -10);
    lmn_range_writer_flush(core, now);
    take_record(core, key, 0, "range_done_last");

    /* Its job ends with it. */
    memset(r->task_states, LMN_TASK_DONE, 60);
    r->finished_count = 60;
    lmn_range_writer_flush(core, lmn_time_add(now, 5));
    struct lmn_txn *txn = lmn_kv_client_dequeue(core->kv_client);
    struct sought removal = {.key = key};
    writes_record(txn, "j/run-000412", 0, "job_finished");
    lmn_txn_foreach_operation(txn, seek, &removal);
    assert_true(removal.removed);
    lmn_txn_complete(txn, LMN_TXN_REJECTED, 0);
}

/* --- machines --- */

static void block_record_of_machines_keeps_its_bytes(void **state)
{
    static const char *const names[] = {"host-1", "host-2", "host-3"};
    (void)state;

    struct lmn_core *core = make();
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
        /* One after another: the order of a table is no part of the record. */
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

    struct lmn_core *other = make();
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

/* --- parts of limits --- */

static void record_of_a_teams_parts_keeps_its_bytes(void **state)
{
    struct lmn_core *core = make();
    (void)state;

    core->partitions[0].ownership.is_owned = core->partitions[0].ownership.is_ready =
        true;
    assert_true(lmn_quota_transfer_begin(core, &core->partitions[0], 0, 1, 7.25, 2));
    take_record(core, "q/ml%20train", 0, "team_parts");
    apply(core, "q/ml%20train", "team_parts", 6);
    assert_true(core->quota.has_record[0]);
    assert_true(core->partitions[0].quota.cpus[0] == 43);
    assert_true(core->partitions[1].quota.cpus[0] == 57.5);
    assert_true(core->partitions[0].quota.gpus[0] == 2);
    assert_true(core->partitions[1].quota.gpus[0] == 6);
}

/* --- ownership --- */

static void records_of_owner_and_term_keep_their_bytes(void **state)
{
    struct lmn_core *core = make();
    struct lmn_partition *partition = &core->partitions[1];
    (void)state;

    partition->record.epoch = 41;
    struct lmn_txn *txn = lmn_partition_claim(core, partition, 77);
    writes_record(txn, "o/1", 77, "owner_claim");
    writes_record(txn, "t/1", 0, "term");
    lmn_txn_free(txn);
    apply(core, "t/1", "term", 8);
    apply(core, "o/1", "owner_claim", 8);
    assert_int_equal(partition->record.epoch, 42);
    assert_string_equal(partition->record.owner, "na");
    assert_int_equal(partition->record.owner_lease, 77);
    assert_int_equal(partition->record.owner_epoch, 42);
    assert_int_equal(partition->record.owner_stream, 0);

    /* To a standby in step. */
    g_strlcpy(partition->record.standby, "nb", LMN_NAME_SIZE);
    partition->record.standby_stream = (uint64_t)42 << 20 | 3;
    partition->record.standby_epoch = 42;
    core->members.views[1].lease = 300;
    txn = lmn_partition_transfer(core, partition, 1);
    writes_record(txn, "o/1", 300, "owner_handover");
    lmn_txn_free(txn);
    apply(core, "o/1", "owner_handover", 9);
    assert_string_equal(partition->record.owner, "nb");
    assert_int_equal(partition->record.owner_lease, 300);
    assert_int_equal(partition->record.owner_epoch, 43);
    assert_int_equal(partition->record.owner_stream, (uint64_t)42 << 20 | 3);
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
    struct lmn_core *core = make();
    (void)state;

    struct lmn_txn *txn = standby_write(core, LMN_STREAM_JOINING);
    writes_record(txn, "b/1", 0, "standby_named");
    lmn_txn_free(txn);
    apply(core, "b/1", "standby_named", 9);
    assert_string_equal(core->partitions[1].record.standby, "nb");
    assert_int_equal(core->partitions[1].record.standby_lease, 300);
    assert_int_equal(core->partitions[1].record.standby_stream, (uint64_t)42 << 20 | 3);
    assert_int_equal(core->partitions[1].record.standby_epoch, 42);

    core = make();
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
    struct lmn_core *core = make();
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
    struct lmn_core *core = make();
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
    struct lmn_core *core = make();
    struct lmn_operator_settings t = lmn_operator_settings_default;
    (void)state;

    GByteArray *b = lmn_operator_settings_record(&t);
    golden_same("settings_default", b->data, b->len);
    g_byte_array_unref(b);
    t = (struct lmn_operator_settings){.sample = 12,
                                       .share = 0.25,
                                       .poll_floor_s = 0.002,
                                       .poll_cap_s = 2.5,
                                       .idle_return_s = 60,
                                       .spare_cpus = 128,
                                       .horizon_s = 45,
                                       .spot = 0,
                                       .standby = 0};
    b = lmn_operator_settings_record(&t);
    golden_same("settings_all_set", b->data, b->len);
    g_byte_array_unref(b);
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
    b = lmn_operator_settings_record(&core->cache.operator_settings);
    golden_same("settings_all_set", b->data, b->len);
    g_byte_array_unref(b);
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
        cmocka_unit_test(record_of_a_teams_parts_keeps_its_bytes),
        cmocka_unit_test(records_of_owner_and_term_keep_their_bytes),
        cmocka_unit_test(record_of_a_standby_keeps_its_bytes),
        cmocka_unit_test(record_of_a_controller_keeps_its_bytes),
        cmocka_unit_test(record_of_a_suspicion_keeps_its_bytes),
        cmocka_unit_test(record_of_operators_settings_keeps_its_bytes),
    };
    return golden_end(cmocka_run_group_tests(tests, NULL, NULL));
}
