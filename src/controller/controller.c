/** @file
 * The controller process.
 *
 * The main thread starts the servers and the other threads, and then runs the tick: a
 * list of tasks that run at a fixed interval with the core's lock held, so that none of
 * them may do I/O. The threads of the HTTP server, the RPC server and the key-value
 * client are started first, in this order, so that a controller which cannot listen does
 * not start. All other threads are started from BACKGROUND_WORK below. */
#include "controller/controller.h"
#include "util/clock.h"
#include "http/server.h"
#include "util/log.h"
#include "util/thread.h"
#include "scheduler/job_order.h"
#include "scheduler/consolidation.h"
#include "scheduler/preemption.h"
#include "scheduler/reservation.h"
#include "scheduler/unschedulable.h"
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
#include "controller/steal_client.h"
#include "controller/http_routes.h"
#include "state/watch_cache.h"
#include "state/core_state.h"
#include "kv_client/kv_client.h"

#include <curl/curl.h>
#include <malloc.h>
#include <signal.h>
#include <unistd.h>

static const double TICK_INTERVAL_S = 0.15;

/* --- signals --- */

/** Number of SIGTERM signals received: after the first the process shuts down gracefully,
 * after the second it ends at once. */
static volatile sig_atomic_t termination_requests;

static void on_sigterm(int signal_number)
{
    (void)signal_number;
    termination_requests++;
}

static void install_signal_handlers(void)
{
    struct sigaction terminate = {.sa_handler = on_sigterm};

    signal(SIGPIPE, SIG_IGN);
    sigaction(SIGTERM, &terminate, NULL);
}

/* --- threads --- */

static void start_worker_clients(struct lmn_core *core)
{
    static struct lmn_worker_client clients[LMN_WORKER_CLIENT_THREADS];

    for (unsigned i = 0; i < G_N_ELEMENTS(clients); i++) {
        clients[i] = (struct lmn_worker_client){core, i, G_N_ELEMENTS(clients)};
        lmn_thread_start_detached(lmn_worker_client_thread, &clients[i]);
    }
}

/** Work that runs in other threads than the tick until the process ends. Either `thread`
 * or `start` is set. */
struct background_work {
    void *(*thread)(void *core);          /**< function of the only thread */
    void (*start)(struct lmn_core *core); /**< starts one or more threads */
    bool needs_members; /**< only started if the settings name other members */
};

/** In the order in which they are started. */
static const struct background_work BACKGROUND_WORK[] = {
    /* Applies the key-value store's changes to the watch cache. */
    {.thread = lmn_watch_cache_thread},
    /* Renews this controller's lease; claims, transfers and releases partitions. */
    {.thread = lmn_ownership_thread},
    /* Confirms and cancels jobs for users, and checks submissions without an outcome. */
    {.start = lmn_user_api_start},
    /* Lists, provisions and releases the cloud's machines. */
    {.thread = lmn_provisioner_thread},
    /* Steals tasks and requests quota from other partitions. */
    {.thread = lmn_steal_thread},
    /* Probes the other members. */
    {.thread = lmn_probe_thread, .needs_members = true},
    /* Replicates each owned partition to its standby, in a thread for each partition. */
    {.start = lmn_replication_start, .needs_members = true},
    /* Sends commands to workers. */
    {.start = start_worker_clients},
};

static void start_background_work(struct lmn_core *core)
{
    for (size_t i = 0; i < G_N_ELEMENTS(BACKGROUND_WORK); i++) {
        const struct background_work *work = &BACKGROUND_WORK[i];
        if (work->needs_members && !core->settings->member_count)
            continue;
        if (work->thread)
            lmn_thread_start_detached(work->thread, core);
        else
            work->start(core);
    }
}

/* --- the tick --- */

struct tick {
    struct timespec now;
    double elapsed_s; /**< since the previous tick */
};

/** A task of the tick. Called with the core's lock held. */
typedef void tick_task(struct lmn_core *core, const struct tick *tick);

/** After a SIGTERM, begins a graceful shutdown. Ends the process if the shutdown is
 * complete, or after a second SIGTERM. */
static void check_shutdown(struct lmn_core *core, const struct tick *tick)
{
    if (termination_requests)
        lmn_shutdown_begin(core, tick->now);
    if (termination_requests <= 1 && !lmn_shutdown_is_complete(core, tick->now))
        return;
    lmn_info("shutdown_finished after=%.2f given=%d",
             lmn_time_diff_s(tick->now, core->shutdown.began_at),
             core->shutdown.has_released_lease);
    /* _exit runs no exit handlers, which must not run while the other threads do; no
     * handler has to release anything. */
    _exit(core->shutdown.has_released_lease ? 0 : 1);
}

/** Records how late the tick is, as a measure of this controller's overload: load
 * shedding uses it, and the other members are sent it with this member's health. */
static void record_delay(struct lmn_core *core, const struct tick *tick)
{
    double delay_s = tick->elapsed_s - TICK_INTERVAL_S;

    lmn_load_record_delay(&core->load, delay_s, tick->elapsed_s);
    lmn_members_tick(&core->members, delay_s, tick->now);
    core->members.health.delay_s = core->load.delay_s;
}

