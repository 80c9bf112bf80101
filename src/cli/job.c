/* lemonspar job and lemonspar image.
 *
 * Exit statuses of job watch: 0 done, 1 failed or unreachable, 3 withdrawn, 4 not
 * finished in time. */
#include "cli/cli.h"
#include "util/clock.h"
#include "protocol/json.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "cli/users.h"
#include "image_store/image.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { EXIT_WITHDRAWN = 3, EXIT_TIMEOUT = 4 };

/* The options of every command. */
static char *site, *controllers, *depot;
static gboolean json;

#define WHERE                                                                            \
    {"site", 's',                                                                        \
     0,      G_OPTION_ARG_FILENAME,                                                      \
     &site,  "The site's file (LEMONSPAR_SITE, or deploy/site.toml)",                    \
     "FILE"},                                                                            \
        {"controllers",                                                                  \
         0,                                                                              \
         0,                                                                              \
         G_OPTION_ARG_STRING,                                                            \
         &controllers,                                                                   \
         "Controllers' addresses instead of a site's file",                              \
         "A,B,.."},                                                                      \
        {"depot", 0, 0, G_OPTION_ARG_STRING, &depot, "The depot's address", "ADDR"},     \
    {                                                                                    \
        "json", 0, 0, G_OPTION_ARG_NONE, &json, "JSON for programs", NULL                \
    }

