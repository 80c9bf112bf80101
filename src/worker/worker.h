/** @file
 * The agent of a real machine: the state machine of worker/agent.h over processes, images
 * and the network. One process a machine, beside its task executor (worker/executor.h).
 */
#ifndef LMN_WORKER_WORKER_H
#define LMN_WORKER_WORKER_H

#include "job/job_spec.h"
#include "config/settings.h"

#include <stdbool.h>

/** Controllers of a cluster at most: a node, and the members that it knows. */
enum { LMN_MAX_CONTROLLERS = LMN_MAX_MEMBERS + 1 };

/** Settings of a worker. */
struct lmn_worker_options {
    char name[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    char listen[LMN_ADDRESS_SIZE]; /**< "IPv4:port"; port 0: one that is free */
    char image_store[LMN_ADDRESS_SIZE];
    struct lmn_machine_type type;
    bool is_spot;
    char directory[512]; /**< the machine's own files */
    /** Shared by all machines: a directory for each task below it. Empty: there is none.
     */
    char checkpoints[512];
    double heartbeat_s, lease_s;
    double log_kb; /**< KiB that are kept of each of an attempt's two streams */
    struct {
        char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    } controllers[LMN_MAX_CONTROLLERS];
    unsigned controller_count;
};

struct lmn_config;

/** Reads the tables [[controllers]], with name and address: 1 to LMN_MAX_CONTROLLERS.
 * Errors are the config's (lmn_config_fail()). */
void lmn_worker_read_controllers(struct lmn_config *config,
                                 struct lmn_worker_options *options);

/** Reads a worker's settings file. @return 0, or -1 with err */
int lmn_worker_load_settings(const char *path, struct lmn_worker_options *options,
                             char *err, size_t len);

/** Runs the agent until the process ends.
 * @param options must stay valid
 * @return only if it can't start: -1 with err */
int lmn_worker_run(const struct lmn_worker_options *options, char *err, size_t len);

#endif
