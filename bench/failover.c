/* A site whose controllers die, stand still and are cut off, one party at a time: how
 * soon that is suspected and judged, when their partitions' work goes on, and what was
 * lost.
 *
 *   bench_failover [--untimed] BASE_PORT CONTROLLERS WORKERS ROUNDS SEED
 *   bench_failover --takeovers BASE_PORT CONTROLLERS WORKERS ROUNDS SEED
 *   bench_failover --roll BASE_PORT CONTROLLERS WORKERS ROUNDS SEED
 *
 * The second form only kills, twice a round: once with standbys, once without (the
 * setting standby), so that warm and cold takeovers are compared in one run. The third
 * asks one controller after the other to end (SIGTERM) and starts it again.
 *
 * Controllers, state service and sockets are real, the workers' time is emulated, all on
 * loopback; whatever a controller hears of others goes through relays of this program.
 * Troubles come in turns, each to the owner of a partition drawn by the seed. Ends with
 * status 1 if a job was lost, a task began while it ran elsewhere, a member that only its
 * peers could not reach was judged, or a partition was not taken over; --untimed judges
 * no times: then the lease may have been first. */
#include "util/clock.h"
#include "util/latency.h"
#include "util/process.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "cli/users.h"
#include "common.h"
#include "relay.h"
#include "submit.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum { CPUS = 2, MOST = 16, MOST_LINES = 400000 };
static const double PATIENCE_S = 40;

static char dir[256], file[300];
static bool timed = true;
static struct lmn_site site;
static struct lmn_users users;
static GRand *rng;
static int nodes;
static struct relay_loop *loop;
/* What a node's own state service, peers and workers are reached through. */
static struct relay to_state[MOST], to_peer[MOST][MOST], to_node[MOST];

/* --- the processes, and what they say --- */

static struct process {
    const struct lmn_site_process *p;
    pid_t pid;
    int out, node; /* -1: no controller */
} processes[MOST + 2];

struct event {
    struct timespec at;
    int node, partition;
    char what[48], line[200];
};
static struct {
    pthread_mutex_t lock;
    GArray *v;
    int owner[MOST]; /* of each partition; -1: nobody */
    bool ready[MOST];
} seen = {.lock = PTHREAD_MUTEX_INITIALIZER};

static void note(int node, const char *line)
{
    struct event e = {.at = lmn_now(), .node = node, .partition = -1};
    const char *what = strstr(line, " node="), *part = strstr(line, " partition=");

    if (!what || !(what = strchr(what + 1, ' ')))
        return;
    sscanf(what + 1, "%47s", e.what);
    if (!g_str_has_prefix(e.what, "partition_") && !g_str_has_prefix(e.what, "member_") &&
        !g_str_has_prefix(e.what, "failover_") && !g_str_has_prefix(e.what, "shutdown_"))
        return;
    if (part)
        e.partition = atoi(part + strlen(" partition="));
    g_strlcpy(e.line, what + 1, sizeof e.line);
    pthread_mutex_lock(&seen.lock);
    if (e.partition >= 0 && !strcmp(e.what, "partition_acquired")) {
        seen.owner[e.partition] = node;
        seen.ready[e.partition] = false;
    }
    if (e.partition >= 0 && !strcmp(e.what, "partition_ready") &&
        seen.owner[e.partition] == node)
        seen.ready[e.partition] = true;
    g_array_append_val(seen.v, e);
    pthread_mutex_unlock(&seen.lock);
}

static void *listen_to(void *arg)
{
    struct process *p = arg;
    FILE *f = fdopen(p->out, "r");
    char line[2048];
    char *path = g_strdup_printf("%s/%s.log", dir, p->p->name);
    FILE *log = fopen(path, "a");

    while (f && fgets(line, sizeof line, f)) {
        line[strcspn(line, "\n")] = '\0';
        if (log)
            fprintf(log, "%.3f %s\n", lmn_time_seconds(lmn_now()), line);
        if (p->node >= 0)
            note(p->node, line);
    }
    if (log)
        fclose(log);
    g_free(path);
    return NULL;
}

