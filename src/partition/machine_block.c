/* The records of a partition's machines, grouped into blocks. The caller holds the core's
 * lock, except for block_written, which acquires it. */
#include "partition/machine_block.h"

#include "partition/range.h"
#include "state/task_ledger.h"

#include <string.h>

/* The minimum interval between two writes of a block, which is longer if there are only
 * machines to remove: an outdated entry does no harm. */
static const double ADD_INTERVAL_S = 0.3, REMOVE_INTERVAL_S = 3.0;

/* The delay after which a write that was not committed is tried again. */
static const double RETRY_S = 0.3;

/* A block's size is limited to MAX_BLOCK_BYTES, and to half of the largest value that the
 * store accepts (max_value_kb). */
enum { MAX_BLOCK_BYTES = 16384, BYTES_PER_HALF_KB = 512 };

enum { RECORD_KEY_SIZE = 64, FIELDS_PER_MACHINE = 5 };

static struct lmn_machine_block *find_or_add_block(struct lmn_partition *partition,
                                                   guint id)
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

static void add_machine(struct lmn_machine_block *block, struct lmn_machine *machine)
{
    machine->record.block = block;
    g_ptr_array_add(block->machines, machine);
    block->bytes += lmn_machine_record_size(machine);
}

/* Adds the machine to the first block with space. The machine is never moved to another
 * block: a write of unknown outcome may still be committed, and the machine would then be
 * recorded in two blocks. */
static void assign_block(const struct lmn_core *core, struct lmn_partition *partition,
                         struct lmn_machine *machine)
{
    size_t max_bytes =
        MIN((size_t)(core->settings->max_value_kb * BYTES_PER_HALF_KB), MAX_BLOCK_BYTES);
    guint id = 0;

    while (id < partition->blocks->len && partition->blocks->pdata[id] &&
           find_or_add_block(partition, id)->bytes + lmn_machine_record_size(machine) >
               max_bytes)
        id++;
    add_machine(find_or_add_block(partition, id), machine);
}

/* Reads the machine's description from its entry in a block. `name` is the entry's first
 * field. */
static void read_description(struct lmn_machine *machine,
                             const struct lmn_cbor_document *document,
                             const struct lmn_cbor_value *name)
{
    const struct lmn_cbor_value *field = lmn_cbor_next(document, name);
    char address[LMN_ADDRESS_SIZE] = "";

    lmn_cbor_get_text(field, address, sizeof address);
    lmn_machine_set_address(machine, address);
    field = lmn_cbor_next(document, field);
    lmn_cbor_get_text(field, machine->type_name, sizeof machine->type_name);
    field = lmn_cbor_next(document, field);
    lmn_cbor_get_text(field, machine->zone, sizeof machine->zone);
    field = lmn_cbor_next(document, field);
    lmn_cbor_get_bool(field, &machine->is_spot);
}

static void read_machine(struct lmn_partition *partition, struct lmn_machine_block *block,
                         const struct lmn_cbor_document *document,
                         const struct lmn_cbor_value *entry, uint64_t revision,
                         struct timespec now)
{
    const struct lmn_cbor_value *name_field = lmn_cbor_first_child(document, entry);
    char name[LMN_NAME_SIZE];

    if (!lmn_cbor_get_text(name_field, name, sizeof name))
        return;
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);
    if (!machine) {
        machine = lmn_machine_new(partition, name);
        machine->agent.first_seen_at = now;
    }
    if (!machine->record.revision) {
        lmn_machine_leave_block(machine);
        read_description(machine, document, name_field);
        add_machine(block, machine);
        machine->record.revision = revision;
    }
    machine->record.block_revision = revision;
}

/* Removes the machines that the block's record of the given revision does not contain,
 * and those that were terminated before they were recorded. */
static void remove_unrecorded(struct lmn_core *core, struct lmn_machine_block *block,
                              uint64_t revision, struct timespec now)
{
    for (guint i = block->machines->len; i-- > 0;) {
        struct lmn_machine *machine = block->machines->pdata[i];
        if (machine->record.block_revision == revision ||
            (!machine->record.revision && !machine->lifecycle.is_terminated))
            continue;
        lmn_machine_requeue_tasks(core, machine, "machine record removed", now);
        g_hash_table_remove(machine->partition->machines, machine->name);
    }
}

void lmn_machine_block_apply(struct lmn_core *core, struct lmn_partition *partition,
                             unsigned long id, const struct lmn_cbor_document *document,
                             const struct lmn_cbor_value *value, uint64_t revision,
                             struct timespec now)
{
    if (id >= LMN_MAX_MACHINE_BLOCKS)
        return;
    struct lmn_machine_block *block = find_or_add_block(partition, (guint)id);
    block->generation = core->cache.generation;
    if (block->revision >= revision)
        return;
    for (const struct lmn_cbor_value *entry =
             value ? lmn_cbor_first_child(document, value) : NULL;
         entry; entry = lmn_cbor_next(document, entry))
        read_machine(partition, block, document, entry, revision, now);
    remove_unrecorded(core, block, revision, now);
    block->revision = value ? revision : 0;
    block->is_writing = false;
}

