/** @file
 * The RPC server: a table of calls, each with its decoder, handler and encoder.
 *
 * One thread (`serve`) reads all connections and runs the handlers one after the other. A
 * handler takes the core's lock for the state that it reads or changes; the lock is not
 * held when a handler is called or when a reply is sent. A reply belongs to the thread
 * until it is sent. */
#include "controller/rpc_server.h"
#include "controller/members_report.h"
#include "controller/ownership_report.h"
#include "controller/probe_client.h"
#include "controller/replication_thread.h"
#include "controller/settings_writer.h"
#include "controller/status.h"
#include "controller/steal_handler.h"
#include "controller/unschedulable_message.h"
#include "partition/partition.h"
#include "scheduler/queue.h"
#include "state/core.h"
#include "util/log.h"
#include "util/thread.h"
#include "controller_rpc.h"

#include <arpa/inet.h>
#include <rpc/rpc.h>
#include <rpc/rpc_com.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum {
    LISTEN_BACKLOG = 16,
    MAX_RECORD_BYTES = 256 * 1024,
    ERROR_SIZE = 256,
    MS_PER_S = 1000,
};

/** Longer ages are reported as this value, so that they fit the reply, an unsigned
 * integer in milliseconds. */
static const double MAX_REPORTED_AGE_S = 1e6;

/** The core that `dispatch` passes to the handlers. Global because the ONC RPC library
 * passes no user data to the registered function. Set once, before the server's thread is
 * started. */
static struct lmn_core *served_core;

/** The argument of a call; the procedure determines which member is valid. */
union rpc_message {
    u_int number;
    struct lmn_rpc_set_request setting;
    struct lmn_rpc_machine_request machine;
    struct lmn_rpc_steal_request steal;
    struct lmn_rpc_quota_request quota;
    struct lmn_rpc_probe probe;
    struct lmn_rpc_replication_batch batch;
    struct lmn_rpc_tombstones tombstones;
    struct lmn_rpc_unschedulable_list unschedulable;
};

/** The result of a call, and the memory into which it points. The procedure determines
 * which member of `body` is valid. */
struct rpc_response {
    union {
        u_int number;
        struct lmn_rpc_reply reply; /**< its text is freed after sending */
        struct lmn_rpc_settings settings;
        struct lmn_rpc_probe_reply probe;
    } body;
    struct lmn_rpc_setting settings[LMN_RPC_MAX_ITEMS];
    struct lmn_probe_reply_buffer probe_buffer;
};

/** Handles a call. Takes the core's lock if it needs it. */
typedef void rpc_handler(struct lmn_core *core, const union rpc_message *message,
                         struct rpc_response *response);

struct rpc_call {
    rpcproc_t procedure;
    xdrproc_t decode; /**< decoder of the argument; NULL: the call has none */
    rpc_handler *handle;
    xdrproc_t encode; /**< encoder of the response's body */
};

/* xdr_void has another type than all other xdr_ functions. The intermediate cast to a
 * function without parameters avoids the compiler's warning about incompatible types. */
#define ENCODE_NOTHING ((xdrproc_t)(void (*)(void))xdr_void)

/* --- handlers of the administration client's calls --- */

static void handle_ping(struct lmn_core *core, const union rpc_message *message,
                        struct rpc_response *response)
{
    (void)core;
    (void)message;
    (void)response;
}

static void handle_status(struct lmn_core *core, const union rpc_message *message,
                          struct rpc_response *response)
{
    char *text = lmn_status_report(core);
    (void)message;

    /* A longer text cannot be encoded. A truncated report is still useful. */
    if (strlen(text) >= LMN_RPC_MAX_TEXT)
        text[LMN_RPC_MAX_TEXT - 1] = '\0';
    response->body.reply.text = text;
}

static void handle_settings_get(struct lmn_core *core, const union rpc_message *message,
                                struct rpc_response *response)
{
    u_int count = 0;
    (void)message;

    pthread_mutex_lock(&core->lock);
    for (; lmn_operator_settings_name(count) && count < LMN_RPC_MAX_ITEMS; count++)
        response->settings[count] = (struct lmn_rpc_setting){
            (char *)lmn_operator_settings_name(count),
            lmn_operator_settings_value(&core->cache.operator_settings, count)};
    pthread_mutex_unlock(&core->lock);
    response->body.settings.items.items_len = count;
    response->body.settings.items.items_val = response->settings;
}

