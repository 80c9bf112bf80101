/* The operator's inventory: which machines there are, of which types, where, at what
 * price. */
#ifndef LMN_INVENTORY_H
#define LMN_INVENTORY_H

#include "job/job_spec.h"

enum { LMN_MAX_TYPES = 64, LMN_MAX_POOLS = 256, LMN_MAX_SLOTS = 4096 };

/* Machines of a type, zone and kind that can be had: so many at a time. */
struct lmn_pool {
    int type; /* index */
    char zone[LMN_NAME_SIZE];
    bool spot;
    unsigned count;
};

/* A machine of its own, whose agent the operator starts. */
struct lmn_slot {
    char name[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    int type;
    bool spot;
};

struct lmn_inventory {
    struct lmn_machine_type types[LMN_MAX_TYPES];
    unsigned ntypes;
    struct lmn_pool pools[LMN_MAX_POOLS];
    unsigned npools;
    struct lmn_slot *slots;
    unsigned nslots;
};

/* Fills *v from the file; -1 with "file: line N: field: what" in err. lmn_inventory_clear
 * frees. */
int lmn_inventory_load(const char *path, struct lmn_inventory *inventory, char *err,
                       size_t len);
int lmn_inventory_parse(const char *text, const char *name,
                        struct lmn_inventory *inventory, char *err, size_t len);
void lmn_inventory_clear(struct lmn_inventory *inventory);
/* -1: there is none. */
int lmn_inventory_type(const struct lmn_inventory *inventory, const char *name);
const struct lmn_slot *lmn_inventory_slot(const struct lmn_inventory *inventory,
                                          const char *name);

#endif
