package org.mustardstage.core.route;

/** The weight that a measurement has left after some time. */
final class ExponentialDecay {
  private ExponentialDecay() {}

  /** Returns 1 for a new measurement, one half after {@code halfLifeNanos}, and so on. */
  static double weight(long ageNanos, double halfLifeNanos) {
    return ageNanos <= 0 ? 1 : Math.exp(-Math.log(2) * ageNanos / halfLifeNanos);
  }
}