static void handle_settings_set(struct lmn_core *core, const union rpc_message *message,
                                struct rpc_response *response)
{
    char text[ERROR_SIZE] = "done";

    response->body.reply.code = lmn_operator_settings_write(
        core, message->setting.name, message->setting.value, text, sizeof text);
    response->body.reply.text = g_strdup(text);
}

static void handle_drain(struct lmn_core *core, const union rpc_message *message,
                         struct rpc_response *response)
{
    const char *name = message->machine.machine;
    struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    struct lmn_rpc_reply *reply = &response->body.reply;

    pthread_mutex_lock(&core->lock);
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);
    if (partition->ownership.is_owned && machine) {
        lmn_machine_drain(core, machine, false, "drained by an operator", lmn_now());
        reply->text = g_strdup("done");
    } else if (partition->ownership.is_owned) {
        reply->code = -1;
        reply->text =
            g_strdup_printf("%s: no such machine in partition %d", name, partition->id);
    } else if (*partition->record.owner) {
        reply->code = -1;
        reply->text = g_strdup_printf(
            "%s: partition %d is owned by controller %s; send the command there", name,
            partition->id, partition->record.owner);
    } else {
        reply->code = -1;
        reply->text = g_strdup_printf("%s: partition %d has no owner now; retry later",
                                      name, partition->id);
    }
    pthread_mutex_unlock(&core->lock);
}

static void handle_members(struct lmn_core *core, const union rpc_message *message,
                           struct rpc_response *response)
{
    response->body.reply.text = lmn_members_report(core, message->number != 0);
}

static void handle_shutdown(struct lmn_core *core, const union rpc_message *message,
                            struct rpc_response *response)
{
    response->body.reply.code =
        lmn_shutdown_handle(core, message->number != 0, &response->body.reply.text);
}

static void handle_ownership(struct lmn_core *core, const union rpc_message *message,
                             struct rpc_response *response)
{
    (void)message;
    response->body.reply.text = lmn_ownership_report(core);
}

/* --- handlers of the other controllers' calls --- */

static void handle_load(struct lmn_core *core, const union rpc_message *message,
                        struct rpc_response *response)
{
    response->body.number = lmn_steal_load_handle(core, &message->steal);
}

static void handle_steal(struct lmn_core *core, const union rpc_message *message,
                         struct rpc_response *response)
{
    response->body.number = lmn_steal_transfer_handle(core, &message->steal);
}

static void handle_staleness(struct lmn_core *core, const union rpc_message *message,
                             struct rpc_response *response)
{
    (void)message;
    pthread_mutex_lock(&core->lock);
    double age_s = lmn_watch_cache_age_s(core, lmn_now());
    pthread_mutex_unlock(&core->lock);
    response->body.number = (u_int)(MIN(age_s, MAX_REPORTED_AGE_S) * MS_PER_S);
}

static void handle_quota(struct lmn_core *core, const union rpc_message *message,
                         struct rpc_response *response)
{
    response->body.number = lmn_quota_rpc_handle(core, &message->quota);
}

static void handle_probe(struct lmn_core *core, const union rpc_message *message,
                         struct rpc_response *response)
{
    lmn_probe_handle(core, &message->probe, &response->body.probe,
                     &response->probe_buffer);
}

static void handle_replicate(struct lmn_core *core, const union rpc_message *message,
                             struct rpc_response *response)
{
    response->body.number = lmn_replication_receive(core, &message->batch);
}

static void handle_tombstones(struct lmn_core *core, const union rpc_message *message,
                              struct rpc_response *response)
{
    response->body.number = lmn_tombstones_handle(core, &message->tombstones);
}

static void handle_unschedulable(struct lmn_core *core, const union rpc_message *message,
                                 struct rpc_response *response)
{
    response->body.number =
        lmn_unschedulable_message_handle(core, &message->unschedulable);
}

/* --- the server --- */

#define XDR(type) ((xdrproc_t)xdr_##type)

