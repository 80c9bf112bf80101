/** @file
 * The ownership report. Its keys and texts must not change, because operators and their
 * scripts read them. */
#include "controller/ownership_report.h"
#include "partition/transfer_target.h"
#include "partition/shutdown.h"
#include "state/core.h"
#include "replication/replica_choice.h"

static const char *name_or_none(const struct lmn_core *core, int member_index)
{
    return member_index < 0 ? "-" : lmn_member_name(&core->members, member_index);
}

/** The reason why a partition has not been transferred back to its preferred owner: the
 * first condition that does not hold, in the order in which they are checked. */
static const char *transfer_back_reason(const struct lmn_core *core,
                                        const struct lmn_partition *partition, int owner,
                                        int preferred_owner, struct timespec now)
{
    const struct lmn_members *members = &core->members;
    const struct lmn_member_view *view = &members->views[preferred_owner];

    if (!view->is_present)
        return "its usual holder is gone";
    if (view->is_shutting_down)
        return "its usual holder leaves";
    if (lmn_member_owned_partitions(core, owner) < 2)
        return "its owner holds no other";
    if (lmn_member_owned_partitions(core, preferred_owner))
        return "its usual holder has another";
    if (lmn_member_readmission_delay_s(members, preferred_owner, now) > 0)
        return "its usual holder has to stay up";
    if (lmn_standby_in_sync(core, partition, now) != preferred_owner)
        return "its usual holder is not in step yet";
    return "due";
}

/** Appends to which member the partition is to be transferred, if to any.
 * @param owner member index; -1: none
 * @param target member index of the next owner according to lmn_orphan_claimants; -1:
 * none */
static void append_transfer(const struct lmn_core *core, GString *text,
                            const struct lmn_partition *partition, int owner, int target,
                            struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int preferred_owner = partition->id % members->count;

    if (owner < 0 || target >= 0)
        g_string_append_printf(text, " move=%s why=\"%s\"", name_or_none(core, target),
                               owner < 0 ? "nobody owns it" : "its owner is judged");
    else if (owner != preferred_owner)
        g_string_append_printf(
            text, " move=%s in_s=%.0f why=\"%s\"", name_or_none(core, preferred_owner),
            lmn_member_readmission_delay_s(members, preferred_owner, now),
            transfer_back_reason(core, partition, owner, preferred_owner, now));
}

static void append_partition(const struct lmn_core *core, GString *text,
                             const struct lmn_partition *partition, int target,
                             struct timespec now)
{
    int owner = partition->record.owner_revision
                    ? lmn_member_index(&core->members, partition->record.owner)
                    : -1;

    g_string_append_printf(text, "partition %d owner=%s holder=%s standby=%s machines=%u",
                           partition->id, name_or_none(core, owner),
                           name_or_none(core, partition->id % core->members.count),
                           name_or_none(core, lmn_standby_in_sync(core, partition, now)),
                           partition->machine_list->len);
    append_transfer(core, text, partition, owner, target, now);
    g_string_append_c(text, '\n');
}

char *lmn_ownership_report(struct lmn_core *core)
{
    GString *text = g_string_new(NULL);
    struct timespec now = lmn_now();
    int targets[LMN_MAX_PARTITIONS];

    pthread_mutex_lock(&core->lock);
    lmn_orphan_claimants(core, now, targets);
    for (int i = 0; i < core->partition_count; i++)
        append_partition(core, text, &core->partitions[i], targets[i], now);
    if (core->shutdown.is_requested)
        lmn_shutdown_describe(core, text, now);
    pthread_mutex_unlock(&core->lock);
    return g_string_free(text, FALSE);
}

int lmn_shutdown_handle(struct lmn_core *core, bool shut_down, char **text)
{
    GString *description = g_string_new(NULL);
    struct timespec now = lmn_now();
    bool is_too_late = false;

    pthread_mutex_lock(&core->lock);
    if (shut_down)
        lmn_shutdown_begin(core, now);
    else
        is_too_late = !lmn_shutdown_cancel(core);
    if (is_too_late)
        g_string_append(description,
                        "it has given everything away and ends: start it again\n");
    else
        lmn_shutdown_describe(core, description, now);
    pthread_mutex_unlock(&core->lock);
    *text = g_string_free(description, FALSE);
    return is_too_late;
}
