/** @file
 * Divides a controller's sockets by purpose: how many connections it accepts, and which
 * of them may stay open between requests.
 *
 * Without this division, the open connections of workers used all sockets of a controller
 * once there were more workers than sockets, and health checks and users could not
 * connect.
 *
 * Pure functions of the settings and of counts of connections. The budget is constant
 * after lmn_connection_budget_init and needs no lock. */
#ifndef LMN_ADMISSION_CONNECTION_BUDGET_H
#define LMN_ADMISSION_CONNECTION_BUDGET_H

#include "config/settings.h"

#include <stdbool.h>

/** The kind of client that opened a connection: unidentified until its first request,
 * unless its address is a worker's host (worker_hosts.h). */
enum lmn_connection_kind {
    LMN_CONNECTION_UNIDENTIFIED,
    LMN_CONNECTION_USER,
    LMN_CONNECTION_WORKER,
    LMN_CONNECTION_KINDS
};

/** Number of threads that call workers; each has at most one call in flight. */
enum { LMN_WORKER_CLIENT_THREADS = 16 };

/** The division of settings.max_connections. */
struct lmn_connection_budget {
    unsigned own_connections; /**< opened by this controller, and its listening sockets */
    unsigned worker_connections; /**< of own_connections: kept open to workers by all
                                    threads */
    unsigned max_accepted;       /**< the most connections that clients may have open */
    unsigned reserved[LMN_CONNECTION_KINDS]; /**< part of max_accepted for each kind */
};

/** Divides the settings' max_connections. If it is at least
 * lmn_connection_budget_minimum, own and accepted connections together do not exceed it.
 * Below that minimum max_accepted is 16, and opening some connection will fail for lack
 * of sockets. */
void lmn_connection_budget_init(const struct lmn_settings *settings,
                                struct lmn_connection_budget *budget);

/** The smallest max_connections with which a controller can work, given the number of
 * members in the settings. */
unsigned lmn_connection_budget_minimum(const struct lmn_settings *settings);

/** The most machines whose heartbeats all controllers of the site together can handle
 * with the connections that are not reserved for users, if each heartbeat occupies a
 * connection for 0.25 s. The site does not scale out beyond that number. */
double lmn_connection_budget_max_machines(const struct lmn_connection_budget *budget,
                                          const struct lmn_settings *settings);

/** Whether a new connection is accepted. A worker's connection is closed if workers and
 * unidentified connections already use everything but the users' reservation; the worker
 * then tries the next controller a second later. Connections of other kinds are accepted
 * as long as there are sockets.
 *
 * @param open the open connections of each kind */
bool lmn_connection_budget_admits(const struct lmn_connection_budget *budget,
                                  const unsigned open[LMN_CONNECTION_KINDS],
                                  enum lmn_connection_kind kind);

/** Whether a connection may stay open after its reply. It must be closed if it would use
 * a connection that another kind has open or reserved, and if it is a user's and this
 * controller can't confirm writes while others can (is_at_fault).
 *
 * @param open the open connections of each kind, this one included */
bool lmn_connection_budget_keeps_open(const struct lmn_connection_budget *budget,
                                      const unsigned open[LMN_CONNECTION_KINDS],
                                      enum lmn_connection_kind kind, bool is_at_fault);

#endif