static const struct rpc_call CALLS[] = {
    {LMN_RPC_PING, NULL, handle_ping, ENCODE_NOTHING},
    {LMN_RPC_STATUS, NULL, handle_status, XDR(lmn_rpc_reply)},
    {LMN_RPC_SETTINGS_GET, NULL, handle_settings_get, XDR(lmn_rpc_settings)},
    {LMN_RPC_SETTINGS_SET, XDR(lmn_rpc_set_request), handle_settings_set,
     XDR(lmn_rpc_reply)},
    {LMN_RPC_DRAIN, XDR(lmn_rpc_machine_request), handle_drain, XDR(lmn_rpc_reply)},
    {LMN_RPC_LOAD, XDR(lmn_rpc_steal_request), handle_load, XDR(u_int)},
    {LMN_RPC_STEAL, XDR(lmn_rpc_steal_request), handle_steal, XDR(u_int)},
    {LMN_RPC_STALENESS, NULL, handle_staleness, XDR(u_int)},
    {LMN_RPC_QUOTA, XDR(lmn_rpc_quota_request), handle_quota, XDR(u_int)},
    {LMN_RPC_PROBE, XDR(lmn_rpc_probe), handle_probe, XDR(lmn_rpc_probe_reply)},
    {LMN_RPC_MEMBERS, XDR(u_int), handle_members, XDR(lmn_rpc_reply)},
    {LMN_RPC_REPLICATE, XDR(lmn_rpc_replication_batch), handle_replicate, XDR(u_int)},
    {LMN_RPC_SHUTDOWN, XDR(u_int), handle_shutdown, XDR(lmn_rpc_reply)},
    {LMN_RPC_OWNERSHIP, NULL, handle_ownership, XDR(lmn_rpc_reply)},
    {LMN_RPC_TOMBSTONES, XDR(lmn_rpc_tombstones), handle_tombstones, XDR(u_int)},
    {LMN_RPC_UNSCHEDULABLE, XDR(lmn_rpc_unschedulable_list), handle_unschedulable,
     XDR(u_int)},
};

/** @return NULL if there is no such procedure */
static const struct rpc_call *find_call(rpcproc_t procedure)
{
    for (size_t i = 0; i < G_N_ELEMENTS(CALLS); i++)
        if (CALLS[i].procedure == procedure)
            return &CALLS[i];
    return NULL;
}

/** Handles a call. Called by the ONC RPC library when the call has been received. */
static void dispatch(struct svc_req *request, SVCXPRT *transport)
{
    const struct rpc_call *call = find_call(request->rq_proc);
    union rpc_message message;
    struct rpc_response response;

    /* The decoder allocates memory only where it finds a null pointer, and an initializer
     * of the union might not clear more than its first member. */
    memset(&message, 0, sizeof message);
    memset(&response, 0, sizeof response);
    if (!call) {
        svcerr_noproc(transport);
        return;
    }
    if (call->decode && !svc_getargs(transport, call->decode, (char *)&message)) {
        svcerr_decode(transport);
        return;
    }
    call->handle(served_core, &message, &response);
    svc_sendreply(transport, call->encode, (char *)&response.body);
    if (call->decode)
        svc_freeargs(transport, call->decode, (char *)&message);
    if (call->encode == XDR(lmn_rpc_reply))
        g_free(response.body.reply.text);
}

static void *serve(void *arg)
{
    (void)arg;
    svc_run();
    lmn_error("rpc_server_ended");
    return NULL;
}

/** @return a listening socket, or -1 */
static int listen_on(const char *address)
{
    struct sockaddr_in socket_address = {.sin_family = AF_INET};
    char host[LMN_ADDRESS_SIZE];
    int port, reuse = 1, fd = socket(AF_INET, SOCK_STREAM, 0);

    if (fd < 0)
        return -1;
    if (lmn_address_split(address, host, sizeof host, &port) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    socket_address.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &socket_address.sin_addr);
    if (bind(fd, (struct sockaddr *)&socket_address, sizeof socket_address) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int lmn_rpc_server_start(struct lmn_core *core)
{
    int fd = listen_on(core->settings->internal_address);

    if (fd < 0)
        return -1;
    served_core = core;
    /* With a limit on the record size, the library reads the connections without
     * blocking, so that an incomplete request on one does not delay the others. */
    int max_record_bytes = MAX_RECORD_BYTES;
    rpc_control(RPC_SVC_CONNMAXREC_SET, &max_record_bytes);
    SVCXPRT *transport = svc_vc_create(fd, 0, 0);
    /* Protocol 0 registers the program without a port mapper, which is not needed: the
     * members' addresses are in the settings. */
    if (!transport ||
        !svc_reg(transport, LMN_RPC_PROGRAM, LMN_RPC_VERSION_1, dispatch, NULL))
        return -1;
    lmn_thread_start_detached(serve, NULL);
    return 0;
}
