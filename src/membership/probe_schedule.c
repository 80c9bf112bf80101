/** @file
 * Chooses the next probe and the gossip that is sent with it
 * (membership/membership.h).
 *
 * As in SWIM (A. Das and others, 2002), members are probed one at a time, each once a
 * round, in an order that is shuffled for each round. When a member does not reply, up to
 * three others are asked to probe it (indirect probes). */
#include "membership/membership.h"

#include <string.h>

/** Maximum number of other members that are asked to probe a member in one series. */
enum { MAX_INDIRECT_PROBES = 3 };
/** Maximum number of probes outside the round in one probe interval. */
enum { EXTRA_PROBES_PER_INTERVAL = 4 };
/** A probe times out when phi reaches this value. */
static const double TIMEOUT_PHI = 8;
/** Lower bound of the wait for the round's next probe. */
static const double MIN_WAIT_S = 0.01;
/** For how long beyond heartbeat_overdue_s a redirected worker counts as evidence: one
 * that still cannot reach its owner sends another heartbeat here within that time. */
static const double REDIRECTED_WORKER_GRACE_S = 5;

/** Returns how long to wait for the member's reply; the wait grows with local_health,
 * that is while this controller itself may be slow. */
static double reply_timeout_s(const struct lmn_members *members,
                              const struct lmn_member_view *member)
{
    double seconds = lmn_phi_accrual_timeout_s(&member->reply_times, TIMEOUT_PHI);

    return CLAMP(seconds * (1 + members->local_health), members->timeouts.probe_timeout_s,
                 2 * members->timeouts.probe_timeout_s);
}

/** Fills in and counts the probe. Always returns true, so that callers can return its
 * result. */
static bool set_probe(struct lmn_members *members, int member_index, int about_index,
                      struct lmn_probe *probe)
{
    probe->member = member_index;
    probe->about = about_index;
    probe->timeout_s = reply_timeout_s(members, &members->views[member_index]);
    members->counters.probes_sent++;
    return true;
}

/** Whether the member has not replied, is not declared failed yet, and another indirect
 * probe of it may be sent now. */
static bool needs_indirect_probe(const struct lmn_members *members, int member_index,
                                 struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];

    return member_index != members->self && member->is_present &&
           member->unanswered_since.tv_sec && !member->is_declared_failed &&
           !lmn_time_before(now, member->next_indirect_probe_at);
}

/** Returns a random member without unanswered probes, to probe member about_index; -1 if
 * there is none. */
static int choose_prober(const struct lmn_members *members, int about_index, GRand *rng)
{
    int first = g_rand_int_range(rng, 0, members->count);

    for (int offset = 0; offset < members->count; offset++) {
        int i = (first + offset) % members->count;
        const struct lmn_member_view *member = &members->views[i];
        if (i != members->self && i != about_index && member->is_present &&
            !member->unanswered_since.tv_sec)
            return i;
    }
    return -1;
}

/** Finds a member that is to be probed before its turn. Returns whether there is one. */
static bool find_direct_probe(struct lmn_members *members, struct timespec now,
                              struct lmn_probe *probe)
{
    for (int offset = 0; offset < members->count; offset++) {
        int i = (members->indirect_cursor + offset) % members->count;
        struct lmn_member_view *member = &members->views[i];
        if (i == members->self || !member->probe_next || !member->is_present ||
            lmn_time_before(now, member->next_probe_at))
            continue;
        member->probe_next = false;
        return set_probe(members, i, -1, probe);
    }
    return false;
}

/** Counts an indirect probe. After the last one of a series, or if no member can send it,
 * the next series has to wait for half a probe interval. */
static void count_indirect_probe(const struct lmn_members *members,
                                 struct lmn_member_view *member, bool has_prober,
                                 struct timespec now)
{
    unsigned possible_probers = (unsigned)MAX(members->count - 2, 0);

    if (++member->indirect_probes < MIN(MAX_INDIRECT_PROBES, possible_probers) &&
        has_prober)
        return;
    member->indirect_probes = 0;
    member->next_indirect_probe_at =
        lmn_time_add(now, members->timeouts.probe_interval_s / 2);
}

/** Finds a member that has not replied, and another member to probe it. Returns whether
 * there is such a pair. */
static bool find_indirect_probe(struct lmn_members *members, GRand *rng,
                                struct timespec now, struct lmn_probe *probe)
{
    for (int offset = 0; offset < members->count; offset++) {
        int i = (members->indirect_cursor + offset) % members->count;
        if (!needs_indirect_probe(members, i, now))
            continue;
        int prober = choose_prober(members, i, rng);
        count_indirect_probe(members, &members->views[i], prober >= 0, now);
        if (prober >= 0)
            return set_probe(members, prober, i, probe);
    }
    return false;
}

/** Finds a probe outside the round. Direct and indirect probes alternate, and each scan
 * begins at another member. With a fixed order, when a third of the members failed at
 * once, the first of them took up all probes, and nobody gossiped about the last. */
