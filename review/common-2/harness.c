#include "harness.h"

#include "gateway/keys.h"
#include "http/client.h"
#include "image_store/image_store.h"
#include "image_store/work.h"
#include "job/job_spec.h"
#include "protocol/wire.h"
#include "util/clock.h"
#include "util/process.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

enum { LONGEST_RUN_S = 118 };

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec begun;
static char dir[160], program[4096];
static pid_t self;

/* --- the run --- */

const char *h_trouble(void)
{
    const char *value = getenv("TROUBLE");
    return value && *value ? value : "1";
}

bool h_has_trouble(void)
{
    return strcmp(h_trouble(), "0") != 0;
}

double h_now(void)
{
    return lmn_time_diff_s(lmn_now(), begun);
}

void h_sleep(double seconds)
{
    struct timespec wait = {(time_t)seconds,
                            (long)((seconds - (double)(time_t)seconds) * 1e9)};
    while (nanosleep(&wait, &wait) != 0 && errno == EINTR)
        ;
}

void say(const char *format, ...)
{
    char text[1024];
    va_list args;

    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    pthread_mutex_lock(&record_lock);
    /* Whole milliseconds: seconds with a fraction may look like part of an address. */
    long now_ms = (long)(h_now() * 1000);
    fprintf(record, "%7ld ms %s\n", now_ms, text);
    fflush(record);
    printf("%7ld ms %s\n", now_ms, text);
    fflush(stdout);
    pthread_mutex_unlock(&record_lock);
}

void h_record_file(const char *prefix, const char *path)
{
    g_autofree char *text = NULL;

    if (!g_file_get_contents(path, &text, NULL, NULL))
        return;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line; line++)
        if (**line)
            say("%s%s", prefix, *line);
}

const char *h_dir(void)
{
    return dir;
}

/* Kills the children of the process and theirs. Stopped processes die of SIGKILL too. */
static unsigned kill_below(pid_t pid)
{
    char path[64];
    g_autoptr(GDir) threads = NULL;
    const char *thread;
    unsigned count = 0;

    g_snprintf(path, sizeof path, "/proc/%d/task", (int)pid);
    threads = g_dir_open(path, 0, NULL);
    while (threads && (thread = g_dir_read_name(threads))) {
        g_autofree char *list = g_strdup_printf("%s/%s/children", path, thread);
        g_autofree char *text = NULL;
        if (!g_file_get_contents(list, &text, NULL, NULL))
            continue;
        char *at = text, *end;
        for (pid_t child; (child = (pid_t)strtol(at, &end, 10)) > 0; at = end) {
            count += kill_below(child) + 1;
            kill(child, SIGKILL);
        }
    }
    return count;
}

/* This process is the subreaper of all that it has started, so that detached processes
 * become its children when their parents have ended. */
static void end_processes(void)
{
    for (int empty = 0, i = 0; empty < 3 && i < 400; i++) {
        empty = kill_below(self) ? 0 : empty + 1;
        while (waitpid(-1, NULL, WNOHANG) > 0)
            ;
        h_sleep(0.02);
    }
}

void h_end(int status)
{
    static const char *const words[] = {"held", "broken", "could not run"};

    say("end: exit status %d (%s)", status, words[status]);
    end_processes();
    if (!getenv("KEEP"))
        lmn_tree_remove(dir);
    _exit(status);
}

void h_give_up(const char *format, ...)
{
    char text[1024];
    va_list args;

    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    say("could not run: %s", text);
    h_end(COULD_NOT_RUN);
}

static void *watch_time(void *arg)
{
    (void)arg;
    while (h_now() < LONGEST_RUN_S)
        h_sleep(0.1);
    h_give_up("not finished after %d s", LONGEST_RUN_S);
    return NULL;
}

static void on_signal(int number)
{
    (void)number;
    end_processes();
    _exit(COULD_NOT_RUN);
}

