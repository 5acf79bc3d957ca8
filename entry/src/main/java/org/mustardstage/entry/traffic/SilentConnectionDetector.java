package org.mustardstage.entry.traffic;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.manifest.Endpoint;

/**
 * Detects connections to an endpoint that are still open but on which no data arrives any more,
 * while new connections to the same endpoint work.
 *
 * <p>Each endpoint in use has a probe connection: an otherwise idle connection that is probed
 * periodically. The older connections to an endpoint count as silent when a response is overdue, no
 * older connection has received data since the request was sent, the probe connection does not
 * respond, and a new connection does. They are then closed and the attempts on them are cancelled.
 * If the probe connection responds, the request is only slow and keeps waiting.
 */
final class SilentConnectionDetector {
  private static final int SWEEPS_PER_TIMEOUT = 5;

  private final TrafficThread thread;
  private final long silenceTimeoutNanos;
  private final Set<EndpointAttempt> waitingAttempts = new LinkedHashSet<>();
  private final Map<Endpoint, EndpointProber> probers = new HashMap<>();

  SilentConnectionDetector(TrafficThread thread) {
    this.thread = thread;
    this.silenceTimeoutNanos =
        TimeUnit.MILLISECONDS.toNanos(thread.limits().silenceTimeoutMillis());
  }

  /** Starts the periodic checks. */
  void start() {
    long periodMillis = Math.max(1, thread.limits().silenceTimeoutMillis() / SWEEPS_PER_TIMEOUT);
    thread.runPeriodically(periodMillis, this::sweep);
  }

  /** Closes the probe connections. */
  void close() {
    probers.values().forEach(EndpointProber::close);
    probers.clear();
  }

  /** Watches an attempt until {@link #unwatch} is called, and probes its endpoint from now on. */
  void watch(EndpointAttempt attempt) {
    waitingAttempts.add(attempt);
    probers.computeIfAbsent(attempt.endpoint(), EndpointProber::new);
  }

  /** Stops watching an attempt. */
  void unwatch(EndpointAttempt attempt) {
    waitingAttempts.remove(attempt);
  }

  private void sweep() {
    long nowNanos = System.nanoTime();
    for (EndpointAttempt slow : slowAttempts(nowNanos)) {
      EndpointProber prober = probers.get(slow.endpoint());
      boolean olderConnectionResponded =
          slow.pool()
              .hasOlderConnectionReadSince(slow.connection().createdNanos(), slow.startNanos());
      if (prober != null && !olderConnectionResponded) {
        prober.startProbe();
      }
    }
    probers.values().removeIf(prober -> prober.closeIfUnused(nowNanos));
    probers.values().forEach(prober -> prober.probeIfDue(nowNanos));
  }

  private List<EndpointAttempt> slowAttempts(long nowNanos) {
    List<EndpointAttempt> slow = new ArrayList<>();
    for (EndpointAttempt attempt : waitingAttempts) {
      if (nowNanos - attempt.startNanos() < silenceTimeoutNanos) {
        break;
      }
      slow.add(attempt);
    }
    return slow;
  }

  /**
   * Closes the silent connections to an endpoint and cancels the slow attempts on them. Connections
   * that were opened after the longest waiting attempt was sent are kept, because they were opened
   * after the silence began.
   */
  private void closeSilentConnections(Endpoint endpoint) {
    List<EndpointAttempt> slow =
        slowAttempts(System.nanoTime()).stream()
            .filter(t -> t.endpoint().equals(endpoint))
            .toList();
    if (slow.isEmpty()) {
      return;
    }
    EndpointAttempt longestWaiting = slow.get(0);
    long connectionCreatedNanos = longestWaiting.connection().createdNanos();
    long attemptStartNanos = longestWaiting.startNanos();
    long silentUntilNanos =
        connectionCreatedNanos - attemptStartNanos > 0 ? connectionCreatedNanos : attemptStartNanos;
    thread.poolFor(endpoint).closeIdleCreatedBefore(silentUntilNanos);
    slow.stream()
        .filter(t -> t.connection().createdNanos() - silentUntilNanos <= 0)
        .toList()
        .forEach(EndpointAttempt::onConnectionSilent);
  }

  /** Probes one endpoint to tell silent connections from slow requests. */
  private final class EndpointProber {
    private final Endpoint endpoint;
    private EndpointConnection connection;
    private boolean probing;
    private long lastProbeNanos = System.nanoTime() - silenceTimeoutNanos;

    EndpointProber(Endpoint endpoint) {
      this.endpoint = endpoint;
      this.connection = thread.poolFor(endpoint).createUnpooled();
    }

    /**
     * Probes if the last read is older than the probe interval, so that a connection that the
     * endpoint dropped as idle is not mistaken for a silent one.
     */
    void probeIfDue(long nowNanos) {
      long ageNanos = nowNanos - connection.lastReadNanos();
      if (!connection.isIdle() || ageNanos > probeIntervalNanos()) {
        startProbe();
      }
    }

    /** Probes the probe connection and, if it does not respond, a new connection. */
    void startProbe() {
      long nowNanos = System.nanoTime();
      if (probing || nowNanos - lastProbeNanos < silenceTimeoutNanos) {
        return;
      }
      probing = true;
      lastProbeNanos = nowNanos;
      if (!connection.isIdle()) {
        replaceConnection(thread.poolFor(endpoint).createUnpooled());
      }
      long probeStartNanos = System.nanoTime();
      probe(connection).whenResult(result -> onProbeResult(result, probeStartNanos));
    }

    private void onProbeResult(ProbeResult result, long probeStartNanos) {
      boolean existedBeforeProbe = connection.createdNanos() - probeStartNanos < 0;
      if (result != ProbeResult.SILENT || !existedBeforeProbe) {
        probing = false;
        return;
      }
      EndpointConnection newConnection = thread.poolFor(endpoint).createUnpooled();
      probe(newConnection)
          .whenResult(
              newResult -> onNewConnectionProbeResult(newConnection, newResult, probeStartNanos));
    }

    private void onNewConnectionProbeResult(
        EndpointConnection newConnection, ProbeResult result, long probeStartNanos) {
      probing = false;
      long replacedCreatedNanos = connection.createdNanos();
      replaceConnection(newConnection);
      boolean olderConnectionResponded =
          thread
              .poolFor(endpoint)
              .hasOlderConnectionReadSince(replacedCreatedNanos, probeStartNanos);
      if (result == ProbeResult.ANSWERED && !olderConnectionResponded) {
        closeSilentConnections(endpoint);
      }
    }

    boolean closeIfUnused(long nowNanos) {
      if (probing || thread.poolFor(endpoint).acquiredSince(nowNanos - probeIntervalNanos())) {
        return false;
      }
      connection.close();
      return true;
    }

    void close() {
      connection.close();
    }

    private Promise<ProbeResult> probe(EndpointConnection probedConnection) {
      return thread.controlClient().probe(probedConnection, endpoint);
    }

    private long probeIntervalNanos() {
      return TimeUnit.MILLISECONDS.toNanos(thread.limits().probeIntervalMillis());
    }

    private void replaceConnection(EndpointConnection replacement) {
      connection.close();
      connection = replacement;
    }
  }
}
