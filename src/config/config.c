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
struct config_field {
    enum lmn_config_kind kind;
    char *text;    /**< owned */
    double number; /**< of an array: its length */
    unsigned line;
    bool is_used; /**< a getter has read it */
};

struct lmn_config {
    char *name;         /**< of the file, for messages */
    GHashTable *fields; /**< path -> struct config_field; owns both */
    GPtrArray *order; /**< the paths in the file's order, so that the first unknown field
                         is  reported; the strings are the keys of `fields` */
    char *error;      /**< the first error; NULL: none */
};

static void free_field(gpointer data)
{
    struct config_field *field = data;
    g_free(field->text);
    g_free(field);
}

struct lmn_config *lmn_config_new(const char *name)
{
    struct lmn_config *config = g_new0(struct lmn_config, 1);
    config->name = g_strdup(name);
    config->fields = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_field);
    config->order = g_ptr_array_new();
    return config;
}

void lmn_config_free(struct lmn_config *config)
{
    g_hash_table_destroy(config->fields);
    g_ptr_array_free(config->order, TRUE);
    g_free(config->name);
    g_free(config->error);
    g_free(config);
}

void lmn_config_add(struct lmn_config *config, const char *path,
                    enum lmn_config_kind kind, const char *text, double number,
                    unsigned line)
{
    struct config_field *field = g_new0(struct config_field, 1);
    char *key = g_strdup(path);

    *field = (struct config_field){.kind = kind,
                                   .text = g_strdup(text),
                                   .number = number,
                                   .line = line,
                                   .is_used = false};
    g_hash_table_replace(config->fields, key, field);
    g_ptr_array_add(config->order, key);
}

void lmn_config_fail(struct lmn_config *config, const char *path, const char *format, ...)
{
    const struct config_field *field = g_hash_table_lookup(config->fields, path);
    va_list arguments;

    if (config->error)
        return;
    va_start(arguments, format);
    g_autofree char *error = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    if (field)
        config->error = g_strdup_printf("%s: line %u: %s: %s", config->name, field->line,
                                        path, error);
    else
        config->error = g_strdup_printf("%s: %s: %s", config->name, path, error);
}

/** Names of the kinds of fields in errors. Indexed by enum lmn_config_kind. */
static const char *const kind_words[] = {"a text in quotes", "a number", "true or false",
                                         "an array", "a table"};

/** @return the field if it is there and of the kind; NULL otherwise, after reporting a
 * wrong kind or, if `is_required`, an absent field. */
static const struct config_field *find_field(struct lmn_config *config, const char *path,
                                             enum lmn_config_kind kind, bool is_required)
{
    struct config_field *field = g_hash_table_lookup(config->fields, path);

    if (!field) {
        if (is_required)
            lmn_config_fail(config, path, "missing; expected %s", kind_words[kind]);
        return NULL;
    }
    field->is_used = true;
    if (field->kind == kind)
        return field;
    lmn_config_fail(config, path, "expected %s", kind_words[kind]);
    return NULL;
}

const char *lmn_config_text(struct lmn_config *config, const char *path,
                            const char *fallback)
{
    const struct config_field *field =
        find_field(config, path, LMN_CONFIG_TEXT, !fallback);

    if (field && !*field->text)
        lmn_config_fail(config, path,
                        "expected a text of at least 1 character, got \"\"");
    if (field)
        return field->text;
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
    const struct config_field *field = find_field(config, path, LMN_CONFIG_NUMBER, false);

    if (!field)
        return fallback;
    /* Written so that a NaN is refused too. */
    if (!(field->number >= min && field->number <= max)) {
        lmn_config_fail(config, path, "expected a number from %g to %g, got %g", min, max,
                        field->number);
        return fallback;
    }
    return field->number;
}

bool lmn_config_bool(struct lmn_config *config, const char *path, bool fallback)
{
    const struct config_field *field = find_field(config, path, LMN_CONFIG_BOOL, false);
    return field ? field->number != 0 : fallback;
}

guint lmn_config_count(struct lmn_config *config, const char *path)
{
    const struct config_field *field = find_field(config, path, LMN_CONFIG_ARRAY, false);
    return field ? (guint)field->number : 0;
}

bool lmn_config_has(struct lmn_config *config, const char *path)
{
    return g_hash_table_contains(config->fields, path);
}

/** Reports the first field that no getter has read. Skips tables: an unknown table is
 * reported by its fields. */
static void report_unknown_field(struct lmn_config *config)
{
    for (guint i = 0; i < config->order->len && !config->error; i++) {
        const char *path = config->order->pdata[i];
        const struct config_field *field = g_hash_table_lookup(config->fields, path);
        if (!field->is_used && field->kind != LMN_CONFIG_TABLE)
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
