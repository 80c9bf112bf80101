/** @file
 * Quota shares of partitions; see quota.h. Without a record each partition has an even
 * share. The core's lock is held. */
#include "scheduler/quota.h"
#include "scheduler/resources.h"

bool lmn_team_has_limit(const struct lmn_team *team)
{
    return team->cpus_max > 0 || team->gpus_max > 0;
}

void lmn_quota_even_share(const struct lmn_core *core, int team, double *cpus,
                          double *gpus)
{
    *cpus = core->settings->teams[team].cpus_max / core->partition_count;
    *gpus = core->settings->teams[team].gpus_max / core->partition_count;
}

void lmn_quota_share(const struct lmn_core *core, const struct lmn_partition *partition,
                     int team, double *cpus, double *gpus)
{
    lmn_quota_even_share(core, team, cpus, gpus);
    if (core->quota.has_record[team]) {
        *cpus = partition->quota.cpus[team];
        *gpus = partition->quota.gpus[team];
    }
    if (partition->quota.transfer.team == team) {
        *cpus -= partition->quota.transfer.cpus;
        *gpus -= partition->quota.transfer.gpus;
    }
}

/** Above the processors of any task. */
static const double NO_TASK_CPUS = 1e12;

/** Queued tasks of the range that could start if quota and capacity allowed it. */
static double count_waiting(const struct lmn_range *range)
{
    double count = range->task_states ? range->end - range->first -
                                            range->finished_count - range->started_count
                                      : 0;

    /* A faulty job is tried with one task at a time. */
    return count > 0 && lmn_job_is_faulty(&range->job->failures) ? 1 : count;
}

/** Adds up what the team's queued tasks in the partition ask for, and what the largest of
 * them does. Returns the processors of the smallest. */
static double sum_queued(const struct lmn_partition *partition, int team,
                         struct lmn_quota_request *request)
{
    double smallest_cpus = NO_TASK_CPUS;
    GHashTableIter it;
    gpointer value;

    *request = (struct lmn_quota_request){.team = team};
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_range *range = value;
        const struct lmn_job_spec *spec = &range->job->spec;
        if (range->job->team != team || range->job->phase != LMN_JOB_ACTIVE)
            continue;
        double count = count_waiting(range);
        if (count <= 0)
            continue;
        request->cpus += count * spec->cpus;
        request->gpus += count * spec->gpus;
        request->least_cpus = MAX(request->least_cpus, spec->cpus);
        request->least_gpus = MAX(request->least_gpus, spec->gpus);
        smallest_cpus = MIN(smallest_cpus, spec->cpus);
    }
    return smallest_cpus;
}

/** Processors that are free on the partition's machines, counted only where a task of
 * that size fits. Unlike lmn_machine_can_run this asks no job, and counts a machine that
 * is not recorded yet, but none that is known only by its replica. */
static double sum_free_cpus(const struct lmn_partition *partition, double task_cpus)
{
    double sum = 0;

    for (guint i = 0; i < partition->machine_list->len; i++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[i];
        if (!machine->type || !machine->lifecycle.is_accounted ||
            machine->lifecycle.is_draining || machine->lifecycle.has_spot_notice ||
            machine->agent.lease_expired || machine->lifecycle.is_terminated)
            continue;
        double free_cpus = lmn_machine_free_resources(machine).cpus;
        sum += free_cpus + LMN_RESOURCE_EPSILON >= task_cpus ? free_cpus : 0;
    }
    return sum;
}

/** Reduces a request for all queued tasks to what the share leaves uncovered: of each
 * resource only if the largest task does not fit. The least is what a task needs beyond
 * the whole share, which waiting for other tasks to end would never give it. */
static void subtract_share(const struct lmn_core *core,
                           const struct lmn_partition *partition,
                           struct lmn_quota_request *request)
{
    double used_cpus = partition->quota.used_cpus[request->team];
    double used_gpus = partition->quota.used_gpus[request->team];
    double cpus, gpus;

    lmn_quota_share(core, partition, request->team, &cpus, &gpus);
    bool lacks_cpus = used_cpus + request->least_cpus > cpus + LMN_RESOURCE_EPSILON;
    bool lacks_gpus = used_gpus + request->least_gpus > gpus + LMN_RESOURCE_EPSILON;
    request->cpus = lacks_cpus ? MAX(request->cpus - (cpus - used_cpus), 0) : 0;
    request->gpus = lacks_gpus ? MAX(request->gpus - (gpus - used_gpus), 0) : 0;
    request->least_cpus = MAX(request->least_cpus - cpus, 0);
    request->least_gpus = MAX(request->least_gpus - gpus, 0);
}

/** Reduces a request to what the partition has machines for: quota beyond that would lie
 * idle here, while other partitions have free capacity. */
static void bound_by_capacity(const struct lmn_partition *partition, double smallest_cpus,
                              struct lmn_quota_request *request)
{
    double free_cpus = request->cpus > 0 || request->gpus > 0
                           ? sum_free_cpus(partition, smallest_cpus)
                           : 0;

    request->cpus = MIN(request->cpus, free_cpus);
    request->gpus = free_cpus > 0 ? request->gpus : 0;
    request->cpus = MAX(request->cpus, request->least_cpus);
    request->gpus = MAX(request->gpus, request->least_gpus);
}

bool lmn_quota_shortfall(const struct lmn_core *core,
                         const struct lmn_partition *partition, int team,
                         struct lmn_quota_request *request)
{
    const struct lmn_team *limits = &core->settings->teams[team];

    if (!partition->ownership.is_owned || !partition->ownership.is_ready ||
        !lmn_team_has_limit(limits))
        return false;
    double smallest_cpus = sum_queued(partition, team, request);
    subtract_share(core, partition, request);
    bound_by_capacity(partition, smallest_cpus, request);
    if (limits->cpus_max <= 0)
        request->cpus = request->least_cpus = 0;
    if (limits->gpus_max <= 0)
        request->gpus = request->least_gpus = 0;
    return request->cpus > LMN_RESOURCE_EPSILON || request->gpus > LMN_RESOURCE_EPSILON;
}

void lmn_quota_transferable(const struct lmn_core *core,
                            const struct lmn_partition *partition,
                            const struct lmn_quota_request *request, double *cpus,
                            double *gpus)
{
    int team = request->team;
    const struct lmn_quota_reservation *reservation =
        &partition->quota.reservations[team];
    struct lmn_quota_request own;

    /* A partition can spare what its own queue does not need or has no capacity for:
     * otherwise one whose machines are full would keep most of the limit, while another
     * with free capacity has none left. What is reserved for a job that waits for it
     * (scheduler/reservation.h) stays. */
    double smallest_cpus = sum_queued(partition, team, &own);
    lmn_quota_share(core, partition, team, cpus, gpus);
    own.cpus = own.cpus > 0 ? MIN(own.cpus, sum_free_cpus(partition, smallest_cpus)) : 0;
    own.cpus = MAX(own.cpus, reservation->job ? reservation->cpus : 0);
    *cpus -= partition->quota.used_cpus[team] + own.cpus;
    *gpus -= partition->quota.used_gpus[team] + own.gpus;
    /* It gives at least that without which the other could never start its task. */
    *cpus = MAX(MIN(request->cpus, *cpus), request->least_cpus);
    *gpus = MAX(MIN(request->gpus, *gpus), request->least_gpus);
}
