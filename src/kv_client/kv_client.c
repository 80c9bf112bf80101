#include "kv_client/kv_client.h"
#include "util/token_bucket.h"
#include "util/clock.h"
#include "util/in_flight.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"

#include <math.h>
#include <pthread.h>
#include <string.h>

enum { TXN_BYTES = 60000 };
static const double TXN_TIMEOUT_S = 2.0;
/* Threads that write. One alone has the way to the service to itself, so that what is
 * submitted meanwhile shares the next batch. */
enum { WRITERS = 4 };
/* A transaction of conditions alone can be sent again at any time. */
static const double CONFIRM_TIMEOUT_S = 0.6;

struct cond {
    char *key;
    uint64_t version;
};

struct change {
    char *key;
    GByteArray *value; /* NULL: remove */
    uint64_t lease;
};

struct lmn_txn {
    enum lmn_write_priority priority;
    lmn_txn_callback *done;
    void *arg;
    GArray *conds, *changes;
    size_t bytes;
    struct timespec since;
};

struct lmn_kv_client {
    const struct lmn_settings *cfg;
    pthread_mutex_t lock;
    pthread_cond_t more;
    GQueue queue[LMN_WRITE_PRIORITIES];
    double queued_changes[LMN_WRITE_PRIORITIES];
    struct lmn_token_bucket requests, writes;
    struct lmn_token_bucket lazy; /* the part of writes that what can wait may use */
    struct lmn_latency writing;   /* from a transaction's sending to its answer */
    struct lmn_in_flight flight;  /* of batches */
    struct timespec hold;         /* after a 429: nothing goes out before */
};

struct lmn_txn *lmn_txn_new(enum lmn_write_priority priority, lmn_txn_callback *done,
                            void *arg)
{
    struct lmn_txn *txn = g_new0(struct lmn_txn, 1);
    txn->priority = priority;
    txn->done = done;
    txn->arg = arg;
    txn->conds = g_array_new(FALSE, FALSE, sizeof(struct cond));
    txn->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
    txn->bytes = 32;
    return txn;
}

void lmn_txn_require_version(struct lmn_txn *txn, const char *key, uint64_t version)
{
    struct cond c = {g_strdup(key), version};
    g_array_append_val(txn->conds, c);
    txn->bytes += strlen(key) + 40;
}

void lmn_txn_put(struct lmn_txn *txn, const char *key, GByteArray *value, uint64_t lease)
{
    struct change c = {g_strdup(key), value, lease};
    g_array_append_val(txn->changes, c);
    /* The service counts bytes as JSON: numbers and quotes take more there than in CBOR.
     */
    txn->bytes += strlen(key) + 60 + value->len + value->len / 2;
}

void lmn_txn_put_first(struct lmn_txn *txn, const char *key, GByteArray *value)
{
    lmn_txn_put(txn, key, value, 0);
    struct change c = g_array_index(txn->changes, struct change, txn->changes->len - 1);
    g_array_remove_index(txn->changes, txn->changes->len - 1);
    g_array_prepend_val(txn->changes, c);
}

void lmn_txn_delete(struct lmn_txn *txn, const char *key)
{
    struct change c = {g_strdup(key), NULL, 0};
    g_array_append_val(txn->changes, c);
    txn->bytes += strlen(key) + 40;
}

void lmn_txn_free(struct lmn_txn *txn)
{
    for (guint i = 0; i < txn->conds->len; i++)
        g_free(g_array_index(txn->conds, struct cond, i).key);
    for (guint i = 0; i < txn->changes->len; i++) {
        struct change *c = &g_array_index(txn->changes, struct change, i);
        g_free(c->key);
        if (c->value)
            g_byte_array_unref(c->value);
    }
    g_array_free(txn->conds, TRUE);
    g_array_free(txn->changes, TRUE);
    g_free(txn);
}

struct lmn_txn *lmn_txn_copy(const struct lmn_txn *txn)
{
    struct lmn_txn *twin = lmn_txn_new(txn->priority, txn->done, txn->arg);

    for (guint i = 0; i < txn->conds->len; i++) {
        const struct cond *c = &g_array_index(txn->conds, struct cond, i);
        lmn_txn_require_version(twin, c->key, c->version);
    }
    for (guint i = 0; i < txn->changes->len; i++) {
        const struct change *c = &g_array_index(txn->changes, struct change, i);
        if (c->value)
            lmn_txn_put(twin, c->key, g_byte_array_ref(c->value), c->lease);
        else
            lmn_txn_delete(twin, c->key);
    }
    return twin;
}