void h_begin(const char *folder)
{
    const char *base = getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp";
    g_autofree char *path = g_strdup_printf("%s/record.txt", folder);
    pthread_t thread;

    self = getpid();
    begun = lmn_now();
    record = fopen(path, "w");
    g_snprintf(dir, sizeof dir, "%s/review-XXXXXX", base);
    if (!record || !realpath("target/lemonspar", program) || !mkdtemp(dir)) {
        fprintf(stderr, "start this from the repository's root, after its build\n");
        exit(COULD_NOT_RUN);
    }
    prctl(PR_SET_CHILD_SUBREAPER, 1);
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    curl_global_init(CURL_GLOBAL_NOTHING);
    pthread_create(&thread, NULL, watch_time, NULL);
    say("begin: TROUBLE=%s", h_trouble());
}

/* --- processes --- */

int h_port(void)
{
    static int next;

    if (!next)
        next = 12000 + (int)(g_random_int() % 16000);
    for (int tries = 0; tries < 2000; tries++) {
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        int port = next++, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        address.sin_port = htons((uint16_t)port);
        bool is_free = bind(fd, (struct sockaddr *)&address, sizeof address) == 0;
        close(fd);
        if (is_free)
            return port;
    }
    h_give_up("no free port");
}

static pid_t start(const char *name, char **argv)
{
    g_autofree char *log = g_strdup_printf("%s/%s.log", dir, name);
    pid_t pid = fork();

    if (pid == 0) {
        int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        int in = open("/dev/null", O_RDONLY);
        dup2(in, 0);
        dup2(out, 1);
        dup2(out, 2);
        signal(SIGPIPE, SIG_DFL);
        signal(SIGTERM, SIG_DFL);
        signal(SIGINT, SIG_DFL);
        execv(program, argv);
        _exit(127);
    }
    if (pid < 0)
        h_give_up("fork: %s", strerror(errno));
    return pid;
}

static char **arguments(va_list list)
{
    GPtrArray *argv = g_ptr_array_new();
    char *arg;

    g_ptr_array_add(argv, (char *)"target/lemonspar");
    while ((arg = va_arg(list, char *)))
        g_ptr_array_add(argv, arg);
    g_ptr_array_add(argv, NULL);
    return (char **)g_ptr_array_free(argv, FALSE);
}

pid_t h_start(const char *name, ...)
{
    va_list list;

    va_start(list, name);
    char **argv = arguments(list);
    va_end(list);
    pid_t pid = start(name, argv);
    g_autofree char *line = g_strjoinv(" ", argv);
    say("start %s: %s", name, line);
    g_free(argv);
    return pid;
}

