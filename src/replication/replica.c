#include "replication/replica.h"

#include <string.h>

void lmn_replica_free(struct lmn_replica *copy)
{
    if (!copy)
        return;
    g_hash_table_destroy(copy->machines);
    g_free(copy);
}

static struct lmn_replica *new_copy(uint64_t term, uint64_t stream)
{
    struct lmn_replica *copy = g_new0(struct lmn_replica, 1);

    copy->term = term;
    copy->stream = stream;
    copy->machines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lmn_machine_snapshot_free);
    return copy;
}

static void take_machine(struct lmn_replica *copy, struct lmn_machine_snapshot *t)
{
    struct lmn_machine_snapshot *was = g_hash_table_lookup(copy->machines, t->name);

    if (t->forget) {
        g_hash_table_remove(copy->machines, t->name);
        lmn_machine_snapshot_free(t);
        return;
    }
    if (!t->images && was) {
        t->images = was->images;
        was->images = NULL;
    }
    g_hash_table_replace(copy->machines, t->name, t);
}

enum lmn_replica_result lmn_replica_apply(struct lmn_core *c,
                                          struct lmn_replication_batch *b,
                                          struct timespec now)
{
    if (b->part < 0 || b->part >= c->nparts)
        return LMN_REPLICA_REJECTED;
    struct lmn_partition *p = &c->parts[b->part];
    struct lmn_replica *copy = p->copy;
    /* Whoever owned it before the term that the mirror shows has been replaced. One that
     * is about to end follows nobody. */
    if (p->mine || b->term < p->term || c->leaving)
        return LMN_REPLICA_REJECTED;
    if (copy && b->term == copy->term && b->stream == copy->stream &&
        b->number <= copy->number) {
        copy->last = now;
        return LMN_REPLICA_APPLIED; /* a repeat, or a late twin */
    }
    if (b->number == 0) {
        /* A late twin of an older stream must not take the place of a newer one. */
        if (copy &&
            (b->term < copy->term || (b->term == copy->term && b->stream < copy->stream)))
            return LMN_REPLICA_UNKNOWN_STREAM;
        lmn_replica_free(copy);
        copy = p->copy = new_copy(b->term, b->stream);
    } else if (!copy || b->term != copy->term || b->stream != copy->stream ||
               b->number != copy->number + 1) {
        return LMN_REPLICA_UNKNOWN_STREAM;
    }
    copy->number = b->number;
    copy->last = now;
    for (guint i = 0; i < b->machines->len; i++) {
        take_machine(copy, b->machines->pdata[i]);
        b->machines->pdata[i] = NULL;
    }
    return LMN_REPLICA_APPLIED;
}

void lmn_replica_keep_own(struct lmn_partition *p)
{
    /* Before every machine was accounted for, a cold owner does not know what its
     * predecessors started. */
    if (!p->ready && !p->warm)
        return;
    lmn_replica_free(p->copy);
    p->copy = new_copy(p->my_term, 0);
    p->copy->own = true;
    for (guint i = 0; i < p->list->len; i++) {
        struct lmn_machine_snapshot *t =
            lmn_machine_snapshot_take(p->list->pdata[i], true);
        g_hash_table_replace(p->copy->machines, t->name, t);
    }
}

bool lmn_replica_own_is_latest(const struct lmn_partition *p)
{
    return p->copy && p->copy->own && p->copy->term == p->term;
}

void lmn_replica_drop_outdated(const struct lmn_core *c, struct lmn_partition *p)
{
    if (p->mine || !p->copy || !p->copy->own || p->term <= p->copy->term)
        return;
    /* Of the next term only our own claim may be on its way. */
    if (p->term == p->copy->term + 1 && (!*p->owner || !strcmp(p->owner, c->cfg->node)))
        return;
    lmn_replica_free(p->copy);
    p->copy = NULL;
}
