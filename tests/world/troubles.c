/* Troubles that a day's schedule begins, by kind. */
#include "partition/shutdown.h"
#include "world.h"

static const char *const names[TROUBLES] = {
    [T_REFUSED] = "refused",
    [T_OUTAGE] = "outage",
    [T_ISOLATED] = "isolated",
    [T_SLOW_STATE] = "slow-state",
    [T_LATE_WRITES] = "late-writes",
    [T_CRASH] = "crash",
    [T_CRASH_ALL] = "crash-all",
    [T_FREEZE] = "freeze",
    [T_DEAF_NODE] = "deaf-node",
    [T_MUTE_NODE] = "mute-node",
    [T_LEAVE] = "leave",
    [T_ZONE] = "zone",
    [T_HANG] = "hang",
    [T_DEAF_MACHINE] = "deaf-machine",
    [T_SHUT_DOOR] = "shut-door",
    [T_LATE_REPORTS] = "late-reports",
    [T_MACHINE_DIES] = "machine-dies",
    [T_CLOUD] = "cloud-down",
    [T_CANCEL] = "cancel",
    [T_LOST_ANSWERS] = "lost-answers",
    [T_CLOSE_LOOKS] = "close-looks",
    [T_ODD_REQUESTS] = "odd-requests",
    [T_CANCEL_AT_END] = "cancel-at-end",
    [T_REPORTS_FOR_NEXT] = "reports-for-next",
    [T_OLD_REPORTS] = "old-reports",
    [T_NEW_MACHINES] = "new-machines",
    [T_MUTE_MACHINE] = "mute-machine",
    [T_LATE_COMMANDS] = "late-commands",
};

const char *trouble_name(enum trouble k)
{
    return names[k];
}

uint64_t world_term(int part)
{
    uint64_t epoch = 0;

    for (int i = 0; i < w.layout.nodes; i++) {
        const struct lmn_core *core = w.nodes[i].core;
        if (core && core->partitions[part].ownership.is_owned)
            epoch = MAX(epoch, core->partitions[part].ownership.epoch);
    }
    return epoch;
}

int world_leader(void)
{
    int best = 0;
    unsigned most = 0;

    for (int i = 0; i < w.layout.nodes; i++) {
        unsigned n = 0;
        for (int k = 0; k < w.layout.nodes && w.nodes[i].core; k++)
            n += w.nodes[i].core->partitions[k].ownership.is_owned
                     ? w.nodes[i].core->partitions[k].machine_list->len
                     : 0;
        if (n > most) {
            most = n;
            best = i;
        }
    }
    return best;
}

void world_cancel_some(double share)
{
    for (int i = 0; i < w.njobs; i++)
        if (w.jobs[i].submitted && w.jobs[i].cancelled_at < 0 && !w.jobs[i].told_done &&
            world_chance(share))
            world_cancel(&w.jobs[i]);
}

static void later(double *until, double s)
{
    *until = MAX(*until, w.now + s);
}

static void on_nodes(enum trouble k, int who, double s)
{
    struct node *node = &w.nodes[who];

    switch (k) {
    case T_REFUSED:
        later(&node->cut_until, s);
        break;
    case T_ISOLATED:
        later(&node->cut_until, s);
        later(&node->mute_until, s);
        break;
    case T_SLOW_STATE:
        later(&node->slow_until, s);
        break;
    case T_CRASH:
        if (node->core)
            node_crash(node, s);
        break;
    case T_FREEZE:
        later(&node->still_until, s);
        break;
    case T_DEAF_NODE:
        later(&node->deaf_until, s);
        break;
    case T_MUTE_NODE:
        later(&node->mute_until, s);
        break;
    case T_LEAVE:
        if (node->core)
            lmn_shutdown_begin(node->core, w.clock);
        break;
    default:
        break;
    }
}

