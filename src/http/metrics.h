/* Metrics as OpenMetrics text. Debian packages a client library for C++ only; the text
 * form is small enough to write with GLib's strings. */
#ifndef LMN_HTTP_METRICS_H
#define LMN_HTTP_METRICS_H

#include "http/server.h"
#include "util/latency.h"

/* Appends one metric without labels: name (of a counter: without _total), help, value. */
void lmn_gauge(GString *out, const char *name, const char *help, double value);
void lmn_counter(GString *out, const char *name, const char *help, uint64_t value);
/* A summary: quantiles 0.5, 0.95, 0.99 and the number of observations. */
void lmn_quantiles(GString *out, const char *name, const char *help,
                   const struct lmn_latency *latency);
/* A metric with labels: its head once, then a sample for each. kind: "gauge" or
 * "counter". label's value is escaped; suffix is "_total" for counters. */
void lmn_metric_head(GString *out, const char *name, const char *kind, const char *help);
void lmn_metric_sample(GString *out, const char *name, const char *label,
                       const char *value, double sample);
/* Answers GET /metrics with what fill appends. */
void lmn_metrics_answer(struct lmn_http_request *request,
                        void (*fill)(void *arg, GString *out), void *arg);

#endif
