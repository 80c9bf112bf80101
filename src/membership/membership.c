/* What is observed of members, and of this node itself. */
#include "membership/membership.h"

#include <string.h>

/* A gap between two looks at the state service beyond this one, and a suspicion begins
 * anew: while it was down, nobody could refute. A look waits for up to 0.8 s. */
static const double GAP_S = 1.6;
enum { WORST = 8 };

void lmn_membership_timeouts_init(const struct lmn_settings *cfg,
                                  struct lmn_membership_timeouts *t)
{
    /* Short enough that a successor answers a crashed owner's workers within their lease,
     * long enough for the stalls of a small share of a core. */
    t->lease_s = CLAMP(0.4 * cfg->lease_s, 2.0, 8.0);
    t->every_s = t->lease_s / 16;
    t->patience_s = MAX(t->every_s, 0.4);
    t->doubt_s = MAX(t->lease_s / 6, 1);
    t->jump_s = t->doubt_s + t->every_s;
    t->overdue_s = 1.25 * cfg->report_s + 0.5;
}

const char *lmn_suspicion_cause_name(enum lmn_suspicion_cause c)
{
    static const char *const names[] = {"silent", "deaf", "blind"};

    return c < LMN_SUSPICION_CAUSES ? names[c] : "unknown";
}

void lmn_members_init(struct lmn_members *ms, const struct lmn_settings *cfg,
                      struct timespec now)
{
    memset(ms, 0, sizeof *ms);
    ms->cfg = cfg;
    lmn_membership_timeouts_init(cfg, &ms->t);
    ms->n = (int)cfg->nmembers + 1;
    ms->me = lmn_settings_member_index(cfg, cfg->node);
    ms->names[ms->me] = cfg->node;
    for (size_t i = 0; i < cfg->nmembers; i++)
        ms->names[lmn_settings_member_index(cfg, cfg->members[i].name)] =
            cfg->members[i].name;
    for (int i = 0; i < ms->n; i++) {
        ms->order[i] = i;
        ms->v[i].since = now;
    }
    ms->at = ms->n;
    ms->heard_worker = now;
}

const char *lmn_member_name(const struct lmn_members *ms, int rank)
{
    return ms->names[rank];
}

int lmn_member_index(const struct lmn_members *ms, const char *name)
{
    for (int i = 0; i < ms->n; i++)
        if (!strcmp(ms->names[i], name))
            return i;
    return -1;
}

/* --- this node --- */

static bool jumped(const struct lmn_members *ms, struct timespec now)
{
    double gap = ms->tick.tv_sec ? lmn_time_diff_s(now, ms->tick) : 0;

    /* A node that is always late has not stood still. */
    return gap > ms->t.jump_s && gap > 4 * ms->late_s;
}

void lmn_members_tick(struct lmn_members *ms, double late_s, struct timespec now)
{
    if (jumped(ms, now)) {
        ms->woke = now;
        ms->health = MIN(ms->health + 2, (unsigned)WORST);
    }
    ms->late_s += (MAX(late_s, 0) - ms->late_s) * 0.1;
    ms->tick = now;
}

void lmn_members_record_watch(struct lmn_members *ms, struct timespec asked)
{
    if (!ms->synced.tv_sec)
        ms->synced = asked;
    if (lmn_time_diff_s(asked, ms->fresh) > GAP_S) {
        ms->steady = asked;
        for (int i = 0; i < ms->n; i++)
            ms->v[i].doubted = asked;
    }
    ms->fresh = asked;
}

bool lmn_self_may_reply(const struct lmn_members *ms, struct timespec now)
{
    return !jumped(ms, now) && !(ms->woke.tv_sec && lmn_time_before(ms->fresh, ms->woke));
}

void lmn_members_record_own_worker(struct lmn_members *ms, struct timespec now)
{
    ms->heard_worker = now;
    ms->shut = false;
}

/* --- as the mirror shows them --- */

void lmn_member_apply_record(struct lmn_members *ms, int rank, uint64_t rev,
                             uint64_t lease, struct timespec now)
{
    struct lmn_member_view *m = &ms->v[rank];

    if (m->present != (rev != 0))
        m->since = now;
    if (rev && m->present && m->doubt_inc == m->inc && m->inc) {
        m->refutes++;
        m->refuted = now;
        ms->count.refutations += rank == ms->me;
        if (rank == ms->me) /* others could not hear this node */
            ms->health = MIN(ms->health + 1, (unsigned)WORST);
    }
    m->present = rev != 0;
    m->inc = rev;
    m->inc_at = now;
    m->lease = rev ? lease : 0;
    m->judged = false;
    if (rev) {
        /* Whoever writes lives. */
        m->unanswered = (struct timespec){0, 0};
        m->failures = 0;
        m->excused = false;
    }
}

void lmn_member_apply_suspicion(struct lmn_members *ms, int rank, uint64_t rev,
                                uint64_t inc, const char *by,
                                enum lmn_suspicion_cause why, struct timespec now)
{
    struct lmn_member_view *m = &ms->v[rank];

