/* Records of machines: few writes for many machines, and what stands recorded is what is
 * there, whatever becomes of single writes. */
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

/* Past cores are left behind as they are. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct lmn_settings cfg;
static struct lmn_core *owner, *other;
static GHashTable *store; /* key -> revision */
static uint64_t rev;
static struct timespec now = {1000000, 0};
static unsigned writes;

static void make(uint32_t seed)
{
    memset(&cfg, 0, sizeof cfg);
    cfg.partition_count = 1;
    cfg.state_requests_per_s = cfg.state_writes_per_s = 1000;
    cfg.max_txn_operations = 12;
    cfg.max_value_kb = 8;
    cfg.lease_s = 10;
    owner = lmn_core_new(&cfg, lmn_kv_client_new(&cfg), seed);
    other = lmn_core_new(&cfg, lmn_kv_client_new(&cfg), seed);
    owner->cloud.machine_types.count = 1;
    owner->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "x", .cpus = 8, .memory_gb = 64};
    owner->partitions[0].ownership.is_owned = owner->partitions[0].ownership.is_ready =
        true;
    owner->partitions[0].ownership.inherited_may_start = true;
    store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    rev = 10;
    writes = 0;
}

static struct lmn_machine *machine(int i)
{
    char name[32];

    g_snprintf(name, sizeof name, "host-%06d", i);
    struct lmn_machine *machine =
        g_hash_table_lookup(owner->partitions[0].machines, name);
    if (!machine)
        machine = lmn_machine_new(&owner->partitions[0], name);
    machine->type = &owner->cloud.machine_types.types[0];
    g_strlcpy(machine->type_name, "x", LMN_NAME_SIZE);
    g_snprintf(machine->address, sizeof machine->address, "10.0.0.%d:9000", i % 250);
    g_strlcpy(machine->zone, i % 2 ? "a" : "b", LMN_NAME_SIZE);
    machine->agent.has_reported = machine->lifecycle.is_accounted = true;
    return machine;
}

static void check(void *arg, const char *key, uint64_t version)
{
    if (!strncmp(key, "m/", 2) &&
        GPOINTER_TO_SIZE(g_hash_table_lookup(store, key)) != (size_t)version)
        *(bool *)arg = false;
}

static void apply(void *arg, const char *key, const GByteArray *value, uint64_t lease)
{
    (void)lease;
    struct lmn_cbor_document d;
    (void)arg;

    writes++;
    assert_true(value->len < cfg.max_value_kb * 1024);
    g_hash_table_insert(store, g_strdup(key), GSIZE_TO_POINTER((size_t)rev));
    assert_int_equal(lmn_cbor_parse(&d, value->data, value->len), 0);
    lmn_watch_cache_apply(owner, key, &d, lmn_cbor_root(&d), rev, now);
    lmn_watch_cache_apply(other, key, &d, lmn_cbor_root(&d), rev, now);
    lmn_cbor_free(&d);
}

static enum lmn_txn_outcome commit(const struct lmn_txn *txn)
{
    bool ok = true;

    lmn_txn_foreach_condition(txn, check, &ok);
    if (!ok)
        return LMN_TXN_CONFLICT;
    rev++;
    lmn_txn_foreach_operation(txn, apply, NULL);
    return LMN_TXN_COMMITTED;
}

/* A write that is still on its way when its sender has given it up. */
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

static void keep_change(void *arg, const char *key, const GByteArray *value,
                        uint64_t lease)
{
    (void)lease;
    (void)arg;
    g_strlcpy(late.key, key, sizeof late.key);
    late.value = g_byte_array_append(g_byte_array_new(), value->data, value->len);
}

static void arrive(void)
{
    if (!late.value)
        return;
    if (GPOINTER_TO_SIZE(g_hash_table_lookup(store, late.key)) == (size_t)late.version) {
        rev++;
        apply(NULL, late.key, late.value, 0);
    }
    g_clear_pointer(&late.value, g_byte_array_unref);
}

