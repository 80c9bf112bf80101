/* lemonspar site. */
#include "cli/cli.h"
#include "util/clock.h"
#include "http/client.h"
#include "protocol/json.h"
#include "util/log.h"
#include "util/process.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "site/site.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct lmn_site site;
static char *config;
static gboolean json, foreground;
static double patience = 60;

static int load(const char *summary, bool file_too, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
         "The site's file (deploy/site.toml)", "FILE"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &json, "JSON for programs", NULL},
        {"foreground", 0, 0, G_OPTION_ARG_NONE, &foreground, "Supervise in this process",
         NULL},
        {"wait", 0, 0, G_OPTION_ARG_DOUBLE, &patience, "Until it serves, at most (60)",
         "SECONDS"},
        G_OPTION_ENTRY_NULL,
    };
    char err[512];
    int rc = lmn_cli_parse(entries, file_too ? "[FILE]" : NULL, summary, NULL, false,
                           &argc, &argv);

    if (rc)
        return rc;
    if (argc > 1 && !(file_too && argc == 2))
        return lmn_cli_fail(LMN_EXIT_USAGE, "%s: an argument too many", argv[argc - 1]);
    const char *file = argc == 2 ? argv[1] : config ? config : g_getenv("LEMONSPAR_SITE");
    if (lmn_site_load(file ? file : "deploy/site.toml", &site, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    curl_global_init(CURL_GLOBAL_NOTHING);
    return 0;
}

static int spawn_supervisor(void)
{
    char *log = lmn_site_path(&site, "supervisor", ".log"), err[512];
    char *file = g_canonicalize_filename(site.file, NULL);
    char *argv[] = {(char *)lmn_self_path(), (char *)"site", (char *)"run",
                    (char *)"--config",      file,           NULL};
    pid_t pid;
    int rc = LMN_EXIT_OK;

    /* Makes data/run, and finds out what can't be written while somebody is there to read
     * it. */
    if (lmn_site_write(&site, err, sizeof err) != 0)
        rc = lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    int error = rc ? 0 : lmn_spawn_detached(argv, log, &pid);
    if (error)
        rc = lmn_cli_fail(LMN_EXIT_FAILED, "%s: %s", argv[0], strerror(error));
    g_free(log);
    g_free(file);
    return rc;
}

static int run(int argc, char **argv)
{
    int rc = load("Supervises the site in this process ('site up' starts it).", false,
                  argc, argv);

    if (rc)
        return rc;
    lmn_log_init("site");
    return lmn_site_run(&site);
}

static int up(int argc, char **argv)
{
    char *lock;
    pid_t pid;
    int rc = load("Starts the site, and waits until it serves.", false, argc, argv);

    if (rc)
        return rc;
    if (foreground) {
        lmn_log_init("site");
        return lmn_site_run(&site);
    }
    lock = lmn_site_path(&site, "supervisor", ".lock");
    if (lmn_lock_held(lock, &pid))
        printf("%s: already supervised by process %ld\n", site.name, (long)pid);
    else
        rc = spawn_supervisor();
    g_free(lock);
    if (rc)
        return rc;
    struct timespec end = lmn_time_add(lmn_now(), patience);
    for (unsigned i = 0; i < site.process_count;) {
        if (lmn_http_is_ready(site.processes[i].ready)) {
            i++;
        } else if (lmn_time_before(end, lmn_now())) {
            return lmn_cli_fail(LMN_EXIT_FAILED,
                                "%s does not serve at %s yet; look at %s/run/%s.log",
                                site.processes[i].name, site.processes[i].ready,
                                site.data, site.processes[i].name);
        } else {
            lmn_sleep(0.1);
        }
    }
    printf("%s: up: %u controllers, users at %s\n", site.name, site.controllers,
           site.users[0]);
    return LMN_EXIT_OK;
}

static int down(int argc, char **argv)
{
    int rc = load("Ends the site: processes, machines, tasks. Its state stays.", false,
                  argc, argv);

    if (rc)
        return rc;
    if (!lmn_site_end(&site))
        return lmn_cli_fail(LMN_EXIT_FAILED,
                            "%s: something of it still runs; see 'site status'",
                            site.name);
    printf("%s: down\n", site.name);
    return LMN_EXIT_OK;
}

/* What the supervisor last wrote of a process. */
static void history(const char *status, const char *name, unsigned *starts, char *why,
                    size_t len)
{
    char **lines = g_strsplit(status, "\n", -1);

    *starts = 0;
    *why = '\0';
    for (char **l = lines; *l; l++) {
        char **f = g_strsplit(*l, "\t", 3);
        if (g_strv_length(f) == 3 && !strcmp(f[0], name)) {
            *starts = (unsigned)strtoul(f[1], NULL, 10);
            g_strlcpy(why, f[2], len);
        }
        g_strfreev(f);
    }
    g_strfreev(lines);
}

static int status(int argc, char **argv)
{
    char *path, *text = NULL, *lock, why[160];
    json_t *list = json_array();
    bool all = true;
    pid_t pid;
    int rc = load("Shows the site's processes. Exit status 1 unless all of them serve.",
                  false, argc, argv);

    if (rc)
        return rc;
    path = lmn_site_path(&site, "status", "");
    lock = lmn_site_path(&site, "supervisor", ".lock");
    g_file_get_contents(path, &text, NULL, NULL);
    bool supervised = lmn_lock_held(lock, &pid);
    if (!json)
        printf("%-14s %-9s pid %ld\n", "supervisor", supervised ? "up" : "down",
               (long)pid);
    for (unsigned i = 0; i < site.process_count; i++) {
        const struct lmn_site_process *process = &site.processes[i];
        unsigned starts;
        int at;
        bool is_up = lmn_site_up(&site, process->name, &at);
        const char *word = !is_up                              ? "down"
                           : lmn_http_is_ready(process->ready) ? "serving"
                                                               : "starting";
        history(text ? text : "", process->name, &starts, why, sizeof why);
        all = all && !strcmp(word, "serving");
        if (json)
            json_array_append_new(
                list, json_pack("{s:s, s:s, s:i, s:i, s:s, s:s}", "process",
                                process->name, "state", word, "pid", at, "starts",
                                (int)starts, "address", process->ready, "last_end", why));
        else
            printf("%-14s %-9s pid %-8d starts %-3u %-21s %s%s\n", process->name, word,
                   at, starts, process->ready, *why ? "last end: " : "", why);
    }
    if (json)
        lmn_json_print(json_pack("{s:s, s:b, s:o}", "site", site.name, "supervised",
                                 supervised, "processes", list),
                       true);
    g_free(path);
    g_free(lock);
    g_free(text);
    return all && supervised ? LMN_EXIT_OK : LMN_EXIT_FAILED;
}

static int check(int argc, char **argv)
{
    int rc =
        load("Checks a site's file and the inventory that it names.", true, argc, argv);

    if (rc)
        return rc;
    printf("%s: good: %u controllers, %zu teams, users at %s\n", site.file,
           site.controllers, site.team_count, site.users[0]);
    return LMN_EXIT_OK;
}

int lmn_cmd_site(int argc, char **argv)
{
    static const struct lmn_subcommand subs[] = {
        {"up", "[--config FILE]", "start it", up},
        {"down", "[--config FILE]", "end it", down},
        {"status", "[--config FILE]", "its processes", status},
        {"check", "FILE", "say what is wrong with the file", check},
        {"run", "[--config FILE]", "supervise in this process", run},
        {0},
    };
    return lmn_cli_sub(subs, argc, argv);
}
