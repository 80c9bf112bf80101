/* What the files that deal with workers share: reports, and commands. The lock is held.
 */
#ifndef LMN_PARTITION_WORKER_INTERNAL_H
#define LMN_PARTITION_WORKER_INTERNAL_H

#include "protocol/cbor.h"
#include "state/core_state.h"

struct lmn_heartbeat {
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE], type[LMN_NAME_SIZE],
        zone[LMN_NAME_SIZE];
    bool is_spot, has_spot_notice;
    uint64_t agent_incarnation, sequence, fencing_token;
    double notice_s;
    const struct lmn_cbor_value *tasks;
};

/* NULL, or what is wrong with it. */
const char *lmn_heartbeat_parse(struct lmn_heartbeat *heartbeat,
                                const struct lmn_cbor_document *document);
/* Which attempt the entry of a report names, and its state; the rest of *a is 0. False:
 * malformed. */
bool lmn_heartbeat_parse_task(struct lmn_attempt *attempt,
                              const struct lmn_cbor_document *document,
                              const struct lmn_cbor_value *node);
/* What the message says of each task. */
void lmn_heartbeat_apply_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *tasks, struct timespec now);
/* The attempt at the place i is not there: out of the books, its task queued again. */
void lmn_attempt_vanished(struct lmn_core *core, struct lmn_machine *machine, guint i,
                          struct timespec now);
/* Appends a command; grace: seconds to save, negative: it has none. */
void lmn_append_command(GByteArray *out, const char *command,
                        const struct lmn_attempt *attempt, double grace);
/* Our last answer, or call, had no effect. */
void lmn_machine_record_ignored_command(struct lmn_core *core,
                                        struct lmn_machine *machine, struct timespec now);

#endif
