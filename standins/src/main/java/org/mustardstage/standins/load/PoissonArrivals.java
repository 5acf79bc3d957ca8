package org.mustardstage.standins.load;

import java.util.List;
import java.util.random.RandomGenerator;
import org.mustardstage.schema.generated.LoadCall;
import org.mustardstage.schema.generated.LoadPlan;

/**
 * Generates an open-loop Poisson arrival process: due times, calls and callers of requests don't
 * depend on the outcomes of earlier requests.
 */
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

  /** Returns when the next request is due, in milliseconds since the start of the load. */
  long nextDueMillis() {
    return (long) nextDueMillis;
  }

  /** Returns the next request and advances to the one after it. */
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

  /** A request with its due time, its call and the index of its caller. */
  record Arrival(long dueMillis, LoadCall call, int caller) {}
}
