/** @file
 * Encodes commands to workers as CBOR; see state/command.h. */
#include "state/command.h"

#include "job/message_limits.h"
#include "protocol/cbor.h"
#include "protocol/wire.h"

_Static_assert(LMN_MAX_TASKS <= 100000, "LMN_MAX_TASK_INDEX_DIGITS counts its digits");
_Static_assert((int)LMN_MAX_PLAIN_COMMAND_BYTES <= (int)LMN_MAX_MESSAGE_ENTRY_BYTES,
               "each attempt counts as an entry of the largest size");
/* LMN_MAX_PLAIN_COMMAND_BYTES is computed for a start. */
_Static_assert(sizeof WIRE_CLEAR <= sizeof WIRE_START, "a clear is no larger");

static const char *command_name(enum lmn_command_kind kind)
{
    switch (kind) {
    case LMN_COMMAND_START:
        return WIRE_START;
    case LMN_COMMAND_KILL:
        return WIRE_KILL;
    case LMN_COMMAND_CLEAR:
        return WIRE_CLEAR;
    }
    return "";
}

void lmn_command_encode(GByteArray *out, const struct lmn_command *command)
{
    const struct lmn_attempt *attempt = command->attempt;
    bool has_grace = command->grace_s >= 0;
    char task[LMN_TASK_NAME_SIZE];

    g_snprintf(task, sizeof task, "%s/%u", attempt->job_id, attempt->index);
    lmn_cbor_put_map(out, has_grace ? 4 : 3);
    lmn_cbor_put_text(out, WIRE_COMMAND);
    lmn_cbor_put_text(out, command_name(command->kind));
    lmn_cbor_put_text(out, WIRE_TASK);
    lmn_cbor_put_text(out, task);
    lmn_cbor_put_text(out, WIRE_ATTEMPT);
    lmn_cbor_put_uint(out, attempt->number);
    if (has_grace) {
        lmn_cbor_put_text(out, WIRE_GRACE_S);
        lmn_cbor_put_number(out, command->grace_s);
    }
}
