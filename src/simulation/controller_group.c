/** @file
 * A simulated group of controllers (simulation/controller_group.h): first the network,
 * then the key-value store, then a controller, then the group.
 *
 * The result of a seed depends on the order of the random draws. */
#include "simulation/controller_group.h"
#include "membership/membership.h"

#include <string.h>

/** The simulation's step. */
static const double STEP_S = 0.01;
/** Between two ticks of a controller's maintenance loop. */
static const double TICK_INTERVAL_S = 0.15;
/** How long a watch request waits for a change: usually, and while a member is suspected.
 */
static const double WATCH_WAIT_S = 0.8, SUSPECTED_WATCH_WAIT_S = 0.2;
/** Between the reply to a watch request and the next request. */
static const double WATCH_PAUSE_S = 0.06;
/** A change cuts a waiting watch request short if it is not older than this. */
static const double CHANGE_NOTICE_S = 0.5;
/** How long members refuse each other's connections. */
static const double REFUSAL_S = 10;
/** Before the simulation begins: no period of refusals has been. */
static const double NEVER_S = -1e9;
/** The network: the shortest way, the most that it takes longer, and after how long a
 * lost message is sent again for the first time. */
static const double MIN_LATENCY_S = 0.0005, MAX_JITTER_S = 0.0005, RESEND_S = 0.2;
/** What is left of a controller's delay at its next tick. */
static const double DELAY_DECAY = 0.9;
/** The simulated time 0 as a time of the steady clock: one of 0 seconds means "never". */
enum { START_S = 1000 };
/** All members' records are tied to a lease; which does not matter. */
enum { ANY_LEASE = 1 };

/** A record of the key-value store: a member's, or a suspicion. */
struct record {
    uint64_t revision;
    int by_index;         /**< who wrote the suspicion */
    uint64_t incarnation; /**< that is suspected */
    enum lmn_suspicion_cause cause;
};

/** An entry of the store's history. */
struct change {
    int member_index;
    bool is_suspicion;
    struct record record;
    double at_s;
};

enum write_kind {
    WRITE_REFUTATION, /**< a member writes its record anew */
    WRITE_SUSPICION,
    WRITE_FAILURE, /**< a member is declared failed */
};

/** A write on its way to the store. */
struct write {
    enum write_kind kind;
    int member_index, by_index;
    uint64_t incarnation, suspicion_revision; /**< conditions of the write */
    enum lmn_suspicion_cause cause;
    double arrives_at_s;
};

/** A watch request of a controller, in flight or answered. */
struct watch {
    double sent_at_s, reply_at_s;
    guint changes_seen; /**< of the store's history */
};

/** A probe of a controller. */
struct probe_in_flight {
    bool is_active;
    struct lmn_probe probe;
    double sent_at_s, times_out_at_s;
    double reply_at_s; /**< 0: none will come */
};

/** A controller. */
struct controller {
    struct lmn_settings settings;
    struct lmn_members members;
    double stalled_until_s;
    double failed_at_s; /**< 0: it has not failed */
    double next_tick_s, last_tick_s;
    double next_decision_s;
    struct watch watch;
    struct probe_in_flight probe;
    /** Writes that were sent, and do not show in the watch yet. */
    bool is_refuting, is_suspecting[LMN_MAX_MEMBERS + 1],
        is_declaring[LMN_MAX_MEMBERS + 1];
};

/** The whole simulation. */
struct group {
    const struct lmn_controller_group_options *options;
    struct lmn_controller_group_result *result;
    GRand *rng;
    double now_s;
    double refusal_began_s;
    uint64_t store_revision;
    struct record member_records[LMN_MAX_MEMBERS + 1], suspicions[LMN_MAX_MEMBERS + 1];
    GArray *history; /**< struct change */
    GArray *writes;  /**< struct write */
    struct controller *controllers;
    bool was_suspected[LMN_MAX_MEMBERS + 1], was_declared_failed[LMN_MAX_MEMBERS + 1];
};

static struct timespec to_timespec(double simulated_s)
{
    return lmn_time_add((struct timespec){START_S, 0}, simulated_s);
}

/** Draws only if max is positive. */
static double random_up_to(struct group *group, double max)
{
    return max > 0 ? g_rand_double_range(group->rng, 0, max) : 0;
}

