package org.mustardstage.entry.control;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.util.List;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.permit.PermitStatus;
import org.mustardstage.entry.http.MalformedResponses;
import org.mustardstage.entry.http.MalformedResponses.Peers;
import org.mustardstage.entry.peer.LinkStats;

/** Exports the state of the control thread in the Prometheus text format. */
final class ControlMetrics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final ControlThread control;
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

  ControlMetrics(ControlThread control) {
    this.control = control;
    registry.register(this::collect);
  }

  byte[] write() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      writer.write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("failed to write the metrics to an in-memory buffer", e);
    }
    return out.toByteArray();
  }

  private MetricSnapshots collect() {
    return new MetricSnapshots(snapshots());
  }

  private List<MetricSnapshot> snapshots() {
    PermitStatus permits = control.permits().status();
    LinkStats links = control.linkStats();
    long alive = control.memberView().statuses().stream().filter(MemberStatus::isAlive).count();
    return List.of(
        gauge("mustardstage_config_version", "Version of the manifest in force.", version()),
        gauge("mustardstage_members_alive", "Entry VMs believed alive.", alive),
        gauge("mustardstage_links", "Open connections to other entry VMs.", control.linkCount()),
        gauge("mustardstage_permits_owned", "Permits owned here.", permits.permitsOwned()),
        gauge("mustardstage_permits_in_use", "Permits in use here.", permits.permitsInUse()),
        gauge("mustardstage_permits_idle", "Permits at hand and idle.", permits.permitsIdle()),
        gauge(
            "mustardstage_requests_waiting",
            "Requests waiting for a permit.",
            control.admissionController().queuedByService().values().stream()
                .mapToInt(size -> size)
                .sum()),
        gauge(
            "mustardstage_requests_in_flight",
            "Requests sent to endpoints and not ended.",
            control.admissionController().requestsInFlight()),
        counter("mustardstage_control_sent_bytes", "Bytes sent to VMs.", links.sentBytes()),
        counter(
            "mustardstage_control_sent_messages", "Messages sent to VMs.", links.sentMessages()),
        counter(
            "mustardstage_control_received_bytes",
            "Bytes received from VMs.",
            links.receivedBytes()),
        counter(
            "mustardstage_control_received_messages",
            "Messages received from VMs.",
            links.receivedMessages()),
        counter(
            "mustardstage_control_cpu_seconds",
            "Processor time of the control thread.",
            control.threadCpuNanos() / NANOS_PER_SECOND),
        malformedResponses(),
        gauge(
            "mustardstage_heap_used_bytes",
            "Heap in use.",
            ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()));
  }

  private static CounterSnapshot malformedResponses() {
    CounterSnapshot.Builder builder =
        CounterSnapshot.builder()
            .name("mustardstage_malformed_responses")
            .help("Responses given up as they were malformed or too large, by who sent them.");
    for (Peers peers : Peers.values()) {
      builder.dataPoint(
          CounterSnapshot.CounterDataPointSnapshot.builder()
              .labels(Labels.of("peers", peers.label()))
              .value((double) MalformedResponses.count(peers))
              .build());
    }
    return builder.build();
  }

  private long version() {
    return control.snapshot().version().number();
  }

  private static GaugeSnapshot gauge(String name, String help, long value) {
    return GaugeSnapshot.builder()
        .name(name)
        .help(help)
        .dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().value((double) value).build())
        .build();
  }

  private static CounterSnapshot counter(String name, String help, long value) {
    return counter(name, help, (double) value);
  }

  private static CounterSnapshot counter(String name, String help, double value) {
    return CounterSnapshot.builder()
        .name(name)
        .help(help)
        .dataPoint(CounterSnapshot.CounterDataPointSnapshot.builder().value(value).build())
        .build();
  }
}
