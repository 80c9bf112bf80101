#include "emulator/cloud.h"
#include "protocol/wire.h"

#include <math.h>
#include <string.h>

/* A machine that dies stays listed as running so long. */
static const double DEATH_SEEN_S = 30;
static const double SLOW_BOOT = 4, SPOT_PRICE_S = 120;

void lmn_emu_cloud_init(struct lmn_emu_cloud *c, const struct lmn_inventory *v,
                        uint32_t seed)
{
    memset(c, 0, sizeof *c);
    c->v = v;
    c->knobs = lmn_emulator_faults_default;
    c->rng = g_rand_new_with_seed(seed);
    c->machines = g_ptr_array_new_with_free_func(g_free);
    c->requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_ptr_array_unref);
}

void lmn_emu_cloud_clear(struct lmn_emu_cloud *c)
{
    g_rand_free(c->rng);
    g_ptr_array_free(c->machines, TRUE);
    g_hash_table_destroy(c->requests);
}

static bool chance(struct lmn_emu_cloud *c, double p)
{
    return p > 0 && g_rand_double(c->rng) < p;
}

bool lmn_emu_machine_lives(const struct lmn_emu_machine *m, double now)
{
    return m->up <= now && m->gone > now && m->dead > now && !(m->taken <= now);
}

/* It is charged, and takes its place: rented, and not given back, dead or taken. */
static bool held(const struct lmn_emu_machine *m, double now)
{
    return m->gone > now && m->dead > now && m->taken > now;
}

struct lmn_emu_machine *lmn_emu_cloud_machine(const struct lmn_emu_cloud *c,
                                              const char *name)
{
    for (guint i = 0; i < c->machines->len; i++) {
        struct lmn_emu_machine *m = c->machines->pdata[i];
        if (!strcmp(m->name, name))
            return m;
    }
    return NULL;
}

static unsigned left(const struct lmn_emu_cloud *c, const struct lmn_rental_request *q,
                     int type, double now)
{
    unsigned all = 0, used = 0;

    for (unsigned i = 0; i < c->v->npools; i++) {
        const struct lmn_pool *p = &c->v->pools[i];
        if (p->type == type && p->spot == q->spot && !strcmp(p->zone, q->zone))
            all += (unsigned)floor(p->count * c->knobs.capacity);
    }
    for (guint i = 0; i < c->machines->len; i++) {
        const struct lmn_emu_machine *m = c->machines->pdata[i];
        used += held(m, now) && m->type == type && m->spot == q->spot &&
                !strcmp(m->zone, q->zone);
    }
    return all > used ? all - used : 0;
}

static double boot_time(struct lmn_emu_cloud *c, const struct lmn_machine_type *t)
{
    if (chance(c, c->knobs.boot_never))
        return INFINITY;
    double s = t->ready_s * c->knobs.boot * (0.6 + 0.9 * g_rand_double(c->rng));
    return chance(c, c->knobs.boot_slow) ? s * SLOW_BOOT : s;
}

int lmn_emu_cloud_rent(struct lmn_emu_cloud *c, const struct lmn_rental_request *q,
                       GPtrArray *names, double now)
{
    int type = lmn_inventory_type(c->v, q->type);
    const GPtrArray *old = g_hash_table_lookup(c->requests, q->request);

    if (c->knobs.outage >= 1)
        return 503;
    if (type < 0)
        return 400;
    if (old) {
        for (guint i = 0; i < old->len; i++)
            g_ptr_array_add(names, g_strdup(old->pdata[i]));
        return 200;
    }
    unsigned n = MIN(left(c, q, type, now), q->count);
    if (!n || chance(c, c->knobs.refuse)) {
        c->refused++;
        return 503;
    }
    GPtrArray *got = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < n; i++) {
        struct lmn_emu_machine *m = g_new0(struct lmn_emu_machine, 1);
        g_snprintf(m->name, sizeof m->name, "host-%06" G_GUINT64_FORMAT, c->number++);
        g_strlcpy(m->zone, q->zone, sizeof m->zone);
        m->type = type;
        m->spot = q->spot;
        m->made = now;
        m->up = now + boot_time(c, &c->v->types[type]);
        m->gone = m->dead = m->taken = INFINITY;
        m->cut = chance(c, c->knobs.cut);
        g_ptr_array_add(c->machines, m);
        g_ptr_array_add(got, g_strdup(m->name));
        g_ptr_array_add(names, g_strdup(m->name));
        c->rented++;
    }
    g_hash_table_insert(c->requests, g_strdup(q->request), got);
    return 200;
}

