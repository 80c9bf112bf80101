/* The mirror of the state service: records to structures, and the thread that follows it.
 *
 * Keys:  j/REF          a job: its description, phase, number of open ranges
 *        r/P/REF/LO     a range of its tasks in partition P: bounds and done set
 *        o/P            who owns partition P (tied to the owner's lease)
 *        t/P            its term (for ever)
 *        m/P/N          machines that partition P may have started tasks on (block.c)
 *        q/TEAM         the partitions' parts of the team's limit, once they are not even
 *        n/NODE         a controller that is up (tied to its lease)
 *        u/NODE         a suspicion of it (tied to the lease of who suspects)
 *        s              operators' settings
 */
#include "state/watch_cache.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "state/retention.h"
#include "state/records.h"

#include <stdlib.h>
#include <string.h>

static int team_index(const struct lmn_settings *settings, const char *team)
{
    const struct lmn_team *t = lmn_settings_team(settings, team);
    return t ? (int)(t - settings->teams) : -1;
}

/* Keeps what the team's active jobs ask for; by: 1 as a job comes, -1 as it ends. */
static void ask_for(struct lmn_core *core, const struct lmn_job *job, int by)
{
    if (job->team < 0)
        return;
    core->quota.demanded_cpus[job->team] += by * job->spec.cpus * job->spec.tasks;
    core->quota.demanded_gpus[job->team] += by * job->spec.gpus * job->spec.tasks;
}

/* Whether the job, which has just come, fits into its team's guarantee with all before
 * it. */
static bool in_guarantee(const struct lmn_core *core, const struct lmn_job *job)
{
    if (job->team < 0)
        return false;
    const struct lmn_team *team = &core->settings->teams[job->team];
    return team->cpus + team->gpus > 0 &&
           (job->spec.cpus <= 0 ||
            core->quota.demanded_cpus[job->team] <= team->cpus + 1e-6) &&
           (job->spec.gpus <= 0 ||
            core->quota.demanded_gpus[job->team] <= team->gpus + 1e-6);
}

/* While everything is read: final jobs beyond those that are kept are passed over, unless
 * there are ranges of theirs. */
static bool passed_over(struct lmn_core *core, const char *ref, enum lmn_job_phase phase)
{
    if (!core->cache.is_listing || phase == LMN_JOB_ACTIVE ||
        core->cache.final_jobs.length < core->cache.max_retained_jobs)
        return false;
    if (core->cache.needed_job_ids)
        return !g_hash_table_contains(core->cache.needed_job_ids, ref);
    core->cache.too_many_final_jobs =
        true; /* read_all begins again, and finds out first which are needed */
    return true;
}

static void apply_job(struct lmn_core *core, const char *ref,
                      const struct lmn_cbor_document *document,
                      const struct lmn_cbor_value *value, uint64_t revision,
                      struct timespec now)
{
    struct lmn_job_spec spec;
    enum lmn_job_phase phase;
    uint32_t open;
    double at;

