/* Fixture of the queue tests: one partition with machines and jobs, in simulated time. */
#ifndef LMN_TESTS_QUEUE_FIXTURE_H
#define LMN_TESTS_QUEUE_FIXTURE_H

#include "util/clock.h"
#include "protocol/cbor.h"
#include "job/job_spec.h"
#include "config/settings.h"
#include "state/core.h"
#include "state/core_state.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

enum { MACHINES = 9, JOBS = 12 };

extern struct lmn_settings settings;
extern struct lmn_core *core; /* owns its only partition */
extern struct lmn_job jobs[JOBS];
extern struct timespec now;

/* Sets up a new core with idle machines in two zones, a third of them spot instances, and
 * jobs of one range each, with various sizes and priorities. No task is assigned yet. */
void fixture_set_up(uint32_t seed);
/* Number of attempts of the job's tasks, on spot instances or on ordinary machines. */
guint count_attempts(const struct lmn_job *job, bool is_spot);
/* Schedules all machines until none starts another task. */
void start_all_tasks(void);
/* Sets up a new core with one active batch job, which may use spot instances and whose
 * tasks are assigned. Each task takes a whole machine. */
struct lmn_job *fixture_set_up_one_job(enum lmn_priority priority, double estimate_s);

#endif
