/**
 * @file
 * Encoding and decoding of jobs' descriptions (image_store/work.h).
 */
#include "image_store/work.h"

#include <string.h>

enum { MAX_STRINGS = 4096 };

static void encode_strings(GByteArray *buffer, const char *key, char **strings)
{
    guint count = strings ? g_strv_length(strings) : 0;

    lmn_cbor_put_text(buffer, key);
    lmn_cbor_put_array(buffer, count);
    for (guint i = 0; i < count; i++)
        lmn_cbor_put_text(buffer, strings[i]);
}

GByteArray *lmn_task_command_encode(const struct lmn_task_command *command)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 3);
    encode_strings(buffer, "Command", command->argv);
    encode_strings(buffer, "Environment", command->env);
    lmn_cbor_put_text(buffer, "Job");
    lmn_cbor_put_map(buffer, lmn_job_spec_pair_count());
    lmn_job_spec_write(buffer, &command->spec);
    return buffer;
}

/** @return the strings, NULL-terminated; NULL if the value is not an array of at most
 * MAX_STRINGS texts. A text that contains a zero byte is refused, since it would be
 * truncated there. */
static char **decode_strings(const struct lmn_cbor_document *document,
                             const struct lmn_cbor_value *list)
{
    if (!list || list->type != LMN_CBOR_ARRAY || list->len > MAX_STRINGS)
        return NULL;
    g_auto(GStrv) strings = g_new0(char *, list->len + 1);
    guint count = 0;
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, list); node;
         node = lmn_cbor_next(document, node)) {
        if (node->type != LMN_CBOR_TEXT || memchr(node->text, '\0', node->len))
            return NULL;
        strings[count++] = g_strndup(node->text, node->len);
    }
    return g_steal_pointer(&strings);
}

static int decode_fields(struct lmn_task_command *command,
                         const struct lmn_cbor_document *document, const char **what)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document);

    *what = "Command";
    command->argv = decode_strings(document, lmn_cbor_get(document, root, "Command"));
    if (!command->argv || !command->argv[0])
        return -1;
    *what = "Environment";
    command->env = decode_strings(document, lmn_cbor_get(document, root, "Environment"));
    if (!command->env)
        return -1;
    return lmn_job_spec_parse(&command->spec, document,
                              lmn_cbor_get(document, root, "Job"), what);
}

int lmn_task_command_decode(struct lmn_task_command *command, const void *bytes,
                            size_t len, const char **what)
{
    struct lmn_cbor_document document;

    memset(command, 0, sizeof *command);
    *what = "not CBOR";
    if (lmn_cbor_parse(&document, bytes, len) != 0)
        return -1;
    int result = decode_fields(command, &document, what);
    if (result != 0)
        lmn_task_command_clear(command);
    lmn_cbor_free(&document);
    return result;
}

void lmn_task_command_clear(struct lmn_task_command *command)
{
    lmn_job_spec_clear(&command->spec);
    g_strfreev(command->argv);
    g_strfreev(command->env);
    memset(command, 0, sizeof *command);
}
