package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.activej.reactor.nio.NioReactor;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.placement.EndpointReachability;
import org.mustardstage.core.placement.LossReports;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Notices when this VM is cut off from all endpoints, and when the cut ends. Opens connections to
 * endpoints while it is uncertain, or cut off. Used on the traffic thread only.
 */
final class EndpointLinkMonitor {
  private static final long PROBE_CHECK_INTERVAL_MILLIS = 50;

  /** By then, a connection that is reset as soon as it is open is closed. */
  private static final long PROBE_HOLD_MILLIS = 50;

  /** Old connections still work if a response arrived on one this recently. */
  private static final long LIVE_CONNECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private final NioReactor reactor;
  private final EndpointConnectionPool connections;
  private final EndpointReachability reachability = new EndpointReachability();
  private final Set<Listener> listeners = new LinkedHashSet<>();
  private final LossReports<Runnable> lossReports = new LossReports<>(reachability);
  private long cutOffNanos;
  private boolean probing;

  /** Hears of the cut. */
  interface Listener {
    /** Called when this VM is cut off from all endpoints. */
    void onCutOff();

    /** Called when the cut has ended. */
    default void onReachedAgain() {}
  }

  EndpointLinkMonitor(NioReactor reactor, EndpointConnectionPool connections) {
    this.reactor = reactor;
    this.connections = connections;
  }

  void addListener(Listener listener) {
    listeners.add(listener);
  }

  void removeListener(Listener listener) {
    listeners.remove(listener);
  }

  /** Replaces the endpoints that are usable, by service. */
  void setEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {
    update(
        () ->
            reachability.setEndpoints(
                usable.values().stream()
                    .flatMap(List::stream)
                    .map(UsableEndpoint::endpoint)
                    .toList()));
  }

  /** Returns whether some failures speak against the links of this VM. */
  boolean isSuspected() {
    return reachability.state() != EndpointReachability.State.REACHABLE;
  }

  boolean isCutOff() {
    return reachability.isCutOff();
  }

  /** Returns whether connections that were opened before the cut still bring responses. */
  boolean hasLiveConnections() {
    return System.nanoTime() - connections.lastResponseNanos() < LIVE_CONNECTION_NANOS;
  }

  /** Records that an endpoint responded on a new connection, begun at {@code begunNanos}. */
  void recordConnected(long begunNanos) {
    update(() -> reachability.recordConnected(begunNanos));
  }

  /**
   * Records that a connection was lost with a request on it. The endpoint may have ended, so only
   * probes tell whether it was this VM's link.
   */
  void recordLost() {
    update(() -> reachability.recordSuspicion(System.nanoTime()));
  }

  /** Records that a new connection, begun at {@code begunNanos}, could not be opened. */
  void recordConnectFailed(RegisteredEndpoint endpoint, long begunNanos) {
    update(() -> reachability.recordConnectFailed(begunNanos, endpoint.id()));
  }

  /**
   * Runs {@code report} of an attempt that was lost at {@code lostNanos} when it is known that this
   * VM's links didn't cause the loss; never, if this VM turns out to be cut off.
   */
  void whenNotOwnLinks(long lostNanos, Runnable report) {
    lossReports.add(lostNanos, report);
    lossReports.takeDue().forEach(Runnable::run);
  }

  /** Records that the response to a request that was sent at {@code sentNanos} is overdue. */
  void recordOverdue(long sentNanos) {
    if (connections.lastResponseNanos() - sentNanos < 0) {
      update(() -> reachability.recordSuspicion(System.nanoTime()));
    }
  }

  private void update(Runnable change) {
    boolean wasCutOff = reachability.isCutOff();
    change.run();
    boolean isCutOff = reachability.isCutOff();
    if (isCutOff && !wasCutOff) {
      cutOffNanos = System.nanoTime();
      EventLog.log(
          Event.ENDPOINTS_CUT_OFF,
          "triedEndpoints",
          reachability.failedEndpoints(),
          "lastResponseMillisAgo",
          elapsedMillis(connections.lastResponseNanos()),
          "unreportedLosses",
          lossReports.drop());
      tellListeners(Listener::onCutOff);
    }
    if (!isCutOff && wasCutOff) {
      EventLog.log(Event.ENDPOINTS_REACHED_AGAIN, "cutOffMillis", elapsedMillis(cutOffNanos));
      connections.closeAllIdle();
      tellListeners(Listener::onReachedAgain);
    }
    lossReports.takeDue().forEach(Runnable::run);
    startProbing();
  }

  /** Tells the listeners later, as the change may come from one that is in between two states. */
  private void tellListeners(Consumer<Listener> event) {
    reactor.post(() -> ImmutableList.copyOf(listeners).forEach(event));
  }

  private static long elapsedMillis(long sinceNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
  }

  private void startProbing() {
    if (!probing && reachability.state() != EndpointReachability.State.REACHABLE) {
      probing = true;
      probe();
    }
  }

  private void probe() {
    if (reachability.state() == EndpointReachability.State.REACHABLE) {
      probing = false;
      return;
    }
    reachability.takeProbes(System.nanoTime()).forEach(this::probe);
    reactor.delayBackground(PROBE_CHECK_INTERVAL_MILLIS, this::probe);
  }

  private void probe(RegisteredEndpoint endpoint) {
    long begunNanos = System.nanoTime();
    connections
        .openIdle(endpoint.address(), PROBE_HOLD_MILLIS)
        .whenResult(
            open -> {
              if (open) {
                recordConnected(begunNanos);
              } else {
                recordConnectFailed(endpoint, begunNanos);
              }
            });
  }
}
