package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.ZoneId;

/**
 * A store of ownership rows that may be down, may lose the response to a write, and may apply such
 * a write later or never.
 */
public final class FakeStore {
  private static final long MEAN_DELAY_NANOS = 5_000_000L;
  private static final long TIMEOUT_NANOS = 300_000_000L;

  private final EventQueue events;
  private final RandomGenerator random;
  private final Map<ZoneId, OwnershipList> rows = new HashMap<>();
  private boolean isDown;
  private double lostResponseRate;
  private long writes;

  FakeStore(EventQueue events, RandomGenerator random) {
    this.events = events;
    this.random = random;
  }

  /** Makes the store unavailable or available. */
  public void setDown(boolean newIsDown) {
    isDown = newIsDown;
  }

  /** Sets the rate of writes whose response is lost. */
  public void setLostResponseRate(double rate) {
    lostResponseRate = rate;
  }

  /** Ends all faults. */
  public void heal() {
    isDown = false;
    lostResponseRate = 0;
  }

  /** Returns the current row of a zone. */
  public OwnershipList row(ZoneId zone) {
    return rows.getOrDefault(zone, OwnershipList.absent(zone));
  }

  /** Returns how many writes were applied. */
  public long writes() {
    return writes;
  }

  /** Reads a row; there is no response while the store is down. */
  public void read(ZoneId zone, Consumer<OwnershipList> onResponse) {
    events.after(
        delayNanos(),
        () -> {
          if (!isDown) {
            OwnershipList row = row(zone);
            events.after(delayNanos(), () -> onResponse.accept(row));
          }
        });
  }

  /** Writes a row if it still has the expected revision. */
  public void write(OwnershipProposal proposal, Consumer<ProposalResult> onResponse) {
    boolean isResponseLost = random.nextDouble() < lostResponseRate;
    if (isResponseLost) {
      loseResponse(proposal, onResponse);
      return;
    }
    events.after(
        delayNanos(),
        () -> {
          ProposalResult result = isDown ? ProposalResult.UNAVAILABLE : apply(proposal);
          events.after(delayNanos(), () -> onResponse.accept(result));
        });
  }

  private void loseResponse(OwnershipProposal proposal, Consumer<ProposalResult> onResponse) {
    if (random.nextBoolean()) {
      long applyDelayNanos = random.nextLong(2 * TIMEOUT_NANOS);
      events.after(applyDelayNanos, () -> apply(proposal));
    }
    events.after(TIMEOUT_NANOS, () -> onResponse.accept(ProposalResult.OUTCOME_UNKNOWN));
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
    return MEAN_DELAY_NANOS / 2 + random.nextLong(MEAN_DELAY_NANOS);
  }
}
