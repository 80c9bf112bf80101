/** @file
 * Attributes task failures (exit reason `error`) to the job or to the machine.
 *
 * A faulty job fails on every machine; on a faulty machine every job fails. The two are
 * told apart by the number of machines on which a job has failed, the number of jobs that
 * have failed on a machine, and whether any task has succeeded since. Pure functions of
 * the recorded failures and a time. */
#ifndef LMN_FAILURES_H
#define LMN_FAILURES_H

#include <glib.h>
#include <stdbool.h>
#include <time.h>

/** Maximum number of machines recorded for a job's failures. */
enum { LMN_MAX_FAILURE_MACHINES = 8 };

/** A job's failures on machines of one controller's partitions. */
struct lmn_job_failures {
    /** Name hashes of the machines on which the job failed since its last success. */
    guint machines[LMN_MAX_FAILURE_MACHINES];
    unsigned machine_count;
    /** Consecutive rounds of failures. Tasks that started before a round's first failure
     * belong to that round. */
    unsigned rounds;
    bool has_succeeded; /**< some task of the job has succeeded */
    struct timespec round_started_at, last_failed_at;
    struct timespec backoff_until; /**< no task of the job starts before */
};

/** Records that a task of the job has failed on the machine.
 *
 * @param machine     hash of the machine's name
 * @param started_at  when the task started */
void lmn_job_record_failure(struct lmn_job_failures *failures, guint machine,
                            struct timespec started_at, struct timespec now);

/** Records a failure that the machine's heartbeats report from the time of an earlier
 * partition owner, which had judged the job faulty (lmn_job_is_faulty). Each machine
 * counts once. */
void lmn_job_record_inherited_failure(struct lmn_job_failures *failures, guint machine,
                                      struct timespec now);

/** Records that a task of the job has succeeded, and clears the job's failures. */
void lmn_job_record_success(struct lmn_job_failures *failures);

/** Whether the job counts as faulty: it has failed on more machines than are likely to be
 * faulty at the same time. A faulty job starts one task at a time, and its failures do
 * not count against machines. */
bool lmn_job_is_faulty(const struct lmn_job_failures *failures);

/** Records that a task of a faulty job starts again, and sets the backoff before the next
 * start. */
void lmn_job_record_retry(struct lmn_job_failures *failures, struct timespec now);

/** Weight of a job's failures as evidence against a machine: 0 if the job itself is more
 * likely at fault, else a value that decays exponentially with the time since the last
 * failure. The caller sums the weights of all jobs.
 *
 * @param count    the job's failures on the machine since any task succeeded there
 * @param last_at  time of the last of these failures */
double lmn_failure_weight(const struct lmn_job_failures *failures, guint machine,
                          unsigned count, struct timespec last_at, struct timespec now);

/** Whether a machine with this sum of weights counts as faulty and is taken out of use.
 */
bool lmn_machine_is_faulty(double weight_sum);

/** Seconds after a failure during which the machine starts no tasks.
 *
 * @param weight_sum  sum of lmn_failure_weight over all jobs */
double lmn_machine_quarantine_s(double weight_sum);

#endif
