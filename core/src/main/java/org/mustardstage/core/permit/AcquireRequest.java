package org.mustardstage.core.permit;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A request to acquire a permit of any one of several limits.
 *
 * @param requestId identifies the request among those of this agent
 * @param candidates the acceptable limits, the preferred one first
 * @param deadlineNanos the time until which the permit must be usable; capped at {@link
 *     PermitSettings#maxUseNanos} after the request arrives
 * @param waitDeadlineNanos when the request is rejected if it is still queued
 */
public record AcquireRequest(
    long requestId, List<LimitId> candidates, long deadlineNanos, long waitDeadlineNanos) {
  /** Checks that there is a candidate, and copies the list. */
  public AcquireRequest {
    candidates = ImmutableList.copyOf(candidates);
    Preconditions.checkArgument(!candidates.isEmpty(), "candidates must not be empty");
  }
}
