/** @file
 * A simulated controller: its watch, its probes and its decisions
 * (simulation/simulated_group.h). */
#include "simulation/controller_group.h"
#include "simulation/simulated_group.h"

/** How long a watch request waits for a change, and how long while a member is suspected.
 */
static const double WATCH_WAIT_S = 0.8, SUSPECTED_WATCH_WAIT_S = 0.2;
/** Time between the reply to a watch request and the next request. */
static const double WATCH_PAUSE_S = 0.06;
/** A change ends the wait of a watch request if the change is not older than this. */
static const double CHANGE_NOTICE_S = 0.5;
/** Factor by which a controller's reported delay decreases with each punctual tick. */
static const double DELAY_DECAY = 0.9;
/** The lease id of every member's record; the simulation does not use its value. */
enum { ANY_LEASE = 1 };

/* --- a controller's watch --- */

static void apply_change(struct lmn_simulated_group *group,
                         struct lmn_simulated_controller *controller,
                         const struct lmn_simulated_change *change)
{
    const struct lmn_simulated_record *record = &change->record;
    int member_index = change->member_index;

    controller->is_suspecting[member_index] = false;
    if (change->is_suspicion) {
        const char *by = group->controllers[record->by_index].settings.node_name;
        lmn_member_apply_suspicion(&controller->members, member_index, record->revision,
                                   record->incarnation, by, record->cause,
                                   lmn_simulated_time(group->now_s));
        return;
    }
    lmn_member_apply_record(&controller->members, member_index, record->revision,
                            ANY_LEASE, lmn_simulated_time(group->now_s));
    controller->is_declaring[member_index] = false;
    if (member_index == controller->members.self)
        controller->is_refuting = false;
}

static void apply_watch_reply(struct lmn_simulated_group *group,
                              struct lmn_simulated_controller *controller)
{
    struct lmn_simulated_watch *watch = &controller->watch;

    for (; watch->changes_seen < group->history->len; watch->changes_seen++) {
        const struct lmn_simulated_change *change = &g_array_index(
            group->history, struct lmn_simulated_change, watch->changes_seen);
        if (change->at_s > watch->reply_at_s)
            break;
        apply_change(group, controller, change);
    }
    lmn_members_record_watch(&controller->members, lmn_simulated_time(watch->sent_at_s));
}

/** Sends a watch request, which the store answers at once if there are unseen changes. */
static void send_watch(struct lmn_simulated_group *group,
                       struct lmn_simulated_controller *controller)
{
    struct lmn_simulated_watch *watch = &controller->watch;
    double wait_s = WATCH_WAIT_S;

    for (int i = 0; i < controller->members.count; i++)
        if (lmn_member_is_suspected(&controller->members, i))
            wait_s = SUSPECTED_WATCH_WAIT_S;
    if (watch->changes_seen < group->history->len)
        wait_s = 0;
    watch->sent_at_s = group->now_s + WATCH_PAUSE_S;
    watch->reply_at_s =
        watch->sent_at_s + wait_s + lmn_simulated_store_round_trip_s(group);
}

static void advance_watch(struct lmn_simulated_group *group,
                          struct lmn_simulated_controller *controller)
{
    bool is_first = controller->watch.reply_at_s <= 0;

    if (group->now_s < controller->watch.reply_at_s)
        return;
    if (!is_first)
        apply_watch_reply(group, controller);
    send_watch(group, controller);
}

/** Ends the wait of a watch request early if the store has an unseen change. */
static void notify_watch(struct lmn_simulated_group *group,
                         struct lmn_simulated_controller *controller)
{
    struct lmn_simulated_watch *watch = &controller->watch;

    if (watch->changes_seen >= group->history->len || watch->sent_at_s > group->now_s)
        return;
    double changed_at_s =
        g_array_index(group->history, struct lmn_simulated_change, watch->changes_seen)
            .at_s;
    double reply_at_s = MAX(changed_at_s, watch->sent_at_s);
    reply_at_s += lmn_simulated_store_round_trip_s(group);
    if (changed_at_s + CHANGE_NOTICE_S > group->now_s)
        watch->reply_at_s = MIN(watch->reply_at_s, MAX(reply_at_s, group->now_s));
}

