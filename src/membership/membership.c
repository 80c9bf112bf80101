/* What is observed of members, and of this node itself. */
#include "membership/membership.h"

#include <string.h>

/* A gap between two looks at the state service beyond this one, and a suspicion begins
 * anew: while it was down, nobody could refute. A look waits for up to 0.8 s. */
static const double GAP_S = 1.6;
enum { WORST = 8 };

void lmn_membership_timeouts_init(const struct lmn_settings *cfg,
                                  struct lmn_membership_timeouts *timeouts)
{
    /* Short enough that a successor answers a crashed owner's workers within their lease,
     * long enough for the stalls of a small share of a core. */
    timeouts->lease_s = CLAMP(0.4 * cfg->lease_s, 2.0, 8.0);
    timeouts->every_s = timeouts->lease_s / 16;
    timeouts->patience_s = MAX(timeouts->every_s, 0.4);
    timeouts->doubt_s = MAX(timeouts->lease_s / 6, 1);
    timeouts->jump_s = timeouts->doubt_s + timeouts->every_s;
    timeouts->overdue_s = 1.25 * cfg->report_s + 0.5;
}

const char *lmn_suspicion_cause_name(enum lmn_suspicion_cause c)
{
    static const char *const names[] = {"silent", "deaf", "blind"};

    return c < LMN_SUSPICION_CAUSES ? names[c] : "unknown";
}

void lmn_members_init(struct lmn_members *members, const struct lmn_settings *cfg,
                      struct timespec now)
{
    memset(members, 0, sizeof *members);
    members->cfg = cfg;
    lmn_membership_timeouts_init(cfg, &members->t);
    members->n = (int)cfg->nmembers + 1;
    members->me = lmn_settings_member_index(cfg, cfg->node);
    members->names[members->me] = cfg->node;
    for (size_t i = 0; i < cfg->nmembers; i++)
        members->names[lmn_settings_member_index(cfg, cfg->members[i].name)] =
            cfg->members[i].name;
    for (int i = 0; i < members->n; i++) {
        members->order[i] = i;
        members->v[i].since = now;
    }
    members->at = members->n;
    members->heard_worker = now;
}

const char *lmn_member_name(const struct lmn_members *members, int member_index)
{
    return members->names[member_index];
}

int lmn_member_index(const struct lmn_members *members, const char *name)
{
    for (int i = 0; i < members->n; i++)
        if (!strcmp(members->names[i], name))
            return i;
    return -1;
}

/* --- this node --- */

static bool jumped(const struct lmn_members *members, struct timespec now)
{
    double gap = members->tick.tv_sec ? lmn_time_diff_s(now, members->tick) : 0;

    /* A node that is always late has not stood still. */
    return gap > members->t.jump_s && gap > 4 * members->late_s;
}

void lmn_members_tick(struct lmn_members *members, double late_s, struct timespec now)
{
    if (jumped(members, now)) {
        members->woke = now;
        members->health = MIN(members->health + 2, (unsigned)WORST);
    }
    members->late_s += (MAX(late_s, 0) - members->late_s) * 0.1;
    members->tick = now;
}

void lmn_members_record_watch(struct lmn_members *members, struct timespec asked)
{
    if (!members->synced.tv_sec)
        members->synced = asked;
    if (lmn_time_diff_s(asked, members->fresh) > GAP_S) {
        members->steady = asked;
        for (int i = 0; i < members->n; i++)
            members->v[i].doubted = asked;
    }
    members->fresh = asked;
}

bool lmn_self_may_reply(const struct lmn_members *members, struct timespec now)
{
    return !jumped(members, now) &&
           !(members->woke.tv_sec && lmn_time_before(members->fresh, members->woke));
}

void lmn_members_record_own_worker(struct lmn_members *members, struct timespec now)
{
    members->heard_worker = now;
    members->shut = false;
}

/* --- as the mirror shows them --- */

void lmn_member_apply_record(struct lmn_members *members, int member_index,
                             uint64_t revision, uint64_t lease, struct timespec now)
{
    struct lmn_member_view *member = &members->v[member_index];

    if (member->present != (revision != 0))
        member->since = now;
    if (revision && member->present && member->doubt_inc == member->inc && member->inc) {
        member->refutes++;
        member->refuted = now;
        members->count.refutations += member_index == members->me;
        if (member_index == members->me) /* others could not hear this node */
            members->health = MIN(members->health + 1, (unsigned)WORST);
    }
    member->present = revision != 0;
    member->inc = revision;
    member->inc_at = now;
    member->lease = revision ? lease : 0;
    member->judged = false;
    if (revision) {
        /* Whoever writes lives. */
        member->unanswered = (struct timespec){0, 0};
        member->failures = 0;
        member->excused = false;
    }
}

void lmn_member_apply_suspicion(struct lmn_members *members, int member_index,
                                uint64_t revision, uint64_t inc, const char *by,
                                enum lmn_suspicion_cause why, struct timespec now)
{
    struct lmn_member_view *member = &members->v[member_index];

