/** @file
 * Evaluates the evidence: which members are suspected, declared failed or trusted
 * (membership/membership.h). */
#include "membership/membership.h"

#include <string.h>

/** Unanswered probes are evidence against a member from this phi on. */
static const double SUSPICIOUS_PHI = 3;
/** For how long a member's reports count, about others and about itself. */
static const double GOSSIP_VALID_S = 2;
/** A watch cache that is older than STALE_CACHE_S is stale. It is normally refreshed at
 * least every 0.8 s, and its age is counted from when the last answered request was sent.
 * Another member's cache counts as stale only while this controller's own cache is
 * younger than FRESH_CACHE_S. */
static const double STALE_CACHE_S = 2.5, FRESH_CACHE_S = 2;
/** Largest share of its machines from which a healthy member may receive no heartbeats.
 */
static const double MAX_SILENT_SHARE = 0.5;
/** Delay of the readmission after a member's first failure; each further failure doubles
 * it. */
static const double READMISSION_S = 15;
/** For each period of this length since a member's latest failure, one of its failures is
 * forgotten; refutations are forgotten likewise. */
static const double FORGET_FAILURE_S = 300;
/** How long this controller must have followed the store before it declares a member
 * failed. */
static const double MIN_OBSERVATION_S = 3;
/** A member that was present within this time still counts for the majority. */
static const double RECENTLY_PRESENT_S = 30;
/** The redirected workers of a member count as a witness if they are at least one in
 * WORKERS_PER_WITNESS of its machines, and at least MIN_WITNESS_WORKERS, or all of its
 * machines if it has fewer. */
enum { WORKERS_PER_WITNESS = 20, MIN_WITNESS_WORKERS = 3 };

/** Returns how many redirected workers count as a witness against the member. Without a
 * recorded machine, no number of them does. */
static unsigned min_redirected_workers(const struct lmn_member_view *member)
{
    if (!member->machine_count)
        return LMN_MAX_REDIRECTED_WORKERS + 1;
    return CLAMP(member->machine_count / WORKERS_PER_WITNESS,
                 MIN(MIN_WITNESS_WORKERS, member->machine_count),
                 LMN_MAX_REDIRECTED_WORKERS / 2);
}

/** Whether the member reports that it receives no heartbeats from most of its machines,
 * and enough of its workers have sent theirs to other members. */
static bool misses_heartbeats(const struct lmn_failure_evidence *evidence,
                              const struct lmn_member_view *member)
{
    return evidence->silent_machine_share > MAX_SILENT_SHARE &&
           evidence->redirected_workers >= min_redirected_workers(member);
}

/** Returns the wait for a reply, reduced according to local_health: while this controller
 * itself may be slow, a long wait says less about the other member. */
static double discounted_wait_s(const struct lmn_members *members, double wait_s)
{
    return wait_s / (1 + members->local_health);
}

/** Whether the statement shows a contact with the member after this controller's first
 * unanswered probe, and a recent one. The sender probes a member at once when it hears of
 * an unanswered probe, so that an older contact does not show that the member still
 * replies. */
static bool is_recent_contact(const struct lmn_members *members,
                              const struct lmn_member_view *member,
                              const struct lmn_gossip_statement *statement, double age_s,
                              struct timespec now)
{
    double contact_age_s = statement->last_contact_age_s + age_s;

    return statement->last_contact_age_s >= 0 && member->unanswered_since.tv_sec &&
           contact_age_s < lmn_time_diff_s(now, member->unanswered_since) &&
           contact_age_s <
               members->timeouts.probe_timeout_s + 2 * members->timeouts.probe_interval_s;
}

/** Adds another member's statement to the evidence, unless it is older than
 * GOSSIP_VALID_S. */
static void add_gossip(const struct lmn_members *members,
                       const struct lmn_member_view *member,
                       const struct lmn_gossip_record *record, struct timespec now,
                       struct lmn_failure_evidence *evidence)
{
    const struct lmn_gossip_statement *statement = &record->statement;
    double age_s = lmn_time_diff_s(now, record->received_at);

