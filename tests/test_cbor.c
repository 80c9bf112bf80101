/* CBOR: round trips of generated documents, and hostile bytes. */
#include "protocol/cbor.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

static void generate(GRand *r, GByteArray *b, int depth)
{
    char text[32];
    int n, kind = g_rand_int_range(r, 0, depth > 6 ? 5 : 7);

    switch (kind) {
    case 0:
        lmn_cbor_put_null(b);
        break;
    case 1:
        lmn_cbor_put_bool(b, g_rand_boolean(r));
        break;
    case 2:
        lmn_cbor_put_uint(b, (uint64_t)g_rand_int(r) << g_rand_int_range(r, 0, 33));
        break;
    case 3:
        lmn_cbor_put_number(b, g_rand_double_range(r, -1e6, 1e6));
        break;
    case 4:
        n = g_rand_int_range(r, 0, 30);
        for (int i = 0; i < n; i++)
            text[i] = (char)g_rand_int_range(r, 32, 127);
        text[n] = '\0';
        lmn_cbor_put_text(b, text);
        break;
    case 5:
        n = g_rand_int_range(r, 0, 6);
        lmn_cbor_put_array(b, (size_t)n);
        while (n--)
            generate(r, b, depth + 1);
        break;
    default:
        n = g_rand_int_range(r, 0, 6);
        lmn_cbor_put_map(b, (size_t)n);
        while (n--) {
            g_snprintf(text, sizeof text, "k%d", n);
            lmn_cbor_put_text(b, text);
            generate(r, b, depth + 1);
        }
    }
}

static void round_trip(void **state)
{
    GRand *r = g_rand_new_with_seed(1);
    (void)state;

    for (int i = 0; i < 3000; i++) {
        GByteArray *b = g_byte_array_new(), *again = g_byte_array_new();
        struct lmn_cbor_document d;
        generate(r, b, 0);
        assert_int_equal(lmn_cbor_parse(&d, b->data, b->len), 0);
        lmn_cbor_put_value(again, &d, lmn_cbor_root(&d));
        assert_int_equal(again->len, b->len);
        assert_memory_equal(again->data, b->data, b->len);
        lmn_cbor_free(&d);
        g_byte_array_unref(b);
        g_byte_array_unref(again);
    }
    g_rand_free(r);
}

/* Cut, prolonged, altered: never a crash, never more memory than the message is worth;
 * cut or prolonged is never accepted. */
static void hostile(void **state)
{
    GRand *r = g_rand_new_with_seed(2);
    (void)state;

    for (int i = 0; i < 5000; i++) {
        GByteArray *b = g_byte_array_new();
        struct lmn_cbor_document d;
        generate(r, b, 0);
        if (b->len > 1)
            assert_int_equal(lmn_cbor_parse(&d, b->data, b->len - 1), -1);
        guint8 more = 0;
        g_byte_array_append(b, &more, 1);
        assert_int_equal(lmn_cbor_parse(&d, b->data, b->len), -1);
        g_byte_array_set_size(b, b->len - 1);
        for (int k = g_rand_int_range(r, 1, 5); k--;)
            b->data[g_rand_int_range(r, 0, (gint32)b->len)] = (guint8)g_rand_int(r);
        if (lmn_cbor_parse(&d, b->data, b->len) == 0) {
            assert_true(d.count <= b->len + 1);
            lmn_cbor_free(&d);
        }
        g_byte_array_unref(b);
    }
    g_rand_free(r);
}

static void refused(void **state)
{
    static const struct {
        const char *what;
        size_t len;
        const char *bytes;
    } cases[] = {
        {"empty", 0, ""},
        {"list of 2^32 - 1 items", 5, "\x9a\xff\xff\xff\xff"},
        {"map of 2^63 pairs", 9, "\xbb\x80\0\0\0\0\0\0\0"},
        {"text longer than the message", 5, "\x7a\x7f\xff\xff\xff"},
        {"indefinite list", 3, "\x9f\x01\xff"},
        {"indefinite map", 2, "\xbf\xff"},
        {"indefinite text", 4, "\x7f\x61\x61\xff"},
        {"byte string", 2, "\x41\x61"},
        {"tag", 2, "\xc1\x01"},
        {"undefined", 1, "\xf7"},
        {"a key that is no text", 3, "\xa1\x01\x02"},
        {"text that is no UTF-8", 2, "\x61\xff"},
        {"two items", 2, "\x01\x01"},
    };
    struct lmn_cbor_document d;
    unsigned char deep[64];
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
        if (lmn_cbor_parse(&d, cases[i].bytes, cases[i].len) == 0)
            fail_msg("accepted: %s", cases[i].what);
    memset(deep, 0x81, sizeof deep);
    deep[sizeof deep - 1] = 0;
    assert_int_equal(lmn_cbor_parse(&d, deep, sizeof deep), -1);
}

/* NaN and infinities are numbers of CBOR, but no amounts. */
static void amounts(void **state)
{
    GByteArray *b = g_byte_array_new();
    struct lmn_cbor_document d;
    double v;
    uint64_t n;
    (void)state;

    lmn_cbor_put_array(b, 4);
    lmn_cbor_put_number(b, __builtin_nan(""));
    lmn_cbor_put_number(b, __builtin_inf());
    lmn_cbor_put_number(b, 2.5);
    lmn_cbor_put_number(b, 3.0);
    assert_int_equal(lmn_cbor_parse(&d, b->data, b->len), 0);
    const struct lmn_cbor_value *x = lmn_cbor_first_child(&d, lmn_cbor_root(&d));
    assert_false(lmn_cbor_get_number(x, &v));
    assert_false(lmn_cbor_get_number(x = lmn_cbor_next(&d, x), &v));
    assert_true(lmn_cbor_get_number(x = lmn_cbor_next(&d, x), &v));
    assert_false(lmn_cbor_get_uint(x, &n));
    assert_true(lmn_cbor_get_uint(lmn_cbor_next(&d, x), &n));
    assert_int_equal(n, 3);
    lmn_cbor_free(&d);
    g_byte_array_unref(b);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(round_trip),
        cmocka_unit_test(hostile),
        cmocka_unit_test(refused),
        cmocka_unit_test(amounts),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
