/* The worker's side of the protocol, under generated histories: commands come doubled,
 * late, with old tokens, for old sessions; processes and images end whenever they like;
 * answers are lost. */
#include "worker/agent.h"
#include "util/clock.h"
#include "protocol/wire.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

enum { JOBS = 4, TASKS = 3, ATTEMPTS = 4, STEPS = 60000 };

static struct {
    GRand *r;
    struct timespec now;
    struct lmn_agent a;
    struct lmn_job_spec specs[JOBS];
    /* what was asked of the ops and not answered */
    GArray *asked; /* uint64_t: runs to be described */
    GPtrArray *images;
    GArray *live;                /* uint64_t: runs whose processes run */
    GHashTable *results, *begun; /* "ref/index"; ids of runs */
    bool emptying;
    uint64_t token, session, starts, lapses, saves, done;
    struct timespec leased;
} w;

static int some(int n)
{
    return g_rand_int_range(w.r, 0, n);
}

static void drop_id(GArray *v, uint64_t id)
{
    for (guint i = v->len; i-- > 0;)
        if (g_array_index(v, uint64_t, i) == id)
            g_array_remove_index_fast(v, i);
}

static void describe(void *arg, struct lmn_task_run *r)
{
    (void)arg;
    g_array_append_val(w.asked, r->id);
}

static void fetch(void *arg, struct lmn_task_run *r)
{
    (void)arg;
    if (!g_ptr_array_find(w.images, r->image, NULL))
        g_ptr_array_add(w.images, r->image);
}

static void give_up(void *arg, const char *image)
{
    (void)arg;
    for (guint i = 0; i < w.a.runs->len; i++) {
        const struct lmn_task_run *r = w.a.runs->pdata[i];
        assert_false(r->state == LMN_RUN_FETCHING && !strcmp(r->image, image));
    }
}

static bool has_result(void *arg, const char *ref, uint32_t index)
{
    char key[64];
    (void)arg;
    g_snprintf(key, sizeof key, "%s/%u", ref, index);
    return g_hash_table_contains(w.results, key);
}

static void start(void *arg, struct lmn_task_run *r)
{
    uint64_t *id = g_new(uint64_t, 1);
    (void)arg;
    *id = r->id;
    /* A repeated start, or a late one, never starts an attempt that is still known anew.
     */
    assert_true(g_hash_table_add(w.begun, id));
    for (guint i = 0; i < w.live->len; i++) {
        const struct lmn_task_run *o =
            lmn_agent_find_run(&w.a, g_array_index(w.live, uint64_t, i));
        assert_false(o && o->index == r->index && !strcmp(o->job_id, r->job_id));
    }
    g_array_append_val(w.live, r->id);
    w.starts++;
}

static void save(void *arg, struct lmn_task_run *r, double grace)
{
    (void)arg;
    assert_true(r->can_save && grace >= r->save_s);
    w.saves++;
}

static void kill_run(void *arg, struct lmn_task_run *r)
{
    (void)arg;
    (void)r;
}

static void kill_all(void *arg)
{
    (void)arg;
    assert_false(w.emptying);
    w.emptying = true;
    w.lapses++;
}

static void leased(void *arg, struct timespec until)
{
    (void)arg;
    w.leased = until;
}

static const struct lmn_agent_ops ops = {describe, fetch,    give_up,  has_result, start,
                                         save,     kill_run, kill_all, leased};

