package org.mustardstage.core.permit;

import com.google.common.base.Preconditions;

/**
 * The durations and bounds of the permit protocol.
 *
 * @param leaseDurationNanos the duration of the longest lease, which also bounds the use of a
 *     permit
 * @param renewBeforeNanos a lease with less remaining time is renewed
 * @param maxClockRateErrorPpm the largest error of the rate of a clock, in parts per million
 * @param idleReturnNanos how long an idle permit stays at the VM that used it last
 * @param pauseThresholdNanos a longer gap between two events counts as a pause of the process
 * @param deadlineMarginNanos how long a request may run past its deadline by the clock of the
 *     sender
 * @param ownershipValidityNanos how long ownership is valid after a confirmation
 * @param remoteLeaseDurationNanos the duration of the longest lease to a VM of another zone
 * @param remoteIdleReturnNanos how long an idle permit of another zone stays at the VM that used it
 *     last
 * @param permitsWantedNanos how long receivers of {@link PermitMessage.PermitsWanted} send idle
 *     permits
 * @param allocatorTimeoutNanos how long to wait for an allocator before the other VMs of the zone,
 *     the owners, are asked for leases
 * @param maxQueuedRequests the most queued requests, and the most queued lease requests of other
 *     VMs
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
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long DEFAULT_LEASE_DURATION_NANOS = 10_000 * NANOS_PER_MILLI;
  private static final long DEFAULT_DEADLINE_MARGIN_NANOS = 250 * NANOS_PER_MILLI;
  private static final long PARTS_PER_MILLION = 1_000_000L;

  /** Checks that the durations are consistent. */
  public PermitSettings {
    Preconditions.checkArgument(leaseDurationNanos > 0, "leaseDurationNanos must be positive");
    Preconditions.checkArgument(
        deadlineMarginNanos >= 0 && deadlineMarginNanos < leaseDurationNanos / 2,
        "deadlineMarginNanos must be at least 0 and below half of leaseDurationNanos");
    Preconditions.checkArgument(
        renewBeforeNanos > 0 && renewBeforeNanos < leaseDurationNanos,
        "renewBeforeNanos must be positive and below leaseDurationNanos");
    Preconditions.checkArgument(
        maxClockRateErrorPpm >= 0 && maxClockRateErrorPpm < PARTS_PER_MILLION / 10,
        "maxClockRateErrorPpm must be at least 0 and below 100000");
    Preconditions.checkArgument(
        pauseThresholdNanos > 0 && pauseThresholdNanos <= leaseDurationNanos,
        "pauseThresholdNanos must be positive and not exceed leaseDurationNanos");
    Preconditions.checkArgument(
        ownershipValidityNanos > 0 && ownershipValidityNanos <= leaseDurationNanos,
        "ownershipValidityNanos must be positive and not exceed leaseDurationNanos");
    Preconditions.checkArgument(
        remoteLeaseDurationNanos > 0 && remoteLeaseDurationNanos <= leaseDurationNanos,
        "remoteLeaseDurationNanos must be positive and not exceed leaseDurationNanos");
    Preconditions.checkArgument(maxQueuedRequests > 0, "maxQueuedRequests must be positive");
  }

  /** Returns the default settings, for deadlines below five seconds. */
  public static PermitSettings defaults() {
    return forLeaseDuration(DEFAULT_LEASE_DURATION_NANOS);
  }

  /** Returns settings under which a request may run for {@code deadlineNanos}. */
  public static PermitSettings forMaxDeadline(long deadlineNanos) {
    return forLeaseDuration(
        Math.max(
            DEFAULT_LEASE_DURATION_NANOS, 2 * (deadlineNanos + DEFAULT_DEADLINE_MARGIN_NANOS)));
  }

  /** Returns settings with durations derived from the lease duration. */
  static PermitSettings forLeaseDuration(long leaseNanos) {
    return new PermitSettings(
        leaseNanos,
        leaseNanos * 3 / 4,
        500,
        5 * NANOS_PER_MILLI,
        2_000 * NANOS_PER_MILLI,
        DEFAULT_DEADLINE_MARGIN_NANOS,
        leaseNanos / 2,
        leaseNanos * 3 / 4,
        1_000 * NANOS_PER_MILLI,
        100 * NANOS_PER_MILLI,
        60 * NANOS_PER_MILLI,
        4_096);
  }

  /**
   * Returns the longest time for which a request may use a permit. It is short enough that any
   * renewed lease covers it.
   */
  public long maxUseNanos() {
    return leaseDurationNanos / 2 - deadlineMarginNanos;
  }

  /**
   * Returns how long the permits of an owner may still be in use or leased after its process ended.
   */
  public long takeoverWaitNanos() {
    return lengthenForClockError(leaseDurationNanos) + deadlineMarginNanos;
  }

  /** Shortens a duration so that it ends in time even on a clock that runs slow. */
  long shortenForClockError(long nanos) {
    return nanos - clockErrorNanos(nanos);
  }

  /** Lengthens a duration so that it does not end too early on a clock that runs fast. */
  long lengthenForClockError(long nanos) {
    return nanos + clockErrorNanos(nanos);
  }

  // Twice the rate error, because both clocks may be off, in opposite directions.
  private long clockErrorNanos(long nanos) {
    return 2 * maxClockRateErrorPpm * (nanos / PARTS_PER_MILLION + 1);
  }
}
