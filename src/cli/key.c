/* lemonspar key: a site's authority and its certificates. */
#include "cli/cli.h"
#include "protocol/json.h"
#include "gateway/keys.h"

#include <stdio.h>
#include <string.h>

static char *dir, *site;
static double days = 90;
static gboolean json;

static int parse(const char *args, const char *summary, int *argc, char ***argv)
{
    const GOptionEntry entries[] = {
        {"dir", 0, 0, G_OPTION_ARG_FILENAME, &dir, "Where the keys lie (deploy/keys)",
         "DIR"},
        {"site", 0, 0, G_OPTION_ARG_STRING, &site, "The site's name", "NAME"},
        {"days", 0, 0, G_OPTION_ARG_DOUBLE, &days, "How long the certificate holds (90)",
         "N"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &json, "JSON for programs", NULL},
        G_OPTION_ENTRY_NULL,
    };
    int rc = lmn_cli_parse(entries, args, summary, NULL, false, argc, argv);

    if (!dir)
        dir = g_strdup("deploy/keys");
    if (!rc && !(days > 0 && days <= 3650))
        rc = lmn_cli_fail(LMN_EXIT_USAGE, "--days: expected a number up to 3650");
    return rc;
}

static int print(void)
{
    struct lmn_keys_info i;
    char err[512];

    if (lmn_keys_show(dir, &i, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    if (json)
        lmn_json_print(json_pack("{s:s, s:s, s:s, s:s, s:s, s:f, s:i, s:b}", "site",
                                 i.site, "fingerprint", i.fingerprint, "serial", i.serial,
                                 "not_before", i.not_before, "not_after", i.not_after,
                                 "days_left", i.days_left, "revoked_certificates",
                                 (int)i.revoked, "revoked", i.is_revoked),
                       true);
    else
        printf("site         %s\nfingerprint  %s\nserial       %s%s\nvalid        %s to "
               "%s (%.1f days "
               "left)\nrevoked      %u certificates\n",
               i.site, i.fingerprint, i.serial, i.is_revoked ? " (revoked)" : "",
               i.not_before, i.not_after, i.days_left, i.revoked);
    return i.is_revoked || i.days_left <= 0 ? LMN_EXIT_FAILED : LMN_EXIT_OK;
}

static int init(int argc, char **argv)
{
    char err[512];
    int rc = parse(NULL, "Makes a site's authority and first certificate.", &argc, &argv);

    if (rc)
        return rc;
    if (!site)
        return lmn_cli_fail(LMN_EXIT_USAGE, "--site is missing");
    if (lmn_keys_init(dir, site, days, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    return print();
}

static int issue(int argc, char **argv)
{
    struct lmn_keys_info i;
    char err[512];
    int rc = parse(
        NULL,
        "Makes a new key and certificate in place of the current one, which stays "
        "valid\nuntil it is revoked or ends. Gateways take it up at their next reload.",
        &argc, &argv);

    if (rc)
        return rc;
    if (!site && lmn_keys_show(dir, &i, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    if (lmn_keys_issue(dir, site ? site : i.site, days, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    return print();
}

static int revoke_one(int argc, char **argv)
{
    char err[512];
    int rc = parse("[SERIAL]",
                   "Revokes a certificate: the current one, if no serial is given.",
                   &argc, &argv);

    if (rc)
        return rc;
    if (argc > 2)
        return lmn_cli_fail(LMN_EXIT_USAGE, "expected: key revoke [SERIAL]");
    if (lmn_keys_revoke(dir, argc == 2 ? argv[1] : NULL, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    print();
    return LMN_EXIT_OK;
}

static int show(int argc, char **argv)
{
    int rc = parse(NULL, "Shows the certificate; exit status 1 if it is revoked or over.",
                   &argc, &argv);
    return rc ? rc : print();
}

int lmn_cmd_key(int argc, char **argv)
{
    static const struct lmn_subcommand subs[] = {
        {"init", "--site NAME [--dir DIR]", "an authority and a certificate", init},
        {"issue", "", "a new key and certificate", issue},
        {"renew", "", "the same", issue},
        {"revoke", "[SERIAL]", "a certificate that must not be taken any more",
         revoke_one},
        {"show", "", "what there is", show},
        {0},
    };
    return lmn_cli_sub(subs, argc, argv);
}
