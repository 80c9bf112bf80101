/* An emulated fleet in one process: the cloud and thousands of workers that really speak
 * to a site's controllers, over sockets of their own. */
#ifndef LMN_EMULATOR_EMULATOR_H
#define LMN_EMULATOR_EMULATOR_H

#include "worker/worker.h"
#include "emulator/cloud.h"

struct lmn_config;
struct lmn_emulation;

struct lmn_emulation_options {
    const struct lmn_inventory *inventory;
    struct lmn_worker_options
        worker; /* listen (its address), depot, report_s, lease_s, controllers */
    uint32_t seed;
    /* troubles at set times after the start */
    GArray *script; /* struct lmn_emu_fault */
    struct lmn_emulator_faults knobs;
};

struct lmn_emu_fault {
    double at, value, lasts; /* seconds; lasts 0: until it is set otherwise */
    char name[32];
};

/* Reads [emulate] (knobs by name, seed) and [[troubles]] (at, set, value, for). */
void lmn_emulation_read(struct lmn_config *config, struct lmn_emulation_options *options);
/* Starts it (threads); never freed. NULL with err. */
struct lmn_emulation *lmn_emulation_start(const struct lmn_emulation_options *options,
                                          char *err, size_t len);
/* Also answers GET /troubles, the knobs, and POST /troubles {"Set", "Value", "For"}. arg:
 * struct lmn_emulation. */
extern const struct lmn_machine_provider_ops lmn_emulation_ops;

#endif
