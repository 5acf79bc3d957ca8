package org.mustardstage.entry.gateway;

import org.mustardstage.entry.gateway.PlacementRequest.BudgetUse;

/**
 * Counts the attempts of one request against those that its rule allows, over all VMs that take
 * part: the one that relays the request and the one that it is relayed to.
 */
final class AttemptBudget {
  private final int maxAttempts;
  private final boolean idempotent;

  /** The attempts that the VM which relayed the request has used or kept back. */
  private final int attemptsElsewhere;

  private int sentAttempts;
  private int relayedAttempts;
  private boolean firstAttemptCounted;

  AttemptBudget(CallerRequest request) {
    this.maxAttempts = request.rule().maxAttempts();
    this.idempotent = request.rule().idempotent();
    this.attemptsElsewhere = request.relay().map(RelayHeader::sentAttempts).orElse(0);
    this.sentAttempts = attemptsElsewhere;
    this.firstAttemptCounted = request.relay().isPresent();
  }

  /** Returns whether the rule allows another attempt. */
  boolean hasAttempt() {
    return sentAttempts < maxAttempts;
  }

  /** Records that the request is sent to an endpoint. */
  void recordSent() {
    sentAttempts++;
  }

  /** Records that an attempt that was recorded as sent has not reached its endpoint. */
  void recordNotSent() {
    sentAttempts--;
  }

  /** Returns how the next attempt counts. The first one of a request is counted only once. */
  BudgetUse nextUse() {
    if (sentAttempts > attemptsElsewhere) {
      return BudgetUse.RETRY;
    }
    boolean counted = firstAttemptCounted;
    firstAttemptCounted = true;
    return counted ? BudgetUse.NOT_SENT_BEFORE : BudgetUse.FIRST_ATTEMPT;
  }

  /**
   * Hands the remaining attempts to another VM. One attempt of an idempotent request is kept back,
   * for the case that the other VM is lost with it.
   *
   * @return the attempts that the other VM must not use
   */
  int handOver() {
    int remaining = maxAttempts - sentAttempts;
    int keptBack = idempotent && remaining > 1 ? 1 : 0;
    int usedByOthers = sentAttempts + keptBack;
    relayedAttempts = remaining - keptBack;
    sentAttempts += relayedAttempts;
    return usedByOthers;
  }

  /** Takes back what was handed to another VM that did not run the request. */
  void takeBack() {
    sentAttempts -= relayedAttempts;
    relayedAttempts = 0;
  }
}
