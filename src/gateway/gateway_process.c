#include "util/clock.h"
#include "config/config.h"
#include "util/log.h"
#include "util/thread.h"
#include "gateway/gateway_internal.h"

#include <curl/curl.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

double lmn_job_spec_total_cpus(const struct lmn_job_spec *s)
{
    return s->tasks * MAX(s->cpus, 0.01);
}

static void add_left(const struct lmn_job_spec *s, const struct lmn_progress *p,
                     double *cpus, double *work_s)
{
    double left = (s->tasks - MIN(p->done, s->tasks)) * MAX(s->cpus, 0.01);

    *cpus += left;
    *work_s += left * MAX(s->estimate_s, 0.1);
}

void lmn_gateway_local_load(const struct lmn_gateway *g, double *cpus, double *work_s)
{
    GHashTableIter it;
    gpointer v;

    *cpus = *work_s = 0;
    g_hash_table_iter_init(&it, g->book.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_gateway_job *j = v;
        if (j->hand.state == LMN_ORIGIN_LOCAL)
            add_left(&j->spec, &j->progress, cpus, work_s);
    }
    g_hash_table_iter_init(&it, g->book.open_guests);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_remote_job *x = v;
        if (x->hand.state == LMN_EXECUTION_RUNNING)
            add_left(&x->spec, &x->progress, cpus, work_s);
    }
}

double lmn_gateway_queued_cpu_s(const struct lmn_gateway *g)
{
    GHashTableIter it;
    gpointer v;
    double sum = 0;

    g_hash_table_iter_init(&it, g->book.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_gateway_job *j = v;
        if (j->hand.state == LMN_ORIGIN_QUEUED && !j->busy)
            sum += lmn_job_spec_total_cpus(&j->spec) * MAX(j->spec.estimate_s, 0.1);
    }
    return sum;
}

static gint by_order(gconstpointer a, gconstpointer b)
{
    const struct lmn_gateway_job *x = *(struct lmn_gateway_job *const *)a,
                                 *y = *(struct lmn_gateway_job *const *)b;

    if (x->spec.urgency != y->spec.urgency)
        return x->spec.urgency > y->spec.urgency ? -1 : 1;
    return x->at < y->at ? -1 : x->at > y->at;
}

GPtrArray *lmn_gateway_waiting_jobs(const struct lmn_gateway *g)
{
    GPtrArray *v = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;

    g_hash_table_iter_init(&it, g->book.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct lmn_gateway_job *j = p;
        if (j->hand.state == LMN_ORIGIN_QUEUED && !j->busy)
            g_ptr_array_add(v, j);
    }
    g_ptr_array_sort(v, by_order);
    return v;
}

struct lmn_gateway_peer *lmn_gateway_peer_by_site(struct lmn_gateway *g, const char *site)
{
    for (unsigned i = 0; i < g->o->npeers; i++)
        if (!strcmp(g->o->peers[i].site, site))
            return &g->peers[i];
    return NULL;
}

void lmn_gateway_peer_wake(struct lmn_gateway *g, const char *site)
{
    struct lmn_gateway_peer *p = lmn_gateway_peer_by_site(g, site);

    if (!p)
        return;
    p->news = true;
    pthread_cond_signal(&p->due);
}

/* --- after a restore --- */

/* Everything whose fate may lie in what was lost: fenced here, stopped there. */
static void fence(struct lmn_gateway *g)
{
    struct lmn_http_client *h = lmn_http_client_new(g->o->state);
    GArray *all = g_array_new(FALSE, TRUE, sizeof(struct lmn_record_write));
    GHashTableIter it;
    gpointer v;

    pthread_mutex_lock(&g->book.lock);
    g_hash_table_iter_init(&it, g->book.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_gateway_job *j = v;
        struct lmn_record_write w = {.job = j, .home = j->hand};
        if (!lmn_origin_restored(&w.home))
            continue;
        j->busy = true;
        g_array_append_val(all, w);
    }
    g_hash_table_iter_init(&it, g->book.guests);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_remote_job *x = v;
        struct lmn_record_write w = {.guest = x, .host = x->hand};
        if (!lmn_execution_restored(&w.host))
            continue;
        x->busy = true;
        g_array_append_val(all, w);
    }
    pthread_mutex_unlock(&g->book.lock);
    lmn_error("state-restored fenced=%u mend=\"lemonspar gateway unfence, once it is "
              "known that "
              "nothing of them runs\"",
              all->len);
    lmn_gateway_records_write(&g->book, h, (struct lmn_record_write *)(void *)all->data,
                              all->len);
    g_array_free(all, TRUE);
    lmn_http_client_free(h);
}

