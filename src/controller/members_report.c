/** @file
 * The members' report: a JSON object for each member, from which the line of text is made
 * as well. The keys and the values of `standing` must not change, because operators'
 * scripts read them. */
#include "controller/members_report.h"
#include "protocol/json.h"
#include "http/metrics.h"
#include "controller/replication_report.h"
#include "state/core.h"

#include <stdlib.h>

/** Longer ages are reported as this value. */
static const double MAX_REPORTED_AGE_S = 1e6;

/** The value of `standing`: the member's state in one word. */
static const char *standing_name(const struct lmn_members *members, int member_index,
                                 struct timespec now)
{
    const struct lmn_member_view *view = &members->views[member_index];

    if (!view->is_present)
        return "gone";
    if (view->is_shutting_down)
        return "leaving";
    if (view->is_declared_failed)
        return "judged";
    if (lmn_member_is_suspected(members, member_index))
        return "suspected";
    if (!lmn_member_is_trusted(members, member_index, now))
        return "doubtful";
    return lmn_member_readmission_delay_s(members, member_index, now) > 0 ? "coming-back"
                                                                          : "alive";
}

static void add_identity(json_t *object, const struct lmn_core *core, int member_index,
                         struct timespec now)
{
    const struct lmn_members *members = &core->members;
    const struct lmn_member_view *view = &members->views[member_index];

    json_object_set_new(object, "member",
                        json_string(lmn_member_name(members, member_index)));
    json_object_set_new(object, "self", json_boolean(member_index == members->self));
    json_object_set_new(object, "standing",
                        json_string(standing_name(members, member_index, now)));
    json_object_set_new(object, "incarnation",
                        json_integer((json_int_t)view->incarnation));
    json_object_set_new(object, "partitions",
                        json_integer(lmn_member_owned_partitions(core, member_index)));
    json_object_set_new(object, "stands_by",
                        lmn_replication_standby_partitions(core, member_index));
}

static void add_health(json_t *object, const struct lmn_core *core, int member_index,
                       struct timespec now)
{
    const struct lmn_members *members = &core->members;
    const struct lmn_member_view *view = &members->views[member_index];
    bool is_self = member_index == members->self;
    const struct lmn_member_health *health = is_self ? &members->health : &view->health;

    json_object_set_new(object, "heard_s",
                        view->ever_contacted
                            ? json_real(lmn_time_diff_s(now, view->last_contact_at))
                            : json_null());
    json_object_set_new(object, "answers_s", json_real(view->reply_times.mean));
    json_object_set_new(object, "behind_s", json_real(health->delay_s));
    json_object_set_new(
        object, "mirror_s",
        json_real(is_self ? MIN(lmn_watch_cache_age_s(core, now), MAX_REPORTED_AGE_S)
                          : health->cache_age_s));
    json_object_set_new(object, "unheard_machines",
                        json_real(health->silent_machine_share));
}

static void add_suspicion(json_t *object, const struct lmn_member_view *view,
                          struct timespec now)
{
    json_object_set_new(object, "suspected_by", json_string(view->suspected_by));
    json_object_set_new(object, "suspected_of",
                        json_string(lmn_suspicion_cause_name(view->suspicion_cause)));
    json_object_set_new(object, "suspected_s",
                        json_real(lmn_time_diff_s(now, view->suspected_since)));
}

static void add_evidence(json_t *object, const struct lmn_failure_evidence *evidence)
{
    json_object_set_new(object, "asked_phi", json_real(evidence->own_phi));
    json_object_set_new(object, "others_phi", json_real(evidence->best_other_phi));
    json_object_set_new(object, "against", json_integer(evidence->other_witnesses));
    json_object_set_new(object, "workers_here",
                        json_integer(evidence->redirected_workers));
}

/** @return an object owned by the caller */
static json_t *describe_member(const struct lmn_core *core, int member_index,
                               struct timespec now)
{
    const struct lmn_members *members = &core->members;
    const struct lmn_member_view *view = &members->views[member_index];
    struct lmn_failure_evidence evidence;
    json_t *object = json_object();

    lmn_member_failure_evidence(members, member_index, now, &evidence);
    add_identity(object, core, member_index, now);
    add_health(object, core, member_index, now);
    if (lmn_member_is_suspected(members, member_index))
        add_suspicion(object, view, now);
    add_evidence(object, &evidence);
    json_object_set_new(object, "failures", json_integer(view->failures_declared));
    json_object_set_new(
        object, "back_in_s",
        json_real(lmn_member_readmission_delay_s(members, member_index, now)));
    return object;
}

