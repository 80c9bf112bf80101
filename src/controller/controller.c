#include "controller/controller.h"
#include "util/clock.h"
#include "http/server.h"
#include "util/log.h"
#include "util/thread.h"
#include "scheduler/job_order.h"
#include "scheduler/consolidation.h"
#include "scheduler/preemption.h"
#include "scheduler/reservation.h"
#include "admission/connection_budget.h"
#include "partition/provisioner.h"
#include "partition/range_writer.h"
#include "partition/owner.h"
#include "partition/ownership_thread.h"
#include "partition/shutdown.h"
#include "partition/maintenance.h"
#include "partition/worker_client.h"
#include "controller/user_api.h"
#include "controller/probe_client.h"
#include "controller/replication_thread.h"
#include "controller/rpc_server.h"
#include "controller/http_routes.h"
#include "state/watch_cache.h"
#include "state/core_state.h"
#include "kv_client/kv_client.h"

#include <curl/curl.h>
#include <malloc.h>
#include <signal.h>
#include <unistd.h>

static const double TICK_S = 0.15;

/* Asked to end, a controller leaves; asked again, it ends at once. */
static volatile sig_atomic_t asked_to_end;

static void on_term(int sig)
{
    (void)sig;
    asked_to_end++;
}

int lmn_controller_run(const struct lmn_settings *settings)
{
    struct sigaction end = {.sa_handler = on_term};

    signal(SIGPIPE, SIG_IGN);
    sigaction(SIGTERM, &end, NULL);
    /* Few arenas: memory is scarce, and so are the threads that allocate at once. */
    mallopt(M_ARENA_MAX, 2);
    lmn_log_init(settings->node_name);
    if (curl_global_init(CURL_GLOBAL_NOTHING) != 0)
        return 1;
    lmn_info(
        "controller_started version=" LMN_VERSION " listen=%s partitions=%d members=%zu",
        settings->client_listen, settings->partition_count, settings->member_count + 1);

    char warning[512];
    if (lmn_settings_warning(settings, warning, sizeof warning))
        lmn_error("settings_warning why=\"%s\"", warning);

    struct lmn_kv_client *state = lmn_kv_client_new(settings);
    struct lmn_core *core = lmn_core_new(settings, state, g_random_int());
    struct lmn_http_server *server = lmn_http_routes_start(core);
    if (!server) {
        lmn_error("listen_failed address=%s", settings->client_listen);
        return 1;
    }
    pthread_mutex_lock(&core->lock);
    core->http_server = server;
    pthread_mutex_unlock(&core->lock);
    if (lmn_rpc_server_start(core) != 0) {
        lmn_error("listen_failed address=%s", settings->internal_address);
        return 1;
    }
    lmn_kv_client_start(state);
    lmn_thread(lmn_watch_cache_thread, core);
    lmn_thread(lmn_ownership_thread, core);
    lmn_user_api_start(core);
    lmn_thread(lmn_provisioner_thread, core);
    lmn_thread(lmn_steal_thread, core);
    if (settings->member_count) {
        lmn_thread(lmn_probe_thread, core);
        lmn_replication_start(core);
    }
    static struct lmn_worker_client lanes[LMN_WORKER_CLIENT_THREADS];
    for (unsigned i = 0; i < G_N_ELEMENTS(lanes); i++) {
        lanes[i] = (struct lmn_worker_client){core, i, G_N_ELEMENTS(lanes)};
        lmn_thread(lmn_worker_client_thread, &lanes[i]);
    }
    struct timespec last = lmn_now();
    for (;;) {
        lmn_sleep(TICK_S);
        lmn_http_server_expire_deferred(server);
        pthread_mutex_lock(&core->lock);
        /* With the lock, so that waiting for it counts as being late. */
        struct timespec now = lmn_now();
        if (asked_to_end)
            lmn_shutdown_begin(core, now);
        if (asked_to_end > 1 || lmn_shutdown_is_complete(core, now)) {
            lmn_info("shutdown_finished after=%.2f given=%d",
                     lmn_time_diff_s(now, core->shutdown.began_at),
                     core->shutdown.has_released_lease);
            /* Nothing is to be cleared away, and the other threads go on until then. */
            _exit(core->shutdown.has_released_lease ? 0 : 1);
        }
        double since = lmn_time_diff_s(now, last);
        lmn_load_record_delay(&core->load, since - TICK_S, since);
        lmn_members_tick(&core->members, since - TICK_S, now);
        core->members.health.delay_s = core->load.delay_s;
        last = now;
        lmn_update_job_order(core, lmn_time_seconds(lmn_wall_clock_now()));
        for (int i = 0; i < core->partition_count &&
                        core->scheduling.last_triage_s == core->scheduling.wall_clock_s;
             i++)
            lmn_update_reservations(core, &core->partitions[i], now);
        lmn_maintenance_run(core, now);
        for (int i = 0; i < core->partition_count; i++) {
            lmn_preempt_for_production(core, &core->partitions[i], now);
            lmn_consolidate_replicas(core, &core->partitions[i], now);
        }
        lmn_range_writer_flush(core, now);
        pthread_mutex_unlock(&core->lock);
    }
}
