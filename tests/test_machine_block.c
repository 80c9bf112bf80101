/* Records of machines: many machines take few writes, and the records match the owner's
 * machines even if single writes are rejected, lost, unanswered or late. */
#include "util/clock.h"
#include "protocol/cbor.h"
#include "job/job_spec.h"
#include "config/settings.h"
#include "partition/range_writer.h"
#include "partition/owner.h"
#include "partition/maintenance.h"
#include "state/task_ledger.h"
#include "state/watch_cache.h"
#include "state/core_state.h"
#include "state/records.h"
#include "kv_client/kv_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

/* The cores of finished test cases are not freed. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct lmn_settings settings;
static struct lmn_core *owner, *observer; /* the observer only reads the records */
static GHashTable *store;                 /* revisions by key */
static uint64_t revision;
static struct timespec now = {1000000, 0};
static unsigned writes;

static void set_up(uint32_t seed)
{
    memset(&settings, 0, sizeof settings);
    settings.partition_count = 1;
    settings.state_requests_per_s = settings.state_writes_per_s = 1000;
    settings.max_txn_operations = 12;
    settings.max_value_kb = 8;
    settings.lease_s = 10;
    owner = lmn_core_new(&settings, lmn_kv_client_new(&settings), seed);
    observer = lmn_core_new(&settings, lmn_kv_client_new(&settings), seed);
    owner->cloud.machine_types.count = 1;
    owner->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "x", .cpus = 8, .memory_gb = 64};
    owner->partitions[0].ownership.is_owned = owner->partitions[0].ownership.is_ready =
        true;
    owner->partitions[0].ownership.inherited_may_start = true;
    store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    revision = 10;
    writes = 0;
}

static struct lmn_machine *find_or_add_machine(int index)
{
    char name[32];

    g_snprintf(name, sizeof name, "host-%06d", index);
    struct lmn_machine *machine =
        g_hash_table_lookup(owner->partitions[0].machines, name);
    if (!machine)
        machine = lmn_machine_new(&owner->partitions[0], name);
    machine->type = &owner->cloud.machine_types.types[0];
    g_strlcpy(machine->type_name, "x", LMN_NAME_SIZE);
    g_snprintf(machine->address, sizeof machine->address, "10.0.0.%d:9000", index % 250);
    g_strlcpy(machine->zone, index % 2 ? "a" : "b", LMN_NAME_SIZE);
    machine->agent.has_reported = machine->lifecycle.is_accounted = true;
    return machine;
}

static void check_version(void *arg, const char *key, uint64_t version)
{
    if (!strncmp(key, "m/", 2) &&
        GPOINTER_TO_SIZE(g_hash_table_lookup(store, key)) != (size_t)version)
        *(bool *)arg = false;
}

static void apply_put(void *arg, const char *key, const GByteArray *value, uint64_t lease)
{
    (void)lease;
    struct lmn_cbor_document document;
    (void)arg;

    writes++;
    assert_true(value->len < settings.max_value_kb * 1024);
    g_hash_table_insert(store, g_strdup(key), GSIZE_TO_POINTER((size_t)revision));
    assert_int_equal(lmn_cbor_parse(&document, value->data, value->len), 0);
    lmn_watch_cache_apply(owner, key, &document, lmn_cbor_root(&document), revision, now);
    lmn_watch_cache_apply(observer, key, &document, lmn_cbor_root(&document), revision,
                          now);
    lmn_cbor_free(&document);
}

static enum lmn_txn_outcome commit(const struct lmn_txn *txn)
{
    bool all_hold = true;

    lmn_txn_foreach_condition(txn, check_version, &all_hold);
    if (!all_hold)
        return LMN_TXN_CONFLICT;
    revision++;
    lmn_txn_foreach_operation(txn, apply_put, NULL);
    return LMN_TXN_COMMITTED;
}

/* A write that the store may commit after the sender has stopped waiting for it. */
static struct {
    char key[64];
    uint64_t version;
    GByteArray *value;
} late;

static void keep_condition(void *arg, const char *key, uint64_t version)
{
    (void)arg;
    if (!strncmp(key, "m/", 2))
        late.version = version;
}

static void keep_put(void *arg, const char *key, const GByteArray *value, uint64_t lease)
{
    (void)lease;
    (void)arg;
    g_strlcpy(late.key, key, sizeof late.key);
    late.value = g_byte_array_append(g_byte_array_new(), value->data, value->len);
}

static void deliver_late_write(void)
{
    if (!late.value)
        return;
    if (GPOINTER_TO_SIZE(g_hash_table_lookup(store, late.key)) == (size_t)late.version) {
        revision++;
        apply_put(NULL, late.key, late.value, 0);
    }
    g_clear_pointer(&late.value, g_byte_array_unref);
}

/* Advances the time by 4 s and lets the owner write. The outcomes of the writes are
 * random; if `random_source` is NULL, all succeed. */
