/** @file
 * The autoscaler's state; see autoscaler_state.h. */
#include "scheduler/autoscaler_state.h"

#include <string.h>

/** By the cloud's protocol, a boot usually takes at most this factor times the machine
 * type's `boot_s`. */
static const double USUAL_BOOT_FACTOR = 1.5;
/** Weight of the latest boot in the moving average of boot times. */
static const double LAST_BOOT_WEIGHT = 0.2;
/** Bounds of the wait before machines that the cloud refused are requested again. */
static const double MIN_BACKOFF_S = 8, MAX_BACKOFF_S = 32;
void lmn_autoscaler_init(struct lmn_autoscaler *autoscaler)
{
    autoscaler->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    autoscaler->backoffs = g_array_new(FALSE, FALSE, sizeof(struct lmn_capacity_backoff));
    autoscaler->boot_times = g_array_new(FALSE, FALSE, sizeof(struct lmn_boot_time));
}

static struct lmn_boot_time *find_boot_time(const struct lmn_autoscaler *autoscaler,
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
    struct lmn_boot_time *boot_time =
        find_boot_time(autoscaler, machine->type, machine->zone);
    struct lmn_boot_time new_boot_time = {.typical_s = age_s};

    if (boot_time) {
        boot_time->typical_s += (age_s - boot_time->typical_s) * LAST_BOOT_WEIGHT;
        return;
    }
    g_strlcpy(new_boot_time.type, machine->type, sizeof new_boot_time.type);
    g_strlcpy(new_boot_time.zone, machine->zone, sizeof new_boot_time.zone);
    g_array_append_val(autoscaler->boot_times, new_boot_time);
}

double lmn_autoscaler_boot_timeout_s(const struct lmn_autoscaler *autoscaler,
                                     const struct lmn_machine_type *type,
                                     const char *zone, double lag_s)
{
    const struct lmn_boot_time *boot_time = find_boot_time(autoscaler, type->name, zone);
    double typical_s = boot_time ? boot_time->typical_s : 0;

    return USUAL_BOOT_FACTOR * MAX(type->boot_s, typical_s) + 2 * lag_s;
}

/* --- backoff after refusals --- */

static struct lmn_capacity_backoff *find_backoff(const struct lmn_autoscaler *autoscaler,
                                                 const char *type, const char *zone,
                                                 bool is_spot)
{
    for (guint i = 0; i < autoscaler->backoffs->len; i++) {
        struct lmn_capacity_backoff *backoff =
            &g_array_index(autoscaler->backoffs, struct lmn_capacity_backoff, i);
        if (backoff->is_spot == is_spot && !strcmp(backoff->type, type) &&
            !strcmp(backoff->zone, zone))
            return backoff;
    }
    return NULL;
}

void lmn_autoscaler_record_result(struct lmn_autoscaler *autoscaler,
                                  const struct lmn_provision_request *request,
                                  unsigned granted, struct timespec now)
{
    struct lmn_capacity_backoff *backoff =
        find_backoff(autoscaler, request->type, request->zone, request->is_spot);

    if (granted >= request->count) {
        if (backoff)
            backoff->wait_s = 0;
        return;
    }
    if (!backoff) {
        struct lmn_capacity_backoff new_backoff = {.is_spot = request->is_spot};
        g_strlcpy(new_backoff.type, request->type, sizeof new_backoff.type);
        g_strlcpy(new_backoff.zone, request->zone, sizeof new_backoff.zone);
        g_array_append_val(autoscaler->backoffs, new_backoff);
        backoff = &g_array_index(autoscaler->backoffs, struct lmn_capacity_backoff,
                                 autoscaler->backoffs->len - 1);
    }
    backoff->wait_s = granted ? MIN_BACKOFF_S
                              : CLAMP(backoff->wait_s * 2, MIN_BACKOFF_S, MAX_BACKOFF_S);
    backoff->until = lmn_time_add(now, backoff->wait_s);
}

bool lmn_autoscaler_is_backing_off(const struct lmn_autoscaler *autoscaler,
                                   const char *type, const char *zone, bool is_spot,
                                   struct timespec now)
{
    const struct lmn_capacity_backoff *backoff =
        find_backoff(autoscaler, type, zone, is_spot);

    return backoff && backoff->wait_s > 0 && lmn_time_before(now, backoff->until);
}

bool lmn_autoscaler_was_refused_spot(const struct lmn_autoscaler *autoscaler)
{
    for (guint i = 0; i < autoscaler->backoffs->len; i++)
        if (g_array_index(autoscaler->backoffs, struct lmn_capacity_backoff, i).is_spot)
            return true;
    return false;
}
