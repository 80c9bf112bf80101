/* Users, the mail, and a whole day. */
#include "simulation.h"

#include "protocol/wire.h"
#include "partition/partition.h"
#include "replication/start_gate.h"
#include "replication/stream.h"
#include "state/records.h"

#include <stdlib.h>
#include <string.h>

const struct layout usual = {3, 7, 2, 9000, 0, 24, 20};
struct simulation simulation;
bool flapping_members, standbys;
const struct schedule *schedule;

/* How many steps a day may go on for so that a partition that has just changed hands is
 * ready. */
enum { RETURN_STEPS = 50 };

bool simulation_chance(double p)
{
    return g_rand_double(simulation.random) < p;
}

const char *simulation_team(int number)
{
    static const char *const teams[MAX_TEAMS] = {"x", "y", "z"};

    return teams[number];
}

/* Something may go wrong. */
bool simulation_fault_chance(double p)
{
    return !simulation.calm && simulation_chance(p);
}

/* Where a worker turns that was not answered: to the node that was named, or the next. */
static int sent_on(const struct machine *machine, int status, const GByteArray *answer)
{
    struct lmn_cbor_document d;
    char name[LMN_NAME_SIZE] = "";

    if (status == 421 && lmn_cbor_parse(&d, answer->data, answer->len) == 0) {
        lmn_cbor_get_text(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_REDIRECT_TO), name,
                          sizeof name);
        lmn_cbor_free(&d);
    }
    return *name ? atoi(name + 1) : (machine->node + 1) % simulation.layout.nodes;
}

void simulation_deliver_heartbeat(struct message *copy, int node, double at)
{
    copy->node = node;
    copy->at = at;
    g_ptr_array_add(simulation.messages, copy);
}

static void mail_copy(const struct message *message)
{
    double at = simulation.now + g_rand_double_range(simulation.random, 2, 24);
    bool elsewhere = simulation.now < simulation.copies_until && simulation_chance(0.3);

    simulation_deliver_heartbeat(
        heartbeat_copy(message),
        elsewhere ? g_rand_int_range(simulation.random, 0, simulation.layout.nodes)
                  : message->node,
        at);
}

/* A copy of a report waits until the partition has a newer term, which one of its
 * machines has taken, and a while longer. */
struct kept_report {
    struct message *report;
    int part;
    uint64_t term;
    double wait_s, ready_at; /* 0: the next leader has not acted yet */
};

static int part_of(const struct message *message)
{
    return lmn_partition_for_machine(simulation.machines[message->machine].name,
                                     simulation.layout.nodes);
}

static void keep_for_next(const struct message *message)
{
    struct kept_report *k = g_new0(struct kept_report, 1);

    k->report = heartbeat_copy(message);
    k->part = part_of(message);
    k->term = simulation_epoch(k->part);
    k->wait_s = simulation_chance(0.5) ? 0 : g_rand_double_range(simulation.random, 0, 4);
    g_ptr_array_add(simulation.kept, k);
}

static bool has_acted(int part, uint64_t epoch)
{
    for (int i = 0; i < simulation.layout.machines; i++) {
        const struct machine *machine = &simulation.machines[i];
        if (machine->token == epoch &&
            lmn_partition_for_machine(machine->name, simulation.layout.nodes) == part)
            return true;
    }
    return false;
}

static int holder_of(int part)
{
    uint64_t epoch = simulation_epoch(part);

    for (int i = 0; i < simulation.layout.nodes; i++) {
        const struct lmn_core *core = simulation.nodes[i].core;
        if (core && core->partitions[part].ownership.is_owned &&
            core->partitions[part].ownership.epoch == epoch)
            return i;
    }
    return -1;
}

static void release_kept(void)
{
    for (guint i = simulation.kept->len; i-- > 0;) {
        struct kept_report *k = simulation.kept->pdata[i];
        uint64_t epoch = simulation_epoch(k->part);
        if (!k->ready_at && epoch > k->term && has_acted(k->part, epoch))
            k->ready_at = simulation.now + k->wait_s;
        int holder =
            k->ready_at && simulation.now >= k->ready_at ? holder_of(k->part) : -1;
        if (holder < 0)
            continue;
        simulation_deliver_heartbeat(k->report, holder, simulation.now);
        simulation.kept_arrived++;
        g_free(k);
        g_ptr_array_remove_index_fast(simulation.kept, i);
    }
}

/* The report as it arrives. Without the guard, one of an older term counts as one that
 * was written in the owner's. */
static int take_report(struct node *node, struct message *message, GByteArray *out,
                       struct lmn_deferred_starts *deferred)
{
    const struct lmn_partition *partition = &node->core->partitions[part_of(message)];

