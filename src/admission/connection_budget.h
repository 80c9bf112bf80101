/* A controller's sockets, parted by purpose: what may stand open, and what is answered
 * and closed. Pure functions of the settings and of counts; nothing here is locked.
 *
 * Without this, workers' standing connections alone filled a node once there were more of
 * them than sockets: health checks and users then waited at a door that nobody opened. */
#ifndef LMN_ADMISSION_CONNECTION_BUDGET_H
#define LMN_ADMISSION_CONNECTION_BUDGET_H

#include "config/settings.h"

#include <stdbool.h>

/* Who has opened a connection. One that has not asked for anything yet is passing. */
enum lmn_connection_kind {
    LMN_CONNECTION_UNIDENTIFIED,
    LMN_CONNECTION_USER,
    LMN_CONNECTION_WORKER,
    LMN_CONNECTION_KINDS
};

/* Threads that call workers: each has a call under way at most. */
enum { LMN_WORKER_CLIENT_THREADS = 16 };

struct lmn_connection_budget {
    unsigned own_connections;    /* the node's own calls, and what it listens on */
    unsigned worker_connections; /* of these, kept open to workers, over all lanes */
    unsigned max_accepted;       /* others' connections, at most */
    unsigned reserved[LMN_CONNECTION_KINDS]; /* of the accepted, which other kinds can't
                                                take */
};

/* How the node's max_connections are parted. For any settings: own and accepted together
 * are no more than max_connections, as long as that is at least
 * lmn_connection_budget_minimum; below, accepted is 16 and something will be
 * refused. */
void lmn_connection_budget_init(const struct lmn_settings *settings,
                                struct lmn_connection_budget *budget);

/* The fewest max_connections that a node with so many members can serve with. */
unsigned lmn_connection_budget_minimum(const struct lmn_settings *settings);

/* How many machines the site's controllers can hear: all members' connections but users'
 * part, each held for a quarter of a second by a report that comes every report_s. No
 * more than that are rented. */
double lmn_connection_budget_max_machines(const struct lmn_connection_budget *budget,
                                          const struct lmn_settings *settings);

/* Whether a new connection is let in at all, with so many open: a worker's is not once
 * workers and those whose purpose is not known yet have everything but users' part. It is
 * closed then; a worker goes on to the next node a second later. Others are let in as
 * long as there are sockets. */
bool lmn_connection_budget_admits(const struct lmn_connection_budget *budget,
                                  const unsigned open[LMN_CONNECTION_KINDS],
                                  enum lmn_connection_kind kind);

/* Whether a connection of the kind may stay open after its answer, with so many of each
 * kind open now (itself among them): not if that took from what other kinds have open, or
 * from their floors; nor a user's, if this node alone is at fault. */
bool lmn_connection_budget_keeps_open(const struct lmn_connection_budget *budget,
                                      const unsigned open[LMN_CONNECTION_KINDS],
                                      enum lmn_connection_kind kind, bool at_fault);

#endif
