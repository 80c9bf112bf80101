/** @file
 * Commands to workers: what a worker is told to do with one attempt, and how that is
 * written. The only place that builds a command's bytes; messages that carry commands are
 * in partition/heartbeat_message.h. Pure functions, no lock. */
#ifndef LMN_STATE_COMMAND_H
#define LMN_STATE_COMMAND_H

#include "state/machine.h"

#include <glib.h>

/** What a worker is commanded to do with an attempt. */
enum lmn_command_kind {
    LMN_COMMAND_START,
    LMN_COMMAND_KILL,
    LMN_COMMAND_CLEAR /**< forget an attempt that has ended */
};

/** A command that carries no grace period. */
#define LMN_COMMAND_NO_GRACE (-1.0)

/** One command to a worker. */
struct lmn_command {
    enum lmn_command_kind kind;
    const struct lmn_attempt *attempt;
    double grace_s; /**< to save a checkpoint; negative (LMN_COMMAND_NO_GRACE): unset */
};

/** Appends the encoded command. */
void lmn_command_encode(GByteArray *out, const struct lmn_command *command);

#endif
