package org.mustardstage.standins.bench.policies;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.mustardstage.core.shift.MoveShareLimiter;

/** The share moved against its cap at every prefix, and the warm-up of a cold place. */
final class ShiftExperiment {
  private static final int REQUESTS = 500_000;
  private static final double CAP = 0.3;
  private static final double RETRY_SHARE = 0.05;

  private final Report report;
  private final long seed;

  ShiftExperiment(Report report, long seed) {
    this.report = report;
    this.seed = seed;
  }

  void run() {
    prefixes();
    report.title("A move of 40% into a place with a cold cache");
    report.header(
        "policy",
        "restart of the place",
        "most slots used",
        "most slowdown",
        "seconds overloaded",
        "complete after s",
        "steps back");
    for (boolean restarts : List.of(false, true)) {
      warmUp("gated steps", true, restarts);
      warmUp("one step", false, restarts);
    }
  }

  private void prefixes() {
    report.title("Share moved at every prefix, cap 30%, 22 entry VMs, 5% retries");
    report.header("policy", "moved", "most above the cap on a VM", "most above the cap in sum");
    long counted = countAbove("counter", true);
    countAbove("coin flip", false);
    report.verdict("never above the cap", counted + " above at most", counted <= 0);
  }

  /** Returns the most requests above the cap at any prefix, on any VM or in sum. */
  private long countAbove(String label, boolean counts) {
    SplittableRandom random = new SplittableRandom(seed);
    List<MoveShareLimiter> counters = new ArrayList<>();
    for (int i = 0; i < ModelService.ENTRY_VMS; i++) {
      counters.add(new MoveShareLimiter(CAP));
      counters.getLast().setShare(CAP);
    }
    Tally sum = new Tally();
    List<Tally> tallies = new ArrayList<>();
    counters.forEach(counter -> tallies.add(new Tally()));
    for (int i = 0; i < REQUESTS; i++) {
      int vm = random.nextInt(ModelService.ENTRY_VMS);
      boolean retries = random.nextDouble() < RETRY_SHARE;
      boolean flips = random.nextDouble() < CAP;
      boolean moves = counts ? counters.get(vm).moveFirstAttempt() : flips;
      tallies.get(vm).add(1, moves);
      sum.add(1, moves);
      if (retries) {
        boolean retryMoves = counts ? counters.get(vm).moveRetryOrHedge() : flips;
        tallies.get(vm).add(0, retryMoves);
        sum.add(0, retryMoves);
      }
    }
    long mostOnVm = tallies.stream().mapToLong(tally -> tally.mostAbove).max().orElseThrow();
    report.row(
        List.of(
            label,
            Report.percent((double) sum.moved / sum.total),
            Long.toString(mostOnVm),
            Long.toString(sum.mostAbove)));
    return Math.max(mostOnVm, sum.mostAbove);
  }

  private void warmUp(String label, boolean gated, boolean restarts) {
    ColdPlace place = new ColdPlace(gated, restarts);
    place.run();
    report.row(
        List.of(
            label,
            restarts ? "after 60 s" : "none",
            Report.percent(place.mostUsed()),
            Report.millis(place.mostSlowdown()),
            Report.millis(place.overloadedSeconds()),
            place.completeSeconds() < 0 ? "never" : Report.millis(place.completeSeconds()),
            Integer.toString(place.stepsBack())));
  }

  /** Counts requests and how far the moved ones went above the cap. */
  private static final class Tally {
    private long total;
    private long moved;
    private long mostAbove = Long.MIN_VALUE;

    void add(int firstAttempts, boolean moves) {
      total += firstAttempts;
      moved += moves ? 1 : 0;
      mostAbove = Math.max(mostAbove, moved - (long) Math.floor(CAP * total + 1e-9));
    }
  }
}
