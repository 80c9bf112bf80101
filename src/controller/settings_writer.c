/** @file
 * Writes the operator settings by a compare-and-swap transaction on their one record, so
 * that of two operators who change different settings at the same time neither undoes the
 * other's change. */
#include "controller/settings_writer.h"
#include "util/thread.h"

#include <stdio.h>

/** Attempts at a write while concurrent changes to the record make it fail. */
enum { MAX_ATTEMPTS = 5 };
/** Delay between two attempts, so that the watch cache receives the concurrent change. */
static const double RETRY_DELAY_S = 0.2;
static const char SETTINGS_KEY[] = "s";

/** Writes the settings of the watch cache with one of them changed, in one attempt.
 * @return 0, with *outcome filled; -1 if the setting is invalid, with `error` filled */
static int write_once(struct lmn_core *core, struct lmn_http_client *client,
                      const char *name, double value, enum lmn_txn_outcome *outcome,
                      char *error, size_t error_size)
{
    uint64_t revision = 0;

    pthread_mutex_lock(&core->lock);
    struct lmn_operator_settings settings = core->cache.operator_settings;
    uint64_t cached_revision = core->cache.operator_settings_revision;
    pthread_mutex_unlock(&core->lock);
    if (lmn_operator_settings_set(&settings, name, value, error, error_size) != 0)
        return -1;
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    lmn_txn_require_version(txn, SETTINGS_KEY, cached_revision);
    lmn_txn_put(txn, SETTINGS_KEY, lmn_operator_settings_record(&settings), 0);
    *outcome = lmn_kv_client_commit(core->kv_client, client, txn, &revision, NULL);
    lmn_txn_free(txn);
    return 0;
}

static const char *failure_reason(enum lmn_txn_outcome outcome)
{
    return outcome == LMN_TXN_UNKNOWN
               ? "no answer, so the write may have been carried out"
           : outcome == LMN_TXN_REJECTED ? "the write was refused"
                                         : "conflict";
}

int lmn_operator_settings_write(struct lmn_core *core, const char *name, double value,
                                char *error, size_t error_size)
{
    struct lmn_http_client *client = lmn_http_client_new(core->settings->state_address);
    enum lmn_txn_outcome outcome = LMN_TXN_CONFLICT;
    int result = 0;

    for (int attempt = 0;
         attempt < MAX_ATTEMPTS && result == 0 && outcome == LMN_TXN_CONFLICT;
         attempt++) {
        result = write_once(core, client, name, value, &outcome, error, error_size);
        if (result == 0 && outcome == LMN_TXN_CONFLICT)
            lmn_sleep(RETRY_DELAY_S);
    }
    lmn_http_client_free(client);
    if (result != 0 || outcome == LMN_TXN_COMMITTED)
        return result;
    snprintf(
        error, error_size,
        "%s not set to %g at the key-value store %s: %s; check the setting, then retry",
        name, value, core->settings->state_address, failure_reason(outcome));
    return -1;
}
