#include "job/job_spec.h"
#include "protocol/wire.h"

#include <math.h>
#include <string.h>

enum { LONG_TEXT = 200 };

bool lmn_job_id_is_valid(const char *ref)
{
    size_t head = strlen(WIRE_JOB_ID_PREFIX), len = strlen(ref);

    if (len <= head || len >= LMN_JOB_ID_SIZE - 8 ||
        strncmp(ref, WIRE_JOB_ID_PREFIX, head))
        return false;
    return strspn(ref + head, "0123456789") == len - head;
}

static bool get_word(const struct lmn_cbor_document *document,
                     const struct lmn_cbor_value *map, const char *key, char **out)
{
    char t[LONG_TEXT];

    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, key), t, sizeof t) || !*t)
        return false;
    *out = g_strdup(t);
    return true;
}

static bool get_amount(const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *map, const char *key, double *out)
{
    return lmn_cbor_get_number(lmn_cbor_get(document, map, key), out) && *out >= 0 &&
           *out <= 1e9;
}

static bool get_types(const struct lmn_cbor_document *document,
                      const struct lmn_cbor_value *map, char ***out)
{
    const struct lmn_cbor_value *list = lmn_cbor_get(document, map, WIRE_MACHINE_TYPES);
    GPtrArray *a;
    char t[LMN_NAME_SIZE];

    if (!list)
        return true;
    if (list->type != LMN_CBOR_ARRAY || list->len > 256)
        return false;
    a = g_ptr_array_new_with_free_func(g_free);
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, list); node;
         node = lmn_cbor_next(document, node)) {
        if (!lmn_cbor_get_text(node, t, sizeof t)) {
            g_ptr_array_free(a, TRUE);
            return false;
        }
        g_ptr_array_add(a, g_strdup(t));
    }
    g_ptr_array_add(a, NULL);
    *out = (char **)g_ptr_array_free(a, FALSE);
    return true;
}

static int get_one_of(const struct lmn_cbor_value *node, const char *const *words)
{
    for (int i = 0; words[i]; i++)
        if (lmn_cbor_text_equals(node, words[i]))
            return i;
    return -1;
}

static const char *const kinds[] = {WIRE_BATCH, WIRE_SERVICE, NULL};
static const char *const urgencies[] = {"idle", "normal", "high", "prod", NULL};

int lmn_job_spec_parse(struct lmn_job_spec *spec,
                       const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *map, const char **what)
{
    uint64_t tasks = 0;
    int kind, urgency;

    memset(spec, 0, sizeof *spec);
#define NEED(field, ok)                                                                  \
    do {                                                                                 \
        if (!(ok)) {                                                                     \
            *what = field;                                                               \
            return -1;                                                                   \
        }                                                                                \
    } while (0)
    NEED("body", map && map->type == LMN_CBOR_MAP);
    NEED(WIRE_JOB_ID, lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_JOB_ID),
                                        spec->id, sizeof spec->id) &&
                          lmn_job_id_is_valid(spec->id));
    NEED(WIRE_CLASS, get_word(document, map, WIRE_CLASS, &spec->class_name));
    NEED(WIRE_TEAM, get_word(document, map, WIRE_TEAM, &spec->team));
    kind = get_one_of(lmn_cbor_get(document, map, WIRE_JOB_KIND), kinds);
    NEED(WIRE_JOB_KIND, kind >= 0);
    spec->kind = (enum lmn_job_kind)kind;
    urgency = get_one_of(lmn_cbor_get(document, map, WIRE_PRIORITY), urgencies);
    NEED(WIRE_PRIORITY, urgency >= 0);
    spec->priority = (enum lmn_priority)urgency;
    NEED(WIRE_TASKS, lmn_cbor_get_uint(lmn_cbor_get(document, map, WIRE_TASKS), &tasks) &&
                         tasks > 0 && tasks <= LMN_MAX_TASKS);
    spec->tasks = (uint32_t)tasks;
    NEED(WIRE_CPUS, get_amount(document, map, WIRE_CPUS, &spec->cpus));
    NEED(WIRE_GPUS, get_amount(document, map, WIRE_GPUS, &spec->gpus));
    NEED(WIRE_MEMORY_GB, get_amount(document, map, WIRE_MEMORY_GB, &spec->memory_gb));
    NEED(WIRE_IMAGE, get_word(document, map, WIRE_IMAGE, &spec->image));
    NEED(WIRE_IMAGE_GB, get_amount(document, map, WIRE_IMAGE_GB, &spec->image_gb));
    NEED(WIRE_MACHINE_TYPES, get_types(document, map, &spec->machine_types));
    NEED(WIRE_ZONE, !lmn_cbor_get(document, map, WIRE_ZONE) ||
                        get_word(document, map, WIRE_ZONE, &spec->zone));
    NEED(WIRE_ZONE_AFFINITY,
         lmn_cbor_get_bool(lmn_cbor_get(document, map, WIRE_ZONE_AFFINITY),
                           &spec->requires_one_zone));
    NEED(WIRE_ZONE_ANTI_AFFINITY,
         lmn_cbor_get_bool(lmn_cbor_get(document, map, WIRE_ZONE_ANTI_AFFINITY),
                           &spec->spreads_over_zones));
    NEED(WIRE_SPOT,
         lmn_cbor_get_bool(lmn_cbor_get(document, map, WIRE_SPOT), &spec->may_use_spot));
    NEED(WIRE_ESTIMATE_S, get_amount(document, map, WIRE_ESTIMATE_S, &spec->estimate_s));
    NEED(WIRE_CHECKPOINT_S,
         get_amount(document, map, WIRE_CHECKPOINT_S, &spec->checkpoint_s));
    NEED(WIRE_SAVE_S, get_amount(document, map, WIRE_SAVE_S, &spec->save_s));
    spec->deadline_s = -1;
    NEED(WIRE_DEADLINE_S,
         !lmn_cbor_get(document, map, WIRE_DEADLINE_S) ||
             get_amount(document, map, WIRE_DEADLINE_S, &spec->deadline_s));
