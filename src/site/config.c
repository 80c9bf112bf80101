#include "config/config.h"
#include "util/process.h"
#include "emulator/emulator.h"
#include "inventory/inventory.h"

#include "site/site.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

char *lmn_site_path(const struct lmn_site *site, const char *name, const char *suffix)
{
    return g_strdup_printf("%s/run/%s%s", site->data, name, suffix);
}

static void word(struct lmn_config *config, const char *path, const char *const *words,
                 char *out, size_t len)
{
    g_strlcpy(out, lmn_config_text(config, path, words[0]), len);
    for (guint i = 0; words[i]; i++)
        if (!strcmp(words[i], out))
            return;
    char *all = g_strjoinv("', '", (char **)words);
    lmn_config_fail(config, path, "expected one of '%s'", all);
    g_free(all);
}

static void read_teams(struct lmn_config *config, struct lmn_site *site)
{
    guint n = lmn_config_count(config, "teams");
    char p[64];

    if (n < 1 || n > LMN_MAX_TEAMS)
        lmn_config_fail(config, "teams", "expected 1 to %d tables [[teams]]",
                        LMN_MAX_TEAMS);
    site->teams = g_new0(struct lmn_team, MIN(n, LMN_MAX_TEAMS));
    for (guint i = 0; i < MIN(n, LMN_MAX_TEAMS); i++) {
        struct lmn_team *team = &site->teams[site->nteams++];
#define FIELD(f) (g_snprintf(p, sizeof p, "teams[%u]." f, i), p)
        g_strlcpy(team->name, lmn_config_name(config, FIELD("name"), NULL),
                  sizeof team->name);
        for (size_t k = 0; k + 1 < site->nteams; k++)
            if (!strcmp(site->teams[k].name, team->name))
                lmn_config_fail(config, p, "named twice");
        team->cpus_max = lmn_config_number(config, FIELD("cpus_max"), 0, 0, 1e9);
        team->gpus_max = lmn_config_number(config, FIELD("gpus_max"), 0, 0, 1e9);
        team->gpus = lmn_config_number(config, FIELD("gpus"), 0, 0, 1e9);
        if (team->gpus_max > 0 && team->gpus > team->gpus_max)
            lmn_config_fail(config, p, "more than gpus_max");
        team->cpus = lmn_config_number(config, FIELD("cpus"), 0, 0, 1e9);
        if (team->cpus_max > 0 && team->cpus > team->cpus_max)
            lmn_config_fail(config, p, "more than cpus_max");
#undef FIELD
    }
}

static void read_objectives(struct lmn_config *config, struct lmn_site *site)
{
    static const char *const kinds[] = {"wait", "finished", "deadline", "guarantee",
                                        NULL};
    guint n = lmn_config_count(config, "objectives");
    char p[64], kind[16];

    site->objectives = g_string_new(NULL);
    for (guint i = 0; i < n; i++) {
#define FIELD(f) (g_snprintf(p, sizeof p, "objectives[%u]." f, i), p)
        word(config, FIELD("kind"), kinds, kind, sizeof kind);
        g_string_append_printf(site->objectives, "[[params.objectives]]\nkind = \"%s\"\n",
                               kind);
        if (lmn_config_has(config, FIELD("class")))
            g_string_append_printf(site->objectives, "class = \"%s\"\n",
                                   lmn_config_name(config, p, NULL));
        g_string_append_printf(site->objectives, "within_s = %g\n",
                               lmn_config_number(config, FIELD("within_s"), 0, 0, 1e9));
        g_string_append_printf(site->objectives, "times = %g\n",
                               lmn_config_number(config, FIELD("times"), 1, 0, 1e6));
        g_string_append_printf(site->objectives, "share = %g\n",
                               lmn_config_number(config, FIELD("share"), 1, 0, 1));
#undef FIELD
    }
}

/* Its troubles are checked here, where the operator reads what is wrong, and handed on as
 * read. */
static void read_backend(struct lmn_config *config, struct lmn_site *site)
{
    static const char *const backends[] = {"static", "emulated", NULL};
    struct lmn_emulation_options o = {0};

    word(config, "backend", backends, site->backend, sizeof site->backend);
    site->emulate = g_string_new(NULL);
    if (strcmp(site->backend, "emulated"))
        return;
    lmn_emulation_read(config, &o);
    g_string_append_printf(site->emulate, "[emulate]\nseed = %u\n", o.seed);
    for (size_t i = 0; lmn_emulator_fault_name(i); i++)
        if (!lmn_emulator_fault_is_event(lmn_emulator_fault_name(i)))
            g_string_append_printf(site->emulate, "%s = %.17g\n",
                                   lmn_emulator_fault_name(i),
                                   lmn_emulator_fault_value(&o.knobs, i));
    for (guint i = 0; i < o.script->len; i++) {
        const struct lmn_emu_fault *t = &g_array_index(o.script, struct lmn_emu_fault, i);
        g_string_append_printf(site->emulate,
                               "[[troubles]]\nat = %.17g\nset = \"%s\"\nvalue = %.17g\n"
                               "for = %.17g\n",
                               t->at, t->name, t->value, t->lasts);
    }
    g_array_free(o.script, TRUE);
}

