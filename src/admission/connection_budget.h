/** @file
 * How a controller's sockets are divided by purpose: how many connections it accepts, and
 * which of them may stay open between requests.
 *
 * Without a budget, workers' open connections alone filled a controller once there were
 * more workers than sockets, and health checks and users could not connect.
 *
 * Pure functions of the settings and of counts. The budget is constant after init, and
 * needs no lock. */
#ifndef LMN_ADMISSION_CONNECTION_BUDGET_H
#define LMN_ADMISSION_CONNECTION_BUDGET_H

#include "config/settings.h"

#include <stdbool.h>

/** Who has opened a connection. It is unidentified until its first request. */
enum lmn_connection_kind {
    LMN_CONNECTION_UNIDENTIFIED,
    LMN_CONNECTION_USER,
    LMN_CONNECTION_WORKER,
    LMN_CONNECTION_KINDS
};

/** Threads that call workers; each has at most one call in flight. */
enum { LMN_WORKER_CLIENT_THREADS = 16 };

/** How max_connections is divided. */
struct lmn_connection_budget {
    unsigned own_connections;    /**< that this controller opens itself or listens on */
    unsigned worker_connections; /**< of these, kept open to workers by all threads */
    unsigned max_accepted;       /**< most connections that others may open */
    unsigned reserved[LMN_CONNECTION_KINDS]; /**< of these, for one kind alone */
};

/** Divides the settings' max_connections. If that is at least
 * lmn_connection_budget_minimum, own and accepted connections together do not exceed it;
 * below that, 16 are accepted, and some connection will be refused. */
void lmn_connection_budget_init(const struct lmn_settings *settings,
                                struct lmn_connection_budget *budget);

/** The smallest max_connections that a controller with so many members can work with. */
unsigned lmn_connection_budget_minimum(const struct lmn_settings *settings);

/** The most machines whose heartbeats the site's controllers can take: from the accepted
 * connections of all members without the users' share, when a heartbeat holds one for a
 * quarter of a second. The site does not scale out beyond that. */
double lmn_connection_budget_max_machines(const struct lmn_connection_budget *budget,
                                          const struct lmn_settings *settings);

/** Whether a new connection is accepted. A worker's is not once workers and unidentified
 * connections have all but the users' share: it is closed, and the worker tries the next
 * controller a second later. Others are accepted as long as there are sockets.
 *
 * @param open the open connections of each kind */
bool lmn_connection_budget_admits(const struct lmn_connection_budget *budget,
                                  const unsigned open[LMN_CONNECTION_KINDS],
                                  enum lmn_connection_kind kind);

/** Whether a connection may stay open after its reply: not if it takes from what other
 * kinds have open or reserved, and not a user's if this controller alone is at fault.
 *
 * @param open the open connections of each kind, this one included */
bool lmn_connection_budget_keeps_open(const struct lmn_connection_budget *budget,
                                      const unsigned open[LMN_CONNECTION_KINDS],
                                      enum lmn_connection_kind kind, bool is_at_fault);

#endif
