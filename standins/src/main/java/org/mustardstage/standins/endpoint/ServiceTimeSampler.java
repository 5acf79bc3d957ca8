package org.mustardstage.standins.endpoint;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.mustardstage.schema.generated.EndpointPath;

/** Samples service times from a log-normal distribution, given by median and 99th percentile. */
final class ServiceTimeSampler {
  private static final double STANDARD_SCORE_P99 = 2.326;
  private static final double MIN_MILLIS = 1;

  private final RandomGenerator random;

  ServiceTimeSampler(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns a random service time for {@code path}, multiplied by {@code factor}; at least 1 ms,
   * also if the profile has no such path.
   */
  long sampleMillis(Optional<EndpointPath> path, double factor) {
    double millis = path.map(this::drawMillis).orElse(MIN_MILLIS);
    return Math.round(Math.max(MIN_MILLIS, millis * factor));
  }

  private double drawMillis(EndpointPath path) {
    double median = path.getMedianMillis();
    double sigma = Math.log(Math.max(1, path.getP99Millis() / median)) / STANDARD_SCORE_P99;
    return median * Math.exp(sigma * random.nextGaussian());
  }
}
