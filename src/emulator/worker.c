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

static void add(struct lmn_emu_worker *w, enum timer_kind kind, struct timespec at,
                uint64_t id, const char *image)
{
    struct timer t = {kind, at, id, image};
    g_array_append_val(w->timers, t);
}

/* The clock of the ops, which are told no time: that of the call under way. */
static _Thread_local struct timespec now_of_call;

static void describe(void *arg, struct lmn_task_run *r)
{
    struct lmn_emu_worker *w = arg;
    g_array_append_val(w->asking, r->id);
}

static const struct lmn_emu_spec *spec_of(const struct lmn_emu_worker *w,
                                          const struct lmn_task_run *r)
{
    static const struct lmn_emu_spec none;
    const struct lmn_emu_spec *s = g_hash_table_lookup(w->specs, r->ref);
    return s ? s : &none;
}

static void fetch(void *arg, struct lmn_task_run *r)
{
    struct lmn_emu_worker *w = arg;
    const struct lmn_emu_spec *s = spec_of(w, r);
    guint at;

    if (g_ptr_array_find(w->images, r->image, &at)) {
        g_ptr_array_remove_index(w->images, at);
        g_ptr_array_add(w->images, r->image);
        add(w, T_FETCH, now_of_call, 0, r->image);
        return;
    }
    for (guint i = 0; i < w->timers->len; i++) {
        const struct timer *t = &g_array_index(w->timers, struct timer, i);
        if (t->kind == T_FETCH && t->image == r->image)
            return; /* it is on its way */
    }
    double rate = w->agent.type.pull > 0 ? w->agent.type.pull : 1;
    double took = s->image_gb / rate * (0.75 + 0.6 * g_rand_double(w->rng));
    w->image_fetches += s->image_gb > 0;
    add(w, T_FETCH, lmn_time_add(now_of_call, took), 0, r->image);
}

static void give_up(void *arg, const char *image)
{
    struct lmn_emu_worker *w = arg;
    for (guint i = w->timers->len; i-- > 0;) {
        const struct timer *t = &g_array_index(w->timers, struct timer, i);
        if (t->kind == T_FETCH && t->image == image)
            g_array_remove_index_fast(w->timers, i);
    }
}

static bool has_result(void *arg, const char *ref, uint32_t index)
{
    struct lmn_emu_worker *w = arg;
    char key[LMN_JOB_ID_SIZE + 16];
    g_snprintf(key, sizeof key, "%s/%u", ref, index);
    return g_hash_table_contains(w->results, key);
}

/* Normal, by the inverse of its distribution, so that one draw makes one number. */
static double normal(GRand *r)
{
    return gsl_cdf_ugaussian_Pinv(CLAMP(g_rand_double(r), 1e-9, 1 - 1e-9));
}

static void start(void *arg, struct lmn_task_run *r)
{
    struct lmn_emu_worker *w = arg;
    const struct lmn_emu_spec *s = spec_of(w, r);

    if (w->ledger)
        lmn_emu_ledger_begin(w->ledger, r->ref, r->index, w);
    if (s->service)
        return;
    double sigma = w->knobs->noise;
    double factor = exp(sigma * normal(w->rng) - sigma * sigma / 2);
    double run = s->estimate_s * factor / MAX(w->knobs->speed, 1e-6) / w->speed;
    if (w->faulty)
        run = MIN(run, 0.5);
    add(w, T_END, lmn_time_add(now_of_call, run), r->id, NULL);
}

static void save(void *arg, struct lmn_task_run *r, double grace_s)
{
    struct lmn_emu_worker *w = arg;
    add(w, T_SAVED, lmn_time_add(now_of_call, MIN(r->save_s, grace_s)), r->id, NULL);
}

static void kill_run(void *arg, struct lmn_task_run *r)
{
    add(arg, T_KILLED, lmn_time_add(now_of_call, KILL_S), r->id, NULL);
}

static void kill_all(void *arg)
{
    struct lmn_emu_worker *w = arg;
    if (w->ledger)
        w->ledger->lapsed += lmn_emu_ledger_empty(w->ledger, w);
    g_array_set_size(w->timers, 0);
    g_array_set_size(w->asking, 0);
    add(w, T_EMPTY, lmn_time_add(now_of_call, KILL_S), 0, NULL);
}

static void leased(void *arg, struct timespec until)
{
    (void)arg;
    (void)until;
}

static const struct lmn_agent_ops ops = {describe, fetch,    give_up,  has_result, start,
                                         save,     kill_run, kill_all, leased};

