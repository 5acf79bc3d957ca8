package org.mustardstage.core.hedge;

import java.util.OptionalDouble;
import org.HdrHistogram.Histogram;

/**
 * How much longer than expected responses take: the distribution of elapsed time divided by the
 * expected time, over the last one to two periods. A ratio holds for warm and cold objects and for
 * endpoints near and far alike, so few responses are enough for a quantile.
 *
 * <p>Bounded in memory: two histograms of ratios from 0.01 to 100 with two digits.
 */
final class SlowdownHistogram {
  private static final long PERIOD_NANOS = 10_000_000_000L;
  private static final int SCALE = 100;
  private static final int MAX_RATIO = 100;
  private static final int SIGNIFICANT_DIGITS = 2;

  /** A quantile of fewer responses says little about the tail. */
  private static final int MIN_RESPONSES = 20;

  private Histogram current = newHistogram();
  private Histogram previous = newHistogram();
  private long periodStartNanos;

  SlowdownHistogram(long nowNanos) {
    periodStartNanos = nowNanos;
  }

  private static Histogram newHistogram() {
    return new Histogram((long) SCALE * MAX_RATIO, SIGNIFICANT_DIGITS);
  }

  void record(long nowNanos, long expectedNanos, long elapsedNanos) {
    rotate(nowNanos);
    double ratio = elapsedNanos / (double) Math.max(1, expectedNanos);
    current.recordValue((long) Math.min((double) SCALE * MAX_RATIO, Math.max(1, ratio * SCALE)));
  }

  /** Returns a quantile of the recent ratios; empty while too few are known. */
  OptionalDouble quantile(long nowNanos, double quantile) {
    rotate(nowNanos);
    if (current.getTotalCount() + previous.getTotalCount() < MIN_RESPONSES) {
      return OptionalDouble.empty();
    }
    Histogram larger = current.getTotalCount() >= previous.getTotalCount() / 2 ? current : previous;
    return OptionalDouble.of(larger.getValueAtPercentile(quantile * 100) / (double) SCALE);
  }

  private void rotate(long nowNanos) {
    if (nowNanos - periodStartNanos < PERIOD_NANOS) {
      return;
    }
    boolean missedPeriod = nowNanos - periodStartNanos >= 2 * PERIOD_NANOS;
    Histogram emptied = previous;
    emptied.reset();
    previous = current;
    current = emptied;
    if (missedPeriod) {
      previous.reset();
    }
    periodStartNanos = nowNanos;
  }
}
