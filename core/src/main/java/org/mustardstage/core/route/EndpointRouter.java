package org.mustardstage.core.route;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.Objective;

/**
 * Selects endpoints of one service for the requests of one entry VM. Endpoints of its own region
 * are ranked by the objective of the service. When the own region is too busy, requests spill over
 * to regions with spare capacity, at a limited rate.
 */
public final class EndpointRouter {
  private static final long REFRESH_NANOS = 10_000_000;
  private static final double EXCLUDED = Double.POSITIVE_INFINITY;

  private final RouterSettings settings;
  private final RandomGenerator random;
  private final OutlierEjection ejection;
  private final RemoteRequestBudget remoteBudget;
  private final RegionUtilization regionUtilization = new RegionUtilization();
  private Objective objective = Objective.LATENCY;
  private List<EndpointState> endpoints = ImmutableList.of();
  private Map<EndpointId, EndpointState> byId = new HashMap<>();
  private UtilizationEstimator utilizationEstimator = new UtilizationEstimator(0);
  private double[] scores = new double[0];
  private double medianServiceNanos;
  private double totalSlots;
  private double localUtilization;
  private long refreshedNanos;
  private boolean stale = true;

  /** Creates a router without endpoints that draws jitter from {@code random}. */
  public EndpointRouter(RouterSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
    this.ejection = new OutlierEjection(settings.ejection());
    this.remoteBudget = new RemoteRequestBudget(settings.maxRemoteShare());
  }

  /**
   * Replaces the endpoints by those of the active manifest. The state of an endpoint that remains
   * is kept. Endpoints added after the first call go through slow start.
   */
  public void updateEndpoints(
      long nowNanos, Objective newObjective, List<EndpointLocation> locations) {
    boolean isInitial = byId.isEmpty();
    Map<EndpointId, EndpointState> previous = byId;
    objective = newObjective;
    byId = new HashMap<>();
    ImmutableList.Builder<EndpointState> states = ImmutableList.builder();
    for (EndpointLocation location : locations) {
      EndpointState endpoint =
          keepOrCreateState(nowNanos, previous.get(location.id()), location, isInitial);
      byId.put(location.id(), endpoint);
      states.add(endpoint);
    }
    endpoints = states.build();
    scores = new double[endpoints.size()];
    totalSlots = locations.stream().mapToInt(EndpointLocation::slots).sum();
    utilizationEstimator = new UtilizationEstimator(endpoints.size());
    updateEjectableEndpoints();
  }

  /** Sets the number of entry VMs that share the budget of requests to other regions. */
  public void setEntryVmCount(int count) {
    remoteBudget.setEntryVmCount(count);
  }

  /** Marks the endpoints that are leaving, which get no new requests. */
  public void updateLeaving(long nowNanos, Predicate<EndpointId> isLeaving) {
    for (EndpointState endpoint : endpoints) {
      endpoint.setLeaving(nowNanos, isLeaving.test(endpoint.id()));
    }
    updateEjectableEndpoints();
  }

  /**
   * Returns the endpoints to which a request may be sent, best first, without those that are
   * leaving. When slow start, ejection and the rules for other regions leave no candidate, they are
   * ignored, so that the request can still be sent. The list is empty only when every endpoint is
   * leaving, excluded by the request, or in a region that it may not use.
   */
  public List<EndpointId> candidates(long nowNanos, RouteRequest request) {
    refresh(nowNanos);
    List<EndpointId> chosen = new ArrayList<>(settings.maxCandidates());
    boolean spillOver =
        shouldSpillOver(request)
            && remoteBudget.hasToken(nowNanos, totalSlots, remotePermitHoldNanos());
    int maxLocal = spillOver ? (settings.maxCandidates() + 1) / 2 : settings.maxCandidates();
    scoreLocal(request);
    addBest(chosen, maxLocal);
    if (spillOver) {
      scoreRemote(request);
      addBest(chosen, settings.maxCandidates());
    }
    if (chosen.isEmpty()) {
      scoreAllAllowed(request);
      addBest(chosen, settings.maxCandidates());
    }
    return chosen;
  }

  /** Records that a request is sent, which may use up a probe or the budget for other regions. */
  public void recordSent(EndpointId endpoint) {
    ejection.recordSent(endpoint);
    EndpointState state = byId.get(endpoint);
    if (state != null && state.isRemote()) {
      remoteBudget.takeToken();
    }
  }

