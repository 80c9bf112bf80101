/**
 * @file
 * Sets of tasks of a range, one bit for each task; used for the tasks that are done. The
 * caller owns the bytes and keeps the number of tasks; a set of `count` tasks takes
 * (count + 7) / 8 bytes. No locking.
 *
 * In messages and stored records a set is text: two hexadecimal digits for each byte in
 * order, lowest tasks first, without trailing zero bytes.
 */
#ifndef LMN_JOB_BITSET_H
#define LMN_JOB_BITSET_H

#include "protocol/cbor.h"

#include <stdbool.h>
#include <stdint.h>

/** Whether the set contains the task. @param index must be below the number of tasks. */
static inline bool lmn_bitset_get(const uint8_t *bits, uint32_t index)
{
    return bits[index / 8] >> (index % 8) & 1;
}

/** Adds a task. @param index must be below the number of tasks. */
static inline void lmn_bitset_set(uint8_t *bits, uint32_t index)
{
    bits[index / 8] |= (uint8_t)(1u << (index % 8));
}

/** Appends the set of `count` tasks to `buffer` as CBOR text. */
void lmn_bitset_write(GByteArray *buffer, const uint8_t *bits, uint32_t count);

/**
 * Decodes a set of `count` tasks into `bits`.
 * @param text NULL: the empty set.
 * @return 0, or -1 if the text is malformed or contains a task with an index of `count`
 * or more; the contents of `bits` are then undefined.
 */
int lmn_bitset_read(const struct lmn_cbor_value *text, uint8_t *bits, uint32_t count);

/** @return the number of tasks in a set for `count` tasks. */
uint32_t lmn_bitset_count(const uint8_t *bits, uint32_t count);

#endif