bool lmn_emu_cloud_return(struct lmn_emu_cloud *c, const char *name, double now)
{
    struct lmn_emu_machine *m = lmn_emu_cloud_machine(c, name);

    if (!m || m->gone <= now)
        return false;
    const struct lmn_machine_type *t = &c->v->types[m->type];
    double until = fmin(now, fmin(m->dead, m->taken));
    c->spent += fmax(until - m->made, 60) / 3600 * (m->spot ? t->spot_rate : t->rate);
    m->gone = now;
    c->returned++;
    return true;
}

void lmn_emu_cloud_list(struct lmn_emu_cloud *c, const char *after,
                        bool (*each)(void *to, const struct lmn_rented_machine *m),
                        void *to, double now)
{
    /* One list, one time that it describes: mostly the lag, sometimes twice that, so that
     * a list may be older than the one before. */
    double lag =
        c->knobs.list_lag_s * (chance(c, 0.1) ? 2 : 0.5 + 0.5 * g_rand_double(c->rng));
    double then = now - lag;

    for (guint i = 0; i < c->machines->len; i++) {
        const struct lmn_emu_machine *m = c->machines->pdata[i];
        struct lmn_rented_machine x = {.spot = m->spot, .age_s = then - m->made};
        if (strcmp(m->name, after) <= 0 || m->made > then || m->gone <= then ||
            m->taken <= then)
            continue;
        g_strlcpy(x.name, m->name, sizeof x.name);
        g_strlcpy(x.addr, m->addr, sizeof x.addr);
        g_strlcpy(x.type, c->v->types[m->type].name, sizeof x.type);
        g_strlcpy(x.zone, m->zone, sizeof x.zone);
        x.state = m->dead + DEATH_SEEN_S <= then ? WIRE_BROKEN
                  : m->up <= then                ? WIRE_RUNNING
                                                 : WIRE_BOOTING;
        if (!each(to, &x))
            return;
    }
}

void lmn_emu_cloud_types(struct lmn_emu_cloud *c,
                         void (*each)(void *to, const struct lmn_machine_type *t),
                         void *to, double now)
{
    for (unsigned i = 0; i < c->v->ntypes; i++) {
        struct lmn_machine_type t = c->v->types[i];
        /* Each moves by itself, slowly. */
        t.spot_rate *= 1 + c->knobs.price_wobble * sin(now / SPOT_PRICE_S + 2.1 * i);
        each(to, &t);
    }
}

static void take(struct lmn_emu_cloud *c, struct lmn_emu_machine *m, double now)
{
    double notice = c->knobs.notice_s * (0.5 + g_rand_double(c->rng));
    bool without = chance(c, c->knobs.no_notice);

    m->taken = without ? now : now + notice;
    m->told = without;
    c->taken++;
}

int lmn_emu_cloud_set(struct lmn_emu_cloud *c, const char *name, double value, double now,
                      char *err, size_t len)
{
    if (lmn_emulator_fault_set(&c->knobs, name, value, err, len) != 0)
        return -1;
    for (guint i = 0; i < c->machines->len; i++) {
        struct lmn_emu_machine *m = c->machines->pdata[i];
        if (!held(m, now))
            continue;
        if (!strcmp(name, "cut"))
            m->cut = chance(c, value);
        if (!strcmp(name, "take") && m->spot && chance(c, value))
            take(c, m, now);
        if (!strcmp(name, "hang") && chance(c, value))
            m->hang_until = now + c->knobs.hang_s;
        if (!strcmp(name, "die") && chance(c, value)) {
            m->dead = now;
            c->died++;
        }
    }
    return 0;
}

void lmn_emu_cloud_pass(struct lmn_emu_cloud *c, double now)
{
    double kept = 4 * c->knobs.list_lag_s + 5;

    for (guint i = c->machines->len; i-- > 0;) {
        const struct lmn_emu_machine *m = c->machines->pdata[i];
        if (!m->worker && fmin(m->gone, m->taken) + kept < now)
            g_ptr_array_remove_index(c->machines, i);
    }
}
