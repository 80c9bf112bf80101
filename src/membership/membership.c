/** @file
 * Records observations of the other members and of this controller itself
 * (membership/membership.h). */
#include "membership/membership.h"

#include <string.h>

/** After a longer gap between two answered watch requests, the time that each suspicion
 * must stand starts again: while the key-value store was down, no member could refute. A
 * watch request normally waits up to 0.8 s for a change. */
static const double MAX_WATCH_GAP_S = 1.6;
/** The weight of the latest tick in the smoothed delay of ticks. */
static const double TICK_DELAY_WEIGHT = 0.1;
enum {
    MAX_LOCAL_HEALTH = 8,
    /** Points added to local_health by a stall; other signs of bad timing add one. */
    STALL_PENALTY = 2,
    /** Further failures do not lengthen the readmission delay. */
    MAX_FAILURES_DECLARED = 6,
    /** Largest number of unanswered probes that lengthens the wait for the next probe. */
    MAX_PROBE_BACKOFF = 8,
};

void lmn_membership_timeouts_init(const struct lmn_settings *settings,
                                  struct lmn_membership_timeouts *timeouts)
{
    /* Short enough that a new owner answers the workers of a failed one within the
     * workers' lease; long enough that a process with a small share of a processor core,
     * which stalls often, does not lose its lease. */
    timeouts->lease_s = CLAMP(0.4 * settings->lease_s, 2.0, 8.0);
    timeouts->probe_interval_s = timeouts->lease_s / 16;
    timeouts->probe_timeout_s = MAX(timeouts->probe_interval_s, 0.4);
    timeouts->suspicion_s = MAX(timeouts->lease_s / 6, 1);
    timeouts->stall_s = timeouts->suspicion_s + timeouts->probe_interval_s;
    timeouts->heartbeat_overdue_s = 1.25 * settings->heartbeat_s + 0.5;
}

