/* What a controller tells an operator of itself. */
#include "controller/status.h"
#include "http/server.h"
#include "scheduler/fair_share.h"
#include "controller/replication_report.h"
#include "state/core.h"

static void show_partition(GString *text, const struct lmn_core *core,
                           const struct lmn_partition *partition)
{
    GHashTableIter it;
    gpointer v;
    guint queued = 0, running = 0;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *machine = v;
        queued += machine->queue.task_count;
        running += machine->attempts->len;
    }
    g_string_append_printf(
        text,
        "partition %d owner=%s term=%" G_GUINT64_FORMAT
        " mine=%d ready=%d machines=%u ranges=%u queued=%u unplaced=%u held=%u\n",
        partition->id, *partition->record.owner ? partition->record.owner : "-",
        partition->record.owner_epoch, partition->ownership.is_owned,
        partition->ownership.is_ready, g_hash_table_size(partition->machines),
        g_hash_table_size(partition->ranges), queued,
        partition->scheduling.unassigned.task_count, running);
    lmn_replication_describe(text, core, partition, lmn_now());
    for (size_t i = 0; partition->ownership.is_owned && i < core->settings->team_count;
         i++)
        g_string_append_printf(
            text, "  team %s cpus=%.1f gpus=%.1f\n", core->settings->teams[i].name,
            partition->quota.used_cpus[i], partition->quota.used_gpus[i]);
    g_hash_table_iter_init(&it, partition->machines);
    while (partition->ownership.is_owned && g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *machine = v;
        g_string_append_printf(
            text, "  machine %s type=%s zone=%s spot=%d cpus=%.1f queued=%u%s%s%s\n",
            machine->name, machine->type_name, machine->zone, machine->is_spot,
            machine->used.cpus, machine->queue.task_count,
            machine->lifecycle.is_accounted ? "" : " unaccounted",
            machine->lifecycle.is_draining ? " retiring" : "",
            machine->agent.lease_expired ? " lapsed" : "");
    }
}

/* What of each class runs here, and what waits; the floor is what it goes first below. */
static void show_classes(GString *text, const struct lmn_core *core)
{
    GArray *v = lmn_fair_share_by_class(core);
    double used;
    unsigned kinds = lmn_fair_share_sum(v, &used);

    for (guint i = 0; i < v->len; i++) {
        const struct lmn_fair_share *share = &g_array_index(v, struct lmn_fair_share, i);
        g_string_append_printf(text, "class %s cpus=%.1f waiting=%.1f owed=%d\n",
                               (const char *)share->subject, share->used_cpus,
                               share->waiting_cpus,
                               lmn_is_under_fair_share(share, used, kinds));
    }
    g_array_free(v, TRUE);
}

/* Jobs that fail wherever they start: they are tried with a task at a time. */
static void show_accused(GString *text, const struct lmn_core *core)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, core->cache.jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_job *job = v;
        if (job->phase == LMN_JOB_ACTIVE && lmn_job_is_faulty(&job->failures))
            g_string_append_printf(
                text, "accused job=%s machines=%u rounds=%u next_try=%.1f\n",
                job->spec.id, job->failures.machine_count, job->failures.rounds,
                MAX(lmn_time_diff_s(job->failures.backoff_until, lmn_now()), 0));
    }
}

static void show_latency(GString *text, const char *what,
                         const struct lmn_latency *latency)
{
    g_string_append_printf(text, "latency %s p50=%.4f p95=%.4f p99=%.4f max=%.4f\n", what,
                           lmn_latency_quantile(latency, 0.5),
                           lmn_latency_quantile(latency, 0.95),
                           lmn_latency_quantile(latency, 0.99), latency->max);
}

static void show_sockets(GString *text, const struct lmn_core *core)
{
    struct lmn_http_server_load l;

    if (!core->http_server)
        return;
    lmn_http_server_load(core->http_server, &l);
    g_string_append_printf(
        text,
        "sockets most=%u passing=%u users=%u workers=%u closed_users=%" G_GUINT64_FORMAT
        " closed_workers=%" G_GUINT64_FORMAT " turned_away=%" G_GUINT64_FORMAT "\n",
        core->connection_budget.max_accepted, l.open[LMN_CONNECTION_UNIDENTIFIED],
        l.open[LMN_CONNECTION_USER], l.open[LMN_CONNECTION_WORKER],
        l.closed[LMN_CONNECTION_USER], l.closed[LMN_CONNECTION_WORKER],
        l.refused[LMN_CONNECTION_WORKER]);
}

char *lmn_status_report(struct lmn_core *core)
{
    GString *text = g_string_new(NULL);

    pthread_mutex_lock(&core->lock);
    g_string_append_printf(
        text, "node %s lease=%" G_GUINT64_FORMAT " stale=%.1f jobs=%u\n",
        core->settings->node_name, core->lease.id, lmn_watch_cache_age_s(core, lmn_now()),
        g_hash_table_size(core->cache.jobs));
    for (int i = 0; i < core->partition_count; i++)
        show_partition(text, core, &core->partitions[i]);
    show_classes(text, core);
    show_accused(text, core);
    const struct lmn_counters *counters = &core->counters;
    g_string_append_printf(
        text,
        "counts submissions=%" G_GUINT64_FORMAT " polls=%" G_GUINT64_FORMAT
        " reports=%" G_GUINT64_FORMAT " starts=%" G_GUINT64_FORMAT
        " kills=%" G_GUINT64_FORMAT " steal_tries=%" G_GUINT64_FORMAT
        " steals=%" G_GUINT64_FORMAT " stolen=%" G_GUINT64_FORMAT
        " takeovers=%" G_GUINT64_FORMAT " warm=%" G_GUINT64_FORMAT
        " refused=%" G_GUINT64_FORMAT " moves=%" G_GUINT64_FORMAT
        " moved=%" G_GUINT64_FORMAT "\n",
        counters->submissions, counters->status_requests, counters->heartbeats,
        counters->starts, counters->kills, counters->steal_tries, counters->steals,
        counters->stolen_tasks, counters->failovers, counters->warm_failovers,
        counters->refused_requests, counters->moves, counters->moved_tasks);
    const struct lmn_load *load = &core->load;
    g_string_append_printf(
        text,
        "load behind=%.2f shed_polls=%" G_GUINT64_FORMAT
        " shed_submissions=%" G_GUINT64_FORMAT " shed_starts=%" G_GUINT64_FORMAT "\n",
        load->delay_s, load->shed_counts[LMN_SHED_POLL],
        load->shed_counts[LMN_SHED_SUBMISSION], load->shed_counts[LMN_SHED_START]);
    show_sockets(text, core);
    show_latency(text, "accepting", &core->latencies.submission);
    show_latency(text, "starting", &core->latencies.start);
    show_latency(text, "telling", &core->latencies.replication);
    pthread_mutex_unlock(&core->lock);
    return g_string_free(text, FALSE);
}
