#include "protocol/cbor.h"

#include <cbor.h>
#include <math.h>
#include <string.h>

struct level {
    uint32_t node, last;
    uint64_t left;
};

struct reader {
    struct lmn_cbor_document *doc;
    struct level stack[LMN_CBOR_MAX_DEPTH];
    int depth;
    bool bad, whole;
    size_t remaining;
};

static struct lmn_cbor_value *add(struct reader *r, enum lmn_cbor_type type)
{
    struct lmn_cbor_document *document = r->doc;
    static struct lmn_cbor_value sink;

    if (r->bad || r->whole) {
        r->bad = true;
        return &sink;
    }
    if (document->n == document->cap) {
        document->cap *= 2;
        document->nodes = g_renew(struct lmn_cbor_value, document->nodes, document->cap);
    }
    uint32_t at = document->n++;
    struct lmn_cbor_value *node = &document->nodes[at];
    memset(node, 0, sizeof *node);
    node->type = (uint8_t)type;
    if (r->depth > 0) {
        struct level *l = &r->stack[r->depth - 1];
        struct lmn_cbor_value *parent = &document->nodes[l->node];
        if (parent->type == LMN_CBOR_MAP && l->left % 2 == 0 && type != LMN_CBOR_TEXT)
            r->bad = true; /* keys are text */
        if (l->last)
            document->nodes[l->last].next = at;
        else
            parent->child = at;
        l->last = at;
        l->left--;
    }
    return node;
}

/* Closes the containers that the item just read has filled. */
static void settle(struct reader *r)
{
    while (r->depth > 0 && r->stack[r->depth - 1].left == 0)
        r->depth--;
    if (r->depth == 0)
        r->whole = true;
}

static void open_level(struct reader *r, enum lmn_cbor_type type, uint64_t items)
{
    struct lmn_cbor_value *node = add(r, type);

    /* Every item takes at least a byte, so a longer claim can't be honest. */
    if (items > r->remaining || (type == LMN_CBOR_MAP && items * 2 > r->remaining)) {
        r->bad = true;
        return;
    }
    if (r->bad)
        return;
    uint64_t children = type == LMN_CBOR_MAP ? items * 2 : items;
    node->len = (uint32_t)children;
    if (children == 0) {
        settle(r);
        return;
    }
    if (r->depth == LMN_CBOR_MAX_DEPTH) {
        r->bad = true;
        return;
    }
    r->stack[r->depth++] = (struct level){.node = r->doc->n - 1, .left = children};
}

static void on_uint(void *c, uint64_t v)
{
    add(c, LMN_CBOR_UINT)->u = v;
    settle(c);
}
static void on_u8(void *c, uint8_t v)
{
    on_uint(c, v);
}
static void on_u16(void *c, uint16_t v)
{
    on_uint(c, v);
}
static void on_u32(void *c, uint32_t v)
{
    on_uint(c, v);
}
static void on_negint(void *c, uint64_t v)
{
    add(c, LMN_CBOR_NEGINT)->u = v;
    settle(c);
}
static void on_n8(void *c, uint8_t v)
{
    on_negint(c, v);
}
static void on_n16(void *c, uint16_t v)
{
    on_negint(c, v);
}
static void on_n32(void *c, uint32_t v)
{
    on_negint(c, v);
}
static void on_f8(void *c, double v)
{
    add(c, LMN_CBOR_FLOAT)->f = v;
    settle(c);
}
static void on_f4(void *c, float v)
{
    on_f8(c, (double)v);
}
static void on_text(void *c, cbor_data s, size_t len)
{
    struct lmn_cbor_value *node = add(c, LMN_CBOR_TEXT);
    node->s = (const char *)s;
    node->len = (uint32_t)len;
    if (!g_utf8_validate((const char *)s, (gssize)len, NULL))
        ((struct reader *)c)->bad = true;
    settle(c);
}
static void on_list(void *c, size_t n)
{
    open_level(c, LMN_CBOR_ARRAY, n);
}
static void on_map(void *c, size_t n)
{
    open_level(c, LMN_CBOR_MAP, n);
}
static void on_bool(void *c, bool v)
{
    add(c, LMN_CBOR_BOOL)->truth = v;
    settle(c);
}
static void on_null(void *c)
{
    add(c, LMN_CBOR_NULL);
    settle(c);
}
static void refuse(void *c)
{
    ((struct reader *)c)->bad = true;
}
static void refuse_bytes(void *c, cbor_data s, size_t n)
{
    (void)s;
    (void)n;
    refuse(c);
}
static void refuse_tag(void *c, uint64_t v)
{
    (void)v;
    refuse(c);
}

