/** @file
 * Connections to controllers. Keeps no state; each connection belongs to the thread that
 * made it. */
#include "controller/rpc_client.h"
#include "controller_rpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

enum { MS_PER_S = 1000 };

/** A member behind a network partition does not refuse the connection, so that only a
 * timeout ends the attempt. */
static const double CONNECT_TIMEOUT_S = 0.6;

CLIENT *lmn_rpc_connect(const char *address)
{
    return lmn_rpc_connect_within(address, CONNECT_TIMEOUT_S);
}

/** Waits until a non-blocking connect has succeeded.
 * @return false if it failed or timed out */
static bool wait_until_connected(int fd, double timeout_s)
{
    struct pollfd poll_fd = {fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;

    return poll(&poll_fd, 1, (int)(MS_PER_S * timeout_s)) == 1 &&
           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && !error;
}

/** @return a connected, blocking socket; -1 if the connection failed or timed out */
static int connect_socket(const struct sockaddr_in *address, double timeout_s)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    if (fd < 0)
        return -1;
    if (connect(fd, (const struct sockaddr *)address, sizeof *address) != 0 &&
        (errno != EINPROGRESS || !wait_until_connected(fd, timeout_s))) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

CLIENT *lmn_rpc_connect_within(const char *address, double timeout_s)
{
    struct sockaddr_in socket_address = {.sin_family = AF_INET};
    struct netbuf buffer = {sizeof socket_address, sizeof socket_address,
                            &socket_address};
    char host[LMN_ADDRESS_SIZE];
    int port;

    if (lmn_address_split(address, host, sizeof host, &port) != 0)
        return NULL;
    socket_address.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &socket_address.sin_addr);
    int fd = connect_socket(&socket_address, timeout_s);
    if (fd < 0)
        return NULL;
    CLIENT *client =
        clnt_vc_create(fd, &buffer, LMN_RPC_PROGRAM, LMN_RPC_VERSION_1, 0, 0);
    if (!client) {
        close(fd);
        return NULL;
    }
    clnt_control(client, CLSET_FD_CLOSE, NULL);
    return client;
}

CLIENT *lmn_rpc_connect_to_member(const struct lmn_settings *settings, const char *name,
                                  double timeout_s)
{
    for (size_t i = 0; i < settings->member_count; i++)
        if (!strcmp(settings->members[i].name, name))
            return lmn_rpc_connect_within(settings->members[i].address, timeout_s);
    return NULL;
}