static bool is_running(const struct group *group, int member_index)
{
    const struct controller *controller = &group->controllers[member_index];

    return !controller->failed_at_s && group->now_s >= controller->stalled_until_s;
}

/* --- the network --- */

/** How long a message takes one way; a lost one is sent again. */
static double one_way_s(struct group *group)
{
    double seconds = MIN_LATENCY_S + random_up_to(group, MAX_JITTER_S);
    double resend_s = RESEND_S;

    while (group->options->loss > 0 && g_rand_double(group->rng) < group->options->loss) {
        seconds += resend_s;
        resend_s *= 2;
    }
    return seconds;
}

/** How long a request to the key-value store takes, both ways included. */
static double store_round_trip_s(struct group *group)
{
    double request_s = one_way_s(group);
    double latency_s =
        group->options->store_latency_s * g_rand_double_range(group->rng, 0.5, 2);

    return request_s + latency_s + one_way_s(group);
}

/** Whether members refuse each other's connections now. */
static bool are_connections_refused(const struct group *group)
{
    return group->options->refusal_interval_s > 0 &&
           group->now_s < group->refusal_began_s + REFUSAL_S &&
           group->now_s >= group->refusal_began_s;
}

/* --- the key-value store --- */

static void add_change(struct group *group, int member_index, bool is_suspicion)
{
    struct change change = {member_index, is_suspicion,
                            is_suspicion ? group->suspicions[member_index]
                                         : group->member_records[member_index],
                            group->now_s};

    g_array_append_val(group->history, change);
}

static void renew_member_record(struct group *group, int member_index)
{
    group->member_records[member_index].revision = ++group->store_revision;
    add_change(group, member_index, false);
}

static void apply_failure(struct group *group, const struct write *write)
{
    int member_index = write->member_index;
    bool has_failed = group->controllers[member_index].failed_at_s != 0;

    /* The declaration is conditional on the incarnation. */
    if (group->member_records[member_index].revision != write->incarnation)
        return;
    group->was_declared_failed[member_index] = true;
    if (has_failed)
        return;
    /* A member that has not failed notices it, and writes its record anew. */
    group->result->false_failures++;
    renew_member_record(group, member_index);
}

static void apply_suspicion(struct group *group, const struct write *write)
{
    int member_index = write->member_index;

    if (group->suspicions[member_index].revision != write->suspicion_revision)
        return;
    group->suspicions[member_index] = (struct record){
        ++group->store_revision, write->by_index, write->incarnation, write->cause};
    group->result->suspicions++;
    group->was_suspected[member_index] = true;
    add_change(group, member_index, true);
}

static void apply_write(struct group *group, const struct write *write)
{
    switch (write->kind) {
    case WRITE_FAILURE:
        apply_failure(group, write);
        break;
    case WRITE_SUSPICION:
        apply_suspicion(group, write);
        break;
    case WRITE_REFUTATION:
        group->result->refutations++;
        renew_member_record(group, write->member_index);
        break;
    }
}

static void apply_arrived_writes(struct group *group)
{
    for (guint i = 0; i < group->writes->len;) {
        struct write write = g_array_index(group->writes, struct write, i);
        if (write.arrives_at_s > group->now_s) {
            i++;
            continue;
        }
        g_array_remove_index(group->writes, i);
        apply_write(group, &write);
    }
}

static void send_write(struct group *group, struct write write)
{
    write.arrives_at_s = group->now_s + store_round_trip_s(group);
    g_array_append_val(group->writes, write);
}

/* --- a controller's watch --- */

static void apply_change(struct group *group, struct controller *controller,
                         const struct change *change)
{
    const struct record *record = &change->record;
    int member_index = change->member_index;

    controller->is_suspecting[member_index] = false;
    if (change->is_suspicion) {
        const char *by = group->controllers[record->by_index].settings.node_name;
        lmn_member_apply_suspicion(&controller->members, member_index, record->revision,
                                   record->incarnation, by, record->cause,
                                   to_timespec(group->now_s));
        return;
    }
    lmn_member_apply_record(&controller->members, member_index, record->revision,
                            ANY_LEASE, to_timespec(group->now_s));
    controller->is_declaring[member_index] = false;
    if (member_index == controller->members.self)
        controller->is_refuting = false;
}

