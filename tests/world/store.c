/* The stand-in state service: conditions, leases, and a log that controllers follow. */
#include "state/records.h"
#include "world.h"

#include <stdlib.h>
#include <string.h>

void world_put(const char *key, const GByteArray *value, uint64_t lease)
{
    struct item *it = g_hash_table_lookup(w.store, key);
    struct event *e = g_new0(struct event, 1);

    if (!it) {
        it = g_new0(struct item, 1);
        g_hash_table_insert(w.store, g_strdup(key), it);
    }
    if (it->value)
        g_byte_array_unref(it->value);
    it->value = NULL;
    if (value) {
        it->value = g_byte_array_new();
        g_byte_array_append(it->value, value->data, value->len);
    }
    it->rev = w.rev;
    it->lease = lease;
    e->key = g_strdup(key);
    if (it->value)
        e->value = g_byte_array_ref(it->value);
    e->rev = w.rev;
    g_ptr_array_add(w.log, e);
    digest_message("event", w.clock);
    digest_text(key);
    digest_array(value);
    digest_number(w.rev);
    digest_number(lease);
}

bool world_lease_alive(uint64_t id)
{
    for (guint i = 0; i < w.leases->len; i++)
        if (g_array_index(w.leases, struct holder, i).id == id)
            return true;
    return false;
}

static void check_condition(void *arg, const char *key, uint64_t version)
{
    struct item *it = g_hash_table_lookup(w.store, key);
    uint64_t have = it && it->value ? it->rev : 0;
    if (have != version)
        *(bool *)arg = false;
}

static void collect_failed(void *arg, const char *key, uint64_t version)
{
    bool ok = true;

    check_condition(&ok, key, version);
    if (!ok)
        g_ptr_array_add(arg, g_strdup(key));
}

static void check_lease(void *arg, const char *key, const GByteArray *value,
                        uint64_t lease)
{
    (void)key;
    (void)value;
    if (lease && !world_lease_alive(lease))
        *(bool *)arg = false;
}

static void apply_change(void *arg, const char *key, const GByteArray *value,
                         uint64_t lease)
{
    (void)arg;
    world_put(key, value, lease);
}

static enum lmn_txn_outcome carry_out(const struct lmn_txn *txn, bool late, uint64_t *rev)
{
    bool ok = true;

    lmn_txn_foreach_operation(txn, check_lease, &ok);
    if (!ok)
        return LMN_TXN_REJECTED;
    lmn_txn_foreach_condition(txn, check_condition, &ok);
    if (!ok && !(late && w.broken == G_LATE))
        return LMN_TXN_CONFLICT;
    *rev = ++w.rev;
    lmn_txn_foreach_operation(txn, apply_change, NULL);
    return LMN_TXN_COMMITTED;
}

static enum lmn_txn_outcome commit(const struct lmn_txn *txn, bool late, uint64_t *rev)
{
    enum lmn_txn_outcome outcome = carry_out(txn, late, rev);

    digest_transaction("transaction", w.clock, txn);
    digest_outcome(outcome);
    return outcome;
}

enum lmn_txn_outcome world_commit(const struct lmn_txn *txn, uint64_t *rev)
{
    return commit(txn, false, rev);
}

enum lmn_txn_outcome world_confirm(const struct lmn_txn *txn, GPtrArray *failed)
{
    g_ptr_array_set_size(failed, 0);
    lmn_txn_foreach_condition(txn, collect_failed, failed);
    digest_transaction("confirmation", w.clock, txn);
    for (guint i = 0; i < failed->len; i++)
        digest_text(failed->pdata[i]);
    return failed->len ? LMN_TXN_CONFLICT : LMN_TXN_COMMITTED;
}

/* --- answers that are lost --- */

struct keys {
    bool has[128]; /* keys that begin with this letter are changed */
    bool new_job;
};

static void note_key(void *arg, const char *key, const GByteArray *value, uint64_t lease)
{
    (void)value;
    (void)lease;
    ((struct keys *)arg)->has[key[0] & 127] = true;
}

static void note_new_job(void *arg, const char *key, uint64_t version)
{
    if (key[0] == 'j' && version == 0)
        ((struct keys *)arg)->new_job = true;
}

enum txn_kind world_txn_kind(const struct lmn_txn *txn)
{
    struct keys k = {0};

