/* Which member takes over a partition: chosen over generated sets of members, some of
 * which have failed or are shutting down. And how a controller that shuts down transfers
 * its partitions. */
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

enum { KEY_SIZE = 32 }; /* bytes */

static struct timespec now = {1000, 0};

/* Applies a record's value as a change that the watch cache shows; frees the value. */
static void apply_record(struct lmn_core *core, const char *key, GByteArray *value,
                         uint64_t revision)
{
    struct lmn_cbor_document document;

    assert_int_equal(lmn_cbor_parse(&document, value->data, value->len), 0);
    lmn_watch_cache_apply(core, key, &document, lmn_cbor_root(&document), revision, now);
    lmn_cbor_free(&document);
    g_byte_array_unref(value);
}

/* The id of the lease of the member with the index. */
static uint64_t lease_of(int member_index)
{
    return 100 + (uint64_t)member_index;
}

static void put_member_record(struct lmn_core *core, int member_index,
                              bool is_shutting_down)
{
    char key[KEY_SIZE];
    GByteArray *record = g_byte_array_new();

    lmn_cbor_put_map(record, 2);
    lmn_cbor_put_text(record, "lease"), lmn_cbor_put_uint(record, lease_of(member_index));
    lmn_cbor_put_text(record, "leaving"), lmn_cbor_put_bool(record, is_shutting_down);
    g_snprintf(key, sizeof key, "n/n%02d", member_index);
    apply_record(core, key, record, 10 + (uint64_t)member_index);
}

/* The member owns the partition whose id is its index. */
static void put_owner_record(struct lmn_core *core, int member_index)
{
    char key[KEY_SIZE], name[LMN_NAME_SIZE];
    GByteArray *record = g_byte_array_new();

    g_snprintf(name, sizeof name, "n%02d", member_index);
    lmn_cbor_put_map(record, 4);
    lmn_cbor_put_text(record, "node"), lmn_cbor_put_text(record, name);
    lmn_cbor_put_text(record, "lease"), lmn_cbor_put_uint(record, lease_of(member_index));
    lmn_cbor_put_text(record, "term"), lmn_cbor_put_uint(record, 1);
    lmn_cbor_put_text(record, "stream"), lmn_cbor_put_uint(record, 0);
    g_snprintf(key, sizeof key, "o/%d", member_index);
    apply_record(core, key, record, 50 + (uint64_t)member_index);
}

static void init_settings(struct lmn_settings *settings, int member_count, int self)
{
    memset(settings, 0, sizeof *settings);
    g_snprintf(settings->node_name, LMN_NAME_SIZE, "n%02d", self);
    for (int i = 0; i < member_count; i++)
        if (i != self)
            g_snprintf(settings->members[settings->member_count++].name, LMN_NAME_SIZE,
                       "n%02d", i);
    settings->partition_count = member_count;
    settings->heartbeat_s = 1;
    settings->lease_s = 8;
    settings->cancel_s = 30;
    settings->state_requests_per_s = settings->state_writes_per_s = 1e6;
    settings->max_value_kb = 16;
    settings->max_txn_operations = 12;
}

/* The shared state of the member with the index `self`. Each of the members that has not
 * failed is up and owns the partition whose id is its index. */
static struct lmn_core *make_core(struct lmn_settings *settings, int member_count,
                                  int self, const bool *has_failed,
                                  const bool *is_shutting_down)
{
    const struct lmn_member_health healthy = {0, 0, 0};

    init_settings(settings, member_count, self);
    struct lmn_core *core = lmn_core_new(settings, lmn_kv_client_new(settings), 1);
    lmn_members_record_watch(&core->members, now);
    lmn_members_tick(&core->members, 0, now);
    core->members.synced_at = lmn_time_add(now, -100);
    core->cache.is_synced = true;
    core->cache.fresh_at = now;
    for (int i = 0; i < member_count; i++) {
        if (has_failed[i])
            continue;
        put_member_record(core, i, is_shutting_down[i]);
        if (i != self)
            lmn_member_record_probe_reply(&core->members, i, &healthy, now, now);
    }
    for (int i = 0; i < member_count; i++)
        if (!has_failed[i])
            put_owner_record(core, i);
    return core;
}

static void free_core(struct lmn_core *core)
{
    struct lmn_kv_client *client = core->kv_client;

    lmn_core_free(core);
    lmn_kv_client_free(client);
}

/* A generated set of members, some of which have failed. */
struct member_set {
    int count, failed_count;
    /* Members that have neither failed nor shut down. */
    int staying_count;
    bool has_failed[LMN_MAX_PARTITIONS], is_shutting_down[LMN_MAX_PARTITIONS];
    int up[LMN_MAX_PARTITIONS], up_count; /* indices of those that have not failed */
};

static struct member_set generate_members(GRand *random, int count, int failed_count,
                                          bool may_shut_down)
{
    struct member_set set = {.count = count,
                             .failed_count = failed_count,
                             .staying_count = count - failed_count};

    for (int left = failed_count; left > 0;) {
        int member_index = g_rand_int_range(random, 0, count);
        left -= !set.has_failed[member_index];
        set.has_failed[member_index] = true;
    }
    for (int i = 0; i < count; i++)
        if (!set.has_failed[i])
            set.up[set.up_count++] = i;
    if (set.up_count > 2 && may_shut_down) {
        set.is_shutting_down[set.up[0]] = true;
        set.staying_count--;
    }
    return set;
}