static void start(struct process *p)
{
    int fd[2];

    if (pipe(fd) != 0)
        exit(1);
    p->pid = fork();
    if (p->pid == 0) {
        char *argv[8] = {(char *)LMN_PROGRAM_PATH};
        for (int i = 0; p->p->argv[i] && i < 6; i++)
            argv[i + 1] = p->p->argv[i];
        dup2(fd[1], 1);
        dup2(fd[1], 2);
        setenv("LOG_LEVEL", "info", 1);
        for (int k = 3; k < 1024; k++)
            close(k);
        execv(argv[0], argv);
        _exit(127);
    }
    close(fd[1]);
    p->out = fd[0];
    lmn_thread_start_detached(listen_to, p);
}

static void finish(struct process *p, int sig)
{
    if (p->pid <= 0)
        return;
    kill(p->pid, sig);
    waitpid(p->pid, NULL, 0);
    p->pid = 0;
}

static struct process *controller(int node)
{
    return &processes[2 + node];
}

/* --- the site --- */

static int port_of(const char *addr)
{
    return atoi(strrchr(addr, ':') + 1);
}

/* Replaces an address in a process's settings by a relay's. */
static void lead(const char *process, const char *key, const char *addr, int port)
{
    char *path = lmn_site_path(&site, process, ".toml"), *text;
    char *from = g_strdup_printf("%s = \"%s\"", key, addr);
    char *to = g_strdup_printf("%s = \"127.0.0.1:%d\"", key, port);

    if (!g_file_get_contents(path, &text, NULL, NULL))
        exit(1);
    char **parts = g_strsplit(text, from, -1);
    char *out = g_strjoinv(to, parts);
    g_file_set_contents(path, out, -1, NULL);
    g_strfreev(parts);
    g_free(out);
    g_free(text);
    g_free(from);
    g_free(to);
    g_free(path);
}

static void describe_site(int port, unsigned workers)
{
    char *inv = g_build_filename(dir, "inventory.toml", NULL), err[512], name[32];
    char *pools = g_strdup_printf(
        "[[types]]\nname = \"small\"\ncpus = %d\nmem_gb = 64\nready_s = 0.2\n"
        "zones = [\"a\"]\n[[pools]]\ntype = \"small\"\ncount = %u\n",
        CPUS, workers);
    char *text = g_strdup_printf(
        "name = \"bench\"\ndata = \"%s/data\"\ninventory = \"%s\"\n"
        "base_port = %d\nbackend = \"emulated\"\ncontrollers = %d\n"
        "[[teams]]\nname = \"t\"\ncpus_max = 100000\n"
        "[workers]\nreport_s = %g\nlease_s = %g\ncancel_s = 50\n"
        "[state]\nrps = 3000\nwrite_rps = 2000\n[resources]\nmax_connections = 3600\n"
        "[emulate]\nnoise = 0\nown_connections = %d\n"
        "[cloud]\nrps = 100\nlist_lag_s = 0.5\n",
        dir, inv, port, nodes, workers > 1000 ? 6.0 : 2.0, workers > 1000 ? 30.0 : 20.0,
        /* Each takes four descriptors of the one process that has them all. */
        workers <= 2000);

    g_mkdir_with_parents(dir, 0755);
    g_file_set_contents(file, text, -1, NULL);
    g_file_set_contents(inv, pools, -1, NULL);
    if (lmn_site_load(file, &site, err, sizeof err) != 0 ||
        lmn_site_write(&site, err, sizeof err) != 0) {
        fprintf(stderr, "%s\n", err);
        exit(2);
    }
    for (int i = 0; i < nodes; i++) {
        g_snprintf(name, sizeof name, "controller-%d", i);
        lead("fleet", "address", site.users[i],
             relay_open(loop, &to_node[i], port_of(site.users[i])));
        lead(name, "state", site.state,
             relay_open(loop, &to_state[i], port_of(site.state)));
        for (int k = 0; k < nodes; k++)
            if (k != i)
                lead(name, "address", site.peers[k],
                     relay_open(loop, &to_peer[i][k], port_of(site.peers[k])));
    }
    g_free(inv);
    g_free(pools);
    g_free(text);
}

static bool ready(const char *addr, double patience_s)
{
    struct timespec begun = lmn_now();
    GByteArray *in = g_byte_array_new();
    bool ok = false;

    while (!ok && lmn_time_diff_s(lmn_now(), begun) < patience_s) {
        struct lmn_http_client *client = lmn_http_client_new(addr);
        ok = lmn_http_client_call(client, "GET", WIRE_PATH_READY, NULL, 1, in) == 200;
        lmn_http_client_free(client);
        if (!ok)
            lmn_sleep(0.1);
    }
    g_byte_array_unref(in);
    return ok;
}

