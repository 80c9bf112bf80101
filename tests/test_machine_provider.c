/* Inventories, the static fleet over a database, the depot, and the emulated cloud's
 * model.
 *
 * The static fleet starts "this program worker --config FILE": main() plays that worker,
 * which holds the agent's lock and has a child that carries the machine's mark. */
#include "worker/executor.h"
#include "util/clock.h"
#include "util/process.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "image_store/image.h"
#include "image_store/work.h"
#include "emulator/cloud.h"
#include "machine_provider/slot.h"
#include "machine_provider/static_provider.h"
#include "site/site.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <curl/curl.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

/* Fleets and servers are never freed. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static char dir[128], err[512];
static const double PATIENCE_S = 60;

static int fresh(void **state)
{
    (void)state;
    g_snprintf(dir, sizeof dir, "/tmp/lemonspar-fleet-%d", (int)getpid());
    lmn_tree_remove(dir);
    g_mkdir_with_parents(dir, 0755);
    return 0;
}

static int wipe(void **state)
{
    (void)state;
    lmn_tree_remove(dir);
    return 0;
}

/* --- files --- */

static const char good[] = "[[types]]\n"              /* 1 */
                           "name = \"small\"\n"       /* 2 */
                           "cpus = 4\n"               /* 3 */
                           "zones = [\"a\", \"b\"]\n" /* 4 */
                           "[[pools]]\n"              /* 5 */
                           "type = \"small\"\n"       /* 6 */
                           "zone = \"a\"\n"           /* 7 */
                           "count = 3\n"              /* 8 */
                           "[[machines]]\n"           /* 9 */
                           "name = \"rack-1\"\n"      /* 10 */
                           "type = \"small\"\n"       /* 11 */
                           "zone = \"b\"\n";          /* 12 */

/* The text with a line replaced. */
static char *with_line(const char *text, unsigned line, const char *by)
{
    char **lines = g_strsplit(text, "\n", -1), *out;
    g_free(lines[line - 1]);
    lines[line - 1] = g_strdup(by);
    out = g_strjoinv("\n", lines);
    g_strfreev(lines);
    return out;
}

static void what_is_wrong_in_an_inventory_is_named(void **state)
{
    static const struct {
        unsigned line;
        const char *by, *field, *where;
    } wrong[] = {
        {2, "name = 7", "types[0].name", "line 2"},
        {2, "name = \"a b\"", "types[0].name", "line 2"},
        {2, "", "types[0].name", "missing"},
        {3, "cpus = -1", "types[0].cpus", "line 3"},
        {3, "cpus = \"4\"", "types[0].cpus", "line 3"},
        {3, "cpus = nan", "types[0].cpus", "line 3"},
        {3, "cpu = 4", "types[0].cpu", "line 3"},
        {4, "zones = []", "types[0].zones", "line 4"},
        {4, "zones = \"a\"", "types[0].zones", "line 4"},
        {6, "type = \"large\"", "pools[0].type", "line 6"},
        {7, "zone = \"c\"", "pools[0].zone", "line 7"},
        {8, "count = 1e9", "pools[0].count", "line 8"},
        {10, "name = \"rack/1\"", "machines[0].name", "line 10"},
        {12, "zone = \"b\"\nspot = 1", "machines[0].spot", "line 13"},
        {12, "zone = \"b\"\nspot = = 1", "", "line 13"},
    };
    struct lmn_inventory v;
    (void)state;

    if (lmn_inventory_parse(good, "inv.toml", &v, err, sizeof err) != 0)
        fail_msg("%s", err);
    assert_int_equal(v.type_count, 1);
    assert_int_equal(v.pools[0].count, 3);
    assert_int_equal(lmn_inventory_slot(&v, "rack-1")->type, 0);
    lmn_inventory_clear(&v);
    for (guint i = 0; i < G_N_ELEMENTS(wrong); i++) {
        char *text = with_line(good, wrong[i].line, wrong[i].by);
        assert_int_equal(lmn_inventory_parse(text, "inv.toml", &v, err, sizeof err), -1);
        if (!strstr(err, "inv.toml") || !strstr(err, wrong[i].field) ||
            !strstr(err, wrong[i].where))
            fail_msg("\"%s\" names not inv.toml, %s, %s", err, wrong[i].field,
                     wrong[i].where);
        g_free(text);
    }
}

