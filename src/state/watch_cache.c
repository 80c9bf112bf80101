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

static int team_index(const struct lmn_settings *cfg, const char *team)
{
    const struct lmn_team *t = lmn_settings_team(cfg, team);
    return t ? (int)(t - cfg->teams) : -1;
}

/* Keeps what the team's active jobs ask for; by: 1 as a job comes, -1 as it ends. */
static void ask_for(struct lmn_core *c, const struct lmn_job *j, int by)
{
    if (j->team < 0)
        return;
    c->asked_cpus[j->team] += by * j->spec.cpus * j->spec.tasks;
    c->asked_gpus[j->team] += by * j->spec.gpus * j->spec.tasks;
}

/* Whether the job, which has just come, fits into its team's guarantee with all before
 * it. */
static bool in_guarantee(const struct lmn_core *c, const struct lmn_job *j)
{
    if (j->team < 0)
        return false;
    const struct lmn_team *t = &c->cfg->teams[j->team];
    return t->cpus + t->gpus > 0 &&
           (j->spec.cpus <= 0 || c->asked_cpus[j->team] <= t->cpus + 1e-6) &&
           (j->spec.gpus <= 0 || c->asked_gpus[j->team] <= t->gpus + 1e-6);
}

/* While everything is read: final jobs beyond those that are kept are passed over, unless
 * there are ranges of theirs. */
static bool passed_over(struct lmn_core *c, const char *ref, enum lmn_job_phase phase)
{
    if (!c->reading || phase == LMN_JOB_ACTIVE || c->final_jobs.length < c->retained_most)
        return false;
    if (c->needed)
        return !g_hash_table_contains(c->needed, ref);
    c->crowded = true; /* read_all begins again, and finds out first which are needed */
    return true;
}

static void apply_job(struct lmn_core *c, const char *ref,
                      const struct lmn_cbor_document *d, const struct lmn_cbor_value *v,
                      uint64_t rev, struct timespec now)
{
    struct lmn_job_spec spec;
    enum lmn_job_phase phase;
    uint32_t open;
    double at;

    if (!v)
        return; /* jobs are kept for ever */
    struct lmn_job *j = g_hash_table_lookup(c->jobs, ref);
    if (j && j->rev >= rev) {
        j->gen = c->gen;
        return;
    }
    if (lmn_job_read(d, v, &spec, &phase, &open, &at) != 0) {
        lmn_error("unreadable-record key=j/%s", ref);
        lmn_job_spec_clear(&spec);
        return;
    }
    if (!j && passed_over(c, ref, phase)) {
        lmn_job_spec_clear(&spec);
        return;
    }
    if (!j) {
        j = g_new0(struct lmn_job, 1);
        j->spec = spec;
        j->at = at;
        j->ranges = g_ptr_array_new();
        j->image = g_intern_string(j->spec.image);
        j->cls = g_intern_string(j->spec.class_name);
        j->team = team_index(c->cfg, j->spec.team);
        g_hash_table_insert(c->jobs, j->spec.ref, j);
        lmn_debug("job-known job=%s class=%s tasks=%u cpus=%.1f estimate=%.1f "
                  "deadline=%.1f image=%s",
                  ref, j->spec.class_name, j->spec.tasks, j->spec.cpus,
                  j->spec.estimate_s, j->spec.deadline_s, j->spec.image);
    } else {
        lmn_job_spec_clear(&spec); /* a job's description never changes */
    }
    if (!j->rev && phase == LMN_JOB_ACTIVE) {
        ask_for(c, j, 1);
        j->guaranteed = in_guarantee(c, j);
    } else if (j->phase == LMN_JOB_ACTIVE && phase != LMN_JOB_ACTIVE && j->rev) {
        ask_for(c, j, -1);
    }
    if (phase != j->phase)
        lmn_debug("job-final job=%s phase=%d after=%.1f", ref, phase,
                  lmn_time_seconds(lmn_wall_clock_now()) - j->at);
    if (phase != LMN_JOB_ACTIVE && (j->phase == LMN_JOB_ACTIVE || !j->rev))
        lmn_retention_add(c, j, now);
    j->phase = phase;
    j->open = open;
    j->rev = rev;
    j->gen = c->gen;
}

static void remove_range(struct lmn_core *c, struct lmn_range *r)
{
    c->owner->range_forget(c, r);
    g_hash_table_remove(r->part->ranges, r->key);
}

