/** @file
 * What a controller knows of the other controllers: probes, gossip, suspicion,
 * refutation, and when a member is declared failed.
 *
 * The protocol is SWIM's (A. Das and others, 2002) with the local health of Lifeguard (A.
 * Dadgar and others, 2018). Its suspicions are records of the key-value store, so that
 * all members see the same ones; replies are timed by a phi accrual failure detector
 * (membership/phi_accrual.h). A suspicion needs evidence of one observer and is cheap; a
 * member is declared failed only after the suspicion has stood for a while unrefuted, and
 * on evidence of independent witnesses, since its partitions are claimed then. Why it is
 * done so: docs/design/failover.md.
 *
 * The functions work on what was observed, the settings and a passed-in time; they do no
 * I/O. The structure is part of the shared state, whose lock the caller holds throughout.
 * A member is named by its index (lmn_settings_member_index). Durations are in seconds,
 * times are of the steady clock.
 *
 * membership.c records observations, probe_schedule.c decides what is probed and told
 * next, failure_detector.c draws the conclusions. */
#ifndef LMN_MEMBERSHIP_MEMBERSHIP_H
#define LMN_MEMBERSHIP_MEMBERSHIP_H

#include "util/clock.h"
#include "config/settings.h"
#include "membership/phi_accrual.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Times that follow from the settings. */
struct lmn_membership_timeouts {
    double lease_s; /**< of a member's lease in the key-value store: 0.4 of the workers'
                       lease, 2 to 8 */
    double probe_interval_s; /**< between probes: a sixteenth of the lease */
    double probe_timeout_s;  /**< the shortest wait for a reply */
    double suspicion_s; /**< how long a suspicion stands before the member is declared
                           failed: a sixth of the lease, at least a second */
    double
        stall_s; /**< a tick that comes later than this means that the process stalled */
    double heartbeat_overdue_s; /**< a worker that is silent for so long is unreachable */
};
/** Derives the times from the settings. */
void lmn_membership_timeouts_init(const struct lmn_settings *settings,
                                  struct lmn_membership_timeouts *timeouts);

/** What a member is suspected of. */
enum lmn_suspicion_cause {
    LMN_CAUSE_UNRESPONSIVE,  /**< it replies to no probe */
    LMN_CAUSE_NO_HEARTBEATS, /**< its workers' heartbeats reach others, not it */
    LMN_CAUSE_STALE_CACHE,   /**< its watch cache is stale, others' are fresh */
    LMN_SUSPICION_CAUSES
};
/** The cause's name in the record and in the status page, a fixed text; "unknown" for
 * a value of a newer version. */
const char *lmn_suspicion_cause_name(enum lmn_suspicion_cause cause);

/** What a member says of itself. */
struct lmn_member_health {
    double delay_s;     /**< how late it does what is due */
    double cache_age_s; /**< age of its watch cache */
    double
        silent_machine_share; /**< share of its machines that it does not hear, 0 to 1 */
};

/** What one member says of another. Ages are as of the sending. */
struct lmn_gossip_statement {
    int member;                  /**< index of the member that it is about */
    uint64_t incarnation;        /**< of that member, by the sender's watch cache */
    double last_contact_age_s;   /**< since the last sign of life; negative: never */
    double unanswered_age_s;     /**< since the first unanswered probe; 0: none */
    unsigned redirected_workers; /**< its workers that have come to the sender lately */
};
/** Most statements that are sent along with a probe. */
enum { LMN_MAX_GOSSIP_STATEMENTS = 8 };

/** A statement as received. */
struct lmn_gossip_record {
    struct timespec received_at; /**< 0: never */
    struct lmn_gossip_statement statement;
};

/** A worker that has given up the owner of its partition and has come here instead. */
struct lmn_redirected_worker {
    guint name_hash;
    uint64_t agent_incarnation, sequence_number; /**< of its latest heartbeat here */
    struct timespec seen_at;                     /**< 0: the entry is free */
};
/** Most redirected workers that are remembered of a member. */
enum { LMN_MAX_REDIRECTED_WORKERS = 64 };