    if (!record->received_at.tv_sec || age_s > GOSSIP_VALID_S)
        return;
    evidence->redirected_workers =
        MAX(evidence->redirected_workers, statement->redirected_workers);
    if (statement->unanswered_age_s <= 0) {
        if (is_recent_contact(members, member, statement, age_s, now))
            evidence->is_reached_by_others = true;
        return;
    }
    double phi = lmn_phi_accrual_phi(
        &member->reply_times,
        discounted_wait_s(members, statement->unanswered_age_s + age_s));
    evidence->best_other_phi = MAX(evidence->best_other_phi, phi);
    /* A statement about an earlier incarnation does not count against this one. */
    if (statement->incarnation == member->incarnation && phi >= SUSPICIOUS_PHI)
        evidence->other_witnesses++;
}

/** Whether the member's watch cache is stale although this controller's has been fresh
 * for longer than the age of the member's. Without the second condition, members would be
 * suspected at the end of an outage of the key-value store, when some caches are
 * refreshed a moment before others. */
static bool has_stale_cache(const struct lmn_members *members,
                            const struct lmn_member_view *member,
                            const struct lmn_failure_evidence *evidence,
                            double health_age_s, struct timespec now)
{
    return evidence->cache_age_s > STALE_CACHE_S &&
           lmn_time_diff_s(now, member->incarnation_seen_at) > STALE_CACHE_S &&
           lmn_time_diff_s(now, members->cache_fresh_since) >
               evidence->cache_age_s + health_age_s &&
           lmn_time_diff_s(now, members->cache_fresh_at) < FRESH_CACHE_S;
}

/** Determines the cause that the evidence indicates, and the number of independent
 * witnesses. */
static void decide_cause(const struct lmn_members *members,
                         const struct lmn_member_view *member, double health_age_s,
                         struct timespec now, struct lmn_failure_evidence *evidence)
{
    bool is_unresponsive =
        evidence->own_phi >= SUSPICIOUS_PHI && !evidence->is_reached_by_others;

    if (!is_unresponsive &&
        has_stale_cache(members, member, evidence, health_age_s, now)) {
        evidence->cause = LMN_CAUSE_STALE_CACHE;
        evidence->independent_witnesses = 2; /* its own report, and this cache */
    } else if (!is_unresponsive && misses_heartbeats(evidence, member)) {
        evidence->cause = LMN_CAUSE_NO_HEARTBEATS;
        evidence->independent_witnesses = 2; /* its own report, and its workers */
    } else {
        bool is_seen_by_workers =
            evidence->redirected_workers >= min_redirected_workers(member);
        evidence->cause = LMN_CAUSE_UNRESPONSIVE;
        evidence->independent_witnesses =
            is_unresponsive ? 1u + (evidence->other_witnesses > 0) + is_seen_by_workers
                            : 0;
    }
}

void lmn_member_failure_evidence(const struct lmn_members *members, int member_index,
                                 struct timespec now,
                                 struct lmn_failure_evidence *evidence)
{
    const struct lmn_member_view *member = &members->views[member_index];
    double health_age_s = lmn_time_diff_s(now, member->health_at);

    memset(evidence, 0, sizeof *evidence);
    if (member->unanswered_since.tv_sec && member->ever_contacted)
        evidence->own_phi = lmn_phi_accrual_phi(
            &member->reply_times,
            discounted_wait_s(members, lmn_time_diff_s(now, member->unanswered_since)));
    evidence->redirected_workers =
        lmn_member_count_redirected_workers(members, member_index, now);
    for (int i = 0; i < members->count; i++)
        if (i != member_index && i != members->self)
            add_gossip(members, member, &member->gossip[i], now, evidence);
    if (member->health_at.tv_sec && health_age_s < GOSSIP_VALID_S) {
        evidence->cache_age_s = member->health.cache_age_s;
        evidence->silent_machine_share = member->health.silent_machine_share;
    }
    decide_cause(members, member, health_age_s, now, evidence);
}

bool lmn_member_is_suspected(const struct lmn_members *members, int member_index)
{
    const struct lmn_member_view *member = &members->views[member_index];

    return member->is_present && member->suspected_incarnation == member->incarnation;
}

/** Whether the member has refuted a suspicion so recently that it may not be suspected
 * again yet. The wait doubles with each refutation, up to lease_s; one refutation is
 * forgotten for each FORGET_FAILURE_S. */
