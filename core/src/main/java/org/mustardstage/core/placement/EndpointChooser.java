package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.RegionId;

/**
 * Chooses the endpoint with the lowest cost for a request.
 *
 * <p>Handles endpoints with caches in regions that differ in load and distance: the cost is the
 * expected time to a response, which includes the wait for a slot, the network round trip and the
 * service time with a warm or cold cache, plus penalties for distance, failures and late responses.
 */
final class EndpointChooser {
  /** Factor on the expected service time that most requests stay within. */
  private static final double SERVICE_TIME_MARGIN = 1.1;

  /** Cost of each rank in the rendezvous order of a key, as a share of the service time. */
  private static final double RANK_COST = 0.5;

  /** Cost of a response after the latency objective, as a share of the objective. */
  private static final double LATE_COST = 0.5;

  /** Free slots of an endpoint that tenants above their share leave to others, as a share. */
  private static final double RESERVED_SLOTS_SHARE = 0.25;

  private static final double NANOS_PER_MILLI = 1e6;

  private final RoundTripEstimates roundTrips;
  private final RegionShiftLimiter regionShiftLimiter;
  private final EndpointLimits endpointLimits;
  private final ServiceEstimates estimates;
  private final RendezvousOrder rendezvousOrder;
  private PlacementSettings settings;
  private ImmutableList<EndpointState> usableEndpoints = ImmutableList.of();
  private Predicate<RegisteredEndpoint> coldEndpointFilter = endpoint -> true;

  EndpointChooser(
      PlacementSettings settings,
      RoundTripEstimates roundTrips,
      RegionShiftLimiter regionShiftLimiter,
      EndpointLimits endpointLimits,
      ServiceEstimates estimates) {
    this.settings = settings;
    this.roundTrips = roundTrips;
    this.regionShiftLimiter = regionShiftLimiter;
    this.endpointLimits = endpointLimits;
    this.estimates = estimates;
    this.rendezvousOrder = new RendezvousOrder(roundTrips);
  }

  void setSettings(PlacementSettings newSettings) {
    settings = newSettings;
  }

  /** Sets which cold endpoints may be chosen. */
  void setColdEndpointFilter(Predicate<RegisteredEndpoint> filter) {
    coldEndpointFilter = filter;
  }

  /** Replaces the endpoints that may be chosen. */
  void setEndpoints(ImmutableList<EndpointState> endpoints) {
    usableEndpoints = endpoints;
    rendezvousOrder.setEndpoints(endpoints);
  }

  /**
   * The best candidates for a request.
   *
   * @param best the cheapest candidate that the limit on region shifts allows
   * @param bestFree the cheapest of those that also have a free slot
   */
  record Choice(Optional<Candidate> best, Optional<Candidate> bestFree) {
    Optional<Candidate> placeableNow() {
      return best.filter(Candidate::hasFreeSlot);
    }
  }

  /**
   * Returns the best candidates for a request. In each region, an affinity key stays at its
   * highest-ranked endpoint, because a request for a cold key takes several times as long and
   * evicts warm keys. The next endpoint of the region is considered only while the first may not be
   * used.
   */
  Choice choose(
      long nowNanos, SchedulerRequest request, boolean aboveShare, double queueWaitNanos) {
    List<Candidate> candidates = candidates(nowNanos, request, aboveShare, queueWaitNanos);
    Optional<Candidate> required =
        neglectedCandidate(nowNanos, request, aboveShare, queueWaitNanos)
            .or(() -> requiredRegionCandidate(nowNanos, request, candidates));
    if (required.isPresent()) {
      return new Choice(required, required);
    }
    boolean hasOwnRegionCandidate = candidates.stream().anyMatch(c -> c.otherRegion().isEmpty());
    Predicate<Candidate> allowed =
        c ->
            !hasOwnRegionCandidate
                || c.otherRegion()
                    .map(other -> regionShiftLimiter.allows(nowNanos, other))
                    .orElse(true);
    return new Choice(
        cheapest(candidates, allowed), cheapest(candidates, allowed.and(Candidate::hasFreeSlot)));
  }

  /**
   * Returns an endpoint with a limit that only this VM may send to and that no request has chosen
   * for some time, if it has a free slot and is expected to meet the objective.
   */
  private Optional<Candidate> neglectedCandidate(
      long nowNanos, SchedulerRequest request, boolean aboveShare, double queueWaitNanos) {
    if (endpointLimits.areNoneInForce()) {
      return Optional.empty();
    }
    return usableEndpoints.stream()
        .filter(state -> endpointLimits.isNeglected(nowNanos, state.endpoint()))
        .filter(state -> isEligible(nowNanos, request, state))
        .map(state -> candidate(nowNanos, request, aboveShare, state, Rank.FIRST, queueWaitNanos))
        .filter(Candidate::hasFreeSlot)
        .filter(c -> nowNanos + c.responseNanos() <= request.objectiveDeadlineNanos())
        .findFirst();
  }

  /**
   * Returns a candidate in the region that must receive the next request to keep the limit on
   * region shifts, if it has a free slot and meets the objective even when the key is cold there.
   */
  private Optional<Candidate> requiredRegionCandidate(
      long nowNanos, SchedulerRequest request, List<Candidate> candidates) {
    Optional<RegionId> required = regionShiftLimiter.requiredRegion(nowNanos);
    if (required.isEmpty()) {
      return Optional.empty();
    }
    return cheapest(
        candidates,
        c ->
            c.otherRegion().equals(required)
                && c.hasFreeSlot()
                && nowNanos + c.coldResponseNanos() <= request.objectiveDeadlineNanos());
  }

  private static Optional<Candidate> cheapest(
      List<Candidate> candidates, Predicate<Candidate> predicate) {
    return candidates.stream().filter(predicate).min(Comparator.comparingDouble(Candidate::cost));
  }

