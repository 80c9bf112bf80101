/* The records of machines, many to a block.
 *
 * Before the first start on a machine its record must stand, so that a successor knows
 * that it has to ask there. One write for each machine takes all the changes that the
 * state service grants when hundreds come up together; so an owner keeps them in blocks,
 * and what comes or goes between two writes of a block shares the next. */
#include "partition/machine_block.h"
#include "partition/range.h"
#include "state/task_ledger.h"

#include <string.h>

/* A block with machines to add is written at most this often, one with only machines to
 * drop less often: those harm nobody. */
static const double ADD_S = 0.3, DROP_S = 3.0;

static struct lmn_machine_block *block_at(struct lmn_partition *partition, guint id)
{
    while (partition->blocks->len <= id)
        g_ptr_array_add(partition->blocks, NULL);
    if (!partition->blocks->pdata[id]) {
        struct lmn_machine_block *block = g_new0(struct lmn_machine_block, 1);
        block->id = id;
        block->machines = g_ptr_array_new();
        partition->blocks->pdata[id] = block;
    }
    return partition->blocks->pdata[id];
}

static void put_in(struct lmn_machine_block *block, struct lmn_machine *machine)
{
    machine->record.block = block;
    g_ptr_array_add(block->machines, machine);
    block->bytes += lmn_machine_record_size(machine);
}

/* The machine's first block with room. It stays there: a write whose outcome is not known
 * may yet be applied, and must not find the machine recorded elsewhere meanwhile. */
static void assign(const struct lmn_core *core, struct lmn_partition *partition,
                   struct lmn_machine *machine)
{
    size_t most = MIN((size_t)(core->settings->max_value_kb * 512), 16384);
    guint id = 0;

    while (id < partition->blocks->len && partition->blocks->pdata[id] &&
           block_at(partition, id)->bytes + lmn_machine_record_size(machine) > most)
        id++;
    put_in(block_at(partition, id), machine);
}

static void read_machine(struct lmn_partition *partition, struct lmn_machine_block *block,
                         const struct lmn_cbor_document *document,
                         const struct lmn_cbor_value *node, uint64_t revision,
                         struct timespec now)
{
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE] = "";

    node = lmn_cbor_first_child(document, node);
    if (!lmn_cbor_get_text(node, name, sizeof name))
        return;
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);
    if (!machine) {
        machine = lmn_machine_new(partition, name);
        machine->agent.first_seen_at = now;
    }
    if (!machine->record.revision) {
        lmn_machine_leave_block(machine);
        node = lmn_cbor_next(document, node), lmn_cbor_get_text(node, addr, sizeof addr);
        lmn_machine_set_address(machine, addr);
        node = lmn_cbor_next(document, node),
        lmn_cbor_get_text(node, machine->type_name, sizeof machine->type_name);
        node = lmn_cbor_next(document, node),
        lmn_cbor_get_text(node, machine->zone, sizeof machine->zone);
        node = lmn_cbor_next(document, node), lmn_cbor_get_bool(node, &machine->is_spot);
        put_in(block, machine);
        machine->record.revision = revision;
    }
    machine->record.block_revision = revision;
}

/* Machines that the record does not name any more, and those that were gone before they
 * were recorded. */
static void drop_others(struct lmn_core *core, struct lmn_machine_block *block,
                        uint64_t revision, struct timespec now)
{
    for (guint i = block->machines->len; i-- > 0;) {
        struct lmn_machine *machine = block->machines->pdata[i];
        if (machine->record.block_revision == revision ||
            (!machine->record.revision && !machine->lifecycle.is_terminated))
            continue;
        lmn_machine_requeue_tasks(core, machine, "record removed", now);
        g_hash_table_remove(machine->partition->machines, machine->name);
    }
}

void lmn_machine_block_apply(struct lmn_core *core, struct lmn_partition *partition,
                             unsigned long id, const struct lmn_cbor_document *document,
                             const struct lmn_cbor_value *value, uint64_t revision,
                             struct timespec now)
{
    if (id >= LMN_MAX_BLOCKS)
        return;
    struct lmn_machine_block *block = block_at(partition, (guint)id);
    block->generation = core->cache.generation;
    if (block->revision >= revision)
        return;
    for (const struct lmn_cbor_value *node = value ? lmn_cbor_first_child(document, value)
                                                   : NULL;
         node; node = lmn_cbor_next(document, node))
        read_machine(partition, block, document, node, revision, now);
    drop_others(core, block, revision, now);
    block->revision = value ? revision : 0;
    block->is_writing = false;
}