/* --- work --- */

static struct {
    pthread_mutex_t lock;
    bool stop;
    unsigned submitted, lost;
    uint64_t tasks;
    GPtrArray *refs;
    uint32_t size;
} night = {.lock = PTHREAD_MUTEX_INITIALIZER};

/* Returns whether more is to come. */
static bool submit(uint32_t tasks, double estimate_s)
{
    static unsigned jobs;
    char *argv[] = {(char *)"true", NULL}, *env[] = {NULL}, ref[LMN_JOB_ID_SIZE];
    struct lmn_job_state s;

    g_snprintf(ref, LMN_JOB_ID_SIZE, WIRE_JOB_ID_PREFIX "%09u%06u",
               (unsigned)g_random_int() % 1000000000u, jobs++);
    GByteArray *body = bench_describe(users.depot, ref, tasks, estimate_s, argv, env);
    int status = lmn_users_call(&users, "POST", WIRE_PATH_JOBS, body, 60, &s);
    g_byte_array_unref(body);
    pthread_mutex_lock(&night.lock);
    night.submitted++;
    night.lost += status != 201 && status != 200;
    if (status == 201 || status == 200)
        g_ptr_array_add(night.refs, g_strdup(ref));
    night.tasks += tasks;
    bool go = !night.stop;
    pthread_mutex_unlock(&night.lock);
    return go;
}

/* A job each half second, enough to keep a third of the workers busy. */
static void *submit_all(void *arg)
{
    (void)arg;
    while (submit(night.size, 3))
        lmn_sleep(0.5);
    return NULL;
}

/* All machines are rented, and stay. */
static bool fill(unsigned workers)
{
    struct timespec begun = lmn_now();

    for (int i = 0; i < 2; i++) {
        const char *const args[] = {"lemonspar",
                                    "admin",
                                    site.peers[0],
                                    "set",
                                    i ? "horizon_s" : "idle_return_s",
                                    i ? "1" : "3600",
                                    NULL};
        while (bench_run(args) != 0 && lmn_time_diff_s(lmn_now(), begun) < 20)
            lmn_sleep(0.3);
    }
    submit(MIN(workers * CPUS * 2, 100000), 4);
    while (bench_metric(site.cloud, "\nlemonspar_emulated_up ") < workers) {
        if (lmn_time_diff_s(lmn_now(), begun) > 120)
            return false;
        lmn_sleep(0.5);
    }
    return true;
}

/* --- troubles --- */

enum trouble { KILL, STOP, WORKERS, STATE, PEERS, ONE_WAY, TROUBLES };
static const char *const names[] = {"killed",
                                    "stands still",
                                    "workers' reports cut",
                                    "state service cut",
                                    "peers cut",
                                    "peers hear it, it hears none"};

static void cut(enum trouble t, int node, enum relay_mode mode)
{
    if (t == WORKERS)
        to_node[node].mode = mode;
    if (t == STATE)
        to_state[node].mode = mode;
    for (int k = 0; k < nodes && (t == PEERS || t == ONE_WAY); k++) {
        if (k == node)
            continue;
        to_peer[node][k].mode = t == ONE_WAY && mode == RELAY_HELD ? RELAY_ONE_WAY : mode;
        if (t == PEERS)
            to_peer[k][node].mode = mode;
    }
}

static void begin(enum trouble t, int node)
{
    if (t == KILL)
        finish(controller(node), SIGKILL);
    else if (t == STOP)
        kill(controller(node)->pid, SIGSTOP);
    else
        cut(t, node, RELAY_HELD);
}

static void end(enum trouble t, int node)
{
    if (t == KILL)
        start(controller(node));
    else if (t == STOP)
        kill(controller(node)->pid, SIGCONT);
    else
        cut(t, node, RELAY_OPEN);
}

/* Seconds from then to the first event of the name, of the partition if not -1, by
 * another node than the one; negative: there was none. */
static double first(struct timespec then, const char *what, int partition, int not_by)
{
    double s = -1;

    pthread_mutex_lock(&seen.lock);
    for (guint i = 0; i < seen.v->len && s < 0; i++) {
        const struct event *e = &g_array_index(seen.v, struct event, i);
        if (!lmn_time_before(e->at, then) && !strcmp(e->what, what) &&
            e->node != not_by && (partition < 0 || e->partition == partition))
            s = lmn_time_diff_s(e->at, then);
    }
    pthread_mutex_unlock(&seen.lock);
    return s;
}

