package org.mustardstage.entry.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.mustardstage.core.gateway.RoutingRule;

/** Counts requests by rule and end, and how long they took. Safe on any thread. */
final class GatewayMetrics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      Counter.builder()
          .name("mustardstage_requests")
          .help("Requests that have their answer.")
          .labelNames("rule", "end")
          .register(registry);
  private final Histogram seconds =
      Histogram.builder()
          .name("mustardstage_request_seconds")
          .help("Time from the arrival of a request to its answer.")
          .labelNames("rule")
          .classicOnly()
          .classicUpperBounds(0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8)
          .register(registry);

  /** Counts a request that has its answer. */
  void ended(RoutingRule rule, ExchangeEnd end, long tookNanos) {
    requests.labelValues(rule.name(), nameOf(end)).inc();
    seconds.labelValues(rule.name()).observe(tookNanos / NANOS_PER_SECOND);
  }

  private static String nameOf(ExchangeEnd end) {
    return switch (end) {
      case ExchangeEnd.Answered answered -> "answered_" + answered.reply().status() / 100 + "xx";
      case ExchangeEnd.NotRun notRun -> "not_run";
      case ExchangeEnd.Unknown unknown -> "unknown";
      case ExchangeEnd.CallerLeft left -> "caller_left";
    };
  }

  /** Returns all counters and histograms in the text format of Prometheus. */
  byte[] text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
    return out.toByteArray();
  }
}
