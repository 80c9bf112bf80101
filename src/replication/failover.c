#include "replication/failover.h"
#include "util/log.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <string.h>

const char *lmn_failover_cold_reason(const struct lmn_core *core,
                                     const struct lmn_partition *partition)
{
    const struct lmn_replica *copy = partition->replication.replica;

    /* Each claim raises the term by one, conditional on the term before: nobody has owned
     * the partition since this process did. */
    if (copy && copy->own)
        return copy->epoch + 1 == partition->record.owner_epoch
                   ? NULL
                   : "another has owned it meanwhile";
    /* The claim, or the giving, was conditional on a record that names us: until it was
     * applied no start went out that we had not acknowledged, and none can after it,
     * since the owner can strike us off no more. */
    if (!partition->record.owner_stream)
        return "nobody was in step";
    if (partition->record.owner_stream != partition->record.standby_stream ||
        strcmp(partition->record.standby, core->settings->node_name))
        return "another was in step";
    if (!copy)
        return "no copy: another life was in step";
    if (copy->stream != partition->record.owner_stream)
        return "the copy is of another stream";
    if (copy->epoch != partition->record.standby_epoch ||
        copy->epoch + 1 != partition->record.owner_epoch)
        return "the copy is of another term";
    return NULL;
}

/* Of the attempts of one task only the newest can be on a machine: its owner had
 * concluded that the others were gone before it made that one. */
static GHashTable *newest(const struct lmn_partition *partition)
{
    GHashTable *best = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, partition->replication.replica->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine_snapshot *snapshot = v;
        for (guint i = 0; i < snapshot->attempts->len; i++) {
            const struct lmn_attempt_snapshot *attempt =
                &g_array_index(snapshot->attempts, struct lmn_attempt_snapshot, i);
            char *task = g_strdup_printf("%s/%u", attempt->job_id, attempt->index);
            const struct lmn_attempt_snapshot *was = g_hash_table_lookup(best, task);
            if (!was || was->number < attempt->number)
                g_hash_table_replace(best, task, (gpointer)attempt);
            else
                g_free(task);
        }
    }
    return best;
}

static bool inherit(struct lmn_core *core, struct lmn_machine *machine,
                    const struct lmn_attempt_snapshot *told, struct timespec now)
{
    struct lmn_attempt a = {.index = told->index,
                            .number = told->number,
                            .state = LMN_ATTEMPT_RUNNING,
                            .from_replica = true,
                            .started_at = now};

    g_strlcpy(a.job_id, told->job_id, sizeof a.job_id);
    a.job = g_hash_table_lookup(core->cache.jobs, told->job_id);
    a.range = lmn_partition_find_range(machine->partition, a.job, told->index);
    /* One that has failed is not there, and its task was queued again. One that is done
     * is held until the worker says so, or is gone. */
    if (told->has_ended && (!told->is_done || !a.range))
        return false;
    if (a.range && a.range->task_states[a.index - a.range->first] == LMN_TASK_QUEUED) {
        a.range->task_states[a.index - a.range->first] = LMN_TASK_STARTED;
        a.range->started_count++;
    } else {
        a.range = NULL; /* recorded as done, or moved away */
        if (told->has_ended)
            return false;
    }
    lmn_attempt_count(machine, &a);
    g_array_append_val(machine->attempts, a);
    return true;
}

static void inherit_images(struct lmn_machine *machine,
                           const struct lmn_machine_snapshot *snapshot,
                           struct timespec now)
{
    g_array_set_size(machine->images, 0);
    for (guint i = 0; snapshot->images && i < snapshot->images->len; i++) {
        const struct lmn_image_snapshot *image =
            &g_array_index(snapshot->images, struct lmn_image_snapshot, i);
        struct lmn_image y = {g_intern_string(image->name), image->gb, {0, 0}};
        if (!image->is_present)
            y.ready_at =
                lmn_time_add(now, machine->type && machine->type->pull_gb_per_s > 0
                                      ? image->gb / machine->type->pull_gb_per_s
                                      : 0);
        g_array_append_val(machine->images, y);
    }
}

guint lmn_failover_restore(struct lmn_core *core, struct lmn_partition *partition,
                           struct timespec now)
{
    GHashTable *best = newest(partition);
    guint held = 0, named = 0;

    for (guint k = 0; k < partition->machine_list->len; k++) {
        struct lmn_machine *machine = partition->machine_list->pdata[k];
        const struct lmn_machine_snapshot *snapshot =
            g_hash_table_lookup(partition->replication.replica->machines, machine->name);
        if (!snapshot)
            continue; /* nothing was started on it */
        named++;
        if (snapshot->is_terminated) {
            machine->lifecycle.is_terminated = machine->lifecycle.is_accounted = true;
            machine->lifecycle.is_inherited = false;
            g_hash_table_add(core->cloud.returned_machines, g_strdup(machine->name));
            continue;
        }
        machine->agent.incarnation = snapshot->agent_incarnation;
        if (!machine->type)
            machine->type = lmn_machine_type_by_name(core, machine->type_name);
        inherit_images(machine, snapshot, now);
        for (guint i = 0; i < snapshot->attempts->len; i++) {
            const struct lmn_attempt_snapshot *attempt =
                &g_array_index(snapshot->attempts, struct lmn_attempt_snapshot, i);
            char *task = g_strdup_printf("%s/%u", attempt->job_id, attempt->index);
            if (g_hash_table_lookup(best, task) == attempt)
                held += inherit(core, machine, attempt, now);
            g_free(task);
        }
    }
    lmn_debug("failover_replica_restored partition=%d machines=%u told=%u attempts=%u",
              partition->id, partition->machine_list->len, named, held);
    g_hash_table_destroy(best);
    return held;
}
