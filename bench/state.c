/* Measures the state service, and checks its history.
 *
 *   bench_state kills N SEED      N kills at random instants under load from 8 writers
 *   bench_state speed SECONDS     transactions a second by writers, against the disk's
 * bare syncs bench_state watches N         so many clients wait for one change
 *   bench_state sizes KEYS...     size and restart time by the number of keys
 *
 * The checker needs no model of the service: each transaction raises one of a few
 * counters, on the condition that it is as it was read, and writes a key of its own that
 * says which value it made. At the end, whatever was acknowledged must be there; each
 * counter's values must be 1 to n, each made once (so conditions were linearizable and
 * nothing was half applied); and whoever began after another was acknowledged must have
 * the higher revision. */
#include "util/clock.h"
#include "protocol/cbor.h"
#include "http/client.h"
#include "util/latency.h"
#include "util/process.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "kv_store/db.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

enum { WRITERS = 8, COUNTERS = 5, MOST_WRITERS = 64 };

static char dir[256], addr[] = "127.0.0.1:27379";
static pid_t service;

static void start_service(const char *more)
{
    service = fork();
    if (service == 0) {
        int null = open("/dev/null", O_WRONLY);
        dup2(null, 2);
        execl(LMN_PROGRAM_PATH, "lemonspar", "state", "--data", dir, "--listen", addr,
              "--txn-ops", "64", more, (char *)NULL);
        _exit(127);
    }
}

static void kill_service(void)
{
    kill(service, SIGKILL);
    waitpid(service, NULL, 0);
}

static bool serves(struct lmn_http_client *client)
{
    GByteArray *in = g_byte_array_new();
    int status = lmn_http_client_call(client, "GET", WIRE_PATH_READY, NULL, 1, in);
    g_byte_array_unref(in);
    return status == 200;
}

/* Seconds until it serves. */
static double wait_service(void)
{
    struct timespec begun = lmn_now();
    struct lmn_http_client *client = lmn_http_client_new(addr);
    while (!serves(client) && lmn_time_diff_s(lmn_now(), begun) < 300)
        lmn_sleep(0.001);
    lmn_http_client_free(client);
    return lmn_time_diff_s(lmn_now(), begun);
}

static GByteArray *transaction(const char *cond, uint64_t revision, const char *key,
                               uint64_t value, const char *own, const char *counter)
{
    GByteArray *b = g_byte_array_new();
    lmn_cbor_put_map(b, 2);
    lmn_cbor_put_text(b, WIRE_CONDITIONS), lmn_cbor_put_array(b, cond ? 1 : 0);
    if (cond) {
        lmn_cbor_put_map(b, 2);
        lmn_cbor_put_text(b, WIRE_KEY), lmn_cbor_put_text(b, cond);
        lmn_cbor_put_text(b, WIRE_VERSION), lmn_cbor_put_uint(b, revision);
    }
    lmn_cbor_put_text(b, WIRE_OPERATIONS), lmn_cbor_put_array(b, own ? 2 : 1);
    lmn_cbor_put_map(b, 2);
    lmn_cbor_put_text(b, WIRE_PUT), lmn_cbor_put_text(b, key);
    lmn_cbor_put_text(b, WIRE_VALUE), lmn_cbor_put_uint(b, value);
    if (own) {
        lmn_cbor_put_map(b, 2);
        lmn_cbor_put_text(b, WIRE_PUT), lmn_cbor_put_text(b, own);
        lmn_cbor_put_text(b, WIRE_VALUE), lmn_cbor_put_map(b, 2);
        lmn_cbor_put_text(b, "counter"), lmn_cbor_put_text(b, counter);
        lmn_cbor_put_text(b, "value"), lmn_cbor_put_uint(b, value);
    }
    return b;
}

/* --- kills --- */

struct acked {
    char own[48];
    uint64_t rev;
    struct timespec sent, heard;
};

static struct {
    pthread_mutex_t lock;
    GArray *acked; /* struct acked */
    uint64_t tried, conflicts, refused, unknown;
    volatile bool stop;
    pthread_t threads[MOST_WRITERS];
} w = {.lock = PTHREAD_MUTEX_INITIALIZER};

static bool read_counter(struct lmn_http_client *client, GByteArray *in, const char *key,
                         uint64_t *rev, uint64_t *value)
{
    char path[64];
    struct lmn_cbor_document d;

    *rev = *value = 0;
    g_snprintf(path, sizeof path, WIRE_PATH_STORE "/%s", key);
    int status = lmn_http_client_call(client, "GET", path, NULL, 2, in);
    if (status == 404)
        return true;
    if (status != 200 || lmn_cbor_parse(&d, in->data, in->len) != 0)
        return false;
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_VERSION), rev);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_VALUE), value);
    lmn_cbor_free(&d);
    return true;
}

