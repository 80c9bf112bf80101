/* lemonspar controller, and lemonspar admin. */
#include "cli/cli.h"
#include "config/settings.h"
#include "controller/admin_client.h"
#include "controller/controller.h"

#include <stdio.h>

int lmn_cmd_controller(int argc, char **argv)
{
    static struct lmn_settings settings;
    char *config = NULL, *check = NULL, err[512];
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
         "Run with the settings in FILE", "FILE"},
        {"check", 0, 0, G_OPTION_ARG_FILENAME, &check, "Only check the settings in FILE",
         "FILE"},
        G_OPTION_ENTRY_NULL,
    };
    int rc = lmn_cli_parse(entries, NULL,
                           "Runs one controller. LOG_LEVEL: error, info, debug.", NULL,
                           false, &argc, &argv);

    if (rc)
        return rc;
    if (argc > 1)
        return lmn_cli_fail(LMN_EXIT_USAGE, "%s: an argument too many", argv[1]);
    if (!config && !check)
        return lmn_cli_fail(LMN_EXIT_USAGE, "--config is missing");
    if (lmn_settings_load(check ? check : config, &settings, err, sizeof err) != 0)
        return lmn_cli_fail(LMN_EXIT_FAILED, "%s", err);
    if (!check)
        return lmn_controller_run(&settings);
    if (lmn_settings_warning(&settings, err, sizeof err))
        fprintf(stderr, "%s: warning: %s\n", check, err);
    printf("%s: good\n", check);
    return LMN_EXIT_OK;
}

int lmn_cmd_admin(int argc, char **argv)
{
    int rc = lmn_cli_parse(
        NULL,
        "ADDRESS status | members [--json] | get | set NAME VALUE | drain MACHINE | "
        "balance | leave | join",
        "Administers a controller. ADDRESS: its internal_addr.", NULL, true, &argc,
        &argv);

    if (rc)
        return rc;
    if (argc < 3)
        return lmn_cli_fail(LMN_EXIT_USAGE, "admin: an address and a command are needed");
    return lmn_admin_main(argv[1], argc - 2, argv + 2);
}
