/* Jobs as their users describe them, and sets of finished tasks. */
#ifndef LMN_JOB_JOB_SPEC_H
#define LMN_JOB_JOB_SPEC_H

#include "protocol/cbor.h"
#include "config/settings.h"

#include <stdbool.h>
#include <stdint.h>

enum { LMN_REF = 32, LMN_MAX_TASKS = 100000, LMN_MAX_ZONES = 64 };
enum lmn_kind { LMN_BATCH, LMN_DAEMON };
enum lmn_urgency { LMN_IDLE, LMN_NORMAL, LMN_HIGH, LMN_PROD };
enum lmn_phase { LMN_ACTIVE, LMN_FINISHED, LMN_WITHDRAWN };

struct lmn_type {
    char name[LMN_NAME];
    double cpus, gpus, mem, cache_gb, pull, rate, spot_rate, ready_s;
    char zones[LMN_MAX_ZONES][LMN_NAME];
    int nzones;
};

struct lmn_types {
    struct lmn_type *v;
    size_t n;
};

struct lmn_spec {
    char ref[LMN_REF];
    char *class_name, *team, *image, *zone;
    char **types; /* NULL: any */
    enum lmn_kind kind;
    enum lmn_urgency urgency;
    uint32_t tasks;
    double cpus, gpus, mem, image_gb, estimate_s, checkpoint_s, save_s;
    double deadline_s; /* negative: none */
    bool one_zone, spread, spot;
};

/* The form of ids; everything else can never have been accepted. */
bool lmn_ref_ok(const char *ref);
/* 0, or -1 if a field is missing or invalid; *what then says which. Frees nothing it took
 * on failure but what lmn_spec_clear frees. */
int lmn_spec_parse(struct lmn_spec *s, const struct lmn_cbor_document *doc,
                   const struct lmn_cbor_value *map, const char **what);
void lmn_spec_clear(struct lmn_spec *s);
/* Appends the fields as pairs of an open map: as many as lmn_spec_pairs says. */
void lmn_spec_put(GByteArray *b, const struct lmn_spec *s);
size_t lmn_spec_pairs(void);

bool lmn_spec_allows(const struct lmn_spec *s, const struct lmn_type *t, const char *zone,
                     bool spot);
/* Whether the job could ever run; *why says what is against it. */
bool lmn_spec_possible(const struct lmn_spec *s, const struct lmn_settings *cfg,
                       const struct lmn_types *types, const char **why);

/* Whether the objective says when such a job should start or end. */
bool lmn_objective_concerns(const struct lmn_objective *o, const struct lmn_spec *s);
/* Whether anything does, its deadline included. */
bool lmn_spec_expected(const struct lmn_settings *cfg, const struct lmn_spec *s);

/* Sets of done tasks: one bit a task, as text of hexadecimal digits without closing
 * zeros. */
static inline bool lmn_bit(const uint8_t *bits, uint32_t i)
{
    return bits[i / 8] >> (i % 8) & 1;
}
static inline void lmn_set_bit(uint8_t *bits, uint32_t i)
{
    bits[i / 8] |= (uint8_t)(1u << (i % 8));
}
void lmn_bits_put(GByteArray *b, const uint8_t *bits, uint32_t n);
/* Reads such a text into bits (of n tasks); -1 if it names a task that there isn't. */
int lmn_bits_get(const struct lmn_cbor_value *text, uint8_t *bits, uint32_t n);
uint32_t lmn_bits_count(const uint8_t *bits, uint32_t n);

#endif