static const struct cbor_callbacks callbacks = {
    .uint8 = on_u8,
    .uint16 = on_u16,
    .uint32 = on_u32,
    .uint64 = on_uint,
    .negint8 = on_n8,
    .negint16 = on_n16,
    .negint32 = on_n32,
    .negint64 = on_negint,
    .byte_string_start = refuse,
    .byte_string = refuse_bytes,
    .string = on_text,
    .string_start = refuse,
    .indef_array_start = refuse,
    .array_start = on_list,
    .indef_map_start = refuse,
    .map_start = on_map,
    .tag = refuse_tag,
    .float2 = on_f4,
    .float4 = on_f4,
    .float8 = on_f8,
    .undefined = refuse,
    .null = on_null,
    .boolean = on_bool,
    .indef_break = refuse,
};

int lmn_cbor_parse(struct lmn_cbor_document *document, const void *bytes, size_t len)
{
    struct reader r = {.doc = document};
    const unsigned char *p = bytes;

    document->cap = 32;
    document->n = 1;
    document->nodes = g_new0(struct lmn_cbor_value, document->cap);
    while (!r.whole && !r.bad) {
        r.remaining = len;
        struct cbor_decoder_result res = cbor_stream_decode(p, len, &callbacks, &r);
        if (res.status != CBOR_DECODER_FINISHED || res.read == 0 || res.read > len) {
            r.bad = true;
            break;
        }
        p += res.read;
        len -= res.read;
    }
    if (r.bad || len != 0) {
        lmn_cbor_free(document);
        return -1;
    }
    return 0;
}

void lmn_cbor_free(struct lmn_cbor_document *document)
{
    g_free(document->nodes);
    document->nodes = NULL;
    document->n = 0;
}

const struct lmn_cbor_value *lmn_cbor_root(const struct lmn_cbor_document *document)
{
    return document->n > 1 ? &document->nodes[1] : NULL;
}

const struct lmn_cbor_value *
lmn_cbor_first_child(const struct lmn_cbor_document *document,
                     const struct lmn_cbor_value *parent)
{
    return parent && parent->child ? &document->nodes[parent->child] : NULL;
}

const struct lmn_cbor_value *lmn_cbor_next(const struct lmn_cbor_document *document,
                                           const struct lmn_cbor_value *node)
{
    return node && node->next ? &document->nodes[node->next] : NULL;
}

const struct lmn_cbor_value *lmn_cbor_get(const struct lmn_cbor_document *document,
                                          const struct lmn_cbor_value *map,
                                          const char *key)
{
    if (!map || map->type != LMN_CBOR_MAP)
        return NULL;
    for (const struct lmn_cbor_value *k = lmn_cbor_first_child(document, map); k;) {
        const struct lmn_cbor_value *value = lmn_cbor_next(document, k);
        if (lmn_cbor_text_equals(k, key))
            return value && value->type != LMN_CBOR_NULL ? value : NULL;
        k = lmn_cbor_next(document, value);
    }
    return NULL;
}

bool lmn_cbor_text_equals(const struct lmn_cbor_value *node, const char *text)
{
    return node && node->type == LMN_CBOR_TEXT && node->len == strlen(text) &&
           !memcmp(node->s, text, node->len);
}

bool lmn_cbor_get_text(const struct lmn_cbor_value *node, char *out, size_t len)
{
    if (!node || node->type != LMN_CBOR_TEXT || node->len >= len ||
        memchr(node->s, 0, node->len))
        return false;
    memcpy(out, node->s, node->len);
    out[node->len] = '\0';
    return true;
}

bool lmn_cbor_get_number(const struct lmn_cbor_value *node, double *out)
{
    if (!node)
        return false;
    if (node->type == LMN_CBOR_FLOAT)
        *out = node->f;
    else if (node->type == LMN_CBOR_UINT)
        *out = (double)node->u;
    else if (node->type == LMN_CBOR_NEGINT)
        *out = -1.0 - (double)node->u;
    else
        return false;
    return isfinite(*out);
}

bool lmn_cbor_get_uint(const struct lmn_cbor_value *node, uint64_t *out)
{
    if (!node)
        return false;
    if (node->type == LMN_CBOR_UINT) {
        *out = node->u;
        return true;
    }
    if (node->type == LMN_CBOR_FLOAT && node->f >= 0 && node->f < 9e15 &&
        node->f == floor(node->f)) {
        *out = (uint64_t)node->f;
        return true;
    }
    return false;
}