bool h_run(const char *name, ...)
{
    va_list list;
    int status = -1;

    va_start(list, name);
    char **argv = arguments(list);
    va_end(list);
    pid_t pid = start(name, argv);
    g_free(argv);
    while (waitpid(pid, &status, 0) < 0 && errno == EINTR)
        ;
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

void h_signal(pid_t pid, int number)
{
    kill(pid, number);
}

void h_kill(pid_t pid)
{
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
}

bool h_lives(pid_t pid)
{
    siginfo_t info = {0};
    return waitid(P_PID, (id_t)pid, &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == 0;
}

/* --- calls --- */

struct answer h_call(const char *address, const char *method, const char *path,
                     const GByteArray *body, double timeout_s)
{
    struct lmn_http_client *client = lmn_http_client_new(address);
    g_autoptr(GByteArray) in = g_byte_array_new();
    struct lmn_cbor_document document;
    struct answer answer = {0};

    answer.status = lmn_http_client_call(client, method, path, body, timeout_s, in);
    lmn_http_client_free(client);
    if (!in->len || lmn_cbor_parse(&document, in->data, in->len) != 0)
        return answer;
    const struct lmn_cbor_value *root = lmn_cbor_root(&document);
    lmn_cbor_get_text(lmn_cbor_get(&document, root, WIRE_STATE), answer.state,
                      sizeof answer.state);
    lmn_cbor_get_uint(lmn_cbor_get(&document, root, WIRE_DONE), &answer.done);
    lmn_cbor_get_uint(lmn_cbor_get(&document, root, WIRE_RUNNING), &answer.running);
    lmn_cbor_get_text(lmn_cbor_get(&document, root, "Course"), answer.course,
                      sizeof answer.course);
    lmn_cbor_free(&document);
    return answer;
}

void h_await_ready(const char *address, double seconds)
{
    double until = h_now() + seconds;

    while (h_call(address, "GET", WIRE_PATH_READY, NULL, 1).status != 200) {
        if (h_now() > until)
            h_give_up("%s is not ready", address);
        h_sleep(0.1);
    }
}

/* --- a site --- */

static void choose_address(char address[32])
{
    g_snprintf(address, 32, "127.0.0.1:%d", h_port());
}

void h_site_init(struct h_site *site, const char *name)
{
    memset(site, 0, sizeof *site);
    g_strlcpy(site->name, name, sizeof site->name);
    g_snprintf(site->dir, sizeof site->dir, "%s/%s", dir, name);
    g_mkdir_with_parents(site->dir, 0755);
    choose_address(site->state);
    choose_address(site->cloud);
    choose_address(site->depot);
    for (int i = 0; i < CONTROLLERS; i++) {
        choose_address(site->users[i]);
        choose_address(site->peers[i]);
        g_strlcpy(site->state_seen[i], site->state, sizeof site->state_seen[i]);
    }
    site->report_s = 1.5;
    site->lease_s = 10;
    site->cancel_s = 35;
    site->state_rps = 150;
    site->write_rps = 50;
    site->txn_ops = 12;
}

static char *write_file(const struct h_site *site, const char *name, const char *text)
{
    char *path = g_strdup_printf("%s/%s", site->dir, name);

    if (!g_file_set_contents(path, text, -1, NULL))
        h_give_up("can't write %s", path);
    return path;
}

static void write_controller_settings(struct h_site *site, int which)
{
    GString *text = g_string_new(NULL);
    static const struct {
        const char *name;
        double cpus;
    } teams[] = {{"kasa", 136}, {"kontrola", 112}, {"dyspozytor", 88}};

    g_string_append_printf(text,
                           "host_name = \"poste-%d\"\narea = \"mokotow\"\n"
                           "client_listen = \"%s\"\ninternal_addr = \"%s\"\n",
                           which, site->users[which], site->peers[which]);
    for (int i = 0; i < CONTROLLERS; i++)
        if (i != which)
            g_string_append_printf(text,
                                   "[[members]]\nhost_name = \"poste-%d\"\n"
                                   "area = \"mokotow\"\naddress = \"%s\"\n",
                                   i, site->peers[i]);
    g_string_append_printf(text,
                           "[outside]\ncloud = \"%s\"\nstate = \"%s\"\n"
                           "[params]\ninitial_size = %d\nzones = [\"mokotow\"]\n"
                           "time_bound_ms = 100.0\n",
                           site->cloud, site->state_seen[which], CONTROLLERS);
    for (gsize i = 0; i < G_N_ELEMENTS(teams); i++)
        g_string_append_printf(text,
                               "[[params.teams]]\nname = \"%s\"\ncpus = %.1f\n"
                               "cpus_max = 280.0\ngpus = 0.0\ngpus_max = 0.0\n",
                               teams[i].name, teams[i].cpus);
    g_string_append_printf(
        text,
        "[[params.objectives]]\nkind = \"wait\"\nclass = \"shift-pay\"\n"
        "within_s = 35.0\nshare = 0.82\n"
        "[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\n"
        "gang_peer_s = 5.0\ncancel_s = %.1f\n"
        "[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = 16.0\ntxn_ops = %d\n"
        "[params.cloud]\nrps = 2.0\nlist_lag_s = 4.0\n"
        "[params.resources]\ncores = 0.12\nmemory_mb = 72.0\nmax_connections = 1200\n",
        site->report_s, site->lease_s, site->cancel_s, site->state_rps, site->write_rps,
        site->txn_ops);
    g_autofree char *name = g_strdup_printf("poste-%d.toml", which);
    g_autofree char *path = write_file(site, name, text->str);
    g_strlcpy(site->controller_file[which], path, sizeof site->controller_file[which]);
    g_string_free(text, TRUE);
}

static char *write_fleet_settings(const struct h_site *site, const char *inventory)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text,
                           "listen = \"%s\"\ndepot = \"%s\"\ndata = \"%s/fleet\"\n"
                           "inventory = \"%s\"\naddress = \"127.0.0.1\"\nrps = 2\n"
                           "report_s = %g\nlease_s = %g\n",
                           site->cloud, site->depot, site->dir, inventory, site->report_s,
                           site->lease_s);
    for (int i = 0; i < CONTROLLERS; i++)
        g_string_append_printf(text,
                               "[[controllers]]\nname = \"poste-%d\"\naddress = \"%s\"\n",
                               i, site->users[i]);
    char *path = write_file(site, "fleet.toml", text->str);
    g_string_free(text, TRUE);
    return path;
}

