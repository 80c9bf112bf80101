/** @file
 * Steals tasks and requests quota from other partitions; steal_handler.h answers these
 * requests. One thread owns the connections to the members. The core's lock guards all
 * other state and is not held during a call, so the result of a call may be outdated when
 * it arrives. The transfer itself is decided by the victim under its own lock, and made
 * by a conditional write. */
#include "controller/steal_client.h"
#include "controller/rpc_client.h"
#include "controller/steal_handler.h"
#include "scheduler/quota.h"
#include "scheduler/work_stealing.h"
#include "state/core.h"
#include "util/clock.h"
#include "util/thread.h"

#include <math.h>
#include <rpc/rpc.h>
#include <string.h>

static const double SCAN_INTERVAL_S = 0.1;
/** Delay after a failed connection or call, so that a member that does not answer delays
 * the calls to the other members at most once in this time. */
static const double RECONNECT_DELAY_S = 3.0;
static const struct timeval CALL_TIMEOUT = {1, 0};
/** Interval between a partition's requests for quota: the minimum after a request that
 * was granted, doubled up to the maximum after each that was not. */
static const double MIN_QUOTA_INTERVAL_S = 0.5;
static const double MAX_QUOTA_INTERVAL_S = 8;

/** The connection to another controller. */
struct steal_peer {
    const struct lmn_member *settings;
    CLIENT *client;           /**< NULL: not connected */
    struct timespec retry_at; /**< earliest next connection attempt if not connected */
};

struct steal_client {
    struct lmn_core *core;
    struct steal_peer peers[LMN_MAX_MEMBERS]; /**< in the order of the settings */
};

/** A call of the RPC program whose reply is an unsigned integer. */
struct uint_call {
    rpcproc_t procedure;
    xdrproc_t encode;
    const void *message;
};

/** @return false if the peer cannot be reached or does not answer */
static bool call_peer(struct steal_peer *peer, const struct uint_call *call, u_int *reply)
{
    struct timespec now = lmn_now();

    if (!peer->client) {
        if (lmn_time_before(now, peer->retry_at))
            return false;
        peer->client = lmn_rpc_connect(peer->settings->address);
        peer->retry_at = lmn_time_add(now, RECONNECT_DELAY_S);
    }
    if (!peer->client)
        return false;
    if (clnt_call(peer->client, call->procedure, call->encode, (char *)call->message,
                  (xdrproc_t)xdr_u_int, (char *)reply, CALL_TIMEOUT) == RPC_SUCCESS)
        return true;
    clnt_destroy(peer->client);
    peer->client = NULL;
    peer->retry_at = lmn_time_add(now, RECONNECT_DELAY_S);
    return false;
}

/** Calls the owner of a partition that this controller does not own.
 * @return the reply; 0 if no other member owns the partition, or it does not answer */
static u_int call_owner(struct steal_client *client, int partition,
                        const struct uint_call *call)
{
    struct lmn_core *core = client->core;
    char owner[LMN_NAME_SIZE];
    u_int reply = 0;

    pthread_mutex_lock(&core->lock);
    g_strlcpy(owner, core->partitions[partition].record.owner, sizeof owner);
    pthread_mutex_unlock(&core->lock);
    for (size_t i = 0; i < core->settings->member_count; i++)
        /* lmn_steal_thread sets each peer's settings. */
        // NOLINTNEXTLINE(clang-analyzer-core.NonNullParamChecker)
        if (!strcmp(owner, client->peers[i].settings->name))
            return call_peer(&client->peers[i], call, &reply) ? reply : 0;
    return 0;
}

static bool owns_partition(struct lmn_core *core, int partition)
{
    pthread_mutex_lock(&core->lock);
    bool is_owned = core->partitions[partition].ownership.is_owned;
    pthread_mutex_unlock(&core->lock);
    return is_owned;
}

