/** @file
 * Applies a partition's owner, epoch and standby records: see state/ownership_records.h.
 * Owns struct lmn_partition_record. */
#include "state/ownership_records.h"

#include "protocol/wire.h"

#include <string.h>

/** A decoded owner record. */
struct owner_claim {
    char owner[LMN_NAME_SIZE];
    uint64_t lease, epoch;
    uint64_t token_raises; /* tokens of the claim below epoch; 0 in older records */
    uint64_t stream; /* replication stream that the claim was conditional on; 0: none */
};

/** Counts a failure of the member that loses the partition to `new_owner` (empty: no
 * owner). No failure is counted if the owner stays the same, if the previous owner is
 * shutting down and so transfers its partitions, or if the new owner is the partition's
 * home member (partition id modulo member count), which takes it back. */
static void record_owner_failure(struct lmn_core *core,
                                 const struct lmn_partition *partition,
                                 const char *new_owner, struct timespec now)
{
    int loser = *partition->record.owner
                    ? lmn_member_index(&core->members, partition->record.owner)
                    : -1;

    if (loser < 0 || !strcmp(partition->record.owner, new_owner) ||
        core->members.views[loser].is_shutting_down)
        return;
    if (*new_owner && lmn_member_index(&core->members, new_owner) ==
                          partition->id % core->members.count)
        return;
    lmn_member_record_failure(&core->members, loser, now);
}

/** Ends the previous owner's ownership. Must be called before the fields of the
 * partition's record are changed. `new_owner` is empty if the owner record was removed.
 */
static void end_ownership(struct lmn_core *core, struct lmn_partition *partition,
                          const char *new_owner, const char *reason, struct timespec now)
{
    if (partition->ownership.is_owned)
        core->owner_ops->partition_lost(core, partition, reason);
    record_owner_failure(core, partition, new_owner, now);
}

/** Clears the partition's owner after its owner record was removed. Does not change
 * owner_epoch: only one of the two callers resets it. */
static void remove_owner(struct lmn_core *core, struct lmn_partition *partition,
                         struct timespec now)
{
    struct lmn_partition_record *record = &partition->record;

    end_ownership(core, partition, "", "owner record removed", now);
    /* A removal may be applied twice; the second must not clear last_owner. */
    if (record->owner_revision)
        g_strlcpy(record->last_owner, record->owner, sizeof record->last_owner);
    record->owner[0] = '\0';
    record->owner_lease = record->owner_revision = record->owner_stream = 0;
    record->vacant_since = now;
}

static void set_owner(struct lmn_core *core, struct lmn_partition *partition,
                      const struct owner_claim *claim, uint64_t revision,
                      struct timespec now)
{
    struct lmn_partition_record *record = &partition->record;

    end_ownership(core, partition, claim->owner, "taken", now);
    g_strlcpy(record->owner, claim->owner, sizeof record->owner);
    record->owner_lease = claim->lease;
    record->owner_epoch = claim->epoch;
    record->owner_token_raises = claim->token_raises;
    record->owner_stream = claim->stream;
    record->owner_revision = revision;
}

static struct owner_claim read_claim(const struct lmn_record_change *change)
{
    const struct lmn_cbor_document *document = change->document;
    struct owner_claim claim = {.owner = ""};

    lmn_cbor_get_text(lmn_cbor_get(document, change->value, "node"), claim.owner,
                      sizeof claim.owner);
    lmn_cbor_get_uint(lmn_cbor_get(document, change->value, "lease"), &claim.lease);
    lmn_cbor_get_uint(lmn_cbor_get(document, change->value, "term"), &claim.epoch);
    lmn_cbor_get_uint(lmn_cbor_get(document, change->value, "stream"), &claim.stream);
    lmn_cbor_get_uint(lmn_cbor_get(document, change->value, "raises"),
                      &claim.token_raises);
    if (claim.token_raises >= claim.epoch)
        claim.token_raises = 0;
    return claim;
}

void lmn_owner_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                            const struct lmn_record_change *change)
{
    partition->record.owner_generation = core->cache.generation;
    if (partition->record.owner_revision >= change->revision)
        return;
    if (change->value) {
        struct owner_claim claim = read_claim(change);
        set_owner(core, partition, &claim, change->revision, change->now);
    } else {
        remove_owner(core, partition, change->now);
        /* lmn_owner_record_sweep keeps the last owner's epoch instead. The status page
         * shows owner_epoch, so this difference is visible to operators. */
        partition->record.owner_epoch = partition->record.owner_token_raises = 0;
    }
    pthread_cond_broadcast(&core->ownership_changed);
}

void lmn_owner_record_sweep(struct lmn_core *core, struct lmn_partition *partition,
                            struct timespec now)
{
    if (partition->record.owner_generation != core->cache.generation &&
        partition->record.owner_revision)
        remove_owner(core, partition, now);
}

void lmn_epoch_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                            const struct lmn_record_change *change)
{
    (void)core;
    if (change->value && change->revision > partition->record.epoch_revision &&
        lmn_cbor_get_uint(change->value, &partition->record.epoch))
        partition->record.epoch_revision = change->revision;
}

void lmn_standby_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                              const struct lmn_record_change *change)
{
    const struct lmn_cbor_document *document = change->document;
    struct lmn_partition_record *record = &partition->record;

    if (record->standby_revision >= change->revision)
        return;
    record->standby[0] = '\0';
    record->standby_lease = record->standby_stream = record->standby_epoch = 0;
    record->standby_revision = change->revision;
    if (change->value) {
        lmn_cbor_get_text(lmn_cbor_get(document, change->value, "node"), record->standby,
                          sizeof record->standby);
        lmn_cbor_get_uint(lmn_cbor_get(document, change->value, "lease"),
                          &record->standby_lease);
        lmn_cbor_get_uint(lmn_cbor_get(document, change->value, "stream"),
                          &record->standby_stream);
        lmn_cbor_get_uint(lmn_cbor_get(document, change->value, "term"),
                          &record->standby_epoch);
    }
    pthread_cond_signal(&partition->replication.due);
    pthread_cond_broadcast(&core->ownership_changed);
}
