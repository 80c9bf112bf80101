/* The administration client. */
#include "controller/admin_client.h"
#include "controller/rpc_client.h"
#include "controller_rpc.h"

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const struct timeval patience = {5, 0};

/* xdr_void's type differs from all others'; the detour says that this is meant. */
#define nothing ((xdrproc_t)(void (*)(void))xdr_void)

static int show_reply(CLIENT *client, rpcproc_t proc, xdrproc_t xargs, void *args)
{
    struct lmn_rpc_reply r = {0};

    if (clnt_call(client, proc, xargs, args, (xdrproc_t)xdr_lmn_rpc_reply, (char *)&r,
                  patience) != RPC_SUCCESS) {
        fprintf(stderr, "lemonspar: %s\n", clnt_sperror(client, "no answer"));
        return 1;
    }
    fprintf(r.code ? stderr : stdout, "%s%s", r.text,
            *r.text && r.text[strlen(r.text) - 1] == '\n' ? "" : "\n");
    return r.code ? 1 : 0;
}

static int show_tuning(CLIENT *client)
{
    struct lmn_rpc_settings l = {{0, NULL}};

    if (clnt_call(client, LMN_RPC_SETTINGS_GET, nothing, NULL,
                  (xdrproc_t)xdr_lmn_rpc_settings, (char *)&l, patience) != RPC_SUCCESS) {
        fprintf(stderr, "lemonspar: %s\n", clnt_sperror(client, "no answer"));
        return 1;
    }
    for (u_int i = 0; i < l.items.items_len; i++)
        printf("%s %g\n", l.items.items_val[i].name, l.items.items_val[i].value);
    return 0;
}

/* members, members --json */
static bool asks_members(int argc, char **argv)
{
    return !strcmp(argv[0], "members") &&
           (argc == 1 || (argc == 2 && !strcmp(argv[1], "--json")));
}

/* Shows how far it is until the controller has ended; 0 then. */
static int leave(const char *addr, CLIENT **cl)
{
    u_int yes = 1;
    char last[256] = "";

    for (int i = 0; i < 100 && *cl; i++) {
        struct lmn_rpc_reply r = {0};
        if (clnt_call(*cl, LMN_RPC_SHUTDOWN, (xdrproc_t)xdr_u_int, (char *)&yes,
                      (xdrproc_t)xdr_lmn_rpc_reply, (char *)&r, patience) != RPC_SUCCESS)
            break;
        /* The seconds change all the time. */
        const char *what = strstr(r.text, ": ");
        size_t len = what ? strcspn(what, "e") : 0;
        if (!what || strncmp(last, what, len))
            printf("%s", r.text);
        snprintf(last, sizeof last, "%.*s", (int)len, what ? what : "");
        fflush(stdout);
        xdr_free((xdrproc_t)xdr_lmn_rpc_reply, (char *)&r);
        usleep(150000);
    }
    clnt_destroy(*cl);
    *cl = lmn_rpc_connect(addr);
    if (*cl) {
        fprintf(stderr, "lemonspar: %s: it has not ended\n", addr);
        return 1;
    }
    printf("left\n");
    return 0;
}

int lmn_admin_main(const char *addr, int argc, char **argv)
{
    CLIENT *client;
    char *end = NULL;
    double value = 0;
    int rc = 2;

    static const char *const words[] = {"status", "get", "leave", "join", "balance"};
    bool ok = (argc == 2 && !strcmp(argv[0], "drain")) || asks_members(argc, argv);
    for (size_t i = 0; argc == 1 && i < sizeof words / sizeof *words; i++)
        ok = ok || !strcmp(argv[0], words[i]);
    if (argc == 3 && !strcmp(argv[0], "set")) {
        value = strtod(argv[2], &end);
        ok = end != argv[2] && !*end;
    }
    if (!ok) {
        fprintf(stderr, "usage: lemonspar admin ADDRESS status | members [--json] | get "
                        "| set NAME VALUE | drain MACHINE | balance | leave | join\n");
        return 2;
    }
    client = lmn_rpc_connect(addr);
    if (!client) {
        fprintf(stderr, "lemonspar: %s: no controller answers there\n", addr);
        return 1;
    }
    if (!strcmp(argv[0], "status"))
        rc = show_reply(client, LMN_RPC_STATUS, nothing, NULL);
    else if (!strcmp(argv[0], "members")) {
        u_int json = argc > 1;
        rc = show_reply(client, LMN_RPC_MEMBERS, (xdrproc_t)xdr_u_int, &json);
    } else if (!strcmp(argv[0], "get"))
        rc = show_tuning(client);
    else if (!strcmp(argv[0], "balance"))
        rc = show_reply(client, LMN_RPC_OWNERSHIP, nothing, NULL);
    else if (!strcmp(argv[0], "join")) {
        u_int no = 0;
        rc = show_reply(client, LMN_RPC_SHUTDOWN, (xdrproc_t)xdr_u_int, &no);
    } else if (!strcmp(argv[0], "leave"))
        rc = leave(addr, &client);
    else if (!strcmp(argv[0], "set")) {
        struct lmn_rpc_set_request q = {argv[1], value};
        rc = show_reply(client, LMN_RPC_SETTINGS_SET, (xdrproc_t)xdr_lmn_rpc_set_request,
                        &q);
    } else {
        struct lmn_rpc_machine_request q = {argv[1]};
        rc =
            show_reply(client, LMN_RPC_DRAIN, (xdrproc_t)xdr_lmn_rpc_machine_request, &q);
    }
    if (client)
        clnt_destroy(client);
    return rc;
}