static void update_job_order(struct lmn_core *core, const struct tick *tick)
{
    (void)tick;
    lmn_update_job_order(core, lmn_time_seconds(lmn_wall_clock_now()));
}

/** Updates the reservations in those ticks in which update_job_order has triaged the
 * jobs, because reservations depend on the result. */
static void update_reservations(struct lmn_core *core, const struct tick *tick)
{
    for (int i = 0; i < core->partition_count &&
                    core->scheduling.last_triage_s == core->scheduling.wall_clock_s;
         i++)
        lmn_update_reservations(core, &core->partitions[i], tick->now);
}

static void run_maintenance(struct lmn_core *core, const struct tick *tick)
{
    lmn_maintenance_run(core, tick->now);
}

static void make_free_capacity(struct lmn_core *core, const struct tick *tick)
{
    for (int i = 0; i < core->partition_count; i++) {
        lmn_preempt_for_production(core, &core->partitions[i], tick->now);
        lmn_consolidate_replicas(core, &core->partitions[i], tick->now);
    }
}

static void list_unschedulable_tasks(struct lmn_core *core, const struct tick *tick)
{
    for (int i = 0; i < core->partition_count; i++)
        lmn_unschedulable_update(core, &core->partitions[i], tick->now);
}

/** Writes the changed ranges. Last task of the tick, so that the changes made by the
 * other tasks are written in the same tick. */
static void flush_ranges(struct lmn_core *core, const struct tick *tick)
{
    lmn_range_writer_flush(core, tick->now);
}

/** The tasks of a tick, in their order. All are called in every tick; those that have a
 * longer interval skip ticks themselves. */
static tick_task *const TICK_TASKS[] = {
    check_shutdown,
    record_delay,
    update_job_order,         /* triages at the interval of scheduler/job_order.c */
    update_reservations,      /* after each triage */
    run_maintenance,          /* less often with many machines: partition/maintenance.c */
    list_unschedulable_tasks, /* at the interval of scheduler/unschedulable.c */
    make_free_capacity, /* consolidation at the interval of scheduler/consolidation.c */
    flush_ranges,       /* limited by the write budget: partition/range_writer.c */
};

static _Noreturn void run_ticks(struct lmn_core *core, struct lmn_http_server *server)
{
    struct timespec last_tick_at = lmn_now();

    for (;;) {
        lmn_sleep(TICK_INTERVAL_S);
        lmn_http_server_expire_deferred(server);
        pthread_mutex_lock(&core->lock);
        /* Read with the lock held, so that the wait for the lock counts as delay. */
        struct tick tick = {.now = lmn_now()};
        tick.elapsed_s = lmn_time_diff_s(tick.now, last_tick_at);
        last_tick_at = tick.now;
        for (size_t i = 0; i < G_N_ELEMENTS(TICK_TASKS); i++)
            TICK_TASKS[i](core, &tick);
        pthread_mutex_unlock(&core->lock);
    }
}

/* --- the start --- */

/** Initializes the process: signal handlers, allocator, log and libcurl.
 * @return 0, or -1 if libcurl could not be initialized */
static int init_process(const struct lmn_settings *settings)
{
    install_signal_handlers();
    /* Few arenas, to save memory; few threads allocate at the same time. */
    mallopt(M_ARENA_MAX, 2);
    lmn_log_init(settings->node_name);
    return curl_global_init(CURL_GLOBAL_NOTHING) == 0 ? 0 : -1;
}

static void log_start(const struct lmn_settings *settings)
{
    char warning[512];

    lmn_info(
        "controller_started version=" LMN_VERSION " listen=%s partitions=%d members=%zu",
        settings->client_listen, settings->partition_count, settings->member_count + 1);
    if (lmn_settings_warning(settings, warning, sizeof warning))
        lmn_error("settings_warning why=\"%s\"", warning);
}

/** Starts the HTTP server for users and workers, and the RPC server for operators and the
 * other controllers.
 * @return the HTTP server, or NULL if one of the two cannot listen */
static struct lmn_http_server *start_servers(struct lmn_core *core)
{
    struct lmn_http_server *server = lmn_http_routes_start(core);

    if (!server) {
        lmn_error("listen_failed address=%s", core->settings->client_listen);
        return NULL;
    }
    pthread_mutex_lock(&core->lock);
    core->http_server = server;
    pthread_mutex_unlock(&core->lock);
    if (lmn_rpc_server_start(core) != 0) {
        lmn_error("listen_failed address=%s", core->settings->internal_address);
        return NULL;
    }
    return server;
}

int lmn_controller_run(const struct lmn_settings *settings)
{
    if (init_process(settings) != 0)
        return 1;
    log_start(settings);
    struct lmn_kv_client *kv_client = lmn_kv_client_new(settings);
    struct lmn_core *core = lmn_core_new(settings, kv_client, g_random_int());
    struct lmn_http_server *server = start_servers(core);
    if (!server)
        return 1;
    lmn_kv_client_start(kv_client);
    start_background_work(core);
    run_ticks(core, server);
}
