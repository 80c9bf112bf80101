#include "controller/rpc_server.h"
#include "util/log.h"
#include "util/thread.h"
#include "scheduler/queue.h"
#include "scheduler/quota.h"
#include "scheduler/work_stealing.h"
#include "partition/range_writer.h"
#include "partition/quota_transfer.h"
#include "partition/partition.h"
#include "controller/probe_client.h"
#include "controller/ownership_report.h"
#include "controller/rpc_client.h"
#include "controller/replication_thread.h"
#include "controller/members_report.h"
#include "controller/status.h"
#include "state/core.h"
#include "controller_rpc.h"

#include <arpa/inet.h>
#include <math.h>
#include <rpc/rpc.h>
#include <rpc/rpc_com.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static struct lmn_core *core;

/* xdr_void's type differs from all others'; the detour says that this is meant. */
#define nothing ((xdrproc_t)(void (*)(void))xdr_void)

/* Settings are changed by compare-and-set on their one record. */
static int tuning_set(const char *name, double value, char *err, size_t len)
{
    struct lmn_http_client *client = lmn_http_client_new(core->settings->state_address);
    enum lmn_txn_outcome r = LMN_TXN_CONFLICT;

    for (int tries = 0; tries < 5 && r == LMN_TXN_CONFLICT; tries++) {
        uint64_t revision = 0;
        pthread_mutex_lock(&core->lock);
        struct lmn_operator_settings t = core->cache.operator_settings;
        uint64_t seen = core->cache.operator_settings_revision;
        pthread_mutex_unlock(&core->lock);
        if (lmn_operator_settings_set(&t, name, value, err, len) != 0) {
            lmn_http_client_free(client);
            return -1;
        }
        struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
        lmn_txn_require_version(txn, "s", seen);
        lmn_txn_put(txn, "s", lmn_operator_settings_record(&t), 0);
        r = lmn_kv_client_commit(core->kv_client, client, txn, &revision, NULL);
        lmn_txn_free(txn);
        if (r == LMN_TXN_CONFLICT)
            lmn_sleep(0.2);
    }
    lmn_http_client_free(client);
    if (r == LMN_TXN_COMMITTED)
        return 0;
    snprintf(err, len, "the state service did not take it (%s); look, and try again",
             r == LMN_TXN_UNKNOWN    ? "outcome unknown"
             : r == LMN_TXN_REJECTED ? "refused"
                                     : "conflict");
    return -1;
}

static int drain(const char *name, char *err, size_t len)
{
    struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    int rc = -1;

    pthread_mutex_lock(&core->lock);
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);
    if (partition->ownership.is_owned && machine) {
        lmn_machine_drain(core, machine, false, "drained by an operator", lmn_now());
        rc = 0;
    } else if (partition->ownership.is_owned) {
        snprintf(err, len, "%s: no such machine", name);
    } else {
        snprintf(err, len, "%s: ask its owner, %s", name,
                 *partition->record.owner ? partition->record.owner : "nobody now");
    }
    pthread_mutex_unlock(&core->lock);
    return rc;
}

/* Another controller asks how much would fit there, or for it. */
static u_int asked(const struct lmn_rpc_steal_request *request, bool give)
{
    struct lmn_steal_request t;
    u_int n = 0;

    if (request->victim < 0 || request->victim >= core->partition_count ||
        request->thief < 0 || request->thief >= core->partition_count)
        return 0;
    lmn_steal_request_init(&t, core->settings);
    t.partition = request->thief;
    for (u_int i = 0; i < request->rooms.rooms_len && i < G_N_ELEMENTS(t.capacities);
         i++) {
        const struct lmn_rpc_capacity *x = &request->rooms.rooms_val[i];
        struct lmn_free_capacity *capacity = &t.capacities[t.capacity_count++];
        g_strlcpy(capacity->type, x->type, sizeof capacity->type);
        g_strlcpy(capacity->zone, x->zone, sizeof capacity->zone);
        capacity->is_spot = x->spot;
        capacity->cpus = x->cpus;
        capacity->gpus = x->gpus;
        capacity->memory_gb = x->mem;
    }
    for (u_int i = 0; i < request->teams.teams_len; i++) {
        const struct lmn_team *team =
            lmn_settings_team(core->settings, request->teams.teams_val[i].name);
        if (!team)
            continue;
        t.team_free_cpus[team - core->settings->teams] = request->teams.teams_val[i].cpus;
        t.team_free_gpus[team - core->settings->teams] = request->teams.teams_val[i].gpus;
    }
    pthread_mutex_lock(&core->lock);
    struct timespec now = lmn_now();
    struct lmn_partition *partition = &core->partitions[request->victim];
    if (give) {
        n = lmn_victim_transfer(core, partition, &t, now);
        lmn_range_writer_flush(core, now);
    } else {
        n = lmn_victim_load(core, partition, &t);
    }
    pthread_mutex_unlock(&core->lock);
    lmn_steal_request_clear(&t);
    return n;
}

