#include "gateway/records.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { MOST_GUESTS = 500000 };
static const double TTL_S = 6, PATIENCE_S = 5;

/* --- the state service --- */

/* A call that is repeated until it is answered for certain; the status. */
static int insist(struct lmn_http_client *client, const char *method, const char *path,
                  const GByteArray *body, GByteArray *in)
{
    for (;;) {
        int status = lmn_http_client_call(client, method, path, body, PATIENCE_S, in);
        if (status == 200 || status == 404 || status == 409 || status == 400 ||
            status == 410)
            return status;
        lmn_sleep(status == 429 ? 0.05 + 0.1 * g_random_double()
                                : 0.2 + 0.2 * g_random_double());
    }
}

static void put_cond(GByteArray *buffer, const char *key, uint64_t revision)
{
    lmn_cbor_put_map(buffer, 2);
    lmn_cbor_put_text(buffer, WIRE_KEY), lmn_cbor_put_text(buffer, key);
    lmn_cbor_put_text(buffer, WIRE_VERSION), lmn_cbor_put_uint(buffer, revision);
}

/* --- records --- */

static GByteArray *job_record(const struct lmn_gateway_job *j,
                              const struct lmn_origin_record *h)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 10);
    lmn_cbor_put_text(buffer, "spec"),
        lmn_cbor_put_map(buffer, lmn_job_spec_pair_count()),
        lmn_job_spec_write(buffer, &j->spec);
    lmn_cbor_put_text(buffer, "digest"), lmn_cbor_put_text(buffer, j->digest);
    lmn_cbor_put_text(buffer, "at"), lmn_cbor_put_number(buffer, j->at);
    lmn_cbor_put_text(buffer, "leash"), lmn_cbor_put_number(buffer, j->leash_s);
    lmn_cbor_put_text(buffer, "state"), lmn_cbor_put_uint(buffer, h->state);
    lmn_cbor_put_text(buffer, "epoch"), lmn_cbor_put_uint(buffer, h->epoch);
    lmn_cbor_put_text(buffer, "site"), lmn_cbor_put_text(buffer, h->site);
    lmn_cbor_put_text(buffer, "incarnation"), lmn_cbor_put_uint(buffer, h->incarnation);
    lmn_cbor_put_text(buffer, "outcome"),
        lmn_cbor_put_uint(buffer, (uint64_t)h->outcome | (uint64_t)h->cancel << 8 |
                                      (uint64_t)h->recall << 9);
    lmn_cbor_put_text(buffer, "transfers"), lmn_cbor_put_uint(buffer, h->transfers);
    return buffer;
}

static GByteArray *guest_record(const struct lmn_remote_job *g,
                                const struct lmn_execution_record *f)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 7);
    lmn_cbor_put_text(buffer, "spec"),
        lmn_cbor_put_map(buffer, lmn_job_spec_pair_count()),
        lmn_job_spec_write(buffer, &g->spec);
    lmn_cbor_put_text(buffer, "digest"), lmn_cbor_put_text(buffer, g->digest);
    lmn_cbor_put_text(buffer, "leash"), lmn_cbor_put_number(buffer, g->leash_s);
    lmn_cbor_put_text(buffer, "state"), lmn_cbor_put_uint(buffer, f->state);
    lmn_cbor_put_text(buffer, "epoch"), lmn_cbor_put_uint(buffer, f->epoch);
    lmn_cbor_put_text(buffer, "floor"), lmn_cbor_put_uint(buffer, f->floor);
    lmn_cbor_put_text(buffer, "outcome");
    lmn_cbor_put_uint(buffer, (uint64_t)f->outcome | (uint64_t)f->cancel << 8 |
                                  (uint64_t)f->heard << 9);
    return buffer;
}

static uint64_t count_of(const struct lmn_cbor_document *document,
                         const struct lmn_cbor_value *map, const char *key)
{
    uint64_t v = 0;
    lmn_cbor_get_uint(lmn_cbor_get(document, map, key), &v);
    return v;
}

