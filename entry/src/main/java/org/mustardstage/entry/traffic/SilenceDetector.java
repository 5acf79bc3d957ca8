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
final class SilenceDetector {
  private static final int SWEEPS_PER_BOUND = 5;

  private final TrafficThread thread;
  private final long silentAfterNanos;
  private final Set<EndpointTry> waiting = new LinkedHashSet<>();
  private final Map<Endpoint, Witness> witnesses = new HashMap<>();

  SilenceDetector(TrafficThread thread) {
    this.thread = thread;
    this.silentAfterNanos = TimeUnit.MILLISECONDS.toNanos(thread.limits().silentAfterMillis());
  }

  /** Starts the periodic checks. */
  void start() {
    long periodMillis = Math.max(1, thread.limits().silentAfterMillis() / SWEEPS_PER_BOUND);
    thread.every(periodMillis, this::sweep);
  }

  /** Closes the witnesses. */
  void close() {
    witnesses.values().forEach(Witness::close);
    witnesses.clear();
  }

  /** Watches a try until its answer begins. */
  void watch(EndpointTry waitingTry) {
    waiting.add(waitingTry);
    witnesses.computeIfAbsent(waitingTry.endpoint(), Witness::new);
  }

  /** Stops watching a try. */
  void forget(EndpointTry ended) {
    waiting.remove(ended);
  }

  private void sweep() {
    long nowNanos = System.nanoTime();
    for (EndpointTry slow : slowTries(nowNanos)) {
      Witness witness = witnesses.get(slow.endpoint());
      boolean olderAnswered =
          slow.connections()
              .anOlderOneAnswered(slow.connection().createdNanos(), slow.startedNanos());
      if (witness != null && !olderAnswered) {
        witness.prove();
      }
    }
    witnesses.values().removeIf(witness -> witness.dropWhenUnused(nowNanos));
    witnesses.values().forEach(witness -> witness.refresh(nowNanos));
  }

  private List<EndpointTry> slowTries(long nowNanos) {
    List<EndpointTry> slow = new ArrayList<>();
    for (EndpointTry waitingTry : waiting) {
      if (nowNanos - waitingTry.startedNanos() < silentAfterNanos) {
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
  private void closeSilent(Endpoint endpoint) {
    List<EndpointTry> slow =
        slowTries(System.nanoTime()).stream().filter(t -> t.endpoint().equals(endpoint)).toList();
    if (slow.isEmpty()) {
      return;
    }
    EndpointTry longest = slow.get(0);
    long madeNanos = longest.connection().createdNanos();
    long sentNanos = longest.startedNanos();
    long silentUntilNanos = madeNanos - sentNanos > 0 ? madeNanos : sentNanos;
    thread.connectionsTo(endpoint).closeIdleMadeBefore(silentUntilNanos);
    slow.stream()
        .filter(t -> t.connection().createdNanos() - silentUntilNanos <= 0)
        .toList()
        .forEach(EndpointTry::abandonSilent);
  }

  /** The connection to one endpoint that tells a silent path from a slow request. */
  private final class Witness {
    private final Endpoint endpoint;
    private EndpointConnection connection;
    private boolean busy;
    private long lastAskedNanos = System.nanoTime() - silentAfterNanos;

    Witness(Endpoint endpoint) {
      this.endpoint = endpoint;
      this.connection = thread.connectionsTo(endpoint).createOutsidePool();
    }

    /** Keeps the witness recently proven, so that an idle timeout is not taken for silence. */
    void refresh(long nowNanos) {
      long ageNanos = nowNanos - connection.lastReadNanos();
      if (!connection.isIdle() || ageNanos > refreshNanos()) {
        prove();
      }
    }

    /** Asks the witness, and when it is silent, whether a new connection works. */
    void prove() {
      long nowNanos = System.nanoTime();
      if (busy || nowNanos - lastAskedNanos < silentAfterNanos) {
        return;
      }
      busy = true;
      lastAskedNanos = nowNanos;
      if (!connection.isIdle()) {
        replaceBy(thread.connectionsTo(endpoint).createOutsidePool());
      }
      long askedNanos = System.nanoTime();
      ask(connection).whenResult(result -> onAnswer(result, askedNanos));
    }

    private void onAnswer(ProbeResult result, long askedNanos) {
      boolean wasMadeBefore = connection.createdNanos() - askedNanos < 0;
      if (result != ProbeResult.SILENT || !wasMadeBefore) {
        busy = false;
        return;
      }
      EndpointConnection fresh = thread.connectionsTo(endpoint).createOutsidePool();
      ask(fresh).whenResult(freshResult -> onFreshAnswer(fresh, freshResult, askedNanos));
    }

    private void onFreshAnswer(EndpointConnection fresh, ProbeResult result, long askedNanos) {
      busy = false;
      long witnessNanos = connection.createdNanos();
      replaceBy(fresh);
      boolean olderAnswered =
          thread.connectionsTo(endpoint).anOlderOneAnswered(witnessNanos, askedNanos);
      if (result == ProbeResult.ANSWERED && !olderAnswered) {
        closeSilent(endpoint);
      }
    }

    boolean dropWhenUnused(long nowNanos) {
      if (busy || thread.connectionsTo(endpoint).usedSince(nowNanos - refreshNanos())) {
        return false;
      }
      connection.close();
      return true;
    }

    void close() {
      connection.close();
    }

    private Promise<ProbeResult> ask(EndpointConnection asked) {
      return thread.endpointClient().probe(asked, endpoint);
    }

    private long refreshNanos() {
      return TimeUnit.MILLISECONDS.toNanos(thread.limits().witnessRefreshMillis());
    }

    private void replaceBy(EndpointConnection other) {
      connection.close();
      connection = other;
    }
  }
}
