/* Nodes: how they boot, join, sync their watch caches and are discarded. Also sets up the
 * state in which every path begins. */
#include "takeover.h"

#include "membership/membership.h"
#include "partition/ownership.h"
#include "partition/owner.h"
#include "replication/replica.h"
#include "state/fencing_token.h"
#include "state/watch_cache.h"
#include "state/task_ledger.h"
#include "state/records.h"

#include <string.h>

const struct faults all_faults = {.late_heartbeats = 1, .lost_answers = 1, .restarts = 2};
const struct faults one_restart = {.restarts = 1};
struct model model = {.allowed_faults = {.restarts = 1}};

enum { NODE_C_LEASE = MAX_LEASES - 1 };

const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0"; /* memory that a crashed node still used is not freed */
}

struct lmn_partition *node_partition(int node_index)
{
    return &model.nodes[node_index].core->partitions[0];
}

void advance_time(double seconds)
{
    model.now = lmn_time_add(model.now, seconds);
    for (int node_index = 0; node_index < NODES; node_index++)
        if (!model.nodes[node_index].is_paused)
            lmn_members_tick(&model.nodes[node_index].core->members, 0, model.now);
}

static void apply_event(struct lmn_core *core, const struct store_entry *entry)
{
    struct lmn_cbor_document document = {0};

    if (entry->value)
        lmn_cbor_parse(&document, entry->value->data, entry->value->len);
    lmn_watch_cache_apply(core, entry->key, &document,
                          entry->value ? lmn_cbor_root(&document) : NULL, entry->revision,
                          model.now);
    if (entry->value)
        lmn_cbor_free(&document);
}

/* Alters the record or the replica so that the disabled guard of a warm takeover has no
 * effect. */
static void disable_takeover_guard(struct lmn_core *core)
{
    struct lmn_partition *partition = &core->partitions[0];

    if (model.disabled_guard == GUARD_RECORDED_STANDBY &&
        partition->record.owner_stream) {
        partition->record.standby_stream = partition->record.owner_stream;
        partition->record.standby_epoch = lmn_record_first_token(&partition->record) - 1;
        g_strlcpy(partition->record.standby, core->settings->node_name, LMN_NAME_SIZE);
    }
    if (model.disabled_guard == GUARD_REPLICA_EPOCH && partition->replication.replica &&
        partition->record.owner_stream)
        partition->replication.replica->epoch = partition->record.standby_epoch =
            lmn_record_first_token(&partition->record) - 1;
    if (model.disabled_guard == GUARD_REPLICATED_ATTEMPTS &&
        partition->replication.replica)
        g_hash_table_remove_all(partition->replication.replica->machines);
}

void node_sync_cache(int node_index)
{
    struct node *node = &model.nodes[node_index];
    struct lmn_core *core = node->core;

    while (node->applied_events < model.event_count)
        apply_event(core, &model.events[node->applied_events++]);
    disable_takeover_guard(core);
    core->cache.fresh_at = model.now;
    lmn_members_record_watch(&core->members, model.now);
    core->cache.is_synced = true;
    lmn_watch_cache_begin_ownerships(core, model.now);
}

/* Writes the member's record, which the store deletes when the lease ends. */
static void put_member(const char *name, uint64_t lease_id)
{
    char key[24];
    GByteArray *value = g_byte_array_new();

    assert_true(lease_id < MAX_LEASES);
    model.lease_alive[lease_id] = true;
    model.revision++;
    lmn_cbor_put_uint(value, lease_id);
    g_snprintf(key, sizeof key, "n/%s", name);
    store_put(NULL, key, value, lease_id);
    g_byte_array_unref(value);
}

void node_join(int node_index)
{
    struct node *node = &model.nodes[node_index];

    node->lease_id = node->core->lease.id = ++model.next_lease_id;
    put_member(node->settings.node_name, node->lease_id);
}

static struct lmn_team team; /* shared by all nodes, which do not modify it */

static void set_up_settings(struct lmn_settings *settings, int node_index)
{
    static const char *const names[] = {"na", "nb", "nc"};

    memset(settings, 0, sizeof *settings);
    g_strlcpy(settings->node_name, names[node_index], LMN_NAME_SIZE);
    /* A and B are in different zones, so that each chooses the other as its standby. */
    g_strlcpy(settings->zone, node_index == NODE_A ? "y" : "z", LMN_NAME_SIZE);
    for (int i = 0; i <= NODE_C; i++)
        if (i != node_index) {
            g_strlcpy(settings->members[settings->member_count].zone,
                      i == NODE_B ? "z" : "y", LMN_NAME_SIZE);
            g_strlcpy(settings->members[settings->member_count++].name, names[i],
                      LMN_NAME_SIZE);
        }
    settings->partition_count = 1;
    settings->heartbeat_s = 1;
    settings->lease_s = 8;
    settings->cancel_s = 30;
    settings->state_requests_per_s = settings->state_writes_per_s = 1e6;
    settings->max_value_kb = 16;
    settings->max_txn_operations = 12;
    settings->teams = &team;
    g_strlcpy(settings->teams[0].name, "x", LMN_NAME_SIZE);
    settings->team_count = 1;
}

