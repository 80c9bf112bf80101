/* What a message of the product's is after its way through a network: the same, apart. */
#ifndef LMN_TESTS_TWIN_H
#define LMN_TESTS_TWIN_H

#include "replication/batch.h"

/* A copy of the batch, but for images; to be freed. */
static inline struct lmn_replication_batch *
replication_batch_copy(const struct lmn_replication_batch *b)
{
    struct lmn_replication_batch *c = lmn_replication_batch_new();
    GPtrArray *machines = c->machines;

    *c = *b;
    c->machines = machines;
    for (guint i = 0; i < b->machines->len; i++) {
        const struct lmn_machine_snapshot *t = b->machines->pdata[i];
        struct lmn_machine_snapshot *u = lmn_machine_snapshot_new(t->name);
        u->agent_incarnation = t->agent_incarnation;
        u->is_terminated = t->is_terminated;
        u->is_forgotten = t->is_forgotten;
        if (t->attempts->len)
            g_array_append_vals(u->attempts, t->attempts->data, t->attempts->len);
        g_ptr_array_add(machines, u);
    }
    return c;
}

#endif