/* A type may stand in as many zones as a large site has. */
static void a_type_stands_in_many_zones(void **state)
{
    enum { ZONES = 18 };
    GString *zones = g_string_new("zones = [\"a\", \"b\"");
    struct lmn_inventory v;
    (void)state;

    for (int i = 2; i < ZONES; i++)
        g_string_append_printf(zones, ", \"z%d\"", i);
    g_string_append(zones, "]");
    char *text = with_line(good, 4, zones->str);
    if (lmn_inventory_parse(text, "inv.toml", &v, err, sizeof err) != 0)
        fail_msg("%s", err);
    assert_int_equal(v.types[0].zone_count, ZONES);
    assert_string_equal(v.types[0].zones[ZONES - 1], "z17");
    lmn_inventory_clear(&v);
    g_free(text);
    g_string_free(zones, TRUE);
}

/* A site's own file takes as many teams as its controllers do, and they get them all. */
static void a_site_has_many_teams(void **state)
{
    enum { TEAMS = 110 };
    static struct lmn_site s;
    struct lmn_settings settings;
    char *file = g_build_filename(dir, "site.toml", NULL),
         *inv = g_build_filename(dir, "i.toml", NULL),
         *mine = g_strdup_printf("%s/d/run/controller-1.toml", dir);
    GString *text = g_string_new(NULL);
    (void)state;

    g_file_set_contents(inv, good, -1, NULL);
    g_string_printf(text, "name = \"s\"\ndata = \"%s/d\"\ninventory = \"%s\"\n", dir,
                    inv);
    for (int i = 0; i < TEAMS; i++)
        g_string_append_printf(text, "[[teams]]\nname = \"team%d\"\ncpus_max = %d\n", i,
                               i + 1);
    g_file_set_contents(file, text->str, -1, NULL);
    if (lmn_site_load(file, &s, err, sizeof err) != 0 ||
        lmn_site_write(&s, err, sizeof err) != 0 ||
        lmn_settings_load(mine, &settings, err, sizeof err) != 0)
        fail_msg("%s", err);
    assert_int_equal(settings.team_count, TEAMS);
    assert_true(settings.teams[TEAMS - 1].cpus_max == TEAMS);
    lmn_settings_free(&settings);
    g_string_free(text, TRUE);
    g_free(file);
    g_free(inv);
    g_free(mine);
}

