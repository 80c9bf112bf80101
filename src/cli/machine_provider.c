/* lemonspar fleet and lemonspar worker. */
#include "cli/cli.h"
#include "config/config.h"
#include "http/client.h"
#include "protocol/json.h"

#include "util/log.h"
#include "util/thread.h"
#include "image_store/image_store.h"
#include "emulator/emulator.h"
#include "machine_provider/slot.h"

#include "machine_provider/static_provider.h"

#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct fleet_options {
    char listen[LMN_ADDRESS_SIZE], data[512], inventory[512];
    double rps;
    bool emulated;
    struct lmn_local_agent_options local;
    struct lmn_emulation_options emulation;
};

static int load(const char *path, struct fleet_options *o, char *err, size_t len)
{
    struct lmn_config *config = lmn_config_load(path, err, len);

    if (!config)
        return -1;
    g_strlcpy(o->listen, lmn_config_address(config, "listen", "127.0.0.1:8443"),
              sizeof o->listen);
    g_strlcpy(o->data, lmn_config_text(config, "data", NULL), sizeof o->data);
    g_strlcpy(o->inventory, lmn_config_text(config, "inventory", NULL),
              sizeof o->inventory);
    o->rps = lmn_config_number(config, "rps", 0, 0, 1e6);
    const char *backend = lmn_config_text(config, "backend", "static");
    o->emulated = !strcmp(backend, "emulated");
    if (!o->emulated && strcmp(backend, "static"))
        lmn_config_fail(config, "backend", "expected 'static' or 'emulated'");
    if (o->emulated)
        lmn_emulation_read(config, &o->emulation);
    lmn_local_agent_options_read(config, &o->local);
    g_snprintf(o->local.directory, sizeof o->local.directory, "%s/machines", o->data);
    int rc = lmn_config_finish(config, err, len);
    lmn_config_free(config);
    return rc;
}

static int serve_emulated(struct fleet_options *o, const struct lmn_inventory *inventory)
{
    char err[256];

    o->emulation.inventory = inventory;
    o->emulation.worker = o->local.worker;
    struct lmn_emulation *emulation = lmn_emulation_start(&o->emulation, err, sizeof err);
    if (!emulation)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    if (!lmn_machine_provider_serve(o->listen, o->rps, &lmn_emulation_ops, emulation))
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s: can't listen: %s", o->listen,
                            strerror(errno));
    for (;;)
        pause();
}

/* lemonspar fleet trouble: shows or sets what is wrong in an emulated fleet. */
static int trouble(int argc, char **argv)
{
    char *addr = NULL;
    double lasts = 0;
    const GOptionEntry entries[] = {
        {"fleet", 0, 0, G_OPTION_ARG_STRING, &addr, "The fleet's address", "ADDR"},
        {"for", 0, 0, G_OPTION_ARG_DOUBLE, &lasts, "Set back after so long", "SECONDS"},
        G_OPTION_ENTRY_NULL,
    };
    int rc = lmn_cli_parse(entries, "[NAME VALUE]",
                           "Shows or sets the troubles of an emulated fleet.", NULL,
                           false, &argc, &argv);

    if (rc)
        return rc;
    if (!addr || (argc != 1 && argc != 3))
        return lmn_cli_fail(LMN_EXIT_USAGE,
                            "expected: fleet trouble --fleet ADDR [NAME VALUE]");
    curl_global_init(CURL_GLOBAL_NOTHING);
    struct lmn_http_client *client = lmn_http_client_new(addr);
    GByteArray *in = g_byte_array_new(), *buffer = g_byte_array_new();
    if (argc == 3) {
        char *end;
        double value = g_ascii_strtod(argv[2], &end);
        if (end == argv[2] || *end)
            return lmn_cli_fail(LMN_EXIT_USAGE, "%s: expected a number", argv[2]);
        lmn_cbor_put_map(buffer, 3);
        lmn_cbor_put_text(buffer, "Set"), lmn_cbor_put_text(buffer, argv[1]);
        lmn_cbor_put_text(buffer, "Value"), lmn_cbor_put_number(buffer, value);
        lmn_cbor_put_text(buffer, "For"), lmn_cbor_put_number(buffer, lasts);
    }
    int status = lmn_http_client_call(client, argc == 3 ? "POST" : "GET", "/troubles",
                                      buffer, 5, in);
    json_t *j = in->len ? lmn_json_from_cbor_bytes(in->data, in->len) : NULL;
    if (status != 200)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s: %s", addr,
                            j ? json_string_value(json_object_get(j, "error"))
                              : "no answer");
    if (j)
        lmn_json_print(j, true);
    return LMN_EXIT_OK;
}

