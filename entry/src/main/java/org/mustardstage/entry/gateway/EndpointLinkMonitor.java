package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.ServiceSpec;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.placement.EndpointReachability;
import org.mustardstage.core.placement.LossReports;
import org.mustardstage.core.placement.ReachedEndpoints;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Notices when this VM is cut off from all endpoints, and when the cut ends. Sends health checks to
 * endpoints while it is uncertain, or cut off. Used on the traffic thread only.
 */
final class EndpointLinkMonitor {
  private static final long PROBE_CHECK_INTERVAL_MILLIS = 50;

  /** Leaves a health check the time to wait for a slot and to come from another region. */
  private static final long HEALTH_CHECK_TIMEOUT_MILLIS = 1_500;

  /** Old connections still work if a response arrived on one this recently. */
  private static final long LIVE_CONNECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private final NioReactor reactor;
  private final EndpointConnectionPool connections;
  private final HeaderNames headerNames;
  private final EndpointReachability reachability =
      new EndpointReachability(RandomGenerator.getDefault());
  private final ReachedEndpoints reached = new ReachedEndpoints();
  private final Set<Listener> listeners = new LinkedHashSet<>();
  private final LossReports<Runnable> lossReports = new LossReports<>(reachability);
  private BiConsumer<RegisteredEndpoint, Duration> coldnessListener =
      (endpoint, coldRemaining) -> {};
  private ImmutableMap<ServiceName, ServiceSpec> services = ImmutableMap.of();
  private long cutOffNanos;
  private long fewReachedNanos;
  private boolean reachedFew;
  private boolean probing;

  /** Hears of the cut. */
  interface Listener {
    /** Called when this VM is cut off from all endpoints. */
    void onCutOff();

    /** Called when the cut has ended. */
    default void onReachedAgain() {}
  }

  EndpointLinkMonitor(
      NioReactor reactor, EndpointConnectionPool connections, HeaderNames headerNames) {
    this.reactor = reactor;
    this.connections = connections;
    this.headerNames = headerNames;
  }

  void addListener(Listener listener) {
    listeners.add(listener);
  }

  void removeListener(Listener listener) {
    listeners.remove(listener);
  }

  /** Sets what is told how much longer an endpoint stays cold, by its response to a probe. */
  void setColdnessListener(BiConsumer<RegisteredEndpoint, Duration> listener) {
    coldnessListener = listener;
  }

  /** Replaces the declared services, which say how to check the health of their endpoints. */
  void setServices(ImmutableMap<ServiceName, ServiceSpec> declared) {
    services = declared;
  }

  /** Replaces the endpoints that are usable, by service. */
  void setEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {
    List<RegisteredEndpoint> endpoints =
        usable.values().stream().flatMap(List::stream).map(UsableEndpoint::endpoint).toList();
    update(
        () -> {
          reachability.setEndpoints(endpoints);
          reached.setEndpoints(endpoints);
        });
  }

  /** Returns whether some failures speak against the links of this VM. */
  boolean isSuspected() {
    return reachability.state() != EndpointReachability.State.REACHABLE;
  }

  boolean isCutOff() {
    return reachability.isCutOff();
  }

  /**
   * Returns whether connections that were opened before the cut still bring responses, or endpoints
   * answer again, but not for long enough to end the cut.
   */
  boolean hasLiveConnections() {
    long sinceNanos = System.nanoTime() - LIVE_CONNECTION_NANOS;
    return connections.lastResponseNanos() - sinceNanos > 0
        || reachability.hasAnsweredSince(sinceNanos);
  }

  /** Returns whether this VM reaches only a few endpoints. */
  boolean reachesFew() {
    return reached.reachesFew();
  }