/* --- a controller's probes --- */

static void send_gossip(struct lmn_simulated_group *group,
                        struct lmn_simulated_controller *from,
                        struct lmn_simulated_controller *to, int about_index)
{
    struct lmn_gossip_statement statements[LMN_MAX_GOSSIP_STATEMENTS];
    struct timespec now = lmn_simulated_time(group->now_s);
    unsigned count = lmn_member_select_gossip(&from->members, to->members.self,
                                              about_index, now, statements);

    for (unsigned i = 0; i < count; i++)
        lmn_member_record_gossip(&to->members, from->members.self, &statements[i], now);
}

static void finish_probe(struct lmn_simulated_group *group,
                         struct lmn_simulated_controller *controller)
{
    struct lmn_simulated_probe_in_flight *probe = &controller->probe;
    struct lmn_simulated_controller *target = &group->controllers[probe->probe.member];
    struct timespec sent_at = lmn_simulated_time(probe->sent_at_s);
    struct timespec now = lmn_simulated_time(group->now_s);

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

/** Draws the time at which the target handles a probe that is sent now. */
static double probe_arrival_s(struct lmn_simulated_group *group,
                              const struct lmn_simulated_controller *target)
{
    double arrives_at_s = group->now_s + lmn_simulated_one_way_s(group);

    /* Unless the target is stalled, the one-way time is drawn a second time: the results
     * of given seeds depend on that draw. */
    arrives_at_s = arrives_at_s > target->stalled_until_s
                       ? group->now_s + lmn_simulated_one_way_s(group)
                       : target->stalled_until_s;
    return arrives_at_s + lmn_simulated_random(group, group->options->max_delay_s);
}

static void receive_probe(struct lmn_simulated_group *group,
                          struct lmn_simulated_controller *from,
                          struct lmn_simulated_controller *target, int about_index)
{
    struct timespec now = lmn_simulated_time(group->now_s);
    struct lmn_member_health health = from->members.health;

    lmn_member_record_contact(&target->members, from->members.self, &health, now, now);
    send_gossip(group, from, target, about_index);
    if (about_index >= 0)
        lmn_member_request_probe(&target->members, about_index, now);
}

static void send_probe(struct lmn_simulated_group *group,
                       struct lmn_simulated_controller *controller)
{
    struct lmn_simulated_probe_in_flight *probe = &controller->probe;
    struct lmn_simulated_controller *target = &group->controllers[probe->probe.member];

    group->result->probes++;
    probe->is_active = true;
    probe->sent_at_s = group->now_s;
    probe->times_out_at_s = group->now_s + probe->probe.timeout_s;
    probe->reply_at_s = 0;
    if (lmn_simulated_connections_refused(group) || target->failed_at_s) {
        probe->times_out_at_s = group->now_s + LMN_SIMULATION_STEP_S;
        return;
    }
    double arrives_at_s = probe_arrival_s(group, target);
    probe->reply_at_s = arrives_at_s + lmn_simulated_one_way_s(group);
    if (arrives_at_s <= probe->times_out_at_s)
        receive_probe(group, controller, target, probe->probe.about);
}

static void advance_probe(struct lmn_simulated_group *group,
                          struct lmn_simulated_controller *controller)
{
    double wait_s;