/** Appends the partitions' ids, as in "0,3", or "-" if there are none. */
static void append_partitions(GString *text, const json_t *list)
{
    for (size_t i = 0; i < json_array_size(list); i++)
        g_string_append_printf(text, "%s%" JSON_INTEGER_FORMAT, i ? "," : "",
                               json_integer_value(json_array_get(list, i)));
    if (!json_array_size(list))
        g_string_append_c(text, '-');
}

static void append_value(GString *text, const json_t *value)
{
    if (json_is_string(value))
        g_string_append(text, json_string_value(value));
    else if (json_is_integer(value))
        g_string_append_printf(text, "%" JSON_INTEGER_FORMAT, json_integer_value(value));
    else if (json_is_real(value))
        g_string_append_printf(text, "%.2f", json_real_value(value));
    else if (json_is_array(value))
        append_partitions(text, value);
    else
        g_string_append(text, json_is_true(value) ? "yes" : "no");
}

/** Appends a member's line: its name, and key=value for each other value that is not
 * null.
 */
static void append_line(GString *text, const json_t *object)
{
    const json_t *value;
    const char *key;
    bool is_first = true;

    json_object_foreach((json_t *)object, key, value)
    {
        if (json_is_null(value))
            continue;
        if (!is_first)
            g_string_append_printf(text, " %s=", key);
        append_value(text, value);
        is_first = false;
    }
    g_string_append_c(text, '\n');
}

static char *format_json(const json_t *report)
{
    char *dumped = json_dumps(report, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
    char *text = g_strdup(dumped);

    free(dumped); /* jansson's allocator, which may not be GLib's */
    return text;
}

static char *format_lines(const json_t *members)
{
    GString *text = g_string_new(NULL);
    const json_t *member;
    size_t i;

    json_array_foreach(members, i, member) append_line(text, member);
    return g_string_free(text, FALSE);
}

char *lmn_members_report(struct lmn_core *core, bool as_json)
{
    struct timespec now = lmn_now();
    json_t *members = json_array();

    pthread_mutex_lock(&core->lock);
    for (int i = 0; i < core->members.count; i++)
        json_array_append_new(members, describe_member(core, i, now));
    json_t *report =
        json_pack("{s:s, s:b, s:b, s:i, s:o}", "node", core->settings->node_name, "awake",
                  (int)lmn_self_may_reply(&core->members, now), "fit",
                  (int)lmn_self_may_claim(&core->members, now), "health",
                  (int)core->members.local_health, "members", members);
    pthread_mutex_unlock(&core->lock);
    char *text = as_json ? format_json(report) : format_lines(members);
    json_decref(report);
    return text;
}

void lmn_members_metrics(const struct lmn_core *core, GString *out)
{
    const struct lmn_members *members = &core->members;
    const struct lmn_member_counts *counters = &members->counters;
    struct timespec now = lmn_now();

    lmn_metric_head(out, "lemonspar_member_trusted", "gauge",
                    "1: present, not suspected, and healthy by its own report");
    for (int i = 0; i < members->count; i++)
        lmn_metric_sample(out, "lemonspar_member_trusted", "member",
                          lmn_member_name(members, i),
                          lmn_member_is_trusted(members, i, now));
    lmn_metric_head(out, "lemonspar_member_suspected", "gauge",
                    "1: suspected of having failed");
    for (int i = 0; i < members->count; i++)
        lmn_metric_sample(out, "lemonspar_member_suspected", "member",
                          lmn_member_name(members, i),
                          lmn_member_is_suspected(members, i));
    lmn_metric_gauge(
        out, "lemonspar_member_health",
        "Local health of this controller, from 0 (healthy) to 8 (its own timing is "
        "in doubt)",
        members->local_health);
    lmn_metric_counter(out, "lemonspar_member_questions", "Probes sent to other members",
                       counters->probes_sent);
    lmn_metric_counter(out, "lemonspar_member_unanswered", "Probes without a reply",
                       counters->probes_unanswered);
    lmn_metric_counter(out, "lemonspar_member_suspicions",
                       "Suspicions of other members that this controller wrote",
                       counters->suspicions);
    lmn_metric_counter(out, "lemonspar_member_refutations",
                       "Suspicions of this controller that it refuted",
                       counters->refutations);
    lmn_metric_counter(
        out, "lemonspar_member_verdicts",
        "Partitions claimed from members that this controller declared failed",
        counters->failures_declared);
    lmn_metric_counter(out, "lemonspar_member_gives",
                       "Partitions that this controller transferred to others",
                       counters->transfers);
}
