package org.mustardstage.core.placement;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.gateway.RegisteredEndpoint;

/**
 * A scheduler's view of one incarnation of an endpoint: load, speed, warm affinity keys and circuit
 * breaker. It ends with the incarnation.
 */
final class EndpointState {
  /** Smoothing factor of the slowness, for each response. */
  private static final double SLOWNESS_SMOOTHING_FACTOR = 0.15;

  private static final double MAX_SLOWNESS = 20;

  /** Time after which all frequently requested keys have been requested, so that they are warm. */
  private static final long CACHE_FILL_NANOS = 4_000_000_000L;

  /**
   * The longest time for which an endpoint that asked for it gets no requests. Bounds the harm of a
   * wrong value.
   */
  private static final long MAX_REST_NANOS = 60_000_000_000L;

  private final EndpointCircuitBreaker circuitBreaker = new EndpointCircuitBreaker();
  private final WarmKeys warmKeys = new WarmKeys();
  private RegisteredEndpoint endpoint;
  private long startedNanos;
  private int slots;

  /** The ids of the requests that were placed here and have not ended. */
  private final Set<Long> runningRequests = new HashSet<>();

  private final OthersLoadEstimate othersLoad = new OthersLoadEstimate();
  private double slowness = 1;
  private final WorkDurationEstimate workDuration = new WorkDurationEstimate();

  /** Until when the endpoint is cold, by what it said last. */
  private long statedColdUntilNanos = Long.MIN_VALUE / 2;

  /** Until when the endpoint is taken for cold, whatever it says. */
  private long assumedColdUntilNanos = Long.MIN_VALUE / 2;

  private boolean leaving;
  private long restUntilNanos = Long.MIN_VALUE / 2;
  private Optional<ColdStartRateLimiter> coldStartRateLimiter = Optional.empty();

  EndpointState(RegisteredEndpoint endpoint, long nowNanos) {
    this.endpoint = endpoint;
    this.startedNanos = nowNanos;
    this.slots = endpoint.slots();
  }

  RegisteredEndpoint endpoint() {
    return endpoint;
  }

  EndpointCircuitBreaker circuitBreaker() {
    return circuitBreaker;
  }

  WarmKeys warmKeys() {
    return warmKeys;
  }

  int slots() {
    return slots;
  }

  int running() {
    return runningRequests.size();
  }

  /**
   * Returns how long work takes here now, as a multiple of its usual duration: what the endpoint
   * says, corrected by how long its responses took.
   */
  double slowness(long nowNanos) {
    return correctedSlowness(nowNanos) * workDuration.estimate(nowNanos);
  }

  /** Returns the part of the slowness that only responses show, so that both give at least 1. */
  private double correctedSlowness(long nowNanos) {
    return Math.max(slowness, 1 / workDuration.slowdown(nowNanos));
  }

  /** Updates the registry entry of the same incarnation. */
  void update(RegisteredEndpoint newer) {
    Preconditions.checkArgument(
        newer.isSameIncarnationAs(endpoint),
        "entry must be of the incarnation %s: %s",
        endpoint,
        newer);
    slots = newer.slots();
    endpoint = newer;
  }

  /** Records what the endpoint said in a response about further requests. */
  void recordNotice(long nowNanos, EndpointNotice notice) {
    leaving |= notice.leaving();
    if (notice.retryAfter().isPresent()) {
      long restNanos = Math.min(MAX_REST_NANOS, saturatedNanos(notice.retryAfter().get()));
      if (nowNanos + restNanos - restUntilNanos > 0) {
        restUntilNanos = nowNanos + restNanos;
      }
    }
  }

  private static long saturatedNanos(Duration duration) {
    return duration.compareTo(Duration.ofNanos(Long.MAX_VALUE)) > 0
        ? Long.MAX_VALUE
        : duration.toNanos();
  }

  /**
   * Returns whether the endpoint accepts requests from this VM: it is not leaving, has not asked
   * for a rest, and its circuit is not open.
   */
  boolean acceptsRequests(long nowNanos) {
    return !leaving && nowNanos - restUntilNanos >= 0 && circuitBreaker.allowsRequest(nowNanos);
  }

