package org.mustardstage.core.permit;

/**
 * Arithmetic of the fencing tokens of leases. The high bits count the leases of a permit, and the
 * low bits count the transfers of a lease. A VM accepts a lease only with a larger token than the
 * latest one of the permit, so that delayed and duplicated messages are ignored.
 */
final class FencingTokens {
  private static final int TRANSFER_BITS = 8;
  private static final long TRANSFER_MASK = (1L << TRANSFER_BITS) - 1;
  private static final int REVISION_SHIFT_BITS = 36;

  private static final long ZONE_STEP = 1L << 30;

  private FencingTokens() {}

  /** Returns the token of the lease that follows the lease of {@code token}. */
  static long nextLease(long token) {
    return (token | TRANSFER_MASK) + 1;
  }

  /** Returns the token of the same lease after a transfer. */
  static long afterTransfer(long token) {
    return token + 1;
  }

  /** Returns whether the lease may be transferred again: its transfer count still fits. */
  static boolean mayTransfer(long token) {
    return (token & TRANSFER_MASK) != TRANSFER_MASK;
  }

  /** Returns whether two tokens belong to the same lease. */
  static boolean isSameLease(long first, long second) {
    return first >>> TRANSFER_BITS == second >>> TRANSFER_BITS;
  }

  /** Returns a token above all that owners under earlier revisions issued. */
  static long floorOf(long revision) {
    return revision << REVISION_SHIFT_BITS;
  }

  /** Returns a token above all that were issued in the zone that the limit moved from. */
  static long afterZoneChange(long token) {
    return token + ZONE_STEP;
  }
}
