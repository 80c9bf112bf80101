/** @file
 * One change of a record, as the key-value store's watch or a listing tells it. */
#ifndef LMN_STATE_RECORD_CHANGE_H
#define LMN_STATE_RECORD_CHANGE_H

#include "protocol/cbor.h"

#include <stdint.h>
#include <time.h>

/** A change that is being applied. Everything that it points at belongs to the caller and
 * lasts for the call only. */
struct lmn_record_change {
    const char *key; /**< whole (state/record_keys.h) */
    /** The part of the key that names what the record belongs to: behind the prefix or,
     * for a record of a partition, behind the partition's number and a slash. */
    const char *name;
    const struct lmn_cbor_document *document; /**< holds the value */
    const struct lmn_cbor_value *value;       /**< NULL: the record was removed */
    uint64_t revision;                        /**< of the store, made by the change */
    struct timespec now;
};

#endif
