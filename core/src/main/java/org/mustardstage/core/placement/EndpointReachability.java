package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ZoneId;

/**
 * Decides whether this VM is cut off from all endpoints.
 *
 * <p>Handles a VM that loses its links to endpoints while the other VMs keep theirs. What it sees
 * then says nothing about the endpoints. It is taken to be cut off when new connections to several
 * endpoints, in all zones or in eight of them, have failed and no endpoint has answered on one that
 * was begun later, whatever open connections do. A connection that is only open says nothing, as
 * something on the way may have accepted it. A few failures only raise the suspicion, which health
 * checks in other zones confirm or refute.
 *
 * <p>The first answer ends a cut. If a cut begins soon after another one has ended, the links come
 * and go: the cut then ends only when answers have come for some time.
 */
public final class EndpointReachability {
  /** Fewer endpoints may fail together, as they share a rack or this VM reaches only some. */
  private static final int MIN_FAILED_ENDPOINTS = 8;

  /** Soon after a cut, so many suffice, as links that come and go leave no time for more. */
  private static final int MIN_FAILED_ENDPOINTS_AFTER_CUT = 4;

  /** All zones, where there are no more: several may be without power at once. */
  private static final int MIN_FAILED_ZONES = 8;

  /** One endpoint that can't be reached has probably ended itself. */
  private static final int SUSPICIOUS_ENDPOINTS = 2;

  private static final int FAST_PROBES_AT_ONCE = 2;

  /** So many probes reach all the zones that must have failed, twice. */
  private static final int FAST_PROBES = 2 * MIN_FAILED_ZONES;

  /** Bounds the probes where requests are lost all the time for another reason. */
  private static final double FAST_PROBES_PER_SECOND = 1;

  private static final long FAST_PROBE_INTERVAL_NANOS = 100_000_000L;
  private static final long SLOW_PROBE_INTERVAL_NANOS = 400_000_000L;

  /** A cut that begins this soon after the end of another one is repeated. */
  private static final long REPEATED_CUT_NANOS = 10_000_000_000L;

  /** For how long endpoints must have answered until a repeated cut has ended. */
  private static final long SETTLING_NANOS = 2_000_000_000L;

  /** Bounds a repeated cut from its first answer on, as some endpoints may be down as well. */
  private static final long MAX_SETTLING_NANOS = 15_000_000_000L;

  /** How long a failure counts while the VM is not taken to be cut off. */
  private static final long EVIDENCE_NANOS = 3_000_000_000L;

  /** What is believed about the links of this VM. */
  public enum State {
    /** Nothing speaks against the links. */
    REACHABLE,
    /** Some failures speak against the links, so endpoints are probed. */
    SUSPECTED,
    /** New connections to endpoints bring no answer, wherever they are. */
    CUT_OFF
  }

  /** When the last connection to each endpoint was begun that failed; only what still counts. */
  private final Map<EndpointId, Long> failureNanos = new HashMap<>();

  private ImmutableList<RegisteredEndpoint> probeOrder = ImmutableList.of();
  private final CurrentEndpoints endpoints = new CurrentEndpoints();
  private State state = State.REACHABLE;

  /** When the newest connection was begun on which an endpoint has answered. */
  private long lastAnsweredNanos = Long.MIN_VALUE / 2;

  /** Counts until an endpoint answers on a connection that was begun later. */
  private long suspicionNanos = lastAnsweredNanos;

  private long cutEndedNanos = Long.MIN_VALUE / 2;
  private boolean repeatedCut;

  /** The first answer during a repeated cut, and the first one since the last failure. */
  private OptionalLong firstAnswerNanos = OptionalLong.empty();

  private OptionalLong answeredSinceNanos = OptionalLong.empty();

  private int nextProbe;

  /** Created with the first probe, as only that knows the time. */
  private Optional<TokenBucket> fastProbes = Optional.empty();

  private long lastProbeNanos = Long.MIN_VALUE / 2;

  /**
   * Creates the view of a VM whose links are believed to work.
   *
   * @param random chooses the first endpoint that is probed, so that VMs which are cut off together
   *     don't all probe the same one
   */
  public EndpointReachability(RandomGenerator random) {
    nextProbe = random.nextInt(Integer.MAX_VALUE);
  }

  /** Replaces the endpoints of all services. Forgets the failures of earlier incarnations. */
  public void setEndpoints(Collection<RegisteredEndpoint> newEndpoints) {
    failureNanos.keySet().removeAll(endpoints.replace(newEndpoints));
    probeOrder = alternateZones(newEndpoints);
    updateState();
  }

  /** Returns the endpoints in an order in which neighbors are in different zones. */
  private static ImmutableList<RegisteredEndpoint> alternateZones(
      Collection<RegisteredEndpoint> endpoints) {
    Map<ZoneId, List<RegisteredEndpoint>> byZone = new LinkedHashMap<>();
    endpoints.stream()
        .sorted(Comparator.comparing(RegisteredEndpoint::id))
        .forEach(each -> byZone.computeIfAbsent(each.zone(), key -> new ArrayList<>()).add(each));
    ImmutableList.Builder<RegisteredEndpoint> order = ImmutableList.builder();
    for (int i = 0; !byZone.isEmpty(); i++) {
      int index = i;
      byZone.values().removeIf(inZone -> inZone.size() <= index);
      byZone.values().forEach(inZone -> order.add(inZone.get(index)));
    }
    return order.build();
  }

  /** Returns what is believed now. */
  public State state() {
    return state;
  }

  /** Returns whether this VM is taken to be cut off from all endpoints. */
  public boolean isCutOff() {
    return state == State.CUT_OFF;
  }

