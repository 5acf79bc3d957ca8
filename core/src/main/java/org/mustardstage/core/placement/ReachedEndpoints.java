package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;

/**
 * Decides which endpoints this VM uses while it reaches only a few of them.
 *
 * <p>Handles a VM that loses its links to most endpoints, but not to all. Each request that it
 * sends to one of those is lost, or waits for its deadline. If most endpoints of which something
 * was heard lately are not reached, nor most of a sample of the others, the VM uses only those that
 * have answered since, and learns from health checks which others it may use. One VM alone can't
 * tell whether such endpoints have ended, so nothing is reported about them.
 */
public final class ReachedEndpoints {
  /** Fewer endpoints may fail together, as they share a rack or are replaced. */
  private static final int MIN_UNREACHED = 4;

  private static final int MIN_UNREACHED_OF_FEW = 2;

  /** How long an endpoint that was not reached counts while most are reached. */
  private static final long MEMORY_NANOS = 10_000_000_000L;

  /** The sample; it also bounds the health checks of VMs of which some endpoints have ended. */
  private static final int FAST_PROBES = 8;

  /** Bounds the health checks of endpoints that lose requests or are late all the time. */
  private static final double SUSPECTS_PER_SECOND = 0.5;

  private static final int PROBES_AT_ONCE = 2;
  private static final long FAST_PROBE_INTERVAL_NANOS = 100_000_000L;
  private static final long SLOW_PROBE_INTERVAL_NANOS = 400_000_000L;

  private final CurrentEndpoints endpoints = new CurrentEndpoints();

  /** When the first of the attempts was begun that did not reach an endpoint. */
  private final Map<EndpointId, Long> unreachedNanos = new HashMap<>();

  /** When each endpoint last answered. */
  private final Map<EndpointId, Long> answeredNanos = new HashMap<>();

  /** Endpoints that have lost a request or are late, to be tried next. */
  private final Deque<EndpointId> suspects = new ArrayDeque<>();

  /** Created when it is first needed, as only that knows the time. */
  private Optional<TokenBucket> suspectBudget = Optional.empty();

  private boolean reachesFew;

  /** The endpoints that may be out of reach, if most of those are of which something was heard. */
  private ImmutableSet<EndpointId> unanswering = ImmutableSet.of();

  private final Deque<EndpointId> probeOrder = new ArrayDeque<>();
  private int takenProbes;
  private long lastProbeNanos = Long.MIN_VALUE / 2;

  /** Replaces the endpoints of all services. Forgets what is known of earlier incarnations. */
  public void setEndpoints(Collection<RegisteredEndpoint> newEndpoints) {
    Set<EndpointId> ended = endpoints.replace(newEndpoints);
    unreachedNanos.keySet().removeAll(ended);
    answeredNanos.keySet().removeAll(ended);
    suspects.removeAll(ended);
    probeOrder.retainAll(endpoints.ids());
    update();
  }

  /** Returns the endpoints of all services. */
  public ImmutableCollection<RegisteredEndpoint> endpoints() {
    return endpoints.all();
  }

  /** Returns whether this VM uses only the few endpoints that it reaches. */
  public boolean reachesFew() {
    return reachesFew;
  }

  /** Returns the endpoints that must not be sent requests; none while most are reached. */
  public ImmutableSet<EndpointId> excluded() {
    return reachesFew ? unanswering : ImmutableSet.of();
  }

  /** Records that an endpoint has answered. Like all results, ignored if it has restarted since. */
  public void recordAnswered(long nowNanos, RegisteredEndpoint endpoint) {
    if (!endpoints.isCurrent(endpoint)) {
      return;
    }
    answeredNanos.put(endpoint.id(), nowNanos);
    boolean changed = unreachedNanos.remove(endpoint.id()) != null;
    if (changed || unanswering.contains(endpoint.id())) {
      update();
    }
  }

