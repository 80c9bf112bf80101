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
static unsigned enough(const struct lmn_member_view *m)
{
    return m->machines ? CLAMP(m->machines / 20, MIN(3, m->machines),
                               LMN_MAX_REDIRECTED_WORKERS / 2)
                       : LMN_MAX_REDIRECTED_WORKERS + 1;
}

static bool deaf(const struct lmn_failure_evidence *e, const struct lmn_member_view *m)
{
    return e->deaf > DEAF && e->visitors >= enough(m);
}

static void hear_witness(const struct lmn_members *ms, const struct lmn_member_view *m,
                         const struct lmn_gossip_record *w, struct timespec now,
                         struct lmn_failure_evidence *e)
{
    double age = lmn_time_diff_s(now, w->at);

    if (!w->at.tv_sec || age > TELLING_S)
        return;
    e->visitors = MAX(e->visitors, w->s.visitors);
    if (w->s.unanswered_s <= 0) {
        /* Heard since our question, and lately: it is asked again at once when somebody
         * asks about it. */
        double heard = w->s.heard_s + age;
        e->alive = e->alive || (w->s.heard_s >= 0 && m->unanswered.tv_sec &&
                                heard < lmn_time_diff_s(now, m->unanswered) &&
                                heard < ms->t.patience_s + 2 * ms->t.every_s);
        return;
    }
    double phi =
        lmn_phi_accrual_phi(&m->answers, (w->s.unanswered_s + age) / (1 + ms->health));
    e->others = MAX(e->others, phi);
    e->by += w->s.inc == m->inc && phi >= AGAINST_PHI;
}

void lmn_member_failure_evidence(const struct lmn_members *ms, int rank,
                                 struct timespec now, struct lmn_failure_evidence *e)
{
    const struct lmn_member_view *m = &ms->v[rank];

    memset(e, 0, sizeof *e);
    if (m->unanswered.tv_sec && m->ever)
        e->asked = lmn_phi_accrual_phi(&m->answers, lmn_time_diff_s(now, m->unanswered) /
                                                        (1 + ms->health));
    e->visitors = lmn_member_redirected_workers(ms, rank, now);
    for (int k = 0; k < ms->n; k++)
        if (k != rank && k != ms->me)
            hear_witness(ms, m, &m->witness[k], now, e);
    double age = lmn_time_diff_s(now, m->word_at);
    if (m->word_at.tv_sec && age < TELLING_S) {
        e->stale_s = m->word.stale_s;
        e->deaf = m->word.deaf;
    }
    bool asked = e->asked >= AGAINST_PHI && !e->alive;
    /* Its mirror has stood still while ours moved all the time: when an outage ends, some
     * hear of it a moment before others. */
    if (!asked && e->stale_s > BLIND_S && lmn_time_diff_s(now, m->inc_at) > BLIND_S &&
        lmn_time_diff_s(now, ms->steady) > e->stale_s + age &&
        lmn_time_diff_s(now, ms->fresh) < SEEING_S) {
        e->cause = LMN_CAUSE_STALE_CACHE;
        e->sides = 2; /* its own word, and our mirror */
    } else if (!asked && deaf(e, m)) {
        e->cause = LMN_CAUSE_NO_HEARTBEATS;
        e->sides = 2; /* its own word, and its workers */
    } else {
        e->cause = LMN_CAUSE_UNRESPONSIVE;
        e->sides = asked + (asked && e->by) + (asked && e->visitors >= enough(m));
    }
}

bool lmn_member_is_suspected(const struct lmn_members *ms, int rank)
{
    const struct lmn_member_view *m = &ms->v[rank];

    return m->present && m->doubt_inc == m->inc;
}

/* After a refutation the next suspicion waits, longer each time; it is forgotten as
 * failures are. */
static bool refuted_lately(const struct lmn_members *ms, const struct lmn_member_view *m,
                           struct timespec now)
{
    double since = lmn_time_diff_s(now, m->refuted);
    unsigned n = m->refutes - MIN(m->refutes, (unsigned)(since / FORGIVE_S));

    return m->refuted.tv_sec && n &&
           since < MIN(ms->t.every_s * (double)(1u << MIN(n, 10u)), ms->t.lease_s);
}

static bool others_to_ask(const struct lmn_members *ms, int about)
{
    for (int i = 0; i < ms->n; i++)
        if (i != ms->me && i != about && ms->v[i].present && !ms->v[i].unanswered.tv_sec)
            return true;
    return false;
}

bool lmn_member_should_suspect(const struct lmn_members *ms, int rank,
                               struct timespec now, struct lmn_failure_evidence *e)
{
    const struct lmn_member_view *m = &ms->v[rank];

    lmn_member_failure_evidence(ms, rank, now, e);
    if (rank == ms->me || !m->present || lmn_member_is_suspected(ms, rank) ||
        !lmn_self_may_claim(ms, now) ||
        (refuted_lately(ms, m, now) && e->visitors < enough(m)))
        return false;
    if (e->cause != LMN_CAUSE_UNRESPONSIVE)
        return e->sides >= 2;
    /* Another has had the time to say that it hears it, if there is one to ask. */
    return e->sides >= 1 &&
           (!others_to_ask(ms, rank) || e->by ||
            lmn_time_before(m->unanswered, m->helped_at) ||
            lmn_time_diff_s(now, m->unanswered) > ms->t.patience_s + 2 * ms->t.every_s);
}

