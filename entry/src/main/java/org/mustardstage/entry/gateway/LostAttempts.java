package org.mustardstage.entry.gateway;

import io.activej.reactor.nio.NioReactor;
import java.util.function.Supplier;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.placement.EndpointIncarnation;
import org.mustardstage.core.placement.LostAttempt;
import org.mustardstage.core.placement.RequestFingerprint;

/** The attempts of one request that ended without a response. Used on the traffic thread only. */
final class LostAttempts {
  /** By then, all connections to a process that has ended are closed. */
  private static final long END_DETECTION_MILLIS = 400;

  private final NioReactor reactor;
  private final EndpointConnectionPool connections;
  private final EndpointLinkMonitor linkMonitor;
  private final CrashGuard crashGuard;
  private final Supplier<RequestFingerprint> fingerprint;
  private int count;
  private boolean survived;

  LostAttempts(
      NioReactor reactor,
      EndpointConnectionPool connections,
      EndpointLinkMonitor linkMonitor,
      CrashGuard crashGuard,
      Supplier<RequestFingerprint> fingerprint) {
    this.reactor = reactor;
    this.connections = connections;
    this.linkMonitor = linkMonitor;
    this.crashGuard = crashGuard;
    this.fingerprint = fingerprint;
  }

  /** Returns how many attempts were lost. */
  int count() {
    return count;
  }

  /** Records a lost attempt, and reports it if the endpoint turns out to have ended. */
  void record(RegisteredEndpoint endpoint) {
    count++;
    long lostNanos = System.nanoTime();
    linkMonitor.recordLost(endpoint);
    reactor.delayBackground(END_DETECTION_MILLIS, () -> reportIfEnded(endpoint, lostNanos));
  }

  /**
   * Reports the attempt unless a connection outlived it, or all connections of this VM may have
   * been lost with it: the report blocks requests at all VMs.
   */
  private void reportIfEnded(RegisteredEndpoint endpoint, long lostNanos) {
    if (!survived && !connections.hasConnectionSince(endpoint.address(), lostNanos)) {
      linkMonitor.whenNotOwnLinks(lostNanos, () -> report(endpoint));
    }
  }

  private void report(RegisteredEndpoint endpoint) {
    if (!survived) {
      crashGuard.reportLost(new LostAttempt(fingerprint.get(), EndpointIncarnation.of(endpoint)));
    }
  }

  /** Records that an endpoint has run the request and responded. */
  void recordResponse() {
    if (count > 0) {
      survived = true;
      crashGuard.reportSurvived(fingerprint.get());
    }
  }
}
