/** @file
 * Builds batches from the machines that have changed (replication/batch_builder.h). */
#include "replication/batch_builder.h"

/** Returns a hash of the machine's images and of whether each is present, independent of
 * their order. The hash of no images is 1, because 0 stands for images that were never
 * sent. */
static guint images_hash(const struct lmn_machine *machine)
{
    enum { PRESENT_FACTOR = 7, PULLING_FACTOR = 3 };
    guint hash = 1;

    for (guint i = 0; i < machine->images->len; i++) {
        const struct lmn_image *image =
            &g_array_index(machine->images, struct lmn_image, i);
        hash += g_str_hash(image->name) *
                (image->ready_at.tv_sec ? PULLING_FACTOR : PRESENT_FACTOR);
    }
    return hash;
}

/** Returns the machine's snapshot, with its images only if they have changed since the
 * last snapshot: images make up most of a snapshot's bytes and rarely change. */
static struct lmn_machine_snapshot *take_snapshot(struct lmn_machine *machine)
{
    guint hash = images_hash(machine);
    bool have_images_changed = hash != machine->replication.images_hash;

    machine->replication.images_hash = hash;
    return lmn_machine_snapshot_take(machine, have_images_changed);
}

static void move_removals(GPtrArray *pending_removals, GPtrArray *snapshots)
{
    while (pending_removals->len && snapshots->len < LMN_REPLICATION_BATCH_MACHINES) {
        char *name =
            g_ptr_array_steal_index_fast(pending_removals, pending_removals->len - 1);
        struct lmn_machine_snapshot *snapshot = lmn_machine_snapshot_new(name);

        snapshot->is_forgotten = true;
        g_ptr_array_add(snapshots, snapshot);
        g_free(name);
    }
}

static void move_machines(GPtrArray *pending_machines, GPtrArray *snapshots)
{
    while (pending_machines->len && snapshots->len < LMN_REPLICATION_BATCH_MACHINES) {
        struct lmn_machine *machine =
            g_ptr_array_steal_index_fast(pending_machines, pending_machines->len - 1);

        machine->replication.is_pending = false;
        g_ptr_array_add(snapshots, take_snapshot(machine));
    }
}

struct lmn_replication_batch *lmn_replication_batch_build(struct lmn_partition *partition,
                                                          struct timespec now)
{
    struct lmn_replication_stream *stream = &partition->replication.stream;
    struct lmn_replication_batch *batch = lmn_replication_batch_new();

    batch->partition = partition->id;
    batch->epoch = partition->ownership.epoch;
    batch->stream = stream->id;
    batch->number = stream->next_batch_number;
    move_removals(partition->replication.pending_removals, batch->machines);
    move_machines(partition->replication.pending_machines, batch->machines);
    /* If machines remain for a later batch, one of them may hold an unacknowledged start,
     * so that this batch must not acknowledge any further starts. */
    batch->log_position = partition->replication.pending_machines->len
                              ? stream->acknowledged_position
                              : stream->log_position;
    stream->last_batch_at = now;
    return batch;
}