    if (!value)
        return; /* jobs are kept for ever */
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, ref);
    if (job && job->revision >= revision) {
        job->generation = core->cache.generation;
        return;
    }
    if (lmn_job_read(document, value, &spec, &phase, &open, &at) != 0) {
        lmn_error("record_unreadable key=j/%s", ref);
        lmn_job_spec_clear(&spec);
        return;
    }
    if (!job && passed_over(core, ref, phase)) {
        lmn_job_spec_clear(&spec);
        return;
    }
    if (!job) {
        job = g_new0(struct lmn_job, 1);
        job->spec = spec;
        job->accepted_at_s = at;
        job->ranges = g_ptr_array_new();
        job->image = g_intern_string(job->spec.image);
        job->class_name = g_intern_string(job->spec.class_name);
        job->team = team_index(core->settings, job->spec.team);
        g_hash_table_insert(core->cache.jobs, job->spec.id, job);
        lmn_debug("job_added job=%s class=%s tasks=%u cpus=%.1f estimate=%.1f "
                  "deadline=%.1f image=%s",
                  ref, job->spec.class_name, job->spec.tasks, job->spec.cpus,
                  job->spec.estimate_s, job->spec.deadline_s, job->spec.image);
    } else {
        lmn_job_spec_clear(&spec); /* a job's description never changes */
    }
    if (!job->revision && phase == LMN_JOB_ACTIVE) {
        ask_for(core, job, 1);
        job->is_within_guarantee = in_guarantee(core, job);
    } else if (job->phase == LMN_JOB_ACTIVE && phase != LMN_JOB_ACTIVE && job->revision) {
        ask_for(core, job, -1);
    }
    if (phase != job->phase)
        lmn_debug("job_finished job=%s phase=%d after=%.1f", ref, phase,
                  lmn_time_seconds(lmn_wall_clock_now()) - job->accepted_at_s);
    if (phase != LMN_JOB_ACTIVE && (job->phase == LMN_JOB_ACTIVE || !job->revision))
        lmn_retention_add(core, job, now);
    job->phase = phase;
    job->open_ranges = open;
    job->revision = revision;
    job->generation = core->cache.generation;
}

static void remove_range(struct lmn_core *core, struct lmn_range *range)
{
    core->owner_ops->range_removed(core, range);
    g_hash_table_remove(range->partition->ranges, range->key);
}

static void apply_range(struct lmn_core *core, const char *key,
                        struct lmn_partition *partition, const char *rest,
                        const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *value, uint64_t revision,
                        struct timespec now)
{
    struct lmn_range *range = g_hash_table_lookup(partition->ranges, key);
    const char *slash = strchr(rest, '/');
    char ref[LMN_JOB_ID_SIZE];
    uint64_t hi;

    if (!value) {
        if (range && range->revision < revision)
            remove_range(core, range);
        return;
    }
    if (range && range->revision >= revision) {
        range->generation = core->cache.generation;
        return;
    }
    if (!slash || (size_t)(slash - rest) >= sizeof ref ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, value, "hi"), &hi))
        return;
    g_strlcpy(ref, rest, (gsize)(slash - rest) + 1);
    uint32_t lo = (uint32_t)strtoul(slash + 1, NULL, 10);
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, ref);
    if (!job && core->cache.needed_job_ids)
        core->cache.must_relist = true; /* it became final between the two readings */
    if (!job || hi <= lo || hi > job->spec.tasks) {
        lmn_error("record_unreadable key=%s", key);
        return;
    }
    bool fresh = !range;
    if (!range) {
        range = g_new0(struct lmn_range, 1);
        range->key = g_strdup(key);
        range->job = job;
        range->partition = partition;
        range->first = lo;
        range->end = (uint32_t)hi;
        range->done = g_malloc0((range->end - range->first + 7) / 8);
        range->move_to = -1;
        range->created_revision = revision;
        g_hash_table_insert(partition->ranges, range->key, range);
        g_ptr_array_add(job->ranges, range);
    }
    if (hi < range->end)
        core->owner_ops->range_truncated(core, range, (uint32_t)hi);
    if (lmn_bitset_read(lmn_cbor_get(document, value, "done"), range->done,
                        range->end - range->first) != 0)
        lmn_error("record_unreadable key=%s", key);
    range->done_count = lmn_bitset_count(range->done, range->end - range->first);
    range->revision = revision;
    range->generation = core->cache.generation;
    if (range->is_writing && range->written_revision &&
        revision >= range->written_revision)
        range->is_writing = false;
    /* The range has changed by another write than the move: that one can't be applied any
     * more. */
    if (range->move_to >= 0 && range->task_states && revision > range->move_revision &&
        range->move_revision)
        core->owner_ops->move_cancelled(core, range, now);
    if (fresh && partition->ownership.is_owned)
        core->owner_ops->range_created(core, range, now);
}

/* Who loses a partition has failed, unless it held the partition for another, who has it
 * back. */
