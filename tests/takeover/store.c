/* The key-value store of the model: keys with revisions, conditional transactions and
 * leases. */
#include "takeover.h"

#include <stdlib.h>
#include <string.h>

/* Whether the transaction that is being applied would declare a member failed although
 * that member's record has changed since the transaction was built, for instance because
 * the member has refuted the suspicion. Set only while GUARD_INCARNATION is disabled:
 * otherwise such a transaction fails with LMN_TXN_CONFLICT. */
static bool failed_after_refutation;

int store_index(const char *key)
{
    for (int i = 0; i < MAX_KEYS; i++) {
        struct store_entry *entry = &model.store[i];
        if (!*entry->key)
            g_strlcpy(entry->key, key, sizeof entry->key);
        if (!strcmp(entry->key, key))
            return i;
    }
    abort();
}

void store_put(void *unused, const char *key, const GByteArray *value, uint64_t lease_id)
{
    struct store_entry *entry = &model.store[store_index(key)];
    (void)unused;

    /* This reference belongs to the event below: model_clear drops it, and the entry
     * borrows the value. */
    entry->value = value ? g_byte_array_ref((GByteArray *)value) : NULL;
    entry->revision = model.revision;
    entry->lease_id = lease_id;
    digest_message("event", model.now);
    digest_text(key);
    digest_array(value);
    digest_number(model.revision);
    digest_number(lease_id);
    assert_true(model.event_count < MAX_EVENTS);
    model.events[model.event_count++] = *entry;
}

static void check_condition(void *arg, const char *key, uint64_t expected_version)
{
    const struct store_entry *entry = &model.store[store_index(key)];
    uint64_t current_version = entry->value ? entry->revision : 0;

    if (current_version == expected_version)
        return;
    if (key[0] == 'n' && model.disabled_guard == GUARD_INCARNATION)
        failed_after_refutation = true;
    else if (key[0] == 'b' && model.disabled_guard == GUARD_RECORDED_STANDBY)
        return;
    else
        *(bool *)arg = false;
}

static void check_lease(void *arg, const char *key, const GByteArray *value,
                        uint64_t lease_id)
{
    (void)key;
    (void)value;
    if (lease_id && !model.lease_alive[lease_id])
        *(bool *)arg = false;
}

static enum lmn_txn_outcome apply_transaction(const struct lmn_txn *transaction,
                                              uint64_t *revision)
{
    bool all_hold = true;

    failed_after_refutation = false;
    lmn_txn_foreach_operation(transaction, check_lease, &all_hold);
    if (!all_hold)
        return LMN_TXN_REJECTED;
    lmn_txn_foreach_condition(transaction, check_condition, &all_hold);
    if (!all_hold)
        return LMN_TXN_CONFLICT;
    if (failed_after_refutation)
        model.violated_invariant = FAILED_AFTER_REFUTATION;
    *revision = ++model.revision;
    lmn_txn_foreach_operation(transaction, store_put, NULL);
    return LMN_TXN_COMMITTED;
}

enum lmn_txn_outcome store_commit(const struct lmn_txn *transaction, uint64_t *revision)
{
    enum lmn_txn_outcome outcome = apply_transaction(transaction, revision);

    digest_transaction("transaction", model.now, transaction);
    digest_outcome(outcome);
    return outcome;
}

void store_end_lease(uint64_t lease_id)
{
    model.lease_alive[lease_id] = false;
    model.revision++;
    for (int i = 0; i < MAX_KEYS; i++) {
        const struct store_entry *entry = &model.store[i];
        if (entry->value && entry->lease_id == lease_id)
            store_put(NULL, entry->key, NULL, 0);
    }
}
