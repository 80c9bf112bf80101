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
    lmn_cbor_put_text(buffer, "at"), lmn_cbor_put_number(buffer, j->accepted_at_s);
    lmn_cbor_put_text(buffer, "leash"), lmn_cbor_put_number(buffer, j->execution_lease_s);
    lmn_cbor_put_text(buffer, "state"), lmn_cbor_put_uint(buffer, h->state);
    lmn_cbor_put_text(buffer, "epoch"), lmn_cbor_put_uint(buffer, h->epoch);
    lmn_cbor_put_text(buffer, "site"), lmn_cbor_put_text(buffer, h->site);
    lmn_cbor_put_text(buffer, "incarnation"), lmn_cbor_put_uint(buffer, h->incarnation);
    lmn_cbor_put_text(buffer, "outcome"),
        lmn_cbor_put_uint(buffer, (uint64_t)h->outcome |
                                      (uint64_t)h->cancel_requested << 8 |
                                      (uint64_t)h->is_revoked << 9);
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
    lmn_cbor_put_text(buffer, "leash"), lmn_cbor_put_number(buffer, g->execution_lease_s);
    lmn_cbor_put_text(buffer, "state"), lmn_cbor_put_uint(buffer, f->state);
    lmn_cbor_put_text(buffer, "epoch"), lmn_cbor_put_uint(buffer, f->epoch);
    lmn_cbor_put_text(buffer, "floor"), lmn_cbor_put_uint(buffer, f->min_epoch);
    lmn_cbor_put_text(buffer, "outcome");
    lmn_cbor_put_uint(buffer, (uint64_t)f->outcome | (uint64_t)f->cancel_requested << 8 |
                                  (uint64_t)f->is_acknowledged << 9);
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
    if (j->origin.state != LMN_ORIGIN_FINAL)
        g_hash_table_insert(b->open_jobs, j->id, j);
    else
        g_hash_table_remove(b->open_jobs, j->id);
}

static void sort_guest(struct lmn_gateway_records *b, struct lmn_remote_job *g)
{
    if (g->execution.state == LMN_EXECUTION_RUNNING ||
        (g->execution.state == LMN_EXECUTION_FINISHED && !g->execution.is_acknowledged))
        g_hash_table_insert(b->open_remote_jobs, g->key, g);
    else
        g_hash_table_remove(b->open_remote_jobs, g->key);
}

static void read_job(struct lmn_gateway_records *b, const char *ref,
                     const struct lmn_cbor_document *document,
                     const struct lmn_cbor_value *value, uint64_t revision)
{
    struct lmn_gateway_job *j = g_new0(struct lmn_gateway_job, 1);
    uint64_t outcome = count_of(document, value, "outcome");
    const char *what;

    g_strlcpy(j->id, ref, sizeof j->id);
    if (lmn_job_spec_parse(&j->spec, document, lmn_cbor_get(document, value, "spec"),
                           &what) != 0) {
        lmn_error("record_unreadable key=g/j/%s field=%s", ref, what);
        g_free(j);
        return;
    }
    lmn_cbor_get_text(lmn_cbor_get(document, value, "digest"), j->digest,
                      sizeof j->digest);
    lmn_cbor_get_number(lmn_cbor_get(document, value, "at"), &j->accepted_at_s);
    lmn_cbor_get_number(lmn_cbor_get(document, value, "leash"), &j->execution_lease_s);
    j->origin.state = (enum lmn_origin_state)count_of(document, value, "state");
    j->origin.epoch = count_of(document, value, "epoch");
    lmn_cbor_get_text(lmn_cbor_get(document, value, "site"), j->origin.site,
                      sizeof j->origin.site);
    j->origin.incarnation = count_of(document, value, "incarnation");
    j->origin.outcome = (enum lmn_handover_outcome)(outcome & 0xff);
    j->origin.cancel_requested = outcome >> 8 & 1;
    j->origin.is_revoked = outcome >> 9 & 1;
    j->origin.transfers = (uint32_t)count_of(document, value, "transfers");
    j->revision = revision;
    g_hash_table_insert(b->jobs, j->id, j);
    sort_job(b, j);
}

