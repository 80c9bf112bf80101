/**
 * @file
 * Encodes and decodes job descriptions. The table `fields` lists the fields in the order
 * in which they are written and checked; each field has a type with functions that read
 * and write its value. The order of the table is part of the format of stored records.
 */
#include "job/job_spec.h"
#include "protocol/wire.h"

#include <stddef.h>
#include <string.h>

enum {
    MAX_TEXT_SIZE = 200,    /**< bytes of a text field including the terminating NUL */
    MAX_MACHINE_TYPES = 256 /**< machine types that a description may list */
};

/** Upper bound of all amounts and times, far above any meaningful value. */
static const double MAX_AMOUNT = 1e9;

struct field;

/** Reads a value into the description's member for the field.
 * @param value NULL if the field is absent or null.
 * @return false if the value is invalid. */
typedef bool field_reader(const struct field *field,
                          const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *value, void *member);

/** Appends the member's value to `buffer` as CBOR. */
typedef void field_writer(const struct field *field, GByteArray *buffer,
                          const void *member);

/** Functions that read and write one type of field. */
struct field_type {
    field_reader *read;
    field_writer *write;
};

struct field {
    const char *name; /**< key in messages and stored records */
    size_t offset;    /**< of the member in struct lmn_job_spec */
    const struct field_type *type;
    const char *const *words; /**< enumerations: NULL-terminated names by value */
};

/* Job ids: an array of LMN_JOB_ID_SIZE characters. */

static bool read_id(const struct field *field, const struct lmn_cbor_document *document,
                    const struct lmn_cbor_value *value, void *member)
{
    (void)field;
    (void)document;
    return lmn_cbor_get_text(value, member, LMN_JOB_ID_SIZE) &&
           lmn_job_id_is_valid(member);
}

static void write_id(const struct field *field, GByteArray *buffer, const void *member)
{
    (void)field;
    lmn_cbor_put_text(buffer, member);
}

static const struct field_type id_type = {read_id, write_id};

/* Required text, not empty; the member is an allocated string. */

static bool read_text(const struct field *field, const struct lmn_cbor_document *document,
                      const struct lmn_cbor_value *value, void *member)
{
    char text[MAX_TEXT_SIZE];
    (void)field;
    (void)document;

    if (!lmn_cbor_get_text(value, text, sizeof text) || !*text)
        return false;
    *(char **)member = g_strdup(text);
    return true;
}

static void write_text(const struct field *field, GByteArray *buffer, const void *member)
{
    (void)field;
    lmn_cbor_put_text(buffer, *(char *const *)member);
}

static const struct field_type text_type = {read_text, write_text};

/* Optional text; the member is NULL if the text is absent. */

static bool read_optional_text(const struct field *field,
                               const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *value, void *member)
{
    return !value || read_text(field, document, value, member);
}

static void write_optional_text(const struct field *field, GByteArray *buffer,
                                const void *member)
{
    if (*(char *const *)member)
        write_text(field, buffer, member);
    else
        lmn_cbor_put_null(buffer);
}

static const struct field_type optional_text_type = {read_optional_text,
                                                     write_optional_text};

/* Optional list of names; the member is a NULL-terminated array, NULL if absent. */

static bool read_names(const struct field *field,
                       const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *list, void *member)
{
    char name[LMN_NAME_SIZE];
    (void)field;

    if (!list)
        return true;
    if (list->type != LMN_CBOR_ARRAY || list->len > MAX_MACHINE_TYPES)
        return false;
    g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, list); node;
         node = lmn_cbor_next(document, node)) {
        if (!lmn_cbor_get_text(node, name, sizeof name))
            return false;
        g_ptr_array_add(names, g_strdup(name));
    }
    g_ptr_array_add(names, NULL);
    *(char ***)member = (char **)g_ptr_array_free(g_steal_pointer(&names), FALSE);
    return true;
}

static void write_names(const struct field *field, GByteArray *buffer, const void *member)
{
    char *const *names = *(char **const *)member;
    (void)field;

    if (!names) {
        lmn_cbor_put_null(buffer);
        return;
    }
    lmn_cbor_put_array(buffer, g_strv_length((char **)names));
    for (; *names; names++)
        lmn_cbor_put_text(buffer, *names);
}

static const struct field_type names_type = {read_names, write_names};

/* Enumerations; the member is the index in field->words. */

static bool read_word(const struct field *field, const struct lmn_cbor_document *document,
                      const struct lmn_cbor_value *value, void *member)
{
    (void)document;
    for (unsigned i = 0; field->words[i]; i++)
        if (lmn_cbor_text_equals(value, field->words[i])) {
            *(unsigned *)member = i;
            return true;
        }
    return false;
}

static void write_word(const struct field *field, GByteArray *buffer, const void *member)
{
    lmn_cbor_put_text(buffer, field->words[*(const unsigned *)member]);
}

static const struct field_type word_type = {read_word, write_word};

/* The number of tasks. */

static bool read_task_count(const struct field *field,
                            const struct lmn_cbor_document *document,
                            const struct lmn_cbor_value *value, void *member)
{
    uint64_t tasks = 0;
    (void)field;
    (void)document;

    if (!lmn_cbor_get_uint(value, &tasks) || tasks == 0 || tasks > LMN_MAX_TASKS)
        return false;
    *(uint32_t *)member = (uint32_t)tasks;
    return true;
}

