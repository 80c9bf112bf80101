/* Machines that are agents on this host: each a process of its own, with a directory of
 * its own. */
#ifndef LMN_MACHINE_PROVIDER_LOCAL_AGENTS_H
#define LMN_MACHINE_PROVIDER_LOCAL_AGENTS_H

#include "worker/worker.h"

/* The settings that all agents of a host share. */
struct lmn_local_agent_options {
    struct lmn_worker_options
        worker;          /* name, zone, type, spot and dir are filled in for each */
    char directory[512]; /* machines' directories lie in it */
};

/* Reads what a fleet's or a slot's settings file says of its agents: depot, checkpoints,
 * report_s, lease_s, log_kb, address, controllers. */
void lmn_local_agent_options_read(struct lmn_config *config,
                                  struct lmn_local_agent_options *options);

/* Starts the machine's agent if none runs: writes its settings, spawns it. 0, or -1 with
 * err. */
int lmn_local_agent_start(const struct lmn_local_agent_options *options, const char *name,
                          const struct lmn_machine_type *type, const char *zone,
                          bool spot, char *err, size_t len);
/* Whether its agent runs, and its address ("" if it has not said). */
bool lmn_local_agent_is_up(const struct lmn_local_agent_options *options,
                           const char *name, char *addr);
/* Ends it, and everything on it; its directory goes. False if something lives on after
 * seconds. */
bool lmn_local_agent_end(const struct lmn_local_agent_options *options, const char *name,
                         double seconds);

/* How long to wait before an agent that ended is started again: doubles, reset by a good
 * while up. */
struct lmn_backoff {
    double wait_s;
    unsigned deaths; /* in a row */
    struct timespec started_at, next_start_at;
};
/* It has just been started. */
void lmn_backoff_started(struct lmn_backoff *backoff, struct timespec now);
/* It was found ended; true once it is time to start it. */
bool lmn_backoff_due(struct lmn_backoff *backoff, struct timespec now);

#endif
