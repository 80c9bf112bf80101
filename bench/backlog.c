/* A link returns after a long night: how soon the home knows the outcomes of all jobs
 * that ended at the host meanwhile, and what users at home notice of it.
 *
 *   bench_backlog JOBS BASE_PORT
 *
 * Two state services and two gateways, no controllers: the records are written as the
 * gateways would have, by this program, before they start. */
#include "util/clock.h"
#include "util/latency.h"
#include "util/process.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "gateway/records.h"
#include "gateway/keys.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum { BATCH = 960 };
static const char *const names[2] = {"home", "host"};
static char dir[256], state[2][64], users[2][64], file[2][300];
static pid_t pids[4];

static pid_t start(const char *const *args, const char *log)
{
    pid_t pid = fork();
    if (pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 2);
        execv(LMN_PROGRAM_PATH, (char *const *)args);
        _exit(127);
    }
    return pid;
}

static uint64_t incarnation_of(int i)
{
    struct lmn_http_client *client = lmn_http_client_new(state[i]);
    GByteArray *in = g_byte_array_new();
    struct lmn_cbor_document d;
    uint64_t v = 0;

    while (lmn_http_client_call(client, "GET", "/incarnation", NULL, 2, in) != 200)
        lmn_sleep(0.05);
    if (lmn_cbor_parse(&d, in->data, in->len) == 0) {
        lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), "Incarnation"), &v);
        lmn_cbor_free(&d);
    }
    g_byte_array_unref(in);
    lmn_http_client_free(client);
    return v;
}

/* The records of one side, in a process of its own, whose lease ends with it. */
static void fill(int side, unsigned jobs, uint64_t host)
{
    static struct lmn_gateway_records b;
    bool restored;

    pid_t pid = fork();
    if (pid != 0) {
        waitpid(pid, NULL, 0);
        return;
    }
    lmn_gateway_records_open(&b, state[side], "loader", 48, &restored);
    struct lmn_http_client *client = lmn_http_client_new(state[side]);
    for (unsigned n = 0; n < jobs;) {
        static struct lmn_record_write w[BATCH];
        unsigned k = 0;
        pthread_mutex_lock(&b.lock);
        for (; k < BATCH && n < jobs; k++, n++) {
            struct lmn_job_spec s = {.class_name = (char *)"c",
                                     .team = (char *)"t",
                                     .image = (char *)"none",
                                     .tasks = 20,
                                     .cpus = 1,
                                     .estimate_s = 5,
                                     .deadline_s = -1};
            g_snprintf(s.id, sizeof s.id, WIRE_JOB_ID_PREFIX "%09u", n);
            w[k] = (struct lmn_record_write){0};
            if (side == 0) {
                w[k].job = lmn_gateway_records_new_job(&b, &s);
                w[k].origin = (struct lmn_origin_record){.state = LMN_ORIGIN_REMOTE,
                                                         .epoch = 1,
                                                         .incarnation = host,
                                                         .transfers = 1,
                                                         .site = "host"};
            } else {
                w[k].remote_job = lmn_gateway_records_new_remote_job(&b, "home", s.id);
                w[k].remote_job->spec = s;
                w[k].remote_job->spec.class_name = g_strdup("c");
                w[k].remote_job->spec.team = g_strdup("t");
                w[k].remote_job->spec.image = g_strdup("none");
                w[k].execution =
                    (struct lmn_execution_record){.state = LMN_EXECUTION_FINISHED,
                                                  .epoch = 1,
                                                  .outcome = LMN_OUTCOME_DONE};
            }
        }
        pthread_mutex_unlock(&b.lock);
        lmn_gateway_records_write(&b, client, w, k);
    }
    _exit(0);
}

static uint64_t finals(struct lmn_http_client *client)
{
    GByteArray *in = g_byte_array_new();
    struct lmn_cbor_document d;
    uint64_t n = 0;

    if (lmn_http_client_call(client, "GET", "/gateway", NULL, 5, in) == 200 &&
        lmn_cbor_parse(&d, in->data, in->len) == 0) {
        lmn_cbor_get_uint(
            lmn_cbor_get(&d, lmn_cbor_get(&d, lmn_cbor_root(&d), "Jobs"), "final"), &n);
        lmn_cbor_free(&d);
    }
    g_byte_array_unref(in);
    return n;
}

static double submit(struct lmn_http_client *client, unsigned n)
{
    struct lmn_job_spec s = {.class_name = (char *)"c",
                             .team = (char *)"t",
                             .image = (char *)"none",
                             .tasks = 1,
                             .cpus = 1,
                             .deadline_s = -1};
    GByteArray *b = g_byte_array_new(), *in = g_byte_array_new();
    struct timespec begun = lmn_now();

    g_snprintf(s.id, sizeof s.id, WIRE_JOB_ID_PREFIX "9%09u", n);
    lmn_cbor_put_map(b, lmn_job_spec_pair_count());
    lmn_job_spec_write(b, &s);
    int status = lmn_http_client_call(client, "POST", WIRE_PATH_JOBS, b, 10, in);
    g_byte_array_unref(b);
    g_byte_array_unref(in);
    return status == 201 ? lmn_time_diff_s(lmn_now(), begun) : 10;
}

