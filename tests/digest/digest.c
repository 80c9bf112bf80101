#include "digest.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

static struct {
    gboolean open;
    char *program, *scenario;
    uint32_t seed;
    XXH3_state_t *hash;
    uint64_t messages;
    /* The message whose fields are being hashed. */
    const char *kind;
    struct timespec time;
    FILE *trace; /* NULL: this digest is not traced */
} digest;

static FILE *open_to_append(const char *path)
{
    FILE *file = fopen(path, "a");

    if (!file) {
        perror(path);
        abort();
    }
    return file;
}

static gboolean is_traced(void)
{
    const char *only = getenv("LMN_DIGEST_ONLY");
    char *name = g_strdup_printf("%s %" PRIu32, digest.scenario, digest.seed);
    gboolean chosen = !only || !strcmp(only, name);

    g_free(name);
    return chosen && getenv("LMN_DIGEST_TRACE");
}

static uint64_t current_hash(void)
{
    return XXH3_64bits_digest(digest.hash);
}

static void trace_last_message(void)
{
    if (digest.trace && digest.kind)
        fprintf(digest.trace, "%" PRIu64 " %ld.%09ld %s %016" PRIx64 "\n",
                digest.messages, (long)digest.time.tv_sec, digest.time.tv_nsec,
                digest.kind, current_hash());
}

static void write_line(void)
{
    FILE *file = open_to_append(getenv("LMN_DIGEST"));

    fprintf(file, "%s %s %" PRIu32 " %016" PRIx64 " %" PRIu64 "\n", digest.program,
            digest.scenario, digest.seed, current_hash(), digest.messages);
    fclose(file);
}

void digest_begin(const char *program, const char *scenario, uint32_t seed)
{
    static gboolean registered;

    digest_end();
    if (!digest_is_wanted())
        return;
    if (!registered)
        atexit(digest_end);
    registered = TRUE;
    digest.open = TRUE;
    digest.program = g_strdup(program);
    digest.scenario = g_strdelimit(g_strdup(scenario), " ", '_');
    digest.seed = seed;
    digest.messages = 0;
    digest.kind = NULL;
    digest.hash = XXH3_createState();
    XXH3_64bits_reset(digest.hash);
    digest.trace = is_traced() ? open_to_append(getenv("LMN_DIGEST_TRACE")) : NULL;
}

void digest_end(void)
{
    if (!digest.open)
        return;
    digest.open = FALSE;
    trace_last_message();
    if (digest.trace)
        fclose(digest.trace);
    write_line();
    XXH3_freeState(digest.hash);
    g_free(digest.program);
    g_free(digest.scenario);
}

gboolean digest_is_wanted(void)
{
    return getenv("LMN_DIGEST") != NULL;
}

gboolean digest_is_open(void)
{
    return digest.open;
}

static void update(const void *data, size_t size)
{
    XXH3_64bits_update(digest.hash, data, size);
}

void digest_message(const char *kind, struct timespec now)
{
    if (!digest.open)
        return;
    trace_last_message();
    digest.messages++;
    digest.kind = kind;
    digest.time = now;
    digest_text(kind);
    digest_number((uint64_t)now.tv_sec);
    digest_number((uint64_t)now.tv_nsec);
}

void digest_bytes(const void *data, size_t size)
{
    if (!digest.open)
        return;
    digest_number(size);
    update(data, size);
}

/* Hashed in place of the size of data that is NULL. */
static const uint64_t ABSENT = UINT64_MAX;

void digest_array(const GByteArray *array)
{
    if (array)
        digest_bytes(array->data, array->len);
    else
        digest_number(ABSENT);
}

void digest_text(const char *text)
{
    if (text)
        digest_bytes(text, strlen(text));
    else
        digest_number(ABSENT);
}

void digest_number(uint64_t number)
{
    if (digest.open)
        update(&number, sizeof number);
}

void digest_real(double number)
{
    if (digest.open)
        update(&number, sizeof number);
}
