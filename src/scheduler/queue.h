/* Dealing, starting and stealing inside a partition. The core's lock is held by the
 * caller throughout. */
#ifndef LMN_SCHEDULER_QUEUE_H
#define LMN_SCHEDULER_QUEUE_H

#include "scheduler/wait_reason.h"
#include "state/core_state.h"

/* Cuts the range's queued tasks over the queues of the machines that could hold them. */
void lmn_assign_tasks(struct lmn_core *core, struct lmn_range *range, uint32_t lo,
                      uint32_t hi, struct timespec now);
/* Cuts all of the range's queued tasks so. */
void lmn_assign_range(struct lmn_core *core, struct lmn_range *range,
                      struct timespec now);
/* Takes the range out of all queues, and deals it anew. */
void lmn_reassign_range(struct lmn_core *core, struct lmn_range *range,
                        struct timespec now);
/* Deals the job's queued tasks in this node's partitions anew: an accused job's into
 * unplaced, away from the machines' queues. */
void lmn_reassign_job(struct lmn_core *core, struct lmn_job *job, struct timespec now);
/* Gives a machine's queue, or all of unplaced, back to be dealt anew. */
void lmn_reassign_machine_queue(struct lmn_core *core, struct lmn_machine *machine,
                                struct timespec now);
void lmn_machine_drain(struct lmn_core *core, struct lmn_machine *machine, bool force,
                       const char *why, struct timespec now);
/* Seconds for which a task of the job would wait for its image there: those that are left
 * of a fetch under way. */
double lmn_image_fetch_s(const struct lmn_machine *machine, const struct lmn_job *job,
                         struct timespec now);
/* Whether the machine has the job's image, or is fetching it. */
bool lmn_machine_has_image(const struct lmn_machine *machine, const struct lmn_job *job);
/* The machine has the job's image (there), or is fetching it at least. */
void lmn_machine_record_image(struct lmn_machine *machine, const struct lmn_job *job,
                              bool there, struct timespec now);
/* Starts what fits on a machine that has just reported: commands go to out. */
guint lmn_schedule_machine(struct lmn_core *core, struct lmn_machine *machine,
                           GByteArray *out, struct timespec now);
bool lmn_steal_for_machine(struct lmn_core *core, struct lmn_machine *machine,
                           struct timespec now);

#endif
