package org.mustardstage.standins.bench.policies;

/**
 * The offered load over time, as a multiple of the capacity.
 *
 * @param baseRatio the load outside of the burst
 * @param burstRatio the load within the burst
 * @param burstStartMillis the time at which the burst begins
 * @param burstEndMillis the time at which the burst ends
 * @param endMillis the time at which the run ends
 */
record LoadShape(
    double baseRatio,
    double burstRatio,
    long burstStartMillis,
    long burstEndMillis,
    long endMillis) {
  static final long WINDOW_MILLIS = 250;
  private static final long NANOS_PER_MILLI = 1_000_000;

  static LoadShape steady(double ratio, long endMillis) {
    return new LoadShape(ratio, ratio, 0, 0, endMillis);
  }

  double ratioAt(long nowNanos) {
    long millis = nowNanos / NANOS_PER_MILLI;
    return millis >= burstStartMillis && millis < burstEndMillis ? burstRatio : baseRatio;
  }

  int windowCount() {
    return (int) (endMillis / WINDOW_MILLIS) + 1;
  }

  int windowIndexAt(long nowNanos) {
    return (int) Math.min(windowCount() - 1, nowNanos / NANOS_PER_MILLI / WINDOW_MILLIS);
  }
}
