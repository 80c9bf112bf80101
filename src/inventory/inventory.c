#include "inventory/inventory.h"
#include "config/config.h"

#include <stdio.h>
#include <string.h>

int lmn_inventory_type(const struct lmn_inventory *inventory, const char *name)
{
    for (unsigned i = 0; i < inventory->ntypes; i++)
        if (!strcmp(inventory->types[i].name, name))
            return (int)i;
    return -1;
}

const struct lmn_slot *lmn_inventory_slot(const struct lmn_inventory *inventory,
                                          const char *name)
{
    for (unsigned i = 0; i < inventory->nslots; i++)
        if (!strcmp(inventory->slots[i].name, name))
            return &inventory->slots[i];
    return NULL;
}

static const char *at(char *path, const char *table, guint i, const char *field)
{
    g_snprintf(path, 160, "%s[%u]%s%s", table, i, *field ? "." : "", field);
    return path;
}

static void read_type(struct lmn_config *config, struct lmn_inventory *inventory, guint i)
{
    struct lmn_machine_type *type = &inventory->types[inventory->ntypes];
    char p[160];

    g_strlcpy(type->name, lmn_config_name(config, at(p, "types", i, "name"), NULL),
              sizeof type->name);
    if (lmn_inventory_type(inventory, type->name) >= 0)
        lmn_config_fail(config, p, "named twice");
    type->cpus = lmn_config_number(config, at(p, "types", i, "cpus"), 1, 0.01, 1e5);
    type->gpus = lmn_config_number(config, at(p, "types", i, "gpus"), 0, 0, 1e4);
    type->memory_gb = lmn_config_number(config, at(p, "types", i, "mem_gb"), 1, 0, 1e6);
    type->cache_gb = lmn_config_number(config, at(p, "types", i, "cache_gb"), 10, 0, 1e6);
    type->pull_gb_per_s =
        lmn_config_number(config, at(p, "types", i, "pull_gb_per_s"), 1, 1e-6, 1e4);
    type->rate = lmn_config_number(config, at(p, "types", i, "rate"), 1, 0, 1e6);
    type->spot_rate =
        lmn_config_number(config, at(p, "types", i, "spot_rate"), type->rate, 0, 1e6);
    type->ready_s = lmn_config_number(config, at(p, "types", i, "ready_s"), 1, 0, 1e5);
    guint n = lmn_config_count(config, at(p, "types", i, "zones"));
    if (n < 1 || n > LMN_MAX_ZONES)
        lmn_config_fail(config, p, "expected 1 to %d names of zones", LMN_MAX_ZONES);
    for (guint k = 0; k < n && k < LMN_MAX_ZONES; k++) {
        char zone[160];
        g_snprintf(zone, sizeof zone, "types[%u].zones[%u]", i, k);
        g_strlcpy(type->zones[type->zone_count++], lmn_config_name(config, zone, NULL),
                  LMN_NAME_SIZE);
    }
    inventory->ntypes++;
}

/* The type and zone of a pool or slot, which must belong together. */
static int read_place(struct lmn_config *config, const struct lmn_inventory *inventory,
                      const char *table, guint i, char *zone)
{
    char p[160];
    const char *name = lmn_config_name(config, at(p, table, i, "type"), NULL);
    int type = lmn_inventory_type(inventory, name);
    bool there = false;

    if (type < 0)
        lmn_config_fail(config, p, "there is no type '%s' in [[types]]", name);
    const struct lmn_machine_type *t = type < 0 ? NULL : &inventory->types[type];
    g_strlcpy(zone,
              lmn_config_name(config, at(p, table, i, "zone"), t ? t->zones[0] : NULL),
              LMN_NAME_SIZE);
    for (int k = 0; t && k < t->zone_count; k++)
        there = there || !strcmp(t->zones[k], zone);
    if (t && !there)
        lmn_config_fail(config, p, "type '%s' has no zone '%s'", t->name, zone);
    return type;
}

static void read_pool(struct lmn_config *config, struct lmn_inventory *inventory, guint i)
{
    struct lmn_pool *pool = &inventory->pools[inventory->npools++];
    char p[160];

    pool->type = read_place(config, inventory, "pools", i, pool->zone);
    pool->spot = lmn_config_bool(config, at(p, "pools", i, "spot"), false);
    pool->count =
        (unsigned)lmn_config_number(config, at(p, "pools", i, "count"), 1, 0, 1e6);
}

static void read_slot(struct lmn_config *config, struct lmn_inventory *inventory, guint i)
{
    struct lmn_slot *s = &inventory->slots[inventory->nslots];
    char p[160];

    g_strlcpy(s->name, lmn_config_name(config, at(p, "machines", i, "name"), NULL),
              sizeof s->name);
    if (lmn_inventory_slot(inventory, s->name))
        lmn_config_fail(config, p, "named twice");
    s->type = read_place(config, inventory, "machines", i, s->zone);
    s->spot = lmn_config_bool(config, at(p, "machines", i, "spot"), false);
    inventory->nslots++;
}

static int fill(struct lmn_config *config, struct lmn_inventory *inventory, char *err,
                size_t len)
{
    guint types = lmn_config_count(config, "types"),
          pools = lmn_config_count(config, "pools");
    guint slots = lmn_config_count(config, "machines");

    memset(inventory, 0, sizeof *inventory);
    if (types < 1 || types > LMN_MAX_TYPES)
        lmn_config_fail(config, "types", "expected 1 to %d tables [[types]]",
                        LMN_MAX_TYPES);
    if (pools > LMN_MAX_POOLS)
        lmn_config_fail(config, "pools", "expected at most %d tables", LMN_MAX_POOLS);
    if (slots > LMN_MAX_SLOTS)
        lmn_config_fail(config, "machines", "expected at most %d tables", LMN_MAX_SLOTS);
    inventory->slots = g_new0(struct lmn_slot, MIN(slots, LMN_MAX_SLOTS) + 1);
    for (guint i = 0; i < MIN(types, LMN_MAX_TYPES); i++)
        read_type(config, inventory, i);
    for (guint i = 0; i < MIN(pools, LMN_MAX_POOLS); i++)
        read_pool(config, inventory, i);
    for (guint i = 0; i < MIN(slots, LMN_MAX_SLOTS); i++)
        read_slot(config, inventory, i);
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
    return config ? fill(config, inventory, err, len) : -1;
}

int lmn_inventory_parse(const char *text, const char *name,
                        struct lmn_inventory *inventory, char *err, size_t len)
{
    struct lmn_config *config = lmn_config_parse(text, name, err, len);
    return config ? fill(config, inventory, err, len) : -1;
}

void lmn_inventory_clear(struct lmn_inventory *inventory)
{
    g_free(inventory->slots);
    memset(inventory, 0, sizeof *inventory);
}
