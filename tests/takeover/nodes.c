/* Nodes: how they boot, join, mirror the state service and are discarded; and the state
 * that every path begins with. */
#include "takeover.h"

#include "membership/membership.h"
#include "partition/ownership.h"
#include "partition/owner.h"
#include "replication/replica.h"
#include "state/watch_cache.h"
#include "state/task_ledger.h"
#include "state/records.h"

#include <string.h>

const struct faults faults_allowed = {.copies = 1, .unanswered = 1, .restarts = 2};
const struct faults only_a_restart = {.restarts = 1};
struct explored explored = {.allowed = {.restarts = 1}};

enum { LEASE_OF_C = LEASES - 1 };

const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0"; /* nodes that crashed are left behind as they are */
}

struct lmn_partition *node_partition(int n)
{
    return &explored.nodes[n].core->partitions[0];
}

void advance(double seconds)
{
    explored.now = lmn_time_add(explored.now, seconds);
    for (int n = 0; n < NODES; n++)
        if (!explored.nodes[n].stalled)
            lmn_members_tick(&explored.nodes[n].core->members, 0, explored.now);
}

static void apply_event(struct lmn_core *core, const struct entry *e)
{
    struct lmn_cbor_document d = {0};

    if (e->value)
        lmn_cbor_parse(&d, e->value->data, e->value->len);
    lmn_watch_cache_apply(core, e->key, &d, e->value ? lmn_cbor_root(&d) : NULL,
                          e->revision, explored.now);
    if (e->value)
        lmn_cbor_free(&d);
}

/* Makes up what the guards of a warm takeover would have found wrong. */
static void remove_takeover_guard(struct lmn_core *core)
{
    struct lmn_partition *partition = &core->partitions[0];

    if (explored.without == GUARD_NAMED && partition->record.owner_stream) {
        partition->record.standby_stream = partition->record.owner_stream;
        partition->record.standby_epoch = partition->record.owner_epoch - 1;
        g_strlcpy(partition->record.standby, core->settings->node_name, LMN_NAME_SIZE);
    }
    if (explored.without == GUARD_TERM && partition->replication.replica &&
        partition->record.owner_stream)
        partition->replication.replica->epoch = partition->record.standby_epoch =
            partition->record.owner_epoch - 1;
    if (explored.without == GUARD_HELD && partition->replication.replica)
        g_hash_table_remove_all(partition->replication.replica->machines);
}

void node_mirror(int n)
{
    struct node *node = &explored.nodes[n];
    struct lmn_core *core = node->core;

    while (node->seen < explored.nevents)
        apply_event(core, &explored.events[node->seen++]);
    remove_takeover_guard(core);
    core->cache.fresh_at = explored.now;
    lmn_members_record_watch(&core->members, explored.now);
    core->cache.is_synced = true;
    lmn_watch_cache_begin_ownerships(core, explored.now);
}

/* The record of a member hangs on its lease. */
static void put_member(const char *name, uint64_t lease)
{
    char key[24];
    GByteArray *value = g_byte_array_new();

    assert_true(lease < LEASES);
    explored.lease_alive[lease] = true;
    explored.revision++;
    lmn_cbor_put_uint(value, lease);
    g_snprintf(key, sizeof key, "n/%s", name);
    store_put(NULL, key, value, lease);
    g_byte_array_unref(value);
}

void node_join(int n)
{
    struct node *node = &explored.nodes[n];

    node->lease = node->core->lease.id = ++explored.next_lease;
    put_member(node->settings.node_name, node->lease);
}

static struct lmn_team team; /* of all nodes: nothing alters it */