/** What this controller knows of one member (of itself, only the records). */
struct lmn_member_view {
    /** @name The member's record n/NODE, as the watch cache shows it
     * @{ */
    bool is_present;       /**< it has a record, which is tied to its lease */
    bool is_shutting_down; /**< the record says so */
    uint64_t incarnation;  /**< revision at which the record was last written anew */
    uint64_t revision;     /**< of the record's last change, its deletion included */
    struct timespec incarnation_seen_at; /**< when the cache first showed it */
    uint64_t lease;
    uint32_t generation;
    struct timespec present_since; /**< when is_present last changed */
    /** @} */

    /** @name The suspicion u/NODE, as recorded; it counts while it names the member's
     * present incarnation
     * @{ */
    uint64_t suspected_incarnation, suspicion_revision, suspicion_seen_revision;
    char suspected_by[LMN_NAME_SIZE];
    enum lmn_suspicion_cause suspicion_cause;
    uint32_t suspicion_generation;
    /** Since when it has stood with the watch cache fresh all the while. */
    struct timespec suspected_since;
    /** @} */

    /** @name Our own probes
     * @{ */
    bool ever_contacted;              /**< by this process */
    struct timespec last_contact_at;  /**< a time at which it was certainly alive */
    struct timespec unanswered_since; /**< when the first probe that it has not replied to
                                         since was sent; 0: none */
    unsigned probe_failures;          /**< unanswered probes since then */
    /** Another member has reached it meanwhile: the fault is here. */
    bool reached_by_others;
    bool probe_next;                        /**< to be probed before its turn */
    struct timespec next_probe_at;          /**< not before this */
    unsigned indirect_probes;               /**< sent through others in this turn */
    struct timespec next_indirect_probe_at; /**< when the next turn may begin */
    struct lmn_phi_accrual reply_times;
    struct lmn_member_health health; /**< by its own latest statement */
    struct timespec health_at;       /**< when that came */
    /** @} */

    /** @name What others say of it
     * @{ */
    struct timespec last_gossip_at; /**< when any member last spoke of it */
    struct lmn_gossip_record gossip[LMN_MAX_MEMBERS + 1]; /**< by the sender's index */
    /** Its workers that came here; the entry seen least recently is reused first. */
    struct lmn_redirected_worker redirected_workers[LMN_MAX_REDIRECTED_WORKERS];
    /** Machines recorded in the partitions that it owns; the caller keeps it. */
    guint machine_count;
    /** @} */

    /** @name Its failures, from which its readmission follows
     * @{ */
    unsigned failures_declared;
    struct timespec last_failure_at;
    unsigned refutations; /**< lately */
    struct timespec last_refutation_at;
    bool is_declared_failed; /**< until its record is written anew */
    /** @} */
};

/** All members, and what this controller knows of its own health. */
struct lmn_members {
    const struct lmn_settings *settings;
    struct lmn_membership_timeouts timeouts;
    int count, self;                        /**< all members; this one's index */
    const char *names[LMN_MAX_MEMBERS + 1]; /**< by index; the settings own them */
    struct lmn_member_view views[LMN_MAX_MEMBERS + 1];

    /** @name The probe schedule
     * @{ */
    int probe_order[LMN_MAX_MEMBERS + 1]; /**< of a round; shuffled for each */
    int probe_position;                   /**< in probe_order */
    /** Where the next scan of the members begins, for probes beyond the round and for
     * gossip. */
    int indirect_cursor, gossip_cursor;
    struct timespec next_probe_at;       /**< when the round's next probe is due */
    struct timespec next_extra_probe_at; /**< when one beyond the round may be sent */
    /** @} */

