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

static bool get_word(const struct lmn_cbor_document *d, const struct lmn_cbor_value *m,
                     const char *key, char **out)
{
    char t[LONG_TEXT];

    if (!lmn_cbor_get_text(lmn_cbor_get(d, m, key), t, sizeof t) || !*t)
        return false;
    *out = g_strdup(t);
    return true;
}

static bool get_amount(const struct lmn_cbor_document *d, const struct lmn_cbor_value *m,
                       const char *key, double *out)
{
    return lmn_cbor_get_number(lmn_cbor_get(d, m, key), out) && *out >= 0 && *out <= 1e9;
}

static bool get_types(const struct lmn_cbor_document *d, const struct lmn_cbor_value *m,
                      char ***out)
{
    const struct lmn_cbor_value *list = lmn_cbor_get(d, m, WIRE_MACHINE_TYPES);
    GPtrArray *a;
    char t[LMN_NAME_SIZE];

    if (!list)
        return true;
    if (list->type != LMN_CBOR_ARRAY || list->len > 256)
        return false;
    a = g_ptr_array_new_with_free_func(g_free);
    for (const struct lmn_cbor_value *n = lmn_cbor_first_child(d, list); n;
         n = lmn_cbor_next(d, n)) {
        if (!lmn_cbor_get_text(n, t, sizeof t)) {
            g_ptr_array_free(a, TRUE);
            return false;
        }
        g_ptr_array_add(a, g_strdup(t));
    }
    g_ptr_array_add(a, NULL);
    *out = (char **)g_ptr_array_free(a, FALSE);
    return true;
}

static int get_one_of(const struct lmn_cbor_value *n, const char *const *words)
{
    for (int i = 0; words[i]; i++)
        if (lmn_cbor_text_equals(n, words[i]))
            return i;
    return -1;
}

static const char *const kinds[] = {WIRE_BATCH, WIRE_SERVICE, NULL};
static const char *const urgencies[] = {"idle", "normal", "high", "prod", NULL};

int lmn_job_spec_parse(struct lmn_job_spec *s, const struct lmn_cbor_document *d,
                       const struct lmn_cbor_value *m, const char **what)
{
    uint64_t tasks = 0;
    int kind, urgency;

    memset(s, 0, sizeof *s);
#define NEED(field, ok)                                                                  \
    do {                                                                                 \
        if (!(ok)) {                                                                     \
            *what = field;                                                               \
            return -1;                                                                   \
        }                                                                                \
    } while (0)
    NEED("body", m && m->type == LMN_CBOR_MAP);
    NEED(WIRE_JOB_ID,
         lmn_cbor_get_text(lmn_cbor_get(d, m, WIRE_JOB_ID), s->ref, sizeof s->ref) &&
             lmn_job_id_is_valid(s->ref));
    NEED(WIRE_CLASS, get_word(d, m, WIRE_CLASS, &s->class_name));
    NEED(WIRE_TEAM, get_word(d, m, WIRE_TEAM, &s->team));
    kind = get_one_of(lmn_cbor_get(d, m, WIRE_JOB_KIND), kinds);
    NEED(WIRE_JOB_KIND, kind >= 0);
    s->kind = (enum lmn_job_kind)kind;
    urgency = get_one_of(lmn_cbor_get(d, m, WIRE_PRIORITY), urgencies);
    NEED(WIRE_PRIORITY, urgency >= 0);
    s->urgency = (enum lmn_priority)urgency;
    NEED(WIRE_TASKS, lmn_cbor_get_uint(lmn_cbor_get(d, m, WIRE_TASKS), &tasks) &&
                         tasks > 0 && tasks <= LMN_MAX_TASKS);
    s->tasks = (uint32_t)tasks;
    NEED(WIRE_CPUS, get_amount(d, m, WIRE_CPUS, &s->cpus));
    NEED(WIRE_GPUS, get_amount(d, m, WIRE_GPUS, &s->gpus));
    NEED(WIRE_MEMORY_GB, get_amount(d, m, WIRE_MEMORY_GB, &s->mem));
    NEED(WIRE_IMAGE, get_word(d, m, WIRE_IMAGE, &s->image));
    NEED(WIRE_IMAGE_GB, get_amount(d, m, WIRE_IMAGE_GB, &s->image_gb));
    NEED(WIRE_MACHINE_TYPES, get_types(d, m, &s->types));
    NEED(WIRE_ZONE,
         !lmn_cbor_get(d, m, WIRE_ZONE) || get_word(d, m, WIRE_ZONE, &s->zone));
    NEED(WIRE_ZONE_AFFINITY,
         lmn_cbor_get_bool(lmn_cbor_get(d, m, WIRE_ZONE_AFFINITY), &s->one_zone));
    NEED(WIRE_ZONE_ANTI_AFFINITY,
         lmn_cbor_get_bool(lmn_cbor_get(d, m, WIRE_ZONE_ANTI_AFFINITY), &s->spread));
    NEED(WIRE_SPOT, lmn_cbor_get_bool(lmn_cbor_get(d, m, WIRE_SPOT), &s->spot));
    NEED(WIRE_ESTIMATE_S, get_amount(d, m, WIRE_ESTIMATE_S, &s->estimate_s));
    NEED(WIRE_CHECKPOINT_S, get_amount(d, m, WIRE_CHECKPOINT_S, &s->checkpoint_s));
    NEED(WIRE_SAVE_S, get_amount(d, m, WIRE_SAVE_S, &s->save_s));
    s->deadline_s = -1;
    NEED(WIRE_DEADLINE_S, !lmn_cbor_get(d, m, WIRE_DEADLINE_S) ||
                              get_amount(d, m, WIRE_DEADLINE_S, &s->deadline_s));
#undef NEED
    return 0;
}

