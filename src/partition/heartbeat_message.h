/** @file
 * Messages between a controller and its workers: heartbeats as they are read, and the
 * replies and commands as they are written.
 *
 * Every controller message to a worker is encoded here; the commands in it are encoded by
 * state/command.h, since the scheduler appends a start command when it decides on it
 * (lmn_schedule_machine). These are pure functions of their arguments; they need no
 * lock. */
#ifndef LMN_PARTITION_HEARTBEAT_MESSAGE_H
#define LMN_PARTITION_HEARTBEAT_MESSAGE_H

#include "protocol/cbor.h"
#include "state/command.h"
#include "state/machine.h"

/** A worker's heartbeat. */
struct lmn_heartbeat {
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE], type[LMN_NAME_SIZE],
        zone[LMN_NAME_SIZE];
    bool is_spot;
    bool has_spot_notice; /**< the cloud has announced that it takes the machine */
    uint64_t agent_incarnation, sequence;
    uint64_t fencing_token; /**< highest that the worker has seen; 0: none yet */
    double notice_s;        /**< seconds until the cloud takes it */
    const struct lmn_cbor_value *tasks; /**< points into the document; may be NULL */
};

/** Reads a heartbeat.
 * @return NULL, or what is wrong with it (a static string). What was read before the
 * fault, such as the machine's name, is set all the same. */
const char *lmn_heartbeat_parse(struct lmn_heartbeat *heartbeat,
                                const struct lmn_cbor_document *document);

/** Reads which attempt an entry of a heartbeat's task list names, and its state; the rest
 * of *attempt is set to 0.
 * @return false: the entry is malformed */
bool lmn_heartbeat_parse_task(struct lmn_attempt *attempt,
                              const struct lmn_cbor_document *document,
                              const struct lmn_cbor_value *node);

/** Commands to one worker, encoded one after the other. */
struct lmn_command_list {
    GByteArray *encoded;
    guint count;
};

/** An empty list; freed with lmn_command_list_free. */
struct lmn_command_list lmn_command_list_new(void);
/** Frees the encoded commands; the list is empty then. */
void lmn_command_list_free(struct lmn_command_list *commands);
/** Encodes one more command at the end of the list. */
void lmn_command_list_add(struct lmn_command_list *commands, enum lmn_command_kind kind,
                          const struct lmn_attempt *attempt, double grace_s);

/** The reply to a heartbeat that was accepted. It renews the worker's lease. */
struct lmn_heartbeat_reply {
    uint64_t epoch; /**< the owner's fencing token */
    const struct lmn_command_list *commands;
};

/** Appends the encoded reply.
 * @return offset in `out` where the commands begin */
guint lmn_heartbeat_reply_encode(GByteArray *out,
                                 const struct lmn_heartbeat_reply *reply);

/** Appends a reply that sends the worker to another member. */
void lmn_heartbeat_redirect_encode(GByteArray *out, const char *member_name);

/** Appends a reply that says what is wrong with a heartbeat. */
void lmn_heartbeat_error_encode(GByteArray *out, const char *error);

/** Commands that a controller sends to a worker by itself, without a heartbeat. */
struct lmn_command_push {
    uint64_t epoch;
    uint64_t agent_incarnation; /**< the worker refuses commands to another one */
    const struct lmn_command_list *commands; /**< NULL: none, as in a probe */
};

/** Replaces the content of `out` by the encoded message. */
void lmn_command_push_encode(GByteArray *out, const struct lmn_command_push *push);

#endif
