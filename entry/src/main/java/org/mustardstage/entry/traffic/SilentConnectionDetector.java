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
 * Detects open connections to an endpoint that went silent while new ones work.
 *
 * <p>Each endpoint in use has a witness: an idle connection that answers a probe now and then. When
 * an answer stays out, no older connection has answered since, the witness does not answer, and a
 * new connection does, then the older connections are silent: they are closed, and what they
 * carried is given up. A witness that answers shows that the request is only slow.
 */
final class SilentConnectionDetector {
  private static final int SWEEPS_PER_TIMEOUT = 5;

  private final TrafficThread thread;
  private final long silenceTimeoutNanos;
  private final Set<EndpointAttempt> waitingAttempts = new LinkedHashSet<>();
  private final Map<Endpoint, EndpointProber> probers = new HashMap<>();

  SilentConnectionDetector(TrafficThread thread) {
    this.thread = thread;
    this.silenceTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(thread.limits().silenceTimeoutMillis());
  }

  /** Starts the periodic checks. */
  void start() {
    long periodMillis = Math.max(1, thread.limits().silenceTimeoutMillis() / SWEEPS_PER_TIMEOUT);
    thread.runPeriodically(periodMillis, this::sweep);
  }

  /** Closes the witnesses. */
  void close() {
    probers.values().forEach(EndpointProber::close);
    probers.clear();
  }

  /** Watches a try until its answer begins. */
  void watch(EndpointAttempt waitingTry) {
    waitingAttempts.add(waitingTry);
    probers.computeIfAbsent(waitingTry.endpoint(), EndpointProber::new);
  }

  /** Stops watching a try. */
  void unwatch(EndpointAttempt ended) {
    waitingAttempts.remove(ended);
  }

  private void sweep() {
    long nowNanos = System.nanoTime();
    for (EndpointAttempt slow : slowAttempts(nowNanos)) {
      EndpointProber witness = probers.get(slow.endpoint());
      boolean olderAnswered =
          slow.pool()
              .hasOlderConnectionReadSince(slow.connection().createdNanos(), slow.startNanos());
      if (witness != null && !olderAnswered) {
        witness.startProbe();
      }
    }
    probers.values().removeIf(witness -> witness.closeIfUnused(nowNanos));
    probers.values().forEach(witness -> witness.probeIfDue(nowNanos));
  }

  private List<EndpointAttempt> slowAttempts(long nowNanos) {
    List<EndpointAttempt> slow = new ArrayList<>();
    for (EndpointAttempt waitingTry : waitingAttempts) {
      if (nowNanos - waitingTry.startNanos() < silenceTimeoutNanos) {
        break;
      }
      slow.add(waitingTry);
    }
    return slow;
  }

  /**
   * Gives up what waits on silent connections. Connections made after the longest waiting request
   * was sent are spared: they were made since the silence began.
   */
  private void closeSilentConnections(Endpoint endpoint) {
    List<EndpointAttempt> slow =
        slowAttempts(System.nanoTime()).stream().filter(t -> t.endpoint().equals(endpoint)).toList();
    if (slow.isEmpty()) {
      return;
    }
    EndpointAttempt longest = slow.get(0);
    long madeNanos = longest.connection().createdNanos();
    long sentNanos = longest.startNanos();
    long silentUntilNanos = madeNanos - sentNanos > 0 ? madeNanos : sentNanos;
    thread.poolFor(endpoint).closeIdleCreatedBefore(silentUntilNanos);
    slow.stream()
        .filter(t -> t.connection().createdNanos() - silentUntilNanos <= 0)
        .toList()
        .forEach(EndpointAttempt::onConnectionSilent);
  }

  /** The connection to one endpoint that tells a silent path from a slow request. */
  private final class EndpointProber {
    private final Endpoint endpoint;
    private EndpointConnection connection;
    private boolean probing;
    private long lastProbeNanos = System.nanoTime() - silenceTimeoutNanos;

    EndpointProber(Endpoint endpoint) {
      this.endpoint = endpoint;
      this.connection = thread.poolFor(endpoint).createUnpooled();
    }

    /** Keeps the witness recently proven, so that an idle timeout is not taken for silence. */
    void probeIfDue(long nowNanos) {
      long ageNanos = nowNanos - connection.lastReadNanos();
      if (!connection.isIdle() || ageNanos > probeIntervalNanos()) {
        startProbe();
      }
    }

    /** Asks the witness, and when it is silent, whether a new connection works. */
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
      long askedNanos = System.nanoTime();
      probe(connection).whenResult(result -> onProbeResult(result, askedNanos));
    }

    private void onProbeResult(ProbeResult result, long askedNanos) {
      boolean wasMadeBefore = connection.createdNanos() - askedNanos < 0;
      if (result != ProbeResult.SILENT || !wasMadeBefore) {
        probing = false;
        return;
      }
      EndpointConnection fresh = thread.poolFor(endpoint).createUnpooled();
      probe(fresh).whenResult(freshResult -> onNewConnectionProbeResult(fresh, freshResult, askedNanos));
    }

    private void onNewConnectionProbeResult(EndpointConnection fresh, ProbeResult result, long askedNanos) {
      probing = false;
      long witnessNanos = connection.createdNanos();
      replaceConnection(fresh);
      boolean olderAnswered =
          thread.poolFor(endpoint).hasOlderConnectionReadSince(witnessNanos, askedNanos);
      if (result == ProbeResult.ANSWERED && !olderAnswered) {
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

    private Promise<ProbeResult> probe(EndpointConnection asked) {
      return thread.controlClient().probe(asked, endpoint);
    }

    private long probeIntervalNanos() {
      return TimeUnit.MILLISECONDS.toNanos(thread.limits().probeIntervalMillis());
    }

    private void replaceConnection(EndpointConnection other) {
      connection.close();
      connection = other;
    }
  }
}
