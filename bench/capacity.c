/* The tables of docs/CAPACITY.md, made from the reports of bench runs.
 *
 *     bench_capacity RESULTS-DIRECTORY PAGE [--check]
 *
 * A report lies in the directory as SITE-SCENARIO-FRACTION-JOURNAL.json: which site, what
 * happened, the part of the target's size, the run's entry in journal/. limits.json holds
 * each site's limits. The lines between the two marks of the page are replaced; --check
 * only compares them, and fails if they differ.
 *
 * A figure is predicted by an intercept and a slope for each thing that it grows by,
 * fitted by least squares to the runs without troubles of up to FIT_MOST of the target,
 * and compared with the calm runs that are larger. */
#include <errno.h>
#include <glib.h>
#include <gsl/gsl_multifit.h>
#include <jansson.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALM "calm"
#define MANY_JOBS "manyjobs" /* calm, the same work in four times as many jobs */
#define MARK_BEGIN "<!-- tables: begin (made by bench/capacity) -->\n"
#define MARK_END "<!-- tables: end -->\n"
#define FIT_MOST 0.25
#define ERROR_MOST                                                                       \
    0.15 /* beyond it an error stands in bold, and the page explains it                  \
          */

struct run {
    char *site, *scenario, *journal;
    double fraction;
    json_t *report;
};

static G_NORETURN void fail(const char *what, const char *why)
{
    fprintf(stderr, "bench_capacity: %s: %s\n", what, why);
    exit(2);
}

/* --- what a report says --- */

static const json_t *report_part(const struct run *r, const char *part)
{
    const json_t *v = json_object_get(r->report, part);

    if (!v)
        fail(r->journal, part);
    return v;
}

static double report_number(const struct run *r, const char *part, const char *field)
{
    const json_t *v = json_object_get(report_part(r, part), field);

    if (!json_is_number(v))
        fail(r->journal, field);
    return json_number_value(v);
}

static double duration(const struct run *r)
{
    return json_number_value(report_part(r, "duration_s"));
}

static double controllers_mean(const struct run *r, const char *field)
{
    const json_t *nodes = report_part(r, "node_stats");
    double sum = 0;

    for (size_t i = 0; i < json_array_size(nodes); i++)
        sum += json_number_value(json_object_get(json_array_get(nodes, i), field));
    return sum / (double)json_array_size(nodes);
}

static double controllers_most(const struct run *r, const char *field)
{
    const json_t *nodes = report_part(r, "node_stats");
    double most = 0;

    for (size_t i = 0; i < json_array_size(nodes); i++)
        most = MAX(most,
                   json_number_value(json_object_get(json_array_get(nodes, i), field)));
    return most;
}

static double restarts(const struct run *r)
{
    const json_t *nodes = report_part(r, "node_stats");
    size_t n = 0;

    for (size_t i = 0; i < json_array_size(nodes); i++)
        n += json_array_size(json_object_get(json_array_get(nodes, i), "restarts"));
    return (double)n;
}

/* The most of a quantity in any of the windows of some seconds that the report has. */
static double windows_most(const struct run *r, const char *field)
{
    const json_t *windows = report_part(r, "windows");
    double most = 0;

    for (size_t i = 0; i < json_array_size(windows); i++)
        most = MAX(most,
                   json_number_value(json_object_get(json_array_get(windows, i), field)));
    return most;
}

/* Requests of users that ended without an answer, or with an error. */
static double users_errors(const struct run *r)
{
    json_t *errors = json_object_get(report_part(r, "users"), "errors"), *one;
    const char *kind;
    double sum = 0;

    json_object_foreach(errors, kind, one) sum += json_number_value(one);
    return sum;
}

/* The first class of a site is its urgent one. */
static double urgent_wait(const struct run *r, const char *quantile)
{
    void *first = json_object_iter((json_t *)report_part(r, "classes"));
    const json_t *wait = json_object_get(json_object_iter_value(first), "wait_s");

    return json_number_value(json_object_get(wait, quantile));
}

/* --- what figures grow by: what a run is given; and connections, which come of it, but
 * have a prediction of their own --- */