    if (simulation.disabled_guard == GUARD_HEARTBEAT_EPOCH &&
        partition->ownership.is_owned) {
        g_byte_array_set_size(message->body, message->token_at);
        lmn_cbor_put_uint(message->body, partition->ownership.epoch);
    }
    int status = lmn_heartbeat_handle(node->core, message->body->data, message->body->len,
                                      out, deferred, simulation.clock);
    digest_message("report", simulation.clock);
    digest_number((uint64_t)message->node);
    digest_array(message->body);
    digest_number((uint64_t)status);
    digest_array(out);
    digest_number(status == 200 ? deferred->log_position : 0);
    return status;
}

static void deliver(void)
{
    for (guint i = 0; i < simulation.messages->len;) {
        struct message *message = simulation.messages->pdata[i];
        struct machine *machine = &simulation.machines[message->machine];
        /* What was held up arrives when the way there is open again. */
        if (message->at > simulation.now ||
            (message->direct && (simulation.now < machine->hang_until ||
                                 simulation.now < machine->unheard_until ||
                                 simulation.now < machine->closed_until))) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(simulation.messages, i);
        if (message->direct) {
            if (!machine->dead && message->life == machine->life)
                machine_handle_command(machine, message->body, NULL);
        } else if (message->life == machine->life ||
                   message->copy) { /* a report reaches its node */
            struct node *node = &simulation.nodes[message->node];
            GByteArray *out = g_byte_array_new();
            if (node_up(node) && node->core && simulation.now < node->still_until) {
                /* It waits there; but its sender may have given it up by then. */
                g_byte_array_unref(out);
                message->at = node->still_until + 0.02;
                g_ptr_array_add(simulation.messages, message);
                continue;
            }
            if (message->copy) {
                struct lmn_deferred_starts held;
                if (node_up(node) && node->core)
                    take_report(node, message, out, &held);
                simulation.copies++;
            } else if (node_up(node) && node->core &&
                       machine_reaches_node(message->node, machine)) {
                struct lmn_deferred_starts held;
                if (simulation_fault_chance(0.03) ||
                    (simulation.now < simulation.copies_until &&
                     simulation_chance(
                         0.5))) /* it comes again, up to well over a lease later */
                    mail_copy(message);
                if (simulation.now < simulation.keep_until && simulation_chance(0.3))
                    keep_for_next(message);
                int status = take_report(node, message, out, &held);
                if (status == 200 && held.log_position &&
                    !lmn_replication_covers(&node->core->partitions[held.partition],
                                            held.log_position)) {
                    node_defer_starts(node, &held, message, machine, out);
                } else if (simulation.now < machine->unheard_until) {
                    ; /* the answer is lost */
                } else if (status == 200 && !machine->dead &&
                           simulation.now >= machine->hang_until &&
                           !simulation_fault_chance(0.05)) {
                    struct message answer = {
                        .body = out, .session = message->session, .seq = message->seq};
                    machine_handle_response(machine, &answer);
                } else if (status != 200 && machine->in_flight &&
                           machine->flight_seq == message->seq) {
                    machine->in_flight = false;
                    machine->node = sent_on(machine, status, out);
                    machine->next_report = simulation.now + (status == 421 ? 0.1 : 0.3);
                }
            }
            g_byte_array_unref(out);
        }
        g_byte_array_unref(message->body);
        g_free(message);
    }
}

static uint32_t part_end(const struct job *job, int whole, int part)
{
    if (whole >= 0)
        return part >= whole ? job->spec.tasks : 0;
    return job->spec.tasks * (uint32_t)(part + 1) / simulation.layout.nodes;
}

static void submit(struct job *job)
{
    GByteArray *b;
    char key[64];
    uint32_t at = 0, open = 0;

    if (simulation.users) {
        users_submit(job);
        return;
    }
    simulation.revision++;
    /* One owner sees all of a job whose tasks look at each other's zones. */
    int whole = job->spec.spreads_over_zones || job->spec.requires_one_zone
                    ? (int)(job->spec.tasks % simulation.layout.nodes)
                    : -1;
    for (int i = 0; i < simulation.layout.nodes; i++)
        open += part_end(job, whole, i) > part_end(job, whole, i - 1);
    b = lmn_job_record(&job->spec, LMN_JOB_ACTIVE, open, simulation.now);
    g_snprintf(key, sizeof key, "j/%s", job->id);
    simulation_store_put(key, b, 0);
    g_byte_array_unref(b);
    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct lmn_range r = {.first = at, .end = part_end(job, whole, i)};
        uint8_t none[8] = {0};
        if (r.end == r.first)
            continue;
        b = lmn_range_record(&r, none);
        g_snprintf(key, sizeof key, "r/%d/%s/%u", i, job->id, at);
        simulation_store_put(key, b, 0);
        g_byte_array_unref(b);
        at = r.end;
    }
    job->submitted = true;
    job->accepted_at = simulation.now;
}