static void *writer(void *arg)
{
    int me = (int)(intptr_t)arg;
    struct lmn_http_client *client = lmn_http_client_new(addr);
    GByteArray *in = g_byte_array_new();
    GRand *r = g_rand_new_with_seed((guint32)me + 1);

    for (unsigned n = 0; !w.stop; n++) {
        char counter[16], own[48];
        uint64_t revision, value;
        struct lmn_cbor_document d;
        g_snprintf(counter, sizeof counter, "counter/%d",
                   g_rand_int_range(r, 0, COUNTERS));
        g_snprintf(own, sizeof own, "own/%d/%u", me, n);
        if (!read_counter(client, in, counter, &revision, &value)) {
            lmn_sleep(0.005);
            continue;
        }
        GByteArray *b = transaction(counter, revision, counter, value + 1, own, counter);
        struct acked a = {.sent = lmn_now()};
        int status = lmn_http_client_call(client, "POST", WIRE_PATH_TXN, b, 2, in);
        a.heard = lmn_now();
        g_byte_array_unref(b);
        g_strlcpy(a.own, own, sizeof a.own);
        if (status == 200 && lmn_cbor_parse(&d, in->data, in->len) == 0) {
            lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_REVISION), &a.rev);
            lmn_cbor_free(&d);
        }
        pthread_mutex_lock(&w.lock);
        w.tried++;
        w.conflicts += status == 409;
        w.refused += status == 503 || status == LMN_HTTP_NOT_SENT;
        w.unknown += status == LMN_HTTP_NO_RESPONSE;
        if (status == 200)
            g_array_append_val(w.acked, a);
        pthread_mutex_unlock(&w.lock);
    }
    lmn_http_client_free(client);
    g_byte_array_unref(in);
    g_rand_free(r);
    return NULL;
}

static unsigned wrong;

static void complain(const char *what, const char *key)
{
    if (wrong++ < 10)
        fprintf(stderr, "WRONG %s: %s\n", key, what);
}

struct applied {
    uint64_t rev, value;
    char counter[16];
};

static bool take_own(void *arg, const struct lmn_db_item *item)
{
    struct applied *a = g_new0(struct applied, 1);
    struct lmn_cbor_document d;

    if (lmn_cbor_parse(&d, item->value, item->len) != 0) {
        complain("can't be read", item->key);
        return true;
    }
    a->rev = item->revision;
    lmn_cbor_get_text(lmn_cbor_get(&d, lmn_cbor_root(&d), "counter"), a->counter,
                      sizeof a->counter);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), "value"), &a->value);
    lmn_cbor_free(&d);
    g_hash_table_insert(arg, g_strdup(item->key), a);
    return true;
}

static gint by_sent(gconstpointer a, gconstpointer b)
{
    const struct acked *x = a, *y = b;
    return lmn_time_before(x->sent, y->sent) ? -1 : lmn_time_before(y->sent, x->sent);
}

static gint by_heard(gconstpointer a, gconstpointer b)
{
    const struct acked *x = a, *y = b;
    return lmn_time_before(x->heard, y->heard) ? -1 : lmn_time_before(y->heard, x->heard);
}

/* Whoever was sent after another was acknowledged has the higher revision. */
static void check_order(GArray *acked)
{
    GArray *heard = g_array_copy(acked);
    uint64_t highest = 0;
    guint k = 0;

    g_array_sort(acked, by_sent);
    g_array_sort(heard, by_heard);
    for (guint i = 0; i < acked->len; i++) {
        const struct acked *a = &g_array_index(acked, struct acked, i);
        for (; k < heard->len; k++) {
            const struct acked *h = &g_array_index(heard, struct acked, k);
            if (!lmn_time_before(h->heard, a->sent))
                break;
            highest = MAX(highest, h->rev);
        }
        if (a->rev <= highest)
            complain("its revision is not above one acknowledged before it was sent",
                     a->own);
    }
    g_array_free(heard, TRUE);
}

