/* Parts of teams' limits on their way between partitions.
 *
 * A part is given to another partition by its owner alone, by one write that is
 * conditional on its ownership and on the team's record, and only what its tasks do not
 * use. What is being given counts as given from before the write goes out until the
 * mirror shows what became of it; what is received counts only once the mirror shows it.
 * So the parts in use never add up to more than the limit, whatever fails. */
#include "partition/quota_transfer.h"
#include "scheduler/reservation.h"
#include "util/log.h"

#include <string.h>

static char *record_key(const struct lmn_core *c, int team)
{
    /* Keys hold no spaces; names may. */
    char *name = g_uri_escape_string(c->cfg->teams[team].name, NULL, FALSE);
    char *key = g_strdup_printf("q/%s", name);
    g_free(name);
    return key;
}

void lmn_quota_record_apply(struct lmn_core *c, const char *key,
                            const struct lmn_cbor_document *d,
                            const struct lmn_cbor_value *v, uint64_t rev)
{
    int team = -1;

    for (size_t i = 0; i < c->cfg->nteams && team < 0; i++) {
        char *own = record_key(c, (int)i);
        if (!strcmp(own, key))
            team = (int)i;
        g_free(own);
    }
    if (team < 0 || !v || c->quota_rev[team] >= rev)
        return;
    const struct lmn_cbor_value *cpus =
        lmn_cbor_first_child(d, lmn_cbor_get(d, v, "cpus"));
    const struct lmn_cbor_value *gpus =
        lmn_cbor_first_child(d, lmn_cbor_get(d, v, "gpus"));
    for (int i = 0; i < c->nparts; i++) {
        struct lmn_partition *p = &c->parts[i];
        p->quota_cpus[team] = p->quota_gpus[team] = 0;
        if (cpus)
            lmn_cbor_get_number(cpus, &p->quota_cpus[team]),
                cpus = lmn_cbor_next(d, cpus);
        if (gpus)
            lmn_cbor_get_number(gpus, &p->quota_gpus[team]),
                gpus = lmn_cbor_next(d, gpus);
        /* Either our transfer was applied, or it can't be any more. */
        if (p->transfer.team == team && rev > p->transfer.rev)
            p->transfer.team = -1;
    }
    c->quota_rev[team] = rev;
    /* Parts of another limit, from settings before these, are no parts of this one. */
    double cpus_max = -1, gpus_max = -1;
    lmn_cbor_get_number(lmn_cbor_get(d, v, "cpus_max"), &cpus_max);
    lmn_cbor_get_number(lmn_cbor_get(d, v, "gpus_max"), &gpus_max);
    c->quota_known[team] = cpus_max == c->cfg->teams[team].cpus_max &&
                           gpus_max == c->cfg->teams[team].gpus_max;
}

struct transfer_ref {
    struct lmn_core *c;
    int part;
    uint64_t serial;
};

static void submit(struct lmn_core *c, struct lmn_partition *p);

static void given(void *arg, struct lmn_txn *t, enum lmn_txn_outcome outcome,
                  uint64_t rev)
{
    struct transfer_ref *w = arg;
    struct lmn_core *c = w->c;
    struct lmn_partition *p = &c->parts[w->part];
    (void)t;
    (void)rev;

    pthread_mutex_lock(&c->lock);
    if (p->mine && p->transfer.team >= 0 && p->transfer.serial == w->serial) {
        if (outcome == LMN_TXN_REJECTED && !p->transfer.unsure) {
            p->transfer.team = -1; /* surely not applied, and never will be */
        } else if (outcome == LMN_TXN_REJECTED || outcome == LMN_TXN_UNKNOWN) {
            /* Only the mirror can tell; the same write again makes it tell. */
            p->transfer.unsure = true;
            p->transfer.retry = lmn_time_add(lmn_now(), 0.5);
        }
    }
    pthread_mutex_unlock(&c->lock);
    g_free(w);
}