static int owner(int partition)
{
    pthread_mutex_lock(&seen.lock);
    int n = seen.ready[partition] ? seen.owner[partition] : -1;
    pthread_mutex_unlock(&seen.lock);
    return n;
}

static bool all_owned(double patience_s)
{
    struct timespec begun = lmn_now();

    while (lmn_time_diff_s(lmn_now(), begun) < patience_s) {
        int n = 0;
        for (int i = 0; i < nodes; i++)
            n += owner(i) >= 0;
        if (n == nodes)
            return true;
        lmn_sleep(0.1);
    }
    return false;
}

static struct lmn_latency suspected, owned, readied, started;

static void tell(char *out, size_t len, double s)
{
    if (s < 0)
        g_strlcpy(out, "-", len);
    else
        g_snprintf(out, len, "%.2f", s);
}

static bool play(enum trouble t)
{
    int partition = g_rand_int_range(rng, 0, nodes), node;
    char a[16], b[16], c[16], d[16];
    bool moves = t != PEERS && t != ONE_WAY;

    if (!all_owned(60))
        return false;
    node = owner(partition);
    if (node < 0)
        return false;
    double lapsed = bench_metric(site.cloud, "\nlemonspar_emulated_lapsed_tasks_total ");
    struct timespec then = lmn_now();
    begin(t, node);
    /* Until its work goes on elsewhere; where it should stay, for as long as a lease. */
    double patience = moves ? PATIENCE_S : 10;
    while (lmn_time_diff_s(lmn_now(), then) < patience &&
           (!moves || first(then, "partition_first_start", partition, node) < 0 ||
            first(then, "partition_ready", partition, node) < 0))
        lmn_sleep(0.02);
    double doubt = first(then, "member_suspicion_written", -1, node);
    double own = first(then, "partition_acquired", partition, node);
    double rdy = first(then, "partition_ready", partition, node);
    double went = first(then, "partition_first_start", partition, node);
    end(t, node);
    if (t == KILL)
        ready(site.users[node], 20);
    /* Until what the trouble held up has come through. */
    lmn_sleep(2);
    lapsed =
        bench_metric(site.cloud, "\nlemonspar_emulated_lapsed_tasks_total ") - lapsed;
    tell(a, sizeof a, doubt);
    tell(b, sizeof b, own);
    tell(c, sizeof c, rdy);
    tell(d, sizeof d, went);
    printf("%s: suspected after %s s, partition owned elsewhere %s s, ready %s s, first "
           "start %s s; tasks ended by leases %.0f\n",
           names[t], a, b, c, d, lapsed);
    if (moves && own >= 0) {
        if (doubt >= 0)
            lmn_latency_add(&suspected, doubt);
        lmn_latency_add(&owned, own);
        lmn_latency_add(&readied, rdy);
        lmn_latency_add(&started, went);
    }
    /* A partition may still go back to whom an earlier trouble took it from. */
    bool ok = moves ? went >= 0 : first(then, "member_declared_failed", -1, -1) < 0;
    /* Workers report every 6 s, wait 4 s for an answer, and turn to another a second
     * later: so long it takes until that is seen. */
    if (timed && moves && (own > (t == WORKERS ? 12 : 6) || lapsed > 0))
        ok = false;
    if (!ok)
        printf("FAILED: %s\n", names[t]);
    return ok;
}

/* --- warm and cold takeovers --- */

static struct lmn_latency taken[2], begun_after[2]; /* cold, warm */

static bool set_standby(bool on)
{
    for (int i = 0; i < nodes; i++) {
        const char *const args[] = {"lemonspar", "admin",        site.peers[i], "set",
                                    "standby",   on ? "1" : "0", NULL};
        if (bench_run(args) == 0)
            return true;
    }
    return false;
}

/* Until each partition's standby is in step, or none is. */
static bool settled(bool on)
{
    struct timespec begun = lmn_now();

    while (lmn_time_diff_s(lmn_now(), begun) < 90) {
        double in_step = 0;
        for (int i = 0; i < nodes; i++)
            in_step +=
                MAX(bench_metric(site.users[i], "\nlemonspar_standby_in_step "), 0);
        if (in_step == (on ? nodes : 0))
            return true;
        lmn_sleep(0.2);
    }
    return false;
}

/* The owner of a random partition is killed; false if it was not taken over as it should.
 */
