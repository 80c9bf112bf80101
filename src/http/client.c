/**
 * @file
 * HTTP calls over libcurl's easy interface, with one handle for each client.
 */
#include "http/client.h"
#include "protocol/wire.h"

#include <curl/curl.h>
#include <string.h>

enum {
    MAX_RESPONSE_BYTES = 8 << 20,
    RECEIVE_BUFFER_BYTES = 16 * 1024,
    MS_PER_S = 1000,
    STATUS_OK = 200
};

/** Maximum time to connect, seconds, so that an unreachable address fails long before the
 * timeout of a long call. */
static const double MAX_CONNECT_S = 1.5;

/** Timeout of a readiness probe, seconds. */
static const double READY_TIMEOUT_S = 1;

struct lmn_http_client {
    CURL *curl;
    struct curl_slist *headers;
    char base_url[96];
    const GByteArray *body; /**< of the request being sent; owned by the caller */
    size_t body_sent;       /**< bytes of `body` that libcurl has read */
};

/** Receives a part of the response. Returning fewer bytes than were passed makes libcurl
 * abort the call. */
static size_t on_response(char *bytes, size_t size, size_t count, void *arg)
{
    GByteArray *out = arg;
    size_t len = size * count;

    if (out->len + len > MAX_RESPONSE_BYTES)
        return 0;
    g_byte_array_append(out, (const guint8 *)bytes, (guint)len);
    return len;
}

/**
 * Passes the body to libcurl once.
 *
 * libcurl repeats a request if a reused connection ends without a response. The server
 * may have executed the first request, and a repeated transaction would then be reported
 * as a conflict although it was applied. libcurl can't repeat a request whose body it
 * can't rewind, so no seek function is set.
 */
static size_t on_send(char *out, size_t size, size_t count, void *arg)
{
    struct lmn_http_client *client = arg;
    size_t len = MIN(size * count, client->body->len - client->body_sent);

    memcpy(out, client->body->data + client->body_sent, len);
    client->body_sent += len;
    return len;
}

struct lmn_http_client *lmn_http_client_new(const char *address)
{
    struct lmn_http_client *client = g_new0(struct lmn_http_client, 1);
    CURL *curl = curl_easy_init();

    g_assert(curl);
    client->curl = curl;
    g_snprintf(client->base_url, sizeof client->base_url, "http://%s", address);
    client->headers = curl_slist_append(NULL, "Content-Type: application/cbor");
    /* A header without a value makes libcurl omit that header. */
    client->headers = curl_slist_append(client->headers, "Expect:");
    client->headers = curl_slist_append(client->headers, "Accept:");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL,
                     1L); /* signals are unsafe with several threads */
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, client->headers);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_response);
    curl_easy_setopt(curl, CURLOPT_READFUNCTION, on_send);
    curl_easy_setopt(curl, CURLOPT_READDATA, client);
    curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY,
                     ""); /* no proxy, also if the environment names one */
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(curl, CURLOPT_BUFFERSIZE, (long)RECEIVE_BUFFER_BYTES);
    return client;
}

void lmn_http_client_free(struct lmn_http_client *client)
{
    curl_easy_cleanup(client->curl);
    curl_slist_free_all(client->headers);
    g_free(client);
}

/** Prepares a POST or PUT. An empty body is passed as an empty string, so that libcurl
 * does not call on_send(), which needs a byte array. */
static void set_request_with_body(struct lmn_http_client *client, const char *method,
                                  const GByteArray *body)
{
    bool is_put = !strcmp(method, "PUT");

    curl_easy_setopt(client->curl, CURLOPT_CUSTOMREQUEST, is_put ? method : NULL);
    curl_easy_setopt(client->curl, CURLOPT_POST, 1L);
    client->body = body;
    client->body_sent = 0;
    curl_easy_setopt(client->curl, CURLOPT_POSTFIELDS, body && body->len ? NULL : "");
    curl_easy_setopt(client->curl, CURLOPT_POSTFIELDSIZE, body ? (long)body->len : 0L);
}

static void set_request_without_body(struct lmn_http_client *client, const char *method)
{
    bool is_get = !strcmp(method, "GET");

    curl_easy_setopt(client->curl, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(client->curl, CURLOPT_CUSTOMREQUEST, is_get ? NULL : method);
}

int lmn_http_client_call(struct lmn_http_client *client, const char *method,
                         const char *path, const GByteArray *body, double timeout_s,
                         GByteArray *out)
{
    char url[512];
    long status = 0;

    g_byte_array_set_size(out, 0);
    g_snprintf(url, sizeof url, "%s%s", client->base_url, path);
    curl_easy_setopt(client->curl, CURLOPT_URL, url);
    curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, out);
    curl_easy_setopt(client->curl, CURLOPT_TIMEOUT_MS, (long)(timeout_s * MS_PER_S));
    curl_easy_setopt(client->curl, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)(MIN(timeout_s, MAX_CONNECT_S) * MS_PER_S));
    if (!strcmp(method, "POST") || !strcmp(method, "PUT"))
        set_request_with_body(client, method, body);
    else
        set_request_without_body(client, method);
    CURLcode result = curl_easy_perform(client->curl);
    if (result == CURLE_OK) {
        curl_easy_getinfo(client->curl, CURLINFO_RESPONSE_CODE, &status);
        return (int)status;
    }
    return result == CURLE_COULDNT_CONNECT ? LMN_HTTP_NOT_SENT : LMN_HTTP_NO_RESPONSE;
}

double lmn_http_client_retry_after(struct lmn_http_client *client)
{
    curl_off_t seconds = 0;

    curl_easy_getinfo(client->curl, CURLINFO_RETRY_AFTER, &seconds);
    return (double)seconds;
}

bool lmn_http_is_ready(const char *address)
{
    struct lmn_http_client *client = lmn_http_client_new(address);
    g_autoptr(GByteArray) out = g_byte_array_new();
    int status =
        lmn_http_client_call(client, "GET", WIRE_PATH_READY, NULL, READY_TIMEOUT_S, out);

    lmn_http_client_free(client);
    return status == STATUS_OK;
}
