package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.ServiceSpec;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.route.Proximity;

/**
 * Places the requests of one service on its endpoints.
 *
 * <p>Handles demand that rises above the number of slots at different times in different regions,
 * and endpoints with caches, where a request runs much faster if the endpoint recently handled the
 * same affinity key. Each request goes to the endpoint with the lowest expected time to a response,
 * which includes the wait for a slot, the network round trip and the service time with a warm or
 * cold cache. Rendezvous hashing gives each affinity key a fixed order of endpoints, so that each
 * endpoint handles few keys. When all slots are in use, requests are queued here in order of
 * priority, but only as long as a response can still meet the latency objective; the others are
 * rejected immediately.
 */
public final class ServiceScheduler {
  /** Factor on the expected service time that most requests stay within. */
  private static final double SERVICE_TIME_MARGIN = 1.1;

  /** Cost of each rank in the rendezvous order of a key, as a share of the service time. */
  private static final double RANK_COST = 0.5;

  /** Cost of a response after the latency objective, as a share of the objective. */
  private static final double LATE_COST = 0.5;

  /** Number of queued requests that one pass examines; those behind them get no slot in it. */
  private static final int MAX_EXAMINED_REQUESTS = 64;

  private static final long MIN_RETRY_AFTER_MILLIS = 80;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Lower end of the jitter that spreads the retries of callers rejected at the same time. */
  private static final double MIN_RETRY_SPREAD = 0.75;

  private static final Comparator<SchedulerRequest> BY_PRIORITY =
      Comparator.<SchedulerRequest>comparingInt(SchedulerRequest::priority)
          .thenComparingLong(SchedulerRequest::objectiveDeadlineNanos)
          .thenComparingLong(SchedulerRequest::id);

  private static final Comparator<EndpointState> BY_ID =
      Comparator.comparing(state -> state.endpoint().id());

  private final RoundTripEstimates roundTrips;
  private final RegionShiftLimiter regionShiftLimiter;
  private final EndpointLimits endpointLimits;
  private final ServiceTimeEstimates serviceTimes = new ServiceTimeEstimates();
  private final WarmProbability warmProbabilityByRegion = new WarmProbability();
  private final Map<EndpointId, EndpointState> endpoints = new HashMap<>();
  private final NavigableSet<SchedulerRequest> queue = new TreeSet<>(BY_PRIORITY);
  private final RendezvousOrder rendezvousOrder;
  private final QueueWaitEstimate queueWaitEstimate = new QueueWaitEstimate();
  private PlacementSettings settings;
  private ServiceSpec spec;
  private ImmutableList<EndpointState> usableEndpoints = ImmutableList.of();
  private int ownRegionSlots;
  private Predicate<RegisteredEndpoint> coldEndpointFilter = endpoint -> true;
  private double meanServiceTimeNanos;

  /**
   * Creates a scheduler without endpoints.
   *
   * @param regionShiftLimiter the limiter that all schedulers of a VM share
   * @param endpointLimits the limits of endpoints, which all schedulers of a VM share
   */
  public ServiceScheduler(
      ServiceSpec spec,
      PlacementSettings settings,
      RoundTripEstimates roundTrips,
      RegionShiftLimiter regionShiftLimiter,
      EndpointLimits endpointLimits) {
    this.spec = spec;
    this.settings = settings;
    this.roundTrips = roundTrips;
    this.regionShiftLimiter = regionShiftLimiter;
    this.endpointLimits = endpointLimits;
    this.rendezvousOrder = new RendezvousOrder(roundTrips);
  }

  /** Replaces the settings. */
  public void setSettings(PlacementSettings newSettings) {
    settings = newSettings;
  }

  /** Replaces the declaration of the service. */
  public void setSpec(ServiceSpec newSpec) {
    spec = newSpec;
  }

  /**
   * Sets which cold endpoints this scheduler may send requests to. For each cold endpoint, only one
   * of the schedulers that share it should.
   */
  public void setColdEndpointFilter(Predicate<RegisteredEndpoint> filter) {
    coldEndpointFilter = filter;
  }