  /**
   * Records that an endpoint was not reached by an attempt that was begun at {@code begunNanos}.
   */
  public void recordUnreached(long begunNanos, RegisteredEndpoint endpoint) {
    if (!endpoints.isCurrent(endpoint)) {
      return;
    }
    if (!reachesFew) {
      unreachedNanos.values().removeIf(nanos -> begunNanos - nanos > MEMORY_NANOS);
    }
    unreachedNanos.putIfAbsent(endpoint.id(), begunNanos);
    update();
  }

  /** Records that an endpoint has lost a request or is late, so that it must be tried. */
  public void recordSuspect(long nowNanos, RegisteredEndpoint endpoint) {
    if (!endpoints.isCurrent(endpoint)
        || unreachedNanos.containsKey(endpoint.id())
        || suspects.contains(endpoint.id())) {
      return;
    }
    if (suspectBudget.isEmpty()) {
      suspectBudget =
          Optional.of(new TokenBucket(nowNanos, SUSPECTS_PER_SECOND, FAST_PROBES, FAST_PROBES));
    }
    if (suspectBudget.get().hasToken(nowNanos)) {
      suspectBudget.get().takeToken(nowNanos);
      suspects.add(endpoint.id());
    }
  }

  private void update() {
    Optional<Long> firstUnreachedNanos =
        unreachedNanos.values().stream().min((a, b) -> Long.compare(a - b, 0));
    Set<EndpointId> answering =
        firstUnreachedNanos.map(this::answeredSince).orElse(ImmutableSet.of());
    int few = Math.max(MIN_UNREACHED_OF_FEW, (endpoints.size() + 1) / 2);
    boolean mostUnreached =
        unreachedNanos.size() >= Math.min(MIN_UNREACHED, few)
            && unreachedNanos.size() > answering.size();
    if (!mostUnreached) {
      takenProbes = 0;
      reachesFew = false;
    }
    unanswering =
        mostUnreached
            ? endpoints.ids().stream()
                .filter(endpoint -> !answering.contains(endpoint))
                .collect(ImmutableSet.toImmutableSet())
            : ImmutableSet.of();
  }

  private Set<EndpointId> answeredSince(long sinceNanos) {
    return answeredNanos.entrySet().stream()
        .filter(entry -> entry.getValue() - sinceNanos > 0)
        .map(Map.Entry::getKey)
        .filter(endpoint -> !unreachedNanos.containsKey(endpoint))
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns whether there may be something to probe. */
  public boolean mustProbe() {
    return !unanswering.isEmpty() || !suspects.isEmpty();
  }

  /** Returns the endpoints that must be sent a health check now. */
  public ImmutableList<RegisteredEndpoint> takeProbes(long nowNanos) {
    boolean enough = takenProbes >= Math.min(FAST_PROBES, unanswering.size());
    long intervalNanos =
        enough && suspects.isEmpty() ? SLOW_PROBE_INTERVAL_NANOS : FAST_PROBE_INTERVAL_NANOS;
    if (!mustProbe() || nowNanos - lastProbeNanos < intervalNanos) {
      return ImmutableList.of();
    }
    if (enough && !unanswering.isEmpty()) {
      reachesFew = true;
    }
    lastProbeNanos = nowNanos;
    ImmutableList.Builder<RegisteredEndpoint> probes = ImmutableList.builder();
    for (int i = 0; i < PROBES_AT_ONCE; i++) {
      nextProbe().flatMap(endpoints::find).ifPresent(probes::add);
    }
    return probes.build();
  }

  private Optional<EndpointId> nextProbe() {
    if (!suspects.isEmpty()) {
      return Optional.of(suspects.removeFirst());
    }
    if (unanswering.isEmpty()) {
      return Optional.empty();
    }
    takenProbes++;
    probeOrder.removeIf(endpoint -> !unanswering.contains(endpoint));
    if (probeOrder.isEmpty()) {
      // Those of which nothing is known come first.
      unanswering.stream()
          .filter(each -> !unreachedNanos.containsKey(each))
          .forEach(probeOrder::add);
      unanswering.stream().filter(unreachedNanos::containsKey).forEach(probeOrder::add);
    }
    return Optional.ofNullable(probeOrder.pollFirst());
  }
}
