/* Failures (`error`) of tasks: whether they accuse the job or the machine. A job that was
 * submitted with a mistake fails wherever it starts; a faulty machine fails whatever
 * starts on it. What tells them apart is how many machines and how many jobs share the
 * failures, and whether anything has succeeded since. Pure functions of what was seen and
 * a time. */
#ifndef LMN_FAILURES_H
#define LMN_FAILURES_H

#include <glib.h>
#include <stdbool.h>
#include <time.h>

enum { LMN_MAX_FAILURE_MACHINES = 8 };

/* Of a job, in one controller's books. */
struct lmn_job_failures {
    guint machines[LMN_MAX_FAILURE_MACHINES]; /* machines on which it has failed since it
                                   last succeeded, as hashes of their names */
    unsigned machine_count;                   /* how many of them */
    unsigned rounds;    /* of failures in a row: many that started together are one */
    bool has_succeeded; /* some task of it has succeeded */
    struct timespec round_started_at, last_failed_at;
    struct timespec backoff_until; /* it starts nothing before */
};

/* A task of the job, started at that time, has failed on that machine. */
void lmn_job_record_failure(struct lmn_job_failures *failures, guint machine,
                            struct timespec started, struct timespec now);
/* A predecessor has kept such a failure in the machine's reports: it had accused the job
 * (lmn_job_is_faulty). Counts once a machine. */
void lmn_job_record_inherited_failure(struct lmn_job_failures *failures, guint machine,
                                      struct timespec now);
void lmn_job_record_success(struct lmn_job_failures *failures);
/* Whether the job itself is at fault, as far as known: it has failed on so many machines
 * that they can't all be. Then it is tried with one task at a time, and says nothing
 * against machines. */
bool lmn_job_is_faulty(const struct lmn_job_failures *failures);
/* An accused job is tried once more: the next try waits. */
void lmn_job_record_retry(struct lmn_job_failures *failures, struct timespec now);

/* What failures of a job on a machine, so many times since anything succeeded there, and
 * the last at that time, say against the machine. */
double lmn_failure_weight(const struct lmn_job_failures *failures, guint machine,
                          unsigned times, struct timespec last, struct timespec now);
/* Whether testimonies that add up to so much are enough to leave the machine. */
bool lmn_machine_is_faulty(double sum);
/* Seconds for which a machine starts nothing after a failure, with so much against it. */
double lmn_machine_quarantine_s(double sum);

#endif
