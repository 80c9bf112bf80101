/** @file
 * Reads a worker's settings (worker/worker.h). Operators' settings files depend on the
 * names of the keys, which therefore stay as they are. */
#include "config/config.h"
#include "worker/worker.h"

#include <glib.h>
#include <string.h>

void lmn_worker_read_controllers(struct lmn_config *config,
                                 struct lmn_worker_options *options)
{
    guint count = lmn_config_count(config, "controllers");
    char path[64];

    if (count < 1 || count > LMN_MAX_CONTROLLERS)
        lmn_config_fail(config, "controllers",
                        "expected 1 to %d tables with name and address",
                        LMN_MAX_CONTROLLERS);
    for (guint i = 0; i < count && i < LMN_MAX_CONTROLLERS; i++) {
        g_snprintf(path, sizeof path, "controllers[%u].name", i);
        g_strlcpy(options->controllers[i].name, lmn_config_name(config, path, NULL),
                  LMN_NAME_SIZE);
        g_snprintf(path, sizeof path, "controllers[%u].address", i);
        g_strlcpy(options->controllers[i].addr, lmn_config_address(config, path, NULL),
                  LMN_ADDRESS_SIZE);
        options->controller_count++;
    }
}

static void read_addresses_and_paths(struct lmn_config *config,
                                     struct lmn_worker_options *options)
{
    g_strlcpy(options->listen, lmn_config_text(config, "listen", "127.0.0.1:0"),
              sizeof options->listen);
    if (!strchr(options->listen, ':'))
        lmn_config_fail(
            config, "listen",
            "expected an IPv4 address and a port, as in 127.0.0.1:0 (0 selects "
            "a free port)");
    g_strlcpy(options->image_store, lmn_config_address(config, "depot", NULL),
              sizeof options->image_store);
    g_strlcpy(options->directory, lmn_config_text(config, "data", NULL),
              sizeof options->directory);
    if (lmn_config_has(config, "checkpoints"))
        g_strlcpy(options->checkpoints, lmn_config_text(config, "checkpoints", NULL),
                  sizeof options->checkpoints);
}

static void read_machine_type(struct lmn_config *config, struct lmn_machine_type *type)
{
    g_strlcpy(type->name, lmn_config_name(config, "type.name", NULL), sizeof type->name);
    type->cpus = lmn_config_number(config, "type.cpus", 1, 0, 1e6);
    type->gpus = lmn_config_number(config, "type.gpus", 0, 0, 1e6);
    type->memory_gb = lmn_config_number(config, "type.mem_gb", 1, 0, 1e9);
    type->cache_gb = lmn_config_number(config, "type.cache_gb", 10, 0, 1e9);
    type->pull_gb_per_s = lmn_config_number(config, "type.pull_gb_per_s", 1, 0, 1e6);
}

int lmn_worker_load_settings(const char *path, struct lmn_worker_options *options,
                             char *err, size_t len)
{
    struct lmn_config *config = lmn_config_load(path, err, len);

    memset(options, 0, sizeof *options);
    if (!config)
        return -1;
    g_strlcpy(options->name, lmn_config_name(config, "name", NULL), sizeof options->name);
    g_strlcpy(options->zone, lmn_config_name(config, "zone", NULL), sizeof options->zone);
    read_addresses_and_paths(config, options);
    options->is_spot = lmn_config_bool(config, "spot", false);
    options->heartbeat_s = lmn_config_number(config, "report_s", 1.5, 0.05, 600);
    options->lease_s = lmn_config_number(config, "lease_s", 10, 0.1, 3600);
    options->log_kb = lmn_config_number(config, "log_kb", 256, 1, 7 * 1024);
    read_machine_type(config, &options->type);
    lmn_worker_read_controllers(config, options);
    if (options->lease_s <= options->heartbeat_s)
        lmn_config_fail(
            config, "lease_s",
            "must be longer than report_s, or leases expire between heartbeats");
    int result = lmn_config_finish(config, err, len);
    lmn_config_free(config);
    return result;
}
