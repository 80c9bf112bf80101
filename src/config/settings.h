/* The settings that the platform hands over, read once at the start and never changed. */
#ifndef LMN_CONFIG_SETTINGS_H
#define LMN_CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

enum {
    LMN_NAME_SIZE = 64,
    LMN_ADDRESS_SIZE = 64,
    LMN_MAX_MEMBERS = 32, /* others than the node itself */
    LMN_MAX_PARTITIONS = LMN_MAX_MEMBERS + 1,
    /* Refuses files that can't be meant. Nothing is set aside for it: what is kept by
     * team is allocated by the number of teams there are. */
    LMN_MAX_TEAMS = 4096,
    LMN_MAX_OBJECTIVES = 64
};

struct lmn_member {
    char name[LMN_NAME_SIZE], zone[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
};

/* An amount of 0 means that there is no such guarantee or no such limit. */
struct lmn_team {
    char name[LMN_NAME_SIZE];
    double cpus, cpus_max, gpus, gpus_max;
};

/* What is expected of a class of jobs: tasks started (wait) or the job done (finished)
 * within a time, or the job done within so many times its deadline. */
enum lmn_objective_kind {
    LMN_OBJECTIVE_START,
    LMN_OBJECTIVE_FINISH,
    LMN_OBJECTIVE_DEADLINE,
    LMN_OBJECTIVE_GUARANTEE
};
struct lmn_objective {
    enum lmn_objective_kind kind;
    char class_name[LMN_NAME_SIZE];
    double within_s, times, share;
};

struct lmn_settings {
    char node_name[LMN_NAME_SIZE], zone[LMN_NAME_SIZE], client_listen[LMN_ADDRESS_SIZE],
        internal_address[LMN_ADDRESS_SIZE];
    char cloud_address[LMN_ADDRESS_SIZE], state_address[LMN_ADDRESS_SIZE];
    struct lmn_member members[LMN_MAX_MEMBERS];
    size_t member_count;
    struct lmn_team *teams; /* lmn_settings_free */
    size_t team_count;
    struct lmn_objective objectives[LMN_MAX_OBJECTIVES];
    size_t objective_count;
    int partition_count; /* initial_size */
    double heartbeat_s, lease_s, cancel_s;
    double state_requests_per_s, state_writes_per_s, max_value_kb;
    int max_txn_operations;
    double cloud_requests_per_s, list_lag_s;
    double cores, memory_mb;
    int max_connections;
};

#ifdef __cplusplus
extern "C" {
#endif
/* Fills *s from the file. On failure returns -1, puts "file: field: what" in err, and
 * leaves nothing to be freed. */
int lmn_settings_load(const char *path, struct lmn_settings *settings, char *err,
                      size_t errlen);
int lmn_settings_parse(const char *text, const char *name, struct lmn_settings *settings,
                       char *err, size_t errlen);
void lmn_settings_free(struct lmn_settings *settings);

/* How old a node's view may be, in seconds, for it to answer workers: what cancel_s
 * leaves beside a lease and a margin for the clocks' drift and the last kill. Not above
 * 0: no view ever is young enough. */
double lmn_settings_max_cache_age_s(const struct lmn_settings *settings);
/* Puts into text what follows from settings that can be kept, but not well; false: there
 * is nothing to say. */
bool lmn_settings_warning(const struct lmn_settings *settings, char *text, size_t len);

/* How many connections to workers a node keeps open for its own calls. */
static inline unsigned
lmn_settings_worker_connections(const struct lmn_settings *settings)
{
    return (unsigned)settings->max_connections / 5;
}

const struct lmn_team *lmn_settings_team(const struct lmn_settings *settings,
                                         const char *name);
/* The node's place among all members by name: who prefers which partition. */
int lmn_settings_member_index(const struct lmn_settings *settings, const char *node);
/* Splits "10.0.0.1:8080"; 0 if it is an IPv4 address with a port. */
int lmn_address_split(const char *addr, char *host, size_t len, int *port);

#ifdef __cplusplus
}
#endif

#endif