  /** Returns how many endpoints were not reached since the last one that was. */
  public int failedEndpoints() {
    return failureNanos.size();
  }

  /**
   * Returns whether an endpoint has answered on a connection that was begun after {@code nanos}, so
   * that what failed before was not the fault of this VM's links.
   */
  public boolean hasAnsweredSince(long nanos) {
    return lastAnsweredNanos - nanos > 0;
  }

  /** Records that an endpoint answered on a connection that was begun at {@code begunNanos}. */
  public void recordAnswered(long begunNanos) {
    if (begunNanos - lastAnsweredNanos <= 0) {
      return;
    }
    lastAnsweredNanos = begunNanos;
    failureNanos.values().removeIf(nanos -> nanos - begunNanos <= 0);
    if (firstAnswerNanos.isEmpty()) {
      firstAnswerNanos = OptionalLong.of(begunNanos);
    }
    if (answeredSinceNanos.isEmpty()) {
      answeredSinceNanos = OptionalLong.of(begunNanos);
    }
    updateState();
  }

  /**
   * Records that a new connection to an endpoint, which was begun at {@code begunNanos}, could not
   * be opened, or was reset or stayed silent in place of an answer. It says nothing if an endpoint
   * has answered on one that was begun later, or if the endpoint has started again since.
   */
  public void recordFailed(long begunNanos, RegisteredEndpoint endpoint) {
    if (!endpoints.isCurrent(endpoint) || begunNanos - lastAnsweredNanos <= 0) {
      return;
    }
    if (state != State.CUT_OFF) {
      failureNanos.values().removeIf(nanos -> begunNanos - nanos > EVIDENCE_NANOS);
    }
    failureNanos.put(endpoint.id(), begunNanos);
    answeredSinceNanos = OptionalLong.empty();
    updateState();
  }

  private void updateState() {
    boolean wasCutOff = state == State.CUT_OFF;
    boolean isCutOff = !endpoints.isEmpty() && (haveAllFailed() || (wasCutOff && !isSettled()));
    boolean isSuspected =
        !endpoints.isEmpty()
            && (suspicionNanos - lastAnsweredNanos > 0
                || failureNanos.size() >= SUSPICIOUS_ENDPOINTS);
    state = isCutOff ? State.CUT_OFF : isSuspected ? State.SUSPECTED : State.REACHABLE;
    if (isCutOff && !wasCutOff) {
      repeatedCut = isSoonAfterCut();
      firstAnswerNanos = OptionalLong.empty();
    }
    if (!isCutOff && wasCutOff) {
      cutEndedNanos = lastAnsweredNanos;
    }
  }

  private boolean haveAllFailed() {
    int minFailed = isSoonAfterCut() ? MIN_FAILED_ENDPOINTS_AFTER_CUT : MIN_FAILED_ENDPOINTS;
    return failureNanos.size() >= Math.min(minFailed, endpoints.size())
        && failedZones().size() >= Math.min(MIN_FAILED_ZONES, zones().size());
  }

  private boolean isSoonAfterCut() {
    return !failureNanos.isEmpty()
        && Collections.max(failureNanos.values()) - cutEndedNanos < REPEATED_CUT_NANOS;
  }

  /** Returns whether no cut has begun lately, or endpoints have answered for long enough. */
  private boolean isSettled() {
    return firstAnswerNanos.isPresent()
        && answeredSinceNanos.isPresent()
        && (!repeatedCut
            || lastAnsweredNanos - answeredSinceNanos.getAsLong() >= SETTLING_NANOS
            || lastAnsweredNanos - firstAnswerNanos.getAsLong() >= MAX_SETTLING_NANOS);
  }

  private Set<ZoneId> zones() {
    return zonesOf(endpoints.all().stream());
  }

  private Set<ZoneId> failedZones() {
    return zonesOf(failureNanos.keySet().stream().map(endpoints::find).flatMap(Optional::stream));
  }

  private static Set<ZoneId> zonesOf(Stream<RegisteredEndpoint> endpoints) {
    return endpoints.map(RegisteredEndpoint::zone).collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Records something that a broken link or an endpoint may have caused: a response that is overdue
   * while no endpoint responds to anything, or a connection that was lost.
   */
  public void recordSuspicion(long nowNanos) {
    suspicionNanos = nowNanos;
    updateState();
  }

  /**
   * Returns the endpoints that must be sent a health check now; none while nothing speaks against
   * the links.
   */
  public ImmutableList<RegisteredEndpoint> takeProbes(long nowNanos) {
    if (state == State.REACHABLE) {
      return ImmutableList.of();
    }
    boolean fast = state == State.SUSPECTED && fastProbes(nowNanos).hasToken(nowNanos);
    long intervalNanos = fast ? FAST_PROBE_INTERVAL_NANOS : SLOW_PROBE_INTERVAL_NANOS;
    if (nowNanos - lastProbeNanos < intervalNanos) {
      return ImmutableList.of();
    }
    lastProbeNanos = nowNanos;
    int count = Math.min(probeOrder.size(), fast ? FAST_PROBES_AT_ONCE : 1);
    ImmutableList.Builder<RegisteredEndpoint> probes = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      probes.add(probeOrder.get(Math.floorMod(nextProbe++, probeOrder.size())));
      if (fast) {
        fastProbes(nowNanos).takeToken(nowNanos);
      }
    }
    return probes.build();
  }

  private TokenBucket fastProbes(long nowNanos) {
    if (fastProbes.isEmpty()) {
      fastProbes =
          Optional.of(new TokenBucket(nowNanos, FAST_PROBES_PER_SECOND, FAST_PROBES, FAST_PROBES));
    }
    return fastProbes.get();
  }
}
