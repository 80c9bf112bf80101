/* Logging: one line an event on standard error, key=value pairs after the event's name.
 */
#ifndef LMN_UTIL_LOG_H
#define LMN_UTIL_LOG_H

enum lmn_log_level { LMN_LOG_ERROR, LMN_LOG_INFO, LMN_LOG_DEBUG };

extern enum lmn_log_level lmn_log_level;

/* Reads LOG_LEVEL (error, info, debug; info if unset) and LOG_FORMAT (text, json: an
 * object a line), and takes over GLib's log writer. */
void lmn_log_init(const char *node);
void lmn_log_write(enum lmn_log_level level, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#define lmn_log(level, ...)                                                              \
    do {                                                                                 \
        if ((level) <= lmn_log_level)                                                    \
            lmn_log_write((level), __VA_ARGS__);                                         \
    } while (0)
#define lmn_error(...) lmn_log(LMN_LOG_ERROR, __VA_ARGS__)
#define lmn_info(...) lmn_log(LMN_LOG_INFO, __VA_ARGS__)
#define lmn_debug(...) lmn_log(LMN_LOG_DEBUG, __VA_ARGS__)

#endif
