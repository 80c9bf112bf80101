/**
 * @file
 * A whole site on one host: the operator's file that describes it (config.c), the
 * settings files of its processes (process_settings.c) and their supervision
 * (supervise.c). What the processes do is not known here.
 *
 * The caller owns the site. Only one thread of a process uses it; what several processes
 * share is in the directory data/run, where each process has a lock file.
 */
#ifndef LMN_SITE_H
#define LMN_SITE_H

#include "config/settings.h"

#include <glib.h>
#include <stdbool.h>

/** Key-value store, machine provider and the controllers. */
enum { LMN_SITE_PROCESSES = LMN_MAX_MEMBERS + 2 };

/** A process of the site. */
struct lmn_site_process {
    char name[LMN_NAME_SIZE];     /**< "state", "fleet", "controller-0", ... */
    char *argv[6];                /**< its arguments, without the program's path */
    char ready[LMN_ADDRESS_SIZE]; /**< GET /ready there returns 200 once it serves */
};

/** The content of a site's file, and what follows from it. */
struct lmn_site {
    char file[512]; /**< path of the site's file, as given */
    char name[LMN_NAME_SIZE];
    char data[512];                 /**< absolute path of the data directory */
    char address[LMN_ADDRESS_SIZE]; /**< IPv4 address of all processes */
    char inventory[512];            /**< absolute path of the inventory file */
    char zone[LMN_NAME_SIZE];       /**< of the controllers */
    char log_level[16], log_format[16];
    char backend[16]; /**< of the machine provider: "static" or "emulated" */
    GString *emulate; /**< the emulator's settings as TOML, for the machine provider */
    int base_port;    /**< the processes' ports are at fixed distances from it */
    unsigned controllers;   /**< how many */
    struct lmn_team *teams; /**< kept for as long as the process runs */
    size_t team_count;
    GString *objectives; /**< service-level objectives as TOML, for the controllers */
    double state_rps, state_write_rps, value_kb; /**< limits of the key-value store */
    double cloud_rps, list_lag_s;                /**< limits of the machine provider */
    int txn_ops; /**< most operations of a transaction of the key-value store */
    double report_s, lease_s, cancel_s, log_kb; /**< of the workers */
    double cores, memory_mb;                    /**< of one controller */
    int max_connections;                        /**< of one controller */
    char state[LMN_ADDRESS_SIZE];               /**< the key-value store's address */
    char cloud[LMN_ADDRESS_SIZE];               /**< the machine provider's address */
    char depot[LMN_ADDRESS_SIZE];               /**< the image store's address */
    /** By controller: its address for users and workers. */
    char users[LMN_MAX_MEMBERS + 1][LMN_ADDRESS_SIZE];
    /** By controller: its address for the other controllers. */
    char peers[LMN_MAX_MEMBERS + 1][LMN_ADDRESS_SIZE];
    struct lmn_site_process
        processes[LMN_SITE_PROCESSES]; /**< in the order of starting */
    unsigned process_count;
};

/**
 * Reads and checks a site's file and the inventory that it names.
 * @param site  overwritten; never released.
 * @param err   receives "file: line N: field: what" on failure.
 * @return 0 or -1
 */
int lmn_site_load(const char *path, struct lmn_site *site, char *err, size_t len);

/** Writes the settings files of all processes into data/run, which is created if needed.
 * @return 0, or -1 with the reason in `err` */
int lmn_site_write(const struct lmn_site *site, char *err, size_t len);

/** The path of a file of a process: data/run/NAMESUFFIX. The caller frees it by g_free().
 */
char *lmn_site_path(const struct lmn_site *site, const char *name, const char *suffix);

/* --- supervision (site/supervise.c) --- */

/**
 * Starts the processes and starts them again whenever they end, until SIGTERM or SIGINT;
 * then ends them and the machines. Processes that an earlier supervisor has started and
 * that still run are adopted, not started a second time.
 * @return an exit status; 1 also if another supervisor runs.
 */
int lmn_site_run(struct lmn_site *site);

/** Ends whatever runs of the site: its supervisor, processes and machines.
 * @return false if something still runs */
bool lmn_site_end(const struct lmn_site *site);

/** Whether the process runs now. @param pid receives its number, 0 if it doesn't run */
bool lmn_site_up(const struct lmn_site *site, const char *name, int *pid);

#endif
