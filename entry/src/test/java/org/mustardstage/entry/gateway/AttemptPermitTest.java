package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.MembershipSettings;
import org.mustardstage.core.tenant.Tenant;
import org.mustardstage.core.tenant.TenantDirectory;
import org.mustardstage.core.tenant.TenantQuota;

/** Checks the permits of attempts on a VM that has been alone for long enough to own all quotas. */
class AttemptPermitTest {
  private static final TenantName LIMITED = new TenantName("limited");
  private static final TenantName UNLIMITED = new TenantName("unlimited");

  /** Less than the quota lets run at once: its burst and the stored part of the reserve. */
  private static final int CERTAIN = 5;

  /** More than the quota lets run within this test. */
  private static final int TOO_MANY = 80;

  private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
  private long aheadNanos;
  private QuotaGate gate;
  private int granted;
  private Optional<RequestOutcome.NotRun> refusal = Optional.empty();

  @BeforeEach
  void becomeOwner() throws IOException {
    gate =
        new QuotaGate(
            TestSettings.ofVm("vm-1").build(), eventloop, () -> System.nanoTime() + aheadNanos);
    gate.setMembers(viewOf(member("vm-1")));
    gate.setTenants(tenants());
    aheadNanos = MembershipSettings.DISCOVERY_NANOS;
    // Loans are prolonged meanwhile, and the quota gains its burst.
    runFor(Duration.ofSeconds(3));
  }

  private static Member member(String id) {
    return new Member(
        new VmIncarnation(new VmId(id), 1),
        TestSettings.ZONE,
        TestSettings.REGION,
        TestSettings.ADDRESS,
        TestSettings.ADDRESS,
        TestSettings.ADDRESS,
        /* leaving= */ false);
  }

  /** Returns the view of a VM that takes itself and {@code others} to be alive. */
  private static MemberView viewOf(Member self, Member... others) {
    ImmutableList<MemberStatus> statuses =
        Stream.concat(Stream.of(self), Stream.of(others))
            .map(
                member ->
                    new MemberStatus(
                        member, MemberStatus.Liveness.ALIVE, false, new ConfigVersion(1)))
            .collect(ImmutableList.toImmutableList());
    return new MemberView(self, statuses, ImmutableSet.of());
  }

  private static TenantDirectory tenants() {
    return new TenantDirectory(
        ImmutableMap.of(
            LIMITED, tenant(LIMITED, Optional.of(new TenantQuota(20, 5))),
            UNLIMITED, tenant(UNLIMITED, Optional.empty())),
        Map.of());
  }

  private void runFor(Duration time) {
    eventloop.delay(time.toMillis(), () -> {});
    eventloop.run();
  }

  private static Tenant tenant(TenantName name, Optional<TenantQuota> quota) {
    return new Tenant(name, OptionalInt.empty(), ImmutableSet.of(), quota);
  }

  private AttemptPermit acquire(Optional<TenantName> tenant) {
    AttemptPermit permit = new AttemptPermit(gate, tenant);
    permit.acquire(() -> granted++, refused -> refusal = Optional.of(refused), () -> {});
    return permit;
  }

  @Test
  void attemptsBeyondTheQuotaAreRefusedAtOnce() {
    for (int i = 0; i < TOO_MANY; i++) {
      acquire(Optional.of(LIMITED)).take();
    }

    assertThat(granted, is(greaterThan(CERTAIN)));
    assertThat(granted, is(lessThanOrEqualTo(TOO_MANY / 2)));
    assertThat(refusal.orElseThrow().reason(), is(NotRunReasons.QUOTA_EXHAUSTED));
    assertThat(refusal.orElseThrow().retryAfterMillis(), is(greaterThan(0L)));
    assertThat(NotRunReasons.statusOf(NotRunReasons.QUOTA_EXHAUSTED), is(429));
  }

  @Test
  void attemptsThatDidNotRunDoNotUseTheQuota() {
    for (int i = 0; i < TOO_MANY; i++) {
      AttemptPermit permit = acquire(Optional.of(LIMITED));
      permit.putBack(permit.take());
    }

    assertThat(granted, is(TOO_MANY));
  }

  @Test
  void requestsWithoutQuotaNeedNoPermits() {
    for (int i = 0; i < TOO_MANY; i++) {
      acquire(Optional.of(UNLIMITED));
      acquire(Optional.empty());
    }

    assertThat(granted, is(2 * TOO_MANY));
  }

  /** Returns a VM that asks another one, which never answers, for permits. */
  private QuotaGate withSilentOwner() throws IOException {
    QuotaGate asking =
        new QuotaGate(TestSettings.ofVm("vm-1").build(), eventloop, System::nanoTime);
    asking.setMembers(viewOf(member("vm-1"), member("vm-0"), member("vm-2")));
    asking.setTenants(tenants());
    return asking;
  }

  private static SequenceCheck acquireAndFail(QuotaGate from, int attempts) {
    SequenceCheck told = new SequenceCheck();
    for (int i = 0; i < attempts; i++) {
      Runnable onDecision = () -> told.runThenFail(() -> {});
      new AttemptPermit(from, Optional.of(LIMITED))
          .acquire(onDecision, refused -> onDecision.run(), () -> {});
    }
    return told;
  }

  /** The first error lost the decisions after it, and each decision ran inside the one before. */
  @Test
  void waitingAttemptsAreToldOneAfterAnotherWhateverOneOfThemDoes() throws IOException {
    SequenceCheck told = acquireAndFail(withSilentOwner(), TOO_MANY);
    assertThat(told.runs(), is(0));

    runFor(Duration.ofSeconds(2));

    assertThat(told.runs(), is(TOO_MANY));
    assertThat(told.maxNesting(), is(1));
  }

  /** An error in one tick must not end the others, which decide about the attempts that wait. */
  @Test
  void waitingAttemptsAreToldAlthoughNothingCanBeSent() throws IOException {
    QuotaGate asking = withSilentOwner();
    SequenceCheck told = acquireAndFail(asking, 1);
    asking.setSender(
        messages -> {
          throw new IllegalStateException("thrown by the test");
        });

    runFor(Duration.ofSeconds(2));

    assertThat(told.runs(), is(1));
  }
}
