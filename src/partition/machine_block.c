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

static struct lmn_machine_block *block_at(struct lmn_partition *p, guint id)
{
    while (p->blocks->len <= id)
        g_ptr_array_add(p->blocks, NULL);
    if (!p->blocks->pdata[id]) {
        struct lmn_machine_block *b = g_new0(struct lmn_machine_block, 1);
        b->id = id;
        b->machines = g_ptr_array_new();
        p->blocks->pdata[id] = b;
    }
    return p->blocks->pdata[id];
}

static void put_in(struct lmn_machine_block *b, struct lmn_machine *m)
{
    m->block = b;
    g_ptr_array_add(b->machines, m);
    b->bytes += lmn_machine_record_size(m);
}

/* The machine's first block with room. It stays there: a write whose outcome is not known
 * may yet be applied, and must not find the machine recorded elsewhere meanwhile. */
static void assign(const struct lmn_core *c, struct lmn_partition *p,
                   struct lmn_machine *m)
{
    size_t most = MIN((size_t)(c->cfg->value_kb * 512), 16384);
    guint id = 0;

    while (id < p->blocks->len && p->blocks->pdata[id] &&
           block_at(p, id)->bytes + lmn_machine_record_size(m) > most)
        id++;
    put_in(block_at(p, id), m);
}

static void read_machine(struct lmn_partition *p, struct lmn_machine_block *b,
                         const struct lmn_cbor_document *d,
                         const struct lmn_cbor_value *n, uint64_t rev,
                         struct timespec now)
{
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE] = "";

    n = lmn_cbor_first_child(d, n);
    if (!lmn_cbor_get_text(n, name, sizeof name))
        return;
    struct lmn_machine *m = g_hash_table_lookup(p->machines, name);
    if (!m) {
        m = lmn_machine_new(p, name);
        m->first = now;
    }
    if (!m->rev) {
        lmn_machine_leave_block(m);
        n = lmn_cbor_next(d, n), lmn_cbor_get_text(n, addr, sizeof addr);
        lmn_machine_set_address(m, addr);
        n = lmn_cbor_next(d, n), lmn_cbor_get_text(n, m->type_name, sizeof m->type_name);
        n = lmn_cbor_next(d, n), lmn_cbor_get_text(n, m->zone, sizeof m->zone);
        n = lmn_cbor_next(d, n), lmn_cbor_get_bool(n, &m->spot);
        put_in(b, m);
        m->rev = rev;
    }
    m->block_rev = rev;
}

/* Machines that the record does not name any more, and those that were gone before they
 * were recorded. */
static void drop_others(struct lmn_core *c, struct lmn_machine_block *b, uint64_t rev,
                        struct timespec now)
{
    for (guint i = b->machines->len; i-- > 0;) {
        struct lmn_machine *m = b->machines->pdata[i];
        if (m->block_rev == rev || (!m->rev && !m->is_gone))
            continue;
        lmn_machine_requeue_tasks(c, m, "record removed", now);
        g_hash_table_remove(m->part->machines, m->name);
    }
}

void lmn_machine_block_apply(struct lmn_core *c, struct lmn_partition *p,
                             unsigned long id, const struct lmn_cbor_document *d,
                             const struct lmn_cbor_value *v, uint64_t rev,
                             struct timespec now)
{
    if (id >= LMN_MAX_BLOCKS)
        return;
    struct lmn_machine_block *b = block_at(p, (guint)id);
    b->gen = c->gen;
    if (b->rev >= rev)
        return;
    for (const struct lmn_cbor_value *n = v ? lmn_cbor_first_child(d, v) : NULL; n;
         n = lmn_cbor_next(d, n))
        read_machine(p, b, d, n, rev, now);
    drop_others(c, b, rev, now);
    b->rev = v ? rev : 0;
    b->writing = false;
}

