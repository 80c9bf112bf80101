/** @file
 * The administration client: a table of commands, each of which makes one call of the RPC
 * server (controller_rpc.x). One thread, no core. */
#include "controller/admin_client.h"
#include "controller/rpc_client.h"
#include "controller_rpc.h"

#include <glib.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { EXIT_DONE = 0, EXIT_REFUSED = 1, EXIT_USAGE = 2 };
/** How often, and how long apart, the progress of a shutdown is shown. */
enum { MAX_PROGRESS_CALLS = 100, PROGRESS_INTERVAL_US = 150000 };

static const struct timeval CALL_TIMEOUT = {5, 0};

/* xdr_void has another type than all other xdr_ functions: the cast by way of a function
 * without parameters says that this is meant. */
#define ENCODE_NOTHING ((xdrproc_t)(void (*)(void))xdr_void)

/** What a command works with. */
struct admin_session {
    const char *address;
    CLIENT *client; /**< NULL: the controller has ended */
    int argc;       /**< of the command, which is argv[0] */
    char **argv;
};

static int fail_without_answer(CLIENT *client)
{
    fprintf(stderr, "lemonspar: %s\n", clnt_sperror(client, "no answer"));
    return EXIT_REFUSED;
}

/** Makes a call that is answered with a text, and prints that. */
static int call_and_print(CLIENT *client, rpcproc_t procedure, xdrproc_t encode,
                          void *message)
{
    struct lmn_rpc_reply reply = {0};

    if (clnt_call(client, procedure, encode, message, (xdrproc_t)xdr_lmn_rpc_reply,
                  (char *)&reply, CALL_TIMEOUT) != RPC_SUCCESS)
        return fail_without_answer(client);
    fprintf(reply.code ? stderr : stdout, "%s%s", reply.text,
            *reply.text && reply.text[strlen(reply.text) - 1] == '\n' ? "" : "\n");
    return reply.code ? EXIT_REFUSED : EXIT_DONE;
}

/* --- commands --- */

static int run_status(struct admin_session *session)
{
    return call_and_print(session->client, LMN_RPC_STATUS, ENCODE_NOTHING, NULL);
}

static int run_members(struct admin_session *session)
{
    u_int as_json = session->argc > 1;

    return call_and_print(session->client, LMN_RPC_MEMBERS, (xdrproc_t)xdr_u_int,
                          &as_json);
}

static int run_get(struct admin_session *session)
{
    struct lmn_rpc_settings settings = {{0, NULL}};

    if (clnt_call(session->client, LMN_RPC_SETTINGS_GET, ENCODE_NOTHING, NULL,
                  (xdrproc_t)xdr_lmn_rpc_settings, (char *)&settings,
                  CALL_TIMEOUT) != RPC_SUCCESS)
        return fail_without_answer(session->client);
    for (u_int i = 0; i < settings.items.items_len; i++)
        printf("%s %g\n", settings.items.items_val[i].name,
               settings.items.items_val[i].value);
    return EXIT_DONE;
}

static int run_set(struct admin_session *session)
{
    struct lmn_rpc_set_request message = {session->argv[1],
                                          strtod(session->argv[2], NULL)};

    return call_and_print(session->client, LMN_RPC_SETTINGS_SET,
                          (xdrproc_t)xdr_lmn_rpc_set_request, &message);
}

static int run_drain(struct admin_session *session)
{
    struct lmn_rpc_machine_request message = {session->argv[1]};

    return call_and_print(session->client, LMN_RPC_DRAIN,
                          (xdrproc_t)xdr_lmn_rpc_machine_request, &message);
}

static int run_balance(struct admin_session *session)
{
    return call_and_print(session->client, LMN_RPC_OWNERSHIP, ENCODE_NOTHING, NULL);
}

/** Cancels a shutdown. */
static int run_join(struct admin_session *session)
{
    u_int shut_down = 0;

    return call_and_print(session->client, LMN_RPC_SHUTDOWN, (xdrproc_t)xdr_u_int,
                          &shut_down);
}

