/* Chooses the machines to probe, and applies their answers. The caller holds the core's
 * lock for all functions. */
#include "partition/worker_probe.h"

#include "http/client.h"
#include "partition/heartbeat_message.h"
#include "partition/heartbeat_tasks.h"
#include "partition/machine_attempts.h"
#include "partition/partition.h"
#include "state/core.h"
#include "state/fencing_token.h"
#include "state/task_ledger.h"
#include "util/log.h"

#include <string.h>

/* The interval between probes that only test whether workers can be reached. */
static const double REACHABILITY_PROBE_INTERVAL_S = 2;

/* The interval between probes of a machine. A probe may take two calls with a time-out of
 * 1 s each. PROBE_BACKOFF_S is added for each unanswered probe in a row, at most
 * MAX_PROBE_BACKOFFS times. */
static const double PROBE_INTERVAL_S = 2.5, PROBE_BACKOFF_S = 0.5;
enum { MAX_PROBE_BACKOFFS = 6 };

/* The delay before a machine's first failed probe is repeated. It is short, since no task
 * that the machine may hold can start elsewhere before the machine answers. */
static const double FIRST_RETRY_S = 0.2;

/* The time after a failover during which a machine's first probe is left to the thread
 * that serves the machine and may have a connection to it. After that, idle threads also
 * probe machines of threads that wait for a failed machine's time-out. Without this help,
 * with 16 threads and ten failed machines, a fifth of the live machines were probed 1 s
 * late. */
static const double OWN_THREAD_S = 0.5;

/* Whether the machine has to be probed now: either it was inherited from a previous owner
 * and its tasks are not known yet, or its heartbeats are overdue. */
static bool is_probe_due(const struct lmn_core *core, const struct lmn_machine *machine,
                         struct timespec now)
{
    return !machine->lifecycle.is_terminated &&
           !lmn_time_before(now, machine->agent.next_probe_at) &&
           ((machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted) ||
            lmn_machine_is_silent(core, machine, now));
}

/* Chooses a random machine of any partition if this controller receives no heartbeats at
 * all. It owns no partitions then, so no worker would contact it on its own when the
 * network has recovered. */
static bool next_reachability_probe(struct lmn_core *core, char *name, char *address,
                                    uint64_t *token, struct timespec now)
{
    if (!core->members.is_isolated_from_workers ||
        lmn_time_before(now, core->maintenance.next_reach_probe_at))
        return false;
    core->maintenance.next_reach_probe_at =
        lmn_time_add(now, REACHABILITY_PROBE_INTERVAL_S);
    gint32 partition_id = g_rand_int_range(core->random, 0, core->partition_count);
    const GPtrArray *machines = core->partitions[partition_id].machine_list;
    if (!machines->len)
        return false;
    const struct lmn_machine *machine =
        machines->pdata[g_rand_int_range(core->random, 0, (gint32)machines->len)];
    g_strlcpy(name, machine->name, LMN_NAME_SIZE);
    g_strlcpy(address, machine->address, LMN_ADDRESS_SIZE);
    *token = 0;
    return *address != 0;
}

/* The machine's free CPUs according to the replica. */
static double free_cpus(const struct lmn_machine *machine)
{
    return machine->type ? machine->type->cpus - machine->used.cpus : 0;
}

static bool belongs_to_thread(const struct lmn_machine *machine, unsigned thread_index,
                              unsigned thread_count)
{
    return g_str_hash(machine->name) % thread_count == thread_index;
}

/* Whether to probe `machine` before `other`. */
static bool is_probed_before(const struct lmn_machine *machine,
                             const struct lmn_machine *other, unsigned thread_index,
                             unsigned thread_count)
{
    bool is_own = belongs_to_thread(machine, thread_index, thread_count);
    bool other_is_own = belongs_to_thread(other, thread_index, thread_count);

    /* Machines that have not answered come last: each blocks a thread for a time-out of
     * 1 s. */
    if (machine->agent.unanswered_probes != other->agent.unanswered_probes)
        return machine->agent.unanswered_probes < other->agent.unanswered_probes;
    if (is_own != other_is_own)
        return is_own;
    /* Machines with the most free CPUs come first: once they have answered, queued tasks
     * can start there. */
    return free_cpus(machine) > free_cpus(other);
}