  /** Returns when the rest that the endpoint asked for ends; in the past if there is none. */
  long restUntilNanos() {
    return restUntilNanos;
  }

  /** Returns whether the endpoint has run long enough for its frequent keys to be warm. */
  boolean hasFilledCache(long nowNanos) {
    return nowNanos - startedNanos > CACHE_FILL_NANOS && !isCold(nowNanos);
  }

  /**
   * Limits the request rate until {@code untilNanos}, by what the endpoint has said. Replaces what
   * it said before; it is warm if {@code untilNanos} has passed.
   */
  void setColdUntil(long nowNanos, long untilNanos, double requestsPerSecond) {
    boolean wasCold = isCold(nowNanos);
    statedColdUntilNanos = untilNanos;
    onColdTimeSet(nowNanos, wasCold, requestsPerSecond);
  }

  /**
   * Limits the request rate until {@code untilNanos} at least, as the endpoint may have restarted
   * and what it said may be older than that.
   */
  void assumeCold(long nowNanos, long untilNanos, double requestsPerSecond) {
    boolean wasCold = isCold(nowNanos);
    if (untilNanos - assumedColdUntilNanos > 0) {
      assumedColdUntilNanos = untilNanos;
    }
    onColdTimeSet(nowNanos, wasCold, requestsPerSecond);
  }

  private void onColdTimeSet(long nowNanos, boolean wasCold, double requestsPerSecond) {
    boolean cold = isCold(nowNanos);
    if (cold && !wasCold) {
      coldStartRateLimiter = Optional.of(new ColdStartRateLimiter(nowNanos, requestsPerSecond));
      warmKeys.clear();
    }
    if (cold) {
      startedNanos = coldUntilNanos();
    } else if (wasCold) {
      startedNanos = nowNanos;
    }
  }

  private long coldUntilNanos() {
    return assumedColdUntilNanos - statedColdUntilNanos > 0
        ? assumedColdUntilNanos
        : statedColdUntilNanos;
  }

  boolean isCold(long nowNanos) {
    return nowNanos - coldUntilNanos() < 0;
  }

  /** Returns whether the endpoint is warm, or cold but within its request rate. */
  boolean allowsColdRequest(long nowNanos) {
    return !isCold(nowNanos) || coldStartRateLimiter.orElseThrow().hasToken(nowNanos);
  }

  /** Returns the estimated number of free slots; negative when requests are queued there. */
  double freeSlots(long nowNanos) {
    return slots - running() - othersLoad.estimate(nowNanos);
  }

  void recordSent(long nowNanos, long requestId) {
    runningRequests.add(requestId);
    circuitBreaker.recordSent(nowNanos);
    if (isCold(nowNanos)) {
      coldStartRateLimiter.orElseThrow().takeToken(nowNanos);
    }
  }

  /** Frees the slot of a request, unless it was placed before this view of the endpoint began. */
  void recordFinished(long requestId) {
    runningRequests.remove(requestId);
  }

  /**
   * Updates the number of slots and the estimated load by other schedulers from a load report.
   *
   * @param serviceTimeNanos the mean service time of a request
   */
  void recordLoadReport(long nowNanos, AttemptResult.LoadReport report, double serviceTimeNanos) {
    if (report.slots() > 0) {
      slots = report.slots();
    }
    report.workDuration().ifPresent(duration -> workDuration.addReport(nowNanos, duration));
    double others = Math.max(0, report.running() + report.queued() - running() - 1);
    othersLoad.addReport(nowNanos, others, serviceTimeNanos);
  }

  /**
   * Updates the slowness from a response. Below 1 it corrects an endpoint that says that its work
   * takes longer than it does; an endpoint that says nothing can't be faster than usual.
   *
   * @param expectedNanos the expected service time at the present slowness
   */
  void recordServiceTime(long nowNanos, double actualNanos, double expectedNanos) {
    if (expectedNanos <= 0) {
      return;
    }
    double before = correctedSlowness(nowNanos);
    double ratio = Math.min(MAX_SLOWNESS, actualNanos / (expectedNanos / before));
    slowness = before + SLOWNESS_SMOOTHING_FACTOR * (ratio - before);
    slowness = correctedSlowness(nowNanos);
  }
}