bool lmn_cbor_get_bool(const struct lmn_cbor_value *node, bool *out)
{
    if (!node || node->type != LMN_CBOR_BOOL)
        return false;
    *out = node->truth;
    return true;
}

static void append(GByteArray *buffer, const unsigned char *p, size_t n)
{
    g_byte_array_append(buffer, p, (guint)n);
}

void lmn_cbor_put_map(GByteArray *buffer, size_t pairs)
{
    unsigned char t[9];
    append(buffer, t, cbor_encode_map_start(pairs, t, sizeof t));
}

void lmn_cbor_put_array(GByteArray *buffer, size_t items)
{
    unsigned char t[9];
    append(buffer, t, cbor_encode_array_start(items, t, sizeof t));
}

static void put_bytes(GByteArray *buffer, const char *s, size_t len)
{
    unsigned char t[9];
    append(buffer, t, cbor_encode_string_start(len, t, sizeof t));
    append(buffer, (const unsigned char *)s, len);
}

void lmn_cbor_put_text(GByteArray *buffer, const char *s)
{
    put_bytes(buffer, s, strlen(s));
}

void lmn_cbor_put_uint(GByteArray *buffer, uint64_t v)
{
    unsigned char t[9];
    append(buffer, t, cbor_encode_uint(v, t, sizeof t));
}

void lmn_cbor_put_number(GByteArray *buffer, double v)
{
    unsigned char t[9];
    append(buffer, t, cbor_encode_double(v, t, sizeof t));
}

void lmn_cbor_put_bool(GByteArray *buffer, bool v)
{
    unsigned char t[1];
    append(buffer, t, cbor_encode_bool(v, t, sizeof t));
}

void lmn_cbor_put_null(GByteArray *buffer)
{
    unsigned char t[1];
    append(buffer, t, cbor_encode_null(t, sizeof t));
}

void lmn_cbor_put_value(GByteArray *buffer, const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *node)
{
    unsigned char t[9];

    switch (node->type) {
    case LMN_CBOR_BOOL:
        lmn_cbor_put_bool(buffer, node->truth);
        return;
    case LMN_CBOR_UINT:
        lmn_cbor_put_uint(buffer, node->u);
        return;
    case LMN_CBOR_NEGINT:
        append(buffer, t, cbor_encode_negint(node->u, t, sizeof t));
        return;
    case LMN_CBOR_FLOAT:
        lmn_cbor_put_number(buffer, node->f);
        return;
    case LMN_CBOR_TEXT:
        put_bytes(buffer, node->s, node->len);
        return;
    case LMN_CBOR_ARRAY:
        lmn_cbor_put_array(buffer, node->len);
        break;
    case LMN_CBOR_MAP:
        lmn_cbor_put_map(buffer, node->len / 2);
        break;
    default:
        lmn_cbor_put_null(buffer);
        return;
    }
    for (const struct lmn_cbor_value *child = lmn_cbor_first_child(document, node); child;
         child = lmn_cbor_next(document, child))
        lmn_cbor_put_value(buffer, document, child);
}

size_t lmn_cbor_json_size(const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *node)
{
    char number[64];
    size_t size = 2;

    switch (node->type) {
    case LMN_CBOR_NULL:
        return 4;
    case LMN_CBOR_BOOL:
        return node->truth ? 4 : 5;
    case LMN_CBOR_UINT:
        return (size_t)g_snprintf(number, sizeof number, "%" G_GUINT64_FORMAT, node->u);
    case LMN_CBOR_NEGINT:
        return 1 + (size_t)g_snprintf(number, sizeof number, "%" G_GUINT64_FORMAT,
                                      node->u + 1);
    case LMN_CBOR_FLOAT:
        return strlen(g_ascii_dtostr(number, sizeof number, node->f)) +
               (node->f == (double)(int64_t)node->f ? 2 : 0);
    case LMN_CBOR_TEXT:
        for (uint32_t i = 0; i < node->len; i++) {
            unsigned char c = (unsigned char)node->s[i];
            size += c == '"' || c == '\\' ? 2 : c < 0x20 ? 6 : 1;
        }
        return size;
    default:
        /* Brackets, a comma after all but the last, a colon after each key. */
        for (const struct lmn_cbor_value *key = lmn_cbor_first_child(document, node); key;
             key = lmn_cbor_next(document, key))
            size += lmn_cbor_json_size(document, key) + 1;
        return node->len ? size - 1 : size;
    }
}
