/* The agent of a real machine: the state machine of worker/agent.h over processes, images
 * and the network. */
#ifndef LMN_WORKER_WORKER_H
#define LMN_WORKER_WORKER_H

#include "job/job_spec.h"
#include "config/settings.h"

#include <stdbool.h>

enum { LMN_MAX_CONTROLLERS = LMN_MAX_MEMBERS + 1 };

struct lmn_worker_options {
    char name[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    char listen[LMN_ADDRESS_SIZE]; /* "IPv4:port", port 0: one that is free */
    char image_store[LMN_ADDRESS_SIZE];
    struct lmn_machine_type type;
    bool is_spot;
    char directory[512]; /* the machine's own files */
    char
        checkpoints[512]; /* shared by all machines: a directory for each task below it */
    double heartbeat_s, lease_s;
    double log_kb; /* kept of each of an attempt's two streams */
    struct {
        char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    } controllers[LMN_MAX_CONTROLLERS];
    unsigned controller_count;
};

struct lmn_config;
/* Reads [[controllers]]: name and address, 1 to LMN_MAX_CONTROLLERS of them. */
void lmn_worker_controllers(struct lmn_config *config,
                            struct lmn_worker_options *options);
/* Reads a worker's settings file; -1 with err. */
int lmn_worker_load(const char *path, struct lmn_worker_options *options, char *err,
                    size_t len);
/* Runs until the process ends; returns only if it can't start, with err. */
int lmn_worker_run(const struct lmn_worker_options *options, char *err, size_t len);

#endif
