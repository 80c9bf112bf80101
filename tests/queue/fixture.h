/* What the tests of queues share: a partition with machines and jobs. */
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

/* Sets up idle machines of two zones, a third of them spot, and jobs of one range each,
 * of various sizes and urgencies, none of which is dealt yet. */
void fixture_begin(uint32_t seed);
/* How many tasks of the job are on spot or on ordinary machines. */
guint count_started(const struct lmn_job *job, bool spot);
/* Asks every machine what it starts, until none starts anything. */
void start_all(void);
/* Begins anew with one job alone, dealt; it may use cheap machines. */
struct lmn_job *lone_job(enum lmn_priority urgency, double estimate);

#endif