void h_site_start_controller(struct h_site *site, int which)
{
    g_autofree char *name = g_strdup_printf("%s-poste-%d", site->name, which);

    site->controller_pid[which] =
        h_start(name, "--config", site->controller_file[which], NULL);
}

void h_site_start(struct h_site *site)
{
    g_autofree char *state = g_strdup_printf(
        "listen = \"%s\"\ndata = \"%s/state\"\nrps = %g\nwrite_rps = %g\n"
        "value_kb = 16\ntxn_ops = %d\n",
        site->state, site->dir, site->state_rps, site->write_rps, site->txn_ops);
    g_autofree char *state_file = write_file(site, "state.toml", state);
    g_autofree char *inventory = write_file(site, "inventory.toml", site->inventory);
    g_autofree char *fleet_file = write_fleet_settings(site, inventory);
    g_autofree char *state_name = g_strdup_printf("%s-state", site->name);
    g_autofree char *fleet_name = g_strdup_printf("%s-fleet", site->name);

    site->state_pid = h_start(state_name, "state", "--config", state_file, NULL);
    site->fleet_pid = h_start(fleet_name, "fleet", "--config", fleet_file, NULL);
    h_await_ready(site->state, 10);
    h_await_ready(site->depot, 10);
    for (int i = 0; i < CONTROLLERS; i++) {
        write_controller_settings(site, i);
        h_site_start_controller(site, i);
    }
    for (int i = 0; i < CONTROLLERS; i++)
        h_await_ready(site->users[i], 20);
}

/* --- jobs --- */

static struct lmn_job_spec spec_of(const struct h_job *job)
{
    struct lmn_job_spec spec = {.class_name = (char *)job->class_name,
                                .team = (char *)job->team,
                                .image = (char *)LMN_EMPTY_IMAGE_NAME,
                                .priority = LMN_PRIORITY_HIGH,
                                .tasks = job->tasks,
                                .cpus = job->cpus,
                                .memory_gb = job->memory_gb,
                                .estimate_s = job->estimate_s,
                                .deadline_s = -1};

    g_strlcpy(spec.id, job->ref, sizeof spec.id);
    if (job->types[0])
        spec.machine_types = (char **)job->types;
    return spec;
}

void h_describe(const struct h_site *site, const struct h_job *job)
{
    struct lmn_http_client *client = lmn_http_client_new(site->depot);
    char *argv[] = {(char *)"sh", (char *)"-c", (char *)job->script, NULL};
    g_autofree char *folder = g_strdup_printf("STAMPS=%s", dir);
    char *env[] = {folder, NULL};
    struct lmn_task_command command = {spec_of(job), argv, env};
    g_autoptr(GByteArray) blob = lmn_task_command_encode(&command);
    struct lmn_image_store_error error;
    char digest[LMN_DIGEST_SIZE];

    if (lmn_image_store_put(client, blob, digest, &error) != 0 ||
        lmn_image_store_bind(client, LMN_IMAGE_STORE_KIND_JOB, job->ref, digest,
                             &error) != 0)
        h_give_up("the depot does not take the description: %s", error.what);
    lmn_http_client_free(client);
    say("depot of %s has the description of %s", site->name, job->ref);
}

