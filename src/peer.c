#include "peer.h"
#include "log.h"
#include "thread.h"

#include "peer_wire.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static struct lmn_core *core;

/* xdr_void's type differs from all others'; the detour says that this is meant. */
#define nothing ((xdrproc_t)(void (*)(void))xdr_void)

static void show_partition(GString *s, const struct lmn_partition *p, const struct lmn_settings *cfg)
{
    GHashTableIter it;
    gpointer v;
    guint queued = 0, running = 0;

    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *m = v;
        queued += m->queue.tasks;
        running += m->attempts->len;
    }
    g_string_append_printf(s,
                           "partition %d owner=%s term=%" G_GUINT64_FORMAT
                           " mine=%d ready=%d machines=%u ranges=%u queued=%u limbo=%u held=%u\n",
                           p->id, *p->owner ? p->owner : "-", p->owner_term, p->mine, p->ready,
                           g_hash_table_size(p->machines), g_hash_table_size(p->ranges), queued,
                           p->limbo.tasks, running);
    for (size_t i = 0; p->mine && i < cfg->nteams; i++)
        g_string_append_printf(s, "  team %s cpus=%.1f gpus=%.1f\n", cfg->teams[i].name,
                               p->used_cpus[i], p->used_gpus[i]);
    g_hash_table_iter_init(&it, p->machines);
    while (p->mine && g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *m = v;
        g_string_append_printf(s, "  machine %s type=%s zone=%s spot=%d cpus=%.1f queued=%u%s%s%s\n",
                               m->name, m->type_name, m->zone, m->spot, m->used_cpus,
                               m->queue.tasks, m->accounted ? "" : " unaccounted",
                               m->retiring ? " retiring" : "", m->lapsed ? " lapsed" : "");
    }
}

static char *status_text(void)
{
    GString *s = g_string_new(NULL);

    pthread_mutex_lock(&core->lock);
    g_string_append_printf(s, "node %s lease=%" G_GUINT64_FORMAT " stale=%.1f jobs=%u\n",
                           core->cfg->node, core->lease, lmn_staleness(core, lmn_now()),
                           g_hash_table_size(core->jobs));
    for (int i = 0; i < core->nparts; i++)
        show_partition(s, &core->parts[i], core->cfg);
    const struct lmn_counters *n = &core->count;
    g_string_append_printf(s,
                           "counts submissions=%" G_GUINT64_FORMAT " polls=%" G_GUINT64_FORMAT
                           " reports=%" G_GUINT64_FORMAT " starts=%" G_GUINT64_FORMAT
                           " kills=%" G_GUINT64_FORMAT " steal_tries=%" G_GUINT64_FORMAT
                           " steals=%" G_GUINT64_FORMAT " stolen=%" G_GUINT64_FORMAT
                           " takeovers=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT "\n",
                           n->submissions, n->polls, n->reports, n->starts, n->kills,
                           n->steal_tries, n->steals, n->stolen_tasks, n->takeovers, n->refused);
    pthread_mutex_unlock(&core->lock);
    return g_string_free(s, FALSE);
}

/* Settings are changed by compare-and-set on their one record. */
static int tuning_set(const char *name, double value, char *err, size_t len)
{
    struct lmn_http *h = lmn_http_new(core->cfg->state);
    enum lmn_outcome r = LMN_CONFLICT;

    for (int tries = 0; tries < 5 && r == LMN_CONFLICT; tries++) {
        uint64_t rev = 0;
        pthread_mutex_lock(&core->lock);
        struct lmn_tuning t = core->tuning;
        uint64_t seen = core->tuning_rev;
        pthread_mutex_unlock(&core->lock);
        if (lmn_tuning_set(&t, name, value, err, len) != 0) {
            lmn_http_free(h);
            return -1;
        }
        struct lmn_txn *txn = lmn_txn_new(LMN_RANK_OWNER, NULL, NULL);
        lmn_txn_if(txn, "s", seen);
        lmn_txn_write(txn, "s", lmn_tuning_record(&t), 0);
        r = lmn_state_send(core->state, h, txn, &rev, NULL);
        lmn_txn_free(txn);
        if (r == LMN_CONFLICT)
            lmn_sleep(0.2);
    }
    lmn_http_free(h);
    if (r == LMN_OK)
        return 0;
    snprintf(err, len, "the state service did not take it (%s); look, and try again",
             r == LMN_UNKNOWN ? "outcome unknown" : r == LMN_REFUSED ? "refused" : "conflict");
    return -1;
}

