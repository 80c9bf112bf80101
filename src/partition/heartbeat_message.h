/** @file
 * Messages between a controller and its workers: decodes heartbeats, and encodes replies
 * and pushed commands.
 *
 * Every message from a controller to a worker is encoded here. The individual commands in
 * a message are encoded by state/command.h, because the scheduler appends each start
 * command as soon as it has decided on the start (lmn_schedule_machine). The functions
 * here use only their arguments and need no lock. */
#ifndef LMN_PARTITION_HEARTBEAT_MESSAGE_H
#define LMN_PARTITION_HEARTBEAT_MESSAGE_H

#include "job/message_limits.h"
#include "protocol/cbor.h"
#include "state/command.h"
#include "state/machine.h"

/** A worker's heartbeat. */
struct lmn_heartbeat {
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE], type[LMN_NAME_SIZE],
        zone[LMN_NAME_SIZE];
    bool is_spot;
    bool has_spot_notice; /**< the cloud has announced that it will reclaim the machine */
    uint64_t agent_incarnation, sequence;
    uint64_t fencing_token; /**< highest token that the worker has seen; 0: none yet */
    double notice_s;        /**< seconds until the reclaim; 0 without has_spot_notice */
    const struct lmn_cbor_value *tasks; /**< in the decoded document; NULL: no list */
};

/** Decodes a heartbeat.
 * @return NULL, or an error text (a static string) that names the malformed field. In
 * that case the fields that precede the malformed one, such as the machine's name, are
 * set too. */
const char *lmn_heartbeat_parse(struct lmn_heartbeat *heartbeat,
                                const struct lmn_cbor_document *document);

/** Decodes an entry of a heartbeat's task list: the attempt's job, task index, number and
 * state. All other fields of *attempt are set to 0.
 * @return false if the entry is malformed */
bool lmn_heartbeat_parse_task(struct lmn_attempt *attempt,
                              const struct lmn_cbor_document *document,
                              const struct lmn_cbor_value *node);

/** Commands to one worker, encoded one after another. */
struct lmn_command_list {
    GByteArray *encoded;
    guint count;
    size_t json_bytes; /**< upper bound of their size as JSON */
};

/** Creates an empty list, to be freed with lmn_command_list_free. */
struct lmn_command_list lmn_command_list_new(void);
/** Frees the encoded commands. No command can be added to the list afterwards. */
void lmn_command_list_free(struct lmn_command_list *commands);
/** Whether commands of that size as JSON fit into the message beside those in the list.
 * Commands that do not fit have to wait for a later message: one that exceeds the limit
 * would have no effect at all. */
bool lmn_command_list_has_room(const struct lmn_command_list *commands,
                               size_t json_bytes);
/** Encodes a command and appends it to the list. */
void lmn_command_list_add(struct lmn_command_list *commands, enum lmn_command_kind kind,
                          const struct lmn_attempt *attempt, double grace_s);
/** Counts start commands that the scheduler has appended to `encoded`. */
void lmn_command_list_count_starts(struct lmn_command_list *commands, guint starts);

/** The reply to an accepted heartbeat. It renews the worker's lease. */
struct lmn_heartbeat_reply {
    uint64_t fencing_token; /**< of the owner, for this machine */
    const struct lmn_command_list *commands;
};

/** Appends the encoded reply to `out`.
 * @return offset in `out` of the first command */
guint lmn_heartbeat_reply_encode(GByteArray *out,
                                 const struct lmn_heartbeat_reply *reply);

/** Appends a reply to `out` that redirects the worker to another controller. */
void lmn_heartbeat_redirect_encode(GByteArray *out, const char *member_name);

/** Appends a reply to `out` that carries an error text from lmn_heartbeat_parse. */
void lmn_heartbeat_error_encode(GByteArray *out, const char *error);

/** Commands that a controller sends to a worker without waiting for a heartbeat. */
struct lmn_command_push {
    uint64_t fencing_token;     /**< of the owner, for this machine */
    uint64_t agent_incarnation; /**< an agent of another incarnation refuses the push */
    const struct lmn_command_list *commands; /**< NULL in a probe, which has none */
};

/** Replaces the content of `out` with the encoded message. */
void lmn_command_push_encode(GByteArray *out, const struct lmn_command_push *push);

#endif
