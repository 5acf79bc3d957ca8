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
 * <p>Answers the load in which demand swings above the slots, region by region, and in which an
 * endpoint that lately handled an object needs much less time for it. Each request goes where its
 * answer is expected first, counting the wait for a slot, the way, the work and what the endpoint
 * holds warm. Objects have a fixed order of endpoints, so that each endpoint sees few of them. When
 * all slots are taken, requests wait here, the urgent ones first, and no longer than leaves time to
 * answer within the objective; the others are turned away at once.
 */
public final class ServiceScheduler {
  /** How much longer than expected the work of most requests takes. */
  private static final double WORK_MARGIN = 1.1;

  /** What each place in an object's order of endpoints costs, as a share of the work. */
  private static final double ORDER_COST = 0.5;

  /** What an answer after the objective costs, as a share of the objective. */
  private static final double LATE_COST = 0.5;

  /** Requests that wait are looked at in order; those far behind get no slot in this round. */
  private static final int MAX_LOOKED_AT = 64;

  private static final long MIN_RETRY_AFTER_MILLIS = 80;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Callers that are turned away together come back spread around the time worked out. */
  private static final double SPREAD_FROM = 0.75;

  private static final Comparator<SchedulerRequest> URGENT_FIRST =
      Comparator.<SchedulerRequest>comparingInt(ask -> ask.rule().priority())
          .thenComparingLong(SchedulerRequest::objectiveDeadlineNanos)
          .thenComparingLong(SchedulerRequest::id);

  private static final Comparator<EndpointUse> BY_ID =
      Comparator.comparing(use -> use.endpoint().id());

  private final RoundTripEstimates roundTrips;
  private final RegionShiftLimiter regionShares;
  private final WorkTimes workTimes = new WorkTimes();
  private final WarmOdds warmOdds = new WarmOdds();
  private final Map<EndpointId, EndpointUse> endpoints = new HashMap<>();
  private final NavigableSet<SchedulerRequest> waiting = new TreeSet<>(URGENT_FIRST);
  private final ObjectOrders orders;
  private final RecentWaits recentWaits = new RecentWaits();
  private PlacementSettings settings;
  private ServiceSpec spec;
  private ImmutableList<EndpointUse> usable = ImmutableList.of();
  private Predicate<RegisteredEndpoint> coldInCharge = endpoint -> true;
  private double meanWorkNanos;

  /** Creates a scheduler without endpoints; the schedulers of a VM share {@code regionShares}. */
  public ServiceScheduler(
      ServiceSpec spec,
      PlacementSettings settings,
      RoundTripEstimates roundTrips,
      RegionShiftLimiter regionShares) {
    this.spec = spec;
    this.settings = settings;
    this.roundTrips = roundTrips;
    this.regionShares = regionShares;
    this.orders = new ObjectOrders(roundTrips);
  }

  /** Takes over new settings. */
  public void setSettings(PlacementSettings newSettings) {
    settings = newSettings;
  }

  /** Takes over what operators declare. */
  public void setSpec(ServiceSpec newSpec) {
    spec = newSpec;
  }

  /** Sets which cold endpoints this scheduler, and no other, sends requests to. */
  public void setColdEndpointFilter(Predicate<RegisteredEndpoint> inCharge) {
    coldInCharge = inCharge;
  }

  /** Takes over the endpoints that may be sent new work. */
  public void setEndpoints(long nowNanos, Collection<UsableEndpoint> newEndpoints) {
    int usedSlots = warmSlotsNearby(nowNanos, endpoints.values());
    Map<EndpointId, EndpointUse> kept = new HashMap<>();
    for (UsableEndpoint each : newEndpoints) {
      RegisteredEndpoint endpoint = each.endpoint();
      EndpointUse use = endpoints.get(endpoint.id());
      if (use == null) {
        use = new EndpointUse(endpoint, nowNanos);
      } else {
        use.update(endpoint, nowNanos);
      }
      if (each.coldUntilNanos() - nowNanos > 0) {
        use.becomeCold(nowNanos, each.coldUntilNanos(), spec.coldRequestsPerSecond());
      }
      kept.put(endpoint.id(), use);
    }
    if (warmSlotsNearby(nowNanos, kept.values()) < usedSlots) {
      regionShares.onEndpointsLost(nowNanos);
    }
    endpoints.clear();
    endpoints.putAll(kept);
    usable = ImmutableList.sortedCopyOf(BY_ID, kept.values());
    orders.onEndpoints(usable);
  }