/* One turn of the owner; r NULL: nothing fails. */
static void turn(GRand *r)
{
    struct lmn_txn *txn;

    now = lmn_time_add(now, 4);
    if (!r || g_rand_double(r) < 0.3)
        arrive();
    lmn_range_writer_flush(owner, now);
    while ((txn = lmn_kv_client_dequeue(owner->kv_client))) {
        double luck = r ? g_rand_double(r) : 1;
        enum lmn_txn_outcome o;
        if (luck < 0.15) {
            o = LMN_TXN_REJECTED;
        } else if (luck < 0.3 && !late.value) {
            lmn_txn_foreach_condition(txn, keep_condition, NULL);
            lmn_txn_foreach_operation(txn, keep_change, NULL);
            o = LMN_TXN_UNKNOWN;
        } else {
            o = commit(txn);
            if (luck < 0.45 && o == LMN_TXN_COMMITTED)
                o = LMN_TXN_UNKNOWN; /* its answer was lost */
        }
        lmn_txn_complete(txn, o, rev);
    }
}

static void same(void)
{
    GHashTable *here = owner->partitions[0].machines,
               *there = other->partitions[0].machines;
    GHashTableIter it;
    gpointer v;
    guint recorded = 0;

    g_hash_table_iter_init(&it, here);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *m = v;
        if (!m->record.revision)
            continue;
        recorded++;
        const struct lmn_machine *o = g_hash_table_lookup(there, m->name);
        assert_non_null(o);
        assert_string_equal(o->address, m->address);
        assert_string_equal(o->zone, m->zone);
    }
    assert_int_equal(g_hash_table_size(there), recorded);
}

/* One write a machine took all the changes of a deployment with 1,746 of them. */
static void few_writes(void **state)
{
    (void)state;
    make(1);
    for (int i = 0; i < 600; i++)
        machine(i);
    for (int k = 0; k < 3; k++)
        turn(NULL);
    same();
    assert_int_equal(g_hash_table_size(other->partitions[0].machines), 600);
    assert_true(writes <= 10);
    writes = 0;
    for (int i = 0; i < 300; i++)
        lmn_machine_handle_termination(owner, machine(i), now);
    for (int k = 0; k < 3; k++)
        turn(NULL);
    same();
    assert_int_equal(g_hash_table_size(other->partitions[0].machines), 300);
    assert_true(writes <= 10);
}

/* Machines come and go while writes are refused, lost, unanswered or late. */
static void as_it_is(void **state)
{
    (void)state;
    for (uint32_t seed = 0; seed < 30; seed++) {
        GRand *r = g_rand_new_with_seed(seed);
        int next = 0;
        make(seed);
        for (int step = 0; step < 60; step++) {
            for (int n = g_rand_int_range(r, 0, 12); n > 0; n--)
                machine(next++);
            GList *all = g_hash_table_get_values(owner->partitions[0].machines);
            for (GList *l = all; l; l = l->next) {
                struct lmn_machine *m = l->data;
                if (!m->lifecycle.is_terminated && g_rand_double(r) < 0.08)
                    lmn_machine_handle_termination(owner, m, now);
            }
            g_list_free(all);
            turn(r);
            same();
        }
        for (int k = 0; k < 8; k++)
            turn(NULL);
        same();
        GHashTableIter it;
        gpointer v;
        g_hash_table_iter_init(&it, owner->partitions[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_machine *m = v;
            /* What was never recorded may linger until its block is next written. */
            assert_true(m->lifecycle.is_terminated ? !m->record.revision
                                                   : m->record.revision > 0);
        }
        g_rand_free(r);
    }
}

/* A range holds three tasks for each byte of a value's limit (submission.c): its done set
 * fits when all but the last task are done, which is its longest form. */
static void full_ranges_fit(void **state)
{
    (void)state;
    for (uint32_t kb = 1; kb <= 16; kb++) {
        struct lmn_range r = {.first = LMN_MAX_TASKS - 1,
                              .end = LMN_MAX_TASKS - 1 + kb * 1024 * 3};
        uint32_t n = r.end - r.first;
        uint8_t *done = g_malloc((n + 7) / 8);
        memset(done, 0xff, (n + 7) / 8);
        GByteArray *v = lmn_range_record(&r, done);
        assert_true(v->len <= kb * 1024);
        g_byte_array_unref(v);
        g_free(done);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(full_ranges_fit),
        cmocka_unit_test(few_writes),
        cmocka_unit_test(as_it_is),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
