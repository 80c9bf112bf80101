/** @file
 * What a controller knows about the other controllers (the members): probes, gossip,
 * suspicion, refutation, and when a member is declared failed.
 *
 * The protocol is SWIM's (A. Das and others, 2002) with the local health of Lifeguard (A.
 * Dadgar and others, 2018). Unlike in SWIM, suspicions are records in the key-value
 * store, so that all members see the same suspicions; reply times are judged by a phi
 * accrual failure detector (membership/phi_accrual.h). Evidence from one observer is
 * enough for a suspicion, because a suspicion by itself moves no partition. A member is
 * declared failed only when the suspicion has stood unrefuted for suspicion_s or longer
 * and independent witnesses confirm it, because its partitions are then claimed by
 * others. docs/design/failover.md gives the reasons.
 *
 * The functions work on recorded observations, the settings and a passed-in time; they do
 * no I/O. struct lmn_members is part of the shared state, whose lock the caller holds
 * during each call. A member is identified by its index (lmn_settings_member_index).
 * Durations are in seconds; times are readings of the steady clock.
 *
 * membership.c records observations, probe_schedule.c chooses the next probe and the
 * gossip sent with it, failure_detector.c evaluates the evidence. */
#ifndef LMN_MEMBERSHIP_MEMBERSHIP_H
#define LMN_MEMBERSHIP_MEMBERSHIP_H

#include "util/clock.h"
#include "config/settings.h"
#include "membership/phi_accrual.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Durations that are derived from the settings. */
struct lmn_membership_timeouts {
    double lease_s; /**< a member's lease in the key-value store: 0.4 of the workers'
                       lease, limited to 2 to 8 s */
    double probe_interval_s; /**< between probes of a round: lease_s / 16 */
    double probe_timeout_s;  /**< the shortest wait for a reply */
    double suspicion_s; /**< how long a suspicion stands at least before the member is
                           declared failed: lease_s / 6, at least 1 s */
    double stall_s; /**< a longer gap between two ticks means that the process stalled */
    double heartbeat_overdue_s; /**< a worker counts as unreachable after this time
                                   without a heartbeat */
};
/** Derives the durations from the settings. */
void lmn_membership_timeouts_init(const struct lmn_settings *settings,
                                  struct lmn_membership_timeouts *timeouts);

/** What a member is suspected of. */
enum lmn_suspicion_cause {
    LMN_CAUSE_UNRESPONSIVE,  /**< the member does not reply to probes */
    LMN_CAUSE_NO_HEARTBEATS, /**< its workers' heartbeats reach other members only */
    LMN_CAUSE_STALE_CACHE, /**< its watch cache is stale while the observer's is fresh */
    LMN_SUSPICION_CAUSE_COUNT
};
/** The cause's name in the suspicion record and in the status page, as a static string;
 * "unknown" for a value that a newer version has written. */
const char *lmn_suspicion_cause_name(enum lmn_suspicion_cause cause);

/** What a member reports about itself. */
struct lmn_member_health {
    double delay_s;              /**< how late it carries out work that is due */
    double cache_age_s;          /**< age of its watch cache, in seconds */
    double silent_machine_share; /**< share of its machines without a recent heartbeat, 0
                                    to 1 */
};

/** What one member reports about another. Ages are as of the time of sending. */
struct lmn_gossip_statement {
    int member;           /**< index of the member that the statement is about */
    uint64_t incarnation; /**< of that member, as the sender's watch cache shows it */
    double last_contact_age_s; /**< since the sender's last contact with the member;
                                  negative: never */
    double unanswered_age_s;   /**< since the sender's first unanswered probe; 0: none */
    unsigned redirected_workers; /**< the member's workers that have recently sent the
                                    sender heartbeats */
};
/** Maximum number of statements sent with a probe or a reply. */
enum { LMN_MAX_GOSSIP_STATEMENTS = 8 };

/** A statement as received. */
struct lmn_gossip_record {
    struct timespec received_at; /**< 0: never */
    struct lmn_gossip_statement statement;
};

/** A worker that no longer reached the owner of its partition and has sent its heartbeat
 * to this controller instead. */