static void submit(struct lmn_core *c, struct lmn_partition *p)
{
    struct transfer_ref *w = g_new0(struct transfer_ref, 1);
    int team = p->transfer.team;
    char *key = record_key(c, team), owner[32];
    GByteArray *b = g_byte_array_new();

    *w = (struct transfer_ref){c, p->id, p->transfer.serial};
    struct lmn_txn *t = lmn_txn_new(LMN_WRITE_CLOSE, given, w);
    g_snprintf(owner, sizeof owner, "o/%d", p->id);
    lmn_txn_require_version(t, owner, p->my_rev);
    lmn_txn_require_version(t, key, p->transfer.rev);
    lmn_cbor_put_map(b, 4);
    lmn_cbor_put_text(b, "cpus_max"),
        lmn_cbor_put_number(b, c->cfg->teams[team].cpus_max);
    lmn_cbor_put_text(b, "gpus_max"),
        lmn_cbor_put_number(b, c->cfg->teams[team].gpus_max);
    for (int gpus = 0; gpus < 2; gpus++) {
        lmn_cbor_put_text(b, gpus ? "gpus" : "cpus");
        lmn_cbor_put_array(b, (size_t)c->nparts);
        for (int i = 0; i < c->nparts; i++) {
            double x, y;
            lmn_quota_even_share(c, team, &x, &y);
            if (c->quota_known[team])
                x = c->parts[i].quota_cpus[team], y = c->parts[i].quota_gpus[team];
            double by = gpus ? p->transfer.gpus : p->transfer.cpus;
            lmn_cbor_put_number(b, (gpus ? y : x) + (i == p->transfer.to ? by
                                                     : i == p->id        ? -by
                                                                         : 0));
        }
    }
    lmn_txn_put(t, key, b, 0);
    g_free(key);
    p->transfer.retry = (struct timespec){0, 0};
    lmn_kv_client_submit(c->state, t);
}

bool lmn_quota_transfer_begin(struct lmn_core *c, struct lmn_partition *p, int team,
                              int to, double cpus, double gpus)
{
    double have_cpus, have_gpus;

    if (!p->mine || !p->ready || p->releasing || p->transfer.team >= 0 || to == p->id ||
        to < 0 || to >= c->nparts || team < 0 || team >= (int)c->cfg->nteams ||
        !lmn_team_has_limit(&c->cfg->teams[team]))
        return false;
    lmn_quota_share(c, p, team, &have_cpus, &have_gpus);
    cpus = CLAMP(cpus, 0, MAX(have_cpus - p->used_cpus[team], 0));
    gpus = CLAMP(gpus, 0, MAX(have_gpus - p->used_gpus[team], 0));
    if (cpus < 1e-6 && gpus < 1e-6)
        return false;
    p->transfer = (struct lmn_quota_transfer){.team = team,
                                              .to = to,
                                              .cpus = cpus,
                                              .gpus = gpus,
                                              .rev = c->quota_rev[team],
                                              .serial = ++c->transfers};
    lmn_debug("quota-give team=%s partition=%d to=%d cpus=%.1f gpus=%.1f",
              c->cfg->teams[team].name, p->id, to, cpus, gpus);
    submit(c, p);
    return true;
}

void lmn_quota_transfer_flush(struct lmn_core *c, struct lmn_partition *p,
                              struct timespec now)
{
    if (p->transfer.team >= 0 && p->transfer.retry.tv_sec &&
        !lmn_time_before(now, p->transfer.retry) &&
        c->quota_rev[p->transfer.team] == p->transfer.rev)
        submit(c, p);
}

void lmn_quota_transfer_reset(struct lmn_partition *p)
{
    p->transfer.team = -1;
}

bool lmn_quota_request_handle(struct lmn_core *c, struct lmn_partition *p, int to,
                              const struct lmn_quota_request *w, struct timespec now)
{
    double cpus, gpus, have_cpus, have_gpus;

    if (!p->mine || w->team < 0 || w->team >= (int)c->cfg->nteams)
        return false;
    lmn_quota_spare(c, p, w, &cpus, &gpus);
    /* Small tasks take each piece of the part as it becomes free: a task larger than any
     * part waited for as long as they came. */
    lmn_quota_share(c, p, w->team, &have_cpus, &have_gpus);
    double lacks_cpus = MIN(w->least_cpus, have_cpus);
    double lacks_gpus = MIN(w->least_gpus, have_gpus);
    if (p->used_cpus[w->team] + lacks_cpus > have_cpus + 1e-6 ||
        p->used_gpus[w->team] + lacks_gpus > have_gpus + 1e-6)
        lmn_reserve_quota(p, w->team, lacks_cpus, lacks_gpus, now);
    return lmn_quota_transfer_begin(c, p, w->team, to, cpus, gpus);
}