/* Puts a record among those that are open, or takes it out. */
static void sort_job(struct lmn_gateway_records *b, struct lmn_gateway_job *j)
{
    if (j->hand.state != LMN_ORIGIN_FINAL)
        g_hash_table_insert(b->open_jobs, j->ref, j);
    else
        g_hash_table_remove(b->open_jobs, j->ref);
}

static void sort_guest(struct lmn_gateway_records *b, struct lmn_remote_job *g)
{
    if (g->hand.state == LMN_EXECUTION_RUNNING ||
        (g->hand.state == LMN_EXECUTION_FINISHED && !g->hand.heard))
        g_hash_table_insert(b->open_guests, g->key, g);
    else
        g_hash_table_remove(b->open_guests, g->key);
}

static void read_job(struct lmn_gateway_records *b, const char *ref,
                     const struct lmn_cbor_document *document,
                     const struct lmn_cbor_value *value, uint64_t revision)
{
    struct lmn_gateway_job *j = g_new0(struct lmn_gateway_job, 1);
    uint64_t outcome = count_of(document, value, "outcome");
    const char *what;

    g_strlcpy(j->ref, ref, sizeof j->ref);
    if (lmn_job_spec_parse(&j->spec, document, lmn_cbor_get(document, value, "spec"),
                           &what) != 0) {
        lmn_error("unreadable-record key=g/j/%s field=%s", ref, what);
        g_free(j);
        return;
    }
    lmn_cbor_get_text(lmn_cbor_get(document, value, "digest"), j->digest,
                      sizeof j->digest);
    lmn_cbor_get_number(lmn_cbor_get(document, value, "at"), &j->at);
    lmn_cbor_get_number(lmn_cbor_get(document, value, "leash"), &j->leash_s);
    j->hand.state = (enum lmn_origin_state)count_of(document, value, "state");
    j->hand.epoch = count_of(document, value, "epoch");
    lmn_cbor_get_text(lmn_cbor_get(document, value, "site"), j->hand.site,
                      sizeof j->hand.site);
    j->hand.incarnation = count_of(document, value, "incarnation");
    j->hand.outcome = (enum lmn_handover_outcome)(outcome & 0xff);
    j->hand.cancel = outcome >> 8 & 1;
    j->hand.recall = outcome >> 9 & 1;
    j->hand.transfers = (uint32_t)count_of(document, value, "transfers");
    j->rev = revision;
    g_hash_table_insert(b->jobs, j->ref, j);
    sort_job(b, j);
}

static void read_guest(struct lmn_gateway_records *b, const char *key,
                       const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *value, uint64_t revision)
{
    struct lmn_remote_job *g = g_new0(struct lmn_remote_job, 1);
    uint64_t outcome = count_of(document, value, "outcome");
    const char *what, *slash = strchr(key, '/');

    if (!slash || (size_t)(slash - key) >= sizeof g->home ||
        lmn_job_spec_parse(&g->spec, document, lmn_cbor_get(document, value, "spec"),
                           &what) != 0) {
        lmn_error("unreadable-record key=g/f/%s", key);
        g_free(g);
        return;
    }
    g->key = g_strdup(key);
    g_strlcpy(g->home, key, (gsize)(slash - key) + 1);
    g_strlcpy(g->ref, slash + 1, sizeof g->ref);
    lmn_cbor_get_text(lmn_cbor_get(document, value, "digest"), g->digest,
                      sizeof g->digest);
    lmn_cbor_get_number(lmn_cbor_get(document, value, "leash"), &g->leash_s);
    g->hand.state = (enum lmn_execution_state)count_of(document, value, "state");
    g->hand.epoch = count_of(document, value, "epoch");
    g->hand.floor = count_of(document, value, "floor");
    g->hand.outcome = (enum lmn_handover_outcome)(outcome & 0xff);
    g->hand.cancel = outcome >> 8 & 1;
    g->hand.heard = outcome >> 9 & 1;
    g->rev = revision;
    lmn_remote_job_local_id(g->home, g->ref, g->hand.epoch, g->local);
    g_hash_table_insert(b->guests, g->key, g);
    sort_guest(b, g);
}

