/* Measures a whole site on loopback with emulated workers: tasks a second, submissions,
 * memory.
 *
 *   bench_site BASE_PORT WORKERS...
 *
 * The workers' time is emulated, everything else is real: controllers, state service,
 * depot, sockets. */
#include "util/clock.h"
#include "util/latency.h"
#include "util/process.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "cli/users.h"
#include "common.h"
#include "submit.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum { CPUS = 4, SUBMISSIONS = 300 };

static char dir[256], file[300];
static struct lmn_site site;
static struct lmn_users users;
static unsigned jobs;

static void set(const char *name, const char *value)
{
    const char *const args[] = {"lemonspar", "admin", site.peers[0], "set",
                                name,        value,   NULL};
    if (bench_run(args) != 0)
        fprintf(stderr, "%s: not set\n", name);
}

static void describe_site(int port, unsigned workers)
{
    char *inv = g_build_filename(dir, "inventory.toml", NULL), err[512];
    char *pools = g_strdup_printf(
        "[[types]]\nname = \"small\"\ncpus = %d\nmem_gb = 64\nready_s = 0.2\n"
        "zones = [\"a\"]\n[[pools]]\ntype = \"small\"\ncount = %u\n",
        CPUS, workers);
    char *text = g_strdup_printf(
        "name = \"bench\"\ndata = \"%s/data\"\ninventory = \"%s\"\n"
        "base_port = %d\nbackend = \"emulated\"\n[[teams]]\nname = \"t\"\n"
        "cpus_max = 100000\n[workers]\nreport_s = 1\nlease_s = 15\n"
        "cancel_s = 40\n[state]\nrps = 3000\nwrite_rps = 2000\n"
        "[resources]\nmax_connections = 8192\n"
        "[emulate]\nnoise = 0\n[cloud]\nrps = 50\nlist_lag_s = 0.5\n",
        dir, inv, port);

    g_file_set_contents(file, text, -1, NULL);
    g_file_set_contents(inv, pools, -1, NULL);
    if (lmn_site_load(file, &site, err, sizeof err) != 0) {
        fprintf(stderr, "%s\n", err);
        exit(1);
    }
    g_free(inv);
    g_free(pools);
    g_free(text);
}

/* Submits; seconds that the submission took. ref: LMN_JOB_ID_SIZE. */
static double submit(char *ref, uint32_t tasks, double estimate)
{
    char *argv[] = {(char *)"true", NULL}, *env[] = {NULL};
    struct lmn_job_state s;

    g_snprintf(ref, LMN_JOB_ID_SIZE, WIRE_JOB_ID_PREFIX "%09u%06u",
               g_random_int() % 1000000000u, jobs++);
    GByteArray *body = bench_describe(users.depot, ref, tasks, estimate, argv, env);
    struct timespec begun = lmn_now();
    int status = lmn_users_call(&users, "POST", WIRE_PATH_JOBS, body, 60, &s);
    if (status != 201)
        fprintf(stderr, "%s: %d\n", ref, status);
    g_byte_array_unref(body);
    return lmn_time_diff_s(lmn_now(), begun);
}

static void await_done(const char *ref)
{
    struct lmn_job_state s = {0};
    char path[96];

    g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/%s", ref);
    while (strcmp(s.state, WIRE_DONE)) {
        lmn_users_call(&users, "GET", path, NULL, 60, &s);
        lmn_sleep(0.02);
    }
}

static void show_memory(void)
{
    int pid;

    for (unsigned i = 0; i < site.process_count; i++)
        if (lmn_site_up(&site, site.processes[i].name, &pid))
            printf("  %s %.1f MB", site.processes[i].name, bench_resident_mb(pid));
    printf("\n");
}

static void measure(unsigned workers, double estimate)
{
    char ref[LMN_JOB_ID_SIZE];
    uint32_t tasks = MIN(workers * CPUS * (estimate > 0 ? 12u : 24u), 30000u);
    struct timespec begun = lmn_now();

    submit(ref, tasks, estimate);
    await_done(ref);
    double took = lmn_time_diff_s(lmn_now(), begun);
    double bound = estimate > 0 ? workers * CPUS / estimate : 0;
    printf("workers=%-4u tasks of %.0f s: %u tasks in %.2f s = %.0f a second%s", workers,
           estimate, tasks, took, tasks / took, estimate > 0 ? "" : "\n");
    if (estimate > 0)
        printf(", %.0f%% of what the processors could do\n", 100 * tasks / took / bound);
}

int main(int argc, char **argv)
{
    char err[256], ref[LMN_JOB_ID_SIZE];

    if (argc < 3) {
        fprintf(stderr, "usage: bench_site BASE_PORT WORKERS...\n");
        return 2;
    }
    setlinebuf(stdout);
    signal(SIGPIPE, SIG_IGN);
    g_snprintf(dir, sizeof dir, "/tmp/lemonspar-bench-site-%d", (int)getpid());
    g_snprintf(file, sizeof file, "%s/site.toml", dir);
    for (int i = 2; i < argc; i++) {
        unsigned workers = (unsigned)atoi(argv[i]);
        struct lmn_latency l;
        g_mkdir_with_parents(dir, 0755);
        describe_site(atoi(argv[1]), workers);
        if (bench_site("up", file) != 0 ||
            lmn_users_open(&users, file, NULL, NULL, err, sizeof err) != 0) {
            fprintf(stderr, "the site does not come up\n");
            bench_site("down", file);
            return 1;
        }
        /* All machines are rented, and stay. */
        set("idle_return_s", "3600");
        set("horizon_s", "1");
        submit(ref, workers * CPUS * 2, 4);
        await_done(ref);
        measure(workers, 0);
        measure(workers, 1);
        lmn_latency_init(&l);
        for (int k = 0; k < SUBMISSIONS; k++)
            lmn_latency_add(&l, submit(ref, 1, 0.1));
        printf(
            "workers=%-4u submissions: p50 %.4f s, p99 %.4f s, longest %.4f s; memory:",
            workers, lmn_latency_quantile(&l, 0.5), lmn_latency_quantile(&l, 0.99),
            l.max);
        show_memory();
        await_done(ref);
        lmn_latency_clear(&l);
        lmn_users_close(&users);
        bench_site("down", file);
        lmn_tree_remove(dir);
    }
    return 0;
}
