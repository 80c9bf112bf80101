#include "cli/cli.h"
#include "util/process.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct lmn_subcommand commands[] = {
    {"site", "up|down|status|check", "a whole site on this machine", lmn_cmd_site},
    {"job", "submit|show|list|watch|cancel|logs", "work", lmn_cmd_job},
    {"image", "put|list", "directories that tasks are given", lmn_cmd_image},
    {"controller", "--config FILE", "a controller", lmn_cmd_controller},
    {"state", "--data DIR | backup|restore|check|dump", "the state service",
     lmn_cmd_kv_store},
    {"fleet", "--config FILE", "machines, and the depot", lmn_cmd_machine_provider},
    {"worker", "--config FILE", "the agent of one machine", lmn_cmd_worker},
    {"admin", "ADDRESS status|members|get|set|drain|balance|leave|join",
     "a controller's administration", lmn_cmd_admin},
    {"gateway", "--config FILE | status|job|recall|evict|...", "work across sites",
     lmn_cmd_gateway},
    {"key", "init|issue|renew|revoke|show", "keys of a site's gateway", lmn_cmd_key},
    {"completion", "bash", "a completion script for a shell", lmn_cmd_completion},
    {0},
};

int lmn_cli_fail(int status, const char *fmt, ...)
{
    va_list ap;

    fputs("lemonspar: ", stderr);
    va_start(ap, fmt);
    vfprintf(stderr, fmt, ap);
    va_end(ap);
    fputc('\n', stderr);
    return status;
}

int lmn_cli_parse(const GOptionEntry *entries, const char *args, const char *summary,
                  const char *more, bool strict, int *argc, char ***argv)
{
    static const GOptionEntry none[] = {G_OPTION_ENTRY_NULL};
    GOptionContext *ctx = g_option_context_new(args);
    GError *error = NULL;

    g_set_prgname((*argv)[0]);
    g_option_context_set_summary(ctx, summary);
    if (more)
        g_option_context_set_description(ctx, more);
    g_option_context_add_main_entries(ctx, entries ? entries : none, NULL);
    g_option_context_set_strict_posix(ctx, strict);
    bool ok = g_option_context_parse(ctx, argc, argv, &error);
    if (!ok)
        fprintf(stderr, "lemonspar: %s; '%s --help' tells more\n", error->message,
                (*argv)[0]);
    g_clear_error(&error);
    g_option_context_free(ctx);
    if (ok && *argc > 1 && !strcmp((*argv)[1], "--")) {
        memmove(*argv + 1, *argv + 2, sizeof **argv * (size_t)(*argc - 1));
        (*argc)--;
    }
    return ok ? 0 : LMN_EXIT_USAGE;
}

static void list_subs(FILE *to, const char *of, const struct lmn_subcommand *subs)
{
    fprintf(to, "Usage: %s COMMAND ...\n\nCommands:\n", of);
    for (const struct lmn_subcommand *s = subs; s->name; s++)
        fprintf(to, "  %-11s %-42s %s\n", s->name, s->args, s->what);
    fprintf(
        to,
        "\n'%s COMMAND --help' tells more. Exit status: 0 done, 1 failed or refused,\n"
        "2 wrong arguments.\n",
        of);
}

int lmn_cli_sub(const struct lmn_subcommand *subs, int argc, char **argv)
{
    if (argc > 1 && (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
        list_subs(stdout, argv[0], subs);
        return LMN_EXIT_OK;
    }
    for (const struct lmn_subcommand *s = subs; argc > 1 && s->name; s++) {
        if (strcmp(argv[1], s->name))
            continue;
        char *name = g_strdup_printf("%s %s", argv[0], s->name);
        argv[1] = name;
        return s->run(argc - 1, argv + 1);
    }
    if (argc > 1)
        fprintf(stderr, "lemonspar: %s: no such command\n\n", argv[1]);
    list_subs(stderr, argv[0], subs);
    return LMN_EXIT_USAGE;
}

int lmn_cmd_completion(int argc, char **argv)
{
    int rc = lmn_cli_parse(NULL, "bash",
                           "Prints a completion script: "
                           "source <(lemonspar completion bash)",
                           NULL, false, &argc, &argv);
    if (rc)
        return rc;
    if (argc != 2 || strcmp(argv[1], "bash"))
        return lmn_cli_fail(LMN_EXIT_USAGE, "completion: expected 'bash'");
    printf("_lemonspar() {\n    local words=\"");
    for (const struct lmn_subcommand *s = commands; s->name; s++)
        printf("%s ", s->name);
    printf(
        "\"\n    if [ \"$COMP_CWORD\" -ge 2 ]; then\n        case \"${COMP_WORDS[1]}\" "
        "in\n"
        "        site) words=\"up down status check --config\" ;;\n"
        "        job) words=\"submit show list watch cancel logs --team --tasks --cpus "
        "--json\" ;;\n"
        "        state) words=\"backup restore check dump --data --listen --config\" ;;\n"
        "        image) words=\"put list\" ;;\n"
        "        admin) words=\"status members get set drain balance leave join\" ;;\n"
        "        *) words=\"--config --help\" ;;\n        esac\n    fi\n"
        "    mapfile -t COMPREPLY < <(compgen -W \"$words\" -- "
        "\"${COMP_WORDS[COMP_CWORD]}\")\n"
        "    [ ${#COMPREPLY[@]} -gt 0 ] || mapfile -t COMPREPLY < <(compgen -f -- "
        "\"${COMP_WORDS[COMP_CWORD]}\")\n}\ncomplete -F _lemonspar lemonspar\n");
    return LMN_EXIT_OK;
}

int lmn_cli_main(int argc, char **argv)
{
    lmn_lock_set_close_on_exec();
    /* The platform's way to start a controller: options and no command. */
    if (argc >= 2 && argv[1][0] == '-') {
        if (!strcmp(argv[1], "--version")) {
            printf("lemonspar " LMN_VERSION "\n");
            return LMN_EXIT_OK;
        }
        if (strcmp(argv[1], "--help") && strcmp(argv[1], "-h"))
            return lmn_cmd_controller(argc, argv);
    }
    argv[0] = (char *)"lemonspar";
    return lmn_cli_sub(commands, argc, argv);
}
