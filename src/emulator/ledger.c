#include "emulator/ledger.h"

void lmn_emu_ledger_init(struct lmn_emu_ledger *l)
{
    *l = (struct lmn_emu_ledger){0};
    l->on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void lmn_emu_ledger_clear(struct lmn_emu_ledger *l)
{
    g_hash_table_destroy(l->on);
}

void lmn_emu_ledger_begin(struct lmn_emu_ledger *l, const char *ref, uint32_t index,
                          gconstpointer machine)
{
    char *key = g_strdup_printf("%s/%u", ref, index);
    gconstpointer other = g_hash_table_lookup(l->on, key);

    l->starts++;
    l->twice += other && other != machine;
    g_hash_table_replace(l->on, key, (gpointer)machine);
}

void lmn_emu_ledger_end(struct lmn_emu_ledger *l, const char *ref, uint32_t index,
                        gconstpointer machine)
{
    char *key = g_strdup_printf("%s/%u", ref, index);

    if (g_hash_table_lookup(l->on, key) == machine)
        g_hash_table_remove(l->on, key);
    g_free(key);
}

static gboolean is_there(gpointer key, gpointer where, gpointer machine)
{
    (void)key;
    return where == machine;
}

guint lmn_emu_ledger_empty(struct lmn_emu_ledger *l, gconstpointer machine)
{
    return g_hash_table_foreach_remove(l->on, is_there, (gpointer)machine);
}
