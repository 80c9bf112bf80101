/**
 * @file
 * Reading of operators' TOML files (sites, machine inventories, gateways, ...). A file is
 * flattened into fields by path; the callers read the fields one by one, and each
 * error names the file, line, field and expected value. The file that the
 * platform hands to a controller has a reader of its own (config/settings.h).
 *
 * Errors: only the first one is kept. After an error the getters return
 * their fallbacks or the values as read, so that callers need no checks between them;
 * lmn_config_finish() reports it, and also reports a field that no getter has read, since
 * its name is unknown or misspelt.
 *
 * Paths are dotted, with indices for arrays: "machines[2].zone". A configuration belongs
 * to one thread; it owns all the text that its getters return.
 */
#ifndef LMN_CONFIG_CONFIG_H
#define LMN_CONFIG_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** A file that was read, and the first error found in it. */
struct lmn_config;

/** The kind of a field. */
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

/**
 * Reads a file.
 * @param err  receives "file: line N: error" or "file: cannot be read: reason", cut to
 * `len` bytes with the closing zero byte.
 * @return to be released by lmn_config_free(); NULL if the file can't be read or is not
 * TOML.
 */
struct lmn_config *lmn_config_load(const char *path, char *err, size_t len);

/** Like lmn_config_load(), for text in memory. @param name written in place of the file's
 * path in errors. */
struct lmn_config *lmn_config_parse(const char *text, const char *name, char *err,
                                    size_t len);

/** Creates an empty configuration. For the TOML reader. */
struct lmn_config *lmn_config_new(const char *name);

/**
 * Adds a field. For the TOML reader.
 * @param text    copied; of LMN_CONFIG_TEXT: the value.
 * @param number  the value of a number; 0 or 1 for a boolean; the length of an array.
 * @param line    number of its line in the file.
 */
void lmn_config_add(struct lmn_config *config, const char *path,
                    enum lmn_config_kind kind, const char *text, double number,
                    unsigned line);

/** Frees the configuration, including all text that its getters have returned. */
void lmn_config_free(struct lmn_config *config);

#ifdef __cplusplus
}
#endif

/** Reads a text, which may not be empty. @param fallback taken if the field is absent;
 * NULL: the field is required. @return never NULL; "" after an error. */
const char *lmn_config_text(struct lmn_config *config, const char *path,
                            const char *fallback);

/** Reads a name: 1 to LMN_NAME_SIZE - 1 letters, digits, '-', '_' and '.'. Otherwise as
 * lmn_config_text(). */
const char *lmn_config_name(struct lmn_config *config, const char *path,
                            const char *fallback);

/** Reads an address, "IPv4:port". Otherwise as lmn_config_text(). */
const char *lmn_config_address(struct lmn_config *config, const char *path,
                               const char *fallback);

/** Reads a number from `min` to `max`. @return `fallback` if it is absent or invalid. */
double lmn_config_number(struct lmn_config *config, const char *path, double fallback,
                         double min, double max);

/** Reads a boolean. @return `fallback` if it is absent or invalid. */
bool lmn_config_bool(struct lmn_config *config, const char *path, bool fallback);

/** @return the number of elements of an array; 0 if it is absent. */
guint lmn_config_count(struct lmn_config *config, const char *path);

/** Whether the file contains the field, of any kind. */
bool lmn_config_has(struct lmn_config *config, const char *path);

/** Reports an error that the caller found in a field: printf-like, as in "expected ...".
 * Ignored if there is an error already. */
void lmn_config_fail(struct lmn_config *config, const char *path, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/**
 * Ends the reading. The configuration stays valid and is still to be freed.
 * @param err  receives the first error as "file: line N: field: error", cut to `len`
 * bytes.
 * @return 0, or -1 if there was an error or a field that no getter has read.
 */
int lmn_config_finish(struct lmn_config *config, char *err, size_t len);

#endif
