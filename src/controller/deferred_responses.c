/** @file
 * Heartbeat responses that are deferred until the standby has acknowledged their starts.
 */
#include "controller/deferred_responses.h"
#include "replication/start_gate.h"

enum { STATUS_OK = 200, STATUS_UNAVAILABLE = 503 };

/** A deferred response. Owned by the list that contains it. */
struct lmn_deferred_response {
    struct lmn_http_request *request;
    GByteArray *body;
    struct lmn_deferred_starts starts;
    struct timespec deferred_at;
    int status; /**< HTTP status; 0: not settled yet */
};

/** Whether this controller still owns the partition in the epoch in which it decided on
 * the starts. If not, the next owner may not know the starts, and they must not be sent.
 */
static bool is_owned_in_epoch(const struct lmn_partition *partition,
                              const struct lmn_deferred_starts *starts)
{
    return partition->ownership.is_owned && partition->ownership.epoch == starts->epoch;
}

/** @return the HTTP status to respond with; 0 if the response has to wait */
static int settle_one(struct lmn_core *core, const struct lmn_partition *partition,
                      struct lmn_deferred_response *response, struct timespec now)
{
    if (!is_owned_in_epoch(partition, &response->starts)) {
        g_byte_array_set_size(response->body, 0);
        return STATUS_UNAVAILABLE;
    }
    if (lmn_replication_allows_starts_up_to(partition, response->starts.log_position))
        return STATUS_OK;
    if (lmn_time_diff_s(now, response->deferred_at) <= LMN_REPLICATION_DEFER_S)
        return 0;
    lmn_heartbeat_withhold_starts(core, &response->starts, response->body, now);
    return STATUS_OK;
}

void lmn_deferred_responses_settle(struct lmn_core *core, struct lmn_partition *partition,
                                   GQueue *settled, struct timespec now)
{
    GQueue *deferred = &partition->replication.stream.deferred_responses;

    for (GList *link = deferred->head, *next; link; link = next) {
        struct lmn_deferred_response *response = link->data;
        next = link->next;
        response->status = settle_one(core, partition, response, now);
        if (!response->status)
            continue;
        g_queue_unlink(deferred, link);
        g_queue_push_tail_link(settled, link);
    }
}

void lmn_deferred_responses_send(GQueue *settled)
{
    struct lmn_deferred_response *response;

    while ((response = g_queue_pop_head(settled))) {
        lmn_http_request_respond(response->request, response->status, response->body, 0);
        g_free(response);
    }
}

void lmn_deferred_response_add(struct lmn_core *core, struct lmn_http_request *request,
                               GByteArray *body, const struct lmn_deferred_starts *starts)
{
    struct lmn_partition *partition = &core->partitions[starts->partition];
    int status = 0;

    pthread_mutex_lock(&core->lock);
    if (!is_owned_in_epoch(partition, starts))
        status = STATUS_UNAVAILABLE;
    else if (lmn_replication_allows_starts_up_to(partition, starts->log_position))
        status = STATUS_OK;
    if (!status) {
        struct lmn_deferred_response *response = g_new0(struct lmn_deferred_response, 1);
        *response = (struct lmn_deferred_response){request, body, *starts, lmn_now(), 0};
        lmn_http_request_defer(request);
        g_queue_push_tail(&partition->replication.stream.deferred_responses, response);
    }
    pthread_mutex_unlock(&core->lock);
    if (status == STATUS_UNAVAILABLE)
        g_byte_array_set_size(body, 0);
    if (status)
        lmn_http_request_respond(request, status, body, 0);
}
