#include "controller/members_report.h"
#include "protocol/json.h"
#include "http/metrics.h"
#include "controller/replication_report.h"
#include "state/core.h"

/* How a member stands. */
static const char *standing(const struct lmn_members *members, int member_index,
                            struct timespec now)
{
    const struct lmn_member_view *member = &members->v[member_index];

    if (!member->present)
        return "gone";
    if (member->leaving)
        return "leaving";
    if (member->judged)
        return "judged";
    if (lmn_member_is_suspected(members, member_index))
        return "suspected";
    if (!lmn_member_is_trusted(members, member_index, now))
        return "doubtful";
    return lmn_member_readmission_delay_s(members, member_index, now) > 0 ? "coming-back"
                                                                          : "alive";
}

static json_t *member(const struct lmn_core *core, int member_index, struct timespec now)
{
    const struct lmn_members *members = &core->members;
    const struct lmn_member_view *member = &members->v[member_index];
    const struct lmn_member_health *health =
        member_index == members->me ? &members->word : &member->word;
    struct lmn_failure_evidence e;
    json_t *j = json_object();

    lmn_member_failure_evidence(members, member_index, now, &e);
    json_object_set_new(j, "member", json_string(lmn_member_name(members, member_index)));
    json_object_set_new(j, "self", json_boolean(member_index == members->me));
    json_object_set_new(j, "standing", json_string(standing(members, member_index, now)));
    json_object_set_new(j, "incarnation", json_integer((json_int_t)member->inc));
    json_object_set_new(j, "partitions",
                        json_integer(lmn_member_owned_partitions(core, member_index)));
    json_object_set_new(j, "stands_by",
                        lmn_replication_standby_partitions(core, member_index));
    json_object_set_new(j, "heard_s",
                        member->ever ? json_real(lmn_time_diff_s(now, member->heard))
                                     : json_null());
    json_object_set_new(j, "answers_s", json_real(member->answers.mean));
    json_object_set_new(j, "behind_s", json_real(health->behind_s));
    json_object_set_new(j, "mirror_s",
                        json_real(member_index == members->me
                                      ? MIN(lmn_watch_cache_age_s(core, now), 1e6)
                                      : health->stale_s));
    json_object_set_new(j, "unheard_machines", json_real(health->deaf));
    if (lmn_member_is_suspected(members, member_index)) {
        json_object_set_new(j, "suspected_by", json_string(member->doubt_by));
        json_object_set_new(j, "suspected_of",
                            json_string(lmn_suspicion_cause_name(member->doubt_why)));
        json_object_set_new(j, "suspected_s",
                            json_real(lmn_time_diff_s(now, member->doubted)));
    }
    json_object_set_new(j, "asked_phi", json_real(e.asked));
    json_object_set_new(j, "others_phi", json_real(e.others));
    json_object_set_new(j, "against", json_integer(e.by));
    json_object_set_new(j, "workers_here", json_integer(e.visitors));
    json_object_set_new(j, "failures", json_integer(member->strikes));
    json_object_set_new(
        j, "back_in_s",
        json_real(lmn_member_readmission_delay_s(members, member_index, now)));
    return j;
}

/* 0,3; -: none */
static void partitions(GString *text, const json_t *list)
{
    for (size_t i = 0; i < json_array_size(list); i++)
        g_string_append_printf(text, "%s%" JSON_INTEGER_FORMAT, i ? "," : "",
                               json_integer_value(json_array_get(list, i)));
    if (!json_array_size(list))
        g_string_append_c(text, '-');
}

static void line(GString *text, const json_t *j)
{
    const json_t *v;
    const char *key;
    bool first = true;

    json_object_foreach((json_t *)j, key, v)
    {
        if (json_is_null(v))
            continue;
        g_string_append(text, first ? "" : " ");
        if (!first)
            g_string_append_printf(text, "%s=", key);
        if (json_is_string(v))
            g_string_append(text, json_string_value(v));
        else if (json_is_integer(v))
            g_string_append_printf(text, "%" JSON_INTEGER_FORMAT, json_integer_value(v));
        else if (json_is_real(v))
            g_string_append_printf(text, "%.2f", json_real_value(v));
        else if (json_is_array(v))
            partitions(text, v);
        else
            g_string_append(text, json_is_true(v) ? "yes" : "no");
        first = false;
    }
    g_string_append_c(text, '\n');
}

char *lmn_members_report(struct lmn_core *core, bool json)
{
    struct timespec now = lmn_now();
    json_t *all = json_array(), *j;
    size_t i;

    pthread_mutex_lock(&core->lock);
    for (int k = 0; k < core->members.n; k++)
        json_array_append_new(all, member(core, k, now));
    json_t *top = json_pack("{s:s, s:b, s:b, s:i, s:o}", "node", core->cfg->node, "awake",
                            (int)lmn_self_may_reply(&core->members, now), "fit",
                            (int)lmn_self_may_claim(&core->members, now), "health",
                            (int)core->members.health, "members", all);
    pthread_mutex_unlock(&core->lock);
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

void lmn_members_metrics(const struct lmn_core *core, GString *out)
{
    const struct lmn_members *members = &core->members;
    const struct lmn_member_counts *n = &members->count;
    struct timespec now = lmn_now();

    lmn_metric_head(out, "lemonspar_member_trusted", "gauge",
                    "1: up, not suspected, and fit by its own word");
    for (int i = 0; i < members->n; i++)
        lmn_metric_sample(out, "lemonspar_member_trusted", "member",
                          lmn_member_name(members, i),
                          lmn_member_is_trusted(members, i, now));
    lmn_metric_head(out, "lemonspar_member_suspected", "gauge",
                    "1: a suspicion of it stands");
    for (int i = 0; i < members->n; i++)
        lmn_metric_sample(out, "lemonspar_member_suspected", "member",
                          lmn_member_name(members, i),
                          lmn_member_is_suspected(members, i));
    lmn_gauge(out, "lemonspar_member_health",
              "0: this node's clocks are well, to 8: late or not heard", members->health);
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