static bool find_extra_probe(struct lmn_members *members, GRand *rng, struct timespec now,
                             struct lmn_probe *probe)
{
    members->indirect_cursor = (members->indirect_cursor + 1) % members->count;
    if (members->indirect_cursor % 2)
        return find_direct_probe(members, now, probe) ||
               find_indirect_probe(members, rng, now, probe);
    return find_indirect_probe(members, rng, now, probe) ||
           find_direct_probe(members, now, probe);
}

/** Shuffles the order of the members for a new round (Fisher-Yates shuffle). */
static void begin_round(struct lmn_members *members, GRand *rng)
{
    members->probe_position = 0;
    for (int i = 0; i < members->count; i++) {
        int other = g_rand_int_range(rng, i, members->count);
        int member_index = members->probe_order[i];
        members->probe_order[i] = members->probe_order[other];
        members->probe_order[other] = member_index;
    }
}

/** Finds the round's next probe. Returns whether there is a member to probe. */
static bool find_round_probe(struct lmn_members *members, GRand *rng,
                             struct lmn_probe *probe)
{
    for (int tries = 0; tries < 2 * members->count; tries++) {
        if (members->probe_position >= members->count)
            begin_round(members, rng);
        int member_index = members->probe_order[members->probe_position++];
        const struct lmn_member_view *member = &members->views[member_index];
        /* Members with unanswered probes are probed outside the round. */
        if (member_index != members->self && member->is_present &&
            !member->unanswered_since.tv_sec)
            return set_probe(members, member_index, -1, probe);
    }
    return false;
}

bool lmn_member_next_probe(struct lmn_members *members, GRand *rng, struct timespec now,
                           struct lmn_probe *probe, double *wait_s)
{
    double interval_s = members->timeouts.probe_interval_s;

    if (!lmn_time_before(now, members->next_extra_probe_at) &&
        find_extra_probe(members, rng, now, probe)) {
        members->next_extra_probe_at =
            lmn_time_add(now, interval_s / EXTRA_PROBES_PER_INTERVAL);
        return true;
    }
    if (!lmn_time_before(now, members->next_probe_at)) {
        members->next_probe_at = lmn_time_add(now, interval_s);
        if (find_round_probe(members, rng, probe))
            return true;
    }
    *wait_s = CLAMP(lmn_time_diff_s(members->next_probe_at, now), MIN_WAIT_S,
                    interval_s / EXTRA_PROBES_PER_INTERVAL);
    return false;
}

unsigned lmn_member_count_redirected_workers(const struct lmn_members *members,
                                             int member_index, struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];
    double counts_for_s =
        members->timeouts.heartbeat_overdue_s + REDIRECTED_WORKER_GRACE_S;
    unsigned count = 0;

    for (guint i = 0; i < LMN_MAX_REDIRECTED_WORKERS; i++) {
        const struct lmn_redirected_worker *worker = &member->redirected_workers[i];
        if (worker->seen_at.tv_sec &&
            lmn_time_diff_s(now, worker->seen_at) < counts_for_s)
            count++;
    }
    return count;
}

static struct lmn_gossip_statement make_statement(const struct lmn_members *members,
                                                  int member_index, struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];

    return (struct lmn_gossip_statement){
        .member = member_index,
        .incarnation = member->incarnation,
        .last_contact_age_s =
            member->ever_contacted ? lmn_time_diff_s(now, member->last_contact_at) : -1,
        .unanswered_age_s = member->unanswered_since.tv_sec
                                ? lmn_time_diff_s(now, member->unanswered_since)
                                : 0,
        .redirected_workers =
            lmn_member_count_redirected_workers(members, member_index, now),
    };
}

/** Whether there is evidence against the member that the statement is about. */
static bool is_worth_telling(const struct lmn_members *members,
                             const struct lmn_gossip_statement *statement)
{
    return statement->unanswered_age_s > 0 || statement->redirected_workers > 0 ||
           lmn_member_is_suspected(members, statement->member);
}

unsigned lmn_member_select_gossip(struct lmn_members *members, int to_index,
                                  int about_index, struct timespec now,
                                  struct lmn_gossip_statement *statements)
{
    unsigned count = 0;

    if (to_index >= 0 && to_index != members->self)
        statements[count++] = make_statement(members, to_index, now);
    if (about_index >= 0 && about_index != members->self && about_index != to_index)
        statements[count++] = make_statement(members, about_index, now);
    /* The scan begins at another member each time, so that no member is always left out
     * when there are more statements than fit. */
    members->gossip_cursor = (members->gossip_cursor + 1) % members->count;
    for (int offset = 0; offset < members->count && count < LMN_MAX_GOSSIP_STATEMENTS;
         offset++) {
        int i = (members->gossip_cursor + offset) % members->count;
        if (i == to_index || i == about_index || i == members->self ||
            !members->views[i].is_present)
            continue;
        statements[count] = make_statement(members, i, now);
        if (is_worth_telling(members, &statements[count]))
            count++;
    }
    return count;
}
