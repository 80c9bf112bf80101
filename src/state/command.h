/** @file
 * Commands to workers: the operation that a worker has to perform on one attempt, and its
 * CBOR encoding. All encoded commands are built here; the messages that carry them are in
 * partition/heartbeat_message.h. Pure functions, no lock. */
#ifndef LMN_STATE_COMMAND_H
#define LMN_STATE_COMMAND_H

#include "state/machine.h"

#include <glib.h>

/** Operation that a worker performs on an attempt. */
enum lmn_command_kind {
    LMN_COMMAND_START,
    LMN_COMMAND_KILL,
    LMN_COMMAND_CLEAR /**< discard the record of an ended attempt */
};

/** A command that carries no grace period. */
#define LMN_COMMAND_NO_GRACE (-1.0)

/** One command to a worker. */
struct lmn_command {
    enum lmn_command_kind kind;
    const struct lmn_attempt *attempt;
    double grace_s; /**< seconds to save a checkpoint; LMN_COMMAND_NO_GRACE: not sent */
};

/** Appends the command's CBOR encoding to `out`. */
void lmn_command_encode(GByteArray *out, const struct lmn_command *command);

#endif
