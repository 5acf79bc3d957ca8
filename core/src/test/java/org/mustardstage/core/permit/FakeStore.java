package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.ZoneId;

/** Keeps ownership rows; may be down, lose answers, and write after the answer was lost. */
public final class FakeStore {
  private static final long DELAY_NANOS = 5_000_000L;
  private static final long TIMEOUT_NANOS = 300_000_000L;

  private final EventQueue events;
  private final RandomGenerator random;
  private final Map<ZoneId, OwnershipList> rows = new HashMap<>();
  private boolean isDown;
  private double lostAnswerShare;
  private long writes;

  FakeStore(EventQueue events, RandomGenerator random) {
    this.events = events;
    this.random = random;
  }

  /** Takes the store down or up. */
  public void setDown(boolean newIsDown) {
    isDown = newIsDown;
  }

  /** Sets the share of writes whose answer is lost. */
  public void setLostResponseRate(double share) {
    lostAnswerShare = share;
  }

  /** Ends all faults. */
  public void heal() {
    isDown = false;
    lostAnswerShare = 0;
  }

  /** Returns the row as it is now. */
  public OwnershipList row(ZoneId zone) {
    return rows.getOrDefault(zone, OwnershipList.absent(zone));
  }

  /** Returns how many writes took effect. */
  public long writes() {
    return writes;
  }

  /** Reads a row; no answer comes while the store is down. */
  public void read(ZoneId zone, Consumer<OwnershipList> answer) {
    events.after(
        delayNanos(),
        () -> {
          if (!isDown) {
            OwnershipList row = row(zone);
            events.after(delayNanos(), () -> answer.accept(row));
          }
        });
  }

  /** Writes a row on a condition. */
  public void write(OwnershipProposal proposal, Consumer<ProposalResult> answer) {
    boolean isAnswerLost = random.nextDouble() < lostAnswerShare;
    if (isAnswerLost) {
      loseAnswer(proposal, answer);
      return;
    }
    events.after(
        delayNanos(),
        () -> {
          ProposalResult end = isDown ? ProposalResult.UNAVAILABLE : apply(proposal);
          events.after(delayNanos(), () -> answer.accept(end));
        });
  }

  private void loseAnswer(OwnershipProposal proposal, Consumer<ProposalResult> answer) {
    if (random.nextBoolean()) {
      long lateNanos = random.nextLong(2 * TIMEOUT_NANOS);
      events.after(lateNanos, () -> apply(proposal));
    }
    events.after(TIMEOUT_NANOS, () -> answer.accept(ProposalResult.OUTCOME_UNKNOWN));
  }

  private ProposalResult apply(OwnershipProposal proposal) {
    OwnershipList row = row(proposal.zone());
    if (row.revision() != proposal.expectedRevision()) {
      return ProposalResult.CONDITION_FAILED;
    }
    long revision = row.revision() + 1 + random.nextLong(3);
    rows.put(
        proposal.zone(),
        new OwnershipList(proposal.zone(), revision, List.copyOf(proposal.owners())));
    writes++;
    return ProposalResult.COMMITTED;
  }

  private long delayNanos() {
    return DELAY_NANOS / 2 + random.nextLong(DELAY_NANOS);
  }
}
