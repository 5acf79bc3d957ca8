package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.VmIncarnation;

/**
 * The prefix of an idempotency key, which callers get in a lookup response. It names the home of
 * the key and the time of issue.
 *
 * @param home the incarnation of the entry VM that stores the outcome for the key
 * @param issueEpoch the epoch in which the prefix was issued, as counted by the home
 */
public record KeyPrefix(VmIncarnation home, long issueEpoch) {
  /** Checks that the epoch is not negative. */
  public KeyPrefix {
    Preconditions.checkArgument(issueEpoch >= 0, "issueEpoch must not be negative");
  }

  /** Returns the prefix as sent to callers, {@code vm/incarnation/epoch}. */
  @Override
  public String toString() {
    return home.vm() + "/" + home.number() + "/" + issueEpoch;
  }
}