static void read_all(struct lmn_gateway_records *b, struct lmn_http_client *client)
{
    GByteArray *in = g_byte_array_new();
    char after[256] = "", path[512];
    bool more = true;

    while (more) {
        struct lmn_cbor_document d;
        g_snprintf(path, sizeof path, WIRE_PATH_STORE "?Under=g/%s%s&Limit=500",
                   *after ? "&After=" : "", after);
        if (insist(client, "GET", path, NULL, in) != 200 ||
            lmn_cbor_parse(&d, in->data, in->len) != 0)
            continue;
        const struct lmn_cbor_value *root = lmn_cbor_root(&d),
                                    *items = lmn_cbor_get(&d, root, WIRE_ITEMS);
        more = false;
        lmn_cbor_get_bool(lmn_cbor_get(&d, root, WIRE_HAS_MORE), &more);
        for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&d, items); node;
             node = lmn_cbor_next(&d, node)) {
            const struct lmn_cbor_value *value = lmn_cbor_get(&d, node, WIRE_VALUE);
            uint64_t revision = count_of(&d, node, WIRE_VERSION);
            if (!lmn_cbor_get_text(lmn_cbor_get(&d, node, WIRE_KEY), after,
                                   sizeof after) ||
                !value)
                continue;
            if (g_str_has_prefix(after, "g/j/"))
                read_job(b, after + 4, &d, value, revision);
            else if (g_str_has_prefix(after, "g/f/"))
                read_guest(b, after + 4, &d, value, revision);
            else if (g_str_has_prefix(after, "g/e/"))
                g_hash_table_add(b->evicted, g_strdup(after + 4));
        }
        lmn_cbor_free(&d);
    }
    g_byte_array_unref(in);
}

/* --- leading --- */

static void *keep_lease(void *arg)
{
    struct lmn_gateway_records *b = arg;
    struct lmn_http_client *client = lmn_http_client_new(b->state);
    GByteArray *in = g_byte_array_new();
    char path[64];

    g_snprintf(path, sizeof path, WIRE_PATH_LEASES "/%" G_GUINT64_FORMAT WIRE_PATH_RENEW,
               b->lease);
    for (;;) {
        if (lmn_http_client_call(client, "POST", path, NULL, 2, in) == 404) {
            /* Another may lead by now. Nothing that this one writes is taken any more. */
            lmn_error("lead-lost");
            _exit(1);
        }
        lmn_sleep(TTL_S / 4);
    }
    return NULL;
}

static uint64_t new_lease(struct lmn_http_client *client, GByteArray *in)
{
    GByteArray *q = g_byte_array_new();
    struct lmn_cbor_document d;
    uint64_t id = 0;

    lmn_cbor_put_map(q, 1);
    lmn_cbor_put_text(q, WIRE_TTL_MS), lmn_cbor_put_uint(q, (uint64_t)(TTL_S * 1000));
    if (insist(client, "POST", WIRE_PATH_LEASES, q, in) == 200 &&
        lmn_cbor_parse(&d, in->data, in->len) == 0) {
        id = count_of(&d, lmn_cbor_root(&d), WIRE_LEASE);
        lmn_cbor_free(&d);
    }
    g_byte_array_unref(q);
    return id;
}

