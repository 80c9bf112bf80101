/** @file
 * Failover from a replica (replication/failover.h). */
#include "replication/failover.h"
#include "state/fencing_token.h"
#include "util/log.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <string.h>

const char *lmn_failover_cold_reason(const struct lmn_core *core,
                                     const struct lmn_partition *partition)
{
    const struct lmn_partition_record *record = &partition->record;
    const struct lmn_replica *replica = partition->replication.replica;

    /* The tokens of a claim begin after the epoch before, on condition that this has not
     * changed. If this owner's tokens begin after the replica's epoch, no other member
     * has owned the partition since the replica was taken. */
    if (replica && replica->is_own_state)
        return replica->epoch + 1 == lmn_record_first_token(record)
                   ? NULL
                   : "another member has owned the partition since";
    /* The claim, or the transfer to this member, was conditional on a record b/P that
     * names this member as in sync. Before the claim was applied, no start went out
     * without this member's acknowledgement; afterwards none can, since the former owner
     * can no longer remove this member from the record. */
    if (!record->owner_stream)
        return "no standby was in sync";
    if (record->owner_stream != record->standby_stream ||
        strcmp(record->standby, core->settings->node_name))
        return "another member was in sync";
    if (!replica)
        return "no replica: an earlier process of this member was in sync";
    if (replica->stream != record->owner_stream)
        return "the replica is of another stream";
    if (replica->epoch != record->standby_epoch ||
        replica->epoch + 1 != lmn_record_first_token(record))
        return "the replica is of another epoch";
    return NULL;
}

/** Returns the key of the attempt's task, JOB/INDEX; the caller frees it. */
static char *task_key_new(const struct lmn_attempt_snapshot *attempt)
{
    return g_strdup_printf("%s/%u", attempt->job_id, attempt->index);
}

static void keep_newest(GHashTable *newest, const struct lmn_attempt_snapshot *attempt)
{
    g_autofree char *task = task_key_new(attempt);
    const struct lmn_attempt_snapshot *other = g_hash_table_lookup(newest, task);

    if (!other || other->number < attempt->number)
        g_hash_table_replace(newest, g_steal_pointer(&task), (gpointer)attempt);
}

/** Returns the newest attempt of each task, keyed by task_key_new. Only the newest
 * attempt can be on a machine: an owner makes a further attempt only after it has
 * established that the earlier ones are gone. */
static GHashTable *newest_attempts(const struct lmn_replica *replica)
{
    GHashTable *newest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, replica->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_machine_snapshot *machine = value;
        for (guint i = 0; i < machine->attempts->len; i++)
            keep_newest(newest, &g_array_index(machine->attempts,
                                               struct lmn_attempt_snapshot, i));
    }
    return newest;
}

/** Adds the attempt to the machine, marked as not yet reported by its worker, if it may
 * still be there. Returns whether it was added. */
static bool restore_attempt(struct lmn_core *core, struct lmn_machine *machine,
                            const struct lmn_attempt_snapshot *snapshot,
                            struct timespec now)
{
    struct lmn_attempt attempt = {.index = snapshot->index,
                                  .number = snapshot->number,
                                  .state = LMN_ATTEMPT_RUNNING,
                                  .from_replica = true,
                                  .started_at = now};

    g_strlcpy(attempt.job_id, snapshot->job_id, sizeof attempt.job_id);
    attempt.job = g_hash_table_lookup(core->cache.jobs, snapshot->job_id);
    attempt.range =
        lmn_partition_find_range(machine->partition, attempt.job, snapshot->index);
    /* A failed attempt is no longer on the machine, and its task was queued again. An
     * attempt that is done is kept until its worker reports it or is gone, because the
     * task may not be recorded as done yet. */
    if (snapshot->has_ended && (!snapshot->is_done || !attempt.range))
        return false;
    uint8_t *task_state =
        attempt.range ? &attempt.range->task_states[attempt.index - attempt.range->first]
                      : NULL;
    if (task_state && *task_state == LMN_TASK_QUEUED) {
        *task_state = LMN_TASK_STARTED;
        attempt.range->started_count++;
    } else {
        /* The task is recorded as done, or its range has moved to another partition. */
        attempt.range = NULL;
        if (snapshot->has_ended)
            return false;
    }
    lmn_attempt_count(machine, &attempt);
    g_array_append_val(machine->attempts, attempt);
    return true;
}

static void restore_images(struct lmn_machine *machine,
                           const struct lmn_machine_snapshot *snapshot,
                           struct timespec now)
{
    double pull_gb_per_s = machine->type ? machine->type->pull_gb_per_s : 0;

    g_array_set_size(machine->images, 0);
    for (guint i = 0; snapshot->images && i < snapshot->images->len; i++) {
        const struct lmn_image_snapshot *image_snapshot =
            &g_array_index(snapshot->images, struct lmn_image_snapshot, i);
        struct lmn_image image = {
            g_intern_string(image_snapshot->name), image_snapshot->gb, {0, 0}};

        /* It is unknown when the fetch began; assume now, the latest possible time. */
        if (!image_snapshot->is_present)
            image.ready_at = lmn_time_add(
                now, pull_gb_per_s > 0 ? image_snapshot->gb / pull_gb_per_s : 0);
        g_array_append_val(machine->images, image);
    }
}

/** Marks the machine as terminated. No attempt can run on a terminated machine, so that
 * it counts as accounted for. */
static void restore_terminated(struct lmn_core *core, struct lmn_machine *machine)
{
    machine->lifecycle.is_terminated = true;
    machine->lifecycle.is_accounted = true;
    machine->lifecycle.is_inherited = false;
    g_hash_table_add(core->cloud.returned_machines, g_strdup(machine->name));
}

/** Restores the machine's images and the newest attempts of tasks from its snapshot.
 * Returns how many attempts were restored. */
static guint restore_machine(struct lmn_core *core, struct lmn_machine *machine,
                             const struct lmn_machine_snapshot *snapshot,
                             GHashTable *newest, struct timespec now)
{
    guint restored = 0;

    machine->agent.incarnation = snapshot->agent_incarnation;
    if (!machine->type)
        machine->type = lmn_machine_type_by_name(core, machine->type_name);
    restore_images(machine, snapshot, now);
    for (guint i = 0; i < snapshot->attempts->len; i++) {
        const struct lmn_attempt_snapshot *attempt =
            &g_array_index(snapshot->attempts, struct lmn_attempt_snapshot, i);
        g_autofree char *task = task_key_new(attempt);
        if (g_hash_table_lookup(newest, task) == attempt)
            restored += restore_attempt(core, machine, attempt, now);
    }
    return restored;
}

guint lmn_failover_restore(struct lmn_core *core, struct lmn_partition *partition,
                           struct timespec now)
{
    const struct lmn_replica *replica = partition->replication.replica;
    GHashTable *newest = newest_attempts(replica);
    guint attempts = 0, machines_in_replica = 0;

    for (guint i = 0; i < partition->machine_list->len; i++) {
        struct lmn_machine *machine = partition->machine_list->pdata[i];
        const struct lmn_machine_snapshot *snapshot =
            g_hash_table_lookup(replica->machines, machine->name);
        if (!snapshot)
            continue; /* no attempt was started on this machine */
        machines_in_replica++;
        if (snapshot->is_terminated)
            restore_terminated(core, machine);
        else
            attempts += restore_machine(core, machine, snapshot, newest, now);
    }
    lmn_debug("failover_replica_restored partition=%d machines=%u told=%u attempts=%u",
              partition->id, partition->machine_list->len, machines_in_replica, attempts);
    g_hash_table_destroy(newest);
    return attempts;
}