    /** @name This controller itself
     * @{ */
    struct timespec last_tick_at;
    struct timespec resumed_at; /**< after its latest stall; 0: none */
    struct timespec synced_at;  /**< when a watch request was first answered; 0: never */
    struct timespec cache_fresh_at;    /**< as of when the watch cache is */
    struct timespec cache_fresh_since; /**< since when it has been fresh without a gap */
    struct lmn_member_health health;
    double tick_delay_s; /**< of the ticks, smoothed */
    /** Lifeguard's local health: 0 is well; with each point up to 8 other members are
     * given more time, since this controller's own timing is in doubt. */
    unsigned local_health;
    /** It hears no workers, and owns nothing until one reaches it. */
    bool is_isolated_from_workers;
    struct timespec last_worker_contact_at;
    /** @} */

    /** What the probes and declarations have come to since the start. */
    struct lmn_member_counts {
        uint64_t probes_sent, probes_unanswered, suspicions, refutations,
            failures_declared, readmissions, transfers;
    } counters;
};

/** Starts with no knowledge of any member. */
void lmn_members_init(struct lmn_members *members, const struct lmn_settings *settings,
                      struct timespec now);
/** The name of the member at an index. */
const char *lmn_member_name(const struct lmn_members *members, int member_index);
/** The index of the member of that name; -1: there is none. */
int lmn_member_index(const struct lmn_members *members, const char *name);

/* --- observations --- */

/** The maintenance loop runs, late by late_s. Detects that the process has stalled. */
void lmn_members_tick(struct lmn_members *members, double late_s, struct timespec now);
/** A watch request was answered. The cache is as of the time that it was sent at. */
void lmn_members_record_watch(struct lmn_members *members, struct timespec sent_at);
/** The record n/NODE has changed.
 *
 * @param revision 0: it was deleted
 * @param lease the lease that it is tied to */
void lmn_member_apply_record(struct lmn_members *members, int member_index,
                             uint64_t revision, uint64_t lease, struct timespec now);
/** The record u/NODE has changed.
 *
 * @param revision 0: it was deleted
 * @param incarnation the incarnation that is suspected */
void lmn_member_apply_suspicion(struct lmn_members *members, int member_index,
                                uint64_t revision, uint64_t incarnation,
                                const char *suspected_by, enum lmn_suspicion_cause cause,
                                struct timespec now);
/** A partition of the member was claimed, or it has transferred one: its readmission is
 * delayed. If a suspicion stands, the member is declared failed, until its record is
 * written anew. */
void lmn_member_record_failure(struct lmn_members *members, int member_index,
                               struct timespec now);
/** The member has sent us a request: it was alive at sent_at. */
void lmn_member_record_contact(struct lmn_members *members, int member_index,
                               const struct lmn_member_health *health,
                               struct timespec sent_at, struct timespec now);
/** The member has replied to a probe that was sent at sent_at. */
void lmn_member_record_probe_reply(struct lmn_members *members, int member_index,
                                   const struct lmn_member_health *health,
                                   struct timespec sent_at, struct timespec now);
/** The member has not replied in time to a probe that was sent at sent_at. */
void lmn_member_record_probe_timeout(struct lmn_members *members, int member_index,
                                     struct timespec sent_at, struct timespec now);
/** A member has said something of another. Statements about unknown members, and of a
 * member about itself, are ignored.
 *
 * @param by_index the member that says it */
void lmn_member_record_gossip(struct lmn_members *members, int by_index,
                              const struct lmn_gossip_statement *statement,
                              struct timespec now);
/** Has the member probed next, unless it was contacted just now or is overdue anyway. */
void lmn_member_request_probe(struct lmn_members *members, int member_index,
                              struct timespec now);
/** A worker of a partition that the member owns has given the member up, and its
 * heartbeat of that incarnation and sequence number has come here. */
void lmn_member_record_redirected_worker(struct lmn_members *members, int member_index,
                                         const char *worker, uint64_t agent_incarnation,
                                         uint64_t sequence_number, struct timespec now);
