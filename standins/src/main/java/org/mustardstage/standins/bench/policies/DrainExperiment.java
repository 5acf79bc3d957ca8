package org.mustardstage.standins.bench.policies;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.mustardstage.core.drain.DrainCause;
import org.mustardstage.core.drain.DrainPlan;
import org.mustardstage.core.drain.DrainProgress;
import org.mustardstage.core.drain.DrainState;

/** The time until a leaving endpoint gets no new work and is empty, and what runs there later. */
final class DrainExperiment {
  private static final double[] RATIOS = {0.5, 0.8, 0.95};
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long DECISION_NANOS = 3_010 * NANOS_PER_MILLI;
  private static final long SETTLE_NANOS = 2_000 * NANOS_PER_MILLI;
  private static final long POLL_NANOS = 10 * NANOS_PER_MILLI;
  private static final long END_MILLIS = 8_000;
  private static final double TARGET_NO_NEW_WORK_MILLIS = 3_000;
  private static final int DRAINED = 0;

  private final Report report;
  private final long seed;
  private double worstMillis;
  private long worstCut;

  DrainExperiment(Report report, long seed) {
    this.report = report;
    this.seed = seed;
  }

  void run() {
    report.title("Drain of one endpoint");
    report.header(
        "service",
        "offered",
        "said by",
        "in use at the decision",
        "last new work after ms",
        "empty after ms",
        "arrived after empty",
        "timed out");
    for (ModelService service : List.of(ModelService.ORDER_DESK, ModelService.CREDIT_LEDGER)) {
      for (double ratio : RATIOS) {
        drain(service, ratio, DrainCause.MANIFEST);
        drain(service, ratio, DrainCause.OWN_REPORT);
      }
    }
    report.verdict(
        "no new work after 3 s",
        Report.millis(worstMillis) + " ms at worst",
        worstMillis <= TARGET_NO_NEW_WORK_MILLIS);
    report.verdict("no request cut", worstCut + " cut", worstCut == 0);
  }

  private void drain(ModelService service, double ratio, DrainCause cause) {
    LoadShape load = LoadShape.steady(ratio, END_MILLIS);
    Simulation simulation =
        new Simulation(service, Policy.MUSTARDSTAGE, Scenario.HEALTHY, load, seed);
    Watch watch = new Watch(simulation, simulation.endpoints().get(DRAINED));
    simulation.events().after(DECISION_NANOS, () -> watch.decide(cause));
    RunResult result = simulation.run(DECISION_NANOS / NANOS_PER_MILLI);
    worstMillis = Math.max(worstMillis, watch.lastNewWorkMillis());
    worstCut += watch.arrivedAfterEmpty();
    report.row(
        List.of(
            service.name(),
            Report.percent(ratio),
            cause.name().toLowerCase(Locale.ROOT),
            Integer.toString(watch.inUseAtDecision),
            Report.millis(watch.lastNewWorkMillis()),
            watch.emptyMillis().map(Report::millis).orElse("not empty"),
            Long.toString(watch.arrivedAfterEmpty()),
            Long.toString(result.timedOut())));
  }

  /** Follows one drained endpoint by the classes of the core. */
  private static final class Watch {
    private final Simulation simulation;
    private final ModelEndpoint endpoint;
    private final DrainProgress progress = new DrainProgress(SETTLE_NANOS);
    private DrainPlan plan = DrainPlan.NONE;
    private int inUseAtDecision;
    private long submittedAtEmpty = -1;

    Watch(Simulation simulation, ModelEndpoint endpoint) {
      this.simulation = simulation;
      this.endpoint = endpoint;
    }

    void decide(DrainCause cause) {
      inUseAtDecision = endpoint.inUse();
      plan = new DrainPlan(ImmutableMap.of(endpoint.id, ImmutableSet.of(cause)), ImmutableSet.of());
      if (cause == DrainCause.MANIFEST) {
        simulation.entries().forEach(entry -> entry.onDrain(endpoint));
      } else {
        endpoint.draining = true;
      }
      poll();
    }

    double lastNewWorkMillis() {
      return Math.max(0, endpoint.lastStartNanos() - DECISION_NANOS) / (double) NANOS_PER_MILLI;
    }

    Optional<Double> emptyMillis() {
      return progress
          .stateOf(endpoint.id)
          .filter(DrainState.Drained.class::isInstance)
          .map(state -> ((DrainState.Drained) state).lastRequestEndNanos() - DECISION_NANOS)
          .map(nanos -> nanos / (double) NANOS_PER_MILLI);
    }

    /** Returns the requests that came after the endpoint was empty for the first time. */
    long arrivedAfterEmpty() {
      return submittedAtEmpty < 0 ? 0 : endpoint.submitted() - submittedAtEmpty;
    }

    private void poll() {
      progress.update(simulation.events().nowNanos(), plan, id -> endpoint.reserved());
      if (submittedAtEmpty < 0 && progress.isComplete()) {
        submittedAtEmpty = endpoint.submitted();
      }
      simulation.events().after(POLL_NANOS, this::poll);
    }
  }
}
