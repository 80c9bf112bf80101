/** @file
 * The controller's metrics.
 *
 * Most of the core's state is copied into a snapshot with the core's lock held, and
 * written out after the lock was released. The metrics of members, replication and fair
 * shares are written with the lock held, because they iterate over the shared structures.
 * The names, labels and help texts must not change, because operators' dashboards read
 * them. */
#include "controller/metrics.h"
#include "http/server.h"
#include "http/metrics.h"
#include "job/message_limits.h"
#include "scheduler/fair_share.h"
#include "controller/members_report.h"
#include "controller/replication_report.h"
#include "state/core.h"

/** Number of tasks of active jobs in each state. */
struct task_counts {
    double queued, started, moving, done;
};

/** Totals over the owned partitions. */
struct partition_totals {
    struct task_counts tasks;
    double machine_count, unaccounted_machines, draining_machines, full_machines;
    double queued_tasks, unassigned_tasks, unschedulable_tasks;
    double partition_count, ready_partitions;
    double *used_cpus; /**< by team */
};

/** The values that are copied with the core's lock held. */
struct core_snapshot {
    struct partition_totals totals;
    struct lmn_counters counters;
    struct lmn_load load;
    const struct lmn_http_server *http_server; /**< NULL: not started */
    double cache_age_s;
    guint job_count, final_job_count;
};

static void count_tasks(struct task_counts *counts, const struct lmn_range *range)
{
    if (range->job->phase != LMN_JOB_ACTIVE || !range->task_states)
        return;
    for (uint32_t i = 0; i < range->end - range->first; i++) {
        counts->queued += range->task_states[i] == LMN_TASK_QUEUED;
        counts->started += range->task_states[i] == LMN_TASK_STARTED;
        counts->moving += range->task_states[i] == LMN_TASK_MOVING;
        counts->done += range->task_states[i] == LMN_TASK_DONE;
    }
}

static void count_partition(const struct lmn_core *core, struct partition_totals *totals,
                            const struct lmn_partition *partition)
{
    GHashTableIter iter;
    gpointer value;

    totals->partition_count++;
    totals->ready_partitions += partition->ownership.is_ready;
    totals->unassigned_tasks += partition->scheduling.unassigned.task_count;
    for (guint i = 0; i < partition->scheduling.unschedulable->len; i++)
        totals->unschedulable_tasks += g_array_index(partition->scheduling.unschedulable,
                                                     struct lmn_unschedulable_tasks, i)
                                           .tasks;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lmn_machine *machine = value;
        totals->machine_count += !machine->lifecycle.is_terminated;
        totals->unaccounted_machines += !machine->lifecycle.is_accounted;
        totals->draining_machines += machine->lifecycle.is_draining;
        totals->full_machines += machine->attempts->len >= LMN_MAX_MACHINE_ATTEMPTS;
        totals->queued_tasks += machine->queue.task_count;
    }
    g_hash_table_iter_init(&iter, partition->ranges);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        count_tasks(&totals->tasks, value);
    for (size_t i = 0; i < core->settings->team_count; i++)
        totals->used_cpus[i] += partition->quota.used_cpus[i];
}

/** Called with the core's lock held.
 * @return a snapshot whose `totals.used_cpus` is to be freed with g_free */
static struct core_snapshot take_snapshot(const struct lmn_core *core)
{
    struct core_snapshot snapshot = {
        .totals.used_cpus = g_new0(double, core->settings->team_count),
        .counters = core->counters,
        .load = core->load,
        .http_server = core->http_server,
        .cache_age_s = lmn_watch_cache_age_s(core, lmn_now()),
        .job_count = g_hash_table_size(core->cache.jobs),
        .final_job_count = core->cache.final_jobs.length,
    };

    for (int i = 0; i < core->partition_count; i++)
        if (core->partitions[i].ownership.is_owned)
            count_partition(core, &snapshot.totals, &core->partitions[i]);
    return snapshot;
}

/** Called with the core's lock held. */
static void write_fair_shares(GString *out, const struct lmn_core *core)
{
    g_autoptr(GArray) classes = lmn_fair_share_by_class(core);
    const struct lmn_fair_share *shares = (const struct lmn_fair_share *)classes->data;

    lmn_metric_head(out, "lemonspar_class_cpus", "gauge",
                    "Processors that the tasks of a class use here");
    for (guint i = 0; i < classes->len; i++)
        lmn_metric_sample(out, "lemonspar_class_cpus", "class", shares[i].subject,
                          shares[i].used_cpus);
    lmn_metric_head(out, "lemonspar_class_waiting_cpus", "gauge",
                    "Processors that its tasks that were not started ask for");
    for (guint i = 0; i < classes->len; i++)
        lmn_metric_sample(out, "lemonspar_class_waiting_cpus", "class", shares[i].subject,
                          shares[i].waiting_cpus);
}