static void write_task_count(const struct field *field, GByteArray *buffer,
                             const void *member)
{
    (void)field;
    lmn_cbor_put_uint(buffer, *(const uint32_t *)member);
}

static const struct field_type task_count_type = {read_task_count, write_task_count};

/* Required amounts and times: numbers from 0 to MAX_AMOUNT. */

static bool read_amount(const struct field *field,
                        const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *value, void *member)
{
    double *amount = member;
    (void)field;
    (void)document;

    return lmn_cbor_get_number(value, amount) && *amount >= 0 && *amount <= MAX_AMOUNT;
}

static void write_amount(const struct field *field, GByteArray *buffer,
                         const void *member)
{
    (void)field;
    lmn_cbor_put_number(buffer, *(const double *)member);
}

static const struct field_type amount_type = {read_amount, write_amount};

/* Optional amounts; the member is -1 if the amount is absent. */

static bool read_optional_amount(const struct field *field,
                                 const struct lmn_cbor_document *document,
                                 const struct lmn_cbor_value *value, void *member)
{
    *(double *)member = -1;
    return !value || read_amount(field, document, value, member);
}

static void write_optional_amount(const struct field *field, GByteArray *buffer,
                                  const void *member)
{
    if (*(const double *)member >= 0)
        write_amount(field, buffer, member);
    else
        lmn_cbor_put_null(buffer);
}

static const struct field_type optional_amount_type = {read_optional_amount,
                                                       write_optional_amount};

/* Booleans. */

static bool read_bool(const struct field *field, const struct lmn_cbor_document *document,
                      const struct lmn_cbor_value *value, void *member)
{
    (void)field;
    (void)document;
    return lmn_cbor_get_bool(value, member);
}

static void write_bool(const struct field *field, GByteArray *buffer, const void *member)
{
    (void)field;
    lmn_cbor_put_bool(buffer, *(const bool *)member);
}

static const struct field_type bool_type = {read_bool, write_bool};

/** Names of enum lmn_job_kind. */
static const char *const job_kind_words[] = {WIRE_BATCH, WIRE_SERVICE, NULL};

/** Names of enum lmn_priority. */
static const char *const priority_words[] = {"idle", "normal", "high", "prod", NULL};

#define OFFSET(member) offsetof(struct lmn_job_spec, member)

static const struct field fields[] = {
    {WIRE_JOB_ID, OFFSET(id), &id_type, NULL},
    {WIRE_CLASS, OFFSET(class_name), &text_type, NULL},
    {WIRE_TEAM, OFFSET(team), &text_type, NULL},
    {WIRE_JOB_KIND, OFFSET(kind), &word_type, job_kind_words},
    {WIRE_PRIORITY, OFFSET(priority), &word_type, priority_words},
    {WIRE_TASKS, OFFSET(tasks), &task_count_type, NULL},
    {WIRE_CPUS, OFFSET(cpus), &amount_type, NULL},
    {WIRE_GPUS, OFFSET(gpus), &amount_type, NULL},
    {WIRE_MEMORY_GB, OFFSET(memory_gb), &amount_type, NULL},
    {WIRE_IMAGE, OFFSET(image), &text_type, NULL},
    {WIRE_IMAGE_GB, OFFSET(image_gb), &amount_type, NULL},
    {WIRE_MACHINE_TYPES, OFFSET(machine_types), &names_type, NULL},
    {WIRE_ZONE, OFFSET(zone), &optional_text_type, NULL},
    {WIRE_ZONE_AFFINITY, OFFSET(requires_one_zone), &bool_type, NULL},
    {WIRE_ZONE_ANTI_AFFINITY, OFFSET(spreads_over_zones), &bool_type, NULL},
    {WIRE_SPOT, OFFSET(may_use_spot), &bool_type, NULL},
    {WIRE_ESTIMATE_S, OFFSET(estimate_s), &amount_type, NULL},
    {WIRE_CHECKPOINT_S, OFFSET(checkpoint_s), &amount_type, NULL},
    {WIRE_SAVE_S, OFFSET(save_s), &amount_type, NULL},
    {WIRE_DEADLINE_S, OFFSET(deadline_s), &optional_amount_type, NULL},
};

#undef OFFSET

G_STATIC_ASSERT(sizeof(enum lmn_job_kind) == sizeof(unsigned));
G_STATIC_ASSERT(sizeof(enum lmn_priority) == sizeof(unsigned));

int lmn_job_spec_parse(struct lmn_job_spec *spec,
                       const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *map, const char **field)
{
    memset(spec, 0, sizeof *spec);
    if (!map || map->type != LMN_CBOR_MAP) {
        *field = "body";
        return -1;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        const struct lmn_cbor_value *value = lmn_cbor_get(document, map, fields[i].name);
        void *member = (char *)spec + fields[i].offset;
        if (!fields[i].type->read(&fields[i], document, value, member)) {
            *field = fields[i].name;
            return -1;
        }
    }
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
    return G_N_ELEMENTS(fields);
}

void lmn_job_spec_write(GByteArray *buffer, const struct lmn_job_spec *spec)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        lmn_cbor_put_text(buffer, fields[i].name);
        fields[i].type->write(&fields[i], buffer, (const char *)spec + fields[i].offset);
    }
}