static int open_users(struct lmn_users *users, bool need_depot)
{
    char err[512];

    if (lmn_users_open(users, site, controllers, depot, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    if (need_depot && !users->depot)
        return lmn_cli_fail(LMN_EXIT_USAGE, "--depot is missing");
    return 0;
}

static int no_answer(const char *what, int status)
{
    if (status == LMN_HTTP_NOT_SENT)
        return lmn_cli_fail(LMN_EXIT_FAILED,
                            "%s: no controller can be reached; is the site up?", what);
    if (status < 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s: no controller answered in time", what);
    return lmn_cli_fail(LMN_EXIT_FAILED,
                        "%s: the controllers answered %d; try again later", what, status);
}

static json_t *state_json(const struct lmn_job_state *s, uint64_t tasks)
{
    json_t *j = json_pack("{s:s, s:s, s:I, s:I}", "job", s->ref, "state", s->state,
                          "done", (json_int_t)s->done, "running", (json_int_t)s->running);
    if (tasks)
        json_object_set_new(j, "tasks", json_integer((json_int_t)tasks));
    if (s->waiting_s > 0)
        json_object_set_new(j, WIRE_WAITING_S, json_real(s->waiting_s));
    return j;
}

/* --- watch --- */

static void draw(const struct lmn_job_state *s, uint64_t tasks, bool terminal)
{
    enum { WIDTH = 40 };
    char bar[WIDTH + 1];
    uint64_t full = tasks ? s->done * WIDTH / tasks : 0;
    uint64_t busy = tasks ? (s->done + s->running) * WIDTH / tasks : 0;

    for (uint64_t i = 0; i < WIDTH; i++)
        bar[i] = i < full ? '#' : i < busy ? '+' : '.';
    bar[WIDTH] = '\0';
    if (terminal)
        printf("\r[%s] %" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT
               " done, %" G_GUINT64_FORMAT " running  %-9s",
               bar, s->done, tasks, s->running, s->state);
    else
        printf("%s %s %" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT " done %" G_GUINT64_FORMAT
               " running\n",
               s->ref, s->state, s->done, tasks, s->running);
    fflush(stdout);
}

static uint64_t tasks_of(struct lmn_users *users, const char *ref)
{
    struct lmn_image_store_error e;
    struct lmn_task_command w;
    uint64_t n = 0;

    if (users->depot && lmn_users_work(users, ref, &w, &e) == 0) {
        n = w.spec.tasks;
        lmn_task_command_clear(&w);
    }
    return n;
}

/* Asks for the job, or by suffix for something to be done with it; the exit status, said
 * if it is a failure. */
static int ask(struct lmn_users *users, const char *method, const char *ref,
               const char *suffix, struct lmn_job_state *s)
{
    char path[96];

    g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/%s%s", ref, suffix);
    int status = lmn_users_call(users, method, path, NULL, 60, s);
    if (status == 404)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s: there is no such job", ref);
    return status == 200 ? LMN_EXIT_OK : no_answer(ref, status);
}

static int watch_job(struct lmn_users *users, const char *ref, double seconds)
{
    struct timespec end = lmn_time_add(lmn_now(), seconds > 0 ? seconds : 1e9);
    struct lmn_job_state s, last = {0};
    uint64_t tasks = tasks_of(users, ref);
    bool terminal = isatty(STDOUT_FILENO) && !json;

    for (;;) {
        int rc = ask(users, "GET", ref, "", &s);
        if (rc)
            return rc;
        /* A controller may know of fewer than another; what is done stays done. */
        s.done = MAX(s.done, last.done);
        bool final = !strcmp(s.state, WIRE_DONE) || !strcmp(s.state, WIRE_CANCELLED);
        bool news = s.done != last.done || s.running != last.running ||
                    strcmp(s.state, last.state);
        if (json && (news || final))
            lmn_json_print(state_json(&s, tasks), false);
        else if (!json && (news || terminal))
            draw(&s, tasks, terminal);
        last = s;
        if (final || lmn_time_before(end, lmn_now()))
            break;
        lmn_sleep(0.3);
    }
    if (terminal)
        putchar('\n');
    if (!json && !strcmp(s.state, WIRE_DONE))
        printf("%" G_GUINT64_FORMAT " done\n", s.done);
    return !strcmp(s.state, WIRE_DONE)        ? LMN_EXIT_OK
           : !strcmp(s.state, WIRE_CANCELLED) ? EXIT_WITHDRAWN
                                              : EXIT_TIMEOUT;
}

/* --- submit --- */

struct request {
    char *ref, *team, *class_name, *kind, *urgency, *image, *zone;
    char **types, **env;
    gint tasks;
    double cpus, gpus, mem, image_gb, estimate, checkpoint, save, deadline;
    gboolean one_zone, apart, spot, watch;
};

static int one_of(const char *option, const char *value, const char *const *words)
{
    for (int i = 0; words[i]; i++)
        if (!strcmp(words[i], value))
            return i;
    char *all = g_strjoinv(", ", (char **)words);
    lmn_cli_fail(LMN_EXIT_USAGE, "%s: '%s': expected one of %s", option, value, all);
    g_free(all);
    return -1;
}

/* What the options say; -1, and said, if they are wrong. */
static int describe(const struct request *q, char **argv, struct lmn_task_command *w)
{
    static const char *const kinds[] = {"batch", "service", NULL};
    static const char *const urgencies[] = {"idle", "normal", "high", "prod", NULL};
    struct lmn_job_spec *spec = &w->spec;
    int kind = one_of("--kind", q->kind, kinds);
    int urgency = kind < 0 ? -1 : one_of("--urgency", q->urgency, urgencies);

    if (kind < 0 || urgency < 0)
        return -1;
    if (q->tasks < 1 || q->tasks > LMN_MAX_TASKS)
        return lmn_cli_fail(-1, "--tasks: expected a number from 1 to %d", LMN_MAX_TASKS);
    if (!(q->cpus >= 0) || !(q->gpus >= 0) || !(q->mem >= 0) || q->cpus > 1e6)
        return lmn_cli_fail(-1, "--cpus, --gpus, --mem: expected numbers from 0 on");
    if (!lmn_image_name_is_valid(q->image))
        return lmn_cli_fail(-1, "--image: '%s' can't be an image's name", q->image);
    for (char **e = q->env; e && *e; e++)
        if (!strchr(*e, '=') || **e == '=')
            return lmn_cli_fail(-1, "--env: '%s': expected NAME=VALUE", *e);
    memset(w, 0, sizeof *w);
    if (q->ref)
        g_strlcpy(spec->id, q->ref, sizeof spec->id);
    else
        g_snprintf(spec->id, sizeof spec->id, WIRE_JOB_ID_PREFIX "%09u%09u",
                   g_random_int() % 1000000000u, g_random_int() % 1000000000u);
    if (!lmn_job_id_is_valid(spec->id))
        return lmn_cli_fail(
            -1, "--ref: '%s': expected " WIRE_JOB_ID_PREFIX " and up to 19 digits",
            spec->id);
    spec->class_name = g_strdup(q->class_name);
    spec->team = g_strdup(q->team);
    spec->image = g_strdup(q->image);
    spec->zone = g_strdup(q->zone);
    spec->machine_types = q->types ? g_strdupv(q->types) : NULL;
    spec->kind = (enum lmn_job_kind)kind;
    spec->priority = (enum lmn_priority)urgency;
    spec->tasks = (uint32_t)q->tasks;
    spec->cpus = q->cpus;
    spec->gpus = q->gpus;
    spec->memory_gb = q->mem;
    spec->image_gb = q->image_gb;
    spec->estimate_s = q->estimate;
    spec->checkpoint_s = q->checkpoint;
    spec->save_s = q->save;
    spec->deadline_s = q->deadline > 0 ? q->deadline : -1;
    spec->requires_one_zone = q->one_zone;
    spec->spreads_over_zones = q->apart;
    spec->may_use_spot = q->spot;
    w->argv = g_strdupv(argv);
    w->env = q->env ? g_strdupv(q->env) : g_new0(char *, 1);
    return 0;
}

static int send_job(struct lmn_users *users, const struct lmn_task_command *w)
{
    GByteArray *blob = lmn_task_command_encode(w), *body = g_byte_array_new();
    struct lmn_image_store_error e = {0};
    struct lmn_job_state s;
    char digest[LMN_DIGEST_SIZE];

    if (lmn_image_store_put(users->depot, blob, digest, &e) != 0 ||
        lmn_image_store_bind(users->depot, LMN_IMAGE_STORE_KIND_JOB, w->spec.id, digest,
                             &e) != 0)
        return lmn_cli_fail(
            LMN_EXIT_FAILED, "%s%s", e.what,
            e.status == 409 ? ": this job was submitted with another description" : "");
    lmn_cbor_put_map(body, lmn_job_spec_pair_count());
    lmn_job_spec_write(body, &w->spec);
    int status = lmn_users_call(users, "POST", WIRE_PATH_JOBS, body, 60, &s);
    g_byte_array_unref(blob);
    g_byte_array_unref(body);
    if (status == 422)
        return lmn_cli_fail(
            LMN_EXIT_FAILED,
            "%s: refused: no such team, no machine type that a task fits, or more "
            "than the team's limit",
            w->spec.id);
    if (status == 400)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s: malformed: %s", w->spec.id, s.state);
    if (status != 200 && status != 201)
        return no_answer(w->spec.id, status);
    if (json)
        lmn_json_print(state_json(&s, w->spec.tasks), false);
    else
        printf("%s\n", w->spec.id);
    fflush(stdout);
    return LMN_EXIT_OK;
}

static int submit(int argc, char **argv)
{
    struct request q = {.class_name = (char *)"batch",
                        .kind = (char *)"batch",
                        .urgency = (char *)"normal",
                        .image = (char *)LMN_EMPTY_IMAGE_NAME,
                        .tasks = 1,
                        .cpus = 1,
                        .mem = 0.1,
                        .estimate = 1};
    const GOptionEntry entries[] = {
        {"team", 0, 0, G_OPTION_ARG_STRING, &q.team, "Whose limit applies", "TEAM"},
        {"tasks", 0, 0, G_OPTION_ARG_INT, &q.tasks, "Tasks (1)", "N"},
        {"cpus", 0, 0, G_OPTION_ARG_DOUBLE, &q.cpus, "Processors of each (1)", "N"},
        {"gpus", 0, 0, G_OPTION_ARG_DOUBLE, &q.gpus, "GPUs of each (0)", "N"},
        {"mem", 0, 0, G_OPTION_ARG_DOUBLE, &q.mem, "Memory of each (0.1)", "GB"},
        {"class", 0, 0, G_OPTION_ARG_STRING, &q.class_name,
         "Class, for objectives (batch)", "NAME"},
        {"kind", 0, 0, G_OPTION_ARG_STRING, &q.kind, "batch or service", "KIND"},
        {"urgency", 0, 0, G_OPTION_ARG_STRING, &q.urgency, "idle, normal, high or prod",
         "WORD"},
        {"image", 0, 0, G_OPTION_ARG_STRING, &q.image, "Directory that tasks need (none)",
         "NAME"},
        {"image-gb", 0, 0, G_OPTION_ARG_DOUBLE, &q.image_gb, "Its size", "GB"},
        {"type", 0, 0, G_OPTION_ARG_STRING_ARRAY, &q.types, "Allowed machine type (any)",
         "TYPE"},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &q.zone, "The only allowed zone", "ZONE"},
        {"one-place", 0, 0, G_OPTION_ARG_NONE, &q.one_zone, "All tasks in the same zone",
         NULL},
        {"apart", 0, 0, G_OPTION_ARG_NONE, &q.apart, "At most half in one zone", NULL},
        {"spot", 0, 0, G_OPTION_ARG_NONE, &q.spot, "Spot machines will do", NULL},
        {"estimate", 0, 0, G_OPTION_ARG_DOUBLE, &q.estimate, "A task's run time (1)",
         "SECONDS"},
        {"checkpoint", 0, 0, G_OPTION_ARG_DOUBLE, &q.checkpoint, "It saves so often",
         "SECONDS"},
        {"save", 0, 0, G_OPTION_ARG_DOUBLE, &q.save, "It needs to save", "SECONDS"},
        {"deadline", 0, 0, G_OPTION_ARG_DOUBLE, &q.deadline, "Complete within",
         "SECONDS"},
        {"env", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &q.env, "For its environment",
         "NAME=VALUE"},
        {"ref", 0, 0, G_OPTION_ARG_STRING, &q.ref, "Its id (drawn): again, for a retry",
         "REF"},
        {"watch", 'w', 0, G_OPTION_ARG_NONE, &q.watch, "Watch it to its end", NULL},
        WHERE,
        G_OPTION_ENTRY_NULL,
    };
    struct lmn_users u;
    struct lmn_task_command w = {0};
    int rc = lmn_cli_parse(
        entries, "-- COMMAND [ARGUMENT...]", "Submits a job; prints its id.",
        "Tasks find LEMONSPAR_JOB, _TASK, _TASKS, _ATTEMPT, _MACHINE, _IMAGE and "
        "_CHECKPOINT in\ntheir environment. Exit 0: done; 75 after SIGTERM: saved.",
        true, &argc, &argv);

    if (rc)
        return rc;
    if (argc < 2)
        return lmn_cli_fail(LMN_EXIT_USAGE,
                            "job submit: a command is missing: ... -- COMMAND");
    if (!q.team)
        return lmn_cli_fail(LMN_EXIT_USAGE, "job submit: --team is missing");
    if (describe(&q, argv + 1, &w) != 0)
        return LMN_EXIT_USAGE;
    rc = open_users(&u, true);
    if (!rc)
        rc = send_job(&u, &w);
    if (!rc && q.watch)
        rc = watch_job(&u, w.spec.id, 0);
    lmn_task_command_clear(&w);
    return rc;
}

/* --- the others --- */

static int with_ref(const char *args, const char *summary, const GOptionEntry *more,
                    int *argc, char ***argv)
{
    const GOptionEntry where[] = {WHERE, G_OPTION_ENTRY_NULL};
    GArray *all = g_array_new(TRUE, TRUE, sizeof(GOptionEntry));

    for (const GOptionEntry *e = more; e && e->long_name; e++)
        g_array_append_val(all, *e);
    for (const GOptionEntry *e = where; e->long_name; e++)
        g_array_append_val(all, *e);
    int rc = lmn_cli_parse((GOptionEntry *)(void *)all->data, args, summary, NULL, false,
                           argc, argv);
    g_array_free(all, TRUE);
    if (!rc && args && *argc != 2)
        rc = lmn_cli_fail(LMN_EXIT_USAGE, "expected: %s %s", (*argv)[0], args);
    return rc;
}

static int show(int argc, char **argv)
{
    struct lmn_users u;
    struct lmn_job_state s;
    int rc = with_ref("REF", "Shows a job's state.", NULL, &argc, &argv);

    if (rc || (rc = open_users(&u, false)) || (rc = ask(&u, "GET", argv[1], "", &s)))
        return rc;
    uint64_t tasks = tasks_of(&u, argv[1]);
    if (json)
        lmn_json_print(state_json(&s, tasks), true);
    else
        draw(&s, tasks, false);
    if (!json && s.waiting_s > 0)
        printf("  for %.0f s no machine has had free capacity for a task that waits\n",
               s.waiting_s);
    return LMN_EXIT_OK;
}

static int watch(int argc, char **argv)
{
    struct lmn_users u;
    double seconds = 0;
    const GOptionEntry more[] = {
        {"timeout", 0, 0, G_OPTION_ARG_DOUBLE, &seconds, "Give up after (never)",
         "SECONDS"},
        G_OPTION_ENTRY_NULL,
    };
    int rc =
        with_ref("REF",
                 "Watches a job: a bar on a terminal, else a line for each change. Exit "
                 "status:\n0 done, 1 unreachable, 3 withdrawn, 4 not finished in time.",
                 more, &argc, &argv);

    if (rc || (rc = open_users(&u, false)))
        return rc;
    return watch_job(&u, argv[1], seconds);
}

static int cancel(int argc, char **argv)
{
    struct lmn_users u;
    struct lmn_job_state s;
    int rc = with_ref("REF", "Cancels a job.", NULL, &argc, &argv);

    if (rc || (rc = open_users(&u, false)) ||
        (rc = ask(&u, "POST", argv[1], WIRE_PATH_CANCEL, &s)))
        return rc;
    if (json)
        lmn_json_print(state_json(&s, 0), true);
    else
        printf("%s %s\n", argv[1], s.state);
    return LMN_EXIT_OK;
}

static GPtrArray *names_at(struct lmn_http_client *client, const char *path, int *status)
{
    GPtrArray *a = g_ptr_array_new_with_free_func(g_free);
    GByteArray *in = g_byte_array_new();
    struct lmn_cbor_document d;
    char name[160];

    *status = lmn_http_client_call(client, "GET", path, NULL, 30, in);
    if (*status == 200 && lmn_cbor_parse(&d, in->data, in->len) == 0) {
        const struct lmn_cbor_value *list = lmn_cbor_get(&d, lmn_cbor_root(&d), "Names");
        for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&d, list); node;
             node = lmn_cbor_next(&d, node))
            if (lmn_cbor_get_text(node, name, sizeof name))
                g_ptr_array_add(a, g_strdup(name));
        lmn_cbor_free(&d);
    }
    g_byte_array_unref(in);
    return a;
}

