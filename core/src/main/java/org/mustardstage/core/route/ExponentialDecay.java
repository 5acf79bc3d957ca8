package org.mustardstage.core.route;

/** Computes the weight of a measurement by its age. */
final class ExponentialDecay {
  private ExponentialDecay() {}

  /** Returns 1 for a new measurement and half as much after each {@code halfLifeNanos}. */
  static double weight(long ageNanos, double halfLifeNanos) {
    return ageNanos <= 0 ? 1 : Math.exp(-Math.log(2) * ageNanos / halfLifeNanos);
  }
}
