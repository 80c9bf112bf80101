/* Tests the agent's state machine with random histories: commands arrive repeatedly,
 * late, with old fencing tokens and for old incarnations; descriptions, images and
 * processes finish in any order; answers to heartbeats are lost. Guards against a task
 * that runs twice, and against commands of a replaced owner that take effect. */
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
    GRand *random;
    struct timespec now;
    struct lmn_agent agent;
    struct lmn_job_spec specs[JOBS];
    /* What the agent has requested by its ops and has not been answered. */
    GArray *pending_descriptions; /* uint64_t: ids of runs */
    GPtrArray *pending_images;    /* interned names */
    GArray *running;              /* uint64_t: ids of runs whose processes exist */
    GHashTable *results;          /* "job/index" of completed tasks */
    GHashTable *started;          /* ids of all runs that were started */
    bool is_killing_all;          /* kill_all was requested and not answered */
    uint64_t token, incarnation;  /* the last that were seen */
    uint64_t starts, expired_leases, saves, completed;
    struct timespec leased_until;
} machine;

static int random_below(int limit)
{
    return g_rand_int_range(machine.random, 0, limit);
}

static void remove_id(GArray *ids, uint64_t id)
{
    for (guint i = ids->len; i-- > 0;)
        if (g_array_index(ids, uint64_t, i) == id)
            g_array_remove_index_fast(ids, i);
}

static void describe(void *arg, struct lmn_task_run *run)
{
    (void)arg;
    g_array_append_val(machine.pending_descriptions, run->id);
}

static void fetch(void *arg, struct lmn_task_run *run)
{
    (void)arg;
    if (!g_ptr_array_find(machine.pending_images, run->image, NULL))
        g_ptr_array_add(machine.pending_images, run->image);
}

static void cancel_fetch(void *arg, const char *image)
{
    (void)arg;
    for (guint i = 0; i < machine.agent.runs->len; i++) {
        const struct lmn_task_run *run = machine.agent.runs->pdata[i];
        assert_false(run->state == LMN_RUN_FETCHING && !strcmp(run->image, image));
    }
}

static bool has_result(void *arg, const char *job_id, uint32_t index)
{
    char key[64];
    (void)arg;
    g_snprintf(key, sizeof key, "%s/%u", job_id, index);
    return g_hash_table_contains(machine.results, key);
}

static void start(void *arg, struct lmn_task_run *run)
{
    uint64_t *id = g_new(uint64_t, 1);
    (void)arg;
    *id = run->id;
    /* A repeated or late start command must not start an attempt that is still listed. */
    assert_true(g_hash_table_add(machine.started, id));
    for (guint i = 0; i < machine.running->len; i++) {
        const struct lmn_task_run *other = lmn_agent_find_run(
            &machine.agent, g_array_index(machine.running, uint64_t, i));
        assert_false(other && other->index == run->index &&
                     !strcmp(other->job_id, run->job_id));
    }
    g_array_append_val(machine.running, run->id);
    machine.starts++;
}

static void save(void *arg, struct lmn_task_run *run, double grace_s)
{
    (void)arg;
    assert_true(run->can_save && grace_s >= run->save_s);
    machine.saves++;
}

static void kill_run(void *arg, struct lmn_task_run *run)
{
    (void)arg;
    (void)run;
}

static void kill_all(void *arg)
{
    (void)arg;
    assert_false(machine.is_killing_all);
    machine.is_killing_all = true;
    machine.expired_leases++;
}

static void extend_lease(void *arg, struct timespec until)
{
    (void)arg;
    machine.leased_until = until;
}

static const struct lmn_agent_ops ops = {describe,   fetch,    cancel_fetch,
                                         has_result, start,    save,
                                         kill_run,   kill_all, extend_lease};

/* A message with up to 3 random commands. */
static GByteArray *random_commands(uint64_t token, uint64_t incarnation)
{
    GByteArray *body = g_byte_array_new();
    int count = random_below(4);

    lmn_cbor_put_map(body, 3);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, token);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(body, incarnation);
    lmn_cbor_put_text(body, WIRE_COMMANDS), lmn_cbor_put_array(body, (size_t)count);
    for (int i = 0; i < count; i++) {
        static const char *const commands[] = {WIRE_START, WIRE_START, WIRE_KILL,
                                               WIRE_CLEAR, WIRE_CLEAR};
        const char *command = commands[random_below(5)];
        char task[64];
        int job = random_below(JOBS), index = random_below(TASKS),
            attempt = 1 + random_below(ATTEMPTS);
        /* In two of three cases, about a run that is listed. */
        if (machine.agent.runs->len && random_below(3)) {
            const struct lmn_task_run *run =
                machine.agent.runs->pdata[random_below((int)machine.agent.runs->len)];
            job = run->job_id[strlen(run->job_id) - 1] - '0';
            index = (int)run->index;
            attempt = (int)run->attempt;
        }
        g_snprintf(task, sizeof task, "run-%06d/%d", job, index);
        lmn_cbor_put_map(body, 4);
        lmn_cbor_put_text(body, WIRE_COMMAND), lmn_cbor_put_text(body, command);
        lmn_cbor_put_text(body, WIRE_TASK), lmn_cbor_put_text(body, task);
        lmn_cbor_put_text(body, WIRE_ATTEMPT), lmn_cbor_put_uint(body, (uint64_t)attempt);
        lmn_cbor_put_text(body, WIRE_GRACE_S),
            lmn_cbor_put_number(body, random_below(2) ? 10 : 0);
    }
    return body;
}

