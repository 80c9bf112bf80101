#include "base/log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum lmn_log_level lmn_log_level = LMN_LOG_INFO;

static char node_name[64] = "-";

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
    int len = snprintf(line, sizeof line, "%s node=%s %s\n", word, node_name, message);
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