void lmn_machine_block_sweep(struct lmn_core *core, struct lmn_partition *partition,
                             struct timespec now)
{
    for (guint i = 0; i < partition->blocks->len; i++) {
        struct lmn_machine_block *block = partition->blocks->pdata[i];
        if (!block || block->generation == core->cache.generation || !block->revision)
            continue;
        block->revision = 0;
        block->is_writing = false;
        drop_others(core, block, UINT64_MAX, now);
    }
}

void lmn_machine_blocks_reset(struct lmn_partition *partition)
{
    for (guint i = 0; i < partition->blocks->len; i++) {
        struct lmn_machine_block *block = partition->blocks->pdata[i];
        if (block)
            block->is_writing = false;
        if (block)
            block->retry_at = block->written_at = (struct timespec){0, 0};
    }
}

struct block_ref {
    struct lmn_core *c;
    int part;
    guint id;
};

static void block_written(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                          uint64_t revision)
{
    struct block_ref *w = arg;
    (void)txn;
    (void)revision;

    pthread_mutex_lock(&w->c->lock);
    struct lmn_machine_block *block = block_at(&w->c->partitions[w->part], w->id);
    /* After a success it is the mirror that ends the write. */
    if (outcome != LMN_TXN_COMMITTED) {
        block->is_writing = false;
        block->retry_at = lmn_time_add(lmn_now(), 0.3);
    }
    pthread_mutex_unlock(&w->c->lock);
    g_free(w);
}

static void write_block(struct lmn_core *core, struct lmn_partition *partition,
                        struct lmn_machine_block *block, enum lmn_write_priority priority)
{
    struct block_ref *w = g_new0(struct block_ref, 1);
    GByteArray *v = g_byte_array_new();
    char key[64];
    guint n = 0;

    for (guint i = 0; i < block->machines->len; i++)
        n += !((struct lmn_machine *)block->machines->pdata[i])->lifecycle.is_terminated;
    lmn_cbor_put_array(v, n);
    for (guint i = 0; i < block->machines->len; i++) {
        const struct lmn_machine *machine = block->machines->pdata[i];
        if (machine->lifecycle.is_terminated)
            continue;
        lmn_cbor_put_array(v, 5);
        lmn_cbor_put_text(v, machine->name);
        lmn_cbor_put_text(v, machine->address);
        lmn_cbor_put_text(v, machine->type_name);
        lmn_cbor_put_text(v, machine->zone);
        lmn_cbor_put_bool(v, machine->is_spot);
    }
    *w = (struct block_ref){core, partition->id, block->id};
    struct lmn_txn *txn = lmn_txn_new(priority, block_written, w);
    g_snprintf(key, sizeof key, "o/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->ownership.revision);
    g_snprintf(key, sizeof key, "m/%d/%u", partition->id, block->id);
    lmn_txn_require_version(txn, key, block->revision);
    lmn_txn_put(txn, key, v, 0);
    block->is_writing = true;
    lmn_kv_client_submit(core->kv_client, txn);
}

void lmn_machine_blocks_flush(struct lmn_core *core, struct lmn_partition *partition,
                              bool lazy, struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *machine = v;
        if (!machine->record.block && !machine->lifecycle.is_terminated &&
            machine->agent.has_reported && machine->type)
            assign(core, partition, machine);
    }
    for (guint i = 0; i < partition->blocks->len; i++) {
        struct lmn_machine_block *block = partition->blocks->pdata[i];
        guint add = 0, drop = 0;
        if (!block || block->is_writing || lmn_time_before(now, block->retry_at))
            continue;
        for (guint k = 0; k < block->machines->len; k++) {
            const struct lmn_machine *machine = block->machines->pdata[k];
            add += !machine->record.revision && !machine->lifecycle.is_terminated;
            drop += machine->record.revision && machine->lifecycle.is_terminated;
        }
        double since = lmn_time_diff_s(now, block->written_at);
        if (!(add && since >= ADD_S) && !(drop && lazy && since >= DROP_S))
            continue;
        block->written_at = now;
        write_block(core, partition, block, add ? LMN_WRITE_OWNER : LMN_WRITE_DEFERRABLE);
    }
}
