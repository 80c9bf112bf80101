/* The simulated state service: conditional transactions, leases, and a log of changes
 * that controllers watch. */
#include "state/records.h"
#include "simulation.h"

#include <stdlib.h>
#include <string.h>

void simulation_store_put(const char *key, const GByteArray *value, uint64_t lease)
{
    struct stored_value *stored = g_hash_table_lookup(simulation.store, key);
    struct event *event = g_new0(struct event, 1);

    if (!stored) {
        stored = g_new0(struct stored_value, 1);
        g_hash_table_insert(simulation.store, g_strdup(key), stored);
    }
    if (stored->value)
        g_byte_array_unref(stored->value);
    stored->value = NULL;
    if (value) {
        stored->value = g_byte_array_new();
        g_byte_array_append(stored->value, value->data, value->len);
    }
    stored->revision = simulation.revision;
    stored->lease = lease;
    event->key = g_strdup(key);
    if (stored->value)
        event->value = g_byte_array_ref(stored->value);
    event->revision = simulation.revision;
    g_ptr_array_add(simulation.events, event);
    digest_message("event", simulation.clock);
    digest_text(key);
    digest_array(value);
    digest_number(simulation.revision);
    digest_number(lease);
}

bool simulation_lease_is_alive(uint64_t id)
{
    for (guint i = 0; i < simulation.leases->len; i++)
        if (g_array_index(simulation.leases, struct store_lease, i).id == id)
            return true;
    return false;
}

static void check_condition(void *arg, const char *key, uint64_t version)
{
    struct stored_value *stored = g_hash_table_lookup(simulation.store, key);
    uint64_t current = stored && stored->value ? stored->revision : 0;
    if (current != version)
        *(bool *)arg = false;
}

static void collect_failed(void *arg, const char *key, uint64_t version)
{
    bool holds = true;

    check_condition(&holds, key, version);
    if (!holds)
        g_ptr_array_add(arg, g_strdup(key));
}

