/**
 * @file
 * Parsing of a CBOR message into a document: the callbacks of libcbor's streaming
 * decoder, and a stack of the containers that are still open. The stack is bounded, so
 * the parser neither recurses nor allocates for depth. State lives in the parser on the
 * caller's stack; any thread may parse.
 */
#include "protocol/cbor.h"

#include <cbor.h>
#include <string.h>

/** Nodes allocated for a new document: enough for a usual message. */
enum { INITIAL_CAPACITY = 32 };

/** A container whose items are still being read. */
struct open_container {
    uint32_t node;       /**< index of the container */
    uint32_t last_child; /**< index of the child read last, 0 if none was */
    uint64_t missing;    /**< children not read yet */
};

struct parser {
    struct lmn_cbor_document *document;
    struct open_container stack[LMN_CBOR_MAX_DEPTH];
    int depth;
    bool is_invalid;  /**< the message is refused */
    bool is_complete; /**< the outermost item has been read whole */
    size_t remaining; /**< bytes from the start of the item being decoded */
    struct lmn_cbor_value discarded; /**< written to after the message was refused */
};

/** Links a new node into the innermost open container. */
static void append_child(struct parser *parser, uint32_t index, enum lmn_cbor_type type)
{
    struct lmn_cbor_value *nodes = parser->document->nodes;
    struct open_container *container = &parser->stack[parser->depth - 1];
    struct lmn_cbor_value *parent = &nodes[container->node];

    /* The number of missing children of a map is even if the next child is a key, and
     * keys must be text. */
    if (parent->type == LMN_CBOR_MAP && container->missing % 2 == 0 &&
        type != LMN_CBOR_TEXT)
        parser->is_invalid = true;
    if (container->last_child)
        nodes[container->last_child].next = index;
    else
        parent->child = index;
    container->last_child = index;
    container->missing--;
}

/** @return the new node, valid until another node is added; `discarded` if the message is
 * refused; never NULL. */
static struct lmn_cbor_value *add_node(struct parser *parser, enum lmn_cbor_type type)
{
    struct lmn_cbor_document *document = parser->document;

    if (parser->is_invalid || parser->is_complete) {
        parser->is_invalid = true;
        return &parser->discarded;
    }
    if (document->count == document->capacity) {
        document->capacity *= 2;
        document->nodes =
            g_renew(struct lmn_cbor_value, document->nodes, document->capacity);
    }
    uint32_t index = document->count++;
    struct lmn_cbor_value *node = &document->nodes[index];
    memset(node, 0, sizeof *node);
    node->type = (uint8_t)type;
    if (parser->depth > 0)
        append_child(parser, index, type);
    return node;
}

/** Closes the innermost containers whose children have all been read, now that another
 * item is complete. */
static void close_filled_containers(struct parser *parser)
{
    while (parser->depth > 0 && parser->stack[parser->depth - 1].missing == 0)
        parser->depth--;
    if (parser->depth == 0)
        parser->is_complete = true;
}

static void open_container(struct parser *parser, enum lmn_cbor_type type, uint64_t items)
{
    struct lmn_cbor_value *node = add_node(parser, type);

    /* Every item takes at least one byte, so a message that announces more items than it
     * has bytes is invalid. The first comparison also keeps `items * 2` from
     * overflowing. */
    if (items > parser->remaining ||
        (type == LMN_CBOR_MAP && items * 2 > parser->remaining)) {
        parser->is_invalid = true;
        return;
    }
    if (parser->is_invalid)
        return;
    uint64_t children = type == LMN_CBOR_MAP ? items * 2 : items;
    node->len = (uint32_t)children;
    if (children == 0) {
        close_filled_containers(parser);
        return;
    }
    if (parser->depth == LMN_CBOR_MAX_DEPTH) {
        parser->is_invalid = true;
        return;
    }
    parser->stack[parser->depth++] =
        (struct open_container){.node = parser->document->count - 1, .missing = children};
}

/* The decoder's callbacks: `context` is the parser. */

static void on_uint64(void *context, uint64_t value)
{
    add_node(context, LMN_CBOR_UINT)->integer = value;
    close_filled_containers(context);
}

