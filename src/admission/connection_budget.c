/** @file
 * The connection budget (admission/connection_budget.h). */
#include "admission/connection_budget.h"

#include <glib.h>

enum {
    /** Listening, the log, the key-value store (watch, writes, reads, the lease), the
     * machine provider, and some to spare. */
    FIXED_CONNECTIONS = 12,
    /** For each other member a call and a probe each way, and one that is just being
     * replaced; for each partition, of which there are as many, its standby, that
     * standby's record, and the owner that this controller stands by for. */
    CONNECTIONS_PER_MEMBER = 8,
    MIN_ACCEPTED = 16,
    MIN_RESERVED = 4,
};

/** Connections that this controller needs whatever the workers do. */
static unsigned base_connections(const struct lmn_settings *settings)
{
    return FIXED_CONNECTIONS + CONNECTIONS_PER_MEMBER * (unsigned)settings->member_count;
}

unsigned lmn_connection_budget_minimum(const struct lmn_settings *settings)
{
    return base_connections(settings) + LMN_WORKER_CLIENT_THREADS + MIN_ACCEPTED;
}

void lmn_connection_budget_init(const struct lmn_settings *settings,
                                struct lmn_connection_budget *budget)
{
    unsigned max_connections = (unsigned)settings->max_connections;

    /* Each thread has one call in flight at most, whatever it keeps open besides. */
    budget->worker_connections = MAX(lmn_settings_worker_connections(settings),
                                     (unsigned)LMN_WORKER_CLIENT_THREADS);
    budget->own_connections = base_connections(settings) + budget->worker_connections;
    budget->max_accepted = max_connections > budget->own_connections + MIN_ACCEPTED
                               ? max_connections - budget->own_connections
                               : MIN_ACCEPTED;
    /* An eighth stays free for short connections, however many are kept open: a heartbeat
     * needs one for as long as its reply takes. A quarter each is for users and workers
     * alone; the rest is for whoever needs it. */
    budget->reserved[LMN_CONNECTION_UNIDENTIFIED] =
        MAX(budget->max_accepted / 8, (unsigned)MIN_RESERVED);
    budget->reserved[LMN_CONNECTION_USER] =
        MAX(budget->max_accepted / 4, (unsigned)MIN_RESERVED);
    budget->reserved[LMN_CONNECTION_WORKER] =
        MAX(budget->max_accepted / 4, (unsigned)MIN_RESERVED);
}

double lmn_connection_budget_max_machines(const struct lmn_connection_budget *budget,
                                          const struct lmn_settings *settings)
{
    /* How long a heartbeat holds its connection: a few round trips between distant zones,
     * and the wait for its turn. */
    static const double held_s = 0.25;
    double per_controller = budget->max_accepted - budget->reserved[LMN_CONNECTION_USER];

    return per_controller * (double)(settings->member_count + 1) *
           (settings->heartbeat_s / held_s);
}

bool lmn_connection_budget_admits(const struct lmn_connection_budget *budget,
                                  const unsigned open[LMN_CONNECTION_KINDS],
                                  enum lmn_connection_kind kind)
{
    unsigned users =
        MAX(budget->reserved[LMN_CONNECTION_USER], open[LMN_CONNECTION_USER]);

    return kind != LMN_CONNECTION_WORKER ||
           open[LMN_CONNECTION_WORKER] + open[LMN_CONNECTION_UNIDENTIFIED] + users <
               budget->max_accepted;
}

bool lmn_connection_budget_keeps_open(const struct lmn_connection_budget *budget,
                                      const unsigned open[LMN_CONNECTION_KINDS],
                                      enum lmn_connection_kind kind, bool is_at_fault)
{
    unsigned others = 0;

    /* Users of a controller that can't confirm anything, while others can, have to leave
     * it: refused with 503 on a connection that stays open, they sent the same controller
     * request after request until the load balancer noticed. */
    if (is_at_fault && kind == LMN_CONNECTION_USER)
        return false;
    for (int k = 0; k < LMN_CONNECTION_KINDS; k++)
        if (k != (int)kind)
            others += MAX(budget->reserved[k], open[k]);
    return open[kind] + others <= budget->max_accepted;
}
