/* The keeper's messages, as the agent writes and reads them. */
#include "worker/executor.h"

#include <string.h>

static GByteArray *message(const char *command, size_t pairs)
{
    GByteArray *buffer = g_byte_array_new();
    lmn_cbor_put_map(buffer, 1 + pairs);
    lmn_cbor_put_text(buffer, "op"), lmn_cbor_put_text(buffer, command);
    return buffer;
}

static void put_texts(GByteArray *buffer, const char *key, char *const v[])
{
    size_t n = 0;

    while (v[n])
        n++;
    lmn_cbor_put_text(buffer, key), lmn_cbor_put_array(buffer, n);
    for (size_t i = 0; i < n; i++)
        lmn_cbor_put_text(buffer, v[i]);
}

GByteArray *lmn_executor_encode_start(uint64_t id, char *const argv[], char *const env[],
                                      const char *cwd, uint64_t log_bytes)
{
    GByteArray *buffer = message("start", 5);

    lmn_cbor_put_text(buffer, "id"), lmn_cbor_put_uint(buffer, id);
    put_texts(buffer, "argv", argv);
    put_texts(buffer, "env", env);
    lmn_cbor_put_text(buffer, "cwd"), lmn_cbor_put_text(buffer, cwd);
    lmn_cbor_put_text(buffer, "log"), lmn_cbor_put_uint(buffer, log_bytes);
    return buffer;
}

GByteArray *lmn_executor_encode_save(uint64_t id, double grace_s)
{
    GByteArray *buffer = message("save", 2);

    lmn_cbor_put_text(buffer, "id"), lmn_cbor_put_uint(buffer, id);
    lmn_cbor_put_text(buffer, "grace"), lmn_cbor_put_number(buffer, grace_s);
    return buffer;
}

GByteArray *lmn_executor_encode_kill(uint64_t id)
{
    GByteArray *buffer = message("kill", 1);

    lmn_cbor_put_text(buffer, "id"), lmn_cbor_put_uint(buffer, id);
    return buffer;
}

GByteArray *lmn_executor_encode_kill_all(void)
{
    return message("kill_all", 0);
}

GByteArray *lmn_executor_encode_lease(struct timespec at)
{
    GByteArray *buffer = message("until", 2);

    lmn_cbor_put_text(buffer, "s"), lmn_cbor_put_uint(buffer, (uint64_t)at.tv_sec);
    lmn_cbor_put_text(buffer, "ns"), lmn_cbor_put_uint(buffer, (uint64_t)at.tv_nsec);
    return buffer;
}

int lmn_executor_event_decode(const void *bytes, size_t len,
                              struct lmn_executor_event_message *m)
{
    struct lmn_cbor_document d;
    uint64_t event = 0, status = 0;

    memset(m, 0, sizeof *m);
    if (lmn_cbor_parse(&d, bytes, len) != 0)
        return -1;
    const struct lmn_cbor_value *root = lmn_cbor_root(&d);
    bool ok = lmn_cbor_get_uint(lmn_cbor_get(&d, root, "event"), &event) &&
              event <= LMN_EXECUTOR_LEASE_EXPIRED;
    lmn_cbor_get_uint(lmn_cbor_get(&d, root, "id"), &m->id);
    lmn_cbor_get_uint(lmn_cbor_get(&d, root, "status"), &status);
    lmn_cbor_get_text(lmn_cbor_get(&d, root, "what"), m->what, sizeof m->what);
    m->event = (enum lmn_executor_event)event;
    m->status = (int)status;
    lmn_cbor_free(&d);
    return ok ? 0 : -1;
}
