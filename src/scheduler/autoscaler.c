#include "scheduler/autoscaler.h"
#include "scheduler/fair_share.h"
#include "admission/connection_budget.h"
#include "state/core.h"

#include <math.h>
#include <string.h>

void lmn_autoscaler_init(struct lmn_autoscaler *autoscaler)
{
    autoscaler->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    autoscaler->backoffs = g_array_new(FALSE, FALSE, sizeof(struct lmn_capacity_backoff));
    autoscaler->boot_times = g_array_new(FALSE, FALSE, sizeof(struct lmn_boot_time));
}

/* Boots usually take up to 1.5 times what the type says (the protocol). */
static const double USUAL = 1.5;
/* How much the last boot counts. */
static const double LAST = 0.2;

static struct lmn_boot_time *boots(const struct lmn_autoscaler *autoscaler,
                                   const char *type, const char *zone)
{
    for (guint i = 0; i < autoscaler->boot_times->len; i++) {
        struct lmn_boot_time *boot_time =
            &g_array_index(autoscaler->boot_times, struct lmn_boot_time, i);
        if (!strcmp(boot_time->type, type) && !strcmp(boot_time->zone, zone))
            return boot_time;
    }
    return NULL;
}

void lmn_autoscaler_record_boot(struct lmn_autoscaler *autoscaler,
                                const struct lmn_cloud_machine *machine, double age_s)
{
    struct lmn_boot_time *boot_time = boots(autoscaler, machine->type, machine->zone),
                         new = {.typical_s = age_s};

    if (boot_time) {
        boot_time->typical_s += (age_s - boot_time->typical_s) * LAST;
        return;
    }
    g_strlcpy(new.type, machine->type, sizeof new.type);
    g_strlcpy(new.zone, machine->zone, sizeof new.zone);
    g_array_append_val(autoscaler->boot_times, new);
}

double lmn_autoscaler_boot_timeout_s(const struct lmn_autoscaler *autoscaler,
                                     const struct lmn_machine_type *type,
                                     const char *zone, double lag_s)
{
    const struct lmn_boot_time *boot_time = boots(autoscaler, type->name, zone);

    return USUAL * MAX(type->ready_s, boot_time ? boot_time->typical_s : 0) + 2 * lag_s;
}

/* Machines of one type and zone. */
struct kind {
    const struct lmn_machine_type *type;
    const char *zone;
    unsigned all, late;
};

/* Processors that a few late ones will not bring: they are rented once more. Where many
 * are late it is the cloud that is slow, and more of them would be no sooner there. */
static void count_late(const struct lmn_core *core,
                       const struct lmn_autoscaler *autoscaler, double *late,
                       double *late_ordinary, struct timespec now)
{
    GArray *kinds = g_array_new(FALSE, FALSE, sizeof(struct kind));
    GHashTableIter it;
    gpointer v;

    for (int pass = 0; pass < 2; pass++) {
        g_hash_table_iter_init(&it, autoscaler->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_cloud_machine *machine = v;
            const struct lmn_machine_type *type =
                lmn_machine_type_by_name(core, machine->type);
            struct kind *k = NULL, new = {type, machine->zone, 0, 0};
            if (!type || machine->is_broken)
                continue;
            for (guint i = 0; i < kinds->len && !k; i++) {
                struct kind *x = &g_array_index(kinds, struct kind, i);
                k = x->type == type && !strcmp(x->zone, machine->zone) ? x : NULL;
            }
            if (!k) {
                g_array_append_val(kinds, new);
                k = &g_array_index(kinds, struct kind, kinds->len - 1);
            }
            bool is_late =
                machine->is_booting &&
                lmn_time_diff_s(now, machine->rented_at) >
                    lmn_autoscaler_boot_timeout_s(autoscaler, type, machine->zone,
                                                  core->settings->list_lag_s);
            if (!pass) {
                k->all++;
                k->late += is_late;
            } else if (is_late && 4 * k->late <= k->all) {
                *late += type->cpus;
                *late_ordinary += machine->is_spot ? 0 : type->cpus;
            }
        }
    }
    g_array_free(kinds, TRUE);
}

struct want {
    const struct lmn_job_spec *spec;
    int team;
    bool cheap; /* cheap machines only */
    double cpus, gpus, mem;
};

/* A team's work runs on no more than its limit, however much of it waits: what it wants
 * beyond that is not rented for. Else, with limits far below the demand, thousands of
 * machines were rented, found nothing that might start, went back as idle, and were
 * rented again. All its ranges are cut alike: which of them goes first is not decided
 * here. */
