/** @file
 * Parses submissions, and divides a job's tasks among the partitions. */
#include "controller/submission.h"
#include "state/core.h"
#include "state/records.h"

#include <math.h>
#include <string.h>

enum {
    RANGE_KEY_SIZE = 96,
    BYTES_PER_KB = 1024,
    BITS_PER_BYTE = 8,
    /** A range's record stores its finished tasks as a bitmap in hexadecimal text, which
     * takes one byte for four tasks. A limit of three tasks for each byte of the largest
     * value leaves room for the record's other fields. */
    TASKS_PER_VALUE_BYTE = 3,
    JSON_ELEMENT_OVERHEAD = 3, /**< quotation marks and a comma */
    MAX_OTHER_FIELDS_SIZE = 2048,
};

/** A job is not divided into ranges whose CPUs and GPUs are fewer than this share of an
 * average partition's usable capacity. Each range costs the key-value store a write at
 * its creation and another at its end, and a small job gains nothing by being divided. */
static const double MIN_RANGE_SHARE = 0.05;

/** Each partition's capacity for a job, and its load, in CPUs plus GPUs. */
struct partition_weights {
    double capacity[LMN_MAX_PARTITIONS];
    double load[LMN_MAX_PARTITIONS];
};

/** CPUs plus GPUs of the partition's machines that the job may use. */
static double usable_capacity(struct lmn_core *core,
                              const struct lmn_partition *partition,
                              const struct lmn_job_spec *spec)
{
    GHashTableIter iter;
    gpointer value;
    double capacity = 0;

    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct lmn_machine *machine = value;
        if (!machine->type)
            machine->type = lmn_machine_type_by_name(core, machine->type_name);
        if (machine->type && machine->record.revision &&
            !machine->lifecycle.is_terminated &&
            lmn_job_spec_allows(spec, machine->type, machine->zone, machine->is_spot))
            capacity += machine->type->cpus + machine->type->gpus;
    }
    return capacity;
}

/** CPUs plus GPUs of the partition's unfinished tasks according to their records in the
 * store. For owned partitions this controller knows of tasks that finished later, but
 * counting them would make these partitions seem less loaded than the others. */
static double recorded_load(const struct lmn_partition *partition)
{
    GHashTableIter iter;
    gpointer value;
    double load = 0;

    g_hash_table_iter_init(&iter, partition->ranges);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lmn_range *range = value;
        if (range->job->phase == LMN_JOB_ACTIVE)
            load += (range->end - range->first - range->done_count) *
                    (range->job->spec.cpus + range->job->spec.gpus);
    }
    return load;
}

/** Fills in the weights. If no partition has capacity for the job, all get the same.
 * @return the sum of all capacities before that; 0 if no partition has any */
static double weigh_partitions(struct lmn_core *core, const struct lmn_job_spec *spec,
                               struct partition_weights *weights)
{
    double sum = 0;

    for (int i = 0; i < core->partition_count; i++) {
        weights->capacity[i] = usable_capacity(core, &core->partitions[i], spec);
        weights->load[i] = recorded_load(&core->partitions[i]);
        sum += weights->capacity[i];
    }
    for (int i = 0; sum <= 0 && i < core->partition_count; i++)
        weights->capacity[i] = 1;
    return sum;
}

/** The number of partitions to divide the job among, according to its size. */
static int wanted_partitions(const struct lmn_core *core, const struct lmn_job_spec *spec,
                             double capacity_sum)
{
    int partition_count = core->partition_count;
    double size = spec->tasks * (spec->cpus + spec->gpus) * partition_count;

    /* While writes are delayed, a job is not divided, which saves writes: work stealing
     * spreads the tasks that one partition cannot start. A job whose tasks' placements
     * depend on each other is not divided either, because one owner has to place them
     * all. */
    if (spec->requires_one_zone || spec->spreads_over_zones ||
        lmn_kv_client_backlog_s(core->kv_client, LMN_WRITE_CLOSE) > 0)
        return 1;
    if (capacity_sum <= 0)
        return 1;
    return (int)MIN(ceil(size / (MIN_RANGE_SHARE * capacity_sum)), partition_count);
}

/** Sorts the partitions that have capacity by load relative to capacity, lowest first.
 * Partitions with equal relative load are in cyclic order from `first`, which differs
 * from job to job, so that jobs do not all begin with the same partition.
 * @param order receives the partitions' ids
 * @return the number of partitions that have capacity */
static int order_by_load(const struct partition_weights *weights, int partition_count,
                         int first, int order[LMN_MAX_PARTITIONS])
{
    int count = 0;

    for (int k = 0; k < partition_count; k++) {
        int candidate = (first + k) % partition_count, position = count;
        if (weights->capacity[candidate] <= 0)
            continue;
        double relative_load = weights->load[candidate] / weights->capacity[candidate];
        while (position > 0 &&
               relative_load < weights->load[order[position - 1]] /
                                   weights->capacity[order[position - 1]]) {
            order[position] = order[position - 1];
            position--;
        }
        order[position] = candidate;
        count++;
    }
    return count;
}

/** Divides the job's tasks, in proportion to capacity, among as many partitions as its
 * size requires, beginning with the least loaded.
 * @param task_counts receives the number of tasks for each partition */
