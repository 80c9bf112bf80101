/**
 * @file
 * Reading of inventory files.
 *
 * The readers don't stop at an error, since the configuration keeps the first one and
 * lmn_config_finish() reports it. So the order of the reads decides which of several
 * errors an operator sees.
 */
#include "inventory/inventory.h"
#include "config/config.h"

#include <stdio.h>
#include <string.h>

enum { FIELD_PATH_SIZE = 160 };

static const double MIN_CPUS = 0.01;
static const double MAX_CPUS = 1e5;
static const double MAX_GPUS = 1e4;
static const double MAX_GB = 1e6;
static const double DEFAULT_CACHE_GB = 10;
static const double MIN_PULL_GB_PER_S = 1e-6;
static const double MAX_PULL_GB_PER_S = 1e4;
static const double MAX_RATE = 1e6;
static const double MAX_READY_S = 1e5;
static const double MAX_POOL_COUNT = 1e6;

int lmn_inventory_type(const struct lmn_inventory *inventory, const char *name)
{
    for (unsigned i = 0; i < inventory->type_count; i++)
        if (!strcmp(inventory->types[i].name, name))
            return (int)i;
    return -1;
}

const struct lmn_slot *lmn_inventory_slot(const struct lmn_inventory *inventory,
                                          const char *name)
{
    for (unsigned i = 0; i < inventory->slot_count; i++)
        if (!strcmp(inventory->slots[i].name, name))
            return &inventory->slots[i];
    return NULL;
}

/** Writes the path of a field of a table in an array, as in "types[2].name".
 * @param path FIELD_PATH_SIZE bytes. @return path */
static const char *field_path(char *path, const char *table, guint index,
                              const char *field)
{
    g_snprintf(path, FIELD_PATH_SIZE, "%s[%u].%s", table, index, field);
    return path;
}

/** Reads a number of a type. */
static double read_type_number(struct lmn_config *config, guint index, const char *field,
                               double fallback, double min, double max)
{
    char path[FIELD_PATH_SIZE];

    return lmn_config_number(config, field_path(path, "types", index, field), fallback,
                             min, max);
}

static void read_zones(struct lmn_config *config, struct lmn_machine_type *type,
                       guint index)
{
    char path[FIELD_PATH_SIZE], zone_path[FIELD_PATH_SIZE];
    guint count = lmn_config_count(config, field_path(path, "types", index, "zones"));

    if (count < 1 || count > LMN_MAX_ZONES)
        lmn_config_fail(config, path, "expected 1 to %d names of zones", LMN_MAX_ZONES);
    for (guint i = 0; i < MIN(count, LMN_MAX_ZONES); i++) {
        g_snprintf(zone_path, sizeof zone_path, "types[%u].zones[%u]", index, i);
        g_strlcpy(type->zones[type->zone_count++],
                  lmn_config_name(config, zone_path, NULL), LMN_NAME_SIZE);
    }
}

static void read_type(struct lmn_config *config, struct lmn_inventory *inventory,
                      guint index)
{
    struct lmn_machine_type *type = &inventory->types[inventory->type_count];
    char path[FIELD_PATH_SIZE];

    field_path(path, "types", index, "name");
    g_strlcpy(type->name, lmn_config_name(config, path, NULL), sizeof type->name);
    if (lmn_inventory_type(inventory, type->name) >= 0)
        lmn_config_fail(config, path, "named twice");
    type->cpus = read_type_number(config, index, "cpus", 1, MIN_CPUS, MAX_CPUS);
    type->gpus = read_type_number(config, index, "gpus", 0, 0, MAX_GPUS);
    type->memory_gb = read_type_number(config, index, "mem_gb", 1, 0, MAX_GB);
    type->cache_gb =
        read_type_number(config, index, "cache_gb", DEFAULT_CACHE_GB, 0, MAX_GB);
    type->pull_gb_per_s = read_type_number(config, index, "pull_gb_per_s", 1,
                                           MIN_PULL_GB_PER_S, MAX_PULL_GB_PER_S);
    type->price_per_hour = read_type_number(config, index, "rate", 1, 0, MAX_RATE);
    type->spot_price_per_hour =
        read_type_number(config, index, "spot_rate", type->price_per_hour, 0, MAX_RATE);
    type->boot_s = read_type_number(config, index, "ready_s", 1, 0, MAX_READY_S);
    read_zones(config, type, index);
    inventory->type_count++;
}

static bool type_has_zone(const struct lmn_machine_type *type, const char *zone)
{
    for (int i = 0; i < type->zone_count; i++)
        if (!strcmp(type->zones[i], zone))
            return true;
    return false;
}

/**
 * Reads the type and the zone of a pool or slot and checks that the type has the zone.
 * @param zone  receives the zone, LMN_NAME_SIZE bytes; by default the type's first one.
 * @return the type's index; -1 if there is no such type, which is then reported.
 */
