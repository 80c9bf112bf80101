/* The HTTP client: a request that was sent and got no response is reported to the caller
 * and never repeated by the client, since the server may have executed it. The HTTP
 * server: a request that is too large is answered with an error. */
#include "http/client.h"
#include "http/server.h"
#include "protocol/cbor.h"
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
static gint executed_requests; /* requests that the server has received whole */

/* Reads one request with a body of two bytes. Returns false if the connection ends first.
 */
static bool read_request(int fd)
{
    char request[4096] = "";
    size_t len = 0;

    for (;;) {
        ssize_t received = read(fd, request + len, sizeof request - 1 - len);
        if (received <= 0)
            return false;
        len += (size_t)received;
        request[len] = '\0';
        const char *body = strstr(request, "\r\n\r\n");
        if (body && strlen(body) >= 4 + 2)
            return true;
    }
}

/* Answers the first request on each connection and closes the connection after the second
 * without a response: the second was executed, and its response is lost. */
static void *serve(void *arg)
{
    static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    (void)arg;

    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0)
            return NULL;
        for (int i = 0; i < 2 && read_request(fd); i++) {
            g_atomic_int_inc(&executed_requests);
            if (i == 0 && write(fd, response, strlen(response)) < 0)
                break;
        }
        close(fd);
    }
}

static void request_without_response_is_reported_and_not_repeated(void **state)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof address;
    GByteArray *body = g_byte_array_new(), *out = g_byte_array_new();
    char address_text[32];
    (void)state;

    listener = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(listener, (struct sockaddr *)&address, sizeof address), 0);
    assert_int_equal(listen(listener, 8), 0);
    getsockname(listener, (struct sockaddr *)&address, &len);
    g_snprintf(address_text, sizeof address_text, "127.0.0.1:%d",
               ntohs(address.sin_port));
    lmn_thread_start_detached(serve, NULL);

    struct lmn_http_client *client = lmn_http_client_new(address_text);
    g_byte_array_append(body, (const guint8 *)"{}", 2);
    for (int i = 0; i < 20; i++) {
        g_atomic_int_set(&executed_requests, 0);
        assert_int_equal(
            lmn_http_client_call(client, "POST", WIRE_PATH_TXN, body, 2, out), 200);
        assert_int_equal(
            lmn_http_client_call(client, "POST", WIRE_PATH_TXN, body, 2, out),
            LMN_HTTP_NO_RESPONSE);
        assert_int_equal(g_atomic_int_get(&executed_requests), 2);
    }
    lmn_http_client_free(client);
    g_byte_array_unref(body);
    g_byte_array_unref(out);
}

static gint routed_requests, oversized_requests;

static void answer_ok(void *arg, struct lmn_http_request *request)
{
    (void)arg;
    g_atomic_int_inc(&routed_requests);
    lmn_http_request_respond(request, 200, NULL, 0);
}

static void count_oversized(void *arg, const char *path)
{
    (void)arg;
    assert_string_equal(path, WIRE_PATH_HEARTBEAT);
    g_atomic_int_inc(&oversized_requests);
}

/* Guards against a worker that is refused without a word: nothing said that its heartbeat
 * was too large. */
static void request_above_the_limit_is_answered_with_an_error_and_reported(void **state)
{
    enum { LIMIT = 65536 };
    const struct lmn_http_server_options options = {.listen = "127.0.0.1:0",
                                                    .connections = 4,
                                                    .max_body_bytes = LIMIT,
                                                    .body_too_large = count_oversized,
                                                    .route = answer_ok};
    g_autoptr(GByteArray) body = g_byte_array_new();
    g_autoptr(GByteArray) out = g_byte_array_new();
    char address[32], text[128];
    struct lmn_cbor_document document;
    (void)state;

    struct lmn_http_server *server = lmn_http_server_start(&options);
    assert_non_null(server);
    g_snprintf(address, sizeof address, "127.0.0.1:%d", lmn_http_server_port(server));
    struct lmn_http_client *client = lmn_http_client_new(address);
    g_byte_array_set_size(body, LIMIT);
    memset(body->data, 0, body->len);
    assert_int_equal(
        lmn_http_client_call(client, "POST", WIRE_PATH_HEARTBEAT, body, 5, out), 200);
    assert_int_equal(g_atomic_int_get(&oversized_requests), 0);
    g_byte_array_append(body, (const guint8 *)"", 1);
    assert_int_equal(
        lmn_http_client_call(client, "POST", WIRE_PATH_HEARTBEAT, body, 5, out), 400);
    assert_int_equal(g_atomic_int_get(&routed_requests), 1);
    assert_int_equal(g_atomic_int_get(&oversized_requests), 1);
    assert_int_equal(lmn_cbor_parse(&document, out->data, out->len), 0);
    assert_true(lmn_cbor_get_text(
        lmn_cbor_get(&document, lmn_cbor_root(&document), "error"), text, sizeof text));
    assert_non_null(strstr(text, "65536 bytes"));
    lmn_cbor_free(&document);
    lmn_http_client_free(client);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(request_without_response_is_reported_and_not_repeated),
        cmocka_unit_test(request_above_the_limit_is_answered_with_an_error_and_reported)};

    curl_global_init(CURL_GLOBAL_NOTHING);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