guint lmn_txn_operation_count(const struct lmn_txn *txn)
{
    return txn->changes->len;
}

void lmn_txn_foreach_operation(const struct lmn_txn *txn,
                               void (*f)(void *arg, const char *key,
                                         const GByteArray *value, uint64_t lease),
                               void *arg)
{
    for (guint i = 0; i < txn->changes->len; i++) {
        const struct change *c = &g_array_index(txn->changes, struct change, i);
        f(arg, c->key, c->value, c->lease);
    }
}

void lmn_txn_foreach_condition(const struct lmn_txn *txn,
                               void (*f)(void *arg, const char *key, uint64_t version),
                               void *arg)
{
    for (guint i = 0; i < txn->conds->len; i++) {
        const struct cond *c = &g_array_index(txn->conds, struct cond, i);
        f(arg, c->key, c->version);
    }
}

void lmn_txn_complete(struct lmn_txn *txn, enum lmn_txn_outcome r, uint64_t revision)
{
    if (txn->done)
        txn->done(txn->arg, txn, r, revision);
    lmn_txn_free(txn);
}

struct lmn_kv_client *lmn_kv_client_new(const struct lmn_settings *settings)
{
    struct lmn_kv_client *client = g_new0(struct lmn_kv_client, 1);
    double share = 1.0 / (double)(settings->member_count + 1);
    struct timespec now = lmn_now();

    client->cfg = settings;
    pthread_mutex_init(&client->lock, NULL);
    lmn_cond_init(&client->more);
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
        g_queue_init(&client->queue[i]);
    /* Each member keeps to its part, a little less for the service's own clock. */
    lmn_token_bucket_init(&client->requests,
                          settings->state_requests_per_s * share * 0.95,
                          MAX(settings->state_requests_per_s * share * 0.5, 2), now);
    lmn_token_bucket_init(&client->writes, settings->state_writes_per_s * share * 0.95,
                          MAX(settings->state_writes_per_s * share * 0.9, 4), now);
    lmn_token_bucket_init(&client->lazy, 0.5 * client->writes.rate, client->writes.burst,
                          now);
    lmn_latency_init(&client->writing);
    client->hold = now;
    return client;
}

void lmn_kv_client_free(struct lmn_kv_client *client)
{
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
        for (struct lmn_txn *txn; (txn = g_queue_pop_head(&client->queue[i]));)
            lmn_txn_complete(txn, LMN_TXN_REJECTED, 0);
    lmn_latency_clear(&client->writing);
    pthread_cond_destroy(&client->more);
    pthread_mutex_destroy(&client->lock);
    g_free(client);
}

void lmn_kv_client_wait_for_token(struct lmn_kv_client *client)
{
    for (;;) {
        pthread_mutex_lock(&client->lock);
        double wait = lmn_token_bucket_take(&client->requests, 1, lmn_now());
        pthread_mutex_unlock(&client->lock);
        if (wait <= 0)
            return;
        lmn_sleep(wait);
    }
}

double lmn_kv_client_statistics(struct lmn_kv_client *client, struct lmn_latency *writing)
{
    double waiting = 0;

    pthread_mutex_lock(&client->lock);
    lmn_latency_copy(writing, &client->writing);
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
        waiting += client->queued_changes[i];
    pthread_mutex_unlock(&client->lock);
    return waiting;
}

void lmn_kv_client_submit(struct lmn_kv_client *client, struct lmn_txn *txn)
{
    pthread_mutex_lock(&client->lock);
    txn->since = lmn_now();
    g_queue_push_tail(&client->queue[txn->priority], txn);
    client->queued_changes[txn->priority] += txn->changes->len;
    if (txn->priority == LMN_WRITE_DEFERRABLE)
        client->lazy.level -= txn->changes->len;
    pthread_cond_signal(&client->more);
    pthread_mutex_unlock(&client->lock);
}

/* What a rank leaves in the bucket for those before it: a submission that finds the
 * bucket emptied by done sets would wait longer than its user likes. Users often come to
 * one node alone, as after a restart of all: their writes and the owners' may overdraw
 * its share by a bucket, which the other members' thrift covers; if it does not, the
 * service says 429. */
