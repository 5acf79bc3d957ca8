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

class OwnershipChangeTest {
  private static final long SECOND = 1_000 * MILLIS;
  private static final ZoneMember PEER_ALIVE = new ZoneMember(PEER, ZONE, true, false);

  @Test
  void absentRowIsClaimedEvenly() {
    AgentDriver driver = AgentDriver.withoutOwnership(1);
    driver.keep(driver.agent.updateOwnership(driver.nowNanos, OwnershipList.absent(ZONE)));
    driver.pass(SECOND);
    OwnershipProposal proposal = driver.proposals().getFirst();
    assertThat(proposal.expectedRevision(), is(0L));
    assertThat(count(proposal.owners(), SELF), is(OwnershipList.PART_COUNT / 2));
  }

  @Test
  void partsOfASilentVmAreNotTaken() {
    AgentDriver driver = AgentDriver.withOwningPeer(1);
    driver.members(new ZoneMember(PEER, ZONE, false, false));
    driver.pass(30 * SECOND);
    assertThat(driver.proposals(), is(empty()));
  }

  @Test
  void partsOfAVmProvenGoneAreTaken() {
    AgentDriver driver = AgentDriver.withOwningPeer(1);
    driver.members(new ZoneMember(PEER, ZONE, false, true));
    driver.pass(SECOND);
    assertThat(driver.proposals().getFirst().owners(), is(AgentDriver.allTo(SELF)));
  }

  @Test
  void anotherIncarnationIsProofThatTheEarlierOneIsGone() {
    AgentDriver driver = AgentDriver.withOwningPeer(1);
    VmIncarnation next = new VmIncarnation(PEER.vm(), PEER.number() + 1);
    driver.members(new ZoneMember(next, ZONE, true, false));
    driver.pass(2 * SECOND);
    assertThat(count(driver.proposals().getFirst().owners(), PEER), is(0));
  }

  @Test
  void joiningVmGetsAFairShareAndIsToldOfThePermits() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.pass(SECOND);
    OwnershipProposal proposal = owner.proposals().getFirst();
    assertThat(count(proposal.owners(), PEER), is(OwnershipList.PART_COUNT / 2));
    end(owner, proposal, ProposalResult.COMMITTED);
    PermitMessage.Handover handover = owner.sent(PermitMessage.Handover.class).getFirst();
    assertThat(handover.parts(), hasSize(OwnershipList.PART_COUNT / 2));
    assertThat(handover.permits(), hasSize(32));
    assertThat(owner.agent.status(owner.nowNanos).permitsOwned(), is(32));
  }

  @Test
  void handoverIsSentUntilItIsReceived() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.pass(SECOND);
    end(owner, owner.proposals().getFirst(), ProposalResult.COMMITTED);
    owner.pass(SECOND);
    List<PermitMessage.Handover> sent = owner.sent(PermitMessage.Handover.class);
    assertThat(sent, is(not(hasSize(1))));
    owner.message(
        new PermitMessage.HandoverReceived(sent.getFirst().handoverId(), owner.nextPeerMark()));
    int before = owner.sent(PermitMessage.Handover.class).size();
    owner.pass(SECOND);
    assertThat(owner.sent(PermitMessage.Handover.class), hasSize(before));
  }

  @Test
  void partsToBeGivenAwayAreFrozen() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.pass(SECOND);
    assertThat(grantAll(owner), is(32));
  }

  @Test
  void partsStayFrozenWhileTheOutcomeIsUnknown() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.pass(SECOND);
    end(owner, owner.proposals().getFirst(), ProposalResult.OUTCOME_UNKNOWN);
    owner.list(2, SELF);
    assertThat(grantAll(owner), is(32));
  }

  @Test
  void partsThatMayHaveGoneAndComeBackWaitForTheLongestLease() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.pass(SECOND);
    end(owner, owner.proposals().getFirst(), ProposalResult.OUTCOME_UNKNOWN);
    owner.list(9, SELF);
    assertThat(grantAll(owner), is(32));
  }

  @Test
  void partsAreUsedAgainWhenTheWriteSurelyFailed() {
    AgentDriver owner = AgentDriver.ownerOfAll(64);
    owner.pass(SECOND);
    end(owner, owner.proposals().getFirst(), ProposalResult.UNAVAILABLE);
    assertThat(grantAll(owner), is(64));
  }

  @Test
  void stoppingVmHandsEverythingOver() {
    AgentDriver owner = AgentDriver.ownerOfHalf(4);
    owner.keep(owner.agent.stop(owner.nowNanos));
    owner.pass(SECOND);
    OwnershipProposal proposal = owner.proposals().getFirst();
    assertThat(proposal.owners(), is(AgentDriver.allTo(PEER)));
    end(owner, proposal, ProposalResult.COMMITTED);
    assertThat(owner.isHandedOver(), is(false));
    PermitMessage.Handover handover = owner.sent(PermitMessage.Handover.class).getFirst();
    owner.message(new PermitMessage.HandoverReceived(handover.handoverId(), owner.nextPeerMark()));
    owner.pass(20 * MILLIS);
    assertThat(owner.isHandedOver(), is(true));
  }

  @Test
  void stoppingVmWaitsForItsUses() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.acquire(1, 3 * SECOND);
    owner.keep(owner.agent.stop(owner.nowNanos));
    owner.pass(SECOND);
    end(owner, owner.proposals().getFirst(), ProposalResult.COMMITTED);
    PermitMessage.Handover handover = owner.sent(PermitMessage.Handover.class).getFirst();
    owner.message(new PermitMessage.HandoverReceived(handover.handoverId(), owner.nextPeerMark()));
    owner.pass(SECOND);
    assertThat(owner.isHandedOver(), is(false));
    owner.release(1, true);
    owner.pass(20 * MILLIS);
    assertThat(owner.isHandedOver(), is(true));
    assertThat(owner.sent(PermitMessage.LeaseReturn.class), hasSize(1));
  }

  @Test
  void stoppingVmGrantsNothing() {
    AgentDriver owner = AgentDriver.ownerOfHalf(1);
    owner.keep(owner.agent.stop(owner.nowNanos));
    owner.acquire(1, SECOND);
    assertThat(owner.refusals(), contains(PermitRejectionReason.STOPPING));
  }

  @Test
  void stoppingVmGetsNoParts() {
    AgentDriver owner = AgentDriver.withoutOwnership(64);
    owner.message(new PermitMessage.StopAnnounced(owner.nextPeerMark()));
    owner.members(PEER_ALIVE);
    owner.list(2, SELF);
    owner.pass(SECOND);
    assertThat(owner.proposals(), is(empty()));
  }

  private static void end(AgentDriver driver, OwnershipProposal proposal, ProposalResult end) {
    driver.keep(driver.agent.handleProposalResult(driver.nowNanos, proposal, end));
  }

  private static int grantAll(AgentDriver driver) {
    for (int request = 1; request <= 64; request++) {
      driver.acquire(request, 2 * SECOND);
    }
    return driver.granted().size();
  }

  private static int count(List<VmIncarnation> owners, VmIncarnation vm) {
    return (int) owners.stream().filter(vm::equals).count();
  }
}