static void divide_tasks(struct lmn_core *core, const struct lmn_job_spec *spec,
                         uint32_t task_counts[LMN_MAX_PARTITIONS])
{
    struct partition_weights weights = {0};
    int order[LMN_MAX_PARTITIONS] = {0};
    int first = (int)(g_str_hash(spec->id) % (guint)core->partition_count);
    uint32_t assigned = 0;

    memset(task_counts, 0, sizeof *task_counts * (size_t)core->partition_count);
    double sum = weigh_partitions(core, spec, &weights);
    int wanted = wanted_partitions(core, spec, sum);
    int usable = order_by_load(&weights, core->partition_count, first, order);
    /* One transaction writes the job's record and all ranges, one operation each. */
    int count =
        CLAMP(wanted, 1, MIN(usable, MAX(core->settings->max_txn_operations - 1, 1)));
    sum = 0;
    for (int k = 0; k < count; k++)
        sum += weights.capacity[order[k]];
    for (int k = 0; k < count; k++) {
        uint32_t share =
            (uint32_t)floor((double)spec->tasks * weights.capacity[order[k]] / sum + 0.5);
        task_counts[order[k]] = MIN(share, spec->tasks - assigned);
        assigned += task_counts[order[k]];
    }
    /* The tasks left over by rounding. */
    task_counts[order[0]] += spec->tasks - assigned;
}

/** Adds the record of a range with no finished tasks. */
static void put_range(struct lmn_txn *txn, int partition, const char *job_id,
                      uint32_t first, uint32_t end)
{
    const struct lmn_range range = {.first = first, .end = end};
    g_autofree uint8_t *none_done =
        g_malloc0((end - first + BITS_PER_BYTE - 1) / BITS_PER_BYTE);
    char key[RANGE_KEY_SIZE];

    g_snprintf(key, sizeof key, "r/%d/%s/%u", partition, job_id, first);
    lmn_txn_put(txn, key, lmn_range_record_encode(&range, none_done), 0);
}

struct lmn_txn *lmn_submission_txn(struct lmn_core *core, const struct lmn_job_spec *spec,
                                   double accepted_at, lmn_txn_callback *done, void *arg)
{
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_USER, done, arg);
    uint32_t task_counts[LMN_MAX_PARTITIONS], open_ranges = 0, first = 0;
    uint32_t max_range_tasks =
        (uint32_t)(core->settings->max_value_kb * BYTES_PER_KB * TASKS_PER_VALUE_BYTE);
    char job_key[RANGE_KEY_SIZE];

    divide_tasks(core, spec, task_counts);
    g_snprintf(job_key, sizeof job_key, "j/%s", spec->id);
    lmn_txn_require_version(txn, job_key, 0);
    for (int i = 0; i < core->partition_count; i++)
        while (task_counts[i] > 0) {
            uint32_t count = MIN(task_counts[i], max_range_tasks);
            put_range(txn, i, spec->id, first, first + count);
            first += count;
            task_counts[i] -= count;
            open_ranges++;
        }
    /* A watch delivers the changes in the order of the transaction's operations. If the
     * ranges came first, watch caches would see ranges of an unknown job. */
    lmn_txn_put_first(
        txn, job_key,
        lmn_job_record_encode(spec, LMN_JOB_ACTIVE, open_ranges, accepted_at));
    return txn;
}

/** Whether the job's record, in its JSON form, would exceed the store's value size. */
static bool is_too_large(const struct lmn_settings *settings,
                         const struct lmn_job_spec *spec)
{
    size_t max_size = (size_t)(settings->max_value_kb * BYTES_PER_KB), types_size = 0;
    struct lmn_cbor_document document;

    for (char **type = spec->machine_types; type && *type; type++)
        types_size += strlen(*type) + JSON_ELEMENT_OVERHEAD;
    /* All fields but the machine types are bounded, so that most records need not be
     * encoded to be checked. */
    if (types_size + MAX_OTHER_FIELDS_SIZE < max_size)
        return false;
    GByteArray *buffer = lmn_job_record_encode(spec, LMN_JOB_ACTIVE, UINT32_MAX, 1e10);
    bool is_larger = lmn_cbor_parse(&document, buffer->data, buffer->len) == 0 &&
                     lmn_cbor_json_size(&document, lmn_cbor_root(&document)) > max_size;
    lmn_cbor_free(&document);
    g_byte_array_unref(buffer);
    return is_larger;
}

void lmn_submission_parse(struct lmn_submission *submission,
                          const struct lmn_settings *settings, const guint8 *body,
                          size_t len)
{
    struct lmn_cbor_document document;

    memset(submission, 0, sizeof *submission);
    submission->spec_error = "not CBOR";
    submission->validity = LMN_SUBMISSION_NO_ID;
    if (lmn_cbor_parse(&document, body, len) != 0)
        return;
    if (lmn_job_spec_parse(&submission->spec, &document, lmn_cbor_root(&document),
                           &submission->spec_error) == 0)
        submission->validity = is_too_large(settings, &submission->spec)
                                   ? LMN_SUBMISSION_TOO_LARGE
                                   : LMN_SUBMISSION_VALID;
    else if (lmn_job_id_is_valid(submission->spec.id))
        submission->validity = LMN_SUBMISSION_MALFORMED;
    lmn_cbor_free(&document);
}

void lmn_submission_clear(struct lmn_submission *submission)
{
    lmn_job_spec_clear(&submission->spec);
}
