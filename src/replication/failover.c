#include "replication/failover.h"
#include "util/log.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <string.h>

const char *lmn_failover_cold_reason(const struct lmn_core *c,
                                     const struct lmn_partition *p)
{
    const struct lmn_replica *copy = p->copy;

    /* Each claim raises the term by one, conditional on the term before: nobody has owned
     * the partition since this process did. */
    if (copy && copy->own)
        return copy->term + 1 == p->owner_term ? NULL : "another has owned it meanwhile";
    /* The claim, or the giving, was conditional on a record that names us: until it was
     * applied no start went out that we had not acknowledged, and none can after it,
     * since the owner can strike us off no more. */
    if (!p->owner_stream)
        return "nobody was in step";
    if (p->owner_stream != p->standby_stream || strcmp(p->standby, c->cfg->node))
        return "another was in step";
    if (!copy)
        return "no copy: another life was in step";
    if (copy->stream != p->owner_stream)
        return "the copy is of another stream";
    if (copy->term != p->standby_term || copy->term + 1 != p->owner_term)
        return "the copy is of another term";
    return NULL;
}

/* Of the attempts of one task only the newest can be on a machine: its owner had
 * concluded that the others were gone before it made that one. */
static GHashTable *newest(const struct lmn_partition *p)
{
    GHashTable *best = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, p->copy->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine_snapshot *t = v;
        for (guint i = 0; i < t->attempts->len; i++) {
            const struct lmn_attempt_snapshot *a =
                &g_array_index(t->attempts, struct lmn_attempt_snapshot, i);
            char *task = g_strdup_printf("%s/%u", a->ref, a->index);
            const struct lmn_attempt_snapshot *was = g_hash_table_lookup(best, task);
            if (!was || was->number < a->number)
                g_hash_table_replace(best, task, (gpointer)a);
            else
                g_free(task);
        }
    }
    return best;
}

static bool inherit(struct lmn_core *c, struct lmn_machine *m,
                    const struct lmn_attempt_snapshot *told, struct timespec now)
{
    struct lmn_attempt a = {.index = told->index,
                            .number = told->number,
                            .state = LMN_ATTEMPT_RUNNING,
                            .told = true,
                            .since = now};

    g_strlcpy(a.ref, told->ref, sizeof a.ref);
    a.job = g_hash_table_lookup(c->jobs, told->ref);
    a.range = lmn_partition_find_range(m->part, a.job, told->index);
    /* One that has failed is not there, and its task was queued again. One that is done
     * is held until the worker says so, or is gone. */
    if (told->ended && (!told->done || !a.range))
        return false;
    if (a.range && a.range->st[a.index - a.range->lo] == LMN_TASK_QUEUED) {
        a.range->st[a.index - a.range->lo] = LMN_TASK_STARTED;
        a.range->nstarted++;
    } else {
        a.range = NULL; /* recorded as done, or moved away */
        if (told->ended)
            return false;
    }
    lmn_attempt_count(m, &a);
    g_array_append_val(m->attempts, a);
    return true;
}

static void inherit_images(struct lmn_machine *m, const struct lmn_machine_snapshot *t,
                           struct timespec now)
{
    g_array_set_size(m->images, 0);
    for (guint i = 0; t->images && i < t->images->len; i++) {
        const struct lmn_image_snapshot *x =
            &g_array_index(t->images, struct lmn_image_snapshot, i);
        struct lmn_image y = {g_intern_string(x->name), x->gb, {0, 0}};
        if (!x->there)
            y.ready = lmn_time_add(
                now, m->type && m->type->pull > 0 ? x->gb / m->type->pull : 0);
        g_array_append_val(m->images, y);
    }
}

guint lmn_failover_restore(struct lmn_core *c, struct lmn_partition *p,
                           struct timespec now)
{
    GHashTable *best = newest(p);
    guint held = 0, named = 0;

    for (guint k = 0; k < p->list->len; k++) {
        struct lmn_machine *m = p->list->pdata[k];
        const struct lmn_machine_snapshot *t =
            g_hash_table_lookup(p->copy->machines, m->name);
        if (!t)
            continue; /* nothing was started on it */
        named++;
        if (t->gone) {
            m->is_gone = m->accounted = true;
            m->inherited = false;
            g_hash_table_add(c->gone, g_strdup(m->name));
            continue;
        }
        m->session = t->session;
        if (!m->type)
            m->type = lmn_machine_type_by_name(c, m->type_name);
        inherit_images(m, t, now);
        for (guint i = 0; i < t->attempts->len; i++) {
            const struct lmn_attempt_snapshot *a =
                &g_array_index(t->attempts, struct lmn_attempt_snapshot, i);
            char *task = g_strdup_printf("%s/%u", a->ref, a->index);
            if (g_hash_table_lookup(best, task) == a)
                held += inherit(c, m, a, now);
            g_free(task);
        }
    }
    lmn_debug("takeover-copy partition=%d machines=%u told=%u attempts=%u", p->id,
              p->list->len, named, held);
    g_hash_table_destroy(best);
    return held;
}
