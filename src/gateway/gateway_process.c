#include "util/clock.h"
#include "config/config.h"
#include "util/log.h"
#include "util/thread.h"
#include "gateway/gateway_internal.h"

#include <curl/curl.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

double lmn_job_spec_total_cpus(const struct lmn_job_spec *spec)
{
    return spec->tasks * MAX(spec->cpus, 0.01);
}

static void add_left(const struct lmn_job_spec *spec, const struct lmn_progress *progress,
                     double *cpus, double *work_s)
{
    double left =
        (spec->tasks - MIN(progress->done, spec->tasks)) * MAX(spec->cpus, 0.01);

    *cpus += left;
    *work_s += left * MAX(spec->estimate_s, 0.1);
}

void lmn_gateway_local_load(const struct lmn_gateway *gateway, double *cpus,
                            double *work_s)
{
    GHashTableIter it;
    gpointer v;

    *cpus = *work_s = 0;
    g_hash_table_iter_init(&it, gateway->records.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_gateway_job *j = v;
        if (j->origin.state == LMN_ORIGIN_LOCAL)
            add_left(&j->spec, &j->progress, cpus, work_s);
    }
    g_hash_table_iter_init(&it, gateway->records.open_remote_jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_remote_job *x = v;
        if (x->execution.state == LMN_EXECUTION_RUNNING)
            add_left(&x->spec, &x->progress, cpus, work_s);
    }
}

double lmn_gateway_queued_cpu_s(const struct lmn_gateway *gateway)
{
    GHashTableIter it;
    gpointer v;
    double sum = 0;

    g_hash_table_iter_init(&it, gateway->records.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_gateway_job *j = v;
        if (j->origin.state == LMN_ORIGIN_QUEUED && !j->is_taken)
            sum += lmn_job_spec_total_cpus(&j->spec) * MAX(j->spec.estimate_s, 0.1);
    }
    return sum;
}

static gint by_order(gconstpointer a, gconstpointer b)
{
    const struct lmn_gateway_job *x = *(struct lmn_gateway_job *const *)a,
                                 *y = *(struct lmn_gateway_job *const *)b;

    if (x->spec.priority != y->spec.priority)
        return x->spec.priority > y->spec.priority ? -1 : 1;
    return x->accepted_at_s < y->accepted_at_s ? -1 : x->accepted_at_s > y->accepted_at_s;
}

GPtrArray *lmn_gateway_waiting_jobs(const struct lmn_gateway *gateway)
{
    GPtrArray *v = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;

    g_hash_table_iter_init(&it, gateway->records.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        struct lmn_gateway_job *j = p;
        if (j->origin.state == LMN_ORIGIN_QUEUED && !j->is_taken)
            g_ptr_array_add(v, j);
    }
    g_ptr_array_sort(v, by_order);
    return v;
}

struct lmn_gateway_peer *lmn_gateway_peer_by_site(struct lmn_gateway *gateway,
                                                  const char *site)
{
    for (unsigned i = 0; i < gateway->options->peer_count; i++)
        if (!strcmp(gateway->options->peers[i].site, site))
            return &gateway->peers[i];
    return NULL;
}

void lmn_gateway_peer_wake(struct lmn_gateway *gateway, const char *site)
{
    struct lmn_gateway_peer *p = lmn_gateway_peer_by_site(gateway, site);

    if (!p)
        return;
    p->has_news = true;
    pthread_cond_signal(&p->sync_due);
}

/* --- after a restore --- */

/* Everything whose fate may lie in what was lost: fenced here, stopped there. */
static void fence(struct lmn_gateway *gateway)
{
    struct lmn_http_client *client = lmn_http_client_new(gateway->options->state);
    GArray *all = g_array_new(FALSE, TRUE, sizeof(struct lmn_record_write));
    GHashTableIter it;
    gpointer v;

    pthread_mutex_lock(&gateway->records.lock);
    g_hash_table_iter_init(&it, gateway->records.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_gateway_job *j = v;
        struct lmn_record_write w = {.job = j, .origin = j->origin};
        if (!lmn_origin_restored(&w.origin))
            continue;
        j->is_taken = true;
        g_array_append_val(all, w);
    }
    g_hash_table_iter_init(&it, gateway->records.remote_jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_remote_job *x = v;
        struct lmn_record_write w = {.remote_job = x, .execution = x->execution};
        if (!lmn_execution_restored(&w.execution))
            continue;
        x->is_taken = true;
        g_array_append_val(all, w);
    }
    pthread_mutex_unlock(&gateway->records.lock);
    lmn_error(
        "gateway_state_restored fenced=%u mend=\"lemonspar gateway unfence, once it is "
        "known that "
        "nothing of them runs\"",
        all->len);
    lmn_gateway_records_write(&gateway->records, client,
                              (struct lmn_record_write *)(void *)all->data, all->len);
    g_array_free(all, TRUE);
    lmn_http_client_free(client);
}

