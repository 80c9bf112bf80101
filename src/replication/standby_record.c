/** @file
 * Reads and writes the record of the standby that is in sync
 * (replication/standby_record.h). */
#include "replication/standby_record.h"

#include <string.h>

enum { KEY_SIZE = 32 };

/** Returns the record's value. The keys and their order are the stored format, in which
 * the epoch is called "term". */
static GByteArray *encode_record(const struct lmn_core *core,
                                 const struct lmn_partition *partition,
                                 bool names_standby)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;
    const char *member =
        names_standby ? lmn_member_name(&core->members, stream->standby_index) : "";
    GByteArray *value = g_byte_array_new();

    lmn_cbor_put_map(value, 4);
    lmn_cbor_put_text(value, "node");
    lmn_cbor_put_text(value, member);
    lmn_cbor_put_text(value, "lease");
    lmn_cbor_put_uint(value, names_standby ? stream->standby_lease : 0);
    lmn_cbor_put_text(value, "stream");
    lmn_cbor_put_uint(value, names_standby ? stream->id : 0);
    lmn_cbor_put_text(value, "term");
    lmn_cbor_put_uint(value, partition->ownership.epoch);
    return value;
}

struct lmn_txn *lmn_standby_record_write(const struct lmn_core *core,
                                         const struct lmn_partition *partition,
                                         bool names_standby)
{
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    GByteArray *value = encode_record(core, partition, names_standby);
    char key[KEY_SIZE];

    g_snprintf(key, sizeof key, "o/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->ownership.revision);
    g_snprintf(key, sizeof key, "b/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->record.standby_revision);
    lmn_txn_put(txn, key, value, 0);
    return txn;
}

bool lmn_standby_record_names_stream(const struct lmn_partition *partition)
{
    return partition->record.standby_stream == partition->replication.stream.id &&
           partition->record.standby_epoch == partition->ownership.epoch;
}

uint64_t lmn_standby_require_in_sync(const struct lmn_partition *partition,
                                     const char *member, struct lmn_txn *txn)
{
    char key[KEY_SIZE];

    if (!partition->record.standby_stream ||
        partition->record.standby_epoch != partition->record.epoch ||
        strcmp(partition->record.standby, member))
        return 0;
    g_snprintf(key, sizeof key, "b/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->record.standby_revision);
    return partition->record.standby_stream;
}
