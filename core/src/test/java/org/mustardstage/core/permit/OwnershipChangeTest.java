package org.mustardstage.core.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.mustardstage.core.permit.AgentDriver.MILLIS;
import static org.mustardstage.core.permit.AgentDriver.PEER;
import static org.mustardstage.core.permit.AgentDriver.SELF;
import static org.mustardstage.core.permit.AgentDriver.ZONE;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.VmIncarnation;

/**
 * Checks how ownership moves between VMs. Guards against a part with two owners, which a proposal
 * of unknown result or a silent VM that still runs could cause.
 */
class OwnershipChangeTest {
  private static final long SECOND = 1_000 * MILLIS;
  private static final ZoneMember PEER_ALIVE = new ZoneMember(PEER, ZONE, true, false);

  @Test
  void claimsAbsentRowInEqualShares() {
    AgentDriver driver = AgentDriver.withoutOwnership(1);
    driver.record(driver.agent.updateOwnership(driver.nowNanos, OwnershipList.absent(ZONE)));
    driver.advance(SECOND);
    OwnershipProposal proposal = driver.proposals().getFirst();
    assertThat(proposal.expectedRevision(), is(0L));
    assertThat(countParts(proposal.owners(), SELF), is(OwnershipList.PART_COUNT / 2));
  }

  @Test
  void doesNotTakePartsOfSilentVm() {
    AgentDriver driver = AgentDriver.withOwningPeer(1);
    driver.updateMembers(new ZoneMember(PEER, ZONE, false, false));
    driver.advance(30 * SECOND);
    assertThat(driver.proposals(), is(empty()));
  }

  @Test
  void takesPartsOfVmProvenGone() {
    AgentDriver driver = AgentDriver.withOwningPeer(1);
    driver.updateMembers(new ZoneMember(PEER, ZONE, false, true));
    driver.advance(SECOND);
    assertThat(driver.proposals().getFirst().owners(), is(AgentDriver.allOwnedBy(SELF)));
  }

  @Test
  void newerIncarnationProvesEarlierOneGone() {
    AgentDriver driver = AgentDriver.withOwningPeer(1);
    VmIncarnation next = new VmIncarnation(PEER.vm(), PEER.number() + 1);
    driver.updateMembers(new ZoneMember(next, ZONE, true, false));
    driver.advance(2 * SECOND);
    assertThat(countParts(driver.proposals().getFirst().owners(), PEER), is(0));
  }