  /** Releases the probe of a request that was recorded as sent but never reached the endpoint. */
  public void recordNeverSent(EndpointId endpoint) {
    ejection.recordNeverSent(endpoint);
  }

  /** Updates the health and the ejection state of an endpoint after a response. */
  public void recordResponse(long nowNanos, EndpointId endpoint, long latencyNanos) {
    EndpointState state = byId.get(endpoint);
    if (state != null) {
      long serviceNanos = Math.max(0, latencyNanos - (long) state.roundTripNanos());
      state.health().recordResponse(nowNanos, serviceNanos);
      if (ejection.recordResult(
          nowNanos, endpoint, false, (double) serviceNanos, medianServiceNanos)) {
        state.health().resetSamples();
      }
    }
  }

  /** Updates the health and the ejection state of an endpoint after a failure or rejection. */
  public void recordFailure(long nowNanos, EndpointId endpoint, long latencyNanos) {
    EndpointState state = byId.get(endpoint);
    if (state != null) {
      state.health().recordFailure(nowNanos, latencyNanos);
      ejection.recordResult(nowNanos, endpoint, true, (double) latencyNanos, medianServiceNanos);
    }
  }

  /** Records the utilization that {@code endpoint} reports, from 0 to 1. */
  public void recordLoadReport(long nowNanos, EndpointId endpoint, double utilization) {
    EndpointState state = byId.get(endpoint);
    if (state != null) {
      state.health().recordLoadReport(nowNanos, utilization);
    }
  }

  /** Limits the share of traffic of a cold endpoint to the warmth it reports, from 0 to 1. */
  public void recordWarmth(EndpointId endpoint, double warmth) {
    EndpointState state = byId.get(endpoint);
    if (state != null) {
      state.slowStart().recordWarmth(warmth);
    }
  }

  /** Returns whether {@code endpoint} is active, ejected or being probed. */
  public EjectionState ejectionOf(EndpointId endpoint) {
    return ejection.stateOf(endpoint);
  }

  private EndpointState keepOrCreateState(
      long nowNanos, EndpointState previous, EndpointLocation location, boolean isInitial) {
    double roundTripNanos = settings.delays().roundTripNanos(location.proximity());
    if (previous != null) {
      return previous.withLocation(location, roundTripNanos);
    }
    long startNanos = isInitial ? nowNanos - settings.slowStartNanos() : nowNanos;
    SlowStart slowStart =
        new SlowStart(startNanos, settings.slowStartNanos(), settings.slowStartMinShare());
    return new EndpointState(location, new EndpointHealth(), slowStart, roundTripNanos);
  }

  private void updateEjectableEndpoints() {
    Set<EndpointId> remaining = new HashSet<>();
    for (EndpointState endpoint : endpoints) {
      if (!endpoint.isLeaving()) {
        remaining.add(endpoint.id());
      }
    }
    ejection.updateEndpoints(remaining);
    stale = true;
  }

  private void refresh(long nowNanos) {
    if (!stale && nowNanos - refreshedNanos < REFRESH_NANOS) {
      return;
    }
    stale = false;
    refreshedNanos = nowNanos;
    medianServiceNanos = computeMedianServiceNanos(nowNanos);
    double[] utilizations = utilizationEstimator.estimate(nowNanos, endpoints);
    for (int i = 0; i < endpoints.size(); i++) {
      refresh(nowNanos, endpoints.get(i), utilizations[i]);
    }
    localUtilization = meanLocalUtilization();
    regionUtilization.update(endpoints);
  }

  private void refresh(long nowNanos, EndpointState endpoint, double utilization) {
    if (!endpoint.isLeaving()) {
      ejection.evaluate(nowNanos, endpoint.id(), endpoint.health(), medianServiceNanos);
    }
    boolean isProbing = ejection.stateOf(endpoint.id()) instanceof EjectionState.Probing;
    double serviceNanos =
        isProbing
            ? medianServiceNanos
            : endpoint.health().serviceNanos(nowNanos, medianServiceNanos);
    double score =
        EndpointScore.of(objective, endpoint, serviceNanos, medianServiceNanos, utilization);
    endpoint.setEstimates(score, utilization, endpoint.slowStart().share(nowNanos));
    endpoint.setHasFreshReport(endpoint.health().hasFreshReport(nowNanos));
  }