static void apply_range(struct lmn_core *c, const char *key, struct lmn_partition *p,
                        const char *rest, const struct lmn_cbor_document *d,
                        const struct lmn_cbor_value *v, uint64_t rev, struct timespec now)
{
    struct lmn_range *r = g_hash_table_lookup(p->ranges, key);
    const char *slash = strchr(rest, '/');
    char ref[LMN_JOB_ID_SIZE];
    uint64_t hi;

    if (!v) {
        if (r && r->rev < rev)
            remove_range(c, r);
        return;
    }
    if (r && r->rev >= rev) {
        r->gen = c->gen;
        return;
    }
    if (!slash || (size_t)(slash - rest) >= sizeof ref ||
        !lmn_cbor_get_uint(lmn_cbor_get(d, v, "hi"), &hi))
        return;
    g_strlcpy(ref, rest, (gsize)(slash - rest) + 1);
    uint32_t lo = (uint32_t)strtoul(slash + 1, NULL, 10);
    struct lmn_job *j = g_hash_table_lookup(c->jobs, ref);
    if (!j && c->needed)
        c->reread = true; /* it became final between the two readings */
    if (!j || hi <= lo || hi > j->spec.tasks) {
        lmn_error("unreadable-record key=%s", key);
        return;
    }
    bool fresh = !r;
    if (!r) {
        r = g_new0(struct lmn_range, 1);
        r->key = g_strdup(key);
        r->job = j;
        r->part = p;
        r->lo = lo;
        r->hi = (uint32_t)hi;
        r->done = g_malloc0((r->hi - r->lo + 7) / 8);
        r->move_to = -1;
        r->born = rev;
        g_hash_table_insert(p->ranges, r->key, r);
        g_ptr_array_add(j->ranges, r);
    }
    if (hi < r->hi)
        c->owner->range_cut(c, r, (uint32_t)hi);
    if (lmn_bitset_read(lmn_cbor_get(d, v, "done"), r->done, r->hi - r->lo) != 0)
        lmn_error("unreadable-record key=%s", key);
    r->ndone = lmn_bitset_count(r->done, r->hi - r->lo);
    r->rev = rev;
    r->gen = c->gen;
    if (r->writing && r->written && rev >= r->written)
        r->writing = false;
    /* The range has changed by another write than the move: that one can't be applied any
     * more. */
    if (r->move_to >= 0 && r->st && rev > r->move_rev && r->move_rev)
        c->owner->move_undo(c, r, now);
    if (fresh && p->mine)
        c->owner->range_born(c, r, now);
}

/* Who loses a partition has failed, unless it held the partition for another, who has it
 * back. */
static void note_loss(struct lmn_core *c, const struct lmn_partition *p, const char *to,
                      struct timespec now)
{
    int from = *p->owner ? lmn_member_index(&c->members, p->owner) : -1;

    /* Nor has one that gives its partitions away since it is asked to end. */
    if (from < 0 || !strcmp(p->owner, to) || c->members.v[from].leaving ||
        (*to && lmn_member_index(&c->members, to) == p->id % c->members.n))
        return;
    lmn_member_record_failure(&c->members, from, now);
}

static void apply_owner(struct lmn_core *c, struct lmn_partition *p,
                        const struct lmn_cbor_document *d, const struct lmn_cbor_value *v,
                        uint64_t rev, struct timespec now)
{
    char owner[LMN_NAME_SIZE] = "";
    uint64_t lease = 0, term = 0, stream = 0;

    p->owner_gen = c->gen;
    if (p->owner_rev >= rev)
        return;
    if (v) {
        lmn_cbor_get_text(lmn_cbor_get(d, v, "node"), owner, sizeof owner);
        lmn_cbor_get_uint(lmn_cbor_get(d, v, "lease"), &lease);
        lmn_cbor_get_uint(lmn_cbor_get(d, v, "term"), &term);
        lmn_cbor_get_uint(lmn_cbor_get(d, v, "stream"), &stream);
    }
    if (p->mine)
        c->owner->partition_lose(c, p, v ? "taken" : "owner key gone");
    note_loss(c, p, owner, now);
    if (!v && p->owner_rev)
        g_strlcpy(p->last_owner, p->owner, sizeof p->last_owner);
    g_strlcpy(p->owner, owner, sizeof p->owner);
    p->owner_lease = lease;
    p->owner_term = term;
    p->owner_stream = stream;
    p->owner_rev = v ? rev : 0;
    if (!v)
        p->vacant = now;
    pthread_cond_broadcast(&c->changed);
}

