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
 * Chooses endpoints of one service for requests of one entry VM: those of the own region by the
 * objective of the service, and those of other regions when the own one is too busy.
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
   * Takes over the endpoints of the manifest in force. What is known of an endpoint is kept; one
   * that comes later than the first call starts slowly.
   */
  public void updateEndpoints(long nowNanos, Objective newObjective, List<EndpointLocation> sites) {
    boolean isFirst = byId.isEmpty();
    Map<EndpointId, EndpointState> before = byId;
    objective = newObjective;
    byId = new HashMap<>();
    ImmutableList.Builder<EndpointState> routed = ImmutableList.builder();
    for (EndpointLocation site : sites) {
      EndpointState endpoint = stateOf(nowNanos, before.get(site.id()), site, isFirst);
      byId.put(site.id(), endpoint);
      routed.add(endpoint);
    }
    endpoints = routed.build();
    scores = new double[endpoints.size()];
    totalSlots = sites.stream().mapToInt(EndpointLocation::slots).sum();
    utilizationEstimator = new UtilizationEstimator(endpoints.size());
    updateEjectableEndpoints();
  }

  /** Takes over among how many entry VMs the room in other regions is divided. */
  public void setEntryVmCount(int count) {
    remoteBudget.setEntryVmCount(count);
  }

  /** Takes over which endpoints leave and get no new work. */
  public void updateLeaving(long nowNanos, Predicate<EndpointId> isLeaving) {
    for (EndpointState endpoint : endpoints) {
      endpoint.setLeaving(nowNanos, isLeaving.test(endpoint.id()));
    }
    updateEjectableEndpoints();
  }

  /**
   * Returns the endpoints that may take a request, the best first. The list is empty when none may;
   * it never names one that leaves.
   */
  public List<EndpointId> candidates(long nowNanos, RouteRequest request) {
    refresh(nowNanos);
    List<EndpointId> chosen = new ArrayList<>(settings.maxCandidates());
    boolean spills =
        shouldSpillOver(request)
            && remoteBudget.hasToken(nowNanos, totalSlots, remotePermitHoldNanos());
    int localRoom = spills ? (settings.maxCandidates() + 1) / 2 : settings.maxCandidates();
    scoreLocal(request);
    addBest(chosen, localRoom);
    if (spills) {
      scoreRemote(request);
      addBest(chosen, settings.maxCandidates());
    }
    if (chosen.isEmpty()) {
      scoreAllAllowed(request);
      addBest(chosen, settings.maxCandidates());
    }
    return chosen;
  }

  /** Notes that a request is sent to {@code endpoint}. */
  public void recordSent(EndpointId endpoint) {
    ejection.recordSent(endpoint);
    EndpointState routed = byId.get(endpoint);
    if (routed != null && routed.isRemote()) {
      remoteBudget.takeToken();
    }
  }

  /** Notes that a request counted as sent never reached {@code endpoint}. */
  public void recordNeverSent(EndpointId endpoint) {
    ejection.recordNeverSent(endpoint);
  }

  /** Takes in the answer to a request and the time since it was sent. */
  public void recordResponse(long nowNanos, EndpointId endpoint, long latencyNanos) {
    EndpointState routed = byId.get(endpoint);
    if (routed != null) {
      long serviceNanos = Math.max(0, latencyNanos - (long) routed.roundTripNanos());
      routed.health().recordResponse(nowNanos, serviceNanos);
      if (ejection.recordResult(
          nowNanos, endpoint, false, (double) serviceNanos, medianServiceNanos)) {
        routed.health().resetSamples();
      }
    }
  }

  /** Takes in a request that failed or was refused, and the time since it was sent. */
  public void recordFailure(long nowNanos, EndpointId endpoint, long latencyNanos) {
    EndpointState routed = byId.get(endpoint);
    if (routed != null) {
      routed.health().recordFailure(nowNanos, latencyNanos);
      ejection.recordResult(nowNanos, endpoint, true, (double) latencyNanos, medianServiceNanos);
    }
  }

  /** Takes in the share of its slots that {@code endpoint} reports as used. */
  public void recordLoadReport(long nowNanos, EndpointId endpoint, double usedShare) {
    EndpointState routed = byId.get(endpoint);
    if (routed != null) {
      routed.health().recordLoadReport(nowNanos, usedShare);
    }
  }

  /** Takes in the warmth that {@code endpoint} reports, from 0 to 1. */
  public void recordWarmth(EndpointId endpoint, double warmth) {
    EndpointState routed = byId.get(endpoint);
    if (routed != null) {
      routed.slowStart().recordWarmth(warmth);
    }
  }

  /** Returns whether {@code endpoint} is ejected, on probation or takes part. */
  public EjectionState ejectionOf(EndpointId endpoint) {
    return ejection.stateOf(endpoint);
  }

  private EndpointState stateOf(
      long nowNanos, EndpointState before, EndpointLocation site, boolean isFirst) {
    double roundTripNanos = settings.delays().roundTripNanos(site.proximity());
    if (before != null) {
      return before.withLocation(site, roundTripNanos);
    }
    long startNanos = isFirst ? nowNanos - settings.slowStartNanos() : nowNanos;
    SlowStart slowStart =
        new SlowStart(startNanos, settings.slowStartNanos(), settings.slowStartMinShare());
    return new EndpointState(site, new EndpointHealth(), slowStart, roundTripNanos);
  }

  private void updateEjectableEndpoints() {
    Set<EndpointId> staying = new HashSet<>();
    for (EndpointState endpoint : endpoints) {
      if (!endpoint.isLeaving()) {
        staying.add(endpoint.id());
      }
    }
    ejection.updateEndpoints(staying);
    stale = true;
  }

  private void refresh(long nowNanos) {
    if (!stale && nowNanos - refreshedNanos < REFRESH_NANOS) {
      return;
    }
    stale = false;
    refreshedNanos = nowNanos;
    medianServiceNanos = computeMedianServiceNanos(nowNanos);
    double[] used = utilizationEstimator.estimate(nowNanos, endpoints);
    for (int i = 0; i < endpoints.size(); i++) {
      refresh(nowNanos, endpoints.get(i), used[i]);
    }
    localUtilization = meanLocalUtilization();
    regionUtilization.update(endpoints);
  }

  private void refresh(long nowNanos, EndpointState endpoint, double usedShare) {
    if (!endpoint.isLeaving()) {
      ejection.evaluate(nowNanos, endpoint.id(), endpoint.health(), medianServiceNanos);
    }
    boolean onProbation = ejection.stateOf(endpoint.id()) instanceof EjectionState.Probing;
    double serviceNanos =
        onProbation
            ? medianServiceNanos
            : endpoint.health().serviceNanos(nowNanos, medianServiceNanos);
    double score =
        EndpointScore.of(objective, endpoint, serviceNanos, medianServiceNanos, usedShare);
    endpoint.setEstimates(score, usedShare, endpoint.slowStart().share(nowNanos));
    endpoint.setHasFreshReport(endpoint.health().hasFreshReport(nowNanos));
  }

  private double computeMedianServiceNanos(long nowNanos) {
    int timed = 0;
    for (EndpointState endpoint : endpoints) {
      if (!endpoint.isLeaving() && endpoint.health().hasFreshServiceTime(nowNanos)) {
        scores[timed++] = endpoint.health().serviceNanos(nowNanos, medianServiceNanos);
      }
    }
    if (timed == 0) {
      return medianServiceNanos;
    }
    Arrays.sort(scores, 0, timed);
    return scores[(timed - 1) / 2];
  }

  private double meanLocalUtilization() {
    double used = 0;
    double localSlots = 0;
    for (EndpointState endpoint : endpoints) {
      if (!endpoint.isRemote() && !endpoint.isLeaving()) {
        used += endpoint.utilization() * endpoint.location().slots();
        localSlots += endpoint.location().slots();
      }
    }
    return localSlots == 0 ? 1 : used / localSlots;
  }

  private boolean shouldSpillOver(RouteRequest request) {
    NetworkDelays delays = settings.delays();
    long extraNanos =
        delays.roundTripNanos(Proximity.OTHER_REGION) - delays.roundTripNanos(Proximity.OWN_REGION);
    return switch (objective) {
      case LATENCY -> request.expectedWaitNanos() > extraNanos;
      case HEADROOM ->
          request.expectedWaitNanos() > extraNanos
              || localUtilization > settings.maxLocalUtilization();
    };
  }

  private double remotePermitHoldNanos() {
    return settings.delays().roundTripNanos(Proximity.OTHER_REGION) + medianServiceNanos;
  }

  private void scoreLocal(RouteRequest request) {
    for (int i = 0; i < scores.length; i++) {
      EndpointState endpoint = endpoints.get(i);
      boolean taken = !endpoint.isRemote() && isEligible(endpoint, request);
      scores[i] = taken ? withJitter(endpoint.score()) : EXCLUDED;
    }
  }

  private void scoreRemote(RouteRequest request) {
    for (int i = 0; i < scores.length; i++) {
      EndpointState endpoint = endpoints.get(i);
      boolean taken =
          endpoint.isRemote()
              && isEligible(endpoint, request)
              && isInRegionWithSpareCapacity(endpoint);
      scores[i] = taken ? withJitter(endpoint.score()) : EXCLUDED;
    }
  }

  private void scoreAllAllowed(RouteRequest request) {
    for (int i = 0; i < scores.length; i++) {
      EndpointState endpoint = endpoints.get(i);
      scores[i] = isAllowed(endpoint, request) ? withJitter(endpoint.score()) : EXCLUDED;
    }
  }

  /** Returns whether the region of an endpoint surely has slots to spare. */
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

  private void addBest(List<EndpointId> chosen, int room) {
    while (chosen.size() < room) {
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
