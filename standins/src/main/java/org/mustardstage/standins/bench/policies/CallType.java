package org.mustardstage.standins.bench.policies;

import java.util.random.RandomGenerator;
import org.mustardstage.core.manifest.Priority;

/**
 * A type of call to a simulated service.
 *
 * @param priority the priority under overload
 * @param trafficShare the fraction of the requests that are of this type
 * @param meanServiceTimeMillis the mean time that a request occupies a slot
 * @param timeoutMillis how long the caller waits for a response
 */
record CallType(
    Priority priority, double trafficShare, double meanServiceTimeMillis, long timeoutMillis) {
  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Returns a random service time: a constant half of the mean, plus an exponentially distributed
   * part whose mean is the other half.
   */
  long drawServiceTimeNanos(RandomGenerator random) {
    double exponential = -Math.log(1 - random.nextDouble());
    return (long) (meanServiceTimeMillis * NANOS_PER_MILLI * (0.5 + 0.5 * exponential));
  }

  long timeoutNanos() {
    return (long) (timeoutMillis * NANOS_PER_MILLI);
  }
}