/* Commands, mostly sensible. */
static GByteArray *orders(uint64_t token, uint64_t session)
{
    GByteArray *b = g_byte_array_new();
    int n = some(4);

    lmn_cbor_put_map(b, 3);
    lmn_cbor_put_text(b, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(b, token);
    lmn_cbor_put_text(b, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(b, session);
    lmn_cbor_put_text(b, WIRE_COMMANDS), lmn_cbor_put_array(b, (size_t)n);
    for (int i = 0; i < n; i++) {
        static const char *const words[] = {WIRE_START, WIRE_START, WIRE_KILL, WIRE_CLEAR,
                                            WIRE_CLEAR};
        const char *op = words[some(5)];
        char task[64];
        int ref = some(JOBS), index = some(TASKS), attempt = 1 + some(ATTEMPTS);
        /* Often about something that is there. */
        if (w.a.runs->len && some(3)) {
            const struct lmn_task_run *r = w.a.runs->pdata[some((int)w.a.runs->len)];
            ref = r->job_id[strlen(r->job_id) - 1] - '0';
            index = (int)r->index;
            attempt = (int)r->attempt;
        }
        g_snprintf(task, sizeof task, "run-%06d/%d", ref, index);
        lmn_cbor_put_map(b, 4);
        lmn_cbor_put_text(b, WIRE_COMMAND), lmn_cbor_put_text(b, op);
        lmn_cbor_put_text(b, WIRE_TASK), lmn_cbor_put_text(b, task);
        lmn_cbor_put_text(b, WIRE_ATTEMPT), lmn_cbor_put_uint(b, (uint64_t)attempt);
        lmn_cbor_put_text(b, WIRE_GRACE_S), lmn_cbor_put_number(b, some(2) ? 10 : 0);
    }
    return b;
}

static void check(void)
{
    double cpus = 0;

    for (guint i = 0; i < w.a.runs->len; i++) {
        const struct lmn_task_run *r = w.a.runs->pdata[i];
        if (r->is_described && r->state != LMN_RUN_ENDED)
            cpus += r->cpus;
        for (guint k = 0; k < i; k++) {
            const struct lmn_task_run *o = w.a.runs->pdata[k];
            bool same = o->index == r->index && !strcmp(o->job_id, r->job_id);
            /* One attempt of a task at a time, and each attempt once. */
            assert_false(same && o->state != LMN_RUN_ENDED && r->state != LMN_RUN_ENDED);
            assert_false(same && o->attempt == r->attempt);
        }
    }
    assert_true(cpus <= w.a.type.cpus + 1e-6);
    assert_true(w.a.fencing_token >= w.token);
    w.token = w.a.fencing_token;
    assert_true(w.a.incarnation >= w.session);
    w.session = w.a.incarnation;
    assert_int_equal(w.a.is_ending, w.emptying);
    if (w.emptying)
        assert_int_equal(w.a.runs->len, 0);
    else
        assert_true(lmn_time_diff_s(w.now, w.a.lease_from) <= w.a.lease_s + 0.5);
}

static void command(void)
{
    uint64_t token = w.a.fencing_token + (uint64_t)some(3), session = w.a.incarnation;
    bool old = some(5) == 0, late = some(6) == 0, direct = some(2);
    guint before = w.a.runs->len;
    uint64_t starts = w.starts, seq = w.a.sequence;

    if (old)
        token = token > 3 ? token - 3 : 0;
    if (late)
        session = session > 1 ? session - 1 : 0;
    bool drop = token < w.a.fencing_token || session != w.a.incarnation;
    GByteArray *b = orders(token, session), *out = g_byte_array_new();
    if (direct) {
        bool was = w.a.is_ending;
        int status = lmn_agent_handle_commands(&w.a, b->data, b->len, out, w.now);
        if (was || w.a.is_ending)
            assert_int_equal(status, 503);
        else
            assert_int_equal(status, drop ? 409 : 200);
        assert_true(status == 503 || w.a.sequence == seq + 1);
    } else {
        struct timespec sent = lmn_time_add(w.now, -0.1 * some(10));
        bool took =
            lmn_agent_heartbeat_answered(&w.a, session, sent, b->data, b->len, w.now);
        assert_true(!took || !drop);
    }
    if (drop) {
        assert_int_equal(w.starts, starts);
        assert_true(w.a.runs->len == before || w.a.is_ending);
    }
    g_byte_array_unref(b);
    g_byte_array_unref(out);
}

static void something_ends(void)
{
    /* As if they were other jobs: with all results there, nothing would run any more. */
    if (some(60) == 0)
        g_hash_table_remove_all(w.results);
    switch (some(3)) {
    case 0:
        if (w.asked->len) {
            uint64_t id = g_array_index(w.asked, uint64_t, some((int)w.asked->len));
            const struct lmn_task_run *r = lmn_agent_find_run(&w.a, id);
            drop_id(w.asked, id);
            int job = r ? r->job_id[strlen(r->job_id) - 1] - '0' : 0;
            lmn_agent_described(&w.a, id, some(20) ? &w.specs[job] : NULL, w.now);
        }
        return;
    case 1:
        if (w.images->len) {
            const char *image =
                g_ptr_array_remove_index_fast(w.images, (guint)some((int)w.images->len));
            lmn_agent_fetched(&w.a, image, some(10) > 0, w.now);
        }
        return;
    default:
        if (w.live->len && !w.emptying) {
            uint64_t id = g_array_index(w.live, uint64_t, some((int)w.live->len));
            const struct lmn_task_run *r = lmn_agent_find_run(&w.a, id);
            bool done = some(2);
            assert_non_null(r); /* what runs is known until its session ends */
            if (done) {
                g_hash_table_add(w.results,
                                 g_strdup_printf("%s/%u", r->job_id, r->index));
                w.done++;
            }
            drop_id(w.live, id);
            lmn_agent_exited(&w.a, id, done, some(2), w.now);
            r = lmn_agent_find_run(&w.a, id);
            assert_int_equal(r->state, LMN_RUN_ENDED);
            assert_int_equal(r->exit_reason == LMN_EXIT_DONE, done);
        }
    }
}

static void report(void)
{
    GByteArray *b = g_byte_array_new();
    struct lmn_cbor_document d;
    uint64_t seq = w.a.sequence, told = 0;

    if (w.a.is_ending) {
        g_byte_array_unref(b);
        return;
    }
    lmn_agent_write_heartbeat(&w.a, b, w.now);
    assert_int_equal(lmn_cbor_parse(&d, b->data, b->len), 0);
    assert_true(
        lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_SEQUENCE), &told) &&
        told == seq + 1);
    assert_int_equal(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_TASKS)->len, w.a.runs->len);
    lmn_cbor_free(&d);
    if (some(5)) {
        /* It is answered, by whoever holds the highest token. */
        GByteArray *o = orders(w.a.fencing_token + (some(30) == 0), w.a.incarnation);
        bool took = lmn_agent_heartbeat_answered(&w.a, w.a.incarnation, w.now, o->data,
                                                 o->len, w.now);
        assert_true(!took || lmn_time_diff_s(w.leased, w.now) > w.a.lease_s - 0.01);
        g_byte_array_unref(o);
    }
    g_byte_array_unref(b);
}