static void what_is_wrong_in_a_site_is_named(void **state)
{
    static const struct {
        const char *more, *names;
    } wrong[] = {
        {"controllers = 0\n", "controllers"},
        {"address = \"host\"\n", "address"},
        {"log_level = \"loud\"\n", "log_level"},
        {"base_port = 80\n", "base_port"},
        {"workers.lease_s = 0.5\n", "workers.lease_s"},
        {"workers.cancel_s = 9\n", "workers.cancel_s"},
        {"state.value = 9\n", "state.value: no such field"},
        {"backend = \"emulated\"\nemulate.cut = 2\n", "emulate.cut"},
    };
    static struct lmn_site s;
    char *file = g_build_filename(dir, "site.toml", NULL),
         *inv = g_build_filename(dir, "i.toml", NULL);
    (void)state;

    g_file_set_contents(inv, good, -1, NULL);
    for (int i = -1; i < (int)G_N_ELEMENTS(wrong); i++) {
        char *text =
            g_strdup_printf("name = \"s\"\ndata = \"%s/d\"\ninventory = \"%s\"\n%s"
                            "[[teams]]\nname = \"t\"\ncpus_max = 5\n",
                            dir, inv, i < 0 ? "" : wrong[i].more);
        g_file_set_contents(file, text, -1, NULL);
        int rc = lmn_site_load(file, &s, err, sizeof err);
        if (i < 0)
            assert_int_equal(rc, 0);
        else if (rc == 0 || !strstr(err, "site.toml") || !strstr(err, wrong[i].names))
            fail_msg("%s: \"%s\"", wrong[i].names, rc ? err : "taken");
        g_free(text);
    }
    /* What it writes for a controller the controller's own reader takes. */
    static struct lmn_settings settings;
    char *mine = g_strdup_printf("%s/d/run/controller-1.toml", dir);
    g_file_set_contents(file, "name = \"s\"\ndata = \"d\"\ninventory = \"none.toml\"\n",
                        -1, NULL);
    assert_int_equal(lmn_site_load(file, &s, err, sizeof err), -1);
    char *text =
        g_strdup_printf("name = \"s\"\ndata = \"%s/d\"\ninventory = \"%s\"\n[[teams]]\n"
                        "name = \"t\"\ncpus_max = 5\n[[objectives]]\nkind = \"wait\"\n"
                        "class = \"c\"\nwithin_s = 3\n",
                        dir, inv);
    g_file_set_contents(file, text, -1, NULL);
    assert_int_equal(lmn_site_load(file, &s, err, sizeof err), 0);
    assert_int_equal(lmn_site_write(&s, err, sizeof err), 0);
    if (lmn_settings_load(mine, &settings, err, sizeof err) != 0)
        fail_msg("%s", err);
    assert_int_equal(settings.member_count, 2);
    assert_int_equal(settings.objective_count, 1);
    g_free(text);
    g_free(mine);
    g_free(file);
    g_free(inv);
}

/* --- the static fleet --- */

static struct lmn_inventory inventory;
static struct lmn_local_agent_options local;

static struct lmn_static_provider *open_fleet(void)
{
    char *db = g_build_filename(dir, "fleet", NULL);
    struct lmn_static_provider *s =
        lmn_static_provider_new(&inventory, &local, db, err, sizeof err);
    if (!s)
        fail_msg("%s", err);
    g_free(db);
    return s;
}

static int rent(struct lmn_static_provider *s, const char *request, unsigned n,
                GPtrArray *names)
{
    struct lmn_rental_request q = {.type = "small", .zone = "a", .count = n};
    g_strlcpy(q.request, request, sizeof q.request);
    return lmn_static_provider_ops.rent(s, &q, names);
}

static void await_agent(const char *name, bool up)
{
    struct timespec end = lmn_time_add(lmn_now(), PATIENCE_S);
    char addr[LMN_ADDRESS_SIZE];
    while (lmn_local_agent_is_up(&local, name, addr) != up) {
        assert_true(lmn_time_before(lmn_now(), end));
        lmn_sleep(0.01);
    }
}

static bool take_listed(void *to, const struct lmn_rented_machine *m)
{
    g_string_append_printf(to, "%s ", m->name);
    return true;
}

/* In a process of its own, which then dies as it is: what it was answered comes back as
 * text. */
static char *rent_and_die(void)
{
    int pipes[2];
    char text[256] = "";

    assert_int_equal(pipe(pipes), 0);
    pid_t pid = fork();
    if (pid == 0) {
        GPtrArray *a = g_ptr_array_new(), *c = g_ptr_array_new();
        struct lmn_static_provider *s = open_fleet();
        int first = rent(s, "r-1", 2, a), second = rent(s, "r-2", 5, c);
        g_snprintf(text, sizeof text, "%d %d %u %u %s %s", first, second, a->len, c->len,
                   (char *)a->pdata[0], (char *)a->pdata[1]);
        if (write(pipes[1], text, strlen(text)) < 0)
            _exit(1);
        kill(getpid(), SIGKILL);
    }
    close(pipes[1]);
    assert_true(read(pipes[0], text, sizeof text - 1) > 0);
    close(pipes[0]);
    waitpid(pid, NULL, 0);
    return g_strdup(text);
}