/* A peer that is silent for too long is said once, and once more when it is heard again.
 */
static void watch_peers(struct lmn_gateway *gateway)
{
    pthread_mutex_lock(&gateway->records.lock);
    for (unsigned i = 0; i < gateway->options->peer_count; i++) {
        struct lmn_gateway_peer *p = &gateway->peers[i];
        double silent = lmn_time_diff_s(lmn_now(), p->last_contact_at);
        if (!p->alarm_raised && silent > gateway->options->unreachable_alarm_s)
            lmn_error("peer_unreachable site=%s seconds=%.0f why=\"%s\"",
                      gateway->options->peers[i].site, silent, p->last_failure);
        else if (p->alarm_raised && silent <= gateway->options->unreachable_alarm_s)
            lmn_info("peer_reachable site=%s", gateway->options->peers[i].site);
        p->alarm_raised = silent > gateway->options->unreachable_alarm_s;
    }
    pthread_mutex_unlock(&gateway->records.lock);
}

int lmn_gateway_run(const struct lmn_gateway_options *options, char *err, size_t len)
{
    struct lmn_gateway *gateway = g_new0(struct lmn_gateway, 1);
    bool restored;

    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_NOTHING);
    gateway->options = options;
    gateway->random = g_rand_new();
    gateway->tls = lmn_tls_new(options->keys, options->site, options->peers,
                               &options->peer_count, err, len);
    if (!gateway->tls)
        return -1;
    lmn_info("gateway_started site=%s name=%s peers=%u", options->site, options->name,
             options->peer_count);
    lmn_gateway_records_open(&gateway->records, options->state, options->name,
                             options->max_txn_operations, &restored);
    if (restored)
        fence(gateway);
    lmn_cond_init(&gateway->request_queued);
    for (unsigned i = 0; i < options->peer_count; i++) {
        struct lmn_gateway_peer *p = &gateway->peers[i];
        p->gateway = gateway;
        p->index = i;
        p->last_contact_at = p->synced_at = lmn_now();
        lmn_cond_init(&p->sync_due);
        g_queue_init(&p->refusals);
    }
    if (lmn_gateway_http_start(gateway) != 0) {
        g_snprintf(err, len, "%s: can't listen", options->listen);
        return -1;
    }
    if (lmn_origin_start(gateway, err, len) != 0)
        return -1;
    for (unsigned i = 0; i < options->peer_count; i++)
        lmn_thread_start_detached(lmn_execution_thread, &gateway->peers[i]);
    lmn_thread_start_detached(lmn_cluster_client_thread, gateway);
    lmn_thread_start_detached(lmn_gateway_pull_thread, gateway);
    for (unsigned turn = 0;; turn++) {
        lmn_sleep(0.1);
        /* While the state service does not answer, users are told so, and when to come
         * back. */
        lmn_http_server_expire_deferred(gateway->http_server);
        if (turn % 10 == 0)
            watch_peers(gateway);
    }
}

/* --- settings --- */

static unsigned names(struct lmn_config *config, const char *path, unsigned most,
                      bool addr, char *out, size_t each)
{
    guint n = lmn_config_count(config, path);
    char p[96];

    if (n < 1 || n > most)
        lmn_config_fail(config, path, "expected 1 to %u of them", most);
    for (guint i = 0; i < MIN(n, most); i++) {
        g_snprintf(p, sizeof p, "%s[%u]", path, i);
        g_strlcpy(out + i * each,
                  addr ? lmn_config_address(config, p, NULL)
                       : lmn_config_name(config, p, NULL),
                  each);
    }
    return MIN(n, most);
}