static void note_loss(struct lmn_core *core, const struct lmn_partition *partition,
                      const char *to, struct timespec now)
{
    int from = *partition->record.owner
                   ? lmn_member_index(&core->members, partition->record.owner)
                   : -1;

    /* Nor has one that gives its partitions away since it is asked to end. */
    if (from < 0 || !strcmp(partition->record.owner, to) ||
        core->members.views[from].is_shutting_down ||
        (*to &&
         lmn_member_index(&core->members, to) == partition->id % core->members.count))
        return;
    lmn_member_record_failure(&core->members, from, now);
}

static void apply_owner(struct lmn_core *core, struct lmn_partition *partition,
                        const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *value, uint64_t revision,
                        struct timespec now)
{
    char owner[LMN_NAME_SIZE] = "";
    uint64_t lease = 0, epoch = 0, stream = 0;

    partition->record.owner_generation = core->cache.generation;
    if (partition->record.owner_revision >= revision)
        return;
    if (value) {
        lmn_cbor_get_text(lmn_cbor_get(document, value, "node"), owner, sizeof owner);
        lmn_cbor_get_uint(lmn_cbor_get(document, value, "lease"), &lease);
        lmn_cbor_get_uint(lmn_cbor_get(document, value, "term"), &epoch);
        lmn_cbor_get_uint(lmn_cbor_get(document, value, "stream"), &stream);
    }
    if (partition->ownership.is_owned)
        core->owner_ops->partition_lost(core, partition,
                                        value ? "taken" : "owner key gone");
    note_loss(core, partition, owner, now);
    if (!value && partition->record.owner_revision)
        g_strlcpy(partition->record.last_owner, partition->record.owner,
                  sizeof partition->record.last_owner);
    g_strlcpy(partition->record.owner, owner, sizeof partition->record.owner);
    partition->record.owner_lease = lease;
    partition->record.owner_epoch = epoch;
    partition->record.owner_stream = stream;
    partition->record.owner_revision = value ? revision : 0;
    if (!value)
        partition->record.vacant_since = now;
    pthread_cond_broadcast(&core->ownership_changed);
}

static void apply_standby(struct lmn_core *core, struct lmn_partition *partition,
                          const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *value, uint64_t revision)
{
    if (partition->record.standby_revision >= revision)
        return;
    partition->record.standby[0] = '\0';
    partition->record.standby_lease = partition->record.standby_stream =
        partition->record.standby_epoch = 0;
    partition->record.standby_revision = revision;
    if (value) {
        lmn_cbor_get_text(lmn_cbor_get(document, value, "node"),
                          partition->record.standby, sizeof partition->record.standby);
        lmn_cbor_get_uint(lmn_cbor_get(document, value, "lease"),
                          &partition->record.standby_lease);
        lmn_cbor_get_uint(lmn_cbor_get(document, value, "stream"),
                          &partition->record.standby_stream);
        lmn_cbor_get_uint(lmn_cbor_get(document, value, "term"),
                          &partition->record.standby_epoch);
    }
    pthread_cond_signal(&partition->replication.due);
    pthread_cond_broadcast(&core->ownership_changed);
}

static void apply_node(struct lmn_core *core, const char *name,
                       const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *value, uint64_t revision,
                       struct timespec now)
{
    int member_index = lmn_member_index(&core->members, name);
    bool leaving = false;
    uint64_t lease = 0;