/* Sets which member claims each orphaned partition, as the member `self` chooses. */
static void choose_claimants(const struct member_set *set, int self, int *claimants)
{
    static struct lmn_settings settings;
    struct lmn_core *core =
        make_core(&settings, set->count, self, set->has_failed, set->is_shutting_down);

    lmn_orphan_claimants(core, now, claimants);
    free_core(core);
}

/* Checks that two members choose the same claimants, that each claimant is up and stays,
 * and that none claims more than an even share, rounded up, of the orphaned partitions.
 */
static void check_claimants(const struct member_set *set)
{
    int claimants[2][LMN_MAX_PARTITIONS], claimed[LMN_MAX_PARTITIONS] = {0};

    choose_claimants(set, set->up[set->up_count / 2], claimants[0]);
    choose_claimants(set, set->up[set->up_count - 1], claimants[1]);
    for (int i = 0; i < set->count; i++) {
        int claimant = claimants[0][i];
        assert_int_equal(claimant, claimants[1][i]);
        if (!set->has_failed[i]) {
            assert_int_equal(claimant, -1);
            continue;
        }
        assert_true(claimant >= 0 && !set->has_failed[claimant] &&
                    !set->is_shutting_down[claimant]);
        claimed[claimant]++;
    }
    for (int i = 0; i < set->count; i++)
        assert_true(claimed[i] <=
                    (set->failed_count + set->staying_count - 1) / set->staying_count);
}

static void members_agree_and_spread_orphaned_partitions(void **state)
{
    static const struct {
        int members, failed;
    } sizes[] = {{3, 1}, {3, 2}, {9, 3}, {9, 8}, {15, 7}, {33, 16}};
    enum { ROUNDS = 12, ROUNDS_PER_SHUTDOWN = 3 };
    GRand *random = g_rand_new_with_seed(3);
    (void)state;

    for (guint i = 0; i < G_N_ELEMENTS(sizes); i++)
        for (int round = 0; round < ROUNDS; round++) {
            const struct member_set set =
                generate_members(random, sizes[i].members, sizes[i].failed,
                                 round % ROUNDS_PER_SHUTDOWN == 0);
            check_claimants(&set);
        }
    g_rand_free(random);
}

static void standby_in_sync_takes_precedence(void **state)
{
    bool has_failed[5] = {false, true}, is_shutting_down[5] = {0};
    int claimants[LMN_MAX_PARTITIONS];
    static struct lmn_settings settings;
    struct lmn_core *core = make_core(&settings, 5, 0, has_failed, is_shutting_down);
    GByteArray *standby_record = g_byte_array_new(), *epoch_record = g_byte_array_new();
    (void)state;

    lmn_cbor_put_uint(epoch_record, 1);
    apply_record(core, "t/1", epoch_record, 90);
    lmn_orphan_claimants(core, now, claimants);
    assert_int_equal(claimants[1], 2);
    lmn_cbor_put_map(standby_record, 4);
    lmn_cbor_put_text(standby_record, "node"), lmn_cbor_put_text(standby_record, "n04");
    lmn_cbor_put_text(standby_record, "lease");
    lmn_cbor_put_uint(standby_record, lease_of(4));
    lmn_cbor_put_text(standby_record, "stream"), lmn_cbor_put_uint(standby_record, 7);
    lmn_cbor_put_text(standby_record, "term"), lmn_cbor_put_uint(standby_record, 1);
    apply_record(core, "b/1", standby_record, 91);
    lmn_orphan_claimants(core, now, claimants);
    assert_int_equal(claimants[1], 4);
    /* Under another lease the member is a restarted process, which has no replica. */
    core->members.views[4].lease = 999;
    lmn_orphan_claimants(core, now, claimants);
    assert_int_equal(claimants[1], 2);
    free_core(core);
}

/* A controller that shuts down transfers all its partitions. The shutdown can be
 * cancelled until the lease is released. If the partitions can't be transferred, the
 * process exits after 10 s all the same. */
static void shutdown_transfers_every_partition(void **state)
{
    bool has_failed[3] = {0}, is_shutting_down[3] = {0};
    static struct lmn_settings settings;
    struct lmn_core *core = make_core(&settings, 3, 0, has_failed, is_shutting_down);
    struct lmn_partition *partition = &core->partitions[0];
    (void)state;

    core->lease.id = 100;
    lmn_watch_cache_begin_ownerships(core, now);
    assert_true(partition->ownership.is_owned);
    lmn_shutdown_begin(core, now);
    assert_false(lmn_shutdown_all_transferred(core) ||
                 lmn_shutdown_is_complete(core, now));
    /* No member is in sync: the partition waits 2 s for one. */
    assert_int_equal(lmn_shutdown_transfer_target(core, partition, now), -1);
    assert_int_equal(
        lmn_shutdown_transfer_target(core, partition, lmn_time_add(now, 2.1)), 1);
    assert_true(lmn_shutdown_cancel(core));
    assert_false(core->shutdown.is_requested);
    lmn_shutdown_begin(core, now);
    core->owner_ops->partition_lost(core, partition, "transferred");
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
    free_core(core);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(members_agree_and_spread_orphaned_partitions),
        cmocka_unit_test(standby_in_sync_takes_precedence),
        cmocka_unit_test(shutdown_transfers_every_partition),
    };
    lmn_log_level = LMN_LOG_ERROR;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