static int drain(const char *name, char *err, size_t len)
{
    struct lmn_partition *p = &core->parts[lmn_partition_of(name, core->nparts)];
    int rc = -1;

    pthread_mutex_lock(&core->lock);
    struct lmn_machine *m = g_hash_table_lookup(p->machines, name);
    if (p->mine && m) {
        lmn_machine_retire(core, m, false, "drained by an operator", lmn_now());
        rc = 0;
    } else if (p->mine) {
        snprintf(err, len, "%s: no such machine", name);
    } else {
        snprintf(err, len, "%s: ask its owner, %s", name, *p->owner ? p->owner : "nobody now");
    }
    pthread_mutex_unlock(&core->lock);
    return rc;
}

static void dispatch(struct svc_req *rq, SVCXPRT *x)
{
    char err[256] = "done";

    switch (rq->rq_proc) {
    case LMN_PING:
        svc_sendreply(x, nothing, NULL);
        return;
    case LMN_STATUS: {
        struct lmn_reply r = {0, status_text()};
        if (strlen(r.text) >= LMN_XDR_TEXT)
            r.text[LMN_XDR_TEXT - 1] = '\0';
        svc_sendreply(x, (xdrproc_t)xdr_lmn_reply, (char *)&r);
        g_free(r.text);
        return;
    }
    case LMN_TUNING_GET: {
        struct lmn_tuning_item items[LMN_XDR_TUNINGS];
        struct lmn_tuning_list l = {{0, items}};
        pthread_mutex_lock(&core->lock);
        for (size_t i = 0; lmn_tuning_name(i) && i < LMN_XDR_TUNINGS; i++) {
            items[i].name = (char *)lmn_tuning_name(i);
            items[i].value = lmn_tuning_value(&core->tuning, i);
            l.items.items_len++;
        }
        pthread_mutex_unlock(&core->lock);
        svc_sendreply(x, (xdrproc_t)xdr_lmn_tuning_list, (char *)&l);
        return;
    }
    case LMN_TUNING_SET: {
        struct lmn_set_request q = {0};
        if (!svc_getargs(x, (xdrproc_t)xdr_lmn_set_request, (char *)&q)) {
            svcerr_decode(x);
            return;
        }
        struct lmn_reply r = {tuning_set(q.name, q.value, err, sizeof err), err};
        svc_sendreply(x, (xdrproc_t)xdr_lmn_reply, (char *)&r);
        svc_freeargs(x, (xdrproc_t)xdr_lmn_set_request, (char *)&q);
        return;
    }
    case LMN_DRAIN: {
        struct lmn_machine_request q = {0};
        if (!svc_getargs(x, (xdrproc_t)xdr_lmn_machine_request, (char *)&q)) {
            svcerr_decode(x);
            return;
        }
        struct lmn_reply r = {drain(q.machine, err, sizeof err), err};
        svc_sendreply(x, (xdrproc_t)xdr_lmn_reply, (char *)&r);
        svc_freeargs(x, (xdrproc_t)xdr_lmn_machine_request, (char *)&q);
        return;
    }
    default:
        svcerr_noproc(x);
    }
}

static void *serve(void *arg)
{
    (void)arg;
    svc_run();
    lmn_error("peer-server-ended");
    return NULL;
}

