#include "replication/batch.h"

#include <string.h>

struct lmn_machine_snapshot *lmn_machine_snapshot_new(const char *name)
{
    struct lmn_machine_snapshot *t = g_new0(struct lmn_machine_snapshot, 1);

    g_strlcpy(t->name, name, sizeof t->name);
    t->attempts = g_array_new(FALSE, FALSE, sizeof(struct lmn_attempt_snapshot));
    return t;
}

static GArray *images_of(const struct lmn_machine *m)
{
    GArray *images = g_array_new(FALSE, FALSE, sizeof(struct lmn_image_snapshot));

    for (guint i = 0; i < m->images->len; i++) {
        const struct lmn_image *x = &g_array_index(m->images, struct lmn_image, i);
        struct lmn_image_snapshot y = {.gb = x->gb, .there = !x->ready.tv_sec};
        if (strlen(x->name) >= sizeof y.name)
            continue;
        g_strlcpy(y.name, x->name, sizeof y.name);
        g_array_append_val(images, y);
    }
    return images;
}

struct lmn_machine_snapshot *lmn_machine_snapshot_take(const struct lmn_machine *m,
                                                       bool images)
{
    struct lmn_machine_snapshot *t = lmn_machine_snapshot_new(m->name);

    t->session = m->session;
    t->gone = m->is_gone;
    for (guint i = 0; i < m->attempts->len; i++) {
        const struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
        struct lmn_attempt_snapshot x = {.index = a->index,
                                         .number = a->number,
                                         .ended = a->state == LMN_ATTEMPT_ENDED,
                                         .done = a->done};
        g_strlcpy(x.ref, a->ref, sizeof x.ref);
        g_array_append_val(t->attempts, x);
    }
    if (images)
        t->images = images_of(m);
    return t;
}

void lmn_machine_snapshot_free(gpointer told)
{
    struct lmn_machine_snapshot *t = told;

    if (!t)
        return;
    g_array_free(t->attempts, TRUE);
    if (t->images)
        g_array_free(t->images, TRUE);
    g_free(t);
}

struct lmn_replication_batch *lmn_replication_batch_new(void)
{
    struct lmn_replication_batch *b = g_new0(struct lmn_replication_batch, 1);

    b->machines = g_ptr_array_new_with_free_func(lmn_machine_snapshot_free);
    return b;
}

void lmn_replication_batch_free(struct lmn_replication_batch *b)
{
    if (!b)
        return;
    g_ptr_array_free(b->machines, TRUE);
    g_free(b);
}
