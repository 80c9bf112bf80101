/**
 * @file
 * A writer for GLib's structured log that prints one line for each message.
 */
#include "util/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum { MAX_LINE_BYTES = 1024, MAX_NODE_NAME_BYTES = 64 };

enum lmn_log_level lmn_log_level = LMN_LOG_INFO;

static char node_name[MAX_NODE_NAME_BYTES] = "-";
static bool as_json;

/** Adds the first field of a message such as `name=value name="a value"` to the object.
 * @return the start of the next field; NULL after the last. */
static const char *take_field(const char *field, json_t *object)
{
    const char *equals = strchr(field, '=');

    if (!equals)
        return NULL;
    g_autofree char *name = g_strndup(field, (gsize)(equals - field));
    bool is_quoted = equals[1] == '"';
    const char *start = equals + 1 + is_quoted;
    const char *end = strchr(start, is_quoted ? '"' : ' ');
    if (!end)
        end = start + strlen(start);
    g_autofree char *value = g_strndup(start, (gsize)(end - start));
    json_object_set_new(object, name, json_string(value));
    end += is_quoted && *end;
    while (*end == ' ')
        end++;
    return *end ? end : NULL;
}

/** @return an object of time of day, level, node, event and the event's fields. */
static json_t *json_event(const char *level, const char *message)
{
    json_t *object = json_object();
    const char *space = strchr(message, ' ');
    size_t event_len = space ? (size_t)(space - message) : strlen(message);
    double now_s = (double)g_get_real_time() / G_USEC_PER_SEC;

    json_object_set_new(object, "time", json_real(now_s));
    json_object_set_new(object, "level", json_string(level));
    json_object_set_new(object, "node", json_string(node_name));
    json_object_set_new(object, "event", json_stringn(message, event_len));
    for (const char *field = space ? space + 1 : NULL; field;)
        field = take_field(field, object);
    return object;
}

/** Formats a message as JSON. @return the bytes of the line with its newline. */
static int json_line(char *line, size_t size, const char *level, const char *message)
{
    json_t *object = json_event(level, message);
    size_t len = json_dumpb(object, line, size - 1, JSON_COMPACT);

    json_decref(object);
    if (len >= size - 1)
        len = (size_t)g_snprintf(line, size, "{\"level\":\"%s\",\"event\":\"too-long\"}",
                                 level);
    line[len] = '\n';
    return (int)len + 1;
}

/** Formats a message as text, cut to fit. @return the bytes of the line with its newline.
 */
static int text_line(char *line, size_t size, const char *level, const char *message)
{
    int len = snprintf(line, size, "%s node=%s %s\n", level, node_name, message);

    if (len >= (int)size) {
        len = (int)size - 1;
        line[len - 1] = '\n';
    }
    return len;
}

static const char *level_word(GLogLevelFlags level)
{
    if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING))
        return "error";
    return level & G_LOG_LEVEL_DEBUG ? "debug" : "info";
}

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields,
                                   gsize field_count, gpointer data)
{
    const char *message = "";
    char line[MAX_LINE_BYTES];
    (void)data;

    for (gsize i = 0; i < field_count; i++)
        if (!strcmp(fields[i].key, "MESSAGE"))
            message = fields[i].value;
    int len = as_json ? json_line(line, sizeof line, level_word(level), message)
                      : text_line(line, sizeof line, level_word(level), message);
    /* One write() for each line, so that lines of several threads are not interleaved. */
    if (write(STDERR_FILENO, line, (size_t)len) < 0)
        return G_LOG_WRITER_UNHANDLED;
    return G_LOG_WRITER_HANDLED;
}

void lmn_log_init(const char *node)
{
    const char *level = g_getenv("LOG_LEVEL");

    if (level && !strcmp(level, "error"))
        lmn_log_level = LMN_LOG_ERROR;
    else if (level && !strcmp(level, "debug"))
        lmn_log_level = LMN_LOG_DEBUG;
    as_json = !g_strcmp0(g_getenv("LOG_FORMAT"), "json");
    g_strlcpy(node_name, node, sizeof node_name);
    g_log_set_writer_func(write_line, NULL, NULL);
}

void lmn_log_write(enum lmn_log_level level, const char *format, ...)
{
    /* Indexed by enum lmn_log_level. */
    static const GLogLevelFlags flags[] = {G_LOG_LEVEL_WARNING, G_LOG_LEVEL_MESSAGE,
                                           G_LOG_LEVEL_DEBUG};
    va_list arguments;

    va_start(arguments, format);
    g_logv(G_LOG_DOMAIN, flags[level], format, arguments);
    va_end(arguments);
}
