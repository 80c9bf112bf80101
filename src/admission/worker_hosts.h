/* The hosts that workers report from, so that a connection's purpose is known as it
 * comes. A lock of its own: the server's thread looks one up for each connection. */
#ifndef LMN_ADMISSION_WORKER_HOSTS_H
#define LMN_ADMISSION_WORKER_HOSTS_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
struct sockaddr;

struct lmn_worker_hosts {
    pthread_mutex_t lock;
    GHashTable *machine_counts; /* IPv4 address as a number -> machines there */
    guint32 own_host;           /* the node's own */
};

/* listen: the node's own "IPv4:port". Hosts that users may share are never counted: the
 * node's own, and loopback. */
void lmn_worker_hosts_init(struct lmn_worker_hosts *hosts, const char *listen);
void lmn_worker_hosts_clear(struct lmn_worker_hosts *hosts);
/* One machine more, or one less, at "IPv4:port"; another form counts nowhere. */
void lmn_worker_hosts_add(struct lmn_worker_hosts *hosts, const char *addr);
void lmn_worker_hosts_remove(struct lmn_worker_hosts *hosts, const char *addr);
/* Whether some machine stands there. */
bool lmn_worker_hosts_contain(struct lmn_worker_hosts *hosts,
                              const struct sockaddr *peer);

#endif
