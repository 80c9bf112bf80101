/* One controller that owns the only partition, beside machines that run the product's
 * agent. Heartbeats, their replies and pushes are exchanged without delay; any of them
 * can be lost, and calls that were answered can be delivered again. Simulated time. */
#ifndef LMN_TESTS_OWNER_FIXTURE_H
#define LMN_TESTS_OWNER_FIXTURE_H

#include "emulator/worker.h"
#include "state/core_state.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

enum { FIXTURE_MAX_JOBS = 64, FIXTURE_MAX_MACHINES = 3 };
/* Epoch of the controller before the first. */
enum { FIXTURE_EPOCH = 7 };
/* Of fixture_step. */
static const double FIXTURE_STEP_S = 0.5;
static const double FIXTURE_LEASE_S = 44;
static const double FIXTURE_CANCEL_S = 64;

/* A call to a worker that was answered. */
struct answered_call {
    int machine;
    GByteArray *body;
};

struct owner_fixture {
    struct lmn_team team;
    struct lmn_settings settings;
    struct lmn_core *core;
    struct lmn_job jobs[FIXTURE_MAX_JOBS];
    struct timespec cancelled_at[FIXTURE_MAX_JOBS]; /* 0: not cancelled */
    /* Results that are recorded in the key-value store. */
    uint8_t recorded[FIXTURE_MAX_JOBS][LMN_MAX_TASKS / 8];
    int job_count;
    struct lmn_emulator_faults no_faults;
    struct lmn_emu_worker workers[FIXTURE_MAX_MACHINES];
    int machine_count;
    GRand *random;
    struct timespec now;
    uint64_t epoch;
    GPtrArray *answered_calls; /* struct answered_call, the oldest first */
};
extern struct owner_fixture fixture;

/* Begins anew, with a controller that knows no machine. */
void fixture_set_up(int machines, uint32_t seed);
/* A new controller, which knows the jobs and owns the partition under the next epoch. */
void fixture_restart_controller(void);
/* Adds a job whose id is as long as ids may be, and queues its tasks. */
struct lmn_job *fixture_add_job(uint32_t tasks, double cpus, double estimate_s);
/* The same for a job of which only team, priority and kind are given otherwise. */
struct lmn_job *fixture_add_prepared_job(struct lmn_job_spec spec);
/* The owner's view of the machine; NULL: it has not reported yet. */
struct lmn_machine *fixture_machine(int index);
int fixture_machine_index(const char *name);
/* Asserts that the message is within the limit, and the agent's list of attempts, too. */
void fixture_check_size(int machine, const GByteArray *message);
/* Answers the agents that asked for the description of a job. */
void fixture_describe_runs(void);
/* The machine sends a heartbeat. The reply is lost by chance. */
void fixture_exchange_heartbeat(int machine, double loss);
/* The controller pushes what it has. The answer to a push is lost by chance if it has few
 * starts. */
void fixture_exchange_pushes(double loss);
/* Records in the store which tasks are done. */
void fixture_record_done_tasks(void);
/* Time passes on the machines. */
void fixture_pass(double seconds);
/* Time passes, and every machine exchanges a heartbeat and pushes with the controller. */
void fixture_step(double loss);
bool fixture_all_jobs_are_over(void);
/* Delivers all answered calls to their machines again. Returns how many attempts these
 * begin. */
unsigned fixture_deliver_copies(void);
/* Asserts that no task is on two machines, that the team is within its limit, and that no
 * task of a job that was cancelled more than cancel_s ago is on a machine. */
void fixture_check_rules(void);

#endif