    if (member_index < 0)
        return;
    struct lmn_member_view *member = &core->members.views[member_index];
    member->generation = core->cache.generation;
    if (member->revision >= revision)
        return;
    member->revision = revision;
    /* Its lease; or, with that, that it is about to end. */
    if (value && value->type == LMN_CBOR_MAP) {
        lmn_cbor_get_uint(lmn_cbor_get(document, value, "lease"), &lease);
        lmn_cbor_get_bool(lmn_cbor_get(document, value, "leaving"), &leaving);
    } else if (value) {
        lmn_cbor_get_uint(value, &lease);
    }
    if (leaving && !member->is_shutting_down)
        lmn_info("member_shutting_down member=%s incarnation=%" G_GUINT64_FORMAT, name,
                 revision);
    member->is_shutting_down = leaving;
    if (value && lmn_member_is_suspected(&core->members, member_index))
        lmn_info("member_refuted member=%s incarnation=%" G_GUINT64_FORMAT
                 " was=%" G_GUINT64_FORMAT,
                 name, revision, member->incarnation);
    else if (value && !member->is_present && member->failures_declared)
        lmn_info("member_rejoined member=%s incarnation=%" G_GUINT64_FORMAT
                 " failures=%u",
                 name, revision, member->failures_declared);
    else if (value && !member->is_present)
        lmn_info("member_joined member=%s incarnation=%" G_GUINT64_FORMAT, name,
                 revision);
    else if (!value && member->is_present)
        lmn_info("member_left member=%s incarnation=%" G_GUINT64_FORMAT, name,
                 member->incarnation);
    lmn_member_apply_record(&core->members, member_index, value ? revision : 0, lease,
                            now);
    pthread_cond_broadcast(&core->ownership_changed);
}

static void apply_doubt(struct lmn_core *core, const char *name,
                        const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *value, uint64_t revision,
                        struct timespec now)
{
    int member_index = lmn_member_index(&core->members, name);
    char by[LMN_NAME_SIZE] = "";
    uint64_t inc = 0, why = 0;

    if (member_index < 0)
        return;
    struct lmn_member_view *member = &core->members.views[member_index];
    member->suspicion_generation = core->cache.generation;
    if (member->suspicion_seen_revision >= revision)
        return;
    member->suspicion_seen_revision = revision;
    if (value) {
        lmn_cbor_get_uint(lmn_cbor_get(document, value, "incarnation"), &inc);
        lmn_cbor_get_uint(lmn_cbor_get(document, value, "why"), &why);
        lmn_cbor_get_text(lmn_cbor_get(document, value, "by"), by, sizeof by);
    }
    lmn_member_apply_suspicion(
        &core->members, member_index, value ? revision : 0, inc, by,
        (enum lmn_suspicion_cause)MIN(why, LMN_SUSPICION_CAUSES), now);
    if (lmn_member_is_suspected(&core->members, member_index))
        lmn_info("member_suspected member=%s incarnation=%" G_GUINT64_FORMAT
                 " by=%s why=%s",
                 name, inc, by, lmn_suspicion_cause_name(member->suspicion_cause));
    pthread_cond_broadcast(&core->ownership_changed);
    pthread_cond_broadcast(&core->probe_due);
}

void lmn_watch_cache_apply(struct lmn_core *core, const char *key,
                           const struct lmn_cbor_document *document,
                           const struct lmn_cbor_value *value, uint64_t revision,
                           struct timespec now)
{
    char *rest;

    if (key[0] == 's' && key[1] == '\0') {
        if (revision > core->cache.operator_settings_revision) {
            lmn_operator_settings_read(&core->cache.operator_settings, document, value);
            core->cache.operator_settings_revision = revision;
        }
        return;
    }
    if (!key[0] || key[1] != '/')
        return;
    if (key[0] == 'j') {
        apply_job(core, key + 2, document, value, revision, now);
        return;
    }
    if (key[0] == 'q') {
        core->owner_ops->quota_changed(core, key, document, value, revision);
        return;
    }
    if (key[0] == 'n') {
        apply_node(core, key + 2, document, value, revision, now);
        return;
    }
    if (key[0] == 'u') {
        apply_doubt(core, key + 2, document, value, revision, now);
        return;
    }
    unsigned long id = strtoul(key + 2, &rest, 10);
    if (rest == key + 2 || id >= (unsigned long)core->partition_count)
        return;
    struct lmn_partition *partition = &core->partitions[id];
    if (key[0] == 'o' && !*rest) {
        apply_owner(core, partition, document, value, revision, now);
    } else if (key[0] == 'b' && !*rest) {
        apply_standby(core, partition, document, value, revision);
    } else if (key[0] == 't' && !*rest) {
        if (value && revision > partition->record.epoch_revision &&
            lmn_cbor_get_uint(value, &partition->record.epoch))
            partition->record.epoch_revision = revision;
    } else if (key[0] == 'r' && *rest == '/') {
        apply_range(core, key, partition, rest + 1, document, value, revision, now);
    } else if (key[0] == 'm' && *rest == '/') {
        core->owner_ops->block_changed(core, partition, strtoul(rest + 1, NULL, 10),
                                       document, value, revision, now);
    }
}

