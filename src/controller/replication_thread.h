/* Telling standbys, and being told: the threads, and the answers that wait. */
#ifndef LMN_CONTROLLER_REPLICATION_THREAD_H
#define LMN_CONTROLLER_REPLICATION_THREAD_H

#include "http/server.h"
#include "partition/heartbeat.h"
#include "controller_rpc.h"

/* A thread for each partition, which tells its standby while the partition is ours: one
 * standby that does not answer holds up no other. */
void lmn_replication_start(struct lmn_core *core);

/* Answers a report with out, which it takes over, once the standby has acknowledged its
 * starts; without them if that takes too long. On the server's thread, no lock held. */
void lmn_replication_defer_response(struct lmn_core *core,
                                    struct lmn_http_request *request, GByteArray *out,
                                    const struct lmn_deferred_starts *deferred);

/* A batch from another; returns an lmn_replica_result. No lock held. */
u_int lmn_replication_receive(struct lmn_core *core,
                              const lmn_rpc_replication_batch *batch);

#endif