static double workers(const struct run *r)
{
    return json_number_value(report_part(r, "machines"));
}

static double jobs_a_second(const struct run *r)
{
    return report_number(r, "users", "submitted") / duration(r);
}

static double connections_mean(const struct run *r)
{
    return controllers_mean(r, "connections_peak");
}

struct driver {
    const char *name;
    double unit; /* slopes are for so many */
    double (*value)(const struct run *r);
};

static const struct driver by_workers = {"1,000 workers", 1000, workers};
static const struct driver by_jobs = {"job a second", 1, jobs_a_second};
static const struct driver by_connections = {"1,000 connections", 1000, connections_mean};

/* --- figures --- */

static double cpu_mean(const struct run *r)
{
    return controllers_mean(r, "cpu_mean");
}

static double cpu_peak(const struct run *r)
{
    return controllers_most(r, "cpu_peak");
}

static double memory_mean(const struct run *r)
{
    return controllers_mean(r, "memory_peak_mb");
}

static double memory_most(const struct run *r)
{
    return controllers_most(r, "memory_peak_mb");
}

static double connections_most(const struct run *r)
{
    return controllers_most(r, "connections_peak");
}

static double peer_kb(const struct run *r)
{
    return controllers_mean(r, "peer_mb") * 1000 / duration(r);
}

static double peer_packets(const struct run *r)
{
    return controllers_mean(r, "peer_packets_per_s");
}

static double state_requests(const struct run *r)
{
    return report_number(r, "state", "requests") / duration(r);
}

static double state_changes(const struct run *r)
{
    return report_number(r, "state", "writes") / duration(r);
}

static double state_conflicts(const struct run *r)
{
    return report_number(r, "state", "conflicts") / duration(r);
}

static double state_kb_written(const struct run *r)
{
    return report_number(r, "state", "bytes_written") / 1000 / duration(r);
}

static double state_keys(const struct run *r)
{
    return report_number(r, "state", "keys");
}

static double state_kb_held(const struct run *r)
{
    return report_number(r, "state", "bytes") / 1000;
}

static double cloud_requests(const struct run *r)
{
    return report_number(r, "cloud", "requests") / duration(r);
}

static double users_questions(const struct run *r)
{
    return report_number(r, "users", "asked") / duration(r);
}

enum { DRIVERS = 2 };

struct figure {
    const char *role, *name, *unit;
    double (*value)(const struct run *r);
    const struct driver *drivers[DRIVERS];
    const char *limit; /* in limits.json; NULL: none */
};

#define CONTROLLER "Controller"
#define STATE "State service"

static const struct figure figures[] = {
    {CONTROLLER,
     "processor, mean of all",
     "core",
     cpu_mean,
     {&by_workers, &by_jobs},
     "cores"},
    {CONTROLLER, "processor, highest", "core", cpu_peak, {&by_workers}, "cores"},
    {CONTROLLER,
     "connections, mean of all",
     "",
     connections_mean,
     {&by_workers},
     "connections"},
    {CONTROLLER,
     "connections, highest",
     "",
     connections_most,
     {&by_workers},
     "connections"},
    {CONTROLLER,
     "memory, mean of all",
     "MB",
     memory_mean,
     {&by_connections},
     "memory_mb"},
    {CONTROLLER, "memory, highest", "MB", memory_most, {&by_connections}, "memory_mb"},
    {CONTROLLER,
     "with other controllers",
     "kB/s",
     peer_kb,
     {&by_workers, &by_jobs},
     NULL},
    {CONTROLLER,
     "packets with other controllers",
     "1/s",
     peer_packets,
     {&by_workers, &by_jobs},
     NULL},
    {STATE, "requests", "1/s", state_requests, {&by_workers, &by_jobs}, "state_rps"},
    {STATE, "changes", "1/s", state_changes, {&by_workers, &by_jobs}, "state_write_rps"},
    {STATE, "conflicts", "1/s", state_conflicts, {&by_workers, &by_jobs}, NULL},
    {STATE, "written", "kB/s", state_kb_written, {&by_workers, &by_jobs}, NULL},
    {STATE, "keys at the end", "", state_keys, {&by_workers, &by_jobs}, NULL},
    {STATE, "held at the end", "kB", state_kb_held, {&by_workers, &by_jobs}, NULL},
    {"Cloud", "requests", "1/s", cloud_requests, {&by_workers}, "cloud_rps"},
    {"Users", "questions about jobs", "1/s", users_questions, {&by_jobs}, NULL},
};

