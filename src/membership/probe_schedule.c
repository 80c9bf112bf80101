/* Whom to ask next, and what to tell along. */
#include "membership/membership.h"

#include <string.h>

/* As SWIM (A. Das and others, 2002): one at a time, in an order that is shuffled each
 * round, so that each is asked once in a round; when one does not answer, up to three
 * others are asked about it. */
enum { HELPERS = 3 };

/* An answer is given up when it is this unlikely to come. */
static const double GIVE_UP_PHI = 8;

static double patience(const struct lmn_members *ms, const struct lmn_member_view *m)
{
    double s = lmn_phi_accrual_timeout_s(&m->answers, GIVE_UP_PHI);

    return CLAMP(s * (1 + ms->health), ms->t.patience_s, 2 * ms->t.patience_s);
}

static bool ask(struct lmn_members *ms, int rank, int about, struct lmn_probe *q)
{
    q->rank = rank;
    q->about = about;
    q->patience_s = patience(ms, &ms->v[rank]);
    ms->count.asked++;
    return true;
}

/* One that has not answered, and is not dealt with yet; its turn of helpers is open. */
static bool wants_help(const struct lmn_members *ms, int rank, struct timespec now)
{
    const struct lmn_member_view *m = &ms->v[rank];

    return rank != ms->me && m->present && m->unanswered.tv_sec && !m->judged &&
           !lmn_time_before(now, m->help);
}

static int helper(const struct lmn_members *ms, int about, GRand *rng)
{
    int from = g_rand_int_range(rng, 0, ms->n);

    for (int k = 0; k < ms->n; k++) {
        int i = (from + k) % ms->n;
        const struct lmn_member_view *m = &ms->v[i];
        if (i != ms->me && i != about && m->present && !m->unanswered.tv_sec)
            return i;
    }
    return -1;
}

/* Those that have not answered are asked again, */
static bool once_more(struct lmn_members *ms, struct timespec now, struct lmn_probe *q)
{
    for (int k = 0; k < ms->n; k++) {
        int i = (ms->turn + k) % ms->n;
        struct lmn_member_view *m = &ms->v[i];
        if (i == ms->me || !m->soon || !m->present || lmn_time_before(now, m->next))
            continue;
        m->soon = false;
        return ask(ms, i, -1, q);
    }
    return false;
}

/* and others are asked about them. */
static bool elsewhere(struct lmn_members *ms, GRand *rng, struct timespec now,
                      struct lmn_probe *q)
{
    for (int k = 0; k < ms->n; k++) {
        int i = (ms->turn + k) % ms->n;
        struct lmn_member_view *m = &ms->v[i];
        if (!wants_help(ms, i, now))
            continue;
        int h = helper(ms, i, rng);
        if (++m->helped >= MIN(HELPERS, (unsigned)MAX(ms->n - 2, 0)) || h < 0) {
            m->helped = 0;
            m->help = lmn_time_add(now, ms->t.every_s / 2);
        }
        if (h >= 0)
            return ask(ms, h, i, q);
    }
    return false;
}

/* In turns: when a third of the members died at once, those first in order were asked
 * about all the time, and nobody spoke of the last. */
static bool beyond_the_round(struct lmn_members *ms, GRand *rng, struct timespec now,
                             struct lmn_probe *q)
{
    ms->turn = (ms->turn + 1) % ms->n;
    if (ms->turn % 2)
        return once_more(ms, now, q) || elsewhere(ms, rng, now, q);
    return elsewhere(ms, rng, now, q) || once_more(ms, now, q);
}

static bool of_the_round(struct lmn_members *ms, GRand *rng, struct lmn_probe *q)
{
    for (int tries = 0; tries < 2 * ms->n; tries++) {
        if (ms->at >= ms->n) {
            ms->at = 0;
            for (int i = 0; i < ms->n; i++) {
                int k = g_rand_int_range(rng, i, ms->n), x = ms->order[i];
                ms->order[i] = ms->order[k];
                ms->order[k] = x;
            }
        }
        int rank = ms->order[ms->at++];
        /* Those without an answer are asked beyond the round. */
        if (rank != ms->me && ms->v[rank].present && !ms->v[rank].unanswered.tv_sec)
            return ask(ms, rank, -1, q);
    }
    return false;
}

bool lmn_member_next_probe(struct lmn_members *ms, GRand *rng, struct timespec now,
                           struct lmn_probe *q, double *wait)
{
    if (!lmn_time_before(now, ms->beyond)) {
        /* Four to an interval at most, whatever is the matter. */
        if (beyond_the_round(ms, rng, now, q)) {
            ms->beyond = lmn_time_add(now, ms->t.every_s / 4);
            return true;
        }
    }
    if (!lmn_time_before(now, ms->next)) {
        ms->next = lmn_time_add(now, ms->t.every_s);
        if (of_the_round(ms, rng, q))
            return true;
    }
    *wait = CLAMP(lmn_time_diff_s(ms->next, now), 0.01, ms->t.every_s / 4);
    return false;
}

unsigned lmn_member_redirected_workers(const struct lmn_members *ms, int rank,
                                       struct timespec now)
{
    const struct lmn_member_view *m = &ms->v[rank];
    unsigned n = 0;

    /* A worker comes back at its next report at the latest. */
    for (guint i = 0; i < LMN_MAX_REDIRECTED_WORKERS; i++)
        n += m->visitors[i].at.tv_sec &&
             lmn_time_diff_s(now, m->visitors[i].at) < ms->t.overdue_s + 5;
    return n;
}

static void state_of(const struct lmn_members *ms, int of, struct timespec now,
                     struct lmn_gossip_statement *s)
{
    const struct lmn_member_view *m = &ms->v[of];

    *s = (struct lmn_gossip_statement){
        .of = of,
        .inc = m->inc,
        .heard_s = m->ever ? lmn_time_diff_s(now, m->heard) : -1,
        .unanswered_s = m->unanswered.tv_sec ? lmn_time_diff_s(now, m->unanswered) : 0,
        .visitors = lmn_member_redirected_workers(ms, of, now),
    };
}

unsigned lmn_member_gossip(struct lmn_members *ms, int to, int about, struct timespec now,
                           struct lmn_gossip_statement *out)
{
    unsigned n = 0;

    if (to >= 0 && to != ms->me)
        state_of(ms, to, now, &out[n++]);
    if (about >= 0 && about != ms->me && about != to)
        state_of(ms, about, now, &out[n++]);
    ms->told = (ms->told + 1) % ms->n;
    for (int k = 0; k < ms->n && n < LMN_MAX_GOSSIP_STATEMENTS; k++) {
        int i = (ms->told + k) % ms->n;
        const struct lmn_member_view *m = &ms->v[i];
        if (i == to || i == about || i == ms->me || !m->present)
            continue;
        state_of(ms, i, now, &out[n]);
        n += out[n].unanswered_s > 0 || out[n].visitors > 0 ||
             lmn_member_is_suspected(ms, i);
    }
    return n;
}
