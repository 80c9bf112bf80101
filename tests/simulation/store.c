/* The stand-in state service: conditions, leases, and a log that controllers follow. */
#include "state/records.h"
#include "simulation.h"

#include <stdlib.h>
#include <string.h>

void simulation_store_put(const char *key, const GByteArray *value, uint64_t lease)
{
    struct item *it = g_hash_table_lookup(simulation.store, key);
    struct event *e = g_new0(struct event, 1);

    if (!it) {
        it = g_new0(struct item, 1);
        g_hash_table_insert(simulation.store, g_strdup(key), it);
    }
    if (it->value)
        g_byte_array_unref(it->value);
    it->value = NULL;
    if (value) {
        it->value = g_byte_array_new();
        g_byte_array_append(it->value, value->data, value->len);
    }
    it->rev = simulation.revision;
    it->lease = lease;
    e->key = g_strdup(key);
    if (it->value)
        e->value = g_byte_array_ref(it->value);
    e->rev = simulation.revision;
    g_ptr_array_add(simulation.log, e);
    digest_message("event", simulation.clock);
    digest_text(key);
    digest_array(value);
    digest_number(simulation.revision);
    digest_number(lease);
}

bool simulation_lease_is_alive(uint64_t id)
{
    for (guint i = 0; i < simulation.leases->len; i++)
        if (g_array_index(simulation.leases, struct holder, i).id == id)
            return true;
    return false;
}

static void check_condition(void *arg, const char *key, uint64_t version)
{
    struct item *it = g_hash_table_lookup(simulation.store, key);
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
    if (lease && !simulation_lease_is_alive(lease))
        *(bool *)arg = false;
}

static void apply_change(void *arg, const char *key, const GByteArray *value,
                         uint64_t lease)
{
    (void)arg;
    simulation_store_put(key, value, lease);
}

static enum lmn_txn_outcome carry_out(const struct lmn_txn *txn, bool late, uint64_t *rev)
{
    bool ok = true;

    lmn_txn_foreach_operation(txn, check_lease, &ok);
    if (!ok)
        return LMN_TXN_REJECTED;
    lmn_txn_foreach_condition(txn, check_condition, &ok);
    if (!ok && !(late && simulation.disabled_guard == GUARD_LATE_WRITE))
        return LMN_TXN_CONFLICT;
    *rev = ++simulation.revision;
    lmn_txn_foreach_operation(txn, apply_change, NULL);
    return LMN_TXN_COMMITTED;
}

static enum lmn_txn_outcome commit(const struct lmn_txn *txn, bool late, uint64_t *rev)
{
    enum lmn_txn_outcome outcome = carry_out(txn, late, rev);

    digest_transaction("transaction", simulation.clock, txn);
    digest_outcome(outcome);
    return outcome;
}

enum lmn_txn_outcome simulation_commit(const struct lmn_txn *txn, uint64_t *rev)
{
    return commit(txn, false, rev);
}

enum lmn_txn_outcome simulation_confirm(const struct lmn_txn *txn, GPtrArray *failed)
{
    g_ptr_array_set_size(failed, 0);
    lmn_txn_foreach_condition(txn, collect_failed, failed);
    digest_transaction("confirmation", simulation.clock, txn);
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

enum txn_kind simulation_txn_kind(const struct lmn_txn *txn)
{
    struct keys k = {0};

