/** @file
 * Applies member and suspicion records to the membership: see state/member_records.h.
 * Decisions that follow from a change are made in membership/. */
#include "state/member_records.h"

#include "protocol/wire.h"
#include "util/log.h"

/** Reads a member's record. It is either the lease's id alone or, from members that
 * announce their shutdown, a map with the lease's id and the shutdown flag. */
static void read_member(const struct lmn_record_change *change, uint64_t *lease,
                        bool *is_shutting_down)
{
    const struct lmn_cbor_value *value = change->value;

    if (value && value->type == LMN_CBOR_MAP) {
        lmn_cbor_get_uint(lmn_cbor_get(change->document, value, "lease"), lease);
        lmn_cbor_get_bool(lmn_cbor_get(change->document, value, "leaving"),
                          is_shutting_down);
    } else if (value) {
        lmn_cbor_get_uint(value, lease);
    }
}

/** Logs the change. Must be called before the change is applied to the member's view. */
static void log_member_change(const struct lmn_core *core, int member_index,
                              const struct lmn_record_change *change)
{
    const struct lmn_member_view *member = &core->members.views[member_index];
    const char *name = change->name;
    uint64_t revision = change->revision;

    if (change->value && lmn_member_is_suspected(&core->members, member_index))
        lmn_info("member_refuted member=%s incarnation=%" G_GUINT64_FORMAT
                 " was=%" G_GUINT64_FORMAT,
                 name, revision, member->incarnation);
    else if (change->value && !member->is_present && member->failures_declared)
        lmn_info("member_rejoined member=%s incarnation=%" G_GUINT64_FORMAT
                 " failures=%u",
                 name, revision, member->failures_declared);
    else if (change->value && !member->is_present)
        lmn_info("member_joined member=%s incarnation=%" G_GUINT64_FORMAT, name,
                 revision);
    else if (!change->value && member->is_present)
        lmn_info("member_left member=%s incarnation=%" G_GUINT64_FORMAT, name,
                 member->incarnation);
}

void lmn_member_record_apply(struct lmn_core *core,
                             const struct lmn_record_change *change)
{
    int member_index = lmn_member_index(&core->members, change->name);
    bool is_shutting_down = false;
    uint64_t lease = 0;

    if (member_index < 0)
        return;
    struct lmn_member_view *member = &core->members.views[member_index];
    member->generation = core->cache.generation;
    if (member->revision >= change->revision)
        return;
    member->revision = change->revision;
    read_member(change, &lease, &is_shutting_down);
    if (is_shutting_down && !member->is_shutting_down)
        lmn_info("member_shutting_down member=%s incarnation=%" G_GUINT64_FORMAT,
                 change->name, change->revision);
    member->is_shutting_down = is_shutting_down;
    log_member_change(core, member_index, change);
    lmn_member_apply_record(&core->members, member_index,
                            change->value ? change->revision : 0, lease, change->now);
    pthread_cond_broadcast(&core->ownership_changed);
}

void lmn_suspicion_record_apply(struct lmn_core *core,
                                const struct lmn_record_change *change)
{
    const struct lmn_cbor_document *document = change->document;
    int member_index = lmn_member_index(&core->members, change->name);
    char suspected_by[LMN_NAME_SIZE] = "";
    uint64_t incarnation = 0, cause = 0;

    if (member_index < 0)
        return;
    struct lmn_member_view *member = &core->members.views[member_index];
    member->suspicion_generation = core->cache.generation;
    if (member->suspicion_seen_revision >= change->revision)
        return;
    member->suspicion_seen_revision = change->revision;
    if (change->value) {
        lmn_cbor_get_uint(lmn_cbor_get(document, change->value, "incarnation"),
                          &incarnation);
        lmn_cbor_get_uint(lmn_cbor_get(document, change->value, "why"), &cause);
        lmn_cbor_get_text(lmn_cbor_get(document, change->value, "by"), suspected_by,
                          sizeof suspected_by);
    }
    lmn_member_apply_suspicion(
        &core->members, member_index, change->value ? change->revision : 0, incarnation,
        suspected_by, (enum lmn_suspicion_cause)MIN(cause, LMN_SUSPICION_CAUSE_COUNT),
        change->now);
    if (lmn_member_is_suspected(&core->members, member_index))
        lmn_info("member_suspected member=%s incarnation=%" G_GUINT64_FORMAT
                 " by=%s why=%s",
                 change->name, incarnation, suspected_by,
                 lmn_suspicion_cause_name(member->suspicion_cause));
    pthread_cond_broadcast(&core->ownership_changed);
    pthread_cond_broadcast(&core->probe_due);
}

void lmn_member_records_sweep(struct lmn_core *core, struct timespec now)
{
    for (int i = 0; i < core->members.count; i++) {
        struct lmn_member_view *member = &core->members.views[i];
        if (member->generation != core->cache.generation && member->is_present)
            lmn_member_apply_record(&core->members, i, 0, 0, now);
        if (member->suspicion_generation != core->cache.generation &&
            member->suspected_incarnation)
            lmn_member_apply_suspicion(&core->members, i, 0, 0, "",
                                       LMN_CAUSE_UNRESPONSIVE, now);
    }
}
