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
    if (range->job->phase != LMN_JOB_ACTIVE || !range->st)
        return;
    for (uint32_t i = 0; i < range->hi - range->lo; i++) {
        t->queued += range->st[i] == LMN_TASK_QUEUED;
        t->started += range->st[i] == LMN_TASK_STARTED;
        t->moving += range->st[i] == LMN_TASK_MOVING;
        t->done += range->st[i] == LMN_TASK_DONE;
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
    s->ready += partition->ready;
    s->unplaced += partition->unplaced.tasks;
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *machine = v;
        s->machines += !machine->is_gone;
        s->unaccounted += !machine->accounted;
        s->retiring += machine->retiring;
        s->queued += machine->queue.tasks;
    }
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v))
        count_range(&s->tasks, v);
    for (size_t i = 0; i < core->cfg->nteams; i++)
        s->used[i] += partition->used_cpus[i];
}

static void counters(GString *out, const struct lmn_counters *counters)
{
    const struct {
        const char *name, *help;
        uint64_t value;
    } all[] = {
        {"lemonspar_submissions", "Submissions", counters->submissions},
        {"lemonspar_refused", "Submissions answered 429 since too many wait",
         counters->refused},
        {"lemonspar_polls", "Polls and cancellations", counters->polls},
        {"lemonspar_reports", "Workers' reports", counters->reports},
        {"lemonspar_starts", "Start commands", counters->starts},
        {"lemonspar_kills", "Kill commands", counters->kills},
        {"lemonspar_failures", "Tasks that ended with an error", counters->failures},
        {"lemonspar_jobs_accused", "Jobs found to fail wherever they start",
         counters->accused},
        {"lemonspar_machines_accused",
         "Machines left because tasks fail on them that succeed elsewhere",
         counters->faulty},
        {"lemonspar_preempted", "Tasks stopped to make room", counters->preempted},
        {"lemonspar_steal_tries", "Looks at a sample of queues", counters->steal_tries},
        {"lemonspar_steals", "Steals inside partitions", counters->steals},
        {"lemonspar_stolen_tasks", "Tasks that they took", counters->stolen_tasks},
        {"lemonspar_moves", "Steals between partitions", counters->moves},
        {"lemonspar_moved_tasks", "Tasks that they took", counters->moved_tasks},
        {"lemonspar_takeovers", "Partitions taken over", counters->takeovers},
        {"lemonspar_unqueued",
         "Queued tasks that stood in no queue (there should be none)",
         counters->unqueued},
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
              core->sockets.accepted);
    lmn_metric_head(out, "lemonspar_connections_closed", "counter",
                    "Connections closed with their answer, for want of sockets");
    for (int i = 0; i < LMN_CONNECTION_KINDS; i++)
        lmn_metric_sample(out, "lemonspar_connections_closed_total", "of", kinds[i],
                          (double)load.closed[i]);
    lmn_metric_head(out, "lemonspar_connections_turned_away", "counter",
                    "Connections not let in, for want of sockets");
    for (int i = 0; i < LMN_CONNECTION_KINDS; i++)
        lmn_metric_sample(out, "lemonspar_connections_turned_away_total", "of", kinds[i],
                          (double)load.turned_away[i]);
}

void lmn_controller_metrics(void *core, GString *out)
{
    struct lmn_core *c = core;
    struct sums s = {.used = g_new0(double, c->cfg->nteams)};

    pthread_mutex_lock(&c->lock);
    for (int i = 0; i < c->nparts; i++)
        if (c->parts[i].mine)
            count_partition(c, &s, &c->parts[i]);
    struct lmn_counters n = c->count;
    struct lmn_load load = c->load;
    const struct lmn_http_server *server = c->server;
    double stale = lmn_watch_cache_age_s(c, lmn_now());
    guint jobs = g_hash_table_size(c->jobs), final_jobs = c->final_jobs.length;
    lmn_quantiles(out, "lemonspar_accepting_seconds", "From a submission to its commit",
                  &c->accepting);
    lmn_quantiles(out, "lemonspar_starting_seconds",
                  "From a job's acceptance to a task's start", &c->starting);
    GArray *classes = lmn_fair_share_by_class(c);
    lmn_metric_head(out, "lemonspar_class_cpus", "gauge",
                    "Processors that the tasks of a class use here");
    for (guint i = 0; i < classes->len; i++)
        lmn_metric_sample(out, "lemonspar_class_cpus", "class",
                          g_array_index(classes, struct lmn_fair_share, i).of,
                          g_array_index(classes, struct lmn_fair_share, i).used);
    lmn_metric_head(out, "lemonspar_class_waiting_cpus", "gauge",
                    "Processors that its tasks that were not started ask for");
    for (guint i = 0; i < classes->len; i++)
        lmn_metric_sample(out, "lemonspar_class_waiting_cpus", "class",
                          g_array_index(classes, struct lmn_fair_share, i).of,
                          g_array_index(classes, struct lmn_fair_share, i).waiting);
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
    for (size_t i = 0; i < c->cfg->nteams; i++)
        lmn_metric_sample(out, "lemonspar_team_cpus", "team", c->cfg->teams[i].name,
                          s.used[i]);
    g_free(s.used);
    counters(out, &n);
    static const char *const sheds[] = {"polls", "submissions", "starts"};
    lmn_gauge(out, "lemonspar_behind_seconds", "How late the node does what is due",
              load.behind);
    lmn_metric_head(out, "lemonspar_shed", "counter",
                    "Requests answered at once since the node was behind");
    for (int i = 0; i < LMN_SHED_KINDS; i++)
        lmn_metric_sample(out, "lemonspar_shed_total", "what", sheds[i],
                          (double)load.shed[i]);
    if (server)
        sockets(out, c, server);
    struct lmn_latency writing;
    lmn_latency_init(&writing);
    double waiting = lmn_kv_client_statistics(c->state, &writing);
    lmn_gauge(out, "lemonspar_state_waiting_changes",
              "Changes that wait for their budget", waiting);
    lmn_quantiles(out, "lemonspar_state_write_seconds",
                  "From a transaction's sending to its answer", &writing);
    lmn_latency_clear(&writing);
}