#undef NEED
    return 0;
}

void lmn_job_spec_clear(struct lmn_job_spec *spec)
{
    g_free(spec->class_name);
    g_free(spec->team);
    g_free(spec->image);
    g_free(spec->zone);
    g_strfreev(spec->machine_types);
    memset(spec, 0, sizeof *spec);
}

size_t lmn_job_spec_pair_count(void)
{
    return 20;
}

static void put_or_null(GByteArray *buffer, const char *s)
{
    if (s)
        lmn_cbor_put_text(buffer, s);
    else
        lmn_cbor_put_null(buffer);
}

void lmn_job_spec_write(GByteArray *buffer, const struct lmn_job_spec *spec)
{
    lmn_cbor_put_text(buffer, WIRE_JOB_ID), lmn_cbor_put_text(buffer, spec->id);
    lmn_cbor_put_text(buffer, WIRE_CLASS), lmn_cbor_put_text(buffer, spec->class_name);
    lmn_cbor_put_text(buffer, WIRE_TEAM), lmn_cbor_put_text(buffer, spec->team);
    lmn_cbor_put_text(buffer, WIRE_JOB_KIND),
        lmn_cbor_put_text(buffer, kinds[spec->kind]);
    lmn_cbor_put_text(buffer, WIRE_PRIORITY),
        lmn_cbor_put_text(buffer, urgencies[spec->priority]);
    lmn_cbor_put_text(buffer, WIRE_TASKS), lmn_cbor_put_uint(buffer, spec->tasks);
    lmn_cbor_put_text(buffer, WIRE_CPUS), lmn_cbor_put_number(buffer, spec->cpus);
    lmn_cbor_put_text(buffer, WIRE_GPUS), lmn_cbor_put_number(buffer, spec->gpus);
    lmn_cbor_put_text(buffer, WIRE_MEMORY_GB),
        lmn_cbor_put_number(buffer, spec->memory_gb);
    lmn_cbor_put_text(buffer, WIRE_IMAGE), lmn_cbor_put_text(buffer, spec->image);
    lmn_cbor_put_text(buffer, WIRE_IMAGE_GB), lmn_cbor_put_number(buffer, spec->image_gb);
    lmn_cbor_put_text(buffer, WIRE_MACHINE_TYPES);
    if (spec->machine_types) {
        lmn_cbor_put_array(buffer, g_strv_length(spec->machine_types));
        for (char **t = spec->machine_types; *t; t++)
            lmn_cbor_put_text(buffer, *t);
    } else {
        lmn_cbor_put_null(buffer);
    }
    lmn_cbor_put_text(buffer, WIRE_ZONE), put_or_null(buffer, spec->zone);
    lmn_cbor_put_text(buffer, WIRE_ZONE_AFFINITY),
        lmn_cbor_put_bool(buffer, spec->requires_one_zone);
    lmn_cbor_put_text(buffer, WIRE_ZONE_ANTI_AFFINITY),
        lmn_cbor_put_bool(buffer, spec->spreads_over_zones);
    lmn_cbor_put_text(buffer, WIRE_SPOT), lmn_cbor_put_bool(buffer, spec->may_use_spot);
    lmn_cbor_put_text(buffer, WIRE_ESTIMATE_S),
        lmn_cbor_put_number(buffer, spec->estimate_s);
    lmn_cbor_put_text(buffer, WIRE_CHECKPOINT_S),
        lmn_cbor_put_number(buffer, spec->checkpoint_s);
    lmn_cbor_put_text(buffer, WIRE_SAVE_S), lmn_cbor_put_number(buffer, spec->save_s);
    lmn_cbor_put_text(buffer, WIRE_DEADLINE_S);
    if (spec->deadline_s >= 0)
        lmn_cbor_put_number(buffer, spec->deadline_s);
    else
        lmn_cbor_put_null(buffer);
}

