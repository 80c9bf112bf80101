/* The state service: keys with revisions, conditional transactions, leases. */
#include "takeover.h"

#include <stdlib.h>
#include <string.h>

/* Set when a verdict was carried out although its incarnation had been refuted. */
static bool judged_late;

int store_index(const char *key)
{
    for (int i = 0; i < KEYS; i++) {
        struct entry *e = &explored.store[i];
        if (!*e->key)
            g_strlcpy(e->key, key, sizeof e->key);
        if (!strcmp(e->key, key))
            return i;
    }
    abort();
}

void store_put(void *unused, const char *key, const GByteArray *value, uint64_t lease)
{
    struct entry *e = &explored.store[store_index(key)];
    (void)unused;

    /* The event holds the reference. */
    e->value = value ? g_byte_array_ref((GByteArray *)value) : NULL;
    e->revision = explored.revision;
    e->lease = lease;
    digest_message("event", explored.now);
    digest_text(key);
    digest_array(value);
    digest_number(explored.revision);
    digest_number(lease);
    assert_true(explored.nevents < EVENTS);
    explored.events[explored.nevents++] = *e;
}

static void check_condition(void *arg, const char *key, uint64_t version)
{
    const struct entry *e = &explored.store[store_index(key)];
    uint64_t have = e->value ? e->revision : 0;

    if (have == version)
        return;
    if (key[0] == 'n' && explored.without == GUARD_INCARNATION)
        judged_late = true;
    else if (key[0] == 'b' && explored.without == GUARD_NAMED)
        return;
    else
        *(bool *)arg = false;
}

static void check_lease(void *arg, const char *key, const GByteArray *value,
                        uint64_t lease)
{
    (void)key;
    (void)value;
    if (lease && !explored.lease_alive[lease])
        *(bool *)arg = false;
}

static enum lmn_txn_outcome carry_out(const struct lmn_txn *transaction,
                                      uint64_t *revision)
{
    bool holds = true;

    judged_late = false;
    lmn_txn_foreach_operation(transaction, check_lease, &holds);
    if (!holds)
        return LMN_TXN_REJECTED;
    lmn_txn_foreach_condition(transaction, check_condition, &holds);
    if (!holds)
        return LMN_TXN_CONFLICT;
    if (judged_late)
        explored.broken_rule = JUDGED_AFTER_REFUTATION;
    *revision = ++explored.revision;
    lmn_txn_foreach_operation(transaction, store_put, NULL);
    return LMN_TXN_COMMITTED;
}

enum lmn_txn_outcome store_commit(const struct lmn_txn *transaction, uint64_t *revision)
{
    enum lmn_txn_outcome outcome = carry_out(transaction, revision);

    digest_transaction("transaction", explored.now, transaction);
    digest_outcome(outcome);
    return outcome;
}

void store_end_lease(uint64_t lease)
{
    explored.lease_alive[lease] = false;
    explored.revision++;
    for (int i = 0; i < KEYS; i++) {
        const struct entry *e = &explored.store[i];
        if (e->value && e->lease == lease)
            store_put(NULL, e->key, NULL, 0);
    }
}