static void apply_standby(struct lmn_core *c, struct lmn_partition *p,
                          const struct lmn_cbor_document *d,
                          const struct lmn_cbor_value *v, uint64_t rev)
{
    if (p->standby_rev >= rev)
        return;
    p->standby[0] = '\0';
    p->standby_lease = p->standby_stream = p->standby_term = 0;
    p->standby_rev = rev;
    if (v) {
        lmn_cbor_get_text(lmn_cbor_get(d, v, "node"), p->standby, sizeof p->standby);
        lmn_cbor_get_uint(lmn_cbor_get(d, v, "lease"), &p->standby_lease);
        lmn_cbor_get_uint(lmn_cbor_get(d, v, "stream"), &p->standby_stream);
        lmn_cbor_get_uint(lmn_cbor_get(d, v, "term"), &p->standby_term);
    }
    pthread_cond_signal(&p->following);
    pthread_cond_broadcast(&c->changed);
}

static void apply_node(struct lmn_core *c, const char *name,
                       const struct lmn_cbor_document *d, const struct lmn_cbor_value *v,
                       uint64_t rev, struct timespec now)
{
    int rank = lmn_member_index(&c->members, name);
    bool leaving = false;
    uint64_t lease = 0;

    if (rank < 0)
        return;
    struct lmn_member_view *m = &c->members.v[rank];
    m->gen = c->gen;
    if (m->rev >= rev)
        return;
    m->rev = rev;
    /* Its lease; or, with that, that it is about to end. */
    if (v && v->type == LMN_CBOR_MAP) {
        lmn_cbor_get_uint(lmn_cbor_get(d, v, "lease"), &lease);
        lmn_cbor_get_bool(lmn_cbor_get(d, v, "leaving"), &leaving);
    } else if (v) {
        lmn_cbor_get_uint(v, &lease);
    }
    if (leaving && !m->leaving)
        lmn_info("member-leaving member=%s incarnation=%" G_GUINT64_FORMAT, name, rev);
    m->leaving = leaving;
    if (v && lmn_member_is_suspected(&c->members, rank))
        lmn_info("member-refute member=%s incarnation=%" G_GUINT64_FORMAT
                 " was=%" G_GUINT64_FORMAT,
                 name, rev, m->inc);
    else if (v && !m->present && m->strikes)
        lmn_info("member-back member=%s incarnation=%" G_GUINT64_FORMAT " failures=%u",
                 name, rev, m->strikes);
    else if (v && !m->present)
        lmn_info("member-up member=%s incarnation=%" G_GUINT64_FORMAT, name, rev);
    else if (!v && m->present)
        lmn_info("member-gone member=%s incarnation=%" G_GUINT64_FORMAT, name, m->inc);
    lmn_member_apply_record(&c->members, rank, v ? rev : 0, lease, now);
    pthread_cond_broadcast(&c->changed);
}

static void apply_doubt(struct lmn_core *c, const char *name,
                        const struct lmn_cbor_document *d, const struct lmn_cbor_value *v,
                        uint64_t rev, struct timespec now)
{
    int rank = lmn_member_index(&c->members, name);
    char by[LMN_NAME_SIZE] = "";
    uint64_t inc = 0, why = 0;

    if (rank < 0)
        return;
    struct lmn_member_view *m = &c->members.v[rank];
    m->doubt_gen = c->gen;
    if (m->doubt_seen >= rev)
        return;
    m->doubt_seen = rev;
    if (v) {
        lmn_cbor_get_uint(lmn_cbor_get(d, v, "incarnation"), &inc);
        lmn_cbor_get_uint(lmn_cbor_get(d, v, "why"), &why);
        lmn_cbor_get_text(lmn_cbor_get(d, v, "by"), by, sizeof by);
    }
    lmn_member_apply_suspicion(&c->members, rank, v ? rev : 0, inc, by,
                               (enum lmn_suspicion_cause)MIN(why, LMN_SUSPICION_CAUSES),
                               now);
    if (lmn_member_is_suspected(&c->members, rank))
        lmn_info("member-suspected member=%s incarnation=%" G_GUINT64_FORMAT
                 " by=%s why=%s",
                 name, inc, by, lmn_suspicion_cause_name(m->doubt_why));
    pthread_cond_broadcast(&c->changed);
    pthread_cond_broadcast(&c->asking);
}

