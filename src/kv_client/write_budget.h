/** @file
 * The write budget: how many operations this controller may send to the key-value store
 * now, and how much of that each priority must leave unused for higher priorities.
 *
 * The store limits the writes per second of all controllers together; each controller
 * uses an equal share of that limit. Internal to kv_client/; the caller holds the
 * client's lock.
 */
#ifndef LMN_KV_CLIENT_WRITE_BUDGET_H
#define LMN_KV_CLIENT_WRITE_BUDGET_H

#include "kv_client/txn.h"
#include "util/token_bucket.h"

#include <stdbool.h>

/** A controller's write budget. One token pays for one operation. */
struct lmn_write_budget {
    struct lmn_token_bucket writes;
    /** The part of the budget that deferrable writes may use. Operations are charged to
     * it when they are submitted, not when they are sent. */
    struct lmn_token_bucket deferrable;
};

/** Initializes the budget with full buckets.
 *
 * @param writes_per_s  this controller's share of the store's limit */
void lmn_write_budget_init(struct lmn_write_budget *budget, double writes_per_s,
                           struct timespec now);

/** Adds the tokens for the time since the last call. To be called before the functions
 * below, except lmn_write_budget_spare, which refills both buckets itself. */
void lmn_write_budget_refill(struct lmn_write_budget *budget, struct timespec now);

/** Whether a batch of `operations` operations of the priority may be sent now. */
bool lmn_write_budget_affords(const struct lmn_write_budget *budget,
                              enum lmn_write_priority priority, guint operations);

/** Seconds until a batch of `operations` operations of the priority may be sent; 0: now.
 */
double lmn_write_budget_wait_s(const struct lmn_write_budget *budget,
                               enum lmn_write_priority priority, guint operations);

/** Seconds until the budget has enough tokens to send all queued operations, after which
 * a new transaction of the priority would be sent next; 0: now.
 *
 * @param queued  operations queued with this or a higher priority */
double lmn_write_budget_backlog_s(const struct lmn_write_budget *budget,
                                  enum lmn_write_priority priority, double queued);

/** How many deferrable operations can be submitted now and still be sent without waiting,
 * after all operations that are queued already; 0 or more.
 *
 * @param queued  queued operations, by priority */
double lmn_write_budget_spare(struct lmn_write_budget *budget,
                              const double queued[LMN_WRITE_PRIORITIES],
                              struct timespec now);

#endif
