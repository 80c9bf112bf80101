/** @file
 * The status report: a line of key=value pairs for each partition, machine, team, class
 * and so on. The keys must not change, because operators' scripts read them. All
 * functions but lmn_status_report, which takes the core's lock, are called with it held.
 */
#include "controller/status.h"
#include "http/server.h"
#include "scheduler/fair_share.h"
#include "scheduler/unschedulable.h"
#include "controller/replication_report.h"
#include "state/core.h"

/** Appends the line of a partition. */
static void append_partition_summary(GString *text, const struct lmn_partition *partition)
{
    GHashTableIter iter;
    gpointer value;
    guint queued = 0, running = 0;

    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lmn_machine *machine = value;
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
}

static void append_machine(GString *text, const struct lmn_machine *machine)
{
    g_string_append_printf(
        text, "  machine %s type=%s zone=%s spot=%d cpus=%.1f queued=%u%s%s%s\n",
        machine->name, machine->type_name, machine->zone, machine->is_spot,
        machine->used.cpus, machine->queue.task_count,
        machine->lifecycle.is_accounted ? "" : " unaccounted",
        machine->lifecycle.is_draining ? " retiring" : "",
        machine->agent.lease_expired ? " lapsed" : "");
}

/** Appends the lines of a partition, with a line for each team and machine if this
 * controller owns it. */
static void append_partition(GString *text, const struct lmn_core *core,
                             const struct lmn_partition *partition)
{
    GHashTableIter iter;
    gpointer value;

    append_partition_summary(text, partition);
    lmn_replication_report_partition(text, core, partition, lmn_now());
    if (!partition->ownership.is_owned)
        return;
    for (size_t i = 0; i < core->settings->team_count; i++)
        g_string_append_printf(
            text, "  team %s cpus=%.1f gpus=%.1f\n", core->settings->teams[i].name,
            partition->quota.used_cpus[i], partition->quota.used_gpus[i]);
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        append_machine(text, value);
}

/** Appends a line for each class: the CPUs of its running tasks and of its waiting tasks
 * here, and whether it is below its fair share, so that its jobs are started first. */
static void append_classes(GString *text, const struct lmn_core *core)
{
    g_autoptr(GArray) classes = lmn_fair_share_by_class(core);
    double used_cpus;
    unsigned class_count = lmn_fair_share_sum(classes, &used_cpus);

    for (guint i = 0; i < classes->len; i++) {
        const struct lmn_fair_share *share =
            &g_array_index(classes, struct lmn_fair_share, i);
        g_string_append_printf(text, "class %s cpus=%.1f waiting=%.1f owed=%d\n",
                               (const char *)share->subject, share->used_cpus,
                               share->waiting_cpus,
                               lmn_is_under_fair_share(share, used_cpus, class_count));
    }
}

/** Appends a line for each faulty job, that is one whose tasks fail on every machine, so
 * that only one task at a time is tried. */
static void append_faulty_jobs(GString *text, const struct lmn_core *core)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->cache.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lmn_job *job = value;
        if (job->phase == LMN_JOB_ACTIVE && lmn_job_is_faulty(&job->failures))
            g_string_append_printf(
                text, "accused job=%s machines=%u rounds=%u next_try=%.1f\n",
                job->spec.id, job->failures.machine_count, job->failures.rounds,
                MAX(lmn_time_diff_s(job->failures.backoff_until, lmn_now()), 0));
    }
}

/** Appends a line for each job with tasks for which no machine has had free capacity for
 * long, in all partitions, as far as this controller knows. */
static void append_unschedulable(GString *text, const struct lmn_core *core)
{
    g_autoptr(GPtrArray) listed = lmn_list_unschedulable(core, lmn_now());

    for (guint i = 0; i < listed->len; i++) {
        const struct lmn_unschedulable_tasks *tasks = listed->pdata[i];
        g_string_append_printf(text, "unschedulable job=%s tasks=%u waited=%.0f",
                               tasks->job_id, tasks->tasks, tasks->waited_s);
        for (uint32_t k = 0; k < tasks->zone_count; k++)
            g_string_append_printf(text, "%s%s", k ? "," : " zones=", tasks->zones[k]);
        g_string_append_c(text, '\n');
    }
}

static void append_latency(GString *text, const char *name,
                           const struct lmn_latency *latency)
{
    g_string_append_printf(text, "latency %s p50=%.4f p95=%.4f p99=%.4f max=%.4f\n", name,
                           lmn_latency_quantile(latency, 0.5),
                           lmn_latency_quantile(latency, 0.95),
                           lmn_latency_quantile(latency, 0.99), latency->max);
}

static void append_connections(GString *text, const struct lmn_core *core)
{
    struct lmn_http_server_load load;

    if (!core->http_server)
        return;
    lmn_http_server_load(core->http_server, &load);
    g_string_append_printf(
        text,
        "sockets most=%u passing=%u users=%u workers=%u closed_users=%" G_GUINT64_FORMAT
        " closed_workers=%" G_GUINT64_FORMAT " turned_away=%" G_GUINT64_FORMAT "\n",
        core->connection_budget.max_accepted, load.open[LMN_CONNECTION_UNIDENTIFIED],
        load.open[LMN_CONNECTION_USER], load.open[LMN_CONNECTION_WORKER],
        load.closed[LMN_CONNECTION_USER], load.closed[LMN_CONNECTION_WORKER],
        load.refused[LMN_CONNECTION_WORKER]);
}

static void append_counters(GString *text, const struct lmn_counters *counters)
{
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
}

static void append_load(GString *text, const struct lmn_load *load)
{
    g_string_append_printf(
        text,
        "load behind=%.2f shed_polls=%" G_GUINT64_FORMAT
        " shed_submissions=%" G_GUINT64_FORMAT " shed_starts=%" G_GUINT64_FORMAT "\n",
        load->delay_s, load->shed_counts[LMN_SHED_POLL],
        load->shed_counts[LMN_SHED_SUBMISSION], load->shed_counts[LMN_SHED_START]);
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
        append_partition(text, core, &core->partitions[i]);
    append_classes(text, core);
    append_faulty_jobs(text, core);
    append_unschedulable(text, core);
    append_counters(text, &core->counters);
    append_load(text, &core->load);
    append_connections(text, core);
    append_latency(text, "accepting", &core->latencies.submission);
    append_latency(text, "starting", &core->latencies.start);
    append_latency(text, "telling", &core->latencies.replication);
    pthread_mutex_unlock(&core->lock);
    return g_string_free(text, FALSE);
}