void lmn_job_spec_clear(struct lmn_job_spec *s)
{
    g_free(s->class_name);
    g_free(s->team);
    g_free(s->image);
    g_free(s->zone);
    g_strfreev(s->types);
    memset(s, 0, sizeof *s);
}

size_t lmn_job_spec_pair_count(void)
{
    return 20;
}

static void put_or_null(GByteArray *b, const char *s)
{
    if (s)
        lmn_cbor_put_text(b, s);
    else
        lmn_cbor_put_null(b);
}

void lmn_job_spec_write(GByteArray *b, const struct lmn_job_spec *s)
{
    lmn_cbor_put_text(b, WIRE_JOB_ID), lmn_cbor_put_text(b, s->ref);
    lmn_cbor_put_text(b, WIRE_CLASS), lmn_cbor_put_text(b, s->class_name);
    lmn_cbor_put_text(b, WIRE_TEAM), lmn_cbor_put_text(b, s->team);
    lmn_cbor_put_text(b, WIRE_JOB_KIND), lmn_cbor_put_text(b, kinds[s->kind]);
    lmn_cbor_put_text(b, WIRE_PRIORITY), lmn_cbor_put_text(b, urgencies[s->urgency]);
    lmn_cbor_put_text(b, WIRE_TASKS), lmn_cbor_put_uint(b, s->tasks);
    lmn_cbor_put_text(b, WIRE_CPUS), lmn_cbor_put_number(b, s->cpus);
    lmn_cbor_put_text(b, WIRE_GPUS), lmn_cbor_put_number(b, s->gpus);
    lmn_cbor_put_text(b, WIRE_MEMORY_GB), lmn_cbor_put_number(b, s->mem);
    lmn_cbor_put_text(b, WIRE_IMAGE), lmn_cbor_put_text(b, s->image);
    lmn_cbor_put_text(b, WIRE_IMAGE_GB), lmn_cbor_put_number(b, s->image_gb);
    lmn_cbor_put_text(b, WIRE_MACHINE_TYPES);
    if (s->types) {
        lmn_cbor_put_array(b, g_strv_length(s->types));
        for (char **t = s->types; *t; t++)
            lmn_cbor_put_text(b, *t);
    } else {
        lmn_cbor_put_null(b);
    }
    lmn_cbor_put_text(b, WIRE_ZONE), put_or_null(b, s->zone);
    lmn_cbor_put_text(b, WIRE_ZONE_AFFINITY), lmn_cbor_put_bool(b, s->one_zone);
    lmn_cbor_put_text(b, WIRE_ZONE_ANTI_AFFINITY), lmn_cbor_put_bool(b, s->spread);
    lmn_cbor_put_text(b, WIRE_SPOT), lmn_cbor_put_bool(b, s->spot);
    lmn_cbor_put_text(b, WIRE_ESTIMATE_S), lmn_cbor_put_number(b, s->estimate_s);
    lmn_cbor_put_text(b, WIRE_CHECKPOINT_S), lmn_cbor_put_number(b, s->checkpoint_s);
    lmn_cbor_put_text(b, WIRE_SAVE_S), lmn_cbor_put_number(b, s->save_s);
    lmn_cbor_put_text(b, WIRE_DEADLINE_S);
    if (s->deadline_s >= 0)
        lmn_cbor_put_number(b, s->deadline_s);
    else
        lmn_cbor_put_null(b);
}