static u_int asked_quota(const struct lmn_rpc_quota_request *request)
{
    const struct lmn_team *team = lmn_settings_team(core->settings, request->team);
    bool given = false;

    if (!team || request->victim < 0 || request->victim >= core->partition_count)
        return 0;
    struct lmn_quota_request w = {(int)(team - core->settings->teams), request->cpus,
                                  request->gpus, request->least_cpus,
                                  request->least_gpus};
    pthread_mutex_lock(&core->lock);
    given = lmn_quota_request_handle(core, &core->partitions[request->victim],
                                     request->thief, &w, lmn_now());
    pthread_mutex_unlock(&core->lock);
    return given;
}

static void dispatch(struct svc_req *request, SVCXPRT *transport)
{
    char err[256] = "done";

    switch (request->rq_proc) {
    case LMN_RPC_PING:
        svc_sendreply(transport, nothing, NULL);
        return;
    case LMN_RPC_STATUS: {
        struct lmn_rpc_reply r = {0, lmn_status_report(core)};
        if (strlen(r.text) >= LMN_RPC_MAX_TEXT)
            r.text[LMN_RPC_MAX_TEXT - 1] = '\0';
        svc_sendreply(transport, (xdrproc_t)xdr_lmn_rpc_reply, (char *)&r);
        g_free(r.text);
        return;
    }
    case LMN_RPC_SETTINGS_GET: {
        struct lmn_rpc_setting items[LMN_RPC_MAX_ITEMS];
        struct lmn_rpc_settings l = {{0, items}};
        pthread_mutex_lock(&core->lock);
        for (size_t i = 0; lmn_operator_settings_name(i) && i < LMN_RPC_MAX_ITEMS; i++) {
            items[i].name = (char *)lmn_operator_settings_name(i);
            items[i].value =
                lmn_operator_settings_value(&core->cache.operator_settings, i);
            l.items.items_len++;
        }
        pthread_mutex_unlock(&core->lock);
        svc_sendreply(transport, (xdrproc_t)xdr_lmn_rpc_settings, (char *)&l);
        return;
    }
    case LMN_RPC_SETTINGS_SET: {
        struct lmn_rpc_set_request q = {0};
        if (!svc_getargs(transport, (xdrproc_t)xdr_lmn_rpc_set_request, (char *)&q)) {
            svcerr_decode(transport);
            return;
        }
        struct lmn_rpc_reply r = {tuning_set(q.name, q.value, err, sizeof err), err};
        svc_sendreply(transport, (xdrproc_t)xdr_lmn_rpc_reply, (char *)&r);
        svc_freeargs(transport, (xdrproc_t)xdr_lmn_rpc_set_request, (char *)&q);
        return;
    }
    case LMN_RPC_DRAIN: {
        struct lmn_rpc_machine_request q = {0};
        if (!svc_getargs(transport, (xdrproc_t)xdr_lmn_rpc_machine_request, (char *)&q)) {
            svcerr_decode(transport);
            return;
        }
        struct lmn_rpc_reply r = {drain(q.machine, err, sizeof err), err};
        svc_sendreply(transport, (xdrproc_t)xdr_lmn_rpc_reply, (char *)&r);
        svc_freeargs(transport, (xdrproc_t)xdr_lmn_rpc_machine_request, (char *)&q);
        return;
    }
    case LMN_RPC_STALENESS: {
        pthread_mutex_lock(&core->lock);
        u_int ms = (u_int)(MIN(lmn_watch_cache_age_s(core, lmn_now()), 1e6) * 1000);
        pthread_mutex_unlock(&core->lock);
        svc_sendreply(transport, (xdrproc_t)xdr_u_int, (char *)&ms);
        return;
    }
    case LMN_RPC_LOAD:
    case LMN_RPC_STEAL: {
        struct lmn_rpc_steal_request q = {0};
        if (!svc_getargs(transport, (xdrproc_t)xdr_lmn_rpc_steal_request, (char *)&q)) {
            svcerr_decode(transport);
            return;
        }
        u_int n = asked(&q, request->rq_proc == LMN_RPC_STEAL);
        svc_sendreply(transport, (xdrproc_t)xdr_u_int, (char *)&n);
        svc_freeargs(transport, (xdrproc_t)xdr_lmn_rpc_steal_request, (char *)&q);
        return;
    }
    case LMN_RPC_QUOTA: {
        struct lmn_rpc_quota_request q = {0};
        if (!svc_getargs(transport, (xdrproc_t)xdr_lmn_rpc_quota_request, (char *)&q)) {
            svcerr_decode(transport);
            return;
        }
        u_int n = asked_quota(&q);
        svc_sendreply(transport, (xdrproc_t)xdr_u_int, (char *)&n);
        svc_freeargs(transport, (xdrproc_t)xdr_lmn_rpc_quota_request, (char *)&q);
        return;
    }
    case LMN_RPC_PROBE: {
        struct lmn_rpc_probe q = {0};
        struct lmn_probe_reply_buffer room;
        lmn_rpc_probe_reply a = {0};
        if (!svc_getargs(transport, (xdrproc_t)xdr_lmn_rpc_probe, (char *)&q)) {
            svcerr_decode(transport);
            return;
        }
        lmn_probe_handle(core, &q, &a, &room);
        svc_sendreply(transport, (xdrproc_t)xdr_lmn_rpc_probe_reply, (char *)&a);
        svc_freeargs(transport, (xdrproc_t)xdr_lmn_rpc_probe, (char *)&q);
        return;
    }
    case LMN_RPC_MEMBERS: {
        u_int json = 0;
        if (!svc_getargs(transport, (xdrproc_t)xdr_u_int, (char *)&json)) {
            svcerr_decode(transport);
            return;
        }
        struct lmn_rpc_reply r = {0, lmn_members_report(core, json != 0)};
        svc_sendreply(transport, (xdrproc_t)xdr_lmn_rpc_reply, (char *)&r);
        g_free(r.text);
        return;
    }
    case LMN_RPC_SHUTDOWN: {
        u_int leave = 0;
        if (!svc_getargs(transport, (xdrproc_t)xdr_u_int, (char *)&leave)) {
            svcerr_decode(transport);
            return;
        }
        struct lmn_rpc_reply r = {0};
        r.code = lmn_shutdown_handle(core, leave != 0, &r.text);
        svc_sendreply(transport, (xdrproc_t)xdr_lmn_rpc_reply, (char *)&r);
        g_free(r.text);
        return;
    }
    case LMN_RPC_OWNERSHIP: {
        struct lmn_rpc_reply r = {0, lmn_ownership_report(core)};
        svc_sendreply(transport, (xdrproc_t)xdr_lmn_rpc_reply, (char *)&r);
        g_free(r.text);
        return;
    }
    case LMN_RPC_REPLICATE: {
        lmn_rpc_replication_batch q = {0};
        if (!svc_getargs(transport, (xdrproc_t)xdr_lmn_rpc_replication_batch,
                         (char *)&q)) {
            svcerr_decode(transport);
            return;
        }
        u_int n = lmn_replication_receive(core, &q);
        svc_sendreply(transport, (xdrproc_t)xdr_u_int, (char *)&n);
        svc_freeargs(transport, (xdrproc_t)xdr_lmn_rpc_replication_batch, (char *)&q);
        return;
    }
    case LMN_RPC_TOMBSTONES: {
        lmn_rpc_tombstones q = {0};
        if (!svc_getargs(transport, (xdrproc_t)xdr_lmn_rpc_tombstones, (char *)&q)) {
            svcerr_decode(transport);
            return;
        }
        u_int n = lmn_tombstones_handle(core, &q);
        svc_sendreply(transport, (xdrproc_t)xdr_u_int, (char *)&n);
        svc_freeargs(transport, (xdrproc_t)xdr_lmn_rpc_tombstones, (char *)&q);
        return;
    }
    default:
        svcerr_noproc(transport);
    }
}