  /**
   * Returns the endpoints that a request must not be sent to from here: those that are not reached,
   * and during a cut all to which no connection is open that the request may use.
   */
  ImmutableSet<EndpointId> unusableEndpoints(CallerRequest request) {
    if (!isCutOff()) {
      return reached.excluded();
    }
    return reached.endpoints().stream()
        .filter(endpoint -> !connections.hasIdle(endpoint.address(), request))
        .map(RegisteredEndpoint::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Records that an endpoint responded to a request that was sent at {@code sentNanos}, after it
   * had opened the connection if that is new. The response of an earlier incarnation, like all that
   * is recorded of it, counts for this VM's links only.
   */
  void recordResponse(RegisteredEndpoint endpoint, long sentNanos, boolean onNewConnection) {
    reached.recordAnswered(System.nanoTime(), endpoint);
    logReachedEndpoints();
    if (onNewConnection) {
      update(() -> reachability.recordAnswered(sentNanos));
    }
  }

  /**
   * Records that a connection was lost with a request on it. The endpoint may have ended, so only
   * probes tell whether it was this VM's link.
   */
  void recordLost(RegisteredEndpoint endpoint) {
    update(
        () -> {
          reachability.recordSuspicion(System.nanoTime());
          reached.recordSuspect(System.nanoTime(), endpoint);
        });
  }

  /** Records that a new connection, begun at {@code begunNanos}, could not be opened. */
  void recordConnectFailed(RegisteredEndpoint endpoint, long begunNanos) {
    update(
        () -> {
          reachability.recordFailed(begunNanos, endpoint);
          reached.recordUnreached(begunNanos, endpoint);
        });
  }

  /**
   * Runs {@code report} of an attempt that was lost at {@code lostNanos} when it is known that this
   * VM's links didn't cause the loss; never, if this VM turns out to be cut off.
   */
  void whenNotOwnLinks(long lostNanos, Runnable report) {
    lossReports.add(lostNanos, report);
    runDueReports();
  }

  /** Records that the response to a request that was sent at {@code sentNanos} is overdue. */
  void recordOverdue(RegisteredEndpoint endpoint, long sentNanos) {
    if (connections.lastResponseNanos(endpoint.address()) - sentNanos >= 0) {
      return;
    }
    boolean nothingResponds = connections.lastResponseNanos() - sentNanos < 0;
    update(
        () -> {
          reached.recordSuspect(System.nanoTime(), endpoint);
          if (nothingResponds) {
            reachability.recordSuspicion(System.nanoTime());
          }
        });
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
    logReachedEndpoints();
    runDueReports();
    startProbing();
  }

  /** Runs each report in a task of its own, as it is of another request than this is called for. */
  private void runDueReports() {
    lossReports.takeDue().forEach(reactor::postLast);
  }

  private void logReachedEndpoints() {
    if (reached.reachesFew() == reachedFew) {
      return;
    }
    reachedFew = reached.reachesFew();
    if (reachedFew) {
      fewReachedNanos = System.nanoTime();
      EventLog.log(Event.FEW_ENDPOINTS_REACHED, "unusedEndpoints", reached.excluded().size());
    } else {
      EventLog.log(
          Event.MOST_ENDPOINTS_REACHED, "fewReachedMillis", elapsedMillis(fewReachedNanos));
    }
  }

  /**
   * Tells the listeners later, as the change may come from one that is in between two states, and
   * each in a task of its own, as the others must hear of it whatever one of them does.
   */
  private void tellListeners(Consumer<Listener> event) {
    for (Listener listener : ImmutableList.copyOf(listeners)) {
      reactor.postLast(
          () -> {
            if (listeners.contains(listener)) {
              event.accept(listener);
            }
          });
    }
  }

  private static long elapsedMillis(long sinceNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
  }

  private boolean mustProbe() {
    return reachability.state() != EndpointReachability.State.REACHABLE || reached.mustProbe();
  }

  private void startProbing() {
    if (!probing && mustProbe()) {
      probing = true;
      probe();
    }
  }

  private void probe() {
    if (!mustProbe()) {
      probing = false;
      return;
    }
    // First, so that an error in a probe does not end probing.
    reactor.delayBackground(PROBE_CHECK_INTERVAL_MILLIS, this::probe);
    long nowNanos = System.nanoTime();
    reachability.takeProbes(nowNanos).forEach(this::probe);
    if (!isCutOff()) {
      reached.takeProbes(nowNanos).forEach(this::probe);
    }
  }

  private void probe(RegisteredEndpoint endpoint) {
    Optional.ofNullable(services.get(endpoint.service()))
        .map(service -> new HealthCheck(endpoint, service.healthPath(), headerNames))
        .ifPresent(this::send);
  }

  private void send(HealthCheck check) {
    RegisteredEndpoint endpoint = check.endpoint();
    long begunNanos = System.nanoTime();
    Optional<EndpointConnectionPool.Sent> sent =
        connections.sendHealthCheck(endpoint.address(), check.encode(HEALTH_CHECK_TIMEOUT_MILLIS));
    if (sent.isEmpty()) {
      return;
    }
    EndpointConnection connection = sent.get().connection();
    ScheduledRunnable timeout =
        reactor.delayBackground(
            HEALTH_CHECK_TIMEOUT_MILLIS,
            () -> {
              connection.close();
              onSilent(endpoint, begunNanos);
            });
    sent.get()
        .response()
        .whenResult(
            result -> {
              timeout.cancel();
              if (result.isLeft()) {
                recordConnectFailed(endpoint, begunNanos);
              } else {
                onChecked(check, connection, result.get(), begunNanos);
              }
            });
  }

  private void onChecked(
      HealthCheck check,
      EndpointConnection connection,
      EndpointResponse response,
      long begunNanos) {
    if (check.isAnsweredBy(response)) {
      connections.keepIdle(check.endpoint().address(), connection);
      recordResponse(check.endpoint(), begunNanos, /* onNewConnection= */ true);
      check
          .coldRemaining(response)
          .ifPresent(remaining -> coldnessListener.accept(check.endpoint(), remaining));
      return;
    }
    connection.close();
    if (!response.isMisdirected()) {
      recordConnectFailed(check.endpoint(), begunNanos);
    }
  }

  /** Endpoints may be busy, which requests on other connections show. */
  private void onSilent(RegisteredEndpoint endpoint, long begunNanos) {
    if (connections.lastResponseNanos() - begunNanos < 0) {
      recordConnectFailed(endpoint, begunNanos);
    } else if (connections.lastResponseNanos(endpoint.address()) - begunNanos < 0) {
      update(() -> reached.recordUnreached(begunNanos, endpoint));
    }
  }
}
