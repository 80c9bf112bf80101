/**
 * @file
 * Reads and checks the operator's file of a site, and derives its processes and their
 * addresses.
 *
 * The readers don't stop at an error, since the configuration keeps the first one and
 * lmn_config_finish() reports it. So the order of the reads decides which of several
 * errors an operator sees.
 */
#include "config/config.h"
#include "emulator/emulator.h"
#include "inventory/inventory.h"

#include "site/site.h"

#include <stdio.h>
#include <string.h>

enum {
    FIELD_PATH_SIZE = 64,
    OBJECTIVE_KIND_SIZE = 16,
    /** Of the text that is taken as an IPv4 address. */
    HOST_SIZE = 32,
    /** So long may the data directory's path be, so that those of the files below it fit
     * into the processes' fixed-size buffers. */
    MAX_DATA_PATH_LENGTH = 300,
};

/** Where the processes listen: distance from the site's base port. */
enum {
    STATE_PORT_OFFSET = 0,
    CLOUD_PORT_OFFSET = 1,
    IMAGE_STORE_PORT_OFFSET = 2,
    USERS_PORT_OFFSET = 10, /**< of the first controller */
    PEERS_PORT_OFFSET = 50, /**< of the first controller */
};

static const double MAX_QUOTA = 1e9;
static const double MAX_OBJECTIVE_S = 1e9;
static const double MAX_OBJECTIVE_TIMES = 1e6;

char *lmn_site_path(const struct lmn_site *site, const char *name, const char *suffix)
{
    return g_strdup_printf("%s/run/%s%s", site->data, name, suffix);
}

/** Reads a text that must be one of `words`, a NULL-terminated list; by default the first
 * one. */
static void read_word(struct lmn_config *config, const char *path,
                      const char *const *words, char *word, size_t size)
{
    g_strlcpy(word, lmn_config_text(config, path, words[0]), size);
    for (guint i = 0; words[i]; i++)
        if (!strcmp(words[i], word))
            return;
    g_autofree char *all = g_strjoinv("', '", (char **)words);
    lmn_config_fail(config, path, "expected one of '%s'", all);
}

/** Writes the path of a field of a table in an array, as in "teams[2].name".
 * @param path FIELD_PATH_SIZE bytes. @return path */
static const char *field_path(char *path, const char *table, guint index,
                              const char *field)
{
    g_snprintf(path, FIELD_PATH_SIZE, "%s[%u].%s", table, index, field);
    return path;
}

static double read_quota(struct lmn_config *config, guint index, const char *field)
{
    char path[FIELD_PATH_SIZE];

    return lmn_config_number(config, field_path(path, "teams", index, field), 0, 0,
                             MAX_QUOTA);
}

static void read_team_name(struct lmn_config *config, struct lmn_site *site, guint index)
{
    struct lmn_team *team = &site->teams[index];
    char path[FIELD_PATH_SIZE];

    field_path(path, "teams", index, "name");
    g_strlcpy(team->name, lmn_config_name(config, path, NULL), sizeof team->name);
    for (guint i = 0; i < index; i++)
        if (!strcmp(site->teams[i].name, team->name))
            lmn_config_fail(config, path, "named twice");
}

static void read_team(struct lmn_config *config, struct lmn_site *site, guint index)
{
    struct lmn_team *team = &site->teams[index];
    char path[FIELD_PATH_SIZE];

    read_team_name(config, site, index);
    team->cpus_max = read_quota(config, index, "cpus_max");
    team->gpus_max = read_quota(config, index, "gpus_max");
    team->gpus = read_quota(config, index, "gpus");
    if (team->gpus_max > 0 && team->gpus > team->gpus_max)
        lmn_config_fail(config, field_path(path, "teams", index, "gpus"),
                        "more than gpus_max");
    team->cpus = read_quota(config, index, "cpus");
    if (team->cpus_max > 0 && team->cpus > team->cpus_max)
        lmn_config_fail(config, field_path(path, "teams", index, "cpus"),
                        "more than cpus_max");
}

static void read_teams(struct lmn_config *config, struct lmn_site *site)
{
    guint count = lmn_config_count(config, "teams");

    if (count < 1 || count > LMN_MAX_TEAMS)
        lmn_config_fail(config, "teams", "expected 1 to %d tables [[teams]]",
                        LMN_MAX_TEAMS);
    site->team_count = MIN(count, LMN_MAX_TEAMS);
    site->teams = g_new0(struct lmn_team, site->team_count);
    for (guint i = 0; i < site->team_count; i++)
        read_team(config, site, i);
}

/** Reads a number of an objective and appends it to the controllers' settings. */
static void pass_objective_number(struct lmn_config *config, GString *text, guint index,
                                  const char *field, double fallback, double max)
{
    char path[FIELD_PATH_SIZE];

    field_path(path, "objectives", index, field);
    g_string_append_printf(text, "%s = %g\n", field,
                           lmn_config_number(config, path, fallback, 0, max));
}

