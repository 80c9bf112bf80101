/** @file
 * The messages between agent and executor, in CBOR (worker/executor_message.h). */
#include "worker/executor_message.h"

#include <string.h>

/* Begins a command with the given number of fields after "op". */
static GByteArray *begin_command(const char *command, size_t fields)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 1 + fields);
    lmn_cbor_put_text(buffer, "op");
    lmn_cbor_put_text(buffer, command);
    return buffer;
}

static void put_text_field(GByteArray *buffer, const char *name, const char *value)
{
    lmn_cbor_put_text(buffer, name);
    lmn_cbor_put_text(buffer, value);
}

static void put_uint_field(GByteArray *buffer, const char *name, uint64_t value)
{
    lmn_cbor_put_text(buffer, name);
    lmn_cbor_put_uint(buffer, value);
}

static void put_texts_field(GByteArray *buffer, const char *name, char *const texts[])
{
    size_t count = 0;

    while (texts[count])
        count++;
    lmn_cbor_put_text(buffer, name);
    lmn_cbor_put_array(buffer, count);
    for (size_t i = 0; i < count; i++)
        lmn_cbor_put_text(buffer, texts[i]);
}

GByteArray *lmn_executor_encode_start(uint64_t id, char *const argv[], char *const env[],
                                      const char *cwd, uint64_t log_bytes)
{
    GByteArray *buffer = begin_command("start", 5);

    put_uint_field(buffer, "id", id);
    put_texts_field(buffer, "argv", argv);
    put_texts_field(buffer, "env", env);
    put_text_field(buffer, "cwd", cwd);
    put_uint_field(buffer, "log", log_bytes);
    return buffer;
}

GByteArray *lmn_executor_encode_save(uint64_t id, double grace_s)
{
    GByteArray *buffer = begin_command("save", 2);

    put_uint_field(buffer, "id", id);
    lmn_cbor_put_text(buffer, "grace");
    lmn_cbor_put_number(buffer, grace_s);
    return buffer;
}

GByteArray *lmn_executor_encode_kill(uint64_t id)
{
    GByteArray *buffer = begin_command("kill", 1);

    put_uint_field(buffer, "id", id);
    return buffer;
}

GByteArray *lmn_executor_encode_kill_all(void)
{
    return begin_command("kill_all", 0);
}

GByteArray *lmn_executor_encode_lease(struct timespec until)
{
    GByteArray *buffer = begin_command("until", 2);

    put_uint_field(buffer, "s", (uint64_t)until.tv_sec);
    put_uint_field(buffer, "ns", (uint64_t)until.tv_nsec);
    return buffer;
}

GByteArray *lmn_executor_event_encode(enum lmn_executor_event event, uint64_t id,
                                      int status, const char *reason)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 4);
    put_uint_field(buffer, "event", event);
    put_uint_field(buffer, "id", id);
    put_uint_field(buffer, "status", (uint64_t)status);
    put_text_field(buffer, "what", reason);
    return buffer;
}

int lmn_executor_event_decode(const void *bytes, size_t len,
                              struct lmn_executor_event_message *message)
{
    struct lmn_cbor_document document;
    uint64_t event = 0, status = 0;

    memset(message, 0, sizeof *message);
    if (lmn_cbor_parse(&document, bytes, len) != 0)
        return -1;
    const struct lmn_cbor_value *root = lmn_cbor_root(&document);
    bool is_valid = lmn_cbor_get_uint(lmn_cbor_get(&document, root, "event"), &event) &&
                    event <= LMN_EXECUTOR_LEASE_EXPIRED;
    lmn_cbor_get_uint(lmn_cbor_get(&document, root, "id"), &message->id);
    lmn_cbor_get_uint(lmn_cbor_get(&document, root, "status"), &status);
    lmn_cbor_get_text(lmn_cbor_get(&document, root, "what"), message->reason,
                      sizeof message->reason);
    message->event = (enum lmn_executor_event)event;
    message->status = (int)status;
    lmn_cbor_free(&document);
    return is_valid ? 0 : -1;
}