static uint64_t check_history(uint64_t *applied)
{
    const struct lmn_db_options o = {.dir = dir, .read_only = true};
    char err[256];
    struct lmn_db *db = lmn_db_open(&o, err, sizeof err);
    GHashTable *own = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GHashTable *made = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    uint64_t count[COUNTERS] = {0}, extra = 0;
    struct lmn_db_meta meta;
    GHashTableIter it;
    gpointer key, v;

    if (!db) {
        complain(err, dir);
        return 0;
    }
    struct lmn_db_reader *reader = lmn_db_reader_new(db);
    if (lmn_db_view_begin(reader, &meta) != 0)
        complain("can't be viewed", dir);
    lmn_db_list(reader, "own/", NULL, take_own, own);
    g_assert(w.acked != NULL); /* made by begin_writers */
    for (guint i = 0; i < w.acked->len; i++) {
        const struct acked *a = &g_array_index(w.acked, struct acked, i);
        const struct applied *x = g_hash_table_lookup(own, a->own);
        if (!x)
            complain("was acknowledged, and is not there", a->own);
        else if (x->rev != a->rev)
            complain("has another revision than was acknowledged", a->own);
    }
    g_hash_table_iter_init(&it, own);
    while (g_hash_table_iter_next(&it, &key, &v)) {
        const struct applied *x = v;
        if (!g_hash_table_add(
                made, g_strdup_printf("%s=%" G_GUINT64_FORMAT, x->counter, x->value)))
            complain("made a value that another has made, too", key);
        count[atoi(x->counter + strlen("counter/")) % COUNTERS]++;
    }
    for (int i = 0; i < COUNTERS; i++) {
        struct lmn_db_item item;
        char name[16];
        uint64_t value = 0;
        struct lmn_cbor_document d;
        g_snprintf(name, sizeof name, "counter/%d", i);
        if (lmn_db_get(reader, name, &item) &&
            lmn_cbor_parse(&d, item.value, item.len) == 0) {
            lmn_cbor_get_uint(lmn_cbor_root(&d), &value);
            lmn_cbor_free(&d);
        }
        if (value != count[i])
            complain("does not stand at the number of transactions that raised it", name);
    }
    *applied = g_hash_table_size(own);
    extra = *applied - w.acked->len;
    check_order(w.acked);
    lmn_db_view_end(reader);
    lmn_db_reader_free(reader);
    lmn_db_close(db);
    g_hash_table_destroy(own);
    g_hash_table_destroy(made);
    return extra;
}

static void say_wrong(void *arg, const char *what)
{
    (void)arg;
    complain(what, "check");
}

static void begin_writers(unsigned n, void *(*f)(void *))
{
    w.acked = g_array_new(FALSE, FALSE, sizeof(struct acked));
    w.stop = false;
    for (unsigned i = 0; i < n; i++)
        pthread_create(&w.threads[i], NULL, f, (void *)(intptr_t)i);
}

static void end_writers(unsigned n)
{
    w.stop = true;
    for (unsigned i = 0; i < n; i++)
        pthread_join(w.threads[i], NULL);
}

static int kills(int n, uint32_t seed)
{
    GRand *r = g_rand_new_with_seed(seed);
    struct lmn_db_meta meta;
    double slowest = 0;
    uint64_t applied = 0;

    start_service(NULL);
    wait_service();
    begin_writers(WRITERS, writer);
    for (int i = 0; i < n; i++) {
        /* Anywhere in a run: often within the first commits after the start. */
        lmn_sleep(0.002 + g_rand_double(r) * (i % 2 ? 0.02 : 0.15));
        kill_service();
        if (i % 10 == 0)
            lmn_db_check(dir, say_wrong, NULL, &meta);
        start_service(NULL);
        double took = wait_service();
        slowest = MAX(slowest, took);
    }
    lmn_sleep(0.3);
    end_writers(WRITERS);
    kill_service();
    lmn_db_check(dir, say_wrong, NULL, &meta);
    uint64_t unheard = check_history(&applied);
    g_assert(w.acked != NULL);
    printf("%s kills=%d tried=%" G_GUINT64_FORMAT
           " acknowledged=%u applied=%" G_GUINT64_FORMAT
           " applied_unheard=%" G_GUINT64_FORMAT " conflicts=%" G_GUINT64_FORMAT
           " unknown=%" G_GUINT64_FORMAT " slowest_restart=%.3f wrong=%u\n",
           wrong ? "BROKEN" : "GOOD", n, w.tried, w.acked->len, applied, unheard,
           w.conflicts, w.unknown, slowest, wrong);
    g_rand_free(r);
    return wrong || !w.acked->len ? 1 : 0;
}

/* --- speed --- */

static struct lmn_latency latency;