/** A worker of our own has reached us. */
void lmn_members_record_own_worker(struct lmn_members *members, struct timespec now);

/* --- probes --- */

/** A probe that is due. */
struct lmn_probe {
    int member; /**< index of the member to probe */
    int about;  /**< index of the member that it is to probe in turn; -1: none */
    double timeout_s;
};
/** Chooses the next probe.
 *
 * @param wait_s set if none is due: for how long
 * @return whether one is due */
bool lmn_member_next_probe(struct lmn_members *members, GRand *rng, struct timespec now,
                           struct lmn_probe *probe, double *wait_s);
/** What is said along with a probe to a member, or with a reply to it: about the member
 * itself, about the one that the probe is about, and about those that something speaks
 * against.
 *
 * @param to_index, about_index -1: none
 * @param statements room for LMN_MAX_GOSSIP_STATEMENTS
 * @return how many statements were written */
unsigned lmn_member_gossip(struct lmn_members *members, int to_index, int about_index,
                           struct timespec now, struct lmn_gossip_statement *statements);
/** How many of the member's workers have come here lately. */
unsigned lmn_member_redirected_workers(const struct lmn_members *members,
                                       int member_index, struct timespec now);

/* --- conclusions about others --- */

/** What speaks against a member. */
struct lmn_failure_evidence {
    double own_phi;              /**< of our own unanswered probes */
    double best_other_phi;       /**< the highest of other members' */
    unsigned other_witnesses;    /**< members whose probes speak against it */
    unsigned redirected_workers; /**< the most of its workers that one member has seen */
    /** By its own statement if that is fresh, else 0. */
    double cache_age_s, silent_machine_share;
    bool is_reached_by_others;      /**< since our first unanswered probe */
    unsigned independent_witnesses; /**< independent sources of evidence for the cause */
    enum lmn_suspicion_cause cause;
};
/** Collects the evidence against a member, and the cause that it speaks for. */
void lmn_member_failure_evidence(const struct lmn_members *members, int member_index,
                                 struct timespec now,
                                 struct lmn_failure_evidence *evidence);

/** Whether a suspicion u/NODE should be written: the evidence suffices, and none of this
 * incarnation stands. */
bool lmn_member_should_suspect(const struct lmn_members *members, int member_index,
                               struct timespec now,
                               struct lmn_failure_evidence *evidence);
/** Whether a suspicion of the member's present incarnation stands. */
bool lmn_member_is_suspected(const struct lmn_members *members, int member_index);
/** Whether the member may be declared failed now: its partitions are claimed on condition
 * of its incarnation. */
bool lmn_member_is_declared_failed(const struct lmn_members *members, int member_index,
                                   struct timespec now);
/** Whether the member is present, stays, is not suspected, and is well by its own
 * statement. */
bool lmn_member_is_trusted(const struct lmn_members *members, int member_index,
                           struct timespec now);
/** Seconds until partitions may be transferred back to the member; 0: now. */
double lmn_member_readmission_delay_s(const struct lmn_members *members, int member_index,
                                      struct timespec now);

/* --- conclusions about this controller --- */

/** Whether this controller is suspected, wrongly as far as it knows: it should write its
 * record anew. */
bool lmn_self_should_refute(const struct lmn_members *members, struct timespec now);
/** Whether it may answer workers: it has not stalled since the watch cache was last
 * fresh. */
bool lmn_self_may_reply(const struct lmn_members *members, struct timespec now);
/** Whether it may claim partitions and declare others failed. */
bool lmn_self_may_claim(const struct lmn_members *members, struct timespec now);
/** To which member it should transfer its partitions, because it hears less than half of
 * its machines while they reach that member.
 *
 * @return a member index; -1: it should not */
int lmn_self_transfer_target(const struct lmn_members *members, struct timespec now);

#endif
