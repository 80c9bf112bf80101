/* Checks the protocol's rules (enum rule). */
#include "simulation.h"

#include <stdlib.h>
#include <string.h>

int simulation_job_index(const char *job_id)
{
    int index = strlen(job_id) > 4 ? atoi(job_id + 4) : -1;

    return index >= 0 && index < simulation.job_count &&
                   !strcmp(simulation.jobs[index].id, job_id)
               ? index
               : -1;
}

bool simulation_machine_is_live(const struct machine *machine)
{
    /* They don't count either in the step in which the machine continues but has not
     * had its turn yet: the first thing that it does is to end them. */
    bool hangs = simulation.now - STEP_S < machine->hang_until;

    return !machine->is_terminated &&
           !(hangs && simulation.now - machine->lease_start > simulation.lease_s);
}

bool simulation_task_is_active(const struct machine *machine, const struct task *task)
{
    return task->state != ENDED && simulation_machine_is_live(machine);
}

void simulation_check_start(const struct machine *machine, const struct task *task)
{
    struct job *job = &simulation.jobs[task->job];
    double cpus = 0;
    uint32_t here = 0, elsewhere = 0;

    for (int i = 0; i < simulation.layout.machines; i++)
        for (int k = 0; k < simulation.machines[i].task_count; k++) {
            const struct task *other = &simulation.machines[i].tasks[k];
            here += other->job == task->job && other->state == RUNNING &&
                    simulation_machine_is_live(&simulation.machines[i]) &&
                    !strcmp(simulation.machines[i].zone, machine->zone);
            if (other->state != RUNNING ||
                !simulation_machine_is_live(&simulation.machines[i]))
                continue;
            elsewhere += other->job == task->job &&
                         strcmp(simulation.machines[i].zone, machine->zone) != 0;
            if (&simulation.machines[i] != machine && other->job == task->job &&
                other->index == task->index)
                simulation.violations[RULE_RAN_TWICE]++;
            if (!strcmp(simulation.jobs[other->job].spec.team, job->spec.team))
                cpus += simulation.jobs[other->job].spec.cpus;
        }
    if (cpus > simulation.layout.team_cpus_max + 1e-6)
        simulation.violations[RULE_QUOTA_EXCEEDED]++;
    if ((machine->spot && !job->spec.may_use_spot) ||
        (job->spec.zone && strcmp(job->spec.zone, machine->zone)))
        simulation.violations[RULE_WRONG_PLACE]++;
    if (job->spec.spreads_over_zones && here > (job->spec.tasks + 1) / 2)
        simulation.violations[RULE_WRONG_PLACE]++;
    if (job->spec.requires_one_zone && elsewhere)
        simulation.violations[RULE_WRONG_PLACE]++;
    if (job->first_start_at < 0)
        job->first_start_at = simulation.now;
    simulation.starts++;
}

void simulation_check_rules(void)
{
    for (int i = 0; i < simulation.layout.machines; i++)
        for (int k = 0; k < simulation.machines[i].task_count; k++) {
            const struct task *task = &simulation.machines[i].tasks[k];
            const struct job *job = &simulation.jobs[task->job];
            if (task->state != RUNNING ||
                !simulation_machine_is_live(&simulation.machines[i]) ||
                job->cancelled_at < 0)
                continue;
            double margin = simulation.cancel_s - (simulation.now - job->cancelled_at);
            simulation.least_cancel_margin_s =
                MIN(simulation.least_cancel_margin_s, margin);
            simulation.violations[RULE_RAN_CANCELLED] += margin < 0;
        }
    for (int i = 0; i < simulation.job_count; i++) {
        struct job *job = &simulation.jobs[i];
        struct lmn_job_spec spec;
        uint32_t open;
        double accepted_at;
        /* A record is checked only when it has changed. */
        if (!job->submitted || simulation_job_revision(job) == job->checked_revision)
            continue;
        job->checked_revision = simulation_job_revision(job);
        enum lmn_job_phase phase = simulation_read_job(job, &spec, &open, &accepted_at);
        lmn_job_spec_clear(&spec);
        if (phase == LMN_JOB_DONE && !job->recorded_done) {
            job->recorded_done = true;
            simulation.finished_jobs++;
            for (uint32_t k = 0; k < job->spec.tasks; k++)
                if (!job->done[k]) {
                    simulation.violations[RULE_DONE_TOO_EARLY]++;
                    break;
                }
        }
        if ((job->recorded_done && phase != LMN_JOB_DONE) ||
            (job->cancelled_at >= 0 && phase != LMN_JOB_CANCELLED))
            simulation.violations[RULE_STATE_REVERTED]++;
    }
}
