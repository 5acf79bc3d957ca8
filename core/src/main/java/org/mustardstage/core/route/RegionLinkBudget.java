package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * Token bucket for the share that one entry VM has of the network between two regions, in one
 * direction. A transfer takes its expected size at the start, and the difference to the actual size
 * is settled at its end. When transfers were larger than expected the balance turns negative, and
 * no transfer starts until it has refilled.
 */
public final class RegionLinkBudget {
  private static final double BITS_PER_BYTE = 8;
  private static final double NANOS_PER_SECOND = 1e9;

  private final long burstNanos;
  private double bytesPerNano;
  private double availableBytes;
  private long updatedNanos;

  /**
   * Creates a full budget.
   *
   * @param bitsPerSecond the rate of this entry VM
   * @param burstNanos the size of the bucket, as the time in which it fills
   */
  public RegionLinkBudget(long nowNanos, long bitsPerSecond, long burstNanos) {
    Preconditions.checkArgument(burstNanos > 0, "burstNanos must be positive");
    this.burstNanos = burstNanos;
    this.updatedNanos = nowNanos;
    setRate(nowNanos, bitsPerSecond);
    this.availableBytes = maxAvailableBytes();
  }

  /** Returns the rate of each sender when {@code senders} divide the bandwidth equally. */
  public static long equalRate(long linkBitsPerSecond, int senders) {
    Preconditions.checkArgument(senders > 0, "senders must be positive");
    return linkBitsPerSecond / senders;
  }

  /** Changes the rate from now on. */
  public void setRate(long nowNanos, long bitsPerSecond) {
    Preconditions.checkArgument(bitsPerSecond >= 0, "bitsPerSecond must not be negative");
    refill(nowNanos);
    bytesPerNano = bitsPerSecond / BITS_PER_BYTE / NANOS_PER_SECOND;
    availableBytes = Math.min(availableBytes, maxAvailableBytes());
  }

  /**
   * Takes {@code expectedBytes} and returns true when a transfer may start. A transfer larger than
   * the bucket may start when the bucket is full.
   */
  public boolean tryAcquire(long nowNanos, long expectedBytes) {
    refill(nowNanos);
    boolean fits = availableBytes >= expectedBytes || availableBytes >= maxAvailableBytes();
    if (!fits || bytesPerNano == 0) {
      return false;
    }
    availableBytes -= expectedBytes;
    return true;
  }

  /** Settles the difference between the expected and the actual size of an ended transfer. */
  public void settle(long nowNanos, long expectedBytes, long actualBytes) {
    refill(nowNanos);
    availableBytes = Math.min(maxAvailableBytes(), availableBytes + expectedBytes - actualBytes);
  }

  private void refill(long nowNanos) {
    long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
    availableBytes = Math.min(maxAvailableBytes(), availableBytes + elapsedNanos * bytesPerNano);
    updatedNanos = nowNanos;
  }

  private double maxAvailableBytes() {
    return burstNanos * bytesPerNano;
  }
}
