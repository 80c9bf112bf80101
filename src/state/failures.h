/** @file
 * Failures of tasks (exit reason `error`): whether the job or the machine is at fault.
 *
 * A job that was submitted with a mistake fails wherever it starts; a faulty machine
 * fails whatever starts on it. What tells them apart is how many machines and how many
 * jobs share the failures, and whether anything has succeeded since. Pure functions of
 * what was seen and a time. */
#ifndef LMN_FAILURES_H
#define LMN_FAILURES_H

#include <glib.h>
#include <stdbool.h>
#include <time.h>

/** Most machines that are remembered for a job. */
enum { LMN_MAX_FAILURE_MACHINES = 8 };

/** A job's failures, as one controller knows them. */
struct lmn_job_failures {
    /** Machines on which it has failed since it last succeeded: hashes of their names. */
    guint machines[LMN_MAX_FAILURE_MACHINES];
    unsigned machine_count;
    /** Rounds of failures in a row; failures of tasks that started together are one. */
    unsigned rounds;
    bool has_succeeded; /**< some task of it has succeeded */
    struct timespec round_started_at, last_failed_at;
    struct timespec backoff_until; /**< it starts nothing before */
};

/** Records that a task of the job has failed on the machine.
 *
 * @param machine     hash of the machine's name
 * @param started_at  when the task started */
void lmn_job_record_failure(struct lmn_job_failures *failures, guint machine,
                            struct timespec started_at, struct timespec now);

/** Records a failure that an earlier owner of the partition has left in the machine's
 * heartbeats, having found the job faulty (lmn_job_is_faulty). Counts once a machine. */
void lmn_job_record_inherited_failure(struct lmn_job_failures *failures, guint machine,
                                      struct timespec now);

/** Records that a task of the job has succeeded: its failures are forgotten. */
void lmn_job_record_success(struct lmn_job_failures *failures);

/** Whether the job itself is at fault, as far as known: it has failed on so many machines
 * that they can't all be. Such a job is tried with one task at a time, and its failures
 * count against no machine. */
bool lmn_job_is_faulty(const struct lmn_job_failures *failures);

/** Records that a faulty job is tried once more: the next try has to wait. */
void lmn_job_record_retry(struct lmn_job_failures *failures, struct timespec now);

/** How much a job's failures on a machine count against the machine: 0, or a weight that
 * fades with time. Weights of several jobs are added up.
 *
 * @param count    failures there since any task succeeded there
 * @param last_at  when the last of them was */
double lmn_failure_weight(const struct lmn_job_failures *failures, guint machine,
                          unsigned count, struct timespec last_at, struct timespec now);

/** Whether weights that add up to this sum are enough to stop using the machine. */
bool lmn_machine_is_faulty(double weight_sum);

/** Seconds for which a machine starts nothing after a failure, given the sum of weights
 * against it. */
double lmn_machine_quarantine_s(double weight_sum);

#endif