/** Reads an objective and appends it to the controllers' settings. */
static void pass_objective(struct lmn_config *config, GString *text, guint index)
{
    static const char *const kinds[] = {"wait", "finished", "deadline", "guarantee",
                                        NULL};
    char path[FIELD_PATH_SIZE], kind[OBJECTIVE_KIND_SIZE];

    read_word(config, field_path(path, "objectives", index, "kind"), kinds, kind,
              sizeof kind);
    g_string_append_printf(text, "[[params.objectives]]\nkind = \"%s\"\n", kind);
    field_path(path, "objectives", index, "class");
    if (lmn_config_has(config, path))
        g_string_append_printf(text, "class = \"%s\"\n",
                               lmn_config_name(config, path, NULL));
    pass_objective_number(config, text, index, "within_s", 0, MAX_OBJECTIVE_S);
    pass_objective_number(config, text, index, "times", 1, MAX_OBJECTIVE_TIMES);
    pass_objective_number(config, text, index, "share", 1, 1);
}

static void read_objectives(struct lmn_config *config, struct lmn_site *site)
{
    guint count = lmn_config_count(config, "objectives");

    site->objectives = g_string_new(NULL);
    for (guint i = 0; i < count; i++)
        pass_objective(config, site->objectives, i);
}

/** Writes the emulator's settings as TOML. Numbers keep all their digits, so that the
 * emulator reads what the operator wrote. */
static void write_emulation(GString *text, const struct lmn_emulation_options *options)
{
    g_string_append_printf(text, "[emulate]\nseed = %u\n", options->seed);
    for (size_t i = 0; lmn_emulator_fault_name(i); i++)
        if (!lmn_emulator_fault_is_event(lmn_emulator_fault_name(i)))
            g_string_append_printf(text, "%s = %.17g\n", lmn_emulator_fault_name(i),
                                   lmn_emulator_fault_value(&options->knobs, i));
    for (guint i = 0; i < options->script->len; i++) {
        const struct lmn_emu_fault *fault =
            &g_array_index(options->script, struct lmn_emu_fault, i);
        g_string_append_printf(text,
                               "[[troubles]]\nat = %.17g\nset = \"%s\"\nvalue = %.17g\n"
                               "for = %.17g\n",
                               fault->at, fault->name, fault->value, fault->lasts);
    }
}

/** Reads which machine provider is wanted. The emulator's settings are for another
 * process, but are checked here, where the operator sees what is wrong. */
static void read_backend(struct lmn_config *config, struct lmn_site *site)
{
    static const char *const backends[] = {"static", "emulated", NULL};
    struct lmn_emulation_options options = {0};

    read_word(config, "backend", backends, site->backend, sizeof site->backend);
    site->emulate = g_string_new(NULL);
    if (strcmp(site->backend, "emulated"))
        return;
    lmn_emulation_read(config, &options);
    write_emulation(site->emulate, &options);
    g_array_free(options.script, TRUE);
}

static void read_address(struct lmn_config *config, struct lmn_site *site)
{
    char with_port[LMN_ADDRESS_SIZE + 8], ip[LMN_ADDRESS_SIZE];
    int port;

    g_strlcpy(site->address, lmn_config_text(config, "address", "127.0.0.1"), HOST_SIZE);
    g_snprintf(with_port, sizeof with_port, "%s:1", site->address);
    if (lmn_address_split(with_port, ip, sizeof ip, &port) != 0)
        lmn_config_fail(config, "address", "expected an IPv4 address");
}

/** Paths are made absolute, so that they mean the same to every process. */
static void read_paths(struct lmn_config *config, struct lmn_site *site)
{
    g_autofree char *data =
        g_canonicalize_filename(lmn_config_text(config, "data", NULL), NULL);

    if (strlen(data) > MAX_DATA_PATH_LENGTH)
        lmn_config_fail(config, "data", "the path is too long");
    g_strlcpy(site->data, data, sizeof site->data);
    g_autofree char *inventory =
        g_canonicalize_filename(lmn_config_text(config, "inventory", NULL), NULL);
    g_strlcpy(site->inventory, inventory, sizeof site->inventory);
}

static void read_logging(struct lmn_config *config, struct lmn_site *site)
{
    static const char *const levels[] = {"info", "error", "debug", NULL};
    static const char *const formats[] = {"text", "json", NULL};

    read_word(config, "log_level", levels, site->log_level, sizeof site->log_level);
    read_word(config, "log_format", formats, site->log_format, sizeof site->log_format);
}

