/* Users, the mail, and a whole day. */
#include "world.h"

#include "protocol/wire.h"
#include "partition/partition.h"
#include "replication/start_gate.h"
#include "replication/stream.h"
#include "state/records.h"

#include <stdlib.h>
#include <string.h>

const struct layout usual = {3, 7, 2, 9000, 0, 24, 20};
struct world w;
bool flap, standbys;
const struct plan *plan;

/* How many steps a day may go on for so that a partition that has just changed hands is
 * ready. */
enum { RETURN_STEPS = 50 };

bool world_chance(double p)
{
    return g_rand_double(w.r) < p;
}

const char *world_team(int number)
{
    static const char *const teams[MOST_TEAMS] = {"x", "y", "z"};

    return teams[number];
}

/* Something may go wrong. */
bool world_trouble(double p)
{
    return !w.calm && world_chance(p);
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
    return *name ? atoi(name + 1) : (machine->node + 1) % w.layout.nodes;
}

void mail_report(struct message *copy, int node, double at)
{
    copy->node = node;
    copy->at = at;
    g_ptr_array_add(w.mail, copy);
}

static void mail_copy(const struct message *message)
{
    double at = w.now + g_rand_double_range(w.r, 2, 24);
    bool elsewhere = w.now < w.copies_until && world_chance(0.3);

    mail_report(machine_report_copy(message),
                elsewhere ? g_rand_int_range(w.r, 0, w.layout.nodes) : message->node, at);
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
    return lmn_partition_for_machine(w.machines[message->machine].name, w.layout.nodes);
}

static void keep_for_next(const struct message *message)
{
    struct kept_report *k = g_new0(struct kept_report, 1);

    k->report = machine_report_copy(message);
    k->part = part_of(message);
    k->term = world_term(k->part);
    k->wait_s = world_chance(0.5) ? 0 : g_rand_double_range(w.r, 0, 4);
    g_ptr_array_add(w.kept, k);
}

static bool has_acted(int part, uint64_t epoch)
{
    for (int i = 0; i < w.layout.machines; i++) {
        const struct machine *machine = &w.machines[i];
        if (machine->token == epoch &&
            lmn_partition_for_machine(machine->name, w.layout.nodes) == part)
            return true;
    }
    return false;
}

static int holder_of(int part)
{
    uint64_t epoch = world_term(part);

    for (int i = 0; i < w.layout.nodes; i++) {
        const struct lmn_core *core = w.nodes[i].core;
        if (core && core->partitions[part].ownership.is_owned &&
            core->partitions[part].ownership.epoch == epoch)
            return i;
    }
    return -1;
}

static void release_kept(void)
{
    for (guint i = w.kept->len; i-- > 0;) {
        struct kept_report *k = w.kept->pdata[i];
        uint64_t epoch = world_term(k->part);
        if (!k->ready_at && epoch > k->term && has_acted(k->part, epoch))
            k->ready_at = w.now + k->wait_s;
        int holder = k->ready_at && w.now >= k->ready_at ? holder_of(k->part) : -1;
        if (holder < 0)
            continue;
        mail_report(k->report, holder, w.now);
        w.kept_arrived++;
        g_free(k);
        g_ptr_array_remove_index_fast(w.kept, i);
    }
}

/* The report as it arrives. Without the guard, one of an older term counts as one that
 * was written in the owner's. */
static int take_report(struct node *node, struct message *message, GByteArray *out,
                       struct lmn_deferred_starts *deferred)
{
    const struct lmn_partition *partition = &node->core->partitions[part_of(message)];

    if (w.broken == G_REPORTED && partition->ownership.is_owned) {
        g_byte_array_set_size(message->body, message->token_at);
        lmn_cbor_put_uint(message->body, partition->ownership.epoch);
    }
    int status = lmn_heartbeat_handle(node->core, message->body->data, message->body->len,
                                      out, deferred, w.clock);
    digest_message("report", w.clock);
    digest_number((uint64_t)message->node);
    digest_array(message->body);
    digest_number((uint64_t)status);
    digest_array(out);
    digest_number(status == 200 ? deferred->log_position : 0);
    return status;
}

