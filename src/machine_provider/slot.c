#include "machine_provider/slot.h"
#include "util/clock.h"
#include "config/config.h"
#include "http/client.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"

#include <curl/curl.h>
#include <string.h>

static const double ASK_S = 1, END_S = 10;

int lmn_slot_load(const char *path, struct lmn_slot_options *options, char *err,
                  size_t len)
{
    struct lmn_config *config = lmn_config_load(path, err, len);

    memset(options, 0, sizeof *options);
    if (!config)
        return -1;
    g_strlcpy(options->name, lmn_config_name(config, "slot", NULL), sizeof options->name);
    g_strlcpy(options->provider_address, lmn_config_address(config, "fleet", NULL),
              sizeof options->provider_address);
    g_strlcpy(options->local.directory, lmn_config_text(config, "data", NULL),
              sizeof options->local.directory);
    lmn_local_agent_options_read(config, &options->local);
    int rc = lmn_config_finish(config, err, len);
    lmn_config_free(config);
    return rc;
}

/* The machine whose directory is there: at most one is. */
static void held(const struct lmn_slot_options *options, char *name)
{
    GDir *d = g_dir_open(options->local.directory, 0, NULL);
    const char *entry;

    *name = '\0';
    while (d && !*name && (entry = g_dir_read_name(d)))
        if (g_str_has_prefix(entry, "host-"))
            g_strlcpy(name, entry, LMN_NAME_SIZE);
    if (d)
        g_dir_close(d);
}

struct rented_as {
    char machine[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool spot;
    struct lmn_machine_type type;
};

/* What it should be; false: the fleet did not say. */
static bool ask(struct lmn_http_client *client, const struct lmn_slot_options *options,
                const char *holds, const char *addr, struct rented_as *as)
{
    GByteArray *buffer = g_byte_array_new(), *in = g_byte_array_new();
    static uint64_t seq; /* rises across restarts, too */
    struct lmn_cbor_document d;

    seq = MAX(seq + 1, (uint64_t)g_get_real_time());

    memset(as, 0, sizeof *as);
    lmn_cbor_put_map(buffer, *holds ? 4 : 2);
    lmn_cbor_put_text(buffer, "Slot"), lmn_cbor_put_text(buffer, options->name);
    lmn_cbor_put_text(buffer, "Seq"), lmn_cbor_put_uint(buffer, seq);
    if (*holds) {
        lmn_cbor_put_text(buffer, WIRE_MACHINE), lmn_cbor_put_text(buffer, holds);
        lmn_cbor_put_text(buffer, WIRE_ADDRESS), lmn_cbor_put_text(buffer, addr);
    }
    int status = lmn_http_client_call(client, "POST", "/slots", buffer, 5, in);
    bool ok = status == 200 && lmn_cbor_parse(&d, in->data, in->len) == 0;
    if (ok) {
        const struct lmn_cbor_value *root = lmn_cbor_root(&d);
        lmn_cbor_get_text(lmn_cbor_get(&d, root, WIRE_MACHINE), as->machine,
                          sizeof as->machine);
        lmn_cbor_get_text(lmn_cbor_get(&d, root, WIRE_ZONE), as->zone, sizeof as->zone);
        lmn_cbor_get_bool(lmn_cbor_get(&d, root, WIRE_SPOT), &as->spot);
        lmn_cbor_get_text(lmn_cbor_get(&d, root, WIRE_MACHINE_TYPE), as->type.name,
                          sizeof as->type.name);
        lmn_cbor_get_number(lmn_cbor_get(&d, root, WIRE_CPUS), &as->type.cpus);
        lmn_cbor_get_number(lmn_cbor_get(&d, root, WIRE_GPUS), &as->type.gpus);
        lmn_cbor_get_number(lmn_cbor_get(&d, root, WIRE_MEMORY_GB), &as->type.memory_gb);
        lmn_cbor_get_number(lmn_cbor_get(&d, root, WIRE_CACHE_GB), &as->type.cache_gb);
        lmn_cbor_get_number(lmn_cbor_get(&d, root, WIRE_PULL_GB_PER_S),
                            &as->type.pull_gb_per_s);
        lmn_cbor_free(&d);
    } else if (status == 404) {
        lmn_error("slot_unknown slot=%s mend=\"name it in the fleet's inventory\"",
                  options->name);
    }
    g_byte_array_unref(buffer);
    g_byte_array_unref(in);
    return ok;
}

void lmn_slot_run(const struct lmn_slot_options *options)
{
    struct lmn_backoff backoff = {0};
    char holds[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE], err[256];

    curl_global_init(CURL_GLOBAL_NOTHING);
    struct lmn_http_client *client = lmn_http_client_new(options->provider_address);
    lmn_info("slot_started slot=%s fleet=%s", options->name, options->provider_address);
    for (;; lmn_sleep(ASK_S)) {
        struct rented_as as;
        held(options, holds);
        bool up = *holds && lmn_local_agent_is_up(&options->local, holds, addr);
        if (!ask(client, options, holds, up ? addr : "", &as))
            continue; /* what it is, it stays: its lease watches over it */
        if (*holds && strcmp(holds, as.machine)) {
            bool gone = lmn_local_agent_end(&options->local, holds, END_S);
            lmn_info("slot_released machine=%s gone=%d", holds, gone);
            memset(&backoff, 0, sizeof backoff);
            continue; /* says so with the next question */
        }
        bool young = backoff.started_at.tv_sec &&
                     lmn_time_diff_s(lmn_now(), backoff.started_at) < 2;
        if (*as.machine && !up && !young &&
            (!*holds || lmn_backoff_due(&backoff, lmn_now()))) {
            lmn_backoff_started(&backoff, lmn_now());
            if (lmn_local_agent_start(&options->local, as.machine, &as.type, as.zone,
                                      as.spot, err, sizeof err) != 0)
                lmn_error("start_failed machine=%s why=\"%s\"", as.machine, err);
        }
    }
}
