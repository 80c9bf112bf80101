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
    return member->machines ? CLAMP(member->machines / 20, MIN(3, member->machines),
                                    LMN_MAX_REDIRECTED_WORKERS / 2)
                            : LMN_MAX_REDIRECTED_WORKERS + 1;
}

static bool deaf(const struct lmn_failure_evidence *evidence,
                 const struct lmn_member_view *member)
{
    return evidence->deaf > DEAF && evidence->visitors >= enough(member);
}

static void hear_witness(const struct lmn_members *members,
                         const struct lmn_member_view *member,
                         const struct lmn_gossip_record *record, struct timespec now,
                         struct lmn_failure_evidence *evidence)
{
    double age = lmn_time_diff_s(now, record->at);

    if (!record->at.tv_sec || age > TELLING_S)
        return;
    evidence->visitors = MAX(evidence->visitors, record->s.visitors);
    if (record->s.unanswered_s <= 0) {
        /* Heard since our question, and lately: it is asked again at once when somebody
         * asks about it. */
        double heard = record->s.heard_s + age;
        evidence->alive =
            evidence->alive || (record->s.heard_s >= 0 && member->unanswered.tv_sec &&
                                heard < lmn_time_diff_s(now, member->unanswered) &&
                                heard < members->t.patience_s + 2 * members->t.every_s);
        return;
    }
    double phi = lmn_phi_accrual_phi(&member->answers, (record->s.unanswered_s + age) /
                                                           (1 + members->health));
    evidence->others = MAX(evidence->others, phi);
    evidence->by += record->s.inc == member->inc && phi >= AGAINST_PHI;
}

void lmn_member_failure_evidence(const struct lmn_members *members, int member_index,
                                 struct timespec now,
                                 struct lmn_failure_evidence *evidence)
{
    const struct lmn_member_view *member = &members->v[member_index];

    memset(evidence, 0, sizeof *evidence);
    if (member->unanswered.tv_sec && member->ever)
        evidence->asked = lmn_phi_accrual_phi(&member->answers,
                                              lmn_time_diff_s(now, member->unanswered) /
                                                  (1 + members->health));
    evidence->visitors = lmn_member_redirected_workers(members, member_index, now);
    for (int k = 0; k < members->n; k++)
        if (k != member_index && k != members->me)
            hear_witness(members, member, &member->witness[k], now, evidence);
    double age = lmn_time_diff_s(now, member->word_at);
    if (member->word_at.tv_sec && age < TELLING_S) {
        evidence->stale_s = member->word.stale_s;
        evidence->deaf = member->word.deaf;
    }
    bool asked = evidence->asked >= AGAINST_PHI && !evidence->alive;
    /* Its mirror has stood still while ours moved all the time: when an outage ends, some
     * hear of it a moment before others. */
    if (!asked && evidence->stale_s > BLIND_S &&
        lmn_time_diff_s(now, member->inc_at) > BLIND_S &&
        lmn_time_diff_s(now, members->steady) > evidence->stale_s + age &&
        lmn_time_diff_s(now, members->fresh) < SEEING_S) {
        evidence->cause = LMN_CAUSE_STALE_CACHE;
        evidence->sides = 2; /* its own word, and our mirror */
    } else if (!asked && deaf(evidence, member)) {
        evidence->cause = LMN_CAUSE_NO_HEARTBEATS;
        evidence->sides = 2; /* its own word, and its workers */
    } else {
        evidence->cause = LMN_CAUSE_UNRESPONSIVE;
        evidence->sides = asked + (asked && evidence->by) +
                          (asked && evidence->visitors >= enough(member));
    }
}

bool lmn_member_is_suspected(const struct lmn_members *members, int member_index)
{
    const struct lmn_member_view *member = &members->v[member_index];

    return member->present && member->doubt_inc == member->inc;
}

/* After a refutation the next suspicion waits, longer each time; it is forgotten as
 * failures are. */
static bool refuted_lately(const struct lmn_members *members,
                           const struct lmn_member_view *member, struct timespec now)
{
    double since = lmn_time_diff_s(now, member->refuted);
    unsigned n = member->refutes - MIN(member->refutes, (unsigned)(since / FORGIVE_S));

    return member->refuted.tv_sec && n &&
           since <
               MIN(members->t.every_s * (double)(1u << MIN(n, 10u)), members->t.lease_s);
}

static bool others_to_ask(const struct lmn_members *members, int about)
{
    for (int i = 0; i < members->n; i++)
        if (i != members->me && i != about && members->v[i].present &&
            !members->v[i].unanswered.tv_sec)
            return true;
    return false;
}

bool lmn_member_should_suspect(const struct lmn_members *members, int member_index,
                               struct timespec now, struct lmn_failure_evidence *evidence)
{
    const struct lmn_member_view *member = &members->v[member_index];

