/**
 * @file
 * The operator's inventory file: the types of machines, how many of each can be rented
 * (pools), and single machines whose agents the operator starts (slots). It says what
 * there is, not what is rented; that is the machine provider's state.
 *
 * No shared state: the caller owns the inventory, and once it is read it is only looked
 * up, by any thread.
 */
#ifndef LMN_INVENTORY_H
#define LMN_INVENTORY_H

#include "job/job_spec.h"

/** Limits of a file. */
enum { LMN_MAX_TYPES = 64, LMN_MAX_POOLS = 256, LMN_MAX_SLOTS = 4096 };

/** Machines of one type in one zone, either all spot instances or none. */
struct lmn_pool {
    int type; /**< index of lmn_inventory.types */
    char zone[LMN_NAME_SIZE];
    bool spot;
    unsigned count; /**< so many can be rented at the same time */
};

/** A single machine, whose agent the operator starts. */
struct lmn_slot {
    char name[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    int type; /**< index of lmn_inventory.types */
    bool spot;
};

/** The content of an inventory file. */
struct lmn_inventory {
    struct lmn_machine_type types[LMN_MAX_TYPES];
    unsigned type_count;
    struct lmn_pool pools[LMN_MAX_POOLS];
    unsigned pool_count;
    struct lmn_slot *slots; /**< on the heap */
    unsigned slot_count;
};

/**
 * Reads and checks an inventory file.
 * @param inventory  overwritten; to be released by lmn_inventory_clear() on success.
 * @param err        receives "file: line N: field: what" on failure.
 * @return 0 or -1
 */
int lmn_inventory_load(const char *path, struct lmn_inventory *inventory, char *err,
                       size_t len);

/** The same with a file's content. @param name stands for the file in errors. */
int lmn_inventory_parse(const char *text, const char *name,
                        struct lmn_inventory *inventory, char *err, size_t len);

/** Frees what the inventory holds and leaves it empty. */
void lmn_inventory_clear(struct lmn_inventory *inventory);

/** @return the index of the type with this name; -1 if there is none */
int lmn_inventory_type(const struct lmn_inventory *inventory, const char *name);

/** @return the slot with this name, which the inventory owns; NULL if there is none */
const struct lmn_slot *lmn_inventory_slot(const struct lmn_inventory *inventory,
                                          const char *name);

#endif
