/** @file
 * The hosts that workers run on. By its host, a new connection can be identified as a
 * worker's before its first request. The set has its own lock, since the HTTP server's
 * thread looks up the host of each new connection. */
#ifndef LMN_ADMISSION_WORKER_HOSTS_H
#define LMN_ADMISSION_WORKER_HOSTS_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
struct sockaddr;

/** Hosts with at least one worker. All functions but init and clear may be called by any
 * thread. */
struct lmn_worker_hosts {
    pthread_mutex_t lock;
    GHashTable *machine_counts; /**< IPv4 address as a number -> number of machines */
    guint32 own_host; /**< this controller's host; 0: unknown. Constant after init */
};

/** Initializes an empty set.
 *
 * @param listen_address this controller's own "IPv4:port". Hosts that users may share
 * with workers are never counted: this controller's own host, and loopback */
void lmn_worker_hosts_init(struct lmn_worker_hosts *hosts, const char *listen_address);
/** Frees what the structure holds. */
void lmn_worker_hosts_clear(struct lmn_worker_hosts *hosts);
/** Adds one machine at "IPv4:port"; an address in another form is ignored. */
void lmn_worker_hosts_add(struct lmn_worker_hosts *hosts, const char *address);
/** Removes one machine at "IPv4:port"; an address in another form is ignored. */
void lmn_worker_hosts_remove(struct lmn_worker_hosts *hosts, const char *address);
/** Whether at least one machine runs at the peer's address. @param peer may be NULL, for
 * which the result is false */
bool lmn_worker_hosts_contain(struct lmn_worker_hosts *hosts,
                              const struct sockaddr *peer);

#endif
