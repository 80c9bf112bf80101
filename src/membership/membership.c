/* What is observed of members, and of this node itself. */
#include "membership/membership.h"

#include <string.h>

/* A gap between two looks at the state service beyond this one, and a suspicion begins
 * anew: while it was down, nobody could refute. A look waits for up to 0.8 s. */
static const double GAP_S = 1.6;
enum { WORST = 8 };

void lmn_membership_timeouts_init(const struct lmn_settings *settings,
                                  struct lmn_membership_timeouts *timeouts)
{
    /* Short enough that a successor answers a crashed owner's workers within their lease,
     * long enough for the stalls of a small share of a core. */
    timeouts->lease_s = CLAMP(0.4 * settings->lease_s, 2.0, 8.0);
    timeouts->probe_interval_s = timeouts->lease_s / 16;
    timeouts->probe_timeout_s = MAX(timeouts->probe_interval_s, 0.4);
    timeouts->suspicion_s = MAX(timeouts->lease_s / 6, 1);
    timeouts->stall_s = timeouts->suspicion_s + timeouts->probe_interval_s;
    timeouts->heartbeat_overdue_s = 1.25 * settings->heartbeat_s + 0.5;
}

const char *lmn_suspicion_cause_name(enum lmn_suspicion_cause c)
{
    static const char *const names[] = {"silent", "deaf", "blind"};

    return c < LMN_SUSPICION_CAUSES ? names[c] : "unknown";
}

void lmn_members_init(struct lmn_members *members, const struct lmn_settings *settings,
                      struct timespec now)
{
    memset(members, 0, sizeof *members);
    members->settings = settings;
    lmn_membership_timeouts_init(settings, &members->timeouts);
    members->count = (int)settings->member_count + 1;
    members->self = lmn_settings_member_index(settings, settings->node_name);
    members->names[members->self] = settings->node_name;
    for (size_t i = 0; i < settings->member_count; i++)
        members->names[lmn_settings_member_index(settings, settings->members[i].name)] =
            settings->members[i].name;
    for (int i = 0; i < members->count; i++) {
        members->probe_order[i] = i;
        members->views[i].present_since = now;
    }
    members->probe_position = members->count;
    members->last_worker_contact_at = now;
}

const char *lmn_member_name(const struct lmn_members *members, int member_index)
{
    return members->names[member_index];
}

int lmn_member_index(const struct lmn_members *members, const char *name)
{
    for (int i = 0; i < members->count; i++)
        if (!strcmp(members->names[i], name))
            return i;
    return -1;
}

/* --- this node --- */

static bool jumped(const struct lmn_members *members, struct timespec now)
{
    double gap =
        members->last_tick_at.tv_sec ? lmn_time_diff_s(now, members->last_tick_at) : 0;

    /* A node that is always late has not stood still. */
    return gap > members->timeouts.stall_s && gap > 4 * members->tick_delay_s;
}

void lmn_members_tick(struct lmn_members *members, double late_s, struct timespec now)
{
    if (jumped(members, now)) {
        members->resumed_at = now;
        members->local_health = MIN(members->local_health + 2, (unsigned)WORST);
    }
    members->tick_delay_s += (MAX(late_s, 0) - members->tick_delay_s) * 0.1;
    members->last_tick_at = now;
}

void lmn_members_record_watch(struct lmn_members *members, struct timespec asked)
{
    if (!members->synced_at.tv_sec)
        members->synced_at = asked;
    if (lmn_time_diff_s(asked, members->cache_fresh_at) > GAP_S) {
        members->cache_fresh_since = asked;
        for (int i = 0; i < members->count; i++)
            members->views[i].suspected_since = asked;
    }
    members->cache_fresh_at = asked;
}

bool lmn_self_may_reply(const struct lmn_members *members, struct timespec now)
{
    return !jumped(members, now) &&
           !(members->resumed_at.tv_sec &&
             lmn_time_before(members->cache_fresh_at, members->resumed_at));
}

void lmn_members_record_own_worker(struct lmn_members *members, struct timespec now)
{
    members->last_worker_contact_at = now;
    members->is_isolated_from_workers = false;
}

/* --- as the mirror shows them --- */

void lmn_member_apply_record(struct lmn_members *members, int member_index,
                             uint64_t revision, uint64_t lease, struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    if (member->is_present != (revision != 0))
        member->present_since = now;
    if (revision && member->is_present &&
        member->suspected_incarnation == member->incarnation && member->incarnation) {
        member->refutations++;
        member->last_refutation_at = now;
        members->counters.refutations += member_index == members->self;
        if (member_index == members->self) /* others could not hear this node */
            members->local_health = MIN(members->local_health + 1, (unsigned)WORST);
    }
    member->is_present = revision != 0;
    member->incarnation = revision;
    member->incarnation_seen_at = now;
    member->lease = revision ? lease : 0;
    member->is_declared_failed = false;
    if (revision) {
        /* Whoever writes lives. */
        member->unanswered_since = (struct timespec){0, 0};
        member->probe_failures = 0;
        member->reached_by_others = false;
    }
}