/* Any node that reaches the state service may confirm it; which one has no luck in it. */
static struct node *confirming(const struct job *job)
{
    for (int k = 0; k < simulation.layout.nodes; k++) {
        struct node *node =
            &simulation.nodes[((job - simulation.jobs) + k) % simulation.layout.nodes];
        if (node_up(node) && node->core && node_reaches_store(node))
            return node;
    }
    return NULL;
}

static bool cancel_through(struct job *job, struct node *node)
{
    char key[64];
    struct lmn_job_spec s;
    uint32_t open;
    double at;

    g_snprintf(key, sizeof key, "j/%s", job->id);
    enum lmn_job_phase phase = simulation_read_job(job, &s, &open, &at);
    if (phase == LMN_JOB_ACTIVE || simulation.disabled_guard == GUARD_FINAL) {
        GByteArray *b = lmn_job_record(&s, LMN_JOB_CANCELLED, open, at);
        simulation.revision++;
        simulation_store_put(key, b, 0);
        g_byte_array_unref(b);
        job->cancelled_at = simulation.now;
        simulation.cancelled++;
        lmn_tombstone_add(&node->core->cache.tombstones, job->id);
    }
    lmn_job_spec_clear(&s);
    return job->cancelled_at == simulation.now;
}

void simulation_cancel(struct job *job)
{
    struct node *node = confirming(job);

    if (simulation.users)
        users_cancel(job);
    else if (node)
        cancel_through(job, node);
}

bool simulation_cancel_through(struct job *job, int node)
{
    struct node *n = &simulation.nodes[node];

    if (!job->submitted || job->told_done || job->cancelled_at >= 0 || !node_up(n) ||
        !n->core || simulation.now < n->still_until || !node_reaches_store(n))
        return false;
    return cancel_through(job, n);
}

static void forget_world(void)
{
    if (simulation.random)
        g_rand_free(simulation.random);
    memset(&simulation, 0, sizeof simulation);
}

/* Once nothing goes wrong any more: no partition without an owner that is ready, nobody
 * suspected or judged for ever. */
bool simulation_is_recovered(void)
{
    for (int i = 0; i < simulation.layout.nodes; i++) {
        const struct lmn_core *core = simulation.nodes[i].core;
        int owners = 0;
        if (!core)
            return false;
        for (int k = 0; k < simulation.layout.nodes; k++) {
            if (!simulation.nodes[k].core)
                return false;
            const struct lmn_partition *partition =
                &simulation.nodes[k].core->partitions[i];
            owners += partition->ownership.is_owned && partition->ownership.is_ready;
            if (!lmn_member_is_trusted(&core->members, k, simulation.clock))
                return false;
        }
        if (owners != 1)
            return false;
    }
    return true;
}