static void reservations_outlive_the_fleet(void **state)
{
    GPtrArray *a = g_ptr_array_new_with_free_func(g_free),
              *b = g_ptr_array_new_with_free_func(g_free);
    GString *listed = g_string_new(NULL);
    pid_t pid;
    (void)state;

    assert_int_equal(lmn_inventory_parse(good, "inv.toml", &inventory, err, sizeof err),
                     0);
    g_snprintf(local.directory, sizeof local.directory, "%s/machines", dir);
    g_strlcpy(local.worker.listen, "127.0.0.1:0", LMN_ADDRESS_SIZE);
    g_strlcpy(local.worker.image_store, "127.0.0.1:1", LMN_ADDRESS_SIZE);
    /* Two, and of five the one that is left. */
    char *said = rent_and_die();
    assert_string_equal(said, "200 200 2 1 host-000000 host-000001");
    /* What it had rented is still rented, under the same request, and still runs. */
    struct lmn_static_provider *s = open_fleet();
    await_agent("host-000000", true);
    await_agent("host-000001", true);
    assert_int_equal(rent(s, "r-1", 2, a), 200);
    assert_string_equal(a->pdata[0], "host-000000");
    assert_string_equal(a->pdata[1], "host-000001");
    assert_int_equal(rent(s, "r-3", 1, b), 503);
    lmn_static_provider_ops.list(s, "host-000000", take_listed, listed);
    assert_string_equal(listed->str, "host-000001 host-000002 ");
    /* An agent that dies is started again; one that is returned is not, with all that it
     * has. */
    lmn_thread_start_detached(lmn_static_provider_thread, s);
    char *lock = g_build_filename(local.directory, "host-000000", "agent.lock", NULL);
    pid_t first;
    assert_true(lmn_lock_held(lock, &first));
    assert_true(lmn_lock_signal(lock, SIGKILL));
    struct timespec end = lmn_time_add(lmn_now(), PATIENCE_S);
    while (!lmn_lock_held(lock, &pid) || pid == first) {
        assert_true(lmn_time_before(lmn_now(), end));
        lmn_sleep(0.01);
    }
    char *back[] = {(char *)"host-000000", (char *)"host-000001", (char *)"host-000002",
                    (char *)"host-999999"};
    char *machine = g_build_filename(local.directory, "host-000001", NULL);
    char *mark = lmn_executor_environment_mark(machine);
    assert_int_equal(lmn_static_provider_ops.give_back(s, back, 4), 200);
    assert_false(lmn_lock_held(lock, &pid));
    assert_int_equal(lmn_kill_with_environment_entry(mark), 0);
    assert_int_equal(rent(s, "r-3", 1, b), 200);
    assert_string_equal(b->pdata[0], "host-000003"); /* never a name again */
    assert_int_equal(lmn_static_provider_ops.give_back(s, (char **)b->pdata, 1), 200);
    g_free(lock);
    g_free(machine);
    g_free(mark);
    g_free(said);
    g_string_free(listed, TRUE);
    g_ptr_array_free(a, TRUE);
    g_ptr_array_free(b, TRUE);
}

static void *run_slot(void *arg)
{
    lmn_slot_run(arg);
    return NULL;
}

/* A machine elsewhere is a new machine at each rental, and its return is answered when it
 * is gone. */
