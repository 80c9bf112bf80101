/* What a node knows of a partition that it does not own: what its owner has told it, as
 * the standby; or what it knew itself when it was the last owner. The core's lock is held
 * by the caller throughout. */
#ifndef LMN_REPLICATION_REPLICA_H
#define LMN_REPLICATION_REPLICA_H

#include "replication/batch.h"

struct lmn_replica {
    uint64_t epoch, stream;
    uint64_t number;               /* of the last batch taken */
    GHashTable *machines;          /* name -> struct lmn_machine_snapshot */
    struct timespec last_batch_at; /* when a batch came last, steady clock */
    bool own; /* this process's own state at the end of that term; no stream */
};

enum lmn_replica_result {
    LMN_REPLICA_APPLIED,        /* or was before */
    LMN_REPLICA_UNKNOWN_STREAM, /* of no stream that is followed here, or not the next:
                                 * begin anew
                                 */
    LMN_REPLICA_REJECTED,       /* of a term that is over, or the partition is ours */
};

/* Takes the batch over into the partition's copy; its machines may be moved out of it. A
 * batch that begins a stream takes the place of an older stream's copy. */
enum lmn_replica_result lmn_replica_apply(struct lmn_core *core,
                                          struct lmn_replication_batch *batch,
                                          struct timespec now);
void lmn_replica_free(struct lmn_replica *copy);
/* The partition is about to be lost: keeps what its owner, this process, knows of it, if
 * that names every attempt that may be on a machine. A batch of another owner takes its
 * place. */
void lmn_replica_keep_own(struct lmn_partition *partition);
/* Whether this process was the partition's last owner, as far as the mirror shows, and
 * has kept what it knew. */
bool lmn_replica_own_is_latest(const struct lmn_partition *partition);
/* Frees what was kept once another has owned the partition: it is of no use any more. */
void lmn_replica_drop_outdated(const struct lmn_core *core,
                               struct lmn_partition *partition);

#endif
