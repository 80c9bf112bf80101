#include "controller/ownership_report.h"
#include "partition/transfer_target.h"
#include "partition/shutdown.h"
#include "replication/stream.h"
#include "state/core.h"

static const char *name_or_none(const struct lmn_core *c, int rank)
{
    return rank < 0 ? "-" : lmn_member_name(&c->members, rank);
}

/* What is going to happen to it. */
static void move(const struct lmn_core *c, GString *s, const struct lmn_partition *p,
                 int owner, int successor, struct timespec now)
{
    const struct lmn_members *ms = &c->members;
    int holder = p->id % ms->n;

    if (owner < 0 || successor >= 0) {
        g_string_append_printf(s, " move=%s why=\"%s\"", name_or_none(c, successor),
                               owner < 0 ? "nobody owns it" : "its owner is judged");
    } else if (owner != holder) {
        double s_left = lmn_member_readmission_delay_s(ms, holder, now);
        const char *why =
            !ms->v[holder].present                      ? "its usual holder is gone"
            : ms->v[holder].leaving                     ? "its usual holder leaves"
            : lmn_member_owned_partitions(c, owner) < 2 ? "its owner holds no other"
            : lmn_member_owned_partitions(c, holder)    ? "its usual holder has another"
            : s_left > 0 ? "its usual holder has to stay up"
            : lmn_standby_named(c, p, now) != holder
                ? "its usual holder is not in step yet"
                : "due";
        g_string_append_printf(s, " move=%s in_s=%.0f why=\"%s\"",
                               name_or_none(c, holder), s_left, why);
    }
}

char *lmn_ownership_report(struct lmn_core *c)
{
    GString *s = g_string_new(NULL);
    struct timespec now = lmn_now();
    int successor[LMN_MAX_PARTITIONS];

    pthread_mutex_lock(&c->lock);
    lmn_transfer_targets(c, now, successor);
    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *p = &c->parts[i];
        int owner = p->owner_rev ? lmn_member_index(&c->members, p->owner) : -1;
        g_string_append_printf(
            s, "partition %d owner=%s holder=%s standby=%s machines=%u", i,
            name_or_none(c, owner), name_or_none(c, i % c->members.n),
            name_or_none(c, lmn_standby_named(c, p, now)), p->list->len);
        move(c, s, p, owner, successor[i], now);
        g_string_append_c(s, '\n');
    }
    if (c->leaving)
        lmn_shutdown_describe(c, s, now);
    pthread_mutex_unlock(&c->lock);
    return g_string_free(s, FALSE);
}

int lmn_shutdown_handle(struct lmn_core *c, bool leave, char **text)
{
    GString *s = g_string_new(NULL);
    struct timespec now = lmn_now();
    int code = 0;

    pthread_mutex_lock(&c->lock);
    if (leave)
        lmn_shutdown_begin(c, now);
    else if (!lmn_shutdown_cancel(c))
        code = 1;
    if (code)
        g_string_append(s, "it has given everything away and ends: start it again\n");
    else
        lmn_shutdown_describe(c, s, now);
    pthread_mutex_unlock(&c->lock);
    *text = g_string_free(s, FALSE);
    return code;
}
