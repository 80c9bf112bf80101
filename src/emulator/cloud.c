#include "emulator/cloud.h"
#include "protocol/wire.h"

#include <math.h>
#include <string.h>

/* A machine that dies stays listed as running so long. */
static const double DEATH_SEEN_S = 30;
static const double SLOW_BOOT = 4, SPOT_PRICE_S = 120;

void lmn_emu_cloud_init(struct lmn_emu_cloud *cloud,
                        const struct lmn_inventory *inventory, uint32_t seed)
{
    memset(cloud, 0, sizeof *cloud);
    cloud->v = inventory;
    cloud->knobs = lmn_emulator_faults_default;
    cloud->rng = g_rand_new_with_seed(seed);
    cloud->machines = g_ptr_array_new_with_free_func(g_free);
    cloud->requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_ptr_array_unref);
}

void lmn_emu_cloud_clear(struct lmn_emu_cloud *cloud)
{
    g_rand_free(cloud->rng);
    g_ptr_array_free(cloud->machines, TRUE);
    g_hash_table_destroy(cloud->requests);
}

static bool chance(struct lmn_emu_cloud *cloud, double p)
{
    return p > 0 && g_rand_double(cloud->rng) < p;
}

bool lmn_emu_machine_lives(const struct lmn_emu_machine *machine, double now)
{
    return machine->up <= now && machine->gone > now && machine->dead > now &&
           !(machine->taken <= now);
}

/* It is charged, and takes its place: rented, and not given back, dead or taken. */
static bool held(const struct lmn_emu_machine *machine, double now)
{
    return machine->gone > now && machine->dead > now && machine->taken > now;
}

struct lmn_emu_machine *lmn_emu_cloud_machine(const struct lmn_emu_cloud *cloud,
                                              const char *name)
{
    for (guint i = 0; i < cloud->machines->len; i++) {
        struct lmn_emu_machine *machine = cloud->machines->pdata[i];
        if (!strcmp(machine->name, name))
            return machine;
    }
    return NULL;
}

static unsigned left(const struct lmn_emu_cloud *cloud,
                     const struct lmn_rental_request *q, int type, double now)
{
    unsigned all = 0, used = 0;

    for (unsigned i = 0; i < cloud->v->pool_count; i++) {
        const struct lmn_pool *pool = &cloud->v->pools[i];
        if (pool->type == type && pool->spot == q->is_spot &&
            !strcmp(pool->zone, q->zone))
            all += (unsigned)floor(pool->count * cloud->knobs.capacity);
    }
    for (guint i = 0; i < cloud->machines->len; i++) {
        const struct lmn_emu_machine *machine = cloud->machines->pdata[i];
        used += held(machine, now) && machine->type == type &&
                machine->spot == q->is_spot && !strcmp(machine->zone, q->zone);
    }
    return all > used ? all - used : 0;
}

static double boot_time(struct lmn_emu_cloud *cloud, const struct lmn_machine_type *type)
{
    if (chance(cloud, cloud->knobs.boot_never))
        return INFINITY;
    double seconds =
        type->boot_s * cloud->knobs.boot * (0.6 + 0.9 * g_rand_double(cloud->rng));
    return chance(cloud, cloud->knobs.boot_slow) ? seconds * SLOW_BOOT : seconds;
}

int lmn_emu_cloud_rent(struct lmn_emu_cloud *cloud, const struct lmn_rental_request *q,
                       GPtrArray *names, double now)
{
    int type = lmn_inventory_type(cloud->v, q->type);
    const GPtrArray *old = g_hash_table_lookup(cloud->requests, q->request);

    if (cloud->knobs.outage >= 1)
        return 503;
    if (type < 0)
        return 400;
    if (old) {
        for (guint i = 0; i < old->len; i++)
            g_ptr_array_add(names, g_strdup(old->pdata[i]));
        return 200;
    }
    unsigned n = MIN(left(cloud, q, type, now), q->count);
    if (!n || chance(cloud, cloud->knobs.refuse)) {
        cloud->refused++;
        return 503;
    }
    GPtrArray *got = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < n; i++) {
        struct lmn_emu_machine *machine = g_new0(struct lmn_emu_machine, 1);
        g_snprintf(machine->name, sizeof machine->name, "host-%06" G_GUINT64_FORMAT,
                   cloud->number++);
        g_strlcpy(machine->zone, q->zone, sizeof machine->zone);
        machine->type = type;
        machine->spot = q->is_spot;
        machine->made = now;
        machine->up = now + boot_time(cloud, &cloud->v->types[type]);
        machine->gone = machine->dead = machine->taken = INFINITY;
        machine->cut = chance(cloud, cloud->knobs.cut);
        g_ptr_array_add(cloud->machines, machine);
        g_ptr_array_add(got, g_strdup(machine->name));
        g_ptr_array_add(names, g_strdup(machine->name));
        cloud->rented++;
    }
    g_hash_table_insert(cloud->requests, g_strdup(q->request), got);
    return 200;
}

