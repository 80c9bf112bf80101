/* The explorer: a breadth-first search over sequences of moves. A path is played anew
 * from its beginning, and states that were seen are not gone on from. */
#include "takeover.h"

#include <errno.h>

enum {
    STATES = 3000,        /* that a search goes up to */
    FEWEST_STATES = 2500, /* fewer: it did not find what it should */
    FAIR_EVERY = 16,      /* states, of which one is played to its fair end */
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
    explored_begin();
    for (guint i = 0; i < path->len; i++) {
        play((enum move)path->data[i]);
        check_rules();
    }
}

/* Plays the sequence, every move of which must be possible. */
static GByteArray *play_all(struct sequence from)
{
    GByteArray *path = g_byte_array_new();

    explored_begin();
    for (guint i = 0; i < from.len; i++) {
        guint8 code = (guint8)from.moves[i];
        if (!play(from.moves[i]))
            fail_msg("move %u of the sequence, %d, is not possible", i, from.moves[i]);
        check_rules();
        g_byte_array_append(path, &code, 1);
    }
    return path;
}

guint explore(enum guard without, struct sequence from, guint states, const char **broken)
{
    GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GPtrArray *work = g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    guint at = 0;

    *broken = NULL;
    explored.without = without;
    begin_search_digest();
    g_ptr_array_add(work, play_all(from));
    while (at < work->len && work->len < states && !*broken) {
        const GByteArray *path = work->pdata[at++];
        for (int move = 0; move < MOVES && !*broken; move++) {
            replay(path);
            if (!play((enum move)move))
                continue;
            check_rules();
            *broken = explored.broken_rule;
            if (!g_hash_table_add(seen, summary()))
                continue;
            g_ptr_array_add(work, path_with(path, (enum move)move));
            /* From each there is a way to the end. */
            if (without == GUARD_NONE && work->len % FAIR_EVERY == 0 && !*broken)
                *broken = finish_fairly();
        }
    }
    guint found = g_hash_table_size(seen);
    digest_message("end", explored.now);
    digest_number(found);
    digest_text(*broken);
    digest_end();
    if (*broken) {
        const GByteArray *path = work->pdata[at - 1];
        print_message("after %u states, %u moves: %s\n", found, path->len + 1, *broken);
    }
    explored.without = GUARD_NONE;
    g_hash_table_destroy(seen);
    g_ptr_array_free(work, TRUE);
    return found;
}

void keeps_rules_after(struct sequence from)
{
    const char *broken;
    guint found = explore(GUARD_NONE, from, STATES, &broken);

    if (broken)
        fail_msg("%s", broken);
    print_message("%u states after %u moves, no rule broken\n", found, from.len);
    assert_true(found > FEWEST_STATES);
}

void breaks_rule_after(enum guard without, struct sequence from, const char *rule)
{
    const struct faults allowed[] = {only_a_restart, faults_allowed};

    for (guint i = 0; i < G_N_ELEMENTS(allowed); i++) {
        const char *broken;
        explored.allowed = allowed[i];
        explore(without, from, STATES, &broken);
        explored.allowed = only_a_restart;
        assert_non_null(broken);
        assert_string_equal(broken, rule);
    }
}
