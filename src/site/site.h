/* A whole site on one host: its description, and the settings of each of its processes.
 */
#ifndef LMN_SITE_H
#define LMN_SITE_H

#include "config/settings.h"

#include <glib.h>
#include <stdbool.h>

enum { LMN_SITE_PROCESSES = LMN_MAX_MEMBERS + 2 };

/* A process of the site, in the order of starting. */
struct lmn_site_process {
    char name[LMN_NAME_SIZE];     /* "state", "fleet", "controller-0" */
    char *argv[6];                /* without the program */
    char ready[LMN_ADDRESS_SIZE]; /* GET /ready there answers 200 once it serves */
};

struct lmn_site {
    char file[512], name[LMN_NAME_SIZE], data[512], address[LMN_ADDRESS_SIZE],
        inventory[512], zone[LMN_NAME_SIZE];
    char log_level[16], log_format[16], backend[16];
    GString *emulate; /* of an emulated fleet, as TOML, passed on */
    int base_port;
    unsigned controllers;
    struct lmn_team *teams; /* kept for as long as the process runs */
    size_t nteams;
    GString *objectives; /* as TOML, passed on */
    double state_rps, state_write_rps, value_kb, cloud_rps, list_lag_s;
    int txn_ops;
    double report_s, lease_s, cancel_s, log_kb;
    double cores, memory_mb;
    int max_connections;
    char state[LMN_ADDRESS_SIZE], cloud[LMN_ADDRESS_SIZE], depot[LMN_ADDRESS_SIZE];
    char users[LMN_MAX_MEMBERS + 1][LMN_ADDRESS_SIZE],
        peers[LMN_MAX_MEMBERS + 1][LMN_ADDRESS_SIZE];
    struct lmn_site_process processes[LMN_SITE_PROCESSES];
    unsigned nprocesses;
};

/* Reads and checks the file, and the inventory that it names; -1 with "file: line N:
 * field: what". */
int lmn_site_load(const char *path, struct lmn_site *site, char *err, size_t len);
/* Writes the settings of all processes under data/run. -1 with err. */
int lmn_site_write(const struct lmn_site *site, char *err, size_t len);
/* data/run/NAME.suffix. g_free. */
char *lmn_site_path(const struct lmn_site *site, const char *name, const char *suffix);

/* --- supervision (site/supervise.c) --- */

/* Starts and watches the processes until SIGTERM; then ends them, and the machines.
 * Returns an exit status. Processes of an earlier supervisor are taken up, not doubled.
 */
int lmn_site_run(struct lmn_site *site);
/* Ends whatever runs of the site: its supervisor, processes, machines. False if something
 * lives on. */
bool lmn_site_end(const struct lmn_site *site);
/* Whether the process runs now, under what number. */
bool lmn_site_up(const struct lmn_site *site, const char *name, int *pid);

#endif
