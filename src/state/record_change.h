/** @file
 * A change of one record, from the key-value store's watch or from a listing. */
#ifndef LMN_STATE_RECORD_CHANGE_H
#define LMN_STATE_RECORD_CHANGE_H

#include "protocol/cbor.h"

#include <stdint.h>
#include <time.h>

/** A change that is being applied. All pointers are owned by the caller and valid only
 * during the call. */
struct lmn_record_change {
    const char *key; /**< the complete key (state/record_keys.h) */
    /** The key without its prefix; for the record of a range or machine block also
     * without the partition's number and slash. */
    const char *name;
    const struct lmn_cbor_document *document; /**< holds the value */
    const struct lmn_cbor_value *value;       /**< NULL: the record was removed */
    uint64_t revision;                        /**< store revision created by the change */
    struct timespec now;
};

#endif
