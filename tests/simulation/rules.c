/* The protocol's rules, checked after each step. */
#include "simulation.h"

#include <stdlib.h>
#include <string.h>

int simulation_job_index(const char *ref)
{
    int i = strlen(ref) > 4 ? atoi(ref + 4) : -1;

    return i >= 0 && i < simulation.njobs && !strcmp(simulation.jobs[i].id, ref) ? i : -1;
}

/* Whether what the machine holds still counts. One that hangs past its lease has lost its
 * tasks, though it will notice only when it goes on. */
bool simulation_machine_is_live(const struct machine *machine)
{
    /* Nor in the step in which it goes on, before its turn: the first thing that it does
     * is to end them. */
    bool hangs = simulation.now - STEP_S < machine->hang_until;

    return !machine->dead &&
           !(hangs && simulation.now - machine->lease_from > simulation.lease_s);
}

bool simulation_task_is_active(const struct machine *machine, const struct task *task)
{
    return task->state != ENDED && simulation_machine_is_live(machine);
}

void simulation_check_start(struct machine *machine, const struct task *task)
{
    struct job *job = &simulation.jobs[task->job];
    double cpus = 0;
    uint32_t here = 0, elsewhere = 0;

    for (int i = 0; i < simulation.layout.machines; i++)
        for (int k = 0; k < simulation.machines[i].ntasks; k++) {
            const struct task *o = &simulation.machines[i].tasks[k];
            here += o->job == task->job && o->state == RUNNING &&
                    simulation_machine_is_live(&simulation.machines[i]) &&
                    !strcmp(simulation.machines[i].zone, machine->zone);
            if (o->state != RUNNING ||
                !simulation_machine_is_live(&simulation.machines[i]))
                continue;
            elsewhere += o->job == task->job &&
                         strcmp(simulation.machines[i].zone, machine->zone) != 0;
            if (&simulation.machines[i] != machine && o->job == task->job &&
                o->index == task->index)
                simulation.violations[RULE_RAN_TWICE]++;
            if (!strcmp(simulation.jobs[o->job].spec.team, job->spec.team))
                cpus += simulation.jobs[o->job].spec.cpus;
        }
    if (cpus > simulation.layout.limit + 1e-6)
        simulation.violations[RULE_QUOTA_EXCEEDED]++;
    if ((machine->spot && !job->spec.may_use_spot) ||
        (job->spec.zone && strcmp(job->spec.zone, machine->zone)))
        simulation.violations[RULE_WRONG_PLACE]++;
    if (job->spec.spreads_over_zones && here > (job->spec.tasks + 1) / 2)
        simulation.violations[RULE_WRONG_PLACE]++;
    if (job->spec.requires_one_zone && elsewhere)
        simulation.violations[RULE_WRONG_PLACE]++;
    if (job->began_at < 0)
        job->began_at = simulation.now;
    simulation.starts++;
}

void simulation_check_rules(void)
{
    for (int i = 0; i < simulation.layout.machines; i++)
        for (int k = 0; k < simulation.machines[i].ntasks; k++) {
            const struct task *task = &simulation.machines[i].tasks[k];
            const struct job *job = &simulation.jobs[task->job];
            if (task->state != RUNNING ||
                !simulation_machine_is_live(&simulation.machines[i]) ||
                job->cancelled_at < 0)
                continue;
            double margin = simulation.cancel_s - (simulation.now - job->cancelled_at);
            simulation.least_margin = MIN(simulation.least_margin, margin);
            simulation.violations[RULE_RAN_CANCELLED] += margin < 0;
        }
    for (int i = 0; i < simulation.njobs; i++) {
        struct job *job = &simulation.jobs[i];
        struct lmn_job_spec s;
        uint32_t open;
        double at;
        /* What a record says is judged when it changes. */
        if (!job->submitted || simulation_job_revision(job) == job->read_rev)
            continue;
        job->read_rev = simulation_job_revision(job);
        enum lmn_job_phase phase = simulation_read_job(job, &s, &open, &at);
        lmn_job_spec_clear(&s);
        if (phase == LMN_JOB_DONE && !job->told_done) {
            job->told_done = true;
            job->answered_at = simulation.now;
            simulation.finished++;
            for (uint32_t k = 0; k < job->spec.tasks; k++)
                if (!job->done[k]) {
                    simulation.violations[RULE_DONE_TOO_EARLY]++;
                    break;
                }
        }
        if ((job->told_done && phase != LMN_JOB_DONE) ||
            (job->cancelled_at >= 0 && phase != LMN_JOB_CANCELLED))
            simulation.violations[RULE_STATE_REVERTED]++;
    }
}
