/* Operators' TOML files: every field is read through here, so that what is wrong, or
 * isn't known, is named with file, line, field and mend. The platform's own file is read
 * by config/settings.h.
 *
 * The first thing that is wrong is kept; the getters then go on with defaults, and
 * lmn_config_finish says it. Paths are dotted, with numbers for arrays:
 * "machines[2].zone". One thread. */
#ifndef LMN_CONFIG_CONFIG_H
#define LMN_CONFIG_CONFIG_H

#include <glib.h>
#include <stdbool.h>

struct lmn_config;

#ifdef __cplusplus
extern "C" {
#endif
/* NULL with "file: line N: what" in err. */
struct lmn_config *lmn_config_load(const char *path, char *err, size_t len);
struct lmn_config *lmn_config_parse(const char *text, const char *name, char *err,
                                    size_t len);
#ifdef __cplusplus
}
#endif

/* A text; def (may be NULL: required) if it is absent. Belongs to the conf. */
const char *lmn_config_text(struct lmn_config *config, const char *path, const char *def);
/* A text that must be a name: 1 to 63 letters, digits, '-', '_', '.'. */
const char *lmn_config_name(struct lmn_config *config, const char *path, const char *def);
double lmn_config_number(struct lmn_config *config, const char *path, double def,
                         double lo, double hi);
bool lmn_config_bool(struct lmn_config *config, const char *path, bool def);
/* "IPv4:port". */
const char *lmn_config_address(struct lmn_config *config, const char *path,
                               const char *def);
/* How many elements an array has; 0 if it is absent. */
guint lmn_config_count(struct lmn_config *config, const char *path);
bool lmn_config_has(struct lmn_config *config, const char *path);
/* Something is wrong with the field: printf-like, as "expected ...". */
void lmn_config_fail(struct lmn_config *config, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* 0, or -1 with what was wrong first, or with a field that nobody asked for. Frees
 * nothing. */
int lmn_config_finish(struct lmn_config *config, char *err, size_t len);
void lmn_config_free(struct lmn_config *config);

/* --- for the reader of TOML (toml.cpp) --- */
enum lmn_config_kind {
    LMN_CONFIG_TEXT,
    LMN_CONFIG_NUMBER,
    LMN_CONFIG_BOOL,
    LMN_CONFIG_ARRAY,
    LMN_CONFIG_TABLE
};
#ifdef __cplusplus
extern "C" {
#endif
struct lmn_config *lmn_config_new(const char *name);
void lmn_config_add(struct lmn_config *config, const char *path,
                    enum lmn_config_kind kind, const char *text, double number,
                    unsigned line);
#ifdef __cplusplus
}
#endif

#endif