GByteArray *h_body(const struct h_job *job, double leash_s)
{
    struct lmn_job_spec spec = spec_of(job);
    GByteArray *body = g_byte_array_new();

    lmn_cbor_put_map(body, lmn_job_spec_pair_count() + (leash_s > 0));
    lmn_job_spec_write(body, &spec);
    if (leash_s > 0) {
        lmn_cbor_put_text(body, "LeashS");
        lmn_cbor_put_number(body, leash_s);
    }
    return body;
}

struct answer h_submit(const char *ref, const GByteArray *body,
                       const char *const *addresses, int count)
{
    struct answer answer = {0};
    double until = h_now() + 60;

    for (int i = 0; h_now() < until; i++) {
        answer = h_call(addresses[i % count], "POST", WIRE_PATH_JOBS, body, 5);
        say("user: POST %s %s to %s: %d %s", WIRE_PATH_JOBS, ref, addresses[i % count],
            answer.status, answer.state);
        if (answer.status == 201 || answer.status == 200 || answer.status == 400 ||
            answer.status == 422)
            break;
        h_sleep(1);
    }
    return answer;
}

struct answer h_poll(const char *ref, const char *const *addresses, int count)
{
    g_autofree char *path = g_strdup_printf("%s/%s", WIRE_PATH_JOBS, ref);
    struct answer answer = {0};
    double until = h_now() + 5;
    static int turn;

    do {
        const char *address = addresses[turn++ % count];
        answer = h_call(address, "GET", path, NULL, 2);
        if (answer.status == 200 || answer.status == 404)
            break;
        h_sleep(0.2);
    } while (h_now() < until);
    return answer;
}

/* --- gateways --- */

void h_gateway_init(struct h_gateway *gateway, const struct h_site *site, int number)
{
    memset(gateway, 0, sizeof *gateway);
    gateway->site = site;
    g_snprintf(gateway->name, sizeof gateway->name, "gateway-%d", number);
    choose_address(gateway->users);
    choose_address(gateway->link);
    g_strlcpy(gateway->state_seen, site->state, sizeof gateway->state_seen);
    g_strlcpy(gateway->depot_seen, site->depot, sizeof gateway->depot_seen);
    g_snprintf(gateway->keys, sizeof gateway->keys, "%s/keys", site->dir);
    gateway->teams = "\"kasa\", \"kontrola\", \"dyspozytor\"";
    gateway->cpus = 32;
    gateway->feed_s = 60;
    gateway->sync_s = 1;
    if (!number &&
        !h_run("keys", "key", "init", "--site", site->name, "--dir", gateway->keys, NULL))
        h_give_up("no keys for %s", site->name);
}

void h_gateway_start(struct h_gateway *gateway, const struct h_gateway *peer,
                     const char *peer_address)
{
    const struct h_site *site = gateway->site;
    GString *text = g_string_new(NULL);

    g_string_append_printf(
        text,
        "site = \"%s\"\nname = \"%s\"\nlisten = \"%s\"\nlink_listen = \"%s\"\n"
        "state = \"%s\"\ndepot = \"%s\"\nkeys = \"%s\"\nteams = [%s]\n"
        "controllers = [\"%s\", \"%s\", \"%s\"]\ncpus = %g\nfeed_s = %g\n"
        "sync_s = %g\ntxn_ops = %d\n",
        site->name, gateway->name, gateway->users, gateway->link, gateway->state_seen,
        gateway->depot_seen, gateway->keys, gateway->teams, site->users[0],
        site->users[1], site->users[2], gateway->cpus, gateway->feed_s, gateway->sync_s,
        site->txn_ops);
    if (peer) {
        struct lmn_keys_info info;
        char error[256];
        if (lmn_keys_show(peer->keys, &info, error, sizeof error) != 0)
            h_give_up("%s", error);
        g_string_append_printf(text,
                               "[[peers]]\nsite = \"%s\"\naddress = \"%s\"\n"
                               "fingerprint = \"%s\"\n",
                               peer->site->name, peer_address, info.fingerprint);
    }
    g_autofree char *name = g_strdup_printf("%s.toml", gateway->name);
    g_autofree char *path = write_file(site, name, text->str);
    g_autofree char *log = g_strdup_printf("%s-%s", site->name, gateway->name);
    g_strlcpy(gateway->file, path, sizeof gateway->file);
    g_string_free(text, TRUE);
    gateway->pid = h_start(log, "gateway", "run", "--config", path, NULL);
}

