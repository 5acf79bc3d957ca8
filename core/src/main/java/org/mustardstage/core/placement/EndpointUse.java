package org.mustardstage.core.placement;

import java.util.Optional;
import org.mustardstage.core.gateway.RegisteredEndpoint;

/** What a scheduler knows of one endpoint: its load, its speed, what it holds warm, its trust. */
final class EndpointUse {
  /** The weight of one load report in the estimate of what others have running there. */
  private static final double REPORT_WEIGHT = 0.5;

  /** What others have running halves in this many times the work of a request. */
  private static final double REPORT_HALF_LIFE_WORKS = 1.5;

  private static final double SHORTEST_HALF_LIFE_NANOS = 100e6;

  /** The weight of one answer in the estimate of the speed. */
  private static final double SPEED_WEIGHT = 0.15;

  private static final double SLOWEST = 20;

  /** Objects that are asked for often have been asked for by then. */
  private static final long SETTLED_AFTER_NANOS = 4_000_000_000L;

  private final EndpointTrust trust = new EndpointTrust();
  private final WarmObjects warm = new WarmObjects();
  private RegisteredEndpoint endpoint;
  private long sinceNanos;
  private int slots;
  private int running;
  private double othersRunning;
  private long reportedNanos;
  private double reportHalfLifeNanos = SHORTEST_HALF_LIFE_NANOS;
  private double slowness = 1;
  private long coldUntilNanos;
  private Optional<ColdAllowance> coldAllowance = Optional.empty();

  EndpointUse(RegisteredEndpoint endpoint, long nowNanos) {
    this.endpoint = endpoint;
    this.sinceNanos = nowNanos;
    this.slots = endpoint.slots();
  }

  RegisteredEndpoint endpoint() {
    return endpoint;
  }

  EndpointTrust trust() {
    return trust;
  }

  WarmObjects warm() {
    return warm;
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
      sinceNanos = nowNanos;
      warm.clear();
      slowness = 1;
      running = 0;
    }
    slots = newer.slots();
    endpoint = newer;
  }

  /** Returns whether the endpoint has run long enough to hold what is asked of it often. */
  boolean isSettled(long nowNanos) {
    return nowNanos - sinceNanos > SETTLED_AFTER_NANOS && !isCold(nowNanos);
  }

  /** Holds requests back until the endpoint is warmed up. */
  void becomeCold(long nowNanos, long untilNanos, double perSecond) {
    if (untilNanos - coldUntilNanos <= 0 && isCold(nowNanos)) {
      return;
    }
    if (coldAllowance.isEmpty() || !isCold(nowNanos)) {
      coldAllowance = Optional.of(new ColdAllowance(nowNanos, perSecond));
      sinceNanos = untilNanos;
      warm.clear();
    }
    coldUntilNanos = untilNanos;
  }

  boolean isCold(long nowNanos) {
    return coldAllowance.isPresent() && nowNanos - coldUntilNanos < 0;
  }

  /** Returns whether the endpoint, if it is cold, can take one more request now. */
  boolean coldAllows(long nowNanos) {
    return !isCold(nowNanos) || coldAllowance.orElseThrow().allows(nowNanos);
  }

  /** Returns the slots that are believed free; negative when requests wait there. */
  double freeSlots(long nowNanos) {
    return slots - running - othersRunning(nowNanos);
  }

  private double othersRunning(long nowNanos) {
    double age = nowNanos - reportedNanos;
    return othersRunning * Math.exp(-Math.log(2) * age / reportHalfLifeNanos);
  }

  void onSent(long nowNanos) {
    running++;
    trust.onSent();
    if (isCold(nowNanos)) {
      coldAllowance.orElseThrow().take(nowNanos);
    }
  }

  void onEnd() {
    running = Math.max(0, running - 1);
  }

  /** Takes in what the endpoint says of its load, where a request runs {@code workNanos}. */
  void observeReport(long nowNanos, AttemptResult.LoadReport report, double workNanos) {
    if (report.slots() > 0) {
      slots = report.slots();
    }
    double others = Math.max(0, report.running() + report.queued() - running - 1);
    double before = othersRunning(nowNanos);
    othersRunning = before + REPORT_WEIGHT * (others - before);
    reportedNanos = nowNanos;
    reportHalfLifeNanos = Math.max(SHORTEST_HALF_LIFE_NANOS, REPORT_HALF_LIFE_WORKS * workNanos);
  }

  void observeSpeed(double actualNanos, double expectedNanos) {
    if (expectedNanos <= 0) {
      return;
    }
    double ratio = Math.min(SLOWEST, actualNanos / (expectedNanos / slowness));
    slowness = Math.max(1, slowness + SPEED_WEIGHT * (ratio - slowness));
  }
}