void lmn_watch_cache_apply(struct lmn_core *c, const char *key,
                           const struct lmn_cbor_document *d,
                           const struct lmn_cbor_value *v, uint64_t rev,
                           struct timespec now)
{
    char *rest;

    if (key[0] == 's' && key[1] == '\0') {
        if (rev > c->tuning_rev) {
            lmn_operator_settings_read(&c->tuning, d, v);
            c->tuning_rev = rev;
        }
        return;
    }
    if (!key[0] || key[1] != '/')
        return;
    if (key[0] == 'j') {
        apply_job(c, key + 2, d, v, rev, now);
        return;
    }
    if (key[0] == 'q') {
        c->owner->quota_apply(c, key, d, v, rev);
        return;
    }
    if (key[0] == 'n') {
        apply_node(c, key + 2, d, v, rev, now);
        return;
    }
    if (key[0] == 'u') {
        apply_doubt(c, key + 2, d, v, rev, now);
        return;
    }
    unsigned long id = strtoul(key + 2, &rest, 10);
    if (rest == key + 2 || id >= (unsigned long)c->nparts)
        return;
    struct lmn_partition *p = &c->parts[id];
    if (key[0] == 'o' && !*rest) {
        apply_owner(c, p, d, v, rev, now);
    } else if (key[0] == 'b' && !*rest) {
        apply_standby(c, p, d, v, rev);
    } else if (key[0] == 't' && !*rest) {
        if (v && rev > p->term_rev && lmn_cbor_get_uint(v, &p->term))
            p->term_rev = rev;
    } else if (key[0] == 'r' && *rest == '/') {
        apply_range(c, key, p, rest + 1, d, v, rev, now);
    } else if (key[0] == 'm' && *rest == '/') {
        c->owner->block_apply(c, p, strtoul(rest + 1, NULL, 10), d, v, rev, now);
    }
}

void lmn_watch_cache_sweep(struct lmn_core *c, struct timespec now)
{
    for (int i = 0; i < c->nparts; i++) {
        struct lmn_partition *p = &c->parts[i];
        GHashTableIter it;
        gpointer v;
        GPtrArray *drop = g_ptr_array_new();

        g_hash_table_iter_init(&it, p->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v))
            if (((struct lmn_range *)v)->gen != c->gen)
                g_ptr_array_add(drop, v);
        for (guint k = 0; k < drop->len; k++)
            remove_range(c, drop->pdata[k]);
        g_ptr_array_free(drop, TRUE);
        c->owner->block_sweep(c, p, now);
        if (p->owner_gen != c->gen && p->owner_rev) {
            if (p->mine)
                c->owner->partition_lose(c, p, "owner key gone");
            note_loss(c, p, "", now);
            g_strlcpy(p->last_owner, p->owner, sizeof p->last_owner);
            p->owner[0] = '\0';
            p->owner_lease = p->owner_rev = p->owner_stream = 0;
            p->vacant = now;
        }
    }
    for (int i = 0; i < c->members.n; i++) {
        struct lmn_member_view *m = &c->members.v[i];
        if (m->gen != c->gen && m->present)
            lmn_member_apply_record(&c->members, i, 0, 0, now);
        if (m->doubt_gen != c->gen && m->doubt_inc)
            lmn_member_apply_suspicion(&c->members, i, 0, 0, "", LMN_CAUSE_UNRESPONSIVE,
                                       now);
    }
    pthread_cond_broadcast(&c->changed);
}

/* Ownership begins with the mirror, never with the answer to our own request: an answer
 * that was lost, or a transaction that was applied late, then makes no difference. */
void lmn_watch_cache_begin_ownerships(struct lmn_core *c, struct timespec now)
{
    for (int i = 0; i < c->nparts; i++) {
        struct lmn_partition *p = &c->parts[i];
        if (!p->mine && p->owner_rev && c->lease && p->owner_lease == c->lease &&
            !strcmp(p->owner, c->cfg->node))
            c->owner->partition_own(c, p, now);
    }
}

/* A page of a listing, parsed; -1 if it could not be had. after: the last key, moved on.
 */
