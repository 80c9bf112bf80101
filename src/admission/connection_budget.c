/** @file
 * The division of a controller's sockets by purpose (admission/connection_budget.h). */
#include "admission/connection_budget.h"

#include <glib.h>

enum {
    /** The listening socket, the log, the connections to the key-value store (watch,
     * writes, reads, lease) and to the machine provider, and a few spare ones. */
    FIXED_CONNECTIONS = 12,
    /** For each other member: a call and a probe in each direction, and one connection
     * that is being replaced. For each partition (there are as many as members):
     * its standby, the record of that standby, and the owner for which this controller is
     * the standby. */
    CONNECTIONS_PER_MEMBER = 8,
    MIN_ACCEPTED = 16,
    MIN_RESERVED = 4,
};

/** Connections that this controller needs independently of the number of workers. */
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

    /* At least one connection per thread, for the call that it has in flight. */
    budget->worker_connections = MAX(lmn_settings_worker_connections(settings),
                                     (unsigned)LMN_WORKER_CLIENT_THREADS);
    budget->own_connections = base_connections(settings) + budget->worker_connections;
    budget->max_accepted = max_connections > budget->own_connections + MIN_ACCEPTED
                               ? max_connections - budget->own_connections
                               : MIN_ACCEPTED;
    /* An eighth is reserved for connections that are not identified yet, so that a
     * heartbeat can always get a connection for the time of its reply. A quarter each is
     * reserved for users and for workers; any kind may use the rest. */
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
    /* How long a heartbeat occupies its connection: a few round trips between distant
     * zones and the wait until the controller handles it. */
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

    /* If this controller can't confirm writes while others can, its users' connections
     * are closed so that they connect to another controller. When they were answered 503
     * on a connection that stayed open, they repeated their requests to the same
     * controller until the load balancer took it out of service. */
    if (is_at_fault && kind == LMN_CONNECTION_USER)
        return false;
    for (int other = 0; other < LMN_CONNECTION_KINDS; other++)
        if (other != (int)kind)
            others += MAX(budget->reserved[other], open[other]);
    return open[kind] + others <= budget->max_accepted;
}
