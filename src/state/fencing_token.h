/** @file
 * Fencing tokens of a partition's owner.
 *
 * A worker carries out a call (WIRE_PATH_COMMANDS) whenever it arrives, also the same
 * call again, as long as the call's token is not lower than the highest one that the
 * worker has seen and its agent incarnation lasts. A call that was answered may still
 * arrive again. So:
 *
 * **No worker is told to clear an attempt unless the message with the clear carries a
 * higher token than every call that carried the attempt's start.**
 *
 * A claim of a partition reserves several tokens, of which the highest is the epoch. The
 * owner uses the lowest one first, and raises the token at one machine with the message
 * that clears attempts there. The next claim's tokens are higher than all of these.
 *
 * Pure functions of the partition and the machine; the caller holds the core's lock. */
#ifndef LMN_STATE_FENCING_TOKEN_H
#define LMN_STATE_FENCING_TOKEN_H

#include "state/partition.h"

enum {
    /** Low bits of an attempt's number, which count the owner's starts. The bits above
     * are the lowest token of the owner's claim; a larger count goes on in those of its
     * other tokens, which no other owner uses. */
    LMN_ATTEMPT_COUNT_BITS = 24,
    /** How often an owner can raise the token at each machine. */
    LMN_TOKEN_RAISES = (1 << 20) - 1
};

/** The highest epoch; attempt numbers have no bits for higher ones. */
#define LMN_MAX_EPOCH ((UINT64_C(1) << (64 - LMN_ATTEMPT_COUNT_BITS)) - 1)

/** The epoch of the next claim. Its tokens are those above `epoch`, up to and including
 * the result. */
uint64_t lmn_next_epoch(uint64_t epoch);

/** The lowest token of the claim that the partition's record shows. */
uint64_t lmn_record_first_token(const struct lmn_partition_record *record);

/** Whether the token is one of the claim that the partition's record shows. */
bool lmn_record_issued_token(const struct lmn_partition_record *record, uint64_t token);

/** Whether this ownership has issued the token, or may. */
bool lmn_ownership_issued_token(const struct lmn_partition_ownership *ownership,
                                uint64_t token);

/** The token for messages to the machine: the highest one that was sent to it. */
uint64_t lmn_machine_token(const struct lmn_machine *machine);

/** Notes the highest token that the worker has seen, if this ownership issued it. */
void lmn_machine_token_reported(struct lmn_machine *machine, uint64_t token);

/** Whether the token can be raised at the machine. If not, no start may be pushed to it:
 * the attempt could never be cleared. */
bool lmn_machine_can_raise_token(const struct lmn_machine *machine);

/** Raises the token for messages to the machine. Only for a message that can't overtake
 * another: the worker refuses whatever has a lower token and arrives later. So no push
 * may be in flight, and the message is the reply to a heartbeat. */
void lmn_machine_raise_token(struct lmn_machine *machine);

/** Whether a worker that has seen the token refuses each call that contains the attempt's
 * start: the start cannot be carried out any more. */
bool lmn_attempt_is_fenced(const struct lmn_attempt *attempt, uint64_t token);

/** The number of the ownership's attempt after `count` others. Numbers are unique without
 * a write to the key-value store, and rise. */
uint64_t lmn_attempt_number(const struct lmn_partition_ownership *ownership,
                            uint64_t count);

/** Whether the attempt with this number was started in the ownership. */
bool lmn_attempt_is_of_ownership(uint64_t number,
                                 const struct lmn_partition_ownership *ownership);

#endif