  /**
   * Replaces the endpoints that may receive new requests. Suspends the limit on region shifts when
   * the own region loses warm slots.
   */
  public void setEndpoints(long nowNanos, Collection<UsableEndpoint> newEndpoints) {
    int previousSlots = warmSlotsInOwnRegion(nowNanos, endpoints.values());
    Map<EndpointId, EndpointState> newStates = new HashMap<>();
    for (UsableEndpoint each : newEndpoints) {
      RegisteredEndpoint endpoint = each.endpoint();
      EndpointState state = endpoints.get(endpoint.id());
      if (state == null) {
        state = new EndpointState(endpoint, nowNanos);
      } else {
        state.update(endpoint, nowNanos);
      }
      if (each.coldUntilNanos() - nowNanos > 0) {
        state.markCold(nowNanos, each.coldUntilNanos(), spec.coldRequestsPerSecond());
      }
      newStates.put(endpoint.id(), state);
    }
    if (warmSlotsInOwnRegion(nowNanos, newStates.values()) < previousSlots) {
      regionShiftLimiter.allowFailover(nowNanos);
    }
    endpoints.clear();
    endpoints.putAll(newStates);
    usableEndpoints = ImmutableList.sortedCopyOf(BY_ID, newStates.values());
    ownRegionSlots =
        usableEndpoints.stream().filter(this::isInOwnRegion).mapToInt(EndpointState::slots).sum();
    rendezvousOrder.setEndpoints(usableEndpoints);
  }

  private int warmSlotsInOwnRegion(long nowNanos, Collection<EndpointState> states) {
    return states.stream()
        .filter(state -> isInOwnRegion(state) && !state.isCold(nowNanos))
        .mapToInt(EndpointState::slots)
        .sum();
  }

  /**
   * Places or rejects a new request, or queues it until a slot is free.
   *
   * @return the decision, or empty if the request is queued and {@link #processQueue} decides
   */
  public Optional<PlacementDecision> placeOrEnqueue(long nowNanos, SchedulerRequest request) {
    if (usableEndpoints.isEmpty()) {
      return Optional.of(reject(nowNanos, request, RejectionReason.NO_ENDPOINT));
    }
    Choice choice = choose(nowNanos, request, queueWaitNanos(nowNanos, request));
    if (choice.placeableNow().isPresent()) {
      return Optional.of(place(nowNanos, request, choice.placeableNow().get()));
    }
    if (choice.best().isEmpty()) {
      return Optional.of(reject(nowNanos, request, RejectionReason.NO_ENDPOINT));
    }
    Candidate best = choice.best().get();
    if (nowNanos + best.waitNanos() + best.responseNanos() > request.objectiveDeadlineNanos()) {
      return Optional.of(placeLateOrReject(nowNanos, request, choice));
    }
    queue.add(request);
    return Optional.empty();
  }

  /**
   * Estimates the time that the requests ahead of {@code request} delay it, beyond the wait for one
   * slot. Assumes as many requests ahead at each scheduler that shares the endpoints, and returns
   * at least the recent average wait.
   */
  private double queueWaitNanos(long nowNanos, SchedulerRequest request) {
    int ahead = queue.headSet(request).size();
    double aheadNanos =
        ahead
            * settings.schedulerCount()
            * meanServiceTimeNanos
            / Math.max(1, slotsInOwnRegion(request));
    return Math.max(aheadNanos, queueWaitEstimate.estimateNanos(nowNanos));
  }

  private int slotsInOwnRegion(SchedulerRequest request) {
    return request.allowsRegion(roundTrips.ownRegion()) ? ownRegionSlots : 0;
  }

  private boolean isInOwnRegion(EndpointState state) {
    return roundTrips.proximityOf(state.endpoint().zone()) != Proximity.OTHER_REGION;
  }

  /** Removes a request whose caller has left; returns whether it was queued. */
  public boolean cancel(SchedulerRequest request) {
    return queue.remove(request);
  }

