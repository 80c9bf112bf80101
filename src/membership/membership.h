/* What a controller knows of the others: evidence, suspicion, refutation, verdict.
 *
 * Pure functions of what was observed, the settings and a passed-in time; no I/O. The
 * structure stands in the shared state, and its lock is held by the caller throughout.
 * Members are named by their rank (lmn_settings_member_index). All durations in seconds,
 * steady clock. Why it is done so: docs/design/failover.md. */
#ifndef LMN_MEMBERSHIP_MEMBERSHIP_H
#define LMN_MEMBERSHIP_MEMBERSHIP_H

#include "util/clock.h"
#include "config/settings.h"
#include "membership/phi_accrual.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What follows from the settings. */
struct lmn_membership_timeouts {
    double lease_s; /* of a member's lease in the state service: 0.4 of the workers',
                       2 to 8 */
    double probe_interval_s; /* between questions: a sixteenth of it */
    double probe_timeout_s;  /* for an answer at the least */
    double suspicion_s; /* for which a suspicion stands before a verdict: a sixth of the
                       lease, a second at least */
    double stall_s;     /* a tick that comes later than this was a stand-still */
    double heartbeat_overdue_s; /* a worker that is silent for so long was not heard */
};
void lmn_membership_timeouts_init(const struct lmn_settings *settings,
                                  struct lmn_membership_timeouts *timeouts);

/* What a member is suspected of. */
enum lmn_suspicion_cause {
    LMN_CAUSE_UNRESPONSIVE,  /* it answers nobody */
    LMN_CAUSE_NO_HEARTBEATS, /* it does not hear its workers, others do */
    LMN_CAUSE_STALE_CACHE,   /* its mirror stands still, others' move */
    LMN_SUSPICION_CAUSES
};
const char *lmn_suspicion_cause_name(enum lmn_suspicion_cause c);

/* A member's word of itself. */
struct lmn_member_health {
    double delay_s;     /* how late it does what is due */
    double cache_age_s; /* the age of its mirror */
    double
        silent_machine_share; /* the part of its machines that it does not hear, 0 to 1 */
};

/* What one member says of another; ages as of its telling. */
struct lmn_gossip_statement {
    int member;
    uint64_t incarnation;      /* of the member as the teller's mirror shows it */
    double last_contact_age_s; /* since the last sign of life; negative: never */
    double unanswered_age_s; /* since the first question that was not answered; 0: none */
    unsigned redirected_workers; /* its workers that came to the teller lately */
};
enum { LMN_MAX_GOSSIP_STATEMENTS = 8 }; /* at most so many go along with a question */

struct lmn_gossip_record {
    struct timespec received_at; /* when it was told; 0: never */
    struct lmn_gossip_statement statement;
};

enum { LMN_MAX_REDIRECTED_WORKERS = 64 };

struct lmn_member_view {
    /* as the mirror shows it */
    bool is_present;       /* it has a record, tied to its lease */
    bool is_shutting_down; /* which says that it is about to end */
    uint64_t incarnation;  /* that record's revision: its incarnation */
    uint64_t revision;     /* of the record's last change, its end included */
    struct timespec incarnation_seen_at; /* when the mirror showed this incarnation */
    uint64_t lease;
    uint32_t generation;
    struct timespec present_since; /* when present last changed */
    /* a suspicion as recorded; it counts while it is about this incarnation */
    uint64_t suspected_incarnation, suspicion_revision, suspicion_seen_revision;
    char suspected_by[LMN_NAME_SIZE];
    enum lmn_suspicion_cause suspicion_cause;
    uint32_t suspicion_generation;
    struct timespec
        suspected_since; /* since when it has stood, the mirror fresh all the while */
    /* our own questions */
    bool ever_contacted;              /* heard by this process */
    struct timespec last_contact_at;  /* a time at which it surely lived */
    struct timespec unanswered_since; /* when the first of the questions that it has not
                                   answered since was sent; 0: none */
    unsigned probe_failures;          /* of them */
    bool reached_by_others; /* another has heard it meanwhile: the fault was here */
    bool probe_next;        /* to be asked next */
    struct timespec next_probe_at; /* not to be asked before */
    unsigned indirect_probes;      /* how many others were asked about it in this turn */
    struct timespec next_indirect_probe_at; /* when the next of them may be asked */
    struct timespec last_gossip_at;         /* when somebody last spoke of it */
    struct lmn_phi_accrual reply_times;
    struct lmn_member_health health;
    struct timespec health_at;
    struct lmn_gossip_record
        gossip[LMN_MAX_MEMBERS + 1]; /* what others say of it, by rank */
    /* its workers that came here, having given it up: distinct names (hashed) */
    struct {
        guint who;
        uint64_t session, seq; /* of its latest report here */
        struct timespec at;
    } redirected_workers[LMN_MAX_REDIRECTED_WORKERS];
    guint
        machine_count; /* recorded of the partitions that it owns; the caller keeps it */
    /* coming back */
    unsigned failures_declared;
    struct timespec last_failure_at;
    unsigned refutations; /* lately */
    struct timespec last_refutation_at;
    bool is_declared_failed;
};