struct lmn_redirected_worker {
    guint name_hash;
    uint64_t agent_incarnation,
        sequence_number;     /**< of its latest heartbeat to this controller */
    struct timespec seen_at; /**< 0: the entry is free */
};
/** Maximum number of redirected workers remembered for each member. */
enum { LMN_MAX_REDIRECTED_WORKERS = 64 };

/** What this controller knows about one member. In its view of itself only the records
 * and the gossip are used. */
struct lmn_member_view {
    /** @name The member's record n/NODE, as the watch cache shows it
     * @{ */
    bool is_present; /**< the record exists; it is deleted when the member's lease ends */
    bool is_shutting_down; /**< the record says that the member is shutting down */
    uint64_t incarnation;  /**< revision at which the member last rewrote the record */
    uint64_t revision;     /**< of the record's last change, including its deletion */
    struct timespec
        incarnation_seen_at; /**< when the watch cache first showed this incarnation */
    uint64_t lease;
    uint32_t generation;
    struct timespec present_since; /**< when is_present last changed */
    /** @} */

    /** @name The suspicion record u/NODE; the member is suspected while the record names
     * its current incarnation
     * @{ */
    uint64_t suspected_incarnation, suspicion_revision, suspicion_seen_revision;
    char suspected_by[LMN_NAME_SIZE];
    enum lmn_suspicion_cause suspicion_cause;
    uint32_t suspicion_generation;
    /** Since when the suspicion has stood without a gap in the watch cache's updates. */
    struct timespec suspected_since;
    /** @} */

    /** @name This controller's own probes of the member
     * @{ */
    bool ever_contacted; /**< whether this process has ever had contact with the member */
    struct timespec
        last_contact_at; /**< the latest time at which it was certainly alive */
    struct timespec unanswered_since; /**< when the first probe after the last contact was
                                         sent that got no reply; 0: none */
    unsigned probe_failures;          /**< unanswered probes since unanswered_since */
    /** Another member has had contact with it since unanswered_since: the fault may be
     * this controller's. */
    bool reached_by_others;
    bool probe_next; /**< to be probed before its turn in the round */
    struct timespec
        next_probe_at;        /**< with probe_next: the earliest time of that probe */
    unsigned indirect_probes; /**< probes through other members in the current series */
    struct timespec next_indirect_probe_at; /**< when the next series may begin */
    struct lmn_phi_accrual reply_times;
    struct lmn_member_health health; /**< as the member last reported it */
    struct timespec health_at;       /**< when that report came; 0: never */
    /** @} */

    /** @name What other members report about it
     * @{ */
    struct timespec
        last_gossip_at; /**< when a statement about it last came, from any member */
    struct lmn_gossip_record gossip[LMN_MAX_MEMBERS + 1]; /**< indexed by sender */
    /** Its workers that have sent heartbeats to this controller; when the table is full,
     * the entry seen least recently is reused. */
    struct lmn_redirected_worker redirected_workers[LMN_MAX_REDIRECTED_WORKERS];
    /** Machines recorded in the partitions that it owns; kept up to date by the caller.
     */
    guint machine_count;
    /** @} */

    /** @name Its failures, which determine when it is readmitted
     * @{ */
    unsigned failures_declared;
    struct timespec last_failure_at;
    unsigned refutations; /**< since this process started */
    struct timespec last_refutation_at;
    bool is_declared_failed; /**< until it rewrites its record */
    /** @} */
};

/** All members, and what this controller knows about its own health. */
struct lmn_members {
    const struct lmn_settings *settings;
    struct lmn_membership_timeouts timeouts;
    int count, self; /**< number of members; this controller's index */
    const char
        *names[LMN_MAX_MEMBERS + 1]; /**< indexed by member; owned by the settings */
    struct lmn_member_view views[LMN_MAX_MEMBERS + 1];

    /** @name The probe schedule
     * @{ */
    int probe_order[LMN_MAX_MEMBERS + 1]; /**< member indices; shuffled for each round */
    int probe_position;                   /**< next position in probe_order */
    /** Member index at which the next scan begins, for probes outside the round and for
     * gossip. */
    int indirect_cursor, gossip_cursor;
    struct timespec next_probe_at; /**< when the round's next probe is due */
    struct timespec
        next_extra_probe_at; /**< when a probe outside the round may be sent */
    /** @} */

