/* What a controller tells an operator of itself. */
#include "controller/status.h"
#include "http/server.h"
#include "scheduler/fair_share.h"
#include "controller/replication_report.h"
#include "state/core.h"

static void show_partition(GString *s, const struct lmn_core *c,
                           const struct lmn_partition *p)
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
    g_string_append_printf(
        s,
        "partition %d owner=%s term=%" G_GUINT64_FORMAT
        " mine=%d ready=%d machines=%u ranges=%u queued=%u unplaced=%u held=%u\n",
        p->id, *p->owner ? p->owner : "-", p->owner_term, p->mine, p->ready,
        g_hash_table_size(p->machines), g_hash_table_size(p->ranges), queued,
        p->unplaced.tasks, running);
    lmn_replication_describe(s, c, p, lmn_now());
    for (size_t i = 0; p->mine && i < c->cfg->nteams; i++)
        g_string_append_printf(s, "  team %s cpus=%.1f gpus=%.1f\n",
                               c->cfg->teams[i].name, p->used_cpus[i], p->used_gpus[i]);
    g_hash_table_iter_init(&it, p->machines);
    while (p->mine && g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *m = v;
        g_string_append_printf(
            s, "  machine %s type=%s zone=%s spot=%d cpus=%.1f queued=%u%s%s%s\n",
            m->name, m->type_name, m->zone, m->spot, m->used_cpus, m->queue.tasks,
            m->accounted ? "" : " unaccounted", m->retiring ? " retiring" : "",
            m->lapsed ? " lapsed" : "");
    }
}

/* What of each class runs here, and what waits; the floor is what it goes first below. */
static void show_classes(GString *s, const struct lmn_core *c)
{
    GArray *v = lmn_fair_share_by_class(c);
    double used;
    unsigned kinds = lmn_fair_share_sum(v, &used);

    for (guint i = 0; i < v->len; i++) {
        const struct lmn_fair_share *f = &g_array_index(v, struct lmn_fair_share, i);
        g_string_append_printf(s, "class %s cpus=%.1f waiting=%.1f owed=%d\n",
                               (const char *)f->of, f->used, f->waiting,
                               lmn_is_under_fair_share(f, used, kinds));
    }
    g_array_free(v, TRUE);
}

/* Jobs that fail wherever they start: they are tried with a task at a time. */
static void show_accused(GString *s, const struct lmn_core *c)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_job *j = v;
        if (j->phase == LMN_JOB_ACTIVE && lmn_job_is_faulty(&j->failures))
            g_string_append_printf(s,
                                   "accused job=%s machines=%u rounds=%u next_try=%.1f\n",
                                   j->spec.ref, j->failures.places, j->failures.rounds,
                                   MAX(lmn_time_diff_s(j->failures.hold, lmn_now()), 0));
    }
}

static void show_latency(GString *s, const char *what, const struct lmn_latency *l)
{
    g_string_append_printf(s, "latency %s p50=%.4f p95=%.4f p99=%.4f max=%.4f\n", what,
                           lmn_latency_quantile(l, 0.5), lmn_latency_quantile(l, 0.95),
                           lmn_latency_quantile(l, 0.99), l->max);
}

static void show_sockets(GString *s, const struct lmn_core *c)
{
    struct lmn_http_server_load l;

    if (!c->server)
        return;
    lmn_http_server_load(c->server, &l);
    g_string_append_printf(
        s,
        "sockets most=%u passing=%u users=%u workers=%u closed_users=%" G_GUINT64_FORMAT
        " closed_workers=%" G_GUINT64_FORMAT " turned_away=%" G_GUINT64_FORMAT "\n",
        c->sockets.accepted, l.open[LMN_CONNECTION_UNIDENTIFIED],
        l.open[LMN_CONNECTION_USER], l.open[LMN_CONNECTION_WORKER],
        l.closed[LMN_CONNECTION_USER], l.closed[LMN_CONNECTION_WORKER],
        l.turned_away[LMN_CONNECTION_WORKER]);
}

char *lmn_status_report(struct lmn_core *c)
{
    GString *s = g_string_new(NULL);

    pthread_mutex_lock(&c->lock);
    g_string_append_printf(s, "node %s lease=%" G_GUINT64_FORMAT " stale=%.1f jobs=%u\n",
                           c->cfg->node, c->lease, lmn_watch_cache_age_s(c, lmn_now()),
                           g_hash_table_size(c->jobs));
    for (int i = 0; i < c->nparts; i++)
        show_partition(s, c, &c->parts[i]);
    show_classes(s, c);
    show_accused(s, c);
    const struct lmn_counters *n = &c->count;
    g_string_append_printf(s,
                           "counts submissions=%" G_GUINT64_FORMAT
                           " polls=%" G_GUINT64_FORMAT " reports=%" G_GUINT64_FORMAT
                           " starts=%" G_GUINT64_FORMAT " kills=%" G_GUINT64_FORMAT
                           " steal_tries=%" G_GUINT64_FORMAT " steals=%" G_GUINT64_FORMAT
                           " stolen=%" G_GUINT64_FORMAT " takeovers=%" G_GUINT64_FORMAT
                           " warm=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
                           " moves=%" G_GUINT64_FORMAT " moved=%" G_GUINT64_FORMAT "\n",
                           n->submissions, n->polls, n->reports, n->starts, n->kills,
                           n->steal_tries, n->steals, n->stolen_tasks, n->takeovers,
                           n->warm, n->refused, n->moves, n->moved_tasks);
    const struct lmn_load *load = &c->load;
    g_string_append_printf(s,
                           "load behind=%.2f shed_polls=%" G_GUINT64_FORMAT
                           " shed_submissions=%" G_GUINT64_FORMAT
                           " shed_starts=%" G_GUINT64_FORMAT "\n",
                           load->behind, load->shed[LMN_SHED_POLL],
                           load->shed[LMN_SHED_SUBMISSION], load->shed[LMN_SHED_START]);
    show_sockets(s, c);
    show_latency(s, "accepting", &c->accepting);
    show_latency(s, "starting", &c->starting);
    show_latency(s, "telling", &c->telling);
    pthread_mutex_unlock(&c->lock);
    return g_string_free(s, FALSE);
}