/* --- lines through runs --- */

struct model {
    double intercept, slopes[DRIVERS]; /* by a unit of each driver */
};

static bool is_calm(const struct run *r, const char *site)
{
    return !strcmp(r->site, site) && !strcmp(r->scenario, CALM);
}

static bool is_fitted(const struct run *r, const char *site, double most)
{
    return !strcmp(r->site, site) && r->fraction <= most &&
           (!strcmp(r->scenario, CALM) || !strcmp(r->scenario, MANY_JOBS));
}

static size_t drivers_of(const struct figure *f)
{
    return f->drivers[1] ? 2 : 1;
}

static struct model fit(const GPtrArray *runs, const char *site, const struct figure *f,
                        double most)
{
    size_t columns = 1 + drivers_of(f), n = 0, row = 0;
    struct model m = {0};
    double squares;

    for (guint i = 0; i < runs->len; i++)
        n += is_fitted(runs->pdata[i], site, most);
    if (n < columns)
        fail(site, "too few runs to fit a figure to");
    gsl_matrix *x = gsl_matrix_alloc(n, columns);
    gsl_matrix *covariance = gsl_matrix_alloc(columns, columns);
    gsl_vector *y = gsl_vector_alloc(n), *c = gsl_vector_alloc(columns);
    gsl_multifit_linear_workspace *work = gsl_multifit_linear_alloc(n, columns);
    for (guint i = 0; i < runs->len; i++) {
        const struct run *r = runs->pdata[i];
        if (!is_fitted(r, site, most))
            continue;
        gsl_matrix_set(x, row, 0, 1);
        for (size_t k = 1; k < columns; k++)
            gsl_matrix_set(x, row, k,
                           f->drivers[k - 1]->value(r) / f->drivers[k - 1]->unit);
        gsl_vector_set(y, row++, f->value(r));
    }
    gsl_multifit_linear(x, y, c, covariance, &squares, work);
    m.intercept = gsl_vector_get(c, 0);
    for (size_t k = 1; k < columns; k++)
        m.slopes[k - 1] = gsl_vector_get(c, k);
    gsl_multifit_linear_free(work);
    gsl_vector_free(y);
    gsl_vector_free(c);
    gsl_matrix_free(x);
    gsl_matrix_free(covariance);
    return m;
}

/* The mean of the calm runs of this size; NAN: there is none. */
static double mean_at(const GPtrArray *runs, const char *site, double fraction,
                      double (*value)(const struct run *r))
{
    double n = 0, sum = 0;

    for (guint i = 0; i < runs->len; i++) {
        const struct run *r = runs->pdata[i];
        if (is_calm(r, site) && r->fraction == fraction)
            n++, sum += value(r);
    }
    return n > 0 ? sum / n : NAN;
}

/* What the drivers make of a calm run of this size, without the intercept. */
static double growth(const GPtrArray *runs, const char *site, const struct figure *f,
                     const struct model *m, double fraction)
{
    double sum = 0;

    for (size_t k = 0; k < drivers_of(f); k++)
        sum += m->slopes[k] * mean_at(runs, site, fraction, f->drivers[k]->value) /
               f->drivers[k]->unit;
    return sum;
}

/* --- tables --- */

static void put_number(GString *out, double v)
{
    if (isnan(v))
        g_string_append(out, "not run");
    else if (fabs(v) >= 100)
        g_string_append_printf(out, "%.0f", v);
    else
        g_string_append_printf(out, "%.3g", v);
}

static void put_cell(GString *out, double v)
{
    g_string_append(out, " | ");
    put_number(out, v);
}

static void put_error(GString *out, double predicted, double measured)
{
    double error = predicted / measured - 1;

    if (isnan(error))
        g_string_append(out, " | not run");
    else if (fabs(error) > ERROR_MOST)
        g_string_append_printf(out, " | **%+.0f%%**", 100 * error);
    else
        g_string_append_printf(out, " | %+.0f%%", 100 * error);
}