  private int warmSlotsNearby(long nowNanos, Collection<EndpointUse> uses) {
    return uses.stream()
        .filter(use -> isNear(use) && !use.isCold(nowNanos))
        .mapToInt(EndpointUse::slots)
        .sum();
  }

  /** Decides about a new ask: at once, or later when it has to wait for a slot. */
  public Optional<PlacementDecision> placeOrEnqueue(long nowNanos, SchedulerRequest ask) {
    if (usable.isEmpty()) {
      return Optional.of(turnAway(nowNanos, ask, RejectionReason.NO_ENDPOINT));
    }
    Choice choice = choose(nowNanos, ask, turnNanos(nowNanos, ask));
    if (choice.now().isPresent()) {
      return Optional.of(place(nowNanos, ask, choice.now().get()));
    }
    if (choice.best().isEmpty()) {
      return Optional.of(turnAway(nowNanos, ask, RejectionReason.NO_ENDPOINT));
    }
    Candidate best = choice.best().get();
    if (nowNanos + best.waitNanos() + best.serviceNanos() > ask.objectiveDeadlineNanos()) {
      return Optional.of(placeLateOrTurnAway(nowNanos, ask, choice));
    }
    waiting.add(ask);
    return Optional.empty();
  }

  /**
   * Returns how long an ask would wait for its turn, beyond the wait for one slot: the asks ahead
   * of it here, and as many at each scheduler that shares the endpoints, but no less than asks have
   * waited lately.
   */
  private double turnNanos(long nowNanos, SchedulerRequest ask) {
    int ahead = waiting.headSet(ask).size();
    double aheadNanos = ahead * settings.schedulerCount() * meanWorkNanos / Math.max(1, slots(ask));
    return Math.max(aheadNanos, recentWaits.nanos(nowNanos));
  }

  private int slots(SchedulerRequest ask) {
    int slots = 0;
    for (EndpointUse use : usable) {
      if (isNear(use) && ask.rule().allowsRegion(roundTrips.regionOf(use.endpoint().zone()))) {
        slots += use.slots();
      }
    }
    return slots;
  }

  private boolean isNear(EndpointUse use) {
    return roundTrips.proximityOf(use.endpoint().zone()) != Proximity.OTHER_REGION;
  }

  /** Takes an ask back: its caller has left. Returns whether it waited. */
  public boolean cancel(SchedulerRequest ask) {
    return waiting.remove(ask);
  }

  /** Ends the use of an endpoint by a request that was placed. */
  public void release(long nowNanos, PlacementDecision.Placed placed, AttemptResult end) {
    EndpointUse use = endpoints.get(placed.endpoint().id());
    end.connectNanos().ifPresent(nanos -> roundTrips.addSample(placed.endpoint().zone(), nanos));
    if (use == null || !use.endpoint().isSameIncarnationAs(placed.endpoint())) {
      return;
    }
    use.onEnd();
    end.loadReport().ifPresent(report -> use.observeReport(nowNanos, report, meanWorkNanos));
    if (end.status() == AttemptResult.Status.ANSWERED) {
      learn(nowNanos, placed, use, end);
    } else if (end.status() == AttemptResult.Status.SILENT) {
      use.observeSpeed((double) end.elapsedNanos(), (double) placed.expectedResponseNanos());
    }
    boolean wasAllowed = use.trust().allows(nowNanos);
    boolean isBack = use.trust().onEnd(nowNanos, end.status());
    if (wasAllowed && isNear(use) && !use.trust().allows(nowNanos)) {
      regionShares.onEndpointsLost(nowNanos);
    }
    if (isBack) {
      use.becomeCold(
          nowNanos,
          nowNanos + (long) (spec.coldDurationMillis() * NANOS_PER_MILLI),
          spec.coldRequestsPerSecond());
    }
  }

