/* The HTTP client: a request that was sent and brought no answer is never sent again
 * behind its caller's back, since it may have been executed. */
#include "http/client.h"
#include "util/thread.h"
#include "protocol/wire.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static int listener;
static gint executed; /* requests that arrived whole */

/* Reads one request with a body of two bytes; false at the connection's end. */
static bool read_request(int fd)
{
    char in[4096] = "";
    size_t len = 0;

    for (;;) {
        ssize_t n = read(fd, in + len, sizeof in - 1 - len);
        if (n <= 0)
            return false;
        len += (size_t)n;
        in[len] = '\0';
        const char *body = strstr(in, "\r\n\r\n");
        if (body && strlen(body) >= 4 + 2)
            return true;
    }
}

/* Answers the first request on each connection, and ends the connection with the second:
 * executed, and the answer lost. */
static void *serve(void *arg)
{
    static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    (void)arg;

    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0)
            return NULL;
        for (int i = 0; i < 2 && read_request(fd); i++) {
            g_atomic_int_inc(&executed);
            if (i == 0 && write(fd, answer, strlen(answer)) < 0)
                break;
        }
        close(fd);
    }
}

static void a_lost_answer_is_told(void **state)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof a;
    GByteArray *body = g_byte_array_new(), *out = g_byte_array_new();
    char addr[32];
    (void)state;

    listener = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(listener, (struct sockaddr *)&a, sizeof a), 0);
    assert_int_equal(listen(listener, 8), 0);
    getsockname(listener, (struct sockaddr *)&a, &len);
    g_snprintf(addr, sizeof addr, "127.0.0.1:%d", ntohs(a.sin_port));
    lmn_thread_start_detached(serve, NULL);

    struct lmn_http_client *client = lmn_http_client_new(addr);
    g_byte_array_append(body, (const guint8 *)"{}", 2);
    for (int i = 0; i < 20; i++) {
        g_atomic_int_set(&executed, 0);
        assert_int_equal(
            lmn_http_client_call(client, "POST", WIRE_PATH_TXN, body, 2, out), 200);
        assert_int_equal(
            lmn_http_client_call(client, "POST", WIRE_PATH_TXN, body, 2, out),
            LMN_HTTP_NO_RESPONSE);
        assert_int_equal(g_atomic_int_get(&executed), 2);
    }
    lmn_http_client_free(client);
    g_byte_array_unref(body);
    g_byte_array_unref(out);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(a_lost_answer_is_told)};

    curl_global_init(CURL_GLOBAL_NOTHING);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