/* A few machines, or those that report to a node with it: a zone by itself. */
static void on_machines(enum trouble k, int who, double s)
{
    for (int i = 0; i < w.layout.machines; i++) {
        struct machine *machine = &w.machines[i];
        if (k == T_ZONE ? machine->node != who : !world_chance(0.4))
            continue;
        switch (k) {
        case T_ZONE:
            machine->island = who;
            later(&machine->island_until, s);
            break;
        case T_HANG:
            later(&machine->hang_until, s);
            break;
        case T_DEAF_MACHINE:
            later(&machine->unheard_until, s);
            break;
        case T_SHUT_DOOR:
            later(&machine->closed_until, s);
            break;
        case T_MUTE_MACHINE:
            later(&machine->mute_until, s);
            break;
        case T_MACHINE_DIES:
            if (world_chance(0.3)) {
                machine->dead = true;
                machine->ntasks = 0;
            }
            break;
        case T_NEW_MACHINES:
            if (machine->dead)
                break;
            machine->dead = true;
            machine->ntasks = 0;
            machine->up_at = w.now + g_rand_double_range(w.r, 0.1, 2);
            break;
        default:
            break;
        }
    }
    if (k == T_ZONE)
        later(&w.nodes[who].zone_until, s);
}

/* From any time, also of an earlier session or life of the machine's place. */
static void old_reports_now(void)
{
    for (int i = 0; i < w.layout.machines; i++) {
        const struct message *message = machine_old_report(&w.machines[i]);
        for (int k = 0; message && k < w.layout.nodes; k++)
            mail_report(machine_report_copy(message), k, w.now);
    }
}

void trouble_begin(enum trouble k, int who, double s)
{
    switch (k) {
    case T_OUTAGE:
    case T_CRASH_ALL:
        for (int i = 0; i < w.layout.nodes; i++)
            on_nodes(k == T_OUTAGE ? T_REFUSED : T_CRASH, i, s);
        break;
    case T_LATE_WRITES:
        later(&w.late_until, s);
        break;
    case T_LATE_REPORTS:
        later(&w.copies_until, s);
        break;
    case T_REPORTS_FOR_NEXT:
        later(&w.keep_until, s);
        break;
    case T_OLD_REPORTS:
        old_reports_now();
        break;
    case T_LATE_COMMANDS:
        later(&w.commands_until, s);
        break;
    case T_CLOUD:
        later(&w.cloud_down_until, s);
        break;
    case T_CANCEL:
        world_cancel_some(0.5);
        break;
    case T_LOST_ANSWERS:
        later(&w.lost_until, s);
        break;
    case T_CLOSE_LOOKS:
        later(&w.looks_until, s);
        break;
    case T_ODD_REQUESTS:
        later(&w.odd_until, s);
        break;
    case T_CANCEL_AT_END:
        later(&w.cancel_at_end_until, s);
        break;
    default:
        on_nodes(k, who, s);
        on_machines(k, who, s);
        break;
    }
}

double world_trouble_until(void)
{
    double last = MAX(w.late_until, MAX(w.copies_until, w.cloud_down_until));

    last = MAX(MAX(last, w.lost_until), MAX(w.odd_until, w.cancel_at_end_until));

    last = MAX(last, w.keep_until);
    last = MAX(last, w.commands_until);
    for (int i = 0; i < w.layout.nodes; i++) {
        const struct node *node = &w.nodes[i];
        const double until[] = {node->cut_until,  node->mute_until,  node->slow_until,
                                node->down_until, node->still_until, node->deaf_until,
                                node->zone_until};
        for (size_t k = 0; k < G_N_ELEMENTS(until); k++)
            last = MAX(last, until[k]);
    }
    for (int i = 0; i < w.layout.machines; i++) {
        const struct machine *machine = &w.machines[i];
        last = MAX(last, MAX(machine->island_until, machine->hang_until));
        last = MAX(last, MAX(machine->unheard_until, machine->closed_until));
        last = MAX(last, machine->mute_until);
    }
    return last;
}
