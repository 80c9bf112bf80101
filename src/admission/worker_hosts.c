/** @file
 * The hosts that workers run on (admission/worker_hosts.h). */
#include "admission/worker_hosts.h"
#include "config/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

/** Marks a host that is not counted. */
enum { NO_HOST = 0 };

static bool is_loopback(guint32 host)
{
    return host >> 24 == 127;
}

/** Parses the host of "IPv4:port" to a number in host byte order. Returns NO_HOST if the
 * address is malformed, loopback, or this controller's own host. */
static guint32 parse_host(const struct lmn_worker_hosts *hosts, const char *address)
{
    char host_text[LMN_ADDRESS_SIZE];
    struct in_addr parsed;
    int port;

    if (lmn_address_split(address, host_text, sizeof host_text, &port) != 0 ||
        inet_pton(AF_INET, host_text, &parsed) != 1)
        return NO_HOST;
    guint32 host = ntohl(parsed.s_addr);
    return is_loopback(host) || host == hosts->own_host ? NO_HOST : host;
}

void lmn_worker_hosts_init(struct lmn_worker_hosts *hosts, const char *listen_address)
{
    pthread_mutex_init(&hosts->lock, NULL);
    hosts->machine_counts = g_hash_table_new(NULL, NULL);
    hosts->own_host = NO_HOST;
    hosts->own_host = parse_host(hosts, listen_address);
}

void lmn_worker_hosts_clear(struct lmn_worker_hosts *hosts)
{
    g_hash_table_destroy(hosts->machine_counts);
    pthread_mutex_destroy(&hosts->lock);
}

static void change_count(struct lmn_worker_hosts *hosts, const char *address,
                         int difference)
{
    guint32 host = parse_host(hosts, address);
    gpointer key = GUINT_TO_POINTER(host);

    if (host == NO_HOST)
        return;
    pthread_mutex_lock(&hosts->lock);
    int count =
        GPOINTER_TO_INT(g_hash_table_lookup(hosts->machine_counts, key)) + difference;
    if (count > 0)
        g_hash_table_insert(hosts->machine_counts, key, GINT_TO_POINTER(count));
    else
        g_hash_table_remove(hosts->machine_counts, key);
    pthread_mutex_unlock(&hosts->lock);
}

void lmn_worker_hosts_add(struct lmn_worker_hosts *hosts, const char *address)
{
    change_count(hosts, address, 1);
}

void lmn_worker_hosts_remove(struct lmn_worker_hosts *hosts, const char *address)
{
    change_count(hosts, address, -1);
}

bool lmn_worker_hosts_contain(struct lmn_worker_hosts *hosts, const struct sockaddr *peer)
{
    const struct sockaddr_in *peer_ipv4 = (const struct sockaddr_in *)peer;

    if (!peer || peer->sa_family != AF_INET)
        return false;
    pthread_mutex_lock(&hosts->lock);
    bool is_known = g_hash_table_contains(
        hosts->machine_counts, GUINT_TO_POINTER(ntohl(peer_ipv4->sin_addr.s_addr)));
    pthread_mutex_unlock(&hosts->lock);
    return is_known;
}