  /** Learns from an answer, unless requests wait at the endpoint: the work can't be told then. */
  private void learn(
      long nowNanos, PlacementDecision.Placed placed, EndpointUse use, AttemptResult end) {
    long wayNanos = roundTrips.roundTripNanos(use.endpoint().zone());
    long workNanos = Math.max(1, end.elapsedNanos() - wayNanos);
    SchedulerRequest ask = placed.request();
    ask.affinityKey().ifPresent(object -> use.warm().handled(nowNanos, object));
    if (end.loadReport().filter(report -> report.queued() > 0).isPresent()) {
      return;
    }
    if (!use.isCold(nowNanos)) {
      boolean ranWarm =
          workTimes.observe(
              ask.rule(), placed.warmProbability() >= 0.5, (long) (workNanos / use.slowness()));
      if (placed.warmProbability() < 1) {
        warmOdds.observe(roundTrips.regionOf(use.endpoint().zone()), ranWarm);
      }
      meanWorkNanos =
          meanWorkNanos == 0 ? workNanos : meanWorkNanos + 0.05 * (workNanos - meanWorkNanos);
    }
    use.observeSpeed(
        (double) workNanos,
        workTimes.expectedNanos(ask.rule(), placed.warmProbability()) * use.slowness());
    ask.affinityKey().ifPresent(object -> use.warm().handled(nowNanos, object));
  }

  /** Places what waits on slots that have become free, and turns away what waited too long. */
  public List<PlacementDecision> processQueue(long nowNanos) {
    List<PlacementDecision> decisions = new ArrayList<>();
    int looked = 0;
    for (Iterator<SchedulerRequest> asks = waiting.iterator();
        asks.hasNext() && looked < MAX_LOOKED_AT; ) {
      SchedulerRequest ask = asks.next();
      looked++;
      Optional<PlacementDecision> decision = decideAgain(nowNanos, ask);
      if (decision.isPresent()) {
        asks.remove();
        decisions.add(decision.get());
      }
    }
    return decisions;
  }

  private Optional<PlacementDecision> decideAgain(long nowNanos, SchedulerRequest ask) {
    Choice choice = choose(nowNanos, ask, 0);
    if (choice.now().isPresent()) {
      recentWaits.observe(nowNanos, nowNanos - ask.arrivalNanos());
      return Optional.of(place(nowNanos, ask, choice.now().get()));
    }
    if (choice.best().isEmpty()) {
      return Optional.of(turnAway(nowNanos, ask, RejectionReason.NO_ENDPOINT));
    }
    if (nowNanos + choice.best().get().serviceNanos() > ask.objectiveDeadlineNanos()) {
      return choice
          .free()
          .map(free -> Optional.of(place(nowNanos, ask, free)))
          .orElseGet(() -> Optional.of(turnAway(nowNanos, ask, RejectionReason.NO_SLOT_IN_TIME)));
    }
    return Optional.empty();
  }

  /** A late answer is worth more than none, but not a slot that another request could use. */
  private PlacementDecision placeLateOrTurnAway(
      long nowNanos, SchedulerRequest ask, Choice choice) {
    Optional<Candidate> free =
        choice.free().filter(c -> nowNanos + c.serviceNanos() <= ask.deadlineNanos());
    return free.isPresent()
        ? place(nowNanos, ask, free.get())
        : turnAway(nowNanos, ask, RejectionReason.NO_SLOT_IN_TIME);
  }

  /** Returns the number of requests that wait. */
  public int queueLength() {
    return waiting.size();
  }

  private PlacementDecision place(long nowNanos, SchedulerRequest ask, Candidate candidate) {
    EndpointUse use = candidate.use();
    use.onSent(nowNanos);
    regionShares.onPlaced(nowNanos, candidate.otherRegion());
    if (ask.affinityKey().isPresent()) {
      use.warm().handled(nowNanos, ask.affinityKey().get());
    }
    return new PlacementDecision.Placed(
        ask, use.endpoint(), candidate.warmOdds(), (long) candidate.serviceNanos());
  }

