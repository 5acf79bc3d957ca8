package org.mustardstage.entry.traffic;

import io.activej.promise.Promise;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.overload.RejectionReason;
import org.mustardstage.entry.control.Admission;
import org.mustardstage.entry.control.AdmissionDecision;
import org.mustardstage.entry.control.AdmissionRequest;
import org.mustardstage.entry.control.UseEnd;

/** Admits each request to the first endpoint that it does not avoid. */
final class FakeAdmission implements Admission {
  private final List<Endpoint> endpoints;
  private final AtomicLong nextUseId = new AtomicLong(1);
  private final List<UseEnd.Result> ends = new CopyOnWriteArrayList<>();
  private final List<AdmissionRequest> requests = new CopyOnWriteArrayList<>();
  private volatile long useLeadNanos;

  FakeAdmission(Endpoint... endpoints) {
    this.endpoints = List.of(endpoints);
  }

  /** Makes permits end this long before the deadline of their request. */
  void endPermitsEarly(long nanos) {
    useLeadNanos = nanos;
  }

  List<UseEnd.Result> ends() {
    return ends;
  }

  List<AdmissionRequest> requests() {
    return requests;
  }

  @Override
  public Promise<AdmissionDecision> admit(AdmissionRequest request) {
    requests.add(request);
    return Promise.of(decide(request));
  }

  @Override
  public void end(long useId, UseEnd end) {
    ends.add(end.result());
  }

  private AdmissionDecision decide(AdmissionRequest request) {
    return endpoints.stream()
        .filter(endpoint -> !request.avoid().contains(endpoint.id()))
        .findFirst()
        .<AdmissionDecision>map(endpoint -> admit(endpoint, request))
        .orElseGet(() -> new AdmissionDecision.Refused(RejectionReason.NO_ENDPOINT, 50));
  }

  private AdmissionDecision admit(Endpoint endpoint, AdmissionRequest request) {
    long untilNanos = request.deadlineNanos() - useLeadNanos;
    return new AdmissionDecision.Admitted(endpoint, nextUseId.getAndIncrement(), untilNanos);
  }
}
