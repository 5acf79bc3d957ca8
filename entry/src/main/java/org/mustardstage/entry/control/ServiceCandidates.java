package org.mustardstage.entry.control;

import java.util.List;
import java.util.function.Predicate;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;

/** Chooses endpoints of one service. Used on the control thread only. */
interface ServiceCandidates {
  /** Takes over the service as the manifest in force declares it. */
  void onService(long nowNanos, Manifest manifest, Service service);

  /** Takes over which endpoints get no new work. */
  void onLeaving(long nowNanos, Predicate<EndpointId> isLeaving);

  /** Counts the first attempt of a request. */
  void onArrival();

  /**
   * Returns the endpoints that may take {@code request}, the preferred one first.
   *
   * @param expectedWaitNanos how long it is expected to wait for an endpoint of the own region
   */
  List<Endpoint> find(long nowNanos, AdmissionRequest request, long expectedWaitNanos);

  /** Notes that a request is sent to {@code endpoint}. */
  void onSent(long nowNanos, EndpointId endpoint);

  /** Notes how a request ended. */
  void onEnd(long nowNanos, EndpointId endpoint, AttemptReport end);
}