void lmn_machine_block_sweep(struct lmn_core *c, struct lmn_partition *p,
                             struct timespec now)
{
    for (guint i = 0; i < p->blocks->len; i++) {
        struct lmn_machine_block *b = p->blocks->pdata[i];
        if (!b || b->gen == c->gen || !b->rev)
            continue;
        b->rev = 0;
        b->writing = false;
        drop_others(c, b, UINT64_MAX, now);
    }
}

void lmn_machine_blocks_reset(struct lmn_partition *p)
{
    for (guint i = 0; i < p->blocks->len; i++) {
        struct lmn_machine_block *b = p->blocks->pdata[i];
        if (b)
            b->writing = false;
        if (b)
            b->retry = b->written = (struct timespec){0, 0};
    }
}

struct block_ref {
    struct lmn_core *c;
    int part;
    guint id;
};

static void block_written(void *arg, struct lmn_txn *t, enum lmn_txn_outcome outcome,
                          uint64_t rev)
{
    struct block_ref *w = arg;
    (void)t;
    (void)rev;

    pthread_mutex_lock(&w->c->lock);
    struct lmn_machine_block *b = block_at(&w->c->parts[w->part], w->id);
    /* After a success it is the mirror that ends the write. */
    if (outcome != LMN_TXN_COMMITTED) {
        b->writing = false;
        b->retry = lmn_time_add(lmn_now(), 0.3);
    }
    pthread_mutex_unlock(&w->c->lock);
    g_free(w);
}

static void write_block(struct lmn_core *c, struct lmn_partition *p,
                        struct lmn_machine_block *b, enum lmn_write_priority rank)
{
    struct block_ref *w = g_new0(struct block_ref, 1);
    GByteArray *v = g_byte_array_new();
    char key[64];
    guint n = 0;

    for (guint i = 0; i < b->machines->len; i++)
        n += !((struct lmn_machine *)b->machines->pdata[i])->is_gone;
    lmn_cbor_put_array(v, n);
    for (guint i = 0; i < b->machines->len; i++) {
        const struct lmn_machine *m = b->machines->pdata[i];
        if (m->is_gone)
            continue;
        lmn_cbor_put_array(v, 5);
        lmn_cbor_put_text(v, m->name);
        lmn_cbor_put_text(v, m->addr);
        lmn_cbor_put_text(v, m->type_name);
        lmn_cbor_put_text(v, m->zone);
        lmn_cbor_put_bool(v, m->spot);
    }
    *w = (struct block_ref){c, p->id, b->id};
    struct lmn_txn *t = lmn_txn_new(rank, block_written, w);
    g_snprintf(key, sizeof key, "o/%d", p->id);
    lmn_txn_require_version(t, key, p->my_rev);
    g_snprintf(key, sizeof key, "m/%d/%u", p->id, b->id);
    lmn_txn_require_version(t, key, b->rev);
    lmn_txn_put(t, key, v, 0);
    b->writing = true;
    lmn_kv_client_submit(c->state, t);
}

void lmn_machine_blocks_flush(struct lmn_core *c, struct lmn_partition *p, bool lazy,
                              struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *m = v;
        if (!m->block && !m->is_gone && m->heard && m->type)
            assign(c, p, m);
    }
    for (guint i = 0; i < p->blocks->len; i++) {
        struct lmn_machine_block *b = p->blocks->pdata[i];
        guint add = 0, drop = 0;
        if (!b || b->writing || lmn_time_before(now, b->retry))
            continue;
        for (guint k = 0; k < b->machines->len; k++) {
            const struct lmn_machine *m = b->machines->pdata[k];
            add += !m->rev && !m->is_gone;
            drop += m->rev && m->is_gone;
        }
        double since = lmn_time_diff_s(now, b->written);
        if (!(add && since >= ADD_S) && !(drop && lazy && since >= DROP_S))
            continue;
        b->written = now;
        write_block(c, p, b, add ? LMN_WRITE_OWNER : LMN_WRITE_DEFERRABLE);
    }
}
