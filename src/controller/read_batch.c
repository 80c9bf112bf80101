#include "controller/read_batch.h"
#include "util/clock.h"

void lmn_read_batch_init(struct lmn_read_batch *batch)
{
    g_queue_init(&batch->order);
    batch->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    batch->waiting = 0;
}

void lmn_read_batch_clear(struct lmn_read_batch *batch)
{
    struct lmn_read_request *read, *next;

    while ((read = g_queue_pop_head(&batch->order)))
        for (; read; read = next) {
            next = read->next_same_job;
            g_free(read);
        }
    g_hash_table_destroy(batch->jobs);
}

void lmn_read_batch_add(struct lmn_read_batch *batch, struct lmn_read_request *read)
{
    struct lmn_read_request *first = read->kind == LMN_READ_STATUS
                                         ? g_hash_table_lookup(batch->jobs, read->job_id)
                                         : NULL;

    batch->waiting++;
    read->next_same_job = NULL;
    if (!first) {
        g_queue_push_tail(&batch->order, read);
        if (read->kind == LMN_READ_STATUS)
            g_hash_table_insert(batch->jobs, read->job_id, read);
        return;
    }
    /* The next is the latest: nobody needs them in their order. */
    read->next_same_job = first->next_same_job;
    first->next_same_job = read;
}

/* Splits the list: who still listens is returned, the others go before *late. */
static struct lmn_read_request *listening(struct lmn_read_request *read,
                                          struct lmn_read_request **late,
                                          struct timespec now)
{
    struct lmn_read_request *still = NULL, *next;

    for (; read; read = next) {
        struct lmn_read_request **to =
            lmn_time_diff_s(now, read->received_at) > LMN_QUERY_PATIENCE_S ? late
                                                                           : &still;
        next = read->next_same_job;
        read->next_same_job = *to;
        *to = read;
    }
    return still;
}

guint lmn_read_batch_take(struct lmn_read_batch *batch, struct lmn_read_request **jobs,
                          guint most, struct lmn_read_request **cancel,
                          struct lmn_read_request **late, struct timespec now)
{
    guint n = 0;

    *cancel = *late = NULL;
    for (GList *l = batch->order.head, *next; l && n < most; l = next) {
        struct lmn_read_request *a = l->data;
        next = l->next;
        if (a->kind == LMN_READ_CANCEL) {
            if (*cancel)
                continue;
            *cancel = a;
            batch->waiting--;
        } else {
            g_hash_table_remove(batch->jobs, a->job_id);
            for (const struct lmn_read_request *x = a; x; x = x->next_same_job)
                batch->waiting--;
            if ((a = listening(a, late, now)))
                jobs[n++] = a;
        }
        g_queue_delete_link(&batch->order, l);
    }
    return n;
}