bool lmn_job_spec_allows(const struct lmn_job_spec *s, const struct lmn_machine_type *t,
                         const char *zone, bool spot)
{
    if ((spot && !s->spot) || (s->zone && strcmp(s->zone, zone)))
        return false;
    if (s->cpus > t->cpus || s->gpus > t->gpus || s->mem > t->mem)
        return false;
    return !s->types || g_strv_contains((const char *const *)s->types, t->name);
}

bool lmn_job_spec_is_feasible(const struct lmn_job_spec *s,
                              const struct lmn_settings *cfg,
                              const struct lmn_machine_types *types, const char **why)
{
    const struct lmn_team *team = lmn_settings_team(cfg, s->team);
    double n = s->kind == LMN_JOB_SERVICE ? s->tasks : 1;
    bool fits = false;

    if (!team) {
        *why = "unknown team";
        return false;
    }
    if ((team->cpus_max > 0 && n * s->cpus > team->cpus_max) ||
        (team->gpus_max > 0 && n * s->gpus > team->gpus_max)) {
        *why = "more than the team's limit";
        return false;
    }
    for (size_t i = 0; i < types->n && !fits; i++)
        for (int z = 0; z < types->v[i].nzones && !fits; z++)
            fits = lmn_job_spec_allows(s, &types->v[i], types->v[i].zones[z], false);
    if (!fits)
        *why = "a task fits no allowed machine type";
    return fits;
}

void lmn_bitset_write(GByteArray *b, const uint8_t *bits, uint32_t n)
{
    uint32_t len = (n + 7) / 8;
    GString *s;

    while (len > 0 && !bits[len - 1])
        len--;
    s = g_string_sized_new(2 * len + 1);
    for (uint32_t i = 0; i < len; i++)
        g_string_append_printf(s, "%02x", bits[i]);
    lmn_cbor_put_text(b, s->str);
    g_string_free(s, TRUE);
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

bool lmn_objective_applies(const struct lmn_objective *o, const struct lmn_job_spec *s)
{
    return (!*o->class_name || !strcmp(o->class_name, s->class_name)) &&
           (o->kind == LMN_OBJECTIVE_START || o->kind == LMN_OBJECTIVE_FINISH ||
            (o->kind == LMN_OBJECTIVE_DEADLINE && s->deadline_s >= 0));
}

bool lmn_job_spec_has_objective(const struct lmn_settings *cfg,
                                const struct lmn_job_spec *s)
{
    for (size_t i = 0; i < cfg->nobjectives; i++)
        if (lmn_objective_applies(&cfg->objectives[i], s))
            return true;
    return s->deadline_s >= 0;
}
