#include "admission/connection_budget.h"

/* Listening, the log, the state service (following, writing, reading, the lease), the
 * cloud, with some to spare; and for each other member a call and a question each way
 * and one that is just being replaced; and for each partition, of which there are as
 * many, its standby, the record of that, and the owner that this node stands by for. */
enum { FIXED = 12, EACH_MEMBER = 8, LEAST_ACCEPTED = 16 };

static unsigned most(unsigned a, unsigned b)
{
    return a > b ? a : b;
}

static unsigned fixed(const struct lmn_settings *settings)
{
    return FIXED + EACH_MEMBER * (unsigned)settings->member_count;
}

unsigned lmn_connection_budget_minimum(const struct lmn_settings *settings)
{
    return fixed(settings) + LMN_WORKER_CLIENT_THREADS + LEAST_ACCEPTED;
}

void lmn_connection_budget_init(const struct lmn_settings *settings,
                                struct lmn_connection_budget *budget)
{
    unsigned all = (unsigned)settings->max_connections;

    /* Each lane has one call under way at most, whatever it keeps open besides. */
    budget->worker_connections =
        most(lmn_settings_worker_connections(settings), LMN_WORKER_CLIENT_THREADS);
    budget->own_connections = fixed(settings) + budget->worker_connections;
    budget->max_accepted = all > budget->own_connections + LEAST_ACCEPTED
                               ? all - budget->own_connections
                               : LEAST_ACCEPTED;
    /* An eighth is left to pass through, however many stand: a report needs a connection
     * for as long as its answer takes. A quarter each is users' and workers' own; the
     * rest is whose it is needed by. */
    budget->reserved[LMN_CONNECTION_UNIDENTIFIED] = most(budget->max_accepted / 8, 4);
    budget->reserved[LMN_CONNECTION_USER] = most(budget->max_accepted / 4, 4);
    budget->reserved[LMN_CONNECTION_WORKER] = most(budget->max_accepted / 4, 4);
}

double lmn_connection_budget_max_machines(const struct lmn_connection_budget *budget,
                                          const struct lmn_settings *settings)
{
    /* A few round trips between far zones, and the wait for its turn. */
    static const double held_s = 0.25;
    double each = budget->max_accepted - budget->reserved[LMN_CONNECTION_USER];

    return each * (double)(settings->member_count + 1) * (settings->heartbeat_s / held_s);
}

bool lmn_connection_budget_admits(const struct lmn_connection_budget *budget,
                                  const unsigned open[LMN_CONNECTION_KINDS],
                                  enum lmn_connection_kind kind)
{
    unsigned users =
        most(budget->reserved[LMN_CONNECTION_USER], open[LMN_CONNECTION_USER]);

    return kind != LMN_CONNECTION_WORKER ||
           open[LMN_CONNECTION_WORKER] + open[LMN_CONNECTION_UNIDENTIFIED] + users <
               budget->max_accepted;
}

bool lmn_connection_budget_keeps_open(const struct lmn_connection_budget *budget,
                                      const unsigned open[LMN_CONNECTION_KINDS],
                                      enum lmn_connection_kind kind, bool at_fault)
{
    unsigned others = 0;

    /* Where nothing can be confirmed, while it can elsewhere, no user is to ask again:
     * answered 503 at once, users stayed on their connections and asked the same node
     * until the balancer had noticed. */
    if (at_fault && kind == LMN_CONNECTION_USER)
        return false;
    for (int k = 0; k < LMN_CONNECTION_KINDS; k++)
        if (k != (int)kind)
            others += most(budget->reserved[k], open[k]);
    return open[kind] + others <= budget->max_accepted;
}
