/**
 * @file
 * The fields of an operator's file by path, and the getters that check them. The file
 * itself is parsed in toml.cpp.
 */
#include "config/config.h"
#include "config/settings.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/** A field of the file. */
struct item {
    enum lmn_config_kind kind;
    char *text;    /**< owned */
    double number; /**< of an array: its length */
    unsigned line;
    bool is_used; /**< a getter has read it */
};

struct lmn_config {
    char *name;        /**< of the file, for messages */
    GHashTable *items; /**< path -> struct item; owns both */
    GPtrArray *order;  /**< the paths in the file's order, so that the first unknown field
                          is  reported; the strings are the keys of `items` */
    char *error;       /**< the first error; NULL: none */
};

static void free_item(gpointer data)
{
    struct item *item = data;
    g_free(item->text);
    g_free(item);
}

struct lmn_config *lmn_config_new(const char *name)
{
    struct lmn_config *config = g_new0(struct lmn_config, 1);
    config->name = g_strdup(name);
    config->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_item);
    config->order = g_ptr_array_new();
    return config;
}

void lmn_config_free(struct lmn_config *config)
{
    g_hash_table_destroy(config->items);
    g_ptr_array_free(config->order, TRUE);
    g_free(config->name);
    g_free(config->error);
    g_free(config);
}

void lmn_config_add(struct lmn_config *config, const char *path,
                    enum lmn_config_kind kind, const char *text, double number,
                    unsigned line)
{
    struct item *item = g_new0(struct item, 1);
    char *key = g_strdup(path);

    *item = (struct item){.kind = kind,
                          .text = g_strdup(text),
                          .number = number,
                          .line = line,
                          .is_used = false};
    g_hash_table_replace(config->items, key, item);
    g_ptr_array_add(config->order, key);
}

void lmn_config_fail(struct lmn_config *config, const char *path, const char *format, ...)
{
    const struct item *item = g_hash_table_lookup(config->items, path);
    va_list arguments;

    if (config->error)
        return;
    va_start(arguments, format);
    g_autofree char *what = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    if (item)
        config->error =
            g_strdup_printf("%s: line %u: %s: %s", config->name, item->line, path, what);
    else
        config->error = g_strdup_printf("%s: %s: %s", config->name, path, what);
}

/** Names of the kinds of fields in errors. Indexed by enum lmn_config_kind. */
static const char *const kind_words[] = {"a text in quotes", "a number", "true or false",
                                         "an array", "a table"};

/** @return the field if it is there and of the kind; NULL otherwise, after reporting a
 * wrong kind or, if `is_required`, an absent field. */
static const struct item *find_item(struct lmn_config *config, const char *path,
                                    enum lmn_config_kind kind, bool is_required)
{
    struct item *item = g_hash_table_lookup(config->items, path);

    if (!item) {
        if (is_required)
            lmn_config_fail(config, path, "missing; expected %s", kind_words[kind]);
        return NULL;
    }
    item->is_used = true;
    if (item->kind == kind)
        return item;
    lmn_config_fail(config, path, "expected %s", kind_words[kind]);
    return NULL;
}

const char *lmn_config_text(struct lmn_config *config, const char *path,
                            const char *fallback)
{
    const struct item *item = find_item(config, path, LMN_CONFIG_TEXT, !fallback);

    if (item && !*item->text)
        lmn_config_fail(config, path,
                        "expected a text of at least 1 character, got \"\"");
    if (item)
        return item->text;
    return fallback ? fallback : "";
}

static bool is_name(const char *text)
{
    size_t len = strlen(text);

    if (len == 0 || len >= LMN_NAME_SIZE)
        return false;
    for (size_t i = 0; i < len; i++)
        if (!g_ascii_isalnum(text[i]) && !strchr("-_.", text[i]))
            return false;
    return true;
}

const char *lmn_config_name(struct lmn_config *config, const char *path,
                            const char *fallback)
{
    const char *name = lmn_config_text(config, path, fallback);

    if (!is_name(name))
        lmn_config_fail(
            config, path,
            "expected a name of 1 to %d letters, digits, '-', '_' and '.', got \"%s\"",
            LMN_NAME_SIZE - 1, name);
    return name;
}

const char *lmn_config_address(struct lmn_config *config, const char *path,
                               const char *fallback)
{
    const char *address = lmn_config_text(config, path, fallback);
    char host[LMN_ADDRESS_SIZE];
    int port;

    /* An empty text is an absent optional field, or has been reported already. */
    if (*address && (strlen(address) >= LMN_ADDRESS_SIZE ||
                     lmn_address_split(address, host, sizeof host, &port) != 0))
        lmn_config_fail(
            config, path,
            "expected an IPv4 address and a port, as in 127.0.0.1:8080, got \"%s\"",
            address);
    return address;
}

double lmn_config_number(struct lmn_config *config, const char *path, double fallback,
                         double min, double max)
{
    const struct item *item = find_item(config, path, LMN_CONFIG_NUMBER, false);

    if (!item)
        return fallback;
    /* Written so that a NaN is refused too. */
    if (!(item->number >= min && item->number <= max)) {
        lmn_config_fail(config, path, "expected a number from %g to %g, got %g", min, max,
                        item->number);
        return fallback;
    }
    return item->number;
}

bool lmn_config_bool(struct lmn_config *config, const char *path, bool fallback)
{
    const struct item *item = find_item(config, path, LMN_CONFIG_BOOL, false);
    return item ? item->number != 0 : fallback;
}

guint lmn_config_count(struct lmn_config *config, const char *path)
{
    const struct item *item = find_item(config, path, LMN_CONFIG_ARRAY, false);
    return item ? (guint)item->number : 0;
}

bool lmn_config_has(struct lmn_config *config, const char *path)
{
    return g_hash_table_contains(config->items, path);
}

/** Reports the first field that no getter has read. Skips tables: an unknown table is
 * reported by its fields. */
static void report_unknown_field(struct lmn_config *config)
{
    for (guint i = 0; i < config->order->len && !config->error; i++) {
        const char *path = config->order->pdata[i];
        const struct item *item = g_hash_table_lookup(config->items, path);
        if (!item->is_used && item->kind != LMN_CONFIG_TABLE)
            lmn_config_fail(config, path, "no such field; remove it or correct its name");
    }
}

int lmn_config_finish(struct lmn_config *config, char *err, size_t len)
{
    report_unknown_field(config);
    if (!config->error)
        return 0;
    snprintf(err, len, "%s", config->error);
    return -1;
}
