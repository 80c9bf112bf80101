/* The program's commands. Each parses its own arguments by GLib's options and returns the
 * process's exit status: 0 done, 1 failed or refused, 2 wrong arguments; job watch says
 * more (cli/job.c). */
#ifndef LMN_CLI_H
#define LMN_CLI_H

#include <glib.h>
#include <stdbool.h>

enum { LMN_EXIT_OK = 0, LMN_EXIT_FAILED = 1, LMN_EXIT_USAGE = 2 };

int lmn_cli_main(int argc, char **argv);

/* A command's parts. argv[0] is the command's full name, as in "lemonspar state". */
int lmn_cmd_controller(int argc, char **argv);
int lmn_cmd_kv_store(int argc, char **argv);
int lmn_cmd_machine_provider(int argc, char **argv);
int lmn_cmd_worker(int argc, char **argv);
int lmn_cmd_site(int argc, char **argv);
int lmn_cmd_job(int argc, char **argv);
int lmn_cmd_image(int argc, char **argv);
int lmn_cmd_admin(int argc, char **argv);
int lmn_cmd_gateway(int argc, char **argv);
int lmn_cmd_key(int argc, char **argv);
int lmn_cmd_completion(int argc, char **argv);

/* --- for the commands --- */

/* Parses options; what is left stands in argv[1..*argc-1]. On failure says why and
 * returns 2, after
 * --help 0 is never returned to: it prints and exits. summary: one line; more: may be
 * NULL. strict: options end at the first argument that is none (for commands that carry
 * others). */
int lmn_cli_parse(const GOptionEntry *entries, const char *args, const char *summary,
                  const char *more, bool strict, int *argc, char ***argv);
/* Says "lemonspar: ..." on standard error and returns the status. */
int lmn_cli_fail(int status, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/* Picks a subcommand: runs the one that argv[1] names, or says which there are. */
struct lmn_subcommand {
    const char *name, *args, *what;
    int (*run)(int argc, char **argv);
};
int lmn_cli_sub(const struct lmn_subcommand *subs, int argc, char **argv);

#endif
