/* Troubles that a day's schedule begins, by kind. */
#include "partition/shutdown.h"
#include "simulation.h"

static const char *const names[FAULT_COUNT] = {
    [FAULT_REFUSED] = "refused",
    [FAULT_OUTAGE] = "outage",
    [FAULT_ISOLATED] = "isolated",
    [FAULT_SLOW_STATE] = "slow-state",
    [FAULT_LATE_WRITES] = "late-writes",
    [FAULT_CRASH] = "crash",
    [FAULT_CRASH_ALL] = "crash-all",
    [FAULT_FREEZE] = "freeze",
    [FAULT_NODE_LOSES_WORKERS] = "deaf-node",
    [FAULT_NODE_LOSES_PEERS] = "mute-node",
    [FAULT_LEAVE] = "leave",
    [FAULT_ZONE] = "zone",
    [FAULT_HANG] = "hang",
    [FAULT_MACHINE_HEARS_NOTHING] = "deaf-machine",
    [FAULT_PUSH_BLOCKED] = "shut-door",
    [FAULT_LATE_HEARTBEATS] = "late-reports",
    [FAULT_MACHINE_DIES] = "machine-dies",
    [FAULT_CLOUD] = "cloud-down",
    [FAULT_CANCEL] = "cancel",
    [FAULT_LOST_RESPONSES] = "lost-answers",
    [FAULT_REPEATED_READS] = "close-looks",
    [FAULT_ODD_REQUESTS] = "odd-requests",
    [FAULT_CANCEL_AT_END] = "cancel-at-end",
    [FAULT_HEARTBEATS_FOR_NEXT_OWNER] = "reports-for-next",
    [FAULT_OLD_HEARTBEATS] = "old-reports",
    [FAULT_NEW_MACHINES] = "new-machines",
    [FAULT_MACHINE_REACHES_NOBODY] = "mute-machine",
    [FAULT_LATE_COMMANDS] = "late-commands",
};

const char *fault_name(enum fault k)
{
    return names[k];
}

uint64_t simulation_epoch(int part)
{
    uint64_t epoch = 0;

    for (int i = 0; i < simulation.layout.nodes; i++) {
        const struct lmn_core *core = simulation.nodes[i].core;
        if (core && core->partitions[part].ownership.is_owned)
            epoch = MAX(epoch, core->partitions[part].ownership.epoch);
    }
    return epoch;
}

int simulation_largest_owner(void)
{
    int best = 0;
    unsigned most = 0;

    for (int i = 0; i < simulation.layout.nodes; i++) {
        unsigned n = 0;
        for (int k = 0; k < simulation.layout.nodes && simulation.nodes[i].core; k++)
            n += simulation.nodes[i].core->partitions[k].ownership.is_owned
                     ? simulation.nodes[i].core->partitions[k].machine_list->len
                     : 0;
        if (n > most) {
            most = n;
            best = i;
        }
    }
    return best;
}

void simulation_cancel_jobs(double share)
{
    for (int i = 0; i < simulation.njobs; i++)
        if (simulation.jobs[i].submitted && simulation.jobs[i].cancelled_at < 0 &&
            !simulation.jobs[i].told_done && simulation_chance(share))
            simulation_cancel(&simulation.jobs[i]);
}

static void later(double *until, double s)
{
    *until = MAX(*until, simulation.now + s);
}

static void on_nodes(enum fault k, int who, double s)
{
    struct node *node = &simulation.nodes[who];

    switch (k) {
    case FAULT_REFUSED:
        later(&node->cut_until, s);
        break;
    case FAULT_ISOLATED:
        later(&node->cut_until, s);
        later(&node->mute_until, s);
        break;
    case FAULT_SLOW_STATE:
        later(&node->slow_until, s);
        break;
    case FAULT_CRASH:
        if (node->core)
            node_crash(node, s);
        break;
    case FAULT_FREEZE:
        later(&node->still_until, s);
        break;
    case FAULT_NODE_LOSES_WORKERS:
        later(&node->deaf_until, s);
        break;
    case FAULT_NODE_LOSES_PEERS:
        later(&node->mute_until, s);
        break;
    case FAULT_LEAVE:
        if (node->core)
            lmn_shutdown_begin(node->core, simulation.clock);
        break;
    default:
        break;
    }
}

