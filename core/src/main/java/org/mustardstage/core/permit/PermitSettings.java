package org.mustardstage.core.permit;

import com.google.common.base.Preconditions;

/**
 * The times and bounds by which permits are leased.
 *
 * @param leaseNanos the longest lease, and so the longest use of a permit
 * @param renewBeforeNanos a lease with less time left is renewed
 * @param maxClockRateErrorPpm how far the rate of a clock may be off, in parts per million
 * @param idleReturnNanos how long an idle permit stays where it was last used
 * @param pauseNanos a gap between two events longer than this counts as a pause of the process
 * @param deadlineMarginNanos how long a request may run past its deadline as the sender counts it
 * @param ownershipValidityNanos how long ownership lasts without confirmation
 * @param remoteLeaseNanos the longest lease to a VM of another zone
 * @param remoteIdleReturnNanos how long an idle permit of another zone stays where it was used
 * @param wantedNanos how long a call for idle permits is heeded
 * @param askOwnersNanos how long a request waits for the allocators before the owners are asked
 * @param maxWaiting the most requests that wait, and the most waiting requests of other VMs
 */
public record PermitSettings(
    long leaseDurationNanos,
    long renewBeforeNanos,
    long maxClockRateErrorPpm,
    long idleReturnNanos,
    long pauseThresholdNanos,
    long deadlineMarginNanos,
    long ownershipValidityNanos,
    long remoteLeaseDurationNanos,
    long remoteIdleReturnNanos,
    long permitsWantedNanos,
    long allocatorTimeoutNanos,
    int maxQueuedRequests) {
  private static final long MILLIS = 1_000_000L;
  private static final long DEFAULT_LEASE_NANOS = 10_000 * MILLIS;
  private static final long DEADLINE_MARGIN_NANOS = 250 * MILLIS;
  private static final long MILLION = 1_000_000L;

  /** Checks that the times fit together. */
  public PermitSettings {
    Preconditions.checkArgument(leaseDurationNanos > 0, "leaseNanos must be positive");
    Preconditions.checkArgument(
        deadlineMarginNanos >= 0 && deadlineMarginNanos < leaseDurationNanos / 2,
        "deadlineMarginNanos must be below half of leaseNanos");
    Preconditions.checkArgument(
        renewBeforeNanos > 0 && renewBeforeNanos < leaseDurationNanos,
        "renewBeforeNanos out of range");
    Preconditions.checkArgument(
        maxClockRateErrorPpm >= 0 && maxClockRateErrorPpm < MILLION / 10,
        "maxClockRateErrorPpm out of range");
    Preconditions.checkArgument(
        pauseThresholdNanos > 0 && pauseThresholdNanos <= leaseDurationNanos,
        "pauseNanos must not exceed leaseNanos");
    Preconditions.checkArgument(
        ownershipValidityNanos > 0 && ownershipValidityNanos <= leaseDurationNanos,
        "ownershipValidityNanos must not exceed leaseNanos");
    Preconditions.checkArgument(
        remoteLeaseDurationNanos > 0 && remoteLeaseDurationNanos <= leaseDurationNanos,
        "remoteLeaseNanos must not exceed leaseNanos");
    Preconditions.checkArgument(maxQueuedRequests > 0, "maxWaiting must be positive");
  }

  /** Returns the settings for deadlines below five seconds. */
  public static PermitSettings defaults() {
    return forLease(DEFAULT_LEASE_NANOS);
  }

  /** Returns settings under which a request may run for {@code deadlineNanos}. */
  public static PermitSettings forMaxDeadline(long deadlineNanos) {
    return forLease(Math.max(DEFAULT_LEASE_NANOS, 2 * (deadlineNanos + DEADLINE_MARGIN_NANOS)));
  }

  /** Returns settings whose times fit the lease. */
  static PermitSettings forLease(long leaseNanos) {
    return new PermitSettings(
        leaseNanos,
        leaseNanos * 3 / 4,
        500,
        5 * MILLIS,
        2_000 * MILLIS,
        DEADLINE_MARGIN_NANOS,
        leaseNanos / 2,
        leaseNanos * 3 / 4,
        1_000 * MILLIS,
        100 * MILLIS,
        60 * MILLIS,
        4_096);
  }

  /** Returns the longest time a request may use a permit: any renewed lease covers it. */
  public long maxUseNanos() {
    return leaseDurationNanos / 2 - deadlineMarginNanos;
  }

  /** Returns how long the permits of an owner may be in use or leased after it ended. */
  public long takeoverWaitNanos() {
    return stretch(leaseDurationNanos) + deadlineMarginNanos;
  }

  /** Returns {@code nanos} shortened so that it ends in time on a clock that runs slow. */
  long shrink(long nanos) {
    return nanos - errorOf(nanos);
  }

  /** Returns {@code nanos} lengthened so that it ends in time on a clock that runs fast. */
  long stretch(long nanos) {
    return nanos + errorOf(nanos);
  }

  private long errorOf(long nanos) {
    return 2 * maxClockRateErrorPpm * (nanos / MILLION + 1);
  }
}
