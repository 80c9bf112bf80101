/** @file
 * Submissions: their parsing, and how a job's tasks are divided among the partitions. */
#include "controller/submission.h"
#include "state/core.h"
#include "state/records.h"

#include <math.h>
#include <string.h>

enum {
    RANGE_KEY_SIZE = 96,
    BYTES_PER_KB = 1024,
    BITS_PER_BYTE = 8,
    /** A set of finished tasks is written as hexadecimal text, a bit a task, so that a
     * byte of it holds four; with three, room is left for the record's other fields. */
    TASKS_PER_VALUE_BYTE = 3,
    JSON_ELEMENT_OVERHEAD = 3, /**< quotation marks and a comma */
    MAX_OTHER_FIELDS_SIZE = 2048,
};

/** A job is not divided into ranges smaller than this share of what an average partition
 * could give it. Each range costs the key-value store changes at its creation and at its
 * end; a small job gains nothing by being divided. */
static const double MIN_RANGE_SHARE = 0.05;

/** What each partition could give to a job, and what it still has to do, in processors.
 */
struct partition_weights {
    double capacity[LMN_MAX_PARTITIONS];
    double load[LMN_MAX_PARTITIONS];
};

/** Processors of the partition's machines that the job may use. */
static double usable_capacity(struct lmn_core *core,
                              const struct lmn_partition *partition,
                              const struct lmn_job_spec *spec)
{
    GHashTableIter it;
    gpointer value;
    double capacity = 0;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
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

/** Processors of the partition's unfinished tasks, as recorded. Of owned partitions more
 * is known, but then they would look emptier than the others. */
static double recorded_load(const struct lmn_partition *partition)
{
    GHashTableIter it;
    gpointer value;
    double load = 0;

    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_range *range = value;
        if (range->job->phase == LMN_JOB_ACTIVE)
            load += (range->end - range->first - range->done_count) *
                    (range->job->spec.cpus + range->job->spec.gpus);
    }
    return load;
}

/** @return the sum of all capacities; if no partition has any for the job, each counts
 * the same */
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

/** Among how many partitions the job is divided, by its size. */
static int wanted_partitions(const struct lmn_core *core, const struct lmn_job_spec *spec,
                             double capacity_sum)
{
    int partition_count = core->partition_count;
    double size = spec->tasks * (spec->cpus + spec->gpus) * partition_count;

    /* While writes have to wait, a job is not divided: steals will spread what one
     * partition cannot start. And one owner must see all of a job whose tasks' placements
     * depend on each other. */
    if (spec->requires_one_zone || spec->spreads_over_zones ||
        lmn_kv_client_backlog_s(core->kv_client, LMN_WRITE_CLOSE) > 0)
        return 1;
    if (capacity_sum <= 0)
        return 1;
    return (int)MIN(ceil(size / (MIN_RANGE_SHARE * capacity_sum)), partition_count);
}

/** Orders the partitions with capacity by their load in proportion to it, the least
 * first. Equal ones are ordered from `first` on, which differs from job to job.
 * @return how many have capacity */
static int order_by_load(const struct partition_weights *weights, int partition_count,
                         int first, int order[LMN_MAX_PARTITIONS])
{
    int count = 0;

    for (int k = 0; k < partition_count; k++) {
        int candidate = (first + k) % partition_count, at = count;
        if (weights->capacity[candidate] <= 0)
            continue;
        double relative_load = weights->load[candidate] / weights->capacity[candidate];
        while (at > 0 && relative_load < weights->load[order[at - 1]] /
                                             weights->capacity[order[at - 1]]) {
            order[at] = order[at - 1];
            at--;
        }
        order[at] = candidate;
        count++;
    }
    return count;
}

/** Divides the job's tasks among the partitions: as few as its size needs, those with the
 * least load first.
 * @param task_counts the tasks of each partition */
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
    /* The job's record and each range are a change of one transaction. */
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
    /* What rounding has left over. */
    task_counts[order[0]] += spec->tasks - assigned;
}

/** Adds the record of a range of which nothing is done yet. */
static void put_range(struct lmn_txn *txn, int partition, const char *job_id,
                      uint32_t first, uint32_t end)
{
    const struct lmn_range range = {.first = first, .end = end};
    g_autofree uint8_t *none_done =
        g_malloc0((end - first + BITS_PER_BYTE - 1) / BITS_PER_BYTE);
    char key[RANGE_KEY_SIZE];

    g_snprintf(key, sizeof key, "r/%d/%s/%u", partition, job_id, first);
    lmn_txn_put(txn, key, lmn_range_record(&range, none_done), 0);
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
    /* The watch shows changes in the order of the transaction: first ranges, then the
     * job, would leave ranges without a job. */
    lmn_txn_put_first(txn, job_key,
                      lmn_job_record(spec, LMN_JOB_ACTIVE, open_ranges, accepted_at));
    return txn;
}

/** Whether the job's record would be larger than a value may be, counted as JSON. */
static bool is_too_large(const struct lmn_settings *settings,
                         const struct lmn_job_spec *spec)
{
    size_t max_size = (size_t)(settings->max_value_kb * BYTES_PER_KB), types_size = 0;
    struct lmn_cbor_document document;

    for (char **type = spec->machine_types; type && *type; type++)
        types_size += strlen(*type) + JSON_ELEMENT_OVERHEAD;
    /* All other fields are bounded: few records have to be encoded to know. */
    if (types_size + MAX_OTHER_FIELDS_SIZE < max_size)
        return false;
    GByteArray *buffer = lmn_job_record(spec, LMN_JOB_ACTIVE, UINT32_MAX, 1e10);
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
    submission->fault = LMN_SUBMISSION_NO_ID;
    if (lmn_cbor_parse(&document, body, len) != 0)
        return;
    if (lmn_job_spec_parse(&submission->spec, &document, lmn_cbor_root(&document),
                           &submission->spec_error) == 0)
        submission->fault = is_too_large(settings, &submission->spec)
                                ? LMN_SUBMISSION_TOO_LARGE
                                : LMN_SUBMISSION_VALID;
    else if (lmn_job_id_is_valid(submission->spec.id))
        submission->fault = LMN_SUBMISSION_MALFORMED;
    lmn_cbor_free(&document);
}

void lmn_submission_clear(struct lmn_submission *submission)
{
    lmn_job_spec_clear(&submission->spec);
}
