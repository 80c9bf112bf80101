/* Queues of machines: dealing, order, starting, stealing. */
#include "scheduler/queue.h"
#include "util/log.h"
#include "protocol/wire.h"
#include "scheduler/job_order.h"
#include "scheduler/affinity.h"
#include "replication/stream.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <math.h>
#include <string.h>

/* What a second of fetching an image counts against a second of being late. */
static const double FETCH_WEIGHT = 4;

static int image_at(const struct lmn_machine *machine, const char *name)
{
    for (guint i = 0; i < machine->images->len; i++)
        if (g_array_index(machine->images, struct lmn_image, i).name == name)
            return (int)i;
    return -1;
}

bool lmn_machine_has_image(const struct lmn_machine *machine, const struct lmn_job *job)
{
    return image_at(machine, job->image) >= 0;
}

static double whole_fetch_s(const struct lmn_machine *machine, const struct lmn_job *job)
{
    return machine->type && machine->type->pull_gb_per_s > 0
               ? job->spec.image_gb / machine->type->pull_gb_per_s
               : 0;
}

double lmn_image_fetch_s(const struct lmn_machine *machine, const struct lmn_job *job,
                         struct timespec now)
{
    int at = image_at(machine, job->image);

    if (at < 0)
        return whole_fetch_s(machine, job);
    const struct lmn_image *image =
        &g_array_index(machine->images, struct lmn_image, (guint)at);
    return image->ready_at.tv_sec ? MAX(lmn_time_diff_s(image->ready_at, now), 0) : 0;
}

/* Fetches under way may share the machine's rate. */
static guint fetches(const struct lmn_machine *machine, struct timespec now)
{
    guint n = 0;

    for (guint i = 0; i < machine->images->len; i++) {
        const struct lmn_image *image =
            &g_array_index(machine->images, struct lmn_image, i);
        n += image->ready_at.tv_sec && lmn_time_before(now, image->ready_at);
    }
    return n;
}

void lmn_machine_record_image(struct lmn_machine *machine, const struct lmn_job *job,
                              bool there, struct timespec now)
{
    struct lmn_image new = {job->image, job->spec.image_gb, {0, 0}};
    int at = image_at(machine, job->image);
    double gb = 0;

    if (at >= 0) {
        new.ready_at =
            g_array_index(machine->images, struct lmn_image, (guint)at).ready_at;
        g_array_remove_index(machine->images, (guint)at);
    } else if (!there) {
        new.ready_at =
            lmn_time_add(now, whole_fetch_s(machine, job) * (1 + fetches(machine, now)));
    }
    if (there)
        new.ready_at = (struct timespec){0, 0};
    g_array_append_val(machine->images, new);
    /* A worker drops the least recently used when its cache is full. */
    for (guint i = 0; i < machine->images->len; i++)
        gb += g_array_index(machine->images, struct lmn_image, i).gb;
    while (machine->images->len > 1 && ((machine->type && gb > machine->type->cache_gb) ||
                                        machine->images->len > 64)) {
        gb -= g_array_index(machine->images, struct lmn_image, 0).gb;
        g_array_remove_index(machine->images, 0);
    }
}

/* How badly a machine suits a job that it could hold: ordinary machines are dear, and
 * some work can run nowhere else; an image that is missing has to be fetched first. */
static int unfit(const struct lmn_machine *machine, const struct lmn_job *job)
{
    return (job->spec.may_use_spot && !machine->is_spot ? 2 : 0) +
           !lmn_machine_has_image(machine, job);
}

static void deal_to(struct lmn_machine *machine, struct lmn_range *range, uint32_t lo,
                    uint32_t hi, struct timespec now)
{
    lmn_queue_add(&machine->queue, range, lo, hi);
    machine->stealing.interval_s = 0; /* new work resets the interval */
    machine->stealing.next_at = now;
}

/* A machine with room, as it compares with others. */
struct candidate {
    struct lmn_machine *m;
    int unfit;
    double cpus; /* free */
    uint32_t room;
    guint at;
};

