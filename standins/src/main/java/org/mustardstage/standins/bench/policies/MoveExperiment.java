package org.mustardstage.standins.bench.policies;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.mustardstage.core.shift.MoveShareLimiter;

/**
 * Checks that the share of requests that a planned move sends to another region never exceeds its
 * cap, and measures how a region with a cold cache copes with the move.
 */
final class MoveExperiment {
  private static final int REQUESTS = 500_000;
  private static final double CAP_SHARE = 0.3;
  private static final double RETRY_SHARE = 0.05;

  private final MarkdownReport report;
  private final long seed;

  MoveExperiment(MarkdownReport report, long seed) {
    this.report = report;
    this.seed = seed;
  }

  void run() {
    checkMovedShares();
    report.startSection("A move of 40% into a place with a cold cache");
    report.printHeader(
        "policy",
        "restart of the place",
        "most slots used",
        "most slowdown",
        "seconds overloaded",
        "complete after s",
        "steps back");
    for (boolean restarts : List.of(false, true)) {
      simulateWarmUp("gated steps", true, restarts);
      simulateWarmUp("one step", false, restarts);
    }
  }

  private void checkMovedShares() {
    report.startSection("Share moved at every prefix, cap 30%, 22 entry VMs, 5% retries");
    report.printHeader(
        "policy", "moved", "most above the cap on a VM", "most above the cap in sum");
    long aboveCap = maxAboveCap("counter", true);
    maxAboveCap("coin flip", false);
    report.addVerdict("never above the cap", aboveCap + " above at most", aboveCap <= 0);
  }

  /**
   * Returns the most moved requests above the cap after any number of requests, on any VM or in
   * total.
   */
  private long maxAboveCap(String label, boolean useLimiter) {
    SplittableRandom random = new SplittableRandom(seed);
    List<MoveShareLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < ServiceModel.ENTRY_VMS; i++) {
      limiters.add(new MoveShareLimiter(CAP_SHARE));
      limiters.getLast().setShare(CAP_SHARE);
    }
    MoveCounter total = new MoveCounter();
    List<MoveCounter> counters = new ArrayList<>();
    limiters.forEach(limiter -> counters.add(new MoveCounter()));
    for (int i = 0; i < REQUESTS; i++) {
      int vm = random.nextInt(ServiceModel.ENTRY_VMS);
      boolean isRetried = random.nextDouble() < RETRY_SHARE;
      boolean isMovedByCoinFlip = random.nextDouble() < CAP_SHARE;
      boolean isMoved = useLimiter ? limiters.get(vm).moveFirstAttempt() : isMovedByCoinFlip;
      counters.get(vm).add(1, isMoved);
      total.add(1, isMoved);
      if (isRetried) {
        boolean isRetryMoved = useLimiter ? limiters.get(vm).moveRetryOrHedge() : isMovedByCoinFlip;
        counters.get(vm).add(0, isRetryMoved);
        total.add(0, isRetryMoved);
      }
    }
    long maxOnVm = counters.stream().mapToLong(counter -> counter.maxAboveCap).max().orElseThrow();
    report.printRow(
        List.of(
            label,
            MarkdownReport.percent((double) total.moved / total.firstAttempts),
            Long.toString(maxOnVm),
            Long.toString(total.maxAboveCap)));
    return Math.max(maxOnVm, total.maxAboveCap);
  }

  private void simulateWarmUp(String label, boolean stepwise, boolean restarts) {
    ColdRegionModel region = new ColdRegionModel(stepwise, restarts);
    region.run();
    report.printRow(
        List.of(
            label,
            restarts ? "after 60 s" : "none",
            MarkdownReport.percent(region.maxUtilization()),
            MarkdownReport.millis(region.maxSlowdown()),
            MarkdownReport.millis(region.overloadedSeconds()),
            region.completionSeconds() < 0
                ? "never"
                : MarkdownReport.millis(region.completionSeconds()),
            Integer.toString(region.stepBackCount())));
  }

  /** Counts requests, and by how many the moved ones exceeded the cap at most. */
  private static final class MoveCounter {
    private long firstAttempts;
    private long moved;
    private long maxAboveCap = Long.MIN_VALUE;

    void add(int newFirstAttempts, boolean isMoved) {
      firstAttempts += newFirstAttempts;
      moved += isMoved ? 1 : 0;
      maxAboveCap =
          Math.max(maxAboveCap, moved - (long) Math.floor(CAP_SHARE * firstAttempts + 1e-9));
    }
  }
}
