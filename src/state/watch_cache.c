/** @file
 * The watch cache: dispatches changes by the record's kind; see state/watch_cache.h. */
#include "state/watch_cache.h"

#include "protocol/wire.h"
#include "state/job_records.h"
#include "state/member_records.h"
#include "state/ownership_records.h"
#include "state/record_keys.h"

#include <stdlib.h>
#include <string.h>

static void apply_operator_settings(struct lmn_core *core,
                                    const struct lmn_record_change *change)
{
    if (change->revision <= core->cache.operator_settings_revision)
        return;
    lmn_operator_settings_read(&core->cache.operator_settings, change->document,
                               change->value);
    core->cache.operator_settings_revision = change->revision;
}

static void apply_quota(struct lmn_core *core, const struct lmn_record_change *change)
{
    core->owner_ops->quota_changed(core, change->key, change->document, change->value,
                                   change->revision);
}

static void apply_machine_block(struct lmn_core *core, struct lmn_partition *partition,
                                const struct lmn_record_change *change)
{
    unsigned long block_id = strtoul(change->name, NULL, 10);

    core->owner_ops->block_changed(core, partition, block_id, change->document,
                                   change->value, change->revision, change->now);
}

/** Record kinds with keys of the form PREFIX NAME. */
static const struct record_kind {
    const char *prefix;
    void (*apply)(struct lmn_core *core, const struct lmn_record_change *change);
} record_kinds[] = {
    {LMN_KEY_JOB, lmn_job_record_apply},
    {LMN_KEY_QUOTA, apply_quota},
    {LMN_KEY_MEMBER, lmn_member_record_apply},
    {LMN_KEY_SUSPICION, lmn_suspicion_record_apply},
};

/** Record kinds with keys of the form PREFIX PARTITION or PREFIX PARTITION/NAME. */
static const struct partition_record_kind {
    const char *prefix;
    bool has_name;
    void (*apply)(struct lmn_core *core, struct lmn_partition *partition,
                  const struct lmn_record_change *change);
} partition_record_kinds[] = {
    {LMN_KEY_OWNER, false, lmn_owner_record_apply},
    {LMN_KEY_STANDBY, false, lmn_standby_record_apply},
    {LMN_KEY_EPOCH, false, lmn_epoch_record_apply},
    {LMN_KEY_RANGE, true, lmn_range_record_apply},
    {LMN_KEY_MACHINE_BLOCK, true, apply_machine_block},
};

/** Applies a change of a record of the kind. Ignores malformed keys, and partitions
 * beyond the configured number. */
static void apply_to_partition(struct lmn_core *core,
                               const struct partition_record_kind *kind,
                               struct lmn_record_change *change)
{
    const char *number = change->key + strlen(kind->prefix);
    char *rest;
    unsigned long id = strtoul(number, &rest, 10);

    if (rest == number || id >= (unsigned long)core->partition_count)
        return;
    if (*rest != (kind->has_name ? '/' : '\0'))
        return;
    change->name = kind->has_name ? rest + 1 : rest;
    kind->apply(core, &core->partitions[id], change);
}

void lmn_watch_cache_apply(struct lmn_core *core, const char *key,
                           const struct lmn_cbor_document *document,
                           const struct lmn_cbor_value *value, uint64_t revision,
                           struct timespec now)
{
    struct lmn_record_change change = {.key = key,
                                       .name = "",
                                       .document = document,
                                       .value = value,
                                       .revision = revision,
                                       .now = now};

    if (!strcmp(key, LMN_KEY_OPERATOR_SETTINGS)) {
        apply_operator_settings(core, &change);
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(record_kinds); i++)
        if (g_str_has_prefix(key, record_kinds[i].prefix)) {
            change.name = key + strlen(record_kinds[i].prefix);
            record_kinds[i].apply(core, &change);
            return;
        }
    for (size_t i = 0; i < G_N_ELEMENTS(partition_record_kinds); i++)
        if (g_str_has_prefix(key, partition_record_kinds[i].prefix)) {
            apply_to_partition(core, &partition_record_kinds[i], &change);
            return;
        }
}

void lmn_watch_cache_sweep(struct lmn_core *core, struct timespec now)
{
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        lmn_range_records_sweep(core, partition);
        core->owner_ops->blocks_listed(core, partition, now);
        lmn_owner_record_sweep(core, partition, now);
    }
    lmn_member_records_sweep(core, now);
    pthread_cond_broadcast(&core->ownership_changed);
}

/** Whether the partition's owner record contains this controller's present lease. */
static bool is_recorded_as_own(const struct lmn_core *core,
                               const struct lmn_partition *partition)
{
    return partition->record.owner_revision && core->lease.id &&
           partition->record.owner_lease == core->lease.id &&
           !strcmp(partition->record.owner, core->settings->node_name);
}

void lmn_watch_cache_begin_ownerships(struct lmn_core *core, struct timespec now)
{
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        if (!partition->ownership.is_owned && is_recorded_as_own(core, partition))
            core->owner_ops->partition_acquired(core, partition, now);
    }
}