  /**
   * Frees the slot of a placed request and updates the estimates from the result of the attempt.
   */
  public void release(long nowNanos, PlacementDecision.Placed placed, AttemptResult result) {
    EndpointState state = endpoints.get(placed.endpoint().id());
    result.connectNanos().ifPresent(nanos -> roundTrips.addSample(placed.endpoint().zone(), nanos));
    if (state == null || !state.endpoint().isSameIncarnationAs(placed.endpoint())) {
      return;
    }
    state.recordFinished();
    int slotsBefore = state.slots();
    result
        .loadReport()
        .ifPresent(report -> state.recordLoadReport(nowNanos, report, meanServiceTimeNanos));
    ownRegionSlots += isInOwnRegion(state) ? state.slots() - slotsBefore : 0;
    if (result.status() == AttemptResult.Status.ANSWERED) {
      updateEstimates(nowNanos, placed, state, result);
    } else if (result.status() == AttemptResult.Status.SILENT) {
      state.recordServiceTime(
          (double) result.elapsedNanos(), (double) placed.expectedResponseNanos());
    }
    boolean accepted = state.acceptsRequests(nowNanos);
    boolean recovered = state.circuitBreaker().recordResult(nowNanos, result.status());
    state.recordNotice(nowNanos, result.notice());
    if (accepted && isInOwnRegion(state) && !state.acceptsRequests(nowNanos)) {
      regionShiftLimiter.allowFailover(nowNanos);
    }
    if (recovered) {
      state.markCold(
          nowNanos,
          nowNanos + (long) (spec.coldDurationMillis() * NANOS_PER_MILLI),
          spec.coldRequestsPerSecond());
    }
  }

  /**
   * Updates the estimates from a response. If requests are queued at the endpoint, only records the
   * key as warm, because the elapsed time then includes an unknown time in that queue.
   */
  private void updateEstimates(
      long nowNanos, PlacementDecision.Placed placed, EndpointState state, AttemptResult result) {
    long roundTripNanos = roundTrips.roundTripNanos(state.endpoint().zone());
    long serviceTimeNanos = Math.max(1, result.elapsedNanos() - roundTripNanos);
    SchedulerRequest request = placed.request();
    request.affinityKey().ifPresent(key -> state.warmKeys().recordRequest(nowNanos, key));
    if (result.loadReport().filter(report -> report.queued() > 0).isPresent()) {
      return;
    }
    if (!state.isCold(nowNanos)) {
      boolean ranWarm =
          serviceTimes.addSample(
              request.rule(),
              placed.warmProbability() >= 0.5,
              (long) (serviceTimeNanos / state.slowness()));
      if (placed.warmProbability() < 1) {
        warmProbabilityByRegion.addSample(regionOf(state), ranWarm);
      }
      meanServiceTimeNanos =
          meanServiceTimeNanos == 0
              ? serviceTimeNanos
              : meanServiceTimeNanos + 0.05 * (serviceTimeNanos - meanServiceTimeNanos);
    }
    state.recordServiceTime(
        (double) serviceTimeNanos,
        serviceTimes.expectedNanos(request.rule(), placed.warmProbability()) * state.slowness());
    request.affinityKey().ifPresent(key -> state.warmKeys().recordRequest(nowNanos, key));
  }

  /**
   * Closes the circuits of all endpoints, as their failures were those of this VM's own links. The
   * endpoints have not restarted, so they aren't cold.
   */
  public void resetCircuits() {
    endpoints.values().forEach(state -> state.circuitBreaker().reset());
  }

  /** Places queued requests on free slots, and rejects those that waited too long. */
  public List<PlacementDecision> processQueue(long nowNanos) {
    List<PlacementDecision> decisions = new ArrayList<>();
    int examined = 0;
    for (Iterator<SchedulerRequest> requests = queue.iterator();
        requests.hasNext() && examined < MAX_EXAMINED_REQUESTS; ) {
      SchedulerRequest request = requests.next();
      examined++;
      Optional<PlacementDecision> decision = decideQueued(nowNanos, request);
      if (decision.isPresent()) {
        requests.remove();
        decisions.add(decision.get());
      }
    }
    return decisions;
  }

