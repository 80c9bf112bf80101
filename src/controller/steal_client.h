/** @file
 * The thief's side of work stealing between partitions, and requests for quota. */
#ifndef LMN_CONTROLLER_STEAL_CLIENT_H
#define LMN_CONTROLLER_STEAL_CLIENT_H

/** A thread: for each owned partition with idle machines, steals queued tasks from other
 * partitions; for each that is short of a team's quota, requests some of theirs.
 * @param core the struct lmn_core; its lock is taken, never during I/O */
void *lmn_steal_thread(void *core);

#endif