static void check_lease_is_alive(void *arg, const char *key, const GByteArray *value,
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

static enum lmn_txn_outcome execute(const struct lmn_txn *txn, bool late,
                                    uint64_t *revision)
{
    bool holds = true;

    lmn_txn_foreach_operation(txn, check_lease_is_alive, &holds);
    if (!holds)
        return LMN_TXN_REJECTED;
    lmn_txn_foreach_condition(txn, check_condition, &holds);
    if (!holds && !(late && simulation.disabled_guard == GUARD_LATE_WRITE))
        return LMN_TXN_CONFLICT;
    *revision = ++simulation.revision;
    lmn_txn_foreach_operation(txn, apply_change, NULL);
    return LMN_TXN_COMMITTED;
}

static enum lmn_txn_outcome commit(const struct lmn_txn *txn, bool late,
                                   uint64_t *revision)
{
    enum lmn_txn_outcome outcome = execute(txn, late, revision);

    digest_transaction("transaction", simulation.clock, txn);
    digest_outcome(outcome);
    return outcome;
}

enum lmn_txn_outcome simulation_commit(const struct lmn_txn *txn, uint64_t *revision)
{
    return commit(txn, false, revision);
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

/* --- lost responses --- */

struct changed_keys {
    bool changed[128]; /* by first letter: whether a key that begins with it is changed */
    bool new_job;
};

static void note_changed_key(void *arg, const char *key, const GByteArray *value,
                             uint64_t lease)
{
    (void)value;
    (void)lease;
    ((struct changed_keys *)arg)->changed[key[0] & 127] = true;
}

static void note_new_job(void *arg, const char *key, uint64_t version)
{
    if (key[0] == 'j' && version == 0)
        ((struct changed_keys *)arg)->new_job = true;
}

enum txn_kind simulation_txn_kind(const struct lmn_txn *txn)
{
    struct changed_keys keys = {0};

    lmn_txn_foreach_operation(txn, note_changed_key, &keys);
    lmn_txn_foreach_condition(txn, note_new_job, &keys);
    if (keys.changed['j'] && keys.new_job)
        return TXN_SUBMISSION;
    return keys.changed['o']   ? TXN_OWNERSHIP
           : keys.changed['q'] ? TXN_QUOTA
           : keys.changed['m'] ? TXN_MACHINE_BLOCK
           : keys.changed['b'] ? TXN_STANDBY
           : keys.changed['u'] ? TXN_SUSPICION
           : keys.changed['n'] ? TXN_MEMBER_RECORD
           : keys.changed['r'] ? TXN_RANGE
                               : TXN_CANCELLATION;
}

const char *simulation_txn_name(enum txn_kind kind)
{
    static const char *const names[TXN_KIND_COUNT] = {
        "submission",    "cancellation", "ownership", "quota",        "range",
        "machine block", "standby",      "suspicion", "member record"};

    return names[kind];
}

bool simulation_response_is_lost(const struct lmn_txn *txn, double random_value)
{
    return simulation.now < simulation.lost_responses_until && random_value >= 0.4 &&
           random_value < 0.8 &&
           (simulation.lost_response_kind == TXN_KIND_COUNT ||
            simulation.lost_response_kind == (int)simulation_txn_kind(txn));
}

enum lmn_txn_outcome simulation_commit_without_response(struct node *node,
                                                        const struct lmn_txn *txn)
{
    uint64_t revision;

    if (simulation_commit(txn, &revision) != LMN_TXN_COMMITTED)
        return LMN_TXN_UNKNOWN;
    simulation.lost_responses[simulation_txn_kind(txn)]++;
    if (simulation.crash_on_lost_response && simulation_chance(0.2))
        node->crashes_next_step = true;
    return simulation.disabled_guard == GUARD_LOST_RESPONSE ? LMN_TXN_CONFLICT
                                                            : LMN_TXN_UNKNOWN;
}

enum lmn_txn_outcome simulation_send_txn(struct node *node, const struct lmn_txn *txn,
                                         double random_value, uint64_t *revision)
{
    digest_transaction("sending", simulation.clock, txn);
    digest_number((uint64_t)simulation.current_node);
    if (simulation_response_is_lost(txn, random_value))
        return simulation_commit_without_response(node, txn);
    if (simulation.now < simulation.late_writes_until && random_value < 0.3) {
        simulation_add_late_txn(txn);
        return LMN_TXN_UNKNOWN;
    }
    if (random_value < 0.04)
        return LMN_TXN_REJECTED;
    if (random_value < 0.08) { /* executed, but the response is lost */
        simulation_commit(txn, revision);
        return LMN_TXN_UNKNOWN;
    }
    if (random_value < 0.10) { /* not executed, or late, and the response is lost */
        if (random_value < 0.09)
            simulation_add_late_txn(txn);
        return LMN_TXN_UNKNOWN;
    }
    return simulation_commit(txn, revision);
}

/* --- late transactions --- */

void simulation_add_late_txn(const struct lmn_txn *txn)
{
    struct late_txn *late = g_new0(struct late_txn, 1);

    late->txn = lmn_txn_copy(txn);
    late->execute_at = simulation.now + g_rand_double_range(simulation.random, 2, 12);
    late->sender = simulation.current_node;
    late->sender_restarts = simulation.nodes[simulation.current_node].restarts;
    g_ptr_array_add(simulation.late_transactions, late);
}

static void execute_late_txns(void)
{
    for (guint i = simulation.late_transactions->len; i-- > 0;) {
        struct late_txn *late = simulation.late_transactions->pdata[i];
        uint64_t revision;
        if (late->execute_at > simulation.now)
            continue;
        bool committed = commit(late->txn, true, &revision) == LMN_TXN_COMMITTED;
        simulation.late_commits += committed;
        simulation.ended_sender_writes +=
            simulation.nodes[late->sender].restarts != late->sender_restarts;
        lmn_txn_free(late->txn);
        g_free(late);
        g_ptr_array_remove_index_fast(simulation.late_transactions, i);
    }
}

void simulation_expire_leases(void)
{
    execute_late_txns();
    for (guint i = simulation.leases->len; i-- > 0;) {
        struct store_lease lease =
            g_array_index(simulation.leases, struct store_lease, i);
        if (lease.expires_at > simulation.now)
            continue;
        g_array_remove_index(simulation.leases, i);
        GList *keys = g_hash_table_get_keys(simulation.store);
        simulation.revision++;
        for (GList *link = keys; link; link = link->next) {
            struct stored_value *stored =
                g_hash_table_lookup(simulation.store, link->data);
            if (stored->value && stored->lease == lease.id)
                simulation_store_put(link->data, NULL, 0);
        }
        g_list_free(keys);
    }
}

enum lmn_job_phase simulation_read_job(const struct job *job, struct lmn_job_spec *spec,
                                       uint32_t *open, double *accepted_at)
{
    char key[64];
    struct lmn_cbor_document document;
    enum lmn_job_phase phase;

    g_snprintf(key, sizeof key, "j/%s", job->id);
    const struct stored_value *stored = g_hash_table_lookup(simulation.store, key);
    assert_int_equal(lmn_cbor_parse(&document, stored->value->data, stored->value->len),
                     0);
    assert_int_equal(lmn_job_record_decode(&document, lmn_cbor_root(&document), spec,
                                           &phase, open, accepted_at),
                     0);
    lmn_cbor_free(&document);
    return phase;
}

uint64_t simulation_job_revision(const struct job *job)
{
    char key[64];

    g_snprintf(key, sizeof key, "j/%s", job->id);
    return ((const struct stored_value *)g_hash_table_lookup(simulation.store, key))
        ->revision;
}
