#include "http/client.h"
#include "protocol/wire.h"

#include <curl/curl.h>
#include <string.h>

struct lmn_http_client {
    CURL *curl;
    struct curl_slist *headers;
    char base[96];
    const GByteArray *body; /* of the request under way */
    size_t sent;            /* so much of it */
};

enum { MAX_ANSWER = 8 << 20 };

static size_t on_body(char *p, size_t size, size_t n, void *arg)
{
    GByteArray *out = arg;
    if (out->len + size * n > MAX_ANSWER)
        return 0;
    g_byte_array_append(out, (const guint8 *)p, (guint)(size * n));
    return size * n;
}

/* Hands out the body once. libcurl sends a request again by itself when a kept connection
 * ends without an answer; the first may have been executed all the same, and a repeated
 * transaction would then be told as a conflict, as if nothing had been applied. It can't
 * do so with a body that it can't rewind: no seek function is set. */
static size_t next_part(char *to, size_t size, size_t n, void *arg)
{
    struct lmn_http_client *client = arg;
    size_t part = MIN(size * n, client->body->len - client->sent);

    memcpy(to, client->body->data + client->sent, part);
    client->sent += part;
    return part;
}

struct lmn_http_client *lmn_http_client_new(const char *addr)
{
    struct lmn_http_client *client = g_new0(struct lmn_http_client, 1);

    g_snprintf(client->base, sizeof client->base, "http://%s", addr);
    client->curl = curl_easy_init();
    g_assert(client->curl);
    client->headers = curl_slist_append(NULL, "Content-Type: application/cbor");
    client->headers = curl_slist_append(client->headers, "Expect:");
    client->headers = curl_slist_append(client->headers, "Accept:");
    curl_easy_setopt(client->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(client->curl, CURLOPT_HTTPHEADER, client->headers);
    curl_easy_setopt(client->curl, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(client->curl, CURLOPT_READFUNCTION, next_part);
    curl_easy_setopt(client->curl, CURLOPT_READDATA, client);
    curl_easy_setopt(client->curl, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(client->curl, CURLOPT_PROXY, "");
    curl_easy_setopt(client->curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(client->curl, CURLOPT_BUFFERSIZE, 16384L);
    return client;
}

void lmn_http_client_free(struct lmn_http_client *client)
{
    curl_easy_cleanup(client->curl);
    curl_slist_free_all(client->headers);
    g_free(client);
}

int lmn_http_client_call(struct lmn_http_client *client, const char *method,
                         const char *path, const GByteArray *body, double timeout_s,
                         GByteArray *out)
{
    char url[512];
    long status = 0;
    CURLcode rc;

    g_byte_array_set_size(out, 0);
    g_snprintf(url, sizeof url, "%s%s", client->base, path);
    curl_easy_setopt(client->curl, CURLOPT_URL, url);
    curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, out);
    curl_easy_setopt(client->curl, CURLOPT_TIMEOUT_MS, (long)(timeout_s * 1000));
    curl_easy_setopt(client->curl, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)(MIN(timeout_s, 1.5) * 1000));
    if (!strcmp(method, "POST") || !strcmp(method, "PUT")) {
        curl_easy_setopt(client->curl, CURLOPT_CUSTOMREQUEST,
                         !strcmp(method, "PUT") ? method : NULL);
        curl_easy_setopt(client->curl, CURLOPT_POST, 1L);
        client->body = body;
        client->sent = 0;
        curl_easy_setopt(client->curl, CURLOPT_POSTFIELDS, body && body->len ? NULL : "");
        curl_easy_setopt(client->curl, CURLOPT_POSTFIELDSIZE,
                         body ? (long)body->len : 0L);
    } else {
        curl_easy_setopt(client->curl, CURLOPT_HTTPGET, 1L);
        curl_easy_setopt(client->curl, CURLOPT_CUSTOMREQUEST,
                         !strcmp(method, "GET") ? NULL : method);
    }
    rc = curl_easy_perform(client->curl);
    if (rc == CURLE_OK) {
        curl_easy_getinfo(client->curl, CURLINFO_RESPONSE_CODE, &status);
        return (int)status;
    }
    if (rc == CURLE_COULDNT_CONNECT)
        return LMN_HTTP_NOT_SENT;
    return LMN_HTTP_NO_RESPONSE;
}

double lmn_http_client_retry_after(struct lmn_http_client *client)
{
    curl_off_t s = 0;

    curl_easy_getinfo(client->curl, CURLINFO_RETRY_AFTER, &s);
    return (double)s;
}

bool lmn_http_is_ready(const char *addr)
{
    struct lmn_http_client *client = lmn_http_client_new(addr);
    GByteArray *in = g_byte_array_new();
    int status = lmn_http_client_call(client, "GET", WIRE_PATH_READY, NULL, 1, in);

    g_byte_array_unref(in);
    lmn_http_client_free(client);
    return status == 200;
}