void lmn_member_apply_suspicion(struct lmn_members *members, int member_index,
                                uint64_t revision, uint64_t inc, const char *by,
                                enum lmn_suspicion_cause why, struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    member->suspicion_revision = revision;
    if (!revision || inc != member->suspected_incarnation) {
        member->suspected_since = now;
        member->probe_next = member_index != members->self;
        member->next_probe_at = now;
    }
    member->suspected_incarnation = revision ? inc : 0;
    /* A verdict stands as long as the suspicion that it was about. Once a member whose
     * accuser had ended before it refuted had nothing to refute any more, and stayed
     * judged for ever. */
    member->is_declared_failed = member->is_declared_failed &&
                                 member->suspected_incarnation == member->incarnation;
    member->suspicion_cause = why;
    g_strlcpy(member->suspected_by, by, sizeof member->suspected_by);
}

void lmn_member_record_failure(struct lmn_members *members, int member_index,
                               struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    /* One that gave them away itself is not judged, and has nothing to refute: found when
     * such a member never got its partition back. */
    member->is_declared_failed =
        member->is_declared_failed || lmn_member_is_suspected(members, member_index);
    /* All its partitions at once are one failure. */
    if (member->last_failure_at.tv_sec &&
        lmn_time_diff_s(now, member->last_failure_at) < members->timeouts.lease_s)
        return;
    member->failures_declared = MIN(member->failures_declared + 1, 6u);
    member->last_failure_at = now;
}

/* --- questions and answers --- */

static void hear(struct lmn_members *members, int member_index,
                 const struct lmn_member_health *health, struct timespec lived,
                 struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    member->ever_contacted = true;
    if (lmn_time_before(member->last_contact_at, lived))
        member->last_contact_at = lived;
    /* What was asked later is still open. */
    if (!lmn_time_before(lived, member->unanswered_since)) {
        member->unanswered_since = (struct timespec){0, 0};
        member->probe_failures = 0;
        member->reached_by_others = false;
    }
    member->health = *health;
    member->health_at = now;
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
    lmn_phi_accrual_add(&members->views[member_index].reply_times,
                        lmn_time_diff_s(now, sent));
    hear(members, member_index, health, sent, now);
    members->views[member_index].probe_next = false;
    if (members->local_health)
        members->local_health--;
}

void lmn_member_record_probe_timeout(struct lmn_members *members, int member_index,
                                     struct timespec sent, struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    members->counters.probes_unanswered++;
    if (lmn_time_before(sent, member->last_contact_at))
        return; /* it was heard by other ways meanwhile */
    if (!member->unanswered_since.tv_sec) {
        member->unanswered_since = sent;
        member->indirect_probes = 0;
        member->next_indirect_probe_at = now;
    }
    member->probe_failures++;
    /* Again at once, but a member that is gone for long must not take all the time. */
    member->probe_next = true;
    member->next_probe_at = lmn_time_add(now, members->timeouts.probe_interval_s *
                                                  MIN(member->probe_failures, 8u) / 2);
}

void lmn_member_record_gossip(struct lmn_members *members, int by,
                              const struct lmn_gossip_statement *statement,
                              struct timespec now)
{
    if (statement->member < 0 || statement->member >= members->count || by < 0 ||
        by >= members->count || statement->member == by)
        return;
    struct lmn_member_view *member = &members->views[statement->member];

    member->gossip[by] = (struct lmn_gossip_record){now, *statement};
    if (statement->member == members->self)
        return;
    member->last_gossip_at = now;
    /* The other hears it, this node does not: its own ears may be at fault. */
    if (member->unanswered_since.tv_sec && statement->last_contact_age_s >= 0 &&
        statement->unanswered_age_s <= 0 &&
        statement->last_contact_age_s < lmn_time_diff_s(now, member->unanswered_since) &&
        !member->reached_by_others) {
        member->reached_by_others = true;
        members->local_health = MIN(members->local_health + 1, (unsigned)WORST);
    }
    if (statement->unanswered_age_s > 0)
        lmn_member_request_probe(members, statement->member, now);
}

void lmn_member_request_probe(struct lmn_members *members, int member_index,
                              struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    if (member_index == members->self || member->unanswered_since.tv_sec ||
        member->probe_next ||
        (member->ever_contacted && lmn_time_diff_s(now, member->last_contact_at) <
                                       members->timeouts.probe_interval_s / 2))
        return;
    member->probe_next = true;
    member->next_probe_at = now;
}

void lmn_member_record_redirected_worker(struct lmn_members *members, int member_index,
                                         const char *worker, uint64_t session,
                                         uint64_t seq, struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];
    guint who = g_str_hash(worker), at = 0;

    for (guint i = 0; i < LMN_MAX_REDIRECTED_WORKERS; i++) {
        if (member->redirected_workers[i].who == who &&
            member->redirected_workers[i].at.tv_sec) {
            /* A copy of a report that comes again, minutes later, is no witness. */
            if (session < member->redirected_workers[i].session ||
                (session == member->redirected_workers[i].session &&
                 seq <= member->redirected_workers[i].seq))
                return;
            at = i;
            break;
        }
        if (lmn_time_before(member->redirected_workers[i].at,
                            member->redirected_workers[at].at))
            at = i;
    }
    member->redirected_workers[at].who = who;
    member->redirected_workers[at].session = session;
    member->redirected_workers[at].seq = seq;
    member->redirected_workers[at].at = now;
}
