package org.mustardstage.core.placement;

import java.util.Optional;
import org.mustardstage.core.gateway.RegisteredEndpoint;

/** What a scheduler knows of one endpoint: its load, its speed, what it holds warm, its trust. */
final class EndpointState {
  /** The weight of one load report in the estimate of what others have running there. */
  private static final double REPORT_SMOOTHING_FACTOR = 0.5;

  /** What others have running halves in this many times the work of a request. */
  private static final double REPORT_HALF_LIFE_SERVICE_TIMES = 1.5;

  private static final double MIN_HALF_LIFE_NANOS = 100e6;

  /** The weight of one answer in the estimate of the speed. */
  private static final double SLOWNESS_SMOOTHING_FACTOR = 0.15;

  private static final double MAX_SLOWNESS = 20;

  /** Objects that are asked for often have been asked for by then. */
  private static final long CACHE_FILL_NANOS = 4_000_000_000L;

  private final EndpointCircuitBreaker circuitBreaker = new EndpointCircuitBreaker();
  private final WarmKeys warmKeys = new WarmKeys();
  private RegisteredEndpoint endpoint;
  private long startedNanos;
  private int slots;
  private int running;
  private double othersRunning;
  private long reportedNanos;
  private double reportHalfLifeNanos = MIN_HALF_LIFE_NANOS;
  private double slowness = 1;
  private long coldUntilNanos;
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
    return running;
  }

  double slowness() {
    return slowness;
  }

  /** Takes over a newer entry of the register; another run holds nothing of before. */
  void update(RegisteredEndpoint newer, long nowNanos) {
    if (!newer.isSameIncarnationAs(endpoint)) {
      startedNanos = nowNanos;
      warmKeys.clear();
      slowness = 1;
      running = 0;
    }
    slots = newer.slots();
    endpoint = newer;
  }

  /** Returns whether the endpoint has run long enough to hold what is asked of it often. */
  boolean hasFilledCache(long nowNanos) {
    return nowNanos - startedNanos > CACHE_FILL_NANOS && !isCold(nowNanos);
  }

  /** Holds requests back until the endpoint is warmed up. */
  void markCold(long nowNanos, long untilNanos, double perSecond) {
    if (untilNanos - coldUntilNanos <= 0 && isCold(nowNanos)) {
      return;
    }
    if (coldStartRateLimiter.isEmpty() || !isCold(nowNanos)) {
      coldStartRateLimiter = Optional.of(new ColdStartRateLimiter(nowNanos, perSecond));
      startedNanos = untilNanos;
      warmKeys.clear();
    }
    coldUntilNanos = untilNanos;
  }

  boolean isCold(long nowNanos) {
    return coldStartRateLimiter.isPresent() && nowNanos - coldUntilNanos < 0;
  }

  /** Returns whether the endpoint, if it is cold, can take one more request now. */
  boolean allowsColdRequest(long nowNanos) {
    return !isCold(nowNanos) || coldStartRateLimiter.orElseThrow().hasToken(nowNanos);
  }

  /** Returns the slots that are believed free; negative when requests wait there. */
  double freeSlots(long nowNanos) {
    return slots - running - othersRunning(nowNanos);
  }

  private double othersRunning(long nowNanos) {
    double age = nowNanos - reportedNanos;
    return othersRunning * Math.exp(-Math.log(2) * age / reportHalfLifeNanos);
  }

  void recordSent(long nowNanos) {
    running++;
    circuitBreaker.recordSent();
    if (isCold(nowNanos)) {
      coldStartRateLimiter.orElseThrow().takeToken(nowNanos);
    }
  }

  void recordFinished() {
    running = Math.max(0, running - 1);
  }

  /** Takes in what the endpoint says of its load, where a request runs {@code workNanos}. */
  void recordLoadReport(long nowNanos, AttemptResult.LoadReport report, double workNanos) {
    if (report.slots() > 0) {
      slots = report.slots();
    }
    double others = Math.max(0, report.running() + report.queued() - running - 1);
    double before = othersRunning(nowNanos);
    othersRunning = before + REPORT_SMOOTHING_FACTOR * (others - before);
    reportedNanos = nowNanos;
    reportHalfLifeNanos = Math.max(MIN_HALF_LIFE_NANOS, REPORT_HALF_LIFE_SERVICE_TIMES * workNanos);
  }

  void recordServiceTime(double actualNanos, double expectedNanos) {
    if (expectedNanos <= 0) {
      return;
    }
    double ratio = Math.min(MAX_SLOWNESS, actualNanos / (expectedNanos / slowness));
    slowness = Math.max(1, slowness + SLOWNESS_SMOOTHING_FACTOR * (ratio - slowness));
  }
}
