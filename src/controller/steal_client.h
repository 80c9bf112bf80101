/** @file
 * Requests queued tasks and quota from other partitions: the thief's side of work
 * stealing and of quota transfers. */
#ifndef LMN_CONTROLLER_STEAL_CLIENT_H
#define LMN_CONTROLLER_STEAL_CLIENT_H

/** Thread function. For each owned partition with free capacity, steals queued tasks from
 * other partitions; for each owned partition that is short of a team's quota, requests
 * quota from the other partitions.
 * @param core the struct lmn_core; its lock is taken, but never held during I/O */
void *lmn_steal_thread(void *core);

#endif