    /** @name This controller itself
     * @{ */
    struct timespec last_tick_at;
    struct timespec resumed_at; /**< after its latest stall; 0: none */
    struct timespec synced_at;  /**< sending time of the first watch request that was
                                   answered; 0: none */
    struct timespec
        cache_fresh_at; /**< the watch cache shows the store as of this time */
    struct timespec cache_fresh_since; /**< since when the watch cache has had no gap */
    struct lmn_member_health health;
    double tick_delay_s; /**< how late ticks come, exponentially smoothed */
    /** Lifeguard's local health multiplier, 0 (healthy) to 8: each point gives other
     * members more time to reply, since this controller itself may be slow. */
    unsigned local_health;
    /** No worker's heartbeat reaches this controller; it neither owns nor claims a
     * partition until one does. */
    bool is_isolated_from_workers;
    struct timespec last_worker_contact_at;
    /** @} */

    /** Event counts since the process started. */
    struct lmn_member_counts {
        uint64_t probes_sent, probes_unanswered, suspicions, refutations,
            failures_declared, readmissions, transfers;
    } counters;
};

/** Initializes the structure without any observation of a member. */
void lmn_members_init(struct lmn_members *members, const struct lmn_settings *settings,
                      struct timespec now);
/** Returns the name of the member with this index. */
const char *lmn_member_name(const struct lmn_members *members, int member_index);
/** Returns the index of the member with this name; -1 if there is none. */
int lmn_member_index(const struct lmn_members *members, const char *name);

/* --- observations --- */

/** Records a run of the maintenance loop that came late_s seconds late. Detects a stall
 * of the process. */
void lmn_members_tick(struct lmn_members *members, double late_s, struct timespec now);
/** Records that a watch request was answered. The watch cache then shows the store as of
 * sent_at, when the request was sent. */
void lmn_members_record_watch(struct lmn_members *members, struct timespec sent_at);
/** Records a change of the member's record n/NODE.
 *
 * @param revision 0: it was deleted
 * @param lease id of the member's lease, with whose end the record is deleted */
void lmn_member_apply_record(struct lmn_members *members, int member_index,
                             uint64_t revision, uint64_t lease, struct timespec now);
/** Records a change of the member's suspicion record u/NODE.
 *
 * @param revision 0: it was deleted
 * @param incarnation the incarnation that is suspected */
void lmn_member_apply_suspicion(struct lmn_members *members, int member_index,
                                uint64_t revision, uint64_t incarnation,
                                const char *suspected_by, enum lmn_suspicion_cause cause,
                                struct timespec now);
/** Records that a partition of the member was claimed, or that the member has transferred
 * one: its readmission is delayed. If it is suspected, the member also counts as declared
 * failed until it rewrites its record. */
void lmn_member_record_failure(struct lmn_members *members, int member_index,
                               struct timespec now);
/** Records a request from the member: it was alive at sent_at. */
void lmn_member_record_contact(struct lmn_members *members, int member_index,
                               const struct lmn_member_health *health,
                               struct timespec sent_at, struct timespec now);
/** Records the member's reply to a probe that was sent at sent_at. */
void lmn_member_record_probe_reply(struct lmn_members *members, int member_index,
                                   const struct lmn_member_health *health,
                                   struct timespec sent_at, struct timespec now);
/** Records that the member did not reply in time to a probe that was sent at sent_at. */
void lmn_member_record_probe_timeout(struct lmn_members *members, int member_index,
                                     struct timespec sent_at, struct timespec now);
/** Records what one member reports about another. Statements about unknown members, and
 * statements of a member about itself, are ignored.
 *
 * @param by_index the member that sent the statement */
void lmn_member_record_gossip(struct lmn_members *members, int by_index,
                              const struct lmn_gossip_statement *statement,
                              struct timespec now);
/** Schedules a probe of the member before its turn, unless it has been in contact within
 * half a probe interval, or a probe of it is unanswered or already scheduled. */
void lmn_member_request_probe(struct lmn_members *members, int member_index,
                              struct timespec now);
/** Records a heartbeat to this controller from a worker of a partition that the member
 * owns. agent_incarnation and sequence_number are the heartbeat's; an older heartbeat
 * than the latest recorded one is ignored. */
void lmn_member_record_redirected_worker(struct lmn_members *members, int member_index,
                                         const char *worker, uint64_t agent_incarnation,
                                         uint64_t sequence_number, struct timespec now);
