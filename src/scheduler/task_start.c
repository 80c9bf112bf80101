/** @file
 * The start of one task; see task_start.h. The caller holds the core's lock. */
#include "scheduler/task_start.h"
#include "util/log.h"
#include "scheduler/image_cache.h"
#include "scheduler/queue_scan.h"
#include "state/command.h"
#include "state/fencing_token.h"
#include "state/task_ledger.h"

/** Logs the partition's first start under the present owner. */
static void log_first_start(struct lmn_partition *partition, struct timespec now)
{
    if (!partition->ownership.has_started_task)
        lmn_info("partition_first_start partition=%d epoch=%" G_GUINT64_FORMAT
                 " after=%.2f",
                 partition->id, partition->ownership.epoch,
                 lmn_time_diff_s(now, partition->ownership.since));
    partition->ownership.has_started_task = true;
}

/** Creates the attempt, marks its task as started, and adds its resources to those in use
 * on the machine and of the team's quota. */
static struct lmn_attempt make_attempt(struct lmn_machine *machine,
                                       const struct lmn_queue_segment *segment,
                                       struct timespec now)
{
    struct lmn_range *range = segment->range;
    struct lmn_attempt attempt = {.job = segment->job,
                                  .range = range,
                                  .index = segment->first,
                                  .state = LMN_ATTEMPT_SENT,
                                  .in_last_heartbeat = true,
                                  .started_at = now};

    attempt.number = lmn_attempt_number(&machine->partition->ownership,
                                        ++machine->partition->ownership.last_attempt);
    g_strlcpy(attempt.job_id, attempt.job->spec.id, sizeof attempt.job_id);
    attempt.log_position = lmn_machine_log_start(machine, now);
    range->task_states[attempt.index - range->first] = LMN_TASK_STARTED;
    range->started_count++;
    range->last_start_at = now;
    lmn_attempt_count(machine, &attempt);
    return attempt;
}

/** Updates the scheduler's state of the job, and the machine's preemption reservation and
 * image cache, for a start. */
static void update_scheduling(struct lmn_core *core, struct lmn_machine *machine,
                              struct lmn_job *job, struct timespec now)
{
    lmn_queue_scan_record_start(core);
    job->is_starving = false;
    if (lmn_job_is_faulty(&job->failures))
        lmn_job_record_retry(&job->failures, now);
    if (machine->reservation.preemption_tasks &&
        job->spec.priority == LMN_PRIORITY_PRODUCTION) {
        machine->reservation.preemption_tasks--;
        /* The scan has rejected jobs of lower priority because of the reservation; they
         * may be able to start now. */
        lmn_queue_scan_begin(core);
    }
    lmn_machine_record_image(machine, job, false, now);
}

void lmn_start_task(struct lmn_core *core, struct lmn_machine *machine,
                    struct lmn_queue_segment *segment, GByteArray *commands,
                    struct timespec now)
{
    struct lmn_partition *partition = machine->partition;
    struct lmn_attempt attempt = make_attempt(machine, segment, now);

    log_first_start(partition, now);
    update_scheduling(core, machine, attempt.job, now);
    g_array_append_val(machine->attempts, attempt);
    core->counters.starts++;
    lmn_latency_add(&core->latencies.start,
                    core->scheduling.wall_clock_s - attempt.job->accepted_at_s);
    lmn_command_encode(commands, &(struct lmn_command){LMN_COMMAND_START, &attempt,
                                                       LMN_COMMAND_NO_GRACE});
    lmn_debug("task_started task=%s/%u attempt=%" G_GUINT64_FORMAT
              " machine=%s epoch=%" G_GUINT64_FORMAT,
              attempt.job_id, attempt.index, attempt.number, machine->name,
              partition->ownership.epoch);
    segment->first++;
}
