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
bool world_holds(const struct machine *m)
{
    /* Nor in the step in which it goes on, before its turn: the first thing that it does
     * is to end them. */
    bool hangs = w.now - STEP_S < m->hang_until;

    return !m->dead && !(hangs && w.now - m->lease_from > w.lease_s);
}

bool world_active(const struct machine *m, const struct task *t)
{
    return t->state != ENDED && world_holds(m);
}

void world_started(struct machine *m, const struct task *t)
{
    struct job *j = &w.jobs[t->job];
    double cpus = 0;
    uint32_t here = 0, elsewhere = 0;

    for (int i = 0; i < w.layout.machines; i++)
        for (int k = 0; k < w.machines[i].ntasks; k++) {
            const struct task *o = &w.machines[i].tasks[k];
            here += o->job == t->job && o->state == RUNNING &&
                    world_holds(&w.machines[i]) && !strcmp(w.machines[i].zone, m->zone);
            if (o->state != RUNNING || !world_holds(&w.machines[i]))
                continue;
            elsewhere += o->job == t->job && strcmp(w.machines[i].zone, m->zone) != 0;
            if (&w.machines[i] != m && o->job == t->job && o->index == t->index)
                w.broke[R_TWICE]++;
            if (!strcmp(w.jobs[o->job].spec.team, j->spec.team))
                cpus += w.jobs[o->job].spec.cpus;
        }
    if (cpus > w.layout.limit + 1e-6)
        w.broke[R_QUOTA]++;
    if ((m->spot && !j->spec.spot) || (j->spec.zone && strcmp(j->spec.zone, m->zone)))
        w.broke[R_PLACE]++;
    if (j->spec.spread && here > (j->spec.tasks + 1) / 2)
        w.broke[R_PLACE]++;
    if (j->spec.one_zone && elsewhere)
        w.broke[R_PLACE]++;
    if (j->began_at < 0)
        j->began_at = w.now;
    w.starts++;
}

void world_check(void)
{
    for (int i = 0; i < w.layout.machines; i++)
        for (int k = 0; k < w.machines[i].ntasks; k++) {
            const struct task *t = &w.machines[i].tasks[k];
            const struct job *j = &w.jobs[t->job];
            if (t->state != RUNNING || !world_holds(&w.machines[i]) ||
                j->cancelled_at < 0)
                continue;
            double margin = w.cancel_s - (w.now - j->cancelled_at);
            w.least_margin = MIN(w.least_margin, margin);
            w.broke[R_CANCELLED] += margin < 0;
        }
    for (int i = 0; i < w.njobs; i++) {
        struct job *j = &w.jobs[i];
        struct lmn_job_spec s;
        uint32_t open;
        double at;
        /* What a record says is judged when it changes. */
        if (!j->submitted || world_job_revision(j) == j->read_rev)
            continue;
        j->read_rev = world_job_revision(j);
        enum lmn_job_phase phase = world_read_job(j, &s, &open, &at);
        lmn_job_spec_clear(&s);
        if (phase == LMN_JOB_DONE && !j->told_done) {
            j->told_done = true;
            j->answered_at = w.now;
            w.finished++;
            for (uint32_t k = 0; k < j->spec.tasks; k++)
                if (!j->done[k]) {
                    w.broke[R_NOT_DONE]++;
                    break;
                }
        }
        if ((j->told_done && phase != LMN_JOB_DONE) ||
            (j->cancelled_at >= 0 && phase != LMN_JOB_CANCELLED))
            w.broke[R_WENT_BACK]++;
    }
}
