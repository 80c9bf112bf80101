/* lemonspar state: serves, or cares for, a state service's database. */
#include "cli/cli.h"
#include "config/config.h"
#include "protocol/json.h"
#include "util/log.h"
#include "util/thread.h"
#include "kv_store/db.h"
#include "kv_store/kv_store.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

static int read_config(const char *path, struct lmn_kv_store_options *o, char *err,
                       size_t len)
{
    struct lmn_config *config = lmn_config_load(path, err, len);

    if (!config)
        return -1;
    g_strlcpy(o->listen, lmn_config_address(config, "listen", o->listen),
              sizeof o->listen);
    if (lmn_config_has(config, "data") || !o->dir)
        o->dir = g_strdup(lmn_config_text(config, "data", NULL));
    o->map_gb = lmn_config_number(config, "map_gb", o->map_gb, 0.001, 16384);
    o->requests_per_s = lmn_config_number(config, "rps", o->requests_per_s, 0, 1e9);
    o->writes_per_s = lmn_config_number(config, "write_rps", o->writes_per_s, 0, 1e9);
    o->max_value_kb = lmn_config_number(config, "value_kb", o->max_value_kb, 0, 1e6);
    o->max_txn_operations =
        (int)lmn_config_number(config, "txn_ops", o->max_txn_operations, 0, 1e6);
    int rc = lmn_config_finish(config, err, len);
    lmn_config_free(config);
    return rc;
}