  private double computeMedianServiceNanos(long nowNanos) {
    int sampleCount = 0;
    for (EndpointState endpoint : endpoints) {
      if (!endpoint.isLeaving() && endpoint.health().hasFreshServiceTime(nowNanos)) {
        scores[sampleCount++] = endpoint.health().serviceNanos(nowNanos, medianServiceNanos);
      }
    }
    if (sampleCount == 0) {
      return medianServiceNanos;
    }
    Arrays.sort(scores, 0, sampleCount);
    return scores[(sampleCount - 1) / 2];
  }

  private double meanLocalUtilization() {
    double slotsInUse = 0;
    double localSlots = 0;
    for (EndpointState endpoint : endpoints) {
      if (!endpoint.isRemote() && !endpoint.isLeaving()) {
        slotsInUse += endpoint.utilization() * endpoint.location().slots();
        localSlots += endpoint.location().slots();
      }
    }
    return localSlots == 0 ? 1 : slotsInUse / localSlots;
  }

  private boolean shouldSpillOver(RouteRequest request) {
    NetworkDelays delays = settings.delays();
    long remoteExtraNanos =
        delays.roundTripNanos(Proximity.OTHER_REGION) - delays.roundTripNanos(Proximity.OWN_REGION);
    return switch (objective) {
      case LATENCY -> request.expectedWaitNanos() > remoteExtraNanos;
      case HEADROOM ->
          request.expectedWaitNanos() > remoteExtraNanos
              || localUtilization > settings.maxLocalUtilization();
    };
  }

  private double remotePermitHoldNanos() {
    return settings.delays().roundTripNanos(Proximity.OTHER_REGION) + medianServiceNanos;
  }

  private void scoreLocal(RouteRequest request) {
    for (int i = 0; i < scores.length; i++) {
      EndpointState endpoint = endpoints.get(i);
      boolean eligible = !endpoint.isRemote() && isEligible(endpoint, request);
      scores[i] = eligible ? withJitter(endpoint.score()) : EXCLUDED;
    }
  }

  private void scoreRemote(RouteRequest request) {
    for (int i = 0; i < scores.length; i++) {
      EndpointState endpoint = endpoints.get(i);
      boolean eligible =
          endpoint.isRemote()
              && isEligible(endpoint, request)
              && isInRegionWithSpareCapacity(endpoint);
      scores[i] = eligible ? withJitter(endpoint.score()) : EXCLUDED;
    }
  }

  private void scoreAllAllowed(RouteRequest request) {
    for (int i = 0; i < scores.length; i++) {
      EndpointState endpoint = endpoints.get(i);
      scores[i] = isAllowed(endpoint, request) ? withJitter(endpoint.score()) : EXCLUDED;
    }
  }

  /** Returns whether fresh load reports show that the region of an endpoint has free slots. */
  private boolean isInRegionWithSpareCapacity(EndpointState endpoint) {
    RegionId region = endpoint.location().region();
    return endpoint.hasFreshReport()
        && regionUtilization.of(region) <= settings.maxRemoteUtilization();
  }

  private boolean isEligible(EndpointState endpoint, RouteRequest request) {
    return isAllowed(endpoint, request)
        && ejection.mayReceive(endpoint.id(), request.mayProbe())
        && passesSlowStart(endpoint);
  }

  private static boolean isAllowed(EndpointState endpoint, RouteRequest request) {
    return !endpoint.isLeaving()
        && !request.excluded().contains(endpoint.id())
        && request.mayUseRegion().test(endpoint.location().region());
  }

  private boolean passesSlowStart(EndpointState endpoint) {
    return endpoint.slowStartShare() >= 1 || random.nextDouble() < endpoint.slowStartShare();
  }

  private double withJitter(double score) {
    return score * (1 + settings.jitterShare() * random.nextDouble());
  }

  private void addBest(List<EndpointId> chosen, int maxSize) {
    while (chosen.size() < maxSize) {
      int best = indexOfBest();
      if (best < 0) {
        return;
      }
      chosen.add(endpoints.get(best).id());
      scores[best] = EXCLUDED;
    }
  }

  private int indexOfBest() {
    int best = -1;
    for (int i = 0; i < scores.length; i++) {
      if (scores[i] < EXCLUDED && (best < 0 || scores[i] < scores[best])) {
        best = i;
      }
    }
    return best;
  }
}