static void write_totals(GString *out, const struct core_snapshot *snapshot)
{
    const struct partition_totals *totals = &snapshot->totals;

    lmn_metric_gauge(out, "lemonspar_mirror_behind_seconds",
                     "How far the mirror may be behind", snapshot->cache_age_s);
    lmn_metric_gauge(out, "lemonspar_partitions", "Partitions owned",
                     totals->partition_count);
    lmn_metric_gauge(out, "lemonspar_partitions_ready",
                     "Owned partitions whose inherited tasks may start",
                     totals->ready_partitions);
    lmn_metric_gauge(out, "lemonspar_machines", "Machines of owned partitions",
                     totals->machine_count);
    lmn_metric_gauge(out, "lemonspar_machines_unaccounted",
                     "Of these, not heard since the takeover",
                     totals->unaccounted_machines);
    lmn_metric_gauge(out, "lemonspar_machines_retiring", "Of these, on their way back",
                     totals->draining_machines);
    lmn_metric_gauge(out, "lemonspar_machines_at_task_limit",
                     "Of these, with as many attempts as a heartbeat can name",
                     totals->full_machines);
    lmn_metric_gauge(out, "lemonspar_queued_tasks", "Tasks in machines' queues",
                     totals->queued_tasks);
    lmn_metric_gauge(out, "lemonspar_unplaced_tasks",
                     "Tasks that no machine's queue could take",
                     totals->unassigned_tasks);
    lmn_metric_gauge(out, "lemonspar_unschedulable_tasks",
                     "Tasks for which no machine has had free capacity for long",
                     totals->unschedulable_tasks);
    lmn_metric_gauge(out, "lemonspar_jobs", "Jobs in memory", snapshot->job_count);
    lmn_metric_gauge(out, "lemonspar_final_jobs", "Of these, final",
                     snapshot->final_job_count);
}

static void write_tasks(GString *out, const struct task_counts *tasks)
{
    lmn_metric_head(out, "lemonspar_tasks", "gauge",
                    "Tasks of active jobs in owned partitions");
    lmn_metric_sample(out, "lemonspar_tasks", "state", "queued", tasks->queued);
    lmn_metric_sample(out, "lemonspar_tasks", "state", "started", tasks->started);
    lmn_metric_sample(out, "lemonspar_tasks", "state", "moving", tasks->moving);
    lmn_metric_sample(out, "lemonspar_tasks", "state", "done", tasks->done);
}

static void write_teams(GString *out, const struct lmn_settings *settings,
                        const double *used_cpus)
{
    lmn_metric_head(out, "lemonspar_team_cpus", "gauge",
                    "Processors that a team's tasks use here");
    for (size_t i = 0; i < settings->team_count; i++)
        lmn_metric_sample(out, "lemonspar_team_cpus", "team", settings->teams[i].name,
                          used_cpus[i]);
}

static void write_counters(GString *out, const struct lmn_counters *counters)
{
    const struct {
        const char *name, *help;
        uint64_t value;
    } metrics[] = {
        {"lemonspar_submissions", "Submissions", counters->submissions},
        {"lemonspar_refused", "Submissions answered 429 since too many wait",
         counters->refused_requests},
        {"lemonspar_polls", "Polls and cancellations", counters->status_requests},
        {"lemonspar_reports", "Workers' reports", counters->heartbeats},
        {"lemonspar_requests_too_large", "Requests with more than 64 KiB",
         counters->oversized_requests},
        {"lemonspar_deferred_commands",
         "Commands that a message to a worker had no room for, sent with a later one",
         counters->deferred_commands},
        {"lemonspar_machines_used_up",
         "Machines returned since too many ended attempts could not be cleared; none is",
         0},
        {"lemonspar_tokens_raised",
         "Times that a machine's fencing token was raised to clear attempts there",
         counters->raised_tokens},
        {"lemonspar_attempts_reappeared",
         "Attempts that workers named after they were thought to be gone",
         counters->reappeared_attempts},
        {"lemonspar_starts", "Start commands", counters->starts},
        {"lemonspar_kills", "Kill commands", counters->kills},
        {"lemonspar_failures", "Tasks that ended with an error", counters->task_failures},
        {"lemonspar_jobs_accused", "Jobs found to fail wherever they start",
         counters->faulty_jobs},
        {"lemonspar_machines_accused",
         "Machines left because tasks fail on them that succeed elsewhere",
         counters->faulty_machines},
        {"lemonspar_preempted", "Tasks stopped to make room", counters->preempted},
        {"lemonspar_steal_tries", "Looks at a sample of queues", counters->steal_tries},
        {"lemonspar_steals", "Steals inside partitions", counters->steals},
        {"lemonspar_stolen_tasks", "Tasks that they took", counters->stolen_tasks},
        {"lemonspar_moves", "Steals between partitions", counters->moves},
        {"lemonspar_moved_tasks", "Tasks that they took", counters->moved_tasks},
        {"lemonspar_takeovers", "Partitions taken over", counters->failovers},
        {"lemonspar_unqueued",
         "Queued tasks that stood in no queue (there should be none)",
         counters->reconciled_tasks},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++)
        lmn_metric_counter(out, metrics[i].name, metrics[i].help, metrics[i].value);
}