void lmn_machine_blocks_remove_unlisted(struct lmn_core *core,
                                        struct lmn_partition *partition,
                                        struct timespec now)
{
    for (guint i = 0; i < partition->blocks->len; i++) {
        struct lmn_machine_block *block = partition->blocks->pdata[i];
        if (!block || block->generation == core->cache.generation || !block->revision)
            continue;
        block->revision = 0;
        block->is_writing = false;
        remove_unrecorded(core, block, UINT64_MAX, now);
    }
}

void lmn_machine_blocks_reset_writes(struct lmn_partition *partition)
{
    for (guint i = 0; i < partition->blocks->len; i++) {
        struct lmn_machine_block *block = partition->blocks->pdata[i];
        if (!block)
            continue;
        block->is_writing = false;
        block->retry_at = block->written_at = (struct timespec){0, 0};
    }
}

/* Identifies the block of a write in flight. */
struct block_write {
    struct lmn_core *core;
    int partition_id;
    guint block_id;
};

static void block_written(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                          uint64_t revision)
{
    struct block_write *write = arg;
    struct lmn_core *core = write->core;
    (void)txn;
    (void)revision;

    pthread_mutex_lock(&core->lock);
    struct lmn_machine_block *block =
        find_or_add_block(&core->partitions[write->partition_id], write->block_id);
    /* After a commit, is_writing is cleared when the watch cache shows the new record. */
    if (outcome != LMN_TXN_COMMITTED) {
        block->is_writing = false;
        block->retry_at = lmn_time_add(lmn_now(), RETRY_S);
    }
    pthread_mutex_unlock(&core->lock);
    g_free(write);
}

/* Encodes the block's record, which omits terminated machines. */
static GByteArray *encode_block(const struct lmn_machine_block *block)
{
    GByteArray *record = g_byte_array_new();
    guint count = 0;

    for (guint i = 0; i < block->machines->len; i++) {
        const struct lmn_machine *machine = block->machines->pdata[i];
        count += !machine->lifecycle.is_terminated;
    }
    lmn_cbor_put_array(record, count);
    for (guint i = 0; i < block->machines->len; i++) {
        const struct lmn_machine *machine = block->machines->pdata[i];
        if (machine->lifecycle.is_terminated)
            continue;
        lmn_cbor_put_array(record, FIELDS_PER_MACHINE);
        lmn_cbor_put_text(record, machine->name);
        lmn_cbor_put_text(record, machine->address);
        lmn_cbor_put_text(record, machine->type_name);
        lmn_cbor_put_text(record, machine->zone);
        lmn_cbor_put_bool(record, machine->is_spot);
    }
    return record;
}

/* Submits a write of the block, on the conditions that this controller still owns the
 * partition and that the block's record has not changed. */
static void write_block(struct lmn_core *core, struct lmn_partition *partition,
                        struct lmn_machine_block *block, enum lmn_write_priority priority)
{
    struct block_write *write = g_new0(struct block_write, 1);
    char key[RECORD_KEY_SIZE];

    *write = (struct block_write){core, partition->id, block->id};
    struct lmn_txn *txn = lmn_txn_new(priority, block_written, write);
    g_snprintf(key, sizeof key, "o/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->ownership.revision);
    g_snprintf(key, sizeof key, "m/%d/%u", partition->id, block->id);
    lmn_txn_require_version(txn, key, block->revision);
    lmn_txn_put(txn, key, encode_block(block), 0);
    block->is_writing = true;
    lmn_kv_client_submit(core->kv_client, txn);
}

static void assign_blocks(const struct lmn_core *core, struct lmn_partition *partition)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct lmn_machine *machine = value;
        if (!machine->record.block && !machine->lifecycle.is_terminated &&
            machine->agent.has_reported && machine->type)
            assign_block(core, partition, machine);
    }
}

static void flush_block(struct lmn_core *core, struct lmn_partition *partition,
                        struct lmn_machine_block *block, bool has_spare_writes,
                        struct timespec now)
{
    guint to_add = 0, to_remove = 0;

    for (guint i = 0; i < block->machines->len; i++) {
        const struct lmn_machine *machine = block->machines->pdata[i];
        to_add += !machine->record.revision && !machine->lifecycle.is_terminated;
        to_remove += machine->record.revision && machine->lifecycle.is_terminated;
    }
    double elapsed_s = lmn_time_diff_s(now, block->written_at);
    bool add_is_due = to_add && elapsed_s >= ADD_INTERVAL_S;
    bool remove_is_due = to_remove && has_spare_writes && elapsed_s >= REMOVE_INTERVAL_S;
    if (!add_is_due && !remove_is_due)
        return;
    block->written_at = now;
    write_block(core, partition, block, to_add ? LMN_WRITE_OWNER : LMN_WRITE_DEFERRABLE);
}

void lmn_machine_blocks_flush(struct lmn_core *core, struct lmn_partition *partition,
                              bool has_spare_writes, struct timespec now)
{
    assign_blocks(core, partition);
    for (guint i = 0; i < partition->blocks->len; i++) {
        struct lmn_machine_block *block = partition->blocks->pdata[i];
        if (block && !block->is_writing && !lmn_time_before(now, block->retry_at))
            flush_block(core, partition, block, has_spare_writes, now);
    }
}