  @Test
  void joiningVmGetsFairShareAndHandover() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.advance(SECOND);
    OwnershipProposal proposal = owner.proposals().getFirst();
    assertThat(countParts(proposal.owners(), PEER), is(OwnershipList.PART_COUNT / 2));
    deliverResult(owner, proposal, ProposalResult.COMMITTED);
    PermitMessage.Handover handover = owner.sentMessages(PermitMessage.Handover.class).getFirst();
    assertThat(handover.parts(), hasSize(OwnershipList.PART_COUNT / 2));
    assertThat(handover.permits(), hasSize(32));
    assertThat(owner.agent.status(owner.nowNanos).permitsOwned(), is(32));
  }

  @Test
  void handoverIsResentUntilConfirmed() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.advance(SECOND);
    deliverResult(owner, owner.proposals().getFirst(), ProposalResult.COMMITTED);
    owner.advance(SECOND);
    List<PermitMessage.Handover> sent = owner.sentMessages(PermitMessage.Handover.class);
    assertThat(sent, is(not(hasSize(1))));
    owner.deliver(
        new PermitMessage.HandoverReceived(
            sent.getFirst().handoverId(), owner.nextPeerTimestampId()));
    int before = owner.sentMessages(PermitMessage.Handover.class).size();
    owner.advance(SECOND);
    assertThat(owner.sentMessages(PermitMessage.Handover.class), hasSize(before));
  }

  @Test
  void partsBeingGivenAwayAreFrozen() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.advance(SECOND);
    assertThat(countGranted(owner), is(32));
  }

  @Test
  void partsStayFrozenWhileProposalResultIsUnknown() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.advance(SECOND);
    deliverResult(owner, owner.proposals().getFirst(), ProposalResult.OUTCOME_UNKNOWN);
    owner.updateOwnership(2, SELF);
    assertThat(countGranted(owner), is(32));
  }

  @Test
  void partsThatMayHaveHadAnotherOwnerWaitForMaxLease() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.advance(SECOND);
    deliverResult(owner, owner.proposals().getFirst(), ProposalResult.OUTCOME_UNKNOWN);
    owner.updateOwnership(9, SELF);
    assertThat(countGranted(owner), is(32));
  }

  @Test
  void partsAreUnfrozenWhenWriteSurelyFailed() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.advance(SECOND);
    deliverResult(owner, owner.proposals().getFirst(), ProposalResult.UNAVAILABLE);
    assertThat(countGranted(owner), is(64));
  }

  @Test
  void stoppingVmHandsOverAllParts() {
    AgentDriver owner = AgentDriver.ownerOfHalf(4);
    owner.record(owner.agent.stop(owner.nowNanos));
    owner.advance(SECOND);
    OwnershipProposal proposal = owner.proposals().getFirst();
    assertThat(proposal.owners(), is(AgentDriver.allOwnedBy(PEER)));
    deliverResult(owner, proposal, ProposalResult.COMMITTED);
    assertThat(owner.isHandedOver(), is(false));
    PermitMessage.Handover handover = owner.sentMessages(PermitMessage.Handover.class).getFirst();
    owner.deliver(
        new PermitMessage.HandoverReceived(handover.handoverId(), owner.nextPeerTimestampId()));
    owner.advance(20 * MILLIS);
    assertThat(owner.isHandedOver(), is(true));
  }

  @Test
  void stoppingVmWaitsForPermitsInUse() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.acquire(1, 3 * SECOND);
    owner.record(owner.agent.stop(owner.nowNanos));
    owner.advance(SECOND);
    deliverResult(owner, owner.proposals().getFirst(), ProposalResult.COMMITTED);
    PermitMessage.Handover handover = owner.sentMessages(PermitMessage.Handover.class).getFirst();
    owner.deliver(
        new PermitMessage.HandoverReceived(handover.handoverId(), owner.nextPeerTimestampId()));
    owner.advance(SECOND);
    assertThat(owner.isHandedOver(), is(false));
    owner.release(1, true);
    owner.advance(20 * MILLIS);
    assertThat(owner.isHandedOver(), is(true));
    assertThat(owner.sentMessages(PermitMessage.LeaseReturn.class), hasSize(1));
  }

  @Test
  void stoppingVmRejectsRequests() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.record(owner.agent.stop(owner.nowNanos));
    owner.acquire(1, SECOND);
    assertThat(owner.rejections(), contains(PermitRejectionReason.STOPPING));
  }

  @Test
  void stoppingVmReceivesNoParts() {
    AgentDriver owner = AgentDriver.withoutOwnership(64);
    owner.deliver(new PermitMessage.StopAnnounced(owner.nextPeerTimestampId()));
    owner.updateMembers(PEER_ALIVE);
    owner.updateOwnership(2, SELF);
    owner.advance(SECOND);
    assertThat(owner.proposals(), is(empty()));
  }

  private static void deliverResult(
      AgentDriver driver, OwnershipProposal proposal, ProposalResult result) {
    driver.record(driver.agent.handleProposalResult(driver.nowNanos, proposal, result));
  }

  private static int countGranted(AgentDriver driver) {
    for (int request = 1; request <= 64; request++) {
      driver.acquire(request, 2 * SECOND);
    }
    return driver.granted().size();
  }

  private static int countParts(List<VmIncarnation> owners, VmIncarnation vm) {
    return (int) owners.stream().filter(vm::equals).count();
  }
}
