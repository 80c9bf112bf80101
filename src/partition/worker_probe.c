/* Which machines are probed, and what their answers prove. The core's lock is held by the
 * caller throughout. */
#include "partition/worker_probe.h"

#include "http/client.h"
#include "partition/heartbeat_message.h"
#include "partition/heartbeat_tasks.h"
#include "partition/machine_attempts.h"
#include "partition/partition.h"
#include "state/core.h"
#include "state/task_ledger.h"
#include "util/log.h"

#include <string.h>

/* Between two probes that only find out whether workers can be reached. */
static const double REACHABILITY_PROBE_INTERVAL_S = 2;

/* Until a machine is probed again: two calls of 1 s each, and half a second for each
 * probe in a row that got no answer, up to so many. */
static const double PROBE_INTERVAL_S = 2.5, PROBE_BACKOFF_S = 0.5;
enum { MAX_PROBE_BACKOFFS = 6 };

/* The first unanswered probe of a machine is repeated so soon, since whatever it may hold
 * waits for the answer. */
static const double FIRST_RETRY_S = 0.2;

/* For so long after a failover a machine that was not probed yet is left to its own
 * thread, which may have a connection to it. Then threads with nothing left to do help
 * those that a dead machine holds up. Without that help, of 16 threads and with ten dead
 * machines, a fifth of the live machines were probed a second late. */
static const double OWN_THREAD_S = 0.5;

/* Whether the machine has to be probed now: it is inherited and not accounted for, or it
 * has fallen silent since. */
static bool is_probe_due(const struct lmn_core *core, const struct lmn_machine *machine,
                         struct timespec now)
{
    return !machine->lifecycle.is_terminated &&
           !lmn_time_before(now, machine->agent.next_probe_at) &&
           ((machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted) ||
            lmn_machine_is_silent(core, machine, now));
}

/* A controller that gets no heartbeats has no partitions left, and so no workers that
 * might come back to it: now and then it probes a machine of any partition. */
static bool next_reachability_probe(struct lmn_core *core, char *name, char *address,
                                    uint64_t *epoch, struct timespec now)
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
    *epoch = 0;
    return *address != 0;
}

/* Processors that are free, as far as the replica says. */
static double free_cpus(const struct lmn_machine *machine)
{
    return machine->type ? machine->type->cpus - machine->used.cpus : 0;
}

static bool belongs_to_thread(const struct lmn_machine *machine, unsigned thread_index,
                              unsigned thread_count)
{
    return g_str_hash(machine->name) % thread_count == thread_index;
}

/* Whether to probe `machine` rather than `other`. */
static bool is_probed_before(const struct lmn_machine *machine,
                             const struct lmn_machine *other, unsigned thread_index,
                             unsigned thread_count)
{
    bool is_own = belongs_to_thread(machine, thread_index, thread_count);
    bool other_is_own = belongs_to_thread(other, thread_index, thread_count);

    /* Those that have not answered come last: each holds its thread up for a second. */
    if (machine->agent.unanswered_probes != other->agent.unanswered_probes)
        return machine->agent.unanswered_probes < other->agent.unanswered_probes;
    if (is_own != other_is_own)
        return is_own;
    /* Those with free capacity first, since work can start there. */
    return free_cpus(machine) > free_cpus(other);
}

/* The better of `best` (NULL: none yet) and the partition's machines for a probe. */
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
                                  uint64_t *epoch, struct timespec now)
{
    struct lmn_machine *best = NULL;

    if (next_reachability_probe(core, name, address, epoch, now))
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
    *epoch = best->partition->ownership.epoch;
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

/* The agent incarnation that the replica named has ended. If the worker's refusal names a
 * newer one, that one is probed at once.
 * Returns whether it does. */
static bool learn_incarnation(struct lmn_machine *machine, const GByteArray *answer,
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

/* Whether the answer proves what is on the machine. It was written after the worker had
 * taken our epoch, so whatever a predecessor sends comes too late; and the worker's lease
 * was renewed before now, if by anyone else. */
static bool is_conclusive(const struct lmn_machine *machine,
                          const struct lmn_heartbeat *heartbeat, uint64_t epoch)
{
    const struct lmn_agent_view *agent = &machine->agent;

    if (heartbeat->fencing_token != epoch || strcmp(heartbeat->name, machine->name) != 0)
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

/* Accounts for the machine: it holds the tasks that its answer names, and no others. */
static void account_machine(struct lmn_core *core, struct lmn_machine *machine,
                            const struct lmn_cbor_document *document,
                            const struct lmn_heartbeat *heartbeat, struct timespec now)
{
    struct lmn_partition *partition = machine->partition;

    machine->lifecycle.is_accounted = true;
    update_agent_view(&machine->agent, heartbeat, now);
    if (!machine->type)
        machine->type = lmn_machine_type_by_name(core, machine->type_name);
    lmn_debug("machine_accounted machine=%s epoch=%" G_GUINT64_FORMAT " by=probe",
              machine->name, partition->ownership.epoch);
    lmn_heartbeat_apply_tasks(core, machine, document, heartbeat->tasks, now);
    /* Attempts that the replica named and the answer does not are not there and never
     * will be: a command that is still on its way is of an older epoch. */
    for (guint i = machine->attempts->len; i-- > 0;)
        if (g_array_index(machine->attempts, struct lmn_attempt, i).from_replica)
            lmn_attempt_remove_absent(core, machine, i, now);
    lmn_machine_mark_unreplicated(machine);
    lmn_partition_check_ready(core, partition, now);
    /* The thread that has a connection to the worker pushes to it next. */
    if (partition->ownership.is_warm)
        lmn_machine_wake(machine);
}

static void apply_answer(struct lmn_core *core, struct lmn_machine *machine,
                         uint64_t epoch, const GByteArray *answer, struct timespec now)
{
    struct lmn_cbor_document document;
    struct lmn_heartbeat heartbeat;

    if (lmn_cbor_parse(&document, answer->data, answer->len) != 0)
        return;
    if (!lmn_heartbeat_parse(&heartbeat, &document) &&
        is_conclusive(machine, &heartbeat, epoch))
        account_machine(core, machine, &document, &heartbeat, now);
    lmn_cbor_free(&document);
}

void lmn_worker_client_probe_done(struct lmn_core *core, const char *name, uint64_t epoch,
                                  int status, const GByteArray *answer,
                                  struct timespec now)
{
    struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);

    if (!epoch) {
        if (status == 200)
            lmn_members_record_own_worker(&core->members, now);
        return;
    }
    if (!machine || !partition->ownership.is_owned ||
        partition->ownership.epoch != epoch || machine->lifecycle.is_terminated)
        return;
    machine->agent.unanswered_probes++;
    if (machine->lifecycle.is_accounted) {
        /* Any answer shows that the worker can be reached: nothing else was asked. */
        if (status == 200 || status == 409)
            machine->agent.unanswered_probes = 0;
        return;
    }
    if (status == 409 && !machine->agent.has_reported) {
        if (machine->agent.incarnation && learn_incarnation(machine, answer, now))
            return;
        /* Not the one that the replica named: the next probe asks for it. */
        machine->agent.incarnation = 0;
    }
    if (machine->agent.unanswered_probes == 1 && status != 200)
        machine->agent.next_probe_at = lmn_time_add(now, FIRST_RETRY_S);
    if (status == 200)
        apply_answer(core, machine, epoch, answer, now);
}