/* So many verdicts at a time as leave a majority of those that were up: if most seem
 * dead, the fault is here. Workers at our door have come from the member: then it is not.
 */
static bool in_bounds(const struct lmn_members *ms, const struct lmn_member_view *m,
                      const struct lmn_failure_evidence *e, struct timespec now)
{
    int up = 1, gone = 0;

    for (int i = 0; i < ms->n; i++) {
        const struct lmn_member_view *o = &ms->v[i];
        if (i == ms->me || !o->ever ||
            (!o->present && lmn_time_diff_s(now, o->since) > LATELY_S))
            continue;
        up++;
        /* Itself is counted below: once a first partition of it was taken it counted
         * twice, and the others waited for its workers. */
        gone += o != m && (!o->present || (o->judged && o->unanswered.tv_sec));
    }
    /* Of two, each may judge the other: there, the unanswered suspicion is what tells. */
    return ms->n <= 2 || e->visitors >= enough(m) || 2 * (up - gone - 1) > up;
}

bool lmn_member_is_declared_failed(const struct lmn_members *ms, int rank,
                                   struct timespec now)
{
    const struct lmn_member_view *m = &ms->v[rank];
    struct lmn_failure_evidence e;

    if (rank == ms->me || !lmn_member_is_suspected(ms, rank) ||
        !lmn_self_may_claim(ms, now))
        return false;
    lmn_member_failure_evidence(ms, rank, now, &e);
    double stands = ms->t.doubt_s * (1 + ms->health) * (ms->n <= 2 ? 2 : 1) +
                    MIN(2 * m->word.behind_s, ms->t.lease_s);
    return e.sides >= (ms->n <= 2 ? 1u : 2u) &&
           lmn_time_diff_s(ms->fresh, m->doubted) >= stands && in_bounds(ms, m, &e, now);
}

bool lmn_member_is_trusted(const struct lmn_members *ms, int rank, struct timespec now)
{
    const struct lmn_member_view *m = &ms->v[rank];
    struct lmn_failure_evidence e;

    if (m->leaving)
        return false;
    if (rank == ms->me)
        return lmn_self_may_claim(ms, now) && !lmn_member_is_suspected(ms, rank);
    if (!m->present || m->judged || lmn_member_is_suspected(ms, rank))
        return false;
    lmn_member_failure_evidence(ms, rank, now, &e);
    return e.asked < AGAINST_PHI && e.stale_s <= BLIND_S && e.deaf <= DEAF;
}

double lmn_member_readmission_delay_s(const struct lmn_members *ms, int rank,
                                      struct timespec now)
{
    const struct lmn_member_view *m = &ms->v[rank];
    unsigned forgiven = m->struck.tv_sec
                            ? (unsigned)(lmn_time_diff_s(now, m->struck) / FORGIVE_S)
                            : m->strikes;
    unsigned n = m->strikes - MIN(m->strikes, forgiven);
    double least = BACK_S * (double)(1u << (n ? n - 1 : 0));
    double up = lmn_time_diff_s(now, m->since);

    if (m->struck.tv_sec)
        up = MIN(up, lmn_time_diff_s(now, m->struck));
    return MAX(least - up, 0);
}

/* --- this node --- */

bool lmn_self_may_claim(const struct lmn_members *ms, struct timespec now)
{
    return ms->synced.tv_sec && lmn_time_diff_s(now, ms->synced) >= SETTLE_S &&
           lmn_self_may_reply(ms, now) && !ms->shut &&
           lmn_time_diff_s(now, ms->fresh) < BLIND_S;
}

bool lmn_self_should_refute(const struct lmn_members *ms, struct timespec now)
{
    const struct lmn_member_view *m = &ms->v[ms->me];

    return lmn_member_is_suspected(ms, ms->me) && lmn_self_may_reply(ms, now) &&
           (m->doubt_why != LMN_CAUSE_NO_HEARTBEATS || ms->word.deaf <= DEAF);
}

int lmn_self_transfer_target(const struct lmn_members *ms, struct timespec now)
{
    const struct lmn_member_view *m = &ms->v[ms->me];
    unsigned most = 0;
    int successor = -1;

    if (ms->word.deaf <= DEAF || !lmn_self_may_reply(ms, now))
        return -1;
    for (int k = 0; k < ms->n; k++) {
        const struct lmn_gossip_record *w = &m->witness[k];
        if (k == ms->me || !w->at.tv_sec || lmn_time_diff_s(now, w->at) > TELLING_S ||
            w->s.visitors < enough(m) || !lmn_member_is_trusted(ms, k, now))
            continue;
        if (w->s.visitors > most) {
            most = w->s.visitors;
            successor = k;
        }
    }
    return successor;
}
