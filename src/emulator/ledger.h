/* What runs where in an emulated fleet: the truth that no controller knows, to hold its
 * rules against. The caller serializes. */
#ifndef LMN_EMULATOR_LEDGER_H
#define LMN_EMULATOR_LEDGER_H

#include <glib.h>
#include <stdint.h>

struct lmn_emu_ledger {
    GHashTable *on; /* "ref/index" -> where it runs */
    uint64_t starts;
    uint64_t twice;  /* began while it ran elsewhere */
    uint64_t lapsed; /* ended with their machine's lease */
};

void lmn_emu_ledger_init(struct lmn_emu_ledger *ledger);
void lmn_emu_ledger_clear(struct lmn_emu_ledger *ledger);
/* The task begins, or ends, on the machine: any pointer that tells it from others. */
void lmn_emu_ledger_begin(struct lmn_emu_ledger *ledger, const char *ref, uint32_t index,
                          gconstpointer machine);
void lmn_emu_ledger_end(struct lmn_emu_ledger *ledger, const char *ref, uint32_t index,
                        gconstpointer machine);
/* All of its tasks end; how many. */
guint lmn_emu_ledger_empty(struct lmn_emu_ledger *ledger, gconstpointer machine);

#endif
