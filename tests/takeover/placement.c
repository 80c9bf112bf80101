/* Injects faults at each step of a sequence: heartbeats that arrive late, lost answers of
 * the key-value store, and process restarts. */
#include "takeover.h"

#include <string.h>

/* A move that is inserted into a sequence before the step with the given index. */
struct insertion {
    enum move move;
    guint step;
};

enum { MAX_INSERTIONS = 4 };

/* The limit of states per search in explore_each_step when only digests are wanted: the
 * full searches take longer than all other digests together. */
enum { DIGEST_STATES = 60 };

struct schedule {
    struct sequence sequence;
    struct insertion insertions[MAX_INSERTIONS];
    int insertion_count;
};

/* The result of all schedules of a call to place_faults. */
struct placement_result {
    GHashTable *end_states;   /* summaries of the states at the schedules' ends */
    guint placed, impossible; /* schedules */
    struct faults faults;     /* sum over all placed schedules */
    const char *violation;
};

static void insert(struct schedule *schedule, enum move move, guint step)
{
    assert_true(schedule->insertion_count < MAX_INSERTIONS);
    schedule->insertions[schedule->insertion_count++] = (struct insertion){move, step};
}

static bool play_checked(enum move move)
{
    bool played = play_move(move);

    check_invariants();
    return played;
}

/* Plays the sequence with the inserted moves. Moves of the sequence that a fault made
 * impossible are skipped. Returns false if an inserted move was impossible. */
static bool play_schedule(const struct schedule *schedule)
{
    model_reset();
    for (guint step = 0; step <= schedule->sequence.len; step++) {
        for (int i = 0; i < schedule->insertion_count; i++)
            if (schedule->insertions[i].step == step &&
                !play_checked(schedule->insertions[i].move))
                return false;
        if (step < schedule->sequence.len)
            play_checked(schedule->sequence.moves[step]);
    }
    return true;
}

static void print_violation(const struct schedule *schedule,
                            const struct placement_result *result)
{
    for (int i = 0; i < schedule->insertion_count; i++)
        print_message("with move %d before step %u, ", schedule->insertions[i].move,
                      schedule->insertions[i].step);
    print_message("%u steps: %s\n", schedule->sequence.len, result->violation);
}

static void check_schedule(const struct schedule *schedule,
                           struct placement_result *result)
{
    if (result->violation)
        return;
    if (!play_schedule(schedule)) {
        result->impossible++;
        return;
    }
    result->placed++;
    result->faults.late_heartbeats += model.injected_faults.late_heartbeats;
    result->faults.lost_answers += model.injected_faults.lost_answers;
    result->faults.restarts += model.injected_faults.restarts;
    result->violation = model.violated_invariant;
    /* The fair schedule has already been played from states that were found before. */
    if (!result->violation && g_hash_table_add(result->end_states, state_summary()))
        result->violation = finish_under_fair_schedule();
    if (result->violation)
        print_violation(schedule, result);
}

/* Keeps a duplicate of each machine's last heartbeat at each step, and delivers it to
 * each node at the same and at each later step. */
static void place_late_heartbeats(const struct schedule *base,
                                  struct placement_result *result)
{
    for (guint keep_step = 0; keep_step <= base->sequence.len; keep_step++)
        for (guint deliver_step = keep_step; deliver_step <= base->sequence.len;
             deliver_step++)
            for (int k = 0; k < MACHINES; k++)
                for (int node_index = 0; node_index < NODES; node_index++) {
                    struct schedule schedule = *base;
                    insert(&schedule, KEEP_HEARTBEAT_0 + (enum move)k, keep_step);
                    insert(&schedule, DELIVER_KEPT_A + (enum move)node_index,
                           deliver_step);
                    check_schedule(&schedule, result);
                }
}

static void place_single(const struct schedule *base, enum move move,
                         struct placement_result *result)
{
    for (guint step = 0; step <= base->sequence.len; step++) {
        struct schedule schedule = *base;
        insert(&schedule, move, step);
        check_schedule(&schedule, result);
    }
}

static void place_pair(const struct schedule *base, enum move first, enum move second,
                       struct placement_result *result)
{
    for (guint step = 0; step <= base->sequence.len; step++) {
        struct schedule schedule = *base;
        insert(&schedule, first, step);
        place_single(&schedule, second, result);
    }
}

static void place_all(const struct schedule *base, struct placement_result *result)
{
    static const enum move lost_answers[] = {FLUSH_ANSWER_LOST_A, FLUSH_ANSWER_LOST_B};
    static const enum move restarts[] = {RESTART_A, RESTART_B};

    check_schedule(base, result);
    place_late_heartbeats(base, result);
    for (int node_index = 0; node_index < NODES; node_index++) {
        place_single(base, lost_answers[node_index], result);
        place_single(base, restarts[node_index], result);
        for (int other_node_index = 0; other_node_index < NODES; other_node_index++) {
            place_pair(base, lost_answers[node_index], restarts[other_node_index],
                       result);
            place_pair(base, restarts[node_index], restarts[other_node_index], result);
        }
        for (guint step = 0; step <= base->sequence.len; step++) {
            struct schedule schedule = *base;
            insert(&schedule, restarts[node_index], step);
            place_late_heartbeats(&schedule, result);
        }
    }
}

const char *place_faults(enum guard disabled_guard, struct sequence sequence)
{
    struct schedule base = {.sequence = sequence};
    struct placement_result result = {
        .end_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};

    model.disabled_guard = disabled_guard;
    model.allowed_faults = all_faults;
    begin_search_digest();
    place_all(&base, &result);
    digest_message("end", model.now);
    digest_number(g_hash_table_size(result.end_states));
    digest_text(result.violation);
    digest_end();
    model.disabled_guard = GUARD_NONE;
    model.allowed_faults = one_restart;
    print_message("%u steps: %u placements (%u late heartbeats, %u lost answers, %u "
                  "restarts), %u impossible, %u distinct end states\n",
                  sequence.len, result.placed, result.faults.late_heartbeats,
                  result.faults.lost_answers, result.faults.restarts, result.impossible,
                  g_hash_table_size(result.end_states));
    g_hash_table_destroy(result.end_states);
    return result.violation;
}

const char *explore_each_step(struct sequence sequence, guint max_states)
{
    const char *violation = NULL;
    guint state_count = 0;

    if (digest_is_wanted())
        max_states = MIN(max_states, DIGEST_STATES);
    model.allowed_faults = all_faults;
    for (guint step = 0; step <= sequence.len && !violation; step++) {
        struct sequence start = {sequence.moves, step};
        state_count += explore(GUARD_NONE, start, max_states, &violation);
    }
    model.allowed_faults = one_restart;
    print_message("%u steps: %u states with faults among the moves\n", sequence.len,
                  state_count);
    return violation;
}