int lmn_cmd_machine_provider(int argc, char **argv)
{
    static struct fleet_options o;
    static struct lmn_inventory v;
    char *config = NULL, *check = NULL, err[512];
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config, "Settings", "FILE"},
        {"check", 0, 0, G_OPTION_ARG_FILENAME, &check, "Only check an inventory", "FILE"},
        G_OPTION_ENTRY_NULL,
    };
    static const struct lmn_subcommand subs[] = {
        {"trouble", "--fleet ADDR [NAME VALUE]", "an emulated fleet's troubles", trouble},
        {0}};

    if (argc > 1 && !strcmp(argv[1], "trouble"))
        return lmn_cli_sub(subs, argc, argv);
    int rc = lmn_cli_parse(
        entries, "| trouble ...",
        "Rents out the machines of an inventory, and keeps the site's depot.",
        "See docs/fleet.md for the files.", false, &argc, &argv);

    if (rc)
        return rc;
    if (argc > 1 || (!config && !check))
        return lmn_cli_fail(LMN_EXIT_USAGE,
                            "fleet: expected --config FILE or --check FILE");
    if (check) {
        if (lmn_inventory_load(check, &v, err, sizeof err) != 0)
            return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
        printf("%s: good: %u types, %u pools, %u machines\n", check, v.type_count,
               v.pool_count, v.slot_count);
        return LMN_EXIT_OK;
    }
    if (load(config, &o, err, sizeof err) != 0 ||
        lmn_inventory_load(o.inventory, &v, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    lmn_log_init("fleet");
    signal(SIGPIPE, SIG_IGN);
    char *db = g_build_filename(o.data, "fleet", NULL),
         *depot = g_build_filename(o.data, "depot", NULL);
    if (!lmn_image_store_start(depot, o.local.worker.image_store, err, sizeof err))
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    if (o.emulated)
        return serve_emulated(&o, &v);
    struct lmn_static_provider *s =
        lmn_static_provider_new(&v, &o.local, db, err, sizeof err);
    if (!s)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    if (!lmn_machine_provider_serve(o.listen, o.rps, &lmn_static_provider_ops, s))
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s: can't listen: %s", o.listen,
                            strerror(errno));
    lmn_static_provider_thread(s);
    return LMN_EXIT_FAILED;
}

int lmn_cmd_worker(int argc, char **argv)
{
    static struct lmn_worker_options o;
    static struct lmn_slot_options slot;
    char *config = NULL, *as_slot = NULL, err[512] = "";
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
         "Settings of one rented machine", "FILE"},
        {"slot", 0, 0, G_OPTION_ARG_FILENAME, &as_slot,
         "Settings of a machine of the inventory: registers with the fleet", "FILE"},
        G_OPTION_ENTRY_NULL,
    };
    int rc = lmn_cli_parse(
        entries, NULL, "Runs the agent of one machine.",
        "The fleet starts the agents of its own host. On other hosts operators "
        "start\n'lemonspar worker --slot FILE'. See docs/worker.md.",
        false, &argc, &argv);

    if (rc)
        return rc;
    if (argc > 1 || !config == !as_slot)
        return lmn_cli_fail(LMN_EXIT_USAGE,
                            "worker: expected --config FILE or --slot FILE");
    if (as_slot) {
        if (lmn_slot_load(as_slot, &slot, err, sizeof err) != 0)
            return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
        lmn_log_init(slot.name);
        signal(SIGPIPE, SIG_IGN);
        lmn_slot_run(&slot);
        return LMN_EXIT_OK;
    }
    if (lmn_worker_load_settings(config, &o, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    lmn_log_init(o.name);
    lmn_worker_run(&o, err, sizeof err);
    return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
}