    member->doubt_rev = revision;
    if (!revision || inc != member->doubt_inc) {
        member->doubted = now;
        member->soon = member_index != members->me;
        member->next = now;
    }
    member->doubt_inc = revision ? inc : 0;
    /* A verdict stands as long as the suspicion that it was about. Once a member whose
     * accuser had ended before it refuted had nothing to refute any more, and stayed
     * judged for ever. */
    member->judged = member->judged && member->doubt_inc == member->inc;
    member->doubt_why = why;
    g_strlcpy(member->doubt_by, by, sizeof member->doubt_by);
}

void lmn_member_record_failure(struct lmn_members *members, int member_index,
                               struct timespec now)
{
    struct lmn_member_view *member = &members->v[member_index];

    /* One that gave them away itself is not judged, and has nothing to refute: found when
     * such a member never got its partition back. */
    member->judged = member->judged || lmn_member_is_suspected(members, member_index);
    /* All its partitions at once are one failure. */
    if (member->struck.tv_sec &&
        lmn_time_diff_s(now, member->struck) < members->t.lease_s)
        return;
    member->strikes = MIN(member->strikes + 1, 6u);
    member->struck = now;
}

/* --- questions and answers --- */

static void hear(struct lmn_members *members, int member_index,
                 const struct lmn_member_health *health, struct timespec lived,
                 struct timespec now)
{
    struct lmn_member_view *member = &members->v[member_index];

    member->ever = true;
    if (lmn_time_before(member->heard, lived))
        member->heard = lived;
    /* What was asked later is still open. */
    if (!lmn_time_before(lived, member->unanswered)) {
        member->unanswered = (struct timespec){0, 0};
        member->failures = 0;
        member->excused = false;
    }
    member->word = *health;
    member->word_at = now;
}

void lmn_member_record_contact(struct lmn_members *members, int member_index,
                               const struct lmn_member_health *health,
                               struct timespec sent, struct timespec now)
{
    hear(members, member_index, health, sent, now);
}

void lmn_member_record_probe_reply(struct lmn_members *members, int member_index,
                                   const struct lmn_member_health *health,
                                   struct timespec sent, struct timespec now)
{
    lmn_phi_accrual_add(&members->v[member_index].answers, lmn_time_diff_s(now, sent));
    hear(members, member_index, health, sent, now);
    members->v[member_index].soon = false;
    if (members->health)
        members->health--;
}

void lmn_member_record_probe_timeout(struct lmn_members *members, int member_index,
                                     struct timespec sent, struct timespec now)
{
    struct lmn_member_view *member = &members->v[member_index];

    members->count.unanswered++;
    if (lmn_time_before(sent, member->heard))
        return; /* it was heard by other ways meanwhile */
    if (!member->unanswered.tv_sec) {
        member->unanswered = sent;
        member->helped = 0;
        member->help = now;
    }
    member->failures++;
    /* Again at once, but a member that is gone for long must not take all the time. */
    member->soon = true;
    member->next = lmn_time_add(now, members->t.every_s * MIN(member->failures, 8u) / 2);
}

void lmn_member_record_gossip(struct lmn_members *members, int by,
                              const struct lmn_gossip_statement *statement,
                              struct timespec now)
{
    if (statement->of < 0 || statement->of >= members->n || by < 0 || by >= members->n ||
        statement->of == by)
        return;
    struct lmn_member_view *member = &members->v[statement->of];

    member->witness[by] = (struct lmn_gossip_record){now, *statement};
    if (statement->of == members->me)
        return;
    member->helped_at = now;
    /* The other hears it, this node does not: its own ears may be at fault. */
    if (member->unanswered.tv_sec && statement->heard_s >= 0 &&
        statement->unanswered_s <= 0 &&
        statement->heard_s < lmn_time_diff_s(now, member->unanswered) &&
        !member->excused) {
        member->excused = true;
        members->health = MIN(members->health + 1, (unsigned)WORST);
    }
    if (statement->unanswered_s > 0)
        lmn_member_request_probe(members, statement->of, now);
}

void lmn_member_request_probe(struct lmn_members *members, int member_index,
                              struct timespec now)
{
    struct lmn_member_view *member = &members->v[member_index];

    if (member_index == members->me || member->unanswered.tv_sec || member->soon ||
        (member->ever && lmn_time_diff_s(now, member->heard) < members->t.every_s / 2))
        return;
    member->soon = true;
    member->next = now;
}

void lmn_member_record_redirected_worker(struct lmn_members *members, int member_index,
                                         const char *worker, uint64_t session,
                                         uint64_t seq, struct timespec now)
{
    struct lmn_member_view *member = &members->v[member_index];
    guint who = g_str_hash(worker), at = 0;

    for (guint i = 0; i < LMN_MAX_REDIRECTED_WORKERS; i++) {
        if (member->visitors[i].who == who && member->visitors[i].at.tv_sec) {
            /* A copy of a report that comes again, minutes later, is no witness. */
            if (session < member->visitors[i].session ||
                (session == member->visitors[i].session &&
                 seq <= member->visitors[i].seq))
                return;
            at = i;
            break;
        }
        if (lmn_time_before(member->visitors[i].at, member->visitors[at].at))
            at = i;
    }
    member->visitors[at].who = who;
    member->visitors[at].session = session;
    member->visitors[at].seq = seq;
    member->visitors[at].at = now;
}