static gint by_fitness(gconstpointer a, gconstpointer b)
{
    const struct candidate *x = a, *y = b;

    if (x->unfit != y->unfit)
        return x->unfit - y->unfit;
    if (x->cpus != y->cpus)
        return x->cpus < y->cpus ? -1 : 1;
    return x->at < y->at ? -1 : x->at > y->at;
}

/* One a turn, over the queues of the machines that have the image if there are enough of
 * them, or else of all: a machineful each would fetch the image less often, but wait for
 * one machine's tasks to end while others' do. */
static void deal_round(struct lmn_partition *partition, GPtrArray *able,
                       struct lmn_range *range, uint32_t lo, uint32_t hi,
                       struct timespec now)
{
    GPtrArray *near = g_ptr_array_new();

    for (guint i = 0; i < able->len; i++)
        if (lmn_machine_has_image(able->pdata[i], range->job))
            g_ptr_array_add(near, able->pdata[i]);
    const GPtrArray *to = 2 * near->len >= hi - lo ? near : able;
    partition->scheduling.round_robin_cursor++;
    for (guint i = 0; to->len && lo < hi; i++, lo++)
        deal_to(to->pdata[(partition->scheduling.round_robin_cursor + i) % to->len],
                range, lo, lo + 1, now);
    g_ptr_array_free(near, TRUE);
}

void lmn_assign_tasks(struct lmn_core *core, struct lmn_range *range, uint32_t lo,
                      uint32_t hi, struct timespec now)
{
    struct lmn_partition *partition = range->partition;
    GHashTableIter it;
    gpointer v;
    if (lmn_job_is_faulty(&range->job->failures)) {
        /* It is tried with a task at a time: there it fills no machine's queue. */
        lmn_queue_add(&partition->scheduling.unassigned, range, lo, hi);
        return;
    }
    GPtrArray *able = g_ptr_array_new();
    GArray *roomy = g_array_new(FALSE, FALSE, sizeof(struct candidate));

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *machine = v;
        if (machine->agent.ignored_commands || !lmn_machine_can_run(machine, range->job))
            continue;
        uint32_t has = lmn_machine_task_capacity(machine, &range->job->spec);
        if (has > machine->queue.task_count) {
            struct candidate x = {machine, unfit(machine, range->job),
                                  machine->type->cpus - machine->used.cpus,
                                  has - machine->queue.task_count, able->len};
            g_array_append_val(roomy, x);
        }
        g_ptr_array_add(able, machine);
    }
    if (!able->len)
        lmn_queue_add(&partition->scheduling.unassigned, range, lo, hi);
    /* First what has room: the fittest kind of machine, and of these the fullest, so that
     * large tasks find whole machines and idle ones can go. Then round robin, one each a
     * turn. */
    g_array_sort(roomy, by_fitness);
    GHashTable *dealt = g_hash_table_new(g_str_hash, g_str_equal); /* to each zone */
    for (guint i = 0; i < roomy->len && lo < hi; i++) {
        struct candidate *x = &g_array_index(roomy, struct candidate, i);
        guint there = GPOINTER_TO_UINT(g_hash_table_lookup(dealt, x->m->zone));
        uint32_t n = MIN(x->room, hi - lo),
                 may = lmn_zone_task_capacity(range->job, x->m->zone);
        /* Not where it could not start for the job's other tasks: a service whose
         * replicas were all dealt to the fullest machine waited there until others pulled
         * them. */
        n = MIN(n, may > there ? may - there : 0);
        if (!n ||
            (range->job->spec.requires_one_zone && g_hash_table_size(dealt) && !there))
            continue;
        g_hash_table_insert(dealt, x->m->zone, GUINT_TO_POINTER(there + n));
        deal_to(x->m, range, lo, lo + n, now);
        lmn_machine_wake(x->m);
        lo += n;
    }
    g_hash_table_destroy(dealt);
    if (roomy->len)
        pthread_cond_broadcast(&core->machines_woken);
    g_array_free(roomy, TRUE);
    deal_round(partition, able, range, lo, hi, now);
    g_ptr_array_free(able, TRUE);
}