static void a_slot_becomes_what_it_is_told(void **state)
{
    static struct lmn_slot_options o;
    struct timespec end = lmn_time_add(lmn_now(), PATIENCE_S);
    struct lmn_rental_request q = {.type = "small", .zone = "b", .count = 4};
    char *db = g_build_filename(dir, "fleet2", NULL);
    (void)state;

    assert_int_equal(lmn_inventory_parse(good, "inv.toml", &inventory, err, sizeof err),
                     0);
    struct lmn_static_provider *s =
        lmn_static_provider_new(&inventory, &local, db, err, sizeof err);
    assert_non_null(s);
    struct lmn_http_server *server =
        lmn_machine_provider_serve("127.0.0.1:0", 0, &lmn_static_provider_ops, s);
    assert_non_null(server);
    o.local = local;
    g_snprintf(o.local.directory, sizeof o.local.directory, "%s/slot", dir);
    g_strlcpy(o.name, "rack-1", sizeof o.name);
    g_snprintf(o.provider_address, sizeof o.provider_address, "127.0.0.1:%d",
               lmn_http_server_port(server));
    lmn_thread_start_detached(run_slot, &o);
    for (int round = 0; round < 2; round++) {
        GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
        char addr[LMN_ADDRESS_SIZE];
        g_snprintf(q.request, sizeof q.request, "s-%d", round);
        while (lmn_static_provider_ops.rent(s, &q, names) != 200) {
            assert_true(lmn_time_before(lmn_now(), end));
            lmn_sleep(0.02);
        }
        assert_int_equal(names->len, 1);
        assert_string_equal(names->pdata[0], round ? "host-000001" : "host-000000");
        while (!lmn_local_agent_is_up(&o.local, names->pdata[0], addr)) {
            assert_true(lmn_time_before(lmn_now(), end));
            lmn_sleep(0.02);
        }
        /* On a busy machine the slot may be slower than the call is patient. */
        while (lmn_static_provider_ops.give_back(s, (char **)names->pdata, 1) != 200)
            assert_true(lmn_time_before(lmn_now(), end));
        assert_false(lmn_local_agent_is_up(&o.local, names->pdata[0], addr));
        g_ptr_array_free(names, TRUE);
    }
    g_free(db);
}

/* The worker that the fleet starts: it holds the lock, and a child carries the mark. */
static int play_worker(const char *file)
{
    char *home = g_path_get_dirname(file),
         *lock = g_build_filename(home, "agent.lock", NULL);
    char *mark = lmn_executor_environment_mark(home);
    pid_t other;

    if (lmn_lock_file(lock, &other) < 0)
        return 1;
    if (fork() == 0) {
        putenv(mark);
        execlp("sleep", "sleep", "1000", (char *)NULL);
        _exit(127);
    }
    for (;;)
        pause();
}

/* --- the depot --- */

