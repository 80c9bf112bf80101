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

void lmn_backoff_started(struct lmn_backoff *b, struct timespec now)
{
    b->started = now;
    b->next = (struct timespec){0, 0};
}

bool lmn_backoff_due(struct lmn_backoff *b, struct timespec now)
{
    if (!b->next.tv_sec) {
        bool good = b->started.tv_sec && lmn_time_diff_s(now, b->started) > GOOD_S;
        b->deaths = good ? 1 : b->deaths + 1;
        b->wait_s =
            good || b->wait_s <= 0 ? FIRST_WAIT_S : MIN(2 * b->wait_s, LONGEST_WAIT_S);
        b->next = lmn_time_add(now, b->wait_s);
    }
    return !lmn_time_before(now, b->next);
}

void lmn_local_agent_options_read(struct lmn_config *c, struct lmn_local_agent_options *o)
{
    struct lmn_worker_options *w = &o->worker;

    g_snprintf(w->listen, sizeof w->listen, "%s:0",
               lmn_config_text(c, "address", "127.0.0.1"));
    g_strlcpy(w->depot, lmn_config_address(c, "depot", NULL), sizeof w->depot);
    g_strlcpy(w->checkpoints, lmn_config_text(c, "checkpoints", ""),
              sizeof w->checkpoints);
    w->report_s = lmn_config_number(c, "report_s", 1.5, 0.05, 600);
    w->lease_s = lmn_config_number(c, "lease_s", 10, 0.1, 3600);
    w->log_kb = lmn_config_number(c, "log_kb", 256, 1, 7 * 1024);
    lmn_worker_controllers(c, w);
    if (w->lease_s <= w->report_s)
        lmn_config_fail(c, "lease_s", "must be longer than report_s");
}

static char *quoted(const char *s)
{
    char *e = g_strescape(s, NULL), *q = g_strdup_printf("\"%s\"", e);
    g_free(e);
    return q;
}

static void put(GString *s, const char *key, const char *value)
{
    char *q = quoted(value);
    g_string_append_printf(s, "%s = %s\n", key, q);
    g_free(q);
}

static GString *settings(const struct lmn_local_agent_options *o, const char *dir,
                         const char *name, const struct lmn_machine_type *t,
                         const char *zone, bool spot)
{
    const struct lmn_worker_options *w = &o->worker;
    GString *s = g_string_new("# Written by the fleet at each start of the machine.\n");

    put(s, "name", name);
    put(s, "zone", zone);
    put(s, "listen", w->listen);
    put(s, "depot", w->depot);
    put(s, "data", dir);
    if (*w->checkpoints)
        put(s, "checkpoints", w->checkpoints);
    g_string_append_printf(s, "spot = %s\nreport_s = %g\nlease_s = %g\nlog_kb = %g\n",
                           spot ? "true" : "false", w->report_s, w->lease_s, w->log_kb);
    for (unsigned i = 0; i < w->ncontrollers; i++) {
        g_string_append(s, "[[controllers]]\n");
        put(s, "name", w->controllers[i].name);
        put(s, "address", w->controllers[i].addr);
    }
    g_string_append(s, "[type]\n");
    put(s, "name", t->name);
    g_string_append_printf(s,
                           "cpus = %g\ngpus = %g\nmem_gb = %g\ncache_gb = %g\n"
                           "pull_gb_per_s = %g\n",
                           t->cpus, t->gpus, t->mem, t->cache_gb, t->pull);
    return s;
}

int lmn_local_agent_start(const struct lmn_local_agent_options *o, const char *name,
                          const struct lmn_machine_type *type, const char *zone,
                          bool spot, char *err, size_t len)
{
    char *dir = g_build_filename(o->dir, name, NULL);
    char *file = g_build_filename(dir, "worker.toml", NULL);
    char *log = g_build_filename(dir, "log", NULL);
    char *argv[] = {(char *)lmn_self_path(), (char *)"worker", (char *)"--config", file,
                    NULL};
    GString *s = settings(o, dir, name, type, zone, spot);
    pid_t pid;
    int rc = 0;

    if (g_mkdir_with_parents(dir, 0755) != 0 || lmn_file_put(file, s->str, s->len) != 0) {
        g_snprintf(err, len, "%s: %s", file, strerror(errno));
        rc = -1;
    } else {
        int error = lmn_spawn(argv, log, &pid);
        if (error) {
            g_snprintf(err, len, "%s: %s", argv[0], strerror(error));
            rc = -1;
        }
    }
    g_string_free(s, TRUE);
    g_free(dir);
    g_free(file);
    g_free(log);
    return rc;
}

bool lmn_local_agent_is_up(const struct lmn_local_agent_options *o, const char *name,
                           char *addr)
{
    char *lock = g_build_filename(o->dir, name, "agent.lock", NULL);
    char *file = g_build_filename(o->dir, name, "address", NULL), *text = NULL;
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
    char *dir = g_build_filename(o->dir, name, NULL), *mark = lmn_executor_mark(dir);
    bool ok = lmn_executor_clear(dir, mark, seconds);

    if (ok && lmn_tree_remove(dir) != 0)
        lmn_error("directory-left path=%s error=\"%s\"", dir, strerror(errno));
    g_free(dir);
    g_free(mark);
    return ok;
}
