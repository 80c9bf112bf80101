/**
 * @file
 * Encodes, decodes and counts task sets; see job/bitset.h.
 */
#include "job/bitset.h"

#include <string.h>

/** Size in bytes of a set of `count` tasks. */
static uint32_t byte_count(uint32_t count)
{
    return (count + 7) / 8;
}

void lmn_bitset_write(GByteArray *buffer, const uint8_t *bits, uint32_t count)
{
    uint32_t len = byte_count(count);

    while (len > 0 && !bits[len - 1])
        len--;
    GString *text = g_string_sized_new(2 * len + 1);
    for (uint32_t i = 0; i < len; i++)
        g_string_append_printf(text, "%02x", bits[i]);
    lmn_cbor_put_text(buffer, text->str);
    g_string_free(text, TRUE);
}

int lmn_bitset_read(const struct lmn_cbor_value *text, uint8_t *bits, uint32_t count)
{
    memset(bits, 0, byte_count(count));
    if (!text)
        return 0;
    if (text->type != LMN_CBOR_TEXT || text->len % 2 || text->len / 2 > byte_count(count))
        return -1;
    for (uint32_t i = 0; i < text->len / 2; i++) {
        int high = g_ascii_xdigit_value(text->text[2 * i]);
        int low = g_ascii_xdigit_value(text->text[2 * i + 1]);
        if (high < 0 || low < 0)
            return -1;
        bits[i] = (uint8_t)(high << 4 | low);
    }
    /* The last byte's bits beyond `count` must be zero. */
    if (count % 8 && bits[count / 8] >> (count % 8))
        return -1;
    return 0;
}

uint32_t lmn_bitset_count(const uint8_t *bits, uint32_t count)
{
    uint32_t total = 0;

    for (uint32_t i = 0; i < byte_count(count); i++)
        total += (uint32_t)__builtin_popcount(bits[i]);
    return total;
}
