/** @file
 * One machine's side of the workers' protocol, as a state machine: heartbeats,
 * incarnations, fencing tokens, leases, commands.
 *
 * It has no threads and does no I/O: what has to happen to processes and images it
 * requests through its ops (struct lmn_agent_ops), and learns what came of it by the
 * functions at the end of this file. The agent of a real machine (worker/worker.h) and
 * each emulated one (emulator/worker.h) are built on it.
 *
 * Times are of the caller's clock, which must go on while the machine sleeps. The caller
 * serializes all calls. Ops are called from within them, so they must only queue. */
#ifndef LMN_WORKER_AGENT_H
#define LMN_WORKER_AGENT_H

#include "protocol/cbor.h"
#include "job/job_spec.h"
#include "config/settings.h"

#include <time.h>

/** A task's name: the job's id, a slash, the index. */
enum { LMN_TASK_NAME_SIZE = LMN_JOB_ID_SIZE + 16 };

struct lmn_agent;

/** The state of a run. */
enum lmn_task_run_state {
    LMN_RUN_DESCRIBING, /**< its job's description is requested; reported as fetching */
    LMN_RUN_FETCHING,   /**< its image is requested */
    LMN_RUN_RUNNING,
    LMN_RUN_SAVING, /**< it has been commanded to save its progress and exit */
    LMN_RUN_ENDING, /**< killed; reported as what it was until its processes are gone */
    LMN_RUN_ENDED,
};

/** Why a run has ended. */
enum lmn_exit_reason {
    LMN_EXIT_DONE,    /**< the task has completed, and its result is kept here */
    LMN_EXIT_STOPPED, /**< by a command */
    LMN_EXIT_ERROR,
    LMN_EXIT_NO_CAPACITY, /**< refused: the machine has no room for it */
    LMN_EXIT_BUSY,        /**< refused: another attempt at the task is on the machine */
    LMN_EXIT_NO_SUCH_JOB  /**< refused: there is no description of its job */
};

/** A run: one attempt at a task, on this machine. */
struct lmn_task_run {
    uint64_t id; /**< of the agent's own; never used twice in its life */
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t index; /**< of the task within its job */
    uint64_t attempt;
    enum lmn_task_run_state state;
    enum lmn_task_run_state reported_state; /**< while LMN_RUN_ENDING */
    enum lmn_exit_reason exit_reason;       /**< once LMN_RUN_ENDED */
    bool is_saved;                          /**< it ended with its progress saved */
    bool is_described; /**< the description has come, and with it what follows */
    double cpus, gpus, memory_gb, save_s;
    bool can_save;
    char *image; /**< interned */
    struct timespec since;
};

/** What the agent requests of its machine. `arg`: as given to lmn_agent_init(). */
struct lmn_agent_ops {
    /** Requests the job's description; lmn_agent_described() answers, now or later. */
    void (*describe)(void *arg, struct lmn_task_run *run);
    /** Requests the run's image; lmn_agent_fetched() answers for all runs that need it.
     */
    void (*fetch)(void *arg, struct lmn_task_run *run);
    /** No run waits for the image any more. */
    void (*cancel_fetch)(void *arg, const char *image);
    /** Whether the task's result is kept on this machine. */
    bool (*has_result)(void *arg, const char *job_id, uint32_t index);
    /** Starts the run's processes; lmn_agent_exited() answers. */
    void (*start)(void *arg, struct lmn_task_run *run);
    /** Tells the run to save and exit within grace_s; after that it is killed. */
    void (*save)(void *arg, struct lmn_task_run *run, double grace_s);
    /** Kills the run at once; lmn_agent_exited() answers. */
    void (*kill)(void *arg, struct lmn_task_run *run);
    /** The lease has expired: kills everything. lmn_agent_incarnation_ended() answers
     * when nothing is left. */
    void (*kill_all)(void *arg);
    /** The lease now holds until then, by the caller's clock. */
    void (*extend_lease)(void *arg, struct timespec until);
};

