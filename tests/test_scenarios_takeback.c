/* All controllers' leases end together, and each is back at once: owners take their own
 * partitions back, unless another has owned them meanwhile (world/scenario.h). */
#include "scenario.h"

static unsigned own; /* takeovers with the owner's own state, on all days */

static void note_own(void)
{
    for (int i = 0; scenario_at(w.layout.steps * STEP_S) && i < w.layout.nodes; i++)
        own +=
            w.nodes[i].core ? (unsigned)w.nodes[i].core->counters.own_state_failovers : 0;
}

/* The state service is down for all, or all stand still, for longer than a lease; or they
 * are back one after the other, so that some partitions had another owner in between. */
static void all_leases_end_step(void)
{
    note_own();
    if (!scenario_every(15))
        return;
    double s = scenario_drawn(3.2, 1.2 * w.lease_s);
    bool together = world_chance(0.5);
    if (together && world_chance(0.5)) {
        trouble_begin(T_OUTAGE, 0, s);
        return;
    }
    for (int i = 0; i < w.layout.nodes; i++)
        trouble_begin(T_FREEZE, i, together ? s : scenario_drawn(0, 2 * s));
}

/* A leader stands still for longer than its lease; whoever has its partition by then ends
 * soon after it goes on. What the leader knew is not the last word when it is the owner
 * again. */
static void owner_in_between_step(void)
{
    static int leader;
    static double back; /* when the leader goes on, 0: it does not stand still */

    if (scenario_at(0))
        back = 0;
    if (back && w.now >= back + 1) {
        back = 0;
        for (int i = 0; i < w.layout.nodes; i++)
            if (i != leader)
                trouble_begin(T_CRASH, i, scenario_drawn(5, 8));
    }
    if (back || !scenario_every(15))
        return;
    leader = world_leader();
    back = w.now + scenario_drawn(5, 9);
    trouble_begin(T_FREEZE, leader, back - w.now);
}

/* The same while machines and messages fail too. */
static void with_others_step(void)
{
    static const enum trouble others[] = {T_HANG,      T_SHUT_DOOR,    T_LATE_WRITES,
                                          T_CRASH,     T_LATE_REPORTS, T_MACHINE_DIES,
                                          T_DEAF_NODE, T_REFUSED,      T_CANCEL};

    all_leases_end_step();
    owner_in_between_step();
    if (scenario_every(6))
        trouble_begin(others[g_rand_int_range(w.r, 0, G_N_ELEMENTS(others))],
                      g_rand_int_range(w.r, 0, w.layout.nodes),
                      scenario_drawn(0.5, w.lease_s));
}

static void some_were_taken_back(void)
{
    print_message("%u partitions were taken back warm\n", own);
    assert_true(own > 0);
    own = 0;
}

static const struct scenario scenarios[] = {
    {"all leases end", all_leases_end_step, scenario_usual_draw, G_OWN_TERM, R_TWICE,
     false, 20, NULL, some_were_taken_back, NULL},
    {"all leases end, with others", with_others_step, scenario_usual_draw, G_OWN_TERM,
     R_TWICE, false, 20, NULL, some_were_taken_back, NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
