/** @file
 * The hosts that workers run on, by which a new connection's purpose is known before its
 * first request. A lock of its own guards the set, since the HTTP server's thread looks
 * hosts up for each connection. */
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
    GHashTable *machine_counts; /**< IPv4 address as a number -> machines there */
    guint32 own_host;           /**< this controller's; 0: unknown. Constant after init */
};

/** Starts with no host.
 *
 * @param listen_address this controller's own "IPv4:port". Hosts that users may share are
 * never counted: this controller's own, and loopback */
void lmn_worker_hosts_init(struct lmn_worker_hosts *hosts, const char *listen_address);
/** Frees what the structure holds. */
void lmn_worker_hosts_clear(struct lmn_worker_hosts *hosts);
/** Counts one machine more at "IPv4:port"; an address in another form is ignored. */
void lmn_worker_hosts_add(struct lmn_worker_hosts *hosts, const char *address);
/** Counts one machine less at "IPv4:port"; an address in another form is ignored. */
void lmn_worker_hosts_remove(struct lmn_worker_hosts *hosts, const char *address);
/** Whether some machine is at the peer's address. @param peer NULL: no */
bool lmn_worker_hosts_contain(struct lmn_worker_hosts *hosts,
                              const struct sockaddr *peer);

#endif