bool lmn_emu_cloud_return(struct lmn_emu_cloud *cloud, const char *name, double now)
{
    struct lmn_emu_machine *machine = lmn_emu_cloud_machine(cloud, name);

    if (!machine || machine->gone <= now)
        return false;
    const struct lmn_machine_type *type = &cloud->v->types[machine->type];
    double until = fmin(now, fmin(machine->dead, machine->taken));
    cloud->spent += fmax(until - machine->made, 60) / 3600 *
                    (machine->spot ? type->spot_price_per_hour : type->price_per_hour);
    machine->gone = now;
    cloud->returned++;
    return true;
}

void lmn_emu_cloud_list(struct lmn_emu_cloud *cloud, const char *after,
                        bool (*each)(void *to, const struct lmn_rented_machine *m),
                        void *to, double now)
{
    /* One list, one time that it describes: mostly the lag, sometimes twice that, so that
     * a list may be older than the one before. */
    double lag = cloud->knobs.list_lag_s *
                 (chance(cloud, 0.1) ? 2 : 0.5 + 0.5 * g_rand_double(cloud->rng));
    double then = now - lag;

    for (guint i = 0; i < cloud->machines->len; i++) {
        const struct lmn_emu_machine *machine = cloud->machines->pdata[i];
        struct lmn_rented_machine x = {.is_spot = machine->spot,
                                       .age_s = then - machine->made};
        if (strcmp(machine->name, after) <= 0 || machine->made > then ||
            machine->gone <= then || machine->taken <= then)
            continue;
        g_strlcpy(x.name, machine->name, sizeof x.name);
        g_strlcpy(x.address, machine->addr, sizeof x.address);
        g_strlcpy(x.type, cloud->v->types[machine->type].name, sizeof x.type);
        g_strlcpy(x.zone, machine->zone, sizeof x.zone);
        x.state = machine->dead + DEATH_SEEN_S <= then ? WIRE_BROKEN
                  : machine->up <= then                ? WIRE_RUNNING
                                                       : WIRE_BOOTING;
        if (!each(to, &x))
            return;
    }
}

void lmn_emu_cloud_types(struct lmn_emu_cloud *cloud,
                         void (*each)(void *to, const struct lmn_machine_type *type),
                         void *to, double now)
{
    for (unsigned i = 0; i < cloud->v->type_count; i++) {
        struct lmn_machine_type t = cloud->v->types[i];
        /* Each moves by itself, slowly. */
        t.spot_price_per_hour *=
            1 + cloud->knobs.price_wobble * sin(now / SPOT_PRICE_S + 2.1 * i);
        each(to, &t);
    }
}

static void take(struct lmn_emu_cloud *cloud, struct lmn_emu_machine *machine, double now)
{
    double notice = cloud->knobs.notice_s * (0.5 + g_rand_double(cloud->rng));
    bool without = chance(cloud, cloud->knobs.no_notice);

    machine->taken = without ? now : now + notice;
    machine->told = without;
    cloud->taken++;
}

int lmn_emu_cloud_set(struct lmn_emu_cloud *cloud, const char *name, double value,
                      double now, char *err, size_t len)
{
    if (lmn_emulator_fault_set(&cloud->knobs, name, value, err, len) != 0)
        return -1;
    for (guint i = 0; i < cloud->machines->len; i++) {
        struct lmn_emu_machine *machine = cloud->machines->pdata[i];
        if (!held(machine, now))
            continue;
        if (!strcmp(name, "cut"))
            machine->cut = chance(cloud, value);
        if (!strcmp(name, "take") && machine->spot && chance(cloud, value))
            take(cloud, machine, now);
        if (!strcmp(name, "hang") && chance(cloud, value))
            machine->hang_until = now + cloud->knobs.hang_s;
        if (!strcmp(name, "die") && chance(cloud, value)) {
            machine->dead = now;
            cloud->died++;
        }
    }
    return 0;
}

void lmn_emu_cloud_pass(struct lmn_emu_cloud *cloud, double now)
{
    double kept = 4 * cloud->knobs.list_lag_s + 5;

    for (guint i = cloud->machines->len; i-- > 0;) {
        const struct lmn_emu_machine *machine = cloud->machines->pdata[i];
        if (!machine->worker && fmin(machine->gone, machine->taken) + kept < now)
            g_ptr_array_remove_index(cloud->machines, i);
    }
}