static bool take_over(bool warm)
{
    int partition = g_rand_int_range(rng, 0, nodes), node;

    if (!all_owned(60) || !set_standby(warm) || !settled(warm))
        return false;
    node = owner(partition);
    if (node < 0)
        return false;
    struct timespec then = lmn_now();
    finish(controller(node), SIGKILL);
    while (lmn_time_diff_s(lmn_now(), then) < PATIENCE_S &&
           (first(then, "partition_first_start", partition, node) < 0 ||
            first(then, "partition_ready", partition, node) < 0))
        lmn_sleep(0.01);
    double own = first(then, "partition_acquired", partition, node);
    double went = first(then, "partition_first_start", partition, node);
    double how = first(then, warm ? "failover_warm" : "failover_cold", partition, node);
    start(controller(node));
    ready(site.users[node], 20);
    printf("%s: owned after %.2f s, ready %.2f s, first start %.2f s%s\n",
           warm ? "warm" : "cold", own, first(then, "partition_ready", partition, node),
           went, how < 0 ? " (the other way)" : "");
    if (own < 0 || went < 0)
        return false;
    if (how >= 0) {
        lmn_latency_add(&taken[warm], went);
        lmn_latency_add(&begun_after[warm], went - own);
    }
    return true;
}

/* --- a roll: one after the other is asked to end --- */

static struct lmn_latency stood, ended;

static bool roll_one(int node)
{
    bool held[MOST] = {false}, ok = true;
    double lapsed = bench_metric(site.cloud, "\nlemonspar_emulated_lapsed_tasks_total ");
    int status = 0, n = 0;

    if (!all_owned(60) || !settled(true))
        return false;
    for (int i = 0; i < nodes; i++)
        held[i] = owner(i) == node;
    struct timespec then = lmn_now();
    kill(controller(node)->pid, SIGTERM);
    while (waitpid(controller(node)->pid, &status, WNOHANG) == 0 &&
           lmn_time_diff_s(lmn_now(), then) < 15)
        lmn_sleep(0.02);
    double end_s = lmn_time_diff_s(lmn_now(), then);
    controller(node)->pid = 0;
    lmn_latency_add(&ended, end_s);
    for (int i = 0; i < nodes; i++) {
        if (!held[i])
            continue;
        double begun = first(then, "partition_transfer_started", i, -1);
        double went = first(then, "partition_first_start", i, node);
        bool warm = first(then, "failover_warm", i, node) >= 0;
        printf("controller %d, partition %d: stood still for %.2f s, %s\n", node, i,
               went - begun, warm ? "warm" : "cold");
        ok = ok && begun >= 0 && went >= 0;
        if (went >= 0)
            lmn_latency_add(&stood, went - begun);
        n++;
    }
    lapsed =
        bench_metric(site.cloud, "\nlemonspar_emulated_lapsed_tasks_total ") - lapsed;
    printf(
        "controller %d: %d partitions given, ended after %.2f s with %d; tasks ended by "
        "leases %.0f\n",
        node, n, end_s, WEXITSTATUS(status), lapsed);
    start(controller(node));
    return ready(site.users[node], 20) && ok && WIFEXITED(status) && !status &&
           lapsed == 0;
}

static bool all_done(void)
{
    struct timespec begun = lmn_now();

    for (guint i = 0; i < night.refs->len; i++) {
        char path[96];
        struct lmn_job_state s = {0};
        g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/%s", (char *)night.refs->pdata[i]);
        do {
            lmn_users_call(&users, "GET", path, NULL, 10, &s);
            if (strcmp(s.state, WIRE_DONE))
                lmn_sleep(0.2);
        } while (strcmp(s.state, WIRE_DONE) && lmn_time_diff_s(lmn_now(), begun) < 120);
        if (strcmp(s.state, WIRE_DONE)) {
            printf("FAILED: job %s is %s\n", s.ref, s.state);
            return false;
        }
    }
    return true;
}

static void show(const char *what, const struct lmn_latency *latency)
{
    printf("  %s: p50 %.2f s, p99 %.2f s\n", what, lmn_latency_quantile(latency, 0.5),
           lmn_latency_quantile(latency, 0.99));
}

