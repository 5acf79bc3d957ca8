package org.mustardstage.standins.load;

import java.util.List;
import java.util.random.RandomGenerator;
import org.mustardstage.schema.generated.LoadCall;
import org.mustardstage.schema.generated.LoadPlan;

/** Draws when requests are due and which they are, whatever became of earlier ones. */
final class PoissonArrivals {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final LoadPlan plan;
  private final RandomGenerator random;
  private final double totalWeight;
  private double nextDueMillis;

  PoissonArrivals(LoadPlan plan, RandomGenerator random) {
    this.plan = plan;
    this.random = random;
    this.totalWeight = plan.getCalls().stream().mapToDouble(LoadCall::getWeight).sum();
    advance();
  }

  /** Returns whether another request is due within the duration of the plan. */
  boolean hasNext() {
    return nextDueMillis < plan.getDurationMillis();
  }

  /** Returns when the next request is due, from the start of the load. */
  long nextDueMillis() {
    return (long) nextDueMillis;
  }

  /** Takes the next request. */
  Arrival next() {
    Arrival arrival =
        new Arrival(
            nextDueMillis(), chooseCall(), random.nextInt(Math.toIntExact(plan.getCallers())));
    advance();
    return arrival;
  }

  private void advance() {
    nextDueMillis += random.nextExponential() * MILLIS_PER_SECOND / plan.getRequestsPerSecond();
  }

  private LoadCall chooseCall() {
    List<LoadCall> calls = plan.getCalls();
    double drawn = random.nextDouble() * totalWeight;
    for (LoadCall call : calls) {
      drawn -= call.getWeight();
      if (drawn < 0) {
        return call;
      }
    }
    return calls.getLast();
  }

  /** A request that is due. */
  record Arrival(long dueMillis, LoadCall call, int caller) {}
}
