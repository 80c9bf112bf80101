/* Jobs as their users describe them, and sets of finished tasks. */
#ifndef LMN_JOB_JOB_SPEC_H
#define LMN_JOB_JOB_SPEC_H

#include "protocol/cbor.h"
#include "config/settings.h"

#include <stdbool.h>
#include <stdint.h>

enum { LMN_JOB_ID_SIZE = 32, LMN_MAX_TASKS = 100000, LMN_MAX_ZONES = 64 };
enum lmn_job_kind { LMN_JOB_BATCH, LMN_JOB_SERVICE };
enum lmn_priority {
    LMN_PRIORITY_IDLE,
    LMN_PRIORITY_NORMAL,
    LMN_PRIORITY_HIGH,
    LMN_PRIORITY_PRODUCTION
};
enum lmn_job_phase { LMN_JOB_ACTIVE, LMN_JOB_DONE, LMN_JOB_CANCELLED };

struct lmn_machine_type {
    char name[LMN_NAME_SIZE];
    double cpus, gpus, memory_gb, cache_gb, pull_gb_per_s, rate, spot_rate, ready_s;
    char zones[LMN_MAX_ZONES][LMN_NAME_SIZE];
    int zone_count;
};

struct lmn_machine_types {
    struct lmn_machine_type *v;
    size_t n;
};

struct lmn_job_spec {
    char id[LMN_JOB_ID_SIZE];
    char *class_name, *team, *image, *zone;
    char **machine_types; /* NULL: any */
    enum lmn_job_kind kind;
    enum lmn_priority priority;
    uint32_t tasks;
    double cpus, gpus, memory_gb, image_gb, estimate_s, checkpoint_s, save_s;
    double deadline_s; /* negative: none */
    bool requires_one_zone, spreads_over_zones, may_use_spot;
};

/* The form of ids; everything else can never have been accepted. */
bool lmn_job_id_is_valid(const char *ref);
/* 0, or -1 if a field is missing or invalid; *what then says which. Frees nothing it took
 * on failure but what lmn_job_spec_clear frees. */
int lmn_job_spec_parse(struct lmn_job_spec *spec,
                       const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *map, const char **what);
void lmn_job_spec_clear(struct lmn_job_spec *spec);
/* Appends the fields as pairs of an open map: as many as lmn_job_spec_pair_count says. */
void lmn_job_spec_write(GByteArray *buffer, const struct lmn_job_spec *spec);
size_t lmn_job_spec_pair_count(void);

bool lmn_job_spec_allows(const struct lmn_job_spec *spec,
                         const struct lmn_machine_type *type, const char *zone,
                         bool spot);
/* Whether the job could ever run; *why says what is against it. */
bool lmn_job_spec_is_feasible(const struct lmn_job_spec *spec,
                              const struct lmn_settings *settings,
                              const struct lmn_machine_types *types, const char **why);

/* Whether the objective says when such a job should start or end. */
bool lmn_objective_applies(const struct lmn_objective *objective,
                           const struct lmn_job_spec *spec);
/* Whether anything does, its deadline included. */
bool lmn_job_spec_has_objective(const struct lmn_settings *settings,
                                const struct lmn_job_spec *spec);

/* Sets of done tasks: one bit a task, as text of hexadecimal digits without closing
 * zeros. */
static inline bool lmn_bitset_get(const uint8_t *bits, uint32_t i)
{
    return bits[i / 8] >> (i % 8) & 1;
}
static inline void lmn_bitset_set(uint8_t *bits, uint32_t i)
{
    bits[i / 8] |= (uint8_t)(1u << (i % 8));
}
void lmn_bitset_write(GByteArray *buffer, const uint8_t *bits, uint32_t n);
/* Reads such a text into bits (of n tasks); -1 if it names a task that there isn't. */
int lmn_bitset_read(const struct lmn_cbor_value *text, uint8_t *bits, uint32_t n);
uint32_t lmn_bitset_count(const uint8_t *bits, uint32_t n);

#endif
