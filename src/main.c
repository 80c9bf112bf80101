#include "base/settings.h"
#include "serve/admin.h"
#include "serve/service.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static int usage(const char *what)
{
    if (what)
        fprintf(stderr, "lemonspar: %s\n", what);
    fprintf(
        stderr,
        "usage: lemonspar --config FILE\n"
        "       lemonspar --check FILE\n"
        "       lemonspar admin ADDRESS status | get | set NAME VALUE | drain MACHINE\n"
        "       lemonspar --help | --version\n");
    return 2;
}

static int load(const char *path, struct lmn_settings *s)
{
    char err[512];

    if (lmn_settings_load(path, s, err, sizeof err) == 0)
        return 0;
    fprintf(stderr, "lemonspar: %s\n", err);
    return 1;
}

int main(int argc, char **argv)
{
    static struct lmn_settings settings;
    char *config = NULL, *check = NULL;
    gboolean version = FALSE;
    GError *error = NULL;

    if (argc >= 2 && !strcmp(argv[1], "admin")) {
        if (argc < 4)
            return usage("admin: an address and a command are needed");
        return lmn_admin_main(argv[2], argc - 3, argv + 3);
    }
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
         "Run with the settings in FILE", "FILE"},
        {"check", 0, 0, G_OPTION_ARG_FILENAME, &check, "Check the settings in FILE",
         "FILE"},
        {"version", 0, 0, G_OPTION_ARG_NONE, &version, "Show the version", NULL},
        G_OPTION_ENTRY_NULL,
    };
    GOptionContext *ctx =
        g_option_context_new("- a scheduler for clusters of rented machines");
    g_option_context_add_main_entries(ctx, entries, NULL);
    g_option_context_set_description(ctx,
                                     "Administration: lemonspar admin ADDRESS status | "
                                     "get | set NAME VALUE | drain MACHINE\n"
                                     "ADDRESS is the internal_addr of a controller.\n");
    if (!g_option_context_parse(ctx, &argc, &argv, &error))
        return usage(error->message);
    g_option_context_free(ctx);
    if (argc > 1)
        return usage("an argument too many");
    if (version) {
        printf("lemonspar " LMN_VERSION "\n");
        return 0;
    }
    if (check) {
        if (load(check, &settings) != 0)
            return 1;
        printf("%s: good\n", check);
        return 0;
    }
    if (!config)
        return usage("--config is missing");
    if (load(config, &settings) != 0)
        return 1;
    return lmn_service_run(&settings);
}
