/* A rehearsal: a whole site on loopback with real processes, in which each kind of
 * process is killed at random while arrays run and jobs are cancelled.
 *
 *   bench_rehearsal SECONDS SEED BASE_PORT
 *
 * The check does not trust the service: each task holds a lock on a file of its own while
 * any process of it lives, says so if another attempt holds it, and writes its start and
 * end there. */
#include "util/clock.h"
#include "util/latency.h"
#include "util/log.h"
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

enum { KINDS = 6, MOST_JOBS = 5000 };
static const double CANCEL_S = 20, PATIENCE_S = 240;
static const char *const kinds[KINDS] = {"state",  "fleet",  "controller",
                                         "worker", "keeper", "supervisor"};

struct job {
    char ref[LMN_JOB_ID_SIZE];
    uint32_t tasks;
    bool cancel; /* its user has asked */
    double told; /* when the user was told that it is cancelled; 0: not */
    char state[16];
};

static char dir[256], file[300], stamps[300];
static struct lmn_site site;
static struct job jobs[MOST_JOBS];
static unsigned njobs, wrong;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool stop;
static GRand *rng;
static struct {
    unsigned n, slow;
    double sum, max;
} recovery[KINDS];
static struct lmn_latency submitting;

static double wall(void)
{
    return lmn_time_seconds(lmn_wall_clock_now());
}

static void complain(const char *what, const char *of)
{
    if (wrong++ < 20)
        fprintf(stderr, "WRONG %s: %s\n", of, what);
}

static void describe_site(int port)
{
    char *inv = g_build_filename(dir, "inventory.toml", NULL), err[512];
    GString *t = g_string_new(NULL);

    g_string_append_printf(
        t,
        "name = \"rehearsal\"\ndata = \"%s/data\"\ninventory = \"%s\"\n"
        "base_port = %d\n[[teams]]\nname = \"t\"\ncpus = 12\ncpus_max = 18\n"
        "[workers]\nreport_s = 0.4\nlease_s = 5\ncancel_s = %g\n",
        dir, inv, port, CANCEL_S);
    g_file_set_contents(file, t->str, -1, NULL);
    g_file_set_contents(inv,
                        "[[types]]\nname = \"small\"\ncpus = 4\nmem_gb = 8\nready_s = 1\n"
                        "zones = [\"a\"]\n[[pools]]\ntype = \"small\"\ncount = 6\n",
                        -1, NULL);
    g_string_free(t, TRUE);
    g_free(inv);
    if (lmn_site_load(file, &site, err, sizeof err) != 0) {
        fprintf(stderr, "%s\n", err);
        exit(1);
    }
}

/* --- users --- */

static void submit(struct lmn_users *users, struct job *j, double seconds)
{
    static const char script[] =
        "exec 9>>\"$STAMPS/$LEMONSPAR_JOB.$LEMONSPAR_TASK\"\n"
        "flock -n 9 || echo \"$LEMONSPAR_JOB/$LEMONSPAR_TASK $LEMONSPAR_ATTEMPT\" "
        ">>\"$STAMPS/TWICE\"\n"
        "echo \"S $LEMONSPAR_ATTEMPT $(date +%s.%N)\" >&9\nsleep $FOR\n"
        "echo \"E $LEMONSPAR_ATTEMPT $(date +%s.%N)\" >&9\n";
    char *argv[] = {(char *)"sh", (char *)"-c", (char *)script, NULL};
    char *env[] = {g_strdup_printf("STAMPS=%s", stamps),
                   g_strdup_printf("FOR=%.2f", seconds), NULL};
    struct lmn_job_state s;

    GByteArray *body = bench_describe(users->depot, j->ref, j->tasks, 4, argv, env);
    struct timespec begun = lmn_now();
    int status;
    do
        status = lmn_users_call(users, "POST", WIRE_PATH_JOBS, body, 60, &s);
    while (status != 200 && status != 201 && status != 422 && status != 400);
    pthread_mutex_lock(&lock);
    lmn_latency_add(&submitting, lmn_time_diff_s(lmn_now(), begun));
    pthread_mutex_unlock(&lock);
    if (status == 422 || status == 400)
        complain("refused", j->ref);
    g_byte_array_unref(body);
    g_free(env[0]);
    g_free(env[1]);
}

static void cancel(struct lmn_users *users, struct job *j)
{
    char path[96];
    struct lmn_job_state s;
    int status;

    g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/%s" WIRE_PATH_CANCEL, j->ref);
    j->cancel = true;
    do
        status = lmn_users_call(users, "POST", path, NULL, 60, &s);
    while (status != 200 && status != 404);
    if (status == 404)
        complain("was accepted, and is not known", j->ref);
    if (!strcmp(s.state, WIRE_CANCELLED))
        j->told = wall();
}