static void *serve(void *arg)
{
    (void)arg;
    svc_run();
    lmn_error("rpc_server_ended");
    return NULL;
}

int lmn_rpc_server_start(struct lmn_core *c)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    char host[LMN_ADDRESS_SIZE];
    int port, one = 1, fd = socket(AF_INET, SOCK_STREAM, 0);

    core = c;
    if (fd < 0 ||
        lmn_address_split(c->settings->internal_address, host, sizeof host, &port) != 0)
        return -1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    a.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &a.sin_addr);
    if (bind(fd, (struct sockaddr *)&a, sizeof a) != 0 || listen(fd, 16) != 0) {
        close(fd);
        return -1;
    }
    /* Records are read as they come: half a request must not hold up the others. */
    int most = 256 * 1024;
    rpc_control(RPC_SVC_CONNMAXREC_SET, &most);
    SVCXPRT *transport = svc_vc_create(fd, 0, 0);
    /* No port mapper: the members' addresses are in the settings. */
    if (!transport ||
        !svc_reg(transport, LMN_RPC_PROGRAM, LMN_RPC_VERSION_1, dispatch, NULL))
        return -1;
    lmn_thread(serve, NULL);
    return 0;
}

/* --- stealing from other controllers --- */

struct member {
    const struct lmn_member *cfg;
    CLIENT *client;
    struct timespec retry;
};

