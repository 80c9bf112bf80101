/** @file
 * Sends heartbeats (worker/heartbeats.h). They go to one controller until it redirects
 * the worker to another one, or does not answer with status 200; then to the next in the
 * list. */
#include "worker/heartbeats.h"
#include "http/client.h"
#include "protocol/wire.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/thread.h"
#include "worker/worker_state.h"

#include <string.h>

enum { STATUS_OK = 200, STATUS_REDIRECT = 421 };
/* Time to wait for the answer to a heartbeat. */
static const double ANSWER_TIMEOUT_S = 4;
/* Minimum interval between two heartbeats that report changes, so that changes in quick
 * succession share a heartbeat. */
static const double CHANGE_INTERVAL_S = 0.5;
/* The interval is the setting times a random factor of 0.75 to 1.25. With a fixed
 * interval the heartbeats of workers that were started together would always arrive
 * together. */
static const double MIN_INTERVAL_FACTOR = 0.75, INTERVAL_FACTOR_RANGE = 0.5;
/* Minimum time to sleep, also while a due heartbeat has to wait for the incarnation's
 * end. */
static const double MIN_WAIT_S = 0.01;
/* Time to wait before trying the next controller. */
static const double NEXT_CONTROLLER_DELAY_S = 1;

/* The heartbeat thread's own state. */
struct sender {
    struct lmn_worker *worker;
    struct lmn_http_client *clients[LMN_MAX_CONTROLLERS];
    unsigned controller; /* index of the controller that heartbeats go to */
    struct timespec last_sent_at;
    GByteArray *response;
};

/* Waits until a heartbeat is due: for the interval, or less if there is a change that has
 * not been reported. */
static void wait_until_due(struct lmn_worker *worker, struct timespec last_sent_at)
{
    double factor = MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE * g_random_double();
    double interval_s = worker->options->heartbeat_s * factor;

    pthread_mutex_lock(&worker->lock);
    for (;;) {
        double since_s = lmn_time_diff_s(lmn_now(), last_sent_at);
        double due_s = worker->agent.has_unreported_change
                           ? MIN(CHANGE_INTERVAL_S, interval_s)
                           : interval_s;
        double wait_s = due_s - since_s;
        if (wait_s <= 0 && !worker->agent.is_ending)
            break;
        lmn_cond_wait_for(&worker->heartbeat_due, &worker->lock, MAX(wait_s, MIN_WAIT_S));
    }
    pthread_mutex_unlock(&worker->lock);
}

/* Writes the next heartbeat. Returns false if the incarnation is ending: then none may be
 * sent. */
static bool write_heartbeat(struct lmn_worker *worker, GByteArray *out,
                            uint64_t *incarnation, struct timespec *sent_at)
{
    lmn_worker_lock(worker);
    bool is_ending = worker->agent.is_ending;
    if (!is_ending) {
        *incarnation = worker->agent.incarnation;
        *sent_at = lmn_worker_now();
        lmn_agent_write_heartbeat(&worker->agent, out, *sent_at);
        worker->heartbeats++;
    }
    lmn_worker_unlock_and_send(worker);
    return !is_ending;
}

static void handle_answer(const struct sender *sender, uint64_t incarnation,
                          struct timespec sent_at)
{
    struct lmn_worker *worker = sender->worker;

    lmn_worker_lock(worker);
    lmn_agent_heartbeat_answered(&worker->agent, incarnation, sent_at,
                                 sender->response->data, sender->response->len,
                                 lmn_worker_now());
    lmn_worker_unlock_and_send(worker);
}

/* Returns the index of the controller that a redirection names, or of the current one if
 * the redirection names no other controller of the settings. */
static unsigned redirection_target(const struct sender *sender)
{
    const struct lmn_worker_options *options = sender->worker->options;
    const GByteArray *response = sender->response;
    char name[LMN_NAME_SIZE] = "";
    struct lmn_cbor_document document;

    if (response->len && lmn_cbor_parse(&document, response->data, response->len) == 0) {
        lmn_cbor_get_text(
            lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_REDIRECT_TO), name,
            sizeof name);
        lmn_cbor_free(&document);
    }
    for (unsigned i = 0; i < options->controller_count && *name; i++)
        if (i != sender->controller && strcmp(options->controllers[i].name, name) == 0)
            return i;
    return sender->controller;
}

/* Chooses the controller for the next heartbeat after one that did not renew the lease. A
 * redirection to another controller makes the next heartbeat due at once. */
static void change_controller(struct sender *sender, int status)
{
    struct lmn_worker *worker = sender->worker;
    unsigned next =
        status == STATUS_REDIRECT ? redirection_target(sender) : sender->controller;

    lmn_debug("heartbeat_redirected status=%d to=%s", status,
              worker->options->controllers[next].name);
    pthread_mutex_lock(&worker->lock);
    worker->agent.has_unreported_change =
        true; /* the heartbeat may not have been received */
    worker->redirects++;
    pthread_mutex_unlock(&worker->lock);
    if (next != sender->controller) {
        sender->last_sent_at = lmn_time_add(lmn_now(), -2 * CHANGE_INTERVAL_S);
    } else {
        next = (sender->controller + 1) % worker->options->controller_count;
        lmn_sleep(NEXT_CONTROLLER_DELAY_S);
    }
    sender->controller = next;
}

static void send_heartbeat(struct sender *sender)
{
    g_autoptr(GByteArray) heartbeat = g_byte_array_new();
    struct timespec sent_at;
    uint64_t incarnation;

    if (!write_heartbeat(sender->worker, heartbeat, &incarnation, &sent_at))
        return;
    sender->last_sent_at = lmn_now();
    int status = lmn_http_client_call(sender->clients[sender->controller], "POST",
                                      WIRE_PATH_HEARTBEAT, heartbeat, ANSWER_TIMEOUT_S,
                                      sender->response);
    if (status == STATUS_OK)
        handle_answer(sender, incarnation, sent_at);
    else
        change_controller(sender, status);
}

void *lmn_heartbeat_thread(void *arg)
{
    struct lmn_worker *worker = arg;
    const struct lmn_worker_options *options = worker->options;
    struct sender sender = {.worker = worker, .response = g_byte_array_new()};

    /* Distributes the workers among the controllers. */
    sender.controller = g_str_hash(options->name) % options->controller_count;
    for (unsigned i = 0; i < options->controller_count; i++)
        sender.clients[i] = lmn_http_client_new(options->controllers[i].addr);
    for (;;) {
        wait_until_due(worker, sender.last_sent_at);
        send_heartbeat(&sender);
    }
    return NULL;
}