static void add_process(struct lmn_site *site, const char *name, const char *command,
                        const char *ready)
{
    struct lmn_site_process *process = &site->processes[site->nprocesses++];

    g_strlcpy(process->name, name, sizeof process->name);
    process->argv[0] = g_strdup(command);
    process->argv[1] = g_strdup("--config");
    process->argv[2] = lmn_site_path(site, name, ".toml");
    g_strlcpy(process->ready, ready, sizeof process->ready);
}

static void place(struct lmn_site *site)
{
    char name[LMN_NAME_SIZE];

    g_snprintf(site->state, LMN_ADDRESS_SIZE, "%s:%d", site->address, site->base_port);
    g_snprintf(site->cloud, LMN_ADDRESS_SIZE, "%s:%d", site->address,
               site->base_port + 1);
    g_snprintf(site->depot, LMN_ADDRESS_SIZE, "%s:%d", site->address,
               site->base_port + 2);
    add_process(site, "state", "state", site->state);
    add_process(site, "fleet", "fleet", site->cloud);
    for (unsigned i = 0; i < site->controllers; i++) {
        g_snprintf(site->users[i], LMN_ADDRESS_SIZE, "%s:%d", site->address,
                   site->base_port + 10 + (int)i);
        g_snprintf(site->peers[i], LMN_ADDRESS_SIZE, "%s:%d", site->address,
                   site->base_port + 50 + (int)i);
        g_snprintf(name, sizeof name, "controller-%u", i);
        add_process(site, name, "controller", site->users[i]);
    }
}

int lmn_site_load(const char *path, struct lmn_site *site, char *err, size_t len)
{
    static const char *const levels[] = {"info", "error", "debug", NULL};
    static const char *const formats[] = {"text", "json", NULL};
    struct lmn_config *config = lmn_config_load(path, err, len);
    static struct lmn_inventory v;
    char host[LMN_ADDRESS_SIZE + 8], ip[LMN_ADDRESS_SIZE];
    int port;

    memset(site, 0, sizeof *site);
    if (!config)
        return -1;
    g_strlcpy(site->file, path, sizeof site->file);
    g_strlcpy(site->name, lmn_config_name(config, "name", NULL), sizeof site->name);
    g_strlcpy(site->address, lmn_config_text(config, "address", "127.0.0.1"), 32);
    g_snprintf(host, sizeof host, "%s:1", site->address);
    if (lmn_address_split(host, ip, sizeof ip, &port) != 0)
        lmn_config_fail(config, "address", "expected an IPv4 address");
    const char *data = lmn_config_text(config, "data", NULL);
    char *whole = g_canonicalize_filename(data, NULL);
    if (strlen(whole) > 300)
        lmn_config_fail(config, "data", "the path is too long");
    g_strlcpy(site->data, whole, sizeof site->data);
    g_free(whole);
    whole = g_canonicalize_filename(lmn_config_text(config, "inventory", NULL), NULL);
    g_strlcpy(site->inventory, whole, sizeof site->inventory);
    g_free(whole);
    g_strlcpy(site->zone, lmn_config_name(config, "zone", "a"), sizeof site->zone);
    word(config, "log_level", levels, site->log_level, sizeof site->log_level);
    word(config, "log_format", formats, site->log_format, sizeof site->log_format);
    site->base_port = (int)lmn_config_number(config, "base_port", 7600, 1024, 65000);
    read_backend(config, site);
    site->controllers =
        (unsigned)lmn_config_number(config, "controllers", 3, 1, LMN_MAX_MEMBERS);
    read_teams(config, site);
    read_objectives(config, site);
    site->state_rps = lmn_config_number(config, "state.rps", 600, 1, 1e9);
    site->state_write_rps = lmn_config_number(config, "state.write_rps", 300, 1, 1e9);
    site->value_kb = lmn_config_number(config, "state.value_kb", 16, 1, 60);
    site->txn_ops = (int)lmn_config_number(config, "state.txn_ops", 48, 4, 1e6);
    site->cloud_rps = lmn_config_number(config, "cloud.rps", 20, 0.01, 1e6);
    site->list_lag_s = lmn_config_number(config, "cloud.list_lag_s", 1, 0, 3600);
    site->report_s = lmn_config_number(config, "workers.report_s", 1, 0.05, 600);
    site->lease_s = lmn_config_number(config, "workers.lease_s", 10, 0.1, 3600);
    site->cancel_s = lmn_config_number(config, "workers.cancel_s", 30, 0.1, 3600);
    site->log_kb = lmn_config_number(config, "workers.log_kb", 256, 1, 7 * 1024);
    if (site->lease_s <= site->report_s)
        lmn_config_fail(config, "workers.lease_s", "must be longer than report_s");
    if (site->cancel_s <= site->lease_s)
        lmn_config_fail(config, "workers.cancel_s", "must be longer than lease_s");
    site->cores = lmn_config_number(config, "resources.cores", 1, 0.001, 1e6);
    site->memory_mb = lmn_config_number(config, "resources.memory_mb", 512, 16, 1e9);
    site->max_connections =
        (int)lmn_config_number(config, "resources.max_connections", 2048, 64, 1e7);
    int rc = lmn_config_finish(config, err, len);
    lmn_config_free(config);
    if (rc == 0)
        rc = lmn_inventory_load(site->inventory, &v, err, len);
    if (rc == 0) {
        lmn_inventory_clear(&v);
        place(site);
    }
    return rc;
}

