#include "emulator/worker.h"
#include "util/clock.h"

#include <gsl/gsl_cdf.h>
#include <math.h>
#include <string.h>

enum timer_kind { T_FETCH, T_END, T_SAVED, T_KILLED, T_EMPTY };

struct timer {
    enum timer_kind kind;
    struct timespec at;
    uint64_t id;
    const char *image;
};

/* How long it takes until a killed task's processes are gone. */
static const double KILL_S = 0.01;

static void add(struct lmn_emu_worker *worker, enum timer_kind kind, struct timespec at,
                uint64_t id, const char *image)
{
    struct timer t = {kind, at, id, image};
    g_array_append_val(worker->timers, t);
}

/* The clock of the ops, which are told no time: that of the call under way. */
static _Thread_local struct timespec now_of_call;

static void describe(void *arg, struct lmn_task_run *r)
{
    struct lmn_emu_worker *worker = arg;
    g_array_append_val(worker->asking, r->id);
}

static const struct lmn_emu_spec *spec_of(const struct lmn_emu_worker *worker,
                                          const struct lmn_task_run *r)
{
    static const struct lmn_emu_spec none;
    const struct lmn_emu_spec *spec = g_hash_table_lookup(worker->specs, r->job_id);
    return spec ? spec : &none;
}

static void fetch(void *arg, struct lmn_task_run *r)
{
    struct lmn_emu_worker *worker = arg;
    const struct lmn_emu_spec *spec = spec_of(worker, r);
    guint at;

    if (g_ptr_array_find(worker->images, r->image, &at)) {
        g_ptr_array_remove_index(worker->images, at);
        g_ptr_array_add(worker->images, r->image);
        add(worker, T_FETCH, now_of_call, 0, r->image);
        return;
    }
    for (guint i = 0; i < worker->timers->len; i++) {
        const struct timer *t = &g_array_index(worker->timers, struct timer, i);
        if (t->kind == T_FETCH && t->image == r->image)
            return; /* it is on its way */
    }
    double rate =
        worker->agent.type.pull_gb_per_s > 0 ? worker->agent.type.pull_gb_per_s : 1;
    double took = spec->image_gb / rate * (0.75 + 0.6 * g_rand_double(worker->rng));
    worker->image_fetches += spec->image_gb > 0;
    add(worker, T_FETCH, lmn_time_add(now_of_call, took), 0, r->image);
}

static void cancel_fetch(void *arg, const char *image)
{
    struct lmn_emu_worker *worker = arg;
    for (guint i = worker->timers->len; i-- > 0;) {
        const struct timer *t = &g_array_index(worker->timers, struct timer, i);
        if (t->kind == T_FETCH && t->image == image)
            g_array_remove_index_fast(worker->timers, i);
    }
}

static bool has_result(void *arg, const char *ref, uint32_t index)
{
    struct lmn_emu_worker *worker = arg;
    char key[LMN_TASK_NAME_SIZE];
    g_snprintf(key, sizeof key, "%s/%u", ref, index);
    return g_hash_table_contains(worker->results, key);
}

/* Normal, by the inverse of its distribution, so that one draw makes one number. */
static double normal(GRand *r)
{
    return gsl_cdf_ugaussian_Pinv(CLAMP(g_rand_double(r), 1e-9, 1 - 1e-9));
}

static void start(void *arg, struct lmn_task_run *r)
{
    struct lmn_emu_worker *worker = arg;
    const struct lmn_emu_spec *spec = spec_of(worker, r);

    if (worker->ledger)
        lmn_emu_ledger_begin(worker->ledger, r->job_id, r->index, worker);
    if (spec->service)
        return;
    double sigma = worker->knobs->noise;
    double factor = exp(sigma * normal(worker->rng) - sigma * sigma / 2);
    double run =
        spec->estimate_s * factor / MAX(worker->knobs->speed, 1e-6) / worker->speed;
    if (worker->faulty)
        run = MIN(run, 0.5);
    add(worker, T_END, lmn_time_add(now_of_call, run), r->id, NULL);
}

static void save(void *arg, struct lmn_task_run *r, double grace_s)
{
    struct lmn_emu_worker *worker = arg;
    add(worker, T_SAVED, lmn_time_add(now_of_call, MIN(r->save_s, grace_s)), r->id, NULL);
}

static void kill_run(void *arg, struct lmn_task_run *r)
{
    add(arg, T_KILLED, lmn_time_add(now_of_call, KILL_S), r->id, NULL);
}

static void kill_all(void *arg)
{
    struct lmn_emu_worker *worker = arg;
    if (worker->ledger)
        worker->ledger->lapsed += lmn_emu_ledger_empty(worker->ledger, worker);
    g_array_set_size(worker->timers, 0);
    g_array_set_size(worker->asking, 0);
    add(worker, T_EMPTY, lmn_time_add(now_of_call, KILL_S), 0, NULL);
}

