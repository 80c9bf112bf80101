/**
 * @file
 * Checks of a job description: valid ids, allowed machines, feasibility and objectives.
 * Pure functions.
 */
#include "job/job_spec.h"
#include "protocol/wire.h"

#include <string.h>

bool lmn_job_id_is_valid(const char *id)
{
    size_t prefix_len = strlen(WIRE_JOB_ID_PREFIX), len = strlen(id);

    if (len <= prefix_len || len > LMN_MAX_JOB_ID_LENGTH ||
        strncmp(id, WIRE_JOB_ID_PREFIX, prefix_len))
        return false;
    return strspn(id + prefix_len, "0123456789") == len - prefix_len;
}

bool lmn_job_spec_allows(const struct lmn_job_spec *spec,
                         const struct lmn_machine_type *type, const char *zone, bool spot)
{
    if ((spot && !spec->may_use_spot) || (spec->zone && strcmp(spec->zone, zone)))
        return false;
    if (spec->cpus > type->cpus || spec->gpus > type->gpus ||
        spec->memory_gb > type->memory_gb)
        return false;
    return !spec->machine_types ||
           g_strv_contains((const char *const *)spec->machine_types, type->name);
}

/** Whether the job can run within the team's quota limit: a service needs capacity for
 * all its replicas at once, a batch job for one task at a time. */
static bool is_within_quota_limit(const struct lmn_job_spec *spec,
                                  const struct lmn_team *team)
{
    double tasks_at_once = spec->kind == LMN_JOB_SERVICE ? spec->tasks : 1;

    return !(team->cpus_max > 0 && tasks_at_once * spec->cpus > team->cpus_max) &&
           !(team->gpus_max > 0 && tasks_at_once * spec->gpus > team->gpus_max);
}

/** Whether an on-demand machine of some type in some zone could run a task. */
static bool fits_some_type(const struct lmn_job_spec *spec,
                           const struct lmn_machine_types *types)
{
    for (size_t i = 0; i < types->count; i++) {
        const struct lmn_machine_type *type = &types->types[i];
        for (int zone = 0; zone < type->zone_count; zone++)
            if (lmn_job_spec_allows(spec, type, type->zones[zone], false))
                return true;
    }
    return false;
}

bool lmn_job_spec_is_feasible(const struct lmn_job_spec *spec,
                              const struct lmn_settings *settings,
                              const struct lmn_machine_types *types, const char **reason)
{
    const struct lmn_team *team = lmn_settings_find_team(settings, spec->team);

    if (!team) {
        *reason = "unknown team";
        return false;
    }
    if (!is_within_quota_limit(spec, team)) {
        *reason = "more than the team's limit";
        return false;
    }
    if (!fits_some_type(spec, types)) {
        *reason = "a task fits no allowed machine type";
        return false;
    }
    return true;
}

bool lmn_objective_applies(const struct lmn_objective *objective,
                           const struct lmn_job_spec *spec)
{
    if (*objective->class_name && strcmp(objective->class_name, spec->class_name))
        return false;
    switch (objective->kind) {
    case LMN_OBJECTIVE_START:
    case LMN_OBJECTIVE_FINISH:
        return true;
    case LMN_OBJECTIVE_DEADLINE:
        return spec->deadline_s >= 0;
    default:
        return false;
    }
}

bool lmn_job_spec_has_objective(const struct lmn_settings *settings,
                                const struct lmn_job_spec *spec)
{
    for (size_t i = 0; i < settings->objective_count; i++)
        if (lmn_objective_applies(&settings->objectives[i], spec))
            return true;
    return spec->deadline_s >= 0;
}