static void deliver(void)
{
    for (guint i = 0; i < w.mail->len;) {
        struct message *message = w.mail->pdata[i];
        struct machine *machine = &w.machines[message->machine];
        /* What was held up arrives when the way there is open again. */
        if (message->at > w.now || (message->direct && (w.now < machine->hang_until ||
                                                        w.now < machine->unheard_until ||
                                                        w.now < machine->closed_until))) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(w.mail, i);
        if (message->direct) {
            if (!machine->dead && message->life == machine->life)
                machine_direct(machine, message->body, NULL);
        } else if (message->life == machine->life ||
                   message->copy) { /* a report reaches its node */
            struct node *node = &w.nodes[message->node];
            GByteArray *out = g_byte_array_new();
            if (node_up(node) && node->core && w.now < node->still_until) {
                /* It waits there; but its sender may have given it up by then. */
                g_byte_array_unref(out);
                message->at = node->still_until + 0.02;
                g_ptr_array_add(w.mail, message);
                continue;
            }
            if (message->copy) {
                struct lmn_deferred_starts held;
                if (node_up(node) && node->core)
                    take_report(node, message, out, &held);
                w.copies++;
            } else if (node_up(node) && node->core &&
                       machine_reached(message->node, machine)) {
                struct lmn_deferred_starts held;
                if (world_trouble(0.03) ||
                    (w.now < w.copies_until &&
                     world_chance(
                         0.5))) /* it comes again, up to well over a lease later */
                    mail_copy(message);
                if (w.now < w.keep_until && world_chance(0.3))
                    keep_for_next(message);
                int status = take_report(node, message, out, &held);
                if (status == 200 && held.log_position &&
                    !lmn_replication_covers(&node->core->partitions[held.partition],
                                            held.log_position)) {
                    node_hold_back(node, &held, message, machine, out);
                } else if (w.now < machine->unheard_until) {
                    ; /* the answer is lost */
                } else if (status == 200 && !machine->dead &&
                           w.now >= machine->hang_until && !world_trouble(0.05)) {
                    struct message answer = {
                        .body = out, .session = message->session, .seq = message->seq};
                    machine_answer(machine, &answer);
                } else if (status != 200 && machine->in_flight &&
                           machine->flight_seq == message->seq) {
                    machine->in_flight = false;
                    machine->node = sent_on(machine, status, out);
                    machine->next_report = w.now + (status == 421 ? 0.1 : 0.3);
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
    return job->spec.tasks * (uint32_t)(part + 1) / w.layout.nodes;
}

static void submit(struct job *job)
{
    GByteArray *b;
    char key[64];
    uint32_t at = 0, open = 0;

    if (w.users) {
        users_submit(job);
        return;
    }
    w.rev++;
    /* One owner sees all of a job whose tasks look at each other's zones. */
    int whole = job->spec.spreads_over_zones || job->spec.requires_one_zone
                    ? (int)(job->spec.tasks % w.layout.nodes)
                    : -1;
    for (int i = 0; i < w.layout.nodes; i++)
        open += part_end(job, whole, i) > part_end(job, whole, i - 1);
    b = lmn_job_record(&job->spec, LMN_JOB_ACTIVE, open, w.now);
    g_snprintf(key, sizeof key, "j/%s", job->ref);
    world_put(key, b, 0);
    g_byte_array_unref(b);
    for (int i = 0; i < w.layout.nodes; i++) {
        struct lmn_range r = {.first = at, .end = part_end(job, whole, i)};
        uint8_t none[8] = {0};
        if (r.end == r.first)
            continue;
        b = lmn_range_record(&r, none);
        g_snprintf(key, sizeof key, "r/%d/%s/%u", i, job->ref, at);
        world_put(key, b, 0);
        g_byte_array_unref(b);
        at = r.end;
    }
    job->submitted = true;
    job->accepted_at = w.now;
}

/* Any node that reaches the state service may confirm it; which one has no luck in it. */
static struct node *confirming(const struct job *job)
{
    for (int k = 0; k < w.layout.nodes; k++) {
        struct node *node = &w.nodes[((job - w.jobs) + k) % w.layout.nodes];
        if (node_up(node) && node->core && node_served(node))
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

    g_snprintf(key, sizeof key, "j/%s", job->ref);
    enum lmn_job_phase phase = world_read_job(job, &s, &open, &at);
    if (phase == LMN_JOB_ACTIVE || w.broken == G_FINAL) {
        GByteArray *b = lmn_job_record(&s, LMN_JOB_CANCELLED, open, at);
        w.rev++;
        world_put(key, b, 0);
        g_byte_array_unref(b);
        job->cancelled_at = w.now;
        w.cancelled++;
        lmn_tombstone_add(&node->core->cache.tombstones, job->ref);
    }
    lmn_job_spec_clear(&s);
    return job->cancelled_at == w.now;
}

void world_cancel(struct job *job)
{
    struct node *node = confirming(job);

    if (w.users)
        users_cancel(job);
    else if (node)
        cancel_through(job, node);
}

bool world_cancel_through(struct job *job, int node)
{
    struct node *n = &w.nodes[node];

    if (!job->submitted || job->told_done || job->cancelled_at >= 0 || !node_up(n) ||
        !n->core || w.now < n->still_until || !node_served(n))
        return false;
    return cancel_through(job, n);
}

static void forget_world(void)
{
    if (w.r)
        g_rand_free(w.r);
    memset(&w, 0, sizeof w);
}

/* Once nothing goes wrong any more: no partition without an owner that is ready, nobody
 * suspected or judged for ever. */
bool world_is_well(void)
{
    for (int i = 0; i < w.layout.nodes; i++) {
        const struct lmn_core *core = w.nodes[i].core;
        int owners = 0;
        if (!core)
            return false;
        for (int k = 0; k < w.layout.nodes; k++) {
            if (!w.nodes[k].core)
                return false;
            const struct lmn_partition *partition = &w.nodes[k].core->partitions[i];
            owners += partition->ownership.is_owned && partition->ownership.is_ready;
            if (!lmn_member_is_trusted(&core->members, k, w.clock))
                return false;
        }
        if (owners != 1)
            return false;
    }
    return true;
}

void world_play(const struct layout *l, uint32_t seed, enum guard broken)
{
    forget_world();
    w.layout = *l;
    w.r = g_rand_new_with_seed(seed);
    w.broken = broken;
    w.flapping = flap;
    w.standbys = standbys;
    w.cancel_s = plan ? plan->cancel_s : seed % 2 ? 16 : 40;
    w.lease_s = plan ? plan->lease_s : 8;
    w.run_s = plan ? plan->run_s : 12;
    w.least_margin = w.cancel_s;
    w.helped = seed % 2 && broken != G_FENCE;
    w.users = plan && plan->users;
    w.lost_kind = TXN_KINDS;
    users_begin(seed);
    w.late = g_ptr_array_new();
    w.store = g_hash_table_new(g_str_hash, g_str_equal);
    w.log = g_ptr_array_new();
    w.leases = g_array_new(FALSE, FALSE, sizeof(struct holder));
    w.mail = g_ptr_array_new();
    w.kept = g_ptr_array_new();
    w.now = 1000;
    w.clock = lmn_time_add((struct timespec){0, 0}, w.now);
    lmn_test_clock = &w.clock;
    for (int i = 0; i < w.layout.machines; i++) {
        struct machine *machine = &w.machines[i];
        machine_name(machine);
        g_snprintf(machine->zone, sizeof machine->zone, "%c", 'a' + i % w.layout.zones);
        machine->spot = i >= 4;
        machine->session = 1;
        machine->lease_from = machine->next_report = w.now;
        machine->node = i % w.layout.nodes;
    }
    w.njobs = plan && plan->jobs ? plan->jobs : JOBS;
    w.teams = plan && plan->teams ? plan->teams : 1;
    for (int i = 0; i < w.njobs; i++) {
        struct job *job = &w.jobs[i];
        g_snprintf(job->ref, sizeof job->ref, "run-%06d", i);
        g_strlcpy(job->spec.id, job->ref, sizeof job->spec.id);
        job->spec.class_name = (char *)"c";
        job->spec.team = (char *)world_team(i % w.teams);
        job->spec.image = (char *)"img";
        job->spec.zone = i % 5 == 4 ? (char *)"a" : NULL;
        job->spec.priority = i % 2 ? LMN_PRIORITY_HIGH : LMN_PRIORITY_NORMAL;
        job->spec.tasks = 1 + (uint32_t)g_rand_int_range(w.r, 0, TASKS);
        job->spec.cpus = 1 + i % 3;
        job->spec.memory_gb = 1;
        job->spec.may_use_spot = i % 2;
        job->spec.estimate_s = 3;
        job->spec.deadline_s = -1;
        if (i % 4 == 3) { /* a service of few replicas, some spread over the zones */
            job->spec.kind = LMN_JOB_SERVICE;
            job->spec.tasks = 1 + (uint32_t)g_rand_int_range(w.r, 0, 4);
            job->spec.spreads_over_zones = i % 8 == 3;
            job->spec.estimate_s = 0;
            job->spec.priority = LMN_PRIORITY_PRODUCTION;
        }
        job->cancelled_at = job->accepted_at = job->began_at = job->answered_at = -1;
        if (plan && plan->describe)
            plan->describe(job, i);
    }
    int steps = w.layout.steps + w.layout.calm;
    /* A planned day does not end in the midst of a partition's return to its usual
     * holder. */
    for (int step = 0;
         step < steps || (plan && !world_is_well() && step < steps + RETURN_STEPS);
         step++) {
        w.calm = plan || step >= w.layout.steps;
        w.now += STEP_S;
        w.clock = lmn_time_add((struct timespec){0, 0}, w.now);
        world_expire();
        if (plan)
            plan->step();
        if (world_trouble(0.0006))
            w.cloud_down_until = w.now + g_rand_double_range(w.r, 5, 60);
        for (int i = 0; i < w.njobs; i++) {
            struct job *job = &w.jobs[i];
            if (!job->submitted && !job->offered && w.now > 1000 + i * w.layout.every)
                submit(job);
            else if (!plan && job->submitted && job->cancelled_at < 0 &&
                     (w.broken == G_FINAL || !job->told_done) && i % 2 &&
                     world_chance(0.004))
                world_cancel(job);
        }
        for (int i = 0; i < w.layout.machines; i++) {
            struct machine *machine = &w.machines[i];
            if (world_trouble(0.0004))
                machine->hang_until = w.now + g_rand_double_range(w.r, 1, 25);
            if (world_trouble(0.0003))
                machine->unheard_until = w.now + g_rand_double_range(w.r, 1, 40);
            if (machine->dead &&
                (machine->up_at ? w.now >= machine->up_at : world_chance(0.004)))
                machine_replace(machine);
            machine_step(machine);
        }
        release_kept();
        deliver();
        if (w.users)
            users_step();
        for (int i = 0; i < w.layout.nodes; i++) {
            node_step(&w.nodes[i], i);
            if (w.users)
                users_step(); /* between the others' writes and what this one saw */
        }
        /* What was told stays so for ever. */
        if (w.users && step + 20 >= steps)
            users_look_at_all();
        /* Found so: a range that came between the claim and its noticing was never dealt.
         */
        for (int i = 0; i < w.layout.nodes && w.broken == G_NONE; i++)
            assert_true(!w.nodes[i].core ||
                        w.nodes[i].core->counters.reconciled_tasks == 0);
        world_check();
        world_check_served();
    }
}