struct lmn_members {
    const struct lmn_settings *settings;
    struct lmn_membership_timeouts timeouts;
    int count, self;                        /* all members, and this one's rank */
    const char *names[LMN_MAX_MEMBERS + 1]; /* by rank, the settings' */
    struct lmn_member_view views[LMN_MAX_MEMBERS + 1];
    int probe_order[LMN_MAX_MEMBERS + 1],
        probe_position;                 /* of questions, shuffled each round */
    int indirect_cursor, gossip_cursor; /* where the next look over members begins */
    struct timespec next_probe_at, next_extra_probe_at; /* the next question of the round
                                     is due, and the next beyond it */
    /* of this node */
    struct timespec last_tick_at, resumed_at, synced_at, cache_fresh_at;
    struct timespec
        cache_fresh_since; /* since when the mirror has been fresh without a gap */
    struct lmn_member_health health;
    double tick_delay_s;   /* of the ticks, smoothed */
    unsigned local_health; /* 0: well, to 8: its own clocks are not to be trusted */
    bool is_isolated_from_workers; /* it hears no workers: it owns nothing until one
                                      reaches it */
    struct timespec last_worker_contact_at;
    struct lmn_member_counts {
        uint64_t probes_sent, probes_unanswered, suspicions, refutations,
            failures_declared, readmissions, transfers;
    } counters;
};

void lmn_members_init(struct lmn_members *members, const struct lmn_settings *settings,
                      struct timespec now);
const char *lmn_member_name(const struct lmn_members *members, int member_index);
/* -1: no member of that name. */
int lmn_member_index(const struct lmn_members *members, const char *name);

/* --- what is observed --- */

/* This node does its rounds; late_s: how late it is. Notices a stand-still. */
void lmn_members_tick(struct lmn_members *members, double late_s, struct timespec now);
/* The mirror was asked at this time, and answered. The asking is what it proves. */
void lmn_members_record_watch(struct lmn_members *members, struct timespec asked);
/* The record n/NODE; rev 0: it is gone. lease: the one that it hangs on. */
void lmn_member_apply_record(struct lmn_members *members, int member_index,
                             uint64_t revision, uint64_t lease, struct timespec now);
/* The record u/NODE; rev 0: it is gone. */
void lmn_member_apply_suspicion(struct lmn_members *members, int member_index,
                                uint64_t revision, uint64_t inc, const char *by,
                                enum lmn_suspicion_cause why, struct timespec now);
/* Its partition was taken, or given away: it earns its work back later. Where a suspicion
 * stands, that was the verdict, and it is out until its record is written anew. */
void lmn_member_record_failure(struct lmn_members *members, int member_index,
                               struct timespec now);
/* A question to it was sent, and answered; or it asked us: then sent is now. */
void lmn_member_record_contact(struct lmn_members *members, int member_index,
                               const struct lmn_member_health *health,
                               struct timespec sent, struct timespec now);