/** Prints a shutdown's progress, unless only its time has changed.
 * @param last what was printed last, up to the time */
static void print_progress(const char *text, char *last, size_t last_size)
{
    const char *progress = strstr(text, ": ");
    /* Up to the first letter e, which follows the number of partitions: the seconds in
     * the rest of the line change all the time. */
    size_t length = progress ? strcspn(progress, "e") : 0;

    if (!progress || strncmp(last, progress, length))
        printf("%s", text);
    snprintf(last, last_size, "%.*s", (int)length, progress ? progress : "");
    fflush(stdout);
}

/** Shuts the controller down, and shows the progress until it has ended. */
static int run_leave(struct admin_session *session)
{
    u_int shut_down = 1;
    char last[256] = "";

    for (int i = 0; i < MAX_PROGRESS_CALLS; i++) {
        struct lmn_rpc_reply reply = {0};
        if (clnt_call(session->client, LMN_RPC_SHUTDOWN, (xdrproc_t)xdr_u_int,
                      (char *)&shut_down, (xdrproc_t)xdr_lmn_rpc_reply, (char *)&reply,
                      CALL_TIMEOUT) != RPC_SUCCESS)
            break;
        print_progress(reply.text, last, sizeof last);
        xdr_free((xdrproc_t)xdr_lmn_rpc_reply, (char *)&reply);
        usleep(PROGRESS_INTERVAL_US);
    }
    clnt_destroy(session->client);
    session->client = lmn_rpc_connect(session->address);
    if (session->client) {
        fprintf(stderr, "lemonspar: %s: it has not ended\n", session->address);
        return EXIT_REFUSED;
    }
    printf("left\n");
    return EXIT_DONE;
}

/* --- the command line --- */

static bool has_no_arguments(int argc, char **argv)
{
    (void)argv;
    return argc == 1;
}

static bool has_one_argument(int argc, char **argv)
{
    (void)argv;
    return argc == 2;
}

static bool may_ask_for_json(int argc, char **argv)
{
    return argc == 1 || (argc == 2 && !strcmp(argv[1], "--json"));
}

/** A name and a number. */
static bool has_setting(int argc, char **argv)
{
    char *end = NULL;

    if (argc != 3)
        return false;
    strtod(argv[2], &end);
    return end != argv[2] && !*end;
}

struct admin_command {
    const char *name;
    bool (*is_valid)(int argc, char **argv); /**< with its name as argv[0] */
    int (*run)(struct admin_session *session);
};

static const struct admin_command COMMANDS[] = {
    {"status", has_no_arguments, run_status}, {"members", may_ask_for_json, run_members},
    {"get", has_no_arguments, run_get},       {"set", has_setting, run_set},
    {"drain", has_one_argument, run_drain},   {"balance", has_no_arguments, run_balance},
    {"leave", has_no_arguments, run_leave},   {"join", has_no_arguments, run_join},
};

/** @return NULL if there is no such command, or its arguments are wrong */
static const struct admin_command *find_command(int argc, char **argv)
{
    for (size_t i = 0; i < G_N_ELEMENTS(COMMANDS); i++)
        if (!strcmp(argv[0], COMMANDS[i].name))
            return COMMANDS[i].is_valid(argc, argv) ? &COMMANDS[i] : NULL;
    return NULL;
}

int lmn_admin_main(const char *address, int argc, char **argv)
{
    const struct admin_command *command = find_command(argc, argv);

    if (!command) {
        fprintf(stderr, "usage: lemonspar admin ADDRESS status | members [--json] | get "
                        "| set NAME VALUE | drain MACHINE | balance | leave | join\n");
        return EXIT_USAGE;
    }
    struct admin_session session = {address, lmn_rpc_connect(address), argc, argv};
    if (!session.client) {
        fprintf(stderr, "lemonspar: %s: no controller answers there\n", address);
        return EXIT_REFUSED;
    }
    int status = command->run(&session);
    if (session.client)
        clnt_destroy(session.client);
    return status;
}
