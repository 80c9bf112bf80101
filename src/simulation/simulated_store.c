/** @file
 * The simulated time, network and key-value store (simulation/simulated_group.h). */
#include "simulation/controller_group.h"
#include "simulation/simulated_group.h"

/** The network: the shortest one-way time, the largest random addition to it, and the
 * time after which a lost message is first sent again. */
static const double MIN_LATENCY_S = 0.0005, MAX_JITTER_S = 0.0005, RESEND_S = 0.2;
/** Seconds of the steady clock at the simulated time 0. They must not be 0, because a
 * time with 0 seconds means "never". */
enum { START_S = 1000 };

struct timespec lmn_simulated_time(double simulated_s)
{
    return lmn_time_add((struct timespec){START_S, 0}, simulated_s);
}

double lmn_simulated_random(struct lmn_simulated_group *group, double max)
{
    return max > 0 ? g_rand_double_range(group->rng, 0, max) : 0;
}

bool lmn_simulated_is_running(const struct lmn_simulated_group *group, int member_index)
{
    const struct lmn_simulated_controller *controller = &group->controllers[member_index];

    return !controller->failed_at_s && group->now_s >= controller->stalled_until_s;
}

/* --- the network --- */

double lmn_simulated_one_way_s(struct lmn_simulated_group *group)
{
    double seconds = MIN_LATENCY_S + lmn_simulated_random(group, MAX_JITTER_S);
    double resend_s = RESEND_S;

    while (group->options->loss > 0 && g_rand_double(group->rng) < group->options->loss) {
        seconds += resend_s;
        resend_s *= 2;
    }
    return seconds;
}

double lmn_simulated_store_round_trip_s(struct lmn_simulated_group *group)
{
    double request_s = lmn_simulated_one_way_s(group);
    double latency_s =
        group->options->store_latency_s * g_rand_double_range(group->rng, 0.5, 2);

    return request_s + latency_s + lmn_simulated_one_way_s(group);
}

bool lmn_simulated_connections_refused(const struct lmn_simulated_group *group)
{
    return group->options->refusal_interval_s > 0 &&
           group->now_s < group->refusal_began_s + LMN_SIMULATION_REFUSAL_S &&
           group->now_s >= group->refusal_began_s;
}

/* --- the key-value store --- */

static void add_change(struct lmn_simulated_group *group, int member_index,
                       bool is_suspicion)
{
    struct lmn_simulated_change change = {member_index, is_suspicion,
                                          is_suspicion
                                              ? group->suspicions[member_index]
                                              : group->member_records[member_index],
                                          group->now_s};

    g_array_append_val(group->history, change);
}

void lmn_simulated_renew_member_record(struct lmn_simulated_group *group,
                                       int member_index)
{
    group->member_records[member_index].revision = ++group->store_revision;
    add_change(group, member_index, false);
}

static void apply_failure(struct lmn_simulated_group *group,
                          const struct lmn_simulated_write *write)
{
    int member_index = write->member_index;
    bool has_failed = group->controllers[member_index].failed_at_s != 0;

    /* The declaration is conditional on the incarnation. */
    if (group->member_records[member_index].revision != write->incarnation)
        return;
    group->was_declared_failed[member_index] = true;
    if (has_failed)
        return;
    /* A member that has not failed notices the declaration and rewrites its record. */
    group->result->false_failures++;
    lmn_simulated_renew_member_record(group, member_index);
}

static void apply_suspicion(struct lmn_simulated_group *group,
                            const struct lmn_simulated_write *write)
{
    int member_index = write->member_index;

    if (group->suspicions[member_index].revision != write->suspicion_revision)
        return;
    group->suspicions[member_index] = (struct lmn_simulated_record){
        ++group->store_revision, write->by_index, write->incarnation, write->cause};
    group->result->suspicions++;
    group->was_suspected[member_index] = true;
    add_change(group, member_index, true);
}

static void apply_write(struct lmn_simulated_group *group,
                        const struct lmn_simulated_write *write)
{
    switch (write->kind) {
    case LMN_SIMULATED_FAILURE:
        apply_failure(group, write);
        break;
    case LMN_SIMULATED_SUSPICION:
        apply_suspicion(group, write);
        break;
    case LMN_SIMULATED_REFUTATION:
        group->result->refutations++;
        lmn_simulated_renew_member_record(group, write->member_index);
        break;
    }
}

void lmn_simulated_apply_writes(struct lmn_simulated_group *group)
{
    for (guint i = 0; i < group->writes->len;) {
        struct lmn_simulated_write write =
            g_array_index(group->writes, struct lmn_simulated_write, i);
        if (write.arrives_at_s > group->now_s) {
            i++;
            continue;
        }
        g_array_remove_index(group->writes, i);
        apply_write(group, &write);
    }
}

void lmn_simulated_send_write(struct lmn_simulated_group *group,
                              struct lmn_simulated_write write)
{
    write.arrives_at_s = group->now_s + lmn_simulated_store_round_trip_s(group);
    g_array_append_val(group->writes, write);
}
