/* From evidence to suspicion, refutation and verdict. */
#include "membership/membership.h"

#include <string.h>

/* Our questions speak against a member when an answer that late is this unlikely. */
static const double AGAINST_PHI = 3;
/* What others say counts for so long, and so does a member's word of itself. */
static const double TELLING_S = 2;
/* A mirror that is older stands still: it is asked every 0.8 s at least, and is as old as
 * the last asking but one. Its own node's word counts from the first age on, ours has to
 * be younger than the second. */
static const double BLIND_S = 2.5, SEEING_S = 2;
/* Of its machines, heard by others. */
static const double DEAF = 0.5;
/* A member that has failed gets its work back after so long, twice as long each time; and
 * as long after a failure one is forgotten. */
static const double BACK_S = 15, FORGIVE_S = 300;
/* Nothing is judged before this node has seen so much of the others. */
static const double SETTLE_S = 3;
/* Whoever was there so long ago counts among those that were up. */
static const double LATELY_S = 30;

/* Enough of its workers for a side of their own: a twentieth of those recorded. */
static unsigned enough(const struct lmn_member_view *member)
{
    return member->machine_count
               ? CLAMP(member->machine_count / 20, MIN(3, member->machine_count),
                       LMN_MAX_REDIRECTED_WORKERS / 2)
               : LMN_MAX_REDIRECTED_WORKERS + 1;
}

static bool deaf(const struct lmn_failure_evidence *evidence,
                 const struct lmn_member_view *member)
{
    return evidence->silent_machine_share > DEAF &&
           evidence->redirected_workers >= enough(member);
}

static void hear_witness(const struct lmn_members *members,
                         const struct lmn_member_view *member,
                         const struct lmn_gossip_record *record, struct timespec now,
                         struct lmn_failure_evidence *evidence)
{
    double age = lmn_time_diff_s(now, record->received_at);

    if (!record->received_at.tv_sec || age > TELLING_S)
        return;
    evidence->redirected_workers =
        MAX(evidence->redirected_workers, record->statement.redirected_workers);
    if (record->statement.unanswered_age_s <= 0) {
        /* Heard since our question, and lately: it is asked again at once when somebody
         * asks about it. */
        double heard = record->statement.last_contact_age_s + age;
        evidence->is_reached_by_others =
            evidence->is_reached_by_others ||
            (record->statement.last_contact_age_s >= 0 &&
             member->unanswered_since.tv_sec &&
             heard < lmn_time_diff_s(now, member->unanswered_since) &&
             heard < members->timeouts.probe_timeout_s +
                         2 * members->timeouts.probe_interval_s);
        return;
    }
    double phi = lmn_phi_accrual_phi(&member->reply_times,
                                     (record->statement.unanswered_age_s + age) /
                                         (1 + members->local_health));
    evidence->best_other_phi = MAX(evidence->best_other_phi, phi);
    evidence->other_witnesses +=
        record->statement.incarnation == member->incarnation && phi >= AGAINST_PHI;
}

void lmn_member_failure_evidence(const struct lmn_members *members, int member_index,
                                 struct timespec now,
                                 struct lmn_failure_evidence *evidence)
{
    const struct lmn_member_view *member = &members->views[member_index];

