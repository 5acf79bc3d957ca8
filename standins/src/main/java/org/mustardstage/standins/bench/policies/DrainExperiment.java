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

/**
 * Measures how long a draining endpoint still receives requests, when its last request ends, and
 * how many requests arrive after that.
 */
final class DrainExperiment {
  private static final double[] RATIOS = {0.5, 0.8, 0.95};
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long DRAIN_START_NANOS = 3_010 * NANOS_PER_MILLI;
  private static final long SETTLE_NANOS = 2_000 * NANOS_PER_MILLI;
  private static final long POLL_INTERVAL_NANOS = 10 * NANOS_PER_MILLI;
  private static final long END_MILLIS = 8_000;
  private static final double TARGET_NO_NEW_WORK_MILLIS = 3_000;
  private static final int DRAINED_ENDPOINT_INDEX = 0;

  private final MarkdownReport report;
  private final long seed;
  private double maxNewWorkMillis;
  private long arrivedAfterEmpty;

  DrainExperiment(MarkdownReport report, long seed) {
    this.report = report;
    this.seed = seed;
  }

  void run() {
    report.startSection("Drain of one endpoint");
    report.printHeader(
        "service",
        "offered",
        "said by",
        "in use at the decision",
        "last new work after ms",
        "empty after ms",
        "arrived after empty",
        "timed out");
    for (ServiceModel service : List.of(ServiceModel.ORDER_DESK, ServiceModel.CREDIT_LEDGER)) {
      for (double ratio : RATIOS) {
        measureDrain(service, ratio, DrainCause.MANIFEST);
        measureDrain(service, ratio, DrainCause.OWN_REPORT);
      }
    }
    report.addVerdict(
        "no new work after 3 s",
        MarkdownReport.millis(maxNewWorkMillis) + " ms at worst",
        maxNewWorkMillis <= TARGET_NO_NEW_WORK_MILLIS);
    report.addVerdict("no request cut", arrivedAfterEmpty + " cut", arrivedAfterEmpty == 0);
  }

  private void measureDrain(ServiceModel service, double ratio, DrainCause cause) {
    LoadShape load = LoadShape.steady(ratio, END_MILLIS);
    Simulation simulation =
        new Simulation(service, EntryVmPolicy.MUSTARDSTAGE, Scenario.HEALTHY, load, seed);
    DrainObserver observer =
        new DrainObserver(simulation, simulation.endpoints().get(DRAINED_ENDPOINT_INDEX));
    simulation.scheduler().schedule(DRAIN_START_NANOS, () -> observer.startDrain(cause));
    RunResult result = simulation.run(DRAIN_START_NANOS / NANOS_PER_MILLI);
    maxNewWorkMillis = Math.max(maxNewWorkMillis, observer.lastNewWorkMillis());
    arrivedAfterEmpty += observer.arrivedAfterEmpty();
    report.printRow(
        List.of(
            service.name(),
            MarkdownReport.percent(ratio),
            cause.name().toLowerCase(Locale.ROOT),
            Integer.toString(observer.inUseAtStart),
            MarkdownReport.millis(observer.lastNewWorkMillis()),
            observer.emptyMillis().map(MarkdownReport::millis).orElse("not empty"),
            Long.toString(observer.arrivedAfterEmpty()),
            Long.toString(result.timedOut())));
  }

  /** Tracks the drain of one endpoint with the classes of the core. */
  private static final class DrainObserver {
    private final Simulation simulation;
    private final EndpointModel endpoint;
    private final DrainProgress progress = new DrainProgress(SETTLE_NANOS);
    private DrainPlan plan = DrainPlan.NONE;
    private int inUseAtStart;
    private long submittedAtEmpty = -1;

    DrainObserver(Simulation simulation, EndpointModel endpoint) {
      this.simulation = simulation;
      this.endpoint = endpoint;
    }

    void startDrain(DrainCause cause) {
      inUseAtStart = endpoint.requestsInFlight();
      plan = new DrainPlan(ImmutableMap.of(endpoint.id, ImmutableSet.of(cause)), ImmutableSet.of());
      if (cause == DrainCause.MANIFEST) {
        simulation.entryVms().forEach(entryVm -> entryVm.startDrain(endpoint));
      } else {
        endpoint.draining = true;
      }
      poll();
    }

    double lastNewWorkMillis() {
      return Math.max(0, endpoint.lastSubmitNanos() - DRAIN_START_NANOS) / (double) NANOS_PER_MILLI;
    }

    Optional<Double> emptyMillis() {
      return progress
          .stateOf(endpoint.id)
          .filter(DrainState.Drained.class::isInstance)
          .map(state -> ((DrainState.Drained) state).lastRequestEndNanos() - DRAIN_START_NANOS)
          .map(nanos -> nanos / (double) NANOS_PER_MILLI);
    }

    /** Returns the number of requests that arrived after the endpoint was first found empty. */
    long arrivedAfterEmpty() {
      return submittedAtEmpty < 0 ? 0 : endpoint.submittedRequests() - submittedAtEmpty;
    }

    private void poll() {
      progress.update(simulation.scheduler().nowNanos(), plan, id -> endpoint.permitsInUse());
      if (submittedAtEmpty < 0 && progress.isComplete()) {
        submittedAtEmpty = endpoint.submittedRequests();
      }
      simulation.scheduler().schedule(POLL_INTERVAL_NANOS, this::poll);
    }
  }
}
