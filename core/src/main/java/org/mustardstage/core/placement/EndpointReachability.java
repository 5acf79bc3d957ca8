package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ZoneId;

/**
 * Decides whether this VM is cut off from all endpoints.
 *
 * <p>Handles a VM that loses its links to endpoints while the other VMs keep theirs. What it sees
 * then says nothing about the endpoints. It is taken to be cut off when new connections to several
 * endpoints, in all zones or in eight of them, have failed and none that was begun later works,
 * whatever open connections do. A few failures only raise the suspicion, which probes in other
 * zones confirm or refute.
 */
public final class EndpointReachability {
  /** Fewer endpoints may fail together, as they share a rack or are replaced. */
  private static final int MIN_FAILED_ENDPOINTS = 4;

  /** All zones, where there are no more: several may be without power at once. */
  private static final int MIN_FAILED_ZONES = 8;

  /** One endpoint that can't be reached has probably ended itself. */
  private static final int SUSPICIOUS_ENDPOINTS = 2;

  private static final int PROBES_WHEN_SUSPECTED = 2;
  private static final int PROBES_WHEN_CUT_OFF = 1;
  private static final long SUSPECTED_PROBE_INTERVAL_NANOS = 100_000_000L;
  private static final long CUT_OFF_PROBE_INTERVAL_NANOS = 200_000_000L;

  /** How long a failure counts while the VM is not taken to be cut off. */
  private static final long EVIDENCE_NANOS = 3_000_000_000L;

  /** What is believed about the links of this VM. */
  public enum State {
    /** Nothing speaks against the links. */
    REACHABLE,
    /** Some failures speak against the links, so endpoints are probed. */
    SUSPECTED,
    /** New connections to endpoints fail, wherever they are. */
    CUT_OFF
  }

  /** When the last connection to each endpoint was begun that failed; only what still counts. */
  private final Map<EndpointId, Long> failureNanos = new HashMap<>();

  private ImmutableList<RegisteredEndpoint> probeOrder = ImmutableList.of();
  private Map<EndpointId, ZoneId> zones = Map.of();
  private State state = State.REACHABLE;
  private long lastConnectedNanos = Long.MIN_VALUE / 2;

  /** Counts until a connection works that was begun later. */
  private long suspicionNanos = lastConnectedNanos;

  private int nextProbe;
  private long lastProbeNanos = Long.MIN_VALUE / 2;

  /** Replaces the endpoints of all services. */
  public void setEndpoints(Collection<RegisteredEndpoint> endpoints) {
    zones = new HashMap<>();
    endpoints.forEach(endpoint -> zones.put(endpoint.id(), endpoint.zone()));
    failureNanos.keySet().retainAll(zones.keySet());
    probeOrder = alternateZones(endpoints);
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
   * Returns whether a connection works that was begun after {@code nanos}, so that what failed
   * before was not the fault of this VM's links.
   */
  public boolean hasConnectedSince(long nanos) {
    return lastConnectedNanos - nanos > 0;
  }

  /** Records that a new connection to an endpoint works, which was begun at {@code begunNanos}. */
  public void recordConnected(long begunNanos) {
    if (begunNanos - lastConnectedNanos <= 0) {
      return;
    }
    lastConnectedNanos = begunNanos;
    failureNanos.values().removeIf(nanos -> nanos - begunNanos <= 0);
    updateState();
  }

  /**
   * Records that a new connection to an endpoint could not be opened, which was begun at {@code
   * begunNanos}. It says nothing if one that was begun later works.
   */
  public void recordConnectFailed(long begunNanos, EndpointId endpoint) {
    if (!zones.containsKey(endpoint) || begunNanos - lastConnectedNanos <= 0) {
      return;
    }
    if (state != State.CUT_OFF) {
      failureNanos.values().removeIf(nanos -> begunNanos - nanos > EVIDENCE_NANOS);
    }
    failureNanos.put(endpoint, begunNanos);
    updateState();
  }

  private void updateState() {
    boolean isCutOff =
        !zones.isEmpty()
            && failureNanos.size() >= Math.min(MIN_FAILED_ENDPOINTS, zones.size())
            && failedZones().size()
                >= Math.min(MIN_FAILED_ZONES, Set.copyOf(zones.values()).size());
    boolean isSuspected =
        !zones.isEmpty()
            && (suspicionNanos - lastConnectedNanos > 0
                || failureNanos.size() >= SUSPICIOUS_ENDPOINTS);
    state = isCutOff ? State.CUT_OFF : isSuspected ? State.SUSPECTED : State.REACHABLE;
  }

  private Set<ZoneId> failedZones() {
    Set<ZoneId> failed = new HashSet<>();
    failureNanos.keySet().forEach(endpoint -> failed.add(zones.get(endpoint)));
    return failed;
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
   * Returns the endpoints to which a connection must be tried now; none while nothing speaks
   * against the links.
   */
  public ImmutableList<RegisteredEndpoint> takeProbes(long nowNanos) {
    boolean isCutOff = state == State.CUT_OFF;
    long intervalNanos = isCutOff ? CUT_OFF_PROBE_INTERVAL_NANOS : SUSPECTED_PROBE_INTERVAL_NANOS;
    if (state == State.REACHABLE || nowNanos - lastProbeNanos < intervalNanos) {
      return ImmutableList.of();
    }
    lastProbeNanos = nowNanos;
    int count = Math.min(probeOrder.size(), isCutOff ? PROBES_WHEN_CUT_OFF : PROBES_WHEN_SUSPECTED);
    ImmutableList.Builder<RegisteredEndpoint> probes = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      probes.add(probeOrder.get(Math.floorMod(nextProbe++, probeOrder.size())));
    }
    return probes.build();
  }
}
