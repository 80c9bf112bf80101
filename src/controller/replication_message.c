/** @file
 * Conversion of replication batches to and from RPC messages. */
#include "controller/replication_message.h"
#include "replication/batch.h"

#include <glib.h>

/* --- decoding --- */

static void decode_attempts(const lmn_rpc_machine *message, GArray *attempts)
{
    for (u_int i = 0; i < message->attempts.attempts_len; i++) {
        const lmn_rpc_attempt *attempt = &message->attempts.attempts_val[i];
        struct lmn_attempt_snapshot snapshot = {
            .index = attempt->index,
            .number = attempt->number,
            .has_ended = attempt->state & LMN_RPC_ATTEMPT_ENDED,
            .is_done = attempt->state & LMN_RPC_ATTEMPT_DONE};
        g_strlcpy(snapshot.job_id, attempt->job_id, sizeof snapshot.job_id);
        g_array_append_val(attempts, snapshot);
    }
}

static GArray *decode_images(const lmn_rpc_machine *message)
{
    GArray *images = g_array_new(FALSE, FALSE, sizeof(struct lmn_image_snapshot));

    for (u_int i = 0; i < message->images.images_len; i++) {
        const lmn_rpc_image *image = &message->images.images_val[i];
        struct lmn_image_snapshot snapshot = {.gb = image->gb,
                                              .is_present = image->is_present};
        g_strlcpy(snapshot.name, image->name, sizeof snapshot.name);
        g_array_append_val(images, snapshot);
    }
    return images;
}

static struct lmn_machine_snapshot *decode_machine(const lmn_rpc_machine *message)
{
    struct lmn_machine_snapshot *snapshot = lmn_machine_snapshot_new(message->name);

    snapshot->agent_incarnation = message->agent_incarnation;
    snapshot->is_terminated = message->state & LMN_RPC_MACHINE_TERMINATED;
    snapshot->is_forgotten = message->state & LMN_RPC_MACHINE_FORGOTTEN;
    decode_attempts(message, snapshot->attempts);
    if (message->state & LMN_RPC_MACHINE_WITH_IMAGES)
        snapshot->images = decode_images(message);
    return snapshot;
}

struct lmn_replication_batch *
lmn_replication_message_decode(const lmn_rpc_replication_batch *message)
{
    struct lmn_replication_batch *batch = lmn_replication_batch_new();

    batch->partition = message->partition;
    batch->epoch = message->epoch;
    batch->stream = message->stream;
    batch->number = message->number;
    for (u_int i = 0; i < message->machines.machines_len; i++)
        g_ptr_array_add(batch->machines,
                        decode_machine(&message->machines.machines_val[i]));
    return batch;
}

/* --- encoding --- */

static void encode_attempts(lmn_rpc_machine *message, const GArray *attempts)
{
    message->attempts.attempts_len = MIN(attempts->len, LMN_RPC_MAX_ATTEMPTS);
    message->attempts.attempts_val = g_new0(lmn_rpc_attempt, attempts->len);
    for (u_int i = 0; i < message->attempts.attempts_len; i++) {
        struct lmn_attempt_snapshot *attempt =
            &g_array_index(attempts, struct lmn_attempt_snapshot, i);
        message->attempts.attempts_val[i] =
            (lmn_rpc_attempt){attempt->job_id, attempt->index, attempt->number,
                              (attempt->has_ended ? LMN_RPC_ATTEMPT_ENDED : 0u) |
                                  (attempt->is_done ? LMN_RPC_ATTEMPT_DONE : 0u)};
    }
}

static void encode_images(lmn_rpc_machine *message, const GArray *images)
{
    message->images.images_len = MIN(images->len, LMN_RPC_MAX_ITEMS);
    message->images.images_val = g_new0(lmn_rpc_image, images->len);
    for (u_int i = 0; i < message->images.images_len; i++) {
        struct lmn_image_snapshot *image =
            &g_array_index(images, struct lmn_image_snapshot, i);
        message->images.images_val[i] =
            (lmn_rpc_image){image->name, image->gb, image->is_present};
    }
}

static void encode_machine(lmn_rpc_machine *message,
                           const struct lmn_machine_snapshot *snapshot)
{
    message->name = (char *)snapshot->name;
    message->agent_incarnation = snapshot->agent_incarnation;
    message->state = (snapshot->is_terminated ? LMN_RPC_MACHINE_TERMINATED : 0u) |
                     (snapshot->is_forgotten ? LMN_RPC_MACHINE_FORGOTTEN : 0u) |
                     (snapshot->images ? LMN_RPC_MACHINE_WITH_IMAGES : 0u);
    encode_attempts(message, snapshot->attempts);
    if (snapshot->images)
        encode_images(message, snapshot->images);
}

lmn_rpc_replication_batch
lmn_replication_message_encode(const struct lmn_replication_batch *batch,
                               lmn_rpc_machine *machines)
{
    for (guint i = 0; i < batch->machines->len; i++)
        encode_machine(&machines[i], batch->machines->pdata[i]);
    return (lmn_rpc_replication_batch){batch->partition,
                                       batch->epoch,
                                       batch->stream,
                                       batch->number,
                                       {batch->machines->len, machines}};
}

void lmn_replication_message_clear(lmn_rpc_replication_batch *message)
{
    for (u_int i = 0; i < message->machines.machines_len; i++) {
        g_free(message->machines.machines_val[i].attempts.attempts_val);
        g_free(message->machines.machines_val[i].images.images_val);
    }
}
