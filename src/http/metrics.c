/**
 * @file
 * Formatting of metrics as OpenMetrics text.
 */
#include "http/metrics.h"

static const char CONTENT_TYPE[] =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";

enum { STATUS_OK = 200 };

void lmn_metric_head(GString *out, const char *name, const char *kind, const char *help)
{
    g_string_append_printf(out, "# TYPE %s %s\n# HELP %s %s\n", name, kind, name, help);
}

static void append_escaped(GString *out, const char *text)
{
    for (const char *character = text; *character; character++) {
        if (*character == '\\' || *character == '"')
            g_string_append_c(out, '\\');
        if (*character == '\n')
            g_string_append(out, "\\n");
        else
            g_string_append_c(out, *character);
    }
}

void lmn_metric_sample(GString *out, const char *name, const char *label,
                       const char *value, double sample)
{
    g_string_append(out, name);
    if (label) {
        g_string_append_printf(out, "{%s=\"", label);
        append_escaped(out, value);
        g_string_append(out, "\"}");
    }
    g_string_append_printf(out, " %.17g\n", sample);
}

void lmn_metric_gauge(GString *out, const char *name, const char *help, double value)
{
    lmn_metric_head(out, name, "gauge", help);
    lmn_metric_sample(out, name, NULL, NULL, value);
}

void lmn_metric_counter(GString *out, const char *name, const char *help, uint64_t value)
{
    lmn_metric_head(out, name, "counter", help);
    g_string_append_printf(out, "%s_total %" G_GUINT64_FORMAT "\n", name, value);
}

void lmn_metric_duration_summary(GString *out, const char *name, const char *help,
                                 const struct lmn_latency *latency)
{
    static const struct {
        const char *label;
        double value;
    } quantiles[] = {{"0.5", 0.5}, {"0.95", 0.95}, {"0.99", 0.99}};

    lmn_metric_head(out, name, "summary", help);
    for (guint i = 0; i < G_N_ELEMENTS(quantiles); i++)
        lmn_metric_sample(out, name, "quantile", quantiles[i].label,
                          lmn_latency_quantile(latency, quantiles[i].value));
    g_string_append_printf(out, "%s_count %.0f\n", name, lmn_latency_count(latency));
}

void lmn_metrics_respond(struct lmn_http_request *request,
                         void (*fill)(void *arg, GString *out), void *arg)
{
    GString *text = g_string_new(NULL);

    fill(arg, text);
    g_string_append(text, "# EOF\n");
    gsize len = text->len;
    GByteArray *body = g_byte_array_new_take((guint8 *)g_string_free(text, FALSE), len);
    lmn_http_request_respond_as(request, STATUS_OK, CONTENT_TYPE, body);
}
