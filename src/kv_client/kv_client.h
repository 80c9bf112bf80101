/* The state service's client: batching writers, and blocking calls for the other threads.
 * Batches may be carried out in another order than they were submitted in, as any that is
 * late may: each transaction is conditional on what it was derived from. */
#ifndef LMN_KV_CLIENT_KV_CLIENT_H
#define LMN_KV_CLIENT_KV_CLIENT_H

#include "protocol/cbor.h"
#include "http/client.h"
#include "util/latency.h"
#include "config/settings.h"

enum lmn_outcome {
    LMN_OK,
    LMN_CONFLICT, /* a condition did not hold: nothing was applied */
    LMN_REFUSED,  /* not executed */
    LMN_UNKNOWN,  /* no answer: it may have been, or may yet be, executed */
};

/* In the order in which they go out when the budget is short. */
enum lmn_rank { LMN_RANK_OWNER, LMN_RANK_USER, LMN_RANK_CLOSE, LMN_RANK_LAZY, LMN_RANKS };

struct lmn_txn;
struct lmn_state;
typedef void lmn_txn_done(void *arg, struct lmn_txn *t, enum lmn_outcome outcome,
                          uint64_t revision);

struct lmn_state *lmn_state_new(const struct lmn_settings *cfg);
/* Of one whose threads were never started; what was not sent counts as refused, so
 * whoever hears of that must still be there. */
void lmn_state_free(struct lmn_state *s);
/* Starts the writers' threads. */
void lmn_state_start(struct lmn_state *s);

/* A transaction: conditions, changes, and who hears of its outcome (once, on a writer's
 * thread, no lock held). */
struct lmn_txn *lmn_txn_new(enum lmn_rank rank, lmn_txn_done *done, void *arg);
void lmn_txn_if(struct lmn_txn *t, const char *key, uint64_t version);
/* Takes the value over. A lease of 0: none. */
void lmn_txn_write(struct lmn_txn *t, const char *key, GByteArray *value, uint64_t lease);
/* As lmn_txn_write without a lease, ahead of the changes so far. */
void lmn_txn_write_first(struct lmn_txn *t, const char *key, GByteArray *value);
void lmn_txn_remove(struct lmn_txn *t, const char *key);
void lmn_txn_free(struct lmn_txn *t);
/* The same transaction once more, to be sent beside or after it. */
struct lmn_txn *lmn_txn_twin(const struct lmn_txn *t);
guint lmn_txn_changes(const struct lmn_txn *t);
/* Calls f for each change: value NULL is a removal; lease: what the key hangs on, 0 if
 * nothing. */
void lmn_txn_each(const struct lmn_txn *t,
                  void (*f)(void *arg, const char *key, const GByteArray *value,
                            uint64_t lease),
                  void *arg);

void lmn_txn_each_condition(const struct lmn_txn *t,
                            void (*f)(void *arg, const char *key, uint64_t version),
                            void *arg);
/* Without the writers' threads (in tests): takes the next transaction off the queues,
 * NULL if there is none, and tells its outcome. */
struct lmn_txn *lmn_state_take(struct lmn_state *s);
void lmn_txn_finish(struct lmn_txn *t, enum lmn_outcome outcome, uint64_t revision);

void lmn_state_submit(struct lmn_state *s, struct lmn_txn *t);
/* Seconds that a new transaction of this rank would wait for its turn. */
double lmn_state_backlog(struct lmn_state *s, enum lmn_rank rank);
/* How many changes that can wait may be submitted now, so that they go out at once. */
double lmn_state_spare(struct lmn_state *s);
/* Copies the times that transactions took into *writing, which was set up; returns how
 * many changes wait. */
double lmn_state_figures(struct lmn_state *s, struct lmn_latency *writing);
/* Waits for leave to send one more request. */
void lmn_state_pace(struct lmn_state *s);
/* Sends a transaction now, on the calling thread, outside the batches. */
enum lmn_outcome lmn_state_send(struct lmn_state *s, struct lmn_http_client *h,
                                struct lmn_txn *t, uint64_t *revision,
                                GPtrArray *conflicts);

#endif