void simulation_run(const struct layout *l, uint32_t seed, enum guard broken)
{
    forget_world();
    simulation.layout = *l;
    simulation.random = g_rand_new_with_seed(seed);
    simulation.disabled_guard = broken;
    simulation.flapping = flapping_members;
    simulation.standbys = standbys;
    simulation.cancel_s = schedule ? schedule->cancel_s : seed % 2 ? 16 : 40;
    simulation.lease_s = schedule ? schedule->lease_s : 8;
    simulation.run_s = schedule ? schedule->run_s : 12;
    simulation.least_margin = simulation.cancel_s;
    simulation.helped = seed % 2 && broken != GUARD_STALE_VIEW;
    simulation.users = schedule && schedule->users;
    simulation.lost_kind = TXN_KIND_COUNT;
    users_begin(seed);
    simulation.late_transactions = g_ptr_array_new();
    simulation.store = g_hash_table_new(g_str_hash, g_str_equal);
    simulation.log = g_ptr_array_new();
    simulation.leases = g_array_new(FALSE, FALSE, sizeof(struct holder));
    simulation.messages = g_ptr_array_new();
    simulation.kept = g_ptr_array_new();
    simulation.now = 1000;
    simulation.clock = lmn_time_add((struct timespec){0, 0}, simulation.now);
    lmn_test_clock = &simulation.clock;
    for (int i = 0; i < simulation.layout.machines; i++) {
        struct machine *machine = &simulation.machines[i];
        machine_name(machine);
        g_snprintf(machine->zone, sizeof machine->zone, "%c",
                   'a' + i % simulation.layout.zones);
        machine->spot = i >= 4;
        machine->session = 1;
        machine->lease_from = machine->next_report = simulation.now;
        machine->node = i % simulation.layout.nodes;
    }
    simulation.njobs = schedule && schedule->jobs ? schedule->jobs : JOBS;
    simulation.teams = schedule && schedule->teams ? schedule->teams : 1;
    for (int i = 0; i < simulation.njobs; i++) {
        struct job *job = &simulation.jobs[i];
        g_snprintf(job->id, sizeof job->id, "run-%06d", i);
        g_strlcpy(job->spec.id, job->id, sizeof job->spec.id);
        job->spec.class_name = (char *)"c";
        job->spec.team = (char *)simulation_team(i % simulation.teams);
        job->spec.image = (char *)"img";
        job->spec.zone = i % 5 == 4 ? (char *)"a" : NULL;
        job->spec.priority = i % 2 ? LMN_PRIORITY_HIGH : LMN_PRIORITY_NORMAL;
        job->spec.tasks = 1 + (uint32_t)g_rand_int_range(simulation.random, 0, TASKS);
        job->spec.cpus = 1 + i % 3;
        job->spec.memory_gb = 1;
        job->spec.may_use_spot = i % 2;
        job->spec.estimate_s = 3;
        job->spec.deadline_s = -1;
        if (i % 4 == 3) { /* a service of few replicas, some spread over the zones */
            job->spec.kind = LMN_JOB_SERVICE;
            job->spec.tasks = 1 + (uint32_t)g_rand_int_range(simulation.random, 0, 4);
            job->spec.spreads_over_zones = i % 8 == 3;
            job->spec.estimate_s = 0;
            job->spec.priority = LMN_PRIORITY_PRODUCTION;
        }
        job->cancelled_at = job->accepted_at = job->began_at = job->answered_at = -1;
        if (schedule && schedule->describe)
            schedule->describe(job, i);
    }
    int steps = simulation.layout.steps + simulation.layout.calm;
    /* A planned day does not end in the midst of a partition's return to its usual
     * holder. */
    for (int step = 0; step < steps || (schedule && !simulation_is_recovered() &&
                                        step < steps + RETURN_STEPS);
         step++) {
        simulation.calm = schedule || step >= simulation.layout.steps;
        simulation.now += STEP_S;
        simulation.clock = lmn_time_add((struct timespec){0, 0}, simulation.now);
        simulation_expire_leases();
        if (schedule)
            schedule->step();
        if (simulation_fault_chance(0.0006))
            simulation.cloud_down_until =
                simulation.now + g_rand_double_range(simulation.random, 5, 60);
        for (int i = 0; i < simulation.njobs; i++) {
            struct job *job = &simulation.jobs[i];
            if (!job->submitted && !job->offered &&
                simulation.now > 1000 + i * simulation.layout.every)
                submit(job);
            else if (!schedule && job->submitted && job->cancelled_at < 0 &&
                     (simulation.disabled_guard == GUARD_FINAL || !job->told_done) &&
                     i % 2 && simulation_chance(0.004))
                simulation_cancel(job);
        }
        for (int i = 0; i < simulation.layout.machines; i++) {
            struct machine *machine = &simulation.machines[i];
            if (simulation_fault_chance(0.0004))
                machine->hang_until =
                    simulation.now + g_rand_double_range(simulation.random, 1, 25);
            if (simulation_fault_chance(0.0003))
                machine->unheard_until =
                    simulation.now + g_rand_double_range(simulation.random, 1, 40);
            if (machine->dead && (machine->up_at ? simulation.now >= machine->up_at
                                                 : simulation_chance(0.004)))
                machine_replace(machine);
            machine_step(machine);
        }
        release_kept();
        deliver();
        if (simulation.users)
            users_step();
        for (int i = 0; i < simulation.layout.nodes; i++) {
            node_step(&simulation.nodes[i], i);
            if (simulation.users)
                users_step(); /* between the others' writes and what this one saw */
        }
        /* What was told stays so for ever. */
        if (simulation.users && step + 20 >= steps)
            users_query_all();
        /* Found so: a range that came between the claim and its noticing was never dealt.
         */
        for (int i = 0;
             i < simulation.layout.nodes && simulation.disabled_guard == GUARD_NONE; i++)
            assert_true(!simulation.nodes[i].core ||
                        simulation.nodes[i].core->counters.reconciled_tasks == 0);
        simulation_check_rules();
        simulation_check_service();
    }
}
