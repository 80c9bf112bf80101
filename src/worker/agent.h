/** @file
 * One machine's side of the workers' protocol, as a state machine: heartbeats,
 * incarnations, fencing tokens, leases, commands.
 *
 * The state machine has no threads and does no I/O. It requests work on processes and
 * images through its ops (struct lmn_agent_ops); the caller reports the outcome of each
 * op by the functions at the end of this file. The agent of a real machine
 * (worker/worker.h) and each emulated machine (emulator/worker.h) are built on it.
 *
 * Times are of the caller's clock, which must keep running while the machine is
 * suspended: otherwise a lease would seem to be valid after the controllers had let it
 * expire. The caller serializes all calls. Ops are called from within these calls, so an
 * op may queue work but must neither block nor call back. */
#ifndef LMN_WORKER_AGENT_H
#define LMN_WORKER_AGENT_H

#include "protocol/cbor.h"
#include "job/job_spec.h"
#include "config/settings.h"

#include <time.h>

struct lmn_agent;

/** The state of a run. A run ends in LMN_RUN_ENDED and stays listed there until a
 * controller's command clears it. */
enum lmn_task_run_state {
    LMN_RUN_DESCRIBING, /**< the job's description is requested; reported as fetching */
    LMN_RUN_FETCHING,   /**< the image is requested */
    LMN_RUN_RUNNING,
    LMN_RUN_SAVING, /**< told to save its progress and exit */
    LMN_RUN_ENDING, /**< killed; reported with its previous state until its processes are
                         gone */
    LMN_RUN_ENDED,
};

/** Why a run has ended. */
enum lmn_exit_reason {
    LMN_EXIT_DONE, /**< the task completed, and its result is recorded on this machine */
    LMN_EXIT_STOPPED,     /**< killed, or told to save and exit, by a command */
    LMN_EXIT_ERROR,       /**< the image could not be fetched, or the task failed */
    LMN_EXIT_NO_CAPACITY, /**< refused: not enough free CPUs, GPUs or memory */
    LMN_EXIT_BUSY,        /**< refused: another attempt at the task is on the machine */
    LMN_EXIT_NO_SUCH_JOB  /**< refused: there is no description of its job */
};

/** A run: one attempt at a task, on this machine. */
struct lmn_task_run {
    uint64_t id; /**< chosen by the agent; not reused until the agent restarts */
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t index; /**< of the task within its job */
    uint64_t attempt;
    enum lmn_task_run_state state;
    enum lmn_task_run_state reported_state; /**< the state before LMN_RUN_ENDING */
    enum lmn_exit_reason exit_reason;       /**< valid in LMN_RUN_ENDED */
    bool is_saved;                          /**< it ended with its progress saved */
    bool is_described; /**< the description has arrived; the fields up to `image` are
                          valid */
    double cpus, gpus, memory_gb, save_s;
    bool can_save;
    char *image;           /**< interned */
    struct timespec since; /**< the start of the current state; not updated for
                                LMN_RUN_SAVING and later states */
};

/** Operations that the agent requests from the machine it runs on. `arg` is the argument
 * of lmn_agent_init(). */
struct lmn_agent_ops {
    /** Requests the job's description; lmn_agent_described() reports the outcome. */
    void (*describe)(void *arg, struct lmn_task_run *run);
    /** Requests the run's image; lmn_agent_fetched() reports the outcome for all runs
     * that wait for this image. */
    void (*fetch)(void *arg, struct lmn_task_run *run);
    /** No run waits for the image any more. */
    void (*cancel_fetch)(void *arg, const char *image);
    /** Whether the task's result is recorded on this machine. */
    bool (*has_result)(void *arg, const char *job_id, uint32_t index);
    /** Starts the run's processes; lmn_agent_exited() reports their end. */
    void (*start)(void *arg, struct lmn_task_run *run);
    /** Tells the run to save its progress and exit, and kills it after grace_s seconds.
     * lmn_agent_exited() reports its end. */
    void (*save)(void *arg, struct lmn_task_run *run, double grace_s);
    /** Kills the run at once; lmn_agent_exited() reports its end. */
    void (*kill)(void *arg, struct lmn_task_run *run);
    /** The lease has expired: kills all runs. lmn_agent_incarnation_ended() reports that
     * no process is left. */
    void (*kill_all)(void *arg);
    /** The lease is valid until this time of the caller's clock. */
    void (*extend_lease)(void *arg, struct timespec until);
};