static int serve(int argc, char **argv)
{
    struct lmn_kv_store_options o = lmn_kv_store_default_options;
    char *config = NULL, *listen = NULL, *data = NULL, err[512];
    gboolean one_txn_per_sync = FALSE;
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config, "Settings; options go before",
         "FILE"},
        {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Where to serve (127.0.0.1:2379)",
         "ADDR"},
        {"data", 0, 0, G_OPTION_ARG_FILENAME, &data, "The database's directory", "DIR"},
        {"map-gb", 0, 0, G_OPTION_ARG_DOUBLE, &o.map_gb, "Most that it may grow to (64)",
         "GB"},
        {"rps", 0, 0, G_OPTION_ARG_DOUBLE, &o.requests_per_s,
         "Requests a second (0: any number)", "N"},
        {"write-rps", 0, 0, G_OPTION_ARG_DOUBLE, &o.writes_per_s,
         "Puts and deletes a second (0: any number)", "N"},
        {"value-kb", 0, 0, G_OPTION_ARG_DOUBLE, &o.max_value_kb,
         "KiB of a value, as JSON (16)", "N"},
        {"txn-ops", 0, 0, G_OPTION_ARG_INT, &o.max_txn_operations,
         "Changes a transaction (48)", "N"},
        {"one-by-one", 0, 0, G_OPTION_ARG_NONE, &one_txn_per_sync,
         "A sync for each transaction (to measure by)", NULL},
        G_OPTION_ENTRY_NULL,
    };
    static const char more[] =
        "Commands: state backup FILE, restore FILE, check, dump, each with --data DIR.\n"
        "The database is one file in DIR; see docs/state.md.";
    int rc = lmn_cli_parse(entries, "| backup|restore|check|dump ...",
                           "Serves the state service from a directory.", more, false,
                           &argc, &argv);

    if (rc)
        return rc;
    if (argc > 1)
        return lmn_cli_fail(LMN_EXIT_USAGE, "%s: no such command of state", argv[1]);
    if (config && read_config(config, &o, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    if (data)
        o.dir = data;
    if (listen)
        g_strlcpy(o.listen, listen, sizeof o.listen);
    if (!o.dir)
        return lmn_cli_fail(LMN_EXIT_USAGE, "--data is missing");
    if (o.requests_per_s < 0 || o.writes_per_s < 0 || o.max_value_kb < 0 ||
        o.max_txn_operations < 0 || o.map_gb <= 0)
        return lmn_cli_fail(LMN_EXIT_USAGE, "limits are numbers from 0 on (0: none)");
    o.one_txn_per_sync = one_txn_per_sync;
    lmn_log_init("state");
    if (!lmn_kv_store_start(&o, err, sizeof err))
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    for (;;)
        pause();
}

static int with_data(const char *args, const char *summary, int want, int *argc,
                     char ***argv, char **data, gboolean *json)
{
    const GOptionEntry entries[] = {
        {"data", 0, 0, G_OPTION_ARG_FILENAME, data, "The database's directory", "DIR"},
        {"json", 0, 0, G_OPTION_ARG_NONE, json, "JSON instead of text or CBOR", NULL},
        G_OPTION_ENTRY_NULL,
    };
    int rc = lmn_cli_parse(entries, args, summary, NULL, false, argc, argv);

    if (rc)
        return rc;
    if (!*data)
        return lmn_cli_fail(LMN_EXIT_USAGE, "--data is missing");
    if (*argc != want)
        return lmn_cli_fail(LMN_EXIT_USAGE, "expected: %s %s", (*argv)[0],
                            args ? args : "");
    return 0;
}

static int backup(int argc, char **argv)
{
    char *data = NULL, err[512];
    gboolean json = FALSE;
    int rc = with_data("FILE",
                       "Copies the database into a new file, while it is served or not.",
                       2, &argc, &argv, &data, &json);

    if (rc)
        return rc;
    if (lmn_db_backup(data, argv[1], err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    printf("%s: written\n", argv[1]);
    return LMN_EXIT_OK;
}

static int restore(int argc, char **argv)
{
    char *data = NULL, err[512];
    gboolean json = FALSE;
    int rc = with_data("FILE", "Makes a new directory's database from a backup.", 2,
                       &argc, &argv, &data, &json);

    if (rc)
        return rc;
    if (lmn_db_restore(argv[1], data, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    printf("%s: restored from %s; its incarnation is new\n", data, argv[1]);
    return LMN_EXIT_OK;
}

static void say(void *arg, const char *what)
{
    json_t *list = arg;
    if (list)
        json_array_append_new(list, json_string(what));
    else
        fprintf(stderr, "%s\n", what);
}

static int check(int argc, char **argv)
{
    struct lmn_db_meta meta;
    char *data = NULL;
    gboolean json = FALSE;
    int rc = with_data(NULL, "Reads the whole database; says what is wrong and exits 1.",
                       1, &argc, &argv, &data, &json);

    if (rc)
        return rc;
    json_t *list = json ? json_array() : NULL;
    unsigned n = lmn_db_check(data, say, list, &meta);
    if (json)
        lmn_json_print(json_pack("{s:b, s:o, s:I, s:I}", "whole", n == 0, "wrong", list,
                                 "revision", (json_int_t)meta.revision, "keys",
                                 (json_int_t)meta.count),
                       true);
    else if (!n)
        printf("%s: whole: %" G_GUINT64_FORMAT " keys, revision %" G_GUINT64_FORMAT "\n",
               data, meta.count, meta.revision);
    else
        fprintf(stderr,
                "%s: %u things are wrong; 'lemonspar state restore' takes a backup\n",
                data, n);
    return n ? LMN_EXIT_FAILED : LMN_EXIT_OK;
}

static bool dump_json(void *arg, const struct lmn_db_item *item)
{
    json_t *v = lmn_json_from_cbor_bytes(item->value, item->len);
    (void)arg;
    lmn_json_print(json_pack("{s:s, s:I, s:I, s:o*}", "key", item->key, "revision",
                             (json_int_t)item->revision, "lease", (json_int_t)item->lease,
                             "value", v),
                   false);
    return true;
}

static bool dump_cbor(void *arg, const struct lmn_db_item *item)
{
    GByteArray *buffer = g_byte_array_new();
    (void)arg;

    lmn_cbor_put_map(buffer, 4);
    lmn_cbor_put_text(buffer, "key"), lmn_cbor_put_text(buffer, item->key);
    lmn_cbor_put_text(buffer, "revision"), lmn_cbor_put_uint(buffer, item->revision);
    lmn_cbor_put_text(buffer, "lease"), lmn_cbor_put_uint(buffer, item->lease);
    lmn_cbor_put_text(buffer, "value"),
        g_byte_array_append(buffer, item->value, (guint)item->len);
    fwrite(buffer->data, 1, buffer->len, stdout);
    g_byte_array_unref(buffer);
    return true;
}

static int dump(int argc, char **argv)
{
    struct lmn_db_meta meta;
    char *data = NULL, err[512];
    gboolean json = FALSE;
    int rc = with_data(NULL, "Prints every key: a sequence of CBOR maps, or JSON lines.",
                       1, &argc, &argv, &data, &json);

    if (rc)
        return rc;
    const struct lmn_db_options o = {.dir = data, .read_only = true};
    struct lmn_db *db = lmn_db_open(&o, err, sizeof err);
    if (!db)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    struct lmn_db_reader *reader = lmn_db_reader_new(db);
    if (lmn_db_view_begin(reader, &meta) == 0) {
        lmn_db_list(reader, "", NULL, json ? dump_json : dump_cbor, NULL);
        lmn_db_view_end(reader);
    }
    lmn_db_reader_free(reader);
    lmn_db_close(db);
    return fflush(stdout) == 0 ? LMN_EXIT_OK
                               : lmn_cli_fail(LMN_EXIT_FAILED, "dump: cannot write");
}

int lmn_cmd_kv_store(int argc, char **argv)
{
    static const struct lmn_subcommand subs[] = {
        {"backup", "FILE --data DIR", "", backup},
        {"restore", "FILE --data DIR", "", restore},
        {"check", "--data DIR", "", check},
        {"dump", "--data DIR [--json]", "", dump},
        {0},
    };
    if (argc < 2 || argv[1][0] == '-')
        return serve(argc, argv);
    return lmn_cli_sub(subs, argc, argv);
}
