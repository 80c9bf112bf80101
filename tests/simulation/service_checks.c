/* Checks that work is started in time: a run in which tasks wait for too long fails
 * although no rule is broken. */
#include "simulation.h"

#include "scheduler/wait_reason.h"

#include <string.h>

/* Longest time that a task may wait although a machine has room for it, once no fault
 * is left. */
static const double MAX_WAIT_S = 90;
static const double MACHINE_CPUS = 6;

void simulation_fail_service(const char *format, ...)
{
    va_list arguments;

    if (*simulation.service_failure)
        return;
    va_start(arguments, format);
    g_vsnprintf(simulation.service_failure, sizeof simulation.service_failure, format,
                arguments);
    va_end(arguments);
}

/* What the machines run now, by their own state rather than that of the controllers. */
struct load {
    double team_cpus[MAX_TEAMS], machine_cpus[MAX_MACHINES];
    uint64_t placed[MAX_JOBS]; /* by job: a bit for each task that is on a machine */
    int zones[MAX_JOBS][8];    /* by job and zone: how many of its tasks are there */
};

static int team_index(const struct job *job)
{
    int team = 0;

    while (strcmp(simulation_team(team), job->spec.team))
        team++;
    return team;
}

static void count_load(struct load *load)
{
    memset(load, 0, sizeof *load);
    for (int i = 0; i < simulation.layout.machines; i++) {
        const struct machine *machine = &simulation.machines[i];
        for (int k = 0; k < machine->task_count; k++) {
            const struct task *task = &machine->tasks[k];
            const struct job *job = &simulation.jobs[task->job];
            if (!simulation_task_is_active(machine, task))
                continue;
            load->team_cpus[team_index(job)] += job->spec.cpus;
            load->machine_cpus[i] += job->spec.cpus;
            load->placed[task->job] |= 1ull << task->index;
            load->zones[task->job][machine->zone[0] - 'a']++;
        }
    }
}

double simulation_team_cpus(int team)
{
    static struct load load;

    count_load(&load);
    return load.team_cpus[team];
}

static bool has_waiting_task(const struct load *load, int job_index)
{
    const struct job *job = &simulation.jobs[job_index];
    uint64_t placed = load->placed[job_index];

    if (!job->submitted || job->cancelled_at >= 0 || job->recorded_done)
        return false;
    for (uint32_t k = 0; k < job->spec.tasks; k++)
        if (!job->done[k] && !(placed >> k & 1))
            return true;
    return false;
}

/* Whether the zones of the job's other tasks allow one more in the machine's zone. */
static bool zone_allows(const struct load *load, int job_index,
                        const struct machine *machine)
{
    const struct job *job = &simulation.jobs[job_index];
    int in_zone = load->zones[job_index][machine->zone[0] - 'a'], total = 0;

    for (int z = 0; z < 8; z++)
        total += load->zones[job_index][z];
    if (job->spec.requires_one_zone && total > in_zone)
        return false;
    return !job->spec.spreads_over_zones || in_zone < (int)(job->spec.tasks + 1) / 2;
}

static bool has_room(const struct load *load, int job_index, int machine_index)
{
    const struct job *job = &simulation.jobs[job_index];
    const struct machine *machine = &simulation.machines[machine_index];

    return !machine->is_terminated && (job->spec.may_use_spot || !machine->spot) &&
           (!job->spec.zone || !strcmp(job->spec.zone, machine->zone)) &&
           load->machine_cpus[machine_index] + job->spec.cpus <= MACHINE_CPUS + 1e-6 &&
           load->team_cpus[team_index(job)] + job->spec.cpus <=
               simulation.layout.team_cpus_max + 1e-6 &&
           zone_allows(load, job_index, machine);
}

/* Why the machine's owner does not start the job there, by the scheduler's own
 * decision, for the last of the job's ranges that the partition has. */
static const char *wait_reason(const struct job *job, const struct machine *machine)
{
    enum lmn_wait_reason reason = LMN_WAIT_OTHER_PARTITION;

    for (int i = 0; i < simulation.layout.nodes; i++) {
        const struct lmn_core *core = simulation.nodes[i].core;
        const struct lmn_job *known_job =
            core ? g_hash_table_lookup(core->cache.jobs, job->id) : NULL;
        for (int k = 0; known_job && k < core->partition_count; k++) {
            const struct lmn_partition *partition = &core->partitions[k];
            const struct lmn_machine *known_machine =
                partition->ownership.is_owned
                    ? g_hash_table_lookup(partition->machines, machine->name)
                    : NULL;
            for (guint range_index = 0;
                 known_machine && range_index < known_job->ranges->len; range_index++) {
                const struct lmn_range *range = known_job->ranges->pdata[range_index];
                if (range->partition == partition && range->task_states)
                    reason =
                        lmn_wait_reason(core, known_machine, range, simulation.clock);
            }
        }
    }
    return lmn_wait_reason_text(reason);
}

void simulation_print_wait_reasons(const struct job *job)
{
    static struct load load;
    int job_index = (int)(job - simulation.jobs);

    count_load(&load);
    for (int i = 0; i < simulation.layout.machines; i++)
        print_message("  %s in zone %s, %.0f processors in use%s: %s\n",
                      simulation.machines[i].name, simulation.machines[i].zone,
                      load.machine_cpus[i],
                      has_room(&load, job_index, i) ? ", has room" : "",
                      wait_reason(job, &simulation.machines[i]));
}

static void note_wait(struct job *job, int machine_index, bool waits)
{
    double *since = &job->waiting_beside_since[machine_index];

    if (!waits) {
        *since = 0;
        return;
    }
    if (!*since)
        *since = simulation.now;
    simulation.longest_wait_s = MAX(simulation.longest_wait_s, simulation.now - *since);
    if (simulation.now - *since >= MAX_WAIT_S)
        simulation_fail_service(
            "%s has waited for %.0f s (limit %.0f s) although %s has room: %s", job->id,
            simulation.now - *since, MAX_WAIT_S, simulation.machines[machine_index].name,
            wait_reason(job, &simulation.machines[machine_index]));
}

void simulation_check_service(void)
{
    static struct load load;

    if (!simulation.faults_stopped || simulation.now < simulation_faults_end()) {
        simulation.fault_free_since = simulation.now;
        return;
    }
    count_load(&load);
    for (int i = 0; i < simulation.job_count; i++) {
        struct job *job = &simulation.jobs[i];
        bool waits = has_waiting_task(&load, i);
        for (int k = 0; k < simulation.layout.machines; k++) {
            if (job->waiting_beside_since[k] &&
                job->waiting_beside_since[k] < simulation.fault_free_since)
                job->waiting_beside_since[k] = 0;
            note_wait(job, k, waits && has_room(&load, i, k));
        }
    }
}