static void read_guest(struct lmn_gateway_records *b, const char *key,
                       const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *value, uint64_t revision)
{
    struct lmn_remote_job *g = g_new0(struct lmn_remote_job, 1);
    uint64_t outcome = count_of(document, value, "outcome");
    const char *what, *slash = strchr(key, '/');

    if (!slash || (size_t)(slash - key) >= sizeof g->origin_site ||
        lmn_job_spec_parse(&g->spec, document, lmn_cbor_get(document, value, "spec"),
                           &what) != 0) {
        lmn_error("record_unreadable key=g/f/%s", key);
        g_free(g);
        return;
    }
    g->key = g_strdup(key);
    g_strlcpy(g->origin_site, key, (gsize)(slash - key) + 1);
    g_strlcpy(g->id, slash + 1, sizeof g->id);
    lmn_cbor_get_text(lmn_cbor_get(document, value, "digest"), g->digest,
                      sizeof g->digest);
    lmn_cbor_get_number(lmn_cbor_get(document, value, "leash"), &g->execution_lease_s);
    g->execution.state = (enum lmn_execution_state)count_of(document, value, "state");
    g->execution.epoch = count_of(document, value, "epoch");
    g->execution.min_epoch = count_of(document, value, "floor");
    g->execution.outcome = (enum lmn_handover_outcome)(outcome & 0xff);
    g->execution.cancel_requested = outcome >> 8 & 1;
    g->execution.is_acknowledged = outcome >> 9 & 1;
    g->revision = revision;
    lmn_remote_job_local_id(g->origin_site, g->id, g->execution.epoch, g->local_id);
    g_hash_table_insert(b->remote_jobs, g->key, g);
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
    struct lmn_http_client *client = lmn_http_client_new(b->state_address);
    GByteArray *in = g_byte_array_new();
    char path[64];

    g_snprintf(path, sizeof path, WIRE_PATH_LEASES "/%" G_GUINT64_FORMAT WIRE_PATH_RENEW,
               b->lease);
    for (;;) {
        if (lmn_http_client_call(client, "POST", path, NULL, 2, in) == 404) {
            /* Another may lead by now. Nothing that this one writes is taken any more. */
            lmn_error("gateway_lead_lost");
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
    put_cond(q, "g/lead", b->lead_revision), put_cond(q, "g/i", revision);
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
    g_strlcpy(b->state_address, state, sizeof b->state_address);
    b->max_txn_operations = txn_ops;
    pthread_mutex_init(&b->lock, NULL);
    lmn_cond_init(&b->record_released);
    b->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    b->remote_jobs = g_hash_table_new(g_str_hash, g_str_equal);
    b->open_jobs = g_hash_table_new(g_str_hash, g_str_equal);
    b->open_remote_jobs = g_hash_table_new(g_str_hash, g_str_equal);
    b->evicted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    while (!b->lead_revision) {
        b->lease = new_lease(client, in);
        struct timespec begun = lmn_now();
        while (b->lease && !b->lead_revision &&
               lmn_time_diff_s(lmn_now(), begun) < TTL_S / 2) {
            b->lead_revision = try_lead(client, gateway, b->lease, in);
            if (!b->lead_revision)
                lmn_sleep(0.3);
        }
    }
    lmn_thread_start_detached(keep_lease, b);
    b->incarnation = read_number(client, "/incarnation", "Incarnation", &revision, in);
    was = read_number(client, WIRE_PATH_STORE "/g/i", WIRE_VALUE, &revision, in);
    *restored = revision && was != b->incarnation;
    read_all(b, client);
    if (!revision)
        note_incarnation(b, client, revision, in);
    lmn_info("gateway_leading gateway=%s jobs=%u guests=%u restored=%d", gateway,
             g_hash_table_size(b->jobs), g_hash_table_size(b->remote_jobs), *restored);
    lmn_http_client_free(client);
    g_byte_array_unref(in);
}

/* --- taking --- */

struct lmn_gateway_job *lmn_gateway_records_take_job(struct lmn_gateway_records *b,
                                                     const char *ref)
{
    struct lmn_gateway_job *j;

    while ((j = g_hash_table_lookup(b->jobs, ref)) && j->is_taken)
        pthread_cond_wait(&b->record_released, &b->lock);
    if (j)
        j->is_taken = true;
    return j;
}

struct lmn_remote_job *lmn_gateway_records_take_remote_job(struct lmn_gateway_records *b,
                                                           const char *home,
                                                           const char *ref)
{
    char key[LMN_NAME_SIZE + LMN_JOB_ID_SIZE + 2];
    struct lmn_remote_job *g;

    g_snprintf(key, sizeof key, "%s/%s", home, ref);
    while ((g = g_hash_table_lookup(b->remote_jobs, key)) && g->is_taken)
        pthread_cond_wait(&b->record_released, &b->lock);
    if (g)
        g->is_taken = true;
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
    g_strlcpy(j->id, spec->id, sizeof j->id);
    copy_spec(&j->spec, spec);
    j->is_taken = true;
    j->accepted_at_s = lmn_time_seconds(lmn_wall_clock_now());
    j->progress.known_at = lmn_now();
    g_hash_table_insert(b->jobs, j->id, j);
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
    if (g_hash_table_size(b->remote_jobs) >= MOST_GUESTS ||
        g_hash_table_contains(b->remote_jobs, g->key)) {
        g_free(g->key);
        g_free(g);
        return NULL;
    }
    g_strlcpy(g->origin_site, home, sizeof g->origin_site);
    g_strlcpy(g->id, ref, sizeof g->id);
    g->is_taken = true;
    g_hash_table_insert(b->remote_jobs, g->key, g);
    return g;
}

void lmn_gateway_records_release_job(struct lmn_gateway_records *b,
                                     struct lmn_gateway_job *j)
{
    j->is_taken = false;
    pthread_cond_broadcast(&b->record_released);
}

void lmn_gateway_records_release_remote_job(struct lmn_gateway_records *b,
                                            struct lmn_remote_job *g)
{
    g->is_taken = false;
    pthread_cond_broadcast(&b->record_released);
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
    return w->job ? g_strdup_printf("g/j/%s", w->job->id)
                  : g_strdup_printf("g/f/%s", w->remote_job->key);
}

static GByteArray *value_of(const struct lmn_record_write *w)
{
    return w->job ? job_record(w->job, &w->origin)
                  : guest_record(w->remote_job, &w->execution);
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
    put_cond(q, "g/lead", b->lead_revision);
    for (unsigned i = 0; i < n; i++) {
        char *key = key_of(&w[i]);
        put_cond(q, key, w[i].job ? w[i].job->revision : w[i].remote_job->revision);
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
    w->is_written = true;
    if (w->job) {
        w->job->origin = w->origin;
        sort_job(b, w->job);
        w->job->revision = revision;
    } else {
        if (w->execution.epoch != w->remote_job->execution.epoch) {
            w->remote_job->is_submitted_locally = w->remote_job->is_being_stopped = false;
            w->remote_job->progress = (struct lmn_progress){0};
        }
        w->remote_job->execution = w->execution;
        sort_guest(b, w->remote_job);
        w->remote_job->revision = revision;
        lmn_remote_job_local_id(w->remote_job->origin_site, w->remote_job->id,
                                w->execution.epoch, w->remote_job->local_id);
    }
    b->writes++;
}

static void put_back(struct lmn_gateway_records *b, struct lmn_record_write *w)
{
    if (w->job && !w->job->revision) {
        g_hash_table_remove(b->jobs, w->job->id);
        g_hash_table_remove(b->open_jobs, w->job->id);
        lmn_job_spec_clear(&w->job->spec);
        g_clear_pointer(&w->job, g_free);
        pthread_cond_broadcast(&b->record_released);
    } else if (w->remote_job && !w->remote_job->revision) {
        g_hash_table_remove(b->remote_jobs, w->remote_job->key);
        g_hash_table_remove(b->open_remote_jobs, w->remote_job->key);
        lmn_job_spec_clear(&w->remote_job->spec);
        g_free(w->remote_job->key);
        g_clear_pointer(&w->remote_job, g_free);
        pthread_cond_broadcast(&b->record_released);
    } else if (w->job) {
        lmn_gateway_records_release_job(b, w->job);
    } else {
        lmn_gateway_records_release_remote_job(b, w->remote_job);
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
        unsigned k = MIN(n - at, (unsigned)MIN(b->max_txn_operations, 24));
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
        put_cond(q, "g/lead", b->lead_revision);
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