static int list(int argc, char **argv)
{
    struct lmn_users u;
    char *team = NULL, *state = NULL;
    gint most = 100, status = 0, shown = 0;
    const GOptionEntry more[] = {
        {"team", 0, 0, G_OPTION_ARG_STRING, &team, "Only this team's", "TEAM"},
        {"state", 0, 0, G_OPTION_ARG_STRING, &state, "Only in this state", "STATE"},
        {"limit", 0, 0, G_OPTION_ARG_INT, &most, "At most so many (100)", "N"},
        G_OPTION_ENTRY_NULL,
    };
    int rc = with_ref(NULL, "Lists the jobs whose descriptions lie in the site's depot.",
                      more, &argc, &argv);

    if (rc || (rc = open_users(&u, true)))
        return rc;
    GPtrArray *refs = names_at(u.depot, "/names/" LMN_IMAGE_STORE_KIND_JOB, &status);
    if (status != 200)
        return lmn_cli_fail(LMN_EXIT_FAILED, "job list: the depot does not answer (%d)",
                            status);
    json_t *all = json_array();
    for (guint i = 0; i < refs->len && shown < most; i++) {
        struct lmn_image_store_error e;
        struct lmn_job_state s;
        struct lmn_task_command w;
        char path[96];
        if (lmn_users_work(&u, refs->pdata[i], &w, &e) != 0)
            continue;
        g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/%s", (char *)refs->pdata[i]);
        if ((team && strcmp(team, w.spec.team)) ||
            lmn_users_call(&u, "GET", path, NULL, 10, &s) != 200 ||
            (state && strcmp(state, s.state))) {
            lmn_task_command_clear(&w);
            continue;
        }
        shown++;
        if (json) {
            json_t *j = state_json(&s, w.spec.tasks);
            json_object_set_new(j, "team", json_string(w.spec.team));
            json_array_append_new(all, j);
        } else {
            printf("%-24s %-12s %-9s %6" G_GUINT64_FORMAT "/%u  %s\n", s.ref, w.spec.team,
                   s.state, s.done, w.spec.tasks, w.argv[0]);
        }
        lmn_task_command_clear(&w);
    }
    if (json)
        lmn_json_print(all, true);
    g_ptr_array_free(refs, TRUE);
    return LMN_EXIT_OK;
}

