/* Questions that wait to be confirmed with the state service. All who ask about the same
 * job share one confirmation; whoever has waited for longer than he listens is answered
 * at once, without one. First come, first served, so that no job is passed over. Not
 * locked.
 */
#ifndef LMN_ASKS_H
#define LMN_ASKS_H

#include "base/job.h"

#include <glib.h>
#include <time.h>

enum lmn_ask_kind { LMN_ASK_POLL, LMN_ASK_CANCEL };

struct lmn_call;

struct lmn_ask {
    enum lmn_ask_kind kind;
    struct lmn_call *call;
    char ref[LMN_REF];
    int absent_status; /* the answer if there is no such job */
    struct timespec since;
    struct lmn_ask *next; /* who asks the same */
};

struct lmn_asks {
    GQueue order;     /* the first who asked about each job, and all cancellations */
    GHashTable *jobs; /* ref -> that first one */
    guint waiting;
};

/* How long a user listens for the answer to a question (the protocol's), less the way. */
#define LMN_ASK_LISTENS_S 1.8

void lmn_asks_init(struct lmn_asks *q);
void lmn_asks_clear(struct lmn_asks *q); /* frees what waits */
/* Takes the ask over. */
void lmn_asks_put(struct lmn_asks *q, struct lmn_ask *a);
/* Takes the next questions off the queue: of `most` jobs at most, a list for each, and
 * one cancellation (NULL: none). What has waited for too long goes to *late, a list, in
 * either case. Returns how many jobs. */
guint lmn_asks_take(struct lmn_asks *q, struct lmn_ask **jobs, guint most,
                    struct lmn_ask **cancel, struct lmn_ask **late, struct timespec now);

#endif
