/* The protocol's rules, checked after each step. */
#include "world.h"

#include <stdlib.h>
#include <string.h>

int world_job(const char *ref)
{
    int i = strlen(ref) > 4 ? atoi(ref + 4) : -1;

    return i >= 0 && i < w.njobs && !strcmp(w.jobs[i].ref, ref) ? i : -1;
}

/* Whether what the machine holds still counts. One that hangs past its lease has lost its
 * tasks, though it will notice only when it goes on. */
bool world_holds(const struct machine *machine)
{
    /* Nor in the step in which it goes on, before its turn: the first thing that it does
     * is to end them. */
    bool hangs = w.now - STEP_S < machine->hang_until;

    return !machine->dead && !(hangs && w.now - machine->lease_from > w.lease_s);
}

bool world_active(const struct machine *machine, const struct task *task)
{
    return task->state != ENDED && world_holds(machine);
}

void world_started(struct machine *machine, const struct task *task)
{
    struct job *job = &w.jobs[task->job];
    double cpus = 0;
    uint32_t here = 0, elsewhere = 0;

    for (int i = 0; i < w.layout.machines; i++)
        for (int k = 0; k < w.machines[i].ntasks; k++) {
            const struct task *o = &w.machines[i].tasks[k];
            here += o->job == task->job && o->state == RUNNING &&
                    world_holds(&w.machines[i]) &&
                    !strcmp(w.machines[i].zone, machine->zone);
            if (o->state != RUNNING || !world_holds(&w.machines[i]))
                continue;
            elsewhere +=
                o->job == task->job && strcmp(w.machines[i].zone, machine->zone) != 0;
            if (&w.machines[i] != machine && o->job == task->job &&
                o->index == task->index)
                w.broke[R_TWICE]++;
            if (!strcmp(w.jobs[o->job].spec.team, job->spec.team))
                cpus += w.jobs[o->job].spec.cpus;
        }
    if (cpus > w.layout.limit + 1e-6)
        w.broke[R_QUOTA]++;
    if ((machine->spot && !job->spec.may_use_spot) ||
        (job->spec.zone && strcmp(job->spec.zone, machine->zone)))
        w.broke[R_PLACE]++;
    if (job->spec.spreads_over_zones && here > (job->spec.tasks + 1) / 2)
        w.broke[R_PLACE]++;
    if (job->spec.requires_one_zone && elsewhere)
        w.broke[R_PLACE]++;
    if (job->began_at < 0)
        job->began_at = w.now;
    w.starts++;
}

void world_check(void)
{
    for (int i = 0; i < w.layout.machines; i++)
        for (int k = 0; k < w.machines[i].ntasks; k++) {
            const struct task *task = &w.machines[i].tasks[k];
            const struct job *job = &w.jobs[task->job];
            if (task->state != RUNNING || !world_holds(&w.machines[i]) ||
                job->cancelled_at < 0)
                continue;
            double margin = w.cancel_s - (w.now - job->cancelled_at);
            w.least_margin = MIN(w.least_margin, margin);
            w.broke[R_CANCELLED] += margin < 0;
        }
    for (int i = 0; i < w.njobs; i++) {
        struct job *job = &w.jobs[i];
        struct lmn_job_spec s;
        uint32_t open;
        double at;
        /* What a record says is judged when it changes. */
        if (!job->submitted || world_job_revision(job) == job->read_rev)
            continue;
        job->read_rev = world_job_revision(job);
        enum lmn_job_phase phase = world_read_job(job, &s, &open, &at);
        lmn_job_spec_clear(&s);
        if (phase == LMN_JOB_DONE && !job->told_done) {
            job->told_done = true;
            job->answered_at = w.now;
            w.finished++;
            for (uint32_t k = 0; k < job->spec.tasks; k++)
                if (!job->done[k]) {
                    w.broke[R_NOT_DONE]++;
                    break;
                }
        }
        if ((job->told_done && phase != LMN_JOB_DONE) ||
            (job->cancelled_at >= 0 && phase != LMN_JOB_CANCELLED))
            w.broke[R_WENT_BACK]++;
    }
}
