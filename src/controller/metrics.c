#include "controller/metrics.h"
#include "http/server.h"
#include "http/metrics.h"
#include "scheduler/fair_share.h"
#include "controller/members_report.h"
#include "controller/replication_report.h"
#include "state/core.h"

struct tasks {
    double queued, started, moving, done;
};

static void count_range(struct tasks *t, const struct lmn_range *range)
{
    if (range->job->phase != LMN_JOB_ACTIVE || !range->task_states)
        return;
    for (uint32_t i = 0; i < range->end - range->first; i++) {
        t->queued += range->task_states[i] == LMN_TASK_QUEUED;
        t->started += range->task_states[i] == LMN_TASK_STARTED;
        t->moving += range->task_states[i] == LMN_TASK_MOVING;
        t->done += range->task_states[i] == LMN_TASK_DONE;
    }
}

struct sums {
    struct tasks tasks;
    double machines, unaccounted, retiring, queued, unplaced, owned, ready;
    double *used; /* by team */
};

static void count_partition(const struct lmn_core *core, struct sums *s,
                            const struct lmn_partition *partition)
{
    GHashTableIter it;
    gpointer v;

    s->owned++;
    s->ready += partition->ownership.is_ready;
    s->unplaced += partition->scheduling.unassigned.task_count;
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *machine = v;
        s->machines += !machine->lifecycle.is_terminated;
        s->unaccounted += !machine->lifecycle.is_accounted;
        s->retiring += machine->lifecycle.is_draining;
        s->queued += machine->queue.task_count;
    }
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v))
        count_range(&s->tasks, v);
    for (size_t i = 0; i < core->settings->team_count; i++)
        s->used[i] += partition->quota.used_cpus[i];
}