/** Reads the limits of the key-value store and of the machine provider. */
static void read_service_limits(struct lmn_config *config, struct lmn_site *site)
{
    site->state_rps = lmn_config_number(config, "state.rps", 600, 1, 1e9);
    site->state_write_rps = lmn_config_number(config, "state.write_rps", 300, 1, 1e9);
    site->value_kb = lmn_config_number(config, "state.value_kb", 16, 1, 60);
    site->txn_ops = (int)lmn_config_number(config, "state.txn_ops", 48, 4, 1e6);
    site->cloud_rps = lmn_config_number(config, "cloud.rps", 20, 0.01, 1e6);
    site->list_lag_s = lmn_config_number(config, "cloud.list_lag_s", 1, 0, 3600);
}

static void read_workers(struct lmn_config *config, struct lmn_site *site)
{
    site->report_s = lmn_config_number(config, "workers.report_s", 1, 0.05, 600);
    site->lease_s = lmn_config_number(config, "workers.lease_s", 10, 0.1, 3600);
    site->cancel_s = lmn_config_number(config, "workers.cancel_s", 30, 0.1, 3600);
    site->log_kb = lmn_config_number(config, "workers.log_kb", 256, 1, 7 * 1024);
    if (site->lease_s <= site->report_s)
        lmn_config_fail(config, "workers.lease_s", "must be longer than report_s");
    if (site->cancel_s <= site->lease_s)
        lmn_config_fail(config, "workers.cancel_s", "must be longer than lease_s");
}

static void read_resources(struct lmn_config *config, struct lmn_site *site)
{
    site->cores = lmn_config_number(config, "resources.cores", 1, 0.001, 1e6);
    site->memory_mb = lmn_config_number(config, "resources.memory_mb", 512, 16, 1e9);
    site->max_connections =
        (int)lmn_config_number(config, "resources.max_connections", 2048, 64, 1e7);
}

static void read_site(struct lmn_config *config, struct lmn_site *site)
{
    g_strlcpy(site->name, lmn_config_name(config, "name", NULL), sizeof site->name);
    read_address(config, site);
    read_paths(config, site);
    g_strlcpy(site->zone, lmn_config_name(config, "zone", "a"), sizeof site->zone);
    read_logging(config, site);
    site->base_port = (int)lmn_config_number(config, "base_port", 7600, 1024, 65000);
    read_backend(config, site);
    site->controllers =
        (unsigned)lmn_config_number(config, "controllers", 3, 1, LMN_MAX_MEMBERS);
    read_teams(config, site);
    read_objectives(config, site);
    read_service_limits(config, site);
    read_workers(config, site);
    read_resources(config, site);
}

static int check_inventory(const struct lmn_site *site, char *err, size_t len)
{
    /* Static since it is too large for a stack. */
    static struct lmn_inventory inventory;

    if (lmn_inventory_load(site->inventory, &inventory, err, len) != 0)
        return -1;
    lmn_inventory_clear(&inventory);
    return 0;
}

static void add_process(struct lmn_site *site, const char *name, const char *command,
                        const char *ready)
{
    struct lmn_site_process *process = &site->processes[site->process_count++];

    g_strlcpy(process->name, name, sizeof process->name);
    process->argv[0] = g_strdup(command);
    process->argv[1] = g_strdup("--config");
    process->argv[2] = lmn_site_path(site, name, ".toml");
    g_strlcpy(process->ready, ready, sizeof process->ready);
}

/** Writes the address of a port. @param address LMN_ADDRESS_SIZE bytes */
static void assign_address(const struct lmn_site *site, int port_offset, char *address)
{
    g_snprintf(address, LMN_ADDRESS_SIZE, "%s:%d", site->address,
               site->base_port + port_offset);
}

/** Fills in the addresses and the processes, these in the order of starting: controllers
 * need the other two. */
static void derive_processes(struct lmn_site *site)
{
    char name[LMN_NAME_SIZE];

    assign_address(site, STATE_PORT_OFFSET, site->state);
    assign_address(site, CLOUD_PORT_OFFSET, site->cloud);
    assign_address(site, IMAGE_STORE_PORT_OFFSET, site->depot);
    add_process(site, "state", "state", site->state);
    add_process(site, "fleet", "fleet", site->cloud);
    for (unsigned i = 0; i < site->controllers; i++) {
        assign_address(site, USERS_PORT_OFFSET + (int)i, site->users[i]);
        assign_address(site, PEERS_PORT_OFFSET + (int)i, site->peers[i]);
        g_snprintf(name, sizeof name, "controller-%u", i);
        add_process(site, name, "controller", site->users[i]);
    }
}

int lmn_site_load(const char *path, struct lmn_site *site, char *err, size_t len)
{
    struct lmn_config *config = lmn_config_load(path, err, len);

    memset(site, 0, sizeof *site);
    if (!config)
        return -1;
    g_strlcpy(site->file, path, sizeof site->file);
    read_site(config, site);
    int rc = lmn_config_finish(config, err, len);
    lmn_config_free(config);
    if (rc == 0)
        rc = check_inventory(site, err, len);
    if (rc == 0)
        derive_processes(site);
    return rc;
}
