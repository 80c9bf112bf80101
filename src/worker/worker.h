/** @file
 * The agent of a real machine: runs the state machine of worker/agent.h with processes,
 * images and the network. There is one agent process for each machine, and one executor
 * (worker/executor.h). */
#ifndef LMN_WORKER_WORKER_H
#define LMN_WORKER_WORKER_H

#include "job/job_spec.h"
#include "config/settings.h"

#include <stdbool.h>

/** Maximum number of a cluster's controllers: one, and the members that it knows. */
enum { LMN_MAX_CONTROLLERS = LMN_MAX_MEMBERS + 1 };

/** The settings of a worker. */
struct lmn_worker_options {
    char name[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    char listen[LMN_ADDRESS_SIZE]; /**< "IPv4:port"; port 0 selects a free port */
    char image_store[LMN_ADDRESS_SIZE];
    struct lmn_machine_type type;
    bool is_spot;
    char directory[512]; /**< contains the files of this machine */
    /** Directory, shared by all machines, with a subdirectory for each task's checkpoint.
     * Empty if there is none. */
    char checkpoints[512];
    double heartbeat_s, lease_s;
    double log_kb; /**< KiB to keep of an attempt's standard output, and of its standard
                      error */
    struct {
        char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    } controllers[LMN_MAX_CONTROLLERS];
    unsigned controller_count;
};

struct lmn_config;

/** Reads the tables [[controllers]], each with name and address: 1 to
 * LMN_MAX_CONTROLLERS. Errors are recorded in `config` (lmn_config_fail()). */
void lmn_worker_read_controllers(struct lmn_config *config,
                                 struct lmn_worker_options *options);

/** Reads a worker's settings file. @return 0, or -1 with the reason in `err` */
int lmn_worker_load_settings(const char *path, struct lmn_worker_options *options,
                             char *err, size_t len);

/** Runs the agent until the process ends.
 * @param options must stay valid
 * @return -1 with the reason in `err` if the agent can't start; otherwise never */
int lmn_worker_run(const struct lmn_worker_options *options, char *err, size_t len);

#endif
