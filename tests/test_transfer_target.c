/* Who inherits: generated members and partitions, with some of them gone. */
#include "util/log.h"
#include "partition/transfer_target.h"
#include "partition/shutdown.h"
#include "partition/owner.h"
#include "state/task_ledger.h"
#include "state/core.h"
#include "state/watch_cache.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

static struct timespec now = {1000, 0};

static void put(struct lmn_core *core, const char *key, GByteArray *v, uint64_t revision)
{
    struct lmn_cbor_document d;

    assert_int_equal(lmn_cbor_parse(&d, v->data, v->len), 0);
    lmn_watch_cache_apply(core, key, &d, lmn_cbor_root(&d), revision, now);
    lmn_cbor_free(&d);
    g_byte_array_unref(v);
}

/* A node's view of n members that are all up, each with its partition. */
static struct lmn_core *view(struct lmn_settings *settings, int n, int me,
                             const bool *gone, const bool *leaving)
{
    char key[32];

    memset(settings, 0, sizeof *settings);
    g_snprintf(settings->node_name, LMN_NAME_SIZE, "n%02d", me);
    for (int k = 0; k < n; k++)
        if (k != me)
            g_snprintf(settings->members[settings->member_count++].name, LMN_NAME_SIZE,
                       "n%02d", k);
    settings->partition_count = n;
    settings->heartbeat_s = 1;
    settings->lease_s = 8;
    settings->cancel_s = 30;
    settings->state_requests_per_s = settings->state_writes_per_s = 1e6;
    settings->max_value_kb = 16;
    settings->max_txn_operations = 12;
    struct lmn_core *core = lmn_core_new(settings, lmn_kv_client_new(settings), 1);
    lmn_members_record_watch(&core->members, now);
    lmn_members_tick(&core->members, 0, now);
    core->members.synced_at = lmn_time_add(now, -100);
    core->cache.is_synced = true;
    core->cache.fresh_at = now;
    for (int k = 0; k < n; k++) {
        struct lmn_member_health well = {0, 0, 0};
        if (gone[k])
            continue;
        GByteArray *v = g_byte_array_new();
        lmn_cbor_put_map(v, 2);
        lmn_cbor_put_text(v, "lease"), lmn_cbor_put_uint(v, 100 + (uint64_t)k);
        lmn_cbor_put_text(v, "leaving"), lmn_cbor_put_bool(v, leaving[k]);
        g_snprintf(key, sizeof key, "n/n%02d", k);
        put(core, key, v, 10 + (uint64_t)k);
        if (k != me)
            lmn_member_record_probe_reply(&core->members, k, &well, now, now);
    }
    for (int k = 0; k < n; k++) {
        char name[LMN_NAME_SIZE];
        if (gone[k])
            continue;
        GByteArray *v = g_byte_array_new();
        g_snprintf(name, sizeof name, "n%02d", k);
        lmn_cbor_put_map(v, 4);
        lmn_cbor_put_text(v, "node"), lmn_cbor_put_text(v, name);
        lmn_cbor_put_text(v, "lease"), lmn_cbor_put_uint(v, 100 + (uint64_t)k);
        lmn_cbor_put_text(v, "term"), lmn_cbor_put_uint(v, 1);
        lmn_cbor_put_text(v, "stream"), lmn_cbor_put_uint(v, 0);
        g_snprintf(key, sizeof key, "o/%d", k);
        put(core, key, v, 50 + (uint64_t)k);
    }
    return core;
}

static void drop(struct lmn_core *core)
{
    struct lmn_kv_client *client = core->kv_client;

    lmn_core_free(core);
    lmn_kv_client_free(client);
}

/* Whoever is gone: all that are left agree; each orphan has an successor that is up and
 * stays; and nobody gets more than his share of as many. */