static void apply_watch_reply(struct group *group, struct controller *controller)
{
    struct watch *watch = &controller->watch;

    for (; watch->changes_seen < group->history->len; watch->changes_seen++) {
        const struct change *change =
            &g_array_index(group->history, struct change, watch->changes_seen);
        if (change->at_s > watch->reply_at_s)
            break;
        apply_change(group, controller, change);
    }
    lmn_members_record_watch(&controller->members, to_timespec(watch->sent_at_s));
}

/** Sends a watch request. It is answered at once if there are unseen changes. */
static void send_watch(struct group *group, struct controller *controller)
{
    struct watch *watch = &controller->watch;
    double wait_s = WATCH_WAIT_S;

    for (int i = 0; i < controller->members.count; i++)
        if (lmn_member_is_suspected(&controller->members, i))
            wait_s = SUSPECTED_WATCH_WAIT_S;
    if (watch->changes_seen < group->history->len)
        wait_s = 0;
    watch->sent_at_s = group->now_s + WATCH_PAUSE_S;
    watch->reply_at_s = watch->sent_at_s + wait_s + store_round_trip_s(group);
}

static void advance_watch(struct group *group, struct controller *controller)
{
    bool is_first = controller->watch.reply_at_s <= 0;

    if (group->now_s < controller->watch.reply_at_s)
        return;
    if (!is_first)
        apply_watch_reply(group, controller);
    send_watch(group, controller);
}

/** A change cuts the wait of a watch request short. */
static void notify_watch(struct group *group, struct controller *controller)
{
    struct watch *watch = &controller->watch;

    if (watch->changes_seen >= group->history->len || watch->sent_at_s > group->now_s)
        return;
    double changed_at_s =
        g_array_index(group->history, struct change, watch->changes_seen).at_s;
    double reply_at_s = MAX(changed_at_s, watch->sent_at_s);
    reply_at_s += store_round_trip_s(group);
    if (changed_at_s + CHANGE_NOTICE_S > group->now_s)
        watch->reply_at_s = MIN(watch->reply_at_s, MAX(reply_at_s, group->now_s));
}

/* --- a controller's probes --- */

static void send_gossip(struct group *group, struct controller *from,
                        struct controller *to, int about_index)
{
    struct lmn_gossip_statement statements[LMN_MAX_GOSSIP_STATEMENTS];
    struct timespec now = to_timespec(group->now_s);
    unsigned count =
        lmn_member_gossip(&from->members, to->members.self, about_index, now, statements);

    for (unsigned i = 0; i < count; i++)
        lmn_member_record_gossip(&to->members, from->members.self, &statements[i], now);
}

static void finish_probe(struct group *group, struct controller *controller)
{
    struct probe_in_flight *probe = &controller->probe;
    struct controller *target = &group->controllers[probe->probe.member];
    struct timespec sent_at = to_timespec(probe->sent_at_s);
    struct timespec now = to_timespec(group->now_s);

    if (probe->reply_at_s > 0 && group->now_s >= probe->reply_at_s &&
        probe->reply_at_s <= probe->times_out_at_s) {
        struct lmn_member_health health = target->members.health;
        probe->is_active = false;
        lmn_member_record_probe_reply(&controller->members, probe->probe.member, &health,
                                      sent_at, now);
        send_gossip(group, target, controller, probe->probe.about);
    } else if (group->now_s >= probe->times_out_at_s) {
        probe->is_active = false;
        lmn_member_record_probe_timeout(&controller->members, probe->probe.member,
                                        sent_at, now);
    }
}

/** When the target handles a probe that is sent now. */
static double probe_arrival_s(struct group *group, const struct controller *target)
{
    double arrives_at_s = group->now_s + one_way_s(group);

    /* The way is drawn a second time unless the target is stalled: the results of given
     * seeds depend on it. */
    arrives_at_s = arrives_at_s > target->stalled_until_s
                       ? group->now_s + one_way_s(group)
                       : target->stalled_until_s;
    return arrives_at_s + random_up_to(group, group->options->max_delay_s);
}

static void receive_probe(struct group *group, struct controller *from,
                          struct controller *target, int about_index)
{
    struct timespec now = to_timespec(group->now_s);
    struct lmn_member_health health = from->members.health;

    lmn_member_record_contact(&target->members, from->members.self, &health, now, now);
    send_gossip(group, from, target, about_index);
    if (about_index >= 0)
        lmn_member_request_probe(&target->members, about_index, now);
}

