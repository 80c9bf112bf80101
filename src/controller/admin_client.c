/** @file
 * The administration client: a table of commands, each of which calls one procedure of
 * the controller's RPC server (controller_rpc.x). Single-threaded. */
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
/** Number of calls that show the progress of a shutdown, and the time between them. */
enum { MAX_PROGRESS_CALLS = 100, PROGRESS_INTERVAL_US = 150000 };

static const struct timeval CALL_TIMEOUT = {5, 0};

/* xdr_void has another type than all other xdr_ functions. The intermediate cast to a
 * function without parameters avoids the compiler's warning about incompatible types. */
#define ENCODE_NOTHING ((xdrproc_t)(void (*)(void))xdr_void)

/** The connection and the arguments of a command. */
struct admin_session {
    const char *address;
    CLIENT *client; /**< NULL: the controller has ended */
    int argc;       /**< of the command, which is argv[0] */
    char **argv;
};

/** Prints the error of a call that failed, with the controller's address.
 * @return the exit status */
static int report_failed_call(const struct admin_session *session)
{
    fprintf(stderr, "lemonspar: %s\n", clnt_sperror(session->client, session->address));
    return EXIT_REFUSED;
}

/** Calls a procedure whose reply is a text, and prints the text.
 * @return the exit status */
static int call_and_print(const struct admin_session *session, rpcproc_t procedure,
                          xdrproc_t encode, void *message)
{
    CLIENT *client = session->client;
    struct lmn_rpc_reply reply = {0};

    if (clnt_call(client, procedure, encode, message, (xdrproc_t)xdr_lmn_rpc_reply,
                  (char *)&reply, CALL_TIMEOUT) != RPC_SUCCESS)
        return report_failed_call(session);
    fprintf(reply.code ? stderr : stdout, "%s%s", reply.text,
            *reply.text && reply.text[strlen(reply.text) - 1] == '\n' ? "" : "\n");
    return reply.code ? EXIT_REFUSED : EXIT_DONE;
}

/* --- commands --- */

static int run_status(struct admin_session *session)
{
    return call_and_print(session, LMN_RPC_STATUS, ENCODE_NOTHING, NULL);
}

static int run_members(struct admin_session *session)
{
    u_int as_json = session->argc > 1;

    return call_and_print(session, LMN_RPC_MEMBERS, (xdrproc_t)xdr_u_int, &as_json);
}

static int run_get(struct admin_session *session)
{
    struct lmn_rpc_settings settings = {{0, NULL}};

    if (clnt_call(session->client, LMN_RPC_SETTINGS_GET, ENCODE_NOTHING, NULL,
                  (xdrproc_t)xdr_lmn_rpc_settings, (char *)&settings,
                  CALL_TIMEOUT) != RPC_SUCCESS)
        return report_failed_call(session);
    for (u_int i = 0; i < settings.items.items_len; i++)
        printf("%s %g\n", settings.items.items_val[i].name,
               settings.items.items_val[i].value);
    return EXIT_DONE;
}

static int run_set(struct admin_session *session)
{
    struct lmn_rpc_set_request message = {session->argv[1],
                                          strtod(session->argv[2], NULL)};

    return call_and_print(session, LMN_RPC_SETTINGS_SET,
                          (xdrproc_t)xdr_lmn_rpc_set_request, &message);
}

static int run_drain(struct admin_session *session)
{
    struct lmn_rpc_machine_request message = {session->argv[1]};

    return call_and_print(session, LMN_RPC_DRAIN, (xdrproc_t)xdr_lmn_rpc_machine_request,
                          &message);
}

static int run_balance(struct admin_session *session)
{
    return call_and_print(session, LMN_RPC_OWNERSHIP, ENCODE_NOTHING, NULL);
}

/** Cancels a shutdown. */
static int run_join(struct admin_session *session)
{
    u_int shut_down = 0;

    return call_and_print(session, LMN_RPC_SHUTDOWN, (xdrproc_t)xdr_u_int, &shut_down);
}

/** Prints the progress of a shutdown, unless the number of partitions is as in the last
 * progress.
 * @param last the part of the last progress that contains that number; updated */
static void print_progress(const char *text, char *last, size_t last_size)
{
    const char *progress = strstr(text, ": ");
    /* Compared up to the first letter e, which follows the number of partitions. The rest
     * of the line contains times, which differ in every call. */
    size_t length = progress ? strcspn(progress, "e") : 0;

    if (!progress || strncmp(last, progress, length))
        printf("%s", text);
    snprintf(last, last_size, "%.*s", (int)length, progress ? progress : "");
    fflush(stdout);
}

/** Shuts the controller down gracefully, and shows the progress until it does not answer
 * any more. */
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
        fprintf(stderr,
                "lemonspar: %s: shutdown not finished: the controller still accepts "
                "connections\n",
                session->address);
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

/** Whether the arguments are a setting's name and a number. */
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
    bool (*is_valid)(int argc, char **argv); /**< argv[0] is the command's name */
    int (*run)(struct admin_session *session);
};

static const struct admin_command COMMANDS[] = {
    {"status", has_no_arguments, run_status}, {"members", may_ask_for_json, run_members},
    {"get", has_no_arguments, run_get},       {"set", has_setting, run_set},
    {"drain", has_one_argument, run_drain},   {"balance", has_no_arguments, run_balance},
    {"leave", has_no_arguments, run_leave},   {"join", has_no_arguments, run_join},
};

/** @return NULL if there is no such command, or its arguments are invalid */
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
        fprintf(stderr, "lemonspar: %s: cannot connect to a controller\n", address);
        return EXIT_REFUSED;
    }
    int status = command->run(&session);
    if (session.client)
        clnt_destroy(session.client);
    return status;
}