  private PlacementDecision turnAway(long nowNanos, SchedulerRequest ask, RejectionReason reason) {
    return new PlacementDecision.Rejected(ask, reason, retryAfterMillis(nowNanos, ask));
  }

  /** Returns when a caller that is turned away should come back: when the queue has moved on. */
  public long retryAfterMillis(long nowNanos, SchedulerRequest ask) {
    double turnNanos =
        (waiting.size() + 1) * settings.schedulerCount() * meanWorkNanos / Math.max(1, slots(ask));
    double spread = SPREAD_FROM + jitter(ask);
    double millis = (meanWorkNanos / 2 + turnNanos) * spread / NANOS_PER_MILLI;
    return (long) Math.clamp(millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  /** Returns a number from 0 to 0.5 that differs from ask to ask. */
  private static double jitter(SchedulerRequest ask) {
    double mixed = (double) ((ask.id() * 0x9E3779B97F4A7C15L) >>> 40);
    return mixed / (1 << 25);
  }

  /**
   * An endpoint that may serve an ask.
   *
   * @param otherRegion its region, unless that is the own one
   * @param serviceNanos how long the answer takes once there is a slot
   * @param slowestNanos the same if the object is not warm there after all
   */
  private record Candidate(
      EndpointUse use,
      Optional<RegionId> otherRegion,
      double warmOdds,
      double waitNanos,
      double serviceNanos,
      double slowestNanos,
      double cost) {
    boolean isFree() {
      return waitNanos == 0;
    }
  }

  /**
   * The endpoints in question.
   *
   * @param best the best one that the shares of the regions allow
   * @param free the best one of those that have a free slot as well
   */
  private record Choice(Optional<Candidate> best, Optional<Candidate> free) {
    Optional<Candidate> now() {
      return best.filter(Candidate::isFree);
    }
  }

  /**
   * Returns the endpoints in question for an ask. An object stays at its first endpoint in each
   * region: work on one that has to be warmed up takes several times as long, and pushes out what
   * is warm there. The next one of the region is in question only while the first may not be used.
   */
  private Choice choose(long nowNanos, SchedulerRequest ask, double turnNanos) {
    List<Candidate> candidates = candidates(nowNanos, ask, turnNanos);
    Optional<Candidate> owed = owed(nowNanos, ask, candidates);
    if (owed.isPresent()) {
      return new Choice(owed, owed);
    }
    boolean ownRegionServes = candidates.stream().anyMatch(c -> c.otherRegion().isEmpty());
    Predicate<Candidate> allowed =
        c ->
            !ownRegionServes
                || c.otherRegion().map(other -> regionShares.allows(nowNanos, other)).orElse(true);
    return new Choice(
        cheapest(candidates, allowed), cheapest(candidates, allowed.and(Candidate::isFree)));
  }

  /**
   * Returns an endpoint of a region that is behind its share, if it answers in time even though it
   * has yet to warm the object up.
   */
  private Optional<Candidate> owed(
      long nowNanos, SchedulerRequest ask, List<Candidate> candidates) {
    Optional<RegionId> owed = regionShares.owed(nowNanos);
    if (owed.isEmpty()) {
      return Optional.empty();
    }
    return cheapest(
        candidates,
        c ->
            c.otherRegion().equals(owed)
                && c.isFree()
                && nowNanos + c.slowestNanos() <= ask.objectiveDeadlineNanos());
  }

  private static Optional<Candidate> cheapest(
      List<Candidate> candidates, Predicate<Candidate> wanted) {
    return candidates.stream().filter(wanted).min(Comparator.comparingDouble(Candidate::cost));
  }

  /** Returns the first endpoint of each region that may serve an ask, or all without an object. */
  private List<Candidate> candidates(long nowNanos, SchedulerRequest ask, double turnNanos) {
    List<Candidate> candidates = new ArrayList<>();
    if (ask.affinityKey().isEmpty()) {
      for (EndpointUse use : usable) {
        if (mayServe(nowNanos, ask, use)) {
          candidates.add(candidate(nowNanos, ask, use, Place.FIRST, turnNanos));
        }
      }
      return candidates;
    }
    ImmutableList<ImmutableList<EndpointUse>> regions = orders.of(ask.affinityKey().get());
    int detour = 0;
    for (ImmutableList<EndpointUse> order : regions) {
      boolean near = isNear(order.getFirst());
      for (int place = 0; place < order.size(); place++) {
        EndpointUse use = order.get(place);
        if (mayServe(nowNanos, ask, use)) {
          candidates.add(
              candidate(nowNanos, ask, use, new Place(place, near ? 0 : detour), turnNanos));
          break;
        }
      }
      detour += near ? 0 : 1;
    }
    return candidates;
  }

  private boolean mayServe(long nowNanos, SchedulerRequest ask, EndpointUse use) {
    if (ask.excludedEndpoints().contains(use.endpoint().id()) || !use.trust().allows(nowNanos)) {
      return false;
    }
    if (!ask.rule().allowsRegion(roundTrips.regionOf(use.endpoint().zone()))) {
      return false;
    }
    return !use.isCold(nowNanos) || (coldInCharge.test(use.endpoint()) && use.coldAllows(nowNanos));
  }

  private Candidate candidate(
      long nowNanos, SchedulerRequest ask, EndpointUse use, Place place, double turnNanos) {
    double warmOdds = warmOdds(nowNanos, ask, use, place);
    double workNanos = workTimes.expectedNanos(ask.rule(), warmOdds) * use.slowness();
    long wayNanos = roundTrips.roundTripNanos(use.endpoint().zone());
    double free = use.freeSlots(nowNanos);
    double slotNanos = (1 - free) * Math.max(workNanos, meanWorkNanos) / use.slots();
    double waitNanos = free >= 1 ? 0 : slotNanos + turnNanos;
    double serviceNanos = wayNanos + workNanos * WORK_MARGIN;
    double finishNanos = nowNanos + waitNanos + serviceNanos;
    double aimLengthNanos = ask.rule().latencyObjectiveMillis() * NANOS_PER_MILLI;
    double cost =
        waitNanos
            + wayNanos
            + workNanos
            + distanceCost(use)
            + (place.inRegion() + place.detour()) * ORDER_COST * workNanos
            + use.trust().badShare() * aimLengthNanos
            + (finishNanos > ask.objectiveDeadlineNanos() ? LATE_COST * aimLengthNanos : 0);
    double slowestNanos =
        warmOdds == 1
            ? serviceNanos
            : wayNanos + workTimes.expectedNanos(ask.rule(), 0) * use.slowness() * WORK_MARGIN;
    return new Candidate(
        use, otherRegionOf(use), warmOdds, waitNanos, serviceNanos, slowestNanos, cost);
  }

  private double warmOdds(long nowNanos, SchedulerRequest ask, EndpointUse use, Place place) {
    if (ask.affinityKey().isEmpty() || use.warm().holds(nowNanos, ask.affinityKey().get())) {
      return 1;
    }
    boolean othersMayHaveAsked = place.inRegion() == 0 && use.isSettled(nowNanos);
    return othersMayHaveAsked ? warmOdds.in(roundTrips.regionOf(use.endpoint().zone())) : 0;
  }

  private Optional<RegionId> otherRegionOf(EndpointUse use) {
    return isNear(use) ? Optional.empty() : Optional.of(roundTrips.regionOf(use.endpoint().zone()));
  }

  private double distanceCost(EndpointUse use) {
    return switch (roundTrips.proximityOf(use.endpoint().zone())) {
      case OWN_ZONE -> 0;
      case OWN_REGION -> settings.otherZonePenaltyNanos();
      case OTHER_REGION -> settings.otherRegionPenaltyNanos();
    };
  }

  /**
   * Where an endpoint stands in an object's order.
   *
   * @param inRegion its place among the endpoints of its region, from 0; the first one handles the
   *     object for the callers of the region, and so probably has it warm
   * @param detour how many other regions the object goes to before this one: it is warmed up in as
   *     few regions as possible
   */
  private record Place(int inRegion, int detour) {
    private static final Place FIRST = new Place(0, 0);
  }
}