/** Records a heartbeat from a worker of a partition that this controller owns. */
void lmn_members_record_own_worker(struct lmn_members *members, struct timespec now);

/* --- probes --- */

/** A probe that is due. */
struct lmn_probe {
    int member; /**< index of the member to probe */
    int about; /**< index of a member that `member` is asked to probe as well; -1: none */
    double timeout_s;
};
/** Chooses the next probe.
 *
 * @param wait_s set if no probe is due: how long to wait before calling again
 * @return whether a probe is due */
bool lmn_member_next_probe(struct lmn_members *members, GRand *rng, struct timespec now,
                           struct lmn_probe *probe, double *wait_s);
/** Selects the statements that are sent with a probe to a member, or with a reply to one:
 * about the member itself, about the member that it is asked to probe, and about members
 * with evidence against them.
 *
 * @param to_index the receiver; -1: none
 * @param about_index the member that the receiver is asked to probe; -1: none
 * @param statements room for LMN_MAX_GOSSIP_STATEMENTS
 * @return how many statements were written */
unsigned lmn_member_select_gossip(struct lmn_members *members, int to_index,
                                  int about_index, struct timespec now,
                                  struct lmn_gossip_statement *statements);
/** Returns how many of the member's workers have recently sent heartbeats to this
 * controller instead. */
unsigned lmn_member_count_redirected_workers(const struct lmn_members *members,
                                             int member_index, struct timespec now);

/* --- evaluation of other members --- */

/** The evidence against a member. */
struct lmn_failure_evidence {
    double own_phi;              /**< phi of this controller's own unanswered probes */
    double best_other_phi;       /**< highest phi of other members' unanswered probes */
    unsigned other_witnesses;    /**< other members whose unanswered probes reach the
                                    suspicion threshold */
    unsigned redirected_workers; /**< most of its workers that any one member has seen */
    /** As the member itself reports, if the report is recent; otherwise 0. */
    double cache_age_s, silent_machine_share;
    bool is_reached_by_others;      /**< since this controller's first unanswered probe */
    unsigned independent_witnesses; /**< independent sources of evidence for the cause */
    enum lmn_suspicion_cause cause;
};
/** Collects the evidence against a member and determines the cause it indicates. */
void lmn_member_failure_evidence(const struct lmn_members *members, int member_index,
                                 struct timespec now,
                                 struct lmn_failure_evidence *evidence);

/** Whether the suspicion record u/NODE should be written: the evidence suffices, and the
 * member's current incarnation is not suspected yet. */
bool lmn_member_should_suspect(const struct lmn_members *members, int member_index,
                               struct timespec now,
                               struct lmn_failure_evidence *evidence);
/** Whether the member's current incarnation is suspected. */
bool lmn_member_is_suspected(const struct lmn_members *members, int member_index);
/** Whether the member may be declared failed now. Its partitions are then claimed, on
 * condition that its incarnation has not changed. */
bool lmn_member_is_declared_failed(const struct lmn_members *members, int member_index,
                                   struct timespec now);
/** Whether the member is present, not shutting down, not suspected, and healthy by its
 * own report. */
bool lmn_member_is_trusted(const struct lmn_members *members, int member_index,
                           struct timespec now);
/** Returns the seconds until partitions may be transferred back to the member; 0: now. */
double lmn_member_readmission_delay_s(const struct lmn_members *members, int member_index,
                                      struct timespec now);

/* --- evaluation of this controller --- */

/** Whether this controller is suspected and has no reason to believe the suspicion; it
 * should then refute it by rewriting its record. */
bool lmn_self_should_refute(const struct lmn_members *members, struct timespec now);
/** Whether this controller may answer workers: it has not stalled since the watch request
 * that was answered last was sent. */
bool lmn_self_may_reply(const struct lmn_members *members, struct timespec now);
/** Whether this controller may claim partitions and declare others failed. */
bool lmn_self_may_claim(const struct lmn_members *members, struct timespec now);
/** Chooses the member to which this controller should transfer its partitions, because it
 * receives heartbeats from less than half of its machines while their workers reach that
 * member.
 *
 * @return a member index; -1: no transfer */
int lmn_self_transfer_target(const struct lmn_members *members, struct timespec now);

#endif
