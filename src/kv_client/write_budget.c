/** @file
 * The budget for writes: see kv_client/write_budget.h. */
#include "kv_client/write_budget.h"

/** The bucket holds so many seconds of the rate, but a few operations at least. */
static const double BURST_S = 0.9, MIN_BURST = 4;
/** Part of the share that is used: a little less than all, since the store counts seconds
 * by its own clock. */
static const double RATE_MARGIN = 0.95;
/** Part of the rate that deferrable writes may use. */
static const double DEFERRABLE_SHARE = 0.5;
/** Parts of the burst that a priority leaves to those before it. */
static const double DEFERRABLE_RESERVE = 0.5, CLOSE_RESERVE = 0.2;
/** Part of the burst by which owners and users may overdraw the bucket. */
static const double URGENT_OVERDRAFT = 1.0;
/** A transaction that is larger than this part of the burst is sent when so much is
 * there, since the bucket never holds more beyond the largest reserve; it is paid off
 * afterwards.
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

/** Operations that a priority leaves in the bucket for those before it: a submission that
 * finds the bucket emptied by done sets would wait longer than its user likes. Users
 * often come to one controller alone, as after a restart of all: their writes and the
 * owners' may overdraw its share (a negative reserve), which the other controllers'
 * unused shares cover; if they do not, the store answers 429. */
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

/** The level, beyond the reserve, that so many operations need. */
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