static bool call_member(struct member *m, rpcproc_t proc, xdrproc_t xargs, const void *q,
                        u_int *n)
{
    static const struct timeval brief = {1, 0};
    struct timespec now = lmn_now();

    if (!m->client) {
        if (lmn_time_before(now, m->retry))
            return false;
        m->client = lmn_rpc_connect(m->cfg->address);
        m->retry = lmn_time_add(now, 3.0);
    }
    if (!m->client)
        return false;
    if (clnt_call(m->client, proc, xargs, (char *)q, (xdrproc_t)xdr_u_int, (char *)n,
                  brief) == RPC_SUCCESS)
        return true;
    clnt_destroy(m->client);
    m->client = NULL;
    m->retry = lmn_time_add(now, 3.0);
    return false;
}

/* Asks the owner of a partition other than this node; false if there is none to ask. */
static bool ask_owner(struct member *members, int part, rpcproc_t proc, xdrproc_t xargs,
                      const void *q, u_int *n)
{
    char owner[LMN_NAME_SIZE];

    pthread_mutex_lock(&core->lock);
    g_strlcpy(owner, core->partitions[part].record.owner, sizeof owner);
    pthread_mutex_unlock(&core->lock);
    for (size_t i = 0; i < core->settings->member_count; i++)
        /* Each was set up with its settings. */
        // NOLINTNEXTLINE(clang-analyzer-core.NonNullParamChecker)
        if (!strcmp(owner, members[i].cfg->name))
            return call_member(&members[i], proc, xargs, q, n);
    return false;
}

static bool own(int part)
{
    pthread_mutex_lock(&core->lock);
    bool mine = core->partitions[part].ownership.is_owned;
    pthread_mutex_unlock(&core->lock);
    return mine;
}

/* Asks the owner of a partition, which may be this node itself. */
static u_int ask(struct member *members, rpcproc_t proc,
                 struct lmn_rpc_steal_request *request)
{
    u_int n = 0;

    if (own(request->victim))
        return asked(request, proc == LMN_RPC_STEAL);
    return ask_owner(members, request->victim, proc, (xdrproc_t)xdr_lmn_rpc_steal_request,
                     request, &n)
               ? n
               : 0;
}

/* A partition that is short of a team's quota asks the others, at the interval of failed
 * steals but no more than twice a second. */
