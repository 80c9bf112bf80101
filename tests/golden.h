/* Golden records: bytes as an earlier build wrote them, one record a file below
 * tests/data/golden/, as hexadecimal text under a comment line.
 *
 * With LMN_GOLDEN_WRITE=1 in the environment missing files are written from what this
 * build writes, and the program fails. Files that exist are never overwritten: to change
 * a record, its file has to be removed first. */
#ifndef LMN_TESTS_GOLDEN_H
#define LMN_TESTS_GOLDEN_H

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

static unsigned golden_written;

static inline char *golden_path(const char *name)
{
    char *here = g_path_get_dirname(__FILE__);
    char *path = g_strdup_printf("%s/data/golden/%s.hex", here, name);

    g_free(here);
    return path;
}

/* Fails the test if there is no such file, or if it is no hexadecimal text. */
static inline GByteArray *golden_read(const char *name)
{
    char *path = golden_path(name), *text = NULL;
    GByteArray *b = g_byte_array_new();
    int high = -1;

    if (!g_file_get_contents(path, &text, NULL, NULL))
        fail_msg("no golden record %s", path);
    for (const char *at = text; *at; at++) {
        if (*at == '#')
            at = strchr(at, '\n');
        assert_non_null(at);
        if (g_ascii_isspace(*at))
            continue;
        int digit = g_ascii_xdigit_value(*at);
        if (digit < 0)
            fail_msg("%s: not hexadecimal text", path);
        if (high < 0) {
            high = digit;
            continue;
        }
        guint8 byte = (guint8)((unsigned)high << 4 | (unsigned)digit);
        g_byte_array_append(b, &byte, 1);
        high = -1;
    }
    assert_int_equal(high, -1);
    assert_true(b->len > 0);
    g_free(text);
    g_free(path);
    return b;
}

static inline void golden_write(const char *name, const void *bytes, size_t len)
{
    char *path = golden_path(name);
    GString *s = g_string_new(NULL);

    g_string_printf(s, "# %s: %zu bytes\n", name, len);
    for (size_t i = 0; i < len; i++)
        g_string_append_printf(s, "%02x%s", ((const guint8 *)bytes)[i],
                               i % 32 == 31 || i + 1 == len ? "\n" : "");
    if (!g_file_set_contents(path, s->str, (gssize)s->len, NULL))
        fail_msg("%s can't be written", path);
    golden_written++;
    g_string_free(s, TRUE);
    g_free(path);
}

/* Fails the test unless the record consists of exactly these bytes. */
static inline void golden_same(const char *name, const void *bytes, size_t len)
{
    char *path = golden_path(name);

    if (!g_strcmp0(g_getenv("LMN_GOLDEN_WRITE"), "1") &&
        !g_file_test(path, G_FILE_TEST_EXISTS))
        golden_write(name, bytes, len);
    g_free(path);
    GByteArray *b = golden_read(name);
    for (size_t i = 0; i < b->len && i < len; i++)
        if (b->data[i] != ((const guint8 *)bytes)[i])
            fail_msg("%s: byte %zu is %02x, was %02x", name, i,
                     ((const guint8 *)bytes)[i], b->data[i]);
    if (b->len != len)
        fail_msg("%s: %zu bytes, were %u", name, len, b->len);
    g_byte_array_unref(b);
}

/* The program's exit status. */
static inline int golden_end(int failed)
{
    if (!golden_written)
        return failed;
    fprintf(stderr, "%u golden records written, run again\n", golden_written);
    return 1;
}

#endif
