/* A team's limit, parted among the partitions. Without a record each has an even part;
 * parts are moved by partition/quota_transfer.c. */
#include "scheduler/quota.h"

#include <string.h>

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

/* What the team's queued tasks in the partition ask for, and the largest of them; returns
 * the processors of the smallest. */
static double queued(const struct lmn_partition *partition, int team,
                     struct lmn_quota_request *request)
{
    double smallest = 1e12;
    GHashTableIter it;
    gpointer v;

    *request = (struct lmn_quota_request){.team = team};
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_range *range = v;
        double n = range->task_states ? range->end - range->first -
                                            range->finished_count - range->started_count
                                      : 0;
        if (range->job->team != team || range->job->phase != LMN_JOB_ACTIVE || n <= 0)
            continue;
        if (lmn_job_is_faulty(&range->job->failures))
            n = 1; /* it is tried with a task at a time */
        request->cpus += n * range->job->spec.cpus;
        request->gpus += n * range->job->spec.gpus;
        request->least_cpus = MAX(request->least_cpus, range->job->spec.cpus);
        request->least_gpus = MAX(request->least_gpus, range->job->spec.gpus);
        smallest = MIN(smallest, range->job->spec.cpus);
    }
    return smallest;
}

/* Processors that are free on the partition's machines, where a task of that size fits.
 */
static double free_cpus(const struct lmn_partition *partition, double task)
{
    double sum = 0;

    for (guint i = 0; i < partition->machine_list->len; i++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[i];
        if (!machine->type || !machine->lifecycle.is_accounted ||
            machine->lifecycle.is_draining || machine->lifecycle.has_spot_notice ||
            machine->agent.lease_expired || machine->lifecycle.is_terminated)
            continue;
        double left = machine->type->cpus - machine->used.cpus;
        sum += left + 1e-6 >= task ? left : 0;
    }
    return sum;
}

bool lmn_quota_shortfall(const struct lmn_core *core,
                         const struct lmn_partition *partition, int team,
                         struct lmn_quota_request *request)
{
    double cpus, gpus;

    if (!partition->ownership.is_owned || !partition->ownership.is_ready ||
        !lmn_team_has_limit(&core->settings->teams[team]))
        return false;
    double smallest = queued(partition, team, request);
    lmn_quota_share(core, partition, team, &cpus, &gpus);
    /* Only what its queue is short of; the least it needs is what a task needs beyond all
     * of the part, which waiting for others to end would never give it. */
    bool short_cpus =
        partition->quota.used_cpus[team] + request->least_cpus > cpus + 1e-6;
    bool short_gpus =
        partition->quota.used_gpus[team] + request->least_gpus > gpus + 1e-6;
    request->cpus =
        short_cpus ? MAX(request->cpus - (cpus - partition->quota.used_cpus[team]), 0)
                   : 0;
    request->gpus =
        short_gpus ? MAX(request->gpus - (gpus - partition->quota.used_gpus[team]), 0)
                   : 0;
    request->least_cpus = MAX(request->least_cpus - cpus, 0);
    request->least_gpus = MAX(request->least_gpus - gpus, 0);
    /* No more than it has machines for: what it took beyond that lay idle, while others
     * had room. */
    double room =
        request->cpus > 0 || request->gpus > 0 ? free_cpus(partition, smallest) : 0;
    request->cpus = MIN(request->cpus, room);
    request->gpus = room > 0 ? request->gpus : 0;
    request->cpus = MAX(request->cpus, request->least_cpus);
    request->gpus = MAX(request->gpus, request->least_gpus);
    if (core->settings->teams[team].cpus_max <= 0)
        request->cpus = request->least_cpus = 0;
    if (core->settings->teams[team].gpus_max <= 0)
        request->gpus = request->least_gpus = 0;
    return request->cpus > 1e-6 || request->gpus > 1e-6;
}

void lmn_quota_spare(const struct lmn_core *core, const struct lmn_partition *partition,
                     const struct lmn_quota_request *request, double *cpus, double *gpus)
{
    struct lmn_quota_request own;

    double smallest = queued(partition, request->team, &own);
    lmn_quota_share(core, partition, request->team, cpus, gpus);
    /* What its own queue does not need, or has no room for: a partition whose machines
     * were full kept most of the limit, while another with room had none left. What is
     * kept for a job that waits for it (scheduler/reservation.h) stays. And whatever
     * another could else never start with. */
    own.cpus = own.cpus > 0 ? MIN(own.cpus, free_cpus(partition, smallest)) : 0;
    own.cpus = MAX(own.cpus, partition->quota.reservations[request->team].job
                                 ? partition->quota.reservations[request->team].cpus
                                 : 0);
    *cpus -= partition->quota.used_cpus[request->team] + own.cpus;
    *gpus -= partition->quota.used_gpus[request->team] + own.gpus;
    *cpus = MAX(MIN(request->cpus, *cpus), request->least_cpus);
    *gpus = MAX(MIN(request->gpus, *gpus), request->least_gpus);
}
