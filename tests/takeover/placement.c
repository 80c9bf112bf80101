/* Faults placed at each step of a sequence: copies of reports that arrive late, answers
 * of the state service that are lost, and processes that end and are back at once. */
#include "takeover.h"

#include <string.h>

/* Insertions into a sequence: each move is played before the step of that number. */
struct insertion {
    enum move move;
    guint step;
};

enum { MOST_INSERTIONS = 4 };

/* Of a search from each step, where its digest alone is asked for: the whole search takes
 * longer than all other digests together. */
enum { DIGEST_STATES = 60 };

struct schedule {
    struct sequence sequence;
    struct insertion insertions[MOST_INSERTIONS];
    int ninsertions;
};

/* What a round of placements has come to. */
struct tally {
    GHashTable *seen; /* states at the ends */
    guint placed, impossible;
    struct faults held; /* by all that were placed */
    const char *broken;
};

static void insert(struct schedule *s, enum move move, guint step)
{
    assert_true(s->ninsertions < MOST_INSERTIONS);
    s->insertions[s->ninsertions++] = (struct insertion){move, step};
}

static bool play_checked(enum move move)
{
    bool played = play(move);

    check_rules();
    return played;
}

/* Moves of the sequence that the faults made impossible are left out. Returns false if
 * an inserted one was impossible. */
static bool play_schedule(const struct schedule *s)
{
    explored_begin();
    for (guint step = 0; step <= s->sequence.len; step++) {
        for (int i = 0; i < s->ninsertions; i++)
            if (s->insertions[i].step == step && !play_checked(s->insertions[i].move))
                return false;
        if (step < s->sequence.len)
            play_checked(s->sequence.moves[step]);
    }
    return true;
}

static void print_broken(const struct schedule *s, const struct tally *tally)
{
    for (int i = 0; i < s->ninsertions; i++)
        print_message("with move %d before step %u, ", s->insertions[i].move,
                      s->insertions[i].step);
    print_message("%u steps: %s\n", s->sequence.len, tally->broken);
}

static void check_schedule(const struct schedule *s, struct tally *tally)
{
    if (tally->broken)
        return;
    if (!play_schedule(s)) {
        tally->impossible++;
        return;
    }
    tally->placed++;
    tally->held.copies += explored.had.copies;
    tally->held.unanswered += explored.had.unanswered;
    tally->held.restarts += explored.had.restarts;
    tally->broken = explored.broken_rule;
    /* States that were seen have been played to their end. */
    if (!tally->broken && g_hash_table_add(tally->seen, summary()))
        tally->broken = finish_fairly();
    if (tally->broken)
        print_broken(s, tally);
}

/* A copy of each machine's last report is kept at each step, and delivered to each node
 * at each later one. */
static void place_copies(const struct schedule *base, struct tally *tally)
{
    for (guint kept = 0; kept <= base->sequence.len; kept++)
        for (guint late = kept; late <= base->sequence.len; late++)
            for (int k = 0; k < MACHINES; k++)
                for (int n = 0; n < NODES; n++) {
                    struct schedule s = *base;
                    insert(&s, COPY_0 + (enum move)k, kept);
                    insert(&s, DELIVER_COPY_A + (enum move)n, late);
                    check_schedule(&s, tally);
                }
}

static void place_single(const struct schedule *base, enum move move, struct tally *tally)
{
    for (guint step = 0; step <= base->sequence.len; step++) {
        struct schedule s = *base;
        insert(&s, move, step);
        check_schedule(&s, tally);
    }
}

static void place_pair(const struct schedule *base, enum move first, enum move second,
                       struct tally *tally)
{
    for (guint step = 0; step <= base->sequence.len; step++) {
        struct schedule s = *base;
        insert(&s, first, step);
        place_single(&s, second, tally);
    }
}

static void place_all(const struct schedule *base, struct tally *tally)
{
    static const enum move lost[] = {FLUSH_UNANSWERED_A, FLUSH_UNANSWERED_B};
    static const enum move restarts[] = {RESTART_A, RESTART_B};

    check_schedule(base, tally);
    place_copies(base, tally);
    for (int n = 0; n < NODES; n++) {
        place_single(base, lost[n], tally);
        place_single(base, restarts[n], tally);
        for (int m = 0; m < NODES; m++) {
            place_pair(base, lost[n], restarts[m], tally);
            place_pair(base, restarts[n], restarts[m], tally);
        }
        for (guint step = 0; step <= base->sequence.len; step++) {
            struct schedule s = *base;
            insert(&s, restarts[n], step);
            place_copies(&s, tally);
        }
    }
}

const char *place_faults(enum guard without, struct sequence sequence)
{
    struct schedule base = {.sequence = sequence};
    struct tally tally = {
        .seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};

    explored.without = without;
    explored.allowed = faults_allowed;
    begin_search_digest();
    place_all(&base, &tally);
    digest_message("end", explored.now);
    digest_number(g_hash_table_size(tally.seen));
    digest_text(tally.broken);
    digest_end();
    explored.without = GUARD_NONE;
    explored.allowed = only_a_restart;
    print_message("%u steps: %u placements (copies %u, lost answers %u, restarts %u), %u "
                  "impossible, %u states at their ends\n",
                  sequence.len, tally.placed, tally.held.copies, tally.held.unanswered,
                  tally.held.restarts, tally.impossible, g_hash_table_size(tally.seen));
    g_hash_table_destroy(tally.seen);
    return tally.broken;
}

const char *explore_each_step(struct sequence sequence, guint states)
{
    const char *broken = NULL;
    guint sum = 0;

    if (digest_is_wanted())
        states = MIN(states, DIGEST_STATES);
    explored.allowed = faults_allowed;
    for (guint step = 0; step <= sequence.len && !broken; step++) {
        struct sequence from = {sequence.moves, step};
        sum += explore(GUARD_NONE, from, states, &broken);
    }
    explored.allowed = only_a_restart;
    print_message("%u steps: %u states with faults among the moves\n", sequence.len, sum);
    return broken;
}