static void extend_lease(void *arg, struct timespec until)
{
    (void)arg;
    (void)until;
}

static const struct lmn_agent_ops ops = {describe,   fetch,    cancel_fetch,
                                         has_result, start,    save,
                                         kill_run,   kill_all, extend_lease};

void lmn_emu_worker_init(struct lmn_emu_worker *worker,
                         const struct lmn_emulator_faults *k, uint32_t seed,
                         double lease_s, struct timespec now)
{
    worker->knobs = k;
    worker->rng = g_rand_new_with_seed(seed);
    worker->speed = 1 + 0.1 * (g_rand_double(worker->rng) - 0.5);
    if (g_rand_double(worker->rng) < k->slow)
        worker->speed /= 5;
    worker->faulty = g_rand_double(worker->rng) < k->faulty;
    worker->timers = g_array_new(FALSE, FALSE, sizeof(struct timer));
    worker->asking = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    worker->images = g_ptr_array_new();
    worker->results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    worker->specs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    worker->agent.lease_s = lease_s;
    now_of_call = now;
    lmn_agent_init(&worker->agent, &ops, worker, 1, now);
}

void lmn_emu_worker_clear(struct lmn_emu_worker *worker)
{
    if (worker->ledger)
        lmn_emu_ledger_empty(worker->ledger, worker);
    lmn_agent_clear(&worker->agent);
    g_rand_free(worker->rng);
    g_array_free(worker->timers, TRUE);
    g_array_free(worker->asking, TRUE);
    g_ptr_array_free(worker->images, TRUE);
    g_hash_table_destroy(worker->results);
    g_hash_table_destroy(worker->specs);
}

void lmn_emu_worker_described(struct lmn_emu_worker *worker, uint64_t id,
                              const struct lmn_job_spec *spec, struct timespec now)
{
    now_of_call = now;
    if (spec && !g_hash_table_contains(worker->specs, spec->id)) {
        struct lmn_emu_spec *s = g_new0(struct lmn_emu_spec, 1);
        *s = (struct lmn_emu_spec){spec->estimate_s, spec->image_gb,
                                   spec->kind == LMN_JOB_SERVICE};
        g_hash_table_insert(worker->specs, g_strdup(spec->id), s);
    }
    lmn_agent_described(&worker->agent, id, spec, now);
}

static void note_image(struct lmn_emu_worker *worker, const char *image)
{
    /* So many as a cache of the usual size holds of the usual images. */
    enum { MOST = 8 };

    if (!g_ptr_array_find(worker->images, image, NULL))
        g_ptr_array_add(worker->images, (gpointer)image);
    if (worker->images->len > MOST)
        g_ptr_array_remove_index(worker->images, 0);
}

static void exited(struct lmn_emu_worker *worker, const struct lmn_task_run *r, bool done,
                   bool saved, struct timespec now)
{
    if (worker->ledger)
        lmn_emu_ledger_end(worker->ledger, r->job_id, r->index, worker);
    lmn_agent_exited(&worker->agent, r->id, done, saved, now);
}

static void ring(struct lmn_emu_worker *worker, const struct timer *t,
                 struct timespec now)
{
    const struct lmn_task_run *r = lmn_agent_find_run(&worker->agent, t->id);

    switch (t->kind) {
    case T_FETCH:
        note_image(worker, t->image);
        lmn_agent_fetched(&worker->agent, t->image, true, now);
        return;
    case T_EMPTY:
        lmn_agent_incarnation_ended(&worker->agent, worker->agent.incarnation + 1, now);
        return;
    case T_END:
        if (!r || (r->state != LMN_RUN_RUNNING && r->state != LMN_RUN_SAVING))
            return;
        if (!worker->faulty)
            g_hash_table_add(worker->results,
                             g_strdup_printf("%s/%u", r->job_id, r->index));
        worker->done += !worker->faulty;
        worker->failed += worker->faulty;
        exited(worker, r, !worker->faulty, false, now);
        return;
    default:
        if (r)
            exited(worker, r, false, t->kind == T_SAVED, now);
    }
}

void lmn_emu_worker_pass(struct lmn_emu_worker *worker, struct timespec now)
{
    now_of_call = now;
    lmn_agent_check_lease(&worker->agent, now);
    /* In the order of their times: what rings may set more. */
    for (;;) {
        int first = -1;
        for (guint i = 0; i < worker->timers->len; i++) {
            const struct timer *t = &g_array_index(worker->timers, struct timer, i);
            if (!lmn_time_before(now, t->at) &&
                (first < 0 ||
                 lmn_time_before(t->at,
                                 g_array_index(worker->timers, struct timer, first).at)))
                first = (int)i;
        }
        if (first < 0)
            return;
        struct timer t = g_array_index(worker->timers, struct timer, first);
        g_array_remove_index_fast(worker->timers, (guint)first);
        ring(worker, &t, now);
    }
}