static int logs(int argc, char **argv)
{
    struct lmn_users u;
    gboolean errors = FALSE;
    const GOptionEntry more[] = {
        {"stderr", 0, 0, G_OPTION_ARG_NONE, &errors, "Standard error instead of output",
         NULL},
        G_OPTION_ENTRY_NULL,
    };
    char path[256];
    int status, n = 0;
    int rc = with_ref("REF[/TASK]", "Prints the output of a job's ended attempts.", more,
                      &argc, &argv);

    if (rc || (rc = open_users(&u, true)))
        return rc;
    char **part = g_strsplit(argv[1], "/", 2);
    char *task = part[1] ? g_strdup_printf("%s.", part[1]) : g_strdup("");
    if (!lmn_job_id_is_valid(part[0]))
        return lmn_cli_fail(LMN_EXIT_USAGE, "%s: no job's id", part[0]);
    g_snprintf(path, sizeof path, "/logs/%s", part[0]);
    GPtrArray *names = names_at(u.depot, path, &status);
    for (guint i = 0; i < names->len; i++) {
        const char *name = names->pdata[i];
        GByteArray *in = g_byte_array_new();
        if (!g_str_has_prefix(name, task) ||
            !g_str_has_suffix(name, errors ? "stderr" : "stdout"))
            continue;
        g_snprintf(path, sizeof path, "/logs/%s/%s", part[0], name);
        if (lmn_http_client_call(u.depot, "GET", path, NULL, 30, in) == 200) {
            if (names->len > 1 && !part[1])
                printf("==> %s/%s <==\n", part[0], name);
            fwrite(in->data, 1, in->len, stdout);
            n++;
        }
        g_byte_array_unref(in);
    }
    g_ptr_array_free(names, TRUE);
    if (status != 200)
        return lmn_cli_fail(LMN_EXIT_FAILED, "job logs: the depot does not answer (%d)",
                            status);
    return n ? LMN_EXIT_OK
             : lmn_cli_fail(LMN_EXIT_FAILED, "%s: no output of ended attempts (yet)",
                            argv[1]);
}

