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
 * follows from it leaves the process. The explorer in tests/test_hand.c plays every order
 * of loss, doubling, crash and restore over them. */
#ifndef LMN_GATEWAY_HANDOVER_H
#define LMN_GATEWAY_HANDOVER_H

#include "config/settings.h"

#include <stdbool.h>
#include <stdint.h>

enum lmn_outcome_word {
    LMN_O_NONE,
    LMN_O_DONE,
    LMN_O_WITHDRAWN,
    LMN_O_RETURNED, /* the host has stopped it, and nothing of it runs there any more */
};

/* --- the home's record --- */

enum lmn_home_state {
    LMN_H_QUEUED,  /* waits at home */
    LMN_H_LOCAL,   /* handed to the home's own controllers */
    LMN_H_OFFERED, /* to a site; not known whether that has it */
    LMN_H_AWAY,    /* accepted there */
    LMN_H_FINAL,
    LMN_H_FENCED, /* the site was restored from an older state: only an operator can tell
                   */
};

struct lmn_home {
    enum lmn_home_state state;
    uint64_t epoch; /* of the last offer, or of the last handing to the own controllers */
    char site[LMN_NAME_SIZE];      /* OFFERED, AWAY, FENCED: which */
    uint64_t incarnation;          /* of that site's state, as it was at the offer */
    enum lmn_outcome_word outcome; /* FINAL: done or withdrawn */
    bool cancel;                   /* its user has asked */
    bool recall;                   /* an operator wants it at home, and it stays there */
    uint32_t transfers;
};

/* Whether the site has it, or may have it: offered to it, or accepted there. */
bool lmn_home_is_at(const struct lmn_home *h, const char *site);

/* What a host says of an epoch. */
enum lmn_answer { LMN_A_ACCEPTED, LMN_A_REFUSED, LMN_A_OVER };

/* Offers it: false if it does not wait, or was handed over as often as it may be. */
bool lmn_home_offer(struct lmn_home *h, const char *site, uint64_t incarnation,
                    uint32_t most);
/* Hands it to the own controllers. */
bool lmn_home_keep(struct lmn_home *h);
/* The own controllers have ended it. */
bool lmn_home_kept_over(struct lmn_home *h, enum lmn_outcome_word outcome);
/* The site, in the incarnation, says of the epoch what became of it. *heard: it need not
 * say it again. */
bool lmn_home_answer(struct lmn_home *h, const char *site, uint64_t incarnation,
                     uint64_t epoch, enum lmn_answer answer,
                     enum lmn_outcome_word outcome, bool *heard);
/* Its user asks: what waits at home is withdrawn at once, what is elsewhere when that is
 * true. */
bool lmn_home_cancel(struct lmn_home *h);
/* An operator wants it at home: what waits there is not offered any more, what is
 * elsewhere is to be stopped there, and comes back when the host says that it has
 * been. False: there is nothing to change. */
bool lmn_home_recall(struct lmn_home *h);
/* Not used yet: the host surely has stopped it by now (its leash is over, and somebody
 * other than its gateway sees to that): a job that was cancelled is withdrawn, one that
 * may run again waits at home. */
bool lmn_home_conclude(struct lmn_home *h, bool may_run_again);
/* The home's own state was restored from a backup: what became of the job since, nobody
 * here knows. */
bool lmn_home_restored(struct lmn_home *h);
/* An operator knows that nothing of it runs anywhere. */
bool lmn_home_unfence(struct lmn_home *h);

/* --- the host's record of another site's job --- */

enum lmn_host_state { LMN_HO_NONE, LMN_HO_RUNS, LMN_HO_OVER };

struct lmn_host {
    enum lmn_host_state state;
    uint64_t epoch; /* RUNS, OVER: of which offer */
    uint64_t floor; /* no offer up to this one is accepted any more */
    enum lmn_outcome_word outcome;
    bool cancel; /* the home wants it stopped */
    bool heard;  /* the home has recorded the outcome */
};

/* An offer: accepts it if there is room, and only if it is newer than all that is known.
 * *answer says what to tell the home; an OVER one with the record's outcome. False:
 * nothing changed, but *answer is to be told all the same; *old: the offer is older than
 * what is known, and nothing is to be told. ours: it was made to this incarnation; one
 * that was made to an earlier is answered so that the home sees by the answer's
 * incarnation what has happened, and changes nothing. */
bool lmn_host_offer(struct lmn_host *f, uint64_t epoch, bool ours, bool room,
                    enum lmn_answer *answer, bool *old);
/* The home asks what became of an epoch. */
bool lmn_host_resolve(struct lmn_host *f, uint64_t epoch, bool ours,
                      enum lmn_answer *answer, bool *old);
/* The host's state was restored from a backup: what it runs by it may have run before. It
 * is stopped, and nothing of it is told as an outcome. */
bool lmn_host_restored(struct lmn_host *f);
/* The host's controllers have ended it. */
bool lmn_host_over(struct lmn_host *f, enum lmn_outcome_word outcome);
/* The home wants it stopped. */
bool lmn_host_cancel(struct lmn_host *f, uint64_t epoch);
/* The home has recorded the outcome of the epoch. */
bool lmn_host_heard(struct lmn_host *f, uint64_t epoch);

#endif
