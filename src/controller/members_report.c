#include "controller/members_report.h"
#include "protocol/json.h"
#include "http/metrics.h"
#include "controller/replication_report.h"
#include "state/core.h"

/* How a member stands. */
static const char *standing(const struct lmn_members *members, int member_index,
                            struct timespec now)
{
    const struct lmn_member_view *member = &members->views[member_index];

    if (!member->is_present)
        return "gone";
    if (member->is_shutting_down)
        return "leaving";
    if (member->is_declared_failed)
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
    const struct lmn_member_view *member = &members->views[member_index];
    const struct lmn_member_health *health =
        member_index == members->self ? &members->health : &member->health;
    struct lmn_failure_evidence e;
    json_t *j = json_object();

    lmn_member_failure_evidence(members, member_index, now, &e);
    json_object_set_new(j, "member", json_string(lmn_member_name(members, member_index)));
    json_object_set_new(j, "self", json_boolean(member_index == members->self));
    json_object_set_new(j, "standing", json_string(standing(members, member_index, now)));
    json_object_set_new(j, "incarnation", json_integer((json_int_t)member->incarnation));
    json_object_set_new(j, "partitions",
                        json_integer(lmn_member_owned_partitions(core, member_index)));
    json_object_set_new(j, "stands_by",
                        lmn_replication_standby_partitions(core, member_index));
    json_object_set_new(j, "heard_s",
                        member->ever_contacted
                            ? json_real(lmn_time_diff_s(now, member->last_contact_at))
                            : json_null());
    json_object_set_new(j, "answers_s", json_real(member->reply_times.mean));
    json_object_set_new(j, "behind_s", json_real(health->delay_s));
    json_object_set_new(j, "mirror_s",
                        json_real(member_index == members->self
                                      ? MIN(lmn_watch_cache_age_s(core, now), 1e6)
                                      : health->cache_age_s));
    json_object_set_new(j, "unheard_machines", json_real(health->silent_machine_share));
    if (lmn_member_is_suspected(members, member_index)) {
        json_object_set_new(j, "suspected_by", json_string(member->suspected_by));
        json_object_set_new(
            j, "suspected_of",
            json_string(lmn_suspicion_cause_name(member->suspicion_cause)));
        json_object_set_new(j, "suspected_s",
                            json_real(lmn_time_diff_s(now, member->suspected_since)));
    }
    json_object_set_new(j, "asked_phi", json_real(e.own_phi));
    json_object_set_new(j, "others_phi", json_real(e.best_other_phi));
    json_object_set_new(j, "against", json_integer(e.other_witnesses));
    json_object_set_new(j, "workers_here", json_integer(e.redirected_workers));
    json_object_set_new(j, "failures", json_integer(member->failures_declared));
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
    for (int k = 0; k < core->members.count; k++)
        json_array_append_new(all, member(core, k, now));
    json_t *top =
        json_pack("{s:s, s:b, s:b, s:i, s:o}", "node", core->settings->node_name, "awake",
                  (int)lmn_self_may_reply(&core->members, now), "fit",
                  (int)lmn_self_may_claim(&core->members, now), "health",
                  (int)core->members.local_health, "members", all);
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
    const struct lmn_member_counts *n = &members->counters;
    struct timespec now = lmn_now();

    lmn_metric_head(out, "lemonspar_member_trusted", "gauge",
                    "1: up, not suspected, and fit by its own word");
    for (int i = 0; i < members->count; i++)
        lmn_metric_sample(out, "lemonspar_member_trusted", "member",
                          lmn_member_name(members, i),
                          lmn_member_is_trusted(members, i, now));
    lmn_metric_head(out, "lemonspar_member_suspected", "gauge",
                    "1: a suspicion of it stands");
    for (int i = 0; i < members->count; i++)
        lmn_metric_sample(out, "lemonspar_member_suspected", "member",
                          lmn_member_name(members, i),
                          lmn_member_is_suspected(members, i));
    lmn_gauge(out, "lemonspar_member_health",
              "0: this node's clocks are well, to 8: late or not heard",
              members->local_health);
    lmn_counter(out, "lemonspar_member_questions", "Questions to members",
                n->probes_sent);
    lmn_counter(out, "lemonspar_member_unanswered", "Of these, not answered",
                n->probes_unanswered);
    lmn_counter(out, "lemonspar_member_suspicions", "Suspicions that this node wrote",
                n->suspicions);
    lmn_counter(out, "lemonspar_member_refutations", "Suspicions of it that it refuted",
                n->refutations);
    lmn_counter(out, "lemonspar_member_verdicts",
                "Partitions claimed from members that it judged", n->failures_declared);
    lmn_counter(out, "lemonspar_member_gives", "Partitions that it gave to others",
                n->transfers);
}
