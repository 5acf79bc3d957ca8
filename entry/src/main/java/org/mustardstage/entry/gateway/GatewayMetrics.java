package org.mustardstage.entry.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.LongSupplier;
import org.mustardstage.core.gateway.RoutingRule;

/** Counts requests by rule and outcome, and measures their duration. Safe on any thread. */
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

  private final Counter largeRequestsRefused =
      Counter.builder()
          .name("mustardstage_large_requests_refused")
          .help("Requests refused as there was no room for their large responses.")
          .labelNames("rule")
          .register(registry);

  /**
   * Exposes the memory of large responses. The values are read on the thread that scrapes, which is
   * the traffic thread that writes them.
   */
  void measureLargeResponses(LongSupplier heldBytes, LongSupplier reservedBytes) {
    gauge("mustardstage_large_response_held_bytes", "Large responses held.", heldBytes);
    gauge("mustardstage_large_response_reserved_bytes", "Room for large responses.", reservedBytes);
  }

  private void gauge(String name, String help, LongSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call((double) value.getAsLong()))
        .register(registry);
  }

  /** Records a request that was refused as there was no room for its response. */
  void recordLargeRequestRefused(RoutingRule rule) {
    largeRequestsRefused.labelValues(rule.name()).inc();
  }

  /** Records the outcome and the duration of a request. */
  void recordOutcome(RoutingRule rule, RequestOutcome outcome, long durationNanos) {
    requests.labelValues(rule.name(), labelOf(outcome)).inc();
    seconds.labelValues(rule.name()).observe(durationNanos / NANOS_PER_SECOND);
  }

  private static String labelOf(RequestOutcome outcome) {
    return switch (outcome) {
      case RequestOutcome.Responded responded ->
          "answered_" + responded.response().status() / 100 + "xx";
      case RequestOutcome.NotRun notRun -> "not_run";
      case RequestOutcome.Unknown unknown -> "unknown";
      case RequestOutcome.CallerDisconnected disconnected -> "caller_left";
    };
  }

  /** Returns all metrics in the Prometheus text format. */
  byte[] scrape() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("writing metrics to a byte array failed", e);
    }
    return out.toByteArray();
  }
}