static void bound_by_limits(const struct lmn_core *core, GArray *a)
{
    double *cpus = g_new0(double, core->settings->team_count);
    double *gpus = g_new0(double, core->settings->team_count);

    for (guint i = 0; i < a->len; i++) {
        const struct want *w = &g_array_index(a, struct want, i);
        cpus[w->team] += w->cpus;
        gpus[w->team] += w->gpus;
    }
    for (guint i = 0; i < a->len; i++) {
        struct want *w = &g_array_index(a, struct want, i);
        const struct lmn_team *team = &core->settings->teams[w->team];
        double part = 1;
        if (team->cpus_max > 0 && cpus[w->team] > team->cpus_max)
            part = team->cpus_max / cpus[w->team];
        if (team->gpus_max > 0 && gpus[w->team] > team->gpus_max)
            part = MIN(part, team->gpus_max / gpus[w->team]);
        w->cpus *= part;
        w->mem *= part;
    }
    g_free(cpus);
    g_free(gpus);
}

/* Whether no ordinary machine is worth renting for it. */
static bool cheap_only(const struct lmn_core *core, const struct lmn_job_spec *spec)
{
    for (size_t i = 0; i < core->cloud.machine_types.n; i++)
        if (!lmn_is_spot_only(core->settings, spec, &core->cloud.machine_types.v[i]))
            return false;
    return core->cloud.machine_types.n > 0;
}

/* Processors that each open range could use: all of a service's, and of an array as many
 * as work it off within the horizon. */
static GArray *wants(const struct lmn_core *core, bool cheap)
{
    GArray *a = g_array_new(FALSE, FALSE, sizeof(struct want));
    double horizon = core->cache.operator_settings.horizon_s;
    GHashTableIter it;
    gpointer v;

    for (int i = 0; i < core->partition_count; i++) {
        g_hash_table_iter_init(&it, core->partitions[i].ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_range *range = v;
            const struct lmn_job_spec *spec = &range->job->spec;
            double left =
                range->end - range->first -
                (range->task_states ? range->finished_count : range->done_count);
            if (range->job->phase != LMN_JOB_ACTIVE || left <= 0 || range->job->team < 0)
                continue;
            if (spec->kind == LMN_JOB_BATCH)
                left = MIN(left, MAX(left * MAX(spec->estimate_s, 1) / horizon, 1));
            if (lmn_job_is_faulty(&range->job->failures))
                left = MIN(left, 1); /* its only try */
            struct want w = {spec,
                             range->job->team,
                             cheap && cheap_only(core, spec),
                             left * spec->cpus,
                             left * spec->gpus,
                             left * spec->memory_gb};
            g_array_append_val(a, w);
        }
    }
    bound_by_limits(core, a);
    return a;
}

static struct lmn_capacity_backoff *refusal(struct lmn_autoscaler *autoscaler,
                                            const char *type, const char *zone, bool spot)
{
    for (guint i = 0; i < autoscaler->backoffs->len; i++) {
        struct lmn_capacity_backoff *backoff =
            &g_array_index(autoscaler->backoffs, struct lmn_capacity_backoff, i);
        if (backoff->is_spot == spot && !strcmp(backoff->type, type) &&
            !strcmp(backoff->zone, zone))
            return backoff;
    }
    return NULL;
}

void lmn_autoscaler_record_result(struct lmn_autoscaler *autoscaler,
                                  const struct lmn_provision_request *request,
                                  unsigned got, struct timespec now)
{
    struct lmn_capacity_backoff *old =
        refusal(autoscaler, request->type, request->zone, request->is_spot);

    if (got >= request->count) {
        if (old)
            old->wait_s = 0;
        return;
    }
    if (!old) {
        struct lmn_capacity_backoff n = {.is_spot = request->is_spot};
        g_strlcpy(n.type, request->type, sizeof n.type);
        g_strlcpy(n.zone, request->zone, sizeof n.zone);
        g_array_append_val(autoscaler->backoffs, n);
        old = &g_array_index(autoscaler->backoffs, struct lmn_capacity_backoff,
                             autoscaler->backoffs->len - 1);
    }
    old->wait_s = got ? 8 : CLAMP(old->wait_s * 2, 8, 32);
    old->until = lmn_time_add(now, old->wait_s);
}

/* The cheapest that serves the deficit, of which ordinary machines may serve no more than
 * `dear`; returns its cost, or infinity. */
static double choose(const struct lmn_core *core, struct lmn_autoscaler *autoscaler,
                     const GArray *w, double deficit, double dear, bool any, bool first,
                     struct lmn_provision_request *out, struct timespec now)
{
    double best = INFINITY;

