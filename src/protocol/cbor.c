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
    struct lmn_cbor_document *d = r->doc;
    static struct lmn_cbor_value sink;

    if (r->bad || r->whole) {
        r->bad = true;
        return &sink;
    }
    if (d->n == d->cap) {
        d->cap *= 2;
        d->nodes = g_renew(struct lmn_cbor_value, d->nodes, d->cap);
    }
    uint32_t at = d->n++;
    struct lmn_cbor_value *n = &d->nodes[at];
    memset(n, 0, sizeof *n);
    n->type = (uint8_t)type;
    if (r->depth > 0) {
        struct level *l = &r->stack[r->depth - 1];
        struct lmn_cbor_value *parent = &d->nodes[l->node];
        if (parent->type == LMN_CBOR_MAP && l->left % 2 == 0 && type != LMN_CBOR_TEXT)
            r->bad = true; /* keys are text */
        if (l->last)
            d->nodes[l->last].next = at;
        else
            parent->child = at;
        l->last = at;
        l->left--;
    }
    return n;
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
    struct lmn_cbor_value *n = add(r, type);

    /* Every item takes at least a byte, so a longer claim can't be honest. */
    if (items > r->remaining || (type == LMN_CBOR_MAP && items * 2 > r->remaining)) {
        r->bad = true;
        return;
    }
    if (r->bad)
        return;
    uint64_t children = type == LMN_CBOR_MAP ? items * 2 : items;
    n->len = (uint32_t)children;
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
    struct lmn_cbor_value *n = add(c, LMN_CBOR_TEXT);
    n->s = (const char *)s;
    n->len = (uint32_t)len;
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

int lmn_cbor_parse(struct lmn_cbor_document *doc, const void *bytes, size_t len)
{
    struct reader r = {.doc = doc};
    const unsigned char *p = bytes;

    doc->cap = 32;
    doc->n = 1;
    doc->nodes = g_new0(struct lmn_cbor_value, doc->cap);
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
        lmn_cbor_free(doc);
        return -1;
    }
    return 0;
}

void lmn_cbor_free(struct lmn_cbor_document *doc)
{
    g_free(doc->nodes);
    doc->nodes = NULL;
    doc->n = 0;
}

const struct lmn_cbor_value *lmn_cbor_root(const struct lmn_cbor_document *doc)
{
    return doc->n > 1 ? &doc->nodes[1] : NULL;
}

const struct lmn_cbor_value *lmn_cbor_first_child(const struct lmn_cbor_document *doc,
                                                  const struct lmn_cbor_value *of)
{
    return of && of->child ? &doc->nodes[of->child] : NULL;
}

const struct lmn_cbor_value *lmn_cbor_next(const struct lmn_cbor_document *doc,
                                           const struct lmn_cbor_value *n)
{
    return n && n->next ? &doc->nodes[n->next] : NULL;
}

const struct lmn_cbor_value *lmn_cbor_get(const struct lmn_cbor_document *doc,
                                          const struct lmn_cbor_value *map,
                                          const char *key)
{
    if (!map || map->type != LMN_CBOR_MAP)
        return NULL;
    for (const struct lmn_cbor_value *k = lmn_cbor_first_child(doc, map); k;) {
        const struct lmn_cbor_value *v = lmn_cbor_next(doc, k);
        if (lmn_cbor_text_equals(k, key))
            return v && v->type != LMN_CBOR_NULL ? v : NULL;
        k = lmn_cbor_next(doc, v);
    }
    return NULL;
}

bool lmn_cbor_text_equals(const struct lmn_cbor_value *n, const char *text)
{
    return n && n->type == LMN_CBOR_TEXT && n->len == strlen(text) &&
           !memcmp(n->s, text, n->len);
}

bool lmn_cbor_get_text(const struct lmn_cbor_value *n, char *out, size_t len)
{
    if (!n || n->type != LMN_CBOR_TEXT || n->len >= len || memchr(n->s, 0, n->len))
        return false;
    memcpy(out, n->s, n->len);
    out[n->len] = '\0';
    return true;
}

bool lmn_cbor_get_number(const struct lmn_cbor_value *n, double *out)
{
    if (!n)
        return false;
    if (n->type == LMN_CBOR_FLOAT)
        *out = n->f;
    else if (n->type == LMN_CBOR_UINT)
        *out = (double)n->u;
    else if (n->type == LMN_CBOR_NEGINT)
        *out = -1.0 - (double)n->u;
    else
        return false;
    return isfinite(*out);
}