static int read_type_and_zone(struct lmn_config *config,
                              const struct lmn_inventory *inventory, const char *table,
                              guint index, char *zone)
{
    char path[FIELD_PATH_SIZE];
    const char *name =
        lmn_config_name(config, field_path(path, table, index, "type"), NULL);
    int type_index = lmn_inventory_type(inventory, name);

    if (type_index < 0)
        lmn_config_fail(config, path, "there is no type '%s' in [[types]]", name);
    const struct lmn_machine_type *type =
        type_index < 0 ? NULL : &inventory->types[type_index];
    field_path(path, table, index, "zone");
    g_strlcpy(zone, lmn_config_name(config, path, type ? type->zones[0] : NULL),
              LMN_NAME_SIZE);
    if (type && !type_has_zone(type, zone))
        lmn_config_fail(config, path, "type '%s' has no zone '%s'", type->name, zone);
    return type_index;
}

static bool read_is_spot(struct lmn_config *config, const char *table, guint index)
{
    char path[FIELD_PATH_SIZE];

    return lmn_config_bool(config, field_path(path, table, index, "spot"), false);
}

static void read_pool(struct lmn_config *config, struct lmn_inventory *inventory,
                      guint index)
{
    struct lmn_pool *pool = &inventory->pools[inventory->pool_count++];
    char path[FIELD_PATH_SIZE];

    pool->type = read_type_and_zone(config, inventory, "pools", index, pool->zone);
    pool->spot = read_is_spot(config, "pools", index);
    field_path(path, "pools", index, "count");
    pool->count = (unsigned)lmn_config_number(config, path, 1, 0, MAX_POOL_COUNT);
}

static void read_slot(struct lmn_config *config, struct lmn_inventory *inventory,
                      guint index)
{
    struct lmn_slot *slot = &inventory->slots[inventory->slot_count];
    char path[FIELD_PATH_SIZE];

    field_path(path, "machines", index, "name");
    g_strlcpy(slot->name, lmn_config_name(config, path, NULL), sizeof slot->name);
    if (lmn_inventory_slot(inventory, slot->name))
        lmn_config_fail(config, path, "named twice");
    slot->type = read_type_and_zone(config, inventory, "machines", index, slot->zone);
    slot->spot = read_is_spot(config, "machines", index);
    inventory->slot_count++;
}

static void read_tables(struct lmn_config *config, struct lmn_inventory *inventory)
{
    guint type_count = lmn_config_count(config, "types");
    guint pool_count = lmn_config_count(config, "pools");
    guint slot_count = lmn_config_count(config, "machines");

    if (type_count < 1 || type_count > LMN_MAX_TYPES)
        lmn_config_fail(config, "types", "expected 1 to %d tables [[types]]",
                        LMN_MAX_TYPES);
    if (pool_count > LMN_MAX_POOLS)
        lmn_config_fail(config, "pools", "expected at most %d tables", LMN_MAX_POOLS);
    if (slot_count > LMN_MAX_SLOTS)
        lmn_config_fail(config, "machines", "expected at most %d tables", LMN_MAX_SLOTS);
    /* Never empty: g_new0() returns NULL for no elements. */
    inventory->slots = g_new0(struct lmn_slot, MIN(slot_count, LMN_MAX_SLOTS) + 1);
    /* Pools and slots refer to types, so these come first. */
    for (guint i = 0; i < MIN(type_count, LMN_MAX_TYPES); i++)
        read_type(config, inventory, i);
    for (guint i = 0; i < MIN(pool_count, LMN_MAX_POOLS); i++)
        read_pool(config, inventory, i);
    for (guint i = 0; i < MIN(slot_count, LMN_MAX_SLOTS); i++)
        read_slot(config, inventory, i);
}

/** Fills in the inventory and frees the configuration. */
static int read_inventory(struct lmn_config *config, struct lmn_inventory *inventory,
                          char *err, size_t len)
{
    memset(inventory, 0, sizeof *inventory);
    read_tables(config, inventory);
    int rc = lmn_config_finish(config, err, len);
    if (rc != 0)
        lmn_inventory_clear(inventory);
    lmn_config_free(config);
    return rc;
}

int lmn_inventory_load(const char *path, struct lmn_inventory *inventory, char *err,
                       size_t len)
{
    struct lmn_config *config = lmn_config_load(path, err, len);

    return config ? read_inventory(config, inventory, err, len) : -1;
}

int lmn_inventory_parse(const char *text, const char *name,
                        struct lmn_inventory *inventory, char *err, size_t len)
{
    struct lmn_config *config = lmn_config_parse(text, name, err, len);

    return config ? read_inventory(config, inventory, err, len) : -1;
}

void lmn_inventory_clear(struct lmn_inventory *inventory)
{
    g_free(inventory->slots);
    memset(inventory, 0, sizeof *inventory);
}
