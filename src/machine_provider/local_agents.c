#include "machine_provider/local_agents.h"
#include "worker/executor.h"
#include "util/clock.h"
#include "config/config.h"
#include "util/log.h"
#include "util/process.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

static const double FIRST_WAIT_S = 0.25, LONGEST_WAIT_S = 30, GOOD_S = 30;

void lmn_backoff_started(struct lmn_backoff *backoff, struct timespec now)
{
    backoff->started_at = now;
    backoff->next_start_at = (struct timespec){0, 0};
}

bool lmn_backoff_due(struct lmn_backoff *backoff, struct timespec now)
{
    if (!backoff->next_start_at.tv_sec) {
        bool good = backoff->started_at.tv_sec &&
                    lmn_time_diff_s(now, backoff->started_at) > GOOD_S;
        backoff->deaths = good ? 1 : backoff->deaths + 1;
        backoff->wait_s = good || backoff->wait_s <= 0
                              ? FIRST_WAIT_S
                              : MIN(2 * backoff->wait_s, LONGEST_WAIT_S);
        backoff->next_start_at = lmn_time_add(now, backoff->wait_s);
    }
    return !lmn_time_before(now, backoff->next_start_at);
}

void lmn_local_agent_options_read(struct lmn_config *config,
                                  struct lmn_local_agent_options *o)
{
    struct lmn_worker_options *options = &o->worker;

    g_snprintf(options->listen, sizeof options->listen, "%s:0",
               lmn_config_text(config, "address", "127.0.0.1"));
    g_strlcpy(options->image_store, lmn_config_address(config, "depot", NULL),
              sizeof options->image_store);
    g_strlcpy(options->checkpoints, lmn_config_text(config, "checkpoints", ""),
              sizeof options->checkpoints);
    options->heartbeat_s = lmn_config_number(config, "report_s", 1.5, 0.05, 600);
    options->lease_s = lmn_config_number(config, "lease_s", 10, 0.1, 3600);
    options->log_kb = lmn_config_number(config, "log_kb", 256, 1, 7 * 1024);
    lmn_worker_read_controllers(config, options);
    if (options->lease_s <= options->heartbeat_s)
        lmn_config_fail(config, "lease_s", "must be longer than report_s");
}

static char *quoted(const char *s)
{
    char *e = g_strescape(s, NULL), *q = g_strdup_printf("\"%s\"", e);
    g_free(e);
    return q;
}

static void put(GString *text, const char *key, const char *value)
{
    char *q = quoted(value);
    g_string_append_printf(text, "%s = %s\n", key, q);
    g_free(q);
}

static GString *settings(const struct lmn_local_agent_options *o, const char *dir,
                         const char *name, const struct lmn_machine_type *type,
                         const char *zone, bool spot)
{
    const struct lmn_worker_options *options = &o->worker;
    GString *text =
        g_string_new("# Written by the fleet at each start of the machine.\n");

    put(text, "name", name);
    put(text, "zone", zone);
    put(text, "listen", options->listen);
    put(text, "depot", options->image_store);
    put(text, "data", dir);
    if (*options->checkpoints)
        put(text, "checkpoints", options->checkpoints);
    g_string_append_printf(text, "spot = %s\nreport_s = %g\nlease_s = %g\nlog_kb = %g\n",
                           spot ? "true" : "false", options->heartbeat_s,
                           options->lease_s, options->log_kb);
    for (unsigned i = 0; i < options->controller_count; i++) {
        g_string_append(text, "[[controllers]]\n");
        put(text, "name", options->controllers[i].name);
        put(text, "address", options->controllers[i].addr);
    }
    g_string_append(text, "[type]\n");
    put(text, "name", type->name);
    g_string_append_printf(text,
                           "cpus = %g\ngpus = %g\nmem_gb = %g\ncache_gb = %g\n"
                           "pull_gb_per_s = %g\n",
                           type->cpus, type->gpus, type->memory_gb, type->cache_gb,
                           type->pull_gb_per_s);
    return text;
}

int lmn_local_agent_start(const struct lmn_local_agent_options *o, const char *name,
                          const struct lmn_machine_type *type, const char *zone,
                          bool spot, char *err, size_t len)
{
    char *dir = g_build_filename(o->directory, name, NULL);
    char *file = g_build_filename(dir, "worker.toml", NULL);
    char *log = g_build_filename(dir, "log", NULL);
    char *argv[] = {(char *)lmn_self_path(), (char *)"worker", (char *)"--config", file,
                    NULL};
    GString *text = settings(o, dir, name, type, zone, spot);
    pid_t pid;
    int rc = 0;

    if (g_mkdir_with_parents(dir, 0755) != 0 ||
        lmn_file_replace_durably(file, text->str, text->len) != 0) {
        g_snprintf(err, len, "%s: %s", file, strerror(errno));
        rc = -1;
    } else {
        int error = lmn_spawn_detached(argv, log, &pid);
        if (error) {
            g_snprintf(err, len, "%s: %s", argv[0], strerror(error));
            rc = -1;
        }
    }
    g_string_free(text, TRUE);
    g_free(dir);
    g_free(file);
    g_free(log);
    return rc;
}

bool lmn_local_agent_is_up(const struct lmn_local_agent_options *o, const char *name,
                           char *addr)
{
    char *lock = g_build_filename(o->directory, name, "agent.lock", NULL);
    char *file = g_build_filename(o->directory, name, "address", NULL), *text = NULL;
    pid_t pid;
    bool up = lmn_lock_held(lock, &pid);

    *addr = '\0';
    if (up && g_file_get_contents(file, &text, NULL, NULL))
        g_strlcpy(addr, g_strstrip(text), LMN_ADDRESS_SIZE);
    g_free(text);
    g_free(lock);
    g_free(file);
    return up;
}

bool lmn_local_agent_end(const struct lmn_local_agent_options *o, const char *name,
                         double seconds)
{
    char *dir = g_build_filename(o->directory, name, NULL),
         *mark = lmn_executor_environment_mark(dir);
    bool ok = lmn_executor_kill_machine_processes(dir, mark, seconds);

    if (ok && lmn_tree_remove(dir) != 0)
        lmn_error("directory_not_removed path=%s error=\"%s\"", dir, strerror(errno));
    g_free(dir);
    g_free(mark);
    return ok;
}