/* Returns the machine to probe first among `best`, which may be NULL, and the partition's
 * machines; NULL if none is due. */
static struct lmn_machine *choose_machine(const struct lmn_core *core,
                                          const struct lmn_partition *partition,
                                          struct lmn_machine *best, unsigned thread_index,
                                          unsigned thread_count, struct timespec now)
{
    bool any_thread = lmn_time_diff_s(now, partition->ownership.since) > OWN_THREAD_S;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct lmn_machine *machine = value;
        bool is_eligible = any_thread || machine->agent.unanswered_probes > 0 ||
                           belongs_to_thread(machine, thread_index, thread_count);
        if (is_eligible && is_probe_due(core, machine, now) &&
            (!best || is_probed_before(machine, best, thread_index, thread_count)))
            best = machine;
    }
    return best;
}

bool lmn_worker_client_next_probe(struct lmn_core *core, unsigned thread_index,
                                  unsigned thread_count, char *name, char *address,
                                  uint64_t *token, struct timespec now)
{
    struct lmn_machine *best = NULL;

    if (next_reachability_probe(core, name, address, token, now))
        return true;
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        if (partition->ownership.is_owned && partition->ownership.needs_probing)
            best = choose_machine(core, partition, best, thread_index, thread_count, now);
    }
    if (!best)
        return false;
    unsigned backoffs = MIN(best->agent.unanswered_probes, (unsigned)MAX_PROBE_BACKOFFS);
    best->agent.next_probe_at =
        lmn_time_add(now, PROBE_INTERVAL_S + PROBE_BACKOFF_S * backoffs);
    g_strlcpy(name, best->name, LMN_NAME_SIZE);
    g_strlcpy(address, best->address, LMN_ADDRESS_SIZE);
    *token = lmn_machine_token(best);
    return true;
}

uint64_t lmn_worker_client_replicated_incarnation(const struct lmn_core *core,
                                                  const char *name)
{
    const struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    const struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);

    return machine && !machine->agent.has_reported ? machine->agent.incarnation : 0;
}

/* Handles the refusal of a probe whose agent incarnation, from the replica, has ended. If
 * the response contains a newer incarnation, schedules a probe of that one at once.
 * Returns whether it does. */
static bool read_newer_incarnation(struct lmn_machine *machine, const GByteArray *answer,
                                   struct timespec now)
{
    struct lmn_cbor_document document;
    struct lmn_heartbeat heartbeat;

    if (lmn_cbor_parse(&document, answer->data, answer->len) != 0)
        return false;
    bool is_newer = !lmn_heartbeat_parse(&heartbeat, &document) &&
                    !strcmp(heartbeat.name, machine->name) &&
                    heartbeat.agent_incarnation > machine->agent.incarnation;
    lmn_cbor_free(&document);
    if (!is_newer)
        return false;
    machine->agent.incarnation = heartbeat.agent_incarnation;
    machine->agent.unanswered_probes = 0;
    machine->agent.next_probe_at = now;
    return true;
}

/* Whether the answer proves which tasks are on the machine. The worker wrote it after it
 * had accepted this owner's epoch, so it refuses any later command of a previous owner,
 * and no previous owner can renew the worker's lease any more. */
static bool is_conclusive(const struct lmn_machine *machine,
                          const struct lmn_heartbeat *heartbeat)
{
    const struct lmn_agent_view *agent = &machine->agent;

    if (!lmn_ownership_issued_token(&machine->partition->ownership,
                                    heartbeat->fencing_token) ||
        strcmp(heartbeat->name, machine->name) != 0)
        return false;
    return !agent->has_reported || heartbeat->agent_incarnation > agent->incarnation ||
           (heartbeat->agent_incarnation == agent->incarnation &&
            heartbeat->sequence > agent->sequence);
}