  /**
   * Returns the highest-ranked eligible endpoint of each region, or all eligible endpoints if the
   * request has no affinity key.
   */
  private List<Candidate> candidates(
      long nowNanos, SchedulerRequest request, boolean aboveShare, double queueWaitNanos) {
    List<Candidate> candidates = new ArrayList<>();
    if (request.affinityKey().isEmpty()) {
      for (EndpointState state : usableEndpoints) {
        if (isEligible(nowNanos, request, state)) {
          candidates.add(
              candidate(nowNanos, request, aboveShare, state, Rank.FIRST, queueWaitNanos));
        }
      }
      return candidates;
    }
    ImmutableList<ImmutableList<EndpointState>> orders =
        rendezvousOrder.rankByRegion(request.affinityKey().get());
    int remoteRegionRank = 0;
    for (ImmutableList<EndpointState> order : orders) {
      boolean inOwnRegion = roundTrips.isInOwnRegion(order.getFirst());
      for (int endpointRank = 0; endpointRank < order.size(); endpointRank++) {
        EndpointState state = order.get(endpointRank);
        if (isEligible(nowNanos, request, state)) {
          candidates.add(
              candidate(
                  nowNanos,
                  request,
                  aboveShare,
                  state,
                  new Rank(endpointRank, inOwnRegion ? 0 : remoteRegionRank),
                  queueWaitNanos));
          break;
        }
      }
      remoteRegionRank += inOwnRegion ? 0 : 1;
    }
    return candidates;
  }

  private boolean isEligible(long nowNanos, SchedulerRequest request, EndpointState state) {
    if (request.excludedEndpoints().contains(state.endpoint().id())
        || !state.acceptsRequests(nowNanos)
        || !endpointLimits.allowsRequest(nowNanos, state.endpoint())) {
      return false;
    }
    if (!request.allowsRegion(roundTrips.regionOf(state))) {
      return false;
    }
    return !state.isCold(nowNanos)
        || (coldEndpointFilter.test(state.endpoint()) && state.allowsColdRequest(nowNanos));
  }

  private Candidate candidate(
      long nowNanos,
      SchedulerRequest request,
      boolean aboveShare,
      EndpointState state,
      Rank rank,
      double queueWaitNanos) {
    double warmProbability = warmProbability(nowNanos, request, state, rank);
    double serviceTimeNanos =
        estimates.serviceTimeNanos(request.rule(), warmProbability) * state.slowness(nowNanos);
    long roundTripNanos = roundTrips.roundTripNanos(state.endpoint().zone());
    double freeSlots = state.freeSlots(nowNanos);
    double neededSlots = 1 + (aboveShare ? RESERVED_SLOTS_SHARE * state.slots() : 0);
    double slotWaitNanos =
        (neededSlots - freeSlots)
            * Math.max(serviceTimeNanos, estimates.meanServiceTimeNanos())
            / state.slots();
    double waitNanos = freeSlots >= neededSlots ? 0 : slotWaitNanos + queueWaitNanos;
    double responseNanos = roundTripNanos + serviceTimeNanos * SERVICE_TIME_MARGIN;
    double coldResponseNanos =
        warmProbability == 1
            ? responseNanos
            : roundTripNanos
                + estimates.serviceTimeNanos(request.rule(), 0)
                    * state.slowness(nowNanos)
                    * SERVICE_TIME_MARGIN;
    double finishNanos = nowNanos + waitNanos + responseNanos;
    double objectiveNanos = request.rule().latencyObjectiveMillis() * NANOS_PER_MILLI;
    double cost =
        waitNanos
            + roundTripNanos
            + serviceTimeNanos
            + distanceCost(state)
            + (rank.endpointRank() + rank.remoteRegionRank()) * RANK_COST * serviceTimeNanos
            + state.circuitBreaker().failureRate() * objectiveNanos
            + (finishNanos > request.objectiveDeadlineNanos() ? LATE_COST * objectiveNanos : 0);
    return new Candidate(
        state,
        otherRegionOf(state),
        warmProbability,
        waitNanos,
        responseNanos,
        coldResponseNanos,
        cost);
  }

  private double warmProbability(
      long nowNanos, SchedulerRequest request, EndpointState state, Rank rank) {
    if (request.affinityKey().isEmpty()
        || state.warmKeys().contains(nowNanos, request.affinityKey().get())) {
      return 1;
    }
    boolean othersMayHaveWarmedKey = rank.endpointRank() == 0 && state.hasFilledCache(nowNanos);
    return othersMayHaveWarmedKey ? estimates.warmProbability(roundTrips.regionOf(state)) : 0;
  }

  private Optional<RegionId> otherRegionOf(EndpointState state) {
    return roundTrips.isInOwnRegion(state)
        ? Optional.empty()
        : Optional.of(roundTrips.regionOf(state));
  }

  private double distanceCost(EndpointState state) {
    return switch (roundTrips.proximityOf(state.endpoint().zone())) {
      case OWN_ZONE -> 0;
      case OWN_REGION -> settings.otherZonePenaltyNanos();
      case OTHER_REGION -> settings.otherRegionPenaltyNanos();
    };
  }

  /**
   * The rank of an endpoint in the rendezvous order of an affinity key.
   *
   * @param endpointRank the rank among the endpoints of its region, from 0; the first one handles
   *     the key for the callers of the region, so the key is probably warm there
   * @param remoteRegionRank the number of other regions that are preferred to this one, so that the
   *     key is warmed up in as few regions as possible; 0 for the own region
   */
  private record Rank(int endpointRank, int remoteRegionRank) {
    private static final Rank FIRST = new Rank(0, 0);
  }
}