void node_boot(int node_index)
{
    struct node *node = &model.nodes[node_index];
    struct timespec long_ago = lmn_time_add(model.now, -100);

    set_up_settings(&node->settings, node_index);
    struct lmn_core *core =
        lmn_core_new(&node->settings, lmn_kv_client_new(&node->settings), 1);
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "t", .cpus = 1, .zone_count = 1};
    core->cloud.machine_types_known = true;
    core->booted_at = core->cache.synced_at = long_ago;
    core->members.synced_at = core->members.cache_fresh_at = long_ago;
    core->members.last_tick_at = model.now;
    node->core = core;
    node->applied_events = 0;
    node->is_paused = false;
}

void node_discard(int node_index)
{
    struct node *node = &model.nodes[node_index];

    if (!node->core)
        return;
    lmn_kv_client_free(node->core->kv_client);
    lmn_core_free(node->core);
    if (node->ownership_txn)
        lmn_txn_free(node->ownership_txn);
    node->ownership_txn = NULL;
    if (node->standby_txn)
        lmn_txn_free(node->standby_txn);
    node->standby_txn = NULL;
    if (node->deferred_push)
        g_byte_array_unref(node->deferred_push);
    node->deferred_push = NULL;
}

void model_clear(void)
{
    for (int node_index = 0; node_index < NODES; node_index++)
        node_discard(node_index);
    for (guint i = 0; i < model.event_count; i++)
        if (model.events[i].value)
            g_byte_array_unref(model.events[i].value);
    for (int i = 0; i < MAX_PUSHES; i++)
        if (model.pushes[i].body)
            g_byte_array_unref(model.pushes[i].body);
    for (int k = 0; k < MACHINES; k++)
        if (model.machines[k].last_heartbeat)
            g_byte_array_unref(model.machines[k].last_heartbeat);
    if (model.kept_heartbeat)
        g_byte_array_unref(model.kept_heartbeat);
    memset((char *)&model + offsetof(struct model, nodes), 0,
           sizeof model - offsetof(struct model, nodes));
}

static void own_partition(int node_index)
{
    struct node *node = &model.nodes[node_index];
    uint64_t revision;
    struct lmn_txn *txn = lmn_ownership_claim(node->core, 0, node->lease_id, model.now);

    assert_int_equal(store_commit(txn, &revision), LMN_TXN_COMMITTED);
    lmn_txn_free(txn);
    node_sync_cache(node_index);
    assert_true(node_partition(node_index)->ownership.is_owned);
}

/* Lets the machines send heartbeats and writes their records. A machine becomes known
 * with its first heartbeat, and is recorded before its last one here. */
static void record_machines(void)
{
    for (int k = 0; k < MACHINES; k++) {
        struct machine *machine = &model.machines[k];
        g_snprintf(machine->name, sizeof machine->name, "host-%d", k);
        machine->incarnation = 1;
    }
    send_heartbeat(NODE_A, 0);
    send_heartbeat(NODE_A, 0);
    flush_records(NODE_A, true);
    node_sync_cache(NODE_A);
    send_heartbeat(NODE_A, 0);
    if (model.disabled_guard == GUARD_MACHINE_RECORD)
        return;
    send_heartbeat(NODE_A, 1);
    send_heartbeat(NODE_A, 1);
    model.now = lmn_time_add(model.now, 1); /* longer than a block's write interval */
    if (model.second_machine_is_unrecorded)
        return;
    flush_records(NODE_A, true);
    node_sync_cache(NODE_A);
    send_heartbeat(NODE_A, 1);
}

static void put_job(void)
{
    struct lmn_job_spec spec = {.class_name = (char *)"c",
                                .team = (char *)"x",
                                .image = (char *)"img",
                                .priority = LMN_PRIORITY_NORMAL,
                                .tasks = 1,
                                .cpus = 1,
                                .estimate_s = 5,
                                .deadline_s = -1};
    struct lmn_range range = {.first = 0, .end = 1};
    uint8_t done_bits = 0;

    g_strlcpy(spec.id, "run-000001", sizeof spec.id);
    GByteArray *job = lmn_job_record_encode(&spec, LMN_JOB_ACTIVE, 1, 1000);
    GByteArray *tasks = lmn_range_record_encode(&range, &done_bits);
    model.revision++;
    store_put(NULL, "j/run-000001", job, 0);
    store_put(NULL, "r/0/run-000001/0", tasks, 0);
    g_byte_array_unref(job);
    g_byte_array_unref(tasks);
}

/* Each node has received a reply from each other member 20 s ago. */
static void set_up_membership(int node_index)
{
    struct lmn_members *members = &model.nodes[node_index].core->members;
    struct lmn_member_health healthy = {0, 0.5, 0};
    struct timespec heard_at = lmn_time_add(model.now, -20);

    lmn_members_tick(members, 0, model.now);
    for (int i = 0; i <= NODE_C; i++)
        if (i != node_index)
            lmn_member_record_probe_reply(members, i, &healthy, heard_at, heard_at);
}

void model_reset(void)
{
    model_clear();
    model.now = lmn_time_add((struct timespec){0, 0}, 1000);
    lmn_test_clock = &model.now;
    for (int node_index = 0; node_index < NODES; node_index++) {
        node_boot(node_index);
        node_join(node_index);
    }
    put_member("nc", NODE_C_LEASE);
    node_sync_cache(NODE_A);
    node_sync_cache(NODE_B);
    own_partition(NODE_A);
    record_machines();
    put_job();
    node_sync_cache(NODE_A);
    node_sync_cache(NODE_B);
    for (int node_index = 0; node_index < NODES; node_index++)
        set_up_membership(node_index);
}