    lmn_member_failure_evidence(members, member_index, now, evidence);
    if (member_index == members->me || !member->present ||
        lmn_member_is_suspected(members, member_index) ||
        !lmn_self_may_claim(members, now) ||
        (refuted_lately(members, member, now) && evidence->visitors < enough(member)))
        return false;
    if (evidence->cause != LMN_CAUSE_UNRESPONSIVE)
        return evidence->sides >= 2;
    /* Another has had the time to say that it hears it, if there is one to ask. */
    return evidence->sides >= 1 &&
           (!others_to_ask(members, member_index) || evidence->by ||
            lmn_time_before(member->unanswered, member->helped_at) ||
            lmn_time_diff_s(now, member->unanswered) >
                members->t.patience_s + 2 * members->t.every_s);
}

/* So many verdicts at a time as leave a majority of those that were up: if most seem
 * dead, the fault is here. Workers at our door have come from the member: then it is not.
 */
static bool in_bounds(const struct lmn_members *members, const struct lmn_member_view *m,
                      const struct lmn_failure_evidence *evidence, struct timespec now)
{
    int up = 1, gone = 0;

    for (int i = 0; i < members->n; i++) {
        const struct lmn_member_view *o = &members->v[i];
        if (i == members->me || !o->ever ||
            (!o->present && lmn_time_diff_s(now, o->since) > LATELY_S))
            continue;
        up++;
        /* Itself is counted below: once a first partition of it was taken it counted
         * twice, and the others waited for its workers. */
        gone += o != m && (!o->present || (o->judged && o->unanswered.tv_sec));
    }
    /* Of two, each may judge the other: there, the unanswered suspicion is what tells. */
    return members->n <= 2 || evidence->visitors >= enough(m) || 2 * (up - gone - 1) > up;
}

bool lmn_member_is_declared_failed(const struct lmn_members *members, int member_index,
                                   struct timespec now)
{
    const struct lmn_member_view *member = &members->v[member_index];
    struct lmn_failure_evidence e;

    if (member_index == members->me || !lmn_member_is_suspected(members, member_index) ||
        !lmn_self_may_claim(members, now))
        return false;
    lmn_member_failure_evidence(members, member_index, now, &e);
    double stands =
        members->t.doubt_s * (1 + members->health) * (members->n <= 2 ? 2 : 1) +
        MIN(2 * member->word.behind_s, members->t.lease_s);
    return e.sides >= (members->n <= 2 ? 1u : 2u) &&
           lmn_time_diff_s(members->fresh, member->doubted) >= stands &&
           in_bounds(members, member, &e, now);
}

bool lmn_member_is_trusted(const struct lmn_members *members, int member_index,
                           struct timespec now)
{
    const struct lmn_member_view *member = &members->v[member_index];
    struct lmn_failure_evidence e;

    if (member->leaving)
        return false;
    if (member_index == members->me)
        return lmn_self_may_claim(members, now) &&
               !lmn_member_is_suspected(members, member_index);
    if (!member->present || member->judged ||
        lmn_member_is_suspected(members, member_index))
        return false;
    lmn_member_failure_evidence(members, member_index, now, &e);
    return e.asked < AGAINST_PHI && e.stale_s <= BLIND_S && e.deaf <= DEAF;
}

double lmn_member_readmission_delay_s(const struct lmn_members *members, int member_index,
                                      struct timespec now)
{
    const struct lmn_member_view *member = &members->v[member_index];
    unsigned forgiven = member->struck.tv_sec
                            ? (unsigned)(lmn_time_diff_s(now, member->struck) / FORGIVE_S)
                            : member->strikes;
    unsigned n = member->strikes - MIN(member->strikes, forgiven);
    double least = BACK_S * (double)(1u << (n ? n - 1 : 0));
    double up = lmn_time_diff_s(now, member->since);

    if (member->struck.tv_sec)
        up = MIN(up, lmn_time_diff_s(now, member->struck));
    return MAX(least - up, 0);
}

/* --- this node --- */

bool lmn_self_may_claim(const struct lmn_members *members, struct timespec now)
{
    return members->synced.tv_sec && lmn_time_diff_s(now, members->synced) >= SETTLE_S &&
           lmn_self_may_reply(members, now) && !members->shut &&
           lmn_time_diff_s(now, members->fresh) < BLIND_S;
}

bool lmn_self_should_refute(const struct lmn_members *members, struct timespec now)
{
    const struct lmn_member_view *member = &members->v[members->me];

    return lmn_member_is_suspected(members, members->me) &&
           lmn_self_may_reply(members, now) &&
           (member->doubt_why != LMN_CAUSE_NO_HEARTBEATS || members->word.deaf <= DEAF);
}

int lmn_self_transfer_target(const struct lmn_members *members, struct timespec now)
{
    const struct lmn_member_view *member = &members->v[members->me];
    unsigned most = 0;
    int successor = -1;

    if (members->word.deaf <= DEAF || !lmn_self_may_reply(members, now))
        return -1;
    for (int k = 0; k < members->n; k++) {
        const struct lmn_gossip_record *record = &member->witness[k];
        if (k == members->me || !record->at.tv_sec ||
            lmn_time_diff_s(now, record->at) > TELLING_S ||
            record->s.visitors < enough(member) ||
            !lmn_member_is_trusted(members, k, now))
            continue;
        if (record->s.visitors > most) {
            most = record->s.visitors;
            successor = k;
        }
    }
    return successor;
}
