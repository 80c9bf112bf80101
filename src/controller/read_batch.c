/** @file
 * The queue of users' requests that need the key-value store. */
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
    /* Inserted second, which takes constant time: the requests of a list are answered
     * together, so their order does not matter. */
    read->next_same_job = first->next_same_job;
    first->next_same_job = read;
}

static bool has_timed_out(const struct lmn_read_request *read, struct timespec now)
{
    return lmn_time_diff_s(now, read->received_at) > LMN_READ_REQUEST_TIMEOUT_S;
}

/** Moves the requests of `list` that have timed out to the front of *late.
 * @return the list of the remaining requests */
static struct lmn_read_request *remove_timed_out(struct lmn_read_request *list,
                                                 struct lmn_read_request **late,
                                                 struct timespec now)
{
    struct lmn_read_request *in_time = NULL;

    for (struct lmn_read_request *read = list, *next; read; read = next) {
        struct lmn_read_request **target = has_timed_out(read, now) ? late : &in_time;
        next = read->next_same_job;
        read->next_same_job = *target;
        *target = read;
    }
    return in_time;
}

static guint count_requests(const struct lmn_read_request *list)
{
    guint count = 0;

    for (; list; list = list->next_same_job)
        count++;
    return count;
}

guint lmn_read_batch_dequeue(struct lmn_read_batch *batch, struct lmn_read_request **jobs,
                             guint max_jobs, struct lmn_read_request **cancel,
                             struct lmn_read_request **late, struct timespec now)
{
    guint job_count = 0;

    *cancel = *late = NULL;
    for (GList *link = batch->order.head, *next; link && job_count < max_jobs;
         link = next) {
        struct lmn_read_request *read = link->data;
        next = link->next;
        if (read->kind == LMN_READ_CANCEL) {
            /* A second cancellation stays queued: a thread handles one at a time. */
            if (*cancel)
                continue;
            *cancel = read;
            batch->waiting--;
        } else {
            g_hash_table_remove(batch->jobs, read->job_id);
            batch->waiting -= count_requests(read);
            struct lmn_read_request *in_time = remove_timed_out(read, late, now);
            if (in_time)
                jobs[job_count++] = in_time;
        }
        g_queue_delete_link(&batch->order, link);
    }
    return job_count;
}