/* A few machines, or those that report to a node with it: a zone by itself. */
static void on_machines(enum fault k, int who, double s)
{
    for (int i = 0; i < simulation.layout.machines; i++) {
        struct machine *machine = &simulation.machines[i];
        if (k == FAULT_ZONE ? machine->node != who : !simulation_chance(0.4))
            continue;
        switch (k) {
        case FAULT_ZONE:
            machine->island = who;
            later(&machine->island_until, s);
            break;
        case FAULT_HANG:
            later(&machine->hang_until, s);
            break;
        case FAULT_MACHINE_HEARS_NOTHING:
            later(&machine->unheard_until, s);
            break;
        case FAULT_PUSH_BLOCKED:
            later(&machine->closed_until, s);
            break;
        case FAULT_MACHINE_REACHES_NOBODY:
            later(&machine->mute_until, s);
            break;
        case FAULT_MACHINE_DIES:
            if (simulation_chance(0.3)) {
                machine->dead = true;
                machine->ntasks = 0;
            }
            break;
        case FAULT_NEW_MACHINES:
            if (machine->dead)
                break;
            machine->dead = true;
            machine->ntasks = 0;
            machine->up_at =
                simulation.now + g_rand_double_range(simulation.random, 0.1, 2);
            break;
        default:
            break;
        }
    }
    if (k == FAULT_ZONE)
        later(&simulation.nodes[who].zone_until, s);
}

/* From any time, also of an earlier session or life of the machine's place. */
static void old_reports_now(void)
{
    for (int i = 0; i < simulation.layout.machines; i++) {
        const struct message *message = machine_old_heartbeat(&simulation.machines[i]);
        for (int k = 0; message && k < simulation.layout.nodes; k++)
            simulation_deliver_heartbeat(heartbeat_copy(message), k, simulation.now);
    }
}

void fault_begin(enum fault k, int who, double s)
{
    switch (k) {
    case FAULT_OUTAGE:
    case FAULT_CRASH_ALL:
        for (int i = 0; i < simulation.layout.nodes; i++)
            on_nodes(k == FAULT_OUTAGE ? FAULT_REFUSED : FAULT_CRASH, i, s);
        break;
    case FAULT_LATE_WRITES:
        later(&simulation.late_until, s);
        break;
    case FAULT_LATE_HEARTBEATS:
        later(&simulation.copies_until, s);
        break;
    case FAULT_HEARTBEATS_FOR_NEXT_OWNER:
        later(&simulation.keep_until, s);
        break;
    case FAULT_OLD_HEARTBEATS:
        old_reports_now();
        break;
    case FAULT_LATE_COMMANDS:
        later(&simulation.commands_until, s);
        break;
    case FAULT_CLOUD:
        later(&simulation.cloud_down_until, s);
        break;
    case FAULT_CANCEL:
        simulation_cancel_jobs(0.5);
        break;
    case FAULT_LOST_RESPONSES:
        later(&simulation.lost_until, s);
        break;
    case FAULT_REPEATED_READS:
        later(&simulation.repeated_reads_until, s);
        break;
    case FAULT_ODD_REQUESTS:
        later(&simulation.odd_requests_until, s);
        break;
    case FAULT_CANCEL_AT_END:
        later(&simulation.cancel_at_end_until, s);
        break;
    default:
        on_nodes(k, who, s);
        on_machines(k, who, s);
        break;
    }
}

double simulation_faults_end(void)
{
    double last = MAX(simulation.late_until,
                      MAX(simulation.copies_until, simulation.cloud_down_until));

    last = MAX(MAX(last, simulation.lost_until),
               MAX(simulation.odd_requests_until, simulation.cancel_at_end_until));

    last = MAX(last, simulation.keep_until);
    last = MAX(last, simulation.commands_until);
    for (int i = 0; i < simulation.layout.nodes; i++) {
        const struct node *node = &simulation.nodes[i];
        const double until[] = {node->cut_until,  node->mute_until,  node->slow_until,
                                node->down_until, node->still_until, node->deaf_until,
                                node->zone_until};
        for (size_t k = 0; k < G_N_ELEMENTS(until); k++)
            last = MAX(last, until[k]);
    }
    for (int i = 0; i < simulation.layout.machines; i++) {
        const struct machine *machine = &simulation.machines[i];
        last = MAX(last, MAX(machine->island_until, machine->hang_until));
        last = MAX(last, MAX(machine->unheard_until, machine->closed_until));
        last = MAX(last, machine->mute_until);
    }
    return last;
}