/* --- the processes' settings --- */

static int put(const struct lmn_site *site, const char *name, GString *text, char *err,
               size_t len)
{
    char *path = lmn_site_path(site, name, ".toml");
    int rc = lmn_file_put(path, text->str, text->len);

    if (rc != 0)
        g_snprintf(err, len, "%s: %s", path, strerror(errno));
    g_string_free(text, TRUE);
    g_free(path);
    return rc;
}

static GString *begin(const struct lmn_site *site)
{
    GString *t = g_string_new(NULL);
    g_string_append_printf(t, "# Written by 'lemonspar site' from %s at each start.\n",
                           site->file);
    return t;
}

static GString *state_settings(const struct lmn_site *site)
{
    GString *t = begin(site);
    g_string_append_printf(
        t,
        "listen = \"%s\"\ndata = \"%s/state\"\nrps = %g\nwrite_rps = %g\n"
        "value_kb = %g\ntxn_ops = %d\n",
        site->state, site->data, site->state_rps, site->state_write_rps, site->value_kb,
        site->txn_ops);
    return t;
}

static GString *fleet_settings(const struct lmn_site *site)
{
    GString *t = begin(site);
    g_string_append_printf(
        t,
        "listen = \"%s\"\ndepot = \"%s\"\ndata = \"%s/fleet\"\n"
        "inventory = \"%s\"\naddress = \"%s\"\ncheckpoints = \"%s/checkpoints\"\n"
        "backend = \"%s\"\nrps = %g\nreport_s = %g\nlease_s = %g\nlog_kb = %g\n",
        site->cloud, site->depot, site->data, site->inventory, site->address, site->data,
        site->backend, site->cloud_rps, site->report_s, site->lease_s, site->log_kb);
    for (unsigned i = 0; i < site->controllers; i++)
        g_string_append_printf(
            t, "[[controllers]]\nname = \"controller-%u\"\naddress = \"%s\"\n", i,
            site->users[i]);
    g_string_append(t, site->emulate->str);
    return t;
}

static GString *controller_settings(const struct lmn_site *site, unsigned me)
{
    GString *t = begin(site);

    g_string_append_printf(
        t,
        "host_name = \"controller-%u\"\narea = \"%s\"\nclient_listen = \"%s\"\n"
        "internal_addr = \"%s\"\n",
        me, site->zone, site->users[me], site->peers[me]);
    for (unsigned i = 0; i < site->controllers; i++)
        if (i != me)
            g_string_append_printf(
                t,
                "[[members]]\nhost_name = \"controller-%u\"\narea = \"%s\"\n"
                "address = \"%s\"\n",
                i, site->zone, site->peers[i]);
    g_string_append_printf(t,
                           "[outside]\ncloud = \"%s\"\nstate = \"%s\"\n[params]\n"
                           "initial_size = %u\n",
                           site->cloud, site->state, site->controllers);
    for (size_t i = 0; i < site->nteams; i++)
        g_string_append_printf(
            t,
            "[[params.teams]]\nname = \"%s\"\ncpus = %g\ncpus_max = %g\n"
            "gpus = %g\ngpus_max = %g\n",
            site->teams[i].name, site->teams[i].cpus, site->teams[i].cpus_max,
            site->teams[i].gpus, site->teams[i].gpus_max);
    g_string_append(t, site->objectives->str);
    g_string_append_printf(
        t,
        "[params.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n"
        "[params.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n"
        "[params.cloud]\nrps = %g\nlist_lag_s = %g\n"
        "[params.resources]\ncores = %g\nmemory_mb = %g\nmax_connections = %d\n",
        site->report_s, site->lease_s, site->cancel_s, site->state_rps,
        site->state_write_rps, site->value_kb, site->txn_ops, site->cloud_rps,
        site->list_lag_s, site->cores, site->memory_mb, site->max_connections);
    return t;
}

int lmn_site_write(const struct lmn_site *site, char *err, size_t len)
{
    char *dir = g_build_filename(site->data, "run", NULL);
    int rc = g_mkdir_with_parents(dir, 0755);

    if (rc != 0)
        g_snprintf(err, len, "%s: %s", dir, strerror(errno));
    g_free(dir);
    if (rc == 0)
        rc = put(site, "state", state_settings(site), err, len);
    if (rc == 0)
        rc = put(site, "fleet", fleet_settings(site), err, len);
    for (unsigned i = 0; i < site->controllers && rc == 0; i++) {
        char name[LMN_NAME_SIZE];
        g_snprintf(name, sizeof name, "controller-%u", i);
        rc = put(site, name, controller_settings(site, i), err, len);
    }
    return rc;
}