    memset(evidence, 0, sizeof *evidence);
    if (member->unanswered_since.tv_sec && member->ever_contacted)
        evidence->own_phi = lmn_phi_accrual_phi(
            &member->reply_times,
            lmn_time_diff_s(now, member->unanswered_since) / (1 + members->local_health));
    evidence->redirected_workers =
        lmn_member_redirected_workers(members, member_index, now);
    for (int k = 0; k < members->count; k++)
        if (k != member_index && k != members->self)
            hear_witness(members, member, &member->gossip[k], now, evidence);
    double age = lmn_time_diff_s(now, member->health_at);
    if (member->health_at.tv_sec && age < TELLING_S) {
        evidence->cache_age_s = member->health.cache_age_s;
        evidence->silent_machine_share = member->health.silent_machine_share;
    }
    bool asked = evidence->own_phi >= AGAINST_PHI && !evidence->is_reached_by_others;
    /* Its mirror has stood still while ours moved all the time: when an outage ends, some
     * hear of it a moment before others. */
    if (!asked && evidence->cache_age_s > BLIND_S &&
        lmn_time_diff_s(now, member->incarnation_seen_at) > BLIND_S &&
        lmn_time_diff_s(now, members->cache_fresh_since) > evidence->cache_age_s + age &&
        lmn_time_diff_s(now, members->cache_fresh_at) < SEEING_S) {
        evidence->cause = LMN_CAUSE_STALE_CACHE;
        evidence->independent_witnesses = 2; /* its own word, and our mirror */
    } else if (!asked && deaf(evidence, member)) {
        evidence->cause = LMN_CAUSE_NO_HEARTBEATS;
        evidence->independent_witnesses = 2; /* its own word, and its workers */
    } else {
        evidence->cause = LMN_CAUSE_UNRESPONSIVE;
        evidence->independent_witnesses =
            asked + (asked && evidence->other_witnesses) +
            (asked && evidence->redirected_workers >= enough(member));
    }
}

bool lmn_member_is_suspected(const struct lmn_members *members, int member_index)
{
    const struct lmn_member_view *member = &members->views[member_index];

    return member->is_present && member->suspected_incarnation == member->incarnation;
}

/* After a refutation the next suspicion waits, longer each time; it is forgotten as
 * failures are. */
static bool refuted_lately(const struct lmn_members *members,
                           const struct lmn_member_view *member, struct timespec now)
{
    double since = lmn_time_diff_s(now, member->last_refutation_at);
    unsigned n =
        member->refutations - MIN(member->refutations, (unsigned)(since / FORGIVE_S));

    return member->last_refutation_at.tv_sec && n &&
           since < MIN(members->timeouts.probe_interval_s * (double)(1u << MIN(n, 10u)),
                       members->timeouts.lease_s);
}

static bool others_to_ask(const struct lmn_members *members, int about)
{
    for (int i = 0; i < members->count; i++)
        if (i != members->self && i != about && members->views[i].is_present &&
            !members->views[i].unanswered_since.tv_sec)
            return true;
    return false;
}

bool lmn_member_should_suspect(const struct lmn_members *members, int member_index,
                               struct timespec now, struct lmn_failure_evidence *evidence)
{
    const struct lmn_member_view *member = &members->views[member_index];

    lmn_member_failure_evidence(members, member_index, now, evidence);
    if (member_index == members->self || !member->is_present ||
        lmn_member_is_suspected(members, member_index) ||
        !lmn_self_may_claim(members, now) ||
        (refuted_lately(members, member, now) &&
         evidence->redirected_workers < enough(member)))
        return false;
    if (evidence->cause != LMN_CAUSE_UNRESPONSIVE)
        return evidence->independent_witnesses >= 2;
    /* Another has had the time to say that it hears it, if there is one to ask. */
    return evidence->independent_witnesses >= 1 &&
           (!others_to_ask(members, member_index) || evidence->other_witnesses ||
            lmn_time_before(member->unanswered_since, member->last_gossip_at) ||
            lmn_time_diff_s(now, member->unanswered_since) >
                members->timeouts.probe_timeout_s +
                    2 * members->timeouts.probe_interval_s);
}

/* So many verdicts at a time as leave a majority of those that were up: if most seem
 * dead, the fault is here. Workers at our door have come from the member: then it is not.
 */
static bool in_bounds(const struct lmn_members *members, const struct lmn_member_view *m,
                      const struct lmn_failure_evidence *evidence, struct timespec now)
{
    int up = 1, gone = 0;

    for (int i = 0; i < members->count; i++) {
        const struct lmn_member_view *o = &members->views[i];
        if (i == members->self || !o->ever_contacted ||
            (!o->is_present && lmn_time_diff_s(now, o->present_since) > LATELY_S))
            continue;
        up++;
        /* Itself is counted below: once a first partition of it was taken it counted
         * twice, and the others waited for its workers. */
        gone += o != m &&
                (!o->is_present || (o->is_declared_failed && o->unanswered_since.tv_sec));
    }
    /* Of two, each may judge the other: there, the unanswered suspicion is what tells. */
    return members->count <= 2 || evidence->redirected_workers >= enough(m) ||
           2 * (up - gone - 1) > up;
}