static void read_peers(struct lmn_config *config, struct lmn_gateway_options *options)
{
    guint n = lmn_config_count(config, "peers");
    char p[96];

    if (n > LMN_MAX_PEERS)
        lmn_config_fail(config, "peers", "expected at most %d", LMN_MAX_PEERS);
    for (guint i = 0; i < MIN(n, LMN_MAX_PEERS); i++) {
        struct lmn_peer_key *k = &options->peers[options->peer_count];
        g_snprintf(p, sizeof p, "peers[%u].site", i);
        g_strlcpy(k->site, lmn_config_name(config, p, NULL), sizeof k->site);
        for (unsigned x = 0; x < options->peer_count; x++)
            if (!strcmp(options->peers[x].site, k->site))
                lmn_config_fail(config, p, "named twice");
        if (!strcmp(k->site, options->site))
            lmn_config_fail(config, p, "names this site itself");
        g_snprintf(p, sizeof p, "peers[%u].addresses", i);
        guint gateways = lmn_config_count(config, p);
        if (gateways > LMN_GATEWAY_MAX_ADDRESSES)
            lmn_config_fail(config, p, "expected at most %d", LMN_GATEWAY_MAX_ADDRESSES);
        for (guint a = 0; a < MIN(gateways, LMN_GATEWAY_MAX_ADDRESSES); a++) {
            g_snprintf(p, sizeof p, "peers[%u].addresses[%u]", i, a);
            g_strlcpy(options->addresses[options->peer_count][a],
                      lmn_config_address(config, p, NULL), LMN_ADDRESS_SIZE);
        }
        g_snprintf(p, sizeof p, "peers[%u].address", i);
        if (!gateways)
            g_strlcpy(options->addresses[options->peer_count][0],
                      lmn_config_address(config, p, NULL), LMN_ADDRESS_SIZE);
        g_snprintf(p, sizeof p, "peers[%u].fingerprint", i);
        g_strlcpy(k->fingerprint, lmn_config_text(config, p, NULL),
                  sizeof k->fingerprint);
        if (strlen(k->fingerprint) != LMN_FINGERPRINT - 1 ||
            strspn(k->fingerprint, "0123456789abcdefABCDEF") != LMN_FINGERPRINT - 1)
            lmn_config_fail(
                config, p,
                "expected 64 digits of hexadecimal: 'lemonspar key show' there "
                "says them");
        options->peer_count++;
    }
}

int lmn_gateway_load(const char *path, struct lmn_gateway_options *options, char *err,
                     size_t len)
{
    struct lmn_config *config = lmn_config_load(path, err, len);

    memset(options, 0, sizeof *options);
    if (!config)
        return -1;
    g_strlcpy(options->site, lmn_config_name(config, "site", NULL), sizeof options->site);
    g_strlcpy(options->name, lmn_config_name(config, "name", "gateway-0"),
              sizeof options->name);
    g_strlcpy(options->listen, lmn_config_address(config, "listen", NULL),
              sizeof options->listen);
    g_strlcpy(options->link_listen, lmn_config_address(config, "link_listen", NULL),
              sizeof options->link_listen);
    g_strlcpy(options->state, lmn_config_address(config, "state", NULL),
              sizeof options->state);
    g_strlcpy(options->image_store, lmn_config_address(config, "depot", NULL),
              sizeof options->image_store);
    g_strlcpy(options->keys, lmn_config_text(config, "keys", NULL), sizeof options->keys);
    options->controller_count = names(config, "controllers", LMN_GATEWAY_MAX_CONTROLLERS,
                                      true, options->controllers[0], LMN_ADDRESS_SIZE);
    options->teams = g_malloc0_n(
        CLAMP(lmn_config_count(config, "teams"), 1, LMN_MAX_TEAMS), LMN_NAME_SIZE);
    options->team_count =
        names(config, "teams", LMN_MAX_TEAMS, false, options->teams[0], LMN_NAME_SIZE);
    read_peers(config, options);
    options->cpus = lmn_config_number(config, "cpus", 1, 0.1, 1e7);
    options->local_work_s = lmn_config_number(config, "feed_s", 60, 0.1, 1e6);
    options->pull_at = lmn_config_number(config, "pull_at", 0.7, 0, 100);
    options->share = lmn_config_number(config, "share", 0.5, 0.01, 1);
    options->max_transfers =
        (unsigned)lmn_config_number(config, "most_transfers", 4, 0, 1000);
    options->max_offers_in_flight =
        (unsigned)lmn_config_number(config, "most_transit", 64, 1, 10000);
    options->sync_s = lmn_config_number(config, "sync_s", 1, 0.05, 60);
    options->polls_per_s = lmn_config_number(config, "poll_rps", 50, 1, 1e5);
    options->unreachable_alarm_s = lmn_config_number(config, "silent_s", 60, 1, 1e6);
    options->max_value_kb = lmn_config_number(config, "value_kb", 16, 1, 1e6);
    options->max_txn_operations = (int)lmn_config_number(config, "txn_ops", 24, 2, 1000);
    int rc = lmn_config_finish(config, err, len);
    lmn_config_free(config);
    return rc;
}