    lmn_txn_foreach_operation(txn, note_key, &k);
    lmn_txn_foreach_condition(txn, note_new_job, &k);
    if (k.has['j'] && k.new_job)
        return TXN_ACCEPTANCE;
    return k.has['o']   ? TXN_CLAIM
           : k.has['q'] ? TXN_LIMIT
           : k.has['m'] ? TXN_BLOCK
           : k.has['b'] ? TXN_STANDBY
           : k.has['u'] ? TXN_SUSPICION
           : k.has['n'] ? TXN_MEMBER
           : k.has['r'] ? TXN_RANGE
                        : TXN_CANCELLATION;
}

const char *world_txn_name(enum txn_kind k)
{
    static const char *const names[TXN_KINDS] = {
        "acceptance", "cancellation", "claim",     "limit",        "range",
        "block",      "standby",      "suspicion", "member record"};

    return names[k];
}

bool world_loses(const struct lmn_txn *txn, double luck)
{
    return w.now < w.lost_until && luck >= 0.4 && luck < 0.8 &&
           (w.lost_kind == TXN_KINDS || w.lost_kind == (int)world_txn_kind(txn));
}

enum lmn_txn_outcome world_lose(struct node *node, const struct lmn_txn *txn)
{
    uint64_t revision;

    if (world_commit(txn, &revision) != LMN_TXN_COMMITTED)
        return LMN_TXN_UNKNOWN;
    w.lost[world_txn_kind(txn)]++;
    if (w.lost_ends && world_chance(0.2))
        node->ends = true;
    return w.broken == G_LOST ? LMN_TXN_CONFLICT : LMN_TXN_UNKNOWN;
}

enum lmn_txn_outcome world_send(struct node *node, const struct lmn_txn *txn, double luck,
                                uint64_t *rev)
{
    digest_transaction("sending", w.clock, txn);
    digest_number((uint64_t)w.acting);
    if (world_loses(txn, luck))
        return world_lose(node, txn);
    if (w.now < w.late_until && luck < 0.3) {
        world_late(txn);
        return LMN_TXN_UNKNOWN;
    }
    if (luck < 0.04)
        return LMN_TXN_REJECTED;
    if (luck < 0.08) { /* applied, but the answer is lost */
        world_commit(txn, rev);
        return LMN_TXN_UNKNOWN;
    }
    if (luck < 0.10) { /* not applied, or late, and the answer is lost */
        if (luck < 0.09)
            world_late(txn);
        return LMN_TXN_UNKNOWN;
    }
    return world_commit(txn, rev);
}

/* --- transactions that are late --- */

void world_late(const struct lmn_txn *txn)
{
    struct late *l = g_new0(struct late, 1);

    l->txn = lmn_txn_copy(txn);
    l->at = w.now + g_rand_double_range(w.r, 2, 12);
    l->writer = w.acting;
    l->life = w.nodes[w.acting].lives;
    g_ptr_array_add(w.late, l);
}

static void carry_out_late(void)
{
    for (guint i = w.late->len; i-- > 0;) {
        struct late *l = w.late->pdata[i];
        uint64_t revision;
        if (l->at > w.now)
            continue;
        bool done = commit(l->txn, true, &revision) == LMN_TXN_COMMITTED;
        w.lates += done;
        w.ended_writers += w.nodes[l->writer].lives != l->life;
        lmn_txn_free(l->txn);
        g_free(l);
        g_ptr_array_remove_index_fast(w.late, i);
    }
}

void world_expire(void)
{
    carry_out_late();
    for (guint i = w.leases->len; i-- > 0;) {
        struct holder h = g_array_index(w.leases, struct holder, i);
        if (h.until > w.now)
            continue;
        g_array_remove_index(w.leases, i);
        GList *keys = g_hash_table_get_keys(w.store);
        w.rev++;
        for (GList *l = keys; l; l = l->next) {
            struct item *it = g_hash_table_lookup(w.store, l->data);
            if (it->value && it->lease == h.id)
                world_put(l->data, NULL, 0);
        }
        g_list_free(keys);
    }
}

enum lmn_job_phase world_read_job(const struct job *job, struct lmn_job_spec *spec,
                                  uint32_t *open, double *at)
{
    char key[64];
    struct lmn_cbor_document d;
    enum lmn_job_phase phase;

    g_snprintf(key, sizeof key, "j/%s", job->ref);
    const struct item *it = g_hash_table_lookup(w.store, key);
    assert_int_equal(lmn_cbor_parse(&d, it->value->data, it->value->len), 0);
    assert_int_equal(lmn_job_read(&d, lmn_cbor_root(&d), spec, &phase, open, at), 0);
    lmn_cbor_free(&d);
    return phase;
}

uint64_t world_job_revision(const struct job *job)
{
    char key[64];

    g_snprintf(key, sizeof key, "j/%s", job->ref);
    return ((const struct item *)g_hash_table_lookup(w.store, key))->rev;
}