/** The state machine. */
struct lmn_agent {
    /** What the machine is; set by the caller before lmn_agent_init(). */
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE], zone[LMN_NAME_SIZE];
    struct lmn_machine_type type;
    bool is_spot;
    double lease_s;

    const struct lmn_agent_ops *ops;
    void *arg;
    uint64_t incarnation, sequence, fencing_token, next_run_id;
    bool is_ending; /**< between two incarnations: it says nothing */
    bool has_spot_notice;
    struct timespec
        reclaimed_at;           /**< with has_spot_notice: when the cloud takes it away */
    struct timespec lease_from; /**< when the heartbeat that renewed the lease was sent */
    /** When a higher fencing token was last worth a heartbeat. */
    struct timespec fencing_token_reported_at;
    bool has_news;   /**< something changed that is worth a heartbeat at once */
    GPtrArray *runs; /**< struct lmn_task_run, owned */
    uint64_t starts, finished, refused, expired_leases;
};

/** Begins the agent's first incarnation, with a lease from now on.
 * @param ops must outlive the agent
 * @param incarnation above all that this machine ever reported */
void lmn_agent_init(struct lmn_agent *agent, const struct lmn_agent_ops *ops, void *arg,
                    uint64_t incarnation, struct timespec now);

/** Frees what the agent owns, but not the agent itself. */
void lmn_agent_clear(struct lmn_agent *agent);

/** Appends a heartbeat, with the next sequence number. Not to be called while the agent
 * is ending. */
void lmn_agent_write_heartbeat(struct lmn_agent *agent, GByteArray *out,
                               struct timespec now);

/** Takes the answer (status 200) to a heartbeat: renews the lease, obeys the commands.
 * @param incarnation,sent_at of the heartbeat: the lease counts from when it was sent
 * @return false if the answer had to be dropped: it is another incarnation's, malformed,
 *     or its fencing token is lower than one that was seen */
bool lmn_agent_heartbeat_answered(struct lmn_agent *agent, uint64_t incarnation,
                                  struct timespec sent_at, const void *body, size_t len,
                                  struct timespec now);

/** Handles a request with commands (POST WIRE_PATH_COMMANDS). Does not renew the lease.
 * @param out gets the body: a heartbeat
 * @return the HTTP status: 503 while it is ending, 400: malformed, 409: from a fenced
 *     owner or for another incarnation, and nothing was done */
int lmn_agent_handle_commands(struct lmn_agent *agent, const void *body, size_t len,
                              GByteArray *out, struct timespec now);

/** Handles a request to show the machine (GET WIRE_PATH_SHOW).
 * @return the HTTP status: 503 while it is ending */
int lmn_agent_show(struct lmn_agent *agent, GByteArray *out, struct timespec now);

/** Ends the incarnation if its lease has expired. To be called often. */
void lmn_agent_check_lease(struct lmn_agent *agent, struct timespec now);

/** The cloud takes the machine away at the time. */
void lmn_agent_spot_notice(struct lmn_agent *agent, struct timespec reclaimed_at);

/** The run with that id; NULL: forgotten. */
struct lmn_task_run *lmn_agent_find_run(struct lmn_agent *agent, uint64_t id);

/** @name What came of the ops
 * @{ */

/** Answers the op `describe`. @param spec NULL: there is no such job */
void lmn_agent_described(struct lmn_agent *agent, uint64_t id,
                         const struct lmn_job_spec *spec, struct timespec now);

/** Answers the op `fetch`, for all runs that wait for the image.
 * @param is_fetched whether the image is on the machine */
void lmn_agent_fetched(struct lmn_agent *agent, const char *image, bool is_fetched,
                       struct timespec now);

/** All processes of a run are gone.
 * @param is_done the task has completed, and its result is kept
 * @param is_saved it exited saying that it has saved its progress */
void lmn_agent_exited(struct lmn_agent *agent, uint64_t id, bool is_done, bool is_saved,
                      struct timespec now);

/** Answers the op `kill_all`: nothing is left of the incarnation; the next one begins.
 * @param incarnation the next one's number */
void lmn_agent_incarnation_ended(struct lmn_agent *agent, uint64_t incarnation,
                                 struct timespec now);

/** The machine's processes were killed from outside, as by the executor that found the
 * lease expired: treats the lease as expired. @param why for the log */
void lmn_agent_expire_lease(struct lmn_agent *agent, const char *why);

/** @} */

#endif
