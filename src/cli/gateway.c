/* lemonspar gateway. */
#include "cli/cli.h"
#include "http/client.h"
#include "protocol/json.h"
#include "util/log.h"
#include "protocol/wire.h"
#include "gateway/gateway.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

static struct lmn_gateway_options o;
static char *config;
static gboolean json;
static const char not_home[] = "this site is not its home";

static int load(const char *args, const char *summary, int want, int *argc, char ***argv)
{
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
         "The gateway's file (deploy/gateway.toml)", "FILE"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &json, "JSON for programs", NULL},
        G_OPTION_ENTRY_NULL,
    };
    char err[512];
    int rc =
        lmn_cli_parse(entries, args, summary, "See docs/gateway.md.", false, argc, argv);

    if (!rc && *argc != want)
        rc =
            lmn_cli_fail(LMN_EXIT_USAGE, "expected: %s %s", (*argv)[0], args ? args : "");
    if (!rc && lmn_gateway_load(config ? config : "deploy/gateway.toml", &o, err,
                                sizeof err) != 0)
        rc = lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    curl_global_init(CURL_GLOBAL_NOTHING);
    return rc;
}

/* The answer, or NULL with what is wrong said and the exit status in *rc. what: that it
 * is about; unknown: what a 404 means. */
static json_t *ask(const char *method, const char *path, const char *what,
                   const char *unknown, int *rc)
{
    struct lmn_http_client *client = lmn_http_client_new(o.listen);
    GByteArray *in = g_byte_array_new();
    int status = lmn_http_client_call(client, method, path, NULL, 30, in);
    json_t *j = in->len ? lmn_json_from_cbor_bytes(in->data, in->len) : NULL;

    *rc = LMN_EXIT_OK;
    if (status == 404 && unknown)
        *rc = lmn_cli_fail(LMN_EXIT_FAILED, "%s: %s", what, unknown);
    else if (status == 409)
        *rc = lmn_cli_fail(LMN_EXIT_FAILED, "%s: fenced; see 'lemonspar gateway unfence'",
                           what);
    else if (status == 503)
        *rc = lmn_cli_fail(LMN_EXIT_FAILED, "%s: the gateway can't write now; ask again",
                           what);
    else if (status != 200 || !j)
        *rc = lmn_cli_fail(LMN_EXIT_FAILED, "%s: no gateway answers there", o.listen);
    if (*rc)
        g_clear_pointer(&j, json_decref);
    g_byte_array_unref(in);
    lmn_http_client_free(client);
    return j;
}

static int run(int argc, char **argv)
{
    char err[512] = "";
    int rc = load(NULL, "Runs a gateway; a second one of the same site stands by.", 1,
                  &argc, &argv);

    if (rc)
        return rc;
    lmn_log_init(o.name);
    lmn_gateway_run(&o, err, sizeof err);
    return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
}

/* Exit status 1 if a peer is silent for too long, or a job is fenced: for scripts. */
static int status(int argc, char **argv)
{
    int rc =
        load(NULL,
             "Shows jobs by their course, and peers. Exit status 1 if a peer is silent "
             "for too\nlong, or a job is fenced.",
             1, &argc, &argv);
    json_t *j, *p;
    const char *key;
    size_t i;
    bool alarm = false;

    if (rc)
        return rc;
    j = ask("GET", "/gateway", o.listen, NULL, &rc);
    if (!j)
        return rc;
    json_t *jobs = json_object_get(j, "Jobs"), *peers = json_object_get(j, "Peers");
    alarm = json_integer_value(json_object_get(jobs, "fenced")) > 0;
    if (!json)
        printf("site %s, gateway %s\n", json_string_value(json_object_get(j, "Site")),
               json_string_value(json_object_get(j, "Gateway")));
    json_object_foreach(jobs, key, p) if (!json)
        printf("jobs %-14s %" JSON_INTEGER_FORMAT "\n", key, json_integer_value(p));
    if (!json)
        printf("guests %" JSON_INTEGER_FORMAT ", outcomes untold %" JSON_INTEGER_FORMAT
               "\n",
               json_integer_value(json_object_get(j, "Guests")),
               json_integer_value(json_object_get(j, "OutcomesUntold")));
    json_array_foreach(peers, i, p)
    {
        bool a = json_is_true(json_object_get(p, "Alarm"));
        alarm = alarm || a;
        if (!json)
            printf("peer %-14s %-4s%s silent %.1f s%s offers out %" JSON_INTEGER_FORMAT
                   " in %" JSON_INTEGER_FORMAT " outcomes out %" JSON_INTEGER_FORMAT
                   " in %" JSON_INTEGER_FORMAT " %s\n",
                   json_string_value(json_object_get(p, "Site")),
                   json_is_true(json_object_get(p, "Up")) ? "up" : "down",
                   json_is_true(json_object_get(p, "Evicted")) ? " evicted" : "",
                   json_number_value(json_object_get(p, "SilentS")), a ? " ALARM" : "",
                   json_integer_value(json_object_get(p, "OffersOut")),
                   json_integer_value(json_object_get(p, "OffersIn")),
                   json_integer_value(json_object_get(p, "OutcomesOut")),
                   json_integer_value(json_object_get(p, "OutcomesIn")),
                   json_string_value(json_object_get(p, "Why")));
    }
    if (json)
        lmn_json_print(j, true);
    return alarm ? LMN_EXIT_FAILED : LMN_EXIT_OK;
}

