#include "controller/members_report.h"
#include "protocol/json.h"
#include "http/metrics.h"
#include "controller/replication_report.h"
#include "state/core.h"

/* How a member stands. */
static const char *standing(const struct lmn_members *ms, int rank, struct timespec now)
{
    const struct lmn_member_view *m = &ms->v[rank];

    if (!m->present)
        return "gone";
    if (m->leaving)
        return "leaving";
    if (m->judged)
        return "judged";
    if (lmn_member_is_suspected(ms, rank))
        return "suspected";
    if (!lmn_member_is_trusted(ms, rank, now))
        return "doubtful";
    return lmn_member_readmission_delay_s(ms, rank, now) > 0 ? "coming-back" : "alive";
}

static json_t *member(const struct lmn_core *c, int rank, struct timespec now)
{
    const struct lmn_members *ms = &c->members;
    const struct lmn_member_view *m = &ms->v[rank];
    const struct lmn_member_health *w = rank == ms->me ? &ms->word : &m->word;
    struct lmn_failure_evidence e;
    json_t *j = json_object();

    lmn_member_failure_evidence(ms, rank, now, &e);
    json_object_set_new(j, "member", json_string(lmn_member_name(ms, rank)));
    json_object_set_new(j, "self", json_boolean(rank == ms->me));
    json_object_set_new(j, "standing", json_string(standing(ms, rank, now)));
    json_object_set_new(j, "incarnation", json_integer((json_int_t)m->inc));
    json_object_set_new(j, "partitions",
                        json_integer(lmn_member_owned_partitions(c, rank)));
    json_object_set_new(j, "stands_by", lmn_replication_standby_partitions(c, rank));
    json_object_set_new(
        j, "heard_s", m->ever ? json_real(lmn_time_diff_s(now, m->heard)) : json_null());
    json_object_set_new(j, "answers_s", json_real(m->answers.mean));
    json_object_set_new(j, "behind_s", json_real(w->behind_s));
    json_object_set_new(
        j, "mirror_s",
        json_real(rank == ms->me ? MIN(lmn_watch_cache_age_s(c, now), 1e6) : w->stale_s));
    json_object_set_new(j, "unheard_machines", json_real(w->deaf));
    if (lmn_member_is_suspected(ms, rank)) {
        json_object_set_new(j, "suspected_by", json_string(m->doubt_by));
        json_object_set_new(j, "suspected_of",
                            json_string(lmn_suspicion_cause_name(m->doubt_why)));
        json_object_set_new(j, "suspected_s",
                            json_real(lmn_time_diff_s(now, m->doubted)));
    }
    json_object_set_new(j, "asked_phi", json_real(e.asked));
    json_object_set_new(j, "others_phi", json_real(e.others));
    json_object_set_new(j, "against", json_integer(e.by));
    json_object_set_new(j, "workers_here", json_integer(e.visitors));
    json_object_set_new(j, "failures", json_integer(m->strikes));
    json_object_set_new(j, "back_in_s",
                        json_real(lmn_member_readmission_delay_s(ms, rank, now)));
    return j;
}

/* 0,3; -: none */
static void partitions(GString *s, const json_t *list)
{
    for (size_t i = 0; i < json_array_size(list); i++)
        g_string_append_printf(s, "%s%" JSON_INTEGER_FORMAT, i ? "," : "",
                               json_integer_value(json_array_get(list, i)));
    if (!json_array_size(list))
        g_string_append_c(s, '-');
}

static void line(GString *s, const json_t *j)
{
    const json_t *v;
    const char *key;
    bool first = true;

    json_object_foreach((json_t *)j, key, v)
    {
        if (json_is_null(v))
            continue;
        g_string_append(s, first ? "" : " ");
        if (!first)
            g_string_append_printf(s, "%s=", key);
        if (json_is_string(v))
            g_string_append(s, json_string_value(v));
        else if (json_is_integer(v))
            g_string_append_printf(s, "%" JSON_INTEGER_FORMAT, json_integer_value(v));
        else if (json_is_real(v))
            g_string_append_printf(s, "%.2f", json_real_value(v));
        else if (json_is_array(v))
            partitions(s, v);
        else
            g_string_append(s, json_is_true(v) ? "yes" : "no");
        first = false;
    }
    g_string_append_c(s, '\n');
}

char *lmn_members_report(struct lmn_core *c, bool json)
{
    struct timespec now = lmn_now();
    json_t *all = json_array(), *j;
    size_t i;

    pthread_mutex_lock(&c->lock);
    for (int k = 0; k < c->members.n; k++)
        json_array_append_new(all, member(c, k, now));
    json_t *top = json_pack("{s:s, s:b, s:b, s:i, s:o}", "node", c->cfg->node, "awake",
                            (int)lmn_self_may_reply(&c->members, now), "fit",
                            (int)lmn_self_may_claim(&c->members, now), "health",
                            (int)c->members.health, "members", all);
    pthread_mutex_unlock(&c->lock);
    char *text;
    if (json) {
        char *dumped = json_dumps(top, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
        text = g_strdup(dumped);
        free(dumped);
    } else {
        GString *s = g_string_new(NULL);
        json_array_foreach(all, i, j) line(s, j);
        text = g_string_free(s, FALSE);
    }
    json_decref(top);
    return text;
}

void lmn_members_metrics(const struct lmn_core *c, GString *out)
{
    const struct lmn_members *ms = &c->members;
    const struct lmn_member_counts *n = &ms->count;
    struct timespec now = lmn_now();

    lmn_metric_head(out, "lemonspar_member_trusted", "gauge",
                    "1: up, not suspected, and fit by its own word");
    for (int i = 0; i < ms->n; i++)
        lmn_metric_sample(out, "lemonspar_member_trusted", "member",
                          lmn_member_name(ms, i), lmn_member_is_trusted(ms, i, now));
    lmn_metric_head(out, "lemonspar_member_suspected", "gauge",
                    "1: a suspicion of it stands");
    for (int i = 0; i < ms->n; i++)
        lmn_metric_sample(out, "lemonspar_member_suspected", "member",
                          lmn_member_name(ms, i), lmn_member_is_suspected(ms, i));
    lmn_gauge(out, "lemonspar_member_health",
              "0: this node's clocks are well, to 8: late or not heard", ms->health);
    lmn_counter(out, "lemonspar_member_questions", "Questions to members", n->asked);
    lmn_counter(out, "lemonspar_member_unanswered", "Of these, not answered",
                n->unanswered);
    lmn_counter(out, "lemonspar_member_suspicions", "Suspicions that this node wrote",
                n->suspicions);
    lmn_counter(out, "lemonspar_member_refutations", "Suspicions of it that it refuted",
                n->refutations);
    lmn_counter(out, "lemonspar_member_verdicts",
                "Partitions claimed from members that it judged", n->verdicts);
    lmn_counter(out, "lemonspar_member_gives", "Partitions that it gave to others",
                n->gives);
}
