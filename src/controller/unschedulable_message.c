/** @file
 * Messages about unschedulable tasks; see unschedulable_message.h. */
#include "controller/unschedulable_message.h"
#include "scheduler/unschedulable.h"
#include "util/clock.h"

#include <rpc/rpc.h>
#include <string.h>

/** Timeout of a call. Short, because the member has just replied to a probe, and if it
 * does not reply now, the probes of other members must not wait. */
static const struct timeval CALL_TIMEOUT = {0, 250000};

/** Memory to which a message points. */
struct message_buffer {
    struct lmn_unschedulable_tasks tasks[LMN_MAX_UNSCHEDULABLE];
    lmn_rpc_unschedulable items[LMN_MAX_UNSCHEDULABLE];
    lmn_rpc_zone zones[LMN_MAX_UNSCHEDULABLE][LMN_MAX_UNSCHEDULABLE_ZONES];
};

/** Copies the partition's list, because the core's lock is not held during the call.
 * Called with the lock held.
 * @return the number of entries */
static u_int copy_list(const struct lmn_partition *partition,
                       struct message_buffer *buffer)
{
    const GArray *listed = partition->scheduling.unschedulable;
    u_int count = MIN(listed->len, LMN_MAX_UNSCHEDULABLE);

    for (u_int i = 0; i < count; i++)
        buffer->tasks[i] = g_array_index(listed, struct lmn_unschedulable_tasks, i);
    return count;
}

/** Makes the message of the copied entries. */
static void encode_list(struct message_buffer *buffer, u_int count,
                        lmn_rpc_unschedulable_list *message)
{
    for (u_int i = 0; i < count; i++) {
        struct lmn_unschedulable_tasks *tasks = &buffer->tasks[i];
        for (uint32_t k = 0; k < tasks->zone_count; k++)
            buffer->zones[i][k].name = (char *)tasks->zones[k];
        buffer->items[i] = (lmn_rpc_unschedulable){tasks->job_id,
                                                   tasks->tasks,
                                                   tasks->waited_s,
                                                   {tasks->zone_count, buffer->zones[i]}};
    }
    message->items.items_len = count;
    message->items.items_val = buffer->items;
}

/** Sends the list of a partition, if this controller owns it and the member needs it.
 * @return false if the connection has failed */
static bool send_list(struct lmn_core *core, CLIENT *client,
                      struct lmn_unschedulable_sent *sent, int id)
{
    struct message_buffer buffer;
    lmn_rpc_unschedulable_list message = {.partition = id};
    u_int known_count;

    pthread_mutex_lock(&core->lock);
    const struct lmn_partition *partition = &core->partitions[id];
    bool is_owned = partition->ownership.is_owned;
    message.epoch = partition->ownership.epoch;
    u_int count = is_owned ? copy_list(partition, &buffer) : 0;
    pthread_mutex_unlock(&core->lock);
    if (!is_owned || (!count && !sent->has_entries[id]))
        return true;
    encode_list(&buffer, count, &message);
    enum clnt_stat status = clnt_call(
        client, LMN_RPC_UNSCHEDULABLE, (xdrproc_t)xdr_lmn_rpc_unschedulable_list,
        (char *)&message, (xdrproc_t)xdr_u_int, (char *)&known_count, CALL_TIMEOUT);
    sent->has_entries[id] = count > 0;
    /* A member with an older version does not support the call. */
    return status == RPC_SUCCESS || status == RPC_PROCUNAVAIL;
}

bool lmn_unschedulable_send(struct lmn_core *core, CLIENT *client,
                            struct lmn_unschedulable_sent *sent)
{
    for (int i = 0; i < core->partition_count; i++)
        if (!send_list(core, client, sent, i))
            return false;
    return true;
}

/** Adds the zone if a machine type is offered there: only known names are interned, which
 * are never freed. Called with the core's lock held. */
static void decode_zone(const struct lmn_core *core, const char *name,
                        struct lmn_unschedulable_tasks *tasks)
{
    const struct lmn_machine_types *types = &core->cloud.machine_types;

    for (size_t i = 0; i < types->count; i++)
        for (int zone = 0; zone < types->types[i].zone_count; zone++)
            if (!strcmp(types->types[i].zones[zone], name)) {
                tasks->zones[tasks->zone_count++] = g_intern_string(name);
                return;
            }
}

/** Called with the core's lock held.
 * @return false: this controller knows none of the zones in which the tasks may start */
static bool decode_item(const struct lmn_core *core, const lmn_rpc_unschedulable *item,
                        struct lmn_unschedulable_tasks *tasks)
{
    *tasks = (struct lmn_unschedulable_tasks){.tasks = item->tasks,
                                              .waited_s = item->waited_s};
    g_strlcpy(tasks->job_id, item->job_id, sizeof tasks->job_id);
    for (u_int i = 0;
         i < item->zones.zones_len && tasks->zone_count < LMN_MAX_UNSCHEDULABLE_ZONES;
         i++)
        decode_zone(core, item->zones.zones_val[i].name, tasks);
    return !item->zones.zones_len || tasks->zone_count > 0;
}

u_int lmn_unschedulable_message_handle(struct lmn_core *core,
                                       const lmn_rpc_unschedulable_list *message)
{
    g_autoptr(GArray) tasks =
        g_array_new(FALSE, FALSE, sizeof(struct lmn_unschedulable_tasks));

    if (message->partition < 0 || message->partition >= core->partition_count)
        return 0;
    pthread_mutex_lock(&core->lock);
    for (u_int i = 0; i < message->items.items_len; i++) {
        struct lmn_unschedulable_tasks decoded;
        if (decode_item(core, &message->items.items_val[i], &decoded))
            g_array_append_val(tasks, decoded);
    }
    lmn_unschedulable_receive(&core->partitions[message->partition], message->epoch,
                              tasks, lmn_now());
    pthread_mutex_unlock(&core->lock);
    return tasks->len;
}
