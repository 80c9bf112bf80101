/** @file
 * Fencing tokens of a partition's owner (state/fencing_token.h). */
#include "state/fencing_token.h"

uint64_t lmn_next_epoch(uint64_t epoch)
{
    uint64_t first_token = epoch + 1;

    return first_token <= LMN_MAX_EPOCH - LMN_TOKEN_RAISES
               ? first_token + LMN_TOKEN_RAISES
               : first_token;
}

/** Whether the token is among those of a claim: its epoch, and the `raises` tokens below.
 */
static bool is_of_claim(uint64_t token, uint64_t epoch, uint64_t raises)
{
    return token <= epoch && epoch - token <= raises;
}

uint64_t lmn_record_first_token(const struct lmn_partition_record *record)
{
    return record->owner_epoch - record->owner_token_raises;
}

bool lmn_record_issued_token(const struct lmn_partition_record *record, uint64_t token)
{
    return is_of_claim(token, record->owner_epoch, record->owner_token_raises);
}

bool lmn_ownership_issued_token(const struct lmn_partition_ownership *ownership,
                                uint64_t token)
{
    return is_of_claim(token, ownership->epoch, ownership->token_raises);
}

static uint64_t first_token(const struct lmn_partition_ownership *ownership)
{
    return ownership->epoch - ownership->token_raises;
}

uint64_t lmn_machine_token(const struct lmn_machine *machine)
{
    /* A token from an earlier ownership is lower than all of this one. */
    return MAX(machine->fencing_token, first_token(&machine->partition->ownership));
}

void lmn_machine_token_reported(struct lmn_machine *machine, uint64_t token)
{
    if (lmn_ownership_issued_token(&machine->partition->ownership, token))
        machine->fencing_token = MAX(machine->fencing_token, token);
}

bool lmn_machine_can_raise_token(const struct lmn_machine *machine)
{
    return lmn_machine_token(machine) < machine->partition->ownership.epoch;
}

void lmn_machine_raise_token(struct lmn_machine *machine)
{
    g_assert(lmn_machine_can_raise_token(machine));
    machine->fencing_token = lmn_machine_token(machine) + 1;
}

bool lmn_attempt_is_fenced(const struct lmn_attempt *attempt, uint64_t token)
{
    return attempt->push_token < token;
}

uint64_t lmn_attempt_number(const struct lmn_partition_ownership *ownership,
                            uint64_t count)
{
    return (first_token(ownership) << LMN_ATTEMPT_COUNT_BITS) + count;
}

bool lmn_attempt_is_of_ownership(uint64_t number,
                                 const struct lmn_partition_ownership *ownership)
{
    return lmn_ownership_issued_token(ownership, number >> LMN_ATTEMPT_COUNT_BITS);
}
