#include "emulator/ledger.h"

void lmn_emu_ledger_init(struct lmn_emu_ledger *ledger)
{
    *ledger = (struct lmn_emu_ledger){0};
    ledger->on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void lmn_emu_ledger_clear(struct lmn_emu_ledger *ledger)
{
    g_hash_table_destroy(ledger->on);
}

void lmn_emu_ledger_begin(struct lmn_emu_ledger *ledger, const char *ref, uint32_t index,
                          gconstpointer machine)
{
    char *key = g_strdup_printf("%s/%u", ref, index);
    gconstpointer other = g_hash_table_lookup(ledger->on, key);

    ledger->starts++;
    ledger->twice += other && other != machine;
    g_hash_table_replace(ledger->on, key, (gpointer)machine);
}

void lmn_emu_ledger_end(struct lmn_emu_ledger *ledger, const char *ref, uint32_t index,
                        gconstpointer machine)
{
    char *key = g_strdup_printf("%s/%u", ref, index);

    if (g_hash_table_lookup(ledger->on, key) == machine)
        g_hash_table_remove(ledger->on, key);
    g_free(key);
}

static gboolean is_there(gpointer key, gpointer where, gpointer machine)
{
    (void)key;
    return where == machine;
}

guint lmn_emu_ledger_empty(struct lmn_emu_ledger *ledger, gconstpointer machine)
{
    return g_hash_table_foreach_remove(ledger->on, is_there, (gpointer)machine);
}