int lmn_peer_start(struct lmn_core *c)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    char host[LMN_ADDR];
    int port, one = 1, fd = socket(AF_INET, SOCK_STREAM, 0);

    core = c;
    if (fd < 0 || lmn_addr_split(c->cfg->peer_listen, host, sizeof host, &port) != 0)
        return -1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    a.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &a.sin_addr);
    if (bind(fd, (struct sockaddr *)&a, sizeof a) != 0 || listen(fd, 16) != 0) {
        close(fd);
        return -1;
    }
    SVCXPRT *x = svc_vc_create(fd, 0, 0);
    /* No port mapper: the members' addresses are in the settings. */
    if (!x || !svc_reg(x, LMN_PROGRAM, LMN_VERSION_1, dispatch, NULL))
        return -1;
    lmn_thread(serve, NULL);
    return 0;
}

/* --- the administration client --- */

static const struct timeval patience = {5, 0};

static CLIENT *dial(const char *addr)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    struct netbuf nb = {sizeof a, sizeof a, &a};
    char host[LMN_ADDR];
    int port, fd;

    if (lmn_addr_split(addr, host, sizeof host, &port) != 0)
        return NULL;
    a.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &a.sin_addr);
    fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0 || connect(fd, (struct sockaddr *)&a, sizeof a) != 0)
        return NULL;
    CLIENT *cl = clnt_vc_create(fd, &nb, LMN_PROGRAM, LMN_VERSION_1, 0, 0);
    if (cl)
        clnt_control(cl, CLSET_FD_CLOSE, NULL);
    return cl;
}

static int show_reply(CLIENT *cl, rpcproc_t proc, xdrproc_t xargs, void *args)
{
    struct lmn_reply r = {0};

    if (clnt_call(cl, proc, xargs, args, (xdrproc_t)xdr_lmn_reply, (char *)&r, patience) !=
        RPC_SUCCESS) {
        fprintf(stderr, "lemonspar: %s\n", clnt_sperror(cl, "no answer"));
        return 1;
    }
    fprintf(r.code ? stderr : stdout, "%s%s", r.text,
            *r.text && r.text[strlen(r.text) - 1] == '\n' ? "" : "\n");
    return r.code ? 1 : 0;
}

static int show_tuning(CLIENT *cl)
{
    struct lmn_tuning_list l = {{0, NULL}};

    if (clnt_call(cl, LMN_TUNING_GET, nothing, NULL,
                  (xdrproc_t)xdr_lmn_tuning_list, (char *)&l, patience) != RPC_SUCCESS) {
        fprintf(stderr, "lemonspar: %s\n", clnt_sperror(cl, "no answer"));
        return 1;
    }
    for (u_int i = 0; i < l.items.items_len; i++)
        printf("%s %g\n", l.items.items_val[i].name, l.items.items_val[i].value);
    return 0;
}

int lmn_admin_main(const char *addr, int argc, char **argv)
{
    CLIENT *cl;
    char *end = NULL;
    double value = 0;
    int rc = 2;

    bool ok = (argc == 1 && (!strcmp(argv[0], "status") || !strcmp(argv[0], "get"))) ||
              (argc == 2 && !strcmp(argv[0], "drain"));
    if (argc == 3 && !strcmp(argv[0], "set")) {
        value = strtod(argv[2], &end);
        ok = end != argv[2] && !*end;
    }
    if (!ok) {
        fprintf(stderr, "usage: lemonspar admin ADDRESS status | get | set NAME VALUE | "
                        "drain MACHINE\n");
        return 2;
    }
    cl = dial(addr);
    if (!cl) {
        fprintf(stderr, "lemonspar: %s: no controller answers there\n", addr);
        return 1;
    }
    if (!strcmp(argv[0], "status"))
        rc = show_reply(cl, LMN_STATUS, nothing, NULL);
    else if (!strcmp(argv[0], "get"))
        rc = show_tuning(cl);
    else if (!strcmp(argv[0], "set")) {
        struct lmn_set_request q = {argv[1], value};
        rc = show_reply(cl, LMN_TUNING_SET, (xdrproc_t)xdr_lmn_set_request, &q);
    } else {
        struct lmn_machine_request q = {argv[1]};
        rc = show_reply(cl, LMN_DRAIN, (xdrproc_t)xdr_lmn_machine_request, &q);
    }
    clnt_destroy(cl);
    return rc;
}