static bool has_refuted_recently(const struct lmn_members *members,
                                 const struct lmn_member_view *member,
                                 struct timespec now)
{
    enum { MAX_DOUBLINGS = 10 };
    double since_s = lmn_time_diff_s(now, member->last_refutation_at);
    unsigned forgotten = (unsigned)(since_s / FORGET_FAILURE_S);
    unsigned refutations = member->refutations - MIN(member->refutations, forgotten);
    double doublings = (double)(1u << MIN(refutations, (unsigned)MAX_DOUBLINGS));

    return member->last_refutation_at.tv_sec && refutations &&
           since_s < MIN(members->timeouts.probe_interval_s * doublings,
                         members->timeouts.lease_s);
}

/** Whether a third member without unanswered probes could probe member about_index. */
static bool has_other_witnesses(const struct lmn_members *members, int about_index)
{
    for (int i = 0; i < members->count; i++)
        if (i != members->self && i != about_index && members->views[i].is_present &&
            !members->views[i].unanswered_since.tv_sec)
            return true;
    return false;
}

/** Whether other members have had time to report that they reach the member, or there is
 * no other member to ask. */
static bool have_others_been_asked(const struct lmn_members *members, int member_index,
                                   const struct lmn_failure_evidence *evidence,
                                   struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];

    return !has_other_witnesses(members, member_index) || evidence->other_witnesses ||
           lmn_time_before(member->unanswered_since, member->last_gossip_at) ||
           lmn_time_diff_s(now, member->unanswered_since) >
               members->timeouts.probe_timeout_s + 2 * members->timeouts.probe_interval_s;
}

bool lmn_member_should_suspect(const struct lmn_members *members, int member_index,
                               struct timespec now, struct lmn_failure_evidence *evidence)
{
    const struct lmn_member_view *member = &members->views[member_index];

    lmn_member_failure_evidence(members, member_index, now, evidence);
    if (member_index == members->self || !member->is_present ||
        lmn_member_is_suspected(members, member_index) ||
        !lmn_self_may_claim(members, now) ||
        (has_refuted_recently(members, member, now) &&
         evidence->redirected_workers < min_redirected_workers(member)))
        return false;
    if (evidence->cause != LMN_CAUSE_UNRESPONSIVE)
        return evidence->independent_witnesses >= 2;
    return evidence->independent_witnesses >= 1 &&
           have_others_been_asked(members, member_index, evidence, now);
}

/** Whether more than half of the recently present members remain if this member is
 * declared failed as well. If most members seem to have failed, the fault is probably
 * this controller's own; only the member's workers, by sending their heartbeats here, can
 * show that it is not. */
static bool leaves_majority(const struct lmn_members *members,
                            const struct lmn_member_view *member,
                            const struct lmn_failure_evidence *evidence,
                            struct timespec now)
{
    int present_count = 1, failed_count = 0; /* this controller is present */

    for (int i = 0; i < members->count; i++) {
        const struct lmn_member_view *other = &members->views[i];
        bool was_present_recently =
            other->is_present ||
            lmn_time_diff_s(now, other->present_since) <= RECENTLY_PRESENT_S;
        if (i == members->self || !other->ever_contacted || !was_present_recently)
            continue;
        present_count++;
        /* The member itself is subtracted in the return statement. If it were counted
         * here as well, it would count twice once its first partition was claimed, and
         * the claims of its other partitions would have to wait for its workers. */
        failed_count += other != member &&
                        (!other->is_present ||
                         (other->is_declared_failed && other->unanswered_since.tv_sec));
    }
    /* In a group of two, either may declare the other failed: the one that does not
     * refute its suspicion fails. */
    return members->count <= 2 ||
           evidence->redirected_workers >= min_redirected_workers(member) ||
           2 * (present_count - failed_count - 1) > present_count;
}

