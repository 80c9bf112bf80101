/* Golden files: encoded messages and records of an earlier build, which the present build
 * has to reproduce byte by byte. tests/data/golden/ has one file for each, with
 * hexadecimal text below a comment line.
 *
 * With LMN_GOLDEN_WRITE=1 in the environment, missing files are written from this build's
 * output and the test program fails. Existing files are never overwritten: to change one,
 * remove it first. */
#ifndef LMN_TESTS_GOLDEN_H
#define LMN_TESTS_GOLDEN_H

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

static unsigned golden_files_written;

static inline char *golden_path(const char *name)
{
    char *directory = g_path_get_dirname(__FILE__);
    char *path = g_strdup_printf("%s/data/golden/%s.hex", directory, name);

    g_free(directory);
    return path;
}

/* Reads a golden file. Fails the test if the file is missing, empty or not hexadecimal.
 */
static inline GByteArray *golden_read(const char *name)
{
    char *path = golden_path(name), *text = NULL;
    GByteArray *bytes_read = g_byte_array_new();
    int high = -1;

    if (!g_file_get_contents(path, &text, NULL, NULL))
        fail_msg("golden file %s is missing or unreadable", path);
    for (const char *cursor = text; *cursor; cursor++) {
        if (*cursor == '#')
            cursor = strchr(cursor, '\n');
        assert_non_null(cursor);
        if (g_ascii_isspace(*cursor))
            continue;
        int digit = g_ascii_xdigit_value(*cursor);
        if (digit < 0)
            fail_msg("golden file %s: not hexadecimal text", path);
        if (high < 0) {
            high = digit;
            continue;
        }
        guint8 byte = (guint8)((unsigned)high << 4 | (unsigned)digit);
        g_byte_array_append(bytes_read, &byte, 1);
        high = -1;
    }
    assert_int_equal(high, -1);
    assert_true(bytes_read->len > 0);
    g_free(text);
    g_free(path);
    return bytes_read;
}

static inline void golden_write(const char *name, const void *bytes, size_t len)
{
    char *path = golden_path(name);
    GString *text = g_string_new(NULL);

    g_string_printf(text, "# %s: %zu bytes\n", name, len);
    for (size_t i = 0; i < len; i++)
        g_string_append_printf(text, "%02x%s", ((const guint8 *)bytes)[i],
                               i % 32 == 31 || i + 1 == len ? "\n" : "");
    if (!g_file_set_contents(path, text->str, (gssize)text->len, NULL))
        fail_msg("golden file %s can't be written", path);
    golden_files_written++;
    g_string_free(text, TRUE);
    g_free(path);
}

/* Fails the test unless the golden file contains exactly these bytes. */
static inline void golden_assert_equal(const char *name, const void *bytes, size_t len)
{
    char *path = golden_path(name);

    if (!g_strcmp0(g_getenv("LMN_GOLDEN_WRITE"), "1") &&
        !g_file_test(path, G_FILE_TEST_EXISTS))
        golden_write(name, bytes, len);
    g_free(path);
    GByteArray *bytes_read = golden_read(name);
    for (size_t i = 0; i < bytes_read->len && i < len; i++)
        if (bytes_read->data[i] != ((const guint8 *)bytes)[i])
            fail_msg("golden file %s: byte %zu is %02x, expected %02x", name, i,
                     ((const guint8 *)bytes)[i], bytes_read->data[i]);
    if (bytes_read->len != len)
        fail_msg("golden file %s: got %zu bytes, expected %u", name, len,
                 bytes_read->len);
    g_byte_array_unref(bytes_read);
}

/* Returns the program's exit status: a failure also if golden files were written. */
static inline int golden_exit_status(int failed)
{
    if (!golden_files_written)
        return failed;
    fprintf(stderr, "%u golden files written, run again\n", golden_files_written);
    return 1;
}

#endif
