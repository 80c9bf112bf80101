/** @file
 * Quota shares of partitions; see quota.h. The caller holds the core's lock. */
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

/** Processors; more than any task requests. */
static const double NO_TASK_CPUS = 1e12;

/** Number of the range's queued tasks that could start if quota and capacity sufficed. */
static double count_waiting(const struct lmn_range *range)
{
    double count = range->task_states ? range->end - range->first -
                                            range->finished_count - range->started_count
                                      : 0;

    /* A faulty job is retried with one task at a time. */
    return count > 0 && lmn_job_is_faulty(&range->job->failures) ? 1 : count;
}

/** Fills in a request for all of the team's queued tasks in the partition, as if it had
 * no share.
 * @param[out] request sums of all queued tasks; the `least` fields are those of the
 * largest task
 * @return processors of the smallest queued task; NO_TASK_CPUS if there is none */
static double sum_queued(const struct lmn_partition *partition, int team,
                         struct lmn_quota_request *request)
{
    double smallest_cpus = NO_TASK_CPUS;
    GHashTableIter iter;
    gpointer value;

    *request = (struct lmn_quota_request){.team = team};
    g_hash_table_iter_init(&iter, partition->ranges);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
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

/** Sum of the free processors of the partition's machines that have at least `task_cpus`
 * free and may get another task. Unlike lmn_machine_can_run, this does not depend on a
 * job, counts machines that are not yet recorded in the key-value store, and does not
 * count machines that are known only from a replica. */
static double sum_free_cpus(const struct lmn_partition *partition, double task_cpus)
{
    double sum = 0;

    for (guint i = 0; i < partition->machine_list->len; i++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[i];
        if (!machine->type || !machine->lifecycle.is_accounted ||
            machine->lifecycle.is_draining || machine->lifecycle.has_spot_notice ||
            machine->agent.lease_expired || machine->lifecycle.is_terminated)
            continue;
        const struct lmn_resources available = lmn_machine_free_resources(machine);
        if (available.tasks >= 1 && available.cpus + LMN_RESOURCE_EPSILON >= task_cpus)
            sum += available.cpus;
    }
    return sum;
}

/** Reduces a request for all queued tasks by the partition's own share. A resource is
 * requested only if the unused share is too small for the largest task. The `least`
 * fields become what the largest task needs beyond the whole share, which it would not
 * get even after all other tasks have ended. */
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

/** Reduces a request to the quota that the partition's free capacity can use: any more
 * would be unused here, while other partitions with free capacity lack it. */
static void limit_to_capacity(const struct lmn_partition *partition, double smallest_cpus,
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
    limit_to_capacity(partition, smallest_cpus, request);
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

    /* A partition keeps the quota that its queued tasks need and its free capacity can
     * use. If it kept quota for all queued tasks, a partition whose machines are full
     * could hold most of the limit while another with free capacity has none. It also
     * keeps quota that is reserved for a waiting job (scheduler/reservation.h). */
    double smallest_cpus = sum_queued(partition, team, &own);
    lmn_quota_share(core, partition, team, cpus, gpus);
    own.cpus = own.cpus > 0 ? MIN(own.cpus, sum_free_cpus(partition, smallest_cpus)) : 0;
    own.cpus = MAX(own.cpus, reservation->job ? reservation->cpus : 0);
    *cpus -= partition->quota.used_cpus[team] + own.cpus;
    *gpus -= partition->quota.used_gpus[team] + own.gpus;
    /* Without the least quota the requesting partition could never start its largest
     * task. */
    *cpus = MAX(MIN(request->cpus, *cpus), request->least_cpus);
    *gpus = MAX(MIN(request->gpus, *gpus), request->least_gpus);
}