static void the_depot_keeps_what_it_says(void **state)
{
    struct lmn_http_server *server;
    char *root = g_build_filename(dir, "depot", NULL),
         *src = g_build_filename(dir, "src/sub", NULL);
    char digest[LMN_DIGEST_SIZE], other[LMN_DIGEST_SIZE], back[LMN_DIGEST_SIZE], addr[64];
    GByteArray *b = g_byte_array_new(), *got = g_byte_array_new();
    struct lmn_image_store_error e = {0};
    uint64_t bytes = 0;
    (void)state;

    server = lmn_image_store_start(root, "127.0.0.1:0", err, sizeof err);
    assert_non_null(server);
    g_snprintf(addr, sizeof addr, "127.0.0.1:%d", lmn_http_server_port(server));
    struct lmn_http_client *client = lmn_http_client_new(addr);
    for (int i = 0; i < 2; i++) {
        g_byte_array_append(b, (const guint8 *)"some bytes", 10);
        assert_int_equal(lmn_image_store_put(client, b, i ? other : digest, &e), 0);
        assert_int_equal(lmn_image_store_put(client, b, back, &e),
                         0); /* again changes nothing */
    }
    assert_int_equal(lmn_image_store_get(client, digest, got, &e), 0);
    assert_int_equal(got->len, 10);
    /* Bytes under another digest, names without a blob, names that leave the directory.
     */
    char *path = g_strdup_printf("/blobs/%s", digest);
    assert_int_equal(lmn_http_client_call(client, "PUT", path, b, 5, got), 400);
    g_free(path);
    lmn_digest("none", 4, back);
    assert_int_equal(
        lmn_image_store_bind(client, LMN_IMAGE_STORE_KIND_JOB, "run-1", back, &e), -1);
    assert_int_equal(
        lmn_http_client_call(client, "GET", "/names/job/..%2F..%2Fetc", NULL, 5, got),
        400);
    assert_int_equal(lmn_http_client_call(client, "PUT", "/logs/.ssh/x", b, 5, got), 400);
    /* A job's description is written once; an image's may change. */
    assert_int_equal(
        lmn_image_store_bind(client, LMN_IMAGE_STORE_KIND_JOB, "run-1", digest, &e), 0);
    assert_int_equal(
        lmn_image_store_bind(client, LMN_IMAGE_STORE_KIND_JOB, "run-1", digest, &e), 0);
    assert_int_equal(
        lmn_image_store_bind(client, LMN_IMAGE_STORE_KIND_JOB, "run-1", other, &e), -1);
    assert_int_equal(e.status, 409);
    assert_int_equal(
        lmn_image_store_lookup(client, LMN_IMAGE_STORE_KIND_JOB, "run-1", back, &e), 0);
    assert_string_equal(back, digest);
    /* A directory comes back as it was; one that holds more than files is refused by
     * name. */
    g_mkdir_with_parents(src, 0755);
    char *file = g_build_filename(src, "tool", NULL),
         *top = g_build_filename(dir, "src", NULL);
    char *to = g_build_filename(dir, "image", NULL), *text;
    g_file_set_contents(file, "#!/bin/sh\n", -1, NULL);
    chmod(file, 0755);
    assert_int_equal(lmn_image_put(client, "img-1", top, &bytes, &e), 0);
    assert_int_equal(bytes, 10);
    assert_int_equal(lmn_image_get(client, "img-1", to, 0, NULL, NULL, &bytes, &e), 0);
    char *copy = g_build_filename(to, "sub", "tool", NULL);
    assert_true(g_file_get_contents(copy, &text, NULL, NULL));
    assert_string_equal(text, "#!/bin/sh\n");
    assert_int_equal(access(copy, X_OK), 0);
    char *link = g_build_filename(src, "link", NULL);
    assert_int_equal(symlink("/etc/passwd", link), 0);
    assert_int_equal(lmn_image_put(client, "img-2", top, &bytes, &e), -1);
    assert_non_null(strstr(e.what, "link"));
    assert_int_equal(lmn_image_get(client, "../img-1", to, 0, NULL, NULL, &bytes, &e),
                     -1);
    /* A list of files that leaves the image: nothing of it is made. */
    GByteArray *evil = g_byte_array_new();
    lmn_cbor_put_array(evil, 1);
    lmn_cbor_put_map(evil, 3);
    lmn_cbor_put_text(evil, "Path"), lmn_cbor_put_text(evil, "sub/../../../outside");
    lmn_cbor_put_text(evil, "Mode"), lmn_cbor_put_uint(evil, 0644);
    lmn_cbor_put_text(evil, "Pieces"), lmn_cbor_put_array(evil, 1),
        lmn_cbor_put_text(evil, digest);
    assert_int_equal(lmn_image_store_put(client, evil, back, &e), 0);
    assert_int_equal(
        lmn_image_store_bind(client, LMN_IMAGE_STORE_KIND_IMAGE, "evil", back, &e), 0);
    char *there = g_build_filename(dir, "evil", NULL);
    assert_int_equal(lmn_image_get(client, "evil", there, 0, NULL, NULL, &bytes, &e), -1);
    assert_int_not_equal(access(there, F_OK), 0);
    g_byte_array_unref(evil);
    g_byte_array_unref(b);
    g_byte_array_unref(got);
    lmn_http_client_free(client);
    char *all[] = {root, src, file, top, to, text, copy, link, there};
    for (guint i = 0; i < G_N_ELEMENTS(all); i++)
        g_free(all[i]);
}

/* --- the emulated cloud --- */

