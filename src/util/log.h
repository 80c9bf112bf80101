/**
 * @file
 * Logging: one line for each event on standard error, written as the event's name
 * followed by key=value pairs. lmn_log_init() reads the level and the format from the
 * environment and must be called before other threads start. Afterwards any thread may
 * log; each line is written with one system call, so that lines of several threads are
 * not interleaved.
 */
#ifndef LMN_UTIL_LOG_H
#define LMN_UTIL_LOG_H

/** Levels, the most important first. */
enum lmn_log_level { LMN_LOG_ERROR, LMN_LOG_INFO, LMN_LOG_DEBUG };

/** Events of a less important level are not written. */
extern enum lmn_log_level lmn_log_level;

/** Reads LOG_LEVEL (error, info or debug; info if unset) and LOG_FORMAT (text, or json
 * for a JSON object on each line), and installs the writer of GLib's log. @param node
 * name of this node, written in each line; cut to 63 bytes. */
void lmn_log_init(const char *node);

/** Writes an event without checking lmn_log_level; call it through the macros below. A
 * line longer than about 1,000 bytes is cut; in JSON it is replaced by an event
 * `too-long`. */
void lmn_log_write(enum lmn_log_level level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Writes an event with printf-like arguments, as in
 * `lmn_info("task_started job=%s task=%u", id, index)`. The arguments aren't evaluated if
 * events of the level are not written. */
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
