package org.mustardstage.entry.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.tenant.Tenant;
import org.mustardstage.entry.http.MalformedResponses;
import org.mustardstage.entry.http.MalformedResponses.Peers;

/**
 * Counts requests by rule, tenant and outcome, measures their duration, and shows the state of
 * services. Safe on any thread.
 */
final class GatewayMetrics {
  /** Tenants beyond these are counted together. */
  private static final int MAX_TENANTS = 200;

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

  private final Counter tenantRequests =
      Counter.builder()
          .name("mustardstage_tenant_requests")
          .help("Requests of a tenant that have their answer, with the reason if none ran.")
          .labelNames("tenant", "end", "reason")
          .register(registry);
  private final Counter rejected =
      Counter.builder()
          .name("mustardstage_rejected_requests")
          .help("Requests that were rejected by their head, before they had a tenant.")
          .labelNames("reason")
          .register(registry);
  private final Gauge queued =
      Gauge.builder()
          .name("mustardstage_queued_requests")
          .help("Requests that wait for an endpoint.")
          .labelNames("service")
          .register(registry);
  private final Gauge endpoints =
      Gauge.builder()
          .name("mustardstage_endpoints")
          .help("Endpoints that may get new requests.")
          .labelNames("service", "state")
          .register(registry);
  private final Counter hedges =
      Counter.builder()
          .name("mustardstage_hedges")
          .help("Hedges, by whether they responded before the first attempt.")
          .labelNames("service", "end")
          .register(registry);
  private final TenantLabels tenantLabels = new TenantLabels(MAX_TENANTS);

  GatewayMetrics() {
    countByPeers(
        "mustardstage_malformed_responses",
        "Responses given up as they were malformed or too large, by who sent them.",
        MalformedResponses::count);
    countByPeers(
        "mustardstage_extra_responses",
        "Connections on which something arrived that no request awaited, by who sent it.",
        MalformedResponses::extraCount);
  }

  private void countByPeers(String name, String help, ToLongFunction<Peers> count) {
    CounterWithCallback.builder()
        .name(name)
        .help(help)
        .labelNames("peers")
        .callback(
            callback -> {
              for (Peers peers : Peers.values()) {
                callback.call((double) count.applyAsLong(peers), peers.label());
              }
            })
        .register(registry);
  }

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

  /** Records that a request had a hedge, and whether that responded first. */
  void recordHedge(ServiceName service, boolean won) {
    hedges.labelValues(service.value(), won ? "won" : "lost").inc();
  }

  /** Records that a request was rejected by its head. */
  void recordRejected(RequestReader.Problem problem) {
    rejected.labelValues(problem.name()).inc();
  }

  /** Replaces what is known of the services. */
  void setServices(List<ServiceState> services) {
    queued.clear();
    endpoints.clear();
    for (ServiceState service : services) {
      String name = service.service().value();
      queued.labelValues(name).set(service.queuedRequests());
      endpoints.labelValues(name, "warm").set(service.warmEndpoints());
      endpoints.labelValues(name, "cold").set(service.coldEndpoints());
    }
  }

  /**
   * The state of a service at this VM.
   *
   * @param queuedRequests the requests that wait here for an endpoint
   * @param warmEndpoints the endpoints that may get requests and have long started
   * @param coldEndpoints the endpoints that may get requests and have just started
   */
  record ServiceState(
      ServiceName service, int queuedRequests, int warmEndpoints, int coldEndpoints) {}

  /** Records the outcome and the duration of a request. */
  void recordOutcome(
      RoutingRule rule, Optional<Tenant> tenant, RequestOutcome outcome, long durationNanos) {
    if (tenant.isPresent()) {
      tenantRequests
          .labelValues(tenantLabels.labelOf(tenant), labelOf(outcome), reasonOf(outcome))
          .inc();
    }
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

  private static String reasonOf(RequestOutcome outcome) {
    return switch (outcome) {
      case RequestOutcome.NotRun notRun -> notRun.reason();
      case RequestOutcome.Unknown unknown -> unknown.cause().name();
      case RequestOutcome.Responded responded -> "";
      case RequestOutcome.CallerDisconnected disconnected -> "";
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
