#include "inventory/inventory.h"
#include "config/config.h"

#include <stdio.h>
#include <string.h>

int lmn_inventory_type(const struct lmn_inventory *v, const char *name)
{
    for (unsigned i = 0; i < v->ntypes; i++)
        if (!strcmp(v->types[i].name, name))
            return (int)i;
    return -1;
}

const struct lmn_slot *lmn_inventory_slot(const struct lmn_inventory *v, const char *name)
{
    for (unsigned i = 0; i < v->nslots; i++)
        if (!strcmp(v->slots[i].name, name))
            return &v->slots[i];
    return NULL;
}

static const char *at(char *path, const char *table, guint i, const char *field)
{
    g_snprintf(path, 160, "%s[%u]%s%s", table, i, *field ? "." : "", field);
    return path;
}

static void read_type(struct lmn_config *c, struct lmn_inventory *v, guint i)
{
    struct lmn_machine_type *t = &v->types[v->ntypes];
    char p[160];

    g_strlcpy(t->name, lmn_config_name(c, at(p, "types", i, "name"), NULL),
              sizeof t->name);
    if (lmn_inventory_type(v, t->name) >= 0)
        lmn_config_fail(c, p, "named twice");
    t->cpus = lmn_config_number(c, at(p, "types", i, "cpus"), 1, 0.01, 1e5);
    t->gpus = lmn_config_number(c, at(p, "types", i, "gpus"), 0, 0, 1e4);
    t->mem = lmn_config_number(c, at(p, "types", i, "mem_gb"), 1, 0, 1e6);
    t->cache_gb = lmn_config_number(c, at(p, "types", i, "cache_gb"), 10, 0, 1e6);
    t->pull = lmn_config_number(c, at(p, "types", i, "pull_gb_per_s"), 1, 1e-6, 1e4);
    t->rate = lmn_config_number(c, at(p, "types", i, "rate"), 1, 0, 1e6);
    t->spot_rate = lmn_config_number(c, at(p, "types", i, "spot_rate"), t->rate, 0, 1e6);
    t->ready_s = lmn_config_number(c, at(p, "types", i, "ready_s"), 1, 0, 1e5);
    guint n = lmn_config_count(c, at(p, "types", i, "zones"));
    if (n < 1 || n > LMN_MAX_ZONES)
        lmn_config_fail(c, p, "expected 1 to %d names of zones", LMN_MAX_ZONES);
    for (guint k = 0; k < n && k < LMN_MAX_ZONES; k++) {
        char zone[160];
        g_snprintf(zone, sizeof zone, "types[%u].zones[%u]", i, k);
        g_strlcpy(t->zones[t->nzones++], lmn_config_name(c, zone, NULL), LMN_NAME_SIZE);
    }
    v->ntypes++;
}

/* The type and zone of a pool or slot, which must belong together. */
static int read_place(struct lmn_config *c, const struct lmn_inventory *v,
                      const char *table, guint i, char *zone)
{
    char p[160];
    const char *name = lmn_config_name(c, at(p, table, i, "type"), NULL);
    int type = lmn_inventory_type(v, name);
    bool there = false;

    if (type < 0)
        lmn_config_fail(c, p, "there is no type '%s' in [[types]]", name);
    const struct lmn_machine_type *t = type < 0 ? NULL : &v->types[type];
    g_strlcpy(zone, lmn_config_name(c, at(p, table, i, "zone"), t ? t->zones[0] : NULL),
              LMN_NAME_SIZE);
    for (int k = 0; t && k < t->nzones; k++)
        there = there || !strcmp(t->zones[k], zone);
    if (t && !there)
        lmn_config_fail(c, p, "type '%s' has no zone '%s'", t->name, zone);
    return type;
}

static void read_pool(struct lmn_config *c, struct lmn_inventory *v, guint i)
{
    struct lmn_pool *q = &v->pools[v->npools++];
    char p[160];

    q->type = read_place(c, v, "pools", i, q->zone);
    q->spot = lmn_config_bool(c, at(p, "pools", i, "spot"), false);
    q->count = (unsigned)lmn_config_number(c, at(p, "pools", i, "count"), 1, 0, 1e6);
}

static void read_slot(struct lmn_config *c, struct lmn_inventory *v, guint i)
{
    struct lmn_slot *s = &v->slots[v->nslots];
    char p[160];

    g_strlcpy(s->name, lmn_config_name(c, at(p, "machines", i, "name"), NULL),
              sizeof s->name);
    if (lmn_inventory_slot(v, s->name))
        lmn_config_fail(c, p, "named twice");
    s->type = read_place(c, v, "machines", i, s->zone);
    s->spot = lmn_config_bool(c, at(p, "machines", i, "spot"), false);
    v->nslots++;
}

static int fill(struct lmn_config *c, struct lmn_inventory *v, char *err, size_t len)
{
    guint types = lmn_config_count(c, "types"), pools = lmn_config_count(c, "pools");
    guint slots = lmn_config_count(c, "machines");

    memset(v, 0, sizeof *v);
    if (types < 1 || types > LMN_MAX_TYPES)
        lmn_config_fail(c, "types", "expected 1 to %d tables [[types]]", LMN_MAX_TYPES);
    if (pools > LMN_MAX_POOLS)
        lmn_config_fail(c, "pools", "expected at most %d tables", LMN_MAX_POOLS);
    if (slots > LMN_MAX_SLOTS)
        lmn_config_fail(c, "machines", "expected at most %d tables", LMN_MAX_SLOTS);
    v->slots = g_new0(struct lmn_slot, MIN(slots, LMN_MAX_SLOTS) + 1);
    for (guint i = 0; i < MIN(types, LMN_MAX_TYPES); i++)
        read_type(c, v, i);
    for (guint i = 0; i < MIN(pools, LMN_MAX_POOLS); i++)
        read_pool(c, v, i);
    for (guint i = 0; i < MIN(slots, LMN_MAX_SLOTS); i++)
        read_slot(c, v, i);
    int rc = lmn_config_finish(c, err, len);
    if (rc != 0)
        lmn_inventory_clear(v);
    lmn_config_free(c);
    return rc;
}

int lmn_inventory_load(const char *path, struct lmn_inventory *v, char *err, size_t len)
{
    struct lmn_config *c = lmn_config_load(path, err, len);
    return c ? fill(c, v, err, len) : -1;
}

int lmn_inventory_parse(const char *text, const char *name, struct lmn_inventory *v,
                        char *err, size_t len)
{
    struct lmn_config *c = lmn_config_parse(text, name, err, len);
    return c ? fill(c, v, err, len) : -1;
}

void lmn_inventory_clear(struct lmn_inventory *v)
{
    g_free(v->slots);
    memset(v, 0, sizeof *v);
}
