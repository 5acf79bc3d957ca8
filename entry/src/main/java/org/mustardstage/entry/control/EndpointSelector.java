package org.mustardstage.entry.control;

import java.util.List;
import java.util.function.Predicate;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;

/** Selects endpoints for the requests of one service. Used on the control thread only. */
interface EndpointSelector {
  /** Applies the declaration of the service in the active manifest. */
  void updateService(long nowNanos, Manifest manifest, Service service);

  /** Updates which endpoints are draining and get no new requests. */
  void updateLeaving(long nowNanos, Predicate<EndpointId> isLeaving);

  /** Records the first attempt of a request; regions are limited to a share of first attempts. */
  void recordFirstAttempt();

  /**
   * Returns the endpoints to which {@code request} may be sent, in order of preference.
   *
   * @param expectedWaitNanos the expected wait for an endpoint in this entry VM's region
   */
  List<Endpoint> findCandidates(long nowNanos, AdmissionRequest request, long expectedWaitNanos);

  /** Records an attempt that is sent to {@code endpoint}. */
  void recordSent(long nowNanos, EndpointId endpoint);

  /** Records the result of an attempt at {@code endpoint}. */
  void recordResult(long nowNanos, EndpointId endpoint, AttemptReport report);
}
