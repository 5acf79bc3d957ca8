package org.mustardstage.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.mustardstage.core.id.VmId;

/**
 * The shares that other VMs have lent to this one, each until a time on this VM's clock. Handles
 * lenders that fail or are cut off: their shares end by themselves.
 */
final class BorrowedShares {
  private static final long NANOS_UNTIL_FORGOTTEN = 10_000_000_000L;

  private final long loanNanos;
  private final Map<VmId, Loan> loans = new HashMap<>();
  private long lastMark;

  /** What one VM has lent, and the last two marks that were sent to it. */
  private static final class Loan {
    private int shareCount;
    private long endsNanos;
    private int knownVms;
    private boolean settled;
    private long mark;
    private long markSentNanos;
    private long markBefore;
    private long markBeforeSentNanos;

    OptionalLong sentNanos(long returned) {
      if (returned != 0 && returned == mark) {
        return OptionalLong.of(markSentNanos);
      }
      return returned != 0 && returned == markBefore
          ? OptionalLong.of(markBeforeSentNanos)
          : OptionalLong.empty();
    }
  }

  /** Creates an empty set; {@code firstMark} must differ from run to run of the VM. */
  BorrowedShares(long loanNanos, long firstMark) {
    this.loanNanos = loanNanos;
    this.lastMark = firstMark;
  }

  /** Applies a renewal and returns the mark that answers it. */
  long renew(long nowNanos, VmId lender, QuotaMessage.Shares shares) {
    Loan loan =
        loans.computeIfAbsent(
            lender,
            vm -> {
              Loan created = new Loan();
              created.endsNanos = nowNanos - 1;
              return created;
            });
    loan.sentNanos(shares.mark())
        .ifPresent(
            sentNanos -> {
              loan.shareCount = shares.shareCount();
              loan.endsNanos = sentNanos + loanNanos;
            });
    loan.knownVms = shares.knownVms();
    loan.settled = shares.settled();
    loan.markBefore = loan.mark;
    loan.markBeforeSentNanos = loan.markSentNanos;
    loan.mark = ++lastMark;
    loan.markSentNanos = nowNanos;
    return loan.mark;
  }

  /** Returns the sum of the shares that are lent until {@code untilNanos} at least. */
  int countUntil(long untilNanos) {
    return loans.values().stream()
        .filter(loan -> loan.endsNanos - untilNanos >= 0)
        .mapToInt(loan -> loan.shareCount)
        .sum();
  }

  /** Returns the largest number of VMs that any lender knows; 0 if there is no loan. */
  int knownVms(long nowNanos) {
    return loans.values().stream()
        .filter(loan -> loan.endsNanos - nowNanos >= 0)
        .mapToInt(loan -> loan.knownVms)
        .max()
        .orElse(0);
  }

  /** Returns whether any lender knows all VMs. */
  boolean isSettled(long nowNanos) {
    return loans.values().stream().anyMatch(loan -> loan.endsNanos - nowNanos >= 0 && loan.settled);
  }

  /** Forgets VMs whose loans ended long ago. */
  void forgetEnded(long nowNanos) {
    loans.values().removeIf(loan -> nowNanos - loan.endsNanos > NANOS_UNTIL_FORGOTTEN);
  }
}
