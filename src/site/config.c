#include "config/config.h"
#include "util/process.h"
#include "emulator/emulator.h"
#include "inventory/inventory.h"

#include "site/site.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

char *lmn_site_path(const struct lmn_site *s, const char *name, const char *suffix)
{
    return g_strdup_printf("%s/run/%s%s", s->data, name, suffix);
}

static void word(struct lmn_config *c, const char *path, const char *const *words,
                 char *out, size_t len)
{
    g_strlcpy(out, lmn_config_text(c, path, words[0]), len);
    for (guint i = 0; words[i]; i++)
        if (!strcmp(words[i], out))
            return;
    char *all = g_strjoinv("', '", (char **)words);
    lmn_config_fail(c, path, "expected one of '%s'", all);
    g_free(all);
}

static void read_teams(struct lmn_config *c, struct lmn_site *s)
{
    guint n = lmn_config_count(c, "teams");
    char p[64];

    if (n < 1 || n > LMN_MAX_TEAMS)
        lmn_config_fail(c, "teams", "expected 1 to %d tables [[teams]]", LMN_MAX_TEAMS);
    s->teams = g_new0(struct lmn_team, MIN(n, LMN_MAX_TEAMS));
    for (guint i = 0; i < MIN(n, LMN_MAX_TEAMS); i++) {
        struct lmn_team *t = &s->teams[s->nteams++];
#define FIELD(f) (g_snprintf(p, sizeof p, "teams[%u]." f, i), p)
        g_strlcpy(t->name, lmn_config_name(c, FIELD("name"), NULL), sizeof t->name);
        for (size_t k = 0; k + 1 < s->nteams; k++)
            if (!strcmp(s->teams[k].name, t->name))
                lmn_config_fail(c, p, "named twice");
        t->cpus_max = lmn_config_number(c, FIELD("cpus_max"), 0, 0, 1e9);
        t->gpus_max = lmn_config_number(c, FIELD("gpus_max"), 0, 0, 1e9);
        t->gpus = lmn_config_number(c, FIELD("gpus"), 0, 0, 1e9);
        if (t->gpus_max > 0 && t->gpus > t->gpus_max)
            lmn_config_fail(c, p, "more than gpus_max");
        t->cpus = lmn_config_number(c, FIELD("cpus"), 0, 0, 1e9);
        if (t->cpus_max > 0 && t->cpus > t->cpus_max)
            lmn_config_fail(c, p, "more than cpus_max");
#undef FIELD
    }
}

static void read_objectives(struct lmn_config *c, struct lmn_site *s)
{
    static const char *const kinds[] = {"wait", "finished", "deadline", "guarantee",
                                        NULL};
    guint n = lmn_config_count(c, "objectives");
    char p[64], kind[16];

    s->objectives = g_string_new(NULL);
    for (guint i = 0; i < n; i++) {
#define FIELD(f) (g_snprintf(p, sizeof p, "objectives[%u]." f, i), p)
        word(c, FIELD("kind"), kinds, kind, sizeof kind);
        g_string_append_printf(s->objectives, "[[params.objectives]]\nkind = \"%s\"\n",
                               kind);
        if (lmn_config_has(c, FIELD("class")))
            g_string_append_printf(s->objectives, "class = \"%s\"\n",
                                   lmn_config_name(c, p, NULL));
        g_string_append_printf(s->objectives, "within_s = %g\n",
                               lmn_config_number(c, FIELD("within_s"), 0, 0, 1e9));
        g_string_append_printf(s->objectives, "times = %g\n",
                               lmn_config_number(c, FIELD("times"), 1, 0, 1e6));
        g_string_append_printf(s->objectives, "share = %g\n",
                               lmn_config_number(c, FIELD("share"), 1, 0, 1));
#undef FIELD
    }
}

/* Its troubles are checked here, where the operator reads what is wrong, and handed on as
 * read. */
static void read_backend(struct lmn_config *c, struct lmn_site *s)
{
    static const char *const backends[] = {"static", "emulated", NULL};
    struct lmn_emulation_options o = {0};

    word(c, "backend", backends, s->backend, sizeof s->backend);
    s->emulate = g_string_new(NULL);
    if (strcmp(s->backend, "emulated"))
        return;
    lmn_emulation_read(c, &o);
    g_string_append_printf(s->emulate, "[emulate]\nseed = %u\n", o.seed);
    for (size_t i = 0; lmn_emulator_fault_name(i); i++)
        if (!lmn_emulator_fault_is_event(lmn_emulator_fault_name(i)))
            g_string_append_printf(s->emulate, "%s = %.17g\n", lmn_emulator_fault_name(i),
                                   lmn_emulator_fault_value(&o.knobs, i));
    for (guint i = 0; i < o.script->len; i++) {
        const struct lmn_emu_fault *t = &g_array_index(o.script, struct lmn_emu_fault, i);
        g_string_append_printf(s->emulate,
                               "[[troubles]]\nat = %.17g\nset = \"%s\"\nvalue = %.17g\n"
                               "for = %.17g\n",
                               t->at, t->name, t->value, t->lasts);
    }
    g_array_free(o.script, TRUE);
}

