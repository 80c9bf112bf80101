#include "controller/read_batch.h"
#include "util/clock.h"

void lmn_read_batch_init(struct lmn_read_batch *q)
{
    g_queue_init(&q->order);
    q->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    q->waiting = 0;
}

void lmn_read_batch_clear(struct lmn_read_batch *q)
{
    struct lmn_read_request *a, *next;

    while ((a = g_queue_pop_head(&q->order)))
        for (; a; a = next) {
            next = a->next;
            g_free(a);
        }
    g_hash_table_destroy(q->jobs);
}

void lmn_read_batch_add(struct lmn_read_batch *q, struct lmn_read_request *a)
{
    struct lmn_read_request *first =
        a->kind == LMN_READ_STATUS ? g_hash_table_lookup(q->jobs, a->ref) : NULL;

    q->waiting++;
    a->next = NULL;
    if (!first) {
        g_queue_push_tail(&q->order, a);
        if (a->kind == LMN_READ_STATUS)
            g_hash_table_insert(q->jobs, a->ref, a);
        return;
    }
    /* The next is the latest: nobody needs them in their order. */
    a->next = first->next;
    first->next = a;
}

/* Splits the list: who still listens is returned, the others go before *late. */
static struct lmn_read_request *
listening(struct lmn_read_request *a, struct lmn_read_request **late, struct timespec now)
{
    struct lmn_read_request *still = NULL, *next;

    for (; a; a = next) {
        struct lmn_read_request **to =
            lmn_time_diff_s(now, a->since) > LMN_QUERY_PATIENCE_S ? late : &still;
        next = a->next;
        a->next = *to;
        *to = a;
    }
    return still;
}

guint lmn_read_batch_take(struct lmn_read_batch *q, struct lmn_read_request **jobs,
                          guint most, struct lmn_read_request **cancel,
                          struct lmn_read_request **late, struct timespec now)
{
    guint n = 0;

    *cancel = *late = NULL;
    for (GList *l = q->order.head, *next; l && n < most; l = next) {
        struct lmn_read_request *a = l->data;
        next = l->next;
        if (a->kind == LMN_READ_CANCEL) {
            if (*cancel)
                continue;
            *cancel = a;
            q->waiting--;
        } else {
            g_hash_table_remove(q->jobs, a->ref);
            for (const struct lmn_read_request *x = a; x; x = x->next)
                q->waiting--;
            if ((a = listening(a, late, now)))
                jobs[n++] = a;
        }
        g_queue_delete_link(&q->order, l);
    }
    return n;
}
