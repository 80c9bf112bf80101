/* Users' requests on their way to a controller, while it handles them, and once they
 * are answered. */
#ifndef LMN_TESTS_REQUESTS_H
#define LMN_TESTS_REQUESTS_H

#include "controller/request_decisions.h"
#include "simulation.h"

enum request_kind { STATUS, SUBMISSION, CANCELLATION };

/* What is wrong with a submission. */
enum defect { NO_DEFECT, MISSING_FIELD, TOO_LARGE, DEFECT_COUNT };

struct request {
    enum request_kind kind;
    enum defect defect;
    char job_id[LMN_JOB_ID_SIZE];
    struct job *job; /* NULL: the id belongs to no job of the run */
    int node;
    double sent_at;
    const struct lmn_core *core; /* of the controller; when it ends, so do its requests */
    bool arrived, answered;
    bool is_finished; /* no controller holds the request any more */
    struct lmn_submission submission;
    /* What was known when the request was sent: whether the job had a record, whether
     * its user had been told that it is known, the recorded phase, and the final phase
     * that its user had been told. */
    bool was_recorded, was_accepted;
    enum lmn_job_phase recorded_phase, returned_phase;
};

/* The job's record; NULL: there is none. */
const struct stored_value *simulation_record(const char *job_id);
void simulation_read_record(const char *job_id, struct lmn_job_read_result *reading);

/* --- request_handling.c: what controllers do with requests --- */

/* Drops what an earlier run has left, and sets where random numbers come from. */
void request_handling_begin(GRand *random);
/* Moves the request on as far as it gets at this instant of simulated time. */
void request_handling_advance(struct request *request);
void request_handling_step(void);

/* --- users.c --- */

/* Hands the answer to the user, who ignores all but the first. */
void request_return(struct request *request, const struct lmn_job_reply *reply);
/* The controller will not use the request again; a user without an answer gets none. */
void request_finish(struct request *request);

#endif
