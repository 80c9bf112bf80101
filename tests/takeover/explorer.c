/* A breadth-first search over sequences of moves. A path is replayed from the initial
 * state each time it is extended. A path to a state that was found before is not
 * extended. */
#include "takeover.h"

#include <errno.h>

enum {
    MAX_STATES = 3000, /* at which a search ends */
    MIN_STATES = 2500, /* a search that ends with fewer states fails */
    /* From each state whose number is a multiple of this, a fair schedule is played. */
    FAIR_CHECK_INTERVAL = 16,
};

void begin_search_digest(void)
{
    static unsigned searches;
    char *name = g_strdup_printf("search_%u", ++searches);

    digest_begin(program_invocation_short_name, name, 0);
    g_free(name);
}

static GByteArray *path_with(const GByteArray *path, enum move move)
{
    GByteArray *longer = g_byte_array_new();
    guint8 code = (guint8)move;

    if (path)
        g_byte_array_append(longer, path->data, path->len);
    g_byte_array_append(longer, &code, 1);
    return longer;
}

static void replay(const GByteArray *path)
{
    model_reset();
    for (guint i = 0; i < path->len; i++) {
        play_move((enum move)path->data[i]);
        check_invariants();
    }
}

/* Plays the sequence and returns its path. Fails the test if a move is not possible. */
static GByteArray *play_sequence(struct sequence start)
{
    GByteArray *path = g_byte_array_new();

    model_reset();
    for (guint i = 0; i < start.len; i++) {
        guint8 code = (guint8)start.moves[i];
        if (!play_move(start.moves[i]))
            fail_msg("move %u of the sequence, %d, is not possible", i, start.moves[i]);
        check_invariants();
        g_byte_array_append(path, &code, 1);
    }
    return path;
}

guint explore(enum guard disabled_guard, struct sequence start, guint max_states,
              const char **violation)
{
    GHashTable *found_states =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GPtrArray *paths = g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    guint next = 0;

    *violation = NULL;
    model.disabled_guard = disabled_guard;
    begin_search_digest();
    g_ptr_array_add(paths, play_sequence(start));
    while (next < paths->len && paths->len < max_states && !*violation) {
        const GByteArray *path = paths->pdata[next++];
        for (int move = 0; move < MOVE_COUNT && !*violation; move++) {
            replay(path);
            if (!play_move((enum move)move))
                continue;
            check_invariants();
            *violation = model.violated_invariant;
            if (!g_hash_table_add(found_states, state_summary()))
                continue;
            g_ptr_array_add(paths, path_with(path, (enum move)move));
            /* Under a fair schedule the job finishes from every state. */
            if (disabled_guard == GUARD_NONE && paths->len % FAIR_CHECK_INTERVAL == 0 &&
                !*violation)
                *violation = finish_under_fair_schedule();
        }
    }
    guint state_count = g_hash_table_size(found_states);
    digest_message("end", model.now);
    digest_number(state_count);
    digest_text(*violation);
    digest_end();
    if (*violation) {
        const GByteArray *path = paths->pdata[next - 1];
        print_message("after %u states, %u moves: %s\n", state_count, path->len + 1,
                      *violation);
    }
    model.disabled_guard = GUARD_NONE;
    g_hash_table_destroy(found_states);
    g_ptr_array_free(paths, TRUE);
    return state_count;
}

void assert_invariants_hold_after(struct sequence start)
{
    const char *violation;
    guint state_count = explore(GUARD_NONE, start, MAX_STATES, &violation);

    if (violation)
        fail_msg("%s", violation);
    print_message("%u states after %u moves, no invariant violated\n", state_count,
                  start.len);
    assert_true(state_count > MIN_STATES);
}

void assert_violation_after(enum guard disabled_guard, struct sequence start,
                            const char *expected_violation)
{
    const struct faults allowed[] = {one_restart, all_faults};

    for (guint i = 0; i < G_N_ELEMENTS(allowed); i++) {
        const char *violation;
        model.allowed_faults = allowed[i];
        explore(disabled_guard, start, MAX_STATES, &violation);
        model.allowed_faults = one_restart;
        assert_non_null(violation);
        assert_string_equal(violation, expected_violation);
    }
}