    m->doubt_rev = rev;
    if (!rev || inc != m->doubt_inc) {
        m->doubted = now;
        m->soon = rank != ms->me;
        m->next = now;
    }
    m->doubt_inc = rev ? inc : 0;
    /* A verdict stands as long as the suspicion that it was about. Once a member whose
     * accuser had ended before it refuted had nothing to refute any more, and stayed
     * judged for ever. */
    m->judged = m->judged && m->doubt_inc == m->inc;
    m->doubt_why = why;
    g_strlcpy(m->doubt_by, by, sizeof m->doubt_by);
}

void lmn_member_record_failure(struct lmn_members *ms, int rank, struct timespec now)
{
    struct lmn_member_view *m = &ms->v[rank];

    /* One that gave them away itself is not judged, and has nothing to refute: found when
     * such a member never got its partition back. */
    m->judged = m->judged || lmn_member_is_suspected(ms, rank);
    /* All its partitions at once are one failure. */
    if (m->struck.tv_sec && lmn_time_diff_s(now, m->struck) < ms->t.lease_s)
        return;
    m->strikes = MIN(m->strikes + 1, 6u);
    m->struck = now;
}

/* --- questions and answers --- */

static void hear(struct lmn_members *ms, int rank, const struct lmn_member_health *w,
                 struct timespec lived, struct timespec now)
{
    struct lmn_member_view *m = &ms->v[rank];

    m->ever = true;
    if (lmn_time_before(m->heard, lived))
        m->heard = lived;
    /* What was asked later is still open. */
    if (!lmn_time_before(lived, m->unanswered)) {
        m->unanswered = (struct timespec){0, 0};
        m->failures = 0;
        m->excused = false;
    }
    m->word = *w;
    m->word_at = now;
}

void lmn_member_record_contact(struct lmn_members *ms, int rank,
                               const struct lmn_member_health *w, struct timespec sent,
                               struct timespec now)
{
    hear(ms, rank, w, sent, now);
}

void lmn_member_record_probe_reply(struct lmn_members *ms, int rank,
                                   const struct lmn_member_health *w,
                                   struct timespec sent, struct timespec now)
{
    lmn_phi_accrual_add(&ms->v[rank].answers, lmn_time_diff_s(now, sent));
    hear(ms, rank, w, sent, now);
    ms->v[rank].soon = false;
    if (ms->health)
        ms->health--;
}

void lmn_member_record_probe_timeout(struct lmn_members *ms, int rank,
                                     struct timespec sent, struct timespec now)
{
    struct lmn_member_view *m = &ms->v[rank];

    ms->count.unanswered++;
    if (lmn_time_before(sent, m->heard))
        return; /* it was heard by other ways meanwhile */
    if (!m->unanswered.tv_sec) {
        m->unanswered = sent;
        m->helped = 0;
        m->help = now;
    }
    m->failures++;
    /* Again at once, but a member that is gone for long must not take all the time. */
    m->soon = true;
    m->next = lmn_time_add(now, ms->t.every_s * MIN(m->failures, 8u) / 2);
}

void lmn_member_record_gossip(struct lmn_members *ms, int by,
                              const struct lmn_gossip_statement *s, struct timespec now)
{
    if (s->of < 0 || s->of >= ms->n || by < 0 || by >= ms->n || s->of == by)
        return;
    struct lmn_member_view *m = &ms->v[s->of];

    m->witness[by] = (struct lmn_gossip_record){now, *s};
    if (s->of == ms->me)
        return;
    m->helped_at = now;
    /* The other hears it, this node does not: its own ears may be at fault. */
    if (m->unanswered.tv_sec && s->heard_s >= 0 && s->unanswered_s <= 0 &&
        s->heard_s < lmn_time_diff_s(now, m->unanswered) && !m->excused) {
        m->excused = true;
        ms->health = MIN(ms->health + 1, (unsigned)WORST);
    }
    if (s->unanswered_s > 0)
        lmn_member_request_probe(ms, s->of, now);
}

void lmn_member_request_probe(struct lmn_members *ms, int rank, struct timespec now)
{
    struct lmn_member_view *m = &ms->v[rank];

    if (rank == ms->me || m->unanswered.tv_sec || m->soon ||
        (m->ever && lmn_time_diff_s(now, m->heard) < ms->t.every_s / 2))
        return;
    m->soon = true;
    m->next = now;
}

void lmn_member_record_redirected_worker(struct lmn_members *ms, int rank,
                                         const char *worker, uint64_t session,
                                         uint64_t seq, struct timespec now)
{
    struct lmn_member_view *m = &ms->v[rank];
    guint who = g_str_hash(worker), at = 0;

    for (guint i = 0; i < LMN_MAX_REDIRECTED_WORKERS; i++) {
        if (m->visitors[i].who == who && m->visitors[i].at.tv_sec) {
            /* A copy of a report that comes again, minutes later, is no witness. */
            if (session < m->visitors[i].session ||
                (session == m->visitors[i].session && seq <= m->visitors[i].seq))
                return;
            at = i;
            break;
        }
        if (lmn_time_before(m->visitors[i].at, m->visitors[at].at))
            at = i;
    }
    m->visitors[at].who = who;
    m->visitors[at].session = session;
    m->visitors[at].seq = seq;
    m->visitors[at].at = now;
}