/** @return how many queued tasks of the message's victim its thief could start */
static u_int request_load(struct steal_client *client,
                          struct lmn_rpc_steal_request *message)
{
    if (owns_partition(client->core, message->victim))
        return lmn_steal_load_handle(client->core, message);
    const struct uint_call call = {LMN_RPC_LOAD, (xdrproc_t)xdr_lmn_rpc_steal_request,
                                   message};
    return call_owner(client, message->victim, &call);
}

/** Requests tasks from the message's victim for its thief.
 * @return how many tasks are transferred */
static u_int request_transfer(struct steal_client *client,
                              struct lmn_rpc_steal_request *message)
{
    if (owns_partition(client->core, message->victim))
        return lmn_steal_transfer_handle(client->core, message);
    const struct uint_call call = {LMN_RPC_STEAL, (xdrproc_t)xdr_lmn_rpc_steal_request,
                                   message};
    return call_owner(client, message->victim, &call);
}

/** Requests quota from the message's victim for its thief.
 * @return 1 if quota is transferred, else 0 */
static u_int request_quota(struct steal_client *client,
                           struct lmn_rpc_quota_request *message)
{
    if (owns_partition(client->core, message->victim))
        return lmn_quota_rpc_handle(client->core, message);
    const struct uint_call call = {LMN_RPC_QUOTA, (xdrproc_t)xdr_lmn_rpc_quota_request,
                                   message};
    return call_owner(client, message->victim, &call);
}

/* --- quota --- */

/** Requests quota of a team from all other partitions, in cyclic order.
 * @param first the partition to begin with; random, so that the first partitions are not
 *     always asked before the others
 * @return how many partitions transfer quota */
static u_int request_quota_of_all(struct steal_client *client, int partition, int first,
                                  const struct lmn_quota_request *shortfall)
{
    const struct lmn_core *core = client->core;
    u_int granted = 0;
    struct lmn_rpc_quota_request message = {
        partition,
        0,
        (char *)core->settings->teams[shortfall->team].name,
        shortfall->cpus,
        shortfall->gpus,
        shortfall->least_cpus,
        shortfall->least_gpus};

    for (int k = 0; k < core->partition_count; k++) {
        message.victim = (first + k) % core->partition_count;
        if (message.victim != partition)
            granted += request_quota(client, &message);
    }
    return granted;
}

/** Requests quota from the other partitions for each team whose quota is too small in
 * this partition. */
static void request_missing_quota(struct steal_client *client, int partition_id)
{
    struct lmn_core *core = client->core;
    g_autofree struct lmn_quota_request *shortfalls =
        g_new(struct lmn_quota_request, core->settings->team_count);
    struct lmn_partition *partition = &core->partitions[partition_id];
    struct timespec now = lmn_now();
    size_t count = 0;
    u_int granted = 0;

    pthread_mutex_lock(&core->lock);
    for (size_t i = 0; i < core->settings->team_count &&
                       !lmn_time_before(now, partition->quota.next_request_at);
         i++)
        count += lmn_quota_shortfall(core, partition, (int)i, &shortfalls[count]);
    int first = g_rand_int_range(core->random, 0, core->partition_count);
    pthread_mutex_unlock(&core->lock);
    for (size_t i = 0; i < count; i++)
        granted += request_quota_of_all(client, partition_id, first, &shortfalls[i]);
    if (!count)
        return;
    pthread_mutex_lock(&core->lock);
    partition->quota.request_interval_s =
        granted ? MIN_QUOTA_INTERVAL_S
                : CLAMP(partition->quota.request_interval_s * 2, MIN_QUOTA_INTERVAL_S,
                        MAX_QUOTA_INTERVAL_S);
    partition->quota.next_request_at =
        lmn_time_add(now, partition->quota.request_interval_s);
    pthread_mutex_unlock(&core->lock);
}

/* --- work --- */

/** Chooses a random sample of the other partitions as possible victims: to compare a few
 * random choices takes far fewer calls than to ask all partitions.
 * @param victims receives the ids
 * @return the size of the sample */