static void put_name(GString *out, const struct figure *f)
{
    g_string_append_printf(out, "| %s%s%s", f->name, *f->unit ? ", " : "", f->unit);
}

static void put_runs(GString *out, const GPtrArray *runs)
{
    g_string_append(
        out,
        "### Runs\n\n"
        "| journal | site | part | scenario | seconds | workers | teams | submissions "
        "| accepted | submission p95, ms | requests of users in vain | starts a second, "
        "mean | tasks running, "
        "most | urgent wait p50, s | p90, s | tasks ended by their lease | rules "
        "broken | controllers restarted |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
        "| --- | --- | --- | --- |\n");
    for (guint i = 0; i < runs->len; i++) {
        const struct run *r = runs->pdata[i];
        const json_t *submit = json_object_get(report_part(r, "users"), "submit_ms");
        g_string_append_printf(out, "| %s | %s | %g | %s", r->journal, r->site,
                               r->fraction, r->scenario);
        put_cell(out, duration(r));
        put_cell(out, workers(r));
        put_cell(out, (double)json_object_size(report_part(r, "teams")));
        put_cell(out, report_number(r, "users", "submitted"));
        put_cell(out, report_number(r, "users", "accepted"));
        put_cell(out, json_number_value(json_object_get(submit, "p95")));
        put_cell(out, users_errors(r));
        put_cell(out, report_number(r, "fleet", "tasks_started") / duration(r));
        put_cell(out, windows_most(r, "tasks"));
        put_cell(out, urgent_wait(r, "p50"));
        put_cell(out, urgent_wait(r, "p90"));
        put_cell(out, report_number(r, "fleet", "tasks_killed_by_lease"));
        put_cell(out, report_number(r, "rules_broken", "total"));
        put_cell(out, restarts(r));
        g_string_append(out, " |\n");
    }
}

static void put_prediction(GString *out, const GPtrArray *runs, const char *site,
                           const struct figure *f)
{
    static const double fitted[] = {0.1, 0.25}, predicted[] = {0.5, 1};
    struct model m = fit(runs, site, f, FIT_MOST);

    put_name(out, f);
    for (size_t i = 0; i < G_N_ELEMENTS(fitted); i++)
        put_cell(out, mean_at(runs, site, fitted[i], f->value));
    put_cell(out, m.intercept);
    for (size_t k = 0; k < drivers_of(f); k++) {
        g_string_append(out, k ? "; " : " | ");
        put_number(out, m.slopes[k]);
        g_string_append_printf(out, " by %s", f->drivers[k]->name);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(predicted); i++) {
        double model = m.intercept + growth(runs, site, f, &m, predicted[i]);
        double measured = mean_at(runs, site, predicted[i], f->value);
        put_cell(out, model);
        put_cell(out, measured);
        put_error(out, model, measured);
    }
    g_string_append(out, " |\n");
}

static void put_predictions(GString *out, const GPtrArray *runs, const char *site)
{
    const char *role = "";

    for (size_t i = 0; i < G_N_ELEMENTS(figures); i++) {
        if (strcmp(role, figures[i].role)) {
            role = figures[i].role;
            g_string_append_printf(
                out,
                "\n### %s, %s\n\n"
                "| figure | at 0.1 | at 0.25 | intercept | slopes | 0.5 "
                "predicted "
                "| 0.5 measured | error | 1 predicted | 1 measured | error |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
                role, site);
        }
        put_prediction(out, runs, site, &figures[i]);
    }
}

/* Where the model of all runs without troubles meets the limit, if all that the figure
 * grows by grows alike, in times of the target. */
static double limit_met_at(const GPtrArray *runs, const char *site,
                           const struct figure *f, double limit)
{
    struct model m = fit(runs, site, f, 1);
    double grown = growth(runs, site, f, &m, 1);

    return grown > 0 ? (limit - m.intercept) / grown : INFINITY;
}

struct headroom {
    const struct figure *figure;
    double measured, limit, met_at;
};

