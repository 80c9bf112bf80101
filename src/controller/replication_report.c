#include "controller/replication_report.h"
#include "http/metrics.h"
#include "replication/stream.h"

#include <string.h>

void lmn_replication_describe(GString *s, const struct lmn_core *c,
                              const struct lmn_partition *p, struct timespec now)
{
    const struct lmn_replication_stream *f = &p->stream;
    uint64_t starts;
    guint machines;
    double seconds;

    if (p->mine) {
        lmn_replication_lag(p, now, &machines, &starts, &seconds);
        g_string_append_printf(
            s, "  standby %s phase=%s untold=%u waiting=%" G_GUINT64_FORMAT " waits=%.3f",
            f->phase == LMN_STREAM_NONE ? "-" : lmn_member_name(&c->members, f->to),
            lmn_replication_phase_name(f->phase), machines, starts, seconds);
        if (f->phase == LMN_STREAM_NONE && f->why)
            g_string_append_printf(s, " last=\"%s\" again_in=%.1f", f->why,
                                   MAX(lmn_time_diff_s(f->next, now), 0));
        g_string_append_printf(s,
                               " batches=%" G_GUINT64_FORMAT
                               " machines=%" G_GUINT64_FORMAT
                               " strikes=%" G_GUINT64_FORMAT "\n",
                               f->count.batches, f->count.machines, f->count.strikes);
    } else if (p->copy && p->copy->own) {
        g_string_append_printf(s, "  own term=%" G_GUINT64_FORMAT " machines=%u\n",
                               p->copy->term, g_hash_table_size(p->copy->machines));
    } else if (p->copy) {
        g_string_append_printf(
            s, "  copy term=%" G_GUINT64_FORMAT " machines=%u last=%.2f in_step=%d\n",
            p->copy->term, g_hash_table_size(p->copy->machines),
            lmn_time_diff_s(now, p->copy->last),
            p->copy->stream == p->standby_stream && p->copy->term == p->term &&
                !strcmp(p->standby, c->cfg->node));
    }
}

json_t *lmn_replication_standby_partitions(const struct lmn_core *c, int rank)
{
    const char *name = lmn_member_name(&c->members, rank);
    json_t *all = json_array();

    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *p = &c->parts[i];
        if (p->standby_stream && p->standby_term == p->term && !strcmp(p->standby, name))
            json_array_append_new(all, json_integer(i));
    }
    return all;
}

void lmn_replication_metrics(const struct lmn_core *c, GString *out, struct timespec now)
{
    unsigned in_step = 0, copies = 0, untold = 0;
    struct lmn_replication_counters sum = {0};
    double waits = 0;

    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *p = &c->parts[i];
        const struct lmn_replication_counters *n = &p->stream.count;
        uint64_t starts;
        guint machines;
        double seconds;
        sum.batches += n->batches;
        sum.machines += n->machines;
        sum.streams += n->streams;
        sum.strikes += n->strikes;
        copies += p->copy && !p->copy->own;
        if (!p->mine)
            continue;
        lmn_replication_lag(p, now, &machines, &starts, &seconds);
        in_step += p->stream.phase == LMN_STREAM_IN_SYNC;
        untold += machines;
        waits = MAX(waits, seconds);
    }
    lmn_gauge(out, "lemonspar_standby_in_step",
              "Owned partitions whose standby is in step", in_step);
    lmn_gauge(out, "lemonspar_standby_copies",
              "Others' partitions that this node follows", copies);
    lmn_gauge(out, "lemonspar_standby_untold", "Machines that standbys are to be told of",
              untold);
    lmn_gauge(out, "lemonspar_standby_wait_seconds",
              "For how long the oldest start has waited for its standby", waits);
    lmn_counter(out, "lemonspar_standby_batches", "Batches acknowledged", sum.batches);
    lmn_counter(out, "lemonspar_standby_machines", "Machines told in them", sum.machines);
    lmn_counter(out, "lemonspar_standby_streams", "Copies begun", sum.streams);
    lmn_counter(out, "lemonspar_standby_strikes", "Standbys struck off the record",
                sum.strikes);
    lmn_counter(
        out, "lemonspar_tombstones",
        "Withdrawals that another controller told of before the mirror showed them",
        c->count.tombstones);
    lmn_counter(out, "lemonspar_starts_withheld",
                "Starts taken back since no standby acknowledged them",
                c->count.withheld);
    lmn_counter(out, "lemonspar_takeovers_warm",
                "Takeovers with a standby's copy, or an owner's own", c->count.warm);
    lmn_counter(out, "lemonspar_takeovers_own",
                "Of those: by the last owner, with its own", c->count.own);
    lmn_counter(out, "lemonspar_takeovers_cold", "Takeovers without", c->count.cold);
    lmn_quantiles(out, "lemonspar_standby_ack_seconds",
                  "What starts wait for their acknowledgement", &c->telling);
}