static void check_invariants(void)
{
    double cpus = 0;

    for (guint i = 0; i < machine.agent.runs->len; i++) {
        const struct lmn_task_run *run = machine.agent.runs->pdata[i];
        if (run->is_described && run->state != LMN_RUN_ENDED)
            cpus += run->cpus;
        for (guint j = 0; j < i; j++) {
            const struct lmn_task_run *other = machine.agent.runs->pdata[j];
            bool is_same_task =
                other->index == run->index && !strcmp(other->job_id, run->job_id);
            /* At most one attempt at a task has not ended, and each attempt is listed
             * once. */
            assert_false(is_same_task && other->state != LMN_RUN_ENDED &&
                         run->state != LMN_RUN_ENDED);
            assert_false(is_same_task && other->attempt == run->attempt);
        }
    }
    assert_true(cpus <= machine.agent.type.cpus + 1e-6);
    assert_true(machine.agent.fencing_token >= machine.token);
    machine.token = machine.agent.fencing_token;
    assert_true(machine.agent.incarnation >= machine.incarnation);
    machine.incarnation = machine.agent.incarnation;
    assert_int_equal(machine.agent.is_ending, machine.is_killing_all);
    if (machine.is_killing_all)
        assert_int_equal(machine.agent.runs->len, 0);
    else
        assert_true(lmn_time_diff_s(machine.now, machine.agent.lease_from) <=
                    machine.agent.lease_s + 0.5);
}

static void send_commands(void)
{
    uint64_t token = machine.agent.fencing_token + (uint64_t)random_below(3),
             incarnation = machine.agent.incarnation;
    bool has_old_token = random_below(5) == 0, has_old_incarnation = random_below(6) == 0,
         is_request = random_below(2);
    guint runs_before = machine.agent.runs->len;
    uint64_t starts_before = machine.starts, sequence_before = machine.agent.sequence;

    if (has_old_token)
        token = token > 3 ? token - 3 : 0;
    if (has_old_incarnation)
        incarnation = incarnation > 1 ? incarnation - 1 : 0;
    bool is_outdated =
        token < machine.agent.fencing_token || incarnation != machine.agent.incarnation;
    GByteArray *body = random_commands(token, incarnation), *out = g_byte_array_new();
    if (is_request) {
        bool was_ending = machine.agent.is_ending;
        int status = lmn_agent_handle_commands(&machine.agent, body->data, body->len, out,
                                               machine.now);
        if (was_ending || machine.agent.is_ending)
            assert_int_equal(status, 503);
        else
            assert_int_equal(status, is_outdated ? 409 : 200);
        assert_true(status == 503 || machine.agent.sequence == sequence_before + 1);
    } else {
        struct timespec sent_at = lmn_time_add(machine.now, -0.1 * random_below(10));
        bool is_accepted = lmn_agent_heartbeat_answered(
            &machine.agent, incarnation, sent_at, body->data, body->len, machine.now);
        assert_true(!is_accepted || !is_outdated);
    }
    if (is_outdated) {
        assert_int_equal(machine.starts, starts_before);
        assert_true(machine.agent.runs->len == runs_before || machine.agent.is_ending);
    }
    g_byte_array_unref(body);
    g_byte_array_unref(out);
}

static void report_random_outcome(void)
{
    /* Once all tasks have results, none would be started any more. */
    if (random_below(60) == 0)
        g_hash_table_remove_all(machine.results);
    switch (random_below(3)) {
    case 0:
        if (machine.pending_descriptions->len) {
            uint64_t id =
                g_array_index(machine.pending_descriptions, uint64_t,
                              random_below((int)machine.pending_descriptions->len));
            const struct lmn_task_run *run = lmn_agent_find_run(&machine.agent, id);
            remove_id(machine.pending_descriptions, id);
            int job = run ? run->job_id[strlen(run->job_id) - 1] - '0' : 0;
            lmn_agent_described(&machine.agent, id,
                                random_below(20) ? &machine.specs[job] : NULL,
                                machine.now);
        }
        return;
    case 1:
        if (machine.pending_images->len) {
            const char *image = g_ptr_array_remove_index_fast(
                machine.pending_images,
                (guint)random_below((int)machine.pending_images->len));
            lmn_agent_fetched(&machine.agent, image, random_below(10) > 0, machine.now);
        }
        return;
    default:
        if (machine.running->len && !machine.is_killing_all) {
            uint64_t id = g_array_index(machine.running, uint64_t,
                                        random_below((int)machine.running->len));
            const struct lmn_task_run *run = lmn_agent_find_run(&machine.agent, id);
            bool is_done = random_below(2);
            assert_non_null(run); /* a running run is listed until its incarnation ends */
            if (is_done) {
                g_hash_table_add(machine.results,
                                 g_strdup_printf("%s/%u", run->job_id, run->index));
                machine.completed++;
            }
            remove_id(machine.running, id);
            lmn_agent_exited(&machine.agent, id, is_done, random_below(2), machine.now);
            run = lmn_agent_find_run(&machine.agent, id);
            assert_int_equal(run->state, LMN_RUN_ENDED);
            assert_int_equal(run->exit_reason == LMN_EXIT_DONE, is_done);
        }
    }
}