static void orphans_are_spread(void **state)
{
    static const int sizes[][2] = {{3, 1}, {3, 2}, {9, 3}, {9, 8}, {15, 7}, {33, 16}};
    GRand *r = g_rand_new_with_seed(3);
    (void)state;

    for (guint s = 0; s < G_N_ELEMENTS(sizes); s++)
        for (int day = 0; day < 12; day++) {
            int n = sizes[s][0], dead = sizes[s][1], successor[2][LMN_MAX_PARTITIONS];
            bool gone[LMN_MAX_PARTITIONS] = {0}, leaving[LMN_MAX_PARTITIONS] = {0};
            int got[LMN_MAX_PARTITIONS] = {0}, up[LMN_MAX_PARTITIONS] = {0}, ups = 0,
                stay = n - dead;
            static struct lmn_settings cfg[2];
            for (int left = dead; left > 0;) {
                int k = g_rand_int_range(r, 0, n);
                left -= !gone[k];
                gone[k] = true;
            }
            for (int k = 0; k < n; k++)
                if (!gone[k])
                    up[ups++] = k;
            if (ups > 2 && day % 3 == 0) {
                leaving[up[0]] = true;
                stay--;
            }
            for (int v = 0; v < 2; v++) {
                struct lmn_core *core =
                    view(&cfg[v], n, up[v ? ups - 1 : ups / 2], gone, leaving);
                lmn_orphan_claimants(core, now, successor[v]);
                drop(core);
            }
            for (int k = 0; k < n; k++) {
                assert_int_equal(successor[0][k], successor[1][k]);
                if (!gone[k]) {
                    assert_int_equal(successor[0][k], -1);
                    continue;
                }
                assert_true(successor[0][k] >= 0 && !gone[successor[0][k]] &&
                            !leaving[successor[0][k]]);
                got[successor[0][k]]++;
            }
            for (int k = 0; k < n; k++)
                assert_true(got[k] <= (dead + stay - 1) / stay);
        }
    g_rand_free(r);
}

/* Who is in step with the last owner goes before all that have less. */
static void who_is_in_step_inherits(void **state)
{
    bool gone[5] = {false, true}, leaving[5] = {0};
    int successor[LMN_MAX_PARTITIONS];
    static struct lmn_settings cfg;
    struct lmn_core *core = view(&cfg, 5, 0, gone, leaving);
    GByteArray *v = g_byte_array_new(), *t = g_byte_array_new();
    (void)state;

    lmn_cbor_put_uint(t, 1);
    put(core, "t/1", t, 90);
    lmn_orphan_claimants(core, now, successor);
    assert_int_equal(successor[1], 2);
    lmn_cbor_put_map(v, 4);
    lmn_cbor_put_text(v, "node"), lmn_cbor_put_text(v, "n04");
    lmn_cbor_put_text(v, "lease"), lmn_cbor_put_uint(v, 104);
    lmn_cbor_put_text(v, "stream"), lmn_cbor_put_uint(v, 7);
    lmn_cbor_put_text(v, "term"), lmn_cbor_put_uint(v, 1);
    put(core, "b/1", v, 91);
    lmn_orphan_claimants(core, now, successor);
    assert_int_equal(successor[1], 4);
    /* Not with another lease: that is another life, which has no copy. */
    core->members.views[4].lease = 999;
    lmn_orphan_claimants(core, now, successor);
    assert_int_equal(successor[1], 2);
    drop(core);
}

/* One that leaves claims nothing, gives what it has, and may change its mind until all is
 * given; with nobody to give to it ends all the same, after a while. */
static void leaving_gives_everything(void **state)
{
    bool gone[3] = {0}, leaving[3] = {0};
    static struct lmn_settings cfg;
    struct lmn_core *core = view(&cfg, 3, 0, gone, leaving);
    struct lmn_partition *partition = &core->partitions[0];
    (void)state;

    core->lease.id = 100;
    lmn_watch_cache_begin_ownerships(core, now);
    assert_true(partition->ownership.is_owned);
    lmn_shutdown_begin(core, now);
    assert_false(lmn_shutdown_all_transferred(core) ||
                 lmn_shutdown_is_complete(core, now));
    /* Nobody is in step: for 2 s it waits for somebody. */
    assert_int_equal(lmn_shutdown_transfer_target(core, partition, now), -1);
    assert_int_equal(
        lmn_shutdown_transfer_target(core, partition, lmn_time_add(now, 2.1)), 1);
    assert_true(lmn_shutdown_cancel(core));
    assert_false(core->shutdown.is_requested);
    lmn_shutdown_begin(core, now);
    core->owner_ops->partition_lost(core, partition, "given");
    partition->record.owner[0] = '\0';
    partition->record.owner_revision = 0;
    assert_true(lmn_shutdown_all_transferred(core));
    core->shutdown.has_released_lease = true;
    assert_false(lmn_shutdown_cancel(core));
    assert_false(lmn_shutdown_is_complete(core, lmn_time_add(now, 5.9)));
    assert_true(lmn_shutdown_is_complete(core, lmn_time_add(now, 6.1)));
    core->shutdown.has_released_lease = false;
    assert_false(lmn_shutdown_is_complete(core, lmn_time_add(now, 9.9)));
    assert_true(lmn_shutdown_is_complete(core, lmn_time_add(now, 10.1)));
    drop(core);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(orphans_are_spread),
        cmocka_unit_test(who_is_in_step_inherits),
        cmocka_unit_test(leaving_gives_everything),
    };
    lmn_log_level = LMN_LOG_ERROR;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