void lmn_watch_cache_sweep(struct lmn_core *core, struct timespec now)
{
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        GHashTableIter it;
        gpointer v;
        GPtrArray *drop = g_ptr_array_new();

        g_hash_table_iter_init(&it, partition->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v))
            if (((struct lmn_range *)v)->generation != core->cache.generation)
                g_ptr_array_add(drop, v);
        for (guint k = 0; k < drop->len; k++)
            remove_range(core, drop->pdata[k]);
        g_ptr_array_free(drop, TRUE);
        core->owner_ops->blocks_listed(core, partition, now);
        if (partition->record.owner_generation != core->cache.generation &&
            partition->record.owner_revision) {
            if (partition->ownership.is_owned)
                core->owner_ops->partition_lost(core, partition, "owner key gone");
            note_loss(core, partition, "", now);
            g_strlcpy(partition->record.last_owner, partition->record.owner,
                      sizeof partition->record.last_owner);
            partition->record.owner[0] = '\0';
            partition->record.owner_lease = partition->record.owner_revision =
                partition->record.owner_stream = 0;
            partition->record.vacant_since = now;
        }
    }
    for (int i = 0; i < core->members.count; i++) {
        struct lmn_member_view *member = &core->members.views[i];
        if (member->generation != core->cache.generation && member->is_present)
            lmn_member_apply_record(&core->members, i, 0, 0, now);
        if (member->suspicion_generation != core->cache.generation &&
            member->suspected_incarnation)
            lmn_member_apply_suspicion(&core->members, i, 0, 0, "",
                                       LMN_CAUSE_UNRESPONSIVE, now);
    }
    pthread_cond_broadcast(&core->ownership_changed);
}

/* Ownership begins with the mirror, never with the answer to our own request: an answer
 * that was lost, or a transaction that was applied late, then makes no difference. */
void lmn_watch_cache_begin_ownerships(struct lmn_core *core, struct timespec now)
{
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        if (!partition->ownership.is_owned && partition->record.owner_revision &&
            core->lease.id && partition->record.owner_lease == core->lease.id &&
            !strcmp(partition->record.owner, core->settings->node_name))
            core->owner_ops->partition_acquired(core, partition, now);
    }
}

/* A page of a listing, parsed; -1 if it could not be had. after: the last key, moved on.
 */
static int read_page(struct lmn_core *core, struct lmn_http_client *client,
                     GByteArray *buf, const char *prefix, const char *after,
                     struct lmn_cbor_document *document)
{
    char path[512];

    lmn_kv_client_wait_for_token(core->kv_client);
    g_snprintf(path, sizeof path,
               WIRE_PATH_STORE "?" WIRE_QUERY_PREFIX "=%s%s%s&" WIRE_QUERY_LIMIT "=500",
               prefix, *after ? "&" WIRE_QUERY_AFTER "=" : "", after);
    int status = lmn_http_client_call(client, "GET", path, NULL, 3.0, buf);
    if (status == 200 && lmn_cbor_parse(document, buf->data, buf->len) == 0)
        return 0;
    lmn_debug("watch_list_failed status=%d", status);
    return -1;
}

static bool more_pages(const struct lmn_cbor_document *document)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document),
                                *items = lmn_cbor_get(document, root, WIRE_ITEMS);
    bool more = false;

    lmn_cbor_get_bool(lmn_cbor_get(document, root, WIRE_HAS_MORE), &more);
    return more && items && items->len;
}