static void send_probe(struct group *group, struct controller *controller)
{
    struct probe_in_flight *probe = &controller->probe;
    struct controller *target = &group->controllers[probe->probe.member];

    group->result->probes++;
    probe->is_active = true;
    probe->sent_at_s = group->now_s;
    probe->times_out_at_s = group->now_s + probe->probe.timeout_s;
    probe->reply_at_s = 0;
    if (are_connections_refused(group) || target->failed_at_s) {
        probe->times_out_at_s = group->now_s + STEP_S;
        return;
    }
    double arrives_at_s = probe_arrival_s(group, target);
    probe->reply_at_s = arrives_at_s + one_way_s(group);
    if (arrives_at_s <= probe->times_out_at_s)
        receive_probe(group, controller, target, probe->probe.about);
}

static void advance_probe(struct group *group, struct controller *controller)
{
    double wait_s;

    if (controller->probe.is_active)
        finish_probe(group, controller);
    else if (lmn_member_next_probe(&controller->members, group->rng,
                                   to_timespec(group->now_s), &controller->probe.probe,
                                   &wait_s))
        send_probe(group, controller);
}

/* --- a controller's decisions --- */

/** Whether a rule that knows no suspicion declares the member failed. */
static bool is_failed_by_simple_rule(const struct group *group,
                                     const struct controller *controller,
                                     int member_index)
{
    const struct lmn_member_view *member = &controller->members.views[member_index];

    if (!member->ever_contacted || !member->unanswered_since.tv_sec)
        return false;
    double seconds = lmn_time_diff_s(to_timespec(group->now_s), member->unanswered_since);
    double measure = group->options->rule == LMN_GROUP_RULE_FIXED_TIMEOUT
                         ? seconds
                         : lmn_phi_accrual_phi(&member->reply_times, seconds);
    return measure >= group->options->threshold;
}

static void suspect_if_due(struct group *group, struct controller *controller,
                           int member_index)
{
    const struct lmn_member_view *member = &controller->members.views[member_index];
    struct lmn_failure_evidence evidence;

    if (controller->is_suspecting[member_index] ||
        !lmn_member_should_suspect(&controller->members, member_index,
                                   to_timespec(group->now_s), &evidence))
        return;
    controller->is_suspecting[member_index] = true;
    send_write(group, (struct write){.kind = WRITE_SUSPICION,
                                     .member_index = member_index,
                                     .by_index = controller->members.self,
                                     .incarnation = member->incarnation,
                                     .suspicion_revision = member->suspicion_revision,
                                     .cause = evidence.cause});
}

/** Suspects the member if that is due. Returns whether it is to be declared failed. */
static bool decide_on_member(struct group *group, struct controller *controller,
                             int member_index)
{
    if (group->options->rule != LMN_GROUP_RULE_PRODUCT)
        return is_failed_by_simple_rule(group, controller, member_index);
    suspect_if_due(group, controller, member_index);
    return lmn_member_is_declared_failed(&controller->members, member_index,
                                         to_timespec(group->now_s));
}

static void make_decisions(struct group *group, struct controller *controller)
{
    int self = controller->members.self;

    if (!controller->is_refuting &&
        lmn_self_should_refute(&controller->members, to_timespec(group->now_s))) {
        controller->is_refuting = true;
        send_write(group, (struct write){.kind = WRITE_REFUTATION,
                                         .member_index = self,
                                         .by_index = self});
    }
    for (int i = 0; i < controller->members.count; i++) {
        if (i == self || controller->is_declaring[i] ||
            !decide_on_member(group, controller, i))
            continue;
        controller->is_declaring[i] = true;
        send_write(group, (struct write){.kind = WRITE_FAILURE,
                                         .member_index = i,
                                         .by_index = self,
                                         .incarnation =
                                             controller->members.views[i].incarnation});
    }
}

static void tick(struct group *group, struct controller *controller)
{
    double late_s = MAX(group->now_s - controller->last_tick_s - TICK_INTERVAL_S, 0);

    lmn_members_tick(&controller->members, late_s, to_timespec(group->now_s));
    controller->members.health.delay_s =
        MAX(late_s, controller->members.health.delay_s * DELAY_DECAY);
    controller->last_tick_s = group->now_s;
    controller->next_tick_s =
        group->now_s + TICK_INTERVAL_S + random_up_to(group, group->options->max_delay_s);
}

