/* Whom to ask next, and what to tell along. */
#include "membership/membership.h"

#include <string.h>

/* As SWIM (A. Das and others, 2002): one at a time, in an order that is shuffled each
 * round, so that each is asked once in a round; when one does not answer, up to three
 * others are asked about it. */
enum { HELPERS = 3 };

/* An answer is given up when it is this unlikely to come. */
static const double GIVE_UP_PHI = 8;

static double patience(const struct lmn_members *members,
                       const struct lmn_member_view *member)
{
    double seconds = lmn_phi_accrual_timeout_s(&member->reply_times, GIVE_UP_PHI);

    return CLAMP(seconds * (1 + members->local_health), members->timeouts.probe_timeout_s,
                 2 * members->timeouts.probe_timeout_s);
}

static bool ask(struct lmn_members *members, int member_index, int about,
                struct lmn_probe *probe)
{
    probe->member = member_index;
    probe->about = about;
    probe->timeout_s = patience(members, &members->views[member_index]);
    members->counters.probes_sent++;
    return true;
}

/* One that has not answered, and is not dealt with yet; its turn of helpers is open. */
static bool wants_help(const struct lmn_members *members, int member_index,
                       struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];

    return member_index != members->self && member->is_present &&
           member->unanswered_since.tv_sec && !member->is_declared_failed &&
           !lmn_time_before(now, member->next_indirect_probe_at);
}

static int helper(const struct lmn_members *members, int about, GRand *rng)
{
    int from = g_rand_int_range(rng, 0, members->count);

    for (int k = 0; k < members->count; k++) {
        int i = (from + k) % members->count;
        const struct lmn_member_view *member = &members->views[i];
        if (i != members->self && i != about && member->is_present &&
            !member->unanswered_since.tv_sec)
            return i;
    }
    return -1;
}

/* Those that have not answered are asked again, */
static bool once_more(struct lmn_members *members, struct timespec now,
                      struct lmn_probe *probe)
{
    for (int k = 0; k < members->count; k++) {
        int i = (members->indirect_cursor + k) % members->count;
        struct lmn_member_view *member = &members->views[i];
        if (i == members->self || !member->probe_next || !member->is_present ||
            lmn_time_before(now, member->next_probe_at))
            continue;
        member->probe_next = false;
        return ask(members, i, -1, probe);
    }
    return false;
}

/* and others are asked about them. */
static bool elsewhere(struct lmn_members *members, GRand *rng, struct timespec now,
                      struct lmn_probe *probe)
{
    for (int k = 0; k < members->count; k++) {
        int i = (members->indirect_cursor + k) % members->count;
        struct lmn_member_view *member = &members->views[i];
        if (!wants_help(members, i, now))
            continue;
        int h = helper(members, i, rng);
        if (++member->indirect_probes >=
                MIN(HELPERS, (unsigned)MAX(members->count - 2, 0)) ||
            h < 0) {
            member->indirect_probes = 0;
            member->next_indirect_probe_at =
                lmn_time_add(now, members->timeouts.probe_interval_s / 2);
        }
        if (h >= 0)
            return ask(members, h, i, probe);
    }
    return false;
}

/* In turns: when a third of the members died at once, those first in order were asked
 * about all the time, and nobody spoke of the last. */
static bool beyond_the_round(struct lmn_members *members, GRand *rng, struct timespec now,
                             struct lmn_probe *probe)
{
    members->indirect_cursor = (members->indirect_cursor + 1) % members->count;
    if (members->indirect_cursor % 2)
        return once_more(members, now, probe) || elsewhere(members, rng, now, probe);
    return elsewhere(members, rng, now, probe) || once_more(members, now, probe);
}

static bool of_the_round(struct lmn_members *members, GRand *rng, struct lmn_probe *probe)
{
    for (int tries = 0; tries < 2 * members->count; tries++) {
        if (members->probe_position >= members->count) {
            members->probe_position = 0;
            for (int i = 0; i < members->count; i++) {
                int k = g_rand_int_range(rng, i, members->count),
                    x = members->probe_order[i];
                members->probe_order[i] = members->probe_order[k];
                members->probe_order[k] = x;
            }
        }
        int member_index = members->probe_order[members->probe_position++];
        /* Those without an answer are asked beyond the round. */
        if (member_index != members->self && members->views[member_index].is_present &&
            !members->views[member_index].unanswered_since.tv_sec)
            return ask(members, member_index, -1, probe);
    }
    return false;
}

bool lmn_member_next_probe(struct lmn_members *members, GRand *rng, struct timespec now,
                           struct lmn_probe *probe, double *wait)
{
    if (!lmn_time_before(now, members->next_extra_probe_at)) {
        /* Four to an interval at most, whatever is the matter. */
        if (beyond_the_round(members, rng, now, probe)) {
            members->next_extra_probe_at =
                lmn_time_add(now, members->timeouts.probe_interval_s / 4);
            return true;
        }
    }
    if (!lmn_time_before(now, members->next_probe_at)) {
        members->next_probe_at = lmn_time_add(now, members->timeouts.probe_interval_s);
        if (of_the_round(members, rng, probe))
            return true;
    }
    *wait = CLAMP(lmn_time_diff_s(members->next_probe_at, now), 0.01,
                  members->timeouts.probe_interval_s / 4);
    return false;
}

unsigned lmn_member_redirected_workers(const struct lmn_members *members,
                                       int member_index, struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];
    unsigned n = 0;

    /* A worker comes back at its next report at the latest. */
    for (guint i = 0; i < LMN_MAX_REDIRECTED_WORKERS; i++)
        n += member->redirected_workers[i].at.tv_sec &&
             lmn_time_diff_s(now, member->redirected_workers[i].at) <
                 members->timeouts.heartbeat_overdue_s + 5;
    return n;
}

static void state_of(const struct lmn_members *members, int of, struct timespec now,
                     struct lmn_gossip_statement *statement)
{
    const struct lmn_member_view *member = &members->views[of];

    *statement = (struct lmn_gossip_statement){
        .member = of,
        .incarnation = member->incarnation,
        .last_contact_age_s =
            member->ever_contacted ? lmn_time_diff_s(now, member->last_contact_at) : -1,
        .unanswered_age_s = member->unanswered_since.tv_sec
                                ? lmn_time_diff_s(now, member->unanswered_since)
                                : 0,
        .redirected_workers = lmn_member_redirected_workers(members, of, now),
    };
}

unsigned lmn_member_gossip(struct lmn_members *members, int to, int about,
                           struct timespec now, struct lmn_gossip_statement *out)
{
    unsigned n = 0;

    if (to >= 0 && to != members->self)
        state_of(members, to, now, &out[n++]);
    if (about >= 0 && about != members->self && about != to)
        state_of(members, about, now, &out[n++]);
    members->gossip_cursor = (members->gossip_cursor + 1) % members->count;
    for (int k = 0; k < members->count && n < LMN_MAX_GOSSIP_STATEMENTS; k++) {
        int i = (members->gossip_cursor + k) % members->count;
        const struct lmn_member_view *member = &members->views[i];
        if (i == to || i == about || i == members->self || !member->is_present)
            continue;
        state_of(members, i, now, &out[n]);
        n += out[n].unanswered_age_s > 0 || out[n].redirected_workers > 0 ||
             lmn_member_is_suspected(members, i);
    }
    return n;
}
