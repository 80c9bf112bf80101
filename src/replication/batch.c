/** @file
 * Batches and snapshots (replication/batch.h). */
#include "replication/batch.h"

#include <string.h>

struct lmn_machine_snapshot *lmn_machine_snapshot_new(const char *name)
{
    struct lmn_machine_snapshot *snapshot = g_new0(struct lmn_machine_snapshot, 1);

    g_strlcpy(snapshot->name, name, sizeof snapshot->name);
    snapshot->attempts = g_array_new(FALSE, FALSE, sizeof(struct lmn_attempt_snapshot));
    return snapshot;
}

static void add_attempts(GArray *snapshots, const struct lmn_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        struct lmn_attempt_snapshot snapshot = {.index = attempt->index,
                                                .number = attempt->number,
                                                .has_ended =
                                                    attempt->state == LMN_ATTEMPT_ENDED,
                                                .is_done = attempt->is_done};

        g_strlcpy(snapshot.job_id, attempt->job_id, sizeof snapshot.job_id);
        g_array_append_val(snapshots, snapshot);
    }
}

static GArray *images_snapshot_new(const struct lmn_machine *machine)
{
    GArray *snapshots = g_array_new(FALSE, FALSE, sizeof(struct lmn_image_snapshot));

    for (guint i = 0; i < machine->images->len; i++) {
        const struct lmn_image *image =
            &g_array_index(machine->images, struct lmn_image, i);
        struct lmn_image_snapshot snapshot = {.gb = image->gb,
                                              .is_present = !image->ready_at.tv_sec};

        /* Truncated, the name could be that of another image. Leaving the image out is
         * safe: the standby uses images only to prefer machines that already have them.
         */
        if (strlen(image->name) >= sizeof snapshot.name)
            continue;
        g_strlcpy(snapshot.name, image->name, sizeof snapshot.name);
        g_array_append_val(snapshots, snapshot);
    }
    return snapshots;
}

struct lmn_machine_snapshot *lmn_machine_snapshot_take(const struct lmn_machine *machine,
                                                       bool with_images)
{
    struct lmn_machine_snapshot *snapshot = lmn_machine_snapshot_new(machine->name);

    snapshot->agent_incarnation = machine->agent.incarnation;
    snapshot->is_terminated = machine->lifecycle.is_terminated;
    add_attempts(snapshot->attempts, machine);
    if (with_images)
        snapshot->images = images_snapshot_new(machine);
    return snapshot;
}

void lmn_machine_snapshot_free(gpointer data)
{
    struct lmn_machine_snapshot *snapshot = data;

    if (!snapshot)
        return;
    g_array_free(snapshot->attempts, TRUE);
    if (snapshot->images)
        g_array_free(snapshot->images, TRUE);
    g_free(snapshot);
}

struct lmn_replication_batch *lmn_replication_batch_new(void)
{
    struct lmn_replication_batch *batch = g_new0(struct lmn_replication_batch, 1);

    batch->machines = g_ptr_array_new_with_free_func(lmn_machine_snapshot_free);
    return batch;
}

void lmn_replication_batch_free(struct lmn_replication_batch *batch)
{
    if (!batch)
        return;
    g_ptr_array_free(batch->machines, TRUE);
    g_free(batch);
}
