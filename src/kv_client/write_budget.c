/** @file
 * The write budget: see kv_client/write_budget.h. */
#include "kv_client/write_budget.h"

/** The bucket holds the tokens of BURST_S seconds, but at least MIN_BURST operations. */
static const double BURST_S = 0.9, MIN_BURST = 4;
/** The fraction of this controller's share that it uses: less than all, since the store
 * measures seconds by its own clock. */
static const double RATE_MARGIN = 0.95;
/** The fraction of the rate that deferrable writes may use. */
static const double DEFERRABLE_SHARE = 0.5;
/** The fractions of the burst that a priority leaves unused for higher priorities. */
static const double DEFERRABLE_RESERVE = 0.5, CLOSE_RESERVE = 0.2;
/** The fraction of the burst by which writes of owners and users may overdraw the bucket.
 */
static const double URGENT_OVERDRAFT = 1.0;
/** A transaction that is larger than this fraction of the burst is sent as soon as the
 * bucket holds this fraction beyond the reserve: with the largest reserve (0.5) the
 * bucket never holds much more, and the transaction would wait for ever. The bucket's
 * level becomes negative and recovers afterwards.
 */
static const double MAX_LEVEL_NEEDED = 0.45;

void lmn_write_budget_init(struct lmn_write_budget *budget, double writes_per_s,
                           struct timespec now)
{
    lmn_token_bucket_init(&budget->writes, writes_per_s * RATE_MARGIN,
                          MAX(writes_per_s * BURST_S, MIN_BURST), now);
    lmn_token_bucket_init(&budget->deferrable, DEFERRABLE_SHARE * budget->writes.rate,
                          budget->writes.burst, now);
}

void lmn_write_budget_refill(struct lmn_write_budget *budget, struct timespec now)
{
    lmn_token_bucket_refill(&budget->writes, now);
}

/** The number of tokens that a priority must leave in the bucket for higher priorities:
 * without a reserve, progress writes emptied the bucket and a user's submission waited
 * seconds for it to refill. Users often reach only one controller, for example after all
 * have restarted. Writes of users and owners may therefore overdraw this controller's
 * share (a negative reserve), which the unused shares of the other controllers make up
 * for; if these are used too, the store answers 429. */
static double reserve(const struct lmn_write_budget *budget,
                      enum lmn_write_priority priority)
{
    switch (priority) {
    case LMN_WRITE_DEFERRABLE:
        return DEFERRABLE_RESERVE * budget->writes.burst;
    case LMN_WRITE_CLOSE:
        return CLOSE_RESERVE * budget->writes.burst;
    default:
        return -URGENT_OVERDRAFT * budget->writes.burst;
    }
}

/** The tokens that the bucket must hold beyond the reserve to send the operations. */
static double level_needed(const struct lmn_write_budget *budget, guint operations)
{
    return MIN(operations, MAX_LEVEL_NEEDED * budget->writes.burst);
}

bool lmn_write_budget_affords(const struct lmn_write_budget *budget,
                              enum lmn_write_priority priority, guint operations)
{
    return budget->writes.level - reserve(budget, priority) >=
           level_needed(budget, operations);
}

double lmn_write_budget_wait_s(const struct lmn_write_budget *budget,
                               enum lmn_write_priority priority, guint operations)
{
    if (lmn_write_budget_affords(budget, priority, operations))
        return 0;
    return (reserve(budget, priority) + level_needed(budget, operations) -
            budget->writes.level) /
           budget->writes.rate;
}

double lmn_write_budget_backlog_s(const struct lmn_write_budget *budget,
                                  enum lmn_write_priority priority, double queued)
{
    double wait_s =
        (queued + reserve(budget, priority) - budget->writes.level) / budget->writes.rate;
    return MAX(wait_s, 0);
}

double lmn_write_budget_spare(struct lmn_write_budget *budget,
                              const double queued[LMN_WRITE_PRIORITIES],
                              struct timespec now)
{
    lmn_token_bucket_refill(&budget->writes, now);
    lmn_token_bucket_refill(&budget->deferrable, now);
    double spare = budget->writes.level - reserve(budget, LMN_WRITE_DEFERRABLE);
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
        spare -= queued[i];
    spare = MIN(spare, budget->deferrable.level);
    return MAX(spare, 0);
}
