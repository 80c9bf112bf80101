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
    double seconds = lmn_phi_accrual_timeout_s(&member->answers, GIVE_UP_PHI);

    return CLAMP(seconds * (1 + members->health), members->t.patience_s,
                 2 * members->t.patience_s);
}

static bool ask(struct lmn_members *members, int member_index, int about,
                struct lmn_probe *probe)
{
    probe->rank = member_index;
    probe->about = about;
    probe->patience_s = patience(members, &members->v[member_index]);
    members->count.asked++;
    return true;
}

/* One that has not answered, and is not dealt with yet; its turn of helpers is open. */
static bool wants_help(const struct lmn_members *members, int member_index,
                       struct timespec now)
{
    const struct lmn_member_view *member = &members->v[member_index];

    return member_index != members->me && member->present && member->unanswered.tv_sec &&
           !member->judged && !lmn_time_before(now, member->help);
}

static int helper(const struct lmn_members *members, int about, GRand *rng)
{
    int from = g_rand_int_range(rng, 0, members->n);

    for (int k = 0; k < members->n; k++) {
        int i = (from + k) % members->n;
        const struct lmn_member_view *member = &members->v[i];
        if (i != members->me && i != about && member->present &&
            !member->unanswered.tv_sec)
            return i;
    }
    return -1;
}

/* Those that have not answered are asked again, */
static bool once_more(struct lmn_members *members, struct timespec now,
                      struct lmn_probe *probe)
{
    for (int k = 0; k < members->n; k++) {
        int i = (members->turn + k) % members->n;
        struct lmn_member_view *member = &members->v[i];
        if (i == members->me || !member->soon || !member->present ||
            lmn_time_before(now, member->next))
            continue;
        member->soon = false;
        return ask(members, i, -1, probe);
    }
    return false;
}

/* and others are asked about them. */
static bool elsewhere(struct lmn_members *members, GRand *rng, struct timespec now,
                      struct lmn_probe *probe)
{
    for (int k = 0; k < members->n; k++) {
        int i = (members->turn + k) % members->n;
        struct lmn_member_view *member = &members->v[i];
        if (!wants_help(members, i, now))
            continue;
        int h = helper(members, i, rng);
        if (++member->helped >= MIN(HELPERS, (unsigned)MAX(members->n - 2, 0)) || h < 0) {
            member->helped = 0;
            member->help = lmn_time_add(now, members->t.every_s / 2);
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
    members->turn = (members->turn + 1) % members->n;
    if (members->turn % 2)
        return once_more(members, now, probe) || elsewhere(members, rng, now, probe);
    return elsewhere(members, rng, now, probe) || once_more(members, now, probe);
}

static bool of_the_round(struct lmn_members *members, GRand *rng, struct lmn_probe *probe)
{
    for (int tries = 0; tries < 2 * members->n; tries++) {
        if (members->at >= members->n) {
            members->at = 0;
            for (int i = 0; i < members->n; i++) {
                int k = g_rand_int_range(rng, i, members->n), x = members->order[i];
                members->order[i] = members->order[k];
                members->order[k] = x;
            }
        }
        int member_index = members->order[members->at++];
        /* Those without an answer are asked beyond the round. */
        if (member_index != members->me && members->v[member_index].present &&
            !members->v[member_index].unanswered.tv_sec)
            return ask(members, member_index, -1, probe);
    }
    return false;
}

bool lmn_member_next_probe(struct lmn_members *members, GRand *rng, struct timespec now,
                           struct lmn_probe *probe, double *wait)
{
    if (!lmn_time_before(now, members->beyond)) {
        /* Four to an interval at most, whatever is the matter. */
        if (beyond_the_round(members, rng, now, probe)) {
            members->beyond = lmn_time_add(now, members->t.every_s / 4);
            return true;
        }
    }
    if (!lmn_time_before(now, members->next)) {
        members->next = lmn_time_add(now, members->t.every_s);
        if (of_the_round(members, rng, probe))
            return true;
    }
    *wait = CLAMP(lmn_time_diff_s(members->next, now), 0.01, members->t.every_s / 4);
    return false;
}

unsigned lmn_member_redirected_workers(const struct lmn_members *members,
                                       int member_index, struct timespec now)
{
    const struct lmn_member_view *member = &members->v[member_index];
    unsigned n = 0;

    /* A worker comes back at its next report at the latest. */
    for (guint i = 0; i < LMN_MAX_REDIRECTED_WORKERS; i++)
        n += member->visitors[i].at.tv_sec &&
             lmn_time_diff_s(now, member->visitors[i].at) < members->t.overdue_s + 5;
    return n;
}

static void state_of(const struct lmn_members *members, int of, struct timespec now,
                     struct lmn_gossip_statement *statement)
{
    const struct lmn_member_view *member = &members->v[of];

    *statement = (struct lmn_gossip_statement){
        .of = of,
        .inc = member->inc,
        .heard_s = member->ever ? lmn_time_diff_s(now, member->heard) : -1,
        .unanswered_s =
            member->unanswered.tv_sec ? lmn_time_diff_s(now, member->unanswered) : 0,
        .visitors = lmn_member_redirected_workers(members, of, now),
    };
}

unsigned lmn_member_gossip(struct lmn_members *members, int to, int about,
                           struct timespec now, struct lmn_gossip_statement *out)
{
    unsigned n = 0;

    if (to >= 0 && to != members->me)
        state_of(members, to, now, &out[n++]);
    if (about >= 0 && about != members->me && about != to)
        state_of(members, about, now, &out[n++]);
    members->told = (members->told + 1) % members->n;
    for (int k = 0; k < members->n && n < LMN_MAX_GOSSIP_STATEMENTS; k++) {
        int i = (members->told + k) % members->n;
        const struct lmn_member_view *member = &members->v[i];
        if (i == to || i == about || i == members->me || !member->present)
            continue;
        state_of(members, i, now, &out[n]);
        n += out[n].unanswered_s > 0 || out[n].visitors > 0 ||
             lmn_member_is_suspected(members, i);
    }
    return n;
}