static void run_owner_turn(GRand *random_source)
{
    struct lmn_txn *txn;

    now = lmn_time_add(now, 4);
    if (!random_source || g_rand_double(random_source) < 0.3)
        deliver_late_write();
    lmn_range_writer_flush(owner, now);
    while ((txn = lmn_kv_client_dequeue(owner->kv_client))) {
        double luck = random_source ? g_rand_double(random_source) : 1;
        enum lmn_txn_outcome outcome;
        if (luck < 0.15) {
            outcome = LMN_TXN_REJECTED;
        } else if (luck < 0.3 && !late.value) {
            lmn_txn_foreach_condition(txn, keep_condition, NULL);
            lmn_txn_foreach_operation(txn, keep_put, NULL);
            outcome = LMN_TXN_UNKNOWN;
        } else {
            outcome = commit(txn);
            if (luck < 0.45 && outcome == LMN_TXN_COMMITTED)
                outcome = LMN_TXN_UNKNOWN; /* the answer is lost */
        }
        lmn_txn_complete(txn, outcome, revision);
    }
}

static void assert_same_recorded_machines(void)
{
    GHashTable *own_machines = owner->partitions[0].machines,
               *observed_machines = observer->partitions[0].machines;
    GHashTableIter it;
    gpointer value;
    guint recorded = 0;

    g_hash_table_iter_init(&it, own_machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_machine *machine = value;
        if (!machine->record.revision)
            continue;
        recorded++;
        const struct lmn_machine *observed_machine =
            g_hash_table_lookup(observed_machines, machine->name);
        assert_non_null(observed_machine);
        assert_string_equal(observed_machine->address, machine->address);
        assert_string_equal(observed_machine->zone, machine->zone);
    }
    assert_int_equal(g_hash_table_size(observed_machines), recorded);
}

/* Guards against one write per machine: in a deployment with 1,746 machines, these writes
 * used up the store's whole write limit. */
static void many_machines_take_few_writes(void **state)
{
    (void)state;
    set_up(1);
    for (int i = 0; i < 600; i++)
        find_or_add_machine(i);
    for (int k = 0; k < 3; k++)
        run_owner_turn(NULL);
    assert_same_recorded_machines();
    assert_int_equal(g_hash_table_size(observer->partitions[0].machines), 600);
    assert_true(writes <= 10);
    writes = 0;
    for (int i = 0; i < 300; i++)
        lmn_machine_handle_termination(owner, find_or_add_machine(i), now);
    for (int k = 0; k < 3; k++)
        run_owner_turn(NULL);
    assert_same_recorded_machines();
    assert_int_equal(g_hash_table_size(observer->partitions[0].machines), 300);
    assert_true(writes <= 10);
}

/* Machines come and go while writes are rejected, lost, unanswered or late. */
static void failed_writes_leave_records_as_the_owner_knows_them(void **state)
{
    (void)state;
    for (uint32_t seed = 0; seed < 30; seed++) {
        GRand *random_source = g_rand_new_with_seed(seed);
        int next_machine = 0;
        set_up(seed);
        for (int step = 0; step < 60; step++) {
            for (int to_add = g_rand_int_range(random_source, 0, 12); to_add > 0;
                 to_add--)
                find_or_add_machine(next_machine++);
            GList *machines = g_hash_table_get_values(owner->partitions[0].machines);
            for (GList *item = machines; item; item = item->next) {
                struct lmn_machine *machine = item->data;
                if (!machine->lifecycle.is_terminated &&
                    g_rand_double(random_source) < 0.08)
                    lmn_machine_handle_termination(owner, machine, now);
            }
            g_list_free(machines);
            run_owner_turn(random_source);
            assert_same_recorded_machines();
        }
        for (int k = 0; k < 8; k++)
            run_owner_turn(NULL);
        assert_same_recorded_machines();
        GHashTableIter it;
        gpointer value;
        g_hash_table_iter_init(&it, owner->partitions[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            const struct lmn_machine *machine = value;
            /* A machine that terminated before it was recorded is removed only when its
             * block is next written. */
            assert_true(machine->lifecycle.is_terminated ? !machine->record.revision
                                                         : machine->record.revision > 0);
        }
        g_rand_free(random_source);
    }
}

/* submission.c limits a range to three tasks per byte of the largest value. The set of
 * done tasks must fit into a value even in its longest form, with all tasks but the last
 * done. */
static void done_set_of_a_full_range_fits_into_a_value(void **state)
{
    (void)state;
    for (uint32_t max_value_kb = 1; max_value_kb <= 16; max_value_kb++) {
        struct lmn_range range = {.first = LMN_MAX_TASKS - 1,
                                  .end = LMN_MAX_TASKS - 1 + max_value_kb * 1024 * 3};
        uint32_t task_count = range.end - range.first;
        uint8_t *done = g_malloc((task_count + 7) / 8);
        memset(done, 0xff, (task_count + 7) / 8);
        GByteArray *value = lmn_range_record_encode(&range, done);
        assert_true(value->len <= max_value_kb * 1024);
        g_byte_array_unref(value);
        g_free(done);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(done_set_of_a_full_range_fits_into_a_value),
        cmocka_unit_test(many_machines_take_few_writes),
        cmocka_unit_test(failed_writes_leave_records_as_the_owner_knows_them),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
