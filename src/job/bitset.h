/**
 * @file
 * Sets of tasks, one bit for each task of a range: used for the tasks that are done. The
 * caller owns the bytes and knows the number of tasks; a set of `count` tasks takes
 * (count + 7) / 8 bytes. Nothing is locked here.
 *
 * In messages and stored records a set is text: two hexadecimal digits for each byte, the
 * byte of the first tasks first, without the zero bytes at the end.
 */
#ifndef LMN_JOB_BITSET_H
#define LMN_JOB_BITSET_H

#include "protocol/cbor.h"

#include <stdbool.h>
#include <stdint.h>

/** Whether the set contains the task. @param index must be below the set's size. */
static inline bool lmn_bitset_get(const uint8_t *bits, uint32_t index)
{
    return bits[index / 8] >> (index % 8) & 1;
}

/** Adds a task. @param index must be below the set's size. */
static inline void lmn_bitset_set(uint8_t *bits, uint32_t index)
{
    bits[index / 8] |= (uint8_t)(1u << (index % 8));
}

/** Appends the set of `count` tasks as text. */
void lmn_bitset_write(GByteArray *buffer, const uint8_t *bits, uint32_t count);

/**
 * Reads the text of a set into `bits`, which has room for `count` tasks.
 * @param text NULL stands for the empty set.
 * @return 0, or -1 if it is no such text or contains a task beyond `count`; the bits are
 * then not to be used.
 */
int lmn_bitset_read(const struct lmn_cbor_value *text, uint8_t *bits, uint32_t count);

/** @return how many of `count` tasks the set contains. */
uint32_t lmn_bitset_count(const uint8_t *bits, uint32_t count);

#endif
