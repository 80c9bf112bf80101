#include "config/config.h"
#include "config/settings.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct item {
    enum lmn_config_kind kind;
    char *text;
    double number; /* of an array: its length */
    unsigned line;
    bool used;
};

struct lmn_config {
    char *name;
    GHashTable *items; /* path -> struct item */
    GPtrArray *order;  /* paths, as they stand in the file */
    char *wrong;
};

static void free_item(gpointer p)
{
    struct item *i = p;
    g_free(i->text);
    g_free(i);
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
    g_free(config->wrong);
    g_free(config);
}

void lmn_config_add(struct lmn_config *config, const char *path,
                    enum lmn_config_kind kind, const char *text, double number,
                    unsigned line)
{
    struct item *i = g_new0(struct item, 1);
    char *key = g_strdup(path);

    *i = (struct item){kind, g_strdup(text), number, line, false};
    g_hash_table_replace(config->items, key, i);
    g_ptr_array_add(config->order, key);
}

void lmn_config_fail(struct lmn_config *config, const char *path, const char *fmt, ...)
{
    const struct item *i = g_hash_table_lookup(config->items, path);
    va_list ap;

    if (config->wrong)
        return;
    va_start(ap, fmt);
    char *what = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    config->wrong =
        i ? g_strdup_printf("%s: line %u: %s: %s", config->name, i->line, path, what)
          : g_strdup_printf("%s: %s: %s", config->name, path, what);
    g_free(what);
}

/* The field, if it is there and of the kind. */
static struct item *find(struct lmn_config *config, const char *path,
                         enum lmn_config_kind kind, bool required)
{
    static const char *const words[] = {"a text in quotes", "a number", "true or false",
                                        "an array", "a table"};
    struct item *i = g_hash_table_lookup(config->items, path);

    if (!i) {
        if (required)
            lmn_config_fail(config, path, "missing; expected %s", words[kind]);
        return NULL;
    }
    i->used = true;
    if (i->kind == kind)
        return i;
    lmn_config_fail(config, path, "expected %s", words[kind]);
    return NULL;
}

const char *lmn_config_text(struct lmn_config *config, const char *path, const char *def)
{
    const struct item *i = find(config, path, LMN_CONFIG_TEXT, !def);

    if (i && !*i->text)
        lmn_config_fail(config, path, "expected a text that is not empty");
    return i ? i->text : def ? def : "";
}

const char *lmn_config_name(struct lmn_config *config, const char *path, const char *def)
{
    const char *t = lmn_config_text(config, path, def);
    size_t n = strlen(t);
    bool ok = n > 0 && n < LMN_NAME_SIZE;

    for (size_t i = 0; i < n; i++)
        ok = ok && (g_ascii_isalnum(t[i]) || strchr("-_.", t[i]));
    if (!ok)
        lmn_config_fail(config, path,
                        "expected a name of 1 to %d letters, digits, '-', '_' and '.'",
                        LMN_NAME_SIZE - 1);
    return t;
}

const char *lmn_config_address(struct lmn_config *config, const char *path,
                               const char *def)
{
    const char *t = lmn_config_text(config, path, def);
    char host[LMN_ADDRESS_SIZE];
    int port;

    if (*t && (strlen(t) >= LMN_ADDRESS_SIZE ||
               lmn_address_split(t, host, sizeof host, &port) != 0))
        lmn_config_fail(config, path,
                        "expected an IPv4 address and a port, as in 127.0.0.1:8080");
    return t;
}

double lmn_config_number(struct lmn_config *config, const char *path, double def,
                         double lo, double hi)
{
    const struct item *i = find(config, path, LMN_CONFIG_NUMBER, false);

    if (!i)
        return def;
    if (!(i->number >= lo && i->number <= hi)) {
        lmn_config_fail(config, path, "expected a number from %g to %g", lo, hi);
        return def;
    }
    return i->number;
}

bool lmn_config_bool(struct lmn_config *config, const char *path, bool def)
{
    const struct item *i = find(config, path, LMN_CONFIG_BOOL, false);
    return i ? i->number != 0 : def;
}

guint lmn_config_count(struct lmn_config *config, const char *path)
{
    const struct item *i = find(config, path, LMN_CONFIG_ARRAY, false);
    return i ? (guint)i->number : 0;
}

bool lmn_config_has(struct lmn_config *config, const char *path)
{
    return g_hash_table_contains(config->items, path);
}

int lmn_config_finish(struct lmn_config *config, char *err, size_t len)
{
    for (guint k = 0; k < config->order->len && !config->wrong; k++) {
        const struct item *i =
            g_hash_table_lookup(config->items, config->order->pdata[k]);
        if (!i->used && i->kind != LMN_CONFIG_TABLE)
            lmn_config_fail(config, config->order->pdata[k],
                            "no such field; take it out, or mend its name");
    }
    if (!config->wrong)
        return 0;
    snprintf(err, len, "%s", config->wrong);
    return -1;
}
