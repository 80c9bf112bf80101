/** @file
 * Concludes from the evidence who is suspected, who is declared failed and who is trusted
 * (membership/membership.h). */
#include "membership/membership.h"

#include <string.h>

/** A member's unanswered probes speak against it when a reply that late is this
 * unlikely. */
static const double SUSPICIOUS_PHI = 3;
/** For how long what a member says counts, of others and of itself. */
static const double GOSSIP_VALID_S = 2;
/** Above the first age a watch cache is stale: it is refreshed every 0.8 s at least, and
 * its age counts from the last request but one. To say that a member's cache is stale,
 * this controller's own must be younger than the second age. */
static const double STALE_CACHE_S = 2.5, FRESH_CACHE_S = 2;
/** Largest share of its machines that a member may not hear while others do. */
static const double MAX_SILENT_SHARE = 0.5;
/** How long after a failure a member is readmitted; twice as long for each further one.
 */
static const double READMISSION_S = 15;
/** After each such time one failure, or refutation, is forgotten. */
static const double FORGET_FAILURE_S = 300;
/** Nobody is declared failed before this controller has observed the others for so long.
 */
static const double MIN_OBSERVATION_S = 3;
/** A member that was present so recently still counts for the majority. */
static const double RECENTLY_PRESENT_S = 30;
/** One in so many of a member's workers must have come elsewhere to be a witness, and
 * never fewer than the second number, unless it has fewer workers. */
enum { WORKERS_PER_WITNESS = 20, MIN_WITNESS_WORKERS = 3 };

/** How many redirected workers are independent evidence against the member. Without any
 * recorded machine no number is. */
static unsigned min_redirected_workers(const struct lmn_member_view *member)
{
    if (!member->machine_count)
        return LMN_MAX_REDIRECTED_WORKERS + 1;
    return CLAMP(member->machine_count / WORKERS_PER_WITNESS,
                 MIN(MIN_WITNESS_WORKERS, member->machine_count),
                 LMN_MAX_REDIRECTED_WORKERS / 2);
}

/** Whether the member says that it does not hear most of its machines, and enough of them
 * have come elsewhere. */
static bool misses_heartbeats(const struct lmn_failure_evidence *evidence,
                              const struct lmn_member_view *member)
{
    return evidence->silent_machine_share > MAX_SILENT_SHARE &&
           evidence->redirected_workers >= min_redirected_workers(member);
}

/** A wait for a reply, shortened by how much this controller's own timing is in doubt. */
static double discounted_wait_s(const struct lmn_members *members, double wait_s)
{
    return wait_s / (1 + members->local_health);
}

/** Whether another member has had contact since our first unanswered probe, and recently:
 * a member is probed again at once when somebody asks about it, so that an older contact
 * does not show that it still replies. */
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

/** Adds what another member says of this one, if that is not too old. */
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

/** Whether the member's watch cache was stale while ours was fresh for longer than that:
 * when an outage of the key-value store ends, some caches are refreshed a moment before
 * others, and that is no fault. */
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

/** Decides what the evidence speaks for, and how many independent witnesses there are. */
static void decide_cause(const struct lmn_members *members,
                         const struct lmn_member_view *member, double health_age_s,
                         struct timespec now, struct lmn_failure_evidence *evidence)
{
    bool is_unresponsive =
        evidence->own_phi >= SUSPICIOUS_PHI && !evidence->is_reached_by_others;

    if (!is_unresponsive &&
        has_stale_cache(members, member, evidence, health_age_s, now)) {
        evidence->cause = LMN_CAUSE_STALE_CACHE;
        evidence->independent_witnesses = 2; /* its own statement, and our cache */
    } else if (!is_unresponsive && misses_heartbeats(evidence, member)) {
        evidence->cause = LMN_CAUSE_NO_HEARTBEATS;
        evidence->independent_witnesses = 2; /* its own statement, and its workers */
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
        lmn_member_redirected_workers(members, member_index, now);
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

/** Whether the member has refuted a suspicion so recently that the next one has to wait:
 * longer with each refutation, up to the lease. Refutations are forgotten as failures
 * are. */
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

/** Whether there is a member that replies, and could probe the one in question. */
static bool has_other_witnesses(const struct lmn_members *members, int about_index)
{
    for (int i = 0; i < members->count; i++)
        if (i != members->self && i != about_index && members->views[i].is_present &&
            !members->views[i].unanswered_since.tv_sec)
            return true;
    return false;
}

/** Whether other members have had the time to say that they reach the member, or there is
 * none to ask. */
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

/** Whether a majority of the members that were present remains if this one is declared
 * failed as well. If most seem to have failed, the fault is here: only the member's
 * workers, which have come here, can show that it is not. */
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
        /* The member itself is counted below. Counted here too, it would count twice once
         * a first partition of it was claimed, and the claims of its other partitions
         * would wait for its workers. */
        failed_count += other != member &&
                        (!other->is_present ||
                         (other->is_declared_failed && other->unanswered_since.tv_sec));
    }
    /* Of two members, each may declare the other failed: what decides is which of them
     * does not refute the suspicion. */
    return members->count <= 2 ||
           evidence->redirected_workers >= min_redirected_workers(member) ||
           2 * (present_count - failed_count - 1) > present_count;
}

bool lmn_member_is_declared_failed(const struct lmn_members *members, int member_index,
                                   struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];
    struct lmn_failure_evidence evidence;
    /* With two members there is no third to confirm it: one witness has to suffice, and
     * the suspicion stands for twice as long. */
    bool is_pair = members->count <= 2;

    if (member_index == members->self ||
        !lmn_member_is_suspected(members, member_index) ||
        !lmn_self_may_claim(members, now))
        return false;
    lmn_member_failure_evidence(members, member_index, now, &evidence);
    /* A member that does everything late needs longer to refute. */
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

/** How many of this controller's workers have come to the member, by its own recent
 * statement; 0 if they are too few to be evidence, or the member is not trusted. */
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
