package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.VmIncarnation;

/**
 * The start of an idempotency key, handed out with a look-up answer. It names the home of the key
 * and when the prefix was issued.
 *
 * @param home the run of the entry VM that remembers the key
 * @param issueEpoch when the prefix was issued, on the home's count of epochs
 */
public record KeyPrefix(VmIncarnation home, long issueEpoch) {
  /** Checks that the epoch is not negative. */
  public KeyPrefix {
    Preconditions.checkArgument(issueEpoch >= 0, "issueEpoch must not be negative");
  }

  /** Returns the prefix as callers see it, {@code vm/incarnation/epoch}. */
  @Override
  public String toString() {
    return home.vm() + "/" + home.number() + "/" + issueEpoch;
  }
}