bool lmn_member_is_declared_failed(const struct lmn_members *members, int member_index,
                                   struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];
    struct lmn_failure_evidence evidence;
    /* In a group of two there is no third member to confirm the failure. One witness is
     * enough then, but the suspicion has to stand for twice as long. */
    bool is_pair = members->count <= 2;

    if (member_index == members->self ||
        !lmn_member_is_suspected(members, member_index) ||
        !lmn_self_may_claim(members, now))
        return false;
    lmn_member_failure_evidence(members, member_index, now, &evidence);
    /* A member that carries out its work late also needs longer to refute. */
    double min_suspicion_s =
        members->timeouts.suspicion_s * (1 + members->local_health) * (is_pair ? 2 : 1) +
        MIN(2 * member->health.delay_s, members->timeouts.lease_s);
    return evidence.independent_witnesses >= (is_pair ? 1u : 2u) &&
           lmn_time_diff_s(members->cache_fresh_at, member->suspected_since) >=
               min_suspicion_s &&
           leaves_majority(members, member, &evidence, now);
}

bool lmn_member_is_trusted(const struct lmn_members *members, int member_index,
                           struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];
    struct lmn_failure_evidence evidence;

    if (member->is_shutting_down)
        return false;
    if (member_index == members->self)
        return lmn_self_may_claim(members, now) &&
               !lmn_member_is_suspected(members, member_index);
    if (!member->is_present || member->is_declared_failed ||
        lmn_member_is_suspected(members, member_index))
        return false;
    lmn_member_failure_evidence(members, member_index, now, &evidence);
    return evidence.own_phi < SUSPICIOUS_PHI && evidence.cache_age_s <= STALE_CACHE_S &&
           evidence.silent_machine_share <= MAX_SILENT_SHARE;
}

double lmn_member_readmission_delay_s(const struct lmn_members *members, int member_index,
                                      struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];
    double since_failure_s = lmn_time_diff_s(now, member->last_failure_at);
    unsigned forgotten = member->last_failure_at.tv_sec
                             ? (unsigned)(since_failure_s / FORGET_FAILURE_S)
                             : member->failures_declared;
    unsigned failures =
        member->failures_declared - MIN(member->failures_declared, forgotten);
    double delay_s = READMISSION_S * (double)(1u << (failures ? failures - 1 : 0));
    double passed_s = lmn_time_diff_s(now, member->present_since);

    if (member->last_failure_at.tv_sec)
        passed_s = MIN(passed_s, since_failure_s);
    return MAX(delay_s - passed_s, 0);
}

/* --- this controller --- */

bool lmn_self_may_claim(const struct lmn_members *members, struct timespec now)
{
    return members->synced_at.tv_sec &&
           lmn_time_diff_s(now, members->synced_at) >= MIN_OBSERVATION_S &&
           lmn_self_may_reply(members, now) && !members->is_isolated_from_workers &&
           lmn_time_diff_s(now, members->cache_fresh_at) < STALE_CACHE_S;
}

bool lmn_self_should_refute(const struct lmn_members *members, struct timespec now)
{
    const struct lmn_member_view *member = &members->views[members->self];

    return lmn_member_is_suspected(members, members->self) &&
           lmn_self_may_reply(members, now) &&
           (member->suspicion_cause != LMN_CAUSE_NO_HEARTBEATS ||
            members->health.silent_machine_share <= MAX_SILENT_SHARE);
}

/** Returns how many of this controller's workers have sent their heartbeats to the
 * member, as it has recently reported; 0 if they are too few to count as a witness, or
 * the member is not trusted. */
static unsigned workers_redirected_to(const struct lmn_members *members, int member_index,
                                      struct timespec now)
{
    const struct lmn_member_view *own_view = &members->views[members->self];
    const struct lmn_gossip_record *record = &own_view->gossip[member_index];
    unsigned workers = record->statement.redirected_workers;

    if (member_index == members->self || !record->received_at.tv_sec ||
        lmn_time_diff_s(now, record->received_at) > GOSSIP_VALID_S ||
        workers < min_redirected_workers(own_view) ||
        !lmn_member_is_trusted(members, member_index, now))
        return 0;
    return workers;
}

int lmn_self_transfer_target(const struct lmn_members *members, struct timespec now)
{
    unsigned most_workers = 0;
    int target_index = -1;

    if (members->health.silent_machine_share <= MAX_SILENT_SHARE ||
        !lmn_self_may_reply(members, now))
        return -1;
    for (int i = 0; i < members->count; i++) {
        unsigned workers = workers_redirected_to(members, i, now);
        if (workers > most_workers) {
            most_workers = workers;
            target_index = i;
        }
    }
    return target_index;
}
