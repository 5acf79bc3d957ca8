package org.mustardstage.standins.bench.policies;

import java.util.random.RandomGenerator;
import org.mustardstage.core.manifest.Priority;

/**
 * A kind of call in the model.
 *
 * @param priority its place under overload
 * @param share its share of the requests
 * @param serviceMillis its mean service time
 * @param deadlineMillis how long its caller waits
 */
record CallType(Priority priority, double share, double serviceMillis, long deadlineMillis) {
  private static final double NANOS_PER_MILLI = 1e6;

  /** Returns a service time: half of the mean, and an exponential part with the other half. */
  long drawServiceNanos(RandomGenerator random) {
    double exponential = -Math.log(1 - random.nextDouble());
    return (long) (serviceMillis * NANOS_PER_MILLI * (0.5 + 0.5 * exponential));
  }

  long deadlineNanos() {
    return (long) (deadlineMillis * NANOS_PER_MILLI);
  }
}