/* Which jobs have ranges: of those that are final, only they are needed. */
static GHashTable *read_needed(struct lmn_core *core, struct lmn_http_client *client,
                               GByteArray *buf)
{
    GHashTable *set = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char after[256] = "";

    for (bool more = true; more;) {
        struct lmn_cbor_document d;
        if (read_page(core, client, buf, "r/", after, &d) != 0) {
            g_hash_table_destroy(set);
            return NULL;
        }
        const struct lmn_cbor_value *items =
            lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_ITEMS);
        for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&d, items); node;
             node = lmn_cbor_next(&d, node)) {
            if (!lmn_cbor_get_text(lmn_cbor_get(&d, node, WIRE_KEY), after, sizeof after))
                continue;
            char **part = g_strsplit(after, "/", 4); /* r/P/REF/LO */
            if (g_strv_length(part) == 4)
                g_hash_table_add(set, g_strdup(part[2]));
            g_strfreev(part);
        }
        more = more_pages(&d);
        lmn_cbor_free(&d);
    }
    return set;
}

static int read_keys(struct lmn_core *core, struct lmn_http_client *client,
                     GByteArray *buf, uint64_t *revision)
{
    char after[256] = "";
    bool first = true;

    for (bool more = true; more;) {
        struct lmn_cbor_document d;
        uint64_t rev = 0;
        if (read_page(core, client, buf, "", after, &d) != 0)
            return -1;
        const struct lmn_cbor_value *root = lmn_cbor_root(&d);
        lmn_cbor_get_uint(lmn_cbor_get(&d, root, WIRE_REVISION), &rev);
        if (first)
            *revision = rev;
        first = false;
        pthread_mutex_lock(&core->lock);
        struct timespec now = lmn_now();
        const struct lmn_cbor_value *items = lmn_cbor_get(&d, root, WIRE_ITEMS);
        for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&d, items); node;
             node = lmn_cbor_next(&d, node)) {
            uint64_t version = 0;
            if (!lmn_cbor_get_text(lmn_cbor_get(&d, node, WIRE_KEY), after,
                                   sizeof after) ||
                !lmn_cbor_get_uint(lmn_cbor_get(&d, node, WIRE_VERSION), &version))
                continue;
            lmn_watch_cache_apply(core, after, &d, lmn_cbor_get(&d, node, WIRE_VALUE),
                                  version, now);
        }
        bool crowded = core->cache.too_many_final_jobs;
        pthread_mutex_unlock(&core->lock);
        more = more_pages(&d);
        lmn_cbor_free(&d);
        if (crowded)
            return 1;
    }
    return 0;
}

/* Reads every key; 0 if the mirror then is whole as of *revision. */
static int read_all(struct lmn_core *core, struct lmn_http_client *client,
                    GByteArray *buf, uint64_t *revision)
{
    pthread_mutex_lock(&core->lock);
    core->cache.generation++;
    core->cache.is_listing = true;
    core->cache.too_many_final_jobs = core->cache.must_relist = false;
    pthread_mutex_unlock(&core->lock);
    int rc = read_keys(core, client, buf, revision);
    if (rc == 1) {
        /* More final jobs than are kept in memory: which of them are needed is found out
         * first. */
        GHashTable *needed = read_needed(core, client, buf);
        pthread_mutex_lock(&core->lock);
        core->cache.needed_job_ids = needed;
        core->cache.too_many_final_jobs = false;
        pthread_mutex_unlock(&core->lock);
        rc = needed ? read_keys(core, client, buf, revision) : -1;
    }
    pthread_mutex_lock(&core->lock);
    if (rc == 0 && !core->cache.must_relist)
        lmn_watch_cache_sweep(core, lmn_now());
    else
        rc = -1;
    g_clear_pointer(&core->cache.needed_job_ids, g_hash_table_destroy);
    core->cache.is_listing = false;
    pthread_mutex_unlock(&core->lock);
    return rc;
}

static void apply_events(struct lmn_core *core, const struct lmn_cbor_document *document,
                         const struct lmn_cbor_value *events, struct timespec now)
{
    char key[256];

    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, events); node;
         node = lmn_cbor_next(document, node)) {
        uint64_t revision = 0;
        lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_VERSION), &revision);
        if (lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_PUT), key, sizeof key))
            lmn_watch_cache_apply(core, key, document,
                                  lmn_cbor_get(document, node, WIRE_VALUE), revision,
                                  now);
        else if (lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_DELETE), key,
                                   sizeof key))
            lmn_watch_cache_apply(core, key, document, NULL, revision, now);
    }
}