static double reserve(const struct lmn_kv_client *client,
                      enum lmn_write_priority priority)
{
    switch (priority) {
    case LMN_WRITE_DEFERRABLE:
        return 0.5 * client->writes.burst;
    case LMN_WRITE_CLOSE:
        return 0.2 * client->writes.burst;
    default:
        return -client->writes.burst;
    }
}

double lmn_kv_client_backlog_s(struct lmn_kv_client *client,
                               enum lmn_write_priority priority)
{
    double ahead = 0, wait;

    pthread_mutex_lock(&client->lock);
    for (int i = 0; i <= (int)priority; i++)
        ahead += client->queued_changes[i];
    lmn_token_bucket_refill(&client->writes, lmn_now());
    wait =
        (ahead + reserve(client, priority) - client->writes.level) / client->writes.rate;
    pthread_mutex_unlock(&client->lock);
    return MAX(wait, 0);
}

double lmn_kv_client_spare_writes(struct lmn_kv_client *client)
{
    double spare;

    pthread_mutex_lock(&client->lock);
    lmn_token_bucket_refill(&client->writes, lmn_now());
    spare = client->writes.level - reserve(client, LMN_WRITE_DEFERRABLE);
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
        spare -= client->queued_changes[i];
    lmn_token_bucket_refill(&client->lazy, lmn_now());
    spare = MIN(spare, client->lazy.level);
    pthread_mutex_unlock(&client->lock);
    return MAX(spare, 0);
}

/* Whether so many changes of the rank may go out now. More than the bucket holds take it
 * full. */
static bool affords(const struct lmn_kv_client *client, enum lmn_write_priority priority,
                    guint changes)
{
    return client->writes.level - reserve(client, priority) >=
           MIN(changes, 0.45 * client->writes.burst);
}

/* Seconds until the first transaction of some rank may go out; 0: now. */
static double until_next(struct lmn_kv_client *client, struct timespec now)
{
    double wait = INFINITY;

    lmn_token_bucket_refill(&client->writes, now);
    for (int r = 0; r < LMN_WRITE_PRIORITIES; r++) {
        const struct lmn_txn *txn = g_queue_peek_head(&client->queue[r]);
        if (!txn)
            continue;
        if (affords(client, r, txn->changes->len))
            wait = 0;
        else
            wait = MIN(wait, (reserve(client, r) +
                              MIN(txn->changes->len, 0.45 * client->writes.burst) -
                              client->writes.level) /
                                 client->writes.rate);
    }
    wait = MAX(wait, lmn_in_flight_wait(&client->flight, now));
    return MAX(wait, lmn_time_diff_s(client->hold, now));
}

static GByteArray *encode(struct lmn_txn **v, guint n)
{
    GByteArray *buffer = g_byte_array_new();
    size_t conds = 0, changes = 0;

    for (guint i = 0; i < n; i++) {
        conds += v[i]->conds->len;
        changes += v[i]->changes->len;
    }
    lmn_cbor_put_map(buffer, changes ? 2 : 1);
    lmn_cbor_put_text(buffer, WIRE_CONDITIONS);
    lmn_cbor_put_array(buffer, conds);
    for (guint i = 0; i < n; i++)
        for (guint k = 0; k < v[i]->conds->len; k++) {
            const struct cond *c = &g_array_index(v[i]->conds, struct cond, k);
            lmn_cbor_put_map(buffer, 2);
            lmn_cbor_put_text(buffer, WIRE_KEY), lmn_cbor_put_text(buffer, c->key);
            lmn_cbor_put_text(buffer, WIRE_VERSION),
                lmn_cbor_put_uint(buffer, c->version);
        }
    if (!changes)
        return buffer;
    lmn_cbor_put_text(buffer, WIRE_OPERATIONS);
    lmn_cbor_put_array(buffer, changes);
    for (guint i = 0; i < n; i++)
        for (guint k = 0; k < v[i]->changes->len; k++) {
            const struct change *c = &g_array_index(v[i]->changes, struct change, k);
            if (!c->value) {
                lmn_cbor_put_map(buffer, 1);
                lmn_cbor_put_text(buffer, WIRE_DELETE), lmn_cbor_put_text(buffer, c->key);
                continue;
            }
            lmn_cbor_put_map(buffer, c->lease ? 3 : 2);
            lmn_cbor_put_text(buffer, WIRE_PUT), lmn_cbor_put_text(buffer, c->key);
            lmn_cbor_put_text(buffer, WIRE_VALUE);
            g_byte_array_append(buffer, c->value->data, c->value->len);
            if (c->lease)
                lmn_cbor_put_text(buffer, WIRE_LEASE),
                    lmn_cbor_put_uint(buffer, c->lease);
        }
    return buffer;
}