/* Puts the name at g/lead if nobody's stands there; the revision, 0: somebody leads. */
static uint64_t try_lead(struct lmn_http_client *client, const char *gateway,
                         uint64_t lease, GByteArray *in)
{
    GByteArray *q = g_byte_array_new();
    struct lmn_cbor_document d;
    uint64_t revision = 0;

    lmn_cbor_put_map(q, 2);
    lmn_cbor_put_text(q, WIRE_CONDITIONS), lmn_cbor_put_array(q, 1),
        put_cond(q, "g/lead", 0);
    lmn_cbor_put_text(q, WIRE_OPERATIONS), lmn_cbor_put_array(q, 1),
        lmn_cbor_put_map(q, 3);
    lmn_cbor_put_text(q, WIRE_PUT), lmn_cbor_put_text(q, "g/lead");
    lmn_cbor_put_text(q, WIRE_VALUE), lmn_cbor_put_text(q, gateway);
    lmn_cbor_put_text(q, WIRE_LEASE), lmn_cbor_put_uint(q, lease);
    int status = lmn_http_client_call(client, "POST", WIRE_PATH_TXN, q, PATIENCE_S, in);
    if (status == 200 && lmn_cbor_parse(&d, in->data, in->len) == 0) {
        revision = count_of(&d, lmn_cbor_root(&d), WIRE_REVISION);
        lmn_cbor_free(&d);
    }
    g_byte_array_unref(q);
    return revision;
}

static uint64_t read_number(struct lmn_http_client *client, const char *path,
                            const char *field, uint64_t *rev, GByteArray *in)
{
    struct lmn_cbor_document d;
    uint64_t v = 0;

    *rev = 0;
    if (insist(client, "GET", path, NULL, in) != 200 ||
        lmn_cbor_parse(&d, in->data, in->len) != 0)
        return 0;
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), field), &v);
    *rev = count_of(&d, lmn_cbor_root(&d), WIRE_VERSION);
    lmn_cbor_free(&d);
    return v;
}

static void note_incarnation(struct lmn_gateway_records *b,
                             struct lmn_http_client *client, uint64_t revision,
                             GByteArray *in)
{
    GByteArray *q = g_byte_array_new();

    lmn_cbor_put_map(q, 2);
    lmn_cbor_put_text(q, WIRE_CONDITIONS), lmn_cbor_put_array(q, 2);
    put_cond(q, "g/lead", b->lead_rev), put_cond(q, "g/i", revision);
    lmn_cbor_put_text(q, WIRE_OPERATIONS), lmn_cbor_put_array(q, 1),
        lmn_cbor_put_map(q, 2);
    lmn_cbor_put_text(q, WIRE_PUT), lmn_cbor_put_text(q, "g/i");
    lmn_cbor_put_text(q, WIRE_VALUE), lmn_cbor_put_uint(q, b->incarnation);
    insist(client, "POST", WIRE_PATH_TXN, q, in);
    g_byte_array_unref(q);
}

void lmn_gateway_records_open(struct lmn_gateway_records *b, const char *state,
                              const char *gateway, int txn_ops, bool *restored)
{
    struct lmn_http_client *client = lmn_http_client_new(state);
    GByteArray *in = g_byte_array_new();
    uint64_t revision, was;

    memset(b, 0, sizeof *b);
    g_strlcpy(b->state, state, sizeof b->state);
    b->txn_ops = txn_ops;
    pthread_mutex_init(&b->lock, NULL);
    lmn_cond_init(&b->idle);
    b->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    b->guests = g_hash_table_new(g_str_hash, g_str_equal);
    b->open_jobs = g_hash_table_new(g_str_hash, g_str_equal);
    b->open_guests = g_hash_table_new(g_str_hash, g_str_equal);
    b->evicted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    while (!b->lead_rev) {
        b->lease = new_lease(client, in);
        struct timespec begun = lmn_now();
        while (b->lease && !b->lead_rev &&
               lmn_time_diff_s(lmn_now(), begun) < TTL_S / 2) {
            b->lead_rev = try_lead(client, gateway, b->lease, in);
            if (!b->lead_rev)
                lmn_sleep(0.3);
        }
    }
    lmn_thread(keep_lease, b);
    b->incarnation = read_number(client, "/incarnation", "Incarnation", &revision, in);
    was = read_number(client, WIRE_PATH_STORE "/g/i", WIRE_VALUE, &revision, in);
    *restored = revision && was != b->incarnation;
    read_all(b, client);
    if (!revision)
        note_incarnation(b, client, revision, in);
    lmn_info("lead gateway=%s jobs=%u guests=%u restored=%d", gateway,
             g_hash_table_size(b->jobs), g_hash_table_size(b->guests), *restored);
    lmn_http_client_free(client);
    g_byte_array_unref(in);
}