static void update_agent_view(struct lmn_agent_view *agent,
                              const struct lmn_heartbeat *heartbeat, struct timespec now)
{
    if (!agent->has_reported || heartbeat->agent_incarnation > agent->incarnation)
        agent->heartbeat_sequence = 0;
    agent->has_reported = true;
    agent->incarnation = heartbeat->agent_incarnation;
    agent->sequence = heartbeat->sequence;
    agent->last_heartbeat_at = now;
}

/* Marks the machine as accounted for: it holds the tasks in its answer, and no others. */
static void account_machine(struct lmn_core *core, struct lmn_machine *machine,
                            const struct lmn_cbor_document *document,
                            const struct lmn_heartbeat *heartbeat, struct timespec now)
{
    struct lmn_partition *partition = machine->partition;

    machine->lifecycle.is_accounted = true;
    update_agent_view(&machine->agent, heartbeat, now);
    lmn_machine_token_reported(machine, heartbeat->fencing_token);
    if (!machine->type)
        machine->type = lmn_machine_type_by_name(core, machine->type_name);
    lmn_debug("machine_accounted machine=%s epoch=%" G_GUINT64_FORMAT " by=probe",
              machine->name, partition->ownership.epoch);
    lmn_heartbeat_apply_tasks(core, machine, document, heartbeat->tasks, now);
    /* Attempts that are in the replica but not in the answer are not on the machine, and
     * cannot start there: the worker refuses delayed commands of an older epoch. */
    for (guint i = machine->attempts->len; i-- > 0;)
        if (g_array_index(machine->attempts, struct lmn_attempt, i).from_replica)
            lmn_attempt_remove_absent(core, machine, i, LMN_ABSENT_FROM_PROBE_ANSWER,
                                      now);
    lmn_machine_mark_unreplicated(machine);
    lmn_partition_check_ready(core, partition, now);
    /* Lets the thread that has a connection to the worker push commands to it next. */
    if (partition->ownership.is_warm)
        lmn_machine_wake(machine);
}

static void apply_answer(struct lmn_core *core, struct lmn_machine *machine,
                         const GByteArray *answer, struct timespec now)
{
    struct lmn_cbor_document document;
    struct lmn_heartbeat heartbeat;

    if (lmn_cbor_parse(&document, answer->data, answer->len) != 0)
        return;
    if (!lmn_heartbeat_parse(&heartbeat, &document) && is_conclusive(machine, &heartbeat))
        account_machine(core, machine, &document, &heartbeat, now);
    lmn_cbor_free(&document);
}

void lmn_worker_client_probe_done(struct lmn_core *core, const char *name, uint64_t token,
                                  int status, const GByteArray *answer,
                                  struct timespec now)
{
    struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);

    if (!token) {
        if (status == 200)
            lmn_members_record_own_worker(&core->members, now);
        return;
    }
    if (!machine || !partition->ownership.is_owned ||
        !lmn_ownership_issued_token(&partition->ownership, token) ||
        machine->lifecycle.is_terminated)
        return;
    machine->agent.unanswered_probes++;
    if (machine->lifecycle.is_accounted) {
        /* The machine's tasks are known, so the probe was only a test whether the worker
         * can be reached, which any response shows. */
        if (status == 200 || status == 409)
            machine->agent.unanswered_probes = 0;
        return;
    }
    if (status == 409 && !machine->agent.has_reported) {
        if (machine->agent.incarnation && read_newer_incarnation(machine, answer, now))
            return;
        /* The replica's incarnation has ended: the next probe requests the new one. */
        machine->agent.incarnation = 0;
    }
    if (machine->agent.unanswered_probes == 1 && status != 200)
        machine->agent.next_probe_at = lmn_time_add(now, FIRST_RETRY_S);
    if (status == 200)
        apply_answer(core, machine, answer, now);
}
