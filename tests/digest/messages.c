#include "messages.h"

void digest_outcome(enum lmn_txn_outcome outcome)
{
    switch (outcome) {
    case LMN_TXN_COMMITTED:
        digest_text("ok");
        break;
    case LMN_TXN_CONFLICT:
        digest_text("conflict");
        break;
    case LMN_TXN_REJECTED:
        digest_text("refused");
        break;
    case LMN_TXN_UNKNOWN:
        digest_text("unknown");
        break;
    }
}

/* --- transactions --- */

static void add_condition(void *unused, const char *key, uint64_t version)
{
    (void)unused;
    digest_text(key);
    digest_number(version);
}

static void add_change(void *unused, const char *key, const GByteArray *value,
                       uint64_t lease)
{
    (void)unused;
    digest_text(key);
    digest_array(value);
    digest_number(lease);
}

void digest_transaction(const char *kind, struct timespec now,
                        const struct lmn_txn *transaction)
{
    if (!digest_is_open())
        return;
    digest_message(kind, now);
    digest_text("if");
    lmn_txn_foreach_condition(transaction, add_condition, NULL);
    digest_text("then");
    lmn_txn_foreach_operation(transaction, add_change, NULL);
}

/* --- batches --- */

static void add_attempt(const struct lmn_attempt_snapshot *attempt)
{
    digest_text(attempt->job_id);
    digest_number(attempt->index);
    digest_number(attempt->number);
    digest_number(attempt->has_ended);
    digest_number(attempt->is_done);
}

static void add_image(const struct lmn_image_snapshot *image)
{
    digest_text(image->name);
    digest_real(image->gb);
    digest_number(image->is_present);
}

static void add_machine(const struct lmn_machine_snapshot *machine)
{
    digest_text(machine->name);
    digest_number(machine->agent_incarnation);
    digest_number(machine->is_terminated);
    digest_number(machine->is_forgotten);
    digest_number(machine->attempts->len);
    for (guint i = 0; i < machine->attempts->len; i++)
        add_attempt(&g_array_index(machine->attempts, struct lmn_attempt_snapshot, i));
    digest_number(machine->images != NULL);
    for (guint i = 0; machine->images && i < machine->images->len; i++)
        add_image(&g_array_index(machine->images, struct lmn_image_snapshot, i));
}

static const char *answer_name(enum lmn_replica_result answer)
{
    switch (answer) {
    case LMN_REPLICA_APPLIED:
        return "taken";
    case LMN_REPLICA_UNKNOWN_STREAM:
        return "unknown";
    case LMN_REPLICA_REJECTED:
        return "refused";
    }
    return NULL;
}

void digest_batch(int from, int to, struct timespec now,
                  const struct lmn_replication_batch *batch, bool heard,
                  enum lmn_replica_result answer)
{
    if (!digest_is_open())
        return;
    digest_message("batch", now);
    digest_number((uint64_t)from);
    digest_number((uint64_t)to);
    digest_number((uint64_t)batch->partition);
    digest_number(batch->epoch);
    digest_number(batch->stream);
    digest_number(batch->number);
    digest_number(batch->log_position);
    digest_number(batch->machines->len);
    for (guint i = 0; i < batch->machines->len; i++)
        add_machine(batch->machines->pdata[i]);
    digest_text(heard ? answer_name(answer) : NULL);
}