static void on_uint8(void *context, uint8_t value)
{
    on_uint64(context, value);
}

static void on_uint16(void *context, uint16_t value)
{
    on_uint64(context, value);
}

static void on_uint32(void *context, uint32_t value)
{
    on_uint64(context, value);
}

static void on_negint64(void *context, uint64_t value)
{
    add_node(context, LMN_CBOR_NEGINT)->integer = value;
    close_filled_containers(context);
}

static void on_negint8(void *context, uint8_t value)
{
    on_negint64(context, value);
}

static void on_negint16(void *context, uint16_t value)
{
    on_negint64(context, value);
}

static void on_negint32(void *context, uint32_t value)
{
    on_negint64(context, value);
}

static void on_double(void *context, double value)
{
    add_node(context, LMN_CBOR_FLOAT)->number = value;
    close_filled_containers(context);
}

static void on_float(void *context, float value)
{
    on_double(context, (double)value);
}

static void on_text(void *context, cbor_data text, size_t len)
{
    struct parser *parser = context;
    struct lmn_cbor_value *node = add_node(parser, LMN_CBOR_TEXT);

    node->text = (const char *)text;
    node->len = (uint32_t)len;
    if (!g_utf8_validate((const char *)text, (gssize)len, NULL))
        parser->is_invalid = true;
    close_filled_containers(parser);
}

static void on_array(void *context, size_t items)
{
    open_container(context, LMN_CBOR_ARRAY, items);
}

static void on_map(void *context, size_t pairs)
{
    open_container(context, LMN_CBOR_MAP, pairs);
}

static void on_bool(void *context, bool value)
{
    add_node(context, LMN_CBOR_BOOL)->truth = value;
    close_filled_containers(context);
}

static void on_null(void *context)
{
    add_node(context, LMN_CBOR_NULL);
    close_filled_containers(context);
}

static void refuse(void *context)
{
    ((struct parser *)context)->is_invalid = true;
}

static void refuse_bytes(void *context, cbor_data bytes, size_t len)
{
    (void)bytes;
    (void)len;
    refuse(context);
}

static void refuse_tag(void *context, uint64_t tag)
{
    (void)tag;
    refuse(context);
}

static const struct cbor_callbacks callbacks = {
    .uint8 = on_uint8,
    .uint16 = on_uint16,
    .uint32 = on_uint32,
    .uint64 = on_uint64,
    .negint8 = on_negint8,
    .negint16 = on_negint16,
    .negint32 = on_negint32,
    .negint64 = on_negint64,
    .byte_string_start = refuse,
    .byte_string = refuse_bytes,
    .string = on_text,
    .string_start = refuse,
    .indef_array_start = refuse,
    .array_start = on_array,
    .indef_map_start = refuse,
    .map_start = on_map,
    .tag = refuse_tag,
    .float2 = on_float,
    .float4 = on_float,
    .float8 = on_double,
    .undefined = refuse,
    .null = on_null,
    .boolean = on_bool,
    .indef_break = refuse,
};

int lmn_cbor_parse(struct lmn_cbor_document *document, const void *bytes, size_t len)
{
    struct parser parser = {.document = document};
    const unsigned char *position = bytes;

    document->capacity = INITIAL_CAPACITY;
    document->count = 1;
    document->nodes = g_new0(struct lmn_cbor_value, document->capacity);
    while (!parser.is_complete && !parser.is_invalid) {
        parser.remaining = len;
        struct cbor_decoder_result result =
            cbor_stream_decode(position, len, &callbacks, &parser);
        if (result.status != CBOR_DECODER_FINISHED || result.read == 0 ||
            result.read > len) {
            parser.is_invalid = true;
            break;
        }
        position += result.read;
        len -= result.read;
    }
    /* Bytes after the item are refused too: they would be a second message. */
    if (parser.is_invalid || len != 0) {
        lmn_cbor_free(document);
        return -1;
    }
    return 0;
}

void lmn_cbor_free(struct lmn_cbor_document *document)
{
    g_free(document->nodes);
    document->nodes = NULL;
    document->count = 0;
}
