#include "image_store/work.h"

#include <string.h>

enum { MAX_TEXTS = 4096 };

static void put_texts(GByteArray *buffer, const char *key, char **v)
{
    guint n = v ? g_strv_length(v) : 0;

    lmn_cbor_put_text(buffer, key), lmn_cbor_put_array(buffer, n);
    for (guint i = 0; i < n; i++)
        lmn_cbor_put_text(buffer, v[i]);
}

GByteArray *lmn_task_command_encode(const struct lmn_task_command *w)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 3);
    put_texts(buffer, "Command", w->argv);
    put_texts(buffer, "Environment", w->env);
    lmn_cbor_put_text(buffer, "Job"), lmn_cbor_put_map(buffer, lmn_job_spec_pair_count());
    lmn_job_spec_write(buffer, &w->spec);
    return buffer;
}

static char **read_texts(const struct lmn_cbor_document *document,
                         const struct lmn_cbor_value *list)
{
    if (!list || list->type != LMN_CBOR_ARRAY || list->len > MAX_TEXTS)
        return NULL;
    char **v = g_new0(char *, list->len + 1);
    guint k = 0;
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, list); node;
         node = lmn_cbor_next(document, node)) {
        if (node->type != LMN_CBOR_TEXT || memchr(node->s, '\0', node->len)) {
            g_strfreev(v);
            return NULL;
        }
        v[k++] = g_strndup(node->s, node->len);
    }
    return v;
}

int lmn_task_command_decode(struct lmn_task_command *w, const void *bytes, size_t len,
                            const char **what)
{
    struct lmn_cbor_document d;

    memset(w, 0, sizeof *w);
    *what = "not CBOR";
    if (lmn_cbor_parse(&d, bytes, len) != 0)
        return -1;
    const struct lmn_cbor_value *root = lmn_cbor_root(&d);
    int rc = -1;
    *what = "Command";
    w->argv = read_texts(&d, lmn_cbor_get(&d, root, "Command"));
    if (w->argv && w->argv[0]) {
        *what = "Environment";
        w->env = read_texts(&d, lmn_cbor_get(&d, root, "Environment"));
        if (w->env)
            rc = lmn_job_spec_parse(&w->spec, &d, lmn_cbor_get(&d, root, "Job"), what);
    }
    if (rc != 0)
        lmn_task_command_clear(w);
    lmn_cbor_free(&d);
    return rc;
}

void lmn_task_command_clear(struct lmn_task_command *w)
{
    lmn_job_spec_clear(&w->spec);
    g_strfreev(w->argv);
    g_strfreev(w->env);
    memset(w, 0, sizeof *w);
}