    if (controller->probe.is_active)
        finish_probe(group, controller);
    else if (lmn_member_next_probe(&controller->members, group->rng,
                                   lmn_simulated_time(group->now_s),
                                   &controller->probe.probe, &wait_s))
        send_probe(group, controller);
}

/* --- a controller's decisions --- */

/** Whether one of the comparison rules, which use no suspicions, declares the member
 * failed. */
static bool is_failed_by_simple_rule(const struct lmn_simulated_group *group,
                                     const struct lmn_simulated_controller *controller,
                                     int member_index)
{
    const struct lmn_member_view *member = &controller->members.views[member_index];

    if (!member->ever_contacted || !member->unanswered_since.tv_sec)
        return false;
    double seconds =
        lmn_time_diff_s(lmn_simulated_time(group->now_s), member->unanswered_since);
    double measure = group->options->rule == LMN_GROUP_RULE_FIXED_TIMEOUT
                         ? seconds
                         : lmn_phi_accrual_phi(&member->reply_times, seconds);
    return measure >= group->options->threshold;
}

static void suspect_if_due(struct lmn_simulated_group *group,
                           struct lmn_simulated_controller *controller, int member_index)
{
    const struct lmn_member_view *member = &controller->members.views[member_index];
    struct lmn_failure_evidence evidence;

    if (controller->is_suspecting[member_index] ||
        !lmn_member_should_suspect(&controller->members, member_index,
                                   lmn_simulated_time(group->now_s), &evidence))
        return;
    controller->is_suspecting[member_index] = true;
    lmn_simulated_send_write(group, (struct lmn_simulated_write){
                                        .kind = LMN_SIMULATED_SUSPICION,
                                        .member_index = member_index,
                                        .by_index = controller->members.self,
                                        .incarnation = member->incarnation,
                                        .suspicion_revision = member->suspicion_revision,
                                        .cause = evidence.cause});
}

/** Suspects the member if the evidence suffices. Returns whether to declare it failed. */
static bool decide_on_member(struct lmn_simulated_group *group,
                             struct lmn_simulated_controller *controller,
                             int member_index)
{
    if (group->options->rule != LMN_GROUP_RULE_PRODUCT)
        return is_failed_by_simple_rule(group, controller, member_index);
    suspect_if_due(group, controller, member_index);
    return lmn_member_is_declared_failed(&controller->members, member_index,
                                         lmn_simulated_time(group->now_s));
}

static void make_decisions(struct lmn_simulated_group *group,
                           struct lmn_simulated_controller *controller)
{
    int self = controller->members.self;

    if (!controller->is_refuting &&
        lmn_self_should_refute(&controller->members, lmn_simulated_time(group->now_s))) {
        controller->is_refuting = true;
        lmn_simulated_send_write(
            group, (struct lmn_simulated_write){.kind = LMN_SIMULATED_REFUTATION,
                                                .member_index = self,
                                                .by_index = self});
    }
    for (int i = 0; i < controller->members.count; i++) {
        if (i == self || controller->is_declaring[i] ||
            !decide_on_member(group, controller, i))
            continue;
        controller->is_declaring[i] = true;
        lmn_simulated_send_write(
            group, (struct lmn_simulated_write){
                       .kind = LMN_SIMULATED_FAILURE,
                       .member_index = i,
                       .by_index = self,
                       .incarnation = controller->members.views[i].incarnation});
    }
}

static void tick(struct lmn_simulated_group *group,
                 struct lmn_simulated_controller *controller)
{
    double late_s =
        MAX(group->now_s - controller->last_tick_s - LMN_SIMULATION_TICK_INTERVAL_S, 0);

    lmn_members_tick(&controller->members, late_s, lmn_simulated_time(group->now_s));
    controller->members.health.delay_s =
        MAX(late_s, controller->members.health.delay_s * DELAY_DECAY);
    controller->last_tick_s = group->now_s;
    controller->next_tick_s = group->now_s + LMN_SIMULATION_TICK_INTERVAL_S +
                              lmn_simulated_random(group, group->options->max_delay_s);
}

void lmn_simulated_controller_step(struct lmn_simulated_group *group,
                                   struct lmn_simulated_controller *controller)
{
    notify_watch(group, controller);
    advance_watch(group, controller);
    if (group->now_s >= controller->next_tick_s)
        tick(group, controller);
    advance_probe(group, controller);
    if (group->now_s >= controller->next_decision_s) {
        make_decisions(group, controller);
        controller->next_decision_s =
            group->now_s + controller->members.timeouts.probe_interval_s / 4 +
            lmn_simulated_random(group, group->options->max_delay_s);
    }
}
