/* Whether everything is served: what no rule forbids, and yet fails a day. */
#include "simulation.h"

#include "scheduler/wait_reason.h"

#include <string.h>

/* Nothing waits for so long beside room, once no fault is in force. */
static const double BESIDE_S = 90;
static const double MACHINE_CPUS = 6;

void simulation_fail_service(const char *format, ...)
{
    va_list v;

    if (*simulation.service_failure)
        return;
    va_start(v, format);
    g_vsnprintf(simulation.service_failure, sizeof simulation.service_failure, format, v);
    va_end(v);
}

/* What is on the machines now, as they know it themselves. */
struct load {
    double team[MAX_TEAMS], machine[MAX_MACHINES];
    uint64_t placed[MAX_JOBS]; /* by job, the tasks that are somewhere */
    int zones[MAX_JOBS][8];    /* how many of them, by zone */
};

static int team_of(const struct job *job)
{
    int k = 0;

    while (strcmp(simulation_team(k), job->spec.team))
        k++;
    return k;
}

static void count(struct load *l)
{
    memset(l, 0, sizeof *l);
    for (int i = 0; i < simulation.layout.machines; i++) {
        const struct machine *machine = &simulation.machines[i];
        for (int k = 0; k < machine->ntasks; k++) {
            const struct task *task = &machine->tasks[k];
            const struct job *job = &simulation.jobs[task->job];
            if (!simulation_task_is_active(machine, task))
                continue;
            l->team[team_of(job)] += job->spec.cpus;
            l->machine[i] += job->spec.cpus;
            l->placed[task->job] |= 1ull << task->index;
            l->zones[task->job][machine->zone[0] - 'a']++;
        }
    }
}

double simulation_team_cpus(int team)
{
    static struct load l;

    count(&l);
    return l.team[team];
}

static bool waits(const struct load *l, int job)
{
    const struct job *j = &simulation.jobs[job];
    uint64_t here = l->placed[job];

    if (!j->submitted || j->cancelled_at >= 0 || j->told_done)
        return false;
    for (uint32_t k = 0; k < j->spec.tasks; k++)
        if (!j->done[k] && !(here >> k & 1))
            return true;
    return false;
}

/* Whether the zones of the job's other tasks allow one more there. */
static bool zone_allows(const struct load *l, int job, const struct machine *machine)
{
    const struct job *j = &simulation.jobs[job];
    int here = l->zones[job][machine->zone[0] - 'a'], all = 0;

    for (int z = 0; z < 8; z++)
        all += l->zones[job][z];
    if (j->spec.requires_one_zone && all > here)
        return false;
    return !j->spec.spreads_over_zones || here < (int)(j->spec.tasks + 1) / 2;
}

static bool has_room(const struct load *l, int job, int machine)
{
    const struct job *j = &simulation.jobs[job];
    const struct machine *m = &simulation.machines[machine];

    return !m->dead && (j->spec.may_use_spot || !m->spot) &&
           (!j->spec.zone || !strcmp(j->spec.zone, m->zone)) &&
           l->machine[machine] + j->spec.cpus <= MACHINE_CPUS + 1e-6 &&
           l->team[team_of(j)] + j->spec.cpus <= simulation.layout.limit + 1e-6 &&
           zone_allows(l, job, m);
}

/* The reason that the decision itself gives: of the owner of the machine, for the range
 * there that comes nearest to a start. */
static const char *reason(const struct job *j, const struct machine *x)
{
    enum lmn_wait_reason said = LMN_WAIT_OTHER_PARTITION;

    for (int i = 0; i < simulation.layout.nodes; i++) {
        const struct lmn_core *core = simulation.nodes[i].core;
        const struct lmn_job *job =
            core ? g_hash_table_lookup(core->cache.jobs, j->id) : NULL;
        for (int k = 0; job && k < core->partition_count; k++) {
            const struct lmn_partition *partition = &core->partitions[k];
            const struct lmn_machine *machine =
                partition->ownership.is_owned
                    ? g_hash_table_lookup(partition->machines, x->name)
                    : NULL;
            for (guint n = 0; machine && n < job->ranges->len; n++) {
                const struct lmn_range *range = job->ranges->pdata[n];
                if (range->partition == partition && range->task_states)
                    said = lmn_wait_reason(core, machine, range, simulation.clock);
            }
        }
    }
    return lmn_wait_reason_name(said);
}

void simulation_print_wait_reasons(const struct job *j)
{
    static struct load l;
    int job = (int)(j - simulation.jobs);

    count(&l);
    for (int k = 0; k < simulation.layout.machines; k++)
        print_message("  %s in %s, %.0f in use%s: %s\n", simulation.machines[k].name,
                      simulation.machines[k].zone, l.machine[k],
                      has_room(&l, job, k) ? ", has room" : "",
                      reason(j, &simulation.machines[k]));
}

static void note(struct job *job, int machine, bool beside)
{
    double *since = &job->beside[machine];

    if (!beside) {
        *since = 0;
        return;
    }
    if (!*since)
        *since = simulation.now;
    simulation.longest_beside = MAX(simulation.longest_beside, simulation.now - *since);
    if (simulation.now - *since >= BESIDE_S)
        simulation_fail_service("%s has waited for %.0f s beside %s: %s", job->id,
                                simulation.now - *since,
                                simulation.machines[machine].name,
                                reason(job, &simulation.machines[machine]));
}

void simulation_check_service(void)
{
    static struct load l;

    if (!simulation.calm || simulation.now < simulation_faults_end()) {
        simulation.quiet_from = simulation.now;
        return;
    }
    count(&l);
    for (int i = 0; i < simulation.njobs; i++) {
        struct job *job = &simulation.jobs[i];
        bool any = waits(&l, i);
        for (int k = 0; k < simulation.layout.machines; k++) {
            if (job->beside[k] && job->beside[k] < simulation.quiet_from)
                job->beside[k] = 0;
            note(job, k, any && has_room(&l, i, k));
        }
    }
}
