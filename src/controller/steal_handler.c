/** @file
 * Answers requests for queued tasks and for quota. Keeps no state of its own; each
 * request is handled with the core's lock held, except for its decoding. */
#include "controller/steal_handler.h"
#include "partition/quota_transfer.h"
#include "partition/range_writer.h"
#include "scheduler/quota.h"
#include "scheduler/work_stealing.h"
#include "state/core.h"

static bool is_valid_partition(const struct lmn_core *core, int partition)
{
    return partition >= 0 && partition < core->partition_count;
}

static void decode_capacity(const struct lmn_rpc_capacity *message,
                            struct lmn_free_capacity *capacity)
{
    g_strlcpy(capacity->type, message->type, sizeof capacity->type);
    g_strlcpy(capacity->zone, message->zone, sizeof capacity->zone);
    capacity->is_spot = message->is_spot;
    capacity->cpus = message->cpus;
    capacity->gpus = message->gpus;
    capacity->memory_gb = message->memory_gb;
}

/** @param request to be freed with lmn_steal_request_clear */
static void decode_request(const struct lmn_core *core,
                           const struct lmn_rpc_steal_request *message,
                           struct lmn_steal_request *request)
{
    lmn_steal_request_init(request, core->settings);
    request->partition = message->thief;
    for (u_int i = 0;
         i < message->capacities.capacities_len && i < G_N_ELEMENTS(request->capacities);
         i++)
        decode_capacity(&message->capacities.capacities_val[i],
                        &request->capacities[request->capacity_count++]);
    for (u_int i = 0; i < message->teams.teams_len; i++) {
        const struct lmn_rpc_team_quota *quota = &message->teams.teams_val[i];
        const struct lmn_team *team = lmn_settings_find_team(core->settings, quota->name);
        /* The other controller may run with settings that contain another team. */
        if (!team)
            continue;
        request->team_free_cpus[team - core->settings->teams] = quota->cpus;
        request->team_free_gpus[team - core->settings->teams] = quota->gpus;
    }
}

u_int lmn_steal_load_handle(struct lmn_core *core,
                            const struct lmn_rpc_steal_request *message)
{
    struct lmn_steal_request request;

    if (!is_valid_partition(core, message->victim) ||
        !is_valid_partition(core, message->thief))
        return 0;
    decode_request(core, message, &request);
    pthread_mutex_lock(&core->lock);
    u_int load = lmn_victim_load(core, &core->partitions[message->victim], &request);
    pthread_mutex_unlock(&core->lock);
    lmn_steal_request_clear(&request);
    return load;
}

u_int lmn_steal_transfer_handle(struct lmn_core *core,
                                const struct lmn_rpc_steal_request *message)
{
    struct lmn_steal_request request;

    if (!is_valid_partition(core, message->victim) ||
        !is_valid_partition(core, message->thief))
        return 0;
    decode_request(core, message, &request);
    pthread_mutex_lock(&core->lock);
    struct timespec now = lmn_now();
    u_int task_count =
        lmn_victim_begin_move(core, &core->partitions[message->victim], &request, now);
    lmn_range_writer_flush(core, now);
    pthread_mutex_unlock(&core->lock);
    lmn_steal_request_clear(&request);
    return task_count;
}

u_int lmn_quota_rpc_handle(struct lmn_core *core,
                           const struct lmn_rpc_quota_request *message)
{
    const struct lmn_team *team = lmn_settings_find_team(core->settings, message->team);

    if (!team || !is_valid_partition(core, message->victim))
        return 0;
    const struct lmn_quota_request request = {(int)(team - core->settings->teams),
                                              message->cpus, message->gpus,
                                              message->least_cpus, message->least_gpus};
    pthread_mutex_lock(&core->lock);
    bool is_transferring = lmn_quota_request_handle(
        core, &core->partitions[message->victim], message->thief, &request, lmn_now());
    pthread_mutex_unlock(&core->lock);
    return is_transferring;
}