static int read_page(struct lmn_core *c, struct lmn_http_client *h, GByteArray *buf,
                     const char *prefix, const char *after, struct lmn_cbor_document *d)
{
    char path[512];

    lmn_kv_client_wait_for_token(c->state);
    g_snprintf(path, sizeof path,
               WIRE_PATH_STORE "?" WIRE_QUERY_PREFIX "=%s%s%s&" WIRE_QUERY_LIMIT "=500",
               prefix, *after ? "&" WIRE_QUERY_AFTER "=" : "", after);
    int status = lmn_http_client_call(h, "GET", path, NULL, 3.0, buf);
    if (status == 200 && lmn_cbor_parse(d, buf->data, buf->len) == 0)
        return 0;
    lmn_debug("list-failed status=%d", status);
    return -1;
}

static bool more_pages(const struct lmn_cbor_document *d)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(d),
                                *items = lmn_cbor_get(d, root, WIRE_ITEMS);
    bool more = false;

    lmn_cbor_get_bool(lmn_cbor_get(d, root, WIRE_HAS_MORE), &more);
    return more && items && items->len;
}

/* Which jobs have ranges: of those that are final, only they are needed. */
static GHashTable *read_needed(struct lmn_core *c, struct lmn_http_client *h,
                               GByteArray *buf)
{
    GHashTable *set = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char after[256] = "";

    for (bool more = true; more;) {
        struct lmn_cbor_document d;
        if (read_page(c, h, buf, "r/", after, &d) != 0) {
            g_hash_table_destroy(set);
            return NULL;
        }
        const struct lmn_cbor_value *items =
            lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_ITEMS);
        for (const struct lmn_cbor_value *n = lmn_cbor_first_child(&d, items); n;
             n = lmn_cbor_next(&d, n)) {
            if (!lmn_cbor_get_text(lmn_cbor_get(&d, n, WIRE_KEY), after, sizeof after))
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

static int read_keys(struct lmn_core *c, struct lmn_http_client *h, GByteArray *buf,
                     uint64_t *revision)
{
    char after[256] = "";
    bool first = true;

    for (bool more = true; more;) {
        struct lmn_cbor_document d;
        uint64_t rev = 0;
        if (read_page(c, h, buf, "", after, &d) != 0)
            return -1;
        const struct lmn_cbor_value *root = lmn_cbor_root(&d);
        lmn_cbor_get_uint(lmn_cbor_get(&d, root, WIRE_REVISION), &rev);
        if (first)
            *revision = rev;
        first = false;
        pthread_mutex_lock(&c->lock);
        struct timespec now = lmn_now();
        const struct lmn_cbor_value *items = lmn_cbor_get(&d, root, WIRE_ITEMS);
        for (const struct lmn_cbor_value *n = lmn_cbor_first_child(&d, items); n;
             n = lmn_cbor_next(&d, n)) {
            uint64_t version = 0;
            if (!lmn_cbor_get_text(lmn_cbor_get(&d, n, WIRE_KEY), after, sizeof after) ||
                !lmn_cbor_get_uint(lmn_cbor_get(&d, n, WIRE_VERSION), &version))
                continue;
            lmn_watch_cache_apply(c, after, &d, lmn_cbor_get(&d, n, WIRE_VALUE), version,
                                  now);
        }
        bool crowded = c->crowded;
        pthread_mutex_unlock(&c->lock);
        more = more_pages(&d);
        lmn_cbor_free(&d);
        if (crowded)
            return 1;
    }
    return 0;
}

/* Reads every key; 0 if the mirror then is whole as of *revision. */
static int read_all(struct lmn_core *c, struct lmn_http_client *h, GByteArray *buf,
                    uint64_t *revision)
{
    pthread_mutex_lock(&c->lock);
    c->gen++;
    c->reading = true;
    c->crowded = c->reread = false;
    pthread_mutex_unlock(&c->lock);
    int rc = read_keys(c, h, buf, revision);
    if (rc == 1) {
        /* More final jobs than are kept in memory: which of them are needed is found out
         * first. */
        GHashTable *needed = read_needed(c, h, buf);
        pthread_mutex_lock(&c->lock);
        c->needed = needed;
        c->crowded = false;
        pthread_mutex_unlock(&c->lock);
        rc = needed ? read_keys(c, h, buf, revision) : -1;
    }
    pthread_mutex_lock(&c->lock);
    if (rc == 0 && !c->reread)
        lmn_watch_cache_sweep(c, lmn_now());
    else
        rc = -1;
    g_clear_pointer(&c->needed, g_hash_table_destroy);
    c->reading = false;
    pthread_mutex_unlock(&c->lock);
    return rc;
}

static void apply_events(struct lmn_core *c, const struct lmn_cbor_document *d,
                         const struct lmn_cbor_value *events, struct timespec now)
{
    char key[256];

    for (const struct lmn_cbor_value *n = lmn_cbor_first_child(d, events); n;
         n = lmn_cbor_next(d, n)) {
        uint64_t rev = 0;
        lmn_cbor_get_uint(lmn_cbor_get(d, n, WIRE_VERSION), &rev);
        if (lmn_cbor_get_text(lmn_cbor_get(d, n, WIRE_PUT), key, sizeof key))
            lmn_watch_cache_apply(c, key, d, lmn_cbor_get(d, n, WIRE_VALUE), rev, now);
        else if (lmn_cbor_get_text(lmn_cbor_get(d, n, WIRE_DELETE), key, sizeof key))
            lmn_watch_cache_apply(c, key, d, NULL, rev, now);
    }
}

/* One wait for changes. Returns the status, or a negative one. */
static int follow(struct lmn_core *c, struct lmn_http_client *h, GByteArray *buf,
                  uint64_t *revision, bool first)
{
    char path[256];
    struct lmn_cbor_document d;
    int wait_ms = first ? 0 : 800;

    /* Whoever is suspected has to be able to refute, and a verdict needs a fresh mirror.
     */
    pthread_mutex_lock(&c->lock);
    for (int i = 0; i < c->members.n; i++)
        if (lmn_member_is_suspected(&c->members, i))
            wait_ms = MIN(wait_ms, 200);
    pthread_mutex_unlock(&c->lock);
    lmn_kv_client_wait_for_token(c->state);
    struct timespec sent = lmn_now();
    g_snprintf(path, sizeof path,
               WIRE_PATH_WATCH "?" WIRE_QUERY_PREFIX "=&" WIRE_QUERY_AFTER
                               "=%" G_GUINT64_FORMAT "&" WIRE_QUERY_WAIT_MS "=%d",
               *revision, wait_ms);
    int status = lmn_http_client_call(h, "GET", path, NULL, wait_ms / 1000.0 + 2.0, buf);
    if (status != 200)
        return status;
    if (lmn_cbor_parse(&d, buf->data, buf->len) != 0)
        return LMN_HTTP_NO_RESPONSE;
    const struct lmn_cbor_value *root = lmn_cbor_root(&d);
    uint64_t upto = *revision;
    lmn_cbor_get_uint(lmn_cbor_get(&d, root, WIRE_REVISION), &upto);
    pthread_mutex_lock(&c->lock);
    struct timespec now = lmn_now();
    apply_events(c, &d, lmn_cbor_get(&d, root, WIRE_EVENTS), now);
    if (upto > *revision)
        *revision = upto;
    /* The answer may have been on its way for long: it proves only the time of asking. */
    c->fresh = sent;
    lmn_members_record_watch(&c->members, sent);
    if (!c->synced) {
        c->synced = true;
        c->synced_at = now;
        pthread_cond_broadcast(&c->changed);
    }
    lmn_watch_cache_begin_ownerships(c, now);
    lmn_retention_evict(c, now);
    pthread_mutex_unlock(&c->lock);
    lmn_cbor_free(&d);
    return 200;
}

void *lmn_watch_cache_thread(void *arg)
{
    struct lmn_core *c = arg;
    struct lmn_http_client *h = lmn_http_client_new(c->cfg->state);
    GByteArray *buf = g_byte_array_new();
    uint64_t revision = 0;
    bool whole = false, first = true, trouble = false;

    for (;;) {
        struct timespec begun = lmn_now();
        int status = 200;
        if (!whole) {
            whole = read_all(c, h, buf, &revision) == 0;
            first = true;
            status = whole ? 200 : LMN_HTTP_NO_RESPONSE;
        }
        if (whole) {
            status = follow(c, h, buf, &revision, first);
            first = false;
            if (status == 410) {
                lmn_info("mirror-too-old revision=%" G_GUINT64_FORMAT, revision);
                whole = false;
                continue;
            }
        }
        if ((status != 200) != trouble) {
            trouble = status != 200;
            lmn_info("state-%s status=%d", trouble ? "trouble" : "back", status);
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
