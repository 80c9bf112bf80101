#include "controller/ownership_report.h"
#include "partition/transfer_target.h"
#include "partition/shutdown.h"
#include "replication/replica_choice.h"
#include "state/core.h"

static const char *name_or_none(const struct lmn_core *core, int member_index)
{
    return member_index < 0 ? "-" : lmn_member_name(&core->members, member_index);
}

/* What is going to happen to it. */
static void move(const struct lmn_core *core, GString *text,
                 const struct lmn_partition *partition, int owner, int successor,
                 struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int holder = partition->id % members->count;

    if (owner < 0 || successor >= 0) {
        g_string_append_printf(text, " move=%s why=\"%s\"", name_or_none(core, successor),
                               owner < 0 ? "nobody owns it" : "its owner is judged");
    } else if (owner != holder) {
        double s_left = lmn_member_readmission_delay_s(members, holder, now);
        const char *why =
            !members->views[holder].is_present             ? "its usual holder is gone"
            : members->views[holder].is_shutting_down      ? "its usual holder leaves"
            : lmn_member_owned_partitions(core, owner) < 2 ? "its owner holds no other"
            : lmn_member_owned_partitions(core, holder) ? "its usual holder has another"
            : s_left > 0 ? "its usual holder has to stay up"
            : lmn_standby_in_sync(core, partition, now) != holder
                ? "its usual holder is not in step yet"
                : "due";
        g_string_append_printf(text, " move=%s in_s=%.0f why=\"%s\"",
                               name_or_none(core, holder), s_left, why);
    }
}

char *lmn_ownership_report(struct lmn_core *core)
{
    GString *text = g_string_new(NULL);
    struct timespec now = lmn_now();
    int successor[LMN_MAX_PARTITIONS];

    pthread_mutex_lock(&core->lock);
    lmn_transfer_targets(core, now, successor);
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        int owner = partition->record.owner_revision
                        ? lmn_member_index(&core->members, partition->record.owner)
                        : -1;
        g_string_append_printf(
            text, "partition %d owner=%s holder=%s standby=%s machines=%u", i,
            name_or_none(core, owner), name_or_none(core, i % core->members.count),
            name_or_none(core, lmn_standby_in_sync(core, partition, now)),
            partition->machine_list->len);
        move(core, text, partition, owner, successor[i], now);
        g_string_append_c(text, '\n');
    }
    if (core->shutdown.is_requested)
        lmn_shutdown_describe(core, text, now);
    pthread_mutex_unlock(&core->lock);
    return g_string_free(text, FALSE);
}

int lmn_shutdown_handle(struct lmn_core *core, bool leave, char **text)
{
    GString *s = g_string_new(NULL);
    struct timespec now = lmn_now();
    int code = 0;

    pthread_mutex_lock(&core->lock);
    if (leave)
        lmn_shutdown_begin(core, now);
    else if (!lmn_shutdown_cancel(core))
        code = 1;
    if (code)
        g_string_append(s, "it has given everything away and ends: start it again\n");
    else
        lmn_shutdown_describe(core, s, now);
    pthread_mutex_unlock(&core->lock);
    *text = g_string_free(s, FALSE);
    return code;
}
