package org.mustardstage.core.permit;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Asks for a permit of one of several limits.
 *
 * @param requestId names the request among those of this agent
 * @param candidates the limits, the preferred one first
 * @param deadlineNanos the time to which the permit must last; a later one than the longest use
 *     allows is cut to that
 * @param giveUpNanos when to stop waiting for a permit
 */
public record AcquireRequest(
    long requestId, List<LimitId> candidates, long deadlineNanos, long waitDeadlineNanos) {
  /** Checks that there is a candidate and copies the list. */
  public AcquireRequest {
    candidates = ImmutableList.copyOf(candidates);
    Preconditions.checkArgument(!candidates.isEmpty(), "a request needs a candidate");
  }
}