/** Called without the core's lock: the HTTP server has its own counters. */
static void write_connections(GString *out, const struct lmn_core *core,
                              const struct lmn_http_server *server)
{
    static const char *const kinds[] = {"passing", "users", "workers"};
    struct lmn_http_server_load load;

    lmn_http_server_load(server, &load);
    lmn_metric_head(out, "lemonspar_connections", "gauge",
                    "Connections open, by purpose");
    for (int i = 0; i < LMN_CONNECTION_KINDS; i++)
        lmn_metric_sample(out, "lemonspar_connections", "of", kinds[i], load.open[i]);
    lmn_metric_gauge(out, "lemonspar_connections_most", "Connections let in at a time",
                     core->connection_budget.max_accepted);
    lmn_metric_head(out, "lemonspar_connections_closed", "counter",
                    "Connections closed with their answer, for want of sockets");
    for (int i = 0; i < LMN_CONNECTION_KINDS; i++)
        lmn_metric_sample(out, "lemonspar_connections_closed_total", "of", kinds[i],
                          (double)load.closed[i]);
    lmn_metric_head(out, "lemonspar_connections_turned_away", "counter",
                    "Connections not let in, for want of sockets");
    for (int i = 0; i < LMN_CONNECTION_KINDS; i++)
        lmn_metric_sample(out, "lemonspar_connections_turned_away_total", "of", kinds[i],
                          (double)load.refused[i]);
}

static void write_load(GString *out, const struct lmn_load *load)
{
    static const char *const kinds[] = {"polls", "submissions", "starts"};

    lmn_metric_gauge(out, "lemonspar_behind_seconds",
                     "How late the node does what is due", load->delay_s);
    lmn_metric_head(out, "lemonspar_shed", "counter",
                    "Requests answered at once since the node was behind");
    for (int i = 0; i < LMN_SHED_KINDS; i++)
        lmn_metric_sample(out, "lemonspar_shed_total", "what", kinds[i],
                          (double)load->shed_counts[i]);
}

/** Called without the core's lock: takes the key-value client's lock. */
static void write_kv_client(GString *out, struct lmn_kv_client *kv_client)
{
    struct lmn_latency write_latency;

    lmn_latency_init(&write_latency);
    double waiting_changes = lmn_kv_client_statistics(kv_client, &write_latency);
    lmn_metric_gauge(out, "lemonspar_state_waiting_changes",
                     "Changes that wait for their budget", waiting_changes);
    lmn_metric_duration_summary(out, "lemonspar_state_write_seconds",
                                "From a transaction's sending to its answer",
                                &write_latency);
    lmn_latency_clear(&write_latency);
}

void lmn_controller_metrics(void *arg, GString *out)
{
    struct lmn_core *core = arg;

    pthread_mutex_lock(&core->lock);
    struct core_snapshot snapshot = take_snapshot(core);
    lmn_metric_duration_summary(out, "lemonspar_accepting_seconds",
                                "From a submission to its commit",
                                &core->latencies.submission);
    lmn_metric_duration_summary(out, "lemonspar_starting_seconds",
                                "From a job's acceptance to a task's start",
                                &core->latencies.start);
    write_fair_shares(out, core);
    lmn_members_metrics(core, out);
    lmn_replication_metrics(core, out, lmn_now());
    pthread_mutex_unlock(&core->lock);
    write_totals(out, &snapshot);
    write_tasks(out, &snapshot.totals.tasks);
    write_teams(out, core->settings, snapshot.totals.used_cpus);
    g_free(snapshot.totals.used_cpus);
    write_counters(out, &snapshot.counters);
    write_load(out, &snapshot.load);
    if (snapshot.http_server)
        write_connections(out, core, snapshot.http_server);
    write_kv_client(out, core->kv_client);
}