int main(int argc, char **argv)
{
    char print[2][LMN_FINGERPRINT], err[512];
    struct lmn_latency l;
    unsigned jobs = argc == 3 ? (unsigned)atoi(argv[1]) : 0, n = 0;
    int port = argc == 3 ? atoi(argv[2]) : 0;

    if (!jobs) {
        fprintf(stderr, "usage: bench_backlog JOBS BASE_PORT\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_NOTHING);
    g_snprintf(dir, sizeof dir, "/tmp/lemonspar-backlog-%d", (int)getpid());
    g_mkdir_with_parents(dir, 0755);
    for (int i = 0; i < 2; i++) {
        char *keys = g_strdup_printf("%s/%s.keys", dir, names[i]);
        char *data = g_strdup_printf("%s/%s", dir, names[i]),
             *log = g_strdup_printf("%s.log", data);
        struct lmn_keys_info info;
        if (lmn_keys_init(keys, names[i], 9, err, sizeof err) != 0 ||
            lmn_keys_show(keys, &info, err, sizeof err) != 0) {
            fprintf(stderr, "%s\n", err);
            return 1;
        }
        g_strlcpy(print[i], info.fingerprint, sizeof print[i]);
        g_snprintf(state[i], sizeof state[i], "127.0.0.1:%d", port + 10 * i);
        g_snprintf(users[i], sizeof users[i], "127.0.0.1:%d", port + 10 * i + 1);
        const char *const args[] = {"lemonspar", "state",  "--data", data,
                                    "--listen",  state[i], NULL};
        pids[i] = start(args, log);
    }
    uint64_t host = incarnation_of(1);
    incarnation_of(0);
    for (int i = 0; i < 2; i++)
        fill(i, jobs, host);
    for (int i = 0; i < 2; i++) {
        char *text = g_strdup_printf("site = \"%s\"\nlisten = \"%s\"\nlink_listen = "
                                     "\"127.0.0.1:%d\"\nstate = \"%s\"\n"
                                     "depot = \"127.0.0.1:1\"\nkeys = "
                                     "\"%s/%s.keys\"\nteams = [\"t\"]\ncontrollers = "
                                     "[\"127.0.0.1:1\"]\ncpus = 1\nfeed_s = 0.1\npull_at "
                                     "= 0\n[[peers]]\nsite = \"%s\"\n"
                                     "address = \"127.0.0.1:%d\"\nfingerprint = \"%s\"\n",
                                     names[i], users[i], port + 10 * i + 2, state[i], dir,
                                     names[i], names[1 - i], port + 10 * (1 - i) + 2,
                                     print[1 - i]);
        char *log = g_strdup_printf("%s/%s.gateway.log", dir, names[i]);
        g_snprintf(file[i], sizeof file[i], "%s/%s.toml", dir, names[i]);
        g_file_set_contents(file[i], text, -1, NULL);
        const char *const args[] = {"lemonspar", "gateway", "run",
                                    "--config",  file[i],   NULL};
        /* The home first: the link returns when the host has begun. */
        pids[2 + i] = start(args, log);
        struct lmn_http_client *client = lmn_http_client_new(users[i]);
        GByteArray *in = g_byte_array_new();
        while (lmn_http_client_call(client, "GET", WIRE_PATH_READY, NULL, 2, in) != 200)
            lmn_sleep(0.02);
        lmn_http_client_free(client);
        g_byte_array_unref(in);
        g_free(text);
    }
    struct lmn_http_client *client = lmn_http_client_new(users[0]);
    struct timespec begun = lmn_now();
    lmn_latency_init(&l);
    while (finals(client) < jobs && lmn_time_diff_s(lmn_now(), begun) < 600) {
        for (int i = 0; i < 5; i++)
            lmn_latency_add(&l, submit(client, n++));
        lmn_sleep(0.02);
    }
    double took = lmn_time_diff_s(lmn_now(), begun);
    uint64_t known = finals(client);
    printf("%s outcomes=%u known=%" G_GUINT64_FORMAT
           " after=%.2f s (%.0f a second), meanwhile "
           "submissions=%u p50=%.4f p99=%.4f longest=%.4f\n",
           known >= jobs ? "GOOD" : "BROKEN", jobs, known, took, jobs / took, n,
           lmn_latency_quantile(&l, 0.5), lmn_latency_quantile(&l, 0.99), l.max);
    for (int i = 0; i < 4; i++) {
        kill(pids[i], SIGKILL);
        waitpid(pids[i], NULL, 0);
    }
    lmn_tree_remove(dir);
    return known >= jobs ? 0 : 1;
}
