package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * The share of one entry VM of a link between two regions, in one direction. A transfer takes its
 * expected size at the start; the difference to the real size is settled at its end, and what was
 * taken too much is paid back before the next transfer starts.
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
   * @param bitsPerSecond the share of this entry VM
   * @param burstNanos the time of which unused share is saved up
   */
  public RegionLinkBudget(long nowNanos, long bitsPerSecond, long burstNanos) {
    Preconditions.checkArgument(burstNanos > 0, "burst must be positive");
    this.burstNanos = burstNanos;
    this.updatedNanos = nowNanos;
    setRate(nowNanos, bitsPerSecond);
    this.availableBytes = maxAvailableBytes();
  }

  /** Returns the share of each of {@code senders} that may use a link. */
  public static long equalRate(long linkBitsPerSecond, int senders) {
    Preconditions.checkArgument(senders > 0, "senders must be positive");
    return linkBitsPerSecond / senders;
  }

  /** Changes the share from now on. */
  public void setRate(long nowNanos, long bitsPerSecond) {
    Preconditions.checkArgument(bitsPerSecond >= 0, "share must not be negative");
    refill(nowNanos);
    bytesPerNano = bitsPerSecond / BITS_PER_BYTE / NANOS_PER_SECOND;
    availableBytes = Math.min(availableBytes, maxAvailableBytes());
  }

  /** Returns whether a transfer of about {@code expectedBytes} may start, and if so takes them. */
  public boolean tryAcquire(long nowNanos, long expectedBytes) {
    refill(nowNanos);
    boolean fits = availableBytes >= expectedBytes || availableBytes >= maxAvailableBytes();
    if (!fits || bytesPerNano == 0) {
      return false;
    }
    availableBytes -= expectedBytes;
    return true;
  }

  /** Settles a transfer that was started with {@code expectedBytes} and moved another number. */
  public void settle(long nowNanos, long expectedBytes, long movedBytes) {
    refill(nowNanos);
    availableBytes = Math.min(maxAvailableBytes(), availableBytes + expectedBytes - movedBytes);
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
