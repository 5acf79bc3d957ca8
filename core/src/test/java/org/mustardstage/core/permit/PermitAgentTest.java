package org.mustardstage.core.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.mustardstage.core.permit.AgentDriver.MILLIS;
import static org.mustardstage.core.permit.AgentDriver.PEER;
import static org.mustardstage.core.permit.AgentDriver.SETTINGS;
import static org.mustardstage.core.permit.AgentDriver.ZONE;

import java.util.List;
import org.junit.jupiter.api.Test;

class PermitAgentTest {
  private static final long SECOND = 1_000 * MILLIS;

  @Test
  void ownerGrantsItsPermitsAndNoMore() {
    AgentDriver owner = AgentDriver.ownerOfHalf(2);
    owner.acquire(1, SECOND);
    owner.acquire(2, SECOND);
    owner.acquire(3, SECOND);
    assertThat(owner.granted(), contains(1L, 2L));
  }

  @Test
  void releasedPermitGoesToTheFirstDeadline() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.acquire(1, SECOND);
    owner.acquire(2, 3 * SECOND);
    owner.acquire(3, 2 * SECOND);
    owner.release(1, true);
    assertThat(owner.granted(), contains(1L, 3L));
  }

  @Test
  void permitOfUnknownEndStaysUnusableUntilDeadlineAndMargin() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.acquire(1, SECOND);
    owner.release(1, false);
    owner.acquire(2, 4 * SECOND);
    owner.passConfirmed(SECOND + SETTINGS.deadlineMarginNanos() - MILLIS);
    assertThat(owner.granted(), contains(1L));
    owner.passConfirmed(2 * MILLIS);
    assertThat(owner.granted(), contains(1L, 2L));
  }

  @Test
  void useThatIsNeverReleasedEndsWithDeadlineAndMargin() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.acquire(1, SECOND);
    owner.acquire(2, 4 * SECOND);
    owner.passConfirmed(SECOND + SETTINGS.deadlineMarginNanos());
    owner.release(1, true);
    owner.acquire(3, SECOND);
    assertThat(owner.granted(), contains(1L, 2L));
  }

  @Test
  void secondReleaseOfARequestIsIgnored() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.acquire(1, SECOND);
    owner.release(1, true);
    owner.acquire(2, SECOND);
    owner.release(1, true);
    owner.acquire(3, SECOND);
    assertThat(owner.granted(), contains(1L, 2L));
  }

  @Test
  void useIsCutToTheLongestUse() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.acquire(1, 100 * SECOND);
    assertThat(owner.lastGrant().useDeadlineNanos(), is(owner.nowNanos + SETTINGS.maxUseNanos()));
  }

  @Test
  void requestGivesUp() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.acquire(1, 2 * SECOND);
    owner.acquire(2, SECOND);
    owner.passConfirmed(SECOND);
    assertThat(owner.refusals(), contains(PermitRejectionReason.WAIT_TIMEOUT));
  }

  @Test
  void abandonedRequestIsNotGranted() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.acquire(1, SECOND);
    owner.acquire(2, SECOND);
    owner.keep(owner.agent.cancel(owner.nowNanos, 2));
    owner.release(1, true);
    assertThat(owner.granted(), contains(1L));
  }

  @Test
  void unknownLimitIsRefused() {
    AgentDriver owner = AgentDriver.ownerOfHalf(0);
    owner.acquire(1, SECOND);
    assertThat(owner.refusals(), contains(PermitRejectionReason.UNKNOWN_LIMIT));
  }

  @Test
  void numbersPastAShrunkLimitAreNeverGrantedAgain() {
    AgentDriver owner = AgentDriver.ownerOfHalf(3);
    owner.acquire(1, SECOND);
    owner.limits(2, 1);
    owner.acquire(2, SECOND);
    owner.acquire(3, SECOND);
    assertThat(owner.granted(), contains(1L));
    owner.release(1, true);
    assertThat(owner.granted(), hasSize(2));
    assertThat(owner.lastGrant().permit().number(), is(0));
  }

  @Test
  void olderManifestIsIgnored() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.limits(1, 5);
    owner.acquire(1, SECOND);
    owner.acquire(2, SECOND);
    assertThat(owner.granted(), contains(1L));
  }

  @Test
  void grownLimitIsUsableAtOnce() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.limits(2, 2);
    owner.acquire(1, SECOND);
    owner.acquire(2, SECOND);
    assertThat(owner.granted(), contains(1L, 2L));
  }

  @Test
  void pausedOwnerGrantsNothingUntilItIsConfirmed() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.nowNanos += SETTINGS.pauseThresholdNanos() + 1;
    owner.acquire(1, SECOND);
    assertThat(owner.granted(), is(empty()));
    owner.confirm();
    owner.tick();
    assertThat(owner.granted(), contains(1L));
  }

  @Test
  void confirmationAskedForBeforeAPauseDoesNotCount() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.pass(SETTINGS.ownershipValidityNanos() / 4 + 20 * MILLIS);
    PermitMessage.ConfirmOwnership asked =
        owner.sent(PermitMessage.ConfirmOwnership.class).getLast();
    owner.nowNanos += SETTINGS.pauseThresholdNanos() + 1;
    owner.message(
        new PermitMessage.OwnershipConfirmed(
            asked.correlationId(), owner.nextPeerMark(), ZONE, asked.revision()));
    owner.acquire(1, SECOND);
    assertThat(owner.granted(), is(empty()));
  }

  @Test
  void pausedVmConfirmsNothing() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.nowNanos += SETTINGS.pauseThresholdNanos() + 1;
    owner.message(new PermitMessage.ConfirmOwnership(5, owner.nextPeerMark(), ZONE, 2));
    assertThat(owner.sent(PermitMessage.OwnershipConfirmed.class), is(empty()));
  }

  @Test
  void unconfirmedOwnershipEndsWithItsValidity() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.pass(SETTINGS.ownershipValidityNanos() + 20 * MILLIS);
    owner.acquire(1, SECOND);
    assertThat(owner.granted(), is(empty()));
  }

  @Test
  void unchangedWriteConfirmsWhenNoPeerAnswers() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    while (owner.proposals().isEmpty()) {
      owner.pass(20 * MILLIS);
    }
    owner.pass(SETTINGS.ownershipValidityNanos() / 2);
    OwnershipProposal proposal = owner.proposals().getLast();
    assertThat(proposal.expectedRevision(), is(2L));
    owner.keep(
        owner.agent.handleProposalResult(owner.nowNanos, proposal, ProposalResult.COMMITTED));
    owner.acquire(1, SECOND);
    assertThat(owner.granted(), contains(1L));
  }

  @Test
  void newerListFencesAtOnce() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.list(3, PEER);
    owner.acquire(1, SECOND);
    assertThat(owner.granted(), is(empty()));
  }

  @Test
  void olderListIsIgnored() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.list(1, PEER);
    owner.acquire(1, SECOND);
    assertThat(owner.granted(), contains(1L));
  }

  @Test
  void newOwnerWaitsForTheLongestLease() {
    AgentDriver owner = AgentDriver.withoutOwnership(1);
    owner.list(1, PEER);
    owner.halfList(2);
    owner.passConfirmed(SETTINGS.takeoverWaitNanos() - 20 * MILLIS);
    owner.acquire(1, SECOND);
    assertThat(owner.granted(), is(empty()));
    owner.passConfirmed(40 * MILLIS);
    assertThat(owner.granted(), contains(1L));
  }

  @Test
  void handoverOfAnEarlierTenureIsIgnored() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.list(3, PEER);
    owner.halfList(4);
    owner.handover(1, List.of());
    owner.confirm();
    owner.acquire(1, SECOND);
    assertThat(owner.granted(), is(empty()));
    owner.handover(3, List.of());
    assertThat(owner.granted(), contains(1L));
  }

  @Test
  void handoverThatComesBeforeItsListIsKept() {
    AgentDriver owner = AgentDriver.withoutOwnership(1);
    owner.list(1, PEER);
    owner.handover(1, List.of());
    owner.halfList(2);
    owner.confirm();
    owner.acquire(1, SECOND);
    assertThat(owner.granted(), contains(1L));
  }

  @Test
  void handedPermitStaysUnusableForTheStatedTime() {
    AgentDriver owner = AgentDriver.withoutOwnership(1);
    owner.list(1, PEER);
    owner.halfList(2);
    owner.handover(
        1, List.of(new PermitMessage.HandedOverPermit(AgentDriver.LIMIT, 0, 256, SECOND)));
    owner.confirm();
    owner.acquire(1, 3 * SECOND);
    owner.passConfirmed(SECOND - 20 * MILLIS);
    assertThat(owner.granted(), is(empty()));
    owner.passConfirmed(40 * MILLIS);
    assertThat(owner.granted(), contains(1L));
  }

  /**
   * Found by the bench: leases that were out at a handover could be neither renewed nor returned.
   */
  @Test
  void leaseThatWasOutAtAHandoverIsProlongedAndTakenBack() {
    AgentDriver owner = AgentDriver.withoutOwnership(1);
    owner.list(1, PEER);
    owner.halfList(2);
    owner.handover(
        1, List.of(new PermitMessage.HandedOverPermit(AgentDriver.LIMIT, 0, 256, 5 * SECOND)));
    owner.confirm();
    List<PermitMessage.LeaseId> lease =
        List.of(new PermitMessage.LeaseId(AgentDriver.LIMIT, 0, 257));
    owner.message(new PermitMessage.LeaseRenewal(owner.nextPeerMark(), lease));
    assertThat(owner.sent(PermitMessage.LeaseRenewed.class), hasSize(1));
    owner.acquire(1, SECOND);
    owner.message(new PermitMessage.LeaseReturn(owner.nextPeerMark(), lease));
    assertThat(owner.granted(), contains(1L));
  }

  @Test
  void lesseeGrantsWithinItsLease() {
    AgentDriver lessee = AgentDriver.withOwningPeer(1);
    lessee.transfer(0, 256, lessee.ownMark(), 2 * SECOND);
    lessee.acquire(1, SECOND);
    assertThat(lessee.granted(), contains(1L));
    assertThat(
        lessee.lastGrant().useDeadlineNanos() + SETTINGS.deadlineMarginNanos(),
        is(lessThanOrEqualTo(lessee.nowNanos + 2 * SECOND)));
  }

  @Test
  void lesseeRefusesAUseThatOutlastsItsLease() {
    AgentDriver lessee = AgentDriver.withOwningPeer(1);
    lessee.transfer(0, 256, lessee.ownMark(), SECOND);
    lessee.acquire(1, SECOND);
    assertThat(lessee.granted(), is(empty()));
  }

  @Test
  void leaseIsCountedFromTheMarkAndNotFromItsArrival() {
    AgentDriver lessee = AgentDriver.withOwningPeer(1);
    long mark = lessee.ownMark();
    lessee.pass(SECOND);
    lessee.transfer(0, 256, mark, 2 * SECOND);
    lessee.acquire(1, SECOND);
    assertThat(lessee.granted(), is(empty()));
  }

  @Test
  void leaseCountedFromAnUnknownMarkIsIgnored() {
    AgentDriver lessee = AgentDriver.withOwningPeer(1);
    lessee.transfer(0, 256, lessee.ownMark() + 1_000, 5 * SECOND);
    lessee.acquire(1, SECOND);
    assertThat(lessee.granted(), is(empty()));
  }

  @Test
  void duplicateOfALeaseThatWasPassedOnIsIgnored() {
    AgentDriver lessee = AgentDriver.withOwningPeer(1);
    long mark = lessee.ownMark();
    lessee.transfer(0, 256, mark, 9 * SECOND);
    lessee.pass(100 * MILLIS);
    lessee.keep(lessee.agent.stop(lessee.nowNanos));
    AgentDriver other = AgentDriver.withOwningPeer(1);
    long otherMark = other.ownMark();
    other.transfer(0, 512, otherMark, 9 * SECOND);
    other.acquire(1, SECOND);
    other.transfer(0, 512, otherMark, 9 * SECOND);
    other.transfer(0, 256, otherMark, 9 * SECOND);
    other.acquire(2, SECOND);
    assertThat(other.granted(), contains(1L));
    assertThat(lessee.agent.status(lessee.nowNanos).permitsLeasedIn(), is(0));
  }

  @Test
  void duplicateOfALeaseThatWasGivenBackIsIgnored() {
    AgentDriver lessee = AgentDriver.withOwningPeer(1);
    long mark = lessee.ownMark();
    lessee.transfer(0, 256, mark, 9 * SECOND);
    request(lessee, 1);
    assertThat(lessee.sent(PermitMessage.LeaseReturn.class), hasSize(1));
    lessee.transfer(0, 256, mark, 9 * SECOND);
    lessee.acquire(1, SECOND);
    assertThat(lessee.granted(), is(empty()));
  }

  @Test
  void ownerLeasesToAPeerAndGrantsAgainAfterTheLease() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    request(owner, 1);
    assertThat(owner.sent(PermitMessage.LeaseTransfer.class), hasSize(1));
    owner.acquire(1, 4 * SECOND);
    assertThat(owner.granted(), is(empty()));
    owner.passConfirmed(4 * SECOND);
    owner.acquire(2, 4 * SECOND);
    owner.passConfirmed(4 * SECOND - 20 * MILLIS);
    owner.acquire(3, 4 * SECOND);
    owner.passConfirmed(2 * SECOND + 40 * MILLIS);
    assertThat(owner.granted(), contains(3L));
  }

  @Test
  void returnedLeaseIsGrantedAtOnceAndItsDuplicateIsIgnored() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    request(owner, 1);
    PermitMessage.LeasedPermit lease =
        owner.sent(PermitMessage.LeaseTransfer.class).getFirst().permits().getFirst();
    PermitMessage returned =
        new PermitMessage.LeaseReturn(
            owner.nextPeerMark(),
            List.of(
                new PermitMessage.LeaseId(lease.limit(), lease.number(), lease.fencingToken())));
    owner.message(returned);
    owner.acquire(1, SECOND);
    owner.release(1, true);
    request(owner, 2);
    owner.message(returned);
    owner.acquire(2, SECOND);
    assertThat(owner.granted(), contains(1L));
  }

  private static void request(AgentDriver owner, long correlationId) {
    owner.message(
        new PermitMessage.LeaseRequest(
            correlationId, owner.nextPeerMark(), List.of(AgentDriver.LIMIT), 1, 0, SECOND, SECOND));
  }
}
