/** @file
 * The budget for writes: how many operations this controller may send to the key-value
 * store now, and how many transactions of each priority leave to those before them.
 *
 * The store's limit of writes a second is for all controllers together; each keeps to an
 * equal share of it. For the files of kv_client/ only; the caller holds the client's
 * lock.
 */
#ifndef LMN_KV_CLIENT_WRITE_BUDGET_H
#define LMN_KV_CLIENT_WRITE_BUDGET_H

#include "kv_client/txn.h"
#include "util/token_bucket.h"

#include <stdbool.h>

/** A controller's budget; a token is one operation. */
struct lmn_write_budget {
    struct lmn_token_bucket writes;
    /** The part of the budget that deferrable writes may use. It is charged when they are
     * submitted, not when they are sent. */
    struct lmn_token_bucket deferrable;
};

/** Sets up a full budget.
 *
 * @param writes_per_s  this controller's share */
void lmn_write_budget_init(struct lmn_write_budget *budget, double writes_per_s,
                           struct timespec now);

/** Adds what has become available since the last call, for the functions below but
 * lmn_write_budget_spare, which does it itself. */
void lmn_write_budget_refill(struct lmn_write_budget *budget, struct timespec now);

/** Whether so many operations of the priority may be sent now. */
bool lmn_write_budget_affords(const struct lmn_write_budget *budget,
                              enum lmn_write_priority priority, guint operations);

/** Seconds until so many operations of the priority may be sent; 0: now. */
double lmn_write_budget_wait_s(const struct lmn_write_budget *budget,
                               enum lmn_write_priority priority, guint operations);

/** Seconds until the budget has paid for operations that are queued, and a new
 * transaction of the priority is next; 0: now. */
double lmn_write_budget_backlog_s(const struct lmn_write_budget *budget,
                                  enum lmn_write_priority priority, double queued);

/** How many deferrable operations may be submitted and then sent at once, behind those
 * that are queued; 0 or more.
 *
 * @param queued  operations by priority */
double lmn_write_budget_spare(struct lmn_write_budget *budget,
                              const double queued[LMN_WRITE_PRIORITIES],
                              struct timespec now);

#endif