void lmn_assign_range(struct lmn_core *core, struct lmn_range *range, struct timespec now)
{
    uint32_t n = range->end - range->first;

    for (uint32_t i = 0; i < n;) {
        uint32_t k = i;
        while (k < n && range->task_states[k] == LMN_TASK_QUEUED)
            k++;
        if (k > i)
            lmn_assign_tasks(core, range, range->first + i, range->first + k, now);
        i = k + 1;
    }
}

void lmn_reassign_range(struct lmn_core *core, struct lmn_range *range,
                        struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    lmn_queue_remove_range(&range->partition->scheduling.unassigned, range);
    g_hash_table_iter_init(&it, range->partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_queue_remove_range(&((struct lmn_machine *)v)->queue, range);
    lmn_assign_range(core, range, now);
}

void lmn_reassign_job(struct lmn_core *core, struct lmn_job *job, struct timespec now)
{
    for (guint i = 0; i < job->ranges->len; i++) {
        struct lmn_range *range = job->ranges->pdata[i];
        if (range->partition->ownership.is_owned && range->task_states &&
            range->is_assigned)
            lmn_reassign_range(core, range, now);
    }
}

void lmn_reassign_machine_queue(struct lmn_core *core, struct lmn_machine *machine,
                                struct timespec now)
{
    struct lmn_queue old = machine->queue;

    machine->reservation.preemption_tasks = 0;
    lmn_queue_init(&machine->queue);
    for (guint i = 0; i < old.segments->len; i++) {
        struct lmn_queue_segment *segment = old.segments->pdata[i];
        if (lmn_range_may_start(segment->range))
            lmn_assign_tasks(core, segment->range, segment->first, segment->end, now);
    }
    lmn_queue_clear(&old);
    g_ptr_array_free(old.segments, TRUE);
}

void lmn_machine_drain(struct lmn_core *core, struct lmn_machine *machine, bool force,
                       const char *why, struct timespec now)
{
    machine->lifecycle.drain_at_once = machine->lifecycle.drain_at_once || force;
    if (machine->lifecycle.is_draining)
        return;
    lmn_info("machine_drain_started machine=%s partition=%d force=%d why=\"%s\"",
             machine->name, machine->partition->id, force, why);
    machine->lifecycle.is_draining = true;
    machine->lifecycle.drain_began_at = now;
    lmn_reassign_machine_queue(core, machine, now);
}

/* A look over queues begins: for one machine, at one time. What is found out of a job is
 * kept for its length, since the same few jobs stand in most queues. */
static void look_anew(struct lmn_core *core)
{
    core->scheduling.scan_generation++;
    core->scheduling.start_generation++;
}

static void start(struct lmn_core *core, struct lmn_machine *machine,
                  struct lmn_queue_segment *segment, GByteArray *out, struct timespec now)
{
    struct lmn_partition *partition = machine->partition;
    struct lmn_attempt a = {.job = segment->job,
                            .range = segment->range,
                            .index = segment->first,
                            .state = LMN_ATTEMPT_SENT,
                            .in_last_heartbeat = true,
                            .started_at = now};

    /* Unique for ever without a write: no two owners share a term. */
    a.number = partition->ownership.epoch << 24 |
               (++partition->ownership.last_attempt & 0xffffff);
    g_strlcpy(a.job_id, a.job->spec.id, sizeof a.job_id);
    a.log_position = lmn_machine_log_start(machine, now);
    segment->range->task_states[a.index - segment->range->first] = LMN_TASK_STARTED;
    segment->range->started_count++;
    lmn_attempt_count(machine, &a);
    if (!partition->ownership.has_started_task)
        lmn_info("partition_first_start partition=%d epoch=%" G_GUINT64_FORMAT
                 " after=%.2f",
                 partition->id, partition->ownership.epoch,
                 lmn_time_diff_s(now, partition->ownership.since));
    partition->ownership.has_started_task = true;
    core->scheduling.start_generation++;
    a.job->is_starving = false; /* it has begun */
    if (lmn_job_is_faulty(&a.job->failures))
        lmn_job_record_retry(&a.job->failures, now);
    if (machine->reservation.preemption_tasks &&
        a.job->spec.priority == LMN_PRIORITY_PRODUCTION) {
        machine->reservation.preemption_tasks--;
        look_anew(core); /* lesser work may start again */
    }
    lmn_machine_record_image(machine, a.job, false, now);
    g_array_append_val(machine->attempts, a);
    core->counters.starts++;
    lmn_latency_add(&core->latencies.start,
                    core->scheduling.wall_clock_s - a.job->accepted_at_s);
    char task[LMN_JOB_ID_SIZE + 16];
    g_snprintf(task, sizeof task, "%s/%u", a.job_id, a.index);
    lmn_cbor_put_map(out, 3);
    lmn_cbor_put_text(out, WIRE_COMMAND), lmn_cbor_put_text(out, WIRE_START);
    lmn_cbor_put_text(out, WIRE_TASK), lmn_cbor_put_text(out, task);
    lmn_cbor_put_text(out, WIRE_ATTEMPT), lmn_cbor_put_uint(out, a.number);
    lmn_debug("task_started task=%s attempt=%" G_GUINT64_FORMAT
              " machine=%s term=%" G_GUINT64_FORMAT,
              task, a.number, machine->name, partition->ownership.epoch);
    segment->first++;
}

/* Within a look, starts only take room away: who can't start stays so; who could is
 * looked at again after each. */
static bool startable(const struct lmn_core *core, const struct lmn_machine *machine,
                      struct lmn_job *job, struct timespec now)
{
    if (job->rejected_scan == core->scheduling.scan_generation)
        return false;
    if (job->accepted_scan == core->scheduling.start_generation)
        return true;
    bool ok = lmn_job_wait_reason(core, machine, job, now) == LMN_WAIT_NONE;
    if (ok)
        job->accepted_scan = core->scheduling.start_generation;
    else
        job->rejected_scan = core->scheduling.scan_generation;
    return ok;
}

/* lmn_image_fetch_s, remembered until the next start. */
static double fetch_now(const struct lmn_core *core, const struct lmn_machine *machine,
                        struct lmn_job *job, struct timespec now)
{
    if (job->fetch_scan != core->scheduling.start_generation) {
        job->fetch_s = lmn_image_fetch_s(machine, job, now);
        job->fetch_scan = core->scheduling.start_generation;
    }
    return job->fetch_s;
}

/* How the machine should choose between the jobs: as lmn_job_compare, but a task whose
 * image it lacks would start, and end, later by the fetch, and hold its room idle
 * meanwhile. So do those that come after it while the fetch is under way: once it counted
 * as there from the first start on, whole machines waited side by side for one fetch,
 * with other work in their queues that lacked nothing. */
static int order_on(const struct lmn_core *core, const struct lmn_machine *machine,
                    struct lmn_job *a, struct lmn_job *b, struct timespec now)
{
    if (a->is_within_guarantee == b->is_within_guarantee &&
        a->is_under_fair_share == b->is_under_fair_share &&
        a->is_starving == b->is_starving &&
        a->has_missed_objective == b->has_missed_objective &&
        a->is_deferred == b->is_deferred && a->spec.priority == b->spec.priority) {
        double x = (a->has_missed_objective ? 0 : a->latest_start_s) +
                   FETCH_WEIGHT * fetch_now(core, machine, a, now);
        double y = (b->has_missed_objective ? 0 : b->latest_start_s) +
                   FETCH_WEIGHT * fetch_now(core, machine, b, now);
        if (x != y)
            return x < y ? -1 : 1;
    }
    return lmn_job_compare(a, b);
}

/* The most urgent stretch of a queue that the machine could start now; -1: none. The
 * order shifts with time, so it is looked for, not kept. */
static int best_seg(const struct lmn_core *core, struct lmn_queue *queue,
                    const struct lmn_machine *machine, struct timespec now)
{
    int best = -1;

    for (guint i = 0; i < queue->segments->len; i++) {
        const struct lmn_queue_segment *s = queue->segments->pdata[i];
        if (!startable(core, machine, s->job, now))
            continue;
        if (best >= 0) {
            const struct lmn_queue_segment *t = queue->segments->pdata[best];
            if (s->job == t->job || order_on(core, machine, s->job, t->job, now) > 0)
                continue;
        }
        best = (int)i;
    }
    return best;
}

static void swap(struct lmn_machine **v, guint i, guint k)
{
    struct lmn_machine *machine = v[i];

    v[i] = v[k];
    v[k] = machine;
    v[i]->list_index = i;
    v[k]->list_index = k;
}

/* A fresh random sample of the other machines' queues, and unplaced, which is no
 * machine's.
 */
static GPtrArray *sample_queues(struct lmn_core *core, struct lmn_machine *machine)
{
    struct lmn_partition *partition = machine->partition;
    GPtrArray *queues = g_ptr_array_new();
    struct lmn_machine **v = (struct lmn_machine **)partition->machine_list->pdata;
    guint n = partition->machine_list->len - 1;

    guint sample = core->cache.operator_settings.sample > 0
                       ? (guint)core->cache.operator_settings.sample
                       : (guint)ceil(2 * sqrt((double)n + 1));
    sample = MIN(sample, n);
    /* The first places of a partial shuffle, in the list itself, with the machine's own
     * place put last: what a sample costs does not grow with the partition. */
    swap(v, machine->list_index, n);
    for (guint i = 0; i < sample; i++) {
        swap(v, i, i + (guint)g_rand_int_range(core->random, 0, (gint32)(n - i)));
        g_ptr_array_add(queues, &v[i]->queue);
    }
    g_ptr_array_add(queues, &partition->scheduling.unassigned);
    return queues;
}

/* Starts the first task of a queue's stretch on the machine; 0 if it need not start any
 * more. */
static guint start_from(struct lmn_core *core, struct lmn_queue *queue, int at,
                        struct lmn_machine *machine, GByteArray *out, struct timespec now)
{
    struct lmn_queue_segment *segment = queue->segments->pdata[at];
    guint n = 0;

    queue->task_count--;
    /* The books decide, not the queue: what is not queued there is not started. */
    if (segment->range->task_states[segment->first - segment->range->first] !=
        LMN_TASK_QUEUED) {
        segment->first++;
    } else {
        start(core, machine, segment, out, now);
        n = 1;
    }
    if (segment->first == segment->end)
        lmn_queue_remove_segment(queue, (guint)at);
    return n;
}

/* Starts the machine's own work; but where a queue of a fresh sample holds something more
 * urgent, that first. Queues of busy machines run dry at different times, and the last
 * tasks of a job would wait in the slowest of them while others start what came much
 * later. */
static guint start_own(struct lmn_core *core, struct lmn_machine *machine,
                       GByteArray *out, struct timespec now)
{
    GPtrArray *queues = NULL;
    guint n = 0;
    int at;

    while ((at = best_seg(core, &machine->queue, machine, now)) >= 0) {
        struct lmn_queue *from = &machine->queue;
        struct lmn_job *best =
            ((struct lmn_queue_segment *)from->segments->pdata[at])->job;
        if (!queues)
            queues = sample_queues(core, machine);
        for (guint i = 0; i < queues->len; i++) {
            struct lmn_queue *queue = queues->pdata[i];
            int k = best_seg(core, queue, machine, now);
            struct lmn_job *job =
                k < 0 ? NULL
                      : ((struct lmn_queue_segment *)queue->segments->pdata[k])->job;
            if (job && job != best && order_on(core, machine, job, best, now) < 0) {
                from = queue;
                at = k;
                best = job;
            }
        }
        core->counters.steals += from != &machine->queue;
        n += start_from(core, from, at, machine, out, now);
        if (n && machine->agent.ignored_commands)
            break; /* a try whether it hears */
    }
    if (queues)
        g_ptr_array_free(queues, TRUE);
    return n;
}

/* Queued tasks that the thief could start now. */
static uint32_t load_for(const struct lmn_core *core, const struct lmn_queue *queue,
                         const struct lmn_machine *thief, struct timespec now)
{
    uint32_t n = 0;
    for (guint i = 0; i < queue->segments->len; i++) {
        const struct lmn_queue_segment *segment = queue->segments->pdata[i];
        if (startable(core, thief, segment->job, now))
            n += segment->end - segment->first;
    }
    return n;
}

static uint32_t take(struct lmn_core *core, struct lmn_queue *from,
                     struct lmn_machine *machine, uint32_t want, struct timespec now)
{
    uint32_t got = 0;
    int at;

    while (got < want && (at = best_seg(core, from, machine, now)) >= 0) {
        struct lmn_queue_segment *segment = from->segments->pdata[at];
        uint32_t n = MIN(want - got, segment->end - segment->first);
        lmn_queue_add(&machine->queue, segment->range, segment->first,
                      segment->first + n);
        segment->first += n;
        from->task_count -= n;
        got += n;
        if (segment->first == segment->end)
            lmn_queue_remove_segment(from, (guint)at);
    }
    return got;
}

bool lmn_steal_for_machine(struct lmn_core *core, struct lmn_machine *machine,
                           struct timespec now)
{
    struct lmn_queue *best = NULL;
    uint32_t most = 0;

    if (lmn_time_before(now, machine->stealing.next_at))
        return false;
    look_anew(core);
    GPtrArray *queues = sample_queues(core, machine);
    core->counters.steal_tries++;
    for (guint i = 0; i < queues->len; i++) {
        uint32_t load = load_for(core, queues->pdata[i], machine, now);
        if (load > most) {
            most = load;
            best = queues->pdata[i];
        }
    }
    g_ptr_array_free(queues, TRUE);
    uint32_t got = 0;
    if (best)
        got = take(
            core, best, machine,
            machine->agent.ignored_commands
                ? 1
                : MAX((uint32_t)((double)most * core->cache.operator_settings.share), 1),
            now);
    if (!got) {
        machine->stealing.interval_s = machine->stealing.interval_s > 0
                                           ? MIN(machine->stealing.interval_s * 2,
                                                 core->cache.operator_settings.poll_cap_s)
                                           : core->cache.operator_settings.poll_floor_s;
        machine->stealing.next_at = lmn_time_add(now, machine->stealing.interval_s);
        return false;
    }
    core->counters.steals++;
    core->counters.stolen_tasks += got;
    machine->stealing.interval_s = 0;
    machine->stealing.next_at = now;
    lmn_debug("steal_completed machine=%s tasks=%u of=%u", machine->name, got, most);
    return true;
}

guint lmn_schedule_machine(struct lmn_core *core, struct lmn_machine *machine,
                           GByteArray *out, struct timespec now)
{
    guint n;

    machine->stealing.is_idle_with_capacity = false;
    if (lmn_machine_wait_reason(machine, now) != LMN_WAIT_NONE)
        return 0;
    look_anew(core);
    n = start_own(core, machine, out, now);
    /* Left with room and nothing of its own that fits: it pulls, until that brings
     * nothing. */
    for (int turn = 0; turn < 8; turn++) {
        if ((machine->agent.ignored_commands && n) ||
            load_for(core, &machine->queue, machine, now) ||
            !lmn_steal_for_machine(core, machine, now))
            break;
        n += start_own(core, machine, out, now);
    }
    machine->stealing.is_idle_with_capacity =
        !machine->agent.ignored_commands &&
        !load_for(core, &machine->queue, machine, now);
    return n;
}
