#include "standby/batch.h"

struct lmn_told *lmn_told_new(const char *name)
{
    struct lmn_told *t = g_new0(struct lmn_told, 1);

    g_strlcpy(t->name, name, sizeof t->name);
    t->attempts = g_array_new(FALSE, FALSE, sizeof(struct lmn_told_attempt));
    return t;
}

void lmn_told_free(gpointer told)
{
    struct lmn_told *t = told;

    if (!t)
        return;
    g_array_free(t->attempts, TRUE);
    if (t->images)
        g_array_free(t->images, TRUE);
    g_free(t);
}

struct lmn_batch *lmn_batch_new(void)
{
    struct lmn_batch *b = g_new0(struct lmn_batch, 1);

    b->machines = g_ptr_array_new_with_free_func(lmn_told_free);
    return b;
}

void lmn_batch_free(struct lmn_batch *b)
{
    if (!b)
        return;
    g_ptr_array_free(b->machines, TRUE);
    g_free(b);
}
