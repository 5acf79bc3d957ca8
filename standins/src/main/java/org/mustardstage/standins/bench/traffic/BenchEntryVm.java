package org.mustardstage.standins.bench.traffic;

import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.mustardstage.core.id.CallName;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Objective;
import org.mustardstage.core.manifest.Priority;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.entry.control.Admission;
import org.mustardstage.entry.control.AdmissionDecision;
import org.mustardstage.entry.control.AdmissionRequest;
import org.mustardstage.entry.control.AttemptReport;
import org.mustardstage.entry.control.Snapshot;
import org.mustardstage.entry.traffic.LookupHandler;
import org.mustardstage.entry.traffic.TrafficServer;
import org.mustardstage.entry.traffic.TrafficSettings;

/** The request path of an entry VM whose admission sends every request to the same endpoint. */
final class BenchEntryVm implements AutoCloseable {
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final String LOOKUP_HEAD =
      "{\"service\":\"desk\",\"version\":1,\"lifetimeMillis\":10000,\"keyPrefix\":\"";
  private static final String LOOKUP_TAIL =
      "\",\"entryVms\":[{\"vm\":\"vm-a\",\"address\":\"10.0.0.1:8080\",\"weight\":50},"
          + "{\"vm\":\"vm-b\",\"address\":\"10.0.0.2:8080\",\"weight\":50}]}";

  private final HostAndPort address;
  private final TrafficServer server;

  BenchEntryVm(HostAndPort address, Endpoint endpoint) throws IOException {
    this.address = address;
    Snapshot snapshot =
        new Snapshot(
            new VmIncarnation(new VmId("vm-a"), 1),
            new ZoneId("bench"),
            new RegionId("bench"),
            address,
            new ConfigVersion(1),
            Optional.of(manifest()),
            false);
    LookupHandler lookup =
        (service, callerAddress, prefix) ->
            Either.right((LOOKUP_HEAD + prefix + LOOKUP_TAIL).getBytes(StandardCharsets.UTF_8));
    server =
        new TrafficServer(
            TrafficSettings.defaults(address),
            () -> snapshot,
            new AdmitAll(endpoint),
            lookup,
            home -> Optional.empty());
    server.start();
  }

  HostAndPort address() {
    return address;
  }

  @Override
  public void close() {
    server.stop();
  }

  private static Manifest manifest() {
    Call read =
        new Call(new CallName("read"), "GET", "/", true, Priority.INTERACTIVE, TIMEOUT_MILLIS);
    Service desk =
        new Service(
            new ServiceName("desk"), Objective.LATENCY, List.of(read), List.of(), List.of());
    return new Manifest(
        "bench", 10_000, List.of(), List.of(), List.of(desk), List.of(), List.of(), List.of());
  }

  private static final class AdmitAll implements Admission {
    private final Endpoint endpoint;
    private final AtomicLong nextAttemptId = new AtomicLong(1);

    AdmitAll(Endpoint endpoint) {
      this.endpoint = endpoint;
    }

    @Override
    public Promise<AdmissionDecision> admit(AdmissionRequest request) {
      return Promise.of(
          new AdmissionDecision.Admitted(
              endpoint, nextAttemptId.getAndIncrement(), request.deadlineNanos()));
    }

    @Override
    public void reportResult(long attemptId, AttemptReport report) {}
  }
}