/* A peer that is silent for too long is said once, and once more when it is heard again.
 */
static void watch_peers(struct lmn_gateway *g)
{
    pthread_mutex_lock(&g->book.lock);
    for (unsigned i = 0; i < g->o->npeers; i++) {
        struct lmn_gateway_peer *p = &g->peers[i];
        double silent = lmn_time_diff_s(lmn_now(), p->heard);
        if (!p->alarmed && silent > g->o->silent_s)
            lmn_error("peer-silent site=%s seconds=%.0f why=\"%s\"", g->o->peers[i].site,
                      silent, p->why);
        else if (p->alarmed && silent <= g->o->silent_s)
            lmn_info("peer-heard-again site=%s", g->o->peers[i].site);
        p->alarmed = silent > g->o->silent_s;
    }
    pthread_mutex_unlock(&g->book.lock);
}

int lmn_gateway_run(const struct lmn_gateway_options *o, char *err, size_t len)
{
    struct lmn_gateway *g = g_new0(struct lmn_gateway, 1);
    bool restored;

    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_NOTHING);
    g->o = o;
    g->rng = g_rand_new();
    g->tls = lmn_tls_new(o->keys, o->site, o->peers, &o->npeers, err, len);
    if (!g->tls)
        return -1;
    lmn_info("gateway-start site=%s name=%s peers=%u", o->site, o->name, o->npeers);
    lmn_gateway_records_open(&g->book, o->state, o->name, o->txn_ops, &restored);
    if (restored)
        fence(g);
    lmn_cond_init(&g->calls_more);
    for (unsigned i = 0; i < o->npeers; i++) {
        struct lmn_gateway_peer *p = &g->peers[i];
        p->g = g;
        p->index = i;
        p->heard = p->synced = lmn_now();
        lmn_cond_init(&p->due);
        g_queue_init(&p->refusals);
    }
    if (lmn_gateway_http_start(g) != 0) {
        g_snprintf(err, len, "%s: can't listen", o->listen);
        return -1;
    }
    if (lmn_origin_start(g, err, len) != 0)
        return -1;
    for (unsigned i = 0; i < o->npeers; i++)
        lmn_thread(lmn_execution_thread, &g->peers[i]);
    lmn_thread(lmn_cluster_client_thread, g);
    lmn_thread(lmn_gateway_pull_thread, g);
    for (unsigned turn = 0;; turn++) {
        lmn_sleep(0.1);
        /* While the state service does not answer, users are told so, and when to come
         * back. */
        lmn_http_server_expire_deferred(g->server);
        if (turn % 10 == 0)
            watch_peers(g);
    }
}

/* --- settings --- */

static unsigned names(struct lmn_config *c, const char *path, unsigned most, bool addr,
                      char *out, size_t each)
{
    guint n = lmn_config_count(c, path);
    char p[96];

    if (n < 1 || n > most)
        lmn_config_fail(c, path, "expected 1 to %u of them", most);
    for (guint i = 0; i < MIN(n, most); i++) {
        g_snprintf(p, sizeof p, "%s[%u]", path, i);
        g_strlcpy(out + i * each,
                  addr ? lmn_config_address(c, p, NULL) : lmn_config_name(c, p, NULL),
                  each);
    }
    return MIN(n, most);
}