void lmn_emu_worker_init(struct lmn_emu_worker *w, const struct lmn_emulator_faults *k,
                         uint32_t seed, double lease_s, struct timespec now)
{
    w->knobs = k;
    w->rng = g_rand_new_with_seed(seed);
    w->speed = 1 + 0.1 * (g_rand_double(w->rng) - 0.5);
    if (g_rand_double(w->rng) < k->slow)
        w->speed /= 5;
    w->faulty = g_rand_double(w->rng) < k->faulty;
    w->timers = g_array_new(FALSE, FALSE, sizeof(struct timer));
    w->asking = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    w->images = g_ptr_array_new();
    w->results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    w->specs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    w->agent.lease_s = lease_s;
    now_of_call = now;
    lmn_agent_init(&w->agent, &ops, w, 1, now);
}

void lmn_emu_worker_clear(struct lmn_emu_worker *w)
{
    if (w->ledger)
        lmn_emu_ledger_empty(w->ledger, w);
    lmn_agent_clear(&w->agent);
    g_rand_free(w->rng);
    g_array_free(w->timers, TRUE);
    g_array_free(w->asking, TRUE);
    g_ptr_array_free(w->images, TRUE);
    g_hash_table_destroy(w->results);
    g_hash_table_destroy(w->specs);
}

void lmn_emu_worker_described(struct lmn_emu_worker *w, uint64_t id,
                              const struct lmn_job_spec *spec, struct timespec now)
{
    now_of_call = now;
    if (spec && !g_hash_table_contains(w->specs, spec->ref)) {
        struct lmn_emu_spec *s = g_new0(struct lmn_emu_spec, 1);
        *s = (struct lmn_emu_spec){spec->estimate_s, spec->image_gb,
                                   spec->kind == LMN_JOB_SERVICE};
        g_hash_table_insert(w->specs, g_strdup(spec->ref), s);
    }
    lmn_agent_described(&w->agent, id, spec, now);
}

static void note_image(struct lmn_emu_worker *w, const char *image)
{
    /* So many as a cache of the usual size holds of the usual images. */
    enum { MOST = 8 };

    if (!g_ptr_array_find(w->images, image, NULL))
        g_ptr_array_add(w->images, (gpointer)image);
    if (w->images->len > MOST)
        g_ptr_array_remove_index(w->images, 0);
}

static void exited(struct lmn_emu_worker *w, const struct lmn_task_run *r, bool done,
                   bool saved, struct timespec now)
{
    if (w->ledger)
        lmn_emu_ledger_end(w->ledger, r->ref, r->index, w);
    lmn_agent_exited(&w->agent, r->id, done, saved, now);
}

static void ring(struct lmn_emu_worker *w, const struct timer *t, struct timespec now)
{
    const struct lmn_task_run *r = lmn_agent_find_run(&w->agent, t->id);

    switch (t->kind) {
    case T_FETCH:
        note_image(w, t->image);
        lmn_agent_fetched(&w->agent, t->image, true, now);
        return;
    case T_EMPTY:
        lmn_agent_incarnation_ended(&w->agent, w->agent.session + 1, now);
        return;
    case T_END:
        if (!r || (r->state != LMN_RUN_RUNNING && r->state != LMN_RUN_SAVING))
            return;
        if (!w->faulty)
            g_hash_table_add(w->results, g_strdup_printf("%s/%u", r->ref, r->index));
        w->done += !w->faulty;
        w->failed += w->faulty;
        exited(w, r, !w->faulty, false, now);
        return;
    default:
        if (r)
            exited(w, r, false, t->kind == T_SAVED, now);
    }
}

void lmn_emu_worker_pass(struct lmn_emu_worker *w, struct timespec now)
{
    now_of_call = now;
    lmn_agent_tick(&w->agent, now);
    /* In the order of their times: what rings may set more. */
    for (;;) {
        int first = -1;
        for (guint i = 0; i < w->timers->len; i++) {
            const struct timer *t = &g_array_index(w->timers, struct timer, i);
            if (!lmn_time_before(now, t->at) &&
                (first < 0 ||
                 lmn_time_before(t->at,
                                 g_array_index(w->timers, struct timer, first).at)))
                first = (int)i;
        }
        if (first < 0)
            return;
        struct timer t = g_array_index(w->timers, struct timer, first);
        g_array_remove_index_fast(w->timers, (guint)first);
        ring(w, &t, now);
    }
}
