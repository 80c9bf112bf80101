/* One machine's side of the workers' protocol, as a state machine: reports, sessions,
 * tokens, leases, commands. No threads, no I/O: what has to happen to processes and
 * images it asks of its ops, and hears what came of it. The agent of a real machine
 * (worker/worker.c) stands on it, and so does each emulated one.
 *
 * Times are of the caller's clock, which must go on while the machine sleeps. The caller
 * serializes all calls; ops are called within them and must only take notes. */
#ifndef LMN_WORKER_AGENT_H
#define LMN_WORKER_AGENT_H

#include "protocol/cbor.h"
#include "job/job_spec.h"
#include "config/settings.h"

#include <time.h>

struct lmn_agent;

enum lmn_task_run_state {
    LMN_RUN_DESCRIBING, /* its job's description is being asked for; told as fetching */
    LMN_RUN_FETCHING,   /* its image is */
    LMN_RUN_RUNNING,
    LMN_RUN_SAVING,
    LMN_RUN_ENDING, /* killed; told as what it was, until its processes are gone */
    LMN_RUN_ENDED,
};

enum lmn_exit_reason {
    LMN_EXIT_DONE,
    LMN_EXIT_STOPPED,
    LMN_EXIT_ERROR,
    LMN_EXIT_NO_CAPACITY,
    LMN_EXIT_BUSY,
    LMN_EXIT_NO_SUCH_JOB
};

/* An attempt at a task on the machine. */
struct lmn_task_run {
    uint64_t id; /* of the agent's own, never used twice in its life */
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t index;
    uint64_t attempt;
    enum lmn_task_run_state state;
    enum lmn_task_run_state reported_state; /* while LMN_RUN_ENDING */
    enum lmn_exit_reason exit_reason;
    bool is_saved;
    bool is_described; /* the description has come: */
    double cpus, gpus, memory_gb, save_s;
    bool can_save;
    char *image; /* interned */
    struct timespec since;
};

struct lmn_agent_ops {
    /* Asks for the job's description: lmn_agent_described answers, now or later. */
    void (*describe)(void *arg, struct lmn_task_run *r);
    /* Asks for the run's image: lmn_agent_fetched answers, for all runs that need it. */
    void (*fetch)(void *arg, struct lmn_task_run *r);
    /* No run waits for the image any more. */
    void (*give_up)(void *arg, const char *image);
    /* Whether the task's result is kept here. */
    bool (*has_result)(void *arg, const char *ref, uint32_t index);
    /* Starts it: lmn_agent_exited answers. */
    void (*start)(void *arg, struct lmn_task_run *r);
    /* Asks it to save and exit within grace_s; then it is killed. */
    void (*save)(void *arg, struct lmn_task_run *r, double grace_s);
    /* Ends it at once: lmn_agent_exited answers. */
    void (*kill)(void *arg, struct lmn_task_run *r);
    /* The lease is over: ends everything; lmn_agent_incarnation_ended answers when
     * nothing is left.
     */
    void (*kill_all)(void *arg);
    /* The lease holds until then, by the caller's clock. */
    void (*leased)(void *arg, struct timespec until);
};

struct lmn_agent {
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE], zone[LMN_NAME_SIZE];
    struct lmn_machine_type type;
    bool is_spot;
    double lease_s;
    const struct lmn_agent_ops *ops;
    void *arg;
    uint64_t incarnation, sequence, fencing_token, next_run_id;
    bool is_ending; /* between sessions: it says nothing */
    bool has_spot_notice;
    struct timespec gone_at; /* if noticed */
    struct timespec lease_from;
    struct timespec
        fencing_token_reported_at; /* a higher token was last worth a report */
    bool has_news;                 /* something that is worth a report at once */
    GPtrArray *runs;
    uint64_t starts, finished, refused, expired_leases;
};

/* session: the first that it may report, above all that were. The ops outlive it. */
void lmn_agent_init(struct lmn_agent *agent, const struct lmn_agent_ops *ops, void *arg,
                    uint64_t session, struct timespec now);
void lmn_agent_clear(struct lmn_agent *agent);

/* Appends a report, with the next number. Not while it is ending. */
void lmn_agent_write_heartbeat(struct lmn_agent *agent, GByteArray *out,
                               struct timespec now);
/* A 200 to a report that was sent at the time, in the session. False: it had to be
 * dropped. */
bool lmn_agent_heartbeat_answered(struct lmn_agent *agent, uint64_t session,
                                  struct timespec sent, const void *body, size_t len,
                                  struct timespec now);
/* POST /do: returns the status, and the body. 503 while it is ending. */
int lmn_agent_execute(struct lmn_agent *agent, const void *body, size_t len,
                      GByteArray *out, struct timespec now);
/* GET /show. */
int lmn_agent_show(struct lmn_agent *agent, GByteArray *out, struct timespec now);
/* Ends the session if its lease is over. To be called often. */
void lmn_agent_tick(struct lmn_agent *agent, struct timespec now);
/* The cloud takes the machine away at the time. */
void lmn_agent_spot_notice(struct lmn_agent *agent, struct timespec gone_at);

/* --- what came of it --- */
/* spec NULL: no such job. */
void lmn_agent_described(struct lmn_agent *agent, uint64_t id,
                         const struct lmn_job_spec *spec, struct timespec now);
void lmn_agent_fetched(struct lmn_agent *agent, const char *image, bool ok,
                       struct timespec now);
/* All its processes are gone. done: it has completed, and its result is kept; saved: it
 * was told to save, and says that it has. */
void lmn_agent_exited(struct lmn_agent *agent, uint64_t id, bool done, bool saved,
                      struct timespec now);
/* Nothing is left of the session: session is the next one's number. */
void lmn_agent_incarnation_ended(struct lmn_agent *agent, uint64_t session,
                                 struct timespec now);
/* Its processes were ended from without, as by the lease's own keeper: as if the lease
 * were over. */
void lmn_agent_expire_lease(struct lmn_agent *agent, const char *why);
/* The run of that number; NULL: forgotten. */
struct lmn_task_run *lmn_agent_find_run(struct lmn_agent *agent, uint64_t id);

#endif
