#include "admission/worker_hosts.h"
#include "config/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

/* 0: no host that counts. */
static guint32 host_of(const struct lmn_worker_hosts *hosts, const char *addr)
{
    char host[LMN_ADDRESS_SIZE];
    struct in_addr a;
    int port;

    if (lmn_address_split(addr, host, sizeof host, &port) != 0 ||
        inet_pton(AF_INET, host, &a) != 1)
        return 0;
    guint32 n = ntohl(a.s_addr);
    return n >> 24 == 127 || n == hosts->own_host ? 0 : n;
}

void lmn_worker_hosts_init(struct lmn_worker_hosts *hosts, const char *listen)
{
    pthread_mutex_init(&hosts->lock, NULL);
    hosts->machine_counts = g_hash_table_new(NULL, NULL);
    hosts->own_host = 0;
    hosts->own_host = host_of(hosts, listen);
}

void lmn_worker_hosts_clear(struct lmn_worker_hosts *hosts)
{
    g_hash_table_destroy(hosts->machine_counts);
    pthread_mutex_destroy(&hosts->lock);
}

static void count(struct lmn_worker_hosts *hosts, const char *addr, int by)
{
    guint32 host = host_of(hosts, addr);

    if (!host)
        return;
    pthread_mutex_lock(&hosts->lock);
    int n = GPOINTER_TO_INT(
                g_hash_table_lookup(hosts->machine_counts, GUINT_TO_POINTER(host))) +
            by;
    if (n > 0)
        g_hash_table_insert(hosts->machine_counts, GUINT_TO_POINTER(host),
                            GINT_TO_POINTER(n));
    else
        g_hash_table_remove(hosts->machine_counts, GUINT_TO_POINTER(host));
    pthread_mutex_unlock(&hosts->lock);
}

void lmn_worker_hosts_add(struct lmn_worker_hosts *hosts, const char *addr)
{
    count(hosts, addr, 1);
}

void lmn_worker_hosts_remove(struct lmn_worker_hosts *hosts, const char *addr)
{
    count(hosts, addr, -1);
}

bool lmn_worker_hosts_contain(struct lmn_worker_hosts *hosts, const struct sockaddr *peer)
{
    const struct sockaddr_in *a = (const struct sockaddr_in *)peer;

    if (!peer || peer->sa_family != AF_INET)
        return false;
    pthread_mutex_lock(&hosts->lock);
    bool known = g_hash_table_contains(hosts->machine_counts,
                                       GUINT_TO_POINTER(ntohl(a->sin_addr.s_addr)));
    pthread_mutex_unlock(&hosts->lock);
    return known;
}