static void read_peers(struct lmn_config *c, struct lmn_gateway_options *o)
{
    guint n = lmn_config_count(c, "peers");
    char p[96];

    if (n > LMN_MAX_PEERS)
        lmn_config_fail(c, "peers", "expected at most %d", LMN_MAX_PEERS);
    for (guint i = 0; i < MIN(n, LMN_MAX_PEERS); i++) {
        struct lmn_peer_key *k = &o->peers[o->npeers];
        g_snprintf(p, sizeof p, "peers[%u].site", i);
        g_strlcpy(k->site, lmn_config_name(c, p, NULL), sizeof k->site);
        for (unsigned x = 0; x < o->npeers; x++)
            if (!strcmp(o->peers[x].site, k->site))
                lmn_config_fail(c, p, "named twice");
        if (!strcmp(k->site, o->site))
            lmn_config_fail(c, p, "names this site itself");
        g_snprintf(p, sizeof p, "peers[%u].addresses", i);
        guint gateways = lmn_config_count(c, p);
        if (gateways > LMN_GATEWAY_MAX_ADDRESSES)
            lmn_config_fail(c, p, "expected at most %d", LMN_GATEWAY_MAX_ADDRESSES);
        for (guint a = 0; a < MIN(gateways, LMN_GATEWAY_MAX_ADDRESSES); a++) {
            g_snprintf(p, sizeof p, "peers[%u].addresses[%u]", i, a);
            g_strlcpy(o->addresses[o->npeers][a], lmn_config_address(c, p, NULL),
                      LMN_ADDRESS_SIZE);
        }
        g_snprintf(p, sizeof p, "peers[%u].address", i);
        if (!gateways)
            g_strlcpy(o->addresses[o->npeers][0], lmn_config_address(c, p, NULL),
                      LMN_ADDRESS_SIZE);
        g_snprintf(p, sizeof p, "peers[%u].fingerprint", i);
        g_strlcpy(k->fingerprint, lmn_config_text(c, p, NULL), sizeof k->fingerprint);
        if (strlen(k->fingerprint) != LMN_FINGERPRINT - 1 ||
            strspn(k->fingerprint, "0123456789abcdefABCDEF") != LMN_FINGERPRINT - 1)
            lmn_config_fail(
                c, p,
                "expected 64 digits of hexadecimal: 'lemonspar key show' there "
                "says them");
        o->npeers++;
    }
}

int lmn_gateway_load(const char *path, struct lmn_gateway_options *o, char *err,
                     size_t len)
{
    struct lmn_config *c = lmn_config_load(path, err, len);

    memset(o, 0, sizeof *o);
    if (!c)
        return -1;
    g_strlcpy(o->site, lmn_config_name(c, "site", NULL), sizeof o->site);
    g_strlcpy(o->name, lmn_config_name(c, "name", "gateway-0"), sizeof o->name);
    g_strlcpy(o->listen, lmn_config_address(c, "listen", NULL), sizeof o->listen);
    g_strlcpy(o->link_listen, lmn_config_address(c, "link_listen", NULL),
              sizeof o->link_listen);
    g_strlcpy(o->state, lmn_config_address(c, "state", NULL), sizeof o->state);
    g_strlcpy(o->depot, lmn_config_address(c, "depot", NULL), sizeof o->depot);
    g_strlcpy(o->keys, lmn_config_text(c, "keys", NULL), sizeof o->keys);
    o->ncontrollers = names(c, "controllers", LMN_GATEWAY_MAX_CONTROLLERS, true,
                            o->controllers[0], LMN_ADDRESS_SIZE);
    o->teams =
        g_malloc0_n(CLAMP(lmn_config_count(c, "teams"), 1, LMN_MAX_TEAMS), LMN_NAME_SIZE);
    o->nteams = names(c, "teams", LMN_MAX_TEAMS, false, o->teams[0], LMN_NAME_SIZE);
    read_peers(c, o);
    o->cpus = lmn_config_number(c, "cpus", 1, 0.1, 1e7);
    o->feed_s = lmn_config_number(c, "feed_s", 60, 0.1, 1e6);
    o->pull_at = lmn_config_number(c, "pull_at", 0.7, 0, 100);
    o->share = lmn_config_number(c, "share", 0.5, 0.01, 1);
    o->most_transfers = (unsigned)lmn_config_number(c, "most_transfers", 4, 0, 1000);
    o->most_transit = (unsigned)lmn_config_number(c, "most_transit", 64, 1, 10000);
    o->sync_s = lmn_config_number(c, "sync_s", 1, 0.05, 60);
    o->poll_rps = lmn_config_number(c, "poll_rps", 50, 1, 1e5);
    o->silent_s = lmn_config_number(c, "silent_s", 60, 1, 1e6);
    o->value_kb = lmn_config_number(c, "value_kb", 16, 1, 1e6);
    o->txn_ops = (int)lmn_config_number(c, "txn_ops", 24, 2, 1000);
    int rc = lmn_config_finish(c, err, len);
    lmn_config_free(c);
    return rc;
}
