/** @file
 * Sends heartbeats (worker/heartbeats.h): to one controller until it redirects the worker
 * to another, or can't be reached; then to the next one. */
#include "worker/heartbeats.h"
#include "http/client.h"
#include "protocol/wire.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/thread.h"
#include "worker/worker_state.h"

#include <string.h>

enum { STATUS_OK = 200, STATUS_REDIRECT = 421 };
/* How long an answer is waited for. */
static const double ANSWER_TIMEOUT_S = 4;
/* Between heartbeats for news, at least, so that many changes share one. */
static const double NEWS_INTERVAL_S = 0.5;
/* The interval is random between these shares of the setting: else the heartbeats of
 * workers that were started together would arrive together for ever. */
static const double MIN_INTERVAL_SHARE = 0.75, INTERVAL_SHARE_RANGE = 0.5;
static const double MIN_WAIT_S = 0.01;
/* Before the next controller is tried. */
static const double NEXT_CONTROLLER_DELAY_S = 1;

/* The heartbeat thread's own state. */
struct sender {
    struct lmn_worker *worker;
    struct lmn_http_client *clients[LMN_MAX_CONTROLLERS];
    unsigned controller; /* the index of the one that heartbeats go to */
    struct timespec last_sent_at;
    GByteArray *response;
};

/* Waits until a heartbeat is due: the interval, or sooner if there is news. */
static void wait_until_due(struct lmn_worker *worker, struct timespec last_sent_at)
{
    double share = MIN_INTERVAL_SHARE + INTERVAL_SHARE_RANGE * g_random_double();
    double interval_s = worker->options->heartbeat_s * share;

    pthread_mutex_lock(&worker->lock);
    for (;;) {
        double since_s = lmn_time_diff_s(lmn_now(), last_sent_at);
        double due_s =
            worker->agent.has_news ? MIN(NEWS_INTERVAL_S, interval_s) : interval_s;
        double wait_s = due_s - since_s;
        if (wait_s <= 0 && !worker->agent.is_ending)
            break;
        lmn_cond_wait_for(&worker->heartbeat_due, &worker->lock, MAX(wait_s, MIN_WAIT_S));
    }
    pthread_mutex_unlock(&worker->lock);
}

/* Writes the next heartbeat. Returns false if there is none: the incarnation is ending.
 */
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

/* The controller that a redirection names; the present one if it names no other that is
 * known. */
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

/* The heartbeat did not renew the lease: chooses the controller for the next one, which a
 * redirection makes due at once. */
static void change_controller(struct sender *sender, int status)
{
    struct lmn_worker *worker = sender->worker;
    unsigned next =
        status == STATUS_REDIRECT ? redirection_target(sender) : sender->controller;

    lmn_debug("heartbeat_redirected status=%d to=%s", status,
              worker->options->controllers[next].name);
    pthread_mutex_lock(&worker->lock);
    worker->agent.has_news = true; /* what was not received is still news */
    worker->redirects++;
    pthread_mutex_unlock(&worker->lock);
    if (next != sender->controller) {
        sender->last_sent_at = lmn_time_add(lmn_now(), -1);
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

    /* Spreads the workers over the controllers. */
    sender.controller = g_str_hash(options->name) % options->controller_count;
    for (unsigned i = 0; i < options->controller_count; i++)
        sender.clients[i] = lmn_http_client_new(options->controllers[i].addr);
    for (;;) {
        wait_until_due(worker, sender.last_sent_at);
        send_heartbeat(&sender);
    }
    return NULL;
}