static gint compare_headroom(gconstpointer a, gconstpointer b)
{
    const struct headroom *x = a, *y = b;

    return (x->met_at > y->met_at) - (x->met_at < y->met_at);
}

/* What breaks first comes first. */
static GArray *headroom_of(const GPtrArray *runs, const char *site, const json_t *limits)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(struct headroom));

    for (size_t i = 0; i < G_N_ELEMENTS(figures); i++) {
        const struct figure *f = &figures[i];
        if (!f->limit)
            continue;
        const json_t *v = json_object_get(json_object_get(limits, site), f->limit);
        if (!json_is_number(v))
            fail("limits.json", f->limit);
        double limit = json_number_value(v);
        struct headroom h = {f, mean_at(runs, site, 1, f->value), limit,
                             limit_met_at(runs, site, f, limit)};
        g_array_append_val(all, h);
    }
    g_array_sort(all, compare_headroom);
    return all;
}

static void put_headroom(GString *out, const GPtrArray *runs, const char *site,
                         const json_t *limits)
{
    GArray *all = headroom_of(runs, site, limits);

    g_string_append_printf(
        out,
        "\n### Limits and headroom at the target, %s\n\n"
        "| role | figure | measured at 1 | limit | used | limit met at, times the target "
        "|\n| --- | --- | --- | --- | --- | --- |\n",
        site);
    for (guint i = 0; i < all->len; i++) {
        const struct headroom *h = &g_array_index(all, struct headroom, i);
        g_string_append_printf(out, "| %s ", h->figure->role);
        put_name(out, h->figure);
        put_cell(out, h->measured);
        put_cell(out, h->limit);
        g_string_append_printf(out, " | %.1f%%", 100 * h->measured / h->limit);
        put_cell(out, h->met_at);
        g_string_append(out, " |\n");
    }
    g_array_free(all, TRUE);
}

static bool is_of(const struct run *r, const char *site, double fraction)
{
    return !strcmp(r->site, site) && r->fraction == fraction;
}

/* All runs of a size beside each other: what troubles, teams and controllers change. */
static void put_beside(GString *out, const GPtrArray *runs, const char *site,
                       double fraction)
{
    g_string_append_printf(
        out, "\n### Runs at %g beside each other, %s\n\n| role | figure", fraction, site);
    for (guint k = 0; k < runs->len; k++) {
        const struct run *r = runs->pdata[k];
        if (is_of(r, site, fraction))
            g_string_append_printf(out, " | %s (%s)", r->scenario, r->journal);
    }
    g_string_append(out, " |\n| --- | ---");
    for (guint k = 0; k < runs->len; k++)
        if (is_of(runs->pdata[k], site, fraction))
            g_string_append(out, " | ---");
    g_string_append(out, " |\n");
    for (size_t i = 0; i < G_N_ELEMENTS(figures); i++) {
        g_string_append_printf(out, "| %s ", figures[i].role);
        put_name(out, &figures[i]);
        for (guint k = 0; k < runs->len; k++)
            if (is_of(runs->pdata[k], site, fraction))
                put_cell(out, figures[i].value(runs->pdata[k]));
        g_string_append(out, " |\n");
    }
}

/* Reports that a controller hears, by settings: the bench does not count them. */
static void put_reports(GString *out, const GPtrArray *runs, const json_t *limits)
{
    g_string_append(out,
                    "\n### Reports of workers to a controller, computed, not measured\n\n"
                    "| site | workers, most at once | report_s | controllers | reports "
                    "to each, 1/s |\n| --- | --- | --- | --- | --- |\n");
    for (guint i = 0; i < runs->len; i++) {
        const struct run *r = runs->pdata[i];
        const json_t *s = json_object_get(json_object_get(limits, r->site), "report_s");
        double up = windows_most(r, "machines"), each = json_number_value(s);
        double controllers = json_number_value(report_part(r, "nodes"));
        if (!is_calm(r, r->site))
            continue;
        g_string_append_printf(out, "| %s at %g", r->site, r->fraction);
        put_cell(out, up);
        put_cell(out, each);
        put_cell(out, controllers);
        put_cell(out, up / each / controllers);
        g_string_append(out, " |\n");
    }
}