    for (size_t i = 0; i < core->cloud.machine_types.n; i++)
        for (int z = 0; z < core->cloud.machine_types.v[i].zone_count; z++)
            for (int spot = 0; spot <= (any && core->cache.operator_settings.spot >= 0.5);
                 spot++) {
                const struct lmn_machine_type *type = &core->cloud.machine_types.v[i];
                const struct lmn_capacity_backoff *backoff =
                    refusal(autoscaler, type->name, type->zones[z], spot);
                double cpus = 0, mem = 0;
                if (backoff && backoff->wait_s > 0 &&
                    lmn_time_before(now, backoff->until))
                    continue;
                for (guint k = 0; k < w->len; k++) {
                    const struct want *x = &g_array_index(w, struct want, k);
                    if ((spot || !x->cheap) &&
                        lmn_job_spec_allows(x->spec, type, type->zones[z], spot)) {
                        cpus += x->cpus;
                        mem += x->mem;
                    }
                }
                double most = MIN(deficit, cpus);
                if (!spot)
                    most = MIN(most, dear);
                if (most < 1)
                    continue;
                double usable =
                    MIN(type->cpus, mem > 0 ? type->memory_gb * cpus / mem : type->cpus);
                double rate = spot ? type->spot_rate : type->rate;
                /* Time lost to booting is paid for, and waited for. */
                double cost = rate / usable * (1 + type->ready_s / 120);
                if (cost >= best)
                    continue;
                best = cost;
                g_strlcpy(out->type, type->name, sizeof out->type);
                g_strlcpy(out->zone, type->zones[z], sizeof out->zone);
                out->is_spot = spot;
                double n = most / usable;
                out->count = (unsigned)CLAMP(first ? ceil(n) : floor(n + 0.5), 0, 50);
            }
    return best;
}

/* How far behind a node may be that rents. */
static const double BEHIND_S = 1;

bool lmn_autoscaler_decide(struct lmn_core *core, struct lmn_autoscaler *autoscaler,
                           struct lmn_provision_request *out, struct timespec now)
{
    double need = core->cache.operator_settings.spare_cpus, need_ordinary = 0, have = 0,
           have_ordinary = 0;
    double best = INFINITY, machines = 0, need_cheap = 0;
    bool refused = core->cache.operator_settings.spot < 0.5;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, autoscaler->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_cloud_machine *machine = v;
        const struct lmn_machine_type *type =
            lmn_machine_type_by_name(core, machine->type);
        machines++;
        if (machine->is_broken || !type)
            continue;
        have += type->cpus;
        if (!machine->is_spot)
            have_ordinary += type->cpus;
    }
    double late = 0, late_ordinary = 0;
    count_late(core, autoscaler, &late, &late_ordinary, now);
    have -= late;
    have_ordinary -= late_ordinary;
    for (guint i = 0; i < autoscaler->backoffs->len; i++)
        refused =
            refused ||
            g_array_index(autoscaler->backoffs, struct lmn_capacity_backoff, i).is_spot;
    /* Where no cheap machine can be had at all, idle work takes what there is. */
    GArray *w = wants(core, !refused || have > have_ordinary);
    for (guint i = 0; i < w->len; i++) {
        const struct want *x = &g_array_index(w, struct want, i);
        need += x->cpus;
        need_cheap += x->cheap ? x->cpus : 0;
        if (!x->spec->may_use_spot)
            need_ordinary += x->cpus;
    }
    double heard =
        lmn_connection_budget_max_machines(&core->connection_budget, core->settings) -
        machines;
    /* A machine that can't be heard runs nothing, and those that are heard have enough to
     * wait for while the node is behind. */
    if (heard < 1 || core->load.delay_s > BEHIND_S) {
        g_array_free(w, TRUE);
        return false;
    }
    /* Ordinary machines for the work that must have them, and whatever is cheapest for
     * the rest: the larger deficit first, since calls are few; where the one can't be
     * had, the other. */
    double ordinary = need_ordinary - have_ordinary, all = need - have;
    bool any = all - MAX(ordinary, 0) > ordinary;
    for (int turn = 0; turn < 2 && best == INFINITY; turn++, any = !any) {
        /* What only ordinary machines can do is theirs to rent, while they can be had. */
        double deficit = !any ? ordinary : turn ? all : all - MAX(ordinary, 0);
        /* Of what any may serve: what cheap machines leave, once those that may use no
         * others have theirs. */
        double left = MAX(have - have_ordinary - need_cheap, 0);
        double dear = any ? need - need_cheap - have_ordinary - left : ordinary;
        if (deficit >= 1)
            best = choose(core, autoscaler, w, deficit, dear, any, have <= 0, out, now);
    }
    g_array_free(w, TRUE);
    if (best < INFINITY)
        out->count = (unsigned)MIN(out->count, heard);
    return best < INFINITY && out->count > 0;
}