/* --- taking --- */

struct lmn_gateway_job *lmn_gateway_records_take_job(struct lmn_gateway_records *b,
                                                     const char *ref)
{
    struct lmn_gateway_job *j;

    while ((j = g_hash_table_lookup(b->jobs, ref)) && j->busy)
        pthread_cond_wait(&b->idle, &b->lock);
    if (j)
        j->busy = true;
    return j;
}

struct lmn_remote_job *lmn_gateway_records_take_remote_job(struct lmn_gateway_records *b,
                                                           const char *home,
                                                           const char *ref)
{
    char key[LMN_NAME_SIZE + LMN_JOB_ID_SIZE + 2];
    struct lmn_remote_job *g;

    g_snprintf(key, sizeof key, "%s/%s", home, ref);
    while ((g = g_hash_table_lookup(b->guests, key)) && g->busy)
        pthread_cond_wait(&b->idle, &b->lock);
    if (g)
        g->busy = true;
    return g;
}

static void copy_spec(struct lmn_job_spec *spec, const struct lmn_job_spec *from)
{
    *spec = *from;
    spec->class_name = g_strdup(from->class_name);
    spec->team = g_strdup(from->team);
    spec->image = g_strdup(from->image);
    spec->zone = g_strdup(from->zone);
    spec->machine_types = g_strdupv(from->machine_types);
}

struct lmn_gateway_job *lmn_gateway_records_new_job(struct lmn_gateway_records *b,
                                                    const struct lmn_job_spec *spec)
{
    if (g_hash_table_contains(b->jobs, spec->id))
        return NULL;
    struct lmn_gateway_job *j = g_new0(struct lmn_gateway_job, 1);
    g_strlcpy(j->ref, spec->id, sizeof j->ref);
    copy_spec(&j->spec, spec);
    j->busy = true;
    j->at = lmn_time_seconds(lmn_wall_clock_now());
    j->progress.known = lmn_now();
    g_hash_table_insert(b->jobs, j->ref, j);
    sort_job(b, j);
    return j;
}

struct lmn_remote_job *lmn_gateway_records_new_remote_job(struct lmn_gateway_records *b,
                                                          const char *home,
                                                          const char *ref)
{
    struct lmn_remote_job *g = g_new0(struct lmn_remote_job, 1);

    g->key = g_strdup_printf("%s/%s", home, ref);
    /* A bound on what other sites can make this one remember. */
    if (g_hash_table_size(b->guests) >= MOST_GUESTS ||
        g_hash_table_contains(b->guests, g->key)) {
        g_free(g->key);
        g_free(g);
        return NULL;
    }
    g_strlcpy(g->home, home, sizeof g->home);
    g_strlcpy(g->ref, ref, sizeof g->ref);
    g->busy = true;
    g_hash_table_insert(b->guests, g->key, g);
    return g;
}

void lmn_gateway_records_release_job(struct lmn_gateway_records *b,
                                     struct lmn_gateway_job *j)
{
    j->busy = false;
    pthread_cond_broadcast(&b->idle);
}

void lmn_gateway_records_release_remote_job(struct lmn_gateway_records *b,
                                            struct lmn_remote_job *g)
{
    g->busy = false;
    pthread_cond_broadcast(&b->idle);
}

void lmn_remote_job_local_id(const char *home, const char *ref, uint64_t epoch,
                             char *local)
{
    char *what = g_strdup_printf("%s/%s/%" G_GUINT64_FORMAT, home, ref, epoch);
    char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, what, -1);
    char half[16] = "";

    /* 18 digits of the first 60 bits: as many as a job's name has room for. */
    memcpy(half, hex, 15);
    g_snprintf(local, LMN_JOB_ID_SIZE, WIRE_JOB_ID_PREFIX "%018" G_GUINT64_FORMAT,
               (uint64_t)(g_ascii_strtoull(half, NULL, 16) % 1000000000000000000ull));
    g_free(what);
    g_free(hex);
}