bool lmn_member_is_declared_failed(const struct lmn_members *members, int member_index,
                                   struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];
    struct lmn_failure_evidence e;

    if (member_index == members->self ||
        !lmn_member_is_suspected(members, member_index) ||
        !lmn_self_may_claim(members, now))
        return false;
    lmn_member_failure_evidence(members, member_index, now, &e);
    double stands = members->timeouts.suspicion_s * (1 + members->local_health) *
                        (members->count <= 2 ? 2 : 1) +
                    MIN(2 * member->health.delay_s, members->timeouts.lease_s);
    return e.independent_witnesses >= (members->count <= 2 ? 1u : 2u) &&
           lmn_time_diff_s(members->cache_fresh_at, member->suspected_since) >= stands &&
           in_bounds(members, member, &e, now);
}

bool lmn_member_is_trusted(const struct lmn_members *members, int member_index,
                           struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];
    struct lmn_failure_evidence e;

    if (member->is_shutting_down)
        return false;
    if (member_index == members->self)
        return lmn_self_may_claim(members, now) &&
               !lmn_member_is_suspected(members, member_index);
    if (!member->is_present || member->is_declared_failed ||
        lmn_member_is_suspected(members, member_index))
        return false;
    lmn_member_failure_evidence(members, member_index, now, &e);
    return e.own_phi < AGAINST_PHI && e.cache_age_s <= BLIND_S &&
           e.silent_machine_share <= DEAF;
}

double lmn_member_readmission_delay_s(const struct lmn_members *members, int member_index,
                                      struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];
    unsigned forgiven =
        member->last_failure_at.tv_sec
            ? (unsigned)(lmn_time_diff_s(now, member->last_failure_at) / FORGIVE_S)
            : member->failures_declared;
    unsigned n = member->failures_declared - MIN(member->failures_declared, forgiven);
    double least = BACK_S * (double)(1u << (n ? n - 1 : 0));
    double up = lmn_time_diff_s(now, member->present_since);

    if (member->last_failure_at.tv_sec)
        up = MIN(up, lmn_time_diff_s(now, member->last_failure_at));
    return MAX(least - up, 0);
}

/* --- this node --- */

bool lmn_self_may_claim(const struct lmn_members *members, struct timespec now)
{
    return members->synced_at.tv_sec &&
           lmn_time_diff_s(now, members->synced_at) >= SETTLE_S &&
           lmn_self_may_reply(members, now) && !members->is_isolated_from_workers &&
           lmn_time_diff_s(now, members->cache_fresh_at) < BLIND_S;
}

bool lmn_self_should_refute(const struct lmn_members *members, struct timespec now)
{
    const struct lmn_member_view *member = &members->views[members->self];

    return lmn_member_is_suspected(members, members->self) &&
           lmn_self_may_reply(members, now) &&
           (member->suspicion_cause != LMN_CAUSE_NO_HEARTBEATS ||
            members->health.silent_machine_share <= DEAF);
}

int lmn_self_transfer_target(const struct lmn_members *members, struct timespec now)
{
    const struct lmn_member_view *member = &members->views[members->self];
    unsigned most = 0;
    int successor = -1;

    if (members->health.silent_machine_share <= DEAF || !lmn_self_may_reply(members, now))
        return -1;
    for (int k = 0; k < members->count; k++) {
        const struct lmn_gossip_record *record = &member->gossip[k];
        if (k == members->self || !record->received_at.tv_sec ||
            lmn_time_diff_s(now, record->received_at) > TELLING_S ||
            record->statement.redirected_workers < enough(member) ||
            !lmn_member_is_trusted(members, k, now))
            continue;
        if (record->statement.redirected_workers > most) {
            most = record->statement.redirected_workers;
            successor = k;
        }
    }
    return successor;
}
