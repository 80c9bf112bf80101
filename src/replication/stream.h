/* An owner's side: who follows it, what it is told, and what waits for that.
 *
 * A primary and its backup with a recorded configuration, after PacificA (Lin and others,
 * 2008): while the record b/P names a standby, no start goes out that it has not
 * acknowledged; to go on without it, the owner strikes it off the record first. Why that
 * is enough: docs/design/failover.md.
 *
 * Functions of the shared state and a passed-in time; no I/O. The core's lock is held by
 * the caller throughout. */
#ifndef LMN_REPLICATION_STREAM_H
#define LMN_REPLICATION_STREAM_H

#include "replication/batch.h"
#include "replication/replica.h"

/* Who is this far behind would be struck off at once: with eight times the machines,
 * copies were begun and broken off all day, and a tenth fewer tasks started for it.
 * Seconds. */
#define LMN_STANDBY_SETTLE_S 0.25

/* Who should follow this node in the partition: the rank of a trusted member, -1: nobody.
 * The usual holder first, then those of another zone, those with the fewest partitions
 * and standbys, then by a rendezvous hash (Thaler and Ravishankar, 1998). */
int lmn_standby_choose(const struct lmn_core *core, const struct lmn_partition *partition,
                       struct timespec now);
/* Who is in step with the partition's last owner, as far as the mirror shows, and can be
 * expected to take it over: a rank, -1: nobody. */
int lmn_standby_named(const struct lmn_core *core, const struct lmn_partition *partition,
                      struct timespec now);

enum lmn_replication_step {
    LMN_REPLICATION_WAIT,  /* for so many seconds, or until p->following is signalled */
    LMN_REPLICATION_SEND,  /* the batch; tell what became of it by
                              lmn_replication_batch_sent */
    LMN_REPLICATION_WRITE, /* the transaction; the mirror will show what became of it */
};
/* What is due. The batch stays the stream's until lmn_replication_batch_sent. *txn is the
 * caller's to send and free. */
enum lmn_replication_step lmn_replication_next_step(struct lmn_core *core,
                                                    struct lmn_partition *partition,
                                                    struct timespec now,
                                                    struct lmn_replication_batch **batch,
                                                    struct lmn_txn **txn, double *wait);
/* answered: false if there was no answer. The stream may be another by then, or the
 * partition lost; then the batch is only freed. */
void lmn_replication_batch_sent(struct lmn_core *core, struct lmn_partition *partition,
                                struct lmn_replication_batch *batch, bool answered,
                                enum lmn_replica_result answer, struct timespec now);
/* The partition is ours no more, or has just become ours. */
void lmn_replication_reset(struct lmn_core *core, struct lmn_partition *partition);

/* Starts wait for their acknowledgement. */
bool lmn_replication_gates_starts(const struct lmn_partition *partition);
/* What was decided on up to the mark may go out. */
bool lmn_replication_covers(const struct lmn_partition *partition, uint64_t mark);
/* Starts have waited for too long: none is decided on until that is over. */
bool lmn_replication_is_stuck(const struct lmn_partition *partition, struct timespec now);
/* Seconds for which an answer waits at most before it goes out without its starts. */
extern const double LMN_REPLICATION_DEFER_S;
/* How long it takes a standby's silence to be acted on, s. */
extern const double LMN_REPLICATION_TIMEOUT_S;

/* All of the stream's record, for other transactions: the condition that it is in step
 * with the member, and the stream's name to write into o/P. Returns 0 if it is not. */
uint64_t lmn_standby_condition(const struct lmn_partition *partition, const char *member,
                               struct lmn_txn *txn);
/* How many machines and starts the standby has not been told of. */
void lmn_replication_lag(const struct lmn_partition *partition, struct timespec now,
                         guint *machines, uint64_t *starts, double *seconds);
const char *lmn_replication_phase_name(enum lmn_replication_phase phase);
/* Frees what a partition holds of and for standbys. */
void lmn_standby_forget(struct lmn_partition *partition);

#endif