bool lmn_cbor_get_uint(const struct lmn_cbor_value *n, uint64_t *out)
{
    if (!n)
        return false;
    if (n->type == LMN_CBOR_UINT) {
        *out = n->u;
        return true;
    }
    if (n->type == LMN_CBOR_FLOAT && n->f >= 0 && n->f < 9e15 && n->f == floor(n->f)) {
        *out = (uint64_t)n->f;
        return true;
    }
    return false;
}

bool lmn_cbor_get_bool(const struct lmn_cbor_value *n, bool *out)
{
    if (!n || n->type != LMN_CBOR_BOOL)
        return false;
    *out = n->truth;
    return true;
}

static void append(GByteArray *b, const unsigned char *p, size_t n)
{
    g_byte_array_append(b, p, (guint)n);
}

void lmn_cbor_put_map(GByteArray *b, size_t pairs)
{
    unsigned char t[9];
    append(b, t, cbor_encode_map_start(pairs, t, sizeof t));
}

void lmn_cbor_put_array(GByteArray *b, size_t items)
{
    unsigned char t[9];
    append(b, t, cbor_encode_array_start(items, t, sizeof t));
}

static void put_bytes(GByteArray *b, const char *s, size_t len)
{
    unsigned char t[9];
    append(b, t, cbor_encode_string_start(len, t, sizeof t));
    append(b, (const unsigned char *)s, len);
}

void lmn_cbor_put_text(GByteArray *b, const char *s)
{
    put_bytes(b, s, strlen(s));
}

void lmn_cbor_put_uint(GByteArray *b, uint64_t v)
{
    unsigned char t[9];
    append(b, t, cbor_encode_uint(v, t, sizeof t));
}

void lmn_cbor_put_number(GByteArray *b, double v)
{
    unsigned char t[9];
    append(b, t, cbor_encode_double(v, t, sizeof t));
}

void lmn_cbor_put_bool(GByteArray *b, bool v)
{
    unsigned char t[1];
    append(b, t, cbor_encode_bool(v, t, sizeof t));
}

void lmn_cbor_put_null(GByteArray *b)
{
    unsigned char t[1];
    append(b, t, cbor_encode_null(t, sizeof t));
}

void lmn_cbor_put_value(GByteArray *b, const struct lmn_cbor_document *doc,
                        const struct lmn_cbor_value *n)
{
    unsigned char t[9];

    switch (n->type) {
    case LMN_CBOR_BOOL:
        lmn_cbor_put_bool(b, n->truth);
        return;
    case LMN_CBOR_UINT:
        lmn_cbor_put_uint(b, n->u);
        return;
    case LMN_CBOR_NEGINT:
        append(b, t, cbor_encode_negint(n->u, t, sizeof t));
        return;
    case LMN_CBOR_FLOAT:
        lmn_cbor_put_number(b, n->f);
        return;
    case LMN_CBOR_TEXT:
        put_bytes(b, n->s, n->len);
        return;
    case LMN_CBOR_ARRAY:
        lmn_cbor_put_array(b, n->len);
        break;
    case LMN_CBOR_MAP:
        lmn_cbor_put_map(b, n->len / 2);
        break;
    default:
        lmn_cbor_put_null(b);
        return;
    }
    for (const struct lmn_cbor_value *c = lmn_cbor_first_child(doc, n); c;
         c = lmn_cbor_next(doc, c))
        lmn_cbor_put_value(b, doc, c);
}

size_t lmn_cbor_json_size(const struct lmn_cbor_document *doc,
                          const struct lmn_cbor_value *n)
{
    char number[64];
    size_t size = 2;

    switch (n->type) {
    case LMN_CBOR_NULL:
        return 4;
    case LMN_CBOR_BOOL:
        return n->truth ? 4 : 5;
    case LMN_CBOR_UINT:
        return (size_t)g_snprintf(number, sizeof number, "%" G_GUINT64_FORMAT, n->u);
    case LMN_CBOR_NEGINT:
        return 1 +
               (size_t)g_snprintf(number, sizeof number, "%" G_GUINT64_FORMAT, n->u + 1);
    case LMN_CBOR_FLOAT:
        return strlen(g_ascii_dtostr(number, sizeof number, n->f)) +
               (n->f == (double)(int64_t)n->f ? 2 : 0);
    case LMN_CBOR_TEXT:
        for (uint32_t i = 0; i < n->len; i++) {
            unsigned char c = (unsigned char)n->s[i];
            size += c == '"' || c == '\\' ? 2 : c < 0x20 ? 6 : 1;
        }
        return size;
    default:
        /* Brackets, a comma after all but the last, a colon after each key. */
        for (const struct lmn_cbor_value *k = lmn_cbor_first_child(doc, n); k;
             k = lmn_cbor_next(doc, k))
            size += lmn_cbor_json_size(doc, k) + 1;
        return n->len ? size - 1 : size;
    }
}