static void add_process(struct lmn_site *s, const char *name, const char *command,
                        const char *ready)
{
    struct lmn_site_process *p = &s->processes[s->nprocesses++];

    g_strlcpy(p->name, name, sizeof p->name);
    p->argv[0] = g_strdup(command);
    p->argv[1] = g_strdup("--config");
    p->argv[2] = lmn_site_path(s, name, ".toml");
    g_strlcpy(p->ready, ready, sizeof p->ready);
}

static void place(struct lmn_site *s)
{
    char name[LMN_NAME_SIZE];

    g_snprintf(s->state, LMN_ADDRESS_SIZE, "%s:%d", s->address, s->base_port);
    g_snprintf(s->cloud, LMN_ADDRESS_SIZE, "%s:%d", s->address, s->base_port + 1);
    g_snprintf(s->depot, LMN_ADDRESS_SIZE, "%s:%d", s->address, s->base_port + 2);
    add_process(s, "state", "state", s->state);
    add_process(s, "fleet", "fleet", s->cloud);
    for (unsigned i = 0; i < s->controllers; i++) {
        g_snprintf(s->users[i], LMN_ADDRESS_SIZE, "%s:%d", s->address,
                   s->base_port + 10 + (int)i);
        g_snprintf(s->peers[i], LMN_ADDRESS_SIZE, "%s:%d", s->address,
                   s->base_port + 50 + (int)i);
        g_snprintf(name, sizeof name, "controller-%u", i);
        add_process(s, name, "controller", s->users[i]);
    }
}

int lmn_site_load(const char *path, struct lmn_site *s, char *err, size_t len)
{
    static const char *const levels[] = {"info", "error", "debug", NULL};
    static const char *const formats[] = {"text", "json", NULL};
    struct lmn_config *c = lmn_config_load(path, err, len);
    static struct lmn_inventory v;
    char host[LMN_ADDRESS_SIZE + 8], ip[LMN_ADDRESS_SIZE];
    int port;

    memset(s, 0, sizeof *s);
    if (!c)
        return -1;
    g_strlcpy(s->file, path, sizeof s->file);
    g_strlcpy(s->name, lmn_config_name(c, "name", NULL), sizeof s->name);
    g_strlcpy(s->address, lmn_config_text(c, "address", "127.0.0.1"), 32);
    g_snprintf(host, sizeof host, "%s:1", s->address);
    if (lmn_address_split(host, ip, sizeof ip, &port) != 0)
        lmn_config_fail(c, "address", "expected an IPv4 address");
    const char *data = lmn_config_text(c, "data", NULL);
    char *whole = g_canonicalize_filename(data, NULL);
    if (strlen(whole) > 300)
        lmn_config_fail(c, "data", "the path is too long");
    g_strlcpy(s->data, whole, sizeof s->data);
    g_free(whole);
    whole = g_canonicalize_filename(lmn_config_text(c, "inventory", NULL), NULL);
    g_strlcpy(s->inventory, whole, sizeof s->inventory);
    g_free(whole);
    g_strlcpy(s->zone, lmn_config_name(c, "zone", "a"), sizeof s->zone);
    word(c, "log_level", levels, s->log_level, sizeof s->log_level);
    word(c, "log_format", formats, s->log_format, sizeof s->log_format);
    s->base_port = (int)lmn_config_number(c, "base_port", 7600, 1024, 65000);
    read_backend(c, s);
    s->controllers = (unsigned)lmn_config_number(c, "controllers", 3, 1, LMN_MAX_MEMBERS);
    read_teams(c, s);
    read_objectives(c, s);
    s->state_rps = lmn_config_number(c, "state.rps", 600, 1, 1e9);
    s->state_write_rps = lmn_config_number(c, "state.write_rps", 300, 1, 1e9);
    s->value_kb = lmn_config_number(c, "state.value_kb", 16, 1, 60);
    s->txn_ops = (int)lmn_config_number(c, "state.txn_ops", 48, 4, 1e6);
    s->cloud_rps = lmn_config_number(c, "cloud.rps", 20, 0.01, 1e6);
    s->list_lag_s = lmn_config_number(c, "cloud.list_lag_s", 1, 0, 3600);
    s->report_s = lmn_config_number(c, "workers.report_s", 1, 0.05, 600);
    s->lease_s = lmn_config_number(c, "workers.lease_s", 10, 0.1, 3600);
    s->cancel_s = lmn_config_number(c, "workers.cancel_s", 30, 0.1, 3600);
    s->log_kb = lmn_config_number(c, "workers.log_kb", 256, 1, 7 * 1024);
    if (s->lease_s <= s->report_s)
        lmn_config_fail(c, "workers.lease_s", "must be longer than report_s");
    if (s->cancel_s <= s->lease_s)
        lmn_config_fail(c, "workers.cancel_s", "must be longer than lease_s");
    s->cores = lmn_config_number(c, "resources.cores", 1, 0.001, 1e6);
    s->memory_mb = lmn_config_number(c, "resources.memory_mb", 512, 16, 1e9);
    s->max_connections =
        (int)lmn_config_number(c, "resources.max_connections", 2048, 64, 1e7);
    int rc = lmn_config_finish(c, err, len);
    lmn_config_free(c);
    if (rc == 0)
        rc = lmn_inventory_load(s->inventory, &v, err, len);
    if (rc == 0) {
        lmn_inventory_clear(&v);
        place(s);
    }
    return rc;
}