static int sample_victims(struct lmn_core *core, int thief,
                          int victims[LMN_MAX_PARTITIONS])
{
    int count = 0;

    for (int i = 0; i < core->partition_count; i++)
        if (i != thief)
            victims[count++] = i;
    pthread_mutex_lock(&core->lock);
    int sample = core->cache.operator_settings.sample > 0
                     ? (int)core->cache.operator_settings.sample
                     : (int)ceil(sqrt(count));
    for (int i = 0; i < count; i++) {
        int chosen = g_rand_int_range(core->random, i, count), swapped = victims[i];
        victims[i] = victims[chosen];
        victims[chosen] = swapped;
    }
    core->counters.steal_tries++;
    pthread_mutex_unlock(&core->lock);
    return MIN(sample, count);
}

/** Steals from that partition of a random sample which has the most queued tasks that the
 * thief could start.
 * @return how many tasks are transferred */
static u_int steal_from_sample(struct steal_client *client,
                               struct lmn_rpc_steal_request *message)
{
    int victims[LMN_MAX_PARTITIONS], best = -1;
    int count = sample_victims(client->core, message->thief, victims);
    u_int highest_load = 0;

    for (int i = 0; i < count; i++) {
        message->victim = victims[i];
        u_int load = request_load(client, message);
        if (load > highest_load) {
            highest_load = load;
            best = victims[i];
        }
    }
    if (best < 0)
        return 0;
    message->victim = best;
    return request_transfer(client, message);
}

static void record_steal(struct lmn_core *core, int thief, u_int task_count)
{
    pthread_mutex_lock(&core->lock);
    lmn_steal_record_result(core, &core->partitions[thief], task_count, lmn_now());
    if (task_count) {
        core->counters.steals++;
        core->counters.stolen_tasks += task_count;
    }
    pthread_mutex_unlock(&core->lock);
}

/** Steals tasks for the partition whose free capacity the request describes. */
static void steal(struct steal_client *client, const struct lmn_steal_request *request)
{
    const struct lmn_settings *settings = client->core->settings;
    struct lmn_rpc_capacity capacities[G_N_ELEMENTS(request->capacities)];
    g_autofree struct lmn_rpc_team_quota *teams =
        g_new(struct lmn_rpc_team_quota, settings->team_count);
    struct lmn_rpc_steal_request message = {
        .thief = request->partition,
        .capacities = {request->capacity_count, capacities},
        .teams = {(u_int)settings->team_count, teams},
    };

    for (guint i = 0; i < request->capacity_count; i++) {
        const struct lmn_free_capacity *capacity = &request->capacities[i];
        capacities[i] = (struct lmn_rpc_capacity){
            (char *)capacity->type, (char *)capacity->zone, capacity->is_spot,
            capacity->cpus,         capacity->gpus,         capacity->memory_gb};
    }
    for (size_t i = 0; i < settings->team_count; i++)
        teams[i] = (struct lmn_rpc_team_quota){(char *)settings->teams[i].name,
                                               request->team_free_cpus[i],
                                               request->team_free_gpus[i]};
    record_steal(client->core, request->partition, steal_from_sample(client, &message));
}

void *lmn_steal_thread(void *arg)
{
    struct lmn_core *core = arg;
    struct steal_client client = {.core = core};
    struct lmn_steal_request request;

    lmn_steal_request_init(&request, core->settings);
    for (size_t i = 0; i < core->settings->member_count; i++)
        client.peers[i].settings = &core->settings->members[i];
    for (;;) {
        for (int i = 0; core->partition_count > 1 && i < core->partition_count; i++) {
            pthread_mutex_lock(&core->lock);
            bool has_capacity =
                lmn_steal_request_fill(core, &core->partitions[i], &request, lmn_now());
            pthread_mutex_unlock(&core->lock);
            if (has_capacity)
                steal(&client, &request);
            request_missing_quota(&client, i);
        }
        lmn_sleep(SCAN_INTERVAL_S);
    }
    return NULL;
}