static void seek_quota(struct member *members, int part)
{
    struct lmn_quota_request *want =
        g_new(struct lmn_quota_request, core->settings->team_count);
    struct lmn_partition *partition = &core->partitions[part];
    struct timespec now = lmn_now();
    size_t n = 0;
    u_int got = 0;

    pthread_mutex_lock(&core->lock);
    for (size_t i = 0; i < core->settings->team_count &&
                       !lmn_time_before(now, partition->quota.next_request_at);
         i++)
        n += lmn_quota_shortfall(core, partition, (int)i, &want[n]);
    int first = g_rand_int_range(core->random, 0, core->partition_count);
    pthread_mutex_unlock(&core->lock);
    for (size_t i = 0; i < n; i++) {
        struct lmn_rpc_quota_request q = {
            part,
            0,
            (char *)core->settings->teams[want[i].team].name,
            want[i].cpus,
            want[i].gpus,
            want[i].least_cpus,
            want[i].least_gpus};
        for (int k = 0; k < core->partition_count; k++) {
            u_int one = 0;
            q.victim = (first + k) % core->partition_count;
            if (q.victim == part)
                continue;
            if (own(q.victim))
                one = asked_quota(&q);
            else if (!ask_owner(members, q.victim, LMN_RPC_QUOTA,
                                (xdrproc_t)xdr_lmn_rpc_quota_request, &q, &one))
                one = 0;
            got += one;
        }
    }
    g_free(want);
    if (!n)
        return;
    pthread_mutex_lock(&core->lock);
    partition->quota.request_interval_s =
        got ? 0.5 : CLAMP(partition->quota.request_interval_s * 2, 0.5, 8);
    partition->quota.next_request_at =
        lmn_time_add(now, partition->quota.request_interval_s);
    pthread_mutex_unlock(&core->lock);
}

static void pull(struct member *members, const struct lmn_steal_request *request)
{
    struct lmn_rpc_capacity rooms[G_N_ELEMENTS(request->capacities)];
    struct lmn_rpc_team_quota *teams =
        g_new(struct lmn_rpc_team_quota, core->settings->team_count);
    struct lmn_rpc_steal_request q = {.thief = request->partition};
    int others[LMN_MAX_PARTITIONS], n = 0, best = -1;
    u_int most = 0, got = 0;

    for (guint i = 0; i < request->capacity_count; i++)
        rooms[i] = (struct lmn_rpc_capacity){
            (char *)request->capacities[i].type, (char *)request->capacities[i].zone,
            request->capacities[i].is_spot,      request->capacities[i].cpus,
            request->capacities[i].gpus,         request->capacities[i].memory_gb};
    for (size_t i = 0; i < core->settings->team_count; i++)
        teams[i] = (struct lmn_rpc_team_quota){(char *)core->settings->teams[i].name,
                                               request->team_free_cpus[i],
                                               request->team_free_gpus[i]};
    q.rooms.rooms_len = request->capacity_count;
    q.rooms.rooms_val = rooms;
    q.teams.teams_len = (u_int)core->settings->team_count;
    q.teams.teams_val = teams;
    for (int i = 0; i < core->partition_count; i++)
        if (i != request->partition)
            others[n++] = i;
    pthread_mutex_lock(&core->lock);
    int sample = core->cache.operator_settings.sample > 0
                     ? (int)core->cache.operator_settings.sample
                     : (int)ceil(sqrt(n));
    for (int i = 0; i < n; i++) {
        int k = g_rand_int_range(core->random, i, n), x = others[i];
        others[i] = others[k];
        others[k] = x;
    }
    core->counters.steal_tries++;
    pthread_mutex_unlock(&core->lock);
    for (int i = 0; i < MIN(sample, n); i++) {
        q.victim = others[i];
        u_int load = ask(members, LMN_RPC_LOAD, &q);
        if (load > most) {
            most = load;
            best = others[i];
        }
    }
    if (best >= 0) {
        q.victim = best;
        got = ask(members, LMN_RPC_STEAL, &q);
    }
    g_free(teams);
    pthread_mutex_lock(&core->lock);
    lmn_steal_record_result(core, &core->partitions[request->partition], got, lmn_now());
    if (got) {
        core->counters.steals++;
        core->counters.stolen_tasks += got;
    }
    pthread_mutex_unlock(&core->lock);
}

void *lmn_steal_thread(void *arg)
{
    struct member members[LMN_MAX_MEMBERS] = {0};
    struct lmn_steal_request t;
    (void)arg;

    lmn_steal_request_init(&t, core->settings);
    for (size_t i = 0; i < core->settings->member_count; i++)
        members[i].cfg = &core->settings->members[i];
    for (;;) {
        for (int i = 0; core->partition_count > 1 && i < core->partition_count; i++) {
            pthread_mutex_lock(&core->lock);
            bool go = lmn_steal_request_fill(core, &core->partitions[i], &t, lmn_now());
            pthread_mutex_unlock(&core->lock);
            if (go)
                pull(members, &t);
            seek_quota(members, i);
        }
        lmn_sleep(0.1);
    }
    return NULL;
}