/* One wait for changes. Returns the status, or a negative one. */
static int follow(struct lmn_core *core, struct lmn_http_client *client, GByteArray *buf,
                  uint64_t *revision, bool first)
{
    char path[256];
    struct lmn_cbor_document d;
    int wait_ms = first ? 0 : 800;

    /* Whoever is suspected has to be able to refute, and a verdict needs a fresh mirror.
     */
    pthread_mutex_lock(&core->lock);
    for (int i = 0; i < core->members.count; i++)
        if (lmn_member_is_suspected(&core->members, i))
            wait_ms = MIN(wait_ms, 200);
    pthread_mutex_unlock(&core->lock);
    lmn_kv_client_wait_for_token(core->kv_client);
    struct timespec sent = lmn_now();
    g_snprintf(path, sizeof path,
               WIRE_PATH_WATCH "?" WIRE_QUERY_PREFIX "=&" WIRE_QUERY_AFTER
                               "=%" G_GUINT64_FORMAT "&" WIRE_QUERY_WAIT_MS "=%d",
               *revision, wait_ms);
    int status =
        lmn_http_client_call(client, "GET", path, NULL, wait_ms / 1000.0 + 2.0, buf);
    if (status != 200)
        return status;
    if (lmn_cbor_parse(&d, buf->data, buf->len) != 0)
        return LMN_HTTP_NO_RESPONSE;
    const struct lmn_cbor_value *root = lmn_cbor_root(&d);
    uint64_t upto = *revision;
    lmn_cbor_get_uint(lmn_cbor_get(&d, root, WIRE_REVISION), &upto);
    pthread_mutex_lock(&core->lock);
    struct timespec now = lmn_now();
    apply_events(core, &d, lmn_cbor_get(&d, root, WIRE_EVENTS), now);
    if (upto > *revision)
        *revision = upto;
    /* The answer may have been on its way for long: it proves only the time of asking. */
    core->cache.fresh_at = sent;
    lmn_members_record_watch(&core->members, sent);
    if (!core->cache.is_synced) {
        core->cache.is_synced = true;
        core->cache.synced_at = now;
        pthread_cond_broadcast(&core->ownership_changed);
    }
    lmn_watch_cache_begin_ownerships(core, now);
    lmn_retention_evict(core, now);
    pthread_mutex_unlock(&core->lock);
    lmn_cbor_free(&d);
    return 200;
}

void *lmn_watch_cache_thread(void *arg)
{
    struct lmn_core *core = arg;
    struct lmn_http_client *client = lmn_http_client_new(core->settings->state_address);
    GByteArray *buf = g_byte_array_new();
    uint64_t revision = 0;
    bool whole = false, first = true, trouble = false;

    for (;;) {
        struct timespec begun = lmn_now();
        int status = 200;
        if (!whole) {
            whole = read_all(core, client, buf, &revision) == 0;
            first = true;
            status = whole ? 200 : LMN_HTTP_NO_RESPONSE;
        }
        if (whole) {
            status = follow(core, client, buf, &revision, first);
            first = false;
            if (status == 410) {
                lmn_info("watch_compacted revision=%" G_GUINT64_FORMAT, revision);
                whole = false;
                continue;
            }
        }
        if ((status != 200) != trouble) {
            trouble = status != 200;
            lmn_info("kv_store_%s status=%d", trouble ? "unavailable" : "available",
                     status);
        }
        if (status != 200) {
            lmn_sleep(0.15 + g_random_double() * 0.15);
            continue;
        }
        /* Changes come in flocks: a short pause bounds what watching costs. */
        double spent = lmn_time_diff_s(lmn_now(), begun);
        if (spent < 0.06)
            lmn_sleep(0.06 - spent);
    }
    return NULL;
}
