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
  private static final double NO_SCORE = Double.POSITIVE_INFINITY;

  private final RouterSettings settings;
  private final RandomGenerator random;
  private final OutlierEjection ejection;
  private final RemoteBudget remoteBudget;
  private final RegionLoads regionLoads = new RegionLoads();
  private Objective objective = Objective.LATENCY;
  private List<RoutedEndpoint> endpoints = ImmutableList.of();
  private Map<EndpointId, RoutedEndpoint> byId = new HashMap<>();
  private UsedShares usedShares = new UsedShares(0);
  private double[] scores = new double[0];
  private double usualNanos;
  private double slots;
  private double regionUsedShare;
  private long refreshedNanos;
  private boolean stale = true;

  /** Creates a router without endpoints that draws jitter from {@code random}. */
  public EndpointRouter(RouterSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
    this.ejection = new OutlierEjection(settings.ejection());
    this.remoteBudget = new RemoteBudget(settings.maxRemoteShare());
  }

  /**
   * Takes over the endpoints of the manifest in force. What is known of an endpoint is kept; one
   * that comes later than the first call starts slowly.
   */
  public void onEndpoints(long nowNanos, Objective newObjective, List<EndpointSite> sites) {
    boolean isFirst = byId.isEmpty();
    Map<EndpointId, RoutedEndpoint> before = byId;
    objective = newObjective;
    byId = new HashMap<>();
    ImmutableList.Builder<RoutedEndpoint> routed = ImmutableList.builder();
    for (EndpointSite site : sites) {
      RoutedEndpoint endpoint = routed(nowNanos, before.get(site.id()), site, isFirst);
      byId.put(site.id(), endpoint);
      routed.add(endpoint);
    }
    endpoints = routed.build();
    scores = new double[endpoints.size()];
    slots = sites.stream().mapToInt(EndpointSite::slots).sum();
    usedShares = new UsedShares(endpoints.size());
    onEligible();
  }

  /** Takes over among how many entry VMs the room in other regions is divided. */
  public void onEntryVms(int count) {
    remoteBudget.onEntryVms(count);
  }

  /** Takes over which endpoints leave and get no new work. */
  public void onLeaving(long nowNanos, Predicate<EndpointId> isLeaving) {
    for (RoutedEndpoint endpoint : endpoints) {
      endpoint.setLeaving(nowNanos, isLeaving.test(endpoint.id()));
    }
    onEligible();
  }

  /**
   * Returns the endpoints that may take a request, the best first. The list is empty when none may;
   * it never names one that leaves.
   */
  public List<EndpointId> candidates(long nowNanos, RouteRequest request) {
    refresh(nowNanos);
    List<EndpointId> chosen = new ArrayList<>(settings.maxCandidates());
    boolean spills = spills(request) && remoteBudget.hasRoom(nowNanos, slots, remoteHeldNanos());
    int localRoom = spills ? (settings.maxCandidates() + 1) / 2 : settings.maxCandidates();
    scoreLocal(request);
    takeBest(chosen, localRoom);
    if (spills) {
      scoreRemote(request);
      takeBest(chosen, settings.maxCandidates());
    }
    if (chosen.isEmpty()) {
      scoreAllStaying(request);
      takeBest(chosen, settings.maxCandidates());
    }
    return chosen;
  }

  /** Notes that a request is sent to {@code endpoint}. */
  public void onSent(EndpointId endpoint) {
    ejection.onSent(endpoint);
    RoutedEndpoint routed = byId.get(endpoint);
    if (routed != null && routed.isRemote()) {
      remoteBudget.take();
    }
  }

  /** Notes that a request counted as sent never reached {@code endpoint}. */
  public void onNeverSent(EndpointId endpoint) {
    ejection.onNeverSent(endpoint);
  }

  /** Takes in the answer to a request and the time since it was sent. */
  public void onAnswer(long nowNanos, EndpointId endpoint, long latencyNanos) {
    RoutedEndpoint routed = byId.get(endpoint);
    if (routed != null) {
      long serviceNanos = Math.max(0, latencyNanos - (long) routed.roundTripNanos());
      routed.health().observeAnswer(nowNanos, serviceNanos);
      if (ejection.onEnd(nowNanos, endpoint, false, (double) serviceNanos, usualNanos)) {
        routed.health().forgetAnswers();
      }
    }
  }

  /** Takes in a request that failed or was refused, and the time since it was sent. */
  public void onFailure(long nowNanos, EndpointId endpoint, long latencyNanos) {
    RoutedEndpoint routed = byId.get(endpoint);
    if (routed != null) {
      routed.health().observeFailure(nowNanos, latencyNanos);
      ejection.onEnd(nowNanos, endpoint, true, (double) latencyNanos, usualNanos);
    }
  }

  /** Takes in the share of its slots that {@code endpoint} reports as used. */
  public void onReport(long nowNanos, EndpointId endpoint, double usedShare) {
    RoutedEndpoint routed = byId.get(endpoint);
    if (routed != null) {
      routed.health().observeReport(nowNanos, usedShare);
    }
  }

  /** Takes in the warmth that {@code endpoint} reports, from 0 to 1. */
  public void onWarmth(EndpointId endpoint, double warmth) {
    RoutedEndpoint routed = byId.get(endpoint);
    if (routed != null) {
      routed.slowStart().observeWarmth(warmth);
    }
  }

  /** Returns whether {@code endpoint} is ejected, on probation or takes part. */
  public EjectionState ejectionOf(EndpointId endpoint) {
    return ejection.stateOf(endpoint);
  }

  private RoutedEndpoint routed(
      long nowNanos, RoutedEndpoint before, EndpointSite site, boolean isFirst) {
    double roundTripNanos = settings.delays().roundTripNanos(site.proximity());
    if (before != null) {
      return before.withSite(site, roundTripNanos);
    }
    long startNanos = isFirst ? nowNanos - settings.slowStartNanos() : nowNanos;
    SlowStart slowStart =
        new SlowStart(startNanos, settings.slowStartNanos(), settings.slowStartMinShare());
    return new RoutedEndpoint(site, new EndpointHealth(), slowStart, roundTripNanos);
  }

  private void onEligible() {
    Set<EndpointId> staying = new HashSet<>();
    for (RoutedEndpoint endpoint : endpoints) {
      if (!endpoint.isLeaving()) {
        staying.add(endpoint.id());
      }
    }
    ejection.onEndpoints(staying);
    stale = true;
  }

  private void refresh(long nowNanos) {
    if (!stale && nowNanos - refreshedNanos < REFRESH_NANOS) {
      return;
    }
    stale = false;
    refreshedNanos = nowNanos;
    usualNanos = medianServiceNanos(nowNanos);
    double[] used = usedShares.estimate(nowNanos, endpoints);
    for (int i = 0; i < endpoints.size(); i++) {
      refresh(nowNanos, endpoints.get(i), used[i]);
    }
    regionUsedShare = meanLocalUsedShare();
    regionLoads.update(endpoints);
  }

  private void refresh(long nowNanos, RoutedEndpoint endpoint, double usedShare) {
    if (!endpoint.isLeaving()) {
      ejection.judge(nowNanos, endpoint.id(), endpoint.health(), usualNanos);
    }
    boolean onProbation = ejection.stateOf(endpoint.id()) instanceof EjectionState.Probing;
    double serviceNanos =
        onProbation ? usualNanos : endpoint.health().serviceNanos(nowNanos, usualNanos);
    double score = EndpointScore.of(objective, endpoint, serviceNanos, usualNanos, usedShare);
    endpoint.setFigures(score, usedShare, endpoint.slowStart().share(nowNanos));
    endpoint.setReported(endpoint.health().isReported(nowNanos));
  }

  private double medianServiceNanos(long nowNanos) {
    int timed = 0;
    for (RoutedEndpoint endpoint : endpoints) {
      if (!endpoint.isLeaving() && endpoint.health().isTimed(nowNanos)) {
        scores[timed++] = endpoint.health().serviceNanos(nowNanos, usualNanos);
      }
    }
    if (timed == 0) {
      return usualNanos;
    }
    Arrays.sort(scores, 0, timed);
    return scores[(timed - 1) / 2];
  }

  private double meanLocalUsedShare() {
    double used = 0;
    double localSlots = 0;
    for (RoutedEndpoint endpoint : endpoints) {
      if (!endpoint.isRemote() && !endpoint.isLeaving()) {
        used += endpoint.usedShare() * endpoint.site().slots();
        localSlots += endpoint.site().slots();
      }
    }
    return localSlots == 0 ? 1 : used / localSlots;
  }

  private boolean spills(RouteRequest request) {
    PlaceDelays delays = settings.delays();
    long extraNanos =
        delays.roundTripNanos(Proximity.OTHER_REGION) - delays.roundTripNanos(Proximity.OWN_REGION);
    return switch (objective) {
      case LATENCY -> request.expectedWaitNanos() > extraNanos;
      case HEADROOM ->
          request.expectedWaitNanos() > extraNanos
              || regionUsedShare > settings.maxRegionUsedShare();
    };
  }

  private double remoteHeldNanos() {
    return settings.delays().roundTripNanos(Proximity.OTHER_REGION) + usualNanos;
  }

  private void scoreLocal(RouteRequest request) {
    for (int i = 0; i < scores.length; i++) {
      RoutedEndpoint endpoint = endpoints.get(i);
      boolean taken = !endpoint.isRemote() && isEligible(endpoint, request);
      scores[i] = taken ? jittered(endpoint.score()) : NO_SCORE;
    }
  }

  private void scoreRemote(RouteRequest request) {
    for (int i = 0; i < scores.length; i++) {
      RoutedEndpoint endpoint = endpoints.get(i);
      boolean taken = endpoint.isRemote() && isEligible(endpoint, request) && hasSpare(endpoint);
      scores[i] = taken ? jittered(endpoint.score()) : NO_SCORE;
    }
  }

  private void scoreAllStaying(RouteRequest request) {
    for (int i = 0; i < scores.length; i++) {
      RoutedEndpoint endpoint = endpoints.get(i);
      scores[i] = isAllowed(endpoint, request) ? jittered(endpoint.score()) : NO_SCORE;
    }
  }

  /** Returns whether the region of an endpoint surely has slots to spare. */
  private boolean hasSpare(RoutedEndpoint endpoint) {
    RegionId region = endpoint.site().region();
    return endpoint.reported() && regionLoads.usedShare(region) <= settings.maxRemoteUsedShare();
  }

  private boolean isEligible(RoutedEndpoint endpoint, RouteRequest request) {
    return isAllowed(endpoint, request)
        && ejection.mayTake(endpoint.id(), request.mayProbe())
        && startsNow(endpoint);
  }

  private static boolean isAllowed(RoutedEndpoint endpoint, RouteRequest request) {
    return !endpoint.isLeaving()
        && !request.avoid().contains(endpoint.id())
        && request.mayUseRegion().test(endpoint.site().region());
  }

  private boolean startsNow(RoutedEndpoint endpoint) {
    return endpoint.startShare() >= 1 || random.nextDouble() < endpoint.startShare();
  }

  private double jittered(double score) {
    return score * (1 + settings.jitterShare() * random.nextDouble());
  }

  private void takeBest(List<EndpointId> chosen, int room) {
    while (chosen.size() < room) {
      int best = indexOfBest();
      if (best < 0) {
        return;
      }
      chosen.add(endpoints.get(best).id());
      scores[best] = NO_SCORE;
    }
  }

  private int indexOfBest() {
    int best = -1;
    for (int i = 0; i < scores.length; i++) {
      if (scores[i] < NO_SCORE && (best < 0 || scores[i] < scores[best])) {
        best = i;
      }
    }
    return best;
  }
}
