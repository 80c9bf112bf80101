/* Requests of the day's users: on their way to a controller, within it, and answered. */
#ifndef LMN_TESTS_REQUESTS_H
#define LMN_TESTS_REQUESTS_H

#include "controller/request_decisions.h"
#include "simulation.h"

enum request_kind { STATUS, SUBMISSION, CANCELLATION };

/* What is wrong with a submission. */
enum form { SOUND, LACKS_FIELD, FITS_NOWHERE, FORMS };

struct request {
    enum request_kind kind;
    enum form form;
    char ref[LMN_JOB_ID_SIZE];
    struct job *job; /* NULL: an id that nobody submits */
    int node;
    double sent;
    const struct lmn_core *life; /* the controller's: with it, its requests end */
    bool arrived, answered;
    bool over; /* no controller holds it any more */
    struct lmn_submission submission;
    /* when it was sent: the record, and what its user had been told */
    bool recorded, accepted;
    enum lmn_job_phase phase, told;
};

/* The job's record; NULL: there is none. */
const struct item *simulation_record(const char *ref);
void simulation_read_record(const char *ref, struct lmn_job_reading *reading);

/* --- request_handling.c: what the controllers do with them --- */

/* Forgets what an earlier day has left; random numbers are of r. */
void request_handling_begin(GRand *r);
/* As far as it gets at this instant. */
void request_handling_advance(struct request *q);
void request_handling_step(void);

/* --- users.c --- */

/* The first answer; the user hears no other. */
void request_return(struct request *q, const struct lmn_job_reply *reply);
/* The controller has nothing more to do with it. */
void request_finish(struct request *q);

#endif