static void step_controller(struct group *group, struct controller *controller)
{
    notify_watch(group, controller);
    advance_watch(group, controller);
    if (group->now_s >= controller->next_tick_s)
        tick(group, controller);
    advance_probe(group, controller);
    if (group->now_s >= controller->next_decision_s) {
        make_decisions(group, controller);
        controller->next_decision_s = group->now_s +
                                      controller->members.timeouts.probe_interval_s / 4 +
                                      random_up_to(group, group->options->max_delay_s);
    }
}

/* --- the group --- */

static void inject_faults(struct group *group)
{
    const struct lmn_controller_group_options *options = group->options;

    for (int i = 0; i < options->members && options->stall_interval_s > 0; i++)
        if (is_running(group, i) &&
            g_rand_double(group->rng) < STEP_S / options->stall_interval_s)
            group->controllers[i].stalled_until_s =
                group->now_s + random_up_to(group, options->max_stall_s);
    if (options->refusal_interval_s > 0 &&
        group->now_s > group->refusal_began_s + REFUSAL_S &&
        g_rand_double(group->rng) < STEP_S / options->refusal_interval_s)
        group->refusal_began_s = group->now_s;
    for (int i = 0; i < options->failing_members && group->now_s >= options->failed_at_s;
         i++)
        if (!group->controllers[i].failed_at_s)
            group->controllers[i].failed_at_s = group->now_s;
}

static void init_settings(struct lmn_settings *settings,
                          const struct lmn_controller_group_options *options,
                          int member_index)
{
    g_snprintf(settings->node_name, LMN_NAME_SIZE, "n%02d", member_index);
    settings->lease_s = options->lease_s;
    settings->heartbeat_s = options->heartbeat_s;
    for (int i = 0; i < options->members; i++)
        if (i != member_index)
            g_snprintf(settings->members[settings->member_count++].name, LMN_NAME_SIZE,
                       "n%02d", i);
}

static void init_controller(struct group *group, int member_index)
{
    struct controller *controller = &group->controllers[member_index];

    init_settings(&controller->settings, group->options, member_index);
    lmn_members_init(&controller->members, &controller->settings, to_timespec(0));
    controller->next_tick_s = random_up_to(group, TICK_INTERVAL_S);
    controller->next_decision_s = random_up_to(group, TICK_INTERVAL_S);
    renew_member_record(group, member_index);
}

static void init_group(struct group *group)
{
    group->rng = g_rand_new_with_seed(group->options->seed);
    group->history = g_array_new(FALSE, FALSE, sizeof(struct change));
    group->writes = g_array_new(FALSE, FALSE, sizeof(struct write));
    group->controllers = g_new0(struct controller, group->options->members);
    for (int i = 0; i < group->options->members; i++)
        init_controller(group, i);
}

static void clear_group(struct group *group)
{
    g_array_free(group->history, TRUE);
    g_array_free(group->writes, TRUE);
    g_free(group->controllers);
    g_rand_free(group->rng);
}

static void step_group(struct group *group)
{
    inject_faults(group);
    apply_arrived_writes(group);
    for (int i = 0; i < group->options->members; i++)
        if (is_running(group, i))
            step_controller(group, &group->controllers[i]);
}

/** False for none at all. */
static bool are_all_set(const bool *flags, int count)
{
    for (int i = 0; i < count; i++)
        if (!flags[i])
            return false;
    return count > 0;
}

void lmn_simulate_controller_group(const struct lmn_controller_group_options *options,
                                   struct lmn_controller_group_result *result)
{
    struct group group = {
        .options = options, .result = result, .refusal_began_s = NEVER_S};
    guint64 steps = (guint64)(options->seconds / STEP_S);

    memset(result, 0, sizeof *result);
    result->suspected_s = result->declared_failed_s = -1;
    init_group(&group);
    for (guint64 step = 1; step <= steps; step++) {
        group.now_s = (double)step * STEP_S;
        step_group(&group);
        double since_failure_s = group.now_s - options->failed_at_s;
        if (result->suspected_s < 0 && since_failure_s >= 0 &&
            are_all_set(group.was_suspected, options->failing_members))
            result->suspected_s = since_failure_s;
        if (are_all_set(group.was_declared_failed, options->failing_members)) {
            /* Negative if they were declared failed before they failed. */
            result->declared_failed_s = since_failure_s;
            break;
        }
    }
    clear_group(&group);
}