  private Optional<PlacementDecision> decideQueued(long nowNanos, SchedulerRequest request) {
    Choice choice = choose(nowNanos, request, 0);
    if (choice.placeableNow().isPresent()) {
      queueWaitEstimate.addSample(nowNanos, nowNanos - request.arrivalNanos());
      return Optional.of(place(nowNanos, request, choice.placeableNow().get()));
    }
    if (choice.best().isEmpty()) {
      return Optional.of(reject(nowNanos, request, RejectionReason.NO_ENDPOINT));
    }
    if (nowNanos + choice.best().get().responseNanos() > request.objectiveDeadlineNanos()) {
      return choice
          .bestFree()
          .map(free -> Optional.of(place(nowNanos, request, free)))
          .orElseGet(() -> Optional.of(reject(nowNanos, request, RejectionReason.NO_SLOT_IN_TIME)));
    }
    return Optional.empty();
  }

  /**
   * Places a request that will miss its objective if a slot is free, and rejects it otherwise. A
   * late response is better than none, but not worth a slot that another request could use.
   */
  private PlacementDecision placeLateOrReject(
      long nowNanos, SchedulerRequest request, Choice choice) {
    Optional<Candidate> free =
        choice.bestFree().filter(c -> nowNanos + c.responseNanos() <= request.deadlineNanos());
    return free.isPresent()
        ? place(nowNanos, request, free.get())
        : reject(nowNanos, request, RejectionReason.NO_SLOT_IN_TIME);
  }

  /** Returns the number of queued requests. */
  public int queueLength() {
    return queue.size();
  }

  private PlacementDecision place(long nowNanos, SchedulerRequest request, Candidate candidate) {
    EndpointState state = candidate.state();
    state.recordSent(nowNanos);
    endpointLimits.recordSent(nowNanos, state.endpoint());
    regionShiftLimiter.recordPlacement(nowNanos, candidate.otherRegion());
    if (request.affinityKey().isPresent()) {
      state.warmKeys().recordRequest(nowNanos, request.affinityKey().get());
    }
    return new PlacementDecision.Placed(
        request, state.endpoint(), candidate.warmProbability(), (long) candidate.responseNanos());
  }

  private PlacementDecision reject(
      long nowNanos, SchedulerRequest request, RejectionReason reason) {
    long retryAfterMillis = retryAfterMillis(nowNanos, request);
    if (reason == RejectionReason.NO_ENDPOINT) {
      retryAfterMillis = Math.max(retryAfterMillis, restMillis(nowNanos, request));
    }
    return new PlacementDecision.Rejected(request, reason, retryAfterMillis);
  }

  /**
   * Returns the time until the first endpoint for the request ends its rest, or 0 if an endpoint
   * doesn't rest.
   */
  private long restMillis(long nowNanos, SchedulerRequest request) {
    long restNanos =
        usableEndpoints.stream()
            .filter(state -> request.allowsRegion(regionOf(state)))
            .mapToLong(state -> Math.max(0, state.restUntilNanos() - nowNanos))
            .min()
            .orElse(0);
    return (long) Math.ceil(restNanos / NANOS_PER_MILLI);
  }

  private RegionId regionOf(EndpointState state) {
    return roundTrips.regionOf(state.endpoint().zone());
  }

