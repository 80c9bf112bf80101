#include "util/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum lmn_log_level lmn_log_level = LMN_LOG_INFO;

static char node_name[64] = "-";
static bool as_json;

/* One value of "name=value name=\"a value\"": its end, NULL past the last. */
static const char *take_field(const char *at, json_t *to)
{
    const char *eq = strchr(at, '='), *end;
    char *name, *value;

    if (!eq)
        return NULL;
    name = g_strndup(at, (gsize)(eq - at));
    bool quoted = eq[1] == '"';
    const char *from = eq + 1 + quoted;
    end = strchr(from, quoted ? '"' : ' ');
    if (!end)
        end = from + strlen(from);
    value = g_strndup(from, (gsize)(end - from));
    json_object_set_new(to, name, json_string(value));
    g_free(name);
    g_free(value);
    end += quoted && *end;
    while (*end == ' ')
        end++;
    return *end ? end : NULL;
}

/* The same line as JSON: level, node, time of day, event, and its fields. */
static int json_line(char *line, size_t len, const char *word, const char *message)
{
    json_t *j = json_object();
    const char *rest = strchr(message, ' ');
    gint64 now = g_get_real_time();

    json_object_set_new(j, "time", json_real((double)now / 1e6));
    json_object_set_new(j, "level", json_string(word));
    json_object_set_new(j, "node", json_string(node_name));
    json_object_set_new(
        j, "event",
        json_stringn(message, rest ? (size_t)(rest - message) : strlen(message)));
    for (const char *at = rest ? rest + 1 : NULL; at;)
        at = take_field(at, j);
    size_t n = json_dumpb(j, line, len - 1, JSON_COMPACT);
    json_decref(j);
    if (n >= len - 1)
        n = (size_t)g_snprintf(line, len, "{\"level\":\"%s\",\"event\":\"too-long\"}",
                               word);
    line[n] = '\n';
    return (int)n + 1;
}

static GLogWriterOutput writer(GLogLevelFlags level, const GLogField *fields, gsize n,
                               gpointer data)
{
    const char *message = "", *word = "info";
    char line[1024];
    (void)data;

    for (gsize i = 0; i < n; i++)
        if (!strcmp(fields[i].key, "MESSAGE"))
            message = fields[i].value;
    if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING))
        word = "error";
    else if (level & G_LOG_LEVEL_DEBUG)
        word = "debug";
    int len = as_json ? json_line(line, sizeof line, word, message)
                      : snprintf(line, sizeof line, "%s node=%s %s\n", word, node_name,
                                 message);
    if (len >= (int)sizeof line) {
        len = sizeof line - 1;
        line[len - 1] = '\n';
    }
    /* One write a line, so that lines of several threads do not mix. */
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
    g_log_set_writer_func(writer, NULL, NULL);
}

void lmn_log_write(enum lmn_log_level level, const char *fmt, ...)
{
    static const GLogLevelFlags flags[] = {G_LOG_LEVEL_WARNING, G_LOG_LEVEL_MESSAGE,
                                           G_LOG_LEVEL_DEBUG};
    va_list ap;

    va_start(ap, fmt);
    g_logv(G_LOG_DOMAIN, flags[level], fmt, ap);
    va_end(ap);
}
