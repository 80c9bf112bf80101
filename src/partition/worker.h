/* Workers' reports, and commands sent straight to them. The lock is held by the caller,
 * but for lmn_heartbeat_handle, which takes it. */
#ifndef LMN_PARTITION_WORKER_H
#define LMN_PARTITION_WORKER_H

#include "state/core_state.h"

/* Nothing on it that would be lost with it. */
bool lmn_machine_is_empty(const struct lmn_machine *machine);
/* Fills a body for /do with starts for a machine of ours that waits for none; returns
 * false if there is nothing to send. name, addr: buffers of LMN_NAME_SIZE and
 * LMN_ADDRESS_SIZE. */
bool lmn_worker_client_next_push(struct lmn_core *core, unsigned lane, unsigned lanes,
                                 char *name, char *addr, GByteArray *body,
                                 struct timespec now);
/* What became of it. */
void lmn_worker_client_push_done(struct lmn_core *core, const char *name, int status,
                                 const GByteArray *answer, struct timespec now);
/* The same for machines of a partition just taken over, which are asked what they hold.
 * term 0: any machine, only whether it can be reached. */
bool lmn_worker_client_next_probe(struct lmn_core *core, unsigned lane, unsigned lanes,
                                  char *name, char *addr, uint64_t *term,
                                  struct timespec now);
void lmn_worker_client_probe_done(struct lmn_core *core, const char *name, uint64_t epoch,
                                  int status, const GByteArray *answer,
                                  struct timespec now);
/* A lane of direct commands (a thread). */
void *lmn_worker_client_thread(void *lane);
struct lmn_worker_client {
    struct lmn_core *core;
    unsigned index, count;
};
/* An answer with starts that the partition's standby has to acknowledge first
 * (lmn_replication_covers). */
struct lmn_deferred_starts {
    int partition;
    uint64_t epoch;
    uint64_t from_position, log_position; /* its starts are those after from, up to mark;
                            mark 0: it waits for nothing */
    char machine[LMN_NAME_SIZE];
    guint commands_offset, settled_bytes; /* where the answer's commands begin, and how
                                      many bytes of them are not its new starts, */
    guint settled_commands;               /* and how many commands */
};
/* Answers a report: returns the HTTP status, and a body in out if there is one. */
int lmn_heartbeat_handle(struct lmn_core *core, const void *body, size_t len,
                         GByteArray *out, struct lmn_deferred_starts *deferred,
                         struct timespec now);
/* The standby did not acknowledge the answer's starts in time: they are taken back, and
 * out becomes an answer without them. */
void lmn_heartbeat_withhold_starts(struct lmn_core *core,
                                   const struct lmn_deferred_starts *deferred,
                                   GByteArray *out, struct timespec now);
/* The mark that the starts of the call that lmn_worker_client_next_push has just filled
 * wait for; 0: none. */
uint64_t lmn_worker_client_log_position(const struct lmn_core *core, const char *name,
                                        int *part);

#endif