/* --- relays --- */

struct h_relay {
    int listener;
    struct sockaddr_in to;
    enum h_relay_mode mode; /* atomic */
};

struct pair {
    struct h_relay *relay;
    int ends[2];
};

static bool pass_bytes(int from, int to)
{
    char bytes[16384];
    ssize_t count = read(from, bytes, sizeof bytes);

    for (ssize_t at = 0; at < count;) {
        ssize_t sent = write(to, bytes + at, (size_t)(count - at));
        if (sent <= 0)
            return false;
        at += sent;
    }
    return count > 0;
}

static void *carry(void *arg)
{
    struct pair *pair = arg;
    bool goes_on = true;

    while (goes_on) {
        struct pollfd fds[2] = {{pair->ends[0], POLLIN, 0}, {pair->ends[1], POLLIN, 0}};
        if (__atomic_load_n(&pair->relay->mode, __ATOMIC_RELAXED) == HOLD) {
            h_sleep(0.01);
            continue;
        }
        if (poll(fds, 2, 50) <= 0)
            continue;
        if (__atomic_load_n(&pair->relay->mode, __ATOMIC_RELAXED) == HOLD)
            continue;
        for (int i = 0; i < 2 && goes_on; i++)
            if (fds[i].revents)
                goes_on = pass_bytes(pair->ends[i], pair->ends[1 - i]);
    }
    close(pair->ends[0]);
    close(pair->ends[1]);
    g_free(pair);
    return NULL;
}

static void *accept_all(void *arg)
{
    struct h_relay *relay = arg;

    for (;;) {
        int fd = accept4(relay->listener, NULL, NULL, SOCK_CLOEXEC);
        pthread_t thread;
        if (fd < 0)
            continue;
        /* A connection attempt that was given up does not complete later: what is dialled
         * during a cut hangs, and stays unconnected. */
        if (__atomic_load_n(&relay->mode, __ATOMIC_RELAXED) == HOLD) {
            continue; /* left open, never read */
        }
        struct pair *pair = g_new0(struct pair, 1);
        pair->relay = relay;
        pair->ends[0] = fd;
        pair->ends[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (connect(pair->ends[1], (struct sockaddr *)&relay->to, sizeof relay->to)) {
            close(pair->ends[0]);
            close(pair->ends[1]);
            g_free(pair);
            continue;
        }
        pthread_create(&thread, NULL, carry, pair);
        pthread_detach(thread);
    }
    return NULL;
}

struct h_relay *h_relay_new(const char *to, char from[32])
{
    struct h_relay *relay = g_new0(struct h_relay, 1);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int port = h_port(), one = 1;
    pthread_t thread;

    relay->to = address;
    relay->to.sin_port = htons((uint16_t)atoi(strrchr(to, ':') + 1));
    address.sin_port = htons((uint16_t)port);
    relay->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(relay->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(relay->listener, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(relay->listener, 256) != 0)
        h_give_up("relay: %s", strerror(errno));
    g_snprintf(from, 32, "127.0.0.1:%d", port);
    pthread_create(&thread, NULL, accept_all, relay);
    return relay;
}

void h_relay_set(struct h_relay *relay, enum h_relay_mode mode)
{
    __atomic_store_n(&relay->mode, mode, __ATOMIC_RELAXED);
}