/** The state machine of one machine's agent. */
struct lmn_agent {
    /** The machine's properties; the caller sets them before lmn_agent_init(). */
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE], zone[LMN_NAME_SIZE];
    struct lmn_machine_type type;
    bool is_spot;
    double lease_s;

    const struct lmn_agent_ops *ops;
    void *arg;
    uint64_t incarnation, sequence, fencing_token, next_run_id;
    bool is_ending; /**< between two incarnations: no heartbeats, no commands */
    bool has_spot_notice;
    struct timespec
        reclaimed_at; /**< with has_spot_notice: when the cloud reclaims the machine */
    struct timespec lease_from; /**< when the heartbeat that renewed the lease was sent */
    /** When a higher fencing token last made a heartbeat due at once. */
    struct timespec fencing_token_reported_at;
    bool has_unreported_change; /**< not yet in a heartbeat; the next one is due early */
    GPtrArray *runs;            /**< struct lmn_task_run, owned */
    uint64_t starts, finished, refused, expired_leases;
    uint64_t dropped_starts; /**< not carried out, with LMN_MAX_MACHINE_ATTEMPTS runs */
};

/** Begins the agent's first incarnation, with a lease that starts now.
 * @param ops must outlive the agent
 * @param incarnation higher than every number that this machine has ever reported */
void lmn_agent_init(struct lmn_agent *agent, const struct lmn_agent_ops *ops, void *arg,
                    uint64_t incarnation, struct timespec now);

/** Frees what the agent owns, but not the agent itself. */
void lmn_agent_clear(struct lmn_agent *agent);

/** Appends a heartbeat, with the next sequence number, to `out`. Must not be called while
 * `is_ending`. */
void lmn_agent_write_heartbeat(struct lmn_agent *agent, GByteArray *out,
                               struct timespec now);

/** Handles the answer (status 200) to a heartbeat: renews the lease and executes the
 * commands.
 * @param incarnation,sent_at of the heartbeat; the lease is renewed from `sent_at`
 * @return false if the answer was dropped: it belongs to another incarnation, is
 *     malformed, or has a lower fencing token than an earlier one */
bool lmn_agent_heartbeat_answered(struct lmn_agent *agent, uint64_t incarnation,
                                  struct timespec sent_at, const void *body, size_t len,
                                  struct timespec now);

/** Handles a request with commands (POST WIRE_PATH_COMMANDS). Does not renew the lease.
 * @param out receives the response body, a heartbeat, with status 200 and 409
 * @return the HTTP status: 200 after the commands were executed; otherwise no command
 *     was executed: 503 between two incarnations, 400 if the request is malformed, 409 if
 *     its fencing token is too low or it is for another incarnation */
int lmn_agent_handle_commands(struct lmn_agent *agent, const void *body, size_t len,
                              GByteArray *out, struct timespec now);

/** Handles a request to show the machine (GET WIRE_PATH_SHOW).
 * @param out receives the response body, a heartbeat, with status 200
 * @return the HTTP status: 200, or 503 between two incarnations */
int lmn_agent_show(struct lmn_agent *agent, GByteArray *out, struct timespec now);

/** Ends the incarnation if its lease has expired. The caller calls it periodically: tasks
 * keep running after the lease's end until the next call. */
void lmn_agent_check_lease(struct lmn_agent *agent, struct timespec now);

/** Records that the cloud will reclaim the machine at the given time. */
void lmn_agent_spot_notice(struct lmn_agent *agent, struct timespec reclaimed_at);

/** Returns the run with that id, or NULL if it has been cleared. */
struct lmn_task_run *lmn_agent_find_run(struct lmn_agent *agent, uint64_t id);

/** @name Outcomes of the ops
 * @{ */

/** Reports the outcome of the op `describe`. @param spec NULL if there is no such job */
void lmn_agent_described(struct lmn_agent *agent, uint64_t id,
                         const struct lmn_job_spec *spec, struct timespec now);

/** Reports the outcome of the op `fetch`, for all runs that wait for the image.
 * @param is_fetched whether the image is on the machine */
void lmn_agent_fetched(struct lmn_agent *agent, const char *image, bool is_fetched,
                       struct timespec now);

/** Reports that all processes of a run are gone.
 * @param is_done the task has completed, and its result is recorded
 * @param is_saved its exit status says that it has saved its progress */
void lmn_agent_exited(struct lmn_agent *agent, uint64_t id, bool is_done, bool is_saved,
                      struct timespec now);

/** Reports the outcome of the op `kill_all`: no process of the incarnation is left. The
 * next one begins.
 * @param incarnation the next one's number */
void lmn_agent_incarnation_ended(struct lmn_agent *agent, uint64_t incarnation,
                                 struct timespec now);

/** Treats the lease as expired because the machine's processes were killed by something
 * other than this agent, such as an executor that found the lease expired.
 * @param why the reason, for the log */
void lmn_agent_expire_lease(struct lmn_agent *agent, const char *why);

/** @} */

#endif