void lmn_member_record_probe_reply(struct lmn_members *members, int member_index,
                                   const struct lmn_member_health *health,
                                   struct timespec sent, struct timespec now);
void lmn_member_record_probe_timeout(struct lmn_members *members, int member_index,
                                     struct timespec sent, struct timespec now);
/* What another says of a third. */
void lmn_member_record_gossip(struct lmn_members *members, int by,
                              const struct lmn_gossip_statement *statement,
                              struct timespec now);
/* Another asks about it: it is asked next, unless it was heard just now. */
void lmn_member_request_probe(struct lmn_members *members, int member_index,
                              struct timespec now);
/* A worker of a partition that the member owns has come here, having given it up; by its
 * report of that session and number. */
void lmn_member_record_redirected_worker(struct lmn_members *members, int member_index,
                                         const char *worker, uint64_t session,
                                         uint64_t seq, struct timespec now);
/* A worker of our own has reached us. */
void lmn_members_record_own_worker(struct lmn_members *members, struct timespec now);

/* --- questions --- */

struct lmn_probe {
    int member;
    int about; /* -1: nobody in particular */
    double timeout_s;
};
/* The question that is due; false if none is, then *wait is for how long. */
bool lmn_member_next_probe(struct lmn_members *members, GRand *rng, struct timespec now,
                           struct lmn_probe *probe, double *wait);
/* What to tell along with a question to, or an answer for, a member: about it itself,
 * about a third (-1: none), and what is suspicious. Returns their number. */
unsigned lmn_member_gossip(struct lmn_members *members, int to, int about,
                           struct timespec now, struct lmn_gossip_statement *out);
/* How many of its workers have come here lately. */
unsigned lmn_member_redirected_workers(const struct lmn_members *members,
                                       int member_index, struct timespec now);

/* --- what follows --- */

/* What speaks against a member. */
struct lmn_failure_evidence {
    double own_phi;           /* phi of our questions */
    double best_other_phi;    /* the surest of the others' questions, phi */
    unsigned other_witnesses; /* how many others' questions speak against it */
    unsigned
        redirected_workers; /* the most of its workers that one node has seen lately */
    double cache_age_s, silent_machine_share; /* its own word, if fresh; else 0 */
    bool is_reached_by_others;      /* somebody has heard it since our first unanswered
                                       question */
    unsigned independent_witnesses; /* independent sides against it, for the cause: */
    enum lmn_suspicion_cause cause;
};
void lmn_member_failure_evidence(const struct lmn_members *members, int member_index,
                                 struct timespec now,
                                 struct lmn_failure_evidence *evidence);

/* Suspicion: a record u/NODE should be written (it has none of this incarnation). */
bool lmn_member_should_suspect(const struct lmn_members *members, int member_index,
                               struct timespec now,
                               struct lmn_failure_evidence *evidence);
/* A suspicion of its incarnation stands. */
bool lmn_member_is_suspected(const struct lmn_members *members, int member_index);
/* It may be judged now: its partitions claimed on condition of its incarnation. */
bool lmn_member_is_declared_failed(const struct lmn_members *members, int member_index,
                                   struct timespec now);
/* Up and staying, not suspected, and fit by its own word. */
bool lmn_member_is_trusted(const struct lmn_members *members, int member_index,
                           struct timespec now);
/* Seconds until its work may be given back to it; 0: now. */
double lmn_member_readmission_delay_s(const struct lmn_members *members, int member_index,
                                      struct timespec now);

/* This node is suspected, untruly as far as it knows: it should write its record anew. */
bool lmn_self_should_refute(const struct lmn_members *members, struct timespec now);
/* It may answer workers: it has not stood still since the mirror was last asked. */
bool lmn_self_may_reply(const struct lmn_members *members, struct timespec now);
/* It may claim, and judge others. */
bool lmn_self_may_claim(const struct lmn_members *members, struct timespec now);
/* It hears less than half of its machines, which come to others: the rank of the member
 * to give its partitions to, -1: none. */
int lmn_self_transfer_target(const struct lmn_members *members, struct timespec now);

#endif
