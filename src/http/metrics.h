/**
 * @file
 * Metrics as OpenMetrics text. Debian packages a client library for C++ only, and the
 * format is simple enough to write with GLib's strings. No state is kept: each request
 * collects the values again, and the caller holds the locks that protect them.
 */
#ifndef LMN_HTTP_METRICS_H
#define LMN_HTTP_METRICS_H

#include "http/server.h"
#include "util/latency.h"

/** Appends a gauge without labels: a value that rises and falls. */
void lmn_metric_gauge(GString *out, const char *name, const char *help, double value);

/** Appends a counter without labels. @param name without "_total", which is added. */
void lmn_metric_counter(GString *out, const char *name, const char *help, uint64_t value);

/** Appends a summary of durations: the quantiles 0.5, 0.95 and 0.99, and the number of
 * durations. */
void lmn_metric_duration_summary(GString *out, const char *name, const char *help,
                                 const struct lmn_latency *latency);

/** Appends the head of a metric with labels, to be followed by a sample for each label.
 * @param kind "gauge" or "counter". */
void lmn_metric_head(GString *out, const char *name, const char *kind, const char *help);

/**
 * Appends a sample.
 * @param name   of a counter: with "_total".
 * @param label  name of the label; NULL: none.
 * @param value  the label's value; escaped.
 */
void lmn_metric_sample(GString *out, const char *name, const char *label,
                       const char *value, double sample);

/** Responds to a request for metrics with the text that `fill` appends. */
void lmn_metrics_respond(struct lmn_http_request *request,
                         void (*fill)(void *arg, GString *out), void *arg);

#endif