static void *user(void *arg)
{
    struct lmn_users u;
    char err[256];
    (void)arg;

    if (lmn_users_open(&u, file, NULL, NULL, err, sizeof err) != 0)
        return NULL;
    while (!stop && njobs < MOST_JOBS) {
        pthread_mutex_lock(&lock);
        struct job *j = &jobs[njobs];
        g_snprintf(j->ref, sizeof j->ref, WIRE_JOB_ID_PREFIX "%09u%06u",
                   g_rand_int(rng) % 1000000000u, njobs);
        j->tasks = (uint32_t)g_rand_int_range(rng, 1, 25);
        double seconds = 0.1 + g_rand_double(rng);
        bool then_cancel = g_rand_int_range(rng, 0, 6) == 0;
        double pause = 0.3 + 1.2 * g_rand_double(rng);
        pthread_mutex_unlock(&lock);
        submit(&u, j, seconds);
        pthread_mutex_lock(&lock);
        njobs++;
        pthread_mutex_unlock(&lock);
        lmn_sleep(pause);
        if (then_cancel)
            cancel(&u, j);
    }
    lmn_users_close(&u);
    return NULL;
}

/* --- kills --- */

static char *some_machine(void)
{
    char *root = g_build_filename(site.data, "fleet", "machines", NULL);
    GDir *d = g_dir_open(root, 0, NULL);
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    const char *name;
    char *one = NULL;

    while (d && (name = g_dir_read_name(d)))
        g_ptr_array_add(names, g_build_filename(root, name, NULL));
    if (d)
        g_dir_close(d);
    if (names->len)
        one = g_strdup(names->pdata[g_rand_int_range(rng, 0, (gint32)names->len)]);
    g_ptr_array_free(names, TRUE);
    g_free(root);
    return one;
}

/* Kills one of the kind; seconds until it serves again, negative: there was none. */
static double kill_one(int kind)
{
    char *path = NULL, name[32] = "";
    const char *ready = NULL;
    struct timespec begun = lmn_now();

    if (kind == 0)
        path = lmn_site_path(&site, "state", ".lock"), ready = site.state;
    if (kind == 1)
        path = lmn_site_path(&site, "fleet", ".lock"), ready = site.cloud;
    if (kind == 2) {
        int i = g_rand_int_range(rng, 0, (gint32)site.controllers);
        g_snprintf(name, sizeof name, "controller-%d", i);
        path = lmn_site_path(&site, name, ".lock");
        ready = site.users[i];
    }
    if (kind == 3 || kind == 4) {
        char *machine = some_machine();
        if (!machine)
            return -1;
        path = g_build_filename(machine, kind == 3 ? "agent.lock" : "keeper.lock", NULL);
        g_free(machine);
    }
    if (kind == 5)
        path = lmn_site_path(&site, "supervisor", ".lock");
    bool was = lmn_lock_signal(path, SIGKILL);
    if (was)
        lmn_lock_wait(path, 10);
    if (was && kind == 5 && bench_site("up", file) != 0)
        complain("the site does not come up again", "supervisor");
    pid_t pid;
    while (was && lmn_time_diff_s(lmn_now(), begun) < 60) {
        if (ready ? lmn_http_is_ready(ready) : lmn_lock_held(path, &pid))
            break;
        /* A machine may have been returned meanwhile. */
        if ((kind == 3 || kind == 4) && access(path, F_OK) != 0) {
            was = false;
            break;
        }
        lmn_sleep(0.01);
    }
    g_free(path);
    return was ? lmn_time_diff_s(lmn_now(), begun) : -1;
}

static void kill_for(double seconds)
{
    struct timespec end = lmn_time_add(lmn_now(), seconds);
    unsigned done = 0;

    while (lmn_time_before(lmn_now(), end)) {
        lmn_sleep(0.3 + 2.2 * g_rand_double(rng));
        int kind = g_rand_int_range(rng, 0, KINDS);
        double took = kill_one(kind);
        if (took < 0)
            continue;
        recovery[kind].n++;
        recovery[kind].sum += took;
        recovery[kind].max = MAX(recovery[kind].max, took);
        if (++done % 25 == 0)
            printf("%u kills, %u jobs\n", done, njobs);
    }
}

/* --- the check --- */