/* --- writing --- */

static char *key_of(const struct lmn_record_write *w)
{
    return w->job ? g_strdup_printf("g/j/%s", w->job->ref)
                  : g_strdup_printf("g/f/%s", w->guest->key);
}

static GByteArray *value_of(const struct lmn_record_write *w)
{
    return w->job ? job_record(w->job, &w->home) : guest_record(w->guest, &w->host);
}

/* One transaction of them; the status. */
static int send(struct lmn_gateway_records *b, struct lmn_http_client *client,
                const struct lmn_record_write *w, unsigned n, uint64_t *rev,
                GByteArray *in)
{
    GByteArray *q = g_byte_array_new();
    struct lmn_cbor_document d;

    lmn_cbor_put_map(q, 2);
    lmn_cbor_put_text(q, WIRE_CONDITIONS), lmn_cbor_put_array(q, n + 1);
    put_cond(q, "g/lead", b->lead_rev);
    for (unsigned i = 0; i < n; i++) {
        char *key = key_of(&w[i]);
        put_cond(q, key, w[i].job ? w[i].job->rev : w[i].guest->rev);
        g_free(key);
    }
    lmn_cbor_put_text(q, WIRE_OPERATIONS), lmn_cbor_put_array(q, n);
    for (unsigned i = 0; i < n; i++) {
        char *key = key_of(&w[i]);
        GByteArray *v = value_of(&w[i]);
        lmn_cbor_put_map(q, 2);
        lmn_cbor_put_text(q, WIRE_PUT), lmn_cbor_put_text(q, key);
        lmn_cbor_put_text(q, WIRE_VALUE), g_byte_array_append(q, v->data, v->len);
        g_byte_array_unref(v);
        g_free(key);
    }
    int status = insist(client, "POST", WIRE_PATH_TXN, q, in);
    if (status == 200 && lmn_cbor_parse(&d, in->data, in->len) == 0) {
        *rev = count_of(&d, lmn_cbor_root(&d), WIRE_REVISION);
        lmn_cbor_free(&d);
    }
    g_byte_array_unref(q);
    return status;
}

/* A conflict where only this gateway writes: an earlier try of the same, without an
 * answer, was applied. Whether it was shows the record. */
static bool was_written(struct lmn_http_client *client, const struct lmn_record_write *w,
                        uint64_t *rev, GByteArray *in)
{
    char *key = key_of(w), *path = g_strdup_printf(WIRE_PATH_STORE "/%s", key);
    GByteArray *v = value_of(w), *is = g_byte_array_new();
    struct lmn_cbor_document d;
    bool same = false;

    if (insist(client, "GET", path, NULL, in) == 200 &&
        lmn_cbor_parse(&d, in->data, in->len) == 0) {
        const struct lmn_cbor_value *node =
            lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_VALUE);
        *rev = count_of(&d, lmn_cbor_root(&d), WIRE_VERSION);
        if (node)
            lmn_cbor_put_value(is, &d, node);
        same = is->len == v->len && !memcmp(is->data, v->data, v->len);
        lmn_cbor_free(&d);
    }
    g_byte_array_unref(v);
    g_byte_array_unref(is);
    g_free(key);
    g_free(path);
    return same;
}

static void install(struct lmn_gateway_records *b, struct lmn_record_write *w,
                    uint64_t revision)
{
    w->ok = true;
    if (w->job) {
        w->job->hand = w->home;
        sort_job(b, w->job);
        w->job->rev = revision;
    } else {
        if (w->host.epoch != w->guest->hand.epoch) {
            w->guest->handed = w->guest->leashed = false;
            w->guest->progress = (struct lmn_progress){0};
        }
        w->guest->hand = w->host;
        sort_guest(b, w->guest);
        w->guest->rev = revision;
        lmn_remote_job_local_id(w->guest->home, w->guest->ref, w->host.epoch,
                                w->guest->local);
    }
    b->writes++;
}