const char *lmn_suspicion_cause_name(enum lmn_suspicion_cause cause)
{
    static const char *const names[] = {"silent", "deaf", "blind"};

    return cause < LMN_SUSPICION_CAUSE_COUNT ? names[cause] : "unknown";
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

/* --- this controller --- */

/** Adds points to local_health: this controller's own timing is in doubt. */
static void raise_local_health(struct lmn_members *members, unsigned points)
{
    members->local_health =
        MIN(members->local_health + points, (unsigned)MAX_LOCAL_HEALTH);
}

/** Whether the process has stalled since its last tick. */
static bool has_stalled(const struct lmn_members *members, struct timespec now)
{
    enum { STALL_FACTOR = 4 };
    double gap_s =
        members->last_tick_at.tv_sec ? lmn_time_diff_s(now, members->last_tick_at) : 0;

    /* Under constant overload every tick is late; only a gap well above the usual delay
     * is a stall. */
    return gap_s > members->timeouts.stall_s &&
           gap_s > STALL_FACTOR * members->tick_delay_s;
}

void lmn_members_tick(struct lmn_members *members, double late_s, struct timespec now)
{
    if (has_stalled(members, now)) {
        members->resumed_at = now;
        raise_local_health(members, STALL_PENALTY);
    }
    members->tick_delay_s += (MAX(late_s, 0) - members->tick_delay_s) * TICK_DELAY_WEIGHT;
    members->last_tick_at = now;
}

void lmn_members_record_watch(struct lmn_members *members, struct timespec sent_at)
{
    if (!members->synced_at.tv_sec)
        members->synced_at = sent_at;
    if (lmn_time_diff_s(sent_at, members->cache_fresh_at) > MAX_WATCH_GAP_S) {
        members->cache_fresh_since = sent_at;
        for (int i = 0; i < members->count; i++)
            members->views[i].suspected_since = sent_at;
    }
    members->cache_fresh_at = sent_at;
}

bool lmn_self_may_reply(const struct lmn_members *members, struct timespec now)
{
    /* During a stall another member may have claimed this controller's partitions.
     * Workers are answered again only once the watch cache is newer than the stall. */
    return !has_stalled(members, now) &&
           !(members->resumed_at.tv_sec &&
             lmn_time_before(members->cache_fresh_at, members->resumed_at));
}

void lmn_members_record_own_worker(struct lmn_members *members, struct timespec now)
{
    members->last_worker_contact_at = now;
    members->is_isolated_from_workers = false;
}

/* --- the records, as the watch cache shows them --- */

/** Forgets the unanswered probes: the member was certainly alive after they were sent. */
static void clear_unanswered(struct lmn_member_view *member)
{
    member->unanswered_since = (struct timespec){0, 0};
    member->probe_failures = 0;
    member->reached_by_others = false;
}

void lmn_member_apply_record(struct lmn_members *members, int member_index,
                             uint64_t revision, uint64_t lease, struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    if (member->is_present != (revision != 0))
        member->present_since = now;
    bool is_refutation = revision && member->is_present && member->incarnation &&
                         member->suspected_incarnation == member->incarnation;
    if (is_refutation) {
        member->refutations++;
        member->last_refutation_at = now;
        members->counters.refutations += member_index == members->self;
        if (member_index == members->self) /* others failed to reach this controller */
            raise_local_health(members, 1);
    }
    member->is_present = revision != 0;
    member->incarnation = revision;
    member->incarnation_seen_at = now;
    member->lease = revision ? lease : 0;
    member->is_declared_failed = false;
    if (revision) /* only a running member writes its record */
        clear_unanswered(member);
}

void lmn_member_apply_suspicion(struct lmn_members *members, int member_index,
                                uint64_t revision, uint64_t incarnation,
                                const char *suspected_by, enum lmn_suspicion_cause cause,
                                struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    member->suspicion_revision = revision;
    if (!revision || incarnation != member->suspected_incarnation) {
        member->suspected_since = now;
        member->probe_next = member_index != members->self;
        member->next_probe_at = now;
    }
    member->suspected_incarnation = revision ? incarnation : 0;
    /* The declaration of failure ends with its suspicion. If it outlasted a suspicion
     * that was deleted before the member refuted it, the member would have nothing left
     * to refute, and would stay declared failed for ever. */
    member->is_declared_failed = member->is_declared_failed &&
                                 member->suspected_incarnation == member->incarnation;
    member->suspicion_cause = cause;
    g_strlcpy(member->suspected_by, suspected_by, sizeof member->suspected_by);
}

void lmn_member_record_failure(struct lmn_members *members, int member_index,
                               struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    /* Only a suspected member is declared failed. A member that has transferred its
     * partitions itself is not suspected and has no suspicion to refute; if it were
     * declared failed, it would never get a partition back. */
    member->is_declared_failed =
        member->is_declared_failed || lmn_member_is_suspected(members, member_index);
    /* Losing several partitions within one lease counts as one failure. */
    if (member->last_failure_at.tv_sec &&
        lmn_time_diff_s(now, member->last_failure_at) < members->timeouts.lease_s)
        return;
    member->failures_declared =
        MIN(member->failures_declared + 1, (unsigned)MAX_FAILURES_DECLARED);
    member->last_failure_at = now;
}

/* --- probes, gossip and workers --- */

/** Records that the member was alive at alive_at and has reported its health. */
static void record_alive(struct lmn_members *members, int member_index,
                         const struct lmn_member_health *health, struct timespec alive_at,
                         struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    member->ever_contacted = true;
    if (lmn_time_before(member->last_contact_at, alive_at))
        member->last_contact_at = alive_at;
    /* Probes sent after alive_at are still unanswered. */
    if (!lmn_time_before(alive_at, member->unanswered_since))
        clear_unanswered(member);
    member->health = *health;
    member->health_at = now;
}

void lmn_member_record_contact(struct lmn_members *members, int member_index,
                               const struct lmn_member_health *health,
                               struct timespec sent_at, struct timespec now)
{
    record_alive(members, member_index, health, sent_at, now);
}

void lmn_member_record_probe_reply(struct lmn_members *members, int member_index,
                                   const struct lmn_member_health *health,
                                   struct timespec sent_at, struct timespec now)
{
    lmn_phi_accrual_add(&members->views[member_index].reply_times,
                        lmn_time_diff_s(now, sent_at));
    record_alive(members, member_index, health, sent_at, now);
    members->views[member_index].probe_next = false;
    if (members->local_health)
        members->local_health--;
}

void lmn_member_record_probe_timeout(struct lmn_members *members, int member_index,
                                     struct timespec sent_at, struct timespec now)
{
    struct lmn_member_view *member = &members->views[member_index];

    members->counters.probes_unanswered++;
    if (lmn_time_before(sent_at, member->last_contact_at))
        return; /* the member was in contact after this probe was sent */
    if (!member->unanswered_since.tv_sec) {
        member->unanswered_since = sent_at;
        member->indirect_probes = 0;
        member->next_indirect_probe_at = now;
    }
    member->probe_failures++;
    /* Probe it again soon, but with a growing delay, so that a member that stays
     * unreachable does not take up all probes. */
    unsigned backoff = MIN(member->probe_failures, (unsigned)MAX_PROBE_BACKOFF);
    member->probe_next = true;
    member->next_probe_at =
        lmn_time_add(now, members->timeouts.probe_interval_s * backoff / 2);
}

void lmn_member_record_gossip(struct lmn_members *members, int by_index,
                              const struct lmn_gossip_statement *statement,
                              struct timespec now)
{
    if (statement->member < 0 || statement->member >= members->count || by_index < 0 ||
        by_index >= members->count || statement->member == by_index)
        return;
    struct lmn_member_view *member = &members->views[statement->member];

    member->gossip[by_index] = (struct lmn_gossip_record){now, *statement};
    if (statement->member == members->self)
        return;
    member->last_gossip_at = now;
    /* The sender reaches the member and this controller does not: the fault may be this
     * controller's. */
    if (member->unanswered_since.tv_sec && statement->last_contact_age_s >= 0 &&
        statement->unanswered_age_s <= 0 &&
        statement->last_contact_age_s < lmn_time_diff_s(now, member->unanswered_since) &&
        !member->reached_by_others) {
        member->reached_by_others = true;
        raise_local_health(members, 1);
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

/** Returns the worker's entry; if it has none, the entry to be reused, which is the one
 * seen least recently. */
static struct lmn_redirected_worker *
find_redirected_worker(struct lmn_member_view *member, guint name_hash)
{
    struct lmn_redirected_worker *oldest = &member->redirected_workers[0];

    for (guint i = 0; i < LMN_MAX_REDIRECTED_WORKERS; i++) {
        struct lmn_redirected_worker *entry = &member->redirected_workers[i];
        if (entry->name_hash == name_hash && entry->seen_at.tv_sec)
            return entry;
        if (lmn_time_before(entry->seen_at, oldest->seen_at))
            oldest = entry;
    }
    return oldest;
}

void lmn_member_record_redirected_worker(struct lmn_members *members, int member_index,
                                         const char *worker, uint64_t agent_incarnation,
                                         uint64_t sequence_number, struct timespec now)
{
    guint name_hash = g_str_hash(worker);
    struct lmn_redirected_worker *entry =
        find_redirected_worker(&members->views[member_index], name_hash);
    bool is_known = entry->name_hash == name_hash && entry->seen_at.tv_sec;

    /* A duplicate or reordered heartbeat may arrive minutes late and shows nothing about
     * the member's present state. */
    if (is_known && (agent_incarnation < entry->agent_incarnation ||
                     (agent_incarnation == entry->agent_incarnation &&
                      sequence_number <= entry->sequence_number)))
        return;
    entry->name_hash = name_hash;
    entry->agent_incarnation = agent_incarnation;
    entry->sequence_number = sequence_number;
    entry->seen_at = now;
}