static void set_up(struct lmn_settings *settings, int n)
{
    static const char *const names[] = {"na", "nb", "nc"};

    memset(settings, 0, sizeof *settings);
    g_strlcpy(settings->node_name, names[n], LMN_NAME_SIZE);
    /* So that the two choose each other for a standby. */
    g_strlcpy(settings->zone, n == A ? "y" : "z", LMN_NAME_SIZE);
    for (int i = 0; i <= C; i++)
        if (i != n) {
            g_strlcpy(settings->members[settings->member_count].zone, i == B ? "z" : "y",
                      LMN_NAME_SIZE);
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

void node_boot(int n)
{
    struct node *node = &explored.nodes[n];
    struct timespec long_ago = lmn_time_add(explored.now, -100);

    set_up(&node->settings, n);
    struct lmn_core *core =
        lmn_core_new(&node->settings, lmn_kv_client_new(&node->settings), 1);
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "t", .cpus = 1, .zone_count = 1};
    core->cloud.machine_types_known = true;
    core->booted_at = core->cache.synced_at = long_ago;
    core->members.synced_at = core->members.cache_fresh_at = long_ago;
    core->members.last_tick_at = explored.now;
    node->core = core;
    node->seen = 0;
    node->stalled = false;
}

void node_discard(int n)
{
    struct node *node = &explored.nodes[n];

    if (!node->core)
        return;
    lmn_kv_client_free(node->core->kv_client);
    lmn_core_free(node->core);
    if (node->ownership)
        lmn_txn_free(node->ownership);
    node->ownership = NULL;
    if (node->standby_record)
        lmn_txn_free(node->standby_record);
    node->standby_record = NULL;
    if (node->pending)
        g_byte_array_unref(node->pending);
    node->pending = NULL;
}

void explored_forget(void)
{
    for (int n = 0; n < NODES; n++)
        node_discard(n);
    for (guint i = 0; i < explored.nevents; i++)
        if (explored.events[i].value)
            g_byte_array_unref(explored.events[i].value);
    for (int i = 0; i < COMMANDS; i++)
        if (explored.commands[i].body)
            g_byte_array_unref(explored.commands[i].body);
    for (int k = 0; k < MACHINES; k++)
        if (explored.machines[k].last_report)
            g_byte_array_unref(explored.machines[k].last_report);
    if (explored.late_report)
        g_byte_array_unref(explored.late_report);
    memset((char *)&explored + offsetof(struct explored, nodes), 0,
           sizeof explored - offsetof(struct explored, nodes));
}

static void own_partition(int n)
{
    struct node *node = &explored.nodes[n];
    uint64_t revision;
    struct lmn_txn *txn = lmn_ownership_claim(node->core, 0, node->lease, explored.now);

    assert_int_equal(store_commit(txn, &revision), LMN_TXN_COMMITTED);
    lmn_txn_free(txn);
    node_mirror(n);
    assert_true(node_partition(n)->ownership.is_owned);
}

/* The first report makes a machine known, its record is written, and the next one finds
 * it recorded. */
static void record_machines(void)
{
    for (int k = 0; k < MACHINES; k++) {
        struct machine *machine = &explored.machines[k];
        g_snprintf(machine->name, sizeof machine->name, "host-%d", k);
        machine->session = 1;
    }
    report(A, 0);
    report(A, 0);
    flush(A, true);
    node_mirror(A);
    report(A, 0);
    if (explored.without == GUARD_RECORD)
        return;
    report(A, 1);
    report(A, 1);
    explored.now = lmn_time_add(explored.now, 1); /* records are written once a second */
    if (explored.unrecorded)
        return;
    flush(A, true);
    node_mirror(A);
    report(A, 1);
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
    uint8_t none_done = 0;

    g_strlcpy(spec.id, "run-000001", sizeof spec.id);
    GByteArray *job = lmn_job_record(&spec, LMN_JOB_ACTIVE, 1, 1000);
    GByteArray *tasks = lmn_range_record(&range, &none_done);
    explored.revision++;
    store_put(NULL, "j/run-000001", job, 0);
    store_put(NULL, "r/0/run-000001/0", tasks, 0);
    g_byte_array_unref(job);
    g_byte_array_unref(tasks);
}

/* Each has heard both others 20 s ago. */
static void set_up_membership(int n)
{
    struct lmn_members *members = &explored.nodes[n].core->members;
    struct lmn_member_health well = {0, 0.5, 0};
    struct timespec then = lmn_time_add(explored.now, -20);

    lmn_members_tick(members, 0, explored.now);
    for (int i = 0; i <= C; i++)
        if (i != n)
            lmn_member_record_probe_reply(members, i, &well, then, then);
}

void explored_begin(void)
{
    explored_forget();
    explored.now = lmn_time_add((struct timespec){0, 0}, 1000);
    lmn_test_clock = &explored.now;
    for (int n = 0; n < NODES; n++) {
        node_boot(n);
        node_join(n);
    }
    put_member("nc", LEASE_OF_C);
    node_mirror(A);
    node_mirror(B);
    own_partition(A);
    record_machines();
    put_job();
    node_mirror(A);
    node_mirror(B);
    for (int n = 0; n < NODES; n++)
        set_up_membership(n);
}
