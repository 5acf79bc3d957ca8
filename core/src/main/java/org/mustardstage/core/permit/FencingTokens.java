package org.mustardstage.core.permit;

/**
 * Arithmetic of lease stamps. The high bits number the leases of a permit, the low bits count how
 * often a lease was passed on. A stamp is a fencing token: a VM accepts only a larger one.
 */
final class FencingTokens {
  private static final int TRANSFER_BITS = 8;
  private static final long TRANSFER_MASK = (1L << TRANSFER_BITS) - 1;
  private static final int REVISION_SHIFT_BITS = 36;

  private static final long ZONE_STEP = 1L << 30;

  private FencingTokens() {}

  /** Returns the stamp of the lease after the one of {@code stamp}. */
  static long nextLease(long stamp) {
    return (stamp | TRANSFER_MASK) + 1;
  }

  /** Returns the stamp of the same lease when it is passed on. */
  static long afterTransfer(long stamp) {
    return stamp + 1;
  }

  /** Returns whether the lease may be passed on. */
  static boolean mayTransfer(long stamp) {
    return (stamp & TRANSFER_MASK) != TRANSFER_MASK;
  }

  /** Returns whether two stamps are of one lease. */
  static boolean isSameLease(long first, long second) {
    return first >>> TRANSFER_BITS == second >>> TRANSFER_BITS;
  }

  /** Returns a stamp past all that owners of earlier revisions issued. */
  static long floorOf(long revision) {
    return revision << REVISION_SHIFT_BITS;
  }

  /** Returns a stamp past all that a zone has issued which the limit left. */
  static long afterZoneChange(long stamp) {
    return stamp + ZONE_STEP;
  }
}