static void counters(GString *out, const struct lmn_counters *counters)
{
    const struct {
        const char *name, *help;
        uint64_t value;
    } all[] = {
        {"lemonspar_submissions", "Submissions", counters->submissions},
        {"lemonspar_refused", "Submissions answered 429 since too many wait",
         counters->refused_requests},
        {"lemonspar_polls", "Polls and cancellations", counters->status_requests},
        {"lemonspar_reports", "Workers' reports", counters->heartbeats},
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

    for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
        lmn_counter(out, all[i].name, all[i].help, all[i].value);
}

static void sockets(GString *out, const struct lmn_core *core,
                    const struct lmn_http_server *server)
{
    static const char *const kinds[] = {"passing", "users", "workers"};
    struct lmn_http_server_load load;

    lmn_http_server_load(server, &load);
    lmn_metric_head(out, "lemonspar_connections", "gauge",
                    "Connections open, by purpose");
    for (int i = 0; i < LMN_CONNECTION_KINDS; i++)
        lmn_metric_sample(out, "lemonspar_connections", "of", kinds[i], load.open[i]);
    lmn_gauge(out, "lemonspar_connections_most", "Connections let in at a time",
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

void lmn_controller_metrics(void *core, GString *out)
{
    struct lmn_core *c = core;
    struct sums s = {.used = g_new0(double, c->settings->team_count)};

    pthread_mutex_lock(&c->lock);
    for (int i = 0; i < c->partition_count; i++)
        if (c->partitions[i].ownership.is_owned)
            count_partition(c, &s, &c->partitions[i]);
    struct lmn_counters n = c->counters;
    struct lmn_load load = c->load;
    const struct lmn_http_server *server = c->http_server;
    double stale = lmn_watch_cache_age_s(c, lmn_now());
    guint jobs = g_hash_table_size(c->cache.jobs),
          final_jobs = c->cache.final_jobs.length;
    lmn_quantiles(out, "lemonspar_accepting_seconds", "From a submission to its commit",
                  &c->latencies.submission);
    lmn_quantiles(out, "lemonspar_starting_seconds",
                  "From a job's acceptance to a task's start", &c->latencies.start);
    GArray *classes = lmn_fair_share_by_class(c);
    lmn_metric_head(out, "lemonspar_class_cpus", "gauge",
                    "Processors that the tasks of a class use here");
    for (guint i = 0; i < classes->len; i++)
        lmn_metric_sample(out, "lemonspar_class_cpus", "class",
                          g_array_index(classes, struct lmn_fair_share, i).subject,
                          g_array_index(classes, struct lmn_fair_share, i).used_cpus);
    lmn_metric_head(out, "lemonspar_class_waiting_cpus", "gauge",
                    "Processors that its tasks that were not started ask for");
    for (guint i = 0; i < classes->len; i++)
        lmn_metric_sample(out, "lemonspar_class_waiting_cpus", "class",
                          g_array_index(classes, struct lmn_fair_share, i).subject,
                          g_array_index(classes, struct lmn_fair_share, i).waiting_cpus);
    g_array_free(classes, TRUE);
    lmn_members_metrics(c, out);
    lmn_replication_metrics(c, out, lmn_now());
    pthread_mutex_unlock(&c->lock);
    lmn_gauge(out, "lemonspar_mirror_behind_seconds", "How far the mirror may be behind",
              stale);
    lmn_gauge(out, "lemonspar_partitions", "Partitions owned", s.owned);
    lmn_gauge(out, "lemonspar_partitions_ready",
              "Owned partitions whose inherited tasks may start", s.ready);
    lmn_gauge(out, "lemonspar_machines", "Machines of owned partitions", s.machines);
    lmn_gauge(out, "lemonspar_machines_unaccounted",
              "Of these, not heard since the takeover", s.unaccounted);
    lmn_gauge(out, "lemonspar_machines_retiring", "Of these, on their way back",
              s.retiring);
    lmn_gauge(out, "lemonspar_queued_tasks", "Tasks in machines' queues", s.queued);
    lmn_gauge(out, "lemonspar_unplaced_tasks", "Tasks that no machine's queue could take",
              s.unplaced);
    lmn_gauge(out, "lemonspar_jobs", "Jobs in memory", jobs);
    lmn_gauge(out, "lemonspar_final_jobs", "Of these, final", final_jobs);
    lmn_metric_head(out, "lemonspar_tasks", "gauge",
                    "Tasks of active jobs in owned partitions");
    lmn_metric_sample(out, "lemonspar_tasks", "state", "queued", s.tasks.queued);
    lmn_metric_sample(out, "lemonspar_tasks", "state", "started", s.tasks.started);
    lmn_metric_sample(out, "lemonspar_tasks", "state", "moving", s.tasks.moving);
    lmn_metric_sample(out, "lemonspar_tasks", "state", "done", s.tasks.done);
    lmn_metric_head(out, "lemonspar_team_cpus", "gauge",
                    "Processors that a team's tasks use here");
    for (size_t i = 0; i < c->settings->team_count; i++)
        lmn_metric_sample(out, "lemonspar_team_cpus", "team", c->settings->teams[i].name,
                          s.used[i]);
    g_free(s.used);
    counters(out, &n);
    static const char *const sheds[] = {"polls", "submissions", "starts"};
    lmn_gauge(out, "lemonspar_behind_seconds", "How late the node does what is due",
              load.delay_s);
    lmn_metric_head(out, "lemonspar_shed", "counter",
                    "Requests answered at once since the node was behind");
    for (int i = 0; i < LMN_SHED_KINDS; i++)
        lmn_metric_sample(out, "lemonspar_shed_total", "what", sheds[i],
                          (double)load.shed_counts[i]);
    if (server)
        sockets(out, c, server);
    struct lmn_latency writing;
    lmn_latency_init(&writing);
    double waiting = lmn_kv_client_statistics(c->kv_client, &writing);
    lmn_gauge(out, "lemonspar_state_waiting_changes",
              "Changes that wait for their budget", waiting);
    lmn_quantiles(out, "lemonspar_state_write_seconds",
                  "From a transaction's sending to its answer", &writing);
    lmn_latency_clear(&writing);
}
