package org.mustardstage.core.quota;

import java.time.Duration;
import java.util.Optional;
import org.mustardstage.core.id.VmId;

/**
 * Lends the shares of this VM, or of its zone, to one VM at a time.
 *
 * <p>Handles VMs whose views of each other differ, VMs that are cut off and late messages: a loan
 * ends at its borrower a fixed time after the borrower sent the mark that the lender returned. The
 * lender got that mark later, so when that time has passed since then, the loan has ended whatever
 * became of the borrower, and the shares are lent to another VM.
 */
final class ShareLoan {
  static final long RENEWAL_NANOS = Duration.ofMillis(400).toNanos();
  private static final long SILENT_NANOS = Duration.ofSeconds(1).toNanos();

  private final long loanNanos;
  private Optional<VmId> borrower = Optional.empty();
  private long sinceNanos;
  private long mark;
  private long markReceivedNanos;
  private Optional<Long> endsNanos = Optional.empty();
  private long lastSentNanos;

  /** Creates a loan that ends {@code loanNanos} after the borrower's last mark that is returned. */
  ShareLoan(long loanNanos) {
    this.loanNanos = loanNanos;
  }

  /** Returns the VM to which the shares are lent. */
  Optional<VmId> borrower() {
    return borrower;
  }

  /**
   * Prepares the renewal that is due, if any, for which {@link Renewal} says to whom and with which
   * mark it must be sent.
   */
  Optional<Renewal> renew(long nowNanos, VmId wanted) {
    if (!borrower.equals(Optional.of(wanted))) {
      if (endsNanos.isPresent() && nowNanos - endsNanos.get() <= 0) {
        return Optional.empty();
      }
      borrower = Optional.of(wanted);
      sinceNanos = nowNanos;
      mark = 0;
      endsNanos = Optional.empty();
      lastSentNanos = nowNanos - RENEWAL_NANOS;
    }
    if (nowNanos - lastSentNanos < RENEWAL_NANOS) {
      return Optional.empty();
    }
    return Optional.of(send(nowNanos));
  }

  private Renewal send(long nowNanos) {
    lastSentNanos = nowNanos;
    if (mark != 0) {
      endsNanos = Optional.of(markReceivedNanos + loanNanos);
    }
    return new Renewal(borrower.orElseThrow(), mark);
  }

  /** Records a mark; the first one of a borrower is returned to it at once. */
  Optional<Renewal> recordMark(long nowNanos, VmId from, long newMark) {
    if (!borrower.equals(Optional.of(from))) {
      return Optional.empty();
    }
    boolean isFirst = mark == 0;
    mark = newMark;
    markReceivedNanos = nowNanos;
    return isFirst ? Optional.of(send(nowNanos)) : Optional.empty();
  }

  /** Returns whether the borrower has not answered for long. */
  boolean isSilent(long nowNanos) {
    long heardNanos = mark == 0 ? sinceNanos : markReceivedNanos;
    return borrower.isPresent() && nowNanos - heardNanos > SILENT_NANOS;
  }

  /** A renewal of the loan to {@code to}, with the last mark that it has sent, or 0. */
  record Renewal(VmId to, long mark) {}
}