static bool is_first_of_site(const GPtrArray *runs, guint at)
{
    const struct run *r = runs->pdata[at];

    return !at || strcmp(((const struct run *)runs->pdata[at - 1])->site, r->site);
}

static GString *make_tables(const GPtrArray *runs, const json_t *limits)
{
    GString *out = g_string_new("\n");

    put_runs(out, runs);
    for (guint i = 0; i < runs->len; i++) {
        const struct run *r = runs->pdata[i];
        if (!is_first_of_site(runs, i))
            continue;
        put_predictions(out, runs, r->site);
        put_headroom(out, runs, r->site, limits);
        put_beside(out, runs, r->site, 1);
        put_beside(out, runs, r->site, 0.25);
    }
    put_reports(out, runs, limits);
    g_string_append_c(out, '\n');
    return out;
}

/* --- files --- */

static json_t *read_json(const char *dir, const char *name)
{
    char *path = g_build_filename(dir, name, NULL);
    json_error_t why;
    json_t *v = json_load_file(path, 0, &why);

    if (!v)
        fail(path, why.text);
    g_free(path);
    return v;
}

static struct run *read_run(const char *dir, const char *name)
{
    char **words = g_strsplit(name, "-", 4);
    struct run *r = g_new0(struct run, 1);

    if (g_strv_length(words) != 4)
        fail(name, "expected SITE-SCENARIO-FRACTION-JOURNAL.json");
    r->site = g_strdup(words[0]);
    r->scenario = g_strdup(words[1]);
    r->fraction = g_ascii_strtod(words[2], NULL);
    r->journal = g_strndup(words[3], strlen(words[3]) - strlen(".json"));
    r->report = read_json(dir, name);
    g_strfreev(words);
    return r;
}

/* By site, scenario (calm first) and size. */
static gint compare_runs(gconstpointer a, gconstpointer b)
{
    const struct run *x = *(struct run *const *)a, *y = *(struct run *const *)b;
    int order = strcmp(y->site, x->site);

    if (!order)
        order = strcmp(x->scenario, y->scenario);
    if (!order)
        order = (x->fraction > y->fraction) - (x->fraction < y->fraction);
    return order ? order : strcmp(x->journal, y->journal);
}

static GPtrArray *read_runs(const char *path)
{
    GPtrArray *runs = g_ptr_array_new();
    GDir *dir = g_dir_open(path, 0, NULL);
    const char *name;

    if (!dir)
        fail(path, "no such directory");
    while ((name = g_dir_read_name(dir)))
        if (g_str_has_suffix(name, ".json") && strcmp(name, "limits.json"))
            g_ptr_array_add(runs, read_run(path, name));
    g_dir_close(dir);
    g_ptr_array_sort(runs, compare_runs);
    return runs;
}

/* The page with its tables replaced. */
static char *put_into_page(const char *page, const char *name, const GString *tables)
{
    const char *begin = strstr(page, MARK_BEGIN), *end = strstr(page, MARK_END);

    if (!begin || !end || end < begin)
        fail(name, "has not the two marks of the tables");
    begin += strlen(MARK_BEGIN);
    return g_strdup_printf("%.*s%s%s", (int)(begin - page), page, tables->str, end);
}

int main(int argc, char **argv)
{
    char *page;

    if (argc < 3)
        fail("arguments", "expected RESULTS-DIRECTORY PAGE [--check]");
    if (!g_file_get_contents(argv[2], &page, NULL, NULL))
        fail(argv[2], "cannot be read");
    GPtrArray *runs = read_runs(argv[1]);
    GString *tables = make_tables(runs, read_json(argv[1], "limits.json"));
    char *made = put_into_page(page, argv[2], tables);
    if (argc > 3 && !strcmp(argv[3], "--check")) {
        if (!strcmp(page, made))
            return 0;
        fail(argv[2], "its tables are not those of the results: run bench/capacity");
    }
    if (!g_file_set_contents(argv[2], made, -1, NULL))
        fail(argv[2], "cannot be written");
    return 0;
}
