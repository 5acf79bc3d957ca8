package org.mustardstage.core.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.tenant.TenantQuota;

/** Checks that a share isn't used twice when it is lent to one VM after the other. */
class ShareLoanTest {
  private static final long LOAN_NANOS = Duration.ofMillis(1_200).toNanos();
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final VmId FIRST = new VmId("vm-1");
  private static final VmId SECOND = new VmId("vm-2");
  private static final TenantName TENANT = new TenantName("tenant");

  @Test
  void shareIsLentToAnotherVmOnlyWhenTheLoanHasEnded() {
    ShareLoan loan = new ShareLoan(LOAN_NANOS);
    long markNanos = SECOND_NANOS;
    loan.renew(0, FIRST);
    loan.recordMark(markNanos, FIRST, 7);

    assertThat(loan.renew(markNanos + LOAN_NANOS, SECOND), is(Optional.empty()));
    assertThat(
        loan.renew(markNanos + LOAN_NANOS + 1, SECOND),
        is(Optional.of(new ShareLoan.Renewal(SECOND, 0))));
  }

  @Test
  void loanCountsFromWhenTheMarkWasSent() {
    BorrowedShares borrowed = new BorrowedShares(LOAN_NANOS, 1);
    long mark = borrowed.renew(0, FIRST, shares(0));

    borrowed.renew(SECOND_NANOS, FIRST, shares(mark));

    assertThat(borrowed.countUntil(LOAN_NANOS), is(1));
    assertThat(borrowed.countUntil(LOAN_NANOS + 1), is(0));
  }

  private static QuotaMessage.Shares shares(long mark) {
    return new QuotaMessage.Shares(0, 1, mark, 1, /* settled= */ true);
  }

  @Test
  void ownerThatLosesItsSharesDropsWhatItSaved() {
    QuotaOwner owner =
        new QuotaOwner(
            0,
            QuotaSettings.defaults(),
            LOAN_NANOS,
            1,
            ImmutableMap.of(TENANT, new TenantQuota(10, 100)));
    long lostNanos = lend(owner, 0, 30 * SECOND_NANOS) + 2 * LOAN_NANOS;
    int saved = ask(owner, lostNanos - 2 * LOAN_NANOS, 50);
    owner.update(lostNanos, 1);
    long regainedNanos = lend(owner, lostNanos, lostNanos + SECOND_NANOS);

    assertThat(saved, is(50));
    assertThat(ask(owner, regainedNanos, 50), is(lessThan(11)));
    assertThat(
        ask(owner, lend(owner, regainedNanos, regainedNanos + 5 * SECOND_NANOS), 50),
        is(greaterThan(30)));
  }

  /** Lends the only share until {@code untilNanos}; returns when it was last renewed. */
  private static long lend(QuotaOwner owner, long fromNanos, long untilNanos) {
    long mark = 0;
    long nowNanos = fromNanos;
    while (nowNanos < untilNanos) {
      mark = owner.renew(nowNanos, 1, FIRST, shares(mark));
      nowNanos += ShareLoan.RENEWAL_NANOS;
    }
    owner.renew(nowNanos, 1, FIRST, shares(mark));
    return nowNanos;
  }

  private static int ask(QuotaOwner owner, long nowNanos, int count) {
    return owner.answer(nowNanos, 1, new QuotaMessage.Ask(TENANT, 1, count)).get().count();
  }
}