static void put_back(struct lmn_gateway_records *b, struct lmn_record_write *w)
{
    if (w->job && !w->job->rev) {
        g_hash_table_remove(b->jobs, w->job->ref);
        g_hash_table_remove(b->open_jobs, w->job->ref);
        lmn_job_spec_clear(&w->job->spec);
        g_clear_pointer(&w->job, g_free);
        pthread_cond_broadcast(&b->idle);
    } else if (w->guest && !w->guest->rev) {
        g_hash_table_remove(b->guests, w->guest->key);
        g_hash_table_remove(b->open_guests, w->guest->key);
        lmn_job_spec_clear(&w->guest->spec);
        g_free(w->guest->key);
        g_clear_pointer(&w->guest, g_free);
        pthread_cond_broadcast(&b->idle);
    } else if (w->job) {
        lmn_gateway_records_release_job(b, w->job);
    } else {
        lmn_gateway_records_release_remote_job(b, w->guest);
    }
}

void lmn_gateway_records_write(struct lmn_gateway_records *b,
                               struct lmn_http_client *client, struct lmn_record_write *w,
                               unsigned n)
{
    GByteArray *in = g_byte_array_new();

    for (unsigned at = 0; at < n;) {
        /* Descriptions may be long: what goes together stays well below a transaction's
         * size. */
        unsigned k = MIN(n - at, (unsigned)MIN(b->txn_ops, 24));
        uint64_t revision = 0;
        int status = send(b, client, w + at, k, &revision, in);
        for (unsigned i = 0; i < k; i++) {
            struct lmn_record_write *x = &w[at + i];
            uint64_t own = revision;
            bool ok = status == 200;
            if (!ok && k > 1)
                ok = send(b, client, x, 1, &own, in) == 200;
            if (!ok)
                ok = was_written(client, x, &own, in);
            pthread_mutex_lock(&b->lock);
            if (ok)
                install(b, x, own);
            else
                b->conflicts++;
            put_back(b, x);
            pthread_mutex_unlock(&b->lock);
        }
        at += k;
    }
    g_byte_array_unref(in);
}

/* --- peers that are evicted --- */

void lmn_gateway_records_evict(struct lmn_gateway_records *b,
                               struct lmn_http_client *client, const char *site, bool out)
{
    GByteArray *q = g_byte_array_new(), *in = g_byte_array_new();
    char *key = g_strdup_printf("g/e/%s", site);

    lmn_cbor_put_map(q, 2);
    lmn_cbor_put_text(q, WIRE_CONDITIONS), lmn_cbor_put_array(q, 1),
        put_cond(q, "g/lead", b->lead_rev);
    lmn_cbor_put_text(q, WIRE_OPERATIONS), lmn_cbor_put_array(q, 1),
        lmn_cbor_put_map(q, out ? 2 : 1);
    lmn_cbor_put_text(q, out ? WIRE_PUT : WIRE_DELETE), lmn_cbor_put_text(q, key);
    if (out)
        lmn_cbor_put_text(q, WIRE_VALUE), lmn_cbor_put_bool(q, true);
    /* Said again, it is the same: an answer that was lost does no harm. */
    if (insist(client, "POST", WIRE_PATH_TXN, q, in) == 200) {
        pthread_mutex_lock(&b->lock);
        if (out)
            g_hash_table_add(b->evicted, g_strdup(site));
        else
            g_hash_table_remove(b->evicted, site);
        pthread_mutex_unlock(&b->lock);
    }
    g_free(key);
    g_byte_array_unref(q);
    g_byte_array_unref(in);
}

bool lmn_gateway_records_is_evicted(const struct lmn_gateway_records *b, const char *site)
{
    return g_hash_table_contains(b->evicted, site);
}
