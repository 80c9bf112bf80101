/* The hand-over of a job between its home and another site: who may run it, and who
 * answers for it.
 *
 * Every job has one home, which answers for it for ever. The home records an offer
 * (epoch, site) before it is sent; the other side, the host, records that it has accepted
 * or refused that epoch before it says so. An offer without an answer is neither run at
 * home nor offered elsewhere until the host has answered for that epoch: asked to resolve
 * it, the host either says what became of it or records that it refuses it, so that the
 * offer changes nothing if it comes late. Epochs only rise.
 *
 * Pure transition functions over two small records; no time, no I/O. A function that
 * changes a record says so: it has to be written, conditionally, before anything that
 * follows from it leaves the process. The explorer in tests/test_handover.c plays every
 * order of loss, doubling, crash and restore over them. */
#ifndef LMN_GATEWAY_HANDOVER_H
#define LMN_GATEWAY_HANDOVER_H

#include "config/settings.h"

#include <stdbool.h>
#include <stdint.h>

enum lmn_handover_outcome {
    LMN_OUTCOME_NONE,
    LMN_OUTCOME_DONE,
    LMN_OUTCOME_CANCELLED,
    LMN_OUTCOME_RETURNED, /* the host has stopped it, and nothing of it runs there any
                             more */
};

/* --- the home's record --- */

enum lmn_origin_state {
    LMN_ORIGIN_QUEUED,  /* waits at home */
    LMN_ORIGIN_LOCAL,   /* handed to the home's own controllers */
    LMN_ORIGIN_OFFERED, /* to a site; not known whether that has it */
    LMN_ORIGIN_REMOTE,  /* accepted there */
    LMN_ORIGIN_FINAL,
    LMN_ORIGIN_FENCED, /* the site was restored from an older state: only an operator can
                        * tell
                        */
};

struct lmn_origin_record {
    enum lmn_origin_state state;
    uint64_t epoch; /* of the last offer, or of the last handing to the own controllers */
    char site[LMN_NAME_SIZE];          /* OFFERED, AWAY, FENCED: which */
    uint64_t incarnation;              /* of that site's state, as it was at the offer */
    enum lmn_handover_outcome outcome; /* FINAL: done or withdrawn */
    bool cancel_requested;             /* its user has asked */
    bool is_revoked; /* an operator wants it at home, and it stays there */
    uint32_t transfers;
};

/* Whether the site has it, or may have it: offered to it, or accepted there. */
bool lmn_origin_is_at(const struct lmn_origin_record *h, const char *site);

/* What a host says of an epoch. */
enum lmn_handover_answer {
    LMN_HANDOVER_ACCEPTED,
    LMN_HANDOVER_REJECTED,
    LMN_HANDOVER_FINISHED
};

/* Offers it: false if it does not wait, or was handed over as often as it may be. */
bool lmn_origin_offer(struct lmn_origin_record *h, const char *site, uint64_t incarnation,
                      uint32_t most);
/* Hands it to the own controllers. */
bool lmn_origin_run_locally(struct lmn_origin_record *h);
/* The own controllers have ended it. */
bool lmn_origin_local_finished(struct lmn_origin_record *h,
                               enum lmn_handover_outcome outcome);
/* The site, in the incarnation, says of the epoch what became of it. *heard: it need not
 * say it again. */
bool lmn_origin_handle_answer(struct lmn_origin_record *h, const char *site,
                              uint64_t incarnation, uint64_t epoch,
                              enum lmn_handover_answer answer,
                              enum lmn_handover_outcome outcome, bool *heard);
/* Its user asks: what waits at home is withdrawn at once, what is elsewhere when that is
 * true. */
bool lmn_origin_cancel(struct lmn_origin_record *h);
/* An operator wants it at home: what waits there is not offered any more, what is
 * elsewhere is to be stopped there, and comes back when the host says that it has
 * been. False: there is nothing to change. */
bool lmn_origin_revoke(struct lmn_origin_record *h);
/* Not used yet: the host surely has stopped it by now (its leash is over, and somebody
 * other than its gateway sees to that): a job that was cancelled is withdrawn, one that
 * may run again waits at home. */
bool lmn_origin_conclude(struct lmn_origin_record *h, bool may_run_again);
/* The home's own state was restored from a backup: what became of the job since, nobody
 * here knows. */
bool lmn_origin_restored(struct lmn_origin_record *h);
/* An operator knows that nothing of it runs anywhere. */
bool lmn_origin_unfence(struct lmn_origin_record *h);

/* --- the host's record of another site's job --- */

enum lmn_execution_state {
    LMN_EXECUTION_NONE,
    LMN_EXECUTION_RUNNING,
    LMN_EXECUTION_FINISHED
};

struct lmn_execution_record {
    enum lmn_execution_state state;
    uint64_t epoch;     /* RUNS, OVER: of which offer */
    uint64_t min_epoch; /* no offer up to this one is accepted any more */
    enum lmn_handover_outcome outcome;
    bool cancel_requested; /* the home wants it stopped */
    bool is_acknowledged;  /* the home has recorded the outcome */
};

/* An offer: accepts it if there is room, and only if it is newer than all that is known.
 * *answer says what to tell the home; an OVER one with the record's outcome. False:
 * nothing changed, but *answer is to be told all the same; *old: the offer is older than
 * what is known, and nothing is to be told. ours: it was made to this incarnation; one
 * that was made to an earlier is answered so that the home sees by the answer's
 * incarnation what has happened, and changes nothing. */
bool lmn_execution_handle_offer(struct lmn_execution_record *f, uint64_t epoch, bool ours,
                                bool room, enum lmn_handover_answer *answer, bool *old);
/* The home asks what became of an epoch. */
bool lmn_execution_resolve(struct lmn_execution_record *f, uint64_t epoch, bool ours,
                           enum lmn_handover_answer *answer, bool *old);
/* The host's state was restored from a backup: what it runs by it may have run before. It
 * is stopped, and nothing of it is told as an outcome. */
bool lmn_execution_restored(struct lmn_execution_record *f);
/* The host's controllers have ended it. */
bool lmn_execution_finished(struct lmn_execution_record *f,
                            enum lmn_handover_outcome outcome);
/* The home wants it stopped. */
bool lmn_execution_cancel(struct lmn_execution_record *f, uint64_t epoch);
/* The home has recorded the outcome of the epoch. */
bool lmn_execution_acknowledged(struct lmn_execution_record *f, uint64_t epoch);

#endif
