#include "controller/rpc_client.h"
#include "config/settings.h"
#include "controller_rpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

CLIENT *lmn_rpc_connect(const char *addr)
{
    /* A member behind a cut says nothing: a connection is not waited for longer than
     * this. */
    return lmn_rpc_connect_within(addr, 0.6);
}

CLIENT *lmn_rpc_connect_within(const char *addr, double seconds)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    struct netbuf nb = {sizeof a, sizeof a, &a};
    char host[LMN_ADDRESS_SIZE];
    int port, fd, error = 0;
    socklen_t len = sizeof error;

    if (lmn_address_split(addr, host, sizeof host, &port) != 0)
        return NULL;
    a.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &a.sin_addr);
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (fd < 0)
        return NULL;
    if (connect(fd, (struct sockaddr *)&a, sizeof a) != 0) {
        struct pollfd w = {fd, POLLOUT, 0};
        if (errno != EINPROGRESS || poll(&w, 1, (int)(1000 * seconds)) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 || error) {
            close(fd);
            return NULL;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    CLIENT *client = clnt_vc_create(fd, &nb, LMN_RPC_PROGRAM, LMN_RPC_VERSION_1, 0, 0);
    if (!client) {
        close(fd);
        return NULL;
    }
    clnt_control(client, CLSET_FD_CLOSE, NULL);
    return client;
}
