#include "cli/users.h"
#include "util/clock.h"
#include "util/thread.h"
#include "protocol/wire.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

int lmn_users_open(struct lmn_users *users, const char *site, const char *controllers,
                   const char *depot, char *err, size_t len)
{
    static struct lmn_site s;
    char host[LMN_ADDRESS_SIZE];
    int port;

    memset(users, 0, sizeof *users);
    curl_global_init(CURL_GLOBAL_NOTHING);
    if (!controllers) {
        const char *file = site ? site : g_getenv("LEMONSPAR_SITE");
        if (lmn_site_load(file ? file : "deploy/site.toml", &s, err, len) != 0)
            return -1;
        for (unsigned i = 0; i < s.controllers; i++)
            users->controllers[users->n++] = lmn_http_client_new(s.users[i]);
        users->depot = lmn_http_client_new(depot ? depot : s.depot);
        return 0;
    }
    char **a = g_strsplit(controllers, ",", -1);
    for (char **p = a; *p && users->n <= LMN_MAX_MEMBERS; p++) {
        if (lmn_address_split(*p, host, sizeof host, &port) != 0) {
            g_snprintf(err, len, "--controllers: %s: expected IPv4:port", *p);
            g_strfreev(a);
            return -1;
        }
        users->controllers[users->n++] = lmn_http_client_new(*p);
    }
    g_strfreev(a);
    if (depot)
        users->depot = lmn_http_client_new(depot);
    return 0;
}

void lmn_users_close(struct lmn_users *users)
{
    for (unsigned i = 0; i < users->n; i++)
        lmn_http_client_free(users->controllers[i]);
    if (users->depot)
        lmn_http_client_free(users->depot);
}

static void read_state(const GByteArray *in, struct lmn_job_state *s)
{
    struct lmn_cbor_document d;

    memset(s, 0, sizeof *s);
    if (!in->len || lmn_cbor_parse(&d, in->data, in->len) != 0)
        return;
    const struct lmn_cbor_value *root = lmn_cbor_root(&d);
    lmn_cbor_get_text(lmn_cbor_get(&d, root, WIRE_JOB_ID), s->ref, sizeof s->ref);
    if (!lmn_cbor_get_text(lmn_cbor_get(&d, root, WIRE_STATE), s->state, sizeof s->state))
        lmn_cbor_get_text(lmn_cbor_get(&d, root, "error"), s->state, sizeof s->state);
    lmn_cbor_get_uint(lmn_cbor_get(&d, root, WIRE_DONE), &s->done);
    lmn_cbor_get_uint(lmn_cbor_get(&d, root, WIRE_RUNNING), &s->running);
    lmn_cbor_get_number(lmn_cbor_get(&d, root, WIRE_WAITING_S), &s->waiting_s);
    lmn_cbor_free(&d);
}

static bool retried(int status)
{
    return status < 0 || status == 429 || status >= 500;
}

int lmn_users_call(struct lmn_users *users, const char *method, const char *path,
                   const GByteArray *body, double seconds, struct lmn_job_state *s)
{
    struct timespec end = lmn_time_add(lmn_now(), seconds);
    GByteArray *in = g_byte_array_new();
    unsigned failed = 0;
    int status;

    for (;;) {
        struct lmn_http_client *client = users->controllers[users->turn++ % users->n];
        status = lmn_http_client_call(client, method, path, body, 5, in);
        if (!retried(status))
            break;
        /* Nobody is there: the next one may be. All were asked: a pause. */
        double wait = status == LMN_HTTP_NOT_SENT
                          ? 0.05
                          : MAX(1, lmn_http_client_retry_after(client));
        if (++failed % users->n == 0)
            wait = MAX(wait, 0.5 + 0.5 * g_random_double());
        if (lmn_time_before(end, lmn_time_add(lmn_now(), wait)))
            break;
        lmn_sleep(MIN(wait, 30));
    }
    read_state(in, s);
    g_byte_array_unref(in);
    return status;
}

int lmn_users_work(struct lmn_users *users, const char *ref, struct lmn_task_command *w,
                   struct lmn_image_store_error *e)
{
    GByteArray *buffer = g_byte_array_new();
    char digest[LMN_DIGEST_SIZE];
    const char *what;
    int rc =
        lmn_image_store_lookup(users->depot, LMN_IMAGE_STORE_KIND_JOB, ref, digest, e);

    if (rc == 0)
        rc = lmn_image_store_get(users->depot, digest, buffer, e);
    if (rc == 0 && lmn_task_command_decode(w, buffer->data, buffer->len, &what) != 0) {
        g_snprintf(e->what, sizeof e->what, "%s: its description can't be read: %s", ref,
                   what);
        rc = -1;
    }
    g_byte_array_unref(buffer);
    return rc;
}