static bool check_listed(void *to, const struct lmn_rented_machine *m)
{
    const struct lmn_emu_cloud *cloud = ((gpointer *)to)[0];
    const double *now = ((gpointer *)to)[1];
    const struct lmn_emu_machine *machine = lmn_emu_cloud_machine(cloud, m->name);

    assert_non_null(machine);
    assert_true(m->age_s >= 0);
    /* Nothing that was gone for longer than the oldest list. */
    assert_true(fmin(machine->gone, machine->taken) >
                *now - 2 * cloud->knobs.list_lag_s - 1e-6);
    if (!strcmp(m->state, WIRE_RUNNING))
        assert_true(machine->up <= *now);
    return true;
}

static void the_emulated_cloud_keeps_its_inventory(void **state)
{
    GRand *r = g_rand_new_with_seed(3);
    static struct lmn_inventory own;
    struct lmn_emu_cloud c;
    double now = 0;
    (void)state;

    assert_int_equal(lmn_inventory_parse(good, "inv.toml", &own, err, sizeof err), 0);
    lmn_emu_cloud_init(&c, &own, 5);
    assert_int_equal(lmn_emu_cloud_set(&c, "capacity", 1.5, 0, err, sizeof err), -1);
    assert_int_equal(lmn_emu_cloud_set(&c, "boot_never", 0.1, 0, err, sizeof err), 0);
    for (int step = 0; step < 20000; step++) {
        GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
        struct lmn_rental_request q = {.type = "small",
                                       .zone = "a",
                                       .count = 1 + (unsigned)g_rand_int_range(r, 0, 3)};
        unsigned held = 0;
        now += g_rand_double(r);
        g_snprintf(q.request, sizeof q.request, "r-%d", g_rand_int_range(r, 0, 4000));
        bool known = g_hash_table_contains(c.requests, q.request);
        uint64_t before = c.rented;
        int status = lmn_emu_cloud_rent(&c, &q, names, now);
        assert_true(!known || (status == 200 && c.rented == before));
        if (c.machines->len && g_rand_boolean(r)) {
            const struct lmn_emu_machine *machine =
                c.machines->pdata[g_rand_int_range(r, 0, (gint32)c.machines->len)];
            lmn_emu_cloud_return(&c, machine->name, now);
        }
        if (g_rand_int_range(r, 0, 50) == 0)
            lmn_emu_cloud_set(&c, "die", 0.3, now, err, sizeof err);
        lmn_emu_cloud_list(&c, "", check_listed, (gpointer[]){&c, &now}, now);
        lmn_emu_cloud_pass(&c, now);
        for (guint i = 0; i < c.machines->len; i++) {
            const struct lmn_emu_machine *machine = c.machines->pdata[i];
            held += machine->gone > now && machine->dead > now && machine->taken > now;
        }
        assert_true(held <= 3);
        g_ptr_array_free(names, TRUE);
    }
    assert_true(c.rented > 1000 && c.died > 50 && c.refused > 10);
    lmn_emu_cloud_clear(&c);
    lmn_inventory_clear(&own);
    g_rand_free(r);
}

int main(int argc, char **argv)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(what_is_wrong_in_an_inventory_is_named),
        cmocka_unit_test_setup_teardown(what_is_wrong_in_a_site_is_named, fresh, wipe),
        cmocka_unit_test(a_type_stands_in_many_zones),
        cmocka_unit_test_setup_teardown(a_site_has_many_teams, fresh, wipe),
        cmocka_unit_test_setup_teardown(reservations_outlive_the_fleet, fresh, wipe),
        cmocka_unit_test_setup_teardown(a_slot_becomes_what_it_is_told, fresh, wipe),
        cmocka_unit_test_setup_teardown(the_depot_keeps_what_it_says, fresh, wipe),
        cmocka_unit_test(the_emulated_cloud_keeps_its_inventory),
    };
    if (argc == 4 && !strcmp(argv[1], "worker"))
        return play_worker(argv[3]);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_NOTHING);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