/* --- the processes' settings --- */

static int put(const struct lmn_site *s, const char *name, GString *text, char *err,
               size_t len)
{
    char *path = lmn_site_path(s, name, ".toml");
    int rc = lmn_file_put(path, text->str, text->len);

    if (rc != 0)
        g_snprintf(err, len, "%s: %s", path, strerror(errno));
    g_string_free(text, TRUE);
    g_free(path);
    return rc;
}

static GString *begin(const struct lmn_site *s)
{
    GString *t = g_string_new(NULL);
    g_string_append_printf(t, "# Written by 'lemonspar site' from %s at each start.\n",
                           s->file);
    return t;
}

static GString *state_settings(const struct lmn_site *s)
{
    GString *t = begin(s);
    g_string_append_printf(
        t,
        "listen = \"%s\"\ndata = \"%s/state\"\nrps = %g\nwrite_rps = %g\n"
        "value_kb = %g\ntxn_ops = %d\n",
        s->state, s->data, s->state_rps, s->state_write_rps, s->value_kb, s->txn_ops);
    return t;
}

static GString *fleet_settings(const struct lmn_site *s)
{
    GString *t = begin(s);
    g_string_append_printf(
        t,
        "listen = \"%s\"\ndepot = \"%s\"\ndata = \"%s/fleet\"\n"
        "inventory = \"%s\"\naddress = \"%s\"\ncheckpoints = \"%s/checkpoints\"\n"
        "backend = \"%s\"\nrps = %g\nreport_s = %g\nlease_s = %g\nlog_kb = %g\n",
        s->cloud, s->depot, s->data, s->inventory, s->address, s->data, s->backend,
        s->cloud_rps, s->report_s, s->lease_s, s->log_kb);
    for (unsigned i = 0; i < s->controllers; i++)
        g_string_append_printf(
            t, "[[controllers]]\nname = \"controller-%u\"\naddress = \"%s\"\n", i,
            s->users[i]);
    g_string_append(t, s->emulate->str);
    return t;
}

static GString *controller_settings(const struct lmn_site *s, unsigned me)
{
    GString *t = begin(s);

    g_string_append_printf(
        t,
        "host_name = \"controller-%u\"\narea = \"%s\"\nclient_listen = \"%s\"\n"
        "internal_addr = \"%s\"\n",
        me, s->zone, s->users[me], s->peers[me]);
    for (unsigned i = 0; i < s->controllers; i++)
        if (i != me)
            g_string_append_printf(
                t,
                "[[members]]\nhost_name = \"controller-%u\"\narea = \"%s\"\n"
                "address = \"%s\"\n",
                i, s->zone, s->peers[i]);
    g_string_append_printf(t,
                           "[outside]\ncloud = \"%s\"\nstate = \"%s\"\n[params]\n"
                           "initial_size = %u\n",
                           s->cloud, s->state, s->controllers);
    for (size_t i = 0; i < s->nteams; i++)
        g_string_append_printf(
            t,
            "[[params.teams]]\nname = \"%s\"\ncpus = %g\ncpus_max = %g\n"
            "gpus = %g\ngpus_max = %g\n",
            s->teams[i].name, s->teams[i].cpus, s->teams[i].cpus_max, s->teams[i].gpus,
            s->teams[i].gpus_max);
    g_string_append(t, s->objectives->str);
    g_string_append_printf(
        t,
        "[params.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n"
        "[params.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n"
        "[params.cloud]\nrps = %g\nlist_lag_s = %g\n"
        "[params.resources]\ncores = %g\nmemory_mb = %g\nmax_connections = %d\n",
        s->report_s, s->lease_s, s->cancel_s, s->state_rps, s->state_write_rps,
        s->value_kb, s->txn_ops, s->cloud_rps, s->list_lag_s, s->cores, s->memory_mb,
        s->max_connections);
    return t;
}

int lmn_site_write(const struct lmn_site *s, char *err, size_t len)
{
    char *dir = g_build_filename(s->data, "run", NULL);
    int rc = g_mkdir_with_parents(dir, 0755);

    if (rc != 0)
        g_snprintf(err, len, "%s: %s", dir, strerror(errno));
    g_free(dir);
    if (rc == 0)
        rc = put(s, "state", state_settings(s), err, len);
    if (rc == 0)
        rc = put(s, "fleet", fleet_settings(s), err, len);
    for (unsigned i = 0; i < s->controllers && rc == 0; i++) {
        char name[LMN_NAME_SIZE];
        g_snprintf(name, sizeof name, "controller-%u", i);
        rc = put(s, name, controller_settings(s, i), err, len);
    }
    return rc;
}
