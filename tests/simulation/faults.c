/* The faults that a schedule begins, by kind. */
#include "partition/shutdown.h"
#include "simulation.h"

static const char *const fault_names[FAULT_COUNT] = {
    [FAULT_REFUSED] = "store-refuses-node",
    [FAULT_OUTAGE] = "store-outage",
    [FAULT_ISOLATED] = "node-isolated",
    [FAULT_SLOW_STATE] = "slow-store",
    [FAULT_LATE_WRITES] = "late-writes",
    [FAULT_CRASH] = "node-crash",
    [FAULT_CRASH_ALL] = "all-nodes-crash",
    [FAULT_FREEZE] = "node-freeze",
    [FAULT_NODE_LOSES_WORKERS] = "node-loses-workers",
    [FAULT_NODE_LOSES_PEERS] = "node-loses-peers",
    [FAULT_LEAVE] = "node-shutdown",
    [FAULT_ZONE] = "zone-isolated",
    [FAULT_HANG] = "machine-hang",
    [FAULT_MACHINE_HEARS_NOTHING] = "machine-hears-nothing",
    [FAULT_PUSH_BLOCKED] = "pushed-commands-delayed",
    [FAULT_LATE_HEARTBEATS] = "late-heartbeats",
    [FAULT_MACHINE_DIES] = "machine-terminated",
    [FAULT_CLOUD] = "cloud-down",
    [FAULT_CANCEL] = "cancel",
    [FAULT_LOST_RESPONSES] = "lost-responses",
    [FAULT_REPEATED_READS] = "repeated-reads",
    [FAULT_ODD_REQUESTS] = "odd-requests",
    [FAULT_CANCEL_AT_END] = "cancel-at-end",
    [FAULT_HEARTBEATS_FOR_NEXT_OWNER] = "heartbeats-for-next-owner",
    [FAULT_OLD_HEARTBEATS] = "old-heartbeats",
    [FAULT_NEW_MACHINES] = "new-machines",
    [FAULT_MACHINE_REACHES_NOBODY] = "machine-reaches-nobody",
    [FAULT_LATE_COMMANDS] = "late-commands",
    [FAULT_COPIED_COMMANDS] = "copied-commands",
};

const char *fault_name(enum fault kind)
{
    return fault_names[kind];
}

uint64_t simulation_epoch(int partition)
{
    uint64_t epoch = 0;

    for (int i = 0; i < simulation.layout.nodes; i++) {
        const struct lmn_core *core = simulation.nodes[i].core;
        if (core && core->partitions[partition].ownership.is_owned)
            epoch = MAX(epoch, core->partitions[partition].ownership.epoch);
    }
    return epoch;
}

int simulation_largest_owner(void)
{
    int leader = 0;
    unsigned most = 0;

    for (int i = 0; i < simulation.layout.nodes; i++) {
        unsigned count = 0;
        for (int k = 0; k < simulation.layout.nodes && simulation.nodes[i].core; k++)
            count += simulation.nodes[i].core->partitions[k].ownership.is_owned
                         ? simulation.nodes[i].core->partitions[k].machine_list->len
                         : 0;
        if (count > most) {
            most = count;
            leader = i;
        }
    }
    return leader;
}

void simulation_cancel_jobs(double probability)
{
    for (int i = 0; i < simulation.job_count; i++)
        if (simulation.jobs[i].submitted && simulation.jobs[i].cancelled_at < 0 &&
            !simulation.jobs[i].recorded_done && simulation_chance(probability))
            simulation_cancel(&simulation.jobs[i]);
}

static void extend(double *until, double duration_s)
{
    *until = MAX(*until, simulation.now + duration_s);
}

static void affect_node(enum fault kind, int node, double duration_s)
{
    struct node *target = &simulation.nodes[node];

    switch (kind) {
    case FAULT_REFUSED:
        extend(&target->store_unreachable_until, duration_s);
        break;
    case FAULT_ISOLATED:
        extend(&target->store_unreachable_until, duration_s);
        extend(&target->peers_unreachable_until, duration_s);
        break;
    case FAULT_SLOW_STATE:
        extend(&target->store_slow_until, duration_s);
        break;
    case FAULT_CRASH:
        if (target->core)
            node_crash(target, duration_s);
        break;
    case FAULT_FREEZE:
        extend(&target->frozen_until, duration_s);
        break;
    case FAULT_NODE_LOSES_WORKERS:
        extend(&target->workers_unreachable_until, duration_s);
        break;
    case FAULT_NODE_LOSES_PEERS:
        extend(&target->peers_unreachable_until, duration_s);
        break;
    case FAULT_LEAVE:
        if (target->core)
            lmn_shutdown_begin(target->core, simulation.clock);
        break;
    default:
        break;
    }
}

/* Affects some machines by chance; for FAULT_ZONE those that report to the controller,
 * which are then isolated together with it. */
