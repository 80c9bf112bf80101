/* The CBOR parser and writer: round trips of generated documents, and refusal of invalid
 * messages. */
#include "protocol/cbor.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

/* Appends an item of random kind and value; arrays and maps contain further items down to
 * depth 7. */
static void generate(GRand *generator, GByteArray *message, int depth)
{
    char text[32];
    int count, kind = g_rand_int_range(generator, 0, depth > 6 ? 5 : 7);

    switch (kind) {
    case 0:
        lmn_cbor_put_null(message);
        break;
    case 1:
        lmn_cbor_put_bool(message, g_rand_boolean(generator));
        break;
    case 2:
        lmn_cbor_put_uint(message, (uint64_t)g_rand_int(generator)
                                       << g_rand_int_range(generator, 0, 33));
        break;
    case 3:
        lmn_cbor_put_number(message, g_rand_double_range(generator, -1e6, 1e6));
        break;
    case 4:
        count = g_rand_int_range(generator, 0, 30);
        for (int i = 0; i < count; i++)
            text[i] = (char)g_rand_int_range(generator, 32, 127);
        text[count] = '\0';
        lmn_cbor_put_text(message, text);
        break;
    case 5:
        count = g_rand_int_range(generator, 0, 6);
        lmn_cbor_put_array(message, (size_t)count);
        while (count--)
            generate(generator, message, depth + 1);
        break;
    default:
        count = g_rand_int_range(generator, 0, 6);
        lmn_cbor_put_map(message, (size_t)count);
        while (count--) {
            g_snprintf(text, sizeof text, "k%d", count);
            lmn_cbor_put_text(message, text);
            generate(generator, message, depth + 1);
        }
    }
}

static void parsed_document_is_written_back_byte_for_byte(void **state)
{
    GRand *generator = g_rand_new_with_seed(1);
    (void)state;

    for (int i = 0; i < 3000; i++) {
        GByteArray *message = g_byte_array_new(), *rewritten = g_byte_array_new();
        struct lmn_cbor_document document;
        generate(generator, message, 0);
        assert_int_equal(lmn_cbor_parse(&document, message->data, message->len), 0);
        lmn_cbor_put_value(rewritten, &document, lmn_cbor_root(&document));
        assert_int_equal(rewritten->len, message->len);
        assert_memory_equal(rewritten->data, message->data, message->len);
        lmn_cbor_free(&document);
        g_byte_array_unref(message);
        g_byte_array_unref(rewritten);
    }
    g_rand_free(generator);
}

/* A message that lost its last byte or has one more is refused. A message with altered
 * bytes never crashes the parser, and a document never has more nodes than the message
 * has bytes, so that a forged length can't exhaust the memory. */
static void corrupted_message_is_refused_or_parsed_within_bounds(void **state)
{
    GRand *generator = g_rand_new_with_seed(2);
    (void)state;

    for (int i = 0; i < 5000; i++) {
        GByteArray *message = g_byte_array_new();
        struct lmn_cbor_document document;
        generate(generator, message, 0);
        if (message->len > 1)
            assert_int_equal(lmn_cbor_parse(&document, message->data, message->len - 1),
                             -1);
        guint8 extra_byte = 0;
        g_byte_array_append(message, &extra_byte, 1);
        assert_int_equal(lmn_cbor_parse(&document, message->data, message->len), -1);
        g_byte_array_set_size(message, message->len - 1);
        for (int changes = g_rand_int_range(generator, 1, 5); changes--;)
            message->data[g_rand_int_range(generator, 0, (gint32)message->len)] =
                (guint8)g_rand_int(generator);
        if (lmn_cbor_parse(&document, message->data, message->len) == 0) {
            assert_true(document.count <= message->len + 1);
            lmn_cbor_free(&document);
        }
        g_byte_array_unref(message);
    }
    g_rand_free(generator);
}

static void invalid_or_unsupported_messages_are_refused(void **state)
{
    static const struct {
        const char *description;
        size_t len;
        const char *bytes;
    } cases[] = {
        {"empty", 0, ""},
        {"array of 2^32 - 1 items", 5, "\x9a\xff\xff\xff\xff"},
        {"map of 2^63 pairs", 9, "\xbb\x80\0\0\0\0\0\0\0"},
        {"text longer than the message", 5, "\x7a\x7f\xff\xff\xff"},
        {"array of indefinite length", 3, "\x9f\x01\xff"},
        {"map of indefinite length", 2, "\xbf\xff"},
        {"text of indefinite length", 4, "\x7f\x61\x61\xff"},
        {"byte string", 2, "\x41\x61"},
        {"tag", 2, "\xc1\x01"},
        {"undefined", 1, "\xf7"},
        {"map key that is not text", 3, "\xa1\x01\x02"},
        {"text that is not UTF-8", 2, "\x61\xff"},
        {"two items in one message", 2, "\x01\x01"},
    };
    struct lmn_cbor_document document;
    unsigned char nested_arrays[64]; /* deeper than LMN_CBOR_MAX_DEPTH */
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
        if (lmn_cbor_parse(&document, cases[i].bytes, cases[i].len) == 0)
            fail_msg("lmn_cbor_parse() accepted an invalid message: %s",
                     cases[i].description);
    memset(nested_arrays, 0x81, sizeof nested_arrays);
    nested_arrays[sizeof nested_arrays - 1] = 0;
    assert_int_equal(lmn_cbor_parse(&document, nested_arrays, sizeof nested_arrays), -1);
}

/* NaN and infinities are valid CBOR floats, but the protocol has no amount that could be
 * one: the getters refuse them. */
static void getters_refuse_non_finite_and_fractional_numbers(void **state)
{
    GByteArray *message = g_byte_array_new();
    struct lmn_cbor_document document;
    double number;
    uint64_t whole;
    (void)state;

    lmn_cbor_put_array(message, 4);
    lmn_cbor_put_number(message, __builtin_nan(""));
    lmn_cbor_put_number(message, __builtin_inf());
    lmn_cbor_put_number(message, 2.5);
    lmn_cbor_put_number(message, 3.0);
    assert_int_equal(lmn_cbor_parse(&document, message->data, message->len), 0);
    const struct lmn_cbor_value *node =
        lmn_cbor_first_child(&document, lmn_cbor_root(&document));
    assert_false(lmn_cbor_get_number(node, &number));
    assert_false(lmn_cbor_get_number(node = lmn_cbor_next(&document, node), &number));
    assert_true(lmn_cbor_get_number(node = lmn_cbor_next(&document, node), &number));
    assert_false(lmn_cbor_get_uint(node, &whole));
    assert_true(lmn_cbor_get_uint(lmn_cbor_next(&document, node), &whole));
    assert_int_equal(whole, 3);
    lmn_cbor_free(&document);
    g_byte_array_unref(message);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(parsed_document_is_written_back_byte_for_byte),
        cmocka_unit_test(corrupted_message_is_refused_or_parsed_within_bounds),
        cmocka_unit_test(invalid_or_unsupported_messages_are_refused),
        cmocka_unit_test(getters_refuse_non_finite_and_fractional_numbers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