int main(int argc, char **argv)
{
    char err[256];
    pthread_t user;
    bool ok = true;

    bool takeovers = argc > 1 && !strcmp(argv[1], "--takeovers");
    if (argc > 1 && !strcmp(argv[1], "--untimed"))
        timed = false;
    bool roll = argc > 1 && !strcmp(argv[1], "--roll");
    if (takeovers || roll || !timed) {
        argc--;
        argv++;
    }
    if (argc != 6 || atoi(argv[2]) < 2 || atoi(argv[2]) > MOST) {
        fprintf(stderr, "usage: bench_failover [--untimed | --takeovers | --roll] "
                        "BASE_PORT CONTROLLERS WORKERS "
                        "ROUNDS SEED\n");
        return 2;
    }
    setlinebuf(stdout);
    signal(SIGPIPE, SIG_IGN);
    nodes = atoi(argv[2]);
    unsigned workers = (unsigned)atoi(argv[3]);
    rng = g_rand_new_with_seed((guint32)atoi(argv[5]));
    seen.v = g_array_new(FALSE, FALSE, sizeof(struct event));
    memset(seen.owner, -1, sizeof seen.owner);
    night.refs = g_ptr_array_new();
    night.size = MAX(workers * CPUS / 3 / 6, 1);
    lmn_latency_init(&suspected);
    lmn_latency_init(&owned);
    lmn_latency_init(&readied);
    lmn_latency_init(&started);
    lmn_latency_init(&stood);
    lmn_latency_init(&ended);
    for (int i = 0; i < 2; i++) {
        lmn_latency_init(&taken[i]);
        lmn_latency_init(&begun_after[i]);
    }
    g_snprintf(dir, sizeof dir, "/tmp/lemonspar-bench-failover-%d", (int)getpid());
    g_snprintf(file, sizeof file, "%s/site.toml", dir);
    loop = relay_loop_new();
    describe_site(atoi(argv[1]), workers);
    for (unsigned i = 0; i < site.process_count; i++) {
        processes[i] = (struct process){.p = &site.processes[i], .node = (int)i - 2};
        start(&processes[i]);
        if (!ready(site.processes[i].ready, 30)) {
            fprintf(stderr, "%s does not come up\n", site.processes[i].name);
            ok = false;
        }
    }
    if (lmn_users_open(&users, file, NULL, NULL, err, sizeof err) != 0)
        return 1;
    ok = fill(workers) && ok;
    pthread_create(&user, NULL, submit_all, NULL);
    printf("%d controllers, %.0f emulated workers\n", nodes,
           bench_metric(site.cloud, "\nlemonspar_emulated_up "));
    for (int round = 0; takeovers && round < atoi(argv[4]); round++)
        ok = take_over(true) && take_over(false) && ok;
    for (int round = 0; roll && round < atoi(argv[4]); round++)
        for (int i = 0; i < nodes; i++)
            ok = roll_one(i) && ok;
    for (int round = 0; !takeovers && !roll && round < atoi(argv[4]); round++)
        for (int t = 0; t < TROUBLES; t++)
            ok = play(t) && ok;
    pthread_mutex_lock(&night.lock);
    night.stop = true;
    pthread_mutex_unlock(&night.lock);
    pthread_join(user, NULL);
    ok = all_done() && ok;
    double twice = bench_metric(site.cloud, "\nlemonspar_emulated_twice_total ");
    double starts = bench_metric(site.cloud, "\nlemonspar_emulated_starts_total ");
    printf("jobs %u, not accepted %u; tasks %.0f, begun %.0f times, %.0f while they ran "
           "elsewhere\n",
           night.submitted, night.lost, (double)night.tasks, starts, twice);
    if (roll) {
        show("asked to end to ended", &ended);
        show("a partition stood still", &stood);
    } else if (takeovers) {
        show("warm: from the end to the first start", &taken[1]);
        show("warm: from owning to the first start", &begun_after[1]);
        show("cold: from the end to the first start", &taken[0]);
        show("cold: from owning to the first start", &begun_after[0]);
    } else {
        show("suspected", &suspected);
        show("owned elsewhere", &owned);
        show("ready", &readied);
        show("first start", &started);
    }
    ok = ok && !night.lost && twice == 0;
    for (int i = (int)site.process_count; i-- > 0;)
        finish(&processes[i], SIGKILL);
    lmn_users_close(&users);
    if (ok)
        lmn_tree_remove(dir);
    else
        printf("logs: %s\n", dir);
    printf("failover: %s\n", ok ? "ok" : "FAILED");
    return ok ? 0 : 1;
}
