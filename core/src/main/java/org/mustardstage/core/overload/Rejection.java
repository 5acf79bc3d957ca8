package org.mustardstage.core.overload;

import com.google.common.base.Preconditions;

/**
 * The final answer to a request that will not run.
 *
 * @param waiting the request
 * @param reason why it was refused
 * @param retryAfterMillis when its caller may come back
 */
public record Rejection(QueuedRequest request, RejectionReason reason, long retryAfterMillis) {
  /** Checks that the time to come back is not negative. */
  public Rejection {
    Preconditions.checkArgument(retryAfterMillis >= 0, "retry time must not be negative");
  }
}