bool lmn_job_spec_allows(const struct lmn_job_spec *spec,
                         const struct lmn_machine_type *type, const char *zone, bool spot)
{
    if ((spot && !spec->may_use_spot) || (spec->zone && strcmp(spec->zone, zone)))
        return false;
    if (spec->cpus > type->cpus || spec->gpus > type->gpus ||
        spec->memory_gb > type->memory_gb)
        return false;
    return !spec->machine_types ||
           g_strv_contains((const char *const *)spec->machine_types, type->name);
}

bool lmn_job_spec_is_feasible(const struct lmn_job_spec *spec,
                              const struct lmn_settings *settings,
                              const struct lmn_machine_types *types, const char **why)
{
    const struct lmn_team *team = lmn_settings_team(settings, spec->team);
    double n = spec->kind == LMN_JOB_SERVICE ? spec->tasks : 1;
    bool fits = false;

    if (!team) {
        *why = "unknown team";
        return false;
    }
    if ((team->cpus_max > 0 && n * spec->cpus > team->cpus_max) ||
        (team->gpus_max > 0 && n * spec->gpus > team->gpus_max)) {
        *why = "more than the team's limit";
        return false;
    }
    for (size_t i = 0; i < types->n && !fits; i++)
        for (int z = 0; z < types->v[i].zone_count && !fits; z++)
            fits = lmn_job_spec_allows(spec, &types->v[i], types->v[i].zones[z], false);
    if (!fits)
        *why = "a task fits no allowed machine type";
    return fits;
}

void lmn_bitset_write(GByteArray *buffer, const uint8_t *bits, uint32_t n)
{
    uint32_t len = (n + 7) / 8;
    GString *text;

    while (len > 0 && !bits[len - 1])
        len--;
    text = g_string_sized_new(2 * len + 1);
    for (uint32_t i = 0; i < len; i++)
        g_string_append_printf(text, "%02x", bits[i]);
    lmn_cbor_put_text(buffer, text->str);
    g_string_free(text, TRUE);
}

int lmn_bitset_read(const struct lmn_cbor_value *text, uint8_t *bits, uint32_t n)
{
    memset(bits, 0, (n + 7) / 8);
    if (!text)
        return 0;
    if (text->type != LMN_CBOR_TEXT || text->len % 2 || text->len / 2 > (n + 7) / 8)
        return -1;
    for (uint32_t i = 0; i < text->len / 2; i++) {
        int hi = g_ascii_xdigit_value(text->s[2 * i]);
        int lo = g_ascii_xdigit_value(text->s[2 * i + 1]);
        if (hi < 0 || lo < 0)
            return -1;
        bits[i] = (uint8_t)(hi << 4 | lo);
    }
    if (n % 8 && bits[n / 8] >> (n % 8))
        return -1;
    return 0;
}

uint32_t lmn_bitset_count(const uint8_t *bits, uint32_t n)
{
    uint32_t c = 0;
    for (uint32_t i = 0; i < (n + 7) / 8; i++)
        c += (uint32_t)__builtin_popcount(bits[i]);
    return c;
}

bool lmn_objective_applies(const struct lmn_objective *objective,
                           const struct lmn_job_spec *spec)
{
    return (!*objective->class_name ||
            !strcmp(objective->class_name, spec->class_name)) &&
           (objective->kind == LMN_OBJECTIVE_START ||
            objective->kind == LMN_OBJECTIVE_FINISH ||
            (objective->kind == LMN_OBJECTIVE_DEADLINE && spec->deadline_s >= 0));
}

bool lmn_job_spec_has_objective(const struct lmn_settings *settings,
                                const struct lmn_job_spec *spec)
{
    for (size_t i = 0; i < settings->objective_count; i++)
        if (lmn_objective_applies(&settings->objectives[i], spec))
            return true;
    return spec->deadline_s >= 0;
}
