#include "controller/submission.h"
#include "state/core.h"
#include "state/records.h"

#include <math.h>
#include <string.h>

/* What a partition could give to the job, and what it still has to do, in processors. */
static void weigh(struct lmn_core *core, int id, const struct lmn_job_spec *spec,
                  double *weight, double *load)
{
    GHashTableIter it;
    gpointer v;

    *weight = *load = 0;
    g_hash_table_iter_init(&it, core->partitions[id].machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *machine = v;
        if (!machine->type)
            machine->type = lmn_machine_type_by_name(core, machine->type_name);
        if (machine->type && machine->record.revision &&
            !machine->lifecycle.is_terminated &&
            lmn_job_spec_allows(spec, machine->type, machine->zone, machine->is_spot))
            *weight += machine->type->cpus + machine->type->gpus;
    }
    /* As recorded, for one's own partitions too: else they would look emptier than the
     * others. */
    g_hash_table_iter_init(&it, core->partitions[id].ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_range *range = v;
        if (range->job->phase == LMN_JOB_ACTIVE)
            *load += (range->end - range->first - range->done_count) *
                     (range->job->spec.cpus + range->job->spec.gpus);
    }
}

/* A part of a job is no smaller than this share of what a partition could give. Each part
 * costs the state service changes at its birth and at its end; a small job gains nothing
 * by being cut. */
static const double LEAST_PART = 0.05;

/* The job's tasks for each partition: as few parts as its size needs, to those with the
 * least to do for their size. */
static void shares(struct lmn_core *core, const struct lmn_job_spec *spec, uint32_t *n)
{
    double weight[LMN_MAX_PARTITIONS] = {0}, load[LMN_MAX_PARTITIONS], sum = 0;
    int parts = core->partition_count, order[LMN_MAX_PARTITIONS] = {0}, able = 0;
    int first = (int)(g_str_hash(spec->id) % (guint)parts);
    uint32_t given = 0;

    memset(n, 0, sizeof *n * (size_t)core->partition_count);
    for (int i = 0; i < parts; i++) {
        weigh(core, i, spec, &weight[i], &load[i]);
        sum += weight[i];
    }
    double size = spec->tasks * (spec->cpus + spec->gpus) * parts;
    int want = sum > 0 ? (int)MIN(ceil(size / (LEAST_PART * sum)), parts) : 1;
    for (int i = 0; sum <= 0 && i < parts; i++)
        weight[i] = 1;
    /* While writes have to wait, a job is not cut: steals will spread what one partition
     * can't start. And one owner must see all of a job whose tasks depend on each other's
     * places. */
    if (spec->requires_one_zone || spec->spreads_over_zones ||
        lmn_kv_client_backlog_s(core->kv_client, LMN_WRITE_CLOSE) > 0)
        want = 1;
    for (int k = 0; k < parts; k++) {
        int i = (first + k) % parts, at = able;
        if (weight[i] <= 0)
            continue;
        while (at > 0 &&
               load[i] / weight[i] < load[order[at - 1]] / weight[order[at - 1]]) {
            order[at] = order[at - 1];
            at--;
        }
        order[at] = i;
        able++;
    }
    /* The job's record and each part are a change of one transaction. */
    want = CLAMP(want, 1, MIN(able, MAX(core->settings->max_txn_operations - 1, 1)));
    sum = 0;
    for (int k = 0; k < want; k++)
        sum += weight[order[k]];
    for (int k = 0; k < want; k++) {
        uint32_t part =
            (uint32_t)floor((double)spec->tasks * weight[order[k]] / sum + 0.5);
        n[order[k]] = MIN(part, spec->tasks - given);
        given += n[order[k]];
    }
    n[order[0]] += spec->tasks - given;
}

struct lmn_txn *lmn_submission_txn(struct lmn_core *core, const struct lmn_job_spec *spec,
                                   double accepted_at, lmn_txn_callback *done, void *arg)
{
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_USER, done, arg);
    uint32_t n[LMN_MAX_PARTITIONS], open = 0, at = 0;
    struct lmn_range r = {0};
    char key[96];
    /* One bit a task as hexadecimal text: so many that no value passes the limit. */
    uint32_t most = (uint32_t)(core->settings->max_value_kb * 1024 * 3);

    shares(core, spec, n);
    g_snprintf(key, sizeof key, "j/%s", spec->id);
    lmn_txn_require_version(txn, key, 0);
    char *job_key = g_strdup(key);
    for (int i = 0; i < core->partition_count; i++)
        while (n[i] > 0) {
            uint32_t k = MIN(n[i], most);
            r.first = at;
            r.end = at + k;
            uint8_t *none = g_malloc0((k + 7) / 8);
            g_snprintf(key, sizeof key, "r/%d/%s/%u", i, spec->id, at);
            lmn_txn_put(txn, key, lmn_range_record(&r, none), 0);
            g_free(none);
            at += k;
            n[i] -= k;
            open++;
        }
    /* The watch shows changes in the order of the transaction: first ranges, then the
     * job, would leave ranges without a job. */
    lmn_txn_put_first(txn, job_key,
                      lmn_job_record(spec, LMN_JOB_ACTIVE, open, accepted_at));
    g_free(job_key);
    return txn;
}

/* Whether the job's record is larger than a value may be, counted as JSON. */
static bool too_large(const struct lmn_settings *settings,
                      const struct lmn_job_spec *spec)
{
    size_t most = (size_t)(settings->max_value_kb * 1024), types = 0;
    struct lmn_cbor_document d;

    for (char **t = spec->machine_types; t && *t; t++)
        types += strlen(*t) + 3;
    /* All else is bounded; few descriptions need a closer look. */
    if (types + 2048 < most)
        return false;
    GByteArray *buffer = lmn_job_record(spec, LMN_JOB_ACTIVE, UINT32_MAX, 1e10);
    bool large = lmn_cbor_parse(&d, buffer->data, buffer->len) == 0 &&
                 lmn_cbor_json_size(&d, lmn_cbor_root(&d)) > most;
    lmn_cbor_free(&d);
    g_byte_array_unref(buffer);
    return large;
}

void lmn_submission_parse(struct lmn_submission *submission,
                          const struct lmn_settings *settings, const guint8 *body,
                          size_t len)
{
    struct lmn_cbor_document d;

    memset(submission, 0, sizeof *submission);
    submission->field_at_fault = "not CBOR";
    submission->fault = LMN_SUBMISSION_NO_ID;
    if (lmn_cbor_parse(&d, body, len) != 0)
        return;
    if (lmn_job_spec_parse(&submission->spec, &d, lmn_cbor_root(&d),
                           &submission->field_at_fault) == 0)
        submission->fault = too_large(settings, &submission->spec)
                                ? LMN_SUBMISSION_TOO_LARGE
                                : LMN_SUBMISSION_VALID;
    else if (lmn_job_id_is_valid(submission->spec.id))
        submission->fault = LMN_SUBMISSION_MALFORMED;
    lmn_cbor_free(&d);
}

void lmn_submission_clear(struct lmn_submission *submission)
{
    lmn_job_spec_clear(&submission->spec);
}