/* Reads the answer to a transaction. Keys whose condition failed are added to conflicts.
 */
static enum lmn_txn_outcome judge(int status, const GByteArray *answer,
                                  uint64_t *revision, GPtrArray *conflicts)
{
    struct lmn_cbor_document d;

    if (status == LMN_HTTP_NOT_SENT || status == 429 || status == 503 || status == 400)
        return LMN_TXN_REJECTED;
    if (status != 200 && status != 409)
        return LMN_TXN_UNKNOWN;
    if (lmn_cbor_parse(&d, answer->data, answer->len) != 0)
        return LMN_TXN_UNKNOWN;
    enum lmn_txn_outcome r = LMN_TXN_UNKNOWN;
    const struct lmn_cbor_value *root = lmn_cbor_root(&d);
    if (lmn_cbor_get_uint(lmn_cbor_get(&d, root, WIRE_REVISION), revision))
        r = status == 200 ? LMN_TXN_COMMITTED : LMN_TXN_CONFLICT;
    const struct lmn_cbor_value *failed = lmn_cbor_get(&d, root, WIRE_CONFLICTS);
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&d, failed);
         node && conflicts; node = lmn_cbor_next(&d, node))
        if (node->type == LMN_CBOR_TEXT)
            g_ptr_array_add(conflicts, g_strndup(node->s, node->len));
    lmn_cbor_free(&d);
    return r;
}

static enum lmn_txn_outcome send_batch(struct lmn_http_client *client, struct lmn_txn **v,
                                       guint n, double timeout_s, uint64_t *revision,
                                       GPtrArray *conflicts, int *status)
{
    GByteArray *body = encode(v, n), *answer = g_byte_array_new();

    struct timespec sent = lmn_now();
    *status =
        lmn_http_client_call(client, "POST", WIRE_PATH_TXN, body, timeout_s, answer);
    lmn_debug("kv_batch_sent transactions=%u status=%d took=%.3f", n, *status,
              lmn_time_diff_s(lmn_now(), sent));
    enum lmn_txn_outcome r = judge(*status, answer, revision, conflicts);
    g_byte_array_unref(body);
    g_byte_array_unref(answer);
    return r;
}

enum lmn_txn_outcome lmn_kv_client_commit(struct lmn_kv_client *s,
                                          struct lmn_http_client *h, struct lmn_txn *txn,
                                          uint64_t *revision, GPtrArray *conflicts)
{
    int status;
    lmn_kv_client_wait_for_token(s);
    return send_batch(h, &txn, 1, txn->changes->len ? TXN_TIMEOUT_S : CONFIRM_TIMEOUT_S,
                      revision, conflicts, &status);
}

static bool touches(const struct lmn_txn *txn, const GPtrArray *keys)
{
    for (guint i = 0; i < txn->conds->len; i++)
        for (guint k = 0; k < keys->len; k++)
            if (!strcmp(g_array_index(txn->conds, struct cond, i).key, keys->pdata[k]))
                return true;
    return false;
}

/* Two transactions can share a batch unless one changes a key that the other names: the
 * conditions of a batch are all taken from before it. */
static bool collides(const struct lmn_txn *a, const struct lmn_txn *b)
{
    for (guint i = 0; i < a->changes->len; i++) {
        const char *key = g_array_index(a->changes, struct change, i).key;
        for (guint k = 0; k < b->changes->len; k++)
            if (!strcmp(key, g_array_index(b->changes, struct change, k).key))
                return true;
        for (guint k = 0; k < b->conds->len; k++)
            if (!strcmp(key, g_array_index(b->conds, struct cond, k).key))
                return true;
    }
    return false;
}

/* Takes the next batch off the queues, and its changes off the budget; the lock is held.
 */