  /**
   * Returns the delay after which a rejected caller should retry, which is the estimated time to
   * serve the current queue, with jitter.
   */
  public long retryAfterMillis(long nowNanos, SchedulerRequest request) {
    double queueWaitNanos =
        (queue.size() + 1)
            * settings.schedulerCount()
            * meanServiceTimeNanos
            / Math.max(1, slotsInOwnRegion(request));
    double spread = MIN_RETRY_SPREAD + jitter(request);
    double millis = (meanServiceTimeNanos / 2 + queueWaitNanos) * spread / NANOS_PER_MILLI;
    return (long) Math.clamp(millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  /** Returns a pseudorandom number from 0 to 0.5 that depends on the id of the request. */
  private static double jitter(SchedulerRequest request) {
    double mixed = (double) ((request.id() * 0x9E3779B97F4A7C15L) >>> 40);
    return mixed / (1 << 25);
  }

  /**
   * An endpoint that may serve a request, with the expected times and the cost.
   *
   * @param otherRegion the endpoint's region if it is another one than the VM's
   * @param warmProbability the probability, from 0 to 1, that the affinity key is warm there
   * @param waitNanos the expected wait for a slot; 0 if one is free
   * @param responseNanos the expected time to a response once a slot is free
   * @param coldResponseNanos the same if the affinity key turns out to be cold there
   * @param cost the expected time to a response plus penalties; the lowest cost is chosen
   */
  private record Candidate(
      EndpointState state,
      Optional<RegionId> otherRegion,
      double warmProbability,
      double waitNanos,
      double responseNanos,
      double coldResponseNanos,
      double cost) {
    boolean hasFreeSlot() {
      return waitNanos == 0;
    }
  }

  /**
   * The best candidates for a request.
   *
   * @param best the cheapest candidate that the limit on region shifts allows
   * @param bestFree the cheapest of those that also have a free slot
   */
  private record Choice(Optional<Candidate> best, Optional<Candidate> bestFree) {
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
  private Choice choose(long nowNanos, SchedulerRequest request, double queueWaitNanos) {
    List<Candidate> candidates = candidates(nowNanos, request, queueWaitNanos);
    Optional<Candidate> required =
        neglectedCandidate(nowNanos, request, queueWaitNanos)
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
   * for some time, if it has a free slot and meets the objective even when the key is cold there.
   */
  private Optional<Candidate> neglectedCandidate(
      long nowNanos, SchedulerRequest request, double queueWaitNanos) {
    return usableEndpoints.stream()
        .filter(state -> endpointLimits.isNeglected(nowNanos, state.endpoint()))
        .filter(state -> isEligible(nowNanos, request, state))
        .map(state -> candidate(nowNanos, request, state, Rank.FIRST, queueWaitNanos))
        .filter(Candidate::hasFreeSlot)
        .filter(c -> nowNanos + c.coldResponseNanos() <= request.objectiveDeadlineNanos())
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
      long nowNanos, SchedulerRequest request, double queueWaitNanos) {
    List<Candidate> candidates = new ArrayList<>();
    if (request.affinityKey().isEmpty()) {
      for (EndpointState state : usableEndpoints) {
        if (isEligible(nowNanos, request, state)) {
          candidates.add(candidate(nowNanos, request, state, Rank.FIRST, queueWaitNanos));
        }
      }
      return candidates;
    }
    ImmutableList<ImmutableList<EndpointState>> orders =
        rendezvousOrder.rankByRegion(request.affinityKey().get());
    int remoteRegionRank = 0;
    for (ImmutableList<EndpointState> order : orders) {
      boolean inOwnRegion = isInOwnRegion(order.getFirst());
      for (int endpointRank = 0; endpointRank < order.size(); endpointRank++) {
        EndpointState state = order.get(endpointRank);
        if (isEligible(nowNanos, request, state)) {
          candidates.add(
              candidate(
                  nowNanos,
                  request,
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
    if (!request.allowsRegion(regionOf(state))) {
      return false;
    }
    return !state.isCold(nowNanos)
        || (coldEndpointFilter.test(state.endpoint()) && state.allowsColdRequest(nowNanos));
  }

  private Candidate candidate(
      long nowNanos,
      SchedulerRequest request,
      EndpointState state,
      Rank rank,
      double queueWaitNanos) {
    double warmProbability = warmProbability(nowNanos, request, state, rank);
    double serviceTimeNanos =
        serviceTimes.expectedNanos(request.rule(), warmProbability) * state.slowness();
    long roundTripNanos = roundTrips.roundTripNanos(state.endpoint().zone());
    double freeSlots = state.freeSlots(nowNanos);
    double slotWaitNanos =
        (1 - freeSlots) * Math.max(serviceTimeNanos, meanServiceTimeNanos) / state.slots();
    double waitNanos = freeSlots >= 1 ? 0 : slotWaitNanos + queueWaitNanos;
    double responseNanos = roundTripNanos + serviceTimeNanos * SERVICE_TIME_MARGIN;
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
    double coldResponseNanos =
        warmProbability == 1
            ? responseNanos
            : roundTripNanos
                + serviceTimes.expectedNanos(request.rule(), 0)
                    * state.slowness()
                    * SERVICE_TIME_MARGIN;
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
    return othersMayHaveWarmedKey ? warmProbabilityByRegion.inRegion(regionOf(state)) : 0;
  }

  private Optional<RegionId> otherRegionOf(EndpointState state) {
    return isInOwnRegion(state) ? Optional.empty() : Optional.of(regionOf(state));
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