    lmn_txn_foreach_operation(txn, note_key, &k);
    lmn_txn_foreach_condition(txn, note_new_job, &k);
    if (k.has['j'] && k.new_job)
        return TXN_SUBMISSION;
    return k.has['o']   ? TXN_OWNERSHIP
           : k.has['q'] ? TXN_QUOTA
           : k.has['m'] ? TXN_MACHINE_BLOCK
           : k.has['b'] ? TXN_STANDBY
           : k.has['u'] ? TXN_SUSPICION
           : k.has['n'] ? TXN_MEMBER_RECORD
           : k.has['r'] ? TXN_RANGE
                        : TXN_CANCELLATION;
}

const char *simulation_txn_name(enum txn_kind k)
{
    static const char *const names[TXN_KIND_COUNT] = {
        "acceptance", "cancellation", "claim",     "limit",        "range",
        "block",      "standby",      "suspicion", "member record"};

    return names[k];
}

bool simulation_response_is_lost(const struct lmn_txn *txn, double luck)
{
    return simulation.now < simulation.lost_until && luck >= 0.4 && luck < 0.8 &&
           (simulation.lost_kind == TXN_KIND_COUNT ||
            simulation.lost_kind == (int)simulation_txn_kind(txn));
}

enum lmn_txn_outcome simulation_commit_without_response(struct node *node,
                                                        const struct lmn_txn *txn)
{
    uint64_t revision;

    if (simulation_commit(txn, &revision) != LMN_TXN_COMMITTED)
        return LMN_TXN_UNKNOWN;
    simulation.lost[simulation_txn_kind(txn)]++;
    if (simulation.lost_ends && simulation_chance(0.2))
        node->ends = true;
    return simulation.disabled_guard == GUARD_LOST_RESPONSE ? LMN_TXN_CONFLICT
                                                            : LMN_TXN_UNKNOWN;
}

enum lmn_txn_outcome simulation_send_txn(struct node *node, const struct lmn_txn *txn,
                                         double luck, uint64_t *rev)
{
    digest_transaction("sending", simulation.clock, txn);
    digest_number((uint64_t)simulation.acting);
    if (simulation_response_is_lost(txn, luck))
        return simulation_commit_without_response(node, txn);
    if (simulation.now < simulation.late_until && luck < 0.3) {
        simulation_add_late_txn(txn);
        return LMN_TXN_UNKNOWN;
    }
    if (luck < 0.04)
        return LMN_TXN_REJECTED;
    if (luck < 0.08) { /* applied, but the answer is lost */
        simulation_commit(txn, rev);
        return LMN_TXN_UNKNOWN;
    }
    if (luck < 0.10) { /* not applied, or late, and the answer is lost */
        if (luck < 0.09)
            simulation_add_late_txn(txn);
        return LMN_TXN_UNKNOWN;
    }
    return simulation_commit(txn, rev);
}

/* --- transactions that are late --- */

void simulation_add_late_txn(const struct lmn_txn *txn)
{
    struct late *l = g_new0(struct late, 1);

    l->txn = lmn_txn_copy(txn);
    l->at = simulation.now + g_rand_double_range(simulation.random, 2, 12);
    l->writer = simulation.acting;
    l->life = simulation.nodes[simulation.acting].restarts;
    g_ptr_array_add(simulation.late_transactions, l);
}

static void carry_out_late(void)
{
    for (guint i = simulation.late_transactions->len; i-- > 0;) {
        struct late *l = simulation.late_transactions->pdata[i];
        uint64_t revision;
        if (l->at > simulation.now)
            continue;
        bool done = commit(l->txn, true, &revision) == LMN_TXN_COMMITTED;
        simulation.lates += done;
        simulation.ended_writers += simulation.nodes[l->writer].restarts != l->life;
        lmn_txn_free(l->txn);
        g_free(l);
        g_ptr_array_remove_index_fast(simulation.late_transactions, i);
    }
}

void simulation_expire_leases(void)
{
    carry_out_late();
    for (guint i = simulation.leases->len; i-- > 0;) {
        struct holder h = g_array_index(simulation.leases, struct holder, i);
        if (h.until > simulation.now)
            continue;
        g_array_remove_index(simulation.leases, i);
        GList *keys = g_hash_table_get_keys(simulation.store);
        simulation.revision++;
        for (GList *l = keys; l; l = l->next) {
            struct item *it = g_hash_table_lookup(simulation.store, l->data);
            if (it->value && it->lease == h.id)
                simulation_store_put(l->data, NULL, 0);
        }
        g_list_free(keys);
    }
}

enum lmn_job_phase simulation_read_job(const struct job *job, struct lmn_job_spec *spec,
                                       uint32_t *open, double *at)
{
    char key[64];
    struct lmn_cbor_document d;
    enum lmn_job_phase phase;

    g_snprintf(key, sizeof key, "j/%s", job->id);
    const struct item *it = g_hash_table_lookup(simulation.store, key);
    assert_int_equal(lmn_cbor_parse(&d, it->value->data, it->value->len), 0);
    assert_int_equal(lmn_job_read(&d, lmn_cbor_root(&d), spec, &phase, open, at), 0);
    lmn_cbor_free(&d);
    return phase;
}

uint64_t simulation_job_revision(const struct job *job)
{
    char key[64];

    g_snprintf(key, sizeof key, "j/%s", job->id);
    return ((const struct item *)g_hash_table_lookup(simulation.store, key))->rev;
}