static guint gather(struct lmn_kv_client *client, struct lmn_txn **v, guint max)
{
    size_t bytes = 0;
    guint n = 0, changes = 0, conds = 0;

    for (int r = 0; r < LMN_WRITE_PRIORITIES; r++) {
        for (GList *l = client->queue[r].head; l && n < max;) {
            struct lmn_txn *txn = l->data;
            GList *next = l->next;
            bool fits =
                affords(client, r, changes + txn->changes->len) &&
                changes + txn->changes->len <= (guint)client->cfg->max_txn_operations &&
                conds + txn->conds->len <= 4 * (guint)client->cfg->max_txn_operations &&
                bytes + txn->bytes <= TXN_BYTES;
            for (guint i = 0; i < n && fits; i++)
                fits = !collides(v[i], txn) && !collides(txn, v[i]);
            if (fits || (n == 0 && affords(client, r, txn->changes->len))) {
                v[n++] = txn;
                changes += txn->changes->len;
                conds += txn->conds->len;
                bytes += txn->bytes;
                client->queued_changes[r] -= txn->changes->len;
                g_queue_delete_link(&client->queue[r], l);
            }
            l = next;
        }
    }
    client->writes.level -= changes;
    return n;
}

struct lmn_txn *lmn_kv_client_dequeue(struct lmn_kv_client *client)
{
    struct lmn_txn *txn = NULL;

    pthread_mutex_lock(&client->lock);
    lmn_token_bucket_refill(&client->writes, lmn_now());
    gather(client, &txn, 1);
    pthread_mutex_unlock(&client->lock);
    return txn;
}

/* Waits until something may go out, and takes it. */
static guint next_batch(struct lmn_kv_client *client, struct lmn_txn **v, guint max)
{
    pthread_mutex_lock(&client->lock);
    /* Wait for the budget before choosing, so that the urgent still go first. */
    for (;;) {
        double wait = until_next(client, lmn_now());
        if (wait <= 0)
            break;
        if (isinf(wait))
            pthread_cond_wait(&client->more, &client->lock);
        else
            lmn_cond_wait_for(&client->more, &client->lock, wait + 1e-3);
    }
    guint n = gather(client, v, max);
    lmn_in_flight_begin(&client->flight, lmn_now());
    pthread_mutex_unlock(&client->lock);
    return n;
}

static void batch_answered(struct lmn_kv_client *client, struct timespec sent, int status)
{
    pthread_mutex_lock(&client->lock);
    lmn_in_flight_end(&client->flight);
    lmn_latency_add(&client->writing, lmn_time_diff_s(lmn_now(), sent));
    if (status == 429)
        client->hold = lmn_time_add(lmn_now(), 0.1 + g_random_double() * 0.2);
    pthread_mutex_unlock(&client->lock);
}

/* One of a batch that the service found unfit (an ended lease, say) goes out alone. */
static void send_alone(struct lmn_kv_client *s, struct lmn_http_client *h,
                       struct lmn_txn *txn)
{
    uint64_t revision = 0;
    enum lmn_txn_outcome r = lmn_kv_client_commit(s, h, txn, &revision, NULL);

    lmn_txn_complete(txn, r, revision);
}

static void *writer(void *arg)
{
    struct lmn_kv_client *s = arg;
    struct lmn_http_client *h = lmn_http_client_new(s->cfg->state_address);
    struct lmn_txn *v[64];

    for (;;) {
        guint n = next_batch(s, v, G_N_ELEMENTS(v));
        lmn_kv_client_wait_for_token(s);
        GPtrArray *conflicts = g_ptr_array_new_with_free_func(g_free);
        uint64_t revision = 0;
        int status;
        struct timespec sent = lmn_now();
        enum lmn_txn_outcome r =
            send_batch(h, v, n, TXN_TIMEOUT_S, &revision, conflicts, &status);
        batch_answered(s, sent, status);
        for (guint i = 0; i < n; i++) {
            if (r == LMN_TXN_CONFLICT && n > 1 && !touches(v[i], conflicts)) {
                /* It was only in bad company: it goes out again. */
                lmn_kv_client_submit(s, v[i]);
            } else if (r == LMN_TXN_REJECTED && status == 400 && n > 1) {
                send_alone(s, h, v[i]);
            } else if (status == 429 && lmn_time_diff_s(lmn_now(), v[i]->since) < 1.5) {
                lmn_kv_client_submit(s, v[i]);
            } else {
                lmn_txn_complete(v[i], r, revision);
            }
        }
        g_ptr_array_free(conflicts, TRUE);
    }
    return NULL;
}

void lmn_kv_client_start(struct lmn_kv_client *client)
{
    for (int i = 0; i < WRITERS; i++)
        lmn_thread(writer, client);
}