static void affect_machines(enum fault kind, int node, double duration_s)
{
    for (int i = 0; i < simulation.layout.machines; i++) {
        struct machine *machine = &simulation.machines[i];
        if (kind == FAULT_ZONE ? machine->node != node : !simulation_chance(0.4))
            continue;
        switch (kind) {
        case FAULT_ZONE:
            machine->isolated_with = node;
            extend(&machine->isolated_until, duration_s);
            break;
        case FAULT_HANG:
            extend(&machine->hang_until, duration_s);
            break;
        case FAULT_MACHINE_HEARS_NOTHING:
            extend(&machine->inbound_lost_until, duration_s);
            break;
        case FAULT_PUSH_BLOCKED:
            extend(&machine->commands_delayed_until, duration_s);
            break;
        case FAULT_MACHINE_REACHES_NOBODY:
            extend(&machine->outbound_lost_until, duration_s);
            break;
        case FAULT_MACHINE_DIES:
            if (simulation_chance(0.3)) {
                machine->is_terminated = true;
                machine->task_count = 0;
            }
            break;
        case FAULT_NEW_MACHINES:
            if (machine->is_terminated)
                break;
            machine->is_terminated = true;
            machine->task_count = 0;
            machine->replaced_at =
                simulation.now + g_rand_double_range(simulation.random, 0.1, 2);
            break;
        default:
            break;
        }
    }
    if (kind == FAULT_ZONE)
        extend(&simulation.nodes[node].zone_isolated_until, duration_s);
}

/* The heartbeats may come from earlier incarnations of the agent or from earlier
 * machines with the same index. */
static void deliver_old_heartbeats(void)
{
    for (int i = 0; i < simulation.layout.machines; i++) {
        const struct message *message = machine_old_heartbeat(&simulation.machines[i]);
        for (int k = 0; message && k < simulation.layout.nodes; k++)
            simulation_deliver_heartbeat(heartbeat_copy(message), k, simulation.now);
    }
}

void fault_begin(enum fault kind, int node, double duration_s)
{
    switch (kind) {
    case FAULT_OUTAGE:
    case FAULT_CRASH_ALL:
        for (int i = 0; i < simulation.layout.nodes; i++)
            affect_node(kind == FAULT_OUTAGE ? FAULT_REFUSED : FAULT_CRASH, i,
                        duration_s);
        break;
    case FAULT_LATE_WRITES:
        extend(&simulation.late_writes_until, duration_s);
        break;
    case FAULT_LATE_HEARTBEATS:
        extend(&simulation.copied_heartbeats_until, duration_s);
        break;
    case FAULT_HEARTBEATS_FOR_NEXT_OWNER:
        extend(&simulation.keep_heartbeats_until, duration_s);
        break;
    case FAULT_OLD_HEARTBEATS:
        deliver_old_heartbeats();
        break;
    case FAULT_LATE_COMMANDS:
        extend(&simulation.late_commands_until, duration_s);
        break;
    case FAULT_COPIED_COMMANDS:
        extend(&simulation.copied_commands_until, duration_s);
        break;
    case FAULT_CLOUD:
        extend(&simulation.cloud_down_until, duration_s);
        break;
    case FAULT_CANCEL:
        simulation_cancel_jobs(0.5);
        break;
    case FAULT_LOST_RESPONSES:
        extend(&simulation.lost_responses_until, duration_s);
        break;
    case FAULT_REPEATED_READS:
        extend(&simulation.repeated_reads_until, duration_s);
        break;
    case FAULT_ODD_REQUESTS:
        extend(&simulation.odd_requests_until, duration_s);
        break;
    case FAULT_CANCEL_AT_END:
        extend(&simulation.cancel_at_end_until, duration_s);
        break;
    default:
        affect_node(kind, node, duration_s);
        affect_machines(kind, node, duration_s);
        break;
    }
}

double simulation_faults_end(void)
{
    double last =
        MAX(simulation.late_writes_until,
            MAX(simulation.copied_heartbeats_until, simulation.cloud_down_until));

    last = MAX(MAX(last, simulation.lost_responses_until),
               MAX(simulation.odd_requests_until, simulation.cancel_at_end_until));

    last = MAX(last, simulation.keep_heartbeats_until);
    last = MAX(last, simulation.late_commands_until);
    last = MAX(last, simulation.copied_commands_until);
    for (int i = 0; i < simulation.layout.nodes; i++) {
        const struct node *node = &simulation.nodes[i];
        const double until[] = {node->store_unreachable_until,
                                node->peers_unreachable_until,
                                node->store_slow_until,
                                node->down_until,
                                node->frozen_until,
                                node->workers_unreachable_until,
                                node->zone_isolated_until};
        for (size_t k = 0; k < G_N_ELEMENTS(until); k++)
            last = MAX(last, until[k]);
    }
    for (int i = 0; i < simulation.layout.machines; i++) {
        const struct machine *machine = &simulation.machines[i];
        last = MAX(last, MAX(machine->isolated_until, machine->hang_until));
        last =
            MAX(last, MAX(machine->inbound_lost_until, machine->commands_delayed_until));
        last = MAX(last, machine->outbound_lost_until);
    }
    return last;
}
