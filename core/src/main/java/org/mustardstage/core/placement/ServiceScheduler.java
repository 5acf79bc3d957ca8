package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.mustardstage.core.fairness.TenantShares;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.ServiceSpec;
import org.mustardstage.core.hedge.SlotUse;
import org.mustardstage.core.id.EndpointId;

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
  /**
   * Number of queued requests for which one pass looks for a slot; those behind them are only
   * rejected when they are overdue.
   */
  private static final int MAX_EXAMINED_REQUESTS = 64;

  private static final long MIN_RETRY_AFTER_MILLIS = 80;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Lower end of the jitter that spreads the retries of callers rejected at the same time. */
  private static final double MIN_RETRY_SPREAD = 0.75;

  private final Comparator<SchedulerRequest> byPriority =
      Comparator.<SchedulerRequest>comparingInt(SchedulerRequest::priority)
          .thenComparing(this::isAboveShare)
          .thenComparingLong(SchedulerRequest::objectiveDeadlineNanos)
          .thenComparingLong(SchedulerRequest::id);

  private static final Comparator<EndpointState> BY_ID =
      Comparator.comparing(state -> state.endpoint().id());

  private final RoundTripEstimates roundTrips;
  private final RegionShiftLimiter regionShiftLimiter;
  private final EndpointLimits endpointLimits;
  private final ServiceEstimates estimates;
  private final EndpointChooser chooser;
  private final Map<EndpointId, EndpointState> endpoints = new HashMap<>();
  private final NavigableSet<SchedulerRequest> queue = new TreeSet<>(byPriority);
  private final TenantShares tenantShares = new TenantShares();

  /** The ids of queued requests whose tenants ask for more than their share. */
  private final Set<Long> aboveShare = new HashSet<>();

  private final QueueWaitEstimate queueWaitEstimate = new QueueWaitEstimate();
  private PlacementSettings settings;
  private ServiceSpec spec;
  private ImmutableList<EndpointState> usableEndpoints = ImmutableList.of();
  private int ownRegionSlots;

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
    this.estimates = new ServiceEstimates(roundTrips);
    this.chooser =
        new EndpointChooser(settings, roundTrips, regionShiftLimiter, endpointLimits, estimates);
  }

  /** Replaces the settings. */
  public void setSettings(PlacementSettings newSettings) {
    settings = newSettings;
    chooser.setSettings(newSettings);
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
    chooser.setColdEndpointFilter(filter);
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
      if (state != null && state.endpoint().isSameIncarnationAs(endpoint)) {
        state.update(endpoint);
      } else {
        state = new EndpointState(endpoint, nowNanos);
      }
      state.setColdUntil(nowNanos, each.coldUntilNanos(), spec.coldRequestsPerSecond());
      newStates.put(endpoint.id(), state);
    }
    if (warmSlotsInOwnRegion(nowNanos, newStates.values()) < previousSlots) {
      regionShiftLimiter.allowFailover(nowNanos);
    }
    endpoints.clear();
    endpoints.putAll(newStates);
    usableEndpoints = ImmutableList.sortedCopyOf(BY_ID, newStates.values());
    ownRegionSlots =
        usableEndpoints.stream()
            .filter(roundTrips::isInOwnRegion)
            .mapToInt(EndpointState::slots)
            .sum();
    chooser.setEndpoints(usableEndpoints);
  }

  private int warmSlotsInOwnRegion(long nowNanos, Collection<EndpointState> states) {
    return states.stream()
        .filter(state -> roundTrips.isInOwnRegion(state) && !state.isCold(nowNanos))
        .mapToInt(EndpointState::slots)
        .sum();
  }

  /**
   * Places or rejects a new request, or queues it until a slot is free.
   *
   * @return the decision, or empty if the request is queued and {@link #processQueue} decides
   */
  public Optional<PlacementDecision> placeOrEnqueue(long nowNanos, SchedulerRequest request) {
    request
        .tenant()
        .filter(tenant -> tenantShares.recordRequest(tenant.name()))
        .ifPresent(tenant -> aboveShare.add(request.id()));
    Optional<PlacementDecision> decision = decideNew(nowNanos, request);
    if (decision.isPresent()) {
      aboveShare.remove(request.id());
    }
    return decision;
  }

  /**
   * Places a second attempt of a request at once on a free slot, in time for the deadline; returns
   * empty if that is not possible.
   */
  public Optional<PlacementDecision.Placed> placeHedge(long nowNanos, SchedulerRequest request) {
    return chooser
        .choose(nowNanos, request, /* aboveShare= */ false, /* queueWaitNanos= */ 0)
        .placeableNow()
        .filter(candidate -> nowNanos + candidate.responseNanos() <= request.deadlineNanos())
        .map(candidate -> place(nowNanos, request, candidate));
  }

  /** Returns how busy the endpoints of the own region are, which requests use before others. */
  public SlotUse slotUse(long nowNanos) {
    double free =
        usableEndpoints.stream()
            .filter(roundTrips::isInOwnRegion)
            .mapToDouble(state -> Math.max(0, state.freeSlots(nowNanos)))
            .sum();
    return new SlotUse(ownRegionSlots, (int) Math.ceil(ownRegionSlots - free), queue.size());
  }

  private boolean isAboveShare(SchedulerRequest request) {
    return aboveShare.contains(request.id());
  }

  private Optional<PlacementDecision> decideNew(long nowNanos, SchedulerRequest request) {
    if (usableEndpoints.isEmpty()) {
      return Optional.of(reject(nowNanos, request, RejectionReason.NO_ENDPOINT));
    }
    EndpointChooser.Choice choice =
        chooser.choose(nowNanos, request, isAboveShare(request), queueWaitNanos(nowNanos, request));
    if (choice.placeableNow().isPresent()) {
      return Optional.of(place(nowNanos, request, choice.placeableNow().get()));
    }
    if (choice.best().isEmpty()) {
      return Optional.of(reject(nowNanos, request, RejectionReason.NO_ENDPOINT));
    }
    Candidate best = choice.best().get();
    if (nowNanos + best.waitNanos() + best.responseNanos() > request.holdDeadlineNanos()) {
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
            * estimates.meanServiceTimeNanos()
            / Math.max(1, slotsInOwnRegion(request));
    return Math.max(aheadNanos, queueWaitEstimate.estimateNanos(nowNanos));
  }

  private int slotsInOwnRegion(SchedulerRequest request) {
    return request.allowsRegion(roundTrips.ownRegion()) ? ownRegionSlots : 0;
  }

  /** Removes a request whose caller has left; returns whether it was queued. */
  public boolean cancel(SchedulerRequest request) {
    boolean wasQueued = queue.remove(request);
    aboveShare.remove(request.id());
    return wasQueued;
  }

  /**
   * Frees the slot of a placed request and updates the estimates from the result of the attempt. A
   * result of an earlier incarnation changes nothing of the endpoint.
   */
  public void release(long nowNanos, PlacementDecision.Placed placed, AttemptResult result) {
    EndpointState state = endpoints.get(placed.endpoint().id());
    result.connectNanos().ifPresent(nanos -> roundTrips.addSample(placed.endpoint().zone(), nanos));
    if (state == null || !state.endpoint().isSameIncarnationAs(placed.endpoint())) {
      return;
    }
    state.recordFinished(placed.request().id());
    int slotsBefore = state.slots();
    result
        .loadReport()
        .ifPresent(
            report -> state.recordLoadReport(nowNanos, report, estimates.meanServiceTimeNanos()));
    ownRegionSlots += roundTrips.isInOwnRegion(state) ? state.slots() - slotsBefore : 0;
    if (result.status() == AttemptResult.Status.ANSWERED) {
      estimates.recordResponse(nowNanos, placed, state, result);
    } else if (result.status() == AttemptResult.Status.SILENT
        || result.status() == AttemptResult.Status.OVERTAKEN) {
      state.recordServiceTime(
          nowNanos, (double) result.elapsedNanos(), (double) placed.expectedResponseNanos());
    }
    boolean accepted = state.acceptsRequests(nowNanos);
    boolean recovered = state.circuitBreaker().recordResult(nowNanos, result.status());
    state.recordNotice(nowNanos, result.notice());
    if (accepted && roundTrips.isInOwnRegion(state) && !state.acceptsRequests(nowNanos)) {
      regionShiftLimiter.allowFailover(nowNanos);
    }
    if (recovered) {
      state.assumeCold(
          nowNanos,
          nowNanos + (long) (spec.coldDurationMillis() * NANOS_PER_MILLI),
          spec.coldRequestsPerSecond());
    }
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
    for (Iterator<SchedulerRequest> requests = queue.iterator(); requests.hasNext(); ) {
      SchedulerRequest request = requests.next();
      Optional<PlacementDecision> decision =
          examined < MAX_EXAMINED_REQUESTS
              ? decideQueued(nowNanos, request)
              : rejectOverdue(nowNanos, request);
      examined++;
      if (decision.isPresent()) {
        requests.remove();
        aboveShare.remove(request.id());
        decisions.add(decision.get());
      }
    }
    return decisions;
  }

  /**
   * Rejects all queued requests, as this scheduler will be removed. Callers may retry at once: the
   * configuration that removed the service routes them elsewhere.
   */
  public ImmutableList<PlacementDecision> rejectQueued(RejectionReason reason) {
    ImmutableList<PlacementDecision> decisions =
        queue.stream()
            .map(request -> new PlacementDecision.Rejected(request, reason, 0))
            .collect(ImmutableList.toImmutableList());
    queue.clear();
    aboveShare.clear();
    return decisions;
  }

  private Optional<PlacementDecision> rejectOverdue(long nowNanos, SchedulerRequest request) {
    return nowNanos - request.holdDeadlineNanos() >= 0
        ? Optional.of(reject(nowNanos, request, RejectionReason.NO_SLOT_IN_TIME))
        : Optional.empty();
  }

  private Optional<PlacementDecision> decideQueued(long nowNanos, SchedulerRequest request) {
    EndpointChooser.Choice choice = chooser.choose(nowNanos, request, isAboveShare(request), 0);
    if (choice.placeableNow().isPresent()) {
      queueWaitEstimate.addSample(nowNanos, nowNanos - request.arrivalNanos());
      return Optional.of(place(nowNanos, request, choice.placeableNow().get()));
    }
    if (choice.best().isEmpty()) {
      return Optional.of(reject(nowNanos, request, RejectionReason.NO_ENDPOINT));
    }
    if (nowNanos + choice.best().get().responseNanos() > request.holdDeadlineNanos()) {
      return Optional.of(placeLateOrReject(nowNanos, request, choice));
    }
    return Optional.empty();
  }

  /**
   * Places a request that will miss its objective if a slot is free, and rejects it otherwise. A
   * late response is better than none, but not worth a slot that another request could use.
   */
  private PlacementDecision placeLateOrReject(
      long nowNanos, SchedulerRequest request, EndpointChooser.Choice choice) {
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

  private PlacementDecision.Placed place(
      long nowNanos, SchedulerRequest request, Candidate candidate) {
    EndpointState state = candidate.state();
    state.recordSent(nowNanos, request.id());
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
            .filter(state -> request.allowsRegion(roundTrips.regionOf(state)))
            .mapToLong(state -> Math.max(0, state.restUntilNanos() - nowNanos))
            .min()
            .orElse(0);
    return (long) Math.ceil(restNanos / NANOS_PER_MILLI);
  }

  /**
   * Returns the delay after which a rejected caller should retry, which is the estimated time to
   * serve the current queue, with jitter.
   */
  public long retryAfterMillis(long nowNanos, SchedulerRequest request) {
    double queueWaitNanos =
        (queue.size() + 1)
            * settings.schedulerCount()
            * estimates.meanServiceTimeNanos()
            / Math.max(1, slotsInOwnRegion(request));
    double spread = MIN_RETRY_SPREAD + jitter(request);
    double millis =
        (estimates.meanServiceTimeNanos() / 2 + queueWaitNanos) * spread / NANOS_PER_MILLI;
    return (long) Math.clamp(millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  /** Returns a pseudorandom number from 0 to 0.5 that depends on the id of the request. */
  private static double jitter(SchedulerRequest request) {
    double mixed = (double) ((request.id() * 0x9E3779B97F4A7C15L) >>> 40);
    return mixed / (1 << 25);
  }
}