static void *plain_writer(void *arg)
{
    int me = (int)(intptr_t)arg;
    struct lmn_http_client *client = lmn_http_client_new(addr);
    GByteArray *in = g_byte_array_new();

    for (unsigned n = 0; !w.stop; n++) {
        char key[48];
        g_snprintf(key, sizeof key, "speed/%d/%u", me, n % 1000);
        GByteArray *b = transaction(NULL, 0, key, n, NULL, NULL);
        struct timespec sent = lmn_now();
        int status = lmn_http_client_call(client, "POST", WIRE_PATH_TXN, b, 10, in);
        g_byte_array_unref(b);
        pthread_mutex_lock(&w.lock);
        w.tried += status == 200;
        lmn_latency_add(&latency, lmn_time_diff_s(lmn_now(), sent));
        pthread_mutex_unlock(&w.lock);
    }
    lmn_http_client_free(client);
    g_byte_array_unref(in);
    return NULL;
}

/* Syncs a second of a file that is written as LMDB writes: a few pages, then one, each
 * synced. */
static double bare_syncs(double seconds)
{
    char *path = g_build_filename(dir, "sync", NULL), page[4096] = {1};
    int fd = open(path, O_RDWR | O_CREAT | O_TRUNC, 0644);
    struct timespec begun = lmn_now();
    unsigned n = 0;

    if (fd < 0)
        return 0;
    while (lmn_time_diff_s(lmn_now(), begun) < seconds) {
        for (int i = 0; i < 4; i++)
            if (pwrite(fd, page, sizeof page,
                       (off_t)(4096 * (1 + (n * 4 + (unsigned)i) % 256))) < 0)
                return 0;
        if (fdatasync(fd) != 0)
            return 0;
        n++;
    }
    close(fd);
    unlink(path);
    g_free(path);
    return n / seconds;
}

static double metric(const char *name)
{
    struct lmn_http_client *client = lmn_http_client_new(addr);
    GByteArray *in = g_byte_array_new();
    double v = 0;

    lmn_http_client_call(client, "GET", "/metrics", NULL, 5, in);
    g_byte_array_append(in, (const guint8 *)"", 1);
    char *line = g_strdup_printf("\n%s ", name), *at = strstr((char *)in->data, line);
    if (at)
        v = g_ascii_strtod(at + strlen(line), NULL);
    g_free(line);
    g_byte_array_unref(in);
    lmn_http_client_free(client);
    return v;
}

static int speed(double seconds)
{
    static const unsigned writers[] = {1, 8, 64};
    double bare = bare_syncs(2);

    printf("bare syncs of the disk: %.0f a second\n", bare);
    for (int one = 0; one < 2; one++)
        for (guint i = 0; i < G_N_ELEMENTS(writers); i++) {
            start_service(one ? "--one-by-one" : NULL);
            wait_service();
            w.tried = 0;
            lmn_latency_init(&latency);
            double syncs = metric("lemonspar_state_syncs_total");
            begin_writers(writers[i], plain_writer);
            lmn_sleep(seconds);
            end_writers(writers[i]);
            syncs = metric("lemonspar_state_syncs_total") - syncs;
            printf("%-12s writers=%-2u transactions=%.0f/s syncs=%.0f/s a_sync=%.1f "
                   "p50=%.4f "
                   "p99=%.4f against_bare=%.2f\n",
                   one ? "one-by-one" : "group", writers[i], (double)w.tried / seconds,
                   syncs / seconds, (double)w.tried / MAX(syncs, 1),
                   lmn_latency_quantile(&latency, 0.5),
                   lmn_latency_quantile(&latency, 0.99),
                   (double)w.tried / seconds / MAX(bare, 1));
            lmn_latency_clear(&latency);
            kill_service();
        }
    return 0;
}

/* --- watches --- */

static double status_field(const char *name)
{
    char *path = g_strdup_printf("/proc/%d/status", (int)service), *text = NULL, *at;
    double v = 0;

    if (g_file_get_contents(path, &text, NULL, NULL) && (at = strstr(text, name)))
        v = g_ascii_strtod(at + strlen(name), NULL);
    g_free(text);
    g_free(path);
    return v;
}