static void history(uint32_t seed)
{
    memset(&w, 0, sizeof w);
    w.r = g_rand_new_with_seed(seed);
    w.now = (struct timespec){1000, 0};
    w.asked = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    w.live = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    w.images = g_ptr_array_new();
    w.results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    w.begun = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    for (int i = 0; i < JOBS; i++)
        w.specs[i] = (struct lmn_job_spec){.tasks = TASKS - (i == 3),
                                           .cpus = 1 + i,
                                           .image = (char *)(i % 2 ? "one" : "two"),
                                           .checkpoint_s = i == 1 ? 5 : 0,
                                           .save_s = 2};
    g_strlcpy(w.a.name, "host-000001", sizeof w.a.name);
    w.a.type.cpus = 6;
    w.a.lease_s = 10;
    lmn_agent_init(&w.a, &ops, NULL, 1, w.now);
    for (int step = 0; step < STEPS; step++) {
        w.now = lmn_time_add(w.now, some(200) ? 0.05 * some(5) : 0.1 * some(150));
        if (some(4) == 0)
            command();
        else if (some(3) == 0)
            report();
        else
            something_ends();
        lmn_agent_check_lease(&w.a, w.now);
        if (w.emptying && some(3) == 0) {
            /* Everything is dead: what comes of it now is of no session. */
            g_array_set_size(w.live, 0);
            w.emptying = false;
            uint64_t id = w.a.next_run_id;
            lmn_agent_incarnation_ended(&w.a, w.a.incarnation + 1, w.now);
            lmn_agent_exited(&w.a, id, true, false, w.now);
            assert_int_equal(w.a.runs->len, 0);
        }
        check();
    }
    assert_true(w.starts > 100 && w.lapses > 5 && w.saves > 5 && w.done > 50);
    lmn_agent_clear(&w.a);
    g_rand_free(w.r);
    g_array_free(w.asked, TRUE);
    g_array_free(w.live, TRUE);
    g_ptr_array_free(w.images, TRUE);
    g_hash_table_destroy(w.results);
    g_hash_table_destroy(w.begun);
}

static void histories_keep_the_protocol(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= 6; seed++)
        history(seed);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(histories_keep_the_protocol)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
