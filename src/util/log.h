/**
 * @file
 * Logging: one line for each event on standard error, written as the event's name
 * followed by key=value pairs. The level and the form come from the environment and are
 * fixed by lmn_log_init(), which must run before other threads start; afterwards any
 * thread may log, and lines of several threads never mix.
 */
#ifndef LMN_UTIL_LOG_H
#define LMN_UTIL_LOG_H

/** Levels, the most important first. */
enum lmn_log_level { LMN_LOG_ERROR, LMN_LOG_INFO, LMN_LOG_DEBUG };

/** Events above this level are left out. */
extern enum lmn_log_level lmn_log_level;

/** Reads LOG_LEVEL (error, info, debug; info if unset) and LOG_FORMAT (text, or json: an
 * object on each line), and takes over GLib's log writer. @param node stands in each
 * line. */
void lmn_log_init(const char *node);

/** Writes an event whatever the level; to be called through the macros below. A line
 * longer than about 1,000 bytes is cut, or in JSON replaced by a note. */
void lmn_log_write(enum lmn_log_level level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Writes an event of a level: printf-like, as in
 * `lmn_info("task_started job=%s task=%u", id, index)`. The arguments aren't evaluated if
 * the level is left out. */
#define lmn_log(level, ...)                                                              \
    do {                                                                                 \
        if ((level) <= lmn_log_level)                                                    \
            lmn_log_write((level), __VA_ARGS__);                                         \
    } while (0)
/** Writes an event at level error. */
#define lmn_error(...) lmn_log(LMN_LOG_ERROR, __VA_ARGS__)
/** Writes an event at level info. */
#define lmn_info(...) lmn_log(LMN_LOG_INFO, __VA_ARGS__)
/** Writes an event at level debug. */
#define lmn_debug(...) lmn_log(LMN_LOG_DEBUG, __VA_ARGS__)

#endif
