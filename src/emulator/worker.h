/* An emulated machine's worker: the agent's own state machine, with timers for what a
 * real one does with processes and images. No threads, no I/O, any clock; the caller
 * serializes. */
#ifndef LMN_EMULATOR_WORKER_H
#define LMN_EMULATOR_WORKER_H

#include "worker/agent.h"
#include "emulator/knobs.h"
#include "emulator/ledger.h"

struct lmn_emu_worker {
    struct lmn_agent agent;
    const struct lmn_emulator_faults *knobs;
    struct lmn_emu_ledger *ledger; /* the fleet's; NULL: none */
    GRand *rng;
    double speed; /* of this machine, 1: as its type */
    bool faulty, hanging;
    GArray *timers;      /* of what goes on */
    GPtrArray *images;   /* interned names, the least recently used first */
    GHashTable *results; /* "ref/index" */
    /* runs whose jobs have to be described, for the caller to take; it answers by
     * lmn_emu_worker_described */
    GArray *asking;    /* uint64_t */
    GHashTable *specs; /* ref -> struct lmn_emu_spec */
    uint64_t done, failed, image_fetches;
};

/* What is remembered of a job: its tasks' run time, as the owner estimates it. */
struct lmn_emu_spec {
    double estimate_s, image_gb;
    bool service;
};

void lmn_emu_worker_init(struct lmn_emu_worker *worker,
                         const struct lmn_emulator_faults *k, uint32_t seed,
                         double lease_s, struct timespec now);
void lmn_emu_worker_clear(struct lmn_emu_worker *worker);
/* The job of a run that asked; spec NULL: there is none. */
void lmn_emu_worker_described(struct lmn_emu_worker *worker, uint64_t id,
                              const struct lmn_job_spec *spec, struct timespec now);
/* Does what is due by now: ends, fetches, the lease. Not while it hangs. */
void lmn_emu_worker_pass(struct lmn_emu_worker *worker, struct timespec now);

#endif