static void await_all(void)
{
    struct timespec end = lmn_time_add(lmn_now(), PATIENCE_S);
    struct lmn_users u;
    char err[256], path[96];

    lmn_users_open(&u, file, NULL, NULL, err, sizeof err);
    for (unsigned i = 0; i < njobs; i++) {
        struct lmn_job_state s = {0};
        g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/%s", jobs[i].ref);
        for (;;) {
            int status = lmn_users_call(&u, "GET", path, NULL, 60, &s);
            if (status == 404)
                complain("was accepted, and is not known", jobs[i].ref);
            if (!strcmp(s.state, WIRE_DONE) || !strcmp(s.state, WIRE_CANCELLED) ||
                status == 404 || lmn_time_before(end, lmn_now()))
                break;
            lmn_sleep(0.1);
        }
        g_strlcpy(jobs[i].state, s.state, sizeof jobs[i].state);
        if (strcmp(s.state, WIRE_DONE) && strcmp(s.state, WIRE_CANCELLED))
            complain("has no end", jobs[i].ref);
        if (jobs[i].told && strcmp(s.state, WIRE_CANCELLED))
            complain("its user was told that it is withdrawn, and now something else",
                     jobs[i].ref);
        if (!jobs[i].cancel && !strcmp(s.state, WIRE_CANCELLED))
            complain("is withdrawn, and nobody asked for it", jobs[i].ref);
    }
    lmn_users_close(&u);
}

static unsigned again; /* tasks that were started more than once, one after the other */

static void check_task(const struct job *j, uint32_t index)
{
    char *path = g_strdup_printf("%s/%s.%u", stamps, j->ref, index), *text = NULL;
    unsigned starts = 0, ends = 0;

    g_file_get_contents(path, &text, NULL, NULL);
    char **lines = g_strsplit(text ? text : "", "\n", -1);
    for (char **l = lines; *l; l++) {
        const char *at = strrchr(*l, ' ');
        starts += **l == 'S';
        ends += **l == 'E';
        if (at && **l == 'S' && j->told && g_ascii_strtod(at, NULL) > j->told + CANCEL_S)
            complain("was started long after its user was told that it is withdrawn",
                     path);
    }
    again += starts > 1;
    if (!strcmp(j->state, WIRE_DONE) && !ends)
        complain("is called done, and did not come to its end", path);
    g_strfreev(lines);
    g_free(text);
    g_free(path);
}

static void show_memory(void)
{
    int pid;

    for (unsigned i = 0; i < site.process_count; i++)
        if (lmn_site_up(&site, site.processes[i].name, &pid))
            printf("memory %s %.1f MB\n", site.processes[i].name, bench_resident_mb(pid));
}

int main(int argc, char **argv)
{
    pthread_t submitter;
    char *twice;
    uint64_t tasks = 0;
    unsigned done = 0, withdrawn = 0, kills = 0;

    if (argc != 4) {
        fprintf(stderr, "usage: bench_rehearsal SECONDS SEED BASE_PORT\n");
        return 2;
    }
    setlinebuf(stdout);
    signal(SIGPIPE, SIG_IGN);
    rng = g_rand_new_with_seed((guint32)atoi(argv[2]));
    lmn_latency_init(&submitting);
    g_snprintf(dir, sizeof dir, "/tmp/lemonspar-rehearsal-%d", (int)getpid());
    g_snprintf(file, sizeof file, "%s/site.toml", dir);
    g_snprintf(stamps, sizeof stamps, "%s/stamps", dir);
    g_mkdir_with_parents(stamps, 0755);
    describe_site(atoi(argv[3]));
    if (bench_site("up", file) != 0) {
        bench_site("down", file);
        fprintf(stderr, "the site does not come up; its files are in %s\n", dir);
        return 1;
    }
    pthread_create(&submitter, NULL, user, NULL);
    kill_for(atof(argv[1]));
    stop = true;
    pthread_join(submitter, NULL);
    await_all();
    show_memory();
    bench_site("down", file);
    twice = g_build_filename(stamps, "TWICE", NULL);
    char *text = NULL;
    if (g_file_get_contents(twice, &text, NULL, NULL))
        complain(text, "two attempts of a task ran at the same time");
    for (unsigned i = 0; i < njobs; i++) {
        tasks += jobs[i].tasks;
        done += !strcmp(jobs[i].state, WIRE_DONE);
        withdrawn += !strcmp(jobs[i].state, WIRE_CANCELLED);
        for (uint32_t k = 0; k < jobs[i].tasks; k++)
            check_task(&jobs[i], k);
    }
    for (int k = 0; k < KINDS; k++) {
        kills += recovery[k].n;
        printf("kills of %-10s %3u, serving again after %.2f s (longest %.2f)\n",
               kinds[k], recovery[k].n,
               recovery[k].n ? recovery[k].sum / recovery[k].n : 0, recovery[k].max);
    }
    printf("%s kills=%u jobs=%u done=%u withdrawn=%u tasks=%" G_GUINT64_FORMAT
           " started_again=%u "
           "submit_p50=%.3f submit_p99=%.3f wrong=%u\n",
           wrong ? "BROKEN" : "GOOD", kills, njobs, done, withdrawn, tasks, again,
           lmn_latency_quantile(&submitting, 0.5),
           lmn_latency_quantile(&submitting, 0.99), wrong);
    if (!wrong)
        lmn_tree_remove(dir);
    else
        fprintf(stderr, "the site's files stay in %s\n", dir);
    return wrong || !done ? 1 : 0;
}
