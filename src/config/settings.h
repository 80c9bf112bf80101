/**
 * @file
 * The settings that the platform hands to a controller in a TOML file: read once at the
 * start and never changed afterwards, so that all threads may read them without a lock.
 * The platform defines the names in the file; the comment of each field says which name
 * it is read from. Settings that operators change at run time are in
 * config/operator_settings.h.
 */
#ifndef LMN_CONFIG_SETTINGS_H
#define LMN_CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

enum {
    LMN_NAME_SIZE = 64,    /**< bytes of a name with its closing zero byte */
    LMN_ADDRESS_SIZE = 64, /**< bytes of "IPv4:port" with its closing zero byte */
    LMN_MAX_MEMBERS = 32,  /**< controllers other than the node itself */
    LMN_MAX_PARTITIONS = LMN_MAX_MEMBERS + 1,
    /** Files with more teams are refused as erroneous. Memory is allocated for the teams
     * in the file, not for this number. */
    LMN_MAX_TEAMS = 4096,
    LMN_MAX_OBJECTIVES = 64 /**< further ones are ignored */
};

/** Another controller of the group: an entry of `members`. */
struct lmn_member {
    char name[LMN_NAME_SIZE];       /**< host_name */
    char zone[LMN_NAME_SIZE];       /**< area; "": not known */
    char address[LMN_ADDRESS_SIZE]; /**< address: "IPv4:port" for calls between
                                       controllers */
};

/** Quota of a team (params.teams). An amount of 0 means that there is no such guarantee
 * or no such limit. */
struct lmn_team {
    char name[LMN_NAME_SIZE]; /**< name */
    double cpus;              /**< cpus: guaranteed processors */
    double cpus_max;          /**< cpus_max: limit of processors */
    double gpus;              /**< gpus: guaranteed GPUs */
    double gpus_max;          /**< gpus_max: limit of GPUs */
};

/** What an objective requires of a class of jobs. Each comment starts with the word that
 * the file has in `kind`. */
enum lmn_objective_kind {
    LMN_OBJECTIVE_START,    /**< wait: tasks start within a time */
    LMN_OBJECTIVE_FINISH,   /**< finished: the job is done within a time */
    LMN_OBJECTIVE_DEADLINE, /**< deadline: the job is done within a multiple of its
                               deadline */
    LMN_OBJECTIVE_GUARANTEE /**< guarantee: teams get their guaranteed quota */
};

/** A service-level objective (params.objectives). */
struct lmn_objective {
    enum lmn_objective_kind kind;   /**< kind; objectives of unknown kinds are ignored */
    char class_name[LMN_NAME_SIZE]; /**< class; "": all jobs */
    double within_s;                /**< within_s: the time, seconds */
    double times;                   /**< times: the multiple of the deadline */
    double share; /**< share: of the cases in which it must hold, 0 to 1 */
};

/** All settings. Filled by lmn_settings_load() or lmn_settings_parse(), released by
 * lmn_settings_free(). */
struct lmn_settings {
    char node_name[LMN_NAME_SIZE]; /**< host_name */
    char zone[LMN_NAME_SIZE];      /**< area */
    char
        client_listen[LMN_ADDRESS_SIZE]; /**< client_listen: address for users, workers */
    char
        internal_address[LMN_ADDRESS_SIZE]; /**< internal_addr: address for controllers */
    char cloud_address[LMN_ADDRESS_SIZE];   /**< outside.cloud */
    char state_address[LMN_ADDRESS_SIZE];   /**< outside.state: the key-value store */
    struct lmn_member members[LMN_MAX_MEMBERS]; /**< members, in the file's order */
    size_t member_count;
    struct lmn_team *teams; /**< params.teams; owned */
    size_t team_count;
    struct lmn_objective objectives[LMN_MAX_OBJECTIVES]; /**< params.objectives */
    size_t objective_count;
    int partition_count; /**< params.initial_size; default: the number of controllers */

    double heartbeat_s; /**< params.workers.report_s: interval of heartbeats, seconds */
    double lease_s;     /**< params.workers.lease_s: time without a
                             reply after which a worker stops its tasks, seconds */
    double cancel_s;    /**< params.workers.cancel_s: seconds in which the last task of a
                             cancelled job must have ended */

    double
        state_requests_per_s; /**< params.state.rps: budget of all controllers together */
    double state_writes_per_s; /**< params.state.write_rps: budget of changes, together */
    double max_value_kb;       /**< params.state.value_kb: size limit of a value, KiB */
    int max_txn_operations;    /**< params.state.txn_ops: operations in a transaction */

    double
        cloud_requests_per_s; /**< params.cloud.rps: budget of all controllers together */
    double list_lag_s;        /**< params.cloud.list_lag_s: maximum age of the
                                   cloud's lists of machines, seconds */

    double cores;        /**< params.resources.cores: processors for this process */
    double memory_mb;    /**< params.resources.memory_mb: memory for this process, MB */
    int max_connections; /**< params.resources.max_connections: sockets of this process */
};

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Reads a file.
 * @param settings  filled; its former content is overwritten, not freed.
 * @param err       on failure: receives "file: field: error", cut to `len` bytes with the
 * closing zero byte.
 * @return 0, or -1 after a failure, which leaves nothing to be freed.
 */
int lmn_settings_load(const char *path, struct lmn_settings *settings, char *err,
                      size_t len);

/** Like lmn_settings_load(), for text in memory. @param name written in place of the
 * file's path in errors. */
int lmn_settings_parse(const char *text, const char *name, struct lmn_settings *settings,
                       char *err, size_t len);

/** Frees the memory that the settings own, but not the structure. */
void lmn_settings_free(struct lmn_settings *settings);

/**
 * Maximum age of a controller's view of the key-value store at which it may answer
 * workers.
 *
 * An answer renews the worker's lease. A cancellation that the view doesn't show yet is
 * enforced at the latest when the lease expires. Therefore the age of the view plus
 * lease_s must stay below cancel_s, with a margin for the drift of clocks and for
 * killing the task.
 *
 * @return seconds; 0 or less: no view is fresh enough, and no worker is answered.
 */
double lmn_settings_max_cache_age_s(const struct lmn_settings *settings);

/** Writes a warning if the settings are valid but lmn_settings_max_cache_age_s() is 3 s
 * or less. @return false, with `text` untouched, if there is nothing to warn of. */
bool lmn_settings_warning(const struct lmn_settings *settings, char *text, size_t len);

/** @return the number of connections to workers that a controller keeps open for its own
 * calls. */
static inline unsigned
lmn_settings_worker_connections(const struct lmn_settings *settings)
{
    return (unsigned)settings->max_connections / 5;
}

/** @return the team of this name; NULL if there is none. */
const struct lmn_team *lmn_settings_find_team(const struct lmn_settings *settings,
                                              const char *name);

/** @return the index of a controller, from 0, in the list of all controllers sorted by
 * name. It decides which controller prefers which partition; every controller computes
 * the same index. */
int lmn_settings_member_index(const struct lmn_settings *settings, const char *node);

/** Splits "10.0.0.1:8080". @return 0, or -1 if it is no IPv4 address with a port from 1
 * to 65535, or the host doesn't fit into `len` bytes. */
int lmn_address_split(const char *address, char *host, size_t len, int *port);

#ifdef __cplusplus
}
#endif

#endif