static int job(int argc, char **argv)
{
    int rc = load("REF", "Shows where a job is, and how old that knowledge is.", 2, &argc,
                  &argv);

    if (rc)
        return rc;
    char *path = g_strdup_printf(WIRE_PATH_JOBS "/%s", argv[1]);
    json_t *j = ask("GET", path, argv[1], not_home, &rc);
    g_free(path);
    if (j)
        lmn_json_print(j, true);
    return rc;
}

static int unfence(int argc, char **argv)
{
    int rc = load(NULL,
                  "Says that nothing of the fenced jobs runs anywhere: they wait at home "
                  "again.",
                  1, &argc, &argv);
    json_t *j = rc ? NULL : ask("POST", "/gateway/unfence", o.listen, NULL, &rc);

    if (j)
        printf("%" JSON_INTEGER_FORMAT " jobs wait at home again\n",
               json_integer_value(json_object_get(j, "Jobs")));
    return rc;
}

/* POSTs VERB/WHAT. */
static json_t *order(const char *verb, const char *what, const char *unknown, int *rc)
{
    char *escaped = g_uri_escape_string(what, NULL, FALSE),
         *path = g_strdup_printf("/gateway/%s/%s", verb, escaped);
    json_t *j = ask("POST", path, what, unknown, rc);

    g_free(escaped);
    g_free(path);
    return j;
}

static int recall(int argc, char **argv)
{
    int rc = load("REF",
                  "Calls a job back. It comes home when the other site has stopped it, "
                  "and stays; its\ntasks that had ended run again.",
                  2, &argc, &argv);
    json_t *j = rc ? NULL : order("recall", argv[1], not_home, &rc);

    if (j)
        lmn_json_print(j, true);
    return rc;
}

static int evict(int argc, char **argv)
{
    int rc = load("SITE",
                  "Nothing goes to the site or comes from it any more; what is there is "
                  "called back.",
                  2, &argc, &argv);
    json_t *j = rc ? NULL : order("evict", argv[1], "not among the peers", &rc);

    if (j)
        printf("%" JSON_INTEGER_FORMAT " jobs called back; they are home when 'lemonspar "
               "gateway status' shows none offered or away\n",
               json_integer_value(json_object_get(j, "Jobs")));
    return rc;
}

static int admit(int argc, char **argv)
{
    int rc =
        load("SITE", "Takes a site that was evicted as a peer again.", 2, &argc, &argv);

    if (!rc)
        order("admit", argv[1], "not among the peers", &rc);
    return rc;
}

int lmn_cmd_gateway(int argc, char **argv)
{
    static const struct lmn_subcommand subs[] = {
        {"run", "--config FILE", "the gateway itself", run},
        {"status", "", "jobs by their course, and peers", status},
        {"peers", "", "the same", status},
        {"links", "", "the same", status},
        {"job", "REF", "where a job is", job},
        {"recall", "REF", "calls a job back from another site", recall},
        {"evict", "SITE", "no work to that site or from it; calls back what is there",
         evict},
        {"admit", "SITE", "the site is a peer again", admit},
        {"unfence", "", "after a restore: nothing of the fenced jobs runs", unfence},
        {0},
    };
    if (argc > 1 && argv[1][0] == '-')
        return strcmp(argv[1], "--help") ? run(argc, argv)
                                         : lmn_cli_sub(subs, argc, argv);
    return lmn_cli_sub(subs, argc, argv);
}