int lmn_cmd_job(int argc, char **argv)
{
    static const struct lmn_subcommand subs[] = {
        {"submit", "--team T [options] -- COMMAND", "submit a job, print its id", submit},
        {"show", "REF", "its state", show},
        {"list", "[--team T]", "jobs and their states", list},
        {"watch", "REF", "follow it to its end", watch},
        {"cancel", "REF", "cancel it", cancel},
        {"logs", "REF[/TASK]", "its tasks' output", logs},
        {0},
    };
    return lmn_cli_sub(subs, argc, argv);
}

/* --- images --- */

static int image_put(int argc, char **argv)
{
    const GOptionEntry entries[] = {WHERE, G_OPTION_ENTRY_NULL};
    struct lmn_image_store_error e = {0};
    struct lmn_users u;
    uint64_t bytes = 0;
    int rc = lmn_cli_parse(entries, "NAME DIR", "Uploads a directory as an image.", NULL,
                           false, &argc, &argv);

    if (!rc && argc != 3)
        rc = lmn_cli_fail(LMN_EXIT_USAGE, "expected: image put NAME DIR");
    if (!rc &&
        (!lmn_image_name_is_valid(argv[1]) || !strcmp(argv[1], LMN_EMPTY_IMAGE_NAME)))
        rc = lmn_cli_fail(LMN_EXIT_USAGE, "%s: can't be an image's name", argv[1]);
    if (rc || (rc = open_users(&u, true)))
        return rc;
    if (lmn_image_put(u.depot, argv[1], argv[2], &bytes, &e) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", e.what);
    printf("%s: %.6f GB\n", argv[1], (double)bytes / 1e9);
    return LMN_EXIT_OK;
}

static int image_list(int argc, char **argv)
{
    struct lmn_users u;
    int status, rc = with_ref(NULL, "Lists the depot's images.", NULL, &argc, &argv);

    if (rc || (rc = open_users(&u, true)))
        return rc;
    GPtrArray *names = names_at(u.depot, "/names/" LMN_IMAGE_STORE_KIND_IMAGE, &status);
    for (guint i = 0; i < names->len; i++)
        printf("%s\n", (char *)names->pdata[i]);
    g_ptr_array_free(names, TRUE);
    return status == 200
               ? LMN_EXIT_OK
               : lmn_cli_fail(LMN_EXIT_FAILED, "the depot does not answer (%d)", status);
}

int lmn_cmd_image(int argc, char **argv)
{
    static const struct lmn_subcommand subs[] = {
        {"put", "NAME DIR", "upload a directory", image_put},
        {"list", "", "names", image_list},
        {0},
    };
    return lmn_cli_sub(subs, argc, argv);
}
