/* Copies of product messages, as a receiver gets them over a network: equal to what
 * was sent, but sharing no memory with it. */
#ifndef LMN_TESTS_TWIN_H
#define LMN_TESTS_TWIN_H

#include "replication/batch.h"

/* Copies the batch except for the images of its machines. The caller frees the copy. */
static inline struct lmn_replication_batch *
replication_batch_copy(const struct lmn_replication_batch *batch)
{
    struct lmn_replication_batch *copy = lmn_replication_batch_new();
    GPtrArray *machines = copy->machines;

    *copy = *batch;
    copy->machines = machines;
    for (guint i = 0; i < batch->machines->len; i++) {
        const struct lmn_machine_snapshot *original = batch->machines->pdata[i];
        struct lmn_machine_snapshot *snapshot = lmn_machine_snapshot_new(original->name);
        snapshot->agent_incarnation = original->agent_incarnation;
        snapshot->is_terminated = original->is_terminated;
        snapshot->is_forgotten = original->is_forgotten;
        if (original->attempts->len)
            g_array_append_vals(snapshot->attempts, original->attempts->data,
                                original->attempts->len);
        g_ptr_array_add(machines, snapshot);
    }
    return copy;
}

#endif