static void send_heartbeat(void)
{
    GByteArray *body = g_byte_array_new();
    struct lmn_cbor_document document;
    uint64_t sequence_before = machine.agent.sequence, sequence = 0;

    if (machine.agent.is_ending) {
        g_byte_array_unref(body);
        return;
    }
    lmn_agent_write_heartbeat(&machine.agent, body, machine.now);
    assert_int_equal(lmn_cbor_parse(&document, body->data, body->len), 0);
    assert_true(lmn_cbor_get_uint(
                    lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_SEQUENCE),
                    &sequence) &&
                sequence == sequence_before + 1);
    assert_int_equal(lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_TASKS)->len,
                     machine.agent.runs->len);
    lmn_cbor_free(&document);
    if (random_below(5)) {
        /* The heartbeat is answered, sometimes by a new owner with a higher token. */
        GByteArray *answer =
            random_commands(machine.agent.fencing_token + (random_below(30) == 0),
                            machine.agent.incarnation);
        bool is_accepted = lmn_agent_heartbeat_answered(
            &machine.agent, machine.agent.incarnation, machine.now, answer->data,
            answer->len, machine.now);
        assert_true(!is_accepted || lmn_time_diff_s(machine.leased_until, machine.now) >
                                        machine.agent.lease_s - 0.01);
        g_byte_array_unref(answer);
    }
    g_byte_array_unref(body);
}

static void run_history(uint32_t seed)
{
    memset(&machine, 0, sizeof machine);
    machine.random = g_rand_new_with_seed(seed);
    machine.now = (struct timespec){1000, 0};
    machine.pending_descriptions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    machine.running = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    machine.pending_images = g_ptr_array_new();
    machine.results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    machine.started = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    for (int i = 0; i < JOBS; i++)
        machine.specs[i] = (struct lmn_job_spec){.tasks = TASKS - (i == 3),
                                                 .cpus = 1 + i,
                                                 .image = (char *)(i % 2 ? "one" : "two"),
                                                 .checkpoint_s = i == 1 ? 5 : 0,
                                                 .save_s = 2};
    g_strlcpy(machine.agent.name, "host-000001", sizeof machine.agent.name);
    machine.agent.type.cpus = 6;
    machine.agent.lease_s = 10;
    lmn_agent_init(&machine.agent, &ops, NULL, 1, machine.now);
    for (int step = 0; step < STEPS; step++) {
        machine.now =
            lmn_time_add(machine.now, random_below(200) ? 0.05 * random_below(5)
                                                        : 0.1 * random_below(150));
        if (random_below(4) == 0)
            send_commands();
        else if (random_below(3) == 0)
            send_heartbeat();
        else
            report_random_outcome();
        lmn_agent_check_lease(&machine.agent, machine.now);
        if (machine.is_killing_all && random_below(3) == 0) {
            /* All processes are gone. An exit that is reported afterwards must have no
             * effect. */
            g_array_set_size(machine.running, 0);
            machine.is_killing_all = false;
            uint64_t id = machine.agent.next_run_id;
            lmn_agent_incarnation_ended(&machine.agent, machine.agent.incarnation + 1,
                                        machine.now);
            lmn_agent_exited(&machine.agent, id, true, false, machine.now);
            assert_int_equal(machine.agent.runs->len, 0);
        }
        check_invariants();
    }
    assert_true(machine.starts > 100 && machine.expired_leases > 5 && machine.saves > 5 &&
                machine.completed > 50);
    lmn_agent_clear(&machine.agent);
    g_rand_free(machine.random);
    g_array_free(machine.pending_descriptions, TRUE);
    g_array_free(machine.running, TRUE);
    g_ptr_array_free(machine.pending_images, TRUE);
    g_hash_table_destroy(machine.results);
    g_hash_table_destroy(machine.started);
}

static void agent_keeps_the_protocol_in_random_histories(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= 6; seed++)
        run_history(seed);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(agent_keeps_the_protocol_in_random_histories)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