/* So many clients wait for changes, on a connection each; then one is made. */
static int watches(int n)
{
    static const char ask[] =
        "GET " WIRE_PATH_WATCH "?Under=w/&After=0&WaitMs=60000 HTTP/1.1\r\n"
        "Host: x\r\n\r\n";
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons(27379),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct rlimit files = {(rlim_t)n + 256, (rlim_t)n + 256};
    int *fds = g_new(int, n), heard = 0;
    char buf[1024];

    setrlimit(RLIMIT_NOFILE, &files);
    start_service(NULL);
    wait_service();
    double threads = status_field("Threads:"), kb = status_field("VmRSS:");
    for (int i = 0; i < n; i++) {
        fds[i] = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(fds[i], (struct sockaddr *)&a, sizeof a) != 0 ||
            write(fds[i], ask, sizeof ask - 1) < 0) {
            fprintf(stderr, "watch %d: %s\n", i, strerror(errno));
            return 1;
        }
    }
    while (metric("lemonspar_state_watches") < n)
        lmn_sleep(0.05);
    threads = status_field("Threads:") - threads;
    kb = status_field("VmRSS:") - kb;
    struct lmn_http_client *client = lmn_http_client_new(addr);
    GByteArray *in = g_byte_array_new(), *b = transaction(NULL, 0, "w/1", 1, NULL, NULL);
    struct timespec begun = lmn_now();
    int status = lmn_http_client_call(client, "POST", WIRE_PATH_TXN, b, 10, in);
    for (int i = 0; i < n; i++)
        heard += read(fds[i], buf, sizeof buf) > 0 && strstr(buf, "200 OK");
    double took = lmn_time_diff_s(lmn_now(), begun);
    printf("%s watches=%d heard=%d after=%.3f s threads_more=%.0f memory_more=%.1f KB "
           "each\n",
           heard == n && status == 200 ? "GOOD" : "BROKEN", n, heard, took, threads,
           kb / n);
    kill_service();
    return heard == n ? 0 : 1;
}

/* --- sizes --- */

static int sizes(int n, char **keys)
{
    double first = 0, first_keys = 0;

    for (int i = 0; i < n; i++) {
        unsigned long want = strtoul(keys[i], NULL, 10);
        char err[256], *file = g_build_filename(dir, "data.mdb", NULL);
        const struct lmn_db_options o = {.dir = dir, .create = true};
        struct lmn_db_meta meta;
        struct stat st;
        lmn_tree_remove(dir);
        struct lmn_db *db = lmn_db_open(&o, err, sizeof err);
        if (!db) {
            fprintf(stderr, "%s\n", err);
            return 1;
        }
        for (unsigned long k = 0; k < want;) {
            struct lmn_db_batch *batch = lmn_db_begin(db, err, sizeof err);
            for (unsigned in = 0; in < 10000 && k < want; in++, k++) {
                char key[48], value[200];
                uint64_t revision;
                g_snprintf(key, sizeof key, "j/run-%09lu", k * 7919 % 1000000007);
                memset(value, 'v', sizeof value);
                value[0] = 0x78,
                value[1] = (char)(sizeof value - 2); /* a text, in CBOR */
                struct lmn_db_change c = {key, value, sizeof value, 0};
                lmn_db_apply(batch, &(struct lmn_db_txn){NULL, &c, 0, 1}, &revision,
                             NULL);
            }
            if (lmn_db_commit(batch, err, sizeof err) != 0) {
                fprintf(stderr, "%s\n", err);
                return 1;
            }
        }
        lmn_db_close(db);
        stat(file, &st);
        double took = 1e9;
        for (int t = 0; t < 5; t++) {
            start_service(NULL);
            double this = wait_service();
            took = MIN(took, this);
            kill_service();
        }
        struct timespec begun = lmn_now();
        unsigned bad = lmn_db_check(dir, say_wrong, NULL, &meta);
        if (!i)
            first = took, first_keys = (double)want;
        printf("keys=%lu size=%.1f MB bytes_a_key=%.0f restart=%.4f s (%.1f times that "
               "of %.0f) "
               "check=%.2f s wrong=%u\n",
               want, (double)st.st_size / 1e6, (double)st.st_size / (double)want, took,
               took / first, first_keys, lmn_time_diff_s(lmn_now(), begun), bad);
        g_free(file);
    }
    return wrong ? 1 : 0;
}

int main(int argc, char **argv)
{
    int rc = 2;

    curl_global_init(CURL_GLOBAL_NOTHING);
    signal(SIGPIPE, SIG_IGN);
    setlinebuf(stdout);
    const char *root = g_getenv("LMN_BENCH_DIR");
    g_snprintf(dir, sizeof dir, "%s/lemonspar-bench-state-%d", root ? root : "/tmp",
               (int)getpid());
    g_mkdir_with_parents(dir, 0755);
    if (argc == 4 && !strcmp(argv[1], "kills"))
        rc = kills(atoi(argv[2]), (uint32_t)atoi(argv[3]));
    else if (argc == 3 && !strcmp(argv[1], "speed"))
        rc = speed(atof(argv[2]));
    else if (argc == 3 && !strcmp(argv[1], "watches"))
        rc = watches(atoi(argv[2]));
    else if (argc >= 3 && !strcmp(argv[1], "sizes"))
        rc = sizes(argc - 2, argv + 2);
    else
        fprintf(stderr, "usage: bench_state kills N SEED | speed SECONDS | watches N | "
                        "sizes KEYS...\n");
    lmn_tree_remove(dir);
    return rc;
}
